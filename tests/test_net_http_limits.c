/* What the server accepts from clients that cost more than they bring. */
#include "net/http_cost.h"
#include "net/http_server.h"
#include "tests/free_port.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.1.37"
#define HANG_SECONDS 60
#define KIB ((gsize)1024)
#define CLIENTS 12U
#define UNREAD_MAX (1024 * KIB)
#define RESPONSE_BYTES (256 * KIB)
/* The server's bound, see OPERATIONS. */
#define PIPELINED_MAX 8

#define TEN(text) text text text text text text text text text text
#define HUNDRED(text) TEN (TEN (text))
#define GET "GET /now HTTP/1.1\r\nHost: x\r\n"
#define CHUNKED "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

/* --- cost --- */

typedef struct CostCase
{
  const char *name;
  const char *text;
  gsize step; /* bytes of a read; 0: all */
  gsize head_min, head_max;
  gboolean has_tiny_chunks;
  gboolean has_tiny_reads;
} CostCase;

static const CostCase cost_cases[] = {
  { "ordinary", GET TEN ("Accept: text/plain\r\n") "\r\n", 0, 0, 0, FALSE, FALSE },
  { "ordinary, in single bytes", GET "Accept: text/plain\r\n\r\n", 1, 0, 0, FALSE, TRUE },
  /* 100 fields in three blocks of 112 bytes, twice. */
  { "short fields", GET HUNDRED ("a:b\r\n") "\r\n", 0, 20000, 30000, FALSE, FALSE },
  { "short trailers", CHUNKED "0\r\n" HUNDRED ("a:b\r\n") "\r\n", 0, 20000, 30000, FALSE,
    FALSE },
  { "one long field", GET "a: " HUNDRED (HUNDRED ("x")) "\r\n\r\n", 0, 10000, 11000, FALSE,
    FALSE },
  { "few tiny chunks", CHUNKED HUNDRED ("1\r\nx\r\n"), 0, 0, 0, FALSE, FALSE },
  { "many tiny chunks", CHUNKED HUNDRED ("1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n"), 0, 0, 0, TRUE,
    FALSE },
  { "many chunks that are not tiny", CHUNKED HUNDRED (TEN ("64\r\n" HUNDRED ("x") "\r\n")), 0,
    0, 0, FALSE, FALSE },
  { "chunks in tiny reads", CHUNKED HUNDRED ("1\r\nx\r\n"), 6, 0, 0, FALSE, TRUE },
};

START_TEST (a_request_costs_what_it_takes)
{
  const CostCase *row = &cost_cases[_i];
  DpHttpFraming framing = { 0 };
  DpHttpCost cost = { 0 };
  gsize length = strlen (row->text);
  for (gsize at = 0; at < length;)
    {
      gboolean has_head = dp_http_framing_has_head (&framing);
      gsize step = MIN (row->step > 0 ? row->step : KIB, length - at);
      gsize read = dp_http_framing_read (&framing, row->text + at, step);
      ck_assert_uint_gt (read, 0);
      cost.reads++;
      cost.bytes += read;
      cost.head_bytes += has_head ? 0 : read;
      at += read;
    }
  gsize head = dp_http_cost_head (&cost, &framing);
  ck_assert_msg (head >= row->head_min && head <= row->head_max, "%s: %zu", row->name, head);
  ck_assert_msg (dp_http_cost_has_tiny_chunks (&framing) == row->has_tiny_chunks, "%s",
                 row->name);
  ck_assert_msg (dp_http_cost_has_tiny_reads (&cost) == row->has_tiny_reads, "%s", row->name);
}
END_TEST

typedef struct AdmitCase
{
  gsize others;
  gsize own;
  gboolean is_admitted;
  gboolean has_reserve;
} AdmitCase;

/* Limit 100. */
static const AdmitCase admit_cases[] = {
  { 0, 50, TRUE, TRUE },   { 0, 51, FALSE, TRUE },  { 80, 10, TRUE, TRUE },
  { 80, 11, FALSE, TRUE }, { 100, 1, FALSE, TRUE }, { 120, 6, FALSE, FALSE },
};

/* Guards against large holders that leave no room for small ones. */
START_TEST (a_fuller_budget_admits_less)
{
  const AdmitCase *row = &admit_cases[_i];
  int other, own;
  DpByteBudget *budget = dp_byte_budget_new (100);
  dp_byte_budget_set (budget, &other, row->others);
  dp_byte_budget_set (budget, &own, row->own);
  ck_assert_int_eq (dp_byte_budget_admits (budget, &own), row->is_admitted);
  ck_assert_int_eq (dp_byte_budget_has_reserve (budget), row->has_reserve);
  dp_byte_budget_free (budget);
}
END_TEST

/* --- server --- */

typedef struct Fixture
{
  struct event_base *base;
  struct event *hang;
  DpCounters *counters;
  DpByteBudget *unread;
  DpHttpServer *server;
  guint16 port;
  GPtrArray *held; /* DpHttpExchange: not answered yet */
  guint requests;
  int fds[CLIENTS];
} Fixture;

/* Answers "/now" and "/large" at once, holds others. */
static void
on_request (gpointer user, DpHttpExchange *exchange)
{
  Fixture *fixture = user;
  const char *path = dp_http_exchange_target (exchange);
  fixture->requests++;
  if (strcmp (path, "/large") == 0)
    {
      char *body = g_malloc0 (RESPONSE_BYTES);
      dp_http_exchange_reply (exchange, 200, body, RESPONSE_BYTES);
      g_free (body);
    }
  else if (strcmp (path, "/now") == 0)
    dp_http_exchange_reply (exchange, 200, "x", 1);
  else
    g_ptr_array_add (fixture->held, exchange);
}

