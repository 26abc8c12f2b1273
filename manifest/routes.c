#include "manifest/routes.h"

#include <string.h>

struct DpRouteIndex
{
  gatomicrefcount refs;
  GHashTable *by_key; /* DpRoute.match_key -> DpRoute */
  gsize key_max;      /* length of the longest key */
  GPtrArray *others;  /* DpRoute: prefixes that don't end with '/' */
};

/* `host` is in lower case. Neither host nor path of a request contains the separator. */
static char *
make_key (const char *host, const char *path)
{
  return g_strconcat (host, "\n", path, NULL);
}

DpRouteIndex *
dp_route_index_new (const GPtrArray *routes)
{
  DpRouteIndex *index = g_new0 (DpRouteIndex, 1);
  g_atomic_ref_count_init (&index->refs);
  index->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  index->others = g_ptr_array_new ();
  for (guint i = 0; i < routes->len; i++)
    {
      DpRoute *route = g_ptr_array_index (routes, i);
      if (!g_str_has_suffix (route->path_prefix, "/"))
        g_ptr_array_add (index->others, route);
      /* Of equal routes, the first counts. */
      else if (!g_hash_table_contains (index->by_key, route->match_key))
        {
          g_hash_table_insert (index->by_key, route->match_key, route);
          index->key_max = MAX (index->key_max, strlen (route->match_key));
        }
    }
  return index;
}

DpRouteIndex *
dp_route_index_ref (DpRouteIndex *index)
{
  g_atomic_ref_count_inc (&index->refs);
  return index;
}

void
dp_route_index_unref (DpRouteIndex *index)
{
  if (index == NULL || !g_atomic_ref_count_dec (&index->refs))
    return;
  g_hash_table_unref (index->by_key);
  g_ptr_array_unref (index->others);
  g_free (index);
}

static const DpRoute *
longer (const DpRoute *a, const DpRoute *b)
{
  if (a == NULL || b == NULL)
    return a != NULL ? a : b;
  return strlen (b->path_prefix) > strlen (a->path_prefix) ? b : a;
}

/* Looks up each part of the path that ends with '/', the longest first. `path` is the rest of
 * `key`, which is cut. */
static const DpRoute *
find_indexed (const DpRouteIndex *index, char *key, char *path)
{
  /* A client may send a long path of slashes. */
  if (strlen (key) > index->key_max)
    key[index->key_max] = '\0';
  if (path > key + index->key_max)
    return NULL;
  for (char *slash = strrchr (path, '/'); slash != NULL; slash = strrchr (path, '/'))
    {
      slash[1] = '\0';
      const DpRoute *route = g_hash_table_lookup (index->by_key, key);
      if (route != NULL)
        return route;
      slash[0] = '\0';
    }
  return NULL;
}

const DpRoute *
dp_manifest_find_route (const DpManifest *manifest, const char *host, const char *path)
{
  const DpRouteIndex *index = manifest->route_index;
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  char *key = make_key (name, path);
  const DpRoute *route = NULL;
  for (guint i = 0; i < index->others->len; i++)
    {
      const DpRoute *other = g_ptr_array_index (index->others, i);
      if (g_ascii_strcasecmp (other->host, name) == 0
          && g_str_has_prefix (path, other->path_prefix)
          && (route == NULL || longer (route, other) == other))
        route = other;
    }
  route = longer (route, find_indexed (index, key, key + strlen (name) + 1));
  g_free (key);
  g_free (name);
  return route;
}

DpRoute *
dp_route_new (const DpRoute *row)
{
  DpRoute *route = g_new (DpRoute, 1);
  *route = *row;
  g_atomic_ref_count_init (&route->refs);
  char *host = g_ascii_strdown (row->host, -1);
  route->match_key = make_key (host, row->path_prefix);
  g_free (host);
  return route;
}

DpRoute *
dp_route_ref (DpRoute *route)
{
  g_atomic_ref_count_inc (&route->refs);
  return route;
}

void
dp_route_unref (DpRoute *route)
{
  if (route == NULL || !g_atomic_ref_count_dec (&route->refs))
    return;
  g_free (route->text);
  g_free (route->host);
  g_free (route->path_prefix);
  g_free (route->match_key);
  g_array_unref (route->shares);
  g_free (route);
}

gboolean
dp_route_is_repeatable (const DpRoute *route)
{
  return route->kind == DP_ROUTE_SAFE || (route->kind == DP_ROUTE_STREAM && route->resumable);
}

DpName
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

static void
share_clear (gpointer data)
{
  DpRouteShare *share = data;
  g_free (share->pool_text);
}

GArray *
dp_route_shares_new (void)
{
  GArray *shares = g_array_new (FALSE, TRUE, sizeof (DpRouteShare));
  g_array_set_clear_func (shares, share_clear);
  return shares;
}
