#include "tests/matrix.h"

#include <string.h>

typedef struct Item
{
  DpUsec at;
  guint64 sequence;
  WorldCallback run;
  gpointer data;
} Item;

static int
compare_items (gconstpointer a, gconstpointer b, gpointer unused)
{
  const Item *left = a;
  const Item *right = b;
  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

void
world_log (World *world, const char *format, ...)
{
  if (world->trace == NULL)
    return;
  va_list args;
  va_start (args, format);
  g_string_append_printf (world->trace, "%9.3f ms ", (double)world->now / 1000.0);
  g_string_append_vprintf (world->trace, format, args);
  g_string_append_c (world->trace, '\n');
  va_end (args);
}

void
world_at (World *world, DpUsec at, WorldCallback run, gpointer data)
{
  Item *item = g_new0 (Item, 1);
  item->at = MAX (at, world->now);
  item->sequence = ++world->sequence;
  item->run = run;
  item->data = data;
  g_sequence_insert_sorted (world->queue, item, compare_items, NULL);
}

void
world_run_until (World *world, DpUsec until)
{
  while (!g_sequence_is_empty (world->queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->queue);
      Item item = *(Item *)g_sequence_get (first);
      if (item.at > until)
        break;
      g_sequence_remove (first);
      world->now = item.at;
      item.run (world, item.data);
    }
  world->now = until;
}

DpUsec
world_delay (World *world)
{
  return 300 + g_rand_int_range (world->rand, 0, 700);
}

DpUsec
world_ready_at (const World *world, guint vm)
{
  return MAX (world->now, world->vms[vm].frozen_until);
}

int
world_vm_index (DpName name)
{
  for (guint i = 0; i < WORLD_VMS; i++)
    if (fixture_vm (i) == name)
      return (int)i;
  return -1;
}

gboolean
world_step (World *world, guint vm, RequestKind kind, Step step)
{
  guint generation = world->vms[vm].generation;
  for (guint i = 0; i < world->fault_count; i++)
    {
      PlannedFault *fault = &world->faults[i];
      if (fault->fired || fault->vm != vm || fault->kind != kind || fault->step != step)
        continue;
      fault->fired = TRUE;
      world_log (world, "fault %u strikes vm %u at step %d", i, vm, step);
      fault->apply (world, vm);
    }
  return world->vms[vm].generation == generation;
}

/* --- messages between VMs --- */

typedef struct Letter
{
  guint from;
  guint to;
  DpMessage message;
  DpRole role;
} Letter;

gboolean
world_is_cut (const World *world, guint from, guint to)
{
  if (from == to)
    return FALSE;
  gboolean crosses = from / FIXTURE_VMS != to / FIXTURE_VMS;
  return world->now < world->vms[from].cut_out_until || world->now < world->vms[to].cut_in_until
         || (crosses && world->now < world->centre_cut_until);
}

static RequestKind
kind_of (World *world, DpId attempt)
{
  gpointer kind = g_hash_table_lookup (world->kinds, &attempt);
  return kind != NULL ? (RequestKind)(GPOINTER_TO_UINT (kind) - 1) : KIND_OUTCOME;
}

static void
receive_letter (World *world, gpointer data)
{
  Letter *letter = data;
  WorldVm *vm = &world->vms[letter->to];
  if (!vm->alive || world_is_cut (world, letter->from, letter->to))
    {
      g_free (letter);
      return;
    }
  if (world->now < vm->frozen_until)
    {
      world_at (world, vm->frozen_until, receive_letter, letter);
      return;
    }
  if (letter->role == DP_ROLE_SCHEDULER)
    {
      owner_handle (world, letter->to, letter->from, &letter->message);
      g_free (letter);
      return;
    }
  if (letter->message.type == DP_MESSAGE_GRANT_GIVEN
      && !world_step (world, letter->to, kind_of (world, letter->message.grant_given.attempt),
                      STEP_GIVEN))
    {
      g_free (letter);
      return;
    }
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_MESSAGE };
  event.from.vm = fixture_vm (letter->from);
  gboolean from_entry = letter->message.type == DP_MESSAGE_HOLDER_ASK
                        || letter->message.type == DP_MESSAGE_HOLDER_ANSWER
                        || letter->message.type == DP_MESSAGE_QUARANTINE;
  event.from.role = from_entry ? DP_ROLE_ENTRY : DP_ROLE_SCHEDULER;
  event.message = &letter->message;
  world_deliver (world, letter->to, vm->generation, event, letter);
}

