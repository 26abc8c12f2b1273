#include "core/shed.h"

/* The owner's queue holds several times as much work, so no slot stays free meanwhile. */
#define HOLD_TIME (50 * DP_USEC_PER_MSEC)

void
dp_shed_note (DpShed *shed,
              guint urgency,
              DpUsec goal_left,
              DpReason reason,
              DpUsec retry_after,
              DpUsec now)
{
  guint index = MIN (urgency, DP_URGENCY_COUNT - 1);
  shed->rows[index].until = now + HOLD_TIME;
  shed->rows[index].goal_left = goal_left;
  shed->rows[index].retry_after = retry_after;
  shed->rows[index].reason = reason;
}

DpReason
dp_shed_check (
  const DpShed *shed, guint urgency, DpUsec goal_left, DpUsec now, DpUsec *retry_after)
{
  guint index = MIN (urgency, DP_URGENCY_COUNT - 1);
  if (now >= shed->rows[index].until || goal_left > shed->rows[index].goal_left)
    return DP_REASON_NONE;
  *retry_after = shed->rows[index].retry_after;
  return shed->rows[index].reason;
}
