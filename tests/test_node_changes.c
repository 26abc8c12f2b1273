/* Guards against changes that cost more than their own size: a VM that is sent whole lists, or
 * the same state twice, has no room on its link for callers. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUTES ((gsize)1400)
#define OTHER_TARGETS 200
/* Other messages of one VM in SETTLE_TIME; far below a list of OTHER_TARGETS. */
#define IDLE_BYTES 16000
/* What is sent late, or again, is sent by then. */
#define SETTLE_TIME (1500 * DP_USEC_PER_MSEC)
/* Nearly what the store accepts for one object. */
#define LARGEST_TEXT ((gsize)1040000)

static const char *build;

/* With VMs in two data centres there are two relays. */
static Cluster *
start_cluster (void)
{
  Cluster *cluster = cluster_new (build);
  for (guint i = 0; i < VMS; i++)
    cluster->data_centre[i] = i % 2 == 0 ? "a" : "b";
  cluster_start_nodes (cluster);
  return cluster;
}

/* Each route is of about 160 bytes; `prefix` names the group. */
static void
append_routes (GString *text, const char *prefix, guint count)
{
  for (guint i = 0; i < count; i++)
    g_string_append_printf (
      text,
      ",{\"name\":\"%s%u\",\"host\":\"" NODE_KIT_HOST "\",\"path_prefix\":\"/%s%u/\","
      "\"kind\":\"safe\",\"timeout_ms\":1500,\"max_attempts\":2,\"priority\":2,"
      "\"service\":\"app\"}",
      prefix, i, prefix, i);
}

static gint64
read_metric (const Cluster *cluster, guint vm, const char *name)
{
  char *text = http_exchange ("GET", cluster->address[vm], cluster->operator_port, "/metrics",
                              NULL, NULL, NULL);
  gint64 number = find_number (text, name);
  g_free (text);
  return number;
}

static gint64
sum_sent_bytes (const Cluster *cluster)
{
  gint64 sum = 0;
  for (guint i = 0; i < VMS; i++)
    sum += read_metric (cluster, i, "dogwoodplank_bus_bytes_total{direction=\"sent\"}");
  return sum;
}

static void
wait_in_force (const Cluster *cluster, const char *path)
{
  for (guint i = 0; i < VMS; i++)
    ck_assert_msg (wait_status (cluster, i, path, 200), "VM %u has no %s", i, path);
}

typedef enum Change
{
  CHANGE_ROUTE,  /* one more */
  CHANGE_GROWTH, /* ROUTES more */
  CHANGE_TARGET, /* one more */
} Change;

typedef struct ChangeCase
{
  const char *name;
  Change change;
  guint routes;  /* before */
  guint targets; /* before, besides those of the cluster */
  gsize sent;    /* what each VM may be sent for it, bytes */
} ChangeCase;

static const ChangeCase change_cases[] = {
  { "a route more, small config", CHANGE_ROUTE, 0, 0, 2000 },
  { "a route more, large config", CHANGE_ROUTE, (guint)ROUTES, 0, 2000 },
  /* Once 160 bytes for each route, with a tenth for what is around them. */
  { "many routes more", CHANGE_GROWTH, 0, 0, ROUTES * 176 },
  { "a target more, few targets", CHANGE_TARGET, 0, 0, 2000 },
  { "a target more, many targets", CHANGE_TARGET, 0, OTHER_TARGETS, 2000 },
};

/* Of a service without routes, so that no request is sent there. */
static void
put_other_target (const Cluster *cluster, guint index)
{
  char *id = g_strdup_printf ("other%u", index);
  const NodeKitTarget target = { .id = id,
                                 .service = "other",
                                 .address = "127.0.0.78",
                                 .port = (guint16)(10000 + index),
                                 .data_centre = "a",
                                 .state = "ready",
                                 .started = 1700000000000 };
  ck_assert_int_eq (node_kit_put_target (store_of (cluster), "POST", &target), 200);
  g_free (id);
}

static void
make_change (const Cluster *cluster, const ChangeCase *row, GString *routes)
{
  switch (row->change)
    {
    case CHANGE_ROUTE:
      append_routes (routes, "new", 1);
      break;
    case CHANGE_GROWTH:
      append_routes (routes, "new", (guint)ROUTES);
      break;
    case CHANGE_TARGET:
      put_other_target (cluster, row->targets);
      wait_for_metric (cluster, "dogwoodplank_targets", TARGETS + row->targets + 1);
      return;
    }
  put_config (cluster, 3, routes->str);
  wait_in_force (cluster, "/new0/1");
}

START_TEST (a_change_costs_its_own_size)
{
  const ChangeCase *row = &change_cases[_i];
  Cluster *cluster = start_cluster ();
  GString *routes = g_string_new (NULL);
  append_routes (routes, "old", row->routes + 1);
  put_config (cluster, 2, routes->str);
  wait_in_force (cluster, "/old0/1");
  for (guint i = 0; i < row->targets; i++)
    put_other_target (cluster, i);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS + row->targets);
  g_usleep (SETTLE_TIME);
  gint64 before = sum_sent_bytes (cluster);
  make_change (cluster, row, routes);
  g_usleep (SETTLE_TIME);
  gint64 sent = sum_sent_bytes (cluster) - before;
  gint64 allowed = VMS * (gint64)(row->sent + IDLE_BYTES);
  ck_assert_msg (sent <= allowed, "%s: %d bytes sent to %d VMs, %d allowed", row->name,
                 (int)sent, VMS, (int)allowed);
  g_string_free (routes, TRUE);
  cluster_free (cluster);
}
END_TEST

typedef struct WritingCase
{
  const char *name;
  const char *padding; /* repeated within the path prefixes of routes */
} WritingCase;

/* Characters that another writer of JSON would escape, or write in more or fewer bytes. */
static const WritingCase writing_cases[] = {
  { "plain", "abcdefgh" },
  { "slashes", "a/b/c/d/" },
  { "escapes", "\\u0061\\/" },
};

static char *
make_large_routes (const char *padding)
{
  GString *routes = g_string_new (NULL);
  for (guint i = 0; routes->len < LARGEST_TEXT - 4096; i++)
    {
      g_string_append_printf (
        routes, ",{\"name\":\"l%u\",\"host\":\"" NODE_KIT_HOST "\",\"path_prefix\":\"/l%u/", i,
        i);
      for (guint k = 0; k < 24; k++)
        g_string_append (routes, padding);
      g_string_append (routes,
                       "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\"}");
    }
  append_routes (routes, "last", 1);
  return g_string_free (routes, FALSE);
}

START_TEST (the_largest_config_reaches_all_vms)
{
  const WritingCase *row = &writing_cases[_i];
  Cluster *cluster = start_cluster ();
  char *routes = make_large_routes (row->padding);
  put_config (cluster, 2, routes);
  for (guint i = 0; i < VMS; i++)
    ck_assert_msg (wait_status (cluster, i, "/last0/1", 200), "%s: VM %u has an older config",
                   row->name, i);
  g_free (routes);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_changes BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("changes");
  tcase_add_loop_test (tests, a_change_costs_its_own_size, 0, G_N_ELEMENTS (change_cases));
  tcase_add_loop_test (tests, the_largest_config_reaches_all_vms, 0,
                       G_N_ELEMENTS (writing_cases));
  Suite *suite = suite_create ("node_changes");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
