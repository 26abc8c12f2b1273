/* Events reported to the core for a target's answer: only complete stream events, and only if
 * the answer echoes the attempt's id. */
#include "entry/attempt.h"
#include "tests/raw_peer.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS "127.0.1.71"
#define TIMEOUT_SECONDS 20
#define ATTEMPT_ID "000000000000000a000000000000000b"

static const DpId attempt_id = { 0xa, 0xb };

typedef struct Recorder
{
  struct event_base *base;
  DpAttempts *attempts;
  DpEntryEventType cancel_on; /* cancels the attempt while this event is handled; 0: never */
  guint heads;
  int status;
  guint chunks;
  guint tokens;
  gboolean terminal;
  gboolean ended;
  DpEntryEvent last; /* DP_ENTRY_EVENT_TARGET_END or _FAILED */
} Recorder;

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  ck_abort_msg ("no event within %d s", TIMEOUT_SECONDS);
}

static void
run_loop (struct event_base *base)
{
  struct event *timeout = evtimer_new (base, on_timeout, NULL);
  const struct timeval limit = { .tv_sec = TIMEOUT_SECONDS };
  event_add (timeout, &limit);
  event_base_dispatch (base);
  event_free (timeout);
}

static void
on_event (gpointer user, DpEntryEvent *event, const DpChatEvent *chat)
{
  Recorder *recorder = user;
  ck_assert (!recorder->ended);
  switch (event->type)
    {
    case DP_ENTRY_EVENT_TARGET_HEAD:
      recorder->heads++;
      recorder->status = event->head.status;
      break;
    case DP_ENTRY_EVENT_TARGET_CHUNK:
      recorder->chunks++;
      recorder->tokens += event->chunk.tokens;
      recorder->terminal |= event->chunk.terminal;
      break;
    default:
      recorder->ended = TRUE;
      recorder->last = *event;
      event_base_loopbreak (recorder->base);
      break;
    }
  if (recorder->cancel_on != 0 && recorder->cancel_on == event->type)
    {
      dp_attempts_cancel (recorder->attempts, attempt_id);
      recorder->ended = TRUE;
      event_base_loopbreak (recorder->base);
    }
}

typedef struct AttemptCase
{
  const char *name;
  const char *answer;
  DpPoolKind kind;
  gboolean stay_open;
  /* expected events */
  guint heads;
  guint chunks;
  guint tokens;
  gboolean terminal;
  DpReason reason; /* of TARGET_FAILED; DP_REASON_NONE: TARGET_END is expected */
  gboolean framing_complete;
} AttemptCase;

#define STATUS_200 "HTTP/1.1 200 OK\r\n"
#define TYPE "Content-Type: text/event-stream\r\n"
#define ECHO_ID "X-Attempt-Id: " ATTEMPT_ID "\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM STATUS_200 TYPE ECHO_ID CHUNKED
/* chunk sizes: 0x33 = 51 bytes, 0xe = 14 bytes */
#define TOKEN "33\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n\r\n"
#define DONE "e\r\ndata: [DONE]\n\n\r\n"
#define FINAL "0\r\n\r\n"
#define E DP_POOL_ENGINES
#define S DP_POOL_SERVICE

