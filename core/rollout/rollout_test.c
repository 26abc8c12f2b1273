/* Comparison of the versions' answers, by route and over all routes.
 *
 * A sum of log likelihood ratios (CUSUM) for each, over slots of time: the old version's rate
 * is that of the slots around, or of the last seconds if it was higher. Answers of retries and
 * resumed streams are left out, since their mix differs between the versions. */
#include "core/rollout/rollout_private.h"

#include <math.h>

/* A first event is late after this multiple of what the old version takes. */
#define SLOW_FACTOR 2.5
/* Machines that are busy with other work were seen to take 2.5 times as long, and answers
 * beside others a little more. Of what takes longer than this, more is counted in a second. */
#define VERY_SLOW_FACTOR 3.5
#define VERY_SLOW_MAX 3
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
/* Slowest speed while less than half of the old targets are known, as for a new owner. */
#define SPEED_UNKNOWN 2.0
/* All requests at a target fail when it crashes, and so do those that are sent to it until that
 * is noticed; all are slow while its machine is busy with other work. Such a series is one
 * event: one bad answer of it counts in this time. */
#define SERIES_INTERVAL DP_USEC_PER_SEC
/* Weights of the prior rate, of the total rate in that of the last seconds, and of that one in
 * the rates of three slots and of one, as numbers of answers. */
#define PRIOR_RATE 0.05
#define PRIOR_ANSWERS 20
#define TOTAL_ANSWERS 50
#define RECENT_ANSWERS 20
#define OWN_ANSWERS 10
#define RATE_MIN 0.01
/* The old version's worst moment is that of so many slots with so many requests. */
#define PEAK_SLOTS 5
#define PEAK_REQUESTS 50
/* Slots that still wait for answers; the current one is the last of them. */
#define PENDING_SLOTS 3
/* Requests at the old version without which nothing is concluded. */
#define OLD_REQUESTS_MIN 50
/* A rate that is raised by less is found by its total: at least this many bad answers, and
 * this many standard deviations above this multiple of what was expected. */
#define TOTAL_BAD_MIN 12
#define TOTAL_FACTOR 1.5
#define TOTAL_DEVIATIONS 4
/* The same for bad answers with whole series: below the 50 after which a version may get no
 * more requests. */
#define RAW_BAD_MIN 40
#define RAW_FACTOR 2
#define RAW_BAD_EXTRA 30
/* Answers that a completed roll-out needs, and those on each busy route. */
#define ANSWERS_MIN 100
#define ROUTE_ANSWERS_MIN 20
#define BUSY_ROUTE_SHARE 0.05

/* Increases of the old version's rate that make a version bad. */
static const struct
{
  double by;
  double factor;
} increases[DP_ROLLOUT_SUMS] = { { 0.1, 2 }, { 0.3, 4 } };

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
  guint old_targets = 0;
  GArray *bases = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, rollout->speeds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpRolloutSpeed *speed = value;
      old_targets += !speed->is_new;
      if (!speed->is_new && speed->answers >= SPEED_ANSWERS)
        g_array_append_val (bases, speed->base);
    }
  g_array_sort (bases, compare_doubles);
  if (bases->len > 0 && 2 * bases->len >= old_targets)
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
  double slowest = rollout->slowest_base > 0 ? rollout->slowest_base : SPEED_UNKNOWN;
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

typedef enum Grade
{
  GRADE_GOOD,
  GRADE_SLOW,
  GRADE_VERY_SLOW,
  GRADE_FAILED,
} Grade;

static Grade
grade_time (DpRollout *rollout, DpRolloutSpeed *speed, const DpRolloutAnswer *answer)
{
  DpRolloutRoute *route = dp_rollout_route (rollout, answer->request.route);
  DpUsec time = waited (answer);
  gboolean is_measured = answer->first_event > 0;
  DpUsec expected = dp_latency_model_expected (&route->old_times, answer->prompt_tokens, 1);
  gboolean is_known = route->old_times_count >= TIMES_ANSWERS;
  double usual = speed_of (rollout, speed) * (double)expected;
  if (is_measured && !answer->is_new)
    {
      dp_latency_model_update (&route->old_times, answer->prompt_tokens, 1, time);
      route->old_times_count++;
    }
  if (!is_known)
    return GRADE_GOOD;
  if (is_measured)
    learn_speed (speed, (double)time / (double)MAX (expected, 1));
  double excess = (double)(time - SLOW_SLACK);
  if (excess > VERY_SLOW_FACTOR * usual)
    return GRADE_VERY_SLOW;
  return excess > SLOW_FACTOR * usual ? GRADE_SLOW : GRADE_GOOD;
}

