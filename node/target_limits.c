/* Limits that targets state in their responses: how many requests a second they accept from all
 * VMs together, and with how many rejected ones a brittle target crashes.
 *
 * A VM that learns of a limit, or of its end, reports it to the pool's owner. The owner's
 * dispatcher announces it to all VMs and keeps it. While a target of a pool has a limit, all
 * requests to the pool are dispatched by its owner.
 */
#include "node/node.h"

#include "common/log.h"

#include <math.h>

/* Changes of a limit by less than this fraction are not logged. */
#define LOGGED_CHANGE_MIN 0.1
/* Limits are sent to other VMs in thousandths, and kept with that precision. */
#define MILLI 1000.0

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
format_rejections_max (const DpTargetBrittleness *brittle, char text[16])
{
  if (brittle->is_set)
    g_snprintf (text, 16, "%u", brittle->rejections_max);
  else
    g_strlcpy (text, "none", 16);
}

static void
log_brittle (DpNode *node,
             const DpDirectoryRow *row,
             const DpTargetBrittleness *previous,
             const char *source)
{
  char rejections_max[16], before[16], age[24];
  format_rejections_max (&row->brittle, rejections_max);
  format_rejections_max (previous, before);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              (dp_node_now () - row->brittle.observed_at) / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "target_brittle", "target", row->record.id, "rejections_max",
          rejections_max, "before", before, "source", source, "age_ms", age, NULL);
}

static void
count_limited (DpNode *node)
{
  guint limited = 0;
  guint brittle = 0;
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    {
      limited += row->limit.is_set;
      brittle += row->brittle.is_set;
    }
  dp_counters_set (node->counters, "dogwoodplank_limited_targets", NULL, NULL, limited);
  dp_counters_set (node->counters, "dogwoodplank_brittle_targets", NULL, NULL, brittle);
}

/* Returns TRUE if the limit changed. */
static gboolean
record (DpNode *node, const DpLimitReport *report, const char *source)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, report->target);
  if (row == NULL)
    return FALSE;
  double previous = row->limit.is_set ? row->limit.per_second : -1;
  if (!dp_directory_record_limit (node->directory, report, dp_node_now ()))
    return FALSE;
  log_limit (node, row, previous, source);
  count_limited (node);
  return TRUE;
}

/* Returns TRUE if it changed whether the target is brittle. */
static gboolean
record_brittle (DpNode *node, const DpBrittleReport *report, const char *source)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, report->target);
  if (row == NULL)
    return FALSE;
  const DpTargetBrittleness previous = row->brittle;
  if (!dp_directory_record_brittle (node->directory, report, dp_node_now ()))
    return FALSE;
  log_brittle (node, row, &previous, source);
  count_limited (node);
  return TRUE;
}

/* --- reports to the owner --- */

/* The end of a limit shows in a successful response to a request that was sent after the limit
 * was known: responses to earlier requests may have left the target before it set the limit,
 * and an error may come from something in front of it. */
static gboolean
shows_end (const DpNodeRequest *request, DpResponseNumber stated, DpUsec known_since)
{
  const DpTargetResponse *answer = &request->answer;
  return stated == DP_RESPONSE_NUMBER_NONE && answer->is_authentic && answer->status >= 200
         && answer->status < 300 && request->sent_at > known_since;
}

static void
add_row (DpTargetLimits *limits, const DpDirectoryRow *row)
{
  if (limits->count < DP_LIMIT_ROWS_MAX)
    limits->rows[limits->count++]
      = (DpLimitRow){ .target = row->name,
                      .started = row->record.started,
                      .is_set = row->limit.is_set,
                      .milli = (guint64)llround (row->limit.per_second * MILLI),
                      .age = row->limit.observed_at != 0
                               ? dp_node_now () - row->limit.observed_at
                               : DP_LIMIT_AGE_NONE,
                      .has_brittle = row->brittle.observed_at != 0,
                      .is_brittle = row->brittle.is_set,
                      .rejections_max = row->brittle.rejections_max,
                      .brittle_age = MAX (dp_node_now () - row->brittle.observed_at, 0) };
}

