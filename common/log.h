/* Log lines: one line of key=value pairs for each event, on standard error, or on standard
 * output for the system's own processes.
 *
 * A line starts with the syslog priority in angle brackets, then program and event:
 *   <6>program=dogwoodplank-entry event=listening address=127.0.0.1:8080
 * Values that hold spaces, quotes or control characters are quoted and escaped, so that text
 * from outside can't start a new line or a new pair.
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

/* Sets the program's name and the least severe level that is written. Call once in main(). */
void dp_log_init (const char *program, DpLogLevel level);

typedef struct DpLogOptions
{
  const char *program;
  DpLogLevel level;       /* the least severe that is written */
  gboolean to_output;     /* standard output instead of standard error */
  guint lines_per_second; /* of INFO and DEBUG; further ones are counted only; 0: no bound */
} DpLogOptions;

/* The same with more choice. Writing to standard output never blocks: what its reader does not
 * take is dropped and counted. */
void dp_log_configure (const DpLogOptions *options);

/* Lines that were dropped, by the bound or by a slow reader. */
guint64 dp_log_dropped (void);

/* Writes one line. Arguments: pairs of key and string value, ended by NULL. A NULL value skips
 * its pair. Numbers are formatted by the caller. */
void dp_log (DpLogLevel level, const char *event, ...) G_GNUC_NULL_TERMINATED;

/* Appends the line that dp_log() would write, without the newline. */
void dp_log_format (GString *out, DpLogLevel level, const char *event, va_list pairs);

/* Appends `value`, quoted and escaped where it has to be. */
void dp_log_append_value (GString *out, const char *value);
