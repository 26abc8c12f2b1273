/* Parsing and formatting of chat bodies, stream events, completions and HTTP requests. */
#include "entry/chat.h"
#include "entry/request.h"
#include "tests/free_port.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ADDRESS "127.0.1.61"
#define TIMEOUT_SECONDS 20

/* --- chat bodies --- */

typedef struct ChatCase
{
  const char *body;
  const char *problem; /* expected substring; NULL: valid */
  gboolean stream;
  guint output_tokens;
} ChatCase;

#define ONE_MESSAGE "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"

static const ChatCase chat_cases[] = {
  { "{\"model\":\"m\"," ONE_MESSAGE "}", NULL, FALSE, 0 },
  { "{\"model\":\"m\",\"stream\":true,\"max_tokens\":7," ONE_MESSAGE "}", NULL, TRUE, 7 },
  { "{\"max_completion_tokens\":9,\"max_tokens\":7," ONE_MESSAGE "}", NULL, FALSE, 9 },
  { "{\"max_tokens\":-3," ONE_MESSAGE "}", NULL, FALSE, 0 },
  { "{\"max_tokens\":99999999999," ONE_MESSAGE "}", NULL, FALSE, G_MAXUINT },
  { "{\"stream\":null," ONE_MESSAGE "}\n", NULL, FALSE, 0 },
  { "{\"stream\":\"yes\"," ONE_MESSAGE "}", "stream", FALSE, 0 },
  { "{\"messages\":[]}", "messages", FALSE, 0 },
  { "{\"messages\":\"hi\"}", "messages", FALSE, 0 },
  { "{}", "messages", FALSE, 0 },
  { "[]", "not a JSON object", FALSE, 0 },
  { "", "not a JSON object", FALSE, 0 },
  { "{" ONE_MESSAGE, "not a JSON object", FALSE, 0 },
  { "{" ONE_MESSAGE "} x", "not a JSON object", FALSE, 0 },
  { "{" ONE_MESSAGE ",\"x\":NaN}", "not a JSON object", FALSE, 0 },
  { "{'messages':[1]}", "not a JSON object", FALSE, 0 },
  { "{" ONE_MESSAGE "," ONE_MESSAGE "}", "not a JSON object", FALSE, 0 },
  { "{\"x\":\"a\nb\"," ONE_MESSAGE "}", "not a JSON object", FALSE, 0 },
  { "{\"x\":{'y':1}," ONE_MESSAGE "}", "not a JSON object", FALSE, 0 },
  { "{\"x\":\"\xff\"," ONE_MESSAGE "}", "not a JSON object", FALSE, 0 },
};

START_TEST (chat_bodies_are_parsed_or_rejected)
{
  const ChatCase *c = &chat_cases[_i];
  const char *problem;
  DpChatRequest *chat = dp_chat_request_parse (c->body, strlen (c->body), &problem);
  if (c->problem != NULL)
    {
      ck_assert_ptr_null (chat);
      ck_assert_ptr_nonnull (strstr (problem, c->problem));
      return;
    }
  ck_assert_ptr_nonnull (chat);
  ck_assert_int_eq (chat->stream, c->stream);
  ck_assert_uint_eq (chat->output_tokens, c->output_tokens);
  ck_assert_uint_ge (chat->prompt_tokens, 1);
  dp_chat_request_free (chat);
}
END_TEST

START_TEST (deep_nesting_is_rejected)
{
  GString *body = g_string_new ("{" ONE_MESSAGE ",\"x\":");
  for (int i = 0; i < 10000; i++)
    g_string_append_c (body, '[');
  const char *problem;
  ck_assert_ptr_null (dp_chat_request_parse (body->str, body->len, &problem));
  g_string_free (body, TRUE);
}
END_TEST

