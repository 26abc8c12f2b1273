/* One attempt: sends a request to a target and forwards the response to the caller. */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* A gateway gives up after DP_CONNECT_TIMEOUT, too, and answers. */
#define GATEWAY_CONNECT_TIMEOUT (2 * DP_CONNECT_TIMEOUT)
/* A repeatable stream is stalled after this multiple of the route's pause objective without a
 * complete event; partial events don't count. */
#define STALL_FACTOR 3
#define STALL_TIMEOUT_MIN (500 * DP_USEC_PER_MSEC)
#define EVENT_BYTES_MAX ((gsize)256 * 1024)
#define BODY_BYTES_MAX ((gsize)8 * 1024 * 1024)

static gboolean
is_stream_response (const DpNodeRequest *request)
{
  return request->route->kind == DP_ROUTE_STREAM && request->answer.status == 200;
}

/* TRUE for statuses that tell the caller that the request was not run. They are never forwarded
 * from a target: only a VM can guarantee it. */
static gboolean
is_not_run_status (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
record_first_byte (DpNodeRequest *request)
{
  if (request->first_byte_after > 0)
    return;
  request->first_byte_after = MAX (dp_node_now () - request->sent_at, 1);
  dp_placement_report_started (request);
}

/* Applies the load state that the target reports in its response headers. */
static void
apply_target_state (const DpNodeRequest *request)
{
  DpNode *node = request->node;
  /* The address now belongs to another target, whose state this is. */
  if (request->answer.is_other_target)
    return;
  if (request->answer.is_leaving)
    dp_placement_target_leaving (node, request->target);
  dp_target_limits_on_response (request);
  if (request->answer.pause == 0)
    return;
  dp_paths_target_paused (request);
}

static void
on_head (gpointer user, DpHttpCall *call, int status)
{
  DpNodeRequest *request = user;
  request->headers = dp_wire_response_headers (call);
  dp_wire_read_response (call, status, request->id, &request->answer);
  dp_paths_succeeded (request);
  apply_target_state (request);
}

static void
add_headers (DpNodeRequest *request)
{
  for (guint i = 0; i < request->headers->len; i++)
    {
      const DpHttpHeader *header = &g_array_index (request->headers, DpHttpHeader, i);
      dp_http_exchange_add_header (request->exchange, header->name, header->value);
    }
}

static void
forward_head (DpNodeRequest *request)
{
  request->head_sent = TRUE;
  add_headers (request);
  dp_http_exchange_start (request->exchange, request->answer.status);
}

static void
begin_stream (DpNodeRequest *request)
{
  request->binding = dp_version_binding_begun_at (request->target_version);
  if (request->route->resumable && request->binding.type == DP_VERSION_BINDING_ONLY)
    dp_take_ups_record (request);
  forward_head (request);
}

static void
log_invalid_event (const DpNodeRequest *request, const char *problem)
{
  dp_counters_add (request->node->counters, "dogwoodplank_invalid_events_total", "problem",
                   problem, 1);
  dp_log (DP_LOG_WARNING, "stream_event_invalid", "request", request->id, "target",
          request->target_text, "problem", problem, "after", request->last_event_id, NULL);
}

/* Sets `id` to the id of the last event that the caller has. FALSE if there is none. */
static gboolean
find_last_event (const DpNodeRequest *request, guint64 *id)
{
  const char *text = request->last_event_id;
  if (text == NULL && request->route->resumable)
    text = request->caller.resume_after;
  return text != NULL && g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, id, NULL);
}

/* Returns what is wrong with the event, or NULL. Ids are increasing. Whether they are
 * consecutive can only be seen from the events before. */
static const char *
find_event_problem (DpNodeRequest *request, const char *event, gsize length, guint64 *id)
{
  guint64 last;
  if (!dp_sse_read_id (event, length, id))
    return "not_an_event";
  if (!find_last_event (request, &last))
    return NULL;
  if (*id <= last)
    return "repeated";
  gboolean is_gap = *id != last + 1 && request->event_count > 0;
  gboolean is_first = request->last_event_at == 0;
  if (is_gap && is_first && request->event_count > 1 && !request->has_gaps)
    return "gap";
  request->has_gaps = request->has_gaps || is_gap;
  return NULL;
}

/* Only complete events are forwarded, so that another target can resume after any of them. */
static gboolean
on_event (gpointer user, const char *event, gsize length)
{
  DpNodeRequest *request = user;
  guint64 id;
  if (request->exchange == NULL)
    return FALSE;
  const char *problem = find_event_problem (request, event, length, &id);
  if (problem != NULL)
    {
      log_invalid_event (request, problem);
      return FALSE;
    }
  record_first_byte (request);
  request->last_event_at = dp_node_now ();
  g_free (request->last_event_id);
  request->last_event_id = g_strdup_printf ("%" G_GUINT64_FORMAT, id);
  request->event_count++;
  if (!request->head_sent)
    begin_stream (request);
  dp_http_exchange_write (request->exchange, event, length);
  return TRUE;
}

