/* Responses of a stand-in engine: one server-sent event per token, with fault injection. */
#include "common/log.h"
#include "common/prefix.h"
#include "standins/echo.h"
#include "standins/engine.h"

#include <string.h>
#include <unistd.h>

#define BLOCKS_MAX 65536
#define CRASH_EXIT_STATUS 9
/* Wrong Content-Length: divisor of the too short one, excess in bytes of the too long one. */
#define SHORT_LENGTH_DIVISOR 2
#define LONG_LENGTH_EXTRA 100

typedef struct Stream
{
  Engine *engine;
  struct evhttp_request *req;
  char *attempt; /* attempt id, as the client sent it */
  char *message; /* last user message */
  EngineRun run;
  guint64 *blocks;
  gboolean faults_enabled;    /* the fault switches apply to this request */
  gboolean silent;            /* no more tokens are sent */
  GString *buffered_response; /* sent as a whole at the end; NULL: tokens are sent at once */
} Stream;

static void
stream_free (Stream *stream)
{
  g_hash_table_remove (stream->engine->streams, stream->attempt);
  engine_model_remove (stream->engine->model, &stream->run);
  if (stream->buffered_response != NULL)
    g_string_free (stream->buffered_response, TRUE);
  g_free (stream->attempt);
  g_free (stream->message);
  g_free (stream->blocks);
  g_free (stream);
}

static gboolean
fault_is (const Stream *stream, const char *value, const char *wanted)
{
  return stream->faults_enabled && value != NULL && strcmp (value, wanted) == 0;
}

static gboolean
fault_at (const Stream *stream, gint64 value, guint index)
{
  return stream->faults_enabled && value != FAULT_OFF && value == (gint64)index;
}

static void
append_event (GString *out, const Stream *stream, guint id, const char *delta, gboolean stop)
{
  g_string_append_printf (out,
                          "id: %u\n"
                          "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","
                          "\"choices\":[{\"index\":0,\"delta\":{",
                          id, stream->attempt);
  if (delta != NULL)
    g_string_append_printf (out, "\"content\":\"%s\"", delta);
  g_string_append_printf (out, "},\"finish_reason\":%s}]", stop ? "\"stop\"" : "null");
  if (stop)
    g_string_append_printf (out,
                            ",\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
                            "\"prompt_tokens_details\":{\"cached_tokens\":%u}}",
                            stream->run.prompt_tokens, stream->run.total_tokens,
                            stream->run.cached_tokens);
  g_string_append (out, "}\n\n");
}

static void
send_text (Stream *stream, const GString *text)
{
  if (stream->buffered_response != NULL)
    {
      g_string_append_len (stream->buffered_response, text->str, (gssize)text->len);
      return;
    }
  struct evbuffer *chunk = evbuffer_new ();
  evbuffer_add (chunk, text->str, text->len);
  evhttp_send_reply_chunk (stream->req, chunk);
  evbuffer_free (chunk);
}

/* Sends `text` as raw bytes, without chunk framing, and closes the connection. */
static void
close_stream (Stream *stream, const char *text)
{
  dp_log (DP_LOG_INFO, "answer_cut", "attempt", stream->attempt, NULL);
  standin_send_and_close (stream->req, text, strlen (text));
  stream_free (stream);
}

/* Sends the response as raw bytes with a wrong or missing Content-Length, then closes. */
static void
send_misframed (Stream *stream)
{
  gsize length = stream->buffered_response->len;
  const char *framing = stream->engine->faults.framing;
  if (fault_is (stream, framing, "short_length"))
    length /= SHORT_LENGTH_DIVISOR;
  else
    length += LONG_LENGTH_EXTRA;
  GString *raw = g_string_new ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
  g_string_append_printf (raw, "X-Attempt-Id: %s\r\n", stream->attempt);
  if (!fault_is (stream, framing, "close_delimited"))
    g_string_append_printf (raw, "Content-Length: %" G_GSIZE_FORMAT "\r\n", length);
  g_string_append_printf (raw, "Connection: close\r\n\r\n%s", stream->buffered_response->str);
  close_stream (stream, raw->str);
  g_string_free (raw, TRUE);
}

