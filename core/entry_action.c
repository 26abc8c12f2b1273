#include "core/entry.h"

void
dp_claim_record_clear (gpointer record)
{
  DpClaimRecord *claim = record;
  g_clear_pointer (&claim->body, g_bytes_unref);
}

void
dp_entry_action_clear (gpointer action)
{
  DpEntryAction *entry_action = action;
  switch (entry_action->type)
    {
    case DP_ENTRY_ACTION_SEND:
      dp_message_clear (&entry_action->message);
      break;
    case DP_ENTRY_ACTION_REPLAY:
      g_clear_pointer (&entry_action->replay.body, g_bytes_unref);
      break;
    case DP_ENTRY_ACTION_CLAIM_WRITE:
      g_clear_pointer (&entry_action->claim_write.records, g_array_unref);
      break;
    default:
      break;
    }
}

GArray *
dp_entry_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpEntryAction));
  g_array_set_clear_func (actions, dp_entry_action_clear);
  return actions;
}
