/* Checks wasted prefill in replays of generated traces against its limits. */
#include "replay/replay.h"

#include <check.h>
#include <stdlib.h>

static const char *const trace_names[] = { "zadruga-first-light", "mesa-before-noon" };

/* Percent of the prompt tokens computed. */
#define WASTED_PERCENT_MAX 2.0
/* Factor below independent entries that use shared, lagging load reports (two-choices). */
#define MIN_IMPROVEMENT 4.0

static double
wasted_percent (const DpReplayResult *result)
{
  return 100 * result->prefill_wasted / result->prefill_computed;
}

START_TEST (little_prefill_is_wasted)
{
  DpTrace *trace = dp_trace_generate (
    &(DpTraceOptions){ .name = trace_names[_i], .seed = 1, .seconds = 60, .overload = 2 });
  DpReplayResult product, alone;
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &product);
  dp_replay_run (trace, DP_REPLAY_TWO_CHOICES, &alone);
  double wasted = wasted_percent (&product);
  double wasted_alone = wasted_percent (&alone);
  dp_trace_unref (trace);
  ck_assert_msg (wasted < WASTED_PERCENT_MAX && wasted * MIN_IMPROVEMENT <= wasted_alone,
                 "%s: %.2f%% of prefill wasted, %.2f%% with independent entries",
                 trace_names[_i], wasted, wasted_alone);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replay_waste");
  TCase *tcase = tcase_create ("replay_waste");
  tcase_add_loop_test (tcase, little_prefill_is_wasted, 0, 2);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
