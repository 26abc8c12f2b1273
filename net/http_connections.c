#include "net/http_connections.h"

#include "common/clock.h"
#include "common/log.h"
#include "net/http_linger.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#define SWEEP_INTERVAL_SECONDS 1
/* At the limit, this part of the connections is closed if they are idle for longer than
 * IDLE_MIN: callers that reuse a connection at once keep it. */
#define ROOM_DIVISOR 32
#define IDLE_MIN (500 * DP_USEC_PER_MSEC)
#define SCAN_BYTES 512
/* "HTTP/1.1 100" */
#define INTERIM_BYTES 12
/* For shorter bodies there is a reserve beyond what longer ones may use up. */
#define SHORT_BODY_BYTES 16384
/* Bytes read from a caller beyond the request in progress, besides those of one read. */
#define READ_AHEAD_BYTES 1024
/* Bytes read at a time while no body is received: with libevent's 4096 bytes, a block of 8 KB
 * would be kept for each connection that has sent a part of a head. */
#define HEAD_READ_BYTES 2000
/* evhttp handles a chunked body in parts of at least this size. It keeps a whole block of its
 * input, of 1 KB and more, for each read that ends with a chunk's data. */
#define PART_BYTES 4096
/* Requests with very small chunks that are received at a time. */
#define TINY_CHUNK_REQUESTS_MAX 2
/* Reading pauses for this long after each very small read, so that the kernel joins them. */
#define PAUSE (20 * DP_USEC_PER_MSEC)
/* At the limit, requests that are incomplete and responses that are unread for longer make room
 * when there are too few idle connections. */
#define STALLED_MIN (500 * DP_USEC_PER_MSEC)
#define ROOM_INTERVAL (100 * DP_USEC_PER_MSEC)
/* Requests in progress that had arrived before the response to the one before was sent. More
 * would let clients that pipeline fill the queues which others wait in. */
#define PIPELINED_MAX 8
/* A caller whose buffers are full for SLOW_READER_TIME must have read this much in a second. */
#define SLOW_READER_TIME (20 * DP_USEC_PER_SEC)
#define SLOW_READER_BYTES 1024
/* Of outputs that are smaller, the budget takes no notice. */
#define SMALL_OUTPUT_BYTES 1024
#define LIMITS_LOG_INTERVAL (10 * DP_USEC_PER_SEC)

typedef enum ConnectionState
{
  CONNECTION_IDLE,
  CONNECTION_RECEIVING_HEAD,
  CONNECTION_RECEIVING,  /* the head of a request has arrived */
  CONNECTION_PROCESSING, /* a request was received in full and has no complete response yet */
} ConnectionState;

/* One accepted connection. evhttp doesn't report when it frees a connection, so the peer
 * address is compared to detect that the descriptor was closed or reused. Inodes can't be used:
 * some kernels give all sockets the same number. */
typedef struct Connection
{
  DpHttpConnections *owner;
  struct bufferevent *bev; /* freed by evhttp: only valid while is_open() */
  struct evbuffer *input;  /* of `bev` */
  struct evbuffer *output; /* of `bev` */
  int fd;
  struct sockaddr_storage peer;
  gboolean is_rejected; /* it is closed behind the response */
  ConnectionState state;
  DpHttpFraming framing;    /* of the request that is being received */
  DpHttpCost cost;          /* of that request */
  gsize read_ahead;         /* bytes received behind that request */
  guint64 reserved;         /* bytes of its body that were found room for */
  gsize head_reserved;      /* bytes of its head that were found room for */
  gboolean has_tiny_chunks; /* counted in `tiny_chunk_requests` */
  gboolean is_withheld;     /* evhttp doesn't get the input yet */
  gboolean is_paused;
  gboolean is_pipelined;   /* counted in `pipelined` */
  struct evbuffer *parked; /* its next requests, which wait for their turn; NULL: none */
  DpUsec unread_since;     /* of the output; 0: all was passed to the kernel */
  gsize taken;             /* bytes of the output that the caller has read since then */
  DpHttpLimit closing;     /* it is closed for that; DP_HTTP_LIMIT_NONE: it isn't */
  DpUsec since;            /* of the state; of a request its first byte */
  DpUsec timeout; /* of the state; of an idle connection the longest in force since it began */
  DpReason rejection; /* of the request that is being received; DP_REASON_NONE: none */
  DpHttpLimit limit;  /* that it exceeds */
  /* evhttp's callback, while the response to a rejected request is sent */
  bufferevent_event_cb on_event;
  void *arg;
} Connection;

struct DpHttpConnections
{
  DpHttpConnectionsOptions options;
  struct evconnlistener *listener; /* may be NULL */
  GHashTable *by_fd;               /* descriptor -> Connection */
  GHashTable *by_buffer; /* struct evbuffer: input or output -> Connection, not owned */
  DpHttpLinger *linger;
  GPtrArray *accepted; /* Connection: not in by_fd yet */
  struct event *accepted_event;
  GPtrArray *rejected; /* Connection: to be rejected */
  struct event *rejected_event;
  GPtrArray *closing; /* Connection: to be closed for a limit */
  struct event *closing_event;
  GPtrArray *paused; /* Connection: not read for a moment */
  struct event *paused_event;
  guint tiny_chunk_requests;
  guint pipelined;    /* connections, at most PIPELINED_MAX */
  GQueue *parked;     /* Connection: those with pipelined requests that wait */
  GPtrArray *parking; /* Connection: parked in this loop iteration */
  struct event *parked_event;
  struct event *room_event;       /* while the limit is reached */
  guint exceeded[DP_HTTP_LIMITS]; /* since the last log line */
  DpUsec logged_at;
  struct event *sweep;
};

