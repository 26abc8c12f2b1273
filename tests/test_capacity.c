/* What the dispatcher learns of its targets: limits of concurrent requests and prompts that are
 * still to be read. Simulates model engines in virtual time around the production dispatcher
 * and compares callers' results with those of the fixed window (slots plus one). */
#include "core/dispatcher/dispatcher.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (10 * SEC)
#define ENGINES 30
#define SLOTS 7
#define ENGINE_QUEUE 4
#define VMS 12
/* One way, between VMs, and between a VM and an engine. */
#define DELAY (5 * MSEC)
#define STEP_MS 6.12
#define TOKENS_PER_MS 32.4
#define TOKENS_PER_EVENT 4
#define CHUNK_TOKENS 256
/* Increase of a step's time with each request in the batch. */
#define BATCH_COST 0.02
#define REQUESTS_MAX 100000
#define OWNERS_MAX 2
#define FIRST_OWNER 100
/* Within this time an owner follows a change. */
#define FOLLOW_TIME (2 * SEC)
#define ANNOUNCE_INTERVAL (2 * SEC)
#define NONE G_MAXUINT

typedef struct Kind
{
  guint prompt_tokens;
  guint events;
  DpUsec objective;
  DpUsec deadline;
  double fraction; /* of all requests */
} Kind;

static const Kind kinds[] = {
  { 2890, 13, 1000 * MSEC, 5 * SEC, 0.40 },
  { 1800, 6, 800 * MSEC, 4 * SEC, 0.45 },
  { 543, 66, 600 * MSEC, 12 * SEC, 0.15 },
};
#define KINDS G_N_ELEMENTS (kinds)

/* When weak engines are weak. */
typedef enum Weakness
{
  WEAK_ALWAYS,
  WEAK_FIRST, /* in the first half */
  WEAK_SECOND,
} Weakness;

typedef enum Owners
{
  ONE_OWNER,
  TWO_OWNERS,   /* each for half of the VMs */
  OWNER_CHANGE, /* at half time, without a word from the first */
} Owners;

/* A pool and its load. */
typedef struct Scenario
{
  const char *name;
  double load;          /* of what the engines can do at most */
  double after;         /* the same in the second half; 0: as in the first */
  guint weak;           /* every so many engines slow down from half of its slots on; 0: none */
  double weak_factor;   /* its step time then, at the first request over half */
  double weak_slope;    /* and for each further one */
  double noise_factor;  /* for a seventh of the time, 0.6 s each */
  double prompt_factor; /* length of prompts in the second half; 0: 1 */
  double slow_factor;   /* of the weak engines' times, however many requests they have; 0: 1 */
  Weakness weakness;
  Owners owners;
  DpUsec duration;
} Scenario;

typedef enum Stage
{
  STAGE_WAITING, /* for a grant */
  STAGE_SENT,
  STAGE_ENDED,
} Stage;

typedef struct Request
{
  guint kind;
  guint vm;
  guint prompt_tokens;
  guint tokens; /* of the response */
  Stage stage;
  DpUsec arrived_at;
  DpUsec sent_at;
  DpUsec first_event; /* after sent_at */
  guint engine;
  /* at the engine */
  guint read;
  guint written;
} Request;

typedef struct Engine
{
  double speed; /* factor of all times */
  gboolean is_weak;
  DpUsec noise_phase;
  guint batch[SLOTS];
  guint running;
  GQueue queue;        /* request indices */
  DpUsec step_ends_at; /* 0: idle */
  guint chunk;         /* tokens read in this step */
  guint reader;        /* by this request */
} Engine;

typedef enum EventType
{
  EVENT_ARRIVAL,
  EVENT_TO_OWNER,
  EVENT_ANNOUNCED, /* to the other dispatcher */
  EVENT_TO_VM,
  EVENT_TO_ENGINE,
  EVENT_FIRST, /* the first event of a response reaches its VM */
  EVENT_END,
  EVENT_STEP,
  EVENT_TICK,
  EVENT_OWNER_CHANGE,
} EventType;

typedef struct Event
{
  DpUsec at;
  guint64 sequence;
  EventType type;
  guint index; /* request, engine or dispatcher */
  DpMessage *message;
} Event;

typedef struct Result
{
  guint offered;
  guint on_time;
  guint answered;
  guint refused;
  guint rejected;
  double work; /* done by the engines while there was load, in s at speed 1 */
  /* of requests that arrive at `settled_at` or later */
  guint settled_offered;
  guint settled_on_time;
  guint changes; /* of limits */
} Result;

