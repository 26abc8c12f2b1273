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
ask_prefix (Fixture *f, guint id, guint64 prefix)
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

/* Serves one request of the prefix on e1. */
static void
warm_up_e1 (Fixture *f, guint64 prefix)
{
  fixture_request (f, (FixtureRequest){ .id = 900, .prompt = 2000 });
  ck_assert_uint_eq (fixture_target (f, 900), dp_name ("e0"));
  ck_assert_uint_eq (ask_prefix (f, 901, prefix), dp_name ("e1"));
  finish (f, 901, 0);
  fixture_progress (f, 900);
  fixture_done (f, 900, (DpGrantDone){ .output_tokens = 50 });
  fixture_clear_actions (f);
}

START_TEST (requests_follow_their_prefix_while_there_is_room)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  ck_assert_uint_eq (ask_prefix (&f, 1, 1000), dp_name ("e1"));
  ck_assert_uint_eq (ask_prefix (&f, 2, 1000), dp_name ("e1"));
  ck_assert_uint_eq (ask_prefix (&f, 3, 1000), dp_name ("e1"));
  /* it waits as long as its prefill would take on e0, at most 1 s */
  ck_assert_uint_eq (ask_prefix (&f, 4, 1000), 0);
  fixture_run (&f, 900 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 4), 0);
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 4), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (another_prefix_goes_by_speed_alone)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  ck_assert_uint_eq (ask_prefix (&f, 1, 5000), dp_name ("e0"));
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
  STEP_ABANDONED,
} CacheStep;

typedef struct CacheCase
{
  CacheStep step;
  gboolean follows; /* the next request goes to e1 */
} CacheCase;

static const CacheCase cache_cases[] = {
  { STEP_RESTART, FALSE },         { STEP_REMOVED, FALSE }, { STEP_REMOVED_THEN_STORED, TRUE },
  { STEP_REPEATED_REMOVAL, TRUE }, { STEP_GAP, TRUE },      { STEP_ABANDONED, TRUE },
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
take_step (Fixture *f, CacheStep step)
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
    case STEP_ABANDONED:
      ck_assert_uint_eq (ask_prefix (f, 800, 1000), dp_name ("e1"));
      fixture_done (f, 800, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
      break;
    }
}

START_TEST (the_record_follows_the_targets_cache)
{
  const CacheCase *c = &cache_cases[_i];
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  report (&f, 1, 1, NULL, 0);
  take_step (&f, c->step);
  ck_assert_uint_eq (ask_prefix (&f, 1, 1000), dp_name (c->follows ? "e1" : "e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_uncertain_record_counts_for_less)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  report (&f, 1, 1, NULL, 0);
  report (&f, 1, 500, NULL, 0);
  /* e0 has 10 blocks for certain, which is more than half of e1's 16 */
  FixtureRequest shorter = { .id = 10, .prompt = PROMPT, .prefix = 1000, .prefix_count = 10 };
  shorter.excluded = "e1";
  fixture_request (&f, shorter);
  finish (&f, 10, 0);
  ck_assert_uint_eq (ask_prefix (&f, 1, 1000), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_abandoned_prompt_is_not_counted_as_cached)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 900, .prompt = 2000 });
  ck_assert_uint_eq (ask_prefix (&f, 901, 1000), dp_name ("e1"));
  fixture_done (&f, 901, (DpGrantDone){ .reason = DP_REASON_CALLER_GONE });
  fixture_progress (&f, 900);
  fixture_done (&f, 900, (DpGrantDone){ .output_tokens = 50 });
  ck_assert_uint_eq (ask_prefix (&f, 1, 1000), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (of_one_workspace_the_cached_one_goes_first_for_a_while)
{
  Fixture f;
  open_synced (&f);
  warm_up_e1 (&f, 1000);
  for (guint i = 0; i < 6; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 10 + i, .prompt = 10 });
      fixture_progress (&f, 10 + i);
    }
  ck_assert_uint_eq (ask_prefix (&f, 1, 5000), 0);
  ck_assert_uint_eq (ask_prefix (&f, 2, 1000), 0);
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
  tcase_add_test (tcase, requests_follow_their_prefix_while_there_is_room);
  tcase_add_test (tcase, another_prefix_goes_by_speed_alone);
  tcase_add_loop_test (tcase, the_record_follows_the_targets_cache, 0,
                       G_N_ELEMENTS (cache_cases));
  tcase_add_test (tcase, an_uncertain_record_counts_for_less);
  tcase_add_test (tcase, an_abandoned_prompt_is_not_counted_as_cached);
  tcase_add_test (tcase, of_one_workspace_the_cached_one_goes_first_for_a_while);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
