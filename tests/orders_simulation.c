#include "tests/orders_simulation.h"

#include <check.h>

static const char *const vm_names[CONTROLLERS] = { "vm-a", "vm-b" };
static const char *const engine_names[ENGINES] = { "e0", "e1", "e2", "e3" };
static const char *const model_names[MODELS] = { "m0", "m1" };

static DpManifest *
build_manifest (const guint model_masks[ENGINES])
{
  DpManifest *manifest = dp_manifest_new ();
  manifest->revision = 1;
  DpDataCentre centre = { g_strdup ("dc"), dp_name ("dc"), g_strdup ("r") };
  g_array_append_val (manifest->data_centres, centre);
  DpPool pool = { .text = g_strdup ("pool"), .name = dp_name ("pool") };
  g_array_append_val (manifest->pools, pool);
  for (guint i = 0; i < MODELS; i++)
    {
      DpModel model = { g_strdup (model_names[i]), dp_name (model_names[i]), 100 };
      g_array_append_val (manifest->models, model);
    }
  for (guint i = 0; i < ENGINES; i++)
    {
      DpTarget target
        = { .text = g_strdup (engine_names[i]), .name = dp_name (engine_names[i]) };
      target.address = g_strdup ("127.0.0.1");
      target.checks_fence = i >= ENGINES / 2;
      target.models = g_array_new (FALSE, FALSE, sizeof (guint));
      for (guint k = 0; k < MODELS; k++)
        {
          if (model_masks[i] & (1u << k))
            g_array_append_val (target.models, k);
        }
      g_array_append_val (manifest->targets, target);
    }
  dp_manifest_finish (manifest);
  return manifest;
}

/* Each controller is the only VM in its view, so that both try to acquire the lease. */
static DpView *
build_view (int controller, gboolean is_leaving)
{
  DpVm vm = { .name = dp_name (vm_names[controller]), .data_centre = dp_name ("dc") };
  vm.state = is_leaving ? DP_VM_LEAVING : DP_VM_LIVE;
  return dp_view_new (1, &vm, 1);
}

static Pending *
add_pending (OrdersSimulation *sim, int controller, DpUsec delay)
{
  for (guint i = 0; i < PENDING_MAX; i++)
    {
      Pending *pending = &sim->pending[i];
      if (pending->used)
        continue;
      pending->used = TRUE;
      pending->is_order = FALSE;
      pending->due = sim->now + delay;
      pending->controller = controller;
      return pending;
    }
  ck_abort_msg ("too many pending events");
}

static void
push_event (OrdersSimulation *sim, int controller, DpUsec delay, const DpOrdersEvent *event)
{
  add_pending (sim, controller, delay)->event = *event;
}

static void
push_order (OrdersSimulation *sim, int controller, const DpOrder *order)
{
  Pending *pending = add_pending (sim, controller, sim->order_delay[controller]);
  pending->is_order = TRUE;
  pending->order = *order;
}

static gboolean
store_is_reachable (const OrdersSimulation *sim, int controller)
{
  return !sim->store.is_down && !sim->store.is_unreachable_from[controller];
}

static void
store_read (OrdersSimulation *sim, int controller)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  sim->lease_reads[controller]++;
  if (!store_is_reachable (sim, controller))
    event.lease.result = DP_STORE_UNAVAILABLE;
  else if (!sim->store.exists)
    event.lease.result = DP_STORE_ABSENT;
  else
    {
      event.lease.version = sim->store.version;
      event.lease.lease = sim->store.lease;
    }
  push_event (sim, controller, CALL_DELAY, &event);
}

static void
store_write (OrdersSimulation *sim, int controller, const DpLeaseWrite *write)
{
  Store *store = &sim->store;
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  event.lease.is_write = TRUE;
  guint64 current = store->exists ? store->version : 0;
  if (!store_is_reachable (sim, controller))
    event.lease.result = DP_STORE_UNAVAILABLE;
  else if (write->expected_version != current)
    event.lease.result = DP_STORE_CONFLICT;
  else
    {
      store->exists = TRUE;
      store->next_version += 3;
      store->version = store->next_version;
      store->lease = write->lease;
      event.lease.version = store->version;
      if (sim->holder_count == 0 || sim->holder_history[sim->holder_count - 1] != controller)
        sim->holder_history[sim->holder_count++] = controller;
    }
  if (event.lease.result == DP_STORE_OK && store->replies_to_drop > 0)
    {
      store->replies_to_drop--;
      event.lease.result = DP_STORE_LOST;
      push_event (sim, controller, STORE_CALL_TIMEOUT, &event);
      return;
    }
  push_event (sim, controller, CALL_DELAY, &event);
}

