/* Process settings: names, help texts, defaults and parsing. */
#include "node/node.h"

#include "net/tunnel_server.h"

#include <math.h>
#include <string.h>

#define TEXT(member, argument, text, is_required)                                              \
  DP_TEXT_SETTING (#member, DpNodeSettings, member, argument, text, is_required)

const DpSetting dp_node_settings[] = {
  DP_PROCESS_COMMON_SETTINGS (DpNodeSettings, process, 7083),
  TEXT (caller_listen, "IP:PORT", "address for callers", TRUE),
  TEXT (ready_listen, "IP:PORT", "address for the balancer's readiness checks", TRUE),
  TEXT (store, "IP:PORT", "address of the platform's store", TRUE),
  TEXT (seeds, "IP:PORT,...", "VMs to query while the store is unreachable", FALSE),
  TEXT (processor_share,
        "SHARE",
        "fraction of a core: the VM's weight in the choice of owners (0.1)",
        FALSE),
  TEXT (descriptors_max, "N", "file descriptors of the process (4096)", FALSE),
  TEXT (target_heartbeat_ms, "MS", "interval of a target's writes to the store (1200)", FALSE),
  TEXT (stop_time_s, "S", "time from SIGTERM to SIGKILL (8)", FALSE),
  TEXT (retry_ratio, "SHARE", "retries per request allowed in a pool (0.2)", FALSE),
  TEXT (retry_slack, "N", "further retries per window, shared by all VMs (100)", FALSE),
  TEXT (retry_window_s, "S", "length of the retry window (10)", FALSE),
  TEXT (quota_window_s, "S", "length of the window of workspaces' rate limits (8)", FALSE),
  TEXT (quota_slack,
        "N",
        "allowed excess over a window's limit when VMs have lost track of their use (0)",
        FALSE),
  TEXT (memory_mb,
        "MB",
        "memory limit of the process; new requests are refused well below it",
        FALSE),
  TEXT (link_mbps,
        "MBIT",
        "megabits a second of the VM's link; state for other VMs takes half of it at most",
        FALSE),
  TEXT (expose_share,
        "SHARE",
        "share of a service's requests that a version may get before it is completed; without "
        "it, versions are not rolled out in stages",
        FALSE),
  TEXT (expose_slack, "N", "further requests of a roll-out, over all VMs (0)", FALSE),
  TEXT (
    rollback_ms, "MS", "time in which a bad version must get no more requests (5000)", FALSE),
  TEXT (target_capacity,
        "learned|slots",
        "limit of concurrent requests per target (learned)",
        FALSE),
  DP_PORT_SETTING ("tunnel_port",
                   DpNodeSettings,
                   tunnel_port,
                   "port of the gateway, the same on all VMs (agent_bus_port + 1)",
                   0),
  TEXT (shared_mode,
        "on|off",
        "dispatch requests of plain services by one VM while they are short of capacity (on)",
        FALSE),
  TEXT (
    first_start, "true", "first start of the whole system: no quota was used before", FALSE),
};

const guint dp_node_setting_count = G_N_ELEMENTS (dp_node_settings);

/* Defaults of numeric settings. */
#define BYTES_PER_MB 1e6
#define BYTES_PER_MBIT 125e3
#define PROCESSOR_SHARE_DEFAULT 0.1
#define DESCRIPTORS_DEFAULT 4096
#define HEARTBEAT_MS_DEFAULT 1200
#define STOP_TIME_S_DEFAULT 8
#define RETRY_RATIO_DEFAULT 0.2
#define RETRY_SLACK_DEFAULT 100
#define RETRY_WINDOW_S_DEFAULT 10
#define QUOTA_WINDOW_S_DEFAULT 8
#define WEIGHT_PER_CORE 1000
#define ROLLBACK_MS_DEFAULT 5000

/* The connections to a caller and to its target. */
#define DESCRIPTORS_PER_REQUEST 2
/* Files, listeners, links to other VMs and to the store. */
#define OTHER_DESCRIPTORS 200
/* At most an eighth of the descriptors is for tunnels. */
#define DESCRIPTORS_PER_TUNNEL_SLOT 16

static void
read_endpoint (const char *name,
               const char *text,
               char address[46],
               guint16 *port,
               DpDiagnostics *diagnostics)
{
  const char *colon = strrchr (text, ':');
  guint64 number;
  if (colon != NULL && colon - text < 46
      && g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &number, NULL))
    {
      g_strlcpy (address, text, (gsize)(colon - text) + 1);
      *port = (guint16)number;
      return;
    }
  dp_diagnostics_add (diagnostics, "settings", 0, name, "must be IP:PORT, not \"%s\"", text);
}

static double
read_number (const char *name, const char *text, double fallback, DpDiagnostics *diagnostics)
{
  if (text == NULL || text[0] == '\0')
    return fallback;
  char *end;
  double number = g_ascii_strtod (text, &end);
  if (*end == '\0' && isfinite (number) && number >= 0)
    return number;
  dp_diagnostics_add (diagnostics, "settings", 0, name, "must be a number, not \"%s\"", text);
  return fallback;
}

static DpCapacityMode
read_target_capacity (const char *text, DpDiagnostics *diagnostics)
{
  if (g_strcmp0 (text, "slots") == 0)
    return DP_CAPACITY_SLOTS;
  if (text != NULL && text[0] != '\0' && strcmp (text, "learned") != 0)
    dp_diagnostics_add (diagnostics, "settings", 0, "target_capacity",
                        "must be \"learned\" or \"slots\", not \"%s\"", text);
  return DP_CAPACITY_LEARNED;
}

