/* Attempts: each sends a request to one target, streams the answer and handles failures. */
#include "core/entry_private.h"

#include <string.h>

/* Larger bodies are not stored in the claim's record. */
#define RECORD_BODY_BYTES_MAX 4096
/* No further attempt is made if less time is left until the deadline. */
#define RETRY_REMAINING_MIN (50 * DP_USEC_PER_MSEC)

static gboolean
is_engine (const Request *request)
{
  return entry_pool (request)->kind == DP_POOL_ENGINES;
}

/* The request whose running attempt this is. NULL for replies that are late or duplicate or
 * belong to a replaced attempt. */
static Request *
find_running (DpEntryCore *core, DpId attempt)
{
  Request *request = entry_request_by_attempt (core, attempt);
  if (request != NULL && request->phase == PHASE_SENT)
    return request;
  entry_count (core, "dogwoodplank_late_replies_total", NULL, NULL);
  return NULL;
}

static void
reset_answer (Request *request)
{
  request->terminal = FALSE;
  request->time_to_first_token = 0;
  g_clear_pointer (&request->end_event, g_byte_array_unref);
  g_clear_pointer (&request->record, g_byte_array_unref);
  if (!request->repeatable)
    request->record = g_byte_array_new ();
}

void
entry_attempts_dispatch (DpEntryCore *core, Request *request, const DpTarget *target)
{
  if (core->now >= request->deadline)
    {
      entry_grants_withdraw (core, request, DP_REASON_DEADLINE_PASSED);
      entry_answer_problem (core, request, DP_REASON_DEADLINE_PASSED, 0, NULL);
      return;
    }
  if (!entry_claims_may_send (core, request))
    {
      entry_grants_withdraw (core, request, DP_REASON_OUTCOME_UNKNOWN);
      entry_answer_problem (core, request, DP_REASON_OUTCOME_UNKNOWN, 0, NULL);
      return;
    }
  reset_answer (request);
  request->phase = PHASE_SENT;
  request->target = target->name;
  request->dispatched_at = core->now;
  DpDispatch *dispatch = &entry_add_action (core, DP_ENTRY_ACTION_DISPATCH)->dispatch;
  dispatch->caller = request->caller;
  dispatch->attempt = request->attempt;
  dispatch->target = target->name;
  g_strlcpy (dispatch->address, target->address, sizeof dispatch->address);
  dispatch->port = target->port;
  dispatch->kind = entry_pool (request)->kind;
  dispatch->sent_tokens = request->grant_ask.sent_tokens;
  dispatch->remaining = request->deadline - core->now;
  entry_count (core, "dogwoodplank_dispatches_total", NULL, NULL);
}

static void
report_done (DpEntryCore *core, Request *request, DpReason reason, const DpTargetEnd *end)
{
  DpGrantDone done = {
    .reason = reason,
    .time_to_first_token = request->time_to_first_token,
    .duration = core->now - request->dispatched_at,
  };
  if (end != NULL)
    {
      done.prompt_tokens = end->prompt_tokens;
      done.cached_tokens = end->cached_tokens;
      done.output_tokens = end->output_tokens;
    }
  entry_grants_report_done (core, request, &done);
}

/* Counts the prompt tokens of an attempt that ends without a complete answer. */
static void
count_wasted_tokens (DpEntryCore *core, const Request *request)
{
  if (is_engine (request))
    dp_counters_add (core->options.counters, "dogwoodplank_wasted_prompt_tokens_total", NULL,
                     NULL, request->grant_ask.prompt_tokens);
}

void
entry_attempts_cancel (DpEntryCore *core, Request *request, DpReason reason)
{
  entry_add_action (core, DP_ENTRY_ACTION_CANCEL)->cancel = request->attempt;
  count_wasted_tokens (core, request);
  request->ever_sent = TRUE;
  report_done (core, request, reason, NULL);
}

static void
send_head (DpEntryCore *core, Request *request)
{
  request->head_sent = TRUE;
  if (request->caller_gone)
    return;
  DpHead *out = &entry_add_action (core, DP_ENTRY_ACTION_HEAD)->head;
  out->caller = request->caller;
  out->status = request->status;
  g_strlcpy (out->content_type, request->content_type, sizeof out->content_type);
  out->stream = request->stream && is_engine (request);
}

/* The head is sent with the first part of the body. Until then a failed attempt can still be
 * answered with an error status. */