typedef struct Simulation
{
  const Scenario *scenario;
  DpDispatcher *dispatchers[OWNERS_MAX];
  DpUsec announced_at[OWNERS_MAX];
  DpDirectory *directory;
  DpCounters *counters;
  Engine engines[ENGINES];
  GHashTable *engine_by_name;
  GSequence *events; /* Event, by time */
  guint64 sequence;
  Request *requests;
  guint count;
  guint64 random;
  double rate; /* requests per second at load 1 */
  DpUsec now;
  DpUsec settled_at;
  Result result;
} Simulation;

/* --- events in order of time --- */

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a;
  const Event *y = b;
  return x->at != y->at ? (x->at > y->at) - (x->at < y->at)
                        : (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static void
event_free (gpointer data)
{
  Event *event = data;
  g_free (event->message);
  g_free (event);
}

static void
push (Simulation *simulation, DpUsec at, EventType type, guint index, const DpMessage *message)
{
  const Event event
    = { .at = at,
        .sequence = simulation->sequence++,
        .type = type,
        .index = index,
        .message = message != NULL ? g_memdup2 (message, sizeof *message) : NULL };
  g_sequence_insert_sorted (simulation->events, g_memdup2 (&event, sizeof event),
                            compare_events, NULL);
}

static double
random_fraction (Simulation *simulation)
{
  simulation->random = dp_hash_bytes (&simulation->random, sizeof simulation->random, 7);
  return (double)(simulation->random % 1000000) / 1000000;
}

/* --- messages --- */

static void
send_to_owner (Simulation *simulation, const Request *request, DpMessage *message)
{
  guint index = (guint)(request - simulation->requests);
  push (simulation, simulation->now + DELAY, EVENT_TO_OWNER, index, message);
}

static gboolean
is_second_half (const Simulation *simulation)
{
  return simulation->now - START > simulation->scenario->duration / 2;
}

/* Index of the dispatcher that the VM takes for the owner. */
static guint
owner_of (const Simulation *simulation, guint vm)
{
  switch (simulation->scenario->owners)
    {
    case TWO_OWNERS:
      return vm % 2;
    case OWNER_CHANGE:
      return is_second_half (simulation);
    case ONE_OWNER:
    default:
      return 0;
    }
}

static void
on_announcement (Simulation *simulation, guint owner, const DpMessage *message)
{
  DpUsec since = simulation->now - simulation->announced_at[owner];
  ck_assert_int_eq (message->type, DP_MESSAGE_TARGET_CAPACITY);
  ck_assert_msg (since == 0 || since >= ANNOUNCE_INTERVAL, "announced twice in %d ms",
                 (int)(since / MSEC));
  simulation->announced_at[owner] = simulation->now;
  push (simulation, simulation->now + DELAY, EVENT_ANNOUNCED, 1 - owner, message);
}

static void
deliver_outbox (Simulation *simulation, guint owner, GArray *outbox)
{
  gboolean has_stopped
    = simulation->scenario->owners == OWNER_CHANGE && owner == 0 && is_second_half (simulation);
  for (guint i = 0; i < outbox->len && !has_stopped; i++)
    {
      const DpDispatchMessage *outgoing = &g_array_index (outbox, DpDispatchMessage, i);
      if (outgoing->to == DP_DISPATCH_ALL_VMS)
        on_announcement (simulation, owner, &outgoing->message);
      else
        push (simulation, simulation->now + DELAY, EVENT_TO_VM, 0, &outgoing->message);
    }
  g_array_unref (outbox);
}

static void
receive_at_owner (Simulation *simulation, guint owner, guint vm, const DpMessage *message)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (simulation->dispatchers[owner], vm + 1, message, simulation->now,
                         outbox);
  deliver_outbox (simulation, owner, outbox);
}

static void
tick (Simulation *simulation)
{
  for (guint i = 0; i < OWNERS_MAX; i++)
    {
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (simulation->dispatchers[i], simulation->now, outbox);
      deliver_outbox (simulation, i, outbox);
    }
  push (simulation, simulation->now + DP_DISPATCH_TICK_INTERVAL, EVENT_TICK, 0, NULL);
}

static DpId
attempt_id (const Simulation *simulation, const Request *request)
{
  return (DpId){ 1, (guint64)(request - simulation->requests) + 1 };
}

