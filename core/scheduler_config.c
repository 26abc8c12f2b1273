/* Groups and targets of the board, from the manifest in force. */
#include "core/scheduler_board.h"

static DpGroupState *
obtain_group (DpSchedulerBoard *board, DpName name)
{
  DpGroupState *group = dp_scheduler_find_group (board, name);
  if (group != NULL)
    return group;
  DpHandle handle = dp_table_add (board->groups, (void **)&group);
  group->self = handle;
  group->name = name;
  group->targets = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  group->reported = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  group->blocks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  group->waste_budget = DP_WASTE_BUDGET_START;
  dp_queue_init (group);
  g_hash_table_insert (board->group_by_name, &group->name, group);
  return group;
}

static DpTargetState *
obtain_target (DpSchedulerBoard *board, DpName name)
{
  DpTargetState *target = dp_scheduler_find_target (board, name);
  if (target != NULL)
    return target;
  DpHandle handle = dp_table_add (board->targets, (void **)&target);
  target->self = handle;
  target->name = name;
  target->models = g_array_new (FALSE, FALSE, sizeof (DpName));
  target->grants = g_ptr_array_new ();
  dp_health_reset_speed (target);
  dp_prefix_init_target (target);
  g_hash_table_insert (board->target_by_name, &target->name, target);
  return target;
}

static void
configure_target (DpSchedulerBoard *board, DpGroupState *group, guint index)
{
  const DpTarget *row = DP_MANIFEST_ROW (board->manifest, targets, DpTarget, index);
  DpTargetState *target = obtain_target (board, row->name);
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
      DpName name = DP_MANIFEST_ROW (board->manifest, models, DpModel, model)->name;
      g_array_append_val (target->models, name);
    }
  target->place = group->targets->len;
  g_array_append_val (group->targets, target->self);
}

/* TRUE if the group's targets and their places stay as they are. */
static gboolean
same_targets (DpSchedulerBoard *board, const DpGroupState *group, const DpGroup *row)
{
  if (group->targets->len != row->targets->len)
    return FALSE;
  for (guint i = 0; i < row->targets->len; i++)
    {
      guint index = g_array_index (row->targets, guint, i);
      const DpTarget *target = DP_MANIFEST_ROW (board->manifest, targets, DpTarget, index);
      if (dp_group_target (board, group, i)->name != target->name)
        return FALSE;
    }
  return TRUE;
}

/* The prefix record counts targets by their place: a group whose places change loses it. */
static void
forget_changed_places (DpSchedulerBoard *board)
{
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    {
      DpGroupState *group = dp_table_get (board->groups, at);
      int index = dp_manifest_find (board->manifest, DP_MANIFEST_GROUP, group->name);
      if (index >= 0
          && same_targets (board, group,
                           DP_MANIFEST_ROW (board->manifest, groups, DpGroup, index)))
        continue;
      for (guint i = 0; i < group->targets->len; i++)
        dp_prefix_forget (group, dp_group_target (board, group, i));
    }
}

static void
configure_group (DpSchedulerBoard *board, const DpGroup *row)
{
  DpGroupState *group = obtain_group (board, row->name);
  group->present = TRUE;
  group->kind = DP_MANIFEST_ROW (board->manifest, pools, DpPool, row->pool)->kind;
  group->data_centre
    = DP_MANIFEST_ROW (board->manifest, data_centres, DpDataCentre, row->data_centre)->name;
  g_array_set_size (group->targets, 0);
  for (guint i = 0; i < row->targets->len; i++)
    configure_target (board, group, g_array_index (row->targets, guint, i));
}

static void
mark_all_absent (DpSchedulerBoard *board)
{
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    ((DpGroupState *)dp_table_get (board->groups, at))->present = FALSE;
  for (DpHandle at = dp_table_next (board->targets, 0); at != 0;
       at = dp_table_next (board->targets, at))
    ((DpTargetState *)dp_table_get (board->targets, at))->present = FALSE;
}

/* Tiers may have been added or moved: what waits is queued anew under its tier's new index. */
static void
renumber_tiers (DpSchedulerBoard *board)
{
  for (DpHandle at = dp_table_next (board->grants, 0); at != 0;
       at = dp_table_next (board->grants, at))
    {
      DpGrant *grant = dp_table_get (board->grants, at);
      int tier = dp_manifest_find (board->manifest, DP_MANIFEST_TIER, grant->tier_name);
      guint wanted = tier >= 0 ? (guint)tier : board->tier_count - 1;
      if (wanted == grant->tier)
        continue;
      DpGroupState *group = dp_table_get (board->groups, grant->group);
      if (grant->state == DP_GRANT_WAITING)
        {
          dp_queue_remove (board, group, grant);
          grant->tier = wanted;
          dp_queue_push (board, group, grant);
          continue;
        }
      group->running[grant->tier] -= 1;
      grant->tier = wanted;
      group->running[grant->tier] += 1;
    }
}

static void
drop_absent_groups (DpSchedulerBoard *board)
{
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    {
      DpGroupState *group = dp_table_get (board->groups, at);
      if (group->present)
        continue;
      group->is_first = FALSE;
      while (!g_sequence_is_empty (group->by_latest_start))
        {
          GSequenceIter *first = g_sequence_get_begin_iter (group->by_latest_start);
          dp_grants_revoke (board, g_sequence_get (first), DP_REASON_NO_TARGET);
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
dp_scheduler_find_group (DpSchedulerBoard *board, DpName name)
{
  return g_hash_table_lookup (board->group_by_name, &name);
}

DpTargetState *
dp_scheduler_find_target (DpSchedulerBoard *board, DpName name)
{
  return g_hash_table_lookup (board->target_by_name, &name);
}

DpTargetState *
dp_group_target (DpSchedulerBoard *board, const DpGroupState *group, guint place)
{
  return dp_table_get (board->targets, g_array_index (group->targets, DpHandle, place));
}

void
dp_scheduler_apply_manifest (DpSchedulerBoard *board, DpManifest *manifest)
{
  DpManifest *previous = board->manifest;
  board->manifest = dp_manifest_ref (manifest);
  dp_manifest_unref (previous);
  board->tier_count = MIN (manifest->tiers->len, DP_TIERS_MAX);
  forget_changed_places (board);
  mark_all_absent (board);
  for (guint i = 0; i < manifest->groups->len; i++)
    configure_group (board, DP_MANIFEST_ROW (manifest, groups, DpGroup, i));
  renumber_tiers (board);
  drop_absent_groups (board);
  if (board->view != NULL)
    dp_owners_apply_view (board, board->view);
}
