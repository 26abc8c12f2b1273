#include "entry/attempt.h"

#include "common/log.h"
#include "net/http_call.h"
#include "net/sse.h"

#include <string.h>

#define EVENT_BYTES_MAX ((gsize)256 * 1024)
#define HEADERS_MAX 8
#define OK_STATUS 200
#define EVENT_STREAM_TYPE "text/event-stream"

struct DpAttempts
{
  DpAttemptsOptions options;
  GHashTable *by_id; /* DpId -> Attempt */
};

typedef struct Attempt
{
  /* set on creation */
  DpAttempts *attempts;
  DpId id;
  char id_text[DP_ID_STRING_SIZE];
  DpPoolKind kind;
  /* the answer */
  DpHttpCall *call; /* NULL after the call has ended */
  DpSse *sse;       /* parser of an engine's stream; NULL: body bytes are forwarded unparsed */
  DpChatUsage usage;
  guint tokens;
  /* an attempt removed during a callback is freed when the callback returns */
  gboolean in_callback;
  gboolean removed;
} Attempt;

static guint
hash_id (gconstpointer key)
{
  const DpId *id = key;
  return (guint)(id->high ^ id->low);
}

static gboolean
are_ids_equal (gconstpointer a, gconstpointer b)
{
  return dp_id_equal (*(const DpId *)a, *(const DpId *)b);
}

static void
free_attempt (Attempt *attempt)
{
  if (attempt->call != NULL)
    dp_http_call_cancel (attempt->call);
  dp_sse_free (attempt->sse);
  g_free (attempt);
}

/* Value destroy function of `by_id`. May run during one of the attempt's callbacks. */
static void
remove_attempt (gpointer data)
{
  Attempt *attempt = data;
  attempt->removed = TRUE;
  if (!attempt->in_callback)
    free_attempt (attempt);
}

static void
report_event (Attempt *attempt, DpEntryEvent *event, const DpChatEvent *chat)
{
  attempt->attempts->options.handler (attempt->attempts->options.user, event, chat);
}

static void
increment_counter (DpAttempts *attempts, const char *name)
{
  dp_counters_add (attempts->options.counters, name, NULL, NULL, 1);
}

/* Removes the attempt from the set, then reports its failure to the core. */
static void
fail_attempt (Attempt *attempt, DpReason reason, gboolean nothing_sent)
{
  DpAttempts *attempts = attempt->attempts;
  DpEntryEvent event
    = { .type = DP_ENTRY_EVENT_TARGET_FAILED,
        .failed = { .attempt = attempt->id, .reason = reason, .nothing_sent = nothing_sent } };
  g_hash_table_remove (attempts->by_id, &event.failed.attempt);
  attempts->options.handler (attempts->options.user, &event, NULL);
}

/* Each callback of the call runs between begin_callback() and end_callback(), since the actions
 * that follow an event may remove the attempt. */
static void
begin_callback (Attempt *attempt)
{
  attempt->in_callback = TRUE;
}

static void
end_callback (Attempt *attempt)
{
  attempt->in_callback = FALSE;
  if (attempt->removed)
    free_attempt (attempt);
}

/* --- callbacks of the call --- */

/* Engines must echo the attempt's id. Services may omit it, but must not send another one. */
static gboolean
is_echoed_id_valid (const Attempt *attempt, const char *echoed)
{
  if (echoed == NULL)
    return attempt->kind == DP_POOL_SERVICE;
  return strcmp (echoed, attempt->id_text) == 0;
}

static void
handle_head (Attempt *attempt, DpHttpCall *call, int status)
{
  if (!is_echoed_id_valid (attempt, dp_http_call_header (call, "X-Attempt-Id")))
    {
      increment_counter (attempt->attempts, "dogwoodplank_crossed_replies_total");
      dp_log (DP_LOG_WARNING, "crossed_reply", "attempt", attempt->id_text, "echoed",
              dp_http_call_header (call, "X-Attempt-Id"), NULL);
      fail_attempt (attempt, DP_REASON_TARGET_ERROR, FALSE);
      return;
    }
  const char *type = dp_http_call_header (call, "Content-Type");
  if (attempt->kind == DP_POOL_ENGINES && status == OK_STATUS)
    {
      if (type == NULL || !g_str_has_prefix (type, EVENT_STREAM_TYPE))
        {
          fail_attempt (attempt, DP_REASON_TARGET_ERROR, FALSE);
          return;
        }
      attempt->sse = dp_sse_new (EVENT_BYTES_MAX);
    }
  DpEntryEvent event
    = { .type = DP_ENTRY_EVENT_TARGET_HEAD,
        .head = { .attempt = attempt->id, .status = status, .content_type = type } };
  report_event (attempt, &event, NULL);
}

static void
on_head (gpointer user, DpHttpCall *call, int status)
{
  Attempt *attempt = user;
  begin_callback (attempt);
  handle_head (attempt, call, status);
  end_callback (attempt);
}

