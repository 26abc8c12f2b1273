#include "core/orders_private.h"

#define BACKOFF_FIRST (500 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (30 * DP_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 6

DpUsec
dp_orders_backoff (DpOrdersBoard *board, guint failures)
{
  guint doublings = MIN (failures, BACKOFF_DOUBLINGS_MAX);
  DpUsec span = MIN (BACKOFF_FIRST << doublings, BACKOFF_MAX);
  board->jitter_draws++;
  guint64 draw
    = dp_hash_bytes (&board->jitter_draws, sizeof board->jitter_draws, board->options.seed);
  return span / 2 + (DpUsec)(draw % (guint64)(span / 2));
}

DpOrdersBoard *
dp_orders_board_new (const DpOrdersOptions *options)
{
  DpOrdersBoard *board = g_new0 (DpOrdersBoard, 1);
  g_atomic_ref_count_init (&board->refs);
  board->options = *options;
  dp_counters_ref (board->options.counters);
  board->engines = g_array_new (FALSE, TRUE, sizeof (EngineRow));
  return board;
}

DpOrdersBoard *
dp_orders_board_ref (DpOrdersBoard *board)
{
  g_atomic_ref_count_inc (&board->refs);
  return board;
}

void
dp_orders_board_unref (DpOrdersBoard *board)
{
  if (board == NULL || !g_atomic_ref_count_dec (&board->refs))
    return;
  dp_manifest_unref (board->manifest);
  dp_view_unref (board->view);
  dp_counters_unref (board->options.counters);
  g_array_unref (board->engines);
  g_free (board);
}

gboolean
dp_orders_holds_lease (const DpOrdersBoard *board, DpUsec now)
{
  return board->lease.phase == LEASE_HELD && now < board->lease.valid_until;
}

static void
on_tick (DpOrdersBoard *board, DpUsec now, GArray *actions)
{
  gboolean was_paused = board->last_tick != 0 && now - board->last_tick > ORDERS_PAUSE_BOUND;
  board->last_tick = now;
  if (was_paused)
    {
      dp_counters_add (board->options.counters, "dogwoodplank_orders_pauses_total", NULL, NULL,
                       1);
      dp_orders_lease_distrust (board, now);
    }
  dp_orders_lease_on_tick (board, now, actions);
  dp_orders_engines_on_tick (board, now, actions);
}

void
dp_orders_handle (DpOrdersBoard *board, const DpOrdersEvent *event, GArray *actions)
{
  switch (event->type)
    {
    case DP_ORDERS_EVENT_MANIFEST:
      dp_manifest_unref (board->manifest);
      board->manifest = dp_manifest_ref (event->manifest);
      dp_orders_engines_rebuild (board, event->now);
      break;
    case DP_ORDERS_EVENT_VIEW:
      dp_view_unref (board->view);
      board->view = dp_view_ref (event->view);
      break;
    case DP_ORDERS_EVENT_LEASE_REPLY:
      dp_orders_lease_on_reply (board, &event->lease, event->now, actions);
      break;
    case DP_ORDERS_EVENT_TARGET_STATE:
      dp_orders_engines_on_state (board, &event->state, event->now);
      break;
    case DP_ORDERS_EVENT_ORDER_REPLY:
      dp_orders_engines_on_reply (board, &event->order, event->now);
      break;
    case DP_ORDERS_EVENT_TICK:
      on_tick (board, event->now, actions);
      break;
    }
}
