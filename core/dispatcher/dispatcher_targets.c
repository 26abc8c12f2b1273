/* Targets of a pool: capacity, speed, failures and timeouts. */
#include "core/dispatcher/dispatcher_private.h"

/* Above this failure rate a target gets one request at a time. */
#define FAILURE_RATE_MAX 0.45
/* Weight of one outcome in the failure rate. */
#define FAILURE_RATE_GAIN 0.25
/* A failure rate of 1 multiplies a target's cost by 1 plus this. */
#define FAILURE_COST 4.0
/* A target that rejected a request as full gets none for this long. */
#define FULL_DURATION (30 * DP_USEC_PER_MSEC)
/* A prompt processed within this time is probably still in the target's cache. */
#define PROMPT_CACHE_AGE_MAX (5 * DP_USEC_PER_SEC)
/* Fraction by which a cached prompt reduces a target's cost. */
#define PROMPT_CACHE_GAIN 0.3
/* Relative increase of a target's cost when all its slots are used. The higher, the sooner a
 * slower but less loaded target is chosen. */
#define LOAD_COST 0.5
/* Prompt length for a choice of target before a choice of request. */
#define TYPICAL_TOKENS 1000

#define MSEC_PER_SEC 1000.0

DpDispatchTarget *
dp_dispatch_find_target (const DpDispatcher *dispatcher, DpName name)
{
  DpHandle *handle = g_hash_table_lookup (dispatcher->target_by_name, &name);
  return handle != NULL ? dp_table_get (dispatcher->targets, *handle) : NULL;
}

void
dp_dispatch_target_clear (void *row)
{
  DpDispatchTarget *target = row;
  g_clear_pointer (&target->requests, g_ptr_array_unref);
  g_clear_pointer (&target->limiter, g_free);
  g_clear_pointer (&target->brittle, dp_brittle_target_free);
  g_clear_pointer (&target->capacity, dp_capacity_free);
}

gboolean
dp_dispatch_is_accepting (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  return !target->is_draining && dispatcher->now >= target->paused_until;
}

static guint
window_extra (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (!dispatcher->is_short)
    return DP_WINDOW_EXTRA;
  guint extra = dp_transit_extra (&dispatcher->transit, target->slots);
  return dp_transit_bound_apply (&target->bound, extra, dispatcher->now);
}

void
dp_dispatch_lower_window (const DpDispatcher *dispatcher, DpDispatchTarget *target)
{
  guint extra = dp_transit_extra (&dispatcher->transit, target->slots);
  dp_transit_bound_lower (&target->bound, extra, dispatcher->now);
}

/* Number of requests that this dispatcher may have at the target. */
static guint
own_window (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  guint window = dp_dispatch_window (dispatcher, target) + window_extra (dispatcher, target)
                 - DP_WINDOW_EXTRA;
  if (dispatcher->others == 0)
    return window;
  double used = dispatcher->others_running / MAX (dp_table_count (dispatcher->targets), 1);
  double part = MAX (window - used, (double)window / (dispatcher->others + 1));
  return (guint)MAX (part, 1);
}

guint
dp_dispatch_free_capacity (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  guint window = own_window (dispatcher, target);
  if (!dp_dispatch_is_accepting (dispatcher, target) || dispatcher->now < target->full_until)
    return 0;
  if (target->is_suspect && dispatcher->now < target->next_probe_at)
    return 0;
  if (!dp_dispatch_limit_allows (dispatcher, target))
    return 0;
  if (target->is_suspect || target->failure_rate > FAILURE_RATE_MAX)
    window = 1;
  guint capacity = window > target->requests->len ? window - target->requests->len : 0;
  return MIN (capacity, dp_dispatch_brittle_capacity (dispatcher, target));
}

gboolean
dp_dispatch_is_excluded (const DpGrantAsk *ask, DpName target)
{
  for (guint i = 0; i < MIN (ask->excluded_count, DP_EXCLUDED_MAX); i++)
    if (ask->excluded[i] == target)
      return TRUE;
  return FALSE;
}

void
dp_dispatch_update_unlisted (DpDispatcher *dispatcher)
{
  const DpVersions *versions = dispatcher->options.versions;
  dispatcher->unlisted = 0;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0 && versions != NULL;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      target->is_unlisted = !dp_versions_may_begin (versions, dispatcher->options.pool,
                                                    target->version, dispatcher->now);
      dispatcher->unlisted += target->is_unlisted;
    }
  if (dispatcher->unlisted == 0)
    dispatcher->was_asked_with_unlisted = FALSE;
}

gboolean
dp_dispatch_may_use (const DpDispatcher *dispatcher,
                     const DpGrantAsk *ask,
                     const DpDispatchTarget *target)
{
  return !dp_dispatch_is_excluded (ask, target->name)
         && (ask->version == 0 || ask->version == target->version)
         && !(ask->begins_stream && target->is_unlisted)
         && dp_dispatch_rollout_allows (dispatcher, ask, target)
         && dp_dispatch_link_is_usable (dispatcher, ask, target);
}

