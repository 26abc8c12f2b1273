#include "core/versions/versions.h"

#include "core/key_set.h"

typedef struct Observation
{
  DpSoftwareVersion version;
  DpUsec first_seen_at;
  DpUsec seen_at; /* last time */
} Observation;

typedef struct Pool
{
  GArray *observations; /* Observation */
  gboolean is_complete;
  /* Set of the versions in the store's list; NULL: it was not read, or there was none that a VM
   * which starts would take for complete. */
  GArray *stored;
} Pool;

typedef enum ListsState
{
  LISTS_UNREAD, /* since this process started, or the last gap */
  LISTS_READ,
  LISTS_UNREADABLE,
} ListsState;

struct DpVersions
{
  DpVersionsOptions options;
  GHashTable *pools;      /* DpName -> Pool */
  ListsState lists_state; /* of those in the store */
  DpUsec lists_read_at;   /* READ: beginning of the last reading */
  DpRecentMap *streams;   /* stream -> DpName: its version */
};

static void
pool_free (gpointer data)
{
  Pool *pool = data;
  g_array_unref (pool->observations);
  g_clear_pointer (&pool->stored, g_array_unref);
  g_free (pool);
}

DpVersions *
dp_versions_new (const DpVersionsOptions *options)
{
  DpVersions *versions = g_new0 (DpVersions, 1);
  versions->options = *options;
  versions->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, pool_free);
  versions->streams = dp_recent_map_new (options->stream_lifetime, options->streams_max);
  return versions;
}

void
dp_versions_free (DpVersions *versions)
{
  if (versions == NULL)
    return;
  g_hash_table_unref (versions->pools);
  dp_recent_map_free (versions->streams);
  g_free (versions);
}

void
dp_versions_set_lifetime (DpVersions *versions, DpUsec stream_lifetime)
{
  versions->options.stream_lifetime = stream_lifetime;
  dp_recent_map_set_duration (versions->streams, stream_lifetime);
}

DpUsec
dp_versions_lifetime (const DpVersions *versions)
{
  return versions->options.stream_lifetime;
}

/* --- versions of pools --- */

