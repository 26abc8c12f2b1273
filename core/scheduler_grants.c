/* Asks and grants: who is sent where, who waits, who is refused. */
#include "core/scheduler_board.h"

#define RETRY_AFTER_MIN_USEC (100 * DP_USEC_PER_MSEC)

static DpUsec
retry_after (const DpGroupState *group, guint tier)
{
  return MAX (dp_estimate_drain (group, tier), RETRY_AFTER_MIN_USEC);
}

/* When what is refused for that reason may find a target. */
static DpUsec
come_again_after (DpSchedulerBoard *board,
                  const DpGroupState *group,
                  const DpGrant *grant,
                  DpReason reason)
{
  DpUsec drained = retry_after (group, grant->tier);
  if (reason != DP_REASON_NO_TARGET)
    return drained;
  return MAX (drained, dp_health_back_after (board, group, grant));
}

static void
refuse (
  DpSchedulerBoard *board, DpName entry, const DpGrantAsk *ask, DpReason reason, DpUsec wait)
{
  DpSchedulerAction *action = dp_scheduler_send (board, entry, DP_MESSAGE_GRANT_REFUSED);
  action->message.grant_refused = (DpGrantRefused){
    .attempt = ask->attempt, .group = ask->group, .reason = reason, .retry_after = wait
  };
  dp_scheduler_count (board, "dogwoodplank_grants_refused_total", "reason",
                      dp_reason_name (reason));
}

static void
send_given (DpSchedulerBoard *board, const DpGroupState *group, const DpGrant *grant)
{
  const DpTargetState *target = dp_table_get (board->targets, grant->target);
  DpSchedulerAction *action = dp_scheduler_send (board, grant->entry, DP_MESSAGE_GRANT_GIVEN);
  action->message.grant_given
    = (DpGrantGiven){ .attempt = grant->attempt, .group = group->name, .target = target->name };
}

static void
send_queued (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant)
{
  guint position = 0;
  for (guint i = 0; i <= grant->tier; i++)
    position += group->tiers[i].waiting;
  DpSchedulerAction *action = dp_scheduler_send (board, grant->entry, DP_MESSAGE_GRANT_QUEUED);
  action->message.grant_queued
    = (DpGrantQueued){ .attempt = grant->attempt,
                       .group = group->name,
                       .position = position,
                       .wait = dp_estimate_wait (board, group, grant) };
}

/* The grant must not wait any more. */
static void
give (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant, DpTargetState *target)
{
  grant->state = DP_GRANT_RUNNING;
  grant->granted_at = board->now;
  if (target->health != DP_HEALTH_GOOD)
    target->last_probe = board->now;
  dp_target_add (group, target, grant);
  group->running[grant->tier] += 1;
  dp_preempt_earn (group, grant->prefill_tokens);
  send_given (board, group, grant);
  dp_scheduler_count (board, "dogwoodplank_grants_given_total", NULL, NULL);
}

static DpGrant *
add_grant (DpSchedulerBoard *board, DpGroupState *group, DpName entry, DpId attempt)
{
  DpGrant *grant;
  DpHandle handle = dp_table_add (board->grants, (void **)&grant);
  grant->self = handle;
  grant->attempt = attempt;
  grant->entry = entry;
  grant->group = group->self;
  grant->arrived = board->now;
  grant->entry_link.data = grant;
  g_queue_push_tail_link (&dp_owners_entry (board, entry)->grants, &grant->entry_link);
  g_hash_table_insert (board->grant_by_attempt, &grant->attempt, grant);
  return grant;
}

static void
drop_grant (DpSchedulerBoard *board, DpGrant *grant)
{
  g_queue_unlink (&dp_owners_entry (board, grant->entry)->grants, &grant->entry_link);
  g_hash_table_remove (board->grant_by_attempt, &grant->attempt);
  dp_table_remove (board->grants, grant->self);
}

static guint
tier_index (const DpSchedulerBoard *board, DpName name)
{
  int tier = dp_manifest_find (board->manifest, DP_MANIFEST_TIER, name);
  guint lowest = MAX (board->tier_count, 1) - 1;
  return tier >= 0 ? MIN ((guint)tier, lowest) : lowest;
}

