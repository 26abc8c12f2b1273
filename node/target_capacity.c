/* Logs and metrics of the limits of concurrent requests that a pool's owner has learned, see
 * core/capacity/capacity.h. */
#include "node/node.h"

#include "common/log.h"

#define CHECK_INTERVAL DP_USEC_PER_SEC
/* Limits change up to several times a second in overload; a line says how often since the last
 * one. */
#define LOG_INTERVAL (10 * DP_USEC_PER_SEC)

static const char *
target_text (const DpNode *node, DpName target)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, target);
  return row != NULL ? row->record.id : "unknown";
}

static const char *
vm_text (const DpNode *node, DpName vm)
{
  const DpVm *row = node->view != NULL ? dp_view_find (node->view, vm) : NULL;
  return row != NULL ? row->text : "unknown";
}

static void
set_gauges (DpNode *node, const DpNodePool *pool, const DpCapacityStatus *status)
{
  DpCounters *counters = node->counters;
  dp_counters_set (counters, "dogwoodplank_capacity_lowest", "pool", pool->text,
                   status->lowest);
  dp_counters_set (counters, "dogwoodplank_capacity_median", "pool", pool->text,
                   status->median);
  dp_counters_set (counters, "dogwoodplank_capacity_highest", "pool", pool->text,
                   status->highest);
  dp_counters_set (counters, "dogwoodplank_capacity_lowered_targets", "pool", pool->text,
                   status->lowered);
}

static void
log_limits (const DpNode *node,
            const DpNodePool *pool,
            const DpCapacityStatus *status,
            guint changes)
{
  char lowered[16], targets[16], lowest[16], median[16], highest[16], changed[16], age[24];
  g_snprintf (lowered, sizeof lowered, "%u", status->lowered);
  g_snprintf (targets, sizeof targets, "%u", status->targets);
  g_snprintf (lowest, sizeof lowest, "%u", status->lowest);
  g_snprintf (median, sizeof median, "%u", status->median);
  g_snprintf (highest, sizeof highest, "%u", status->highest);
  g_snprintf (changed, sizeof changed, "%u", changes);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT, status->lowest_age / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_INFO, "target_capacity", "pool", pool->text, "lowered", lowered, "of", targets,
          "lowest", lowest, "target", target_text (node, status->lowest_target), "age_ms",
          status->lowest_age < G_MAXINT64 ? age : NULL, "median", median, "highest", highest,
          "changes", changed, NULL);
}

/* Logs the limits at the owner if some have changed. */
static void
report_limits (DpNode *node, DpNodePool *pool, DpUsec now)
{
  DpCapacityReport *report = &pool->capacity_report;
  DpCapacityStatus status = dp_dispatcher_capacity_status (pool->dispatcher);
  set_gauges (node, pool, &status);
  dp_counters_set (node->counters, "dogwoodplank_capacity_changes_total", "pool", pool->text,
                   status.changes);
  gboolean has_changed = status.changes != report->changes || status.lowered != report->lowered;
  if (!status.is_deciding || !has_changed
      || (report->logged_at != 0 && now - report->logged_at < LOG_INTERVAL))
    return;
  log_limits (node, pool, &status, status.changes - report->changes);
  report->logged_at = now;
  report->changes = status.changes;
  report->lowered = status.lowered;
}

/* Logs the last row that was ignored, and how many were since the last line. */
static void
report_ignored (const DpNode *node, DpNodePool *pool, DpUsec now)
{
  DpCapacityReport *report = &pool->capacity_report;
  DpIgnoredCapacity ignored = dp_dispatcher_ignored_capacity (pool->dispatcher);
  if (ignored.count == report->ignored
      || (report->ignored_logged_at != 0 && now - report->ignored_logged_at < LOG_INTERVAL))
    return;
  char count[16], limit[16];
  g_snprintf (count, sizeof count, "%u", ignored.count - report->ignored);
  g_snprintf (limit, sizeof limit, "%u", ignored.limit);
  dp_log (DP_LOG_NOTICE, "target_capacity_ignored", "pool", pool->text, "problem",
          ignored.problem, "from", vm_text (node, ignored.from), "target",
          target_text (node, ignored.target), "limit", limit, "count", count, NULL);
  report->ignored_logged_at = now;
  report->ignored = ignored.count;
}

void
dp_target_capacity_tick (DpNode *node, DpNodePool *pool, DpUsec now)
{
  DpCapacityReport *report = &pool->capacity_report;
  if (node->params.target_capacity != DP_CAPACITY_LEARNED || pool->kind != DP_POOL_ENGINES
      || now - report->checked_at < CHECK_INTERVAL)
    return;
  report->checked_at = now;
  report_limits (node, pool, now);
  report_ignored (node, pool, now);
}
