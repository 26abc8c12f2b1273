#include "core/rollout/rollout_private.h"

/* Part of the time to the limit after which all requests go to the new version, if it is good:
 * late enough to see versions that turn bad, early enough for running requests to end. */
#define SWITCH_PART 0.7
/* Until then the switch waits for more answers if the test is undecided. */
#define DOUBT_PART 0.85
/* The final state is decided this long before the limit, to be written in time. */
#define FINAL_MARGIN (1500 * DP_USEC_PER_MSEC)
/* All requests go to the new version for at least this long before the roll-out is completed:
 * a version that can't carry the whole load is still rolled back, and a new owner gets the
 * reports of what runs at the old targets. */
#define SWITCH_TIME_MIN DP_USEC_PER_SEC
#define SWITCH_TIME_MAX (2 * DP_USEC_PER_SEC)
#define SWITCH_TIME_PART 0.03
/* Slots of the new targets, relative to the old ones. */
#define SLOTS_PART 0.9

DpRollout *
dp_rollout_new (const DpRolloutOptions *options, const DpRolloutOrder *order, DpUsec now)
{
  DpRollout *rollout = g_new0 (DpRollout, 1);
  rollout->options = *options;
  rollout->now = now;
  rollout->step_at = now;
  rollout->wanted = DP_ROLLOUT_RUNNING;
  dp_rollout_test_init (rollout);
  dp_rollout_update (rollout, order, now);
  return rollout;
}

void
dp_rollout_free (DpRollout *rollout)
{
  if (rollout == NULL)
    return;
  g_hash_table_unref (rollout->speeds);
  g_free (rollout);
}

static void
want (DpRollout *rollout, DpRolloutState state, DpRolloutCause cause, DpName route)
{
  rollout->wanted = state;
  rollout->cause = cause;
  rollout->cause_route = route;
  if (state == DP_ROLLOUT_SWITCHING)
    rollout->switched_at = rollout->now;
}

/* Adopts a state that the store or another VM has decided on. */
static void
adopt (DpRollout *rollout, DpRolloutState known)
{
  switch (known)
    {
    case DP_ROLLOUT_COMPLETED:
      if (rollout->wanted != DP_ROLLOUT_COMPLETED)
        want (rollout, known, DP_ROLLOUT_CAUSE_TOLD, 0);
      break;
    case DP_ROLLOUT_ROLLED_BACK:
      if (rollout->wanted != DP_ROLLOUT_ROLLED_BACK)
        want (rollout, known, DP_ROLLOUT_CAUSE_TOLD, 0);
      break;
    case DP_ROLLOUT_SWITCHING:
      if (rollout->wanted == DP_ROLLOUT_RUNNING)
        want (rollout, known, DP_ROLLOUT_CAUSE_TOLD, 0);
      break;
    case DP_ROLLOUT_NONE:
    case DP_ROLLOUT_RUNNING:
    case DP_ROLLOUT_UNCERTAIN:
      break;
    }
}

void
dp_rollout_update (DpRollout *rollout, const DpRolloutOrder *order, DpUsec now)
{
  rollout->now = now;
  rollout->order = *order;
  rollout->started_at = now - order->age;
  adopt (rollout, order->state);
}

DpName
dp_rollout_id (const DpRollout *rollout)
{
  return rollout->order.id;
}

DpName
dp_rollout_version (const DpRollout *rollout)
{
  return rollout->order.version;
}

DpRolloutState
dp_rollout_state (const DpRollout *rollout)
{
  DpRolloutState known = rollout->order.state;
  if (known == DP_ROLLOUT_COMPLETED)
    return known;
  if (rollout->wanted == DP_ROLLOUT_ROLLED_BACK || known == DP_ROLLOUT_ROLLED_BACK)
    return DP_ROLLOUT_ROLLED_BACK;
  if (known == DP_ROLLOUT_UNCERTAIN)
    return known;
  return rollout->wanted == DP_ROLLOUT_RUNNING ? DP_ROLLOUT_RUNNING : DP_ROLLOUT_SWITCHING;
}

gboolean
dp_rollout_is_limited (const DpRollout *rollout)
{
  return rollout->saw_old && dp_rollout_state (rollout) == DP_ROLLOUT_RUNNING;
}

