/* A VM that has lost its links to all targets, as real processes. Its copy of the store's list
 * has addresses at which no target is; another VM reaches the targets. */
#include "tests/node_cluster.h"
#include "tests/store_rewriter.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *build;

#define STRANDED 0
#define SOUND 1
#define REQUESTS 50

typedef struct Fixture
{
  Cluster *cluster;
  StoreRewriter *rewriter;
  char *from;
  char *to;
  guint requests;
  int gateway; /* listener in place of the sound VM's gateway, or -1 */
} Fixture;

/* Takes the port of the VM's gateway, and answers nothing. */
static int
listen_in_place_of_gateway (const Cluster *cluster, guint vm)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (cluster->tunnel_port) };
  ck_assert_int_eq (inet_pton (AF_INET, cluster->address[vm], &name.sin_addr), 1);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&name, sizeof name), 0);
  ck_assert_int_eq (listen (fd, SOMAXCONN), 0);
  return fd;
}

static Fixture *
fixture_new_with (gboolean is_gateway_silent)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  Cluster *cluster = cluster_new (build);
  fixture->cluster = cluster;
  fixture->gateway = is_gateway_silent ? listen_in_place_of_gateway (cluster, SOUND) : -1;
  fixture->from = g_strdup_printf ("%s:", cluster->address[0]);
  fixture->to = g_strdup (fixture->from);
  fixture->to[strlen (fixture->to) - 2] = '9';
  const StoreRewriterOptions options = { .address = cluster->address[0],
                                         .store_address = cluster->address[0],
                                         .store_port = cluster->store,
                                         .from = fixture->from,
                                         .to = fixture->to };
  fixture->rewriter = store_rewriter_start (&options);
  cluster->vm_store[STRANDED]
    = (NodeKitStore){ .address = cluster->address[0],
                      .port = store_rewriter_port (fixture->rewriter) };
  cluster_start_nodes (cluster);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  return fixture;
}

static Fixture *
fixture_new (void)
{
  return fixture_new_with (FALSE);
}

static void
fixture_free (Fixture *fixture)
{
  if (fixture->gateway >= 0)
    close (fixture->gateway);
  cluster_free (fixture->cluster);
  store_rewriter_free (fixture->rewriter);
  g_free (fixture->from);
  g_free (fixture->to);
  g_free (fixture);
}

static guint
count_in_log (const Fixture *fixture, const char *text)
{
  char *log = NULL;
  ck_assert (g_file_get_contents (fixture->cluster->log, &log, NULL, NULL));
  guint count = 0;
  for (const char *at = log; (at = strstr (at, text)) != NULL; at++)
    count++;
  g_free (log);
  return count;
}

/* Cuts the links or restores them, and waits until the VM knows the other addresses. */
static void
set_stranded (const Fixture *fixture, gboolean is_stranded)
{
  store_rewriter_set_active (fixture->rewriter, is_stranded);
  guint before = count_in_log (fixture, "event=target_known ");
  for (guint i = 0; i < TARGETS; i++)
    put_target_version (fixture->cluster, i, "PUT", is_stranded ? "v2" : "v3");
  for (gint64 end = g_get_monotonic_time () + WAIT;
       count_in_log (fixture, "event=target_known ") < before + TARGETS * VMS;)
    ck_assert_msg (g_get_monotonic_time () < end, "targets are not known");
}

typedef struct Kind
{
  const char *method;
  const char *path;
  const char *headers;
} Kind;

static const Kind kinds[] = {
  { "GET", "/look/1", "" },
  { "POST", "/book/1", "" },
  { "POST", "/draft/1", TOKENS },
  { "POST", "/letter/1", TOKENS },
};

/* Returns the number of requests that were answered with 200. */
static guint
send_requests (Fixture *fixture, guint vm, const Kind *kind)
{
  const Cluster *cluster = fixture->cluster;
  guint served = 0;
  for (guint i = 0; i < REQUESTS; i++)
    {
      char *headers = g_strdup_printf (HOST KEY "Request-Id: s%u\r\nDeadline-Ms: 2500\r\n%s",
                                       ++fixture->requests, kind->headers);
      int status = 0;
      g_free (http_exchange (kind->method, cluster->address[vm], cluster->caller_port[vm],
                             kind->path, headers, NULL, &status));
      served += status == 200;
      g_free (headers);
    }
  return served;
}

static gint64
count_gateway_calls (const Fixture *fixture)
{
  char *text = http_exchange ("GET", fixture->cluster->address[STRANDED],
                              fixture->cluster->operator_port, "/metrics", NULL, NULL, NULL);
  gint64 number = find_number (text, "dogwoodplank_gateway_calls_total");
  g_free (text);
  return number;
}

/* Sends requests until they all go directly to the targets again. */
static void
wait_for_direct_calls (Fixture *fixture, const Kind *kind)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  for (gint64 before = -2; before != count_gateway_calls (fixture);)
    {
      ck_assert_msg (g_get_monotonic_time () < end, "still through the gateway");
      before = count_gateway_calls (fixture);
      ck_assert_uint_eq (send_requests (fixture, STRANDED, kind), REQUESTS);
    }
}