static void
forward (DpEntryCore *core, Request *request, const void *data, gsize length)
{
  if (length == 0)
    return;
  if (!request->head_sent)
    send_head (core, request);
  if (request->caller_gone)
    return;
  DpForward *out = &entry_add_action (core, DP_ENTRY_ACTION_FORWARD)->forward;
  out->caller = request->caller;
  out->data = data;
  out->length = length;
}

/* TRUE if another attempt can continue the answer after what the caller has received. */
static gboolean
can_resume (const Request *request)
{
  /* Engines resume after the tokens already sent. The answer of a service is buffered until its
   * end, so it can start again. */
  return is_engine (request) || !request->stream || !request->head_sent;
}

/* The reason not to make another attempt; NONE: make one. */
static DpReason
find_retry_refusal (DpEntryCore *core, const Request *request, gboolean nothing_sent)
{
  if (!request->repeatable && !nothing_sent)
    return DP_REASON_OUTCOME_UNKNOWN;
  if (request->caller_gone)
    return DP_REASON_CALLER_GONE;
  if (entry_quarantine_blocks (core, request->body_hash))
    return DP_REASON_QUARANTINED;
  if (!can_resume (request))
    return DP_REASON_ANSWER_INCOMPLETE;
  if (request->deadline - core->now < RETRY_REMAINING_MIN)
    return DP_REASON_DEADLINE_PASSED;
  if (request->grant_ask.excluded_count >= DP_EXCLUDED_MAX)
    return DP_REASON_RETRY_BUDGET;
  if (!entry_budget_spend (core, request))
    return DP_REASON_RETRY_BUDGET;
  return DP_REASON_NONE;
}

static void
exclude_target (Request *request)
{
  if (request->grant_ask.excluded_count < DP_EXCLUDED_MAX)
    request->grant_ask.excluded[request->grant_ask.excluded_count++] = request->target;
}

/* Retries the request, or answers it, after an attempt without a complete answer. */
static void
retry_or_answer (DpEntryCore *core, Request *request, DpReason reason, gboolean nothing_sent)
{
  if (!nothing_sent)
    {
      request->ever_sent = TRUE;
      count_wasted_tokens (core, request);
    }
  report_done (core, request, reason, NULL);
  DpReason refusal = find_retry_refusal (core, request, nothing_sent);
  if (refusal != DP_REASON_NONE)
    {
      /* The cause of the failure is more useful to the caller than why there was no retry,
       * except for a quarantined request. */
      gboolean is_quarantined = refusal == DP_REASON_QUARANTINED;
      entry_answer_problem (core, request, is_quarantined ? refusal : reason, 0, NULL);
      return;
    }
  entry_count (core, "dogwoodplank_retries_total", "reason", dp_reason_name (reason));
  exclude_target (request);
  entry_grants_begin (core, request);
}

void
entry_attempts_on_preempted (DpEntryCore *core, Request *request)
{
  entry_attempts_cancel (core, request, DP_REASON_PREEMPTED);
  if (request->caller_gone || !can_resume (request)
      || request->deadline - core->now < RETRY_REMAINING_MIN)
    {
      entry_answer_problem (core, request, DP_REASON_PREEMPTED, 0, NULL);
      return;
    }
  entry_count (core, "dogwoodplank_retries_total", "reason",
               dp_reason_name (DP_REASON_PREEMPTED));
  entry_grants_begin (core, request);
}

/* TRUE if the status counts as a failure of the target. Services may use any status, but
 * repeatable calls are retried on those on which a gateway would retry (502 to 504). */
static gboolean
is_error_status (const Request *request, int status)
{
  if (is_engine (request))
    return status >= 500;
  return request->repeatable && status >= 502 && status <= 504;
}

void
entry_attempts_on_head (DpEntryCore *core, const DpTargetHead *head)
{
  Request *request = find_running (core, head->attempt);
  if (request == NULL)
    return;
  if (is_error_status (request, head->status))
    {
      entry_add_action (core, DP_ENTRY_ACTION_CANCEL)->cancel = head->attempt;
      retry_or_answer (core, request, DP_REASON_TARGET_ERROR, FALSE);
      return;
    }
  /* The caller of a resumed stream already has the head, so the status must be the same. */
  gboolean resumed = request->head_sent && is_engine (request);
  if (resumed && head->status != request->status)
    {
      entry_add_action (core, DP_ENTRY_ACTION_CANCEL)->cancel = head->attempt;
      retry_or_answer (core, request, DP_REASON_TARGET_ERROR, FALSE);
      return;
    }
  request->status = head->status;
  g_strlcpy (request->content_type, head->content_type != NULL ? head->content_type : "",
             sizeof request->content_type);
  /* A buffered answer starts again. */
  if (request->head_sent && !resumed)
    send_head (core, request);
}

