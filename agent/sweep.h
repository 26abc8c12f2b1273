/* Deletes buckets of claims whose keys have all expired (core/sweep.h says when).
 *
 * One VM does it, the first in rendezvous order; two would only cost calls, since each delete
 * names the version that was listed. It walks the time slots in order, a list of each and a
 * delete of each bucket found, one call at a time.
 */
#pragma once

#include "core/view.h"
#include "platform/client.h"

typedef struct DpSweep DpSweep;

DpSweep *dp_sweep_new (DpPlatformClient *platform, DpName vm, DpCounters *counters);

/* Open calls end without effect on the sweep. */
void dp_sweep_free (DpSweep *sweep);

/* Now and then, with the view and the time. */
void dp_sweep_tick (DpSweep *sweep, const DpView *view, DpUsec now, DpUsec wall);
