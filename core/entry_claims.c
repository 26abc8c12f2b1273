/* Claims: a state machine for each key that this process is looking up, holding or closing.
 *
 * Transitions depend only on the stored record, as seen by a read or by a confirmed write.
 * Whether a write was stored, lost or superseded, entry_claims_on_records() compares the claim
 * with the record and continues from there.
 */
#include "core/entry_private.h"

static Claim *
find_claim (DpEntryCore *core, DpHandle handle)
{
  return handle != 0 ? dp_table_get (core->claims, handle) : NULL;
}

Claim *
entry_claim_by_key (DpEntryCore *core, DpId key)
{
  DpHandle *handle = g_hash_table_lookup (core->claim_index, &key);
  return handle != NULL ? find_claim (core, *handle) : NULL;
}

static Claim *
add_claim (DpEntryCore *core, DpId key, DpBucketId bucket)
{
  void *row;
  DpHandle handle = dp_table_add (core->claims, &row);
  Claim *claim = row;
  claim->handle = handle;
  claim->key = key;
  claim->bucket = bucket;
  claim->phase = CLAIM_LOOKUP;
  claim->waiters = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  g_hash_table_insert (core->claim_index, g_memdup2 (&key, sizeof key),
                       g_memdup2 (&handle, sizeof handle));
  return claim;
}

static void
remove_claim (DpEntryCore *core, Claim *claim)
{
  DpId key = claim->key;
  g_hash_table_remove (core->claim_index, &key);
  dp_table_remove (core->claims, claim->handle);
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
is_held_here (const DpEntryCore *core, const DpClaimRecord *record)
{
  return record->holder == core->options.vm
         && record->holder_incarnation == core->options.incarnation;
}

/* Describes how the request differs from the operation that its key is bound to; NULL: it does
 * not. */
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

/* Answers the waiter if the record determines the answer. FALSE: it has to keep waiting. */
static gboolean
answer_waiter (DpEntryCore *core, Request *request, const DpClaimRecord *record)
{
  const char *conflict = find_conflict (request, record);
  if (conflict != NULL)
    {
      /* A key stays bound to its first operation: this one cannot have run with it. */
      entry_answer_outcome (core, request, DP_REASON_KEY_CONFLICT, DP_OUTCOME_NOT_RUN, 0,
                            conflict);
      return TRUE;
    }
  switch (record->state)
    {
    case DP_CLAIM_DONE:
      entry_answer_replay (core, request, record);
      return TRUE;
    case DP_CLAIM_UNKNOWN:
      entry_answer_outcome (
        core, request,
        entry_holder_is_gone (core, record) ? DP_REASON_HOLDER_GONE : DP_REASON_OUTCOME_UNKNOWN,
        DP_OUTCOME_UNKNOWN, 0, "an earlier request under this key may have run");
      return TRUE;
    case DP_CLAIM_RELEASED:
      if (!request->outcome_query)
        return FALSE;
      entry_answer_outcome (core, request, DP_REASON_RELEASED, DP_OUTCOME_NOT_RUN, 0,
                            "the request under this key was not run");
      return TRUE;
    case DP_CLAIM_CLAIMED:
      return FALSE;
    }
  return FALSE;
}

/* Answers the waiters whose answer `record` determines, except the sender. Answering removes a
 * request from `waiters`, so this iterates over a copy. May remove the claim. */
static void
answer_waiters (DpEntryCore *core, const Claim *claim, const DpClaimRecord *record)
{
  DpClaimRecord copy = { 0 };
  copy_record (&copy, record);
  DpHandle sender = claim->sender;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      DpHandle handle = g_array_index (waiters, DpHandle, i);
      Request *request = entry_request (core, handle);
      if (request != NULL && handle != sender)
        answer_waiter (core, request, &copy);
    }
  g_array_unref (waiters);
  dp_claim_record_clear (&copy);
}

void
entry_claims_fail_waiters (DpEntryCore *core, Claim *claim, DpReason reason)
{
  DpHandle sender = claim->sender;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      DpHandle handle = g_array_index (waiters, DpHandle, i);
      Request *request = entry_request (core, handle);
      if (request != NULL && handle != sender)
        entry_answer_outcome (core, request, reason, DP_OUTCOME_UNKNOWN, 0, NULL);
    }
  g_array_unref (waiters);
}

