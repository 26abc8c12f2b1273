/* Limits of workspaces, enforced over all entries together.
 *
 * The owner of a workspace's limits is the scheduler on the first VM in rendezvous order. It
 * counts the open requests and limits their rate. A request waits here until the owner admits
 * or refuses it, which happens without delay; requests that arrive while an answer is pending
 * go into one message. While no owner answers, the entry applies its own share: the limit
 * divided by the number of live VMs.
 */
#include "core/entry_private.h"

#define RESEND_INTERVAL (150 * DP_USEC_PER_MSEC)
/* Unanswered messages after which the next VM is tried. */
#define UNANSWERED_MAX 2
/* VMs tried before the entry uses its own share. */
#define OWNER_CANDIDATES 2
#define UNRESPONSIVE_DURATION (5 * DP_USEC_PER_SEC)
#define REPORT_INTERVAL (500 * DP_USEC_PER_MSEC)

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
find_state (DpEntryCore *core, DpName workspace)
{
  return g_hash_table_lookup (core->limits, &workspace);
}

static LimitState *
obtain_state (DpEntryCore *core, DpName workspace)
{
  LimitState *state = find_state (core, workspace);
  if (state != NULL)
    return state;
  state = g_new0 (LimitState, 1);
  state->workspace = workspace;
  state->waiting_requests = g_array_new (FALSE, FALSE, sizeof (DpHandle));
  g_hash_table_insert (core->limits, g_memdup2 (&workspace, sizeof workspace), state);
  return state;
}

void
entry_limit_free (gpointer data)
{
  LimitState *state = data;
  g_array_unref (state->waiting_requests);
  g_free (state);
}

/* --- waiting requests --- */

/* Removes and returns the oldest waiting request of the most urgent tier; NULL: none waits. */
static Request *
pop_most_urgent (DpEntryCore *core, LimitState *state)
{
  Request *first = NULL;
  guint index = 0;
  for (guint i = 0; i < state->waiting_requests->len; i++)
    {
      Request *request
        = entry_request (core, g_array_index (state->waiting_requests, DpHandle, i));
      if (request == NULL || (first != NULL && first->tier <= request->tier))
        continue;
      first = request;
      index = i;
    }
  if (first != NULL)
    g_array_remove_index (state->waiting_requests, index);
  return first;
}

static void
drop_ended (DpEntryCore *core, LimitState *state)
{
  for (guint i = state->waiting_requests->len; i > 0; i--)
    if (entry_request (core, g_array_index (state->waiting_requests, DpHandle, i - 1)) == NULL)
      g_array_remove_index (state->waiting_requests, i - 1);
}

static void
admit (DpEntryCore *core, LimitState *state, Request *request)
{
  request->holds_limit_slot = TRUE;
  state->open_requests += 1;
  entry_admit_proceed (core, request);
}

/* --- limit requests --- */

/* The first responsive VM in the rendezvous order of the limit; 0: none. */
static DpName
choose_owner (DpEntryCore *core, const LimitState *state)
{
  const DpVm *ranked[OWNER_CANDIDATES];
  guint count
    = dp_view_rank (core->view, limit_key (state->workspace), 0, ranked, OWNER_CANDIDATES);
  for (guint i = 0; i < count; i++)
    if (entry_vm (core, ranked[i]->name)->unresponsive_until <= core->now)
      return ranked[i]->name;
  return 0;
}

static void
send_request (DpEntryCore *core, LimitState *state, guint count)
{
  DpMessage message = { .type = DP_MESSAGE_LIMIT_ASK };
  message.limit_ask = (DpLimitAsk){ .workspace = state->workspace,
                                    .sequence = state->sequence,
                                    .want = count,
                                    .held = state->open_requests };
  DpPeer owner = { .vm = state->owner, .role = DP_ROLE_SCHEDULER };
  entry_send (core, owner, &message);
  state->last_report_at = core->now;
}

/* Reports the number of open requests, so that the owner frees those that have ended and a new
 * owner learns of the open ones. */
static void
send_report (DpEntryCore *core, LimitState *state)
{
  state->owner = choose_owner (core, state);
  core->limit_sequence += 1;
  state->sequence = core->limit_sequence;
  if (state->owner != 0)
    send_request (core, state, 0);
}

static gboolean
take_from_share (DpEntryCore *core, LimitState *state, const DpWorkspace *workspace)
{
  guint live = 0;
  for (guint i = 0; i < core->view->vms->len; i++)
    live += g_array_index (core->view->vms, DpVm, i).state == DP_VM_LIVE;
  live = MAX (live, 1);
  if (workspace->requests_in_flight > 0
      && state->open_requests >= MAX (workspace->requests_in_flight / live, 1))
    return FALSE;
  if (workspace->requests_per_second == 0)
    return TRUE;
  double rate = (double)workspace->requests_per_second / live;
  double elapsed = (double)(core->now - state->share_refilled_at) / (double)DP_USEC_PER_SEC;
  state->share_tokens = MIN (state->share_tokens + elapsed * rate, MAX (rate, 1));
  state->share_refilled_at = core->now;
  if (state->share_tokens < 1)
    return FALSE;
  state->share_tokens -= 1;
  return TRUE;
}

