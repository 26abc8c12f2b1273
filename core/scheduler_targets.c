/* Targets: eligibility, free capacity, choice of a target, load reports. */
#include "core/scheduler_private.h"

static gboolean
serves_model (const DpTargetState *target, DpName model)
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
  return usec < (double)DP_PREFILL_AHEAD_MAX_USEC;
}

static void
send_poll (DpSchedulerCore *core, DpTargetState *target)
{
  const DpTarget *row = DP_MANIFEST_ROW (core->manifest, targets, DpTarget, target->index);
  const DpPool *pool = DP_MANIFEST_ROW (core->manifest, pools, DpPool, row->pool);
  DpSchedulerAction action = { .type = DP_SCHEDULER_ACTION_POLL };
  action.poll.target = target->name;
  g_strlcpy (action.poll.address, row->address, sizeof action.poll.address);
  action.poll.port = row->port;
  action.poll.kind = pool->kind;
  action.poll.cache_sequence = target->cache_sequence;
  g_array_append_val (core->actions, action);
}

gboolean
dp_target_is_eligible (const DpTargetState *target, const DpGrant *grant)
{
  return target->present && serves_model (target, grant->model)
         && !is_excluded (grant, target->name);
}

guint
dp_target_window (const DpTargetState *target)
{
  double ratio = MIN (dp_speed_ratio (&target->decode), 1);
  guint window = (guint)(target->window * ratio + 0.5);
  return MAX (window, 1);
}

gboolean
dp_target_has_room_without (const DpTargetState *target,
                            const DpGrant *grant,
                            const DpFreedCapacity *freed)
{
  guint running = target->grants->len - freed->count;
  guint untracked = MIN (target->untracked_load, target->previous_untracked_load);
  if (target->health != DP_HEALTH_GOOD || running + untracked >= dp_target_window (target))
    return FALSE;
  if (running == 0)
    return TRUE;
  double tokens = target->tokens - freed->tokens + grant->kv_tokens;
  if (target->kv_tokens > 0 && tokens > target->kv_tokens)
    return FALSE;
  return prefill_has_room (target, target->prefill_ahead - freed->prefill);
}

gboolean
dp_target_is_full (const DpTargetState *target)
{
  guint untracked = MIN (target->untracked_load, target->previous_untracked_load);
  if (target->health != DP_HEALTH_GOOD)
    return target->grants->len > 0;
  if (target->grants->len + untracked >= dp_target_window (target))
    return TRUE;
  return target->grants->len > 0 && !prefill_has_room (target, target->prefill_ahead);
}

gboolean
dp_target_has_room (const DpSchedulerCore *core,
                    const DpTargetState *target,
                    const DpGrant *grant)
{
  DpFreedCapacity nothing = { 0 };
  if (target->health != DP_HEALTH_GOOD)
    return dp_health_may_probe (core, target, grant);
  return dp_target_has_room_without (target, grant, &nothing);
}

void
dp_target_add (DpGroupState *group, DpTargetState *target, DpGrant *grant)
{
  grant->target = target->self;
  grant->cached_tokens = dp_prefix_cached_tokens (target, grant);
  grant->prefill_tokens = grant->started ? 0 : grant->prompt_tokens - grant->cached_tokens;
  dp_prefix_on_sent (group, target, grant);
  grant->expected_first_token = dp_estimate_nominal_prefill (target, grant->prefill_tokens);
  g_ptr_array_add (target->grants, grant);
  grant->batch = target->grants->len;
  target->tokens += grant->kv_tokens;
  target->prefill_ahead += grant->prefill_tokens;
}

void
dp_target_remove (DpGroupState *group, DpTargetState *target, DpGrant *grant)
{
  if (!g_ptr_array_remove_fast (target->grants, grant))
    return;
  if (!grant->started)
    dp_prefix_on_aborted (group, target, grant);
  target->tokens -= grant->kv_tokens;
  dp_target_end_prefill (target, grant);
}

void
dp_target_end_prefill (DpTargetState *target, DpGrant *grant)
{
  target->prefill_ahead -= grant->prefill_tokens;
  grant->prefill_tokens = 0;
}

DpTargetState *
dp_targets_choose (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant)
{
  DpTargetState *best = NULL;
  DpUsec best_service = 0;
  DpPrefixMatch match;
  dp_prefix_match (group, grant, &match);
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      if (dp_target_is_full (target) || !dp_target_is_eligible (target, grant)
          || !dp_target_has_room (core, target, grant))
        continue;
      double cached = dp_prefix_matched_tokens (target, grant, &match);
      DpUsec service = dp_estimate_service_time (target, grant, cached);
      if (core->now + service > grant->deadline
          || dp_prefix_should_wait (core, target, grant, cached))
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
dp_targets_on_load (DpSchedulerCore *core, const DpLoadReport *load)
{
  DpTargetState *target = dp_scheduler_find_target (core, load->target);
  if (target == NULL)
    return;
  dp_health_on_poll (core, target, load->reachable);
  if (!load->reachable)
    return;
  DpGroupState *group = dp_table_get (core->groups, target->group);
  if (target->boot != 0 && target->boot != load->boot)
    {
      dp_health_on_restart (target);
      dp_prefix_clear_target (group, target);
      target->cache_sequence = 0;
    }
  target->boot = load->boot;
  guint reported = load->running + load->waiting;
  target->reported_load = reported;
  target->sent_since_report = 0;
  target->previous_untracked_load = target->untracked_load;
  target->untracked_load = reported > target->grants->len ? reported - target->grants->len : 0;
  dp_prefix_on_cache_events (group, target, load);
}

void
dp_targets_poll (DpSchedulerCore *core, DpGroupState *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      if (!target->present || core->now < target->next_poll)
        continue;
      target->next_poll = core->now + DP_POLL_INTERVAL_USEC;
      send_poll (core, target);
    }
}
