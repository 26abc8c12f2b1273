/* Which streams a VM records and sends to its group, and its messages. */
#include "core/stream_copies/stream_copies_private.h"

/* Between two batches, for each VM that gets them: at most 100 messages a second. A stream that
 * begins after a longer time without one is sent at once. */
#define BATCH_INTERVAL_PER_VM (10 * DP_USEC_PER_MSEC)
/* A witness forwards a stream that no batch has named for so long. Longer than the interval
 * between batches in the largest group. */
#define WITNESS_DELAY DP_USEC_PER_SEC
#define SWEEP_INTERVAL DP_USEC_PER_SEC
/* Rows of the log, of 24 bytes, and witnessed streams, of about 100. */
#define LOG_MAX 4096
/* A VM that restarted hears within this time of the others that begin streams. */
#define SENDERS_SETTLE_TIME (3 * DP_USEC_PER_SEC)

DpStreamCopies *
dp_stream_copies_new (const DpStreamCopiesOptions *options)
{
  DpStreamCopies *copies = g_new0 (DpStreamCopies, 1);
  copies->options = *options;
  copies->groups = 1;
  /* Answers to a former process are not taken for this one's. */
  copies->last_inquiry = dp_name_pair (options->self, options->incarnation);
  copies->members = g_array_new (FALSE, FALSE, sizeof (DpName));
  copies->writers_before = g_array_new (FALSE, FALSE, sizeof (DpName));
  copies->log = g_array_new (FALSE, FALSE, sizeof (DpStreamCopiesLogRow));
  copies->witnessed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  copies->senders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  copies->sync.is_due = !options->is_first_start;
  copies->sync.due_since = options->started_at;
  copies->sync.tried = g_array_new (FALSE, FALSE, sizeof (DpStreamCopiesTried));
  copies->pending = g_array_new (FALSE, FALSE, sizeof (guint64));
  copies->inquiries = g_ptr_array_new_with_free_func (dp_stream_copies_inquiry_free);
  return copies;
}

void
dp_stream_copies_free (DpStreamCopies *copies)
{
  dp_view_unref (copies->view);
  g_array_unref (copies->members);
  g_array_unref (copies->writers_before);
  g_array_unref (copies->log);
  g_hash_table_unref (copies->witnessed);
  g_hash_table_unref (copies->senders);
  g_array_unref (copies->sync.tried);
  g_array_unref (copies->pending);
  g_ptr_array_unref (copies->inquiries);
  g_free (copies);
}

void
dp_stream_copies_set_view (DpStreamCopies *copies, DpView *view)
{
  dp_view_unref (copies->view);
  copies->view = dp_view_ref (view);
  dp_stream_copies_update_group (copies);
}

void
dp_stream_copies_set_sharing (DpStreamCopies *copies, gboolean is_sharing, DpUsec now)
{
  if (is_sharing && !copies->is_sharing)
    {
      copies->sharing_since = now;
      if (copies->pending_since != 0)
        copies->pending_since = now;
    }
  copies->is_sharing = is_sharing;
}

gboolean
dp_stream_copies_is_sharing (const DpStreamCopies *copies)
{
  return copies->is_sharing;
}

gboolean
dp_stream_copies_is_capable (const DpStreamCopies *copies, DpName vm)
{
  return dp_owners_rules (copies->options.owners, vm) >= DP_RULES_LEVEL_STREAM_COPIES;
}

static DpUsec
lifetime (const DpStreamCopies *copies)
{
  return dp_versions_lifetime (copies->options.versions);
}

/* What it lacked can't be taken up any more after the lifetime of streams. */
gboolean
dp_stream_copies_is_complete (const DpStreamCopies *copies, DpUsec now)
{
  return !copies->sync.is_due || now - copies->sync.due_since > lifetime (copies);
}

/* --- what this VM records --- */

static void
record (DpStreamCopies *copies, guint64 stream, DpName version, DpUsec now)
{
  if (dp_versions_of_stream (copies->options.versions, stream) != version)
    dp_stream_copies_on_change (copies, now);
  dp_versions_record_stream (copies->options.versions, stream, version, now);
}

void
dp_stream_copies_merge (DpStreamCopies *copies,
                        const DpStreamCopy *rows,
                        guint count,
                        DpUsec now)
{
  for (guint i = 0; i < count; i++)
    if (rows[i].version != 0
        && dp_versions_of_stream (copies->options.versions, rows[i].stream) == 0)
      record (copies, rows[i].stream, rows[i].version, now);
}

static void
drop_oldest (DpStreamCopies *copies, guint count)
{
  g_array_remove_range (copies->log, 0, count);
  copies->sent -= MIN (copies->sent, count);
}

