/* Limits of workspaces, over all entries together.
 *
 * One scheduler keeps each workspace's count and rate: the first VM in rendezvous order. A
 * request waits here until that scheduler has given leave; asks of requests that arrive
 * meanwhile are joined. Refusals come at once. While no owner answers, the entry keeps to its
 * own share: the limit divided by the live VMs.
 */
#include "core/entry_board.h"

#define ASK_REPEAT (150 * DP_USEC_PER_MSEC)
/* Asks without an answer before the next VM is asked. */
#define ASKS_MAX 2
/* VMs asked before the entry uses its own share. */
#define OWNERS_MAX 2
#define OWNER_SILENCE (5 * DP_USEC_PER_SEC)
#define REPORT_EVERY (500 * DP_USEC_PER_MSEC)

static DpName
limit_key (DpName workspace)
{
  return dp_name_pair (dp_name ("limits"), workspace);
}

static const DpWorkspace *
workspace_of (const Request *request)
{
  return DP_MANIFEST_ROW (request->routes->manifest, workspaces, DpWorkspace,
                          request->workspace);
}

static gboolean
has_limits (const DpWorkspace *workspace)
{
  return workspace->requests_per_second > 0 || workspace->requests_in_flight > 0;
}

static LimitState *
find_state (DpEntryBoard *board, DpName workspace)
{
  return g_hash_table_lookup (board->limits, &workspace);
}

static LimitState *
obtain_state (DpEntryBoard *board, DpName workspace)
{
  LimitState *state = find_state (board, workspace);
  if (state != NULL)
    return state;
  state = g_new0 (LimitState, 1);
  state->workspace = workspace;
  state->waiting = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  g_hash_table_insert (board->limits, g_memdup2 (&workspace, sizeof workspace), state);
  return state;
}

void
entry_limit_free (gpointer data)
{
  LimitState *state = data;
  g_array_unref (state->waiting);
  g_free (state);
}

/* --- waiting requests --- */

/* Takes out the waiting request of the most urgent tier that came first; NULL: none waits. */
static Request *
take_first (DpEntryBoard *board, LimitState *state)
{
  Request *first = NULL;
  guint place = 0;
  for (guint i = 0; i < state->waiting->len; i++)
    {
      Request *request = entry_request (board, g_array_index (state->waiting, DpHandle, i));
      if (request == NULL || (first != NULL && first->tier <= request->tier))
        continue;
      first = request;
      place = i;
    }
  if (first != NULL)
    g_array_remove_index (state->waiting, place);
  return first;
}

static void
drop_gone (DpEntryBoard *board, LimitState *state)
{
  for (guint i = state->waiting->len; i > 0; i--)
    if (entry_request (board, g_array_index (state->waiting, DpHandle, i - 1)) == NULL)
      g_array_remove_index (state->waiting, i - 1);
}

static void
let_in (DpEntryBoard *board, LimitState *state, Request *request)
{
  request->limit_held = TRUE;
  state->held += 1;
  entry_admit_proceed (board, request);
}

/* --- asks --- */

/* The first VM in the limit's rendezvous order that has not been silent; 0: none. */
static DpName
choose_owner (DpEntryBoard *board, const LimitState *state)
{
  const DpVm *ranked[OWNERS_MAX];
  guint count = dp_view_rank (board->view, limit_key (state->workspace), 0, ranked, OWNERS_MAX);
  for (guint i = 0; i < count; i++)
    if (entry_vm (board, ranked[i]->name)->silent_until <= board->now)
      return ranked[i]->name;
  return 0;
}

static void
send_ask (DpEntryBoard *board, LimitState *state, guint want)
{
  DpMessage message = { .type = DP_MESSAGE_LIMIT_ASK };
  message.limit_ask = (DpLimitAsk){ .workspace = state->workspace,
                                    .sequence = state->sequence,
                                    .want = want,
                                    .held = state->held };
  DpPeer owner = { .vm = state->owner, .role = DP_ROLE_SCHEDULER };
  entry_send (board, owner, &message);
  state->reported_at = board->now;
}

/* The owner learns what has ended here, and a new owner what is open. */
static void
report (DpEntryBoard *board, LimitState *state)
{
  state->owner = choose_owner (board, state);
  board->limit_sequence += 1;
  state->sequence = board->limit_sequence;
  if (state->owner != 0)
    send_ask (board, state, 0);
}

