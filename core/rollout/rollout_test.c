/* Comparison of the versions' answers, by route and over all routes.
 *
 * A sum of log likelihood ratios (CUSUM) for each, over slots of time: the old version's rate
 * is that of the slots around, or of the last seconds if it was higher. Answers of retries and
 * resumed streams are left out, since their mix differs between the versions. */
#include "core/rollout/rollout_private.h"

#include <math.h>

/* A first event is late after this multiple of what the old version takes. */
#define SLOW_FACTOR 2.5
/* Added to it: differences in the way to the target matter where answers take few ms. */
#define SLOW_SLACK (5 * DP_USEC_PER_MSEC)
/* The speed of a machine is this quantile of its times relative to expected ones: slow answers
 * of a bad version, if they are not the rule, don't shift it. */
#define SPEED_QUANTILE 0.3
#define SPEED_GAIN 0.1
/* Answers until a target's speed, or the old version's times on a route, count as known. */
#define SPEED_ANSWERS 10
#define TIMES_ANSWERS 20
/* Speeds of new targets are limited to this range of the old ones'. */
#define SPEED_RANGE_LOW 0.1
#define SPEED_RANGE_HIGH 0.9
#define SPEED_RANGE_INTERVAL DP_USEC_PER_SEC
/* All requests at a target fail when it crashes, and so do those that are sent to it until that
 * is noticed. Of a series without a good answer, one failure counts in this time. */
#define SERIES_INTERVAL DP_USEC_PER_SEC
/* Weights of the prior rate, of the total rate in that of the last seconds, and of that one in
 * the rate of a moment, as numbers of answers. */
#define PRIOR_RATE 0.05
#define PRIOR_ANSWERS 20
#define TOTAL_ANSWERS 50
#define RECENT_ANSWERS 20
#define RATE_MIN 0.01
/* Smallest increase of the rate that makes a version bad: this much, and to twice the rate. */
#define RATE_INCREASE 0.1
/* Answers of the old version without which nothing is concluded. */
#define OLD_ANSWERS_MIN 50
/* A rate that is raised by less is found by its total: at least this many bad answers, and
 * this many standard deviations above one and a half times what was expected. */
#define TOTAL_BAD_MIN 20
#define TOTAL_DEVIATIONS 5
/* The same for bad answers with whole series: below the 50 after which a version may get no
 * more requests. */
#define RAW_BAD_MIN 40
#define RAW_BAD_EXTRA 25
/* Answers that a completed roll-out needs, and those on each busy route. */
#define ANSWERS_MIN 100
#define ROUTE_ANSWERS_MIN 20
#define BUSY_ROUTE_SHARE 0.05

void
dp_rollout_test_init (DpRollout *rollout)
{
  rollout->speeds = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  rollout->overall.slot = rollout->now / DP_ROLLOUT_SLOT;
}

/* --- speed --- */

static DpRolloutSpeed *
get_speed (DpRollout *rollout, DpName target, gboolean is_new)
{
  DpRolloutSpeed *speed = g_hash_table_lookup (rollout->speeds, &target);
  if (speed != NULL)
    return speed;
  speed = g_new0 (DpRolloutSpeed, 1);
  speed->is_new = is_new;
  speed->base = 1;
  g_hash_table_insert (rollout->speeds, g_memdup2 (&target, sizeof target), speed);
  return speed;
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return (first > second) - (first < second);
}

/* Range of the speeds of the old version's targets. */
static void
update_speed_range (DpRollout *rollout)
{
  if (rollout->now - rollout->bases_at < SPEED_RANGE_INTERVAL)
    return;
  rollout->bases_at = rollout->now;
  GArray *bases = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, rollout->speeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpRolloutSpeed *speed = value;
      if (!speed->is_new && speed->answers >= SPEED_ANSWERS)
        g_array_append_val (bases, speed->base);
    }
  g_array_sort (bases, compare_doubles);
  if (bases->len > 0)
    {
      guint last = bases->len - 1;
      rollout->fastest_base
        = g_array_index (bases, double, (guint)floor (last * SPEED_RANGE_LOW));
      rollout->slowest_base
        = g_array_index (bases, double, (guint)ceil (last * SPEED_RANGE_HIGH));
    }
  g_array_unref (bases);
}

/* What an answer of this target may take, relative to the old version's average. A target with
 * few answers counts as one of the slowest. */
static double
speed_of (const DpRollout *rollout, const DpRolloutSpeed *speed)
{
  double slowest = rollout->slowest_base > 0 ? rollout->slowest_base : 1;
  if (speed->answers < SPEED_ANSWERS)
    return MAX (slowest, 1);
  if (!speed->is_new)
    return MIN (speed->base, slowest);
  return CLAMP (speed->base, MIN (rollout->fastest_base, slowest), slowest);
}

