/* Responses that a target begins before it has read the request, or whose status is none.
 *
 * Guards against a part of a response that a caller takes for all of it, and against statuses
 * that HTTP doesn't know. The target of these tests answers as soon as it has the head of a
 * request; its small receive buffer keeps the rest of the upload in the node. */
#include "tests/node_cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES 60000
#define RECEIVE_BUFFER_BYTES 4096
#define HEAD_MAX 8192
#define TARGET_ADDRESS "127.0.0.1"
#define POLL_MS 50

static const char *build;

typedef enum Ending
{
  ENDING_RESET,
  ENDING_CLOSE,
} Ending;

/* A target that sends the same bytes to every request. */
typedef struct RawTarget
{
  const char *response; /* "{id}": the request's id */
  Ending ending;
  int listener;
  guint16 port;
  GThread *thread;
  gint is_stopping; /* atomic */
  gint requests;    /* atomic */
} RawTarget;

/* --- target --- */

static int
listen_on_free_port (guint16 *port)
{
  const int buffer = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t length = sizeof name;
  inet_pton (AF_INET, TARGET_ADDRESS, &name.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&name, sizeof name), 0);
  ck_assert_int_eq (listen (fd, 16), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&name, &length), 0);
  *port = ntohs (name.sin_port);
  return fd;
}

/* Reads no further than the head, so that the rest of the upload stays at the sender. Free with
 * g_free(). */
static char *
read_head (int fd)
{
  char head[HEAD_MAX + 1];
  gsize length = 0;
  while (length < HEAD_MAX)
    {
      if (recv (fd, head + length, 1, 0) != 1)
        return NULL;
      head[++length] = '\0';
      if (g_str_has_suffix (head, "\r\n\r\n"))
        return g_strdup (head);
    }
  return NULL;
}

static char *
make_response (const RawTarget *target, const char *head)
{
  const char *id = strstr (head, "Request-Id: ");
  char *text = id != NULL ? g_strndup (id + 12, strcspn (id + 12, "\r")) : g_strdup ("none");
  char **parts = g_strsplit (target->response, "{id}", -1);
  char *response = g_strjoinv (text, parts);
  g_strfreev (parts);
  g_free (text);
  return response;
}

static void
serve (RawTarget *target, int fd)
{
  char *head = read_head (fd);
  if (head != NULL)
    {
      char *response = make_response (target, head);
      g_atomic_int_inc (&target->requests);
      send (fd, response, strlen (response), MSG_NOSIGNAL);
      g_free (response);
    }
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  if (target->ending == ENDING_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else
    {
      /* Closing a socket with unread bytes would reset the connection. */
      char bytes[4096];
      shutdown (fd, SHUT_WR);
      while (recv (fd, bytes, sizeof bytes, 0) > 0)
        ;
    }
  close (fd);
  g_free (head);
}

static gpointer
run_target (gpointer data)
{
  RawTarget *target = data;
  while (!g_atomic_int_get (&target->is_stopping))
    {
      struct pollfd wait = { .fd = target->listener, .events = POLLIN };
      if (poll (&wait, 1, POLL_MS) <= 0)
        continue;
      int fd = accept (target->listener, NULL, NULL);
      if (fd >= 0)
        serve (target, fd);
    }
  return NULL;
}

static void
start_target (RawTarget *target)
{
  target->listener = listen_on_free_port (&target->port);
  target->thread = g_thread_new ("target", run_target, target);
}

static void
stop_target (RawTarget *target)
{
  g_atomic_int_set (&target->is_stopping, 1);
  g_thread_join (target->thread);
  close (target->listener);
}

/* --- cluster --- */

/* Number of requests in a row after which the raw target counts as the only one in use. */
#define ONLY_TARGET_REQUESTS 5

/* The nodes learn one after the other that the other targets are draining. */
static gboolean
wait_until_only_target (const Cluster *cluster, RawTarget *target)
{
  guint in_a_row = 0;
  for (gint64 end = g_get_monotonic_time () + WAIT;
       in_a_row < ONLY_TARGET_REQUESTS && g_get_monotonic_time () < end;)
    {
      gint before = g_atomic_int_get (&target->requests);
      get_status (cluster, 0, "/open/1");
      in_a_row = g_atomic_int_get (&target->requests) > before ? in_a_row + 1 : 0;
    }
  return in_a_row == ONLY_TARGET_REQUESTS;
}

/* A system whose only target is the given one. */
static Cluster *
start_cluster (RawTarget *target)
{
  Cluster *cluster = cluster_start (build);
  const NodeKitTarget row = { .id = "t-raw",
                              .address = TARGET_ADDRESS,
                              .port = target->port,
                              .data_centre = "a",
                              .state = "ready",
                              .started = 1 };
  ck_assert_int_lt (node_kit_put_target (store_of (cluster), "POST", &row), 300);
  for (guint i = 0; i < TARGETS; i++)
    put_target (cluster, i, "PUT", "draining");
  for (guint vm = 0; vm < VMS; vm++)
    wait_for_metric_at (cluster, vm, "dogwoodplank_targets", TARGETS + 1);
  ck_assert (wait_until_only_target (cluster, target));
  return cluster;
}

/* --- callers --- */

static int
connect_to_node (const Cluster *cluster)
{
  struct sockaddr_in name
    = { .sin_family = AF_INET, .sin_port = htons (cluster->caller_port[0]) };
  inet_pton (AF_INET, cluster->address[0], &name.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&name, sizeof name), 0);
  return fd;
}

