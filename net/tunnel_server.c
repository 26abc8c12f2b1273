#include "net/tunnel_server.h"

#include "common/clock.h"
#include "net/http_framing.h"
#include "net/socket_options.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The kernel may enforce a lower limit. */
#define LISTEN_BACKLOG 4096
/* Beyond those of all tunnels: the listener and connections whose request is incomplete or
 * refused. */
#define SPARE_DESCRIPTORS 32
#define DESCRIPTORS_PER_TUNNEL 2
#define SWEEP_INTERVAL_SECONDS 1
/* For the client to close its side after the last byte. Closing first could reset the
 * connection and discard bytes that it has not read yet. */
#define LINGER_TIMEOUT (2 * DP_USEC_PER_SEC)
/* Shorter input is copied behind waiting bytes, so that small reads don't each hold a buffer
 * of their own. */
#define COPY_BYTES_MAX 2048
#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4

struct DpTunnelServer
{
  DpTunnelServerOptions options;
  struct evconnlistener *listener; /* NULL after dp_tunnel_server_stop_accepting() */
  struct event *sweep;
  GHashTable *tunnels; /* Tunnel */
  guint open;          /* tunnels with a connection to a target, or connecting */
  guint descriptors;   /* of all tunnels */
};

typedef enum Stage
{
  STAGE_HANDSHAKE,  /* reads the CONNECT request */
  STAGE_CONNECTING, /* to the target */
  STAGE_OPEN,
  STAGE_FLUSHING,  /* the target's side is closed: sends what is left to the client */
  STAGE_LINGERING, /* waits for the client to close */
} Stage;

typedef struct Tunnel
{
  DpTunnelServer *server;
  struct bufferevent *client;
  struct bufferevent *target; /* NULL: none */
  char *target_id;            /* NULL until the request was read */
  struct event *timer;        /* timeout of the stages that have one */
  Stage stage;
  gboolean was_open;
  DpTunnelEnd end; /* once the target's side is closed */
  DpUsec accepted_at;
  DpUsec progress_at; /* last time that bytes were read or written */
  guint64 bytes_to_target;
  guint64 bytes_to_client;
} Tunnel;

const char *
dp_tunnel_end_name (DpTunnelEnd end)
{
  static const char *const names[] = {
    [DP_TUNNEL_END_CLIENT] = "client",
    [DP_TUNNEL_END_TARGET] = "target",
    [DP_TUNNEL_END_TARGET_RESET] = "target_reset",
    [DP_TUNNEL_END_IDLE] = "idle",
    [DP_TUNNEL_END_STOPPED] = "stopped",
  };
  return names[end];
}

static void
set_timer (Tunnel *tunnel, DpUsec timeout)
{
  struct timeval tv
    = { .tv_sec = timeout / DP_USEC_PER_SEC, .tv_usec = timeout % DP_USEC_PER_SEC };
  event_add (tunnel->timer, &tv);
}

/* --- ends --- */

static void
update_gauge (const DpTunnelServer *server)
{
  dp_counters_set (server->options.counters, "dogwoodplank_tunnels", NULL, NULL, server->open);
}

static void
close_target (Tunnel *tunnel)
{
  if (tunnel->target == NULL)
    return;
  DpTunnelServer *server = tunnel->server;
  bufferevent_free (tunnel->target);
  tunnel->target = NULL;
  server->descriptors--;
}

/* Releases the place that the tunnel takes of `tunnels_max`. */
static void
leave_open (Tunnel *tunnel)
{
  if (tunnel->stage == STAGE_CONNECTING || tunnel->was_open)
    tunnel->server->open--;
  update_gauge (tunnel->server);
}

static void
free_tunnel (gpointer data)
{
  Tunnel *tunnel = data;
  close_target (tunnel);
  bufferevent_free (tunnel->client);
  event_free (tunnel->timer);
  tunnel->server->descriptors--;
  g_free (tunnel->target_id);
  g_free (tunnel);
}