gboolean
dp_rollout_may_resume (const DpRollout *rollout, gboolean on_new)
{
  DpRolloutState state = dp_rollout_state (rollout);
  return state != (on_new ? DP_ROLLOUT_ROLLED_BACK : DP_ROLLOUT_COMPLETED);
}

gboolean
dp_rollout_allows (DpRollout *rollout, const DpRolloutRequest *request, gboolean on_new)
{
  gboolean is_bound = request == NULL || request->is_bound;
  switch (dp_rollout_state (rollout))
    {
    case DP_ROLLOUT_COMPLETED:
      return on_new;
    case DP_ROLLOUT_SWITCHING:
      return on_new || is_bound;
    case DP_ROLLOUT_NONE:
    case DP_ROLLOUT_RUNNING:
      if (!on_new || !rollout->saw_old)
        return TRUE;
      /* A request that has failed already is not risked again, but a stream has to go on. */
      if (request != NULL && request->is_retry && !is_bound)
        return FALSE;
      return dp_rollout_budget_allows (rollout, request);
    case DP_ROLLOUT_ROLLED_BACK:
    case DP_ROLLOUT_UNCERTAIN:
      return !on_new;
    }
  return !on_new;
}

DpRolloutRoute *
dp_rollout_route (DpRollout *rollout, DpName name)
{
  for (guint i = 0; i < rollout->route_count; i++)
    if (rollout->routes[i].name == name)
      return &rollout->routes[i];
  if (rollout->route_count == DP_ROLLOUT_ROUTES_MAX)
    return &rollout->routes[DP_ROLLOUT_ROUTES_MAX - 1];
  DpRolloutRoute *route = &rollout->routes[rollout->route_count++];
  route->name = name;
  route->chart.slot = rollout->now / DP_ROLLOUT_SLOT;
  dp_latency_model_init (&route->old_times);
  return route;
}

void
dp_rollout_record_answer (DpRollout *rollout, const DpRolloutAnswer *answer, DpUsec now)
{
  rollout->now = now;
  dp_rollout_test_advance (rollout);
  dp_rollout_test_add (rollout, answer);
}

/* --- decision --- */

static gboolean
has_slots (const DpRolloutFacts *facts)
{
  return facts->new_targets > 0
         && (double)facts->new_slots >= SLOTS_PART * (double)facts->old_slots;
}

static DpRolloutCause
missing (const DpRollout *rollout)
{
  if (rollout->facts.new_targets == 0)
    return DP_ROLLOUT_CAUSE_NO_TARGETS;
  if (!has_slots (&rollout->facts))
    return DP_ROLLOUT_CAUSE_FEW_SLOTS;
  return DP_ROLLOUT_CAUSE_FEW_ANSWERS;
}

/* TRUE if the order's time has passed up to this part of the time to its limit. */
static gboolean
has_passed (const DpRollout *rollout, double part)
{
  return (double)(rollout->now - rollout->started_at) >= part * (double)rollout->order.duration;
}

/* All answers that are needed have come. */
static void
decide_with_answers (DpRollout *rollout)
{
  double score = dp_rollout_test_score (rollout);
  gboolean is_last = has_passed (rollout, DOUBT_PART);
  if (is_last && score > DP_ROLLOUT_THRESHOLD_LAST)
    want (rollout, DP_ROLLOUT_ROLLED_BACK, DP_ROLLOUT_CAUSE_IN_DOUBT, 0);
  else if (is_last || score < DP_ROLLOUT_DOUBT)
    want (rollout, DP_ROLLOUT_SWITCHING, DP_ROLLOUT_CAUSE_GOOD, 0);
}

static void
decide_running (DpRollout *rollout, DpUsec final_at)
{
  gboolean is_ready = has_passed (rollout, SWITCH_PART) && has_slots (&rollout->facts)
                      && rollout->order.state != DP_ROLLOUT_UNCERTAIN;
  if (rollout->now >= final_at)
    want (rollout, DP_ROLLOUT_ROLLED_BACK, missing (rollout), 0);
  else if (is_ready && !rollout->saw_old)
    want (rollout, DP_ROLLOUT_SWITCHING, DP_ROLLOUT_CAUSE_NO_OLD, 0);
  else if (is_ready && dp_rollout_test_has_enough (rollout))
    decide_with_answers (rollout);
}

