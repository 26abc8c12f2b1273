/* Health of targets: measured speed, stragglers, failures, probes.
 *
 * A target that has become slow against its own past and its class (targets with the same
 * stated speeds), that is overdue with a first token, or that fails, is set aside: it gets one
 * request at a time, of the lowest tier that can afford it, until it has been measured well
 * again. */
#include "core/scheduler_private.h"

/* Weight of what was measured before, at each observation. */
#define SPEED_DECAY 0.9
/* Observations weigh by their seconds; the stated speed counts as this many. */
#define SPEED_PRIOR_SECONDS 0.5
#define PAST_GAIN 0.02
#define SERVICE_TIME_GAIN 0.1
/* Below these shares of its class and of its own past a target is a straggler. */
#define SLOW_OF_CLASS 0.5
#define SLOW_OF_PAST 0.6
/* A probe at this share of the reference is a good one. */
#define GOOD_OF_REFERENCE 0.7
#define CLASS_MIN 3
/* A first token is overdue after this many times the expected time, and this on top. */
#define OVERDUE_FACTOR 4
#define OVERDUE_USEC (1 * DP_USEC_PER_SEC)
/* At most this share of a group's targets is set aside for slowness at once. */
#define ASIDE_PERCENT_MAX 34
#define GOOD_PROBES_SLOW 2
#define GOOD_PROBES_FAILING 1
/* Failures in a row until a target is set aside. */
#define FAILURES_MAX 2
#define POLLS_MISSED_MAX 2
#define BACKOFF_MIN_USEC (1 * DP_USEC_PER_SEC)
#define BACKOFF_MAX_USEC (30 * DP_USEC_PER_SEC)
/* Of a target that answers polls: a probe costs little there, and it may be well again. */
#define BACKOFF_REACHABLE_MAX_USEC (4 * DP_USEC_PER_SEC)
/* A target set aside for this long without a probe takes one of any tier and kind. */
#define PROBE_PATIENCE_USEC (5 * DP_USEC_PER_SEC)
/* The same for one that fails, from the end of its backoff. */
#define FAILING_PATIENCE_USEC (500 * DP_USEC_PER_MSEC)

static double
seconds_of (DpUsec usec)
{
  return (double)usec / (double)DP_USEC_PER_SEC;
}

static void
observe (DpSpeed *speed, double expected, double measured)
{
  speed->expected = speed->expected * SPEED_DECAY + expected;
  speed->measured = speed->measured * SPEED_DECAY + measured;
}

static double
overall_ratio (const DpTargetState *target)
{
  double expected = target->prefill.expected + target->decode.expected;
  return expected / (target->prefill.measured + target->decode.measured);
}

