#include "soak/soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#define PAUSE_MIN_MS 5
#define PAUSE_MAX_MS 40
/* Callers try again at once when a connection fails, as behind a balancer. */
#define RECONNECT_MS 20
/* What callers give; routes may give less. */
#define TIMEOUT_MS 2500
/* The longest route's timeout, and what a busy machine may add. */
#define PATIENCE (5 * DP_USEC_PER_SEC)
#define LEAVE_PERCENT 3
#define LEAVE_MAX_MS 60

struct SoakCaller
{
  SoakWorld *world;
  guint index;
  guint sent;
  guint vm;
  struct bufferevent *bev; /* NULL: not connected */
  struct event *timer;     /* the next step, or the end of patience */
  GString *in;
  char id[24];          /* of the open request */
  SoakRequest *request; /* NULL: none is open; owned by the world */
  gboolean leaves;
};

static const char *const kind_paths[SOAK_KINDS] = {
  [SOAK_BOOK] = "/book/1",     [SOAK_LOOK] = "/look/1", [SOAK_DRAFT] = "/draft/1",
  [SOAK_LETTER] = "/letter/1", [SOAK_NEW_ROUTE] = NULL,
};

static void send_next (SoakCaller *caller);

static void
wait_ms (SoakCaller *caller, gint64 ms)
{
  const struct timeval delay
    = { .tv_sec = (time_t)(ms / 1000), .tv_usec = (suseconds_t)(ms % 1000 * 1000) };
  event_add (caller->timer, &delay);
}

static void
disconnect (SoakCaller *caller)
{
  g_clear_pointer (&caller->bev, bufferevent_free);
  g_string_truncate (caller->in, 0);
}

static void
end_request (SoakCaller *caller, SoakEnd end)
{
  SoakWorld *world = caller->world;
  SoakRequest *request = caller->request;
  if (request == NULL)
    return;
  request->end = end;
  request->ended_at = g_get_monotonic_time ();
  world->counts[end]++;
  if (end == SOAK_SERVED)
    world->answered_in_a_row++;
  else if (end != SOAK_LEFT)
    world->answered_in_a_row = 0;
  caller->request = NULL;
  wait_ms (caller, g_random_int_range (PAUSE_MIN_MS, PAUSE_MAX_MS));
}

/* --- answers --- */

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
has_value (const char *head, const char *name, const char *value)
{
  const char *at = find_header (head, name);
  while (at != NULL && *at == ' ')
    at++;
  return at != NULL && g_ascii_strncasecmp (at, value, strlen (value)) == 0;
}

/* Reads chunks from `at`. Returns the bytes after the last chunk, or NULL if it has not come.
 */
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

/* The bytes after a whole answer, or NULL if it is not whole yet. */
static const char *
read_body (const GString *in, const char *head, const char *at, GString *body)
{
  const char *end = in->str + in->len;
  if (has_value (head, "Transfer-Encoding", "chunked"))
    return read_chunks (at, end, body);
  const char *length_text = find_header (head, "Content-Length");
  gsize length = length_text != NULL ? (gsize)g_ascii_strtoull (length_text, NULL, 10) : 0;
  if ((gsize)(end - at) < length)
    return NULL;
  g_string_append_len (body, at, (gssize)length);
  return at + length;
}