static void
post (World *world, guint from, DpPeer to, const DpMessage *message, DpUsec extra)
{
  int index = world_vm_index (to.vm);
  if (index < 0 || world_is_cut (world, from, (guint)index))
    return;
  Letter *letter = g_new0 (Letter, 1);
  letter->from = from;
  letter->to = (guint)index;
  letter->role = to.role;
  letter->message = *message;
  world_at (world, world->now + world_delay (world) + extra, receive_letter, letter);
}

void
world_post (World *world, guint from, DpPeer to, const DpMessage *message)
{
  post (world, from, to, message, 0);
  if (world->duplicates)
    post (world, from, to, message, g_rand_int_range (world->rand, 1000, 400000));
}

/* --- an entry process --- */

static gboolean
send_message (World *world, guint vm, const DpEntryAction *action)
{
  if (action->message.type == DP_MESSAGE_GRANT_ASK)
    {
      const DpGrantAsk *ask = &action->message.grant_ask;
      RequestKind kind = ask->model != 0   ? KIND_CHAT
                         : ask->repeatable ? KIND_VERGES
                                           : KIND_BOOKING;
      g_hash_table_insert (world->kinds, g_memdup2 (&ask->attempt, sizeof (DpId)),
                           GUINT_TO_POINTER (kind + 1));
      if (!world_step (world, vm, kind, STEP_ASK))
        return FALSE;
    }
  world_post (world, vm, action->to, &action->message);
  return TRUE;
}

/* FALSE: the process has died. */
static gboolean
carry_out (World *world, guint vm, const DpEntryAction *action)
{
  switch (action->type)
    {
    case DP_ENTRY_ACTION_SEND:
      return send_message (world, vm, action);
    case DP_ENTRY_ACTION_DISPATCH:
      target_dispatch (world, vm, &action->dispatch);
      break;
    case DP_ENTRY_ACTION_CANCEL:
      target_cancel (world, action->cancel);
      break;
    case DP_ENTRY_ACTION_CLAIM_READ:
      store_read (world, vm, action->claim_read);
      break;
    case DP_ENTRY_ACTION_CLAIM_WRITE:
      store_write (world, vm, &action->claim_write);
      break;
    default:
      caller_action (world, action);
      break;
    }
  return world->vms[vm].alive;
}

static void
handle (World *world, guint vm, DpEntryEvent event)
{
  event.now = world->now;
  event.wall = FIXTURE_WALL + world->now;
  GArray *actions = dp_entry_actions_new ();
  dp_entry_handle (world->vms[vm].board, &event, actions);
  guint generation = world->vms[vm].generation;
  for (guint i = 0; i < actions->len; i++)
    if (!carry_out (world, vm, &g_array_index (actions, DpEntryAction, i))
        || world->vms[vm].generation != generation)
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
run_delivery (World *world, gpointer data)
{
  Delivery *delivery = data;
  const WorldVm *vm = &world->vms[delivery->vm];
  gboolean current = vm->alive && vm->generation == delivery->generation;
  if (current && world->now < vm->frozen_until)
    {
      world_at (world, vm->frozen_until, run_delivery, delivery);
      return;
    }
  if (current)
    handle (world, delivery->vm, delivery->event);
  g_free (delivery->data);
  g_free (delivery);
}

void
world_deliver (World *world, guint vm, guint generation, DpEntryEvent event, gpointer data)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->vm = vm;
  delivery->generation = generation;
  delivery->event = event;
  delivery->data = data;
  run_delivery (world, delivery);
}

void
world_deliver_later (World *world, guint vm, DpEntryEvent event)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->vm = vm;
  delivery->generation = world->vms[vm].generation;
  delivery->event = event;
  world_at (world, world->now, run_delivery, delivery);
}

typedef struct Ticker
{
  guint vm;
  guint generation;
} Ticker;

