#include "standins/http.h"

#include "common/log.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum wait for a peer that does not read, before its connection is closed. */
#define SEND_TIMEOUT_MSEC 200
#define LISTEN_BACKLOG 4096
#define HEADERS_MAX 65536 /* bytes */

struct StandinServer
{
  StandinServerOptions options;
  struct evhttp *http;
  struct evhttp *control;
  struct evhttp_bound_socket *socket; /* NULL while closed */
};

/* Tokens are small writes: with Nagle's algorithm each waits for the peer's delayed ACK. */
static void
disable_nagle (struct evhttp_request *req)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_request (struct evhttp_request *req, void *data)
{
  StandinServer *server = data;
  disable_nagle (req);
  server->options.handle (req, server->options.data);
}

static void
on_control_request (struct evhttp_request *req, void *data)
{
  StandinServer *server = data;
  disable_nagle (req);
  server->options.control (req, server->options.data);
}

static struct evhttp *
new_http (const StandinServerOptions *options,
          void (*handle) (struct evhttp_request *, gpointer),
          gpointer data)
{
  /* A VM may be killed while it is sent a response. */
  signal (SIGPIPE, SIG_IGN);
  struct evhttp *http = evhttp_new (options->base);
  evhttp_set_max_body_size (http, (ev_ssize_t)options->body_max);
  evhttp_set_max_headers_size (http, HEADERS_MAX);
  evhttp_set_allowed_methods (http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                      | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  evhttp_set_gencb (http, handle, data);
  return http;
}

static struct evhttp_bound_socket *
bind_http (struct evhttp *http, const char *address, guint16 port)
{
  struct evhttp_bound_socket *socket = evhttp_bind_socket_with_handle (http, address, port);
  if (socket == NULL)
    {
      char text[8];
      g_snprintf (text, sizeof text, "%u", port);
      dp_log (DP_LOG_ERROR, "listen_failed", "address", address, "port", text, "error",
              g_strerror (errno), NULL);
      return NULL;
    }
  listen (evhttp_bound_socket_get_fd (socket), LISTEN_BACKLOG);
  return socket;
}

StandinServer *
standin_server_new (const StandinServerOptions *options)
{
  StandinServer *server = g_new0 (StandinServer, 1);
  server->options = *options;
  server->http = new_http (options, on_request, server);
  server->socket = bind_http (server->http, options->address, options->port);
  gboolean bound = server->socket != NULL;
  if (bound && options->control_port != 0)
    {
      server->control = new_http (options, on_control_request, server);
      bound = bind_http (server->control, options->address, options->control_port) != NULL;
    }
  if (!bound)
    {
      evhttp_free (server->http);
      g_clear_pointer (&server->control, evhttp_free);
      g_free (server);
      return NULL;
    }
  char port[8];
  g_snprintf (port, sizeof port, "%u", options->port);
  dp_log (DP_LOG_NOTICE, "listening", "address", options->address, "port", port, NULL);
  return server;
}

void
standin_server_refuse (StandinServer *server, gboolean refuse)
{
  if (refuse == (server->socket == NULL))
    return;
  if (refuse)
    {
      evhttp_del_accept_socket (server->http, server->socket);
      server->socket = NULL;
      return;
    }
  server->socket = bind_http (server->http, server->options.address, server->options.port);
}

gboolean
standin_parse_address (const char *text, char **address, guint16 *port)
{
  const char *colon = strrchr (text, ':');
  if (colon == NULL || colon == text)
    return FALSE;
  guint64 number;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  *address = g_strndup (text, (gsize)(colon - text));
  *port = (guint16)number;
  return TRUE;
}

char *
standin_request_body (struct evhttp_request *req, gsize *length)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  gsize size = evbuffer_get_length (input);
  char *text = g_malloc (size + 1);
  evbuffer_copyout (input, text, size);
  text[size] = '\0';
  if (length != NULL)
    *length = size;
  return text;
}

