/* Operations on the platform's bucket objects: at most one of a bucket is outstanding, and all
 * claims that wait meanwhile go into the next write together. */
#include "core/entry_private.h"

/* A bucket object is kept below the platform's limit of 1 MiB. */
#define BUCKET_BYTES_MAX ((gsize)896 * 1024)
/* Estimated bytes of one record without its body. */
#define RECORD_BYTES 160
/* Keys in one bucket: with all bodies left out they stay below BUCKET_BYTES_MAX, so that final
 * states can always be written. */
#define BUCKET_RECORDS_MAX 5000
/* Pause after a failed operation, doubled with each further one. */
#define BACKOFF_MIN (100 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (5 * DP_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 6
/* Failures in a row after which the platform counts as unreachable. */
#define UNREACHABLE_FAILURES 2
/* How long a bucket counts as contended after a conflict, and how old its content may be for a
 * write then. */
#define CONTENDED_TIME (2 * DP_USEC_PER_SEC)
#define FRESH_TIME (2 * DP_USEC_PER_MSEC)
/* Buckets are forgotten when nothing of them was used for this long. */
#define IDLE_TIME (10 * DP_USEC_PER_SEC)

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
entry_bucket (DpEntryCore *board, DpBucketId id)
{
  Bucket *bucket = g_hash_table_lookup (board->buckets, &id);
  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->id = id;
      bucket->records = new_records ();
      g_hash_table_insert (board->buckets, &bucket->id, bucket);
    }
  bucket->used_at = board->now;
  return bucket;
}

const DpClaimRecord *
entry_bucket_find (const Bucket *bucket, DpId key)
{
  return find_record (bucket->records, key);
}

gboolean
entry_bucket_is_full (DpEntryCore *board, DpBucketId id)
{
  return entry_bucket (board, id)->records->len >= BUCKET_RECORDS_MAX;
}

void
entry_bucket_reread (DpEntryCore *board, DpBucketId id)
{
  Bucket *bucket = entry_bucket (board, id);
  bucket->known = FALSE;
  /* What an operation on its way brings may be older than the reason to read again. */
  bucket->stale = bucket->operation == BUCKET_READING;
  board->store_due = TRUE;
}

DpUsec
entry_bucket_retry_after (const DpEntryCore *board)
{
  return MAX (board->store_retry_at - board->now, 0);
}

static DpUsec
backoff (guint failures)
{
  guint doublings = MIN (failures - 1, BACKOFF_DOUBLINGS_MAX);
  return MIN (BACKOFF_MIN << doublings, BACKOFF_MAX);
}

static void
note_failure (DpEntryCore *board, Bucket *bucket)
{
  bucket->failures += 1;
  bucket->not_before = board->now + backoff (bucket->failures);
  board->store_failures += 1;
  if (board->store_failures >= UNREACHABLE_FAILURES)
    board->store_retry_at = board->now + backoff (board->store_failures);
}

static void
note_success (DpEntryCore *board, Bucket *bucket)
{
  bucket->failures = 0;
  bucket->not_before = 0;
  board->store_failures = 0;
  board->store_retry_at = 0;
}

static gboolean
is_in (const Claim *claim, const Bucket *bucket)
{
  return claim->bucket.slot == bucket->id.slot && claim->bucket.index == bucket->id.index;
}

static gboolean
wants_write (const Claim *claim)
{
  return claim->phase == CLAIM_WANTED || claim->phase == CLAIM_MARKING
         || claim->phase == CLAIM_CLOSING;
}

/* Puts the claim's wanted record into the content, if the record there allows it. */
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

/* Leaves out recorded bodies, the oldest first, until the content fits. */
static void
trim_records (GArray *records)
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
start_read (DpEntryCore *board, Bucket *bucket)
{
  bucket->operation = BUCKET_READING;
  bucket->stale = FALSE;
  entry_add_action (board, DP_ENTRY_ACTION_CLAIM_READ)->claim_read = bucket->id;
}

