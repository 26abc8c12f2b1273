/* The load that the dispatcher is designed for: bursts of some seconds with several times the
 * requests that engines of different speeds can serve. Simulates them in virtual time around
 * the production dispatcher and checks the callers' results, also against a baseline that picks
 * the less loaded of two random engines. */
#include "core/dispatcher/dispatcher.h"
#include "core/shed.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define ENGINES 12
#define SLOTS 5
/* Requests that an engine queues beyond its slots; it rejects any others. */
#define ENGINE_QUEUE 4
#define VMS 12
#define DELAY_MS 2
#define DURATION_MS 12000
/* A late request that gets no slot for so long has no use of waiting on. */
#define LATE_WAIT_MAX_MS 400
#define REQUESTS_MAX 60000

/* Kinds of requests in the users' workload, most urgent first. */
typedef struct RequestKind
{
  guint prompt_ms; /* time to the first event at an engine of pace 1 */
  guint slot_ms;   /* time in a slot */
  guint objective_ms;
  guint deadline_ms;
  double fraction; /* of all requests */
  double value;
  double value_late;
} RequestKind;

static const RequestKind kinds[] = {
  { 28, 60, 300, 4000, 0.45, 6.6, 0.66 },
  { 20, 45, 500, 2500, 0.47, 1.1, 0.11 },
  { 12, 700, 600, 10000, 0.08, 1.4, 0.14 },
};
#define KINDS G_N_ELEMENTS (kinds)

typedef enum Stage
{
  STAGE_NEW,
  STAGE_WAITING,
  STAGE_SENT,
  STAGE_ENDED,
} Stage;

typedef struct Request
{
  guint kind;
  guint vm;
  guint arrived_at; /* ms */
  guint session;
  gboolean has_returned;  /* its caller was refused before */
  guint first_arrived_at; /* ms, of its caller's first request */
  Stage stage;
  guint engine;
  guint sent_at;        /* ms */
  guint first_event_at; /* ms */
  guint ends_at;        /* ms */
  gboolean started;
} Request;

typedef struct Delivery
{
  guint due_at; /* ms */
  gboolean to_owner;
  guint vm;
  DpMessage message;
} Delivery;

typedef struct Engine
{
  double pace;
  guint running;
  GQueue queue; /* of request indices */
} Engine;

typedef struct Result
{
  guint offered[KINDS];
  guint on_time[KINDS];
  guint late[KINDS];
  guint refused;
  guint64 refused_after; /* sum, ms */
  guint refused_late;    /* first requests that waited in vain for long after their objective */
  guint refused_again;   /* requests of callers that came back */
  guint messages_to_owner;
  double value;
  double value_offered;
} Result;

typedef struct Simulation
{
  DpDispatchPolicy policy;
  double load;                  /* during the burst, as a multiple of the engines' capacity */
  gboolean callers_return;      /* once, after Retry-After or a third of the time left */
  GArray *returns[DURATION_MS]; /* indices of requests whose callers come back then */
  DpDispatcher *dispatcher;
  DpDirectory *directory;
  DpCounters *counters;
  GQueue deliveries;
  Engine engines[ENGINES];
  DpShed sheds[VMS];
  Request *requests;
  guint count;
  guint first_open;
  guint64 random;
  guint now; /* ms */
  Result result;
} Simulation;

/* Returns the load as a multiple of the engines' capacity. */
static double
load_at (const Simulation *simulation, guint ms)
{
  return ms < 1000 ? 0.7 : ms < 7000 ? simulation->load : 0.6;
}

static double
random_fraction (Simulation *simulation)
{
  simulation->random = dp_hash_bytes (&simulation->random, sizeof simulation->random, 7);
  return (double)(simulation->random % 1000000) / 1000000;
}

static DpUsec
now_usec (const Simulation *simulation)
{
  return SEC + (DpUsec)simulation->now * MSEC;
}

static void
send_message (Simulation *simulation, gboolean to_owner, guint vm, const DpMessage *message)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  *delivery = (Delivery){
    .due_at = simulation->now + DELAY_MS, .to_owner = to_owner, .vm = vm, .message = *message
  };
  simulation->result.messages_to_owner += to_owner;
  g_queue_push_tail (&simulation->deliveries, delivery);
}

static void
deliver_outbox (Simulation *simulation, GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpDispatchMessage *outgoing = &g_array_index (outbox, DpDispatchMessage, i);
      send_message (simulation, FALSE, (guint)outgoing->to - 1, &outgoing->message);
    }
  g_array_unref (outbox);
}

