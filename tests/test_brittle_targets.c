/* Brittle targets, which crash when they reject too many requests, in virtual time: all VMs of
 * a fleet around the production dispatchers and directories. */
#include "core/dispatcher/dispatcher.h"
#include "core/limit_client.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (10 * SEC)
#define STATED_AT (START + 4 * SEC)
/* Targets queue nothing from here on: the platform's contact_ms after they state it. */
#define SHRUNK_AT (STATED_AT + 3 * SEC)
#define END (STATED_AT + 24 * SEC)
/* The platform's rule: more falls than this and a tenth of the targets break it. */
#define FALLS_MAX 2
/* Bursts of several times what the slots can serve. */
#define BURST_INTERVAL (5 * SEC)
#define BURST_DURATION (3 * SEC)
#define BURST_LOAD 2.5
#define BASE_LOAD 0.4
/* From the start of a burst until requests wait everywhere. */
#define BURST_RISE (400 * MSEC)
#define WORK_MIN 40  /* ms in a slot */
#define WORK_MAX 120 /* ms */
#define WORK_MEAN ((WORK_MIN + WORK_MAX) / 2.0)
#define QUEUE 4 /* before it shrinks */
#define DOWN_TIME (3 * SEC)
#define OWNER_TIMEOUT (120 * MSEC)
/* In a burst. The larger part counts the others as reachable for a while. */
#define CUT_AT (SHRUNK_AT + 4 * SEC)
#define SILENCE_TIME (2500 * MSEC)
#define REPORT_INTERVAL (500 * MSEC)
#define TRIES_MAX 4
/* Of the requests whose callers leave, this part goes on at its target. */
#define RUNS_ON 0.3
/* Part of all served requests that each half of the VMs gets. */
#define PART_SERVED_MIN 0.3
#define LATE_MS 300
/* A third of the requests hold their slot while messages are on the way. */
#define LATE_USED_MIN (0.8 * WORK_MEAN / (WORK_MEAN + 2.0 * LATE_MS / 3))
#define VMS_MAX 30
#define TARGETS_MAX 18

typedef enum Disturbance
{
  DISTURB_NONE,
  DISTURB_CRASHES,        /* a third of the targets crash for other reasons and come back */
  DISTURB_ALL_CRASH,      /* all targets do, at once */
  DISTURB_OWNER_DIES,     /* and starts again without state */
  DISTURB_NEW_OWNER,      /* has started after the last announcement */
  DISTURB_OWNER_RESTARTS, /* so fast that no VM notices; without callers of its own */
  DISTURB_OWNER_CHANGES,  /* every 700 ms */
  DISTURB_TWO_OWNERS,
  DISTURB_CUT,           /* a third of the VMs is cut off from the others, not from targets */
  DISTURB_LATE,          /* messages of a third of the VMs take 300 ms */
  DISTURB_CALLERS_LEAVE, /* a fifth of them, while their requests run */
  DISTURB_SLOT_TAKEN,    /* one slot of each target, half of the time */
} Disturbance;

typedef struct Case
{
  const char *name;
  gboolean is_plain; /* a pool that each VM dispatches for itself */
  guint vms;
  guint targets;
  guint slots;
  guint rejections_max;
  Disturbance disturbance;
  double used_min; /* of the slots of live targets, in bursts */
} Case;

static const Case cases[] = {
  { "engines", FALSE, 15, 18, 5, 3, DISTURB_NONE, 0.8 },
  { "engines, none may be rejected", FALSE, 15, 18, 5, 0, DISTURB_NONE, 0.8 },
  { "engines, many may be rejected", FALSE, 12, 18, 5, 12, DISTURB_NONE, 0.8 },
  { "engines, 30 VMs", FALSE, 30, 12, 10, 2, DISTURB_NONE, 0.8 },
  { "service", TRUE, 15, 4, 6, 3, DISTURB_NONE, 0.8 },
  { "service, none may be rejected", TRUE, 15, 3, 6, 0, DISTURB_NONE, 0.8 },
  { "service, 30 VMs", TRUE, 30, 4, 6, 1, DISTURB_NONE, 0.8 },
  { "engines that crash and come back", FALSE, 15, 18, 5, 1, DISTURB_CRASHES, 0.8 },
  { "service, targets crash and come back", TRUE, 15, 4, 6, 1, DISTURB_CRASHES, 0.8 },
  { "service, all crash and come back", TRUE, 15, 4, 6, 1, DISTURB_ALL_CRASH, 0.8 },
  { "the owner dies", FALSE, 15, 18, 5, 2, DISTURB_OWNER_DIES, 0.8 },
  { "service, the owner dies", TRUE, 15, 4, 6, 2, DISTURB_OWNER_DIES, 0.8 },
  { "a new owner", FALSE, 15, 18, 5, 2, DISTURB_NEW_OWNER, 0.8 },
  { "the owner restarts", FALSE, 15, 18, 5, 2, DISTURB_OWNER_RESTARTS, 0.8 },
  { "service, the owner restarts", TRUE, 15, 4, 6, 2, DISTURB_OWNER_RESTARTS, 0.8 },
  { "the owner changes often", FALSE, 15, 18, 5, 2, DISTURB_OWNER_CHANGES, 0.6 },
  { "service, the owner changes often", TRUE, 15, 4, 6, 2, DISTURB_OWNER_CHANGES, 0.6 },
  { "two owners", FALSE, 15, 18, 5, 2, DISTURB_TWO_OWNERS, 0.6 },
  { "two owners, none may be rejected", FALSE, 15, 18, 5, 0, DISTURB_TWO_OWNERS, 0.6 },
  { "service, two owners", TRUE, 15, 4, 6, 2, DISTURB_TWO_OWNERS, 0.6 },
  { "service, two owners, two targets", TRUE, 15, 2, 6, 2, DISTURB_TWO_OWNERS, 0.6 },
  { "a third of the VMs cut off", FALSE, 15, 18, 5, 2, DISTURB_CUT, 0.6 },
  { "service, a third of the VMs cut off", TRUE, 15, 4, 6, 2, DISTURB_CUT, 0.6 },
  { "late messages", FALSE, 15, 18, 5, 2, DISTURB_LATE, LATE_USED_MIN },
  { "service, late messages", TRUE, 15, 4, 6, 2, DISTURB_LATE, LATE_USED_MIN },
  { "callers leave", FALSE, 15, 18, 5, 3, DISTURB_CALLERS_LEAVE, 0.6 },
  { "a slot is taken", FALSE, 15, 18, 5, 3, DISTURB_SLOT_TAKEN, 0.6 },
  { "a slot is taken, one may be rejected", FALSE, 15, 18, 5, 1, DISTURB_SLOT_TAKEN, 0.6 },
  { "service, a slot is taken", TRUE, 15, 4, 6, 3, DISTURB_SLOT_TAKEN, 0.6 },
  { "service, callers leave", TRUE, 15, 4, 6, 3, DISTURB_CALLERS_LEAVE, 0.6 },
};