/* TRUE if the target probably has the request's prompt cached. */
static gboolean
has_cached_prompt (const DpDispatcher *dispatcher,
                   const DpDispatchTarget *target,
                   const DpDispatchRequest *request)
{
  if (request == NULL || request->ask.session == 0)
    return FALSE;
  const DpSessionTarget *last
    = g_hash_table_lookup (dispatcher->sessions, &request->ask.session);
  return last != NULL && last->target == target->name
         && dispatcher->now - last->used_at < PROMPT_CACHE_AGE_MAX;
}

/* Relative time to the first event at the target. */
static double
base_cost (const DpDispatcher *dispatcher,
           const DpDispatchTarget *target,
           const DpDispatchRequest *request)
{
  if (!dp_dispatch_counts_prompts (dispatcher))
    return target->requests->len >= target->slots ? 2 * target->pace : target->pace;
  DpFirstEventTerms terms = dp_dispatch_first_event_terms (dispatcher, target);
  guint tokens = request != NULL ? request->ask.prompt_tokens : TYPICAL_TOKENS;
  return (double)dp_dispatch_expected_first_event (dispatcher, target, &terms, tokens);
}

/* Lower is better. */
static double
cost (const DpDispatcher *dispatcher,
      const DpDispatchTarget *target,
      const DpDispatchRequest *request)
{
  double load = (double)target->requests->len / MAX (target->slots, 1);
  double total_cost = base_cost (dispatcher, target, request) * (1 + LOAD_COST * load)
                      * (1 + FAILURE_COST * target->failure_rate);
  if (has_cached_prompt (dispatcher, target, request))
    total_cost *= 1 - PROMPT_CACHE_GAIN;
  return total_cost;
}

/* Removes the candidates of the other version, unless there are no others. */
static void
keep_side (const DpDispatcher *dispatcher, GPtrArray *candidates, DpDispatchSide side)
{
  guint count = 0;
  for (guint i = 0; i < candidates->len; i++)
    count += dp_dispatch_is_on_side (dispatcher, g_ptr_array_index (candidates, i), side);
  for (guint i = candidates->len; i > 0 && count > 0; i--)
    if (!dp_dispatch_is_on_side (dispatcher, g_ptr_array_index (candidates, i - 1), side))
      g_ptr_array_remove_index (candidates, i - 1);
}

/* FALSE if the target has as many requests of this VM as it may get of one VM, or has just
 * rejected one. */
static gboolean
is_within_own_bound (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (dispatcher->options.is_shared || !dispatcher->options.bounds_own_requests)
    return TRUE;
  return target->requests->len < target->slots && dispatcher->now >= target->full_until;
}

/* Returns the less loaded of two random targets, regardless of their health. Limits are kept,
 * and brittle targets get no more than they can run. */
static DpDispatchTarget *
choose_of_two (DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  GPtrArray *candidates = g_ptr_array_new ();
  DpDispatchSide side = dp_dispatch_rollout_side (dispatcher, request);
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (dp_dispatch_is_accepting (dispatcher, target)
          && is_within_own_bound (dispatcher, target)
          && dp_dispatch_limit_allows (dispatcher, target)
          && dp_dispatch_brittle_capacity (dispatcher, target) > 0
          && (request != NULL ? dp_dispatch_may_use (dispatcher, &request->ask, target)
                              : dp_dispatch_rollout_allows (dispatcher, NULL, target)))
        g_ptr_array_add (candidates, target);
    }
  keep_side (dispatcher, candidates, side);
  DpDispatchTarget *best = NULL;
  for (guint i = 0; i < 2 && candidates->len > 0; i++)
    {
      dispatcher->random = dp_hash_bytes (&dispatcher->random, sizeof dispatcher->random, i);
      DpDispatchTarget *candidate
        = g_ptr_array_index (candidates, dispatcher->random % candidates->len);
      if (best == NULL || candidate->requests->len < best->requests->len)
        best = candidate;
    }
  g_ptr_array_unref (candidates);
  return best;
}

static gboolean
may_choose (const DpDispatcher *dispatcher,
            const DpDispatchRequest *request,
            const DpDispatchTarget *target)
{
  if (!dp_dispatch_may_use (dispatcher, &request->ask, target))
    return FALSE;
  DpFirstEventTerms terms = dp_dispatch_first_event_terms (dispatcher, target);
  return !dp_dispatch_has_prompts_enough (dispatcher, target, &terms, request);
}

DpDispatchTarget *
dp_dispatch_choose_target (DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  if (dispatcher->policy == DP_DISPATCH_TWO_CHOICES)
    return choose_of_two (dispatcher, request);
  DpDispatchTarget *best = NULL;
  double best_cost = 0;
  gboolean is_best_on_side = FALSE;
  DpDispatchSide side = dp_dispatch_rollout_side (dispatcher, request);
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (dp_dispatch_free_capacity (dispatcher, target) == 0)
        continue;
      if (request != NULL ? !may_choose (dispatcher, request, target)
                          : target->skipped_round == dispatcher->assign_round
                              || !dp_dispatch_rollout_allows (dispatcher, NULL, target))
        continue;
      double found_cost = cost (dispatcher, target, request);
      gboolean is_on_side = dp_dispatch_is_on_side (dispatcher, target, side);
      if (best != NULL
          && (is_on_side != is_best_on_side ? !is_on_side : found_cost >= best_cost))
        continue;
      best = target;
      best_cost = found_cost;
      is_best_on_side = is_on_side;
    }
  return best;
}

