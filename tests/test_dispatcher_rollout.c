/* Roll-outs in the dispatcher of a pool: which targets a grant names in each state, and a whole
 * roll-out in virtual time with 110 VMs, late messages and a cut. */
#include "core/dispatcher/dispatcher.h"

#include <check.h>
#include <stdlib.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (100 * SEC)
#define OLD "v1"
#define NEW "v2"
#define TARGETS 20 /* of each version */
#define SLOTS 7
#define VMS 110
#define VMS_CUT 37
#define VMS_LATE 20
#define LATE (60 * MSEC)
/* VMs learn of the new targets this long after the order, at the latest. */
#define TARGETS_KNOWN (900 * MSEC)
#define CUT_AT (START + 6 * SEC)
#define CUT_END (CUT_AT + 4 * SEC)
#define DURATION (30 * SEC)
#define HORIZON 4096 /* ms */
#define PER_SECOND 150
#define SEEDS 6
#define EXPOSE_SHARE 0.1
#define EXPOSE_SLACK 50

static const DpRolloutOptions options = { EXPOSE_SHARE, EXPOSE_SLACK, 5 * SEC };

typedef struct Pool
{
  DpCounters *counters;
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  GArray *outbox;
  DpUsec now;
} Pool;

static void
add_targets (Pool *pool, const char *version)
{
  for (guint i = 0; i < TARGETS; i++)
    {
      DpTargetRecord record = { .port_number = 80, .slots = SLOTS };
      g_snprintf (record.id, sizeof record.id, "%s-%u", version, i);
      g_strlcpy (record.pool, POOL, sizeof record.pool);
      record.version = dp_software_version (version);
      dp_directory_put (pool->directory, &record);
    }
  dp_dispatcher_set_targets (pool->dispatcher, pool->directory, pool->now, pool->outbox);
}

static void
set_up (Pool *pool, gboolean is_plain, gboolean is_shared)
{
  pool->counters = dp_counters_new ();
  pool->directory = dp_directory_new ();
  const DpDispatcherOptions row
    = { .pool = dp_name (POOL),
        .seed = 5,
        .policy = is_plain ? DP_DISPATCH_TWO_CHOICES : DP_DISPATCH_QUEUE,
        .is_shared = is_shared,
        .counters = pool->counters };
  pool->dispatcher = dp_dispatcher_new (&row);
  pool->outbox = dp_dispatch_outbox_new ();
  pool->now = START;
}

static void
tear_down (Pool *pool)
{
  dp_dispatcher_free (pool->dispatcher);
  dp_directory_free (pool->directory);
  dp_counters_unref (pool->counters);
  g_array_unref (pool->outbox);
}

static void
set_order (Pool *pool, DpRolloutState state)
{
  const DpRolloutOrder order = { .id = 7,
                                 .version = dp_name (NEW),
                                 .duration = DURATION,
                                 .age = pool->now - START,
                                 .state = state };
  dp_dispatcher_set_rollout (pool->dispatcher, &options, &order, pool->now, pool->outbox);
}

/* --- grants by state --- */

typedef enum Result
{
  RESULT_OLD,
  RESULT_NEW,
  RESULT_WAITS,
  RESULT_GONE, /* refused: no target of the stream's version may be used */
} Result;

typedef struct GrantCase
{
  const char *name;
  DpRolloutState state;
  gboolean is_plain;
  gboolean is_shared;
  gboolean has_old;
  const char *stream; /* version that began it; NULL: a new request */
  Result result;
} GrantCase;

