#include "net/process.h"

#include "common/clock.h"
#include "common/log.h"
#include "net/bus.h"
#include "net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <signal.h>
#include <string.h>

#define TICK_INTERVAL (100 * DP_USEC_PER_MSEC)
#define HELLO_INTERVAL DP_USEC_PER_SEC
/* Limits of the operator HTTP server. */
#define OPERATOR_HEAD_BYTES_MAX 8192
#define OPERATOR_BODY_BYTES_MAX 1024
#define OPERATOR_READ_TIMEOUT (5 * DP_USEC_PER_SEC)
#define OPERATOR_WRITE_BUFFER_BYTES_MAX ((gsize)4 * 1024 * 1024)
#define OPERATOR_EXCHANGES_MAX 32
#define OPERATOR_CONNECTIONS_MAX 64
#define OPERATOR_REQUEST_TIMEOUT (10 * DP_USEC_PER_SEC)

struct DpProcess
{
  /* constant */
  const char *program;
  DpPeer self;
  const DpProcessSettings *settings;
  const DpProcessCallbacks *callbacks;
  gpointer user;
  guint64 incarnation;
  DpUsec started_at;
  /* live as long as the process */
  struct event_base *base;
  DpCounters *counters;
  DpWorkMeter *meter;
  DpBus *bus;
  DpHttpServer *operator_server;
  struct event *tick;
  struct event *hello;
  struct event *sigterm;
  struct event *sigint;
  /* state */
  DpManifest *manifest;
  DpView *view;
  gboolean stopping;
};

DpUsec
dp_process_now (void)
{
  return dp_clock_now ();
}

DpUsec
dp_process_wall_time (void)
{
  return g_get_real_time ();
}

guint64
dp_process_random (void)
{
  guint64 number;
  evutil_secure_rng_get_bytes (&number, sizeof number);
  return number;
}

static gboolean
is_static (const DpProcess *process)
{
  return process->settings->manifest != NULL && process->settings->vms->len > 0;
}

/* TRUE for programs that get manifest and view from the VM's agent, unless they are static. */
static gboolean
is_agent_client (const DpProcess *process)
{
  return process->self.role == DP_ROLE_ENTRY || process->self.role == DP_ROLE_SCHEDULER;
}

/* --- manifest and view --- */

static void
log_diagnostics (DpDiagnostics *diagnostics)
{
  for (guint i = 0; i < dp_diagnostics_count (diagnostics); i++)
    {
      const DpDiagnostic *diagnostic = dp_diagnostics_get (diagnostics, i);
      char line[16];
      g_snprintf (line, sizeof line, "%u", diagnostic->line);
      dp_log (DP_LOG_ERROR, "finding", "file", diagnostic->file, "line",
              diagnostic->line > 0 ? line : NULL, "path", diagnostic->path, "message",
              diagnostic->message, NULL);
    }
}

static void
log_number (const char *event, const char *key, guint64 number)
{
  char text[32];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, number);
  dp_log (DP_LOG_NOTICE, event, key, text, NULL);
}

static void
apply_manifest (DpProcess *process, DpManifest *manifest)
{
  dp_manifest_unref (process->manifest);
  process->manifest = manifest;
  dp_counters_set (process->counters, "dogwoodplank_manifest_revision", NULL, NULL,
                   manifest->revision);
  log_number ("manifest_in_force", "revision", manifest->revision);
  process->callbacks->manifest (process->user, manifest);
}

static void
apply_view (DpProcess *process, DpView *view)
{
  dp_view_unref (process->view);
  process->view = view;
  dp_counters_set (process->counters, "dogwoodplank_view_version", NULL, NULL, view->version);
  dp_bus_set_view (process->bus, view);
  process->callbacks->view (process->user, view);
}

static void
count_refused_manifest (DpProcess *process, const char *reason)
{
  dp_counters_add (process->counters, "dogwoodplank_manifests_refused_total", "reason", reason,
                   1);
}

