/* Links from entries' data centres to targets' data centres. A lost link is detected from a few
 * failed connections; further ones then don't count as failures of the targets behind it. */
#include "core/dispatcher/dispatcher_private.h"

/* A link counts as lost after this many consecutive failed connections, if they were to more
 * than one target. */
#define LINK_FAILURES_MIN 3
/* A lost link is tried with one request after this interval, which doubles with each failure.
 */
#define RETRY_INTERVAL_MIN (300 * DP_USEC_PER_MSEC)
#define RETRY_INTERVAL_MAX (2 * DP_USEC_PER_SEC)

typedef struct Link
{
  DpName from;
  DpName to;
  guint failures;                  /* consecutive */
  DpName failed_target;            /* target of the last failure */
  gboolean several_targets_failed; /* within the consecutive failures */
  DpUsec retry_interval;
  DpUsec next_try_at;
} Link;

GArray *
dp_dispatch_links_new (void)
{
  return g_array_new (FALSE, TRUE, sizeof (Link));
}

/* A linear search is enough: there are at most as many links as pairs of data centres, a few
 * hundred. */
static Link *
find_link (const DpDispatcher *dispatcher, DpName from, DpName to)
{
  for (guint i = 0; i < dispatcher->links->len; i++)
    {
      Link *link = &g_array_index (dispatcher->links, Link, i);
      if (link->from == from && link->to == to)
        return link;
    }
  return NULL;
}

static gboolean
is_down (const Link *link)
{
  return link->several_targets_failed && link->failures >= LINK_FAILURES_MIN;
}

gboolean
dp_dispatch_link_is_usable (const DpDispatcher *dispatcher,
                            const DpGrantAsk *ask,
                            const DpDispatchTarget *target)
{
  const Link *link = find_link (dispatcher, ask->data_centre, target->data_centre);
  return link == NULL || !is_down (link) || dispatcher->now >= link->next_try_at;
}

void
dp_dispatch_record_link_use (DpDispatcher *dispatcher,
                             const DpGrantAsk *ask,
                             const DpDispatchTarget *target)
{
  Link *link = find_link (dispatcher, ask->data_centre, target->data_centre);
  if (link != NULL && is_down (link))
    link->next_try_at = dispatcher->now + link->retry_interval;
}

void
dp_dispatch_record_link_success (DpDispatcher *dispatcher,
                                 const DpGrantAsk *ask,
                                 const DpDispatchTarget *target)
{
  Link *link = find_link (dispatcher, ask->data_centre, target->data_centre);
  if (link == NULL)
    return;
  link->failures = 0;
  link->several_targets_failed = FALSE;
  link->retry_interval = 0;
}

gboolean
dp_dispatch_record_link_failure (DpDispatcher *dispatcher,
                                 const DpGrantAsk *ask,
                                 const DpDispatchTarget *target)
{
  if (ask->data_centre == 0 || ask->data_centre == target->data_centre)
    return FALSE;
  Link *link = find_link (dispatcher, ask->data_centre, target->data_centre);
  if (link == NULL)
    {
      const Link row = { .from = ask->data_centre, .to = target->data_centre };
      g_array_append_val (dispatcher->links, row);
      link = &g_array_index (dispatcher->links, Link, dispatcher->links->len - 1);
    }
  link->several_targets_failed |= link->failures > 0 && link->failed_target != target->name;
  link->failures++;
  link->failed_target = target->name;
  if (!is_down (link))
    return FALSE;
  if (link->retry_interval == 0)
    dp_counters_add (dispatcher->options.counters, "dogwoodplank_paths_lost_total", NULL, NULL,
                     1);
  link->retry_interval = link->retry_interval == 0
                           ? RETRY_INTERVAL_MIN
                           : MIN (2 * link->retry_interval, RETRY_INTERVAL_MAX);
  link->next_try_at = dispatcher->now + link->retry_interval;
  return TRUE;
}
