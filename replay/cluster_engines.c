/* Engines of the cluster: work in, outputs and load reports out, prefill accounts. */
#include "replay/cluster.h"

#include <math.h>

double
sim_seconds (const Sim *sim)
{
  return (double)sim->now / (double)DP_USEC_PER_SEC;
}

static void
end_attempt (SimAttempt *attempt, gboolean finished, double computed)
{
  attempt->ended = TRUE;
  attempt->finished = finished;
  attempt->computed = computed;
}

static void
send_output (Sim *sim, guint engine, const DpEngineOutput *output)
{
  SimAttempt *attempt = g_hash_table_lookup (sim->attempts, &output->attempt);
  if (attempt == NULL)
    return;
  SimVm *vm = &sim->vms[attempt->vm];
  SimEvent *event
    = sim_schedule (sim, sim->now + sim_delay (sim, sim->engines[engine].name, vm->name),
                    SIM_ENGINE_OUTPUT, attempt->vm);
  event->output = *output;
  const DpTraceRequest *row
    = &g_array_index (sim->trace->requests, DpTraceRequest, attempt->request);
  if (output->type == DP_ENGINE_FINISHED)
    end_attempt (attempt, TRUE, row->prompt - (double)MIN (output->cached, row->prompt));
}

/* Tokens of shared prefix that this engine computes although another one has them cached. */
static double
repeated_tokens (const Sim *sim, guint engine, const DpEngineWork *work)
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
sim_engine_refresh (Sim *sim, guint engine)
{
  SimEngine *row = &sim->engines[engine];
  double next = dp_engine_model_next (row->model);
  if (next == G_MAXDOUBLE)
    return;
  DpUsec at = (DpUsec)ceil (next * (double)DP_USEC_PER_SEC);
  /* at least one step on, since the division may round down to just before `next` */
  row->wake = sim_schedule (sim, MAX (at, sim->now + 1), SIM_ENGINE_WAKE, engine)->order;
}

static void
advance (Sim *sim, guint engine)
{
  GArray *outputs = g_array_new (FALSE, FALSE, sizeof (DpEngineOutput));
  dp_engine_model_advance (sim->engines[engine].model, sim_seconds (sim), outputs);
  for (guint i = 0; i < outputs->len; i++)
    send_output (sim, engine, &g_array_index (outputs, DpEngineOutput, i));
  g_array_unref (outputs);
}

void
sim_engine_wake (Sim *sim, guint engine, guint64 order)
{
  if (sim->engines[engine].wake != order)
    return;
  advance (sim, engine);
  sim_engine_refresh (sim, engine);
}

static void
note_load (Sim *sim, guint engine)
{
  guint running;
  guint waiting;
  dp_engine_model_load (sim->engines[engine].model, &running, &waiting);
  guint window = g_array_index (sim->trace->engines, DpTraceEngine, engine).window;
  double load = (double)(running + waiting) / MAX (window, 1);
  sim->result->most_over_window = MAX (sim->result->most_over_window, load);
}

void
sim_engine_add (Sim *sim, const SimEvent *event)
{
  guint engine = event->index;
  if (sim->vms[event->other].dead)
    return;
  SimAttempt *attempt = g_new0 (SimAttempt, 1);
  attempt->id = event->work->attempt;
  attempt->engine = engine;
  attempt->vm = event->other;
  attempt->request = event->work->request;
  g_hash_table_insert (sim->attempts, &attempt->id, attempt);
  advance (sim, engine);
  sim->result->prefill_repeated += repeated_tokens (sim, engine, event->work);
  dp_engine_model_add (sim->engines[engine].model, sim_seconds (sim), event->work);
  note_load (sim, engine);
  sim_engine_refresh (sim, engine);
}

void
sim_engine_cancel (Sim *sim, DpId id)
{
  SimAttempt *attempt = g_hash_table_lookup (sim->attempts, &id);
  if (attempt == NULL || attempt->ended)
    return;
  advance (sim, attempt->engine);
  if (attempt->ended)
    return;
  DpEngineModel *model = sim->engines[attempt->engine].model;
  end_attempt (attempt, FALSE, dp_engine_model_prefilled_for (model, id));
  dp_engine_model_cancel (model, sim_seconds (sim), id);
  sim_engine_refresh (sim, attempt->engine);
}

void
sim_engine_poll (Sim *sim, const SimEvent *event)
{
  SimEngine *engine = &sim->engines[event->index];
  advance (sim, event->index);
  sim_engine_refresh (sim, event->index);
  DpUsec lag = (DpUsec)(sim->trace->load_lag * (double)DP_USEC_PER_SEC);
  SimEvent *reply = sim_schedule (sim, sim->now + lag, SIM_LOAD, event->other);
  DpLoadReport *load = &reply->load;
  load->target = engine->name;
  load->reachable = TRUE;
  load->boot = 1;
  dp_engine_model_load (engine->model, &load->running, &load->waiting);
  const GArray *events = dp_engine_model_cache_events (engine->model);
  guint64 first = MAX (event->load.cache_sequence, 1);
  guint64 end = events->len + 1;
  load->cache_sequence = first;
  load->cache_event_count = (guint)(end > first ? end - first : 0);
  if (load->cache_event_count > 0)
    reply->cache_events = g_memdup2 (&g_array_index (events, DpCacheEvent, first - 1),
                                     load->cache_event_count * sizeof (DpCacheEvent));
}
