/* Platform calls of the agent: one of each kind at a time, with backoff. */
#include "core/agent_private.h"

/* Bounds how long a change goes unnoticed when the platform loses a watch: with 20 s, no new
 * manifest was in force after 8 s. Costs 1.5 calls/s per data centre. */
#define WATCH_DURATION (4 * DP_USEC_PER_SEC)
#define BACKOFF_MIN (400 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (3 * DP_USEC_PER_SEC)

gboolean
dp_agent_call_ready (const DpAgentCore *core, DpAgentCall call)
{
  const DpCallState *state = &core->calls[call];
  return !state->in_flight && core->now >= state->not_before;
}

void
dp_agent_call_start (DpAgentCore *core,
                     DpAgentCall call,
                     DpAgentCallType type,
                     const char *path,
                     guint64 version,
                     GBytes *value)
{
  DpAgentAction action = { .type = DP_AGENT_ACTION_PLATFORM };
  action.platform.call = call;
  action.platform.type = type;
  g_strlcpy (action.platform.path, path, sizeof action.platform.path);
  action.platform.version = version;
  action.platform.watch_time = type == DP_AGENT_WATCH ? WATCH_DURATION : 0;
  action.platform.value = value;
  g_array_append_val (core->actions, action);
  core->calls[call].in_flight = TRUE;
}

void
dp_agent_call_delay (DpAgentCore *core, DpAgentCall call, DpUsec delay)
{
  DpCallState *state = &core->calls[call];
  state->not_before = MAX (state->not_before, core->now + delay);
}

/* Exponential backoff with 50% jitter, so that VMs don't all retry at the same time. */
static DpUsec
backoff_delay (DpAgentCore *core, guint failures)
{
  DpUsec delay = BACKOFF_MIN << MIN (failures - 1, 10);
  delay = MIN (delay, BACKOFF_MAX);
  return (DpUsec)((double)delay * (0.5 + dp_agent_random (core)));
}

void
dp_agent_call_finish (DpAgentCore *core, const DpAgentReply *reply)
{
  DpCallState *state = &core->calls[reply->call];
  state->in_flight = FALSE;
  gboolean failed = reply->result == DP_AGENT_UNAVAILABLE || reply->result == DP_AGENT_LOST
                    || reply->result == DP_AGENT_BROKEN;
  if (!failed)
    {
      state->failures = 0;
      return;
    }
  state->failures++;
  dp_agent_call_delay (core, reply->call, backoff_delay (core, state->failures));
}
