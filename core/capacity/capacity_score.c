/* Measurements of a target, and the useful work per time that they show. */
#include "core/capacity/capacity_private.h"

#include <math.h>
#include <stdlib.h>

/* Worth of a late response relative to one on time. */
#define LATE_WORTH 0.1
/* Least standard deviation of log ratios: few equal values are no proof of precision. */
#define DEVIATION_MIN 0.15
/* Standard error of a median relative to that of a mean. */
#define MEDIAN_ERROR 1.25
/* Interquartile range of a normal distribution in standard deviations. */
#define QUARTILE_RANGE 1.35
/* Ratios outside of this range come from faults. */
#define RATIO_MIN 0.05
#define RATIO_MAX 50.0

static double
log_ratio (const DpCapacity *capacity, const DpCapacityRow *row)
{
  const DpLatencyModel *model = &capacity->pool->durations[row->urgency];
  double expected = (double)dp_latency_model_expected (model, row->prompt_tokens, 1);
  return log (CLAMP ((double)row->duration / MAX (expected, 1), RATIO_MIN, RATIO_MAX));
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static gboolean
is_in_group (const DpCapacityRow *row, const DpCapacityGroup *group)
{
  return row->running >= group->low && row->running <= group->high
         && row->sent_at >= group->sent_after
         && row->sent_at + row->duration >= group->ended_after;
}

/* By Little's law, work per time is concurrency divided by the time in a slot. The median time
 * isn't affected by short slow periods. */
DpCapacityScore
dp_capacity_score (const DpCapacity *capacity, const DpCapacityGroup *group)
{
  DpCapacityScore score = { 0 };
  double ratios[DP_CAPACITY_ROWS];
  double running = 0;
  guint judged = 0;
  guint on_time = 0;
  DpUsec first = G_MAXINT64;
  DpUsec last = 0;
  for (guint i = 1; i <= capacity->row_count && score.count < group->count_max; i++)
    {
      guint index = (capacity->next_row + DP_CAPACITY_ROWS - i) % DP_CAPACITY_ROWS;
      const DpCapacityRow *row = &capacity->rows[index];
      if (!is_in_group (row, group))
        continue;
      ratios[score.count++] = log_ratio (capacity, row);
      running += row->running;
      judged += row->has_objective;
      on_time += row->has_objective && !row->is_late;
      first = MIN (first, row->sent_at);
      last = MAX (last, row->sent_at + row->duration);
    }
  if (score.count == 0)
    return score;
  qsort (ratios, score.count, sizeof (double), compare_doubles);
  double count = score.count;
  double range = ratios[(score.count * 3) / 4] - ratios[score.count / 4];
  double deviation = MAX (range / QUARTILE_RANGE, DEVIATION_MIN);
  /* With one more of each, few responses are no proof of a share of 0 or 1. */
  double share = (on_time + 1.0) / (judged + 1.0 + (judged > on_time));
  double worth = LATE_WORTH + (1 - LATE_WORTH) * share;
  double share_error = (1 - LATE_WORTH) / worth * sqrt (share * (1 - share) / (judged + 1.0));
  score.running = running / count;
  score.span = last - first;
  score.slowness = ratios[score.count / 2];
  score.value = log (MAX (score.running, 1)) - score.slowness + log (worth);
  score.error = hypot (MEDIAN_ERROR * deviation / sqrt (count), share_error);
  return score;
}

void
dp_capacity_record (DpCapacity *capacity, const DpCapacitySample *sample, DpUsec now)
{
  guint urgency = MIN (sample->urgency, DP_URGENCY_LEVELS - 1);
  DpLatencyModel *model = &capacity->pool->durations[urgency];
  if (sample->duration <= 0 || !isfinite (sample->running) || sample->running < 0)
    return;
  /* What was given up early says nothing, unless it had already taken longer than usual. */
  if (sample->is_complete)
    dp_latency_model_update (model, sample->prompt_tokens, 1, sample->duration);
  else if (sample->duration < dp_latency_model_expected (model, sample->prompt_tokens, 1))
    return;
  gboolean is_late = sample->first_event == 0 || sample->first_event > sample->objective;
  capacity->rows[capacity->next_row] = (DpCapacityRow){
    .urgency = urgency,
    .prompt_tokens = sample->prompt_tokens,
    .running = (float)sample->running,
    .has_objective = sample->objective > 0,
    .is_late = is_late,
    .is_complete = sample->is_complete,
    .sent_at = sample->sent_at,
    .duration = MIN (sample->duration, MAX (now - sample->sent_at, 1)),
  };
  capacity->measured_at = now;
  capacity->next_row = (capacity->next_row + 1) % DP_CAPACITY_ROWS;
  capacity->row_count = MIN (capacity->row_count + 1, DP_CAPACITY_ROWS);
}
