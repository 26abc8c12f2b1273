/* Replies of the store that are older than what was known when the call was made, as a response
 * that is sent once more on a kept connection. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Twice the time after which a watch without changes returns. */
#define OLD_TIME (4 * DP_USEC_PER_SEC)

static const char *build;

typedef struct OldCase
{
  const char *name;
  const char *faults; /* set with the old revision */
} OldCase;

static const OldCase old_cases[] = {
  { "a watch", "" },
  { "a listing", ",\"history_gone\":1" },
  { "pages of a listing", ",\"history_gone\":1,\"page\":1" },
};

static gint64
store_revision (const Cluster *cluster)
{
  char *text = http_exchange ("GET", cluster->address[0], cluster->store, "/objects/servers",
                              NULL, NULL, NULL);
  gint64 revision = find_number (text, "store_revision");
  ck_assert_int_gt (revision, 0);
  g_free (text);
  return revision;
}

static void
start_again (const Cluster *cluster, guint index)
{
  char id[8];
  g_snprintf (id, sizeof id, "t%u", index);
  const NodeKitTarget target = { .id = id,
                                 .address = cluster->address[0],
                                 .port = cluster->target[index],
                                 .data_centre = "a",
                                 .state = "ready",
                                 .started = 1700000001000 };
  ck_assert_int_eq (node_kit_put_target (store_of (cluster), "POST", &target), 200);
}

static void
remove_target (const Cluster *cluster, guint index)
{
  char id[8];
  g_snprintf (id, sizeof id, "t%u", index);
  ck_assert_int_eq (node_kit_remove_target (store_of (cluster), id), 200);
}

static void
check_served_for (const Cluster *cluster, const char *name, gint64 duration)
{
  for (gint64 end = g_get_monotonic_time () + duration; g_get_monotonic_time () < end;)
    for (guint vm = 0; vm < VMS; vm++)
      {
        int status = get_status (cluster, vm, "/look/1");
        ck_assert_msg (status == 200, "%s: %d", name, status);
      }
}

/* Both targets are there, since they started again. The old reply has them as removed. */
START_TEST (an_old_reply_of_the_store_takes_nothing_back)
{
  const OldCase *row = &old_cases[_i];
  Cluster *cluster = cluster_start (build);
  for (guint i = 0; i < TARGETS; i++)
    remove_target (cluster, i);
  wait_for_metric (cluster, "dogwoodplank_targets", 0);
  gint64 old = store_revision (cluster);
  for (guint i = 0; i < TARGETS; i++)
    start_again (cluster, i);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
  char *fault = g_strdup_printf ("{\"as_of\":%d%s}", (int)old, row->faults);
  set_fault (cluster, cluster->store_control, fault);
  check_served_for (cluster, row->name, OLD_TIME);
  set_fault (cluster, cluster->store_control, "{\"as_of\":-1,\"history_gone\":-1,\"page\":-1}");
  remove_target (cluster, 1);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS - 1);
  g_free (fault);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_old_replies BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("old_replies");
  tcase_add_loop_test (tests, an_old_reply_of_the_store_takes_nothing_back, 0,
                       G_N_ELEMENTS (old_cases));
  Suite *suite = suite_create ("node_old_replies");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
