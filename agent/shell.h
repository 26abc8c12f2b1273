/* I/O of the agent: passes bus messages, platform responses and ticks to the core and performs
 * the actions that the core returns. */
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

/* Runs until stopped. Returns FALSE with diagnostics if it could not start. */
gboolean dp_agent_run (const DpAgentSettings *settings, DpDiagnostics *diagnostics);
