/* Entries of other writers in the store that can't be read, among sound ones. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 6
#define DEEP 300
/* An object of the store may have 1 MiB. */
#define DEEP_MAX 500000
#define WIDE 300000
#define LATE_ROUTE NODE_KIT_ROUTE ("late")

static const char *build;

typedef struct OddCase
{
  const char *name;
  const char *kind;
  const char *object; /* name in the store */
  const char *before; /* the object's text: `before`, `count` times `repeated`, `after` */
  const char *repeated;
  guint count;
  const char *after;
} OddCase;

#define NAMED(name) "{\"metadata\":{\"name\":\"" name "\",\"revision\":9},\"spec\":"
#define TARGET(more)                                                                           \
  "{\"service\":\"app\",\"zone\":\"a\",\"state\":\"ready\",\"version\":\"v1\","                \
  "\"sequence\":1," more "}}"
#define ADDRESS "\"address\":\"127.0.0.1:9\""
#define SLOTS "\"slots\":4"

static const OddCase odd_cases[] = {
  { "nested deeply", "servers", "odd", NAMED ("odd"), "[", DEEP, "" },
  { "nested as deeply as an object can be", "servers", "odd", NAMED ("odd"),
    "{\"a\":", DEEP_MAX / 5, "" },
  { "one member nested deeply", "servers", "odd",
    NAMED ("odd") "{" ADDRESS "," SLOTS ",\"service\":\"app\",\"zone\":\"a\","
                  "\"state\":\"ready\",\"more\":",
    "[", DEEP, "" },
  { "very many members", "servers", "odd", NAMED ("odd") "[1", ",{}", WIDE, "]}" },
  { "a number too large", "servers", "odd",
    NAMED ("odd") TARGET (ADDRESS ",\"slots\":1e400,\"born\":1e400"), "", 0, "" },
  { "an integer of many digits", "servers", "odd",
    NAMED ("odd") "{" ADDRESS ",\"service\":\"app\",\"zone\":\"a\",\"state\":\"ready\","
                  "\"slots\":1",
    "0", 400, "}}" },
  { "a port too large", "servers", "odd",
    NAMED ("odd") TARGET (SLOTS ",\"address\":\"127.0.0.1:65536\""), "", 0, "" },
  { "a negative port", "servers", "odd",
    NAMED ("odd") TARGET (SLOTS ",\"address\":\"127.0.0.1:-1\""), "", 0, "" },
  { "no IP address", "servers", "odd",
    NAMED ("odd") TARGET (SLOTS ",\"address\":\"store.example:80\""), "", 0, "" },
  { "a NUL after another entry's name", "servers", "odd", NAMED ("t0\\u0000") "7}", "", 0, "" },
  { "bytes that are no text", "servers", "odd", NAMED ("\xff\xfe") "\"\xc0\x80\"}", "", 0, "" },
  { "no object", "servers", "odd", "17", "", 0, "" },
  { "brackets that don't match", "servers", "odd", NAMED ("odd") "[}}", "", 0, "" },
  { "another config, nested deeply", "config", "odd", NAMED ("odd"), "[", DEEP, "" },
  { "a VM nested deeply", "dogwoodplank-vms", "odd", NAMED ("odd"), "[", DEEP, "" },
  { "a VM at no address", "dogwoodplank-vms", "odd",
    NAMED ("odd") "{\"address\":\"nowhere\",\"data_centre\":\"a\",\"weight\":1e300}}", "", 0,
    "" },
  { "versions nested deeply", "dogwoodplank-versions", "odd", NAMED ("odd"), "[", DEEP, "" },
  { "a block nested deeply", "dogwoodplank-blocks", "odd", NAMED ("odd"), "[", DEEP, "" },
};

/* Closes what `repeated` opens. */
static char *
make_text (const OddCase *row)
{
  GString *text = g_string_new (row->before);
  for (guint i = 0; i < row->count; i++)
    g_string_append (text, row->repeated);
  char last = row->repeated[0];
  if (last == '{')
    g_string_append (text, "1");
  for (guint i = 0; i < row->count && (last == '[' || last == '{'); i++)
    g_string_append_c (text, last == '[' ? ']' : '}');
  if (last == '[' || last == '{')
    g_string_append (text, strstr (row->before, "\"more\":") != NULL ? "}}" : "}");
  g_string_append (text, row->after);
  return g_string_free (text, FALSE);
}

