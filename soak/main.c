/* Usage: dogwoodplank-soak BUILD_FOLDER [--older FOLDER [--half]] SEED...
 *
 * Makes one run per seed. The exit code is 1 if any run had violations. With --older the VMs
 * begin with the programs of that build folder, are replaced one by one, and taken back; with
 * --half every second VM runs it for the whole run. */
#include "soak/soak.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Faults are scheduled within this time. */
#define FAULTS_DURATION_SECONDS 8.0
/* The users' limit for the recovery of the whole system after the last fault. */
#define RECOVERY_TIMEOUT_SECONDS 15.0
/* The system counts as recovered when this many consecutive requests were served and all VMs
 * are ready: callers keep their connections, so they may not have asked each VM. */
#define RECOVERED_SERVED_COUNT 150
/* Limit for a config change to be applied by all VMs. */
#define CONFIG_APPLY_TIMEOUT (3 * DP_USEC_PER_SEC)
/* Limit for lost entries to be written again. */
#define ENTRY_TIMEOUT (3 * DP_USEC_PER_SEC)

static void
run_loop (SoakCluster *cluster, double seconds)
{
  const struct timeval duration
    = { .tv_sec = (time_t)seconds,
        .tv_usec = (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6) };
  event_base_loopexit (cluster->base, &duration);
  event_base_dispatch (cluster->base);
}

static gboolean
all_vms_run (SoakCluster *cluster)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      const SoakVm *vm = &cluster->vms[i];
      if (vm->process == NULL || vm->is_stopping)
        return FALSE;
    }
  return TRUE;
}

static gboolean
all_vms_are_ready (SoakCluster *cluster)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    if (!soak_vm_is_ready (&cluster->vms[i]))
      return FALSE;
  return TRUE;
}

static void
wait_for_recovery (SoakCluster *cluster)
{
  /* Stops in progress and restarts are part of the faults. */
  double deadline = soak_cluster_elapsed (cluster) + RECOVERY_TIMEOUT_SECONDS;
  while ((cluster->pending_faults > 0 || !all_vms_run (cluster))
         && soak_cluster_elapsed (cluster) < deadline)
    run_loop (cluster, 0.05);
  soak_faults_clear (cluster);
  double start = soak_cluster_elapsed (cluster);
  cluster->consecutive_served = 0;
  while (cluster->consecutive_served < RECOVERED_SERVED_COUNT || !all_vms_are_ready (cluster))
    {
      if (soak_cluster_elapsed (cluster) - start > RECOVERY_TIMEOUT_SECONDS)
        {
          soak_cluster_add_violation (cluster, "not recovered %.0f s after the last fault",
                                      RECOVERY_TIMEOUT_SECONDS);
          return;
        }
      run_loop (cluster, 0.02);
    }
  soak_cluster_log (cluster, "recovered after %.2f s", soak_cluster_elapsed (cluster) - start);
}

/* Returns the status, 0 if there was no answer. */
static int
get_new_route (const SoakVm *vm, const char *path)
{
  int status = 0;
  g_free (http_exchange ("GET", vm->address, SOAK_CALLER_PORT, path,
                         "Host: " NODE_KIT_HOST "\r\n", NULL, &status));
  return status;
}

/* Checks that each VM applies the newest config: its new route answers 401, not 404. */
static void
check_config (SoakCluster *cluster)
{
  char path[32];
  if (cluster->config_version < 2)
    return;
  g_snprintf (path, sizeof path, "/v%u/1", cluster->config_version);
  gint64 end = g_get_monotonic_time () + CONFIG_APPLY_TIMEOUT;
  int statuses[SOAK_VMS] = { 0 };
  gboolean is_pending;
  do
    {
      run_loop (cluster, 0.01);
      is_pending = FALSE;
      for (guint i = 0; i < SOAK_VMS; i++)
        {
          if (statuses[i] == 0 || statuses[i] == 404)
            statuses[i] = get_new_route (&cluster->vms[i], path);
          is_pending = is_pending || statuses[i] == 0 || statuses[i] == 404;
        }
    }
  while (is_pending && g_get_monotonic_time () < end);
  for (guint i = 0; i < SOAK_VMS; i++)
    if (statuses[i] != 401)
      soak_cluster_add_violation (cluster,
                                  "%s: status %d for %s, the newest config is not applied",
                                  cluster->vms[i].name, statuses[i], path);
}

/* Checks that each VM has its entry in the store, also if the store lost it. */
static void
check_entries (SoakCluster *cluster)
{
  gint64 end = g_get_monotonic_time () + ENTRY_TIMEOUT;
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      while (!soak_vm_is_listed (cluster, &cluster->vms[i]) && g_get_monotonic_time () < end)
        run_loop (cluster, 0.01);
      if (!soak_vm_is_listed (cluster, &cluster->vms[i]))
        soak_cluster_add_violation (cluster, "%s has no entry in the store",
                                    cluster->vms[i].name);
    }
}

