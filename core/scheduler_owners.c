/* Ownership of groups, reports and expiry of entries, adverts. */
#include "core/scheduler_private.h"

static DpName *
copy_name (DpName name)
{
  DpName *copy = g_new (DpName, 1);
  *copy = name;
  return copy;
}

/* First VM in rendezvous order for the group: of the group's data centre, or of all if it has
 * no live one. */
static DpName
first_owner (const DpSchedulerCore *core, const DpGroupState *group)
{
  const DpVm *first;
  if (dp_view_rank (core->view, group->name, group->data_centre, &first, 1) == 1
      && first->state == DP_VM_LIVE)
    return first->name;
  if (dp_view_rank (core->view, group->name, 0, &first, 1) == 1)
    return first->name;
  return 0;
}

static void
deactivate (DpSchedulerCore *core, DpGroupState *group)
{
  group->active = FALSE;
  group->is_synced = FALSE;
  g_hash_table_remove_all (group->reported);
}

/* Another VM owns the group now: the waiting requests are revoked, so that their entries send
 * them to that VM. */
static void
revoke_queue (DpSchedulerCore *core, DpGroupState *group)
{
  while (!g_sequence_is_empty (group->by_latest_start))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (group->by_latest_start);
      dp_grants_revoke (core, g_sequence_get (first), DP_REASON_NO_OWNER);
    }
}

static gboolean
all_live_entries_reported (const DpSchedulerCore *core, const DpGroupState *group)
{
  if (core->view == NULL)
    return FALSE;
  for (guint i = 0; i < core->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (core->view->vms, DpVm, i);
      if (vm->state != DP_VM_LIVE && vm->state != DP_VM_LEAVING)
        continue;
      if (!g_hash_table_contains (group->reported, &vm->name))
        return FALSE;
    }
  return TRUE;
}

static gboolean
has_grants (const DpGroupState *group)
{
  guint running = 0;
  for (guint i = 0; i < DP_TIERS_MAX; i++)
    running += group->running[i];
  return running + group->waiting > 0;
}

/* Grants that are missing from their entry's complete report have ended. */
static void
remove_unreported (DpSchedulerCore *core, DpGroupState *group, DpEntryState *entry)
{
  GList *next;
  for (GList *link = entry->grants.head; link != NULL; link = next)
    {
      DpGrant *grant = link->data;
      next = link->next;
      DpUsec since = MAX (grant->arrived, grant->granted_at);
      if (grant->group != group->self || core->now - since < DP_HELD_GRACE_USEC)
        continue;
      if (!g_hash_table_contains (entry->report, &grant->attempt))
        dp_grants_remove (core, grant);
    }
}

static void
remove_entry_grants (DpSchedulerCore *core, DpEntryState *entry)
{
  while (!g_queue_is_empty (&entry->grants))
    dp_grants_remove (core, g_queue_peek_head (&entry->grants));
}

static void
handle_held_row (DpSchedulerCore *core,
                 DpGroupState *group,
                 DpEntryState *entry,
                 const DpHeldGrant *held)
{
  DpId *attempt = g_new (DpId, 1);
  *attempt = held->attempt;
  g_hash_table_add (entry->report, attempt);
  DpGrant *grant = dp_grants_find (core, held->attempt);
  if (grant == NULL && held->target != 0)
    {
      dp_grants_adopt (core, group, entry->vm, held);
      return;
    }
  if (grant == NULL)
    {
      DpSchedulerAction *action = dp_scheduler_send (core, entry->vm, DP_MESSAGE_GRANT_REVOKED);
      action->message.grant_revoked = (DpGrantRevoked){ .attempt = held->attempt,
                                                        .group = group->name,
                                                        .reason = DP_REASON_NO_OWNER };
    }
}

void
dp_entry_state_free (gpointer data)
{
  DpEntryState *entry = data;
  g_hash_table_unref (entry->adverts);
  g_hash_table_unref (entry->report);
  g_free (entry);
}

DpEntryState *
dp_owners_obtain_entry (DpSchedulerCore *core, DpName vm)
{
  DpEntryState *entry = g_hash_table_lookup (core->entries, &vm);
  if (entry != NULL)
    return entry;
  entry = g_new0 (DpEntryState, 1);
  entry->vm = vm;
  entry->last_seen = core->now;
  entry->adverts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  entry->report = g_hash_table_new_full (dp_grants_hash_id, dp_grants_equal_ids, g_free, NULL);
  g_hash_table_insert (core->entries, &entry->vm, entry);
  return entry;
}