typedef enum Stage
{
  STAGE_WAITING, /* for a grant */
  STAGE_SENT,
  STAGE_ENDED,
} Stage;

typedef struct Request
{
  guint vm;
  Stage stage;
  guint tries;
  guint owner;
  DpName target;
  guint target_index;
  gboolean has_started; /* the VM has the first output */
  DpUsec sent_at;
  DpUsec deadline;
  guint work; /* ms */
  guint excluded_count;
  DpName excluded[TRIES_MAX];
} Request;

typedef struct Target
{
  guint incarnation;
  gboolean is_down;
  GArray *running;    /* guint64: attempts, see attempt_of() */
  GQueue waiting;     /* of the same */
  GArray *rejections; /* DpUsec */
  guint falls;
  guint rejected;
} Target;

typedef struct Vm
{
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  DpLimitClient *client;
  gboolean is_shared;
  gboolean is_down;
  gboolean has_owner;
  guint owner;
  DpUsec reported_at;
  GHashTable *open; /* indices of its requests that have not ended */
} Vm;

typedef enum EventType
{
  EVENT_MESSAGE,
  EVENT_ARRIVAL,  /* at a target */
  EVENT_FIRST,    /* first output, at the target */
  EVENT_FINISHED, /* at the target */
  EVENT_RESPONSE, /* at the VM */
  EVENT_PROGRESS, /* first output, at the VM */
  EVENT_CALLER_LEFT,
  EVENT_LISTED,  /* a VM learns of a target's start */
  EVENT_REMOVED, /* of its end */
  EVENT_RESTART, /* of a target */
} EventType;

typedef struct Event
{
  EventType type;
  guint vm;
  guint from;
  guint request;
  guint tries; /* of the request, then */
  guint target;
  guint incarnation;
  DpReason reason; /* of a response */
  gboolean is_brittle;
  DpMessage *message;
} Event;

/* Events are at most this far ahead. */
#define HORIZON_MS 8192

typedef struct Fleet
{
  const Case *row;
  DpCounters *counters;
  Vm vms[VMS_MAX];
  Target targets[TARGETS_MAX];
  GHashTable *target_by_name; /* DpName -> index */
  GQueue events[HORIZON_MS];
  GArray *requests;
  guint64 random;
  DpUsec now;
  gboolean is_over; /* the targets are not brittle any more */
  double used;      /* slots, summed over the ms of bursts */
  double usable;
  guint served;
  guint served_in_part[2]; /* by VMs with even and odd numbers */
} Fleet;

static double
random_fraction (Fleet *fleet)
{
  fleet->random = dp_hash_bytes (&fleet->random, sizeof fleet->random, 7);
  return (double)(fleet->random % 1000000) / 1000000;
}

static guint
random_between (Fleet *fleet, guint low, guint high)
{
  return low + (guint)(random_fraction (fleet) * (high - low + 1));
}

static Request *
get_request (const Fleet *fleet, guint index)
{
  return &g_array_index (fleet->requests, Request, index);
}

static gboolean
is_disturbed (const Fleet *fleet, Disturbance disturbance)
{
  DpUsec start = disturbance == DISTURB_CUT ? CUT_AT : STATED_AT - SEC;
  return fleet->row->disturbance == disturbance && fleet->now >= start;
}

static gboolean
is_in_small_part (const Fleet *fleet, guint vm)
{
  return vm >= fleet->row->vms - fleet->row->vms / 3;
}

static void
schedule (Fleet *fleet, guint delay_ms, const Event *event)
{
  gint64 at = fleet->now / MSEC + delay_ms;
  g_queue_push_tail (&fleet->events[at % HORIZON_MS], g_memdup2 (event, sizeof *event));
}

/* --- targets --- */

static DpName
target_name (const Fleet *fleet, guint index, char id[16])
{
  /* Half of the targets keep their id over a restart. */
  if (index % 2 == 0)
    g_snprintf (id, 16, "t%u.%u", index, fleet->targets[index].incarnation);
  else
    g_snprintf (id, 16, "t%u", index);
  return dp_name (id);
}

static void
list_target (Fleet *fleet, guint vm, guint index)
{
  DpTargetRecord record = { .pool = POOL,
                            .slots = fleet->row->slots,
                            .started = fleet->targets[index].incarnation + 1 };
  char id[16];
  DpName name = target_name (fleet, index, id);
  g_strlcpy (record.id, id, sizeof record.id);
  dp_directory_put (fleet->vms[vm].directory, &record);
  g_hash_table_insert (fleet->target_by_name, g_memdup2 (&name, sizeof name),
                       GUINT_TO_POINTER (index));
}

static void
respond (Fleet *fleet, guint64 attempt, guint index, DpReason reason, gboolean has_head)
{
  const Event response
    = { .type = EVENT_RESPONSE,
        .request = (guint)(attempt >> 8),
        .tries = attempt & 0xff,
        .target = index,
        .reason = reason,
        .is_brittle = has_head && fleet->now >= STATED_AT && !fleet->is_over };
  schedule (fleet, random_between (fleet, 1, 2), &response);
}

static void
start_work (Fleet *fleet, guint64 attempt, guint index)
{
  Target *target = &fleet->targets[index];
  const Request *request = get_request (fleet, (guint)(attempt >> 8));
  g_array_append_val (target->running, attempt);
  Event event = { .type = EVENT_FIRST,
                  .request = (guint)(attempt >> 8),
                  .tries = attempt & 0xff,
                  .target = index,
                  .incarnation = target->incarnation };
  schedule (fleet, request->work / 2, &event);
  event.type = EVENT_FINISHED;
  schedule (fleet, request->work, &event);
}