static const GrantCase grant_cases[] = {
  { "running, nothing counted yet", DP_ROLLOUT_RUNNING, FALSE, TRUE, TRUE, NULL, RESULT_OLD },
  { "running, plain", DP_ROLLOUT_RUNNING, TRUE, TRUE, TRUE, NULL, RESULT_OLD },
  { "running, each VM for itself", DP_ROLLOUT_RUNNING, TRUE, FALSE, TRUE, NULL, RESULT_OLD },
  { "running, stream of the old", DP_ROLLOUT_RUNNING, FALSE, TRUE, TRUE, OLD, RESULT_OLD },
  { "running, stream of the new", DP_ROLLOUT_RUNNING, FALSE, TRUE, TRUE, NEW, RESULT_WAITS },
  { "no state yet", DP_ROLLOUT_NONE, FALSE, TRUE, TRUE, NULL, RESULT_OLD },
  { "no other version", DP_ROLLOUT_RUNNING, FALSE, TRUE, FALSE, NULL, RESULT_NEW },
  { "switching", DP_ROLLOUT_SWITCHING, FALSE, TRUE, TRUE, NULL, RESULT_NEW },
  { "switching, plain", DP_ROLLOUT_SWITCHING, TRUE, TRUE, TRUE, NULL, RESULT_NEW },
  { "switching, each for itself", DP_ROLLOUT_SWITCHING, TRUE, FALSE, TRUE, NULL, RESULT_OLD },
  { "switching, stream of the old", DP_ROLLOUT_SWITCHING, FALSE, TRUE, TRUE, OLD, RESULT_OLD },
  { "completed", DP_ROLLOUT_COMPLETED, FALSE, TRUE, TRUE, NULL, RESULT_NEW },
  { "completed, each for itself", DP_ROLLOUT_COMPLETED, TRUE, FALSE, TRUE, NULL, RESULT_NEW },
  { "completed, stream of the old", DP_ROLLOUT_COMPLETED, FALSE, TRUE, TRUE, OLD, RESULT_GONE },
  { "rolled back", DP_ROLLOUT_ROLLED_BACK, FALSE, TRUE, TRUE, NULL, RESULT_OLD },
  { "rolled back, plain", DP_ROLLOUT_ROLLED_BACK, TRUE, FALSE, TRUE, NULL, RESULT_OLD },
  { "rolled back, stream of the new", DP_ROLLOUT_ROLLED_BACK, FALSE, TRUE, TRUE, NEW,
    RESULT_GONE },
  { "uncertain", DP_ROLLOUT_UNCERTAIN, FALSE, TRUE, TRUE, NULL, RESULT_OLD },
  { "uncertain, stream of the new", DP_ROLLOUT_UNCERTAIN, FALSE, TRUE, TRUE, NEW,
    RESULT_WAITS },
};

static gboolean
is_new_target (DpName target)
{
  char id[DP_TARGET_TEXT_BYTES];
  for (guint i = 0; i < TARGETS; i++)
    {
      g_snprintf (id, sizeof id, NEW "-%u", i);
      if (dp_name (id) == target)
        return TRUE;
    }
  return FALSE;
}

static Result
read_result (const Pool *pool)
{
  Result result = RESULT_WAITS;
  for (guint i = 0; i < pool->outbox->len; i++)
    {
      const DpMessage *message = &g_array_index (pool->outbox, DpDispatchMessage, i).message;
      if (message->type == DP_MESSAGE_GRANT_GIVEN)
        result = is_new_target (message->grant_given.target) ? RESULT_NEW : RESULT_OLD;
      if (message->type == DP_MESSAGE_GRANT_REFUSED)
        {
          ck_assert_int_eq (message->grant_refused.reason, DP_REASON_VERSION_GONE);
          result = RESULT_GONE;
        }
    }
  return result;
}

/* A grant must name no target that the state forbids, and none is left out that it allows. */
START_TEST (grants_keep_to_the_state)
{
  const GrantCase *row = &grant_cases[_i];
  Pool pool;
  set_up (&pool, row->is_plain, row->is_shared);
  set_order (&pool, row->state);
  if (row->has_old)
    add_targets (&pool, OLD);
  add_targets (&pool, NEW);
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, 1 },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = 10 * SEC,
                                    .objective_left = SEC,
                                    .version = row->stream != NULL ? dp_name (row->stream) : 0,
                                    .has_begun = row->stream != NULL,
                                    .repeatable = TRUE };
  dp_dispatcher_receive (pool.dispatcher, 71, &message, pool.now, pool.outbox);
  ck_assert_msg (read_result (&pool) == row->result, "%s: %d", row->name, read_result (&pool));
  tear_down (&pool);
}
END_TEST

