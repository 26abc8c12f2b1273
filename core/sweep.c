#include "core/sweep.h"

guint32
dp_sweep_newest_slot (DpUsec wall)
{
  DpUsec kept = DP_KEY_RETENTION_MAX + DP_KEY_AHEAD_MAX + DP_SWEEP_MARGIN;
  DpUsec slots = (wall - kept) / DP_CLAIM_SLOT_USEC;
  /* The slot that this instant falls into is not over yet. */
  return slots > 0 ? (guint32)(slots - 1) : 0;
}
