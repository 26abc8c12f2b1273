/* Targets: what they can serve, whether they have room, their load reports. */
#include "core/scheduler_board.h"

static gboolean
carries (const DpTargetState *target, DpName model)
{
  if (model == 0)
    return TRUE;
  for (guint i = 0; i < target->models->len; i++)
    {
      if (g_array_index (target->models, DpName, i) == model)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_excluded (const DpGrant *grant, DpName target)
{
  for (guint i = 0; i < grant->excluded_count; i++)
    {
      if (grant->excluded[i] == target)
        return TRUE;
    }
  return FALSE;
}

static gboolean
prefill_has_room (const DpTargetState *target, double ahead)
{
  if (target->prefill_speed <= 0)
    return TRUE;
  double usec = ahead / target->prefill_speed * (double)DP_USEC_PER_SEC;
  return usec < (double)DP_PREFILL_AHEAD_USEC;
}

static void
send_poll (DpSchedulerBoard *board, DpTargetState *target)
{
  const DpTarget *row = DP_MANIFEST_ROW (board->manifest, targets, DpTarget, target->index);
  const DpPool *pool = DP_MANIFEST_ROW (board->manifest, pools, DpPool, row->pool);
  DpSchedulerAction action = { .type = DP_SCHEDULER_ACTION_POLL };
  action.poll.target = target->name;
  g_strlcpy (action.poll.address, row->address, sizeof action.poll.address);
  action.poll.port = row->port;
  action.poll.kind = pool->kind;
  action.poll.cache_sequence = target->cache_sequence;
  g_array_append_val (board->actions, action);
}

gboolean
dp_target_is_able (const DpTargetState *target, const DpGrant *grant)
{
  return target->present && carries (target, grant->model)
         && !is_excluded (grant, target->name);
}

gboolean
dp_target_has_room_without (const DpTargetState *target,
                            const DpGrant *grant,
                            const DpTargetFreed *freed)
{
  guint running = target->grants->len - freed->count;
  if (!target->reachable || running >= target->window)
    return FALSE;
  if (running == 0)
    return TRUE;
  double tokens = target->tokens - freed->tokens + grant->cost;
  if (target->kv_tokens > 0 && tokens > target->kv_tokens)
    return FALSE;
  return prefill_has_room (target, target->prefill_ahead - freed->prefill);
}

gboolean
dp_target_has_room (const DpTargetState *target, const DpGrant *grant)
{
  DpTargetFreed nothing = { 0 };
  return dp_target_has_room_without (target, grant, &nothing);
}

void
dp_target_add (DpTargetState *target, DpGrant *grant)
{
  grant->target = target->self;
  grant->prefill_tokens = grant->started ? 0 : grant->prompt_tokens;
  g_ptr_array_add (target->grants, grant);
  target->tokens += grant->cost;
  target->prefill_ahead += grant->prefill_tokens;
}

void
dp_target_remove (DpTargetState *target, DpGrant *grant)
{
  if (!g_ptr_array_remove_fast (target->grants, grant))
    return;
  target->tokens -= grant->cost;
  dp_target_first_token (target, grant);
}

void
dp_target_first_token (DpTargetState *target, DpGrant *grant)
{
  target->prefill_ahead -= grant->prefill_tokens;
  grant->prefill_tokens = 0;
}

DpTargetState *
dp_targets_choose (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant)
{
  DpTargetState *best = NULL;
  DpUsec best_service = 0;
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (board, group, i);
      if (!dp_target_is_able (target, grant) || !dp_target_has_room (target, grant))
        continue;
      DpUsec service = dp_estimate_service (target, grant);
      if (board->now + service > grant->deadline)
        continue;
      if (best == NULL || service < best_service)
        {
          best = target;
          best_service = service;
        }
    }
  return best;
}

void
dp_targets_load (DpSchedulerBoard *board, const DpLoadReport *load)
{
  DpTargetState *target = dp_scheduler_find_target (board, load->target);
  if (target == NULL)
    return;
  target->reachable = load->reachable;
  if (!load->reachable)
    return;
  target->boot = load->boot;
  target->reported_load = load->running + load->waiting;
  target->cache_sequence = load->cache_sequence + load->cache_event_count;
}

void
dp_targets_poll (DpSchedulerBoard *board, DpGroupState *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (board, group, i);
      if (!target->present || board->now < target->next_poll)
        continue;
      target->next_poll = board->now + DP_POLL_USEC;
      send_poll (board, target);
    }
}
