/* What entries report of the requests that they hold: how a new owner learns the pool, and how
 * an owner forgets what is over. */
#include "core/dispatcher_board.h"

/* An entry that was not heard for so long is gone, with all its requests: three reports. */
#define ENTRY_LAPSE (2500 * DP_USEC_PER_MSEC)
/* A grant may be missing from a report that was on its way when it was given. */
#define HELD_GRACE (1 * DP_USEC_PER_SEC)

static void
adopt (DpDispatcher *dispatcher, DpName from, const DpHeld *held)
{
  DpBackend *backend = dp_dispatch_backend (dispatcher, held->target);
  if (backend == NULL)
    return;
  DpPlace *place = dp_dispatch_add_place (dispatcher, from, held->attempt);
  place->was_adopted = TRUE;
  place->started = held->started;
  dp_dispatch_hold (dispatcher, place, backend);
}

/* A waiting request that is not known here asks again. */
static void
ask_again (DpDispatcher *dispatcher, DpName from, const DpHeld *held)
{
  DpMessage *message = dp_dispatch_send (dispatcher, from, DP_MESSAGE_GRANT_REVOKED);
  message->grant_revoked = (DpGrantRevoked){ .attempt = held->attempt,
                                             .group = dispatcher->options.pool,
                                             .reason = DP_REASON_NO_OWNER };
}

static gboolean
is_reported (const DpGrantHeld *report, DpId attempt)
{
  for (guint i = 0; i < MIN (report->count, DP_HELD_MAX); i++)
    if (dp_id_equal (report->held[i].attempt, attempt))
      return TRUE;
  return FALSE;
}

/* What a report that is whole does not name is over. */
static void
drop_unreported (DpDispatcher *dispatcher, DpName from, const DpGrantHeld *report)
{
  for (DpHandle at = dp_table_next (dispatcher->places, 0); at != 0;
       at = dp_table_next (dispatcher->places, at))
    {
      DpPlace *place = dp_table_get (dispatcher->places, at);
      DpUsec since = MAX (place->arrived, place->given_at);
      if (place->entry == from && dispatcher->now - since > HELD_GRACE
          && !is_reported (report, place->ask.attempt))
        dp_dispatch_forget_place (dispatcher, place);
    }
}

void
dp_dispatch_take_report (DpDispatcher *dispatcher, DpName from, const DpGrantHeld *report)
{
  for (guint i = 0; i < MIN (report->count, DP_HELD_MAX); i++)
    {
      const DpHeld *held = &report->held[i];
      if (dp_dispatch_find_place (dispatcher, held->attempt) != NULL)
        continue;
      if (held->target != 0)
        adopt (dispatcher, from, held);
      else
        ask_again (dispatcher, from, held);
    }
  if (report->part == 0 && report->last)
    drop_unreported (dispatcher, from, report);
}

static void
lapse_entry (DpDispatcher *dispatcher, DpName vm)
{
  for (DpHandle at = dp_table_next (dispatcher->places, 0); at != 0;
       at = dp_table_next (dispatcher->places, at))
    {
      DpPlace *place = dp_table_get (dispatcher->places, at);
      if (place->entry == vm)
        dp_dispatch_forget_place (dispatcher, place);
    }
}

void
dp_dispatch_lapse_entries (DpDispatcher *dispatcher)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, dispatcher->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpEntrySeen *entry = value;
      if (dispatcher->now - entry->heard_at < ENTRY_LAPSE)
        continue;
      lapse_entry (dispatcher, entry->vm);
      g_hash_table_iter_remove (&iter);
    }
}
