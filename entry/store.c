#include "entry/store.h"

#include "common/log.h"
#include "platform/claim_codec.h"
#include "platform/client.h"

#define IN_FLIGHT_MAX 32
#define QUEUE_MAX 1000
#define BACKOFF_MIN (100 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (5 * DP_USEC_PER_SEC)
/* Burst allowed after an idle period, in seconds of `calls_per_second`. */
#define BURST_SECONDS 2

struct DpClaimStore
{
  DpClaimStoreOptions options;
  DpPlatformClient *client; /* NULL: no platform is configured */
  GHashTable *calls;        /* set of open Calls */
};

typedef struct Call
{
  DpClaimStore *store;
  DpBucketId bucket;
  gboolean is_write;
  struct event *unavailable_event; /* without a client: fires in the next loop iteration */
} Call;

static void
free_call (gpointer data)
{
  Call *call = data;
  if (call->unavailable_event != NULL)
    event_free (call->unavailable_event);
  g_free (call);
}

static Call *
add_call (DpClaimStore *store, DpBucketId bucket, gboolean is_write)
{
  Call *call = g_new0 (Call, 1);
  call->store = store;
  call->bucket = bucket;
  call->is_write = is_write;
  g_hash_table_add (store->calls, call);
  return call;
}

/* Frees the call and passes the reply to the callback. */
static void
complete_call (Call *call, DpClaimReply *reply)
{
  DpClaimStore *store = call->store;
  reply->bucket = call->bucket;
  reply->is_write = call->is_write;
  g_hash_table_remove (store->calls, call);
  store->options.callback (store->options.user, reply);
}

static void
on_unavailable (evutil_socket_t fd, short what, void *user)
{
  complete_call (user, &(DpClaimReply){ .result = DP_STORE_UNAVAILABLE });
}

static void
schedule_unavailable (Call *call)
{
  call->unavailable_event = event_new (call->store->options.base, -1, 0, on_unavailable, call);
  event_active (call->unavailable_event, EV_TIMEOUT, 0);
}

static void
decode_records (const DpPlatformReply *from, DpClaimReply *reply)
{
  gsize length;
  const void *data = g_bytes_get_data (from->value, &length);
  GError *error = NULL;
  reply->records = dp_claim_bucket_decode (data, length, &error);
  if (reply->records != NULL)
    return;
  reply->result = DP_STORE_BROKEN;
  dp_log (DP_LOG_ERROR, "claim_bucket_broken", "message", error->message, NULL);
  g_error_free (error);
}

static DpStoreResult
get_store_result (const Call *call, DpPlatformResult result)
{
  switch (result)
    {
    case DP_PLATFORM_OK:
      return DP_STORE_OK;
    case DP_PLATFORM_NOT_FOUND:
      /* For a write, the object with the expected version has been deleted. */
      return call->is_write ? DP_STORE_CONFLICT : DP_STORE_ABSENT;
    case DP_PLATFORM_CONFLICT:
      return DP_STORE_CONFLICT;
    case DP_PLATFORM_UNAVAILABLE:
      return DP_STORE_UNAVAILABLE;
    case DP_PLATFORM_BROKEN:
      /* A write with this result was certainly not done. */
      return call->is_write ? DP_STORE_UNAVAILABLE : DP_STORE_BROKEN;
    case DP_PLATFORM_LOST:
    case DP_PLATFORM_UNCHANGED:
    case DP_PLATFORM_HISTORY_GONE:
    case DP_PLATFORM_RESULT_COUNT:
      break;
    }
  return DP_STORE_LOST;
}

static void
on_platform_reply (const DpPlatformReply *from, gpointer data)
{
  Call *call = data;
  DpClaimReply reply
    = { .result = get_store_result (call, from->result), .version = from->version };
  if (reply.result == DP_STORE_OK && !call->is_write)
    decode_records (from, &reply);
  complete_call (call, &reply);
  if (reply.records != NULL)
    g_array_unref (reply.records);
}

static void
start_call (Call *call, const void *value, gsize length, guint64 version)
{
  DpClaimStore *store = call->store;
  if (store->client == NULL)
    {
      schedule_unavailable (call);
      return;
    }
  char path[64];
  g_snprintf (path, sizeof path, "claims/%u/%u", call->bucket.slot, call->bucket.index);
  const DpPlatformCall platform_call
    = { .type = call->is_write ? DP_PLATFORM_WRITE : DP_PLATFORM_READ,
        .path = path,
        .version = version,
        .value = value,
        .length = length };
  dp_platform_client_call (store->client, &platform_call, on_platform_reply, call);
}

static DpPlatformClient *
make_client (const DpClaimStoreOptions *options)
{
  guint64 seed;
  evutil_secure_rng_get_bytes (&seed, sizeof seed);
  const DpPlatformOptions platform = { .base = options->base,
                                       .address = options->address,
                                       .port = options->port,
                                       .calls_per_second = options->calls_per_second,
                                       .burst = options->calls_per_second * BURST_SECONDS,
                                       .in_flight_max = IN_FLIGHT_MAX,
                                       .queue_max = QUEUE_MAX,
                                       .timeout = options->timeout,
                                       .backoff_min = BACKOFF_MIN,
                                       .backoff_max = BACKOFF_MAX,
                                       .seed = seed,
                                       .counters = options->counters };
  return dp_platform_client_new (&platform);
}

DpClaimStore *
dp_claim_store_new (const DpClaimStoreOptions *options)
{
  DpClaimStore *store = g_new0 (DpClaimStore, 1);
  store->options = *options;
  store->calls = g_hash_table_new_full (NULL, NULL, free_call, NULL);
  if (options->address != NULL)
    store->client = make_client (options);
  return store;
}

void
dp_claim_store_free (DpClaimStore *store)
{
  if (store == NULL)
    return;
  if (store->client != NULL)
    dp_platform_client_unref (store->client);
  g_hash_table_unref (store->calls);
  g_free (store);
}

void
dp_claim_store_read (DpClaimStore *store, DpBucketId bucket)
{
  start_call (add_call (store, bucket, FALSE), NULL, 0, 0);
}

void
dp_claim_store_write (DpClaimStore *store, const DpClaimWrite *write)
{
  GBytes *value = dp_claim_bucket_encode (write->records);
  gsize length;
  const void *data = g_bytes_get_data (value, &length);
  start_call (add_call (store, write->bucket, TRUE), data, length, write->expected_version);
  g_bytes_unref (value);
}