/* Everything that runs or waits is lost; VMs learn of it from the store later. */
static void
crash (Fleet *fleet, guint index)
{
  Target *target = &fleet->targets[index];
  for (guint i = 0; i < target->running->len; i++)
    respond (fleet, g_array_index (target->running, guint64, i), index, DP_REASON_TARGET_BROKE,
             FALSE);
  while (target->waiting.length > 0)
    {
      guint64 *attempt = g_queue_pop_head (&target->waiting);
      respond (fleet, *attempt, index, DP_REASON_TARGET_BROKE, FALSE);
      g_free (attempt);
    }
  g_array_set_size (target->running, 0);
  g_array_set_size (target->rejections, 0);
  target->is_down = TRUE;
  Event event = { .type = EVENT_REMOVED, .target = index, .incarnation = target->incarnation };
  for (event.vm = 0; event.vm < fleet->row->vms; event.vm++)
    schedule (fleet, random_between (fleet, 300, 1200), &event);
  event = (Event){ .type = EVENT_RESTART, .target = index };
  schedule (fleet, DOWN_TIME / MSEC, &event);
}

static void
restart (Fleet *fleet, guint index)
{
  Target *target = &fleet->targets[index];
  target->is_down = FALSE;
  target->incarnation++;
  Event event = { .type = EVENT_LISTED, .target = index, .incarnation = target->incarnation };
  for (event.vm = 0; event.vm < fleet->row->vms; event.vm++)
    schedule (fleet, random_between (fleet, 1, 300), &event);
}

static void
reject (Fleet *fleet, guint64 attempt, guint index)
{
  Target *target = &fleet->targets[index];
  target->rejected++;
  respond (fleet, attempt, index, DP_REASON_NO_TARGET, TRUE);
  g_array_append_val (target->rejections, fleet->now);
  while (g_array_index (target->rejections, DpUsec, 0) <= fleet->now - SEC)
    g_array_remove_index (target->rejections, 0);
  if (fleet->now < SHRUNK_AT || fleet->is_over
      || target->rejections->len <= fleet->row->rejections_max)
    return;
  target->falls++;
  crash (fleet, index);
}

/* Slots that requests can use now. */
static guint
count_slots (const Fleet *fleet, guint index)
{
  gboolean is_taken
    = is_disturbed (fleet, DISTURB_SLOT_TAKEN) && (fleet->now / (2 * SEC) + index) % 2 == 0;
  return fleet->row->slots - is_taken;
}

static void
on_arrival (Fleet *fleet, const Event *event)
{
  Target *target = &fleet->targets[event->target];
  guint64 attempt = (guint64)event->request << 8 | event->tries;
  guint queue = fleet->now < SHRUNK_AT || fleet->is_over ? QUEUE : 0;
  if (target->is_down || target->incarnation != event->incarnation)
    respond (fleet, attempt, event->target, DP_REASON_CONNECT_FAILED, FALSE);
  else if (target->running->len < count_slots (fleet, event->target))
    start_work (fleet, attempt, event->target);
  else if (target->waiting.length < queue)
    g_queue_push_tail (&target->waiting, g_memdup2 (&attempt, sizeof attempt));
  else
    reject (fleet, attempt, event->target);
}

static gboolean
remove_running (Target *target, guint64 attempt)
{
  for (guint i = 0; i < target->running->len; i++)
    if (g_array_index (target->running, guint64, i) == attempt)
      {
        g_array_remove_index_fast (target->running, i);
        return TRUE;
      }
  return FALSE;
}

static void
end_work (Fleet *fleet, guint64 attempt, guint index)
{
  Target *target = &fleet->targets[index];
  if (!remove_running (target, attempt) || target->waiting.length == 0)
    return;
  guint64 *next = g_queue_pop_head (&target->waiting);
  start_work (fleet, *next, index);
  g_free (next);
}

static void
on_finished (Fleet *fleet, const Event *event)
{
  if (fleet->targets[event->target].incarnation != event->incarnation
      || fleet->targets[event->target].is_down)
    return;
  guint64 attempt = (guint64)event->request << 8 | event->tries;
  end_work (fleet, attempt, event->target);
  respond (fleet, attempt, event->target, DP_REASON_NONE, TRUE);
}

/* --- a VM, like node/target_limits.c and node/placement.c --- */

static guint
owner_of (const Fleet *fleet, guint vm)
{
  DpUsec since = fleet->now - SHRUNK_AT;
  if (is_disturbed (fleet, DISTURB_OWNER_DIES))
    return since > SEC + OWNER_TIMEOUT && since < 9 * SEC ? 1 : 0;
  if (is_disturbed (fleet, DISTURB_NEW_OWNER))
    return since > 2 * SEC ? 1 : 0;
  if (is_disturbed (fleet, DISTURB_OWNER_CHANGES))
    return (guint)(fleet->now / (700 * MSEC) % 2);
  if (is_disturbed (fleet, DISTURB_TWO_OWNERS))
    return vm % 2;
  if (is_disturbed (fleet, DISTURB_CUT) && fleet->now >= CUT_AT + OWNER_TIMEOUT
      && is_in_small_part (fleet, vm))
    return fleet->row->vms - 1;
  return 0;
}

static guint
dispatcher_of (const Fleet *fleet, guint vm)
{
  return fleet->vms[vm].is_shared ? owner_of (fleet, vm) : vm;
}

static guint
delay_between (Fleet *fleet, guint from, guint to)
{
  if (from == to)
    return 0;
  gboolean is_late = is_disturbed (fleet, DISTURB_LATE)
                     && (is_in_small_part (fleet, from) || is_in_small_part (fleet, to));
  return is_late ? LATE_MS : 1;
}

static void
post (Fleet *fleet, guint from, guint to, const DpMessage *message)
{
  gboolean is_cut = is_disturbed (fleet, DISTURB_CUT)
                    && is_in_small_part (fleet, from) != is_in_small_part (fleet, to);
  const Event event = { .type = EVENT_MESSAGE, .vm = to, .from = from };
  if (is_cut || fleet->vms[to].is_down)
    return;
  Event copy = event;
  copy.message = g_memdup2 (message, sizeof *message);
  schedule (fleet, delay_between (fleet, from, to), &copy);
}

