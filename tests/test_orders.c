/* Orders to engines: the lease, fencing numbers, and what engines are told to carry.
 *
 * Two controllers that both believe to be first, a fake object API and fake engines, in virtual
 * time. The checks read only what the engines and the object API saw.
 */
#include "core/orders.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define CONTROLLERS 2
#define ENGINES 4
#define MODELS 2
#define STEP (100 * DP_USEC_PER_MSEC)
#define CALL_DELAY (5 * DP_USEC_PER_MSEC)
#define LOAD_TIME (20 * DP_USEC_PER_SEC)
#define EVENTS_MAX 4096
#define STORE_DOWN_CALL_TIMEOUT (2 * DP_USEC_PER_SEC)

static const char *const vm_names[CONTROLLERS] = { "vm-a", "vm-b" };
static const char *const engine_names[ENGINES] = { "e0", "e1", "e2", "e3" };
static const char *const model_names[MODELS] = { "m0", "m1" };

/* --- the world outside --- */

typedef struct Engine
{
  gboolean checks_fence;
  guint64 fence_seen;
  gboolean warm[MODELS];
  DpUsec ready_at[MODELS]; /* 0: not loading */
  guint orders_accepted;
  guint orders_refused;
  int last_controller;       /* whose order was accepted last */
  gboolean restarted_unread; /* restarted, and no controller has read its state since */
  gboolean reloads;          /* got an order that was decided before its restart was seen */
} Engine;

typedef struct Store
{
  gboolean exists;
  guint64 version;
  DpLease lease;
  guint64 next_version;
  gboolean is_down;
  gboolean is_cut_from[CONTROLLERS];
  guint answers_to_lose; /* of writes that take effect */
} Store;

/* An event on its way to a controller, or an order on its way to an engine. */
typedef struct Pending
{
  DpUsec due;
  int controller;
  gboolean is_order;
  DpOrdersEvent event;
  DpOrder order;
  gboolean used;
} Pending;

typedef struct World
{
  DpUsec now;
  Store store;
  Engine engines[ENGINES];
  DpOrdersBoard *boards[CONTROLLERS];
  gboolean paused[CONTROLLERS];
  gboolean dead[CONTROLLERS];
  DpUsec order_delay[CONTROLLERS];
  guint lease_reads[CONTROLLERS];
  guint orders_sent[CONTROLLERS];
  Pending pending[EVENTS_MAX];
  int holder_history[64]; /* controllers in the order of their lease writes */
  guint holders;
  DpManifest *manifest;
  /* findings of the checks */
  guint stale_orders;     /* accepted from a former holder by an engine that checks no fence */
  guint last_copies_lost; /* an order took the last warm copy of a model */
  guint loads_at_once_max;
  guint loads_started;
} World;

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
add_pending (World *world, int controller, DpUsec delay)
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
push (World *world, int controller, DpUsec delay, const DpOrdersEvent *event)
{
  add_pending (world, controller, delay)->event = *event;
}

static void
push_order (World *world, int controller, const DpOrder *order)
{
  Pending *pending = add_pending (world, controller, world->order_delay[controller]);
  pending->is_order = TRUE;
  pending->order = *order;
}

static gboolean
store_is_reachable (const World *world, int controller)
{
  return !world->store.is_down && !world->store.is_cut_from[controller];
}

static void
store_read (World *world, int controller)
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
store_write (World *world, int controller, const DpLeaseWrite *write)
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
warm_copies (const World *world, guint model)
{
  guint copies = 0;
  for (guint i = 0; i < ENGINES; i++)
    copies += world->engines[i].warm[model] ? 1 : 0;
  return copies;
}

/* An order decided within the moment between a restart and its discovery makes the engine load
 * again what it had: such an engine counts as one load. */
static guint
loads_under_way (const World *world)
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
apply_order (World *world, Engine *engine, const DpOrder *order)
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
engine_order (World *world, int controller, const DpOrder *order)
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
engine_state (World *world, int controller, DpName target)
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
carry_out (World *world, int controller, const DpOrdersAction *action)
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
handle (World *world, int controller, DpOrdersEvent *event)
{
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpOrdersAction));
  event->now = world->now;
  dp_orders_handle (world->boards[controller], event, actions);
  for (guint i = 0; i < actions->len; i++)
    carry_out (world, controller, &g_array_index (actions, DpOrdersAction, i));
  g_array_unref (actions);
}

static gboolean
is_running (const World *world, int controller)
{
  return !world->paused[controller] && !world->dead[controller];
}

/* Events of a paused controller wait for it; those of a dead one are lost. */
static void
deliver_due (World *world)
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
finish_loads (World *world)
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

static int
current_holder (const World *world)
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

static void
run_for (World *world, DpUsec duration)
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
      (void)current_holder (world);
    }
}

static void
give_manifest (World *world, const guint wishes[ENGINES])
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

static void
give_view (World *world, int controller, gboolean is_leaving)
{
  DpView *view = view_of (controller, is_leaving);
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_VIEW, .view = view };
  handle (world, controller, &event);
  dp_view_unref (view);
}

