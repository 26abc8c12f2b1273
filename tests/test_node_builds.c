/* Nodes beside VMs of other builds, as the store's list of VMs shows them. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 10
/* A VM that does not respond is passed over by then. */
#define PASSED_OVER_MS 1500
/* Rules are checked each second, and a new process owns nothing for two. */
#define RULE_WATCHED (4 * DP_USEC_PER_SEC)

static const char *build;

static void
write_vm (const Cluster *cluster, const char *method, const char *spec)
{
  NodeKitStore store = store_of (cluster);
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"other\"},\"spec\":%s}", spec);
  const char *path = strcmp (method, "POST") == 0 ? "/objects/dogwoodplank-vms"
                                                  : "/objects/dogwoodplank-vms/other";
  int status = 0;
  g_free (http_exchange (method, store.address, store.port, path, NULL, body, &status));
  ck_assert_int_eq (status, 200);
  g_free (body);
}

static guint
count_lines (const Cluster *cluster, const char *part)
{
  char *text = NULL;
  ck_assert (g_file_get_contents (cluster->log, &text, NULL, NULL));
  guint count = 0;
  for (const char *at = text; (at = strstr (at, part)) != NULL; at++)
    count++;
  g_free (text);
  return count;
}

static void
check_served (const Cluster *cluster, const char *name)
{
  for (guint i = 0; i < REQUESTS; i++)
    {
      int status = get_status (cluster, i % VMS, "/look/1");
      ck_assert_msg (status == 200, "%s: request %u: %d", name, i, status);
    }
}

typedef struct BuildCase
{
  const char *name;
  const char *spec; /* of a VM that does not respond */
  gint64 older_vms;
  const char *line; /* of each node's log, once */
} BuildCase;

#define SPEC(more) "{\"address\":\"127.0.0.77\",\"data_centre\":\"b\"," more "}"

static const BuildCase build_cases[] = {
  { "an older build", SPEC ("\"weight\":100"), 1,
    "event=builds_mixed lowest=0 highest=5 older_vms=1 vms=3" },
  { "a build that knows no roll-outs", SPEC ("\"weight\":6400,\"rules\":1"), 1,
    "event=builds_mixed lowest=1 highest=5 older_vms=1 vms=3" },
  { "a build that knows no copies", SPEC ("\"weight\":6400,\"rules\":2"), 1,
    "event=builds_mixed lowest=2 highest=5 older_vms=1 vms=3" },
  { "a build that knows no rows", SPEC ("\"weight\":6400,\"rules\":3"), 1,
    "event=builds_mixed lowest=3 highest=5 older_vms=1 vms=3" },
  { "a build that knows few parts", SPEC ("\"weight\":6400,\"rules\":4"), 1,
    "event=builds_mixed lowest=4 highest=5 older_vms=1 vms=3" },
  { "a newer build that says more", SPEC ("\"weight\":6400,\"rules\":6,\"mood\":{\"a\":[1]}"),
    VMS, "event=builds_mixed lowest=5 highest=6 older_vms=2 vms=3" },
  { "a number out of range", SPEC ("\"weight\":6400,\"rules\":1e15"), 1,
    "event=builds_mixed lowest=0 highest=5 older_vms=1 vms=3" },
};

START_TEST (a_vm_of_another_build_is_known_and_logged_once)
{
  const BuildCase *row = &build_cases[_i];
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  ck_assert_uint_eq (count_lines (cluster, "event=builds_mixed"), 0);
  write_vm (cluster, "POST", row->spec);
  wait_for_metric (cluster, "dogwoodplank_older_vms", row->older_vms);
  g_usleep ((gulong)PASSED_OVER_MS * 1000);
  check_served (cluster, row->name);
  ck_assert_msg (count_lines (cluster, row->line) == VMS, "%s: %u lines", row->name,
                 count_lines (cluster, row->line));
  write_vm (cluster, "DELETE", "{}");
  wait_for_metric (cluster, "dogwoodplank_older_vms", 0);
  ck_assert_uint_eq (count_lines (cluster, "event=builds_equal"), VMS);
  cluster_free (cluster);
}
END_TEST

/* With the entry ranking first, one of the nodes is the other relay, and the second node hears
 * of changes from that alone. */
START_TEST (a_vm_that_is_replaced_under_its_name_is_known_anew)
{
  Cluster *cluster = cluster_start (build);
  write_vm (cluster, "POST", SPEC ("\"weight\":900000,\"rules\":5"));
  wait_for_metric (cluster, "dogwoodplank_vms", VMS + 1);
  g_usleep ((gulong)PASSED_OVER_MS * 1000);
  write_vm (cluster, "PUT", SPEC ("\"weight\":900000,\"rules\":6"));
  wait_for_metric (cluster, "dogwoodplank_older_vms", VMS);
  write_vm (cluster, "PUT", SPEC ("\"weight\":100"));
  wait_for_metric (cluster, "dogwoodplank_older_vms", 1);
  check_served (cluster, "taken back");
  cluster_free (cluster);
}
END_TEST

static void
send_for (const Cluster *cluster, DpUsec duration)
{
  for (gint64 end = g_get_monotonic_time () + duration; g_get_monotonic_time () < end;)
    for (guint i = 0; i < VMS; i++)
      get_status (cluster, i, "/desk/1");
}

/* A plain service whose targets are brittle goes through its owner, but not from older VMs. */
START_TEST (a_rule_that_older_vms_may_break_is_logged_once)
{
  Cluster *cluster = cluster_new (build);
  put_config (cluster, 1,
              ",{\"name\":\"desk\",\"host\":\"site.example\",\"path_prefix\":\"/desk/\","
              "\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"desk\"}");
  for (guint i = 0; i < TARGETS; i++)
    {
      put_target_of (cluster, i, "POST", "ready", "desk");
      set_fault (cluster, cluster->target_control[i], "{\"brittle\":\"3\"}");
    }
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  send_for (cluster, RULE_WATCHED);
  ck_assert_uint_eq (count_lines (cluster, "event=rule_not_kept"), 0);
  write_vm (cluster, "POST", SPEC ("\"weight\":100"));
  wait_for_metric (cluster, "dogwoodplank_older_vms", 1);
  send_for (cluster, RULE_WATCHED);
  ck_assert_uint_eq (count_lines (cluster, "event=rule_not_kept pool=desk older_vms=1"), 1);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_builds BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("builds");
  tcase_add_loop_test (tests, a_vm_of_another_build_is_known_and_logged_once, 0,
                       G_N_ELEMENTS (build_cases));
  tcase_add_test (tests, a_rule_that_older_vms_may_break_is_logged_once);
  tcase_add_test (tests, a_vm_that_is_replaced_under_its_name_is_known_anew);
  Suite *suite = suite_create ("node_builds");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
