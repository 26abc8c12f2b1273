/* Responses that end at each of their bytes, directly and through a gateway, and responses
 * whose length is ambiguous. */
#include "net/http_call.h"
#include "net/tunnel_server.h"
#include "tests/free_port.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.1.27"
#define TARGET_ID "i-7f3a"
#define TEST_TIMEOUT_SECONDS 20
#define KIB ((gsize)1024)
#define HEAD_END "\r\n\r\n"

typedef enum Ending
{
  ENDING_CLOSE,
  ENDING_RESET,
} Ending;

/* Sends a part of a response to the first request it gets, and ends the connection. */
typedef struct Peer
{
  struct event_base *base;
  struct evconnlistener *listener;
  guint16 port;
  const char *answer;
  gsize length;
  gsize step; /* bytes written at a time */
  Ending ending;
  int fd;
  struct event *event;
  GString *request;
  gsize sent;
} Peer;

static void
end_connection (Peer *peer)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  if (peer->ending == ENDING_RESET)
    setsockopt (peer->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  event_free (peer->event);
  peer->event = NULL;
  close (peer->fd);
}

static void
on_peer_writable (evutil_socket_t fd, short what, void *user)
{
  Peer *peer = user;
  if (peer->sent == peer->length)
    {
      end_connection (peer);
      return;
    }
  ssize_t got = send (fd, peer->answer + peer->sent,
                      MIN (peer->step, peer->length - peer->sent), MSG_NOSIGNAL);
  if (got > 0)
    peer->sent += (gsize)got;
  else /* the client has ended the connection */
    end_connection (peer);
}

static void
on_peer_readable (evutil_socket_t fd, short what, void *user)
{
  Peer *peer = user;
  char part[4096];
  ssize_t got = recv (fd, part, sizeof part, 0);
  ck_assert_int_gt (got, 0);
  g_string_append_len (peer->request, part, got);
  if (!g_str_has_suffix (peer->request->str, HEAD_END))
    return;
  event_free (peer->event);
  peer->event = event_new (peer->base, fd, EV_WRITE | EV_PERSIST, on_peer_writable, peer);
  event_add (peer->event, NULL);
}

static void
on_peer_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int length,
                void *user)
{
  Peer *peer = user;
  const int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ck_assert_ptr_null (peer->event);
  peer->fd = fd;
  peer->sent = 0;
  g_string_truncate (peer->request, 0);
  peer->event = event_new (peer->base, fd, EV_READ | EV_PERSIST, on_peer_readable, peer);
  event_add (peer->event, NULL);
}