static void
on_manifest_message (DpProcess *process, const DpManifestText *message)
{
  guint64 current_revision = process->manifest != NULL ? process->manifest->revision : 0;
  if (message->text == NULL)
    return;
  if (message->revision <= current_revision)
    {
      if (message->revision < current_revision)
        count_refused_manifest (process, "older_revision");
      return;
    }
  gsize length;
  const char *text = g_bytes_get_data (message->text, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = dp_manifest_parse ("manifest", text, length, diagnostics);
  if (manifest == NULL)
    {
      count_refused_manifest (process, "findings");
      log_diagnostics (diagnostics);
    }
  else if (manifest->revision != message->revision)
    {
      count_refused_manifest (process, "other_revision");
      dp_manifest_unref (manifest);
    }
  else
    apply_manifest (process, manifest);
  dp_diagnostics_unref (diagnostics);
}

static void
on_view_message (DpProcess *process, const DpViewRows *message)
{
  if (message->vms == NULL)
    return;
  if (process->view != NULL && process->view->version == message->version)
    return;
  const DpVm *vms = (const DpVm *)message->vms->data;
  apply_view (process, dp_view_new (message->version, vms, message->vms->len));
}

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
  DpProcess *process = user;
  gboolean is_from_agent = from.vm == process->self.vm && from.role == DP_ROLE_AGENT;
  if (!is_agent_client (process))
    {
      process->callbacks->message (process->user, from, message);
      return;
    }
  switch (message->type)
    {
    case DP_MESSAGE_MANIFEST:
      if (is_from_agent && !is_static (process))
        on_manifest_message (process, &message->manifest);
      break;
    case DP_MESSAGE_VIEW:
      if (is_from_agent && !is_static (process))
        on_view_message (process, &message->view);
      break;
    default:
      process->callbacks->message (process->user, from, message);
      break;
    }
}

gboolean
dp_process_parse_vm (const char *text, DpVm *vm, DpDiagnostics *diagnostics)
{
  char **parts = g_strsplit (text, "=", 3);
  struct in6_addr address;
  gboolean ok = g_strv_length (parts) == 3 && parts[0][0] != '\0' && parts[2][0] != '\0'
                && (inet_pton (AF_INET, parts[1], &address) == 1
                    || inet_pton (AF_INET6, parts[1], &address) == 1);
  if (ok)
    {
      *vm = (DpVm){ .name = dp_name (parts[0]), .data_centre = dp_name (parts[2]) };
      g_strlcpy (vm->text, parts[0], sizeof vm->text);
      g_strlcpy (vm->address, parts[1], sizeof vm->address);
      vm->state = DP_VM_LIVE;
    }
  else
    dp_diagnostics_add (diagnostics, "command line", 0, "vm", "must be NAME=IP=DC, not \"%s\"",
                        text);
  g_strfreev (parts);
  return ok;
}

static void
load_static_view (DpProcess *process, DpDiagnostics *diagnostics)
{
  const GPtrArray *rows = process->settings->vms;
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (DpVm));
  for (guint i = 0; i < rows->len; i++)
    {
      DpVm vm;
      if (dp_process_parse_vm (g_ptr_array_index (rows, i), &vm, diagnostics))
        g_array_append_val (vms, vm);
    }
  if (dp_diagnostics_count (diagnostics) == 0)
    apply_view (process, dp_view_new (1, (const DpVm *)vms->data, vms->len));
  g_array_unref (vms);
}

static void
load_static_manifest (DpProcess *process, DpDiagnostics *diagnostics)
{
  const char *file = process->settings->manifest;
  char *text;
  gsize length;
  GError *error = NULL;
  if (!g_file_get_contents (file, &text, &length, &error))
    {
      dp_diagnostics_add (diagnostics, file, 0, NULL, "%s", error->message);
      g_error_free (error);
      return;
    }
  DpManifest *manifest = dp_manifest_parse (file, text, length, diagnostics);
  g_free (text);
  if (manifest != NULL)
    apply_manifest (process, manifest);
}

