/* Exposure of the new version.
 *
 * Each route has an allowance that rises by the step's share with each request that is assigned
 * for the first time, and falls by one with each request of any kind that goes to the new
 * version. Retries and resumed streams thus use the allowance but don't raise it. */
#include "core/rollout/rollout_private.h"

#include <math.h>

/* Part of expose_share that is used at most. The rest covers requests that count at this owner
 * and never come to an end. */
#define SHARE_USED 0.8
/* An allowance that could not be used, e.g. without new targets, is not kept beyond this. */
#define ALLOWANCE_MAX 40.0
/* A pulse uses this many requests per slot of a participant. */
#define PULSE_PER_SLOT 2

/* Next step after this part of the time to the limit if there are enough answers, or later
 * without them. */
typedef struct Step
{
  double part; /* of expose_share */
  double time_min;
  double time_max;
  guint answers;
} Step;

static const Step steps[] = {
  { 0.1, 0.04, 0.1, 5 },
  { 0.3, 0.06, 0.1, 15 },
  { SHARE_USED, 0, 0, 0 },
};

guint
dp_rollout_step_count (void)
{
  return G_N_ELEMENTS (steps);
}

double
dp_rollout_share (const DpRollout *rollout)
{
  return steps[rollout->step].part * rollout->options.expose_share;
}

guint
dp_rollout_count_participants (const DpRollout *rollout)
{
  /* Without the tolerance, 0.03 of 100 would be 4. */
  double wanted = ceil (dp_rollout_share (rollout) * rollout->facts.old_targets - 1e-9);
  return wanted > 1 ? (guint)wanted : 1;
}

typedef struct Ranked
{
  guint index;
  guint64 rank;
} Ranked;

static int
compare_ranks (gconstpointer a, gconstpointer b)
{
  guint64 first = ((const Ranked *)a)->rank;
  guint64 second = ((const Ranked *)b)->rank;
  return (first > second) - (first < second);
}

/* By a hash, so that the participants are spread over machines and data centres, differ
 * between roll-outs and stay the same in later steps. */
void
dp_rollout_choose (const DpRollout *rollout, DpRolloutTarget *targets, guint count)
{
  GArray *ranked = g_array_new (FALSE, FALSE, sizeof (Ranked));
  for (guint i = 0; i < count; i++)
    {
      const Ranked row
        = { .index = i, .rank = dp_name_pair (rollout->order.id, targets[i].name) };
      targets[i].is_participant = FALSE;
      if (targets[i].is_new)
        g_array_append_val (ranked, row);
    }
  g_array_sort (ranked, compare_ranks);
  for (guint i = 0; i < MIN (ranked->len, dp_rollout_count_participants (rollout)); i++)
    targets[g_array_index (ranked, Ranked, i).index].is_participant = TRUE;
  g_array_unref (ranked);
}

/* Requests to save up before the new version gets any. Where the share doesn't give each
 * participant the load of an old target, it gets that load for short times: a version may be
 * bad only under load. */
static double
pulse_size (const DpRollout *rollout)
{
  guint participants = dp_rollout_count_participants (rollout);
  gboolean is_last = rollout->step + 1 == G_N_ELEMENTS (steps);
  if (!is_last || rollout->facts.new_targets == 0
      || dp_rollout_share (rollout) * rollout->facts.old_targets >= participants)
    return 1;
  double slots = (double)rollout->facts.new_slots / rollout->facts.new_targets;
  return CLAMP (PULSE_PER_SLOT * slots * participants, 1, ALLOWANCE_MAX / 2);
}

static double
usable_allowance (const DpRollout *rollout)
{
  double sum = 0;
  for (guint i = 0; i < rollout->route_count; i++)
    if (rollout->routes[i].allowance >= 1)
      sum += floor (rollout->routes[i].allowance);
  return sum;
}

gboolean
dp_rollout_budget_allows (DpRollout *rollout, const DpRolloutRequest *request)
{
  double limit = SHARE_USED * rollout->options.expose_share * (double)rollout->counted;
  double usable = usable_allowance (rollout);
  if (usable < 1)
    rollout->is_open = FALSE;
  else if (usable >= pulse_size (rollout))
    rollout->is_open = TRUE;
  /* The caller of a stream that has begun doesn't wait for the next pulse. */
  gboolean needs_pulse = request != NULL && !request->is_bound;
  if ((needs_pulse && !rollout->is_open) || (double)rollout->new_version.sent + 1 > limit)
    return FALSE;
  return request == NULL ? usable >= 1
                         : dp_rollout_route (rollout, request->route)->allowance >= 1;
}

double
dp_rollout_record_grant (DpRollout *rollout,
                         const DpRolloutRequest *request,
                         gboolean on_new,
                         DpUsec now)
{
  rollout->now = now;
  dp_rollout_test_advance (rollout);
  DpRolloutRoute *route = dp_rollout_route (rollout, request->route);
  if (on_new)
    {
      rollout->new_version.sent++;
      route->allowance -= 1;
    }
  else
    rollout->old_version.sent++;
  if (request->is_retry)
    return 0;
  double share = dp_rollout_share (rollout);
  dp_rollout_test_add_request (rollout, request->route, on_new);
  rollout->counted++;
  route->counted++;
  route->allowance = MIN (route->allowance + share, ALLOWANCE_MAX);
  return share;
}

void
dp_rollout_uncount (DpRollout *rollout, DpName route, double counted)
{
  if (counted <= 0)
    return;
  DpRolloutRoute *row = dp_rollout_route (rollout, route);
  rollout->counted -= rollout->counted > 0;
  row->counted -= row->counted > 0;
  row->allowance -= counted;
}

gboolean
dp_rollout_next_step (DpRollout *rollout)
{
  const Step *step = &steps[rollout->step];
  DpUsec elapsed = rollout->now - rollout->step_at;
  double part = (double)elapsed / (double)MAX (rollout->order.duration, 1);
  gboolean has_answers = rollout->overall.new_answers - rollout->step_answers >= step->answers;
  if (rollout->step + 1 == G_N_ELEMENTS (steps)
      || part < (has_answers ? step->time_min : step->time_max)
      || dp_rollout_test_score (rollout) > DP_ROLLOUT_DOUBT)
    return FALSE;
  rollout->step++;
  rollout->step_at = rollout->now;
  rollout->step_answers = rollout->overall.new_answers;
  return TRUE;
}
