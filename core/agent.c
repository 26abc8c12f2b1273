#include "core/agent_private.h"

#include <string.h>

/* A gap of this length between ticks means that the process or the VM was paused. */
#define PAUSE_THRESHOLD DP_USEC_PER_SEC
/* Two, so that the platform is still watched while one of them fails. */
#define WATCHERS_PER_DATA_CENTRE 2
/* Delay of the first platform calls; longer with configured peers, which are queried first. */
#define FIRST_CALL_JITTER_MAX (500 * DP_USEC_PER_MSEC)
#define FIRST_CALL_PEER_DELAY DP_USEC_PER_SEC
/* A local process that sent no HELLO for this long is treated as stopped. */
#define HELLO_TIMEOUT (3 * DP_USEC_PER_SEC)
/* A leaving VM stays up this long so that its announcement reaches all peers. */
#define LEAVING_NOTICE_DURATION DP_USEC_PER_SEC
/* Delay before a process that still reports an older revision gets the manifest again. */
#define MANIFEST_RESEND_INTERVAL (2 * DP_USEC_PER_SEC)

double
dp_agent_random (DpAgentCore *core)
{
  return g_rand_double (core->random);
}

void
dp_agent_count (DpAgentCore *core, const char *name, const char *label, const char *value)
{
  dp_counters_add (core->options.counters, name, label, value, 1);
}

void
dp_agent_send (DpAgentCore *core, DpPeer to, const DpMessage *message)
{
  DpAgentAction action = { .type = DP_AGENT_ACTION_SEND };
  action.to = to;
  action.message = *message;
  g_array_append_val (core->actions, action);
}

DpAgentLog *
dp_agent_log (DpAgentCore *core, const char *event, gboolean warning)
{
  DpAgentAction action = { .type = DP_AGENT_ACTION_LOG };
  action.log.event = event;
  action.log.warning = warning;
  g_array_append_val (core->actions, action);
  return &g_array_index (core->actions, DpAgentAction, core->actions->len - 1).log;
}

/* --- this VM's entry and scheduler --- */

static DpLocalProcess *
find_process (DpAgentCore *core, DpPeer from)
{
  if (from.vm != core->self.name || from.role > DP_ROLE_SCHEDULER)
    return NULL;
  return &core->processes[from.role];
}

static void
send_manifest (DpAgentCore *core, DpRole role)
{
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = core->manifest->revision;
  message.manifest.digest = core->manifest->digest;
  message.manifest.text = g_bytes_ref (core->manifest_text);
  dp_agent_send (core, (DpPeer){ core->self.name, role }, &message);
  core->processes[role].manifest_sent_at = core->now;
}

static void
send_view (DpAgentCore *core, DpRole role)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW };
  message.view.version = core->view->version;
  message.view.vms = g_array_copy (core->view->vms);
  dp_agent_send (core, (DpPeer){ core->self.name, role }, &message);
}

/* Sends a local process the manifest and the view if its last HELLO reports others. */
static void
sync_process (DpAgentCore *core, DpRole role)
{
  DpLocalProcess *process = &core->processes[role];
  gboolean sent_recently = process->manifest_sent_at != 0
                           && core->now - process->manifest_sent_at < MANIFEST_RESEND_INTERVAL;
  if (core->manifest != NULL && process->manifest_revision < core->manifest->revision
      && !sent_recently)
    send_manifest (core, role);
  if (process->view_version != core->view->version)
    send_view (core, role);
}

static void
on_hello (DpAgentCore *core, DpPeer from, const DpHello *hello)
{
  DpLocalProcess *process = find_process (core, from);
  if (process == NULL)
    return;
  if (hello->incarnation != process->incarnation)
    process->manifest_sent_at = 0;
  process->known = TRUE;
  process->last_seen_at = core->now;
  process->leaving = hello->leaving;
  process->incarnation = hello->incarnation;
  process->manifest_revision = hello->manifest_revision;
  process->view_version = hello->view_version;
  process->open_requests = hello->open_requests;
  sync_process (core, from.role);
}

