/* A program's settings: one table of options gives the members of the settings file (JSON with
 * comments), the flags of the command line, their defaults and the text of --help.
 *
 * A flag beats the file, the file beats the default. The member "operator_port" is the flag
 * --operator-port.
 */
#pragma once

#include "common/findings.h"

#include <glib.h>

typedef enum DpSettingType
{
  DP_SETTING_TEXT,   /* char *, owned by the struct */
  DP_SETTING_NUMBER, /* guint */
  DP_SETTING_PORT,   /* guint16 */
  DP_SETTING_TEXTS,  /* GPtrArray *; a flag that may be repeated, not in the file */
} DpSettingType;

typedef struct DpSetting
{
  const char *name;
  DpSettingType type;
  gsize offset;         /* in the struct of settings */
  const char *argument; /* of the flag, for --help */
  const char *help;
  gboolean required;
  gint64 minimum; /* of numbers */
  gint64 maximum; /* of numbers and ports */
  gint64 default_number;
  const char *default_text;
} DpSetting;

typedef struct DpSettingsOptions
{
  const char *program; /* "dogwoodplank-entry" */
  const char *doc;     /* what it does, for --help */
  const DpSetting *settings;
  guint setting_count;
  int argc;
  char **argv;
} DpSettingsOptions;

/* Fills the zeroed struct `out`. FALSE: there are findings, each with file or flag. --help,
 * --version and unknown flags end the process. */
gboolean
dp_settings_load (const DpSettingsOptions *options, gpointer out, DpFindings *findings);

/* Frees what the struct owns. */
void dp_settings_clear (const DpSetting *settings, guint setting_count, gpointer out);
