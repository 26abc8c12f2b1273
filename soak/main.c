/* dogwoodplank-soak BUILD_FOLDER SEED...: one run a seed; exit code 1 if a promise was broken.
 */
#include "soak/soak.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Faults come within this time, in seconds. */
#define FAULT_SPAN 8.0
/* After the last fault all is well again within this time: the users' bound for the whole
 * system. */
#define RECOVERY_TIME 15.0
/* So many requests served in a row, by all VMs alike, tell that it is. */
#define SERVED_IN_A_ROW 150
/* A change of the config is in force within this time. */
#define APPLY_TIME (3 * DP_USEC_PER_SEC)

static void
run_loop (SoakWorld *world, double seconds)
{
  const struct timeval span
    = { .tv_sec = (time_t)seconds,
        .tv_usec = (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6) };
  event_base_loopexit (world->base, &span);
  event_base_dispatch (world->base);
}

static gboolean
all_vms_run (SoakWorld *world)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      const SoakVm *vm = &world->vms[i];
      if (vm->process == NULL || vm->is_stopping)
        return FALSE;
    }
  return TRUE;
}

static void
wait_for_recovery (SoakWorld *world)
{
  /* Stops that are under way, and restarts, belong to the faults. */
  double patience = soak_world_time (world) + RECOVERY_TIME;
  while ((world->faults_open > 0 || !all_vms_run (world)) && soak_world_time (world) < patience)
    run_loop (world, 0.05);
  soak_faults_lift (world);
  double start = soak_world_time (world);
  world->answered_in_a_row = 0;
  while (world->answered_in_a_row < SERVED_IN_A_ROW)
    {
      if (soak_world_time (world) - start > RECOVERY_TIME)
        {
          soak_world_violation (world, "not served again %.0f s after the last fault",
                                RECOVERY_TIME);
          return;
        }
      run_loop (world, 0.02);
    }
  soak_world_say (world, "served again after %.2f s", soak_world_time (world) - start);
}

/* The newest config is in force at each VM. */
static void
check_config (SoakWorld *world)
{
  char path[32];
  if (world->config_version < 2)
    return;
  g_snprintf (path, sizeof path, "/v%u/1", world->config_version);
  gint64 end = g_get_monotonic_time () + APPLY_TIME;
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      const SoakVm *vm = &world->vms[i];
      int status = 404;
      while (status == 404 && g_get_monotonic_time () < end)
        {
          run_loop (world, 0.01);
          g_free (http_exchange ("GET", vm->address, SOAK_CALLERS_PORT, path,
                                 "Host: " NODE_KIT_HOST "\r\n", NULL, &status));
        }
      if (status != 401)
        soak_world_violation (world, "%s: status %d for %s, the config is not in force",
                              vm->name, status, path);
    }
}

static guint
play (const char *build, guint32 seed)
{
  printf ("seed %u\n", seed);
  fflush (stdout);
  struct event_base *base = event_base_new ();
  g_random_set_seed (seed);
  SoakWorld *world = soak_world_new (base, build, seed);
  SoakCaller *callers[SOAK_CALLERS];
  for (guint i = 0; i < SOAK_CALLERS; i++)
    callers[i] = soak_caller_new (world, i);
  soak_faults_schedule (world, FAULT_SPAN);
  run_loop (world, FAULT_SPAN);
  wait_for_recovery (world);
  check_config (world);
  for (guint i = 0; i < SOAK_CALLERS; i++)
    soak_caller_free (callers[i]);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    soak_collect_runs (world, &world->targets[i]);
  soak_judge_runs (world);
  soak_world_stop (world);
  guint violations = world->violations->len;
  printf ("seed %u: served=%u not_run=%u failed=%u denied=%u cut=%u closed=%u left=%u "
          "violations=%u\n",
          seed, world->counts[SOAK_SERVED], world->counts[SOAK_NOT_RUN],
          world->counts[SOAK_FAILED], world->counts[SOAK_DENIED], world->counts[SOAK_CUT],
          world->counts[SOAK_CLOSED], world->counts[SOAK_LEFT], violations);
  fflush (stdout);
  soak_world_free (world);
  event_base_free (base);
  return violations;
}

/* The kit shared with the tests reports what it can't do through Check. */
static const char *build_folder;
static char **seeds;

START_TEST (a_run_breaks_no_promise)
{
  ck_assert_uint_eq (play (build_folder, (guint32)g_ascii_strtoull (seeds[_i], NULL, 10)), 0);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc < 3)
    {
      fprintf (stderr, "usage: dogwoodplank-soak BUILD_FOLDER SEED...\n");
      return EXIT_FAILURE;
    }
  build_folder = argv[1];
  seeds = argv + 2;
  Suite *suite = suite_create ("soak");
  TCase *runs = tcase_create ("runs");
  tcase_set_timeout (runs, 0);
  tcase_add_loop_test (runs, a_run_breaks_no_promise, 0, argc - 2);
  suite_add_tcase (suite, runs);
  SRunner *runner = srunner_create (suite);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
