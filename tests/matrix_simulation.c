#include "tests/matrix.h"

#include <string.h>

typedef struct QueuedEvent
{
  DpUsec at;
  guint64 sequence;
  SimulationCallback run;
  gpointer data;
} QueuedEvent;

static int
compare_events (gconstpointer a, gconstpointer b, gpointer unused)
{
  const QueuedEvent *left = a;
  const QueuedEvent *right = b;
  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

void
simulation_log (Simulation *sim, const char *format, ...)
{
  if (sim->trace == NULL)
    return;
  va_list args;
  va_start (args, format);
  g_string_append_printf (sim->trace, "%9.3f ms ", (double)sim->now / 1000.0);
  g_string_append_vprintf (sim->trace, format, args);
  g_string_append_c (sim->trace, '\n');
  va_end (args);
}

void
simulation_schedule (Simulation *sim, DpUsec at, SimulationCallback run, gpointer data)
{
  QueuedEvent *event = g_new0 (QueuedEvent, 1);
  event->at = MAX (at, sim->now);
  event->sequence = ++sim->sequence;
  event->run = run;
  event->data = data;
  g_sequence_insert_sorted (sim->queue, event, compare_events, NULL);
}

void
simulation_run_until (Simulation *sim, DpUsec until)
{
  while (!g_sequence_is_empty (sim->queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->queue);
      QueuedEvent event = *(QueuedEvent *)g_sequence_get (first);
      if (event.at > until)
        break;
      g_sequence_remove (first);
      sim->now = event.at;
      event.run (sim, event.data);
    }
  sim->now = until;
}

DpUsec
simulation_random_delay (Simulation *sim)
{
  return 300 + g_rand_int_range (sim->rand, 0, 700);
}

DpUsec
simulation_vm_ready_at (const Simulation *sim, guint vm)
{
  return MAX (sim->now, sim->vms[vm].frozen_until);
}

int
simulation_vm_index (DpName name)
{
  for (guint i = 0; i < SIMULATED_VMS; i++)
    if (fixture_vm (i) == name)
      return (int)i;
  return -1;
}

gboolean
simulation_reach_step (Simulation *sim, guint vm, RequestKind kind, RequestStep step)
{
  guint generation = sim->vms[vm].generation;
  for (guint i = 0; i < sim->fault_count; i++)
    {
      PlannedFault *fault = &sim->faults[i];
      if (fault->fired || fault->vm != vm || fault->kind != kind || fault->step != step)
        continue;
      fault->fired = TRUE;
      simulation_log (sim, "fault %u injected into vm %u at step %d", i, vm, step);
      fault->apply (sim, vm);
    }
  return sim->vms[vm].generation == generation;
}

/* --- messages between VMs --- */

typedef struct QueuedMessage
{
  guint from;
  guint to;
  DpMessage message;
  DpRole role;
} QueuedMessage;

gboolean
simulation_link_is_down (const Simulation *sim, guint from, guint to)
{
  if (from == to)
    return FALSE;
  gboolean crosses = from / FIXTURE_VMS != to / FIXTURE_VMS;
  return sim->now < sim->vms[from].outbound_blocked_until
         || sim->now < sim->vms[to].inbound_blocked_until
         || (crosses && sim->now < sim->data_centre_partition_until);
}

static RequestKind
request_kind (Simulation *sim, DpId attempt)
{
  gpointer kind = g_hash_table_lookup (sim->kinds_by_attempt, &attempt);
  return kind != NULL ? (RequestKind)(GPOINTER_TO_UINT (kind) - 1) : KIND_OUTCOME_QUERY;
}

static void
receive_message (Simulation *sim, gpointer data)
{
  QueuedMessage *queued = data;
  SimulatedVm *vm = &sim->vms[queued->to];
  if (!vm->alive || simulation_link_is_down (sim, queued->from, queued->to))
    {
      g_free (queued);
      return;
    }
  if (sim->now < vm->frozen_until)
    {
      simulation_schedule (sim, vm->frozen_until, receive_message, queued);
      return;
    }
  if (queued->role == DP_ROLE_SCHEDULER)
    {
      owner_on_message (sim, queued->to, queued->from, &queued->message);
      g_free (queued);
      return;
    }
  if (queued->message.type == DP_MESSAGE_GRANT_GIVEN
      && !simulation_reach_step (sim, queued->to,
                                 request_kind (sim, queued->message.grant_given.attempt),
                                 STEP_GRANT_GIVEN))
    {
      g_free (queued);
      return;
    }
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE };
  event.from.vm = fixture_vm (queued->from);
  gboolean from_entry = queued->message.type == DP_MESSAGE_HOLDER_ASK
                        || queued->message.type == DP_MESSAGE_HOLDER_ANSWER
                        || queued->message.type == DP_MESSAGE_QUARANTINE;
  event.from.role = from_entry ? DP_ROLE_ENTRY : DP_ROLE_SCHEDULER;
  event.message = &queued->message;
  simulation_deliver (sim, queued->to, vm->generation, event, queued);
}

