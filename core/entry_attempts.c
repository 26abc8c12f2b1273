/* Attempts: one sending of a request to one target, its stream, its failure, its successor. */
#include "core/entry_board.h"

#include <string.h>

/* Bodies up to this size are kept in the claim's record. */
#define RECORD_BODY_MAX 4096
/* Time that must be left for another attempt to be worth it. */
#define RETRY_TIME_MIN (50 * DP_USEC_PER_MSEC)

static gboolean
is_engine (const Request *request)
{
  return entry_pool (request)->kind == DP_POOL_ENGINES;
}

/* The request that runs this attempt now. Anything else is late, repeated or crossed. */
static Request *
find_running (DpEntryBoard *board, DpId attempt)
{
  Request *request = entry_request_by_attempt (board, attempt);
  if (request != NULL && request->phase == PHASE_SENT)
    return request;
  entry_count (board, "dogwoodplank_late_replies_total", NULL, NULL);
  return NULL;
}

static void
reset_answer (Request *request)
{
  request->terminal = FALSE;
  request->first_token_after = 0;
  g_clear_pointer (&request->tail, g_byte_array_unref);
  g_clear_pointer (&request->record, g_byte_array_unref);
  if (!request->repeatable)
    request->record = g_byte_array_new ();
}

void
entry_attempts_dispatch (DpEntryBoard *board, Request *request, const DpTarget *target)
{
  if (board->now >= request->deadline)
    {
      entry_grants_withdraw (board, request, DP_REASON_DEADLINE_PASSED);
      entry_answer_problem (board, request, DP_REASON_DEADLINE_PASSED, 0, NULL);
      return;
    }
  if (!entry_claims_may_send (board, request))
    {
      entry_grants_withdraw (board, request, DP_REASON_OUTCOME_UNKNOWN);
      entry_answer_problem (board, request, DP_REASON_OUTCOME_UNKNOWN, 0, NULL);
      return;
    }
  reset_answer (request);
  request->phase = PHASE_SENT;
  request->target = target->name;
  request->dispatched_at = board->now;
  DpDispatch *dispatch = &entry_add_action (board, DP_ENTRY_ACTION_DISPATCH)->dispatch;
  dispatch->caller = request->caller;
  dispatch->attempt = request->attempt;
  dispatch->target = target->name;
  g_strlcpy (dispatch->address, target->address, sizeof dispatch->address);
  dispatch->port = target->port;
  dispatch->kind = entry_pool (request)->kind;
  dispatch->sent_tokens = request->ask.sent_tokens;
  dispatch->remaining = request->deadline - board->now;
  entry_count (board, "dogwoodplank_dispatches_total", NULL, NULL);
}

static void
report_done (DpEntryBoard *board, Request *request, DpReason reason, const DpTargetEnd *end)
{
  DpGrantDone done = {
    .reason = reason,
    .first_token_after = request->first_token_after,
    .duration = board->now - request->dispatched_at,
  };
  if (end != NULL)
    {
      done.prompt_tokens = end->prompt_tokens;
      done.cached_tokens = end->cached_tokens;
      done.output_tokens = end->output_tokens;
    }
  entry_grants_done (board, request, &done);
}

/* Prompt work that ends without a complete answer was for nothing. */
static void
count_waste (DpEntryBoard *board, const Request *request)
{
  if (is_engine (request))
    dp_counters_add (board->options.counters, "dogwoodplank_wasted_prompt_tokens_total", NULL,
                     NULL, request->ask.prompt_tokens);
}

void
entry_attempts_cancel (DpEntryBoard *board, Request *request, DpReason reason)
{
  entry_add_action (board, DP_ENTRY_ACTION_CANCEL)->cancel = request->attempt;
  count_waste (board, request);
  request->ever_sent = TRUE;
  report_done (board, request, reason, NULL);
}

static void
give_head (DpEntryBoard *board, Request *request)
{
  request->head_given = TRUE;
  if (request->caller_gone)
    return;
  DpHead *out = &entry_add_action (board, DP_ENTRY_ACTION_HEAD)->head;
  out->caller = request->caller;
  out->status = request->status;
  g_strlcpy (out->content_type, request->content_type, sizeof out->content_type);
  out->stream = request->stream && is_engine (request);
}

/* The head goes out with the first piece of the body: until then a failed attempt can still be
 * answered by a refusal. */