void
dp_stream_copies_add_own (DpStreamCopies *copies, guint64 stream, DpName version, DpUsec now)
{
  record (copies, stream, version, now);
  if (copies->log->len >= LOG_MAX)
    drop_oldest (copies, copies->log->len / 2);
  const DpStreamCopiesLogRow row = { .copy = { stream, version }, .at = now };
  g_array_append_val (copies->log, row);
}

static gboolean
is_member (const DpStreamCopies *copies, DpName vm)
{
  for (guint i = 0; i < copies->members->len; i++)
    if (g_array_index (copies->members, DpName, i) == vm)
      return TRUE;
  return FALSE;
}

void
dp_stream_copies_add_witnessed (
  DpStreamCopies *copies, DpName from, guint64 stream, DpName version, DpUsec now)
{
  record (copies, stream, version, now);
  /* The batch of a VM of another group is not seen here. */
  gboolean is_expected
    = is_member (copies, from) || !dp_stream_copies_is_capable (copies, from);
  if (!is_expected || g_hash_table_size (copies->witnessed) >= LOG_MAX)
    return;
  const DpStreamCopiesWitnessed row = { .version = version, .at = now };
  g_hash_table_insert (copies->witnessed, g_memdup2 (&stream, sizeof stream),
                       g_memdup2 (&row, sizeof row));
}

/* Forgets streams that nobody can take up any more. */
static void
sweep (DpStreamCopies *copies, DpUsec now)
{
  if (now - copies->swept_at < SWEEP_INTERVAL)
    return;
  copies->swept_at = now;
  guint expired = 0;
  while (expired < copies->log->len
         && now - g_array_index (copies->log, DpStreamCopiesLogRow, expired).at
              > lifetime (copies))
    expired++;
  if (expired > 0)
    drop_oldest (copies, expired);
  GHashTableIter iter;
  gpointer row;
  g_hash_table_iter_init (&iter, copies->witnessed);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (now - ((const DpStreamCopiesWitnessed *)row)->at > lifetime (copies))
      g_hash_table_iter_remove (&iter);
}

/* --- batches --- */

void
dp_stream_copies_send_to_group (DpStreamCopies *copies, const DpMessage *message)
{
  for (guint i = 0; i < copies->members->len; i++)
    {
      DpName vm = g_array_index (copies->members, DpName, i);
      if (dp_stream_copies_is_capable (copies, vm))
        copies->options.send (copies->options.user, vm, message);
    }
  copies->status.rows_sent += message->stream_copies.count;
}

/* Returns FALSE if there was nothing to send. */
static gboolean
send_log (DpStreamCopies *copies)
{
  gboolean has_rows = copies->sent < copies->log->len;
  while (copies->sent < copies->log->len)
    {
      DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES };
      DpStreamCopyRows *batch = &message.stream_copies;
      batch->type = DP_STREAM_COPIES_BATCH;
      batch->incarnation = copies->options.incarnation;
      batch->position = copies->position;
      while (copies->sent < copies->log->len && batch->count < DP_STREAM_COPIES_MAX)
        batch->rows[batch->count++]
          = g_array_index (copies->log, DpStreamCopiesLogRow, copies->sent++).copy;
      copies->position += batch->count;
      dp_stream_copies_send_to_group (copies, &message);
    }
  return has_rows;
}

/* Sends witnessed streams whose VM should have sent them by now, or was lost. Returns FALSE if
 * there are none. */
static gboolean
forward_witnessed (DpStreamCopies *copies, DpUsec delay, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES };
  DpStreamCopyRows *batch = &message.stream_copies;
  batch->type = DP_STREAM_COPIES_FORWARD;
  GHashTableIter iter;
  gpointer stream, value;
  g_hash_table_iter_init (&iter, copies->witnessed);
  while (batch->count < DP_STREAM_COPIES_MAX && g_hash_table_iter_next (&iter, &stream, &value))
    {
      const DpStreamCopiesWitnessed *row = value;
      if (now - MAX (row->at, copies->sharing_since) < delay)
        continue;
      batch->rows[batch->count++] = (DpStreamCopy){ *(const guint64 *)stream, row->version };
      g_hash_table_iter_remove (&iter);
    }
  if (batch->count > 0)
    dp_stream_copies_send_to_group (copies, &message);
  return batch->count > 0;
}

static DpUsec
batch_interval (const DpStreamCopies *copies)
{
  return copies->is_leaving ? 0 : copies->members->len * BATCH_INTERVAL_PER_VM;
}

static void
send_batch (DpStreamCopies *copies, DpUsec witness_delay, DpUsec now)
{
  gboolean has_own = send_log (copies);
  gboolean has_witnessed = forward_witnessed (copies, witness_delay, now);
  if (has_own || has_witnessed)
    copies->batch_at = now;
}

void
dp_stream_copies_leave (DpStreamCopies *copies, DpUsec now)
{
  copies->is_leaving = TRUE;
  if (copies->is_sharing)
    send_batch (copies, 0, now);
}

