/* Owners of groups: a minimal one with faults of its own, or the shipping scheduler. */
#include "tests/matrix.h"

#define QUEUE_TIME (300 * DP_USEC_PER_MSEC)
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
pick_target (World *world, const DpGrantAsk *ask)
{
  int index = dp_manifest_find (world->manifest, DP_MANIFEST_GROUP, ask->group);
  const DpGroup *group = DP_MANIFEST_ROW (world->manifest, groups, DpGroup, index);
  guint first = (guint)g_rand_int_range (world->rand, 0, (gint32)group->targets->len);
  for (guint i = 0; i < group->targets->len; i++)
    {
      guint target = g_array_index (group->targets, guint, (first + i) % group->targets->len);
      DpName name = DP_MANIFEST_ROW (world->manifest, targets, DpTarget, target)->name;
      if (!is_excluded (ask, name))
        return name;
    }
  return 0;
}

typedef struct Answer
{
  guint vm;
  guint generation;
  DpPeer to;
  DpMessage message;
} Answer;

static void
post_answer (World *world, gpointer data)
{
  Answer *answer = data;
  if (world->vms[answer->vm].alive && world->vms[answer->vm].generation == answer->generation)
    world_post (world, answer->vm, answer->to, &answer->message);
  g_free (answer);
}

static void
answer_ask (World *world, guint vm, guint to, const DpMessage *message, DpUsec delay)
{
  Answer *answer = g_new0 (Answer, 1);
  answer->vm = vm;
  answer->generation = world->vms[vm].generation;
  answer->to.vm = fixture_vm (to);
  answer->to.role = DP_ROLE_ENTRY;
  answer->message = *message;
  world_at (world, world->now + delay, post_answer, answer);
}

static void
refuse (World *world, guint vm, guint from, const DpGrantAsk *ask, DpReason reason)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_REFUSED };
  message.grant_refused.attempt = ask->attempt;
  message.grant_refused.group = ask->group;
  message.grant_refused.reason = reason;
  message.grant_refused.retry_after = 700 * DP_USEC_PER_MSEC;
  answer_ask (world, vm, from, &message, 0);
}

static void
queue (World *world, guint vm, guint from, const DpGrantAsk *ask)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_QUEUED };
  message.grant_queued.attempt = ask->attempt;
  message.grant_queued.group = ask->group;
  answer_ask (world, vm, from, &message, 0);
}

static void
revoke_later (World *world, guint vm, guint from, const DpGrantAsk *ask)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_REVOKED };
  message.grant_revoked.attempt = ask->attempt;
  message.grant_revoked.group = ask->group;
  message.grant_revoked.reason = DP_REASON_PREEMPTED;
  answer_ask (world, vm, from, &message, 9 * DP_USEC_PER_MSEC);
}

static void
give (World *world, guint vm, guint from, const DpGrantAsk *ask, DpUsec delay)
{
  WorldVm *owner = &world->vms[vm];
  DpName *granted = g_hash_table_lookup (owner->granted, &ask->attempt);
  DpName target = granted != NULL ? *granted : pick_target (world, ask);
  if (target == 0)
    {
      refuse (world, vm, from, ask, DP_REASON_NO_TARGET);
      return;
    }
  if (granted == NULL)
    g_hash_table_insert (owner->granted, g_memdup2 (&ask->attempt, sizeof (DpId)),
                         g_memdup2 (&target, sizeof target));
  DpMessage message = { .type = DP_MESSAGE_GRANT_GIVEN };
  message.grant_given.attempt = ask->attempt;
  message.grant_given.group = ask->group;
  message.grant_given.target = target;
  answer_ask (world, vm, from, &message, delay);
}

static void
on_ask (World *world, guint vm, guint from, const DpGrantAsk *ask)
{
  WorldVm *owner = &world->vms[vm];
  OwnerMode mode = world->now < owner->owner_mode_until ? owner->owner_mode : OWNER_GIVES;
  switch (mode)
    {
    case OWNER_GIVES:
      give (world, vm, from, ask, 0);
      break;
    case OWNER_REFUSES:
      refuse (world, vm, from, ask, DP_REASON_QUEUE_FULL);
      break;
    case OWNER_QUEUES:
      queue (world, vm, from, ask);
      give (world, vm, from, ask, QUEUE_TIME);
      break;
    case OWNER_REVOKES:
      give (world, vm, from, ask, 0);
      revoke_later (world, vm, from, ask);
      break;
    case OWNER_SILENT:
      break;
    }
}

