#include "net/http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>

#define DEFAULT_CONNECT_TIMEOUT DP_USEC_PER_SEC
#define DEFAULT_FIRST_BYTE_TIMEOUT (30 * DP_USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT (10 * DP_USEC_PER_SEC)
#define RESPONSE_HEAD_BYTES_MAX 16384
/* Input up to the end of the final head: a head and one read beyond it. */
#define PRE_HEAD_BYTES_MAX (RESPONSE_HEAD_BYTES_MAX + 16384)
/* Input buffered in addition to a chunk of maximum size: its size line and one read. */
#define CHUNK_OVERHEAD_BYTES_MAX 20480
#define DEFAULT_RESPONSE_BODY_BYTES_MAX ((gsize)64 * 1024 * 1024)
/* Longer than the call's own timeouts, which are more precise than evhttp's. */
#define EVHTTP_TIMEOUT_SECONDS 86400

struct DpHttpCall
{
  /* constant */
  const DpHttpCallbacks *callbacks;
  gpointer user;
  DpUsec first_byte_timeout;
  DpUsec idle_timeout;
  gsize response_body_max;
  /* live as long as the call */
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* NULL once evhttp has freed it */
  struct event *timer;            /* the current timeout */
  struct event *cleanup_event;    /* frees the call outside evhttp's callbacks */
  /* state */
  gboolean has_sent_byte;
  gboolean has_head;
  gsize pre_head_bytes;  /* bytes received up to the final head */
  gboolean is_oversized; /* the peer exceeded a size limit */
  gboolean finished;     /* `end` was called, or the call was cancelled */
  gboolean starting;
  gboolean start_failed;
};

static void
set_timer (DpHttpCall *call, DpUsec timeout)
{
  struct timeval tv
    = { .tv_sec = timeout / DP_USEC_PER_SEC, .tv_usec = timeout % DP_USEC_PER_SEC };
  event_add (call->timer, &tv);
}

static void
free_call (DpHttpCall *call)
{
  event_free (call->timer);
  event_free (call->cleanup_event);
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  g_free (call);
}

/* evhttp's callbacks must not free their own connection: defers this to the event loop. */
static void
schedule_free (DpHttpCall *call)
{
  call->finished = TRUE;
  event_del (call->timer);
  /* Otherwise a connection that is just being established would still send the request. */
  if (call->connection != NULL)
    bufferevent_setcb (evhttp_connection_get_bufferevent (call->connection), NULL, NULL, NULL,
                       NULL);
  event_active (call->cleanup_event, EV_TIMEOUT, 0);
}

static void
finish (DpHttpCall *call, DpHttpCallResult result)
{
  if (call->finished)
    return;
  if (call->starting)
    {
      call->start_failed = TRUE;
      return;
    }
  schedule_free (call);
  call->callbacks->end (call->user, result, !call->has_sent_byte);
}

static void
on_cleanup_event (evutil_socket_t fd, short what, void *user)
{
  DpHttpCall *call = user;
  if (!call->finished)
    {
      call->finished = TRUE;
      call->callbacks->end (call->user, DP_HTTP_CONNECT_FAILED, !call->has_sent_byte);
    }
  free_call (call);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  DpHttpCall *call = user;
  if (call->is_oversized)
    finish (call, DP_HTTP_FAILED);
  else
    finish (call, call->has_sent_byte ? DP_HTTP_TIMED_OUT : DP_HTTP_CONNECT_FAILED);
}

/* Bytes removed from the output buffer were passed to the kernel, or were discarded when the
 * connection failed. Both count as sent, which is the safe assumption. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpCall *call = user;
  if (info->n_deleted == 0 || call->has_sent_byte)
    return;
  call->has_sent_byte = TRUE;
  if (!call->finished)
    set_timer (call, call->first_byte_timeout);
}

/* evhttp limits heads and bodies, but neither chunk size lines nor the number of interim
 * (1xx) responses. */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpCall *call = user;
  if (call->finished || call->is_oversized || info->n_added == 0)
    return;
  if (!call->has_head)
    call->pre_head_bytes += info->n_added;
  gboolean is_head_too_large = !call->has_head && call->pre_head_bytes > PRE_HEAD_BYTES_MAX;
  if (!is_head_too_large
      && evbuffer_get_length (buffer) <= call->response_body_max + CHUNK_OVERHEAD_BYTES_MAX)
    return;
  call->is_oversized = TRUE;
  bufferevent_disable (evhttp_connection_get_bufferevent (call->connection), EV_READ);
  event_active (call->timer, EV_TIMEOUT, 0);
}

static int
on_head (struct evhttp_request *request, void *user)
{
  DpHttpCall *call = user;
  int status = evhttp_request_get_response_code (request);
  if (call->finished)
    return 0;
  if (status < 200)
    {
      /* evhttp would add those of the final response. */
      evhttp_clear_headers (evhttp_request_get_input_headers (request));
      return 0;
    }
  call->has_head = TRUE;
  call->callbacks->head (call->user, call, status);
  return 0;
}

static void
deliver_body (DpHttpCall *call, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize length = evbuffer_get_length (input);
  if (call->finished || length == 0)
    return;
  set_timer (call, call->idle_timeout);
  call->callbacks->data (call->user, evbuffer_pullup (input, -1), length);
}

