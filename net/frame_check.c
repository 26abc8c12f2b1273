#include "net/frame_check.h"

/* What one value's header says. */
typedef struct Header
{
  gsize payload;  /* bytes of the value itself after the header */
  guint64 values; /* values nested in it */
} Header;

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

/* A length of `bytes` bytes, followed by that many bytes. */
static gboolean
read_sized (Reader *reader, guint bytes, Header *header)
{
  guint64 size;
  if (!read_number (reader, bytes, &size))
    return FALSE;
  header->payload = size;
  return TRUE;
}

/* A count of `bytes` bytes, followed by that many times `per_item` values. */
static gboolean
read_counted (Reader *reader, guint bytes, guint per_item, Header *header)
{
  guint64 count;
  if (!read_number (reader, bytes, &count))
    return FALSE;
  header->values = count * per_item;
  return TRUE;
}

static gboolean
read_typed_header (Reader *reader, guint8 byte, Header *header)
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
      return read_sized (reader, 1U << (byte - 0xc4), header);
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
      return read_sized (reader, 1U << (byte - 0xd9), header);
    case 0xdc: /* array 16, 32 */
    case 0xdd:
      return read_counted (reader, 2U << (byte - 0xdc), 1, header);
    case 0xde: /* map 16, 32 */
    case 0xdf:
      return read_counted (reader, 2U << (byte - 0xde), 2, header);
    default: /* 0xc1 is unused, the rest are extension types */
      return FALSE;
    }
}

static gboolean
read_header (Reader *reader, Header *header)
{
  guint64 byte;
  if (!read_number (reader, 1, &byte))
    return FALSE;
  if (byte <= 0x7f || byte >= 0xe0) /* small integers */
    return TRUE;
  if (byte <= 0x8f)
    header->values = 2 * (byte & 0x0f);
  else if (byte <= 0x9f)
    header->values = byte & 0x0f;
  else if (byte <= 0xbf)
    header->payload = byte & 0x1f;
  else
    return read_typed_header (reader, (guint8)byte, header);
  return TRUE;
}

gboolean
dp_frame_check (const void *data, gsize length)
{
  Reader reader = { .data = data, .length = length };
  guint64 open[DP_FRAME_DEPTH_MAX + 1] = { 1 }; /* values still to come, by depth */
  guint depth = 0;
  guint64 values = 1;
  for (;;)
    {
      while (open[depth] == 0)
        {
          if (depth == 0)
            return reader.offset == length;
          depth--;
        }
      open[depth]--;
      Header header = { 0 };
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
      open[++depth] = header.values;
    }
}
