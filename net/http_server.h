/* HTTP/1.1 for callers and operators, over evhttp.
 *
 * The server owns its listener and connections. It hands each request to the handler as an
 * exchange, which stays valid until it is answered in full (reply, finish), broken off, or its
 * `gone` callback has run. An answer that was begun and can't be finished is broken off: the
 * connection closes without the final chunk, so that the caller never takes it for whole.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"
#include "net/http_header.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct DpHttpServer DpHttpServer;
typedef struct DpHttpExchange DpHttpExchange;

typedef void (*DpHttpHandler) (gpointer user, DpHttpExchange *exchange);
typedef void (*DpHttpGone) (gpointer user);

typedef struct DpHttpServerOptions
{
  struct event_base *base;
  const char *address;
  guint16 port;
  const char *name;       /* label of its counters: "callers", "operators" */
  gsize head_max;         /* bytes of request line and headers */
  gsize body_max;         /* bytes; larger bodies are refused */
  DpUsec read_timeout;    /* for the next bytes of a request, and idle connections */
  DpUsec write_timeout;   /* for a caller that does not read */
  gsize unread_max;       /* bytes of an answer that wait for a caller that reads slowly */
  guint exchanges_max;    /* open at once; more are refused with 503 */
  guint connections_max;  /* open at once; further ones wait to be accepted */
  DpUsec request_timeout; /* for a request as a whole, from the end of the one before */
  DpCounters *counters;   /* a reference is taken */
  DpHttpHandler handler;
  gpointer user;
} DpHttpServerOptions;

/* NULL if the address can't be bound. */
DpHttpServer *dp_http_server_new (const DpHttpServerOptions *options);

/* Closes all connections without a word. No callback runs any more. */
void dp_http_server_free (DpHttpServer *server);

/* No new connections; those there are go on, and close after their answer. */
void dp_http_server_stop_accepting (DpHttpServer *server);

/* Answers say that the connection closes after them; new connections are still accepted. */
void dp_http_server_close_after_answers (DpHttpServer *server);

/* Closes connections that wait for their next request. */
void dp_http_server_close_idle (DpHttpServer *server);

/* Limits for what comes from now on; 0 keeps the present one. */
typedef struct DpHttpServerLimits
{
  gsize head_max;
  gsize body_max;
  DpUsec idle_timeout; /* of connections without a request */
} DpHttpServerLimits;
void dp_http_server_set_limits (DpHttpServer *server, const DpHttpServerLimits *limits);

guint dp_http_server_open_exchanges (const DpHttpServer *server);

/* TRUE if no exchange is open and all answers have been handed to the kernel. */
gboolean dp_http_server_is_idle (const DpHttpServer *server);

/* --- request --- */

/* "GET", or "" for a method that is not known. */
const char *dp_http_exchange_method (const DpHttpExchange *exchange);
enum evhttp_cmd_type dp_http_exchange_command (const DpHttpExchange *exchange);
/* Path and query as sent. */
const char *dp_http_exchange_target (const DpHttpExchange *exchange);
const char *dp_http_exchange_header (const DpHttpExchange *exchange, const char *name);
/* Calls `function` for each header of the request, in order. */
void dp_http_exchange_each_header (const DpHttpExchange *exchange,
                                   DpHttpHeaderFunc function,
                                   gpointer user);
/* The body; NUL-terminated behind `length`. */
const char *dp_http_exchange_body (const DpHttpExchange *exchange, gsize *length);
/* TRUE if the caller can tell a streamed answer's end from a cut (HTTP/1.1 or later). */
gboolean dp_http_exchange_can_stream (const DpHttpExchange *exchange);

/* Called when the caller has closed its connection before the answer was done. `destroy`, if
 * not NULL, frees `user` when the exchange ends, however it ends. */
void dp_http_exchange_set_gone (DpHttpExchange *exchange,
                                DpHttpGone gone,
                                gpointer user,
                                GDestroyNotify destroy);

/* --- answer --- */

/* Adds a header to the answer; before start or reply. Line breaks in `value` refuse it. */
void
dp_http_exchange_add_header (DpHttpExchange *exchange, const char *name, const char *value);

/* The whole answer, with Content-Length. Ends the exchange. */
void
dp_http_exchange_reply (DpHttpExchange *exchange, int status, const void *body, gsize length);

/* Starts a chunked answer. */
void dp_http_exchange_start (DpHttpExchange *exchange, int status);
void dp_http_exchange_write (DpHttpExchange *exchange, const void *data, gsize length);
/* Sends the final chunk. Ends the exchange. */
void dp_http_exchange_finish (DpHttpExchange *exchange);

/* Closes the connection. Ends the exchange. */
void dp_http_exchange_break_off (DpHttpExchange *exchange);

/* Closes the connection in the loop's next turn, which then runs `gone`; what is written until
 * then is lost. */
void dp_http_exchange_drop (DpHttpExchange *exchange);
