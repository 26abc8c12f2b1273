/* Checks raw MessagePack before it is unpacked.
 *
 * msgpack_unpack_next() allocates what an array's or map's header claims before it has seen the
 * elements: five hostile bytes can ask for gigabytes. A checked frame holds at least one byte
 * for each element that it claims.
 */
#pragma once

#include <glib.h>

#define DP_FRAME_DEPTH_MAX 8
/* Values in one frame, nested ones included: a view of DP_CODEC_VMS_MAX rows fits. */
#define DP_FRAME_VALUES_MAX 65536

/* TRUE if `data` is exactly one well-formed MessagePack value, nested at most
 * DP_FRAME_DEPTH_MAX deep, of at most DP_FRAME_VALUES_MAX values, without extension types. */
gboolean dp_frame_check (const void *data, gsize length);
