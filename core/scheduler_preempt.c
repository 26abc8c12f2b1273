/* Preemption: a waiting request displaces running ones of lower tiers.
 *
 * Victims are taken from the lowest tier, and within a tier in order of least computed prefill,
 * which is lost. A request that has its first token is preempted only for one that would
 * otherwise miss its deadline. A request that must not be repeated is never preempted. */
#include "core/scheduler_private.h"

/* Requests of the top tier preempt after waiting this long. */
#define TOP_TIER_WAIT_MAX_USEC (100 * DP_USEC_PER_MSEC)
/* Requests of any tier preempt this long before their latest start. */
#define CRITICAL_MARGIN_USEC (300 * DP_USEC_PER_MSEC)
/* Preemption without a deadline at risk may waste this fraction of the prompt tokens sent. */
#define WASTE_FRACTION 0.005
#define WASTE_BUDGET_MAX 8000
/* Victims per preempting request. */
#define VICTIMS_MAX 8
/* Waiting requests examined per pass. */
#define SCAN_MAX 64

typedef struct Plan
{
  DpTargetState *target;
  guint count;
  DpGrant *victims[VICTIMS_MAX];
  guint highest_tier; /* most urgent tier of the victims */
  double waste;       /* their computed prompt tokens */
} Plan;

/* Prompt tokens that the target has computed for the grant, estimated. */
static double
computed_prefill (const DpSchedulerCore *core,
                  const DpTargetState *target,
                  const DpGrant *grant)
{
  if (grant->started)
    return grant->prompt_tokens;
  double seconds = (double)(core->now - grant->granted_at) / (double)DP_USEC_PER_SEC;
  return MIN (grant->prefill_tokens, seconds * target->prefill_speed);
}

static gboolean
may_be_victim (const DpGrant *victim, guint tier, gboolean critical)
{
  if (!victim->repeatable || victim->tier <= tier)
    return FALSE;
  return critical || !victim->started;
}

/* TRUE if `a` is to be preempted before `b`. */
static gboolean
is_better_victim (const DpSchedulerCore *core,
                  const DpTargetState *target,
                  const DpGrant *a,
                  const DpGrant *b)
{
  if (a->tier != b->tier)
    return a->tier > b->tier;
  return computed_prefill (core, target, a) < computed_prefill (core, target, b);
}

static gboolean
plan_contains (const Plan *plan, const DpGrant *grant)
{
  for (guint i = 0; i < plan->count; i++)
    {
      if (plan->victims[i] == grant)
        return TRUE;
    }
  return FALSE;
}

static DpGrant *
next_victim (const DpSchedulerCore *core,
             const Plan *plan,
             const DpTargetState *target,
             guint tier,
             gboolean critical)
{
  DpGrant *best = NULL;
  for (guint i = 0; i < target->grants->len; i++)
    {
      DpGrant *grant = g_ptr_array_index (target->grants, i);
      if (!may_be_victim (grant, tier, critical) || plan_contains (plan, grant))
        continue;
      if (best == NULL || is_better_victim (core, target, grant, best))
        best = grant;
    }
  return best;
}

static gboolean
fits_after (const Plan *plan, const DpTargetState *target, const DpGrant *grant)
{
  DpFreedCapacity freed = { .count = plan->count };
  for (guint i = 0; i < plan->count; i++)
    {
      freed.tokens += plan->victims[i]->kv_tokens;
      freed.prefill += plan->victims[i]->prefill_tokens;
    }
  return dp_target_has_room_without (target, grant, &freed);
}

/* Plans the cheapest victims on the target that make room for the grant. FALSE if there are
 * none. */
static gboolean
plan_target (const DpSchedulerCore *core,
             DpTargetState *target,
             const DpGrant *grant,
             gboolean critical,
             Plan *plan)
{
  *plan = (Plan){ .target = target, .highest_tier = DP_TIERS_MAX };
  while (!fits_after (plan, target, grant))
    {
      DpGrant *victim = next_victim (core, plan, target, grant->tier, critical);
      if (victim == NULL || plan->count == VICTIMS_MAX)
        return FALSE;
      plan->victims[plan->count] = victim;
      plan->count += 1;
      plan->highest_tier = MIN (plan->highest_tier, victim->tier);
      plan->waste += computed_prefill (core, target, victim);
    }
  return TRUE;
}

