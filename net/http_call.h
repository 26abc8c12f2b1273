/* One outgoing HTTP/1.1 request on its own connection.
 *
 * The response is streamed to callbacks. It is complete only if its framing says so: the final
 * chunk, or all bytes of Content-Length. A response that ends when the connection closes can't
 * be distinguished from a truncated one and is reported as close-delimited.
 *
 * With a gateway, the call connects to another VM's DpTunnelServer, which forwards the bytes to
 * the target. A gateway that ends closes the connection like a target that has sent everything,
 * so a response without framing is never complete there.
 *
 * Callbacks never run during dp_http_call_start(). The call frees itself after `end` or after
 * dp_http_call_cancel().
 */
#pragma once

#include "common/id.h"
#include "core/byte_budget.h"
#include "net/http_header.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef enum DpHttpCallResult
{
  DP_HTTP_COMPLETE,
  DP_HTTP_CONNECT_FAILED,  /* no connection to the target was established */
  DP_HTTP_GATEWAY_FAILED,  /* the gateway opened no tunnel; says nothing of the target */
  DP_HTTP_GATEWAY_REFUSED, /* the same, but it may open tunnels to other targets */
  DP_HTTP_FAILED,          /* response truncated, too large or not valid HTTP */
  DP_HTTP_CLOSE_DELIMITED, /* ended only by an orderly close of the connection */
  DP_HTTP_TIMED_OUT,       /* no progress within a timeout */
} DpHttpCallResult;

typedef struct DpHttpCall DpHttpCall;

typedef struct DpHttpCallbacks
{
  /* Status line and headers were received; see dp_http_call_header(). */
  void (*head) (gpointer user, DpHttpCall *call, int status);
  void (*data) (gpointer user, const void *data, gsize length);
  /* The last callback; called once unless the call was cancelled. `nothing_sent` is TRUE if it
   * is certain that no byte of the request was sent. */
  void (*end) (gpointer user, DpHttpCallResult result, gboolean nothing_sent);
} DpHttpCallbacks;

typedef struct DpHttpCallOptions
{
  struct event_base *base;
  const char *address; /* IP address */
  guint16 port;
  const char *gateway_address; /* IP address; NULL: connects directly */
  guint16 gateway_port;
  const char *target_id; /* tells the gateway where to connect to */
  enum evhttp_cmd_type method;
  const char *path;
  const char *host; /* Host header; NULL: address:port */
  const DpHttpHeader *headers;
  guint header_count;
  const void *body; /* copied */
  gsize body_length;
  /* 0: the default */
  DpUsec connect_timeout;    /* until the request may be sent, through the gateway if any */
  DpUsec first_byte_timeout; /* from first byte of the request sent to first byte of the body */
  DpUsec idle_timeout;       /* between reads of the body */
  gsize response_body_max;   /* bytes; 0: the default */
  DpByteBudget *budget;      /* of what all calls hold; must outlive the call; NULL: none */
  const DpHttpCallbacks *callbacks;
  gpointer user;
} DpHttpCallOptions;

/* Never returns NULL; a failure to start is reported through `end`. */
DpHttpCall *dp_http_call_start (const DpHttpCallOptions *options);

/* Closes the connection; no further callback runs. */
void dp_http_call_cancel (DpHttpCall *call);

/* TRUE if a byte of the request may have been sent to the target. */
gboolean dp_http_call_has_sent (const DpHttpCall *call);

/* Tells the call how many bytes of its response the user holds, for the budget. */
void dp_http_call_set_held (DpHttpCall *call, gsize bytes);

/* TRUE if the call failed since its response exceeds a limit or, as the largest, the budget. */
gboolean dp_http_call_is_oversized (const DpHttpCall *call);

/* Value of a response header, or NULL. Valid once `head` was called. */
const char *dp_http_call_header (const DpHttpCall *call, const char *name);

/* Calls `function` for each header of the response, in order. */
void
dp_http_call_each_header (const DpHttpCall *call, DpHttpHeaderFunc function, gpointer user);
