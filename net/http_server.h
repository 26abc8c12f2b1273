/* HTTP/1.1 server on top of evhttp, for callers and operators.
 *
 * The server owns its listener and connections. It passes each request to the handler as an
 * exchange, which is valid until it is completed (reply, finish), aborted, or its close
 * callback has run. Abort a response that was started and can't be completed: the connection
 * closes without the final chunk, so the caller can detect the truncation.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"
#include "net/http_connections.h"
#include "net/http_header.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct DpHttpServer DpHttpServer;
typedef struct DpHttpExchange DpHttpExchange;

typedef void (*DpHttpHandler) (gpointer user, DpHttpExchange *exchange);
typedef void (*DpHttpClosedFunc) (gpointer user);

typedef struct DpHttpServerOptions
{
  struct event_base *base;
  const char *address;
  guint16 port;
  const char *name; /* label of its counters: "callers", "operators" */
  gsize head_max;   /* bytes of request line and headers */
  gsize body_max;   /* bytes; larger bodies are rejected */
  /* A request that exceeds one is rejected with 503 before it is received; of callers that
   * don't read, those with the most unread bytes are disconnected. */
  DpHttpBudgets budgets;
  DpUsec read_timeout;    /* between reads of a request */
  DpUsec idle_timeout;    /* until the first byte of a request; 0: as `read_timeout` */
  DpUsec write_timeout;   /* for a caller that doesn't read */
  gsize write_buffer_max; /* bytes of a response buffered for a slow caller */
  guint exchanges_max;    /* open at once; others are rejected with 503 */
  guint connections_max;  /* open at once; idle and slow ones make room for others */
  DpUsec request_timeout; /* from the first byte of a request to its end */
  DpCounters *counters;   /* the server takes a reference */
  DpHttpHandler handler;
  gpointer user;
} DpHttpServerOptions;

/* Returns NULL if the address can't be bound. */
DpHttpServer *dp_http_server_new (const DpHttpServerOptions *options);

/* Closes all connections at once. No further callback runs. */
void dp_http_server_free (DpHttpServer *server);

/* Closes the listener. Existing connections stay open and close after their next response. */
void dp_http_server_stop_accepting (DpHttpServer *server);
/* TRUE if a new connection would be accepted. */
gboolean dp_http_server_has_room (const DpHttpServer *server);
/* TRUE if connections wait to be accepted. */
gboolean dp_http_server_has_unaccepted (const DpHttpServer *server);

/* Adds "Connection: close" to all responses; new connections are still accepted. */
void dp_http_server_close_after_responses (DpHttpServer *server);

/* Closes the connections on which no part of a request has arrived. */
void dp_http_server_close_idle (DpHttpServer *server);

/* Limits for subsequent requests; 0 keeps the current value. */
typedef struct DpHttpServerLimits
{
  gsize head_max;
  gsize body_max;
  DpUsec head_timeout; /* from the first byte of a request to the end of its head */
  DpUsec idle_timeout; /* for connections without a request; if it is shorter than before, not
                          for those that are idle already */
} DpHttpServerLimits;
void dp_http_server_set_limits (DpHttpServer *server, const DpHttpServerLimits *limits);

/* Call this before the server has connections, or with empty budgets after its last use. */
void dp_http_server_set_budgets (DpHttpServer *server, const DpHttpBudgets *budgets);

guint dp_http_server_open_exchanges (const DpHttpServer *server);

/* TRUE if no part of a request has arrived whose response was not passed to the kernel. */
gboolean dp_http_server_is_idle (const DpHttpServer *server);
/* TRUE if no response is being sent and no bytes of an idle caller are unread. */
gboolean dp_http_server_is_flushed (const DpHttpServer *server);

/* --- request --- */

/* Name of the method, such as "GET"; "" if it is unknown. */
const char *dp_http_exchange_method (const DpHttpExchange *exchange);
enum evhttp_cmd_type dp_http_exchange_command (const DpHttpExchange *exchange);
/* Path and query, as received. */
const char *dp_http_exchange_target (const DpHttpExchange *exchange);
const char *dp_http_exchange_header (const DpHttpExchange *exchange, const char *name);
/* Calls `function` for each header of the request, in order. */
void dp_http_exchange_each_header (const DpHttpExchange *exchange,
                                   DpHttpHeaderFunc function,
                                   gpointer user);
/* The body, followed by a NUL that `length` doesn't include. */
const char *dp_http_exchange_body (const DpHttpExchange *exchange, gsize *length);
/* TRUE if the caller supports chunked responses (HTTP/1.1 or later); otherwise it can't detect
 * a truncated stream. */
gboolean dp_http_exchange_can_stream (const DpHttpExchange *exchange);

/* Sets the function that is called if the connection closes before the response is complete.
 * `destroy`, if not NULL, frees `user` when the exchange ends for any reason. */
void dp_http_exchange_set_close_callback (DpHttpExchange *exchange,
                                          DpHttpClosedFunc callback,
                                          gpointer user,
                                          GDestroyNotify destroy);

/* --- response --- */

/* Adds a response header; call it before start or reply. A `value` with line breaks is not
 * added. */
void
dp_http_exchange_add_header (DpHttpExchange *exchange, const char *name, const char *value);

/* Sends a complete response with Content-Length. Ends the exchange. */
void
dp_http_exchange_reply (DpHttpExchange *exchange, int status, const void *body, gsize length);

/* Starts a chunked response. */
void dp_http_exchange_start (DpHttpExchange *exchange, int status);
void dp_http_exchange_write (DpHttpExchange *exchange, const void *data, gsize length);
/* Bytes of the response that the caller has not taken yet. */
gsize dp_http_exchange_unsent (const DpHttpExchange *exchange);
/* Sends the final chunk. Ends the exchange. */
void dp_http_exchange_finish (DpHttpExchange *exchange);

/* Closes the connection on the next loop iteration. Ends the exchange; the close callback is
 * not called. */
void dp_http_exchange_abort (DpHttpExchange *exchange);

/* Closes the connection on the next loop iteration and then calls the close callback, unless
 * the exchange has ended by then. Data written until then is discarded. */
void dp_http_exchange_disconnect (DpHttpExchange *exchange);
/* TRUE after dp_http_exchange_disconnect(), also by the server if the caller doesn't read. */
gboolean dp_http_exchange_is_disconnecting (const DpHttpExchange *exchange);
