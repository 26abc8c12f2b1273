/* The replay's loop: one event after the other, in virtual time. */
#include "replay/replay.h"

#include "replay/cluster.h"

#include <string.h>

/* Everybody knows that a VM died after this long. */
#define DEATH_KNOWN_USEC (1 * DP_USEC_PER_SEC)
/* A run ends this long after the last deadline at the latest. */
#define END_GRACE_SECONDS 10.0

static const char *const design_names[DP_REPLAY_DESIGN_COUNT] = {
  [DP_REPLAY_PRODUCT] = "product",
  [DP_REPLAY_QUEUE_PER_ENGINE] = "queue-per-engine",
  [DP_REPLAY_ROUND_ROBIN] = "round-robin",
  [DP_REPLAY_TWO_CHOICES] = "two-choices",
};

static guint
living_vm (const Sim *sim, guint wanted)
{
  guint count = sim->trace->vms->len;
  for (guint i = 0; i < count; i++)
    {
      guint vm = (wanted + i) % count;
      if (!sim->vms[vm].dead && !sim->vms[vm].leaving)
        return vm;
    }
  return wanted;
}

static void
arrive (Sim *sim, guint index)
{
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, index);
  guint vm = living_vm (sim, row->vm);
  guint key = row->workspace * sim->trace->tiers->len + row->tier;
  sim->requests[index].vm = vm;
  sim->result->tiers[row->tier].offered += 1;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_REQUEST };
  DpRequestIn *request = &event.request;
  request->caller = index + 1;
  request->request = (DpId){ 1, index + 1 };
  request->key_sha256 = DP_MANIFEST_ROW (sim->manifest, keys, DpAccessKey, key)->sha256;
  request->method = "POST";
  request->path = "/v1/chat/completions";
  request->model = "model";
  request->stream = TRUE;
  request->timeout = (DpUsec)(row->timeout * (double)DP_USEC_PER_SEC);
  request->body_hash = index + 1;
  request->prompt_tokens = row->prompt;
  request->output_tokens = row->output_bound;
  request->prefix_count = MIN (row->prompt / 64, DP_PREFIX_BLOCKS_MAX);
  for (guint i = 0; i < request->prefix_count; i++)
    request->prefix[i] = sim_block (i < row->prefix_tokens / 64 ? row->prefix : 0, index, i);
  sim_entry_event (sim, vm, &event);
}

static void
chunk (Sim *sim, guint vm, DpId attempt, guint tokens, gboolean terminal)
{
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_CHUNK };
  event.chunk = (DpTargetChunk){
    .attempt = attempt, .data = "x", .length = 1, .tokens = tokens, .terminal = terminal
  };
  sim_entry_event (sim, vm, &event);
}

static void
take_output (Sim *sim, guint vm, const DpEngineOutput *output)
{
  const DpTraceRequest *row
    = &g_array_index (sim->trace->requests, DpTraceRequest, output->request);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_HEAD };
  if (output->type == DP_ENGINE_FIRST_TOKEN)
    {
      event.head = (DpTargetHead){ output->attempt, 200, "text/event-stream" };
      sim_entry_event (sim, vm, &event);
      chunk (sim, vm, output->attempt, 1, FALSE);
      return;
    }
  chunk (sim, vm, output->attempt, row->output - 1, FALSE);
  chunk (sim, vm, output->attempt, 0, TRUE);
  event.type = DP_ENTRY_EVENT_TARGET_END;
  event.end = (DpTargetEnd){ .attempt = output->attempt,
                             .framing_complete = TRUE,
                             .prompt_tokens = row->prompt,
                             .cached_tokens = output->cached,
                             .output_tokens = row->output };
  sim_entry_event (sim, vm, &event);
}

static gboolean
is_first_choice (const SimVm *vm)
{
  return !vm->dead && !vm->leaving;
}

