/* Orders to each engine: one change at a time, loads before unloads. */
#include "core/orders_private.h"

#include <string.h>

#define STATE_READ_INTERVAL (5 * DP_USEC_PER_SEC)
/* An older state does not show whether a model is still loaded. */
#define STATE_AGE_MAX (12 * DP_USEC_PER_SEC)
/* An order repeats the models that the engine already has. If the engine has restarted since
 * it was read, the order would load all of them at once, so the state must be recent. */
#define STATE_AGE_MAX_FOR_ORDER (500 * DP_USEC_PER_MSEC)
#define STATE_READ_TIMEOUT (1 * DP_USEC_PER_SEC)
/* A load that is not complete by then has failed. */
#define LOAD_TIMEOUT (600 * DP_USEC_PER_SEC)
#define ORDER_REPLY_TIMEOUT (10 * DP_USEC_PER_SEC)
/* Rate at which the weight store serves one data centre, after an initial burst. */
#define LOADS_PER_MINUTE 6
#define LOADS_BURST 2
/* Concurrent loads in a data centre. */
#define LOADS_MAX 2
#define TOKENS_PER_LOAD 1000

static void
count (DpOrdersCore *core, const char *event)
{
  dp_counters_add (core->options.counters, "dogwoodplank_orders_total", "event", event, 1);
}

static EngineRow *
find_engine (DpOrdersCore *core, DpName name)
{
  for (guint i = 0; i < core->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (core->engines, EngineRow, i);
      if (engine->name == name)
        return engine;
    }
  return NULL;
}

static gboolean
has_model (const EngineRow *engine, DpName model)
{
  for (guint i = 0; i < engine->model_count; i++)
    {
      if (engine->models[i] == model)
        return TRUE;
    }
  return FALSE;
}

static const DpTarget *
target_of (const DpOrdersCore *core, const EngineRow *engine)
{
  return DP_MANIFEST_ROW (core->manifest, targets, DpTarget, engine->target);
}

static DpName
desired_model (const DpOrdersCore *core, const DpTarget *target, guint index)
{
  guint model = g_array_index (target->models, guint, index);
  return DP_MANIFEST_ROW (core->manifest, models, DpModel, model)->name;
}

static gboolean
is_desired (const DpOrdersCore *core, const EngineRow *engine, DpName model)
{
  const DpTarget *target = target_of (core, engine);
  for (guint i = 0; i < target->models->len; i++)
    {
      if (desired_model (core, target, i) == model)
        return TRUE;
    }
  return FALSE;
}

void
dp_orders_engines_rebuild (DpOrdersCore *core, DpUsec now)
{
  GArray *previous = core->engines;
  core->engines = g_array_new (FALSE, TRUE, sizeof (EngineRow));
  for (guint i = 0; i < core->manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (core->manifest, targets, DpTarget, i);
      const DpDataCentre *centre
        = DP_MANIFEST_ROW (core->manifest, data_centres, DpDataCentre, target->data_centre);
      if (target->models == NULL || centre->name != core->options.data_centre)
        continue;
      EngineRow row = { .name = target->name, .next_read_at = now };
      for (guint k = 0; k < previous->len; k++)
        {
          const EngineRow *old = &g_array_index (previous, EngineRow, k);
          if (old->name == target->name)
            row = *old;
        }
      row.target = i;
      g_array_append_val (core->engines, row);
    }
  g_array_unref (previous);
}

void
dp_orders_engines_invalidate (DpOrdersCore *core, DpUsec now)
{
  for (guint i = 0; i < core->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (core->engines, EngineRow, i);
      engine->state_read_at = 0;
      engine->next_read_at = MAX (now, core->lease.first_order_at);
      engine->order_pending = FALSE;
      engine->loading = 0;
    }
}

static void
fail_order (DpOrdersCore *core, EngineRow *engine, DpUsec now)
{
  engine->loading = 0;
  engine->failures++;
  engine->next_order_at = now + dp_orders_backoff (core, engine->failures);
  /* The order may have taken effect: the state is read before the next one. */
  engine->state_read_at = 0;
  engine->next_read_at = now;
}

/* Checks whether the ordered load is complete or was abandoned. */
static void
check_load (DpOrdersCore *core, EngineRow *engine, DpUsec now)
{
  if (engine->loading == 0)
    return;
  if (has_model (engine, engine->loading))
    {
      engine->loading = 0;
      engine->failures = 0;
      count (core, "load_finished");
      return;
    }
  gboolean read_after_order
    = !engine->order_pending && engine->read_sent_at > engine->accepted_at;
  if (read_after_order && !engine->is_loading)
    {
      count (core, "load_abandoned");
      fail_order (core, engine, now);
    }
}