static void
forward (DpEntryBoard *board, Request *request, const void *data, gsize length)
{
  if (length == 0)
    return;
  if (!request->head_given)
    give_head (board, request);
  if (request->caller_gone)
    return;
  DpForward *out = &entry_add_action (board, DP_ENTRY_ACTION_FORWARD)->forward;
  out->caller = request->caller;
  out->data = data;
  out->length = length;
}

/* TRUE if the answer can go on after what the caller has already been given. */
static gboolean
can_go_on (const Request *request)
{
  /* An engine resumes after the tokens sent; a service's answer is collected until its end. */
  return is_engine (request) || !request->stream || !request->head_given;
}

/* Why the failed attempt has no successor; NONE: it has one. */
static DpReason
refuse_retry (DpEntryBoard *board, const Request *request, gboolean nothing_sent)
{
  if (!request->repeatable && !nothing_sent)
    return DP_REASON_OUTCOME_UNKNOWN;
  if (request->caller_gone)
    return DP_REASON_CALLER_GONE;
  if (entry_quarantine_holds (board, request->body_hash))
    return DP_REASON_QUARANTINED;
  if (!can_go_on (request))
    return DP_REASON_ANSWER_INCOMPLETE;
  if (request->deadline - board->now < RETRY_TIME_MIN)
    return DP_REASON_DEADLINE_PASSED;
  if (request->ask.excluded_count >= DP_EXCLUDED_MAX)
    return DP_REASON_RETRY_BUDGET;
  if (!entry_budget_spend (board, request))
    return DP_REASON_RETRY_BUDGET;
  return DP_REASON_NONE;
}

static void
exclude_target (Request *request)
{
  if (request->ask.excluded_count < DP_EXCLUDED_MAX)
    request->ask.excluded[request->ask.excluded_count++] = request->target;
}

/* The attempt is over without a complete answer. */
static void
attempt_failed (DpEntryBoard *board, Request *request, DpReason reason, gboolean nothing_sent)
{
  if (!nothing_sent)
    {
      request->ever_sent = TRUE;
      count_waste (board, request);
    }
  report_done (board, request, reason, NULL);
  DpReason refusal = refuse_retry (board, request, nothing_sent);
  if (refusal != DP_REASON_NONE)
    {
      /* The failure itself tells the caller more than that it was not tried again. */
      gboolean tells_more = refusal == DP_REASON_QUARANTINED;
      entry_answer_problem (board, request, tells_more ? refusal : reason, 0, NULL);
      return;
    }
  entry_count (board, "dogwoodplank_retries_total", "reason", dp_reason_name (reason));
  exclude_target (request);
  entry_grants_begin (board, request);
}

void
entry_attempts_preempted (DpEntryBoard *board, Request *request)
{
  entry_attempts_cancel (board, request, DP_REASON_PREEMPTED);
  if (request->caller_gone || !can_go_on (request)
      || request->deadline - board->now < RETRY_TIME_MIN)
    {
      entry_answer_problem (board, request, DP_REASON_PREEMPTED, 0, NULL);
      return;
    }
  entry_count (board, "dogwoodplank_retries_total", "reason",
               dp_reason_name (DP_REASON_PREEMPTED));
  entry_grants_begin (board, request);
}

/* Engines answer 200 with a stream; services answer as they like, but a repeatable call that
 * a gateway would repeat is repeated here. */
static gboolean
is_target_error (const Request *request, int status)
{
  if (is_engine (request))
    return status >= 500;
  return request->repeatable && status >= 502 && status <= 504;
}

void
entry_attempts_on_head (DpEntryBoard *board, const DpTargetHead *head)
{
  Request *request = find_running (board, head->attempt);
  if (request == NULL)
    return;
  if (is_target_error (request, head->status))
    {
      entry_add_action (board, DP_ENTRY_ACTION_CANCEL)->cancel = head->attempt;
      attempt_failed (board, request, DP_REASON_TARGET_ERROR, FALSE);
      return;
    }
  /* A resumed stream goes on under the head already given. */
  gboolean resumed = request->head_given && is_engine (request);
  if (resumed && head->status != request->status)
    {
      entry_add_action (board, DP_ENTRY_ACTION_CANCEL)->cancel = head->attempt;
      attempt_failed (board, request, DP_REASON_TARGET_ERROR, FALSE);
      return;
    }
  request->status = head->status;
  g_strlcpy (request->content_type, head->content_type != NULL ? head->content_type : "",
             sizeof request->content_type);
  /* An answer that is collected starts again. */
  if (request->head_given && !resumed)
    give_head (board, request);
}

