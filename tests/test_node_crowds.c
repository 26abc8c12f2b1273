/* Crowds of clients that don't keep to the limits, at one VM of a small system.
 *
 * Guards against a node that ends, runs out of memory or descriptors, or serves nobody else,
 * because of what some clients send or don't read. No verdict depends on the machine's speed:
 * a crowd ends once all of it is sent or the node takes no more of it, and then an ordinary
 * caller, who may be refused at first, gets its response while the crowd is still connected.
 *
 * Memory is measured as the growth of the node's resident peak (VmHWM) from a baseline that is
 * taken after some ordinary requests, so that the size of an instrumented program doesn't
 * count. AddressSanitizer's quarantine is turned off for the nodes; what it still adds to each
 * block is less than the difference between `memory_mb`, the bound here, and the 0.6 of it that
 * the node's account allows.
 */
#include "tests/node_cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MEMORY_MB 32
#define CLIENTS_MAX 256
/* With as many descriptors a node accepts fewer connections than the largest crowd has. */
#define FEW_DESCRIPTORS 500
#define MANY_DESCRIPTORS 4096
/* Round trips to the node in which no client could send anything: it takes no more. */
#define STUCK_ROUNDS 300
/* A crowd that is taken slowly on a slow machine is cut off. */
#define CROWD_TIME (20 * DP_USEC_PER_SEC)
#define ORDINARY_REQUESTS 20
#define SEND_BYTES ((gsize)65536)
#define MEMORY_KIB (MEMORY_MB * 1000000 / 1024)

#define POST_HEAD "POST /look/x HTTP/1.1\r\n" HOST KEY
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TEN(text) text text text text text text text text text text
#define HUNDRED(text) TEN (TEN (text))
#define KILOBYTE HUNDRED ("abcdefghij")

static const char *build;

typedef enum Listener
{
  LISTENER_CALLERS,
  LISTENER_READINESS,
} Listener;

/* Each client sends the head and then `count` times the piece. */
typedef struct CrowdCase
{
  const char *name;
  Listener listener;
  guint clients;
  const char *head;
  const char *piece;
  guint count;
  gsize step;  /* bytes sent at a time, each of which the node reads alone; 0: many */
  guint reads; /* bytes that a client reads after each round; 0: none */
  gboolean has_few_descriptors;
  const char *fault; /* of all targets; NULL: none */
} CrowdCase;

static const CrowdCase crowd_cases[] = {
  { "bodies one byte short, in one piece", .clients = 128,
    .head = POST_HEAD "Content-Length: 64001\r\n\r\n", .piece = KILOBYTE, .count = 64 },
  { "bodies one byte short, in small pieces", .clients = 128,
    .head = POST_HEAD "Content-Length: 10001\r\n\r\n", .piece = HUNDRED ("a"), .count = 100,
    .step = 100 },
  { "bodies in chunks, without the last one", .clients = 128, .head = POST_HEAD CHUNKED,
    .piece = "3e8\r\n" KILOBYTE "\r\n", .count = 64 },
  { "bodies far over the limit", .clients = 32,
    .head = POST_HEAD "Content-Length: 1000000000\r\n\r\n", .piece = KILOBYTE, .count = 4000 },
  { "bodies far over the limit, in chunks", .clients = 32, .head = POST_HEAD CHUNKED,
    .piece = "3e8\r\n" KILOBYTE "\r\n", .count = 4000 },
  { "bodies in chunks of one byte", .clients = 64, .head = POST_HEAD CHUNKED,
    .piece = HUNDRED ("1\r\nx\r\n"), .count = 150 },
  { "bodies in chunks of one byte, each read alone", .clients = 128,
    .head = POST_HEAD CHUNKED "1\r\nx", .piece = "\r\n1\r\nx", .count = 500, .step = 6 },
  { "very many short fields, the last one open", .clients = 160,
    .head = "GET /look/x HTTP/1.1\r\n" HOST KEY, .piece = "a:b\r\n", .count = 3200 },
  { "very many short fields", .clients = 160, .head = "GET /look/x HTTP/1.1\r\n" HOST KEY,
    .piece = HUNDRED ("a:b\r\n") HUNDRED ("a:b\r\n"), .count = 16,
    .fault = "{\"wait_ms\":1400}" },
  { "very many short fields in a trailer, left open", .clients = 160,
    .head = POST_HEAD CHUNKED "0\r\n", .piece = "a:b\r\n", .count = 3200 },
  { "pipelined requests, responses unread", .clients = 8, .head = "",
    .piece = TEN ("GET /look/x HTTP/1.1\r\n" HOST KEY "\r\n"), .count = 16000 },
  { "pipelined requests without a route, responses unread", .clients = 8, .head = "",
    .piece = TEN ("GET /nowhere HTTP/1.1\r\n" HOST "\r\n"), .count = 20000 },
  { "pipelined requests at the readiness address, responses unread",
    .listener = LISTENER_READINESS, .clients = 8, .head = "",
    .piece = TEN ("GET /ready HTTP/1.1\r\n" HOST "\r\n"), .count = 20000 },
  { "heads stop half-way", .clients = 200, .head = "GET /look/x HTT",
    .has_few_descriptors = TRUE },
  { "bodies stop half-way", .clients = 200, .head = POST_HEAD "Content-Length: 1000\r\n\r\n",
    .piece = HUNDRED ("a"), .count = 5, .has_few_descriptors = TRUE },
  { "bodies are sent slowly", .clients = 200, .head = POST_HEAD "Content-Length: 1000\r\n\r\n",
    .piece = "a", .count = 200, .step = 1, .has_few_descriptors = TRUE },
  { "responses are read slowly", .clients = 200, .head = "",
    .piece = TEN ("GET /nowhere HTTP/1.1\r\n" HOST "\r\n"), .count = 64, .reads = 1,
    .has_few_descriptors = TRUE },
  { "heads stop half-way at the readiness address", .listener = LISTENER_READINESS,
    .clients = 64, .head = "GET /ready HTT" },
};

