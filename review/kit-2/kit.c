#include "review/kit-2/kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PIDS_MAX 256

static struct
{
  FILE *record;
  char folder[96];
  double started;
  pid_t pids[PIDS_MAX];
  unsigned pid_count;
  pthread_mutex_t lock;
} run = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* --- run --- */

static double
clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1000 + (double)now.tv_nsec / 1e6;
}

double
kit_now (void)
{
  return clock_ms () - run.started;
}

void
kit_sleep (double ms)
{
  if (ms <= 0)
    return;
  struct timespec time
    = { .tv_sec = (time_t)(ms / 1000), .tv_nsec = (long)(ms * 1e6) % 1000000000L };
  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

bool
kit_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

static void
write_record (bool also_out, const char *format, va_list arguments)
{
  char line[2048];
  vsnprintf (line, sizeof line, format, arguments);
  pthread_mutex_lock (&run.lock);
  if (run.record != NULL)
    {
      fprintf (run.record, "%9.1f %s\n", kit_now (), line);
      fflush (run.record);
    }
  if (also_out)
    {
      printf ("%9.1f %s\n", kit_now (), line);
      fflush (stdout);
    }
  pthread_mutex_unlock (&run.lock);
}

void
kit_record (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_record (false, format, arguments);
  va_end (arguments);
}

void
kit_say (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_record (true, format, arguments);
  va_end (arguments);
}

static void
end_processes (void)
{
  for (unsigned i = 0; i < run.pid_count; i++)
    if (run.pids[i] > 0)
      {
        kill (run.pids[i], SIGCONT);
        kill (run.pids[i], SIGKILL);
      }
  for (unsigned i = 0; i < run.pid_count; i++)
    if (run.pids[i] > 0)
      waitpid (run.pids[i], NULL, 0);
}

static void
remove_folder (void)
{
  if (run.folder[0] == '\0' || getenv ("KEEP") != NULL)
    return;
  char command[160];
  snprintf (command, sizeof command, "rm -rf '%s'", run.folder);
  if (system (command) != 0)
    fprintf (stderr, "could not remove %s\n", run.folder);
}

void
kit_end (int code)
{
  end_processes ();
  remove_folder ();
  fflush (NULL);
  _exit (code);
}

void
kit_fail (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_record (true, format, arguments);
  va_end (arguments);
  kit_end (2);
}

static void *
watch_time (void *data)
{
  kit_sleep (*(double *)data);
  kit_fail ("out of time");
  return NULL;
}

static void
on_signal (int number)
{
  end_processes ();
  _exit (2);
}

void
kit_begin (const char *record, unsigned seconds)
{
  static double limit;
  run.started = clock_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  run.record = fopen (record, "w");
  if (run.record == NULL)
    {
      fprintf (stderr, "can't write %s\n", record);
      _exit (2);
    }
  fcntl (fileno (run.record), F_SETFD, FD_CLOEXEC);
  strcpy (run.folder, "/tmp/review-2-XXXXXX");
  if (mkdtemp (run.folder) == NULL)
    kit_fail ("no temporary folder");
  limit = seconds * 1000.0;
  kit_thread (watch_time, &limit);
}

void
kit_thread (void *(*function) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, (size_t)512 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, function, data) != 0)
    kit_fail ("no thread");
  pthread_attr_destroy (&attributes);
}

/* --- processes --- */

pid_t
kit_spawn (const char *name, char *const argv[], const char *variable)
{
  char path[256];
  snprintf (path, sizeof path, "%s/%s.log", run.folder, name);
  char *environment[8] = { NULL };
  unsigned count = 0;
  static char path_variable[2048], home[512];
  snprintf (path_variable, sizeof path_variable, "PATH=%s",
            getenv ("PATH") ? getenv ("PATH") : "");
  snprintf (home, sizeof home, "HOME=%s", getenv ("HOME") ? getenv ("HOME") : "/");
  environment[count++] = path_variable;
  environment[count++] = home;
  environment[count++] = "LANG=C";
  if (variable != NULL)
    environment[count++] = (char *)variable;
  pid_t pid = fork ();
  if (pid == 0)
    {
      int log = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (log, 1);
      dup2 (log, 2);
      for (int fd = 3; fd < 4096; fd++)
        close (fd);
      signal (SIGPIPE, SIG_DFL);
      signal (SIGTERM, SIG_DFL);
      signal (SIGINT, SIG_DFL);
      execve (argv[0], argv, environment);
      _exit (127);
    }
  if (pid < 0 || run.pid_count == PIDS_MAX)
    kit_fail ("can't start %s", name);
  pthread_mutex_lock (&run.lock);
  run.pids[run.pid_count++] = pid;
  pthread_mutex_unlock (&run.lock);
  return pid;
}

