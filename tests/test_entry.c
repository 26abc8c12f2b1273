/* Tests of the entry core with single events: validation of requests, grants, streaming,
 * retries, claims and quarantine. */
#include "tests/entry_fixture.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define CALLER 7

typedef struct Harness
{
  DpEntryCore *core;
  DpCounters *counters;
  GArray *actions;
  DpUsec now;
} Harness;

static void
feed (Harness *harness, DpEntryEvent event)
{
  event.now = harness->now;
  event.wall = FIXTURE_WALL + harness->now;
  g_array_set_size (harness->actions, 0);
  dp_entry_handle (harness->core, &event, harness->actions);
}

static void
harness_init (Harness *harness)
{
  memset (harness, 0, sizeof *harness);
  harness->counters = dp_counters_new ();
  harness->now = DP_USEC_PER_SEC;
  DpEntryOptions options = {
    .vm = fixture_vm (0),
    .data_centre = fixture_data_centre (0),
    .incarnation = 1,
    .seed = 5,
    .requests_max = 100,
    .counters = harness->counters,
  };
  harness->core = dp_entry_core_new (&options);
  harness->actions = dp_entry_actions_new ();
  DpManifest *manifest = fixture_manifest ();
  DpView *view = fixture_view ();
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = manifest });
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = view });
  dp_manifest_unref (manifest);
  dp_view_unref (view);
}

static void
harness_clear (Harness *harness)
{
  g_array_unref (harness->actions);
  dp_entry_core_unref (harness->core);
  dp_counters_unref (harness->counters);
}

static const DpEntryAction *
find_action (const Harness *harness, DpEntryActionType type)
{
  for (guint i = 0; i < harness->actions->len; i++)
    {
      const DpEntryAction *action = &g_array_index (harness->actions, DpEntryAction, i);
      if (action->type == type)
        return action;
    }
  return NULL;
}

static const DpEntryAction *
find_message (const Harness *harness, DpMessageType type)
{
  for (guint i = 0; i < harness->actions->len; i++)
    {
      const DpEntryAction *action = &g_array_index (harness->actions, DpEntryAction, i);
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
feed_request (Harness *harness, DpRequestIn in)
{
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_REQUEST, .request = in });
}

/* Answers the pending grant request with the target at this index in the group; returns the
 * resulting dispatch. */
static DpDispatch
grant_target (Harness *harness, guint position)
{
  const DpEntryAction *request = find_message (harness, DP_MESSAGE_GRANT_ASK);
  ck_assert_ptr_nonnull (request);
  DpManifest *manifest = fixture_manifest ();
  int group = dp_manifest_find (manifest, DP_MANIFEST_GROUP, request->message.grant_ask.group);
  ck_assert_int_ge (group, 0);
  const DpGroup *row = DP_MANIFEST_ROW (manifest, groups, DpGroup, group);
  guint index = g_array_index (row->targets, guint, MIN (position, row->targets->len - 1));
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = request->message.grant_ask.attempt;
  message.grant_given.group = request->message.grant_ask.group;
  message.grant_given.target = DP_MANIFEST_ROW (manifest, targets, DpTarget, index)->name;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = request->to };
  event.message = &message;
  feed (harness, event);
  dp_manifest_unref (manifest);
  const DpEntryAction *dispatch = find_action (harness, DP_ENTRY_ACTION_DISPATCH);
  ck_assert_ptr_nonnull (dispatch);
  return dispatch->dispatch;
}

static DpDispatch
grant (Harness *harness)
{
  return grant_target (harness, 0);
}

static void
feed_head (Harness *harness, DpId attempt, int status)
{
  DpTargetHead head = { .attempt = attempt, .status = status };
  head.content_type = "text/event-stream";
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_HEAD, .head = head });
}

static void
feed_chunk (Harness *harness, DpId attempt, const char *text, gboolean terminal)
{
  DpTargetChunk chunk = { .attempt = attempt, .data = text, .length = strlen (text) };
  chunk.tokens = terminal ? 0 : 1;
  chunk.terminal = terminal;
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_CHUNK, .chunk = chunk });
}

static void
feed_end (Harness *harness, DpId attempt, gboolean complete)
{
  DpTargetEnd end = { .attempt = attempt, .framing_complete = complete };
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_END, .end = end });
}

