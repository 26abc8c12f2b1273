/* Claim buckets stored in the platform: reads and conditional writes, with exactly one reply
 * each.
 *
 * Bucket (slot, index) is the object "claims/SLOT/INDEX". Without a platform address every
 * call gets DP_STORE_UNAVAILABLE.
 */
#pragma once

#include "common/counters.h"
#include "core/entry.h"

#include <event2/event.h>

typedef struct DpClaimStore DpClaimStore;

/* `reply` is only valid during the callback. */
typedef void (*DpClaimStoreCallback) (gpointer user, const DpClaimReply *reply);

typedef struct DpClaimStoreOptions
{
  struct event_base *base;
  const char *address; /* IP address of the platform, or NULL */
  guint16 port;
  guint calls_per_second; /* rate limit */
  DpUsec timeout;         /* of a call */
  DpCounters *counters;   /* a reference is taken */
  DpClaimStoreCallback callback;
  gpointer user;
} DpClaimStoreOptions;

DpClaimStore *dp_claim_store_new (const DpClaimStoreOptions *options);

/* Abandons open calls; their callbacks do not run. */
void dp_claim_store_free (DpClaimStore *store);

/* The callback never runs during these calls. */
void dp_claim_store_read (DpClaimStore *store, DpBucketId bucket);
void dp_claim_store_write (DpClaimStore *store, const DpClaimWrite *write);
