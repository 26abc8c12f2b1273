/* Reads and conditional writes of the platform's bucket objects. Each bucket has at most one
 * operation outstanding; claims that arrive meanwhile are batched into its next write. */
#include "core/entry_private.h"

/* Leaves a margin below the platform's limit of 1 MiB an object. */
#define BUCKET_BYTES_MAX ((gsize)896 * 1024)
/* Estimated size of a record without its body. */
#define RECORD_BYTES 160
/* Keys in one bucket. Without bodies they fit into BUCKET_BYTES_MAX, so that final states can
 * always be written. */
#define BUCKET_RECORDS_MAX 5000
/* Delay after a failed operation, doubled with each consecutive failure. */
#define BACKOFF_MIN (100 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (5 * DP_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 6
/* Consecutive failures after which the platform is considered unreachable. */
#define UNREACHABLE_FAILURES 2
/* How long a bucket is considered contended after a conflict, and the maximum age of its
 * content for a write in that time. */
#define CONTENTION_DURATION (2 * DP_USEC_PER_SEC)
#define CONTENDED_AGE_MAX (2 * DP_USEC_PER_MSEC)
/* Unused buckets are dropped from memory after this. */
#define IDLE_TIMEOUT (10 * DP_USEC_PER_SEC)

static GArray *
new_records (void)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (DpClaimRecord));
  g_array_set_clear_func (records, dp_claim_record_clear);
  return records;
}

static void
append_record (GArray *records, const DpClaimRecord *record)
{
  DpClaimRecord copy = *record;
  if (copy.body != NULL)
    g_bytes_ref (copy.body);
  g_array_append_val (records, copy);
}

static GArray *
copy_records (const GArray *from)
{
  GArray *records = new_records ();
  for (guint i = 0; from != NULL && i < from->len; i++)
    append_record (records, &g_array_index (from, DpClaimRecord, i));
  return records;
}

static DpClaimRecord *
find_record (GArray *records, DpId key)
{
  for (guint i = 0; i < records->len; i++)
    {
      DpClaimRecord *record = &g_array_index (records, DpClaimRecord, i);
      if (dp_id_equal (record->key, key))
        return record;
    }
  return NULL;
}

void
entry_bucket_free (gpointer data)
{
  Bucket *bucket = data;
  g_clear_pointer (&bucket->records, g_array_unref);
  g_clear_pointer (&bucket->writing, g_array_unref);
  g_free (bucket);
}

Bucket *
entry_bucket (DpEntryCore *core, DpBucketId id)
{
  Bucket *bucket = g_hash_table_lookup (core->buckets, &id);
  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->id = id;
      bucket->records = new_records ();
      g_hash_table_insert (core->buckets, &bucket->id, bucket);
    }
  bucket->used_at = core->now;
  return bucket;
}

const DpClaimRecord *
entry_bucket_find_record (const Bucket *bucket, DpId key)
{
  return find_record (bucket->records, key);
}

gboolean
entry_bucket_is_full (DpEntryCore *core, DpBucketId id)
{
  return entry_bucket (core, id)->records->len >= BUCKET_RECORDS_MAX;
}

void
entry_bucket_invalidate (DpEntryCore *core, DpBucketId id)
{
  Bucket *bucket = entry_bucket (core, id);
  bucket->is_valid = FALSE;
  /* An outstanding read may return content from before the change that prompted this. */
  bucket->stale = bucket->operation == BUCKET_READING;
  core->store_due = TRUE;
}

DpUsec
entry_bucket_retry_after (const DpEntryCore *core)
{
  return MAX (core->store_retry_at - core->now, 0);
}

static DpUsec
backoff (guint failures)
{
  guint doublings = MIN (failures - 1, BACKOFF_DOUBLINGS_MAX);
  return MIN (BACKOFF_MIN << doublings, BACKOFF_MAX);
}

