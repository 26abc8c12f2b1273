/* A caller's HTTP request, parsed into the fields of the core's request event. */
#pragma once

#include "core/entry.h"
#include "entry/chat.h"
#include "net/http_server.h"

typedef enum DpRequestKind
{
  DP_REQUEST_CHAT,
  DP_REQUEST_SERVICE,
  DP_REQUEST_OUTCOME,
  DP_REQUEST_UNKNOWN, /* unknown path; the core refuses it */
} DpRequestKind;

/* Owns its strings. Free with dp_entry_request_free(). */
typedef struct DpEntryRequest
{
  DpRequestKind kind;
  char *method;
  char *target;          /* path and query, as received */
  char *path;            /* as passed to the core: with the query for services only */
  char id[129];          /* X-Request-Id if valid, else random */
  char *key_sha256;      /* hex digest of the bearer token; NULL: none given */
  char *idempotency_key; /* from the header or an outcome query; NULL: none given */
  char *content_type;
  DpUsec timeout;      /* X-Request-Timeout-Ms; 0: none given */
  DpChatRequest *chat; /* chats only; NULL if the body is invalid or the method is not POST */
  GBytes *body;        /* services only */
  guint64 body_hash;   /* of body and query */
  const char *problem; /* static text that says why the request is invalid, or NULL */
} DpEntryRequest;

/* Parses a request. Never returns NULL; see `problem`. */
DpEntryRequest *dp_entry_request_new (const DpHttpExchange *exchange);
void dp_entry_request_free (DpEntryRequest *request);

/* Returns the contents of the core's request event; pointers are borrowed from `request`. */
DpRequestIn dp_entry_request_event (const DpEntryRequest *request, DpCaller caller);

/* Returns path and query for the service, without "/services/NAME"; "/" if there is no path.
 * Borrowed from `request`. */
const char *dp_entry_request_service_target (const DpEntryRequest *request);