typedef struct Client
{
  int fd; /* -1: closed by the node */
  gsize sent;
} Client;

typedef struct Crowd
{
  const CrowdCase *row;
  Cluster *cluster;
  GString *text; /* what each client sends */
  Client clients[CLIENTS_MAX];
  guint closed; /* clients whose connections the node has closed */
  gsize sent;   /* bytes of all clients */
} Crowd;

/* --- cluster --- */

static Cluster *
start_cluster (guint descriptors_max)
{
  char *settings = g_strdup_printf ("\"memory_mb\":\"%d\",\"descriptors_max\":\"%u\",",
                                    MEMORY_MB, descriptors_max);
  Cluster *cluster = cluster_new (build);
  cluster->more_settings = settings;
  cluster_start_nodes (cluster);
  cluster->more_settings = NULL;
  g_free (settings);
  return cluster;
}

/* The node has run its event loop at least once after what was sent before. */
static void
make_round_trip (const Cluster *cluster)
{
  g_free (http_exchange ("GET", cluster->address[0], cluster->operator_port, "/metrics", NULL,
                         NULL, NULL));
}

static int
connect_to_node (const Cluster *cluster, Listener listener)
{
  const int buffer = 4096;
  /* The kernel sizes the node's send buffer by it: few unread responses fill it. */
  const int segment = 536;
  const int on = 1;
  guint16 port
    = listener == LISTENER_CALLERS ? cluster->caller_port[0] : cluster->ready_port[0];
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, cluster->address[0], &name.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&name, sizeof name), 0);
  return fd;
}

/* --- crowd --- */

