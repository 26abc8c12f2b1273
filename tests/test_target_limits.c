/* Limits that targets state for the requests of all VMs, in virtual time. */
#include "core/dispatcher/dispatcher.h"
#include "core/limit_client.h"

#include <check.h>
#include <stdlib.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (10 * SEC)
/* The platform's rule for any window, checked from a while after the limit is known. */
#define RULE_WINDOW (4 * SEC)
#define RULE_FACTOR 1.5
#define RULE_EXTRA 5
#define RULE_DELAY (3 * SEC)
#define TARGETS 3
#define SLOTS 5
#define RUN_TIME (40 * MSEC)
/* Part of its limit that a target gets while there are enough requests. */
#define USED_FRACTION 0.85
/* Requests per second that show whether a target without any has changed its mind. */
#define RATE_MIN 0.2
#define MEASURED_TIME (10 * SEC)

/* --- one dispatcher --- */

typedef struct SingleCase
{
  const char *name;
  DpDispatchPolicy policy;
  double limit;
  guint per_second; /* requests for the pool */
} SingleCase;

static const SingleCase single_cases[] = {
  { "one queue", DP_DISPATCH_QUEUE, 7, 75 },
  { "one queue, low limit", DP_DISPATCH_QUEUE, 1.2, 75 },
  { "one queue, high limit", DP_DISPATCH_QUEUE, 40, 300 },
  { "one queue, no requests accepted", DP_DISPATCH_QUEUE, 0, 75 },
  { "two choices", DP_DISPATCH_TWO_CHOICES, 7, 75 },
  { "two choices, low limit", DP_DISPATCH_TWO_CHOICES, 1.2, 75 },
  { "two choices, high limit", DP_DISPATCH_TWO_CHOICES, 40, 300 },
  { "two choices, no requests accepted", DP_DISPATCH_TWO_CHOICES, 0, 75 },
};

typedef struct Single
{
  DpCounters *counters;
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  DpLimitClient *client;
  GArray *sent;  /* DpUsec: requests given to the limited target */
  GQueue open;   /* DpMessage: GRANT_DONE, in the order of their time */
  GQueue due_at; /* DpUsec * */
  DpUsec now;
} Single;

static void
target_id (guint index, char id[8])
{
  g_snprintf (id, 8, "t%u", index);
}

static void receive (Single *single, const DpMessage *message);

static void
answer_queries (Single *single, const DpTargetLimits *limits)
{
  for (guint i = 0; i < limits->count; i++)
    {
      if (!limits->rows[i].is_query)
        continue;
      DpMessage message = { .type = DP_MESSAGE_TARGET_SENT };
      message.target_sent.target = limits->rows[i].target;
      dp_limit_client_report (single->client, &message.target_sent, single->now);
      receive (single, &message);
    }
}

static void
record_grant (Single *single, const DpGrantGiven *given)
{
  const DpLimitSend send = { .pool = dp_name (POOL), .target = given->target };
  dp_limit_client_record_send (single->client, &send, single->now, NULL);
  if (given->target == dp_name ("t0"))
    g_array_append_val (single->sent, single->now);
}

static void
handle_outbox (Single *single, GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpMessage *message = &g_array_index (outbox, DpDispatchMessage, i).message;
      if (message->type == DP_MESSAGE_TARGET_LIMITS)
        answer_queries (single, &message->target_limits);
      if (message->type != DP_MESSAGE_GRANT_GIVEN)
        continue;
      record_grant (single, &message->grant_given);
      DpMessage done = { .type = DP_MESSAGE_GRANT_DONE };
      done.grant_done = (DpGrantDone){ .attempt = message->grant_given.attempt,
                                       .group = dp_name (POOL),
                                       .target = message->grant_given.target,
                                       .time_to_first_token = RUN_TIME / 2,
                                       .duration = RUN_TIME };
      DpUsec due_at = single->now + RUN_TIME;
      g_queue_push_tail (&single->open, g_memdup2 (&done, sizeof done));
      g_queue_push_tail (&single->due_at, g_memdup2 (&due_at, sizeof due_at));
    }
  g_array_unref (outbox);
}

