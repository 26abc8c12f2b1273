#include "net/http_server.h"

#include "common/log.h"
#include "core/reason.h"
#include "net/http_connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

/* evhttp replies to bodies over its own limit with an HTML page. Its limit is therefore higher,
 * so that this server can reject most of them itself. */
#define EVHTTP_BODY_MAX_FACTOR 2
/* Long bodies and heads are received within some tenths of a second. */
#define RETRY_AFTER_LIMIT "Retry-After: 0.25\r\n"
/* The kernel may enforce a lower limit. */
#define LISTEN_BACKLOG 4096
#define ALL_METHODS                                                                            \
  (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE     \
   | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct DpHttpServer
{
  /* constant */
  DpHttpServerOptions options;
  char *name;
  /* live as long as the server */
  struct evhttp *http;
  struct evhttp_bound_socket *bound_socket; /* NULL after dp_http_server_stop_accepting() */
  GHashTable *exchanges;                    /* DpHttpExchange: open */
  GHashTable *sending; /* DpHttpExchange: ended, response not sent in full yet */
  DpHttpConnections *connections;
  GHashTable *closing; /* ClosingConnection */
  gboolean close_after_responses;
};

struct DpHttpExchange
{
  DpHttpServer *server;
  struct evhttp_request *request;
  guint field_count; /* header fields; evhttp adds trailers behind them */
  gsize body_length;
  DpHttpClosedFunc on_closed;
  gpointer user;
  GDestroyNotify destroy;
  struct event *close_event; /* closes the connection; NULL unless disconnecting */
};

/* A connection that is closed on the next loop iteration. */
typedef struct ClosingConnection
{
  DpHttpServer *server;
  struct evhttp_connection *connection; /* NULL once evhttp has freed it */
  struct event *event;
} ClosingConnection;

static struct timeval
to_timeval (DpUsec duration)
{
  return (struct timeval){ .tv_sec = duration / DP_USEC_PER_SEC,
                           .tv_usec = duration % DP_USEC_PER_SEC };
}

static void
increment (DpHttpServer *server, const char *name)
{
  dp_counters_add (server->options.counters, name, "listener", server->name, 1);
}

static struct bufferevent *
exchange_bufferevent (const DpHttpExchange *exchange)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (exchange->request);
  return connection != NULL ? evhttp_connection_get_bufferevent (connection) : NULL;
}

/* Doesn't free the request, which belongs to evhttp. */
static void
free_exchange (gpointer data)
{
  DpHttpExchange *exchange = data;
  if (exchange->close_event != NULL)
    event_free (exchange->close_event);
  if (exchange->destroy != NULL)
    exchange->destroy (exchange->user);
  g_free (exchange);
}

/* --- connections that close during an exchange --- */

/* evhttp detaches a request in progress from its closed connection; the server must then free
 * it. */
static void
on_connection_closed (struct evhttp_connection *connection, void *user)
{
  DpHttpExchange *exchange = user;
  dp_http_connections_release_body (exchange->server->connections, connection);
  if (evhttp_request_get_connection (exchange->request) == NULL)
    evhttp_request_free (exchange->request);
  exchange->request = NULL;
  increment (exchange->server, "dogwoodplank_http_callers_gone_total");
  g_hash_table_steal (exchange->server->exchanges, exchange);
  if (exchange->on_closed != NULL)
    exchange->on_closed (exchange->user);
  free_exchange (exchange);
}

/* Keeps reading while the request is in progress, only to detect that the caller disconnects.
 * evhttp aborts the process on unexpected input, so its read callback is removed. */
static void
watch_connection (DpHttpExchange *exchange)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (exchange->request);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  bufferevent_data_cb on_write;
  bufferevent_event_cb on_event;
  void *arg;
  bufferevent_getcb (bev, NULL, &on_write, &on_event, &arg);
  bufferevent_setcb (bev, NULL, on_write, on_event, arg);
  struct timeval write_timeout = to_timeval (exchange->server->options.write_timeout);
  bufferevent_set_timeouts (bev, NULL, &write_timeout);
  bufferevent_enable (bev, EV_READ);
  dp_http_connections_set_busy (exchange->server->connections, connection, TRUE);
  evhttp_connection_set_closecb (connection, on_connection_closed, exchange);
}

static void
unwatch_connection (DpHttpExchange *exchange)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (exchange->request);
  if (connection == NULL)
    return;
  evhttp_connection_set_closecb (connection, NULL, NULL);
}

