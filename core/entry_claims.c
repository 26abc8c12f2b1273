/* Claims: one row for each key that this process waits for, holds or closes.
 *
 * A row moves on only by what its record shows: the content of a bucket that was just read, or
 * just written by a confirmed write. Whatever was written, lost or overtaken, entry_claims_on_
 * records() compares the row with the record and goes on from there.
 */
#include "core/entry_private.h"

static Claim *
find_claim (DpEntryCore *board, DpHandle handle)
{
  return handle != 0 ? dp_table_get (board->claims, handle) : NULL;
}

Claim *
entry_claim_by_key (DpEntryCore *board, DpId key)
{
  DpHandle *handle = g_hash_table_lookup (board->claim_index, &key);
  return handle != NULL ? find_claim (board, *handle) : NULL;
}

static Claim *
add_claim (DpEntryCore *board, DpId key, DpBucketId bucket)
{
  void *row;
  DpHandle handle = dp_table_add (board->claims, &row);
  Claim *claim = row;
  claim->handle = handle;
  claim->key = key;
  claim->bucket = bucket;
  claim->phase = CLAIM_LOOKUP;
  claim->waiters = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  g_hash_table_insert (board->claim_index, g_memdup2 (&key, sizeof key),
                       g_memdup2 (&handle, sizeof handle));
  return claim;
}

static void
drop_claim (DpEntryCore *board, Claim *claim)
{
  DpId key = claim->key;
  g_hash_table_remove (board->claim_index, &key);
  dp_table_remove (board->claims, claim->handle);
}

static void
copy_record (DpClaimRecord *to, const DpClaimRecord *from)
{
  GBytes *body = from->body != NULL ? g_bytes_ref (from->body) : NULL;
  dp_claim_record_clear (to);
  *to = *from;
  to->body = body;
}

static void
remove_waiter (Claim *claim, DpHandle request)
{
  for (guint i = 0; i < claim->waiters->len; i++)
    if (g_array_index (claim->waiters, DpHandle, i) == request)
      {
        g_array_remove_index (claim->waiters, i);
        return;
      }
}

static gboolean
is_own (const DpEntryCore *board, const DpClaimRecord *record)
{
  return record->holder == board->options.vm
         && record->holder_incarnation == board->options.incarnation;
}

/* Which part of the operation differs from the one that the key is bound to; NULL: none. */
static const char *
find_conflict (const Request *request, const DpClaimRecord *record)
{
  if (request->outcome_query)
    return NULL;
  if (request->path_hash != record->path_hash)
    return "the key was used with another method or path";
  if (request->body_hash != record->body_hash)
    return "the key was used with another body";
  return NULL;
}

/* Answers the waiter if the record tells how. FALSE: it has to wait on. */
static gboolean
answer_waiter (DpEntryCore *board, Request *request, const DpClaimRecord *record)
{
  const char *conflict = find_conflict (request, record);
  if (conflict != NULL)
    {
      /* The key is bound to the other operation for good: this one can't have run under it. */
      entry_answer_outcome (board, request, DP_REASON_KEY_CONFLICT, DP_OUTCOME_NOT_RUN, 0,
                            conflict);
      return TRUE;
    }
  switch (record->state)
    {
    case DP_CLAIM_DONE:
      entry_answer_replay (board, request, record);
      return TRUE;
    case DP_CLAIM_UNKNOWN:
      entry_answer_outcome (board, request,
                            entry_holder_is_gone (board, record) ? DP_REASON_HOLDER_GONE
                                                                 : DP_REASON_OUTCOME_UNKNOWN,
                            DP_OUTCOME_UNKNOWN, 0,
                            "an earlier request under this key may have run");
      return TRUE;
    case DP_CLAIM_RELEASED:
      if (!request->outcome_query)
        return FALSE;
      entry_answer_outcome (board, request, DP_REASON_RELEASED, DP_OUTCOME_NOT_RUN, 0,
                            "the request under this key was not run");
      return TRUE;
    case DP_CLAIM_CLAIMED:
      return FALSE;
    }
  return FALSE;
}

/* Answers those waiters that `record` has an answer for. Answering removes a request from the
 * waiters, so the list is walked as a copy. The claim may be gone afterwards. */
static void
answer_waiters (DpEntryCore *board, const Claim *claim, const DpClaimRecord *record)
{
  DpClaimRecord known = { 0 };
  copy_record (&known, record);
  DpHandle sender = claim->sender;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      DpHandle handle = g_array_index (waiters, DpHandle, i);
      Request *request = entry_request (board, handle);
      if (request != NULL && handle != sender)
        answer_waiter (board, request, &known);
    }
  g_array_unref (waiters);
  dp_claim_record_clear (&known);
}

