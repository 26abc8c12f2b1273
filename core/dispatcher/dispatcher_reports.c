/* Entries' reports of the requests that they hold. A new owner rebuilds its state from them,
 * and an owner removes requests that have ended. */
#include "core/dispatcher/dispatcher_private.h"

/* An entry counts as failed after this long without a message: three missed reports. */
#define ENTRY_TIMEOUT (2500 * DP_USEC_PER_MSEC)
/* A recent grant may be missing from a report that was sent before the grant was received,
 * unless the entry has left: it then releases a grant that it receives later. */
#define REPORT_GRACE_PERIOD (1 * DP_USEC_PER_SEC)

static void
adopt (DpDispatcher *dispatcher, DpName from, const DpHeldGrant *held)
{
  DpDispatchTarget *target = dp_dispatch_find_target (dispatcher, held->target);
  if (target == NULL)
    return;
  DpDispatchRequest *request = dp_dispatch_add_request (dispatcher, from, held->attempt);
  request->was_adopted = TRUE;
  request->started = held->started;
  dp_dispatch_assign (dispatcher, request, target);
}

/* Tells the entry to request a grant again for a waiting request that is unknown here. */
static void
send_no_owner (DpDispatcher *dispatcher, DpName from, const DpHeldGrant *held)
{
  DpMessage *message = dp_dispatch_send (dispatcher, from, DP_MESSAGE_GRANT_REVOKED);
  message->grant_revoked = (DpGrantRevoked){ .attempt = held->attempt,
                                             .group = dispatcher->options.pool,
                                             .reason = DP_REASON_NO_OWNER };
}

static gboolean
is_reported (const DpGrantHeld *report, DpId attempt)
{
  for (guint i = 0; i < MIN (report->count, DP_HELD_GRANTS_MAX); i++)
    if (dp_id_equal (report->held[i].attempt, attempt))
      return TRUE;
  return FALSE;
}

/* Removes the entry's requests that a complete report does not contain: they have ended. */
static void
drop_unreported (DpDispatcher *dispatcher, DpName from, const DpGrantHeld *report)
{
  for (DpHandle at = dp_table_next (dispatcher->requests, 0); at != 0;
       at = dp_table_next (dispatcher->requests, at))
    {
      DpDispatchRequest *request = dp_table_get (dispatcher->requests, at);
      DpUsec since = MAX (request->arrived_at, request->granted_at);
      gboolean is_recent = dispatcher->now - since <= REPORT_GRACE_PERIOD;
      if (request->entry == from && (!is_recent || report->has_left)
          && !is_reported (report, request->ask.attempt))
        dp_dispatch_remove_request (dispatcher, request);
    }
}

void
dp_dispatch_apply_report (DpDispatcher *dispatcher, DpName from, const DpGrantHeld *report)
{
  for (guint i = 0; i < MIN (report->count, DP_HELD_GRANTS_MAX); i++)
    {
      const DpHeldGrant *held = &report->held[i];
      if (dp_dispatch_find_request (dispatcher, held->attempt) != NULL)
        continue;
      if (held->target != 0)
        adopt (dispatcher, from, held);
      else
        send_no_owner (dispatcher, from, held);
    }
  if (report->part == 0 && report->last)
    drop_unreported (dispatcher, from, report);
}

static void
remove_entry_requests (DpDispatcher *dispatcher, DpName vm)
{
  for (DpHandle at = dp_table_next (dispatcher->requests, 0); at != 0;
       at = dp_table_next (dispatcher->requests, at))
    {
      DpDispatchRequest *request = dp_table_get (dispatcher->requests, at);
      if (request->entry == vm)
        dp_dispatch_remove_request (dispatcher, request);
    }
}

void
dp_dispatch_expire_entries (DpDispatcher *dispatcher)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, dispatcher->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpDispatchEntry *entry = value;
      if (dispatcher->now - entry->last_seen_at < ENTRY_TIMEOUT)
        continue;
      remove_entry_requests (dispatcher, entry->vm);
      g_hash_table_iter_remove (&iter);
    }
}
