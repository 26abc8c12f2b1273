#include "net/program.h"
#include "scheduler/shell.h"

static gboolean
run (const void *settings, DpDiagnostics *diagnostics)
{
  return dp_scheduler_run (settings, diagnostics);
}

int
main (int argc, char **argv)
{
  const DpProgram program = {
    .name = "dogwoodplank-scheduler",
    .doc
    = "Queues requests for the targets owned by this VM and grants permission to send them.",
    .settings = dp_scheduler_settings,
    .setting_count = dp_scheduler_setting_count,
    .settings_size = sizeof (DpSchedulerSettings),
    .process_offset = G_STRUCT_OFFSET (DpSchedulerSettings, process),
    .run = run,
  };
  return dp_program_main (&program, argc, argv);
}
