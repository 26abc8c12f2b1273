/* A VM whose machine was suspended acts on nothing that has expired meanwhile. */
#include "common/clock.h"
#include "tests/node_cluster.h"
#include "tests/suspend.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define SUSPENDED (3 * DP_USEC_PER_SEC)
#define SEND_TIME (150 * DP_USEC_PER_MSEC)

static const char *build;

typedef struct Call
{
  const Cluster *cluster;
  int status;
} Call;

static gpointer
run_call (gpointer data)
{
  Call *call = data;
  const Cluster *cluster = call->cluster;
  g_free (http_exchange ("GET", cluster->address[0], cluster->caller_port[0], "/look/1",
                         HOST KEY "Request-Id: late\r\nDeadline-Ms: 1500\r\n", NULL,
                         &call->status));
  return NULL;
}

static void
signal_nodes (const Cluster *cluster, int number)
{
  for (guint i = 0; i < VMS; i++)
    process_signal (cluster->node[i], number);
}

static void
set_faults (const Cluster *cluster, const char *json)
{
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], json);
}

START_TEST (a_suspended_vm_passes_no_late_request_on)
{
  Cluster *cluster = cluster_new (build);
  char *path = g_strconcat (cluster->folder, "/suspended", NULL);
  suspend_init (path);
  cluster->node_program = "/tests/suspendable-node";
  cluster_start_nodes (cluster);
  set_faults (cluster, "{\"silent\":1}");
  Call call = { .cluster = cluster };
  GThread *thread = g_thread_new ("caller", run_call, &call);
  g_usleep (SEND_TIME);
  signal_nodes (cluster, SIGSTOP);
  g_usleep (SUSPENDED);
  set_faults (cluster, "{}");
  gint64 runs = sum_target_counter (cluster, "runs");
  suspend_set_total (SUSPENDED);
  signal_nodes (cluster, SIGCONT);
  g_thread_join (thread);
  suspend_set_total (0);
  ck_assert_int_eq (call.status, 504);
  ck_assert_int_eq (sum_target_counter (cluster, "runs"), runs);
  cluster_free (cluster);
  g_free (path);
}
END_TEST

START_TEST (the_clock_counts_a_suspend)
{
  char *path = NULL;
  close (g_file_open_tmp ("dp-suspend-XXXXXX", &path, NULL));
  suspend_init (path);
  DpUsec before = dp_clock_now ();
  DpUsec monotonic_before = g_get_monotonic_time ();
  suspend_set_total (SUSPENDED);
  DpUsec after = dp_clock_now ();
  DpUsec monotonic_after = g_get_monotonic_time ();
  /* The test library measures times, too. */
  suspend_set_total (0);
  ck_assert_int_ge (after, before);
  ck_assert_int_lt (monotonic_after, monotonic_before);
  unlink (path);
  g_free (path);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_suspend BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("suspend");
  tcase_add_test (tests, the_clock_counts_a_suspend);
  tcase_add_test (tests, a_suspended_vm_passes_no_late_request_on);
  Suite *suite = suite_create ("node_suspend");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