static void
on_data (gpointer user, const void *data, gsize length)
{
  DpNodeRequest *request = user;
  if (!request->answer.is_authentic || request->answer.is_declined)
    return;
  if (!is_stream_response (request))
    {
      record_first_byte (request);
      g_byte_array_append (request->body, data, (guint)length);
      dp_http_call_set_held (request->call, request->body->len);
      return;
    }
  if (!dp_sse_push (request->sse, data, length, on_event, request))
    {
      dp_request_on_attempt_failed (request, DP_ATTEMPT_BROKE, DP_REASON_TARGET_ERROR);
      return;
    }
  gsize unsent = request->exchange != NULL ? dp_http_exchange_unsent (request->exchange) : 0;
  dp_http_call_set_held (request->call, dp_sse_length (request->sse) + unsent);
}

/* --- end of the response --- */

static void
forward_buffered_response (DpNodeRequest *request)
{
  DpHttpExchange *exchange = request->exchange;
  dp_http_exchange_set_close_callback (exchange, NULL, NULL, NULL);
  add_headers (request);
  dp_http_exchange_reply (exchange, request->answer.status, request->body->data,
                          request->body->len);
}

void
dp_attempt_forward_response (DpNodeRequest *request)
{
  forward_buffered_response (request);
  gboolean is_failure = request->answer.status >= 500;
  dp_request_complete (request, is_failure ? DP_REASON_TARGET_ERROR : DP_REASON_NONE);
}

/* TRUE if a response without events is what is left of the stream: its last event has reached
 * the caller before, and its end hasn't. */
static gboolean
may_be_without_events (const DpNodeRequest *request)
{
  guint64 last;
  return find_last_event (request, &last) && request->answer.is_event_stream;
}

static void
finish_stream (DpNodeRequest *request, DpHttpCallResult end)
{
  gboolean has_events = request->last_event_at != 0;
  if (!dp_sse_is_empty (request->sse) || (!has_events && end == DP_HTTP_CLOSE_DELIMITED))
    {
      dp_request_on_attempt_failed (request, DP_ATTEMPT_BROKE, DP_REASON_ANSWER_INCOMPLETE);
      return;
    }
  if (!has_events && !may_be_without_events (request))
    {
      log_invalid_event (request, "no_event");
      dp_request_on_attempt_failed (request, DP_ATTEMPT_BROKE, DP_REASON_TARGET_ERROR);
      return;
    }
  if (!request->head_sent)
    forward_head (request);
  dp_http_exchange_set_close_callback (request->exchange, NULL, NULL, NULL);
  dp_http_exchange_finish (request->exchange);
  dp_request_complete (request, DP_REASON_NONE);
}

static DpReason
reason_of_end (DpHttpCallResult end)
{
  switch (end)
    {
    case DP_HTTP_TIMED_OUT:
      return DP_REASON_TARGET_SILENT;
    case DP_HTTP_CLOSE_DELIMITED:
    case DP_HTTP_COMPLETE:
      return DP_REASON_ANSWER_INCOMPLETE;
    default:
      return DP_REASON_TARGET_BROKE;
    }
}

/* Handles a response whose head was received and whose body has ended. */
static void
on_response_end (DpNodeRequest *request, DpHttpCallResult end)
{
  const DpTargetResponse *answer = &request->answer;
  gboolean is_stream = is_stream_response (request);
  /* Not a response to this request, or one that can't be forwarded, such as an error after the
   * stream has started. */
  gboolean is_unusable = !answer->is_authentic || is_not_run_status (answer->status)
                         || (request->head_sent && !is_stream);
  if (answer->is_declined)
    dp_request_on_attempt_failed (request, DP_ATTEMPT_DECLINED,
                                  answer->is_other_target ? DP_REASON_CONNECT_FAILED
                                                          : DP_REASON_NO_TARGET);
  else if (is_unusable)
    dp_request_on_attempt_failed (request, DP_ATTEMPT_BROKE, DP_REASON_TARGET_ERROR);
  else if (is_stream)
    finish_stream (request, end);
  else if (answer->status >= 500)
    dp_request_on_attempt_failed (request, DP_ATTEMPT_ERROR, DP_REASON_TARGET_ERROR);
  else
    dp_attempt_forward_response (request);
}

static void start_call (DpNodeRequest *request);

static DpPathFailure
path_failure (DpHttpCallResult end)
{
  switch (end)
    {
    case DP_HTTP_GATEWAY_FAILED:
      return DP_PATH_GATEWAY_FAILED;
    case DP_HTTP_GATEWAY_REFUSED:
      return DP_PATH_GATEWAY_REFUSED;
    default:
      return DP_PATH_UNREACHED;
    }
}

/* No byte of the request was sent on the current path. */
static void
on_path_failed (DpNodeRequest *request, DpHttpCallResult end)
{
  request->call = NULL;
  if (dp_paths_next (request, path_failure (end)))
    start_call (request);
  else
    dp_request_on_attempt_failed (request, DP_ATTEMPT_UNSENT,
                                  request->paths.is_target_unreached ? DP_REASON_CONNECT_FAILED
                                                                     : DP_REASON_NO_PATH);
}

