/* Baseline policies: requests are sent to a target at once, without queues. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

static const FixtureEngine engines[] = {
  { "e0", 1, 1000, 400, 50, 100000, { "m" } },
  { "e1", 1, 1000, 400, 50, 100000, { "m" } },
  { "e2", 1, 1000, 400, 50, 100000, { "n" } },
};

static void
open_policy (Fixture *f, DpSchedulerPolicy policy)
{
  fixture_open (f,
                &(FixtureOptions){ .engines = engines, .engine_count = 3, .policy = policy });
}

START_TEST (round_robin_cycles_over_eligible_targets)
{
  Fixture f;
  open_policy (&f, DP_POLICY_ROUND_ROBIN);
  for (guint i = 0; i < 6; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 1 + i });
      ck_assert_uint_eq (fixture_target (&f, 1 + i), dp_name (i % 2 == 0 ? "e0" : "e1"));
    }
  fixture_close (&f);
}
END_TEST

START_TEST (two_choices_prefers_the_lower_reported_load)
{
  Fixture f;
  open_policy (&f, DP_POLICY_TWO_CHOICES);
  fixture_load (&f,
                (DpLoadReport){ .target = dp_name ("e0"), .reachable = TRUE, .running = 1000 });
  guint on_e1 = 0;
  for (guint i = 0; i < 100; i++)
    {
      fixture_request (&f, (FixtureRequest){ .id = 1 + i });
      on_e1 += fixture_target (&f, 1 + i) == dp_name ("e1");
    }
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), 100);
  /* e0 is chosen only if both random choices are e0 */
  ck_assert_uint_ge (on_e1, 60);
  ck_assert_uint_le (on_e1, 90);
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_baseline");
  TCase *tcase = tcase_create ("scheduler_baseline");
  tcase_add_test (tcase, round_robin_cycles_over_eligible_targets);
  tcase_add_test (tcase, two_choices_prefers_the_lower_reported_load);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
