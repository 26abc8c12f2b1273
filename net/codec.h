/* Messages between processes as MessagePack.
 *
 * A frame is an array [version, type, sender's VM, sender's role, body]; the body is a map with
 * small integers as member keys. Members with unknown keys, and elements after the body, are
 * ignored; members that are missing have the value 0. So processes of two releases understand
 * each other.
 *
 * Frames come from the network: every count, string and depth is bounded, and what is allocated
 * is bounded by the frame's length.
 */
#pragma once

#include "core/message.h"

#include <glib.h>

#define DP_CODEC_VERSION 1
/* Room for a manifest and its envelope. */
#define DP_CODEC_FRAME_BYTES_MAX (1024 * 1024 + 1024)
/* Rows of a view or of a probe's news. */
#define DP_CODEC_VMS_MAX 4096
/* Targets in one message. */
#define DP_CODEC_TARGETS_MAX 4096

#define DP_CODEC_ERROR (dp_codec_error_quark ())

typedef enum DpCodecError
{
  DP_CODEC_ERROR_MALFORMED, /* no MessagePack, or not of the frame's shape */
  DP_CODEC_ERROR_VERSION,   /* another version of the frame */
  DP_CODEC_ERROR_TYPE,      /* a message type that this release does not know */
  DP_CODEC_ERROR_VALUE,     /* a member of the wrong type or out of range */
  DP_CODEC_ERROR_TOO_LARGE, /* a count, string or frame over its limit */
} DpCodecError;

GQuark dp_codec_error_quark (void);

/* One frame. `from` is the sending process. Free with g_byte_array_unref(). */
GByteArray *dp_codec_encode (DpPeer from, const DpMessage *message);

/* Reads one frame. On success the caller owns `message` and clears it with
 * dp_message_clear(); on failure `message` is untouched. */
gboolean dp_codec_decode (
  const void *data, gsize length, DpPeer *from, DpMessage *message, GError **error);