/* Sends an upload and returns all that comes back until the node closes the connection. */
static GString *
upload (const Cluster *cluster, const char *path, const char *id)
{
  GString *request = g_string_new (NULL);
  g_string_append_printf (
    request,
    "POST %s HTTP/1.1\r\n" HOST KEY TOKENS "Request-Id: %s\r\n"
    "Deadline-Ms: 1400\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
    path, id, BODY_BYTES);
  for (guint i = 0; i < BODY_BYTES; i++)
    g_string_append_c (request, 'u');
  int fd = connect_to_node (cluster);
  for (gsize sent = 0; sent < request->len;)
    {
      ssize_t length = send (fd, request->str + sent, request->len - sent, MSG_NOSIGNAL);
      if (length <= 0)
        break;
      sent += (gsize)length;
    }
  g_string_free (request, TRUE);
  GString *response = g_string_new (NULL);
  char bytes[4096];
  for (ssize_t length; (length = recv (fd, bytes, sizeof bytes, 0)) > 0;)
    g_string_append_len (response, bytes, length);
  close (fd);
  return response;
}

/* 0: there is no status line. */
static int
status_of (const GString *response)
{
  return g_str_has_prefix (response->str, "HTTP/1.1 ") ? atoi (response->str + 9) : 0;
}

/* TRUE if a caller takes the response for a complete one. */
static gboolean
looks_complete (const GString *response)
{
  const char *end = strstr (response->str, "\r\n\r\n");
  if (end == NULL)
    return FALSE;
  const char *length = strstr (response->str, "Content-Length: ");
  if (length != NULL && length < end)
    return strlen (end + 4) >= (gsize)atoi (length + 16);
  const char *coding = strstr (response->str, "Transfer-Encoding: chunked");
  return coding == NULL || coding > end || g_str_has_suffix (response->str, "\r\n0\r\n\r\n");
}

/* --- cases --- */

#define SEALED "Request-Id: {id}\r\nResponse-Seal: s\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n" SEALED
#define OLD_HEAD "HTTP/1.0 200 OK\r\n" SEALED
#define EVENTS "Content-Type: text/event-stream\r\n"
#define PART "a part of the response"
#define EVENT "id: 1\ndata: one\n\n"

typedef struct PartCase
{
  const char *name;
  const char *path;
  const char *response;
  Ending ending;
} PartCase;

