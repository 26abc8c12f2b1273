/* Tests the node as a gateway for other VMs, as a real process between stand-ins for the users'
 * platform. */
#include "tests/node_cluster.h"
#include "tests/store_rewriter.h"

#include <arpa/inet.h>
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static const char *build;

#define STOP_WAIT (20 * DP_USEC_PER_SEC)

static struct sockaddr_in
socket_address (const char *address, guint16 port)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (port) };
  ck_assert_int_eq (inet_pton (AF_INET, address, &name.sin_addr), 1);
  return name;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (int)strlen (text));
}

/* Reads up to the end of a response head. Returns it; "" if the connection ended before. */
static char *
read_head (int fd)
{
  GString *head = g_string_new (NULL);
  char byte;
  while (!g_str_has_suffix (head->str, "\r\n\r\n") && recv (fd, &byte, 1, 0) == 1)
    g_string_append_c (head, byte);
  return g_string_free (head, FALSE);
}

/* Requests a tunnel of VM 0. Sets `head` to the response, which is freed with g_free(). */
static int
request_tunnel (const Cluster *cluster, const char *target, char **head)
{
  const struct sockaddr_in peer = socket_address (cluster->address[0], cluster->tunnel_port);
  const struct timeval timeout = { .tv_sec = 10 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ck_assert_int_eq (connect (fd, (const struct sockaddr *)&peer, sizeof peer), 0);
  char *request = g_strdup_printf ("CONNECT 192.0.2.1:1 HTTP/1.1\r\nHost: 192.0.2.1:1\r\n"
                                   "Target: %s\r\n\r\n",
                                   target);
  send_text (fd, request);
  g_free (request);
  *head = read_head (fd);
  return fd;
}

static int
open_tunnel (const Cluster *cluster, const char *target)
{
  char *head;
  int fd = request_tunnel (cluster, target, &head);
  ck_assert_str_eq (head, "HTTP/1.1 200 OK\r\n\r\n");
  g_free (head);
  return fd;
}

static guint
count_in_log (const Cluster *cluster, const char *text)
{
  char *log = NULL;
  ck_assert (g_file_get_contents (cluster->log, &log, NULL, NULL));
  guint count = 0;
  for (const char *at = log; (at = strstr (at, text)) != NULL; at++)
    count++;
  g_free (log);
  return count;
}

/* Waits until the log contains the text `wanted` times. */
static void
wait_for_lines (const Cluster *cluster, const char *text, guint wanted)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  while (count_in_log (cluster, text) < wanted)
    {
      ck_assert_msg (g_get_monotonic_time () < end, "not %u lines with %s", wanted, text);
      g_usleep (5000);
    }
}

static void
wait_for_log (const Cluster *cluster, const char *text)
{
  wait_for_lines (cluster, text, 1);
}

/* --- targets --- */

typedef struct TargetCase
{
  const char *id;
  const char *answer;
  const char *log;
} TargetCase;

static const TargetCase target_cases[] = {
  { "t9", "HTTP/1.1 403 ", "reason=unknown_target" },
  { "t1", "HTTP/1.1 403 ", "reason=target_not_usable" },
  { "t2", "HTTP/1.1 502 ", "reason=target_unreachable" },
  { "", "HTTP/1.1 400 ", "reason=bad_request" },
};

START_TEST (gateway_connects_to_usable_targets_only)
{
  Cluster *cluster = cluster_start (build);
  put_target (cluster, 1, "PUT", "draining");
  const NodeKitTarget gone = { .id = "t2",
                               .address = cluster->address[0],
                               .port = 1,
                               .data_centre = "a",
                               .state = "ready",
                               .started = 1700000000000 };
  ck_assert_int_eq (node_kit_put_target (store_of (cluster), "POST", &gone), 200);
  wait_for_metric (cluster, "dogwoodplank_targets", 3);
  for (guint i = 0; i < G_N_ELEMENTS (target_cases); i++)
    {
      const TargetCase *row = &target_cases[i];
      char *head;
      close (request_tunnel (cluster, row->id, &head));
      ck_assert_msg (g_str_has_prefix (head, row->answer), "%s: %s", row->id, head);
      wait_for_log (cluster, row->log);
      g_free (head);
    }
  int fd = open_tunnel (cluster, "t0");
  send_text (fd, "GET /look/1 HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n");
  char *head = read_head (fd);
  ck_assert_msg (g_str_has_prefix (head, "HTTP/1.1 "), "%s", head);
  close (fd);
  wait_for_log (cluster, "event=tunnel_end target=t0 end=client");
  g_free (head);
  cluster_free (cluster);
}
END_TEST

