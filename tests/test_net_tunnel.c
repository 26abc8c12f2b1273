/* HTTP calls through a gateway and the gateway's server, tested on loopback sockets with peers
 * that fail at each stage. */
#include "net/http_call.h"
#include "net/tunnel_server.h"
#include "tests/free_port.h"
#include "tests/raw_peer.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.1.22"
#define TARGET_ID "i-7f3a"
#define TEST_TIMEOUT (20 * DP_USEC_PER_SEC)
#define POLL_INTERVAL_USEC 2000
#define KIB ((gsize)1024)
#define LARGE_BODY_BYTES ((gsize)4 * 1024 * KIB)
#define BUFFER_MAX (64 * KIB)

/* Kernel buffers of loopback sockets and what the gateway may hold. */
#define BUFFERED_BYTES_MAX ((gsize)16 * 1024 * KIB)
#define SLOW_BODY_BYTES (2 * BUFFERED_BYTES_MAX)

static void
on_poll_timer (evutil_socket_t fd, short what, void *user)
{
}

/* Runs the event loop until the condition holds. */
#define WAIT_UNTIL(base, condition)                                                            \
  do                                                                                           \
    {                                                                                          \
      struct event *wait_timer = event_new (base, -1, EV_PERSIST, on_poll_timer, NULL);        \
      const struct timeval interval = { .tv_usec = POLL_INTERVAL_USEC };                       \
      event_add (wait_timer, &interval);                                                       \
      gint64 wait_end = g_get_monotonic_time () + TEST_TIMEOUT;                                \
      while (!(condition))                                                                     \
        {                                                                                      \
          if (g_get_monotonic_time () > wait_end)                                              \
            ck_abort_msg ("%s", #condition);                                                   \
          event_base_loop (base, EVLOOP_ONCE);                                                 \
        }                                                                                      \
      event_free (wait_timer);                                                                 \
    }                                                                                          \
  while (0)

/* Handles pending events without waiting, so that deferred cleanup runs. */
static void
run_pending_events (struct event_base *base)
{
  for (int i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* --- HTTP calls --- */

typedef struct Response
{
  int status;
  GString *body;
  gboolean ended;
  DpHttpCallResult result;
  gboolean nothing_sent;
} Response;

static void
on_response_head (gpointer user, DpHttpCall *call, int status)
{
  Response *response = user;
  response->status = status;
}

static void
on_response_data (gpointer user, const void *data, gsize length)
{
  Response *response = user;
  g_string_append_len (response->body, data, (gssize)length);
}

static void
on_response_end (gpointer user, DpHttpCallResult result, gboolean nothing_sent)
{
  Response *response = user;
  ck_assert (!response->ended);
  response->ended = TRUE;
  response->result = result;
  response->nothing_sent = nothing_sent;
}

static const DpHttpCallbacks response_callbacks
  = { on_response_head, on_response_data, on_response_end };

typedef struct CallOptions
{
  guint16 gateway_port;
  const char *target_id; /* NULL: TARGET_ID */
  const char *body;      /* NULL: "{}" */
  gsize body_length;
  DpUsec connect_timeout; /* 0: 5 s */
} CallOptions;

static DpHttpCall *
start_call (struct event_base *base, Response *response, CallOptions options)
{
  response->body = g_string_new (NULL);
  DpHttpCallOptions call
    = { .base = base,
        .address = "192.0.2.1", /* documentation only: unreachable */
        .port = 8080,
        .gateway_address = ADDRESS,
        .gateway_port = options.gateway_port,
        .target_id = options.target_id != NULL ? options.target_id : TARGET_ID,
        .method = EVHTTP_REQ_POST,
        .path = "/x",
        .body = options.body != NULL ? options.body : "{}",
        .body_length = options.body != NULL ? options.body_length : 2,
        .connect_timeout
        = options.connect_timeout != 0 ? options.connect_timeout : 5 * DP_USEC_PER_SEC,
        .first_byte_timeout = TEST_TIMEOUT,
        .idle_timeout = TEST_TIMEOUT,
        .callbacks = &response_callbacks,
        .user = response };
  return dp_http_call_start (&call);
}

#define OPEN "HTTP/1.1 200 OK\r\n\r\n"
#define LENGTH_4 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define CLOSE_DELIMITED "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

/* --- calls, against a gateway that sends raw bytes --- */

typedef struct GatewayCase
{
  const char *name;
  const char *answer;
  gsize padding; /* header bytes appended to the answer */
  gboolean stay_open;
  DpHttpCallResult result;
  const char *body; /* NULL: no request may be sent */
} GatewayCase;

static const GatewayCase gateway_cases[] = {
  { "closes without an answer", "", 0, FALSE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "silent", "", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "not HTTP", "hello\r\n\r\n", 0, FALSE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "not HTTP, stays open", "hello\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "truncated head", "HTTP/1.1 200 OK\r\n", 0, FALSE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "truncated head, stays open", "HTTP/1.1 200 OK\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED,
    NULL },
  { "head too long", "HTTP/1.1 200 OK\r\nX: ", 8 * KIB, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "other version", "HTTP/2.0 200 OK\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "status too long", "HTTP/1.1 2000 OK\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "status too short", "HTTP/1.1 20 OK\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "no status", "HTTP/1.1\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "interim response", "HTTP/1.1 100 Continue\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED,
    NULL },
  { "no content", "HTTP/1.1 204 No Content\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "bad request", "HTTP/1.1 400 Bad Request\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED, NULL },
  { "unknown target", "HTTP/1.1 403 Forbidden\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_REFUSED,
    NULL },
  { "unavailable", "HTTP/1.1 503 Service Unavailable\r\n\r\n", 0, TRUE, DP_HTTP_GATEWAY_FAILED,
    NULL },
  { "target unreachable", "HTTP/1.1 502 Bad Gateway\r\n\r\n", 0, TRUE, DP_HTTP_CONNECT_FAILED,
    NULL },
  { "target unreachable, closes", "HTTP/1.1 502 Bad Gateway\r\n\r\n", 0, FALSE,
    DP_HTTP_CONNECT_FAILED, NULL },
  { "target timed out", "HTTP/1.1 504 Gateway Timeout\r\n\r\n", 0, TRUE, DP_HTTP_CONNECT_FAILED,
    NULL },
  { "response at once", OPEN LENGTH_4 "abcd", 0, TRUE, DP_HTTP_COMPLETE, "abcd" },
  { "response at once, chunked", OPEN CHUNKED "2\r\nab\r\n0\r\n\r\n", 0, TRUE, DP_HTTP_COMPLETE,
    "ab" },
  { "headers of the gateway", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n" LENGTH_4 "abcd", 0, TRUE,
    DP_HTTP_COMPLETE, "abcd" },
  { "no reason phrase", "HTTP/1.1 200\r\n\r\n" LENGTH_4 "abcd", 0, TRUE, DP_HTTP_COMPLETE,
    "abcd" },
};

START_TEST (gateway_that_opens_no_tunnel_gets_no_request)
{
  const GatewayCase *c = &gateway_cases[_i];
  struct event_base *base = event_base_new ();
  GString *answer = g_string_new (c->answer);
  for (gsize i = 0; i < c->padding; i++)
    g_string_append_c (answer, 'x');
  RawPeer gateway = { .answer = answer->str,
                      .answer_length = answer->len,
                      .stay_open = c->stay_open,
                      .received = g_string_new (NULL) };
  raw_peer_start (&gateway, base, ADDRESS);
  Response response = { 0 };
  start_call (
    base, &response,
    (CallOptions){ .gateway_port = gateway.port, .connect_timeout = 300 * DP_USEC_PER_MSEC });
  ck_assert (!response.ended);
  WAIT_UNTIL (base, response.ended);
  ck_assert_msg (response.result == c->result, "%s: result %d", c->name, response.result);
  ck_assert_msg (response.nothing_sent == (c->body == NULL), "%s", c->name);
  ck_assert_str_eq (response.body->str, c->body != NULL ? c->body : "");
  ck_assert_str_eq (gateway.received->str, "CONNECT 192.0.2.1:8080 HTTP/1.1\r\n"
                                           "Host: 192.0.2.1:8080\r\n"
                                           "Target: " TARGET_ID "\r\n\r\n");
  run_pending_events (base);
  evconnlistener_free (gateway.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (gateway.received, TRUE);
  g_string_free (answer, TRUE);
  g_string_free (response.body, TRUE);
}
END_TEST

typedef struct IncompleteCase
{
  const char *name;
  const char *answer; /* of the target */
} IncompleteCase;

static const IncompleteCase incomplete_cases[] = {
  { "no byte", "" },
  { "truncated head", "HTTP/1.1 200 OK\r\n" },
  { "Content-Length", LENGTH_4 "abc" },
  { "chunked", CHUNKED "2\r\nab\r\n" },
  { "close-delimited", CLOSE_DELIMITED "abcd" },
  { "close-delimited, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nabcd" },
};

START_TEST (response_is_incomplete_when_gateway_closes)
{
  const IncompleteCase *c = &incomplete_cases[_i];
  struct event_base *base = event_base_new ();
  char *answer = g_strconcat (OPEN, c->answer, NULL);
  RawPeer gateway = { .answer = answer, .answer_length = strlen (answer) };
  raw_peer_start (&gateway, base, ADDRESS);
  Response response = { 0 };
  start_call (base, &response, (CallOptions){ .gateway_port = gateway.port });
  WAIT_UNTIL (base, response.ended);
  ck_assert_msg (response.result == DP_HTTP_FAILED, "%s: result %d", c->name, response.result);
  ck_assert_msg (!response.nothing_sent, "%s", c->name);
  run_pending_events (base);
  evconnlistener_free (gateway.listener);
  run_pending_events (base);
  event_base_free (base);
  g_free (answer);
  g_string_free (response.body, TRUE);
}
END_TEST

typedef struct InvalidCallCase
{
  const char *name;
  const char *gateway_address;
  const char *target_id;
  DpHttpCallResult result;
} InvalidCallCase;

static const InvalidCallCase invalid_call_cases[] = {
  { "no listener", ADDRESS, TARGET_ID, DP_HTTP_GATEWAY_FAILED },
  { "host name", "no.such.invalid.", TARGET_ID, DP_HTTP_GATEWAY_FAILED },
  { "no target id", ADDRESS, NULL, DP_HTTP_GATEWAY_FAILED },
  { "empty target id", ADDRESS, "", DP_HTTP_GATEWAY_FAILED },
  { "line break in the target id", ADDRESS, "a\r\nX: b", DP_HTTP_GATEWAY_FAILED },
};

START_TEST (call_without_gateway_sends_nothing)
{
  const InvalidCallCase *c = &invalid_call_cases[_i];
  struct event_base *base = event_base_new ();
  Response response = { .body = g_string_new (NULL) };
  const DpHttpCallOptions options = { .base = base,
                                      .address = ADDRESS,
                                      .port = 1,
                                      .gateway_address = c->gateway_address,
                                      .gateway_port = find_free_port (ADDRESS),
                                      .target_id = c->target_id,
                                      .method = EVHTTP_REQ_GET,
                                      .path = "/",
                                      .callbacks = &response_callbacks,
                                      .user = &response };
  dp_http_call_start (&options);
  ck_assert (!response.ended);
  WAIT_UNTIL (base, response.ended);
  ck_assert_msg (response.result == c->result, "%s: result %d", c->name, response.result);
  ck_assert (response.nothing_sent);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

/* --- peers that a test controls --- */

typedef struct Peer
{
  struct event_base *base;
  struct evconnlistener *listener; /* NULL: a client */
  guint16 port;
  guint accepted;
  struct bufferevent *bev; /* the last connection; NULL: none */
  GString *received;
  gboolean has_eof;
  gboolean was_reset;
} Peer;

static void
on_peer_read (struct bufferevent *bev, void *user)
{
  Peer *peer = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  gsize length = evbuffer_get_length (input);
  g_string_append_len (peer->received, (const char *)evbuffer_pullup (input, -1),
                       (gssize)length);
  evbuffer_drain (input, length);
}

static void
on_peer_event (struct bufferevent *bev, short what, void *user)
{
  Peer *peer = user;
  if ((what & BEV_EVENT_EOF) != 0)
    peer->has_eof = TRUE;
  else if ((what & BEV_EVENT_ERROR) != 0)
    peer->was_reset = EVUTIL_SOCKET_ERROR () == ECONNRESET;
}

static void
peer_attach (Peer *peer, evutil_socket_t fd)
{
  if (peer->bev != NULL)
    bufferevent_free (peer->bev);
  peer->bev = bufferevent_socket_new (peer->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (peer->bev, on_peer_read, NULL, on_peer_event, peer);
  bufferevent_enable (peer->bev, EV_READ | EV_WRITE);
}

static void
on_peer_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int length,
                void *user)
{
  Peer *peer = user;
  peer->accepted++;
  peer_attach (peer, fd);
}

static Peer *
peer_new (struct event_base *base)
{
  Peer *peer = g_new0 (Peer, 1);
  peer->base = base;
  peer->received = g_string_new (NULL);
  return peer;
}

static struct sockaddr_in
socket_address (guint16 port)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (port) };
  ck_assert_int_eq (inet_pton (AF_INET, ADDRESS, &name.sin_addr), 1);
  return name;
}

static Peer *
peer_listen (struct event_base *base)
{
  Peer *peer = peer_new (base);
  struct sockaddr_in name = socket_address (0);
  peer->listener = evconnlistener_new_bind (base, on_peer_accept, peer,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                            (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (peer->listener);
  socklen_t length = sizeof name;
  getsockname (evconnlistener_get_fd (peer->listener), (struct sockaddr *)&name, &length);
  peer->port = ntohs (name.sin_port);
  return peer;
}

static Peer *
peer_connect (struct event_base *base, guint16 port)
{
  Peer *peer = peer_new (base);
  struct sockaddr_in name = socket_address (port);
  peer_attach (peer, -1);
  ck_assert_int_eq (
    bufferevent_socket_connect (peer->bev, (struct sockaddr *)&name, sizeof name), 0);
  return peer;
}

static void
peer_send (Peer *peer, const char *text)
{
  bufferevent_write (peer->bev, text, strlen (text));
}

static gboolean
has_unsent_bytes (const Peer *peer)
{
  return evbuffer_get_length (bufferevent_get_output (peer->bev)) > 0;
}

static void
peer_close (Peer *peer)
{
  bufferevent_free (peer->bev);
  peer->bev = NULL;
}

static void
peer_reset (Peer *peer)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (bufferevent_getfd (peer->bev), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  peer_close (peer);
}

static void
peer_free (Peer *peer)
{
  if (peer->bev != NULL)
    bufferevent_free (peer->bev);
  if (peer->listener != NULL)
    evconnlistener_free (peer->listener);
  g_string_free (peer->received, TRUE);
  g_free (peer);
}

/* Bytes whose order can be checked. */
static char *
make_bytes (gsize length, guint32 seed)
{
  char *bytes = g_malloc (length);
  for (gsize i = 0; i < length; i++)
    {
      seed = seed * 1664525 + 1013904223;
      bytes[i] = (char)(seed >> 24);
    }
  return bytes;
}

static gboolean
ends_with (const GString *text, const char *bytes, gsize length)
{
  return text->len >= length && memcmp (text->str + text->len - length, bytes, length) == 0;
}

/* --- gateway --- */

typedef struct Fixture
{
  struct event_base *base;
  DpCounters *counters;
  DpTunnelServer *server;
  guint16 port;
  Peer *target;
  /* answer of on_resolve() */
  DpTunnelStatus status;
  const char *address;
  guint16 target_port;
  /* calls of the other callbacks */
  guint reached;
  guint unreached;
  guint refused;
  DpTunnelStatus refused_status;
  guint ended;
  DpTunnelReport report; /* the last one, without the id */
} Fixture;

static DpTunnelStatus
on_resolve (gpointer user, const char *target_id, char address[46], guint16 *port)
{
  const Fixture *fixture = user;
  if (strcmp (target_id, TARGET_ID) != 0)
    return DP_TUNNEL_UNKNOWN_TARGET;
  g_strlcpy (address, fixture->address, 46);
  *port = fixture->target_port;
  return fixture->status;
}

static void
on_connected (gpointer user, const char *target_id, gboolean succeeded)
{
  Fixture *fixture = user;
  ck_assert_str_eq (target_id, TARGET_ID);
  if (succeeded)
    fixture->reached++;
  else
    fixture->unreached++;
}

static void
on_refused (gpointer user, const char *target_id, DpTunnelStatus status)
{
  Fixture *fixture = user;
  fixture->refused++;
  fixture->refused_status = status;
}

static void
on_ended (gpointer user, const DpTunnelReport *report)
{
  Fixture *fixture = user;
  ck_assert_str_eq (report->target_id, TARGET_ID);
  fixture->ended++;
  fixture->report = *report;
}

static const DpTunnelCallbacks tunnel_callbacks
  = { on_resolve, on_connected, on_refused, on_ended };

typedef struct FixtureOptions
{
  guint tunnels_max;        /* 0: 4 */
  DpUsec handshake_timeout; /* 0: 10 s */
  DpUsec idle_timeout;      /* 0: 60 s */
} FixtureOptions;

static Fixture *
make_fixture (FixtureOptions limits)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  fixture->base = event_base_new ();
  fixture->counters = dp_counters_new ();
  fixture->port = find_free_port (ADDRESS);
  fixture->target = peer_listen (fixture->base);
  fixture->status = DP_TUNNEL_OPEN;
  fixture->address = ADDRESS;
  fixture->target_port = fixture->target->port;
  const DpTunnelServerOptions options
    = { .base = fixture->base,
        .address = ADDRESS,
        .port = fixture->port,
        .tunnels_max = limits.tunnels_max != 0 ? limits.tunnels_max : 4,
        .head_max = KIB,
        .buffer_max = BUFFER_MAX,
        .handshake_timeout
        = limits.handshake_timeout != 0 ? limits.handshake_timeout : 10 * DP_USEC_PER_SEC,
        .connect_timeout = 100 * DP_USEC_PER_MSEC,
        .idle_timeout = limits.idle_timeout != 0 ? limits.idle_timeout : 60 * DP_USEC_PER_SEC,
        .counters = fixture->counters,
        .callbacks = &tunnel_callbacks,
        .user = fixture };
  fixture->server = dp_tunnel_server_new (&options);
  ck_assert_ptr_nonnull (fixture->server);
  return fixture;
}

static void
free_fixture (Fixture *fixture)
{
  dp_tunnel_server_free (fixture->server);
  peer_free (fixture->target);
  run_pending_events (fixture->base);
  event_base_free (fixture->base);
  dp_counters_unref (fixture->counters);
  g_free (fixture);
}

static guint64
count_status (const Fixture *fixture, const char *status)
{
  return dp_counters_get (fixture->counters, "dogwoodplank_tunnels_total", "status", status);
}

#define CONNECT_LINE "CONNECT 192.0.2.1:8080 HTTP/1.1\r\n"
#define CONNECT_REQUEST CONNECT_LINE "Target: " TARGET_ID "\r\n\r\n"

/* A raw client whose tunnel is open. */
static Peer *
open_tunnel (Fixture *fixture)
{
  Peer *client = peer_connect (fixture->base, fixture->port);
  guint accepted = fixture->target->accepted;
  peer_send (client, CONNECT_REQUEST);
  WAIT_UNTIL (fixture->base, fixture->target->accepted == accepted + 1
                               && strcmp (client->received->str, OPEN) == 0);
  g_string_truncate (client->received, 0);
  return client;
}

/* --- whole responses --- */

typedef struct ResponseCase
{
  const char *name;
  const char *answer;
  const char *body;
} ResponseCase;

static const ResponseCase response_cases[] = {
  { "Content-Length", LENGTH_4 "abcd", "abcd" },
  { "chunked", CHUNKED "2\r\nab\r\n0\r\n\r\n", "ab" },
  { "no content", "HTTP/1.1 204 No Content\r\n\r\n", "" },
};

/* How the target closes after its response: 0: not at all, 1: in an orderly way, 2: by a reset.
 */
START_TEST (response_is_complete_however_target_closes)
{
  const ResponseCase *c = &response_cases[_i % 3];
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Response response = { 0 };
  start_call (fixture->base, &response, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, g_str_has_suffix (fixture->target->received->str, "\r\n\r\n{}"));
  ck_assert (g_str_has_prefix (fixture->target->received->str, "POST /x HTTP/1.1\r\n"));
  ck_assert_ptr_null (strstr (fixture->target->received->str, "CONNECT"));
  peer_send (fixture->target, c->answer);
  WAIT_UNTIL (fixture->base, !has_unsent_bytes (fixture->target));
  if (_i / 3 == 1)
    peer_close (fixture->target);
  else if (_i / 3 == 2)
    peer_reset (fixture->target);
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_msg (response.result == DP_HTTP_COMPLETE, "%s: result %d", c->name,
                 response.result);
  ck_assert (!response.nothing_sent);
  ck_assert_str_eq (response.body->str, c->body);
  WAIT_UNTIL (fixture->base, fixture->ended == 1);
  ck_assert_uint_eq (fixture->report.bytes_to_client, strlen (c->answer));
  ck_assert_uint_eq (fixture->report.bytes_to_target, fixture->target->received->len);
  ck_assert_uint_eq (fixture->reached, 1);
  ck_assert_uint_eq (dp_tunnel_server_open (fixture->server), 0);
  ck_assert_uint_eq (count_status (fixture, "200"), 1);
  g_string_free (response.body, TRUE);
  free_fixture (fixture);
}
END_TEST

START_TEST (each_event_is_forwarded_at_once)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Response response = { 0 };
  start_call (fixture->base, &response, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, g_str_has_suffix (fixture->target->received->str, "{}"));
  peer_send (fixture->target, CHUNKED);
  WAIT_UNTIL (fixture->base, response.status == 200);
  for (guint i = 1; i <= 20; i++)
    {
      peer_send (fixture->target, "9\r\ndata: x\n\n\r\n");
      WAIT_UNTIL (fixture->base, response.body->len == (gsize)i * 9);
    }
  ck_assert (!response.ended);
  peer_send (fixture->target, "0\r\n\r\n");
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_int_eq (response.result, DP_HTTP_COMPLETE);
  g_string_free (response.body, TRUE);
  free_fixture (fixture);
}
END_TEST

START_TEST (bodies_larger_than_buffers_are_forwarded_whole)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  char *request_body = make_bytes (LARGE_BODY_BYTES, 1);
  char *response_body = make_bytes (LARGE_BODY_BYTES, 2);
  Response response = { 0 };
  start_call (fixture->base, &response,
              (CallOptions){ .gateway_port = fixture->port,
                             .body = request_body,
                             .body_length = LARGE_BODY_BYTES });
  WAIT_UNTIL (fixture->base,
              ends_with (fixture->target->received, request_body, LARGE_BODY_BYTES));
  char *head = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                                (gsize)LARGE_BODY_BYTES);
  peer_send (fixture->target, head);
  bufferevent_write (fixture->target->bev, response_body, LARGE_BODY_BYTES);
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_int_eq (response.result, DP_HTTP_COMPLETE);
  ck_assert_uint_eq (response.body->len, LARGE_BODY_BYTES);
  ck_assert (ends_with (response.body, response_body, LARGE_BODY_BYTES));
  g_free (head);
  g_free (request_body);
  g_free (response_body);
  g_string_free (response.body, TRUE);
  free_fixture (fixture);
}
END_TEST

/* Less than what the gateway reads before it has connected, and more. */
static const gsize early_lengths[] = { 1, 8 * KIB };

START_TEST (bytes_behind_connect_request_are_forwarded)
{
  gsize length = early_lengths[_i];
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Peer *client = peer_connect (fixture->base, fixture->port);
  char *early = make_bytes (length, 3);
  peer_send (client, CONNECT_REQUEST);
  bufferevent_write (client->bev, early, length);
  WAIT_UNTIL (fixture->base, ends_with (fixture->target->received, early, length));
  ck_assert_uint_eq (fixture->target->received->len, length);
  g_free (early);
  peer_free (client);
  free_fixture (fixture);
}
END_TEST

/* --- refused tunnels --- */

/* A listener whose queue is full: connections to it time out. */
typedef struct FullListener
{
  int fd;
  int clients[4];
  guint16 port;
} FullListener;

static FullListener
make_full_listener (void)
{
  FullListener full = { .fd = socket (AF_INET, SOCK_STREAM, 0) };
  struct sockaddr_in name = socket_address (0);
  ck_assert_int_eq (bind (full.fd, (struct sockaddr *)&name, sizeof name), 0);
  ck_assert_int_eq (listen (full.fd, 0), 0);
  socklen_t length = sizeof name;
  getsockname (full.fd, (struct sockaddr *)&name, &length);
  full.port = ntohs (name.sin_port);
  for (guint i = 0; i < G_N_ELEMENTS (full.clients); i++)
    {
      full.clients[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (full.clients[i], (struct sockaddr *)&name, sizeof name);
    }
  return full;
}

static void
free_full_listener (const FullListener *full)
{
  for (guint i = 0; i < G_N_ELEMENTS (full->clients); i++)
    close (full->clients[i]);
  close (full->fd);
}

typedef enum Refusal
{
  TARGET_REFUSES,
  TARGET_TIMES_OUT,
  NETWORK_UNREACHABLE,
  NOT_AN_ADDRESS,
  UNKNOWN_TARGET,
  TARGET_NOT_USABLE,
  GATEWAY_UNAVAILABLE,
} Refusal;

typedef struct RefusalCase
{
  const char *name;
  Refusal refusal;
  const char *status;
  DpHttpCallResult result;
  guint unreached;
} RefusalCase;

static const RefusalCase refusal_cases[] = {
  { "target refuses", TARGET_REFUSES, "502", DP_HTTP_CONNECT_FAILED, 1 },
  { "target times out", TARGET_TIMES_OUT, "504", DP_HTTP_CONNECT_FAILED, 1 },
  { "network unreachable", NETWORK_UNREACHABLE, "502", DP_HTTP_CONNECT_FAILED, 1 },
  { "not an address", NOT_AN_ADDRESS, "503", DP_HTTP_GATEWAY_FAILED, 0 },
  { "unknown target", UNKNOWN_TARGET, "403", DP_HTTP_GATEWAY_REFUSED, 0 },
  { "target not usable", TARGET_NOT_USABLE, "403", DP_HTTP_GATEWAY_REFUSED, 0 },
  { "gateway unavailable", GATEWAY_UNAVAILABLE, "503", DP_HTTP_GATEWAY_FAILED, 0 },
};

static void
set_refusal (Fixture *fixture, Refusal refusal, const FullListener *full)
{
  switch (refusal)
    {
    case TARGET_REFUSES:
      fixture->target_port = find_free_port (ADDRESS);
      break;
    case TARGET_TIMES_OUT:
      fixture->target_port = full->port;
      break;
    case NETWORK_UNREACHABLE:
      fixture->address = "255.255.255.255";
      break;
    case NOT_AN_ADDRESS:
      fixture->address = "no.such.invalid.";
      break;
    case TARGET_NOT_USABLE:
      fixture->status = DP_TUNNEL_UNKNOWN_TARGET;
      break;
    case GATEWAY_UNAVAILABLE:
      fixture->status = DP_TUNNEL_UNAVAILABLE;
      break;
    case UNKNOWN_TARGET:
      break;
    }
}

START_TEST (refused_tunnel_reports_why_and_sends_nothing)
{
  const RefusalCase *c = &refusal_cases[_i];
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  FullListener full = make_full_listener ();
  set_refusal (fixture, c->refusal, &full);
  Response response = { 0 };
  start_call (fixture->base, &response,
              (CallOptions){ .gateway_port = fixture->port,
                             .target_id = c->refusal == UNKNOWN_TARGET ? "other" : NULL });
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_msg (response.result == c->result, "%s: result %d", c->name, response.result);
  ck_assert (response.nothing_sent);
  ck_assert_msg (count_status (fixture, c->status) == 1, "%s: %d", c->name,
                 fixture->refused_status);
  ck_assert_uint_eq (fixture->refused, 1);
  ck_assert_uint_eq (fixture->unreached, c->unreached);
  ck_assert_uint_eq (fixture->reached, 0);
  ck_assert_uint_eq (fixture->ended, 0);
  ck_assert_uint_eq (dp_tunnel_server_open (fixture->server), 0);
  ck_assert_uint_eq (fixture->target->accepted, 0);
  g_string_free (response.body, TRUE);
  free_full_listener (&full);
  free_fixture (fixture);
}
END_TEST

typedef struct InvalidRequestCase
{
  const char *name;
  const char *text;
  gsize length;  /* 0: that of the text */
  gsize padding; /* bytes appended */
} InvalidRequestCase;

#define WITH_NUL CONNECT_LINE "Target: " TARGET_ID "\0x\r\n\r\n"

static const InvalidRequestCase invalid_request_cases[] = {
  { "other method", "GET / HTTP/1.1\r\nTarget: " TARGET_ID "\r\n\r\n", 0, 0 },
  { "absolute URI", "GET http://192.0.2.1:8080/ HTTP/1.1\r\nTarget: " TARGET_ID "\r\n\r\n", 0,
    0 },
  { "HTTP/1.0", "CONNECT 192.0.2.1:8080 HTTP/1.0\r\nTarget: " TARGET_ID "\r\n\r\n", 0, 0 },
  { "no authority", "CONNECT  HTTP/1.1\r\nTarget: " TARGET_ID "\r\n\r\n", 0, 0 },
  { "no version", "CONNECT 192.0.2.1:8080\r\nTarget: " TARGET_ID "\r\n\r\n", 0, 0 },
  { "no target", CONNECT_LINE "Host: x\r\n\r\n", 0, 0 },
  { "empty target", CONNECT_LINE "Target: \r\n\r\n", 0, 0 },
  { "two targets", CONNECT_LINE "Target: " TARGET_ID "\r\nTarget: other\r\n\r\n", 0, 0 },
  { "target in the request line only",
    "CONNECT Target:" TARGET_ID " HTTP/1.1\r\nHost: x\r\n\r\n", 0, 0 },
  { "NUL", WITH_NUL, sizeof WITH_NUL - 1, 0 },
  { "not HTTP", "hello\r\n\r\n", 0, 0 },
  { "no line", "\r\n\r\n", 0, 0 },
  { "endless head", CONNECT_LINE "X: ", 0, 2 * KIB },
  { "incomplete head", CONNECT_LINE, 0, 0 },
  { "no byte", "", 0, 0 },
};

START_TEST (invalid_connect_request_opens_no_tunnel)
{
  const InvalidRequestCase *c = &invalid_request_cases[_i];
  Fixture *fixture
    = make_fixture ((FixtureOptions){ .handshake_timeout = 200 * DP_USEC_PER_MSEC });
  Peer *client = peer_connect (fixture->base, fixture->port);
  bufferevent_write (client->bev, c->text, c->length != 0 ? c->length : strlen (c->text));
  for (gsize i = 0; i < c->padding; i++)
    peer_send (client, "x");
  WAIT_UNTIL (fixture->base, client->has_eof || client->was_reset);
  ck_assert_msg (g_str_has_prefix (client->received->str, "HTTP/1.1 400 "), "%s: %s", c->name,
                 client->received->str);
  ck_assert_uint_eq (fixture->refused, 1);
  ck_assert_int_eq (fixture->refused_status, DP_TUNNEL_BAD_REQUEST);
  ck_assert_uint_eq (fixture->target->accepted, 0);
  peer_free (client);
  free_fixture (fixture);
}
END_TEST

START_TEST (address_in_request_line_is_not_used)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Peer *other = peer_listen (fixture->base);
  Peer *client = peer_connect (fixture->base, fixture->port);
  char *request = g_strdup_printf ("CONNECT " ADDRESS ":%u HTTP/1.1\r\nHost: " ADDRESS
                                   ":%u\r\nTarget: " TARGET_ID "\r\n\r\n",
                                   other->port, other->port);
  peer_send (client, request);
  WAIT_UNTIL (fixture->base, strcmp (client->received->str, OPEN) == 0);
  WAIT_UNTIL (fixture->base, fixture->target->accepted == 1);
  ck_assert_uint_eq (other->accepted, 0);
  g_free (request);
  peer_free (client);
  peer_free (other);
  free_fixture (fixture);
}
END_TEST

START_TEST (tunnels_over_limit_are_refused)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ .tunnels_max = 1 });
  Peer *first = open_tunnel (fixture);
  Response refused = { 0 };
  start_call (fixture->base, &refused, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, refused.ended);
  ck_assert_int_eq (refused.result, DP_HTTP_GATEWAY_FAILED);
  ck_assert (refused.nothing_sent);
  ck_assert_uint_eq (count_status (fixture, "503"), 1);
  peer_close (first);
  WAIT_UNTIL (fixture->base, dp_tunnel_server_open (fixture->server) == 0);
  Peer *second = open_tunnel (fixture);
  g_string_free (refused.body, TRUE);
  peer_free (first);
  peer_free (second);
  free_fixture (fixture);
}
END_TEST

