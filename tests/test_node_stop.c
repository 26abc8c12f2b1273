/* A VM that is stopped while callers go on using their connections to it until they close. */
#include "tests/node_cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS_MAX 200
#define STOPPED_WAIT (12 * DP_USEC_PER_SEC)

static const char *build;

typedef struct Caller
{
  int fd;   /* -1: closed */
  guint vm; /* 0 is stopped */
  guint sent;
  char id[24];   /* of the last request */
  gboolean open; /* that request has no complete response */
  GString *input;
} Caller;

/* Requests by what their callers saw. */
typedef struct Outcomes
{
  GHashTable *answered; /* ids */
  GHashTable *cut;      /* ids: the connection was closed without a complete response */
} Outcomes;

typedef struct StopCase
{
  const char *name;
  guint callers;
  guint vms;              /* that the callers use */
  gboolean keeps_sending; /* each caller sends the next request after each response */
  /* Milliseconds after SIGTERM in which the process gets no processor time, and the part of
   * each 100 ms in which it gets none. */
  gint64 paused_from;
  gint64 paused_to;
  gint64 slice_paused;
  gboolean has_configs;  /* new ones, and SIGHUPs, all the time */
  gboolean answers_all;  /* no connection is closed without a response to its request */
  guint new_connections; /* callers that connect again during the pause */
} StopCase;

/* Idle connections are closed 2.6 s after SIGTERM; the process has 8 s. */
static const StopCase stop_cases[] = {
  { "requests on idle connections until the end of the stop", 200, 1, FALSE, 1500, 7600, 0,
    FALSE, TRUE },
  { "new connections behind requests on others as the listener closes", 200, 1, FALSE, 1500,
    2900, 0, FALSE, TRUE, 50 },
  { "requests on idle connections as they are closed", 200, 1, FALSE, 1500, 2900, 0, FALSE },
  { "busy callers", 60, 1, TRUE, 0, 0, 0, FALSE },
  { "busy callers, processor in slices", 60, 1, TRUE, 0, 0, 60, FALSE },
  { "busy callers, configs and SIGHUPs, processor in slices", 60, 1, TRUE, 0, 0, 60, TRUE },
  { "busy callers of two VMs, configs and SIGHUPs", 60, 2, TRUE, 0, 0, 0, TRUE },
};

static const char *const paths[] = { "/book/1", "/look/1", "/draft/1", "/letter/1" };

static gboolean
connect_caller (const Cluster *cluster, Caller *caller)
{
  struct sockaddr_in name
    = { .sin_family = AF_INET, .sin_port = htons (cluster->caller_port[caller->vm]) };
  inet_pton (AF_INET, cluster->address[caller->vm], &name.sin_addr);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_ge (caller->fd, 0);
  if (connect (caller->fd, (struct sockaddr *)&name, sizeof name) == 0)
    return TRUE;
  close (caller->fd);
  caller->fd = -1;
  return FALSE;
}

static void
close_caller (Caller *caller, const Outcomes *outcomes)
{
  close (caller->fd);
  caller->fd = -1;
  if (caller->open)
    g_hash_table_add (outcomes->cut, g_strdup (caller->id));
  caller->open = FALSE;
  g_string_truncate (caller->input, 0);
}