static void
report_end (const Tunnel *tunnel, DpTunnelEnd end)
{
  DpTunnelServer *server = tunnel->server;
  const DpTunnelReport report = { .target_id = tunnel->target_id,
                                  .end = end,
                                  .bytes_to_target = tunnel->bytes_to_target,
                                  .bytes_to_client = tunnel->bytes_to_client,
                                  .age = dp_clock_now () - tunnel->accepted_at };
  DpCounters *counters = server->options.counters;
  dp_counters_add (counters, "dogwoodplank_tunnels_ended_total", "end",
                   dp_tunnel_end_name (end), 1);
  dp_counters_add (counters, "dogwoodplank_tunnel_bytes_total", "to", "target",
                   tunnel->bytes_to_target);
  dp_counters_add (counters, "dogwoodplank_tunnel_bytes_total", "to", "client",
                   tunnel->bytes_to_client);
  server->options.callbacks->ended (server->options.user, &report);
}

/* Closes both connections and frees the tunnel. */
static void
end_tunnel (Tunnel *tunnel, DpTunnelEnd end)
{
  leave_open (tunnel);
  if (tunnel->was_open)
    report_end (tunnel, end);
  g_hash_table_remove (tunnel->server->tunnels, tunnel);
}

/* The client sees a reset, which it can't take for the orderly end of a response. */
static void
reset_tunnel (Tunnel *tunnel, DpTunnelEnd end)
{
  dp_socket_reset_on_close (bufferevent_getfd (tunnel->client));
  end_tunnel (tunnel, end);
}

/* Everything was sent to the client. */
static void
finish_flush (Tunnel *tunnel)
{
  if (tunnel->end == DP_TUNNEL_END_TARGET_RESET)
    {
      reset_tunnel (tunnel, tunnel->end);
      return;
    }
  shutdown (bufferevent_getfd (tunnel->client), SHUT_WR);
  tunnel->stage = STAGE_LINGERING;
  set_timer (tunnel, LINGER_TIMEOUT);
}

static gsize
unsent_bytes (struct bufferevent *bev)
{
  return evbuffer_get_length (bufferevent_get_output (bev));
}

/* Sends what is left to the client, and discards what it still sends. */
static void
start_flush (Tunnel *tunnel, DpTunnelEnd end)
{
  tunnel->stage = STAGE_FLUSHING;
  tunnel->end = end;
  close_target (tunnel);
  event_del (tunnel->timer);
  struct evbuffer *input = bufferevent_get_input (tunnel->client);
  evbuffer_drain (input, evbuffer_get_length (input));
  bufferevent_setwatermark (tunnel->client, EV_READ, 0, 0);
  bufferevent_setwatermark (tunnel->client, EV_WRITE, 0, 0);
  bufferevent_enable (tunnel->client, EV_READ);
  if (unsent_bytes (tunnel->client) == 0)
    finish_flush (tunnel);
}

static const char *
status_text (DpTunnelStatus status)
{
  switch (status)
    {
    case DP_TUNNEL_OPEN:
      return "OK";
    case DP_TUNNEL_BAD_REQUEST:
      return "Bad Request";
    case DP_TUNNEL_UNKNOWN_TARGET:
      return "Forbidden";
    case DP_TUNNEL_TARGET_UNREACHABLE:
      return "Bad Gateway";
    case DP_TUNNEL_UNAVAILABLE:
      return "Service Unavailable";
    case DP_TUNNEL_TARGET_TIMED_OUT:
      return "Gateway Timeout";
    }
  return "";
}

static void
count_status (const DpTunnelServer *server, DpTunnelStatus status)
{
  char code[8];
  g_snprintf (code, sizeof code, "%d", (int)status);
  dp_counters_add (server->options.counters, "dogwoodplank_tunnels_total", "status", code, 1);
}

