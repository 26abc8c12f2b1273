/* Injects every fault at every step of a request, and random pairs of faults.
 *
 * Environment: MATRIX_SEED (first seed), MATRIX_SEEDS (seeds per cell), MATRIX_PAIRS (number of
 * pairs), MATRIX_TRACE=1 (prints the trace of each failing cell). */
#include "tests/matrix_faults.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_SEED 5
#define SEEDS 1
#define PAIRS 400
/* First request; outcomes are queried after all faults have ended. */
#define START DP_USEC_PER_SEC
#define QUERY_AT (32 * DP_USEC_PER_SEC)
/* The run of mixed requests under successive random faults. */
#define MIXED_REQUESTS 10000
#define MIXED_END (21 * DP_USEC_PER_SEC)
#define MIXED_FAULT_INTERVAL (900 * DP_USEC_PER_MSEC)
#define RUN_UNTIL (42 * DP_USEC_PER_SEC)

/* Where faults are injected: steps of bookings and of streamed answers on VM 0. */
typedef struct Column
{
  const char *name;
  RequestKind kind;
  RequestStep step;
} Column;

static const Column columns[] = {
  { "booking: arrival", KIND_BOOKING, STEP_ARRIVAL },
  { "booking: record read", KIND_BOOKING, STEP_CLAIM_READ },
  { "booking: record read, reply", KIND_BOOKING, STEP_CLAIM_READ_REPLY },
  { "booking: claim written", KIND_BOOKING, STEP_CLAIM_WRITE },
  { "booking: claim stored", KIND_BOOKING, STEP_CLAIM_STORED },
  { "booking: claim confirmed", KIND_BOOKING, STEP_CLAIM_WRITE_REPLY },
  { "booking: grant requested", KIND_BOOKING, STEP_GRANT_REQUEST },
  { "booking: grant given", KIND_BOOKING, STEP_GRANT_GIVEN },
  { "booking: dispatch", KIND_BOOKING, STEP_DISPATCH },
  { "booking: effect", KIND_BOOKING, STEP_EFFECT },
  { "booking: head", KIND_BOOKING, STEP_HEAD },
  { "booking: body", KIND_BOOKING, STEP_CHUNK },
  { "booking: end", KIND_BOOKING, STEP_END },
  { "booking: outcome written", KIND_BOOKING, STEP_OUTCOME_WRITE },
  { "booking: outcome stored", KIND_BOOKING, STEP_OUTCOME_STORED },
  { "booking: outcome confirmed", KIND_BOOKING, STEP_OUTCOME_WRITE_REPLY },
  { "chat: arrival", KIND_CHAT, STEP_ARRIVAL },
  { "chat: grant requested", KIND_CHAT, STEP_GRANT_REQUEST },
  { "chat: grant given", KIND_CHAT, STEP_GRANT_GIVEN },
  { "chat: dispatch", KIND_CHAT, STEP_DISPATCH },
  { "chat: effect", KIND_CHAT, STEP_EFFECT },
  { "chat: head", KIND_CHAT, STEP_HEAD },
  { "chat: token", KIND_CHAT, STEP_CHUNK },
  { "chat: end", KIND_CHAT, STEP_END },
};

static guint
env_number (const char *name, guint fallback)
{
  const char *text = g_getenv (name);
  return text != NULL ? (guint)g_ascii_strtoull (text, NULL, 10) : fallback;
}

/* Adds a request at a random time from `at` to `at + spread` microseconds. */
static void
add_caller_near (
  Simulation *sim, RequestKind kind, guint operation, guint vm, DpUsec at, gint32 spread)
{
  caller_add (sim, kind, operation, vm, at + g_rand_int_range (sim->rand, 0, spread));
}

static void
add_callers (Simulation *sim)
{
  caller_add (sim, KIND_BOOKING, MATRIX_BOOKING, 0, START);
  caller_add (sim, KIND_CHAT, MATRIX_CHAT, 0, START);
  /* The same key on the same VM, on another VM, in the other data centre, and there again
   * later. */
  add_caller_near (sim, KIND_BOOKING, MATRIX_BOOKING, 0, START, 20000);
  add_caller_near (sim, KIND_BOOKING, MATRIX_BOOKING, 1, START, 5000);
  add_caller_near (sim, KIND_BOOKING, MATRIX_BOOKING, 3, START, 30000);
  add_caller_near (sim, KIND_BOOKING, MATRIX_BOOKING, 4, START + 2 * DP_USEC_PER_SEC, 3000000);
  /* The same key with another body. */
  Caller *other
    = caller_add (sim, KIND_BOOKING, MATRIX_BOOKING, 2, START + 6 * DP_USEC_PER_SEC);
  other->body = MATRIX_OTHER_BODY;
  add_caller_near (sim, KIND_BOOKING, MATRIX_SINGLE_BOOKING, 0, START, 8000);
  add_caller_near (sim, KIND_CHAT, MATRIX_SINGLE_CHAT, 1, START, 8000);
  /* The caller repeats the request at other entries of the data centre. */
  caller_add (sim, KIND_CHAT, MATRIX_CHAT, 1, START + 5 * DP_USEC_PER_SEC);
  caller_add (sim, KIND_CHAT, MATRIX_CHAT, 2, START + 9 * DP_USEC_PER_SEC);
  add_caller_near (sim, KIND_REPEATABLE, MATRIX_REPEATABLE, 0, START, 8000);
  caller_add (sim, KIND_OUTCOME_QUERY, MATRIX_BOOKING, 4, QUERY_AT);
  caller_add (sim, KIND_OUTCOME_QUERY, MATRIX_SINGLE_BOOKING, 5, QUERY_AT);
}

