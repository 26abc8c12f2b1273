/* Final answers. A request that is given up gets its answer in the same event. */
#include "core/entry_board.h"

/* For reasons that pass, when nobody has estimated how soon. */
#define RETRY_AFTER_DEFAULT DP_USEC_PER_SEC

static DpUsec
retry_after_or_default (DpReason reason, DpUsec retry_after)
{
  if (retry_after > 0 || !dp_reason_may_retry (reason))
    return retry_after;
  return RETRY_AFTER_DEFAULT;
}

static void
count_refusal (DpEntryBoard *board, DpReason reason)
{
  entry_count (board, "dogwoodplank_refusals_total", "reason", dp_reason_name (reason));
}

static void
count_answer (DpEntryBoard *board, const Request *request, DpOutcome outcome)
{
  static const char *const names[] = {
    [DP_OUTCOME_NOT_RUN] = "dogwoodplank_answers_not_run_total",
    [DP_OUTCOME_UNKNOWN] = "dogwoodplank_answers_unknown_total",
    [DP_OUTCOME_DONE] = "dogwoodplank_answers_done_total",
  };
  entry_count (board, names[outcome], "tier", entry_tier (request)->text);
}

static void
add_problem (DpEntryBoard *board, const DpProblem *problem)
{
  count_refusal (board, problem->reason);
  entry_add_action (board, DP_ENTRY_ACTION_PROBLEM)->problem = *problem;
}

void
entry_answer_refuse (DpEntryBoard *board,
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
  add_problem (board, &problem);
}

/* TRUE if the caller has been given bytes of an answer that can't be taken back. */
static gboolean
answer_has_begun (const Request *request)
{
  return request->head_given && request->stream;
}

void
entry_answer_outcome (DpEntryBoard *board,
                      Request *request,
                      DpReason reason,
                      DpOutcome outcome,
                      DpUsec retry_after,
                      const char *detail)
{
  entry_claims_end (board, request, FALSE);
  count_answer (board, request, outcome);
  if (request->caller_gone)
    {
      count_refusal (board, reason);
    }
  else if (answer_has_begun (request))
    {
      count_refusal (board, reason);
      entry_add_action (board, DP_ENTRY_ACTION_BREAK)->break_off
        = (DpBreakOff){ .caller = request->caller, .reason = reason };
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
      add_problem (board, &problem);
    }
  entry_remove_request (board, request);
}

/* "Not run" is said only when no attempt handed over a byte, none ever will, and no other
 * request under the key can have run. */
static DpOutcome
outcome_of (DpEntryBoard *board, const Request *request)
{
  if (request->ever_sent)
    return DP_OUTCOME_UNKNOWN;
  if (!request->repeatable && !entry_claims_holds (board, request))
    return DP_OUTCOME_UNKNOWN;
  return DP_OUTCOME_NOT_RUN;
}

void
entry_answer_problem (DpEntryBoard *board,
                      Request *request,
                      DpReason reason,
                      DpUsec retry_after,
                      const char *detail)
{
  DpOutcome outcome = outcome_of (board, request);
  entry_answer_outcome (board, request, reason, outcome, retry_after, detail);
}

void
entry_answer_replay (DpEntryBoard *board, Request *request, const DpClaimRecord *record)
{
  entry_claims_end (board, request, FALSE);
  count_answer (board, request, DP_OUTCOME_DONE);
  entry_count (board, "dogwoodplank_replays_total", NULL, NULL);
  DpReplay *replay = &entry_add_action (board, DP_ENTRY_ACTION_REPLAY)->replay;
  replay->caller = request->caller;
  replay->status = (int)record->status;
  g_strlcpy (replay->content_type, record->content_type, sizeof replay->content_type);
  replay->body = record->body != NULL ? g_bytes_ref (record->body) : NULL;
  entry_remove_request (board, request);
}

void
entry_answer_complete (DpEntryBoard *board, Request *request)
{
  entry_claims_end (board, request, TRUE);
  count_answer (board, request, DP_OUTCOME_DONE);
  if (!request->caller_gone)
    entry_add_action (board, DP_ENTRY_ACTION_END)->end = request->caller;
  entry_remove_request (board, request);
}

static void
deadline_passed (DpEntryBoard *board, Request *request)
{
  if (request->phase == PHASE_SENT)
    entry_attempts_cancel (board, request, DP_REASON_DEADLINE_PASSED);
  else
    entry_grants_withdraw (board, request, DP_REASON_DEADLINE_PASSED);
  gboolean waits_for_holder = entry_claims_is_foreign (board, request);
  entry_answer_problem (
    board, request,
    waits_for_holder ? DP_REASON_IN_FLIGHT_ELSEWHERE : DP_REASON_DEADLINE_PASSED, 0, NULL);
}

void
entry_answers_tick (DpEntryBoard *board)
{
  for (DpHandle h = dp_table_next (board->requests, 0); h != 0;
       h = dp_table_next (board->requests, h))
    {
      Request *request = entry_request (board, h);
      if (board->now >= request->deadline)
        deadline_passed (board, request);
    }
}
