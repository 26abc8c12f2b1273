/* Overload: preemption, displacement and fair shares. No request may be refused while requests
 * of a lower tier are served. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

/* A window of one request. */
static const FixtureEngine narrow[] = { { "e0", 1, 1000, 100, 50, 10000, { "m" } } };
static const FixtureEngine pair[]
  = { { "e0", 2, 1000, 100, 50, 10000, { "m" } }, { "e1", 2, 1000, 100, 50, 10000, { "m" } } };

static void
open_synced (Fixture *f, const FixtureEngine *engines, guint count, guint queue_max)
{
  fixture_open (
    f, &(FixtureOptions){ .engines = engines, .engine_count = count, .queue_max = queue_max });
  fixture_run (f, 1 * DP_USEC_PER_SEC);
}

/* Request 1 runs on the only target; request 2 arrives 100 ms later and waits. */
typedef struct PreemptCase
{
  guint running_tier;
  gboolean started;
  gboolean not_repeatable;
  guint waiting_tier;
  DpUsec remaining;
  gboolean preempted; /* within 2.4 s */
} PreemptCase;

#define LONG_DEADLINE_USEC (60 * DP_USEC_PER_SEC)
/* The service takes 2.1 s of it. */
#define SHORT_DEADLINE_USEC (4500 * DP_USEC_PER_MSEC)

static const PreemptCase preempt_cases[] = {
  { 3, FALSE, FALSE, 0, LONG_DEADLINE_USEC, TRUE },
  { 1, FALSE, FALSE, 0, LONG_DEADLINE_USEC, TRUE },
  { 3, TRUE, FALSE, 0, LONG_DEADLINE_USEC, FALSE },
  { 3, TRUE, FALSE, 0, SHORT_DEADLINE_USEC, TRUE },
  { 3, FALSE, TRUE, 0, LONG_DEADLINE_USEC, FALSE },
  { 3, TRUE, TRUE, 0, SHORT_DEADLINE_USEC, FALSE },
  { 0, FALSE, FALSE, 0, SHORT_DEADLINE_USEC, FALSE },
  { 1, FALSE, FALSE, 3, SHORT_DEADLINE_USEC, FALSE },
  { 3, FALSE, FALSE, 1, LONG_DEADLINE_USEC, FALSE },
  { 3, FALSE, FALSE, 1, SHORT_DEADLINE_USEC, TRUE },
  { 3, FALSE, FALSE, 2, SHORT_DEADLINE_USEC, TRUE },
  { 2, FALSE, FALSE, 1, SHORT_DEADLINE_USEC, TRUE },
};

START_TEST (lower_tiers_are_preempted_only_when_needed)
{
  const PreemptCase *c = &preempt_cases[_i];
  Fixture f;
  open_synced (&f, narrow, 1, 0);
  fixture_request (&f, (FixtureRequest){ .id = 1,
                                         .tier = c->running_tier,
                                         .prompt = 4000,
                                         .not_repeatable = c->not_repeatable });
  fixture_run (&f, 100 * DP_USEC_PER_MSEC);
  if (c->started)
    fixture_progress (&f, 1);
  fixture_request (
    &f, (FixtureRequest){ .id = 2, .tier = c->waiting_tier, .remaining = c->remaining });
  fixture_run (&f, 2400 * DP_USEC_PER_MSEC);
  const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 1);
  if (c->preempted)
    {
      ck_assert_ptr_nonnull (revoked);
      ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_PREEMPTED);
      ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e0"));
    }
  else
    {
      ck_assert_ptr_null (revoked);
      ck_assert_uint_eq (fixture_target (&f, 2), 0);
    }
  fixture_close (&f);
}
END_TEST

START_TEST (a_top_tier_request_preempts_unstarted_work_after_a_short_wait)
{
  Fixture f;
  open_synced (&f, narrow, 1, 0);
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 3, .prompt = 4000 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 0 });
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

/* Four requests fill two targets; a top-tier request preempts the cheapest victim. */
typedef struct VictimCase
{
  guint tiers[4];      /* of requests 1 to 4, 20 ms apart */
  gboolean started[4]; /* first token received */
  guint victim;        /* request */
} VictimCase;

static const VictimCase victim_cases[] = {
  { { 1, 2, 3, 1 }, { FALSE, FALSE, FALSE, FALSE }, 3 },
  { { 3, 3, 3, 3 }, { TRUE, TRUE, FALSE, TRUE }, 3 },
  { { 3, 3, 1, 1 }, { TRUE, FALSE, FALSE, FALSE }, 2 },
  { { 2, 2, 2, 2 }, { FALSE, FALSE, FALSE, FALSE }, 4 },
  { { 0, 0, 0, 2 }, { TRUE, TRUE, TRUE, FALSE }, 4 },
};

