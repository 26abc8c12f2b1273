#include "agent/shell.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "dogwoodplank-agent"

int
main (int argc, char **argv)
{
  const DpSettingsOptions options = {
    .program = PROGRAM,
    .doc = "Keeps the manifest and the view of VMs in force on this VM.",
    .settings = dp_agent_settings,
    .setting_count = dp_agent_setting_count,
    .argc = argc,
    .argv = argv,
  };
  DpAgentSettings settings = { 0 };
  DpFindings *findings = dp_findings_new ();
  gboolean ok = dp_settings_load (&options, &settings, findings);
  if (ok)
    {
      dp_log_init (PROGRAM, (DpLogLevel)settings.process.log_level);
      ok = dp_agent_run (&settings, findings);
    }
  if (!ok)
    {
      char *text = dp_findings_format (findings);
      fputs (text, stderr);
      g_free (text);
    }
  dp_settings_clear (dp_agent_settings, dp_agent_setting_count, &settings);
  dp_findings_unref (findings);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