/* Sends a changed manifest or view to the local processes. */
static void
publish_changes (DpAgentCore *core, guint64 old_revision)
{
  guint64 old_version = core->view->version;
  dp_agent_view_publish (core);
  gboolean view_changed = core->view->version != old_version;
  gboolean manifest_changed
    = core->manifest != NULL && core->manifest->revision != old_revision;
  for (guint role = DP_ROLE_ENTRY; role <= DP_ROLE_SCHEDULER; role++)
    {
      if (!core->processes[role].known)
        continue;
      if (manifest_changed)
        send_manifest (core, role);
      if (view_changed)
        send_view (core, role);
    }
}

/* --- leaving --- */

static void
update_self (DpAgentCore *core)
{
  gboolean leaving = core->stopping || core->listed_leaving
                     || core->processes[DP_ROLE_ENTRY].leaving
                     || core->processes[DP_ROLE_SCHEDULER].leaving;
  DpVmState state = leaving ? DP_VM_LEAVING : DP_VM_LIVE;
  guint64 incarnation = core->processes[DP_ROLE_ENTRY].incarnation;
  if (state != core->self.state || incarnation != core->self.incarnation)
    dp_agent_members_set_self (core, state, incarnation);
}

/* Returns TRUE if the entry stopped, or reported no open requests since this VM announced that
 * it leaves. */
static gboolean
is_entry_drained (const DpAgentCore *core)
{
  const DpLocalProcess *entry = &core->processes[DP_ROLE_ENTRY];
  if (!entry->known || core->now - entry->last_seen_at >= HELLO_TIMEOUT)
    return TRUE;
  return entry->last_seen_at > core->leaving_since && entry->open_requests == 0;
}

static void
exit_when_done (DpAgentCore *core)
{
  if (!core->stopping || core->exited)
    return;
  if (core->now - core->leaving_since < LEAVING_NOTICE_DURATION || !is_entry_drained (core))
    return;
  core->exited = TRUE;
  DpAgentAction action = { .type = DP_AGENT_ACTION_EXIT };
  g_array_append_val (core->actions, action);
}

/* --- events --- */

static void
on_tick (DpAgentCore *core)
{
  if (core->last_tick != 0 && core->now - core->last_tick >= PAUSE_THRESHOLD)
    {
      dp_agent_count (core, "dogwoodplank_pauses_total", NULL, NULL);
      dp_agent_members_on_resume (core);
      dp_agent_manifest_on_resume (core);
      dp_agent_status_on_resume (core);
    }
  core->last_tick = core->now;
  dp_agent_members_tick (core);
  dp_agent_view_publish (core); /* the choice of watchers depends on the view */
  dp_agent_manifest_tick (core);
  dp_agent_status_tick (core);
  exit_when_done (core);
}

static void
on_peer_probe (DpAgentCore *core, DpPeer from, const DpMessage *message)
{
  if (from.role != DP_ROLE_AGENT || from.vm == core->self.name)
    return;
  const DpProbe *probe = &message->probe;
  if (message->type == DP_MESSAGE_PROBE)
    dp_agent_members_on_probe (core, from, probe);
  else
    dp_agent_members_on_ack (core, from, probe);
  dp_agent_manifest_on_peer_revision (core, from, probe->manifest_revision,
                                      probe->manifest_digest);
}

static void
on_message (DpAgentCore *core, DpPeer from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_HELLO:
      on_hello (core, from, &message->hello);
      break;
    case DP_MESSAGE_PROBE:
    case DP_MESSAGE_PROBE_ACK:
      on_peer_probe (core, from, message);
      break;
    case DP_MESSAGE_MANIFEST_ASK:
      if (from.role == DP_ROLE_AGENT)
        dp_agent_text_on_request (core, from, &message->manifest_ask);
      break;
    case DP_MESSAGE_MANIFEST:
      if (from.role == DP_ROLE_AGENT)
        dp_agent_manifest_on_text (core, &message->manifest);
      break;
    default:
      dp_agent_count (core, "dogwoodplank_agent_unexpected_messages_total", "type",
                      dp_message_type_name (message->type));
      break;
    }
}