/* Engine and entry must hash the same text: the contents, each followed by a newline. */
START_TEST (prefix_blocks_cover_all_contents)
{
  char part[DP_PREFIX_BLOCK_BYTES];
  memset (part, 'a', sizeof part - 1);
  part[sizeof part - 1] = '\0';
  char *body = g_strdup_printf (
    "{\"messages\":[{\"content\":\"%s\"},{\"content\":[{\"text\":\"%s\"}]}]}", part, part);
  char *prompt = g_strdup_printf ("%s\n%s\n", part, part);
  guint64 expected[4];
  guint count = dp_prefix_hash_blocks (prompt, strlen (prompt), expected, 4);
  ck_assert_uint_eq (count, 2);
  const char *problem;
  DpChatRequest *chat = dp_chat_request_parse (body, strlen (body), &problem);
  ck_assert_uint_eq (chat->prefix_count, 2);
  ck_assert_uint_eq (chat->prefix[0], expected[0]);
  ck_assert_uint_eq (chat->prefix[1], expected[1]);
  dp_chat_request_free (chat);
  g_free (prompt);
  g_free (body);
}
END_TEST

START_TEST (engine_bodies_request_streaming_and_resume)
{
  const char *text = "{\"model\":\"m\",\"resume_text\":\"forged\"," ONE_MESSAGE "}";
  const char *problem;
  DpChatRequest *chat = dp_chat_request_parse (text, strlen (text), &problem);
  char *first = dp_chat_request_format (chat, NULL);
  char *resumed = dp_chat_request_format (chat, "so \"far\"\n");
  char *again = dp_chat_request_format (chat, NULL);
  ck_assert_ptr_nonnull (strstr (first, "\"stream\":true"));
  ck_assert_ptr_null (strstr (first, "resume_text"));
  ck_assert_ptr_nonnull (strstr (resumed, "\"resume_text\":\"so \\\"far\\\"\\n\""));
  ck_assert_str_eq (first, again);
  g_free (first);
  g_free (resumed);
  g_free (again);
  dp_chat_request_free (chat);
}
END_TEST

/* --- stream events --- */

typedef struct EventCase
{
  const char *event;
  gboolean ok;
  gboolean done;
  guint tokens;
  const char *content;
  const char *finish_reason;
  guint completion_tokens;
} EventCase;

static const EventCase event_cases[] = {
  { "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a \"},\"finish_reason\":null}]}\n\n",
    TRUE, FALSE, 1, "a ", NULL, 0 },
  { "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
    "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":5}}\n\n",
    TRUE, FALSE, 0, NULL, "stop", 5 },
  { "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n", TRUE,
    FALSE, 0, NULL, NULL, 0 },
  { "data: {\"choices\":[]}\n\n", TRUE, FALSE, 0, NULL, NULL, 0 },
  { "data: {\"choices\":[7]}\n\n", TRUE, FALSE, 0, NULL, NULL, 0 },
  { "data: [DONE]\n\n", TRUE, TRUE, 0, NULL, NULL, 0 },
  { "data: [DONE]\r\n\r\n", TRUE, TRUE, 0, NULL, NULL, 0 },
  { ": ping\n\n", TRUE, FALSE, 0, NULL, NULL, 0 },
  { "data: [DONE\n\n", FALSE, FALSE, 0, NULL, NULL, 0 },
  { "data: {\"choices\":\n\n", FALSE, FALSE, 0, NULL, NULL, 0 },
  { "data: \n\n", FALSE, FALSE, 0, NULL, NULL, 0 },
};

START_TEST (stream_events_are_parsed)
{
  const EventCase *c = &event_cases[_i];
  DpChatEvent event;
  ck_assert_int_eq (dp_chat_event_parse (c->event, strlen (c->event), &event), c->ok);
  if (!c->ok)
    return;
  ck_assert_int_eq (event.done, c->done);
  ck_assert_uint_eq (event.tokens, c->tokens);
  ck_assert_pstr_eq (event.content, c->content);
  ck_assert_pstr_eq (event.finish_reason, c->finish_reason);
  ck_assert_uint_eq (event.usage.completion_tokens, c->completion_tokens);
  dp_chat_event_clear (&event);
}
END_TEST

START_TEST (completion_has_openai_format)
{
  const DpChatCompletion completion = { .id = "r1",
                                        .model = "m",
                                        .content = "a \"b\"",
                                        .finish_reason = "stop",
                                        .usage = { 3, 5, 1 },
                                        .created = 7 * DP_USEC_PER_SEC };
  char *text = dp_chat_completion_format (&completion);
  ck_assert_str_eq (
    text,
    "{\"id\":\"chatcmpl-r1\",\"object\":\"chat.completion\",\"created\":7,\"model\":\"m\","
    "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"a "
    "\\\"b\\\"\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,"
    "\"completion_tokens\":5,\"total_tokens\":8,\"prompt_tokens_details\":{\"cached_tokens\":"
    "1}}}");
  g_free (text);
}
END_TEST