/* Answers the outcome queries for a key that has no record. */
static void
answer_outcome_queries (DpEntryCore *core, const Claim *claim)
{
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      Request *request = entry_request (core, g_array_index (waiters, DpHandle, i));
      if (request != NULL && request->outcome_query)
        entry_answer_outcome (core, request, DP_REASON_NO_RECORD, DP_OUTCOME_UNKNOWN, 0,
                              "no request under this key has been recorded yet");
    }
  g_array_unref (waiters);
}

/* The first waiter that is not an outcome query, or NULL. */
static Request *
find_next_sender (DpEntryCore *core, const Claim *claim)
{
  for (guint i = 0; i < claim->waiters->len; i++)
    {
      Request *request = entry_request (core, g_array_index (claim->waiters, DpHandle, i));
      if (request != NULL && !request->outcome_query)
        return request;
    }
  return NULL;
}

/* Starts claiming the free key for the first waiter that can be sent. */
static void
start_claim (DpEntryCore *core, Claim *claim)
{
  Request *request = find_next_sender (core, claim);
  if (request == NULL)
    {
      remove_claim (core, claim);
      return;
    }
  dp_claim_record_clear (&claim->record);
  claim->record = (DpClaimRecord){
    .key = claim->key,
    .body_hash = request->body_hash,
    .path_hash = request->path_hash,
    .attempt = entry_make_attempt_id (core),
    .holder = core->options.vm,
    .holder_incarnation = core->options.incarnation,
    .state = DP_CLAIM_CLAIMED,
  };
  claim->sender = request->handle;
  claim->phase = CLAIM_WANTED;
  claim->maybe_stored = FALSE;
  core->store_due = TRUE;
}

/* Continues from a record that this process does not hold; NULL: there is none. */
static void
process_record (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  DpHandle handle = claim->handle;
  claim->phase = CLAIM_LOOKUP;
  claim->sender = 0;
  claim->verify = FALSE;
  claim->maybe_stored = FALSE;
  if (found == NULL)
    answer_outcome_queries (core, claim);
  else
    answer_waiters (core, claim, found);
  claim = find_claim (core, handle);
  if (claim == NULL)
    return;
  if (claim->waiters->len == 0)
    remove_claim (core, claim);
  else if (found == NULL && entry_bucket_is_full (core, claim->bucket))
    entry_claims_fail_waiters (core, claim, DP_REASON_OVERLOADED_ENTRY);
  else if (found == NULL || found->state == DP_CLAIM_RELEASED)
    start_claim (core, claim);
  else if (is_held_here (core, found) || entry_holder_is_gone (core, found))
    entry_claims_mark_unknown (core, claim, found);
  else
    {
      copy_record (&claim->record, found);
      claim->phase = CLAIM_FOREIGN;
      claim->unanswered = 0;
      claim->unknown_to_holder = FALSE;
      entry_holders_query (core, claim);
    }
}

void
entry_claims_mark_unknown (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  if (found != &claim->record)
    copy_record (&claim->record, found);
  claim->record.state = DP_CLAIM_UNKNOWN;
  claim->phase = CLAIM_MARKING;
  core->store_due = TRUE;
}

/* This process's record is confirmed: the sender may be sent once. */
static void
on_claim_confirmed (DpEntryCore *core, Claim *claim)
{
  DpHandle handle = claim->handle;
  claim->phase = CLAIM_HELD;
  claim->verify = FALSE;
  claim->maybe_stored = FALSE;
  Request *request = entry_request (core, claim->sender);
  answer_waiters (core, claim, &claim->record);
  claim = find_claim (core, handle);
  if (claim == NULL || request == NULL)
    return;
  remove_waiter (claim, request->handle);
  entry_grants_begin (core, request);
}

/* The claim is no longer this process's, as another process marked it as unknown: an unsent
 * sender is answered and not sent. */
static void
on_claim_lost (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  Request *request = entry_request (core, claim->sender);
  if (request != NULL && request->phase == PHASE_SENT)
    return;
  DpHandle handle = claim->handle;
  if (request != NULL)
    {
      entry_grants_withdraw (core, request, DP_REASON_RESUMED_AFTER_PAUSE);
      remove_waiter (claim, request->handle);
      request->claim = 0;
      claim->sender = 0;
      entry_answer_outcome (core, request, DP_REASON_RESUMED_AFTER_PAUSE, DP_OUTCOME_UNKNOWN, 0,
                            "this VM was paused and its claim has been given up");
    }
  claim = find_claim (core, handle);
  if (claim != NULL)
    process_record (core, claim, found);
}