/* Returns a report of the target's limit and of all others of its pool: once the owner keeps
 * one, VMs rely on it to keep all of them. */
static DpMessage
make_report (const DpNode *node, const DpDirectoryRow *target)
{
  DpMessage message = { .type = DP_MESSAGE_TARGET_LIMITS };
  message.target_limits.pool = target->pool;
  add_row (&message.target_limits, target);
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (row != target && row->pool == target->pool
        && (row->limit.is_set || row->brittle.is_set))
      add_row (&message.target_limits, row);
  return message;
}

static gboolean
apply_limit (const DpNodeRequest *request, const DpDirectoryRow *row)
{
  const DpTargetResponse *answer = &request->answer;
  gboolean is_stated = answer->limit == DP_RESPONSE_NUMBER_STATED;
  if (!is_stated
      && !(row->limit.is_set && shows_end (request, answer->limit, row->limit.changed_at)))
    return FALSE;
  const DpLimitReport report = { .target = request->target,
                                 .started = row->record.started,
                                 .is_set = is_stated,
                                 .per_second = round (answer->limit_per_second * MILLI) / MILLI,
                                 .observed_at = dp_node_now () };
  return record (request->node, &report, "target response");
}

static gboolean
apply_brittle (const DpNodeRequest *request, const DpDirectoryRow *row)
{
  const DpTargetResponse *answer = &request->answer;
  gboolean is_stated = answer->brittle == DP_RESPONSE_NUMBER_STATED;
  if (!is_stated
      && !(row->brittle.is_set
           && shows_end (request, answer->brittle, row->brittle.changed_at)))
    return FALSE;
  const DpBrittleReport report = { .target = request->target,
                                   .started = row->record.started,
                                   .is_set = is_stated,
                                   .rejections_max = answer->rejections_max,
                                   .observed_at = dp_node_now () };
  return record_brittle (request->node, &report, "target response");
}

static void
reject_invalid (const DpNodeRequest *request, DpResponseNumber stated, const char *reason)
{
  if (stated != DP_RESPONSE_NUMBER_INVALID)
    return;
  dp_counters_add (request->node->counters, "dogwoodplank_invalid_limits_total", NULL, NULL, 1);
  dp_log (DP_LOG_INFO, "target_limit_ignored", "request", request->id, "target",
          request->target_text, "reason", reason, NULL);
}

static void
count_rejection (const DpNodeRequest *request, const DpDirectoryRow *row)
{
  if (row->brittle.is_set && request->answer.is_declined)
    dp_counters_add (request->node->counters, "dogwoodplank_brittle_rejections_total", NULL,
                     NULL, 1);
}

void
dp_target_limits_on_response (const DpNodeRequest *request)
{
  DpNode *node = request->node;
  const DpDirectoryRow *row = dp_directory_find (node->directory, request->target);
  reject_invalid (request, request->answer.limit, "not a decimal number");
  reject_invalid (request, request->answer.brittle, "not a whole number of rejections");
  if (row == NULL)
    return;
  count_rejection (request, row);
  gboolean has_changed = apply_limit (request, row);
  if (!apply_brittle (request, row) && !has_changed)
    return;
  dp_placement_set_targets (node);
  const DpMessage message = make_report (node, row);
  dp_placement_send_to_owner (node, row->pool, &message);
}

/* The owner may have restarted since its last announcement, which is all that tells of one of
 * level 0: its grants don't say what it knows. */
static gboolean
keeps_limit (const DpNode *node,
             DpName owner,
             const DpDirectoryRow *row,
             const DpGrantGiven *given)
{
  if (!row->limit.is_set || given->is_limited)
    return TRUE;
  return owner != node->self && dp_owners_rules (node->owners, owner) == 0
         && dp_limit_client_is_keeper (node->limit_client, row->pool, owner, dp_node_now ());
}