static void
record_failure (DpEntryCore *core, Bucket *bucket)
{
  bucket->failures += 1;
  bucket->not_before = core->now + backoff (bucket->failures);
  core->store_failures += 1;
  if (core->store_failures >= UNREACHABLE_FAILURES)
    core->store_retry_at = core->now + backoff (core->store_failures);
}

static void
record_success (DpEntryCore *core, Bucket *bucket)
{
  bucket->failures = 0;
  bucket->not_before = 0;
  core->store_failures = 0;
  core->store_retry_at = 0;
}

static gboolean
claim_is_in (const Claim *claim, const Bucket *bucket)
{
  return claim->bucket.slot == bucket->id.slot && claim->bucket.index == bucket->id.index;
}

static gboolean
needs_write (const Claim *claim)
{
  return claim->phase == CLAIM_WANTED || claim->phase == CLAIM_MARKING
         || claim->phase == CLAIM_CLOSING;
}

/* Puts the claim's record into the new content. FALSE: the record there does not allow it. */
static gboolean
apply_claim (GArray *records, const Claim *claim)
{
  DpClaimRecord *found = find_record (records, claim->key);
  if (found == NULL)
    {
      if (claim->phase == CLAIM_MARKING)
        return FALSE;
      append_record (records, &claim->record);
      return TRUE;
    }
  gboolean same_attempt = dp_id_equal (found->attempt, claim->record.attempt);
  gboolean allowed;
  if (claim->phase == CLAIM_WANTED)
    allowed = found->state == DP_CLAIM_RELEASED;
  else if (claim->phase == CLAIM_MARKING)
    allowed = same_attempt && found->state == DP_CLAIM_CLAIMED;
  else
    allowed = same_attempt || found->state == DP_CLAIM_RELEASED;
  if (!allowed)
    return FALSE;
  dp_claim_record_clear (found);
  *found = claim->record;
  if (found->body != NULL)
    g_bytes_ref (found->body);
  return TRUE;
}

static gsize
record_bytes (const DpClaimRecord *record)
{
  return RECORD_BYTES + (record->body != NULL ? g_bytes_get_size (record->body) : 0);
}

/* Drops recorded bodies, oldest first, until the content fits into BUCKET_BYTES_MAX. */
static void
drop_old_bodies (GArray *records)
{
  gsize size = 0;
  for (guint i = 0; i < records->len; i++)
    size += record_bytes (&g_array_index (records, DpClaimRecord, i));
  for (guint i = 0; i < records->len && size > BUCKET_BYTES_MAX; i++)
    {
      DpClaimRecord *record = &g_array_index (records, DpClaimRecord, i);
      size -= record_bytes (record) - RECORD_BYTES;
      dp_claim_record_clear (record);
    }
}

static void
start_read (DpEntryCore *core, Bucket *bucket)
{
  bucket->operation = BUCKET_READING;
  bucket->stale = FALSE;
  entry_add_action (core, DP_ENTRY_ACTION_CLAIM_READ)->claim_read = bucket->id;
}

/* FALSE: there is nothing to write, as the content allows none of the pending changes. */
static gboolean
start_write (DpEntryCore *core, Bucket *bucket)
{
  bucket->write_due = FALSE;
  GArray *records = copy_records (bucket->records);
  guint changes = 0;
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = dp_table_get (core->claims, h);
      if (!claim_is_in (claim, bucket) || !needs_write (claim))
        continue;
      claim->in_write = apply_claim (records, claim);
      changes += claim->in_write ? 1 : 0;
    }
  if (changes == 0)
    {
      g_array_unref (records);
      return FALSE;
    }
  drop_old_bodies (records);
  bucket->operation = BUCKET_WRITING;
  bucket->stale = FALSE;
  bucket->writing = records;
  DpClaimWrite *write = &entry_add_action (core, DP_ENTRY_ACTION_CLAIM_WRITE)->claim_write;
  write->bucket = bucket->id;
  write->expected_version = bucket->version;
  write->records = copy_records (records);
  entry_count (core, "dogwoodplank_claim_writes_total", NULL, NULL);
  dp_counters_add (core->options.counters, "dogwoodplank_claim_changes_total", NULL, NULL,
                   changes);
  return TRUE;
}

