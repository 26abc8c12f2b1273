#include "tests/matrix_faults.h"

/* The platform's list and the peers' probes see a death after this. */
#define VIEW_LAG (3 * DP_USEC_PER_SEC)
#define CUT_TIME (5 * DP_USEC_PER_SEC)
#define OUTAGE_TIME (20 * DP_USEC_PER_SEC)

/* A change of one VM's row in everybody's view. */
typedef struct ViewChange
{
  guint vm;
  DpVmState state;
  guint64 incarnation;
} ViewChange;

static void
change_view (World *world, gpointer data)
{
  ViewChange *change = data;
  if (!world->closing && !world->view_lags)
    {
      world->rows[change->vm].state = change->state;
      world->rows[change->vm].incarnation = change->incarnation;
      world_publish_view (world);
    }
  g_free (change);
}

static void
view_later (World *world, guint vm, DpVmState state, DpUsec delay)
{
  ViewChange *change = g_new0 (ViewChange, 1);
  change->vm = vm;
  change->state = state;
  change->incarnation = world->vms[vm].incarnation;
  world_at (world, world->now + delay, change_view, change);
}

static void
fault_kill (World *world, guint vm)
{
  world_kill (world, vm);
  view_later (world, vm, DP_VM_DEAD, VIEW_LAG);
}

static void
fault_kill_unseen (World *world, guint vm)
{
  world->view_lags = TRUE;
  world_kill (world, vm);
}

static void
start_again (World *world, gpointer data)
{
  guint vm = GPOINTER_TO_UINT (data);
  if (world->closing || world->vms[vm].alive)
    return;
  world_start (world, vm);
  view_later (world, vm, DP_VM_LIVE, DP_USEC_PER_SEC);
}

static void
fault_restart (World *world, guint vm)
{
  world_kill (world, vm);
  world_at (world, world->now + DP_USEC_PER_SEC, start_again, GUINT_TO_POINTER (vm));
}

static void
freeze (World *world, guint vm, DpUsec time)
{
  world->vms[vm].frozen_until = world->now + time;
  callers_vm_frozen (world, vm, world->now + time);
}

static void
fault_freeze_short (World *world, guint vm)
{
  freeze (world, vm, 2500 * DP_USEC_PER_MSEC);
}

/* Long enough for the others to give it up. */
static void
fault_freeze_long (World *world, guint vm)
{
  DpUsec time = 18 * DP_USEC_PER_SEC;
  freeze (world, vm, time);
  view_later (world, vm, DP_VM_DEAD, VIEW_LAG);
  view_later (world, vm, DP_VM_LIVE, time + DP_USEC_PER_SEC);
}

static void
fault_cut (World *world, guint vm)
{
  world->vms[vm].cut_out_until = world->now + CUT_TIME;
  world->vms[vm].cut_in_until = world->now + CUT_TIME;
}

static void
fault_cut_out (World *world, guint vm)
{
  world->vms[vm].cut_out_until = world->now + CUT_TIME;
}

static void
fault_cut_in (World *world, guint vm)
{
  world->vms[vm].cut_in_until = world->now + CUT_TIME;
}

static void
fault_cut_centres (World *world, guint vm)
{
  world->centre_cut_until = world->now + 2 * CUT_TIME;
}

static void
set_answer_fault (World *world, AnswerFault fault)
{
  for (guint i = 0; i < world->target_count; i++)
    world->targets[i].answer_fault = fault;
}

static void
fault_silent (World *world, guint vm)
{
  set_answer_fault (world, ANSWER_SILENT);
}

static void
fault_broken (World *world, guint vm)
{
  set_answer_fault (world, ANSWER_BROKEN);
}

static void
fault_no_framing (World *world, guint vm)
{
  set_answer_fault (world, ANSWER_NO_FRAMING);
}

static void
fault_no_terminal (World *world, guint vm)
{
  set_answer_fault (world, ANSWER_NO_TERMINAL);
}

static void
fault_refused (World *world, guint vm)
{
  for (guint i = 0; i < world->target_count; i++)
    world->targets[i].refuses = TRUE;
}

static void
fault_lost_stored (World *world, guint vm)
{
  world->lose_next = LOST_STORED;
}

static void
fault_lost_later (World *world, guint vm)
{
  world->lose_next = LOST_STORED_LATER;
}

static void
fault_lost_never (World *world, guint vm)
{
  world->lose_next = LOST_NEVER;
}

static void
fault_outage (World *world, guint vm)
{
  world->outage_until = world->now + OUTAGE_TIME;
}

static void
fault_outage_silent (World *world, guint vm)
{
  world->outage_until = world->now + OUTAGE_TIME;
  world->outage_loses = TRUE;
}

