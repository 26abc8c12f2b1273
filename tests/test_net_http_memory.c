/* What many responses without end take together. */
#include "net/http_call.h"
#include "tests/raw_peer.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS "127.0.1.29"
#define TEST_TIMEOUT_SECONDS 20
#define CALLS 40
#define KIB ((gsize)1024)
#define LIMIT (1024 * KIB)
/* What may be read at a time before it is counted. */
#define READ_MAX (64 * KIB)

typedef struct Fixture
{
  struct event_base *base;
  DpByteBudget *budget;
  gsize held;     /* of all calls */
  gsize held_max; /* so far */
  guint open;     /* calls */
} Fixture;

typedef struct Call
{
  Fixture *fixture;
  DpHttpCall *call;
  gsize held;
  DpHttpCallResult result;
  gboolean ended;
} Call;

static void
on_head (gpointer user, DpHttpCall *call, int status)
{
}

/* Holds the body, as callers do that need it whole. */
static void
on_data (gpointer user, const void *data, gsize length)
{
  Call *call = user;
  call->held += length;
  call->fixture->held += length;
  call->fixture->held_max = MAX (call->fixture->held_max, call->fixture->held);
  dp_http_call_set_held (call->call, call->held);
}

static void
on_end (gpointer user, DpHttpCallResult result, gboolean nothing_sent)
{
  Call *call = user;
  call->result = result;
  call->ended = TRUE;
  call->fixture->held -= call->held;
  if (--call->fixture->open == 0)
    event_base_loopbreak (call->fixture->base);
}

static const DpHttpCallbacks callbacks = { on_head, on_data, on_end };

typedef struct EndlessCase
{
  const char *name;
  const char *answer;
  const char *repeat; /* after the answer, until the client closes */
} EndlessCase;

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const EndlessCase endless_cases[] = {
  { "chunks", CHUNKED, "8\r\nabcdefgh\r\n" },
  { "one chunk", CHUNKED "fffff0\r\n", "abcdefgh" },
  { "chunk size", CHUNKED, "0" },
  { "body until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "abcdefgh" },
  { "body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "abcdefgh" },
};

static void
start_call (Call *call, Fixture *fixture, guint16 port)
{
  const DpHttpCallOptions options
    = { .base = fixture->base,
        .address = ADDRESS,
        .port = port,
        .path = "/x",
        .method = EVHTTP_REQ_GET,
        .connect_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .first_byte_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .idle_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .response_body_max = 16384 * KIB,
        .budget = fixture->budget,
        .callbacks = &callbacks,
        .user = call };
  call->fixture = fixture;
  call->call = dp_http_call_start (&options);
  fixture->open++;
}

static void
on_test_timeout (evutil_socket_t fd, short what, void *user)
{
  ck_abort_msg ("calls are open after %d s", TEST_TIMEOUT_SECONDS);
}

/* Guards against a process that runs out of memory since several targets send without end. */
START_TEST (endless_responses_stay_within_the_budget)
{
  const EndlessCase *row = &endless_cases[_i];
  Fixture fixture = { .base = event_base_new (), .budget = dp_byte_budget_new (LIMIT) };
  RawPeer endless = { .answer = row->answer,
                      .answer_length = strlen (row->answer),
                      .stay_open = TRUE,
                      .repeat = row->repeat };
  static const char small[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
  RawPeer sound = { .answer = small, .answer_length = sizeof small - 1 };
  raw_peer_start (&endless, fixture.base, ADDRESS);
  raw_peer_start (&sound, fixture.base, ADDRESS);
  Call calls[CALLS] = { 0 };
  for (guint i = 0; i < CALLS; i++)
    start_call (&calls[i], &fixture, i % 4 == 3 ? sound.port : endless.port);
  struct event *timeout = event_new (fixture.base, -1, 0, on_test_timeout, NULL);
  const struct timeval limit = { .tv_sec = TEST_TIMEOUT_SECONDS };
  event_add (timeout, &limit);
  event_base_dispatch (fixture.base);
  for (guint i = 0; i < CALLS; i++)
    ck_assert_msg (calls[i].ended
                     && calls[i].result == (i % 4 == 3 ? DP_HTTP_COMPLETE : DP_HTTP_FAILED),
                   "%s: call %u: %d", row->name, i, calls[i].result);
  ck_assert_msg (fixture.held_max <= LIMIT + READ_MAX, "%s: %zu bytes", row->name,
                 fixture.held_max);
  ck_assert_uint_eq (dp_byte_budget_total (fixture.budget), 0);
  event_free (timeout);
  evconnlistener_free (endless.listener);
  evconnlistener_free (sound.listener);
  for (int i = 0; i < 5; i++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  dp_byte_budget_free (fixture.budget);
  event_base_free (fixture.base);
}
END_TEST

START_TEST (the_largest_holder_exceeds)
{
  int holders[3];
  DpByteBudget *budget = dp_byte_budget_new (100);
  dp_byte_budget_set (budget, &holders[0], 40);
  dp_byte_budget_set (budget, &holders[1], 60);
  ck_assert_ptr_null (dp_byte_budget_find_excess (budget));
  dp_byte_budget_set (budget, &holders[2], 1);
  ck_assert_ptr_eq (dp_byte_budget_find_excess (budget), &holders[1]);
  dp_byte_budget_set (budget, &holders[1], 59);
  ck_assert_ptr_null (dp_byte_budget_find_excess (budget));
  for (guint i = 0; i < G_N_ELEMENTS (holders); i++)
    dp_byte_budget_set (budget, &holders[i], 0);
  ck_assert_uint_eq (dp_byte_budget_total (budget), 0);
  dp_byte_budget_free (budget);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("net_http_memory");
  TCase *tests = tcase_create ("memory");
  tcase_add_loop_test (tests, endless_responses_stay_within_the_budget, 0,
                       G_N_ELEMENTS (endless_cases));
  tcase_add_test (tests, the_largest_holder_exceeds);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
