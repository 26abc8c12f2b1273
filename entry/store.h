/* Claim buckets in the platform: reads and conditional writes, each answered exactly once.
 *
 * Bucket (slot, index) is the object "claims/SLOT/INDEX". Without a platform address every
 * call is answered UNAVAILABLE.
 */
#pragma once

#include "common/counters.h"
#include "core/entry.h"

#include <event2/event.h>

typedef struct DpClaimStore DpClaimStore;

/* `reply` is valid during the call only. */
typedef void (*DpClaimStoreCallback) (gpointer user, const DpClaimReply *reply);

typedef struct DpClaimStoreOptions
{
  struct event_base *base;
  const char *address; /* IP number of the platform, or NULL */
  guint16 port;
  guint calls_per_second;
  DpUsec timeout;       /* of a call */
  DpCounters *counters; /* a reference is taken */
  DpClaimStoreCallback callback;
  gpointer user;
} DpClaimStoreOptions;

DpClaimStore *dp_claim_store_new (const DpClaimStoreOptions *options);
/* Open calls end without their callbacks. */
void dp_claim_store_free (DpClaimStore *store);

/* Answers come by the callback, never from within these calls. */
void dp_claim_store_read (DpClaimStore *store, DpBucketId bucket);
void dp_claim_store_write (DpClaimStore *store, const DpClaimWrite *write);
