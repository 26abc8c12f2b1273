#include "entry/caller.h"

#include "common/log.h"

#include <string.h>

#define OK_STATUS 200
#define PROBLEM_TYPE_PREFIX "urn:dogwoodplank:problem:"

DpEntryCaller *
dp_entry_caller_new (DpCaller number, DpHttpExchange *exchange, DpUsec now)
{
  DpEntryCaller *caller = g_new0 (DpEntryCaller, 1);
  caller->number = number;
  caller->exchange = exchange;
  caller->request = dp_entry_request_new (exchange);
  caller->arrived_at = now;
  if (caller->request->kind == DP_REQUEST_CHAT)
    caller->generated_text = g_string_new (NULL);
  return caller;
}

void
dp_entry_caller_free (DpEntryCaller *caller)
{
  dp_entry_request_free (caller->request);
  if (caller->generated_text != NULL)
    g_string_free (caller->generated_text, TRUE);
  g_clear_pointer (&caller->buffered_body, g_byte_array_unref);
  g_free (caller->finish_reason);
  g_free (caller);
}

static void
add_header (DpEntryCaller *caller, const char *name, const char *value)
{
  if (value != NULL && value[0] != '\0')
    dp_http_exchange_add_header (caller->exchange, name, value);
}

static void
add_common_headers (DpEntryCaller *caller, const char *content_type)
{
  add_header (caller, "X-Request-Id", caller->request->id);
  add_header (caller, "Content-Type", content_type);
}

static void
send_reply (DpEntryCaller *caller, int status, const void *body, gsize length)
{
  caller->status = status;
  dp_http_exchange_reply (caller->exchange, status, body, length);
  caller->exchange = NULL;
}

/* TRUE if the answer is one JSON object assembled from the events of an engine's stream. */
static gboolean
is_assembled_from_events (const DpEntryCaller *caller)
{
  return caller->generated_text != NULL && !caller->stream && caller->status == OK_STATUS;
}

void
dp_entry_caller_start_answer (DpEntryCaller *caller, const DpHead *head)
{
  if (caller->head_sent)
    return;
  caller->status = head->status;
  caller->stream = head->stream;
  g_strlcpy (caller->content_type, head->content_type, sizeof caller->content_type);
  if (!head->stream)
    {
      g_clear_pointer (&caller->buffered_body, g_byte_array_unref);
      caller->buffered_body = g_byte_array_new ();
      return;
    }
  add_common_headers (caller, head->content_type);
  add_header (caller, "Cache-Control", "no-cache");
  dp_http_exchange_start (caller->exchange, head->status);
  caller->head_sent = TRUE;
}

static void
apply_chat_event (DpEntryCaller *caller, const DpChatEvent *event)
{
  if (event->content != NULL)
    g_string_append (caller->generated_text, event->content);
  if (event->finish_reason != NULL)
    {
      g_free (caller->finish_reason);
      caller->finish_reason = g_strdup (event->finish_reason);
    }
  if (event->has_usage)
    caller->usage = event->usage;
}

gboolean
dp_entry_caller_forward (
  DpEntryCaller *caller, const void *data, gsize length, const DpChatEvent *event, DpUsec now)
{
  if (caller->first_byte_latency == 0)
    caller->first_byte_latency = MAX (now - caller->arrived_at, 1);
  if (event != NULL && caller->generated_text != NULL)
    apply_chat_event (caller, event);
  if (caller->stream)
    dp_http_exchange_write (caller->exchange, data, length);
  else if (!is_assembled_from_events (caller) && caller->buffered_body != NULL)
    g_byte_array_append (caller->buffered_body, data, (guint)length);
  gsize buffered = caller->buffered_body != NULL ? caller->buffered_body->len : 0;
  if (caller->generated_text != NULL)
    buffered += caller->generated_text->len;
  return buffered <= DP_BUFFERED_ANSWER_MAX;
}

static void
send_completion (DpEntryCaller *caller, DpUsec wall)
{
  const DpEntryRequest *request = caller->request;
  const DpChatCompletion completion
    = { .id = request->id,
        .model = request->chat != NULL ? request->chat->model : NULL,
        .content = caller->generated_text->str,
        .finish_reason = caller->finish_reason,
        .usage = caller->usage,
        .created = wall };
  char *body = dp_chat_completion_format (&completion);
  add_common_headers (caller, "application/json");
  send_reply (caller, OK_STATUS, body, strlen (body));
  g_free (body);
}

void
dp_entry_caller_end (DpEntryCaller *caller, DpUsec wall)
{
  if (caller->stream)
    {
      dp_http_exchange_finish (caller->exchange);
      caller->exchange = NULL;
    }
  else if (is_assembled_from_events (caller))
    send_completion (caller, wall);
  else
    {
      add_common_headers (caller, caller->content_type);
      const GByteArray *body = caller->buffered_body;
      send_reply (caller, caller->status, body != NULL ? body->data : NULL,
                  body != NULL ? body->len : 0);
    }
}

