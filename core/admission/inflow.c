#include "core/admission/admission.h"

#include <math.h>

/* Time constant of the decay: bursts build up and end within a second. */
#define INFLOW_TIME (500 * DP_USEC_PER_MSEC)
/* After a pause this long, a rate can't be told from the first arrivals. */
#define PAUSE_TIME DP_USEC_PER_SEC

static double
decay (const DpInflow *inflow, DpUsec now)
{
  DpUsec age = MAX (now - inflow->updated_at, 0);
  return exp (-(double)age / (double)INFLOW_TIME);
}

void
dp_inflow_add (DpInflow *inflow, guint urgency, double slot_ms, DpUsec now)
{
  double factor = decay (inflow, now);
  if (inflow->began_at == 0 || now - inflow->updated_at > PAUSE_TIME)
    inflow->began_at = now;
  for (guint i = 0; i < DP_URGENCY_LEVELS; i++)
    inflow->work_ms[i] *= factor;
  inflow->updated_at = now;
  inflow->work_ms[MIN (urgency, DP_URGENCY_LEVELS - 1)] += slot_ms;
}

double
dp_inflow_slots_above (const DpInflow *inflow, guint urgency, DpUsec now)
{
  double work_ms = 0;
  if (now - inflow->began_at < INFLOW_TIME)
    return 0;
  for (guint i = 0; i < MIN (urgency, DP_URGENCY_LEVELS); i++)
    work_ms += inflow->work_ms[i];
  return work_ms * decay (inflow, now) * (double)DP_USEC_PER_MSEC / (double)INFLOW_TIME;
}
