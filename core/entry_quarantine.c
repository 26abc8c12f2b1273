/* Requests that bring targets down: after two deaths they are refused in the data centre.
 *
 * The first death is already told to the other entries, so the count survives this process. */
#include "core/entry_board.h"

#define DEATHS_MAX 2
#define QUARANTINE_TIME (600 * DP_USEC_PER_SEC)
/* One target that breaks off several answers at once has gone down once. */
#define SAME_TARGET_INTERVAL (2 * DP_USEC_PER_SEC)

gboolean
entry_quarantine_holds (DpEntryBoard *board, guint64 body_hash)
{
  const Quarantine *row = g_hash_table_lookup (board->quarantine, &body_hash);
  return row != NULL && row->failures >= DEATHS_MAX && board->now < row->until;
}

static Quarantine *
find_row (DpEntryBoard *board, guint64 body_hash)
{
  Quarantine *row = g_hash_table_lookup (board->quarantine, &body_hash);
  if (row == NULL)
    {
      row = g_new0 (Quarantine, 1);
      g_hash_table_insert (board->quarantine, g_memdup2 (&body_hash, sizeof body_hash), row);
    }
  return row;
}

static void
tell_others (DpEntryBoard *board, guint64 body_hash, const Quarantine *row)
{
  DpMessage message = { .type = DP_MESSAGE_QUARANTINE };
  message.quarantine.fingerprint = body_hash;
  message.quarantine.failures = row->failures;
  message.quarantine.remaining = MAX (row->until - board->now, 0);
  message.quarantine.target = row->target;
  for (guint i = 0; i < board->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (board->view->vms, DpVm, i);
      if (vm->data_centre != board->options.data_centre || vm->name == board->options.vm
          || vm->state == DP_VM_DEAD)
        continue;
      DpPeer peer = { .vm = vm->name, .role = DP_ROLE_ENTRY };
      entry_send (board, peer, &message);
    }
}

void
entry_quarantine_add (DpEntryBoard *board, guint64 body_hash, DpName target)
{
  Quarantine *row = find_row (board, body_hash);
  gboolean is_same_fall = row->failures > 0 && row->target == target
                          && board->now - row->counted_at < SAME_TARGET_INTERVAL;
  row->until = board->now + QUARANTINE_TIME;
  if (is_same_fall)
    return;
  row->failures += 1;
  row->target = target;
  row->counted_at = board->now;
  if (row->failures == DEATHS_MAX)
    entry_count (board, "dogwoodplank_quarantined_total", NULL, NULL);
  tell_others (board, body_hash, row);
}

/* What has been answered whole is no reason for the failures before it: the targets were. */
void
entry_quarantine_clear (DpEntryBoard *board, guint64 body_hash)
{
  if (!g_hash_table_remove (board->quarantine, &body_hash))
    return;
  Quarantine cleared = { .failures = 0 };
  tell_others (board, body_hash, &cleared);
}

void
entry_quarantine_on_message (DpEntryBoard *board, const DpQuarantine *message)
{
  if (message->failures == 0)
    {
      g_hash_table_remove (board->quarantine, &message->fingerprint);
      return;
    }
  Quarantine *row = find_row (board, message->fingerprint);
  if (message->failures > row->failures)
    {
      row->target = message->target;
      row->counted_at = board->now;
    }
  row->failures = MAX (row->failures, message->failures);
  DpUsec remaining = CLAMP (message->remaining, 0, QUARANTINE_TIME);
  row->until = MAX (row->until, board->now + remaining);
}

void
entry_quarantine_tick (DpEntryBoard *board)
{
  GHashTableIter iter;
  gpointer row;
  g_hash_table_iter_init (&iter, board->quarantine);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (board->now >= ((Quarantine *)row)->until)
      g_hash_table_iter_remove (&iter);
}