static World *
world_new (const guint wishes[ENGINES])
{
  World *world = g_new0 (World, 1);
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
      give_view (world, i, FALSE);
    }
  give_manifest (world, wishes);
  return world;
}

static void
world_free (World *world)
{
  for (int i = 0; i < CONTROLLERS; i++)
    dp_orders_board_unref (world->boards[i]);
  g_free (world);
}

static void
check_carried (const World *world, const guint wishes[ENGINES])
{
  for (guint i = 0; i < ENGINES; i++)
    {
      for (guint k = 0; k < MODELS; k++)
        ck_assert_msg (world->engines[i].warm[k] == (gboolean)((wishes[i] >> k) & 1u),
                       "engine %u, model %u: warm is %d", i, k, world->engines[i].warm[k]);
    }
}

static void
check_promises (const World *world)
{
  ck_assert_uint_eq (world->stale_orders, 0);
  ck_assert_uint_eq (world->last_copies_lost, 0);
  ck_assert_uint_le (world->loads_at_once_max, 2);
}

/* --- cases --- */

static const guint all_m0[ENGINES] = { 1, 1, 1, 1 };
static const guint mixed[ENGINES] = { 1, 2, 1, 2 };
static const guint swapped[ENGINES] = { 2, 1, 2, 1 };

START_TEST (engines_come_to_carry_what_the_manifest_wishes)
{
  World *world = world_new (mixed);
  run_for (world, 120 * DP_USEC_PER_SEC);
  check_carried (world, mixed);
  check_promises (world);
  guint orders = world->engines[0].orders_accepted;
  run_for (world, 120 * DP_USEC_PER_SEC);
  ck_assert_msg (world->engines[0].orders_accepted == orders, "orders go on without need");
  world_free (world);
}
END_TEST

START_TEST (swapping_models_never_takes_the_last_warm_copy)
{
  World *world = world_new (mixed);
  run_for (world, 120 * DP_USEC_PER_SEC);
  give_manifest (world, swapped);
  run_for (world, 300 * DP_USEC_PER_SEC);
  check_carried (world, swapped);
  check_promises (world);
  world_free (world);
}
END_TEST

START_TEST (moving_the_only_copy_loads_before_it_unloads)
{
  static const guint on_first[ENGINES] = { 1, 2, 2, 2 };
  static const guint on_second[ENGINES] = { 0, 1, 2, 2 };
  World *world = world_new (on_first);
  run_for (world, 120 * DP_USEC_PER_SEC);
  check_carried (world, on_first);
  give_manifest (world, on_second);
  run_for (world, 300 * DP_USEC_PER_SEC);
  check_carried (world, on_second);
  check_promises (world);
  world_free (world);
}
END_TEST

/* The margin is kept twice: before the lease lapses, and after the next holder took it. */
#define SLOWEST_ORDER (2 * DP_ORDER_PAUSE_MARGIN - 1500 * DP_USEC_PER_MSEC)
#define CUT_STEPS 90
#define CUT_STEP (100 * DP_USEC_PER_MSEC)

/* The holder is cut from the platform, goes on ordering while its lease is valid, and its last
 * orders are slow. None may reach an engine after the next holder's. */
START_TEST (orders_under_way_do_not_follow_the_next_holders)
{
  for (guint step = 0; step < CUT_STEPS; step++)
    {
      World *world = world_new (mixed);
      run_for (world, 120 * DP_USEC_PER_SEC);
      int holder = current_holder (world);
      ck_assert_int_ge (holder, 0);
      world->store.is_cut_from[holder] = TRUE;
      run_for (world, step * CUT_STEP);
      world->order_delay[holder] = SLOWEST_ORDER;
      give_manifest (world, swapped);
      run_for (world, 120 * DP_USEC_PER_SEC);
      check_promises (world);
      world_free (world);
    }
}
END_TEST