static void
tick (World *world, gpointer data)
{
  Ticker *ticker = data;
  const WorldVm *vm = &world->vms[ticker->vm];
  if (!vm->alive || vm->generation != ticker->generation)
    {
      g_free (ticker);
      return;
    }
  if (world->now >= vm->frozen_until)
    {
      owner_tick (world, ticker->vm);
      handle (world, ticker->vm, (DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
    }
  if (vm->alive && vm->generation == ticker->generation)
    world_at (world, world_ready_at (world, ticker->vm) + TICK_INTERVAL, tick, ticker);
  else
    g_free (ticker);
}

static void
give_view (World *world, guint vm)
{
  owner_view (world, vm);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_VIEW, .view = world->view };
  world_deliver (world, vm, world->vms[vm].generation, event, NULL);
}

void
world_publish_view (World *world)
{
  DpView *view = dp_view_new (world->view->version + 1, world->rows, WORLD_VMS);
  g_ptr_array_add (world->views, view);
  world->view = view;
  for (guint i = 0; i < WORLD_VMS; i++)
    if (world->vms[i].alive)
      give_view (world, i);
}

void
world_start (World *world, guint index)
{
  WorldVm *vm = &world->vms[index];
  vm->alive = TRUE;
  vm->generation += 1;
  vm->incarnation += 1;
  vm->frozen_until = 0;
  DpEntryOptions options = {
    .vm = fixture_vm (index),
    .data_centre = fixture_data_centre (index / FIXTURE_VMS),
    .incarnation = vm->incarnation,
    .seed = g_rand_int (world->rand),
    .requests_max = 1000,
    .counters = world->counters,
  };
  vm->board = dp_entry_core_new (&options);
  handle (world, index,
          (DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = world->manifest });
  handle (world, index, (DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = world->view });
  owner_start (world, index);
  Ticker *ticker = g_new0 (Ticker, 1);
  ticker->vm = index;
  ticker->generation = vm->generation;
  world_at (world, world->now + g_rand_int_range (world->rand, 1, (gint32)TICK_INTERVAL), tick,
            ticker);
}

void
world_kill (World *world, guint index)
{
  WorldVm *vm = &world->vms[index];
  if (!vm->alive)
    return;
  world_log (world, "vm %u dies", index);
  vm->alive = FALSE;
  vm->generation += 1;
  owner_stop (world, index);
  target_vm_died (world, index);
  callers_vm_died (world, index);
  /* The board may be in use further up the stack: it is released with the world. */
  g_ptr_array_add (world->dead_boards, vm->board);
  vm->board = NULL;
}

World *
world_new (guint32 seed, gboolean ships_owners)
{
  World *world = g_new0 (World, 1);
  world->ships_owners = ships_owners;
  world->queue = g_sequence_new (g_free);
  world->rand = g_rand_new_with_seed (seed);
  world->manifest = fixture_manifest ();
  world->counters = dp_counters_new ();
  world->views = g_ptr_array_new_with_free_func ((GDestroyNotify)dp_view_unref);
  world->dead_boards = g_ptr_array_new_with_free_func ((GDestroyNotify)dp_entry_core_unref);
  world->view = fixture_view ();
  g_ptr_array_add (world->views, world->view);
  world->kept_records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  world->connections = g_ptr_array_new_with_free_func (g_free);
  world->callers = g_ptr_array_new ();
  world->effects = g_array_new (FALSE, FALSE, sizeof (Effect));
  world->kinds = g_hash_table_new_full (dp_id_hash, dp_id_same, g_free, NULL);
  for (guint i = 0; i < world->manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (world->manifest, targets, DpTarget, i);
      world->targets[world->target_count++].name = target->name;
    }
  for (guint i = 0; i < WORLD_VMS; i++)
    {
      world->rows[i] = fixture_vm_row (i);
      world->vms[i].granted = g_hash_table_new_full (dp_id_hash, dp_id_same, g_free, g_free);
      world_start (world, i);
    }
  return world;
}

/* Runs what is queued with all VMs dead, so that every callback frees its data. */
static void
drain (World *world)
{
  for (guint i = 0; i < WORLD_VMS; i++)
    world_kill (world, i);
  world->closing = TRUE;
  while (!g_sequence_is_empty (world->queue))
    world_run_until (world, world->now + 60 * DP_USEC_PER_SEC);
}

void
world_free (World *world)
{
  drain (world);
  for (guint i = 0; i < WORLD_VMS; i++)
    g_hash_table_unref (world->vms[i].granted);
  store_clear (world);
  callers_clear (world);
  g_sequence_free (world->queue);
  g_rand_free (world->rand);
  g_ptr_array_unref (world->dead_boards);
  g_ptr_array_unref (world->views);
  g_ptr_array_unref (world->kept_records);
  g_ptr_array_unref (world->connections);
  g_array_unref (world->effects);
  g_hash_table_unref (world->kinds);
  dp_counters_unref (world->counters);
  dp_manifest_unref (world->manifest);
  if (world->trace != NULL)
    g_string_free (world->trace, TRUE);
  g_free (world);
}
