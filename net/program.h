/* The main function shared by the entry, the scheduler and the agent: loads the settings, sets
 * up the log, runs the program and prints diagnostics.
 */
#pragma once

#include "net/process.h"

typedef struct DpProgram
{
  const char *name;
  const char *doc; /* shown by --help */
  const DpSetting *settings;
  guint setting_count;
  gsize settings_size;  /* bytes of the struct that holds the settings */
  gsize process_offset; /* offset of its DpProcessSettings member */
  /* Runs until the process is stopped. Returns FALSE with diagnostics if it can't start. */
  gboolean (*run) (const void *settings, DpDiagnostics *diagnostics);
} DpProgram;

/* Returns the exit code for main(). */
int dp_program_main (const DpProgram *program, int argc, char **argv);