static void
receive_at_owner (Simulation *simulation, guint vm, const DpMessage *message)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (simulation->dispatcher, vm + 1, message, now_usec (simulation),
                         outbox);
  deliver_outbox (simulation, outbox);
}

/* --- engines --- */

static void
start_request (Simulation *simulation, Request *request)
{
  Engine *engine = &simulation->engines[request->engine];
  const RequestKind *kind = &kinds[request->kind];
  engine->running++;
  request->first_event_at = simulation->now + (guint)(kind->prompt_ms * engine->pace);
  request->ends_at = simulation->now + (guint)(kind->slot_ms * engine->pace);
}

static void
report_done (Simulation *simulation, Request *request, DpReason reason)
{
  char id[8];
  g_snprintf (id, sizeof id, "e%u", request->engine);
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done
    = (DpGrantDone){ .attempt = { 1, (guint64)(request - simulation->requests) + 1 },
                     .group = dp_name (POOL),
                     .target = dp_name (id),
                     .reason = reason,
                     .time_to_first_token
                     = (DpUsec)(request->first_event_at - request->sent_at) * MSEC,
                     .duration = (DpUsec)(simulation->now - request->sent_at) * MSEC };
  send_message (simulation, TRUE, request->vm, &message);
}

static void
plan_return (Simulation *simulation, const Request *request, DpUsec retry_after)
{
  guint left = kinds[request->kind].deadline_ms - (simulation->now - request->arrived_at);
  guint at = simulation->now + MIN ((guint)(retry_after / MSEC), left / 3) + 1;
  guint index = (guint)(request - simulation->requests);
  if (at >= DURATION_MS)
    return;
  if (simulation->returns[at] == NULL)
    simulation->returns[at] = g_array_new (FALSE, FALSE, sizeof (guint));
  g_array_append_val (simulation->returns[at], index);
}

static void
refuse (Simulation *simulation, Request *request, DpUsec retry_after)
{
  Result *result = &simulation->result;
  guint wait = simulation->now - request->arrived_at;
  request->stage = STAGE_ENDED;
  result->refused++;
  result->refused_after += wait;
  result->refused_again += request->has_returned;
  if (request->has_returned)
    return;
  result->refused_late += wait > kinds[request->kind].objective_ms + LATE_WAIT_MAX_MS;
  if (simulation->callers_return)
    plan_return (simulation, request, retry_after);
}

static void
arrive_at_engine (Simulation *simulation, Request *request, guint index)
{
  Engine *engine = &simulation->engines[index];
  request->stage = STAGE_SENT;
  request->engine = index;
  request->sent_at = simulation->now;
  if (engine->running < SLOTS)
    start_request (simulation, request);
  else if (engine->queue.length < ENGINE_QUEUE)
    g_queue_push_tail (&engine->queue, GUINT_TO_POINTER (request - simulation->requests));
  else
    {
      request->first_event_at = simulation->now;
      report_done (simulation, request, DP_REASON_NO_TARGET);
      refuse (simulation, request, 0);
    }
}

static void
finish (Simulation *simulation, Request *request)
{
  Result *result = &simulation->result;
  const RequestKind *kind = &kinds[request->kind];
  Engine *engine = &simulation->engines[request->engine];
  gboolean on_time = request->first_event_at - request->first_arrived_at <= kind->objective_ms;
  request->stage = STAGE_ENDED;
  if (on_time)
    result->on_time[request->kind]++;
  else
    result->late[request->kind]++;
  result->value += on_time ? kind->value : kind->value_late;
  report_done (simulation, request, DP_REASON_NONE);
  engine->running--;
  if (engine->queue.length > 0)
    start_request (simulation,
                   &simulation->requests[GPOINTER_TO_UINT (g_queue_pop_head (&engine->queue))]);
}

/* --- VMs --- */

static DpShedRequest
shed_request (const Request *request)
{
  const RequestKind *kind = &kinds[request->kind];
  return (DpShedRequest){ .urgency = request->kind,
                          .objective_left = (DpUsec)kind->objective_ms * MSEC,
                          .remaining = (DpUsec)kind->deadline_ms * MSEC };
}