void
entry_claims_give_up (DpEntryCore *board, Claim *claim, DpReason reason)
{
  DpHandle sender = claim->sender;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      DpHandle handle = g_array_index (waiters, DpHandle, i);
      Request *request = entry_request (board, handle);
      if (request != NULL && handle != sender)
        entry_answer_outcome (board, request, reason, DP_OUTCOME_UNKNOWN, 0, NULL);
    }
  g_array_unref (waiters);
}

/* Outcome queries of a key that has no record. */
static void
answer_queries_without_record (DpEntryCore *board, const Claim *claim)
{
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      Request *request = entry_request (board, g_array_index (waiters, DpHandle, i));
      if (request != NULL && request->outcome_query)
        entry_answer_outcome (board, request, DP_REASON_NO_RECORD, DP_OUTCOME_UNKNOWN, 0,
                              "no request under this key has been recorded yet");
    }
  g_array_unref (waiters);
}

/* The first waiter that wants to be sent, or NULL. */
static Request *
find_candidate (DpEntryCore *board, const Claim *claim)
{
  for (guint i = 0; i < claim->waiters->len; i++)
    {
      Request *request = entry_request (board, g_array_index (claim->waiters, DpHandle, i));
      if (request != NULL && !request->outcome_query)
        return request;
    }
  return NULL;
}

/* The key is free: wants it for the first waiter. */
static void
want_claim (DpEntryCore *board, Claim *claim)
{
  Request *request = find_candidate (board, claim);
  if (request == NULL)
    {
      drop_claim (board, claim);
      return;
    }
  dp_claim_record_clear (&claim->record);
  claim->record = (DpClaimRecord){
    .key = claim->key,
    .body_hash = request->body_hash,
    .path_hash = request->path_hash,
    .attempt = entry_make_attempt_id (board),
    .holder = board->options.vm,
    .holder_incarnation = board->options.incarnation,
    .state = DP_CLAIM_CLAIMED,
  };
  claim->sender = request->handle;
  claim->phase = CLAIM_WANTED;
  claim->maybe_stored = FALSE;
  board->store_due = TRUE;
}

/* Goes on from a record that this process does not hold; `found` may be NULL. */
static void
look_at_record (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  DpHandle handle = claim->handle;
  claim->phase = CLAIM_LOOKUP;
  claim->sender = 0;
  claim->verify = FALSE;
  claim->maybe_stored = FALSE;
  if (found == NULL)
    answer_queries_without_record (board, claim);
  else
    answer_waiters (board, claim, found);
  claim = find_claim (board, handle);
  if (claim == NULL)
    return;
  if (claim->waiters->len == 0)
    drop_claim (board, claim);
  else if (found == NULL && entry_bucket_is_full (board, claim->bucket))
    entry_claims_give_up (board, claim, DP_REASON_OVERLOADED_ENTRY);
  else if (found == NULL || found->state == DP_CLAIM_RELEASED)
    want_claim (board, claim);
  else if (is_own (board, found) || entry_holder_is_gone (board, found))
    entry_claims_mark (board, claim, found);
  else
    {
      copy_record (&claim->record, found);
      claim->phase = CLAIM_FOREIGN;
      claim->unanswered = 0;
      claim->denied = FALSE;
      entry_holders_ask (board, claim);
    }
}

void
entry_claims_mark (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  if (found != &claim->record)
    copy_record (&claim->record, found);
  claim->record.state = DP_CLAIM_UNKNOWN;
  claim->phase = CLAIM_MARKING;
  board->store_due = TRUE;
}

/* The own record is confirmed: the sender may be sent, once. */
static void
hold_claim (DpEntryCore *board, Claim *claim)
{
  DpHandle handle = claim->handle;
  claim->phase = CLAIM_HELD;
  claim->verify = FALSE;
  claim->maybe_stored = FALSE;
  Request *request = entry_request (board, claim->sender);
  answer_waiters (board, claim, &claim->record);
  claim = find_claim (board, handle);
  if (claim == NULL || request == NULL)
    return;
  remove_waiter (claim, request->handle);
  entry_grants_begin (board, request);
}

/* Another process has marked the own claim as unknown: nothing is sent under it any more. */
static void
lose_claim (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  Request *request = entry_request (board, claim->sender);
  if (request != NULL && request->phase == PHASE_SENT)
    return;
  DpHandle handle = claim->handle;
  if (request != NULL)
    {
      entry_grants_withdraw (board, request, DP_REASON_RESUMED_AFTER_PAUSE);
      remove_waiter (claim, request->handle);
      request->claim = 0;
      claim->sender = 0;
      entry_answer_outcome (board, request, DP_REASON_RESUMED_AFTER_PAUSE, DP_OUTCOME_UNKNOWN,
                            0, "this VM was paused and its claim has been given up");
    }
  claim = find_claim (board, handle);
  if (claim != NULL)
    look_at_record (board, claim, found);
}

