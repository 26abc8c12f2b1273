/* standin-platform: the platform's object API, kept in memory.
 * Speaks docs/INTERFACES.md, "Platform object API". */
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

/* Kind and object path of a call; FALSE if it is none. */
static gboolean
parse_call (struct evhttp_request *req, CallKind *kind, const char **path)
{
  const char *full = standin_request_path (req);
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
  if (platform_concerns (path) && platform.faults.unavailable == 1)
    standin_reply (req, 503, NULL, "");
  else
    platform_run_call (req, kind, path);
}

static void
on_slow_call (evutil_socket_t fd, short events, void *data)
{
  Pending *pending = data;
  if (pending->req != NULL)
    {
      standin_unwatch_close (pending->req);
      begin_call (pending->req);
    }
  platform_pending_free (pending);
}

/* A call whose peer left before it ran has no effect. */
static void
on_slow_gone (struct evhttp_connection *connection, void *data)
{
  Pending *pending = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (pending->req);
  pending->req = NULL;
}

static void
on_silent_gone (struct evhttp_connection *connection, void *data)
{
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (data);
}

static void
handle (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  CallKind kind;
  const char *object;
  gboolean is_call = parse_call (req, &kind, &object);
  gboolean faulty = is_call && platform_concerns (object);
  if (strcmp (path, "/fault") == 0 || strcmp (path, "/stats") == 0)
    handle_control (req, data);
  else if (faulty && platform.faults.silent == 1)
    standin_watch_close (req, on_silent_gone, req);
  else if (faulty && platform.faults.slow_ms > 0)
    {
      Pending *pending
        = platform_pending_new (req, object, platform.faults.slow_ms, on_slow_call);
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