static void
on_reply (DpAgentCore *core, const DpAgentReply *reply)
{
  dp_agent_call_finish (core, reply);
  dp_agent_manifest_on_reply (core, reply);
  dp_agent_status_on_reply (core, reply);
}

/* Jitters the first platform calls, so that VMs started together don't call at the same time.
 */
static void
delay_first_calls (DpAgentCore *core)
{
  DpUsec delay = (DpUsec)(dp_agent_random (core) * (double)FIRST_CALL_JITTER_MAX);
  if (core->probe_order->len > 0)
    delay += FIRST_CALL_PEER_DELAY;
  for (guint call = 0; call < DP_AGENT_CALL_COUNT; call++)
    dp_agent_call_delay (core, call, delay);
}

void
dp_agent_handle (DpAgentCore *core, const DpAgentEvent *event, GArray *actions)
{
  core->actions = actions;
  core->now = event->now;
  guint64 old_revision = core->manifest != NULL ? core->manifest->revision : 0;
  if (core->last_tick == 0)
    delay_first_calls (core);
  switch (event->type)
    {
    case DP_AGENT_EVENT_TICK:
      on_tick (core);
      break;
    case DP_AGENT_EVENT_MESSAGE:
      on_message (core, event->from, event->message);
      break;
    case DP_AGENT_EVENT_PLATFORM:
      on_reply (core, &event->reply);
      break;
    case DP_AGENT_EVENT_STOP:
      core->stopping = TRUE;
      break;
    }
  update_self (core);
  publish_changes (core, old_revision);
  core->actions = NULL;
}

/* --- core --- */

DpAgentCore *
dp_agent_core_new (const DpAgentOptions *options)
{
  DpAgentCore *core = g_new0 (DpAgentCore, 1);
  g_atomic_ref_count_init (&core->refs);
  core->options = *options;
  core->options.peers = g_memdup2 (options->peers, options->peer_count * sizeof (DpVm));
  dp_counters_ref (options->counters);
  core->random = g_rand_new_with_seed ((guint32)(options->seed ^ options->seed >> 32));
  core->self = options->self;
  core->self.state = DP_VM_LIVE;
  core->self.announcement = options->start;
  core->view_version = options->start;
  core->members = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->probe_order = g_ptr_array_new ();
  core->members_changed = TRUE;
  dp_agent_members_start (core);
  dp_agent_view_publish (core);
  return core;
}

DpAgentCore *
dp_agent_core_ref (DpAgentCore *core)
{
  g_atomic_ref_count_inc (&core->refs);
  return core;
}

void
dp_agent_core_unref (DpAgentCore *core)
{
  if (core == NULL || !g_atomic_ref_count_dec (&core->refs))
    return;
  dp_agent_manifest_clear (core);
  dp_view_unref (core->view);
  dp_view_unref (core->probe_view);
  g_ptr_array_unref (core->probe_order);
  g_hash_table_unref (core->members);
  g_rand_free (core->random);
  dp_counters_unref (core->options.counters);
  g_free ((gpointer)core->options.peers);
  g_free (core);
}

const DpManifest *
dp_agent_manifest (const DpAgentCore *core)
{
  return core->manifest;
}

DpView *
dp_agent_view (DpAgentCore *core)
{
  return core->view;
}

DpView *
dp_agent_probe_view (DpAgentCore *core)
{
  return core->probe_view;
}

gboolean
dp_agent_is_watcher (const DpAgentCore *core)
{
  const DpVm *ranked[WATCHERS_PER_DATA_CENTRE];
  DpName data_centre = core->self.data_centre;
  guint count
    = dp_view_rank (core->view, data_centre, data_centre, ranked, WATCHERS_PER_DATA_CENTRE);
  for (guint i = 0; i < count; i++)
    if (ranked[i]->name == core->self.name)
      return TRUE;
  return FALSE;
}
