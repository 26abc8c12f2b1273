/* standin-platform: the platform's object API, kept in memory.
 * Speaks docs/INTERFACES.md, "Platform object API". */
#include "common/id.h"
#include "common/log.h"
#include "standins/fault.h"
#include "standins/http.h"
#include "standins/platform_store.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_BYTES_MAX ((gsize)1024 * 1024)
#define BODY_MAX ((gsize)8 * 1024 * 1024)
#define WATCH_SECONDS_MAX 600

const char *argp_program_version = "standin-platform " DP_VERSION;

typedef struct PlatformFaults
{
  char *only;           /* faults concern only paths that start so */
  gint64 unavailable;   /* 1: 503 to each call */
  gint64 refuse;        /* 1: connections are refused */
  gint64 silent;        /* 1: calls get no answer and no effect */
  gint64 slow_ms;       /* delay of each answer */
  gint64 lose_answers;  /* that many writes take effect and get no answer */
  gint64 lose_percent;  /* chance that a write does so */
  gint64 late_write_ms; /* writes lose their connection and take effect so much later */
  gint64 stale_percent; /* chance that a read gets the value before */
  gint64 watch_gap;     /* that many changes wake no watch */
  gint64 watch_repeat;  /* that many watches answer at once with what is known */
} PlatformFaults;

typedef enum CallKind
{
  CALL_GET,
  CALL_WATCH,
  CALL_PUT,
  CALL_DELETE,
  CALL_LIST,
  CALL_KINDS,
} CallKind;

static const char *const kind_names[CALL_KINDS] = { "get", "watch", "put", "delete", "list" };

typedef struct Platform
{
  struct event_base *base;
  StandinServer *server;
  Store *store;
  PlatformFaults faults;
  FaultTable fault_table;
  GRand *random;
  GQueue watches; /* Pending */
  /* calls of the current second, and of the busiest one */
  guint rate; /* 0: no limit */
  DpUsec second;
  guint64 calls_now;
  guint64 calls_peak;
  guint64 refused;
  guint64 lost;
  GHashTable *calls; /* "KIND PREFIX" -> count */
} Platform;

/* A call that waits: for its slow answer, its late effect or its watch's change. */
typedef struct Pending
{
  struct evhttp_request *req; /* NULL once the peer has gone */
  struct event *timer;
  char *path;
  guint64 version; /* of the watch, or expected by the late write */
  GBytes *value;   /* of the late write */
} Pending;

static Platform platform;

static const FaultSwitch fault_switches[] = {
  { "only", .text = &platform.faults.only },
  { "unavailable", .number = &platform.faults.unavailable },
  { "refuse", .number = &platform.faults.refuse },
  { "silent", .number = &platform.faults.silent },
  { "slow_ms", .number = &platform.faults.slow_ms },
  { "lose_answers", .number = &platform.faults.lose_answers },
  { "lose_percent", .number = &platform.faults.lose_percent },
  { "late_write_ms", .number = &platform.faults.late_write_ms },
  { "stale_percent", .number = &platform.faults.stale_percent },
  { "watch_gap", .number = &platform.faults.watch_gap },
  { "watch_repeat", .number = &platform.faults.watch_repeat },
};

static void
pending_free (Pending *pending)
{
  if (pending->timer != NULL)
    event_free (pending->timer);
  g_clear_pointer (&pending->value, g_bytes_unref);
  g_free (pending->path);
  g_free (pending);
}

static Pending *
pending_new (struct evhttp_request *req, const char *path, gint64 msec, event_callback_fn next)
{
  Pending *pending = g_new0 (Pending, 1);
  const struct timeval delay = { msec / 1000, (msec % 1000) * 1000 };
  pending->req = req;
  pending->path = g_strdup (path);
  pending->timer = event_new (platform.base, -1, 0, next, pending);
  event_add (pending->timer, &delay);
  return pending;
}

static gboolean
chance (gint64 percent)
{
  return percent > 0 && g_rand_int_range (platform.random, 0, 100) < percent;
}

/* Uses up one of a counted fault. */
static gboolean
take_one (gint64 *left)
{
  if (*left <= 0)
    return FALSE;
  *left -= 1;
  return TRUE;
}

static gboolean
concerns (const char *path)
{
  return platform.faults.only == NULL || g_str_has_prefix (path, platform.faults.only);
}

/* --- counting --- */