static void
receive (Single *single, const DpMessage *message)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (single->dispatcher, 1, message, single->now, outbox);
  handle_outbox (single, outbox);
}

static void
finish_due (Single *single)
{
  while (single->due_at.length > 0
         && *(DpUsec *)g_queue_peek_head (&single->due_at) <= single->now)
    {
      DpMessage *done = g_queue_pop_head (&single->open);
      g_free (g_queue_pop_head (&single->due_at));
      receive (single, done);
      g_free (done);
    }
}

static void
send_request (Single *single, guint64 id)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, id },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = 2 * SEC,
                                    .objective_left = 300 * MSEC,
                                    .repeatable = TRUE };
  receive (single, &message);
}

static void
set_limit (Single *single, double limit)
{
  const DpLimitReport report = {
    .target = dp_name ("t0"), .is_set = TRUE, .per_second = limit, .observed_at = single->now
  };
  dp_directory_record_limit (single->directory, &report, single->now);
}

static void
apply_targets (Single *single)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (single->dispatcher, single->directory, single->now, outbox);
  handle_outbox (single, outbox);
}

static void
set_up (Single *single, DpDispatchPolicy policy)
{
  *single = (Single){ .now = START };
  single->counters = dp_counters_new ();
  single->directory = dp_directory_new ();
  single->client = dp_limit_client_new ();
  single->sent = g_array_new (FALSE, FALSE, sizeof (DpUsec));
  const DpDispatcherOptions options = { .pool = dp_name (POOL),
                                        .seed = 5,
                                        .policy = policy,
                                        .is_shared = TRUE,
                                        .counters = single->counters };
  single->dispatcher = dp_dispatcher_new (&options);
  for (guint i = 0; i < TARGETS; i++)
    {
      DpTargetRecord record = { .pool = POOL, .slots = SLOTS };
      target_id (i, record.id);
      dp_directory_put (single->directory, &record);
    }
  apply_targets (single);
}

static void
tear_down (Single *single)
{
  dp_dispatcher_free (single->dispatcher);
  dp_directory_free (single->directory);
  dp_limit_client_free (single->client);
  dp_counters_unref (single->counters);
  g_array_unref (single->sent);
  g_queue_clear_full (&single->open, g_free);
  g_queue_clear_full (&single->due_at, g_free);
}

static void
run_for (Single *single, guint per_second, DpUsec duration)
{
  static guint64 next_id;
  for (DpUsec end = single->now + duration; single->now < end; single->now += MSEC)
    {
      finish_due (single);
      if (single->now * per_second / SEC != (single->now - MSEC) * per_second / SEC)
        send_request (single, ++next_id);
      if (single->now % DP_DISPATCH_TICK_INTERVAL != 0)
        continue;
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (single->dispatcher, single->now, outbox);
      handle_outbox (single, outbox);
    }
}

/* Returns the highest number of entries of `sent` in a window that ends at `start` or later. */
static guint
most_sent (const GArray *sent, DpUsec start)
{
  guint most = 0;
  guint first = 0;
  for (guint i = 0; i < sent->len; i++)
    {
      DpUsec at = g_array_index (sent, DpUsec, i);
      while (g_array_index (sent, DpUsec, first) <= at - RULE_WINDOW)
        first++;
      if (at >= start)
        most = MAX (most, i - first + 1);
    }
  return most;
}

static guint
sent_since (const GArray *sent, DpUsec start)
{
  guint count = 0;
  for (guint i = 0; i < sent->len; i++)
    count += g_array_index (sent, DpUsec, i) >= start;
  return count;
}

