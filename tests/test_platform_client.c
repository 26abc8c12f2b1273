/* Tests the platform client against an in-process server that injects faults. */
#include "platform/client.h"
#include "platform/response.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SERVER_ADDRESS "127.0.3.1"
#define CALL_TIMEOUT (2 * DP_USEC_PER_SEC)
/* For calls that are expected to time out. */
#define SHORT_TIMEOUT (60 * DP_USEC_PER_MSEC)

typedef enum Fault
{
  FAULT_NONE,
  FAULT_STATUS,       /* responds with `status`, changes nothing */
  FAULT_CLOSE_BEFORE, /* closes the connection, changes nothing */
  FAULT_CLOSE_AFTER,  /* closes the connection after the write took effect */
  FAULT_NO_RESPONSE,  /* never responds */
  FAULT_NO_ETAG,
  FAULT_BAD_ETAG,
  FAULT_BAD_LIST,
  FAULT_TRUNCATED_BODY, /* sends fewer bytes than Content-Length */
  FAULT_UNFRAMED,       /* neither Content-Length nor chunked */
  FAULT_REFUSED,        /* the port is closed */
  FAULT_FULL_BACKLOG,   /* the connection is never established */
} Fault;

/* A server with one object, "a/b". */
typedef struct Server
{
  struct event_base *base;
  struct evhttp *http;
  guint16 port;
  Fault fault;
  int status;
  guint64 version; /* 0: the object does not exist */
  char *value;
  const char *era; /* NULL: no header */
  guint calls;
  GPtrArray *held; /* requests that get no response */
} Server;

static void
send_value (Server *server, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char *etag = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", server->version);
  if (server->fault == FAULT_BAD_ETAG)
    evhttp_add_header (headers, "ETag", "\"12x\"");
  else if (server->fault != FAULT_NO_ETAG)
    evhttp_add_header (headers, "ETag", etag);
  g_free (etag);
  if (server->era != NULL)
    evhttp_add_header (headers, "Store-Era", server->era);
  struct evbuffer *body = evbuffer_new ();
  if (evhttp_request_get_command (request) == EVHTTP_REQ_GET)
    evbuffer_add_printf (body, "%s", server->value);
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
write_object (Server *server, struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  gsize length = evbuffer_get_length (body);
  g_free (server->value);
  server->value = g_strndup ((char *)evbuffer_pullup (body, -1), length);
  server->version += 10;
}

static gboolean
precondition_holds (Server *server, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *match = evhttp_find_header (headers, "If-Match");
  if (match == NULL)
    return server->version == 0 && evhttp_find_header (headers, "If-None-Match") != NULL;
  char *etag = g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", server->version);
  gboolean equal = strcmp (etag, match) == 0;
  g_free (etag);
  return equal;
}

static void
handle_modification (Server *server, struct evhttp_request *request)
{
  if (!precondition_holds (server, request))
    {
      evhttp_send_reply (request, 412, "Precondition Failed", NULL);
      return;
    }
  if (evhttp_request_get_command (request) == EVHTTP_REQ_DELETE)
    {
      server->version = 0;
      evhttp_send_reply (request, 204, "No Content", NULL);
      return;
    }
  write_object (server, request);
  if (server->fault == FAULT_CLOSE_AFTER)
    evhttp_connection_free (evhttp_request_get_connection (request));
  else
    send_value (server, request);
}

static void
handle_read (Server *server, struct evhttp_request *request)
{
  const char *uri = evhttp_request_get_uri (request);
  if (g_str_has_prefix (uri, "/list/"))
    {
      struct evbuffer *body = evbuffer_new ();
      evbuffer_add_printf (body, server->fault == FAULT_BAD_LIST
                                   ? "{\"objects\":[{\"path\":5}]}"
                                   : "{\"objects\":[{\"path\":\"a/b\",\"version\":7}]}");
      evhttp_send_reply (request, 200, "OK", body);
      evbuffer_free (body);
      return;
    }
  char *unchanged = g_strdup_printf ("watch=%" G_GUINT64_FORMAT "&", server->version);
  if (server->version == 0)
    evhttp_send_reply (request, 404, "Not Found", NULL);
  else if (strstr (uri, unchanged) != NULL)
    evhttp_send_reply (request, 304, "Not Modified", NULL);
  else
    send_value (server, request);
  g_free (unchanged);
}

static void
send_raw (struct evhttp_request *request, const char *text)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  struct bufferevent *bufferevent = evhttp_connection_get_bufferevent (connection);
  evutil_socket_t fd = bufferevent_getfd (bufferevent);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (int)strlen (text));
  evhttp_connection_free (connection);
}