static void
ask (Simulation *simulation, const Request *request)
{
  const Kind *kind = &kinds[request->kind];
  DpUsec age = simulation->now - request->arrived_at;
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = attempt_id (simulation, request),
                                    .group = dp_name (POOL),
                                    .prompt_tokens = request->prompt_tokens,
                                    .remaining = MAX (kind->deadline - age, 0),
                                    .objective_left = MAX (kind->objective - age, 0),
                                    .urgency = request->kind };
  send_to_owner (simulation, request, &message);
}

static void
report_done (Simulation *simulation, const Request *request, DpReason reason)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = attempt_id (simulation, request),
                                      .group = dp_name (POOL),
                                      .reason = reason,
                                      .time_to_first_token = request->first_event,
                                      .duration = simulation->now - request->sent_at,
                                      .is_rejection = reason == DP_REASON_NO_TARGET };
  send_to_owner (simulation, request, &message);
}

/* --- engines --- */

static double
slowness (const Simulation *simulation, const Engine *engine)
{
  const Scenario *scenario = simulation->scenario;
  double factor = engine->speed;
  DpUsec period = 4200 * MSEC;
  if (scenario->noise_factor > 0
      && (simulation->now + engine->noise_phase) % period < 600 * MSEC)
    factor *= scenario->noise_factor;
  guint half = SLOTS / 2;
  if (!engine->is_weak
      || (scenario->weakness != WEAK_ALWAYS
          && is_second_half (simulation) != (scenario->weakness == WEAK_SECOND)))
    return factor;
  if (scenario->slow_factor > 0)
    factor *= scenario->slow_factor;
  if (engine->running > half)
    factor *= scenario->weak_factor + scenario->weak_slope * (engine->running - half - 1);
  return factor;
}

/* Each step writes a token of each response and reads a chunk of one prompt. */
static void
begin_step (Simulation *simulation, Engine *engine)
{
  while (engine->running < SLOTS && engine->queue.length > 0)
    engine->batch[engine->running++] = GPOINTER_TO_UINT (g_queue_pop_head (&engine->queue));
  engine->step_ends_at = 0;
  if (engine->running == 0)
    return;
  engine->reader = NONE;
  engine->chunk = 0;
  for (guint i = 0; i < engine->running && engine->reader == NONE; i++)
    {
      const Request *request = &simulation->requests[engine->batch[i]];
      if (request->read == request->prompt_tokens)
        continue;
      engine->reader = engine->batch[i];
      engine->chunk = MIN (request->prompt_tokens - request->read, CHUNK_TOKENS);
    }
  double ms = STEP_MS * (1 + BATCH_COST * engine->running) + engine->chunk / TOKENS_PER_MS;
  ms *= slowness (simulation, engine);
  engine->step_ends_at = simulation->now + (DpUsec)(ms * (double)MSEC);
  push (simulation, engine->step_ends_at, EVENT_STEP, (guint)(engine - simulation->engines),
        NULL);
}

/* Only while there is load: the rest depends on how many requests are left then. */
static void
add_work (Simulation *simulation, double ms)
{
  if (simulation->now - START <= simulation->scenario->duration)
    simulation->result.work += ms / 1000;
}

static void
read_chunk (Simulation *simulation, Request *request, guint tokens)
{
  request->read += tokens;
  add_work (simulation, tokens / TOKENS_PER_MS);
}

static void
write_token (Simulation *simulation, Request *request)
{
  request->written++;
  add_work (simulation, STEP_MS / SLOTS);
  if (request->written == MIN (TOKENS_PER_EVENT, request->tokens))
    push (simulation, simulation->now + DELAY, EVENT_FIRST,
          (guint)(request - simulation->requests), NULL);
  if (request->written == request->tokens)
    push (simulation, simulation->now + DELAY, EVENT_END,
          (guint)(request - simulation->requests), NULL);
}

static void
end_step (Simulation *simulation, Engine *engine)
{
  guint left = 0;
  for (guint i = 0; i < engine->running; i++)
    {
      Request *request = &simulation->requests[engine->batch[i]];
      if (request->read == request->prompt_tokens)
        write_token (simulation, request);
      else if (engine->reader == engine->batch[i])
        read_chunk (simulation, request, engine->chunk);
      if (request->written < request->tokens)
        engine->batch[left++] = engine->batch[i];
    }
  engine->running = left;
  begin_step (simulation, engine);
}

static void
arrive_at_engine (Simulation *simulation, guint index)
{
  Request *request = &simulation->requests[index];
  Engine *engine = &simulation->engines[request->engine];
  if (engine->running + engine->queue.length >= SLOTS + ENGINE_QUEUE)
    {
      simulation->result.rejected++;
      request->stage = STAGE_ENDED;
      report_done (simulation, request, DP_REASON_NO_TARGET);
      return;
    }
  g_queue_push_tail (&engine->queue, GUINT_TO_POINTER (index));
  if (engine->step_ends_at == 0)
    begin_step (simulation, engine);
}

