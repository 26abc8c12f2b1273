#include "core/rollout/rollout_orders.h"

#include <string.h>

/* Versions of one pool that must not be used; the oldest is dropped. */
#define BARRED_MAX 16
/* Duration of an order that only keeps a version from being used. */
#define NO_LIMIT ((DpUsec)1000000 * DP_USEC_PER_SEC)

/* Ages that VMs state differ by the delay of their messages. */
#define AGE_TOLERANCE (100 * DP_USEC_PER_MSEC)

/* A version that the pool's targets have. */
typedef struct SeenVersion
{
  DpName version;
  DpStoreVersion first_seen; /* version of the store */
  guint64 started;           /* of its oldest target */
  gboolean is_released;      /* the list of orders was newer than the first target */
  gboolean is_present;
} SeenVersion;

typedef struct PoolVersions
{
  DpName pool;
  GArray *seen;   /* SeenVersion */
  GArray *barred; /* DpName: of orders that were replaced or withdrawn before they completed */
} PoolVersions;

struct DpRolloutOrders
{
  GPtrArray *entries; /* DpRolloutEntry */
  GHashTable *pools;  /* DpName -> PoolVersions */
  DpStoreVersion version;
};

static void
pool_versions_free (gpointer data)
{
  PoolVersions *pool = data;
  g_array_unref (pool->seen);
  g_array_unref (pool->barred);
  g_free (pool);
}

DpRolloutOrders *
dp_rollout_orders_new (void)
{
  DpRolloutOrders *orders = g_new0 (DpRolloutOrders, 1);
  orders->entries = g_ptr_array_new_with_free_func (g_free);
  orders->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, pool_versions_free);
  return orders;
}

void
dp_rollout_orders_free (DpRolloutOrders *orders)
{
  if (orders == NULL)
    return;
  g_ptr_array_unref (orders->entries);
  g_hash_table_unref (orders->pools);
  g_free (orders);
}

static PoolVersions *
find_pool (const DpRolloutOrders *orders, DpName name)
{
  return g_hash_table_lookup (orders->pools, &name);
}

