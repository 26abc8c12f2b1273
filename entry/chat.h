/* The parts of OpenAI's chat completions API that the entry uses: request bodies, events of an
 * engine's stream, and completions assembled from them. */
#pragma once

#include "common/prefix.h"
#include "core/message.h"

#include <glib.h>
#include <json-c/json.h>

/* A caller's request. Free with dp_chat_request_free(). */
typedef struct DpChatRequest
{
  struct json_object *root;
  const char *model; /* owned by root; NULL if absent */
  gboolean stream;
  guint output_tokens; /* upper bound; 0: none given */
  guint prompt_tokens; /* estimate */
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
} DpChatRequest;

/* Returns NULL if the text is not a valid chat request; `problem` is then a static text that
 * says why, else NULL. */
DpChatRequest *dp_chat_request_parse (const char *text, gsize length, const char **problem);
void dp_chat_request_free (DpChatRequest *request);

/* Formats the body for an engine: always with "stream" set, and with `resume_text` unless it is
 * NULL or empty. Free with g_free(). */
char *dp_chat_request_format (const DpChatRequest *request, const char *resume_text);

typedef struct DpChatUsage
{
  guint prompt_tokens;
  guint completion_tokens;
  guint cached_tokens;
} DpChatUsage;

/* A parsed event of an engine's stream. */
typedef struct DpChatEvent
{
  gboolean done;       /* "[DONE]" */
  guint tokens;        /* generated tokens: 1 if there is content */
  char *content;       /* owned; NULL if absent */
  char *finish_reason; /* owned; NULL if absent */
  gboolean has_usage;
  DpChatUsage usage;
} DpChatEvent;

/* Parses the bytes of an event. FALSE: its data is neither JSON nor "[DONE]", and `out` needs
 * no clearing. Events without data give an empty `out`. */
gboolean dp_chat_event_parse (const char *event, gsize length, DpChatEvent *out);
void dp_chat_event_clear (DpChatEvent *event);

/* A completion that is not streamed; all strings are borrowed. */
typedef struct DpChatCompletion
{
  const char *id;    /* of the request, without the "chatcmpl-" prefix */
  const char *model; /* may be NULL */
  const char *content;
  const char *finish_reason; /* may be NULL */
  DpChatUsage usage;
  DpUsec created; /* Unix time */
} DpChatCompletion;

/* Formats a "chat.completion" object as JSON. Free with g_free(). */
char *dp_chat_completion_format (const DpChatCompletion *completion);