static void
send_request (Simulation *simulation, Request *request)
{
  const RequestKind *kind = &kinds[request->kind];
  DpShed *shed = &simulation->sheds[request->vm];
  DpUsec objective_left = (DpUsec)kind->objective_ms * MSEC;
  DpUsec retry_after = 0;
  const DpShedRequest similar = shed_request (request);
  if (simulation->policy == DP_DISPATCH_QUEUE
      && dp_shed_check (shed, &similar, now_usec (simulation), &retry_after) != DP_REASON_NONE)
    {
      refuse (simulation, request, retry_after);
      return;
    }
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask
    = (DpGrantAsk){ .attempt = { 1, (guint64)(request - simulation->requests) + 1 },
                    .group = dp_name (POOL),
                    .prompt_tokens = kind->prompt_ms * 100,
                    .remaining = (DpUsec)kind->deadline_ms * MSEC,
                    .objective_left = objective_left,
                    .session = request->session,
                    .urgency = request->kind };
  request->stage = STAGE_WAITING;
  send_message (simulation, TRUE, request->vm, &message);
}

static void
receive_at_vm (Simulation *simulation, const Delivery *delivery)
{
  const DpMessage *message = &delivery->message;
  const DpGrantRefused *refused = &message->grant_refused;
  Request *request;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      request = &simulation->requests[message->grant_given.attempt.low - 1];
      for (guint i = 0; i < ENGINES; i++)
        {
          char id[8];
          g_snprintf (id, sizeof id, "e%u", i);
          if (dp_name (id) == message->grant_given.target)
            arrive_at_engine (simulation, request, i);
        }
      break;
    case DP_MESSAGE_GRANT_REFUSED:
      request = &simulation->requests[refused->attempt.low - 1];
      if (refused->is_overload)
        {
          const DpShedRequest similar = shed_request (request);
          dp_shed_record_refusal (&simulation->sheds[delivery->vm], &similar, refused->reason,
                                  refused->retry_after, now_usec (simulation));
        }
      refuse (simulation, request, refused->retry_after);
      break;
    default:
      break;
    }
}

static void
step_requests (Simulation *simulation)
{
  while (simulation->first_open < simulation->count
         && simulation->requests[simulation->first_open].stage == STAGE_ENDED)
    simulation->first_open++;
  for (guint i = simulation->first_open; i < simulation->count; i++)
    {
      Request *request = &simulation->requests[i];
      if (request->stage != STAGE_SENT || request->ends_at == 0)
        continue;
      if (!request->started && simulation->now >= request->first_event_at)
        {
          DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
          message.grant_progress
            = (DpGrantProgress){ .attempt = { 1, (guint64)i + 1 }, .group = dp_name (POOL) };
          send_message (simulation, TRUE, request->vm, &message);
          request->started = TRUE;
        }
      if (simulation->now >= request->ends_at)
        finish (simulation, request);
    }
}

/* --- the load --- */

static double
capacity_per_ms (void)
{
  double slots = 0;
  double slot_time_ms = 0;
  for (guint i = 0; i < ENGINES; i++)
    slots += SLOTS / (0.7 + 0.1 * i);
  for (guint k = 0; k < KINDS; k++)
    slot_time_ms += kinds[k].fraction * kinds[k].slot_ms;
  return slots / slot_time_ms;
}

static void
add_request (Simulation *simulation, guint kind)
{
  Request *request = &simulation->requests[simulation->count++];
  *request = (Request){ .kind = kind,
                        .vm = (guint)(random_fraction (simulation) * VMS),
                        .arrived_at = simulation->now,
                        .session = simulation->count,
                        .first_arrived_at = simulation->now };
  simulation->result.offered[kind]++;
  simulation->result.value_offered += kinds[kind].value;
  send_request (simulation, request);
}

/* The callers whose time to come back is now. */
static void
add_returns (Simulation *simulation)
{
  GArray *returns = simulation->returns[simulation->now];
  for (guint i = 0; returns != NULL && i < returns->len && simulation->count < REQUESTS_MAX;
       i++)
    {
      const Request *refused = &simulation->requests[g_array_index (returns, guint, i)];
      Request *request = &simulation->requests[simulation->count++];
      *request = (Request){ .kind = refused->kind,
                            .vm = (refused->vm + 1) % VMS,
                            .arrived_at = simulation->now,
                            .session = refused->session,
                            .has_returned = TRUE,
                            .first_arrived_at = refused->first_arrived_at };
      send_request (simulation, request);
    }
}

static void
add_arrivals (Simulation *simulation)
{
  double expected = capacity_per_ms () * load_at (simulation, simulation->now);
  guint count = (guint)expected + (random_fraction (simulation) < expected - (guint)expected);
  for (guint i = 0; i < count && simulation->count < REQUESTS_MAX; i++)
    {
      double drawn = random_fraction (simulation);
      guint kind = 0;
      while (kind + 1 < KINDS && drawn >= kinds[kind].fraction)
        drawn -= kinds[kind++].fraction;
      add_request (simulation, kind);
    }
}