static void
put_odd (const Cluster *cluster, const OddCase *row)
{
  char *path = g_strdup_printf ("/raw?kind=%s&name=%s", row->kind, row->object);
  char *text = make_text (row);
  int status = 0;
  g_free (http_exchange ("POST", cluster->address[0], cluster->store_control, path, NULL, text,
                         &status));
  ck_assert_int_eq (status, 200);
  g_free (text);
  g_free (path);
}

static gboolean
wait_for_route (const Cluster *cluster, guint vm, const char *path)
{
  for (gint64 end = g_get_monotonic_time () + WAIT; g_get_monotonic_time () < end;)
    {
      if (get_status (cluster, vm, path) == 200)
        return TRUE;
      g_usleep (5000);
    }
  return FALSE;
}

static void
check_served (const Cluster *cluster, const OddCase *row)
{
  for (guint i = 0; i < REQUESTS; i++)
    {
      int status = get_status (cluster, i % VMS, "/look/1");
      ck_assert_msg (status == 200, "%s: request %u: %d", row->name, i, status);
    }
}

/* A target leaves and returns. */
static void
check_followed (const Cluster *cluster)
{
  ck_assert_int_eq (node_kit_remove_target (store_of (cluster), "t1"), 200);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS - 1);
  put_target (cluster, 1, "POST", "ready");
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
}

/* Puts the entry before each change, so that a watch has it beside the change. */
static void
check_changes (const Cluster *cluster, const OddCase *row)
{
  put_odd (cluster, row);
  check_followed (cluster);
  put_odd (cluster, row);
  put_config (cluster, 2, LATE_ROUTE);
  for (guint i = 0; i < VMS; i++)
    ck_assert_msg (wait_for_route (cluster, i, "/late/1"), "%s: VM %u has an old config",
                   row->name, i);
  check_served (cluster, row);
  for (guint i = 0; i < VMS; i++)
    ck_assert_msg (process_is_running (cluster->node[i]), "%s: VM %u ended", row->name, i);
}

START_TEST (a_vm_starts_beside_an_odd_entry)
{
  const OddCase *row = &odd_cases[_i];
  Cluster *cluster = cluster_new (build);
  fill_store (cluster);
  put_odd (cluster, row);
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  for (guint i = 0; i < VMS; i++)
    ck_assert_msg (wait_ready (cluster, i), "%s: VM %u is not ready", row->name, i);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  check_served (cluster, row);
  check_changes (cluster, row);
  cluster_free (cluster);
}
END_TEST

START_TEST (a_watch_gets_past_an_odd_entry)
{
  const OddCase *row = &odd_cases[_i];
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  check_changes (cluster, row);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  cluster_free (cluster);
}
END_TEST

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

START_TEST (an_odd_entry_is_logged_once_for_each_revision)
{
  static const OddCase revisions[]
    = { { "revision 9", "servers", "odd", NAMED ("odd") "{}}", "", 0, "" },
        { "revision 10", "servers", "odd",
          "{\"metadata\":{\"name\":\"odd\",\"revision\":10},\"spec\":{}}", "", 0, "" } };
  Cluster *cluster = cluster_start (build);
  for (guint i = 0; i < G_N_ELEMENTS (revisions); i++)
    for (guint readings = 0; readings < VMS + 1; readings++)
      {
        put_odd (cluster, &revisions[i]);
        check_followed (cluster);
      }
  guint lines = count_lines (cluster, "event=store_entry_refused kind=target entry=odd ");
  ck_assert_uint_ge (lines, G_N_ELEMENTS (revisions));
  ck_assert_uint_le (lines, G_N_ELEMENTS (revisions) * VMS);
  cluster_free (cluster);
}
END_TEST

START_TEST (a_stored_quarantine_is_read_beside_an_odd_one)
{
  static const OddCase rows[]
    = { { "a block", "dogwoodplank-blocks", "00000000000000aa",
          "{\"metadata\":{\"name\":\"00000000000000aa\"},\"spec\":{\"joint\":[]}}", "", 0, "" },
        { "a block nested deeply", "dogwoodplank-blocks", "00000000000000ab",
          NAMED ("00000000000000ab"), "[", DEEP, "" },
        { "a block without keys", "dogwoodplank-blocks", "00000000000000ac",
          NAMED ("00000000000000ac") "{}}", "", 0, "" } };
  Cluster *cluster = cluster_new (build);
  fill_store (cluster);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    put_odd (cluster, &rows[i]);
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  wait_for_metric (cluster, "dogwoodplank_quarantined", 1);
  cluster_free (cluster);
}
END_TEST

/* --- a name that can't be read --- */