static void
take_answer (SoakCaller *caller)
{
  const char *blank = strstr (caller->in->str, "\r\n\r\n");
  if (blank == NULL)
    return;
  char *head = g_strndup (caller->in->str, (gsize)(blank + 2 - caller->in->str));
  GString *body = g_string_new (NULL);
  const char *rest = read_body (caller->in, head, blank + 4, body);
  if (rest != NULL)
    {
      if (rest != caller->in->str + caller->in->len)
        soak_world_violation (caller->world, "%s: bytes behind the answer: %s", caller->id,
                              rest);
      end_request (caller,
                   soak_judge_answer (caller->world, caller->id, caller->request, head, body));
      gboolean closes = has_value (head, "Connection", "close");
      g_string_truncate (caller->in, 0);
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
  g_string_append_len (caller->in, (const char *)evbuffer_pullup (input, -1), (gssize)length);
  evbuffer_drain (input, length);
  if (caller->request != NULL)
    take_answer (caller);
  else
    {
      soak_world_violation (caller->world, "vm%u sent bytes with no request open: %s",
                            caller->vm, caller->in->str);
      disconnect (caller);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *user)
{
  SoakCaller *caller = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  gboolean had_head = caller->in->len > 0;
  disconnect (caller);
  end_request (caller, had_head ? SOAK_CUT : SOAK_CLOSED);
}

/* --- requests --- */

/* Like a balancer, takes no VM that has been seen to leave; a new process counts at once. */
static gboolean
choose_vm (SoakCaller *caller)
{
  SoakWorld *world = caller->world;
  for (guint tries = 0; tries < SOAK_VMS; tries++)
    {
      caller->vm = (guint)g_random_int_range (0, SOAK_VMS);
      const SoakVm *vm = &world->vms[caller->vm];
      if (vm->process != NULL && (!vm->is_stopping || soak_vm_is_calm (vm, DP_USEC_PER_SEC)))
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
  const SoakVm *vm = &caller->world->vms[caller->vm];
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (SOAK_CALLERS_PORT) };
  inet_pton (AF_INET, vm->address, &name.sin_addr);
  caller->bev = bufferevent_socket_new (caller->world->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (caller->bev, (struct sockaddr *)&name, sizeof name) == 0)
    return TRUE;
  disconnect (caller);
  return FALSE;
}

static void
write_request (SoakCaller *caller)
{
  SoakWorld *world = caller->world;
  SoakRequest *request = caller->request;
  char path[32];
  if (request->kind == SOAK_NEW_ROUTE)
    g_snprintf (path, sizeof path, "/v%u/1", request->config_version);
  else
    g_strlcpy (path, kind_paths[request->kind], sizeof path);
  gboolean is_stream = request->kind == SOAK_DRAFT || request->kind == SOAK_LETTER;
  gboolean is_read = request->kind == SOAK_LOOK || request->kind == SOAK_NEW_ROUTE;
  const NodeKitRequest text = { .method = is_read ? "GET" : "POST",
                                .path = path,
                                .id = caller->id,
                                .body = is_read ? "" : caller->id,
                                .timeout_ms = TIMEOUT_MS,
                                .is_stream = is_stream };
  char *bytes = node_kit_format_request (&text);
  bufferevent_write (caller->bev, bytes, strlen (bytes));
  g_free (bytes);
  g_hash_table_insert (world->requests, g_strdup (caller->id), request);
}

static void
send_next (SoakCaller *caller)
{
  SoakWorld *world = caller->world;
  if (!connect_to_vm (caller))
    {
      wait_ms (caller, RECONNECT_MS);
      return;
    }
  static const SoakKind mix[] = { SOAK_BOOK,  SOAK_BOOK,  SOAK_BOOK,   SOAK_LOOK,     SOAK_LOOK,
                                  SOAK_DRAFT, SOAK_DRAFT, SOAK_LETTER, SOAK_NEW_ROUTE };
  SoakRequest *request = g_new0 (SoakRequest, 1);
  request->kind = mix[g_random_int_range (0, G_N_ELEMENTS (mix))];
  if (request->kind == SOAK_NEW_ROUTE && world->config_version < 2)
    request->kind = SOAK_LOOK;
  request->config_version = world->config_version;
  request->vm = caller->vm;
  request->incarnation = world->vms[caller->vm].incarnation;
  request->sent_at = g_get_monotonic_time ();
  g_snprintf (caller->id, sizeof caller->id, "c%u-%u", caller->index, ++caller->sent);
  caller->request = request;
  caller->leaves = g_random_int_range (0, 100) < LEAVE_PERCENT;
  write_request (caller);
  wait_ms (caller,
           caller->leaves ? g_random_int_range (1, LEAVE_MAX_MS) : PATIENCE / DP_USEC_PER_MSEC);
}

/* A caller leaves, or has waited longer than any answer may take. */
static void
give_up (SoakCaller *caller)
{
  const SoakVm *vm = &caller->world->vms[caller->vm];
  if (!caller->leaves && soak_vm_is_calm (vm, PATIENCE) && !vm->is_stopping)
    soak_world_violation (caller->world, "%s: no answer from %s in %d s", caller->id, vm->name,
                          (int)(PATIENCE / DP_USEC_PER_SEC));
  disconnect (caller);
  end_request (caller, SOAK_LEFT);
}

static void
on_time (evutil_socket_t fd, short what, void *user)
{
  SoakCaller *caller = user;
  if (caller->request != NULL)
    give_up (caller);
  else
    send_next (caller);
}

SoakCaller *
soak_caller_new (SoakWorld *world, guint index)
{
  SoakCaller *caller = g_new0 (SoakCaller, 1);
  caller->world = world;
  caller->index = index;
  caller->in = g_string_new (NULL);
  caller->timer = evtimer_new (world->base, on_time, caller);
  wait_ms (caller, g_random_int_range (0, PAUSE_MAX_MS));
  return caller;
}

void
soak_caller_free (SoakCaller *caller)
{
  disconnect (caller);
  event_free (caller->timer);
  g_string_free (caller->in, TRUE);
  g_free (caller);
}
