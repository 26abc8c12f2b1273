/* Real processes for tests: start, signal, stop by process id, and wait for events.
 *
 * Every wait has an upper bound and ends as soon as its event has come. Processes that are
 * still there at process_free() are killed.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef struct Process Process;

typedef struct ProcessOptions
{
  const char *const *argv; /* NULL-terminated; argv[0] is the program's path */
  const char *log_path;    /* standard error is appended there */
  const char *out_path;    /* standard output; NULL: dropped */
} ProcessOptions;

/* Starts a program; fails the test if that can't be done. */
Process *process_start (const ProcessOptions *options);
void process_free (Process *process);

void process_signal (Process *process, int number);
gboolean process_is_running (Process *process);

/* Waits for the end. TRUE if it came in time; `status` as of waitpid(), may be NULL. */
gboolean process_wait (Process *process, DpUsec timeout, int *status);

/* SIGTERM, then SIGKILL if it takes longer than `timeout`. TRUE if SIGTERM was enough and the
 * exit code was 0. */
gboolean process_stop (Process *process, DpUsec timeout);

/* Waits until a connection to IP:PORT is accepted. */
gboolean wait_for_port (const char *address, guint16 port, DpUsec timeout);

/* One HTTP exchange. The answer's body, or NULL if none came; free with g_free(). `status`
 * receives the HTTP status, may be NULL. `headers` are lines ended by "\r\n", may be NULL. */
char *http_exchange (const char *method,
                     const char *address,
                     guint16 port,
                     const char *path,
                     const char *headers,
                     const char *body,
                     int *status);

/* Number behind "NAME": in a JSON body, or behind "NAME " in Prometheus' text; -1 if it isn't
 * there. */
gint64 number_in (const char *text, const char *name);

/* Waits until the number found at that path is at least `wanted`. */
gboolean wait_for_number (const char *address,
                          guint16 port,
                          const char *path,
                          const char *name,
                          gint64 wanted,
                          DpUsec timeout);
