#include "standins/platform_store.h"

#include <string.h>

struct Store
{
  GHashTable *objects; /* path -> StoredObject */
  guint64 last_version;
};

static void
object_free (gpointer data)
{
  StoredObject *object = data;
  g_bytes_unref (object->value);
  g_clear_pointer (&object->previous_value, g_bytes_unref);
  g_free (object);
}

Store *
store_new (void)
{
  Store *store = g_new0 (Store, 1);
  store->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  return store;
}

void
store_free (Store *store)
{
  g_hash_table_unref (store->objects);
  g_free (store);
}

const StoredObject *
store_get (Store *store, const char *path)
{
  return g_hash_table_lookup (store->objects, path);
}

StoreStatus
store_put (Store *store, const char *path, guint64 expected, GBytes *value, guint64 *version)
{
  StoredObject *object = g_hash_table_lookup (store->objects, path);
  guint64 current = object != NULL ? object->version : 0;
  if (current != expected)
    return STORE_MISMATCH;
  if (object == NULL)
    {
      object = g_new0 (StoredObject, 1);
      g_hash_table_insert (store->objects, g_strdup (path), object);
    }
  g_clear_pointer (&object->previous_value, g_bytes_unref);
  object->previous_value = object->value;
  object->previous_version = object->version;
  object->value = g_bytes_ref (value);
  store->last_version += 1;
  object->version = store->last_version;
  *version = object->version;
  return STORE_DONE;
}

StoreStatus
store_remove (Store *store, const char *path, guint64 expected)
{
  const StoredObject *object = g_hash_table_lookup (store->objects, path);
  if (object == NULL)
    return STORE_NOT_FOUND;
  if (object->version != expected)
    return STORE_MISMATCH;
  g_hash_table_remove (store->objects, path);
  store->last_version += 1;
  return STORE_DONE;
}

static int
compare_paths (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

GList *
store_list (Store *store, const char *prefix)
{
  GList *paths = NULL;
  GHashTableIter iter;
  gpointer path;
  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, &path, NULL))
    {
      if (g_str_has_prefix (path, prefix))
        paths = g_list_prepend (paths, path);
    }
  return g_list_sort (paths, compare_paths);
}
