#include "standins/load_exchange.h"

#include "standins/echo.h"

#include <json-c/json.h>
#include <string.h>

struct LoadExchange
{
  LoadExchangeOptions options;
  LoadResult result;
  DpUsec started_at;
  GString *line_buffer;   /* stream: the incomplete last line; otherwise the whole body */
  GString *received_text; /* content of the stream so far */
  gboolean done_received; /* "[DONE]" was received */
  gboolean malformed;
};

static void
set_verdict (LoadExchange *exchange, LoadVerdict verdict, const char *reason)
{
  exchange->result.verdict = verdict;
  g_strlcpy (exchange->result.reason, reason, sizeof exchange->result.reason);
}

static void
finish (LoadExchange *exchange)
{
  exchange->result.total_latency = g_get_monotonic_time () - exchange->started_at;
  exchange->options.done (&exchange->result, exchange->options.data);
  g_string_free (exchange->line_buffer, TRUE);
  g_string_free (exchange->received_text, TRUE);
  g_free (exchange);
}

static struct json_object *
get_member (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;
  if (object != NULL && json_object_is_type (object, json_type_object))
    json_object_object_get_ex (object, name, &value);
  return value;
}

/* Returns choices[0].FIELD.content, or NULL. */
static const char *
choice_content (struct json_object *response, const char *field)
{
  struct json_object *choices = get_member (response, "choices");
  if (choices == NULL || !json_object_is_type (choices, json_type_array))
    return NULL;
  struct json_object *choice = json_object_array_get_idx (choices, 0);
  struct json_object *content = get_member (get_member (choice, field), "content");
  return content != NULL ? json_object_get_string (content) : NULL;
}

static void
handle_event (LoadExchange *exchange, const char *data)
{
  if (exchange->done_received)
    exchange->malformed = TRUE;
  if (strcmp (data, "[DONE]") == 0)
    {
      exchange->done_received = TRUE;
      return;
    }
  struct json_object *event = json_tokener_parse (data);
  if (event == NULL)
    exchange->malformed = TRUE;
  const char *content = choice_content (event, "delta");
  if (content != NULL)
    {
      if (exchange->result.first_token_latency == 0)
        exchange->result.first_token_latency = g_get_monotonic_time () - exchange->started_at;
      exchange->result.tokens += 1;
      g_string_append (exchange->received_text, content);
    }
  json_object_put (event);
}

static void
handle_event_lines (LoadExchange *exchange)
{
  GString *buffer = exchange->line_buffer;
  gsize from = 0;
  for (;;)
    {
      char *line = buffer->str + from;
      char *end = memchr (line, '\n', buffer->len - from);
      if (end == NULL)
        break;
      *end = '\0';
      if (g_str_has_prefix (line, "data: "))
        handle_event (exchange, line + strlen ("data: "));
      from = (gsize)(end - buffer->str) + 1;
    }
  g_string_erase (buffer, 0, (gssize)from);
}

static void
on_chunk (struct evhttp_request *req, void *data)
{
  LoadExchange *exchange = data;
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  gsize length = evbuffer_get_length (input);
  const char *bytes = (const char *)evbuffer_pullup (input, -1);
  g_string_append_len (exchange->line_buffer, bytes, (gssize)length);
  evbuffer_drain (input, length);
  if (exchange->options.request->kind == LOAD_CHAT_STREAM
      && evhttp_request_get_response_code (req) == 200)
    handle_event_lines (exchange);
}

static GString *
expected_text (const LoadRequest *request)
{
  GString *expected = g_string_new (NULL);
  echo_append_tokens (expected, request->message, 0, request->tokens);
  return expected;
}

static void
check_stream (LoadExchange *exchange, gboolean framing_complete)
{
  GString *expected = expected_text (exchange->options.request);
  gboolean is_prefix = g_str_has_prefix (expected->str, exchange->received_text->str);
  gboolean is_complete = strcmp (expected->str, exchange->received_text->str) == 0;
  if (!is_prefix)
    set_verdict (exchange, LOAD_WRONG, "not_own_text");
  else if (!framing_complete)
    set_verdict (exchange, LOAD_BROKEN, "stream_cut");
  else if (exchange->malformed)
    set_verdict (exchange, LOAD_WRONG, "malformed_event");
  else if (!exchange->done_received)
    set_verdict (exchange, LOAD_WRONG, "cut_framed_as_complete");
  else if (!is_complete)
    set_verdict (exchange, LOAD_WRONG, "done_but_not_whole");
  else
    set_verdict (exchange, LOAD_RIGHT, "right");
  g_string_free (expected, TRUE);
}

static void
check_whole (LoadExchange *exchange)
{
  struct json_object *response = json_tokener_parse (exchange->line_buffer->str);
  const char *content = choice_content (response, "message");
  GString *expected = expected_text (exchange->options.request);
  if (g_strcmp0 (content, expected->str) == 0)
    set_verdict (exchange, LOAD_RIGHT, "right");
  else
    set_verdict (exchange, LOAD_WRONG, "not_own_text");
  exchange->result.tokens = exchange->options.request->tokens;
  g_string_free (expected, TRUE);
  json_object_put (response);
}

