#include "entry/shell.h"

#define NUMBER(member, argument, text, low, high, number)                                      \
  DP_NUMBER_SETTING (#member, DpEntrySettings, member, argument, text, low, high, number)

const DpSetting dp_entry_settings[] = {
  DP_PROCESS_SETTINGS (DpEntrySettings, process, 7081),
  DP_PORT_SETTING ("caller_port", DpEntrySettings, caller_port, "caller port (7080)", 7080),
  NUMBER (requests_max, "N", "maximum open requests (4000)", 1, 100000, 4000),
  NUMBER (connections_max, "N", "maximum connections from callers (8000)", 2, 200000, 8000),
  NUMBER (
    header_bytes_max, "N", "bytes of request line and headers (16384)", 1024, 1048576, 16384),
  NUMBER (body_bytes_max, "N", "bytes of a request body (1048576)", 1024, 67108864, 1048576),
  NUMBER (
    read_timeout_ms, "MS", "timeout for a caller's next bytes (10000)", 100, 600000, 10000),
  NUMBER (
    request_read_timeout_ms, "MS", "timeout for a whole request (30000)", 100, 3600000, 30000),
  NUMBER (
    write_timeout_ms, "MS", "timeout for writing to a caller (10000)", 100, 600000, 10000),
  NUMBER (
    connect_timeout_ms, "MS", "timeout for connecting to a target (1000)", 10, 60000, 1000),
  NUMBER (first_byte_timeout_ms,
          "MS",
          "timeout for a target's first byte (30000)",
          10,
          3600000,
          30000),
  NUMBER (idle_timeout_ms, "MS", "timeout between bytes of an answer (5000)", 10, 600000, 5000),
  DP_TEXT_SETTING (
    "platform_address",
    DpEntrySettings,
    platform_address,
    "IP",
    "address of the platform's object API; without it, non-repeatable calls are refused",
    FALSE),
  DP_PORT_SETTING ("platform_port",
                   DpEntrySettings,
                   platform_port,
                   "port of the platform's object API (7070)",
                   7070),
  NUMBER (
    platform_calls_per_second, "N", "rate limit of calls to the platform (50)", 1, 10000, 50),
  NUMBER (
    platform_timeout_ms, "MS", "timeout of a call to the platform (2000)", 10, 60000, 2000),
};

const guint dp_entry_setting_count = G_N_ELEMENTS (dp_entry_settings);