static void
post_outbox (Fleet *fleet, guint vm, GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpDispatchMessage *outgoing = &g_array_index (outbox, DpDispatchMessage, i);
      for (guint to = 0; to < fleet->row->vms; to++)
        if (outgoing->to == DP_DISPATCH_ALL_VMS || outgoing->to == to + 1)
          post (fleet, vm, to, &outgoing->message);
    }
  g_array_unref (outbox);
}

static void
apply_targets (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  vm->is_shared
    = !fleet->row->is_plain || dp_directory_is_pool_brittle (vm->directory, dp_name (POOL));
  GArray *outbox = dp_dispatch_outbox_new ();
  if (vm->is_shared)
    dp_dispatcher_set_shared (vm->dispatcher, TRUE);
  dp_dispatcher_set_targets (vm->dispatcher, vm->directory, fleet->now, outbox);
  dp_dispatcher_set_shared (vm->dispatcher, vm->is_shared);
  post_outbox (fleet, index, outbox);
}

static void
start_vm (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  vm->directory = dp_directory_new ();
  vm->client = dp_limit_client_new ();
  vm->open = g_hash_table_new (NULL, NULL);
  vm->is_shared = !fleet->row->is_plain;
  vm->has_owner = FALSE;
  const DpDispatcherOptions options
    = { .self = index + 1,
        .pool = dp_name (POOL),
        .seed = index + 1,
        .policy = fleet->row->is_plain ? DP_DISPATCH_TWO_CHOICES : DP_DISPATCH_QUEUE,
        .is_shared = vm->is_shared,
        .counters = fleet->counters };
  vm->dispatcher = dp_dispatcher_new (&options);
  for (guint i = 0; i < fleet->row->targets; i++)
    if (!fleet->targets[i].is_down)
      list_target (fleet, index, i);
  apply_targets (fleet, index);
}

static void
stop_vm (Vm *vm)
{
  dp_dispatcher_free (vm->dispatcher);
  dp_directory_free (vm->directory);
  dp_limit_client_free (vm->client);
  g_hash_table_unref (vm->open);
}

static DpId
attempt_of (const Fleet *fleet, guint index)
{
  return (DpId){ get_request (fleet, index)->tries + 1, index + 1 };
}

static DpMessage
make_held (void)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held.group = dp_name (POOL);
  return message;
}

static void
append_held (const Fleet *fleet, DpGrantHeld *held, guint index)
{
  const Request *request = get_request (fleet, index);
  held->held[held->count++]
    = (DpHeldGrant){ .attempt = attempt_of (fleet, index),
                     .target = request->stage == STAGE_SENT ? request->target : 0,
                     .started = request->has_started };
}

static gboolean
is_brittle (const Fleet *fleet, guint vm)
{
  return dp_directory_is_pool_brittle (fleet->vms[vm].directory, dp_name (POOL));
}

static gboolean
append_requests (const Fleet *fleet, guint vm, gint owner, Stage stage, DpGrantHeld *held)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, fleet->vms[vm].open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      guint index = GPOINTER_TO_UINT (key);
      const Request *request = get_request (fleet, index);
      if (request->stage != stage || (owner >= 0 && request->owner != (guint)owner))
        continue;
      if (held->count == DP_HELD_GRANTS_MAX)
        return FALSE;
      append_held (fleet, held, index);
    }
  return TRUE;
}

static void
send_report (Fleet *fleet, guint vm, guint owner, gboolean has_left)
{
  DpMessage message = make_held ();
  DpGrantHeld *held = &message.grant_held;
  gboolean brittle = is_brittle (fleet, vm);
  held->has_left = has_left && !brittle;
  held->last = held->has_left
               || (append_requests (fleet, vm, brittle ? -1 : (gint)owner, STAGE_SENT, held)
                   && append_requests (fleet, vm, (gint)owner, STAGE_WAITING, held));
  fleet->vms[vm].reported_at = fleet->now;
  post (fleet, vm, owner, &message);
}

/* Tells the owners that did not assign a request. */
static void
post_to_other_keepers (Fleet *fleet, const Request *request, const DpMessage *message)
{
  if (request->stage != STAGE_SENT || !is_brittle (fleet, request->vm))
    return;
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (DpName));
  dp_limit_client_other_keepers (fleet->vms[request->vm].client, dp_name (POOL),
                                 request->owner + 1, fleet->now, owners);
  for (guint i = 0; i < owners->len; i++)
    post (fleet, request->vm, (guint)g_array_index (owners, DpName, i) - 1, message);
  g_array_unref (owners);
}

static void
change_owner (Fleet *fleet, guint index, guint owner)
{
  Vm *vm = &fleet->vms[index];
  guint previous = vm->owner;
  gboolean had_owner = vm->has_owner;
  vm->owner = owner;
  vm->has_owner = TRUE;
  dp_limit_client_on_new_owner (vm->client, dp_name (POOL), owner + 1);
  if (!had_owner)
    return;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, vm->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Request *request = get_request (fleet, GPOINTER_TO_UINT (key));
      if (request->stage == STAGE_SENT && request->owner == previous)
        request->owner = owner;
    }
  send_report (fleet, index, previous, TRUE);
  send_report (fleet, index, owner, FALSE);
}

static guint
choose_owner (Fleet *fleet, guint vm)
{
  guint owner = dispatcher_of (fleet, vm);
  if (fleet->vms[vm].is_shared && (!fleet->vms[vm].has_owner || owner != fleet->vms[vm].owner))
    change_owner (fleet, vm, owner);
  return owner;
}

static void
ask (Fleet *fleet, guint index)
{
  Request *request = get_request (fleet, index);
  request->stage = STAGE_WAITING;
  request->tries++;
  request->owner = choose_owner (fleet, request->vm);
  request->has_started = FALSE;
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = attempt_of (fleet, index),
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = request->deadline - fleet->now,
                                    .objective_left = 300 * MSEC,
                                    .repeatable = TRUE,
                                    .excluded_count = request->excluded_count };
  for (guint i = 0; i < request->excluded_count; i++)
    message.grant_ask.excluded[i] = request->excluded[i];
  post (fleet, request->vm, request->owner, &message);
}

