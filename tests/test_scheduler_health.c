/* Slow and failing targets, measured speeds, learned output lengths. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

static const FixtureEngine four_equal[] = {
  { "e0", 8, 1000, 400, 50, 100000, { "m" } },
  { "e1", 8, 1000, 400, 50, 100000, { "m" } },
  { "e2", 8, 1000, 400, 50, 100000, { "m" } },
  { "e3", 8, 1000, 400, 50, 100000, { "m" } },
};
static const char *const names[] = { "e0", "e1", "e2", "e3" };

static void
open_synced (Fixture *f, const FixtureEngine *engines, guint count)
{
  fixture_open (f, &(FixtureOptions){ .engines = engines, .engine_count = count });
  fixture_run (f, 1 * DP_USEC_PER_SEC);
}

static guint
engine_of (const Fixture *f, guint id)
{
  DpName target = fixture_target (f, id);
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (target == dp_name (names[i]))
        return i;
    }
  return G_N_ELEMENTS (names);
}

/* Times for a request of 100 prompt and 50 output tokens at the stated speed. */
#define PREFILL_USEC (100 * DP_USEC_PER_MSEC)
#define DECODE_USEC (1000 * DP_USEC_PER_MSEC)

/* Two requests of `tier` per engine; e0 takes `slowness` times as long as stated. */
static void
serve_round (Fixture *f, guint *id, guint tier, guint slowness, guint sent[4])
{
  guint first = *id;
  for (guint i = 0; i < 8; i++)
    fixture_request (f, (FixtureRequest){ .id = (*id)++, .tier = tier, .output = 50 });
  fixture_run (f, PREFILL_USEC * slowness);
  for (guint k = first; k < *id; k++)
    fixture_progress (f, k);
  for (guint step = 1; step <= slowness; step++)
    {
      fixture_run (f, DECODE_USEC);
      for (guint k = first; k < *id; k++)
        {
          guint engine = engine_of (f, k);
          guint factor = engine == 0 ? slowness : 1;
          if (engine >= 4 || factor != step)
            continue;
          sent[engine] += 1;
          fixture_done (f, k,
                        (DpGrantDone){ .prompt_tokens = 100,
                                       .output_tokens = 50,
                                       .time_to_first_token = PREFILL_USEC * factor,
                                       .duration = (PREFILL_USEC + DECODE_USEC) * factor });
        }
    }
}

static guint64
count_slow_ejections (const Fixture *f)
{
  return dp_counters_get (f->counters, "dogwoodplank_targets_set_aside_total", "cause", "slow");
}

START_TEST (a_slow_target_is_ejected_probed_and_restored)
{
  Fixture f;
  open_synced (&f, four_equal, 4);
  guint id = 1;
  guint sent[4] = { 0 };
  for (guint i = 0; i < 5; i++)
    serve_round (&f, &id, 0, 1, sent);
  ck_assert_uint_ge (sent[0], 3);
  for (guint i = 0; i < 3 && count_slow_ejections (&f) == 0; i++)
    serve_round (&f, &id, 0, 5, sent);
  ck_assert_uint_eq (count_slow_ejections (&f), 1);
  /* requests of the lowest tier are its probes, one at a time */
  guint before = sent[0];
  serve_round (&f, &id, 0, 1, sent);
  ck_assert_uint_eq (sent[0], before);
  fixture_clear_actions (&f);
  for (guint i = 0; i < 40; i++)
    fixture_request (&f, (FixtureRequest){ .id = 1000 + i, .tier = 3, .output = 50 });
  guint probes = 0;
  for (guint i = 0; i < 40; i++)
    probes += engine_of (&f, 1000 + i) == 0;
  ck_assert_uint_eq (probes, 1);
  /* two successful probes restore it */
  for (guint i = 0; i < 2; i++)
    {
      guint probe = 1000;
      while (engine_of (&f, probe) != 0)
        probe++;
      ck_assert_uint_lt (probe, 1040);
      fixture_clear_actions (&f);
      fixture_done (&f, probe,
                    (DpGrantDone){ .prompt_tokens = 100,
                                   .output_tokens = 50,
                                   .time_to_first_token = PREFILL_USEC,
                                   .duration = PREFILL_USEC + DECODE_USEC });
    }
  ck_assert_uint_eq (
    dp_counters_get (f.counters, "dogwoodplank_targets_taken_back_total", NULL, NULL), 1);
  fixture_close (&f);
}
END_TEST