/* --- messages --- */

DpStreamCopiesSender *
dp_stream_copies_ensure_sender (DpStreamCopies *copies, DpName vm)
{
  DpStreamCopiesSender *sender = g_hash_table_lookup (copies->senders, &vm);
  if (sender != NULL)
    return sender;
  sender = g_new0 (DpStreamCopiesSender, 1);
  g_hash_table_insert (copies->senders, g_memdup2 (&vm, sizeof vm), sender);
  return sender;
}

/* Returns TRUE if the VM's first batch that is received here must be its first at all. A VM
 * that lacks copies, or has just got a table, expects to have missed others. */
static gboolean
knows_all_senders (const DpStreamCopies *copies, DpUsec now)
{
  return dp_stream_copies_is_complete (copies, now)
         && now - copies->sync.completed_at > SENDERS_SETTLE_TIME;
}

static void
check_position (DpStreamCopies *copies, DpName from, const DpStreamCopyRows *batch, DpUsec now)
{
  DpStreamCopiesSender *sender = dp_stream_copies_ensure_sender (copies, from);
  gboolean is_known = sender->incarnation == batch->incarnation;
  guint64 expected = is_known ? sender->position : 0;
  if (batch->position > expected && (is_known || knows_all_senders (copies, now)))
    dp_stream_copies_on_gap (copies, from, now);
  else if (batch->position > expected)
    copies->sync.preferred = from;
  sender->incarnation = batch->incarnation;
  sender->position = batch->position + batch->count;
}

static void
on_batch (DpStreamCopies *copies, const DpStreamCopyRows *batch, DpUsec now)
{
  for (guint i = 0; i < batch->count; i++)
    {
      g_hash_table_remove (copies->witnessed, &batch->rows[i].stream);
      if (batch->rows[i].version != 0)
        record (copies, batch->rows[i].stream, batch->rows[i].version, now);
    }
}

static void
on_forward (DpStreamCopies *copies, const DpStreamCopyRows *batch, DpUsec now)
{
  for (guint i = 0; i < batch->count; i++)
    g_hash_table_remove (copies->witnessed, &batch->rows[i].stream);
  dp_stream_copies_merge (copies, batch->rows, batch->count, now);
}

static void
on_rows (DpStreamCopies *copies, DpName from, const DpStreamCopyRows *rows, DpUsec now)
{
  copies->status.rows_received += rows->count;
  dp_stream_copies_ensure_sender (copies, from)->heard_at = now;
  switch (rows->type)
    {
    case DP_STREAM_COPIES_BATCH:
      check_position (copies, from, rows, now);
      on_batch (copies, rows, now);
      break;
    case DP_STREAM_COPIES_FORWARD:
      on_forward (copies, rows, now);
      break;
    case DP_STREAM_COPIES_TABLE:
      dp_stream_copies_merge (copies, rows->rows, rows->count, now);
      dp_stream_copies_on_table (copies, from, rows, now);
      break;
    case DP_STREAM_COPIES_ANSWER:
      dp_stream_copies_merge (copies, rows->rows, rows->count, now);
      dp_stream_copies_on_answer (copies, from, rows);
      break;
    case DP_STREAM_COPIES_STORED:
      dp_stream_copies_on_stored (copies);
      break;
    case DP_STREAM_COPIES_TYPE_COUNT:
      break;
    }
}

gboolean
dp_stream_copies_receive (DpStreamCopies *copies,
                          DpName from,
                          const DpMessage *message,
                          DpUsec now)
{
  switch (message->type)
    {
    case DP_MESSAGE_STREAM_COPIES:
      on_rows (copies, from, &message->stream_copies, now);
      return TRUE;
    case DP_MESSAGE_STREAM_COPIES_ASK:
      if (message->stream_copies_ask.wants_table)
        dp_stream_copies_send_table (copies, from, now);
      else
        dp_stream_copies_send_answer (copies, from, &message->stream_copies_ask, now);
      return TRUE;
    default:
      return FALSE;
    }
}

void
dp_stream_copies_tick (DpStreamCopies *copies, DpUsec now)
{
  sweep (copies, now);
  dp_stream_copies_tick_inquiries (copies, now);
  if (!copies->is_sharing)
    return;
  dp_stream_copies_tick_sync (copies, now);
  if (now - copies->batch_at >= batch_interval (copies))
    send_batch (copies, WITNESS_DELAY, now);
}

/* --- status --- */

DpStreamCopiesStatus
dp_stream_copies_status (const DpStreamCopies *copies, DpUsec now)
{
  DpStreamCopiesStatus status = copies->status;
  status.is_sharing = copies->is_sharing;
  status.is_complete = dp_stream_copies_is_complete (copies, now);
  status.group_vms = copies->members->len + 1;
  status.groups = copies->groups;
  return status;
}