static PoolVersions *
ensure_pool (DpRolloutOrders *orders, DpName name)
{
  PoolVersions *pool = find_pool (orders, name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (PoolVersions, 1);
  pool->pool = name;
  pool->seen = g_array_new (FALSE, FALSE, sizeof (SeenVersion));
  pool->barred = g_array_new (FALSE, FALSE, sizeof (DpName));
  g_hash_table_insert (orders->pools, &pool->pool, pool);
  return pool;
}

/* --- barred versions --- */

static gboolean
is_barred (const PoolVersions *pool, DpName version)
{
  for (guint i = 0; i < pool->barred->len; i++)
    if (g_array_index (pool->barred, DpName, i) == version)
      return TRUE;
  return FALSE;
}

static void
bar (PoolVersions *pool, DpName version)
{
  if (version == 0 || is_barred (pool, version))
    return;
  if (pool->barred->len == BARRED_MAX)
    g_array_remove_index (pool->barred, 0);
  g_array_append_val (pool->barred, version);
}

static void
unbar (PoolVersions *pool, DpName version)
{
  for (guint i = pool->barred->len; i > 0; i--)
    if (g_array_index (pool->barred, DpName, i - 1) == version)
      g_array_remove_index (pool->barred, i - 1);
}

/* --- entries --- */

static DpRolloutEntry *
find_entry (const DpRolloutOrders *orders, DpName pool)
{
  for (guint i = 0; i < orders->entries->len; i++)
    {
      DpRolloutEntry *entry = g_ptr_array_index (orders->entries, i);
      if (entry->pool == pool)
        return entry;
    }
  return NULL;
}

const DpRolloutEntry *
dp_rollout_orders_find (const DpRolloutOrders *orders, DpName pool)
{
  return find_entry (orders, pool);
}

const DpRolloutEntry *
dp_rollout_orders_next (const DpRolloutOrders *orders, guint *at)
{
  return *at < orders->entries->len ? g_ptr_array_index (orders->entries, (*at)++) : NULL;
}

static gboolean
is_final (DpRolloutState state)
{
  return state == DP_ROLLOUT_COMPLETED || state == DP_ROLLOUT_ROLLED_BACK;
}

gboolean
dp_rollout_entry_is_followed (const DpRolloutEntry *entry)
{
  return !entry->is_withdrawn && entry->row.duration > 0 && entry->version != 0;
}

DpRolloutState
dp_rollout_entry_state (const DpRolloutEntry *entry)
{
  if (!dp_rollout_entry_is_followed (entry))
    return DP_ROLLOUT_ROLLED_BACK;
  if (entry->final != DP_ROLLOUT_NONE)
    return entry->final;
  return entry->heard != DP_ROLLOUT_NONE ? entry->heard : DP_ROLLOUT_RUNNING;
}

DpUsec
dp_rollout_entry_age (const DpRolloutEntry *entry, DpUsec now)
{
  return MAX (now - entry->known_at, 0);
}

static DpName
order_id (const DpRolloutRow *row)
{
  const guint64 parts[]
    = { row->created, dp_name (row->target), (guint64)row->duration, dp_name (row->service) };
  return dp_hash_bytes (parts, sizeof parts, 0);
}

static DpRolloutEntry *
add_entry (DpRolloutOrders *orders, DpName pool)
{
  DpRolloutEntry *entry = g_new0 (DpRolloutEntry, 1);
  entry->pool = pool;
  g_ptr_array_add (orders->entries, entry);
  return entry;
}

/* Another order takes the entry: the version of the last one is used only if it was completed.
 */
static void
begin_order (DpRolloutOrders *orders,
             DpRolloutEntry *entry,
             const DpRolloutRow *row,
             DpUsec now)
{
  PoolVersions *pool = ensure_pool (orders, entry->pool);
  if (entry->id != 0 && dp_rollout_entry_state (entry) != DP_ROLLOUT_COMPLETED)
    bar (pool, entry->version);
  DpName name = entry->pool;
  *entry = (DpRolloutEntry){ .pool = name,
                             .id = order_id (row),
                             .version = row->target[0] != '\0' ? dp_name (row->target) : 0,
                             .known_at = now - MAX (row->age, 0) };
  unbar (pool, entry->version);
}

gboolean
dp_rollout_orders_put (DpRolloutOrders *orders, const DpRolloutRow *row, DpUsec now)
{
  DpName name = dp_name (row->service);
  DpRolloutEntry *entry = find_entry (orders, name);
  if (entry == NULL)
    entry = add_entry (orders, name);
  if (row->revision < entry->row.revision)
    return FALSE;
  if (entry->id != order_id (row))
    begin_order (orders, entry, row, now);
  gboolean is_same = !entry->is_withdrawn && entry->row.revision == row->revision
                     && entry->row.state == row->state && row->revision != 0;
  entry->row = *row;
  entry->is_withdrawn = FALSE;
  entry->known_at = MIN (entry->known_at, now - MAX (row->age, 0));
  if (is_final (row->state))
    entry->final = row->state;
  return !is_same;
}

gboolean
dp_rollout_orders_withdraw (DpRolloutOrders *orders, DpName pool)
{
  DpRolloutEntry *entry = find_entry (orders, pool);
  if (entry == NULL || entry->is_withdrawn)
    return FALSE;
  if (entry->final == DP_ROLLOUT_COMPLETED && dp_rollout_entry_is_followed (entry))
    g_ptr_array_remove (orders->entries, entry);
  else
    entry->is_withdrawn = TRUE;
  return TRUE;
}

gboolean
dp_rollout_orders_replace (DpRolloutOrders *orders, const GArray *rows, DpUsec now)
{
  gboolean changed = FALSE;
  GHashTable *listed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; rows != NULL && i < rows->len; i++)
    {
      const DpRolloutRow *row = &g_array_index (rows, DpRolloutRow, i);
      DpName name = dp_name (row->service);
      g_hash_table_add (listed, g_memdup2 (&name, sizeof name));
      changed |= dp_rollout_orders_put (orders, row, now);
    }
  for (guint i = orders->entries->len; i > 0; i--)
    {
      const DpRolloutEntry *entry = g_ptr_array_index (orders->entries, i - 1);
      if (!g_hash_table_contains (listed, &entry->pool))
        changed |= dp_rollout_orders_withdraw (orders, entry->pool);
    }
  g_hash_table_unref (listed);
  return changed;
}

void
dp_rollout_orders_begin_era (DpRolloutOrders *orders, guint64 era)
{
  if (era == orders->version.era)
    return;
  for (guint i = 0; i < orders->entries->len; i++)
    ((DpRolloutEntry *)g_ptr_array_index (orders->entries, i))->row.revision = 0;
}

DpStoreVersion
dp_rollout_orders_version (const DpRolloutOrders *orders)
{
  return orders->version;
}

GArray *
dp_rollout_orders_list (const DpRolloutOrders *orders, DpUsec now)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (DpRolloutRow));
  for (guint i = 0; i < orders->entries->len; i++)
    {
      const DpRolloutEntry *entry = g_ptr_array_index (orders->entries, i);
      if (entry->is_withdrawn)
        continue;
      DpRolloutRow row = entry->row;
      row.age = dp_rollout_entry_age (entry, now);
      g_array_append_val (rows, row);
    }
  return rows;
}

/* --- messages --- */

