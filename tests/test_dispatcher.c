/* The dispatcher of a pool: queue order, refusals, failures and entries' reports. */
#include "core/dispatcher/dispatcher.h"

#include <check.h>
#include <stdlib.h>

#define POOL "pool"
#define ENTRY ((DpName)71)
#define START DP_USEC_PER_SEC
#define MSEC DP_USEC_PER_MSEC
/* Requests assigned to a target with one slot: one runs, one is queued at the target. */
#define WINDOW 2

typedef struct Fixture
{
  DpCounters *counters;
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  GArray *outbox;
  DpUsec now;
} Fixture;

static void
add_target (Fixture *fixture, const char *id, guint slots, gboolean is_draining)
{
  DpTargetRecord record = { .port_number = 80, .slots = slots, .is_draining = is_draining };
  g_strlcpy (record.id, id, sizeof record.id);
  g_strlcpy (record.pool, POOL, sizeof record.pool);
  dp_directory_put (fixture->directory, &record);
  dp_dispatcher_set_targets (fixture->dispatcher, fixture->directory, fixture->now,
                             fixture->outbox);
}

static void
set_up (Fixture *fixture)
{
  fixture->counters = dp_counters_new ();
  fixture->directory = dp_directory_new ();
  const DpDispatcherOptions options
    = { .pool = dp_name (POOL), .seed = 5, .is_shared = TRUE, .counters = fixture->counters };
  fixture->dispatcher = dp_dispatcher_new (&options);
  fixture->outbox = dp_dispatch_outbox_new ();
  fixture->now = START;
}

static void
tear_down (Fixture *fixture)
{
  dp_dispatcher_free (fixture->dispatcher);
  dp_directory_free (fixture->directory);
  dp_counters_unref (fixture->counters);
  g_array_unref (fixture->outbox);
}

static void
receive (Fixture *fixture, const DpMessage *message)
{
  dp_dispatcher_receive (fixture->dispatcher, ENTRY, message, fixture->now, fixture->outbox);
}

typedef struct Request
{
  guint64 id;
  guint tier;
  DpUsec objective_left;
  DpUsec remaining;
  gboolean has_begun;
} Request;

static void
send_request (Fixture *fixture, Request row)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, row.id },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = row.remaining,
                                    .objective_left = row.objective_left,
                                    .urgency = row.tier,
                                    .has_begun = row.has_begun,
                                    .repeatable = TRUE };
  receive (fixture, &message);
}

static void
send_done_from (Fixture *fixture, DpName entry, guint64 id, const char *target, DpReason reason)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = { 0, id },
                                      .group = dp_name (POOL),
                                      .target = dp_name (target),
                                      .reason = reason,
                                      .time_to_first_token = 50 * MSEC,
                                      .duration = 200 * MSEC };
  dp_dispatcher_receive (fixture->dispatcher, entry, &message, fixture->now, fixture->outbox);
}

static void
send_done (Fixture *fixture, guint64 id, const char *target, DpReason reason)
{
  send_done_from (fixture, ENTRY, id, target, reason);
}

static void
tick (Fixture *fixture, DpUsec span)
{
  for (DpUsec end = fixture->now + span; fixture->now < end;)
    {
      fixture->now += DP_DISPATCH_TICK_INTERVAL;
      dp_dispatcher_tick (fixture->dispatcher, fixture->now, fixture->outbox);
    }
}

/* Returns the last message of this type about the request, or NULL. */
static const DpMessage *
find_sent (const Fixture *fixture, DpMessageType type, guint64 id)
{
  for (guint i = fixture->outbox->len; i > 0; i--)
    {
      const DpDispatchMessage *outgoing
        = &g_array_index (fixture->outbox, DpDispatchMessage, i - 1);
      if (outgoing->message.type == type && outgoing->message.grant_given.attempt.low == id)
        return &outgoing->message;
    }
  return NULL;
}

/* --- order --- */

typedef struct OrderCase
{
  const char *name;
  Request waiting[3];
  guint64 first; /* assigned when the slot becomes free */
} OrderCase;

