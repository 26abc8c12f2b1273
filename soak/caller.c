#include "soak/soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#define SHARED_PARTS 20
/* One of so many requests of a caller, if it is a draft, crashes targets. */
#define CRASHING_PERIOD 12
#define PAUSE_MIN_MS 5
#define PAUSE_MAX_MS 40
/* Short, since behind a load balancer callers retry at once when a connection fails. */
#define RECONNECT_MS 20
/* The deadline that callers send; a route may have a shorter one. */
#define REQUEST_TIMEOUT_MS 2500
/* The longest route timeout plus an allowance for a busy machine. */
#define RESPONSE_TIMEOUT (5 * DP_USEC_PER_SEC)
#define DISCONNECT_PERCENT 3
#define DISCONNECT_MAX_MS 60

struct SoakCaller
{
  SoakCluster *cluster;
  guint index;
  guint sent;
  guint vm;
  struct bufferevent *bev; /* NULL: not connected */
  struct event *timer;     /* next request, disconnect or response timeout */
  GString *input_buffer;
  char id[24];          /* of the current request */
  SoakRequest *request; /* NULL: none is open; owned by the cluster */
  gint64 observed_from; /* cluster's observed time when the request was sent */
  gboolean will_disconnect;
  char resumes[24]; /* request whose stream is taken up next; empty: none */
  guint last_event; /* of that stream */
};

static const char *const kind_paths[SOAK_REQUEST_KINDS] = {
  [SOAK_BOOK] = "/book/1",     [SOAK_LOOK] = "/look/1", [SOAK_DRAFT] = "/draft/1",
  [SOAK_LETTER] = "/letter/1", [SOAK_NEW_ROUTE] = NULL, [SOAK_TAKE_UP] = "/draft/1",
};

static void send_next (SoakCaller *caller);

static void
set_timer_ms (SoakCaller *caller, gint64 ms)
{
  const struct timeval delay
    = { .tv_sec = (time_t)(ms / 1000), .tv_usec = (suseconds_t)(ms % 1000 * 1000) };
  event_add (caller->timer, &delay);
}

static void
disconnect (SoakCaller *caller)
{
  g_clear_pointer (&caller->bev, bufferevent_free);
  g_string_truncate (caller->input_buffer, 0);
}

static void
end_request (SoakCaller *caller, SoakOutcome outcome)
{
  SoakCluster *cluster = caller->cluster;
  SoakRequest *request = caller->request;
  if (request == NULL)
    return;
  request->outcome = outcome;
  request->ended_at = g_get_monotonic_time ();
  request->vm_was_killed = cluster->vms[request->vm].killed_at >= request->sent_at;
  cluster->outcome_counts[outcome]++;
  if (outcome == SOAK_SERVED)
    cluster->consecutive_served++;
  else if (outcome != SOAK_LEFT)
    cluster->consecutive_served = 0;
  caller->request = NULL;
  set_timer_ms (caller, g_random_int_range (PAUSE_MIN_MS, PAUSE_MAX_MS));
}

/* --- responses --- */

static const char *
find_header (const char *head, const char *name)
{
  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line + 2, "\r\n"))
    if (g_ascii_strncasecmp (line + 2, name, strlen (name)) == 0
        && line[2 + strlen (name)] == ':')
      return line + 2 + strlen (name) + 1;
  return NULL;
}

static gboolean
header_has_value (const char *head, const char *name, const char *value)
{
  const char *at = find_header (head, name);
  while (at != NULL && *at == ' ')
    at++;
  return at != NULL && g_ascii_strncasecmp (at, value, strlen (value)) == 0;
}

/* Appends the data of the chunks at `at` to `body`. Returns the byte after the last chunk, or
 * NULL if it has not arrived yet. */
static const char *
read_chunks (const char *at, const char *end, GString *body)
{
  for (;;)
    {
      const char *line_end = g_strstr_len (at, end - at, "\r\n");
      if (line_end == NULL)
        return NULL;
      gsize length = (gsize)g_ascii_strtoull (at, NULL, 16);
      at = line_end + 2;
      if ((gsize)(end - at) < length + 2)
        return NULL;
      g_string_append_len (body, at, (gssize)length);
      at += length + 2;
      if (length == 0)
        return at;
    }
}

/* Returns the byte after the response, or NULL if it is not complete yet. */
static const char *
read_body (const GString *input_buffer, const char *head, const char *at, GString *body)
{
  const char *end = input_buffer->str + input_buffer->len;
  if (header_has_value (head, "Transfer-Encoding", "chunked"))
    return read_chunks (at, end, body);
  const char *length_text = find_header (head, "Content-Length");
  gsize length = length_text != NULL ? (gsize)g_ascii_strtoull (length_text, NULL, 10) : 0;
  if ((gsize)(end - at) < length)
    return NULL;
  g_string_append_len (body, at, (gssize)length);
  return at + length;
}