/* The reason's name with spaces instead of underscores. Free with g_free(). */
static char *
make_title (DpReason reason)
{
  return g_strdelimit (g_strdup (dp_reason_name (reason)), "_", ' ');
}

static char *
format_problem (const DpEntryCaller *caller, const DpProblem *problem, guint64 retry_seconds)
{
  struct json_object *root = json_object_new_object ();
  char *type = g_strconcat (PROBLEM_TYPE_PREFIX, dp_reason_name (problem->reason), NULL);
  char *title = make_title (problem->reason);
  json_object_object_add (root, "type", json_object_new_string (type));
  json_object_object_add (root, "title", json_object_new_string (title));
  json_object_object_add (root, "status", json_object_new_int (problem->status));
  json_object_object_add (root, "reason",
                          json_object_new_string (dp_reason_name (problem->reason)));
  json_object_object_add (root, "outcome",
                          json_object_new_string (dp_outcome_name (problem->outcome)));
  json_object_object_add (root, "sent", json_object_new_boolean (problem->sent));
  json_object_object_add (root, "request_id", json_object_new_string (caller->request->id));
  if (problem->detail != NULL)
    json_object_object_add (root, "detail", json_object_new_string (problem->detail));
  if (retry_seconds > 0)
    json_object_object_add (root, "retry_after", json_object_new_uint64 (retry_seconds));
  char *text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  g_free (title);
  g_free (type);
  return text;
}

void
dp_entry_caller_send_problem (DpEntryCaller *caller, const DpProblem *problem)
{
  if (caller->head_sent)
    {
      dp_entry_caller_abort (caller);
      return;
    }
  guint64 seconds = 0;
  if (problem->retry_after > 0)
    seconds = (guint64)((problem->retry_after + DP_USEC_PER_SEC - 1) / DP_USEC_PER_SEC);
  if (seconds > 0)
    {
      char text[24];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, seconds);
      add_header (caller, "Retry-After", text);
    }
  char *body = format_problem (caller, problem, seconds);
  add_common_headers (caller, "application/problem+json");
  send_reply (caller, problem->status, body, strlen (body));
  g_free (body);
}

void
dp_entry_caller_send_replay (DpEntryCaller *caller, const DpReplay *replay)
{
  gsize length = 0;
  const void *body = replay->body != NULL ? g_bytes_get_data (replay->body, &length) : NULL;
  add_common_headers (caller, replay->content_type);
  add_header (caller, "X-Outcome", "done");
  add_header (caller, "X-Recorded-Body", replay->body != NULL ? "whole" : "not kept");
  send_reply (caller, replay->status, body, length);
}

void
dp_entry_caller_abort (DpEntryCaller *caller)
{
  dp_http_exchange_abort (caller->exchange);
  caller->exchange = NULL;
}

/* --- log --- */

/* Looks up the workspace and tier of the request's access key. Leaves the outputs unchanged if
 * the key is unknown. */
static void
find_workspace_and_tier (const DpEntryCaller *caller,
                         const DpManifest *manifest,
                         const char **workspace,
                         const char **tier)
{
  const char *key = caller->request->key_sha256;
  int index = manifest != NULL && key != NULL ? dp_manifest_find_key (manifest, key) : -1;
  if (index < 0)
    return;
  const DpAccessKey *access = DP_MANIFEST_ROW (manifest, keys, DpAccessKey, index);
  *workspace = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, access->workspace)->text;
  *tier = DP_MANIFEST_ROW (manifest, tiers, DpTier, access->tier)->text;
}

void
dp_entry_caller_log (const DpEntryCaller *caller,
                     const DpManifest *manifest,
                     const char *end,
                     const char *reason,
                     DpUsec now)
{
  const char *workspace = NULL;
  const char *tier = NULL;
  find_workspace_and_tier (caller, manifest, &workspace, &tier);
  char status[16];
  char total[24];
  char first_byte[24];
  g_snprintf (status, sizeof status, "%d", caller->status);
  g_snprintf (total, sizeof total, "%.1f",
              (double)(now - caller->arrived_at) / DP_USEC_PER_MSEC);
  g_snprintf (first_byte, sizeof first_byte, "%.1f",
              (double)caller->first_byte_latency / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_INFO, "request_end", "request", caller->request->id, "end", end, "reason",
          reason, "status", status, "method", caller->request->method, "path",
          caller->request->path, "workspace", workspace, "tier", tier, "first_byte_ms",
          caller->first_byte_latency > 0 ? first_byte : NULL, "total_ms", total, NULL);
}