static Pool *
ensure_pool (DpVersions *versions, DpName name)
{
  Pool *pool = g_hash_table_lookup (versions->pools, &name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (Pool, 1);
  pool->observations = g_array_new (FALSE, TRUE, sizeof (Observation));
  g_hash_table_insert (versions->pools, g_memdup2 (&name, sizeof name), pool);
  return pool;
}

static void
drop_expired (const DpVersions *versions, Pool *pool, DpUsec now)
{
  for (guint i = pool->observations->len; i > 0; i--)
    {
      const Observation *row = &g_array_index (pool->observations, Observation, i - 1);
      if (now - row->seen_at > versions->options.stream_lifetime)
        g_array_remove_index (pool->observations, i - 1);
    }
}

void
dp_versions_observe (DpVersions *versions,
                     DpName pool_name,
                     const DpSoftwareVersion *version,
                     DpUsec now)
{
  Pool *pool = ensure_pool (versions, pool_name);
  drop_expired (versions, pool, now);
  DpName name = dp_software_version_name (version);
  for (guint i = 0; i < pool->observations->len; i++)
    {
      Observation *row = &g_array_index (pool->observations, Observation, i);
      if (row->version.name != name)
        continue;
      row->seen_at = now;
      return;
    }
  Observation row = { .version = *version, .first_seen_at = now, .seen_at = now };
  row.version.name = name;
  g_array_append_val (pool->observations, row);
}

void
dp_versions_begin_gap (DpVersions *versions, DpUsec now)
{
  versions->options.started_at = now;
  versions->options.is_first_start = FALSE;
  versions->lists_state = LISTS_UNREAD;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, versions->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    {
      ((Pool *)pool)->is_complete = FALSE;
      g_clear_pointer (&((Pool *)pool)->stored, g_array_unref);
    }
}

void
dp_versions_set_read (DpVersions *versions, DpUsec began_at)
{
  versions->lists_state = LISTS_READ;
  versions->lists_read_at = began_at;
}

void
dp_versions_set_unreadable (DpVersions *versions)
{
  versions->lists_state = LISTS_UNREADABLE;
}

void
dp_versions_set_stored (DpVersions *versions,
                        DpName pool_name,
                        const DpVersionList *list,
                        guint64 store_era)
{
  Pool *pool = ensure_pool (versions, pool_name);
  g_clear_pointer (&pool->stored, g_array_unref);
  if (list->era != store_era)
    return;
  pool->stored = dp_key_set_new (list->versions->len);
  for (guint i = 0; i < list->versions->len; i++)
    {
      const DpSoftwareVersion *version = &g_array_index (list->versions, DpSoftwareVersion, i);
      dp_key_set_append (pool->stored, dp_software_version_name (version));
    }
  dp_key_set_complete (pool->stored);
}

gboolean
dp_versions_apply_list (
  DpVersions *versions, DpName pool, const DpVersionList *list, guint64 store_era, DpUsec now)
{
  for (guint i = 0; i < list->versions->len; i++)
    dp_versions_observe (versions, pool, &g_array_index (list->versions, DpSoftwareVersion, i),
                         now);
  dp_versions_set_stored (versions, pool, list, store_era);
  if (list->era != store_era)
    return FALSE;
  ensure_pool (versions, pool)->is_complete = TRUE;
  return TRUE;
}

/* TRUE if there was no complete list of a pool at that time, or this can't be found out. */
static gboolean
has_no_list (const DpVersions *versions, DpUsec at)
{
  switch (versions->lists_state)
    {
    case LISTS_UNREAD:
      return FALSE;
    case LISTS_READ:
      return versions->lists_read_at >= at;
    case LISTS_UNREADABLE:
      return TRUE;
    }
  return FALSE;
}

gboolean
dp_versions_may_begin (const DpVersions *versions, DpName pool_name, DpName version, DpUsec now)
{
  const Pool *pool = g_hash_table_lookup (versions->pools, &pool_name);
  /* A stream that begins at a target without a version goes on nowhere else. */
  if (pool == NULL || version == 0 || dp_key_set_contains (pool->stored, version))
    return TRUE;
  for (guint i = 0; i < pool->observations->len; i++)
    {
      const Observation *row = &g_array_index (pool->observations, Observation, i);
      if (row->version.name != version)
        continue;
      return now - row->first_seen_at > DP_VERSION_HOLD_MAX
             || (pool->stored == NULL && has_no_list (versions, row->first_seen_at));
    }
  return FALSE;
}

static gboolean
is_complete (const DpVersions *versions, const Pool *pool, DpUsec now)
{
  return pool->is_complete || versions->options.is_first_start
         || now - versions->options.started_at > versions->options.stream_lifetime;
}

/* TRUE if a single version can have begun a stream of the pool. */
static gboolean
has_single (const DpVersions *versions, Pool *pool, DpUsec now)
{
  drop_expired (versions, pool, now);
  return pool->observations->len == 1 && is_complete (versions, pool, now);
}

DpName
dp_versions_single (const DpVersions *versions, DpName pool_name, DpUsec now)
{
  Pool *pool = g_hash_table_lookup (versions->pools, &pool_name);
  return pool != NULL && has_single (versions, pool, now)
           ? g_array_index (pool->observations, Observation, 0).version.name
           : 0;
}

gboolean
dp_versions_may_differ (const DpVersions *versions, DpName pool_name, DpUsec now)
{
  Pool *pool = g_hash_table_lookup (versions->pools, &pool_name);
  return pool != NULL && !has_single (versions, pool, now) && pool->observations->len > 0;
}

/* TRUE if the store's list has these versions and no others. */
static gboolean
is_stored (const Pool *pool)
{
  gboolean is_same = pool->stored != NULL && pool->stored->len == pool->observations->len;
  for (guint i = 0; is_same && i < pool->observations->len; i++)
    is_same = dp_key_set_contains (
      pool->stored, g_array_index (pool->observations, Observation, i).version.name);
  return is_same;
}

GArray *
dp_versions_list_to_store (const DpVersions *versions, DpName pool_name, DpUsec now)
{
  Pool *pool = g_hash_table_lookup (versions->pools, &pool_name);
  if (pool == NULL || !is_complete (versions, pool, now))
    return NULL;
  drop_expired (versions, pool, now);
  if (pool->observations->len == 0 || is_stored (pool))
    return NULL;
  GArray *list = g_array_new (FALSE, FALSE, sizeof (DpSoftwareVersion));
  for (guint i = 0; i < pool->observations->len; i++)
    g_array_append_val (list, g_array_index (pool->observations, Observation, i).version);
  return list;
}

/* --- streams --- */

void
dp_versions_record_stream (DpVersions *versions, guint64 stream, DpName version, DpUsec now)
{
  dp_recent_map_put (versions->streams, stream, version, now);
}

DpName
dp_versions_of_stream (const DpVersions *versions, guint64 stream)
{
  return dp_recent_map_get (versions->streams, stream);
}

void
dp_versions_foreach_stream (const DpVersions *versions, DpRecentMapFunc function, gpointer data)
{
  dp_recent_map_foreach (versions->streams, function, data);
}

/* --- answers --- */

gboolean
dp_version_answers_add (DpVersionAnswers *answers,
                        DpName version,
                        gboolean is_recorded,
                        DpName *found)
{
  *found = is_recorded ? version : 0;
  if (*found != 0)
    return TRUE;
  if (version != 0 && answers->guessed != 0 && version != answers->guessed)
    answers->is_disputed = TRUE;
  if (version != 0)
    answers->guessed = version;
  if (answers->due == 0 || --answers->due > 0)
    return FALSE;
  *found = dp_version_answers_end (answers);
  return TRUE;
}

DpName
dp_version_answers_end (DpVersionAnswers *answers)
{
  answers->due = 0;
  return answers->is_disputed ? 0 : answers->guessed;
}
