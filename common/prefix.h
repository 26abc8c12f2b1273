/* Chained hashes of a prompt's leading blocks, for routing to a target that has them cached.
 *
 * Block i covers bytes [i * DP_PREFIX_BLOCK_BYTES, (i + 1) * DP_PREFIX_BLOCK_BYTES) of the
 * text; its hash is seeded with the hash of the block before. A last block that is not full is
 * left out.
 */
#pragma once

#include <glib.h>

#define DP_PREFIX_BLOCK_TOKENS 64
/* Bytes of text that count as one token where nobody has counted. */
#define DP_BYTES_PER_TOKEN 4
#define DP_PREFIX_BLOCK_BYTES ((gsize)DP_PREFIX_BLOCK_TOKENS * DP_BYTES_PER_TOKEN)

/* Writes at most `max` hashes; returns how many. */
guint dp_prefix_blocks (const char *text, gsize length, guint64 *out, guint max);

/* Estimated tokens of a text, at least 1. */
guint dp_prefix_tokens (gsize length);
