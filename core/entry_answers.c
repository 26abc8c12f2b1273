/* Final answers. A request that fails is answered while the same event is handled. */
#include "core/entry_private.h"

/* For temporary conditions without an estimate of their duration. */
#define DEFAULT_RETRY_AFTER DP_USEC_PER_SEC

static DpUsec
retry_after_or_default (DpReason reason, DpUsec retry_after)
{
  if (retry_after > 0 || !dp_reason_may_retry (reason))
    return retry_after;
  return DEFAULT_RETRY_AFTER;
}

static void
count_refusal (DpEntryCore *core, DpReason reason)
{
  entry_count (core, "dogwoodplank_refusals_total", "reason", dp_reason_name (reason));
}

static void
count_answer (DpEntryCore *core, const Request *request, DpOutcome outcome)
{
  static const char *const names[] = {
    [DP_OUTCOME_NOT_RUN] = "dogwoodplank_answers_not_run_total",
    [DP_OUTCOME_UNKNOWN] = "dogwoodplank_answers_unknown_total",
    [DP_OUTCOME_DONE] = "dogwoodplank_answers_done_total",
  };
  entry_count (core, names[outcome], "tier", entry_tier (request)->text);
}

static void
add_problem (DpEntryCore *core, const DpProblem *problem)
{
  count_refusal (core, problem->reason);
  entry_add_action (core, DP_ENTRY_ACTION_PROBLEM)->problem = *problem;
}

void
entry_answer_unadmitted (DpEntryCore *core,
                         const DpRequestIn *in,
                         DpReason reason,
                         DpOutcome outcome,
                         const char *detail)
{
  DpProblem problem = {
    .caller = in->caller,
    .status = dp_reason_status (reason),
    .reason = reason,
    .outcome = outcome,
    .retry_after = retry_after_or_default (reason, 0),
    .detail = detail,
  };
  add_problem (core, &problem);
}

/* TRUE if part of an answer has been streamed to the caller, so no other answer can be sent. */
static gboolean
answer_has_started (const Request *request)
{
  return request->head_sent && request->stream;
}

void
entry_answer_outcome (DpEntryCore *core,
                      Request *request,
                      DpReason reason,
                      DpOutcome outcome,
                      DpUsec retry_after,
                      const char *detail)
{
  entry_claims_finish_request (core, request, FALSE);
  count_answer (core, request, outcome);
  if (request->caller_gone)
    {
      count_refusal (core, reason);
    }
  else if (answer_has_started (request))
    {
      count_refusal (core, reason);
      entry_add_action (core, DP_ENTRY_ACTION_ABORT)->abort
        = (DpAbort){ .caller = request->caller, .reason = reason };
    }
  else
    {
      DpProblem problem = {
        .caller = request->caller,
        .status = dp_reason_status (reason),
        .reason = reason,
        .outcome = outcome,
        .sent = request->ever_sent,
        .retry_after = retry_after_or_default (reason, retry_after),
        .detail = detail,
      };
      add_problem (core, &problem);
    }
  entry_remove_request (core, request);
}

/* NOT_RUN only if no attempt has sent or will send a byte to a target, and no other request
 * with the same key can have run. */
static DpOutcome
outcome_of (DpEntryCore *core, const Request *request)
{
  if (request->ever_sent)
    return DP_OUTCOME_UNKNOWN;
  if (!request->repeatable && !entry_claims_is_holder (core, request))
    return DP_OUTCOME_UNKNOWN;
  return DP_OUTCOME_NOT_RUN;
}

void
entry_answer_problem (
  DpEntryCore *core, Request *request, DpReason reason, DpUsec retry_after, const char *detail)
{
  DpOutcome outcome = outcome_of (core, request);
  entry_answer_outcome (core, request, reason, outcome, retry_after, detail);
}

void
entry_answer_replay (DpEntryCore *core, Request *request, const DpClaimRecord *record)
{
  entry_claims_finish_request (core, request, FALSE);
  count_answer (core, request, DP_OUTCOME_DONE);
  entry_count (core, "dogwoodplank_replays_total", NULL, NULL);
  DpReplay *replay = &entry_add_action (core, DP_ENTRY_ACTION_REPLAY)->replay;
  replay->caller = request->caller;
  replay->status = (int)record->status;
  g_strlcpy (replay->content_type, record->content_type, sizeof replay->content_type);
  replay->body = record->body != NULL ? g_bytes_ref (record->body) : NULL;
  entry_remove_request (core, request);
}

void
entry_answer_complete (DpEntryCore *core, Request *request)
{
  entry_claims_finish_request (core, request, TRUE);
  count_answer (core, request, DP_OUTCOME_DONE);
  if (!request->caller_gone)
    entry_add_action (core, DP_ENTRY_ACTION_END)->end = request->caller;
  entry_remove_request (core, request);
}

static void
on_deadline (DpEntryCore *core, Request *request)
{
  if (request->phase == PHASE_SENT)
    entry_attempts_cancel (core, request, DP_REASON_DEADLINE_PASSED);
  else
    entry_grants_withdraw (core, request, DP_REASON_DEADLINE_PASSED);
  gboolean waits_for_holder = entry_claims_waits_for_other (core, request);
  entry_answer_problem (
    core, request, waits_for_holder ? DP_REASON_IN_FLIGHT_ELSEWHERE : DP_REASON_DEADLINE_PASSED,
    0, NULL);
}

void
entry_answers_tick (DpEntryCore *core)
{
  for (DpHandle h = dp_table_next (core->requests, 0); h != 0;
       h = dp_table_next (core->requests, h))
    {
      Request *request = entry_request (core, h);
      if (core->now >= request->deadline)
        on_deadline (core, request);
    }
}