static void
check_wanted (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (ours && found->state == DP_CLAIM_CLAIMED)
    on_claim_confirmed (core, claim);
  else if (ours)
    on_claim_lost (core, claim, found);
  else if (found == NULL || found->state == DP_CLAIM_RELEASED)
    {
      Request *request = entry_request (core, claim->sender);
      if (found != NULL && request != NULL && find_conflict (request, found) != NULL)
        process_record (core, claim, found);
      else
        core->store_due = TRUE;
    }
  else
    process_record (core, claim, found);
}

static void
check_held (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (!ours || found->state != DP_CLAIM_CLAIMED)
    on_claim_lost (core, claim, found);
  else if (claim->verify)
    on_claim_confirmed (core, claim);
}

/* Decides from the record whether the final state still has to be written. */
static void
check_closing (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  gboolean ours = found != NULL && dp_id_equal (found->attempt, claim->record.attempt);
  if (!ours)
    {
      /* A lost write may still be stored later; writing a released record prevents that. */
      gboolean free = found == NULL || found->state == DP_CLAIM_RELEASED;
      gboolean keep = free && (claim->maybe_stored || claim->record.state != DP_CLAIM_RELEASED);
      if (!keep)
        process_record (core, claim, found);
      return;
    }
  /* Other processes may have reported the recorded state, so it is final. Only UNKNOWN may
   * still become DONE. */
  gboolean may_write
    = found->state == DP_CLAIM_CLAIMED
      || (found->state == DP_CLAIM_UNKNOWN && claim->record.state == DP_CLAIM_DONE);
  if (!may_write)
    process_record (core, claim, found);
}

static void
on_record (DpEntryCore *core, Claim *claim, const Bucket *bucket, const DpClaimRecord *found)
{
  /* A lost write can only be stored while the object still has the version that it expects. */
  if (claim->maybe_stored && bucket->version != claim->lost_version)
    claim->maybe_stored = FALSE;
  switch (claim->phase)
    {
    case CLAIM_LOOKUP:
      process_record (core, claim, found);
      break;
    case CLAIM_WANTED:
      check_wanted (core, claim, found);
      break;
    case CLAIM_HELD:
      check_held (core, claim, found);
      break;
    case CLAIM_FOREIGN:
    case CLAIM_MARKING:
      entry_holders_on_record (core, claim, found);
      break;
    case CLAIM_CLOSING:
      check_closing (core, claim, found);
      break;
    }
}

void
entry_claims_process_record (DpEntryCore *core, Claim *claim, const DpClaimRecord *found)
{
  process_record (core, claim, found);
}

static gboolean
claim_is_in (const Claim *claim, const Bucket *bucket)
{
  return claim->bucket.slot == bucket->id.slot && claim->bucket.index == bucket->id.index;
}

void
entry_claims_on_records (DpEntryCore *core, Bucket *bucket)
{
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = find_claim (core, h);
      if (claim_is_in (claim, bucket))
        on_record (core, claim, bucket, entry_bucket_find_record (bucket, claim->key));
    }
}

static void
refuse_waiters (DpEntryCore *core, Claim *claim)
{
  DpHandle handle = claim->handle;
  GArray *waiters = g_array_copy (claim->waiters);
  for (guint i = 0; i < waiters->len; i++)
    {
      Request *request = entry_request (core, g_array_index (waiters, DpHandle, i));
      if (request != NULL)
        entry_answer_outcome (core, request, DP_REASON_PLATFORM_UNAVAILABLE, DP_OUTCOME_UNKNOWN,
                              entry_bucket_retry_after (core), NULL);
    }
  g_array_unref (waiters);
  claim = find_claim (core, handle);
  if (claim != NULL && claim->phase != CLAIM_CLOSING)
    remove_claim (core, claim);
}

void
entry_claims_on_unavailable (DpEntryCore *core, Bucket *bucket)
{
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = find_claim (core, h);
      if (!claim_is_in (claim, bucket))
        continue;
      gboolean undecided = claim->phase == CLAIM_LOOKUP || claim->phase == CLAIM_MARKING
                           || (claim->phase == CLAIM_WANTED && !claim->maybe_stored);
      if (undecided)
        refuse_waiters (core, claim);
    }
}

