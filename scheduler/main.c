#include "common/log.h"
#include "scheduler/shell.h"

#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "dogwoodplank-scheduler"

int
main (int argc, char **argv)
{
  const DpSettingsOptions options = {
    .program = PROGRAM,
    .doc = "Queues requests for the targets that this VM owns and grants their sending.",
    .settings = dp_scheduler_settings,
    .setting_count = dp_scheduler_setting_count,
    .argc = argc,
    .argv = argv,
  };
  DpSchedulerSettings settings = { 0 };
  DpFindings *findings = dp_findings_new ();
  gboolean ok = dp_settings_load (&options, &settings, findings);
  if (ok)
    {
      dp_log_init (PROGRAM, (DpLogLevel)settings.process.log_level);
      ok = dp_scheduler_run (&settings, findings);
    }
  if (!ok)
    {
      char *text = dp_findings_format (findings);
      fputs (text, stderr);
      g_free (text);
    }
  dp_settings_clear (dp_scheduler_settings, dp_scheduler_setting_count, &settings);
  dp_findings_unref (findings);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
