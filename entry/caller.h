/* One caller's open request and the answer to it.
 *
 * The shell owns the callers; a caller owns its request and, while it is connected, its
 * exchange. The functions that end the answer leave the exchange behind; the shell then frees
 * the caller.
 */
#pragma once

#include "common/counters.h"
#include "core/entry.h"
#include "entry/chat.h"
#include "entry/request.h"
#include "manifest/manifest.h"

typedef struct DpEntryCaller
{
  DpCaller number;
  DpHttpExchange *exchange; /* NULL once the answer has ended */
  DpEntryRequest *request;
  DpUsec arrived;
  /* the answer, as given by the core */
  int status;
  char content_type[64];
  gboolean stream;
  gboolean started; /* the head has gone out */
  DpUsec first_byte_after;
  GString *text;         /* of a chat: generated so far, by all attempts */
  GByteArray *collected; /* an answer that is sent as a whole; NULL until it has begun */
  char *finish_reason;
  DpChatUsage usage;
} DpEntryCaller;

/* Bytes of an answer that is collected; a larger one is broken off. */
#define DP_COLLECTED_BYTES_MAX ((gsize)8 * 1024 * 1024)

DpEntryCaller *dp_entry_caller_new (DpCaller number, DpHttpExchange *exchange, DpUsec now);
void dp_entry_caller_free (DpEntryCaller *caller);

void dp_entry_caller_head (DpEntryCaller *caller, const DpHead *head);

/* `event` is the chat event that `data` holds, or NULL. FALSE: the answer is too large. */
gboolean dp_entry_caller_forward (
  DpEntryCaller *caller, const void *data, gsize length, const DpChatEvent *event, DpUsec now);

/* Each of these ends the answer. */
void dp_entry_caller_end (DpEntryCaller *caller, DpUsec wall);
void dp_entry_caller_problem (DpEntryCaller *caller, const DpProblem *problem);
void dp_entry_caller_replay (DpEntryCaller *caller, const DpReplay *replay);
void dp_entry_caller_break_off (DpEntryCaller *caller);

/* Logs the end of the request. `how`: "complete", "refused", ... */
void dp_entry_caller_log (const DpEntryCaller *caller,
                          const DpManifest *manifest,
                          const char *how,
                          const char *reason,
                          DpUsec now);
