#include "entry/store.h"

struct DpClaimStore
{
  DpClaimStoreOptions options;
  struct event *timer;
  GArray *replies; /* DpClaimReply, to be given in the loop's next turn */
};

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  DpClaimStore *store = user;
  GArray *replies = store->replies;
  store->replies = g_array_new (FALSE, FALSE, sizeof (DpClaimReply));
  for (guint i = 0; i < replies->len; i++)
    store->options.callback (store->options.user, &g_array_index (replies, DpClaimReply, i));
  g_array_unref (replies);
}

static void
reply_unavailable (DpClaimStore *store, DpBucketId bucket, gboolean is_write)
{
  DpClaimReply reply
    = { .bucket = bucket, .is_write = is_write, .result = DP_STORE_UNAVAILABLE };
  g_array_append_val (store->replies, reply);
  event_active (store->timer, EV_TIMEOUT, 0);
}

DpClaimStore *
dp_claim_store_new (const DpClaimStoreOptions *options)
{
  DpClaimStore *store = g_new0 (DpClaimStore, 1);
  store->options = *options;
  store->timer = evtimer_new (options->base, on_timer, store);
  store->replies = g_array_new (FALSE, FALSE, sizeof (DpClaimReply));
  return store;
}

void
dp_claim_store_free (DpClaimStore *store)
{
  if (store == NULL)
    return;
  event_free (store->timer);
  g_array_unref (store->replies);
  g_free (store);
}

void
dp_claim_store_read (DpClaimStore *store, DpBucketId bucket)
{
  reply_unavailable (store, bucket, FALSE);
}

void
dp_claim_store_write (DpClaimStore *store, const DpClaimWrite *write)
{
  reply_unavailable (store, write->bucket, TRUE);
}
