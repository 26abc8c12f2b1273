#include "core/pace.h"

/* Share that one measurement has in a target's pace: about the last ten count. */
#define PACE_GAIN 0.1
/* Per measurement; about the last two hundred count. */
#define MODEL_FADE 0.995
/* No target differs more from its pool; what looks so is a stall or a cached prompt. */
#define PACE_MIN 0.2
#define PACE_MAX 8.0
/* How long the slowest measurement is remembered: half of it after some hundred. */
#define SLOWEST_FADE 0.997
#define SLOWEST_MIN 2.0
#define SLOWEST_MAX 5.0
/* An answer is overdue after this many times the slowest, and a little more for the network and
 * for other requests' prompts that are read meanwhile. */
#define OVERDUE_FACTOR 1.5
#define OVERDUE_SLACK (150 * DP_USEC_PER_MSEC)
/* Until something has been measured: 40 ms, and 10 ms for each thousand tokens. */
#define FIRST_BASE_MS 40.0
#define FIRST_SLOPE_MS 10.0
#define FIRST_MIN_MS 2.0

static void
add_point (DpPaceModel *model, double x, double y)
{
  model->weight += 1;
  model->x += x;
  model->y += y;
  model->xx += x * x;
  model->xy += x * y;
}

void
dp_pace_model_init (DpPaceModel *model)
{
  *model = (DpPaceModel){ .slowest = SLOWEST_MIN };
  add_point (model, 0, FIRST_BASE_MS);
  add_point (model, 4, FIRST_BASE_MS + 4 * FIRST_SLOPE_MS);
}

static double
expected_ms (const DpPaceModel *model, double x)
{
  double spread = model->weight * model->xx - model->x * model->x;
  double slope = 0;
  if (spread > 1e-6)
    slope = (model->weight * model->xy - model->x * model->y) / spread;
  slope = MAX (slope, 0);
  double base = (model->y - slope * model->x) / model->weight;
  return MAX (base + slope * x, FIRST_MIN_MS);
}

DpUsec
dp_pace_first_event (const DpPaceModel *model, guint prompt_tokens, double pace)
{
  double ms = expected_ms (model, prompt_tokens / 1000.0) * pace;
  return (DpUsec)(ms * (double)DP_USEC_PER_MSEC);
}

DpUsec
dp_pace_overdue (const DpPaceModel *model, DpUsec expected)
{
  return (DpUsec)((double)expected * model->slowest * OVERDUE_FACTOR) + OVERDUE_SLACK;
}

double
dp_pace_learn (DpPaceModel *model, guint prompt_tokens, double pace, DpUsec measured)
{
  double x = prompt_tokens / 1000.0;
  double ms = (double)measured / (double)DP_USEC_PER_MSEC;
  double ratio = CLAMP (ms / expected_ms (model, x), PACE_MIN, PACE_MAX);
  model->weight *= MODEL_FADE;
  model->x *= MODEL_FADE;
  model->y *= MODEL_FADE;
  model->xx *= MODEL_FADE;
  model->xy *= MODEL_FADE;
  add_point (model, x, ms / pace);
  model->slowest
    = CLAMP (MAX (model->slowest * SLOWEST_FADE, ratio / pace), SLOWEST_MIN, SLOWEST_MAX);
  return CLAMP (pace + PACE_GAIN * (ratio - pace), PACE_MIN, PACE_MAX);
}