/* --- charts --- */

static guint
slot_index (gint64 slot)
{
  return (guint)(((slot % DP_ROLLOUT_SLOTS) + DP_ROLLOUT_SLOTS) % DP_ROLLOUT_SLOTS);
}

static DpRolloutSlot *
slot_at (DpRolloutChart *chart, gboolean on_new, gint64 slot)
{
  return on_new ? &chart->new_slots[slot_index (slot)] : &chart->old_slots[slot_index (slot)];
}

static void
add_request (DpRolloutChart *chart, gboolean on_new)
{
  slot_at (chart, on_new, chart->slot)->requests++;
  chart->old_requests += !on_new;
}

/* An answer that comes after its slot was evaluated counts in the next one. */
static void
add_answer (DpRolloutChart *chart, const DpRolloutAnswer *answer, gboolean is_bad)
{
  gint64 slot = CLAMP (answer->granted_at / DP_ROLLOUT_SLOT, chart->slot - PENDING_SLOTS + 1,
                       chart->slot);
  slot_at (chart, answer->is_new, slot)->bad += is_bad;
  chart->new_answers += answer->is_new;
  chart->old_bad += !answer->is_new && is_bad;
}

static DpRolloutSlot
sum_old (const DpRolloutChart *chart, gint64 first, gint64 last)
{
  DpRolloutSlot sum = { 0 };
  for (gint64 slot = first; slot <= last; slot++)
    {
      sum.requests += chart->old_slots[slot_index (slot)].requests;
      sum.bad += chart->old_slots[slot_index (slot)].bad;
    }
  return sum;
}

static double
mix (const DpRolloutSlot *slot, double prior, double weight)
{
  return (slot->bad + weight * prior) / (slot->requests + weight);
}

/* The old version's rate at the time of a slot. */
typedef struct Rate
{
  double mean;
  double highest; /* of the last seconds', of the slots around and of the slot itself */
} Rate;

/* With fewer requests at the old version than at the new one, as after the switch, the new
 * version is compared with the old one's worst moment: all targets may be failing just now. */
static Rate
old_rate (DpRolloutChart *chart, gint64 slot)
{
  double total = ((double)chart->old_bad + PRIOR_RATE * PRIOR_ANSWERS)
                 / ((double)chart->old_requests + PRIOR_ANSWERS);
  const DpRolloutSlot window = sum_old (chart, chart->slot - DP_ROLLOUT_SLOTS + 1, chart->slot);
  const DpRolloutSlot own = sum_old (chart, slot, slot);
  const DpRolloutSlot around = sum_old (chart, slot - 1, slot + 1);
  const DpRolloutSlot second = sum_old (chart, chart->slot - PEAK_SLOTS + 1, chart->slot);
  double recent = mix (&window, total, TOTAL_ANSWERS);
  if (second.requests >= PEAK_REQUESTS)
    chart->old_peak = MAX (chart->old_peak, mix (&second, recent, RECENT_ANSWERS));
  if (around.requests < chart->new_slots[slot_index (slot)].requests)
    recent = MAX (recent, chart->old_peak);
  Rate rate = { .mean = mix (&around, recent, RECENT_ANSWERS) };
  double highest = MAX (rate.mean, mix (&own, recent, OWN_ANSWERS));
  rate.highest = MAX (recent, highest);
  return rate;
}

/* Adds the log likelihood ratios of one slot to the sums. Returns the old version's mean rate.
 */
