#include "core/sweep.h"

guint32
dp_sweep_newest_deletable_slot (DpUsec wall)
{
  DpUsec retention = DP_KEY_RETENTION_MAX + DP_KEY_CLOCK_SKEW_MAX + DP_SWEEP_MARGIN;
  DpUsec expired_slots = (wall - retention) / DP_CLAIM_SLOT_USEC;
  /* The slot at that time is still partly within the retention period. */
  return expired_slots > 0 ? (guint32)(expired_slots - 1) : 0;
}