static void
refuse (Tunnel *tunnel, DpTunnelStatus status)
{
  DpTunnelServer *server = tunnel->server;
  count_status (server, status);
  leave_open (tunnel);
  server->options.callbacks->refused (server->options.user, tunnel->target_id, status);
  evbuffer_add_printf (bufferevent_get_output (tunnel->client),
                       "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                       (int)status, status_text (status));
  start_flush (tunnel, DP_TUNNEL_END_TARGET);
}

/* --- forwarding --- */

/* Returns the number of bytes. */
static gsize
move_bytes (struct evbuffer *from, struct evbuffer *to)
{
  gsize length = evbuffer_get_length (from);
  if (length > COPY_BYTES_MAX || evbuffer_get_length (to) == 0)
    {
      evbuffer_add_buffer (to, from);
      return length;
    }
  char bytes[COPY_BYTES_MAX];
  evbuffer_remove (from, bytes, length);
  evbuffer_add (to, bytes, length);
  return length;
}

/* Reading pauses while the destination doesn't take the bytes. */
static gsize
forward (Tunnel *tunnel, struct bufferevent *from, struct bufferevent *to)
{
  tunnel->progress_at = dp_clock_now ();
  gsize length = move_bytes (bufferevent_get_input (from), bufferevent_get_output (to));
  if (unsent_bytes (to) >= tunnel->server->options.buffer_max)
    bufferevent_disable (from, EV_READ);
  return length;
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  Tunnel *tunnel = user;
  if (info->n_deleted > 0)
    tunnel->progress_at = dp_clock_now ();
}

/* The write callback runs once less than half of the buffer is in use. */
static void
set_watermarks (const Tunnel *tunnel, struct bufferevent *bev)
{
  bufferevent_setwatermark (bev, EV_WRITE, tunnel->server->options.buffer_max / 2, 0);
  bufferevent_setwatermark (bev, EV_READ, 0, 0);
}

static void
on_target_read (struct bufferevent *bev, void *user)
{
  Tunnel *tunnel = user;
  tunnel->bytes_to_client += forward (tunnel, bev, tunnel->client);
}

static void
on_target_written (struct bufferevent *bev, void *user)
{
  const Tunnel *tunnel = user;
  bufferevent_enable (tunnel->client, EV_READ);
}

static void
open_tunnel (Tunnel *tunnel)
{
  DpTunnelServer *server = tunnel->server;
  static const char answer[] = "HTTP/1.1 200 OK\r\n\r\n";
  event_del (tunnel->timer);
  tunnel->stage = STAGE_OPEN;
  tunnel->was_open = TRUE;
  count_status (server, DP_TUNNEL_OPEN);
  set_watermarks (tunnel, tunnel->client);
  set_watermarks (tunnel, tunnel->target);
  bufferevent_write (tunnel->client, answer, sizeof answer - 1);
  bufferevent_enable (tunnel->target, EV_READ);
  tunnel->bytes_to_target += forward (tunnel, tunnel->client, tunnel->target);
}

/* --- connection to the target --- */

static void
on_connect_failed (Tunnel *tunnel, DpTunnelStatus status)
{
  DpTunnelServer *server = tunnel->server;
  server->options.callbacks->connected (server->options.user, tunnel->target_id, FALSE);
  refuse (tunnel, status);
}

static void
on_target_event (struct bufferevent *bev, short what, void *user)
{
  Tunnel *tunnel = user;
  DpTunnelServer *server = tunnel->server;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      server->options.callbacks->connected (server->options.user, tunnel->target_id, TRUE);
      open_tunnel (tunnel);
    }
  else if (tunnel->stage == STAGE_CONNECTING)
    on_connect_failed (tunnel, EVUTIL_SOCKET_ERROR () == ETIMEDOUT
                                 ? DP_TUNNEL_TARGET_TIMED_OUT
                                 : DP_TUNNEL_TARGET_UNREACHABLE);
  else
    start_flush (tunnel, (what & BEV_EVENT_EOF) != 0 ? DP_TUNNEL_END_TARGET
                                                     : DP_TUNNEL_END_TARGET_RESET);
}

