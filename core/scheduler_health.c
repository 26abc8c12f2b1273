/* Health of targets: measured speed, slow and failing targets, probes.
 *
 * A target is ejected when it fails, when a first token is overdue, or when it has become slow
 * compared with its own history and with its class (the targets with the same stated speeds).
 * An ejected target gets one request at a time as a probe, preferably of the lowest tier, until
 * enough probes have succeeded. */
#include "core/scheduler_private.h"

/* Factor on the earlier sums at each observation. */
#define SPEED_DECAY 0.9
/* Observations are weighted by their duration; the stated speed counts as this
 * many seconds. */
#define SPEED_PRIOR_SECONDS 0.5
#define USUAL_SPEED_GAIN 0.02
#define SERVICE_TIME_GAIN 0.1
/* A target is slow if its speed is below these fractions of the median of its class and of its
 * own usual speed. */
#define SLOW_CLASS_FRACTION 0.5
#define SLOW_USUAL_FRACTION 0.6
/* A probe of a slow target succeeds at this fraction of its usual speed. */
#define GOOD_PROBE_FRACTION 0.7
/* Smaller classes have no meaningful median. */
#define CLASS_SIZE_MIN 3
/* A first token is overdue after OVERDUE_FACTOR times the expected time plus OVERDUE_USEC. */
#define OVERDUE_FACTOR 4
#define OVERDUE_USEC (1 * DP_USEC_PER_SEC)
/* Once this many targets of a group are ejected, no other is ejected as slow; at least 1 in
 * groups of two or more. */
#define EJECTED_PERCENT_MAX 34
#define SLOW_PROBES_NEEDED 2
#define FAILING_PROBES_NEEDED 1
/* Consecutive failures until a target is ejected. */
#define FAILURES_MAX 2
#define POLLS_MISSED_MAX 2
#define BACKOFF_MIN_USEC (1 * DP_USEC_PER_SEC)
#define BACKOFF_MAX_USEC (30 * DP_USEC_PER_SEC)
/* The limit for a target that answers polls: a probe costs little there, and it may have
 * recovered. */
#define BACKOFF_REACHABLE_MAX_USEC (4 * DP_USEC_PER_SEC)
/* After this long without a probe, a slow target is probed by any request, whatever its tier
 * and even if it must not be repeated. */
#define SLOW_PROBE_WAIT_USEC (5 * DP_USEC_PER_SEC)
/* The same for a failing target, from the end of its backoff. */
#define FAILING_PROBE_WAIT_USEC (500 * DP_USEC_PER_MSEC)

static double
to_seconds (DpUsec usec)
{
  return (double)usec / (double)DP_USEC_PER_SEC;
}

static void
add_observation (DpSpeed *speed, double expected, double measured)
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

/* Median speed of the target's class; 0 if the class is smaller than CLASS_SIZE_MIN. */
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
  if (count < CLASS_SIZE_MIN)
    return 0;
  qsort (ratios, count, sizeof ratios[0], compare_doubles);
  return ratios[count / 2];
}

static gboolean
is_slow (DpSchedulerCore *core, const DpGroupState *group, const DpTargetState *target)
{
  double ratio = overall_ratio (target);
  if (ratio >= SLOW_USUAL_FRACTION * target->usual_speed)
    return FALSE;
  double median = class_median (core, group, target);
  return median == 0 || ratio < SLOW_CLASS_FRACTION * median;
}

static gboolean
may_eject (DpSchedulerCore *core, const DpGroupState *group)
{
  guint ejected = 0;
  for (guint i = 0; i < group->targets->len; i++)
    ejected += dp_group_target (core, group, i)->health != DP_HEALTH_GOOD;
  guint limit = group->targets->len * EJECTED_PERCENT_MAX / 100;
  if (group->targets->len > 1)
    limit = MAX (limit, 1);
  return ejected < limit;
}

/* Requests without a first token may still be served in time by another target. */
static void
revoke_unstarted (DpSchedulerCore *core, DpTargetState *target)
{
  for (guint i = target->grants->len; i > 0; i--)
    {
      DpGrant *grant = g_ptr_array_index (target->grants, i - 1);
      if (!grant->started && grant->repeatable)
        dp_grants_revoke (core, grant, DP_REASON_PREEMPTED);
    }
}

static void
eject (DpSchedulerCore *core, DpTargetState *target, DpHealth health)
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
    eject (core, target, DP_HEALTH_FAILING);
  DpUsec longest = target->polls_missed == 0 ? BACKOFF_REACHABLE_MAX_USEC : BACKOFF_MAX_USEC;
  target->backoff = CLAMP (target->backoff * 2, BACKOFF_MIN_USEC, longest);
  target->probe_at = core->now + target->backoff;
  target->good_probes = 0;
}