static void
on_hang (evutil_socket_t fd, short what, void *user)
{
  ck_abort_msg ("no progress in %d s", HANG_SECONDS);
}

static int
connect_client (const Fixture *fixture)
{
  /* The server's send buffer stays small, too. */
  const int buffer = 4096;
  const int segment = 536;
  struct sockaddr_in peer = { .sin_family = AF_INET, .sin_port = htons (fixture->port) };
  inet_pton (AF_INET, ADDRESS, &peer.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ck_assert_int_eq (connect (fd, (const struct sockaddr *)&peer, sizeof peer), 0);
  return fd;
}

static void
fixture_start (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->base = event_base_new ();
  fixture->counters = dp_counters_new ();
  fixture->unread = dp_byte_budget_new (UNREAD_MAX);
  fixture->held = g_ptr_array_new ();
  fixture->port = find_free_port (ADDRESS);
  const DpHttpServerOptions options = { .base = fixture->base,
                                        .address = ADDRESS,
                                        .port = fixture->port,
                                        .name = "test",
                                        .head_max = 4 * KIB,
                                        .body_max = 4 * KIB,
                                        .budgets.unread = fixture->unread,
                                        .read_timeout = HANG_SECONDS * DP_USEC_PER_SEC,
                                        .write_timeout = HANG_SECONDS * DP_USEC_PER_SEC,
                                        .write_buffer_max = KIB,
                                        .exchanges_max = 2 * CLIENTS,
                                        .connections_max = 2 * CLIENTS,
                                        .request_timeout = HANG_SECONDS * DP_USEC_PER_SEC,
                                        .counters = fixture->counters,
                                        .handler = on_request,
                                        .user = fixture };
  fixture->server = dp_http_server_new (&options);
  ck_assert_ptr_nonnull (fixture->server);
  fixture->hang = event_new (fixture->base, -1, 0, on_hang, NULL);
  const struct timeval hang = { .tv_sec = HANG_SECONDS };
  event_add (fixture->hang, &hang);
  for (guint i = 0; i < CLIENTS; i++)
    fixture->fds[i] = connect_client (fixture);
}

static void
fixture_free (Fixture *fixture)
{
  for (guint i = 0; i < CLIENTS; i++)
    close (fixture->fds[i]);
  dp_http_server_free (fixture->server);
  dp_byte_budget_free (fixture->unread);
  dp_counters_unref (fixture->counters);
  g_ptr_array_unref (fixture->held);
  event_free (fixture->hang);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (gssize)strlen (text));
}

/* Runs the loop until the server has got so many requests. */
static void
wait_for_requests (const Fixture *fixture, guint count)
{
  while (fixture->requests < count)
    {
      event_base_loop (fixture->base, EVLOOP_ONCE);
      ck_assert_uint_le (dp_byte_budget_total (fixture->unread), UNREAD_MAX);
    }
}

/* Guards against callers that make the process hold many large responses. */
START_TEST (unread_responses_stay_within_the_budget)
{
  Fixture fixture;
  fixture_start (&fixture);
  for (guint i = 0; i < CLIENTS; i++)
    send_text (fixture.fds[i], "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
  wait_for_requests (&fixture, CLIENTS);
  while (dp_http_server_open_exchanges (fixture.server) > 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  ck_assert_uint_gt (
    dp_counters_get (fixture.counters, "dogwoodplank_http_limited_total", "limit", "unread"),
    0);
  int fd = connect_client (&fixture);
  send_text (fd, GET "\r\n");
  wait_for_requests (&fixture, CLIENTS + 1);
  close (fd);
  fixture_free (&fixture);
}
END_TEST

/* Guards against pipelining clients that fill the queues in which others wait: each client has
 * its first response before the rest of its requests, which are held, begin in turns. */
START_TEST (pipelined_requests_take_turns)
{
  Fixture fixture;
  fixture_start (&fixture);
  for (guint i = 0; i < CLIENTS; i++)
    send_text (fixture.fds[i], GET "\r\nGET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  wait_for_requests (&fixture, CLIENTS + PIPELINED_MAX);
  int other = connect_client (&fixture);
  for (guint i = 0; i < CLIENTS; i++)
    {
      /* What is not pipelined waits for nothing. */
      guint before = fixture.requests;
      send_text (other, GET "\r\n");
      wait_for_requests (&fixture, before + 1);
      ck_assert_msg (fixture.held->len <= PIPELINED_MAX, "%u in progress", fixture.held->len);
      guint wanted = MIN (before + 2, 2 * CLIENTS + i + 1);
      ck_assert_uint_gt (fixture.held->len, 0);
      dp_http_exchange_reply (g_ptr_array_steal_index (fixture.held, 0), 200, "x", 1);
      wait_for_requests (&fixture, wanted);
    }
  ck_assert (fixture.requests == 3 * CLIENTS);
  ck_assert_uint_eq (fixture.held->len, 0);
  close (other);
  fixture_free (&fixture);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("net_http_limits");
  TCase *cost = tcase_create ("cost");
  tcase_add_loop_test (cost, a_request_costs_what_it_takes, 0, G_N_ELEMENTS (cost_cases));
  tcase_add_loop_test (cost, a_fuller_budget_admits_less, 0, G_N_ELEMENTS (admit_cases));
  suite_add_tcase (suite, cost);
  TCase *server = tcase_create ("server");
  tcase_add_test (server, unread_responses_stay_within_the_budget);
  tcase_add_test (server, pipelined_requests_take_turns);
  suite_add_tcase (suite, server);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
