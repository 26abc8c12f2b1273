/* Requests and grants: admission, assignment to targets, revocation. */
#include "core/scheduler_private.h"

#define RETRY_AFTER_MIN_USEC (100 * DP_USEC_PER_MSEC)

static DpUsec
drain_retry_after (const DpGroupState *group, guint tier)
{
  return MAX (dp_estimate_drain_time (group, tier), RETRY_AFTER_MIN_USEC);
}

/* Retry delay for a request that is refused or revoked for that reason. */
static DpUsec
reason_retry_after (DpSchedulerCore *core,
                    const DpGroupState *group,
                    const DpGrant *grant,
                    DpReason reason)
{
  DpUsec drained = drain_retry_after (group, grant->tier);
  if (reason != DP_REASON_NO_TARGET)
    return drained;
  return MAX (drained, dp_health_recovery_delay (core, group, grant));
}

static void
refuse (
  DpSchedulerCore *core, DpName entry, const DpGrantAsk *ask, DpReason reason, DpUsec wait)
{
  DpSchedulerAction *action = dp_scheduler_send (core, entry, DP_MESSAGE_GRANT_REFUSED);
  action->message.grant_refused = (DpGrantRefused){
    .attempt = ask->attempt, .group = ask->group, .reason = reason, .retry_after = wait
  };
  dp_scheduler_count (core, "dogwoodplank_grants_refused_total", "reason",
                      dp_reason_name (reason));
}

static void
send_given (DpSchedulerCore *core, const DpGroupState *group, const DpGrant *grant)
{
  const DpTargetState *target = dp_table_get (core->targets, grant->target);
  DpSchedulerAction *action = dp_scheduler_send (core, grant->entry, DP_MESSAGE_GRANT_GIVEN);
  action->message.grant_given
    = (DpGrantGiven){ .attempt = grant->attempt, .group = group->name, .target = target->name };
}

static void
send_queued (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant)
{
  guint position = 0;
  for (guint i = 0; i <= grant->tier; i++)
    position += group->tiers[i].waiting;
  DpSchedulerAction *action = dp_scheduler_send (core, grant->entry, DP_MESSAGE_GRANT_QUEUED);
  action->message.grant_queued
    = (DpGrantQueued){ .attempt = grant->attempt,
                       .group = group->name,
                       .position = position,
                       .wait = dp_estimate_wait_time (core, group, grant) };
}

/* The grant must not be in a queue. */
static void
assign_target (DpSchedulerCore *core,
               DpGroupState *group,
               DpGrant *grant,
               DpTargetState *target)
{
  grant->state = DP_GRANT_RUNNING;
  grant->granted_at = core->now;
  if (target->health != DP_HEALTH_GOOD)
    target->last_probe = core->now;
  dp_target_add (group, target, grant);
  group->running[grant->tier] += 1;
  dp_preempt_add_budget (group, grant->prefill_tokens);
  send_given (core, group, grant);
  dp_scheduler_count (core, "dogwoodplank_grants_given_total", NULL, NULL);
}

static DpGrant *
add_grant (DpSchedulerCore *core, DpGroupState *group, DpName entry, DpId attempt)
{
  DpGrant *grant;
  DpHandle handle = dp_table_add (core->grants, (void **)&grant);
  grant->self = handle;
  grant->attempt = attempt;
  grant->entry = entry;
  grant->group = group->self;
  grant->arrived = core->now;
  grant->entry_link.data = grant;
  g_queue_push_tail_link (&dp_owners_obtain_entry (core, entry)->grants, &grant->entry_link);
  g_hash_table_insert (core->grant_by_attempt, &grant->attempt, grant);
  return grant;
}

static void
delete_grant (DpSchedulerCore *core, DpGrant *grant)
{
  g_queue_unlink (&dp_owners_obtain_entry (core, grant->entry)->grants, &grant->entry_link);
  g_hash_table_remove (core->grant_by_attempt, &grant->attempt);
  dp_table_remove (core->grants, grant->self);
}

static guint
tier_index (const DpSchedulerCore *core, DpName name)
{
  int tier = dp_manifest_find (core->manifest, DP_MANIFEST_TIER, name);
  guint lowest = MAX (core->tier_count, 1) - 1;
  return tier >= 0 ? MIN ((guint)tier, lowest) : lowest;
}

