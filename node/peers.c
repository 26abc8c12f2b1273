/* The other VMs of the system: who is heard, who owns what, and limits over all of them. */
#include "node/node.h"

#include "common/log.h"

#define PEERS_INTERVAL (100 * DP_USEC_PER_MSEC)
#define PRUNE_INTERVAL DP_USEC_PER_SEC
/* The list of VMs is trusted if the store, or a relay, has confirmed it within this time. */
#define PRUNE_PROOF_MAX (5 * DP_USEC_PER_SEC)
/* Name of the key whose owner keeps the list of VMs. */
#define PRUNE_KEY "list of VMs"

void
dp_peers_send (DpNode *node, DpName vm, const DpMessage *message)
{
  dp_process_send (node->process, (DpPeer){ vm, DP_ROLE_NODE }, message);
}

guint
dp_peers_count (const DpNode *node)
{
  return node->view != NULL ? MAX (node->view->vms->len, 1) : 1;
}

void
dp_peers_set_view (DpNode *node, DpView *view)
{
  dp_view_unref (node->view);
  node->view = dp_view_ref (view);
  dp_owners_set_view (node->owners, view);
  dp_placing_set_vms (node);
  GArray *rows = dp_share_seeds (node);
  g_array_append_vals (rows, view->vms->data, view->vms->len);
  DpView *reachable = dp_view_new (view->version, (const DpVm *)rows->data, rows->len);
  dp_process_set_peers (node->process, reachable);
  dp_view_unref (reachable);
  g_array_unref (rows);
  dp_counters_set (node->counters, "dogwoodplank_vms", NULL, NULL, view->vms->len);
}

/* --- probes --- */

static void
send_probe (DpNode *node, DpName vm, DpMessageType type, guint64 sequence)
{
  DpMessage message = { .type = type };
  message.probe.sequence = sequence;
  message.probe.incarnation = dp_process_incarnation (node->process);
  message.probe.leaving = node->is_stopping;
  message.probe.manifest_revision = node->manifest != NULL ? node->manifest->revision : 0;
  dp_peers_send (node, vm, &message);
}

static void
collect_due (DpNode *node, DpUsec now, GArray *due)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpNodePool *pool = value;
      if (pool->is_shared)
        dp_owners_due_probes (node->owners, pool->name, DP_OWNER_CANDIDATES, now, due);
    }
  for (guint i = 0; node->manifest != NULL && i < node->manifest->workspaces->len; i++)
    {
      const DpWorkspace *row = DP_MANIFEST_ROW (node->manifest, workspaces, DpWorkspace, i);
      if (row->rate_per_second > 0)
        dp_owners_due_probes (node->owners, row->name, 1, now, due);
    }
}

static void
send_due_probes (DpNode *node, DpUsec now)
{
  GArray *due = g_array_new (FALSE, FALSE, sizeof (DpName));
  collect_due (node, now, due);
  for (guint i = 0; i < due->len; i++)
    send_probe (node, g_array_index (due, DpName, i), DP_MESSAGE_PROBE, ++node->probe_sequence);
  g_array_unref (due);
}

void
dp_peers_say_leaving (DpNode *node)
{
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (vm->name != node->self)
        send_probe (node, vm->name, DP_MESSAGE_PROBE_ACK, 0);
    }
}

/* --- limits of workspaces --- */

DpQuotaLimit
dp_peers_limit (const DpNode *node, const DpWorkspace *workspace)
{
  DpQuotaLimit limit = { .window = node->figures.quota_window };
  if (workspace == NULL)
    return limit;
  limit.workspace = workspace->name;
  limit.per_second = workspace->rate_per_second;
  limit.burst = workspace->rate_burst;
  return limit;
}

static void
take_limit (DpNode *node, const DpLimitGiven *given)
{
  dp_quota_user_given (node->quota_user, given);
  dp_request_look_at_limited (node);
}

static void
answer_limit_ask (DpNode *node, DpName from, const DpLimitAsk *ask)
{
  if (node->manifest == NULL)
    return;
  int index = dp_manifest_find (node->manifest, DP_MANIFEST_WORKSPACE, ask->workspace);
  if (index < 0)
    return;
  DpQuotaLimit limit = dp_peers_limit (
    node, DP_MANIFEST_ROW (node->manifest, workspaces, DpWorkspace, (guint)index));
  if (limit.per_second <= 0)
    return;
  DpUsec now = dp_node_now ();
  DpMessage message = { .type = DP_MESSAGE_LIMIT_GIVEN };
  message.limit_given = dp_quota_keeper_ask (node->quota_keeper, &limit, ask,
                                             dp_owners_reach (node->owners, now), now);
  if (from == node->self)
    take_limit (node, &message.limit_given);
  else
    dp_peers_send (node, from, &message);
}