static double
add_slot (DpRolloutChart *chart, gint64 slot, double *sums)
{
  const DpRolloutSlot *row = &chart->new_slots[slot_index (slot)];
  Rate rate = old_rate (chart, slot);
  double low = CLAMP (rate.highest, RATE_MIN, 1 - RATE_MIN);
  for (guint i = 0; i < DP_ROLLOUT_SUMS; i++)
    {
      double raised = MAX (low + increases[i].by, low * increases[i].factor);
      double high = MIN (raised, (1 + low) / 2);
      double good = log ((1 - high) / (1 - low));
      double bad = log (high / low);
      sums[i] = MAX (sums[i] + row->requests * good + row->bad * (bad - good), 0);
    }
  return rate.mean;
}

static void
evaluate (DpRolloutChart *chart, gint64 slot)
{
  const DpRolloutSlot *row = &chart->new_slots[slot_index (slot)];
  if (chart->old_requests < OLD_REQUESTS_MIN)
    return;
  chart->expected_bad += row->requests * add_slot (chart, slot, chart->sums);
  chart->new_bad += row->bad;
}

/* Highest sum, with the slots that are not evaluated yet. All their requests are known, but
 * only the first of their answers: this finds a version that fails at once a little sooner. */
static double
chart_score (const DpRolloutChart *chart)
{
  DpRolloutChart copy = *chart;
  double score = 0;
  if (chart->old_requests < OLD_REQUESTS_MIN)
    return 0;
  for (gint64 slot = chart->slot - PENDING_SLOTS + 1; slot <= chart->slot; slot++)
    add_slot (&copy, slot, copy.sums);
  for (guint i = 0; i < DP_ROLLOUT_SUMS; i++)
    score = MAX (score, copy.sums[i]);
  return score;
}

