/* Deletes buckets of claims whose keys have all expired (see core/sweep.h).
 *
 * Only the first VM in rendezvous order does this. Two VMs at once do no harm but waste calls,
 * as each delete expects the version that was listed. The time slots are processed in order:
 * the buckets of a slot are listed, then deleted one by one, with one call open at a time.
 */
#pragma once

#include "core/view.h"
#include "platform/client.h"

typedef struct DpSweep DpSweep;

DpSweep *dp_sweep_new (DpPlatformClient *platform, DpName vm, DpCounters *counters);

/* The event loop must not run afterwards: an open platform call still refers to the sweep. */
void dp_sweep_free (DpSweep *sweep);

/* To be called regularly. `view` may be NULL; `now` is monotonic, `wall` Unix time. */
void dp_sweep_tick (DpSweep *sweep, const DpView *view, DpUsec now, DpUsec wall);
