/* The limit of concurrent requests at a target. */
#include "core/capacity/capacity_private.h"

#include <math.h>

#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC

/* Scores are compared at most this often. */
#define CHECK_INTERVAL (200 * MSEC)
/* Present measurements: how recent they are, how many, and over which time at least. Slow
 * periods of 0.6 s occur at sound targets. */
#define PRESENT_AGE (8 * SEC)
#define PRESENT_COUNT_MIN 6
#define PRESENT_COUNT_MAX 16
#define PRESENT_SPAN_MIN (1200 * MSEC)
/* Measurements at lower concurrency, which may come from the time before a burst. */
#define LOWER_AGE (20 * SEC)
#define LOWER_COUNT_MIN 5
/* They can show that the limit should be lower if they were at up to this part of the present
 * concurrency; closer ones differ too little. */
#define LOWER_PART_MAX 0.75
/* Least excess of a lower concurrency's score, and of the measurements during a trial. */
#define LOWER_GAIN_MIN 0.18
#define CONFIRM_GAIN_MIN 0.08
/* Excess must also be this multiple of the standard error. */
#define CLEAR_ERRORS 2.0
/* Measurements during a trial: for a clear result, and for any. */
#define TRIAL_COUNT_CLEAR 4
#define TRIAL_COUNT_MIN 6
#define TRIAL_TIME_MIN (800 * MSEC)
#define TRIAL_DURATION_MAX (6 * SEC)
/* Loss of score from which a higher limit is given up. */
#define RAISE_LOSS_MAX 0.08
/* A lowered limit is tried higher after this time; the interval doubles with each failure. */
#define RAISE_INTERVAL_MIN (3 * SEC)
#define RAISE_INTERVAL_MAX (24 * SEC)
/* After a trial that was not confirmed; doubles too. */
#define LOWER_INTERVAL_MIN (5 * SEC)
#define LOWER_INTERVAL_MAX (80 * SEC)
/* A lowered limit that isn't reached for this long is raised by one, and again after the same
 * time: what was learned is outdated. */
#define OUTDATED_AFTER (20 * SEC)
/* While requests have been waiting for this long, a target without a comparison with lower
 * concurrency for that long may be explored. */
#define SATURATED_MIN (1500 * MSEC)
#define COMPARED_AGE_MAX (60 * SEC)
/* Interval of explorations: it gets shorter after a limit was lowered and longer otherwise. */
#define EXPLORE_INTERVAL_INITIAL (400 * MSEC)
#define EXPLORE_INTERVAL_MIN (50 * MSEC)
#define EXPLORE_INTERVAL_MAX (12800 * MSEC)
/* Part of the targets that may have a lower limit on trial at a time; half of them after
 * several confirmations in a row. */
#define TRIAL_TARGETS_DIVISOR 4
#define CONFIRMED_MANY 3
/* The limit counts as reached, and requests as waiting, until this long after. */
#define BINDING_AGE (500 * MSEC)
/* Concurrency of a group relative to its limit: averages over a request's time are lower. */
#define GROUP_BELOW 1.25
#define GROUP_ABOVE 1.0
#define GROUP_SLACK 0.25

void
dp_capacity_pool_init (DpCapacityPool *pool)
{
  *pool = (DpCapacityPool){ .explore_interval = EXPLORE_INTERVAL_INITIAL };
  for (guint i = 0; i < DP_URGENCY_LEVELS; i++)
    dp_latency_model_init (&pool->durations[i]);
}

DpCapacity *
dp_capacity_new (DpCapacityPool *pool, guint ceiling)
{
  DpCapacity *capacity = g_new0 (DpCapacity, 1);
  capacity->pool = pool;
  capacity->ceiling = MAX (ceiling, 1);
  pool->targets++;
  dp_capacity_reset (capacity);
  return capacity;
}

static void
end_trial (DpCapacity *capacity)
{
  if (capacity->state == DP_CAPACITY_LOWERING)
    capacity->pool->trials--;
  capacity->state = DP_CAPACITY_STEADY;
}

void
dp_capacity_free (DpCapacity *capacity)
{
  if (capacity == NULL)
    return;
  end_trial (capacity);
  capacity->pool->targets--;
  if (capacity->pool->suspect == capacity)
    capacity->pool->suspect = NULL;
  g_free (capacity);
}

