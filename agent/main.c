#include "agent/shell.h"
#include "net/program.h"

static gboolean
run (const void *settings, DpDiagnostics *diagnostics)
{
  return dp_agent_run (settings, diagnostics);
}

int
main (int argc, char **argv)
{
  const DpProgram program = {
    .name = "dogwoodplank-agent",
    .doc = "Keeps the manifest and the view of VMs up to date on this VM.",
    .settings = dp_agent_settings,
    .setting_count = dp_agent_setting_count,
    .settings_size = sizeof (DpAgentSettings),
    .process_offset = G_STRUCT_OFFSET (DpAgentSettings, process),
    .run = run,
  };
  return dp_program_main (&program, argc, argv);
}
