/* What each engine is told to carry: one change at a time, loads before unloads. */
#include "core/orders_private.h"

#include <string.h>

#define STATE_READ_EVERY (5 * DP_USEC_PER_SEC)
/* Older read-backs say nothing of whether a copy is still warm. */
#define STATE_FRESH (12 * DP_USEC_PER_SEC)
/* An order names what the engine has. If it restarted since it was read, the order would load
 * all of that at once, so it is read directly before. */
#define STATE_FRESH_FOR_ORDER (500 * DP_USEC_PER_MSEC)
#define STATE_READ_TIMEOUT (1 * DP_USEC_PER_SEC)
/* An order whose effect is not read back by then has failed. */
#define LOAD_TIMEOUT (600 * DP_USEC_PER_SEC)
#define ORDER_REPLY_TIMEOUT (10 * DP_USEC_PER_SEC)
/* The weight store serves a data centre this many loads a minute, after a burst. */
#define LOADS_PER_MINUTE 6
#define LOADS_BURST 2
/* Loads under way at once in a data centre. */
#define LOADS_AT_ONCE 2
#define TOKENS_PER_LOAD 1000

static void
count (DpOrdersBoard *board, const char *event)
{
  dp_counters_add (board->options.counters, "dogwoodplank_orders_total", "event", event, 1);
}

static EngineRow *
find_engine (DpOrdersBoard *board, DpName name)
{
  for (guint i = 0; i < board->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (board->engines, EngineRow, i);
      if (engine->name == name)
        return engine;
    }
  return NULL;
}

static gboolean
carries (const EngineRow *engine, DpName model)
{
  for (guint i = 0; i < engine->model_count; i++)
    {
      if (engine->models[i] == model)
        return TRUE;
    }
  return FALSE;
}

static const DpTarget *
wish_of (const DpOrdersBoard *board, const EngineRow *engine)
{
  return DP_MANIFEST_ROW (board->manifest, targets, DpTarget, engine->target);
}

static DpName
wished_model (const DpOrdersBoard *board, const DpTarget *wish, guint place)
{
  guint model = g_array_index (wish->models, guint, place);
  return DP_MANIFEST_ROW (board->manifest, models, DpModel, model)->name;
}

static gboolean
is_wished (const DpOrdersBoard *board, const EngineRow *engine, DpName model)
{
  const DpTarget *wish = wish_of (board, engine);
  for (guint i = 0; i < wish->models->len; i++)
    {
      if (wished_model (board, wish, i) == model)
        return TRUE;
    }
  return FALSE;
}

void
dp_orders_engines_rebuild (DpOrdersBoard *board, DpUsec now)
{
  GArray *former = board->engines;
  board->engines = g_array_new (FALSE, TRUE, sizeof (EngineRow));
  for (guint i = 0; i < board->manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (board->manifest, targets, DpTarget, i);
      const DpDataCentre *centre
        = DP_MANIFEST_ROW (board->manifest, data_centres, DpDataCentre, target->data_centre);
      if (target->models == NULL || centre->name != board->options.data_centre)
        continue;
      EngineRow row = { .name = target->name, .next_read_at = now };
      for (guint k = 0; k < former->len; k++)
        {
          const EngineRow *old = &g_array_index (former, EngineRow, k);
          if (old->name == target->name)
            row = *old;
        }
      row.target = i;
      g_array_append_val (board->engines, row);
    }
  g_array_unref (former);
}

void
dp_orders_engines_forget (DpOrdersBoard *board, DpUsec now)
{
  for (guint i = 0; i < board->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (board->engines, EngineRow, i);
      engine->state_at = 0;
      engine->next_read_at = MAX (now, board->lease.orders_from);
      engine->order_pending = FALSE;
      engine->loading = 0;
    }
}

static void
fail_order (DpOrdersBoard *board, EngineRow *engine, DpUsec now)
{
  engine->loading = 0;
  engine->failures++;
  engine->next_order_at = now + dp_orders_backoff (board, engine->failures);
  /* What became of it is read back before anything is ordered again. */
  engine->state_at = 0;
  engine->next_read_at = now;
}

/* Compares a load that was accepted with what the engine says now. */
static void
follow_load (DpOrdersBoard *board, EngineRow *engine, DpUsec now)
{
  if (engine->loading == 0)
    return;
  if (carries (engine, engine->loading))
    {
      engine->loading = 0;
      engine->failures = 0;
      count (board, "load_finished");
      return;
    }
  gboolean read_after_order
    = !engine->order_pending && engine->read_sent_at > engine->accepted_at;
  if (read_after_order && !engine->is_loading)
    {
      count (board, "load_abandoned");
      fail_order (board, engine, now);
    }
}