/* Connections without a request, beyond the descriptors of all tunnels. */
#define SILENT_CONNECTIONS 60

START_TEST (silent_connections_leave_room_for_tunnels)
{
  Fixture *fixture = make_fixture (
    (FixtureOptions){ .tunnels_max = 2, .handshake_timeout = 300 * DP_USEC_PER_MSEC });
  Peer *silent[SILENT_CONNECTIONS];
  for (guint i = 0; i < SILENT_CONNECTIONS; i++)
    silent[i] = peer_connect (fixture->base, fixture->port);
  guint closed = 0;
  for (guint i = 0; i < SILENT_CONNECTIONS; i++)
    {
      WAIT_UNTIL (fixture->base, silent[i]->has_eof || silent[i]->was_reset);
      closed += silent[i]->received->len == 0;
    }
  ck_assert_uint_eq (closed, SILENT_CONNECTIONS - dp_tunnel_server_descriptors_max (2));
  for (guint i = 0; i < SILENT_CONNECTIONS; i++)
    peer_free (silent[i]);
  run_pending_events (fixture->base);
  peer_free (open_tunnel (fixture));
  free_fixture (fixture);
}
END_TEST

/* --- ends --- */

typedef enum TargetEnd
{
  TARGET_CLOSES,
  TARGET_RESETS,
  GATEWAY_ENDS,
} TargetEnd;