/* For the next request. While a response was sent, the client had nothing to send. */
static void
set_timeouts (const DpHttpServer *server, struct evhttp_connection *connection)
{
  struct timeval read_timeout
    = to_timeval (dp_http_connections_read_timeout (server->connections));
  struct timeval write_timeout = to_timeval (server->options.write_timeout);
  bufferevent_set_timeouts (evhttp_connection_get_bufferevent (connection), &read_timeout,
                            &write_timeout);
}

static gboolean
has_close_header (const struct evkeyvalq *headers)
{
  const char *value = evhttp_find_header (headers, "Connection");
  return value != NULL && g_ascii_strcasecmp (value, "close") == 0;
}

static void
on_sent (struct evhttp_request *request, void *user)
{
  DpHttpExchange *exchange = user;
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  if (connection != NULL)
    {
      if (has_close_header (evhttp_request_get_output_headers (request))
          || has_close_header (evhttp_request_get_input_headers (request)))
        dp_http_connections_linger (exchange->server->connections, connection);
      evhttp_connection_set_closecb (connection, NULL, NULL);
      set_timeouts (exchange->server, connection);
      dp_http_connections_set_busy (exchange->server->connections, connection, FALSE);
    }
  g_hash_table_remove (exchange->server->sending, exchange);
}

static void
on_closed_while_sending (struct evhttp_connection *connection, void *user)
{
  DpHttpExchange *exchange = user;
  dp_http_connections_release_body (exchange->server->connections, connection);
  increment (exchange->server, "dogwoodplank_http_callers_gone_total");
  g_hash_table_remove (exchange->server->sending, exchange);
}

/* Ends the exchange for its user, but keeps it until the response was sent. Returns the
 * request. */
static struct evhttp_request *
release_exchange (DpHttpExchange *exchange)
{
  DpHttpServer *server = exchange->server;
  struct evhttp_request *request = exchange->request;
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  unwatch_connection (exchange);
  g_hash_table_steal (server->exchanges, exchange);
  g_hash_table_add (server->sending, exchange);
  dp_http_connections_end_request (server->connections, connection);
  evhttp_request_set_on_complete_cb (request, on_sent, exchange);
  evhttp_connection_set_closecb (connection, on_closed_while_sending, exchange);
  return request;
}

static void
free_closing_connection (gpointer data)
{
  ClosingConnection *closing = data;
  if (closing->connection != NULL)
    evhttp_connection_set_closecb (closing->connection, NULL, NULL);
  event_free (closing->event);
  g_free (closing);
}

static void
on_closing_connection_event (evutil_socket_t fd, short what, void *user)
{
  ClosingConnection *closing = user;
  struct evhttp_connection *connection = closing->connection;
  g_hash_table_remove (closing->server->closing, closing);
  if (connection != NULL)
    evhttp_connection_free (connection);
}

static void
on_closing_connection_closed (struct evhttp_connection *connection, void *user)
{
  ClosingConnection *closing = user;
  closing->connection = NULL;
}

/* Ends the exchange without a final chunk. This may run inside evhttp's callbacks, which must
 * not free the connection, so it is closed on the next loop iteration. */
static void
close_later (DpHttpExchange *exchange)
{
  DpHttpServer *server = exchange->server;
  ClosingConnection *closing = g_new0 (ClosingConnection, 1);
  closing->server = server;
  closing->connection = evhttp_request_get_connection (exchange->request);
  closing->event
    = event_new (server->options.base, -1, 0, on_closing_connection_event, closing);
  g_hash_table_add (server->closing, closing);
  unwatch_connection (exchange);
  g_hash_table_remove (server->exchanges, exchange);
  if (closing->connection != NULL)
    evhttp_connection_set_closecb (closing->connection, on_closing_connection_closed, closing);
  event_active (closing->event, EV_TIMEOUT, 0);
}

/* --- requests --- */

/* The outcome to report for a rejected request. An earlier request with the same idempotency
 * key may have run, so the outcome is unknown unless this request itself is at fault. */
static DpOutcome
rejection_outcome (struct evhttp_request *request, DpReason reason)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  gboolean is_keyed = evhttp_find_header (headers, "Idempotency-Key") != NULL;
  return is_keyed && dp_reason_may_retry (reason) ? DP_OUTCOME_UNKNOWN : DP_OUTCOME_NOT_RUN;
}