START_TEST (a_target_gets_no_more_than_its_limit)
{
  const SingleCase *row = &single_cases[_i];
  Single single;
  set_up (&single, row->policy);
  run_for (&single, row->per_second, 6 * SEC);
  set_limit (&single, row->limit);
  apply_targets (&single);
  DpUsec start = single.now + RULE_DELAY;
  run_for (&single, row->per_second, 20 * SEC);
  double allowed = RULE_FACTOR * row->limit * (double)RULE_WINDOW / (double)SEC + RULE_EXTRA;
  guint most = most_sent (single.sent, start);
  ck_assert_msg (most <= allowed, "%s: %u in a window, %f allowed", row->name, most, allowed);
  /* The limit is used, except for the probes of a target that accepts nothing. */
  guint used = sent_since (single.sent, single.now - MEASURED_TIME);
  double wanted
    = MAX (row->limit * USED_FRACTION, RATE_MIN) * (double)MEASURED_TIME / (double)SEC;
  ck_assert_msg (used >= wanted, "%s: %u sent, %f wanted", row->name, used, wanted);
  tear_down (&single);
}
END_TEST

/* --- a fleet --- */

#define VMS_MAX 30
#define FLEET_TARGETS_MAX 18
#define DELAY (2 * MSEC)
#define STATED_AT (START + 6 * SEC)
#define NEW_OWNER_AFTER (9 * SEC)
#define RESTART_INTERVAL (3 * SEC)
#define FLEET_END (STATED_AT + 20 * SEC)

typedef enum Disturbance
{
  DISTURB_NONE,
  DISTURB_OWNER_DIES,     /* and starts again with no state */
  DISTURB_OWNER_RETURNS,  /* the same, after it was the owner before */
  DISTURB_NEW_OWNER,      /* has started after the last announcement of the limits */
  DISTURB_OWNER_RESTARTS, /* every 3 s, so fast that no VM notices; it has no callers itself */
  DISTURB_OWNER_CHANGES,  /* every 700 ms */
  DISTURB_TWO_OWNERS,
  DISTURB_THREE_OWNERS,
  DISTURB_CUT,  /* a third of the VMs is cut off from the others */
  DISTURB_LATE, /* messages of a third of the VMs take 300 ms */
} Disturbance;

typedef struct FleetCase
{
  const char *name;
  gboolean is_plain; /* a pool that each VM dispatches for itself */
  guint vms;
  guint targets;
  guint limited; /* number of targets that state the limit */
  double limit;
  guint per_second;
  Disturbance disturbance;
  double used_min;   /* fraction of the limits */
  gboolean is_older; /* owners are of level 0: their grants don't say what they know */
} FleetCase;

static const FleetCase fleet_cases[] = {
  { "as in the incident", FALSE, 15, 18, 2, 7, 230, DISTURB_NONE, 0.85 },
  { "as in the incident, low limit", FALSE, 15, 18, 2, 1.2, 230, DISTURB_NONE, 0.85 },
  { "all targets of the pool", FALSE, 15, 6, 6, 5, 150, DISTURB_NONE, 0.85 },
  { "plain service", TRUE, 15, 3, 1, 8, 90, DISTURB_NONE, 0.85 },
  { "plain service, all targets", TRUE, 15, 3, 3, 8, 90, DISTURB_NONE, 0.85 },
  { "plain service, less than one per VM", TRUE, 30, 3, 3, 2, 90, DISTURB_NONE, 0.85 },
  { "the owner dies", FALSE, 15, 18, 2, 7, 450, DISTURB_OWNER_DIES, 0.85 },
  { "plain service, the owner dies", TRUE, 15, 3, 1, 8, 90, DISTURB_OWNER_DIES, 0.85 },
  { "a new owner that knows no limits", FALSE, 15, 6, 2, 3, 300, DISTURB_NEW_OWNER, 0.85 },
  { "an owner that returns without its limits", FALSE, 15, 6, 2, 3, 300, DISTURB_OWNER_RETURNS,
    0.85 },
  { "a new owner that knows no limits, of an older build", FALSE, 15, 6, 2, 3, 300,
    DISTURB_NEW_OWNER, 0.85, TRUE },
  { "an owner that returns without its limits, of an older build", FALSE, 15, 6, 2, 3, 300,
    DISTURB_OWNER_RETURNS, 0.85, TRUE },
  { "an owner that restarts unnoticed", FALSE, 15, 6, 2, 3, 300, DISTURB_OWNER_RESTARTS, 0.2 },
  { "plain service, an owner that restarts unnoticed", TRUE, 15, 3, 1, 8, 90,
    DISTURB_OWNER_RESTARTS, 0.2 },
  { "the owner changes often", FALSE, 15, 6, 2, 10, 150, DISTURB_OWNER_CHANGES, 0.6 },
  { "two owners", FALSE, 15, 6, 2, 10, 150, DISTURB_TWO_OWNERS, 0.6 },
  { "two owners, high limit", FALSE, 15, 6, 2, 40, 900, DISTURB_TWO_OWNERS, 0.6 },
  { "three owners", FALSE, 15, 6, 2, 20, 600, DISTURB_THREE_OWNERS, 0.6 },
  { "plain service, three owners", TRUE, 15, 3, 2, 20, 300, DISTURB_THREE_OWNERS, 0.6 },
  { "a third of the VMs cut off", FALSE, 15, 6, 2, 10, 150, DISTURB_CUT, 0.6 },
  { "late messages", FALSE, 15, 6, 2, 10, 150, DISTURB_LATE, 0.6 },
  { "plain service, late messages", TRUE, 15, 3, 1, 10, 150, DISTURB_LATE, 0.6 },
};

