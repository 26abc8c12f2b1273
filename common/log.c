#include "common/log.h"

#include "common/clock.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Longer values are truncated, so that one line fits in one write(2). */
#define VALUE_BYTES_MAX 512

static DpLogOptions log_options = { .program = "dogwoodplank", .level = DP_LOG_INFO };
/* Token bucket of the rate limit; holds at most one second of lines. */
static double log_rate_tokens;
static gint64 log_rate_updated_at;
static guint64 log_dropped;

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
dp_log_configure (const DpLogOptions *options)
{
  log_options = *options;
  log_rate_tokens = options->lines_per_second;
  if (!options->to_stdout)
    return;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
dp_log_init (const char *program, DpLogLevel level)
{
  dp_log_configure (&(DpLogOptions){ .program = program, .level = level });
}

guint64
dp_log_dropped (void)
{
  return log_dropped;
}

/* Errors, warnings and notices are not rate-limited. */
static gboolean
rate_limit_allows (DpLogLevel level)
{
  if (level < DP_LOG_INFO || log_options.lines_per_second == 0)
    return TRUE;
  gint64 now = dp_clock_now ();
  double elapsed_seconds = (double)(now - log_rate_updated_at) / G_USEC_PER_SEC;
  log_rate_updated_at = now;
  log_rate_tokens = MIN (log_rate_tokens + elapsed_seconds * log_options.lines_per_second,
                         (double)log_options.lines_per_second);
  if (log_rate_tokens < 1)
    return FALSE;
  log_rate_tokens -= 1;
  return TRUE;
}

void
dp_log_format (GString *out, DpLogLevel level, const char *event, va_list pairs)
{
  g_string_append_printf (out, "<%d>program=%s event=%s", (int)level, log_options.program,
                          event);
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
  if (level > log_options.level)
    return;
  if (!rate_limit_allows (level))
    {
      log_dropped++;
      return;
    }
  GString *line = g_string_new (NULL);
  va_list pairs;
  va_start (pairs, event);
  dp_log_format (line, level, event, pairs);
  va_end (pairs);
  g_string_append_c (line, '\n');
  int out = log_options.to_stdout ? STDOUT_FILENO : STDERR_FILENO;
  if (write (out, line->str, line->len) < 0)
    log_dropped++;
  g_string_free (line, TRUE);
}