static void
plan_fault (Simulation *sim, const FaultRow *row, const Column *column, guint vm)
{
  PlannedFault *fault = &sim->faults[sim->fault_count++];
  fault->apply = row->apply;
  fault->kind = column->kind;
  fault->step = column->step;
  fault->vm = vm;
}

static Simulation *
new_simulation (guint32 seed, gboolean real_schedulers)
{
  Simulation *sim = simulation_new (seed, real_schedulers);
  if (g_getenv ("MATRIX_TRACE") != NULL)
    sim->trace = g_string_new (NULL);
  add_callers (sim);
  return sim;
}

/* Runs the simulation and prints violated invariants. Returns the number of failed cells: 0 or
 * 1. */
static guint
run_cell (Simulation *sim, const char *name, guint32 seed)
{
  simulation_run_until (sim, RUN_UNTIL);
  char *problems = matrix_check (sim);
  guint failures = problems != NULL ? 1 : 0;
  if (problems != NULL)
    printf ("cell: %s (seed %u)\n%s%s", name, seed, problems,
            sim->trace != NULL ? sim->trace->str : "");
  /* Check forks for each test, and the child exits without flushing. */
  fflush (stdout);
  g_free (problems);
  return failures;
}

START_TEST (all_requests_are_answered_without_faults)
{
  guint32 seed = env_number ("MATRIX_SEED", FIRST_SEED) + (guint)_i;
  Simulation *sim = new_simulation (seed, _i % 2 == 1);
  ck_assert_uint_eq (run_cell (sim, "no fault", seed), 0);
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      gboolean conflicts = caller->body == MATRIX_OTHER_BODY;
      if (conflicts)
        ck_assert_int_eq (caller->reason, DP_REASON_KEY_CONFLICT);
      else
        ck_assert (caller->final == FINAL_END || caller->final == FINAL_REPLAY);
    }
  simulation_free (sim);
}
END_TEST

static gboolean
entry_crashed_under (const Simulation *sim, guint operation)
{
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      if (caller->operation == operation && caller->final == FINAL_ENTRY_CRASHED)
        return TRUE;
    }
  return FALSE;
}

/* The VM that held the claim crashed, or the one that received the query: the outcome cannot be
 * determined. */
static gboolean
is_undecidable (const Simulation *sim, const Caller *query)
{
  if (query->final == FINAL_ENTRY_CRASHED)
    return TRUE;
  return query->reason == DP_REASON_HOLDER_GONE && entry_crashed_under (sim, query->operation);
}

/* Transient faults leave no booking undone or with an unknown outcome. */
static guint
check_bookings_done (const Simulation *sim, const char *name)
{
  guint failures = 0;
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      if (caller->kind != KIND_OUTCOME_QUERY || caller->final == FINAL_REPLAY
          || is_undecidable (sim, caller))
        continue;
      failures = 1;
      printf ("cell: %s\noperation %u: the booking was lost: %s\n", name, caller->operation,
              dp_reason_name (caller->reason));
      fflush (stdout);
    }
  return failures;
}

START_TEST (every_fault_at_every_step)
{
  const FaultRow *row = &fault_rows[_i];
  guint seeds = env_number ("MATRIX_SEEDS", SEEDS);
  guint32 first = env_number ("MATRIX_SEED", FIRST_SEED);
  guint failures = 0;
  for (guint c = 0; c < G_N_ELEMENTS (columns); c++)
    for (guint32 seed = first; seed < first + seeds; seed++)
      {
        Simulation *sim = new_simulation (seed, FALSE);
        plan_fault (sim, row, &columns[c], 0);
        char *name = g_strdup_printf ("%s at %s", row->name, columns[c].name);
        failures += run_cell (sim, name, seed);
        failures += row->transient ? check_bookings_done (sim, name) : 0;
        ck_assert_msg (sim->faults[0].fired, "%s: the step was not reached", name);
        g_free (name);
        simulation_free (sim);
      }
  ck_assert_msg (failures == 0, "%u failed cells of '%s'", failures, row->name);
}
END_TEST

/* The same with the real scheduler; the minimal owner's own faults have no effect there. */
START_TEST (every_fault_with_the_real_scheduler)
{
  const FaultRow *row = &fault_rows[_i];
  guint32 seed = env_number ("MATRIX_SEED", FIRST_SEED);
  guint failures = 0;
  for (guint c = 0; c < G_N_ELEMENTS (columns); c++)
    {
      Simulation *sim = new_simulation (seed, TRUE);
      plan_fault (sim, row, &columns[c], 0);
      char *name = g_strdup_printf ("%s at %s, real scheduler", row->name, columns[c].name);
      failures += run_cell (sim, name, seed);
      g_free (name);
      simulation_free (sim);
    }
  ck_assert_msg (failures == 0, "%u failed cells of '%s'", failures, row->name);
}
END_TEST

