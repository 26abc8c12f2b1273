#include "common/log.h"
#include "entry/shell.h"

#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "dogwoodplank-entry"

int
main (int argc, char **argv)
{
  const DpSettingsOptions options = {
    .program = PROGRAM,
    .doc = "Takes callers' requests, sends them to targets and streams the answers back.",
    .settings = dp_entry_settings,
    .setting_count = dp_entry_setting_count,
    .argc = argc,
    .argv = argv,
  };
  DpEntrySettings settings = { 0 };
  DpFindings *findings = dp_findings_new ();
  gboolean ok = dp_settings_load (&options, &settings, findings);
  if (ok)
    {
      dp_log_init (PROGRAM, (DpLogLevel)settings.process.log_level);
      ok = dp_entry_run (&settings, findings);
    }
  if (!ok)
    {
      char *text = dp_findings_format (findings);
      fputs (text, stderr);
      g_free (text);
    }
  dp_settings_clear (dp_entry_settings, dp_entry_setting_count, &settings);
  dp_findings_unref (findings);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
