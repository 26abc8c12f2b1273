#include "tests/process.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

/* Poll interval for conditions that send no notification. */
#define POLL_INTERVAL_MSEC 5
#define EXCHANGE_TIMEOUT_MSEC 5000

struct Process
{
  pid_t pid;
  int pidfd; /* becomes readable when the process exits */
  gboolean has_ended;
  int status;
};

static void
redirect (const char *path, int pidfd, int flags)
{
  int file = open (path != NULL ? path : "/dev/null", flags | O_CLOEXEC, 0600);
  if (file < 0 || dup2 (file, pidfd) < 0)
    _exit (126);
}

Process *
process_start (const ProcessOptions *options)
{
  pid_t pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      redirect (options->log_path, STDERR_FILENO, O_WRONLY | O_CREAT | O_APPEND);
      /* The project's programs log to standard output, the stand-ins to standard error. */
      if (options->out_path != NULL)
        redirect (options->out_path, STDOUT_FILENO, O_WRONLY | O_CREAT | O_TRUNC);
      else
        redirect (options->log_path, STDOUT_FILENO, O_WRONLY | O_CREAT | O_APPEND);
      execv (options->argv[0], (char *const *)options->argv);
      _exit (127);
    }
  Process *process = g_new0 (Process, 1);
  process->pid = pid;
  process->pidfd = (int)syscall (SYS_pidfd_open, pid, 0);
  ck_assert_int_ge (process->pidfd, 0);
  return process;
}

static void
reap (Process *process, int options)
{
  if (!process->has_ended && waitpid (process->pid, &process->status, options) == process->pid)
    process->has_ended = TRUE;
}

void
process_free (Process *process)
{
  if (process == NULL)
    return;
  if (!process->has_ended)
    {
      kill (process->pid, SIGKILL);
      reap (process, 0);
    }
  close (process->pidfd);
  g_free (process);
}

void
process_signal (Process *process, int number)
{
  if (!process->has_ended)
    kill (process->pid, number);
}

gint64
process_status_number (const Process *process, const char *name)
{
  char path[32];
  char *text = NULL;
  g_snprintf (path, sizeof path, "/proc/%d/status", (int)process->pid);
  gint64 number = -1;
  if (!process->has_ended && g_file_get_contents (path, &text, NULL, NULL))
    {
      char *line = g_strdup_printf ("\n%s:", name);
      const char *at = strstr (text, line);
      number = at != NULL ? g_ascii_strtoll (at + strlen (line), NULL, 10) : -1;
      g_free (line);
    }
  g_free (text);
  return number;
}

gint
process_count_descriptors (const Process *process)
{
  char path[32];
  g_snprintf (path, sizeof path, "/proc/%d/fd", (int)process->pid);
  GDir *folder = process->has_ended ? NULL : g_dir_open (path, 0, NULL);
  if (folder == NULL)
    return -1;
  gint count = 0;
  while (g_dir_read_name (folder) != NULL)
    count++;
  g_dir_close (folder);
  return count;
}

gboolean
process_handles_signal (const Process *process, int number)
{
  static const char *const names[] = { "\nSigBlk:", "\nSigIgn:", "\nSigCgt:" };
  char path[32];
  char *text = NULL;
  g_snprintf (path, sizeof path, "/proc/%d/status", (int)process->pid);
  gboolean is_handled = FALSE;
  if (!process->has_ended && g_file_get_contents (path, &text, NULL, NULL))
    for (guint i = 0; i < G_N_ELEMENTS (names); i++)
      {
        const char *at = strstr (text, names[i]);
        guint64 signals = at != NULL ? g_ascii_strtoull (at + strlen (names[i]), NULL, 16) : 0;
        is_handled = is_handled || (signals >> (number - 1) & 1) != 0;
      }
  g_free (text);
  return is_handled;
}

gboolean
process_is_running (Process *process)
{
  reap (process, WNOHANG);
  return !process->has_ended;
}