static void
send_delayed (Simulation *sim, guint from, DpPeer to, const DpMessage *message, DpUsec extra)
{
  int index = simulation_vm_index (to.vm);
  if (index < 0 || simulation_link_is_down (sim, from, (guint)index))
    return;
  QueuedMessage *queued = g_new0 (QueuedMessage, 1);
  queued->from = from;
  queued->to = (guint)index;
  queued->role = to.role;
  queued->message = *message;
  simulation_schedule (sim, sim->now + simulation_random_delay (sim) + extra, receive_message,
                       queued);
}

void
simulation_send (Simulation *sim, guint from, DpPeer to, const DpMessage *message)
{
  send_delayed (sim, from, to, message, 0);
  if (sim->duplicates)
    send_delayed (sim, from, to, message, g_rand_int_range (sim->rand, 1000, 400000));
}

/* --- an entry process --- */

static gboolean
send_message (Simulation *sim, guint vm, const DpEntryAction *action)
{
  if (action->message.type == DP_MESSAGE_GRANT_ASK)
    {
      const DpGrantAsk *ask = &action->message.grant_ask;
      RequestKind kind = ask->model != 0   ? KIND_CHAT
                         : ask->repeatable ? KIND_REPEATABLE
                                           : KIND_BOOKING;
      g_hash_table_insert (sim->kinds_by_attempt, g_memdup2 (&ask->attempt, sizeof (DpId)),
                           GUINT_TO_POINTER (kind + 1));
      if (!simulation_reach_step (sim, vm, kind, STEP_GRANT_REQUEST))
        return FALSE;
    }
  simulation_send (sim, vm, action->to, &action->message);
  return TRUE;
}

/* FALSE: the process has crashed. */
static gboolean
perform_action (Simulation *sim, guint vm, const DpEntryAction *action)
{
  switch (action->type)
    {
    case DP_ENTRY_ACTION_SEND:
      return send_message (sim, vm, action);
    case DP_ENTRY_ACTION_DISPATCH:
      target_dispatch (sim, vm, &action->dispatch);
      break;
    case DP_ENTRY_ACTION_CANCEL:
      target_cancel (sim, action->cancel);
      break;
    case DP_ENTRY_ACTION_CLAIM_READ:
      store_read (sim, vm, action->claim_read);
      break;
    case DP_ENTRY_ACTION_CLAIM_WRITE:
      store_write (sim, vm, &action->claim_write);
      break;
    default:
      caller_on_action (sim, action);
      break;
    }
  return sim->vms[vm].alive;
}

static void
handle_event (Simulation *sim, guint vm, DpEntryEvent event)
{
  event.now = sim->now;
  event.wall = FIXTURE_WALL + sim->now;
  GArray *actions = dp_entry_actions_new ();
  dp_entry_handle (sim->vms[vm].core, &event, actions);
  guint generation = sim->vms[vm].generation;
  for (guint i = 0; i < actions->len; i++)
    if (!perform_action (sim, vm, &g_array_index (actions, DpEntryAction, i))
        || sim->vms[vm].generation != generation)
      break;
  g_array_unref (actions);
}

typedef struct Delivery
{
  guint vm;
  guint generation;
  DpEntryEvent event;
  gpointer data;
} Delivery;

static void
run_delivery (Simulation *sim, gpointer data)
{
  Delivery *delivery = data;
  const SimulatedVm *vm = &sim->vms[delivery->vm];
  gboolean current = vm->alive && vm->generation == delivery->generation;
  if (current && sim->now < vm->frozen_until)
    {
      simulation_schedule (sim, vm->frozen_until, run_delivery, delivery);
      return;
    }
  if (current)
    handle_event (sim, delivery->vm, delivery->event);
  g_free (delivery->data);
  g_free (delivery);
}

void
simulation_deliver (
  Simulation *sim, guint vm, guint generation, DpEntryEvent event, gpointer data)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->vm = vm;
  delivery->generation = generation;
  delivery->event = event;
  delivery->data = data;
  run_delivery (sim, delivery);
}

void
simulation_queue_event (Simulation *sim, guint vm, DpEntryEvent event)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->vm = vm;
  delivery->generation = sim->vms[vm].generation;
  delivery->event = event;
  simulation_schedule (sim, sim->now, run_delivery, delivery);
}

typedef struct Ticker
{
  guint vm;
  guint generation;
} Ticker;

static void
tick (Simulation *sim, gpointer data)
{
  Ticker *ticker = data;
  const SimulatedVm *vm = &sim->vms[ticker->vm];
  if (!vm->alive || vm->generation != ticker->generation)
    {
      g_free (ticker);
      return;
    }
  if (sim->now >= vm->frozen_until)
    {
      owner_tick (sim, ticker->vm);
      handle_event (sim, ticker->vm, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
    }
  if (vm->alive && vm->generation == ticker->generation)
    simulation_schedule (sim, simulation_vm_ready_at (sim, ticker->vm) + TICK_INTERVAL, tick,
                         ticker);
  else
    g_free (ticker);
}

static void
deliver_view (Simulation *sim, guint vm)
{
  owner_on_view (sim, vm);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_VIEW, .view = sim->view };
  simulation_deliver (sim, vm, sim->vms[vm].generation, event, NULL);
}