static const OrderCase order_cases[] = {
  { "highest tier first",
    { { 11, 1, 500 * MSEC, 4 * DP_USEC_PER_SEC },
      { 12, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC },
      { 13, 2, 500 * MSEC, 4 * DP_USEC_PER_SEC } },
    12 },
  { "on time before late within a tier",
    { { 11, 0, 1 * MSEC, 4 * DP_USEC_PER_SEC },
      { 12, 0, 400 * MSEC, 4 * DP_USEC_PER_SEC },
      { 13, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC } },
    12 },
  { "on time in the next tier before late in the highest",
    { { 11, 0, 1 * MSEC, 4 * DP_USEC_PER_SEC },
      { 12, 1, 400 * MSEC, 4 * DP_USEC_PER_SEC },
      { 13, 2, 500 * MSEC, 4 * DP_USEC_PER_SEC } },
    12 },
  { "late in the highest tier before on time two tiers below",
    { { 11, 0, 1 * MSEC, 4 * DP_USEC_PER_SEC },
      { 12, 2, 400 * MSEC, 4 * DP_USEC_PER_SEC },
      { 13, 2, 500 * MSEC, 4 * DP_USEC_PER_SEC } },
    11 },
  { "a begun stream before new ones on time",
    { { 11, 0, 400 * MSEC, 4 * DP_USEC_PER_SEC },
      { 12, 2, 0, 4 * DP_USEC_PER_SEC, TRUE },
      { 13, 1, 500 * MSEC, 4 * DP_USEC_PER_SEC } },
    12 },
};

START_TEST (a_freed_slot_goes_to_the_first_in_rank)
{
  const OrderCase *row = &order_cases[_i];
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 1, FALSE);
  for (guint64 id = 1; id <= WINDOW; id++)
    send_request (&fixture, (Request){ id, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  for (guint i = 0; i < G_N_ELEMENTS (row->waiting); i++)
    send_request (&fixture, row->waiting[i]);
  send_done (&fixture, 1, "a", DP_REASON_NONE);
  for (guint i = 0; i < G_N_ELEMENTS (row->waiting); i++)
    {
      guint64 id = row->waiting[i].id;
      gboolean given = find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, id) != NULL;
      ck_assert_msg (given == (id == row->first), "%s: request %u", row->name, (guint)id);
    }
  tear_down (&fixture);
}
END_TEST

/* --- targets --- */

START_TEST (no_request_goes_to_a_draining_target)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  add_target (&fixture, "a", 5, TRUE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 1));
  add_target (&fixture, "b", 5, FALSE);
  const DpMessage *given = find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 1);
  ck_assert_ptr_nonnull (given);
  ck_assert_uint_eq (given->grant_given.target, dp_name ("b"));
  tear_down (&fixture);
}
END_TEST

/* A kind of failure, and the minimum time for which the target then gets no requests. */
typedef struct FailureCase
{
  const char *name;
  DpReason reason;
  DpUsec pause;
} FailureCase;

static const FailureCase failure_cases[] = {
  { "unreachable", DP_REASON_CONNECT_FAILED, 200 * MSEC },
  { "unresponsive", DP_REASON_TARGET_SILENT, 200 * MSEC },
  { "full", DP_REASON_NO_TARGET, 20 * MSEC },
};

START_TEST (a_failed_target_is_probed_after_a_pause)
{
  const FailureCase *row = &failure_cases[_i];
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  send_done (&fixture, 1, "a", row->reason);
  send_request (&fixture, (Request){ 2, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  tick (&fixture, row->pause - 2 * DP_DISPATCH_TICK_INTERVAL);
  ck_assert_msg (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 2) == NULL, "%s: used too early",
                 row->name);
  tick (&fixture, 400 * MSEC);
  ck_assert_msg (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 2) != NULL, "%s: not used again",
                 row->name);
  tear_down (&fixture);
}
END_TEST

static void
send_report (Fixture *fixture, guint64 id, const char *target)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held.group = dp_name (POOL);
  message.grant_held.last = TRUE;
  if (id != 0)
    {
      message.grant_held.count = 1;
      message.grant_held.held[0]
        = (DpHeldGrant){ .attempt = { 0, id }, .target = dp_name (target) };
    }
  receive (fixture, &message);
}

START_TEST (requests_of_an_unresponsive_target_are_revoked)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  tick (&fixture, 100 * MSEC);
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REVOKED, 1));
  tick (&fixture, 600 * MSEC);
  const DpMessage *revoked = find_sent (&fixture, DP_MESSAGE_GRANT_REVOKED, 1);
  ck_assert_ptr_nonnull (revoked);
  ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_TARGET_SILENT);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).suspects, 1);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_request_that_has_started_is_not_revoked)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = (DpId){ 0, 1 };
  receive (&fixture, &message);
  tick (&fixture, 2 * DP_USEC_PER_SEC);
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REVOKED, 1));
  tear_down (&fixture);
}
END_TEST