START_TEST (stream_is_forwarded_from_grant_to_end)
{
  Harness harness;
  harness_init (&harness);
  feed_request (&harness, chat_request ());
  DpDispatch dispatch = grant (&harness);
  feed_head (&harness, dispatch.attempt, 200);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_HEAD));
  feed_chunk (&harness, dispatch.attempt, "data: a\n\n", FALSE);
  ck_assert_int_eq (find_action (&harness, DP_ENTRY_ACTION_HEAD)->head.status, 200);
  ck_assert_ptr_nonnull (find_action (&harness, DP_ENTRY_ACTION_FORWARD));
  ck_assert_ptr_nonnull (find_message (&harness, DP_MESSAGE_GRANT_PROGRESS));
  feed_chunk (&harness, dispatch.attempt, "data: [DONE]\n\n", TRUE);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_FORWARD));
  feed_end (&harness, dispatch.attempt, TRUE);
  const DpEntryAction *tail = find_action (&harness, DP_ENTRY_ACTION_FORWARD);
  ck_assert_int_eq (memcmp (tail->forward.data, "data: [DONE]", 12), 0);
  ck_assert_ptr_nonnull (find_action (&harness, DP_ENTRY_ACTION_END));
  ck_assert_int_eq (find_message (&harness, DP_MESSAGE_GRANT_DONE)->message.grant_done.reason,
                    DP_REASON_NONE);
  ck_assert_uint_eq (dp_entry_open_requests (harness.core), 0);
  harness_clear (&harness);
}
END_TEST

/* Ways in which an answer can end incomplete. */
typedef struct TruncationCase
{
  const char *name;
  gboolean terminal;
  gboolean framing_complete;
} TruncationCase;

static const TruncationCase truncation_cases[] = {
  { "framing ends without the end event", FALSE, TRUE },
  { "end event without complete framing", TRUE, FALSE },
  { "neither", FALSE, FALSE },
};

START_TEST (truncated_answer_is_resumed_on_another_target)
{
  const TruncationCase *row = &truncation_cases[_i];
  Harness harness;
  harness_init (&harness);
  feed_request (&harness, chat_request ());
  DpDispatch first = grant (&harness);
  feed_head (&harness, first.attempt, 200);
  feed_chunk (&harness, first.attempt, "data: a\n\n", FALSE);
  if (row->terminal)
    feed_chunk (&harness, first.attempt, "data: [DONE]\n\n", TRUE);
  feed_end (&harness, first.attempt, row->framing_complete);
  ck_assert_msg (find_action (&harness, DP_ENTRY_ACTION_END) == NULL, "%s", row->name);
  const DpEntryAction *request = find_message (&harness, DP_MESSAGE_GRANT_ASK);
  ck_assert_uint_eq (request->message.grant_ask.sent_tokens, 1);
  ck_assert_uint_eq (request->message.grant_ask.excluded_count, 1);
  ck_assert_uint_eq (request->message.grant_ask.excluded[0], first.target);
  harness_clear (&harness);
}
END_TEST

/* Requests that fail validation. */
typedef struct RefusalCase
{
  const char *name;
  const char *access;
  const char *method;
  const char *path;
  const char *model;
  const char *key; /* NULL: none; "old", "future", "new": generated by make_key() */
  DpReason reason;
  DpOutcome outcome;
} RefusalCase;

