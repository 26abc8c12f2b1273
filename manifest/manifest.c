#include "manifest/manifest.h"

#include "manifest/routes.h"

#include <string.h>

static void
tier_clear (gpointer data)
{
  DpTier *tier = data;
  g_free (tier->text);
}

static void
data_centre_clear (gpointer data)
{
  DpDataCentre *data_centre = data;
  g_free (data_centre->text);
  g_free (data_centre->region);
}

static void
workspace_clear (gpointer data)
{
  DpWorkspace *workspace = data;
  g_free (workspace->text);
}

static void
key_clear (gpointer data)
{
  DpAccessKey *key = data;
  g_free (key->sha256);
}

static void
model_clear (gpointer data)
{
  DpModel *model = data;
  g_free (model->text);
}

static void
call_clear (gpointer data)
{
  DpCall *call = data;
  g_free (call->method);
  g_free (call->path);
}

static void
pool_clear (gpointer data)
{
  DpPool *pool = data;
  g_free (pool->text);
  g_clear_pointer (&pool->calls, g_array_unref);
}

static void
target_clear (gpointer data)
{
  DpTarget *target = data;
  g_free (target->text);
  g_free (target->address);
  g_clear_pointer (&target->models, g_array_unref);
}

static void
group_clear (gpointer data)
{
  DpGroup *group = data;
  g_clear_pointer (&group->targets, g_array_unref);
}

static void
route_unref (gpointer data)
{
  dp_route_unref (data);
}

static GArray *
new_rows (gsize row_size, GDestroyNotify clear)
{
  GArray *rows = g_array_new (FALSE, TRUE, (guint)row_size);
  g_array_set_clear_func (rows, clear);
  return rows;
}

GArray *
dp_manifest_calls_new (void)
{
  return new_rows (sizeof (DpCall), call_clear);
}

DpManifest *
dp_manifest_new (void)
{
  DpManifest *manifest = g_new0 (DpManifest, 1);
  g_atomic_ref_count_init (&manifest->refs);
  manifest->tiers = new_rows (sizeof (DpTier), tier_clear);
  manifest->data_centres = new_rows (sizeof (DpDataCentre), data_centre_clear);
  manifest->workspaces = new_rows (sizeof (DpWorkspace), workspace_clear);
  manifest->keys = new_rows (sizeof (DpAccessKey), key_clear);
  manifest->models = new_rows (sizeof (DpModel), model_clear);
  manifest->pools = new_rows (sizeof (DpPool), pool_clear);
  manifest->targets = new_rows (sizeof (DpTarget), target_clear);
  manifest->routes = g_ptr_array_new_with_free_func (route_unref);
  manifest->groups = new_rows (sizeof (DpGroup), group_clear);
  return manifest;
}

DpManifest *
dp_manifest_ref (DpManifest *manifest)
{
  g_atomic_ref_count_inc (&manifest->refs);
  return manifest;
}

void
dp_manifest_unref (DpManifest *manifest)
{
  if (manifest == NULL || !g_atomic_ref_count_dec (&manifest->refs))
    return;
  g_array_unref (manifest->tiers);
  g_array_unref (manifest->data_centres);
  g_array_unref (manifest->workspaces);
  g_array_unref (manifest->keys);
  g_array_unref (manifest->models);
  g_array_unref (manifest->pools);
  g_array_unref (manifest->targets);
  g_ptr_array_unref (manifest->routes);
  g_array_unref (manifest->groups);
  dp_route_index_unref (manifest->route_index);
  g_clear_pointer (&manifest->index, g_hash_table_unref);
  g_clear_pointer (&manifest->key_index, g_hash_table_unref);
  g_free (manifest);
}

void
dp_manifest_share_routes (DpManifest *manifest, const DpManifest *other)
{
  g_ptr_array_unref (manifest->routes);
  manifest->routes = g_ptr_array_ref (other->routes);
  manifest->route_index = dp_route_index_ref (other->route_index);
}

void
dp_manifest_share_pools (DpManifest *manifest, const DpManifest *other)
{
  g_array_unref (manifest->pools);
  manifest->pools = g_array_ref (other->pools);
}

void
dp_manifest_share_workspaces (DpManifest *manifest, const DpManifest *other)
{
  g_array_unref (manifest->workspaces);
  g_array_unref (manifest->keys);
  manifest->workspaces = g_array_ref (other->workspaces);
  manifest->keys = g_array_ref (other->keys);
  manifest->key_index = g_hash_table_ref (other->key_index);
}

