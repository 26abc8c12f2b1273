/* Ownership of groups, entries' reports and lapse, adverts. */
#include "core/scheduler_board.h"

static DpName *
copy_name (DpName name)
{
  DpName *copy = g_new (DpName, 1);
  *copy = name;
  return copy;
}

/* First VM in rendezvous order for the group: of its data centre, or of any if it has none. */
static DpName
first_owner (const DpSchedulerBoard *board, const DpGroupState *group)
{
  const DpVm *first;
  if (dp_view_rank (board->view, group->name, group->data_centre, &first, 1) == 1
      && first->state == DP_VM_LIVE)
    return first->name;
  if (dp_view_rank (board->view, group->name, 0, &first, 1) == 1)
    return first->name;
  return 0;
}

static void
deactivate (DpSchedulerBoard *board, DpGroupState *group)
{
  group->active = FALSE;
  group->settled = FALSE;
  g_hash_table_remove_all (group->reported);
}

/* Another VM owns the group now: what waits here asks there. */
static void
hand_over_queue (DpSchedulerBoard *board, DpGroupState *group)
{
  while (!g_sequence_is_empty (group->by_latest_start))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (group->by_latest_start);
      dp_grants_revoke (board, g_sequence_get (first), DP_REASON_NO_OWNER);
    }
}