static void
share_descriptors (DpNodeParams *params, double descriptors_max)
{
  guint all = (guint)CLAMP (descriptors_max, 0, G_MAXINT);
  params->tunnels_max = MAX (all / DESCRIPTORS_PER_TUNNEL_SLOT, 1);
  guint reserved = dp_tunnel_server_descriptors_max (params->tunnels_max) + OTHER_DESCRIPTORS;
  guint left = all > reserved ? all - reserved : 0;
  params->connections_max = MAX (left / DESCRIPTORS_PER_REQUEST, 2);
}

static void
choose_tunnel_port (const DpNodeSettings *settings,
                    DpNodeParams *params,
                    DpDiagnostics *diagnostics)
{
  guint port = settings->tunnel_port != 0 ? settings->tunnel_port
                                          : settings->process.agent_bus_port + 1U;
  if (port > G_MAXUINT16)
    dp_diagnostics_add (diagnostics, "settings", 0, "tunnel_port",
                        "is missing; there is no port after agent_bus_port");
  params->tunnel_port = (guint16)port;
}

static void
read_rollout_options (const DpNodeSettings *settings,
                      DpNodeParams *params,
                      DpDiagnostics *diagnostics)
{
  double share = read_number ("expose_share", settings->expose_share, -1, diagnostics);
  params->has_rollouts = share >= 0;
  if (share > 1)
    dp_diagnostics_add (diagnostics, "settings", 0, "expose_share",
                        "must be at most 1, not \"%s\"", settings->expose_share);
  double slack = read_number ("expose_slack", settings->expose_slack, 0, diagnostics);
  double rollback
    = read_number ("rollback_ms", settings->rollback_ms, ROLLBACK_MS_DEFAULT, diagnostics);
  params->rollout = (DpRolloutOptions){ .expose_share = share,
                                        .expose_slack = (guint)MIN (slack, G_MAXINT),
                                        .rollback_time
                                        = (DpUsec)MIN (rollback, G_MAXINT) * DP_USEC_PER_MSEC };
}

static gboolean
read_switch (const char *name, const char *text, DpDiagnostics *diagnostics)
{
  if (text == NULL || text[0] == '\0' || strcmp (text, "on") == 0)
    return TRUE;
  if (strcmp (text, "off") != 0)
    dp_diagnostics_add (diagnostics, "settings", 0, name, "must be on or off, not \"%s\"",
                        text);
  return FALSE;
}

gboolean
dp_node_parse_settings (const DpNodeSettings *settings,
                        DpNodeParams *params,
                        DpDiagnostics *diagnostics)
{
  read_endpoint ("caller_listen", settings->caller_listen, params->caller_address,
                 &params->caller_port, diagnostics);
  read_endpoint ("ready_listen", settings->ready_listen, params->ready_address,
                 &params->ready_port, diagnostics);
  read_endpoint ("store", settings->store, params->store_address, &params->store_port,
                 diagnostics);
  double share = read_number ("processor_share", settings->processor_share,
                              PROCESSOR_SHARE_DEFAULT, diagnostics);
  params->weight = (guint)MAX (share * WEIGHT_PER_CORE, 1);
  share_descriptors (params, read_number ("descriptors_max", settings->descriptors_max,
                                          DESCRIPTORS_DEFAULT, diagnostics));
  choose_tunnel_port (settings, params, diagnostics);
  params->target_heartbeat
    = (DpUsec)read_number ("target_heartbeat_ms", settings->target_heartbeat_ms,
                           HEARTBEAT_MS_DEFAULT, diagnostics)
      * DP_USEC_PER_MSEC;
  params->stop_time = (DpUsec)(read_number ("stop_time_s", settings->stop_time_s,
                                            STOP_TIME_S_DEFAULT, diagnostics)
                               * (double)DP_USEC_PER_SEC);
  params->retry_ratio
    = read_number ("retry_ratio", settings->retry_ratio, RETRY_RATIO_DEFAULT, diagnostics);
  params->retry_slack
    = read_number ("retry_slack", settings->retry_slack, RETRY_SLACK_DEFAULT, diagnostics);
  double window = read_number ("retry_window_s", settings->retry_window_s,
                               RETRY_WINDOW_S_DEFAULT, diagnostics);
  params->retry_window = (DpUsec)(MAX (window, 1) * (double)DP_USEC_PER_SEC);
  double quota_window = read_number ("quota_window_s", settings->quota_window_s,
                                     QUOTA_WINDOW_S_DEFAULT, diagnostics);
  params->quota_window = (DpUsec)(MAX (quota_window, 1) * (double)DP_USEC_PER_SEC);
  params->quota_slack = read_number ("quota_slack", settings->quota_slack, 0, diagnostics);
  double memory_mb = read_number ("memory_mb", settings->memory_mb, 0, diagnostics);
  params->memory_max = (gsize)(memory_mb * BYTES_PER_MB);
  params->link_rate
    = read_number ("link_mbps", settings->link_mbps, 0, diagnostics) * BYTES_PER_MBIT;
  params->connections_max
    = MIN (params->connections_max, dp_memory_connections_max (params->memory_max));
  read_rollout_options (settings, params, diagnostics);
  params->target_capacity = read_target_capacity (settings->target_capacity, diagnostics);
  params->has_shared_mode = read_switch ("shared_mode", settings->shared_mode, diagnostics);
  return dp_diagnostics_count (diagnostics) == 0;
}
