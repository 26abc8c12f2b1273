/* Runs the boards and carries out their actions. */
#include "replay/cluster.h"

/* One way between processes of one VM, and between VMs of one data centre. */
#define DELAY_SAME_VM_USEC 50
#define DELAY_SAME_CENTRE_USEC 300

static DpName
centre_of (const Sim *sim, DpName name)
{
  int vm = sim_find_vm (sim, name);
  if (vm >= 0)
    return sim->vms[vm].data_centre;
  int engine = sim_find_engine (sim, name);
  return engine >= 0 ? sim->engines[engine].data_centre : 0;
}

DpUsec
sim_delay (const Sim *sim, DpName from, DpName to)
{
  if (from == to)
    return DELAY_SAME_VM_USEC;
  if (centre_of (sim, from) == centre_of (sim, to))
    return DELAY_SAME_CENTRE_USEC;
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
  DpUsec at = sim->now + sim_delay (sim, sim->vms[vm].name, to.vm);
  SimEventType type = to.role == DP_ROLE_ENTRY ? SIM_TO_ENTRY : SIM_TO_SCHEDULER;
  SimEvent *event = sim_schedule (sim, at, type, (guint)receiver);
  event->from = (DpPeer){ sim->vms[vm].name, role };
  event->message = g_memdup2 (message, sizeof *message);
}

static guint
prefix_blocks (const DpTraceRequest *row, guint request, guint64 out[DP_PREFIX_BLOCKS_MAX])
{
  guint count = MIN (row->prompt / 64, DP_PREFIX_BLOCKS_MAX);
  guint shared = row->prefix_tokens / 64;
  for (guint i = 0; i < count; i++)
    out[i] = sim_block (i < shared ? row->prefix : 0, request, i);
  return count;
}

static void
dispatch (Sim *sim, guint vm, const DpDispatch *dispatch)
{
  guint request = (guint)dispatch->caller - 1;
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, request);
  int engine = sim_find_engine (sim, dispatch->target);
  SimEvent *event
    = sim_schedule (sim, sim->now + sim_delay (sim, sim->vms[vm].name, dispatch->target),
                    SIM_ENGINE_ADD, (guint)engine);
  event->other = vm;
  event->work = g_new0 (DpEngineWork, 1);
  event->work->attempt = dispatch->attempt;
  event->work->request = request;
  event->work->prompt = row->prompt + dispatch->sent_tokens;
  event->work->output = row->output - MIN (dispatch->sent_tokens, row->output - 1);
  event->work->prefix_count = prefix_blocks (row, request, event->work->prefix);
}

static void
cancel (Sim *sim, guint vm, DpId attempt)
{
  const SimAttempt *row = g_hash_table_lookup (sim->attempts, &attempt);
  DpName engine = row != NULL ? sim->engines[row->engine].name : 0;
  DpUsec delay = sim_delay (sim, sim->vms[vm].name, engine);
  sim_schedule (sim, sim->now + delay, SIM_ENGINE_CANCEL, vm)->attempt = attempt;
}

static void
complete (Sim *sim, DpCaller caller)
{
  guint request = (guint)caller - 1;
  const DpTraceRequest *row = &g_array_index (sim->trace->requests, DpTraceRequest, request);
  double deadline = row->at + row->timeout;
  sim_request_over (sim, request, sim_seconds (sim) <= deadline ? SIM_GOOD : SIM_LATE,
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
      dispatch (sim, vm, &action->dispatch);
      break;
    case DP_ENTRY_ACTION_CANCEL:
      cancel (sim, vm, action->cancel);
      break;
    case DP_ENTRY_ACTION_END:
      complete (sim, action->end);
      break;
    case DP_ENTRY_ACTION_PROBLEM:
      sim_request_over (sim, (guint)action->problem.caller - 1, SIM_REFUSED,
                        action->problem.reason);
      break;
    case DP_ENTRY_ACTION_ABORT:
      sim_request_over (sim, (guint)action->abort.caller - 1, SIM_BROKEN, DP_REASON_NONE);
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
          = sim_schedule (sim, sim->now + sim_delay (sim, sim->vms[vm].name, target), SIM_POLL,
                          (guint)sim_find_engine (sim, target));
        event->other = vm;
        event->load.cache_sequence = action->poll.cache_sequence;
        break;
      }
    }
}

void
sim_request_over (Sim *sim, guint request, SimOutcome outcome, DpReason reason)
{
  SimRequest *state = &sim->requests[request];
  if (state->outcome != SIM_OPEN)
    return;
  guint tier = g_array_index (sim->trace->requests, DpTraceRequest, request).tier;
  DpReplayTier *row = &sim->result->tiers[tier];
  state->outcome = outcome;
  sim->open -= 1;
  row->good += outcome == SIM_GOOD;
  row->late += outcome == SIM_LATE;
  row->refused += outcome == SIM_REFUSED;
  row->broken += outcome == SIM_BROKEN;
  if (outcome == SIM_REFUSED)
    sim->result->refusals[reason] += 1;
}

void
sim_entry_event (Sim *sim, guint vm, DpEntryEvent *event)
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
sim_scheduler_event (Sim *sim, guint vm, DpSchedulerEvent *event)
{
  GArray *actions = dp_scheduler_actions_new ();
  event->now = sim->now + DP_USEC_PER_SEC;
  dp_scheduler_handle (sim->vms[vm].scheduler, event, actions);
  for (guint i = 0; i < actions->len; i++)
    run_scheduler_action (sim, vm, &g_array_index (actions, DpSchedulerAction, i));
  g_array_unref (actions);
}
