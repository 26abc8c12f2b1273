/* Config, targets and VMs from other VMs, while the store is out of reach. */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* The store has this long to answer a process that starts, before others are asked. */
#define START_PATIENCE (300 * DP_USEC_PER_MSEC)
#define ASK_INTERVAL (300 * DP_USEC_PER_MSEC)
/* Without the store's word for so long, another VM may know more: a watch returns after 2 s. */
#define PROOF_AGE_MAX (3 * DP_USEC_PER_SEC)
/* A VM whose own word of the store is older tells nothing new. */
#define SHARED_AGE_MAX (2500 * DP_USEC_PER_MSEC)
#define SEEDS_MAX 16
/* Relays speak at least this often: a third of what makes others watch for themselves. */
#define RELAY_INTERVAL (300 * DP_USEC_PER_MSEC)
/* Changes that come together are told together. */
#define RELAY_GATHER (40 * DP_USEC_PER_MSEC)

GArray *
dp_share_seeds (const DpNode *node)
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

/* --- asking --- */

/* VMs that were heard lately, or the seeds. */
static GArray *
list_candidates (const DpNode *node, DpUsec now)
{
  GArray *names = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      DpUsec heard = dp_owners_last_seen_at (node->owners, vm->name);
      if (vm->name != node->self && heard != 0 && now - heard < PROOF_AGE_MAX)
        g_array_append_val (names, vm->name);
    }
  if (names->len > 0)
    return names;
  GArray *seeds = dp_share_seeds (node);
  for (guint i = 0; i < seeds->len; i++)
    g_array_append_val (names, g_array_index (seeds, DpVm, i).name);
  g_array_unref (seeds);
  return names;
}

static void
ask_manifest (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_MANIFEST_ASK };
  message.manifest_ask.revision = node->manifest != NULL ? node->manifest->revision : 0;
  dp_peers_send (node, vm, &message);
}

/* The other VM may not know this one, which it needs to answer. */
static void
send_view (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW };
  message.view.version = dp_follow_state (node->follow).vms_revision;
  message.view.vms = node->view->vms;
  dp_peers_send (node, vm, &message);
}

static void
ask_state (DpNode *node, DpUsec now)
{
  GArray *names = list_candidates (node, now);
  if (names->len > 0)
    {
      DpName vm = g_array_index (names, DpName, ++node->probe_sequence % names->len);
      send_view (node, vm);
      ask_manifest (node, vm);
      DpMessage message = { .type = DP_MESSAGE_TARGETS_ASK };
      message.targets_ask.version = dp_directory_version (node->directory);
      dp_peers_send (node, vm, &message);
    }
  g_array_unref (names);
}

static void
ask_if_cut (DpNode *node, DpUsec now)
{
  DpUsec proof = MIN (node->manifest_proof, dp_directory_last_contact_at (node->directory));
  gboolean is_starting = proof == 0 && now - node->started_at > START_PATIENCE;
  gboolean is_cut = proof != 0 && now - proof > PROOF_AGE_MAX;
  if ((!is_starting && !is_cut) || now - node->asked_state_at < ASK_INTERVAL)
    return;
  node->asked_state_at = now;
  ask_state (node, now);
}

void
dp_share_note_revision (DpNode *node, DpName vm, guint64 revision)
{
  DpUsec now = dp_node_now ();
  guint64 own = node->manifest != NULL ? node->manifest->revision : 0;
  if (revision <= own || now - node->asked_manifest_at < ASK_INTERVAL)
    return;
  node->asked_manifest_at = now;
  ask_manifest (node, vm);
}

/* --- answering --- */