static void
send_request (Caller *caller, guint index, const Outcomes *outcomes)
{
  const char *path = paths[(index + caller->sent) % G_N_ELEMENTS (paths)];
  gboolean is_look = g_str_has_prefix (path, "/look/");
  gboolean is_stream
    = g_str_has_prefix (path, "/draft/") || g_str_has_prefix (path, "/letter/");
  g_snprintf (caller->id, sizeof caller->id, "s%u-%u", index, ++caller->sent);
  const NodeKitRequest request = { .method = is_look ? "GET" : "POST",
                                   .path = path,
                                   .id = caller->id,
                                   .body = is_look ? "" : caller->id,
                                   .timeout_ms = 2500,
                                   .is_stream = is_stream };
  char *text = node_kit_format_request (&request);
  caller->open = TRUE;
  if (send (caller->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    close_caller (caller, outcomes);
  g_free (text);
}

static gboolean
is_complete (const GString *input)
{
  const char *body = strstr (input->str, "\r\n\r\n");
  if (body == NULL)
    return FALSE;
  if (strstr (input->str, "chunked") != NULL)
    return g_str_has_suffix (input->str, "\r\n0\r\n\r\n");
  const char *length = strstr (input->str, "Content-Length: ");
  return length != NULL && strlen (body + 4) >= (gsize)g_ascii_strtoull (length + 16, NULL, 10);
}

static void
read_response (Caller *caller, const Outcomes *outcomes)
{
  char bytes[8192];
  gssize length = recv (caller->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length < 0 && errno == EAGAIN)
    return;
  if (length <= 0)
    {
      close_caller (caller, outcomes);
      return;
    }
  ck_assert_ptr_nonnull (caller->input);
  g_string_append_len (caller->input, bytes, length);
  if (!is_complete (caller->input))
    return;
  g_hash_table_add (outcomes->answered, g_strdup (caller->id));
  caller->open = FALSE;
  gboolean closes = strstr (caller->input->str, "Connection: close") != NULL;
  g_string_truncate (caller->input, 0);
  if (closes)
    close_caller (caller, outcomes);
}

static void
read_responses (Caller *callers, guint count, const Outcomes *outcomes)
{
  struct pollfd fds[CALLERS_MAX];
  for (guint i = 0; i < count; i++)
    fds[i] = (struct pollfd){ .fd = callers[i].fd, .events = POLLIN };
  poll (fds, count, 5);
  for (guint i = 0; i < count; i++)
    if (fds[i].fd >= 0 && fds[i].revents != 0)
      read_response (&callers[i], outcomes);
}

/* --- one stop --- */

typedef struct Stop
{
  const StopCase *row;
  Cluster *cluster;
  gint64 started_at; /* SIGTERM; monotonic microseconds */
  gboolean is_paused;
  guint configs;
} Stop;

static void
set_paused (Stop *stop, gboolean is_paused)
{
  if (stop->is_paused != is_paused)
    process_signal (stop->cluster->node[0], is_paused ? SIGSTOP : SIGCONT);
  stop->is_paused = is_paused;
}

static void
disturb (Stop *stop)
{
  const StopCase *row = stop->row;
  gint64 ms = (g_get_monotonic_time () - stop->started_at) / DP_USEC_PER_MSEC;
  set_paused (stop,
              (ms >= row->paused_from && ms < row->paused_to) || ms % 100 < row->slice_paused);
  if (!row->has_configs || ms / 400 <= stop->configs)
    return;
  put_config (stop->cluster, 2 + stop->configs++, "");
  process_signal (stop->cluster->node[0], SIGHUP);
}

static void
send_more (const Stop *stop, Caller *callers, const Outcomes *outcomes)
{
  for (guint i = 0; i < stop->row->callers; i++)
    {
      Caller *caller = &callers[i];
      gboolean is_first = caller->sent == 1 && stop->is_paused;
      if (caller->open || (!stop->row->keeps_sending && !is_first))
        continue;
      if (is_first && i >= stop->row->callers - stop->row->new_connections)
        {
          close_caller (caller, outcomes);
          connect_caller (stop->cluster, caller);
        }
      if (caller->fd >= 0 || (!is_first && connect_caller (stop->cluster, caller)))
        send_request (caller, i, outcomes);
    }
}

/* Ids of the requests that the VM has read and whose connection it has closed. */
static char *
find_lost (const Cluster *cluster, const Outcomes *outcomes)
{
  GString *lost = g_string_new (NULL);
  char *log = NULL;
  ck_assert (g_file_get_contents (cluster->log, &log, NULL, NULL));
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, outcomes->cut);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      char *field = g_strdup_printf (" request=%s ", (const char *)id);
      if (strstr (log, field) != NULL)
        g_string_append_printf (lost, "%s ", (const char *)id);
      g_free (field);
    }
  g_free (log);
  return g_string_free (lost, FALSE);
}

START_TEST (no_request_is_lost_around_a_stop)
{
  const StopCase *row = &stop_cases[_i];
  Cluster *cluster = cluster_start (build);
  const Outcomes outcomes
    = { .answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
        .cut = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
  Caller callers[CALLERS_MAX] = { 0 };
  for (guint i = 0; i < row->callers; i++)
    {
      Caller *caller = &callers[i];
      caller->input = g_string_new (NULL);
      caller->vm = i % row->vms;
      ck_assert (connect_caller (cluster, caller));
      send_request (caller, i, &outcomes);
      while (caller->open)
        read_responses (caller, 1, &outcomes);
    }
  Stop stop = { .row = row, .cluster = cluster, .started_at = g_get_monotonic_time () };
  process_signal (cluster->node[0], SIGTERM);
  gint64 end = stop.started_at + STOPPED_WAIT;
  while (process_is_running (cluster->node[0]) && g_get_monotonic_time () < end)
    {
      disturb (&stop);
      send_more (&stop, callers, &outcomes);
      read_responses (callers, row->callers, &outcomes);
    }
  int status;
  ck_assert (process_wait (cluster->node[0], 0, &status));
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 0, "%s: %d", row->name, status);
  read_responses (callers, row->callers, &outcomes);
  char *lost = find_lost (cluster, &outcomes);
  guint answered = g_hash_table_size (outcomes.answered);
  ck_assert_uint_gt (answered, row->callers);
  ck_assert_msg (lost[0] == '\0', "%s: read and not answered, of %u answered and %u cut: %s",
                 row->name, answered, g_hash_table_size (outcomes.cut), lost);
  g_free (lost);
  guint cut = g_hash_table_size (outcomes.cut);
  ck_assert_msg (!row->answers_all || cut == 0, "%s: %u answered, %u cut", row->name, answered,
                 cut);
  for (guint i = 0; i < row->callers; i++)
    {
      if (callers[i].fd >= 0)
        close (callers[i].fd);
      g_string_free (callers[i].input, TRUE);
    }
  g_hash_table_unref (outcomes.answered);
  g_hash_table_unref (outcomes.cut);
  cluster_free (cluster);
}
END_TEST