/* Operations that the bucket's claims need. */
typedef struct Needs
{
  gboolean read;
  gboolean write;
  gboolean urgent; /* a caller is waiting for its claim to be written */
} Needs;

static Needs
collect_needs (DpEntryCore *core, const Bucket *bucket)
{
  Needs needs = { 0 };
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      const Claim *claim = dp_table_get (core->claims, h);
      if (!claim_is_in (claim, bucket))
        continue;
      needs.read = needs.read || !bucket->is_valid;
      needs.write = needs.write || needs_write (claim);
      needs.urgent = needs.urgent || claim->phase == CLAIM_WANTED;
    }
  return needs;
}

/* Updates the time since which claims have been waiting for the bucket's next write. */
static void
update_wait_start (DpEntryCore *core, Bucket *bucket, gboolean urgent)
{
  if (!urgent)
    bucket->claims_waiting_since = 0;
  else if (bucket->claims_waiting_since == 0)
    bucket->claims_waiting_since = core->now;
}

/* Starts all due reads, and the writes that already have a pace token. Returns the bucket to
 * write next, or NULL: claims go before final states, then the longest wait first. */
static Bucket *
select_write (DpEntryCore *core, gboolean *urgent)
{
  Bucket *best = NULL;
  *urgent = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Bucket *bucket = value;
      if (bucket->operation != BUCKET_IDLE || core->now < bucket->not_before)
        continue;
      Needs needs = collect_needs (core, bucket);
      update_wait_start (core, bucket, needs.urgent);
      if (needs.read)
        start_read (core, bucket);
      else if (bucket->write_due)
        start_write (core, bucket);
      if (bucket->operation != BUCKET_IDLE || !needs.write || (*urgent && !needs.urgent))
        continue;
      if (best != NULL && needs.urgent == *urgent
          && bucket->claims_waiting_since >= best->claims_waiting_since)
        continue;
      best = bucket;
      *urgent = needs.urgent;
    }
  return best;
}

/* In a contended bucket a write based on old content would only conflict again. */
static gboolean
is_fresh_enough (const DpEntryCore *core, const Bucket *bucket)
{
  return core->now >= bucket->contended_until
         || core->now - bucket->confirmed_at <= CONTENDED_AGE_MAX;
}

void
entry_buckets_start_operations (DpEntryCore *core)
{
  if (!core->store_due)
    return;
  core->store_due = FALSE;
  gboolean urgent;
  for (Bucket *bucket = select_write (core, &urgent); bucket != NULL;
       bucket = select_write (core, &urgent))
    {
      if (!entry_write_rate_allows (core, urgent))
        return; /* retried on the next tick */
      entry_write_rate_spend (core);
      bucket->write_due = TRUE;
      if (!is_fresh_enough (core, bucket))
        start_read (core, bucket);
      else if (!start_write (core, bucket))
        return;
    }
}

static void
count_reply (DpEntryCore *core, const DpClaimReply *reply)
{
  static const char *const names[] = {
    [DP_STORE_OK] = "ok",
    [DP_STORE_ABSENT] = "absent",
    [DP_STORE_CONFLICT] = "conflict",
    [DP_STORE_UNAVAILABLE] = "unavailable",
    [DP_STORE_LOST] = "lost",
    [DP_STORE_BROKEN] = "broken",
  };
  entry_count (core,
               reply->is_write ? "dogwoodplank_claim_write_results_total"
                               : "dogwoodplank_claim_read_results_total",
               "result", names[reply->result]);
}

/* Ends the outstanding write and returns its content. If its result was lost, its claims are
 * flagged as possibly stored. */
static GArray *
end_write (DpEntryCore *core, Bucket *bucket, gboolean lost)
{
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    {
      Claim *claim = dp_table_get (core->claims, h);
      if (!claim_is_in (claim, bucket) || !claim->in_write)
        continue;
      claim->in_write = FALSE;
      if (!lost)
        continue;
      claim->maybe_stored = TRUE;
      claim->lost_version = bucket->version;
    }
  return g_steal_pointer (&bucket->writing);
}

