#include "tests/orders_world.h"

#include <check.h>

static const char *const vm_names[CONTROLLERS] = { "vm-a", "vm-b" };
static const char *const engine_names[ENGINES] = { "e0", "e1", "e2", "e3" };
static const char *const model_names[MODELS] = { "m0", "m1" };

static DpManifest *
build_manifest (const guint wishes[ENGINES])
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
          if (wishes[i] & (1u << k))
            g_array_append_val (target.models, k);
        }
      g_array_append_val (manifest->targets, target);
    }
  dp_manifest_finish (manifest);
  return manifest;
}

/* Each controller is alone in its own view, so that both want the lease. */
static DpView *
view_of (int controller, gboolean is_leaving)
{
  DpVm vm = { .name = dp_name (vm_names[controller]), .data_centre = dp_name ("dc") };
  vm.state = is_leaving ? DP_VM_LEAVING : DP_VM_LIVE;
  return dp_view_new (1, &vm, 1);
}

static Pending *
add_pending (OrdersWorld *world, int controller, DpUsec delay)
{
  for (guint i = 0; i < EVENTS_MAX; i++)
    {
      Pending *pending = &world->pending[i];
      if (pending->used)
        continue;
      pending->used = TRUE;
      pending->is_order = FALSE;
      pending->due = world->now + delay;
      pending->controller = controller;
      return pending;
    }
  ck_abort_msg ("too many pending events");
}

static void
push (OrdersWorld *world, int controller, DpUsec delay, const DpOrdersEvent *event)
{
  add_pending (world, controller, delay)->event = *event;
}

static void
push_order (OrdersWorld *world, int controller, const DpOrder *order)
{
  Pending *pending = add_pending (world, controller, world->order_delay[controller]);
  pending->is_order = TRUE;
  pending->order = *order;
}

static gboolean
store_is_reachable (const OrdersWorld *world, int controller)
{
  return !world->store.is_down && !world->store.is_cut_from[controller];
}

static void
store_read (OrdersWorld *world, int controller)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  world->lease_reads[controller]++;
  if (!store_is_reachable (world, controller))
    event.lease.result = DP_STORE_UNAVAILABLE;
  else if (!world->store.exists)
    event.lease.result = DP_STORE_ABSENT;
  else
    {
      event.lease.version = world->store.version;
      event.lease.lease = world->store.lease;
    }
  push (world, controller, CALL_DELAY, &event);
}

static void
store_write (OrdersWorld *world, int controller, const DpLeaseWrite *write)
{
  Store *store = &world->store;
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  event.lease.is_write = TRUE;
  guint64 current = store->exists ? store->version : 0;
  if (!store_is_reachable (world, controller))
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
      if (world->holders == 0 || world->holder_history[world->holders - 1] != controller)
        world->holder_history[world->holders++] = controller;
    }
  if (event.lease.result == DP_STORE_OK && store->answers_to_lose > 0)
    {
      store->answers_to_lose--;
      event.lease.result = DP_STORE_LOST;
      push (world, controller, STORE_DOWN_CALL_TIMEOUT, &event);
      return;
    }
  push (world, controller, CALL_DELAY, &event);
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
warm_copies (const OrdersWorld *world, guint model)
{
  guint copies = 0;
  for (guint i = 0; i < ENGINES; i++)
    copies += world->engines[i].warm[model] ? 1 : 0;
  return copies;
}

/* An order decided within the moment between a restart and its discovery makes the engine load
 * again what it had: such an engine counts as one load. */
static guint
loads_under_way (const OrdersWorld *world)
{
  guint loads = 0;
  for (guint i = 0; i < ENGINES; i++)
    {
      const Engine *engine = &world->engines[i];
      if (engine->reloads && (engine->ready_at[0] != 0 || engine->ready_at[1] != 0))
        {
          loads++;
          continue;
        }
      for (guint k = 0; k < MODELS; k++)
        loads += world->engines[i].ready_at[k] != 0 ? 1 : 0;
    }
  return loads;
}