static void
report_chunk (Attempt *attempt, const void *data, gsize length, const DpChatEvent *chat)
{
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_CHUNK,
                         .chunk = { .attempt = attempt->id,
                                    .data = data,
                                    .length = length,
                                    .tokens = chat != NULL ? chat->tokens : 0,
                                    .terminal = chat != NULL && chat->done } };
  report_event (attempt, &event, chat);
}

static gboolean
on_stream_event (gpointer user, const char *data, gsize length)
{
  Attempt *attempt = user;
  DpChatEvent chat;
  if (attempt->removed)
    return FALSE;
  if (!dp_chat_event_parse (data, length, &chat))
    {
      increment_counter (attempt->attempts, "dogwoodplank_malformed_events_total");
      fail_attempt (attempt, DP_REASON_TARGET_BROKE, FALSE);
      return FALSE;
    }
  if (chat.has_usage)
    attempt->usage = chat.usage;
  attempt->tokens += chat.tokens;
  report_chunk (attempt, data, length, &chat);
  dp_chat_event_clear (&chat);
  return TRUE;
}

static void
on_data (gpointer user, const void *data, gsize length)
{
  Attempt *attempt = user;
  begin_callback (attempt);
  if (attempt->sse == NULL)
    report_chunk (attempt, data, length, NULL);
  else if (!dp_sse_push (attempt->sse, data, length, on_stream_event, attempt)
           && !attempt->removed)
    {
      increment_counter (attempt->attempts, "dogwoodplank_malformed_events_total");
      fail_attempt (attempt, DP_REASON_TARGET_BROKE, FALSE);
    }
  end_callback (attempt);
}

static void
end_attempt (Attempt *attempt, gboolean framing_complete)
{
  DpAttempts *attempts = attempt->attempts;
  /* An incomplete last event means that the stream was truncated. */
  if (attempt->sse != NULL && !dp_sse_is_empty (attempt->sse))
    framing_complete = FALSE;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_END,
                         .end = { .attempt = attempt->id,
                                  .framing_complete = framing_complete,
                                  .prompt_tokens = attempt->usage.prompt_tokens,
                                  .cached_tokens = attempt->usage.cached_tokens,
                                  .output_tokens = attempt->tokens } };
  g_hash_table_remove (attempts->by_id, &event.end.attempt);
  attempts->options.handler (attempts->options.user, &event, NULL);
}

static void
on_end (gpointer user, DpHttpCallResult result, gboolean nothing_sent)
{
  Attempt *attempt = user;
  attempt->call = NULL;
  begin_callback (attempt);
  switch (result)
    {
    case DP_HTTP_COMPLETE:
      end_attempt (attempt, TRUE);
      break;
    case DP_HTTP_CLOSE_DELIMITED:
      end_attempt (attempt, FALSE);
      break;
    case DP_HTTP_CONNECT_FAILED:
    case DP_HTTP_GATEWAY_FAILED:
    case DP_HTTP_GATEWAY_REFUSED:
      fail_attempt (attempt, DP_REASON_CONNECT_FAILED, nothing_sent);
      break;
    case DP_HTTP_TIMED_OUT:
      fail_attempt (attempt, DP_REASON_TARGET_SILENT, nothing_sent);
      break;
    case DP_HTTP_FAILED:
      fail_attempt (attempt, DP_REASON_TARGET_BROKE, nothing_sent);
      break;
    }
  end_callback (attempt);
}

static const DpHttpCallbacks callbacks = { on_head, on_data, on_end };

/* --- starting --- */

typedef struct Headers
{
  DpHttpHeader rows[HEADERS_MAX];
  guint count;
} Headers;

static void
add_header (Headers *headers, const char *name, const char *value)
{
  if (value != NULL && headers->count < HEADERS_MAX)
    headers->rows[headers->count++] = (DpHttpHeader){ name, value };
}

static enum evhttp_cmd_type
parse_method (const char *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type type;
  } methods[] = {
    { "GET", EVHTTP_REQ_GET },       { "POST", EVHTTP_REQ_POST },
    { "HEAD", EVHTTP_REQ_HEAD },     { "PUT", EVHTTP_REQ_PUT },
    { "DELETE", EVHTTP_REQ_DELETE }, { "OPTIONS", EVHTTP_REQ_OPTIONS },
    { "PATCH", EVHTTP_REQ_PATCH },
  };
  for (guint i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i].name, method) == 0)
      return methods[i].type;
  return EVHTTP_REQ_POST;
}

static DpHttpCallOptions
make_options (const DpAttempts *attempts, const DpDispatch *dispatch, Attempt *attempt)
{
  /* Bytes after the deadline are useless. The extra second lets the core cancel first. */
  DpUsec timeout_max = dispatch->remaining + DP_USEC_PER_SEC;
  return (DpHttpCallOptions){ .base = attempts->options.base,
                              .address = dispatch->address,
                              .port = dispatch->port,
                              .connect_timeout = attempts->options.connect_timeout,
                              .first_byte_timeout
                              = MIN (attempts->options.first_byte_timeout, timeout_max),
                              .idle_timeout = MIN (attempts->options.idle_timeout, timeout_max),
                              .callbacks = &callbacks,
                              .user = attempt };
}