static void
add_problem (struct evbuffer *body, DpReason reason, DpOutcome outcome)
{
  const char *name = dp_reason_name (reason);
  evbuffer_add_printf (body,
                       "{\"type\":\"urn:dogwoodplank:problem:%s\",\"title\":\"%s\","
                       "\"status\":%d,\"reason\":\"%s\",\"outcome\":\"%s\",\"sent\":false}\n",
                       name, name, dp_reason_status (reason), name, dp_outcome_name (outcome));
}

/* Rejects a request without calling the handler. */
static void
reject (const DpHttpServer *server, struct evhttp_request *request, DpReason reason)
{
  dp_http_connections_limit_input (server->connections,
                                   evhttp_request_get_connection (request));
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Content-Type", "application/problem+json");
  evhttp_add_header (headers, "Connection", "close");
  struct evbuffer *body = evbuffer_new ();
  add_problem (body, reason, rejection_outcome (request, reason));
  evhttp_send_reply (request, dp_reason_status (reason), NULL, body);
  evbuffer_free (body);
}

/* Counts a request that is rejected before it was received in full. */
static void
record_rejected (DpHttpServer *server, const DpHttpRejection *rejection)
{
  if (rejection->reason == DP_REASON_BODY_TOO_LARGE)
    increment (server, "dogwoodplank_http_bodies_too_large_total");
  else if (rejection->limit == DP_HTTP_LIMIT_BODIES)
    increment (server, "dogwoodplank_http_bodies_refused_total");
  else if (rejection->limit == DP_HTTP_LIMIT_NONE)
    increment (server, "dogwoodplank_http_invalid_total");
  dp_log (DP_LOG_INFO, "request_rejected", "listener", server->name, "reason",
          dp_reason_name (rejection->reason), "problem", dp_http_fault_name (rejection->fault),
          "limit", dp_http_limit_name (rejection->limit), NULL);
}

static const char *
status_text (DpReason reason)
{
  switch (reason)
    {
    case DP_REASON_BODY_TOO_LARGE:
      return "Payload Too Large";
    case DP_REASON_OVERLOADED_ENTRY:
      return "Service Unavailable";
    default:
      return "Bad Request";
    }
}

static void
on_reject (gpointer user, const DpHttpRejection *rejection, struct evbuffer *response)
{
  DpHttpServer *server = user;
  DpReason reason = rejection->reason;
  struct evbuffer *body = evbuffer_new ();
  record_rejected (server, rejection);
  add_problem (body, reason, DP_OUTCOME_NOT_RUN);
  evbuffer_add_printf (response,
                       "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n%s"
                       "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                       dp_reason_status (reason), status_text (reason),
                       reason == DP_REASON_OVERLOADED_ENTRY ? RETRY_AFTER_LIMIT : "",
                       evbuffer_get_length (body));
  evbuffer_add_buffer (response, body);
  evbuffer_free (body);
}

/* The response head and the first event are separate small writes. With Nagle's algorithm, the
 * second would wait for the caller's delayed ACK. */