typedef struct EndCase
{
  const char *name;
  TargetEnd end;
  gboolean is_orderly; /* as the client sees it */
  DpTunnelEnd report;
} EndCase;

static const EndCase end_cases[] = {
  { "orderly close", TARGET_CLOSES, TRUE, DP_TUNNEL_END_TARGET },
  { "reset", TARGET_RESETS, FALSE, DP_TUNNEL_END_TARGET_RESET },
  { "gateway ends", GATEWAY_ENDS, FALSE, DP_TUNNEL_END_STOPPED },
};

static void
end_target (Fixture *fixture, TargetEnd end)
{
  WAIT_UNTIL (fixture->base, !has_unsent_bytes (fixture->target));
  switch (end)
    {
    case TARGET_CLOSES:
      peer_close (fixture->target);
      break;
    case TARGET_RESETS:
      peer_reset (fixture->target);
      break;
    case GATEWAY_ENDS:
      dp_tunnel_server_free (fixture->server);
      fixture->server = NULL;
      break;
    }
}

START_TEST (client_sees_reset_unless_target_closes_orderly)
{
  const EndCase *c = &end_cases[_i];
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Peer *client = open_tunnel (fixture);
  peer_send (fixture->target, CLOSE_DELIMITED "abcd");
  WAIT_UNTIL (fixture->base, g_str_has_suffix (client->received->str, "abcd"));
  end_target (fixture, c->end);
  WAIT_UNTIL (fixture->base, client->has_eof || client->was_reset);
  ck_assert_msg (client->has_eof == c->is_orderly, "%s", c->name);
  peer_close (client);
  WAIT_UNTIL (fixture->base, fixture->ended == 1);
  ck_assert_msg (fixture->report.end == c->report, "%s: end %d", c->name, fixture->report.end);
  peer_free (client);
  free_fixture (fixture);
}
END_TEST