static const AttemptCase attempt_cases[] = {
  { "complete stream", STREAM TOKEN TOKEN DONE FINAL, E, FALSE, 1, 3, 2, TRUE, DP_REASON_NONE,
    TRUE },
  { "no end event", STREAM TOKEN TOKEN FINAL, E, FALSE, 1, 2, 2, FALSE, DP_REASON_NONE, TRUE },
  { "end event, no final chunk", STREAM TOKEN DONE, E, FALSE, 1, 2, 1, TRUE,
    DP_REASON_TARGET_BROKE, FALSE },
  { "final chunk within an event", STREAM TOKEN "6\r\ndata: \r\n" FINAL, E, FALSE, 1, 1, 1,
    FALSE, DP_REASON_NONE, FALSE },
  { "end event without blank line", STREAM TOKEN "d\r\ndata: [DONE]\n\r\n" FINAL, E, FALSE, 1,
    1, 1, FALSE, DP_REASON_NONE, FALSE },
  { "closed within the headers", STATUS_200 TYPE "X-Att", E, FALSE, 0, 0, 0, FALSE,
    DP_REASON_TARGET_BROKE, FALSE },
  { "closed within a chunk", STREAM TOKEN "33\r\ndata: {", E, FALSE, 1, 1, 1, FALSE,
    DP_REASON_TARGET_BROKE, FALSE },
  { "body delimited by connection close only",
    STATUS_200 TYPE ECHO_ID "Connection: close\r\n\r\ndata: [DONE]\n\n", E, FALSE, 1, 1, 0,
    TRUE, DP_REASON_NONE, FALSE },
  { "idle timeout", STREAM TOKEN, E, TRUE, 1, 1, 1, FALSE, DP_REASON_TARGET_SILENT, FALSE },
  { "another attempt's answer",
    STATUS_200 TYPE
    "X-Attempt-Id: 000000000000000a000000000000000c\r\n" CHUNKED TOKEN DONE FINAL,
    E, FALSE, 0, 0, 0, FALSE, DP_REASON_TARGET_ERROR, FALSE },
  { "answer without attempt id", STATUS_200 TYPE CHUNKED TOKEN DONE FINAL, E, FALSE, 0, 0, 0,
    FALSE, DP_REASON_TARGET_ERROR, FALSE },
  { "answer is not an event stream", STATUS_200 ECHO_ID "Content-Length: 2\r\n\r\n{}", E, FALSE,
    0, 0, 0, FALSE, DP_REASON_TARGET_ERROR, FALSE },
  { "malformed event", STREAM TOKEN "9\r\ndata: {\n\n\r\n" DONE FINAL, E, FALSE, 1, 1, 1, FALSE,
    DP_REASON_TARGET_BROKE, FALSE },
  { "engine's error", "HTTP/1.1 503 Busy\r\n" ECHO_ID "Content-Length: 4\r\n\r\nbusy", E, FALSE,
    1, 1, 0, FALSE, DP_REASON_NONE, TRUE },
  { "service's answer without attempt id", STATUS_200 "Content-Length: 4\r\n\r\nabcd", S, FALSE,
    1, 1, 0, FALSE, DP_REASON_NONE, TRUE },
  { "service's answer shorter than Content-Length",
    STATUS_200 ECHO_ID "Content-Length: 4\r\n\r\n", S, FALSE, 1, 0, 0, FALSE,
    DP_REASON_TARGET_BROKE, FALSE },
  { "service's answer to another attempt",
    STATUS_200 "X-Attempt-Id: x\r\nContent-Length: 4\r\n\r\nabcd", S, FALSE, 0, 0, 0, FALSE,
    DP_REASON_TARGET_ERROR, FALSE },
};

/* Creates a caller without a connection: attempts read only its request and generated text. */
static DpEntryCaller *
make_caller (void)
{
  static const char body[] = "{\"messages\":[{\"content\":\"hi\"}]}";
  DpEntryCaller *caller = g_new0 (DpEntryCaller, 1);
  caller->request = g_new0 (DpEntryRequest, 1);
  caller->request->method = g_strdup ("POST");
  caller->request->target = g_strdup ("/services/s/x");
  caller->request->body = g_bytes_new_static ("{}", 2);
  const char *problem;
  caller->request->chat = dp_chat_request_parse (body, strlen (body), &problem);
  caller->generated_text = g_string_new (NULL);
  return caller;
}