static void
close_client (Client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

/* Returns the number of bytes sent. */
static gsize
send_some (Crowd *crowd, Client *client)
{
  gsize left = crowd->text->len - client->sent;
  if (client->fd < 0 || left == 0)
    return 0;
  gsize step = crowd->row->step > 0 ? crowd->row->step : SEND_BYTES;
  gsize length = client->sent == 0 ? strlen (crowd->row->head) + step : step;
  ssize_t sent = send (client->fd, crowd->text->str + client->sent, MIN (left, length),
                       MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN)
    {
      close_client (client);
      crowd->closed++;
    }
  client->sent += (gsize)MAX (sent, 0);
  return (gsize)MAX (sent, 0);
}

static void
read_some (const Client *client, guint length)
{
  char bytes[16];
  if (client->fd >= 0 && length > 0)
    recv (client->fd, bytes, MIN (length, sizeof bytes), MSG_DONTWAIT);
}

static gsize
make_round (Crowd *crowd)
{
  gsize sent = 0;
  for (guint i = 0; i < crowd->row->clients; i++)
    {
      sent += send_some (crowd, &crowd->clients[i]);
      read_some (&crowd->clients[i], crowd->row->reads);
    }
  if (sent == 0 || crowd->row->step > 0)
    make_round_trip (crowd->cluster);
  return sent;
}

static gboolean
has_sent_all (const Crowd *crowd)
{
  for (guint i = 0; i < crowd->row->clients; i++)
    if (crowd->clients[i].fd >= 0 && crowd->clients[i].sent < crowd->text->len)
      return FALSE;
  return TRUE;
}

static void
send_crowd (Crowd *crowd)
{
  guint stuck = 0;
  gint64 end = g_get_monotonic_time () + CROWD_TIME;
  while (!has_sent_all (crowd) && stuck < STUCK_ROUNDS && g_get_monotonic_time () < end)
    {
      gsize sent = make_round (crowd);
      crowd->sent += sent;
      stuck = sent > 0 ? 0 : stuck + 1;
    }
  make_round_trip (crowd->cluster);
}

static Crowd *
crowd_new (Cluster *cluster, const CrowdCase *row)
{
  Crowd *crowd = g_new0 (Crowd, 1);
  crowd->row = row;
  crowd->cluster = cluster;
  crowd->text = g_string_new (row->head);
  for (guint i = 0; i < row->count; i++)
    g_string_append (crowd->text, row->piece);
  if (row->fault != NULL)
    g_string_append (crowd->text, "\r\n");
  for (guint i = 0; i < row->clients; i++)
    crowd->clients[i].fd = connect_to_node (cluster, row->listener);
  return crowd;
}

static void
crowd_free (Crowd *crowd)
{
  for (guint i = 0; i < crowd->row->clients; i++)
    close_client (&crowd->clients[i]);
  g_string_free (crowd->text, TRUE);
  g_free (crowd);
}

/* --- checks --- */

static gboolean
is_served (const Cluster *cluster)
{
  return wait_status (cluster, 0, "/look/ordinary", 200) && wait_ready (cluster, 0);
}

START_TEST (a_crowd_ends_no_node)
{
  const CrowdCase *row = &crowd_cases[_i];
  guint descriptors_max = row->has_few_descriptors ? FEW_DESCRIPTORS : MANY_DESCRIPTORS;
  Cluster *cluster = start_cluster (descriptors_max);
  Process *node = cluster->node[0];
  for (guint i = 0; i < ORDINARY_REQUESTS; i++)
    ck_assert (wait_status (cluster, 0, "/look/before", 200));
  for (guint i = 0; i < TARGETS && row->fault != NULL; i++)
    set_fault (cluster, cluster->target_control[i], row->fault);
  gint64 before = process_status_number (node, "VmHWM");
  Crowd *crowd = crowd_new (cluster, row);
  send_crowd (crowd);
  gint descriptors = process_count_descriptors (node);
  gboolean is_alive = process_is_running (node);
  for (guint i = 0; i < TARGETS && row->fault != NULL; i++)
    set_fault (cluster, cluster->target_control[i], "{}");
  gboolean served = is_alive && is_served (cluster);
  gint64 growth = process_status_number (node, "VmHWM") - before;
  g_print ("%s: growth %d kB, %d descriptors, closed %u, sent %d kB, %s\n", row->name,
           (int)growth, descriptors, crowd->closed, (int)(crowd->sent / 1024),
           served ? "served" : "not served");
  ck_assert_msg (is_alive, "%s: the node has ended", row->name);
  ck_assert_msg (growth <= MEMORY_KIB, "%s: grew by %d kB", row->name, (int)growth);
  ck_assert_msg (descriptors >= 0 && descriptors <= (gint)descriptors_max, "%s: %d descriptors",
                 row->name, descriptors);
  ck_assert_msg (served, "%s: no ordinary request was served", row->name);
  crowd_free (crowd);
  ck_assert_msg (process_is_running (node), "%s: the node has ended", row->name);
  ck_assert (process_stop (node, 2 * WAIT));
  cluster_free (cluster);
}
END_TEST

/* --- single requests within the limits --- */

typedef struct SingleCase
{
  const char *name;
  const char *head;
  const char *piece;
  guint count;
  const char *end;
  guint responses;
} SingleCase;

static const SingleCase single_cases[] = {
  { "16 KB of very short fields", "GET /look/x HTTP/1.1\r\nConnection: close\r\n" HOST KEY,
    "a:b\r\n", 3200, "\r\n", 1 },
  { "a body in chunks of one byte", POST_HEAD "Connection: close\r\n" CHUNKED, "1\r\nx\r\n",
    65536, "0\r\n\r\n", 1 },
  { "pipelined requests", "", "GET /look/x HTTP/1.1\r\n" HOST KEY "Request-Id: p%u\r\n\r\n", 40,
    "GET /look/x HTTP/1.1\r\nConnection: close\r\n" HOST KEY "\r\n", 41 },
};

/* Sends all before it reads anything that the node doesn't force it to read. */
static GString *
exchange (int fd, const GString *text)
{
  GString *response = g_string_new (NULL);
  char bytes[16384];
  gsize sent = 0;
  ssize_t received = 1;
  gint64 end = g_get_monotonic_time () + 2 * WAIT;
  while (received != 0 && g_get_monotonic_time () < end)
    {
      struct pollfd wait = { .fd = fd, .events = sent < text->len ? POLLIN | POLLOUT : POLLIN };
      poll (&wait, 1, 100);
      ssize_t length = sent < text->len
                         ? send (fd, text->str + sent, MIN (text->len - sent, SEND_BYTES),
                                 MSG_NOSIGNAL | MSG_DONTWAIT)
                         : 0;
      sent += (gsize)MAX (length, 0);
      received = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (received > 0)
        g_string_append_len (response, bytes, received);
    }
  return response;
}

/* Guards against limits that also refuse what the configuration allows. */
START_TEST (a_single_request_within_the_limits_is_served)
{
  const SingleCase *row = &single_cases[_i];
  Cluster *cluster = start_cluster (MANY_DESCRIPTORS);
  GString *text = g_string_new (row->head);
  for (guint i = 0; i < row->count; i++)
    {
      char **parts = g_strsplit (row->piece, "%u", 2);
      g_string_append (text, parts[0]);
      if (parts[1] != NULL)
        g_string_append_printf (text, "%u%s", i, parts[1]);
      g_strfreev (parts);
    }
  g_string_append (text, row->end);
  int fd = connect_to_node (cluster, LISTENER_CALLERS);
  GString *response = exchange (fd, text);
  const char *at = response->str;
  for (guint i = 0; i < row->responses; i++)
    {
      char id[24];
      g_snprintf (id, sizeof id, "\r\nRequest-Id: p%u\r\n", i);
      at = strstr (at, "HTTP/1.1 200 ");
      ck_assert_msg (at != NULL, "%s: response %u is missing in %.2000s", row->name, i,
                     response->str);
      at++;
      if (i + 1 < row->responses)
        ck_assert_msg (strstr (at, id) != NULL, "%s: %s is missing", row->name, id);
      if (i + 1 < row->responses)
        at = strstr (at, id);
    }
  close (fd);
  g_string_free (response, TRUE);
  g_string_free (text, TRUE);
  cluster_free (cluster);
}
END_TEST

/* Without it, freed blocks stay resident for as long as the process lives. */
static void
turn_off_quarantine (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  char *text = g_strdup_printf ("%s%squarantine_size_mb=0:thread_local_quarantine_size_kb=0",
                                options != NULL ? options : "", options != NULL ? ":" : "");
  g_setenv ("ASAN_OPTIONS", text, TRUE);
  g_free (text);
}

int
main (int argc, char **argv)
{
  build = argc > 1 ? argv[1] : ".";
  turn_off_quarantine ();
  Suite *suite = suite_create ("node_crowds");
  TCase *crowds = tcase_create ("crowds");
  tcase_add_loop_test (crowds, a_crowd_ends_no_node, 0, G_N_ELEMENTS (crowd_cases));
  suite_add_tcase (suite, crowds);
  TCase *single = tcase_create ("single");
  tcase_add_loop_test (single, a_single_request_within_the_limits_is_served, 0,
                       G_N_ELEMENTS (single_cases));
  suite_add_tcase (suite, single);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
