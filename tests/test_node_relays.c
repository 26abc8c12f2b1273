/* Guards against VMs that keep an old state while they hear relays which they can't ask: the
 * relays of a system are replaced, and what changes next must reach all VMs in time. */
#include "common/id.h"
/* For linters; the build sets it for all files of the test. */
#ifndef VMS
#define VMS 6
#endif
#include "tests/node_cluster.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* In which a VM must follow the store: drain_ms and config_apply_ms of the deployments. */
#define FOLLOW_TIME (2 * DP_USEC_PER_SEC)
/* Longer than the time after which a VM asks others for state that is too old. */
#define WATCH_TIME (5 * DP_USEC_PER_SEC)
/* By then a watch that a VM began when it started has ended: relays tell it of changes. */
#define SETTLE_TIME (3 * DP_USEC_PER_SEC)
/* In which a change of the list of VMs is read by the relays and told to the others. It is less
 * than the time for which relays wait before they read further changes together. */
#define LIST_TIME (200 * DP_USEC_PER_MSEC)
#define RELAYS 2
#define NEW_ROUTE "later"

static const char *build;

typedef enum FormerRelays
{
  FORMER_RELAYS_PAUSED, /* until the new ones run, so that they learn of both at once */
  FORMER_RELAYS_KILLED,
} FormerRelays;

typedef enum Change
{
  CHANGE_TARGET, /* one drains */
  CHANGE_CONFIG, /* one route more */
} Change;

typedef struct ReplacementCase
{
  const char *name;
  FormerRelays former;
  Change change;
} ReplacementCase;

static const ReplacementCase replacement_cases[] = {
  { "relays hand over, a target drains", FORMER_RELAYS_PAUSED, CHANGE_TARGET },
  { "relays hand over, a route is added", FORMER_RELAYS_PAUSED, CHANGE_CONFIG },
  { "relays are killed, a target drains", FORMER_RELAYS_KILLED, CHANGE_TARGET },
  { "relays are killed, a route is added", FORMER_RELAYS_KILLED, CHANGE_CONFIG },
};

static guint64
rank_of (guint vm)
{
  char name[8];
  g_snprintf (name, sizeof name, "vm%u", vm);
  return dp_rendezvous_weight (dp_name ("relays"), dp_name (name));
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  guint64 left = rank_of (*(const guint *)a);
  guint64 right = rank_of (*(const guint *)b);
  return (left < right) - (left > right);
}

/* Sorts the VMs as they rank for relays, and gives them data centres in turn: the first two of
 * those that run are the relays. */
static void
rank_vms (Cluster *cluster, guint ranked[VMS])
{
  for (guint i = 0; i < VMS; i++)
    ranked[i] = i;
  qsort (ranked, VMS, sizeof ranked[0], compare_ranks);
  for (guint i = 0; i < VMS; i++)
    cluster->data_centre[ranked[i]] = i % 2 == 0 ? "a" : "b";
}

static void
start_vms (Cluster *cluster, const guint *vms, guint count)
{
  for (guint i = 0; i < count; i++)
    start_node (cluster, vms[i]);
  for (guint i = 0; i < count; i++)
    ck_assert (wait_ready (cluster, vms[i]));
}

/* An entry of a VM that ranks last and doesn't run. */
static void
change_vm_list (const Cluster *cluster, const guint ranked[VMS])
{
  char name[16];
  guint number = 0;
  do
    g_snprintf (name, sizeof name, "other%u", number++);
  while (dp_rendezvous_weight (dp_name ("relays"), dp_name (name))
         >= rank_of (ranked[VMS - 1]));
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"address\":"
                                "\"127.0.0.99\",\"data_centre\":\"a\"}}",
                                name);
  int status = 0;
  g_free (http_exchange ("POST", cluster->address[0], cluster->store,
                         "/objects/dogwoodplank-vms", NULL, body, &status));
  ck_assert_int_eq (status, 200);
  g_free (body);
}

/* Starts two VMs that rank before the relays, and ends the relays' task. */
static void
replace_relays (Cluster *cluster, const ReplacementCase *row, const guint ranked[VMS])
{
  gboolean is_pause = row->former == FORMER_RELAYS_PAUSED;
  if (is_pause)
    {
      change_vm_list (cluster, ranked);
      g_usleep (LIST_TIME);
    }
  for (guint i = RELAYS; i < 2 * RELAYS; i++)
    process_signal (cluster->node[ranked[i]], SIGSTOP);
  start_vms (cluster, ranked, RELAYS);
  for (guint i = RELAYS; i < 2 * RELAYS; i++)
    process_signal (cluster->node[ranked[i]], is_pause ? SIGCONT : SIGKILL);
  if (is_pause)
    g_usleep (LIST_TIME);
}