static Recorder
run_attempt (RawPeer *peer, DpPoolKind kind, DpEntryEventType cancel_on)
{
  struct event_base *base = event_base_new ();
  raw_peer_start (peer, base, ADDRESS);
  DpCounters *counters = dp_counters_new ();
  Recorder recorder = { .base = base, .cancel_on = cancel_on };
  const DpAttemptsOptions options = { .base = base,
                                      .connect_timeout = 5 * DP_USEC_PER_SEC,
                                      .first_byte_timeout = 300 * DP_USEC_PER_MSEC,
                                      .idle_timeout = 300 * DP_USEC_PER_MSEC,
                                      .counters = counters,
                                      .handler = on_event,
                                      .user = &recorder };
  recorder.attempts = dp_attempts_new (&options);
  DpEntryCaller *caller = make_caller ();
  DpDispatch dispatch = { .attempt = attempt_id,
                          .address = ADDRESS,
                          .port = peer->port,
                          .kind = kind,
                          .remaining = 10 * DP_USEC_PER_SEC };
  dp_attempts_start (recorder.attempts, &dispatch, caller);
  ck_assert_uint_eq (dp_attempts_count (recorder.attempts), 1);
  run_loop (base);
  ck_assert_uint_eq (dp_attempts_count (recorder.attempts), 0);
  for (int i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  dp_entry_caller_free (caller);
  dp_attempts_free (recorder.attempts);
  evconnlistener_free (peer->listener);
  for (int i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  dp_counters_unref (counters);
  event_base_free (base);
  return recorder;
}

START_TEST (only_complete_events_of_the_attempt_are_reported)
{
  const AttemptCase *c = &attempt_cases[_i];
  RawPeer peer
    = { .answer = c->answer, .answer_length = strlen (c->answer), .stay_open = c->stay_open };
  Recorder recorder = run_attempt (&peer, c->kind, (DpEntryEventType)0);
  ck_assert_msg (recorder.heads == c->heads, "%s: %u heads", c->name, recorder.heads);
  ck_assert_msg (recorder.chunks == c->chunks, "%s: %u chunks", c->name, recorder.chunks);
  ck_assert_msg (recorder.tokens == c->tokens, "%s: %u tokens", c->name, recorder.tokens);
  ck_assert_msg (recorder.terminal == c->terminal, "%s: terminal", c->name);
  if (c->reason == DP_REASON_NONE)
    {
      ck_assert_msg (recorder.last.type == DP_ENTRY_EVENT_TARGET_END, "%s: failed", c->name);
      ck_assert_msg (recorder.last.end.framing_complete == c->framing_complete, "%s: framing",
                     c->name);
      return;
    }
  ck_assert_msg (recorder.last.type == DP_ENTRY_EVENT_TARGET_FAILED, "%s: ended", c->name);
  ck_assert_msg (recorder.last.failed.reason == c->reason, "%s: %s", c->name,
                 dp_reason_name (recorder.last.failed.reason));
  ck_assert_msg (!recorder.last.failed.nothing_sent, "%s", c->name);
}
END_TEST

/* Several stream events arrive at once. After the one that cancels the attempt, no other may be
 * reported. */
START_TEST (cancelled_attempt_reports_no_more_events)
{
  const DpEntryEventType at[] = { DP_ENTRY_EVENT_TARGET_HEAD, DP_ENTRY_EVENT_TARGET_CHUNK };
  const char *answer = STREAM TOKEN TOKEN TOKEN DONE FINAL;
  RawPeer peer = { .answer = answer, .answer_length = strlen (answer) };
  Recorder recorder = run_attempt (&peer, DP_POOL_ENGINES, at[_i]);
  ck_assert_uint_eq (recorder.heads, 1);
  ck_assert_uint_eq (recorder.chunks, (guint)_i);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_attempts");
  TCase *tcase = tcase_create ("attempts");
  tcase_add_loop_test (tcase, only_complete_events_of_the_attempt_are_reported, 0,
                       G_N_ELEMENTS (attempt_cases));
  tcase_add_loop_test (tcase, cancelled_attempt_reports_no_more_events, 0, 2);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