/* Returns the length of the socket address, or 0 if it isn't an IP address. */
static int
fill_address (struct sockaddr_storage *name, const char *address, guint16 port)
{
  int length = sizeof *name;
  memset (name, 0, sizeof *name);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)name, &length) != 0)
    return 0;
  if (name->ss_family == AF_INET6)
    ((struct sockaddr_in6 *)name)->sin6_port = htons (port);
  else
    ((struct sockaddr_in *)name)->sin_port = htons (port);
  return length;
}

/* TRUE if the error says something of the target, rather than of this machine. */
static gboolean
is_target_error (int error)
{
  return error == ECONNREFUSED || error == ENETUNREACH || error == EHOSTUNREACH;
}

static void
connect_target (Tunnel *tunnel, const char *address, guint16 port)
{
  DpTunnelServer *server = tunnel->server;
  struct sockaddr_storage name;
  int length = fill_address (&name, address, port);
  int fd
    = length > 0 ? socket (name.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0)
    {
      refuse (tunnel, DP_TUNNEL_UNAVAILABLE);
      return;
    }
  dp_socket_disable_nagle (fd);
  dp_socket_enable_keepalive (fd);
  tunnel->target = bufferevent_socket_new (server->options.base, fd, BEV_OPT_CLOSE_ON_FREE);
  server->descriptors++;
  tunnel->stage = STAGE_CONNECTING;
  server->open++;
  update_gauge (server);
  set_timer (tunnel, server->options.connect_timeout);
  if (bufferevent_socket_connect (tunnel->target, (struct sockaddr *)&name, length) == 0)
    {
      bufferevent_setcb (tunnel->target, on_target_read, on_target_written, on_target_event,
                         tunnel);
      evbuffer_add_cb (bufferevent_get_output (tunnel->target), on_output, tunnel);
    }
  else if (is_target_error (EVUTIL_SOCKET_ERROR ()))
    on_connect_failed (tunnel, DP_TUNNEL_TARGET_UNREACHABLE);
  else
    refuse (tunnel, DP_TUNNEL_UNAVAILABLE);
}

/* --- handshake --- */

/* Returns the value of the only "Target" header, or NULL if there isn't exactly one. */
static char *
find_target (char *const *lines)
{
  const char *value = NULL;
  guint count = 0;
  for (guint i = 0; lines[i] != NULL; i++)
    if (g_ascii_strncasecmp (lines[i], "Target:", strlen ("Target:")) == 0)
      {
        value = lines[i] + strlen ("Target:");
        count++;
      }
  if (count != 1)
    return NULL;
  char *target = g_strstrip (g_strdup (value));
  if (target[0] != '\0')
    return target;
  g_free (target);
  return NULL;
}

static gboolean
is_connect_line (const char *line)
{
  char **words = g_strsplit (line, " ", -1);
  gboolean is_valid = g_strv_length (words) == 3 && strcmp (words[0], "CONNECT") == 0
                      && words[1][0] != '\0' && strcmp (words[2], "HTTP/1.1") == 0;
  g_strfreev (words);
  return is_valid;
}

/* Returns the target's id, or NULL if the head isn't a valid CONNECT request. */
static char *
parse_head (const char *head, gsize length)
{
  DpHttpFraming framing = { 0 };
  if (dp_http_framing_read (&framing, head, length) != length
      || framing.stage != DP_HTTP_STAGE_COMPLETE)
    return NULL;
  char **lines = g_strsplit (head, "\r\n", -1);
  char *target = is_connect_line (lines[0]) ? find_target (lines + 1) : NULL;
  g_strfreev (lines);
  return target;
}

static gboolean
has_room (const DpTunnelServer *server)
{
  return server->open < server->options.tunnels_max
         && server->descriptors
              < dp_tunnel_server_descriptors_max (server->options.tunnels_max);
}