void
dp_orders_engines_on_state (DpOrdersBoard *board, const DpTargetState *state, DpUsec now)
{
  EngineRow *engine = find_engine (board, state->target);
  if (engine == NULL)
    return;
  engine->reachable = state->reachable;
  engine->state_at = now;
  if (!state->reachable)
    {
      /* It may come back empty: nothing that it carried counts any more. */
      engine->model_count = 0;
      engine->is_loading = FALSE;
      return;
    }
  engine->is_loading = state->is_loading;
  engine->model_count = MIN (state->model_count, DP_ORDER_MODELS_MAX);
  memcpy (engine->models, state->models, engine->model_count * sizeof engine->models[0]);
  follow_load (board, engine, now);
}

void
dp_orders_engines_on_reply (DpOrdersBoard *board, const DpOrderReply *reply, DpUsec now)
{
  EngineRow *engine = find_engine (board, reply->target);
  if (engine == NULL || !engine->order_pending)
    return;
  engine->order_pending = FALSE;
  switch (reply->result)
    {
    case DP_ORDER_ACCEPTED:
      count (board, "accepted");
      engine->accepted_at = now;
      engine->next_read_at = now;
      break;
    case DP_ORDER_OLD_FENCE:
      count (board, "refused_old_fence");
      fail_order (board, engine, now);
      dp_orders_lease_distrust (board, now);
      break;
    case DP_ORDER_FAILED:
      count (board, "failed");
      fail_order (board, engine, now);
      break;
    case DP_ORDER_LOST:
      count (board, "answer_lost");
      fail_order (board, engine, now);
      break;
    }
}

static void
fill_address (const DpOrdersBoard *board, const EngineRow *engine, DpOrder *order)
{
  const DpTarget *target = wish_of (board, engine);
  order->target = target->name;
  order->port = target->port;
  g_strlcpy (order->address, target->address, sizeof order->address);
}

static void
read_state (DpOrdersBoard *board, EngineRow *engine, DpUsec now, GArray *actions)
{
  engine->read_sent_at = now;
  engine->next_read_at = now + STATE_READ_EVERY;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_READ_STATE };
  fill_address (board, engine, &action.order);
  g_array_append_val (actions, action);
}

static void
send_order (DpOrdersBoard *board,
            EngineRow *engine,
            const DpName *models,
            guint model_count,
            DpUsec now,
            GArray *actions)
{
  engine->order_pending = TRUE;
  engine->ordered_at = now;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_ORDER };
  fill_address (board, engine, &action.order);
  action.order.fence = board->lease.fence;
  action.order.model_count = model_count;
  memcpy (action.order.models, models, model_count * sizeof models[0]);
  g_array_append_val (actions, action);
  count (board, wish_of (board, engine)->checks_fence ? "sent_fenced" : "sent_unfenced");
}

static void
refill_tokens (DpOrdersBoard *board, DpUsec now)
{
  gint64 full = (gint64)LOADS_BURST * TOKENS_PER_LOAD;
  if (board->tokens_at == 0)
    board->load_tokens = full;
  else
    board->load_tokens
      += (now - board->tokens_at) * LOADS_PER_MINUTE * TOKENS_PER_LOAD / (60 * DP_USEC_PER_SEC);
  board->load_tokens = MIN (board->load_tokens, full);
  board->tokens_at = now;
}

static guint
loads_under_way (const DpOrdersBoard *board)
{
  guint loads = 0;
  for (guint i = 0; i < board->engines->len; i++)
    {
      const EngineRow *engine = &g_array_index (board->engines, EngineRow, i);
      if (engine->loading != 0 || engine->is_loading)
        loads++;
    }
  return loads;
}

/* A former holder may have started loads: all engines are read back before the next one. */
static gboolean
all_read_back (const DpOrdersBoard *board)
{
  for (guint i = 0; i < board->engines->len; i++)
    {
      if (g_array_index (board->engines, EngineRow, i).state_at == 0)
        return FALSE;
    }
  return TRUE;
}

static gboolean
may_load (DpOrdersBoard *board, DpUsec now)
{
  refill_tokens (board, now);
  if (!all_read_back (board))
    return FALSE;
  return board->load_tokens >= TOKENS_PER_LOAD && loads_under_way (board) < LOADS_AT_ONCE;
}

