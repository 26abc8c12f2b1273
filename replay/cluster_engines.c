/* Simulated engines: work, cancellations, outputs, load reports and prefill accounting. */
#include "replay/cluster.h"

#include <math.h>

double
sim_now_seconds (const Sim *sim)
{
  return (double)sim->now / (double)DP_USEC_PER_SEC;
}

static void
end_attempt (SimAttempt *attempt, gboolean finished, double prefilled_tokens)
{
  attempt->ended = TRUE;
  attempt->finished = finished;
  attempt->prefilled_tokens = prefilled_tokens;
}

static void
send_output (Sim *sim, guint engine, const DpEngineOutput *output)
{
  SimAttempt *attempt = g_hash_table_lookup (sim->attempts, &output->attempt);
  if (attempt == NULL)
    return;
  SimVm *vm = &sim->vms[attempt->vm];
  SimEvent *event = sim_push_event (
    sim, sim->now + sim_network_delay (sim, sim->engines[engine].name, vm->name),
    SIM_EVENT_ENGINE_OUTPUT, attempt->vm);
  event->output = *output;
  const DpTraceRequest *row
    = &g_array_index (sim->trace->requests, DpTraceRequest, attempt->request);
  if (output->type == DP_ENGINE_FINISHED)
    end_attempt (attempt, TRUE, row->prompt - (double)MIN (output->cached_tokens, row->prompt));
}

/* Prefix tokens that this engine has to compute although another engine has them cached. */
static double
count_repeated_tokens (const Sim *sim, guint engine, const DpEngineWork *work)
{
  double tokens = 0;
  for (guint i = 0; i < work->prefix_count; i++)
    {
      if (dp_engine_model_has_block (sim->engines[engine].model, work->prefix[i]))
        continue;
      for (guint k = 0; k < sim->trace->engines->len; k++)
        {
          if (!dp_engine_model_has_block (sim->engines[k].model, work->prefix[i]))
            continue;
          tokens += 64;
          break;
        }
    }
  return tokens;
}

void
sim_engine_schedule_wake (Sim *sim, guint engine)
{
  SimEngine *row = &sim->engines[engine];
  double next = dp_engine_model_next_change (row->model);
  if (next == G_MAXDOUBLE)
    return;
  DpUsec at = (DpUsec)ceil (next * (double)DP_USEC_PER_SEC);
  /* at least 1 us ahead: `now` in seconds may round to just below `next`, and waking again at
   * the same time would make no progress */
  row->wake_sequence
    = sim_push_event (sim, MAX (at, sim->now + 1), SIM_EVENT_ENGINE_WAKE, engine)->sequence;
}

static void
advance_engine (Sim *sim, guint engine)
{
  GArray *outputs = g_array_new (FALSE, FALSE, sizeof (DpEngineOutput));
  dp_engine_model_advance (sim->engines[engine].model, sim_now_seconds (sim), outputs);
  for (guint i = 0; i < outputs->len; i++)
    send_output (sim, engine, &g_array_index (outputs, DpEngineOutput, i));
  g_array_unref (outputs);
}

void
sim_engine_wake (Sim *sim, guint engine, guint64 sequence)
{
  if (sim->engines[engine].wake_sequence != sequence)
    return;
  advance_engine (sim, engine);
  sim_engine_schedule_wake (sim, engine);
}

static void
update_max_window_ratio (Sim *sim, guint engine)
{
  guint running;
  guint waiting;
  dp_engine_model_get_load (sim->engines[engine].model, &running, &waiting);
  guint window = g_array_index (sim->trace->engines, DpTraceEngine, engine).window;
  double load = (double)(running + waiting) / MAX (window, 1);
  sim->result->max_window_ratio = MAX (sim->result->max_window_ratio, load);
}

void
sim_engine_add (Sim *sim, const SimEvent *event)
{
  guint engine = event->index;
  if (sim->vms[event->vm].crashed)
    return;
  SimAttempt *attempt = g_new0 (SimAttempt, 1);
  attempt->id = event->work->attempt;
  attempt->engine = engine;
  attempt->vm = event->vm;
  attempt->request = event->work->request;
  g_hash_table_insert (sim->attempts, &attempt->id, attempt);
  advance_engine (sim, engine);
  sim->result->prefill_repeated += count_repeated_tokens (sim, engine, event->work);
  dp_engine_model_add (sim->engines[engine].model, sim_now_seconds (sim), event->work);
  update_max_window_ratio (sim, engine);
  sim_engine_schedule_wake (sim, engine);
}

void
sim_engine_cancel (Sim *sim, DpId id)
{
  SimAttempt *attempt = g_hash_table_lookup (sim->attempts, &id);
  if (attempt == NULL || attempt->ended)
    return;
  advance_engine (sim, attempt->engine);
  if (attempt->ended)
    return;
  DpEngineModel *model = sim->engines[attempt->engine].model;
  end_attempt (attempt, FALSE, dp_engine_model_attempt_prefilled_tokens (model, id));
  dp_engine_model_cancel (model, sim_now_seconds (sim), id);
  sim_engine_schedule_wake (sim, attempt->engine);
}

void
sim_engine_poll (Sim *sim, const SimEvent *event)
{
  SimEngine *engine = &sim->engines[event->index];
  advance_engine (sim, event->index);
  sim_engine_schedule_wake (sim, event->index);
  DpUsec lag = (DpUsec)(sim->trace->load_lag * (double)DP_USEC_PER_SEC);
  SimEvent *reply = sim_push_event (sim, sim->now + lag, SIM_EVENT_LOAD_REPORT, event->vm);
  DpLoadReport *load = &reply->load;
  load->target = engine->name;
  load->reachable = TRUE;
  load->boot = 1;
  dp_engine_model_get_load (engine->model, &load->running, &load->waiting);
  const GArray *events = dp_engine_model_cache_events (engine->model);
  guint64 first = MAX (event->load.cache_sequence, 1);
  guint64 end = events->len + 1;
  load->cache_sequence = first;
  load->cache_event_count = (guint)(end > first ? end - first : 0);
  if (load->cache_event_count > 0)
    reply->cache_events = g_memdup2 (&g_array_index (events, DpCacheEvent, first - 1),
                                     load->cache_event_count * sizeof (DpCacheEvent));
}