/* --- entries --- */

START_TEST (a_new_owner_adopts_reported_requests)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 1, FALSE);
  send_report (&fixture, 7, "a");
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 1);
  send_done (&fixture, 7, "a", DP_REASON_NONE);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 0);
  tear_down (&fixture);
}
END_TEST

/* A request that another owner has taken over must not fill its target here, or be blamed on
 * it, when this VM owns the pool again soon after. */
START_TEST (an_entry_that_has_left_holds_no_recent_grants)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 1, FALSE);
  for (guint64 id = 1; id <= WINDOW; id++)
    send_request (&fixture, (Request){ id, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, WINDOW);
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held = (DpGrantHeld){ .group = dp_name (POOL), .last = TRUE, .has_left = TRUE };
  receive (&fixture, &message);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 0);
  send_request (&fixture, (Request){ 9, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 9));
  tear_down (&fixture);
}
END_TEST

START_TEST (a_request_missing_from_a_report_is_removed)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  send_report (&fixture, 0, NULL);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 1);
  fixture.now += 1500 * MSEC;
  send_report (&fixture, 0, NULL);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 0);
  tear_down (&fixture);
}
END_TEST

START_TEST (an_unknown_waiting_request_is_revoked)
{
  Fixture fixture;
  set_up (&fixture);
  send_report (&fixture, 9, "");
  const DpMessage *revoked = find_sent (&fixture, DP_MESSAGE_GRANT_REVOKED, 9);
  ck_assert_ptr_nonnull (revoked);
  ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_NO_OWNER);
  tear_down (&fixture);
}
END_TEST

START_TEST (requests_of_a_timed_out_entry_are_removed)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  tick (&fixture, 3 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 0);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_repeated_grant_request_is_counted_once)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  Request row = { 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC };
  send_request (&fixture, row);
  send_request (&fixture, row);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).running, 1);
  tear_down (&fixture);
}
END_TEST

/* One caller's close deadline must not make VMs refuse other callers' requests. */
START_TEST (a_refusal_for_a_close_deadline_is_no_overload)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 1, FALSE);
  for (guint64 id = 1; id <= WINDOW; id++)
    send_request (&fixture, (Request){ id, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  send_request (&fixture, (Request){ 11, 0, 500 * MSEC, 5 * MSEC });
  const DpMessage *refused = find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 11);
  ck_assert_ptr_nonnull (refused);
  ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_DEADLINE_UNREACHABLE);
  ck_assert (!refused->grant_refused.is_overload);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_request_is_refused_before_its_deadline)
{
  Fixture fixture;
  set_up (&fixture);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 1));
  tick (&fixture, 2 * DP_USEC_PER_SEC);
  const DpMessage *refused = find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 1);
  ck_assert_ptr_nonnull (refused);
  ck_assert_int_gt (refused->grant_refused.retry_after, 0);
  tear_down (&fixture);
}
END_TEST

/* --- VMs that have lost their links to targets --- */

START_TEST (a_vm_without_links_does_not_make_targets_suspect)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 5, FALSE);
  send_request (&fixture, (Request){ 1, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held
    = (DpGrantHeld){ .group = dp_name (POOL),
                     .last = TRUE,
                     .is_cut_off = _i > 0,
                     .count = 1,
                     .held = { { .attempt = { 0, 1 }, .target = dp_name ("a") } } };
  receive (&fixture, &message);
  tick (&fixture, 2 * DP_USEC_PER_SEC);
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_REVOKED, 1));
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).suspects, _i > 0 ? 0 : 1);
  send_request (&fixture, (Request){ 2, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  send_done (&fixture, 2, "a", DP_REASON_NO_PATH);
  ck_assert_uint_eq (dp_dispatcher_status (fixture.dispatcher).suspects, _i > 0 ? 0 : 1);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_begun_stream_waits_longer_than_a_new_one)
{
  Fixture fixture;
  set_up (&fixture);
  send_request (&fixture, (Request){ 1, 0, 0, 15 * DP_USEC_PER_SEC, TRUE });
  tick (&fixture, 2 * DP_USEC_PER_SEC);
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 1));
  add_target (&fixture, "a", 1, FALSE);
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 1));
  tear_down (&fixture);
}
END_TEST

