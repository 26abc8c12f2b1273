/* Calls of the stand-in platform: get, put, delete, list and watch. */
#include "standins/platform.h"

#include <string.h>

#define VALUE_BYTES_MAX ((gsize)1024 * 1024)
#define WATCH_SECONDS_MAX 600

void
platform_pending_free (PendingCall *pending)
{
  if (pending->timer != NULL)
    event_free (pending->timer);
  g_clear_pointer (&pending->value, g_bytes_unref);
  g_free (pending->path);
  g_free (pending);
}

PendingCall *
platform_pending_new (struct evhttp_request *req,
                      const char *path,
                      gint64 msec,
                      event_callback_fn next)
{
  PendingCall *pending = g_new0 (PendingCall, 1);
  const struct timeval delay = { msec / 1000, (msec % 1000) * 1000 };
  pending->req = req;
  pending->path = g_strdup (path);
  pending->timer = event_new (platform.base, -1, 0, next, pending);
  event_add (pending->timer, &delay);
  return pending;
}

static gboolean
random_chance (gint64 percent)
{
  return percent > 0 && g_rand_int_range (platform.random, 0, 100) < percent;
}

/* Decrements a counted fault; FALSE if none is left. */
static gboolean
consume_fault (gint64 *left)
{
  if (*left <= 0)
    return FALSE;
  *left -= 1;
  return TRUE;
}

gboolean
platform_fault_applies (const char *path)
{
  return platform.faults.only == NULL || g_str_has_prefix (path, platform.faults.only);
}

/* --- responses --- */

static void
add_etag (struct evhttp_request *req, guint64 version)
{
  char text[32];
  g_snprintf (text, sizeof text, "\"%" G_GUINT64_FORMAT "\"", version);
  evhttp_add_header (evhttp_request_get_output_headers (req), "ETag", text);
}

static void
reply_value (struct evhttp_request *req, GBytes *value, guint64 version)
{
  gsize length;
  const void *data = g_bytes_get_data (value, &length);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, data, length);
  add_etag (req, version);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Content-Type",
                     "application/octet-stream");
  evhttp_send_reply (req, 200, "OK", body);
  evbuffer_free (body);
}

static void
reply_object (struct evhttp_request *req, const char *path)
{
  const StoredObject *object = store_get (platform.store, path);
  if (object == NULL)
    {
      standin_reply (req, 404, NULL, "");
      return;
    }
  gboolean stale = platform_fault_applies (path) && object->previous_value != NULL
                   && random_chance (platform.faults.stale_percent);
  if (stale)
    reply_value (req, object->previous_value, object->previous_version);
  else
    reply_value (req, object->value, object->version);
}

/* --- watches --- */

static guint64
get_version (const char *path)
{
  const StoredObject *object = store_get (platform.store, path);
  return object != NULL ? object->version : 0;
}

static void
complete_watch (PendingCall *watch, gboolean changed)
{
  struct evhttp_request *req = watch->req;
  g_queue_remove (&platform.watches, watch);
  if (req != NULL)
    {
      standin_unwatch_close (req);
      if (changed)
        reply_object (req, watch->path);
      else
        standin_reply (req, 304, NULL, "");
    }
  platform_pending_free (watch);
}

static void
on_watch_timeout (evutil_socket_t fd, short events, void *data)
{
  complete_watch (data, FALSE);
}

static void
on_watch_closed (struct evhttp_connection *connection, void *data)
{
  PendingCall *watch = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (watch->req);
  watch->req = NULL;
  complete_watch (watch, FALSE);
}

static void
wake_watches (const char *path)
{
  if (platform_fault_applies (path) && consume_fault (&platform.faults.watch_gap))
    return;
  GList *item = platform.watches.head;
  while (item != NULL)
    {
      GList *next = item->next;
      PendingCall *watch = item->data;
      if (strcmp (watch->path, path) == 0 && get_version (path) != watch->version)
        complete_watch (watch, TRUE);
      item = next;
    }
}

static void
start_watch (struct evhttp_request *req, const char *path, guint64 version, guint64 seconds)
{
  if (get_version (path) != version
      || (platform_fault_applies (path) && consume_fault (&platform.faults.watch_repeat)))
    {
      reply_object (req, path);
      return;
    }
  gint64 msec = (gint64)MIN (seconds, WATCH_SECONDS_MAX) * 1000;
  PendingCall *watch = platform_pending_new (req, path, msec, on_watch_timeout);
  watch->version = version;
  g_queue_push_tail (&platform.watches, watch);
  standin_watch_close (req, on_watch_closed, watch);
}