START_TEST (pairs_of_faults)
{
  guint pairs = env_number ("MATRIX_PAIRS", PAIRS) / 8;
  guint32 first = env_number ("MATRIX_SEED", FIRST_SEED) + 1000 + (guint)_i * pairs;
  guint failures = 0;
  for (guint32 seed = first; seed < first + pairs; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      Simulation *sim = new_simulation (seed, FALSE);
      char *names[2];
      for (guint i = 0; i < 2; i++)
        {
          const FaultRow *row
            = &fault_rows[g_rand_int_range (rand, 0, (gint32)fault_row_count)];
          const Column *column = &columns[g_rand_int_range (rand, 0, G_N_ELEMENTS (columns))];
          guint vm = i == 0 ? 0 : (guint)g_rand_int_range (rand, 0, 2);
          plan_fault (sim, row, column, vm);
          names[i] = g_strdup_printf ("%s at %s on vm %u", row->name, column->name, vm);
        }
      char *name = g_strdup_printf ("%s; %s", names[0], names[1]);
      failures += run_cell (sim, name, seed);
      g_free (name);
      g_free (names[0]);
      g_free (names[1]);
      simulation_free (sim);
      g_rand_free (rand);
    }
  ck_assert_msg (failures == 0, "%u failed pairs from seed %u", failures, first);
}
END_TEST

/* Injects a random fault at a random VM, and schedules the next one until MIXED_END. */
static void
inject_random_fault (Simulation *sim, gpointer data)
{
  static const char *const names[]
    = { "process kill and restart", "freeze of 2.5 s",     "broken connection",
        "stalled connection",       "owners unresponsive", "lost platform reply, stored" };
  if (sim->stopping || sim->now > MIXED_END)
    return;
  const char *name = names[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (names))];
  guint vm = (guint)g_rand_int_range (sim->rand, 0, SIMULATED_VMS);
  for (guint i = 0; i < fault_row_count; i++)
    if (strcmp (fault_rows[i].name, name) == 0)
      fault_rows[i].apply (sim, vm);
  simulation_schedule (sim, sim->now + MIXED_FAULT_INTERVAL, inject_random_fault, NULL);
}

static guint
count_complete (const Simulation *sim)
{
  guint count = 0;
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      count += caller->final == FINAL_END || caller->final == FINAL_REPLAY ? 1 : 0;
    }
  return count;
}

START_TEST (ten_thousand_mixed_requests_under_faults)
{
  guint32 seed = env_number ("MATRIX_SEED", FIRST_SEED);
  Simulation *sim = simulation_new (seed, _i == 1);
  sim->duplicates = TRUE;
  for (guint i = 0; i < MIXED_REQUESTS; i++)
    {
      static const RequestKind kinds[] = { KIND_CHAT, KIND_REPEATABLE, KIND_BOOKING };
      RequestKind kind = kinds[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (kinds))];
      guint vm = (guint)g_rand_int_range (sim->rand, 0, SIMULATED_VMS);
      DpUsec at = START + g_rand_int_range (sim->rand, 0, (gint32)(MIXED_END - START));
      caller_add (sim, kind, i + 1, vm, at);
      gboolean twice = g_rand_int_range (sim->rand, 0, 10) == 0;
      if (twice)
        add_caller_near (sim, kind, i + 1, (vm + 1) % SIMULATED_VMS, at, 50000);
    }
  simulation_schedule (sim, START, inject_random_fault, NULL);
  simulation_run_until (sim, MIXED_END + RUN_UNTIL);
  ck_assert_uint_ge (sim->callers->len, MIXED_REQUESTS);
  char *problems = matrix_check (sim);
  ck_assert_msg (problems == NULL, "seed %u: %s", seed, problems);
  printf ("mixed requests: %u sent, %u answered completely\n", sim->callers->len,
          count_complete (sim));
  fflush (stdout);
  ck_assert_uint_gt (count_complete (sim), MIXED_REQUESTS / 2);
  simulation_free (sim);
}
END_TEST

int
main (void)
{
  printf ("first seed %u, %u per cell; %u pairs\n", env_number ("MATRIX_SEED", FIRST_SEED),
          env_number ("MATRIX_SEEDS", SEEDS), env_number ("MATRIX_PAIRS", PAIRS));
  Suite *suite = suite_create ("fault_matrix");
  TCase *tcase = tcase_create ("fault_matrix");
  tcase_add_loop_test (tcase, all_requests_are_answered_without_faults, 0, 20);
  tcase_add_loop_test (tcase, every_fault_at_every_step, 0, (int)fault_row_count);
  tcase_add_loop_test (tcase, every_fault_with_the_real_scheduler, 0, (int)fault_row_count);
  tcase_add_loop_test (tcase, pairs_of_faults, 0, 8);
  tcase_add_loop_test (tcase, ten_thousand_mixed_requests_under_faults, 0, 2);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
