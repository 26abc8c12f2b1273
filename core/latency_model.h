/* Expected latency of targets, learned from their responses.
 *
 * One model per pool: the time to the first event grows linearly with the prompt length. Each
 * target has a factor, its time relative to the model; with 0.5 it is twice as fast as the
 * average target.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

/* Decaying sums of a linear regression of time (ms) on prompt tokens (thousands). */
typedef struct DpLatencyModel
{
  double weight;
  double x;
  double y;
  double xx;
  double xy;
  double slowest; /* highest recent ratio of measured to expected time; decays */
} DpLatencyModel;

void dp_latency_model_init (DpLatencyModel *model);

/* Expected time from sending to the first event for a target with that factor. */
DpUsec
dp_latency_model_expected (const DpLatencyModel *model, guint prompt_tokens, double factor);

/* Time after which a response that was expected to take `expected` is overdue. */
DpUsec dp_latency_model_overdue_after (const DpLatencyModel *model, DpUsec expected);

/* Adds a measurement of a target with that factor. Returns the target's new factor. */
double dp_latency_model_update (DpLatencyModel *model,
                                guint prompt_tokens,
                                double factor,
                                DpUsec measured);