/* --- operator HTTP server --- */

static void
reply_text (DpHttpExchange *exchange, int status, const char *type, const char *text)
{
  dp_http_exchange_add_header (exchange, "Content-Type", type);
  dp_http_exchange_reply (exchange, status, text, strlen (text));
}

static void
add_number (struct json_object *object, const char *name, guint64 number)
{
  json_object_object_add (object, name, json_object_new_uint64 (number));
}

static void
add_text (struct json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

static struct json_object *
vms_to_json (const DpView *view)
{
  static const char *const state_names[] = { "live", "leaving", "suspect", "dead" };
  struct json_object *rows = json_object_new_array ();
  for (guint i = 0; i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      struct json_object *row = json_object_new_object ();
      add_text (row, "name", vm->text);
      add_text (row, "address", vm->address);
      add_text (row, "state", state_names[vm->state]);
      json_object_array_add (rows, row);
    }
  return rows;
}

static void
reply_status (DpProcess *process, DpHttpExchange *exchange)
{
  struct json_object *status = json_object_new_object ();
  add_text (status, "program", process->program);
  add_text (status, "version", DP_VERSION);
  add_text (status, "vm", process->settings->name);
  add_text (status, "data_centre", process->settings->data_centre);
  add_number (status, "incarnation", process->incarnation);
  add_number (status, "uptime_ms",
              (guint64)((dp_process_now () - process->started_at) / DP_USEC_PER_MSEC));
  json_object_object_add (status, "stopping", json_object_new_boolean (process->stopping));
  add_number (status, "manifest_revision",
              process->manifest != NULL ? process->manifest->revision : 0);
  if (process->view != NULL)
    json_object_object_add (status, "vms", vms_to_json (process->view));
  if (process->callbacks->status != NULL)
    process->callbacks->status (process->user, status);
  reply_text (exchange, 200, "application/json", json_object_to_json_string (status));
  json_object_put (status);
}

static void
on_operator_request (gpointer user, DpHttpExchange *exchange)
{
  DpProcess *process = user;
  const char *target = dp_http_exchange_target (exchange);
  if (strcmp (dp_http_exchange_method (exchange), "GET") != 0)
    reply_text (exchange, 405, "text/plain", "use GET\n");
  else if (strcmp (target, "/metrics") == 0)
    {
      GString *text = g_string_new (NULL);
      dp_counters_set (process->counters, "dogwoodplank_log_lines_dropped", NULL, NULL,
                       dp_log_dropped ());
      dp_counters_format (process->counters, text);
      reply_text (exchange, 200, "text/plain; version=0.0.4", text->str);
      g_string_free (text, TRUE);
    }
  else if (strcmp (target, "/status") == 0)
    reply_status (process, exchange);
  else
    reply_text (exchange, 404, "text/plain", "there are /metrics and /status\n");
}

/* --- timers and signals --- */

static void
send_hello (DpProcess *process)
{
  if (is_static (process) || !is_agent_client (process))
    return;
  DpMessage message = { .type = DP_MESSAGE_HELLO };
  message.hello.role = process->self.role;
  message.hello.incarnation = process->incarnation;
  message.hello.leaving = process->stopping;
  message.hello.manifest_revision = process->manifest != NULL ? process->manifest->revision : 0;
  message.hello.view_version = process->view != NULL ? process->view->version : 0;
  if (process->callbacks->open_requests != NULL)
    message.hello.open_requests = process->callbacks->open_requests (process->user);
  dp_bus_send (process->bus, (DpPeer){ process->self.vm, DP_ROLE_AGENT }, &message);
}

static void
on_hello_timer (evutil_socket_t fd, short what, void *user)
{
  send_hello (user);
}

static void
on_tick_timer (evutil_socket_t fd, short what, void *user)
{
  DpProcess *process = user;
  process->callbacks->tick (process->user);
}

static void
on_stop_signal (evutil_socket_t fd, short what, void *user)
{
  DpProcess *process = user;
  if (process->stopping)
    return;
  process->stopping = TRUE;
  dp_log (DP_LOG_NOTICE, "stopping", NULL);
  send_hello (process);
  process->callbacks->stop (process->user);
}

static struct event *
add_timer (DpProcess *process, DpUsec interval, event_callback_fn callback)
{
  struct event *event = event_new (process->base, -1, EV_PERSIST, callback, process);
  const struct timeval tv
    = { .tv_sec = interval / DP_USEC_PER_SEC, .tv_usec = interval % DP_USEC_PER_SEC };
  event_add (event, &tv);
  return event;
}

static void
change_signal_mask (int how)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGHUP);
  sigprocmask (how, &signals, NULL);
}