static void
check_wanted (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (ours && found->state == DP_CLAIM_CLAIMED)
    hold_claim (board, claim);
  else if (ours)
    lose_claim (board, claim, found);
  else if (found == NULL || found->state == DP_CLAIM_RELEASED)
    {
      Request *request = entry_request (board, claim->sender);
      if (found != NULL && request != NULL && find_conflict (request, found) != NULL)
        look_at_record (board, claim, found);
      else
        board->store_due = TRUE;
    }
  else
    look_at_record (board, claim, found);
}

static void
check_held (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (!ours || found->state != DP_CLAIM_CLAIMED)
    lose_claim (board, claim, found);
  else if (claim->verify)
    hold_claim (board, claim);
}

/* Compares the final state to be written with what is recorded. */
static void
check_closing (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (!ours)
    {
      /* A lost write may still take effect: then a released record is written over it. */
      gboolean free = found == NULL || found->state == DP_CLAIM_RELEASED;
      gboolean keep = free && (claim->maybe_stored || claim->record.state != DP_CLAIM_RELEASED);
      if (!keep)
        look_at_record (board, claim, found);
      return;
    }
  /* A state that others have been told is final, but for the answer itself. */
  gboolean may_write
    = found->state == DP_CLAIM_CLAIMED
      || (found->state == DP_CLAIM_UNKNOWN && claim->record.state == DP_CLAIM_DONE);
  if (!may_write)
    look_at_record (board, claim, found);
}

static void
on_record (DpEntryCore *board, Claim *claim, const Bucket *bucket, const DpClaimRecord *found)
{
  /* A lost write can take effect only as long as the version that it expects stands. */
  if (claim->maybe_stored && bucket->version != claim->lost_version)
    claim->maybe_stored = FALSE;
  switch (claim->phase)
    {
    case CLAIM_LOOKUP:
      look_at_record (board, claim, found);
      break;
    case CLAIM_WANTED:
      check_wanted (board, claim, found);
      break;
    case CLAIM_HELD:
      check_held (board, claim, found);
      break;
    case CLAIM_FOREIGN:
    case CLAIM_MARKING:
      entry_holders_on_record (board, claim, found);
      break;
    case CLAIM_CLOSING:
      check_closing (board, claim, found);
      break;
    }
}

void
entry_claims_look (DpEntryCore *board, Claim *claim, const DpClaimRecord *found)
{
  look_at_record (board, claim, found);
}

static gboolean
is_in (const Claim *claim, const Bucket *bucket)
{
  return claim->bucket.slot == bucket->id.slot && claim->bucket.index == bucket->id.index;
}

void
entry_claims_on_records (DpEntryCore *board, Bucket *bucket)
{
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = find_claim (board, h);
      if (is_in (claim, bucket))
        on_record (board, claim, bucket, entry_bucket_find (bucket, claim->key));
    }
}

static void
refuse_waiters (DpEntryCore *board, Claim *claim)
{
  DpHandle handle = claim->handle;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      Request *request = entry_request (board, g_array_index (waiters, DpHandle, i));
      if (request != NULL)
        entry_answer_outcome (board, request, DP_REASON_PLATFORM_UNAVAILABLE,
                              DP_OUTCOME_UNKNOWN, entry_bucket_retry_after (board), NULL);
    }
  g_array_unref (waiters);
  claim = find_claim (board, handle);
  if (claim != NULL && claim->phase != CLAIM_CLOSING)
    drop_claim (board, claim);
}

void
entry_claims_on_unavailable (DpEntryCore *board, Bucket *bucket)
{
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = find_claim (board, h);
      if (!is_in (claim, bucket))
        continue;
      gboolean undecided = claim->phase == CLAIM_LOOKUP || claim->phase == CLAIM_MARKING
                           || (claim->phase == CLAIM_WANTED && !claim->maybe_stored);
      if (undecided)
        refuse_waiters (board, claim);
    }
}

