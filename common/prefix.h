/* Chained hashes of the leading blocks of a prompt, used to route to a target that has the
 * prefix cached.
 *
 * Block i covers bytes [i * DP_PREFIX_BLOCK_BYTES, (i + 1) * DP_PREFIX_BLOCK_BYTES) of the
 * text; its hash is seeded with the hash of the previous block. An incomplete last block is
 * ignored.
 */
#pragma once

#include <glib.h>

#define DP_PREFIX_BLOCK_TOKENS 64
/* Estimated bytes of text per token, used where the token count is unknown. */
#define DP_BYTES_PER_TOKEN 4
#define DP_PREFIX_BLOCK_BYTES ((gsize)DP_PREFIX_BLOCK_TOKENS * DP_BYTES_PER_TOKEN)

/* Writes at most `max` block hashes to `out`. Returns their number. */
guint dp_prefix_hash_blocks (const char *text, gsize length, guint64 *out, guint max);

/* Estimates the tokens of a text of `length` bytes; at least 1. */
guint dp_prefix_estimate_tokens (gsize length);
