/* The entry's decisions, event by event: refusals at the door, the path from grant to answer.
 */
#include "tests/entry_fixture.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define CALLER 7

typedef struct Bench
{
  DpEntryBoard *board;
  DpCounters *counters;
  GArray *actions;
  DpUsec now;
} Bench;

static void
feed (Bench *bench, DpEntryEvent event)
{
  event.now = bench->now;
  event.wall = FIXTURE_WALL + bench->now;
  g_array_set_size (bench->actions, 0);
  dp_entry_handle (bench->board, &event, bench->actions);
}

static void
bench_init (Bench *bench)
{
  memset (bench, 0, sizeof *bench);
  bench->counters = dp_counters_new ();
  bench->now = DP_USEC_PER_SEC;
  DpEntryOptions options = {
    .vm = fixture_vm (0),
    .data_centre = fixture_centre (0),
    .incarnation = 1,
    .seed = 5,
    .requests_max = 100,
    .counters = bench->counters,
  };
  bench->board = dp_entry_board_new (&options);
  bench->actions = dp_entry_actions_new ();
  DpManifest *manifest = fixture_manifest ();
  DpView *view = fixture_view ();
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = manifest });
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = view });
  dp_manifest_unref (manifest);
  dp_view_unref (view);
}

static void
bench_clear (Bench *bench)
{
  g_array_unref (bench->actions);
  dp_entry_board_unref (bench->board);
  dp_counters_unref (bench->counters);
}

static const DpEntryAction *
find_action (const Bench *bench, DpEntryActionType type)
{
  for (guint i = 0; i < bench->actions->len; i++)
    {
      const DpEntryAction *action = &g_array_index (bench->actions, DpEntryAction, i);
      if (action->type == type)
        return action;
    }
  return NULL;
}

static const DpEntryAction *
find_message (const Bench *bench, DpMessageType type)
{
  for (guint i = 0; i < bench->actions->len; i++)
    {
      const DpEntryAction *action = &g_array_index (bench->actions, DpEntryAction, i);
      if (action->type == DP_ENTRY_ACTION_SEND && action->message.type == type)
        return action;
    }
  return NULL;
}

static DpRequestIn
chat_request (void)
{
  DpRequestIn in = {
    .caller = CALLER,
    .key_sha256 = FIXTURE_KEY,
    .method = "POST",
    .path = "/v1/chat/completions",
    .model = "verge",
    .stream = TRUE,
    .body_hash = 77,
    .prompt_tokens = 20,
  };
  return in;
}

static void
feed_request (Bench *bench, DpRequestIn in)
{
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_REQUEST, .request = in });
}

/* Answers the open ask with a grant for a target of its group, by its place there; returns the
 * dispatch. */
static DpDispatch
grant_on (Bench *bench, guint place)
{
  const DpEntryAction *ask = find_message (bench, DP_MESSAGE_GRANT_ASK);
  ck_assert_ptr_nonnull (ask);
  DpManifest *manifest = fixture_manifest ();
  int group = dp_manifest_find (manifest, DP_MANIFEST_GROUP, ask->message.grant_ask.group);
  ck_assert_int_ge (group, 0);
  const DpGroup *row = DP_MANIFEST_ROW (manifest, groups, DpGroup, group);
  guint index = g_array_index (row->targets, guint, MIN (place, row->targets->len - 1));
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = ask->message.grant_ask.attempt;
  message.grant_given.group = ask->message.grant_ask.group;
  message.grant_given.target = DP_MANIFEST_ROW (manifest, targets, DpTarget, index)->name;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = ask->to };
  event.message = &message;
  feed (bench, event);
  dp_manifest_unref (manifest);
  const DpEntryAction *dispatch = find_action (bench, DP_ENTRY_ACTION_DISPATCH);
  ck_assert_ptr_nonnull (dispatch);
  return dispatch->dispatch;
}

static DpDispatch
grant (Bench *bench)
{
  return grant_on (bench, 0);
}

static void
feed_head (Bench *bench, DpId attempt, int status)
{
  DpTargetHead head = { .attempt = attempt, .status = status };
  head.content_type = "text/event-stream";
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_HEAD, .head = head });
}

static void
feed_chunk (Bench *bench, DpId attempt, const char *text, gboolean terminal)
{
  DpTargetChunk chunk = { .attempt = attempt, .data = text, .length = strlen (text) };
  chunk.tokens = terminal ? 0 : 1;
  chunk.terminal = terminal;
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_CHUNK, .chunk = chunk });
}