typedef struct Delivery
{
  DpUsec due_at;
  guint from;
  guint to;
  gboolean is_response; /* of a target: the fields below; else `message` */
  DpUsec sent_at;
  DpName target;
  gboolean is_limited;
  DpId attempt;
  DpName owner;
  DpMessage message;
} Delivery;

typedef struct Vm
{
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  DpLimitClient *client;
  gboolean is_shared;
  guint owner; /* last one used */
} Vm;

typedef struct Fleet
{
  const FleetCase *row;
  DpCounters *counters;
  Vm vms[VMS_MAX];
  GQueue deliveries;                   /* by due_at */
  GArray *arrivals[FLEET_TARGETS_MAX]; /* DpUsec */
  guint64 next_attempt;
  guint refused;
  gboolean limit_ended;
  DpUsec now;
} Fleet;

static void
start_vm (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  vm->directory = dp_directory_new ();
  vm->client = dp_limit_client_new ();
  vm->is_shared = !fleet->row->is_plain;
  const DpDispatcherOptions options
    = { .pool = dp_name (POOL),
        .seed = index + 1,
        .policy = fleet->row->is_plain ? DP_DISPATCH_TWO_CHOICES : DP_DISPATCH_QUEUE,
        .is_shared = vm->is_shared,
        .counters = fleet->counters };
  vm->dispatcher = dp_dispatcher_new (&options);
  for (guint i = 0; i < fleet->row->targets; i++)
    {
      DpTargetRecord record = { .pool = POOL, .slots = SLOTS };
      target_id (i, record.id);
      dp_directory_put (vm->directory, &record);
    }
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (vm->dispatcher, vm->directory, fleet->now, outbox);
  g_array_unref (outbox);
}

static void
stop_vm (Vm *vm)
{
  dp_dispatcher_free (vm->dispatcher);
  dp_directory_free (vm->directory);
  dp_limit_client_free (vm->client);
}

static gboolean
is_disturbed (const Fleet *fleet, Disturbance disturbance)
{
  return fleet->row->disturbance == disturbance && fleet->now >= STATED_AT - SEC;
}

static gboolean
is_in_small_part (const Fleet *fleet, guint vm)
{
  return vm >= fleet->row->vms - fleet->row->vms / 3;
}

