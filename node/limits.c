/* Rate limits of workspaces: messages between the quota client and quota server of this VM and
 * those of other VMs. A VM calls itself directly. */
#include "node/node.h"

#include "common/log.h"

DpQuotaLimit
dp_limits_for_workspace (const DpNode *node, const DpWorkspace *workspace)
{
  DpQuotaLimit limit
    = { .window = node->params.quota_window, .slack = node->params.quota_slack };
  if (workspace == NULL)
    return limit;
  limit.workspace = workspace->name;
  limit.per_second = workspace->rate_per_second;
  limit.burst = workspace->rate_burst;
  return limit;
}

/* Returns FALSE if the workspace is unknown or has no limit. */
static gboolean
find_limit (const DpNode *node, DpName workspace, DpQuotaLimit *limit)
{
  if (node->manifest == NULL)
    return FALSE;
  int index = dp_manifest_find (node->manifest, DP_MANIFEST_WORKSPACE, workspace);
  if (index < 0)
    return FALSE;
  *limit = dp_limits_for_workspace (
    node, DP_MANIFEST_ROW (node->manifest, workspaces, DpWorkspace, (guint)index));
  return limit->per_second > 0;
}

static const char *
workspace_text (const DpNode *node, DpName workspace)
{
  int index = dp_manifest_find (node->manifest, DP_MANIFEST_WORKSPACE, workspace);
  return index < 0
           ? "unknown"
           : DP_MANIFEST_ROW (node->manifest, workspaces, DpWorkspace, (guint)index)->text;
}

/* --- quota server --- */

static void
on_use_report (DpNode *node, DpName from, const DpUseReport *report)
{
  DpQuotaLimit limit;
  if (find_limit (node, report->workspace, &limit))
    dp_quota_server_on_report (node->quota_server, &limit, report, from, dp_node_now ());
}

static void
report_use (DpNode *node, DpName server, DpName workspace)
{
  DpMessage message = { .type = DP_MESSAGE_USE_REPORT };
  dp_quota_client_make_report (node->quota_client, workspace, dp_node_now (),
                               &message.use_report);
  if (server == node->self)
    on_use_report (node, node->self, &message.use_report);
  else
    dp_peers_send (node, server, &message);
}

/* This VM becomes the quota server of the limit: queries the recent use of all VMs. */
static void
query_all_use (DpNode *node, DpName workspace)
{
  dp_log (DP_LOG_NOTICE, "limit_kept", "workspace", workspace_text (node, workspace), NULL);
  dp_counters_add (node->counters, "dogwoodplank_limit_terms_total", NULL, NULL, 1);
  report_use (node, node->self, workspace);
  const DpMessage message = { .type = DP_MESSAGE_USE_ASK, .use_ask.workspace = workspace };
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      if (vm != node->self)
        dp_peers_send (node, vm, &message);
    }
}

/* --- quota client --- */

static void
on_credit (DpNode *node, DpName server, const DpCreditGiven *credit)
{
  dp_quota_client_on_given (node->quota_client, credit, server, dp_node_now ());
  if (credit->is_pending)
    report_use (node, server, credit->workspace);
  dp_request_recheck_limited (node);
}

static void
on_credit_request (DpNode *node, DpName from, const DpCreditAsk *request)
{
  DpQuotaLimit limit;
  if (!find_limit (node, request->workspace, &limit))
    return;
  DpUsec now = dp_node_now ();
  const DpQuotaFleet fleet
    = { .vms = dp_peers_vm_count (node),
        .reachable_fraction = dp_owners_reachable_fraction (node->owners, now) };
  DpQuotaResponse response
    = dp_quota_server_on_request (node->quota_server, &limit, request, from, &fleet, now);
  /* A weak VM is chosen as quota server only while the strong ones are unreachable or late. It
   * grants credit to its own clients but doesn't announce itself to all VMs. Otherwise VMs that
   * disagree on the server would make all others switch and report again and again. */
  if (response.query_all && dp_owners_is_strongest (node->owners))
    query_all_use (node, request->workspace);
  const DpMessage message = { .type = DP_MESSAGE_CREDIT_GIVEN, .credit_given = response.given };
  if (from == node->self)
    on_credit (node, node->self, &message.credit_given);
  else
    dp_peers_send (node, from, &message);
}

static void
send_credit_request (DpNode *node, const DpCreditAsk *request, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_CREDIT_ASK, .credit_ask = *request };
  DpName owner = dp_owners_choose (node->owners, request->workspace, now);
  DpName server
    = dp_quota_client_choose_server (node->quota_client, request->workspace, owner, now);
  message.credit_ask.is_new
    = dp_quota_client_is_new_server (node->quota_client, request->workspace, server);
  if (server == node->self)
    on_credit_request (node, node->self, &message.credit_ask);
  else
    dp_peers_send (node, server, &message);
}

void
dp_limits_ask (DpNode *node, DpName workspace, DpUsec now)
{
  DpCreditAsk request;
  if (dp_quota_client_take_due_request (node->quota_client, workspace, now, &request))
    send_credit_request (node, &request, now);
}

void
dp_limits_tick (DpNode *node, DpUsec now)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (DpCreditAsk));
  dp_quota_client_take_due_requests (node->quota_client, now, requests);
  for (guint i = 0; i < requests->len; i++)
    send_credit_request (node, &g_array_index (requests, DpCreditAsk, i), now);
  g_array_unref (requests);
  dp_request_recheck_limited (node);
}

gboolean
dp_limits_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_CREDIT_ASK:
      on_credit_request (node, from, &message->credit_ask);
      return TRUE;
    case DP_MESSAGE_CREDIT_GIVEN:
      on_credit (node, from, &message->credit_given);
      return TRUE;
    case DP_MESSAGE_USE_ASK:
      dp_quota_client_on_new_server (node->quota_client, message->use_ask.workspace, from,
                                     dp_node_now ());
      report_use (node, from, message->use_ask.workspace);
      return TRUE;
    case DP_MESSAGE_USE_REPORT:
      on_use_report (node, from, &message->use_report);
      return TRUE;
    default:
      return FALSE;
    }
}
