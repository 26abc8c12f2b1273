#include "entry/shell.h"
#include "net/program.h"

static gboolean
run (const void *settings, DpDiagnostics *diagnostics)
{
  return dp_entry_run (settings, diagnostics);
}

int
main (int argc, char **argv)
{
  const DpProgram program = {
    .name = "dogwoodplank-entry",
    .doc = "Forwards callers' requests to targets and streams the answers back.",
    .settings = dp_entry_settings,
    .setting_count = dp_entry_setting_count,
    .settings_size = sizeof (DpEntrySettings),
    .process_offset = G_STRUCT_OFFSET (DpEntrySettings, process),
    .run = run,
  };
  return dp_program_main (&program, argc, argv);
}