static DpGrant *
add_ask (DpSchedulerBoard *board, DpGroupState *group, DpName entry, const DpGrantAsk *ask)
{
  DpGrant *grant = add_grant (board, group, entry, ask->attempt);
  grant->tier_name = ask->tier;
  grant->tier = tier_index (board, ask->tier);
  grant->workspace = ask->workspace;
  grant->model = ask->model;
  grant->deadline = board->now + ask->remaining;
  grant->repeatable = ask->repeatable;
  grant->excluded_count = MIN (ask->excluded_count, DP_EXCLUDED_MAX);
  for (guint i = 0; i < grant->excluded_count; i++)
    grant->excluded[i] = ask->excluded[i];
  grant->prefix_count = MIN (ask->prefix_count, DP_PREFIX_BLOCKS_MAX);
  for (guint i = 0; i < grant->prefix_count; i++)
    grant->prefix[i] = ask->prefix[i];
  dp_estimate_ask (board, grant, ask);
  return grant;
}

/* Time of the fastest able target; the whole group's work goes into the grant. G_MAXINT64 if no
 * target is able. */
static DpUsec
fastest_service (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant)
{
  double rate = 0;
  DpUsec fastest = G_MAXINT64;
  DpPrefixMatch match;
  dp_prefix_match (group, grant, &match);
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (board, group, i);
      if (!dp_target_is_able (target, grant) || dp_health_is_down (board, target))
        continue;
      double cached = dp_prefix_cached (target, grant, &match);
      fastest = MIN (fastest, dp_estimate_idle (target, grant, cached));
      if (target->health == DP_HEALTH_GOOD)
        grant->best_cached = MAX (grant->best_cached, cached);
      rate += 1 / MAX (dp_estimate_work (target, grant, cached), 1e-6);
    }
  grant->work = rate > 0 ? 1 / rate : 0;
  return fastest;
}

static gboolean
misses_deadline (const DpSchedulerBoard *board, const DpGrant *grant, DpUsec service)
{
  return service != G_MAXINT64 && board->now + service > grant->deadline;
}

/* Fills in the grant's latest start. An answer longer than usual is planned for, unless only
 * the usual length is possible in time; of a tier that nothing runs of, and nothing may be
 * known of, the length that the manifest states is tried. FALSE: no target is able. */
static gboolean
measure_against_group (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant)
{
  DpUsec fastest = fastest_service (board, group, grant);
  if (misses_deadline (board, grant, fastest))
    {
      grant->is_doubtful = grant->tier > 0;
      grant->output_tokens = grant->output_least;
      fastest = fastest_service (board, group, grant);
    }
  guint others = group->running[grant->tier] + group->tiers[grant->tier].waiting;
  if (misses_deadline (board, grant, fastest) && others == 0)
    {
      grant->output_tokens = MIN (grant->output_stated, grant->output_least);
      fastest = fastest_service (board, group, grant);
    }
  if (fastest == G_MAXINT64)
    return FALSE;
  grant->latest_start = grant->deadline - fastest;
  return TRUE;
}

static gboolean
lower_tier_is_served (const DpGroupState *group, guint tier)
{
  for (guint i = tier + 1; i < DP_TIERS_MAX; i++)
    {
      if (group->running[i] > 0 || group->tiers[i].waiting > 0)
        return TRUE;
    }
  return FALSE;
}

static guint
running_below (const DpGroupState *group, guint tier)
{
  guint running = 0;
  for (guint i = tier + 1; i < DP_TIERS_MAX; i++)
    running += group->running[i];
  return running;
}

/* Makes room in a full queue for a request of that tier: what gives way is of the lowest tier
 * that runs or waits; of those that wait, the newest. FALSE: nothing below it can give way. */
static gboolean
displace_below (DpSchedulerBoard *board, DpGroupState *group, guint tier)
{
  int lowest = dp_queue_lowest_below (group, tier);
  guint bound = lowest >= 0 ? (guint)lowest : tier;
  DpGrant *running = dp_preempt_lowest_running (board, group, bound);
  if (running != NULL)
    {
      dp_grants_revoke (board, running, DP_REASON_PREEMPTED);
      dp_grants_fill (board, group);
      return TRUE;
    }
  if (running_below (group, bound) > group->waiting - board->options.queue_max)
    return TRUE;
  if (lowest < 0)
    return FALSE;
  DpGrant *victim = g_queue_peek_tail (&group->tiers[lowest].newest);
  dp_grants_revoke (board, victim, DP_REASON_DISPLACED);
  return TRUE;
}

/* NONE if the ask may wait in the queue. */
static DpReason
check_admission (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant)
{
  if (board->now > grant->latest_start)
    return DP_REASON_DEADLINE_UNREACHABLE;
  gboolean lower = lower_tier_is_served (group, grant->tier);
  if (group->waiting >= board->options.queue_max && !displace_below (board, group, grant->tier)
      && !lower)
    return DP_REASON_QUEUE_FULL;
  DpUsec wait = dp_estimate_wait (board, group, grant);
  gboolean trusted = board->now - group->active_since > DP_OWNER_TRUST_USEC;
  if (trusted && !lower && board->now + wait > grant->latest_start)
    return DP_REASON_DEADLINE_UNREACHABLE;
  return DP_REASON_NONE;
}