static void
fault_slow (World *world, guint vm)
{
  world->slow_until = world->now + OUTAGE_TIME;
}

/* The others take a live VM for dead. */
static void
fault_false_death (World *world, guint vm)
{
  view_later (world, vm, DP_VM_DEAD, 0);
  view_later (world, vm, DP_VM_LIVE, 15 * DP_USEC_PER_SEC);
}

static void
set_owner_mode (World *world, OwnerMode mode, DpUsec time)
{
  for (guint i = 0; i < WORLD_VMS; i++)
    {
      world->vms[i].owner_mode = mode;
      world->vms[i].owner_mode_until = world->now + time;
    }
}

/* All groups change hands, and change back. */
static void
fault_owners_change (World *world, guint vm)
{
  for (guint i = 0; i < WORLD_VMS; i++)
    if (i != vm && i % FIXTURE_VMS != 2)
      world->rows[i].state = DP_VM_LEAVING;
  world_publish_view (world);
  for (guint i = 0; i < WORLD_VMS; i++)
    if (i != vm)
      view_later (world, i, DP_VM_LIVE, VIEW_LAG);
}

static void
fault_owners_silent (World *world, guint vm)
{
  set_owner_mode (world, OWNER_SILENT, 3 * DP_USEC_PER_SEC);
}

static void
fault_owners_die (World *world, guint vm)
{
  guint first = vm / FIXTURE_VMS * FIXTURE_VMS;
  for (guint i = first; i < first + FIXTURE_VMS; i++)
    if (i != vm)
      fault_kill (world, i);
}

static void
fault_full (World *world, guint vm)
{
  set_owner_mode (world, OWNER_REFUSES, 2 * DP_USEC_PER_SEC);
}

static void
fault_queued (World *world, guint vm)
{
  set_owner_mode (world, OWNER_QUEUES, 5 * DP_USEC_PER_SEC);
}

static void
fault_revoked (World *world, guint vm)
{
  set_owner_mode (world, OWNER_REVOKES, DP_USEC_PER_SEC);
}

static void
fault_duplicates (World *world, guint vm)
{
  world->duplicates = TRUE;
}

static void
fault_broken_and_late (World *world, guint vm)
{
  set_answer_fault (world, ANSWER_BROKEN);
  world->duplicates = TRUE;
}

static void
fault_poison_booking (World *world, guint vm)
{
  world->poison = MATRIX_BOOKING;
}

static void
fault_poison_chat (World *world, guint vm)
{
  world->poison = MATRIX_CHAT;
}

static void
fault_poison_stream (World *world, guint vm)
{
  world->poison = MATRIX_CHAT;
  world->poison_is_slow = TRUE;
}

static void
fault_callers_leave (World *world, guint vm)
{
  callers_leave (world, vm);
}

const FaultRow fault_rows[] = {
  { "process kill", fault_kill },
  { "process kill that the VM list misses", fault_kill_unseen },
  { "process kill and restart", fault_restart },
  { "freeze of 2.5 s", fault_freeze_short, TRUE },
  { "freeze of 18 s, given up by the others", fault_freeze_long },
  { "cut of a VM", fault_cut },
  { "one-way cut: nothing leaves", fault_cut_out },
  { "one-way cut: nothing arrives", fault_cut_in },
  { "cut between data centres", fault_cut_centres, TRUE },
  { "silent connection", fault_silent },
  { "broken connection", fault_broken },
  { "answer without the framing's end", fault_no_framing },
  { "answer without its end event", fault_no_terminal },
  { "connection refused", fault_refused, TRUE },
  { "lost platform answer, stored", fault_lost_stored, TRUE },
  { "lost platform answer, stored later", fault_lost_later, TRUE },
  { "lost platform answer, never stored", fault_lost_never, TRUE },
  { "platform outage, refusing", fault_outage },
  { "platform outage, silent", fault_outage_silent },
  { "slow platform", fault_slow },
  { "VM list wrongly says dead", fault_false_death, TRUE },
  { "ownership changes and changes back", fault_owners_change, TRUE },
  { "owners are silent", fault_owners_silent, TRUE },
  { "owners die", fault_owners_die, TRUE },
  { "full queue", fault_full },
  { "queued", fault_queued, TRUE },
  { "grants revoked", fault_revoked, TRUE },
  { "crossed, repeated and late replies", fault_duplicates, TRUE },
  { "broken connection, its replies come late", fault_broken_and_late },
  { "poison booking", fault_poison_booking },
  { "poison chat", fault_poison_chat, TRUE },
  { "poison chat, deadly after its first token", fault_poison_stream, TRUE },
  { "callers leave", fault_callers_leave },
};

const guint fault_row_count = G_N_ELEMENTS (fault_rows);