/* --- requests, received over HTTP --- */

typedef struct RequestCase
{
  const char *text;
  DpRequestKind kind;
  const char *path;           /* as passed to the core */
  const char *service_target; /* services only */
  const char *id;             /* NULL: random */
  DpUsec timeout;
  const char *idempotency_key;
  const char *problem; /* expected substring; NULL: valid */
} RequestCase;

#define MSEC DP_USEC_PER_MSEC
#define HOST "Host: x\r\n"

static const RequestCase request_cases[] = {
  { "GET /services/rota/sections/7?x=1 HTTP/1.1\r\n" HOST "X-Request-Id: r1\r\n\r\n",
    DP_REQUEST_SERVICE, "/services/rota/sections/7?x=1", "/sections/7?x=1", "r1", 0, NULL,
    NULL },
  { "GET /services/rota HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_SERVICE, "/services/rota", "/",
    NULL, 0, NULL, NULL },
  { "GET /services/rota/a/../b HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_SERVICE,
    "/services/rota/a/../b", NULL, NULL, 0, NULL, "ambiguous" },
  { "GET /services/rota/a/%2E%2e/b HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_SERVICE,
    "/services/rota/a/%2E%2e/b", NULL, NULL, 0, NULL, "ambiguous" },
  { "GET /services/rota//b HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_SERVICE, "/services/rota//b",
    NULL, NULL, 0, NULL, "ambiguous" },
  { "GET /services/rota/b?u=http://x/../ HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_SERVICE,
    "/services/rota/b?u=http://x/../", "/b?u=http://x/../", NULL, 0, NULL, NULL },
  { "GET /v1/outcomes/01a2%2D3?x HTTP/1.1\r\n" HOST "\r\n", DP_REQUEST_OUTCOME,
    "/v1/outcomes/01a2%2D3", NULL, NULL, 0, "01a2-3", NULL },
  { "GET /v1/chat/completions?x=1 HTTP/1.1\r\n" HOST "Idempotency-Key: k\r\n\r\n",
    DP_REQUEST_CHAT, "/v1/chat/completions", NULL, NULL, 0, "k", NULL },
  { "GET /other HTTP/1.1\r\n" HOST "X-Request-Timeout-Ms: 250\r\n\r\n", DP_REQUEST_UNKNOWN,
    "/other", NULL, NULL, 250 * MSEC, NULL, NULL },
  { "GET /other HTTP/1.1\r\n" HOST "X-Request-Timeout-Ms: 0\r\n\r\n", DP_REQUEST_UNKNOWN,
    "/other", NULL, NULL, 0, NULL, "Timeout" },
  { "GET /other HTTP/1.1\r\n" HOST "X-Request-Timeout-Ms: 1e3\r\n\r\n", DP_REQUEST_UNKNOWN,
    "/other", NULL, NULL, 0, NULL, "Timeout" },
  { "GET /other HTTP/1.1\r\n" HOST "X-Request-Id: two words\r\n\r\n", DP_REQUEST_UNKNOWN,
    "/other", NULL, NULL, 0, NULL, NULL },
  { "POST /v1/chat/completions HTTP/1.0\r\nContent-Length: 68\r\n\r\n"
    "{\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello there\"}]}",
    DP_REQUEST_CHAT, "/v1/chat/completions", NULL, NULL, 0, NULL, "HTTP/1.1" },
};

typedef struct Received
{
  struct event_base *base;
  DpEntryRequest *request;
} Received;

static void
on_exchange (gpointer user, DpHttpExchange *exchange)
{
  Received *received = user;
  received->request = dp_entry_request_new (exchange);
  dp_http_exchange_reply (exchange, 200, "", 0);
  event_base_loopbreak (received->base);
}

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  ck_abort_msg ("no event within %d s", TIMEOUT_SECONDS);
}