START_TEST (close_delimited_response_through_tunnel_is_never_complete)
{
  const EndCase *c = &end_cases[_i];
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Response response = { 0 };
  start_call (fixture->base, &response, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, g_str_has_suffix (fixture->target->received->str, "{}"));
  peer_send (fixture->target, CLOSE_DELIMITED "abcd");
  WAIT_UNTIL (fixture->base, response.status == 200);
  end_target (fixture, c->end);
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_msg (response.result == DP_HTTP_FAILED, "%s: result %d", c->name, response.result);
  ck_assert (!response.nothing_sent);
  g_string_free (response.body, TRUE);
  free_fixture (fixture);
}
END_TEST

/* The client sees the end before the gateway closes its connection. */
START_TEST (bytes_before_target_ends_are_flushed)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Peer *client = open_tunnel (fixture);
  char *bytes = make_bytes (LARGE_BODY_BYTES, 4);
  bufferevent_write (fixture->target->bev, bytes, LARGE_BODY_BYTES);
  WAIT_UNTIL (fixture->base, !has_unsent_bytes (fixture->target));
  peer_close (fixture->target);
  WAIT_UNTIL (fixture->base, client->has_eof);
  ck_assert_uint_eq (fixture->ended, 0);
  ck_assert_uint_eq (client->received->len, LARGE_BODY_BYTES);
  ck_assert (ends_with (client->received, bytes, LARGE_BODY_BYTES));
  g_free (bytes);
  peer_free (client);
  free_fixture (fixture);
}
END_TEST

