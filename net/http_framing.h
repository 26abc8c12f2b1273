/* Finds where HTTP/1.1 requests begin and end, without keeping them.
 *
 * evhttp accepts much that RFC 9112 forbids: field names that aren't tokens, line ends without
 * CR, several lengths, chunk sizes with a sign. Another parser may delimit such a request
 * differently and take a part of its body for a request of its own (request smuggling). This
 * parser accepts nothing that is ambiguous; the server rejects what it doesn't accept.
 */
#pragma once

#include <glib.h>

/* What is wrong with a request. */
typedef enum DpHttpFault
{
  DP_HTTP_FAULT_NONE,
  DP_HTTP_FAULT_REQUEST_LINE,
  DP_HTTP_FAULT_FIELD_NAME,  /* not a token, or a folded line */
  DP_HTTP_FAULT_FIELD_VALUE, /* has control bytes */
  DP_HTTP_FAULT_LINE_END,    /* not CR LF */
  DP_HTTP_FAULT_LENGTH,      /* Content-Length that is invalid, or not the only statement */
  DP_HTTP_FAULT_CODING,      /* Transfer-Encoding other than chunked */
  DP_HTTP_FAULT_BODY,        /* the method has none */
  DP_HTTP_FAULT_CHUNK,       /* invalid size line or end of a chunk */
  DP_HTTP_FAULT_END,         /* evhttp found the end elsewhere */
} DpHttpFault;

typedef enum DpHttpFramingStage
{
  DP_HTTP_STAGE_METHOD,
  DP_HTTP_STAGE_TARGET,
  DP_HTTP_STAGE_VERSION,
  DP_HTTP_STAGE_FIELD_START, /* of a field, or of the empty line that ends the head or the
                                trailers */
  DP_HTTP_STAGE_FIELD_NAME,
  DP_HTTP_STAGE_FIELD_VALUE,
  DP_HTTP_STAGE_BODY,
  DP_HTTP_STAGE_CHUNK_SIZE,
  DP_HTTP_STAGE_CHUNK_EXTENSION,
  DP_HTTP_STAGE_CHUNK_DATA,
  DP_HTTP_STAGE_CHUNK_END,
  DP_HTTP_STAGE_COMPLETE,
  DP_HTTP_STAGE_INVALID,
} DpHttpFramingStage;

/* Longest text that is compared; what is longer is none of the known names and values. */
#define DP_HTTP_WORD_MAX 24

/* State of one request; all zero: nothing was received. */
typedef struct DpHttpFraming
{
  DpHttpFramingStage stage;
  DpHttpFault fault;
  gboolean has_cr; /* the last byte of a line was CR */
  gboolean has_body;
  gboolean is_chunked;
  gboolean is_in_trailers;
  gboolean is_old_version; /* HTTP/1.0 */
  guint field_count;       /* header fields, without trailers */
  guint trailer_count;
  guint chunk_count;
  guint framing_fields; /* Content-Length and Transfer-Encoding */
  guint digits;         /* of the chunk size */
  guint64 remaining;    /* bytes of the body or the chunk */
  guint64 body_length;  /* as announced so far: the length, or the sum of the chunks */
  /* the text that is being received: method, version, name, value */
  char word[DP_HTTP_WORD_MAX];
  gsize word_length; /* may exceed DP_HTTP_WORD_MAX */
  char name[DP_HTTP_WORD_MAX];
  gsize name_length;
} DpHttpFraming;

/* Reads up to the end of the request, or up to what is wrong with it. Returns the number of
 * bytes read. */
gsize dp_http_framing_read (DpHttpFraming *framing, const char *data, gsize length);

/* Skips up to `length` bytes of a body. Returns their number. */
gsize dp_http_framing_skip (DpHttpFraming *framing, gsize length);

/* TRUE once the head was received. */
gboolean dp_http_framing_has_head (const DpHttpFraming *framing);

/* Name for logs, such as "field_name". */
const char *dp_http_fault_name (DpHttpFault fault);

/* TRUE if the text is a token (RFC 9110, 5.6.2). */
gboolean dp_http_is_token (const char *text);
/* TRUE if the text has no control bytes but tabs. */
gboolean dp_http_is_field_value (const char *text);
