/* Structured logging: one line of key=value pairs per event, on standard error or, if so
 * configured, on standard output.
 *
 * A line starts with the syslog priority in angle brackets, followed by program and event:
 *   <6>program=dogwoodplank-entry event=listening address=127.0.0.1:8080
 * Values with spaces, quotes, backslashes, '=', control or non-ASCII characters are quoted and
 * escaped, so that untrusted text can't inject a line or a pair.
 */
#pragma once

#include <glib.h>

/* Severities of syslog(3). */
typedef enum DpLogLevel
{
  DP_LOG_ERROR = 3,
  DP_LOG_WARNING = 4,
  DP_LOG_NOTICE = 5,
  DP_LOG_INFO = 6,
  DP_LOG_DEBUG = 7,
} DpLogLevel;

/* Sets the program name and the least severe level to write. Call once from main(). */
void dp_log_init (const char *program, DpLogLevel level);

typedef struct DpLogOptions
{
  const char *program;
  DpLogLevel level;       /* the least severe level to write */
  gboolean to_stdout;     /* write to standard output instead of standard error */
  guint lines_per_second; /* limit for INFO and DEBUG; excess is dropped; 0: unlimited */
} DpLogOptions;

/* Like dp_log_init(), with all options. If standard output is used, it becomes non-blocking:
 * lines are dropped and counted when its reader is too slow. */
void dp_log_configure (const DpLogOptions *options);

/* Number of lines dropped because of the rate limit or a failed write. */
guint64 dp_log_dropped (void);

/* Writes one line. The arguments are pairs of key and string value, terminated by NULL. Pairs
 * with a NULL value are skipped. Numbers are formatted by the caller. */
void dp_log (DpLogLevel level, const char *event, ...) G_GNUC_NULL_TERMINATED;

/* Appends the line that dp_log() would write, without the final newline. */
void dp_log_format (GString *out, DpLogLevel level, const char *event, va_list pairs);

/* Appends `value`, quoted and escaped if necessary, and truncated if too long. */
void dp_log_append_value (GString *out, const char *value);
