/* standin-service: a plain service where each POST that runs has an effect, also a repeated
 * one. The protocol is in docs/INTERFACES.md, "Plain service".
 *
 * The response to a POST has the body's hash and the effect's number. GET /effects returns how
 * many effects each Idempotency-Key and each body had; tests rely on these counts. */
#include "common/id.h"
#include "common/log.h"
#include "standins/fault.h"
#include "standins/http.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX ((gsize)4 * 1024 * 1024)

const char *argp_program_version = "standin-service " DP_VERSION;

typedef struct ServiceFaults
{
  gint64 delay_before_ms; /* before the effect */
  gint64 delay_after_ms;  /* between the effect and the response */
  gint64 cut_before;      /* 1: closes the connection before the effect */
  gint64 cut_after;       /* 1: closes the connection after the effect */
  gint64 silent_after;    /* 1: sends no response after the effect */
  gint64 error_after;     /* HTTP status of the response after the effect */
  gint64 error_before;    /* HTTP status of the response; there is no effect */
  gint64 refuse;          /* 1: connections are refused */
} ServiceFaults;

typedef struct Service
{
  struct event_base *base;
  StandinServer *server;
  ServiceFaults faults;
  FaultTable fault_table;
  GHashTable *by_key;   /* Idempotency-Key -> number of effects */
  GHashTable *by_body;  /* hash of the body, as text -> number of effects */
  GHashTable *first_at; /* Idempotency-Key -> Unix time of its first effect in usec, as text */
  guint64 effects;
  guint64 requests;
  guint running;
} Service;

typedef struct Call
{
  struct evhttp_request *req; /* NULL after the peer has closed the connection */
  struct event *timer;
  char *key; /* may be NULL */
  char *body_hash;
  char *attempt; /* may be NULL */
  gboolean faults_enabled;
  gboolean has_effect;
  guint64 effect; /* number of the effect, from 1 */
} Call;

static Service service;

static const FaultSwitch fault_switches[] = {
  { "delay_before_ms", .number = &service.faults.delay_before_ms },
  { "delay_after_ms", .number = &service.faults.delay_after_ms },
  { "cut_before", .number = &service.faults.cut_before },
  { "cut_after", .number = &service.faults.cut_after },
  { "silent_after", .number = &service.faults.silent_after },
  { "error_after", .number = &service.faults.error_after },
  { "error_before", .number = &service.faults.error_before },
  { "refuse", .number = &service.faults.refuse },
};

static void
call_free (Call *call)
{
  service.running -= 1;
  if (call->timer != NULL)
    event_free (call->timer);
  g_free (call->key);
  g_free (call->body_hash);
  g_free (call->attempt);
  g_free (call);
}

static void
increment_count (GHashTable *counts, const char *key)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, key));
  g_hash_table_replace (counts, g_strdup (key), GUINT_TO_POINTER (count + 1));
}

static void
record_first_effect (const char *key)
{
  if (g_hash_table_contains (service.first_at, key))
    return;
  char *now = g_strdup_printf ("%" G_GINT64_FORMAT, g_get_real_time ());
  g_hash_table_insert (service.first_at, g_strdup (key), now);
}

static void
apply_effect (Call *call)
{
  service.effects += 1;
  call->effect = service.effects;
  call->has_effect = TRUE;
  increment_count (service.by_body, call->body_hash);
  if (call->key != NULL)
    {
      increment_count (service.by_key, call->key);
      record_first_effect (call->key);
    }
  dp_log (DP_LOG_INFO, "effect", "key", call->key, "body", call->body_hash, "attempt",
          call->attempt, NULL);
}

static void
close_call (Call *call)
{
  if (call->req != NULL)
    standin_send_and_close (call->req, "", 0);
  call_free (call);
}

static void
send_response (Call *call, int status)
{
  if (call->req != NULL)
    {
      if (call->attempt != NULL)
        evhttp_add_header (evhttp_request_get_output_headers (call->req), "X-Attempt-Id",
                           call->attempt);
      char *text = g_strdup_printf ("{\"effect\":%" G_GUINT64_FORMAT ",\"echo\":\"%s\"}",
                                    call->effect, call->body_hash);
      standin_unwatch_close (call->req);
      standin_reply (call->req, status, "application/json", text);
      g_free (text);
    }
  call_free (call);
}

static void
schedule_call (Call *call, gint64 msec, event_callback_fn next)
{
  const struct timeval delay = { msec / 1000, (msec % 1000) * 1000 };
  if (call->timer != NULL)
    event_free (call->timer);
  call->timer = event_new (service.base, -1, 0, next, call);
  event_add (call->timer, &delay);
}

static void
finish_call (evutil_socket_t fd, short events, void *data)
{
  Call *call = data;
  const ServiceFaults *faults = &service.faults;
  if (call->faults_enabled && faults->cut_after == 1)
    close_call (call);
  else if (call->faults_enabled && faults->silent_after == 1)
    return;
  else if (call->faults_enabled && faults->error_after != FAULT_OFF)
    send_response (call, (int)faults->error_after);
  else
    send_response (call, 200);
}

