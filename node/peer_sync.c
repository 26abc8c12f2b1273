/* Config, targets and VMs of the store, exchanged between VMs.
 *
 * A VM that can't reach the store requests them from other VMs. Relays send them to their
 * clients, which don't watch the store themselves.
 */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* A starting process waits this long for the store before it queries other VMs. */
#define START_DELAY (300 * DP_USEC_PER_MSEC)
#define REQUEST_INTERVAL (300 * DP_USEC_PER_MSEC)
/* State that the store has not confirmed for this time may be outdated: a working watch
 * confirms it every 2 s. */
#define STATE_AGE_MAX (3 * DP_USEC_PER_SEC)
/* Targets of another VM count as outdated if the store confirmed them longer ago. */
#define RECEIVED_AGE_MAX (2500 * DP_USEC_PER_MSEC)
#define SEEDS_MAX 16
/* Relays send at least this often: a third of the timeout after which other VMs watch the store
 * themselves. */
#define RELAY_INTERVAL (300 * DP_USEC_PER_MSEC)
/* Changes within this time are sent together. */
#define RELAY_BATCH_DELAY (40 * DP_USEC_PER_MSEC)

GArray *
dp_peer_sync_seeds (const DpNode *node)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpVm));
  char **seeds
    = g_strsplit (node->settings->seeds != NULL ? node->settings->seeds : "", ",", SEEDS_MAX);
  for (gsize i = 0; seeds[i] != NULL; i++)
    {
      const char *colon = strrchr (seeds[i], ':');
      DpVm vm = { .state = DP_VM_LIVE };
      if (colon == NULL || (gsize)(colon - seeds[i]) >= sizeof vm.address)
        continue;
      memcpy (vm.address, seeds[i], (gsize)(colon - seeds[i]));
      if (strcmp (vm.address, node->settings->process.address) == 0)
        continue;
      g_snprintf (vm.text, sizeof vm.text, "seed-%s", vm.address);
      vm.name = dp_name (vm.text);
      g_array_append_val (rows, vm);
    }
  g_strfreev (seeds);
  return rows;
}

/* --- requests --- */

/* Returns the names of VMs that sent a message lately; the seeds if there are none. */
static GArray *
list_candidates (const DpNode *node, DpUsec now)
{
  GArray *names = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      DpUsec last_seen_at = dp_owners_last_seen_at (node->owners, vm->name);
      if (vm->name != node->self && last_seen_at != 0 && now - last_seen_at < STATE_AGE_MAX)
        g_array_append_val (names, vm->name);
    }
  if (names->len > 0)
    return names;
  GArray *seeds = dp_peer_sync_seeds (node);
  for (guint i = 0; i < seeds->len; i++)
    g_array_append_val (names, g_array_index (seeds, DpVm, i).name);
  g_array_unref (seeds);
  return names;
}

static void
request_manifest (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_MANIFEST_ASK };
  message.manifest_ask.revision = node->manifest != NULL ? node->manifest->revision : 0;
  dp_peers_send (node, vm, &message);
}

/* Sends the known VMs. The other VM may not know this one yet, and can't respond without its
 * address. */
static void
send_view (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW };
  DpStoreVersion version = dp_store_watch_state (node->store_watch).vms;
  message.view.version = version.revision;
  message.view.era = version.era;
  message.view.vms = node->view->vms;
  dp_peers_send (node, vm, &message);
}

static void
request_state (DpNode *node, DpUsec now)
{
  GArray *names = list_candidates (node, now);
  if (names->len > 0)
    {
      DpName vm = g_array_index (names, DpName, ++node->probe_sequence % names->len);
      send_view (node, vm);
      request_manifest (node, vm);
      DpMessage message = { .type = DP_MESSAGE_TARGETS_ASK };
      message.targets_ask.version = dp_directory_version (node->directory);
      dp_peers_send (node, vm, &message);
    }
  g_array_unref (names);
}

static void
request_state_if_outdated (DpNode *node, DpUsec now)
{
  DpUsec confirmed_at
    = MIN (node->manifest_confirmed_at, dp_directory_last_contact_at (node->directory));
  gboolean is_starting = confirmed_at == 0 && now - node->started_at > START_DELAY;
  gboolean is_outdated = confirmed_at != 0 && now - confirmed_at > STATE_AGE_MAX;
  if ((!is_starting && !is_outdated) || now - node->state_requested_at < REQUEST_INTERVAL)
    return;
  node->state_requested_at = now;
  request_state (node, now);
}

void
dp_peer_sync_on_revision (DpNode *node, DpName vm, guint64 revision)
{
  DpUsec now = dp_node_now ();
  guint64 own = node->manifest != NULL ? node->manifest->revision : 0;
  if (revision <= own || now - node->manifest_requested_at < REQUEST_INTERVAL)
    return;
  node->manifest_requested_at = now;
  request_manifest (node, vm);
}

/* --- responses --- */

static void
send_manifest (DpNode *node, DpName to, const DpManifestAsk *request)
{
  if (node->manifest == NULL || node->manifest->revision <= request->revision)
    return;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = node->manifest->revision;
  message.manifest.text = node->manifest_text;
  dp_peers_send (node, to, &message);
}

static GArray *
list_targets (const DpNode *node)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (DpTargetRecord));
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (row->is_listed)
      g_array_append_val (records, row->record);
  return records;
}