gboolean
process_wait (Process *process, DpUsec timeout, int *status)
{
  struct pollfd waiting = { .fd = process->pidfd, .events = POLLIN };
  if (!process->has_ended && poll (&waiting, 1, (int)(timeout / DP_USEC_PER_MSEC)) > 0)
    reap (process, 0);
  if (status != NULL)
    *status = process->status;
  return process->has_ended;
}

gboolean
process_stop (Process *process, DpUsec timeout)
{
  int status;
  process_signal (process, SIGTERM);
  if (process_wait (process, timeout, &status))
    return WIFEXITED (status) && WEXITSTATUS (status) == 0;
  process_signal (process, SIGKILL);
  reap (process, 0);
  return FALSE;
}

static int
connect_to (const char *address, guint16 port)
{
  struct sockaddr_in peer = { .sin_family = AF_INET, .sin_port = htons (port) };
  const struct timeval timeout = { EXCHANGE_TIMEOUT_MSEC / 1000, 0 };
  inet_pton (AF_INET, address, &peer.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&peer, sizeof peer) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
sleep_poll_interval (void)
{
  poll (NULL, 0, POLL_INTERVAL_MSEC);
}

gboolean
wait_for_port (const char *address, guint16 port, DpUsec timeout)
{
  DpUsec end = g_get_monotonic_time () + timeout;
  for (;;)
    {
      int fd = connect_to (address, port);
      if (fd >= 0)
        {
          close (fd);
          return TRUE;
        }
      if (g_get_monotonic_time () >= end)
        return FALSE;
      sleep_poll_interval ();
    }
}

static GString *
read_all (int fd)
{
  GString *response = g_string_new (NULL);
  char buffer[16384];
  ssize_t received;
  while ((received = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (response, buffer, received);
  return response;
}

char *
http_exchange (const char *method,
               const char *address,
               guint16 port,
               const char *path,
               const char *headers,
               const char *body,
               int *status)
{
  int fd = connect_to (address, port);
  if (fd < 0)
    return NULL;
  GString *request = g_string_new (NULL);
  gboolean has_host = headers != NULL && strstr (headers, "Host: ") != NULL;
  g_string_printf (request,
                   "%s %s HTTP/1.1\r\n%sConnection: close\r\n%s"
                   "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
                   method, path, has_host ? "" : "Host: test\r\n",
                   headers != NULL ? headers : "", body != NULL ? strlen (body) : 0,
                   body != NULL ? body : "");
  ssize_t sent = send (fd, request->str, request->len, MSG_NOSIGNAL);
  gboolean sent_all = sent == (ssize_t)request->len;
  g_string_free (request, TRUE);
  GString *response = read_all (fd);
  close (fd);
  const char *end_of_head = strstr (response->str, "\r\n\r\n");
  char *text = NULL;
  if (sent_all && end_of_head != NULL)
    {
      if (status != NULL)
        *status = (int)g_ascii_strtoll (response->str + strlen ("HTTP/1.1 "), NULL, 10);
      text = g_strdup (end_of_head + strlen ("\r\n\r\n"));
    }
  g_string_free (response, TRUE);
  return text;
}

gint64
find_number (const char *text, const char *name)
{
  const char *at = text;
  gsize length = strlen (name);
  while (at != NULL && (at = strstr (at, name)) != NULL)
    {
      const char *after = at + length;
      gboolean is_whole_name = at == text || strchr ("\"\n", at[-1]) != NULL;
      if (is_whole_name && (g_str_has_prefix (after, "\":") || after[0] == ' '))
        return g_ascii_strtoll (after + (after[0] == ' ' ? 1 : 2), NULL, 10);
      at = after;
    }
  return -1;
}

gboolean
wait_for_number (const char *address,
                 guint16 port,
                 const char *path,
                 const char *name,
                 gint64 wanted,
                 DpUsec timeout)
{
  DpUsec end = g_get_monotonic_time () + timeout;
  for (;;)
    {
      char *text = http_exchange ("GET", address, port, path, NULL, NULL, NULL);
      gint64 number = text != NULL ? find_number (text, name) : -1;
      g_free (text);
      if (number >= wanted)
        return TRUE;
      if (g_get_monotonic_time () >= end)
        return FALSE;
      sleep_poll_interval ();
    }
}
