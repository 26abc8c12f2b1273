/* Asks targets for their load over HTTP (docs/INTERFACES.md, GET /load).
 *
 * One poll a target at a time; a poll for a target that still owes an answer is skipped. The
 * poller owns its open polls.
 */
#pragma once

#include "core/scheduler.h"

#include <event2/event.h>

typedef struct DpLoadPoller DpLoadPoller;

/* `report` is valid during the call only. */
typedef void (*DpLoadCallback) (gpointer user, const DpLoadReport *report);

typedef struct DpLoadPollerOptions
{
  struct event_base *base;
  DpUsec timeout;       /* from the poll to its answer's next byte */
  DpCounters *counters; /* a reference is taken */
  DpLoadCallback callback;
  gpointer user;
} DpLoadPollerOptions;

DpLoadPoller *dp_load_poller_new (const DpLoadPollerOptions *options);
void dp_load_poller_free (DpLoadPoller *poller);

/* The answer, or the lack of one, comes by the callback, never from within this call. */
void dp_load_poller_start (DpLoadPoller *poller, const DpPoll *target);

/* Reads the body of an answer. Cache events are appended to `events`, to which the report
 * points. FALSE: it isn't a load report. */
gboolean dp_load_parse (const char *text, gsize length, DpLoadReport *report, GArray *events);
