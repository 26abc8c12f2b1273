/* The limit of concurrent requests at a target. */
#include "core/capacity/capacity_private.h"

#include <math.h>

#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC

/* Scores are compared at most this often. */
#define CHECK_INTERVAL (250 * MSEC)
/* Measurements at the limit: how recent they are, how many, and over which time at least. Slow
 * periods of 0.6 s occur at sound targets. */
#define RECENT_AGE (3 * SEC)
#define RECENT_COUNT_MIN 6
#define RECENT_SPAN_MIN (1200 * MSEC)
/* The same for measurements at lower concurrency, which may come from the time before a burst.
 */
#define LOWER_AGE (20 * SEC)
#define LOWER_COUNT_MIN 5
/* Least excess of a lower concurrency's score, and of the measurements during a trial. */
#define LOWER_GAIN_MIN 0.18
#define CONFIRM_GAIN_MIN 0.08
/* Excess must also be this multiple of the standard error. */
#define CLEAR_ERRORS 2.0
/* Measurements during a trial. */
#define TRIAL_COUNT_MIN 5
#define TRIAL_SPAN_MIN (800 * MSEC)
#define TRIAL_DURATION_MAX (4 * SEC)
/* Loss of score from which a higher limit is given up. */
#define RAISE_LOSS_MAX 0.08
/* A lowered limit is tried higher after this time; the interval doubles with each failure. */
#define RAISE_INTERVAL_MIN (2 * SEC)
#define RAISE_INTERVAL_MAX (24 * SEC)
/* After a trial that was not confirmed; doubles too. */
#define LOWER_INTERVAL_MIN (5 * SEC)
#define LOWER_INTERVAL_MAX (80 * SEC)
/* A lowered limit that isn't reached for this long is raised by one, and again after the same
 * time: what was learned is outdated. */
#define OUTDATED_AFTER (20 * SEC)
/* Part of the targets that may have a lower limit on trial at a time. */
#define TRIAL_TARGETS_DIVISOR 4
/* The limit counts as reached until this long after. */
#define BINDING_AGE (500 * MSEC)
/* Concurrency of a group relative to its limit: averages over a request's time are lower. */
#define GROUP_BELOW 1.25
#define GROUP_ABOVE 0.75

void
dp_capacity_pool_init (DpCapacityPool *pool)
{
  *pool = (DpCapacityPool){ 0 };
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
  capacity->heard_at = now - age;
  capacity->binding_at = now - age;
  capacity->raise_at = now + RAISE_INTERVAL_MIN;
  return TRUE;
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

/* --- decisions --- */

static gboolean
is_binding (const DpCapacity *capacity, DpUsec now)
{
  return capacity->running >= capacity->limit || now - capacity->binding_at < BINDING_AGE;
}

static DpCapacityScore
score_at_limit (const DpCapacity *capacity, DpUsec now)
{
  const DpCapacityGroup group = { .low = capacity->limit - GROUP_BELOW,
                                  .high = capacity->limit + GROUP_ABOVE,
                                  .ended_after = now - RECENT_AGE };
  return dp_capacity_score (capacity, &group);
}

static gboolean
is_clearly_better (const DpCapacityScore *a, const DpCapacityScore *b, double gain)
{
  return a->value - b->value > MAX (gain, CLEAR_ERRORS * hypot (a->error, b->error));
}

/* Returns the lower concurrency with the best score that is clearly better, or 0. */
static guint
find_better_limit (DpCapacity *capacity, const DpCapacityScore *present, DpUsec now)
{
  guint best = 0;
  double best_value = 0;
  for (guint k = capacity->limit - 1; k >= 1; k--)
    {
      const DpCapacityGroup group
        = { .low = k - 1.0, .high = k + 0.25, .ended_after = now - LOWER_AGE };
      DpCapacityScore score = dp_capacity_score (capacity, &group);
      if (score.count < LOWER_COUNT_MIN)
        continue;
      if (!is_clearly_better (&score, present, LOWER_GAIN_MIN))
        continue;
      if (best != 0 && score.value <= best_value)
        continue;
      best = k;
      best_value = score.value;
    }
  return best;
}

static gboolean
try_lower (DpCapacity *capacity, DpUsec now)
{
  DpCapacityPool *pool = capacity->pool;
  if (capacity->limit <= 1 || now < capacity->lower_at || !is_binding (capacity, now)
      || pool->trials >= MAX (pool->targets / TRIAL_TARGETS_DIVISOR, 1))
    return FALSE;
  DpCapacityScore present = score_at_limit (capacity, now);
  if (present.count < RECENT_COUNT_MIN || present.span < RECENT_SPAN_MIN)
    return FALSE;
  guint limit = find_better_limit (capacity, &present, now);
  if (limit == 0)
    return FALSE;
  capacity->state = DP_CAPACITY_LOWERING;
  capacity->reference = present;
  capacity->trial_at = now;
  capacity->limit = limit;
  pool->trials++;
  pool->lowered++;
  return TRUE;
}

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
  DpCapacityScore present = score_at_limit (capacity, now);
  if (present.count < TRIAL_COUNT_MIN)
    return FALSE;
  capacity->state = DP_CAPACITY_RAISING;
  capacity->reference = present;
  capacity->trial_at = now;
  capacity->limit = MIN (capacity->limit + capacity->raise_step, capacity->ceiling);
  return TRUE;
}

