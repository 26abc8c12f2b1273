/* Answers of a stand-in engine: server-sent events, one a token, and the ways to spoil them. */
#include "common/log.h"
#include "common/prefix.h"
#include "standins/echo.h"
#include "standins/engine.h"

#include <string.h>
#include <unistd.h>

#define BLOCKS_MAX 65536
#define DIED_STATUS 9
/* Share of a too short Content-Length, and what is missing from a too long one. */
#define SHORT_LENGTH_DIVISOR 2
#define LONG_LENGTH_EXTRA 100

typedef struct Stream
{
  Engine *engine;
  struct evhttp_request *req;
  char *attempt; /* as the caller sent it */
  char *message; /* last user message */
  EngineRun run;
  guint64 *blocks;
  gboolean faulty;   /* sees the fault switches */
  gboolean silent;   /* nothing more is sent */
  GString *withheld; /* the answer so far where it is sent at the end, else NULL */
} Stream;

static void
stream_free (Stream *stream)
{
  g_hash_table_remove (stream->engine->streams, stream->attempt);
  engine_model_remove (stream->engine->model, &stream->run);
  if (stream->withheld != NULL)
    g_string_free (stream->withheld, TRUE);
  g_free (stream->attempt);
  g_free (stream->message);
  g_free (stream->blocks);
  g_free (stream);
}

static gboolean
fault_is (const Stream *stream, const char *value, const char *wanted)
{
  return stream->faulty && value != NULL && strcmp (value, wanted) == 0;
}

static gboolean
fault_at (const Stream *stream, gint64 value, guint index)
{
  return stream->faulty && value != FAULT_OFF && value == (gint64)index;
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
                            stream->run.prompt_tokens, stream->run.tokens_to,
                            stream->run.cached_tokens);
  g_string_append (out, "}\n\n");
}

static void
send_text (Stream *stream, const GString *text)
{
  if (stream->withheld != NULL)
    {
      g_string_append_len (stream->withheld, text->str, (gssize)text->len);
      return;
    }
  struct evbuffer *chunk = evbuffer_new ();
  evbuffer_add (chunk, text->str, text->len);
  evhttp_send_reply_chunk (stream->req, chunk);
  evbuffer_free (chunk);
}

/* Closes the connection after `text`, framed as the caller of this function likes. */
static void
cut_stream (Stream *stream, const char *text)
{
  dp_log (DP_LOG_INFO, "answer_cut", "attempt", stream->attempt, NULL);
  standin_cut (stream->req, text, strlen (text));
  stream_free (stream);
}

/* The answer as raw bytes with a wrong or missing length, then a close. */
static void
send_misframed (Stream *stream)
{
  gsize length = stream->withheld->len;
  const char *framing = stream->engine->faults.framing;
  if (fault_is (stream, framing, "short_length"))
    length /= SHORT_LENGTH_DIVISOR;
  else
    length += LONG_LENGTH_EXTRA;
  GString *raw = g_string_new ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
  g_string_append_printf (raw, "X-Attempt-Id: %s\r\n", stream->attempt);
  if (!fault_is (stream, framing, "close_delimited"))
    g_string_append_printf (raw, "Content-Length: %" G_GSIZE_FORMAT "\r\n", length);
  g_string_append_printf (raw, "Connection: close\r\n\r\n%s", stream->withheld->str);
  cut_stream (stream, raw->str);
  g_string_free (raw, TRUE);
}

static void
finish_stream (Stream *stream)
{
  EngineFaults *faults = &stream->engine->faults;
  if (fault_is (stream, faults->cut, "before_end"))
    {
      cut_stream (stream, "");
      return;
    }
  GString *text = g_string_new (NULL);
  append_event (text, stream, stream->run.tokens_to, NULL, TRUE);
  if (!fault_is (stream, faults->cut, "no_done"))
    g_string_append (text, "data: [DONE]\n\n");
  send_text (stream, text);
  g_string_free (text, TRUE);
  if (stream->withheld != NULL)
    {
      send_misframed (stream);
      return;
    }
  if (fault_is (stream, faults->cut, "no_last_chunk"))
    {
      cut_stream (stream, "");
      return;
    }
  stream->engine->stats.finished += 1;
  standin_unwatch (stream->req);
  evhttp_send_reply_end (stream->req);
  stream_free (stream);
}

typedef enum TokenFate
{
  TOKEN_SENT,
  TOKEN_SWALLOWED, /* the stream has gone silent */
  TOKEN_CUT,       /* the stream is gone */
} TokenFate;

