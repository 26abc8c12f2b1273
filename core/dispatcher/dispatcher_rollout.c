/* Staged roll-outs in a pool's dispatcher: which targets a request may be given, and what the
 * roll-out learns from requests. The decisions are those of core/rollout/. */
#include "core/dispatcher/dispatcher_private.h"

/* Participants are preferred up to this multiple of the old targets' average load, so that they
 * carry what an old target often carries. */
#define LOAD_FACTOR 1.5

typedef struct PoolLoad
{
  double old_load; /* requests per slot */
  double new_load; /* of the least loaded participant */
} PoolLoad;

static gboolean
is_new (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  /* The version of a target that states none is 0; no order is for that one. */
  return target->version != 0 && target->version == dp_rollout_version (dispatcher->rollout);
}

static DpRolloutRequest
describe (const DpGrantAsk *ask)
{
  return (DpRolloutRequest){ .route = ask->route,
                             .is_retry = ask->excluded_count > 0 || ask->has_begun,
                             .is_bound = ask->version != 0 };
}

/* --- targets --- */

static DpRolloutFacts
gather_facts (const DpDispatcher *dispatcher)
{
  DpRolloutFacts facts = { 0 };
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      gboolean on_new = is_new (dispatcher, target);
      if (!on_new)
        facts.old_running += target->requests->len;
      if (target->is_draining)
        continue;
      facts.new_targets += on_new;
      facts.old_targets += !on_new;
      if (!on_new)
        facts.old_slots += target->slots;
      else if (!target->is_suspect)
        facts.new_slots += target->slots;
    }
  return facts;
}

static void
choose_participants (DpDispatcher *dispatcher)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpRolloutTarget));
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      const DpRolloutTarget row
        = { .name = target->name, .is_new = is_new (dispatcher, target) };
      target->is_participant = FALSE;
      if (!target->is_draining)
        g_array_append_val (rows, row);
    }
  dp_rollout_choose (dispatcher->rollout, (DpRolloutTarget *)rows->data, rows->len);
  for (guint i = 0; i < rows->len; i++)
    {
      const DpRolloutTarget *row = &g_array_index (rows, DpRolloutTarget, i);
      dp_dispatch_find_target (dispatcher, row->name)->is_participant = row->is_participant;
    }
  g_array_unref (rows);
}

void
dp_dispatch_update_rollout (DpDispatcher *dispatcher, gboolean has_new_targets)
{
  if (dispatcher->rollout == NULL)
    return;
  const DpRolloutFacts facts = gather_facts (dispatcher);
  if (dp_rollout_tick (dispatcher->rollout, &facts, dispatcher->now) || has_new_targets)
    choose_participants (dispatcher);
}

/* A VM that doesn't own the pool doesn't know what others have sent to the new version. */
static gboolean
is_owner_needed (const DpDispatcher *dispatcher)
{
  DpRolloutState state = dp_rollout_state (dispatcher->rollout);
  return !dispatcher->options.is_shared
         && (dp_rollout_is_limited (dispatcher->rollout) || state == DP_ROLLOUT_SWITCHING);
}

gboolean
dp_dispatch_rollout_allows (const DpDispatcher *dispatcher,
                            const DpGrantAsk *ask,
                            const DpDispatchTarget *target)
{
  if (dispatcher->rollout == NULL)
    return TRUE;
  gboolean on_new = is_new (dispatcher, target);
  if (is_owner_needed (dispatcher))
    return !on_new;
  if (on_new && dp_rollout_is_limited (dispatcher->rollout) && !target->is_participant)
    return FALSE;
  if (ask == NULL)
    return dp_rollout_allows (dispatcher->rollout, NULL, on_new);
  const DpRolloutRequest request = describe (ask);
  return dp_rollout_allows (dispatcher->rollout, &request, on_new);
}

gboolean
dp_dispatch_rollout_may_resume (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  return dispatcher->rollout == NULL
         || dp_rollout_may_resume (dispatcher->rollout, is_new (dispatcher, target));
}

gboolean
dp_dispatch_rollout_uses (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (dispatcher->rollout == NULL)
    return TRUE;
  gboolean on_new = is_new (dispatcher, target);
  switch (dp_rollout_state (dispatcher->rollout))
    {
    case DP_ROLLOUT_COMPLETED:
    case DP_ROLLOUT_SWITCHING:
      return on_new != is_owner_needed (dispatcher);
    case DP_ROLLOUT_NONE:
    case DP_ROLLOUT_RUNNING:
      return !on_new || !dp_rollout_is_limited (dispatcher->rollout);
    case DP_ROLLOUT_ROLLED_BACK:
    case DP_ROLLOUT_UNCERTAIN:
      return !on_new;
    }
  return !on_new;
}

static double
load_of (const DpDispatchTarget *target)
{
  return (double)target->requests->len / MAX (target->slots, 1);
}

static PoolLoad
measure_load (const DpDispatcher *dispatcher)
{
  PoolLoad load = { .new_load = G_MAXDOUBLE };
  guint running = 0;
  guint slots = 0;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (!is_new (dispatcher, target))
        {
          running += target->requests->len;
          slots += target->slots;
        }
      else if (target->is_participant && dp_dispatch_free_capacity (dispatcher, target) > 0)
        load.new_load = MIN (load.new_load, load_of (target));
    }
  load.old_load = slots > 0 ? (double)running / slots : 0;
  return load;
}

