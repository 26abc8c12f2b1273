#include "scheduler/load_poll.h"

#include "net/http_call.h"

#include <json-c/json.h>
#include <string.h>

#define REPORT_BYTES_MAX ((gsize)1024 * 1024)
#define JSON_DEPTH_MAX 8
#define CACHE_EVENTS_MAX 20000
#define HTTP_OK_STATUS 200
#define HTTP_NOT_FOUND_STATUS 404

struct DpLoadPoller
{
  DpLoadPollerOptions options;
  GHashTable *polls; /* DpName of the target -> Poll */
};

typedef struct Poll
{
  DpLoadPoller *poller;
  DpName target;
  DpPoolKind kind;
  DpHttpCall *call;
  int status;
  GByteArray *body;
} Poll;

/* --- response body --- */

static gboolean
read_number (struct json_object *object, const char *name, guint64 *out)
{
  struct json_object *value;
  if (!json_object_object_get_ex (object, name, &value))
    return TRUE;
  if (!json_object_is_type (value, json_type_int))
    return FALSE;
  *out = json_object_get_uint64 (value);
  return TRUE;
}

static gboolean
read_uint (struct json_object *object, const char *name, guint *out)
{
  guint64 number = 0;
  if (!read_number (object, name, &number) || number > G_MAXUINT)
    return FALSE;
  *out = (guint)number;
  return TRUE;
}

/* Block hashes use all 64 bits; values from 2^63 on are sent as unsigned integers or strings.
 */
static gboolean
read_block (struct json_object *value, guint64 *out)
{
  if (json_object_is_type (value, json_type_int))
    {
      *out = json_object_get_uint64 (value);
      return TRUE;
    }
  if (!json_object_is_type (value, json_type_string))
    return FALSE;
  return g_ascii_string_to_unsigned (json_object_get_string (value), 10, 0, G_MAXUINT64, out,
                                     NULL);
}

static gboolean
read_cache_event (struct json_object *row, DpCacheEvent *event)
{
  if (!json_object_is_type (row, json_type_array) || json_object_array_length (row) != 2)
    return FALSE;
  struct json_object *type = json_object_array_get_idx (row, 0);
  if (!json_object_is_type (type, json_type_string))
    return FALSE;
  const char *text = json_object_get_string (type);
  if (strcmp (text, "stored") == 0)
    event->type = DP_CACHE_STORED;
  else if (strcmp (text, "removed") == 0)
    event->type = DP_CACHE_REMOVED;
  else
    return FALSE;
  return read_block (json_object_array_get_idx (row, 1), &event->block);
}

static gboolean
read_cache_events (struct json_object *root, GArray *events)
{
  struct json_object *rows;
  if (!json_object_object_get_ex (root, "cache_events", &rows))
    return TRUE;
  if (!json_object_is_type (rows, json_type_array))
    return FALSE;
  gsize count = json_object_array_length (rows);
  if (count > CACHE_EVENTS_MAX)
    return FALSE;
  for (gsize i = 0; i < count; i++)
    {
      DpCacheEvent event;
      if (!read_cache_event (json_object_array_get_idx (rows, i), &event))
        return FALSE;
      g_array_append_val (events, event);
    }
  return TRUE;
}

static struct json_object *
parse_json (const char *text, gsize length)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  struct json_object *root = json_tokener_parse_ex (tokener, text, (int)length);
  if (json_tokener_get_error (tokener) != json_tokener_success)
    g_clear_pointer (&root, json_object_put);
  json_tokener_free (tokener);
  return root;
}

gboolean
dp_load_parse (const char *text, gsize length, DpLoadReport *report, GArray *events)
{
  if (length > REPORT_BYTES_MAX)
    return FALSE;
  struct json_object *root = parse_json (text, length);
  gboolean ok = root != NULL && json_object_is_type (root, json_type_object)
                && read_number (root, "boot", &report->boot)
                && read_uint (root, "running", &report->running)
                && read_uint (root, "waiting", &report->waiting)
                && read_uint (root, "kv_tokens_used", &report->kv_tokens_used)
                && read_number (root, "cache_first", &report->cache_sequence)
                && read_cache_events (root, events);
  json_object_put (root);
  if (!ok)
    return FALSE;
  report->reachable = TRUE;
  report->cache_event_count = events->len;
  report->cache_events = (const DpCacheEvent *)events->data;
  return TRUE;
}