START_TEST (cancelled_call_closes_connection_to_target)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Response response = { 0 };
  DpHttpCall *call
    = start_call (fixture->base, &response, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, g_str_has_suffix (fixture->target->received->str, "{}"));
  dp_http_call_cancel (call);
  WAIT_UNTIL (fixture->base, fixture->target->has_eof);
  ck_assert_int_eq (fixture->report.end, DP_TUNNEL_END_CLIENT);
  ck_assert_uint_eq (dp_tunnel_server_open (fixture->server), 0);
  ck_assert (!response.ended);
  g_string_free (response.body, TRUE);
  free_fixture (fixture);
}
END_TEST

#define STALL_TIME (300 * DP_USEC_PER_MSEC)

typedef struct QueueWatch
{
  const Peer *peer;
  int length;
  DpUsec changed_at;
} QueueWatch;

/* TRUE if the kernel has got no byte for the peer for a while. */
static gboolean
is_stalled (QueueWatch *watch)
{
  int length = 0;
  if (ioctl (bufferevent_getfd (watch->peer->bev), FIONREAD, &length) != 0)
    ck_abort_msg ("FIONREAD: %s", g_strerror (errno));
  DpUsec now = g_get_monotonic_time ();
  if (length != watch->length || watch->changed_at == 0)
    *watch = (QueueWatch){ watch->peer, length, now };
  return now > watch->changed_at + STALL_TIME;
}