static int
find_engine (DpName name)
{
  for (int i = 0; i < ENGINES; i++)
    {
      if (dp_name (engine_names[i]) == name)
        return i;
    }
  ck_abort_msg ("no such engine");
}

static guint
count_copies (const OrdersSimulation *sim, guint model)
{
  guint copies = 0;
  for (guint i = 0; i < ENGINES; i++)
    copies += sim->engines[i].loaded[model] ? 1 : 0;
  return copies;
}

/* An order that was decided before the controller saw a restart makes the engine load all its
 * models again, which counts as one load. */
static guint
count_loads (const OrdersSimulation *sim)
{
  guint loads = 0;
  for (guint i = 0; i < ENGINES; i++)
    {
      const Engine *engine = &sim->engines[i];
      if (engine->reloads && (engine->ready_at[0] != 0 || engine->ready_at[1] != 0))
        {
          loads++;
          continue;
        }
      for (guint k = 0; k < MODELS; k++)
        loads += sim->engines[i].ready_at[k] != 0 ? 1 : 0;
    }
  return loads;
}

static gboolean
order_lists (const DpOrder *order, guint model)
{
  for (guint i = 0; i < order->model_count; i++)
    {
      if (order->models[i] == dp_name (model_names[model]))
        return TRUE;
    }
  return FALSE;
}

static void
apply_order (OrdersSimulation *sim, Engine *engine, const DpOrder *order)
{
  for (guint k = 0; k < MODELS; k++)
    {
      gboolean is_listed = order_lists (order, k);
      if (is_listed && !engine->loaded[k] && engine->ready_at[k] == 0)
        {
          engine->ready_at[k] = sim->now + LOAD_DURATION;
          sim->loads_started++;
        }
      if (is_listed)
        continue;
      if (engine->loaded[k] && count_copies (sim, k) == 1)
        sim->last_copies_lost++;
      engine->loaded[k] = FALSE;
      engine->ready_at[k] = 0;
    }
  sim->loads_concurrent_max = MAX (sim->loads_concurrent_max, count_loads (sim));
}

static void
engine_on_order (OrdersSimulation *sim, int controller, const DpOrder *order)
{
  Engine *engine = &sim->engines[find_engine (order->target)];
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_ORDER_REPLY };
  event.order.target = order->target;
  if (engine->checks_fence && order->fence < engine->fence_seen)
    {
      engine->orders_refused++;
      event.order.result = DP_ORDER_STALE_FENCE;
      push_event (sim, controller, CALL_DELAY, &event);
      return;
    }
  gboolean is_current = sim->holder_history[sim->holder_count - 1] == controller;
  if (!engine->checks_fence && !is_current && engine->last_controller != controller
      && engine->last_controller >= 0)
    sim->stale_orders++;
  engine->reloads = engine->restarted_unread;
  engine->fence_seen = MAX (engine->fence_seen, order->fence);
  engine->last_controller = controller;
  engine->orders_accepted++;
  apply_order (sim, engine, order);
  push_event (sim, controller, CALL_DELAY, &event);
}

static void
engine_on_read (OrdersSimulation *sim, int controller, DpName target)
{
  Engine *engine = &sim->engines[find_engine (target)];
  engine->restarted_unread = FALSE;
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_ENGINE_STATE };
  event.state.target = target;
  event.state.reachable = TRUE;
  for (guint k = 0; k < MODELS; k++)
    {
      event.state.is_loading |= engine->ready_at[k] != 0;
      if (engine->loaded[k])
        event.state.models[event.state.model_count++] = dp_name (model_names[k]);
    }
  push_event (sim, controller, CALL_DELAY, &event);
}

static void
execute (OrdersSimulation *sim, int controller, const DpOrdersAction *action)
{
  switch (action->type)
    {
    case DP_ORDERS_ACTION_LEASE_READ:
      store_read (sim, controller);
      break;
    case DP_ORDERS_ACTION_LEASE_WRITE:
      store_write (sim, controller, &action->lease_write);
      break;
    case DP_ORDERS_ACTION_READ_STATE:
      engine_on_read (sim, controller, action->order.target);
      break;
    case DP_ORDERS_ACTION_ORDER:
      sim->orders_sent[controller]++;
      push_order (sim, controller, &action->order);
      break;
    }
}

static void
handle (OrdersSimulation *sim, int controller, DpOrdersEvent *event)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpOrdersAction));
  event->now = sim->now;
  dp_orders_handle (sim->cores[controller], event, actions);
  for (guint i = 0; i < actions->len; i++)
    execute (sim, controller, &g_array_index (actions, DpOrdersAction, i));
  g_array_unref (actions);
}

