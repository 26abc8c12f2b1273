/* Use of what is learned of each target, see core/capacity/capacity.h: window, expected time to
 * the first event. Without it (DP_CAPACITY_SLOTS), all targets have the same window. */
#include "core/dispatcher/dispatcher_private.h"

/* A target with this many unread prompts, and this time to read them, is not idle before it can
 * get another one: a first event reaches the owner, and a grant the target, in about 16 ms
 * each. It gets more only if their first events are expected on time. */
#define PROMPTS_ENOUGH 2
#define READING_ENOUGH_MS 32
/* Least interval of announcements of learned limits. */
#define ANNOUNCE_INTERVAL (2 * DP_USEC_PER_SEC)
/* Limits that haven't changed are repeated, for VMs that missed them or have just started.
 * Three repetitions fit into the time after which they are outdated. */
#define REPEAT_INTERVAL (6 * DP_USEC_PER_SEC)
/* Another owner counts until this long after its last announcement. */
#define OTHER_LEARNER_AGE_MAX (ANNOUNCE_INTERVAL + DP_USEC_PER_SEC / 2)
/* An owner that was not asked for this long has no requests to assign. */
#define OWNER_IDLE_MAX (300 * DP_USEC_PER_MSEC)
/* Tokens of the prompts whose times give the time per token. */
#define SLOPE_TOKENS 1000

/* A VM that places requests for itself knows too little of what runs at a target. */
gboolean
dp_dispatch_learns_capacity (const DpDispatcher *dispatcher)
{
  return dispatcher->options.capacity == DP_CAPACITY_LEARNED
         && dispatcher->options.policy == DP_DISPATCH_QUEUE;
}

/* Two owners at a time each know of a part of the requests and prompts at a target. */
static gboolean
has_other_learner (const DpDispatcher *dispatcher)
{
  return dispatcher->other_learner_heard_at != 0
         && dispatcher->now - dispatcher->other_learner_heard_at < OTHER_LEARNER_AGE_MAX;
}

gboolean
dp_dispatch_counts_prompts (const DpDispatcher *dispatcher)
{
  return dp_dispatch_learns_capacity (dispatcher) && !has_other_learner (dispatcher);
}

void
dp_dispatch_set_capacity (DpDispatcher *dispatcher,
                          DpDispatchTarget *target,
                          const DpDirectoryRow *row)
{
  guint ceiling = target->slots + DP_WINDOW_EXTRA;
  if (target->capacity == NULL)
    target->capacity = dp_capacity_new (&dispatcher->capacity, ceiling);
  else if (target->started != row->record.started)
    dp_capacity_reset (target->capacity);
  dp_capacity_set_ceiling (target->capacity, ceiling);
}

guint
dp_dispatch_window (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  return dp_dispatch_learns_capacity (dispatcher) ? dp_capacity_limit (target->capacity)
                                                  : target->slots + DP_WINDOW_EXTRA;
}

static double
ms_per_token (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  const DpLatencyModel *model = &dispatcher->latency_model;
  DpUsec time = dp_latency_model_expected (model, SLOPE_TOKENS, target->pace)
                - dp_latency_model_expected (model, 0, target->pace);
  return (double)time / (double)DP_USEC_PER_MSEC / SLOPE_TOKENS;
}

/* Time until a slot is free for the next request. */
static DpUsec
expected_slot_wait (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (target->requests->len < target->slots)
    return 0;
  guint behind = target->requests->len - target->slots + 1;
  double slot_ms = 0;
  for (guint i = 0; i < target->requests->len; i++)
    {
      const DpDispatchRequest *request = g_ptr_array_index (target->requests, i);
      slot_ms += dispatcher->slot_ms[request->ask.urgency];
    }
  slot_ms *= target->pace / target->requests->len;
  return (DpUsec)(slot_ms * behind / (target->slots + 1) * (double)DP_USEC_PER_MSEC);
}

DpFirstEventTerms
dp_dispatch_first_event_terms (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (!dp_dispatch_counts_prompts (dispatcher))
    return (DpFirstEventTerms){ 0 };
  double token_ms = ms_per_token (dispatcher, target);
  return (DpFirstEventTerms){
    .tokens_ahead = dp_capacity_tokens_ahead (target->capacity, token_ms, dispatcher->now),
    .slot_wait = expected_slot_wait (dispatcher, target),
  };
}