static void
learn_speed (DpRolloutSpeed *speed, double ratio)
{
  double gain = speed->answers < SPEED_ANSWERS ? 3 * SPEED_GAIN : SPEED_GAIN;
  speed->answers++;
  speed->base *= 1 + gain * (ratio > speed->base ? SPEED_QUANTILE : SPEED_QUANTILE - 1);
}

/* Time until the first event, or until the caller left without one. */
static DpUsec
waited (const DpRolloutAnswer *answer)
{
  return answer->first_event > 0 ? answer->first_event : answer->duration;
}

static gboolean
is_slow (DpRollout *rollout, DpRolloutSpeed *speed, const DpRolloutAnswer *answer)
{
  DpRolloutRoute *route = dp_rollout_route (rollout, answer->request.route);
  DpUsec time = waited (answer);
  gboolean is_measured = answer->first_event > 0;
  DpUsec expected = dp_latency_model_expected (&route->old_times, answer->prompt_tokens, 1);
  gboolean is_known = route->old_times_count >= TIMES_ANSWERS;
  double limit = SLOW_FACTOR * speed_of (rollout, speed) * (double)expected;
  if (is_measured && !answer->is_new)
    {
      dp_latency_model_update (&route->old_times, answer->prompt_tokens, 1, time);
      route->old_times_count++;
    }
  if (!is_known)
    return FALSE;
  if (is_measured)
    learn_speed (speed, (double)time / (double)MAX (expected, 1));
  return (double)time > limit + (double)SLOW_SLACK;
}

/* --- charts --- */

static guint
slot_index (gint64 slot)
{
  return (guint)(((slot % DP_ROLLOUT_SLOTS) + DP_ROLLOUT_SLOTS) % DP_ROLLOUT_SLOTS);
}

static void
add_to_chart (DpRolloutChart *chart, gboolean is_new, gboolean is_bad)
{
  DpRolloutSlot *slots = is_new ? chart->new_slots : chart->old_slots;
  DpRolloutSlot *slot = &slots[slot_index (chart->slot)];
  slot->answers++;
  slot->bad += is_bad;
  if (is_new)
    {
      chart->new_answers++;
      chart->new_bad += is_bad;
      return;
    }
  chart->old_answers++;
  chart->old_bad += is_bad;
}

static DpRolloutSlot
sum_old (const DpRolloutChart *chart, gint64 first, gint64 last)
{
  DpRolloutSlot sum = { 0 };
  for (gint64 slot = first; slot <= last; slot++)
    {
      sum.answers += chart->old_slots[slot_index (slot)].answers;
      sum.bad += chart->old_slots[slot_index (slot)].bad;
    }
  return sum;
}

static double
mix (const DpRolloutSlot *slot, double prior, double weight)
{
  return (slot->bad + weight * prior) / (slot->answers + weight);
}

/* The old version's rate at the time of that slot: the higher of the last seconds' and of the
 * slots around. */
static double
old_rate (const DpRolloutChart *chart, gint64 slot)
{
  double total = ((double)chart->old_bad + PRIOR_RATE * PRIOR_ANSWERS)
                 / ((double)chart->old_answers + PRIOR_ANSWERS);
  const DpRolloutSlot window = sum_old (chart, chart->slot - DP_ROLLOUT_SLOTS + 1, chart->slot);
  const DpRolloutSlot around = sum_old (chart, slot - 1, slot + 1);
  double recent = mix (&window, total, TOTAL_ANSWERS);
  return MAX (recent, mix (&around, recent, RECENT_ANSWERS));
}

static void
evaluate (DpRolloutChart *chart, gint64 slot)
{
  const DpRolloutSlot *answers = &chart->new_slots[slot_index (slot)];
  if (answers->answers == 0 || chart->old_answers < OLD_ANSWERS_MIN)
    return;
  double rate = old_rate (chart, slot);
  double low = CLAMP (rate, RATE_MIN, 1 - RATE_MIN);
  double high = MIN (MAX (low + RATE_INCREASE, 2 * low), (1 + low) / 2);
  double good = answers->answers - answers->bad;
  chart->expected_bad += answers->answers * rate;
  chart->score += answers->bad * log (high / low) + good * log ((1 - high) / (1 - low));
  chart->score = MAX (chart->score, 0);
}

/* A slot is evaluated when the next one is over, which the old version's rate includes. */
static void
advance (DpRolloutChart *chart, gint64 slot)
{
  if (slot - chart->slot > DP_ROLLOUT_SLOTS)
    chart->slot = slot - DP_ROLLOUT_SLOTS;
  while (chart->slot < slot)
    {
      evaluate (chart, chart->slot - 1);
      chart->slot++;
      chart->old_slots[slot_index (chart->slot)] = (DpRolloutSlot){ 0 };
      chart->new_slots[slot_index (chart->slot)] = (DpRolloutSlot){ 0 };
    }
}

