#include "manifest/settings.h"

#include "manifest/json_text.h"

#include <argp.h>
#include <string.h>

#define SETTINGS_BYTES_MAX ((gsize)64 * 1024)
#define SETTINGS_DEPTH_MAX 4
/* Keys of flags without a short form. */
#define KEY_SETTINGS_FILE 255
#define KEY_FIRST 256
#define COMMAND_LINE "command line"

/* One flag as given. */
typedef struct Flag
{
  guint setting; /* index */
  const char *value;
} Flag;

typedef struct Load
{
  const DpSettingsOptions *options;
  const char *file; /* NULL: none */
  GArray *flags;    /* Flag, in the order given */
} Load;

static error_t
parse_flag (int key, char *value, struct argp_state *state)
{
  Load *load = state->input;
  if (key == KEY_SETTINGS_FILE)
    {
      load->file = value;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument: %s", value);
  if (key < KEY_FIRST || key >= KEY_FIRST + (int)load->options->setting_count)
    return ARGP_ERR_UNKNOWN;
  Flag flag = { .setting = (guint)(key - KEY_FIRST), .value = value };
  g_array_append_val (load->flags, flag);
  return 0;
}

/* Flag of the setting; owned by the caller. */
static char *
flag_name (const DpSetting *setting)
{
  return g_strdelimit (g_strdup (setting->name), "_", '-');
}

static void
parse_command_line (Load *load)
{
  const DpSettingsOptions *options = load->options;
  struct argp_option *flags = g_new0 (struct argp_option, options->setting_count + 2);
  flags[0] = (struct argp_option){ .name = "settings",
                                   .key = KEY_SETTINGS_FILE,
                                   .arg = "FILE",
                                   .doc = "settings file: JSON with comments" };
  for (guint i = 0; i < options->setting_count; i++)
    flags[i + 1] = (struct argp_option){ .name = flag_name (&options->settings[i]),
                                         .key = KEY_FIRST + (int)i,
                                         .arg = options->settings[i].argument,
                                         .doc = options->settings[i].help };
  static char version[96];
  g_snprintf (version, sizeof version, "%s " DP_VERSION, options->program);
  argp_program_version = version;
  const struct argp argp = { .options = flags, .parser = parse_flag, .doc = options->doc };
  argp_parse (&argp, options->argc, options->argv, 0, NULL, load);
  for (guint i = 0; i < options->setting_count; i++)
    g_free ((char *)flags[i + 1].name);
  g_free (flags);
}

static DpJsonFieldType
field_type (DpSettingType type)
{
  switch (type)
    {
    case DP_SETTING_NUMBER:
      return DP_JSON_UINT;
    case DP_SETTING_PORT:
      return DP_JSON_UINT16;
    case DP_SETTING_TEXT:
    case DP_SETTING_TEXTS:
      break;
    }
  return DP_JSON_STRING;
}

/* The file's members; returns how many. */
static guint
make_fields (const DpSettingsOptions *options, DpJsonField *fields)
{
  guint count = 0;
  for (guint i = 0; i < options->setting_count; i++)
    {
      const DpSetting *setting = &options->settings[i];
      if (setting->type == DP_SETTING_TEXTS)
        continue;
      fields[count++] = (DpJsonField){ .name = setting->name,
                                       .type = field_type (setting->type),
                                       .offset = setting->offset,
                                       .minimum = setting->minimum,
                                       .maximum = setting->maximum,
                                       .default_number = setting->default_number,
                                       .default_string = setting->default_text };
    }
  return count;
}

/* Reads a file, or "{}" if there is none, so that defaults come from one place. */
static void
read_file (const Load *load, gpointer out, DpFindings *findings)
{
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  if (load->file == NULL)
    text = g_strdup ("{}");
  else if (!g_file_get_contents (load->file, &text, &length, &error))
    {
      dp_findings_add (findings, load->file, 0, NULL, "%s", error->message);
      g_error_free (error);
      text = g_strdup ("{}");
    }
  if (length == 0)
    length = strlen (text);
  const DpJsonLimits limits = { .bytes = SETTINGS_BYTES_MAX, .depth = SETTINGS_DEPTH_MAX };
  DpJsonText *document = dp_json_text_parse (load->file, text, length, &limits, findings);
  if (document != NULL)
    {
      DpJsonField *fields = g_new0 (DpJsonField, load->options->setting_count);
      guint count = make_fields (load->options, fields);
      dp_json_read_object (document, dp_json_text_root (document), "", fields, count, out);
      g_free (fields);
      dp_json_text_unref (document);
    }
  g_free (text);
}

static void
apply_number (const DpSetting *setting, const char *value, gpointer place, DpFindings *findings)
{
  guint64 number;
  if (!g_ascii_string_to_unsigned (value, 10, (guint64)setting->minimum,
                                   (guint64)setting->maximum, &number, NULL))
    {
      dp_findings_add (findings, COMMAND_LINE, 0, setting->name,
                       "must be a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                       ", not \"%s\"",
                       setting->minimum, setting->maximum, value);
      return;
    }
  if (setting->type == DP_SETTING_PORT)
    *(guint16 *)place = (guint16)number;
  else
    *(guint *)place = (guint)number;
}

static void
apply_flag (const DpSetting *setting, const char *value, gpointer out, DpFindings *findings)
{
  gpointer place = (char *)out + setting->offset;
  switch (setting->type)
    {
    case DP_SETTING_TEXT:
      g_free (*(char **)place);
      *(char **)place = g_strdup (value);
      break;
    case DP_SETTING_TEXTS:
      g_ptr_array_add (*(GPtrArray **)place, g_strdup (value));
      break;
    case DP_SETTING_NUMBER:
    case DP_SETTING_PORT:
      apply_number (setting, value, place, findings);
      break;
    }
}

static void
check_required (const DpSetting *setting, gpointer out, DpFindings *findings)
{
  const char *text = *(char **)((char *)out + setting->offset);
  if (setting->required && (text == NULL || text[0] == '\0'))
    dp_findings_add (findings, COMMAND_LINE, 0, setting->name, "is missing");
}

gboolean
dp_settings_load (const DpSettingsOptions *options, gpointer out, DpFindings *findings)
{
  Load load = { .options = options, .flags = g_array_new (FALSE, FALSE, sizeof (Flag)) };
  parse_command_line (&load);
  for (guint i = 0; i < options->setting_count; i++)
    if (options->settings[i].type == DP_SETTING_TEXTS)
      *(GPtrArray **)((char *)out + options->settings[i].offset)
        = g_ptr_array_new_with_free_func (g_free);
  read_file (&load, out, findings);
  for (guint i = 0; i < load.flags->len; i++)
    {
      const Flag *flag = &g_array_index (load.flags, Flag, i);
      apply_flag (&options->settings[flag->setting], flag->value, out, findings);
    }
  g_array_unref (load.flags);
  for (guint i = 0; i < options->setting_count; i++)
    if (options->settings[i].type == DP_SETTING_TEXT)
      check_required (&options->settings[i], out, findings);
  return dp_findings_count (findings) == 0;
}

void
dp_settings_clear (const DpSetting *settings, guint setting_count, gpointer out)
{
  for (guint i = 0; i < setting_count; i++)
    {
      gpointer place = (char *)out + settings[i].offset;
      if (settings[i].type == DP_SETTING_TEXT)
        g_clear_pointer ((char **)place, g_free);
      else if (settings[i].type == DP_SETTING_TEXTS)
        g_clear_pointer ((GPtrArray **)place, g_ptr_array_unref);
    }
}