/* One series of faults, and the checks after it. */
static void
run_faults (SoakCluster *cluster, gboolean replaces_vms)
{
  soak_faults_schedule (cluster, FAULTS_DURATION_SECONDS);
  if (replaces_vms)
    soak_faults_schedule_replacements (cluster, FAULTS_DURATION_SECONDS);
  soak_limits_choose (cluster);
  soak_faults_schedule_herds (cluster, FAULTS_DURATION_SECONDS);
  soak_faults_schedule_changes (cluster, FAULTS_DURATION_SECONDS);
  run_loop (cluster, FAULTS_DURATION_SECONDS);
  wait_for_recovery (cluster);
  check_config (cluster);
  check_entries (cluster);
}

/* VMs of this build must say in their log that another one serves beside them. */
static void
check_mixed_is_logged (SoakCluster *cluster)
{
  char *text = NULL;
  if (g_file_get_contents (cluster->log_path, &text, NULL, NULL)
      && strstr (text, "event=builds_mixed") == NULL)
    soak_cluster_add_violation (cluster, "no VM logged that two builds serve");
  g_free (text);
}

static guint
run_seed (const SoakOptions *options, guint32 seed)
{
  printf ("seed %u\n", seed);
  fflush (stdout);
  struct event_base *base = event_base_new ();
  g_random_set_seed (seed);
  SoakCluster *cluster = soak_cluster_new (base, options, seed);
  SoakCaller *callers[SOAK_CALLERS];
  for (guint i = 0; i < SOAK_CALLERS; i++)
    callers[i] = soak_caller_new (cluster, i);
  gboolean replaces_vms = options->older_build != NULL && !options->is_half_older;
  run_faults (cluster, replaces_vms);
  if (replaces_vms)
    run_faults (cluster, TRUE);
  if (options->older_build != NULL)
    check_mixed_is_logged (cluster);
  for (guint i = 0; i < SOAK_CALLERS; i++)
    soak_caller_free (callers[i]);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      soak_target_collect_runs (cluster, &cluster->targets[i]);
      soak_target_collect_arrivals (&cluster->targets[i]);
    }
  soak_check_runs (cluster);
  soak_check_limits (cluster);
  soak_cluster_stop (cluster);
  guint violations = cluster->violations->len;
  printf ("seed %u: served=%u not_run=%u failed=%u denied=%u cut=%u closed=%u left=%u "
          "taken_up=%u unknown=%u violations=%u\n",
          seed, cluster->outcome_counts[SOAK_SERVED], cluster->outcome_counts[SOAK_NOT_RUN],
          cluster->outcome_counts[SOAK_FAILED], cluster->outcome_counts[SOAK_DENIED],
          cluster->outcome_counts[SOAK_CUT], cluster->outcome_counts[SOAK_CLOSED],
          cluster->outcome_counts[SOAK_LEFT], cluster->taken_up, cluster->unknown, violations);
  fflush (stdout);
  soak_cluster_free (cluster);
  event_base_free (base);
  return violations;
}

/* A Check test, since tests/node_kit.c and tests/process.c report errors through Check. */
static SoakOptions options;
static char **seeds;

START_TEST (a_run_has_no_violations)
{
  ck_assert_uint_eq (run_seed (&options, (guint32)g_ascii_strtoull (seeds[_i], NULL, 10)), 0);
}
END_TEST

/* A handler, unlike SIG_IGN, is not inherited by the programs under test. */
static void
ignore_signal (int number)
{
}

int
main (int argc, char **argv)
{
  /* A VM may be killed while a caller writes to it. */
  signal (SIGPIPE, ignore_signal);
  int first = 2;
  if (argc > 3 && strcmp (argv[2], "--older") == 0)
    {
      options.older_build = argv[3];
      options.is_half_older = argc > 4 && strcmp (argv[4], "--half") == 0;
      first = options.is_half_older ? 5 : 4;
    }
  if (argc <= first)
    {
      fprintf (stderr,
               "usage: dogwoodplank-soak BUILD_FOLDER [--older FOLDER [--half]] SEED...\n");
      return EXIT_FAILURE;
    }
  options.build = argv[1];
  seeds = argv + first;
  Suite *suite = suite_create ("soak");
  TCase *runs = tcase_create ("runs");
  tcase_set_timeout (runs, 0);
  tcase_add_loop_test (runs, a_run_has_no_violations, 0, argc - first);
  suite_add_tcase (suite, runs);
  SRunner *runner = srunner_create (suite);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