/* All zero if the descriptor isn't a connected socket. */
static struct sockaddr_storage
peer_address (int fd)
{
  struct sockaddr_storage peer;
  memset (&peer, 0, sizeof peer);
  socklen_t length = sizeof peer;
  if (getpeername (fd, (struct sockaddr *)&peer, &length) != 0)
    memset (&peer, 0, sizeof peer);
  return peer;
}

static gboolean
is_open (const Connection *connection)
{
  struct sockaddr_storage peer = peer_address (connection->fd);
  return peer.ss_family != 0 && memcmp (&peer, &connection->peer, sizeof peer) == 0;
}

/* TRUE if the kernel holds bytes that were not read yet. */
static gboolean
has_unread_bytes (const Connection *connection)
{
  char byte;
  return recv (connection->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static gboolean
is_idle (const Connection *connection)
{
  return connection->state == CONNECTION_IDLE && connection->parked == NULL
         && !has_unread_bytes (connection);
}

gboolean
dp_http_connections_have_room (const DpHttpConnections *connections)
{
  guint open = g_hash_table_size (connections->by_fd) + connections->accepted->len;
  return open < connections->options.max;
}

static void
update_listener (DpHttpConnections *connections)
{
  if (connections->listener == NULL)
    return;
  if (dp_http_connections_have_room (connections))
    {
      evconnlistener_enable (connections->listener);
      return;
    }
  const struct timeval interval = { .tv_usec = ROOM_INTERVAL };
  evconnlistener_disable (connections->listener);
  if (!event_pending (connections->room_event, EV_TIMEOUT, NULL))
    event_add (connections->room_event, &interval);
}

static DpUsec
state_timeout (const DpHttpConnections *connections, ConnectionState state)
{
  const DpHttpConnectionsOptions *options = &connections->options;
  switch (state)
    {
    case CONNECTION_RECEIVING_HEAD:
      return options->head_timeout > 0 ? MIN (options->head_timeout, options->request_timeout)
                                       : options->request_timeout;
    case CONNECTION_RECEIVING:
      return options->request_timeout;
    default:
      return options->idle_timeout;
    }
}

static void
set_held (DpByteBudget *budget, Connection *connection, gsize bytes)
{
  if (budget != NULL)
    dp_byte_budget_set (budget, connection, bytes);
}

static void
release_body (const DpHttpConnections *connections, Connection *connection)
{
  set_held (connections->options.budgets.bodies, connection, 0);
}

/* Releases what a request that has its response held. */
static void
release_request (const DpHttpConnections *connections, Connection *connection)
{
  release_body (connections, connection);
  if (connection->head_reserved > 0)
    set_held (connections->options.budgets.heads, connection, 0);
  connection->head_reserved = 0;
  connection->reserved = 0;
}

/* The request was received, or is given up. */
static void
end_tiny_chunks (DpHttpConnections *connections, Connection *connection)
{
  connections->tiny_chunk_requests -= connection->has_tiny_chunks;
  connection->has_tiny_chunks = FALSE;
}

static void
set_state (DpHttpConnections *connections, Connection *connection, ConnectionState state)
{
  if (state != CONNECTION_PROCESSING)
    release_request (connections, connection);
  end_tiny_chunks (connections, connection);
  if (state != CONNECTION_PROCESSING)
    bufferevent_set_max_single_read (connection->bev, HEAD_READ_BYTES);
  connection->state = state;
  connection->framing = (DpHttpFraming){ 0 };
  connection->cost = (DpHttpCost){ 0 };
  connection->limit = DP_HTTP_LIMIT_NONE;
  connection->read_ahead = 0;
  connection->rejection = DP_REASON_NONE;
  connection->timeout = state_timeout (connections, state);
  connection->since = dp_clock_now ();
}

/* Reserves the announced length, so that a body which was begun is received in full. */
static DpHttpLimit
reserve_body (const DpHttpConnections *connections, Connection *connection)
{
  DpByteBudget *bodies = connections->options.budgets.bodies;
  guint64 length = connection->framing.body_length;
  if (bodies == NULL || length == connection->reserved)
    return DP_HTTP_LIMIT_NONE;
  dp_byte_budget_set (bodies, connection, (gsize)length);
  connection->reserved = length;
  gboolean has_room = length <= SHORT_BODY_BYTES ? dp_byte_budget_has_reserve (bodies)
                                                 : dp_byte_budget_find_excess (bodies) == NULL;
  return has_room ? DP_HTTP_LIMIT_NONE : DP_HTTP_LIMIT_BODIES;
}

static DpHttpLimit
reserve_head (const DpHttpConnections *connections, Connection *connection)
{
  DpByteBudget *heads = connections->options.budgets.heads;
  gsize bytes = dp_http_cost_head (&connection->cost, &connection->framing);
  if (heads == NULL || bytes == connection->head_reserved)
    return DP_HTTP_LIMIT_NONE;
  dp_byte_budget_set (heads, connection, bytes);
  connection->head_reserved = bytes;
  return dp_byte_budget_admits (heads, connection) ? DP_HTTP_LIMIT_NONE : DP_HTTP_LIMIT_HEADS;
}

static DpHttpLimit
count_tiny_chunks (DpHttpConnections *connections, Connection *connection)
{
  if (connection->has_tiny_chunks || !dp_http_cost_has_tiny_chunks (&connection->framing))
    return DP_HTTP_LIMIT_NONE;
  connection->has_tiny_chunks = TRUE;
  return ++connections->tiny_chunk_requests > TINY_CHUNK_REQUESTS_MAX ? DP_HTTP_LIMIT_CHUNKS
                                                                      : DP_HTTP_LIMIT_NONE;
}

static DpReason
check_received (DpHttpConnections *connections, Connection *connection)
{
  const DpHttpFraming *framing = &connection->framing;
  if (framing->stage == DP_HTTP_STAGE_INVALID)
    return DP_REASON_BAD_REQUEST;
  if (framing->body_length > connections->options.body_max)
    return DP_REASON_BODY_TOO_LARGE;
  connection->limit = reserve_body (connections, connection);
  if (connection->limit == DP_HTTP_LIMIT_NONE)
    connection->limit = reserve_head (connections, connection);
  if (connection->limit == DP_HTTP_LIMIT_NONE)
    connection->limit = count_tiny_chunks (connections, connection);
  if (framing->stage == DP_HTTP_STAGE_COMPLETE)
    end_tiny_chunks (connections, connection);
  return connection->limit != DP_HTTP_LIMIT_NONE ? DP_REASON_OVERLOADED_ENTRY : DP_REASON_NONE;
}

/* The last `length` bytes of the input belong to a request that is not complete, or follow it.
 */
static void
receive (DpHttpConnections *connections,
         Connection *connection,
         struct evbuffer *input,
         gsize length)
{
  DpHttpFraming *framing = &connection->framing;
  char bytes[SCAN_BYTES];
  struct evbuffer_ptr at;
  gsize start = evbuffer_get_length (input) - length;
  connection->cost.reads++;
  connection->cost.bytes += length;
  while (length > 0 && framing->stage != DP_HTTP_STAGE_COMPLETE
         && framing->stage != DP_HTTP_STAGE_INVALID)
    {
      gboolean has_head = dp_http_framing_has_head (framing);
      gsize read = dp_http_framing_skip (framing, length);
      if (read == 0)
        {
          evbuffer_ptr_set (input, &at, start, EVBUFFER_PTR_SET);
          ev_ssize_t copied
            = evbuffer_copyout_from (input, &at, bytes, MIN (length, sizeof bytes));
          read = dp_http_framing_read (framing, bytes, (gsize)MAX (copied, 0));
          g_return_if_fail (read > 0);
        }
      start += read;
      length -= read;
      connection->cost.head_bytes += has_head ? 0 : read;
    }
  connection->read_ahead += length;
  connection->rejection = check_received (connections, connection);
  if (connection->state != CONNECTION_RECEIVING_HEAD || !dp_http_framing_has_head (framing))
    return;
  bufferevent_set_max_single_read (connection->bev, 0);
  connection->state = CONNECTION_RECEIVING;
  connection->timeout = state_timeout (connections, CONNECTION_RECEIVING);
}

/* --- input that evhttp doesn't get yet --- */

/* A head is handed over as a whole, since evhttp stores its fields in many times their size. */
static gboolean
may_process (const DpHttpConnections *connections,
             const Connection *connection,
             gsize length,
             gboolean had_head)
{
  const DpHttpFraming *framing = &connection->framing;
  if (framing->stage == DP_HTTP_STAGE_COMPLETE || framing->stage == DP_HTTP_STAGE_INVALID)
    return TRUE;
  if (!dp_http_framing_has_head (framing))
    return connection->cost.head_bytes > connections->options.head_max;
  return !had_head || !framing->is_chunked || length >= PART_BYTES;
}

/* evhttp is called by the bufferevent when its input has the size of the low watermark, which
 * none has. */
static void
withhold (Connection *connection, gboolean is_withheld)
{
  if (connection->is_withheld == is_withheld)
    return;
  connection->is_withheld = is_withheld;
  bufferevent_setwatermark (connection->bev, EV_READ, is_withheld ? G_MAXSIZE : 0, 0);
}

static void
limit_input (Connection *connection)
{
  connection->is_withheld = FALSE;
  bufferevent_setwatermark (connection->bev, EV_READ, 0, READ_AHEAD_BYTES);
}

void
dp_http_connections_limit_input (DpHttpConnections *connections,
                                 struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  Connection *row = g_hash_table_lookup (connections->by_buffer, bufferevent_get_input (bev));
  if (row != NULL)
    limit_input (row);
}

/* --- very small reads --- */

static void
pause_reading (DpHttpConnections *connections, Connection *connection)
{
  if (connection->is_paused)
    return;
  const struct timeval pause = { .tv_usec = PAUSE };
  connection->is_paused = TRUE;
  bufferevent_disable (connection->bev, EV_READ);
  g_ptr_array_add (connections->paused, connection);
  if (!event_pending (connections->paused_event, EV_TIMEOUT, NULL))
    event_add (connections->paused_event, &pause);
}

static void
on_pause_end (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  for (guint i = 0; i < connections->paused->len; i++)
    {
      Connection *connection = g_ptr_array_index (connections->paused, i);
      connection->is_paused = FALSE;
      if (is_open (connection) && !connection->is_rejected)
        bufferevent_enable (connection->bev, EV_READ);
    }
  g_ptr_array_set_size (connections->paused, 0);
}

/* --- pipelined requests --- */

static void
end_pipelined (DpHttpConnections *connections, Connection *connection)
{
  if (!connection->is_pipelined)
    return;
  connection->is_pipelined = FALSE;
  connections->pipelined--;
  if (!g_queue_is_empty (connections->parked))
    event_active (connections->parked_event, EV_TIMEOUT, 0);
}

void
dp_http_connections_end_request (DpHttpConnections *connections,
                                 struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  Connection *row = g_hash_table_lookup (connections->by_buffer, bufferevent_get_input (bev));
  if (row != NULL)
    end_pipelined (connections, row);
}

static void
clear_parked (DpHttpConnections *connections, Connection *connection)
{
  if (connection->parked == NULL)
    return;
  g_queue_remove (connections->parked, connection);
  g_ptr_array_remove (connections->parking, connection);
  g_clear_pointer (&connection->parked, evbuffer_free);
}

/* Takes what was read ahead from evhttp, which would process it at once. */
static void
park (DpHttpConnections *connections, Connection *connection)
{
  set_state (connections, connection, CONNECTION_IDLE);
  connection->parked = evbuffer_new ();
  evbuffer_add_buffer (connection->parked, connection->input);
  g_queue_push_tail (connections->parked, connection);
  limit_input (connection);
  g_ptr_array_add (connections->parking, connection);
  event_active (connections->parked_event, EV_TIMEOUT, 0);
}

/* evhttp begins to read after park(), and before the loop polls for input again. */
static void
stop_reading_parked (DpHttpConnections *connections)
{
  for (guint i = 0; i < connections->parking->len; i++)
    {
      const Connection *connection = g_ptr_array_index (connections->parking, i);
      if (connection->parked != NULL && is_open (connection))
        bufferevent_disable (connection->bev, EV_READ);
    }
  g_ptr_array_set_size (connections->parking, 0);
}

/* The response to a request was sent, and the next one had arrived before. */
static void
begin_pipelined (DpHttpConnections *connections, Connection *connection)
{
  if (connections->pipelined >= PIPELINED_MAX || !g_queue_is_empty (connections->parked))
    {
      park (connections, connection);
      return;
    }
  connection->is_pipelined = TRUE;
  connections->pipelined++;
}

/* The callback on the input receives the requests. */
static void
unpark (DpHttpConnections *connections, Connection *connection)
{
  struct evbuffer *parked = g_steal_pointer (&connection->parked);
  connection->is_pipelined = TRUE;
  connections->pipelined++;
  bufferevent_setwatermark (connection->bev, EV_READ, 0, 0);
  evbuffer_prepend_buffer (connection->input, parked);
  evbuffer_free (parked);
  if (connection->is_rejected)
    return;
  bufferevent_enable (connection->bev, EV_READ);
  bufferevent_trigger (connection->bev, EV_READ, 0);
}

static void
on_parked (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  stop_reading_parked (connections);
  while (connections->pipelined < PIPELINED_MAX && !g_queue_is_empty (connections->parked))
    {
      Connection *connection = g_queue_pop_head (connections->parked);
      if (is_open (connection))
        unpark (connections, connection);
      else
        g_clear_pointer (&connection->parked, evbuffer_free);
    }
}

/* --- limits of all connections --- */

static void
count_exceeded (DpHttpConnections *connections, DpHttpLimit limit)
{
  connections->exceeded[limit]++;
  dp_counters_add (connections->options.counters, "dogwoodplank_http_limited_total", "limit",
                   dp_http_limit_name (limit), 1);
}

/* One line for all clients that exceeded a limit since the last one. */
static void
log_exceeded (DpHttpConnections *connections, DpUsec now)
{
  char counts[DP_HTTP_LIMITS][12];
  guint sum = 0;
  for (guint i = 0; i < DP_HTTP_LIMITS; i++)
    {
      g_snprintf (counts[i], sizeof counts[i], "%u", connections->exceeded[i]);
      sum += connections->exceeded[i];
    }
  if (sum == 0 || now - connections->logged_at < LIMITS_LOG_INTERVAL)
    return;
  dp_log (DP_LOG_NOTICE, "clients_limited", "listener", connections->options.name, "bodies",
          counts[DP_HTTP_LIMIT_BODIES], "heads", counts[DP_HTTP_LIMIT_HEADS], "chunks",
          counts[DP_HTTP_LIMIT_CHUNKS], "unread", counts[DP_HTTP_LIMIT_UNREAD], "slow",
          counts[DP_HTTP_LIMIT_SLOW], "room", counts[DP_HTTP_LIMIT_ROOM], NULL);
  memset (connections->exceeded, 0, sizeof connections->exceeded);
  connections->logged_at = now;
}

/* Closes the connection on the next loop iteration, as this may run inside its callbacks. */
static void
close_for (Connection *connection, DpHttpLimit limit)
{
  DpHttpConnections *connections = connection->owner;
  if (connection->closing != DP_HTTP_LIMIT_NONE)
    return;
  connection->closing = limit;
  count_exceeded (connections, limit);
  g_ptr_array_add (connections->closing, connection);
  event_active (connections->closing_event, EV_TIMEOUT, 0);
}

static void
set_unread (const DpHttpConnections *connections, Connection *connection, gsize length)
{
  DpByteBudget *unread = connections->options.budgets.unread;
  if (unread == NULL)
    return;
  dp_byte_budget_set (unread, connection, length >= SMALL_OUTPUT_BYTES ? length : 0);
  Connection *largest;
  while ((largest = dp_byte_budget_find_excess (unread)) != NULL)
    {
      dp_byte_budget_set (unread, largest, 0);
      close_for (largest, DP_HTTP_LIMIT_UNREAD);
    }
}

static void
on_closing (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  while (connections->closing->len > 0)
    {
      Connection *connection = g_ptr_array_index (connections->closing, 0);
      g_ptr_array_remove_index_fast (connections->closing, 0);
      if (is_open (connection))
        bufferevent_trigger_event (connection->bev, BEV_EVENT_WRITING | BEV_EVENT_TIMEOUT, 0);
    }
}

/* --- rejected requests --- */

/* Lets evhttp free the connection. */
static void
end_rejection (Connection *connection)
{
  struct bufferevent *bev = connection->bev;
  bufferevent_setcb (bev, NULL, NULL, connection->on_event, connection->arg);
  bufferevent_trigger_event (bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

static void
on_rejection_written (struct bufferevent *bev, void *user)
{
  end_rejection (user);
}

static void
on_rejection_event (struct bufferevent *bev, short what, void *user)
{
  end_rejection (user);
}

/* evhttp gets nothing more of the connection, of which it may have read a part of the request.
 */
static void
reject (DpHttpConnections *connections, Connection *connection)
{
  struct bufferevent *bev = connection->bev;
  bufferevent_disable (bev, EV_READ);
  bufferevent_getcb (bev, NULL, NULL, &connection->on_event, &connection->arg);
  bufferevent_setcb (bev, NULL, on_rejection_written, on_rejection_event, connection);
  struct evbuffer *response = evbuffer_new ();
  const DpHttpRejection rejection = { .reason = connection->rejection,
                                      .fault = connection->framing.fault,
                                      .limit = connection->limit };
  if (connection->limit != DP_HTTP_LIMIT_NONE)
    count_exceeded (connections, connection->limit);
  release_request (connections, connection);
  end_tiny_chunks (connections, connection);
  evbuffer_drain (connection->input, evbuffer_get_length (connection->input));
  connections->options.on_reject (connections->options.user, &rejection, response);
  bufferevent_write_buffer (bev, response);
  bufferevent_enable (bev, EV_WRITE);
  evbuffer_free (response);
}

static gboolean
is_receiving (const Connection *connection)
{
  return connection->state == CONNECTION_RECEIVING_HEAD
         || connection->state == CONNECTION_RECEIVING;
}

/* For requests that had been read ahead, while evhttp still sent the response before. */
static void
on_rejected (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  for (guint i = 0; i < connections->rejected->len; i++)
    {
      Connection *connection = g_ptr_array_index (connections->rejected, i);
      if (is_open (connection) && is_receiving (connection) && !connection->is_rejected)
        reject (connections, connection);
    }
  g_ptr_array_set_size (connections->rejected, 0);
}

DpHttpFault
dp_http_connections_check_request (DpHttpConnections *connections,
                                   struct evhttp_connection *connection,
                                   guint *field_count)
{
  struct evbuffer *input
    = bufferevent_get_input (evhttp_connection_get_bufferevent (connection));
  const Connection *row = g_hash_table_lookup (connections->by_buffer, input);
  if (row == NULL)
    return DP_HTTP_FAULT_END;
  *field_count = row->framing.field_count;
  if (row->framing.stage == DP_HTTP_STAGE_INVALID)
    return row->framing.fault;
  gboolean is_same_end = row->framing.stage == DP_HTTP_STAGE_COMPLETE
                         && row->read_ahead == evbuffer_get_length (input);
  return is_same_end ? DP_HTTP_FAULT_NONE : DP_HTTP_FAULT_END;
}

/* --- input and output --- */

/* Bytes were read from the connection. */
static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpConnections *connections = user;
  Connection *connection = g_hash_table_lookup (connections->by_buffer, input);
  if (connection == NULL || connection->is_rejected || info->n_added == 0)
    return;
  if (connection->parked != NULL)
    {
      evbuffer_add_buffer (connection->parked, input);
      bufferevent_disable (connection->bev, EV_READ);
      return;
    }
  if (connection->state == CONNECTION_IDLE)
    set_state (connections, connection, CONNECTION_RECEIVING_HEAD);
  if (!is_receiving (connection))
    return;
  gboolean had_head = connection->state == CONNECTION_RECEIVING;
  receive (connections, connection, input, info->n_added);
  if (connection->rejection != DP_REASON_NONE)
    {
      withhold (connection, FALSE);
      reject (connections, connection);
      return;
    }
  withhold (connection,
            !may_process (connections, connection, evbuffer_get_length (input), had_head));
  if (connection->framing.stage != DP_HTTP_STAGE_COMPLETE
      && dp_http_cost_has_tiny_reads (&connection->cost))
    pause_reading (connections, connection);
}

/* TRUE if the output begins with "100 Continue", behind which the request goes on. */
static gboolean
is_interim (struct evbuffer *output)
{
  char start[INTERIM_BYTES];
  return evbuffer_copyout (output, start, sizeof start) == sizeof start
         && memcmp (start + sizeof start - 3, "100", 3) == 0;
}

static void
record_output (const DpHttpConnections *connections,
               Connection *connection,
               struct evbuffer *output,
               const struct evbuffer_cb_info *info)
{
  gsize length = evbuffer_get_length (output);
  if (length == 0)
    connection->unread_since = 0;
  else if (connection->unread_since == 0)
    {
      connection->unread_since = dp_clock_now ();
      connection->taken = 0;
    }
  connection->taken += info->n_deleted;
  if (MAX (length, info->orig_size) >= SMALL_OUTPUT_BYTES)
    set_unread (connections, connection, length);
}

/* evhttp, or the server, rejects a request that may not be complete, and closes the connection
 * behind the response. */
static void
on_output (struct evbuffer *output, const struct evbuffer_cb_info *info, void *user)
{
  DpHttpConnections *connections = user;
  Connection *connection = g_hash_table_lookup (connections->by_buffer, output);
  if (connection == NULL)
    return;
  record_output (connections, connection, output, info);
  if (connection->is_rejected || info->n_added == 0 || !is_receiving (connection)
      || is_interim (output))
    return;
  connection->is_rejected = TRUE;
  limit_input (connection);
  dp_http_linger_add (connections->linger, bufferevent_getfd (connection->bev));
}

/* evhttp assigns the socket to the bufferevent after this callback returns. */
static struct bufferevent *
on_accept (struct event_base *base, void *user)
{
  DpHttpConnections *connections = user;
  Connection *connection = g_new0 (Connection, 1);
  connection->owner = connections;
  connection->bev = bufferevent_socket_new (base, -1, 0);
  set_state (connections, connection, CONNECTION_IDLE);
  connection->input = bufferevent_get_input (connection->bev);
  evbuffer_add_cb (connection->input, on_input, connections);
  connection->output = bufferevent_get_output (connection->bev);
  evbuffer_add_cb (connection->output, on_output, connections);
  g_hash_table_insert (connections->by_buffer, connection->input, connection);
  g_hash_table_insert (connections->by_buffer, connection->output, connection);
  g_ptr_array_add (connections->accepted, connection);
  event_active (connections->accepted_event, EV_TIMEOUT, 0);
  update_listener (connections);
  return connection->bev;
}

/* Removes what refers to a connection that is closed or about to be. Another one may have the
 * same buffers by now. */
static void
forget_connection (DpHttpConnections *connections, Connection *connection)
{
  g_ptr_array_remove (connections->rejected, connection);
  g_ptr_array_remove (connections->closing, connection);
  g_ptr_array_remove (connections->paused, connection);
  clear_parked (connections, connection);
  end_pipelined (connections, connection);
  release_request (connections, connection);
  end_tiny_chunks (connections, connection);
  set_held (connections->options.budgets.unread, connection, 0);
  if (g_hash_table_lookup (connections->by_buffer, connection->input) == connection)
    g_hash_table_remove (connections->by_buffer, connection->input);
  if (g_hash_table_lookup (connections->by_buffer, connection->output) == connection)
    g_hash_table_remove (connections->by_buffer, connection->output);
}

/* A connection that had the descriptor of a new one is closed. */
static void
register_accepted (DpHttpConnections *connections)
{
  for (guint i = 0; i < connections->accepted->len; i++)
    {
      Connection *connection = g_ptr_array_index (connections->accepted, i);
      connection->fd = bufferevent_getfd (connection->bev);
      connection->peer = peer_address (connection->fd);
      Connection *closed = g_hash_table_lookup (connections->by_fd, &connection->fd);
      if (closed != NULL)
        forget_connection (connections, closed);
      g_hash_table_replace (connections->by_fd, &connection->fd, connection);
    }
  g_ptr_array_set_size (connections->accepted, 0);
}

/* Closes a connection that has no request in progress. Nothing more is read from it, so that
 * no request can be processed whose response could not be sent. */
static void
close_connection (DpHttpConnections *connections, Connection *connection, const char *counter)
{
  dp_counters_add (connections->options.counters, counter, "listener",
                   connections->options.name, 1);
  bufferevent_trigger_event (connection->bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

static gint
compare_since (gconstpointer a, gconstpointer b)
{
  const Connection *first = *(Connection *const *)a;
  const Connection *second = *(Connection *const *)b;
  return first->since < second->since ? -1 : first->since > second->since;
}

/* Connections that are idle for longer than IDLE_MIN, the longest first. */
static GPtrArray *
find_idle (DpHttpConnections *connections)
{
  GPtrArray *idle = g_ptr_array_new ();
  DpUsec now = dp_clock_now ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Connection *connection = value;
      if (connection->state == CONNECTION_IDLE && now - connection->since > IDLE_MIN)
        g_ptr_array_add (idle, value);
    }
  g_ptr_array_sort (idle, compare_since);
  return idle;
}

/* Time for which the connection has taken part in an exchange without completing it; 0 if it
 * waits for this process. */
static DpUsec
stalled_time (const Connection *connection, DpUsec now)
{
  gboolean is_waiting = is_receiving (connection) || connection->parked != NULL;
  if (is_waiting && !connection->is_rejected)
    return now - connection->since;
  return connection->unread_since > 0 ? now - connection->unread_since : 0;
}

/* Bytes per second of a stalled connection. */
static double
stalled_rate (const Connection *connection, DpUsec now)
{
  gsize bytes = is_receiving (connection) ? connection->cost.bytes : connection->taken;
  return (double)bytes / (double)MAX (stalled_time (connection, now), 1);
}

static gint
compare_rate (gconstpointer a, gconstpointer b, gpointer user)
{
  const DpUsec *now = user;
  double first = stalled_rate (*(Connection *const *)a, *now);
  double second = stalled_rate (*(Connection *const *)b, *now);
  return first < second ? -1 : first > second;
}

/* Connections that are stalled for longer than STALLED_MIN, the slowest first. */
static GPtrArray *
find_stalled (DpHttpConnections *connections)
{
  GPtrArray *stalled = g_ptr_array_new ();
  DpUsec now = dp_clock_now ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (stalled_time (value, now) > STALLED_MIN)
      g_ptr_array_add (stalled, value);
  g_ptr_array_sort_with_data (stalled, compare_rate, &now);
  return stalled;
}

static void
close_stalled (DpHttpConnections *connections, guint wanted)
{
  GPtrArray *stalled = find_stalled (connections);
  for (guint i = 0; i < stalled->len && g_hash_table_size (connections->by_fd) > wanted; i++)
    {
      Connection *connection = g_ptr_array_index (stalled, i);
      if (is_open (connection))
        {
          count_exceeded (connections, DP_HTTP_LIMIT_ROOM);
          bufferevent_trigger_event (connection->bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
        }
      forget_connection (connections, connection);
      g_hash_table_remove (connections->by_fd, &connection->fd);
    }
  g_ptr_array_unref (stalled);
}

/* At the limit, idle connections make room for new ones: their callers can connect again, while
 * new callers would get no response. If they aren't enough, the slowest of those follow whose
 * clients take long to send a request or to read a response. */
static void
make_room (DpHttpConnections *connections)
{
  guint max = connections->options.max;
  if (g_hash_table_size (connections->by_fd) < max)
    return;
  guint wanted = max - MAX (max / ROOM_DIVISOR, 1);
  GPtrArray *idle = find_idle (connections);
  for (guint i = 0; i < idle->len && g_hash_table_size (connections->by_fd) > wanted; i++)
    {
      Connection *connection = g_ptr_array_index (idle, i);
      gboolean open = is_open (connection);
      if (open && !is_idle (connection))
        continue;
      if (open)
        close_connection (connections, connection, "dogwoodplank_http_displaced_total");
      forget_connection (connections, connection);
      g_hash_table_remove (connections->by_fd, &connection->fd);
    }
  g_ptr_array_unref (idle);
  close_stalled (connections, wanted);
  update_listener (connections);
}

static void
on_room (evutil_socket_t fd, short what, void *user)
{
  make_room (user);
}

/* Runs before the loop polls for input again, so that no connection can be closed yet. */
static void
on_accepted (evutil_socket_t fd, short what, void *user)
{
  register_accepted (user);
  make_room (user);
}

static gboolean
is_overdue (const Connection *connection, DpUsec now)
{
  if (now - connection->since <= connection->timeout)
    return FALSE;
  switch (connection->state)
    {
    case CONNECTION_RECEIVING_HEAD:
      /* After a pause of the process, the rest may have arrived in time. */
      return !has_unread_bytes (connection);
    case CONNECTION_RECEIVING:
      return TRUE;
    default:
      return is_idle (connection);
    }
}

static gboolean
is_slow_reader (const Connection *connection, DpUsec now)
{
  DpUsec time = connection->unread_since > 0 ? now - connection->unread_since : 0;
  return time > SLOW_READER_TIME
         && connection->taken / SLOW_READER_BYTES < (gsize)(time / DP_USEC_PER_SEC);
}

/* Removes closed connections and closes those that exceed their timeout. */
static void
on_sweep (evutil_socket_t fd, short what, void *user)
{
  DpHttpConnections *connections = user;
  DpUsec now = dp_clock_now ();
  GHashTableIter iter;
  gpointer value;
  register_accepted (connections);
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      gboolean open = is_open (connection);
      if (open && is_slow_reader (connection, now))
        close_for (connection, DP_HTTP_LIMIT_SLOW);
      if (open && !is_overdue (connection, now))
        continue;
      if (open)
        close_connection (connections, connection, "dogwoodplank_http_idle_closed_total");
      forget_connection (connections, connection);
      g_hash_table_iter_remove (&iter);
    }
  make_room (connections);
  log_exceeded (connections, now);
  dp_counters_set (connections->options.counters, "dogwoodplank_http_connections", "listener",
                   connections->options.name, g_hash_table_size (connections->by_fd));
  update_listener (connections);
}

void
dp_http_connections_set_busy (DpHttpConnections *connections,
                              struct evhttp_connection *connection,
                              gboolean busy)
{
  struct evbuffer *input
    = bufferevent_get_input (evhttp_connection_get_bufferevent (connection));
  Connection *row = g_hash_table_lookup (connections->by_buffer, input);
  if (row == NULL)
    return;
  gsize read_ahead = evbuffer_get_length (input);
  if (busy)
    limit_input (row);
  else
    {
      end_pipelined (connections, row);
      bufferevent_setwatermark (row->bev, EV_READ, 0, 0);
    }
  if (busy)
    set_state (connections, row, CONNECTION_PROCESSING);
  else if (read_ahead == 0)
    set_state (connections, row, CONNECTION_IDLE);
  else
    {
      set_state (connections, row, CONNECTION_RECEIVING_HEAD);
      receive (connections, row, input, read_ahead);
      if (row->framing.stage == DP_HTTP_STAGE_COMPLETE)
        begin_pipelined (connections, row);
      if (row->rejection == DP_REASON_NONE || row->parked != NULL)
        return;
      g_ptr_array_add (connections->rejected, row);
      event_active (connections->rejected_event, EV_TIMEOUT, 0);
    }
}

static void
free_connection (gpointer data)
{
  Connection *connection = data;
  g_clear_pointer (&connection->parked, evbuffer_free);
  g_free (connection);
}

DpHttpConnections *
dp_http_connections_new (const DpHttpConnectionsOptions *options)
{
  DpHttpConnections *connections = g_new0 (DpHttpConnections, 1);
  connections->options = *options;
  connections->by_fd = g_hash_table_new_full (g_int_hash, g_int_equal, NULL, free_connection);
  connections->by_buffer = g_hash_table_new (NULL, NULL);
  connections->accepted = g_ptr_array_new ();
  connections->linger = dp_http_linger_new (options->base);
  connections->accepted_event = event_new (options->base, -1, 0, on_accepted, connections);
  connections->rejected = g_ptr_array_new ();
  connections->rejected_event = event_new (options->base, -1, 0, on_rejected, connections);
  connections->closing = g_ptr_array_new ();
  connections->closing_event = event_new (options->base, -1, 0, on_closing, connections);
  connections->paused = g_ptr_array_new ();
  connections->paused_event = event_new (options->base, -1, 0, on_pause_end, connections);
  connections->parked = g_queue_new ();
  connections->parking = g_ptr_array_new ();
  connections->parked_event = event_new (options->base, -1, 0, on_parked, connections);
  connections->room_event = event_new (options->base, -1, 0, on_room, connections);
  connections->sweep = event_new (options->base, -1, EV_PERSIST, on_sweep, connections);
  const struct timeval interval = { .tv_sec = SWEEP_INTERVAL_SECONDS };
  event_add (connections->sweep, &interval);
  evhttp_set_bevcb (options->http, on_accept, connections);
  return connections;
}

void
dp_http_connections_free (DpHttpConnections *connections)
{
  event_free (connections->sweep);
  event_free (connections->accepted_event);
  event_free (connections->rejected_event);
  event_free (connections->closing_event);
  event_free (connections->paused_event);
  event_free (connections->parked_event);
  event_free (connections->room_event);
  g_queue_free (connections->parked);
  g_ptr_array_unref (connections->parking);
  g_ptr_array_unref (connections->rejected);
  g_ptr_array_unref (connections->closing);
  g_ptr_array_unref (connections->paused);
  g_ptr_array_set_free_func (connections->accepted, g_free);
  g_ptr_array_unref (connections->accepted);
  g_hash_table_unref (connections->by_buffer);
  g_hash_table_unref (connections->by_fd);
  dp_http_linger_free (connections->linger);
  g_free (connections);
}

void
dp_http_connections_set_listener (DpHttpConnections *connections,
                                  struct evconnlistener *listener)
{
  connections->listener = listener;
}

/* Callers go on using an idle connection for most of the time that they know, or for most of a
 * longer one that is set meanwhile. */
static void
extend_timeout (const DpHttpConnections *connections, Connection *connection)
{
  DpUsec timeout = connections->options.idle_timeout;
  if (connection->state != CONNECTION_IDLE || timeout <= connection->timeout
      || !is_open (connection))
    return;
  connection->timeout = timeout;
  DpUsec read_timeout = dp_http_connections_read_timeout (connections);
  const struct timeval tv
    = { .tv_sec = read_timeout / DP_USEC_PER_SEC, .tv_usec = read_timeout % DP_USEC_PER_SEC };
  bufferevent_set_timeouts (connection->bev, &tv, NULL);
}

DpUsec
dp_http_connections_read_timeout (const DpHttpConnections *connections)
{
  return MAX (connections->options.read_timeout, connections->options.idle_timeout);
}

void
dp_http_connections_set_idle_timeout (DpHttpConnections *connections, DpUsec timeout)
{
  connections->options.idle_timeout = timeout;
  GHashTableIter iter;
  gpointer value;
  register_accepted (connections);
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    extend_timeout (connections, value);
}

void
dp_http_connections_set_head_max (DpHttpConnections *connections, gsize head_max)
{
  connections->options.head_max = head_max;
}

void
dp_http_connections_set_budgets (DpHttpConnections *connections, const DpHttpBudgets *budgets)
{
  connections->options.budgets = *budgets;
}

void
dp_http_connections_set_body_max (DpHttpConnections *connections, gsize body_max)
{
  connections->options.body_max = body_max;
}

void
dp_http_connections_release_body (DpHttpConnections *connections,
                                  struct evhttp_connection *connection)
{
  struct evbuffer *input
    = bufferevent_get_input (evhttp_connection_get_bufferevent (connection));
  Connection *row = g_hash_table_lookup (connections->by_buffer, input);
  if (row != NULL)
    release_body (connections, row);
}

void
dp_http_connections_set_head_timeout (DpHttpConnections *connections, DpUsec timeout)
{
  connections->options.head_timeout = timeout;
}

void
dp_http_connections_close_idle (DpHttpConnections *connections)
{
  GHashTableIter iter;
  gpointer value;
  register_accepted (connections);
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      gboolean open = is_open (connection);
      if (open && !is_idle (connection))
        continue;
      if (open)
        close_connection (connections, connection, "dogwoodplank_http_stop_closed_total");
      forget_connection (connections, connection);
      g_hash_table_iter_remove (&iter);
    }
}

gboolean
dp_http_connections_have_requests (DpHttpConnections *connections)
{
  GHashTableIter iter;
  gpointer value;
  register_accepted (connections);
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Connection *connection = value;
      if (is_open (connection) && !is_idle (connection))
        return TRUE;
    }
  return FALSE;
}

gboolean
dp_http_connections_have_unread (DpHttpConnections *connections)
{
  GHashTableIter iter;
  gpointer value;
  register_accepted (connections);
  g_hash_table_iter_init (&iter, connections->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Connection *connection = value;
      if (connection->state != CONNECTION_PROCESSING && is_open (connection)
          && has_unread_bytes (connection))
        return TRUE;
    }
  return FALSE;
}

void
dp_http_connections_linger (DpHttpConnections *connections,
                            struct evhttp_connection *connection)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  const Connection *row
    = g_hash_table_lookup (connections->by_buffer, bufferevent_get_input (bev));
  if (row != NULL && (evbuffer_get_length (row->input) > 0 || has_unread_bytes (row)))
    dp_http_linger_add (connections->linger, bufferevent_getfd (bev));
}

guint
dp_http_connections_lingering (const DpHttpConnections *connections)
{
  return dp_http_linger_count (connections->linger);
}
