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
      DpUsec heard = dp_owners_heard_at (node->owners, vm->name);
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
  message.view.version = node->view->version;
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

void
dp_share_tick (DpNode *node, DpUsec now)
{
  DpUsec proof = MIN (node->manifest_proof, dp_directory_contact_at (node->directory));
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
  if (dp_directory_contact_at (node->directory) == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_TARGETS };
  message.targets.age = now - dp_directory_contact_at (node->directory);
  message.targets.rows = list_targets (node);
  dp_peers_send (node, to, &message);
  dp_message_clear (&message);
  send_view (node, to);
}

/* The store's own word goes before another VM's. */
static void
take_targets (DpNode *node, const DpTargetsText *targets)
{
  DpUsec age = dp_node_now () - dp_directory_contact_at (node->directory);
  gboolean is_first = dp_directory_contact_at (node->directory) == 0
                      && dp_directory_count (node->directory) == 0;
  gboolean is_fresh = targets->age < SHARED_AGE_MAX && age > PROOF_AGE_MAX;
  if (targets->rows != NULL && (is_first || is_fresh))
    dp_follow_take_targets (node->follow, targets->rows);
}

/* A VM knows best of itself; of others, only if the store has said nothing yet. */
static void
take_view (DpNode *node, DpName from, const DpViewText *view)
{
  GArray *taken = g_array_new (FALSE, FALSE, sizeof (DpVm));
  for (guint i = 0; view->vms != NULL && i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      if (vm->name == from || node->view_proof == 0)
        g_array_append_vals (taken, vm, 1);
    }
  dp_follow_take_vms (node->follow, taken);
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
    case DP_MESSAGE_VIEW:
      take_view (node, from, &message->view);
      return TRUE;
    default:
      return FALSE;
    }
}