static gboolean
same_class (const DpTargetState *a, const DpTargetState *b)
{
  return a->prefill_speed == b->prefill_speed && a->decode_speed == b->decode_speed
         && a->stream_speed == b->stream_speed;
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

/* Median speed of the target's class; 0 if the class is too small to tell. */
static double
class_median (DpSchedulerCore *core, const DpGroupState *group, const DpTargetState *target)
{
  double ratios[DP_GROUP_TARGETS_MAX];
  guint count = 0;
  for (guint i = 0; i < group->targets->len && count < DP_GROUP_TARGETS_MAX; i++)
    {
      const DpTargetState *other = dp_group_target (core, group, i);
      if (other->present && same_class (target, other))
        ratios[count++] = overall_ratio (other);
    }
  if (count < CLASS_MIN)
    return 0;
  qsort (ratios, count, sizeof ratios[0], compare_doubles);
  return ratios[count / 2];
}

static gboolean
is_slow (DpSchedulerCore *core, const DpGroupState *group, const DpTargetState *target)
{
  double ratio = overall_ratio (target);
  if (ratio >= SLOW_OF_PAST * target->usual_speed)
    return FALSE;
  double median = class_median (core, group, target);
  return median == 0 || ratio < SLOW_OF_CLASS * median;
}

static gboolean
may_set_aside (DpSchedulerCore *core, const DpGroupState *group)
{
  guint aside = 0;
  for (guint i = 0; i < group->targets->len; i++)
    aside += dp_group_target (core, group, i)->health != DP_HEALTH_GOOD;
  guint limit = group->targets->len * ASIDE_PERCENT_MAX / 100;
  if (group->targets->len > 1)
    limit = MAX (limit, 1);
  return aside < limit;
}

/* Requests that have no first token there can still be served in time elsewhere. */
static void
take_back_unstarted (DpSchedulerCore *core, DpTargetState *target)
{
  for (guint i = target->grants->len; i > 0; i--)
    {
      DpGrant *grant = g_ptr_array_index (target->grants, i - 1);
      if (!grant->started && grant->repeatable)
        dp_grants_revoke (core, grant, DP_REASON_PREEMPTED);
    }
}

static void
set_aside (DpSchedulerCore *core, DpTargetState *target, DpHealth health)
{
  target->health = health;
  target->good_probes = 0;
  target->ejected_at = core->now;
  dp_scheduler_count (core, "dogwoodplank_targets_set_aside_total", "cause",
                      health == DP_HEALTH_SLOW ? "slow" : "failing");
}

static void
set_failing (DpSchedulerCore *core, DpTargetState *target)
{
  if (target->health != DP_HEALTH_FAILING)
    set_aside (core, target, DP_HEALTH_FAILING);
  DpUsec longest = target->polls_missed == 0 ? BACKOFF_REACHABLE_MAX_USEC : BACKOFF_MAX_USEC;
  target->backoff = CLAMP (target->backoff * 2, BACKOFF_MIN_USEC, longest);
  target->probe_at = core->now + target->backoff;
  target->good_probes = 0;
}

static void
set_slow (DpSchedulerCore *core, DpGroupState *group, DpTargetState *target)
{
  if (target->health != DP_HEALTH_GOOD || !may_set_aside (core, group)
      || core->options.policy != DP_POLICY_TIER_QUEUE)
    return;
  set_aside (core, target, DP_HEALTH_SLOW);
  target->probe_at = core->now;
  take_back_unstarted (core, target);
}

static void
set_good (DpSchedulerCore *core, DpTargetState *target)
{
  target->health = DP_HEALTH_GOOD;
  target->backoff = 0;
  target->failures = 0;
  dp_health_reset_speed (target);
  dp_scheduler_count (core, "dogwoodplank_targets_taken_back_total", NULL, NULL);
}

static void
judge_probe (DpSchedulerCore *core, DpTargetState *target, double ratio)
{
  guint needed = GOOD_PROBES_FAILING;
  if (target->health == DP_HEALTH_SLOW)
    {
      needed = GOOD_PROBES_SLOW;
      if (ratio < GOOD_OF_REFERENCE * target->usual_speed)
        {
          target->good_probes = 0;
          return;
        }
    }
  target->good_probes += 1;
  if (target->good_probes >= needed)
    set_good (core, target);
}

static void
learn_success (DpSchedulerCore *core,
               DpGroupState *group,
               DpTargetState *target,
               const DpGrant *grant,
               const DpGrantDone *done)
{
  double prefill_measured = seconds_of (done->time_to_first_token);
  double decode_measured = seconds_of (done->duration - done->time_to_first_token);
  guint batch = (grant->batch + target->grants->len + 1) / 2;
  double decode_expected
    = dp_estimate_nominal_decode (target, done->output_tokens, MAX (batch, 1));
  target->failures = 0;
  target->last_success = core->now;
  if (target->prefill_speed <= 0 || done->time_to_first_token <= 0)
    {
      double error = seconds_of (done->duration) - target->service_time;
      if (target->prefill_speed <= 0)
        target->service_time += SERVICE_TIME_GAIN * error;
      if (target->health != DP_HEALTH_GOOD)
        judge_probe (core, target, 1);
      return;
    }
  observe (&target->prefill, grant->expected_first_token, prefill_measured);
  observe (&target->decode, decode_expected, decode_measured);
  double ratio = (grant->expected_first_token + decode_expected)
                 / MAX (prefill_measured + decode_measured, 1e-6);
  if (target->health != DP_HEALTH_GOOD)
    {
      judge_probe (core, target, ratio);
      return;
    }
  if (is_slow (core, group, target))
    set_slow (core, group, target);
  else
    target->usual_speed += PAST_GAIN * (overall_ratio (target) - target->usual_speed);
}

double
dp_speed_ratio (const DpSpeed *speed)
{
  return speed->expected / speed->measured;
}

void
dp_health_reset_speed (DpTargetState *target)
{
  target->prefill = (DpSpeed){ SPEED_PRIOR_SECONDS, SPEED_PRIOR_SECONDS };
  target->decode = (DpSpeed){ SPEED_PRIOR_SECONDS, SPEED_PRIOR_SECONDS };
  target->usual_speed = 1;
}

void
dp_health_done (DpSchedulerCore *core,
                DpGroupState *group,
                DpTargetState *target,
                const DpGrant *grant,
                const DpGrantDone *done)
{
  switch (done->reason)
    {
    case DP_REASON_NONE:
      learn_success (core, group, target, grant, done);
      break;
    case DP_REASON_CONNECT_FAILED:
      set_failing (core, target);
      break;
    case DP_REASON_TARGET_BROKE:
    case DP_REASON_TARGET_SILENT:
    case DP_REASON_TARGET_ERROR:
    case DP_REASON_ANSWER_INCOMPLETE:
      target->failures += 1;
      if (target->failures >= FAILURES_MAX)
        set_failing (core, target);
      break;
    default:
      break;
    }
}

void
dp_health_polled (DpSchedulerCore *core, DpTargetState *target, gboolean reachable)
{
  if (reachable)
    {
      if (target->polls_missed >= POLLS_MISSED_MAX && target->health == DP_HEALTH_FAILING)
        target->probe_at = MIN (target->probe_at, core->now);
      target->polls_missed = 0;
      return;
    }
  target->polls_missed += 1;
  if (target->polls_missed < POLLS_MISSED_MAX)
    return;
  if (core->now - target->last_success < DP_POLL_INTERVAL_USEC && target->last_success != 0)
    return;
  if (target->health != DP_HEALTH_FAILING || core->now >= target->probe_at)
    set_failing (core, target);
}

void
dp_health_restarted (DpTargetState *target)
{
  dp_health_reset_speed (target);
  target->failures = 0;
}

void
dp_health_tick (DpSchedulerCore *core, DpGroupState *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      DpTargetState *target = dp_group_target (core, group, i);
      if (target->health != DP_HEALTH_GOOD || target->prefill_speed <= 0)
        continue;
      for (guint k = 0; k < target->grants->len; k++)
        {
          const DpGrant *grant = g_ptr_array_index (target->grants, k);
          DpUsec expected = (DpUsec)(grant->expected_first_token * (double)DP_USEC_PER_SEC
                                     / dp_speed_ratio (&target->prefill));
          if (grant->started || grant->expected_first_token <= 0
              || core->now - grant->granted_at < OVERDUE_FACTOR * expected + OVERDUE_USEC)
            continue;
          set_slow (core, group, target);
          break;
        }
    }
}

