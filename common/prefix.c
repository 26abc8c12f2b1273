#include "common/prefix.h"

#include "common/id.h"

guint
dp_prefix_hash_blocks (const char *text, gsize length, guint64 *out, guint max)
{
  guint64 hash = 0;
  guint count = 0;
  for (gsize at = 0; count < max && at + DP_PREFIX_BLOCK_BYTES <= length;
       at += DP_PREFIX_BLOCK_BYTES)
    {
      hash = dp_hash_bytes (text + at, DP_PREFIX_BLOCK_BYTES, hash);
      out[count] = hash;
      count++;
    }
  return count;
}

guint
dp_prefix_estimate_tokens (gsize length)
{
  gsize tokens = (length + DP_BYTES_PER_TOKEN - 1) / DP_BYTES_PER_TOKEN;
  return (guint)MAX (tokens, 1);
}
