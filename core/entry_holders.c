/* Claims held by other processes: queries their holders until the outcome is known. */
#include "core/entry_private.h"

#define HOLDER_QUERY_INTERVAL (500 * DP_USEC_PER_MSEC)
/* Unanswered queries after which a holder is considered unresponsive. */
#define HOLDER_QUERIES_MAX 3
/* A VM that the view has shown as dead for this long loses its claims. */
#define HOLDER_DEAD_TIMEOUT (10 * DP_USEC_PER_SEC)

gboolean
entry_holder_is_gone (DpEntryCore *core, const DpClaimRecord *record)
{
  const DpVm *vm = dp_view_find (core->view, record->holder);
  if (vm != NULL && vm->incarnation > record->holder_incarnation)
    return TRUE;
  if (record->holder == core->options.vm
      && record->holder_incarnation < core->options.incarnation)
    return TRUE;
  DpUsec dead_since = entry_vm (core, record->holder)->dead_since;
  return dead_since != 0 && core->now - dead_since >= HOLDER_DEAD_TIMEOUT;
}

void
entry_holders_query (DpEntryCore *core, Claim *claim)
{
  DpMessage message = { .type = DP_MESSAGE_HOLDER_ASK };
  message.holder_ask.key = claim->key;
  message.holder_ask.attempt = claim->record.attempt;
  message.holder_ask.incarnation = claim->record.holder_incarnation;
  message.holder_ask.requesting_vm = core->options.vm;
  DpPeer holder = { .vm = claim->record.holder, .role = DP_ROLE_ENTRY };
  entry_send (core, holder, &message);
  claim->requested_at = core->now;
  claim->unanswered += 1;
}

/* State of this process's own claim, as reported to other processes. */
static DpHolderState
claim_state (const Claim *claim)
{
  if (claim->phase == CLAIM_WANTED || claim->phase == CLAIM_HELD)
    return DP_HOLDER_IN_FLIGHT;
  if (claim->phase != CLAIM_CLOSING)
    return DP_HOLDER_UNKNOWN;
  switch (claim->record.state)
    {
    case DP_CLAIM_DONE:
      return DP_HOLDER_DONE;
    case DP_CLAIM_RELEASED:
      return DP_HOLDER_RELEASED;
    default:
      return DP_HOLDER_UNKNOWN;
    }
}

void
entry_holders_on_query (DpEntryCore *core, DpPeer from, const DpHolderAsk *query)
{
  DpMessage message = { .type = DP_MESSAGE_HOLDER_ANSWER };
  message.holder_answer.key = query->key;
  message.holder_answer.attempt = query->attempt;
  message.holder_answer.state = DP_HOLDER_UNKNOWN;
  const Claim *claim = entry_claim_by_key (core, query->key);
  gboolean is_mine = claim != NULL && query->incarnation == core->options.incarnation
                     && dp_id_equal (claim->record.attempt, query->attempt);
  if (is_mine)
    message.holder_answer.state = claim_state (claim);
  entry_send (core, from, &message);
}

void
entry_holders_on_answer (DpEntryCore *core, DpPeer from, const DpHolderAnswer *answer)
{
  Claim *claim = entry_claim_by_key (core, answer->key);
  if (claim == NULL || claim->phase != CLAIM_FOREIGN || claim->record.holder != from.vm
      || !dp_id_equal (claim->record.attempt, answer->attempt))
    return;
  claim->unanswered = 0;
  if (answer->state == DP_HOLDER_IN_FLIGHT)
    return;
  /* The final state is in the record, unless the holder does not know the claim. */
  claim->unknown_to_holder = answer->state == DP_HOLDER_UNKNOWN;
  entry_bucket_invalidate (core, claim->bucket);
}

void
entry_holders_on_record (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  gboolean unchanged = found != NULL && found->state == DP_CLAIM_CLAIMED
                       && dp_id_equal (found->attempt, claim->record.attempt);
  if (!unchanged)
    entry_claims_process_record (core, claim, found);
  else if (claim->phase == CLAIM_MARKING)
    core->store_due = TRUE;
  else if (claim->unknown_to_holder || entry_holder_is_gone (core, found))
    entry_claims_mark_unknown (core, claim, found);
}

static void
check_holder (DpEntryCore *core, Claim *claim)
{
  if (entry_holder_is_gone (core, &claim->record))
    {
      entry_claims_mark_unknown (core, claim, &claim->record);
      return;
    }
  if (core->now - claim->requested_at < HOLDER_QUERY_INTERVAL)
    return;
  if (claim->unanswered < HOLDER_QUERIES_MAX)
    {
      entry_holders_query (core, claim);
      return;
    }
  /* The holder may still be alive and running the request, so it must not be sent again. */
  entry_count (core, "dogwoodplank_silent_holders_total", NULL, NULL);
  entry_claims_fail_waiters (core, claim, DP_REASON_OUTCOME_UNKNOWN);
}

void
entry_holders_tick (DpEntryCore *core)
{
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = dp_table_get (core->claims, h);
      if (claim->phase == CLAIM_FOREIGN)
        check_holder (core, claim);
    }
}
