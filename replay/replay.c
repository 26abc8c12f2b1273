/* Event loop of a replay, in virtual time. */
#include "replay/replay.h"

#include "replay/cluster.h"

#include <string.h>

/* Time until all VMs learn of a crash or departure. */
#define VIEW_UPDATE_DELAY (1 * DP_USEC_PER_SEC)
/* The run is stopped this long after the last request deadline. */
#define END_GRACE_SECONDS 10.0

static const char *const design_names[DP_REPLAY_DESIGN_COUNT] = {
  [DP_REPLAY_PRODUCT] = "product",
  [DP_REPLAY_QUEUE_PER_ENGINE] = "queue-per-engine",
  [DP_REPLAY_ROUND_ROBIN] = "round-robin",
  [DP_REPLAY_TWO_CHOICES] = "two-choices",
};

/* Returns the preferred VM, or the next one that accepts requests if there is any. */
static guint
pick_live_vm (const Sim *sim, guint preferred)
{
  guint count = sim->trace->vms->len;
  for (guint i = 0; i < count; i++)
    {
      guint vm = (preferred + i) % count;
      if (!sim->vms[vm].crashed && !sim->vms[vm].leaving)
        return vm;
    }
  return preferred;
}

static void
handle_arrival (Sim *sim, guint index)
{
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, index);
  guint vm = pick_live_vm (sim, row->vm);
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
    request->prefix[i]
      = sim_block_hash (i < row->prefix_tokens / 64 ? row->prefix : 0, index, i);
  sim_handle_entry_event (sim, vm, &event);
}

static void
deliver_chunk (Sim *sim, guint vm, DpId attempt, guint tokens, gboolean terminal)
{
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_CHUNK };
  event.chunk = (DpTargetChunk){
    .attempt = attempt, .data = "x", .length = 1, .tokens = tokens, .terminal = terminal
  };
  sim_handle_entry_event (sim, vm, &event);
}

static void
handle_engine_output (Sim *sim, guint vm, const DpEngineOutput *output)
{
  const DpTraceRequest *row
    = &g_array_index (sim->trace->requests, DpTraceRequest, output->request);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_HEAD };
  if (output->type == DP_ENGINE_FIRST_TOKEN)
    {
      event.head = (DpTargetHead){ output->attempt, 200, "text/event-stream" };
      sim_handle_entry_event (sim, vm, &event);
      deliver_chunk (sim, vm, output->attempt, 1, FALSE);
      return;
    }
  deliver_chunk (sim, vm, output->attempt, row->output - 1, FALSE);
  deliver_chunk (sim, vm, output->attempt, 0, TRUE);
  event.type = DP_ENTRY_EVENT_TARGET_END;
  event.end = (DpTargetEnd){ .attempt = output->attempt,
                             .framing_complete = TRUE,
                             .prompt_tokens = row->prompt,
                             .cached_tokens = output->cached_tokens,
                             .output_tokens = row->output };
  sim_handle_entry_event (sim, vm, &event);
}

static gboolean
is_live (const SimVm *vm)
{
  return !vm->crashed && !vm->leaving;
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
              if (!sim->vms[other].crashed
                  && sim->vms[other].data_centre == sim->vms[vm].data_centre
                  && dp_rendezvous_weight (group->name, sim->vms[other].name)
                       > dp_rendezvous_weight (group->name, sim->vms[owner].name))
                owner = other;
            }
          DpName centre
            = DP_MANIFEST_ROW (sim->manifest, data_centres, DpDataCentre, group->data_centre)
                ->name;
          count += owner == vm && centre == sim->vms[vm].data_centre && is_live (&sim->vms[vm]);
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
crash_vm (Sim *sim, guint vm)
{
  GHashTableIter iter;
  gpointer value;
  sim->vms[vm].crashed = TRUE;
  g_hash_table_iter_init (&iter, sim->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SimAttempt *attempt = value;
      if (attempt->vm == vm && !attempt->ended)
        sim_push_event (sim, sim->now, SIM_EVENT_ENGINE_CANCEL, vm)->attempt = attempt->id;
    }
  for (guint i = 0; i < sim->trace->requests->len; i++)
    {
      const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, i);
      if (sim->requests[i].vm == vm && row->at <= sim_now_seconds (sim))
        sim_finish_request (sim, i, SIM_OUTCOME_BROKEN, DP_REASON_NONE);
    }
  sim_push_event (sim, sim->now + VIEW_UPDATE_DELAY, SIM_EVENT_VIEW_UPDATE, 0);
}

static void
apply_fault (Sim *sim, guint index)
{
  const DpTraceFault *fault = &g_array_index (sim->trace->faults, DpTraceFault, index);
  guint subject = fault->subject;
  if (subject == DP_TRACE_BUSIEST_OWNER)
    subject = busiest_owner (sim);
  switch (fault->type)
    {
    case DP_TRACE_FAULT_SLOW:
      if (subject < sim->trace->engines->len)
        {
          sim_engine_poll (sim, &(SimEvent){ .index = subject });
          dp_engine_model_set_slowdown (sim->engines[subject].model, sim_now_seconds (sim),
                                        fault->factor);
          sim_engine_schedule_wake (sim, subject);
        }
      break;
    case DP_TRACE_FAULT_KILL:
      if (subject < sim->trace->vms->len)
        crash_vm (sim, subject);
      break;
    case DP_TRACE_FAULT_LEAVE:
      if (subject < sim->trace->vms->len)
        {
          sim->vms[subject].leaving = TRUE;
          sim_push_event (sim, sim->now + VIEW_UPDATE_DELAY, SIM_EVENT_VIEW_UPDATE, 0);
        }
      break;
    case DP_TRACE_FAULT_PAUSE:
      if (subject < sim->trace->vms->len)
        sim->vms[subject].paused_until
          = sim->now + (DpUsec)(fault->seconds * (double)DP_USEC_PER_SEC);
      break;
    }
}

