/* Settings of a program. One table defines the members of the settings file (JSON with
 * comments), the command line flags, their defaults and the --help text.
 *
 * Flags override the file, the file overrides the defaults. The member "operator_port"
 * corresponds to the flag --operator-port.
 */
#pragma once

#include "common/diagnostics.h"

#include <glib.h>

typedef enum DpSettingType
{
  DP_SETTING_STRING,      /* char *, owned by the struct */
  DP_SETTING_NUMBER,      /* guint */
  DP_SETTING_PORT,        /* guint16 */
  DP_SETTING_STRING_LIST, /* GPtrArray * of char *; repeatable flag, not allowed in the file */
} DpSettingType;

typedef struct DpSetting
{
  const char *name;
  DpSettingType type;
  gsize offset;         /* in the settings struct, bytes */
  const char *argument; /* placeholder for the flag's value in --help */
  const char *help;
  gboolean required;
  gint64 minimum; /* numbers only */
  gint64 maximum; /* numbers and ports */
  gint64 default_number;
  const char *default_string;
} DpSetting;

typedef struct DpSettingsOptions
{
  const char *program; /* "dogwoodplank-entry" */
  const char *doc;     /* description for --help */
  const DpSetting *settings;
  guint setting_count;
  int argc;
  char **argv;
} DpSettingsOptions;

/* Fills the zeroed struct `out`. Returns FALSE if `diagnostics` is not empty; each names the
 * file or the command line and the setting. --help, --version and unknown flags exit the
 * process. */
gboolean
dp_settings_load (const DpSettingsOptions *options, gpointer out, DpDiagnostics *diagnostics);

/* Frees the strings and lists of the settings struct. */
void dp_settings_clear (const DpSetting *settings, guint setting_count, gpointer out);
