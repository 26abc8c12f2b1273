/* Limits of workspaces over all VMs: asks to their keepers, and what is kept here. */
#include "node/node.h"

#include "common/log.h"

DpQuotaLimit
dp_limits_of (const DpNode *node, const DpWorkspace *workspace)
{
  DpQuotaLimit limit
    = { .window = node->figures.quota_window, .slack = node->figures.quota_slack };
  if (workspace == NULL)
    return limit;
  limit.workspace = workspace->name;
  limit.per_second = workspace->rate_per_second;
  limit.burst = workspace->rate_burst;
  return limit;
}

/* FALSE: the workspace is not known, or has no limit. */
static gboolean
find_limit (const DpNode *node, DpName workspace, DpQuotaLimit *limit)
{
  if (node->manifest == NULL)
    return FALSE;
  int index = dp_manifest_find (node->manifest, DP_MANIFEST_WORKSPACE, workspace);
  if (index < 0)
    return FALSE;
  *limit = dp_limits_of (
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

/* --- at the keeper --- */

static void
take_report (DpNode *node, DpName from, const DpUseReport *report)
{
  DpQuotaLimit limit;
  if (find_limit (node, report->workspace, &limit))
    dp_quota_server_on_report (node->quota_keeper, &limit, report, from, dp_node_now ());
}

static void
tell_use (DpNode *node, DpName keeper, DpName workspace)
{
  DpMessage message = { .type = DP_MESSAGE_USE_REPORT };
  dp_quota_client_make_report (node->quota_user, workspace, dp_node_now (),
                               &message.use_report);
  if (keeper == node->self)
    take_report (node, node->self, &message.use_report);
  else
    dp_peers_send (node, keeper, &message);
}

static void
ask_all_use (DpNode *node, DpName workspace)
{
  dp_log (DP_LOG_NOTICE, "limit_kept", "workspace", workspace_text (node, workspace), NULL);
  dp_counters_add (node->counters, "dogwoodplank_limit_terms_total", NULL, NULL, 1);
  tell_use (node, node->self, workspace);
  const DpMessage message = { .type = DP_MESSAGE_USE_ASK, .use_ask.workspace = workspace };
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      if (vm != node->self)
        dp_peers_send (node, vm, &message);
    }
}

/* --- at the VM that asks --- */

static void
take_given (DpNode *node, DpName keeper, const DpCreditGiven *given)
{
  dp_quota_client_on_given (node->quota_user, given, keeper, dp_node_now ());
  if (given->is_pending)
    tell_use (node, keeper, given->workspace);
  dp_request_look_at_limited (node);
}

static void
answer_ask (DpNode *node, DpName from, const DpCreditAsk *ask)
{
  DpQuotaLimit limit;
  if (!find_limit (node, ask->workspace, &limit))
    return;
  DpUsec now = dp_node_now ();
  const DpQuotaFleet fleet = { .vms = dp_peers_count (node),
                               .reach = dp_owners_reachable_fraction (node->owners, now) };
  DpQuotaResponse answer
    = dp_quota_server_on_request (node->quota_keeper, &limit, ask, from, &fleet, now);
  /* A weak VM is taken for the keeper only while the strong ones are out of reach or late; it
   * gives the part of those that ask it, and does not make all others follow it. */
  if (answer.query_all && dp_owners_is_strongest (node->owners))
    ask_all_use (node, ask->workspace);
  const DpMessage message = { .type = DP_MESSAGE_CREDIT_GIVEN, .credit_given = answer.given };
  if (from == node->self)
    take_given (node, node->self, &message.credit_given);
  else
    dp_peers_send (node, from, &message);
}

static void
send_ask (DpNode *node, const DpCreditAsk *ask, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_CREDIT_ASK, .credit_ask = *ask };
  DpName owner = dp_owners_choose (node->owners, ask->workspace, now);
  DpName keeper = dp_quota_client_choose_server (node->quota_user, ask->workspace, owner, now);
  message.credit_ask.is_new
    = dp_quota_client_is_new_server (node->quota_user, ask->workspace, keeper);
  if (keeper == node->self)
    answer_ask (node, node->self, &message.credit_ask);
  else
    dp_peers_send (node, keeper, &message);
}

void
dp_limits_ask (DpNode *node, DpName workspace, DpUsec now)
{
  DpCreditAsk ask;
  if (dp_quota_client_take_due_request (node->quota_user, workspace, now, &ask))
    send_ask (node, &ask, now);
}

void
dp_limits_tick (DpNode *node, DpUsec now)
{
  GArray *asks = g_array_new (FALSE, FALSE, sizeof (DpCreditAsk));
  dp_quota_client_take_due_requests (node->quota_user, now, asks);
  for (guint i = 0; i < asks->len; i++)
    send_ask (node, &g_array_index (asks, DpCreditAsk, i), now);
  g_array_unref (asks);
  dp_request_look_at_limited (node);
}

gboolean
dp_limits_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_CREDIT_ASK:
      answer_ask (node, from, &message->credit_ask);
      return TRUE;
    case DP_MESSAGE_CREDIT_GIVEN:
      take_given (node, from, &message->credit_given);
      return TRUE;
    case DP_MESSAGE_USE_ASK:
      dp_quota_client_on_new_server (node->quota_user, message->use_ask.workspace, from,
                                     dp_node_now ());
      tell_use (node, from, message->use_ask.workspace);
      return TRUE;
    case DP_MESSAGE_USE_REPORT:
      take_report (node, from, &message->use_report);
      return TRUE;
    default:
      return FALSE;
    }
}