static void
set_content (DpEntryCore *core, Bucket *bucket, GArray *records, guint64 version)
{
  g_array_unref (bucket->records);
  bucket->records = records;
  bucket->version = version;
  bucket->is_valid = TRUE;
  bucket->confirmed_at = core->now;
  entry_claims_on_records (core, bucket);
}

static void
on_write_reply (DpEntryCore *core, Bucket *bucket, const DpClaimReply *reply)
{
  DpStoreResult result = reply->result;
  if (result == DP_STORE_OK && bucket->stale)
    result = DP_STORE_LOST; /* confirmed before a pause: the content may be outdated by now */
  gboolean lost
    = result != DP_STORE_OK && result != DP_STORE_CONFLICT && result != DP_STORE_UNAVAILABLE;
  GArray *written = end_write (core, bucket, lost);
  if (result == DP_STORE_OK)
    {
      record_success (core, bucket);
      set_content (core, bucket, written, reply->version);
      return;
    }
  g_array_unref (written);
  bucket->is_valid = FALSE;
  if (result == DP_STORE_CONFLICT)
    {
      record_success (core, bucket);
      bucket->contended_until = core->now + CONTENTION_DURATION;
      /* Retried right after the read, even if that overdraws the pace tokens: by the time one
       * is free the content would be outdated again. */
      bucket->write_due = TRUE;
      entry_write_rate_spend (core);
      return;
    }
  record_failure (core, bucket);
  if (result == DP_STORE_UNAVAILABLE)
    entry_claims_on_unavailable (core, bucket);
}

static void
on_read_reply (DpEntryCore *core, Bucket *bucket, const DpClaimReply *reply)
{
  if (reply->result == DP_STORE_OK || reply->result == DP_STORE_ABSENT)
    {
      record_success (core, bucket);
      if (bucket->stale)
        return;
      gboolean present = reply->result == DP_STORE_OK;
      GArray *records = present ? copy_records (reply->records) : new_records ();
      set_content (core, bucket, records, present ? reply->version : 0);
      return;
    }
  record_failure (core, bucket);
  entry_claims_on_unavailable (core, bucket);
}

void
entry_buckets_on_reply (DpEntryCore *core, const DpClaimReply *reply)
{
  Bucket *bucket = g_hash_table_lookup (core->buckets, &reply->bucket);
  BucketOperation expected = reply->is_write ? BUCKET_WRITING : BUCKET_READING;
  if (bucket == NULL || bucket->operation != expected)
    {
      entry_count (core, "dogwoodplank_late_claim_replies_total", NULL, NULL);
      return;
    }
  count_reply (core, reply);
  bucket->operation = BUCKET_IDLE;
  bucket->used_at = core->now;
  core->store_due = TRUE;
  if (reply->is_write)
    on_write_reply (core, bucket, reply);
  else
    on_read_reply (core, bucket, reply);
}

void
entry_buckets_after_pause (DpEntryCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Bucket *bucket = value;
      bucket->is_valid = FALSE;
      bucket->stale = bucket->operation != BUCKET_IDLE;
    }
}

static gboolean
has_claims (DpEntryCore *core, const Bucket *bucket)
{
  for (DpHandle h = dp_table_next (core->claims, 0); h != 0;
       h = dp_table_next (core->claims, h))
    if (claim_is_in (dp_table_get (core->claims, h), bucket))
      return TRUE;
  return FALSE;
}

void
entry_buckets_tick (DpEntryCore *core)
{
  /* Some operation's backoff may have expired. */
  core->store_due = TRUE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Bucket *bucket = value;
      if (bucket->operation == BUCKET_IDLE && core->now - bucket->used_at > IDLE_TIMEOUT
          && !has_claims (core, bucket))
        g_hash_table_iter_remove (&iter);
    }
}
