#include "tests/matrix_faults.h"

/* Time until the view shows a crashed VM as dead. */
#define FAILURE_DETECTION_DELAY (3 * DP_USEC_PER_SEC)
#define PARTITION_DURATION (5 * DP_USEC_PER_SEC)
#define OUTAGE_DURATION (20 * DP_USEC_PER_SEC)

/* A change of one VM's row in the view of all VMs. */
typedef struct ViewChange
{
  guint vm;
  DpVmState state;
  guint64 incarnation;
} ViewChange;

static void
change_view (Simulation *sim, gpointer data)
{
  ViewChange *change = data;
  if (!sim->stopping && !sim->view_updates_disabled)
    {
      sim->vm_rows[change->vm].state = change->state;
      sim->vm_rows[change->vm].incarnation = change->incarnation;
      simulation_publish_view (sim);
    }
  g_free (change);
}

static void
change_view_later (Simulation *sim, guint vm, DpVmState state, DpUsec delay)
{
  ViewChange *change = g_new0 (ViewChange, 1);
  change->vm = vm;
  change->state = state;
  change->incarnation = sim->vms[vm].incarnation;
  simulation_schedule (sim, sim->now + delay, change_view, change);
}

static void
fault_kill (Simulation *sim, guint vm)
{
  simulation_crash_vm (sim, vm);
  change_view_later (sim, vm, DP_VM_DEAD, FAILURE_DETECTION_DELAY);
}

static void
fault_kill_undetected (Simulation *sim, guint vm)
{
  sim->view_updates_disabled = TRUE;
  simulation_crash_vm (sim, vm);
}

static void
restart_vm (Simulation *sim, gpointer data)
{
  guint vm = GPOINTER_TO_UINT (data);
  if (sim->stopping || sim->vms[vm].alive)
    return;
  simulation_start_vm (sim, vm);
  change_view_later (sim, vm, DP_VM_LIVE, DP_USEC_PER_SEC);
}

static void
fault_restart (Simulation *sim, guint vm)
{
  simulation_crash_vm (sim, vm);
  simulation_schedule (sim, sim->now + DP_USEC_PER_SEC, restart_vm, GUINT_TO_POINTER (vm));
}

static void
freeze (Simulation *sim, guint vm, DpUsec duration)
{
  sim->vms[vm].frozen_until = sim->now + duration;
  callers_on_vm_freeze (sim, vm, sim->now + duration);
}

static void
fault_freeze_short (Simulation *sim, guint vm)
{
  freeze (sim, vm, 2500 * DP_USEC_PER_MSEC);
}

/* Long enough for the other VMs to declare it dead. */
static void
fault_freeze_long (Simulation *sim, guint vm)
{
  DpUsec duration = 18 * DP_USEC_PER_SEC;
  freeze (sim, vm, duration);
  change_view_later (sim, vm, DP_VM_DEAD, FAILURE_DETECTION_DELAY);
  change_view_later (sim, vm, DP_VM_LIVE, duration + DP_USEC_PER_SEC);
}

static void
fault_isolate (Simulation *sim, guint vm)
{
  sim->vms[vm].outbound_blocked_until = sim->now + PARTITION_DURATION;
  sim->vms[vm].inbound_blocked_until = sim->now + PARTITION_DURATION;
}

static void
fault_block_outbound (Simulation *sim, guint vm)
{
  sim->vms[vm].outbound_blocked_until = sim->now + PARTITION_DURATION;
}

static void
fault_block_inbound (Simulation *sim, guint vm)
{
  sim->vms[vm].inbound_blocked_until = sim->now + PARTITION_DURATION;
}

static void
fault_partition_data_centres (Simulation *sim, guint vm)
{
  sim->data_centre_partition_until = sim->now + 2 * PARTITION_DURATION;
}

static void
set_answer_fault (Simulation *sim, AnswerFault fault)
{
  for (guint i = 0; i < sim->target_count; i++)
    sim->targets[i].next_answer_fault = fault;
}

static void
fault_answer_stalls (Simulation *sim, guint vm)
{
  set_answer_fault (sim, ANSWER_STALLED);
}

static void
fault_disconnected (Simulation *sim, guint vm)
{
  set_answer_fault (sim, ANSWER_DISCONNECTED);
}

static void
fault_unterminated_answer (Simulation *sim, guint vm)
{
  set_answer_fault (sim, ANSWER_UNTERMINATED);
}

static void
fault_no_end_event (Simulation *sim, guint vm)
{
  set_answer_fault (sim, ANSWER_NO_END_EVENT);
}

static void
fault_refused (Simulation *sim, guint vm)
{
  for (guint i = 0; i < sim->target_count; i++)
    sim->targets[i].refuse_next_connection = TRUE;
}

static void
fault_reply_lost_stored (Simulation *sim, guint vm)
{
  sim->next_write_loss = LOST_STORED;
}

static void
fault_reply_lost_stored_late (Simulation *sim, guint vm)
{
  sim->next_write_loss = LOST_STORED_LATER;
}

static void
fault_reply_lost_not_stored (Simulation *sim, guint vm)
{
  sim->next_write_loss = LOST_NOT_STORED;
}

static void
fault_outage (Simulation *sim, guint vm)
{
  sim->store_outage_until = sim->now + OUTAGE_DURATION;
}