/* Carries out the faults that come before a token. */
static TokenFate
pass_faults (Stream *stream, guint index)
{
  EngineFaults *faults = &stream->engine->faults;
  if (fault_at (stream, faults->die_at_token, index))
    {
      dp_log (DP_LOG_NOTICE, "died_as_told", "attempt", stream->attempt, NULL);
      _exit (DIED_STATUS);
    }
  if (fault_at (stream, faults->silent_at_token, index))
    stream->silent = TRUE;
  if (stream->silent)
    return TOKEN_SWALLOWED;
  guint cut_at = faults->cut_at_token != FAULT_OFF ? (guint)faults->cut_at_token : 1;
  if (fault_is (stream, faults->cut, "mid_chunk") && index >= cut_at)
    {
      cut_stream (stream, "5f\r\nid: 999\ndata: {\"id\":\"chat");
      return TOKEN_CUT;
    }
  return TOKEN_SENT;
}

gboolean
engine_stream_token (EngineRun *run, guint index)
{
  Stream *stream = run->owner;
  gboolean last = index + 1 >= run->tokens_to;
  TokenFate fate = pass_faults (stream, index);
  if (fate != TOKEN_SENT)
    return fate == TOKEN_SWALLOWED;
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
on_peer_gone (struct evhttp_connection *connection, void *data)
{
  Stream *stream = data;
  stream->engine->stats.closed_by_peer += 1;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_forget (stream->req);
  stream_free (stream);
}

static guint
header_number (struct evhttp_request *req, const char *name)
{
  const char *text = standin_header (req, name);
  guint64 number = 0;
  if (text != NULL)
    g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &number, NULL);
  return (guint)number;
}

/* The text so far has to be the beginning of this request's own answer. */
static gboolean
resume_text_matches (struct json_object *request, const char *message, guint tokens)
{
  struct json_object *value;
  if (!json_object_object_get_ex (request, "resume_text", &value))
    return FALSE;
  GString *expected = g_string_new (NULL);
  echo_append (expected, message, 0, tokens);
  gboolean same = strcmp (expected->str, json_object_get_string (value)) == 0;
  g_string_free (expected, TRUE);
  return same;
}

static void
fill_run (Stream *stream, struct json_object *request)
{
  GString *prompt = echo_prompt_text (request);
  guint blocks_max = (guint)MIN (prompt->len / DP_PREFIX_BLOCK_BYTES + 1, BLOCKS_MAX);
  stream->blocks = g_new (guint64, blocks_max);
  stream->run.blocks = stream->blocks;
  stream->run.block_count
    = dp_prefix_blocks (prompt->str, prompt->len, stream->blocks, blocks_max);
  stream->run.prompt_tokens = dp_prefix_tokens (prompt->len);
  stream->run.tokens_to = echo_token_count (request, stream->message);
  stream->run.owner = stream;
  g_string_free (prompt, TRUE);
}

static void
send_head (Stream *stream)
{
  EngineFaults *faults = &stream->engine->faults;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (stream->req);
  gboolean crossed = stream->faulty && faults->crossed == 1;
  const char *attempt = crossed ? "00000000000000000000000000c0ffee" : stream->attempt;
  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "X-Attempt-Id", attempt);
  if (stream->withheld == NULL)
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
  stream->run.tokens_from = header_number (req, "X-Resume-Tokens");
  stream->faulty = fault_take (&engine->fault_table);
  if (stream->faulty && engine->faults.framing != NULL)
    stream->withheld = g_string_new (NULL);
  fill_run (stream, request);
  engine->stats.resumed += stream->run.tokens_from > 0;
  g_hash_table_replace (engine->streams, stream->attempt, stream);
  standin_watch_close (req, on_peer_gone, stream);
  if (fault_is (stream, engine->faults.cut, "headers"))
    {
      cut_stream (stream, "HTTP/1.1 200 OK\r\nContent-Type: text/ev");
      return;
    }
  send_head (stream);
  if (stream->run.tokens_from >= stream->run.tokens_to)
    {
      finish_stream (stream);
      return;
    }
  const struct timeval period = { 0, ENGINE_TICK_USEC };
  event_add (engine->tick, &period);
  engine_model_add (engine->model, &stream->run, engine_now ());
}

/* Why the request can't be served: an HTTP status, or 0. */
static int
refuse_request (Engine *engine,
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
  return engine->faults.error_status != FAULT_OFF && fault_take (&engine->fault_table)
           ? (int)engine->faults.error_status
           : 0;
}

void
engine_stream_begin (Engine *engine, struct evhttp_request *req)
{
  static guint64 unnamed = 0;
  char fallback[DP_ID_STRING_SIZE];
  dp_id_format ((DpId){ 0, ++unnamed }, fallback);
  const char *attempt = standin_header (req, "X-Attempt-Id");
  if (attempt == NULL)
    attempt = fallback;
  char *body = standin_body (req, NULL);
  if (engine->faults.poison != NULL && strstr (body, engine->faults.poison) != NULL)
    {
      dp_log (DP_LOG_NOTICE, "died_of_poison", "attempt", attempt, NULL);
      _exit (DIED_STATUS);
    }
  engine->stats.requests += 1;
  struct json_object *request = json_tokener_parse (body);
  g_free (body);
  int status = refuse_request (engine, req, request, attempt);
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
    cut_stream (stream, "");
  standin_reply (req, 204, NULL, "");
}