static void
on_request (struct evhttp_request *request, void *data)
{
  Server *server = data;
  server->calls++;
  gboolean is_read = evhttp_request_get_command (request) == EVHTTP_REQ_GET;
  switch (server->fault)
    {
    case FAULT_STATUS:
      evhttp_send_reply (request, server->status, "Fault", NULL);
      break;
    case FAULT_CLOSE_BEFORE:
      evhttp_connection_free (evhttp_request_get_connection (request));
      break;
    case FAULT_NO_RESPONSE:
      g_ptr_array_add (server->held, request);
      break;
    case FAULT_TRUNCATED_BODY:
      send_raw (request, "HTTP/1.1 200 OK\r\nETag: \"5\"\r\nContent-Length: 100\r\n\r\nabc");
      break;
    case FAULT_UNFRAMED:
      send_raw (request, "HTTP/1.1 200 OK\r\nETag: \"5\"\r\n\r\nabc");
      break;
    default:
      if (is_read)
        handle_read (server, request);
      else
        handle_modification (server, request);
      break;
    }
}

/* Opens a listening socket whose backlog is full, so that connections to it are never
 * established. */
static int
open_full_backlog (guint16 *port, int fillers[8])
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  ck_assert_int_eq (inet_pton (AF_INET, SERVER_ADDRESS, &address.sin_addr), 1);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  socklen_t length = sizeof address;
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (listen (listener, 0), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&address, &length), 0);
  *port = ntohs (address.sin_port);
  for (int i = 0; i < 8; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)&address, length);
    }
  return listener;
}

static Server *
server_new (void)
{
  Server *server = g_new0 (Server, 1);
  server->base = event_base_new ();
  server->http = evhttp_new (server->base);
  server->held = g_ptr_array_new ();
  server->version = 7;
  server->value = g_strdup ("old");
  evhttp_set_allowed_methods (server->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb (server->http, on_request, server);
  struct evhttp_bound_socket *bound
    = evhttp_bind_socket_with_handle (server->http, SERVER_ADDRESS, 0);
  ck_assert_ptr_nonnull (bound);
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address, &length);
  server->port = ntohs (address.sin_port);
  return server;
}

static void
server_close (Server *server)
{
  if (server->http != NULL)
    evhttp_free (server->http);
  server->http = NULL;
}

static void
server_free (Server *server)
{
  server_close (server);
  g_ptr_array_unref (server->held);
  event_base_free (server->base);
  g_free (server->value);
  g_free (server);
}

static DpPlatformClient *
client_new (Server *server, DpCounters *counters, guint queue_max)
{
  return dp_platform_client_new (&(DpPlatformOptions){
    .base = server->base,
    .address = SERVER_ADDRESS,
    .port = server->port,
    .calls_per_second = 1000,
    .burst = 20,
    .in_flight_max = 4,
    .queue_max = queue_max,
    .timeout = CALL_TIMEOUT,
    .backoff_min = 200 * DP_USEC_PER_MSEC,
    .backoff_max = DP_USEC_PER_SEC,
    .seed = 1,
    .counters = counters,
  });
}

/* The reply to a call. */
typedef struct Outcome
{
  struct event_base *base;
  guint *open; /* calls without a reply yet; the loop ends at 0 */
  gboolean done;
  DpPlatformResult result;
  guint64 version;
  guint64 era;
  char *value;
  guint objects;
} Outcome;

static void
on_reply (const DpPlatformReply *reply, gpointer data)
{
  Outcome *outcome = data;
  ck_assert (!outcome->done);
  outcome->done = TRUE;
  outcome->result = reply->result;
  outcome->version = reply->version;
  outcome->era = reply->era;
  if (reply->value != NULL)
    {
      gsize length;
      const char *value = g_bytes_get_data (reply->value, &length);
      outcome->value = g_strndup (value != NULL ? value : "", length);
    }
  outcome->objects = reply->objects != NULL ? reply->objects->len : 0;
  if (--*outcome->open == 0)
    event_base_loopbreak (outcome->base);
}