START_TEST (a_begun_stream_is_refused_at_its_deadline)
{
  Fixture fixture;
  set_up (&fixture);
  send_request (&fixture, (Request){ 1, 0, 0, 1 * DP_USEC_PER_SEC, TRUE });
  tick (&fixture, 1 * DP_USEC_PER_SEC);
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 1));
  tear_down (&fixture);
}
END_TEST

/* More new requests than the queue holds. */
START_TEST (a_begun_stream_is_not_displaced)
{
  Fixture fixture;
  set_up (&fixture);
  add_target (&fixture, "a", 1, FALSE);
  for (guint64 id = 1; id <= WINDOW; id++)
    send_request (&fixture, (Request){ id, 0, 500 * MSEC, 4 * DP_USEC_PER_SEC });
  send_request (&fixture, (Request){ 11, DP_URGENCY_LEVELS - 1, 0, 4 * DP_USEC_PER_SEC, TRUE });
  for (guint64 id = 100; id < 140; id++)
    send_request (&fixture, (Request){ id, 0, 500 * MSEC, 15 * DP_USEC_PER_SEC });
  send_request (&fixture, (Request){ 12, DP_URGENCY_LEVELS - 1, 0, 4 * DP_USEC_PER_SEC, TRUE });
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 11));
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_REFUSED, 12));
  tear_down (&fixture);
}
END_TEST

/* --- lost links between data centres --- */

static void
add_target_in (Fixture *fixture, const char *id, const char *data_centre)
{
  DpTargetRecord record = { .port_number = 80, .slots = 2 };
  g_strlcpy (record.id, id, sizeof record.id);
  g_strlcpy (record.pool, POOL, sizeof record.pool);
  g_strlcpy (record.data_centre, data_centre, sizeof record.data_centre);
  dp_directory_put (fixture->directory, &record);
  dp_dispatcher_set_targets (fixture->dispatcher, fixture->directory, fixture->now,
                             fixture->outbox);
}

static void
send_request_from (Fixture *fixture, guint64 id, const char *data_centre)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, id },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = 10 * DP_USEC_PER_SEC,
                                    .objective_left = DP_USEC_PER_SEC,
                                    .repeatable = TRUE,
                                    .data_centre = dp_name (data_centre) };
  receive (fixture, &message);
}

/* Returns the target that the request was assigned to, or 0. */
static DpName
assigned_target (const Fixture *fixture, guint64 id)
{
  const DpMessage *message = find_sent (fixture, DP_MESSAGE_GRANT_GIVEN, id);
  return message != NULL ? message->grant_given.target : 0;
}

static gboolean
is_assigned_in (const Fixture *fixture, guint64 id, const char *data_centre)
{
  const DpDirectoryRow *row
    = dp_directory_find (fixture->directory, assigned_target (fixture, id));
  return row != NULL && row->data_centre == dp_name (data_centre);
}

/* Lets requests from data centre a to both targets in b fail until the link counts as lost. */
static void
lose_link (Fixture *fixture)
{
  guint failures[2] = { 0 };
  for (guint64 id = 100; failures[0] == 0 || failures[1] == 0 || failures[0] + failures[1] < 3;
       id++)
    {
      ck_assert_uint_lt (id, 200);
      /* A failed target gets no requests for a while. */
      tick (fixture, 300 * MSEC);
      send_request_from (fixture, id, "a");
      gboolean is_b = is_assigned_in (fixture, id, "b");
      if (is_b)
        failures[assigned_target (fixture, id) == dp_name ("b2")]++;
      send_done (fixture, id, "", is_b ? DP_REASON_CONNECT_FAILED : DP_REASON_NONE);
    }
}