static DpGrant *
add_request (DpSchedulerCore *core, DpGroupState *group, DpName entry, const DpGrantAsk *ask)
{
  DpGrant *grant = add_grant (core, group, entry, ask->attempt);
  grant->tier_name = ask->tier;
  grant->tier = tier_index (core, ask->tier);
  grant->workspace = ask->workspace;
  grant->model = ask->model;
  grant->deadline = core->now + ask->remaining;
  grant->repeatable = ask->repeatable;
  grant->excluded_count = MIN (ask->excluded_count, DP_EXCLUDED_MAX);
  for (guint i = 0; i < grant->excluded_count; i++)
    grant->excluded[i] = ask->excluded[i];
  grant->prefix_count = MIN (ask->prefix_count, DP_PREFIX_BLOCKS_MAX);
  for (guint i = 0; i < grant->prefix_count; i++)
    grant->prefix[i] = ask->prefix[i];
  dp_estimate_request (core, grant, ask);
  return grant;
}

/* Returns the service time on the fastest eligible target if idle, G_MAXINT64 if there is none.
 * Sets the grant's work and best_cached. */
static DpUsec
estimate_on_targets (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  double rate = 0;
  DpUsec fastest = G_MAXINT64;
  DpPrefixMatch match;
  dp_prefix_match (group, grant, &match);
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (core, group, i);
      if (!dp_target_is_eligible (target, grant) || dp_health_is_in_backoff (core, target))
        continue;
      double cached = dp_prefix_matched_tokens (target, grant, &match);
      fastest = MIN (fastest, dp_estimate_idle_service_time (target, grant, cached));
      if (target->health == DP_HEALTH_GOOD)
        grant->best_cached = MAX (grant->best_cached, cached);
      rate += 1 / MAX (dp_estimate_work (target, grant, cached), 1e-6);
    }
  grant->work = rate > 0 ? 1 / rate : 0;
  return fastest;
}

static gboolean
misses_deadline (const DpSchedulerCore *core, const DpGrant *grant, DpUsec service)
{
  return service != G_MAXINT64 && core->now + service > grant->deadline;
}

/* Sets the grant's latest start and work. If the planned output length would miss the deadline,
 * output_min is planned instead. If that would miss it too, output_last_resort is planned, but
 * only while no other request of the tier runs or waits: otherwise a tier without measured
 * lengths might never be served. FALSE: no target is eligible. */