START_TEST (the_victim_is_of_the_lowest_tier_and_discards_least_prefill)
{
  const VictimCase *c = &victim_cases[_i];
  Fixture f;
  open_synced (&f, pair, 2, 0);
  for (guint i = 0; i < 4; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = i + 1, .tier = c->tiers[i], .prompt = 140 });
      if (c->started[i])
        fixture_progress (&f, i + 1);
      fixture_run (&f, 20 * DP_USEC_PER_MSEC);
    }
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), 4);
  fixture_request (&f, (FixtureRequest){ .id = 5, .tier = 0 });
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_REVOKED), 1);
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, c->victim));
  ck_assert_uint_ne (fixture_target (&f, 5), 0);
  fixture_close (&f);
}
END_TEST

/* Each preemption discards at least 200 prompt tokens here. The budget is 2,000 plus 0.5% of at
 * most 165,000 tokens sent, which allows 14 preemptions. */
START_TEST (preemption_to_cut_waits_has_a_budget)
{
  Fixture f;
  open_synced (&f, narrow, 1, 0);
  guint preempted = 0;
  for (guint id = 1; id < 80; id += 2)
    {
      fixture_clear_actions (&f);
      fixture_request (&f, (FixtureRequest){ .id = id, .tier = 3, .prompt = 4000 });
      fixture_run (&f, 100 * DP_USEC_PER_MSEC);
      fixture_request (&f, (FixtureRequest){ .id = id + 1, .tier = 0 });
      fixture_run (&f, 200 * DP_USEC_PER_MSEC);
      if (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, id) != NULL)
        preempted++;
      else
        fixture_done (&f, id, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
      ck_assert_uint_eq (fixture_target (&f, id + 1), dp_name ("e0"));
      fixture_done (&f, id + 1, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
    }
  ck_assert_uint_ge (preempted, 1);
  ck_assert_uint_le (preempted, 14);
  fixture_close (&f);
}
END_TEST

START_TEST (a_full_queue_displaces_the_newest_of_the_lowest_tier)
{
  Fixture f;
  open_synced (&f, narrow, 1, 3);
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 0 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 2 });
  fixture_request (&f, (FixtureRequest){ .id = 3, .tier = 3 });
  fixture_request (&f, (FixtureRequest){ .id = 4, .tier = 3 });
  fixture_request (&f, (FixtureRequest){ .id = 5, .tier = 3 });
  const DpMessage *refused = fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 5);
  ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_QUEUE_FULL);
  ck_assert_int_gt (refused->grant_refused.retry_after, 0);
  guint expected[] = { 4, 3, 2 };
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 10 + i, .tier = 1 });
      ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_QUEUED, 10 + i));
      const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, expected[i]);
      ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_DISPLACED);
      ck_assert_int_gt (revoked->grant_revoked.retry_after, 0);
    }
  fixture_request (&f, (FixtureRequest){ .id = 20, .tier = 1 });
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 20));
  fixture_close (&f);
}
END_TEST

#define SHED_REQUESTS 400

/* Random requests of all tiers, with the state that their entry has of them. */
typedef struct ShedRun
{
  Fixture f;
  guint tiers[SHED_REQUESTS + 1]; /* by id */
  gboolean open[SHED_REQUESTS + 1];
  guint seen; /* actions handled */
} ShedRun;

/* Handles the new replies and sends preempted requests again. Returns the highest tier that was
 * refused or displaced, FIXTURE_TIERS if none was. */
static guint
handle_replies (ShedRun *run)
{
  guint shed = FIXTURE_TIERS;
  for (; run->seen < run->f.actions->len; run->seen++)
    {
      DpSchedulerAction action = g_array_index (run->f.actions, DpSchedulerAction, run->seen);
      const DpMessage *message = &action.message;
      if (action.type != DP_SCHEDULER_ACTION_SEND)
        continue;
      guint id = 0;
      if (message->type == DP_MESSAGE_GRANT_REFUSED)
        id = (guint)message->grant_refused.attempt.low;
      if (message->type == DP_MESSAGE_GRANT_REVOKED)
        id = (guint)message->grant_revoked.attempt.low;
      if (id == 0)
        continue;
      if (message->type == DP_MESSAGE_GRANT_REVOKED
          && message->grant_revoked.reason == DP_REASON_PREEMPTED)
        {
          fixture_request (&run->f, (FixtureRequest){ .id = id, .tier = run->tiers[id] });
          continue;
        }
      run->open[id] = FALSE;
      shed = MIN (shed, run->tiers[id]);
    }
  return shed;
}