static void
run_call (evutil_socket_t fd, short events, void *data)
{
  Call *call = data;
  const ServiceFaults *faults = &service.faults;
  if (call->faults_enabled && faults->cut_before == 1)
    {
      close_call (call);
      return;
    }
  if (call->faults_enabled && faults->error_before != FAULT_OFF)
    {
      send_response (call, (int)faults->error_before);
      return;
    }
  apply_effect (call);
  if (call->faults_enabled && faults->delay_after_ms > 0)
    schedule_call (call, faults->delay_after_ms, finish_call);
  else
    finish_call (-1, 0, call);
}

/* The effect still happens, as in a service that has begun a transaction. */
static void
on_peer_closed (struct evhttp_connection *connection, void *data)
{
  Call *call = data;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  standin_release_request (call->req);
  call->req = NULL;
}

static void
begin_call (struct evhttp_request *req)
{
  Call *call = g_new0 (Call, 1);
  gsize length;
  char *body = standin_request_body (req, &length);
  service.requests += 1;
  service.running += 1;
  call->req = req;
  call->key = g_strdup (standin_request_header (req, "Idempotency-Key"));
  call->attempt = g_strdup (standin_request_header (req, "X-Attempt-Id"));
  call->body_hash
    = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", dp_hash_bytes (body, length, 0));
  call->faults_enabled = fault_consume (&service.fault_table);
  g_free (body);
  standin_watch_close (req, on_peer_closed, call);
  if (call->faults_enabled && service.faults.delay_before_ms > 0)
    schedule_call (call, service.faults.delay_before_ms, run_call);
  else
    run_call (-1, 0, call);
}

static void
append_counts (GString *out, const char *name, GHashTable *counts)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gboolean first = TRUE;
  g_string_append_printf (out, ",\"%s\":{", name);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      char *escaped = g_strescape (key, NULL);
      g_string_append_printf (out, "%s\"%s\":%u", first ? "" : ",", escaped,
                              GPOINTER_TO_UINT (value));
      g_free (escaped);
      first = FALSE;
    }
  g_string_append_c (out, '}');
}

static void
append_first_times (GString *out)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  gboolean first = TRUE;
  g_string_append (out, ",\"first_at\":{");
  g_hash_table_iter_init (&iter, service.first_at);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      char *escaped = g_strescape (key, NULL);
      g_string_append_printf (out, "%s\"%s\":%s", first ? "" : ",", escaped, (char *)value);
      g_free (escaped);
      first = FALSE;
    }
  g_string_append_c (out, '}');
}

static void
reply_effects (struct evhttp_request *req)
{
  GString *out = g_string_new (NULL);
  g_string_append_printf (
    out, "{\"effects\":%" G_GUINT64_FORMAT ",\"requests\":%" G_GUINT64_FORMAT ",\"running\":%u",
    service.effects, service.requests, service.running);
  append_counts (out, "by_key", service.by_key);
  append_counts (out, "by_body", service.by_body);
  append_first_times (out);
  g_string_append (out, "}\n");
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

static void
handle_control (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  if (strcmp (path, "/fault") == 0)
    {
      fault_handle (&service.fault_table, req);
      standin_server_refuse (service.server, service.faults.refuse == 1);
    }
  else if (strcmp (path, "/effects") == 0)
    reply_effects (req);
  else
    standin_reply (req, 404, NULL, "");
}

static void
reply_load (struct evhttp_request *req)
{
  char *text = g_strdup_printf ("{\"boot\":1,\"running\":%u,\"waiting\":0}", service.running);
  standin_reply (req, 200, "application/json", text);
  g_free (text);
}

static void
handle_request (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  if (strcmp (path, "/fault") == 0 || strcmp (path, "/effects") == 0)
    handle_control (req, data);
  else if (strcmp (path, "/load") == 0)
    reply_load (req);
  else if (evhttp_request_get_command (req) == EVHTTP_REQ_GET)
    standin_reply (req, 200, "application/json", "{\"effect\":0}");
  else
    begin_call (req);
}

typedef struct Settings
{
  char *address;
  guint16 port;
  guint16 control_port;
} Settings;

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0, "address for requests" },
  { "control-port", 'c', "PORT", 0, "additional port for /fault and /effects" },
  { "fault", 'f', "NAME=VALUE", 0, "set a fault switch" },
  { 0 },
};

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
    case 'f':
      if (!fault_set (&service.fault_table, arg))
        argp_error (state, "unknown fault switch or invalid value: %s", arg);
      return 0;
    case ARGP_KEY_END:
      if (settings->address == NULL)
        argp_error (state, "--listen is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser
    = { options, parse_option, NULL, "Simulates a plain service and counts its effects." };
  Settings settings = { 0 };
  signal (SIGPIPE, SIG_IGN);
  dp_log_init ("standin-service", DP_LOG_INFO);
  service.fault_table
    = (FaultTable){ .switches = fault_switches, .count = G_N_ELEMENTS (fault_switches) };
  fault_clear (&service.fault_table);
  argp_parse (&parser, argc, argv, 0, NULL, &settings);

  service.base = event_base_new ();
  service.by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service.first_at = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  service.by_body = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service.server = standin_server_new (&(StandinServerOptions){
    .base = service.base,
    .address = settings.address,
    .port = settings.port,
    .control_port = settings.control_port,
    .body_max = BODY_MAX,
    .handle = handle_request,
    .control = handle_control,
  });
  if (service.server == NULL)
    return EXIT_FAILURE;
  standin_server_refuse (service.server, service.faults.refuse == 1);
  standin_run (service.base);
  g_free (settings.address);
  return EXIT_SUCCESS;
}