void
dp_orders_engines_on_state (DpOrdersCore *core, const DpEngineState *state, DpUsec now)
{
  EngineRow *engine = find_engine (core, state->target);
  if (engine == NULL)
    return;
  engine->reachable = state->reachable;
  engine->state_read_at = now;
  if (!state->reachable)
    {
      /* It may come back with nothing loaded. */
      engine->model_count = 0;
      engine->is_loading = FALSE;
      return;
    }
  engine->is_loading = state->is_loading;
  engine->model_count = MIN (state->model_count, DP_ORDER_MODELS_MAX);
  memcpy (engine->models, state->models, engine->model_count * sizeof engine->models[0]);
  check_load (core, engine, now);
}

void
dp_orders_engines_on_reply (DpOrdersCore *core, const DpOrderReply *reply, DpUsec now)
{
  EngineRow *engine = find_engine (core, reply->target);
  if (engine == NULL || !engine->order_pending)
    return;
  engine->order_pending = FALSE;
  switch (reply->result)
    {
    case DP_ORDER_ACCEPTED:
      count (core, "accepted");
      engine->accepted_at = now;
      engine->next_read_at = now;
      break;
    case DP_ORDER_STALE_FENCE:
      count (core, "refused_old_fence");
      fail_order (core, engine, now);
      dp_orders_lease_invalidate (core, now);
      break;
    case DP_ORDER_FAILED:
      count (core, "failed");
      fail_order (core, engine, now);
      break;
    case DP_ORDER_LOST:
      count (core, "answer_lost");
      fail_order (core, engine, now);
      break;
    }
}

static void
fill_address (const DpOrdersCore *core, const EngineRow *engine, DpOrder *order)
{
  const DpTarget *target = target_of (core, engine);
  order->target = target->name;
  order->port = target->port;
  g_strlcpy (order->address, target->address, sizeof order->address);
}

static void
read_state (DpOrdersCore *core, EngineRow *engine, DpUsec now, GArray *actions)
{
  engine->read_sent_at = now;
  engine->next_read_at = now + STATE_READ_INTERVAL;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_READ_STATE };
  fill_address (core, engine, &action.order);
  g_array_append_val (actions, action);
}

static void
send_order (DpOrdersCore *core,
            EngineRow *engine,
            const DpName *models,
            guint model_count,
            DpUsec now,
            GArray *actions)
{
  engine->order_pending = TRUE;
  engine->ordered_at = now;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_ORDER };
  fill_address (core, engine, &action.order);
  action.order.fence = core->lease.fence;
  action.order.model_count = model_count;
  memcpy (action.order.models, models, model_count * sizeof models[0]);
  g_array_append_val (actions, action);
  count (core, target_of (core, engine)->checks_fence ? "sent_fenced" : "sent_unfenced");
}

static void
refill_tokens (DpOrdersCore *core, DpUsec now)
{
  gint64 full = (gint64)LOADS_BURST * TOKENS_PER_LOAD;
  if (core->tokens_at == 0)
    core->load_tokens = full;
  else
    core->load_tokens
      += (now - core->tokens_at) * LOADS_PER_MINUTE * TOKENS_PER_LOAD / (60 * DP_USEC_PER_SEC);
  core->load_tokens = MIN (core->load_tokens, full);
  core->tokens_at = now;
}

static guint
count_loads (const DpOrdersCore *core)
{
  guint loads = 0;
  for (guint i = 0; i < core->engines->len; i++)
    {
      const EngineRow *engine = &g_array_index (core->engines, EngineRow, i);
      if (engine->loading != 0 || engine->is_loading)
        loads++;
    }
  return loads;
}

/* The previous holder may have started loads, so no load is ordered before the state of every
 * engine is known. */
static gboolean
all_states_known (const DpOrdersCore *core)
{
  for (guint i = 0; i < core->engines->len; i++)
    {
      if (g_array_index (core->engines, EngineRow, i).state_read_at == 0)
        return FALSE;
    }
  return TRUE;
}

static gboolean
may_load (DpOrdersCore *core, DpUsec now)
{
  refill_tokens (core, now);
  if (!all_states_known (core))
    return FALSE;
  return core->load_tokens >= TOKENS_PER_LOAD && count_loads (core) < LOADS_MAX;
}

