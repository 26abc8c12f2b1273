/* Child processes for tests: start, signal and stop them by process id, and wait for events.
 *
 * Every wait has a timeout and returns as soon as its event occurs.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef struct Process Process;

typedef struct ProcessOptions
{
  const char *const *argv; /* NULL-terminated; argv[0] is the program's path */
  const char *log_path;    /* standard error is appended to it */
  const char *out_path;    /* receives standard output; NULL: appended to `log_path` */
} ProcessOptions;

/* Starts a program. Fails the test if it can't fork. The process is killed when its parent
 * ends. */
Process *process_start (const ProcessOptions *options);
/* Kills the process if it still runs. */
void process_free (Process *process);

void process_signal (Process *process, int number);
/* A number in /proc/PID/status, such as "VmHWM" in kB; -1 if there is none. */
gint64 process_status_number (const Process *process, const char *name);
/* Open file descriptors; -1 if the process has ended. */
gint process_count_descriptors (const Process *process);
/* TRUE if the program blocks, ignores or catches the signal. Before main(), nothing can keep a
 * signal from ending it. */
gboolean process_handles_signal (const Process *process, int number);
gboolean process_is_running (Process *process);

/* Waits until the process exits. FALSE on timeout. `status` is as of waitpid(), may be NULL. */
gboolean process_wait (Process *process, DpUsec timeout, int *status);

/* Sends SIGTERM, then SIGKILL after `timeout`. TRUE if it exited in time with code 0. */
gboolean process_stop (Process *process, DpUsec timeout);

/* Waits until a connection to ADDRESS:PORT succeeds. FALSE on timeout. */
gboolean wait_for_port (const char *address, guint16 port, DpUsec timeout);

/* Sends one HTTP request. Returns the response body, or NULL if there was no response; free
 * with g_free(). `status` receives the HTTP status of a response, may be NULL. `headers` are
 * lines that end in "\r\n", may be NULL. */
char *http_exchange (const char *method,
                     const char *address,
                     guint16 port,
                     const char *path,
                     const char *headers,
                     const char *body,
                     int *status);

/* Returns the number after "NAME": in JSON, or after NAME and a space in the Prometheus text
 * format; -1 if it isn't found. */
gint64 find_number (const char *text, const char *name);

/* Waits until find_number() in the response to GET `path` is at least `wanted`. FALSE on
 * timeout. */
gboolean wait_for_number (const char *address,
                          guint16 port,
                          const char *path,
                          const char *name,
                          gint64 wanted,
                          DpUsec timeout);
