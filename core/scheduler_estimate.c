/* Estimates: a request's length, its cost, and when a target would have finished it. */
#include "core/scheduler_board.h"

#include <math.h>

/* Share of a new observation in a learned length. */
#define LENGTH_GAIN 0.1
/* Deviations above the mean that an answer's length is planned with. */
#define LENGTH_DEVIATIONS 1.0
/* Speeds of a target that states none (plain services). */
#define SPEED_UNSTATED 1e9

static guint
expected_length (const DpSchedulerBoard *board, DpName model)
{
  int index = dp_manifest_find (board->manifest, DP_MANIFEST_MODEL, model);
  if (index < 0)
    return 0;
  return DP_MANIFEST_ROW (board->manifest, models, DpModel, index)->output_tokens;
}

static DpLength *
find_length (const DpSchedulerBoard *board, DpName workspace, DpName model)
{
  guint64 key = dp_name_pair (workspace, model);
  return g_hash_table_lookup (board->lengths, &key);
}

static double
planned_length (const DpSchedulerBoard *board, const DpGrantAsk *ask)
{
  const DpLength *length = find_length (board, ask->workspace, ask->model);
  double tokens = expected_length (board, ask->model);
  if (length != NULL)
    tokens = length->mean + LENGTH_DEVIATIONS * length->deviation;
  if (ask->output_tokens > 0)
    tokens = MIN (tokens, ask->output_tokens);
  return MAX (tokens - ask->sent_tokens, 1);
}

static double
stated_speed (double speed)
{
  return speed > 0 ? speed : SPEED_UNSTATED;
}

static double
prefill_seconds (const DpTargetState *target, double tokens)
{
  return tokens / stated_speed (target->prefill_speed) / dp_speed_ratio (&target->prefill);
}

static double
decode_seconds (const DpTargetState *target, double tokens, guint batch)
{
  return dp_estimate_nominal_decode (target, tokens, batch) / dp_speed_ratio (&target->decode);
}

static DpUsec
from_seconds (double seconds)
{
  return (DpUsec)(seconds * (double)DP_USEC_PER_SEC);
}

void
dp_estimate_ask (DpSchedulerBoard *board, DpGrant *grant, const DpGrantAsk *ask)
{
  grant->prompt_tokens = ask->prompt_tokens + ask->sent_tokens;
  grant->output_tokens = planned_length (board, ask);
  grant->cost = grant->prompt_tokens + grant->output_tokens;
}

void
dp_estimate_learn_length (DpSchedulerBoard *board, const DpGrant *grant, guint output_tokens)
{
  DpLength *length = find_length (board, grant->workspace, grant->model);
  if (length == NULL)
    {
      length = g_new0 (DpLength, 1);
      length->key = dp_name_pair (grant->workspace, grant->model);
      length->mean = output_tokens;
      g_hash_table_insert (board->lengths, &length->key, length);
      return;
    }
  double error = output_tokens - length->mean;
  length->mean += LENGTH_GAIN * error;
  length->deviation += LENGTH_GAIN * (fabs (error) - length->deviation);
}

double
dp_estimate_nominal_decode (const DpTargetState *target, double tokens, guint batch)
{
  double shared = stated_speed (target->decode_speed) / MAX (batch, 1);
  return tokens / MIN (stated_speed (target->stream_speed), shared);
}

double
dp_estimate_nominal_prefill (const DpTargetState *target, double tokens)
{
  return (target->prefill_ahead + tokens) / stated_speed (target->prefill_speed);
}

DpUsec
dp_estimate_service (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double uncached = grant->prompt_tokens - cached;
  double prefill = prefill_seconds (target, target->prefill_ahead + uncached);
  double decode = decode_seconds (target, grant->output_tokens, target->grants->len + 1);
  return from_seconds (prefill + decode + target->service_time);
}

DpUsec
dp_estimate_idle (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double prefill = prefill_seconds (target, grant->prompt_tokens - cached);
  double decode = decode_seconds (target, grant->output_tokens, 1);
  return from_seconds (prefill + decode + target->service_time);
}

double
dp_estimate_work (const DpTargetState *target, const DpGrant *grant, double cached)
{
  double prefill = prefill_seconds (target, grant->prompt_tokens - cached);
  double decode = grant->output_tokens / stated_speed (target->decode_speed)
                  / dp_speed_ratio (&target->decode);
  return prefill + decode + target->service_time / MAX (target->window, 1);
}

DpUsec
dp_estimate_drain (const DpGroupState *group, guint tier)
{
  double seconds = 0;
  for (guint i = 0; i <= tier; i++)
    seconds += group->tiers[i].waiting_work;
  return from_seconds (MAX (seconds, 0));
}

DpUsec
dp_estimate_wait (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant)
{
  double share;
  double own = dp_queue_flow_work (group, grant, &share);
  DpUsec above = grant->tier > 0 ? dp_estimate_drain (group, grant->tier - 1) : 0;
  DpUsec whole = dp_estimate_drain (group, grant->tier);
  return MIN (whole, above + from_seconds (MAX (own, 0) / share));
}