#define STOPPING_REQUESTS 20

static int
entry_status (const Cluster *cluster, guint vm)
{
  char path[48];
  int status = 0;
  g_snprintf (path, sizeof path, "/objects/dogwoodplank-vms/vm%u", vm);
  g_free (
    http_exchange ("GET", cluster->address[0], cluster->store, path, NULL, NULL, &status));
  return status;
}

START_TEST (a_stopping_vm_still_gets_grants_from_the_owner)
{
  guint vm = (guint)_i;
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  ck_assert_int_eq (entry_status (cluster, vm), 200);
  process_signal (cluster->node[vm], SIGTERM);
  for (guint i = 0; i < STOPPING_REQUESTS; i++)
    {
      char path[24];
      g_snprintf (path, sizeof path, "/look/%u", i);
      ck_assert_int_eq (get_status (cluster, vm, path), 200);
    }
  ck_assert (process_is_running (cluster->node[vm]));
  char *log = NULL;
  ck_assert (g_file_get_contents (cluster->log, &log, NULL, NULL));
  const char *silent = strstr (log, "event=vm_silent");
  ck_assert_msg (silent == NULL, "vm%u: %.100s", vm, silent);
  g_free (log);
  int status;
  ck_assert (process_wait (cluster->node[vm], STOPPED_WAIT, &status));
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 0, "vm%u: %d", vm, status);
  ck_assert_int_eq (entry_status (cluster, vm), 404);
  cluster_free (cluster);
}
END_TEST

/* No VM is left to own anything, and no entry can be deleted. */
START_TEST (all_vms_stop_while_the_store_is_away)
{
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  process_signal (cluster->store_process, SIGSTOP);
  gint64 start = g_get_monotonic_time ();
  for (guint vm = 0; vm < VMS; vm++)
    process_signal (cluster->node[vm], SIGTERM);
  for (guint i = 0; i < STOPPING_REQUESTS; i++)
    {
      char path[24];
      g_snprintf (path, sizeof path, "/look/%u", i);
      ck_assert_int_eq (get_status (cluster, i % VMS, path), 200);
    }
  for (guint vm = 0; vm < VMS; vm++)
    {
      int status;
      ck_assert (process_wait (cluster->node[vm], STOPPED_WAIT, &status));
      ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 0, "vm%u: %d", vm, status);
    }
  ck_assert_int_lt (g_get_monotonic_time () - start, 8 * DP_USEC_PER_SEC);
  process_signal (cluster->store_process, SIGCONT);
  cluster_free (cluster);
}
END_TEST

/* --- requests that are complete just before the process ends --- */

/* A route whose requests may take longer than a stop. */
#define SLOW_ROUTE                                                                             \
  ",{\"name\":\"slow\",\"host\":\"" NODE_KIT_HOST "\",\"path_prefix\":\"/slow/\","             \
  "\"kind\":\"unsafe\",\"timeout_ms\":8000,\"service\":\"app\"}"
/* So many that the VM knows how long its responses take. */
#define HISTORY 20

typedef struct LateCase
{
  const char *name;
  const char *path;
  const char *state;  /* of the targets */
  const char *fault;  /* of the targets */
  guint history;      /* requests to the same path before, without the fault */
  gint64 complete_at; /* milliseconds after SIGTERM */
  int status;
  const char *outcome;
} LateCase;

