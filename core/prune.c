#include "core/prune.h"

/* Longer than any planned restart and than most cuts. */
#define GONE_TIME (60 * DP_USEC_PER_SEC)
/* Probes without an answer, one each QUIET_TIME. */
#define PROBES_MIN 3
#define QUIET_TIME (5 * DP_USEC_PER_SEC)
/* Bounds what a fleet of thousands costs this VM. */
#define PROBES_MAX 20

typedef struct Row
{
  DpUsec watched_since;
  DpUsec probed_at;
  guint probes; /* since it was last heard */
} Row;

struct DpPrune
{
  GHashTable *rows; /* DpName -> Row */
};

DpPrune *
dp_prune_new (void)
{
  DpPrune *prune = g_new0 (DpPrune, 1);
  prune->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return prune;
}

void
dp_prune_free (DpPrune *prune)
{
  g_hash_table_unref (prune->rows);
  g_free (prune);
}

void
dp_prune_reset (DpPrune *prune)
{
  g_hash_table_remove_all (prune->rows);
}

static Row *
obtain_row (DpPrune *prune, DpName vm, DpUsec now)
{
  Row *row = g_hash_table_lookup (prune->rows, &vm);
  if (row != NULL)
    return row;
  row = g_new0 (Row, 1);
  row->watched_since = now;
  g_hash_table_insert (prune->rows, g_memdup2 (&vm, sizeof vm), row);
  return row;
}

static void
drop_absent (DpPrune *prune, const DpView *view)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, prune->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (dp_view_find (view, *(DpName *)key) == NULL)
      g_hash_table_iter_remove (&iter);
}

/* Returns when the VM was last known to live, as far as it has been watched. */
static DpUsec
look_at (Row *row, const DpOwners *owners, DpName vm)
{
  DpUsec heard_at = dp_owners_heard_at (owners, vm);
  if (heard_at > row->probed_at)
    row->probes = 0;
  return MAX (heard_at, row->watched_since);
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
  guint heard = 0;
  drop_absent (prune, view);
  for (guint i = 0; i < view->vms->len; i++)
    {
      DpName vm = g_array_index (view->vms, DpVm, i).name;
      if (vm == self)
        continue;
      Row *row = obtain_row (prune, vm, now);
      DpUsec last = look_at (row, owners, vm);
      heard += dp_owners_heard_at (owners, vm) != 0 && now - last <= GONE_TIME;
      if (now - last > GONE_TIME && row->probes >= PROBES_MIN)
        g_array_append_val (gone, vm);
      if (now - MAX (last, row->probed_at) < QUIET_TIME || probes->len >= PROBES_MAX)
        continue;
      row->probed_at = now;
      row->probes++;
      g_array_append_val (probes, vm);
    }
  if (2 * heard + 1 < view->vms->len)
    g_array_set_size (gone, 0);
}