static void
disable_nagle (struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_request (struct evhttp_request *request, void *user)
{
  DpHttpServer *server = user;
  increment (server, "dogwoodplank_http_requests_total");
  disable_nagle (request);
  guint field_count = 0;
  DpHttpFault fault = dp_http_connections_check_request (
    server->connections, evhttp_request_get_connection (request), &field_count);
  if (fault != DP_HTTP_FAULT_NONE)
    {
      const DpHttpRejection rejection = { .reason = DP_REASON_BAD_REQUEST, .fault = fault };
      record_rejected (server, &rejection);
      reject (server, request, DP_REASON_BAD_REQUEST);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  if (evbuffer_get_length (input) > server->options.body_max)
    {
      increment (server, "dogwoodplank_http_bodies_too_large_total");
      reject (server, request, DP_REASON_BODY_TOO_LARGE);
      return;
    }
  if (g_hash_table_size (server->exchanges) >= server->options.exchanges_max)
    {
      increment (server, "dogwoodplank_http_exchanges_refused_total");
      evhttp_add_header (evhttp_request_get_output_headers (request), "Retry-After", "1");
      reject (server, request, DP_REASON_OVERLOADED_ENTRY);
      return;
    }
  DpHttpExchange *exchange = g_new0 (DpHttpExchange, 1);
  exchange->server = server;
  exchange->request = request;
  exchange->field_count = field_count;
  exchange->body_length = evbuffer_get_length (input);
  evbuffer_add (input, "", 1);
  g_hash_table_add (server->exchanges, exchange);
  watch_connection (exchange);
  server->options.handler (server->options.user, exchange);
}

/* The backlog of evhttp's own listener is 128; in a larger burst, the remaining connection
 * attempts are retried only after a second. */
static struct evconnlistener *
make_listener (const DpHttpServerOptions *options)
{
  struct sockaddr_storage name;
  int length = sizeof name;
  memset (&name, 0, sizeof name);
  if (evutil_parse_sockaddr_port (options->address, (struct sockaddr *)&name, &length) != 0)
    return NULL;
  if (name.ss_family == AF_INET6)
    ((struct sockaddr_in6 *)&name)->sin6_port = htons (options->port);
  else
    ((struct sockaddr_in *)&name)->sin_port = htons (options->port);
  return evconnlistener_new_bind (options->base, NULL, NULL,
                                  LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC
                                    | LEV_OPT_CLOSE_ON_FREE,
                                  LISTEN_BACKLOG, (struct sockaddr *)&name, length);
}

static gboolean
bind_listener (DpHttpServer *server)
{
  struct evconnlistener *listener = make_listener (&server->options);
  if (listener == NULL)
    return FALSE;
  server->bound_socket = evhttp_bind_listener (server->http, listener);
  dp_http_connections_set_listener (server->connections, listener);
  return TRUE;
}

/* For connections that are accepted from now on. */
static void
set_read_timeout (DpHttpServer *server)
{
  struct timeval timeout = to_timeval (dp_http_connections_read_timeout (server->connections));
  evhttp_set_timeout_tv (server->http, &timeout);
}

static void
make_connections (DpHttpServer *server)
{
  const DpHttpServerOptions *server_options = &server->options;
  DpUsec idle_timeout = server_options->idle_timeout > 0 ? server_options->idle_timeout
                                                         : server_options->read_timeout;
  const DpHttpConnectionsOptions options = { .base = server_options->base,
                                             .http = server->http,
                                             .name = server->name,
                                             .max = server_options->connections_max,
                                             .idle_timeout = idle_timeout,
                                             .read_timeout = server_options->read_timeout,
                                             .request_timeout = server_options->request_timeout,
                                             .head_max = server_options->head_max,
                                             .body_max = server_options->body_max,
                                             .budgets = server_options->budgets,
                                             .on_reject = on_reject,
                                             .user = server,
                                             .counters = server_options->counters };
  server->connections = dp_http_connections_new (&options);
  set_read_timeout (server);
}

DpHttpServer *
dp_http_server_new (const DpHttpServerOptions *options)
{
  DpHttpServer *server = g_new0 (DpHttpServer, 1);
  server->options = *options;
  server->name = g_strdup (options->name);
  dp_counters_ref (options->counters);
  server->exchanges = g_hash_table_new_full (NULL, NULL, free_exchange, NULL);
  server->sending = g_hash_table_new_full (NULL, NULL, free_exchange, NULL);
  server->closing = g_hash_table_new_full (NULL, NULL, free_closing_connection, NULL);
  server->http = evhttp_new (options->base);
  evhttp_set_max_headers_size (server->http, (ev_ssize_t)options->head_max);
  evhttp_set_max_body_size (server->http,
                            (ev_ssize_t)(options->body_max * EVHTTP_BODY_MAX_FACTOR));
  evhttp_set_allowed_methods (server->http, ALL_METHODS);
  evhttp_set_default_content_type (server->http, NULL);
  evhttp_set_gencb (server->http, on_request, server);
  make_connections (server);
  if (bind_listener (server))
    return server;
  dp_http_server_free (server);
  return NULL;
}

/* Removes the callbacks that evhttp would call for these exchanges. */
static void
clear_exchange_callbacks (GHashTable *exchanges)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const DpHttpExchange *exchange = key;
      struct evhttp_connection *connection = evhttp_request_get_connection (exchange->request);
      if (connection != NULL)
        evhttp_connection_set_closecb (connection, NULL, NULL);
      evhttp_request_set_on_complete_cb (exchange->request, NULL, NULL);
    }
}

