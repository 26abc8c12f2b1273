#include "core/scheduler.h"

void
dp_scheduler_action_clear (gpointer action)
{
  DpSchedulerAction *scheduler_action = action;
  if (scheduler_action->type == DP_SCHEDULER_ACTION_SEND)
    dp_message_clear (&scheduler_action->message);
}

GArray *
dp_scheduler_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpSchedulerAction));
  g_array_set_clear_func (actions, dp_scheduler_action_clear);
  return actions;
}
