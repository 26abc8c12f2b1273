/* Baselines, for measurement only: each entry alone, without queues, tiers or windows. */
#include "core/scheduler_board.h"

static guint64
next_random (DpSchedulerBoard *board)
{
  guint64 state = board->random++;
  return dp_hash_bytes (&state, sizeof state, board->options.seed);
}

/* Writes the places of the targets that may take the grant; returns how many. */
static guint
usable_targets (DpSchedulerBoard *board,
                DpGroupState *group,
                const DpGrant *grant,
                DpTargetState *out[DP_GROUP_TARGETS_MAX])
{
  guint count = 0;
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (board, group, i);
      if (dp_target_is_able (target, grant) && !dp_health_is_down (board, target))
        out[count++] = target;
    }
  return count;
}

static DpTargetState *
less_loaded (DpTargetState *a, DpTargetState *b)
{
  guint load_a = a->reported_load + a->sent_since_report;
  guint load_b = b->reported_load + b->sent_since_report;
  return load_a <= load_b ? a : b;
}

DpTargetState *
dp_baseline_choose (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant)
{
  DpTargetState *usable[DP_GROUP_TARGETS_MAX];
  guint count = usable_targets (board, group, grant, usable);
  DpTargetState *chosen = NULL;
  if (count == 0)
    return NULL;
  switch (board->options.policy)
    {
    case DP_POLICY_TWO_CHOICES:
      chosen = less_loaded (usable[next_random (board) % count],
                            usable[next_random (board) % count]);
      break;
    case DP_POLICY_ROUND_ROBIN:
    case DP_POLICY_TIER_QUEUE:
      chosen = usable[group->next_target++ % count];
      break;
    }
  chosen->sent_since_report += 1;
  return chosen;
}