/* --- VMs --- */

static void
receive_at_vm (Simulation *simulation, const DpMessage *message)
{
  if (message->type == DP_MESSAGE_GRANT_REFUSED)
    {
      simulation->requests[message->grant_refused.attempt.low - 1].stage = STAGE_ENDED;
      simulation->result.refused++;
    }
  if (message->type != DP_MESSAGE_GRANT_GIVEN)
    return;
  guint index = (guint)message->grant_given.attempt.low - 1;
  Request *request = &simulation->requests[index];
  /* The former owner may have placed it too. */
  if (request->stage != STAGE_WAITING)
    return;
  request->stage = STAGE_SENT;
  request->sent_at = simulation->now;
  request->engine = GPOINTER_TO_UINT (
    g_hash_table_lookup (simulation->engine_by_name, &message->grant_given.target));
  push (simulation, simulation->now + DELAY, EVENT_TO_ENGINE, index, NULL);
}

/* TRUE if the request counts for what is measured after a change. */
static gboolean
is_settled (const Simulation *simulation, const Request *request)
{
  return request->arrived_at >= simulation->settled_at;
}

static void
on_first_event (Simulation *simulation, Request *request)
{
  request->first_event = simulation->now - request->sent_at;
  gboolean on_time = simulation->now - request->arrived_at <= kinds[request->kind].objective;
  simulation->result.on_time += on_time;
  simulation->result.settled_on_time += on_time && is_settled (simulation, request);
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress
    = (DpGrantProgress){ .attempt = attempt_id (simulation, request), .group = dp_name (POOL) };
  send_to_owner (simulation, request, &message);
}

static void
on_end (Simulation *simulation, Request *request)
{
  request->stage = STAGE_ENDED;
  simulation->result.answered++;
  report_done (simulation, request, DP_REASON_NONE);
}

/* --- the load --- */

static double
load_at (const Simulation *simulation)
{
  const Scenario *scenario = simulation->scenario;
  return is_second_half (simulation) && scenario->after > 0 ? scenario->after : scenario->load;
}

static void
add_arrival (Simulation *simulation)
{
  const Scenario *scenario = simulation->scenario;
  Request *request = &simulation->requests[simulation->count++];
  double drawn = random_fraction (simulation);
  guint kind = 0;
  while (kind + 1 < KINDS && drawn >= kinds[kind].fraction)
    drawn -= kinds[kind++].fraction;
  double length = 0.7 + 0.6 * random_fraction (simulation);
  if (scenario->prompt_factor > 0 && is_second_half (simulation))
    length *= scenario->prompt_factor;
  double events = kinds[kind].events * (0.7 + 0.6 * random_fraction (simulation));
  *request = (Request){ .kind = kind,
                        .prompt_tokens = (guint)(kinds[kind].prompt_tokens * length),
                        .tokens = (guint)events * TOKENS_PER_EVENT,
                        .arrived_at = simulation->now };
  request->vm = (guint)(random_fraction (simulation) * VMS);
  simulation->result.offered++;
  simulation->result.settled_offered += is_settled (simulation, request);
  ask (simulation, request);
  double rate = simulation->rate * load_at (simulation);
  double pause = -log (1 - random_fraction (simulation)) / rate;
  DpUsec next = simulation->now + MAX ((DpUsec)(pause * SEC), 1);
  if (next - START < scenario->duration && simulation->count < REQUESTS_MAX)
    push (simulation, next, EVENT_ARRIVAL, 0, NULL);
}

/* Requests per second that the engines can do at most: at full batches, the weak ones at half.
 */
static double
full_rate (const Simulation *simulation)
{
  double rate = 0;
  for (guint i = 0; i < ENGINES; i++)
    {
      const Engine *engine = &simulation->engines[i];
      guint batch = engine->is_weak ? SLOTS / 2 : SLOTS;
      double ms = 0;
      for (guint k = 0; k < KINDS; k++)
        ms += kinds[k].fraction
              * (kinds[k].prompt_tokens / TOKENS_PER_MS
                 + kinds[k].events * TOKENS_PER_EVENT * STEP_MS * (1 + BATCH_COST * batch)
                     / batch);
      double noise = simulation->scenario->noise_factor;
      double slow = noise > 0 ? 1 - (1 - 1 / noise) / 7 : 1;
      rate += 1000 / ms / engine->speed * slow;
    }
  return rate;
}