static void
count_call (CallKind kind, const char *path)
{
  int length = (int)strcspn (path, "/");
  char *key = g_strdup_printf ("%s %.*s", kind_names[kind], length, path);
  guint64 *count = g_hash_table_lookup (platform.calls, key);
  if (count == NULL)
    {
      count = g_new0 (guint64, 1);
      g_hash_table_insert (platform.calls, g_strdup (key), count);
    }
  *count += 1;
  g_free (key);
}

/* FALSE: over the rate of this second. */
static gboolean
admit_call (void)
{
  DpUsec second = g_get_monotonic_time () / DP_USEC_PER_SEC;
  if (second != platform.second)
    {
      platform.second = second;
      platform.calls_now = 0;
    }
  platform.calls_now += 1;
  platform.calls_peak = MAX (platform.calls_peak, platform.calls_now);
  return platform.rate == 0 || platform.calls_now <= platform.rate;
}

static void
reply_stats (struct evhttp_request *req)
{
  GString *out = g_string_new ("{\"calls\":{");
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gboolean first = TRUE;
  guint64 total = 0;
  g_hash_table_iter_init (&iter, platform.calls);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      guint64 count = *(guint64 *)value;
      g_string_append_printf (out, "%s\"%s\":%" G_GUINT64_FORMAT, first ? "" : ",", (char *)key,
                              count);
      total += count;
      first = FALSE;
    }
  g_string_append_printf (out,
                          "},\"total\":%" G_GUINT64_FORMAT ",\"peak\":%" G_GUINT64_FORMAT
                          ",\"refused\":%" G_GUINT64_FORMAT ",\"lost\":%" G_GUINT64_FORMAT
                          ",\"waiting_watches\":%u}\n",
                          total, platform.calls_peak, platform.refused, platform.lost,
                          platform.watches.length);
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

/* --- answers --- */

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
  gboolean stale = concerns (path) && object->previous_value != NULL
                   && chance (platform.faults.stale_percent);
  if (stale)
    reply_value (req, object->previous_value, object->previous_version);
  else
    reply_value (req, object->value, object->version);
}

/* --- watches --- */

static guint64
version_of (const char *path)
{
  const StoredObject *object = store_get (platform.store, path);
  return object != NULL ? object->version : 0;
}

static void
end_watch (Pending *watch, gboolean changed)
{
  struct evhttp_request *req = watch->req;
  g_queue_remove (&platform.watches, watch);
  if (req != NULL)
    {
      standin_unwatch (req);
      if (changed)
        reply_object (req, watch->path);
      else
        standin_reply (req, 304, NULL, "");
    }
  pending_free (watch);
}

static void
on_watch_timeout (evutil_socket_t fd, short events, void *data)
{
  end_watch (data, FALSE);
}

static void
on_watch_gone (struct evhttp_connection *connection, void *data)
{
  Pending *watch = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_forget (watch->req);
  watch->req = NULL;
  end_watch (watch, FALSE);
}

static void
wake_watches (const char *path)
{
  if (concerns (path) && take_one (&platform.faults.watch_gap))
    return;
  GList *item = platform.watches.head;
  while (item != NULL)
    {
      GList *next = item->next;
      Pending *watch = item->data;
      if (strcmp (watch->path, path) == 0 && version_of (path) != watch->version)
        end_watch (watch, TRUE);
      item = next;
    }
}

static void
begin_watch (struct evhttp_request *req, const char *path, guint64 version, guint64 seconds)
{
  if (version_of (path) != version
      || (concerns (path) && take_one (&platform.faults.watch_repeat)))
    {
      reply_object (req, path);
      return;
    }
  gint64 msec = (gint64)MIN (seconds, WATCH_SECONDS_MAX) * 1000;
  Pending *watch = pending_new (req, path, msec, on_watch_timeout);
  watch->version = version;
  g_queue_push_tail (&platform.watches, watch);
  standin_watch_close (req, on_watch_gone, watch);
}

/* --- calls --- */

/* The version that the request's condition asks for; FALSE: there is no condition. */
static gboolean
expected_version (struct evhttp_request *req, guint64 *version)
{
  const char *match = standin_header (req, "If-Match");
  const char *none = standin_header (req, "If-None-Match");
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
  Pending *write = data;
  guint64 version;
  if (store_put (platform.store, write->path, write->version, write->value, &version)
      == STORE_DONE)
    wake_watches (write->path);
  pending_free (write);
}

