/* Routing by cached prompt prefixes. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

static const FixtureEngine engines[] = {
  { "e0", 3, 1000, 400, 50, 100000, { "m" } },
  { "e1", 3, 1000, 400, 50, 100000, { "m" } },
};

#define BLOCKS 16
#define PROMPT (BLOCKS * 64 + 10)

static void
open_synced (Fixture *f)
{
  fixture_open (f, &(FixtureOptions){ .engines = engines, .engine_count = 2 });
  fixture_run (f, 1 * DP_USEC_PER_SEC);
}

static DpName
request_prefix (Fixture *f, guint id, guint64 prefix)
{
  fixture_request (
    f, (FixtureRequest){
         .id = id, .prompt = PROMPT, .output = 50, .prefix = prefix, .prefix_count = BLOCKS });
  return fixture_target (f, id);
}

static void
finish (Fixture *f, guint id, guint cached)
{
  fixture_progress (f, id);
  fixture_done (f, id,
                (DpGrantDone){ .prompt_tokens = PROMPT,
                               .cached_tokens = cached,
                               .output_tokens = 50,
                               .time_to_first_token = PROMPT * DP_USEC_PER_MSEC,
                               .duration = (PROMPT + 1000) * DP_USEC_PER_MSEC });
}

/* Serves one request with the prefix on e1, so that e1 has it cached. */
static void
warm_up_e1 (Fixture *f, guint64 prefix)
{
  fixture_request (f, (FixtureRequest){ .id = 900, .prompt = 2000 });
  ck_assert_uint_eq (fixture_target (f, 900), dp_name ("e0"));
  ck_assert_uint_eq (request_prefix (f, 901, prefix), dp_name ("e1"));
  finish (f, 901, 0);
  fixture_progress (f, 900);
  fixture_done (f, 900, (DpGrantDone){ .output_tokens = 50 });
  fixture_clear_actions (f);
}

START_TEST (requests_go_to_the_target_that_has_their_prefix)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  ck_assert_uint_eq (request_prefix (&f, 1, 1000), dp_name ("e1"));
  ck_assert_uint_eq (request_prefix (&f, 2, 1000), dp_name ("e1"));
  ck_assert_uint_eq (request_prefix (&f, 3, 1000), dp_name ("e1"));
  /* it waits for e1 as long as the saved prefill would take on e0, at most 1 s */
  ck_assert_uint_eq (request_prefix (&f, 4, 1000), 0);
  fixture_run (&f, 900 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 4), 0);
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 4), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_uncached_prefix_is_routed_by_speed)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  ck_assert_uint_eq (request_prefix (&f, 1, 5000), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

typedef enum CacheStep
{
  STEP_RESTART,
  STEP_REMOVED,
  STEP_REMOVED_THEN_STORED,
  STEP_REPEATED_REMOVAL,
  STEP_GAP,
  STEP_CANCELLED,
} CacheStep;

typedef struct CacheCase
{
  CacheStep step;
  gboolean is_cached; /* the next request goes to e1 */
} CacheCase;

static const CacheCase cache_cases[] = {
  { STEP_RESTART, FALSE },         { STEP_REMOVED, FALSE }, { STEP_REMOVED_THEN_STORED, TRUE },
  { STEP_REPEATED_REMOVAL, TRUE }, { STEP_GAP, TRUE },      { STEP_CANCELLED, TRUE },
};

static void
report (Fixture *f, guint64 boot, guint64 sequence, const DpCacheEvent *events, guint count)
{
  fixture_load (f, (DpLoadReport){ .target = dp_name ("e1"),
                                   .reachable = TRUE,
                                   .boot = boot,
                                   .cache_sequence = sequence,
                                   .cache_event_count = count,
                                   .cache_events = events });
}

static void
apply_step (Fixture *f, CacheStep step)
{
  DpCacheEvent removed[BLOCKS];
  DpCacheEvent stored[BLOCKS];
  for (guint i = 0; i < BLOCKS; i++)
    {
      removed[i] = (DpCacheEvent){ DP_CACHE_REMOVED, 1000 + i };
      stored[i] = (DpCacheEvent){ DP_CACHE_STORED, 1000 + i };
    }
  switch (step)
    {
    case STEP_RESTART:
      report (f, 2, 1, NULL, 0);
      break;
    case STEP_REMOVED:
      report (f, 1, 1, removed, BLOCKS);
      break;
    case STEP_REMOVED_THEN_STORED:
      report (f, 1, 1, removed, BLOCKS);
      report (f, 1, 1 + BLOCKS, stored, BLOCKS);
      break;
    case STEP_REPEATED_REMOVAL:
      report (f, 1, 1, removed, BLOCKS);
      report (f, 1, 1 + BLOCKS, stored, BLOCKS);
      report (f, 1, 1, removed, BLOCKS);
      break;
    case STEP_GAP:
      report (f, 1, 500, NULL, 0);
      break;
    case STEP_CANCELLED:
      ck_assert_uint_eq (request_prefix (f, 800, 1000), dp_name ("e1"));
      fixture_done (f, 800, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
      break;
    }
}

START_TEST (cache_events_update_the_record)
{
  const CacheCase *c = &cache_cases[_i];
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  report (&f, 1, 1, NULL, 0);
  apply_step (&f, c->step);
  ck_assert_uint_eq (request_prefix (&f, 1, 1000), dp_name (c->is_cached ? "e1" : "e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_uncertain_record_counts_half)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  report (&f, 1, 1, NULL, 0);
  report (&f, 1, 500, NULL, 0);
  /* an uncertain record counts half: the 10 blocks of e0 are more than half of e1's 16 */
  FixtureRequest shorter = { .id = 10, .prompt = PROMPT, .prefix = 1000, .prefix_count = 10 };
  shorter.excluded = "e1";
  fixture_request (&f, shorter);
  finish (&f, 10, 0);
  ck_assert_uint_eq (request_prefix (&f, 1, 1000), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_cancelled_prompt_is_not_recorded_as_cached)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 900, .prompt = 2000 });
  ck_assert_uint_eq (request_prefix (&f, 901, 1000), dp_name ("e1"));
  fixture_done (&f, 901, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
  fixture_progress (&f, 900);
  fixture_done (&f, 900, (DpGrantDone){ .output_tokens = 50 });
  ck_assert_uint_eq (request_prefix (&f, 1, 1000), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_cached_request_overtakes_others_of_its_workspace)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  for (guint i = 0; i < 6; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 10 + i, .prompt = 10 });
      fixture_progress (&f, 10 + i);
    }
  ck_assert_uint_eq (request_prefix (&f, 1, 5000), 0);
  ck_assert_uint_eq (request_prefix (&f, 2, 1000), 0);
  guint on_e1 = 10;
  while (fixture_target (&f, on_e1) != dp_name ("e1"))
    on_e1++;
  fixture_done (&f, on_e1, (DpGrantDone){ .output_tokens = 50 });
  ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e1"));
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_prefix");
  TCase *tcase = tcase_create ("scheduler_prefix");
  tcase_add_test (tcase, requests_go_to_the_target_that_has_their_prefix);
  tcase_add_test (tcase, an_uncached_prefix_is_routed_by_speed);
  tcase_add_loop_test (tcase, cache_events_update_the_record, 0, G_N_ELEMENTS (cache_cases));
  tcase_add_test (tcase, an_uncertain_record_counts_half);
  tcase_add_test (tcase, a_cancelled_prompt_is_not_recorded_as_cached);
  tcase_add_test (tcase, a_cached_request_overtakes_others_of_its_workspace);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
