#include "manifest/settings.h"

#include "manifest/json_text.h"

#include <argp.h>
#include <string.h>

#define SETTINGS_BYTES_MAX ((gsize)64 * 1024)
#define SETTINGS_DEPTH_MAX 4
/* argp keys above the printable characters: flags have no short form. */
#define KEY_SETTINGS_FILE 255
#define KEY_FIRST_SETTING 256
#define COMMAND_LINE "command line"

/* A flag given on the command line. */
typedef struct Flag
{
  guint setting; /* index into the settings table */
  const char *value;
} Flag;

typedef struct SettingsLoader
{
  const DpSettingsOptions *options;
  const char *file; /* NULL: none */
  GArray *flags;    /* Flag, in command line order */
} SettingsLoader;

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  SettingsLoader *loader = state->input;
  if (key == KEY_SETTINGS_FILE)
    {
      loader->file = value;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument: %s", value);
  if (key < KEY_FIRST_SETTING || key >= KEY_FIRST_SETTING + (int)loader->options->setting_count)
    return ARGP_ERR_UNKNOWN;
  Flag flag = { .setting = (guint)(key - KEY_FIRST_SETTING), .value = value };
  g_array_append_val (loader->flags, flag);
  return 0;
}

/* Returns the flag of a setting, without the leading dashes. Free with g_free(). */
static char *
format_flag_name (const DpSetting *setting)
{
  return g_strdelimit (g_strdup (setting->name), "_", '-');
}

static void
parse_command_line (SettingsLoader *loader)
{
  const DpSettingsOptions *options = loader->options;
  struct argp_option *flags = g_new0 (struct argp_option, options->setting_count + 2);
  flags[0] = (struct argp_option){ .name = "settings",
                                   .key = KEY_SETTINGS_FILE,
                                   .arg = "FILE",
                                   .doc = "settings file: JSON with comments" };
  for (guint i = 0; i < options->setting_count; i++)
    flags[i + 1] = (struct argp_option){ .name = format_flag_name (&options->settings[i]),
                                         .key = KEY_FIRST_SETTING + (int)i,
                                         .arg = options->settings[i].argument,
                                         .doc = options->settings[i].help };
  static char version[96];
  g_snprintf (version, sizeof version, "%s " DP_VERSION, options->program);
  argp_program_version = version;
  const struct argp argp = { .options = flags, .parser = parse_option, .doc = options->doc };
  argp_parse (&argp, options->argc, options->argv, 0, NULL, loader);
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
    case DP_SETTING_STRING:
    case DP_SETTING_STRING_LIST:
      break;
    }
  return DP_JSON_STRING;
}

/* Fills `fields` with the members of the settings file. Returns their number. */
static guint
build_json_fields (const DpSettingsOptions *options, DpJsonField *fields)
{
  guint count = 0;
  for (guint i = 0; i < options->setting_count; i++)
    {
      const DpSetting *setting = &options->settings[i];
      if (setting->type == DP_SETTING_STRING_LIST)
        continue;
      fields[count++] = (DpJsonField){ .name = setting->name,
                                       .type = field_type (setting->type),
                                       .offset = setting->offset,
                                       .minimum = setting->minimum,
                                       .maximum = setting->maximum,
                                       .default_number = setting->default_number,
                                       .default_string = setting->default_string };
    }
  return count;
}

/* Reads the settings file. Without one, reads "{}", which sets the defaults. */
static void
read_file (const SettingsLoader *loader, gpointer out, DpDiagnostics *diagnostics)
{
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  if (loader->file == NULL)
    text = g_strdup ("{}");
  else if (!g_file_get_contents (loader->file, &text, &length, &error))
    {
      dp_diagnostics_add (diagnostics, loader->file, 0, NULL, "%s", error->message);
      g_error_free (error);
      text = g_strdup ("{}");
    }
  if (length == 0)
    length = strlen (text);
  const DpJsonLimits limits = { .bytes = SETTINGS_BYTES_MAX, .depth = SETTINGS_DEPTH_MAX };
  DpJsonText *document = dp_json_text_parse (loader->file, text, length, &limits, diagnostics);
  if (document != NULL)
    {
      DpJsonField *fields = g_new0 (DpJsonField, loader->options->setting_count);
      guint count = build_json_fields (loader->options, fields);
      dp_json_read_object (document, dp_json_text_root (document), "", fields, count, out);
      g_free (fields);
      dp_json_text_unref (document);
    }
  g_free (text);
}

static void
apply_number (const DpSetting *setting,
              const char *value,
              gpointer dest,
              DpDiagnostics *diagnostics)
{
  guint64 number;
  if (!g_ascii_string_to_unsigned (value, 10, (guint64)setting->minimum,
                                   (guint64)setting->maximum, &number, NULL))
    {
      dp_diagnostics_add (diagnostics, COMMAND_LINE, 0, setting->name,
                          "must be a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                          ", not \"%s\"",
                          setting->minimum, setting->maximum, value);
      return;
    }
  if (setting->type == DP_SETTING_PORT)
    *(guint16 *)dest = (guint16)number;
  else
    *(guint *)dest = (guint)number;
}

static void
apply_flag (const DpSetting *setting,
            const char *value,
            gpointer out,
            DpDiagnostics *diagnostics)
{
  gpointer dest = (char *)out + setting->offset;
  switch (setting->type)
    {
    case DP_SETTING_STRING:
      g_free (*(char **)dest);
      *(char **)dest = g_strdup (value);
      break;
    case DP_SETTING_STRING_LIST:
      g_ptr_array_add (*(GPtrArray **)dest, g_strdup (value));
      break;
    case DP_SETTING_NUMBER:
    case DP_SETTING_PORT:
      apply_number (setting, value, dest, diagnostics);
      break;
    }
}

static void
check_required (const DpSetting *setting, gpointer out, DpDiagnostics *diagnostics)
{
  const char *text = *(char **)((char *)out + setting->offset);
  if (setting->required && (text == NULL || text[0] == '\0'))
    dp_diagnostics_add (diagnostics, COMMAND_LINE, 0, setting->name, "is missing");
}

gboolean
dp_settings_load (const DpSettingsOptions *options, gpointer out, DpDiagnostics *diagnostics)
{
  SettingsLoader loader
    = { .options = options, .flags = g_array_new (FALSE, FALSE, sizeof (Flag)) };
  parse_command_line (&loader);
  for (guint i = 0; i < options->setting_count; i++)
    if (options->settings[i].type == DP_SETTING_STRING_LIST)
      *(GPtrArray **)((char *)out + options->settings[i].offset)
        = g_ptr_array_new_with_free_func (g_free);
  read_file (&loader, out, diagnostics);
  for (guint i = 0; i < loader.flags->len; i++)
    {
      const Flag *flag = &g_array_index (loader.flags, Flag, i);
      apply_flag (&options->settings[flag->setting], flag->value, out, diagnostics);
    }
  g_array_unref (loader.flags);
  for (guint i = 0; i < options->setting_count; i++)
    if (options->settings[i].type == DP_SETTING_STRING)
      check_required (&options->settings[i], out, diagnostics);
  return dp_diagnostics_count (diagnostics) == 0;
}

void
dp_settings_clear (const DpSetting *settings, guint setting_count, gpointer out)
{
  for (guint i = 0; i < setting_count; i++)
    {
      gpointer dest = (char *)out + settings[i].offset;
      if (settings[i].type == DP_SETTING_STRING)
        g_clear_pointer ((char **)dest, g_free);
      else if (settings[i].type == DP_SETTING_STRING_LIST)
        g_clear_pointer ((GPtrArray **)dest, g_ptr_array_unref);
    }
}