void
entry_claims_add_request (DpEntryCore *core, Request *request, DpId key, DpBucketId bucket_id)
{
  request->phase = PHASE_CLAIMING;
  Claim *claim = entry_claim_by_key (core, key);
  gboolean is_new = claim == NULL;
  if (is_new && entry_bucket_retry_after (core) > 0)
    {
      entry_answer_outcome (core, request, DP_REASON_PLATFORM_UNAVAILABLE, DP_OUTCOME_UNKNOWN,
                            entry_bucket_retry_after (core), NULL);
      return;
    }
  if (is_new)
    claim = add_claim (core, key, bucket_id);
  request->claim = claim->handle;
  g_array_append_val (claim->waiters, request->handle);
  Bucket *bucket = entry_bucket (core, bucket_id);
  core->store_due = TRUE;
  gboolean answerable = claim->phase == CLAIM_HELD || claim->phase == CLAIM_FOREIGN
                        || claim->phase == CLAIM_CLOSING;
  if (is_new && bucket->is_valid && bucket->operation == BUCKET_IDLE)
    process_record (core, claim, entry_bucket_find_record (bucket, key));
  else if (answerable)
    answer_waiters (core, claim, &claim->record);
}

static void
close_claim (DpEntryCore *core, Claim *claim, DpClaimState state)
{
  claim->phase = CLAIM_CLOSING;
  claim->record.state = state;
  claim->verify = FALSE;
  core->store_due = TRUE;
}

static void
store_answer (Claim *claim, const Request *request)
{
  claim->record.status = (guint)request->status;
  g_strlcpy (claim->record.content_type, request->content_type,
             sizeof claim->record.content_type);
  if (request->record != NULL)
    claim->record.body = g_bytes_new (request->record->data, request->record->len);
}

/* Handles the end of the claim's sender, whether or not it was sent. */
static void
finish_sender (DpEntryCore *core, Claim *claim, const Request *request, gboolean complete)
{
  claim->sender = 0;
  gboolean may_be_stored = claim->in_write || claim->maybe_stored;
  if (claim->phase == CLAIM_WANTED && !may_be_stored)
    {
      claim->phase = CLAIM_LOOKUP;
      core->store_due = TRUE;
      if (claim->waiters->len == 0)
        remove_claim (core, claim);
      else
        entry_bucket_invalidate (core, claim->bucket);
      return;
    }
  if (complete)
    store_answer (claim, request);
  DpClaimState state = request->ever_sent ? DP_CLAIM_UNKNOWN : DP_CLAIM_RELEASED;
  close_claim (core, claim, complete ? DP_CLAIM_DONE : state);
  if (claim->record.state != DP_CLAIM_RELEASED)
    answer_waiters (core, claim, &claim->record);
}

void
entry_claims_finish_request (DpEntryCore *core, Request *request, gboolean complete)
{
  Claim *claim = find_claim (core, request->claim);
  request->claim = 0;
  if (claim == NULL)
    return;
  remove_waiter (claim, request->handle);
  if (claim->sender == request->handle)
    {
      finish_sender (core, claim, request, complete);
      return;
    }
  gboolean idle = claim->phase == CLAIM_LOOKUP || claim->phase == CLAIM_FOREIGN
                  || claim->phase == CLAIM_MARKING;
  if (idle && claim->waiters->len == 0)
    remove_claim (core, claim);
}

gboolean
entry_claims_is_holder (DpEntryCore *core, const Request *request)
{
  const Claim *claim = find_claim (core, request->claim);
  return claim != NULL && claim->phase == CLAIM_HELD && claim->sender == request->handle;
}

gboolean
entry_claims_may_send (DpEntryCore *core, const Request *request)
{
  if (request->repeatable)
    return TRUE;
  const Claim *claim = find_claim (core, request->claim);
  return entry_claims_is_holder (core, request) && !claim->verify && !request->ever_sent;
}

gboolean
entry_claims_waits_for_other (DpEntryCore *core, const Request *request)
{
  const Claim *claim = find_claim (core, request->claim);
  return claim != NULL && claim->sender != request->handle
         && (claim->phase == CLAIM_FOREIGN || claim->phase == CLAIM_HELD);
}

/* Holds back an unsent request until its claim has been read again. */
static void
verify_claim (DpEntryCore *core, Claim *claim)
{
  Request *request = entry_request (core, claim->sender);
  if (request == NULL || request->phase == PHASE_SENT)
    return;
  entry_grants_withdraw (core, request, DP_REASON_RESUMED_AFTER_PAUSE);
  request->phase = PHASE_CLAIMING;
  claim->verify = TRUE;
}

void
entry_claims_after_pause (DpEntryCore *core)
{
  core->store_due = TRUE;
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = find_claim (core, h);
      if (claim->phase == CLAIM_HELD)
        verify_claim (core, claim);
      claim->unanswered = 0;
      claim->requested_at = core->now;
    }
}

guint
entry_claims_count_unwritten (DpEntryCore *core)
{
  guint count = 0;
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    if (find_claim (core, h)->phase == CLAIM_CLOSING)
      count++;
  return count;
}
