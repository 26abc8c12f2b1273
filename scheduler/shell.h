/* I/O of the scheduler: passes bus messages, load reports and ticks to the core and performs
 * the actions that the core returns. */
#pragma once

#include "net/process.h"

typedef struct DpSchedulerSettings
{
  DpProcessSettings process;
  guint queue_max;
  guint poll_timeout_ms;
  guint stop_grace_ms;
} DpSchedulerSettings;

extern const DpSetting dp_scheduler_settings[];
extern const guint dp_scheduler_setting_count;

/* Runs until stopped. Returns FALSE with diagnostics if it could not start. */
gboolean dp_scheduler_run (const DpSchedulerSettings *settings, DpDiagnostics *diagnostics);