static void
finish_stream (Stream *stream)
{
  EngineFaults *faults = &stream->engine->faults;
  if (fault_is (stream, faults->cut, "before_end"))
    {
      close_stream (stream, "");
      return;
    }
  GString *text = g_string_new (NULL);
  append_event (text, stream, stream->run.total_tokens, NULL, TRUE);
  if (!fault_is (stream, faults->cut, "no_done"))
    g_string_append (text, "data: [DONE]\n\n");
  send_text (stream, text);
  g_string_free (text, TRUE);
  if (stream->buffered_response != NULL)
    {
      send_misframed (stream);
      return;
    }
  if (fault_is (stream, faults->cut, "no_last_chunk"))
    {
      close_stream (stream, "");
      return;
    }
  stream->engine->stats.finished += 1;
  standin_unwatch_close (stream->req);
  evhttp_send_reply_end (stream->req);
  stream_free (stream);
}

typedef enum TokenResult
{
  TOKEN_SENT,
  TOKEN_DROPPED,       /* the stream no longer sends */
  TOKEN_STREAM_CLOSED, /* the stream is freed */
} TokenResult;

/* Applies the faults that occur before a token is sent. */
static TokenResult
apply_token_faults (Stream *stream, guint index)
{
  EngineFaults *faults = &stream->engine->faults;
  if (fault_at (stream, faults->die_at_token, index))
    {
      dp_log (DP_LOG_NOTICE, "died_as_told", "attempt", stream->attempt, NULL);
      _exit (CRASH_EXIT_STATUS);
    }
  if (fault_at (stream, faults->silent_at_token, index))
    stream->silent = TRUE;
  if (stream->silent)
    return TOKEN_DROPPED;
  guint cut_at = faults->cut_at_token != FAULT_OFF ? (guint)faults->cut_at_token : 1;
  if (fault_is (stream, faults->cut, "mid_chunk") && index >= cut_at)
    {
      close_stream (stream, "5f\r\nid: 999\ndata: {\"id\":\"chat");
      return TOKEN_STREAM_CLOSED;
    }
  return TOKEN_SENT;
}

gboolean
engine_stream_token (EngineRun *run, guint index)
{
  Stream *stream = run->user_data;
  gboolean last = index + 1 >= run->total_tokens;
  TokenResult result = apply_token_faults (stream, index);
  if (result != TOKEN_SENT)
    return result == TOKEN_DROPPED;
  GString *text = g_string_new (NULL);
  GString *token = g_string_new (NULL);
  echo_append_token (token, stream->message, index);
  append_event (text, stream, index + 1, token->str, FALSE);
  send_text (stream, text);
  g_string_free (token, TRUE);
  g_string_free (text, TRUE);
  if (!last)
    return TRUE;
  finish_stream (stream);
  return FALSE;
}

static void
on_peer_closed (struct evhttp_connection *connection, void *data)
{
  Stream *stream = data;
  stream->engine->stats.closed_by_peer += 1;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (stream->req);
  stream_free (stream);
}

static guint
header_number (struct evhttp_request *req, const char *name)
{
  const char *text = standin_request_header (req, name);
  guint64 number = 0;
  if (text != NULL)
    g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &number, NULL);
  return (guint)number;
}

/* resume_text has to be the first `tokens` tokens of this request's response. */
static gboolean
resume_text_matches (struct json_object *request, const char *message, guint tokens)
{
  struct json_object *value;
  if (!json_object_object_get_ex (request, "resume_text", &value))
    return FALSE;
  GString *expected = g_string_new (NULL);
  echo_append_tokens (expected, message, 0, tokens);
  gboolean same = strcmp (expected->str, json_object_get_string (value)) == 0;
  g_string_free (expected, TRUE);
  return same;
}

static void
init_run (Stream *stream, struct json_object *request)
{
  GString *prompt = echo_prompt_text (request);
  guint blocks_max = (guint)MIN (prompt->len / DP_PREFIX_BLOCK_BYTES + 1, BLOCKS_MAX);
  stream->blocks = g_new (guint64, blocks_max);
  stream->run.blocks = stream->blocks;
  stream->run.block_count
    = dp_prefix_hash_blocks (prompt->str, prompt->len, stream->blocks, blocks_max);
  stream->run.prompt_tokens = dp_prefix_estimate_tokens (prompt->len);
  stream->run.total_tokens = echo_token_count (request, stream->message);
  stream->run.user_data = stream;
  g_string_free (prompt, TRUE);
}