static void
end_request (Fleet *fleet, guint index)
{
  Request *request = get_request (fleet, index);
  request->stage = STAGE_ENDED;
  g_hash_table_remove (fleet->vms[request->vm].open, GUINT_TO_POINTER (index));
}

static void
release (Fleet *fleet, guint index, DpReason reason, gboolean is_rejection)
{
  const Request *request = get_request (fleet, index);
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done
    = (DpGrantDone){ .attempt = attempt_of (fleet, index),
                     .group = dp_name (POOL),
                     .target = request->stage == STAGE_SENT ? request->target : 0,
                     .reason = reason,
                     .time_to_first_token
                     = reason == DP_REASON_NONE ? (DpUsec)request->work * MSEC / 2 : 0,
                     .duration = fleet->now - request->sent_at,
                     .is_rejection = is_rejection };
  post_to_other_keepers (fleet, request, &message);
  post (fleet, request->vm, request->owner, &message);
}

static void
try_again (Fleet *fleet, guint index)
{
  Request *request = get_request (fleet, index);
  if (request->excluded_count == TRIES_MAX || request->tries >= 100
      || fleet->now >= request->deadline)
    {
      end_request (fleet, index);
      return;
    }
  request->excluded[request->excluded_count++] = request->target;
  ask (fleet, index);
}

static void
add_row (DpTargetLimits *limits, const DpDirectoryRow *row, DpUsec now)
{
  limits->rows[limits->count++] = (DpLimitRow){ .target = row->name,
                                                .started = row->record.started,
                                                .age = DP_LIMIT_AGE_NONE,
                                                .has_brittle = TRUE,
                                                .is_brittle = row->brittle.is_set,
                                                .rejections_max = row->brittle.rejections_max,
                                                .brittle_age = now - row->brittle.observed_at };
}

static DpMessage
make_report (const Fleet *fleet, guint vm, const DpDirectoryRow *target)
{
  DpMessage message = { .type = DP_MESSAGE_TARGET_LIMITS };
  message.target_limits.pool = dp_name (POOL);
  add_row (&message.target_limits, target, fleet->now);
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (fleet->vms[vm].directory, &at)) != NULL)
    if (row != target && row->brittle.is_set)
      add_row (&message.target_limits, row, fleet->now);
  return message;
}

static void
learn (Fleet *fleet, const Event *event, const Request *request)
{
  guint vm = request->vm;
  DpDirectory *directory = fleet->vms[vm].directory;
  const DpDirectoryRow *row = dp_directory_find (directory, request->target);
  if (row == NULL)
    return;
  gboolean is_end = row->brittle.is_set && !event->is_brittle && event->reason == DP_REASON_NONE
                    && request->sent_at > row->brittle.changed_at;
  const DpBrittleReport report = { .target = request->target,
                                   .started = row->record.started,
                                   .is_set = event->is_brittle,
                                   .rejections_max = fleet->row->rejections_max,
                                   .observed_at = fleet->now };
  if ((!event->is_brittle && !is_end)
      || !dp_directory_record_brittle (directory, &report, fleet->now))
    return;
  apply_targets (fleet, vm);
  const DpMessage message = make_report (fleet, vm, row);
  post (fleet, vm, owner_of (fleet, vm), &message);
}

static void
on_response (Fleet *fleet, const Event *event)
{
  Request *request = get_request (fleet, event->request);
  if (request->stage != STAGE_SENT || request->tries != event->tries
      || fleet->vms[request->vm].is_down)
    return;
  learn (fleet, event, request);
  release (fleet, event->request, event->reason, event->reason == DP_REASON_NO_TARGET);
  if (event->reason != DP_REASON_NONE)
    {
      try_again (fleet, event->request);
      return;
    }
  fleet->served++;
  fleet->served_in_part[request->vm % 2]++;
  end_request (fleet, event->request);
}

/* The request's connection was closed, which most targets notice. */
static void
drop_at_target (Fleet *fleet, guint index)
{
  const Request *request = get_request (fleet, index);
  if (random_fraction (fleet) >= RUNS_ON)
    end_work (fleet, (guint64)index << 8 | request->tries, request->target_index);
}

static void
on_caller_left (Fleet *fleet, const Event *event)
{
  const Request *request = get_request (fleet, event->request);
  if (request->stage != STAGE_SENT || request->tries != event->tries)
    return;
  drop_at_target (fleet, event->request);
  release (fleet, event->request, DP_REASON_CALLER_GONE, FALSE);
  end_request (fleet, event->request);
}

static void
on_progress (Fleet *fleet, const Event *event)
{
  Request *request = get_request (fleet, event->request);
  if (request->stage != STAGE_SENT || request->tries != event->tries)
    return;
  request->has_started = TRUE;
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = attempt_of (fleet, event->request);
  message.grant_progress.group = dp_name (POOL);
  post (fleet, request->vm, request->owner, &message);
}

static void
send_to_target (Fleet *fleet, guint index)
{
  const Request *request = get_request (fleet, index);
  Event event = { .type = EVENT_ARRIVAL,
                  .request = index,
                  .tries = request->tries,
                  .target = request->target_index,
                  .incarnation = fleet->targets[request->target_index].incarnation };
  schedule (fleet, random_between (fleet, 1, 2), &event);
  event.type = EVENT_CALLER_LEFT;
  if (is_disturbed (fleet, DISTURB_CALLERS_LEAVE) && random_fraction (fleet) < 0.2)
    schedule (fleet, random_between (fleet, 3, WORK_MIN), &event);
}