/* Measurements of requests that were sent during the trial, once there are enough. */
static gboolean
score_trial (const DpCapacity *capacity, DpCapacityScore *score)
{
  const DpCapacityGroup group = { .low = capacity->limit - GROUP_BELOW,
                                  .high = capacity->limit + GROUP_ABOVE,
                                  .sent_after = capacity->trial_at };
  *score = dp_capacity_score (capacity, &group);
  return score->count >= TRIAL_COUNT_MIN && score->span >= TRIAL_SPAN_MIN;
}

static void
confirm (DpCapacity *capacity)
{
  end_trial (capacity);
  capacity->confirmed = capacity->limit;
}

static gboolean
check_lowering (DpCapacity *capacity, DpUsec now)
{
  DpCapacityScore score;
  gboolean is_judged = score_trial (capacity, &score);
  if (is_judged && is_clearly_better (&score, &capacity->reference, CONFIRM_GAIN_MIN))
    {
      confirm (capacity);
      capacity->lower_interval = LOWER_INTERVAL_MIN;
      capacity->raise_interval = RAISE_INTERVAL_MIN;
      capacity->raise_at = now + capacity->raise_interval;
      return TRUE;
    }
  gboolean is_over = now - capacity->trial_at > TRIAL_DURATION_MAX;
  gboolean is_worse = is_judged && score.value < capacity->reference.value + CONFIRM_GAIN_MIN;
  if (!is_over && !is_worse)
    return FALSE;
  end_trial (capacity);
  capacity->limit = capacity->confirmed;
  capacity->lower_at = now + capacity->lower_interval;
  capacity->lower_interval = MIN (2 * capacity->lower_interval, LOWER_INTERVAL_MAX);
  capacity->pool->restored++;
  return TRUE;
}

static gboolean
check_raising (DpCapacity *capacity, DpUsec now)
{
  DpCapacityScore score;
  gboolean is_judged = score_trial (capacity, &score);
  if (is_judged && score.value < capacity->reference.value - RAISE_LOSS_MAX)
    {
      end_trial (capacity);
      capacity->limit = capacity->confirmed;
      capacity->raise_step = 1;
      capacity->raise_interval = MIN (2 * capacity->raise_interval, RAISE_INTERVAL_MAX);
      capacity->raise_at = now + capacity->raise_interval;
      return TRUE;
    }
  if (!is_judged && now - capacity->trial_at <= TRIAL_DURATION_MAX)
    return FALSE;
  confirm (capacity);
  capacity->raise_interval = RAISE_INTERVAL_MIN;
  capacity->raise_step *= 2;
  capacity->raise_at = now;
  capacity->pool->raised++;
  return TRUE;
}

gboolean
dp_capacity_update (DpCapacity *capacity, DpUsec now)
{
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