static gboolean
loses_answer (const char *path)
{
  return concerns (path)
         && (take_one (&platform.faults.lose_answers) || chance (platform.faults.lose_percent));
}

static void
put_object (struct evhttp_request *req, const char *path, guint64 expected, GBytes *value)
{
  if (concerns (path) && platform.faults.late_write_ms > 0)
    {
      Pending *write = pending_new (NULL, path, platform.faults.late_write_ms, on_late_write);
      write->version = expected;
      write->value = g_bytes_ref (value);
      platform.lost += 1;
      standin_cut (req, "", 0);
      return;
    }
  guint64 version = 0;
  StoreStatus status = store_put (platform.store, path, expected, value, &version);
  if (status == STORE_DONE)
    wake_watches (path);
  if (loses_answer (path))
    {
      platform.lost += 1;
      standin_cut (req, "", 0);
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
  char *body = standin_body (req, &length);
  GBytes *value = g_bytes_new_take (body, length);
  if (length > VALUE_BYTES_MAX)
    standin_reply (req, 413, NULL, "");
  else if (!expected_version (req, &expected))
    standin_reply (req, 428, NULL, "");
  else
    put_object (req, path, expected, value);
  g_bytes_unref (value);
}

static void
handle_delete (struct evhttp_request *req, const char *path)
{
  guint64 expected;
  if (!expected_version (req, &expected))
    {
      standin_reply (req, 428, NULL, "");
      return;
    }
  StoreStatus status = store_remove (platform.store, path, expected);
  if (status == STORE_DONE)
    wake_watches (path);
  int code = status == STORE_DONE ? 204 : status == STORE_ABSENT ? 404 : 412;
  if (loses_answer (path))
    {
      platform.lost += 1;
      standin_cut (req, "", 0);
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
                            version_of (item->data));
  g_list_free (paths);
  g_string_append (out, "]}");
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

static void
handle_get (struct evhttp_request *req, const char *path)
{
  char *watch = standin_query (req, "watch");
  if (watch == NULL)
    {
      reply_object (req, path);
      return;
    }
  char *seconds = standin_query (req, "seconds");
  begin_watch (req, path, g_ascii_strtoull (watch, NULL, 10),
               seconds != NULL ? g_ascii_strtoull (seconds, NULL, 10) : 0);
  g_free (seconds);
  g_free (watch);
}

static void
run_call (struct evhttp_request *req, CallKind kind, const char *path)
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

/* Kind and object path of a call; FALSE if it is none. */
static gboolean
parse_call (struct evhttp_request *req, CallKind *kind, const char **path)
{
  const char *full = standin_path (req);
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  if (g_str_has_prefix (full, "/list/") && method == EVHTTP_REQ_GET)
    {
      *kind = CALL_LIST;
      *path = full + strlen ("/list/");
      return TRUE;
    }
  if (!g_str_has_prefix (full, "/objects/"))
    return FALSE;
  *path = full + strlen ("/objects/");
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (req));
  if (method == EVHTTP_REQ_GET)
    *kind = query != NULL && strstr (query, "watch=") != NULL ? CALL_WATCH : CALL_GET;
  else if (method == EVHTTP_REQ_PUT)
    *kind = CALL_PUT;
  else if (method == EVHTTP_REQ_DELETE)
    *kind = CALL_DELETE;
  else
    return FALSE;
  return **path != '\0';
}

static void
handle_control (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_path (req);
  if (strcmp (path, "/fault") == 0)
    {
      fault_handle (&platform.fault_table, req);
      standin_server_refuse (platform.server, platform.faults.refuse == 1);
    }
  else if (strcmp (path, "/stats") == 0)
    reply_stats (req);
  else
    standin_reply (req, 404, NULL, "");
}

static void
begin_call (struct evhttp_request *req)
{
  CallKind kind;
  const char *path;
  if (!parse_call (req, &kind, &path))
    {
      standin_reply (req, 404, NULL, "");
      return;
    }
  count_call (kind, path);
  if (!admit_call ())
    {
      platform.refused += 1;
      standin_reply (req, 429, NULL, "");
      return;
    }
  if (concerns (path) && platform.faults.unavailable == 1)
    standin_reply (req, 503, NULL, "");
  else
    run_call (req, kind, path);
}

static void
on_slow_call (evutil_socket_t fd, short events, void *data)
{
  Pending *pending = data;
  if (pending->req != NULL)
    {
      standin_unwatch (pending->req);
      begin_call (pending->req);
    }
  pending_free (pending);
}

/* A call whose peer left before it ran has no effect. */
static void
on_slow_gone (struct evhttp_connection *connection, void *data)
{
  Pending *pending = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_forget (pending->req);
  pending->req = NULL;
}

static void
on_silent_gone (struct evhttp_connection *connection, void *data)
{
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_forget (data);
}

static void
handle (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_path (req);
  CallKind kind;
  const char *object;
  gboolean is_call = parse_call (req, &kind, &object);
  gboolean faulty = is_call && concerns (object);
  if (strcmp (path, "/fault") == 0 || strcmp (path, "/stats") == 0)
    handle_control (req, data);
  else if (faulty && platform.faults.silent == 1)
    standin_watch_close (req, on_silent_gone, req);
  else if (faulty && platform.faults.slow_ms > 0)
    {
      Pending *pending = pending_new (req, object, platform.faults.slow_ms, on_slow_call);
      standin_watch_close (req, on_slow_gone, pending);
    }
  else
    begin_call (req);
}

/* --- start --- */

typedef struct Settings
{
  char *address;
  guint16 port;
  guint16 control_port;
  guint32 seed;
} Settings;

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0, "where clients connect" },
  { "control-port", 'c', "PORT", 0, "further port for /fault and /stats" },
  { "object", 'o', "PATH=FILE", 0, "an object that is there from the start" },
  { "rate", 'r', "N", 0, "calls a second; more get 429. 0: no limit" },
  { "seed", 's', "N", 0, "seed of the faults that come by chance" },
  { "fault", 'f', "NAME=VALUE", 0, "set a fault switch" },
  { 0 },
};

