/* Owners of groups: a minimal one that can misbehave, or the real scheduler core. */
#include "tests/matrix.h"

#define QUEUE_DELAY (300 * DP_USEC_PER_MSEC)
#define QUEUE_MAX 100

/* --- the minimal owner --- */

static gboolean
is_excluded (const DpGrantAsk *ask, DpName target)
{
  for (guint i = 0; i < ask->excluded_count; i++)
    if (ask->excluded[i] == target)
      return TRUE;
  return FALSE;
}

/* A target of the group that is not excluded, or 0. */
static DpName
pick_target (Simulation *sim, const DpGrantAsk *ask)
{
  int index = dp_manifest_find (sim->manifest, DP_MANIFEST_GROUP, ask->group);
  const DpGroup *group = DP_MANIFEST_ROW (sim->manifest, groups, DpGroup, index);
  guint first = (guint)g_rand_int_range (sim->rand, 0, (gint32)group->targets->len);
  for (guint i = 0; i < group->targets->len; i++)
    {
      guint target = g_array_index (group->targets, guint, (first + i) % group->targets->len);
      DpName name = DP_MANIFEST_ROW (sim->manifest, targets, DpTarget, target)->name;
      if (!is_excluded (ask, name))
        return name;
    }
  return 0;
}

typedef struct DelayedMessage
{
  guint vm;
  guint generation;
  DpPeer to;
  DpMessage message;
} DelayedMessage;

static void
send_delayed (Simulation *sim, gpointer data)
{
  DelayedMessage *delayed = data;
  if (sim->vms[delayed->vm].alive && sim->vms[delayed->vm].generation == delayed->generation)
    simulation_send (sim, delayed->vm, delayed->to, &delayed->message);
  g_free (delayed);
}

static void
send_later (Simulation *sim, guint vm, guint to, const DpMessage *message, DpUsec delay)
{
  DelayedMessage *delayed = g_new0 (DelayedMessage, 1);
  delayed->vm = vm;
  delayed->generation = sim->vms[vm].generation;
  delayed->to.vm = fixture_vm (to);
  delayed->to.role = DP_ROLE_ENTRY;
  delayed->message = *message;
  simulation_schedule (sim, sim->now + delay, send_delayed, delayed);
}

static void
refuse (Simulation *sim, guint vm, guint from, const DpGrantAsk *ask, DpReason reason)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_REFUSED };
  message.grant_refused.attempt = ask->attempt;
  message.grant_refused.group = ask->group;
  message.grant_refused.reason = reason;
  message.grant_refused.retry_after = 700 * DP_USEC_PER_MSEC;
  send_later (sim, vm, from, &message, 0);
}

static void
send_queued (Simulation *sim, guint vm, guint from, const DpGrantAsk *ask)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_QUEUED };
  message.grant_queued.attempt = ask->attempt;
  message.grant_queued.group = ask->group;
  send_later (sim, vm, from, &message, 0);
}

static void
revoke_later (Simulation *sim, guint vm, guint from, const DpGrantAsk *ask)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_REVOKED };
  message.grant_revoked.attempt = ask->attempt;
  message.grant_revoked.group = ask->group;
  message.grant_revoked.reason = DP_REASON_PREEMPTED;
  send_later (sim, vm, from, &message, 9 * DP_USEC_PER_MSEC);
}

static void
grant (Simulation *sim, guint vm, guint from, const DpGrantAsk *ask, DpUsec delay)
{
  SimulatedVm *owner = &sim->vms[vm];
  DpName *granted = g_hash_table_lookup (owner->granted, &ask->attempt);
  DpName target = granted != NULL ? *granted : pick_target (sim, ask);
  if (target == 0)
    {
      refuse (sim, vm, from, ask, DP_REASON_NO_TARGET);
      return;
    }
  if (granted == NULL)
    g_hash_table_insert (owner->granted, g_memdup2 (&ask->attempt, sizeof (DpId)),
                         g_memdup2 (&target, sizeof target));
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = ask->attempt;
  message.grant_given.group = ask->group;
  message.grant_given.target = target;
  send_later (sim, vm, from, &message, delay);
}