static const RefusalCase refusal_cases[] = {
  { "no access key", NULL, "POST", "/v1/chat/completions", "verge", NULL,
    DP_REASON_UNAUTHORIZED, DP_OUTCOME_NOT_RUN },
  { "wrong access key", "33", "POST", "/v1/chat/completions", "verge", NULL,
    DP_REASON_UNAUTHORIZED, DP_OUTCOME_NOT_RUN },
  { "no such path", FIXTURE_KEY, "POST", "/v2", "verge", NULL, DP_REASON_NO_SUCH_PATH,
    DP_OUTCOME_NOT_RUN },
  { "no such service", FIXTURE_KEY, "POST", "/services/none/bookings", NULL, NULL,
    DP_REASON_NO_SUCH_PATH, DP_OUTCOME_NOT_RUN },
  { "unlisted call", FIXTURE_KEY, "POST", "/services/rota/other", NULL, NULL,
    DP_REASON_NO_SUCH_PATH, DP_OUTCOME_NOT_RUN },
  { "no such model", FIXTURE_KEY, "POST", "/v1/chat/completions", "none", NULL,
    DP_REASON_NO_SUCH_MODEL, DP_OUTCOME_NOT_RUN },
  { "no key for a call that must not be repeated", FIXTURE_KEY, "POST",
    "/services/rota/bookings", NULL, NULL, DP_REASON_KEY_REQUIRED, DP_OUTCOME_NOT_RUN },
  { "key that is not a UUID", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL, "order-17",
    DP_REASON_KEY_MALFORMED, DP_OUTCOME_NOT_RUN },
  { "UUID version 4", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL,
    "9f0c1b6e-0a5c-4d7b-8a61-5b1f0c8f2f11", DP_REASON_KEY_MALFORMED, DP_OUTCOME_NOT_RUN },
  { "expired key", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL, "old",
    DP_REASON_KEY_EXPIRED, DP_OUTCOME_UNKNOWN },
  { "key with a timestamp in the future", FIXTURE_KEY, "POST", "/services/rota/bookings", NULL,
    "future", DP_REASON_KEY_MALFORMED, DP_OUTCOME_UNKNOWN },
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
  const RefusalCase *row = &refusal_cases[_i];
  Harness harness;
  harness_init (&harness);
  char *key = make_key (row->key, FIXTURE_WALL + harness.now);
  DpRequestIn in = { .caller = CALLER, .key_sha256 = row->access, .method = row->method };
  in.path = row->path;
  in.model = row->model;
  in.idempotency_key = key;
  feed_request (&harness, in);
  ck_assert_msg (harness.actions->len == 1, "%s", row->name);
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_msg (answer != NULL, "%s", row->name);
  ck_assert_msg (answer->problem.reason == row->reason, "%s: %s", row->name,
                 dp_reason_name (answer->problem.reason));
  ck_assert_msg (answer->problem.outcome == row->outcome, "%s", row->name);
  ck_assert_uint_eq (dp_entry_open_requests (harness.core), 0);
  g_free (key);
  harness_clear (&harness);
}
END_TEST

START_TEST (grant_for_an_ended_request_is_returned)
{
  Harness harness;
  harness_init (&harness);
  feed_request (&harness, chat_request ());
  DpEntryAction request = *find_message (&harness, DP_MESSAGE_GRANT_ASK);
  feed (&harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = request.message.grant_ask.attempt;
  message.grant_given.group = request.message.grant_ask.group;
  message.grant_given.target = 1;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = request.to };
  event.message = &message;
  feed (&harness, event);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_DISPATCH));
  ck_assert_ptr_nonnull (find_message (&harness, DP_MESSAGE_GRANT_DONE));
  harness_clear (&harness);
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

/* Answers the pending read with ABSENT and the following write with OK. */
static void
confirm_claim (Harness *harness)
{
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (harness, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_ABSENT;
  feed (harness, reply);
  ck_assert_ptr_nonnull (find_action (harness, DP_ENTRY_ACTION_CLAIM_WRITE));
  reply.claim.is_write = TRUE;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  feed (harness, reply);
}

START_TEST (claim_is_read_again_after_a_pause)
{
  Harness harness;
  harness_init (&harness);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&harness, booking_request (key));
  confirm_claim (&harness);
  DpEntryAction request = *find_message (&harness, DP_MESSAGE_GRANT_ASK);
  /* The grant is in the socket buffer while the process is paused. */
  harness.now += 3 * DP_USEC_PER_SEC;
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = request.message.grant_ask.attempt;
  message.grant_given.group = request.message.grant_ask.group;
  message.grant_given.target = 1;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE, .from = request.to };
  event.message = &message;
  feed (&harness, event);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_DISPATCH));
  ck_assert_ptr_nonnull (find_action (&harness, DP_ENTRY_ACTION_CLAIM_READ));
  g_free (key);
  harness_clear (&harness);
}
END_TEST

