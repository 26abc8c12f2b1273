/* Estimates: a request's length, its cost, and when a target would have finished it. */
#include "core/scheduler_board.h"

#include <math.h>

/* Share of a new observation in a learned length. */
#define LENGTH_GAIN 0.1
/* Deviations above the mean that an answer's length is planned with, if time allows. What the
 * top tier loses by a late answer is small beside what it loses by a refusal. */
#define LENGTH_DEVIATIONS_TOP 2.0
#define LENGTH_DEVIATIONS 3.0
/* Answers of a workspace after which its own length is used. */
#define LENGTH_COUNT_MIN 3
/* Deviation, relative to the length, after one answer. */
#define FIRST_DEVIATION 0.5
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

static guint64
length_key (DpName workspace, DpName model, DpName tier)
{
  return dp_name_pair (dp_name_pair (workspace, model), tier);
}

static DpLength *
find_length (const DpSchedulerBoard *board, guint64 key)
{
  return g_hash_table_lookup (board->lengths, &key);
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

/* Sets the least length to plan with and the one that is planned with if time allows.
 *
 * The top tier is given the benefit of the doubt: its least length is the usual one, and
 * without a history of the workspace what the manifest says. */
static void
expect_length (const DpSchedulerBoard *board, const DpGrantAsk *ask, DpGrant *grant)
{
  const DpLength *own = find_length (board, length_key (ask->workspace, ask->model, ask->tier));
  const DpLength *others = find_length (board, length_key (0, ask->model, ask->tier));
  gboolean known = own != NULL && own->count >= LENGTH_COUNT_MIN;
  gboolean top = grant->tier == 0;
  const DpLength *best = known ? own : others;
  double stated = expected_length (board, ask->model);
  grant->output_stated = stated;
  if (best == NULL)
    {
      double bound = ask->output_tokens > 0 && !top ? ask->output_tokens : stated;
      grant->output_mean = stated;
      grant->output_least = MAX (bound, stated);
      grant->output_tokens = MAX (bound, stated);
      return;
    }
  grant->output_mean = known || !top ? best->mean : stated;
  grant->output_least = grant->output_mean + (top ? 0 : best->deviation);
  grant->output_stated = grant->output_least;
  grant->output_tokens
    = best->mean + (top ? LENGTH_DEVIATIONS_TOP : LENGTH_DEVIATIONS) * best->deviation;
}

/* What is left of an answer of that length. */
static double
remaining_length (const DpGrantAsk *ask, double length)
{
  if (ask->output_tokens > 0)
    length = MIN (length, ask->output_tokens);
  return MAX (length - ask->sent_tokens, 1);
}

void
dp_estimate_ask (DpSchedulerBoard *board, DpGrant *grant, const DpGrantAsk *ask)
{
  expect_length (board, ask, grant);
  grant->output_mean = remaining_length (ask, grant->output_mean);
  grant->output_least = remaining_length (ask, grant->output_least);
  grant->output_stated = remaining_length (ask, grant->output_stated);
  grant->output_tokens = remaining_length (ask, grant->output_tokens);
  grant->prompt_tokens = ask->prompt_tokens + ask->sent_tokens;
  grant->cost = grant->prompt_tokens + grant->output_mean;
  grant->kv_tokens = grant->prompt_tokens + grant->output_tokens;
}

static void
learn_length (DpSchedulerBoard *board, guint64 key, guint output_tokens)
{
  DpLength *length = find_length (board, key);
  if (length == NULL)
    {
      length = g_new0 (DpLength, 1);
      length->key = key;
      length->mean = output_tokens;
      length->deviation = output_tokens * FIRST_DEVIATION;
      g_hash_table_insert (board->lengths, &length->key, length);
    }
  double error = output_tokens - length->mean;
  length->count += 1;
  length->mean += LENGTH_GAIN * error;
  length->deviation += LENGTH_GAIN * (fabs (error) - length->deviation);
}

void
dp_estimate_learn_length (DpSchedulerBoard *board, const DpGrant *grant, guint output_tokens)
{
  learn_length (board, length_key (grant->workspace, grant->model, grant->tier_name),
                output_tokens);
  learn_length (board, length_key (0, grant->model, grant->tier_name), output_tokens);
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
  double decode = grant->output_mean / stated_speed (target->decode_speed)
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
