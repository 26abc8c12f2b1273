/* Polls targets for their load over HTTP (docs/INTERFACES.md, GET /load).
 *
 * Each target has at most one poll in flight: another one is skipped until the first has ended.
 * The poller owns the polls in flight.
 */
#pragma once

#include "core/scheduler.h"

#include <event2/event.h>

typedef struct DpLoadPoller DpLoadPoller;

/* `report` is only valid during the call. */
typedef void (*DpLoadCallback) (gpointer user, const DpLoadReport *report);

typedef struct DpLoadPollerOptions
{
  struct event_base *base;
  DpUsec timeout;       /* for connecting, the first byte, and each pause between bytes */
  DpCounters *counters; /* a reference is taken */
  DpLoadCallback callback;
  gpointer user;
} DpLoadPollerOptions;

DpLoadPoller *dp_load_poller_new (const DpLoadPollerOptions *options);
void dp_load_poller_free (DpLoadPoller *poller);

/* Starts a poll. The result, also a failure, is passed to the callback, never from within this
 * call. A skipped poll has no callback. */
void dp_load_poller_start (DpLoadPoller *poller, const DpPoll *target);

/* Parses the body of a response. Appends cache events to `events`, which must outlive `report`.
 * Returns FALSE if the text is not a valid load report. */
gboolean dp_load_parse (const char *text, gsize length, DpLoadReport *report, GArray *events);