START_TEST (an_overdue_first_token_revokes_unstarted_grants)
{
  Fixture f;
  open_synced (&f, four_equal, 4);
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 0 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 0 });
  fixture_progress (&f, 2);
  fixture_run (&f, 1300 * DP_USEC_PER_MSEC);
  ck_assert_ptr_null (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 1));
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 1));
  ck_assert_ptr_null (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2));
  guint ejected = engine_of (&f, 1);
  fixture_clear_actions (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 0 });
  ck_assert_uint_lt (engine_of (&f, 1), 4);
  ck_assert_uint_ne (engine_of (&f, 1), ejected);
  fixture_close (&f);
}
END_TEST

START_TEST (only_a_fraction_of_a_group_is_ejected_as_slow)
{
  Fixture f;
  open_synced (&f, four_equal, 4);
  for (guint i = 0; i < 16; i++)
    fixture_request (&f, (FixtureRequest){ .id = 1 + i, .tier = 0, .prompt = 10 });
  fixture_run (&f, 5 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (count_slow_ejections (&f), 1);
  fixture_close (&f);
}
END_TEST

typedef struct FailureCase
{
  DpReason reasons[3];
  gboolean is_ejected;
} FailureCase;

static const FailureCase failure_cases[] = {
  { { DP_REASON_CONNECT_FAILED }, TRUE },
  { { DP_REASON_TARGET_BROKE }, FALSE },
  { { DP_REASON_TARGET_BROKE, DP_REASON_TARGET_SILENT }, TRUE },
  { { DP_REASON_TARGET_BROKE, DP_REASON_NONE, DP_REASON_TARGET_BROKE }, FALSE },
  { { DP_REASON_CALLER_GONE, DP_REASON_CALLER_GONE, DP_REASON_CALLER_GONE }, FALSE },
};

START_TEST (a_failing_target_is_ejected_with_backoff)
{
  const FailureCase *c = &failure_cases[_i];
  Fixture f;
  open_synced (&f, four_equal, 2);
  guint rounds = _i >= 3 ? 3 : _i == 2 ? 2 : 1;
  for (guint i = 0; i < rounds; i++)
    {
      fixture_clear_actions (&f);
      fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 3, .excluded = "e1" });
      ck_assert_uint_eq (engine_of (&f, 1), 0);
      fixture_done (&f, 1,
                    (DpGrantDone){ .reason = c->reasons[i],
                                   .output_tokens = 100,
                                   .time_to_first_token = PREFILL_USEC,
                                   .duration = PREFILL_USEC + 2 * DECODE_USEC });
    }
  fixture_clear_actions (&f);
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 3, .excluded = "e1" });
  if (!c->is_ejected)
    {
      ck_assert_uint_eq (engine_of (&f, 2), 0);
      fixture_close (&f);
      return;
    }
  const DpMessage *refused = fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 2);
  ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_NO_TARGET);
  fixture_run (&f, 1100 * DP_USEC_PER_MSEC);
  fixture_request (&f, (FixtureRequest){ .id = 3, .tier = 3, .excluded = "e1" });
  ck_assert_uint_eq (engine_of (&f, 3), 0);
  fixture_close (&f);
}
END_TEST

/* Waiting requests are revoked at once, so that their entries can try another group. */
START_TEST (requests_that_only_failing_targets_serve_are_revoked)
{
  static const FixtureEngine only[] = { { "e0", 2, 1000, 400, 50, 100000, { "m" } } };
  Fixture f;
  open_synced (&f, only, 1);
  for (guint id = 1; id <= 4; id++)
    fixture_request (&f, (FixtureRequest){ .id = id, .tier = 3 });
  ck_assert_uint_eq (fixture_target (&f, 4), 0);
  fixture_done (&f, 1, (DpGrantDone){ .reason = DP_REASON_CONNECT_FAILED });
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  for (guint id = 3; id <= 4; id++)
    {
      const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, id);
      ck_assert_ptr_nonnull (revoked);
      ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_NO_TARGET);
    }
  ck_assert_ptr_null (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2));
  fixture_close (&f);
}
END_TEST

/* A pool may get only requests that must not be repeated: they have to be probes too, or a
 * failing target would never be restored. */
