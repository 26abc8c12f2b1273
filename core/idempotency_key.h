/* Idempotency keys: version 7 UUIDs (RFC 9562), which contain their creation time.
 *
 * The creation time determines the platform bucket that holds the key's record and when the
 * key expires, so a bucket whose keys have all expired can be deleted as a whole.
 */
#pragma once

#include "core/entry.h"

/* Range of creation times in one time slot. */
#define DP_CLAIM_SLOT_USEC (30 * DP_USEC_PER_SEC)
/* The keys of a slot are spread over this many buckets. */
#define DP_CLAIM_BUCKETS_PER_SLOT 8
/* How far a key's creation time may be ahead of this VM's clock. */
#define DP_KEY_CLOCK_SKEW_MAX (300 * DP_USEC_PER_SEC)
/* Retention of pools whose manifest sets none. */
#define DP_KEY_RETENTION_DEFAULT (86400 * DP_USEC_PER_SEC)
/* Upper bound of any pool's retention. Buckets older than this plus DP_KEY_CLOCK_SKEW_MAX can
 * be deleted safely, even while a manifest raises a pool's retention. */
#define DP_KEY_RETENTION_MAX ((DpUsec)DP_KEY_RETENTION_HOURS_MAX * 3600 * DP_USEC_PER_SEC)

/* Parses a version 7 UUID and stores its Unix time in `created`. FALSE if `text` (may be NULL)
 * is anything else. */
gboolean dp_idempotency_key_parse (const char *text, DpUsec *created);

/* Id of the key's record: a 128-bit hash of workspace and key, ignoring case. */
DpId dp_idempotency_key_record_id (DpName workspace, const char *text);

/* Bucket that holds the record of a key created at that Unix time. */
DpBucketId dp_idempotency_key_bucket (DpId record, DpUsec created);