static gboolean
order_names (const DpOrder *order, guint model)
{
  for (guint i = 0; i < order->model_count; i++)
    {
      if (order->models[i] == dp_name (model_names[model]))
        return TRUE;
    }
  return FALSE;
}

static void
apply_order (OrdersWorld *world, Engine *engine, const DpOrder *order)
{
  for (guint k = 0; k < MODELS; k++)
    {
      gboolean is_wanted = order_names (order, k);
      if (is_wanted && !engine->warm[k] && engine->ready_at[k] == 0)
        {
          engine->ready_at[k] = world->now + LOAD_TIME;
          world->loads_started++;
        }
      if (is_wanted)
        continue;
      if (engine->warm[k] && warm_copies (world, k) == 1)
        world->last_copies_lost++;
      engine->warm[k] = FALSE;
      engine->ready_at[k] = 0;
    }
  world->loads_at_once_max = MAX (world->loads_at_once_max, loads_under_way (world));
}

static void
engine_order (OrdersWorld *world, int controller, const DpOrder *order)
{
  Engine *engine = &world->engines[find_engine (order->target)];
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_ORDER_REPLY };
  event.order.target = order->target;
  if (engine->checks_fence && order->fence < engine->fence_seen)
    {
      engine->orders_refused++;
      event.order.result = DP_ORDER_OLD_FENCE;
      push (world, controller, CALL_DELAY, &event);
      return;
    }
  gboolean is_current = world->holder_history[world->holders - 1] == controller;
  if (!engine->checks_fence && !is_current && engine->last_controller != controller
      && engine->last_controller >= 0)
    world->stale_orders++;
  engine->reloads = engine->restarted_unread;
  engine->fence_seen = MAX (engine->fence_seen, order->fence);
  engine->last_controller = controller;
  engine->orders_accepted++;
  apply_order (world, engine, order);
  push (world, controller, CALL_DELAY, &event);
}

static void
engine_state (OrdersWorld *world, int controller, DpName target)
{
  Engine *engine = &world->engines[find_engine (target)];
  engine->restarted_unread = FALSE;
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_TARGET_STATE };
  event.state.target = target;
  event.state.reachable = TRUE;
  for (guint k = 0; k < MODELS; k++)
    {
      event.state.is_loading |= engine->ready_at[k] != 0;
      if (engine->warm[k])
        event.state.models[event.state.model_count++] = dp_name (model_names[k]);
    }
  push (world, controller, CALL_DELAY, &event);
}

static void
carry_out (OrdersWorld *world, int controller, const DpOrdersAction *action)
{
  switch (action->type)
    {
    case DP_ORDERS_ACTION_LEASE_READ:
      store_read (world, controller);
      break;
    case DP_ORDERS_ACTION_LEASE_WRITE:
      store_write (world, controller, &action->lease_write);
      break;
    case DP_ORDERS_ACTION_READ_STATE:
      engine_state (world, controller, action->order.target);
      break;
    case DP_ORDERS_ACTION_ORDER:
      world->orders_sent[controller]++;
      push_order (world, controller, &action->order);
      break;
    }
}

static void
handle (OrdersWorld *world, int controller, DpOrdersEvent *event)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpOrdersAction));
  event->now = world->now;
  dp_orders_handle (world->boards[controller], event, actions);
  for (guint i = 0; i < actions->len; i++)
    carry_out (world, controller, &g_array_index (actions, DpOrdersAction, i));
  g_array_unref (actions);
}

static gboolean
is_running (const OrdersWorld *world, int controller)
{
  return !world->paused[controller] && !world->dead[controller];
}

/* Events of a paused controller wait for it; those of a dead one are lost. */
static void
deliver_due (OrdersWorld *world)
{
  for (guint i = 0; i < EVENTS_MAX; i++)
    {
      Pending *pending = &world->pending[i];
      if (!pending->used || pending->due > world->now)
        continue;
      if (pending->is_order)
        {
          pending->used = FALSE;
          engine_order (world, pending->controller, &pending->order);
          continue;
        }
      if (world->paused[pending->controller])
        continue;
      pending->used = FALSE;
      if (!world->dead[pending->controller])
        handle (world, pending->controller, &pending->event);
    }
}