static guint
owner_of (const Fleet *fleet, guint vm)
{
  DpUsec since = fleet->now - STATED_AT;
  if (is_disturbed (fleet, DISTURB_OWNER_DIES))
    return since > 1120 * MSEC ? 1 : 0;
  if (is_disturbed (fleet, DISTURB_OWNER_RETURNS))
    return since > NEW_OWNER_AFTER || since < NEW_OWNER_AFTER - SEC ? 1 : 0;
  if (is_disturbed (fleet, DISTURB_NEW_OWNER))
    return since > NEW_OWNER_AFTER ? 1 : 0;
  if (is_disturbed (fleet, DISTURB_OWNER_CHANGES))
    return (guint)(fleet->now / (700 * MSEC) % 2);
  if (is_disturbed (fleet, DISTURB_TWO_OWNERS))
    return vm % 2;
  if (is_disturbed (fleet, DISTURB_THREE_OWNERS))
    return vm % 3;
  if (is_disturbed (fleet, DISTURB_CUT) && is_in_small_part (fleet, vm))
    return fleet->row->vms - 1;
  return 0;
}

static guint
dispatcher_of (const Fleet *fleet, guint vm)
{
  return fleet->vms[vm].is_shared ? owner_of (fleet, vm) : vm;
}

static DpUsec
delay_between (const Fleet *fleet, guint from, guint to)
{
  gboolean is_late = is_disturbed (fleet, DISTURB_LATE)
                     && (is_in_small_part (fleet, from) || is_in_small_part (fleet, to))
                     && from != to;
  return is_late ? 300 * MSEC : DELAY;
}

static gint
compare_deliveries (gconstpointer a, gconstpointer b, gpointer user)
{
  DpUsec left = ((const Delivery *)a)->due_at;
  DpUsec right = ((const Delivery *)b)->due_at;
  return (left > right) - (left < right);
}

static void
push (Fleet *fleet, const Delivery *delivery)
{
  g_queue_insert_sorted (&fleet->deliveries, g_memdup2 (delivery, sizeof *delivery),
                         compare_deliveries, NULL);
}

static void
post (Fleet *fleet, guint from, guint to, const DpMessage *message)
{
  gboolean is_cut = is_disturbed (fleet, DISTURB_CUT)
                    && is_in_small_part (fleet, from) != is_in_small_part (fleet, to);
  const Delivery delivery = { .due_at = fleet->now + delay_between (fleet, from, to),
                              .from = from,
                              .to = to,
                              .message = *message };
  if (!is_cut)
    push (fleet, &delivery);
}

static gboolean
has_limit (const Fleet *fleet, guint target)
{
  return fleet->now >= STATED_AT && target < fleet->row->limited && !fleet->limit_ended;
}

/* --- a VM, like node/target_limits.c and node/placement.c --- */

static void send_to_target (Fleet *fleet, guint vm, guint owner, const DpGrantGiven *given);

static void
handle_fleet_outbox (Fleet *fleet, guint vm, GArray *outbox)
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
apply_fleet_targets (Fleet *fleet, guint index)
{
  Vm *vm = &fleet->vms[index];
  vm->is_shared = !fleet->row->is_plain;
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (vm->directory, &at)) != NULL)
    vm->is_shared = vm->is_shared || row->limit.is_set;
  GArray *outbox = dp_dispatch_outbox_new ();
  if (vm->is_shared)
    dp_dispatcher_set_shared (vm->dispatcher, TRUE);
  dp_dispatcher_set_targets (vm->dispatcher, vm->directory, fleet->now, outbox);
  dp_dispatcher_set_shared (vm->dispatcher, vm->is_shared);
  handle_fleet_outbox (fleet, index, outbox);
}

static void
add_row (DpTargetLimits *limits, const DpDirectoryRow *row, DpUsec now)
{
  limits->rows[limits->count++]
    = (DpLimitRow){ .target = row->name,
                    .is_set = row->limit.is_set,
                    .milli = (guint64)(row->limit.per_second * 1000),
                    .age = now - row->limit.observed_at };
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
    if (row != target && row->limit.is_set)
      add_row (&message.target_limits, row, fleet->now);
  return message;
}