/* The users' bound: no more than 1 in 50 fails. */
START_TEST (callers_of_a_vm_without_links_to_targets_are_served)
{
  const Kind *kind = &kinds[_i];
  Fixture *fixture = fixture_new ();
  ck_assert_uint_eq (send_requests (fixture, STRANDED, kind), REQUESTS);
  set_stranded (fixture, TRUE);
  guint served = send_requests (fixture, STRANDED, kind);
  ck_assert_int_ge (count_gateway_calls (fixture), served);
  ck_assert_msg (served * 50 >= REQUESTS * 49, "%s: %u of %u served", kind->path, served,
                 REQUESTS);
  ck_assert_uint_eq (send_requests (fixture, SOUND, kind), REQUESTS);
  gint64 runs = sum_target_counter (fixture->cluster, "runs");
  ck_assert_msg (runs <= fixture->requests, "%d runs", (int)runs);
  set_stranded (fixture, FALSE);
  wait_for_direct_calls (fixture, kind);
  fixture_free (fixture);
}
END_TEST

/* Waits until the log has the text for both targets, from both VMs. */
static void
wait_for_pauses (const Fixture *fixture)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  for (guint count = 0; count < TARGETS * VMS;)
    {
      ck_assert_msg (g_get_monotonic_time () < end, "%u pauses known", count);
      count = count_in_log (fixture, "event=target_paused ");
    }
}

/* A target counts its refusals by the VM that connects to it. */
START_TEST (gateway_keeps_the_pause_that_a_target_asked_for_through_it)
{
  Fixture *fixture = fixture_new ();
  const Cluster *cluster = fixture->cluster;
  set_stranded (fixture, TRUE);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], "{\"decline\":1,\"retry_after\":20}");
  int status = 0;
  g_free (http_exchange ("POST", cluster->address[STRANDED], cluster->caller_port[STRANDED],
                         "/book/1", HOST KEY "Request-Id: p1\r\nDeadline-Ms: 2500\r\n", NULL,
                         &status));
  ck_assert_int_eq (status, 503);
  ck_assert_int_eq (sum_target_counter (cluster, "declined"), TARGETS);
  wait_for_pauses (fixture);
  g_free (http_exchange ("POST", cluster->address[SOUND], cluster->caller_port[SOUND],
                         "/book/1", HOST KEY "Request-Id: p2\r\nDeadline-Ms: 2500\r\n", NULL,
                         &status));
  ck_assert_int_eq (status, 503);
  ck_assert_int_eq (sum_target_counter (cluster, "declined"), TARGETS);
  fixture_free (fixture);
}
END_TEST

/* Also covers the case that the other VM has lost its links, too: it must not be asked for
 * ever. */
START_TEST (requests_fail_soon_as_not_run_if_no_vm_reaches_a_target)
{
  Fixture *fixture = fixture_new ();
  set_stranded (fixture, TRUE);
  process_free (fixture->cluster->node[SOUND]);
  fixture->cluster->node[SOUND] = NULL;
  const Cluster *cluster = fixture->cluster;
  gint64 start = g_get_monotonic_time ();
  for (guint i = 0; i < REQUESTS; i++)
    {
      int status = 0;
      char *headers = g_strdup_printf (HOST KEY "Request-Id: n%u\r\nDeadline-Ms: 2500\r\n", i);
      char *body
        = http_exchange ("POST", cluster->address[STRANDED], cluster->caller_port[STRANDED],
                         "/book/1", headers, NULL, &status);
      ck_assert_msg (status == 503, "%u: %d %s", i, status, body);
      g_free (body);
      g_free (headers);
    }
  ck_assert_int_lt (g_get_monotonic_time () - start, REQUESTS * DP_USEC_PER_SEC);
  ck_assert_int_eq (sum_target_counter (cluster, "runs"), 0);
  fixture_free (fixture);
}
END_TEST

/* With the shorter one, the request's time is over while it connects. */
static const guint time_limits_ms[] = { 2500, 150 };

/* The owner revokes repeatable requests without a first byte before the gateway times out. */
START_TEST (requests_that_wait_for_a_silent_gateway_count_as_not_run)
{
  Fixture *fixture = fixture_new_with (TRUE);
  const Cluster *cluster = fixture->cluster;
  const Kind *kind = &kinds[0];
  ck_assert_uint_eq (send_requests (fixture, STRANDED, kind), REQUESTS);
  gint64 runs = sum_target_counter (cluster, "runs");
  set_stranded (fixture, TRUE);
  for (guint i = 0; i < 5; i++)
    {
      int status = 0;
      char *headers = g_strdup_printf (HOST KEY "Request-Id: h%u\r\nDeadline-Ms: %u\r\n", i,
                                       time_limits_ms[_i]);
      char *body
        = http_exchange (kind->method, cluster->address[STRANDED],
                         cluster->caller_port[STRANDED], kind->path, headers, NULL, &status);
      ck_assert_msg (status == 503, "%u: %d %s", i, status, body);
      g_free (body);
      g_free (headers);
    }
  ck_assert_int_eq (sum_target_counter (cluster, "runs"), runs);
  fixture_free (fixture);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "usage: test_node_stranded BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  Suite *suite = suite_create ("node_stranded");
  TCase *tests = tcase_create ("stranded");
  tcase_add_loop_test (tests, callers_of_a_vm_without_links_to_targets_are_served, 0,
                       G_N_ELEMENTS (kinds));
  tcase_add_test (tests, gateway_keeps_the_pause_that_a_target_asked_for_through_it);
  tcase_add_test (tests, requests_fail_soon_as_not_run_if_no_vm_reaches_a_target);
  TCase *gateway = tcase_create ("gateway");
  tcase_add_loop_test (gateway, requests_that_wait_for_a_silent_gateway_count_as_not_run, 0,
                       G_N_ELEMENTS (time_limits_ms));
  suite_add_tcase (suite, tests);
  suite_add_tcase (suite, gateway);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
