/* HTTP server of a stand-in: a listener for requests, and one for control that stays open when
 * the first is closed.
 *
 * A handler owns the request until it has sent the response. The server lives until the process
 * exits.
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
  const char *address; /* IP address; not copied */
  guint16 port;
  guint16 control_port; /* 0: none */
  gsize body_max;       /* bytes */
  /* handlers of requests to `port` and to `control_port` */
  void (*handle) (struct evhttp_request *req, gpointer data);
  void (*control) (struct evhttp_request *req, gpointer data);
  gpointer data;
} StandinServerOptions;

/* Opens the listeners; logs the error and returns NULL on failure. */
StandinServer *standin_server_new (const StandinServerOptions *options);

/* Closes or reopens the listener on `port`. */
void standin_server_refuse (StandinServer *server, gboolean refuse);

/* Splits "IP:PORT"; returns FALSE if `text` is malformed. Free `address` with g_free(). */
gboolean standin_parse_address (const char *text, char **address, guint16 *port);

/* Copy of the request's body, NUL-terminated; free with g_free(). `length` may be NULL. */
char *standin_request_body (struct evhttp_request *req, gsize *length);

/* The request's path without the query. */
const char *standin_request_path (struct evhttp_request *req);

/* Decoded value of a query parameter, or NULL; free with g_free(). */
char *standin_query_parameter (struct evhttp_request *req, const char *name);

/* Value of a request header, or NULL. */
const char *standin_request_header (struct evhttp_request *req, const char *name);

/* Sends a response with Content-Length. `type` is the Content-Type, or NULL. */
void standin_reply (struct evhttp_request *req, int status, const char *type, const char *text);

/* Calls `on_close` if the peer closes the connection before the response is complete. The
 * request must then be freed with standin_release_request(). */
void standin_watch_close (struct evhttp_request *req,
                          void (*on_close) (struct evhttp_connection *connection, void *data),
                          gpointer data);

/* Removes the callback set by standin_watch_close(). */
void standin_unwatch_close (struct evhttp_request *req);

/* Frees a request whose connection was closed by the peer. */
void standin_release_request (struct evhttp_request *req);

/* Sends the buffered output, then `length` raw bytes, and closes the connection. Frees the
 * request. */
void standin_send_and_close (struct evhttp_request *req, const void *data, gsize length);
/* As above, but resets the connection. */
void standin_send_and_reset (struct evhttp_request *req, const void *data, gsize length);

/* Runs the event loop until SIGTERM or SIGINT. */
void standin_run (struct event_base *base);