/* Orders one missing model beside those the engine has. TRUE if something is missing. */
static gboolean
order_load (DpOrdersBoard *board, EngineRow *engine, DpUsec now, GArray *actions)
{
  const DpTarget *wish = wish_of (board, engine);
  for (guint i = 0; i < wish->models->len; i++)
    {
      DpName model = wished_model (board, wish, i);
      if (carries (engine, model))
        continue;
      if (engine->model_count >= DP_ORDER_MODELS_MAX || !may_load (board, now))
        return TRUE;
      DpName models[DP_ORDER_MODELS_MAX];
      memcpy (models, engine->models, engine->model_count * sizeof models[0]);
      models[engine->model_count] = model;
      board->load_tokens -= TOKENS_PER_LOAD;
      engine->loading = model;
      send_order (board, engine, models, engine->model_count + 1, now, actions);
      return TRUE;
    }
  return FALSE;
}

static gboolean
is_warm_elsewhere (const DpOrdersBoard *board,
                   const EngineRow *except,
                   DpName model,
                   DpUsec now)
{
  for (guint i = 0; i < board->engines->len; i++)
    {
      const EngineRow *engine = &g_array_index (board->engines, EngineRow, i);
      gboolean is_fresh = engine->state_at != 0 && now - engine->state_at < STATE_FRESH;
      if (engine == except || !engine->reachable || !is_fresh || !carries (engine, model))
        continue;
      /* A copy that is itself to be unloaded does not count. */
      if (is_wished (board, engine, model) && !engine->order_pending)
        return TRUE;
    }
  return FALSE;
}

/* A model that the manifest still has may be unloaded only while another copy is warm. */
static gboolean
may_unload (const DpOrdersBoard *board, const EngineRow *engine, DpName model, DpUsec now)
{
  if (dp_manifest_find (board->manifest, DP_MANIFEST_MODEL, model) < 0)
    return TRUE;
  return is_warm_elsewhere (board, engine, model, now);
}

static void
order_unload (DpOrdersBoard *board, EngineRow *engine, DpUsec now, GArray *actions)
{
  DpName kept[DP_ORDER_MODELS_MAX];
  guint kept_count = 0;
  for (guint i = 0; i < engine->model_count; i++)
    {
      DpName model = engine->models[i];
      if (is_wished (board, engine, model) || !may_unload (board, engine, model, now))
        kept[kept_count++] = model;
    }
  if (kept_count < engine->model_count)
    send_order (board, engine, kept, kept_count, now, actions);
}

static void
expire_order (DpOrdersBoard *board, EngineRow *engine, DpUsec now)
{
  gboolean unanswered = engine->order_pending && now - engine->ordered_at > ORDER_REPLY_TIMEOUT;
  gboolean unfinished = engine->loading != 0 && now - engine->ordered_at > LOAD_TIMEOUT;
  if (!unanswered && !unfinished)
    return;
  count (board, unanswered ? "answer_lost" : "load_timeout");
  engine->order_pending = FALSE;
  fail_order (board, engine, now);
}

static gboolean
may_order (const DpOrdersBoard *board, const EngineRow *engine, DpUsec now)
{
  gboolean is_busy = engine->order_pending || engine->loading != 0 || engine->is_loading;
  if (is_busy || now < engine->next_order_at)
    return FALSE;
  if (!engine->reachable || engine->state_at == 0)
    return FALSE;
  if (now < board->lease.orders_from)
    return FALSE;
  /* An order that travels slowly must still arrive before the lease lapses: an engine that
   * checks no fence would obey it, and one that does has perhaps not seen the next holder's
   * yet. */
  return now + DP_ORDER_PAUSE_MARGIN <= board->lease.valid_until;
}

static gboolean
differs_from_wish (const DpOrdersBoard *board, const EngineRow *engine)
{
  const DpTarget *wish = wish_of (board, engine);
  if (engine->model_count != wish->models->len)
    return TRUE;
  for (guint i = 0; i < wish->models->len; i++)
    {
      if (!carries (engine, wished_model (board, wish, i)))
        return TRUE;
    }
  return FALSE;
}

static void
order_change (DpOrdersBoard *board, EngineRow *engine, DpUsec now, GArray *actions)
{
  if (now - engine->state_at <= STATE_FRESH_FOR_ORDER)
    {
      if (!order_load (board, engine, now, actions))
        order_unload (board, engine, now, actions);
    }
  else if (now - engine->read_sent_at > STATE_READ_TIMEOUT)
    read_state (board, engine, now, actions);
}

void
dp_orders_engines_on_tick (DpOrdersBoard *board, DpUsec now, GArray *actions)
{
  if (board->manifest == NULL || !dp_orders_holds_lease (board, now))
    return;
  for (guint i = 0; i < board->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (board->engines, EngineRow, i);
      expire_order (board, engine, now);
      if (now >= engine->next_read_at)
        read_state (board, engine, now, actions);
      if (may_order (board, engine, now) && differs_from_wish (board, engine))
        order_change (board, engine, now, actions);
    }
}
