/* Event dispatch and lifetime of the orders core. */
#include "core/orders_private.h"

#define BACKOFF_MIN (500 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (30 * DP_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 6

DpUsec
dp_orders_backoff (DpOrdersCore *core, guint failures)
{
  guint doublings = MIN (failures, BACKOFF_DOUBLINGS_MAX);
  DpUsec backoff = MIN (BACKOFF_MIN << doublings, BACKOFF_MAX);
  core->jitter_draws++;
  guint64 draw
    = dp_hash_bytes (&core->jitter_draws, sizeof core->jitter_draws, core->options.seed);
  return backoff / 2 + (DpUsec)(draw % (guint64)(backoff / 2));
}

DpOrdersCore *
dp_orders_core_new (const DpOrdersOptions *options)
{
  DpOrdersCore *core = g_new0 (DpOrdersCore, 1);
  g_atomic_ref_count_init (&core->refs);
  core->options = *options;
  dp_counters_ref (core->options.counters);
  core->engines = g_array_new (FALSE, TRUE, sizeof (EngineRow));
  return core;
}

DpOrdersCore *
dp_orders_core_ref (DpOrdersCore *core)
{
  g_atomic_ref_count_inc (&core->refs);
  return core;
}

void
dp_orders_core_unref (DpOrdersCore *core)
{
  if (core == NULL || !g_atomic_ref_count_dec (&core->refs))
    return;
  dp_manifest_unref (core->manifest);
  dp_view_unref (core->view);
  dp_counters_unref (core->options.counters);
  g_array_unref (core->engines);
  g_free (core);
}

gboolean
dp_orders_holds_lease (const DpOrdersCore *core, DpUsec now)
{
  return core->lease.phase == LEASE_HELD && now < core->lease.valid_until;
}

static void
on_tick (DpOrdersCore *core, DpUsec now, GArray *actions)
{
  gboolean was_paused = core->last_tick != 0 && now - core->last_tick > ORDERS_PAUSE_MIN;
  core->last_tick = now;
  if (was_paused)
    {
      dp_counters_add (core->options.counters, "dogwoodplank_orders_pauses_total", NULL, NULL,
                       1);
      dp_orders_lease_invalidate (core, now);
    }
  dp_orders_lease_on_tick (core, now, actions);
  dp_orders_engines_on_tick (core, now, actions);
}

void
dp_orders_handle (DpOrdersCore *core, const DpOrdersEvent *event, GArray *actions)
{
  switch (event->type)
    {
    case DP_ORDERS_EVENT_MANIFEST:
      dp_manifest_unref (core->manifest);
      core->manifest = dp_manifest_ref (event->manifest);
      dp_orders_engines_rebuild (core, event->now);
      break;
    case DP_ORDERS_EVENT_VIEW:
      dp_view_unref (core->view);
      core->view = dp_view_ref (event->view);
      break;
    case DP_ORDERS_EVENT_LEASE_REPLY:
      dp_orders_lease_on_reply (core, &event->lease, event->now, actions);
      break;
    case DP_ORDERS_EVENT_ENGINE_STATE:
      dp_orders_engines_on_state (core, &event->state, event->now);
      break;
    case DP_ORDERS_EVENT_ORDER_REPLY:
      dp_orders_engines_on_reply (core, &event->order, event->now);
      break;
    case DP_ORDERS_EVENT_TICK:
      on_tick (core, event->now, actions);
      break;
    }
}