static void
feed_end (Bench *bench, DpId attempt, gboolean complete)
{
  DpTargetEnd end = { .attempt = attempt, .framing_complete = complete };
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_END, .end = end });
}

START_TEST (a_stream_goes_from_grant_to_end)
{
  Bench bench;
  bench_init (&bench);
  feed_request (&bench, chat_request ());
  DpDispatch dispatch = grant (&bench);
  feed_head (&bench, dispatch.attempt, 200);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_HEAD));
  feed_chunk (&bench, dispatch.attempt, "data: a\n\n", FALSE);
  ck_assert_int_eq (find_action (&bench, DP_ENTRY_ACTION_HEAD)->head.status, 200);
  ck_assert_ptr_nonnull (find_action (&bench, DP_ENTRY_ACTION_FORWARD));
  ck_assert_ptr_nonnull (find_message (&bench, DP_MESSAGE_GRANT_PROGRESS));
  feed_chunk (&bench, dispatch.attempt, "data: [DONE]\n\n", TRUE);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_FORWARD));
  feed_end (&bench, dispatch.attempt, TRUE);
  const DpEntryAction *tail = find_action (&bench, DP_ENTRY_ACTION_FORWARD);
  ck_assert_int_eq (memcmp (tail->forward.data, "data: [DONE]", 12), 0);
  ck_assert_ptr_nonnull (find_action (&bench, DP_ENTRY_ACTION_END));
  ck_assert_int_eq (find_message (&bench, DP_MESSAGE_GRANT_DONE)->message.grant_done.reason,
                    DP_REASON_NONE);
  ck_assert_uint_eq (dp_entry_open_requests (bench.board), 0);
  bench_clear (&bench);
}
END_TEST

/* Ways in which an answer ends without being whole. */
typedef struct CutCase
{
  const char *name;
  gboolean terminal;
  gboolean framing_complete;
} CutCase;

static const CutCase cuts[] = {
  { "framing ends without the end event", FALSE, TRUE },
  { "end event without the framing's end", TRUE, FALSE },
  { "neither", FALSE, FALSE },
};

START_TEST (a_cut_answer_is_resumed_elsewhere_and_never_ended)
{
  const CutCase *row = &cuts[_i];
  Bench bench;
  bench_init (&bench);
  feed_request (&bench, chat_request ());
  DpDispatch first = grant (&bench);
  feed_head (&bench, first.attempt, 200);
  feed_chunk (&bench, first.attempt, "data: a\n\n", FALSE);
  if (row->terminal)
    feed_chunk (&bench, first.attempt, "data: [DONE]\n\n", TRUE);
  feed_end (&bench, first.attempt, row->framing_complete);
  ck_assert_msg (find_action (&bench, DP_ENTRY_ACTION_END) == NULL, "%s", row->name);
  const DpEntryAction *ask = find_message (&bench, DP_MESSAGE_GRANT_ASK);
  ck_assert_uint_eq (ask->message.grant_ask.sent_tokens, 1);
  ck_assert_uint_eq (ask->message.grant_ask.excluded_count, 1);
  ck_assert_uint_eq (ask->message.grant_ask.excluded[0], first.target);
  bench_clear (&bench);
}
END_TEST

/* Refusals at the door. */
typedef struct RefusalCase
{
  const char *name;
  const char *access;
  const char *method;
  const char *path;
  const char *model;
  const char *key; /* NULL: none; "old", "future", "new": made */
  DpReason reason;
  DpOutcome outcome;
} RefusalCase;

