/* standin-platform: an in-memory implementation of the platform's object API, as described in
 * docs/INTERFACES.md, "Platform object API". */
#include "standins/platform.h"
#include "common/log.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX ((gsize)8 * 1024 * 1024)

const char *argp_program_version = "standin-platform " DP_VERSION;

static const char *const kind_names[CALL_KINDS] = { "get", "watch", "put", "delete", "list" };

Platform platform;

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

/* --- call counts and rate limit --- */

static void
count_call (CallKind kind, const char *path)
{
  int length = (int)strcspn (path, "/");
  char *key = g_strdup_printf ("%s %.*s", kind_names[kind], length, path);
  guint64 *count = g_hash_table_lookup (platform.call_counts, key);
  if (count == NULL)
    {
      count = g_new0 (guint64, 1);
      g_hash_table_insert (platform.call_counts, g_strdup (key), count);
    }
  *count += 1;
  g_free (key);
}

/* Counts a call; returns FALSE if it exceeds the rate limit. */
static gboolean
admit_call (void)
{
  DpUsec current_second = g_get_monotonic_time () / DP_USEC_PER_SEC;
  if (current_second != platform.current_second)
    {
      platform.current_second = current_second;
      platform.calls_this_second = 0;
    }
  platform.calls_this_second += 1;
  platform.peak_calls_per_second
    = MAX (platform.peak_calls_per_second, platform.calls_this_second);
  return platform.rate_limit == 0 || platform.calls_this_second <= platform.rate_limit;
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
  g_hash_table_iter_init (&iter, platform.call_counts);
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
                          total, platform.peak_calls_per_second, platform.refused,
                          platform.lost_responses, platform.watches.length);
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

/* Returns the kind and object path of a call; FALSE if the request is not one. */
static gboolean
parse_call (struct evhttp_request *req, CallKind *kind, const char **path)
{
  const char *request_path = standin_request_path (req);
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  if (g_str_has_prefix (request_path, "/list/") && method == EVHTTP_REQ_GET)
    {
      *kind = CALL_LIST;
      *path = request_path + strlen ("/list/");
      return TRUE;
    }
  if (!g_str_has_prefix (request_path, "/objects/"))
    return FALSE;
  *path = request_path + strlen ("/objects/");
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
  const char *path = standin_request_path (req);
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
process_call (struct evhttp_request *req)
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
  if (platform_fault_applies (path) && platform.faults.unavailable == 1)
    standin_reply (req, 503, NULL, "");
  else
    platform_execute_call (req, kind, path);
}

static void
on_delay_elapsed (evutil_socket_t fd, short events, void *data)
{
  PendingCall *pending = data;
  if (pending->req != NULL)
    {
      standin_unwatch_close (pending->req);
      process_call (pending->req);
    }
  platform_pending_free (pending);
}

/* A call whose peer disconnects during the delay is dropped without effect. */
static void
on_delayed_call_closed (struct evhttp_connection *connection, void *data)
{
  PendingCall *pending = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (pending->req);
  pending->req = NULL;
}

static void
on_silent_call_closed (struct evhttp_connection *connection, void *data)
{
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (data);
}

static void
handle_request (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  CallKind kind;
  const char *object;
  gboolean is_call = parse_call (req, &kind, &object);
  gboolean fault_applies = is_call && platform_fault_applies (object);
  if (strcmp (path, "/fault") == 0 || strcmp (path, "/stats") == 0)
    handle_control (req, data);
  else if (fault_applies && platform.faults.silent == 1)
    standin_watch_close (req, on_silent_call_closed, req);
  else if (fault_applies && platform.faults.slow_ms > 0)
    {
      PendingCall *pending
        = platform_pending_new (req, object, platform.faults.slow_ms, on_delay_elapsed);
      standin_watch_close (req, on_delayed_call_closed, pending);
    }
  else
    process_call (req);
}

/* --- startup --- */

typedef struct Settings
{
  char *address;
  guint16 port;
  guint16 control_port;
  guint32 seed;
} Settings;

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0, "address for requests" },
  { "control-port", 'c', "PORT", 0, "additional port for /fault and /stats" },
  { "object", 'o', "PATH=FILE", 0, "store FILE as the object PATH at startup; repeatable" },
  { "rate", 'r', "N", 0, "calls allowed per second; further ones get 429. 0: no limit" },
  { "seed", 's', "N", 0, "seed of the random faults" },
  { "fault", 'f', "NAME=VALUE", 0, "set a fault switch; repeatable" },
  { 0 },
};

/* Stores a file as an object; FALSE if the argument is malformed, the file is unreadable or the
 * object exists already. */
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
        argp_error (state, "invalid address, expected IP:PORT: %s", arg);
      return 0;
    case 'c':
      settings->control_port = (guint16)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 'o':
      if (!load_object (arg))
        argp_error (state, "cannot load object: %s", arg);
      return 0;
    case 'r':
      platform.rate_limit = (guint)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 's':
      settings->seed = (guint32)g_ascii_strtoull (arg, NULL, 10);
      return 0;
    case 'f':
      if (!fault_set (&platform.fault_table, arg))
        argp_error (state, "unknown fault switch or invalid value: %s", arg);
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
    = { options, parse_option, NULL, "In-memory stand-in for the platform's object API." };
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
  platform.call_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.server = standin_server_new (&(StandinServerOptions){
    .base = platform.base,
    .address = settings.address,
    .port = settings.port,
    .control_port = settings.control_port,
    .body_max = BODY_MAX,
    .handle = handle_request,
    .control = handle_control,
  });
  if (platform.server == NULL)
    return EXIT_FAILURE;
  standin_server_refuse (platform.server, platform.faults.refuse == 1);
  standin_run (platform.base);
  g_free (settings.address);
  return EXIT_SUCCESS;
}
