#include "core/shared_mode/transit.h"

#include <math.h>

/* The newest result has at least this weight in the means. */
#define GAIN_MIN 0.02
/* Longer transits are those of VMs that were paused or cut off. */
#define TRANSIT_MAX (250 * DP_USEC_PER_MSEC)
/* A freed slot is reused at once by a request in the target's queue. */
#define EXTRA_MIN 1
/* The number of requests on the way varies like that of a Poisson process. With the mean alone,
 * some slots would be idle about half of the time. */
#define DEVIATIONS 2
/* After a rejection the bound rises by one request in each interval of this length. */
#define RAISE_INTERVAL DP_USEC_PER_SEC
/* Requests that a target rejects within this time were assigned before the bound was lowered.
 */
#define LOWER_INTERVAL (100 * DP_USEC_PER_MSEC)

static double
to_ms (DpUsec time)
{
  return (double)time / (double)DP_USEC_PER_MSEC;
}

void
dp_transit_record (DpTransit *transit, DpUsec held, DpUsec in_slot)
{
  transit->count = MIN (transit->count + 1, (guint)(1 / GAIN_MIN));
  double gain = 1.0 / transit->count;
  double transit_ms = to_ms (CLAMP (held - in_slot, 0, TRANSIT_MAX));
  transit->transit_ms += gain * (transit_ms - transit->transit_ms);
  transit->slot_ms += gain * (to_ms (MAX (in_slot, 0)) - transit->slot_ms);
}

guint
dp_transit_extra (const DpTransit *transit, guint slots)
{
  /* The time in a slot, as VMs measure it, contains the way between VM and target. That takes
   * as long as the way between owner and VM on average: both cross the same data centres.
   * Without it, targets of 30 ms work at 5 ms latency served 81% of what they can. */
  double way_ms = transit->transit_ms;
  double work_ms = MAX (transit->slot_ms - way_ms, 1);
  double on_way = slots * 2 * way_ms / work_ms;
  double extra = ceil (on_way + DEVIATIONS * sqrt (on_way));
  return (guint)CLAMP (extra, EXTRA_MIN, slots);
}

void
dp_transit_bound_lower (DpTransitBound *bound, guint extra, DpUsec now)
{
  if (bound->lowered_at != 0 && now - bound->lowered_at < LOWER_INTERVAL)
    return;
  guint allowed = dp_transit_bound_apply (bound, extra, now);
  bound->max = allowed > 0 ? allowed - 1 : 0;
  bound->lowered_at = now;
}

guint
dp_transit_bound_apply (const DpTransitBound *bound, guint extra, DpUsec now)
{
  if (bound->lowered_at == 0)
    return extra;
  DpUsec raised = bound->max + (now - bound->lowered_at) / RAISE_INTERVAL;
  return (guint)MIN ((DpUsec)extra, raised);
}
