/* Passes events to the entry and scheduler cores and performs their actions. */
#include "replay/cluster.h"

/* One-way message delays within a VM and within a data centre. */
#define SAME_VM_DELAY_USEC 50
#define SAME_DATA_CENTRE_DELAY_USEC 300

static DpName
data_centre_of (const Sim *sim, DpName name)
{
  int vm = sim_find_vm (sim, name);
  if (vm >= 0)
    return sim->vms[vm].data_centre;
  int engine = sim_find_engine (sim, name);
  return engine >= 0 ? sim->engines[engine].data_centre : 0;
}

DpUsec
sim_network_delay (const Sim *sim, DpName from, DpName to)
{
  if (from == to)
    return SAME_VM_DELAY_USEC;
  if (data_centre_of (sim, from) == data_centre_of (sim, to))
    return SAME_DATA_CENTRE_DELAY_USEC;
  return (DpUsec)(sim->trace->one_way * (double)DP_USEC_PER_SEC);
}

int
sim_find_vm (const Sim *sim, DpName name)
{
  for (guint i = 0; i < sim->trace->vms->len; i++)
    {
      if (sim->vms[i].name == name)
        return (int)i;
    }
  return -1;
}

int
sim_find_engine (const Sim *sim, DpName name)
{
  for (guint i = 0; i < sim->trace->engines->len; i++)
    {
      if (sim->engines[i].name == name)
        return (int)i;
    }
  return -1;
}

static void
send_message (Sim *sim, guint vm, DpRole role, DpPeer to, const DpMessage *message)
{
  int receiver = sim_find_vm (sim, to.vm);
  if (receiver < 0)
    return;
  DpUsec at = sim->now + sim_network_delay (sim, sim->vms[vm].name, to.vm);
  SimEventType type
    = to.role == DP_ROLE_ENTRY ? SIM_EVENT_ENTRY_MESSAGE : SIM_EVENT_SCHEDULER_MESSAGE;
  SimEvent *event = sim_push_event (sim, at, type, (guint)receiver);
  event->from = (DpPeer){ sim->vms[vm].name, role };
  event->message = g_memdup2 (message, sizeof *message);
}

static guint
compute_prefix (const DpTraceRequest *row, guint request, guint64 out[DP_PREFIX_BLOCKS_MAX])
{
  guint count = MIN (row->prompt / 64, DP_PREFIX_BLOCKS_MAX);
  guint shared = row->prefix_tokens / 64;
  for (guint i = 0; i < count; i++)
    out[i] = sim_block_hash (i < shared ? row->prefix : 0, request, i);
  return count;
}

static void
start_attempt (Sim *sim, guint vm, const DpDispatch *dispatch)
{
  guint request = (guint)dispatch->caller - 1;
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, request);
  int engine = sim_find_engine (sim, dispatch->target);
  SimEvent *event = sim_push_event (
    sim, sim->now + sim_network_delay (sim, sim->vms[vm].name, dispatch->target),
    SIM_EVENT_ENGINE_ADD, (guint)engine);
  event->vm = vm;
  event->work = g_new0 (DpEngineWork, 1);
  event->work->attempt = dispatch->attempt;
  event->work->request = request;
  event->work->prompt = row->prompt + dispatch->sent_tokens;
  event->work->output = row->output - MIN (dispatch->sent_tokens, row->output - 1);
  event->work->prefix_count = compute_prefix (row, request, event->work->prefix);
}

static void
cancel_attempt (Sim *sim, guint vm, DpId attempt)
{
  const SimAttempt *row = g_hash_table_lookup (sim->attempts, &attempt);
  DpName engine = row != NULL ? sim->engines[row->engine].name : 0;
  DpUsec delay = sim_network_delay (sim, sim->vms[vm].name, engine);
  sim_push_event (sim, sim->now + delay, SIM_EVENT_ENGINE_CANCEL, vm)->attempt = attempt;
}