void
dp_capacity_reset (DpCapacity *capacity)
{
  end_trial (capacity);
  capacity->limit = capacity->ceiling;
  capacity->confirmed = capacity->ceiling;
  capacity->raise_interval = RAISE_INTERVAL_MIN;
  capacity->raise_step = 1;
  capacity->lower_at = 0;
  capacity->lower_interval = LOWER_INTERVAL_MIN;
  capacity->measured_at = 0;
  capacity->row_count = 0;
  capacity->next_row = 0;
}

void
dp_capacity_set_ceiling (DpCapacity *capacity, guint ceiling)
{
  ceiling = MAX (ceiling, 1);
  if (ceiling == capacity->ceiling)
    return;
  capacity->ceiling = ceiling;
  dp_capacity_reset (capacity);
}

guint
dp_capacity_limit (const DpCapacity *capacity)
{
  return capacity->limit;
}

guint
dp_capacity_confirmed_limit (const DpCapacity *capacity)
{
  return capacity->confirmed;
}

gboolean
dp_capacity_is_lowered (const DpCapacity *capacity)
{
  return capacity->limit < capacity->ceiling;
}

gboolean
dp_capacity_adopt (DpCapacity *capacity, guint limit, DpUsec age, DpUsec now)
{
  if (limit < 1 || limit > capacity->ceiling || age < 0 || age > OUTDATED_AFTER)
    return FALSE;
  end_trial (capacity);
  capacity->limit = limit;
  capacity->confirmed = limit;
  capacity->measured_at = now - age;
  capacity->binding_at = now - age;
  capacity->raise_at = now + RAISE_INTERVAL_MIN;
  return TRUE;
}

void
dp_capacity_end_trial (DpCapacity *capacity)
{
  if (capacity->state == DP_CAPACITY_STEADY)
    return;
  end_trial (capacity);
  capacity->limit = capacity->confirmed;
}

gboolean
dp_capacity_is_measured (const DpCapacity *capacity)
{
  return capacity->row_count > 0;
}

DpUsec
dp_capacity_age (const DpCapacity *capacity, DpUsec now)
{
  return capacity->measured_at != 0 ? MAX (now - capacity->measured_at, 0) : G_MAXINT64;
}

gboolean
dp_capacity_is_outdated (const DpCapacity *capacity, DpUsec now)
{
  return dp_capacity_age (capacity, now) > OUTDATED_AFTER;
}

/* --- number of requests at the target --- */

double
dp_capacity_occupancy (const DpCapacity *capacity, DpUsec now)
{
  return capacity->area + (double)capacity->running * (double)(now - capacity->area_at);
}

void
dp_capacity_set_running (DpCapacity *capacity, guint running, DpUsec now)
{
  capacity->area = dp_capacity_occupancy (capacity, now);
  capacity->area_at = now;
  capacity->running = running;
  if (running >= capacity->limit)
    capacity->binding_at = now;
}

/* --- scores --- */

static gboolean
is_binding (const DpCapacity *capacity, DpUsec now)
{
  return capacity->running >= capacity->limit || now - capacity->binding_at < BINDING_AGE;
}

/* With requests waiting, a target has as many as it may have, even if they are fewer than its
 * limit: it has prompts enough to read. */
static gboolean
is_saturated (const DpCapacity *capacity, DpUsec now)
{
  return capacity->running > 1 && now - capacity->demand_at < BINDING_AGE;
}

static DpCapacityScore
score_present (const DpCapacity *capacity, DpUsec now)
{
  const DpCapacityGroup group
    = { .high = G_MAXDOUBLE, .ended_after = now - PRESENT_AGE, .count_max = PRESENT_COUNT_MAX };
  return dp_capacity_score (capacity, &group);
}

/* Measurements during the trial, of requests that shared the target with about as many as the
 * limit on trial, rather than the confirmed one. */
static DpCapacityScore
score_trial (const DpCapacity *capacity)
{
  double limit = capacity->limit;
  double middle = (limit + capacity->confirmed) / 2;
  gboolean is_lower = capacity->limit < capacity->confirmed;
  const DpCapacityGroup group
    = { .low = is_lower ? limit - GROUP_BELOW : middle - GROUP_SLACK,
        .high = is_lower ? MIN (limit + GROUP_ABOVE, middle) : G_MAXDOUBLE,
        .ended_after = capacity->trial_at,
        .count_max = DP_CAPACITY_ROWS };
  return dp_capacity_score (capacity, &group);
}