static DpHttpCall *
call_engine (Attempt *attempt,
             DpHttpCallOptions options,
             const DpDispatch *dispatch,
             const DpEntryCaller *caller)
{
  char sent_tokens_text[16];
  g_snprintf (sent_tokens_text, sizeof sent_tokens_text, "%u", dispatch->sent_tokens);
  gboolean is_resumed = dispatch->sent_tokens > 0;
  Headers headers = { .count = 0 };
  add_header (&headers, "Content-Type", "application/json");
  add_header (&headers, "Accept", EVENT_STREAM_TYPE);
  add_header (&headers, "X-Attempt-Id", attempt->id_text);
  add_header (&headers, "X-Request-Id", caller->request->id);
  add_header (&headers, "X-Resume-Tokens", is_resumed ? sent_tokens_text : NULL);
  char *body = dp_chat_request_format (caller->request->chat,
                                       is_resumed ? caller->generated_text->str : NULL);
  options.method = EVHTTP_REQ_POST;
  options.path = "/v1/chat/completions";
  options.headers = headers.rows;
  options.header_count = headers.count;
  options.body = body;
  options.body_length = strlen (body);
  DpHttpCall *call = dp_http_call_start (&options);
  g_free (body);
  return call;
}

static DpHttpCall *
call_service (Attempt *attempt, DpHttpCallOptions options, const DpEntryCaller *caller)
{
  const DpEntryRequest *request = caller->request;
  Headers headers = { .count = 0 };
  add_header (&headers, "Content-Type", request->content_type);
  add_header (&headers, "X-Attempt-Id", attempt->id_text);
  add_header (&headers, "X-Request-Id", request->id);
  add_header (&headers, "Idempotency-Key", request->idempotency_key);
  options.method = parse_method (request->method);
  options.path = dp_entry_request_service_target (request);
  options.headers = headers.rows;
  options.header_count = headers.count;
  options.body = g_bytes_get_data (request->body, &options.body_length);
  return dp_http_call_start (&options);
}

void
dp_attempts_start (DpAttempts *attempts, const DpDispatch *dispatch, DpEntryCaller *caller)
{
  Attempt *attempt = g_new0 (Attempt, 1);
  attempt->attempts = attempts;
  attempt->id = dispatch->attempt;
  attempt->kind = dispatch->kind;
  dp_id_format (attempt->id, attempt->id_text);
  DpHttpCallOptions options = make_options (attempts, dispatch, attempt);
  if (dispatch->kind == DP_POOL_ENGINES)
    attempt->call = call_engine (attempt, options, dispatch, caller);
  else
    attempt->call = call_service (attempt, options, caller);
  g_hash_table_replace (attempts->by_id, &attempt->id, attempt);
}

typedef struct UnsentAttempt
{
  DpAttempts *attempts;
  DpId attempt;
} UnsentAttempt;

static void
on_unsent (evutil_socket_t fd, short what, void *user)
{
  UnsentAttempt *unsent = user;
  DpAttempts *attempts = unsent->attempts;
  DpEntryEvent event
    = { .type = DP_ENTRY_EVENT_TARGET_FAILED,
        .failed = {
          .attempt = unsent->attempt, .reason = DP_REASON_CALLER_GONE, .nothing_sent = TRUE } };
  g_free (unsent);
  attempts->options.handler (attempts->options.user, &event, NULL);
}

void
dp_attempts_report_unsent (DpAttempts *attempts, DpId attempt)
{
  UnsentAttempt *unsent = g_new (UnsentAttempt, 1);
  *unsent = (UnsentAttempt){ attempts, attempt };
  event_base_once (attempts->options.base, -1, EV_TIMEOUT, on_unsent, unsent, NULL);
}

void
dp_attempts_cancel (DpAttempts *attempts, DpId attempt)
{
  g_hash_table_remove (attempts->by_id, &attempt);
}

DpAttempts *
dp_attempts_new (const DpAttemptsOptions *options)
{
  DpAttempts *attempts = g_new0 (DpAttempts, 1);
  attempts->options = *options;
  dp_counters_ref (options->counters);
  attempts->by_id = g_hash_table_new_full (hash_id, are_ids_equal, NULL, remove_attempt);
  return attempts;
}

void
dp_attempts_free (DpAttempts *attempts)
{
  if (attempts == NULL)
    return;
  g_hash_table_unref (attempts->by_id);
  dp_counters_unref (attempts->options.counters);
  g_free (attempts);
}

guint
dp_attempts_count (const DpAttempts *attempts)
{
  return g_hash_table_size (attempts->by_id);
}