static void
handle_tick (Sim *sim, guint vm)
{
  sim_handle_scheduler_event (sim, vm, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
  sim_handle_entry_event (sim, vm, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
  sim_push_event (sim, sim->now + DP_REPLAY_TICK_INTERVAL, SIM_EVENT_TICK, vm);
}

/* Returns the VM that handles the event, or -1. */
static int
event_vm (const Sim *sim, const SimEvent *event)
{
  switch (event->type)
    {
    case SIM_EVENT_TICK:
    case SIM_EVENT_ENTRY_MESSAGE:
    case SIM_EVENT_SCHEDULER_MESSAGE:
    case SIM_EVENT_ENGINE_OUTPUT:
    case SIM_EVENT_LOAD_REPORT:
      return (int)event->index;
    default:
      return -1;
    }
}

static void
handle_event (Sim *sim, SimEvent *event)
{
  switch (event->type)
    {
    case SIM_EVENT_ARRIVAL:
      handle_arrival (sim, event->index);
      break;
    case SIM_EVENT_TICK:
      handle_tick (sim, event->index);
      break;
    case SIM_EVENT_ENTRY_MESSAGE:
      {
        DpEntryEvent in = { .type = DP_ENTRY_EVENT_MESSAGE };
        in.from = event->from;
        in.message = event->message;
        sim_handle_entry_event (sim, event->index, &in);
        break;
      }
    case SIM_EVENT_SCHEDULER_MESSAGE:
      {
        DpSchedulerEvent in = { .type = DP_SCHEDULER_EVENT_MESSAGE };
        in.from = event->from;
        in.message = event->message;
        sim_handle_scheduler_event (sim, event->index, &in);
        break;
      }
    case SIM_EVENT_ENGINE_ADD:
      sim_engine_add (sim, event);
      break;
    case SIM_EVENT_ENGINE_CANCEL:
      sim_engine_cancel (sim, event->attempt);
      break;
    case SIM_EVENT_ENGINE_WAKE:
      sim_engine_wake (sim, event->index, event->sequence);
      break;
    case SIM_EVENT_ENGINE_OUTPUT:
      handle_engine_output (sim, event->index, &event->output);
      break;
    case SIM_EVENT_LOAD_POLL:
      sim_engine_poll (sim, event);
      break;
    case SIM_EVENT_LOAD_REPORT:
      {
        DpSchedulerEvent in = { .type = DP_SCHEDULER_EVENT_LOAD, .load = event->load };
        in.load.cache_events = event->cache_events;
        sim_handle_scheduler_event (sim, event->index, &in);
        break;
      }
    case SIM_EVENT_FAULT:
      apply_fault (sim, event->index);
      break;
    case SIM_EVENT_VIEW_UPDATE:
      for (guint i = 0; i < sim->trace->vms->len; i++)
        {
          if (!sim->vms[i].crashed)
            sim_send_view (sim, i);
        }
      break;
    }
}

static void
run_loop (Sim *sim, DpUsec end)
{
  SimEvent *event;
  while (sim->open_requests > 0 && (event = sim_pop_event (sim)) != NULL)
    {
      sim->now = event->at;
      sim->result->events += 1;
      int vm = event_vm (sim, event);
      if (vm >= 0 && !sim->vms[vm].crashed && sim->now < sim->vms[vm].paused_until)
        {
          /* the process is suspended and reads the event when it resumes */
          event->at = sim->vms[vm].paused_until;
          SimEvent *later = sim_push_event (sim, event->at, event->type, event->index);
          guint64 sequence = later->sequence;
          *later = *event;
          later->sequence = sequence;
          g_free (event);
          continue;
        }
      if (vm < 0 || !sim->vms[vm].crashed)
        handle_event (sim, event);
      sim_event_free (event);
      if (sim->now > end)
        break;
    }
}

static void
sum_prefill (Sim *sim)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sim->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SimAttempt *attempt = value;
      gboolean good
        = attempt->finished && sim->requests[attempt->request].outcome == SIM_OUTCOME_GOOD;
      if (!good)
        sim->result->prefill_wasted += attempt->prefilled_tokens;
      if (!good && sim->vms[attempt->vm].crashed)
        sim->result->prefill_lost += attempt->prefilled_tokens;
    }
  for (guint i = 0; i < sim->trace->engines->len; i++)
    sim->result->prefill_computed += dp_engine_model_prefilled_tokens (sim->engines[i].model);
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
  sim_init (&sim);
  double end = 0;
  for (guint i = 0; i < trace->requests->len; i++)
    {
      const DpTraceRequest *row = &g_array_index (trace->requests, DpTraceRequest, i);
      sim_push_event (&sim, (DpUsec)(row->at * (double)DP_USEC_PER_SEC), SIM_EVENT_ARRIVAL, i);
      end = MAX (end, row->at + row->timeout);
    }
  for (guint i = 0; i < trace->faults->len; i++)
    {
      const DpTraceFault *fault = &g_array_index (trace->faults, DpTraceFault, i);
      sim_push_event (&sim, (DpUsec)(fault->at * (double)DP_USEC_PER_SEC), SIM_EVENT_FAULT, i);
    }
  run_loop (&sim, (DpUsec)((end + END_GRACE_SECONDS) * (double)DP_USEC_PER_SEC));
  result->unanswered = sim.open_requests;
  sum_prefill (&sim);
  sim_clear (&sim);
}
