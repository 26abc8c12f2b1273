#include "core/agent_board.h"

#include <string.h>

/* A tick that comes so late shows that the process, or the VM, was paused. */
#define PAUSE_GAP DP_USEC_PER_SEC
/* Watchers a data centre: one, and one that stands by. */
#define WATCHERS 2
/* Start of platform calls; later where the settings name peers, which are asked first. */
#define FIRST_CALL_JITTER (500 * DP_USEC_PER_MSEC)
#define FIRST_CALL_WITH_PEERS DP_USEC_PER_SEC
/* A process of this VM without a HELLO for so long has ended. */
#define LOCAL_SILENT (3 * DP_USEC_PER_SEC)
/* Time for the news to spread before a leaving VM may go. */
#define LEAVING_NOTICE DP_USEC_PER_SEC
/* A manifest is sent to the same process again after this time. */
#define MANIFEST_REPEAT (2 * DP_USEC_PER_SEC)

double
dp_agent_random (DpAgentBoard *board)
{
  return g_rand_double (board->random);
}

void
dp_agent_count (DpAgentBoard *board, const char *name, const char *label, const char *value)
{
  dp_counters_add (board->options.counters, name, label, value, 1);
}

void
dp_agent_send (DpAgentBoard *board, DpPeer to, const DpMessage *message)
{
  DpAgentAction action = { .type = DP_AGENT_ACTION_SEND };
  action.to = to;
  action.message = *message;
  g_array_append_val (board->actions, action);
}

DpAgentLog *
dp_agent_log (DpAgentBoard *board, const char *event, gboolean warning)
{
  DpAgentAction action = { .type = DP_AGENT_ACTION_LOG };
  action.log.event = event;
  action.log.warning = warning;
  g_array_append_val (board->actions, action);
  return &g_array_index (board->actions, DpAgentAction, board->actions->len - 1).log;
}

/* --- this VM's entry and scheduler --- */

static DpLocal *
find_local (DpAgentBoard *board, DpPeer from)
{
  if (from.vm != board->self.name || from.role > DP_ROLE_SCHEDULER)
    return NULL;
  return &board->locals[from.role];
}

static void
send_manifest (DpAgentBoard *board, DpRole role)
{
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = board->manifest->revision;
  message.manifest.digest = board->manifest->digest;
  message.manifest.text = g_bytes_ref (board->text);
  dp_agent_send (board, (DpPeer){ board->self.name, role }, &message);
  board->locals[role].manifest_sent = board->now;
}

static void
send_view (DpAgentBoard *board, DpRole role)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW };
  message.view.version = board->view->version;
  message.view.vms = g_array_copy (board->view->vms);
  dp_agent_send (board, (DpPeer){ board->self.name, role }, &message);
}

/* What a process of this VM lacks, as of its last HELLO. */
static void
serve_local (DpAgentBoard *board, DpRole role)
{
  DpLocal *local = &board->locals[role];
  gboolean sent_lately
    = local->manifest_sent != 0 && board->now - local->manifest_sent < MANIFEST_REPEAT;
  if (board->manifest != NULL && local->manifest_revision < board->manifest->revision
      && !sent_lately)
    send_manifest (board, role);
  if (local->view_version != board->view->version)
    send_view (board, role);
}

static void
on_hello (DpAgentBoard *board, DpPeer from, const DpHello *hello)
{
  DpLocal *local = find_local (board, from);
  if (local == NULL)
    return;
  if (hello->incarnation != local->incarnation)
    local->manifest_sent = 0;
  local->known = TRUE;
  local->heard = board->now;
  local->leaving = hello->leaving;
  local->incarnation = hello->incarnation;
  local->manifest_revision = hello->manifest_revision;
  local->view_version = hello->view_version;
  local->open_requests = hello->open_requests;
  serve_local (board, from.role);
}

/* After a change, the processes are told at once. */
static void
publish (DpAgentBoard *board, guint64 old_revision)
{
  guint64 old_version = board->view->version;
  dp_agent_view_publish (board);
  gboolean view_changed = board->view->version != old_version;
  gboolean manifest_changed
    = board->manifest != NULL && board->manifest->revision != old_revision;
  for (guint role = DP_ROLE_ENTRY; role <= DP_ROLE_SCHEDULER; role++)
    {
      if (!board->locals[role].known)
        continue;
      if (manifest_changed)
        send_manifest (board, role);
      if (view_changed)
        send_view (board, role);
    }
}

/* --- leaving --- */

static void
update_self (DpAgentBoard *board)
{
  gboolean leaves = board->stopping || board->listed_leaving
                    || board->locals[DP_ROLE_ENTRY].leaving
                    || board->locals[DP_ROLE_SCHEDULER].leaving;
  DpVmState state = leaves ? DP_VM_LEAVING : DP_VM_LIVE;
  guint64 incarnation = board->locals[DP_ROLE_ENTRY].incarnation;
  if (state != board->self.state || incarnation != board->self.incarnation)
    dp_agent_members_set_self (board, state, incarnation);
}

/* The entry has said, after the announcement, that nothing is open; or it is gone. */
static gboolean
entry_is_done (const DpAgentBoard *board)
{
  const DpLocal *entry = &board->locals[DP_ROLE_ENTRY];
  if (!entry->known || board->now - entry->heard >= LOCAL_SILENT)
    return TRUE;
  return entry->heard > board->leaving_since && entry->open_requests == 0;
}

static void
exit_when_done (DpAgentBoard *board)
{
  if (!board->stopping || board->exited)
    return;
  if (board->now - board->leaving_since < LEAVING_NOTICE || !entry_is_done (board))
    return;
  board->exited = TRUE;
  DpAgentAction action = { .type = DP_AGENT_ACTION_EXIT };
  g_array_append_val (board->actions, action);
}