void
dp_rollout_test_advance (DpRollout *rollout)
{
  gint64 slot = rollout->now / DP_ROLLOUT_SLOT;
  advance (&rollout->overall, slot);
  for (guint i = 0; i < rollout->route_count; i++)
    advance (&rollout->routes[i].chart, slot);
  update_speed_range (rollout);
}

/* --- answers --- */

/* FALSE for a failure of a series that is counted already. */
static gboolean
counts_in_series (DpRollout *rollout, DpRolloutSpeed *speed, const DpRolloutAnswer *answer)
{
  if (answer->outcome != DP_ROLLOUT_OUTCOME_BREAK)
    {
      if (answer->outcome == DP_ROLLOUT_OUTCOME_COMPLETE
          && answer->granted_at >= speed->broken_at)
        speed->broken_at = 0;
      return TRUE;
    }
  if (speed->broken_at == 0)
    speed->broken_at = rollout->now;
  else if (rollout->now - speed->counted_at < SERIES_INTERVAL)
    return FALSE;
  speed->counted_at = rollout->now;
  return TRUE;
}

static gboolean
is_failure (DpRolloutOutcome outcome)
{
  switch (outcome)
    {
    case DP_ROLLOUT_OUTCOME_ERROR:
    case DP_ROLLOUT_OUTCOME_BREAK:
      return TRUE;
    case DP_ROLLOUT_OUTCOME_COMPLETE:
    case DP_ROLLOUT_OUTCOME_LEFT:
      return FALSE;
    }
  return FALSE;
}

void
dp_rollout_test_add (DpRollout *rollout, const DpRolloutAnswer *answer)
{
  DpRolloutSpeed *speed = get_speed (rollout, answer->target, answer->is_new);
  DpRolloutCounts *counts = answer->is_new ? &rollout->new_version : &rollout->old_version;
  gboolean is_bad = is_failure (answer->outcome) || is_slow (rollout, speed, answer);
  gboolean is_counted = counts_in_series (rollout, speed, answer);
  /* A caller that leaves early says nothing about the target. */
  if (answer->outcome == DP_ROLLOUT_OUTCOME_LEFT && !is_bad)
    return;
  if (is_bad)
    counts->bad++;
  else
    counts->good++;
  if (!is_counted || answer->request.is_retry)
    return;
  add_to_chart (&rollout->overall, answer->is_new, is_bad);
  add_to_chart (&dp_rollout_route (rollout, answer->request.route)->chart, answer->is_new,
                is_bad);
}

/* --- verdict --- */

static gboolean
exceeds_total (const DpRolloutChart *chart)
{
  double limit = 1.5 * chart->expected_bad + TOTAL_DEVIATIONS * sqrt (chart->expected_bad + 1);
  return chart->new_bad >= TOTAL_BAD_MIN && (double)chart->new_bad > limit;
}

DpRolloutCause
dp_rollout_test_verdict (const DpRollout *rollout, DpName *route)
{
  const DpRolloutChart *overall = &rollout->overall;
  *route = 0;
  if (overall->old_answers < OLD_ANSWERS_MIN)
    return DP_ROLLOUT_CAUSE_NONE;
  if (overall->score > DP_ROLLOUT_THRESHOLD)
    return DP_ROLLOUT_CAUSE_BAD_ANSWERS;
  for (guint i = 0; i < rollout->route_count; i++)
    if (rollout->routes[i].chart.score > DP_ROLLOUT_THRESHOLD)
      {
        *route = rollout->routes[i].name;
        return DP_ROLLOUT_CAUSE_BAD_ROUTE;
      }
  double raw = (double)rollout->new_version.bad;
  if (exceeds_total (overall)
      || (raw >= RAW_BAD_MIN && raw > 2 * overall->expected_bad + RAW_BAD_EXTRA))
    return DP_ROLLOUT_CAUSE_BAD_COUNT;
  return DP_ROLLOUT_CAUSE_NONE;
}

double
dp_rollout_test_score (const DpRollout *rollout)
{
  double score = rollout->overall.score;
  for (guint i = 0; i < rollout->route_count; i++)
    score = MAX (score, rollout->routes[i].chart.score);
  return score;
}

gboolean
dp_rollout_test_has_enough (const DpRollout *rollout)
{
  if (rollout->overall.new_answers < ANSWERS_MIN)
    return FALSE;
  for (guint i = 0; i < rollout->route_count; i++)
    {
      const DpRolloutRoute *route = &rollout->routes[i];
      if ((double)route->counted >= BUSY_ROUTE_SHARE * (double)rollout->counted
          && route->chart.new_answers < ROUTE_ANSWERS_MIN)
        return FALSE;
    }
  return TRUE;
}