/* 0: the message says nothing. */
static guint
strictness (DpRolloutState state)
{
  switch (state)
    {
    case DP_ROLLOUT_NONE:
      return 0;
    case DP_ROLLOUT_RUNNING:
      return 1;
    case DP_ROLLOUT_SWITCHING:
    case DP_ROLLOUT_COMPLETED: /* counts once it is read from the store */
      return 2;
    case DP_ROLLOUT_UNCERTAIN:
      return 3;
    case DP_ROLLOUT_ROLLED_BACK:
      return 4;
    }
  return 0;
}

gboolean
dp_rollout_orders_hear (DpRolloutOrders *orders, const DpRolloutNotice *notice, DpUsec now)
{
  DpRolloutEntry *entry = find_entry (orders, notice->pool);
  if (entry == NULL || entry->id != notice->order)
    return FALSE;
  DpRolloutState before = dp_rollout_entry_state (entry);
  DpRolloutState state
    = notice->state == DP_ROLLOUT_COMPLETED ? DP_ROLLOUT_SWITCHING : notice->state;
  if (strictness (state) > strictness (entry->heard))
    entry->heard = state;
  DpUsec known_at = entry->known_at;
  entry->known_at = MIN (known_at, now - MAX (notice->age, 0));
  return dp_rollout_entry_state (entry) != before || known_at - entry->known_at > AGE_TOLERANCE;
}

gboolean
dp_rollout_entry_is_stricter (const DpRolloutEntry *entry, const DpRolloutNotice *notice)
{
  return entry->id == notice->order && entry->final == DP_ROLLOUT_NONE
         && strictness (dp_rollout_entry_state (entry)) > strictness (notice->state);
}

/* --- versions --- */

static SeenVersion *
find_seen (const PoolVersions *pool, DpName version)
{
  for (guint i = 0; i < pool->seen->len; i++)
    {
      SeenVersion *seen = &g_array_index (pool->seen, SeenVersion, i);
      if (seen->version == version)
        return seen;
    }
  return NULL;
}

static void
observe_row (DpRolloutOrders *orders, const DpDirectoryRow *row, DpStoreVersion version)
{
  PoolVersions *pool = ensure_pool (orders, row->pool);
  SeenVersion *seen = find_seen (pool, row->version);
  if (seen == NULL)
    {
      const SeenVersion added
        = { .version = row->version, .first_seen = version, .started = row->record.started };
      g_array_append_val (pool->seen, added);
      seen = find_seen (pool, row->version);
    }
  seen->is_present = TRUE;
  seen->started = MIN (seen->started, row->record.started);
}

/* An order whose version can't be read may be for any version that is held back. */
static gboolean
has_unreadable_order (const DpRolloutOrders *orders, DpName pool)
{
  const DpRolloutEntry *entry = find_entry (orders, pool);
  return entry != NULL && !entry->is_withdrawn && entry->version == 0;
}

/* The version that serves while it is not known whether the others may. */
static void
release_oldest (PoolVersions *pool)
{
  SeenVersion *oldest = NULL;
  for (guint i = 0; i < pool->seen->len; i++)
    {
      SeenVersion *seen = &g_array_index (pool->seen, SeenVersion, i);
      if (seen->is_released)
        return;
      if (oldest == NULL || seen->started < oldest->started)
        oldest = seen;
    }
  if (oldest != NULL)
    oldest->is_released = TRUE;
}

static void
release_versions (DpRolloutOrders *orders, PoolVersions *pool)
{
  release_oldest (pool);
  if (orders->version.revision == 0 || has_unreadable_order (orders, pool->pool))
    return;
  for (guint i = 0; i < pool->seen->len; i++)
    {
      SeenVersion *seen = &g_array_index (pool->seen, SeenVersion, i);
      if (dp_store_version_compare (orders->version, seen->first_seen) >= 0)
        seen->is_released = TRUE;
    }
}

static void
release_all (DpRolloutOrders *orders)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, orders->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    release_versions (orders, value);
}

void
dp_rollout_orders_confirm (DpRolloutOrders *orders, DpStoreVersion version)
{
  if (dp_store_version_compare (version, orders->version) < 0)
    return;
  orders->version = version;
  release_all (orders);
}

static void
set_absent (PoolVersions *pool)
{
  for (guint i = 0; i < pool->seen->len; i++)
    g_array_index (pool->seen, SeenVersion, i).is_present = FALSE;
}

static void
drop_absent (PoolVersions *pool)
{
  for (guint i = pool->seen->len; i > 0; i--)
    if (!g_array_index (pool->seen, SeenVersion, i - 1).is_present)
      g_array_remove_index (pool->seen, i - 1);
}

