/* Attempts: each sends a caller's request to a target once and reports the answer as events.
 *
 * DpAttempts owns its attempts. Answers are checked before they are reported to the core: the
 * attempt id must be echoed, and only complete events of an engine's stream are reported.
 */
#pragma once

#include "common/counters.h"
#include "core/entry.h"
#include "entry/caller.h"

#include <event2/event.h>

typedef struct DpAttempts DpAttempts;

/* `chat` is the parsed stream event if `event` is an engine's DP_ENTRY_EVENT_TARGET_CHUNK, else
 * NULL. The handler may cancel the attempt. */
typedef void (*DpAttemptHandler) (gpointer user, DpEntryEvent *event, const DpChatEvent *chat);

typedef struct DpAttemptsOptions
{
  struct event_base *base;
  DpUsec connect_timeout;
  DpUsec first_byte_timeout;
  DpUsec idle_timeout;
  DpCounters *counters; /* a reference is taken */
  DpAttemptHandler handler;
  gpointer user;
} DpAttemptsOptions;

DpAttempts *dp_attempts_new (const DpAttemptsOptions *options);

/* Closes all connections; no further events are reported. */
void dp_attempts_free (DpAttempts *attempts);

/* Sends the caller's request. The handler never runs during this call. `caller` is only used
 * during the call. */
void
dp_attempts_start (DpAttempts *attempts, const DpDispatch *dispatch, DpEntryCaller *caller);

/* Reports DP_ENTRY_EVENT_TARGET_FAILED with `nothing_sent` in the next loop iteration, for an
 * attempt that was not started. */
void dp_attempts_report_unsent (DpAttempts *attempts, DpId attempt);

/* Closes the attempt's connection; no effect if the attempt has ended. */
void dp_attempts_cancel (DpAttempts *attempts, DpId attempt);

guint dp_attempts_count (const DpAttempts *attempts);