static void
on_chunk (struct evhttp_request *request, void *user)
{
  deliver_body (user, request);
}

static gboolean
has_header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name) != NULL;
}

/* TRUE if the end of the response can be distinguished from a truncation. */
static gboolean
has_framing (struct evhttp_request *request)
{
  int status = evhttp_request_get_response_code (request);
  if (status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED
      || evhttp_request_get_command (request) == EVHTTP_REQ_HEAD)
    return TRUE;
  return request->chunked || has_header (request, "Content-Length");
}

/* `request` is NULL after an error, and has no status if the connection failed. */
static void
on_done (struct evhttp_request *request, void *user)
{
  DpHttpCall *call = user;
  call->request = NULL;
  if (request == NULL || evhttp_request_get_response_code (request) == 0 || !call->has_head)
    {
      finish (call, call->has_sent_byte ? DP_HTTP_FAILED : DP_HTTP_CONNECT_FAILED);
      return;
    }
  deliver_body (call, request);
  finish (call, has_framing (request) ? DP_HTTP_COMPLETE : DP_HTTP_CLOSE_DELIMITED);
}

static void
add_headers (struct evhttp_request *request, const DpHttpCallOptions *options)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  gboolean is_ipv6 = strchr (options->address, ':') != NULL;
  char host[64];
  g_snprintf (host, sizeof host, is_ipv6 ? "[%s]:%u" : "%s:%u", options->address,
              options->port);
  evhttp_add_header (headers, "Host", options->host != NULL ? options->host : host);
  evhttp_add_header (headers, "Connection", "close");
  for (guint i = 0; i < options->header_count; i++)
    evhttp_add_header (headers, options->headers[i].name, options->headers[i].value);
}

static struct evhttp_connection *
make_connection (DpHttpCall *call, const DpHttpCallOptions *options)
{
  struct bufferevent *bev = bufferevent_socket_new (options->base, -1, BEV_OPT_CLOSE_ON_FREE);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, call);
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, call);
  struct evhttp_connection *connection = evhttp_connection_base_bufferevent_new (
    options->base, NULL, bev, options->address, options->port);
  evhttp_connection_set_timeout (connection, EVHTTP_TIMEOUT_SECONDS);
  evhttp_connection_set_max_headers_size (connection, RESPONSE_HEAD_BYTES_MAX);
  evhttp_connection_set_max_body_size (connection, (ev_ssize_t)call->response_body_max);
  return connection;
}

/* evhttp would resolve any other text as a host name, which blocks the event loop. */
static gboolean
is_ip_address (const char *address)
{
  struct in6_addr out;
  return evutil_inet_pton (AF_INET, address, &out) == 1
         || evutil_inet_pton (AF_INET6, address, &out) == 1;
}

static gboolean
send_request (DpHttpCall *call, const DpHttpCallOptions *options)
{
  struct evhttp_request *request = evhttp_request_new (on_done, call);
  evhttp_request_set_header_cb (request, on_head);
  evhttp_request_set_chunked_cb (request, on_chunk);
  add_headers (request, options);
  if (options->body_length > 0)
    evbuffer_add (evhttp_request_get_output_buffer (request), options->body,
                  options->body_length);
  call->request = request;
  if (evhttp_make_request (call->connection, request, options->method, options->path) == 0)
    return TRUE;
  call->request = NULL;
  return FALSE;
}

DpHttpCall *
dp_http_call_start (const DpHttpCallOptions *options)
{
  DpHttpCall *call = g_new0 (DpHttpCall, 1);
  call->callbacks = options->callbacks;
  call->user = options->user;
  call->first_byte_timeout = options->first_byte_timeout != 0 ? options->first_byte_timeout
                                                              : DEFAULT_FIRST_BYTE_TIMEOUT;
  call->idle_timeout
    = options->idle_timeout != 0 ? options->idle_timeout : DEFAULT_IDLE_TIMEOUT;
  call->response_body_max = options->response_body_max != 0 ? options->response_body_max
                                                            : DEFAULT_RESPONSE_BODY_BYTES_MAX;
  call->timer = evtimer_new (options->base, on_timer, call);
  call->cleanup_event = event_new (options->base, -1, 0, on_cleanup_event, call);
  set_timer (call, options->connect_timeout != 0 ? options->connect_timeout
                                                 : DEFAULT_CONNECT_TIMEOUT);
  call->connection = make_connection (call, options);
  call->starting = TRUE;
  if (!is_ip_address (options->address) || !send_request (call, options))
    call->start_failed = TRUE;
  call->starting = FALSE;
  if (call->start_failed)
    event_active (call->cleanup_event, EV_TIMEOUT, 0);
  return call;
}

void
dp_http_call_cancel (DpHttpCall *call)
{
  if (!call->finished)
    schedule_free (call);
}

const char *
dp_http_call_header (const DpHttpCall *call, const char *name)
{
  if (call->request == NULL)
    return NULL;
  return evhttp_find_header (evhttp_request_get_input_headers (call->request), name);
}

void
dp_http_call_each_header (const DpHttpCall *call, DpHttpHeaderFunc function, gpointer user)
{
  if (call->request == NULL)
    return;
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (call->request);
  for (const struct evkeyval *row = headers->tqh_first; row != NULL; row = row->next.tqe_next)
    function (user, row->key, row->value);
}