/* --- calls --- */

/* Reads the version that the request expects; 0: no object. FALSE if it has no condition. */
static gboolean
parse_expected_version (struct evhttp_request *req, guint64 *version)
{
  const char *match = standin_request_header (req, "If-Match");
  const char *none = standin_request_header (req, "If-None-Match");
  *version = 0;
  if (match != NULL)
    {
      *version = g_ascii_strtoull (match[0] == '"' ? match + 1 : match, NULL, 10);
      return *version != 0;
    }
  return none != NULL && strcmp (none, "*") == 0;
}

static void
on_late_write (evutil_socket_t fd, short events, void *data)
{
  PendingCall *write = data;
  guint64 version;
  if (store_put (platform.store, write->path, write->version, write->value, &version)
      == STORE_DONE)
    wake_watches (write->path);
  platform_pending_free (write);
}

static gboolean
loses_response (const char *path)
{
  return platform_fault_applies (path)
         && (consume_fault (&platform.faults.lose_answers)
             || random_chance (platform.faults.lose_percent));
}

static void
put_object (struct evhttp_request *req, const char *path, guint64 expected, GBytes *value)
{
  if (platform_fault_applies (path) && platform.faults.late_write_ms > 0)
    {
      PendingCall *write
        = platform_pending_new (NULL, path, platform.faults.late_write_ms, on_late_write);
      write->version = expected;
      write->value = g_bytes_ref (value);
      platform.lost_responses += 1;
      standin_send_and_close (req, "", 0);
      return;
    }
  guint64 version = 0;
  StoreStatus status = store_put (platform.store, path, expected, value, &version);
  if (status == STORE_DONE)
    wake_watches (path);
  if (loses_response (path))
    {
      platform.lost_responses += 1;
      standin_send_and_close (req, "", 0);
    }
  else if (status == STORE_DONE)
    {
      add_etag (req, version);
      standin_reply (req, 200, NULL, "");
    }
  else
    standin_reply (req, 412, NULL, "");
}

static void
handle_put (struct evhttp_request *req, const char *path)
{
  gsize length;
  guint64 expected;
  char *body = standin_request_body (req, &length);
  GBytes *value = g_bytes_new_take (body, length);
  if (length > VALUE_BYTES_MAX)
    standin_reply (req, 413, NULL, "");
  else if (!parse_expected_version (req, &expected))
    standin_reply (req, 428, NULL, "");
  else
    put_object (req, path, expected, value);
  g_bytes_unref (value);
}

static void
handle_delete (struct evhttp_request *req, const char *path)
{
  guint64 expected;
  if (!parse_expected_version (req, &expected))
    {
      standin_reply (req, 428, NULL, "");
      return;
    }
  StoreStatus status = store_remove (platform.store, path, expected);
  if (status == STORE_DONE)
    wake_watches (path);
  int code = status == STORE_DONE ? 204 : status == STORE_NOT_FOUND ? 404 : 412;
  if (loses_response (path))
    {
      platform.lost_responses += 1;
      standin_send_and_close (req, "", 0);
    }
  else
    standin_reply (req, code, NULL, "");
}

static void
handle_list (struct evhttp_request *req, const char *prefix)
{
  GString *out = g_string_new ("{\"objects\":[");
  GList *paths = store_list (platform.store, prefix);
  for (GList *item = paths; item != NULL; item = item->next)
    g_string_append_printf (out, "%s{\"path\":\"%s\",\"version\":%" G_GUINT64_FORMAT "}",
                            item == paths ? "" : ",", (char *)item->data,
                            get_version (item->data));
  g_list_free (paths);
  g_string_append (out, "]}");
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

static void
handle_get (struct evhttp_request *req, const char *path)
{
  char *watch = standin_query_parameter (req, "watch");
  if (watch == NULL)
    {
      reply_object (req, path);
      return;
    }
  char *seconds = standin_query_parameter (req, "seconds");
  start_watch (req, path, g_ascii_strtoull (watch, NULL, 10),
               seconds != NULL ? g_ascii_strtoull (seconds, NULL, 10) : 0);
  g_free (seconds);
  g_free (watch);
}

void
platform_execute_call (struct evhttp_request *req, CallKind kind, const char *path)
{
  switch (kind)
    {
    case CALL_GET:
    case CALL_WATCH:
      handle_get (req, path);
      return;
    case CALL_PUT:
      handle_put (req, path);
      return;
    case CALL_DELETE:
      handle_delete (req, path);
      return;
    case CALL_LIST:
      handle_list (req, path);
      return;
    case CALL_KINDS:
      return;
    }
}
