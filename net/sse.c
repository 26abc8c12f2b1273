#include "net/sse.h"

#include <string.h>

struct DpSse
{
  gsize event_max;
  GByteArray *held;    /* bytes of the event that is not complete yet */
  gsize scanned;       /* bytes of `held` known not to end the event */
  gboolean line_empty; /* nothing but CR since the last LF */
};

DpSse *
dp_sse_new (gsize event_max)
{
  DpSse *sse = g_new0 (DpSse, 1);
  sse->event_max = event_max;
  sse->held = g_byte_array_new ();
  return sse;
}

void
dp_sse_free (DpSse *sse)
{
  if (sse == NULL)
    return;
  g_byte_array_unref (sse->held);
  g_free (sse);
}

/* Scans on; returns the length of the event if it is complete, else 0. */
static gsize
find_end (DpSse *sse)
{
  while (sse->scanned < sse->held->len)
    {
      guint8 byte = sse->held->data[sse->scanned++];
      if (byte == '\n' && sse->line_empty)
        return sse->scanned;
      if (byte == '\n')
        sse->line_empty = TRUE;
      else if (byte != '\r')
        sse->line_empty = FALSE;
    }
  return 0;
}

gboolean
dp_sse_push (DpSse *sse, const void *data, gsize length, DpSseEvent callback, gpointer user)
{
  g_byte_array_append (sse->held, data, (guint)length);
  gsize start = 0;
  gsize end;
  while ((end = find_end (sse)) != 0)
    {
      if (end - start > sse->event_max)
        return FALSE;
      callback (user, (const char *)sse->held->data + start, end - start);
      start = end;
      sse->line_empty = FALSE;
    }
  g_byte_array_remove_range (sse->held, 0, (guint)start);
  sse->scanned -= start;
  return sse->held->len <= sse->event_max;
}

gboolean
dp_sse_is_empty (const DpSse *sse)
{
  return sse->held->len == 0;
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