static void
on_grant (Fleet *fleet, guint vm, guint from, const DpGrantGiven *given)
{
  guint index = (guint)given->attempt.low - 1;
  Request *request = get_request (fleet, index);
  if (request->stage != STAGE_WAITING || request->tries + 1 != given->attempt.high
      || request->vm != vm)
    {
      DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
      message.grant_done = (DpGrantDone){ .attempt = given->attempt,
                                          .group = dp_name (POOL),
                                          .target = given->target,
                                          .reason = DP_REASON_NO_OWNER };
      post (fleet, vm, from, &message);
      return;
    }
  const DpDirectoryRow *row = dp_directory_find (fleet->vms[vm].directory, given->target);
  request->stage = STAGE_SENT;
  request->target = given->target;
  request->target_index
    = GPOINTER_TO_UINT (g_hash_table_lookup (fleet->target_by_name, &given->target));
  request->sent_at = fleet->now;
  gboolean is_kept = row != NULL && (!row->brittle.is_set || given->is_brittle);
  if (!is_kept)
    {
      const DpMessage report
        = row != NULL ? make_report (fleet, vm, row) : (DpMessage){ DP_MESSAGE_ADVERT };
      if (row != NULL)
        post (fleet, vm, from, &report);
      release (fleet, index, DP_REASON_NO_TARGET, FALSE);
      try_again (fleet, index);
      return;
    }
  DpMessage message = make_held ();
  append_held (fleet, &message.grant_held, index);
  post_to_other_keepers (fleet, request, &message);
  send_to_target (fleet, index);
}

static void
on_limits (Fleet *fleet, const Event *event)
{
  const DpTargetLimits *limits = &event->message->target_limits;
  Vm *vm = &fleet->vms[event->vm];
  gboolean has_changed = FALSE;
  for (guint i = 0; i < limits->count; i++)
    {
      const DpLimitRow *row = &limits->rows[i];
      const DpBrittleReport report = { .target = row->target,
                                       .started = row->started,
                                       .is_set = row->is_brittle,
                                       .rejections_max = row->rejections_max,
                                       .observed_at = fleet->now - row->brittle_age };
      if (row->has_brittle)
        has_changed
          = dp_directory_record_brittle (vm->directory, &report, fleet->now) || has_changed;
    }
  if (has_changed)
    apply_targets (fleet, event->vm);
  if (!limits->is_owner)
    return;
  dp_limit_client_on_announcement (vm->client, dp_name (POOL), event->from + 1, fleet->now);
  gboolean is_query = FALSE;
  for (guint i = 0; i < limits->count; i++)
    is_query = is_query || limits->rows[i].is_query;
  DpMessage message = make_held ();
  if (is_query)
    append_requests (fleet, event->vm, -1, STAGE_SENT, &message.grant_held);
  if (message.grant_held.count > 0)
    post (fleet, event->vm, event->from, &message);
}

static void
on_revoked (Fleet *fleet, const DpGrantRevoked *revoked)
{
  guint index = (guint)revoked->attempt.low - 1;
  const Request *request = get_request (fleet, index);
  if (request->tries + 1 != revoked->attempt.high)
    return;
  if (request->stage == STAGE_WAITING)
    ask (fleet, index);
  if (request->stage != STAGE_SENT || request->has_started
      || revoked->reason != DP_REASON_TARGET_SILENT)
    return;
  drop_at_target (fleet, index);
  release (fleet, index, DP_REASON_TARGET_SILENT, FALSE);
  try_again (fleet, index);
}

static void
on_message (Fleet *fleet, const Event *event)
{
  const DpMessage *message = event->message;
  const DpId *attempt;
  if (fleet->vms[event->vm].is_down)
    return;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      on_grant (fleet, event->vm, event->from, &message->grant_given);
      return;
    case DP_MESSAGE_GRANT_REFUSED:
      attempt = &message->grant_refused.attempt;
      if (get_request (fleet, (guint)attempt->low - 1)->tries + 1 == attempt->high
          && get_request (fleet, (guint)attempt->low - 1)->stage == STAGE_WAITING)
        end_request (fleet, (guint)attempt->low - 1);
      return;
    case DP_MESSAGE_GRANT_REVOKED:
      on_revoked (fleet, &message->grant_revoked);
      return;
    case DP_MESSAGE_TARGET_LIMITS:
      on_limits (fleet, event);
      if (message->target_limits.is_owner && event->from == event->vm)
        return;
      break;
    default:
      break;
    }
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (fleet->vms[event->vm].dispatcher, event->from + 1, message, fleet->now,
                         outbox);
  post_outbox (fleet, event->vm, outbox);
}

/* Asks the current owner for requests that wait elsewhere, and reports. */
static void
tick_vm (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  GList *open = g_hash_table_get_keys (vm->open);
  for (GList *at = open; at != NULL; at = at->next)
    {
      guint number = GPOINTER_TO_UINT (at->data);
      const Request *request = get_request (fleet, number);
      if (request->stage == STAGE_WAITING && request->owner != dispatcher_of (fleet, index))
        {
          release (fleet, number, DP_REASON_NO_OWNER, FALSE);
          ask (fleet, number);
        }
      else if (fleet->now >= request->deadline)
        {
          release (fleet, number, DP_REASON_DEADLINE_PASSED, FALSE);
          end_request (fleet, number);
        }
    }
  g_list_free (open);
  if (vm->has_owner && fleet->now - vm->reported_at >= REPORT_INTERVAL)
    send_report (fleet, index, choose_owner (fleet, index), FALSE);
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_tick (vm->dispatcher, fleet->now, outbox);
  post_outbox (fleet, index, outbox);
}

/* --- the fleet --- */

static void
on_event (Fleet *fleet, const Event *event)
{
  char id[16];
  Target *target = &fleet->targets[event->target];
  DpDirectory *directory = fleet->vms[event->vm].directory;
  switch (event->type)
    {
    case EVENT_MESSAGE:
      on_message (fleet, event);
      break;
    case EVENT_ARRIVAL:
      on_arrival (fleet, event);
      break;
    case EVENT_FIRST:
      if (target->incarnation == event->incarnation && !target->is_down)
        {
          Event progress = *event;
          progress.type = EVENT_PROGRESS;
          schedule (fleet, 1, &progress);
        }
      break;
    case EVENT_FINISHED:
      on_finished (fleet, event);
      break;
    case EVENT_RESPONSE:
      on_response (fleet, event);
      break;
    case EVENT_PROGRESS:
      on_progress (fleet, event);
      break;
    case EVENT_CALLER_LEFT:
      on_caller_left (fleet, event);
      break;
    case EVENT_REMOVED:
      if (fleet->vms[event->vm].is_down)
        break;
      dp_directory_remove (directory, target_name (fleet, event->target, id), fleet->now);
      apply_targets (fleet, event->vm);
      break;
    case EVENT_LISTED:
      if (fleet->vms[event->vm].is_down || target->is_down)
        break;
      list_target (fleet, event->vm, event->target);
      apply_targets (fleet, event->vm);
      break;
    case EVENT_RESTART:
      restart (fleet, event->target);
      break;
    }
}