static gboolean
take_from_share (DpEntryBoard *board, LimitState *state, const DpWorkspace *workspace)
{
  guint live = 0;
  for (guint i = 0; i < board->view->vms->len; i++)
    live += g_array_index (board->view->vms, DpVm, i).state == DP_VM_LIVE;
  live = MAX (live, 1);
  if (workspace->requests_in_flight > 0
      && state->held >= MAX (workspace->requests_in_flight / live, 1))
    return FALSE;
  if (workspace->requests_per_second == 0)
    return TRUE;
  double rate = (double)workspace->requests_per_second / live;
  double elapsed = (double)(board->now - state->share_at) / (double)DP_USEC_PER_SEC;
  state->share_tokens = MIN (state->share_tokens + elapsed * rate, MAX (rate, 1));
  state->share_at = board->now;
  if (state->share_tokens < 1)
    return FALSE;
  state->share_tokens -= 1;
  return TRUE;
}

static DpReason
shortage (const DpWorkspace *workspace)
{
  return workspace->requests_per_second > 0 ? DP_REASON_RATE_LIMITED
                                            : DP_REASON_TOO_MANY_IN_FLIGHT;
}

/* Nobody answers for the workspace: decides by this entry's share. */
static void
decide_alone (DpEntryBoard *board, LimitState *state)
{
  state->asked = FALSE;
  for (Request *request = take_first (board, state); request != NULL;
       request = take_first (board, state))
    {
      entry_count (board, "dogwoodplank_limits_without_owner_total", NULL, NULL);
      const DpWorkspace *workspace = workspace_of (request);
      if (take_from_share (board, state, workspace))
        let_in (board, state, request);
      else
        entry_answer_problem (board, request, shortage (workspace), 0, NULL);
    }
}

static void
start_ask (DpEntryBoard *board, LimitState *state)
{
  drop_gone (board, state);
  if (state->asked || state->waiting->len == 0)
    return;
  state->owner = choose_owner (board, state);
  if (state->owner == 0)
    {
      decide_alone (board, state);
      return;
    }
  board->limit_sequence += 1;
  state->asked = TRUE;
  state->sequence = board->limit_sequence;
  state->want = state->waiting->len;
  state->asked_at = board->now;
  state->unanswered = 0;
  send_ask (board, state, state->want);
}

static void
refuse_rest (DpEntryBoard *board, LimitState *state, guint count, const DpLimitGiven *given)
{
  for (guint i = 0; i < count; i++)
    {
      Request *request = take_first (board, state);
      if (request == NULL)
        return;
      entry_answer_problem (board, request, given->reason, given->retry_after, NULL);
    }
}

void
entry_limits_on_given (DpEntryBoard *board, DpPeer from, const DpLimitGiven *given)
{
  LimitState *state = find_state (board, given->workspace);
  /* What a late answer gave is not used; the next report of `held` takes it back. */
  if (state == NULL || !state->asked || from.vm != state->owner
      || given->sequence != state->sequence)
    return;
  entry_vm (board, from.vm)->silent_until = 0;
  state->asked = FALSE;
  drop_gone (board, state);
  guint answered = MIN (state->want, state->waiting->len);
  guint allowed = MIN (given->given, answered);
  for (guint i = 0; i < allowed; i++)
    let_in (board, state, take_first (board, state));
  if (given->reason != DP_REASON_NONE)
    refuse_rest (board, state, answered - allowed, given);
  start_ask (board, state);
}

void
entry_limits_begin (DpEntryBoard *board, Request *request)
{
  const DpWorkspace *workspace = workspace_of (request);
  if (!has_limits (workspace))
    {
      entry_admit_proceed (board, request);
      return;
    }
  request->phase = PHASE_LIMITED;
  LimitState *state = obtain_state (board, workspace->name);
  g_array_append_val (state->waiting, request->handle);
  start_ask (board, state);
}

void
entry_limits_end (DpEntryBoard *board, const Request *request)
{
  if (!request->limit_held)
    return;
  LimitState *state = find_state (board, request->ask.workspace);
  if (state == NULL || state->held == 0)
    return;
  state->held -= 1;
  /* The place can be given to another entry's request at once. */
  if (workspace_of (request)->requests_in_flight > 0 && !state->asked)
    report (board, state);
}

/* --- time --- */

static void
check_ask (DpEntryBoard *board, LimitState *state)
{
  if (board->now - state->asked_at < ASK_REPEAT)
    return;
  state->unanswered += 1;
  state->asked_at = board->now;
  if (state->unanswered < ASKS_MAX)
    {
      send_ask (board, state, state->want);
      return;
    }
  entry_vm (board, state->owner)->silent_until = board->now + OWNER_SILENCE;
  state->asked = FALSE;
  start_ask (board, state);
}

void
entry_limits_tick (DpEntryBoard *board)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, board->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LimitState *state = value;
      if (state->asked)
        check_ask (board, state);
      else if (board->now - state->reported_at >= REPORT_EVERY)
        report (board, state);
      /* The last report says that nothing is open; after it the row is not needed. */
      if (state->held == 0 && !state->asked && state->waiting->len == 0
          && state->reported_at == board->now)
        g_hash_table_iter_remove (&iter);
    }
}