START_TEST (a_lost_link_is_detected_and_tried_again)
{
  Fixture fixture;
  set_up (&fixture);
  add_target_in (&fixture, "b1", "b");
  add_target_in (&fixture, "b2", "b");
  lose_link (&fixture);
  add_target_in (&fixture, "a1", "a");
  /* Only the target in the entry's own data centre is used; requests beyond its capacity wait.
   */
  for (guint64 id = 1; id <= 3; id++)
    {
      send_request_from (&fixture, id, "a");
      ck_assert_msg (is_assigned_in (&fixture, id, "a"), "request %u", (guint)id);
    }
  send_request_from (&fixture, 4, "a");
  ck_assert_uint_eq (assigned_target (&fixture, 4), 0);
  /* The waiting request does not block requests that can reach b. */
  send_request_from (&fixture, 5, "b");
  ck_assert (is_assigned_in (&fixture, 5, "b"));
  /* After a while one request tries the link; once it succeeds, the link is usable again. */
  tick (&fixture, 2200 * MSEC);
  send_request_from (&fixture, 6, "a");
  ck_assert (is_assigned_in (&fixture, 4, "b") != is_assigned_in (&fixture, 6, "b"));
  send_done (&fixture, is_assigned_in (&fixture, 4, "b") ? 4 : 6, "", DP_REASON_NONE);
  send_request_from (&fixture, 7, "a");
  ck_assert (is_assigned_in (&fixture, 7, "b"));
  tear_down (&fixture);
}
END_TEST

/* --- targets that ask for a pause --- */

static const DpDispatchPolicy policies[] = { DP_DISPATCH_QUEUE, DP_DISPATCH_TWO_CHOICES };

START_TEST (a_paused_target_gets_no_requests)
{
  Fixture fixture;
  set_up (&fixture);
  dp_dispatcher_free (fixture.dispatcher);
  const DpDispatcherOptions options = {
    .pool = dp_name (POOL), .seed = 5, .policy = policies[_i], .counters = fixture.counters
  };
  fixture.dispatcher = dp_dispatcher_new (&options);
  add_target (&fixture, "t", 4, FALSE);
  send_request (&fixture, (Request){ 1, 0, 2 * DP_USEC_PER_SEC, 10 * DP_USEC_PER_SEC });
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 1));
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = { 0, 1 },
                                      .group = dp_name (POOL),
                                      .target = dp_name ("t"),
                                      .reason = DP_REASON_NO_TARGET,
                                      .pause = DP_USEC_PER_SEC };
  receive (&fixture, &message);
  send_request (&fixture, (Request){ 2, 0, 2 * DP_USEC_PER_SEC, 10 * DP_USEC_PER_SEC });
  tick (&fixture, 900 * MSEC);
  ck_assert_ptr_null (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 2));
  tick (&fixture, 200 * MSEC);
  ck_assert_ptr_nonnull (find_sent (&fixture, DP_MESSAGE_GRANT_GIVEN, 2));
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatcher");
  TCase *tests = tcase_create ("dispatcher");
  tcase_add_loop_test (tests, a_freed_slot_goes_to_the_first_in_rank, 0,
                       G_N_ELEMENTS (order_cases));
  tcase_add_test (tests, no_request_goes_to_a_draining_target);
  tcase_add_loop_test (tests, a_failed_target_is_probed_after_a_pause, 0,
                       G_N_ELEMENTS (failure_cases));
  tcase_add_test (tests, requests_of_an_unresponsive_target_are_revoked);
  tcase_add_test (tests, a_request_that_has_started_is_not_revoked);
  tcase_add_test (tests, a_new_owner_adopts_reported_requests);
  tcase_add_test (tests, an_entry_that_has_left_holds_no_recent_grants);
  tcase_add_test (tests, a_request_missing_from_a_report_is_removed);
  tcase_add_test (tests, an_unknown_waiting_request_is_revoked);
  tcase_add_test (tests, requests_of_a_timed_out_entry_are_removed);
  tcase_add_test (tests, a_repeated_grant_request_is_counted_once);
  tcase_add_test (tests, a_refusal_for_a_close_deadline_is_no_overload);
  tcase_add_test (tests, a_request_is_refused_before_its_deadline);
  tcase_add_loop_test (tests, a_vm_without_links_does_not_make_targets_suspect, 0, 2);
  tcase_add_test (tests, a_begun_stream_waits_longer_than_a_new_one);
  tcase_add_test (tests, a_begun_stream_is_refused_at_its_deadline);
  tcase_add_test (tests, a_begun_stream_is_not_displaced);
  tcase_add_test (tests, a_lost_link_is_detected_and_tried_again);
  tcase_add_loop_test (tests, a_paused_target_gets_no_requests, 0, G_N_ELEMENTS (policies));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
