#include "net/program.h"

#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>

/* Enough for four lines per request at twice the peak request rate of a VM. A line takes about
 * 10 us. */
#define LOG_LINES_PER_SECOND 600

/* Invalid settings or addresses; a restart would not help. */
#define EXIT_INVALID_CONFIG 2

static void
print_diagnostics (const DpDiagnostics *diagnostics)
{
  char *text = dp_diagnostics_format (diagnostics);
  fputs (text, stderr);
  g_free (text);
}

int
dp_program_main (const DpProgram *program, int argc, char **argv)
{
  dp_process_block_signals ();
  const DpSettingsOptions options = {
    .program = program->name,
    .doc = program->doc,
    .settings = program->settings,
    .setting_count = program->setting_count,
    .argc = argc,
    .argv = argv,
  };
  char *settings = g_malloc0 (program->settings_size);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  gboolean ok = dp_settings_load (&options, settings, diagnostics);
  if (ok)
    {
      const DpProcessSettings *process = (const void *)(settings + program->process_offset);
      dp_log_configure (&(DpLogOptions){ .program = program->name,
                                         .level = (DpLogLevel)process->log_level,
                                         .to_stdout = TRUE,
                                         .lines_per_second = LOG_LINES_PER_SECOND });
      ok = program->run (settings, diagnostics);
    }
  if (!ok)
    print_diagnostics (diagnostics);
  dp_settings_clear (program->settings, program->setting_count, settings);
  g_free (settings);
  dp_diagnostics_unref (diagnostics);
  return ok ? EXIT_SUCCESS : EXIT_INVALID_CONFIG;
}
