#include "net/frame_check.h"

/* Decoded header of one MessagePack value. */
typedef struct ValueHeader
{
  gsize payload;  /* bytes after the header, without nested values */
  guint64 values; /* direct children: array elements, map keys and values */
} ValueHeader;

typedef struct Reader
{
  const guint8 *data;
  gsize length;
  gsize offset;
} Reader;

static gboolean
read_number (Reader *reader, guint bytes, guint64 *out)
{
  if (reader->length - reader->offset < bytes)
    return FALSE;
  *out = 0;
  for (guint i = 0; i < bytes; i++)
    *out = *out << 8 | reader->data[reader->offset++];
  return TRUE;
}

/* Reads a payload length of `bytes` bytes. */
static gboolean
read_payload_length (Reader *reader, guint bytes, ValueHeader *header)
{
  guint64 size;
  if (!read_number (reader, bytes, &size))
    return FALSE;
  header->payload = size;
  return TRUE;
}

/* Reads an element count of `bytes` bytes; each element has `values_per_element` values. */
static gboolean
read_element_count (Reader *reader, guint bytes, guint values_per_element, ValueHeader *header)
{
  guint64 count;
  if (!read_number (reader, bytes, &count))
    return FALSE;
  header->values = count * values_per_element;
  return TRUE;
}

static gboolean
read_format_header (Reader *reader, guint8 byte, ValueHeader *header)
{
  switch (byte)
    {
    case 0xc0: /* nil */
    case 0xc2: /* false */
    case 0xc3: /* true */
      return TRUE;
    case 0xc4: /* bin 8, 16, 32 */
    case 0xc5:
    case 0xc6:
      return read_payload_length (reader, 1U << (byte - 0xc4), header);
    case 0xca: /* float 32, 64 */
    case 0xcb:
      header->payload = (gsize)4 << (byte - 0xca);
      return TRUE;
    case 0xcc: /* uint 8, 16, 32, 64 */
    case 0xcd:
    case 0xce:
    case 0xcf:
      header->payload = (gsize)1 << (byte - 0xcc);
      return TRUE;
    case 0xd0: /* int 8, 16, 32, 64 */
    case 0xd1:
    case 0xd2:
    case 0xd3:
      header->payload = (gsize)1 << (byte - 0xd0);
      return TRUE;
    case 0xd9: /* str 8, 16, 32 */
    case 0xda:
    case 0xdb:
      return read_payload_length (reader, 1U << (byte - 0xd9), header);
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      return read_element_count (reader, 2U << (byte - 0xdc), 1, header);
    case 0xde: /* map 16, 32 */
    case 0xdf:
      return read_element_count (reader, 2U << (byte - 0xde), 2, header);
    default: /* 0xc1 is never used; the others are extension types */
      return FALSE;
    }
}

static gboolean
read_header (Reader *reader, ValueHeader *header)
{
  guint64 byte;
  if (!read_number (reader, 1, &byte))
    return FALSE;
  if (byte <= 0x7f || byte >= 0xe0) /* positive and negative fixint */
    return TRUE;
  if (byte <= 0x8f)
    header->values = 2 * (byte & 0x0f);
  else if (byte <= 0x9f)
    header->values = byte & 0x0f;
  else if (byte <= 0xbf)
    header->payload = byte & 0x1f;
  else
    return read_format_header (reader, (guint8)byte, header);
  return TRUE;
}

gboolean
dp_frame_check (const void *data, gsize length)
{
  Reader reader = { .data = data, .length = length };
  guint64 remaining[DP_FRAME_DEPTH_MAX + 1] = { 1 }; /* unread values at each depth */
  guint depth = 0;
  guint64 values = 1;
  for (;;)
    {
      while (remaining[depth] == 0)
        {
          if (depth == 0)
            return reader.offset == length;
          depth--;
        }
      remaining[depth]--;
      ValueHeader header = { 0 };
      if (!read_header (&reader, &header))
        return FALSE;
      gsize left = length - reader.offset;
      if (header.payload > left || header.values > left)
        return FALSE;
      values += header.values;
      if (values > DP_FRAME_VALUES_MAX)
        return FALSE;
      reader.offset += header.payload;
      if (header.values == 0)
        continue;
      if (depth == DP_FRAME_DEPTH_MAX)
        return FALSE;
      remaining[++depth] = header.values;
    }
}