static void
set_slow (DpSchedulerCore *core, DpGroupState *group, DpTargetState *target)
{
  if (target->health != DP_HEALTH_GOOD || !may_eject (core, group)
      || core->options.policy != DP_POLICY_TIER_QUEUE)
    return;
  eject (core, target, DP_HEALTH_SLOW);
  target->probe_at = core->now;
  revoke_unstarted (core, target);
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
on_probe_result (DpSchedulerCore *core, DpTargetState *target, double ratio)
{
  guint needed = FAILING_PROBES_NEEDED;
  if (target->health == DP_HEALTH_SLOW)
    {
      needed = SLOW_PROBES_NEEDED;
      if (ratio < GOOD_PROBE_FRACTION * target->usual_speed)
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
on_success (DpSchedulerCore *core,
            DpGroupState *group,
            DpTargetState *target,
            const DpGrant *grant,
            const DpGrantDone *done)
{
  double prefill_measured = to_seconds (done->time_to_first_token);
  double decode_measured = to_seconds (done->duration - done->time_to_first_token);
  guint batch = (grant->batch + target->grants->len + 1) / 2;
  double decode_expected
    = dp_estimate_nominal_decode (target, done->output_tokens, MAX (batch, 1));
  target->failures = 0;
  target->last_success = core->now;
  if (target->prefill_speed <= 0 || done->time_to_first_token <= 0)
    {
      double error = to_seconds (done->duration) - target->service_time;
      if (target->prefill_speed <= 0)
        target->service_time += SERVICE_TIME_GAIN * error;
      if (target->health != DP_HEALTH_GOOD)
        on_probe_result (core, target, 1);
      return;
    }
  add_observation (&target->prefill, grant->expected_first_token, prefill_measured);
  add_observation (&target->decode, decode_expected, decode_measured);
  double ratio = (grant->expected_first_token + decode_expected)
                 / MAX (prefill_measured + decode_measured, 1e-6);
  if (target->health != DP_HEALTH_GOOD)
    {
      on_probe_result (core, target, ratio);
      return;
    }
  if (is_slow (core, group, target))
    set_slow (core, group, target);
  else
    target->usual_speed += USUAL_SPEED_GAIN * (overall_ratio (target) - target->usual_speed);
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
dp_health_on_done (DpSchedulerCore *core,
                   DpGroupState *group,
                   DpTargetState *target,
                   const DpGrant *grant,
                   const DpGrantDone *done)
{
  switch (done->reason)
    {
    case DP_REASON_NONE:
      on_success (core, group, target, grant, done);
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
dp_health_on_poll (DpSchedulerCore *core, DpTargetState *target, gboolean reachable)
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
dp_health_on_restart (DpTargetState *target)
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
has_failing_target (DpSchedulerCore *core, const DpGroupState *group)
{
  for (guint i = 0; i < group->targets->len; i++)
    {
      if (dp_group_target (core, group, i)->health == DP_HEALTH_FAILING)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_unservable (DpSchedulerCore *core, const DpGroupState *group, const DpGrant *grant)
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
dp_health_revoke_unservable (DpSchedulerCore *core, DpGroupState *group)
{
  if (group->waiting == 0 || !has_failing_target (core, group))
    return;
  GSequenceIter *at = g_sequence_get_begin_iter (group->by_latest_start);
  while (!g_sequence_iter_is_end (at))
    {
      DpGrant *grant = g_sequence_get (at);
      at = g_sequence_iter_next (at);
      if (is_unservable (core, group, grant))
        dp_grants_revoke (core, grant, DP_REASON_NO_TARGET);
    }
}

gboolean
dp_health_is_in_backoff (const DpSchedulerCore *core, const DpTargetState *target)
{
  return target->health == DP_HEALTH_FAILING && core->now < target->probe_at;
}

DpUsec
dp_health_recovery_delay (DpSchedulerCore *core,
                          const DpGroupState *group,
                          const DpGrant *grant)
{
  DpUsec soonest = G_MAXINT64;
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (core, group, i);
      if (dp_target_is_eligible (target, grant) && target->health == DP_HEALTH_FAILING)
        soonest = MIN (soonest, target->probe_at + FAILING_PROBE_WAIT_USEC - core->now);
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
  /* A failed probe costs most if the request cannot be repeated, so such a request is a probe
   * only if no other has come for a while. */
  if (grant->repeatable && grant->tier + 1 >= core->tier_count)
    return TRUE;
  if (target->health == DP_HEALTH_FAILING)
    return core->now - target->probe_at >= FAILING_PROBE_WAIT_USEC;
  DpUsec since = MAX (target->ejected_at, target->last_probe);
  return core->now - since >= SLOW_PROBE_WAIT_USEC;
}
