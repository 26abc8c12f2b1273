/* A caller's open request and the answer to it.
 *
 * The shell owns the callers. A caller owns its request and, until the answer has ended, its
 * exchange. Functions that end the answer also end the exchange; the shell then frees the
 * caller.
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
  DpHttpExchange *exchange; /* NULL after the answer has ended */
  DpEntryRequest *request;
  DpUsec arrived_at;
  /* the answer, as set by the core */
  int status;
  char content_type[64];
  gboolean stream;
  gboolean head_sent;        /* status and headers have been sent */
  DpUsec first_byte_latency; /* since arrival; 0: no byte yet */
  GString *generated_text;   /* chats: text generated so far by all attempts; else NULL */
  GByteArray *buffered_body; /* body of an answer that is not streamed; NULL before it starts */
  char *finish_reason;
  DpChatUsage usage;
} DpEntryCaller;

/* Maximum size of `buffered_body` and `generated_text` together, in bytes; larger answers are
 * aborted. */
#define DP_BUFFERED_ANSWER_MAX ((gsize)8 * 1024 * 1024)

DpEntryCaller *dp_entry_caller_new (DpCaller number, DpHttpExchange *exchange, DpUsec now);
void dp_entry_caller_free (DpEntryCaller *caller);

/* Starts the answer. Without `head->stream`, discards `buffered_body`. Ignored if the status
 * and headers have been sent. */
void dp_entry_caller_start_answer (DpEntryCaller *caller, const DpHead *head);

/* Streams or buffers part of the answer. `event` is the parsed form of `data`, or NULL if it is
 * not a chat event. FALSE: DP_BUFFERED_ANSWER_MAX is exceeded. */
gboolean dp_entry_caller_forward (
  DpEntryCaller *caller, const void *data, gsize length, const DpChatEvent *event, DpUsec now);

/* Each of these four functions ends the answer. `wall` is in Unix time. */
void dp_entry_caller_end (DpEntryCaller *caller, DpUsec wall);
/* Sends a problem+json body, or aborts if the status and headers have been sent. */
void dp_entry_caller_send_problem (DpEntryCaller *caller, const DpProblem *problem);
void dp_entry_caller_send_replay (DpEntryCaller *caller, const DpReplay *replay);
/* Closes the connection without completing the answer. */
void dp_entry_caller_abort (DpEntryCaller *caller);

/* Logs the end of the request. `end`: "complete", "refused", ...; `reason` may be NULL. */
void dp_entry_caller_log (const DpEntryCaller *caller,
                          const DpManifest *manifest,
                          const char *end,
                          const char *reason,
                          DpUsec now);