/* The service returns the hash of the request body. */
static void
check_booking (LoadExchange *exchange)
{
  const char *body = exchange->options.request->body;
  char hash[17];
  g_snprintf (hash, sizeof hash, "%016" G_GINT64_MODIFIER "x",
              dp_hash_bytes (body, strlen (body), 0));
  struct json_object *response = json_tokener_parse (exchange->line_buffer->str);
  struct json_object *echo = get_member (response, "echo");
  if (echo != NULL && strcmp (json_object_get_string (echo), hash) == 0)
    set_verdict (exchange, LOAD_RIGHT, "right");
  else
    set_verdict (exchange, LOAD_WRONG, "not_own_text");
  json_object_put (response);
}

static void
copy_member (struct json_object *object, const char *name, char *out, gsize size)
{
  struct json_object *value = get_member (object, name);
  if (value != NULL)
    g_strlcpy (out, json_object_get_string (value), size);
}

static void
check_error (LoadExchange *exchange, struct evhttp_request *req)
{
  LoadResult *result = &exchange->result;
  struct evkeyvalq *headers = evhttp_request_get_input_headers (req);
  const char *type = evhttp_find_header (headers, "Content-Type");
  const char *retry_after = evhttp_find_header (headers, "Retry-After");
  struct json_object *problem = json_tokener_parse (exchange->line_buffer->str);
  if (retry_after != NULL)
    result->retry_after = (guint)g_ascii_strtoull (retry_after, NULL, 10);
  if (g_strcmp0 (type, "application/problem+json") == 0
      && get_member (problem, "reason") != NULL)
    {
      set_verdict (exchange, LOAD_PROBLEM, "problem");
      copy_member (problem, "reason", result->reason, sizeof result->reason);
      copy_member (problem, "outcome", result->outcome, sizeof result->outcome);
    }
  else if (exchange->options.request->kind == LOAD_BOOKING)
    set_verdict (exchange, LOAD_PROBLEM, "service_error");
  else
    set_verdict (exchange, LOAD_WRONG, "error_without_problem");
  json_object_put (problem);
}

static void
on_done (struct evhttp_request *req, void *data)
{
  LoadExchange *exchange = data;
  const LoadRequest *request = exchange->options.request;
  int status = req != NULL ? evhttp_request_get_response_code (req) : 0;
  exchange->result.status = status;
  if (status == 0 && request->kind == LOAD_CHAT_STREAM)
    check_stream (exchange, FALSE);
  else if (status == 0)
    set_verdict (exchange, LOAD_BROKEN, "no_answer");
  else if (status != 200)
    check_error (exchange, req);
  else if (request->kind == LOAD_CHAT_STREAM)
    check_stream (exchange, TRUE);
  else if (request->kind == LOAD_CHAT_WHOLE)
    check_whole (exchange);
  else
    check_booking (exchange);
  finish (exchange);
}

static void
add_headers (struct evhttp_request *req, const LoadRequest *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (req);
  char timeout[16];
  g_snprintf (timeout, sizeof timeout, "%u", request->timeout_msec);
  evhttp_add_header (headers, "Host", "dogwoodplank");
  evhttp_add_header (headers, "Content-Type", "application/json");
  evhttp_add_header (headers, "X-Request-Id", request->id);
  if (request->timeout_msec > 0)
    evhttp_add_header (headers, "X-Request-Timeout-Ms", timeout);
  if (request->idempotency_key != NULL)
    evhttp_add_header (headers, "Idempotency-Key", request->idempotency_key);
  if (request->key != NULL)
    {
      char *bearer = g_strdup_printf ("Bearer %s", request->key);
      evhttp_add_header (headers, "Authorization", bearer);
      g_free (bearer);
    }
}

void
load_request_clear (LoadRequest *request)
{
  g_free (request->key);
  g_free (request->idempotency_key);
  g_free (request->path);
  g_free (request->body);
  g_free (request->message);
  g_free (request->id);
  *request = (LoadRequest){ 0 };
}

void
load_exchange_start (const LoadExchangeOptions *options)
{
  LoadExchange *exchange = g_new0 (LoadExchange, 1);
  exchange->options = *options;
  exchange->started_at = g_get_monotonic_time ();
  exchange->result.sent_at = g_get_real_time ();
  exchange->line_buffer = g_string_new (NULL);
  exchange->received_text = g_string_new (NULL);
  struct evhttp_request *req = evhttp_request_new (on_done, exchange);
  evhttp_request_set_chunked_cb (req, on_chunk);
  add_headers (req, options->request);
  evbuffer_add (evhttp_request_get_output_buffer (req), options->request->body,
                strlen (options->request->body));
  if (evhttp_make_request (options->connection, req, EVHTTP_REQ_POST, options->request->path)
      != 0)
    on_done (NULL, exchange);
}