static gboolean
same_lane_waits (const DpGroupState *group, const DpGrant *grant)
{
  for (guint i = 0; i <= grant->tier; i++)
    {
      const DpTierQueue *queue = &group->tiers[i];
      for (guint k = 0; queue->waiting > 0 && k < queue->lanes->len; k++)
        {
          const DpLane *lane = g_ptr_array_index (queue->lanes, k);
          if (lane->model == grant->model && !g_sequence_is_empty (lane->flows))
            return TRUE;
        }
    }
  return FALSE;
}

/* Baselines send at once or refuse. */
static void
place_ask_alone (DpSchedulerBoard *board,
                 DpGroupState *group,
                 DpGrant *grant,
                 const DpGrantAsk *ask)
{
  DpTargetState *target = dp_baseline_choose (board, group, grant);
  if (target != NULL)
    {
      give (board, group, grant, target);
      return;
    }
  refuse (board, grant->entry, ask, DP_REASON_NO_TARGET, RETRY_AFTER_MIN_USEC);
  drop_grant (board, grant);
}

static void
place_ask (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant, const DpGrantAsk *ask)
{
  DpReason reason = DP_REASON_NO_TARGET;
  if (measure_against_group (board, group, grant))
    {
      DpTargetState *target = NULL;
      if (group->settled && !same_lane_waits (group, grant))
        target = dp_targets_choose (board, group, grant);
      if (target != NULL)
        {
          give (board, group, grant, target);
          return;
        }
      reason = check_admission (board, group, grant);
    }
  if (reason != DP_REASON_NONE)
    {
      refuse (board, grant->entry, ask, reason, come_again_after (board, group, grant, reason));
      drop_grant (board, grant);
      return;
    }
  dp_queue_push (board, group, grant);
  send_queued (board, group, grant);
  dp_grants_fill (board, group);
  if (grant->state == DP_GRANT_WAITING)
    dp_preempt_run_for (board, group, grant);
}

static void
fill_from_tier (DpSchedulerBoard *board, DpGroupState *group, DpTargetState *target, guint tier)
{
  while (group->tiers[tier].waiting > 0 && !dp_target_is_full (target))
    {
      DpGrant *grant = dp_queue_first_servable (board, group, tier, target);
      if (grant == NULL)
        return;
      dp_grants_give_waiting (board, group, grant, target);
    }
}

/* A target takes from the most urgent tier down; one that is set aside, from the lowest up. */
static void
fill_target (DpSchedulerBoard *board, DpGroupState *group, DpTargetState *target)
{
  gboolean good = target->health == DP_HEALTH_GOOD;
  if (dp_target_is_full (target))
    return;
  for (guint i = 0; i < board->tier_count; i++)
    fill_from_tier (board, group, target, good ? i : board->tier_count - 1 - i);
}

guint
dp_grants_hash_id (gconstpointer id)
{
  return (guint)((const DpId *)id)->low;
}

gboolean
dp_grants_equal_ids (gconstpointer a, gconstpointer b)
{
  return dp_id_equal (*(const DpId *)a, *(const DpId *)b);
}

DpGrant *
dp_grants_find (DpSchedulerBoard *board, DpId attempt)
{
  return g_hash_table_lookup (board->grant_by_attempt, &attempt);
}

void
dp_grants_give_waiting (DpSchedulerBoard *board,
                        DpGroupState *group,
                        DpGrant *grant,
                        DpTargetState *target)
{
  dp_queue_take (board, group, grant);
  give (board, group, grant, target);
}

void
dp_grants_forget (DpSchedulerBoard *board, DpGrant *grant)
{
  DpGroupState *group = dp_table_get (board->groups, grant->group);
  if (grant->state == DP_GRANT_WAITING)
    {
      dp_queue_remove (board, group, grant);
    }
  else
    {
      dp_target_remove (group, dp_table_get (board->targets, grant->target), grant);
      group->running[grant->tier] -= 1;
    }
  drop_grant (board, grant);
}