static DpReason
limit_reason (const DpWorkspace *workspace)
{
  return workspace->requests_per_second > 0 ? DP_REASON_RATE_LIMITED
                                            : DP_REASON_TOO_MANY_IN_FLIGHT;
}

/* No owner answers: admits or refuses the waiting requests by this entry's share. */
static void
admit_from_share (DpEntryCore *core, LimitState *state)
{
  state->is_pending = FALSE;
  for (Request *request = pop_most_urgent (core, state); request != NULL;
       request = pop_most_urgent (core, state))
    {
      entry_count (core, "dogwoodplank_limits_without_owner_total", NULL, NULL);
      const DpWorkspace *workspace = workspace_of (request);
      if (take_from_share (core, state, workspace))
        admit (core, state, request);
      else
        entry_answer_problem (core, request, limit_reason (workspace), 0, NULL);
    }
}

static void
start_request (DpEntryCore *core, LimitState *state)
{
  drop_ended (core, state);
  if (state->is_pending || state->waiting_requests->len == 0)
    return;
  state->owner = choose_owner (core, state);
  if (state->owner == 0)
    {
      admit_from_share (core, state);
      return;
    }
  core->limit_sequence += 1;
  state->is_pending = TRUE;
  state->sequence = core->limit_sequence;
  state->requested = state->waiting_requests->len;
  state->requested_at = core->now;
  state->unanswered = 0;
  send_request (core, state, state->requested);
}

static void
refuse_most_urgent (DpEntryCore *core,
                    LimitState *state,
                    guint count,
                    const DpLimitGiven *given)
{
  for (guint i = 0; i < count; i++)
    {
      Request *request = pop_most_urgent (core, state);
      if (request == NULL)
        return;
      entry_answer_problem (core, request, given->reason, given->retry_after, NULL);
    }
}

void
entry_limits_on_given (DpEntryCore *core, DpPeer from, const DpLimitGiven *given)
{
  LimitState *state = find_state (core, given->workspace);
  /* Admissions in a late answer are not used; the next report of `held` returns them. */
  if (state == NULL || !state->is_pending || from.vm != state->owner
      || given->sequence != state->sequence)
    return;
  entry_vm (core, from.vm)->unresponsive_until = 0;
  state->is_pending = FALSE;
  drop_ended (core, state);
  guint answered = MIN (state->requested, state->waiting_requests->len);
  guint allowed = MIN (given->given, answered);
  for (guint i = 0; i < allowed; i++)
    admit (core, state, pop_most_urgent (core, state));
  if (given->reason != DP_REASON_NONE)
    refuse_most_urgent (core, state, answered - allowed, given);
  start_request (core, state);
}

void
entry_limits_acquire (DpEntryCore *core, Request *request)
{
  const DpWorkspace *workspace = workspace_of (request);
  if (!has_limits (workspace))
    {
      entry_admit_proceed (core, request);
      return;
    }
  request->phase = PHASE_ADMISSION;
  LimitState *state = obtain_state (core, workspace->name);
  g_array_append_val (state->waiting_requests, request->handle);
  start_request (core, state);
}

void
entry_limits_release (DpEntryCore *core, const Request *request)
{
  if (!request->holds_limit_slot)
    return;
  LimitState *state = find_state (core, request->grant_ask.workspace);
  if (state == NULL || state->open_requests == 0)
    return;
  state->open_requests -= 1;
  /* Report now, so that another entry's request can use the place at once. */
  if (workspace_of (request)->requests_in_flight > 0 && !state->is_pending)
    send_report (core, state);
}

/* --- tick --- */

static void
check_request (DpEntryCore *core, LimitState *state)
{
  if (core->now - state->requested_at < RESEND_INTERVAL)
    return;
  state->unanswered += 1;
  state->requested_at = core->now;
  if (state->unanswered < UNANSWERED_MAX)
    {
      send_request (core, state, state->requested);
      return;
    }
  entry_vm (core, state->owner)->unresponsive_until = core->now + UNRESPONSIVE_DURATION;
  state->is_pending = FALSE;
  start_request (core, state);
}

void
entry_limits_tick (DpEntryCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LimitState *state = value;
      if (state->is_pending)
        check_request (core, state);
      else if (core->now - state->last_report_at >= REPORT_INTERVAL)
        send_report (core, state);
      /* The state is kept until a report with no open requests has been sent. */
      if (state->open_requests == 0 && !state->is_pending && state->waiting_requests->len == 0
          && state->last_report_at == core->now)
        g_hash_table_iter_remove (&iter);
    }
}