static gint64
count_runs (const Cluster *cluster, guint target)
{
  char *text = http_exchange ("GET", cluster->address[0], cluster->target_control[target],
                              "/runs", NULL, NULL, NULL);
  gint64 runs = find_number (text, "runs");
  g_free (text);
  return runs;
}

/* TRUE if the VM acts upon the state before the change. */
static gboolean
is_behind (const Cluster *cluster, guint vm, Change change)
{
  gint64 runs;
  switch (change)
    {
    case CHANGE_TARGET:
      runs = count_runs (cluster, 0);
      ck_assert_int_eq (get_status (cluster, vm, "/look/1"), 200);
      return count_runs (cluster, 0) > runs;
    case CHANGE_CONFIG:
      return get_status (cluster, vm, "/" NEW_ROUTE "/1") != 200;
    }
  return FALSE;
}

/* TRUE if a line of the VMs' log has both texts. */
static gboolean
log_contains (const Cluster *cluster, const char *event, const char *member)
{
  char *text;
  ck_assert (g_file_get_contents (cluster->log, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", 0);
  gboolean found = FALSE;
  for (guint i = 0; lines[i] != NULL; i++)
    found |= strstr (lines[i], event) != NULL && strstr (lines[i], member) != NULL;
  g_strfreev (lines);
  g_free (text);
  return found;
}

START_TEST (a_change_is_followed_while_relays_are_replaced)
{
  const ReplacementCase *row = &replacement_cases[_i];
  guint ranked[VMS];
  Cluster *cluster = cluster_new (build);
  rank_vms (cluster, ranked);
  fill_store (cluster);
  start_vms (cluster, &ranked[RELAYS], VMS - RELAYS);
  g_usleep (SETTLE_TIME);
  replace_relays (cluster, row, ranked);
  if (row->change == CHANGE_TARGET)
    put_target (cluster, 0, "PUT", "draining");
  else
    put_config (cluster, 2, NODE_KIT_ROUTE (NEW_ROUTE));
  gint64 changed_at = g_get_monotonic_time ();
  gint64 late[VMS] = { 0 };
  while (g_get_monotonic_time () < changed_at + WATCH_TIME)
    for (guint i = 2 * RELAYS; i < VMS; i++)
      {
        gint64 begun_at = g_get_monotonic_time ();
        if (is_behind (cluster, ranked[i], row->change))
          late[i] = begun_at - changed_at;
      }
  /* Their first statement makes relays known, so that they can be asked at once. */
  ck_assert_msg (!log_contains (cluster, "event=relay_heard", "listed=no"),
                 "%s: relays that can't be asked", row->name);
  for (guint i = 2 * RELAYS; i < VMS; i++)
    ck_assert_msg (late[i] <= FOLLOW_TIME, "%s: vm%u acts upon the old state after %d ms",
                   row->name, ranked[i], (int)(late[i] / DP_USEC_PER_MSEC));
  cluster_free (cluster);
}
END_TEST

/* Relays state their own row to VMs that don't have it, also while they stop. */
START_TEST (a_relay_that_stops_leaves_the_list)
{
  guint ranked[VMS];
  Cluster *cluster = cluster_new (build);
  rank_vms (cluster, ranked);
  cluster_start_nodes (cluster);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  ck_assert (process_stop (cluster->node[ranked[0]], WAIT));
  for (guint i = 1; i < VMS; i++)
    wait_for_metric_at (cluster, ranked[i], "dogwoodplank_vms", VMS - 1);
  g_usleep (SETTLE_TIME);
  for (guint i = 1; i < VMS; i++)
    wait_for_metric_at (cluster, ranked[i], "dogwoodplank_vms", VMS - 1);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_relays BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("relays");
  tcase_add_test (tests, a_relay_that_stops_leaves_the_list);
  tcase_add_loop_test (tests, a_change_is_followed_while_relays_are_replaced, 0,
                       G_N_ELEMENTS (replacement_cases));
  Suite *suite = suite_create ("node_relays");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
