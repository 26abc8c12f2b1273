/* Network side of an agent: bus messages, the platform's answers and ticks in; messages and
 * calls to the platform out. */
#pragma once

#include "net/process.h"

typedef struct DpAgentSettings
{
  DpProcessSettings process;
  char *platform_address;
  guint16 platform_port;
  guint platform_calls_per_second;
  guint platform_timeout_ms;
} DpAgentSettings;

extern const DpSetting dp_agent_settings[];
extern const guint dp_agent_setting_count;

/* Runs until it is stopped. FALSE: it could not start; findings say why. */
gboolean dp_agent_run (const DpAgentSettings *settings, DpFindings *findings);