static void
handle_response (SoakCaller *caller)
{
  const char *blank = strstr (caller->input_buffer->str, "\r\n\r\n");
  if (blank == NULL)
    return;
  char *head
    = g_strndup (caller->input_buffer->str, (gsize)(blank + 2 - caller->input_buffer->str));
  GString *body = g_string_new (NULL);
  const char *rest = read_body (caller->input_buffer, head, blank + 4, body);
  if (rest != NULL)
    {
      if (rest != caller->input_buffer->str + caller->input_buffer->len)
        soak_cluster_add_violation (caller->cluster, "%s: extra bytes after the response: %s",
                                    caller->id, rest);
      end_request (
        caller, soak_check_response (caller->cluster, caller->id, caller->request, head, body));
      gboolean closes = header_has_value (head, "Connection", "close");
      g_string_truncate (caller->input_buffer, 0);
      if (closes)
        disconnect (caller);
    }
  g_string_free (body, TRUE);
  g_free (head);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  SoakCaller *caller = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  gsize length = evbuffer_get_length (input);
  g_string_append_len (caller->input_buffer, (const char *)evbuffer_pullup (input, -1),
                       (gssize)length);
  evbuffer_drain (input, length);
  if (caller->request != NULL)
    handle_response (caller);
  else
    {
      soak_cluster_add_violation (caller->cluster,
                                  "vm%u sent bytes without an open request: %s", caller->vm,
                                  caller->input_buffer->str);
      disconnect (caller);
    }
}

/* A stream that broke off is taken up where it ended, with the next request. */
static void
plan_take_up (SoakCaller *caller)
{
  const SoakRequest *request = caller->request;
  if (request == NULL || (request->kind != SOAK_DRAFT && request->kind != SOAK_TAKE_UP))
    return;
  guint last = soak_last_event (caller->input_buffer->str, request->last_event);
  if (last == request->last_event || last == SOAK_STREAM_EVENTS)
    return;
  g_strlcpy (caller->resumes, request->kind == SOAK_DRAFT ? caller->id : request->resumes,
             sizeof caller->resumes);
  caller->last_event = last;
}

static void
on_event (struct bufferevent *bev, short what, void *user)
{
  SoakCaller *caller = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  plan_take_up (caller);
  gboolean has_partial_response = caller->input_buffer->len > 0;
  disconnect (caller);
  end_request (caller, has_partial_response ? SOAK_CUT : SOAK_CLOSED);
}

/* --- requests --- */

/* Skips VMs that are down or got SIGTERM within the last second, as a load balancer skips a VM
 * that is leaving; a restarted VM is used at once. */
static gboolean
choose_vm (SoakCaller *caller)
{
  SoakCluster *cluster = caller->cluster;
  for (guint attempts = 0; attempts < SOAK_VMS; attempts++)
    {
      caller->vm = (guint)g_random_int_range (0, SOAK_VMS);
      const SoakVm *vm = &cluster->vms[caller->vm];
      if (vm->process != NULL
          && (!vm->is_stopping || soak_vm_is_undisturbed (vm, DP_USEC_PER_SEC)))
        return TRUE;
    }
  return FALSE;
}

static gboolean
connect_to_vm (SoakCaller *caller)
{
  if (caller->bev != NULL)
    return TRUE;
  if (!choose_vm (caller))
    return FALSE;
  const SoakVm *vm = &caller->cluster->vms[caller->vm];
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (SOAK_CALLER_PORT) };
  inet_pton (AF_INET, vm->address, &name.sin_addr);
  caller->bev = bufferevent_socket_new (caller->cluster->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (caller->bev, (struct sockaddr *)&name, sizeof name) == 0)
    return TRUE;
  disconnect (caller);
  return FALSE;
}

/* Parts of the prompt of a draft, all but the last of which it shares with others. While faults
 * occur, some have the part that crashes targets, behind more sound ones than a VM that reads
 * few would know. */
static char *
format_parts (const SoakCaller *caller)
{
  GString *text = g_string_new (NULL);
  gboolean is_crashing = caller->request->kind == SOAK_DRAFT
                         && caller->cluster->pending_faults > 0
                         && caller->sent % CRASHING_PERIOD == 0;
  for (guint i = 0; i < SHARED_PARTS; i++)
    g_string_append_printf (text, "5c1e%04x:4,", i);
  if (is_crashing)
    g_string_append (text, SOAK_CRASHING_PART ":4,");
  g_string_append_printf (text, "%x%04x:4", caller->index + 1, caller->sent);
  return g_string_free (text, FALSE);
}