void
dp_owners_apply_view (DpSchedulerCore *core, DpView *view)
{
  DpView *previous = core->view;
  core->view = dp_view_ref (view);
  dp_view_unref (previous);
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    {
      DpGroupState *group = dp_table_get (core->groups, at);
      gboolean was_first = group->is_first;
      gboolean first = core->options.policy != DP_POLICY_TIER_QUEUE
                       || first_owner (core, group) == core->options.vm;
      group->is_first = group->present && first;
      if (group->is_first)
        dp_owners_activate (core, group);
      else if (was_first)
        revoke_queue (core, group);
    }
}

void
dp_owners_activate (DpSchedulerCore *core, DpGroupState *group)
{
  if (group->active)
    return;
  group->active = TRUE;
  group->is_synced = FALSE;
  group->active_since = core->now;
}

void
dp_owners_reset (DpSchedulerCore *core)
{
  for (DpHandle at = dp_table_next (core->grants, 0); at != 0;
       at = dp_table_next (core->grants, at))
    dp_grants_remove (core, dp_table_get (core->grants, at));
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    deactivate (core, dp_table_get (core->groups, at));
}

void
dp_owners_tick (DpSchedulerCore *core, DpGroupState *group)
{
  gboolean is_complete = core->now - group->active_since >= DP_OWNER_SYNC_TIMEOUT_USEC
                         || all_live_entries_reported (core, group);
  if (!group->is_synced && is_complete)
    group->is_synced = TRUE;
  if (!group->is_first && group->is_synced && !has_grants (group))
    deactivate (core, group);
}

void
dp_owners_on_report (DpSchedulerCore *core, DpName from, const DpGrantHeld *held)
{
  DpGroupState *group = dp_scheduler_find_group (core, held->group);
  if (group == NULL)
    return;
  DpEntryState *entry = dp_owners_obtain_entry (core, from);
  entry->last_seen = core->now;
  dp_owners_activate (core, group);
  if (held->part == 0)
    g_hash_table_remove_all (entry->report);
  for (guint i = 0; i < MIN (held->count, DP_HELD_GRANTS_MAX); i++)
    handle_held_row (core, group, entry, &held->held[i]);
  if (held->last)
    {
      remove_unreported (core, group, entry);
      g_hash_table_remove_all (entry->report);
      g_hash_table_add (group->reported, copy_name (from));
      dp_grants_fill (core, group);
    }
  dp_owners_send_advert (core, group, from, TRUE);
}

void
dp_owners_expire_entries (DpSchedulerCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpEntryState *entry = value;
      if (core->now - entry->last_seen < DP_ENTRY_TIMEOUT_USEC)
        continue;
      remove_entry_grants (core, entry);
      g_hash_table_iter_remove (&iter);
    }
}

void
dp_owners_send_advert (DpSchedulerCore *core,
                       const DpGroupState *group,
                       DpName to,
                       gboolean always)
{
  DpEntryState *entry = dp_owners_obtain_entry (core, to);
  DpUsec *last = g_hash_table_lookup (entry->adverts, &group->name);
  if (!always && last != NULL && core->now - *last < DP_ADVERT_INTERVAL_USEC)
    return;
  if (last == NULL)
    {
      last = g_new (DpUsec, 1);
      g_hash_table_insert (entry->adverts, copy_name (group->name), last);
    }
  *last = core->now;
  DpSchedulerAction *action = dp_scheduler_send (core, to, DP_MESSAGE_ADVERT);
  DpAdvert *advert = &action->message.advert;
  advert->group = group->name;
  advert->tier_count = MIN (core->tier_count, DP_ADVERT_TIERS_MAX);
  advert->wait = dp_estimate_drain_time (group, MAX (core->tier_count, 1) - 1);
  for (guint i = 0; i < advert->tier_count; i++)
    {
      advert->running[i] = group->running[i];
      advert->waiting[i] = group->tiers[i].waiting;
    }
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (core, group, i);
      guint window = dp_target_window (target);
      if (target->present && target->health == DP_HEALTH_GOOD && window > target->grants->len)
        advert->free_slots += window - target->grants->len;
    }
}