static void
on_grant_request (Simulation *sim, guint vm, guint from, const DpGrantAsk *ask)
{
  SimulatedVm *owner = &sim->vms[vm];
  OwnerMode mode = sim->now < owner->owner_mode_until ? owner->owner_mode : OWNER_GRANTS;
  switch (mode)
    {
    case OWNER_GRANTS:
      grant (sim, vm, from, ask, 0);
      break;
    case OWNER_REFUSES:
      refuse (sim, vm, from, ask, DP_REASON_QUEUE_FULL);
      break;
    case OWNER_QUEUES:
      send_queued (sim, vm, from, ask);
      grant (sim, vm, from, ask, QUEUE_DELAY);
      break;
    case OWNER_REVOKES:
      grant (sim, vm, from, ask, 0);
      revoke_later (sim, vm, from, ask);
      break;
    case OWNER_UNRESPONSIVE:
      break;
    }
}

static void
handle_as_minimal_owner (Simulation *sim, guint vm, guint from, const DpMessage *message)
{
  if (message->type == DP_MESSAGE_GRANT_ASK)
    on_grant_request (sim, vm, from, &message->grant_ask);
  if (message->type != DP_MESSAGE_GRANT_HELD)
    return;
  DpMessage advert = { .type = DP_MESSAGE_ADVERT };
  advert.advert.group = message->grant_held.group;
  advert.advert.free_slots = 1;
  send_later (sim, vm, from, &advert, 0);
}

/* --- the real scheduler --- */

/* A target's reply to a poll. */
typedef struct PollReply
{
  guint vm;
  guint generation;
  DpName target;
} PollReply;

static void run_scheduler (Simulation *sim, guint vm, DpSchedulerEvent event);

static void
deliver_poll_reply (Simulation *sim, gpointer data)
{
  PollReply *reply = data;
  const SimulatedVm *vm = &sim->vms[reply->vm];
  if (vm->alive && vm->generation == reply->generation)
    {
      DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_LOAD };
      event.load.target = reply->target;
      event.load.boot = 1;
      event.load.reachable = target_is_up (sim, reply->vm, reply->target);
      run_scheduler (sim, reply->vm, event);
    }
  g_free (reply);
}

static void
poll_target (Simulation *sim, guint vm, DpName target)
{
  PollReply *reply = g_new0 (PollReply, 1);
  reply->vm = vm;
  reply->generation = sim->vms[vm].generation;
  reply->target = target;
  simulation_schedule (sim, simulation_vm_ready_at (sim, vm) + simulation_random_delay (sim),
                       deliver_poll_reply, reply);
}

static void
run_scheduler (Simulation *sim, guint vm, DpSchedulerEvent event)
{
  event.now = sim->now;
  GArray *actions = dp_scheduler_actions_new ();
  dp_scheduler_handle (sim->vms[vm].scheduler, &event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const DpSchedulerAction *action = &g_array_index (actions, DpSchedulerAction, i);
      if (action->type == DP_SCHEDULER_ACTION_POLL)
        poll_target (sim, vm, action->poll.target);
      else
        simulation_send (sim, vm, action->to, &action->message);
    }
  g_array_unref (actions);
}

void
owner_start (Simulation *sim, guint index)
{
  SimulatedVm *vm = &sim->vms[index];
  if (!sim->real_schedulers)
    return;
  DpSchedulerOptions options = {
    .vm = fixture_vm (index),
    .data_centre = fixture_data_centre (index / FIXTURE_VMS),
    .incarnation = vm->incarnation,
    .seed = g_rand_int (sim->rand),
    .queue_max = QUEUE_MAX,
    .counters = sim->counters,
  };
  vm->scheduler = dp_scheduler_core_new (&options);
  run_scheduler (
    sim, index,
    (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = sim->manifest });
  owner_on_view (sim, index);
}

void
owner_stop (Simulation *sim, guint vm)
{
  g_hash_table_remove_all (sim->vms[vm].granted);
  g_clear_pointer (&sim->vms[vm].scheduler, dp_scheduler_core_unref);
}

void
owner_on_view (Simulation *sim, guint vm)
{
  if (sim->vms[vm].scheduler != NULL)
    run_scheduler (sim, vm,
                   (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = sim->view });
}

void
owner_tick (Simulation *sim, guint vm)
{
  if (sim->vms[vm].scheduler != NULL)
    run_scheduler (sim, vm, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
}

void
owner_on_message (Simulation *sim, guint vm, guint from, const DpMessage *message)
{
  if (sim->vms[vm].scheduler == NULL)
    {
      handle_as_minimal_owner (sim, vm, from, message);
      return;
    }
  DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_MESSAGE, .message = message };
  event.from.vm = fixture_vm (from);
  event.from.role = DP_ROLE_ENTRY;
  run_scheduler (sim, vm, event);
}
