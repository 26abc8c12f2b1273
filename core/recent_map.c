#include "core/recent_map.h"

struct DpRecentMap
{
  DpUsec duration;
  guint keys_max; /* of a generation */
  GHashTable *newer;
  GHashTable *older;
  DpUsec newer_since;
};

static GHashTable *
new_generation (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

DpRecentMap *
dp_recent_map_new (DpUsec duration, guint keys_max)
{
  DpRecentMap *map = g_new0 (DpRecentMap, 1);
  map->duration = duration;
  map->keys_max = keys_max;
  map->newer = new_generation ();
  map->older = new_generation ();
  return map;
}

void
dp_recent_map_free (DpRecentMap *map)
{
  g_hash_table_unref (map->newer);
  g_hash_table_unref (map->older);
  g_free (map);
}

void
dp_recent_map_set_duration (DpRecentMap *map, DpUsec duration)
{
  map->duration = duration;
}

void
dp_recent_map_put (DpRecentMap *map, guint64 key, guint64 value, DpUsec now)
{
  if (now - map->newer_since > map->duration || g_hash_table_size (map->newer) >= map->keys_max)
    {
      g_hash_table_unref (map->older);
      map->older = map->newer;
      map->newer = new_generation ();
      map->newer_since = now;
    }
  g_hash_table_insert (map->newer, g_memdup2 (&key, sizeof key),
                       g_memdup2 (&value, sizeof value));
}

guint64
dp_recent_map_get (const DpRecentMap *map, guint64 key)
{
  const guint64 *value = g_hash_table_lookup (map->newer, &key);
  if (value == NULL)
    value = g_hash_table_lookup (map->older, &key);
  return value != NULL ? *value : 0;
}

void
dp_recent_map_foreach (const DpRecentMap *map, DpRecentMapFunc function, gpointer data)
{
  GHashTable *generations[] = { map->newer, map->older };
  for (guint i = 0; i < G_N_ELEMENTS (generations); i++)
    {
      GHashTableIter iter;
      gpointer key, value;
      g_hash_table_iter_init (&iter, generations[i]);
      while (g_hash_table_iter_next (&iter, &key, &value))
        if (i == 0 || !g_hash_table_contains (map->newer, key))
          function (*(const guint64 *)key, *(const guint64 *)value, data);
    }
}