void
dp_process_block_signals (void)
{
  change_signal_mask (SIG_BLOCK);
}

static void
add_events (DpProcess *process)
{
  process->tick = add_timer (process, TICK_INTERVAL, on_tick_timer);
  process->hello = add_timer (process, HELLO_INTERVAL, on_hello_timer);
  process->sigterm = evsignal_new (process->base, SIGTERM, on_stop_signal, process);
  process->sigint = evsignal_new (process->base, SIGINT, on_stop_signal, process);
  event_add (process->sigterm, NULL);
  event_add (process->sigint, NULL);
  signal (SIGHUP, SIG_IGN);
  signal (SIGPIPE, SIG_IGN);
  change_signal_mask (SIG_UNBLOCK);
}

/* libevent warns about ordinary failures such as refused connections; log these at debug level.
 */
static void
on_libevent_log (int severity, const char *message)
{
  dp_log (DP_LOG_DEBUG, "libevent", "message", message, NULL);
}

static void
start_bus (DpProcess *process, DpDiagnostics *diagnostics)
{
  const DpProcessSettings *settings = process->settings;
  const DpBusKeys keys = { .public_key = settings->curve_public_key,
                           .secret_key = settings->curve_secret_key,
                           .allowed = settings->curve_allowed_keys };
  gboolean has_keys = keys.public_key != NULL || keys.secret_key != NULL;
  const DpBusOptions options = { .base = process->base,
                                 .self = process->self,
                                 .address = settings->address,
                                 .ports = { [DP_ROLE_ENTRY] = settings->entry_bus_port,
                                            [DP_ROLE_SCHEDULER] = settings->scheduler_bus_port,
                                            [DP_ROLE_AGENT] = settings->agent_bus_port,
                                            [DP_ROLE_NODE] = settings->agent_bus_port },
                                 .counters = process->counters,
                                 .meter = process->meter,
                                 .keys = has_keys ? &keys : NULL,
                                 .receive = on_message,
                                 .user = process };
  GError *error = NULL;
  process->bus = dp_bus_new (&options, &error);
  if (process->bus != NULL)
    return;
  dp_diagnostics_add (diagnostics, NULL, 0, NULL, "bus: %s", error->message);
  g_error_free (error);
}

static void
start_operator_server (DpProcess *process, DpDiagnostics *diagnostics)
{
  const DpProcessSettings *settings = process->settings;
  const DpHttpServerOptions options = { .base = process->base,
                                        .address = settings->address,
                                        .port = settings->operator_port,
                                        .name = "operators",
                                        .head_max = OPERATOR_HEAD_BYTES_MAX,
                                        .body_max = OPERATOR_BODY_BYTES_MAX,
                                        .read_timeout = OPERATOR_READ_TIMEOUT,
                                        .write_timeout = OPERATOR_READ_TIMEOUT,
                                        .write_buffer_max = OPERATOR_WRITE_BUFFER_BYTES_MAX,
                                        .exchanges_max = OPERATOR_EXCHANGES_MAX,
                                        .connections_max = OPERATOR_CONNECTIONS_MAX,
                                        .request_timeout = OPERATOR_REQUEST_TIMEOUT,
                                        .counters = process->counters,
                                        .handler = on_operator_request,
                                        .user = process };
  process->operator_server = dp_http_server_new (&options);
  if (process->operator_server == NULL)
    dp_diagnostics_add (diagnostics, NULL, 0, NULL, "operator listener: cannot bind %s:%u",
                        settings->address, settings->operator_port);
}

