/* What the last log line of a request says about how its connection and its time ended. */
#include "tests/node_cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_WAIT (5 * DP_USEC_PER_SEC)

static const char *build;

typedef struct EndCase
{
  const char *name;
  const char *fault; /* of all targets */
  const char *path;
  guint deadline_ms;    /* of the caller */
  gint64 caller_leaves; /* milliseconds after the request; 0: it stays */
  gboolean is_cut;      /* without a complete response */
  const char *wanted[4];
} EndCase;

static const EndCase end_cases[] = {
  { "complete",
    "{}",
    "/book/1",
    5000,
    0,
    FALSE,
    { "reason=none", "begun=no", "deadline_of=route" } },
  { "the caller's deadline",
    "{\"wait_ms\":3000}",
    "/book/1",
    400,
    0,
    FALSE,
    { "reason=deadline_passed", "deadline_of=caller", "begun=no" } },
  { "the route's deadline",
    "{\"wait_ms\":3000}",
    "/book/1",
    5000,
    0,
    FALSE,
    { "reason=deadline_passed", "deadline_of=route", "begun=no" } },
  { "the caller leaves",
    "{\"wait_ms\":3000}",
    "/book/1",
    5000,
    300,
    TRUE,
    { "reason=caller_gone", "closed_by=caller", "begun=no" } },
  { "the caller leaves a stream",
    "{\"pause_after\":2,\"pause_ms\":3000}",
    "/letter/1",
    5000,
    600,
    TRUE,
    { "reason=caller_gone", "closed_by=caller", "begun=yes", "deadline_of=route" } },
  { "a stream breaks off",
    "{\"cut_after\":2}",
    "/letter/1",
    5000,
    0,
    TRUE,
    { "closed_by=vm", "begun=yes" } },
};

static int
send_request (const Cluster *cluster, const EndCase *row)
{
  struct sockaddr_in name
    = { .sin_family = AF_INET, .sin_port = htons (cluster->caller_port[0]) };
  inet_pton (AF_INET, cluster->address[0], &name.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&name, sizeof name), 0);
  const NodeKitRequest request = { .method = "POST",
                                   .path = row->path,
                                   .id = "ends",
                                   .body = "x",
                                   .timeout_ms = row->deadline_ms,
                                   .is_stream = strcmp (row->path, "/letter/1") == 0 };
  char *text = node_kit_format_request (&request);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (gssize)strlen (text));
  g_free (text);
  return fd;
}

/* Free with g_free(). NULL: there is no such line. */
static char *
find_end (const Cluster *cluster)
{
  char *log = NULL;
  ck_assert (g_file_get_contents (cluster->log, &log, NULL, NULL));
  const char *line = strstr (log, "event=request_end request=ends ");
  char *found = line != NULL && strchr (line, '\n') != NULL
                  ? g_strndup (line, strcspn (line, "\n"))
                  : NULL;
  g_free (log);
  return found;
}

START_TEST (the_last_line_says_who_ended_a_request)
{
  const EndCase *row = &end_cases[_i];
  Cluster *cluster = cluster_start (build);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], row->fault);
  int fd = send_request (cluster, row);
  if (row->caller_leaves > 0)
    {
      g_usleep ((gulong)(row->caller_leaves * DP_USEC_PER_MSEC));
      close (fd);
    }
  char *line = NULL;
  for (gint64 end = g_get_monotonic_time () + LOG_WAIT;
       line == NULL && g_get_monotonic_time () < end; line = find_end (cluster))
    g_usleep (20 * DP_USEC_PER_MSEC);
  ck_assert_msg (line != NULL, "%s: no line", row->name);
  for (guint i = 0; i < G_N_ELEMENTS (row->wanted) && row->wanted[i] != NULL; i++)
    ck_assert_msg (strstr (line, row->wanted[i]) != NULL, "%s: %s is missing in %s", row->name,
                   row->wanted[i], line);
  ck_assert_msg ((strstr (line, "closed_by=") != NULL) == row->is_cut, "%s: %s", row->name,
                 line);
  g_free (line);
  if (row->caller_leaves == 0)
    close (fd);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  build = argc > 1 ? argv[1] : ".";
  Suite *suite = suite_create ("node_request_end");
  TCase *tcase = tcase_create ("request_end");
  tcase_add_loop_test (tcase, the_last_line_says_who_ended_a_request, 0,
                       G_N_ELEMENTS (end_cases));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
