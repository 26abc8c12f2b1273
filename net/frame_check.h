/* Validates raw MessagePack before it is unpacked.
 *
 * msgpack_unpack_next() allocates memory for the element count in an array's or map's header
 * before it reads the elements, so five malicious bytes could make it allocate gigabytes. A
 * frame that passes has at least one byte for each element that its headers declare.
 */
#pragma once

#include <glib.h>

#define DP_FRAME_DEPTH_MAX 8
/* Values per frame, including nested ones; a view of up to 3448 VMs fits. */
#define DP_FRAME_VALUES_MAX 65536

/* Returns whether `data` is exactly one well-formed MessagePack value without extension types,
 * nested at most DP_FRAME_DEPTH_MAX deep and with at most DP_FRAME_VALUES_MAX values. */
gboolean dp_frame_check (const void *data, gsize length);