/* --- runs --- */

/* The VMs report what they hold, and ask again for what waited at the former owner. */
static void
report_to_new_owner (Simulation *simulation)
{
  for (guint i = 0; i < simulation->count; i++)
    {
      const Request *request = &simulation->requests[i];
      if (request->stage == STAGE_WAITING)
        ask (simulation, request);
      if (request->stage != STAGE_SENT)
        continue;
      char id[8];
      g_snprintf (id, sizeof id, "e%u", request->engine);
      DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
      message.grant_held = (DpGrantHeld){ .group = dp_name (POOL), .count = 1 };
      message.grant_held.held[0] = (DpHeldGrant){ .attempt = attempt_id (simulation, request),
                                                  .target = dp_name (id),
                                                  .started = request->first_event > 0 };
      send_to_owner (simulation, request, &message);
    }
}

static void
handle (Simulation *simulation, const Event *event)
{
  guint vm;
  switch (event->type)
    {
    case EVENT_ARRIVAL:
      add_arrival (simulation);
      break;
    case EVENT_TO_OWNER:
      vm = simulation->requests[event->index].vm;
      receive_at_owner (simulation, owner_of (simulation, vm), vm, event->message);
      break;
    case EVENT_ANNOUNCED:
      receive_at_owner (simulation, event->index, VMS, event->message);
      break;
    case EVENT_TO_VM:
      receive_at_vm (simulation, event->message);
      break;
    case EVENT_TO_ENGINE:
      arrive_at_engine (simulation, event->index);
      break;
    case EVENT_FIRST:
      on_first_event (simulation, &simulation->requests[event->index]);
      break;
    case EVENT_END:
      on_end (simulation, &simulation->requests[event->index]);
      break;
    case EVENT_STEP:
      end_step (simulation, &simulation->engines[event->index]);
      break;
    case EVENT_TICK:
      tick (simulation);
      break;
    case EVENT_OWNER_CHANGE:
      report_to_new_owner (simulation);
      break;
    }
}

static void
add_engines (Simulation *simulation)
{
  static const double speeds[] = { 0.6, 1.7, 1.7 };
  for (guint i = 0; i < ENGINES; i++)
    {
      Engine *engine = &simulation->engines[i];
      engine->speed = speeds[i % G_N_ELEMENTS (speeds)];
      engine->is_weak = simulation->scenario->weak > 0 && i % simulation->scenario->weak == 0;
      engine->noise_phase = (DpUsec)(random_fraction (simulation) * 4.2 * SEC);
      DpTargetRecord record = { .port_number = 80, .slots = SLOTS };
      g_snprintf (record.id, sizeof record.id, "e%u", i);
      g_strlcpy (record.pool, POOL, sizeof record.pool);
      dp_directory_put (simulation->directory, &record);
      DpName name = dp_name (record.id);
      g_hash_table_insert (simulation->engine_by_name, g_memdup2 (&name, sizeof name),
                           GUINT_TO_POINTER (i));
    }
  for (guint i = 0; i < OWNERS_MAX; i++)
    {
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_set_targets (simulation->dispatchers[i], simulation->directory,
                                 simulation->now, outbox);
      g_array_unref (outbox);
    }
}

static Simulation *
simulation_new (const Scenario *scenario, DpCapacityMode mode, guint64 seed)
{
  Simulation *simulation = g_new0 (Simulation, 1);
  simulation->scenario = scenario;
  simulation->random = seed;
  simulation->now = START;
  simulation->requests = g_new0 (Request, REQUESTS_MAX);
  simulation->counters = dp_counters_new ();
  simulation->directory = dp_directory_new ();
  simulation->engine_by_name
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  simulation->events = g_sequence_new (event_free);
  for (guint i = 0; i < OWNERS_MAX; i++)
    {
      const DpDispatcherOptions options = { .self = FIRST_OWNER + i,
                                            .pool = dp_name (POOL),
                                            .seed = 5,
                                            .capacity = mode,
                                            .is_shared = TRUE,
                                            .counters = simulation->counters };
      simulation->dispatchers[i] = dp_dispatcher_new (&options);
    }
  add_engines (simulation);
  simulation->rate = full_rate (simulation);
  push (simulation, START, EVENT_ARRIVAL, 0, NULL);
  push (simulation, START, EVENT_TICK, 0, NULL);
  if (scenario->owners == OWNER_CHANGE)
    push (simulation, START + scenario->duration / 2 + 1, EVENT_OWNER_CHANGE, 0, NULL);
  return simulation;
}