static guint
busiest_owner (const Sim *sim)
{
  guint best = 0;
  guint best_count = 0;
  for (guint vm = 0; vm < sim->trace->vms->len; vm++)
    {
      guint count = 0;
      for (guint i = 0; i < sim->manifest->groups->len; i++)
        {
          const DpGroup *group = DP_MANIFEST_ROW (sim->manifest, groups, DpGroup, i);
          guint owner = vm;
          for (guint other = 0; other < sim->trace->vms->len; other++)
            {
              if (!sim->vms[other].dead
                  && sim->vms[other].data_centre == sim->vms[vm].data_centre
                  && dp_rendezvous_weight (group->name, sim->vms[other].name)
                       > dp_rendezvous_weight (group->name, sim->vms[owner].name))
                owner = other;
            }
          DpName centre
            = DP_MANIFEST_ROW (sim->manifest, data_centres, DpDataCentre, group->data_centre)
                ->name;
          count += owner == vm && centre == sim->vms[vm].data_centre
                   && is_first_choice (&sim->vms[vm]);
        }
      if (count > best_count)
        {
          best = vm;
          best_count = count;
        }
    }
  return best;
}

static void
kill_vm (Sim *sim, guint vm)
{
  GHashTableIter iter;
  gpointer value;
  sim->vms[vm].dead = TRUE;
  g_hash_table_iter_init (&iter, sim->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SimAttempt *attempt = value;
      if (attempt->vm == vm && !attempt->ended)
        sim_schedule (sim, sim->now, SIM_ENGINE_CANCEL, vm)->attempt = attempt->id;
    }
  for (guint i = 0; i < sim->trace->requests->len; i++)
    {
      const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, i);
      if (sim->requests[i].vm == vm && row->at <= sim_seconds (sim))
        sim_request_over (sim, i, SIM_BROKEN, DP_REASON_NONE);
    }
  sim_schedule (sim, sim->now + DEATH_KNOWN_USEC, SIM_VIEW, 0);
}

static void
take_fault (Sim *sim, guint index)
{
  const DpTraceFault *fault = &g_array_index (sim->trace->faults, DpTraceFault, index);
  guint subject = fault->subject;
  if (subject == DP_TRACE_BUSIEST_OWNER)
    subject = busiest_owner (sim);
  switch (fault->type)
    {
    case DP_TRACE_SLOW:
      if (subject < sim->trace->engines->len)
        {
          sim_engine_poll (sim, &(SimEvent){ .index = subject });
          dp_engine_model_set_slowness (sim->engines[subject].model, sim_seconds (sim),
                                        fault->factor);
          sim_engine_refresh (sim, subject);
        }
      break;
    case DP_TRACE_KILL:
      if (subject < sim->trace->vms->len)
        kill_vm (sim, subject);
      break;
    case DP_TRACE_LEAVE:
      if (subject < sim->trace->vms->len)
        {
          sim->vms[subject].leaving = TRUE;
          sim_schedule (sim, sim->now + DEATH_KNOWN_USEC, SIM_VIEW, 0);
        }
      break;
    case DP_TRACE_PAUSE:
      if (subject < sim->trace->vms->len)
        sim->vms[subject].paused_until
          = sim->now + (DpUsec)(fault->seconds * (double)DP_USEC_PER_SEC);
      break;
    }
}

