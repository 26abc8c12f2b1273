/* When a VM writes the copies of its group to the store. Each change is written by one VM: the
 * first in the group's ranking that works, which then tells the others. */
#include "core/stream_copies/stream_copies_private.h"

/* Writes of all groups in a second. */
#define WRITES_MAX 16
/* What began since the last write is lost with the last VM; each call is priced. */
#define WRITE_INTERVAL_MIN (500 * DP_USEC_PER_MSEC)
/* About 11 bytes each. */
#define ROWS_MAX 32768
/* A VM that has sent nothing for so long may be gone. */
#define SILENCE_MAX (3 * DP_USEC_PER_SEC)
/* How long a VM leaves a change to each VM before it in the ranking, and to each of these that
 * has sent something lately. */
#define RANK_DELAY (100 * DP_USEC_PER_MSEC)
#define WORKING_DELAY (2 * DP_USEC_PER_SEC)

void
dp_stream_copies_on_change (DpStreamCopies *copies, DpUsec now)
{
  if (copies->pending_since == 0)
    copies->pending_since = now;
}

void
dp_stream_copies_on_stored (DpStreamCopies *copies)
{
  copies->pending_since = 0;
}

/* How long this VM leaves a change to others. */
static DpUsec
takeover_delay (const DpStreamCopies *copies, DpUsec now)
{
  DpUsec delay = 0;
  for (guint i = 0; i < copies->writers_before->len; i++)
    {
      DpName vm = g_array_index (copies->writers_before, DpName, i);
      if (!dp_stream_copies_is_capable (copies, vm)
          || !dp_owners_is_available (copies->options.owners, vm))
        continue;
      const DpStreamCopiesSender *sender = g_hash_table_lookup (copies->senders, &vm);
      gboolean is_working = sender != NULL && now - sender->heard_at < SILENCE_MAX;
      delay += is_working ? WORKING_DELAY : RANK_DELAY;
    }
  return delay;
}

static gboolean
is_write_due (const DpStreamCopies *copies, DpUsec now)
{
  DpUsec interval
    = MAX (WRITE_INTERVAL_MIN, (DpUsec)copies->groups * DP_USEC_PER_SEC / WRITES_MAX);
  return copies->is_sharing && !copies->is_writing && copies->pending_since != 0
         && now - copies->written_at >= interval
         && now - copies->pending_since >= takeover_delay (copies, now);
}

gboolean
dp_stream_copies_wants_read (const DpStreamCopies *copies, DpUsec now)
{
  return !copies->is_read && is_write_due (copies, now);
}

void
dp_stream_copies_set_read (DpStreamCopies *copies)
{
  copies->is_read = TRUE;
}

static void
append_row (guint64 stream, guint64 version, gpointer data)
{
  GArray *rows = data;
  const DpStreamCopy row = { stream, version };
  if (rows->len < ROWS_MAX)
    g_array_append_val (rows, row);
}

GArray *
dp_stream_copies_begin_write (DpStreamCopies *copies, DpUsec now)
{
  if (!copies->is_read || !is_write_due (copies, now))
    return NULL;
  copies->is_writing = TRUE;
  copies->written_at = now;
  copies->pending_since = 0;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (DpStreamCopy));
  dp_versions_foreach_stream (copies->options.versions, append_row, rows);
  return rows;
}

void
dp_stream_copies_end_write (DpStreamCopies *copies, gboolean ok, DpUsec now)
{
  copies->is_writing = FALSE;
  if (!ok)
    {
      dp_stream_copies_on_change (copies, now);
      return;
    }
  DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES };
  message.stream_copies.type = DP_STREAM_COPIES_STORED;
  dp_stream_copies_send_to_group (copies, &message);
}

void
dp_stream_copies_on_restored (DpStreamCopies *copies, DpUsec now)
{
  dp_stream_copies_on_change (copies, now);
}