static void
simulation_free (Simulation *simulation)
{
  g_sequence_free (simulation->events);
  for (guint i = 0; i < OWNERS_MAX; i++)
    dp_dispatcher_free (simulation->dispatchers[i]);
  dp_directory_free (simulation->directory);
  dp_counters_unref (simulation->counters);
  g_hash_table_unref (simulation->engine_by_name);
  for (guint i = 0; i < ENGINES; i++)
    g_queue_clear (&simulation->engines[i].queue);
  g_free (simulation->requests);
  g_free (simulation);
}

static void
run_until (Simulation *simulation, DpUsec end)
{
  GSequenceIter *first;
  while (first = g_sequence_get_begin_iter (simulation->events),
         ((const Event *)g_sequence_get (first))->at <= end)
    {
      const Event *event = g_sequence_get (first);
      simulation->now = event->at;
      handle (simulation, event);
      g_sequence_remove (first);
    }
  simulation->now = end;
}

/* `settling`: see Result; time since the scenario's second half began. */
static Result
simulate (const Scenario *scenario, DpCapacityMode mode, DpUsec settling)
{
  Simulation *simulation = simulation_new (scenario, mode, 1);
  simulation->settled_at = START + scenario->duration / 2 + settling;
  run_until (simulation, START + scenario->duration + 3 * SEC);
  Result result = simulation->result;
  result.changes = dp_dispatcher_capacity_status (simulation->dispatchers[0]).changes;
  simulation_free (simulation);
  return result;
}

/* Results relative to those of the fixed window. */
typedef struct LoadCase
{
  Scenario scenario;
  double on_time_min; /* requests whose first event is on time */
  double work_min;    /* of the engines */
} LoadCase;

/* Sound engines must not lose throughput: 3% is for trials of lower limits within so short a
 * time, and for answers that would be late, which an engine with prompts enough isn't given. */
static const LoadCase load_cases[] = {
  { { "sound, half load", 0.5, .duration = 12 * SEC }, 1, 0.99 },
  { { "sound, 0.8", 0.8, .duration = 12 * SEC }, 1, 0.99 },
  { { "sound, full load", 1, .duration = 12 * SEC }, 1, 0.97 },
  { { "sound, 2.5", 2.5, .duration = 12 * SEC }, 1, 0.97 },
  { { "slow for 0.6 s at times, half load", 0.5, .noise_factor = 2.5, .duration = 12 * SEC },
    1,
    0.99 },
  { { "slow for 0.6 s at times, full load", 1, .noise_factor = 2.5, .duration = 12 * SEC },
    1,
    0.97 },
  { { "slow for 0.6 s at times, 2.5", 2.5, .noise_factor = 2.5, .duration = 12 * SEC },
    1,
    0.97 },
  { { "a burst after half load", 0.5, 2.5, .duration = 12 * SEC }, 1, 0.97 },
  { { "prompts get longer", 0.8, .prompt_factor = 1.7, .duration = 12 * SEC }, 1, 0.97 },
  { { "a third slow from half on, half load", 0.5, 0, 3, 3, .duration = 12 * SEC }, 1, 0.99 },
  { { "a third slow from half on, full load", 1, 0, 3, 3, .duration = 24 * SEC }, 1.15, 1 },
  { { "a third slow from half on, 2.5", 2.5, 0, 3, 3, .duration = 24 * SEC }, 1.15, 0.97 },
  { { "half slow from half on, full load", 1, 0, 2, 3, .duration = 24 * SEC }, 1.15, 1 },
  { { "half slower with each one over half, full load", 1, 0, 2, 1.25, 0.25,
      .duration = 24 * SEC },
    1.1,
    1 },
  { { "all slow from half on, full load", 1, 0, 1, 3, .duration = 24 * SEC }, 1.3, 1.1 },
  { { "all slow from half on, 2.5", 2.5, 0, 1, 3, .duration = 24 * SEC }, 1.3, 1.1 },
  { { "half slow from half on, and slow at times, full load", 1, 0, 2, 3, 0, 2.5,
      .duration = 24 * SEC },
    1.15,
    1 },
  { { "a third slow from half on, two owners, full load", 1, 0, 3, 3, .owners = TWO_OWNERS,
      .duration = 24 * SEC },
    1,
    0.97 },
};

static void
print (const char *name, const Result *result)
{
  double offered = MAX (result->offered, 1);
  printf ("  %s: on time %.3f, answered %.3f, work %.1f s\n", name, result->on_time / offered,
          result->answered / offered, result->work);
}

