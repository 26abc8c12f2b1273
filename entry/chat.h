/* OpenAI's chat completions, as far as the entry reads and writes them: the request's body, the
 * events of an engine's stream, and the whole answer assembled from them. */
#pragma once

#include "common/prefix.h"
#include "core/message.h"

#include <glib.h>
#include <json-c/json.h>

/* A caller's request. The owner frees it with dp_chat_request_free(). */
typedef struct DpChatRequest
{
  struct json_object *root;
  const char *model; /* owned by root; NULL if there is none */
  gboolean stream;
  guint output_tokens; /* 0: the body states no limit */
  guint prompt_tokens; /* estimate */
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
} DpChatRequest;

/* NULL if the text is no chat request; `problem` then says why (static text). */
DpChatRequest *dp_chat_request_parse (const char *text, gsize length, const char **problem);
void dp_chat_request_free (DpChatRequest *request);

/* The body for an engine: always streamed; `resume_text` goes along if it isn't empty. Free
 * with g_free(). */
char *dp_chat_request_format (const DpChatRequest *request, const char *resume_text);

typedef struct DpChatUsage
{
  guint prompt_tokens;
  guint completion_tokens;
  guint cached_tokens;
} DpChatUsage;

/* One event of an engine's stream. */
typedef struct DpChatEvent
{
  gboolean done;       /* "[DONE]" */
  guint tokens;        /* generated tokens in it */
  char *content;       /* NULL if there is none; owned */
  char *finish_reason; /* NULL if there is none; owned */
  gboolean has_usage;
  DpChatUsage usage;
} DpChatEvent;

/* Reads an event's bytes. FALSE: its data is neither JSON nor "[DONE]". */
gboolean dp_chat_event_parse (const char *event, gsize length, DpChatEvent *out);
void dp_chat_event_clear (DpChatEvent *event);

/* A whole answer. */
typedef struct DpChatAnswer
{
  const char *id;    /* of the request */
  const char *model; /* may be NULL */
  const char *content;
  const char *finish_reason; /* may be NULL */
  DpChatUsage usage;
  DpUsec created; /* Unix time */
} DpChatAnswer;

/* A "chat.completion" as JSON. Free with g_free(). */
char *dp_chat_answer_format (const DpChatAnswer *answer);