/* Idle connections are closed 2.6 s after SIGTERM; what is left is ended at 7.3 s. */
static const LateCase late_cases[] = {
  { "waits for a target", "/book/1", "draining", "{}", 0, 6900, 503,
    "\"outcome\":\"not_run\"" },
  { "runs at its target", "/slow/1", "ready", "{\"wait_ms\":7000}", HISTORY, 2000, 502,
    "\"outcome\":\"unknown\"" },
  { "too late to be run", "/book/1", "ready", "{\"wait_ms\":5000}", 0, 7150, 503,
    "\"outcome\":\"not_run\"" },
  { "may run longer than the process, nothing is known of its route", "/slow/1", "ready",
    "{\"wait_ms\":7000}", 0, 2000, 503, "\"outcome\":\"not_run\"" },
  { "may run longer than the process, others did not", "/slow/1", "ready", "{\"wait_ms\":7000}",
    HISTORY, 4000, 503, "\"outcome\":\"not_run\"" },
  { "booking whose deadline is after the end", "/book/1", "ready", "{\"wait_ms\":5000}", 0,
    6500, 503, "\"outcome\":\"not_run\"" },
  { "booking whose deadline is before the end", "/book/1", "ready", "{}", 0, 5500, 200, "" },
  { "stream whose deadline is after the end", "/draft/1", "ready",
    "{\"pause_after\":1,\"pause_ms\":2800}", 0, 4800, 503, "\"outcome\":\"not_run\"" },
};

static void
sleep_until (gint64 time)
{
  while (g_get_monotonic_time () < time)
    g_usleep (MAX (time - g_get_monotonic_time (), 1));
}

static char *
read_to_end (int fd)
{
  GString *text = g_string_new (NULL);
  char bytes[4096];
  gssize length;
  while ((length = recv (fd, bytes, sizeof bytes, 0)) > 0)
    g_string_append_len (text, bytes, length);
  return g_string_free (text, FALSE);
}

/* Guards against requests that are taken late in a stop and cut at its end. */
START_TEST (requests_complete_before_the_end_of_a_stop_get_a_response)
{
  const LateCase *row = &late_cases[_i];
  Cluster *cluster = cluster_start (build);
  put_config (cluster, 2, SLOW_ROUTE);
  ck_assert (wait_status (cluster, 0, "/slow/0", 200));
  for (guint i = 0; i < row->history; i++)
    ck_assert_int_eq (get_status (cluster, 0, row->path), 200);
  for (guint i = 0; i < TARGETS; i++)
    {
      put_target (cluster, i, "PUT", row->state);
      set_fault (cluster, cluster->target_control[i], row->fault);
    }
  Caller caller = { .vm = 0 };
  ck_assert (connect_caller (cluster, &caller));
  char *head = g_strdup_printf ("POST %s HTTP/1.1\r\n" HOST KEY
                                "Request-Id: late\r\nContent-Length: 4\r\n\r\nla",
                                row->path);
  ck_assert_int_eq (send (caller.fd, head, strlen (head), 0), (gssize)strlen (head));
  g_free (head);
  g_usleep (500 * DP_USEC_PER_MSEC);
  gint64 start = g_get_monotonic_time ();
  process_signal (cluster->node[0], SIGTERM);
  sleep_until (start + row->complete_at * DP_USEC_PER_MSEC);
  ck_assert_int_eq (send (caller.fd, "te", 2, MSG_NOSIGNAL), 2);
  char *response = read_to_end (caller.fd);
  int status = 0;
  ck_assert_msg (sscanf (response, "HTTP/1.1 %d", &status) == 1 && status == row->status,
                 "%s: %s", row->name, response);
  ck_assert_msg (strstr (response, row->outcome) != NULL, "%s: %s", row->name, response);
  int exit_status;
  ck_assert (process_wait (cluster->node[0], WAIT, &exit_status));
  ck_assert_msg (WIFEXITED (exit_status) && WEXITSTATUS (exit_status) == 0, "%s", row->name);
  ck_assert_int_lt (g_get_monotonic_time () - start, 8 * DP_USEC_PER_SEC);
  g_free (response);
  close (caller.fd);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  build = argc > 1 ? argv[1] : ".";
  Suite *suite = suite_create ("node_stop");
  TCase *tcase = tcase_create ("stop");
  tcase_add_loop_test (tcase, no_request_is_lost_around_a_stop, 0, G_N_ELEMENTS (stop_cases));
  tcase_add_loop_test (tcase, a_stopping_vm_still_gets_grants_from_the_owner, 0, VMS);
  suite_add_tcase (suite, tcase);
  TCase *all = tcase_create ("all");
  tcase_add_test (all, all_vms_stop_while_the_store_is_away);
  suite_add_tcase (suite, all);
  TCase *late = tcase_create ("late");
  tcase_add_loop_test (late, requests_complete_before_the_end_of_a_stop_get_a_response, 0,
                       G_N_ELEMENTS (late_cases));
  suite_add_tcase (suite, late);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