/* --- lifecycle --- */

/* 0: the tunnel ends while the VM waits for it; 1: it doesn't end. */
START_TEST (stopping_gateway_waits_for_open_tunnels)
{
  Cluster *cluster = cluster_start (build);
  int fd = open_tunnel (cluster, "t0");
  process_signal (cluster->node[0], SIGTERM);
  wait_for_log (cluster, "event=gateway_stopping open=1");
  ck_assert (process_is_running (cluster->node[0]));
  if (_i == 0)
    {
      send_text (fd, "GET /look/1 HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n");
      char *head = read_head (fd);
      ck_assert_msg (g_str_has_prefix (head, "HTTP/1.1 "), "%s", head);
      g_free (head);
      close (fd);
    }
  int status;
  ck_assert (process_wait (cluster->node[0], STOP_WAIT, &status));
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  ck_assert_uint_eq (count_in_log (cluster, "end=stopped"), (guint)_i);
  if (_i == 1)
    {
      char byte;
      ck_assert_int_eq (recv (fd, &byte, 1, 0), -1);
      close (fd);
    }
  cluster_free (cluster);
}
END_TEST

START_TEST (vm_whose_tunnel_port_is_taken_serves)
{
  Cluster *cluster = cluster_new (build);
  const struct sockaddr_in name = socket_address (cluster->address[0], cluster->tunnel_port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (fd, (const struct sockaddr *)&name, sizeof name), 0);
  ck_assert_int_eq (listen (fd, 1), 0);
  cluster_start_nodes (cluster);
  wait_for_log (cluster, "event=gateway_not_started");
  ck_assert_int_eq (get_status (cluster, 0, "/look/1"), 200);
  ck_assert (process_stop (cluster->node[0], STOP_WAIT));
  close (fd);
  cluster_free (cluster);
}
END_TEST

/* --- proxy in front of the store --- */

typedef struct RewriteCase
{
  const char *pieces[4]; /* sent by the server one by one; NULL: no more */
  const char *received;
} RewriteCase;

static const RewriteCase rewrite_cases[] = {
  { { "a 127.0.0.1: b" }, "a 127.0.0.9: b" },
  { { "127.0.0.1:127.0.0.1:" }, "127.0.0.9:127.0.0.9:" },
  { { "127.0.0.12:" }, "127.0.0.12:" },
  { { "127.", "0.0.1:", "x" }, "127.0.0.9:x" },
  { { "127.", "127.", "0.0.1:" }, "127.127.0.0.9:" },
  { { "1", "2", "7.0.0.1:" }, "127.0.0.9:" },
  { { "127.0.0.1", "7" }, "127.0.0.17" },
  { { "x", "127.0.0" }, "x127.0.0" },
};

/* Sends the pieces of a case, each once the previous one has left the proxy or waits there. */
static void
send_pieces (int fd, const RewriteCase *row)
{
  for (guint i = 0; i < G_N_ELEMENTS (row->pieces) && row->pieces[i] != NULL; i++)
    {
      send_text (fd, row->pieces[i]);
      g_usleep (20000);
    }
}

