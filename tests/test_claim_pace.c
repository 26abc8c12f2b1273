/* The rate of writes to the platform stays below its limit at any rate of claims. */
#include "tests/matrix.h"

#include <check.h>
#include <stdlib.h>

#define SEED 11
#define START DP_USEC_PER_SEC
#define SECONDS ((DpUsec)3)
/* The platform takes "several hundred writes a second" from all clients together. */
#define WRITES_PER_SECOND_MAX ((guint64)400)
/* Upper bound for bookings, including the wait of a claim to share a write. */
#define ANSWER_DELAY_MAX DP_USEC_PER_SEC

static const guint rates[] = { 10, 100, 400 };

START_TEST (writes_stay_below_the_limit)
{
  guint rate = rates[_i];
  Simulation *sim = simulation_new (SEED, FALSE);
  sim->store_extra_delay = 2 * DP_USEC_PER_MSEC;
  for (guint i = 0; i < rate * (guint)SECONDS; i++)
    {
      guint vm = (guint)g_rand_int_range (sim->rand, 0, SIMULATED_VMS);
      DpUsec at = START + (DpUsec)i * DP_USEC_PER_SEC / rate;
      caller_add (sim, KIND_BOOKING, i + 1, vm, at);
    }
  simulation_run_until (sim, START + SECONDS * DP_USEC_PER_SEC);
  guint64 writes
    = dp_counters_get (sim->counters, "dogwoodplank_claim_writes_total", NULL, NULL);
  ck_assert_uint_le (writes, WRITES_PER_SECOND_MAX * SECONDS);
  simulation_run_until (sim, START + 10 * SECONDS * DP_USEC_PER_SEC);
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      ck_assert_int_eq (caller->final, FINAL_END);
      ck_assert_int_le (caller->final_at - caller->sent_at, ANSWER_DELAY_MAX);
    }
  char *problems = matrix_check (sim);
  ck_assert_msg (problems == NULL, "%s", problems);
  simulation_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim_pace");
  TCase *tcase = tcase_create ("claim_pace");
  tcase_add_loop_test (tcase, writes_stay_below_the_limit, 0, G_N_ELEMENTS (rates));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
