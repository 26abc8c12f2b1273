#include "tests/store_rewriter.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct StoreRewriter
{
  GThread *thread;
  int stop_pipe[2]; /* closing the second end stops the thread */
  guint16 port;
  gint is_active;  /* atomic */
  gint is_stalled; /* atomic */
  char *from;
  char *to;
  gsize length;
  struct sockaddr_in store;
  /* used by the thread only */
  struct event_base *base;
  struct evconnlistener *listener;
  GHashTable *connections; /* Connection */
};

typedef struct Connection
{
  StoreRewriter *rewriter;
  struct bufferevent *client;
  struct bufferevent *store;
} Connection;

static void
free_connection (gpointer data)
{
  Connection *connection = data;
  bufferevent_free (connection->client);
  bufferevent_free (connection->store);
  g_free (connection);
}

/* Length of the longest end of the bytes that may be the beginning of the text. */
static gsize
partial_length (const StoreRewriter *rewriter, const char *bytes, gsize length)
{
  for (gsize i = MIN (rewriter->length - 1, length); i > 0; i--)
    if (memcmp (bytes + length - i, rewriter->from, i) == 0)
      return i;
  return 0;
}

static void
rewrite_bytes (const StoreRewriter *rewriter, char *bytes, gsize length)
{
  char *end = bytes + length;
  for (char *at = bytes;
       (at = memmem (at, (gsize)(end - at), rewriter->from, rewriter->length)) != NULL;
       at += rewriter->length)
    memcpy (at, rewriter->to, rewriter->length);
}

/* Bytes that may be the beginning of the text wait for those that follow. */
static void
on_store_read (struct bufferevent *bev, void *user)
{
  const Connection *connection = user;
  StoreRewriter *rewriter = connection->rewriter;
  if (g_atomic_int_get (&rewriter->is_stalled))
    return;
  struct evbuffer *input = bufferevent_get_input (bev);
  gsize length = evbuffer_get_length (input);
  if (g_atomic_int_get (&rewriter->is_active))
    {
      char *bytes = (char *)evbuffer_pullup (input, -1);
      rewrite_bytes (rewriter, bytes, length);
      length -= partial_length (rewriter, bytes, length);
    }
  evbuffer_remove_buffer (input, bufferevent_get_output (connection->client), length);
}

static void
on_client_read (struct bufferevent *bev, void *user)
{
  const Connection *connection = user;
  if (g_atomic_int_get (&connection->rewriter->is_stalled))
    return;
  evbuffer_add_buffer (bufferevent_get_output (connection->store), bufferevent_get_input (bev));
}

static void
close_connection (Connection *connection)
{
  g_hash_table_remove (connection->rewriter->connections, connection);
}

static void
on_client_event (struct bufferevent *bev, short what, void *user)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    close_connection (user);
}

static void
on_client_written (struct bufferevent *bev, void *user)
{
  close_connection (user);
}

static void
on_store_event (struct bufferevent *bev, short what, void *user)
{
  Connection *connection = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  struct evbuffer *output = bufferevent_get_output (connection->client);
  evbuffer_add_buffer (output, bufferevent_get_input (bev));
  bufferevent_disable (bev, EV_READ | EV_WRITE);
  bufferevent_setcb (connection->client, NULL, on_client_written, on_client_event, connection);
  if (evbuffer_get_length (output) == 0)
    close_connection (connection);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *name,
           int length,
           void *user)
{
  StoreRewriter *rewriter = user;
  Connection *connection = g_new0 (Connection, 1);
  connection->rewriter = rewriter;
  connection->client = bufferevent_socket_new (rewriter->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->store = bufferevent_socket_new (rewriter->base, -1, BEV_OPT_CLOSE_ON_FREE);
  g_hash_table_add (rewriter->connections, connection);
  bufferevent_setcb (connection->client, on_client_read, NULL, on_client_event, connection);
  bufferevent_setcb (connection->store, on_store_read, NULL, on_store_event, connection);
  bufferevent_socket_connect (connection->store, (struct sockaddr *)&rewriter->store,
                              sizeof rewriter->store);
  bufferevent_enable (connection->client, EV_READ | EV_WRITE);
  bufferevent_enable (connection->store, EV_READ | EV_WRITE);
}

static void
on_stop (evutil_socket_t fd, short what, void *user)
{
  const StoreRewriter *rewriter = user;
  event_base_loopbreak (rewriter->base);
}

static gpointer
run (gpointer user)
{
  StoreRewriter *rewriter = user;
  struct event *stop
    = event_new (rewriter->base, rewriter->stop_pipe[0], EV_READ, on_stop, rewriter);
  event_add (stop, NULL);
  event_base_dispatch (rewriter->base);
  event_free (stop);
  g_hash_table_unref (rewriter->connections);
  evconnlistener_free (rewriter->listener);
  event_base_loop (rewriter->base, EVLOOP_NONBLOCK);
  event_base_free (rewriter->base);
  return NULL;
}

static struct sockaddr_in
socket_address (const char *address, guint16 port)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (port) };
  ck_assert_int_eq (inet_pton (AF_INET, address, &name.sin_addr), 1);
  return name;
}

StoreRewriter *
store_rewriter_start (const StoreRewriterOptions *options)
{
  ck_assert_uint_eq (strlen (options->from), strlen (options->to));
  StoreRewriter *rewriter = g_new0 (StoreRewriter, 1);
  rewriter->from = g_strdup (options->from);
  rewriter->to = g_strdup (options->to);
  rewriter->length = strlen (options->from);
  rewriter->store = socket_address (options->store_address, options->store_port);
  rewriter->base = event_base_new ();
  rewriter->connections = g_hash_table_new_full (NULL, NULL, free_connection, NULL);
  struct sockaddr_in name = socket_address (options->address, 0);
  rewriter->listener = evconnlistener_new_bind (rewriter->base, on_accept, rewriter,
                                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                                -1, (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (rewriter->listener);
  socklen_t length = sizeof name;
  getsockname (evconnlistener_get_fd (rewriter->listener), (struct sockaddr *)&name, &length);
  rewriter->port = ntohs (name.sin_port);
  ck_assert_int_eq (pipe2 (rewriter->stop_pipe, O_CLOEXEC), 0);
  rewriter->thread = g_thread_new ("store-rewriter", run, rewriter);
  return rewriter;
}

void
store_rewriter_free (StoreRewriter *rewriter)
{
  close (rewriter->stop_pipe[1]);
  g_thread_join (rewriter->thread);
  close (rewriter->stop_pipe[0]);
  g_free (rewriter->from);
  g_free (rewriter->to);
  g_free (rewriter);
}

guint16
store_rewriter_port (const StoreRewriter *rewriter)
{
  return rewriter->port;
}

void
store_rewriter_set_active (StoreRewriter *rewriter, gboolean is_active)
{
  g_atomic_int_set (&rewriter->is_active, is_active);
}

void
store_rewriter_stall (StoreRewriter *rewriter)
{
  g_atomic_int_set (&rewriter->is_stalled, TRUE);
}