static Outcome
call_and_wait (Server *server, DpPlatformClient *client, const DpPlatformCall *call)
{
  guint open = 1;
  Outcome outcome = { .base = server->base, .open = &open };
  dp_platform_client_call (client, call, on_reply, &outcome);
  ck_assert (!outcome.done);
  event_base_dispatch (server->base);
  ck_assert (outcome.done);
  return outcome;
}

typedef struct CallCase
{
  DpPlatformCallType type;
  guint64 version; /* that the caller expects */
  Fault fault;
  int status;
  DpPlatformResult result;
  guint64 version_in_reply;
  guint64 version_at_server; /* after the call */
} CallCase;

static const CallCase call_cases[] = {
  /* no fault */
  { DP_PLATFORM_READ, 0, FAULT_NONE, 0, DP_PLATFORM_OK, 7, 7 },
  { DP_PLATFORM_WATCH, 3, FAULT_NONE, 0, DP_PLATFORM_OK, 7, 7 },
  { DP_PLATFORM_WATCH, 7, FAULT_NONE, 0, DP_PLATFORM_UNCHANGED, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_NONE, 0, DP_PLATFORM_OK, 17, 17 },
  { DP_PLATFORM_WRITE, 6, FAULT_NONE, 0, DP_PLATFORM_CONFLICT, 0, 7 },
  { DP_PLATFORM_WRITE, 0, FAULT_NONE, 0, DP_PLATFORM_CONFLICT, 0, 7 },
  { DP_PLATFORM_DELETE, 7, FAULT_NONE, 0, DP_PLATFORM_OK, 0, 0 },
  { DP_PLATFORM_DELETE, 6, FAULT_NONE, 0, DP_PLATFORM_CONFLICT, 0, 7 },
  { DP_PLATFORM_LIST, 0, FAULT_NONE, 0, DP_PLATFORM_OK, 0, 7 },
  /* had no effect */
  { DP_PLATFORM_READ, 0, FAULT_STATUS, 404, DP_PLATFORM_NOT_FOUND, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_STATUS, 429, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_STATUS, 429, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_STATUS, 503, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_STATUS, 413, DP_PLATFORM_BROKEN, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_REFUSED, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WATCH, 7, FAULT_REFUSED, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_FULL_BACKLOG, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_WATCH, 7, FAULT_FULL_BACKLOG, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  /* may have taken effect */
  { DP_PLATFORM_WRITE, 7, FAULT_STATUS, 500, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_STATUS, 302, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_DELETE, 7, FAULT_STATUS, 500, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_CLOSE_BEFORE, 0, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_CLOSE_AFTER, 0, DP_PLATFORM_LOST, 0, 17 },
  { DP_PLATFORM_WRITE, 7, FAULT_NO_RESPONSE, 0, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_NO_ETAG, 0, DP_PLATFORM_LOST, 0, 17 },
  { DP_PLATFORM_WRITE, 7, FAULT_BAD_ETAG, 0, DP_PLATFORM_LOST, 0, 17 },
  { DP_PLATFORM_WRITE, 7, FAULT_TRUNCATED_BODY, 0, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_WRITE, 7, FAULT_UNFRAMED, 0, DP_PLATFORM_LOST, 0, 7 },
  { DP_PLATFORM_DELETE, 7, FAULT_NO_RESPONSE, 0, DP_PLATFORM_LOST, 0, 7 },
  /* a read without a complete response has no effect */
  { DP_PLATFORM_READ, 0, FAULT_STATUS, 500, DP_PLATFORM_BROKEN, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_CLOSE_BEFORE, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_NO_RESPONSE, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_NO_ETAG, 0, DP_PLATFORM_BROKEN, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_BAD_ETAG, 0, DP_PLATFORM_BROKEN, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_TRUNCATED_BODY, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_READ, 0, FAULT_UNFRAMED, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
  { DP_PLATFORM_LIST, 0, FAULT_BAD_LIST, 0, DP_PLATFORM_BROKEN, 0, 7 },
  { DP_PLATFORM_LIST, 0, FAULT_TRUNCATED_BODY, 0, DP_PLATFORM_UNAVAILABLE, 0, 7 },
};

START_TEST (each_fault_maps_to_its_result)
{
  const CallCase *c = &call_cases[_i];
  Server *server = server_new ();
  server->fault = c->fault;
  server->status = c->status;
  int fillers[8];
  int listener = -1;
  if (c->fault == FAULT_REFUSED)
    server_close (server);
  if (c->fault == FAULT_FULL_BACKLOG)
    listener = open_full_backlog (&server->port, fillers);

  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = client_new (server, counters, 10);
  gboolean times_out = c->fault == FAULT_NO_RESPONSE || c->fault == FAULT_FULL_BACKLOG;
  DpPlatformCall call = {
    .type = c->type,
    .path = c->type == DP_PLATFORM_LIST ? "a/" : "a/b",
    .version = c->version,
    .value = "new",
    .length = c->type == DP_PLATFORM_WRITE ? 3 : 0,
    .watch_time = DP_USEC_PER_SEC,
    .timeout = times_out ? SHORT_TIMEOUT : 0,
  };
  Outcome outcome = call_and_wait (server, client, &call);

  ck_assert_str_eq (dp_platform_result_name (outcome.result),
                    dp_platform_result_name (c->result));
  ck_assert_uint_eq (outcome.version, c->version_in_reply);
  ck_assert_uint_eq (server->version, c->version_at_server);
  gboolean has_value = outcome.result == DP_PLATFORM_OK
                       && (c->type == DP_PLATFORM_READ || c->type == DP_PLATFORM_WATCH);
  ck_assert_pstr_eq (outcome.value, has_value ? "old" : NULL);
  ck_assert_uint_eq (outcome.objects,
                     outcome.result == DP_PLATFORM_OK && c->type == DP_PLATFORM_LIST ? 1 : 0);
  ck_assert_uint_eq (dp_counters_get (counters, "dogwoodplank_platform_results_total", "result",
                                      dp_platform_result_name (c->result)),
                     1);

  g_free (outcome.value);
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  if (listener >= 0)
    {
      for (int i = 0; i < 8; i++)
        close (fillers[i]);
      close (listener);
    }
  server_free (server);
}
END_TEST

typedef struct EraCase
{
  const char *name;
  const char *header; /* of the second response; the first has era 5 */
  DpPlatformResult result;
  guint64 era;
  guint64 invalid; /* counted */
} EraCase;

static const EraCase era_cases[] = {
  { "same", "5", DP_PLATFORM_OK, 5, 0 },
  { "restored", "6", DP_PLATFORM_OK, 6, 0 },
  { "a late response", "4", DP_PLATFORM_UNAVAILABLE, 5, 0 },
  { "none", NULL, DP_PLATFORM_OK, 5, 0 },
  { "not a number", "five", DP_PLATFORM_OK, 5, 1 },
  { "negative", "-6", DP_PLATFORM_OK, 5, 1 },
  { "too large", "99999999999999999999", DP_PLATFORM_OK, 5, 1 },
};

START_TEST (responses_of_an_older_era_are_dropped)
{
  const EraCase *row = &era_cases[_i];
  Server *server = server_new ();
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = client_new (server, counters, 10);
  const DpPlatformCall call = { .type = DP_PLATFORM_READ, .path = "a/b" };
  server->era = "5";
  Outcome outcome = call_and_wait (server, client, &call);
  ck_assert_int_eq (outcome.result, DP_PLATFORM_OK);
  ck_assert_uint_eq (outcome.era, 5);
  g_free (outcome.value);
  server->era = row->header;
  outcome = call_and_wait (server, client, &call);
  ck_assert_msg (outcome.result == row->result, "%s: %s", row->name,
                 dp_platform_result_name (outcome.result));
  ck_assert_msg (outcome.era == row->era, "%s: era %u", row->name, (guint)outcome.era);
  ck_assert_uint_eq (
    dp_counters_get (counters, "dogwoodplank_invalid_store_eras_total", NULL, NULL),
    row->invalid);
  g_free (outcome.value);
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  server_free (server);
}
END_TEST

/* --- an earlier response, written once more --- */

typedef enum Repeat
{
  REPEAT_AT_ONCE,     /* right after the response */
  REPEAT_WHILE_IDLE,  /* as soon as the client has got the response */
  REPEAT_BEFORE_NEXT, /* before the next response on the same connection */
} Repeat;

#define FIRST_404 "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
#define FIRST_412 "HTTP/1.1 412 Failed\r\nContent-Length: 0\r\n\r\n"
#define FIRST_429 "HTTP/1.1 429 Later\r\nContent-Length: 0\r\n\r\n"
#define FIRST_503 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
#define FIRST_200 "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 3\r\n\r\nold"
#define SECOND_200 "HTTP/1.1 200 OK\r\nETag: \"17\"\r\nContent-Length: 3\r\n\r\nnew"
#define SECOND_412 FIRST_412

typedef struct RepeatCase
{
  const char *name;
  DpPlatformCallType first;
  const char *first_response;
  DpPlatformCallType second;
  const char *second_path;
  const char *second_response;
  DpPlatformResult result; /* of the second call */
} RepeatCase;

static const RepeatCase repeat_cases[] = {
  { "a write after a refused write", DP_PLATFORM_WRITE, FIRST_503, DP_PLATFORM_WRITE, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a write after one over the rate", DP_PLATFORM_WRITE, FIRST_429, DP_PLATFORM_WRITE, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a write after a conflict", DP_PLATFORM_WRITE, FIRST_412, DP_PLATFORM_WRITE, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a conflict after a write", DP_PLATFORM_WRITE, FIRST_200, DP_PLATFORM_WRITE, "a/b",
    SECOND_412, DP_PLATFORM_CONFLICT },
  { "a write after a refused read", DP_PLATFORM_READ, FIRST_503, DP_PLATFORM_WRITE, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a conflict after a read", DP_PLATFORM_READ, FIRST_200, DP_PLATFORM_WRITE, "a/b",
    SECOND_412, DP_PLATFORM_CONFLICT },
  { "a delete after a missing object", DP_PLATFORM_READ, FIRST_404, DP_PLATFORM_DELETE, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a read after a refused write", DP_PLATFORM_WRITE, FIRST_503, DP_PLATFORM_READ, "a/b",
    SECOND_200, DP_PLATFORM_OK },
  { "a read of another object", DP_PLATFORM_READ, FIRST_404, DP_PLATFORM_READ, "a/c",
    SECOND_200, DP_PLATFORM_OK },
};

typedef struct RepeatingServer
{
  struct event_base *base;
  const RepeatCase *row;
  Repeat repeat;
  guint requests;
  struct bufferevent *first; /* connection of the first request; NULL: closed */
} RepeatingServer;

static void
on_repeating_event (struct bufferevent *bufferevent, short what, void *data)
{
  RepeatingServer *server = data;
  if (server->first == bufferevent)
    server->first = NULL;
  bufferevent_free (bufferevent);
}

static void
on_repeating_read (struct bufferevent *bufferevent, void *data)
{
  RepeatingServer *server = data;
  struct evbuffer *input = bufferevent_get_input (bufferevent);
  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_drain (input, evbuffer_get_length (input));
  const char *first = server->row->first_response;
  gboolean is_first = server->requests++ == 0;
  if (is_first)
    server->first = bufferevent;
  gboolean repeats = is_first
                       ? server->repeat == REPEAT_AT_ONCE
                       : server->repeat == REPEAT_BEFORE_NEXT && server->first == bufferevent;
  if (repeats)
    bufferevent_write (bufferevent, first, strlen (first));
  const char *response = is_first ? first : server->row->second_response;
  bufferevent_write (bufferevent, response, strlen (response));
}

static void
on_repeating_accept (struct evconnlistener *listener,
                     evutil_socket_t fd,
                     struct sockaddr *address,
                     int length,
                     void *data)
{
  RepeatingServer *server = data;
  struct bufferevent *bufferevent
    = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (bufferevent, on_repeating_read, NULL, on_repeating_event, server);
  bufferevent_enable (bufferevent, EV_READ | EV_WRITE);
}

/* A body may arrive after the head of its request: it is sent with it here. */
static Outcome
call_repeating (RepeatingServer *server,
                DpPlatformClient *client,
                DpPlatformCallType type,
                const char *path)
{
  guint open = 1;
  Outcome outcome = { .base = server->base, .open = &open };
  const DpPlatformCall call = { .type = type,
                                .path = path,
                                .version = 7,
                                .value = "new",
                                .length = type == DP_PLATFORM_WRITE ? 3 : 0 };
  dp_platform_client_call (client, &call, on_reply, &outcome);
  event_base_dispatch (server->base);
  ck_assert (outcome.done);
  return outcome;
}

static void
check_repeat (const RepeatCase *row, Repeat repeat)
{
  RepeatingServer server = { .base = event_base_new (), .row = row, .repeat = repeat };
  struct sockaddr_in address = { .sin_family = AF_INET };
  ck_assert_int_eq (inet_pton (AF_INET, SERVER_ADDRESS, &address.sin_addr), 1);
  struct evconnlistener *listener
    = evconnlistener_new_bind (server.base, on_repeating_accept, &server, LEV_OPT_CLOSE_ON_FREE,
                               -1, (struct sockaddr *)&address, sizeof address);
  ck_assert_ptr_nonnull (listener);
  socklen_t length = sizeof address;
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&address, &length);
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = dp_platform_client_new (&(DpPlatformOptions){
    .base = server.base,
    .address = SERVER_ADDRESS,
    .port = ntohs (address.sin_port),
    .calls_per_second = 1000,
    .burst = 20,
    .in_flight_max = 4,
    .queue_max = 10,
    .timeout = CALL_TIMEOUT,
    .backoff_min = 1,
    .backoff_max = 1,
    .seed = 1,
    .counters = counters,
  });
  Outcome first = call_repeating (&server, client, row->first, "a/b");
  if (repeat == REPEAT_WHILE_IDLE && server.first != NULL)
    bufferevent_write (server.first, row->first_response, strlen (row->first_response));
  const struct timeval longer_than_the_backoff = { .tv_usec = 5000 };
  event_base_loopexit (server.base, &longer_than_the_backoff);
  event_base_dispatch (server.base);
  Outcome second = call_repeating (&server, client, row->second, row->second_path);
  ck_assert_msg (second.result == row->result, "%s, repeat %d: %s", row->name, (int)repeat,
                 dp_platform_result_name (second.result));
  ck_assert_msg (second.result != DP_PLATFORM_OK || row->second == DP_PLATFORM_DELETE
                   || second.version == 17,
                 "%s, repeat %d: version %u", row->name, (int)repeat, (guint)second.version);
  g_free (first.value);
  g_free (second.value);
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  evconnlistener_free (listener);
  event_base_loop (server.base, EVLOOP_NONBLOCK);
  event_base_free (server.base);
}

START_TEST (a_repeated_response_is_not_the_next_calls)
{
  check_repeat (&repeat_cases[_i], REPEAT_AT_ONCE);
  check_repeat (&repeat_cases[_i], REPEAT_WHILE_IDLE);
  check_repeat (&repeat_cases[_i], REPEAT_BEFORE_NEXT);
}
END_TEST

/* After a failure no call reaches the platform until the backoff has elapsed; one success ends
 * the backoff. */
START_TEST (client_backs_off_after_a_failure)
{
  Server *server = server_new ();
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = client_new (server, counters, 10);
  DpPlatformCall call = { .type = DP_PLATFORM_READ, .path = "a/b" };
  server->fault = FAULT_STATUS;
  server->status = 503;
  call_and_wait (server, client, &call);
  ck_assert_uint_eq (server->calls, 1);

  server->fault = FAULT_NONE;
  DpUsec start = g_get_monotonic_time ();
  Outcome outcome = call_and_wait (server, client, &call);
  ck_assert_int_eq (outcome.result, DP_PLATFORM_UNAVAILABLE);
  ck_assert_uint_eq (server->calls, 1);
  while (outcome.result != DP_PLATFORM_OK)
    outcome = call_and_wait (server, client, &call);
  ck_assert_int_ge (g_get_monotonic_time () - start, 90 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (server->calls, 2);
  g_free (outcome.value);

  outcome = call_and_wait (server, client, &call);
  ck_assert_int_eq (outcome.result, DP_PLATFORM_OK);
  g_free (outcome.value);
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  server_free (server);
}
END_TEST

/* Calls beyond the queue's limit fail immediately, and calls that wait longer than their
 * timeout fail without being sent. */
START_TEST (the_queue_is_bounded)
{
  enum
  {
    CALLS = 12,
    IN_FLIGHT = 4,
    QUEUE = 3
  };
  Server *server = server_new ();
  server->fault = FAULT_NO_RESPONSE;
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = client_new (server, counters, QUEUE);
  DpPlatformCall call
    = { .type = DP_PLATFORM_WRITE, .path = "a/b", .value = "x", .length = 1, .version = 7 };
  call.timeout = SHORT_TIMEOUT;
  guint open = CALLS;
  Outcome outcomes[CALLS] = { 0 };
  for (int i = 0; i < CALLS; i++)
    {
      outcomes[i].base = server->base;
      outcomes[i].open = &open;
      dp_platform_client_call (client, &call, on_reply, &outcomes[i]);
      if (i == IN_FLIGHT - QUEUE)
        event_base_loop (server->base, EVLOOP_NONBLOCK);
    }
  event_base_dispatch (server->base);
  guint lost = 0;
  for (int i = 0; i < CALLS; i++)
    lost += outcomes[i].result == DP_PLATFORM_LOST;
  /* Only calls that were sent may have taken effect. */
  ck_assert_uint_eq (
    lost, dp_counters_get (counters, "dogwoodplank_platform_calls_total", "type", "write"));
  ck_assert_uint_le (lost, IN_FLIGHT);
  ck_assert_uint_eq (
    dp_counters_get (counters, "dogwoodplank_platform_results_total", "result", "unavailable"),
    CALLS - lost);
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  server_free (server);
}
END_TEST

/* The burst is sent without delay, the rest at the rate limit. */
START_TEST (calls_stay_within_the_rate_limit)
{
  enum
  {
    CALLS = 40
  };
  Server *server = server_new ();
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = dp_platform_client_new (&(DpPlatformOptions){
    .base = server->base,
    .address = SERVER_ADDRESS,
    .port = server->port,
    .calls_per_second = 200,
    .burst = 10,
    .in_flight_max = 4,
    .queue_max = CALLS,
    .timeout = CALL_TIMEOUT,
    .backoff_min = DP_USEC_PER_SEC,
    .backoff_max = DP_USEC_PER_SEC,
    .counters = counters,
  });
  DpPlatformCall call = { .type = DP_PLATFORM_READ, .path = "a/b" };
  guint open = CALLS;
  Outcome outcomes[CALLS] = { 0 };
  DpUsec start = g_get_monotonic_time ();
  for (int i = 0; i < CALLS; i++)
    {
      outcomes[i].base = server->base;
      outcomes[i].open = &open;
      dp_platform_client_call (client, &call, on_reply, &outcomes[i]);
    }
  event_base_dispatch (server->base);
  DpUsec min_duration = (CALLS - 10 - 1) * DP_USEC_PER_SEC / 200;
  ck_assert_int_ge (g_get_monotonic_time () - start, min_duration);
  for (int i = 0; i < CALLS; i++)
    {
      ck_assert_int_eq (outcomes[i].result, DP_PLATFORM_OK);
      g_free (outcomes[i].value);
    }
  dp_platform_client_unref (client);
  dp_counters_unref (counters);
  server_free (server);
}
END_TEST

/* Dropping the last reference with calls in flight leaks nothing and runs no callbacks. */
START_TEST (unref_cancels_open_calls)
{
  Server *server = server_new ();
  server->fault = FAULT_NO_RESPONSE;
  DpCounters *counters = dp_counters_new ();
  DpPlatformClient *client = client_new (server, counters, 10);
  DpPlatformCall call = { .type = DP_PLATFORM_READ, .path = "a/b" };
  guint open = 6;
  Outcome outcomes[6] = { 0 };
  for (int i = 0; i < 6; i++)
    {
      outcomes[i].base = server->base;
      outcomes[i].open = &open;
      dp_platform_client_call (client, &call, on_reply, &outcomes[i]);
    }
  while (server->calls < 4)
    event_base_loop (server->base, EVLOOP_ONCE);
  dp_platform_client_unref (client);
  event_base_loop (server->base, EVLOOP_NONBLOCK);
  for (int i = 0; i < 6; i++)
    ck_assert (!outcomes[i].done);
  dp_counters_unref (counters);
  server_free (server);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform_client");
  TCase *tcase = tcase_create ("platform_client");
  tcase_add_loop_test (tcase, a_repeated_response_is_not_the_next_calls, 0,
                       G_N_ELEMENTS (repeat_cases));
  tcase_add_loop_test (tcase, each_fault_maps_to_its_result, 0, G_N_ELEMENTS (call_cases));
  tcase_add_loop_test (tcase, responses_of_an_older_era_are_dropped, 0,
                       G_N_ELEMENTS (era_cases));
  tcase_add_test (tcase, client_backs_off_after_a_failure);
  tcase_add_test (tcase, the_queue_is_bounded);
  tcase_add_test (tcase, calls_stay_within_the_rate_limit);
  tcase_add_test (tcase, unref_cancels_open_calls);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
