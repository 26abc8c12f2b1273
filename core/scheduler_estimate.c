/* Estimates of a request's output length, cost, service time and wait. */
#include "core/scheduler_private.h"

#include <math.h>

/* Smoothing factor of the measured output lengths. */
#define LENGTH_GAIN 0.1
/* The planned output length is this many deviations above the mean if the deadline allows it.
 * Lower for the top tier, where a refusal costs far more than a late answer. */
#define LENGTH_DEVIATIONS_TOP 2.0
#define LENGTH_DEVIATIONS 3.0
/* Answers of a workspace before its own mean replaces that of all workspaces. */
#define LENGTH_COUNT_MIN 3
/* Initial deviation relative to the first observed length. */
#define FIRST_DEVIATION 0.5
/* Speed of a target without a configured one (plain services), in tokens per second. */
#define SPEED_UNCONFIGURED 1e9

static guint
manifest_length (const DpSchedulerCore *core, DpName model)
{
  int index = dp_manifest_find (core->manifest, DP_MANIFEST_MODEL, model);
  if (index < 0)
    return 0;
  return DP_MANIFEST_ROW (core->manifest, models, DpModel, index)->output_tokens;
}

static guint64
length_key (DpName workspace, DpName model, DpName tier)
{
  return dp_name_pair (dp_name_pair (workspace, model), tier);
}

static DpOutputLength *
find_length (const DpSchedulerCore *core, guint64 key)
{
  return g_hash_table_lookup (core->output_lengths, &key);
}

static double
configured_speed (double speed)
{
  return speed > 0 ? speed : SPEED_UNCONFIGURED;
}

static double
prefill_seconds (const DpTargetState *target, double tokens)
{
  return tokens / configured_speed (target->prefill_speed) / dp_speed_ratio (&target->prefill);
}

static double
decode_seconds (const DpTargetState *target, double tokens, guint batch)
{
  return dp_estimate_nominal_decode (target, tokens, batch) / dp_speed_ratio (&target->decode);
}

static DpUsec
seconds_to_usec (double seconds)
{
  return (DpUsec)(seconds * (double)DP_USEC_PER_SEC);
}

/* Sets the grant's output length estimates.
 *
 * The top tier is estimated optimistically: its minimum is the mean without a deviation, or the
 * manifest's length if too few answers of the workspace have been seen. */
static void
estimate_length (const DpSchedulerCore *core, const DpGrantAsk *ask, DpGrant *grant)
{
  const DpOutputLength *own
    = find_length (core, length_key (ask->workspace, ask->model, ask->tier));
  const DpOutputLength *overall = find_length (core, length_key (0, ask->model, ask->tier));
  gboolean known = own != NULL && own->count >= LENGTH_COUNT_MIN;
  gboolean top = grant->tier == 0;
  const DpOutputLength *best = known ? own : overall;
  double configured = manifest_length (core, ask->model);
  grant->output_last_resort = configured;
  if (best == NULL)
    {
      double bound = ask->output_tokens > 0 && !top ? ask->output_tokens : configured;
      grant->output_mean = configured;
      grant->output_min = MAX (bound, configured);
      grant->output_tokens = MAX (bound, configured);
      return;
    }
  grant->output_mean = known || !top ? best->mean : configured;
  grant->output_min = grant->output_mean + (top ? 0 : best->deviation);
  grant->output_last_resort = grant->output_min;
  grant->output_tokens
    = best->mean + (top ? LENGTH_DEVIATIONS_TOP : LENGTH_DEVIATIONS) * best->deviation;
}

/* Tokens of an answer of that length that are still to be generated. */
static double
remaining_length (const DpGrantAsk *ask, double length)
{
  if (ask->output_tokens > 0)
    length = MIN (length, ask->output_tokens);
  return MAX (length - ask->sent_tokens, 1);
}

void
dp_estimate_request (DpSchedulerCore *core, DpGrant *grant, const DpGrantAsk *ask)
{
  estimate_length (core, ask, grant);
  grant->output_mean = remaining_length (ask, grant->output_mean);
  grant->output_min = remaining_length (ask, grant->output_min);
  grant->output_last_resort = remaining_length (ask, grant->output_last_resort);
  grant->output_tokens = remaining_length (ask, grant->output_tokens);
  grant->prompt_tokens = ask->prompt_tokens + ask->sent_tokens;
  grant->cost = grant->prompt_tokens + grant->output_mean;
  grant->kv_tokens = grant->prompt_tokens + grant->output_tokens;
}

static void
record_length (DpSchedulerCore *core, guint64 key, guint output_tokens)
{
  DpOutputLength *length = find_length (core, key);
  if (length == NULL)
    {
      length = g_new0 (DpOutputLength, 1);
      length->key = key;
      length->mean = output_tokens;
      length->deviation = output_tokens * FIRST_DEVIATION;
      g_hash_table_insert (core->output_lengths, &length->key, length);
    }
  double error = output_tokens - length->mean;
  length->count += 1;
  length->mean += LENGTH_GAIN * error;
  length->deviation += LENGTH_GAIN * (fabs (error) - length->deviation);
}

void
dp_estimate_record_length (DpSchedulerCore *core, const DpGrant *grant, guint output_tokens)
{
  record_length (core, length_key (grant->workspace, grant->model, grant->tier_name),
                 output_tokens);
  record_length (core, length_key (0, grant->model, grant->tier_name), output_tokens);
}

double
dp_estimate_nominal_decode (const DpTargetState *target, double tokens, guint batch)
{
  double shared = configured_speed (target->decode_speed) / MAX (batch, 1);
  return tokens / MIN (configured_speed (target->stream_speed), shared);
}

double
dp_estimate_nominal_prefill (const DpTargetState *target, double tokens)
{
  return (target->prefill_ahead + tokens) / configured_speed (target->prefill_speed);
}

DpUsec
dp_estimate_service_time (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double uncached = grant->prompt_tokens - cached;
  double prefill = prefill_seconds (target, target->prefill_ahead + uncached);
  double decode = decode_seconds (target, grant->output_tokens, target->grants->len + 1);
  return seconds_to_usec (prefill + decode + target->service_time);
}

DpUsec
dp_estimate_idle_service_time (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double prefill = prefill_seconds (target, grant->prompt_tokens - cached);
  double decode = decode_seconds (target, grant->output_tokens, 1);
  return seconds_to_usec (prefill + decode + target->service_time);
}

double
dp_estimate_work (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double prefill = prefill_seconds (target, grant->prompt_tokens - cached);
  double decode = grant->output_mean / configured_speed (target->decode_speed)
                  / dp_speed_ratio (&target->decode);
  return prefill + decode + target->service_time / MAX (target->window, 1);
}

DpUsec
dp_estimate_drain_time (const DpGroupState *group, guint tier)
{
  double seconds = 0;
  for (guint i = 0; i <= tier; i++)
    seconds += group->tiers[i].waiting_work;
  return seconds_to_usec (MAX (seconds, 0));
}

DpUsec
dp_estimate_wait_time (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant)
{
  double share;
  double own = dp_queue_flow_work (group, grant, &share);
  DpUsec above = grant->tier > 0 ? dp_estimate_drain_time (group, grant->tier - 1) : 0;
  DpUsec whole = dp_estimate_drain_time (group, grant->tier);
  return MIN (whole, above + seconds_to_usec (MAX (own, 0) / share));
}
