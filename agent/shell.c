#include "agent/shell.h"

#include "agent/orders.h"
#include "agent/sweep.h"
#include "common/log.h"
#include "core/agent.h"
#include "platform/client.h"

/* Covers all calls that can be open at once, so that none waits for another to end. */
#define LEASE_CALLS_MAX 1
#define SWEEP_CALLS_MAX 1
#define PLATFORM_IN_FLIGHT_MAX (DP_AGENT_CALL_COUNT + LEASE_CALLS_MAX + SWEEP_CALLS_MAX)
#define PLATFORM_QUEUE_MAX (2 * PLATFORM_IN_FLIGHT_MAX)
#define PLATFORM_BACKOFF_MIN (200 * DP_USEC_PER_MSEC)
#define PLATFORM_BACKOFF_MAX (2 * DP_USEC_PER_SEC)

typedef struct Shell Shell;

/* Callback data of a platform call. */
typedef struct CallSlot
{
  Shell *shell;
  DpAgentCall call;
} CallSlot;

struct Shell
{
  const DpAgentSettings *settings;
  DpProcess *process;
  DpAgentCore *core;
  DpPlatformClient *platform;
  DpOrdersShell *orders;
  DpSweep *sweep;
  CallSlot slots[DP_AGENT_CALL_COUNT];
  guint64 peers_version; /* of the view whose peers the bus has */
};

const DpSetting dp_agent_settings[] = {
  DP_PROCESS_COMMON_SETTINGS (DpAgentSettings, process, 7083),
  {
    .name = "peer",
    .type = DP_SETTING_STRING_LIST,
    .offset = G_STRUCT_OFFSET (DpAgentSettings, process.vms),
    .argument = "NAME=IP=DC",
    .help = "VM to query while the platform is unreachable; repeatable",
  },
  DP_TEXT_SETTING ("platform_address",
                   DpAgentSettings,
                   platform_address,
                   "IP",
                   "IP address of the platform",
                   TRUE),
  DP_PORT_SETTING (
    "platform_port", DpAgentSettings, platform_port, "port of the platform (7070)", 7070),
  DP_NUMBER_SETTING ("platform_calls_per_second",
                     DpAgentSettings,
                     platform_calls_per_second,
                     "N",
                     "maximum rate of calls to the platform (10)",
                     1,
                     1000,
                     10),
  DP_NUMBER_SETTING ("platform_timeout_ms",
                     DpAgentSettings,
                     platform_timeout_ms,
                     "MS",
                     "timeout of a call to the platform (1500)",
                     10,
                     60000,
                     1500),
};

const guint dp_agent_setting_count = G_N_ELEMENTS (dp_agent_settings);

static void handle_event (Shell *shell, DpAgentEvent *event);

/* --- platform calls --- */

static DpAgentResult
to_agent_result (DpPlatformResult result)
{
  switch (result)
    {
    case DP_PLATFORM_OK:
      return DP_AGENT_OK;
    case DP_PLATFORM_UNCHANGED:
      return DP_AGENT_UNCHANGED;
    case DP_PLATFORM_NOT_FOUND:
      return DP_AGENT_NOT_FOUND;
    case DP_PLATFORM_CONFLICT:
      return DP_AGENT_CONFLICT;
    case DP_PLATFORM_UNAVAILABLE:
      return DP_AGENT_UNAVAILABLE;
    case DP_PLATFORM_LOST:
      return DP_AGENT_LOST;
    default:
      return DP_AGENT_BROKEN;
    }
}

static DpPlatformCallType
to_platform_type (DpAgentCallType type)
{
  switch (type)
    {
    case DP_AGENT_WATCH:
      return DP_PLATFORM_WATCH;
    case DP_AGENT_WRITE:
      return DP_PLATFORM_WRITE;
    default:
      return DP_PLATFORM_READ;
    }
}

static void
on_platform_reply (const DpPlatformReply *reply, gpointer data)
{
  const CallSlot *slot = data;
  DpAgentEvent event = { .type = DP_AGENT_EVENT_PLATFORM };
  event.reply.call = slot->call;
  event.reply.result = to_agent_result (reply->result);
  event.reply.version = reply->version;
  event.reply.value = reply->value;
  handle_event (slot->shell, &event);
}

