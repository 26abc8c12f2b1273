#include "net/http_connections.h"

#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#define SWEEP_INTERVAL_SECONDS 1

/* One accepted connection. evhttp doesn't report when it frees a connection, so the peer
 * address is compared to detect that the descriptor was closed or reused. Inodes can't be used:
 * some kernels give all sockets the same number. */
typedef struct Connection
{
  int fd;
  struct sockaddr_storage peer;
  DpUsec idle_since; /* accepted, or finished its last request */
  gboolean busy;     /* a request is in progress */
  gboolean is_shut;  /* shut down by this side */
} Connection;

struct DpHttpConnections
{
  DpHttpConnectionsOptions options;
  struct evconnlistener *listener; /* may be NULL */
  GHashTable *by_fd;               /* descriptor -> Connection */
  GPtrArray *accepted;             /* struct bufferevent; not in by_fd yet */
  struct event *accepted_event;
  struct event *sweep;
};

/* All zero if the descriptor isn't a connected socket. */
static struct sockaddr_storage
peer_address (int fd)
{
  struct sockaddr_storage peer;
  memset (&peer, 0, sizeof peer);
  socklen_t length = sizeof peer;
  if (getpeername (fd, (struct sockaddr *)&peer, &length) != 0)
    memset (&peer, 0, sizeof peer);
  return peer;
}

static gboolean
is_still_open (const Connection *connection)
{
  struct sockaddr_storage peer = peer_address (connection->fd);
  return peer.ss_family != 0 && memcmp (&peer, &connection->peer, sizeof peer) == 0;
}

static void
update_listener (DpHttpConnections *connections)
{
  if (connections->listener == NULL)
    return;
  guint open = g_hash_table_size (connections->by_fd) + connections->accepted->len;
  if (open < connections->options.max)
    evconnlistener_enable (connections->listener);
  else
    evconnlistener_disable (connections->listener);
}

/* evhttp assigns the socket to the bufferevent after this callback returns. */
static struct bufferevent *
on_accept (struct event_base *base, void *user)
{
  DpHttpConnections *connections = user;
  struct bufferevent *bev = bufferevent_socket_new (base, -1, 0);
  g_ptr_array_add (connections->accepted, bev);
  event_active (connections->accepted_event, EV_TIMEOUT, 0);
  update_listener (connections);
  return bev;
}

/* Runs before the loop polls for input again, so that no connection can be closed yet. */
static void
on_accepted (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  for (guint i = 0; i < connections->accepted->len; i++)
    {
      Connection *connection = g_new0 (Connection, 1);
      connection->fd = bufferevent_getfd (g_ptr_array_index (connections->accepted, i));
      connection->peer = peer_address (connection->fd);
      connection->idle_since = g_get_monotonic_time ();
      g_hash_table_replace (connections->by_fd, &connection->fd, connection);
    }
  g_ptr_array_set_size (connections->accepted, 0);
}

static void
shut_down (DpHttpConnections *connections, Connection *connection, const char *counter)
{
  if (!connection->is_shut)
    dp_counters_add (connections->options.counters, counter, "listener",
                     connections->options.name, 1);
  connection->is_shut = TRUE;
  shutdown (connection->fd, SHUT_RDWR);
}

/* Removes closed connections and shuts down those that exceed the request timeout. */
static void
on_sweep (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  DpUsec expired_before = g_get_monotonic_time () - connections->options.request_timeout;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      if (!is_still_open (connection))
        g_hash_table_iter_remove (&iter);
      else if (!connection->busy && connection->idle_since < expired_before)
        shut_down (connections, connection, "dogwoodplank_http_idle_closed_total");
    }
  dp_counters_set (connections->options.counters, "dogwoodplank_http_connections", "listener",
                   connections->options.name, g_hash_table_size (connections->by_fd));
  update_listener (connections);
}

void
dp_http_connections_set_busy (DpHttpConnections *connections,
                              struct evhttp_connection *connection,
                              gboolean busy)
{
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  Connection *row = g_hash_table_lookup (connections->by_fd, &fd);
  if (row == NULL)
    return;
  if (busy && row->is_shut)
    dp_counters_add (connections->options.counters,
                     "dogwoodplank_http_requests_after_close_total", "listener",
                     connections->options.name, 1);
  row->busy = busy;
  row->idle_since = g_get_monotonic_time ();
}

DpHttpConnections *
dp_http_connections_new (const DpHttpConnectionsOptions *options)
{
  DpHttpConnections *connections = g_new0 (DpHttpConnections, 1);
  connections->options = *options;
  connections->by_fd = g_hash_table_new_full (g_int_hash, g_int_equal, NULL, g_free);
  connections->accepted = g_ptr_array_new ();
  connections->accepted_event = event_new (options->base, -1, 0, on_accepted, connections);
  connections->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, connections);
  const struct timeval interval = { .tv_sec = SWEEP_INTERVAL_SECONDS };
  event_add (connections->sweep, &interval);
  evhttp_set_bevcb (options->http, on_accept, connections);
  return connections;
}

void
dp_http_connections_free (DpHttpConnections *connections)
{
  event_free (connections->sweep);
  event_free (connections->accepted_event);
  g_ptr_array_unref (connections->accepted);
  g_hash_table_unref (connections->by_fd);
  g_free (connections);
}

void
dp_http_connections_set_listener (DpHttpConnections *connections,
                                  struct evconnlistener *listener)
{
  connections->listener = listener;
}

void
dp_http_connections_set_request_timeout (DpHttpConnections *connections, DpUsec timeout)
{
  connections->options.request_timeout = timeout;
}

void
dp_http_connections_close_idle (DpHttpConnections *connections)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      if (!connection->busy && is_still_open (connection))
        shut_down (connections, connection, "dogwoodplank_http_stop_closed_total");
    }
}
