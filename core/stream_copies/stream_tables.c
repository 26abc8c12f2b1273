/* How a VM that has started, or has missed batches, gets the copies that it lacks. */
#include "core/stream_copies/stream_copies_private.h"

/* A VM that has sent nothing for so long is passed over. */
#define TABLE_TIMEOUT (300 * DP_USEC_PER_MSEC)
/* VMs that did not answer are asked so often. */
#define TABLE_TRIES_MAX 3
/* Between two tables for the same VM. */
#define TABLE_INTERVAL (100 * DP_USEC_PER_MSEC)

static void
begin (DpStreamCopiesSync *sync, DpName preferred, DpUsec now)
{
  sync->is_due = TRUE;
  sync->due_since = now;
  sync->preferred = preferred;
  sync->asked = 0;
  g_array_set_size (sync->tried, 0);
}

static void
end (DpStreamCopiesSync *sync, DpUsec now)
{
  sync->is_due = FALSE;
  sync->completed_at = now;
}

void
dp_stream_copies_on_gap (DpStreamCopies *copies, DpName from, DpUsec now)
{
  copies->status.gaps++;
  begin (&copies->sync, from, now);
}

static DpStreamCopiesTried *
find_tried (const DpStreamCopiesSync *sync, DpName vm)
{
  for (guint i = 0; i < sync->tried->len; i++)
    {
      DpStreamCopiesTried *row = &g_array_index (sync->tried, DpStreamCopiesTried, i);
      if (row->vm == vm)
        return row;
    }
  return NULL;
}

/* Number of times that the VM was asked without an answer; TABLE_TRIES_MAX if it has answered.
 */
static guint
count_tries (const DpStreamCopiesSync *sync, DpName vm)
{
  const DpStreamCopiesTried *row = find_tried (sync, vm);
  return row == NULL ? 0 : row->has_answered ? TABLE_TRIES_MAX : row->tries;
}

/* Returns the VM to ask next; 0: there is none. VMs that were asked less often come first, then
 * those that are known to respond, in an order that differs from VM to VM. */
static DpName
choose (const DpStreamCopies *copies)
{
  const DpStreamCopiesSync *sync = &copies->sync;
  if (sync->preferred != 0 && count_tries (sync, sync->preferred) == 0)
    return sync->preferred;
  DpName best = 0;
  guint64 best_rank = 0;
  for (guint i = 0; i < copies->members->len; i++)
    {
      DpName vm = g_array_index (copies->members, DpName, i);
      guint tries = count_tries (sync, vm);
      if (tries == TABLE_TRIES_MAX || !dp_stream_copies_is_capable (copies, vm))
        continue;
      /* The hash only decides between VMs that are alike otherwise. */
      guint64 rank = (guint64)(TABLE_TRIES_MAX - tries) << 62;
      if (dp_owners_is_available (copies->options.owners, vm))
        rank |= (guint64)1 << 61;
      rank |= dp_name_pair (copies->options.self, vm) >> 3;
      if (best == 0 || rank > best_rank)
        {
          best = vm;
          best_rank = rank;
        }
    }
  return best;
}

static void
record_try (DpStreamCopiesSync *sync, DpName vm)
{
  DpStreamCopiesTried *row = find_tried (sync, vm);
  if (row != NULL)
    {
      row->tries++;
      return;
    }
  const DpStreamCopiesTried first = { .vm = vm, .tries = 1 };
  g_array_append_val (sync->tried, first);
}

void
dp_stream_copies_tick_sync (DpStreamCopies *copies, DpUsec now)
{
  DpStreamCopiesSync *sync = &copies->sync;
  if (dp_stream_copies_is_complete (copies, now) || copies->view == NULL
      || (sync->asked != 0 && now - sync->asked_at < TABLE_TIMEOUT))
    return;
  sync->asked = choose (copies);
  if (sync->asked == 0)
    {
      /* All that the others know is here by now. */
      end (sync, now);
      return;
    }
  sync->asked_at = now;
  record_try (sync, sync->asked);
  copies->status.tables++;
  DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES_ASK };
  message.stream_copies_ask.wants_table = TRUE;
  copies->options.send (copies->options.user, sync->asked, &message);
}

void
dp_stream_copies_on_table (DpStreamCopies *copies,
                           DpName from,
                           const DpStreamCopyRows *part,
                           DpUsec now)
{
  DpStreamCopiesSync *sync = &copies->sync;
  if (from != sync->asked)
    return;
  sync->asked_at = now;
  if (!part->is_last)
    return;
  find_tried (sync, from)->has_answered = TRUE;
  sync->asked = 0;
  if (part->is_complete)
    end (sync, now);
}

/* --- the other side --- */

typedef struct TableWriter
{
  DpStreamCopies *copies;
  DpName to;
  DpMessage message;
} TableWriter;

static void
send_part (TableWriter *writer)
{
  writer->copies->options.send (writer->copies->options.user, writer->to, &writer->message);
  writer->message.stream_copies.count = 0;
}

static void
append_row (guint64 stream, guint64 version, gpointer data)
{
  TableWriter *writer = data;
  DpStreamCopyRows *part = &writer->message.stream_copies;
  if (part->count == DP_STREAM_COPIES_MAX)
    send_part (writer);
  part->rows[part->count++] = (DpStreamCopy){ stream, version };
}

void
dp_stream_copies_send_table (DpStreamCopies *copies, DpName to, DpUsec now)
{
  DpStreamCopiesSender *sender = dp_stream_copies_ensure_sender (copies, to);
  if (now - sender->table_sent_at < TABLE_INTERVAL)
    return;
  sender->table_sent_at = now;
  TableWriter writer
    = { .copies = copies, .to = to, .message = { .type = DP_MESSAGE_STREAM_COPIES } };
  DpStreamCopyRows *part = &writer.message.stream_copies;
  part->type = DP_STREAM_COPIES_TABLE;
  part->is_complete = dp_stream_copies_is_complete (copies, now);
  dp_versions_foreach_stream (copies->options.versions, append_row, &writer);
  part->is_last = TRUE;
  send_part (&writer);
}