static void
handle_minimal (World *world, guint vm, guint from, const DpMessage *message)
{
  if (message->type == DP_MESSAGE_GRANT_ASK)
    on_ask (world, vm, from, &message->grant_ask);
  if (message->type != DP_MESSAGE_GRANT_HELD)
    return;
  DpMessage advert = { .type = DP_MESSAGE_ADVERT };
  advert.advert.group = message->grant_held.group;
  advert.advert.free_slots = 1;
  answer_ask (world, vm, from, &advert, 0);
}

/* --- the shipping scheduler --- */

/* The answer to a poll of a target. */
typedef struct LoadAnswer
{
  guint vm;
  guint generation;
  DpName target;
} LoadAnswer;

static void run_scheduler (World *world, guint vm, DpSchedulerEvent event);

static void
answer_poll (World *world, gpointer data)
{
  LoadAnswer *answer = data;
  const WorldVm *vm = &world->vms[answer->vm];
  if (vm->alive && vm->generation == answer->generation)
    {
      DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_LOAD };
      event.load.target = answer->target;
      event.load.boot = 1;
      event.load.reachable = target_is_up (world, answer->vm, answer->target);
      run_scheduler (world, answer->vm, event);
    }
  g_free (answer);
}

static void
poll_target (World *world, guint vm, DpName target)
{
  LoadAnswer *answer = g_new0 (LoadAnswer, 1);
  answer->vm = vm;
  answer->generation = world->vms[vm].generation;
  answer->target = target;
  world_at (world, world_ready_at (world, vm) + world_delay (world), answer_poll, answer);
}

static void
run_scheduler (World *world, guint vm, DpSchedulerEvent event)
{
  event.now = world->now;
  GArray *actions = dp_scheduler_actions_new ();
  dp_scheduler_handle (world->vms[vm].scheduler, &event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const DpSchedulerAction *action = &g_array_index (actions, DpSchedulerAction, i);
      if (action->type == DP_SCHEDULER_ACTION_POLL)
        poll_target (world, vm, action->poll.target);
      else
        world_post (world, vm, action->to, &action->message);
    }
  g_array_unref (actions);
}

void
owner_start (World *world, guint index)
{
  WorldVm *vm = &world->vms[index];
  if (!world->ships_owners)
    return;
  DpSchedulerOptions options = {
    .vm = fixture_vm (index),
    .data_centre = fixture_data_centre (index / FIXTURE_VMS),
    .incarnation = vm->incarnation,
    .seed = g_rand_int (world->rand),
    .queue_max = QUEUE_MAX,
    .counters = world->counters,
  };
  vm->scheduler = dp_scheduler_core_new (&options);
  run_scheduler (
    world, index,
    (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = world->manifest });
  owner_view (world, index);
}

void
owner_stop (World *world, guint vm)
{
  g_hash_table_remove_all (world->vms[vm].granted);
  g_clear_pointer (&world->vms[vm].scheduler, dp_scheduler_core_unref);
}

void
owner_view (World *world, guint vm)
{
  if (world->vms[vm].scheduler != NULL)
    run_scheduler (world, vm,
                   (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = world->view });
}

void
owner_tick (World *world, guint vm)
{
  if (world->vms[vm].scheduler != NULL)
    run_scheduler (world, vm, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
}

void
owner_handle (World *world, guint vm, guint from, const DpMessage *message)
{
  if (world->vms[vm].scheduler == NULL)
    {
      handle_minimal (world, vm, from, message);
      return;
    }
  DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_MESSAGE, .message = message };
  event.from.vm = fixture_vm (from);
  event.from.role = DP_ROLE_ENTRY;
  run_scheduler (world, vm, event);
}
