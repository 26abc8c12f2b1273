#include "manifest/routes.h"

#include <string.h>

/* Sorts the longest prefix first, so that the first match is the most specific. */
static gint
compare_prefix_lengths (gconstpointer a, gconstpointer b)
{
  const DpRoute *left = *(const DpRoute *const *)a;
  const DpRoute *right = *(const DpRoute *const *)b;
  gsize left_length = strlen (left->path_prefix);
  gsize right_length = strlen (right->path_prefix);
  return (left_length < right_length) - (left_length > right_length);
}

void
dp_manifest_build_route_index (DpManifest *manifest)
{
  manifest->host_index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                (GDestroyNotify)g_ptr_array_unref);
  for (guint i = 0; i < manifest->routes->len; i++)
    {
      DpRoute *route = DP_MANIFEST_ROW (manifest, routes, DpRoute, i);
      char *host = g_ascii_strdown (route->host, -1);
      GPtrArray *rows = g_hash_table_lookup (manifest->host_index, host);
      if (rows == NULL)
        {
          rows = g_ptr_array_new ();
          g_hash_table_insert (manifest->host_index, g_strdup (host), rows);
        }
      g_free (host);
      g_ptr_array_add (rows, route);
    }
  GHashTableIter iter;
  gpointer rows;
  g_hash_table_iter_init (&iter, manifest->host_index);
  while (g_hash_table_iter_next (&iter, NULL, &rows))
    g_ptr_array_sort (rows, compare_prefix_lengths);
}

const DpRoute *
dp_manifest_find_route (const DpManifest *manifest, const char *host, const char *path)
{
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  const GPtrArray *rows = g_hash_table_lookup (manifest->host_index, name);
  g_free (name);
  for (guint i = 0; rows != NULL && i < rows->len; i++)
    {
      const DpRoute *route = g_ptr_array_index (rows, i);
      if (g_str_has_prefix (path, route->path_prefix))
        return route;
    }
  return NULL;
}

gboolean
dp_route_is_repeatable (const DpRoute *route)
{
  return route->kind == DP_ROUTE_SAFE || (route->kind == DP_ROUTE_STREAM && route->resumable);
}

guint
dp_route_select_pool (const DpRoute *route, guint64 random_value)
{
  guint64 total = 0;
  for (guint i = 0; i < route->shares->len; i++)
    total += g_array_index (route->shares, DpRouteShare, i).weight;
  guint64 remaining = total > 0 ? random_value % total : 0;
  for (guint i = 0; i < route->shares->len; i++)
    {
      const DpRouteShare *share = &g_array_index (route->shares, DpRouteShare, i);
      if (remaining < share->weight)
        return share->pool;
      remaining -= share->weight;
    }
  return g_array_index (route->shares, DpRouteShare, 0).pool;
}

GArray *
dp_route_shares_new (void)
{
  return g_array_new (FALSE, TRUE, sizeof (DpRouteShare));
}