/* Stores a file as an object; FALSE if the argument or the file is no good. */
static gboolean
load_object (const char *argument)
{
  const char *equals = strchr (argument, '=');
  char *text = NULL;
  gsize length;
  if (equals == NULL || !g_file_get_contents (equals + 1, &text, &length, NULL))
    return FALSE;
  char *path = g_strndup (argument, (gsize)(equals - argument));
  GBytes *value = g_bytes_new_take (text, length);
  guint64 version;
  StoreStatus status = store_put (platform.store, path, 0, value, &version);
  g_bytes_unref (value);
  g_free (path);
  return status == STORE_DONE;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Settings *settings = state->input;
  switch (key)
    {
    case 'l':
      if (!standin_parse_address (arg, &settings->address, &settings->port))
        argp_error (state, "not IP:PORT: %s", arg);
      return 0;
    case 'c':
      settings->control_port = (guint16)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 'o':
      if (!load_object (arg))
        argp_error (state, "can't load object: %s", arg);
      return 0;
    case 'r':
      platform.rate = (guint)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 's':
      settings->seed = (guint32)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 'f':
      if (!fault_set (&platform.fault_table, arg))
        argp_error (state, "no such fault: %s", arg);
      return 0;
    case ARGP_KEY_END:
      if (settings->address == NULL)
        argp_error (state, "--listen is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser
    = { options, parse_option, NULL, "A stand-in for the platform's object API." };
  Settings settings = { .seed = 1 };
  signal (SIGPIPE, SIG_IGN);
  dp_log_init ("standin-platform", DP_LOG_INFO);
  platform.fault_table
    = (FaultTable){ .switches = fault_switches, .count = G_N_ELEMENTS (fault_switches) };
  fault_clear (&platform.fault_table);
  platform.store = store_new ();
  argp_parse (&parser, argc, argv, 0, NULL, &settings);

  platform.base = event_base_new ();
  platform.random = g_rand_new_with_seed (settings.seed);
  platform.calls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.server = standin_server_new (&(StandinServerOptions){
    .base = platform.base,
    .address = settings.address,
    .port = settings.port,
    .control_port = settings.control_port,
    .body_max = BODY_MAX,
    .handle = handle,
    .control = handle_control,
  });
  if (platform.server == NULL)
    return EXIT_FAILURE;
  standin_server_refuse (platform.server, platform.faults.refuse == 1);
  standin_run (platform.base);
  g_free (settings.address);
  return EXIT_SUCCESS;
}