static void
on_response (Fleet *fleet, const Delivery *delivery)
{
  guint vm = delivery->to;
  DpDirectory *directory = fleet->vms[vm].directory;
  const DpDirectoryRow *row = dp_directory_find (directory, delivery->target);
  gboolean is_end
    = row->limit.is_set && !delivery->is_limited && delivery->sent_at > row->limit.changed_at;
  const DpLimitReport report = { .target = delivery->target,
                                 .is_set = delivery->is_limited,
                                 .per_second = fleet->row->limit,
                                 .observed_at = fleet->now };
  if ((delivery->is_limited || is_end)
      && dp_directory_record_limit (directory, &report, fleet->now))
    {
      apply_fleet_targets (fleet, vm);
      const DpMessage message = make_report (fleet, vm, row);
      post (fleet, vm, owner_of (fleet, vm), &message);
    }
  DpMessage done = { .type = DP_MESSAGE_GRANT_DONE };
  done.grant_done = (DpGrantDone){ .attempt = delivery->attempt,
                                   .group = dp_name (POOL),
                                   .target = delivery->target,
                                   .time_to_first_token = RUN_TIME / 2,
                                   .duration = RUN_TIME };
  post (fleet, vm, (guint)delivery->owner, &done);
}

static void
on_limits (Fleet *fleet, const Delivery *delivery)
{
  const DpTargetLimits *limits = &delivery->message.target_limits;
  Vm *vm = &fleet->vms[delivery->to];
  gboolean has_changed = FALSE;
  for (guint i = 0; i < limits->count; i++)
    {
      const DpLimitRow *row = &limits->rows[i];
      const DpLimitReport report = { .target = row->target,
                                     .is_set = row->is_set,
                                     .per_second = (double)row->milli / 1000,
                                     .observed_at = fleet->now - row->age };
      has_changed
        = dp_directory_record_limit (vm->directory, &report, fleet->now) || has_changed;
    }
  if (has_changed)
    apply_fleet_targets (fleet, delivery->to);
  if (!limits->is_owner)
    return;
  dp_limit_client_on_announcement (vm->client, dp_name (POOL), delivery->from, fleet->now);
  for (guint i = 0; i < limits->count; i++)
    {
      if (!limits->rows[i].is_query)
        continue;
      DpMessage message = { .type = DP_MESSAGE_TARGET_SENT };
      message.target_sent.target = limits->rows[i].target;
      message.target_sent.pool = dp_name (POOL);
      dp_limit_client_report (vm->client, &message.target_sent, fleet->now);
      post (fleet, delivery->to, delivery->from, &message);
    }
}

static void
on_message (Fleet *fleet, const Delivery *delivery)
{
  const DpMessage *message = &delivery->message;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      send_to_target (fleet, delivery->to, delivery->from, &message->grant_given);
      return;
    case DP_MESSAGE_GRANT_REFUSED:
      fleet->refused++;
      return;
    case DP_MESSAGE_TARGET_LIMITS:
      on_limits (fleet, delivery);
      if (message->target_limits.is_owner)
        return;
      break;
    default:
      break;
    }
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (fleet->vms[delivery->to].dispatcher, delivery->from + 1, message,
                         fleet->now, outbox);
  handle_fleet_outbox (fleet, delivery->to, outbox);
}

static void
decline_grant (
  Fleet *fleet, guint vm, guint owner, const DpGrantGiven *given, const DpDirectoryRow *row)
{
  const DpMessage report = make_report (fleet, vm, row);
  post (fleet, vm, owner, &report);
  DpMessage done = { .type = DP_MESSAGE_GRANT_DONE };
  done.grant_done = (DpGrantDone){ .attempt = given->attempt,
                                   .group = dp_name (POOL),
                                   .target = given->target,
                                   .reason = DP_REASON_NO_TARGET };
  post (fleet, vm, owner, &done);
}

