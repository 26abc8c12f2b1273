/* Other VMs: probes, dispatch of their messages, removal of VMs that no longer exist. */
#include "node/node.h"

#include "common/log.h"

#define PEERS_TICK_INTERVAL (100 * DP_USEC_PER_MSEC)
/* A VM that sent nothing for this long may have missed announcements. A process that was killed
 * is back sooner than the interval of those. */
#define CONTACT_GAP_MIN (150 * DP_USEC_PER_MSEC)
#define PRUNE_INTERVAL DP_USEC_PER_SEC
/* VMs are removed only if the store or a relay confirmed the list within this time. */
#define PRUNE_VIEW_AGE_MAX (5 * DP_USEC_PER_SEC)
/* Key whose owner removes VMs from the list. All VMs must hash the same text. */
#define PRUNE_KEY "list of VMs"

void
dp_peers_send (DpNode *node, DpName vm, const DpMessage *message)
{
  dp_process_send (node->process, (DpPeer){ vm, DP_ROLE_NODE }, message);
}

void
dp_peers_send_to_all (DpNode *node, const DpMessage *message)
{
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      if (vm != node->self)
        dp_peers_send (node, vm, message);
    }
}

guint
dp_peers_vm_count (const DpNode *node)
{
  return node->view != NULL ? MAX (node->view->vms->len, 1) : 1;
}

void
dp_peers_set_view (DpNode *node, DpView *view)
{
  dp_view_unref (node->view);
  node->view = dp_view_ref (view);
  dp_owners_set_view (node->owners, view);
  dp_reach_set_view (node->reach, view);
  dp_node_copies_set_view (node);
  dp_placement_set_vms (node);
  GArray *rows = dp_peer_sync_seeds (node);
  g_array_append_vals (rows, view->vms->data, view->vms->len);
  DpView *reachable = dp_view_new (view->version, (const DpVm *)rows->data, rows->len);
  dp_process_set_peers (node->process, reachable);
  dp_view_unref (reachable);
  g_array_unref (rows);
  dp_counters_set (node->counters, "dogwoodplank_vms", NULL, NULL, view->vms->len);
}

guint
dp_peers_rank (const DpNode *node, guint64 key, DpName out[DP_RANKED_VMS])
{
  guint64 ranks[DP_RANKED_VMS] = { 0 };
  guint count = 0;
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      guint64 rank = dp_name_pair (key, vm);
      guint at = MIN (count, DP_RANKED_VMS);
      while (at > 0 && rank > ranks[at - 1])
        at--;
      if (at == DP_RANKED_VMS)
        continue;
      count = MIN (count + 1, DP_RANKED_VMS);
      for (guint j = count - 1; j > at; j--)
        {
          ranks[j] = ranks[j - 1];
          out[j] = out[j - 1];
        }
      ranks[at] = rank;
      out[at] = vm;
    }
  return count;
}

/* --- probes --- */

static void
send_probe (DpNode *node, DpName vm, DpMessageType type, guint64 sequence)
{
  DpMessage message = { .type = type };
  message.probe.sequence = sequence;
  message.probe.incarnation = dp_process_incarnation (node->process);
  message.probe.leaving = node->is_stopping;
  message.probe.rules = DP_RULES_LEVEL;
  message.probe.manifest_revision = node->manifest != NULL ? node->manifest->revision : 0;
  dp_peers_send (node, vm, &message);
}

static void
collect_due_probes (DpNode *node, DpUsec now, GArray *due)
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
  collect_due_probes (node, now, due);
  for (guint i = 0; i < due->len; i++)
    send_probe (node, g_array_index (due, DpName, i), DP_MESSAGE_PROBE, ++node->probe_sequence);
  g_array_unref (due);
}

void
dp_peers_announce_leaving (DpNode *node)
{
  dp_owners_set_leaving (node->owners, node->self, TRUE, dp_node_now ());
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (vm->name != node->self)
        send_probe (node, vm->name, DP_MESSAGE_PROBE_ACK, 0);
    }
}

/* --- messages --- */

static void
record_received (DpNode *node, DpName vm)
{
  DpUsec now = dp_node_now ();
  if (dp_owners_is_unresponsive (node->owners, vm))
    {
      const DpVm *row = node->view != NULL ? dp_view_find (node->view, vm) : NULL;
      dp_log (DP_LOG_NOTICE, "vm_regained", "vm", row != NULL ? row->text : "unknown", NULL);
    }
  dp_owners_on_message (node->owners, vm, now);
}

void
dp_peers_on_message (DpNode *node, DpPeer from, const DpMessage *message)
{
  /* Before any reply, upon which the VM may place requests. */
  if (dp_node_now () - dp_owners_last_seen_at (node->owners, from.vm) > CONTACT_GAP_MIN)
    dp_plain_pools_on_contact (node, from.vm);
  switch (message->type)
    {
    case DP_MESSAGE_PROBE:
      record_received (node, from.vm);
      dp_owners_set_leaving (node->owners, from.vm, message->probe.leaving, dp_node_now ());
      dp_builds_record (node, from.vm, message->probe.rules);
      dp_peer_sync_on_revision (node, from.vm, message->probe.manifest_revision);
      send_probe (node, from.vm, DP_MESSAGE_PROBE_ACK, message->probe.sequence);
      break;
    case DP_MESSAGE_PROBE_ACK:
      record_received (node, from.vm);
      dp_owners_set_leaving (node->owners, from.vm, message->probe.leaving, dp_node_now ());
      dp_builds_record (node, from.vm, message->probe.rules);
      dp_peer_sync_on_revision (node, from.vm, message->probe.manifest_revision);
      break;
    case DP_MESSAGE_CREDIT_ASK:
      record_received (node, from.vm);
      dp_limits_on_message (node, from.vm, message);
      break;
    default:
      if (!dp_limits_on_message (node, from.vm, message)
          && !dp_peer_sync_on_message (node, from.vm, message)
          && !dp_paths_on_message (node, message)
          && !dp_node_quarantine_on_message (node, from.vm, message)
          && !dp_take_ups_on_message (node, from.vm, message)
          && !dp_node_copies_on_message (node, from.vm, message)
          && !dp_rollouts_on_message (node, from.vm, message))
        dp_placement_on_message (node, from.vm, message);
      break;
    }
}

/* --- removal of VMs that no longer exist --- */

static void
prune (DpNode *node, DpUsec now)
{
  if (now - node->pruned_at < PRUNE_INTERVAL)
    return;
  node->pruned_at = now;
  if (node->view == NULL || now - node->view_confirmed_at > PRUNE_VIEW_AGE_MAX
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
    dp_registration_delete_vm (node->registration, g_array_index (gone, DpName, i));
  g_array_unref (probes);
  g_array_unref (gone);
}

void
dp_peers_tick (DpNode *node, DpUsec now)
{
  if (node->awaiting_quota > 0)
    dp_limits_tick (node, now);
  if (now - node->peers_ticked_at < PEERS_TICK_INTERVAL)
    return;
  node->peers_ticked_at = now;
  send_due_probes (node, now);
  dp_limits_tick (node, now);
  dp_peer_sync_tick (node, now);
  dp_node_quarantine_tick (node, now);
  dp_builds_tick (node, now);
  prune (node, now);
}
