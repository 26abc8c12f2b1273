/* One request of the load client, and the check of its answer.
 *
 * A stand-in's answer is a function of the request, so each complete answer is either right or
 * wrong; a cut stream has to be a true beginning of the right answer.
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
  LOAD_RIGHT,   /* complete, and this request's own */
  LOAD_PROBLEM, /* a final answer that says why not */
  LOAD_BROKEN,  /* visibly cut, or no answer */
  LOAD_WRONG,   /* complete, but not the right answer; or not understood */
  LOAD_VERDICTS,
} LoadVerdict;

/* What one request asks for. */
typedef struct LoadRequest
{
  LoadKind kind;
  char *key;             /* access key; may be NULL */
  char *idempotency_key; /* bookings only */
  char *path;
  char *body;
  char *message; /* chats: the last user message */
  guint tokens;  /* chats: length of the answer */
  char *id;      /* X-Request-Id */
  guint timeout_msec;
  guint tier; /* index that the report uses */
} LoadRequest;

typedef struct LoadResult
{
  LoadVerdict verdict;
  int status;         /* 0: none came */
  char reason[48];    /* of a problem, else of the verdict */
  char outcome[16];   /* of a problem; "" if none */
  guint retry_after;  /* seconds; 0: none */
  DpUsec sent_at;     /* Unix time */
  DpUsec first_after; /* until the first token; 0: none came */
  DpUsec ended_after; /* until the end */
  guint tokens;       /* received */
} LoadResult;

typedef struct LoadExchange LoadExchange;

void load_request_clear (LoadRequest *request);

typedef struct LoadExchangeOptions
{
  struct evhttp_connection *connection; /* borrowed; must stay until `done` */
  const LoadRequest *request;           /* borrowed; must stay until `done` */
  /* Called once, from within the connection's callbacks: the connection must not be freed in
   * it. The exchange frees itself afterwards. */
  void (*done) (const LoadResult *result, gpointer data);
  gpointer data;
} LoadExchangeOptions;

/* Sends the request; the answer comes by `done`. */
void load_exchange_start (const LoadExchangeOptions *options);