/* Guards against a window that lets targets be late although fewer requests at a time would be
 * on time, and against limits that cost throughput where targets are sound. */
START_TEST (more_requests_are_on_time_than_with_the_fixed_window)
{
  const LoadCase *row = &load_cases[_i];
  Result fixed = simulate (&row->scenario, DP_CAPACITY_SLOTS, 0);
  Result learned = simulate (&row->scenario, DP_CAPACITY_LEARNED, 0);
  printf ("%s\n", row->scenario.name);
  print ("slots", &fixed);
  print ("learned", &learned);
  ck_assert_msg (learned.on_time >= row->on_time_min * fixed.on_time, "%s: %u on time, %u",
                 row->scenario.name, learned.on_time, fixed.on_time);
  ck_assert_msg (learned.work >= row->work_min * fixed.work, "%s: work %.1f, %.1f",
                 row->scenario.name, learned.work, fixed.work);
}
END_TEST

/* --- failures and changes --- */

/* What a scenario is compared with from some time after its second half began. */
typedef struct ChangeCase
{
  Scenario scenario;
  Scenario reference;
  DpUsec settling;
} ChangeCase;

/* Part of the reference's on-time share: the rest is for trials. */
#define FOLLOWED_MIN 0.9

static const ChangeCase change_cases[] = {
  { { "a third gets slow from half on, 0.7", 0.7, 0, 3, 3, .weakness = WEAK_SECOND,
      .duration = 24 * SEC },
    { "always so", 0.7, 0, 3, 3, .duration = 24 * SEC },
    FOLLOW_TIME },
  { { "a third gets slow from half on, full load", 1, 0, 3, 3, .weakness = WEAK_SECOND,
      .duration = 24 * SEC },
    { "always so", 1, 0, 3, 3, .duration = 24 * SEC },
    FOLLOW_TIME },
  { { "a third that was slow from half on recovers", 1, 0, 3, 3, .weakness = WEAK_FIRST,
      .duration = 24 * SEC },
    { "always sound", 1, 0, 3, 1, .duration = 24 * SEC },
    FOLLOW_TIME },
  { { "a third gets three times as slow", 0.7, 0, 3, 1, .slow_factor = 3,
      .weakness = WEAK_SECOND, .duration = 24 * SEC },
    { "always so", 0.7, 0, 3, 1, .slow_factor = 3, .duration = 24 * SEC },
    FOLLOW_TIME },
  { { "a third slow from half on, a new owner, 0.7", 0.7, 0, 3, 3, .owners = OWNER_CHANGE,
      .duration = 24 * SEC },
    { "the same owner", 0.7, 0, 3, 3, .duration = 24 * SEC },
    0 },
  { { "a third slow from half on, a new owner, full load", 1, 0, 3, 3, .owners = OWNER_CHANGE,
      .duration = 24 * SEC },
    { "the same owner", 1, 0, 3, 3, .duration = 24 * SEC },
    0 },
};

/* Guards against an owner that goes on with what is outdated, and against a new one that has
 * to learn everything again. */
START_TEST (a_change_is_followed)
{
  const ChangeCase *row = &change_cases[_i];
  Result result = simulate (&row->scenario, DP_CAPACITY_LEARNED, row->settling);
  Result reference = simulate (&row->reference, DP_CAPACITY_LEARNED, row->settling);
  double share = (double)result.settled_on_time / MAX (result.settled_offered, 1);
  double reference_share
    = (double)reference.settled_on_time / MAX (reference.settled_offered, 1);
  printf ("%s: on time %.3f, %s %.3f\n", row->scenario.name, share, row->reference.name,
          reference_share);
  ck_assert_msg (share >= FOLLOWED_MIN * reference_share, "%s: %.3f on time, %s %.3f",
                 row->scenario.name, share, row->reference.name, reference_share);
}
END_TEST

/* Guards against a new owner that starts at slots + 1, and against announcements that lose rows
 * or come too often. */
