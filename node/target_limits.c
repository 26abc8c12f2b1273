/* Limits that targets state in their responses: how many requests a second they accept from all
 * VMs together. */
#include "node/node.h"

#include "common/log.h"

#include <math.h>

/* Changes of a limit by less than this fraction are not logged. */
#define LOGGED_CHANGE_MIN 0.1

static void
log_limit (DpNode *node, const DpDirectoryRow *row, double previous, const char *source)
{
  double limit = row->limit.is_set ? row->limit.per_second : -1;
  if (previous >= 0 && limit >= 0 && fabs (limit - previous) < previous * LOGGED_CHANGE_MIN)
    return;
  char limit_text[G_ASCII_DTOSTR_BUF_SIZE], previous_text[G_ASCII_DTOSTR_BUF_SIZE], age[24];
  g_ascii_formatd (limit_text, sizeof limit_text, "%.3f", limit);
  g_ascii_formatd (previous_text, sizeof previous_text, "%.3f", previous);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              (dp_node_now () - row->limit.observed_at) / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "target_limit", "target", row->record.id, "per_second",
          limit >= 0 ? limit_text : "none", "before", previous >= 0 ? previous_text : "none",
          "source", source, "age_ms", age, NULL);
}

static void
count_limited (DpNode *node)
{
  guint limited = 0;
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    limited += row->limit.is_set;
  dp_counters_set (node->counters, "dogwoodplank_limited_targets", NULL, NULL, limited);
}

/* Returns TRUE if the limit changed. */
static gboolean
record (DpNode *node, const DpLimitReport *report, const char *source)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, report->target);
  double previous = row != NULL && row->limit.is_set ? row->limit.per_second : -1;
  if (!dp_directory_record_limit (node->directory, report, dp_node_now ()))
    return FALSE;
  log_limit (node, row, previous, source);
  count_limited (node);
  return TRUE;
}

/* The end of a limit shows in a response to a request that was sent after the limit was known:
 * responses to earlier requests may have left the target before it set the limit. */
static gboolean
is_unlimited (const DpNodeRequest *request, const DpDirectoryRow *row)
{
  return row->limit.is_set && request->answer.limit == DP_RESPONSE_LIMIT_NONE
         && request->answer.is_authentic && !request->answer.is_declined
         && request->sent_at > row->limit.changed_at;
}

void
dp_target_limits_on_response (const DpNodeRequest *request)
{
  DpNode *node = request->node;
  const DpTargetResponse *answer = &request->answer;
  const DpDirectoryRow *row = dp_directory_find (node->directory, request->target);
  if (answer->limit == DP_RESPONSE_LIMIT_INVALID)
    {
      dp_counters_add (node->counters, "dogwoodplank_invalid_limits_total", NULL, NULL, 1);
      dp_log (DP_LOG_INFO, "target_limit_ignored", "request", request->id, "target",
              request->target_text, "reason", "not a decimal number", NULL);
    }
  gboolean is_stated = answer->limit == DP_RESPONSE_LIMIT_STATED;
  if (row == NULL || (!is_stated && !is_unlimited (request, row)))
    return;
  const DpLimitReport report = { .target = request->target,
                                 .started = row->record.started,
                                 .is_set = is_stated,
                                 .per_second = answer->limit_per_second,
                                 .observed_at = dp_node_now () };
  record (node, &report, "target response");
}