START_TEST (rewriter_finds_text_split_over_reads)
{
  const RewriteCase *row = &rewrite_cases[_i % G_N_ELEMENTS (rewrite_cases)];
  gboolean is_active = _i < (int)G_N_ELEMENTS (rewrite_cases);
  int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in name = socket_address ("127.0.0.1", 0);
  socklen_t length = sizeof name;
  ck_assert_int_eq (bind (server, (struct sockaddr *)&name, sizeof name), 0);
  ck_assert_int_eq (listen (server, 1), 0);
  getsockname (server, (struct sockaddr *)&name, &length);
  const StoreRewriterOptions options = { .address = "127.0.0.1",
                                         .store_address = "127.0.0.1",
                                         .store_port = ntohs (name.sin_port),
                                         .from = "127.0.0.1:",
                                         .to = "127.0.0.9:" };
  StoreRewriter *rewriter = store_rewriter_start (&options);
  store_rewriter_set_active (rewriter, is_active);
  int client = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  name = socket_address ("127.0.0.1", store_rewriter_port (rewriter));
  ck_assert_int_eq (connect (client, (struct sockaddr *)&name, sizeof name), 0);
  int accepted = accept (server, NULL, NULL);
  send_pieces (accepted, row);
  close (accepted);
  GString *received = g_string_new (NULL);
  char byte;
  while (recv (client, &byte, 1, 0) == 1)
    g_string_append_c (received, byte);
  char *sent = g_strjoinv ("", (char **)row->pieces);
  ck_assert_str_eq (received->str, is_active ? row->received : sent);
  g_free (sent);
  g_string_free (received, TRUE);
  close (client);
  close (server);
  store_rewriter_free (rewriter);
}
END_TEST

/* Only the targets' addresses are followed by a port in the store. */
START_TEST (one_vm_gets_other_addresses_of_targets)
{
  Cluster *cluster = cluster_new (build);
  char *from = g_strdup_printf ("%s:", cluster->address[0]);
  char *to = g_strdup (from);
  to[strlen (to) - 2] = '9';
  const StoreRewriterOptions options = { .address = cluster->address[0],
                                         .store_address = cluster->address[0],
                                         .store_port = cluster->store,
                                         .from = from,
                                         .to = to };
  StoreRewriter *rewriter = store_rewriter_start (&options);
  cluster->vm_store[0]
    = (NodeKitStore){ .address = cluster->address[0], .port = store_rewriter_port (rewriter) };
  cluster_start_nodes (cluster);
  ck_assert_int_eq (get_status (cluster, 0, "/look/1"), 200);
  store_rewriter_set_active (rewriter, TRUE);
  for (guint i = 0; i < TARGETS; i++)
    put_target (cluster, i, "PUT", "ready");
  char *text = http_exchange ("GET", cluster->address[0], store_rewriter_port (rewriter),
                              "/objects/servers", NULL, NULL, NULL);
  ck_assert_ptr_null (strstr (text, from));
  ck_assert_ptr_nonnull (strstr (text, to));
  /* Both VMs know the targets from their start; for one of them they have moved. */
  for (guint i = 0; i < TARGETS; i++)
    {
      char *known = g_strdup_printf ("event=target_known name=t%u", i);
      wait_for_lines (cluster, known, VMS + 1);
      g_free (known);
    }
  ck_assert_int_eq (get_status (cluster, 1, "/look/1"), 200);
  g_free (text);
  cluster_free (cluster);
  store_rewriter_free (rewriter);
  g_free (from);
  g_free (to);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "usage: test_node_tunnels BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  Suite *suite = suite_create ("node_tunnels");
  TCase *tests = tcase_create ("tunnels");
  tcase_add_test (tests, gateway_connects_to_usable_targets_only);
  tcase_add_loop_test (tests, stopping_gateway_waits_for_open_tunnels, 0, 2);
  tcase_add_test (tests, vm_whose_tunnel_port_is_taken_serves);
  tcase_add_loop_test (tests, rewriter_finds_text_split_over_reads, 0,
                       2 * G_N_ELEMENTS (rewrite_cases));
  tcase_add_test (tests, one_vm_gets_other_addresses_of_targets);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
