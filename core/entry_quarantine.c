/* Quarantine of requests that crash targets: after two crashes, the request is refused in this
 * data centre.
 *
 * The first crash is already reported to the other entries, so that the count survives a crash
 * of this process. */
#include "core/entry_private.h"

#define FAILURES_MAX 2
#define QUARANTINE_DURATION (600 * DP_USEC_PER_SEC)
/* 64 bytes per row. */
#define ROWS_MAX 16384

DpQuarantineTable *
entry_quarantine_new (void)
{
  const DpQuarantineOptions options = { .failures_max = FAILURES_MAX,
                                        .block_duration = QUARANTINE_DURATION,
                                        .memory_duration = QUARANTINE_DURATION,
                                        .rows_max = ROWS_MAX };
  return dp_quarantine_new (&options);
}

gboolean
entry_quarantine_blocks (DpEntryCore *core, guint64 body_hash)
{
  return dp_quarantine_blocks (core->quarantine, body_hash, core->now, NULL);
}

static void
notify_entries (DpEntryCore *core, guint64 body_hash)
{
  DpMessage message = dp_quarantine_message (core->quarantine, body_hash, core->now);
  for (guint i = 0; i < core->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (core->view->vms, DpVm, i);
      if (vm->data_centre != core->options.data_centre || vm->name == core->options.vm
          || vm->state == DP_VM_DEAD)
        continue;
      DpPeer peer = { .vm = vm->name, .role = DP_ROLE_ENTRY };
      entry_send (core, peer, &message);
    }
}

void
entry_quarantine_record_failure (DpEntryCore *core, guint64 body_hash, DpName target)
{
  guint failures
    = dp_quarantine_record_failure (core->quarantine, body_hash, target, core->now);
  if (failures == 0)
    return;
  if (failures == FAILURES_MAX)
    entry_count (core, "dogwoodplank_quarantined_total", NULL, NULL);
  notify_entries (core, body_hash);
}

/* A complete answer shows that the earlier failures were caused by the targets, not by the
 * request. */
void
entry_quarantine_clear (DpEntryCore *core, guint64 body_hash)
{
  if (dp_quarantine_clear (core->quarantine, body_hash))
    notify_entries (core, body_hash);
}

void
entry_quarantine_on_message (DpEntryCore *core, const DpQuarantine *message)
{
  dp_quarantine_merge (core->quarantine, message, core->now);
}

void
entry_quarantine_tick (DpEntryCore *core)
{
  dp_quarantine_tick (core->quarantine, core->now);
}