static void
finish_loads (OrdersWorld *world)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      for (guint k = 0; k < MODELS; k++)
        {
          Engine *engine = &world->engines[i];
          if (engine->ready_at[k] == 0 || engine->ready_at[k] > world->now)
            continue;
          engine->ready_at[k] = 0;
          engine->warm[k] = TRUE;
        }
    }
}

int
orders_holder (const OrdersWorld *world)
{
  int holder = -1;
  for (int i = 0; i < CONTROLLERS; i++)
    {
      if (!dp_orders_holds_lease (world->boards[i], world->now) || !is_running (world, i))
        continue;
      ck_assert_msg (holder < 0, "two holders at once");
      holder = i;
    }
  return holder;
}

void
orders_run (OrdersWorld *world, DpUsec duration)
{
  DpUsec end = world->now + duration;
  while (world->now < end)
    {
      world->now += STEP;
      finish_loads (world);
      deliver_due (world);
      for (int i = 0; i < CONTROLLERS; i++)
        {
          DpOrdersEvent tick = { .type = DP_ORDERS_EVENT_TICK };
          if (is_running (world, i))
            handle (world, i, &tick);
        }
      (void)orders_holder (world);
    }
}

void
orders_give_manifest (OrdersWorld *world, const guint wishes[ENGINES])
{
  DpManifest *manifest = build_manifest (wishes);
  for (int i = 0; i < CONTROLLERS; i++)
    {
      DpOrdersEvent event = { .type = DP_ORDERS_EVENT_MANIFEST, .manifest = manifest };
      if (!world->dead[i])
        handle (world, i, &event);
    }
  dp_manifest_unref (manifest);
}

void
orders_give_view (OrdersWorld *world, int controller, gboolean is_leaving)
{
  DpView *view = view_of (controller, is_leaving);
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_VIEW, .view = view };
  handle (world, controller, &event);
  dp_view_unref (view);
}

OrdersWorld *
orders_world_new (const guint wishes[ENGINES])
{
  OrdersWorld *world = g_new0 (OrdersWorld, 1);
  world->now = 1000 * DP_USEC_PER_SEC;
  for (guint i = 0; i < ENGINES; i++)
    {
      world->engines[i].checks_fence = i >= ENGINES / 2;
      world->engines[i].last_controller = -1;
    }
  for (int i = 0; i < CONTROLLERS; i++)
    {
      DpCounters *counters = dp_counters_new ();
      DpOrdersOptions options = { .vm = dp_name (vm_names[i]), .data_centre = dp_name ("dc") };
      options.incarnation = 7;
      options.seed = (guint64)i + 1;
      options.counters = counters;
      world->boards[i] = dp_orders_board_new (&options);
      dp_counters_unref (counters);
      orders_give_view (world, i, FALSE);
    }
  orders_give_manifest (world, wishes);
  return world;
}

void
orders_world_free (OrdersWorld *world)
{
  for (int i = 0; i < CONTROLLERS; i++)
    dp_orders_board_unref (world->boards[i]);
  g_free (world);
}

void
orders_check_carried (const OrdersWorld *world, const guint wishes[ENGINES])
{
  for (guint i = 0; i < ENGINES; i++)
    {
      for (guint k = 0; k < MODELS; k++)
        ck_assert_msg (world->engines[i].warm[k] == (gboolean)((wishes[i] >> k) & 1u),
                       "engine %u, model %u: warm is %d", i, k, world->engines[i].warm[k]);
    }
}

void
orders_check_promises (const OrdersWorld *world)
{
  ck_assert_uint_eq (world->stale_orders, 0);
  ck_assert_uint_eq (world->last_copies_lost, 0);
  ck_assert_uint_le (world->loads_at_once_max, 2);
}
