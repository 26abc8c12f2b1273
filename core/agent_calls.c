/* The agent's calls to the platform: one of each kind at a time, with backoff. */
#include "core/agent_board.h"

/* Bounds how long a change stays unseen when the platform loses a watch. */
#define WATCH_TIME (4 * DP_USEC_PER_SEC)
#define BACKOFF_FIRST (400 * DP_USEC_PER_MSEC)
#define BACKOFF_LAST (3 * DP_USEC_PER_SEC)

gboolean
dp_agent_call_ready (const DpAgentBoard *board, DpAgentCall call)
{
  const DpCallState *state = &board->calls[call];
  return !state->open && board->now >= state->not_before;
}

void
dp_agent_call (DpAgentBoard *board,
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
  action.platform.watch_time = type == DP_AGENT_WATCH ? WATCH_TIME : 0;
  action.platform.value = value;
  g_array_append_val (board->actions, action);
  board->calls[call].open = TRUE;
}

void
dp_agent_call_delay (DpAgentBoard *board, DpAgentCall call, DpUsec delay)
{
  DpCallState *state = &board->calls[call];
  state->not_before = MAX (state->not_before, board->now + delay);
}

/* Half to one and a half times the doubled delay, so that VMs come back one by one. */
static DpUsec
backoff_delay (DpAgentBoard *board, guint failures)
{
  DpUsec delay = BACKOFF_FIRST << MIN (failures - 1, 10);
  delay = MIN (delay, BACKOFF_LAST);
  return (DpUsec)((double)delay * (0.5 + dp_agent_random (board)));
}

void
dp_agent_call_done (DpAgentBoard *board, const DpAgentReply *reply)
{
  DpCallState *state = &board->calls[reply->call];
  state->open = FALSE;
  gboolean failed = reply->result == DP_AGENT_UNAVAILABLE || reply->result == DP_AGENT_LOST
                    || reply->result == DP_AGENT_BROKEN;
  if (!failed)
    {
      state->failures = 0;
      return;
    }
  state->failures++;
  dp_agent_call_delay (board, reply->call, backoff_delay (board, state->failures));
}
