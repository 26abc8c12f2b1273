/* A caller's HTTP request, read into what the core asks for. */
#pragma once

#include "core/entry.h"
#include "entry/chat.h"
#include "net/http_server.h"

typedef enum DpRequestKind
{
  DP_REQUEST_CHAT,
  DP_REQUEST_SERVICE,
  DP_REQUEST_OUTCOME,
  DP_REQUEST_OTHER, /* a path that is not known; the core refuses it */
} DpRequestKind;

/* Owns all its texts. Free with dp_entry_request_free(). */
typedef struct DpEntryRequest
{
  DpRequestKind kind;
  char *method;
  char *target; /* path and query as sent */
  char *path;   /* for the core; chats: without the query */
  char id[129]; /* X-Request-Id as sent, or made up */
  char *key_sha256;
  char *idempotency_key;
  char *content_type;
  DpUsec timeout;
  DpChatRequest *chat; /* chats only */
  GBytes *body;        /* services only */
  guint64 body_hash;
  const char *problem; /* static text; NULL if the request could be read */
} DpEntryRequest;

/* Never NULL; see `problem`. */
DpEntryRequest *dp_entry_request_new (const DpHttpExchange *exchange);
void dp_entry_request_free (DpEntryRequest *request);

/* The core's event; its pointers belong to `request`. */
DpRequestIn dp_entry_request_event (const DpEntryRequest *request, DpCaller caller);

/* Path and query for the service: the target without "/services/NAME". */
const char *dp_entry_request_service_target (const DpEntryRequest *request);
