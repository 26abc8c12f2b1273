#include "core/latency_model.h"

/* Weight of one measurement in a target's factor: an average over about the last ten. */
#define FACTOR_GAIN 0.1
/* Per measurement; the regression covers about the last two hundred. */
#define MODEL_DECAY 0.995
/* Targets of a pool don't differ more than this. Larger deviations come from stalls or cached
 * prompts. */
#define FACTOR_MIN 0.2
#define FACTOR_MAX 8.0
/* Decay of the slowest ratio per measurement; it halves in about 230. */
#define SLOWEST_DECAY 0.997
#define SLOWEST_MIN 2.0
#define SLOWEST_MAX 5.0
/* A response is overdue after this multiple of the slowest ratio, plus a slack for the network
 * and for the prompts of other requests that are processed meanwhile. */
#define OVERDUE_FACTOR 1.5
#define OVERDUE_SLACK (150 * DP_USEC_PER_MSEC)
/* Model until something has been measured: 40 ms, plus 10 ms per thousand tokens. */
#define INITIAL_BASE_MS 40.0
#define INITIAL_SLOPE_MS 10.0
#define EXPECTED_MIN_MS 2.0

static void
add_point (DpLatencyModel *model, double x, double y)
{
  model->weight += 1;
  model->x += x;
  model->y += y;
  model->xx += x * x;
  model->xy += x * y;
}

void
dp_latency_model_init (DpLatencyModel *model)
{
  *model = (DpLatencyModel){ .slowest = SLOWEST_MIN };
  add_point (model, 0, INITIAL_BASE_MS);
  add_point (model, 4, INITIAL_BASE_MS + 4 * INITIAL_SLOPE_MS);
}

static double
expected_ms (const DpLatencyModel *model, double x)
{
  double spread = model->weight * model->xx - model->x * model->x;
  double slope = 0;
  if (spread > 1e-6)
    slope = (model->weight * model->xy - model->x * model->y) / spread;
  slope = MAX (slope, 0);
  double base = (model->y - slope * model->x) / model->weight;
  return MAX (base + slope * x, EXPECTED_MIN_MS);
}

DpUsec
dp_latency_model_expected (const DpLatencyModel *model, guint prompt_tokens, double factor)
{
  double ms = expected_ms (model, prompt_tokens / 1000.0) * factor;
  return (DpUsec)(ms * (double)DP_USEC_PER_MSEC);
}

DpUsec
dp_latency_model_overdue_after (const DpLatencyModel *model, DpUsec expected)
{
  return (DpUsec)((double)expected * model->slowest * OVERDUE_FACTOR) + OVERDUE_SLACK;
}

double
dp_latency_model_update (DpLatencyModel *model,
                         guint prompt_tokens,
                         double factor,
                         DpUsec measured)
{
  double x = prompt_tokens / 1000.0;
  double ms = (double)measured / (double)DP_USEC_PER_MSEC;
  double ratio = CLAMP (ms / expected_ms (model, x), FACTOR_MIN, FACTOR_MAX);
  model->weight *= MODEL_DECAY;
  model->x *= MODEL_DECAY;
  model->y *= MODEL_DECAY;
  model->xx *= MODEL_DECAY;
  model->xy *= MODEL_DECAY;
  add_point (model, x, ms / factor);
  model->slowest
    = CLAMP (MAX (model->slowest * SLOWEST_DECAY, ratio / factor), SLOWEST_MIN, SLOWEST_MAX);
  return CLAMP (factor + FACTOR_GAIN * (ratio - factor), FACTOR_MIN, FACTOR_MAX);
}