/* Adds the target to a group of its pool and data centre, or to a new one if they are full. */
static void
add_to_group (DpManifest *manifest, guint target_index)
{
  const DpTarget *target = DP_MANIFEST_ROW (manifest, targets, DpTarget, target_index);
  const DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, target->pool);
  const DpDataCentre *centre
    = DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, target->data_centre);
  guint shard = 0;
  for (guint i = 0; i < manifest->groups->len; i++)
    {
      DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, i);
      if (group->pool != target->pool || group->data_centre != target->data_centre)
        continue;
      shard++;
      if (group->targets->len < manifest->group_targets_max)
        {
          g_array_append_val (group->targets, target_index);
          return;
        }
    }
  DpGroup group = { .pool = target->pool, .data_centre = target->data_centre };
  group.name = dp_name_pair (dp_name_pair (pool->name, centre->name), shard + 1);
  group.targets = g_array_new (FALSE, FALSE, sizeof (guint));
  g_array_append_val (group.targets, target_index);
  g_array_append_val (manifest->groups, group);
}

/* The key of the index combines the kind and name of a row. */
static void
index_row (DpManifest *manifest, DpManifestKind kind, DpName name, guint index)
{
  guint64 *key = g_new (guint64, 1);
  *key = dp_name_pair ((DpName)kind, name);
  g_hash_table_insert (manifest->index, key, GUINT_TO_POINTER (index + 1));
}

static int
find_row (const DpManifest *manifest, DpManifestKind kind, DpName name)
{
  guint64 key = dp_name_pair ((DpName)kind, name);
  gpointer found = g_hash_table_lookup (manifest->index, &key);
  return found != NULL ? (int)GPOINTER_TO_UINT (found) - 1 : -1;
}

#define INDEX_ROWS(manifest, array, Type, kind)                                                \
  for (guint i = 0; i < (manifest)->array->len; i++)                                           \
  index_row (manifest, kind, DP_MANIFEST_ROW (manifest, array, Type, i)->name, i)

/* The strings belong to `keys`, which must live as long as the index. */
static GHashTable *
index_keys (const GArray *keys)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < keys->len; i++)
    g_hash_table_insert (index, g_array_index (keys, DpAccessKey, i).sha256,
                         GUINT_TO_POINTER (i + 1));
  return index;
}

void
dp_manifest_finish (DpManifest *manifest)
{
  if (manifest->group_targets_max == 0)
    manifest->group_targets_max = DP_GROUP_TARGETS_MAX;
  for (guint i = 0; i < manifest->targets->len; i++)
    add_to_group (manifest, i);
  manifest->index = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  INDEX_ROWS (manifest, tiers, DpTier, DP_MANIFEST_TIER);
  INDEX_ROWS (manifest, data_centres, DpDataCentre, DP_MANIFEST_DATA_CENTRE);
  INDEX_ROWS (manifest, workspaces, DpWorkspace, DP_MANIFEST_WORKSPACE);
  INDEX_ROWS (manifest, models, DpModel, DP_MANIFEST_MODEL);
  INDEX_ROWS (manifest, pools, DpPool, DP_MANIFEST_POOL);
  INDEX_ROWS (manifest, targets, DpTarget, DP_MANIFEST_TARGET);
  INDEX_ROWS (manifest, groups, DpGroup, DP_MANIFEST_GROUP);
  if (manifest->route_index == NULL)
    manifest->route_index = dp_route_index_new (manifest->routes);
  if (manifest->key_index == NULL)
    manifest->key_index = index_keys (manifest->keys);
}

int
dp_manifest_find (const DpManifest *manifest, DpManifestKind kind, DpName name)
{
  return find_row (manifest, kind, name);
}

int
dp_manifest_find_key (const DpManifest *manifest, const char *sha256)
{
  gpointer found = g_hash_table_lookup (manifest->key_index, sha256);
  return found != NULL ? (int)GPOINTER_TO_UINT (found) - 1 : -1;
}

static gboolean
matches_path_pattern (const char *pattern, const char *path)
{
  gsize length = strlen (pattern);
  if (length > 0 && pattern[length - 1] == '*')
    return strncmp (pattern, path, length - 1) == 0;
  return strcmp (pattern, path) == 0;
}

const DpCall *
dp_pool_find_call (const DpPool *pool, const char *method, const char *path)
{
  for (guint i = 0; pool->calls != NULL && i < pool->calls->len; i++)
    {
      const DpCall *call = &g_array_index (pool->calls, DpCall, i);
      if (strcmp (call->method, method) == 0 && matches_path_pattern (call->path, path))
        return call;
    }
  return NULL;
}
