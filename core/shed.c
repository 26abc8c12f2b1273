#include "core/shed.h"

/* The owner's queue holds several times as much work, so no slot stays free meanwhile. */
#define HOLD_TIME (50 * DP_USEC_PER_MSEC)

void
dp_shed_note (
  DpShed *shed, const DpShedRequest *request, DpReason reason, DpUsec retry_after, DpUsec now)
{
  DpShedRow *row = &shed->rows[MIN (request->urgency, DP_URGENCY_COUNT - 1)];
  *row = (DpShedRow){ .until = now + HOLD_TIME,
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
  const DpShedRow *row = &shed->rows[MIN (request->urgency, DP_URGENCY_COUNT - 1)];
  if (now >= row->until || request->objective_left > row->objective_left
      || request->remaining > row->remaining)
    return DP_REASON_NONE;
  *retry_after = row->retry_after;
  return row->reason;
}