static const RefusalCase refusals[] = {
  { "no access key", NULL, "POST", "/v1/chat/completions", "verge", NULL,
    DP_REASON_UNAUTHORIZED, DP_OUTCOME_NOT_RUN },
  { "wrong access key", "33", "POST", "/v1/chat/completions", "verge", NULL,
    DP_REASON_UNAUTHORIZED, DP_OUTCOME_NOT_RUN },
  { "no such path", FIXTURE_KEY, "POST", "/v2", "verge", NULL, DP_REASON_NO_SUCH_PATH,
    DP_OUTCOME_NOT_RUN },
  { "no such service", FIXTURE_KEY, "POST", "/services/none/bookings", NULL, NULL,
    DP_REASON_NO_SUCH_PATH, DP_OUTCOME_NOT_RUN },
  { "a call that is not listed", FIXTURE_KEY, "POST", "/services/rota/other", NULL, NULL,
    DP_REASON_NO_SUCH_PATH, DP_OUTCOME_NOT_RUN },
  { "no such model", FIXTURE_KEY, "POST", "/v1/chat/completions", "none", NULL,
    DP_REASON_NO_SUCH_MODEL, DP_OUTCOME_NOT_RUN },
  { "no key for a call that runs once", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL,
    NULL, DP_REASON_KEY_REQUIRED, DP_OUTCOME_NOT_RUN },
  { "a key that is no UUID", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL, "order-17",
    DP_REASON_KEY_MALFORMED, DP_OUTCOME_NOT_RUN },
  { "a UUID of version 4", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL,
    "9f0c1b6e-0a5c-4d7b-8a61-5b1f0c8f2f11", DP_REASON_KEY_MALFORMED, DP_OUTCOME_NOT_RUN },
  { "an expired key", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL, "old",
    DP_REASON_KEY_EXPIRED, DP_OUTCOME_UNKNOWN },
  { "a key from the future", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL, "future",
    DP_REASON_KEY_MALFORMED, DP_OUTCOME_UNKNOWN },
};

static char *
make_key (const char *kind, DpUsec wall)
{
  if (g_strcmp0 (kind, "old") == 0)
    return fixture_uuid (wall - FIXTURE_RETENTION - DP_USEC_PER_SEC, 1);
  if (g_strcmp0 (kind, "future") == 0)
    return fixture_uuid (wall + 360 * DP_USEC_PER_SEC, 1);
  if (g_strcmp0 (kind, "new") == 0)
    return fixture_uuid (wall, 1);
  return g_strdup (kind);
}

START_TEST (refusals_at_the_door)
{
  const RefusalCase *row = &refusals[_i];
  Bench bench;
  bench_init (&bench);
  char *key = make_key (row->key, FIXTURE_WALL + bench.now);
  DpRequestIn in = { .caller = CALLER, .key_sha256 = row->access, .method = row->method };
  in.path = row->path;
  in.model = row->model;
  in.idempotency_key = key;
  feed_request (&bench, in);
  ck_assert_msg (bench.actions->len == 1, "%s", row->name);
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_msg (answer != NULL, "%s", row->name);
  ck_assert_msg (answer->problem.reason == row->reason, "%s: %s", row->name,
                 dp_reason_name (answer->problem.reason));
  ck_assert_msg (answer->problem.outcome == row->outcome, "%s", row->name);
  ck_assert_uint_eq (dp_entry_open_requests (bench.board), 0);
  g_free (key);
  bench_clear (&bench);
}
END_TEST

START_TEST (a_grant_for_a_superseded_attempt_is_handed_back)
{
  Bench bench;
  bench_init (&bench);
  feed_request (&bench, chat_request ());
  DpEntryAction ask = *find_message (&bench, DP_MESSAGE_GRANT_ASK);
  feed (&bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = ask.message.grant_ask.attempt;
  message.grant_given.group = ask.message.grant_ask.group;
  message.grant_given.target = 1;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = ask.to };
  event.message = &message;
  feed (&bench, event);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_DISPATCH));
  ck_assert_ptr_nonnull (find_message (&bench, DP_MESSAGE_GRANT_DONE));
  bench_clear (&bench);
}
END_TEST

static DpRequestIn
booking_request (const char *key)
{
  DpRequestIn in = {
    .caller = CALLER,
    .key_sha256 = FIXTURE_KEY,
    .method = "POST",
    .path = "/services/rota/bookings",
    .idempotency_key = key,
    .body_hash = 77,
  };
  return in;
}

/* Answers the outstanding read with "no such object" and the write with "stored". */
static void
confirm_claim (Bench *bench)
{
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (bench, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_ABSENT;
  feed (bench, reply);
  ck_assert_ptr_nonnull (find_action (bench, DP_ENTRY_ACTION_CLAIM_WRITE));
  reply.claim.is_write = TRUE;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  feed (bench, reply);
}

START_TEST (after_a_pause_a_claim_is_read_again_before_it_is_used)
{
  Bench bench;
  bench_init (&bench);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&bench, booking_request (key));
  confirm_claim (&bench);
  DpEntryAction ask = *find_message (&bench, DP_MESSAGE_GRANT_ASK);
  /* The grant lies in the socket's buffer while the process is paused. */
  bench.now += 3 * DP_USEC_PER_SEC;
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = ask.message.grant_ask.attempt;
  message.grant_given.group = ask.message.grant_ask.group;
  message.grant_given.target = 1;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = ask.to };
  event.message = &message;
  feed (&bench, event);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_DISPATCH));
  ck_assert_ptr_nonnull (find_action (&bench, DP_ENTRY_ACTION_CLAIM_READ));
  g_free (key);
  bench_clear (&bench);
}
END_TEST

