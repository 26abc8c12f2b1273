/* How long targets take, learned from answers.
 *
 * One model a pool: the time to the first event grows linearly with the prompt. Each target has
 * a pace, its time relative to the model; 0.5 is twice as fast as the usual target.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

/* Fading sums of a linear regression of time (in ms) over prompt tokens (in thousands). */
typedef struct DpPaceModel
{
  double weight;
  double x;
  double y;
  double xx;
  double xy;
  double slowest; /* recent measurement over expectation: how late an answer may well be */
} DpPaceModel;

void dp_pace_model_init (DpPaceModel *model);

/* Expected time from sending to the first event at a target of that pace. */
DpUsec dp_pace_first_event (const DpPaceModel *model, guint prompt_tokens, double pace);

/* Time after which an answer that takes `expected` is overdue. */
DpUsec dp_pace_overdue (const DpPaceModel *model, DpUsec expected);

/* Takes one measurement of a target of that pace; returns the target's new pace. */
double dp_pace_learn (DpPaceModel *model, guint prompt_tokens, double pace, DpUsec measured);