/* A slot is evaluated when most of its answers have come. */
static void
advance (DpRolloutChart *chart, gint64 slot)
{
  if (slot - chart->slot > DP_ROLLOUT_SLOTS)
    chart->slot = slot - DP_ROLLOUT_SLOTS;
  while (chart->slot < slot)
    {
      evaluate (chart, chart->slot - PENDING_SLOTS + 1);
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
    {
      DpRolloutChart *chart = &rollout->routes[i].chart;
      /* Routes with few requests have no worst moment of their own. */
      chart->old_peak = MAX (chart->old_peak, rollout->overall.old_peak);
      advance (chart, slot);
    }
  update_speed_range (rollout);
}

/* --- answers --- */

/* Time in which one bad answer of a series counts. An old target that gets more requests than a
 * participant has as many of them in a shorter time: with the same time, the old version's rate
 * would be lower only because more of its bad answers are left out. */
static DpUsec
series_interval (const DpRollout *rollout, const DpRolloutSpeed *speed)
{
  double old_each = (double)rollout->old_version.sent / MAX (rollout->facts.old_targets, 1);
  double new_each = (double)rollout->new_version.sent / dp_rollout_count_participants (rollout);
  double part = speed->is_new || old_each <= 0 ? 1 : MIN (new_each / old_each, 1);
  return (DpUsec)(part * (double)SERIES_INTERVAL);
}

/* Failures of a series, which an answer to a later request ends. */
static gboolean
counts_break (const DpRollout *rollout, DpRolloutSpeed *speed)
{
  if (speed->broken_at == 0)
    speed->broken_at = rollout->now;
  else if (rollout->now - speed->break_counted_at < series_interval (rollout, speed))
    return FALSE;
  speed->break_counted_at = rollout->now;
  return TRUE;
}

/* Slow answers of a series: the first, and then some that are very slow. */
static gboolean
counts_slow (const DpRollout *rollout, DpRolloutSpeed *speed, Grade grade)
{
  if (speed->slow_counted == 0
      || rollout->now - speed->slow_since >= series_interval (rollout, speed))
    {
      speed->slow_since = rollout->now;
      speed->slow_counted = 0;
    }
  if (speed->slow_counted >= (grade == GRADE_VERY_SLOW ? VERY_SLOW_MAX : 1))
    return FALSE;
  speed->slow_counted++;
  return TRUE;
}

/* FALSE for a bad answer of a series of which another one is counted already. */
static gboolean
counts_in_series (const DpRollout *rollout,
                  DpRolloutSpeed *speed,
                  const DpRolloutAnswer *answer,
                  Grade grade)
{
  if (answer->outcome == DP_ROLLOUT_OUTCOME_BREAK)
    return counts_break (rollout, speed);
  if (answer->outcome == DP_ROLLOUT_OUTCOME_COMPLETE && answer->granted_at >= speed->broken_at)
    speed->broken_at = 0;
  gboolean is_slow = grade == GRADE_SLOW || grade == GRADE_VERY_SLOW;
  return !is_slow || counts_slow (rollout, speed, grade);
}

static Grade
grade_answer (DpRollout *rollout, DpRolloutSpeed *speed, const DpRolloutAnswer *answer)
{
  switch (answer->outcome)
    {
    case DP_ROLLOUT_OUTCOME_ERROR:
    case DP_ROLLOUT_OUTCOME_BREAK:
      return GRADE_FAILED;
    case DP_ROLLOUT_OUTCOME_COMPLETE:
    case DP_ROLLOUT_OUTCOME_LEFT:
      return grade_time (rollout, speed, answer);
    }
  return GRADE_GOOD;
}

void
dp_rollout_test_add_request (DpRollout *rollout, DpName route, gboolean on_new)
{
  add_request (&rollout->overall, on_new);
  add_request (&dp_rollout_route (rollout, route)->chart, on_new);
}

void
dp_rollout_test_add (DpRollout *rollout, const DpRolloutAnswer *answer)
{
  DpRolloutSpeed *speed = get_speed (rollout, answer->target, answer->is_new);
  DpRolloutCounts *counts = answer->is_new ? &rollout->new_version : &rollout->old_version;
  Grade grade = grade_answer (rollout, speed, answer);
  gboolean is_bad = grade != GRADE_GOOD;
  gboolean is_counted = counts_in_series (rollout, speed, answer, grade);
  /* A caller that leaves early says nothing about the target. */
  if (answer->outcome == DP_ROLLOUT_OUTCOME_LEFT && !is_bad)
    return;
  if (is_bad)
    counts->bad++;
  else
    counts->good++;
  if (!is_counted || answer->request.is_retry)
    return;
  add_answer (&rollout->overall, answer, is_bad);
  add_answer (&dp_rollout_route (rollout, answer->request.route)->chart, answer, is_bad);
}

/* --- verdict --- */

static gboolean
exceeds_total (const DpRolloutChart *chart)
{
  double limit
    = TOTAL_FACTOR * chart->expected_bad + TOTAL_DEVIATIONS * sqrt (chart->expected_bad + 1);
  return chart->new_bad >= TOTAL_BAD_MIN && (double)chart->new_bad > limit;
}

/* Bad answers that the new version would have at the old one's rate. */
static double
expected_raw (const DpRollout *rollout)
{
  const DpRolloutCounts *before = &rollout->old_version;
  const DpRolloutCounts *after = &rollout->new_version;
  double rate = (double)before->bad / (double)MAX (before->bad + before->good, 1);
  return rate * (double)(after->bad + after->good);
}

DpRolloutCause
dp_rollout_test_verdict (const DpRollout *rollout, DpName *route)
{
  const DpRolloutChart *overall = &rollout->overall;
  *route = 0;
  if (overall->old_requests < OLD_REQUESTS_MIN)
    return DP_ROLLOUT_CAUSE_NONE;
  if (chart_score (overall) > DP_ROLLOUT_THRESHOLD)
    return DP_ROLLOUT_CAUSE_BAD_ANSWERS;
  for (guint i = 0; i < rollout->route_count; i++)
    if (chart_score (&rollout->routes[i].chart) > DP_ROLLOUT_THRESHOLD)
      {
        *route = rollout->routes[i].name;
        return DP_ROLLOUT_CAUSE_BAD_ROUTE;
      }
  double raw = (double)rollout->new_version.bad;
  if (exceeds_total (overall)
      || (raw >= RAW_BAD_MIN && raw > RAW_FACTOR * expected_raw (rollout) + RAW_BAD_EXTRA))
    return DP_ROLLOUT_CAUSE_BAD_COUNT;
  return DP_ROLLOUT_CAUSE_NONE;
}

double
dp_rollout_test_score (const DpRollout *rollout)
{
  double score = chart_score (&rollout->overall);
  for (guint i = 0; i < rollout->route_count; i++)
    score = MAX (score, chart_score (&rollout->routes[i].chart));
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