static void
send_limit_ask (DpNode *node, const DpLimitAsk *ask, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_LIMIT_ASK, .limit_ask = *ask };
  DpName keeper = dp_owners_choose (node->owners, ask->workspace, now);
  if (keeper == node->self)
    answer_limit_ask (node, node->self, ask);
  else
    dp_peers_send (node, keeper, &message);
}

static void
send_limit_asks (DpNode *node, DpUsec now)
{
  GArray *asks = g_array_new (FALSE, FALSE, sizeof (DpLimitAsk));
  dp_quota_user_due_asks (node->quota_user, now, asks);
  for (guint i = 0; i < asks->len; i++)
    send_limit_ask (node, &g_array_index (asks, DpLimitAsk, i), now);
  g_array_unref (asks);
}

void
dp_peers_ask_limit (DpNode *node, DpName workspace, DpUsec now)
{
  DpLimitAsk ask;
  if (dp_quota_user_due_ask (node->quota_user, workspace, now, &ask))
    send_limit_ask (node, &ask, now);
}

/* --- */

static void
note_heard (DpNode *node, DpName vm)
{
  DpUsec now = dp_node_now ();
  if (dp_owners_is_silent (node->owners, vm))
    {
      const DpVm *row = node->view != NULL ? dp_view_find (node->view, vm) : NULL;
      dp_log (DP_LOG_NOTICE, "vm_regained", "vm", row != NULL ? row->text : "unknown", NULL);
    }
  dp_owners_heard (node->owners, vm, now);
}

void
dp_peers_message (DpNode *node, DpPeer from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_PROBE:
      note_heard (node, from.vm);
      dp_owners_set_leaving (node->owners, from.vm, message->probe.leaving);
      dp_share_note_revision (node, from.vm, message->probe.manifest_revision);
      send_probe (node, from.vm, DP_MESSAGE_PROBE_ACK, message->probe.sequence);
      break;
    case DP_MESSAGE_PROBE_ACK:
      note_heard (node, from.vm);
      dp_owners_set_leaving (node->owners, from.vm, message->probe.leaving);
      dp_share_note_revision (node, from.vm, message->probe.manifest_revision);
      break;
    case DP_MESSAGE_LIMIT_ASK:
      note_heard (node, from.vm);
      answer_limit_ask (node, from.vm, &message->limit_ask);
      break;
    case DP_MESSAGE_LIMIT_GIVEN:
      take_limit (node, &message->limit_given);
      break;
    default:
      if (!dp_share_message (node, from.vm, message) && !dp_poison_message (node, message))
        dp_placing_message (node, from.vm, message);
      break;
    }
}

/* --- VMs that are gone --- */

static void
prune (DpNode *node, DpUsec now)
{
  if (now - node->pruned_at < PRUNE_INTERVAL)
    return;
  node->pruned_at = now;
  if (node->view == NULL || now - node->view_proof > PRUNE_PROOF_MAX
      || dp_owners_choose (node->owners, dp_name (PRUNE_KEY), now) != node->self)
    {
      dp_prune_reset (node->prune);
      return;
    }
  GArray *probes = g_array_new (FALSE, FALSE, sizeof (DpName));
  GArray *gone = g_array_new (FALSE, FALSE, sizeof (DpName));
  dp_prune_tick (node->prune, node->owners, node->view, node->self, now, probes, gone);
  for (guint i = 0; i < probes->len; i++)
    send_probe (node, g_array_index (probes, DpName, i), DP_MESSAGE_PROBE,
                ++node->probe_sequence);
  for (guint i = 0; i < gone->len; i++)
    dp_enlist_remove (node->enlist, g_array_index (gone, DpName, i));
  g_array_unref (probes);
  g_array_unref (gone);
}

void
dp_peers_tick (DpNode *node, DpUsec now)
{
  if (now - node->peers_ticked_at < PEERS_INTERVAL)
    return;
  node->peers_ticked_at = now;
  send_due_probes (node, now);
  send_limit_asks (node, now);
  dp_request_look_at_limited (node);
  dp_share_tick (node, now);
  dp_quarantine_tick (node->poison, now);
  prune (node, now);
}