static gboolean
is_clearly_better (const DpCapacityScore *a, const DpCapacityScore *b, double gain)
{
  return a->value - b->value > MAX (gain, CLEAR_ERRORS * hypot (a->error, b->error));
}

/* --- trials of a lower limit --- */

/* Returns the lower concurrency with the best score that is clearly better, or 0. */
static guint
find_better_limit (DpCapacity *capacity, const DpCapacityScore *present, DpUsec now)
{
  guint best = 0;
  double best_value = 0;
  for (guint k = (guint)(LOWER_PART_MAX * present->running); k >= 1; k--)
    {
      const DpCapacityGroup group = { .low = k - 1.0,
                                      .high = k + 0.25,
                                      .ended_after = now - LOWER_AGE,
                                      .count_max = DP_CAPACITY_ROWS };
      DpCapacityScore score = dp_capacity_score (capacity, &group);
      if (score.count < LOWER_COUNT_MIN)
        continue;
      capacity->compared_at = now;
      if (!is_clearly_better (&score, present, LOWER_GAIN_MIN))
        continue;
      if (best != 0 && score.value <= best_value)
        continue;
      best = k;
      best_value = score.value;
    }
  return best;
}

static void
begin_lowering (DpCapacity *capacity, guint limit, const DpCapacityScore *present, DpUsec now)
{
  capacity->state = DP_CAPACITY_LOWERING;
  capacity->reference = *present;
  capacity->trial_at = now;
  capacity->limit = limit;
  capacity->pool->trials++;
  capacity->pool->lowered++;
}

static gboolean
has_trials_enough (const DpCapacityPool *pool)
{
  guint trials_max = pool->confirmed_in_row >= CONFIRMED_MANY
                       ? pool->targets / 2
                       : pool->targets / TRIAL_TARGETS_DIVISOR;
  return pool->trials >= MAX (trials_max, 1);
}

/* Proposes the target for exploration if it qualifies and is slower than others that do. */
static void
propose (DpCapacity *capacity, const DpCapacityScore *present, DpUsec now)
{
  DpCapacityPool *pool = capacity->pool;
  if (now - capacity->saturated_at < SATURATED_MIN
      || (capacity->compared_at != 0 && now - capacity->compared_at < COMPARED_AGE_MAX))
    return;
  if (pool->suspect != NULL && pool->suspicion >= present->slowness)
    return;
  pool->suspect = capacity;
  pool->suspicion = present->slowness;
}

void
dp_capacity_pool_explore (DpCapacityPool *pool, DpUsec now)
{
  DpCapacity *capacity = pool->suspect;
  if (capacity == NULL || now < pool->explore_at || has_trials_enough (pool))
    return;
  pool->suspect = NULL;
  if (capacity->state != DP_CAPACITY_STEADY || !is_saturated (capacity, now))
    return;
  DpCapacityScore present = score_present (capacity, now);
  guint half = MIN (capacity->limit - 1, (guint)ceil (present.running)) / 2;
  capacity->compared_at = now;
  begin_lowering (capacity, MAX (half, 1), &present, now);
  pool->explore_at = now + pool->explore_interval;
}

static gboolean
try_lower (DpCapacity *capacity, DpUsec now)
{
  if (capacity->limit <= 1 || now < capacity->lower_at || !is_saturated (capacity, now))
    return FALSE;
  DpCapacityScore present = score_present (capacity, now);
  if (present.count < PRESENT_COUNT_MIN || present.span < PRESENT_SPAN_MIN)
    return FALSE;
  guint limit = find_better_limit (capacity, &present, now);
  if (limit == 0)
    propose (capacity, &present, now);
  if (limit == 0 || has_trials_enough (capacity->pool))
    return FALSE;
  begin_lowering (capacity, limit, &present, now);
  return TRUE;
}

/* TRUE if there are enough measurements to end the trial whatever they show. */
static gboolean
is_complete (const DpCapacity *capacity, const DpCapacityScore *score, DpUsec now)
{
  DpUsec time = now - capacity->trial_at;
  return time > TRIAL_DURATION_MAX
         || (score->count >= TRIAL_COUNT_MIN && time >= TRIAL_TIME_MIN);
}

static void
confirm (DpCapacity *capacity)
{
  end_trial (capacity);
  capacity->confirmed = capacity->limit;
}