static gboolean
all_live_entries_reported (const DpSchedulerBoard *board, const DpGroupState *group)
{
  if (board->view == NULL)
    return FALSE;
  for (guint i = 0; i < board->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (board->view->vms, DpVm, i);
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

/* Grants that a complete report of their entry does not name are over. */
static void
drop_unreported (DpSchedulerBoard *board, DpGroupState *group, DpEntryState *entry)
{
  GList *next;
  for (GList *link = entry->grants.head; link != NULL; link = next)
    {
      DpGrant *grant = link->data;
      next = link->next;
      DpUsec since = MAX (grant->arrived, grant->granted_at);
      if (grant->group != group->self || board->now - since < DP_HELD_GRACE_USEC)
        continue;
      if (!g_hash_table_contains (entry->report, &grant->attempt))
        dp_grants_forget (board, grant);
    }
}

static void
drop_entry_grants (DpSchedulerBoard *board, DpEntryState *entry)
{
  while (!g_queue_is_empty (&entry->grants))
    dp_grants_forget (board, g_queue_peek_head (&entry->grants));
}

static void
handle_held_row (DpSchedulerBoard *board,
                 DpGroupState *group,
                 DpEntryState *entry,
                 const DpHeld *held)
{
  DpId *attempt = g_new (DpId, 1);
  *attempt = held->attempt;
  g_hash_table_add (entry->report, attempt);
  DpGrant *known = dp_grants_find (board, held->attempt);
  if (known == NULL && held->target != 0)
    {
      dp_grants_adopt (board, group, entry->vm, held);
      return;
    }
  if (known == NULL)
    {
      DpSchedulerAction *action
        = dp_scheduler_send (board, entry->vm, DP_MESSAGE_GRANT_REVOKED);
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
dp_owners_entry (DpSchedulerBoard *board, DpName vm)
{
  DpEntryState *entry = g_hash_table_lookup (board->entries, &vm);
  if (entry != NULL)
    return entry;
  entry = g_new0 (DpEntryState, 1);
  entry->vm = vm;
  entry->last_seen = board->now;
  entry->adverts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  entry->report = g_hash_table_new_full (dp_grants_hash_id, dp_grants_equal_ids, g_free, NULL);
  g_hash_table_insert (board->entries, &entry->vm, entry);
  return entry;
}

void
dp_owners_apply_view (DpSchedulerBoard *board, DpView *view)
{
  DpView *previous = board->view;
  board->view = dp_view_ref (view);
  dp_view_unref (previous);
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    {
      DpGroupState *group = dp_table_get (board->groups, at);
      gboolean was_first = group->is_first;
      gboolean first = board->options.policy != DP_POLICY_TIER_QUEUE
                       || first_owner (board, group) == board->options.vm;
      group->is_first = group->present && first;
      if (group->is_first)
        dp_owners_activate (board, group);
      else if (was_first)
        hand_over_queue (board, group);
    }
}

void
dp_owners_activate (DpSchedulerBoard *board, DpGroupState *group)
{
  if (group->active)
    return;
  group->active = TRUE;
  group->settled = FALSE;
  group->active_since = board->now;
}

void
dp_owners_drop_all (DpSchedulerBoard *board)
{
  for (DpHandle at = dp_table_next (board->grants, 0); at != 0;
       at = dp_table_next (board->grants, at))
    dp_grants_forget (board, dp_table_get (board->grants, at));
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    deactivate (board, dp_table_get (board->groups, at));
}

void
dp_owners_tick (DpSchedulerBoard *board, DpGroupState *group)
{
  gboolean learned = board->now - group->active_since >= DP_OWNER_LEARN_USEC
                     || all_live_entries_reported (board, group);
  if (!group->settled && learned)
    group->settled = TRUE;
  if (!group->is_first && group->settled && !has_grants (group))
    deactivate (board, group);
}

void
dp_owners_held (DpSchedulerBoard *board, DpName from, const DpGrantHeld *held)
{
  DpGroupState *group = dp_scheduler_find_group (board, held->group);
  if (group == NULL)
    return;
  DpEntryState *entry = dp_owners_entry (board, from);
  entry->last_seen = board->now;
  dp_owners_activate (board, group);
  if (held->part == 0)
    g_hash_table_remove_all (entry->report);
  for (guint i = 0; i < MIN (held->count, DP_HELD_MAX); i++)
    handle_held_row (board, group, entry, &held->held[i]);
  if (held->last)
    {
      drop_unreported (board, group, entry);
      g_hash_table_remove_all (entry->report);
      g_hash_table_add (group->reported, copy_name (from));
      dp_grants_fill (board, group);
    }
  dp_owners_advert (board, group, from, TRUE);
}

void
dp_owners_lapse_entries (DpSchedulerBoard *board)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, board->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpEntryState *entry = value;
      if (board->now - entry->last_seen < DP_ENTRY_LAPSE_USEC)
        continue;
      drop_entry_grants (board, entry);
      g_hash_table_iter_remove (&iter);
    }
}

void
dp_owners_advert (DpSchedulerBoard *board,
                  const DpGroupState *group,
                  DpName to,
                  gboolean always)
{
  DpEntryState *entry = dp_owners_entry (board, to);
  DpUsec *last = g_hash_table_lookup (entry->adverts, &group->name);
  if (!always && last != NULL && board->now - *last < DP_ADVERT_USEC)
    return;
  if (last == NULL)
    {
      last = g_new (DpUsec, 1);
      g_hash_table_insert (entry->adverts, copy_name (group->name), last);
    }
  *last = board->now;
  DpSchedulerAction *action = dp_scheduler_send (board, to, DP_MESSAGE_ADVERT);
  DpAdvert *advert = &action->message.advert;
  advert->group = group->name;
  advert->tier_count = MIN (board->tier_count, DP_ADVERT_TIERS_MAX);
  advert->wait = dp_estimate_drain (group, MAX (board->tier_count, 1) - 1);
  for (guint i = 0; i < advert->tier_count; i++)
    {
      advert->running[i] = group->running[i];
      advert->waiting[i] = group->tiers[i].waiting;
    }
  for (guint i = 0; i < group->targets->len; i++)
    {
      const DpTargetState *target = dp_group_target (board, group, i);
      guint window = dp_target_window (target);
      if (target->present && target->health == DP_HEALTH_GOOD && window > target->grants->len)
        advert->free_slots += window - target->grants->len;
    }
}