static void
on_head (Tunnel *tunnel, const char *head, gsize length)
{
  DpTunnelServer *server = tunnel->server;
  event_del (tunnel->timer);
  tunnel->target_id = parse_head (head, length);
  if (tunnel->target_id == NULL)
    {
      refuse (tunnel, DP_TUNNEL_BAD_REQUEST);
      return;
    }
  if (server->listener == NULL || !has_room (server))
    {
      refuse (tunnel, DP_TUNNEL_UNAVAILABLE);
      return;
    }
  char address[46] = "";
  guint16 port = 0;
  DpTunnelStatus status = server->options.callbacks->resolve (
    server->options.user, tunnel->target_id, address, &port);
  if (status == DP_TUNNEL_OPEN)
    connect_target (tunnel, address, port);
  else
    refuse (tunnel, status);
}

static void
read_handshake (Tunnel *tunnel)
{
  struct evbuffer *input = bufferevent_get_input (tunnel->client);
  struct evbuffer_ptr end = evbuffer_search (input, HEAD_END, HEAD_END_BYTES, NULL);
  gsize length = end.pos >= 0 ? (gsize)end.pos + HEAD_END_BYTES : evbuffer_get_length (input);
  if (length > tunnel->server->options.head_max)
    {
      refuse (tunnel, DP_TUNNEL_BAD_REQUEST);
      return;
    }
  if (end.pos < 0)
    return;
  char *head = g_malloc (length + 1);
  evbuffer_remove (input, head, length);
  head[length] = '\0';
  on_head (tunnel, head, length);
  g_free (head);
}

static void
on_client_read (struct bufferevent *bev, void *user)
{
  Tunnel *tunnel = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  switch (tunnel->stage)
    {
    case STAGE_HANDSHAKE:
      read_handshake (tunnel);
      break;
    case STAGE_CONNECTING:
      break;
    case STAGE_OPEN:
      tunnel->bytes_to_target += forward (tunnel, bev, tunnel->target);
      break;
    case STAGE_FLUSHING:
    case STAGE_LINGERING:
      evbuffer_drain (input, evbuffer_get_length (input));
      break;
    }
}

static void
on_client_written (struct bufferevent *bev, void *user)
{
  Tunnel *tunnel = user;
  if (tunnel->stage == STAGE_OPEN)
    bufferevent_enable (tunnel->target, EV_READ);
  else if (tunnel->stage == STAGE_FLUSHING)
    finish_flush (tunnel);
}

static void
on_client_event (struct bufferevent *bev, short what, void *user)
{
  Tunnel *tunnel = user;
  gboolean is_target_closed
    = tunnel->stage == STAGE_FLUSHING || tunnel->stage == STAGE_LINGERING;
  end_tunnel (tunnel, is_target_closed ? tunnel->end : DP_TUNNEL_END_CLIENT);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  Tunnel *tunnel = user;
  switch (tunnel->stage)
    {
    case STAGE_HANDSHAKE:
      refuse (tunnel, DP_TUNNEL_BAD_REQUEST);
      break;
    case STAGE_CONNECTING:
      on_connect_failed (tunnel, DP_TUNNEL_TARGET_TIMED_OUT);
      break;
    case STAGE_OPEN:
    case STAGE_FLUSHING:
    case STAGE_LINGERING:
      end_tunnel (tunnel, tunnel->end);
      break;
    }
}

/* --- server --- */

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *name,
           int length,
           void *user)
{
  DpTunnelServer *server = user;
  if (server->descriptors >= dp_tunnel_server_descriptors_max (server->options.tunnels_max))
    {
      count_status (server, DP_TUNNEL_UNAVAILABLE);
      close (fd);
      return;
    }
  dp_socket_disable_nagle (fd);
  dp_socket_enable_keepalive (fd);
  Tunnel *tunnel = g_new0 (Tunnel, 1);
  tunnel->server = server;
  tunnel->accepted_at = dp_clock_now ();
  tunnel->progress_at = tunnel->accepted_at;
  tunnel->timer = evtimer_new (server->options.base, on_timer, tunnel);
  tunnel->client = bufferevent_socket_new (server->options.base, fd, BEV_OPT_CLOSE_ON_FREE);
  server->descriptors++;
  g_hash_table_add (server->tunnels, tunnel);
  bufferevent_setcb (tunnel->client, on_client_read, on_client_written, on_client_event,
                     tunnel);
  evbuffer_add_cb (bufferevent_get_output (tunnel->client), on_output, tunnel);
  bufferevent_setwatermark (tunnel->client, EV_READ, 0, server->options.head_max + 1);
  bufferevent_enable (tunnel->client, EV_READ | EV_WRITE);
  set_timer (tunnel, server->options.handshake_timeout);
}