static void
log_oversized (const DpNodeRequest *request)
{
  char held[24];
  g_snprintf (held, sizeof held, "%zu", dp_byte_budget_total (request->node->response_budget));
  dp_counters_add (request->node->counters, "dogwoodplank_oversized_responses_total", NULL,
                   NULL, 1);
  dp_log (DP_LOG_WARNING, "response_too_large", "request", request->id, "target",
          request->target_text, "held_by_others", held, NULL);
}

static void
on_end (gpointer user, DpHttpCallResult end, gboolean nothing_sent)
{
  DpNodeRequest *request = user;
  if (dp_http_call_is_oversized (request->call))
    log_oversized (request);
  if (request->headers != NULL && (end == DP_HTTP_COMPLETE || end == DP_HTTP_CLOSE_DELIMITED))
    on_response_end (request, end);
  else if (nothing_sent)
    on_path_failed (request, end);
  else
    dp_request_on_attempt_failed (request, DP_ATTEMPT_BROKE, reason_of_end (end));
}

static const DpHttpCallbacks callbacks = { .head = on_head, .data = on_data, .end = on_end };

/* --- start --- */

static GArray *
make_headers (const DpNodeRequest *request)
{
  const DpTargetRequest call = {
    .time_left = request->deadline - dp_node_now (),
    .target_id = request->target_text,
    .workspace = request->workspace != NULL ? request->workspace->text : NULL,
    .resume_after
    = request->last_event_id != NULL ? request->last_event_id : request->caller.resume_after,
  };
  return dp_wire_request_headers (request->exchange, &call);
}

static void
reset_response (DpNodeRequest *request)
{
  request->answer = (DpTargetResponse){ 0 };
  request->last_event_at = 0;
  request->body = g_byte_array_new ();
  request->sse = dp_sse_new (EVENT_BYTES_MAX);
}

/* Sends the request on the current path. */
static void
start_call (DpNodeRequest *request)
{
  const DpVm *gateway = dp_paths_gateway (request);
  DpUsec now = dp_node_now ();
  DpUsec time_left = request->deadline - now;
  GArray *headers = make_headers (request);
  gsize length;
  const char *body = dp_http_exchange_body (request->exchange, &length);
  const DpHttpCallOptions options = {
    .base = request->node->base,
    .address = request->target_address,
    .port = request->target_port,
    .gateway_address = gateway != NULL ? gateway->address : NULL,
    .gateway_port = request->node->params.tunnel_port,
    .target_id = request->target_text,
    .method = dp_http_exchange_command (request->exchange),
    .path = dp_http_exchange_target (request->exchange),
    .host = request->caller.host,
    .headers = (const DpHttpHeader *)headers->data,
    .header_count = headers->len,
    .body = body,
    .body_length = length,
    .connect_timeout = gateway != NULL ? GATEWAY_CONNECT_TIMEOUT : DP_CONNECT_TIMEOUT,
    /* The dispatcher detects a target that sends no first byte, see
     * dp_request_on_revoked(). */
    .first_byte_timeout = time_left + DP_USEC_PER_SEC,
    /* dp_attempt_is_stalled() measures the time between complete events instead. */
    .idle_timeout = time_left + DP_USEC_PER_SEC,
    .response_body_max = BODY_BYTES_MAX,
    .budget = request->node->response_budget,
    .callbacks = &callbacks,
    .user = request,
  };
  request->sent_at = now;
  request->call = dp_http_call_start (&options);
  g_array_unref (headers);
}

void
dp_attempt_start (DpNodeRequest *request, const DpDirectoryRow *target)
{
  reset_response (request);
  g_strlcpy (request->target_address, target->record.address, sizeof request->target_address);
  request->target_port = (guint16)target->record.port_number;
  dp_paths_begin (request, target);
  if (request->paths.path.kind != DP_PATH_NONE)
    start_call (request);
  else
    dp_request_on_attempt_failed (request, DP_ATTEMPT_NO_PATH, DP_REASON_NO_PATH);
}

gboolean
dp_attempt_has_sent (const DpNodeRequest *request)
{
  return request->call != NULL && dp_http_call_has_sent (request->call);
}

gboolean
dp_attempt_is_stalled (const DpNodeRequest *request, DpUsec now)
{
  if (request->stage != DP_STAGE_SENT || request->last_event_at == 0
      || request->route->kind != DP_ROUTE_STREAM || !request->is_repeatable)
    return FALSE;
  return now - request->last_event_at
         > MAX (request->route->pause_objective * STALL_FACTOR, STALL_TIMEOUT_MIN);
}

void
dp_attempt_cancel (DpNodeRequest *request)
{
  if (request->call != NULL)
    dp_http_call_cancel (request->call);
  request->call = NULL;
  g_clear_pointer (&request->headers, g_array_unref);
  g_clear_pointer (&request->sse, dp_sse_free);
  g_clear_pointer (&request->body, g_byte_array_unref);
}