DpUsec
dp_dispatch_expected_first_event (const DpDispatcher *dispatcher,
                                  const DpDispatchTarget *target,
                                  const DpFirstEventTerms *terms,
                                  guint prompt_tokens)
{
  return terms->slot_wait
         + dp_latency_model_expected (&dispatcher->latency_model,
                                      prompt_tokens + terms->tokens_ahead, target->pace);
}

gboolean
dp_dispatch_has_prompts_enough (const DpDispatcher *dispatcher,
                                const DpDispatchTarget *target,
                                const DpFirstEventTerms *terms,
                                const DpDispatchRequest *request)
{
  if (!dp_dispatch_counts_prompts (dispatcher) || request->ask.has_begun
      || request->ask.prompt_tokens == 0
      || dp_capacity_prompts (target->capacity) < PROMPTS_ENOUGH
      || terms->tokens_ahead * ms_per_token (dispatcher, target) < READING_ENOUGH_MS)
    return FALSE;
  DpUsec first
    = dp_dispatch_expected_first_event (dispatcher, target, terms, request->ask.prompt_tokens);
  return dispatcher->now + first > request->objective_at;
}

/* --- requests at targets --- */

static void
remove_prompt (const DpDispatcher *dispatcher,
               const DpDispatchTarget *target,
               DpDispatchRequest *request)
{
  if (!request->has_unread_prompt)
    return;
  request->has_unread_prompt = FALSE;
  dp_capacity_remove_prompt (target->capacity, request->ask.prompt_tokens, dispatcher->now);
}

void
dp_dispatch_capacity_on_grant (const DpDispatcher *dispatcher,
                               const DpDispatchTarget *target,
                               DpDispatchRequest *request)
{
  DpFirstEventTerms terms = dp_dispatch_first_event_terms (dispatcher, target);
  request->tokens_ahead = terms.tokens_ahead;
  request->expected_first_event
    = dp_dispatch_expected_first_event (dispatcher, target, &terms, request->ask.prompt_tokens);
  if (request->ask.prompt_tokens == 0)
    return;
  request->has_unread_prompt = TRUE;
  dp_capacity_add_prompt (target->capacity, request->ask.prompt_tokens, dispatcher->now);
}

void
dp_dispatch_capacity_on_assigned (const DpDispatcher *dispatcher,
                                  const DpDispatchTarget *target,
                                  DpDispatchRequest *request)
{
  guint count = target->requests->len;
  request->requests_ahead = count > target->slots ? count - target->slots : 0;
  request->occupancy = dp_capacity_occupancy (target->capacity, dispatcher->now);
  dp_capacity_set_running (target->capacity, count, dispatcher->now);
}

void
dp_dispatch_capacity_on_released (const DpDispatcher *dispatcher,
                                  const DpDispatchTarget *target,
                                  DpDispatchRequest *request)
{
  remove_prompt (dispatcher, target, request);
  dp_capacity_set_running (target->capacity, target->requests->len, dispatcher->now);
  for (guint i = 0; i < target->requests->len; i++)
    {
      DpDispatchRequest *other = g_ptr_array_index (target->requests, i);
      if (other->requests_ahead > 0 && --other->requests_ahead == 0)
        other->slot_wait = dispatcher->now - other->granted_at;
    }
}

void
dp_dispatch_capacity_on_started (const DpDispatcher *dispatcher,
                                 const DpDispatchTarget *target,
                                 DpDispatchRequest *request)
{
  remove_prompt (dispatcher, target, request);
}

/* TRUE if the request was given up because of its target's slowness, or may have been. */
static gboolean
was_given_up (DpReason reason)
{
  return reason == DP_REASON_CALLER_GONE || reason == DP_REASON_DEADLINE_PASSED
         || reason == DP_REASON_TARGET_SILENT;
}

