/* Groups of a manifest, indexed by pool and model. */
#include "core/entry_private.h"

static void
index_group (Routes *routes, guint group_index)
{
  const DpManifest *manifest = routes->manifest;
  const DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, group_index);
  for (guint i = 0; i < group->targets->len; i++)
    {
      guint target_index = g_array_index (group->targets, guint, i);
      const DpTarget *target = DP_MANIFEST_ROW (manifest, targets, DpTarget, target_index);
      for (guint j = 0; target->models != NULL && j < target->models->len; j++)
        {
          guint model_index = g_array_index (target->models, guint, j);
          const DpModel *model = DP_MANIFEST_ROW (manifest, models, DpModel, model_index);
          guint64 *key = g_new (guint64, 1);
          *key = dp_name_pair (group->name, model->name);
          g_hash_table_add (routes->model_groups, key);
        }
    }
}

/* Adds the groups inside (`local`) or outside the data centre to the lists of their pools. */
static void
append_groups (Routes *routes, int data_centre, gboolean local)
{
  for (guint i = 0; i < routes->manifest->groups->len; i++)
    {
      const DpGroup *group = DP_MANIFEST_ROW (routes->manifest, groups, DpGroup, i);
      if (((int)group->data_centre == data_centre) == local)
        g_array_append_val (routes->pool_groups[group->pool], i);
    }
}

Routes *
entry_routes_new (DpManifest *manifest, DpName data_centre)
{
  Routes *routes = g_new0 (Routes, 1);
  g_atomic_ref_count_init (&routes->refs);
  routes->manifest = dp_manifest_ref (manifest);
  routes->model_groups = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  routes->pool_groups = g_new0 (GArray *, manifest->pools->len);
  for (guint i = 0; i < manifest->pools->len; i++)
    routes->pool_groups[i] = g_array_new (FALSE, FALSE, sizeof (guint));
  int centre_index = dp_manifest_find (manifest, DP_MANIFEST_DATA_CENTRE, data_centre);
  append_groups (routes, centre_index, TRUE);
  append_groups (routes, centre_index, FALSE);
  for (guint i = 0; i < manifest->groups->len; i++)
    index_group (routes, i);
  return routes;
}

Routes *
entry_routes_ref (Routes *routes)
{
  g_atomic_ref_count_inc (&routes->refs);
  return routes;
}

void
entry_routes_unref (Routes *routes)
{
  if (routes == NULL || !g_atomic_ref_count_dec (&routes->refs))
    return;
  for (guint i = 0; i < routes->manifest->pools->len; i++)
    g_array_unref (routes->pool_groups[i]);
  g_free (routes->pool_groups);
  g_hash_table_unref (routes->model_groups);
  dp_manifest_unref (routes->manifest);
  g_free (routes);
}

gboolean
entry_routes_serves (const Routes *routes, guint group, DpName model)
{
  if (model == 0)
    return TRUE;
  guint64 key
    = dp_name_pair (DP_MANIFEST_ROW (routes->manifest, groups, DpGroup, group)->name, model);
  return g_hash_table_contains (routes->model_groups, &key);
}