gboolean
dp_target_limits_accepts_grant (const DpNodeRequest *request,
                                DpName owner,
                                const DpDirectoryRow *row,
                                const DpGrantGiven *given)
{
  DpNode *node = request->node;
  gboolean keeps_brittle = !row->brittle.is_set || given->is_brittle;
  if (keeps_limit (node, owner, row, given) && keeps_brittle)
    return TRUE;
  dp_log (DP_LOG_NOTICE, "limit_unknown_to_owner", "request", request->id, "target",
          row->record.id, NULL);
  const DpMessage message = make_report (node, row);
  if (owner == node->self)
    dp_placement_on_message (node, node->self, &message);
  else
    dp_peers_send (node, owner, &message);
  return FALSE;
}

/* --- requests sent, for the owners that keep limits --- */

static void
send_sent (DpNode *node, DpName owner, const DpTargetSent *sent)
{
  const DpMessage message = { .type = DP_MESSAGE_TARGET_SENT, .target_sent = *sent };
  if (owner == node->self)
    dp_placement_on_message (node, owner, &message);
  else
    dp_peers_send (node, owner, &message);
}

void
dp_target_limits_on_send (const DpNodeRequest *request, const DpDirectoryRow *row)
{
  DpNode *node = request->node;
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (DpName));
  const DpLimitSend send = { .pool = request->pool->name,
                             .target = request->target,
                             .assigned_by = request->owner,
                             .is_limited = row->limit.is_set };
  dp_limit_client_record_send (node->limit_client, &send, dp_node_now (), owners);
  const DpTargetSent sent
    = { .target = request->target, .pool = request->pool->name, .count = 1, .slots = { 1 } };
  for (guint i = 0; i < owners->len; i++)
    send_sent (node, g_array_index (owners, DpName, i), &sent);
  g_array_unref (owners);
}

/* --- messages --- */

static void
answer_query (DpNode *node, DpName owner, DpName pool, DpName target)
{
  DpTargetSent sent = { .target = target, .pool = pool };
  dp_limit_client_report (node->limit_client, &sent, dp_node_now ());
  send_sent (node, owner, &sent);
}

static void
apply_limits (DpNode *node, const DpTargetLimits *limits)
{
  gboolean has_changed = FALSE;
  for (guint i = 0; i < MIN (limits->count, DP_LIMIT_ROWS_MAX); i++)
    {
      const DpLimitRow *row = &limits->rows[i];
      const DpLimitReport report = { .target = row->target,
                                     .started = row->started,
                                     .is_set = row->is_set,
                                     .per_second = (double)row->milli / MILLI,
                                     .observed_at = dp_node_now () - row->age };
      const DpBrittleReport brittle = { .target = row->target,
                                        .started = row->started,
                                        .is_set = row->is_brittle,
                                        .rejections_max = row->rejections_max,
                                        .observed_at = dp_node_now () - row->brittle_age };
      has_changed = record (node, &report, "another VM") || has_changed;
      if (row->has_brittle)
        has_changed = record_brittle (node, &brittle, "another VM") || has_changed;
    }
  if (has_changed)
    dp_placement_set_targets (node);
}

static void
on_announcement (DpNode *node, DpName owner, const DpTargetLimits *limits)
{
  dp_limit_client_on_announcement (node->limit_client, limits->pool, owner, dp_node_now ());
  gboolean is_brittle = FALSE;
  for (guint i = 0; i < MIN (limits->count, DP_LIMIT_ROWS_MAX); i++)
    {
      const DpLimitRow *row = &limits->rows[i];
      is_brittle = is_brittle || (row->is_query && row->is_brittle);
      if (row->is_query && row->is_set)
        answer_query (node, owner, limits->pool, row->target);
    }
  if (is_brittle)
    dp_placement_report_sent (node, limits->pool, owner);
}

void
dp_target_limits_on_message (DpNode *node, DpName from, const DpTargetLimits *limits)
{
  apply_limits (node, limits);
  if (limits->is_owner)
    on_announcement (node, from, limits);
}