/* The process is out of descriptors or memory. The next sweep accepts again. */
static void
on_accept_error (struct evconnlistener *listener, void *user)
{
  evconnlistener_disable (listener);
}

/* While reading is paused, libevent doesn't report that the peer has disconnected. */
static gboolean
has_disconnected (struct bufferevent *bev)
{
  if ((bufferevent_get_enabled (bev) & EV_READ) != 0)
    return FALSE;
  struct pollfd fd = { .fd = bufferevent_getfd (bev), .events = POLLRDHUP };
  return poll (&fd, 1, 0) > 0;
}

static void
check_tunnel (Tunnel *tunnel, DpUsec now)
{
  if (tunnel->stage != STAGE_OPEN && tunnel->stage != STAGE_FLUSHING)
    return;
  if (now - tunnel->progress_at > tunnel->server->options.idle_timeout)
    reset_tunnel (tunnel, DP_TUNNEL_END_IDLE);
  else if (has_disconnected (tunnel->client))
    end_tunnel (tunnel, DP_TUNNEL_END_CLIENT);
}

static void
on_sweep (evutil_socket_t fd, short what, void *user)
{
  DpTunnelServer *server = user;
  if (server->listener != NULL)
    evconnlistener_enable (server->listener);
  DpUsec now = dp_clock_now ();
  GList *tunnels = g_hash_table_get_keys (server->tunnels);
  for (GList *at = tunnels; at != NULL; at = at->next)
    check_tunnel (at->data, now);
  g_list_free (tunnels);
}

DpTunnelServer *
dp_tunnel_server_new (const DpTunnelServerOptions *options)
{
  struct sockaddr_storage name;
  int length = fill_address (&name, options->address, options->port);
  if (length == 0)
    return NULL;
  struct evconnlistener *listener = evconnlistener_new_bind (
    options->base, NULL, NULL,
    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE, LISTEN_BACKLOG,
    (struct sockaddr *)&name, length);
  if (listener == NULL)
    return NULL;
  DpTunnelServer *server = g_new0 (DpTunnelServer, 1);
  server->options = *options;
  dp_counters_ref (options->counters);
  server->tunnels = g_hash_table_new_full (NULL, NULL, free_tunnel, NULL);
  server->listener = listener;
  evconnlistener_set_error_cb (listener, on_accept_error);
  evconnlistener_set_cb (listener, on_accept, server);
  server->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, server);
  const struct timeval interval = { .tv_sec = SWEEP_INTERVAL_SECONDS };
  event_add (server->sweep, &interval);
  update_gauge (server);
  return server;
}

void
dp_tunnel_server_free (DpTunnelServer *server)
{
  if (server == NULL)
    return;
  dp_tunnel_server_stop_accepting (server);
  GList *tunnels = g_hash_table_get_keys (server->tunnels);
  for (GList *at = tunnels; at != NULL; at = at->next)
    reset_tunnel (at->data, DP_TUNNEL_END_STOPPED);
  g_list_free (tunnels);
  g_hash_table_unref (server->tunnels);
  event_free (server->sweep);
  dp_counters_unref (server->options.counters);
  g_free (server);
}

void
dp_tunnel_server_stop_accepting (DpTunnelServer *server)
{
  g_clear_pointer (&server->listener, evconnlistener_free);
}

guint
dp_tunnel_server_open (const DpTunnelServer *server)
{
  return server->open;
}

guint
dp_tunnel_server_descriptors_max (guint tunnels_max)
{
  return tunnels_max * DESCRIPTORS_PER_TUNNEL + SPARE_DESCRIPTORS;
}