START_TEST (a_resumed_holder_reads_its_lease_before_it_orders)
{
  World *world = world_new (mixed);
  run_for (world, 60 * DP_USEC_PER_SEC);
  int holder = current_holder (world);
  ck_assert_int_ge (holder, 0);
  world->paused[holder] = TRUE;
  run_for (world, 3 * DP_USEC_PER_SEC);
  world->paused[holder] = FALSE;
  world->store.is_down = TRUE;
  give_manifest (world, swapped);
  guint sent = world->orders_sent[holder];
  guint reads = world->lease_reads[holder];
  run_for (world, 3 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (world->orders_sent[holder], sent);
  ck_assert_uint_gt (world->lease_reads[holder], reads);
  world_free (world);
}
END_TEST

typedef enum Fault
{
  FAULT_PAUSE,
  FAULT_KILL,
  FAULT_STORE_DOWN,
  FAULT_CUT_FROM_STORE,
  FAULT_LOST_ANSWERS,
  FAULT_ENGINE_RESTART,
  FAULT_COUNT,
} Fault;

#define FAULT_STEPS 12
#define FAULT_STEP (5900 * DP_USEC_PER_MSEC)

static void
begin_fault (World *world, Fault fault, int holder)
{
  switch (fault)
    {
    case FAULT_PAUSE:
      world->paused[holder] = TRUE;
      break;
    case FAULT_KILL:
      world->dead[holder] = TRUE;
      break;
    case FAULT_STORE_DOWN:
      world->store.is_down = TRUE;
      break;
    case FAULT_CUT_FROM_STORE:
      world->store.is_cut_from[holder] = TRUE;
      break;
    case FAULT_LOST_ANSWERS:
      world->store.answers_to_lose = 3;
      break;
    case FAULT_ENGINE_RESTART:
      memset (world->engines[3].warm, 0, sizeof world->engines[3].warm);
      memset (world->engines[3].ready_at, 0, sizeof world->engines[3].ready_at);
      world->engines[3].restarted_unread = TRUE;
      break;
    default:
      break;
    }
}

static void
end_faults (World *world)
{
  world->store.is_down = FALSE;
  for (int i = 0; i < CONTROLLERS; i++)
    {
      world->paused[i] = FALSE;
      world->store.is_cut_from[i] = FALSE;
    }
}

/* Each fault, and each pair of faults, at each step of taking the lease and swapping models. */
START_TEST (faults_at_every_step_break_no_promise)
{
  Fault first = (Fault)(_i / FAULT_COUNT);
  Fault second = (Fault)(_i % FAULT_COUNT);
  for (guint step = 0; step < FAULT_STEPS; step++)
    {
      World *world = world_new (mixed);
      run_for (world, 60 * DP_USEC_PER_SEC);
      give_manifest (world, swapped);
      run_for (world, step * FAULT_STEP);
      int holder = current_holder (world);
      begin_fault (world, first, MAX (holder, 0));
      run_for (world, 3 * DP_USEC_PER_SEC);
      if (second != first)
        begin_fault (world, second, MAX (holder, 0));
      run_for (world, 40 * DP_USEC_PER_SEC);
      end_faults (world);
      run_for (world, 400 * DP_USEC_PER_SEC);
      (void)current_holder (world);
      check_promises (world);
      check_carried (world, swapped);
      world_free (world);
    }
}
END_TEST

START_TEST (without_the_platform_no_order_is_given)
{
  World *world = world_new (all_m0);
  run_for (world, 5 * DP_USEC_PER_SEC);
  world->store.is_down = TRUE;
  run_for (world, DP_LEASE_DURATION + DP_USEC_PER_SEC);
  guint before = 0;
  for (guint i = 0; i < ENGINES; i++)
    before += world->engines[i].orders_accepted;
  run_for (world, 120 * DP_USEC_PER_SEC);
  guint after = 0;
  for (guint i = 0; i < ENGINES; i++)
    after += world->engines[i].orders_accepted;
  ck_assert_uint_eq (before, after);
  ck_assert_int_eq (current_holder (world), -1);
  world_free (world);
}
END_TEST

START_TEST (a_leaving_holder_gives_the_lease_back_at_once)
{
  World *world = world_new (all_m0);
  run_for (world, 5 * DP_USEC_PER_SEC);
  int holder = current_holder (world);
  ck_assert_int_ge (holder, 0);
  give_view (world, holder, TRUE);
  run_for (world, 4 * DP_USEC_PER_SEC);
  ck_assert_int_eq (current_holder (world), 1 - holder);
  check_promises (world);
  world_free (world);
}
END_TEST

START_TEST (an_old_fencing_number_is_refused_and_ends_the_lease)
{
  World *world = world_new (all_m0);
  world->engines[ENGINES - 1].fence_seen = 1000;
  world->store.next_version = 10;
  run_for (world, 60 * DP_USEC_PER_SEC);
  ck_assert_uint_gt (world->engines[ENGINES - 1].orders_refused, 0);
  ck_assert_uint_eq (world->engines[ENGINES - 1].orders_accepted, 0);
  world_free (world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("orders");
  TCase *tcase = tcase_create ("orders");
  tcase_set_timeout (tcase, 120);
  tcase_add_test (tcase, engines_come_to_carry_what_the_manifest_wishes);
  tcase_add_test (tcase, swapping_models_never_takes_the_last_warm_copy);
  tcase_add_test (tcase, moving_the_only_copy_loads_before_it_unloads);
  tcase_add_test (tcase, orders_under_way_do_not_follow_the_next_holders);
  tcase_add_test (tcase, a_resumed_holder_reads_its_lease_before_it_orders);
  tcase_add_loop_test (tcase, faults_at_every_step_break_no_promise, 0,
                       FAULT_COUNT * FAULT_COUNT);
  tcase_add_test (tcase, without_the_platform_no_order_is_given);
  tcase_add_test (tcase, a_leaving_holder_gives_the_lease_back_at_once);
  tcase_add_test (tcase, an_old_fencing_number_is_refused_and_ends_the_lease);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
