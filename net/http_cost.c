#include "net/http_cost.h"

/* evhttp's row of a field (32 bytes) and its name and value (at least 24 each), with the
 * allocator's headers; the call to a target holds them once more. */
#define FIELD_BYTES 224
/* Memory of a head that is counted with its connection. */
#define SHORT_HEAD_BYTES 4096
/* Fewer chunks or reads cost little, whatever their size. */
#define CHUNKS_MIN 256
#define READS_MIN 32
/* Handling a chunk or a read takes about as long as copying some hundreds of bytes. */
#define TINY_BYTES 64

const char *
dp_http_limit_name (DpHttpLimit limit)
{
  static const char *const names[] = {
    [DP_HTTP_LIMIT_NONE] = "none",     [DP_HTTP_LIMIT_BODIES] = "bodies",
    [DP_HTTP_LIMIT_HEADS] = "heads",   [DP_HTTP_LIMIT_CHUNKS] = "chunks",
    [DP_HTTP_LIMIT_UNREAD] = "unread", [DP_HTTP_LIMIT_SLOW] = "slow",
    [DP_HTTP_LIMIT_ROOM] = "room",
  };
  return names[limit];
}

gsize
dp_http_cost_head (const DpHttpCost *cost, const DpHttpFraming *framing)
{
  gsize fields = (gsize)framing->field_count + framing->trailer_count;
  gsize bytes = cost->head_bytes + fields * FIELD_BYTES;
  return bytes > SHORT_HEAD_BYTES ? bytes : 0;
}

gboolean
dp_http_cost_has_tiny_chunks (const DpHttpFraming *framing)
{
  return framing->chunk_count >= CHUNKS_MIN
         && framing->body_length / TINY_BYTES < framing->chunk_count;
}

gboolean
dp_http_cost_has_tiny_reads (const DpHttpCost *cost)
{
  return cost->reads >= READS_MIN && cost->bytes / TINY_BYTES < cost->reads;
}