static gboolean
set_latest_start (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  DpUsec fastest = estimate_on_targets (core, group, grant);
  if (misses_deadline (core, grant, fastest))
    {
      grant->needs_short_output = grant->tier > 0;
      grant->output_tokens = grant->output_min;
      fastest = estimate_on_targets (core, group, grant);
    }
  guint same_tier = group->running[grant->tier] + group->tiers[grant->tier].waiting;
  if (misses_deadline (core, grant, fastest) && same_tier == 0)
    {
      grant->output_tokens = MIN (grant->output_last_resort, grant->output_min);
      fastest = estimate_on_targets (core, group, grant);
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

/* Makes room in a full queue for a request of that tier: preempts a running request or drops
 * the newest waiting one, whichever is of the lowest tier. If the lowest ones run and may not
 * be preempted, the queue may exceed its limit by their number instead. FALSE: no room. */
static gboolean
make_queue_room (DpSchedulerCore *core, DpGroupState *group, guint tier)
{
  int lowest = dp_queue_lowest_tier_below (group, tier);
  guint bound = lowest >= 0 ? (guint)lowest : tier;
  DpGrant *running = dp_preempt_find_victim (core, group, bound);
  if (running != NULL)
    {
      dp_grants_revoke (core, running, DP_REASON_PREEMPTED);
      dp_grants_fill (core, group);
      return TRUE;
    }
  if (running_below (group, bound) > group->waiting - core->options.queue_max)
    return TRUE;
  if (lowest < 0)
    return FALSE;
  DpGrant *victim = g_queue_peek_tail (&group->tiers[lowest].by_arrival);
  dp_grants_revoke (core, victim, DP_REASON_DISPLACED);
  return TRUE;
}

/* Returns DP_REASON_NONE if the request may be queued. No request is refused for a full queue
 * or a long wait while lower tiers are served. */
static DpReason
check_admission (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant)
{
  if (core->now > grant->latest_start)
    return DP_REASON_DEADLINE_UNREACHABLE;
  gboolean lower_served = lower_tier_is_served (group, grant->tier);
  if (group->waiting >= core->options.queue_max && !make_queue_room (core, group, grant->tier)
      && !lower_served)
    return DP_REASON_QUEUE_FULL;
  DpUsec wait = dp_estimate_wait_time (core, group, grant);
  gboolean warmed_up = core->now - group->active_since > DP_OWNER_WARMUP_USEC;
  if (warmed_up && !lower_served && core->now + wait > grant->latest_start)
    return DP_REASON_DEADLINE_UNREACHABLE;
  return DP_REASON_NONE;
}

/* TRUE if a request of this or a higher tier waits for the same model. */
static gboolean
same_model_waits (const DpGroupState *group, const DpGrant *grant)
{
  for (guint i = 0; i <= grant->tier; i++)
    {
      const DpTierQueue *queue = &group->tiers[i];
      for (guint k = 0; queue->waiting > 0 && k < queue->model_queues->len; k++)
        {
          const DpModelQueue *model_queue = g_ptr_array_index (queue->model_queues, k);
          if (model_queue->model == grant->model && !g_sequence_is_empty (model_queue->flows))
            return TRUE;
        }
    }
  return FALSE;
}

/* Baseline policies: grants a target at once or refuses. */
static void
place_unqueued (DpSchedulerCore *core,
                DpGroupState *group,
                DpGrant *grant,
                const DpGrantAsk *ask)
{
  DpTargetState *target = dp_baseline_choose (core, group, grant);
  if (target != NULL)
    {
      assign_target (core, group, grant, target);
      return;
    }
  refuse (core, grant->entry, ask, DP_REASON_NO_TARGET, RETRY_AFTER_MIN_USEC);
  delete_grant (core, grant);
}

static void
place_request (DpSchedulerCore *core,
               DpGroupState *group,
               DpGrant *grant,
               const DpGrantAsk *ask)
{
  DpReason reason = DP_REASON_NO_TARGET;
  if (set_latest_start (core, group, grant))
    {
      DpTargetState *target = NULL;
      if (group->is_synced && !same_model_waits (group, grant))
        target = dp_targets_choose (core, group, grant);
      if (target != NULL)
        {
          assign_target (core, group, grant, target);
          return;
        }
      reason = check_admission (core, group, grant);
    }
  if (reason != DP_REASON_NONE)
    {
      refuse (core, grant->entry, ask, reason, reason_retry_after (core, group, grant, reason));
      delete_grant (core, grant);
      return;
    }
  dp_queue_push (core, group, grant);
  send_queued (core, group, grant);
  dp_grants_fill (core, group);
  if (grant->state == DP_GRANT_WAITING)
    dp_preempt_for_grant (core, group, grant);
}

static void
fill_from_tier (DpSchedulerCore *core, DpGroupState *group, DpTargetState *target, guint tier)
{
  while (group->tiers[tier].waiting > 0 && !dp_target_is_full (target))
    {
      DpGrant *grant = dp_queue_first_servable (core, group, tier, target);
      if (grant == NULL)
        return;
      dp_grants_assign (core, group, grant, target);
    }
}

/* A healthy target is filled from the top tier down. An ejected one gets its probe from the
 * lowest tier that has a suitable request. */
static void
fill_target (DpSchedulerCore *core, DpGroupState *group, DpTargetState *target)
{
  gboolean good = target->health == DP_HEALTH_GOOD;
  if (dp_target_is_full (target))
    return;
  for (guint i = 0; i < core->tier_count; i++)
    fill_from_tier (core, group, target, good ? i : core->tier_count - 1 - i);
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
dp_grants_find (DpSchedulerCore *core, DpId attempt)
{
  return g_hash_table_lookup (core->grant_by_attempt, &attempt);
}

void
dp_grants_assign (DpSchedulerCore *core,
                  DpGroupState *group,
                  DpGrant *grant,
                  DpTargetState *target)
{
  dp_queue_take (core, group, grant);
  assign_target (core, group, grant, target);
}

void
dp_grants_remove (DpSchedulerCore *core, DpGrant *grant)
{
  DpGroupState *group = dp_table_get (core->groups, grant->group);
  if (grant->state == DP_GRANT_WAITING)
    {
      dp_queue_remove (core, group, grant);
    }
  else
    {
      dp_target_remove (group, dp_table_get (core->targets, grant->target), grant);
      group->running[grant->tier] -= 1;
    }
  delete_grant (core, grant);
}

void
dp_grants_revoke (DpSchedulerCore *core, DpGrant *grant, DpReason reason)
{
  DpGroupState *group = dp_table_get (core->groups, grant->group);
  DpSchedulerAction *action = dp_scheduler_send (core, grant->entry, DP_MESSAGE_GRANT_REVOKED);
  action->message.grant_revoked
    = (DpGrantRevoked){ .attempt = grant->attempt,
                        .group = group->name,
                        .reason = reason,
                        .retry_after = reason_retry_after (core, group, grant, reason) };
  dp_scheduler_count (core, "dogwoodplank_grants_revoked_total", "reason",
                      dp_reason_name (reason));
  dp_grants_remove (core, grant);
}

void
dp_grants_on_ask (DpSchedulerCore *core, DpName entry, const DpGrantAsk *ask)
{
  DpGroupState *group = dp_scheduler_find_group (core, ask->group);
  if (group == NULL || !group->present)
    {
      refuse (core, entry, ask, DP_REASON_NO_TARGET, RETRY_AFTER_MIN_USEC);
      return;
    }
  dp_owners_obtain_entry (core, entry)->last_seen = core->now;
  dp_owners_activate (core, group);
  DpGrant *known = dp_grants_find (core, ask->attempt);
  if (known == NULL && core->options.policy != DP_POLICY_TIER_QUEUE)
    place_unqueued (core, group, add_request (core, group, entry, ask), ask);
  else if (known == NULL)
    place_request (core, group, add_request (core, group, entry, ask), ask);
  else if (known->state == DP_GRANT_RUNNING)
    send_given (core, group, known);
  else
    send_queued (core, group, known);
  dp_owners_send_advert (core, group, entry, FALSE);
}

void
dp_grants_on_progress (DpSchedulerCore *core, DpName entry, const DpGrantProgress *progress)
{
  DpGrant *grant = dp_grants_find (core, progress->attempt);
  if (grant == NULL || grant->state != DP_GRANT_RUNNING || grant->started)
    return;
  DpTargetState *target = dp_table_get (core->targets, grant->target);
  DpGroupState *group = dp_table_get (core->groups, grant->group);
  grant->started = TRUE;
  dp_target_end_prefill (target, grant);
  if (group->is_synced)
    fill_target (core, group, target);
}

void
dp_grants_on_done (DpSchedulerCore *core, DpName entry, const DpGrantDone *done)
{
  DpGrant *grant = dp_grants_find (core, done->attempt);
  if (grant == NULL)
    return;
  DpGroupState *group = dp_table_get (core->groups, grant->group);
  DpTargetState *target = NULL;
  if (grant->state == DP_GRANT_RUNNING)
    target = dp_table_get (core->targets, grant->target);
  if (done->reason == DP_REASON_NONE && done->output_tokens > 0)
    dp_estimate_record_length (core, grant, done->output_tokens);
  if (target != NULL && done->reason == DP_REASON_NONE && done->prompt_tokens > 0)
    dp_prefix_on_usage (group, target, grant, done->cached_tokens);
  if (done->reason == DP_REASON_NONE)
    grant->started = TRUE;
  DpGrant ended = *grant;
  dp_grants_remove (core, grant);
  if (target == NULL)
    return;
  dp_health_on_done (core, group, target, &ended, done);
  if (group->is_synced)
    fill_target (core, group, target);
}

void
dp_grants_fill (DpSchedulerCore *core, DpGroupState *group)
{
  if (!group->is_synced || group->waiting == 0)
    return;
  for (guint i = 0; i < group->targets->len && group->waiting > 0; i++)
    fill_target (core, group, dp_group_target (core, group, i));
}

void
dp_grants_expire (DpSchedulerCore *core, DpGroupState *group)
{
  while (!g_sequence_is_empty (group->by_latest_start))
    {
      DpGrant *grant = g_sequence_get (g_sequence_get_begin_iter (group->by_latest_start));
      if (grant->latest_start >= core->now)
        return;
      dp_grants_revoke (core, grant, DP_REASON_DEADLINE_UNREACHABLE);
    }
}

void
dp_grants_adopt (DpSchedulerCore *core,
                 DpGroupState *group,
                 DpName entry,
                 const DpHeldGrant *held)
{
  DpTargetState *target = dp_scheduler_find_target (core, held->target);
  if (target == NULL)
    return;
  DpGrant *grant = add_grant (core, group, entry, held->attempt);
  grant->state = DP_GRANT_RUNNING;
  grant->tier_name = held->tier;
  grant->tier = tier_index (core, held->tier);
  grant->workspace = held->workspace;
  grant->model = held->model;
  grant->cost = held->tokens;
  grant->kv_tokens = held->tokens;
  grant->granted_at = core->now;
  grant->started = held->started;
  grant->prompt_tokens = held->started ? 0 : held->tokens;
  dp_target_add (group, target, grant);
  group->running[grant->tier] += 1;
}
