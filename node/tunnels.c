/* Gateway for other VMs: opens connections to the targets in this VM's directory. */
#include "node/node.h"

#include "common/log.h"
#include "net/tunnel_server.h"

#include <string.h>

#define HEAD_BYTES_MAX 2048
/* Buffered in each direction of a tunnel. */
#define BUFFER_BYTES_MAX ((gsize)32 * 1024)
#define HANDSHAKE_TIMEOUT DP_USEC_PER_SEC
/* Longer than any request may take. */
#define IDLE_TIMEOUT (90 * DP_USEC_PER_SEC)

struct DpTunnels
{
  DpNode *node;
  DpTunnelServer *server; /* NULL: this VM is no gateway */
  const char *refusal;    /* why the last request was refused; NULL: see the status */
};

static DpTunnelStatus
refuse (DpTunnels *tunnels, DpTunnelStatus status, const char *reason)
{
  tunnels->refusal = reason;
  return status;
}

static DpTunnelStatus
on_resolve (gpointer user, const char *target_id, char address[46], guint16 *port)
{
  DpTunnels *tunnels = user;
  const DpNode *node = tunnels->node;
  if (node->is_listener_closed)
    return refuse (tunnels, DP_TUNNEL_UNAVAILABLE, "stopping");
  if (node->is_memory_short)
    return refuse (tunnels, DP_TUNNEL_UNAVAILABLE, "memory_short");
  if (!dp_reach_may_serve (node->reach, dp_node_now ()))
    return refuse (tunnels, DP_TUNNEL_UNAVAILABLE, "cut_off");
  DpName name = dp_name (target_id);
  const DpDirectoryRow *row = dp_directory_find (node->directory, name);
  if (row == NULL || strcmp (row->record.id, target_id) != 0)
    return refuse (tunnels, DP_TUNNEL_UNKNOWN_TARGET, "unknown_target");
  if (!dp_directory_may_use (node->directory, name, dp_node_now ()))
    return refuse (tunnels, DP_TUNNEL_UNKNOWN_TARGET, "target_not_usable");
  if (dp_reach_has_lost_link (node->reach, name, dp_node_now ()))
    return refuse (tunnels, DP_TUNNEL_UNAVAILABLE, "link_lost");
  g_strlcpy (address, row->record.address, 46);
  *port = (guint16)row->record.port_number;
  return DP_TUNNEL_OPEN;
}

static void
on_connected (gpointer user, const char *target_id, gboolean succeeded)
{
  const DpTunnels *tunnels = user;
  dp_paths_record_direct (tunnels->node, dp_name (target_id), succeeded);
}

static const char *
reason_of_status (DpTunnelStatus status)
{
  switch (status)
    {
    case DP_TUNNEL_BAD_REQUEST:
      return "bad_request";
    case DP_TUNNEL_UNKNOWN_TARGET:
      return "unknown_target";
    case DP_TUNNEL_TARGET_UNREACHABLE:
      return "target_unreachable";
    case DP_TUNNEL_TARGET_TIMED_OUT:
      return "target_timed_out";
    case DP_TUNNEL_UNAVAILABLE:
      return "too_many_tunnels";
    case DP_TUNNEL_OPEN:
      break;
    }
  return "";
}

static void
on_refused (gpointer user, const char *target_id, DpTunnelStatus status)
{
  DpTunnels *tunnels = user;
  char code[8];
  g_snprintf (code, sizeof code, "%d", (int)status);
  dp_log (DP_LOG_INFO, "tunnel_refused", "target", target_id, "status", code, "reason",
          tunnels->refusal != NULL ? tunnels->refusal : reason_of_status (status), NULL);
  tunnels->refusal = NULL;
}

static void
on_ended (gpointer user, const DpTunnelReport *report)
{
  char to_target[24];
  char to_client[24];
  char age_ms[24];
  g_snprintf (to_target, sizeof to_target, "%" G_GUINT64_FORMAT, report->bytes_to_target);
  g_snprintf (to_client, sizeof to_client, "%" G_GUINT64_FORMAT, report->bytes_to_client);
  g_snprintf (age_ms, sizeof age_ms, "%" G_GINT64_FORMAT, report->age / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_INFO, "tunnel_end", "target", report->target_id, "end",
          dp_tunnel_end_name (report->end), "bytes_to_target", to_target, "bytes_to_client",
          to_client, "age_ms", age_ms, NULL);
}

static const DpTunnelCallbacks callbacks = {
  .resolve = on_resolve,
  .connected = on_connected,
  .refused = on_refused,
  .ended = on_ended,
};

DpTunnels *
dp_tunnels_new (DpNode *node)
{
  DpTunnels *tunnels = g_new0 (DpTunnels, 1);
  tunnels->node = node;
  const DpTunnelServerOptions options
    = { .base = node->base,
        .address = node->settings->process.address,
        .port = node->params.tunnel_port,
        .tunnels_max = node->params.tunnels_max,
        .head_max = HEAD_BYTES_MAX,
        .buffer_max = dp_memory_tunnel_buffer (&node->params, BUFFER_BYTES_MAX),
        .handshake_timeout = HANDSHAKE_TIMEOUT,
        .connect_timeout = DP_CONNECT_TIMEOUT,
        .idle_timeout = IDLE_TIMEOUT,
        .counters = node->counters,
        .callbacks = &callbacks,
        .user = tunnels };
  tunnels->server = dp_tunnel_server_new (&options);
  char port[8];
  char max[16];
  g_snprintf (port, sizeof port, "%u", options.port);
  g_snprintf (max, sizeof max, "%u", options.tunnels_max);
  if (tunnels->server != NULL)
    dp_log (DP_LOG_NOTICE, "gateway_started", "port", port, "tunnels_max", max, NULL);
  else
    dp_log (DP_LOG_WARNING, "gateway_not_started", "reason", "can't listen", "address",
            options.address, "port", port, NULL);
  return tunnels;
}

void
dp_tunnels_free (DpTunnels *tunnels)
{
  dp_tunnel_server_free (tunnels->server);
  g_free (tunnels);
}

guint
dp_tunnels_open (const DpTunnels *tunnels)
{
  return tunnels->server != NULL ? dp_tunnel_server_open (tunnels->server) : 0;
}

void
dp_tunnels_stop_accepting (DpTunnels *tunnels)
{
  if (tunnels->server == NULL)
    return;
  dp_tunnel_server_stop_accepting (tunnels->server);
  char open[16];
  g_snprintf (open, sizeof open, "%u", dp_tunnels_open (tunnels));
  dp_log (DP_LOG_NOTICE, "gateway_stopping", "open", open, NULL);
}