static void
forget (pid_t pid)
{
  for (unsigned i = 0; i < run.pid_count; i++)
    if (run.pids[i] == pid)
      run.pids[i] = 0;
}

void
kit_reap (pid_t pid)
{
  waitpid (pid, NULL, 0);
  forget (pid);
}

bool
kit_is_running (pid_t pid, int *status)
{
  if (waitpid (pid, status, WNOHANG) == 0)
    return true;
  forget (pid);
  return false;
}

long
kit_resident_kb (pid_t pid)
{
  char path[64], line[256];
  long kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmRSS: %ld", &kb) == 1)
      break;
  if (file != NULL)
    fclose (file);
  return kb;
}

static struct sockaddr_in
make_address (const char *address, uint16_t port)
{
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (port) };
  inet_pton (AF_INET, address, &name.sin_addr);
  return name;
}

static int
listen_on (const char *address, uint16_t port)
{
  struct sockaddr_in name = make_address (address, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&name, sizeof name) != 0 || listen (fd, 1024) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static uint16_t
port_of (int fd)
{
  struct sockaddr_in name = { 0 };
  socklen_t length = sizeof name;
  getsockname (fd, (struct sockaddr *)&name, &length);
  return ntohs (name.sin_port);
}

uint16_t
kit_free_port (const char *address)
{
  int fd = listen_on (address, 0);
  if (fd < 0)
    kit_fail ("no free port on %s", address);
  uint16_t port = port_of (fd);
  close (fd);
  return port;
}

/* --- HTTP --- */

void
kit_append (KitBuffer *buffer, const void *data, size_t length)
{
  if (buffer->length + length + 1 > buffer->size)
    {
      buffer->size = 2 * (buffer->length + length + 1);
      buffer->data = realloc (buffer->data, buffer->size);
    }
  memcpy (buffer->data + buffer->length, data, length);
  buffer->length += length;
  buffer->data[buffer->length] = '\0';
}

void
kit_printf (KitBuffer *buffer, const char *format, ...)
{
  va_list arguments;
  char *text = NULL;
  va_start (arguments, format);
  int length = vasprintf (&text, format, arguments);
  va_end (arguments);
  if (length > 0)
    kit_append (buffer, text, (size_t)length);
  free (text);
}

void
kit_clear (KitBuffer *buffer)
{
  free (buffer->data);
  *buffer = (KitBuffer){ 0 };
}

void
kit_message_clear (KitMessage *message)
{
  kit_clear (&message->head);
  kit_clear (&message->body);
  *message = (KitMessage){ 0 };
}

bool
kit_header (const char *head, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  for (const char *line = head != NULL ? strstr (head, "\r\n") : NULL; line != NULL;
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      if (strncasecmp (at, name, length) != 0 || at[length] != ':')
        continue;
      at += length + 1;
      at += strspn (at, " \t");
      size_t count = strcspn (at, "\r\n");
      snprintf (out, size, "%.*s", (int)count, at);
      return true;
    }
  return false;
}

/* Reads one byte at a time up to the end of the head. */
static bool
read_head (int fd, KitBuffer *head)
{
  char byte;
  while (head->length < 65536)
    {
      if (recv (fd, &byte, 1, 0) != 1)
        return false;
      kit_append (head, &byte, 1);
      if (head->length >= 4 && memcmp (head->data + head->length - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

static bool
read_exactly (int fd, KitBuffer *body, size_t length)
{
  char block[16384];
  while (length > 0)
    {
      ssize_t count = recv (fd, block, length < sizeof block ? length : sizeof block, 0);
      if (count <= 0)
        return false;
      kit_append (body, block, (size_t)count);
      length -= (size_t)count;
    }
  return true;
}

static bool
read_line (int fd, char *line, size_t size)
{
  size_t length = 0;
  while (length + 1 < size && recv (fd, &line[length], 1, 0) == 1)
    {
      line[++length] = '\0';
      if (length >= 2 && line[length - 1] == '\n')
        return true;
    }
  return false;
}

/* Returns the length of the chunk, or -1. */
static long
read_chunk (int fd, KitBuffer *body)
{
  char line[64];
  if (!read_line (fd, line, sizeof line))
    return -1;
  long length = strtol (line, NULL, 16);
  if (length > 0 && !read_exactly (fd, body, (size_t)length))
    return -1;
  return read_line (fd, line, sizeof line) ? length : -1;
}

bool
kit_read_request (int fd, KitMessage *message)
{
  char value[64];
  if (!read_head (fd, &message->head))
    return false;
  if (kit_header (message->head.data, "Transfer-Encoding", value, sizeof value))
    {
      long length;
      while ((length = read_chunk (fd, &message->body)) > 0)
        ;
      return length == 0;
    }
  if (kit_header (message->head.data, "Content-Length", value, sizeof value))
    return read_exactly (fd, &message->body, strtoul (value, NULL, 10));
  return true;
}

bool
kit_write (int fd, const void *data, size_t length)
{
  const char *at = data;
  while (length > 0)
    {
      ssize_t count = send (fd, at, length, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      at += count;
      length -= (size_t)count;
    }
  return true;
}

bool
kit_write_text (int fd, const char *format, ...)
{
  va_list arguments;
  char *text = NULL;
  va_start (arguments, format);
  int length = vasprintf (&text, format, arguments);
  va_end (arguments);
  bool ok = length >= 0 && kit_write (fd, text, (size_t)length);
  free (text);
  return ok;
}

bool
kit_write_chunk (int fd, const char *text)
{
  size_t length = strlen (text);
  return length > 0 ? kit_write_text (fd, "%zx\r\n%s\r\n", length, text)
                    : kit_write_text (fd, "0\r\n\r\n");
}

void
kit_reset (int fd)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* --- requesters --- */

static void
set_timeout (int fd, unsigned ms)
{
  struct timeval time = { .tv_sec = ms / 1000, .tv_usec = (suseconds_t)(ms % 1000) * 1000 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

int
kit_connect (const char *address, uint16_t port, unsigned wait_ms)
{
  struct sockaddr_in name = make_address (address, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  set_timeout (fd, wait_ms);
  if (connect (fd, (struct sockaddr *)&name, sizeof name) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

static void
parse_events (KitResponse *response)
{
  const char *at = response->message.body.data;
  while (at != NULL && response->event_count < KIT_EVENTS_MAX)
    {
      const char *end = strstr (at, "\n\n");
      if (end == NULL)
        return;
      KitEvent *event = &response->events[response->event_count];
      const char *id = strstr (at, "id: ");
      const char *data = strstr (at, "data: ");
      if (id == NULL || data == NULL || id > end || data > end)
        return;
      event->id = strtoull (id + 4, NULL, 10);
      snprintf (event->data, sizeof event->data, "%.*s", (int)strcspn (data + 6, "\r\n"),
                data + 6);
      response->event_count++;
      at = end + 2;
    }
}

static void
read_response (int fd, KitResponse *response)
{
  char value[64];
  KitMessage *message = &response->message;
  if (!read_head (fd, &message->head)
      || sscanf (message->head.data, "HTTP/1.%*d %d", &response->status) != 1)
    return;
  /* kit_response_clear() frees the head. NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  if (kit_header (message->head.data, "Retry-After", value, sizeof value))
    response->retry_after = strtod (value, NULL);
  if (kit_header (message->head.data, "Transfer-Encoding", value, sizeof value))
    {
      long length;
      while ((length = read_chunk (fd, &message->body)) > 0)
        ;
      response->is_complete = length == 0;
    }
  else if (kit_header (message->head.data, "Content-Length", value, sizeof value))
    response->is_complete = read_exactly (fd, &message->body, strtoul (value, NULL, 10));
  parse_events (response);
}

void
kit_call (const KitCall *call, KitResponse *response)
{
  *response = (KitResponse){ 0 };
  int fd = kit_connect (call->address, call->port, call->wait_ms);
  if (fd < 0)
    return;
  KitBuffer text = { 0 };
  size_t length = call->body != NULL ? strlen (call->body) : 0;
  kit_printf (&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method, call->path,
              call->host != NULL ? call->host : KIT_HOST);
  if (call->id != NULL)
    kit_printf (&text, "Request-Id: %s\r\n", call->id);
  if (call->key != NULL)
    kit_printf (&text, "Authorization: Bearer %s\r\n", call->key);
  if (call->deadline_ms > 0)
    kit_printf (&text, "" W_DEADLINE ": %u\r\n", call->deadline_ms);
  if (call->headers != NULL)
    kit_printf (&text, "%s", call->headers);
  if (length > 0 || strcmp (call->method, "GET") != 0)
    kit_printf (&text, "Content-Length: %zu\r\n", length);
  kit_printf (&text, "\r\n%s", call->body != NULL ? call->body : "");
  if (call->connection != NULL)
    *call->connection = fd;
  if (kit_write (fd, text.data, text.length))
    read_response (fd, response);
  kit_clear (&text);
  if (call->connection != NULL)
    *call->connection = -1;
  close (fd);
}

void
kit_response_clear (KitResponse *response)
{
  kit_message_clear (&response->message);
}

/* --- servers --- */

typedef struct Accepted
{
  KitServer *server;
  int fd;
} Accepted;

static void *
handle (void *data)
{
  Accepted accepted = *(Accepted *)data;
  free (data);
  accepted.server->handler (accepted.server, accepted.fd);
  return NULL;
}

static void *
accept_all (void *data)
{
  KitServer *server = data;
  int on = 1;
  for (;;)
    {
      int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          kit_sleep (10);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      Accepted *accepted = malloc (sizeof *accepted);
      *accepted = (Accepted){ server, fd };
      kit_thread (handle, accepted);
    }
  return NULL;
}

void
kit_serve (
  KitServer *server, const char *address, uint16_t port, KitHandler handler, void *user)
{
  *server = (KitServer){ .handler = handler, .user = user };
  snprintf (server->address, sizeof server->address, "%s", address);
  server->listener = listen_on (address, port);
  if (server->listener < 0)
    kit_fail ("can't listen on %s:%u", address, port);
  server->port = port_of (server->listener);
  kit_thread (accept_all, server);
}

/* --- the system --- */

static int
store_call (const KitSystem *system,
            uint16_t port,
            const char *method,
            const char *path,
            const char *body)
{
  KitResponse response;
  const KitCall call = { .address = system->store_address,
                         .port = port,
                         .method = method,
                         .path = path,
                         .body = body,
                         .wait_ms = 2000 };
  kit_call (&call, &response);
  int status = response.status;
  kit_response_clear (&response);
  return status;
}

int
kit_store_write (const KitSystem *system,
                 const char *method,
                 const char *kind,
                 const char *name,
                 const char *spec)
{
  char path[128];
  KitBuffer body = { 0 };
  bool is_new = strcmp (method, "POST") == 0;
  snprintf (path, sizeof path, is_new ? "/objects/%s" : "/objects/%s/%s", kind, name);
  kit_printf (&body, "{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  int status = store_call (system, system->store_port, method, path, body.data);
  kit_record ("store %s %s/%s: %d %s", method, kind, name, status, spec);
  kit_clear (&body);
  return status;
}

int
kit_store_remove (const KitSystem *system, const char *kind, const char *name)
{
  char path[128];
  snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
  int status = store_call (system, system->store_port, "DELETE", path, NULL);
  kit_record ("store DELETE %s/%s: %d", kind, name, status);
  return status;
}

int
kit_store_control (const KitSystem *system, const char *path, const char *body)
{
  return store_call (system, system->store_control, "POST", path, body);
}

void
kit_system_begin (KitSystem *system, unsigned nodes)
{
  char text[64], control[16];
  char port_text[64];
  system->node_count = nodes;
  snprintf (system->store_address, sizeof system->store_address, "%s.9.1", system->net);
  for (unsigned i = 0; i < nodes; i++)
    {
      KitNode *node = &system->nodes[i];
      const char *zone = system->zones[i % system->zone_count];
      snprintf (node->zone, sizeof node->zone, "%s", zone);
      snprintf (node->name, sizeof node->name, "front-%s-%u", zone, i + 1);
      snprintf (node->address, sizeof node->address, "%s.1.%u", system->net, i + 1);
    }
  system->store_port = kit_free_port (system->store_address);
  system->store_control = kit_free_port (system->store_address);
  system->bus_port = kit_free_port (system->nodes[0].address);
  do
    system->operator_port = kit_free_port (system->nodes[0].address);
  while (system->operator_port == system->bus_port + 1);
  uint16_t caller, ready;
  do
    caller = kit_free_port (system->nodes[0].address);
  while (caller == system->bus_port + 1);
  do
    ready = kit_free_port (system->nodes[0].address);
  while (ready == system->bus_port + 1);
  for (unsigned i = 0; i < nodes; i++)
    {
      system->nodes[i].caller_port = caller;
      system->nodes[i].ready_port = ready;
    }
  snprintf (port_text, sizeof port_text, "%s:%u", system->store_address, system->store_port);
  snprintf (control, sizeof control, "%u", system->store_control);
  snprintf (text, sizeof text, "%s", "target/review-2/standin-store");
  char *argv[] = { text, port_text, control, NULL };
  system->store_pid = kit_spawn ("store", argv, NULL);
  for (unsigned i = 0;
       store_call (system, system->store_port, "GET", "/objects/config", NULL) != 200; i++)
    {
      if (i == 200)
        kit_fail ("the store doesn't answer");
      kit_sleep (25);
    }
}

/* --- nodes --- */

typedef struct Value
{
  const char *name;
  char text[160];
} Value;

/* Fills in the deploy file's template; settings that are not listed are empty. */
static void
fill_template (const char *path, const Value *values, unsigned count)
{
  FILE *in = fopen ("deploy/node.json.template", "r");
  FILE *out = fopen (path, "w");
  char line[512];
  if (in == NULL || out == NULL)
    kit_fail ("can't read the template or write %s", path);
  while (fgets (line, sizeof line, in) != NULL)
    {
      char *begin = strstr (line, "{{");
      char *end = begin != NULL ? strstr (begin, "}}") : NULL;
      if (end == NULL)
        {
          fputs (line, out);
          continue;
        }
      const char *value = "";
      for (unsigned i = 0; i < count; i++)
        if (strncmp (begin + 2, values[i].name, (size_t)(end - begin - 2)) == 0
            && strlen (values[i].name) == (size_t)(end - begin - 2))
          value = values[i].text;
      fprintf (out, "%.*s%s%s", (int)(begin - line), line, value, end + 2);
    }
  fclose (in);
  fclose (out);
}

void
kit_node_start (KitSystem *system, unsigned index, bool is_first)
{
  KitNode *node = &system->nodes[index];
  char path[256], variable[300];
  Value values[32] = { 0 };
  unsigned count = 0;
  unsigned store_port = node->store_port != 0 ? node->store_port : system->store_port;
#define VALUE(key, ...)                                                                        \
  values[count].name = key, snprintf (values[count++].text, sizeof values[0].text, __VA_ARGS__)
  VALUE ("node_name", "%s", node->name);
  VALUE ("ip", "%s", node->address);
  VALUE ("zone", "%s", node->zone);
  VALUE ("internal_ports.0", "%u", system->bus_port);
  VALUE ("internal_ports.1", "%u", system->operator_port);
  VALUE ("listen.front", "%s:%u", node->address, node->caller_port);
  VALUE ("listen.ready", "%s:%u", node->address, node->ready_port);
  VALUE ("platform.address", "%s:%u", system->store_address, store_port);
  VALUE ("seeds", "%s:1,%s:1,%s:1", system->nodes[0].address,
         system->nodes[system->node_count > 1 ? 1 : 0].address,
         system->nodes[system->node_count > 2 ? 2 : 0].address);
  VALUE ("limits.cpu_share", "%s", system->share != NULL ? system->share : "0.17");
  VALUE ("limits.max_fds", "%s", system->descriptors != NULL ? system->descriptors : "2870");
  VALUE ("limits.memory_mb", "%s", system->memory_mb != NULL ? system->memory_mb : "96");
  VALUE ("heartbeat_ms", "1200");
  VALUE ("bounds.grace_s", "8");
  VALUE ("bounds.budget_ratio", "0.2");
  VALUE ("bounds.budget_slack", "104");
  VALUE ("bounds.budget_window_s", "10");
  VALUE ("bootstrap", "%s", is_first ? "true" : "false");
  VALUE ("bounds.quota_window_s", "8");
  VALUE ("bounds.quota_slack", "110000");
  snprintf (path, sizeof path, "%s/%s.json", run.folder, node->name);
  fill_template (path, values, count);
  snprintf (variable, sizeof variable, "DOGWOODPLANK_BOOT=%s", path);
  const char *program = getenv ("NODE");
  char *argv[] = { program != NULL ? (char *)program : "target/dogwoodplank-node", NULL };
  node->pid = kit_spawn (node->name, argv, variable);
  kit_record ("node %s started at %s", node->name, node->address);
}

bool
kit_node_is_ready (const KitSystem *system, unsigned index)
{
  KitResponse response;
  const KitNode *node = &system->nodes[index];
  const KitCall call = { .address = node->address,
                         .port = node->ready_port,
                         .method = "GET",
                         .path = "/ready",
                         .wait_ms = 1000 };
  kit_call (&call, &response);
  bool is_ready = response.status == 200;
  kit_response_clear (&response);
  return is_ready;
}

void
kit_wait_ready (const KitSystem *system, unsigned index, double ms)
{
  double end = kit_now () + ms;
  while (!kit_node_is_ready (system, index))
    {
      if (kit_now () > end)
        kit_fail ("%s isn't ready", system->nodes[index].name);
      kit_sleep (50);
    }
}
