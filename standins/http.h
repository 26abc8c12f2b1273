/* HTTP server of a stand-in: one caller-facing listener, and one for control that stays open
 * when the first one refuses connections.
 *
 * Handlers own the request until they have answered it. The server lives as long as the
 * process.
 */
#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef struct StandinServer StandinServer;

typedef struct StandinServerOptions
{
  struct event_base *base;
  const char *address; /* IP number; not copied */
  guint16 port;
  guint16 control_port; /* 0: none */
  gsize body_max;       /* bytes */
  void (*handle) (struct evhttp_request *req, gpointer data);
  void (*control) (struct evhttp_request *req, gpointer data);
  gpointer data;
} StandinServerOptions;

/* Listens; on failure logs why and returns NULL. */
StandinServer *standin_server_new (const StandinServerOptions *options);

/* Closes or opens the caller-facing listener. */
void standin_server_refuse (StandinServer *server, gboolean refuse);

/* Splits "IP:PORT"; FALSE if it isn't one. `address` is to be freed with g_free(). */
gboolean standin_parse_address (const char *text, char **address, guint16 *port);

/* The request's body as NUL-terminated text; free with g_free(). */
char *standin_body (struct evhttp_request *req, gsize *length);

/* Path of the request without its query. */
const char *standin_path (struct evhttp_request *req);

/* Decoded value of a query parameter, or NULL; free with g_free(). */
char *standin_query (struct evhttp_request *req, const char *name);

/* Value of a request header, or NULL. */
const char *standin_header (struct evhttp_request *req, const char *name);

/* Answers with a body and its Content-Length. */
void standin_reply (struct evhttp_request *req, int status, const char *type, const char *text);

/* Calls `gone` once when the peer closes before the answer is complete. The request is then
 * without a connection and must be released with standin_forget(). */
void standin_watch_close (struct evhttp_request *req,
                          void (*gone) (struct evhttp_connection *connection, void *data),
                          gpointer data);
void standin_unwatch (struct evhttp_request *req);

/* Releases a request whose peer has gone. */
void standin_forget (struct evhttp_request *req);

/* Sends what is buffered and `length` raw bytes, then closes the connection. Frees the
 * request. */
void standin_cut (struct evhttp_request *req, const void *data, gsize length);

/* Runs the loop until SIGTERM or SIGINT. */
void standin_run (struct event_base *base);