DpDispatchSide
dp_dispatch_rollout_side (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  if (request == NULL || dispatcher->rollout == NULL || is_owner_needed (dispatcher)
      || !dp_rollout_is_limited (dispatcher->rollout))
    return DP_DISPATCH_SIDE_ANY;
  const DpRolloutRequest described = describe (&request->ask);
  if (!dp_rollout_allows (dispatcher->rollout, &described, TRUE))
    return DP_DISPATCH_SIDE_ANY;
  PoolLoad load = measure_load (dispatcher);
  return load.new_load <= LOAD_FACTOR * load.old_load ? DP_DISPATCH_SIDE_NEW
                                                      : DP_DISPATCH_SIDE_OLD;
}

gboolean
dp_dispatch_is_on_side (const DpDispatcher *dispatcher,
                        const DpDispatchTarget *target,
                        DpDispatchSide side)
{
  return side == DP_DISPATCH_SIDE_ANY
         || (side == DP_DISPATCH_SIDE_NEW) == is_new (dispatcher, target);
}

/* --- requests --- */

void
dp_dispatch_rollout_on_grant (DpDispatcher *dispatcher,
                              DpDispatchRequest *request,
                              const DpDispatchTarget *target)
{
  if (dispatcher->rollout == NULL)
    return;
  const DpRolloutRequest described = describe (&request->ask);
  request->rollout_counted = dp_rollout_record_grant (
    dispatcher->rollout, &described, is_new (dispatcher, target), dispatcher->now);
  request->is_in_rollout = TRUE;
}

void
dp_dispatch_rollout_on_removal (DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  if (dispatcher->rollout != NULL && request->is_in_rollout)
    dp_rollout_uncount (dispatcher->rollout, request->ask.route, request->rollout_counted);
}

/* Returns FALSE if the end says nothing about the target. */
static gboolean
classify (const DpGrantDone *done, DpRolloutOutcome *outcome)
{
  switch (done->reason)
    {
    case DP_REASON_NONE:
      *outcome = DP_ROLLOUT_OUTCOME_COMPLETE;
      return TRUE;
    case DP_REASON_TARGET_ERROR:
      *outcome = DP_ROLLOUT_OUTCOME_ERROR;
      return TRUE;
    case DP_REASON_NO_TARGET:
      /* Otherwise the VM could not use the grant, e.g. as it didn't know the target. */
      *outcome = DP_ROLLOUT_OUTCOME_ERROR;
      return done->is_rejection;
    case DP_REASON_CONNECT_FAILED:
    case DP_REASON_TARGET_BROKE:
    case DP_REASON_TARGET_SILENT:
    case DP_REASON_ANSWER_INCOMPLETE:
      *outcome = DP_ROLLOUT_OUTCOME_BREAK;
      return TRUE;
    case DP_REASON_CALLER_GONE:
    case DP_REASON_DEADLINE_PASSED:
      *outcome = DP_ROLLOUT_OUTCOME_LEFT;
      return TRUE;
    default:
      return FALSE;
    }
}

void
dp_dispatch_rollout_on_end (DpDispatcher *dispatcher,
                            DpDispatchRequest *request,
                            const DpDispatchTarget *target,
                            const DpGrantDone *done)
{
  DpRolloutOutcome outcome;
  if (dispatcher->rollout == NULL || !request->is_in_rollout || request->was_revoked
      || !classify (done, &outcome))
    return;
  const DpRolloutAnswer answer = {
    .target = target->name,
    .is_new = is_new (dispatcher, target),
    .request = describe (&request->ask),
    .prompt_tokens = request->ask.prompt_tokens,
    .granted_at = request->granted_at,
    .first_event = done->time_to_first_token,
    .duration = done->duration,
    .outcome = outcome,
  };
  dp_rollout_record_answer (dispatcher->rollout, &answer, dispatcher->now);
  /* It is not asked for again. */
  if (outcome == DP_ROLLOUT_OUTCOME_COMPLETE || outcome == DP_ROLLOUT_OUTCOME_LEFT)
    request->rollout_counted = 0;
}

/* --- order --- */

static void
forget_requests (DpDispatcher *dispatcher)
{
  for (DpHandle at = dp_table_next (dispatcher->requests, 0); at != 0;
       at = dp_table_next (dispatcher->requests, at))
    {
      DpDispatchRequest *request = dp_table_get (dispatcher->requests, at);
      request->is_in_rollout = FALSE;
    }
}

void
dp_dispatch_set_rollout (DpDispatcher *dispatcher,
                         const DpRolloutOptions *options,
                         const DpRolloutOrder *order)
{
  gboolean is_same = order != NULL && dispatcher->rollout != NULL
                     && dp_rollout_id (dispatcher->rollout) == order->id;
  if (is_same)
    {
      dp_rollout_update (dispatcher->rollout, order, dispatcher->now);
      dp_dispatch_update_rollout (dispatcher, FALSE);
      return;
    }
  g_clear_pointer (&dispatcher->rollout, dp_rollout_free);
  forget_requests (dispatcher);
  if (order != NULL)
    dispatcher->rollout = dp_rollout_new (options, order, dispatcher->now);
  dp_dispatch_update_rollout (dispatcher, TRUE);
}

gboolean
dp_dispatcher_rollout_status (const DpDispatcher *dispatcher, DpRolloutStatus *status)
{
  if (dispatcher->rollout == NULL)
    return FALSE;
  dp_rollout_get_status (dispatcher->rollout, status);
  return TRUE;
}
