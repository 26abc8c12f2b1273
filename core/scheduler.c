/* Life cycle of the scheduler core and dispatch of its events. */
#include "core/scheduler_private.h"

static void
core_free (DpSchedulerCore *core)
{
  dp_owners_reset (core);
  dp_table_unref (core->grants);
  dp_table_unref (core->targets);
  dp_table_unref (core->groups);
  g_hash_table_unref (core->grant_by_attempt);
  g_hash_table_unref (core->target_by_name);
  g_hash_table_unref (core->group_by_name);
  g_hash_table_unref (core->entries);
  g_hash_table_unref (core->output_lengths);
  g_hash_table_unref (core->limits);
  dp_manifest_unref (core->manifest);
  dp_view_unref (core->view);
  dp_counters_unref (core->options.counters);
  g_free (core);
}

/* While the process was paused its groups may have got other owners and its grants may have
 * ended: drops all state, which the entries' reports rebuild. */
static void
reset_after_pause (DpSchedulerCore *core)
{
  gboolean paused
    = core->last_event != 0 && core->now - core->last_event > DP_SCHEDULER_PAUSE_MIN_USEC;
  core->last_event = core->now;
  if (!paused)
    return;
  dp_scheduler_count (core, "dogwoodplank_scheduler_pauses_total", NULL, NULL);
  dp_owners_reset (core);
  dp_limits_reset (core);
  if (core->view != NULL)
    dp_owners_apply_view (core, core->view);
}

static void
handle_message (DpSchedulerCore *core, DpName entry, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_ASK:
      dp_grants_on_ask (core, entry, &message->grant_ask);
      break;
    case DP_MESSAGE_GRANT_PROGRESS:
      dp_grants_on_progress (core, entry, &message->grant_progress);
      break;
    case DP_MESSAGE_GRANT_DONE:
      dp_grants_on_done (core, entry, &message->grant_done);
      break;
    case DP_MESSAGE_GRANT_HELD:
      dp_owners_on_report (core, entry, &message->grant_held);
      break;
    case DP_MESSAGE_LIMIT_ASK:
      dp_limits_ask (core, entry, &message->limit_ask);
      break;
    default:
      break;
    }
}

static void
handle_tick (DpSchedulerCore *core)
{
  dp_owners_expire_entries (core);
  dp_limits_tick (core);
  for (DpHandle at = dp_table_next (core->groups, 0); at != 0;
       at = dp_table_next (core->groups, at))
    {
      DpGroupState *group = dp_table_get (core->groups, at);
      if (!group->active)
        continue;
      dp_owners_tick (core, group);
      dp_targets_poll (core, group);
      if (core->options.policy != DP_POLICY_TIER_QUEUE)
        continue;
      dp_health_tick (core, group);
      dp_grants_expire (core, group);
      dp_grants_fill (core, group);
      dp_health_revoke_unservable (core, group);
      dp_preempt_run (core, group);
    }
}

void
dp_scheduler_count (DpSchedulerCore *core,
                    const char *name,
                    const char *label,
                    const char *value)
{
  if (core->options.counters != NULL)
    dp_counters_add (core->options.counters, name, label, value, 1);
}

DpSchedulerAction *
dp_scheduler_send (DpSchedulerCore *core, DpName entry, DpMessageType type)
{
  guint index = core->actions->len;
  g_array_set_size (core->actions, index + 1);
  DpSchedulerAction *action = &g_array_index (core->actions, DpSchedulerAction, index);
  action->type = DP_SCHEDULER_ACTION_SEND;
  action->to = (DpPeer){ .vm = entry, .role = DP_ROLE_ENTRY };
  action->message.type = type;
  return action;
}

DpSchedulerCore *
dp_scheduler_core_new (const DpSchedulerOptions *options)
{
  DpSchedulerCore *core = g_new0 (DpSchedulerCore, 1);
  g_atomic_ref_count_init (&core->refs);
  core->options = *options;
  if (core->options.queue_max == 0)
    core->options.queue_max = DP_QUEUE_MAX;
  if (options->counters != NULL)
    dp_counters_ref (options->counters);
  core->random = options->seed;
  core->groups = dp_table_new (
    &(DpTableOptions){ .row_size = sizeof (DpGroupState), .clear_row = dp_group_state_clear });
  core->targets = dp_table_new (&(DpTableOptions){ .row_size = sizeof (DpTargetState),
                                                   .clear_row = dp_target_state_clear });
  core->grants = dp_table_new (&(DpTableOptions){ .row_size = sizeof (DpGrant) });
  core->group_by_name = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->target_by_name = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->grant_by_attempt = g_hash_table_new (dp_grants_hash_id, dp_grants_equal_ids);
  core->entries
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dp_entry_state_free);
  core->output_lengths = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->limits = dp_limits_new ();
  return core;
}

DpSchedulerCore *
dp_scheduler_core_ref (DpSchedulerCore *core)
{
  g_atomic_ref_count_inc (&core->refs);
  return core;
}

void
dp_scheduler_core_unref (DpSchedulerCore *core)
{
  if (core == NULL || !g_atomic_ref_count_dec (&core->refs))
    return;
  core_free (core);
}

void
dp_scheduler_handle (DpSchedulerCore *core, const DpSchedulerEvent *event, GArray *actions)
{
  core->now = event->now;
  core->actions = actions;
  reset_after_pause (core);
  switch (event->type)
    {
    case DP_SCHEDULER_EVENT_MANIFEST:
      dp_scheduler_apply_manifest (core, event->manifest);
      break;
    case DP_SCHEDULER_EVENT_VIEW:
      dp_owners_apply_view (core, event->view);
      break;
    case DP_SCHEDULER_EVENT_MESSAGE:
      handle_message (core, event->from.vm, event->message);
      break;
    case DP_SCHEDULER_EVENT_LOAD:
      dp_targets_on_load (core, &event->load);
      break;
    case DP_SCHEDULER_EVENT_TICK:
      handle_tick (core);
      break;
    }
  core->actions = NULL;
}