static void
step (Simulation *simulation)
{
  add_arrivals (simulation);
  add_returns (simulation);
  while (simulation->deliveries.length > 0
         && ((Delivery *)g_queue_peek_head (&simulation->deliveries))->due_at
              <= simulation->now)
    {
      Delivery *delivery = g_queue_pop_head (&simulation->deliveries);
      if (delivery->to_owner)
        receive_at_owner (simulation, delivery->vm, &delivery->message);
      else
        receive_at_vm (simulation, delivery);
      g_free (delivery);
    }
  step_requests (simulation);
  if (simulation->now % 20 == 0)
    {
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (simulation->dispatcher, now_usec (simulation), outbox);
      deliver_outbox (simulation, outbox);
    }
}

static void
add_engines (Simulation *simulation)
{
  for (guint i = 0; i < ENGINES; i++)
    {
      simulation->engines[i].pace = 0.7 + 0.1 * i;
      DpTargetRecord record = { .port_number = 80, .slots = SLOTS };
      g_snprintf (record.id, sizeof record.id, "e%u", i);
      g_strlcpy (record.pool, POOL, sizeof record.pool);
      dp_directory_put (simulation->directory, &record);
    }
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (simulation->dispatcher, simulation->directory,
                             now_usec (simulation), outbox);
  g_array_unref (outbox);
}

static Result
simulate (DpDispatchPolicy policy, double load, gboolean callers_return)
{
  Simulation *simulation = g_new0 (Simulation, 1);
  simulation->policy = policy;
  simulation->load = load;
  simulation->callers_return = callers_return;
  simulation->random = 1;
  simulation->requests = g_new0 (Request, REQUESTS_MAX);
  simulation->counters = dp_counters_new ();
  simulation->directory = dp_directory_new ();
  const DpDispatcherOptions options
    = { .pool = dp_name (POOL), .seed = 5, .policy = policy, .counters = simulation->counters };
  simulation->dispatcher = dp_dispatcher_new (&options);
  add_engines (simulation);
  for (; simulation->now < DURATION_MS; simulation->now++)
    step (simulation);
  Result result = simulation->result;
  dp_dispatcher_free (simulation->dispatcher);
  dp_directory_free (simulation->directory);
  dp_counters_unref (simulation->counters);
  g_queue_clear_full (&simulation->deliveries, g_free);
  for (guint i = 0; i < ENGINES; i++)
    g_queue_clear (&simulation->engines[i].queue);
  for (guint i = 0; i < DURATION_MS; i++)
    g_clear_pointer (&simulation->returns[i], g_array_unref);
  g_free (simulation->requests);
  g_free (simulation);
  return result;
}

static void
print (const char *name, const Result *result)
{
  printf ("%s: value %.3f, refused %u after %.0f ms, %u messages to the owner; on time", name,
          result->value / result->value_offered, result->refused,
          (double)result->refused_after / MAX (result->refused, 1), result->messages_to_owner);
  for (guint k = 0; k < KINDS; k++)
    printf (" %.3f", (double)result->on_time[k] / MAX (result->offered[k], 1));
  printf ("\n");
}

/* --- requests refused at the VM --- */

typedef struct ShedCase
{
  const char *name;
  DpShedRequest request;
  DpUsec after; /* time since the refusal */
  gboolean is_refused;
} ShedCase;

/* The owner refused a request of urgency 2 with 300 ms left to be on time and 2 s until its
 * deadline. */
static const ShedCase shed_cases[] = {
  { "same request", { 2, 300 * MSEC, 2 * SEC }, 10 * MSEC, TRUE },
  { "less time left to be on time", { 2, 100 * MSEC, 2 * SEC }, 10 * MSEC, TRUE },
  { "more time left to be on time", { 2, 400 * MSEC, 2 * SEC }, 10 * MSEC, FALSE },
  { "later deadline", { 2, 300 * MSEC, 3 * SEC }, 10 * MSEC, FALSE },
  { "more urgent", { 1, 300 * MSEC, 2 * SEC }, 10 * MSEC, FALSE },
  { "refusal expired", { 2, 300 * MSEC, 2 * SEC }, 60 * MSEC, FALSE },
};

