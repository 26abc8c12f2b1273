/* Dispatch of events to the controllers, in a fixed order. */
#include "core/scheduler_board.h"

static void
board_clear (DpSchedulerBoard *board)
{
  dp_owners_drop_all (board);
  dp_table_unref (board->grants);
  dp_table_unref (board->targets);
  dp_table_unref (board->groups);
  g_hash_table_unref (board->grant_by_attempt);
  g_hash_table_unref (board->target_by_name);
  g_hash_table_unref (board->group_by_name);
  g_hash_table_unref (board->entries);
  g_hash_table_unref (board->lengths);
  g_hash_table_unref (board->limits);
  dp_manifest_unref (board->manifest);
  dp_view_unref (board->view);
  dp_counters_unref (board->options.counters);
  g_free (board);
}

/* A process that was paused may no longer own what it owned: its entries report again. */
static void
check_pause (DpSchedulerBoard *board)
{
  gboolean paused
    = board->last_event != 0 && board->now - board->last_event > DP_SCHEDULER_PAUSE_USEC;
  board->last_event = board->now;
  if (!paused)
    return;
  dp_scheduler_count (board, "dogwoodplank_scheduler_pauses_total", NULL, NULL);
  dp_owners_drop_all (board);
  dp_limits_forget (board);
  if (board->view != NULL)
    dp_owners_apply_view (board, board->view);
}

static void
handle_message (DpSchedulerBoard *board, DpName entry, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_ASK:
      dp_grants_ask (board, entry, &message->grant_ask);
      break;
    case DP_MESSAGE_GRANT_PROGRESS:
      dp_grants_progress (board, entry, &message->grant_progress);
      break;
    case DP_MESSAGE_GRANT_DONE:
      dp_grants_done (board, entry, &message->grant_done);
      break;
    case DP_MESSAGE_GRANT_HELD:
      dp_owners_held (board, entry, &message->grant_held);
      break;
    case DP_MESSAGE_LIMIT_ASK:
      dp_limits_ask (board, entry, &message->limit_ask);
      break;
    default:
      break;
    }
}

static void
handle_tick (DpSchedulerBoard *board)
{
  dp_owners_lapse_entries (board);
  dp_limits_tick (board);
  for (DpHandle at = dp_table_next (board->groups, 0); at != 0;
       at = dp_table_next (board->groups, at))
    {
      DpGroupState *group = dp_table_get (board->groups, at);
      if (!group->active)
        continue;
      dp_owners_tick (board, group);
      dp_targets_poll (board, group);
      if (board->options.policy != DP_POLICY_TIER_QUEUE)
        continue;
      dp_health_tick (board, group);
      dp_grants_expire (board, group);
      dp_grants_fill (board, group);
      dp_health_release_stranded (board, group);
      dp_preempt_run (board, group);
    }
}

void
dp_scheduler_count (DpSchedulerBoard *board,
                    const char *name,
                    const char *label,
                    const char *value)
{
  if (board->options.counters != NULL)
    dp_counters_add (board->options.counters, name, label, value, 1);
}

DpSchedulerAction *
dp_scheduler_send (DpSchedulerBoard *board, DpName entry, DpMessageType type)
{
  guint index = board->actions->len;
  g_array_set_size (board->actions, index + 1);
  DpSchedulerAction *action = &g_array_index (board->actions, DpSchedulerAction, index);
  action->type = DP_SCHEDULER_ACTION_SEND;
  action->to = (DpPeer){ .vm = entry, .role = DP_ROLE_ENTRY };
  action->message.type = type;
  return action;
}

DpSchedulerBoard *
dp_scheduler_board_new (const DpSchedulerOptions *options)
{
  DpSchedulerBoard *board = g_new0 (DpSchedulerBoard, 1);
  g_atomic_ref_count_init (&board->refs);
  board->options = *options;
  if (board->options.queue_max == 0)
    board->options.queue_max = DP_QUEUE_MAX;
  if (options->counters != NULL)
    dp_counters_ref (options->counters);
  board->random = options->seed;
  board->groups = dp_table_new (
    &(DpTableOptions){ .row_size = sizeof (DpGroupState), .clear_row = dp_group_state_clear });
  board->targets = dp_table_new (&(DpTableOptions){ .row_size = sizeof (DpTargetState),
                                                    .clear_row = dp_target_state_clear });
  board->grants = dp_table_new (&(DpTableOptions){ .row_size = sizeof (DpGrant) });
  board->group_by_name = g_hash_table_new (g_int64_hash, g_int64_equal);
  board->target_by_name = g_hash_table_new (g_int64_hash, g_int64_equal);
  board->grant_by_attempt = g_hash_table_new (dp_grants_hash_id, dp_grants_equal_ids);
  board->entries
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dp_entry_state_free);
  board->lengths = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  board->limits = dp_limits_new ();
  return board;
}

DpSchedulerBoard *
dp_scheduler_board_ref (DpSchedulerBoard *board)
{
  g_atomic_ref_count_inc (&board->refs);
  return board;
}

void
dp_scheduler_board_unref (DpSchedulerBoard *board)
{
  if (board == NULL || !g_atomic_ref_count_dec (&board->refs))
    return;
  board_clear (board);
}

void
dp_scheduler_handle (DpSchedulerBoard *board, const DpSchedulerEvent *event, GArray *actions)
{
  board->now = event->now;
  board->actions = actions;
  check_pause (board);
  switch (event->type)
    {
    case DP_SCHEDULER_EVENT_MANIFEST:
      dp_scheduler_apply_manifest (board, event->manifest);
      break;
    case DP_SCHEDULER_EVENT_VIEW:
      dp_owners_apply_view (board, event->view);
      break;
    case DP_SCHEDULER_EVENT_MESSAGE:
      handle_message (board, event->from.vm, event->message);
      break;
    case DP_SCHEDULER_EVENT_LOAD:
      dp_targets_load (board, &event->load);
      break;
    case DP_SCHEDULER_EVENT_TICK:
      handle_tick (board);
      break;
    }
  board->actions = NULL;
}
