/* Groups and targets of the scheduler core, from the current manifest. */
#include "core/scheduler_private.h"

static DpGroupState *
obtain_group (DpSchedulerCore *core, DpName name)
{
  DpGroupState *group = dp_scheduler_find_group (core, name);
  if (group != NULL)
    return group;
  DpHandle handle = dp_table_add (core->groups, (void **)&group);
  group->self = handle;
  group->name = name;
  group->targets = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  group->reported = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  group->blocks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  group->waste_budget = DP_WASTE_BUDGET_INITIAL;
  dp_queue_init (group);
  g_hash_table_insert (core->group_by_name, &group->name, group);
  return group;
}

static DpTargetState *
obtain_target (DpSchedulerCore *core, DpName name)
{
  DpTargetState *target = dp_scheduler_find_target (core, name);
  if (target != NULL)
    return target;
  DpHandle handle = dp_table_add (core->targets, (void **)&target);
  target->self = handle;
  target->name = name;
  target->models = g_array_new (FALSE, FALSE, sizeof (DpName));
  target->grants = g_ptr_array_new ();
  dp_health_reset_speed (target);
  dp_prefix_init_target (target);
  g_hash_table_insert (core->target_by_name, &target->name, target);
  return target;
}

static void
configure_target (DpSchedulerCore *core, DpGroupState *group, guint index)
{
  const DpTarget *row = DP_MANIFEST_ROW (core->manifest, targets, DpTarget, index);
  DpTargetState *target = obtain_target (core, row->name);
  target->present = TRUE;
  target->index = index;
  target->group = group->self;
  target->window = row->window;
  target->prefill_speed = row->prefill_tokens_per_second;
  target->decode_speed = row->decode_tokens_per_second;
  target->stream_speed = row->stream_tokens_per_second;
  target->kv_tokens = row->kv_tokens;
  g_array_set_size (target->models, 0);
  for (guint i = 0; row->models != NULL && i < row->models->len; i++)
    {
      guint model = g_array_index (row->models, guint, i);
      DpName name = DP_MANIFEST_ROW (core->manifest, models, DpModel, model)->name;
      g_array_append_val (target->models, name);
    }
  target->index_in_group = group->targets->len;
  g_array_append_val (group->targets, target->self);
}

/* TRUE if the new manifest lists the same targets for the group, in the same order. */
static gboolean
same_targets (DpSchedulerCore *core, const DpGroupState *group, const DpGroup *row)
{
  if (group->targets->len != row->targets->len)
    return FALSE;
  for (guint i = 0; i < row->targets->len; i++)
    {
      guint index = g_array_index (row->targets, guint, i);
      const DpTarget *target = DP_MANIFEST_ROW (core->manifest, targets, DpTarget, index);
      if (dp_group_target (core, group, i)->name != target->name)
        return FALSE;
    }
  return TRUE;
}

/* The prefix cache records identify targets by their index in the group, so a group whose
 * targets or order change drops them. */
static void
drop_stale_prefixes (DpSchedulerCore *core)
{
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    {
      DpGroupState *group = dp_table_get (core->groups, at);
      int index = dp_manifest_find (core->manifest, DP_MANIFEST_GROUP, group->name);
      if (index >= 0
          && same_targets (core, group,
                           DP_MANIFEST_ROW (core->manifest, groups, DpGroup, index)))
        continue;
      for (guint i = 0; i < group->targets->len; i++)
        dp_prefix_clear_target (group, dp_group_target (core, group, i));
    }
}

static void
configure_group (DpSchedulerCore *core, const DpGroup *row)
{
  DpGroupState *group = obtain_group (core, row->name);
  group->present = TRUE;
  group->kind = DP_MANIFEST_ROW (core->manifest, pools, DpPool, row->pool)->kind;
  group->data_centre
    = DP_MANIFEST_ROW (core->manifest, data_centres, DpDataCentre, row->data_centre)->name;
  g_array_set_size (group->targets, 0);
  for (guint i = 0; i < row->targets->len; i++)
    configure_target (core, group, g_array_index (row->targets, guint, i));
}

static void
mark_all_absent (DpSchedulerCore *core)
{
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    ((DpGroupState *)dp_table_get (core->groups, at))->present = FALSE;
  for (DpHandle at = dp_table_next (core->targets, 0); at != 0;
       at = dp_table_next (core->targets, at))
    ((DpTargetState *)dp_table_get (core->targets, at))->present = FALSE;
}

/* Moves requests to their tier's index in the new manifest. Those of a removed tier move to the
 * lowest tier. */
static void
renumber_tiers (DpSchedulerCore *core)
{
  for (DpHandle at = dp_table_next (core->grants, 0); at != 0;
       at = dp_table_next (core->grants, at))
    {
      DpGrant *grant = dp_table_get (core->grants, at);
      int tier = dp_manifest_find (core->manifest, DP_MANIFEST_TIER, grant->tier_name);
      guint wanted = tier >= 0 ? (guint)tier : core->tier_count - 1;
      if (wanted == grant->tier)
        continue;
      DpGroupState *group = dp_table_get (core->groups, grant->group);
      if (grant->state == DP_GRANT_WAITING)
        {
          dp_queue_remove (core, group, grant);
          grant->tier = wanted;
          dp_queue_push (core, group, grant);
          continue;
        }
      group->running[grant->tier] -= 1;
      grant->tier = wanted;
      group->running[grant->tier] += 1;
    }
}

/* Revokes the waiting requests of groups that the manifest no longer has. */
static void
drop_absent_groups (DpSchedulerCore *core)
{
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    {
      DpGroupState *group = dp_table_get (core->groups, at);
      if (group->present)
        continue;
      group->is_first = FALSE;
      while (!g_sequence_is_empty (group->by_latest_start))
        {
          GSequenceIter *first = g_sequence_get_begin_iter (group->by_latest_start);
          dp_grants_revoke (core, g_sequence_get (first), DP_REASON_NO_TARGET);
        }
    }
}

void
dp_group_state_clear (void *row)
{
  DpGroupState *group = row;
  dp_queue_clear (group);
  g_hash_table_unref (group->blocks);
  g_hash_table_unref (group->reported);
  g_array_unref (group->targets);
}

void
dp_target_state_clear (void *row)
{
  DpTargetState *target = row;
  g_array_unref (target->models);
  g_ptr_array_unref (target->grants);
  g_hash_table_unref (target->cached);
}

DpGroupState *
dp_scheduler_find_group (DpSchedulerCore *core, DpName name)
{
  return g_hash_table_lookup (core->group_by_name, &name);
}

DpTargetState *
dp_scheduler_find_target (DpSchedulerCore *core, DpName name)
{
  return g_hash_table_lookup (core->target_by_name, &name);
}

DpTargetState *
dp_group_target (DpSchedulerCore *core, const DpGroupState *group, guint index)
{
  return dp_table_get (core->targets, g_array_index (group->targets, DpHandle, index));
}

void
dp_scheduler_apply_manifest (DpSchedulerCore *core, DpManifest *manifest)
{
  DpManifest *previous = core->manifest;
  core->manifest = dp_manifest_ref (manifest);
  dp_manifest_unref (previous);
  core->tier_count = MIN (manifest->tiers->len, DP_TIERS_MAX);
  drop_stale_prefixes (core);
  mark_all_absent (core);
  for (guint i = 0; i < manifest->groups->len; i++)
    configure_group (core, DP_MANIFEST_ROW (manifest, groups, DpGroup, i));
  renumber_tiers (core);
  drop_absent_groups (core);
  if (core->view != NULL)
    dp_owners_apply_view (core, core->view);
}
