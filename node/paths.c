/* How attempts reach their targets: by connections of this VM, or through a gateway. */
#include "node/node.h"

#include "common/log.h"

void
dp_paths_init (DpNode *node)
{
  const DpReachOptions options = { .self = node->self,
                                   .data_centre = dp_name (node->settings->process.data_centre),
                                   .seed = node->random,
                                   .owners = node->owners };
  node->reach = dp_reach_new (&options);
}

/* The owners stop blaming targets for what this VM doesn't reach. */
static void
report_change (DpNode *node)
{
  gboolean is_cut_off = dp_reach_is_cut_off (node->reach);
  if (is_cut_off == node->was_cut_off)
    return;
  node->was_cut_off = is_cut_off;
  dp_log (DP_LOG_WARNING, is_cut_off ? "targets_lost" : "targets_regained", "vm",
          node->settings->process.name, NULL);
  if (is_cut_off)
    dp_counters_add (node->counters, "dogwoodplank_cut_off_total", NULL, NULL, 1);
  dp_counters_set (node->counters, "dogwoodplank_cut_off", NULL, NULL, is_cut_off);
  dp_placement_report (node);
}

static const char *
path_text (const DpNodeRequest *request)
{
  const DpVm *gateway = dp_paths_gateway (request);
  switch (request->paths.path.kind)
    {
    case DP_PATH_DIRECT:
      return "direct";
    case DP_PATH_GATEWAY:
      return gateway != NULL ? gateway->text : "unknown";
    case DP_PATH_NONE:
      break;
    }
  return "none";
}

static void
log_path (const DpNodeRequest *request, const char *event, const char *outcome)
{
  char age[16];
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              (dp_node_now () - request->paths.started_at) / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_INFO, event, "request", request->id, "target", request->target_text, "path",
          path_text (request), "outcome", outcome, "age_ms", age, NULL);
}

static void
count_gateway_use (const DpNodeRequest *request)
{
  if (request->paths.path.kind == DP_PATH_GATEWAY)
    dp_counters_add (request->node->counters, "dogwoodplank_gateway_calls_total", NULL, NULL,
                     1);
}

void
dp_paths_begin (DpNodeRequest *request, const DpDirectoryRow *target)
{
  request->paths
    = dp_reach_begin (request->node->reach, target->name, target->data_centre, dp_node_now ());
  if (request->paths.path.kind != DP_PATH_DIRECT)
    log_path (request, "path_chosen", "first");
  count_gateway_use (request);
}

const DpVm *
dp_paths_gateway (const DpNodeRequest *request)
{
  const DpPath *path = &request->paths.path;
  if (path->kind != DP_PATH_GATEWAY || request->node->view == NULL)
    return NULL;
  return dp_view_find (request->node->view, path->gateway);
}

gboolean
dp_paths_next (DpNodeRequest *request, DpPathFailure failure)
{
  DpNode *node = request->node;
  static const char *const outcomes[] = {
    [DP_PATH_UNREACHED] = "target unreached",
    [DP_PATH_GATEWAY_FAILED] = "gateway failed",
    [DP_PATH_GATEWAY_REFUSED] = "target refused",
  };
  log_path (request, "path_failed", outcomes[failure]);
  gboolean has_path = dp_reach_next (node->reach, &request->paths, failure, dp_node_now ());
  report_change (node);
  count_gateway_use (request);
  return has_path;
}

void
dp_paths_succeeded (const DpNodeRequest *request)
{
  dp_reach_succeeded (request->node->reach, &request->paths, dp_node_now ());
  report_change (request->node);
}

void
dp_paths_record_direct (DpNode *node, DpName target, gboolean succeeded)
{
  dp_reach_record_direct (node->reach, target, succeeded, dp_node_now ());
  report_change (node);
}

gboolean
dp_paths_is_lost (const DpNodeRequest *request)
{
  return request->stage == DP_STAGE_SENT && request->paths.path.kind == DP_PATH_DIRECT
         && dp_reach_is_cut_off (request->node->reach);
}

/* --- pauses that targets ask for --- */

static void
record_pause (DpNode *node, const char *request, const DpTargetPaused *paused)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, paused->target);
  char pause_ms[16];
  g_snprintf (pause_ms, sizeof pause_ms, "%" G_GINT64_FORMAT, paused->pause / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_INFO, "target_paused", "request", request, "target",
          row != NULL ? row->record.id : "unknown", "pause_ms", pause_ms, NULL);
  dp_directory_pause (node->directory, paused->target, dp_node_now () + paused->pause);
}

void
dp_paths_target_paused (const DpNodeRequest *request)
{
  DpMessage message = { .type = DP_MESSAGE_TARGET_PAUSED };
  message.target_paused
    = (DpTargetPaused){ .target = request->target, .pause = request->answer.pause };
  record_pause (request->node, request->id, &message.target_paused);
  if (request->paths.path.kind == DP_PATH_GATEWAY)
    dp_peers_send (request->node, request->paths.path.gateway, &message);
}

gboolean
dp_paths_on_message (DpNode *node, const DpMessage *message)
{
  if (message->type != DP_MESSAGE_TARGET_PAUSED)
    return FALSE;
  record_pause (node, NULL, &message->target_paused);
  return TRUE;
}