static void
tick (Sim *sim, guint vm)
{
  sim_scheduler_event (sim, vm, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
  sim_entry_event (sim, vm, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
  sim_schedule (sim, sim->now + DP_REPLAY_TICK_USEC, SIM_TICK, vm);
}

/* The VM that an event happens on, or -1. */
static int
vm_of (const Sim *sim, const SimEvent *event)
{
  switch (event->type)
    {
    case SIM_TICK:
    case SIM_TO_ENTRY:
    case SIM_TO_SCHEDULER:
    case SIM_ENGINE_OUTPUT:
    case SIM_LOAD:
      return (int)event->index;
    default:
      return -1;
    }
}

static void
take_event (Sim *sim, SimEvent *event)
{
  switch (event->type)
    {
    case SIM_ARRIVAL:
      arrive (sim, event->index);
      break;
    case SIM_TICK:
      tick (sim, event->index);
      break;
    case SIM_TO_ENTRY:
      {
        DpEntryEvent in = { .type = DP_ENTRY_EVENT_MESSAGE };
        in.from = event->from;
        in.message = event->message;
        sim_entry_event (sim, event->index, &in);
        break;
      }
    case SIM_TO_SCHEDULER:
      {
        DpSchedulerEvent in = { .type = DP_SCHEDULER_EVENT_MESSAGE };
        in.from = event->from;
        in.message = event->message;
        sim_scheduler_event (sim, event->index, &in);
        break;
      }
    case SIM_ENGINE_ADD:
      sim_engine_add (sim, event);
      break;
    case SIM_ENGINE_CANCEL:
      sim_engine_cancel (sim, event->attempt);
      break;
    case SIM_ENGINE_WAKE:
      sim_engine_wake (sim, event->index, event->order);
      break;
    case SIM_ENGINE_OUTPUT:
      take_output (sim, event->index, &event->output);
      break;
    case SIM_POLL:
      sim_engine_poll (sim, event);
      break;
    case SIM_LOAD:
      {
        DpSchedulerEvent in = { .type = DP_SCHEDULER_EVENT_LOAD, .load = event->load };
        in.load.cache_events = event->cache_events;
        sim_scheduler_event (sim, event->index, &in);
        break;
      }
    case SIM_FAULT:
      take_fault (sim, event->index);
      break;
    case SIM_VIEW:
      for (guint i = 0; i < sim->trace->vms->len; i++)
        {
          if (!sim->vms[i].dead)
            sim_send_view (sim, i);
        }
      break;
    }
}

static void
run_loop (Sim *sim, DpUsec end)
{
  SimEvent *event;
  while (sim->open > 0 && (event = sim_pop (sim)) != NULL)
    {
      sim->now = event->at;
      sim->result->events += 1;
      int vm = vm_of (sim, event);
      if (vm >= 0 && !sim->vms[vm].dead && sim->now < sim->vms[vm].paused_until)
        {
          /* stays in its socket until the process goes on */
          event->at = sim->vms[vm].paused_until;
          SimEvent *later = sim_schedule (sim, event->at, event->type, event->index);
          guint64 order = later->order;
          *later = *event;
          later->order = order;
          g_free (event);
          continue;
        }
      if (vm < 0 || !sim->vms[vm].dead)
        take_event (sim, event);
      sim_event_free (event);
      if (sim->now > end)
        break;
    }
}

static void
account_prefill (Sim *sim)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sim->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SimAttempt *attempt = value;
      gboolean good = attempt->finished && sim->requests[attempt->request].outcome == SIM_GOOD;
      if (!good)
        sim->result->prefill_wasted += attempt->computed;
      if (!good && sim->vms[attempt->vm].dead)
        sim->result->prefill_lost += attempt->computed;
    }
  for (guint i = 0; i < sim->trace->engines->len; i++)
    sim->result->prefill_computed += dp_engine_model_prefilled (sim->engines[i].model);
}

const char *
dp_replay_design_name (DpReplayDesign design)
{
  return design_names[design];
}

void
dp_replay_run (const DpTrace *trace, DpReplayDesign design, DpReplayResult *result)
{
  Sim sim = { .trace = trace, .design = design, .result = result };
  memset (result, 0, sizeof *result);
  result->tier_count = MIN (trace->tiers->len, DP_TIERS_MAX);
  sim_build (&sim);
  double end = 0;
  for (guint i = 0; i < trace->requests->len; i++)
    {
      const DpTraceRequest *row = &g_array_index (trace->requests, DpTraceRequest, i);
      sim_schedule (&sim, (DpUsec)(row->at * (double)DP_USEC_PER_SEC), SIM_ARRIVAL, i);
      end = MAX (end, row->at + row->timeout);
    }
  for (guint i = 0; i < trace->faults->len; i++)
    {
      const DpTraceFault *fault = &g_array_index (trace->faults, DpTraceFault, i);
      sim_schedule (&sim, (DpUsec)(fault->at * (double)DP_USEC_PER_SEC), SIM_FAULT, i);
    }
  run_loop (&sim, (DpUsec)((end + END_GRACE_SECONDS) * (double)DP_USEC_PER_SEC));
  result->unanswered = sim.open;
  account_prefill (&sim);
  sim_clear (&sim);
}