/* --- a whole roll-out --- */

typedef struct Version
{
  const char *name;
  DpRolloutState result;
  double failing; /* part of the answers */
  double silent;  /* part of the requests that get no answer */
  guint route;    /* only there; 0: on all */
  gboolean is_plain;
  gboolean has_cut;
} Version;

static const Version versions[] = {
  { "good", DP_ROLLOUT_COMPLETED, 0, 0, 0, FALSE, FALSE },
  { "good, cut", DP_ROLLOUT_COMPLETED, 0, 0, 0, FALSE, TRUE },
  { "good, plain", DP_ROLLOUT_COMPLETED, 0, 0, 0, TRUE, FALSE },
  { "failing", DP_ROLLOUT_ROLLED_BACK, 0.3, 0, 0, FALSE, FALSE },
  { "failing, plain", DP_ROLLOUT_ROLLED_BACK, 0.3, 0, 0, TRUE, TRUE },
  { "failing, cut", DP_ROLLOUT_ROLLED_BACK, 0.3, 0, 0, FALSE, TRUE },
  { "silent", DP_ROLLOUT_ROLLED_BACK, 0, 0.5, 0, FALSE, FALSE },
  { "failing on one route", DP_ROLLOUT_ROLLED_BACK, 0.5, 0, 2, FALSE, FALSE },
};

typedef struct Attempt
{
  guint64 id;
  guint vm;
  guint route;
  guint failures;
  DpName excluded;
  DpName target;
  DpUsec sent_at;
  gboolean is_new;
} Attempt;

/* A message that reaches the owner, or a request that begins, at a certain time. */
typedef struct Event
{
  Attempt attempt;
  gboolean is_ask;
  DpGrantDone done;
} Event;

typedef struct Fleet
{
  Pool pool;
  const Version *version;
  guint64 random;
  guint64 last_id;
  GHashTable *attempts;       /* id -> Attempt */
  GHashTable *is_new_by_name; /* DpName of a target, if it is new */
  GArray *events[HORIZON];    /* Event */
  guint requests;
  guint exposed;
  guint exposed_by_route[3];
  guint bad;
} Fleet;

static double
draw (Fleet *fleet)
{
  fleet->random = dp_hash_bytes (&fleet->random, sizeof fleet->random, 7);
  return (double)(fleet->random % 1000000) / 1000000;
}

static gboolean
is_cut (const Fleet *fleet, guint vm)
{
  return fleet->version->has_cut && vm < VMS_CUT && fleet->pool.now >= CUT_AT
         && fleet->pool.now < CUT_END;
}

static void
schedule (Fleet *fleet, DpUsec delay, const Event *event)
{
  gboolean is_late = event->attempt.vm >= VMS - VMS_LATE;
  DpUsec due = fleet->pool.now + MAX (delay, MSEC) + (is_late ? LATE : 0);
  ck_assert_int_lt (due - fleet->pool.now, HORIZON * MSEC);
  g_array_append_val (fleet->events[due / MSEC % HORIZON], *event);
}

static void
ask (Fleet *fleet, Attempt attempt)
{
  attempt.id = ++fleet->last_id;
  g_hash_table_insert (fleet->attempts, g_memdup2 (&attempt.id, sizeof attempt.id),
                       g_memdup2 (&attempt, sizeof attempt));
  const Event event = { .attempt = attempt, .is_ask = TRUE };
  schedule (fleet, MSEC, &event);
}

static gboolean
is_bad (Fleet *fleet, const Attempt *attempt, double part)
{
  double fate = draw (fleet);
  guint route = fleet->version->route;
  return attempt->is_new && (route == 0 || route == attempt->route) && fate < part;
}