static void
record_tokens (DpEntryCore *core, Request *request, guint tokens)
{
  /* Only engines resume; the answer of a service starts again from the beginning. */
  if (is_engine (request))
    request->grant_ask.sent_tokens += tokens;
  if (tokens == 0 || request->time_to_first_token > 0)
    return;
  request->time_to_first_token = MAX (core->now - request->dispatched_at, 1);
  if (request->owner.vm == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = request->attempt;
  message.grant_progress.group
    = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, request->group)->name;
  entry_send (core, request->owner, &message);
}

static void
append_to_record (Request *request, const DpTargetChunk *chunk)
{
  if (request->record == NULL)
    return;
  if (request->record->len + chunk->length > RECORD_BODY_BYTES_MAX)
    g_clear_pointer (&request->record, g_byte_array_unref);
  else
    g_byte_array_append (request->record, chunk->data, (guint)chunk->length);
}

void
entry_attempts_on_chunk (DpEntryCore *core, const DpTargetChunk *chunk)
{
  Request *request = find_running (core, chunk->attempt);
  if (request == NULL)
    return;
  record_tokens (core, request, chunk->tokens);
  append_to_record (request, chunk);
  if (!chunk->terminal)
    {
      forward (core, request, chunk->data, chunk->length);
      return;
    }
  /* The end event is forwarded only after the framing is complete. */
  request->terminal = TRUE;
  if (request->end_event == NULL)
    request->end_event = g_byte_array_new ();
  g_byte_array_append (request->end_event, chunk->data, (guint)chunk->length);
}

static gboolean
is_complete (const Request *request, const DpTargetEnd *end)
{
  if (!end->framing_complete)
    return FALSE;
  gboolean is_stream = is_engine (request) && request->status == 200;
  return !is_stream || request->terminal;
}

/* Forwards the end event. Its bytes are retained until the next event, since the request may be
 * removed before. */
static void
forward_end_event (DpEntryCore *core, Request *request)
{
  if (request->end_event == NULL)
    return;
  GBytes *bytes = g_byte_array_free_to_bytes (g_steal_pointer (&request->end_event));
  g_ptr_array_add (core->retained, bytes);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  forward (core, request, data, length);
}

void
entry_attempts_on_end (DpEntryCore *core, const DpTargetEnd *end)
{
  Request *request = find_running (core, end->attempt);
  if (request == NULL)
    return;
  if (!is_complete (request, end))
    {
      /* If the framing is incomplete, the target crashed during its answer. */
      if (!end->framing_complete)
        entry_quarantine_record_failure (core, request->body_hash, request->target);
      retry_or_answer (core, request, DP_REASON_ANSWER_INCOMPLETE, FALSE);
      return;
    }
  forward_end_event (core, request);
  if (!request->head_sent)
    send_head (core, request);
  request->ever_sent = TRUE;
  entry_quarantine_clear (core, request->body_hash);
  report_done (core, request, DP_REASON_NONE, end);
  entry_budget_on_served (core, request);
  entry_answer_complete (core, request);
}

void
entry_attempts_on_failed (DpEntryCore *core, const DpTargetFailed *failed)
{
  Request *request = find_running (core, failed->attempt);
  if (request == NULL)
    return;
  if (failed->reason == DP_REASON_TARGET_BROKE && !failed->nothing_sent)
    entry_quarantine_record_failure (core, request->body_hash, request->target);
  retry_or_answer (core, request, failed->reason, failed->nothing_sent);
}

void
entry_attempts_on_caller_gone (DpEntryCore *core, DpCaller caller)
{
  DpHandle *handle = g_hash_table_lookup (core->callers, &caller);
  Request *request = handle != NULL ? entry_request (core, *handle) : NULL;
  if (request == NULL)
    return;
  entry_count (core, "dogwoodplank_callers_gone_total", NULL, NULL);
  request->caller_gone = TRUE;
  /* A call that must not be repeated continues, so that its outcome can be recorded. */
  if (request->phase == PHASE_SENT && !request->repeatable)
    return;
  if (request->phase == PHASE_SENT)
    entry_attempts_cancel (core, request, DP_REASON_CALLER_GONE);
  else
    entry_grants_withdraw (core, request, DP_REASON_CALLER_GONE);
  entry_answer_problem (core, request, DP_REASON_CALLER_GONE, 0, NULL);
}
