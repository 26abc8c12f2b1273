#include "net/http_call.h"

#include "net/http_framing.h"
#include "net/socket_options.h"
#include "net/tunnel_server.h"

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
#define GATEWAY_HEAD_BYTES_MAX 4096
#define STATUS_MAX 599
/* "HTTP/1.1 200" and the byte behind it */
#define STATUS_LINE_BYTES 13
#define DEFAULT_RESPONSE_BODY_BYTES_MAX ((gsize)64 * 1024 * 1024)
/* Longer than the call's own timeouts, which are more precise than evhttp's. */
#define EVHTTP_TIMEOUT_SECONDS 86400

/* A connection to a gateway. */
typedef struct Handshake
{
  char *request;        /* CONNECT */
  gboolean in_progress; /* until the gateway has opened the tunnel */
  /* evhttp's callbacks, which wait for the connection */
  bufferevent_data_cb on_read;
  bufferevent_data_cb on_write;
  bufferevent_event_cb on_event;
  void *arg;
} Handshake;

struct DpHttpCall
{
  /* constant */
  const DpHttpCallbacks *callbacks;
  gpointer user;
  DpUsec first_byte_timeout;
  DpUsec idle_timeout;
  gsize response_body_max;
  DpByteBudget *budget; /* may be NULL */
  /* live as long as the call */
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* NULL once evhttp has freed it */
  struct event *timer;            /* the current timeout */
  struct event *cleanup_event;    /* frees the call outside evhttp's callbacks */
  Handshake *handshake;           /* NULL: connects directly */
  /* state */
  gboolean has_sent_byte;
  gboolean has_head;
  gboolean has_status_line; /* its code was received and checked */
  gboolean has_bad_status;
  gsize pre_head_bytes;  /* bytes received up to the final head */
  gboolean is_oversized; /* the response exceeded a limit, or the budget */
  gsize held;            /* bytes of the response that the user holds */
  gboolean finished;     /* `end` was called, or the call was cancelled */
  gboolean starting;
  gboolean start_failed;
};

static void
format_authority (const DpHttpCallOptions *options, char *out, gsize size)
{
  gboolean is_ipv6 = strchr (options->address, ':') != NULL;
  g_snprintf (out, size, is_ipv6 ? "[%s]:%u" : "%s:%u", options->address, options->port);
}

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
  if (call->handshake != NULL)
    g_free (call->handshake->request);
  g_free (call->handshake);
  g_free (call);
}

static void
abandon_connection (DpHttpCall *call)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (call->connection);
  /* Otherwise a connection that is just being established would still send the request. */
  bufferevent_setcb (bev, NULL, NULL, NULL, NULL);
  /* An orderly end would reach the gateway only after all bytes of the request. */
  if (call->handshake != NULL && call->request != NULL)
    dp_socket_reset_on_close (bufferevent_getfd (bev));
}

