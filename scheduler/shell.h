/* Network side of a scheduler: bus messages, load polls and ticks in; messages and polls out.
 */
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

/* Runs until it is stopped. FALSE: it could not start; findings say why. */
gboolean dp_scheduler_run (const DpSchedulerSettings *settings, DpFindings *findings);
