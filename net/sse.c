#include "net/sse.h"

#include <string.h>

struct DpSse
{
  gsize event_max;
  GByteArray *buffer;     /* the incomplete event */
  gsize scanned;          /* bytes of `buffer` already searched for the end of the event */
  gboolean is_line_empty; /* nothing but CR since the last LF */
};

DpSse *
dp_sse_new (gsize event_max)
{
  DpSse *sse = g_new0 (DpSse, 1);
  sse->event_max = event_max;
  sse->buffer = g_byte_array_new ();
  return sse;
}

void
dp_sse_free (DpSse *sse)
{
  if (sse == NULL)
    return;
  g_byte_array_unref (sse->buffer);
  g_free (sse);
}

/* Continues the search. Returns the offset of the end of the event, or 0 if it is incomplete.
 */
static gsize
find_event_end (DpSse *sse)
{
  while (sse->scanned < sse->buffer->len)
    {
      guint8 byte = sse->buffer->data[sse->scanned++];
      if (byte == '\n' && sse->is_line_empty)
        return sse->scanned;
      if (byte == '\n')
        sse->is_line_empty = TRUE;
      else if (byte != '\r')
        sse->is_line_empty = FALSE;
    }
  return 0;
}

gboolean
dp_sse_push (DpSse *sse, const void *data, gsize length, DpSseEventFunc callback, gpointer user)
{
  g_byte_array_append (sse->buffer, data, (guint)length);
  gsize start = 0;
  gsize end;
  while ((end = find_event_end (sse)) != 0)
    {
      if (end - start > sse->event_max)
        return FALSE;
      if (!callback (user, (const char *)sse->buffer->data + start, end - start))
        return FALSE;
      start = end;
      sse->is_line_empty = FALSE;
    }
  g_byte_array_remove_range (sse->buffer, 0, (guint)start);
  sse->scanned -= start;
  return sse->buffer->len <= sse->event_max;
}

gboolean
dp_sse_is_empty (const DpSse *sse)
{
  return sse->buffer->len == 0;
}

gsize
dp_sse_length (const DpSse *sse)
{
  return sse->buffer->len;
}

static gboolean
read_number (const char *text, gsize length, guint64 *out)
{
  char digits[24];
  if (length >= sizeof digits)
    return FALSE;
  memcpy (digits, text, length);
  digits[length] = '\0';
  return strlen (digits) == length
         && g_ascii_string_to_unsigned (digits, 10, 0, G_MAXUINT64, out, NULL);
}

/* Returns the offset of the colon after the field's name, or -1 if the line is not a field. */
static gssize
find_colon (const char *line, gsize length)
{
  for (gsize i = 0; i < length; i++)
    if (line[i] == ':')
      return (gssize)i;
    else if (!g_ascii_islower (line[i]) && !g_ascii_isdigit (line[i]) && line[i] != '-'
             && line[i] != '_')
      break;
  return -1;
}

gboolean
dp_sse_read_id (const char *event, gsize length, guint64 *id)
{
  const char *end = event + length;
  gboolean has_id = FALSE;
  for (const char *line = event; line < end;)
    {
      const char *line_end = memchr (line, '\n', (gsize)(end - line));
      if (line_end == NULL)
        line_end = end;
      gsize size = (gsize)(line_end - line);
      if (size > 0 && line[size - 1] == '\r')
        size--;
      gssize colon = find_colon (line, size);
      if (colon < 0 && size > 0)
        return FALSE;
      if (colon == 2 && memcmp (line, "id", 2) == 0)
        {
          gsize value = 3;
          if (value < size && line[value] == ' ')
            value++;
          if (has_id || !read_number (line + value, size - value, id))
            return FALSE;
          has_id = TRUE;
        }
      line = line_end + 1;
    }
  return has_id;
}

const char *
dp_sse_data (const char *event, gsize length, gsize *data_length)
{
  const char *end = event + length;
  for (const char *line = event; line < end;)
    {
      const char *line_end = memchr (line, '\n', (gsize)(end - line));
      if (line_end == NULL)
        line_end = end;
      gsize size = (gsize)(line_end - line);
      if (size >= 5 && memcmp (line, "data:", 5) == 0)
        {
          const char *value = line + 5;
          if (value < line_end && *value == ' ')
            value++;
          if (line_end > value && line_end[-1] == '\r')
            line_end--;
          *data_length = (gsize)(line_end - value);
          return value;
        }
      line = line_end + 1;
    }
  return NULL;
}
