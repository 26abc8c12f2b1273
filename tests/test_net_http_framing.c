/* Requests that two parsers may delimit differently (request smuggling): what the server passes
 * on must be what a strict reader of RFC 9112 sees, or the request is rejected and nothing
 * behind it on the connection is read as a request. */
#include "net/http_server.h"
#include "tests/free_port.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.1.28"
#define TEST_TIMEOUT_SECONDS 20
#define KIB ((gsize)1024)
#define BODY_MAX (64 * KIB)
#define BODIES_MAX (100 * KIB)

/* In the rows, "$N" stands for the length of INNER, "$H" for the same in hexadecimal digits,
 * "$I" for INNER itself and "$0" for a NUL. */
#define INNER "GET /inner HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: inner\r\n\r\n"
#define LINE "POST /a HTTP/1.1\r\nHost: h\r\n"
#define CHUNKED LINE "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKED_INNER "$H\r\n$I\r\n0\r\n\r\n"
#define LAST "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define SEEN_LAST "GET /last Connection:close []"

typedef struct FramingCase
{
  const char *name;
  const char *bytes;
  const char *seen;     /* requests that reach the handler */
  const char *statuses; /* of all responses, up to the end of the connection */
} FramingCase;

#define REJECTED "", "400 "

static const FramingCase framing_cases[] = {
  /* names of fields */
  { "space before the colon", LINE "Content-Length : $N\r\n\r\n$I", REJECTED },
  { "tab before the colon", LINE "Content-Length\t: $N\r\n\r\n$I", REJECTED },
  { "vertical tab before the colon", LINE "Content-Length\v: $N\r\n\r\n$I", REJECTED },
  { "form feed before the colon", LINE "Content-Length\f: $N\r\n\r\n$I", REJECTED },
  { "byte above 127 before the colon", LINE "Content-Length\xa0: $N\r\n\r\n$I", REJECTED },
  { "NUL before the colon", LINE "Content-Length$0: $N\r\n\r\n$I", REJECTED },
  { "name in quotes", LINE "\"Content-Length\": $N\r\n\r\n$I", REJECTED },
  { "name in parentheses", LINE "(Content-Length): $N\r\n\r\n$I", REJECTED },
  { "name with a slash", LINE "Content/Length: $N\r\n\r\n$I", REJECTED },
  { "empty name", LINE ": $N\r\n\r\n$I", REJECTED },
  { "no colon", LINE "Content-Length $N\r\n\r\n$I", REJECTED },
  { "ill-named length after a length of 0",
    LINE "Content-Length: 0\r\nContent-Length : $N\r\n\r\n$I", REJECTED },
  { "space before the colon, other field", LINE "Tenant-Id : x\r\n\r\n" LAST, REJECTED },
  { "space before the colon of a coding",
    LINE "Transfer-Encoding : chunked\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "tab before the colon of a coding",
    LINE "Transfer-Encoding\t: chunked\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "vertical tab before the colon of a coding",
    LINE "Transfer-Encoding\v: chunked\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "ill-named field in a trailer", CHUNKED "0\r\nHold : x\r\n\r\n" LAST, REJECTED },
  /* line ends, folding, control bytes */
  { "lone LF within a value", LINE "X-A: b\nContent-Length: $N\r\n\r\n$I", REJECTED },
  { "two lone LF within a value", LINE "X-A: b\n\n$I", REJECTED },
  { "lone LF before an empty line", LINE "X-A: b\n\r\n$I", REJECTED },
  { "lone LF for the empty line", LINE "X-A: b\r\n\n$I", REJECTED },
  { "lone CR within a value", LINE "X-A: b\rContent-Length: $N\r\n\r\n$I", REJECTED },
  { "lone CR and a space within a value", LINE "X-A: b\r c\r\n\r\n" LAST, REJECTED },
  { "CR CR LF", LINE "X-A: b\r\r\n\r\n" LAST, REJECTED },
  { "NUL within a value", LINE "X-A: b$0c\r\n\r\n" LAST, REJECTED },
  { "control byte within a value", LINE "X-A: b\x01\r\n\r\n" LAST, REJECTED },
  { "DEL within a value", LINE "X-A: b\x7f\r\n\r\n" LAST, REJECTED },
  { "folded length", LINE "Content-Length:\r\n $N\r\n\r\n$I", REJECTED },
  { "folded field that looks like a length", LINE "X-A: b\r\n\tContent-Length: $N\r\n\r\n$I",
    REJECTED },
  { "first field begins with a space", "POST /a HTTP/1.1\r\n Host: h\r\n\r\n" LAST, REJECTED },
  /* request line */
  { "two spaces before the target", "POST  /a HTTP/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "space within the target", "POST /a HTTP/1.1 HTTP/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "tab within the target", "POST /a\tb HTTP/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "control byte within the target", "POST /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n" LAST,
    REJECTED },
  { "space after the version", "POST /a HTTP/1.1 \r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "lone LF after the request line", "POST /a HTTP/1.1\nHost: h\r\n\r\n" LAST, REJECTED },
  { "no version", "POST /a\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "version 2", "POST /a HTTP/2.0\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "version with a third number", "POST /a HTTP/1.1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "version in lower case", "POST /a http/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "method with a colon", "PO:ST /a HTTP/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  { "no method", " /a HTTP/1.1\r\nHost: h\r\n\r\n" LAST, REJECTED },
  /* lengths and codings */
  { "two lengths", LINE "Content-Length: 0\r\nContent-Length: $N\r\n\r\n$I", REJECTED },
  { "the same length twice", LINE "Content-Length: $N\r\nContent-Length: $N\r\n\r\n$I",
    REJECTED },
  { "list of lengths", LINE "Content-Length: $N, $N\r\n\r\n$I", REJECTED },
  { "length with a sign", LINE "Content-Length: +$N\r\n\r\n$I", REJECTED },
  { "negative length", LINE "Content-Length: -1\r\n\r\n" LAST, REJECTED },
  { "hexadecimal length", LINE "Content-Length: 0x$H\r\n\r\n$I", REJECTED },
  { "empty length", LINE "Content-Length:\r\n\r\n$I", REJECTED },
  { "length and text", LINE "Content-Length: 0 x\r\n\r\n$I", REJECTED },
  { "length beyond 64 bits", LINE "Content-Length: 18446744073709551616\r\n\r\n" LAST,
    REJECTED },
  { "length and coding",
    LINE "Content-Length: $N\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "two codings",
    LINE "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  { "unknown coding", LINE "Transfer-Encoding: gzip, chunked\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "coding with a prefix", LINE "Transfer-Encoding: xchunked\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  { "coding with a parameter", LINE "Transfer-Encoding: chunked;a=b\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  { "empty coding", LINE "Transfer-Encoding:\r\n\r\n" CHUNKED_INNER, REJECTED },
  { "coding with HTTP/1.0",
    "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  { "GET with a length", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: $N\r\n\r\n$I",
    REJECTED },
  { "DELETE with chunks",
    "DELETE /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  /* chunks */
  { "chunk size with a sign", CHUNKED "+3\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "chunk size with 0x", CHUNKED "0x3\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "space before a chunk size", CHUNKED " 3\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "empty chunk size", CHUNKED "\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "lone LF after a chunk size", CHUNKED "3\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "lone LF after a chunk", CHUNKED "3\r\nabc\n0\r\n\r\n" LAST, REJECTED },
  { "chunk longer than its size", CHUNKED "3\r\nabc0\r\n\r\n" LAST, REJECTED },
  { "chunk without a line end", CHUNKED "3\r\nabc0\r\n\r\n$I", REJECTED },
  { "empty lines after a chunk", CHUNKED "3\r\nabc\r\n\r\n\r\n0\r\n\r\n" LAST, REJECTED },
  { "lone LF in a chunk extension", CHUNKED "3 ;a\n\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "chunk size beyond 64 bits", CHUNKED "10000000000000003\r\nabc\r\n0\r\n\r\n" LAST,
    REJECTED },
  { "chunk size of many zeros",
    CHUNKED "00000000000000000000000000000000000000003\r\nabc\r\n0\r\n\r\n" LAST, REJECTED },
  { "lone LF in a trailer", CHUNKED "0\r\nX-A: b\n\r\n" LAST, REJECTED },
  { "length in a trailer", CHUNKED "0\r\nContent-Length: $N\r\n\r\n$I", REJECTED },
  { "coding in a trailer", CHUNKED "0\r\nTransfer-Encoding: chunked\r\n\r\n" CHUNKED_INNER,
    REJECTED },
  /* a valid request before */
  { "ill-named length in the second request",
    LINE "Content-Length: 3\r\n\r\nabc" LINE "Content-Length : $N\r\n\r\n$I", "POST /a [abc]",
    "200 400 " },
  /* valid requests */
  { "length", LINE "Content-Length: 3\r\n\r\nabc" LAST, "POST /a [abc]" SEEN_LAST, "200 200 " },
  { "length with white space around it", LINE "Content-Length: \t 3 \t\r\n\r\nabc" LAST,
    "POST /a [abc]" SEEN_LAST, "200 200 " },
  { "length without white space", LINE "cOnTeNt-LeNgTh:003\r\n\r\nabc" LAST,
    "POST /a [abc]" SEEN_LAST, "200 200 " },
  { "no body", LINE "Content-Length: 0\r\n\r\n" LINE "\r\n" LAST,
    "POST /a []POST /a []" SEEN_LAST, "200 200 200 " },
  { "a request as body", LINE "Content-Length: $N\r\n\r\n$I" LAST, "POST /a [$I]" SEEN_LAST,
    "200 200 " },
  { "chunks", CHUNKED "3\r\nabc\r\n00A\r\n0123456789\r\n0\r\n\r\n" LAST,
    "POST /a [abc0123456789]" SEEN_LAST, "200 200 " },
  { "a request in chunks", CHUNKED CHUNKED_INNER LAST, "POST /a [$I]" SEEN_LAST, "200 200 " },
  { "coding in upper case", LINE "Transfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n" LAST,
    "POST /a []" SEEN_LAST, "200 200 " },
  /* RFC 9110, 6.5.1: trailers are not merged into the header fields. */
  { "trailers", CHUNKED "3\r\nabc\r\n0\r\nHold: x\r\nTenant-Id: y\r\n\r\n" LAST,
    "POST /a [abc]" SEEN_LAST, "200 200 " },
  { "values of any visible bytes", LINE "X-A: \"b\"\tc;(d)=\xc3\xa9\r\nx_b!~:\r\n\r\n" LAST,
    "POST /a X-A:\"b\"\tc;(d)=\xc3\xa9 x_b!~: []" SEEN_LAST, "200 200 " },
  { "GET with a length of 0",
    "GET /b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" LAST,
    "GET /b?c=d []" SEEN_LAST, "200 200 " },
  { "HTTP/1.0", "GET /b HTTP/1.0\r\nHost: h\r\n\r\n", "GET /b []", "200 " },
};

typedef struct Fixture
{
  struct event_base *base;
  DpCounters *counters;
  DpByteBudget *bodies;
  DpHttpServer *server;
  guint16 port;
  GString *seen;
} Fixture;

static void
record_header (gpointer user, const char *name, const char *value)
{
  static const char *const common[] = { "Host", "Content-Length", "Transfer-Encoding" };
  GString *seen = user;
  for (guint i = 0; i < G_N_ELEMENTS (common); i++)
    if (g_ascii_strcasecmp (name, common[i]) == 0)
      return;
  g_string_append_printf (seen, "%s:%s ", name, value);
}

static void
on_request (gpointer user, DpHttpExchange *exchange)
{
  Fixture *fixture = user;
  gsize length;
  const char *body = dp_http_exchange_body (exchange, &length);
  g_string_append_printf (fixture->seen, "%s %s ", dp_http_exchange_method (exchange),
                          dp_http_exchange_target (exchange));
  dp_http_exchange_each_header (exchange, record_header, fixture->seen);
  g_string_append_c (fixture->seen, '[');
  g_string_append_len (fixture->seen, body, (gssize)length);
  g_string_append_c (fixture->seen, ']');
  /* A trailer is not found by its name either. */
  ck_assert_ptr_null (dp_http_exchange_header (exchange, "Hold"));
  dp_http_exchange_reply (exchange, 200, "", 0);
}

static void
fixture_start (Fixture *fixture)
{
  fixture->base = event_base_new ();
  fixture->counters = dp_counters_new ();
  fixture->bodies = dp_byte_budget_new (BODIES_MAX);
  fixture->port = find_free_port (ADDRESS);
  fixture->seen = g_string_new (NULL);
  const DpHttpServerOptions options
    = { .base = fixture->base,
        .address = ADDRESS,
        .port = fixture->port,
        .name = "test",
        .head_max = 4 * KIB,
        .body_max = BODY_MAX,
        .budgets.bodies = fixture->bodies,
        .read_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .write_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .write_buffer_max = KIB,
        .exchanges_max = 8,
        .connections_max = 8,
        .request_timeout = TEST_TIMEOUT_SECONDS * DP_USEC_PER_SEC,
        .counters = fixture->counters,
        .handler = on_request,
        .user = fixture };
  fixture->server = dp_http_server_new (&options);
  ck_assert_ptr_nonnull (fixture->server);
}

static void
fixture_free (Fixture *fixture)
{
  dp_http_server_free (fixture->server);
  dp_byte_budget_free (fixture->bodies);
  dp_counters_unref (fixture->counters);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
  g_string_free (fixture->seen, TRUE);
}

static GString *
expand (const char *text)
{
  char decimal[16], hexadecimal[16];
  g_snprintf (decimal, sizeof decimal, "%zu", strlen (INNER));
  g_snprintf (hexadecimal, sizeof hexadecimal, "%zx", strlen (INNER));
  GString *out = g_string_new (NULL);
  for (const char *at = text; *at != '\0'; at++)
    {
      if (*at != '$')
        {
          g_string_append_c (out, *at);
          continue;
        }
      at++;
      if (*at == 'N')
        g_string_append (out, decimal);
      else if (*at == 'H')
        g_string_append (out, hexadecimal);
      else if (*at == 'I')
        g_string_append (out, INNER);
      else
        g_string_append_c (out, '\0');
    }
  return out;
}

static int
connect_client (const Fixture *fixture)
{
  struct sockaddr_in peer = { .sin_family = AF_INET, .sin_port = htons (fixture->port) };
  inet_pton (AF_INET, ADDRESS, &peer.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (const struct sockaddr *)&peer, sizeof peer), 0);
  return fd;
}

/* Sends the bytes in pieces; the server handles each piece before the next is sent. */
static void
send_pieces (const Fixture *fixture, int fd, const GString *bytes, gsize first, gsize step)
{
  for (gsize at = 0, length = first; at < bytes->len; at += length, length = step)
    {
      length = MIN (length, bytes->len - at);
      /* The server may have rejected the request by now. */
      send (fd, bytes->str + at, length, MSG_NOSIGNAL);
      for (int i = 0; i < 3; i++)
        event_base_loop (fixture->base, EVLOOP_NONBLOCK);
    }
}

typedef struct Client
{
  struct event_base *base;
  GString *received;
} Client;

static void
on_client_readable (evutil_socket_t fd, short what, void *user)
{
  Client *client = user;
  char part[4096];
  ssize_t got = (what & EV_READ) != 0 ? recv (fd, part, sizeof part, 0) : -1;
  ck_assert_msg ((what & EV_READ) != 0, "no end of the connection within %d s",
                 TEST_TIMEOUT_SECONDS);
  if (got > 0)
    g_string_append_len (client->received, part, got);
  else
    event_base_loopbreak (client->base);
}

/* Returns the status codes of the responses, up to the end of the connection. */
static char *
receive_statuses (const Fixture *fixture, int fd)
{
  Client client = { .base = fixture->base, .received = g_string_new (NULL) };
  const struct timeval limit = { .tv_sec = TEST_TIMEOUT_SECONDS };
  struct event *event
    = event_new (fixture->base, fd, EV_READ | EV_PERSIST, on_client_readable, &client);
  event_add (event, &limit);
  event_base_dispatch (fixture->base);
  event_free (event);
  GString *statuses = g_string_new (NULL);
  for (const char *at = client.received->str; (at = strstr (at, "HTTP/1.")) != NULL; at++)
    g_string_append_printf (statuses, "%.3s ", at + strlen ("HTTP/1.1 "));
  g_string_free (client.received, TRUE);
  return g_string_free (statuses, FALSE);
}

static void
check_split (const FramingCase *row, gsize first, gsize step)
{
  Fixture fixture;
  GString *bytes = expand (row->bytes);
  GString *seen = expand (row->seen);
  fixture_start (&fixture);
  int fd = connect_client (&fixture);
  send_pieces (&fixture, fd, bytes, first, step);
  char *statuses = receive_statuses (&fixture, fd);
  close (fd);
  ck_assert_msg (g_string_equal (fixture.seen, seen), "%s, split at %zu, by %zu: seen \"%s\"",
                 row->name, first, step, fixture.seen->str);
  ck_assert_msg (strcmp (statuses, row->statuses) == 0,
                 "%s, split at %zu, by %zu: statuses \"%s\"", row->name, first, step, statuses);
  g_free (statuses);
  g_string_free (seen, TRUE);
  g_string_free (bytes, TRUE);
  fixture_free (&fixture);
}

/* Guards against a request that runs though it was part of another one's body, and against
 * fields that reach targets under a name that the server hasn't recognised. */
START_TEST (a_request_is_delimited_strictly_or_rejected)
{
  const FramingCase *row = &framing_cases[_i];
  GString *bytes = expand (row->bytes);
  check_split (row, bytes->len, 1);
  check_split (row, 1, 1);
  for (gsize first = 1; first < bytes->len; first++)
    check_split (row, first, bytes->len);
  g_string_free (bytes, TRUE);
}
END_TEST

/* --- bodies that don't fit --- */

typedef struct BodyCase
{
  const char *name;
  gboolean is_full;  /* another connection has announced a body of BODY_MAX */
  const char *bytes; /* no bytes of bodies that are to be rejected */
  const char *statuses;
} BodyCase;

#define CLOSING "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"

static const BodyCase body_cases[] = {
  { "longer than allowed", FALSE, CLOSING "Content-Length: 65537\r\n\r\n", "413 " },
  { "chunk longer than allowed", FALSE, CLOSING "Transfer-Encoding: chunked\r\n\r\n10001\r\n",
    "413 " },
  { "second chunk longer than allowed", FALSE,
    CLOSING "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n10000\r\n", "413 " },
  { "no room", TRUE, CLOSING "Content-Length: 40000\r\n\r\n", "503 " },
  { "no room for a chunk", TRUE, CLOSING "Transfer-Encoding: chunked\r\n\r\n9c40\r\n", "503 " },
  { "no room behind another request", TRUE, LINE "\r\n" CLOSING "Content-Length: 40000\r\n\r\n",
    "200 503 " },
  { "short", TRUE, CLOSING "Content-Length: 3\r\n\r\nabc", "200 " },
  { "short chunks", TRUE, CLOSING "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "200 " },
};

/* Guards against bodies that together exceed the memory of the process. */
START_TEST (a_body_without_room_is_rejected_before_it_is_received)
{
  const BodyCase *row = &body_cases[_i];
  Fixture fixture;
  fixture_start (&fixture);
  int other = -1;
  if (row->is_full)
    {
      GString *head = g_string_new (LINE "Content-Length: 65536\r\n\r\n");
      other = connect_client (&fixture);
      send_pieces (&fixture, other, head, head->len, 1);
      while (dp_byte_budget_total (fixture.bodies) != BODY_MAX)
        event_base_loop (fixture.base, EVLOOP_ONCE);
      g_string_free (head, TRUE);
    }
  GString *bytes = g_string_new (row->bytes);
  int fd = connect_client (&fixture);
  send_pieces (&fixture, fd, bytes, bytes->len, 1);
  char *statuses = receive_statuses (&fixture, fd);
  ck_assert_msg (strcmp (statuses, row->statuses) == 0, "%s: %s", row->name, statuses);
  ck_assert_uint_eq (dp_byte_budget_total (fixture.bodies), row->is_full ? BODY_MAX : 0);
  close (fd);
  if (other >= 0)
    close (other);
  g_free (statuses);
  g_string_free (bytes, TRUE);
  fixture_free (&fixture);
}
END_TEST

START_TEST (a_body_that_was_begun_is_received_in_full)
{
  Fixture fixture;
  fixture_start (&fixture);
  GString *head = g_string_new (CLOSING "Content-Length: 65536\r\n\r\n");
  GString *body = g_string_new (NULL);
  g_string_set_size (body, BODY_MAX);
  memset (body->str, 'x', body->len);
  int fd = connect_client (&fixture);
  send_pieces (&fixture, fd, head, head->len, 1);
  while (dp_byte_budget_total (fixture.bodies) != BODY_MAX)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  int others;
  dp_byte_budget_set (fixture.bodies, &others, BODIES_MAX);
  send_pieces (&fixture, fd, body, 1, KIB);
  char *statuses = receive_statuses (&fixture, fd);
  ck_assert_str_eq (statuses, "200 ");
  ck_assert_uint_eq (dp_byte_budget_total (fixture.bodies), BODIES_MAX);
  close (fd);
  g_free (statuses);
  g_string_free (body, TRUE);
  g_string_free (head, TRUE);
  fixture_free (&fixture);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("net_http_framing");
  TCase *tests = tcase_create ("framing");
  tcase_add_loop_test (tests, a_request_is_delimited_strictly_or_rejected, 0,
                       G_N_ELEMENTS (framing_cases));
  tcase_add_loop_test (tests, a_body_without_room_is_rejected_before_it_is_received, 0,
                       G_N_ELEMENTS (body_cases));
  tcase_add_test (tests, a_body_that_was_begun_is_received_in_full);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