START_TEST (a_new_owner_begins_with_what_was_announced)
{
  static const Scenario scenario
    = { "two owners, little load", 0.1, .owners = TWO_OWNERS, .duration = 4 * SEC };
  Simulation *simulation = simulation_new (&scenario, DP_CAPACITY_LEARNED, 1);
  DpMessage message = { .type = DP_MESSAGE_TARGET_CAPACITY };
  message.target_capacity
    = (DpTargetCapacity){ .pool = dp_name (POOL),
                          .idle = SEC,
                          .count = 2,
                          .rows = { { .target = dp_name ("e3"), .limit = 3 },
                                    { .target = dp_name ("e5"), .limit = 1 } } };
  receive_at_owner (simulation, 0, VMS, &message);
  /* The first requests make both owners; the first owner announces what it has heard. */
  run_until (simulation, START + 500 * MSEC);
  for (guint i = 0; i < OWNERS_MAX; i++)
    {
      DpCapacityStatus status = dp_dispatcher_capacity_status (simulation->dispatchers[i]);
      ck_assert (status.is_deciding);
      ck_assert_uint_eq (status.lowered, 2);
      ck_assert_uint_eq (status.lowest, 1);
      ck_assert_uint_eq (status.lowest_target, dp_name ("e5"));
      ck_assert_uint_eq (status.highest, SLOTS + 1);
    }
  simulation_free (simulation);
}
END_TEST

static const Scenario rare_cases[] = {
  { "a request at a time, slow at times", 0.02, .noise_factor = 2.5, .duration = 60 * SEC },
  { "a fifth of the slots, slow at times", 0.2, .noise_factor = 2.5, .duration = 30 * SEC },
};

/* Guards against decisions on the noise of few measurements. */
START_TEST (rare_traffic_changes_no_limit)
{
  Result result = simulate (&rare_cases[_i], DP_CAPACITY_LEARNED, 0);
  ck_assert_msg (result.changes == 0, "%s: %u changes", rare_cases[_i].name, result.changes);
  ck_assert_uint_eq (result.answered, result.offered);
}
END_TEST

typedef struct BadRow
{
  const char *name;
  DpCapacityLimit row;
  const char *problem;
} BadRow;

static const BadRow bad_rows[] = {
  { "zero, as without the member", { .limit = 0 }, "out_of_range" },
  { "more than slots and one", { .limit = SLOTS + 2 }, "out_of_range" },
  { "far too large", { .limit = G_MAXUINT }, "out_of_range" },
  { "another start of the target", { .limit = 2, .started = 7 }, "other_incarnation" },
  { "unknown target", { .target = 12345, .limit = 2 }, "unknown_target" },
  { "from long ago", { .limit = 2, .age = G_MAXINT64 / 8 }, NULL },
};

/* Guards against a message that breaks the owner, or whose sound rows are lost. */
START_TEST (bad_rows_are_ignored_and_others_count)
{
  static const Scenario scenario = { "announcements", 0.5, .duration = 6 * SEC };
  const BadRow *bad = &bad_rows[_i];
  Simulation *simulation = simulation_new (&scenario, DP_CAPACITY_LEARNED, 1);
  DpMessage message = { .type = DP_MESSAGE_TARGET_CAPACITY };
  message.target_capacity = (DpTargetCapacity){ .pool = dp_name (POOL), .count = 2 };
  message.target_capacity.rows[0] = bad->row;
  if (bad->row.target == 0)
    message.target_capacity.rows[0].target = dp_name ("e0");
  message.target_capacity.rows[1]
    = (DpCapacityLimit){ .target = dp_name ("e1"), .limit = 1, .age = SEC };
  receive_at_owner (simulation, 0, VMS, &message);
  DpIgnoredCapacity ignored = dp_dispatcher_ignored_capacity (simulation->dispatchers[0]);
  ck_assert_uint_eq (ignored.count, bad->problem != NULL);
  if (bad->problem != NULL)
    ck_assert_str_eq (ignored.problem, bad->problem);
  DpCapacityStatus status = dp_dispatcher_capacity_status (simulation->dispatchers[0]);
  ck_assert_uint_eq (status.lowered, 1);
  ck_assert_uint_eq (status.lowest, 1);
  ck_assert_uint_eq (status.lowest_target, dp_name ("e1"));
  /* The longest response takes seven seconds. */
  run_until (simulation, START + 16 * SEC);
  ck_assert_uint_eq (simulation->result.answered, simulation->result.offered);
  simulation_free (simulation);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("capacity");
  TCase *tests = tcase_create ("capacity");
  tcase_add_loop_test (tests, more_requests_are_on_time_than_with_the_fixed_window, 0,
                       G_N_ELEMENTS (load_cases));
  tcase_add_loop_test (tests, a_change_is_followed, 0, G_N_ELEMENTS (change_cases));
  tcase_add_test (tests, a_new_owner_begins_with_what_was_announced);
  tcase_add_loop_test (tests, rare_traffic_changes_no_limit, 0, G_N_ELEMENTS (rare_cases));
  tcase_add_loop_test (tests, bad_rows_are_ignored_and_others_count, 0,
                       G_N_ELEMENTS (bad_rows));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
