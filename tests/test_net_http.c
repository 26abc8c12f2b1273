/* Server-sent events, HTTP client and HTTP server, tested on loopback sockets with complete and
 * truncated input. */
#include "net/http_call.h"
#include "net/http_server.h"
#include "net/sse.h"
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
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.1.21"
#define TEST_TIMEOUT_SECONDS 20
#define KIB ((gsize)1024)

static void
on_test_timeout (evutil_socket_t fd, short what, void *user)
{
  ck_abort_msg ("no event within %d s", TEST_TIMEOUT_SECONDS);
}

/* Runs the event loop until a callback breaks it. */
static void
run_loop (struct event_base *base)
{
  struct event *timeout = event_new (base, -1, 0, on_test_timeout, NULL);
  const struct timeval limit = { .tv_sec = TEST_TIMEOUT_SECONDS };
  event_add (timeout, &limit);
  event_base_dispatch (base);
  event_free (timeout);
}

/* Handles pending events without waiting, so that deferred cleanup runs. */
static void
run_pending_events (struct event_base *base)
{
  for (int i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* --- server-sent events --- */

static gboolean
collect_event (gpointer user, const char *event, gsize length)
{
  g_ptr_array_add (user, g_strndup (event, length));
  return TRUE;
}

typedef struct SseCase
{
  const char *stream;
  guint events;
  gboolean is_empty; /* at the end */
  const char *first_data;
} SseCase;

static const SseCase sse_cases[] = {
  { "data: a\n\ndata: b\n\n", 2, TRUE, "a" },
  { "id: 1\ndata: a\n\n", 1, TRUE, "a" },
  { "data: a\r\n\r\ndata: [DONE]\r\n\r\n", 2, TRUE, "a" },
  { "data:a\n\n", 1, TRUE, "a" },
  { "data: a\n", 0, FALSE, NULL },
  { "data: a\n\ndata: [DONE]\n", 1, FALSE, "a" },
  { "data: [DONE]", 0, FALSE, NULL },
  { "", 0, TRUE, NULL },
  { ": comment\n\n", 1, TRUE, NULL },
};

START_TEST (events_do_not_depend_on_read_boundaries)
{
  const SseCase *c = &sse_cases[_i];
  gsize length = strlen (c->stream);
  for (gsize step = 1; step <= length + 1; step++)
    {
      DpSse *sse = dp_sse_new (KIB);
      GPtrArray *events = g_ptr_array_new_with_free_func (g_free);
      for (gsize at = 0; at < length; at += step)
        ck_assert (
          dp_sse_push (sse, c->stream + at, MIN (step, length - at), collect_event, events));
      ck_assert_uint_eq (events->len, c->events);
      ck_assert_int_eq (dp_sse_is_empty (sse), c->is_empty);
      if (events->len > 0)
        {
          const char *event = g_ptr_array_index (events, 0);
          gsize data_length = 0;
          const char *data = dp_sse_data (event, strlen (event), &data_length);
          char *text = data != NULL ? g_strndup (data, data_length) : NULL;
          ck_assert_pstr_eq (text, c->first_data);
          g_free (text);
        }
      g_ptr_array_unref (events);
      dp_sse_free (sse);
    }
}
END_TEST

typedef struct EventIdCase
{
  const char *event;
  gboolean is_valid;
  guint64 id;
} EventIdCase;

static const EventIdCase event_id_cases[] = {
  { "id: 3\ndata: a\n\n", TRUE, 3 },
  { "id:3\r\ndata:a\r\n\r\n", TRUE, 3 },
  { "data: a\nid: 18446744073709551615\n\n", TRUE, G_MAXUINT64 },
  { "weight-versions: 2\nid: 0\nevent: x\n: y\ndata: {\"A\":1}\n\n", TRUE, 0 },
  { "\nid: 3\ndata: a\n\n", TRUE, 3 },
  { "data: a\n\n", FALSE, 0 },
  { "id: 3\nid: 3\ndata: a\n\n", FALSE, 0 },
  { "id: \n\n", FALSE, 0 },
  { "id:  3\n\n", FALSE, 0 },
  { "id: -3\n\n", FALSE, 0 },
  { "id: 3x\n\n", FALSE, 0 },
  { "id: 18446744073709551616\n\n", FALSE, 0 },
  { "id: 3\ndata\n\n", FALSE, 0 },
  { "id: 3\ndata: a\nX-A: b\n\n", FALSE, 0 },
  { "id: 3\nHTTP/1.1 500 x: y\n\n", FALSE, 0 },
  { "id: 3\n{\"a\":1}\n\n", FALSE, 0 },
  { "\n\n", FALSE, 0 },
};

START_TEST (an_event_has_one_id_and_fields_only)
{
  const EventIdCase *c = &event_id_cases[_i];
  guint64 id = 0;
  gboolean is_valid = dp_sse_read_id (c->event, strlen (c->event), &id);
  ck_assert_msg (is_valid == c->is_valid, "%s", c->event);
  if (is_valid)
    ck_assert_uint_eq (id, c->id);
}
END_TEST

START_TEST (oversized_event_is_rejected)
{
  DpSse *sse = dp_sse_new (KIB);
  char block[KIB / 2];
  memset (block, 'x', sizeof block);
  ck_assert (dp_sse_push (sse, block, sizeof block, collect_event, NULL));
  ck_assert (dp_sse_push (sse, block, sizeof block, collect_event, NULL));
  ck_assert (!dp_sse_push (sse, block, 1, collect_event, NULL));
  dp_sse_free (sse);
}
END_TEST

/* --- client, against a peer that sends raw bytes --- */

typedef struct Response
{
  struct event_base *base;
  int status;
  GString *body;
  gboolean ended;
  DpHttpCallResult result;
  gboolean nothing_sent;
  char attempt[64];
  DpUsec timeout; /* first-byte and idle timeout; 0: 200 ms */
} Response;

static void
on_response_head (gpointer user, DpHttpCall *call, int status)
{
  Response *response = user;
  response->status = status;
  const char *attempt = dp_http_call_header (call, "X-Attempt-Id");
  g_strlcpy (response->attempt, attempt != NULL ? attempt : "", sizeof response->attempt);
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
  event_base_loopbreak (response->base);
}

static const DpHttpCallbacks response_callbacks
  = { on_response_head, on_response_data, on_response_end };

static DpHttpCall *
start_call (Response *response, guint16 port)
{
  DpUsec timeout = response->timeout != 0 ? response->timeout : 200 * DP_USEC_PER_MSEC;
  DpHttpCallOptions options = { .base = response->base,
                                .address = ADDRESS,
                                .port = port,
                                .method = EVHTTP_REQ_POST,
                                .path = "/x",
                                .body = "{}",
                                .body_length = 2,
                                .connect_timeout = 5 * DP_USEC_PER_SEC,
                                .first_byte_timeout = timeout,
                                .idle_timeout = timeout,
                                .response_body_max = 64 * KIB,
                                .callbacks = &response_callbacks,
                                .user = response };
  return dp_http_call_start (&options);
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: a1\r\n\r\n"
#define LENGTH_4 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

typedef struct TruncationCase
{
  const char *name;
  const char *answer;
  gboolean stay_open;
  DpHttpCallResult result;
  const char *body; /* received data; NULL: not checked */
} TruncationCase;

static const TruncationCase truncation_cases[] = {
  { "complete, chunked", CHUNKED "2\r\nab\r\n0\r\n\r\n", FALSE, DP_HTTP_COMPLETE, "ab" },
  { "complete, Content-Length", LENGTH_4 "abcd", FALSE, DP_HTTP_COMPLETE, "abcd" },
  { "complete, connection kept open", LENGTH_4 "abcd", TRUE, DP_HTTP_COMPLETE, "abcd" },
  { "no content", "HTTP/1.1 204 No Content\r\n\r\n", FALSE, DP_HTTP_COMPLETE, "" },
  /* evhttp ends the response there. The client never sends "Expect", and failing is safe. */
  { "unsolicited 100", "HTTP/1.1 100 Continue\r\n\r\n" LENGTH_4 "abcd", FALSE, DP_HTTP_FAILED,
    "" },
  { "empty", "", FALSE, DP_HTTP_FAILED, "" },
  { "truncated status line", "HTTP/1.1 20", FALSE, DP_HTTP_FAILED, "" },
  { "truncated headers", "HTTP/1.1 200 OK\r\nContent-Le", FALSE, DP_HTTP_FAILED, "" },
  { "headers without an empty line", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", FALSE,
    DP_HTTP_FAILED, "" },
  { "truncated chunk size", CHUNKED "2", FALSE, DP_HTTP_FAILED, "" },
  { "truncated chunk data", CHUNKED "2\r\na", FALSE, DP_HTTP_FAILED, "" },
  { "chunk without CR LF", CHUNKED "2\r\nab", FALSE, DP_HTTP_FAILED, "ab" },
  { "no final chunk", CHUNKED "2\r\nab\r\n", FALSE, DP_HTTP_FAILED, "ab" },
  { "truncated final chunk", CHUNKED "2\r\nab\r\n0", FALSE, DP_HTTP_FAILED, "ab" },
  { "final chunk without an empty line", CHUNKED "2\r\nab\r\n0\r\n", FALSE, DP_HTTP_FAILED,
    "ab" },
  { "body missing", LENGTH_4, FALSE, DP_HTTP_FAILED, "" },
  { "body one byte short", LENGTH_4 "abc", FALSE, DP_HTTP_FAILED, NULL },
  { "close-delimited", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd", FALSE,
    DP_HTTP_CLOSE_DELIMITED, "abcd" },
  { "close-delimited, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nabcd", FALSE, DP_HTTP_CLOSE_DELIMITED,
    "abcd" },
  { "not HTTP", "hello\r\n\r\n", FALSE, DP_HTTP_FAILED, "" },
  { "bad chunk size", CHUNKED "zz\r\nab\r\n", FALSE, DP_HTTP_FAILED, "" },
  { "bad Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd", FALSE,
    DP_HTTP_FAILED, NULL },
  { "chunk size over the limit", CHUNKED "fffffff\r\nab", FALSE, DP_HTTP_FAILED, "" },
  { "Content-Length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nab",
    FALSE, DP_HTTP_FAILED, NULL },
  { "timeout before the head", "", TRUE, DP_HTTP_TIMED_OUT, "" },
  { "timeout before the body", CHUNKED, TRUE, DP_HTTP_TIMED_OUT, "" },
  { "timeout within the body", CHUNKED "2\r\nab\r\n", TRUE, DP_HTTP_TIMED_OUT, "ab" },
};

START_TEST (truncated_responses_are_detected)
{
  const TruncationCase *c = &truncation_cases[_i];
  struct event_base *base = event_base_new ();
  RawPeer peer
    = { .answer = c->answer, .answer_length = strlen (c->answer), .stay_open = c->stay_open };
  raw_peer_start (&peer, base, ADDRESS);
  Response response = { .base = base, .body = g_string_new (NULL) };
  start_call (&response, peer.port);
  ck_assert (!response.ended);
  run_loop (base);
  ck_assert_msg (response.ended && response.result == c->result, "%s: result %d", c->name,
                 response.result);
  ck_assert_msg (!response.nothing_sent, "%s", c->name);
  if (c->body != NULL)
    ck_assert_str_eq (response.body->str, c->body);
  run_pending_events (base);
  evconnlistener_free (peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

/* --- endless responses --- */

typedef struct EndlessCase
{
  const char *name;
  const char *answer; /* followed by `repeat` until the client closes the connection */
  const char *repeat;
  DpHttpCallResult result;
} EndlessCase;

#define EVENT_STREAM CHUNKED "6\r\ndata: \r\n"

static const EndlessCase endless_cases[] = {
  { "no line end", "", "nonsense ", DP_HTTP_FAILED },
  { "lines that are not HTTP", "", "nonsense\r\n", DP_HTTP_FAILED },
  { "status line", "HTTP/1.1 200 ", "OK ", DP_HTTP_FAILED },
  { "header value", "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa", DP_HTTP_FAILED },
  { "headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", DP_HTTP_FAILED },
  { "folded header", "HTTP/1.1 200 OK\r\nX-A: b\r\n", " b\r\n", DP_HTTP_FAILED },
  { "100 responses", "", "HTTP/1.1 100 Continue\r\n\r\n", DP_HTTP_FAILED },
  { "103 responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", DP_HTTP_FAILED },
  { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh", DP_HTTP_FAILED },
  { "body longer than its length", LENGTH_4, "abcd", DP_HTTP_COMPLETE },
  { "huge Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "abcd",
    DP_HTTP_FAILED },
  { "chunks", CHUNKED, "8\r\nabcdefgh\r\n", DP_HTTP_FAILED },
  { "chunk size", CHUNKED, "0", DP_HTTP_FAILED },
  { "chunk extension", CHUNKED "4;", "a=b;", DP_HTTP_FAILED },
  { "chunk data", CHUNKED "ffffff\r\n", "abcdefgh", DP_HTTP_FAILED },
  { "trailers", CHUNKED "0\r\n", "X-A: b\r\n", DP_HTTP_FAILED },
  { "bytes after the response", CHUNKED "0\r\n\r\n", "abcdefgh", DP_HTTP_COMPLETE },
  { "responses after the response", LENGTH_4 "abcd", LENGTH_4 "abcd", DP_HTTP_COMPLETE },
  { "event of a stream", EVENT_STREAM, "8\r\nabcdefgh\r\n", DP_HTTP_FAILED },
};

/* AddressSanitizer delays the reuse of freed memory, which would count as resident. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1:thread_local_quarantine_size_kb=64";
}

/* Resident memory of this process. */
static gsize
resident_bytes (void)
{
  char *text = NULL;
  ck_assert (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL));
  char *end;
  g_ascii_strtoull (text, &end, 10);
  gsize pages = g_ascii_strtoull (end, NULL, 10);
  g_free (text);
  return pages * (gsize)sysconf (_SC_PAGESIZE);
}

/* A quarter of the memory of the smallest VM. This test limits bodies to 64 KiB and heads to
 * 16 KiB; the rest allows for AddressSanitizer. */
#define ENDLESS_GROWTH_MAX ((gsize)24 * 1024 * KIB)

START_TEST (endless_responses_are_aborted)
{
  const EndlessCase *c = &endless_cases[_i];
  struct event_base *base = event_base_new ();
  RawPeer peer = { .answer = c->answer[0] != '\0' ? c->answer : c->repeat,
                   .answer_length = strlen (c->answer[0] != '\0' ? c->answer : c->repeat),
                   .repeat = c->repeat };
  raw_peer_start (&peer, base, ADDRESS);
  Response response
    = { .base = base, .body = g_string_new (NULL), .timeout = 60 * DP_USEC_PER_SEC };
  gsize before = resident_bytes ();
  start_call (&response, peer.port);
  run_loop (base);
  ck_assert_msg (response.ended && response.result == c->result, "%s: result %d", c->name,
                 response.result);
  ck_assert_msg (response.body->len <= (gsize)64 * KIB, "%s: received %zu bytes", c->name,
                 response.body->len);
  run_pending_events (base);
  gsize after = resident_bytes ();
  ck_assert_msg (after < before + ENDLESS_GROWTH_MAX, "%s: memory grew by %zu KiB", c->name,
                 (after - before) / KIB);
  evconnlistener_free (peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

START_TEST (headers_of_an_interim_response_are_not_the_final_ones)
{
  const char *answer = "HTTP/1.1 100 Continue\r\nX-Attempt-Id: interim\r\n\r\n"
                       "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  struct event_base *base = event_base_new ();
  RawPeer peer = { .answer = answer, .answer_length = strlen (answer), .stay_open = TRUE };
  raw_peer_start (&peer, base, ADDRESS);
  Response response = { .base = base, .body = g_string_new (NULL) };
  start_call (&response, peer.port);
  run_loop (base);
  ck_assert (response.ended);
  ck_assert_int_eq (response.status, 503);
  ck_assert_str_eq (response.attempt, "");
  run_pending_events (base);
  evconnlistener_free (peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

START_TEST (response_headers_are_available)
{
  struct event_base *base = event_base_new ();
  RawPeer peer
    = { .answer = CHUNKED "0\r\n\r\n", .answer_length = strlen (CHUNKED "0\r\n\r\n") };
  raw_peer_start (&peer, base, ADDRESS);
  Response response = { .base = base, .body = g_string_new (NULL) };
  start_call (&response, peer.port);
  run_loop (base);
  ck_assert_int_eq (response.status, 200);
  ck_assert_str_eq (response.attempt, "a1");
  run_pending_events (base);
  evconnlistener_free (peer.listener);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

START_TEST (refused_connection_reports_nothing_sent)
{
  struct event_base *base = event_base_new ();
  RawPeer peer = { .answer = "" };
  raw_peer_start (&peer, base, ADDRESS);
  evconnlistener_free (peer.listener);
  Response response = { .base = base, .body = g_string_new (NULL) };
  start_call (&response, peer.port);
  ck_assert (!response.ended);
  run_loop (base);
  ck_assert_int_eq (response.result, DP_HTTP_CONNECT_FAILED);
  ck_assert (response.nothing_sent);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

START_TEST (invalid_address_fails_to_connect)
{
  struct event_base *base = event_base_new ();
  Response response = { .base = base, .body = g_string_new (NULL) };
  DpHttpCallOptions options = { .base = base,
                                .address = "no.such.invalid.",
                                .port = 1,
                                .method = EVHTTP_REQ_GET,
                                .path = "/",
                                .callbacks = &response_callbacks,
                                .user = &response };
  dp_http_call_start (&options);
  ck_assert (!response.ended);
  run_loop (base);
  ck_assert_int_eq (response.result, DP_HTTP_CONNECT_FAILED);
  ck_assert (response.nothing_sent);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

/* The connect timeout and the established connection become ready in the same loop iteration.
 * Whichever is handled first, `nothing_sent` must match what the peer received. */
START_TEST (nothing_sent_is_false_for_a_sent_request)
{
  struct event_base *base = event_base_new ();
  RawPeer peer = { .answer = LENGTH_4 "abcd", .answer_length = strlen (LENGTH_4 "abcd") };
  raw_peer_start (&peer, base, ADDRESS);
  Response response = { .base = base, .body = g_string_new (NULL) };
  DpHttpCallOptions options = { .base = base,
                                .address = ADDRESS,
                                .port = peer.port,
                                .method = EVHTTP_REQ_GET,
                                .path = "/",
                                .connect_timeout = 1,
                                .callbacks = &response_callbacks,
                                .user = &response };
  dp_http_call_start (&options);
  DpUsec start = g_get_monotonic_time ();
  while (g_get_monotonic_time () < start + 2 * DP_USEC_PER_MSEC)
    ; /* until both are ready */
  run_loop (base);
  run_pending_events (base);
  ck_assert (response.ended);
  ck_assert_msg (!response.nothing_sent || peer.requests == 0, "result %d", response.result);
  evconnlistener_free (peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

static void
stop_loop (evutil_socket_t fd, short what, void *user)
{
  event_base_loopbreak (user);
}

START_TEST (cancelled_call_runs_no_callbacks)
{
  struct event_base *base = event_base_new ();
  RawPeer peer = { .answer = LENGTH_4 "abcd", .answer_length = strlen (LENGTH_4 "abcd") };
  raw_peer_start (&peer, base, ADDRESS);
  Response response = { .base = base, .body = g_string_new (NULL) };
  dp_http_call_cancel (start_call (&response, peer.port));
  const struct timeval delay = { .tv_usec = 50000 };
  event_base_once (base, -1, EV_TIMEOUT, stop_loop, base, &delay);
  run_loop (base);
  ck_assert (!response.ended);
  ck_assert_int_eq (response.status, 0);
  evconnlistener_free (peer.listener);
  run_pending_events (base);
  event_base_free (base);
  g_string_free (response.body, TRUE);
}
END_TEST

/* --- server, with a raw caller --- */

static guint16 server_port; /* of the current fixture */

typedef struct Caller
{
  struct event_base *base;
  struct bufferevent *bev;
  GString *received;
  gboolean closed;
  gboolean failed; /* by an error, such as a reset */
} Caller;

typedef struct Fixture
{
  struct event_base *base;
  DpCounters *counters;
  DpHttpServer *server;
  DpHttpExchange *exchange; /* the latest one, while it is open */
  guint requests;
  guint closed_count;
  char *target;
  char *body;
} Fixture;

static void
on_caller_closed (gpointer user)
{
  Fixture *fixture = user;
  fixture->closed_count++;
  fixture->exchange = NULL;
  event_base_loopbreak (fixture->base);
}

static void
on_exchange (gpointer user, DpHttpExchange *exchange)
{
  Fixture *fixture = user;
  fixture->exchange = exchange;
  fixture->requests++;
  g_free (fixture->target);
  fixture->target = g_strdup (dp_http_exchange_target (exchange));
  gsize length;
  const char *body = dp_http_exchange_body (exchange, &length);
  g_free (fixture->body);
  fixture->body = g_strndup (body, length);
  dp_http_exchange_set_close_callback (exchange, on_caller_closed, fixture, NULL);
  event_base_loopbreak (fixture->base);
}

static Fixture *
make_fixture_with (DpUsec request_timeout)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  fixture->base = event_base_new ();
  fixture->counters = dp_counters_new ();
  server_port = find_free_port (ADDRESS);
  DpHttpServerOptions options = { .base = fixture->base,
                                  .address = ADDRESS,
                                  .port = server_port,
                                  .name = "callers",
                                  .head_max = 16 * KIB,
                                  .body_max = 4 * KIB,
                                  .read_timeout = 200 * DP_USEC_PER_MSEC,
                                  .write_timeout = 10 * DP_USEC_PER_SEC,
                                  .write_buffer_max = 64 * KIB,
                                  .exchanges_max = 2,
                                  .connections_max = 4,
                                  .request_timeout = request_timeout,
                                  .counters = fixture->counters,
                                  .handler = on_exchange,
                                  .user = fixture };
  fixture->server = dp_http_server_new (&options);
  ck_assert_ptr_nonnull (fixture->server);
  return fixture;
}

static void
free_fixture (Fixture *fixture)
{
  run_pending_events (fixture->base);
  dp_http_server_free (fixture->server);
  dp_counters_unref (fixture->counters);
  event_base_free (fixture->base);
  g_free (fixture->target);
  g_free (fixture->body);
  g_free (fixture);
}

static Fixture *
make_fixture (void)
{
  return make_fixture_with (600 * DP_USEC_PER_MSEC);
}

static void
on_caller_read (struct bufferevent *bev, void *user)
{
  Caller *caller = user;
  char bytes[4096];
  gsize length;
  while ((length = bufferevent_read (bev, bytes, sizeof bytes)) > 0)
    g_string_append_len (caller->received, bytes, (gssize)length);
}

static void
on_caller_event (struct bufferevent *bev, short what, void *user)
{
  Caller *caller = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  caller->closed = TRUE;
  caller->failed = (what & BEV_EVENT_ERROR) != 0;
  event_base_loopbreak (caller->base);
}

static Caller *
make_caller (struct event_base *base, const char *text)
{
  Caller *caller = g_new0 (Caller, 1);
  caller->base = base;
  caller->received = g_string_new (NULL);
  caller->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_caller_read, NULL, on_caller_event, caller);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (server_port) };
  ck_assert_int_eq (inet_pton (AF_INET, ADDRESS, &address.sin_addr), 1);
  bufferevent_socket_connect (caller->bev, (struct sockaddr *)&address, sizeof address);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  bufferevent_write (caller->bev, text, strlen (text));
  return caller;
}

static void
free_caller (Caller *caller)
{
  bufferevent_free (caller->bev);
  g_string_free (caller->received, TRUE);
  g_free (caller);
}

#define GET_CLOSE "GET /one HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
#define GET_KEEP_ALIVE "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
#define GET_WITH_KEY "GET /kept HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n\r\n"

START_TEST (finished_stream_has_final_chunk)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_CLOSE);
  run_loop (fixture->base);
  ck_assert_str_eq (fixture->target, "/one");
  dp_http_exchange_start (fixture->exchange, 200);
  dp_http_exchange_write (fixture->exchange, "ab", 2);
  dp_http_exchange_finish (fixture->exchange);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert (g_str_has_suffix (caller->received->str, "2\r\nab\r\n0\r\n\r\n"));
  ck_assert_uint_eq (dp_http_server_open_exchanges (fixture->server), 0);
  ck_assert_uint_eq (fixture->closed_count, 0);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* 0: aborted before any output was sent; 1: aborted after partial output */
START_TEST (aborted_stream_has_no_final_chunk)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  dp_http_exchange_start (fixture->exchange, 200);
  dp_http_exchange_write (fixture->exchange, "ab", 2);
  if (_i == 1)
    run_pending_events (fixture->base);
  dp_http_exchange_abort (fixture->exchange);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert_ptr_null (strstr (caller->received->str, "0\r\n\r\n"));
  ck_assert_uint_eq (dp_http_server_open_exchanges (fixture->server), 0);
  ck_assert_uint_eq (fixture->closed_count, 0);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* 0: before the response is started; 1: during the response */
START_TEST (caller_disconnect_is_detected)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  if (_i == 1)
    {
      dp_http_exchange_start (fixture->exchange, 200);
      dp_http_exchange_write (fixture->exchange, "ab", 2);
      run_pending_events (fixture->base);
    }
  free_caller (caller);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->closed_count, 1);
  ck_assert_uint_eq (dp_http_server_open_exchanges (fixture->server), 0);
  free_fixture (fixture);
}
END_TEST

START_TEST (response_may_take_longer_than_read_timeout)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_CLOSE);
  run_loop (fixture->base);
  const struct timeval delay = { .tv_usec = 500000 };
  event_base_once (fixture->base, -1, EV_TIMEOUT, stop_loop, fixture->base, &delay);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->closed_count, 0);
  ck_assert (!caller->closed);
  dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
  run_loop (fixture->base);
  ck_assert (g_str_has_suffix (caller->received->str, "ok"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (pipelined_requests_are_handled_in_order)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE GET_CLOSE);
  run_loop (fixture->base);
  run_pending_events (fixture->base);
  ck_assert_uint_eq (fixture->requests, 1);
  dp_http_exchange_reply (fixture->exchange, 200, "first", 5);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->requests, 2);
  dp_http_exchange_reply (fixture->exchange, 200, "second", 6);
  run_loop (fixture->base);
  ck_assert_ptr_nonnull (strstr (caller->received->str, "first"));
  ck_assert (g_str_has_suffix (caller->received->str, "second"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (head_response_has_no_body)
{
  Fixture *fixture = make_fixture ();
  Caller *caller
    = make_caller (fixture->base, "HEAD /one HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  run_loop (fixture->base);
  dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert (g_str_has_suffix (caller->received->str, "\r\n\r\n"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (caller_that_does_not_read_is_disconnected)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  bufferevent_disable (caller->bev, EV_READ);
  dp_http_exchange_start (fixture->exchange, 200);
  char block[16 * KIB];
  memset (block, 'x', sizeof block);
  for (int i = 0; i < 2000 && fixture->exchange != NULL; i++)
    {
      dp_http_exchange_write (fixture->exchange, block, sizeof block);
      event_base_loop (fixture->base, EVLOOP_NONBLOCK);
    }
  ck_assert_uint_eq (fixture->closed_count, 1);
  ck_assert_uint_eq (dp_counters_get (fixture->counters, "dogwoodplank_http_callers_slow_total",
                                      "listener", "callers"),
                     1);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (disconnected_stream_has_no_final_chunk)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  dp_http_exchange_start (fixture->exchange, 200);
  char *block = g_malloc0 (128 * KIB);
  dp_http_exchange_write (fixture->exchange, block, 128 * KIB);
  dp_http_exchange_write (fixture->exchange, "lost", 4);
  dp_http_exchange_finish (fixture->exchange);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert (!g_str_has_suffix (caller->received->str, "0\r\n\r\n"));
  ck_assert_uint_eq (fixture->closed_count, 0);
  g_free (block);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* --- invalid requests --- */

typedef struct InvalidRequestCase
{
  const char *name;
  const char *text;
  gsize padding;      /* bytes appended */
  const char *status; /* NULL: closed without a response */
} InvalidRequestCase;

static const InvalidRequestCase invalid_request_cases[] = {
  { "not HTTP", "hello\r\n\r\n", 0, " 400 " },
  { "unknown method", "BREW / HTTP/1.1\r\n\r\n", 0, " 501 " },
  { "truncated request line", "GET /on", 0, NULL },
  { "truncated headers", "GET / HTTP/1.1\r\nHost: x\r\n", 0, NULL },
  { "truncated body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", 0, NULL },
  { "no data", "", 0, NULL },
  { "endless header", "GET / HTTP/1.1\r\nX: ", 20 * KIB, " 400 " },
  { "body too large",
    "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5120\r\n\r\n", 5 * KIB,
    " 413 " },
  { "body much too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", 0,
    " 413 " },
  { "bad Content-Length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", 0,
    " 400 " },
};

START_TEST (invalid_request_is_rejected_or_closes_connection)
{
  const InvalidRequestCase *c = &invalid_request_cases[_i];
  Fixture *fixture = make_fixture ();
  GString *text = g_string_new (c->text);
  for (gsize i = 0; i < c->padding; i++)
    g_string_append_c (text, 'x');
  Caller *caller = make_caller (fixture->base, text->str);
  run_loop (fixture->base);
  ck_assert_msg (caller->closed, "%s", c->name);
  ck_assert_uint_eq (fixture->requests, 0);
  char *line = g_strndup (caller->received->str, strcspn (caller->received->str, "\r"));
  if (c->status == NULL)
    ck_assert_msg (line[0] == '\0', "%s: %s", c->name, line);
  else
    ck_assert_msg (strstr (line, c->status) != NULL, "%s: %s", c->name, line);
  g_free (line);
  g_string_free (text, TRUE);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

#define FAR_TOO_LARGE (4096 * KIB)

static const InvalidRequestCase long_request_cases[] = {
  { "body too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4194304\r\n\r\n",
    FAR_TOO_LARGE, " 413 " },
  { "body too large, in a chunk",
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n", FAR_TOO_LARGE,
    " 413 " },
  { "endless header", "GET / HTTP/1.1\r\nX: ", FAR_TOO_LARGE, " 400 " },
  { "more than one request", GET_CLOSE, FAR_TOO_LARGE, " 200 " },
};

START_TEST (response_reaches_a_caller_that_is_still_sending)
{
  const InvalidRequestCase *c = &long_request_cases[_i];
  Fixture *fixture = make_fixture ();
  GString *text = g_string_new (c->text);
  for (gsize i = 0; i < c->padding; i++)
    g_string_append_c (text, 'x');
  Caller *caller = make_caller (fixture->base, text->str);
  run_loop (fixture->base);
  if (fixture->exchange != NULL)
    {
      dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
      run_loop (fixture->base);
    }
  ck_assert (caller->closed);
  ck_assert_msg (!caller->failed, "%s: reset after %s", c->name, caller->received->str);
  char *line = g_strndup (caller->received->str, strcspn (caller->received->str, "\r"));
  ck_assert_msg (strstr (line, c->status) != NULL, "%s: %s", c->name, line);
  g_free (line);
  g_string_free (text, TRUE);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (exchanges_over_limit_are_rejected)
{
  Fixture *fixture = make_fixture ();
  Caller *first = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  Caller *second = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  Caller *third = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->requests, 2);
  ck_assert (third->closed);
  ck_assert_ptr_nonnull (strstr (third->received->str, " 503 "));
  ck_assert_ptr_nonnull (strstr (third->received->str, "Retry-After: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (third->received->str, "\"outcome\":\"not_run\""));
  /* An earlier request with the same key may have run. */
  Caller *keyed = make_caller (fixture->base, GET_WITH_KEY);
  run_loop (fixture->base);
  ck_assert_ptr_nonnull (strstr (keyed->received->str, " 503 "));
  ck_assert_ptr_nonnull (strstr (keyed->received->str, "\"outcome\":\"unknown\""));
  free_caller (keyed);
  free_caller (first);
  free_caller (second);
  free_caller (third);
  free_fixture (fixture);
}
END_TEST

START_TEST (connections_over_limit_wait_for_free_slot)
{
  Fixture *fixture = make_fixture ();
  Caller *sending[3];
  for (guint i = 0; i < G_N_ELEMENTS (sending); i++)
    sending[i] = make_caller (fixture->base, "GET /part");
  Caller *fourth = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->requests, 1);
  ck_assert (!dp_http_server_has_room (fixture->server));
  Caller *fifth = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_pending_events (fixture->base);
  ck_assert_uint_eq (fixture->requests, 1);
  /* The read timeout closes the connections with incomplete requests, which frees slots. */
  while (fixture->requests == 1)
    run_loop (fixture->base);
  ck_assert (sending[0]->closed);
  ck_assert (!fourth->closed);
  for (guint i = 0; i < G_N_ELEMENTS (sending); i++)
    free_caller (sending[i]);
  free_caller (fourth);
  free_caller (fifth);
  free_fixture (fixture);
}
END_TEST

/* Guards against idle connections that keep new ones out while the VM says that it is ready. */
START_TEST (idle_connections_make_room_for_new_ones)
{
  Fixture *fixture = make_fixture_with (TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC);
  const DpHttpServerLimits limits = { .idle_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC };
  dp_http_server_set_limits (fixture->server, &limits);
  Caller *busy = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  ck_assert_uint_eq (fixture->requests, 1);
  Caller *idle[3];
  for (guint i = 0; i < G_N_ELEMENTS (idle); i++)
    {
      idle[i] = make_caller (fixture->base, "");
      run_pending_events (fixture->base);
    }
  ck_assert (!dp_http_server_has_room (fixture->server));
  Caller *new = make_caller (fixture->base, GET_KEEP_ALIVE);
  while (fixture->requests == 1)
    run_loop (fixture->base);
  ck_assert (idle[0]->closed && !idle[1]->closed && !idle[2]->closed);
  ck_assert (!busy->closed && !new->closed);
  for (guint i = 0; i < G_N_ELEMENTS (idle); i++)
    free_caller (idle[i]);
  free_caller (busy);
  free_caller (new);
  free_fixture (fixture);
}
END_TEST

static void
send_one_byte (evutil_socket_t fd, short what, void *user)
{
  Caller *caller = user;
  bufferevent_write (caller->bev, "x", 1);
}

START_TEST (slowly_sent_request_times_out)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, "GET /");
  struct event *timer = event_new (fixture->base, -1, EV_PERSIST, send_one_byte, caller);
  const struct timeval interval = { .tv_usec = 50000 }; /* shorter than the read timeout */
  event_add (timer, &interval);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert_uint_eq (fixture->requests, 0);
  event_free (timer);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

typedef struct HeadLimitCase
{
  const char *name;
  const char *text; /* followed by single bytes */
  gboolean is_answered;
} HeadLimitCase;

static const HeadLimitCase head_limit_cases[] = {
  { "slow head", "GET /", FALSE },
  { "slow body",
    "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 50\r\n\r\n", TRUE },
};

/* The bound of a whole request, 10 s, is far above the time that the test takes. */
START_TEST (head_limit_bounds_the_head_only)
{
  const HeadLimitCase *c = &head_limit_cases[_i];
  Fixture *fixture = make_fixture_with (10 * DP_USEC_PER_SEC);
  const DpHttpServerLimits limits = { .head_timeout = 100 * DP_USEC_PER_MSEC };
  dp_http_server_set_limits (fixture->server, &limits);
  gint64 start = g_get_monotonic_time ();
  Caller *caller = make_caller (fixture->base, c->text);
  struct event *timer = event_new (fixture->base, -1, EV_PERSIST, send_one_byte, caller);
  const struct timeval interval = { .tv_usec = 50000 }; /* shorter than the read timeout */
  event_add (timer, &interval);
  run_loop (fixture->base);
  ck_assert_msg ((fixture->exchange != NULL) == c->is_answered, "%s", c->name);
  ck_assert_msg (caller->closed != c->is_answered, "%s", c->name);
  ck_assert_int_lt (g_get_monotonic_time () - start, 8 * DP_USEC_PER_SEC);
  event_free (timer);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (stopping_server_finishes_open_requests)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  dp_http_server_stop_accepting (fixture->server);
  Caller *rejected = make_caller (fixture->base, GET_KEEP_ALIVE);
  run_loop (fixture->base);
  ck_assert (rejected->closed);
  ck_assert_uint_eq (fixture->requests, 1);
  dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert (g_str_has_suffix (caller->received->str, "ok"));
  free_caller (caller);
  free_caller (rejected);
  free_fixture (fixture);
}
END_TEST

/* The response head is sent before the stop, so it can't contain "Connection: close". 0: the
 * server closes connections after responses; 1: it also stops accepting. */
START_TEST (stream_started_before_stop_closes_connection)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE GET_KEEP_ALIVE);
  run_loop (fixture->base);
  dp_http_exchange_start (fixture->exchange, 200);
  dp_http_exchange_write (fixture->exchange, "ab", 2);
  run_pending_events (fixture->base);
  dp_http_server_close_after_responses (fixture->server);
  if (_i == 1)
    dp_http_server_stop_accepting (fixture->server);
  dp_http_server_close_idle (fixture->server);
  dp_http_exchange_finish (fixture->exchange);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  ck_assert_uint_eq (fixture->requests, 1);
  ck_assert (g_str_has_suffix (caller->received->str, "2\r\nab\r\n0\r\n\r\n"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* --- requests that arrive while the server closes their connection --- */

#define POST_HEAD "POST /two HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
#define POST_BODY "body"
/* Longer than the interval of the server's check for idle connections. */
#define SWEEP_MSEC 1300

typedef enum CloseCause
{
  CLOSE_STOP,
  CLOSE_SHORTER_LIMIT,
} CloseCause;

typedef struct CrossingCase
{
  const char *name;
  CloseCause cause;
  const char *read_before; /* by the server, before it closes idle connections */
  const char *unread;      /* sent, but not read by the server at that moment */
  const char *sent_after;
} CrossingCase;

static const CrossingCase crossing_cases[] = {
  { "whole request, stop", CLOSE_STOP, "", GET_KEEP_ALIVE, "" },
  { "whole request, shorter idle limit", CLOSE_SHORTER_LIMIT, "", GET_KEEP_ALIVE, "" },
  { "rest of the body, stop", CLOSE_STOP, POST_HEAD, POST_BODY, "" },
  { "part of the head, stop", CLOSE_STOP, "", "GET /one HT", "TP/1.1\r\nHost: x\r\n\r\n" },
  { "body still to come, stop", CLOSE_STOP, POST_HEAD, "bo", "dy" },
};

typedef struct Crossing
{
  const Fixture *fixture;
  const CrossingCase *row;
  Caller *caller;
} Crossing;

static void
send_now (const Caller *caller, const char *text)
{
  gsize length = strlen (text);
  ck_assert_int_eq (send (bufferevent_getfd (caller->bev), text, length, MSG_NOSIGNAL), length);
}

/* Runs in the loop iteration in which idle connections are closed, before that. */
static void
on_crossing (evutil_socket_t fd, short what, void *user)
{
  const Crossing *crossing = user;
  if (crossing->row->unread[0] != '\0')
    send_now (crossing->caller, crossing->row->unread);
  if (crossing->row->cause == CLOSE_STOP)
    dp_http_server_close_idle (crossing->fixture->server);
}

/* Handles no event of `base` meanwhile. */
static void
wait_outside_loop (long milliseconds)
{
  struct event_base *base = event_base_new ();
  const struct timeval interval
    = { .tv_sec = milliseconds / 1000, .tv_usec = (milliseconds % 1000) * 1000 };
  event_base_once (base, -1, EV_TIMEOUT, stop_loop, base, &interval);
  event_base_dispatch (base);
  event_base_free (base);
}

static void
answer_next_request (Fixture *fixture)
{
  run_loop (fixture->base);
  ck_assert_ptr_nonnull (fixture->exchange);
  dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
  fixture->exchange = NULL;
  run_pending_events (fixture->base);
}

START_TEST (interim_response_is_followed_by_the_body)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, "POST / HTTP/1.1\r\nHost: x\r\n"
                                               "Expect: 100-continue\r\n"
                                               "Content-Length: 4\r\n\r\n");
  while (strstr (caller->received->str, " 100 ") == NULL)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  send_now (caller, "bo");
  run_pending_events (fixture->base);
  send_now (caller, "dy");
  answer_next_request (fixture);
  ck_assert_str_eq (fixture->body, "body");
  ck_assert (g_str_has_suffix (caller->received->str, "ok"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (request_that_crosses_a_close_is_answered)
{
  const CrossingCase *row = &crossing_cases[_i];
  Fixture *fixture = make_fixture ();
  DpHttpServerLimits limits = { .idle_timeout = 20 * DP_USEC_PER_SEC };
  dp_http_server_set_limits (fixture->server, &limits);
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  answer_next_request (fixture);
  g_string_set_size (caller->received, 0);
  if (row->read_before[0] != '\0')
    send_now (caller, row->read_before);
  run_pending_events (fixture->base);
  if (row->cause == CLOSE_SHORTER_LIMIT)
    {
      limits.idle_timeout = 100 * DP_USEC_PER_MSEC;
      dp_http_server_set_limits (fixture->server, &limits);
      wait_outside_loop (SWEEP_MSEC);
    }
  Crossing crossing = { .fixture = fixture, .row = row, .caller = caller };
  struct event *event = event_new (fixture->base, -1, 0, on_crossing, &crossing);
  event_active (event, EV_TIMEOUT, 0);
  event_base_loop (fixture->base, EVLOOP_ONCE);
  if (row->sent_after[0] != '\0')
    send_now (caller, row->sent_after);
  if (fixture->exchange == NULL && !caller->closed)
    run_loop (fixture->base);
  ck_assert_msg (fixture->exchange != NULL, "%s: not read", row->name);
  dp_http_exchange_reply (fixture->exchange, 200, "ok", 2);
  run_pending_events (fixture->base);
  ck_assert_msg (g_str_has_suffix (caller->received->str, "ok"),
                 "%s: read, but answered \"%s\"", row->name, caller->received->str);
  event_free (event);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* Callers go on using a connection for most of the idle time that they know. */
START_TEST (idle_connection_keeps_its_limit_when_a_shorter_one_is_set)
{
  Fixture *fixture = make_fixture ();
  DpHttpServerLimits limits = { .idle_timeout = 20 * DP_USEC_PER_SEC };
  dp_http_server_set_limits (fixture->server, &limits);
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  answer_next_request (fixture);
  limits.idle_timeout = 100 * DP_USEC_PER_MSEC;
  dp_http_server_set_limits (fixture->server, &limits);
  const struct timeval interval = { .tv_sec = SWEEP_MSEC / 1000 + 1 };
  event_base_once (fixture->base, -1, EV_TIMEOUT, stop_loop, fixture->base, &interval);
  run_loop (fixture->base);
  ck_assert (!caller->closed);
  /* The shorter limit holds from the next response on. */
  send_now (caller, GET_KEEP_ALIVE);
  answer_next_request (fixture);
  run_loop (fixture->base);
  ck_assert (caller->closed);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (idle_connection_gets_a_longer_limit)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  answer_next_request (fixture);
  const DpHttpServerLimits limits = { .idle_timeout = 20 * DP_USEC_PER_SEC };
  dp_http_server_set_limits (fixture->server, &limits);
  const struct timeval interval = { .tv_sec = SWEEP_MSEC / 1000 + 1 };
  event_base_once (fixture->base, -1, EV_TIMEOUT, stop_loop, fixture->base, &interval);
  run_loop (fixture->base);
  ck_assert (!caller->closed);
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

START_TEST (idle_limit_does_not_bound_a_request)
{
  Fixture *fixture = make_fixture ();
  const DpHttpServerLimits limits = { .idle_timeout = 20 * DP_USEC_PER_MSEC };
  dp_http_server_set_limits (fixture->server, &limits);
  Caller *caller = make_caller (fixture->base, POST_HEAD);
  const struct timeval interval = { .tv_usec = 100000 }; /* shorter than the read timeout */
  event_base_once (fixture->base, -1, EV_TIMEOUT, stop_loop, fixture->base, &interval);
  run_loop (fixture->base);
  ck_assert (!caller->closed);
  send_now (caller, POST_BODY);
  answer_next_request (fixture);
  ck_assert (g_str_has_suffix (caller->received->str, "ok"));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

/* Connects from the given port. Returns the socket. */
static int
connect_from (guint16 port)
{
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct sockaddr_in remote = { .sin_family = AF_INET, .sin_port = htons (server_port) };
  ck_assert_int_eq (inet_pton (AF_INET, ADDRESS, &local.sin_addr), 1);
  remote.sin_addr = local.sin_addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&local, sizeof local), 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&remote, sizeof remote), 0);
  return fd;
}

#define RECONNECTS 8

/* The server gives all these connections the same descriptor. */
START_TEST (connections_from_the_same_port_are_told_apart)
{
  Fixture *fixture = make_fixture ();
  guint16 port = find_free_port (ADDRESS);
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  int fd = connect_from (port);
  for (guint i = 0; i < RECONNECTS; i++)
    {
      run_pending_events (fixture->base);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
      run_pending_events (fixture->base);
      fd = connect_from (port);
    }
  run_pending_events (fixture->base);
  dp_http_server_close_idle (fixture->server);
  run_pending_events (fixture->base);
  char byte;
  ck_assert_int_eq (recv (fd, &byte, 1, MSG_DONTWAIT), 0);
  ck_assert_uint_eq (dp_counters_get (fixture->counters, "dogwoodplank_http_stop_closed_total",
                                      "listener", "callers"),
                     1);
  close (fd);
  free_fixture (fixture);
}
END_TEST

START_TEST (idle_server_has_no_request_on_the_way)
{
  Fixture *fixture = make_fixture ();
  Caller *caller = make_caller (fixture->base, GET_KEEP_ALIVE);
  answer_next_request (fixture);
  ck_assert (dp_http_server_is_idle (fixture->server));
  send_now (caller, GET_KEEP_ALIVE);
  dp_http_server_stop_accepting (fixture->server);
  dp_http_server_close_idle (fixture->server);
  ck_assert (!dp_http_server_is_idle (fixture->server));
  answer_next_request (fixture);
  ck_assert (dp_http_server_is_idle (fixture->server));
  free_caller (caller);
  free_fixture (fixture);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("net_http");
  TCase *tcase = tcase_create ("http");
  tcase_add_loop_test (tcase, events_do_not_depend_on_read_boundaries, 0,
                       G_N_ELEMENTS (sse_cases));
  tcase_add_loop_test (tcase, an_event_has_one_id_and_fields_only, 0,
                       G_N_ELEMENTS (event_id_cases));
  tcase_add_test (tcase, oversized_event_is_rejected);
  tcase_add_loop_test (tcase, truncated_responses_are_detected, 0,
                       G_N_ELEMENTS (truncation_cases));
  tcase_add_loop_test (tcase, endless_responses_are_aborted, 0, G_N_ELEMENTS (endless_cases));
  tcase_add_test (tcase, headers_of_an_interim_response_are_not_the_final_ones);
  tcase_add_test (tcase, response_headers_are_available);
  tcase_add_test (tcase, refused_connection_reports_nothing_sent);
  tcase_add_test (tcase, invalid_address_fails_to_connect);
  tcase_add_test (tcase, nothing_sent_is_false_for_a_sent_request);
  tcase_add_test (tcase, cancelled_call_runs_no_callbacks);
  tcase_add_test (tcase, finished_stream_has_final_chunk);
  tcase_add_loop_test (tcase, aborted_stream_has_no_final_chunk, 0, 2);
  tcase_add_loop_test (tcase, caller_disconnect_is_detected, 0, 2);
  tcase_add_test (tcase, response_may_take_longer_than_read_timeout);
  tcase_add_test (tcase, pipelined_requests_are_handled_in_order);
  tcase_add_test (tcase, head_response_has_no_body);
  tcase_add_test (tcase, caller_that_does_not_read_is_disconnected);
  tcase_add_test (tcase, disconnected_stream_has_no_final_chunk);
  tcase_add_loop_test (tcase, invalid_request_is_rejected_or_closes_connection, 0,
                       G_N_ELEMENTS (invalid_request_cases));
  tcase_add_loop_test (tcase, response_reaches_a_caller_that_is_still_sending, 0,
                       G_N_ELEMENTS (long_request_cases));
  tcase_add_test (tcase, exchanges_over_limit_are_rejected);
  tcase_add_test (tcase, connections_over_limit_wait_for_free_slot);
  tcase_add_test (tcase, idle_connections_make_room_for_new_ones);
  tcase_add_test (tcase, slowly_sent_request_times_out);
  tcase_add_loop_test (tcase, head_limit_bounds_the_head_only, 0,
                       G_N_ELEMENTS (head_limit_cases));
  tcase_add_test (tcase, stopping_server_finishes_open_requests);
  tcase_add_loop_test (tcase, stream_started_before_stop_closes_connection, 0, 2);
  tcase_add_test (tcase, interim_response_is_followed_by_the_body);
  tcase_add_loop_test (tcase, request_that_crosses_a_close_is_answered, 0,
                       G_N_ELEMENTS (crossing_cases));
  tcase_add_test (tcase, idle_connection_keeps_its_limit_when_a_shorter_one_is_set);
  tcase_add_test (tcase, idle_connection_gets_a_longer_limit);
  tcase_add_test (tcase, idle_limit_does_not_bound_a_request);
  tcase_add_test (tcase, connections_from_the_same_port_are_told_apart);
  tcase_add_test (tcase, idle_server_has_no_request_on_the_way);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
