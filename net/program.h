/* The main function that the entry, the scheduler and the agent share: settings, log, run,
 * findings.
 */
#pragma once

#include "net/process.h"

typedef struct DpProgram
{
  const char *name;
  const char *doc; /* for --help */
  const DpSetting *settings;
  guint setting_count;
  gsize settings_size;  /* bytes of the struct that the settings fill */
  gsize process_offset; /* of its DpProcessSettings */
  /* Runs until it is stopped. FALSE: it could not start; findings say why. */
  gboolean (*run) (const void *settings, DpFindings *findings);
} DpProgram;

/* Exit code of main(). */
int dp_program_main (const DpProgram *program, int argc, char **argv);