static void
call_platform (Shell *shell, const DpAgentPlatformCall *action)
{
  DpPlatformCall call = { .type = to_platform_type (action->type),
                          .path = action->path,
                          .version = action->version,
                          .watch_time = action->watch_time };
  if (action->value != NULL)
    call.value = g_bytes_get_data (action->value, &call.length);
  dp_platform_client_call (shell->platform, &call, on_platform_reply,
                           &shell->slots[action->call]);
}

/* --- actions --- */

static void
write_log (const DpAgentLog *log)
{
  char revision[24];
  char digest[24];
  char other[24];
  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, log->revision);
  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x", log->digest);
  g_snprintf (other, sizeof other, "%016" G_GINT64_MODIFIER "x", log->other_digest);
  dp_log (log->warning ? DP_LOG_WARNING : DP_LOG_NOTICE, log->event, "revision",
          log->revision != 0 ? revision : NULL, "digest", log->revision != 0 ? digest : NULL,
          "other_digest", log->other_digest != 0 ? other : NULL, "detail", log->detail, NULL);
}

static void
perform_action (Shell *shell, const DpAgentAction *action)
{
  switch (action->type)
    {
    case DP_AGENT_ACTION_SEND:
      dp_process_send (shell->process, action->to, &action->message);
      break;
    case DP_AGENT_ACTION_PLATFORM:
      call_platform (shell, &action->platform);
      break;
    case DP_AGENT_ACTION_LOG:
      write_log (&action->log);
      break;
    case DP_AGENT_ACTION_EXIT:
      dp_process_quit (shell->process);
      break;
    }
}

/* Passes the peers of a new view to the bus, which must know a peer before a message is sent to
 * it. */
static void
update_peers (Shell *shell)
{
  DpView *view = dp_agent_probe_view (shell->core);
  if (view->version == shell->peers_version)
    return;
  shell->peers_version = view->version;
  dp_process_set_peers (shell->process, view);
  dp_counters_set (dp_process_counters (shell->process), "dogwoodplank_view_version", NULL,
                   NULL, view->version);
}

static void
update_gauges (Shell *shell)
{
  DpCounters *counters = dp_process_counters (shell->process);
  const DpManifest *manifest = dp_agent_manifest (shell->core);
  dp_counters_set (counters, "dogwoodplank_manifest_revision", NULL, NULL,
                   manifest != NULL ? manifest->revision : 0);
  dp_counters_set (counters, "dogwoodplank_agent_watches_platform", NULL, NULL,
                   dp_agent_is_watcher (shell->core) ? 1 : 0);
}

static void
handle_event (Shell *shell, DpAgentEvent *event)
{
  event->now = dp_process_now ();
  GArray *actions = dp_agent_actions_new ();
  dp_agent_handle (shell->core, event, actions);
  update_peers (shell);
  for (guint i = 0; i < actions->len; i++)
    perform_action (shell, &g_array_index (actions, DpAgentAction, i));
  g_array_unref (actions);
}

/* --- events --- */

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
  DpAgentEvent event = { .type = DP_AGENT_EVENT_MESSAGE };
  event.from = from;
  event.message = message;
  handle_event (user, &event);
}

static void
on_tick (gpointer user)
{
  Shell *shell = user;
  handle_event (shell, &(DpAgentEvent){ .type = DP_AGENT_EVENT_TICK });
  dp_orders_shell_tick (shell->orders, dp_agent_manifest (shell->core),
                        dp_agent_view (shell->core));
  dp_sweep_tick (shell->sweep, dp_agent_view (shell->core), dp_process_now (),
                 dp_process_wall_time ());
  update_gauges (shell);
}

static void
on_stop (gpointer user)
{
  handle_event (user, &(DpAgentEvent){ .type = DP_AGENT_EVENT_STOP });
}

static void
on_status (gpointer user, struct json_object *status)
{
  const Shell *shell = user;
  const DpManifest *manifest = dp_agent_manifest (shell->core);
  json_object_object_add (status, "manifest_revision",
                          json_object_new_uint64 (manifest != NULL ? manifest->revision : 0));
  char *text = dp_agent_format_status (shell->core);
  json_object_object_add (status, "agent", json_tokener_parse (text));
  g_free (text);
}

