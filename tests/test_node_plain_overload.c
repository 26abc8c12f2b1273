/* A plain service that gets more requests than its targets can run, with nodes, targets and a
 * store as real processes. Without shared mode, which is how the service was dispatched before,
 * the targets reject most requests. */
#include "tests/node_cluster.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Twice what the targets accept. */
#define CALLERS 24
#define WORK_MS 50
/* As in the targets' entries, see node_kit_put_target(). */
#define SLOTS 4
#define QUEUE 2
#define DURATION_MS 3000
#define PAUSE_MS 2000
/* Of docs/hard-load.md: of the arrivals. */
#define REJECTED_MAX 0.02
#define PATH "/desk/1"

static const char *build;

typedef enum Disturbance
{
  DISTURB_NONE,
  DISTURB_KILL,  /* both VMs in turn, so that the owner is among them */
  DISTURB_PAUSE, /* the same */
} Disturbance;

typedef struct Case
{
  const char *name;
  const char *settings; /* of the nodes; NULL: none */
  Disturbance disturbance;
  gboolean is_baseline;
} Case;

static const Case cases[] = {
  { "separate", "\"shared_mode\":\"off\",", DISTURB_NONE, TRUE },
  { "shared", NULL, DISTURB_NONE, FALSE },
  { "VMs are killed", NULL, DISTURB_KILL, FALSE },
  { "VMs are paused", NULL, DISTURB_PAUSE, FALSE },
};

typedef struct Load
{
  const Cluster *cluster;
  gint is_stopped;
  gint is_in_use[VMS];
  gint arrivals;
  gint unknown; /* 502 and 504 */
} Load;

typedef struct Caller
{
  Load *load;
  guint vm;
} Caller;

static gpointer
call_until_stopped (gpointer data)
{
  const Caller *caller = data;
  Load *load = caller->load;
  while (!g_atomic_int_get (&load->is_stopped))
    {
      int status = 0;
      if (g_atomic_int_get (&load->is_in_use[caller->vm]))
        {
          g_atomic_int_inc (&load->arrivals);
          status = get_status (load->cluster, caller->vm, PATH);
        }
      g_atomic_int_add (&load->unknown, status == 502 || status == 504);
      if (status != 200)
        g_usleep (20000);
    }
  return NULL;
}

static Cluster *
start_cluster (const Case *row)
{
  Cluster *cluster = cluster_new (build);
  cluster->more_settings = row->settings;
  put_config (cluster, 1,
              ",{\"name\":\"desk\",\"host\":\"site.example\",\"path_prefix\":\"/desk/\","
              "\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"desk\"}");
  for (guint i = 0; i < TARGETS; i++)
    put_target_of (cluster, i, "POST", "ready", "desk");
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  char *faults
    = g_strdup_printf ("{\"slots\":%d,\"queue\":%d,\"wait_ms\":%d}", SLOTS, QUEUE, WORK_MS);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], faults);
  g_free (faults);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
  return cluster;
}

static void
disturb (Cluster *cluster, Load *load, Disturbance disturbance)
{
  for (guint i = 0; i < VMS && disturbance != DISTURB_NONE; i++)
    {
      g_atomic_int_set (&load->is_in_use[i], 0);
      if (disturbance == DISTURB_KILL)
        {
          cluster->was_started = TRUE;
          process_free (cluster->node[i]);
          start_node (cluster, i);
          ck_assert (wait_ready (cluster, i));
        }
      else
        {
          process_signal (cluster->node[i], SIGSTOP);
          g_usleep ((gulong)PAUSE_MS * 1000);
          process_signal (cluster->node[i], SIGCONT);
        }
      g_atomic_int_set (&load->is_in_use[i], 1);
      g_usleep ((gulong)DURATION_MS * 1000);
    }
}

/* Final responses without an attempt that say that the request may have run. */
static guint
count_unknown_without_attempt (const Cluster *cluster)
{
  char *text;
  ck_assert (g_file_get_contents (cluster->log, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  guint count = 0;
  for (guint i = 0; lines[i] != NULL; i++)
    count += strstr (lines[i], "event=request_end ") != NULL
             && strstr (lines[i], " sendings=0 ") != NULL
             && (strstr (lines[i], " status=502 ") != NULL
                 || strstr (lines[i], " status=504 ") != NULL);
  g_strfreev (lines);
  g_free (text);
  return count;
}

static void
check_calm (const Cluster *cluster)
{
  ck_assert_int_eq (get_status (cluster, 0, PATH), 200);
  wait_for_metric (cluster, "dogwoodplank_shared_pools", 0);
}

/* Guards against VMs that overload a service's targets since they know only of their own
 * requests. */
START_TEST (overloaded_targets_seldom_reject)
{
  const Case *row = &cases[_i];
  Cluster *cluster = start_cluster (row);
  check_calm (cluster);
  Load load = { .cluster = cluster, .is_in_use = { 1, 1 } };
  Caller callers[CALLERS];
  GThread *threads[CALLERS];
  for (guint i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ &load, i % VMS };
      threads[i] = g_thread_new ("caller", call_until_stopped, &callers[i]);
    }
  if (!row->is_baseline)
    wait_for_metric (cluster, "dogwoodplank_shared_pools", 1);
  g_usleep ((gulong)DURATION_MS * 1000);
  disturb (cluster, &load, row->disturbance);
  g_atomic_int_set (&load.is_stopped, 1);
  for (guint i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  gint64 rejected = sum_target_counter (cluster, "declined");
  gint64 runs = sum_target_counter (cluster, "runs");
  printf ("%s: %d arrivals, %d run, %d rejected, %d unknown\n", row->name, load.arrivals,
          (int)runs, (int)rejected, load.unknown);
  fflush (stdout);
  ck_assert_uint_eq (count_unknown_without_attempt (cluster), 0);
  if (row->is_baseline)
    ck_assert_int_gt (rejected, (gint64)(REJECTED_MAX * load.arrivals));
  else
    ck_assert_int_le (rejected, (gint64)(REJECTED_MAX * load.arrivals));
  check_calm (cluster);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "usage: test_node_plain_overload BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  Suite *suite = suite_create ("node_plain_overload");
  TCase *tests = tcase_create ("node_plain_overload");
  tcase_add_loop_test (tests, overloaded_targets_seldom_reject, 0, G_N_ELEMENTS (cases));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