static gboolean
is_burst (const Fleet *fleet)
{
  return (fleet->now - START) % BURST_INTERVAL < BURST_DURATION;
}

static void
add_requests (Fleet *fleet)
{
  const Case *row = fleet->row;
  double per_ms = (double)row->targets * row->slots / WORK_MEAN
                  * (is_burst (fleet) ? BURST_LOAD : BASE_LOAD);
  guint count = (guint)per_ms + (random_fraction (fleet) < per_ms - (guint)per_ms);
  for (guint i = 0; i < count; i++)
    {
      Request request = { .deadline = fleet->now + 2 * SEC };
      request.vm = random_between (fleet, 0, row->vms - 1);
      request.work = random_between (fleet, WORK_MIN, WORK_MAX);
      gboolean has_no_callers = is_disturbed (fleet, DISTURB_OWNER_RESTARTS) && request.vm == 0;
      if (fleet->vms[request.vm].is_down || has_no_callers)
        continue;
      g_array_append_val (fleet->requests, request);
      guint index = fleet->requests->len - 1;
      g_hash_table_add (fleet->vms[request.vm].open, GUINT_TO_POINTER (index));
      ask (fleet, index);
    }
}

static void
measure_use (Fleet *fleet)
{
  if (fleet->now < SHRUNK_AT || !is_burst (fleet)
      || (fleet->now - START) % BURST_INTERVAL < BURST_RISE)
    return;
  for (guint i = 0; i < fleet->row->targets; i++)
    {
      if (fleet->targets[i].is_down)
        continue;
      fleet->used += fleet->targets[i].running->len;
      fleet->usable += count_slots (fleet, i);
    }
}

/* Its requests are dropped by most targets when their connections are closed. */
static void
kill_vm (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, vm->open);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      guint number = GPOINTER_TO_UINT (key);
      Request *request = get_request (fleet, number);
      if (request->stage == STAGE_SENT)
        drop_at_target (fleet, number);
      request->stage = STAGE_ENDED;
    }
  stop_vm (vm);
  vm->is_down = TRUE;
}

static void
disturb (Fleet *fleet)
{
  DpUsec since = fleet->now - SHRUNK_AT;
  Disturbance kind = fleet->row->disturbance;
  guint targets = fleet->row->targets;
  if (kind == DISTURB_OWNER_DIES && since == SEC)
    kill_vm (fleet, 0);
  if (kind == DISTURB_OWNER_DIES && since == 4 * SEC)
    {
      fleet->vms[0].is_down = FALSE;
      start_vm (fleet, 0);
    }
  if (kind == DISTURB_OWNER_RESTARTS && since > 0 && since % (4 * SEC) == 0)
    {
      kill_vm (fleet, 0);
      fleet->vms[0].is_down = FALSE;
      start_vm (fleet, 0);
    }
  if (kind == DISTURB_NEW_OWNER && since == 2 * SEC - 100 * MSEC)
    {
      kill_vm (fleet, 1);
      fleet->vms[1].is_down = FALSE;
      start_vm (fleet, 1);
    }
  if (kind == DISTURB_CRASHES && since % (4 * SEC) == SEC)
    for (guint i = 0; i < targets; i += 3)
      if (!fleet->targets[i].is_down)
        crash (fleet, i);
  if (kind == DISTURB_ALL_CRASH && since == SEC)
    for (guint i = 0; i < targets; i++)
      if (!fleet->targets[i].is_down)
        crash (fleet, i);
  for (guint i = 0; i < fleet->row->vms && is_disturbed (fleet, DISTURB_CUT); i++)
    if (is_in_small_part (fleet, i))
      dp_dispatcher_set_reach (fleet->vms[i].dispatcher, 1.0 / 3);
    else if (fleet->now >= CUT_AT + SILENCE_TIME)
      dp_dispatcher_set_reach (fleet->vms[i].dispatcher, 2.0 / 3);
}

static void
step (Fleet *fleet)
{
  disturb (fleet);
  add_requests (fleet);
  for (guint i = 0; i < fleet->row->vms && fleet->now % DP_DISPATCH_TICK_INTERVAL == 0; i++)
    if (!fleet->vms[i].is_down)
      tick_vm (fleet, i);
  GQueue *events = &fleet->events[fleet->now / MSEC % HORIZON_MS];
  while (events->length > 0)
    {
      Event *event = g_queue_pop_head (events);
      on_event (fleet, event);
      g_free (event->message);
      g_free (event);
    }
  measure_use (fleet);
  fleet->now += MSEC;
}

static Fleet *
fleet_new (const Case *row)
{
  Fleet *fleet = g_new0 (Fleet, 1);
  fleet->row = row;
  fleet->now = START;
  fleet->random = 11;
  fleet->counters = dp_counters_new ();
  fleet->requests = g_array_new (FALSE, FALSE, sizeof (Request));
  fleet->target_by_name = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < row->targets; i++)
    {
      fleet->targets[i].running = g_array_new (FALSE, FALSE, sizeof (guint64));
      fleet->targets[i].rejections = g_array_new (FALSE, FALSE, sizeof (DpUsec));
    }
  for (guint i = 0; i < row->vms; i++)
    start_vm (fleet, i);
  return fleet;
}

static void
fleet_free (Fleet *fleet)
{
  for (guint i = 0; i < fleet->row->vms; i++)
    stop_vm (&fleet->vms[i]);
  for (guint i = 0; i < fleet->row->targets; i++)
    {
      g_array_unref (fleet->targets[i].running);
      g_array_unref (fleet->targets[i].rejections);
      g_queue_clear_full (&fleet->targets[i].waiting, g_free);
    }
  for (guint i = 0; i < HORIZON_MS; i++)
    for (Event *event; (event = g_queue_pop_head (&fleet->events[i])) != NULL; g_free (event))
      g_free (event->message);
  g_hash_table_unref (fleet->target_by_name);
  g_array_unref (fleet->requests);
  dp_counters_unref (fleet->counters);
  g_free (fleet);
}

