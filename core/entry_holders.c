/* Claims held by other processes: their holders are asked, and waited with. */
#include "core/entry_private.h"

#define HOLDER_ASK_INTERVAL (500 * DP_USEC_PER_MSEC)
/* Unanswered asks after which a holder counts as silent. */
#define HOLDER_ASKS_MAX 3
/* A VM that has been dead in the view for this long has lost its claims. */
#define HOLDER_DEAD_FOR (10 * DP_USEC_PER_SEC)

gboolean
entry_holder_is_gone (DpEntryCore *board, const DpClaimRecord *record)
{
  const DpVm *vm = dp_view_find (board->view, record->holder);
  if (vm != NULL && vm->incarnation > record->holder_incarnation)
    return TRUE;
  if (record->holder == board->options.vm
      && record->holder_incarnation < board->options.incarnation)
    return TRUE;
  DpUsec dead_since = entry_vm (board, record->holder)->dead_since;
  return dead_since != 0 && board->now - dead_since >= HOLDER_DEAD_FOR;
}

void
entry_holders_ask (DpEntryCore *board, Claim *claim)
{
  DpMessage message = { .type = DP_MESSAGE_HOLDER_ASK };
  message.holder_ask.key = claim->key;
  message.holder_ask.attempt = claim->record.attempt;
  message.holder_ask.incarnation = claim->record.holder_incarnation;
  message.holder_ask.requesting_vm = board->options.vm;
  DpPeer holder = { .vm = claim->record.holder, .role = DP_ROLE_ENTRY };
  entry_send (board, holder, &message);
  claim->requested_at = board->now;
  claim->unanswered += 1;
}

/* What this process knows of its own claim. */
static DpHolderState
own_state (const Claim *claim)
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
entry_holders_on_ask (DpEntryCore *board, DpPeer from, const DpHolderAsk *ask)
{
  DpMessage message = { .type = DP_MESSAGE_HOLDER_ANSWER };
  message.holder_answer.key = ask->key;
  message.holder_answer.attempt = ask->attempt;
  message.holder_answer.state = DP_HOLDER_UNKNOWN;
  const Claim *claim = entry_claim_by_key (board, ask->key);
  gboolean is_mine = claim != NULL && ask->incarnation == board->options.incarnation
                     && dp_id_equal (claim->record.attempt, ask->attempt);
  if (is_mine)
    message.holder_answer.state = own_state (claim);
  entry_send (board, from, &message);
}

void
entry_holders_on_answer (DpEntryCore *board, DpPeer from, const DpHolderAnswer *answer)
{
  Claim *claim = entry_claim_by_key (board, answer->key);
  if (claim == NULL || claim->phase != CLAIM_FOREIGN || claim->record.holder != from.vm
      || !dp_id_equal (claim->record.attempt, answer->attempt))
    return;
  claim->unanswered = 0;
  if (answer->state == DP_HOLDER_IN_FLIGHT)
    return;
  /* The record tells what became of it, unless the holder knows of no such claim. */
  claim->denied = answer->state == DP_HOLDER_UNKNOWN;
  entry_bucket_reread (board, claim->bucket);
}

void
entry_holders_on_record (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  gboolean unchanged = found != NULL && found->state == DP_CLAIM_CLAIMED
                       && dp_id_equal (found->attempt, claim->record.attempt);
  if (!unchanged)
    entry_claims_look (board, claim, found);
  else if (claim->phase == CLAIM_MARKING)
    board->store_due = TRUE;
  else if (claim->denied || entry_holder_is_gone (board, found))
    entry_claims_mark (board, claim, found);
}

static void
check_holder (DpEntryCore *board, Claim *claim)
{
  if (entry_holder_is_gone (board, &claim->record))
    {
      entry_claims_mark (board, claim, &claim->record);
      return;
    }
  if (board->now - claim->requested_at < HOLDER_ASK_INTERVAL)
    return;
  if (claim->unanswered < HOLDER_ASKS_MAX)
    {
      entry_holders_ask (board, claim);
      return;
    }
  /* Silent, but perhaps alive: nobody can tell, and nothing is sent. */
  entry_count (board, "dogwoodplank_silent_holders_total", NULL, NULL);
  entry_claims_give_up (board, claim, DP_REASON_OUTCOME_UNKNOWN);
}

void
entry_holders_tick (DpEntryCore *board)
{
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = dp_table_get (board->claims, h);
      if (claim->phase == CLAIM_FOREIGN)
        check_holder (board, claim);
    }
}
