/* MessagePack encoding of the messages between processes.
 *
 * A frame is an array [version, type, sender's VM, sender's role, body]; the body is a map from
 * small integer keys to members. For compatibility between releases, unknown keys and elements
 * after the body are ignored, and missing members decode as 0.
 *
 * Frames come from the network and are untrusted: counts, string lengths and nesting depth are
 * limited, and the memory allocated is bounded by the frame's length.
 */
#pragma once

#include "core/message.h"

#include <glib.h>

#define DP_CODEC_VERSION 1
/* Fits a manifest of DP_MANIFEST_BYTES_MAX and the frame around it. */
#define DP_CODEC_FRAME_BYTES_MAX (1024 * 1024 + 1024)
/* VMs in a view or in a probe's updates. */
#define DP_CODEC_VMS_MAX 4096
/* Targets per message. */
#define DP_CODEC_TARGETS_MAX 4096
/* Orders to roll out versions per message; one for each pool. */
#define DP_CODEC_ROLLOUTS_MAX 256

/* Longer durations, of which G_MAXINT64 stands for never, are decoded as this: sums with times
 * stay in range. */
#define DP_CODEC_DURATION_MAX (G_MAXINT64 / 8)

#define DP_CODEC_ERROR (dp_codec_error_quark ())

typedef enum DpCodecError
{
  DP_CODEC_ERROR_MALFORMED, /* not MessagePack, or not a valid frame */
  DP_CODEC_ERROR_VERSION,   /* unsupported frame version */
  DP_CODEC_ERROR_TYPE,      /* unknown message type */
  DP_CODEC_ERROR_VALUE,     /* a member of the wrong type or out of range */
  DP_CODEC_ERROR_TOO_LARGE, /* a count, string or frame exceeds its limit */
} DpCodecError;

GQuark dp_codec_error_quark (void);

/* Returns `message` as one frame sent by `from`. Free with g_byte_array_unref(). */
GByteArray *dp_codec_encode (DpPeer from, const DpMessage *message);

/* Decodes one frame. On success the caller owns `message` and must clear it with
 * dp_message_clear(). On failure sets a DpCodecError and leaves `from` and `message`
 * unchanged. */
gboolean dp_codec_decode (
  const void *data, gsize length, DpPeer *from, DpMessage *message, GError **error);

/* Rows of lists that are sent as opaque text, see core/row_sync/. */
typedef enum DpCodecRow
{
  DP_CODEC_ROW_TARGET, /* DpTargetRecord */
  DP_CODEC_ROW_VM,     /* DpVm */
} DpCodecRow;

/* Returns the row as text. Free with g_byte_array_unref(). */
GByteArray *dp_codec_encode_row (DpCodecRow type, const void *row);

/* Sets the row's struct, as dp_codec_decode() sets a message. On failure sets a DpCodecError;
 * the struct then has some of the members. */
gboolean dp_codec_decode_row (
  DpCodecRow type, const void *data, gsize length, void *row, GError **error);