void
entry_claims_begin (DpEntryCore *board, Request *request, DpId key, DpBucketId bucket_id)
{
  request->phase = PHASE_CLAIMING;
  Claim *claim = entry_claim_by_key (board, key);
  gboolean is_new = claim == NULL;
  if (is_new && entry_bucket_retry_after (board) > 0)
    {
      entry_answer_outcome (board, request, DP_REASON_PLATFORM_UNAVAILABLE, DP_OUTCOME_UNKNOWN,
                            entry_bucket_retry_after (board), NULL);
      return;
    }
  if (is_new)
    claim = add_claim (board, key, bucket_id);
  request->claim = claim->handle;
  g_array_append_val (claim->waiters, request->handle);
  Bucket *bucket = entry_bucket (board, bucket_id);
  board->store_due = TRUE;
  gboolean settled = claim->phase == CLAIM_HELD || claim->phase == CLAIM_FOREIGN
                     || claim->phase == CLAIM_CLOSING;
  if (is_new && bucket->known && bucket->operation == BUCKET_IDLE)
    look_at_record (board, claim, entry_bucket_find (bucket, key));
  else if (settled)
    answer_waiters (board, claim, &claim->record);
}

static void
close_claim (DpEntryCore *board, Claim *claim, DpClaimState state)
{
  claim->phase = CLAIM_CLOSING;
  claim->record.state = state;
  claim->verify = FALSE;
  board->store_due = TRUE;
}

static void
record_answer (Claim *claim, const Request *request)
{
  claim->record.status = (guint)request->status;
  g_strlcpy (claim->record.content_type, request->content_type,
             sizeof claim->record.content_type);
  if (request->record != NULL)
    claim->record.body = g_bytes_new (request->record->data, request->record->len);
}

/* The request that was, or would have been, sent under the claim is over. */
static void
end_sender (DpEntryCore *board, Claim *claim, const Request *request, gboolean complete)
{
  claim->sender = 0;
  gboolean may_be_stored = claim->in_write || claim->maybe_stored;
  if (claim->phase == CLAIM_WANTED && !may_be_stored)
    {
      claim->phase = CLAIM_LOOKUP;
      board->store_due = TRUE;
      if (claim->waiters->len == 0)
        drop_claim (board, claim);
      else
        entry_bucket_reread (board, claim->bucket);
      return;
    }
  if (complete)
    record_answer (claim, request);
  DpClaimState state = request->ever_sent ? DP_CLAIM_UNKNOWN : DP_CLAIM_RELEASED;
  close_claim (board, claim, complete ? DP_CLAIM_DONE : state);
  if (claim->record.state != DP_CLAIM_RELEASED)
    answer_waiters (board, claim, &claim->record);
}

void
entry_claims_end (DpEntryCore *board, Request *request, gboolean complete)
{
  Claim *claim = find_claim (board, request->claim);
  request->claim = 0;
  if (claim == NULL)
    return;
  remove_waiter (claim, request->handle);
  if (claim->sender == request->handle)
    {
      end_sender (board, claim, request, complete);
      return;
    }
  gboolean idle = claim->phase == CLAIM_LOOKUP || claim->phase == CLAIM_FOREIGN
                  || claim->phase == CLAIM_MARKING;
  if (idle && claim->waiters->len == 0)
    drop_claim (board, claim);
}

gboolean
entry_claims_holds (DpEntryCore *board, const Request *request)
{
  const Claim *claim = find_claim (board, request->claim);
  return claim != NULL && claim->phase == CLAIM_HELD && claim->sender == request->handle;
}

gboolean
entry_claims_may_send (DpEntryCore *board, const Request *request)
{
  if (request->repeatable)
    return TRUE;
  const Claim *claim = find_claim (board, request->claim);
  return entry_claims_holds (board, request) && !claim->verify && !request->ever_sent;
}

gboolean
entry_claims_is_foreign (DpEntryCore *board, const Request *request)
{
  const Claim *claim = find_claim (board, request->claim);
  return claim != NULL && claim->sender != request->handle
         && (claim->phase == CLAIM_FOREIGN || claim->phase == CLAIM_HELD);
}

/* Unsent requests wait until their claim has been read again. */
static void
verify_claim (DpEntryCore *board, Claim *claim)
{
  Request *request = entry_request (board, claim->sender);
  if (request == NULL || request->phase == PHASE_SENT)
    return;
  entry_grants_withdraw (board, request, DP_REASON_RESUMED_AFTER_PAUSE);
  request->phase = PHASE_CLAIMING;
  claim->verify = TRUE;
}

void
entry_claims_after_pause (DpEntryCore *board)
{
  board->store_due = TRUE;
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = find_claim (board, h);
      if (claim->phase == CLAIM_HELD)
        verify_claim (board, claim);
      claim->unanswered = 0;
      claim->requested_at = board->now;
    }
}

guint
entry_claims_unwritten (DpEntryCore *board)
{
  guint count = 0;
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    if (find_claim (board, h)->phase == CLAIM_CLOSING)
      count++;
  return count;
}