static void
fault_outage_without_replies (Simulation *sim, guint vm)
{
  sim->store_outage_until = sim->now + OUTAGE_DURATION;
  sim->store_outage_drops_requests = TRUE;
}

static void
fault_slow_store (Simulation *sim, guint vm)
{
  sim->store_slow_until = sim->now + OUTAGE_DURATION;
}

/* A live VM is shown as dead in the view. */
static void
fault_false_suspicion (Simulation *sim, guint vm)
{
  change_view_later (sim, vm, DP_VM_DEAD, 0);
  change_view_later (sim, vm, DP_VM_LIVE, 15 * DP_USEC_PER_SEC);
}

static void
set_owner_mode (Simulation *sim, OwnerMode mode, DpUsec duration)
{
  for (guint i = 0; i < SIMULATED_VMS; i++)
    {
      sim->vms[i].owner_mode = mode;
      sim->vms[i].owner_mode_until = sim->now + duration;
    }
}

/* Moves the ownership of all groups to other VMs, and back after FAILURE_DETECTION_DELAY. */
static void
fault_owners_change (Simulation *sim, guint vm)
{
  for (guint i = 0; i < SIMULATED_VMS; i++)
    if (i != vm && i % FIXTURE_VMS != 2)
      sim->vm_rows[i].state = DP_VM_LEAVING;
  simulation_publish_view (sim);
  for (guint i = 0; i < SIMULATED_VMS; i++)
    if (i != vm)
      change_view_later (sim, i, DP_VM_LIVE, FAILURE_DETECTION_DELAY);
}

static void
fault_owners_unresponsive (Simulation *sim, guint vm)
{
  set_owner_mode (sim, OWNER_UNRESPONSIVE, 3 * DP_USEC_PER_SEC);
}

static void
fault_owners_crash (Simulation *sim, guint vm)
{
  guint first = vm / FIXTURE_VMS * FIXTURE_VMS;
  for (guint i = first; i < first + FIXTURE_VMS; i++)
    if (i != vm)
      fault_kill (sim, i);
}

static void
fault_full (Simulation *sim, guint vm)
{
  set_owner_mode (sim, OWNER_REFUSES, 2 * DP_USEC_PER_SEC);
}

static void
fault_queued (Simulation *sim, guint vm)
{
  set_owner_mode (sim, OWNER_QUEUES, 5 * DP_USEC_PER_SEC);
}

static void
fault_revoked (Simulation *sim, guint vm)
{
  set_owner_mode (sim, OWNER_REVOKES, DP_USEC_PER_SEC);
}

static void
fault_duplicates (Simulation *sim, guint vm)
{
  sim->duplicates = TRUE;
}

static void
fault_disconnected_and_late (Simulation *sim, guint vm)
{
  set_answer_fault (sim, ANSWER_DISCONNECTED);
  sim->duplicates = TRUE;
}

static void
fault_poison_booking (Simulation *sim, guint vm)
{
  sim->poison_body = MATRIX_BOOKING;
}

static void
fault_poison_chat (Simulation *sim, guint vm)
{
  sim->poison_body = MATRIX_CHAT;
}

static void
fault_poison_stream (Simulation *sim, guint vm)
{
  sim->poison_body = MATRIX_CHAT;
  sim->poison_after_first_token = TRUE;
}

static void
fault_callers_disconnect (Simulation *sim, guint vm)
{
  callers_disconnect (sim, vm);
}

const FaultRow fault_rows[] = {
  { "process kill", fault_kill },
  { "process kill not seen in the VM list", fault_kill_undetected },
  { "process kill and restart", fault_restart },
  { "freeze of 2.5 s", fault_freeze_short, TRUE },
  { "freeze of 18 s, VM declared dead", fault_freeze_long },
  { "VM isolated from the network", fault_isolate },
  { "VM's outbound traffic lost", fault_block_outbound },
  { "VM's inbound traffic lost", fault_block_inbound },
  { "partition between data centres", fault_partition_data_centres, TRUE },
  { "stalled connection", fault_answer_stalls },
  { "broken connection", fault_disconnected },
  { "answer with incomplete framing", fault_unterminated_answer },
  { "answer without its end event", fault_no_end_event },
  { "connection refused", fault_refused, TRUE },
  { "lost platform reply, stored", fault_reply_lost_stored, TRUE },
  { "lost platform reply, stored later", fault_reply_lost_stored_late, TRUE },
  { "lost platform reply, not stored", fault_reply_lost_not_stored, TRUE },
  { "platform outage, requests refused", fault_outage },
  { "platform outage, no replies", fault_outage_without_replies },
  { "slow platform", fault_slow_store },
  { "VM list shows a live VM as dead", fault_false_suspicion, TRUE },
  { "ownership changes and changes back", fault_owners_change, TRUE },
  { "owners unresponsive", fault_owners_unresponsive, TRUE },
  { "owners crash", fault_owners_crash, TRUE },
  { "full queue", fault_full },
  { "queued", fault_queued, TRUE },
  { "grants revoked", fault_revoked, TRUE },
  { "reordered, duplicated and late replies", fault_duplicates, TRUE },
  { "broken connection, late replies", fault_disconnected_and_late },
  { "poison booking", fault_poison_booking },
  { "poison chat", fault_poison_chat, TRUE },
  { "poison chat, crash after the first token", fault_poison_stream, TRUE },
  { "callers disconnect", fault_callers_disconnect },
};

const guint fault_row_count = G_N_ELEMENTS (fault_rows);