void
dp_grants_revoke (DpSchedulerBoard *board, DpGrant *grant, DpReason reason)
{
  DpGroupState *group = dp_table_get (board->groups, grant->group);
  DpSchedulerAction *action = dp_scheduler_send (board, grant->entry, DP_MESSAGE_GRANT_REVOKED);
  action->message.grant_revoked
    = (DpGrantRevoked){ .attempt = grant->attempt,
                        .group = group->name,
                        .reason = reason,
                        .retry_after = come_again_after (board, group, grant, reason) };
  dp_scheduler_count (board, "dogwoodplank_grants_revoked_total", "reason",
                      dp_reason_name (reason));
  dp_grants_forget (board, grant);
}

void
dp_grants_ask (DpSchedulerBoard *board, DpName entry, const DpGrantAsk *ask)
{
  DpGroupState *group = dp_scheduler_find_group (board, ask->group);
  if (group == NULL || !group->present)
    {
      refuse (board, entry, ask, DP_REASON_NO_TARGET, RETRY_AFTER_MIN_USEC);
      return;
    }
  dp_owners_entry (board, entry)->last_seen = board->now;
  dp_owners_activate (board, group);
  DpGrant *known = dp_grants_find (board, ask->attempt);
  if (known == NULL && board->options.policy != DP_POLICY_TIER_QUEUE)
    place_ask_alone (board, group, add_ask (board, group, entry, ask), ask);
  else if (known == NULL)
    place_ask (board, group, add_ask (board, group, entry, ask), ask);
  else if (known->state == DP_GRANT_RUNNING)
    send_given (board, group, known);
  else
    send_queued (board, group, known);
  dp_owners_advert (board, group, entry, FALSE);
}

void
dp_grants_progress (DpSchedulerBoard *board, DpName entry, const DpGrantProgress *progress)
{
  DpGrant *grant = dp_grants_find (board, progress->attempt);
  if (grant == NULL || grant->state != DP_GRANT_RUNNING || grant->started)
    return;
  DpTargetState *target = dp_table_get (board->targets, grant->target);
  DpGroupState *group = dp_table_get (board->groups, grant->group);
  grant->started = TRUE;
  dp_target_first_token (target, grant);
  if (group->settled)
    fill_target (board, group, target);
}

void
dp_grants_done (DpSchedulerBoard *board, DpName entry, const DpGrantDone *done)
{
  DpGrant *grant = dp_grants_find (board, done->attempt);
  if (grant == NULL)
    return;
  DpGroupState *group = dp_table_get (board->groups, grant->group);
  DpTargetState *target = NULL;
  if (grant->state == DP_GRANT_RUNNING)
    target = dp_table_get (board->targets, grant->target);
  if (done->reason == DP_REASON_NONE && done->output_tokens > 0)
    dp_estimate_learn_length (board, grant, done->output_tokens);
  if (target != NULL && done->reason == DP_REASON_NONE && done->prompt_tokens > 0)
    dp_prefix_counted (group, target, grant, done->cached_tokens);
  if (done->reason == DP_REASON_NONE)
    grant->started = TRUE;
  DpGrant over = *grant;
  dp_grants_forget (board, grant);
  if (target == NULL)
    return;
  dp_health_done (board, group, target, &over, done);
  if (group->settled)
    fill_target (board, group, target);
}

void
dp_grants_fill (DpSchedulerBoard *board, DpGroupState *group)
{
  if (!group->settled || group->waiting == 0)
    return;
  for (guint i = 0; i < group->targets->len && group->waiting > 0; i++)
    fill_target (board, group, dp_group_target (board, group, i));
}

void
dp_grants_expire (DpSchedulerBoard *board, DpGroupState *group)
{
  while (!g_sequence_is_empty (group->by_latest_start))
    {
      DpGrant *grant = g_sequence_get (g_sequence_get_begin_iter (group->by_latest_start));
      if (grant->latest_start >= board->now)
        return;
      dp_grants_revoke (board, grant, DP_REASON_DEADLINE_UNREACHABLE);
    }
}

void
dp_grants_adopt (DpSchedulerBoard *board, DpGroupState *group, DpName entry, const DpHeld *held)
{
  DpTargetState *target = dp_scheduler_find_target (board, held->target);
  if (target == NULL)
    return;
  DpGrant *grant = add_grant (board, group, entry, held->attempt);
  grant->state = DP_GRANT_RUNNING;
  grant->tier_name = held->tier;
  grant->tier = tier_index (board, held->tier);
  grant->workspace = held->workspace;
  grant->model = held->model;
  grant->cost = held->tokens;
  grant->kv_tokens = held->tokens;
  grant->granted_at = board->now;
  grant->started = held->started;
  grant->prompt_tokens = held->started ? 0 : held->tokens;
  dp_target_add (group, target, grant);
  group->running[grant->tier] += 1;
}
