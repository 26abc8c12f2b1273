/* Guards against a VM that takes the first page of a listing for the store's confirmation of
 * what it has: while the other pages don't come, it would vouch for an old list. */
#include "tests/node_cluster.h"
#include "tests/store_rewriter.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The VM lists again and again meanwhile; it asks other VMs only after 3 s. */
#define FAULT_TIME (2500 * DP_USEC_PER_MSEC)
/* Less than FAULT_TIME by the time that a machine with much else to do takes for a request. */
#define AGE_MIN_MSEC 1500

static const char *build;

/* In the last line of the VMs' log that has it. */
static gint64
read_last_number (const Cluster *cluster, const char *name)
{
  char *text;
  ck_assert (g_file_get_contents (cluster->log, &text, NULL, NULL));
  char *member = g_strdup_printf (" %s=", name);
  const char *last = g_strrstr (text, member);
  ck_assert_msg (last != NULL, "no %s in the log", name);
  gint64 number = g_ascii_strtoll (last + strlen (member), NULL, 10);
  g_free (member);
  g_free (text);
  return number;
}

START_TEST (the_first_page_of_a_listing_confirms_nothing)
{
  Cluster *cluster = cluster_new (build);
  const NodeKitStore store = store_of (cluster);
  /* The second page, of t1, can't be read. */
  const StoreRewriterOptions options = { .address = cluster->address[1],
                                         .store_address = store.address,
                                         .store_port = store.port,
                                         .from = "\"name\": \"t1\"",
                                         .to = "\"name\": \"t1 " };
  StoreRewriter *rewriter = store_rewriter_start (&options);
  cluster->vm_store[0]
    = (NodeKitStore){ .address = cluster->address[1], .port = store_rewriter_port (rewriter) };
  cluster_start_nodes (cluster);
  store_rewriter_set_active (rewriter, TRUE);
  set_fault (cluster, cluster->store_control, "{\"page\":1,\"history_gone\":1}");
  put_target (cluster, 0, "PUT", "ready");
  g_usleep (FAULT_TIME);
  ck_assert_int_eq (get_status (cluster, 0, "/look/1"), 200);
  gint64 age = read_last_number (cluster, "targets_age_ms");
  ck_assert_msg (age >= AGE_MIN_MSEC, "the list of targets counts as %d ms old", (int)age);
  cluster_free (cluster);
  store_rewriter_free (rewriter);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_pages BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("pages");
  tcase_add_test (tests, the_first_page_of_a_listing_confirms_nothing);
  Suite *suite = suite_create ("node_pages");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