/* --- polls --- */

static void
free_poll (gpointer data)
{
  Poll *poll = data;
  if (poll->call != NULL)
    dp_http_call_cancel (poll->call);
  g_byte_array_unref (poll->body);
  g_free (poll);
}

static void
on_head (gpointer user, DpHttpCall *call, int status)
{
  Poll *poll = user;
  poll->status = status;
}

static void
on_data (gpointer user, const void *data, gsize length)
{
  Poll *poll = user;
  g_byte_array_append (poll->body, data, (guint)length);
}

static void
count_poll (DpLoadPoller *poller, const char *result)
{
  dp_counters_add (poller->options.counters, "dogwoodplank_polls_total", "result", result, 1);
}

static void
read_response (const Poll *poll, DpHttpCallResult result, DpLoadReport *report, GArray *events)
{
  DpLoadPoller *poller = poll->poller;
  if (result != DP_HTTP_COMPLETE)
    {
      count_poll (poller, "no_answer");
      return;
    }
  /* Services are not required to implement /load. */
  if (poll->kind == DP_POOL_SERVICE && poll->status == HTTP_NOT_FOUND_STATUS)
    {
      report->reachable = TRUE;
      count_poll (poller, "no_report");
      return;
    }
  gboolean ok
    = poll->status == HTTP_OK_STATUS
      && dp_load_parse ((const char *)poll->body->data, poll->body->len, report, events);
  count_poll (poller, ok ? "ok" : "malformed");
  if (!ok)
    *report = (DpLoadReport){ .target = poll->target };
}

static void
on_end (gpointer user, DpHttpCallResult result, gboolean nothing_sent)
{
  Poll *poll = user;
  DpLoadPoller *poller = poll->poller;
  poll->call = NULL;
  DpLoadReport report = { .target = poll->target };
  GArray *events = g_array_new (FALSE, FALSE, sizeof (DpCacheEvent));
  read_response (poll, result, &report, events);
  g_hash_table_remove (poller->polls, &poll->target);
  poller->options.callback (poller->options.user, &report);
  g_array_unref (events);
}

static const DpHttpCallbacks callbacks = { on_head, on_data, on_end };

DpLoadPoller *
dp_load_poller_new (const DpLoadPollerOptions *options)
{
  DpLoadPoller *poller = g_new0 (DpLoadPoller, 1);
  poller->options = *options;
  dp_counters_ref (options->counters);
  poller->polls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_poll);
  return poller;
}

void
dp_load_poller_free (DpLoadPoller *poller)
{
  if (poller == NULL)
    return;
  g_hash_table_unref (poller->polls);
  dp_counters_unref (poller->options.counters);
  g_free (poller);
}

void
dp_load_poller_start (DpLoadPoller *poller, const DpPoll *target)
{
  if (g_hash_table_contains (poller->polls, &target->target))
    {
      count_poll (poller, "skipped");
      return;
    }
  Poll *poll = g_new0 (Poll, 1);
  poll->poller = poller;
  poll->target = target->target;
  poll->kind = target->kind;
  poll->body = g_byte_array_new ();
  char path[64];
  g_snprintf (path, sizeof path, "/load?cache_since=%" G_GUINT64_FORMAT,
              target->cache_sequence);
  const DpHttpCallOptions options = { .base = poller->options.base,
                                      .address = target->address,
                                      .port = target->port,
                                      .method = EVHTTP_REQ_GET,
                                      .path = target->kind == DP_POOL_ENGINES ? path : "/load",
                                      .connect_timeout = poller->options.timeout,
                                      .first_byte_timeout = poller->options.timeout,
                                      .idle_timeout = poller->options.timeout,
                                      .response_body_max = REPORT_BYTES_MAX,
                                      .callbacks = &callbacks,
                                      .user = poll };
  poll->call = dp_http_call_start (&options);
  g_hash_table_insert (poller->polls, &poll->target, poll);
}