START_TEST (claim_marked_unknown_during_a_pause_is_not_sent)
{
  Harness harness;
  harness_init (&harness);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&harness, booking_request (key));
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (&harness, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_ABSENT;
  feed (&harness, reply);
  const GArray *written
    = find_action (&harness, DP_ENTRY_ACTION_CLAIM_WRITE)->claim_write.records;
  DpClaimRecord marked = g_array_index (written, DpClaimRecord, 0);
  marked.state = DP_CLAIM_UNKNOWN;
  reply.claim.is_write = TRUE;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  feed (&harness, reply);
  harness.now += 3 * DP_USEC_PER_SEC;
  feed (&harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
  reply.claim.is_write = FALSE;
  reply.claim.version = 2;
  reply.claim.records = g_array_new (FALSE, FALSE, sizeof (DpClaimRecord));
  g_array_append_val (reply.claim.records, marked);
  feed (&harness, reply);
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_RESUMED_AFTER_PAUSE);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  ck_assert_ptr_null (find_message (&harness, DP_MESSAGE_GRANT_ASK));
  g_array_unref (reply.claim.records);
  g_free (key);
  harness_clear (&harness);
}
END_TEST

START_TEST (full_bucket_accepts_no_further_keys)
{
  Harness harness;
  harness_init (&harness);
  char *key = fixture_uuid (FIXTURE_WALL, 1);
  feed_request (&harness, booking_request (key));
  DpEntryEvent reply = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  reply.claim.bucket = find_action (&harness, DP_ENTRY_ACTION_CLAIM_READ)->claim_read;
  reply.claim.result = DP_STORE_OK;
  reply.claim.version = 1;
  reply.claim.records = g_array_new (FALSE, TRUE, sizeof (DpClaimRecord));
  g_array_set_size (reply.claim.records, 5000);
  feed (&harness, reply);
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_ptr_nonnull (answer);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_OVERLOADED_ENTRY);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  ck_assert (!answer->problem.sent);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_CLAIM_WRITE));
  g_array_unref (reply.claim.records);
  g_free (key);
  harness_clear (&harness);
}
END_TEST

START_TEST (disconnected_caller_cancels_the_attempt)
{
  Harness harness;
  harness_init (&harness);
  feed_request (&harness, chat_request ());
  DpDispatch dispatch = grant (&harness);
  feed (&harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
  const DpEntryAction *cancel = find_action (&harness, DP_ENTRY_ACTION_CANCEL);
  ck_assert_ptr_nonnull (cancel);
  ck_assert (dp_id_equal (cancel->cancel, dispatch.attempt));
  ck_assert_int_eq (find_message (&harness, DP_MESSAGE_GRANT_DONE)->message.grant_done.reason,
                    DP_REASON_CALLER_GONE);
  ck_assert_uint_eq (
    dp_counters_get (harness.counters, "dogwoodplank_wasted_prompt_tokens_total", NULL, NULL),
    20);
  ck_assert_uint_eq (dp_entry_open_requests (harness.core), 0);
  harness_clear (&harness);
}
END_TEST

START_TEST (retries_are_limited_by_the_budget)
{
  Harness harness;
  harness_init (&harness);
  guint retries = 0;
  /* The first attempt of each request fails; each is retried at most once. */
  for (guint i = 0; i < 30; i++)
    {
      DpRequestIn in = chat_request ();
      in.body_hash = i;
      feed_request (&harness, in);
      DpTargetFailed failed = { .attempt = grant (&harness).attempt };
      failed.reason = DP_REASON_CONNECT_FAILED;
      failed.nothing_sent = TRUE;
      feed (&harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_FAILED, .failed = failed });
      const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
      retries += answer == NULL ? 1 : 0;
      if (answer == NULL)
        feed (&harness,
              (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
      else
        ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_NOT_RUN);
    }
  ck_assert_uint_eq (retries, 10);
  harness_clear (&harness);
}
END_TEST

static void
feed_failed (Harness *harness, DpId attempt, DpReason reason)
{
  DpTargetFailed failed = { .attempt = attempt, .reason = reason };
  feed (harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TARGET_FAILED, .failed = failed });
}

/* Nothing was sent to the caller yet, so it gets an error response, not an aborted answer. */
START_TEST (failure_before_the_first_token_is_answered_with_an_error)
{
  Harness harness;
  harness_init (&harness);
  DpRequestIn in = chat_request ();
  in.timeout = 20 * DP_USEC_PER_MSEC; /* too short for a retry */
  feed_request (&harness, in);
  DpDispatch dispatch = grant (&harness);
  feed_head (&harness, dispatch.attempt, 200);
  feed_failed (&harness, dispatch.attempt, DP_REASON_TARGET_SILENT);
  ck_assert_ptr_null (find_action (&harness, DP_ENTRY_ACTION_ABORT));
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_ptr_nonnull (answer);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_TARGET_SILENT);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_UNKNOWN);
  harness_clear (&harness);
}
END_TEST