void
dp_http_server_free (DpHttpServer *server)
{
  if (server == NULL)
    return;
  clear_exchange_callbacks (server->exchanges);
  clear_exchange_callbacks (server->sending);
  g_hash_table_unref (server->exchanges);
  g_hash_table_unref (server->sending);
  g_hash_table_unref (server->closing);
  evhttp_free (server->http);
  dp_http_connections_free (server->connections);
  dp_counters_unref (server->options.counters);
  g_free (server->name);
  g_free (server);
}

void
dp_http_server_stop_accepting (DpHttpServer *server)
{
  dp_http_connections_set_listener (server->connections, NULL);
  if (server->bound_socket != NULL)
    evhttp_del_accept_socket (server->http, server->bound_socket);
  server->bound_socket = NULL;
}

gboolean
dp_http_server_has_room (const DpHttpServer *server)
{
  return server->bound_socket != NULL && dp_http_connections_have_room (server->connections);
}

gboolean
dp_http_server_has_unaccepted (const DpHttpServer *server)
{
  if (server->bound_socket == NULL)
    return FALSE;
  struct pollfd listener
    = { .fd = evhttp_bound_socket_get_fd (server->bound_socket), .events = POLLIN };
  return poll (&listener, 1, 0) > 0;
}

void
dp_http_server_close_after_responses (DpHttpServer *server)
{
  server->close_after_responses = TRUE;
}

void
dp_http_server_close_idle (DpHttpServer *server)
{
  dp_http_connections_close_idle (server->connections);
}

void
dp_http_server_set_limits (DpHttpServer *server, const DpHttpServerLimits *limits)
{
  if (limits->head_max > 0)
    {
      server->options.head_max = limits->head_max;
      dp_http_connections_set_head_max (server->connections, limits->head_max);
      evhttp_set_max_headers_size (server->http, (ev_ssize_t)limits->head_max);
    }
  if (limits->body_max > 0)
    {
      server->options.body_max = limits->body_max;
      dp_http_connections_set_body_max (server->connections, limits->body_max);
      evhttp_set_max_body_size (server->http,
                                (ev_ssize_t)(limits->body_max * EVHTTP_BODY_MAX_FACTOR));
    }
  if (limits->head_timeout > 0)
    dp_http_connections_set_head_timeout (server->connections, limits->head_timeout);
  if (limits->idle_timeout <= 0)
    return;
  dp_http_connections_set_idle_timeout (server->connections, limits->idle_timeout);
  set_read_timeout (server);
}

void
dp_http_server_set_budgets (DpHttpServer *server, const DpHttpBudgets *budgets)
{
  dp_http_connections_set_budgets (server->connections, budgets);
}

guint
dp_http_server_open_exchanges (const DpHttpServer *server)
{
  return g_hash_table_size (server->exchanges);
}

gboolean
dp_http_server_is_idle (const DpHttpServer *server)
{
  return g_hash_table_size (server->exchanges) == 0 && g_hash_table_size (server->sending) == 0
         && g_hash_table_size (server->closing) == 0
         && dp_http_connections_lingering (server->connections) == 0
         && !dp_http_connections_have_requests (server->connections);
}

gboolean
dp_http_server_is_flushed (const DpHttpServer *server)
{
  return g_hash_table_size (server->sending) == 0 && g_hash_table_size (server->closing) == 0
         && dp_http_connections_lingering (server->connections) == 0
         && !dp_http_connections_have_unread (server->connections);
}

enum evhttp_cmd_type
dp_http_exchange_command (const DpHttpExchange *exchange)
{
  return evhttp_request_get_command (exchange->request);
}