const char *
standin_request_path (struct evhttp_request *req)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (req));
  return path != NULL ? path : "/";
}

char *
standin_query_parameter (struct evhttp_request *req, const char *name)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  if (query == NULL)
    return NULL;
  struct evkeyvalq pairs;
  if (evhttp_parse_query_str (query, &pairs) != 0)
    return NULL;
  char *value = g_strdup (evhttp_find_header (&pairs, name));
  evhttp_clear_headers (&pairs);
  return value;
}

const char *
standin_request_header (struct evhttp_request *req, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (req), name);
}

void
standin_reply (struct evhttp_request *req, int status, const char *type, const char *text)
{
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, text, strlen (text));
  if (type != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type", type);
  evhttp_send_reply (req, status, NULL, body);
  evbuffer_free (body);
}

void
standin_watch_close (struct evhttp_request *req,
                     void (*on_close) (struct evhttp_connection *connection, void *data),
                     gpointer data)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  bufferevent_data_cb write_cb;
  bufferevent_event_cb event_cb;
  void *arg;
  /* evhttp does not read between the end of the request and the first write of the response, so
   * it would not notice a close in the meantime. */
  bufferevent_getcb (bev, NULL, &write_cb, &event_cb, &arg);
  bufferevent_setcb (bev, NULL, write_cb, event_cb, arg);
  bufferevent_enable (bev, EV_READ);
  evhttp_connection_set_closecb (connection, on_close, data);
}

void
standin_unwatch_close (struct evhttp_request *req)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  if (connection != NULL)
    evhttp_connection_set_closecb (connection, NULL, NULL);
}

void
standin_release_request (struct evhttp_request *req)
{
  evhttp_send_reply_end (req);
}

static void
send_all (int fd, const char *data, gsize length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, data, length, MSG_NOSIGNAL);
      if (sent > 0)
        {
          data += sent;
          length -= (gsize)sent;
          continue;
        }
      struct pollfd waiting = { .fd = fd, .events = POLLOUT };
      if (errno != EAGAIN || poll (&waiting, 1, SEND_TIMEOUT_MSEC) <= 0)
        return;
    }
}

static void
send_with_buffered (struct bufferevent *bev, const void *data, gsize length)
{
  struct evbuffer *output = bufferevent_get_output (bev);
  /* A bufferevent freezes the front of its output, which also prevents copying it out. */
  evbuffer_unfreeze (output, 1);
  gsize pending = evbuffer_get_length (output);
  char *buffered = g_malloc (pending + 1);
  evbuffer_copyout (output, buffered, pending);
  evbuffer_freeze (output, 1);
  send_all (bufferevent_getfd (bev), buffered, pending);
  send_all (bufferevent_getfd (bev), data, length);
  g_free (buffered);
}

void
standin_send_and_close (struct evhttp_request *req, const void *data, gsize length)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  send_with_buffered (evhttp_connection_get_bufferevent (connection), data, length);
  evhttp_connection_set_closecb (connection, NULL, NULL);
  evhttp_connection_free (connection);
}

void
standin_send_and_reset (struct evhttp_request *req, const void *data, gsize length)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (req);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  send_with_buffered (bev, data, length);
  evhttp_connection_set_closecb (connection, NULL, NULL);
  /* evhttp would shut the connection down first, which the peer may see as its orderly end. */
  evutil_socket_t socket = bufferevent_getfd (bev);
  const struct linger linger = { .l_onoff = 1 };
  setsockopt (socket, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  bufferevent_setfd (bev, -1);
  close (socket);
  evhttp_connection_free (connection);
}

static void
on_signal (evutil_socket_t number, short events, void *data)
{
  event_base_loopbreak (data);
}

void
standin_run (struct event_base *base)
{
  struct event *term = evsignal_new (base, SIGTERM, on_signal, base);
  struct event *interrupt = evsignal_new (base, SIGINT, on_signal, base);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  event_base_dispatch (base);
  event_free (term);
  event_free (interrupt);
}
