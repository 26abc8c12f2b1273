/* Durations of recent responses, in virtual time. */
#include "core/answer_times.h"

#include <check.h>
#include <stdlib.h>

#define SECOND DP_USEC_PER_SEC
#define ROUTES 1000

typedef struct Sample
{
  guint count;
  DpUsec duration;
  DpUsec at;
} Sample;

typedef struct AnswerTimesCase
{
  const char *name;
  Sample samples[3];
  DpUsec now;
  DpUsec slowest; /* 0: too little is known */
} AnswerTimesCase;

static const AnswerTimesCase cases[] = {
  { "nothing", { { 0 } }, SECOND, 0 },
  { "too few", { { 19, SECOND, SECOND } }, SECOND, 0 },
  { "the slowest counts",
    { { 20, SECOND, SECOND }, { 1, 3 * SECOND, 2 * SECOND } },
    3 * SECOND,
    3 * SECOND },
  { "a fast one doesn't hide it",
    { { 1, 3 * SECOND, SECOND }, { 50, SECOND, 2 * SECOND } },
    3 * SECOND,
    3 * SECOND },
  { "kept for half a minute",
    { { 1, 3 * SECOND, 29 * SECOND }, { 30, SECOND, 58 * SECOND } },
    59 * SECOND,
    3 * SECOND },
  { "forgotten after a minute",
    { { 1, 3 * SECOND, SECOND }, { 30, SECOND, 61 * SECOND } },
    62 * SECOND,
    SECOND },
  { "all forgotten", { { 30, SECOND, SECOND } }, 61 * SECOND, 0 },
};

START_TEST (the_slowest_recent_response_is_known)
{
  const AnswerTimesCase *row = &cases[_i];
  DpAnswerTimes *times = dp_answer_times_new ();
  for (guint i = 0; i < G_N_ELEMENTS (row->samples); i++)
    for (guint n = 0; n < row->samples[i].count; n++)
      dp_answer_times_add (times, dp_name ("a"), row->samples[i].duration, row->samples[i].at);
  ck_assert_msg (dp_answer_times_slowest (times, dp_name ("a"), row->now) == row->slowest, "%s",
                 row->name);
  ck_assert_int_eq (dp_answer_times_slowest (times, dp_name ("b"), row->now), 0);
  dp_answer_times_free (times);
}
END_TEST

START_TEST (routes_in_use_are_kept)
{
  DpAnswerTimes *times = dp_answer_times_new ();
  for (guint n = 0; n < 20; n++)
    for (DpName route = 1; route <= ROUTES; route++)
      dp_answer_times_add (times, route, SECOND, SECOND);
  ck_assert_int_eq (dp_answer_times_slowest (times, 1, SECOND), SECOND);
  ck_assert_int_eq (dp_answer_times_slowest (times, ROUTES, SECOND), SECOND);
  dp_answer_times_free (times);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answer_times");
  TCase *tests = tcase_create ("answer_times");
  tcase_add_loop_test (tests, the_slowest_recent_response_is_known, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, routes_in_use_are_kept);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