static void
send_targets (DpNode *node, DpName to)
{
  DpUsec now = dp_node_now ();
  if (dp_directory_last_contact_at (node->directory) == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_TARGETS };
  message.targets.age = now - dp_directory_last_contact_at (node->directory);
  message.targets.version = dp_store_watch_state (node->store_watch).targets;
  message.targets.rows = list_targets (node);
  dp_peers_send (node, to, &message);
  dp_message_clear (&message);
  dp_rollouts_send_list (node, to);
  send_view (node, to);
}

/* --- relays --- */

static gboolean
has_changed (const DpRelay *current, const DpRelay *previous)
{
  return current->manifest_revision != previous->manifest_revision
         || dp_store_version_compare (current->targets, previous->targets) != 0
         || dp_store_version_compare (current->vms, previous->vms) != 0;
}

static void
send_relay (DpNode *node, DpName vm, const DpRelay *state)
{
  const DpRelay *previous = &node->last_relay;
  if (state->manifest_revision != previous->manifest_revision)
    send_manifest (node, vm, &(DpManifestAsk){ 0 });
  if (dp_store_version_compare (state->targets, previous->targets) != 0)
    send_targets (node, vm);
  if (dp_store_version_compare (state->vms, previous->vms) != 0)
    send_view (node, vm);
  DpMessage message = { .type = DP_MESSAGE_RELAY, .relay = *state };
  dp_peers_send (node, vm, &message);
  if (dp_store_watch_has_rollouts (node->store_watch))
    dp_rollouts_send_list (node, vm);
}

/* On a relay that reaches the store, sends the store's state to the relay's clients. */
static void
relay_state (DpNode *node, DpUsec now)
{
  if (!dp_owners_is_relay (node->owners) || dp_store_watch_is_failing (node->store_watch))
    return;
  DpRelay state = dp_store_watch_state (node->store_watch);
  DpUsec since = now - node->last_relay_sent_at;
  DpStoreVersion rollouts = dp_rollouts_version (node);
  gboolean is_new = has_changed (&state, &node->last_relay)
                    || dp_store_version_compare (rollouts, node->last_rollouts) != 0;
  gboolean is_due = since >= RELAY_INTERVAL || (since >= RELAY_BATCH_DELAY && is_new);
  if (!is_due || state.age > STATE_AGE_MAX)
    return;
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (dp_owners_is_relay_client (node->owners, vm))
        send_relay (node, vm->name, &state);
    }
  node->last_relay = state;
  node->last_rollouts = rollouts;
  node->last_relay_sent_at = now;
}

/* Records what the relay reports of the store, and requests the state that this VM lacks. */
static void
on_relay (DpNode *node, DpName from, const DpRelay *state)
{
  DpUsec now = dp_node_now ();
  DpRelay own = dp_store_watch_state (node->store_watch);
  dp_store_watch_apply_relay (node->store_watch, state);
  dp_peer_sync_on_revision (node, from, state->manifest_revision);
  gboolean is_behind = dp_store_version_compare (own.targets, state->targets) < 0
                       || dp_store_version_compare (own.vms, state->vms) < 0;
  if (!is_behind || now - node->state_requested_at < REQUEST_INTERVAL)
    return;
  node->state_requested_at = now;
  DpMessage message = { .type = DP_MESSAGE_TARGETS_ASK };
  message.targets_ask.version = own.targets.revision;
  dp_peers_send (node, from, &message);
}

/* Accepts targets of a newer version of the store; other targets only while this VM has none.
 */
static void
on_targets (DpNode *node, const DpTargetRows *targets)
{
  DpStoreVersion own = dp_store_watch_state (node->store_watch).targets;
  gboolean is_newer
    = dp_store_version_compare (targets->version, own) > 0 && targets->age < RECEIVED_AGE_MAX;
  gboolean is_first = dp_directory_count (node->directory) == 0;
  if (targets->rows != NULL && (is_newer || is_first))
    dp_store_watch_apply_targets (node->store_watch, targets);
}

/* Accepts the whole list if its version of the store is newer. Otherwise accepts the sender's
 * row for itself, and those for other VMs only before the first response from the store. */
static void
on_view (DpNode *node, DpName from, const DpViewRows *view)
{
  const DpStoreVersion version = { .era = view->era, .revision = view->version };
  if (view->vms != NULL
      && dp_store_version_compare (version, dp_store_watch_state (node->store_watch).vms) > 0)
    {
      dp_store_watch_apply_vms (node->store_watch, view->vms, &version);
      return;
    }
  GArray *accepted = g_array_new (FALSE, FALSE, sizeof (DpVm));
  for (guint i = 0; view->vms != NULL && i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      if (vm->name == from || node->view_confirmed_at == 0)
        g_array_append_vals (accepted, vm, 1);
    }
  dp_store_watch_apply_vms (node->store_watch, accepted, NULL);
  g_array_unref (accepted);
}

gboolean
dp_peer_sync_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_MANIFEST_ASK:
      send_manifest (node, from, &message->manifest_ask);
      return TRUE;
    case DP_MESSAGE_MANIFEST:
      if (message->manifest.text != NULL)
        dp_store_watch_apply_config_text (node->store_watch, message->manifest.text);
      return TRUE;
    case DP_MESSAGE_TARGETS_ASK:
      send_targets (node, from);
      return TRUE;
    case DP_MESSAGE_TARGETS:
      on_targets (node, &message->targets);
      return TRUE;
    case DP_MESSAGE_RELAY:
      on_relay (node, from, &message->relay);
      return TRUE;
    case DP_MESSAGE_VIEW:
      on_view (node, from, &message->view);
      return TRUE;
    default:
      return FALSE;
    }
}

void
dp_peer_sync_tick (DpNode *node, DpUsec now)
{
  request_state_if_outdated (node, now);
  relay_state (node, now);
}