/* evhttp's callbacks must not free their own connection: defers this to the event loop. */
static void
schedule_free (DpHttpCall *call)
{
  call->finished = TRUE;
  if (call->budget != NULL)
    dp_byte_budget_set (call->budget, call, 0);
  event_del (call->timer);
  if (call->connection != NULL)
    abandon_connection (call);
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

/* The result if no connection was established. */
static DpHttpCallResult
connect_result (const DpHttpCall *call)
{
  return call->handshake != NULL ? DP_HTTP_GATEWAY_FAILED : DP_HTTP_CONNECT_FAILED;
}

static gboolean
is_handshaking (const DpHttpCall *call)
{
  return call->handshake != NULL && call->handshake->in_progress;
}

static void
on_cleanup_event (evutil_socket_t fd, short what, void *user)
{
  DpHttpCall *call = user;
  if (!call->finished)
    {
      call->finished = TRUE;
      call->callbacks->end (call->user, connect_result (call), !call->has_sent_byte);
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
    finish (call, call->has_sent_byte ? DP_HTTP_TIMED_OUT : connect_result (call));
}

/* Bytes removed from the output buffer were passed to the kernel, or were discarded when the
 * connection failed. Both count as sent, which is the safe assumption. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpCall *call = user;
  if (info->n_deleted == 0 || call->has_sent_byte || is_handshaking (call))
    return;
  call->has_sent_byte = TRUE;
  if (!call->finished)
    set_timer (call, call->first_byte_timeout);
}

/* Reads no more, and fails the call outside evhttp's callbacks. */
static void
fail_oversized (DpHttpCall *call)
{
  call->is_oversized = TRUE;
  bufferevent_disable (evhttp_connection_get_bufferevent (call->connection), EV_READ);
  event_active (call->timer, EV_TIMEOUT, 0);
}

/* Charges the budget with what the call holds. Responses of sound targets are small beside one
 * that has no end, so the largest one fails. */
static void
charge (DpHttpCall *call)
{
  if (call->budget == NULL || call->finished || call->is_oversized)
    return;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (call->connection);
  gsize unread = evbuffer_get_length (bufferevent_get_input (bev));
  dp_byte_budget_set (call->budget, call, unread + call->held);
  DpHttpCall *largest;
  while ((largest = dp_byte_budget_find_excess (call->budget)) != NULL)
    {
      fail_oversized (largest);
      dp_byte_budget_set (call->budget, largest, 0);
    }
}

void
dp_http_call_set_held (DpHttpCall *call, gsize bytes)
{
  call->held = bytes;
  charge (call);
}

gboolean
dp_http_call_is_oversized (const DpHttpCall *call)
{
  return call->is_oversized;
}

/* Returns the status code of a response head, or 0 if it isn't valid. */
static int
parse_status (const char *head)
{
  if (!g_str_has_prefix (head, "HTTP/1.") || !g_ascii_isdigit (head[7]) || head[8] != ' ')
    return 0;
  const char *code = head + 9;
  if (strspn (code, "0123456789") != 3 || strchr (" \r\n", code[3]) == NULL)
    return 0;
  return (int)g_ascii_strtoll (code, NULL, 10);
}

/* evhttp reads "0200" and "200x" as 200, too (RFC 9112, 4). Checks the first status line,
 * before evhttp removes it. */
static void
check_status_line (DpHttpCall *call, struct evbuffer *buffer)
{
  char line[STATUS_LINE_BYTES + 1];
  if (call->has_status_line || evbuffer_get_length (buffer) < STATUS_LINE_BYTES)
    return;
  evbuffer_copyout (buffer, line, STATUS_LINE_BYTES);
  line[STATUS_LINE_BYTES] = '\0';
  call->has_status_line = TRUE;
  call->has_bad_status = parse_status (line) == 0;
}

/* evhttp limits heads and bodies, but neither chunk size lines nor the number of interim
 * (1xx) responses. */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpCall *call = user;
  if (call->finished || call->is_oversized || is_handshaking (call))
    return;
  charge (call);
  if (info->n_added == 0 || call->is_oversized)
    return;
  if (!call->has_head)
    {
      call->pre_head_bytes += info->n_added;
      check_status_line (call, buffer);
    }
  gboolean is_head_too_large = !call->has_head && call->pre_head_bytes > PRE_HEAD_BYTES_MAX;
  if (!is_head_too_large
      && evbuffer_get_length (buffer) <= call->response_body_max + CHUNK_OVERHEAD_BYTES_MAX)
    return;
  fail_oversized (call);
}

/* evhttp reads other heads, too: it uses the first of several lengths, and for any unknown
 * coding takes the end of the connection for the end of the body (RFC 9112, 5.1 and 6.3). */
static gboolean
is_head_valid (struct evhttp_request *request)
{
  const char *length = NULL;
  const char *coding = NULL;
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  for (const struct evkeyval *row = headers->tqh_first; row != NULL; row = row->next.tqe_next)
    if (!dp_http_is_token (row->key) || !dp_http_is_field_value (row->value))
      return FALSE;
    else if (g_ascii_strcasecmp (row->key, "Content-Length") == 0)
      {
        gsize digits = strspn (row->value, "0123456789");
        if (digits == 0 || row->value[digits] != '\0'
            || (length != NULL && strcmp (row->value, length) != 0))
          return FALSE;
        length = row->value;
      }
    else if (g_ascii_strcasecmp (row->key, "Transfer-Encoding") == 0)
      {
        if (coding != NULL || g_ascii_strcasecmp (row->value, "chunked") != 0)
          return FALSE;
        coding = row->value;
      }
  return (length == NULL || coding == NULL)
         && evhttp_request_get_response_code (request) <= STATUS_MAX;
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
  if (call->has_bad_status || !is_head_valid (request))
    {
      finish (call, DP_HTTP_FAILED);
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
  if (call->finished || call->is_oversized || length == 0)
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

static DpHttpCallResult
response_result (const DpHttpCall *call, struct evhttp_request *request)
{
  if (has_framing (request))
    return DP_HTTP_COMPLETE;
  return call->handshake != NULL ? DP_HTTP_FAILED : DP_HTTP_CLOSE_DELIMITED;
}

/* `request` is NULL after an error, and has no status if the connection failed. */
static void
on_done (struct evhttp_request *request, void *user)
{
  DpHttpCall *call = user;
  call->request = NULL;
  if (request == NULL || evhttp_request_get_response_code (request) == 0 || !call->has_head)
    {
      finish (call, call->has_sent_byte ? DP_HTTP_FAILED : connect_result (call));
      return;
    }
  deliver_body (call, request);
  finish (call, call->is_oversized ? DP_HTTP_FAILED : response_result (call, request));
}

/* --- connection to a gateway --- */

/* Lets evhttp send the request through the tunnel. */
static void
finish_handshake (DpHttpCall *call, struct bufferevent *bev)
{
  Handshake *handshake = call->handshake;
  handshake->in_progress = FALSE;
  struct evbuffer *input = bufferevent_get_input (bev);
  call->pre_head_bytes = evbuffer_get_length (input);
  check_status_line (call, input);
  bufferevent_setcb (bev, handshake->on_read, handshake->on_write, handshake->on_event,
                     handshake->arg);
  handshake->on_event (bev, BEV_EVENT_CONNECTED, handshake->arg);
}

static void
on_gateway_read (struct bufferevent *bev, void *user)
{
  DpHttpCall *call = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  gsize received = end.pos >= 0 ? (gsize)end.pos + 4 : evbuffer_get_length (input);
  if (received > GATEWAY_HEAD_BYTES_MAX)
    {
      finish (call, DP_HTTP_GATEWAY_FAILED);
      return;
    }
  if (end.pos < 0)
    return;
  char head[GATEWAY_HEAD_BYTES_MAX + 1];
  evbuffer_remove (input, head, received);
  head[received] = '\0';
  switch (parse_status (head))
    {
    case DP_TUNNEL_OPEN:
      finish_handshake (call, bev);
      break;
    case DP_TUNNEL_TARGET_UNREACHABLE:
    case DP_TUNNEL_TARGET_TIMED_OUT:
      finish (call, DP_HTTP_CONNECT_FAILED);
      break;
    case DP_TUNNEL_UNKNOWN_TARGET:
      finish (call, DP_HTTP_GATEWAY_REFUSED);
      break;
    default:
      finish (call, DP_HTTP_GATEWAY_FAILED);
      break;
    }
}

static void
on_gateway_event (struct bufferevent *bev, short what, void *user)
{
  DpHttpCall *call = user;
  if ((what & BEV_EVENT_CONNECTED) == 0)
    {
      finish (call, DP_HTTP_GATEWAY_FAILED);
      return;
    }
  dp_socket_disable_nagle (bufferevent_getfd (bev));
  dp_socket_enable_keepalive (bufferevent_getfd (bev));
  bufferevent_write (bev, call->handshake->request, strlen (call->handshake->request));
  bufferevent_enable (bev, EV_READ);
}

/* Takes the place of evhttp's callbacks, which would send the request once connected. */
static void
start_handshake (DpHttpCall *call)
{
  Handshake *handshake = call->handshake;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (call->connection);
  bufferevent_getcb (bev, &handshake->on_read, &handshake->on_write, &handshake->on_event,
                     &handshake->arg);
  bufferevent_setcb (bev, on_gateway_read, NULL, on_gateway_event, call);
}

static Handshake *
make_handshake (const DpHttpCallOptions *options)
{
  char authority[64];
  format_authority (options, authority, sizeof authority);
  Handshake *handshake = g_new0 (Handshake, 1);
  handshake->in_progress = TRUE;
  handshake->request = g_strdup_printf ("CONNECT %s HTTP/1.1\r\nHost: %s\r\nTarget: %s\r\n\r\n",
                                        authority, authority, options->target_id);
  return handshake;
}

/* --- start --- */

static void
add_headers (struct evhttp_request *request, const DpHttpCallOptions *options)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char host[64];
  format_authority (options, host, sizeof host);
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
  gboolean is_direct = options->gateway_address == NULL;
  struct evhttp_connection *connection = evhttp_connection_base_bufferevent_new (
    options->base, NULL, bev, is_direct ? options->address : options->gateway_address,
    is_direct ? options->port : options->gateway_port);
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

/* TRUE if the text can stand in a header of the CONNECT request. */
static gboolean
is_header_value (const char *text)
{
  if (text == NULL || text[0] == '\0')
    return FALSE;
  for (const char *at = text; *at != '\0'; at++)
    if (!g_ascii_isgraph (*at))
      return FALSE;
  return TRUE;
}

static gboolean
has_valid_addresses (const DpHttpCallOptions *options)
{
  if (!is_ip_address (options->address))
    return FALSE;
  return options->gateway_address == NULL
         || (is_ip_address (options->gateway_address) && is_header_value (options->target_id));
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
  call->budget = options->budget;
  call->timer = evtimer_new (options->base, on_timer, call);
  call->cleanup_event = event_new (options->base, -1, 0, on_cleanup_event, call);
  set_timer (call, options->connect_timeout != 0 ? options->connect_timeout
                                                 : DEFAULT_CONNECT_TIMEOUT);
  if (options->gateway_address != NULL)
    call->handshake = make_handshake (options);
  call->connection = make_connection (call, options);
  call->starting = TRUE;
  if (!has_valid_addresses (options) || !send_request (call, options))
    call->start_failed = TRUE;
  call->starting = FALSE;
  if (call->start_failed)
    event_active (call->cleanup_event, EV_TIMEOUT, 0);
  else if (call->handshake != NULL)
    start_handshake (call);
  return call;
}

void
dp_http_call_cancel (DpHttpCall *call)
{
  if (!call->finished)
    schedule_free (call);
}

gboolean
dp_http_call_has_sent (const DpHttpCall *call)
{
  return call->has_sent_byte;
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