static gboolean
is_better_plan (const Plan *a, const Plan *b)
{
  if (b->target == NULL || a->highest_tier != b->highest_tier)
    return b->target == NULL || a->highest_tier > b->highest_tier;
  return a->waste < b->waste;
}

static gboolean
preempt_for (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant, gboolean critical)
{
  Plan best = { .target = NULL };
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      Plan plan;
      double cached = dp_prefix_cached_tokens (target, grant);
      if (!dp_target_is_eligible (target, grant) || target->health != DP_HEALTH_GOOD
          || core->now + dp_estimate_idle_service_time (target, grant, cached) > grant->deadline
          || (!critical && dp_prefix_should_wait (core, target, grant, cached)))
        continue;
      if (plan_target (core, target, grant, critical, &plan) && is_better_plan (&plan, &best))
        best = plan;
    }
  if (best.target == NULL || (!critical && best.waste > group->waste_budget))
    return FALSE;
  group->waste_budget = MAX (group->waste_budget - best.waste, 0);
  for (guint i = 0; i < best.count; i++)
    dp_grants_revoke (core, best.victims[i], DP_REASON_PREEMPTED);
  dp_grants_assign (core, group, grant, best.target);
  return TRUE;
}

static gboolean
has_running_below (const DpGroupState *group, guint tier)
{
  for (guint i = tier + 1; i < DP_TIERS_MAX; i++)
    {
      if (group->running[i] > 0)
        return TRUE;
    }
  return FALSE;
}

/* Preempts for requests of the top tier that have waited too long, oldest first. */
static void
serve_top_tier (DpSchedulerCore *core, DpGroupState *group)
{
  GList *next;
  guint examined = 0;
  for (GList *link = group->tiers[0].by_arrival.head; link != NULL && examined < SCAN_MAX;
       link = next)
    {
      DpGrant *grant = link->data;
      next = link->next;
      examined++;
      if (core->now - grant->arrived < TOP_TIER_WAIT_MAX_USEC || !has_running_below (group, 0))
        return;
      preempt_for (core, group, grant, FALSE);
    }
}

void
dp_preempt_for_grant (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  if (!group->is_synced || grant->latest_start - core->now > CRITICAL_MARGIN_USEC)
    return;
  if (has_running_below (group, grant->tier))
    preempt_for (core, group, grant, !grant->needs_short_output);
}

/* Preempts for requests that are about to miss their deadlines. */
static void
serve_critical (DpSchedulerCore *core, DpGroupState *group)
{
  guint examined = 0;
  GSequenceIter *next;
  for (GSequenceIter *at = g_sequence_get_begin_iter (group->by_latest_start);
       !g_sequence_iter_is_end (at) && examined < SCAN_MAX; at = next)
    {
      DpGrant *grant = g_sequence_get (at);
      next = g_sequence_iter_next (at);
      examined++;
      if (grant->latest_start - core->now > CRITICAL_MARGIN_USEC)
        return;
      dp_preempt_for_grant (core, group, grant);
    }
}

DpGrant *
dp_preempt_find_victim (DpSchedulerCore *core, DpGroupState *group, guint tier)
{
  DpGrant *best = NULL;
  if (!has_running_below (group, tier))
    return NULL;
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      Plan none = { .count = 0 };
      DpGrant *victim = next_victim (core, &none, target, tier, TRUE);
      if (victim == NULL)
        continue;
      if (best == NULL || is_better_victim (core, target, victim, best))
        best = victim;
    }
  return best;
}

void
dp_preempt_add_budget (DpGroupState *group, double prompt_tokens)
{
  group->waste_budget
    = MIN (group->waste_budget + WASTE_FRACTION * prompt_tokens, WASTE_BUDGET_MAX);
}

void
dp_preempt_run (DpSchedulerCore *core, DpGroupState *group)
{
  if (!group->is_synced || group->waiting == 0)
    return;
  serve_critical (core, group);
  serve_top_tier (core, group);
}
