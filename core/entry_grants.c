/* Grant requests to the owners of groups: at most one is pending for each request. */
#include "core/entry_private.h"

/* An unanswered grant request is sent again after this time. */
#define RESEND_INTERVAL (200 * DP_USEC_PER_MSEC)
/* After this many unanswered messages the owner is regarded as unresponsive and not used for
 * UNRESPONSIVE_DURATION. */
#define UNANSWERED_MAX 3
#define UNRESPONSIVE_DURATION (5 * DP_USEC_PER_SEC)
/* An owner answers each heartbeat with an advert. If no message of it is received for this
 * time, the entry tries the next owner. */
#define QUEUE_TIMEOUT (1500 * DP_USEC_PER_MSEC)
/* Retry-After if no owner could be reached to give an estimate. */
#define NO_OWNER_RETRY_AFTER DP_USEC_PER_SEC

static DpName
group_name (const Request *request)
{
  return DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, request->group)->name;
}

static void
send_request (DpEntryCore *core, Request *request)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK, .grant_ask = request->grant_ask };
  message.grant_ask.attempt = request->attempt;
  message.grant_ask.group = group_name (request);
  message.grant_ask.remaining = request->deadline - core->now;
  entry_send (core, request->owner, &message);
  request->requested_at = core->now;
  request->unanswered += 1;
}

/* Requests a grant from the first responsive owner of the current group; FALSE: none. */
static gboolean
request_from_owner (DpEntryCore *core, Request *request)
{
  DpPeer owner;
  if (!entry_groups_owner (core, request, &owner))
    return FALSE;
  request->owner = owner;
  request->unanswered = 0;
  request->phase = PHASE_REQUESTING;
  send_request (core, request);
  return TRUE;
}

static void
dispatch_without_owner (DpEntryCore *core, Request *request)
{
  int target = entry_groups_local_target (core, request);
  if (target < 0)
    {
      entry_answer_problem (core, request, DP_REASON_NO_OWNER, NO_OWNER_RETRY_AFTER, NULL);
      return;
    }
  entry_count (core, "dogwoodplank_sent_without_owner_total", NULL, NULL);
  const DpManifest *manifest = core->routes->manifest;
  entry_attempts_dispatch (core, request,
                           DP_MANIFEST_ROW (manifest, targets, DpTarget, target));
}

/* Requests a grant for the best untried group. Without one, answers with the last refusal, or,
 * if no owner could be reached at all, uses this entry's own share. */
static void
request_from_next_group (DpEntryCore *core, Request *request)
{
  for (;;)
    {
      request->owner.vm = 0;
      request->group = entry_groups_choose (core, request);
      if (request->group < 0)
        break;
      guint group = (guint)request->group;
      g_array_append_val (request->tried_groups, group);
      if (request_from_owner (core, request))
        return;
    }
  if (request->refusal == DP_REASON_NONE)
    dispatch_without_owner (core, request);
  else
    entry_answer_problem (core, request, request->refusal, request->retry_after, NULL);
}

void
entry_grants_begin (DpEntryCore *core, Request *request)
{
  entry_new_attempt (core, request);
  g_array_set_size (request->tried_groups, 0);
  request->refusal = DP_REASON_NONE;
  request->retry_after = 0;
  request->target = 0;
  request_from_next_group (core, request);
}

void
entry_grants_on_refusal (DpEntryCore *core,
                         Request *request,
                         DpReason reason,
                         DpUsec retry_after)
{
  request->refusal = reason;
  if (request->retry_after == 0 || (retry_after > 0 && retry_after < request->retry_after))
    request->retry_after = retry_after;
  request->owner.vm = 0;
  request_from_next_group (core, request);
}

void
entry_grants_report_done (DpEntryCore *core, Request *request, const DpGrantDone *done)
{
  if (request->owner.vm == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE, .grant_done = *done };
  message.grant_done.attempt = request->attempt;
  message.grant_done.group = group_name (request);
  message.grant_done.target = request->target;
  entry_send (core, request->owner, &message);
  request->owner.vm = 0;
}

void
entry_grants_withdraw (DpEntryCore *core, Request *request, DpReason reason)
{
  DpGrantDone done = { .reason = reason };
  entry_grants_report_done (core, request, &done);
}

/* Marks the owner as unresponsive and tries the next one. */
static void
give_up_owner (DpEntryCore *core, Request *request)
{
  entry_count (core, "dogwoodplank_silent_owners_total", NULL, NULL);
  entry_vm (core, request->owner.vm)->unresponsive_until = core->now + UNRESPONSIVE_DURATION;
  entry_grants_withdraw (core, request, DP_REASON_OWNER_SILENT);
  if (!request_from_owner (core, request))
    request_from_next_group (core, request);
}

static gboolean
is_current (const Request *request, DpPeer from, DpName group)
{
  return request != NULL && from.vm == request->owner.vm && from.role == request->owner.role
         && request->group >= 0 && group_name (request) == group;
}