/* The VM sends the request to its target, which answers. */
static void
on_grant (Fleet *fleet, Attempt *attempt, const DpGrantGiven *given)
{
  Event event
    = { .done = { .attempt = given->attempt, .group = given->group, .target = given->target } };
  attempt->target = given->target;
  attempt->is_new = g_hash_table_contains (fleet->is_new_by_name, &given->target);
  gboolean is_known = fleet->pool.now - START >= TARGETS_KNOWN * attempt->vm / VMS;
  event.attempt = *attempt;
  fleet->exposed += attempt->is_new && is_known;
  fleet->exposed_by_route[attempt->route] += attempt->is_new && is_known;
  double time = 60 + 60 * draw (fleet);
  gboolean has_failed = is_bad (fleet, attempt, fleet->version->failing);
  gboolean is_silent = is_bad (fleet, attempt, fleet->version->silent);
  fleet->bad += has_failed || is_silent;
  if (is_cut (fleet, attempt->vm))
    return;
  event.done.time_to_first_token = (DpUsec)(time / 2 * (double)MSEC);
  event.done.duration = (DpUsec)(time * (double)MSEC);
  if (!is_known && attempt->is_new)
    event.done = (DpGrantDone){ .attempt = given->attempt,
                                .target = given->target,
                                .reason = DP_REASON_NO_TARGET };
  else if (has_failed)
    event.done.reason = DP_REASON_TARGET_ERROR;
  if (!is_silent)
    schedule (fleet, event.done.duration, &event);
}

static void
retry (Fleet *fleet, const Attempt *attempt)
{
  Attempt next = *attempt;
  next.failures++;
  next.excluded = attempt->target;
  if (next.failures < 3)
    ask (fleet, next);
}

static void
read_outbox (Fleet *fleet)
{
  GArray *outbox = fleet->pool.outbox;
  fleet->pool.outbox = dp_dispatch_outbox_new ();
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpMessage *message = &g_array_index (outbox, DpDispatchMessage, i).message;
      Attempt *attempt = NULL;
      if (message->type == DP_MESSAGE_GRANT_GIVEN)
        attempt = g_hash_table_lookup (fleet->attempts, &message->grant_given.attempt.low);
      if (message->type == DP_MESSAGE_GRANT_REVOKED)
        attempt = g_hash_table_lookup (fleet->attempts, &message->grant_revoked.attempt.low);
      if (attempt == NULL)
        continue;
      if (message->type == DP_MESSAGE_GRANT_GIVEN)
        on_grant (fleet, attempt, &message->grant_given);
      else
        retry (fleet, attempt);
    }
  g_array_unref (outbox);
}

static void
deliver (Fleet *fleet, const Event *event)
{
  const Attempt *attempt = &event->attempt;
  if (is_cut (fleet, attempt->vm))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE, .grant_done = event->done };
  if (event->is_ask)
    {
      message.type = DP_MESSAGE_GRANT_ASK;
      message.grant_ask = (DpGrantAsk){ .attempt = { 0, attempt->id },
                                        .group = dp_name (POOL),
                                        .prompt_tokens = 1000,
                                        .remaining = 4 * SEC,
                                        .objective_left = SEC,
                                        .excluded_count = attempt->failures > 0,
                                        .excluded = { attempt->excluded },
                                        .route = attempt->route,
                                        .repeatable = TRUE };
    }
  dp_dispatcher_receive (fleet->pool.dispatcher, attempt->vm + 1, &message, fleet->pool.now,
                         fleet->pool.outbox);
  read_outbox (fleet);
  if (!event->is_ask && event->done.reason != DP_REASON_NONE)
    retry (fleet, attempt);
}

static void
arrive (Fleet *fleet)
{
  if (draw (fleet) >= (double)PER_SECOND / 1000)
    return;
  fleet->requests++;
  Attempt attempt = { .vm = (guint)(draw (fleet) * VMS) };
  attempt.route = draw (fleet) < 0.7 ? 1 : 2;
  ask (fleet, attempt);
}

