#include "core/rollout/rollout.h"

const char *
dp_rollout_state_name (DpRolloutState state)
{
  switch (state)
    {
    case DP_ROLLOUT_NONE:
      return "none";
    case DP_ROLLOUT_RUNNING:
      return "running";
    case DP_ROLLOUT_SWITCHING:
      return "switching";
    case DP_ROLLOUT_COMPLETED:
      return "completed";
    case DP_ROLLOUT_ROLLED_BACK:
      return "rolled_back";
    case DP_ROLLOUT_UNCERTAIN:
      return "uncertain";
    }
  return "none";
}

const char *
dp_rollout_cause_name (DpRolloutCause cause)
{
  switch (cause)
    {
    case DP_ROLLOUT_CAUSE_NONE:
      return "none";
    case DP_ROLLOUT_CAUSE_TOLD:
      return "told";
    case DP_ROLLOUT_CAUSE_GOOD:
      return "good";
    case DP_ROLLOUT_CAUSE_NO_OLD:
      return "no_old_targets";
    case DP_ROLLOUT_CAUSE_BAD_ANSWERS:
      return "bad_answers";
    case DP_ROLLOUT_CAUSE_BAD_ROUTE:
      return "bad_route";
    case DP_ROLLOUT_CAUSE_BAD_COUNT:
      return "bad_count";
    case DP_ROLLOUT_CAUSE_NO_TARGETS:
      return "no_new_targets";
    case DP_ROLLOUT_CAUSE_FEW_SLOTS:
      return "few_slots";
    case DP_ROLLOUT_CAUSE_FEW_ANSWERS:
      return "few_answers";
    }
  return "none";
}