static void
decide_switching (DpRollout *rollout, DpUsec final_at)
{
  DpUsec time = (DpUsec)((double)rollout->order.duration * SWITCH_TIME_PART);
  gboolean is_over
    = rollout->now - rollout->switched_at >= CLAMP (time, SWITCH_TIME_MIN, SWITCH_TIME_MAX)
      && rollout->facts.old_running == 0;
  if (is_over || rollout->now >= final_at)
    want (rollout, DP_ROLLOUT_COMPLETED, rollout->cause, 0);
}

static void
decide (DpRollout *rollout)
{
  DpUsec final_at = rollout->started_at + rollout->order.duration - FINAL_MARGIN;
  if (rollout->wanted != DP_ROLLOUT_RUNNING && rollout->wanted != DP_ROLLOUT_SWITCHING)
    return;
  DpName route;
  DpRolloutCause cause = dp_rollout_test_verdict (rollout, &route);
  if (cause != DP_ROLLOUT_CAUSE_NONE)
    want (rollout, DP_ROLLOUT_ROLLED_BACK, cause, route);
  else if (rollout->wanted == DP_ROLLOUT_RUNNING)
    decide_running (rollout, final_at);
  else
    decide_switching (rollout, final_at);
}

gboolean
dp_rollout_tick (DpRollout *rollout, const DpRolloutFacts *facts, DpUsec now)
{
  DpRolloutState before = rollout->wanted;
  rollout->now = now;
  rollout->facts = *facts;
  rollout->saw_old |= facts->old_targets > 0;
  dp_rollout_test_advance (rollout);
  decide (rollout);
  gboolean has_stepped
    = rollout->wanted == DP_ROLLOUT_RUNNING && dp_rollout_next_step (rollout);
  return has_stepped || rollout->wanted != before;
}

void
dp_rollout_get_status (const DpRollout *rollout, DpRolloutStatus *status)
{
  const DpRolloutFacts *facts = &rollout->facts;
  *status = (DpRolloutStatus){
    .id = rollout->order.id,
    .version = rollout->order.version,
    .state = rollout->wanted,
    .known = rollout->order.state,
    .cause = rollout->cause,
    .route = rollout->cause_route,
    .step = rollout->step,
    .steps = dp_rollout_step_count (),
    .share = dp_rollout_share (rollout),
    .participants = MIN (dp_rollout_count_participants (rollout), facts->new_targets),
    .old_targets = facts->old_targets,
    .new_targets = facts->new_targets,
    .old_slots = facts->old_slots,
    .new_slots = facts->new_slots,
    .old_running = facts->old_running,
    .old_version = rollout->old_version,
    .new_version = rollout->new_version,
    .score = dp_rollout_test_score (rollout),
    .threshold = DP_ROLLOUT_THRESHOLD,
    .age = rollout->now - rollout->started_at,
  };
}

const char *
dp_rollout_state_name (DpRolloutState state)
{
  switch (state)
    {
    case DP_ROLLOUT_NONE:
      return "none";
    case DP_ROLLOUT_RUNNING:
      return "running";
    case DP_ROLLOUT_SWITCHING:
      return "switching";
    case DP_ROLLOUT_COMPLETED:
      return "completed";
    case DP_ROLLOUT_ROLLED_BACK:
      return "rolled_back";
    case DP_ROLLOUT_UNCERTAIN:
      return "uncertain";
    }
  return "none";
}

const char *
dp_rollout_cause_name (DpRolloutCause cause)
{
  switch (cause)
    {
    case DP_ROLLOUT_CAUSE_NONE:
      return "none";
    case DP_ROLLOUT_CAUSE_TOLD:
      return "told";
    case DP_ROLLOUT_CAUSE_GOOD:
      return "good";
    case DP_ROLLOUT_CAUSE_NO_OLD:
      return "no_old_targets";
    case DP_ROLLOUT_CAUSE_BAD_ANSWERS:
      return "bad_answers";
    case DP_ROLLOUT_CAUSE_BAD_ROUTE:
      return "bad_route";
    case DP_ROLLOUT_CAUSE_BAD_COUNT:
      return "bad_count";
    case DP_ROLLOUT_CAUSE_NO_TARGETS:
      return "no_new_targets";
    case DP_ROLLOUT_CAUSE_FEW_SLOTS:
      return "few_slots";
    case DP_ROLLOUT_CAUSE_FEW_ANSWERS:
      return "few_answers";
    case DP_ROLLOUT_CAUSE_IN_DOUBT:
      return "in_doubt";
    }
  return "none";
}
