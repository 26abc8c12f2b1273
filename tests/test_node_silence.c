/* Sound targets that fall silent for a second or so and go on. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 4
/* Until all nodes follow a change in the store. */
#define APPLY_TIME (500 * DP_USEC_PER_MSEC)
#define BEFORE "{\"wait_ms\":1200}"
#define WITHIN "{\"pause_after\":2,\"pause_ms\":1200}"
#define AFTER_FIRST "{\"pause_after\":1,\"pause_ms\":1200}"
#define NONE "{}"

static const char *build;

typedef struct SilenceCase
{
  const char *name;
  const char *first;  /* faults of target 0 */
  const char *second; /* faults of target 1 */
  const char *method;
  const char *path;
  gint64 runs_max; /* of a request */
  /* target 1; NULL: as target 0 */
  const char *second_state;
  const char *second_version;
} SilenceCase;

static const SilenceCase silence_cases[] = {
  { "booking, one target before its answer", BEFORE, NONE, "POST", "/book/1", 1 },
  { "booking, all targets before their answers", BEFORE, BEFORE, "POST", "/book/1", 1 },
  { "look, one target before its answer", BEFORE, NONE, "GET", "/look/1", 2 },
  { "look, all targets before their answers", BEFORE, BEFORE, "GET", "/look/1", 2 },
  { "letter, one target before the first event", BEFORE, NONE, "POST", "/letter/1", 1 },
  { "letter, all targets before the first event", BEFORE, BEFORE, "POST", "/letter/1", 1 },
  { "letter, one target after the first event", AFTER_FIRST, NONE, "POST", "/letter/1", 1 },
  { "letter, all targets between events", WITHIN, WITHIN, "POST", "/letter/1", 1 },
  { "draft, one target before the first event", BEFORE, NONE, "POST", "/draft/1", 2 },
  { "draft, all targets before the first event", BEFORE, BEFORE, "POST", "/draft/1", 2 },
  { "draft, one target between events", WITHIN, NONE, "POST", "/draft/1", 2 },
  { "draft, all targets between events", WITHIN, WITHIN, "POST", "/draft/1", 2 },
  { "draft, all targets after the first event", AFTER_FIRST, AFTER_FIRST, "POST", "/draft/1",
    2 },
  { "look, the other target drains", BEFORE, NONE, "GET", "/look/1", 1, "draining" },
  { "draft, before the first event, the other target drains", BEFORE, NONE, "POST", "/draft/1",
    1, "draining" },
  { "draft, between events, the other target drains", WITHIN, NONE, "POST", "/draft/1", 1,
    "draining" },
  { "draft, between events, the other target has another version", WITHIN, WITHIN, "POST",
    "/draft/1", 1, NULL, "v2" },
};

static gboolean
is_whole (const char *body, gboolean is_stream)
{
  if (body == NULL || !is_stream)
    return body != NULL && strstr (body, "done") != NULL;
  const char *at = body;
  for (guint i = 1; i <= 5; i++)
    {
      char event[40];
      g_snprintf (event, sizeof event, "id: %u\ndata: piece %u\n\n", i, i);
      at = strstr (at, event);
      if (at == NULL || strstr (at + 1, event) != NULL)
        return FALSE;
    }
  return g_str_has_suffix (body, "0\r\n\r\n");
}

static void
check_answer (const Cluster *cluster, const SilenceCase *row, guint number)
{
  gboolean is_stream
    = g_str_has_prefix (row->path, "/draft/") || g_str_has_prefix (row->path, "/letter/");
  gint64 before = sum_target_counter (cluster, "runs");
  char *headers = g_strdup_printf (HOST KEY "Request-Id: s%u\r\nDeadline-Ms: 5000\r\n%s",
                                   number, is_stream ? TOKENS : "");
  guint vm = number % VMS;
  int status = 0;
  char *body = http_exchange (row->method, cluster->address[vm], cluster->caller_port[vm],
                              row->path, headers, NULL, &status);
  gint64 runs = sum_target_counter (cluster, "runs") - before;
  ck_assert_msg (status == 200, "%s: request %u: status %d", row->name, number, status);
  ck_assert_msg (is_whole (body, is_stream), "%s: request %u: body %s", row->name, number,
                 body);
  ck_assert_msg (runs <= row->runs_max, "%s: request %u: %d runs", row->name, number,
                 (int)runs);
  g_free (body);
  g_free (headers);
}

static void
set_second_target (const Cluster *cluster, const SilenceCase *row)
{
  if (row->second_state != NULL)
    put_target (cluster, 1, "PUT", row->second_state);
  if (row->second_version != NULL)
    put_target_version (cluster, 1, "PUT", row->second_version);
  if (row->second_state != NULL || row->second_version != NULL)
    g_usleep (APPLY_TIME);
}

START_TEST (a_silent_second_loses_no_answer)
{
  const SilenceCase *row = &silence_cases[_i];
  Cluster *cluster = cluster_start (build);
  set_fault (cluster, cluster->target_control[0], row->first);
  set_fault (cluster, cluster->target_control[1], row->second);
  set_second_target (cluster, row);
  for (guint i = 0; i < REQUESTS; i++)
    check_answer (cluster, row, i);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_silence BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("silence");
  tcase_add_loop_test (tests, a_silent_second_loses_no_answer, 0, G_N_ELEMENTS (silence_cases));
  Suite *suite = suite_create ("node_silence");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