static void
send_response_headers (Stream *stream)
{
  EngineFaults *faults = &stream->engine->faults;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (stream->req);
  gboolean crossed = stream->faults_enabled && faults->crossed == 1;
  const char *attempt = crossed ? "00000000000000000000000000c0ffee" : stream->attempt;
  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "X-Attempt-Id", attempt);
  if (stream->buffered_response == NULL)
    evhttp_send_reply_start (stream->req, 200, "OK");
}

static void
start_stream (Engine *engine,
              struct evhttp_request *req,
              struct json_object *request,
              const char *attempt)
{
  Stream *stream = g_new0 (Stream, 1);
  stream->engine = engine;
  stream->req = req;
  stream->attempt = g_strdup (attempt);
  stream->message = g_strdup (echo_last_user_message (request));
  stream->run.resume_tokens = header_number (req, "X-Resume-Tokens");
  stream->faults_enabled = fault_consume (&engine->fault_table);
  if (stream->faults_enabled && engine->faults.framing != NULL)
    stream->buffered_response = g_string_new (NULL);
  init_run (stream, request);
  engine->stats.resumed += stream->run.resume_tokens > 0;
  g_hash_table_replace (engine->streams, stream->attempt, stream);
  standin_watch_close (req, on_peer_closed, stream);
  if (fault_is (stream, engine->faults.cut, "headers"))
    {
      close_stream (stream, "HTTP/1.1 200 OK\r\nContent-Type: text/ev");
      return;
    }
  send_response_headers (stream);
  if (stream->run.resume_tokens >= stream->run.total_tokens)
    {
      finish_stream (stream);
      return;
    }
  const struct timeval period = { 0, ENGINE_TICK_USEC };
  event_add (engine->tick_timer, &period);
  engine_model_add (engine->model, &stream->run, engine_now ());
}

/* Returns 0 if the request can be served, else the HTTP status of the error response. */
static int
validate_request (Engine *engine,
                  struct evhttp_request *req,
                  struct json_object *request,
                  const char *attempt)
{
  if (request == NULL)
    return 400;
  guint resume = header_number (req, "X-Resume-Tokens");
  const char *message = echo_last_user_message (request);
  if (resume > 0 && !resume_text_matches (request, message, resume))
    {
      engine->stats.resume_mismatch += 1;
      return 400;
    }
  if (g_hash_table_contains (engine->streams, attempt))
    {
      engine->stats.duplicate_attempts += 1;
      return 409;
    }
  return engine->faults.error_status != FAULT_OFF && fault_consume (&engine->fault_table)
           ? (int)engine->faults.error_status
           : 0;
}

void
engine_stream_begin (Engine *engine, struct evhttp_request *req)
{
  static guint64 fallback_count = 0;
  char fallback_id[DP_ID_STRING_SIZE];
  dp_id_format ((DpId){ 0, ++fallback_count }, fallback_id);
  const char *attempt = standin_request_header (req, "X-Attempt-Id");
  if (attempt == NULL)
    attempt = fallback_id;
  char *body = standin_request_body (req, NULL);
  if (engine->faults.poison != NULL && strstr (body, engine->faults.poison) != NULL)
    {
      dp_log (DP_LOG_NOTICE, "died_of_poison", "attempt", attempt, NULL);
      _exit (CRASH_EXIT_STATUS);
    }
  engine->stats.requests += 1;
  struct json_object *request = json_tokener_parse (body);
  g_free (body);
  int status = validate_request (engine, req, request, attempt);
  if (status != 0)
    {
      evhttp_add_header (evhttp_request_get_output_headers (req), "X-Attempt-Id", attempt);
      standin_reply (req, status, "application/json", "{\"error\":\"refused\"}");
    }
  else
    start_stream (engine, req, request, attempt);
  json_object_put (request);
}

void
engine_stream_cancel (Engine *engine, struct evhttp_request *req, const char *attempt)
{
  Stream *stream = g_hash_table_lookup (engine->streams, attempt);
  if (stream == NULL)
    {
      standin_reply (req, 404, NULL, "");
      return;
    }
  engine->stats.cancelled += 1;
  if (engine->faults.ignore_cancel != 1)
    close_stream (stream, "");
  standin_reply (req, 204, NULL, "");
}