/* Returns a grant that no request waits for. */
static void
return_grant (DpEntryCore *core, DpPeer from, const DpGrantGiven *given)
{
  entry_count (core, "dogwoodplank_grants_returned_total", NULL, NULL);
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done.attempt = given->attempt;
  message.grant_done.group = given->group;
  message.grant_done.target = given->target;
  message.grant_done.reason = DP_REASON_CALLER_GONE;
  entry_send (core, from, &message);
}

static void
on_given (DpEntryCore *core, DpPeer from, const DpGrantGiven *given)
{
  Request *request = entry_request_by_attempt (core, given->attempt);
  gboolean current = is_current (request, from, given->group);
  if (current && request->phase == PHASE_SENT && request->target == given->target)
    return;
  if (!current || (request->phase != PHASE_REQUESTING && request->phase != PHASE_QUEUED))
    {
      return_grant (core, from, given);
      return;
    }
  const DpManifest *manifest = core->routes->manifest;
  int target = dp_manifest_find (manifest, DP_MANIFEST_TARGET, given->target);
  if (target < 0 || entry_groups_excludes (request, given->target))
    {
      return_grant (core, from, given);
      entry_grants_on_refusal (core, request, DP_REASON_NO_TARGET, 0);
      return;
    }
  entry_attempts_dispatch (core, request,
                           DP_MANIFEST_ROW (manifest, targets, DpTarget, target));
}

static void
on_queued (DpEntryCore *core, DpPeer from, const DpGrantQueued *queued)
{
  Request *request = entry_request_by_attempt (core, queued->attempt);
  if (is_current (request, from, queued->group) && request->phase == PHASE_REQUESTING)
    request->phase = PHASE_QUEUED;
}

static void
on_refused (DpEntryCore *core, DpPeer from, const DpGrantRefused *refused)
{
  Request *request = entry_request_by_attempt (core, refused->attempt);
  if (!is_current (request, from, refused->group))
    return;
  if (request->phase == PHASE_REQUESTING || request->phase == PHASE_QUEUED)
    entry_grants_on_refusal (core, request, refused->reason, refused->retry_after);
}

static void
on_revoked (DpEntryCore *core, DpPeer from, const DpGrantRevoked *revoked)
{
  Request *request = entry_request_by_attempt (core, revoked->attempt);
  if (!is_current (request, from, revoked->group))
    return;
  gboolean waits = request->phase == PHASE_REQUESTING || request->phase == PHASE_QUEUED;
  /* Not a refusal: the request is no longer queued there, as after a change of owner. */
  if (waits && revoked->reason == DP_REASON_NO_OWNER)
    entry_grants_begin (core, request);
  else if (waits)
    entry_grants_on_refusal (core, request, revoked->reason, revoked->retry_after);
  else if (request->phase == PHASE_SENT && request->repeatable)
    entry_attempts_on_preempted (core, request);
}

void
entry_grants_on_message (DpEntryCore *core, DpPeer from, const DpMessage *message)
{
  entry_vm (core, from.vm)->last_seen_at = core->now;
  entry_vm (core, from.vm)->unresponsive_until = 0;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      on_given (core, from, &message->grant_given);
      break;
    case DP_MESSAGE_GRANT_QUEUED:
      on_queued (core, from, &message->grant_queued);
      break;
    case DP_MESSAGE_GRANT_REFUSED:
      on_refused (core, from, &message->grant_refused);
      break;
    case DP_MESSAGE_GRANT_REVOKED:
      on_revoked (core, from, &message->grant_revoked);
      break;
    case DP_MESSAGE_ADVERT:
      entry_groups_on_advert (core, &message->advert);
      break;
    default:
      break;
    }
}

/* Withdraws the grant requests that were pending during the pause and makes new ones. Overdue
 * requests have been answered before. */
void
entry_grants_after_pause (DpEntryCore *core)
{
  for (DpHandle h = dp_table_next (core->requests, 0); h != 0;
       h = dp_table_next (core->requests, h))
    {
      Request *request = entry_request (core, h);
      if (request->phase != PHASE_REQUESTING && request->phase != PHASE_QUEUED)
        continue;
      entry_grants_withdraw (core, request, DP_REASON_RESUMED_AFTER_PAUSE);
      entry_grants_begin (core, request);
    }
}

static void
check_request (DpEntryCore *core, Request *request)
{
  if (request->phase == PHASE_REQUESTING
      && core->now - request->requested_at >= RESEND_INTERVAL)
    {
      if (request->unanswered >= UNANSWERED_MAX)
        give_up_owner (core, request);
      else
        send_request (core, request);
    }
  else if (request->phase == PHASE_QUEUED)
    {
      DpUsec last_seen
        = MAX (entry_vm (core, request->owner.vm)->last_seen_at, request->requested_at);
      if (core->now - last_seen > QUEUE_TIMEOUT)
        give_up_owner (core, request);
    }
}

void
entry_grants_tick (DpEntryCore *core)
{
  for (DpHandle h = dp_table_next (core->requests, 0); h != 0;
       h = dp_table_next (core->requests, h))
    check_request (core, entry_request (core, h));
}