/* --- events --- */

static void
on_tick (DpAgentBoard *board)
{
  if (board->last_tick != 0 && board->now - board->last_tick >= PAUSE_GAP)
    {
      dp_agent_count (board, "dogwoodplank_pauses_total", NULL, NULL);
      dp_agent_members_resumed (board);
      dp_agent_manifest_resumed (board);
      dp_agent_status_resumed (board);
    }
  board->last_tick = board->now;
  dp_agent_members_tick (board);
  dp_agent_view_publish (board); /* who watches depends on the view */
  dp_agent_manifest_tick (board);
  dp_agent_status_tick (board);
  exit_when_done (board);
}

static void
on_peer_probe (DpAgentBoard *board, DpPeer from, const DpMessage *message)
{
  if (from.role != DP_ROLE_AGENT || from.vm == board->self.name)
    return;
  const DpProbe *probe = &message->probe;
  if (message->type == DP_MESSAGE_PROBE)
    dp_agent_members_probed (board, from, probe);
  else
    dp_agent_members_acked (board, from, probe);
  dp_agent_manifest_heard (board, from, probe->manifest_revision, probe->manifest_digest);
}

static void
on_message (DpAgentBoard *board, DpPeer from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_HELLO:
      on_hello (board, from, &message->hello);
      break;
    case DP_MESSAGE_PROBE:
    case DP_MESSAGE_PROBE_ACK:
      on_peer_probe (board, from, message);
      break;
    case DP_MESSAGE_MANIFEST_ASK:
      if (from.role == DP_ROLE_AGENT)
        dp_agent_manifest_asked (board, from, &message->manifest_ask);
      break;
    case DP_MESSAGE_MANIFEST:
      if (from.role == DP_ROLE_AGENT)
        dp_agent_manifest_received (board, &message->manifest);
      break;
    default:
      dp_agent_count (board, "dogwoodplank_agent_unexpected_messages_total", "type",
                      dp_message_type_name (message->type));
      break;
    }
}

static void
on_reply (DpAgentBoard *board, const DpAgentReply *reply)
{
  dp_agent_call_done (board, reply);
  dp_agent_manifest_reply (board, reply);
  dp_agent_status_reply (board, reply);
}

/* Platform calls wait a little, so that VMs that start together don't call together. */
static void
delay_first_calls (DpAgentBoard *board)
{
  DpUsec delay = (DpUsec)(dp_agent_random (board) * (double)FIRST_CALL_JITTER);
  if (board->order->len > 0)
    delay += FIRST_CALL_WITH_PEERS;
  for (guint call = 0; call < DP_AGENT_CALL_COUNT; call++)
    dp_agent_call_delay (board, call, delay);
}

void
dp_agent_handle (DpAgentBoard *board, const DpAgentEvent *event, GArray *actions)
{
  board->actions = actions;
  board->now = event->now;
  guint64 old_revision = board->manifest != NULL ? board->manifest->revision : 0;
  if (board->last_tick == 0)
    delay_first_calls (board);
  switch (event->type)
    {
    case DP_AGENT_EVENT_TICK:
      on_tick (board);
      break;
    case DP_AGENT_EVENT_MESSAGE:
      on_message (board, event->from, event->message);
      break;
    case DP_AGENT_EVENT_PLATFORM:
      on_reply (board, &event->reply);
      break;
    case DP_AGENT_EVENT_STOP:
      board->stopping = TRUE;
      break;
    }
  update_self (board);
  publish (board, old_revision);
  board->actions = NULL;
}

/* --- the board --- */

DpAgentBoard *
dp_agent_board_new (const DpAgentOptions *options)
{
  DpAgentBoard *board = g_new0 (DpAgentBoard, 1);
  g_atomic_ref_count_init (&board->refs);
  board->options = *options;
  board->options.peers = g_memdup2 (options->peers, options->peer_count * sizeof (DpVm));
  dp_counters_ref (options->counters);
  board->random = g_rand_new_with_seed ((guint32)(options->seed ^ options->seed >> 32));
  board->self = options->self;
  board->self.state = DP_VM_LIVE;
  board->self.announcement = options->start;
  board->view_version = options->start;
  board->members = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  board->order = g_ptr_array_new ();
  board->members_changed = TRUE;
  dp_agent_members_start (board);
  dp_agent_view_publish (board);
  return board;
}

DpAgentBoard *
dp_agent_board_ref (DpAgentBoard *board)
{
  g_atomic_ref_count_inc (&board->refs);
  return board;
}

void
dp_agent_board_unref (DpAgentBoard *board)
{
  if (board == NULL || !g_atomic_ref_count_dec (&board->refs))
    return;
  dp_agent_manifest_clear (board);
  dp_view_unref (board->view);
  dp_view_unref (board->probe_view);
  g_ptr_array_unref (board->order);
  g_hash_table_unref (board->members);
  g_rand_free (board->random);
  dp_counters_unref (board->options.counters);
  g_free ((gpointer)board->options.peers);
  g_free (board);
}

const DpManifest *
dp_agent_manifest (const DpAgentBoard *board)
{
  return board->manifest;
}

DpView *
dp_agent_view (DpAgentBoard *board)
{
  return board->view;
}

DpView *
dp_agent_probe_view (DpAgentBoard *board)
{
  return board->probe_view;
}

gboolean
dp_agent_is_watcher (const DpAgentBoard *board)
{
  const DpVm *ranked[WATCHERS];
  DpName data_centre = board->self.data_centre;
  guint count = dp_view_rank (board->view, data_centre, data_centre, ranked, WATCHERS);
  for (guint i = 0; i < count; i++)
    if (ranked[i]->name == board->self.name)
      return TRUE;
  return FALSE;
}