static void
wait_until_stalled (const Peer *peer)
{
  QueueWatch watch = { .peer = peer };
  WAIT_UNTIL (peer->base, is_stalled (&watch));
}

/* The gateway doesn't read from the client while the target takes nothing. 0: the call is
 * cancelled; 1: the client's connection is reset. */
START_TEST (target_that_does_not_read_is_closed_when_client_leaves)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  char *bytes = make_bytes (SLOW_BODY_BYTES, 5);
  Response response = { 0 };
  DpHttpCall *call = NULL;
  Peer *client = NULL;
  if (_i == 0)
    call = start_call (fixture->base, &response,
                       (CallOptions){ .gateway_port = fixture->port,
                                      .body = bytes,
                                      .body_length = SLOW_BODY_BYTES });
  else
    client = open_tunnel (fixture);
  WAIT_UNTIL (fixture->base, fixture->target->accepted == 1);
  bufferevent_disable (fixture->target->bev, EV_READ);
  if (_i == 1)
    bufferevent_write (client->bev, bytes, SLOW_BODY_BYTES);
  wait_until_stalled (fixture->target);
  if (_i == 0)
    dp_http_call_cancel (call);
  else
    peer_reset (client);
  WAIT_UNTIL (fixture->base, fixture->ended == 1);
  ck_assert_int_eq (fixture->report.end, DP_TUNNEL_END_CLIENT);
  ck_assert_uint_lt (fixture->report.bytes_to_target, SLOW_BODY_BYTES);
  g_free (bytes);
  if (_i == 0)
    g_string_free (response.body, TRUE);
  else
    peer_free (client);
  free_fixture (fixture);
}
END_TEST

