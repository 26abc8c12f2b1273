/* Gateway: an HTTP CONNECT server (RFC 9110, 9.3.6) for other VMs. Each tunnel forwards the
 * bytes of one connection to one target.
 *
 * The request names the target in a "Target" header; its address comes from the `resolve`
 * callback, never from the request line. An orderly close by the target closes the tunnel once
 * everything is forwarded; any other end on the target's side resets the client's
 * connection. When the client disconnects, the target's connection closes at once.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"

#include <event2/event.h>
#include <glib.h>

typedef struct DpTunnelServer DpTunnelServer;

/* Status code of the response to CONNECT. */
typedef enum DpTunnelStatus
{
  DP_TUNNEL_OPEN = 200,
  DP_TUNNEL_BAD_REQUEST = 400,
  DP_TUNNEL_UNKNOWN_TARGET = 403,
  DP_TUNNEL_TARGET_UNREACHABLE = 502,
  DP_TUNNEL_UNAVAILABLE = 503, /* too many tunnels, or the gateway takes none now */
  DP_TUNNEL_TARGET_TIMED_OUT = 504,
} DpTunnelStatus;

typedef enum DpTunnelEnd
{
  DP_TUNNEL_END_CLIENT,       /* the client disconnected */
  DP_TUNNEL_END_TARGET,       /* the target closed the connection in an orderly way */
  DP_TUNNEL_END_TARGET_RESET, /* the target's connection failed */
  DP_TUNNEL_END_IDLE,         /* no byte was forwarded for too long */
  DP_TUNNEL_END_STOPPED,      /* by dp_tunnel_server_free() */
} DpTunnelEnd;

const char *dp_tunnel_end_name (DpTunnelEnd end);

/* A tunnel that was open. */
typedef struct DpTunnelReport
{
  const char *target_id;
  DpTunnelEnd end;
  guint64 bytes_to_target;
  guint64 bytes_to_client;
  DpUsec age;
} DpTunnelReport;

/* They must not free the server. */
typedef struct DpTunnelCallbacks
{
  /* Sets the target's address and returns DP_TUNNEL_OPEN, or returns why there is no tunnel. */
  DpTunnelStatus (*resolve) (gpointer user,
                             const char *target_id,
                             char address[46],
                             guint16 *port);
  /* A connection to the target was established, or failed. */
  void (*connected) (gpointer user, const char *target_id, gboolean succeeded);
  /* `target_id` is NULL if the request wasn't valid. */
  void (*refused) (gpointer user, const char *target_id, DpTunnelStatus status);
  void (*ended) (gpointer user, const DpTunnelReport *report);
} DpTunnelCallbacks;

typedef struct DpTunnelServerOptions
{
  struct event_base *base;
  const char *address;
  guint16 port;
  guint tunnels_max;        /* open at once; see dp_tunnel_server_descriptors_max() */
  gsize head_max;           /* bytes of a CONNECT request */
  gsize buffer_max;         /* bytes buffered in each direction of a tunnel */
  DpUsec handshake_timeout; /* for a whole CONNECT request */
  DpUsec connect_timeout;   /* to a target */
  DpUsec idle_timeout;      /* with no byte forwarded in either direction */
  DpCounters *counters;     /* the server takes a reference */
  const DpTunnelCallbacks *callbacks;
  gpointer user;
} DpTunnelServerOptions;

/* Returns NULL if the address can't be bound. */
DpTunnelServer *dp_tunnel_server_new (const DpTunnelServerOptions *options);

/* Resets all tunnels. */
void dp_tunnel_server_free (DpTunnelServer *server);

/* Closes the listener and refuses new tunnels; open ones go on. */
void dp_tunnel_server_stop_accepting (DpTunnelServer *server);

/* Number of tunnels that are open or being opened. */
guint dp_tunnel_server_open (const DpTunnelServer *server);

/* File descriptors that a server with this maximum of tunnels may use. */
guint dp_tunnel_server_descriptors_max (guint tunnels_max);
