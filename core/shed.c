#include "core/shed.h"

/* The owner's queue holds several times as much work, so no slot becomes idle meanwhile. */
#define REFUSAL_DURATION (50 * DP_USEC_PER_MSEC)

void
dp_shed_record_refusal (
  DpShed *shed, const DpShedRequest *request, DpReason reason, DpUsec retry_after, DpUsec now)
{
  DpShedRefusal *refusal = &shed->refusals[MIN (request->urgency, DP_URGENCY_LEVELS - 1)];
  *refusal = (DpShedRefusal){ .until = now + REFUSAL_DURATION,
                              .objective_left = request->objective_left,
                              .remaining = request->remaining,
                              .retry_after = retry_after,
                              .reason = reason };
}

DpReason
dp_shed_check (const DpShed *shed,
               const DpShedRequest *request,
               DpUsec now,
               DpUsec *retry_after)
{
  const DpShedRefusal *refusal = &shed->refusals[MIN (request->urgency, DP_URGENCY_LEVELS - 1)];
  if (now >= refusal->until || request->objective_left > refusal->objective_left
      || request->remaining > refusal->remaining)
    return DP_REASON_NONE;
  *retry_after = refusal->retry_after;
  return refusal->reason;
}