const char *
dp_http_exchange_method (const DpHttpExchange *exchange)
{
  switch (evhttp_request_get_command (exchange->request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
    }
}

const char *
dp_http_exchange_target (const DpHttpExchange *exchange)
{
  return evhttp_request_get_uri (exchange->request);
}

/* Trailers are not merged into the header fields (RFC 9110, 6.5.1). */
void
dp_http_exchange_each_header (const DpHttpExchange *exchange,
                              DpHttpHeaderFunc function,
                              gpointer user)
{
  const struct evkeyval *row = evhttp_request_get_input_headers (exchange->request)->tqh_first;
  for (guint i = 0; i < exchange->field_count && row != NULL; i++)
    {
      function (user, row->key, row->value);
      row = row->next.tqe_next;
    }
}

typedef struct HeaderSearch
{
  const char *name;
  const char *value; /* of the first one; NULL: none */
} HeaderSearch;

static void
match_header (gpointer user, const char *name, const char *value)
{
  HeaderSearch *search = user;
  if (search->value == NULL && g_ascii_strcasecmp (name, search->name) == 0)
    search->value = value;
}

const char *
dp_http_exchange_header (const DpHttpExchange *exchange, const char *name)
{
  HeaderSearch search = { .name = name };
  dp_http_exchange_each_header (exchange, match_header, &search);
  return search.value;
}

const char *
dp_http_exchange_body (const DpHttpExchange *exchange, gsize *length)
{
  *length = exchange->body_length;
  struct evbuffer *input = evhttp_request_get_input_buffer (exchange->request);
  return (const char *)evbuffer_pullup (input, -1);
}

gboolean
dp_http_exchange_can_stream (const DpHttpExchange *exchange)
{
  const struct evhttp_request *request = exchange->request;
  return request->major > 1 || (request->major == 1 && request->minor >= 1);
}

void
dp_http_exchange_set_close_callback (DpHttpExchange *exchange,
                                     DpHttpClosedFunc callback,
                                     gpointer user,
                                     GDestroyNotify destroy)
{
  exchange->on_closed = callback;
  exchange->user = user;
  exchange->destroy = destroy;
}

void
dp_http_exchange_add_header (DpHttpExchange *exchange, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (exchange->request), name, value);
}

/* A stopping server closes each connection after its response. */
static void
add_connection_header (DpHttpExchange *exchange)
{
  if (exchange->server->bound_socket == NULL || exchange->server->close_after_responses)
    dp_http_exchange_add_header (exchange, "Connection", "close");
}

void
dp_http_exchange_reply (DpHttpExchange *exchange, int status, const void *body, gsize length)
{
  struct evhttp_request *request = exchange->request;
  add_connection_header (exchange);
  release_exchange (exchange);
  struct evbuffer *buffer = evbuffer_new ();
  /* evhttp would send a body to HEAD as well; the caller would parse it as the next response.
   */
  if (evhttp_request_get_command (request) != EVHTTP_REQ_HEAD)
    evbuffer_add (buffer, body, length);
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
}

void
dp_http_exchange_start (DpHttpExchange *exchange, int status)
{
  add_connection_header (exchange);
  evhttp_send_reply_start (exchange->request, status, NULL);
}

/* ClosingConnection the connection runs on_connection_closed(). */
static void
on_exchange_close_event (evutil_socket_t fd, short what, void *user)
{
  DpHttpExchange *exchange = user;
  struct evhttp_connection *connection = evhttp_request_get_connection (exchange->request);
  if (connection != NULL)
    evhttp_connection_free (connection);
}

gsize
dp_http_exchange_unsent (const DpHttpExchange *exchange)
{
  struct bufferevent *bev = exchange_bufferevent (exchange);
  return bev != NULL ? evbuffer_get_length (bufferevent_get_output (bev)) : 0;
}

void
dp_http_exchange_write (DpHttpExchange *exchange, const void *data, gsize length)
{
  if (exchange->close_event != NULL)
    return;
  struct evbuffer *buffer = evbuffer_new ();
  evbuffer_add (buffer, data, length);
  evhttp_send_reply_chunk (exchange->request, buffer);
  evbuffer_free (buffer);
  if (dp_http_exchange_unsent (exchange) <= exchange->server->options.write_buffer_max)
    return;
  increment (exchange->server, "dogwoodplank_http_callers_slow_total");
  dp_http_exchange_disconnect (exchange);
}

void
dp_http_exchange_disconnect (DpHttpExchange *exchange)
{
  if (exchange->close_event != NULL)
    return;
  exchange->close_event
    = event_new (exchange->server->options.base, -1, 0, on_exchange_close_event, exchange);
  event_active (exchange->close_event, EV_TIMEOUT, 0);
}

gboolean
dp_http_exchange_is_disconnecting (const DpHttpExchange *exchange)
{
  return exchange->close_event != NULL;
}

void
dp_http_exchange_finish (DpHttpExchange *exchange)
{
  struct evhttp_request *request = exchange->request;
  if (exchange->close_event != NULL)
    {
      close_later (exchange);
      return;
    }
  /* The head may have been sent before the server began to stop, but evhttp checks the headers
   * again at the end. */
  add_connection_header (exchange);
  release_exchange (exchange);
  evhttp_send_reply_end (request);
}

void
dp_http_exchange_abort (DpHttpExchange *exchange)
{
  close_later (exchange);
}
