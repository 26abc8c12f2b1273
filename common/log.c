#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Longer values are cut, so that one line stays within one write(2). */
#define VALUE_BYTES_MAX 512

static const char *log_program = "dogwoodplank";
static DpLogLevel log_level = DP_LOG_INFO;

static gboolean
is_plain (const char *value)
{
  if (value[0] == '\0')
    return FALSE;
  for (const char *p = value; *p != '\0'; p++)
    {
      if (!g_ascii_isgraph (*p) || *p == '"' || *p == '\\' || *p == '=')
        return FALSE;
    }
  return TRUE;
}

void
dp_log_append_value (GString *out, const char *value)
{
  gsize length = strnlen (value, VALUE_BYTES_MAX);
  if (length < VALUE_BYTES_MAX && is_plain (value))
    {
      g_string_append (out, value);
      return;
    }
  g_string_append_c (out, '"');
  for (gsize i = 0; i < length; i++)
    {
      unsigned char c = (unsigned char)value[i];
      if (c == '"' || c == '\\')
        g_string_append_printf (out, "\\%c", c);
      else if (c < 0x20 || c >= 0x7f)
        g_string_append_printf (out, "\\x%02x", c);
      else
        g_string_append_c (out, (char)c);
    }
  g_string_append_c (out, '"');
}

void
dp_log_init (const char *program, DpLogLevel level)
{
  log_program = program;
  log_level = level;
}

void
dp_log_format (GString *out, DpLogLevel level, const char *event, va_list pairs)
{
  g_string_append_printf (out, "<%d>program=%s event=%s", (int)level, log_program, event);
  for (;;)
    {
      const char *key = va_arg (pairs, const char *);
      if (key == NULL)
        break;
      const char *value = va_arg (pairs, const char *);
      if (value == NULL)
        continue;
      g_string_append_printf (out, " %s=", key);
      dp_log_append_value (out, value);
    }
}

void
dp_log (DpLogLevel level, const char *event, ...)
{
  if (level > log_level)
    return;
  GString *line = g_string_new (NULL);
  va_list pairs;
  va_start (pairs, event);
  dp_log_format (line, level, event, pairs);
  va_end (pairs);
  g_string_append_c (line, '\n');
  ssize_t written = write (STDERR_FILENO, line->str, line->len);
  (void)written;
  g_string_free (line, TRUE);
}
