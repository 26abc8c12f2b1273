#include "soak/soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

/* Delay of SOAK_PROXY_DELAY: well above a round trip, well below the request timeout. */
#define DELAY_MODE_USEC 120000
#define BUFFER_MAX_BYTES ((gsize)1024 * 1024)

const char *const soak_proxy_mode_names[SOAK_PROXY_MODES] = {
  [SOAK_PROXY_PASS] = "pass",       [SOAK_PROXY_DELAY] = "delay",
  [SOAK_PROXY_RESET] = "reset",     [SOAK_PROXY_SILENT] = "silent",
  [SOAK_PROXY_ONE_WAY] = "one_way",
};

struct SoakProxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  char to_address[SOAK_ADDRESS_BYTES];
  guint16 port;
  SoakProxyMode mode;
  GHashTable *connections; /* set of Connection */
};

typedef struct Connection Connection;

/* One direction of a proxied connection. */
typedef struct Direction
{
  Connection *connection;
  struct bufferevent *bev; /* read from */
  struct bufferevent *destination;
  struct event *delay_timer; /* forwards the delayed bytes */
  gboolean is_response;
} Direction;

struct Connection
{
  SoakProxy *proxy;
  Direction directions[2]; /* from the client, from the server */
};

static void
connection_free (gpointer data)
{
  Connection *connection = data;
  for (guint i = 0; i < 2; i++)
    event_free (connection->directions[i].delay_timer);
  for (guint i = 0; i < 2; i++)
    bufferevent_free (connection->directions[i].bev);
  g_free (connection);
}

static void
connection_reset (Connection *connection)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  for (guint i = 0; i < 2; i++)
    {
      evutil_socket_t fd = bufferevent_getfd (connection->directions[i].bev);
      if (fd >= 0)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
  g_hash_table_remove (connection->proxy->connections, connection);
}

static gboolean
is_blocked (const Direction *direction)
{
  SoakProxyMode mode = direction->connection->proxy->mode;
  return mode == SOAK_PROXY_SILENT || (mode == SOAK_PROXY_ONE_WAY && direction->is_response);
}

static void
forward (Direction *direction)
{
  evbuffer_add_buffer (bufferevent_get_output (direction->destination),
                       bufferevent_get_input (direction->bev));
}

static void
on_delay_over (evutil_socket_t fd, short what, void *user)
{
  Direction *direction = user;
  if (!is_blocked (direction))
    forward (direction);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  Direction *direction = user;
  const struct timeval delay = { .tv_usec = DELAY_MODE_USEC };
  if (is_blocked (direction))
    return;
  if (direction->connection->proxy->mode != SOAK_PROXY_DELAY)
    forward (direction);
  else if (!event_pending (direction->delay_timer, EV_TIMEOUT, NULL))
    event_add (direction->delay_timer, &delay);
}

static void
on_event (struct bufferevent *bev, short what, void *user)
{
  Direction *direction = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  if (!is_blocked (direction))
    forward (direction);
  bufferevent_flush (direction->destination, EV_WRITE, BEV_FINISHED);
  if (evbuffer_get_length (bufferevent_get_output (direction->destination)) == 0
      || (what & BEV_EVENT_ERROR) != 0)
    {
      g_hash_table_remove (direction->connection->proxy->connections, direction->connection);
      return;
    }
  /* The remaining bytes are written first; on_written() then closes the connection. */
  shutdown (bufferevent_getfd (direction->bev), SHUT_RD);
  bufferevent_disable (direction->bev, EV_READ);
}

/* All bytes have been written: closes the connection if their source has closed already. */
static void
on_written (struct bufferevent *bev, void *user)
{
  Direction *direction = user;
  const Direction *from = &direction->connection->directions[direction->is_response ? 0 : 1];
  if ((bufferevent_get_enabled (from->bev) & EV_READ) == 0)
    g_hash_table_remove (direction->connection->proxy->connections, direction->connection);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *user)
{
  SoakProxy *proxy = user;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (proxy->port) };
  inet_pton (AF_INET, proxy->to_address, &to.sin_addr);
  Connection *connection = g_new0 (Connection, 1);
  connection->proxy = proxy;
  struct bufferevent *client = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct bufferevent *server = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  connection->directions[0]
    = (Direction){ .connection = connection, .bev = client, .destination = server };
  connection->directions[1] = (Direction){
    .connection = connection, .bev = server, .destination = client, .is_response = TRUE
  };
  for (guint i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];
      direction->delay_timer = evtimer_new (proxy->base, on_delay_over, direction);
      bufferevent_setcb (direction->bev, on_read, on_written, on_event, direction);
      bufferevent_setwatermark (direction->bev, EV_READ, 0, BUFFER_MAX_BYTES);
    }
  g_hash_table_add (proxy->connections, connection);
  bufferevent_socket_connect (server, (struct sockaddr *)&to, sizeof to);
  bufferevent_enable (client, EV_READ | EV_WRITE);
  bufferevent_enable (server, EV_READ | EV_WRITE);
  if (proxy->mode == SOAK_PROXY_RESET)
    connection_reset (connection);
}

SoakProxy *
soak_proxy_new (struct event_base *base,
                const char *address,
                const char *to_address,
                guint16 port)
{
  SoakProxy *proxy = g_new0 (SoakProxy, 1);
  proxy->base = base;
  g_strlcpy (proxy->to_address, to_address, sizeof proxy->to_address);
  proxy->port = port;
  proxy->connections = g_hash_table_new_full (NULL, NULL, connection_free, NULL);
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (proxy->port) };
  inet_pton (AF_INET, address, &name.sin_addr);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&name, sizeof name);
  g_assert (proxy->listener != NULL);
  return proxy;
}

void
soak_proxy_free (SoakProxy *proxy)
{
  evconnlistener_free (proxy->listener);
  g_hash_table_unref (proxy->connections);
  g_free (proxy);
}

void
soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode)
{
  proxy->mode = mode;
  GList *connections = g_hash_table_get_keys (proxy->connections);
  for (GList *at = connections; at != NULL; at = at->next)
    {
      Connection *connection = at->data;
      if (mode == SOAK_PROXY_RESET)
        {
          connection_reset (connection);
          continue;
        }
      for (guint i = 0; i < 2; i++)
        if (!is_blocked (&connection->directions[i]))
          forward (&connection->directions[i]);
    }
  g_list_free (connections);
}
