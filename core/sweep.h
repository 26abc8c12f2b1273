/* When buckets of claims may be deleted.
 *
 * A key carries its time. Once all keys of a time slot are refused as expired by every entry,
 * whatever the manifest says, its buckets are of no use to anybody, and anyone may delete them.
 * The margin covers clocks that are wrong by days.
 */
#pragma once

#include "core/idempotency_key.h"

#define DP_SWEEP_MARGIN (604800 * DP_USEC_PER_SEC)

/* The newest time slot whose buckets may be deleted at that Unix time. */
guint32 dp_sweep_newest_slot (DpUsec wall);
