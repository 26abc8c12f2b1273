/* Baseline policies for benchmarks: targets are chosen without queues, tiers or windows. */
#include "core/scheduler_private.h"

static guint64
next_random (DpSchedulerCore *core)
{
  guint64 state = core->random++;
  return dp_hash_bytes (&state, sizeof state, core->options.seed);
}

/* Writes the targets that can serve the request and are not down; returns their number. */
static guint
usable_targets (DpSchedulerCore *core,
                DpGroupState *group,
                const DpGrant *grant,
                DpTargetState *out[DP_GROUP_TARGETS_MAX])
{
  guint count = 0;
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      if (dp_target_is_eligible (target, grant) && !dp_health_is_in_backoff (core, target))
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
dp_baseline_choose (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant)
{
  DpTargetState *usable[DP_GROUP_TARGETS_MAX];
  guint count = usable_targets (core, group, grant, usable);
  DpTargetState *chosen = NULL;
  if (count == 0)
    return NULL;
  switch (core->options.policy)
    {
    case DP_POLICY_TWO_CHOICES:
      {
        DpTargetState *first = usable[next_random (core) % count];
        DpTargetState *second = usable[next_random (core) % count];
        chosen = less_loaded (first, second);
        break;
      }
    case DP_POLICY_ROUND_ROBIN:
    case DP_POLICY_TIER_QUEUE:
      chosen = usable[group->next_target++ % count];
      break;
    }
  chosen->sent_since_report += 1;
  return chosen;
}
