#include "core/prune.h"

/* Longer than a planned restart and than most network outages. */
#define GONE_TIMEOUT (60 * DP_USEC_PER_SEC)
/* Unanswered probes before a VM counts as gone, one per PROBE_INTERVAL. */
#define UNANSWERED_PROBES_MIN 3
#define PROBE_INTERVAL (5 * DP_USEC_PER_SEC)
/* Limits the load on this VM in fleets of thousands. */
#define PROBES_PER_TICK_MAX 20

typedef struct Peer
{
  DpUsec watched_since;
  DpUsec probed_at;
  guint unanswered_probes; /* since its last message */
} Peer;

struct DpPrune
{
  GHashTable *peers; /* DpName -> Peer */
};

DpPrune *
dp_prune_new (void)
{
  DpPrune *prune = g_new0 (DpPrune, 1);
  prune->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return prune;
}

void
dp_prune_free (DpPrune *prune)
{
  g_hash_table_unref (prune->peers);
  g_free (prune);
}

void
dp_prune_reset (DpPrune *prune)
{
  g_hash_table_remove_all (prune->peers);
}

static Peer *
ensure_peer (DpPrune *prune, DpName vm, DpUsec now)
{
  Peer *peer = g_hash_table_lookup (prune->peers, &vm);
  if (peer != NULL)
    return peer;
  peer = g_new0 (Peer, 1);
  peer->watched_since = now;
  g_hash_table_insert (prune->peers, g_memdup2 (&vm, sizeof vm), peer);
  return peer;
}

static void
drop_absent (DpPrune *prune, const DpView *view)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, prune->peers);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (dp_view_find (view, *(DpName *)key) == NULL)
      g_hash_table_iter_remove (&iter);
}

/* Returns when the VM was last seen, or when this VM began to watch it if that was later. */
static DpUsec
update_last_alive (Peer *peer, const DpOwners *owners, DpName vm)
{
  DpUsec last_seen_at = dp_owners_last_seen_at (owners, vm);
  if (last_seen_at > peer->probed_at)
    peer->unanswered_probes = 0;
  return MAX (last_seen_at, peer->watched_since);
}

void
dp_prune_tick (DpPrune *prune,
               const DpOwners *owners,
               const DpView *view,
               DpName self,
               DpUsec now,
               GArray *probes,
               GArray *gone)
{
  guint seen = 0;
  drop_absent (prune, view);
  for (guint i = 0; i < view->vms->len; i++)
    {
      DpName vm = g_array_index (view->vms, DpVm, i).name;
      if (vm == self)
        continue;
      Peer *peer = ensure_peer (prune, vm, now);
      DpUsec last_alive = update_last_alive (peer, owners, vm);
      seen += dp_owners_last_seen_at (owners, vm) != 0 && now - last_alive <= GONE_TIMEOUT;
      if (now - last_alive > GONE_TIMEOUT && peer->unanswered_probes >= UNANSWERED_PROBES_MIN)
        g_array_append_val (gone, vm);
      if (now - MAX (last_alive, peer->probed_at) < PROBE_INTERVAL
          || probes->len >= PROBES_PER_TICK_MAX)
        continue;
      peer->probed_at = now;
      peer->unanswered_probes++;
      g_array_append_val (probes, vm);
    }
  if (2 * seen + 1 < view->vms->len)
    g_array_set_size (gone, 0);
}
