/* Whether other VMs keep this VM's state up to date, or the store has to.
 *
 * The times are parts of the one in which a change must have reached all VMs: a relay states it
 * within about 0.2 s of the store's confirmation, and a call to the store takes up to 0.5 s.
 */
#include "core/row_sync/row_sync_private.h"

/* Three statements of a relay are missing. */
#define CONFIRMED_TIME (900 * DP_USEC_PER_MSEC)
/* Without a part for this long, a transfer counts as failed. Two VMs were asked by then. */
#define PROGRESS_TIME (800 * DP_USEC_PER_MSEC)
/* A newer state is known of only from VMs that can't be asked: until another one states it. */
#define UNOBTAINABLE_TIME (300 * DP_USEC_PER_MSEC)

/* Time by which this VM is later than the first one. */
static DpUsec
spread (const DpRowSync *sync)
{
  return (DpUsec)(sync->options.self % (guint64)DP_ROW_STANDING_SPREAD);
}

/* TRUE if at the present pace the transfer takes over twice PROGRESS_TIME. */
static gboolean
is_slow (const DpRowTransfer *transfer, DpUsec now)
{
  return transfer->rows != NULL && now - transfer->begun_at > PROGRESS_TIME
         && (guint64)transfer->rows->len * 2 < transfer->total;
}

/* TRUE if what is newer doesn't arrive. */
static gboolean
is_stuck (const DpRowSync *sync, DpUsec now)
{
  DpUsec waited = now - sync->progressed_at - spread (sync);
  if (!sync->is_obtainable)
    return waited > UNOBTAINABLE_TIME;
  return waited > PROGRESS_TIME || is_slow (&sync->transfer, now);
}

static gboolean
is_confirmed (const DpRowSync *sync, DpUsec now)
{
  return sync->confirmed_at != 0 && now - sync->confirmed_at - spread (sync) <= CONFIRMED_TIME;
}

DpRowStanding
dp_row_sync_standing (const DpRowSync *sync, DpUsec now)
{
  if (sync->behind_since != 0)
    return is_stuck (sync, now) ? DP_ROW_STANDING_STUCK : DP_ROW_STANDING_FETCHING;
  return is_confirmed (sync, now) ? DP_ROW_STANDING_CONFIRMED : DP_ROW_STANDING_UNCONFIRMED;
}