static gboolean
is_running (const OrdersSimulation *sim, int controller)
{
  return !sim->paused[controller] && !sim->crashed[controller];
}

/* Events for a paused controller are kept; those for a crashed one are dropped. */
static void
deliver_due (OrdersSimulation *sim)
{
  for (guint i = 0; i < PENDING_MAX; i++)
    {
      Pending *pending = &sim->pending[i];
      if (!pending->used || pending->due > sim->now)
        continue;
      if (pending->is_order)
        {
          pending->used = FALSE;
          engine_on_order (sim, pending->controller, &pending->order);
          continue;
        }
      if (sim->paused[pending->controller])
        continue;
      pending->used = FALSE;
      if (!sim->crashed[pending->controller])
        handle (sim, pending->controller, &pending->event);
    }
}

static void
finish_loads (OrdersSimulation *sim)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      for (guint k = 0; k < MODELS; k++)
        {
          Engine *engine = &sim->engines[i];
          if (engine->ready_at[k] == 0 || engine->ready_at[k] > sim->now)
            continue;
          engine->ready_at[k] = 0;
          engine->loaded[k] = TRUE;
        }
    }
}

int
orders_holder (const OrdersSimulation *sim)
{
  int holder = -1;
  for (int i = 0; i < CONTROLLERS; i++)
    {
      if (!dp_orders_holds_lease (sim->cores[i], sim->now) || !is_running (sim, i))
        continue;
      ck_assert_msg (holder < 0, "two holders at once");
      holder = i;
    }
  return holder;
}

void
orders_run (OrdersSimulation *sim, DpUsec duration)
{
  DpUsec end = sim->now + duration;
  while (sim->now < end)
    {
      sim->now += TICK_INTERVAL;
      finish_loads (sim);
      deliver_due (sim);
      for (int i = 0; i < CONTROLLERS; i++)
        {
          DpOrdersEvent tick = { .type = DP_ORDERS_EVENT_TICK };
          if (is_running (sim, i))
            handle (sim, i, &tick);
        }
      (void)orders_holder (sim);
    }
}

void
orders_send_manifest (OrdersSimulation *sim, const guint model_masks[ENGINES])
{
  DpManifest *manifest = build_manifest (model_masks);
  for (int i = 0; i < CONTROLLERS; i++)
    {
      DpOrdersEvent event = { .type = DP_ORDERS_EVENT_MANIFEST, .manifest = manifest };
      if (!sim->crashed[i])
        handle (sim, i, &event);
    }
  dp_manifest_unref (manifest);
}

void
orders_send_view (OrdersSimulation *sim, int controller, gboolean is_leaving)
{
  DpView *view = build_view (controller, is_leaving);
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_VIEW, .view = view };
  handle (sim, controller, &event);
  dp_view_unref (view);
}

OrdersSimulation *
orders_simulation_new (const guint model_masks[ENGINES])
{
  OrdersSimulation *sim = g_new0 (OrdersSimulation, 1);
  sim->now = 1000 * DP_USEC_PER_SEC;
  for (guint i = 0; i < ENGINES; i++)
    {
      sim->engines[i].checks_fence = i >= ENGINES / 2;
      sim->engines[i].last_controller = -1;
    }
  for (int i = 0; i < CONTROLLERS; i++)
    {
      DpCounters *counters = dp_counters_new ();
      DpOrdersOptions options = { .vm = dp_name (vm_names[i]), .data_centre = dp_name ("dc") };
      options.incarnation = 7;
      options.seed = (guint64)i + 1;
      options.counters = counters;
      sim->cores[i] = dp_orders_core_new (&options);
      dp_counters_unref (counters);
      orders_send_view (sim, i, FALSE);
    }
  orders_send_manifest (sim, model_masks);
  return sim;
}

void
orders_simulation_free (OrdersSimulation *sim)
{
  for (int i = 0; i < CONTROLLERS; i++)
    dp_orders_core_unref (sim->cores[i]);
  g_free (sim);
}

void
orders_check_loaded (const OrdersSimulation *sim, const guint model_masks[ENGINES])
{
  for (guint i = 0; i < ENGINES; i++)
    {
      for (guint k = 0; k < MODELS; k++)
        ck_assert_msg (sim->engines[i].loaded[k] == (gboolean)((model_masks[i] >> k) & 1u),
                       "engine %u, model %u: loaded is %d", i, k, sim->engines[i].loaded[k]);
    }
}

void
orders_check_invariants (const OrdersSimulation *sim)
{
  ck_assert_uint_eq (sim->stale_orders, 0);
  ck_assert_uint_eq (sim->last_copies_lost, 0);
  ck_assert_uint_le (sim->loads_concurrent_max, 2);
}
