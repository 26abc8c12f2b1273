#include "scheduler/shell.h"

#include "core/scheduler.h"
#include "scheduler/load_poll.h"

typedef struct Shell
{
  const DpSchedulerSettings *settings;
  DpProcess *process;
  DpSchedulerCore *core;
  DpLoadPoller *poller;
  struct event *stop_timer;
  GArray *actions; /* DpSchedulerAction, reused */
} Shell;

const DpSetting dp_scheduler_settings[] = {
  DP_PROCESS_SETTINGS (DpSchedulerSettings, process, 7082),
  DP_NUMBER_SETTING ("queue_max",
                     DpSchedulerSettings,
                     queue_max,
                     "N",
                     "maximum queued requests per group (2000)",
                     1,
                     100000,
                     2000),
  DP_NUMBER_SETTING ("poll_timeout_ms",
                     DpSchedulerSettings,
                     poll_timeout_ms,
                     "MS",
                     "timeout of a load poll, after which the target is unreachable (1000)",
                     10,
                     60000,
                     1000),
  DP_NUMBER_SETTING (
    "stop_grace_ms",
    DpSchedulerSettings,
    stop_grace_ms,
    "MS",
    "time to keep serving after SIGTERM while entries switch schedulers (3000)",
    0,
    60000,
    3000),
};

const guint dp_scheduler_setting_count = G_N_ELEMENTS (dp_scheduler_settings);

static void
perform_action (Shell *shell, const DpSchedulerAction *action)
{
  switch (action->type)
    {
    case DP_SCHEDULER_ACTION_SEND:
      dp_process_send (shell->process, action->to, &action->message);
      break;
    case DP_SCHEDULER_ACTION_POLL:
      dp_load_poller_start (shell->poller, &action->poll);
      break;
    }
}

/* Performing an action never re-enters this function, so that `actions` can be reused. */
static void
handle_event (Shell *shell, DpSchedulerEvent *event)
{
  event->now = dp_process_now ();
  dp_scheduler_handle (shell->core, event, shell->actions);
  for (guint i = 0; i < shell->actions->len; i++)
    perform_action (shell, &g_array_index (shell->actions, DpSchedulerAction, i));
  g_array_set_size (shell->actions, 0);
}

static void
on_manifest (gpointer user, DpManifest *manifest)
{
  handle_event (
    user, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = manifest });
}

static void
on_view (gpointer user, DpView *view)
{
  handle_event (user, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = view });
}

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
  handle_event (user, &(DpSchedulerEvent){
                        .type = DP_SCHEDULER_EVENT_MESSAGE, .from = from, .message = message });
}

static void
on_load (gpointer user, const DpLoadReport *report)
{
  handle_event (user, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_LOAD, .load = *report });
}

static void
on_tick (gpointer user)
{
  handle_event (user, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
}

static void
on_stop_timer (evutil_socket_t fd, short what, void *user)
{
  Shell *shell = user;
  dp_process_quit (shell->process);
}

static void
on_stop (gpointer user)
{
  Shell *shell = user;
  guint grace = shell->settings->stop_grace_ms;
  const struct timeval tv
    = { .tv_sec = grace / 1000, .tv_usec = (suseconds_t)(grace % 1000) * 1000 };
  event_add (shell->stop_timer, &tv);
}

static const DpProcessCallbacks callbacks = { .manifest = on_manifest,
                                              .view = on_view,
                                              .message = on_message,
                                              .tick = on_tick,
                                              .stop = on_stop };

static void
start (Shell *shell)
{
  const DpSchedulerSettings *settings = shell->settings;
  DpProcess *process = shell->process;
  const DpSchedulerOptions options = { .vm = dp_name (settings->process.name),
                                       .data_centre = dp_name (settings->process.data_centre),
                                       .incarnation = dp_process_incarnation (process),
                                       .seed = dp_process_random (),
                                       .queue_max = settings->queue_max,
                                       .counters = dp_process_counters (process) };
  shell->core = dp_scheduler_core_new (&options);
  const DpLoadPollerOptions poller_options
    = { .base = dp_process_base (process),
        .timeout = settings->poll_timeout_ms * DP_USEC_PER_MSEC,
        .counters = dp_process_counters (process),
        .callback = on_load,
        .user = shell };
  shell->poller = dp_load_poller_new (&poller_options);
  shell->stop_timer = evtimer_new (dp_process_base (process), on_stop_timer, shell);
  shell->actions = dp_scheduler_actions_new ();
}

static void
clear (Shell *shell)
{
  event_free (shell->stop_timer);
  dp_load_poller_free (shell->poller);
  dp_scheduler_core_unref (shell->core);
  g_array_unref (shell->actions);
}

gboolean
dp_scheduler_run (const DpSchedulerSettings *settings, DpDiagnostics *diagnostics)
{
  Shell shell = { .settings = settings };
  const DpProcessOptions options = { .program = "dogwoodplank-scheduler",
                                     .role = DP_ROLE_SCHEDULER,
                                     .settings = &settings->process,
                                     .callbacks = &callbacks,
                                     .user = &shell };
  shell.process = dp_process_new (&options, diagnostics);
  if (shell.process == NULL)
    return FALSE;
  start (&shell);
  gboolean ok = dp_process_load_static (shell.process, diagnostics);
  if (ok)
    dp_process_run (shell.process);
  clear (&shell);
  dp_process_free (shell.process);
  return ok;
}