static void
change_explore_interval (DpCapacityPool *pool, double factor)
{
  DpUsec interval = (DpUsec)((double)pool->explore_interval * factor);
  pool->explore_interval = CLAMP (interval, EXPLORE_INTERVAL_MIN, EXPLORE_INTERVAL_MAX);
}

static void
confirm_lower (DpCapacity *capacity, DpUsec now)
{
  confirm (capacity);
  capacity->lower_interval = LOWER_INTERVAL_MIN;
  capacity->raise_interval = RAISE_INTERVAL_MIN;
  capacity->raise_step = 1;
  capacity->raise_at = now + capacity->raise_interval;
  capacity->pool->confirmed_in_row++;
  change_explore_interval (capacity->pool, 0.25);
}

static void
restore (DpCapacity *capacity, DpUsec now)
{
  end_trial (capacity);
  capacity->limit = capacity->confirmed;
  capacity->lower_at = now + capacity->lower_interval;
  capacity->lower_interval = MIN (2 * capacity->lower_interval, LOWER_INTERVAL_MAX);
  capacity->pool->restored++;
  capacity->pool->confirmed_in_row = 0;
  change_explore_interval (capacity->pool, 2);
}

static gboolean
check_lowering (DpCapacity *capacity, DpUsec now)
{
  DpCapacityScore score = score_trial (capacity);
  gboolean has_result = score.count >= TRIAL_COUNT_CLEAR;
  if (has_result && is_clearly_better (&score, &capacity->reference, CONFIRM_GAIN_MIN))
    confirm_lower (capacity, now);
  else if ((has_result && is_clearly_better (&capacity->reference, &score, 0))
           || is_complete (capacity, &score, now))
    restore (capacity, now);
  else
    return FALSE;
  return TRUE;
}

/* --- trials of a higher limit --- */

static gboolean
try_higher (DpCapacity *capacity, DpUsec now)
{
  if (capacity->limit >= capacity->ceiling || now < capacity->raise_at)
    return FALSE;
  if (!is_binding (capacity, now))
    {
      if (now - capacity->binding_at < OUTDATED_AFTER)
        return FALSE;
      capacity->binding_at = now;
      capacity->limit++;
      capacity->confirmed = capacity->limit;
      return TRUE;
    }
  DpCapacityScore present = score_present (capacity, now);
  if (present.count < TRIAL_COUNT_CLEAR)
    return FALSE;
  capacity->state = DP_CAPACITY_RAISING;
  capacity->reference = present;
  capacity->trial_at = now;
  capacity->limit = MIN (capacity->limit + capacity->raise_step, capacity->ceiling);
  return TRUE;
}

static gboolean
check_raising (DpCapacity *capacity, DpUsec now)
{
  DpCapacityScore score = score_trial (capacity);
  gboolean has_result = score.count >= TRIAL_COUNT_CLEAR;
  gboolean is_over = is_complete (capacity, &score, now);
  gboolean is_worse
    = has_result
      && (is_clearly_better (&capacity->reference, &score, RAISE_LOSS_MAX)
          || (is_over && score.value < capacity->reference.value - RAISE_LOSS_MAX));
  if (is_worse)
    {
      end_trial (capacity);
      capacity->limit = capacity->confirmed;
      capacity->raise_step = 1;
      capacity->raise_interval = MIN (2 * capacity->raise_interval, RAISE_INTERVAL_MAX);
      capacity->raise_at = now + capacity->raise_interval;
      return TRUE;
    }
  if (!is_over)
    return FALSE;
  confirm (capacity);
  capacity->raise_interval = RAISE_INTERVAL_MIN;
  capacity->raise_step *= 2;
  capacity->raise_at = now;
  capacity->pool->raised++;
  return TRUE;
}

gboolean
dp_capacity_update (DpCapacity *capacity, gboolean has_demand, DpUsec now)
{
  if (has_demand && now - capacity->demand_at > BINDING_AGE)
    capacity->saturated_at = now;
  if (has_demand)
    capacity->demand_at = now;
  if (now - capacity->checked_at < CHECK_INTERVAL)
    return FALSE;
  capacity->checked_at = now;
  switch (capacity->state)
    {
    case DP_CAPACITY_LOWERING:
      return check_lowering (capacity, now);
    case DP_CAPACITY_RAISING:
      return check_raising (capacity, now);
    case DP_CAPACITY_STEADY:
    default:
      return try_higher (capacity, now) || try_lower (capacity, now);
    }
}