static void
complete_request (Sim *sim, DpCaller caller)
{
  guint request = (guint)caller - 1;
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, request);
  double deadline = row->at + row->timeout;
  sim_finish_request (sim, request,
                      sim_now_seconds (sim) <= deadline ? SIM_OUTCOME_GOOD : SIM_OUTCOME_LATE,
                      DP_REASON_NONE);
}

static void
run_entry_action (Sim *sim, guint vm, const DpEntryAction *action)
{
  switch (action->type)
    {
    case DP_ENTRY_ACTION_SEND:
      send_message (sim, vm, DP_ROLE_ENTRY, action->to, &action->message);
      break;
    case DP_ENTRY_ACTION_DISPATCH:
      start_attempt (sim, vm, &action->dispatch);
      break;
    case DP_ENTRY_ACTION_CANCEL:
      cancel_attempt (sim, vm, action->cancel);
      break;
    case DP_ENTRY_ACTION_END:
      complete_request (sim, action->end);
      break;
    case DP_ENTRY_ACTION_PROBLEM:
      sim_finish_request (sim, (guint)action->problem.caller - 1, SIM_OUTCOME_REFUSED,
                          action->problem.reason);
      break;
    case DP_ENTRY_ACTION_ABORT:
      sim_finish_request (sim, (guint)action->abort.caller - 1, SIM_OUTCOME_BROKEN,
                          DP_REASON_NONE);
      break;
    default:
      break;
    }
}

static void
run_scheduler_action (Sim *sim, guint vm, const DpSchedulerAction *action)
{
  switch (action->type)
    {
    case DP_SCHEDULER_ACTION_SEND:
      send_message (sim, vm, DP_ROLE_SCHEDULER, action->to, &action->message);
      break;
    case DP_SCHEDULER_ACTION_POLL:
      {
        DpName target = action->poll.target;
        SimEvent *event
          = sim_push_event (sim, sim->now + sim_network_delay (sim, sim->vms[vm].name, target),
                            SIM_EVENT_LOAD_POLL, (guint)sim_find_engine (sim, target));
        event->vm = vm;
        event->load.cache_sequence = action->poll.cache_sequence;
        break;
      }
    }
}

void
sim_finish_request (Sim *sim, guint request, SimOutcome outcome, DpReason reason)
{
  SimRequest *state = &sim->requests[request];
  if (state->outcome != SIM_OUTCOME_OPEN)
    return;
  guint tier = g_array_index (sim->trace->requests, DpTraceRequest, request).tier;
  DpReplayTier *row = &sim->result->tiers[tier];
  state->outcome = outcome;
  sim->open_requests -= 1;
  row->good += outcome == SIM_OUTCOME_GOOD;
  row->late += outcome == SIM_OUTCOME_LATE;
  row->refused += outcome == SIM_OUTCOME_REFUSED;
  row->broken += outcome == SIM_OUTCOME_BROKEN;
  if (outcome == SIM_OUTCOME_REFUSED)
    sim->result->refusals[reason] += 1;
}

void
sim_handle_entry_event (Sim *sim, guint vm, DpEntryEvent *event)
{
  GArray *actions = dp_entry_actions_new ();
  event->now = sim->now + DP_USEC_PER_SEC;
  event->wall = sim->now + 1700000000 * DP_USEC_PER_SEC;
  dp_entry_handle (sim->vms[vm].entry, event, actions);
  for (guint i = 0; i < actions->len; i++)
    run_entry_action (sim, vm, &g_array_index (actions, DpEntryAction, i));
  g_array_unref (actions);
}

void
sim_handle_scheduler_event (Sim *sim, guint vm, DpSchedulerEvent *event)
{
  GArray *actions = dp_scheduler_actions_new ();
  event->now = sim->now + DP_USEC_PER_SEC;
  dp_scheduler_handle (sim->vms[vm].scheduler, event, actions);
  for (guint i = 0; i < actions->len; i++)
    run_scheduler_action (sim, vm, &g_array_index (actions, DpSchedulerAction, i));
  g_array_unref (actions);
}
