/* Idempotency keys that carry their creation time: UUIDs of version 7 (RFC 9562).
 *
 * The time decides in which bucket of the platform a key's record lives and from when on the
 * key is refused, so a bucket whose keys have all expired can be deleted as a whole.
 */
#pragma once

#include "core/entry.h"

/* Length of a time slot. */
#define DP_CLAIM_SLOT_USEC (30 * DP_USEC_PER_SEC)
/* Buckets that share the keys of one slot. */
#define DP_CLAIM_BUCKETS_PER_SLOT 8
/* A key may be this much ahead of this VM's clock. */
#define DP_KEY_AHEAD_MAX (300 * DP_USEC_PER_SEC)
/* Retention of pools that state none. */
#define DP_KEY_RETENTION_DEFAULT (86400 * DP_USEC_PER_SEC)
/* No key is accepted after this, whatever a manifest says: buckets older than it plus
 * DP_KEY_AHEAD_MAX may be deleted, also while a manifest raises a pool's retention. */
#define DP_KEY_RETENTION_MAX ((DpUsec)DP_KEY_RETENTION_HOURS_MAX * 3600 * DP_USEC_PER_SEC)

/* Parses a UUID of version 7; `created` receives its Unix time. FALSE on anything else. */
gboolean dp_idempotency_key_parse (const char *text, DpUsec *created);

/* Name of the record: hash of (workspace, key). */
DpId dp_idempotency_key_record (DpName workspace, const char *text);

/* Where the record of a key created at that time lives. */
DpBucketId dp_idempotency_key_bucket (DpId record, DpUsec created);
