/* Requests that bring targets down: after two deaths they are refused in the data centre.
 *
 * The first death is already told to the other entries, so the count survives this process. */
#include "core/entry_board.h"

#define DEATHS_MAX 2
#define QUARANTINE_TIME (600 * DP_USEC_PER_SEC)
/* 64 bytes a row. */
#define ROWS_MAX 16384

DpQuarantineTable *
entry_quarantine_new (void)
{
  const DpQuarantineOptions options = { .failures_max = DEATHS_MAX,
                                        .block_duration = QUARANTINE_TIME,
                                        .memory_duration = QUARANTINE_TIME,
                                        .rows_max = ROWS_MAX };
  return dp_quarantine_new (&options);
}

gboolean
entry_quarantine_holds (DpEntryBoard *board, guint64 body_hash)
{
  return dp_quarantine_blocks (board->quarantine, body_hash, board->now, NULL);
}

static void
tell_others (DpEntryBoard *board, guint64 body_hash)
{
  DpMessage message = dp_quarantine_message (board->quarantine, body_hash, board->now);
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
  guint failures
    = dp_quarantine_record_failure (board->quarantine, body_hash, target, board->now);
  if (failures == 0)
    return;
  if (failures == DEATHS_MAX)
    entry_count (board, "dogwoodplank_quarantined_total", NULL, NULL);
  tell_others (board, body_hash);
}

/* What has been answered whole is no reason for the failures before it: the targets were. */
void
entry_quarantine_clear (DpEntryBoard *board, guint64 body_hash)
{
  if (dp_quarantine_clear (board->quarantine, body_hash))
    tell_others (board, body_hash);
}

void
entry_quarantine_on_message (DpEntryBoard *board, const DpQuarantine *message)
{
  dp_quarantine_merge (board->quarantine, message, board->now);
}

void
entry_quarantine_tick (DpEntryBoard *board)
{
  dp_quarantine_tick (board->quarantine, board->now);
}
