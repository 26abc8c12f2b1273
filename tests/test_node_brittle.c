/* Brittle targets, which crash when they reject too many requests, with nodes, targets and a
 * store as real processes. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define CALLERS 24
/* The platform's rule: more falls than this and a tenth of the targets break it. */
#define FALLS_MAX (2 + TARGETS / 10)
#define NOTICE_MS 1000
#define CONTACT_MS 3000
#define DURATION_MS 6000
#define WORK_MS 50
#define RETRY_DELAY_MS 20
/* As in the targets' entries, see node_kit_put_target(). */
#define SLOTS 4
/* Part of what the slots can serve while more requests wait. */
#define USED_MIN 0.5
/* The same while one of two VMs has no callers for three quarters of the time. */
#define USED_MIN_KILLED 0.25

static const char *build;

typedef struct BrittleCase
{
  const char *name;
  const char *service;
  const char *path;
  guint rejections_max;
  gboolean kills_vms;  /* one after the other, so that the owner is among them */
  gboolean is_upgrade; /* all VMs are of the older build until one is replaced */
  gboolean is_mixed;   /* played with an older build, too: its requests go through the owner */
} BrittleCase;

static const BrittleCase cases[] = {
  { "pool with an owner", "app", "/look/1", 3, .is_mixed = TRUE },
  { "pool with an owner, none may be rejected", "app", "/look/1", 0, .is_mixed = TRUE },
  { "pool with an owner, an older VM is replaced", "app", "/look/1", 3, .is_mixed = TRUE,
    .is_upgrade = TRUE },
  { "pool without an owner", "desk", "/desk/1", 3 },
  { "pool without an owner, none may be rejected", "desk", "/desk/1", 0 },
  { "pool with an owner, VMs are killed", "app", "/look/1", 3, TRUE },
  { "pool without an owner, VMs are killed", "desk", "/desk/1", 3, TRUE },
};

typedef struct Caller
{
  const Cluster *cluster;
  const char *path;
  guint vm;
  const gint *is_stopped;
  const gint *is_vm_in_use;
} Caller;

static gpointer
call_until_stopped (gpointer data)
{
  const Caller *caller = data;
  while (!g_atomic_int_get (caller->is_stopped))
    if (!g_atomic_int_get (caller->is_vm_in_use)
        || get_status (caller->cluster, caller->vm, caller->path) != 200)
      g_usleep ((gulong)RETRY_DELAY_MS * 1000);
  return NULL;
}

static Cluster *
start_cluster (const BrittleCase *row)
{
  Cluster *cluster = cluster_new (build);
  for (guint i = 0; i < VMS; i++)
    cluster->is_older[i] = cluster->is_older[i] || row->is_upgrade;
  put_config (cluster, 1,
              ",{\"name\":\"desk\",\"host\":\"site.example\",\"path_prefix\":\"/desk/\","
              "\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"desk\"}");
  for (guint i = 0; i < TARGETS; i++)
    put_target_of (cluster, i, "POST", "ready", row->service);
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
  return cluster;
}

static void
set_faults (const Cluster *cluster, const char *json)
{
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], json);
}

/* Kills the VMs in turn. The platform's rules don't count what a VM does for a while after its
 * start: it has no callers then. */
static void
kill_vms (Cluster *cluster, gint in_use[VMS])
{
  cluster->was_started = TRUE;
  for (guint i = 0; i < VMS; i++)
    {
      g_atomic_int_set (&in_use[i], 0);
      process_free (cluster->node[i]);
      start_node (cluster, i);
      g_usleep ((gulong)CONTACT_MS * 1000);
      g_atomic_int_set (&in_use[i], 1);
      g_usleep ((gulong)NOTICE_MS * 1000);
    }
}

static void
replace_vm (Cluster *cluster, guint vm)
{
  cluster->was_started = TRUE;
  cluster->is_older[vm] = FALSE;
  process_free (cluster->node[vm]);
  start_node (cluster, vm);
  g_usleep ((gulong)CONTACT_MS * 1000);
}

START_TEST (brittle_targets_seldom_fall)
{
  const BrittleCase *row = &cases[_i];
  gboolean is_mixed = g_getenv (OLDER_BUILD_VARIABLE) != NULL;
  if (is_mixed ? !row->is_mixed : row->is_upgrade)
    return;
  Cluster *cluster = start_cluster (row);
  if (is_mixed)
    g_usleep ((gulong)CONTACT_MS * 1000);
  char *faults = g_strdup_printf ("{\"brittle\":\"%u\",\"slots\":%d,\"queue\":1000,"
                                  "\"wait_ms\":%d,\"down_ms\":1000}",
                                  row->rejections_max, SLOTS, WORK_MS);
  set_faults (cluster, faults);
  gint is_stopped = 0;
  gint in_use[VMS];
  for (guint i = 0; i < VMS; i++)
    in_use[i] = 1;
  Caller callers[CALLERS];
  GThread *threads[CALLERS];
  for (guint i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ cluster, row->path, i % VMS, &is_stopped, &in_use[i % VMS] };
      threads[i] = g_thread_new ("caller", call_until_stopped, &callers[i]);
    }
  g_usleep ((gulong)NOTICE_MS * 1000);
  set_faults (cluster, "{\"queue\":0}");
  if (row->is_upgrade)
    replace_vm (cluster, g_strcmp0 (g_getenv (OLDER_VM_VARIABLE), "0") == 0 ? 1 : 0);
  gint64 falls = sum_target_counter (cluster, "falls");
  gint64 runs = sum_target_counter (cluster, "runs");
  gint64 start = g_get_monotonic_time ();
  if (row->kills_vms)
    kill_vms (cluster, in_use);
  else
    g_usleep ((gulong)DURATION_MS * 1000);
  gint64 duration_ms = (g_get_monotonic_time () - start) / 1000;
  falls = sum_target_counter (cluster, "falls") - (row->is_upgrade ? falls : 0);
  runs = sum_target_counter (cluster, "runs") - runs;
  gint64 declined = sum_target_counter (cluster, "declined");
  g_atomic_int_set (&is_stopped, 1);
  for (guint i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  printf ("%s: %d falls, %d rejected, %d run\n", row->name, (int)falls, (int)declined,
          (int)runs);
  fflush (stdout);
  ck_assert_msg (falls <= FALLS_MAX, "%s: %d falls", row->name, (int)falls);
  double wanted = (row->kills_vms ? USED_MIN_KILLED : USED_MIN) * TARGETS * SLOTS
                  * (double)duration_ms / WORK_MS;
  ck_assert_msg ((double)runs >= wanted, "%s: %d requests run", row->name, (int)runs);
  g_free (faults);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "usage: test_node_brittle BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  Suite *suite = suite_create ("node_brittle");
  TCase *tests = tcase_create ("node_brittle");
  tcase_add_loop_test (tests, brittle_targets_seldom_fall, 0, G_N_ELEMENTS (cases));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