START_TEST (unrepeatable_requests_probe_a_failing_target)
{
  static const FixtureEngine only[] = { { "e0", 8, 1000, 400, 50, 100000, { "m" } } };
  Fixture f;
  open_synced (&f, only, 1);
  for (guint id = 1; id <= 2; id++)
    {
      fixture_request (&f, (FixtureRequest){ .id = id, .not_repeatable = TRUE });
      ck_assert_uint_eq (fixture_target (&f, id), dp_name ("e0"));
      fixture_done (&f, id, (DpGrantDone){ .reason = DP_REASON_TARGET_BROKE });
    }
  /* Failed probes delay the next one, but by no more than callers wait. */
  guint id = 3;
  for (guint probe = 0; probe < 8; probe++, id++)
    {
      fixture_run (&f, 10 * DP_USEC_PER_SEC);
      fixture_request (&f, (FixtureRequest){ .id = id, .not_repeatable = TRUE });
      ck_assert_uint_eq (fixture_target (&f, id), dp_name ("e0"));
      fixture_done (&f, id, (DpGrantDone){ .reason = DP_REASON_TARGET_BROKE });
    }
  fixture_close (&f);
}
END_TEST

START_TEST (an_unreachable_target_is_ejected_until_it_answers_a_poll)
{
  Fixture f;
  open_synced (&f, four_equal, 2);
  DpName e0 = dp_name ("e0");
  fixture_load (&f, (DpLoadReport){ .target = e0 });
  fixture_load (&f, (DpLoadReport){ .target = e0 });
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 0, .excluded = "e1" });
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 1));
  fixture_load (&f, (DpLoadReport){ .target = e0, .reachable = TRUE, .boot = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 3, .excluded = "e1" });
  ck_assert_uint_eq (engine_of (&f, 2), 0);
  fixture_close (&f);
}
END_TEST

START_TEST (output_lengths_are_learned_per_workspace)
{
  Fixture f;
  open_synced (&f, four_equal, 1);
  /* the manifest states 100 output tokens, 2.1 s; the outputs of w0 are ten times as long */
  for (guint i = 0; i < 20; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 1 + i, .workspace = "w0", .output = 5000 });
      fixture_done (&f, 1 + i, (DpGrantDone){ .output_tokens = 1000 });
    }
  FixtureRequest request = { .id = 100, .workspace = "w0", .output = 5000 };
  request.remaining = 10 * DP_USEC_PER_SEC;
  fixture_request (&f, request);
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 100));
  request.id = 101;
  request.workspace = "w1";
  fixture_request (&f, request);
  ck_assert_uint_eq (engine_of (&f, 101), 0);
  request.id = 102;
  request.workspace = "w0";
  request.output = 50;
  fixture_request (&f, request);
  ck_assert_uint_eq (engine_of (&f, 102), 0);
  fixture_close (&f);
}
END_TEST

START_TEST (the_window_follows_the_measured_speed)
{
  Fixture f;
  open_synced (&f, four_equal, 1);
  for (guint i = 0; i < 20; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 1 + i, .output = 50 });
      fixture_done (&f, 1 + i,
                    (DpGrantDone){ .output_tokens = 50,
                                   .time_to_first_token = PREFILL_USEC * 2,
                                   .duration = (PREFILL_USEC + DECODE_USEC) * 2 });
    }
  for (guint i = 0; i < 10; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 100 + i, .output = 50 });
      fixture_progress (&f, 100 + i);
    }
  guint given = 0;
  for (guint i = 0; i < 10; i++)
    given += engine_of (&f, 100 + i) == 0;
  ck_assert_uint_eq (given, 4);
  fixture_close (&f);
}
END_TEST

START_TEST (untracked_load_reduces_the_window)
{
  Fixture f;
  open_synced (&f, four_equal, 1);
  DpLoadReport load = { .target = dp_name ("e0"), .reachable = TRUE, .running = 6 };
  fixture_load (&f, load);
  fixture_load (&f, load);
  for (guint i = 0; i < 10; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 1 + i });
      fixture_progress (&f, 1 + i);
    }
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), 2);
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_health");
  TCase *tcase = tcase_create ("scheduler_health");
  tcase_add_test (tcase, a_slow_target_is_ejected_probed_and_restored);
  tcase_add_test (tcase, an_overdue_first_token_revokes_unstarted_grants);
  tcase_add_test (tcase, only_a_fraction_of_a_group_is_ejected_as_slow);
  tcase_add_loop_test (tcase, a_failing_target_is_ejected_with_backoff, 0,
                       G_N_ELEMENTS (failure_cases));
  tcase_add_test (tcase, requests_that_only_failing_targets_serve_are_revoked);
  tcase_add_test (tcase, unrepeatable_requests_probe_a_failing_target);
  tcase_add_test (tcase, an_unreachable_target_is_ejected_until_it_answers_a_poll);
  tcase_add_test (tcase, output_lengths_are_learned_per_workspace);
  tcase_add_test (tcase, the_window_follows_the_measured_speed);
  tcase_add_test (tcase, untracked_load_reduces_the_window);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
