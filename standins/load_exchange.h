/* Sends one request of the load client and checks the response.
 *
 * A stand-in computes its response from the request alone, so a complete response is either
 * right or wrong. The text of a truncated stream must be a prefix of the right text.
 */
#pragma once

#include "common/id.h"
#include "standins/http.h"

#include <glib.h>

typedef enum LoadKind
{
  LOAD_CHAT_STREAM,
  LOAD_CHAT_WHOLE,
  LOAD_BOOKING,
  LOAD_KINDS,
} LoadKind;

typedef enum LoadVerdict
{
  LOAD_RIGHT,   /* complete, and the expected one for this request */
  LOAD_PROBLEM, /* an error response with a reason, or a service error for a booking */
  LOAD_BROKEN,  /* the connection failed, or the stream was visibly truncated */
  LOAD_WRONG,   /* unexpected content, malformed, or truncated but framed as complete */
  LOAD_VERDICTS,
} LoadVerdict;

typedef struct LoadRequest
{
  LoadKind kind;
  char *key;             /* access key; may be NULL */
  char *idempotency_key; /* bookings only */
  char *path;
  char *body;
  char *message;      /* chats: the user message */
  guint tokens;       /* chats: max_tokens, and the length of the response */
  char *id;           /* X-Request-Id */
  guint timeout_msec; /* 0: the tier's default */
  guint tier;         /* index into the report's tiers */
} LoadRequest;

typedef struct LoadResult
{
  LoadVerdict verdict;
  int status;                 /* HTTP status; 0: no response */
  char reason[48];            /* the problem's reason, else why the verdict was given */
  char outcome[16];           /* the problem's outcome; "": none */
  guint retry_after;          /* seconds; 0: none */
  DpUsec sent_at;             /* Unix time */
  DpUsec first_token_latency; /* stream: 0 if no token was received */
  DpUsec total_latency;       /* until the response ended or failed */
  guint tokens;               /* received */
} LoadResult;

typedef struct LoadExchange LoadExchange;

void load_request_clear (LoadRequest *request);

typedef struct LoadExchangeOptions
{
  struct evhttp_connection *connection; /* borrowed; must outlive the exchange */
  const LoadRequest *request;           /* borrowed; must outlive the exchange */
  /* Called once, from a callback of the connection, so it must not free the connection.
   * The exchange is freed when it returns. */
  void (*done) (const LoadResult *result, gpointer data);
  gpointer data;
} LoadExchangeOptions;

/* Sends the request; `done` receives the result, possibly before this returns. */
void load_exchange_start (const LoadExchangeOptions *options);