static void
note_tokens (DpEntryBoard *board, Request *request, guint tokens)
{
  /* Only engines resume; a service's answer starts again from its beginning. */
  if (is_engine (request))
    request->ask.sent_tokens += tokens;
  if (tokens == 0 || request->first_token_after > 0)
    return;
  request->first_token_after = MAX (board->now - request->dispatched_at, 1);
  if (request->owner.vm == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = request->attempt;
  message.grant_progress.group
    = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, request->group)->name;
  entry_send (board, request->owner, &message);
}

static void
keep_for_record (Request *request, const DpTargetChunk *chunk)
{
  if (request->record == NULL)
    return;
  if (request->record->len + chunk->length > RECORD_BODY_MAX)
    g_clear_pointer (&request->record, g_byte_array_unref);
  else
    g_byte_array_append (request->record, chunk->data, (guint)chunk->length);
}

void
entry_attempts_on_chunk (DpEntryBoard *board, const DpTargetChunk *chunk)
{
  Request *request = find_running (board, chunk->attempt);
  if (request == NULL)
    return;
  note_tokens (board, request, chunk->tokens);
  keep_for_record (request, chunk);
  if (!chunk->terminal)
    {
      forward (board, request, chunk->data, chunk->length);
      return;
    }
  /* The end event is given to the caller only with the complete framing. */
  request->terminal = TRUE;
  if (request->tail == NULL)
    request->tail = g_byte_array_new ();
  g_byte_array_append (request->tail, chunk->data, (guint)chunk->length);
}

static gboolean
is_complete (const Request *request, const DpTargetEnd *end)
{
  if (!end->framing_complete)
    return FALSE;
  gboolean is_stream = is_engine (request) && request->status == 200;
  return !is_stream || request->terminal;
}

/* Gives the caller the end event; its bytes outlive the request until the next event. */
static void
forward_tail (DpEntryBoard *board, Request *request)
{
  if (request->tail == NULL)
    return;
  GBytes *bytes = g_byte_array_free_to_bytes (g_steal_pointer (&request->tail));
  g_ptr_array_add (board->kept, bytes);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  forward (board, request, data, length);
}

void
entry_attempts_on_end (DpEntryBoard *board, const DpTargetEnd *end)
{
  Request *request = find_running (board, end->attempt);
  if (request == NULL)
    return;
  if (!is_complete (request, end))
    {
      /* A target that dies in its answer cuts the framing short. */
      if (!end->framing_complete)
        entry_quarantine_add (board, request->body_hash, request->target);
      attempt_failed (board, request, DP_REASON_ANSWER_INCOMPLETE, FALSE);
      return;
    }
  forward_tail (board, request);
  if (!request->head_given)
    give_head (board, request);
  request->ever_sent = TRUE;
  entry_quarantine_clear (board, request->body_hash);
  report_done (board, request, DP_REASON_NONE, end);
  entry_budget_served (board, request);
  entry_answer_complete (board, request);
}

void
entry_attempts_on_failed (DpEntryBoard *board, const DpTargetFailed *failed)
{
  Request *request = find_running (board, failed->attempt);
  if (request == NULL)
    return;
  if (failed->reason == DP_REASON_TARGET_BROKE && !failed->nothing_sent)
    entry_quarantine_add (board, request->body_hash, request->target);
  attempt_failed (board, request, failed->reason, failed->nothing_sent);
}

void
entry_attempts_caller_gone (DpEntryBoard *board, DpCaller caller)
{
  DpHandle *handle = g_hash_table_lookup (board->callers, &caller);
  Request *request = handle != NULL ? entry_request (board, *handle) : NULL;
  if (request == NULL)
    return;
  entry_count (board, "dogwoodplank_callers_gone_total", NULL, NULL);
  request->caller_gone = TRUE;
  /* A call that may not be repeated goes on, so that its outcome can be recorded. */
  if (request->phase == PHASE_SENT && !request->repeatable)
    return;
  if (request->phase == PHASE_SENT)
    entry_attempts_cancel (board, request, DP_REASON_CALLER_GONE);
  else
    entry_grants_withdraw (board, request, DP_REASON_CALLER_GONE);
  entry_answer_problem (board, request, DP_REASON_CALLER_GONE, 0, NULL);
}