static void
tell_manifest (DpNode *node, DpName to, const DpManifestAsk *ask)
{
  if (node->manifest == NULL || node->manifest->revision <= ask->revision)
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
tell_targets (DpNode *node, DpName to)
{
  DpUsec now = dp_node_now ();
  if (dp_directory_last_contact_at (node->directory) == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_TARGETS };
  message.targets.age = now - dp_directory_last_contact_at (node->directory);
  message.targets.revision = dp_follow_state (node->follow).targets_revision;
  message.targets.rows = list_targets (node);
  dp_peers_send (node, to, &message);
  dp_message_clear (&message);
  send_view (node, to);
}

/* --- relays --- */

static gboolean
is_news (const DpRelay *now, const DpRelay *before)
{
  return now->manifest_revision != before->manifest_revision
         || now->targets_revision != before->targets_revision
         || now->vms_revision != before->vms_revision;
}

static void
tell (DpNode *node, DpName vm, const DpRelay *state)
{
  const DpRelay *before = &node->relayed;
  if (state->manifest_revision != before->manifest_revision)
    tell_manifest (node, vm, &(DpManifestAsk){ 0 });
  if (state->targets_revision != before->targets_revision)
    tell_targets (node, vm);
  if (state->vms_revision != before->vms_revision)
    send_view (node, vm);
  DpMessage message = { .type = DP_MESSAGE_RELAY, .relay = *state };
  dp_peers_send (node, vm, &message);
}

/* A relay tells other VMs what the store has said, as long as it reaches the store. */
static void
relay (DpNode *node, DpUsec now)
{
  if (!dp_owners_is_relay (node->owners) || dp_follow_is_failing (node->follow))
    return;
  DpRelay state = dp_follow_state (node->follow);
  DpUsec since = now - node->relayed_at;
  gboolean is_due
    = since >= RELAY_INTERVAL || (since >= RELAY_GATHER && is_news (&state, &node->relayed));
  if (!is_due || state.age > PROOF_AGE_MAX)
    return;
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (dp_owners_is_relay_client (node->owners, vm))
        tell (node, vm->name, &state);
    }
  node->relayed = state;
  node->relayed_at = now;
}

/* Asks for what it does not have yet. */
static void
take_relay (DpNode *node, DpName from, const DpRelay *state)
{
  DpUsec now = dp_node_now ();
  DpRelay own = dp_follow_state (node->follow);
  dp_follow_take_proof (node->follow, state);
  dp_share_note_revision (node, from, state->manifest_revision);
  gboolean is_behind
    = own.targets_revision < state->targets_revision || own.vms_revision < state->vms_revision;
  if (!is_behind || now - node->asked_state_at < ASK_INTERVAL)
    return;
  node->asked_state_at = now;
  DpMessage message = { .type = DP_MESSAGE_TARGETS_ASK };
  message.targets_ask.version = own.targets_revision;
  dp_peers_send (node, from, &message);
}

/* A newer word of the store is taken from any VM; what is not newer only while this VM has none
 * of its own. */
static void
take_targets (DpNode *node, const DpTargetRows *targets)
{
  guint64 own = dp_follow_state (node->follow).targets_revision;
  gboolean is_newer = targets->revision > own && targets->age < SHARED_AGE_MAX;
  gboolean is_first = dp_directory_count (node->directory) == 0;
  if (targets->rows != NULL && (is_newer || is_first))
    dp_follow_take_targets (node->follow, targets);
}

/* A VM knows best of itself; of others, only if the store has said nothing yet. */
static void
take_view (DpNode *node, DpName from, const DpViewRows *view)
{
  if (view->vms != NULL && view->version > dp_follow_state (node->follow).vms_revision)
    {
      dp_follow_take_vms (node->follow, view->vms, view->version);
      return;
    }
  GArray *taken = g_array_new (FALSE, FALSE, sizeof (DpVm));
  for (guint i = 0; view->vms != NULL && i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      if (vm->name == from || node->view_proof == 0)
        g_array_append_vals (taken, vm, 1);
    }
  dp_follow_take_vms (node->follow, taken, 0);
  g_array_unref (taken);
}

gboolean
dp_share_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_MANIFEST_ASK:
      tell_manifest (node, from, &message->manifest_ask);
      return TRUE;
    case DP_MESSAGE_MANIFEST:
      if (message->manifest.text != NULL)
        dp_follow_take_config_text (node->follow, message->manifest.text);
      return TRUE;
    case DP_MESSAGE_TARGETS_ASK:
      tell_targets (node, from);
      return TRUE;
    case DP_MESSAGE_TARGETS:
      take_targets (node, &message->targets);
      return TRUE;
    case DP_MESSAGE_RELAY:
      take_relay (node, from, &message->relay);
      return TRUE;
    case DP_MESSAGE_VIEW:
      take_view (node, from, &message->view);
      return TRUE;
    default:
      return FALSE;
    }
}

void
dp_share_tick (DpNode *node, DpUsec now)
{
  ask_if_cut (node, now);
  relay (node, now);
}