static void
send_to_target (Fleet *fleet, guint vm, guint owner, const DpGrantGiven *given)
{
  guint target = 0;
  char id[8];
  for (target_id (target, id); dp_name (id) != given->target; target_id (target, id))
    target++;
  const DpDirectoryRow *row = dp_directory_find (fleet->vms[vm].directory, given->target);
  gboolean keeps_limit
    = fleet->row->is_older
        ? dp_limit_client_is_keeper (fleet->vms[vm].client, dp_name (POOL), owner, fleet->now)
        : given->is_limited;
  if (row->limit.is_set && !keeps_limit)
    {
      decline_grant (fleet, vm, owner, given, row);
      return;
    }
  g_array_append_val (fleet->arrivals[target], fleet->now);
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (DpName));
  const DpLimitSend send = { .pool = dp_name (POOL),
                             .target = given->target,
                             .assigned_by = owner,
                             .is_limited = row->limit.is_set };
  dp_limit_client_record_send (fleet->vms[vm].client, &send, fleet->now, owners);
  for (guint i = 0; i < owners->len; i++)
    {
      DpMessage message = { .type = DP_MESSAGE_TARGET_SENT };
      message.target_sent
        = (DpTargetSent){ .target = given->target, .count = 1, .slots = { 1 } };
      post (fleet, vm, (guint)g_array_index (owners, DpName, i), &message);
    }
  g_array_unref (owners);
  const Delivery response = { .due_at = fleet->now + RUN_TIME,
                              .to = vm,
                              .is_response = TRUE,
                              .sent_at = fleet->now,
                              .target = given->target,
                              .is_limited = has_limit (fleet, target),
                              .attempt = given->attempt,
                              .owner = owner };
  push (fleet, &response);
}

static void
ask (Fleet *fleet)
{
  guint64 id = ++fleet->next_attempt;
  guint vm = (guint)(dp_hash_bytes (&id, sizeof id, 3) % fleet->row->vms);
  if (vm == 0 && is_disturbed (fleet, DISTURB_OWNER_RESTARTS))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, id },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = 2 * SEC,
                                    .objective_left = 300 * MSEC,
                                    .repeatable = TRUE };
  guint owner = dispatcher_of (fleet, vm);
  if (owner != fleet->vms[vm].owner)
    dp_limit_client_on_new_owner (fleet->vms[vm].client, dp_name (POOL), owner);
  fleet->vms[vm].owner = owner;
  post (fleet, vm, owner, &message);
}

static void
set_fleet_reach (Fleet *fleet)
{
  for (guint i = 0; i < fleet->row->vms && is_disturbed (fleet, DISTURB_CUT); i++)
    dp_dispatcher_set_reach (fleet->vms[i].dispatcher,
                             is_in_small_part (fleet, i) ? 1.0 / 3 : 2.0 / 3);
}

static void
step (Fleet *fleet)
{
  for (;;)
    {
      Delivery *delivery = g_queue_peek_head (&fleet->deliveries);
      if (delivery == NULL || delivery->due_at > fleet->now)
        break;
      g_queue_pop_head (&fleet->deliveries);
      if (delivery->is_response)
        on_response (fleet, delivery);
      else
        on_message (fleet, delivery);
      g_free (delivery);
    }
  guint rate = fleet->row->per_second;
  for (DpUsec i = (fleet->now - MSEC) * rate / SEC; i < fleet->now * rate / SEC; i++)
    ask (fleet);
  if (fleet->now == STATED_AT + SEC && fleet->row->disturbance == DISTURB_OWNER_DIES)
    {
      stop_vm (&fleet->vms[0]);
      start_vm (fleet, 0);
    }
  if (fleet->now > STATED_AT && (fleet->now - STATED_AT) % RESTART_INTERVAL == 0
      && fleet->row->disturbance == DISTURB_OWNER_RESTARTS)
    {
      stop_vm (&fleet->vms[0]);
      start_vm (fleet, 0);
    }
  if (fleet->now == STATED_AT + NEW_OWNER_AFTER
      && (fleet->row->disturbance == DISTURB_NEW_OWNER
          || fleet->row->disturbance == DISTURB_OWNER_RETURNS))
    {
      stop_vm (&fleet->vms[1]);
      start_vm (fleet, 1);
    }
  for (guint i = 0; i < fleet->row->vms && fleet->now % DP_DISPATCH_TICK_INTERVAL == 0; i++)
    {
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (fleet->vms[i].dispatcher, fleet->now, outbox);
      handle_fleet_outbox (fleet, i, outbox);
    }
  set_fleet_reach (fleet);
  fleet->now += MSEC;
}

