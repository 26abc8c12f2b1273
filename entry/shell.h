/* Network side of an entry: turns I/O with callers, targets, the bus and the platform into
 * events for the core, and performs the core's actions. */
#pragma once

#include "net/process.h"

typedef struct DpEntrySettings
{
  DpProcessSettings process;
  guint16 caller_port;
  guint requests_max;
  guint connections_max;
  guint header_bytes_max;
  guint body_bytes_max;
  guint read_timeout_ms;
  guint request_read_timeout_ms;
  guint write_timeout_ms;
  guint connect_timeout_ms;
  guint first_byte_timeout_ms;
  guint idle_timeout_ms;
  char *platform_address; /* NULL: requests that need a claim are refused */
  guint16 platform_port;
  guint platform_calls_per_second;
  guint platform_timeout_ms;
} DpEntrySettings;

extern const DpSetting dp_entry_settings[];
extern const guint dp_entry_setting_count;

/* Runs until stopped. Returns FALSE with diagnostics if it could not start. */
gboolean dp_entry_run (const DpEntrySettings *settings, DpDiagnostics *diagnostics);
