#include "core/agent.h"

void
dp_agent_action_clear (gpointer action)
{
  DpAgentAction *agent_action = action;
  switch (agent_action->type)
    {
    case DP_AGENT_ACTION_SEND:
      dp_message_clear (&agent_action->message);
      break;
    case DP_AGENT_ACTION_PLATFORM:
      g_clear_pointer (&agent_action->platform.value, g_bytes_unref);
      break;
    case DP_AGENT_ACTION_LOG:
      g_clear_pointer (&agent_action->log.detail, g_free);
      break;
    case DP_AGENT_ACTION_EXIT:
      break;
    }
}

GArray *
dp_agent_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpAgentAction));
  g_array_set_clear_func (actions, dp_agent_action_clear);
  return actions;
}