/* No request is refused or displaced while one of a lower tier runs or waits. */
START_TEST (no_tier_is_shed_before_a_lower_one)
{
  ShedRun *run = g_new0 (ShedRun, 1);
  open_synced (&run->f, pair, 2, 6);
  guint32 random = 17 + (guint32)_i;
  for (guint id = 1; id <= SHED_REQUESTS; id++)
    {
      random = random * 1664525 + 1013904223;
      run->tiers[id] = (random >> 16) % FIXTURE_TIERS;
      run->open[id] = TRUE;
      fixture_request (&run->f, (FixtureRequest){ .id = id, .tier = run->tiers[id] });
      if ((random >> 24) % 3 == 0)
        fixture_run (&run->f, 50 * DP_USEC_PER_MSEC);
      guint shed = handle_replies (run);
      for (guint k = 1; k <= id; k++)
        ck_assert_msg (!run->open[k] || run->tiers[k] <= shed,
                       "arrival %u: tier %u was shed, tier %u kept", id, shed, run->tiers[k]);
    }
  fixture_close (&run->f);
  g_free (run);
}
END_TEST

START_TEST (workspaces_share_a_tier_by_weight)
{
  Fixture f;
  open_synced (&f, narrow, 1, 0);
  fixture_request (&f, (FixtureRequest){ .id = 1000, .tier = 0 });
  for (guint i = 0; i < 40; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 100 + i, .tier = 1, .workspace = "w0" });
      fixture_request (&f, (FixtureRequest){ .id = 200 + i, .tier = 1, .workspace = "w1" });
    }
  guint previous = 1000;
  guint served[2] = { 0, 0 };
  for (guint i = 0; i < 24; i++)
    {
      fixture_clear_actions (&f);
      DpGrantDone done = { .target = dp_name ("e0") };
      fixture_done (&f, previous, done);
      for (guint k = 0; k < 40; k++)
        {
          if (fixture_target (&f, 100 + k) != 0)
            {
              previous = 100 + k;
              served[0] += 1;
            }
          if (fixture_target (&f, 200 + k) != 0)
            {
              previous = 200 + k;
              served[1] += 1;
            }
        }
    }
  /* weights 1 and 3 */
  ck_assert_uint_eq (served[0], 6);
  ck_assert_uint_eq (served[1], 18);
  fixture_close (&f);
}
END_TEST

START_TEST (an_idle_workspace_gains_no_credit)
{
  Fixture f;
  open_synced (&f, narrow, 1, 0);
  fixture_request (&f, (FixtureRequest){ .id = 1000, .tier = 1, .workspace = "w0" });
  for (guint i = 0; i < 20; i++)
    fixture_request (&f, (FixtureRequest){ .id = 100 + i, .tier = 1, .workspace = "w0" });
  guint previous = 1000;
  for (guint i = 0; i < 10; i++)
    {
      fixture_done (&f, previous, (DpGrantDone){ .target = dp_name ("e0") });
      previous = 100 + i;
    }
  for (guint i = 0; i < 20; i++)
    fixture_request (&f, (FixtureRequest){ .id = 200 + i, .tier = 1, .workspace = "w2" });
  guint late = 0;
  guint next[2] = { 110, 200 };
  for (guint i = 0; i < 10; i++)
    {
      fixture_done (&f, previous, (DpGrantDone){ .target = dp_name ("e0") });
      gboolean is_late = fixture_target (&f, next[1]) != 0;
      previous = next[is_late]++;
      late += is_late;
    }
  ck_assert_uint_ge (late, 4);
  ck_assert_uint_le (late, 6);
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_tiers");
  TCase *tcase = tcase_create ("scheduler_tiers");
  tcase_add_loop_test (tcase, lower_tiers_are_preempted_only_when_needed, 0,
                       G_N_ELEMENTS (preempt_cases));
  tcase_add_test (tcase, a_top_tier_request_preempts_unstarted_work_after_a_short_wait);
  tcase_add_loop_test (tcase, the_victim_is_of_the_lowest_tier_and_discards_least_prefill, 0,
                       G_N_ELEMENTS (victim_cases));
  tcase_add_test (tcase, preemption_to_cut_waits_has_a_budget);
  tcase_add_test (tcase, a_full_queue_displaces_the_newest_of_the_lowest_tier);
  tcase_add_loop_test (tcase, no_tier_is_shed_before_a_lower_one, 0, 20);
  tcase_add_test (tcase, workspaces_share_a_tier_by_weight);
  tcase_add_test (tcase, an_idle_workspace_gains_no_credit);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