static Fleet *
fleet_new (const FleetCase *row)
{
  Fleet *fleet = g_new0 (Fleet, 1);
  fleet->row = row;
  fleet->now = START;
  fleet->counters = dp_counters_new ();
  for (guint i = 0; i < row->vms; i++)
    start_vm (fleet, i);
  for (guint i = 0; i < row->targets; i++)
    fleet->arrivals[i] = g_array_new (FALSE, FALSE, sizeof (DpUsec));
  return fleet;
}

static void
fleet_free (Fleet *fleet)
{
  for (guint i = 0; i < fleet->row->vms; i++)
    stop_vm (&fleet->vms[i]);
  for (guint i = 0; i < fleet->row->targets; i++)
    g_array_unref (fleet->arrivals[i]);
  g_queue_clear_full (&fleet->deliveries, g_free);
  dp_counters_unref (fleet->counters);
  g_free (fleet);
}

START_TEST (limits_hold_over_all_vms)
{
  const FleetCase *row = &fleet_cases[_i];
  Fleet *fleet = fleet_new (row);
  while (fleet->now < FLEET_END)
    step (fleet);
  double allowed = RULE_FACTOR * row->limit * (double)RULE_WINDOW / (double)SEC + RULE_EXTRA;
  double wanted = row->limit * row->used_min * (double)MEASURED_TIME / (double)SEC;
  for (guint i = 0; i < row->limited; i++)
    {
      guint most = most_sent (fleet->arrivals[i], STATED_AT + RULE_DELAY);
      guint used = sent_since (fleet->arrivals[i], FLEET_END - MEASURED_TIME);
      ck_assert_msg (most <= allowed, "%s: %u in a window, %f allowed", row->name, most,
                     allowed);
      ck_assert_msg (used >= wanted, "%s: %u sent, %f wanted", row->name, used, wanted);
    }
  fleet_free (fleet);
}
END_TEST

/* Cases whose other targets have room for all requests, and in which no message is late. */
static const char *const end_cases[] = { "as in the incident", "plain service" };

/* From the end of a limit until all VMs know: the target's next response and two messages. */
#define END_KNOWN_TIME (400 * MSEC)

START_TEST (a_target_is_used_as_before_after_its_limit_has_ended)
{
  const FleetCase *row = fleet_cases;
  while (g_strcmp0 (row->name, end_cases[_i]) != 0)
    row++;
  Fleet *fleet = fleet_new (row);
  while (fleet->now < STATED_AT)
    step (fleet);
  guint before = sent_since (fleet->arrivals[0], fleet->now - 4 * SEC);
  while (fleet->now < STATED_AT + 8 * SEC)
    step (fleet);
  fleet->limit_ended = TRUE;
  while (fleet->now < STATED_AT + 8 * SEC + END_KNOWN_TIME)
    step (fleet);
  for (guint i = 0; i < row->vms; i++)
    ck_assert_msg (!dp_directory_find (fleet->vms[i].directory, dp_name ("t0"))->limit.is_set,
                   "%s: VM %u", row->name, i);
  while (fleet->now < STATED_AT + 13 * SEC)
    step (fleet);
  guint after = sent_since (fleet->arrivals[0], fleet->now - 4 * SEC);
  ck_assert_msg (after >= before * 0.8, "%s: %u, %u before", row->name, after, before);
  ck_assert_msg (fleet->refused == 0, "%s: %u refused", row->name, fleet->refused);
  fleet_free (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target_limits");
  TCase *tests = tcase_create ("target_limits");
  tcase_add_loop_test (tests, a_target_gets_no_more_than_its_limit, 0,
                       G_N_ELEMENTS (single_cases));
  tcase_add_loop_test (tests, limits_hold_over_all_vms, 0, G_N_ELEMENTS (fleet_cases));
  tcase_add_loop_test (tests, a_target_is_used_as_before_after_its_limit_has_ended, 0,
                       G_N_ELEMENTS (end_cases));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