/* FALSE: the content allows none of the changes wanted. */
static gboolean
start_write (DpEntryCore *board, Bucket *bucket)
{
  bucket->write_due = FALSE;
  GArray *records = copy_records (bucket->records);
  guint changes = 0;
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = dp_table_get (board->claims, h);
      if (!is_in (claim, bucket) || !wants_write (claim))
        continue;
      claim->in_write = apply_claim (records, claim);
      changes += claim->in_write ? 1 : 0;
    }
  if (changes == 0)
    {
      g_array_unref (records);
      return FALSE;
    }
  trim_records (records);
  bucket->operation = BUCKET_WRITING;
  bucket->stale = FALSE;
  bucket->writing = records;
  DpClaimWrite *write = &entry_add_action (board, DP_ENTRY_ACTION_CLAIM_WRITE)->claim_write;
  write->bucket = bucket->id;
  write->expected_version = bucket->version;
  write->records = copy_records (records);
  entry_count (board, "dogwoodplank_claim_writes_total", NULL, NULL);
  dp_counters_add (board->options.counters, "dogwoodplank_claim_changes_total", NULL, NULL,
                   changes);
  return TRUE;
}

/* What the bucket's claims need. */
typedef struct Needs
{
  gboolean read;
  gboolean write;
  gboolean urgent; /* a caller waits for a claim to be written */
} Needs;

static Needs
find_needs (DpEntryCore *board, const Bucket *bucket)
{
  Needs needs = { 0 };
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      const Claim *claim = dp_table_get (board->claims, h);
      if (!is_in (claim, bucket))
        continue;
      needs.read = needs.read || !bucket->known;
      needs.write = needs.write || wants_write (claim);
      needs.urgent = needs.urgent || claim->phase == CLAIM_WANTED;
    }
  return needs;
}

/* Notes since when claims wait for the bucket's next write. */
static void
note_wait (DpEntryCore *board, Bucket *bucket, gboolean urgent)
{
  if (!urgent)
    bucket->claims_waiting_since = 0;
  else if (bucket->claims_waiting_since == 0)
    bucket->claims_waiting_since = board->now;
}

/* Starts the reads that are due, and the writes that were paid for. Returns the bucket whose
 * write is due most, or NULL: claims before final states, the longest wait first. */