/* Orders one missing model in addition to those the engine has. TRUE if any is missing. */
static gboolean
order_load (DpOrdersCore *core, EngineRow *engine, DpUsec now, GArray *actions)
{
  const DpTarget *target = target_of (core, engine);
  for (guint i = 0; i < target->models->len; i++)
    {
      DpName model = desired_model (core, target, i);
      if (has_model (engine, model))
        continue;
      if (engine->model_count >= DP_ORDER_MODELS_MAX || !may_load (core, now))
        return TRUE;
      DpName models[DP_ORDER_MODELS_MAX];
      memcpy (models, engine->models, engine->model_count * sizeof models[0]);
      models[engine->model_count] = model;
      core->load_tokens -= TOKENS_PER_LOAD;
      engine->loading = model;
      send_order (core, engine, models, engine->model_count + 1, now, actions);
      return TRUE;
    }
  return FALSE;
}

static gboolean
is_loaded_elsewhere (const DpOrdersCore *core,
                     const EngineRow *except,
                     DpName model,
                     DpUsec now)
{
  for (guint i = 0; i < core->engines->len; i++)
    {
      const EngineRow *engine = &g_array_index (core->engines, EngineRow, i);
      gboolean is_fresh
        = engine->state_read_at != 0 && now - engine->state_read_at < STATE_AGE_MAX;
      if (engine == except || !engine->reachable || !is_fresh || !has_model (engine, model))
        continue;
      /* A copy that is about to be unloaded does not count. */
      if (is_desired (core, engine, model) && !engine->order_pending)
        return TRUE;
    }
  return FALSE;
}

/* The last loaded copy of a model in the manifest must not be unloaded. */
static gboolean
may_unload (const DpOrdersCore *core, const EngineRow *engine, DpName model, DpUsec now)
{
  if (dp_manifest_find (core->manifest, DP_MANIFEST_MODEL, model) < 0)
    return TRUE;
  return is_loaded_elsewhere (core, engine, model, now);
}

static void
order_unload (DpOrdersCore *core, EngineRow *engine, DpUsec now, GArray *actions)
{
  DpName remaining[DP_ORDER_MODELS_MAX];
  guint remaining_count = 0;
  for (guint i = 0; i < engine->model_count; i++)
    {
      DpName model = engine->models[i];
      if (is_desired (core, engine, model) || !may_unload (core, engine, model, now))
        remaining[remaining_count++] = model;
    }
  if (remaining_count < engine->model_count)
    send_order (core, engine, remaining, remaining_count, now, actions);
}

static void
expire_order (DpOrdersCore *core, EngineRow *engine, DpUsec now)
{
  gboolean unanswered = engine->order_pending && now - engine->ordered_at > ORDER_REPLY_TIMEOUT;
  gboolean unfinished = engine->loading != 0 && now - engine->ordered_at > LOAD_TIMEOUT;
  if (!unanswered && !unfinished)
    return;
  count (core, unanswered ? "answer_lost" : "load_timeout");
  engine->order_pending = FALSE;
  fail_order (core, engine, now);
}

static gboolean
may_order (const DpOrdersCore *core, const EngineRow *engine, DpUsec now)
{
  gboolean is_busy = engine->order_pending || engine->loading != 0 || engine->is_loading;
  if (is_busy || now < engine->next_order_at)
    return FALSE;
  if (!engine->reachable || engine->state_read_at == 0)
    return FALSE;
  if (now < core->lease.first_order_at)
    return FALSE;
  /* A delayed order must still arrive before the lease expires: an engine that does not check
   * fencing numbers would execute it, and one that does may not have seen a number of the next
   * holder yet. */
  return now + DP_ORDER_DELAY_MAX <= core->lease.valid_until;
}

static gboolean
differs_from_manifest (const DpOrdersCore *core, const EngineRow *engine)
{
  const DpTarget *target = target_of (core, engine);
  if (engine->model_count != target->models->len)
    return TRUE;
  for (guint i = 0; i < target->models->len; i++)
    {
      if (!has_model (engine, desired_model (core, target, i)))
        return TRUE;
    }
  return FALSE;
}

static void
advance_engine (DpOrdersCore *core, EngineRow *engine, DpUsec now, GArray *actions)
{
  if (now - engine->state_read_at <= STATE_AGE_MAX_FOR_ORDER)
    {
      if (!order_load (core, engine, now, actions))
        order_unload (core, engine, now, actions);
    }
  else if (now - engine->read_sent_at > STATE_READ_TIMEOUT)
    read_state (core, engine, now, actions);
}

void
dp_orders_engines_on_tick (DpOrdersCore *core, DpUsec now, GArray *actions)
{
  if (core->manifest == NULL || !dp_orders_holds_lease (core, now))
    return;
  for (guint i = 0; i < core->engines->len; i++)
    {
      EngineRow *engine = &g_array_index (core->engines, EngineRow, i);
      expire_order (core, engine, now);
      if (now >= engine->next_read_at)
        read_state (core, engine, now, actions);
      if (may_order (core, engine, now) && differs_from_manifest (core, engine))
        advance_engine (core, engine, now, actions);
    }
}
