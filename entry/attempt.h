/* Attempts: one sending of a caller's request to a target, and its answer as events.
 *
 * The set owns its attempts. An attempt's answer is checked before the core hears of it: the
 * attempt id must be echoed, and of an engine's stream only whole events are passed on.
 */
#pragma once

#include "common/counters.h"
#include "core/entry.h"
#include "entry/caller.h"

#include <event2/event.h>

typedef struct DpAttempts DpAttempts;

/* `chat` is the parsed event of a TARGET_CHUNK of an engine, else NULL. Actions that follow
 * may cancel the attempt. */
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

/* Closes all connections; no event comes any more. */
void dp_attempts_free (DpAttempts *attempts);

/* Sends the caller's request. Its outcome comes by the handler, never from within this call. */
void
dp_attempts_start (DpAttempts *attempts, const DpDispatch *dispatch, DpEntryCaller *caller);

/* Reports in the loop's next turn that nothing of this attempt was sent nor will be. */
void dp_attempts_refuse (DpAttempts *attempts, DpId attempt);

/* Closes the attempt's connection; does nothing if the attempt is over. */
void dp_attempts_cancel (DpAttempts *attempts, DpId attempt);

guint dp_attempts_count (const DpAttempts *attempts);