START_TEST (client_that_leaves_while_connecting_frees_tunnel)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  FullListener full = make_full_listener ();
  fixture->target_port = full.port;
  Peer *client = peer_connect (fixture->base, fixture->port);
  peer_send (client, CONNECT_REQUEST);
  WAIT_UNTIL (fixture->base, dp_tunnel_server_open (fixture->server) == 1);
  peer_close (client);
  WAIT_UNTIL (fixture->base, dp_tunnel_server_open (fixture->server) == 0);
  ck_assert_uint_eq (fixture->unreached, 0);
  ck_assert_uint_eq (fixture->refused, 0);
  peer_free (client);
  free_full_listener (&full);
  free_fixture (fixture);
}
END_TEST

/* 0: the client doesn't read; 1: the target doesn't. */
START_TEST (peer_that_does_not_read_stops_only_its_own_tunnel)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Peer *client = open_tunnel (fixture);
  Peer *slow = _i == 0 ? client : peer_new (fixture->base);
  Peer *fast = _i == 0 ? peer_new (fixture->base) : client;
  /* The fixture's target serves the next tunnel, too. */
  Peer *first_target = _i == 0 ? fast : slow;
  peer_attach (first_target, dup (bufferevent_getfd (fixture->target->bev)));
  peer_close (fixture->target);
  bufferevent_disable (slow->bev, EV_READ);
  char *bytes = make_bytes (SLOW_BODY_BYTES, 6);
  bufferevent_write (fast->bev, bytes, SLOW_BODY_BYTES);
  Peer *second = open_tunnel (fixture);
  for (guint i = 0; i < 100; i++)
    {
      peer_send (second, "ping");
      WAIT_UNTIL (fixture->base, fixture->target->received->len == (gsize)(i + 1) * 4);
    }
  wait_until_stalled (slow);
  gsize unsent = evbuffer_get_length (bufferevent_get_output (fast->bev));
  ck_assert_uint_ge (unsent, SLOW_BODY_BYTES - BUFFERED_BYTES_MAX);
  bufferevent_enable (slow->bev, EV_READ);
  WAIT_UNTIL (fixture->base, slow->received->len == SLOW_BODY_BYTES);
  ck_assert (ends_with (slow->received, bytes, SLOW_BODY_BYTES));
  g_free (bytes);
  peer_free (first_target);
  peer_free (client);
  peer_free (second);
  free_fixture (fixture);
}
END_TEST

