/* Decides when buckets of claims can be deleted.
 *
 * Each key contains its creation time. Once every entry refuses all keys of a time slot as
 * expired, regardless of the manifest, its buckets are unused and any process may delete them.
 * The margin covers clocks that are off by days.
 */
#pragma once

#include "core/idempotency_key.h"

#define DP_SWEEP_MARGIN (604800 * DP_USEC_PER_SEC)

/* Returns the newest time slot whose buckets may be deleted at the Unix time `wall`. */
guint32 dp_sweep_newest_deletable_slot (DpUsec wall);