static const OddCase unnamed_cases[] = {
  { "a number", "servers", "t1", "{\"metadata\":{\"name\":7},\"spec\":{}}", "", 0, "" },
  { "no metadata", "servers", "t1", "{\"spec\":{}}", "", 0, "" },
  { "no object", "servers", "t1", "17", "", 0, "" },
};

START_TEST (a_target_whose_name_can_not_be_read_any_more_is_removed)
{
  const OddCase *row = &unnamed_cases[_i];
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
  put_odd (cluster, row);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS - 1);
  check_served (cluster, row);
  ck_assert_int_eq (node_kit_remove_target (store_of (cluster), "t1"), 200);
  put_target (cluster, 1, "POST", "ready");
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
  cluster_free (cluster);
}
END_TEST

/* --- a VM's own entry --- */

static const OddCase own_cases[] = {
  { "nested deeply", "dogwoodplank-vms", "vm0", NAMED ("vm0"), "[", DEEP, "" },
  { "no spec", "dogwoodplank-vms", "vm0", "{\"metadata\":{\"name\":\"vm0\",\"revision\":9}}",
    "", 0, "" },
  { "another address", "dogwoodplank-vms", "vm0",
    NAMED ("vm0") "{\"address\":\"192.0.2.1\",\"data_centre\":\"a\",\"weight\":1}}", "", 0,
    "" },
  { "another data centre", "dogwoodplank-vms", "vm0",
    NAMED ("vm0") "{\"address\":\"127.0.0.1\",\"data_centre\":\"b\",\"weight\":1}}", "", 0,
    "" },
};

static gboolean
is_own_entry_right (const Cluster *cluster)
{
  char *text = http_exchange ("GET", cluster->address[0], cluster->store,
                              "/objects/dogwoodplank-vms/vm0", NULL, NULL, NULL);
  char *wanted = g_strdup_printf ("\"%s\"", cluster->address[0]);
  gboolean found = text != NULL && strstr (text, wanted) != NULL
                   && strstr (text, "\"data_centre\": \"a\"") != NULL;
  g_free (wanted);
  g_free (text);
  return found;
}

static void
wait_for_own_entry (const Cluster *cluster, const char *name)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  while (!is_own_entry_right (cluster))
    {
      ck_assert_msg (g_get_monotonic_time () < end, "%s: the entry is not written again", name);
      g_usleep (5000);
    }
}

START_TEST (a_vm_writes_its_own_entry_again)
{
  const OddCase *row = &own_cases[_i];
  Cluster *cluster = cluster_start (build);
  wait_for_own_entry (cluster, row->name);
  put_odd (cluster, row);
  ck_assert (!is_own_entry_right (cluster));
  wait_for_own_entry (cluster, row->name);
  check_served (cluster, row);
  cluster_free (cluster);
}
END_TEST

#define SPOILING_TIME (3 * DP_USEC_PER_SEC)
#define OWN_WRITES_MAX 6

START_TEST (an_entry_that_is_spoiled_again_and_again_is_seldom_written)
{
  Cluster *cluster = cluster_start (build);
  wait_for_own_entry (cluster, "start");
  guint before = count_lines (cluster, "event=enlisted");
  for (gint64 end = g_get_monotonic_time () + SPOILING_TIME; g_get_monotonic_time () < end;)
    {
      put_odd (cluster, &own_cases[0]);
      g_usleep (20000);
    }
  guint writes = count_lines (cluster, "event=enlisted") - before;
  ck_assert_msg (writes > 0 && writes <= OWN_WRITES_MAX, "%u writes", writes);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_odd_entry BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("odd_entry");
  tcase_add_loop_test (tests, a_vm_starts_beside_an_odd_entry, 0, G_N_ELEMENTS (odd_cases));
  tcase_add_loop_test (tests, a_watch_gets_past_an_odd_entry, 0, G_N_ELEMENTS (odd_cases));
  tcase_add_test (tests, an_odd_entry_is_logged_once_for_each_revision);
  tcase_add_loop_test (tests, a_target_whose_name_can_not_be_read_any_more_is_removed, 0,
                       G_N_ELEMENTS (unnamed_cases));
  tcase_add_loop_test (tests, a_vm_writes_its_own_entry_again, 0, G_N_ELEMENTS (own_cases));
  tcase_add_test (tests, an_entry_that_is_spoiled_again_and_again_is_seldom_written);
  tcase_add_test (tests, a_stored_quarantine_is_read_beside_an_odd_one);
  Suite *suite = suite_create ("node_odd_entry");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