static const DpProcessCallbacks callbacks = {
  .message = on_message,
  .tick = on_tick,
  .status = on_status,
  .stop = on_stop,
};

/* --- startup and shutdown --- */

static GArray *
parse_peers (const DpAgentSettings *settings, DpDiagnostics *diagnostics)
{
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (DpVm));
  for (guint i = 0; i < settings->process.vms->len; i++)
    {
      DpVm peer;
      if (dp_process_parse_vm (g_ptr_array_index (settings->process.vms, i), &peer,
                               diagnostics))
        g_array_append_val (peers, peer);
    }
  return peers;
}

static void
start_core (Shell *shell, const GArray *peers)
{
  const DpProcessSettings *settings = &shell->settings->process;
  DpAgentOptions options = { .start = dp_process_incarnation (shell->process),
                             .seed = dp_process_random (),
                             .peers = (const DpVm *)(const void *)peers->data,
                             .peer_count = peers->len,
                             .counters = dp_process_counters (shell->process) };
  options.self.name = dp_name (settings->name);
  options.self.data_centre = dp_name (settings->data_centre);
  g_strlcpy (options.self.text, settings->name, sizeof options.self.text);
  g_strlcpy (options.self.address, settings->address, sizeof options.self.address);
  g_strlcpy (options.data_centre, settings->data_centre, sizeof options.data_centre);
  shell->core = dp_agent_core_new (&options);
}

static void
start_platform (Shell *shell)
{
  const DpAgentSettings *settings = shell->settings;
  shell->platform = dp_platform_client_new (&(DpPlatformOptions){
    .base = dp_process_base (shell->process),
    .address = settings->platform_address,
    .port = settings->platform_port,
    .calls_per_second = settings->platform_calls_per_second,
    .burst = settings->platform_calls_per_second,
    .in_flight_max = PLATFORM_IN_FLIGHT_MAX,
    .queue_max = PLATFORM_QUEUE_MAX,
    .timeout = settings->platform_timeout_ms * DP_USEC_PER_MSEC,
    .backoff_min = PLATFORM_BACKOFF_MIN,
    .backoff_max = PLATFORM_BACKOFF_MAX,
    .seed = dp_process_random (),
    .counters = dp_process_counters (shell->process),
  });
  for (guint call = 0; call < DP_AGENT_CALL_COUNT; call++)
    shell->slots[call] = (CallSlot){ .shell = shell, .call = call };
}

static void
start_orders (Shell *shell)
{
  const DpProcessSettings *settings = &shell->settings->process;
  shell->orders = dp_orders_shell_new (&(DpOrdersShellOptions){
    .base = dp_process_base (shell->process),
    .platform = shell->platform,
    .data_centre = settings->data_centre,
    .core = { .vm = dp_name (settings->name),
              .data_centre = dp_name (settings->data_centre),
              .incarnation = dp_process_incarnation (shell->process),
              .seed = dp_process_random (),
              .counters = dp_process_counters (shell->process) },
  });
}

gboolean
dp_agent_run (const DpAgentSettings *settings, DpDiagnostics *diagnostics)
{
  Shell shell = { .settings = settings };
  GArray *peers = parse_peers (settings, diagnostics);
  const DpProcessOptions options = { .program = "dogwoodplank-agent",
                                     .role = DP_ROLE_AGENT,
                                     .settings = &settings->process,
                                     .callbacks = &callbacks,
                                     .user = &shell };
  if (dp_diagnostics_count (diagnostics) == 0)
    shell.process = dp_process_new (&options, diagnostics);
  gboolean ok = shell.process != NULL;
  if (ok)
    {
      start_core (&shell, peers);
      start_platform (&shell);
      start_orders (&shell);
      shell.sweep = dp_sweep_new (shell.platform, dp_name (settings->process.name),
                                  dp_process_counters (shell.process));
      dp_process_run (shell.process);
      dp_sweep_free (shell.sweep);
      dp_orders_shell_free (shell.orders);
      dp_platform_client_unref (shell.platform);
      dp_agent_core_unref (shell.core);
    }
  dp_process_free (shell.process);
  g_array_unref (peers);
  return ok;
}