void
dp_rollout_orders_observe (DpRolloutOrders *orders,
                           const DpDirectory *directory,
                           DpStoreVersion version)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, orders->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_absent (value);
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (directory, &at)) != NULL)
    observe_row (orders, row, version);
  g_hash_table_iter_init (&iter, orders->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_absent (value);
  release_all (orders);
}

static gboolean
is_held (const PoolVersions *pool, DpName version)
{
  const SeenVersion *seen = find_seen (pool, version);
  return pool->seen->len > 1 && seen != NULL && !seen->is_released;
}

/* The version of the pool's oldest target is taken for the one that has served so far. An order
 * that can't be followed, or that was withdrawn, must not take it out of service. */
static gboolean
is_oldest (const PoolVersions *pool, DpName version)
{
  /* Of equally old ones, the one that was seen first. */
  const SeenVersion *oldest = NULL;
  for (guint i = 0; i < pool->seen->len; i++)
    {
      const SeenVersion *seen = &g_array_index (pool->seen, SeenVersion, i);
      if (oldest == NULL || seen->started < oldest->started)
        oldest = seen;
    }
  return oldest != NULL && oldest->version == version;
}

static gboolean
may_use (const DpRolloutOrders *orders, const PoolVersions *pool, DpName version)
{
  const DpRolloutEntry *entry = find_entry (orders, pool->pool);
  if (is_held (pool, version))
    return FALSE;
  if (entry == NULL || entry->version != version)
    return !is_barred (pool, version) || is_oldest (pool, version);
  if (!dp_rollout_entry_is_followed (entry))
    return is_oldest (pool, version);
  switch (dp_rollout_entry_state (entry))
    {
    case DP_ROLLOUT_RUNNING:
    case DP_ROLLOUT_SWITCHING:
    case DP_ROLLOUT_COMPLETED:
      return TRUE;
    default:
      return FALSE;
    }
}

gboolean
dp_rollout_orders_may_use (const DpRolloutOrders *orders, DpName pool_name, DpName version)
{
  const PoolVersions *pool = find_pool (orders, pool_name);
  return pool == NULL || may_use (orders, pool, version);
}

gboolean
dp_rollout_orders_is_active (const DpRolloutOrders *orders, DpName pool_name)
{
  const DpRolloutEntry *entry = find_entry (orders, pool_name);
  if (entry == NULL || !dp_rollout_entry_is_followed (entry))
    return FALSE;
  if (entry->final == DP_ROLLOUT_COMPLETED)
    return dp_rollout_orders_count_versions (orders, pool_name) > 1;
  return entry->final == DP_ROLLOUT_NONE;
}

/* Returns a version of the pool that must not be used, other than that of an order that is
 * followed; 0: none. */
static DpName
find_unusable (const DpRolloutOrders *orders, DpName pool_name)
{
  const PoolVersions *pool = find_pool (orders, pool_name);
  for (guint i = 0; pool != NULL && i < pool->seen->len; i++)
    {
      DpName version = g_array_index (pool->seen, SeenVersion, i).version;
      if (!may_use (orders, pool, version))
        return version;
    }
  return 0;
}

gboolean
dp_rollout_orders_for_dispatcher (const DpRolloutOrders *orders,
                                  DpName pool,
                                  DpUsec now,
                                  DpRolloutOrder *order)
{
  const DpRolloutEntry *entry = find_entry (orders, pool);
  if (dp_rollout_orders_is_active (orders, pool))
    {
      *order = (DpRolloutOrder){ .id = entry->id,
                                 .version = entry->version,
                                 .duration = entry->row.duration,
                                 .age = dp_rollout_entry_age (entry, now),
                                 .state = dp_rollout_entry_state (entry) };
      return TRUE;
    }
  DpName version = find_unusable (orders, pool);
  *order = (DpRolloutOrder){
    .id = version, .version = version, .duration = NO_LIMIT, .state = DP_ROLLOUT_UNCERTAIN
  };
  if (entry != NULL && entry->version == version)
    {
      order->id = entry->id;
      order->state = DP_ROLLOUT_ROLLED_BACK;
      order->duration = entry->row.duration;
      order->age = dp_rollout_entry_age (entry, now);
    }
  return version != 0;
}

gboolean
dp_rollout_orders_is_list_due (const DpRolloutOrders *orders)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, orders->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoolVersions *pool = value;
      for (guint i = 0; i < pool->seen->len; i++)
        if (is_held (pool, g_array_index (pool->seen, SeenVersion, i).version)
            && !has_unreadable_order (orders, pool->pool))
          return TRUE;
    }
  return FALSE;
}

guint
dp_rollout_orders_count_versions (const DpRolloutOrders *orders, DpName pool_name)
{
  const PoolVersions *pool = find_pool (orders, pool_name);
  return pool != NULL ? pool->seen->len : 0;
}