void
dp_dispatch_capacity_on_done (const DpDispatcher *dispatcher,
                              const DpDispatchTarget *target,
                              const DpDispatchRequest *request,
                              const DpGrantDone *done)
{
  gboolean is_complete = done->reason == DP_REASON_NONE;
  DpUsec time = dispatcher->now - request->granted_at;
  if (request->was_adopted || time <= 0 || (!is_complete && !was_given_up (done->reason)))
    return;
  double area = dp_capacity_occupancy (target->capacity, dispatcher->now) - request->occupancy;
  const DpCapacitySample sample = { .urgency = request->ask.urgency,
                                    .prompt_tokens = request->ask.prompt_tokens,
                                    .running = area / (double)time,
                                    .sent_at = request->granted_at,
                                    .duration = done->duration,
                                    .first_event = done->time_to_first_token,
                                    .objective = request->ask.objective_left,
                                    .is_complete = is_complete };
  dp_capacity_record (target->capacity, &sample, dispatcher->now);
}

DpUsec
dp_dispatch_read_time (const DpDispatcher *dispatcher,
                       const DpDispatchRequest *request,
                       DpUsec first_event)
{
  return dp_dispatch_learns_capacity (dispatcher)
           ? MAX (first_event - request->slot_wait, DP_USEC_PER_MSEC)
           : first_event;
}

/* --- announcements --- */

static gboolean
is_deciding (const DpDispatcher *dispatcher)
{
  return dp_dispatch_learns_capacity (dispatcher)
         && (!dispatcher->options.is_shared || dp_dispatch_is_owner (dispatcher));
}

static DpMessage *
send_announcement (DpDispatcher *dispatcher)
{
  DpMessage *message
    = dp_dispatch_send (dispatcher, DP_DISPATCH_ALL_VMS, DP_MESSAGE_TARGET_CAPACITY);
  message->target_capacity.pool = dispatcher->options.pool;
  message->target_capacity.idle = dispatcher->now - dispatcher->asked_at;
  dispatcher->capacities_announced_at = dispatcher->now;
  return message;
}

static void
append_limit (DpDispatcher *dispatcher, DpMessage **message, DpDispatchTarget *target)
{
  if (*message == NULL || (*message)->target_capacity.count == DP_CAPACITY_LIMITS_MAX)
    *message = send_announcement (dispatcher);
  target->announced_limit = dp_capacity_confirmed_limit (target->capacity);
  DpTargetCapacity *limits = &(*message)->target_capacity;
  limits->rows[limits->count++]
    = (DpCapacityLimit){ .target = target->name,
                         .started = target->started,
                         .limit = target->announced_limit,
                         .age = dp_capacity_age (target->capacity, dispatcher->now) };
}

/* A limit that is back at the default is announced once: those that miss it forget the lower
 * one when it is outdated. */
static gboolean
has_news (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  guint limit = dp_capacity_confirmed_limit (target->capacity);
  guint known
    = target->announced_limit != 0 ? target->announced_limit : target->slots + DP_WINDOW_EXTRA;
  return limit != known && !dp_capacity_is_outdated (target->capacity, dispatcher->now);
}

static gboolean
is_worth_repeating (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  return dp_capacity_confirmed_limit (target->capacity) < target->slots + DP_WINDOW_EXTRA
         && !dp_capacity_is_outdated (target->capacity, dispatcher->now);
}

static void
announce (DpDispatcher *dispatcher)
{
  DpUsec now = dispatcher->now;
  if (!dispatcher->options.is_shared
      || now - dispatcher->capacities_announced_at < ANNOUNCE_INTERVAL)
    return;
  gboolean all = now - dispatcher->all_capacities_announced_at >= REPEAT_INTERVAL;
  DpMessage *message = NULL;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (has_news (dispatcher, target) || (all && is_worth_repeating (dispatcher, target)))
        append_limit (dispatcher, &message, target);
    }
  /* While decisions are due, another owner has to learn of this one. */
  if (message == NULL && (has_other_learner (dispatcher) || dispatcher->waiting->len > 0))
    send_announcement (dispatcher);
  if (all)
    dispatcher->all_capacities_announced_at = now;
}

/* Returns why the row can't be used; NULL: it can. */
static const char *
find_problem (const DpDispatcher *dispatcher,
              const DpDispatchTarget *target,
              const DpCapacityLimit *row)
{
  if (target == NULL)
    return "unknown_target";
  if (target->started != row->started)
    return "other_incarnation";
  if (row->limit < 1 || row->limit > target->slots + DP_WINDOW_EXTRA)
    return "out_of_range";
  return NULL;
}