/* Targets that crash while they run a request and the caller's repetition of it. */
typedef struct QuarantineCase
{
  const char *name;
  guint targets[2];
  gboolean served_by_other; /* another target answers the same request completely in between */
  gboolean quarantined;
} QuarantineCase;

static const QuarantineCase quarantine_cases[] = {
  { "two targets crashed", { 0, 1 }, FALSE, TRUE },
  { "one target crashed twice", { 0, 0 }, FALSE, FALSE },
  { "another target served it", { 0, 1 }, TRUE, FALSE },
};

START_TEST (request_that_crashes_two_targets_is_quarantined)
{
  const QuarantineCase *row = &quarantine_cases[_i];
  Harness harness;
  harness_init (&harness);
  for (guint i = 0; i < G_N_ELEMENTS (row->targets); i++)
    {
      feed_request (&harness, chat_request ());
      DpDispatch broken = grant_target (&harness, row->targets[i]);
      feed_failed (&harness, broken.attempt, DP_REASON_TARGET_BROKE);
      if (find_action (&harness, DP_ENTRY_ACTION_PROBLEM) != NULL)
        break;
      DpDispatch other = grant_target (&harness, 1 - row->targets[i]);
      if (!row->served_by_other)
        {
          feed (&harness,
                (DpEntryEvent){ .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = CALLER });
          continue;
        }
      feed_head (&harness, other.attempt, 200);
      feed_chunk (&harness, other.attempt, "data: [DONE]\n\n", TRUE);
      feed_end (&harness, other.attempt, TRUE);
    }
  feed_request (&harness, chat_request ());
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  gboolean refused = answer != NULL && answer->problem.reason == DP_REASON_QUARANTINED;
  ck_assert_msg (refused == row->quarantined, "%s", row->name);
  harness_clear (&harness);
}
END_TEST

START_TEST (stopping_entry_refuses_new_requests_and_finishes_open_ones)
{
  Harness harness;
  harness_init (&harness);
  feed_request (&harness, chat_request ());
  DpDispatch dispatch = grant (&harness);
  feed (&harness, (DpEntryEvent){ .type = DP_ENTRY_EVENT_STOP });
  DpRequestIn in = chat_request ();
  in.caller = CALLER + 1;
  feed_request (&harness, in);
  const DpEntryAction *answer = find_action (&harness, DP_ENTRY_ACTION_PROBLEM);
  ck_assert_int_eq (answer->problem.reason, DP_REASON_STOPPING);
  ck_assert_int_eq (answer->problem.outcome, DP_OUTCOME_NOT_RUN);
  feed_head (&harness, dispatch.attempt, 200);
  feed_chunk (&harness, dispatch.attempt, "data: [DONE]\n\n", TRUE);
  feed_end (&harness, dispatch.attempt, TRUE);
  ck_assert_ptr_nonnull (find_action (&harness, DP_ENTRY_ACTION_END));
  ck_assert_uint_eq (dp_entry_open_requests (harness.core), 0);
  harness_clear (&harness);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *tcase = tcase_create ("entry");
  tcase_add_test (tcase, stream_is_forwarded_from_grant_to_end);
  tcase_add_loop_test (tcase, truncated_answer_is_resumed_on_another_target, 0,
                       G_N_ELEMENTS (truncation_cases));
  tcase_add_loop_test (tcase, refusals_at_the_door, 0, G_N_ELEMENTS (refusal_cases));
  tcase_add_test (tcase, grant_for_an_ended_request_is_returned);
  tcase_add_test (tcase, claim_is_read_again_after_a_pause);
  tcase_add_test (tcase, claim_marked_unknown_during_a_pause_is_not_sent);
  tcase_add_test (tcase, full_bucket_accepts_no_further_keys);
  tcase_add_test (tcase, disconnected_caller_cancels_the_attempt);
  tcase_add_test (tcase, retries_are_limited_by_the_budget);
  tcase_add_test (tcase, failure_before_the_first_token_is_answered_with_an_error);
  tcase_add_loop_test (tcase, request_that_crashes_two_targets_is_quarantined, 0,
                       G_N_ELEMENTS (quarantine_cases));
  tcase_add_test (tcase, stopping_entry_refuses_new_requests_and_finishes_open_ones);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