static DpEntryRequest *
receive_request (const char *text)
{
  Received received = { .base = event_base_new () };
  guint16 port = find_free_port (ADDRESS);
  DpCounters *counters = dp_counters_new ();
  const DpHttpServerOptions options = { .base = received.base,
                                        .address = ADDRESS,
                                        .port = port,
                                        .name = "callers",
                                        .head_max = 16384,
                                        .body_max = 65536,
                                        .read_timeout = DP_USEC_PER_SEC,
                                        .write_timeout = DP_USEC_PER_SEC,
                                        .write_buffer_max = 65536,
                                        .exchanges_max = 2,
                                        .connections_max = 4,
                                        .request_timeout = DP_USEC_PER_SEC,
                                        .counters = counters,
                                        .handler = on_exchange,
                                        .user = &received };
  DpHttpServer *server = dp_http_server_new (&options);
  ck_assert_ptr_nonnull (server);
  struct bufferevent *bev = bufferevent_socket_new (received.base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };
  ck_assert_int_eq (inet_pton (AF_INET, ADDRESS, &address.sin_addr), 1);
  bufferevent_socket_connect (bev, (struct sockaddr *)&address, sizeof address);
  bufferevent_write (bev, text, strlen (text));
  struct event *timeout = evtimer_new (received.base, on_timeout, NULL);
  const struct timeval limit = { .tv_sec = TIMEOUT_SECONDS };
  event_add (timeout, &limit);
  event_base_dispatch (received.base);
  event_free (timeout);
  bufferevent_free (bev);
  dp_http_server_free (server);
  dp_counters_unref (counters);
  event_base_free (received.base);
  return received.request;
}

START_TEST (requests_are_parsed_or_rejected)
{
  const RequestCase *c = &request_cases[_i];
  DpEntryRequest *request = receive_request (c->text);
  ck_assert_int_eq (request->kind, c->kind);
  ck_assert_str_eq (request->path, c->path);
  if (c->service_target != NULL)
    ck_assert_str_eq (dp_entry_request_service_target (request), c->service_target);
  if (c->id != NULL)
    ck_assert_str_eq (request->id, c->id);
  else
    ck_assert_uint_eq (strlen (request->id), DP_ID_STRING_SIZE - 1);
  ck_assert_int_eq (request->timeout, c->timeout);
  ck_assert_pstr_eq (request->idempotency_key, c->idempotency_key);
  if (c->problem == NULL)
    ck_assert_ptr_null (request->problem);
  else
    ck_assert_ptr_nonnull (strstr (request->problem, c->problem));
  dp_entry_request_free (request);
}
END_TEST

START_TEST (access_key_is_stored_as_hash_only)
{
  DpEntryRequest *request
    = receive_request ("GET /x HTTP/1.1\r\n" HOST "Authorization: bearer crews-key\r\n\r\n");
  char *expected = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "crews-key", -1);
  ck_assert_str_eq (request->key_sha256, expected);
  g_free (expected);
  dp_entry_request_free (request);
  request = receive_request ("GET /x HTTP/1.1\r\n" HOST "Authorization: Basic eA==\r\n\r\n");
  ck_assert_ptr_null (request->key_sha256);
  dp_entry_request_free (request);
}
END_TEST

START_TEST (body_hash_covers_the_query)
{
  DpEntryRequest *one = receive_request ("GET /services/s/b?n=1 HTTP/1.1\r\n" HOST "\r\n");
  DpEntryRequest *two = receive_request ("GET /services/s/b?n=2 HTTP/1.1\r\n" HOST "\r\n");
  ck_assert_uint_ne (one->body_hash, two->body_hash);
  dp_entry_request_free (one);
  dp_entry_request_free (two);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_shell");
  TCase *tcase = tcase_create ("texts");
  tcase_add_loop_test (tcase, chat_bodies_are_parsed_or_rejected, 0, G_N_ELEMENTS (chat_cases));
  tcase_add_test (tcase, deep_nesting_is_rejected);
  tcase_add_test (tcase, prefix_blocks_cover_all_contents);
  tcase_add_test (tcase, engine_bodies_request_streaming_and_resume);
  tcase_add_loop_test (tcase, stream_events_are_parsed, 0, G_N_ELEMENTS (event_cases));
  tcase_add_test (tcase, completion_has_openai_format);
  tcase_add_loop_test (tcase, requests_are_parsed_or_rejected, 0, G_N_ELEMENTS (request_cases));
  tcase_add_test (tcase, access_key_is_stored_as_hash_only);
  tcase_add_test (tcase, body_hash_covers_the_query);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