static Bucket *
find_write (DpEntryCore *board, gboolean *urgent)
{
  Bucket *best = NULL;
  *urgent = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, board->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Bucket *bucket = value;
      if (bucket->operation != BUCKET_IDLE || board->now < bucket->not_before)
        continue;
      Needs needs = find_needs (board, bucket);
      note_wait (board, bucket, needs.urgent);
      if (needs.read)
        start_read (board, bucket);
      else if (bucket->write_due)
        start_write (board, bucket);
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

/* A write of old content to a bucket that others write too would only conflict. */
static gboolean
is_fresh (const DpEntryCore *board, const Bucket *bucket)
{
  return board->now >= bucket->contended_until || board->now - bucket->known_at <= FRESH_TIME;
}

void
entry_buckets_run (DpEntryCore *board)
{
  if (!board->store_due)
    return;
  board->store_due = FALSE;
  gboolean urgent;
  for (Bucket *bucket = find_write (board, &urgent); bucket != NULL;
       bucket = find_write (board, &urgent))
    {
      if (!entry_write_rate_allows (board, urgent))
        return; /* the next tick tries again */
      entry_write_rate_spend (board);
      bucket->write_due = TRUE;
      if (!is_fresh (board, bucket))
        start_read (board, bucket);
      else if (!start_write (board, bucket))
        return;
    }
}

static void
count_reply (DpEntryCore *board, const DpClaimReply *reply)
{
  static const char *const names[] = {
    [DP_STORE_OK] = "ok",
    [DP_STORE_ABSENT] = "absent",
    [DP_STORE_CONFLICT] = "conflict",
    [DP_STORE_UNAVAILABLE] = "unavailable",
    [DP_STORE_LOST] = "lost",
    [DP_STORE_BROKEN] = "broken",
  };
  entry_count (board,
               reply->is_write ? "dogwoodplank_claim_write_results_total"
                               : "dogwoodplank_claim_read_results_total",
               "result", names[reply->result]);
}

/* Ends the outstanding write; remembers which claims it may have stored. */
static GArray *
end_write (DpEntryCore *board, Bucket *bucket, gboolean lost)
{
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    {
      Claim *claim = dp_table_get (board->claims, h);
      if (!is_in (claim, bucket) || !claim->in_write)
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
take_content (DpEntryCore *board, Bucket *bucket, GArray *records, guint64 version)
{
  g_array_unref (bucket->records);
  bucket->records = records;
  bucket->version = version;
  bucket->known = TRUE;
  bucket->known_at = board->now;
  entry_claims_on_records (board, bucket);
}

static void
on_write (DpEntryCore *board, Bucket *bucket, const DpClaimReply *reply)
{
  DpStoreResult result = reply->result;
  if (result == DP_STORE_OK && bucket->stale)
    result = DP_STORE_LOST; /* confirmed long ago: read again before it is used */
  gboolean lost
    = result != DP_STORE_OK && result != DP_STORE_CONFLICT && result != DP_STORE_UNAVAILABLE;
  GArray *written = end_write (board, bucket, lost);
  if (result == DP_STORE_OK)
    {
      note_success (board, bucket);
      take_content (board, bucket, written, reply->version);
      return;
    }
  g_array_unref (written);
  bucket->known = FALSE;
  if (result == DP_STORE_CONFLICT)
    {
      note_success (board, bucket);
      bucket->contended_until = board->now + CONTENDED_TIME;
      /* Tried again at once, on account: waiting would only make the content older. */
      bucket->write_due = TRUE;
      entry_write_rate_spend (board);
      return;
    }
  note_failure (board, bucket);
  if (result == DP_STORE_UNAVAILABLE)
    entry_claims_on_unavailable (board, bucket);
}

static void
on_read (DpEntryCore *board, Bucket *bucket, const DpClaimReply *reply)
{
  if (reply->result == DP_STORE_OK || reply->result == DP_STORE_ABSENT)
    {
      note_success (board, bucket);
      if (bucket->stale)
        return;
      gboolean present = reply->result == DP_STORE_OK;
      GArray *records = present ? copy_records (reply->records) : new_records ();
      take_content (board, bucket, records, present ? reply->version : 0);
      return;
    }
  note_failure (board, bucket);
  entry_claims_on_unavailable (board, bucket);
}

void
entry_buckets_on_reply (DpEntryCore *board, const DpClaimReply *reply)
{
  Bucket *bucket = g_hash_table_lookup (board->buckets, &reply->bucket);
  BucketOperation expected = reply->is_write ? BUCKET_WRITING : BUCKET_READING;
  if (bucket == NULL || bucket->operation != expected)
    {
      entry_count (board, "dogwoodplank_late_claim_replies_total", NULL, NULL);
      return;
    }
  count_reply (board, reply);
  bucket->operation = BUCKET_IDLE;
  bucket->used_at = board->now;
  board->store_due = TRUE;
  if (reply->is_write)
    on_write (board, bucket, reply);
  else
    on_read (board, bucket, reply);
}

void
entry_buckets_after_pause (DpEntryCore *board)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, board->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Bucket *bucket = value;
      bucket->known = FALSE;
      bucket->stale = bucket->operation != BUCKET_IDLE;
    }
}

static gboolean
has_claims (DpEntryCore *board, const Bucket *bucket)
{
  for (DpHandle h = dp_table_next (board->claims, 0); h != 0;
       h = dp_table_next (board->claims, h))
    if (is_in (dp_table_get (board->claims, h), bucket))
      return TRUE;
  return FALSE;
}

void
entry_buckets_tick (DpEntryCore *board)
{
  /* Operations that waited out their backoff start now. */
  board->store_due = TRUE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, board->buckets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Bucket *bucket = value;
      if (bucket->operation == BUCKET_IDLE && board->now - bucket->used_at > IDLE_TIME
          && !has_claims (board, bucket))
        g_hash_table_iter_remove (&iter);
    }
}