/* With a change list, libevent batches changes of a descriptor's events until it polls again,
 * which avoids most epoll_ctl() calls. It must not be used with duplicated descriptors; there
 * are none here. */
static struct event_base *
create_base (void)
{
  struct event_config *config = event_config_new ();
  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  struct event_base *base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

DpProcess *
dp_process_new (const DpProcessOptions *options, DpDiagnostics *diagnostics)
{
  DpProcess *process = g_new0 (DpProcess, 1);
  process->program = options->program;
  process->settings = options->settings;
  process->self = (DpPeer){ dp_name (options->settings->name), options->role };
  process->callbacks = options->callbacks;
  process->user = options->user;
  process->incarnation = (guint64)dp_process_wall_time ();
  process->started_at = dp_process_now ();
  event_set_log_callback (on_libevent_log);
  process->base = create_base ();
  process->counters = dp_counters_new ();
  process->meter = dp_work_meter_new (process->counters);
  add_events (process);
  start_bus (process, diagnostics);
  start_operator_server (process, diagnostics);
  if (dp_diagnostics_count (diagnostics) == 0)
    return process;
  dp_process_free (process);
  return NULL;
}

gboolean
dp_process_load_static (DpProcess *process, DpDiagnostics *diagnostics)
{
  if (process->settings->vms->len > 0)
    load_static_view (process, diagnostics);
  if (process->settings->manifest != NULL)
    load_static_manifest (process, diagnostics);
  return dp_diagnostics_count (diagnostics) == 0;
}

void
dp_process_free (DpProcess *process)
{
  if (process == NULL)
    return;
  g_clear_pointer (&process->operator_server, dp_http_server_free);
  g_clear_pointer (&process->bus, dp_bus_free);
  dp_work_meter_free (process->meter);
  event_free (process->tick);
  event_free (process->hello);
  event_free (process->sigterm);
  event_free (process->sigint);
  dp_manifest_unref (process->manifest);
  dp_view_unref (process->view);
  dp_counters_unref (process->counters);
  event_base_free (process->base);
  g_free (process);
}

void
dp_process_run (DpProcess *process)
{
  send_hello (process);
  event_base_dispatch (process->base);
}

/* Events of this iteration that were not handled yet are dropped: a request among them could
 * not be answered any more. */
void
dp_process_quit (DpProcess *process)
{
  event_base_loopbreak (process->base);
}

struct event_base *
dp_process_base (DpProcess *process)
{
  return process->base;
}

void
dp_process_set_client_budgets (DpProcess *process, const DpHttpBudgets *budgets)
{
  dp_http_server_set_budgets (process->operator_server, budgets);
}

DpCounters *
dp_process_counters (DpProcess *process)
{
  return process->counters;
}

DpWorkMeter *
dp_process_meter (DpProcess *process)
{
  return process->meter;
}

guint64
dp_process_incarnation (const DpProcess *process)
{
  return process->incarnation;
}

gboolean
dp_process_is_stopping (const DpProcess *process)
{
  return process->stopping;
}

DpManifest *
dp_process_manifest (const DpProcess *process)
{
  return process->manifest;
}

void
dp_process_set_peers (DpProcess *process, DpView *view)
{
  dp_bus_set_view (process->bus, view);
}

void
dp_process_send (DpProcess *process, DpPeer to, const DpMessage *message)
{
  dp_bus_send (process->bus, to, message);
}