static void
write_request (SoakCaller *caller)
{
  SoakCluster *cluster = caller->cluster;
  SoakRequest *request = caller->request;
  char path[32];
  if (request->kind == SOAK_NEW_ROUTE)
    g_snprintf (path, sizeof path, "/v%u/1", request->config_version);
  else
    g_strlcpy (path, kind_paths[request->kind], sizeof path);
  gboolean is_taken_up = request->kind == SOAK_TAKE_UP;
  gboolean is_stream
    = request->kind == SOAK_DRAFT || request->kind == SOAK_LETTER || is_taken_up;
  gboolean is_read = request->kind == SOAK_LOOK || request->kind == SOAK_NEW_ROUTE;
  char *parts = is_stream ? format_parts (caller) : NULL;
  const NodeKitRequest text = { .method = is_read ? "GET" : "POST",
                                .path = path,
                                .id = caller->id,
                                .body = is_read ? "" : caller->id,
                                .timeout_ms = REQUEST_TIMEOUT_MS,
                                .is_stream = is_stream,
                                .resumes = is_taken_up ? request->resumes : NULL,
                                .last_event = request->last_event,
                                .prompt_parts = parts };
  char *bytes = node_kit_format_request (&text);
  bufferevent_write (caller->bev, bytes, strlen (bytes));
  g_free (bytes);
  g_free (parts);
  g_hash_table_insert (cluster->requests, g_strdup (caller->id), request);
}

static void
send_next (SoakCaller *caller)
{
  SoakCluster *cluster = caller->cluster;
  if (!connect_to_vm (caller))
    {
      set_timer_ms (caller, RECONNECT_MS);
      return;
    }
  static const SoakRequestKind kinds[]
    = { SOAK_BOOK,  SOAK_BOOK,  SOAK_BOOK,   SOAK_LOOK,     SOAK_LOOK,
        SOAK_DRAFT, SOAK_DRAFT, SOAK_LETTER, SOAK_NEW_ROUTE };
  SoakRequest *request = g_new0 (SoakRequest, 1);
  request->kind = kinds[g_random_int_range (0, G_N_ELEMENTS (kinds))];
  if (request->kind == SOAK_NEW_ROUTE && cluster->config_version < 2)
    request->kind = SOAK_LOOK;
  if (caller->resumes[0] != '\0')
    {
      request->kind = SOAK_TAKE_UP;
      request->last_event = caller->last_event;
      g_strlcpy (request->resumes, caller->resumes, sizeof request->resumes);
      caller->resumes[0] = '\0';
    }
  request->config_version = cluster->config_version;
  request->vm = caller->vm;
  request->incarnation = cluster->vms[caller->vm].incarnation;
  request->sent_at = g_get_monotonic_time ();
  g_snprintf (caller->id, sizeof caller->id, "c%u-%u", caller->index, ++caller->sent);
  caller->request = request;
  caller->observed_from = cluster->observed_time;
  caller->will_disconnect = g_random_int_range (0, 100) < DISCONNECT_PERCENT;
  write_request (caller);
  set_timer_ms (caller, caller->will_disconnect ? g_random_int_range (1, DISCONNECT_MAX_MS)
                                                : RESPONSE_TIMEOUT / DP_USEC_PER_MSEC);
}

/* Disconnects as planned, or because the response took longer than any may take. */
static void
abandon_request (SoakCaller *caller)
{
  const SoakVm *vm = &caller->cluster->vms[caller->vm];
  gint64 elapsed = g_get_monotonic_time () - caller->request->sent_at;
  gint64 observed = caller->cluster->observed_time - caller->observed_from;
  if (!caller->will_disconnect && observed < RESPONSE_TIMEOUT)
    {
      set_timer_ms (caller, (RESPONSE_TIMEOUT - observed) / DP_USEC_PER_MSEC + 1);
      return;
    }
  if (!caller->will_disconnect && soak_vm_is_undisturbed (vm, elapsed) && !vm->is_stopping)
    soak_cluster_add_violation (caller->cluster, "%s: no response from %s within %d s",
                                caller->id, vm->name,
                                (int)(RESPONSE_TIMEOUT / DP_USEC_PER_SEC));
  disconnect (caller);
  end_request (caller, SOAK_LEFT);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  SoakCaller *caller = user;
  if (caller->request != NULL)
    abandon_request (caller);
  else
    send_next (caller);
}

SoakCaller *
soak_caller_new (SoakCluster *cluster, guint index)
{
  SoakCaller *caller = g_new0 (SoakCaller, 1);
  caller->cluster = cluster;
  caller->index = index;
  caller->input_buffer = g_string_new (NULL);
  caller->timer = evtimer_new (cluster->base, on_timer, caller);
  set_timer_ms (caller, g_random_int_range (0, PAUSE_MAX_MS));
  return caller;
}

void
soak_caller_free (SoakCaller *caller)
{
  disconnect (caller);
  event_free (caller->timer);
  g_string_free (caller->input_buffer, TRUE);
  g_free (caller);
}
