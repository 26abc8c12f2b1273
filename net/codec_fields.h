/* Describes the members of each message on the wire: one table per message type, used by both
 * encoder and decoder. */
#pragma once

#include "core/message.h"
#include "net/codec.h"

#include <glib.h>

typedef enum DpFieldKind
{
  DP_FIELD_UINT, /* guint, enum or gboolean, at most `max` */
  DP_FIELD_UINT64,
  DP_FIELD_USEC,          /* DpUsec from 0 to DP_CODEC_DURATION_MAX */
  DP_FIELD_ID,            /* DpId, as 16 bytes */
  DP_FIELD_STRING,        /* char[max], NUL-terminated */
  DP_FIELD_BYTES,         /* GBytes *, at most `max` bytes */
  DP_FIELD_UINTS,         /* guint[max], element count at `count_offset` */
  DP_FIELD_UINT64S,       /* guint64[max], element count at `count_offset` */
  DP_FIELD_STRUCTS,       /* struct[max], element count at `count_offset` */
  DP_FIELD_GARRAY,        /* GArray * of structs, at most `max` elements */
  DP_FIELD_UINT64_GARRAY, /* GArray * of guint64, at most `max` elements */
} DpFieldKind;

typedef struct DpFieldTable DpFieldTable;

typedef struct DpField
{
  guint key; /* key in the wire map; never reused for another member */
  DpFieldKind kind;
  gsize offset; /* of the member in its struct */
  guint64 max;  /* largest value, size or element count, by kind */
  gsize count_offset;
  const DpFieldTable *element_table; /* of arrays of structs; else NULL */
} DpField;

struct DpFieldTable
{
  gsize size; /* sizeof the struct */
  guint count;
  const DpField *fields;
};

/* Returns the fields of a message type, with offsets into DpMessage, or NULL if unknown. */
const DpFieldTable *dp_codec_fields (DpMessageType type);
/* Returns the fields of a row, with offsets into its struct. */
const DpFieldTable *dp_codec_row_fields (DpCodecRow type);