START_TEST (after_a_pause_a_claim_given_up_by_others_is_not_sent)
{
  Bench bench;
  bench_init (&bench);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&bench, booking_request (key));
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (&bench, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_ABSENT;
  feed (&bench, reply);
  const GArray *written
    = find_action (&bench, DP_ENTRY_ACTION_CLAIM_WRITE)->claim_write.records;
  DpClaimRecord marked = g_array_index (written, DpClaimRecord, 0);
  marked.state = DP_CLAIM_UNKNOWN;
  reply.claim.is_write = TRUE;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  feed (&bench, reply);
  bench.now += 3 * DP_USEC_PER_SEC;
  feed (&bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
  reply.claim.is_write = FALSE;
  reply.claim.version = 2;
  reply.claim.records = g_array_new (FALSE, FALSE, sizeof (DpClaimRecord));
  g_array_append_val (reply.claim.records, marked);
  feed (&bench, reply);
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_RESUMED_AFTER_PAUSE);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  ck_assert_ptr_null (find_message (&bench, DP_MESSAGE_GRANT_ASK));
  g_array_unref (reply.claim.records);
  g_free (key);
  bench_clear (&bench);
}
END_TEST

START_TEST (a_full_bucket_takes_no_further_keys)
{
  Bench bench;
  bench_init (&bench);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&bench, booking_request (key));
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (&bench, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  reply.claim.records = g_array_new (FALSE, TRUE, sizeof (DpClaimRecord));
  g_array_set_size (reply.claim.records, 5000);
  feed (&bench, reply);
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_ptr_nonnull (answer);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_OVERLOADED_ENTRY);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  ck_assert (!answer->problem.sent);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_CLAIM_WRITE));
  g_array_unref (reply.claim.records);
  g_free (key);
  bench_clear (&bench);
}
END_TEST

START_TEST (a_caller_that_goes_away_cancels_its_work)
{
  Bench bench;
  bench_init (&bench);
  feed_request (&bench, chat_request ());
  DpDispatch dispatch = grant (&bench);
  feed (&bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
  const DpEntryAction *cancel = find_action (&bench, DP_ENTRY_ACTION_CANCEL);
  ck_assert_ptr_nonnull (cancel);
  ck_assert (dp_id_equal (cancel->cancel, dispatch.attempt));
  ck_assert_int_eq (find_message (&bench, DP_MESSAGE_GRANT_DONE)->message.grant_done.reason,
                    DP_REASON_CALLER_GONE);
  ck_assert_uint_eq (
    dp_counters_get (bench.counters, "dogwoodplank_wasted_prompt_tokens_total", NULL, NULL),
    20);
  ck_assert_uint_eq (dp_entry_open_requests (bench.board), 0);
  bench_clear (&bench);
}
END_TEST

START_TEST (retries_spend_a_budget)
{
  Bench bench;
  bench_init (&bench);
  guint retries = 0;
  /* Each request's first attempt fails; those that may try again do so once. */
  for (guint i = 0; i < 30; i++)
    {
      DpRequestIn in = chat_request ();
      in.body_hash = i;
      feed_request (&bench, in);
      DpTargetFailed failed = { .attempt = grant (&bench).attempt };
      failed.reason = DP_REASON_CONNECT_FAILED;
      failed.nothing_sent = TRUE;
      feed (&bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_FAILED, .failed = failed });
      const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
      retries += answer == NULL ? 1 : 0;
      if (answer == NULL)
        feed (&bench,
              (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
      else
        ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_NOT_RUN);
    }
  ck_assert_uint_eq (retries, 10);
  bench_clear (&bench);
}
END_TEST

static void
feed_failed (Bench *bench, DpId attempt, DpReason reason)
{
  DpTargetFailed failed = { .attempt = attempt, .reason = reason };
  feed (bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_FAILED, .failed = failed });
}