START_TEST (brittle_targets_seldom_fall_and_are_used)
{
  const Case *row = &cases[_i];
  Fleet *fleet = fleet_new (row);
  while (fleet->now < END)
    step (fleet);
  guint falls = 0;
  guint rejected = 0;
  for (guint i = 0; i < row->targets; i++)
    {
      falls += fleet->targets[i].falls;
      rejected += fleet->targets[i].rejected;
    }
  double used = fleet->usable > 0 ? fleet->used / fleet->usable : 0;
  printf ("%s: %u falls, %u rejected, %.3f of the slots used, %u of %u served\n", row->name,
          falls, rejected, used, fleet->served, fleet->requests->len);
  fflush (stdout);
  ck_assert_msg (falls * 10 <= FALLS_MAX * 10 + row->targets, "%s: %u falls", row->name, falls);
  ck_assert_msg (used >= row->used_min, "%s: %.3f of the slots used", row->name, used);
  /* With two owners, no VM is served at the expense of those of the other owner. */
  guint less_served = MIN (fleet->served_in_part[0], fleet->served_in_part[1]);
  ck_assert_msg (less_served >= fleet->served * PART_SERVED_MIN, "%s: %u of %u served",
                 row->name, less_served, fleet->served);
  fleet_free (fleet);
}
END_TEST

/* From the end until all VMs know of it: a response of each target and two messages. */
#define END_KNOWN_TIME (400 * MSEC)

START_TEST (targets_are_used_as_before_when_they_are_not_brittle_any_more)
{
  const Case *row = cases;
  while (g_strcmp0 (row->name, _i == 0 ? "engines" : "service") != 0)
    row++;
  Fleet *fleet = fleet_new (row);
  while (fleet->now < SHRUNK_AT + 3 * SEC + BURST_RISE)
    step (fleet);
  fleet->is_over = TRUE;
  while (fleet->now < SHRUNK_AT + 3 * SEC + BURST_RISE + END_KNOWN_TIME)
    step (fleet);
  for (guint i = 0; i < row->vms; i++)
    {
      ck_assert_msg (!is_brittle (fleet, i), "%s: VM %u", row->name, i);
      ck_assert_int_eq (fleet->vms[i].is_shared, !row->is_plain);
    }
  /* Requests wait at the targets again. */
  while (fleet->targets[0].waiting.length == 0 && fleet->now < END)
    step (fleet);
  ck_assert_int_lt (fleet->now, END);
  fleet_free (fleet);
}
END_TEST

/* --- the end of a request --- */

typedef struct EndCase
{
  const char *name;
  DpReason reason;
  gboolean is_free; /* the request's slot */
} EndCase;

static const EndCase end_cases[] = {
  { "answered", DP_REASON_NONE, TRUE },
  { "failed", DP_REASON_TARGET_ERROR, TRUE },
  { "another owner assigns it", DP_REASON_NO_OWNER, TRUE },
  { "the caller is gone", DP_REASON_CALLER_GONE, FALSE },
  { "the deadline has passed", DP_REASON_DEADLINE_PASSED, FALSE },
  { "the VM stops", DP_REASON_STOPPING, FALSE },
};

static void
ask_for_grant (DpDispatcher *dispatcher, guint64 number, DpUsec now, GArray *outbox)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 1, number },
                                    .group = dp_name (POOL),
                                    .remaining = 10 * SEC,
                                    .objective_left = SEC,
                                    .repeatable = TRUE };
  g_array_set_size (outbox, 0);
  dp_dispatcher_receive (dispatcher, 9, &message, now, outbox);
}

static gboolean
is_granted (const GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    if (g_array_index (outbox, DpDispatchMessage, i).message.type == DP_MESSAGE_GRANT_GIVEN)
      return TRUE;
  return FALSE;
}

START_TEST (a_brittle_targets_slot_is_not_free_while_it_may_run_on)
{
  const EndCase *row = &end_cases[_i];
  DpCounters *counters = dp_counters_new ();
  DpDirectory *directory = dp_directory_new ();
  const DpTargetRecord record = { .id = "t0", .pool = POOL, .slots = 1 };
  const DpBrittleReport report
    = { .target = dp_name ("t0"), .is_set = TRUE, .rejections_max = 5, .observed_at = START };
  dp_directory_put (directory, &record);
  ck_assert (dp_directory_record_brittle (directory, &report, START));
  const DpDispatcherOptions options
    = { .pool = dp_name (POOL), .seed = 1, .is_shared = TRUE, .counters = counters };
  DpDispatcher *dispatcher = dp_dispatcher_new (&options);
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_reach (dispatcher, 1);
  DpUsec now = START;
  dp_dispatcher_set_targets (dispatcher, directory, now, outbox);
  ask_for_grant (dispatcher, 1, now, outbox);
  while (!is_granted (outbox) && now < START + 5 * SEC)
    {
      now += 10 * MSEC;
      g_array_set_size (outbox, 0);
      dp_dispatcher_tick (dispatcher, now, outbox);
    }
  ck_assert (is_granted (outbox));
  DpMessage done = { .type = DP_MESSAGE_GRANT_DONE };
  done.grant_done = (DpGrantDone){ .attempt = { 1, 1 },
                                   .group = dp_name (POOL),
                                   .target = dp_name ("t0"),
                                   .reason = row->reason,
                                   .duration = 10 * MSEC };
  dp_dispatcher_receive (dispatcher, 9, &done, now + 10 * MSEC, outbox);
  ask_for_grant (dispatcher, 2, now + 20 * MSEC, outbox);
  ck_assert_msg (is_granted (outbox) == row->is_free, "%s", row->name);
  g_array_unref (outbox);
  dp_dispatcher_free (dispatcher);
  dp_directory_free (directory);
  dp_counters_unref (counters);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("brittle_targets");
  TCase *tests = tcase_create ("brittle_targets");
  tcase_add_loop_test (tests, brittle_targets_seldom_fall_and_are_used, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tests, targets_are_used_as_before_when_they_are_not_brittle_any_more, 0,
                       2);
  suite_add_tcase (suite, tests);
  TCase *ends = tcase_create ("ends");
  tcase_add_loop_test (ends, a_brittle_targets_slot_is_not_free_while_it_may_run_on, 0,
                       G_N_ELEMENTS (end_cases));
  suite_add_tcase (suite, ends);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