START_TEST (idle_tunnel_is_reset)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ .idle_timeout = DP_USEC_PER_MSEC });
  Peer *client = open_tunnel (fixture);
  WAIT_UNTIL (fixture->base, client->was_reset);
  WAIT_UNTIL (fixture->base, fixture->target->has_eof);
  ck_assert_int_eq (fixture->report.end, DP_TUNNEL_END_IDLE);
  peer_free (client);
  free_fixture (fixture);
}
END_TEST

START_TEST (stopping_gateway_finishes_open_tunnels)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  Response response = { 0 };
  start_call (fixture->base, &response, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, g_str_has_suffix (fixture->target->received->str, "{}"));
  Peer *connected = peer_connect (fixture->base, fixture->port);
  run_pending_events (fixture->base);
  dp_tunnel_server_stop_accepting (fixture->server);
  Response refused = { 0 };
  start_call (fixture->base, &refused, (CallOptions){ .gateway_port = fixture->port });
  WAIT_UNTIL (fixture->base, refused.ended);
  ck_assert_int_eq (refused.result, DP_HTTP_GATEWAY_FAILED);
  ck_assert (refused.nothing_sent);
  peer_send (connected, CONNECT_REQUEST);
  WAIT_UNTIL (fixture->base, connected->has_eof);
  ck_assert (g_str_has_prefix (connected->received->str, "HTTP/1.1 503 "));
  ck_assert_uint_eq (dp_tunnel_server_open (fixture->server), 1);
  peer_send (fixture->target, LENGTH_4 "abcd");
  WAIT_UNTIL (fixture->base, response.ended);
  ck_assert_int_eq (response.result, DP_HTTP_COMPLETE);
  WAIT_UNTIL (fixture->base, dp_tunnel_server_open (fixture->server) == 0);
  g_string_free (response.body, TRUE);
  g_string_free (refused.body, TRUE);
  peer_free (connected);
  free_fixture (fixture);
}
END_TEST

START_TEST (gateway_needs_free_port)
{
  Fixture *fixture = make_fixture ((FixtureOptions){ 0 });
  const DpTunnelServerOptions options = { .base = fixture->base,
                                          .address = ADDRESS,
                                          .port = fixture->port,
                                          .counters = fixture->counters };
  ck_assert_ptr_null (dp_tunnel_server_new (&options));
  free_fixture (fixture);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("net_tunnel");
  TCase *tcase = tcase_create ("tunnel");
  tcase_add_loop_test (tcase, gateway_that_opens_no_tunnel_gets_no_request, 0,
                       G_N_ELEMENTS (gateway_cases));
  tcase_add_loop_test (tcase, response_is_incomplete_when_gateway_closes, 0,
                       G_N_ELEMENTS (incomplete_cases));
  tcase_add_loop_test (tcase, call_without_gateway_sends_nothing, 0,
                       G_N_ELEMENTS (invalid_call_cases));
  tcase_add_loop_test (tcase, response_is_complete_however_target_closes, 0,
                       G_N_ELEMENTS (response_cases) * 3);
  tcase_add_test (tcase, each_event_is_forwarded_at_once);
  tcase_add_test (tcase, bodies_larger_than_buffers_are_forwarded_whole);
  tcase_add_loop_test (tcase, bytes_behind_connect_request_are_forwarded, 0,
                       G_N_ELEMENTS (early_lengths));
  tcase_add_loop_test (tcase, refused_tunnel_reports_why_and_sends_nothing, 0,
                       G_N_ELEMENTS (refusal_cases));
  tcase_add_loop_test (tcase, invalid_connect_request_opens_no_tunnel, 0,
                       G_N_ELEMENTS (invalid_request_cases));
  tcase_add_test (tcase, address_in_request_line_is_not_used);
  tcase_add_test (tcase, tunnels_over_limit_are_refused);
  tcase_add_test (tcase, silent_connections_leave_room_for_tunnels);
  tcase_add_loop_test (tcase, client_sees_reset_unless_target_closes_orderly, 0,
                       G_N_ELEMENTS (end_cases));
  tcase_add_loop_test (tcase, close_delimited_response_through_tunnel_is_never_complete, 0,
                       G_N_ELEMENTS (end_cases));
  tcase_add_test (tcase, bytes_before_target_ends_are_flushed);
  tcase_add_test (tcase, cancelled_call_closes_connection_to_target);
  tcase_add_loop_test (tcase, target_that_does_not_read_is_closed_when_client_leaves, 0, 2);
  tcase_add_test (tcase, client_that_leaves_while_connecting_frees_tunnel);
  tcase_add_loop_test (tcase, peer_that_does_not_read_stops_only_its_own_tunnel, 0, 2);
  tcase_add_test (tcase, idle_tunnel_is_reset);
  tcase_add_test (tcase, stopping_gateway_finishes_open_tunnels);
  tcase_add_test (tcase, gateway_needs_free_port);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