static void
set_up_fleet (Fleet *fleet, const Version *version, guint64 seed)
{
  *fleet = (Fleet){ .version = version, .random = seed };
  set_up (&fleet->pool, version->is_plain, TRUE);
  fleet->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fleet->is_new_by_name = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < TARGETS; i++)
    {
      char id[DP_TARGET_TEXT_BYTES];
      g_snprintf (id, sizeof id, NEW "-%u", i);
      DpName name = dp_name (id);
      g_hash_table_add (fleet->is_new_by_name, g_memdup2 (&name, sizeof name));
    }
  for (guint i = 0; i < HORIZON; i++)
    fleet->events[i] = g_array_new (FALSE, FALSE, sizeof (Event));
  add_targets (&fleet->pool, OLD);
  set_order (&fleet->pool, DP_ROLLOUT_RUNNING);
  add_targets (&fleet->pool, NEW);
}

static void
tear_down_fleet (Fleet *fleet)
{
  for (guint i = 0; i < HORIZON; i++)
    g_array_unref (fleet->events[i]);
  g_hash_table_unref (fleet->attempts);
  g_hash_table_unref (fleet->is_new_by_name);
  tear_down (&fleet->pool);
}

/* Runs until the owner wants a final state or the time limit. */
static DpRolloutStatus
run (Fleet *fleet)
{
  DpRolloutStatus status = { 0 };
  Pool *pool = &fleet->pool;
  for (; pool->now < START + DURATION; pool->now += MSEC)
    {
      GArray *events = fleet->events[pool->now / MSEC % HORIZON];
      for (guint i = 0; i < events->len; i++)
        {
          const Event event = g_array_index (events, Event, i);
          deliver (fleet, &event);
        }
      g_array_set_size (events, 0);
      arrive (fleet);
      if (pool->now % DP_DISPATCH_TICK_INTERVAL != 0)
        continue;
      dp_dispatcher_tick (pool->dispatcher, pool->now, pool->outbox);
      read_outbox (fleet);
      ck_assert (dp_dispatcher_rollout_status (pool->dispatcher, &status));
      if (status.state == DP_ROLLOUT_COMPLETED || status.state == DP_ROLLOUT_ROLLED_BACK)
        break;
    }
  return status;
}

/* The verdict must be right, and until then no route may have got more than its share. */
static void
check_run (const Version *version, guint64 seed)
{
  Fleet fleet;
  set_up_fleet (&fleet, version, seed);
  DpRolloutStatus status = run (&fleet);
  ck_assert_msg (status.state == version->result, "%s, seed %u: %s after %d ms, %s, score %.1f",
                 version->name, (guint)seed, dp_rollout_state_name (status.state),
                 (int)((fleet.pool.now - START) / MSEC), dp_rollout_cause_name (status.cause),
                 status.score);
  if (version->result == DP_ROLLOUT_ROLLED_BACK)
    {
      double all = PER_SECOND * (double)DURATION / (double)SEC;
      ck_assert_msg (fleet.exposed <= EXPOSE_SHARE * all + EXPOSE_SLACK,
                     "%s, seed %u: %u of %.0f requests were exposed", version->name,
                     (guint)seed, fleet.exposed, all);
      ck_assert_msg (fleet.exposed <= EXPOSE_SHARE * fleet.requests + 1,
                     "%s, seed %u: %u of %u requests were exposed so far", version->name,
                     (guint)seed, fleet.exposed, fleet.requests);
      ck_assert_uint_le (fleet.bad, 50);
    }
  else
    ck_assert_uint_eq (status.old_running, 0);
  tear_down_fleet (&fleet);
}

START_TEST (a_roll_out_ends_with_the_right_verdict)
{
  for (guint64 seed = 1; seed <= SEEDS; seed++)
    check_run (&versions[_i], seed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("dispatcher_rollout");
  TCase *grants = tcase_create ("grants");
  tcase_add_loop_test (grants, grants_keep_to_the_state, 0, G_N_ELEMENTS (grant_cases));
  suite_add_tcase (suite, grants);
  TCase *runs = tcase_create ("runs");
  tcase_add_loop_test (runs, a_roll_out_ends_with_the_right_verdict, 0,
                       G_N_ELEMENTS (versions));
  suite_add_tcase (suite, runs);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