void
simulation_publish_view (Simulation *sim)
{
  DpView *view = dp_view_new (sim->view->version + 1, sim->vm_rows, SIMULATED_VMS);
  g_ptr_array_add (sim->views, view);
  sim->view = view;
  for (guint i = 0; i < SIMULATED_VMS; i++)
    if (sim->vms[i].alive)
      deliver_view (sim, i);
}

void
simulation_start_vm (Simulation *sim, guint index)
{
  SimulatedVm *vm = &sim->vms[index];
  vm->alive = TRUE;
  vm->generation += 1;
  vm->incarnation += 1;
  vm->frozen_until = 0;
  DpEntryOptions options = {
    .vm = fixture_vm (index),
    .data_centre = fixture_data_centre (index / FIXTURE_VMS),
    .incarnation = vm->incarnation,
    .seed = g_rand_int (sim->rand),
    .requests_max = 1000,
    .counters = sim->counters,
  };
  vm->core = dp_entry_core_new (&options);
  handle_event (sim, index,
                (DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = sim->manifest });
  handle_event (sim, index, (DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = sim->view });
  owner_start (sim, index);
  Ticker *ticker = g_new0 (Ticker, 1);
  ticker->vm = index;
  ticker->generation = vm->generation;
  simulation_schedule (sim, sim->now + g_rand_int_range (sim->rand, 1, (gint32)TICK_INTERVAL),
                       tick, ticker);
}

void
simulation_crash_vm (Simulation *sim, guint index)
{
  SimulatedVm *vm = &sim->vms[index];
  if (!vm->alive)
    return;
  simulation_log (sim, "vm %u crashes", index);
  vm->alive = FALSE;
  vm->generation += 1;
  owner_stop (sim, index);
  target_on_vm_crash (sim, index);
  callers_on_vm_crash (sim, index);
  /* The core may be in use up the call stack: it is released with the simulation. */
  g_ptr_array_add (sim->stopped_cores, vm->core);
  vm->core = NULL;
}

Simulation *
simulation_new (guint32 seed, gboolean real_schedulers)
{
  Simulation *sim = g_new0 (Simulation, 1);
  sim->real_schedulers = real_schedulers;
  sim->queue = g_sequence_new (g_free);
  sim->rand = g_rand_new_with_seed (seed);
  sim->manifest = fixture_manifest ();
  sim->counters = dp_counters_new ();
  sim->views = g_ptr_array_new_with_free_func ((GDestroyNotify)dp_view_unref);
  sim->stopped_cores = g_ptr_array_new_with_free_func ((GDestroyNotify)dp_entry_core_unref);
  sim->view = fixture_view ();
  g_ptr_array_add (sim->views, sim->view);
  sim->reply_records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  sim->connections = g_ptr_array_new_with_free_func (g_free);
  sim->callers = g_ptr_array_new ();
  sim->effects = g_array_new (FALSE, FALSE, sizeof (Effect));
  sim->kinds_by_attempt = g_hash_table_new_full (dp_id_hash, dp_id_equal_func, g_free, NULL);
  for (guint i = 0; i < sim->manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (sim->manifest, targets, DpTarget, i);
      sim->targets[sim->target_count++].name = target->name;
    }
  for (guint i = 0; i < SIMULATED_VMS; i++)
    {
      sim->vm_rows[i] = fixture_vm_row (i);
      sim->vms[i].granted
        = g_hash_table_new_full (dp_id_hash, dp_id_equal_func, g_free, g_free);
      simulation_start_vm (sim, i);
    }
  return sim;
}

/* Runs all queued events with all VMs crashed, so that every callback frees its data. */
static void
drain (Simulation *sim)
{
  for (guint i = 0; i < SIMULATED_VMS; i++)
    simulation_crash_vm (sim, i);
  sim->stopping = TRUE;
  while (!g_sequence_is_empty (sim->queue))
    simulation_run_until (sim, sim->now + 60 * DP_USEC_PER_SEC);
}

void
simulation_free (Simulation *sim)
{
  drain (sim);
  for (guint i = 0; i < SIMULATED_VMS; i++)
    g_hash_table_unref (sim->vms[i].granted);
  store_clear (sim);
  callers_clear (sim);
  g_sequence_free (sim->queue);
  g_rand_free (sim->rand);
  g_ptr_array_unref (sim->stopped_cores);
  g_ptr_array_unref (sim->views);
  g_ptr_array_unref (sim->reply_records);
  g_ptr_array_unref (sim->connections);
  g_array_unref (sim->effects);
  g_hash_table_unref (sim->kinds_by_attempt);
  dp_counters_unref (sim->counters);
  dp_manifest_unref (sim->manifest);
  if (sim->trace != NULL)
    g_string_free (sim->trace, TRUE);
  g_free (sim);
}
