/* What a request costs the server beyond its useful bytes: memory of its header fields, and
 * work for very small reads and chunks.
 *
 * evhttp keeps each header field in three blocks and handles each chunk and each read on its
 * own, so that a request within the limits on bytes may take many times its size, or the whole
 * processor. No I/O.
 */
#pragma once

#include "net/http_framing.h"

#include <glib.h>

/* Which limit a request or connection exceeds. */
typedef enum DpHttpLimit
{
  DP_HTTP_LIMIT_NONE,
  DP_HTTP_LIMIT_BODIES, /* bytes of the bodies of all requests */
  DP_HTTP_LIMIT_HEADS,  /* memory of the heads of all requests */
  DP_HTTP_LIMIT_CHUNKS, /* requests at a time with bodies in very small chunks */
  DP_HTTP_LIMIT_UNREAD, /* unread responses of all connections */
  DP_HTTP_LIMIT_SLOW,   /* the caller reads too slowly */
  DP_HTTP_LIMIT_ROOM,   /* at the limit of connections, it was the slowest */
  DP_HTTP_LIMITS,
} DpHttpLimit;

/* State of one request; all zero: nothing was received. */
typedef struct DpHttpCost
{
  guint reads;
  gsize bytes;      /* of all reads */
  gsize head_bytes; /* of the request line and the header fields */
} DpHttpCost;

/* Name for logs, such as "heads". */
const char *dp_http_limit_name (DpHttpLimit limit);

/* Memory of the request's head and trailers, as the parser and a call to a target store them.
 * 0 if it is so short that it is counted with its connection. */
gsize dp_http_cost_head (const DpHttpCost *cost, const DpHttpFraming *framing);

/* TRUE if the body consists of many chunks that are very small on average. */
gboolean dp_http_cost_has_tiny_chunks (const DpHttpFraming *framing);

/* TRUE if the request arrives in many reads that are very small on average. */
gboolean dp_http_cost_has_tiny_reads (const DpHttpCost *cost);