static gboolean
any_fails (DpSchedulerCore *core, const DpGroupState *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      if (dp_group_target (core, group, i)->health == DP_HEALTH_FAILING)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_stranded (DpSchedulerCore *core, const DpGroupState *group, const DpGrant *grant)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (core, group, i);
      if (target->health != DP_HEALTH_FAILING && dp_target_is_eligible (target, grant))
        return FALSE;
    }
  return TRUE;
}

void
dp_health_release_stranded (DpSchedulerCore *core, DpGroupState *group)
{
  if (group->waiting == 0 || !any_fails (core, group))
    return;
  GSequenceIter *at = g_sequence_get_begin_iter (group->by_latest_start);
  while (!g_sequence_iter_is_end (at))
    {
      DpGrant *grant = g_sequence_get (at);
      at = g_sequence_iter_next (at);
      if (is_stranded (core, group, grant))
        dp_grants_revoke (core, grant, DP_REASON_NO_TARGET);
    }
}

gboolean
dp_health_is_down (const DpSchedulerCore *core, const DpTargetState *target)
{
  return target->health == DP_HEALTH_FAILING && core->now < target->probe_at;
}

DpUsec
dp_health_back_after (DpSchedulerCore *core, const DpGroupState *group, const DpGrant *grant)
{
  DpUsec soonest = G_MAXINT64;
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (core, group, i);
      if (dp_target_is_eligible (target, grant) && target->health == DP_HEALTH_FAILING)
        soonest = MIN (soonest, target->probe_at + FAILING_PATIENCE_USEC - core->now);
    }
  return soonest == G_MAXINT64 ? 0 : MAX (soonest, 0);
}

gboolean
dp_health_may_probe (const DpSchedulerCore *core,
                     const DpTargetState *target,
                     const DpGrant *grant)
{
  if (target->grants->len > 0 || core->now < target->probe_at)
    return FALSE;
  /* A probe that fails costs most where it can't be repeated: such a call probes only where
   * nothing else has come for a while. */
  if (grant->repeatable && grant->tier + 1 >= core->tier_count)
    return TRUE;
  if (target->health == DP_HEALTH_FAILING)
    return core->now - target->probe_at >= FAILING_PATIENCE_USEC;
  DpUsec since = MAX (target->ejected_at, target->last_probe);
  return core->now - since >= PROBE_PATIENCE_USEC;
}