static void
ignore (DpDispatcher *dispatcher, DpName from, const DpCapacityLimit *row, const char *problem)
{
  guint count = dispatcher->ignored.count + 1;
  dispatcher->ignored = (DpIgnoredCapacity){
    .count = count, .from = from, .target = row->target, .limit = row->limit, .problem = problem
  };
  dp_counters_add (dispatcher->options.counters, "dogwoodplank_ignored_capacities_total",
                   "problem", problem, 1);
}

void
dp_dispatch_on_capacities (DpDispatcher *dispatcher,
                           DpName from,
                           const DpTargetCapacity *message)
{
  if (!dp_dispatch_learns_capacity (dispatcher) || from == dispatcher->options.self)
    return;
  gboolean is_owner = dp_dispatch_is_owner (dispatcher);
  if (is_owner && message->idle <= OWNER_IDLE_MAX)
    dispatcher->other_learner_heard_at = dispatcher->now;
  for (guint i = 0; i < MIN (message->count, DP_CAPACITY_LIMITS_MAX); i++)
    {
      const DpCapacityLimit *row = &message->rows[i];
      const DpDispatchTarget *target = dp_dispatch_find_target (dispatcher, row->target);
      const char *problem = find_problem (dispatcher, target, row);
      if (problem != NULL)
        ignore (dispatcher, from, row, problem);
      /* Two owners each learn from their own requests. */
      else if (!is_owner || !dp_capacity_is_measured (target->capacity))
        dp_capacity_adopt (target->capacity, row->limit, row->age, dispatcher->now);
    }
}

DpIgnoredCapacity
dp_dispatcher_ignored_capacity (const DpDispatcher *dispatcher)
{
  return dispatcher->ignored;
}

/* --- decisions --- */

/* A VM that has not been the owner for long no longer knows what targets take. */
static void
forget_outdated (const DpDispatcher *dispatcher)
{
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (dp_capacity_is_lowered (target->capacity)
          && dp_capacity_is_outdated (target->capacity, dispatcher->now))
        dp_capacity_reset (target->capacity);
    }
}

static void
decide (DpDispatcher *dispatcher)
{
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (has_other_learner (dispatcher))
        dp_capacity_end_trial (target->capacity);
      else
        dp_capacity_update (target->capacity, dispatcher->waiting->len > 0, dispatcher->now);
    }
  if (has_other_learner (dispatcher))
    return;
  dp_capacity_pool_explore (&dispatcher->capacity, dispatcher->now);
}

void
dp_dispatch_update_capacities (DpDispatcher *dispatcher)
{
  if (!dp_dispatch_learns_capacity (dispatcher))
    return;
  if (!is_deciding (dispatcher))
    {
      forget_outdated (dispatcher);
      return;
    }
  decide (dispatcher);
  announce (dispatcher);
}

/* --- status --- */

static int
compare_guints (gconstpointer a, gconstpointer b)
{
  guint x = *(const guint *)a;
  guint y = *(const guint *)b;
  return (x > y) - (x < y);
}

DpCapacityStatus
dp_dispatcher_capacity_status (const DpDispatcher *dispatcher)
{
  const DpCapacityPool *pool = &dispatcher->capacity;
  DpCapacityStatus status = { .is_deciding = is_deciding (dispatcher),
                              .changes = pool->lowered + pool->raised + pool->restored };
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (guint));
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (target->is_draining)
        continue;
      guint limit = dp_dispatch_window (dispatcher, target);
      g_array_append_val (limits, limit);
      status.lowered += limit < target->slots + DP_WINDOW_EXTRA;
      if (status.lowest != 0 && limit >= status.lowest)
        continue;
      status.lowest = limit;
      status.lowest_target = target->name;
      status.lowest_age = dp_capacity_age (target->capacity, dispatcher->now);
    }
  g_array_sort (limits, compare_guints);
  status.targets = limits->len;
  if (limits->len > 0)
    {
      status.median = g_array_index (limits, guint, limits->len / 2);
      status.highest = g_array_index (limits, guint, limits->len - 1);
    }
  g_array_unref (limits);
  return status;
}