/* The caller has been given nothing, so it can be told the reason instead of a cut. */
START_TEST (failures_before_the_first_token_end_in_a_refusal)
{
  Bench bench;
  bench_init (&bench);
  DpRequestIn in = chat_request ();
  in.timeout = 20 * DP_USEC_PER_MSEC; /* too short for another attempt */
  feed_request (&bench, in);
  DpDispatch dispatch = grant (&bench);
  feed_head (&bench, dispatch.attempt, 200);
  feed_failed (&bench, dispatch.attempt, DP_REASON_TARGET_SILENT);
  ck_assert_ptr_null (find_action (&bench, DP_ENTRY_ACTION_BREAK));
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_ptr_nonnull (answer);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_TARGET_SILENT);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  bench_clear (&bench);
}
END_TEST

/* Targets on which one request and its repetition by the caller broke. */
typedef struct PoisonCase
{
  const char *name;
  guint targets[2];
  gboolean served_between; /* another target answered the same request whole */
  gboolean quarantined;
} PoisonCase;

static const PoisonCase poisons[] = {
  { "two targets went down", { 0, 1 }, FALSE, TRUE },
  { "one target breaks everything", { 0, 0 }, FALSE, FALSE },
  { "another target served it", { 0, 1 }, TRUE, FALSE },
};

START_TEST (a_request_that_brings_two_targets_down_is_quarantined)
{
  const PoisonCase *row = &poisons[_i];
  Bench bench;
  bench_init (&bench);
  for (guint i = 0; i < G_N_ELEMENTS (row->targets); i++)
    {
      feed_request (&bench, chat_request ());
      DpDispatch broken = grant_on (&bench, row->targets[i]);
      feed_failed (&bench, broken.attempt, DP_REASON_TARGET_BROKE);
      if (find_action (&bench, DP_ENTRY_ACTION_PROBLEM) != NULL)
        break;
      DpDispatch other = grant_on (&bench, 1 - row->targets[i]);
      if (!row->served_between)
        {
          feed (&bench,
                (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
          continue;
        }
      feed_head (&bench, other.attempt, 200);
      feed_chunk (&bench, other.attempt, "data: [DONE]\n\n", TRUE);
      feed_end (&bench, other.attempt, TRUE);
    }
  feed_request (&bench, chat_request ());
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  gboolean refused = answer != NULL && answer->problem.reason == DP_REASON_QUARANTINED;
  ck_assert_msg (refused == row->quarantined, "%s", row->name);
  bench_clear (&bench);
}
END_TEST

START_TEST (a_stopping_entry_refuses_new_requests_and_finishes_open_ones)
{
  Bench bench;
  bench_init (&bench);
  feed_request (&bench, chat_request ());
  DpDispatch dispatch = grant (&bench);
  feed (&bench, (DpEntryEvent){ .type = DP_ENTRY_EVENT_STOP });
  DpRequestIn in = chat_request ();
  in.caller = CALLER + 1;
  feed_request (&bench, in);
  const DpEntryAction *answer = find_action (&bench, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_STOPPING);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_NOT_RUN);
  feed_head (&bench, dispatch.attempt, 200);
  feed_chunk (&bench, dispatch.attempt, "data: [DONE]\n\n", TRUE);
  feed_end (&bench, dispatch.attempt, TRUE);
  ck_assert_ptr_nonnull (find_action (&bench, DP_ENTRY_ACTION_END));
  ck_assert_uint_eq (dp_entry_open_requests (bench.board), 0);
  bench_clear (&bench);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *tcase = tcase_create ("entry");
  tcase_add_test (tcase, a_stream_goes_from_grant_to_end);
  tcase_add_loop_test (tcase, a_cut_answer_is_resumed_elsewhere_and_never_ended, 0,
                       G_N_ELEMENTS (cuts));
  tcase_add_loop_test (tcase, refusals_at_the_door, 0, G_N_ELEMENTS (refusals));
  tcase_add_test (tcase, a_grant_for_a_superseded_attempt_is_handed_back);
  tcase_add_test (tcase, after_a_pause_a_claim_is_read_again_before_it_is_used);
  tcase_add_test (tcase, after_a_pause_a_claim_given_up_by_others_is_not_sent);
  tcase_add_test (tcase, a_full_bucket_takes_no_further_keys);
  tcase_add_test (tcase, a_caller_that_goes_away_cancels_its_work);
  tcase_add_test (tcase, retries_spend_a_budget);
  tcase_add_test (tcase, failures_before_the_first_token_end_in_a_refusal);
  tcase_add_loop_test (tcase, a_request_that_brings_two_targets_down_is_quarantined, 0,
                       G_N_ELEMENTS (poisons));
  tcase_add_test (tcase, a_stopping_entry_refuses_new_requests_and_finishes_open_ones);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