static const PartCase part_cases[] = {
  { "without a length", "/look/1", OK_HEAD "\r\n" PART, ENDING_RESET },
  { "without a length, not repeatable", "/book/1", OK_HEAD "\r\n" PART, ENDING_RESET },
  { "HTTP/1.0, without a length", "/look/1", OLD_HEAD "\r\n" PART, ENDING_RESET },
  { "Connection: close, without a length", "/book/1", OK_HEAD "Connection: close\r\n\r\n" PART,
    ENDING_RESET },
  { "a head alone", "/book/1", OK_HEAD "\r\n", ENDING_RESET },
  { "shorter than its length", "/look/1", OK_HEAD "Content-Length: 500\r\n\r\n" PART,
    ENDING_RESET },
  { "shorter than its length, closed", "/book/1", OK_HEAD "Content-Length: 500\r\n\r\n" PART,
    ENDING_CLOSE },
  { "chunked without the last chunk", "/look/1",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", ENDING_RESET },
  { "chunked without the last chunk, closed", "/book/1",
    OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", ENDING_CLOSE },
  { "HTTP/1.0, shorter than its length", "/book/1", OLD_HEAD "Content-Length: 500\r\n\r\n" PART,
    ENDING_CLOSE },
  { "a stream without a length", "/draft/1", OK_HEAD EVENTS "\r\n" EVENT, ENDING_RESET },
  { "a stream that can't be resumed", "/letter/1", OK_HEAD EVENTS "\r\n" EVENT, ENDING_RESET },
  { "a stream within an event", "/letter/1", OK_HEAD EVENTS "\r\n" EVENT "id: 2\nda",
    ENDING_CLOSE },
  { "an HTTP/1.0 stream", "/letter/1", OLD_HEAD EVENTS "\r\n" EVENT, ENDING_RESET },
  { "a chunked stream without the last chunk", "/letter/1",
    OK_HEAD EVENTS "Transfer-Encoding: chunked\r\n\r\n11\r\n" EVENT "\r\n", ENDING_CLOSE },
};

START_TEST (a_part_of_an_early_response_is_never_complete)
{
  const PartCase *row = &part_cases[_i];
  RawTarget target = { .response = row->response, .ending = row->ending };
  start_target (&target);
  Cluster *cluster = start_cluster (&target);
  for (guint i = 0; i < 4; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "early%u", i);
      GString *response = upload (cluster, row->path, id);
      ck_assert_msg (status_of (response) / 100 != 2 || !looks_complete (response),
                     "%s: taken for complete: %s", row->name, response->str);
      g_string_free (response, TRUE);
    }
  cluster_free (cluster);
  stop_target (&target);
}
END_TEST

static const char *const odd_statuses[]
  = { "000", "099", "600", "999", "1000", "20", "2", "-200", "0200", "200x", "2xx" };

/* The status of a response that is whole but for its status must not reach a caller. */
START_TEST (a_status_that_http_does_not_know_is_no_response)
{
  const char *status = odd_statuses[_i];
  static const char *const paths[] = { "/look/1", "/book/1", "/letter/1" };
  char *text = g_strdup_printf (
    "HTTP/1.1 %s Odd\r\n" SEALED EVENTS "Content-Length: 17\r\n\r\n" EVENT, status);
  RawTarget target = { .response = text, .ending = ENDING_CLOSE };
  start_target (&target);
  Cluster *cluster = start_cluster (&target);
  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "odd%u", i);
      GString *response = upload (cluster, paths[i], id);
      int passed = status_of (response);
      ck_assert_msg (passed == 0 || (passed >= 500 && passed <= 504), "%s, %s: %s", status,
                     paths[i], response->str);
      g_string_free (response, TRUE);
    }
  cluster_free (cluster);
  stop_target (&target);
  g_free (text);
}
END_TEST

int
main (int argc, char **argv)
{
  build = argc > 1 ? argv[1] : ".";
  Suite *suite = suite_create ("node_early_answers");
  TCase *tests = tcase_create ("early_answers");
  tcase_add_loop_test (tests, a_part_of_an_early_response_is_never_complete, 0,
                       G_N_ELEMENTS (part_cases));
  tcase_add_loop_test (tests, a_status_that_http_does_not_know_is_no_response, 0,
                       G_N_ELEMENTS (odd_statuses));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