static void
peer_start (Peer *peer)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  ck_assert_int_eq (inet_pton (AF_INET, ADDRESS, &name.sin_addr), 1);
  peer->request = g_string_new (NULL);
  peer->listener = evconnlistener_new_bind (peer->base, on_peer_accept, peer,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                            (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (peer->listener);
  socklen_t length = sizeof name;
  getsockname (evconnlistener_get_fd (peer->listener), (struct sockaddr *)&name, &length);
  peer->port = ntohs (name.sin_port);
}

static DpTunnelStatus
resolve (gpointer user, const char *target_id, char address[46], guint16 *port)
{
  const Peer *peer = user;
  g_strlcpy (address, ADDRESS, 46);
  *port = peer->port;
  return DP_TUNNEL_OPEN;
}

static void
on_tunnel_connected (gpointer user, const char *target_id, gboolean succeeded)
{
}

static void
on_tunnel_refused (gpointer user, const char *target_id, DpTunnelStatus status)
{
}

static void
on_tunnel_ended (gpointer user, const DpTunnelReport *report)
{
}

static const DpTunnelCallbacks tunnel_callbacks = { .resolve = resolve,
                                                    .connected = on_tunnel_connected,
                                                    .refused = on_tunnel_refused,
                                                    .ended = on_tunnel_ended };

typedef struct Response
{
  struct event_base *base;
  gboolean ended;
  DpHttpCallResult result;
  GString *body;
} Response;

static void
on_response_head (gpointer user, DpHttpCall *call, int status)
{
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
  response->ended = TRUE;
  response->result = result;
  event_base_loopbreak (response->base);
}

static const DpHttpCallbacks response_callbacks
  = { on_response_head, on_response_data, on_response_end };

typedef struct Bench
{
  Peer peer;
  DpCounters *counters;
  DpTunnelServer *gateway;
  guint16 gateway_port;
  Response response;
} Bench;

static void
bench_start (Bench *bench)
{
  struct event_base *base = event_base_new ();
  bench->peer.base = base;
  peer_start (&bench->peer);
  bench->response = (Response){ .base = base, .body = g_string_new (NULL) };
  bench->counters = dp_counters_new ();
  bench->gateway_port = find_free_port (ADDRESS);
  const DpTunnelServerOptions options = { .base = base,
                                          .address = ADDRESS,
                                          .port = bench->gateway_port,
                                          .tunnels_max = 8,
                                          .head_max = 4 * KIB,
                                          .buffer_max = 64 * KIB,
                                          .handshake_timeout = 5 * DP_USEC_PER_SEC,
                                          .connect_timeout = 5 * DP_USEC_PER_SEC,
                                          .idle_timeout = 20 * DP_USEC_PER_SEC,
                                          .counters = bench->counters,
                                          .callbacks = &tunnel_callbacks,
                                          .user = &bench->peer };
  bench->gateway = dp_tunnel_server_new (&options);
  ck_assert_ptr_nonnull (bench->gateway);
}

static void
run_pending_events (struct event_base *base)
{
  for (int i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

static void
bench_end (Bench *bench)
{
  struct event_base *base = bench->peer.base;
  run_pending_events (base);
  dp_tunnel_server_free (bench->gateway);
  dp_counters_unref (bench->counters);
  evconnlistener_free (bench->peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (bench->response.body, TRUE);
  g_string_free (bench->peer.request, TRUE);
}

static DpHttpCallResult
call_peer (Bench *bench, gboolean through_gateway)
{
  Response *response = &bench->response;
  response->ended = FALSE;
  g_string_truncate (response->body, 0);
  const DpHttpCallOptions options
    = { .base = bench->peer.base,
        .address = through_gateway ? "192.0.2.1" : ADDRESS,
        .port = bench->peer.port,
        .gateway_address = through_gateway ? ADDRESS : NULL,
        .gateway_port = bench->gateway_port,
        .target_id = TARGET_ID,
        .method = EVHTTP_REQ_GET,
        .path = "/x",
        .connect_timeout = 5 * DP_USEC_PER_SEC,
        .first_byte_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .idle_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .response_body_max = 64 * KIB,
        .callbacks = &response_callbacks,
        .user = response };
  dp_http_call_start (&options);
  while (!response->ended)
    event_base_dispatch (bench->peer.base);
  while (bench->peer.event != NULL)
    event_base_loop (bench->peer.base, EVLOOP_ONCE);
  run_pending_events (bench->peer.base);
  return response->result;
}

/* --- responses that end early --- */

typedef struct CutCase
{
  const char *name;
  const char *answer;
  const char *body;
  gboolean is_unframed; /* the response ends with its connection */
  gboolean may_fail;    /* evhttp doesn't always read such a response when it is whole */
} CutCase;

static const CutCase cut_cases[] = {
  { "Content-Length",
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
    "abcdefghijkl", FALSE, FALSE },
  { "Content-Length first",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\nabcdefghijkl", "abcdefghijkl",
    FALSE, FALSE },
  { "lines end with LF", "HTTP/1.1 200 OK\nX-A: b\nContent-Length: 12\n\nabcdefghijkl",
    "abcdefghijkl", FALSE, FALSE },
  { "chunked",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "11\r\n0123456789abcdefg\r\n2\r\nhi\r\n0\r\n\r\n",
    "0123456789abcdefghi", FALSE, FALSE },
  { "chunked, with trailers",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
    "ab", FALSE, FALSE },
  { "chunked, HTTP/1.0",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", FALSE,
    FALSE },
  { "an interim response before",
    "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "ab", FALSE, TRUE },
  { "no body", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", FALSE, FALSE },
  { "an empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", FALSE, FALSE },
  { "HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", FALSE,
    FALSE },
  { "no length", "HTTP/1.1 200 OK\r\nX-A: b\r\nConnection: close\r\n\r\nabcd", "abcd", TRUE,
    FALSE },
  { "no length, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nabcd", "abcd", TRUE, FALSE },
  { "chunked, with an extension",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n", "ab",
    FALSE, TRUE },
};

typedef struct CutWay
{
  const char *name;
  gboolean through_gateway;
  Ending ending;
  gsize step;
} CutWay;

static const CutWay cut_ways[] = {
  { "closed", FALSE, ENDING_CLOSE, 64 * KIB },
  { "closed, byte by byte", FALSE, ENDING_CLOSE, 1 },
  { "reset", FALSE, ENDING_RESET, 64 * KIB },
  { "reset, byte by byte", FALSE, ENDING_RESET, 1 },
  { "closed, through a gateway", TRUE, ENDING_CLOSE, 64 * KIB },
  { "closed, byte by byte through a gateway", TRUE, ENDING_CLOSE, 1 },
  { "reset, through a gateway", TRUE, ENDING_RESET, 64 * KIB },
  { "reset, byte by byte through a gateway", TRUE, ENDING_RESET, 1 },
};

/* TRUE if the caller may be told that the response is whole. */
static gboolean
may_be_whole (const CutCase *row, const CutWay *way, gsize length)
{
  if (!row->is_unframed)
    return length == strlen (row->answer);
  const char *end = strstr (row->answer, HEAD_END);
  return length >= (gsize)(end - row->answer) + strlen (HEAD_END) && way->ending == ENDING_CLOSE
         && !way->through_gateway;
}

START_TEST (a_response_that_ends_early_is_not_whole)
{
  const CutCase *row = &cut_cases[_i / G_N_ELEMENTS (cut_ways)];
  const CutWay *way = &cut_ways[_i % G_N_ELEMENTS (cut_ways)];
  Bench bench = { 0 };
  bench_start (&bench);
  bench.peer.answer = row->answer;
  bench.peer.step = way->step;
  bench.peer.ending = way->ending;
  gsize whole = strlen (row->answer);
  for (gsize length = 0; length <= whole; length++)
    {
      bench.peer.length = length;
      DpHttpCallResult result = call_peer (&bench, way->through_gateway);
      if (!may_be_whole (row, way, length))
        ck_assert_msg (result == DP_HTTP_FAILED, "%s, %s after byte %u: result %d", row->name,
                       way->name, (guint)length, result);
      else if (way->ending == ENDING_CLOSE && (!row->may_fail || result != DP_HTTP_FAILED))
        ck_assert_msg (
          result == (row->is_unframed ? DP_HTTP_CLOSE_DELIMITED : DP_HTTP_COMPLETE),
          "%s, %s after byte %u: result %d", row->name, way->name, (guint)length, result);
      if (result == DP_HTTP_COMPLETE)
        ck_assert_str_eq (bench.response.body->str, row->body);
      ck_assert_msg (g_str_has_prefix (row->body, bench.response.body->str), "%s, %s: %s",
                     row->name, way->name, bench.response.body->str);
    }
  bench_end (&bench);
}
END_TEST

/* --- responses whose length is ambiguous --- */

typedef struct AmbiguousCase
{
  const char *name;
  const char *answer;
  DpHttpCallResult result;
} AmbiguousCase;

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

static const AmbiguousCase ambiguous_cases[] = {
  { "two lengths, the shorter first",
    OK_HEAD "Content-Length: 2\r\nContent-Length: 4\r\n\r\nabcd", DP_HTTP_FAILED },
  { "two lengths, the longer first",
    OK_HEAD "Content-Length: 4\r\nContent-Length: 2\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a list of lengths", OK_HEAD "Content-Length: 2, 4\r\n\r\nabcd", DP_HTTP_FAILED },
  { "the same length twice", OK_HEAD "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
    DP_HTTP_COMPLETE },
  { "a length with a sign", OK_HEAD "Content-Length: +4\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a length in hexadecimal", OK_HEAD "Content-Length: 0x4\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a length in two parts", OK_HEAD "Content-Length: 4 4\r\n\r\nabcd", DP_HTTP_FAILED },
  { "no digits", OK_HEAD "Content-Length: \r\n\r\nabcd", DP_HTTP_FAILED },
  { "a folded length", OK_HEAD "Content-Length: 1\r\n 2\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a space before the colon of a length", OK_HEAD "Content-Length : 8\r\n\r\nabcd",
    DP_HTTP_FAILED },
  { "a space before the colon of a coding",
    OK_HEAD "Transfer-Encoding : chunked\r\n\r\n4\r\nabcd\r\n", DP_HTTP_FAILED },
  { "a length and chunks",
    OK_HEAD "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    DP_HTTP_FAILED },
  { "a coding that isn't known", OK_HEAD "Transfer-Encoding: gzip\r\n\r\nabcd",
    DP_HTTP_FAILED },
  { "a list of codings", OK_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n",
    DP_HTTP_FAILED },
  { "two codings",
    OK_HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    DP_HTTP_FAILED },
  { "a coding in capitals", OK_HEAD "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    DP_HTTP_COMPLETE },
  { "a line that is no header", OK_HEAD "Content-Length\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a lone CR in a value", OK_HEAD "X-A: b\r c\r\nContent-Length: 4\r\n\r\nabcd",
    DP_HTTP_FAILED },
  { "a control byte in a value", OK_HEAD "X-A: b\x01\r\nContent-Length: 4\r\n\r\nabcd",
    DP_HTTP_FAILED },
  { "a status line within the head", OK_HEAD "HTTP/1.1 200: OK\r\n\r\nabcd", DP_HTTP_FAILED },
  { "a status of two digits", "HTTP/1.1 20\r\nContent-Length: 0\r\n\r\n", DP_HTTP_FAILED },
  { "a status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
    DP_HTTP_FAILED },
  { "a status above 599", "HTTP/1.1 600 ?\r\nContent-Length: 0\r\n\r\n", DP_HTTP_FAILED },
  { "another protocol", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", DP_HTTP_FAILED },
  { "a response in place of a chunk",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" OK_HEAD "Content-Length: 0\r\n\r\n",
    DP_HTTP_FAILED },
  { "a word that begins like a chunk's size",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nbad gateway\r\n\r\n",
    DP_HTTP_FAILED },
};

START_TEST (a_response_of_ambiguous_length_is_not_whole)
{
  const AmbiguousCase *row = &ambiguous_cases[_i];
  Bench bench = { 0 };
  bench_start (&bench);
  bench.peer.answer = row->answer;
  bench.peer.length = strlen (row->answer);
  for (guint way = 0; way < 4; way++)
    {
      bench.peer.step = (way & 1) != 0 ? 1 : 64 * KIB;
      DpHttpCallResult result = call_peer (&bench, (way & 2) != 0);
      ck_assert_msg (result == row->result, "%s: result %d", row->name, result);
    }
  bench_end (&bench);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  TCase *tests = tcase_create ("cuts");
  tcase_set_timeout (tests, TEST_TIMEOUT_SECONDS);
  tcase_add_loop_test (tests, a_response_that_ends_early_is_not_whole, 0,
                       G_N_ELEMENTS (cut_cases) * G_N_ELEMENTS (cut_ways));
  tcase_add_loop_test (tests, a_response_of_ambiguous_length_is_not_whole, 0,
                       G_N_ELEMENTS (ambiguous_cases));
  Suite *suite = suite_create ("net_http_cuts");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