static void
mark_suspect (DpDispatcher *dispatcher, DpDispatchTarget *target)
{
  target->probe_interval = target->is_suspect
                             ? MIN (2 * target->probe_interval, DP_PROBE_INTERVAL_MAX)
                             : DP_PROBE_INTERVAL_MIN;
  target->is_suspect = TRUE;
  target->next_probe_at = dispatcher->now + target->probe_interval;
  dp_counters_add (dispatcher->options.counters, "dogwoodplank_targets_suspected_total", NULL,
                   NULL, 1);
}

void
dp_dispatch_record_success (DpDispatcher *dispatcher, DpDispatchTarget *target)
{
  target->failure_rate -= target->failure_rate * FAILURE_RATE_GAIN;
  target->is_suspect = FALSE;
}

void
dp_dispatch_record_failure (DpDispatcher *dispatcher, DpDispatchTarget *target, DpReason reason)
{
  if (reason == DP_REASON_NO_TARGET)
    {
      target->full_until = dispatcher->now + FULL_DURATION;
      return;
    }
  target->failure_rate += (1 - target->failure_rate) * FAILURE_RATE_GAIN;
  gboolean is_unresponsive
    = reason == DP_REASON_CONNECT_FAILED || reason == DP_REASON_TARGET_SILENT;
  /* Other failures of a suspect target count only when a probe is due, since several running
   * requests may fail at the same moment. */
  if (is_unresponsive || (target->is_suspect && dispatcher->now >= target->next_probe_at))
    mark_suspect (dispatcher, target);
}

DpUsec
dp_dispatch_fastest_first_event (const DpDispatcher *dispatcher, guint prompt_tokens)
{
  double pace = 0;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (dp_dispatch_is_accepting (dispatcher, target) && !target->is_suspect
          && dp_dispatch_rollout_uses (dispatcher, target)
          && (pace == 0 || target->pace < pace))
        pace = target->pace;
    }
  return dp_latency_model_expected (&dispatcher->latency_model, prompt_tokens,
                                    pace > 0 ? pace : 1);
}

double
dp_dispatch_usable_slots (const DpDispatcher *dispatcher, double slot_ms)
{
  double slots = 0;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (!dp_dispatch_is_accepting (dispatcher, target) || target->is_suspect
          || !dp_dispatch_rollout_uses (dispatcher, target))
        continue;
      guint target_slots = MIN (target->slots, dp_dispatch_window (dispatcher, target));
      double limit = target->limiter != NULL
                       ? dp_target_limiter_rate (target->limiter, dispatcher->reach) * slot_ms
                           / MSEC_PER_SEC
                       : target_slots;
      slots += MIN (target_slots, limit);
    }
  return slots;
}

static gboolean
is_overdue (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  if (request->started || request->was_adopted || request->was_revoked)
    return FALSE;
  return dispatcher->now - request->granted_at > dp_latency_model_overdue_after (
           &dispatcher->latency_model, request->expected_first_event);
}

/* Revokes repeatable requests, which can run elsewhere. Others have to wait for their response.
 */
static void
revoke_overdue (DpDispatcher *dispatcher, DpDispatchTarget *target)
{
  for (guint i = target->requests->len; i > 0; i--)
    {
      DpDispatchRequest *request = g_ptr_array_index (target->requests, i - 1);
      if (is_overdue (dispatcher, request) && request->ask.repeatable)
        dp_dispatch_revoke (dispatcher, request, DP_REASON_TARGET_SILENT);
    }
}

/* A VM that has lost its links also gets no responses on connections from before, which says
 * nothing about the targets. */
static gboolean
is_entry_cut_off (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  const DpDispatchEntry *entry = g_hash_table_lookup (dispatcher->entries, &request->entry);
  return entry != NULL && entry->is_cut_off;
}

void
dp_dispatch_check_timeouts (DpDispatcher *dispatcher)
{
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      gboolean overdue = FALSE;
      gboolean is_silent = FALSE;
      for (guint i = 0; i < target->requests->len && !is_silent; i++)
        {
          const DpDispatchRequest *request = g_ptr_array_index (target->requests, i);
          if (!is_overdue (dispatcher, request))
            continue;
          overdue = TRUE;
          is_silent = !is_entry_cut_off (dispatcher, request);
        }
      if (!overdue)
        continue;
      if (is_silent && (!target->is_suspect || dispatcher->now >= target->next_probe_at))
        mark_suspect (dispatcher, target);
      revoke_overdue (dispatcher, target);
    }
}