START_TEST (similar_requests_are_refused_for_a_while)
{
  const ShedCase *row = &shed_cases[_i];
  const DpShedRequest refused = { 2, 300 * MSEC, 2 * SEC };
  DpShed shed = { 0 };
  DpUsec retry_after = 0;
  dp_shed_record_refusal (&shed, &refused, DP_REASON_QUEUE_FULL, 70 * MSEC, SEC);
  DpReason reason = dp_shed_check (&shed, &row->request, SEC + row->after, &retry_after);
  ck_assert_msg ((reason == DP_REASON_QUEUE_FULL) == row->is_refused, "%s", row->name);
  ck_assert_int_eq (retry_after, row->is_refused ? 70 * MSEC : 0);
}
END_TEST

typedef struct BurstCase
{
  const char *name;
  double load;            /* as a multiple of the engines' capacity */
  double urgent_min;      /* fraction of the most urgent kind on time */
  double next_min;        /* fraction of the next kind on time */
  double value_ratio_min; /* total value relative to the baseline's */
  double refusal_max_ms;  /* limit of the mean time to a refusal */
} BurstCase;

/* The most urgent kind makes up a quarter of the load's slot time. Its latency objective is 300
 * ms: a request that can't be served must be refused by then. */
static const BurstCase bursts[] = {
  { "1.6 times capacity", 1.6, 0.97, 0.97, 1.05, 2000 },
  { "3 times capacity", 3.0, 0.97, 0.3, 1.3, 300 },
  { "5 times capacity, with more urgent load than capacity", 5.0, 0.75, 0.1, 1.5, 300 },
};

START_TEST (a_burst_affects_the_least_urgent_requests_first)
{
  const BurstCase *row = &bursts[_i];
  Result queue = simulate (DP_DISPATCH_QUEUE, row->load, FALSE);
  Result baseline = simulate (DP_DISPATCH_TWO_CHOICES, row->load, FALSE);
  print ("queue", &queue);
  print ("two choices", &baseline);
  double urgent = (double)queue.on_time[0] / queue.offered[0];
  double next = (double)queue.on_time[1] / queue.offered[1];
  double refusal_ms = (double)queue.refused_after / MAX (queue.refused, 1);
  ck_assert_msg (urgent >= row->urgent_min, "%s: %.3f of the most urgent kind on time",
                 row->name, urgent);
  ck_assert_msg (next >= row->next_min, "%s: %.3f of the next kind on time", row->name, next);
  ck_assert_msg (queue.value >= row->value_ratio_min * baseline.value,
                 "%s: value %.0f, baseline %.0f", row->name, queue.value, baseline.value);
  ck_assert_msg (refusal_ms <= row->refusal_max_ms, "%s: refused after %.0f ms", row->name,
                 refusal_ms);
}
END_TEST

typedef struct ReturnCase
{
  const char *name;
  double load; /* as a multiple of the engines' capacity */
  double urgent_min;
  double value_min;      /* of what was offered */
  double late_share_max; /* refused long after their objective, of all that were refused */
} ReturnCase;

/* Refused callers come back once. What is refused must be refused while its caller can still
 * make use of the time: not after it has waited in vain behind requests that arrived later. */
static const ReturnCase returns[] = {
  { "1.6 times capacity", 1.6, 0.95, 0.9, 0.02 },
  { "3 times capacity", 3.0, 0.9, 0.75, 0.02 },
  { "5 times capacity, with more urgent load than capacity", 5.0, 0.65, 0.55, 0.02 },
};

START_TEST (callers_that_come_back_displace_none_on_time)
{
  const ReturnCase *row = &returns[_i];
  Result result = simulate (DP_DISPATCH_QUEUE, row->load, TRUE);
  print ("callers return", &result);
  double urgent = (double)result.on_time[0] / result.offered[0];
  double late_share = (double)result.refused_late / MAX (result.refused, 1);
  printf ("refused long after the objective %.3f, again %u\n", late_share,
          result.refused_again);
  ck_assert_msg (urgent >= row->urgent_min, "%s: %.3f of the most urgent kind on time",
                 row->name, urgent);
  ck_assert_msg (result.value >= row->value_min * result.value_offered, "%s: value %.3f",
                 row->name, result.value / result.value_offered);
  ck_assert_msg (late_share <= row->late_share_max, "%s: %.3f refused late", row->name,
                 late_share);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("overload");
  TCase *tests = tcase_create ("overload");
  tcase_add_loop_test (tests, a_burst_affects_the_least_urgent_requests_first, 0,
                       G_N_ELEMENTS (bursts));
  tcase_add_loop_test (tests, callers_that_come_back_displace_none_on_time, 0,
                       G_N_ELEMENTS (returns));
  tcase_add_loop_test (tests, similar_requests_are_refused_for_a_while, 0,
                       G_N_ELEMENTS (shed_cases));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
