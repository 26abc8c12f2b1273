/* The members of each message on the wire: one table a message, read by encoder and decoder. */
#pragma once

#include "core/message.h"

#include <glib.h>

typedef enum DpFieldKind
{
  DP_FIELD_UINT, /* guint; also enums and gbooleans, bounded by `max` */
  DP_FIELD_UINT64,
  DP_FIELD_USEC,    /* DpUsec, not negative */
  DP_FIELD_ID,      /* DpId, as 16 bytes */
  DP_FIELD_TEXT,    /* char[max], NUL-terminated */
  DP_FIELD_BYTES,   /* GBytes *, at most `max` bytes */
  DP_FIELD_UINTS,   /* guint[max] and its count at `count_offset` */
  DP_FIELD_UINT64S, /* guint64[max] and its count at `count_offset` */
  DP_FIELD_ROWS,    /* struct[max] of `rows`, and its count at `count_offset` */
  DP_FIELD_ARRAY,   /* GArray * of `rows`, at most `max` */
} DpFieldKind;

typedef struct DpFieldTable DpFieldTable;

typedef struct DpField
{
  guint key; /* member key; never used again for anything else */
  DpFieldKind kind;
  gsize offset;
  guint64 max;
  gsize count_offset;
  const DpFieldTable *rows;
} DpField;

struct DpFieldTable
{
  gsize size; /* bytes of the struct */
  guint count;
  const DpField *fields;
};

/* The members of that message, as offsets into DpMessage. NULL for an unknown type. */
const DpFieldTable *dp_codec_fields (DpMessageType type);
