/* Life cycle of one request, from admission to the final response. */
#include "node/node.h"

#include "common/log.h"
#include "core/key_set.h"

#include <string.h>

/* For 503 responses without a more precise time. */
#define RETRY_AFTER_DEFAULT (300 * DP_USEC_PER_MSEC)
/* Between two searches for another target. */
#define SEARCH_INTERVAL (250 * DP_USEC_PER_MSEC)
#define PARTS_LOGGED_MAX 16

static void
format_ms (char out[16], DpUsec duration)
{
  g_snprintf (out, 16, "%" G_GINT64_FORMAT, duration / DP_USEC_PER_MSEC);
}

/* Time for which the request's target has sent nothing that was forwarded. */
static DpUsec
target_silence (const DpNodeRequest *request, DpUsec now)
{
  if (request->stage != DP_STAGE_SENT)
    return 0;
  return now - MAX (request->sent_at, request->last_event_at);
}

/* Logs the outcome of the request and what determined it; the last line of each request.
 * `closed_by` NULL: the response is complete. */
static void
log_end (const DpNodeRequest *request, int status, DpReason reason, const char *closed_by)
{
  DpNode *node = request->node;
  DpUsec now = dp_node_now ();
  char status_text[8], total[16], first[16], attempt_count[8], config_age[16], targets_age[16];
  char version[24], charged[24], left[16], silence[16];
  gboolean is_caller_deadline
    = request->caller.timeout > 0 && request->caller.timeout < request->route->timeout;
  g_snprintf (charged, sizeof charged, "%.0f",
              request->quota.charged != 0 ? request->quota.cost : 0);
  g_snprintf (status_text, sizeof status_text, "%d", status);
  g_snprintf (attempt_count, sizeof attempt_count, "%u", request->attempt_count);
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, request->manifest->revision);
  format_ms (total, now - request->arrived);
  format_ms (first, request->first_byte_after);
  format_ms (left, request->deadline - now);
  format_ms (silence, target_silence (request, now));
  format_ms (config_age, now - node->manifest_confirmed_at);
  format_ms (targets_age, now - dp_directory_last_contact_at (node->directory));
  dp_log (DP_LOG_INFO, "request_end", "request", request->id, "route", request->route->text,
          "workspace", request->workspace != NULL ? request->workspace->text : NULL, "status",
          status_text, "reason", dp_reason_name (reason), "may_have_run",
          request->may_have_run ? "yes" : "no", "sendings", attempt_count, "target",
          request->target_text, "first_ms", first, "total_ms", total, "left_ms", left,
          "deadline_of", is_caller_deadline ? "caller" : "route", "begun",
          request->head_sent ? "yes" : "no", "silent_ms", silence, "closed_by", closed_by,
          "charged", charged, "config", version, "config_age_ms", config_age, "targets_age_ms",
          targets_age, NULL);
}

static void
log_event (const DpNodeRequest *request, const char *event, DpReason reason)
{
  char age[16], left[16];
  DpUsec now = dp_node_now ();
  format_ms (age, now - request->arrived);
  format_ms (left, request->deadline - now);
  dp_log (DP_LOG_INFO, event, "request", request->id, "target", request->target_text, "reason",
          dp_reason_name (reason), "age_ms", age, "left_ms", left, NULL);
}

/* Names what the request shares with others, to tell which of it fails at several targets. */
static void
log_failed (const DpNodeRequest *request, DpReason reason)
{
  char age[16], left[16];
  DpUsec now = dp_node_now ();
  format_ms (age, now - request->arrived);
  format_ms (left, request->deadline - now);
  GString *parts = g_string_new (NULL);
  guint count = dp_key_set_count (request->suspect_keys);
  for (guint i = 0; i < MIN (count, PARTS_LOGGED_MAX); i++)
    if (dp_key_set_get (request->suspect_keys, i) & DP_SUSPECT_PART_BIT)
      g_string_append_printf (parts, "%s%016" G_GINT64_MODIFIER "x", parts->len > 0 ? "," : "",
                              dp_key_set_get (request->suspect_keys, i));
  if (count > PARTS_LOGGED_MAX)
    g_string_append_printf (parts, ",%u more", count - PARTS_LOGGED_MAX);
  dp_log (DP_LOG_INFO, "sending_failed", "request", request->id, "target", request->target_text,
          "reason", dp_reason_name (reason), "age_ms", age, "left_ms", left, "parts",
          parts->len > 0 ? parts->str : NULL, NULL);
  g_string_free (parts, TRUE);
}

/* Logs once per attempt. */
static void
log_silence (DpNodeRequest *request)
{
  if (!request->is_silent)
    log_event (request, "target_silent", DP_REASON_TARGET_SILENT);
  request->is_silent = TRUE;
}

static void
log_sent (const DpNodeRequest *request, const DpDirectoryRow *target)
{
  char per_second[G_ASCII_DTOSTR_BUF_SIZE], limit_age[16], age[16], left[16];
  char rejections_max[16];
  const DpTargetLimit *limit = &target->limit;
  DpUsec now = dp_node_now ();
  g_ascii_formatd (per_second, sizeof per_second, "%.3f", limit->per_second);
  format_ms (limit_age, now - limit->changed_at);
  g_snprintf (rejections_max, sizeof rejections_max, "%u", target->brittle.rejections_max);
  format_ms (age, now - request->arrived);
  format_ms (left, request->deadline - now);
  if (limit->is_set)
    dp_counters_add (request->node->counters, "dogwoodplank_limited_sent_total", NULL, NULL, 1);
  const char *after
    = request->last_event_id != NULL ? request->last_event_id : request->caller.resume_after;
  dp_log (DP_LOG_INFO, "request_sent", "request", request->id, "target", request->target_text,
          "version", target->record.version.label, "reason", dp_reason_name (DP_REASON_NONE),
          "age_ms", age, "left_ms", left, "after", after, "continues",
          request->caller.continues, "target_limit", limit->is_set ? per_second : NULL,
          "limit_known_ms", limit->is_set ? limit_age : NULL, "rejections_max",
          target->brittle.is_set ? rejections_max : NULL, NULL);
}

void
dp_request_clear (void *row)
{
  DpNodeRequest *request = row;
  dp_attempt_cancel (request);
  if (!dp_id_is_none (request->attempt))
    g_hash_table_remove (request->node->requests_by_attempt, &request->attempt);
  if (dp_request_is_searching (request))
    g_hash_table_remove (request->node->requests_by_attempt, &request->search.attempt);
  if (request->stage == DP_STAGE_AWAITING_QUOTA)
    request->node->awaiting_quota--;
  if (request->stage == DP_STAGE_AWAITING_VERSION)
    request->node->awaiting_version--;
  dp_manifest_unref (request->manifest);
  g_free (request->id);
  g_free (request->last_event_id);
  g_clear_pointer (&request->suspect_keys, g_array_unref);
}

static void
remove_request (DpNodeRequest *request)
{
  if (request->exchange != NULL)
    dp_http_exchange_set_close_callback (request->exchange, NULL, NULL, NULL);
  dp_table_remove (request->node->requests, request->self);
}

/* --- final responses --- */

static void
reply_problem (DpHttpExchange *exchange, int status, DpReason reason, DpUsec retry_after)
{
  char body[160];
  const char *outcome = status == 502 || status == 504 ? "unknown" : "not_run";
  g_snprintf (body, sizeof body, "{\"status\":%d,\"reason\":\"%s\",\"outcome\":\"%s\"}\n",
              status, dp_reason_name (reason), outcome);
  dp_http_exchange_add_header (exchange, "Content-Type", "application/problem+json");
  if (retry_after > 0)
    dp_wire_add_retry_after (exchange, retry_after);
  dp_http_exchange_reply (exchange, status, body, strlen (body));
}

static void
count_refusal (DpNode *node, DpReason reason)
{
  dp_counters_add (node->counters, "dogwoodplank_refusals_total", "reason",
                   dp_reason_name (reason), 1);
}

void
dp_request_refuse_exchange (DpNode *node,
                            DpHttpExchange *exchange,
                            const char *id,
                            const char *workspace,
                            DpReason reason,
                            DpUsec retry_after)
{
  count_refusal (node, reason);
  char version[24], age[16];
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT,
              node->manifest != NULL ? node->manifest->revision : 0);
  format_ms (age, dp_node_now () - node->manifest_confirmed_at);
  dp_log (DP_LOG_INFO, "request_refused", "request", id, "reason", dp_reason_name (reason),
          "workspace", workspace, "path", dp_http_exchange_target (exchange), "config", version,
          "config_age_ms", age, NULL);
  reply_problem (exchange, dp_reason_status (reason), reason, retry_after);
}

/* Ends the request with an error response, or truncates a response that has started. */
static void
fail_request (DpNodeRequest *request, DpReason reason, DpUsec retry_after)
{
  dp_placement_cancel_search (request);
  int status = dp_reason_status (reason);
  /* 503 and 429 tell the caller that the request was not run. */
  if (request->may_have_run && (status == 503 || status == 429))
    status = 502;
  else if (!request->may_have_run && status >= 500)
    status = 503;
  if (status == 503 && retry_after == 0)
    retry_after = RETRY_AFTER_DEFAULT;
  count_refusal (request->node, reason);
  log_end (request, status, reason, request->head_sent ? "vm" : NULL);
  DpHttpExchange *exchange = request->exchange;
  if (exchange != NULL)
    {
      dp_http_exchange_set_close_callback (exchange, NULL, NULL, NULL);
      request->exchange = NULL;
      if (request->head_sent)
        dp_http_exchange_abort (exchange);
      else
        reply_problem (exchange, status, reason,
                       status == 503 || status == 429 ? retry_after : 0);
    }
  if (!request->may_have_run && request->workspace != NULL)
    dp_quota_client_refund (request->node->quota_client, request->workspace->name,
                            &request->quota, dp_node_now ());
  remove_request (request);
}

void
dp_request_complete (DpNodeRequest *request, DpReason reason)
{
  log_end (request, request->answer.status, reason, NULL);
  if (request->answer.status < 500)
    dp_node_quarantine_record_response (request);
  DpUsec now = dp_node_now ();
  DpUsec total = now - request->arrived;
  dp_answer_times_add (request->node->answer_times, request->route->name, total, now);
  dp_counters_observe_ms (request->node->counters, "dogwoodplank_answer_ms",
                          (guint64)(total / DP_USEC_PER_MSEC));
  if (request->first_byte_after > 0)
    dp_counters_observe_ms (
      request->node->counters, "dogwoodplank_first_event_ms",
      (guint64)((request->sent_at - request->arrived + request->first_byte_after)
                / DP_USEC_PER_MSEC));
  dp_counters_add (request->node->counters, "dogwoodplank_answers_total", NULL, NULL, 1);
  dp_placement_cancel_search (request);
  dp_placement_release (request, reason);
  request->exchange = NULL;
  remove_request (request);
}

/* --- stages --- */

static void
on_caller_gone (gpointer user)
{
  DpNodeRequest *request = user;
  const char *closed_by
    = dp_http_exchange_is_disconnecting (request->exchange) ? "vm" : "caller";
  request->exchange = NULL;
  dp_counters_add (request->node->counters, "dogwoodplank_callers_gone_total", NULL, NULL, 1);
  log_end (request, dp_reason_status (DP_REASON_CALLER_GONE), DP_REASON_CALLER_GONE, closed_by);
  dp_attempt_cancel (request);
  dp_placement_cancel_search (request);
  dp_placement_release (request, DP_REASON_CALLER_GONE);
  remove_request (request);
}

/* The request has passed all limits. */
static void
place (DpNodeRequest *request)
{
  switch (dp_take_ups_find (request))
    {
    case DP_VERSION_KNOWN:
      dp_placement_request (request);
      return;
    case DP_VERSION_ASKED:
      request->stage = DP_STAGE_AWAITING_VERSION;
      request->node->awaiting_version++;
      return;
    case DP_VERSION_UNKNOWN:
      fail_request (request, DP_REASON_VERSION_UNKNOWN, 0);
      return;
    }
}

void
dp_request_on_version (DpNodeRequest *request)
{
  request->node->awaiting_version--;
  request->stage = DP_STAGE_AWAITING_GRANT;
  if (request->binding.type == DP_VERSION_BINDING_ONLY)
    dp_placement_request (request);
  else
    fail_request (request, DP_REASON_VERSION_UNKNOWN, 0);
}

void
dp_request_begin (DpNodeRequest *request)
{
  dp_http_exchange_set_close_callback (request->exchange, on_caller_gone, request, NULL);
  dp_node_quarantine_set_keys (request);
  DpUsec remaining = 0;
  if (dp_node_quarantine_blocks (request, &remaining))
    {
      fail_request (request, DP_REASON_TARGETS_DIED, remaining);
      return;
    }
  dp_retry_budget_count_request (&request->pool->budget, request->arrived);
  if (request->stage != DP_STAGE_AWAITING_QUOTA)
    place (request);
}

static void
recheck_limited (DpNodeRequest *request, DpUsec now)
{
  DpNode *node = request->node;
  DpQuotaLimit limit = dp_limits_for_workspace (node, request->workspace);
  DpUsec retry_after = 0;
  switch (
    dp_quota_client_admit (node->quota_client, &limit, &request->quota, now, &retry_after))
    {
    case DP_QUOTA_PENDING:
      return;
    case DP_QUOTA_ADMITTED:
      node->awaiting_quota--;
      request->stage = DP_STAGE_AWAITING_GRANT;
      place (request);
      return;
    case DP_QUOTA_REFUSED:
      fail_request (request, DP_REASON_RATE_LIMITED, retry_after);
      return;
    }
}

void
dp_request_recheck_limited (DpNode *node)
{
  DpUsec now = dp_node_now ();
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0 && node->awaiting_quota > 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage == DP_STAGE_AWAITING_QUOTA)
        recheck_limited (request, now);
    }
}

void
dp_request_recheck_quarantine (DpNode *node)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      DpUsec remaining = 0;
      if (request->stage == DP_STAGE_SENT
          || !dp_suspects_blocks (node->suspects, request->suspect_keys, dp_node_now (),
                                  &remaining))
        continue;
      dp_placement_release (request, DP_REASON_TARGETS_DIED);
      fail_request (request, DP_REASON_TARGETS_DIED, remaining);
    }
}

static void
exclude (DpNodeRequest *request, DpName target)
{
  for (guint i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == target)
      return;
  if (request->excluded_count < DP_EXCLUDED_MAX)
    request->excluded[request->excluded_count++] = target;
}

/* Returns TRUE if the target's owner was told of its limit for the first time, so that the next
 * grant may name the target again. */
static gboolean
record_limit_told (DpNodeRequest *request, DpName target)
{
  for (guint i = 0; i < request->limit_told_count; i++)
    if (request->limit_told[i] == target)
      return FALSE;
  if (request->limit_told_count == DP_EXCLUDED_MAX)
    return FALSE;
  request->limit_told[request->limit_told_count++] = target;
  return TRUE;
}

/* Returns FALSE if this VM has newer information about the target than the owner; the next
 * grant names another target then, unless the owner has just been told. */
static gboolean
accepts_grant (DpNodeRequest *request, DpName owner, const DpGrantGiven *given)
{
  const DpNode *node = request->node;
  const DpDirectoryRow *row = dp_directory_find (node->directory, given->target);
  gboolean is_usable = row != NULL
                       && dp_directory_may_use (node->directory, given->target, dp_node_now ())
                       && dp_version_binding_allows (&request->binding, row->version);
  if (is_usable && !dp_rollouts_accepts_grant (node, owner, row))
    {
      is_usable = FALSE;
      request->barred_grants++;
    }
  if (is_usable && dp_target_limits_accepts_grant (request, owner, row, given))
    return TRUE;
  log_event (request, "grant_not_used", DP_REASON_NO_TARGET);
  if (!is_usable || !record_limit_told (request, given->target))
    exclude (request, given->target);
  return FALSE;
}

void
dp_request_on_grant (DpNodeRequest *request, const DpGrantGiven *given)
{
  DpName target = given->target;
  DpNode *node = request->node;
  DpUsec now = dp_node_now ();
  const DpDirectoryRow *row = dp_directory_find (node->directory, target);
  request->target = target;
  request->sent_at = now;
  request->first_byte_after = 0;
  request->answer = (DpTargetResponse){ 0 };
  request->is_silent = FALSE;
  request->stage = DP_STAGE_SENT;
  if (now >= request->deadline)
    {
      dp_placement_release (request, DP_REASON_DEADLINE_PASSED);
      fail_request (request, DP_REASON_DEADLINE_PASSED, 0);
      return;
    }
  /* The request may have waited. One that may have run is worth a try all the same. */
  if (!request->may_have_run
      && !dp_caller_listener_may_finish (node, request->route, request->deadline))
    {
      dp_placement_release (request, DP_REASON_STOPPING);
      fail_request (request, DP_REASON_STOPPING, 0);
      return;
    }
  if (!accepts_grant (request, request->owner, given))
    {
      dp_placement_release (request, DP_REASON_NO_TARGET);
      /* An owner that knows less may name such targets again and again. */
      if (request->barred_grants > DP_EXCLUDED_MAX)
        fail_request (request, DP_REASON_NO_TARGET, 0);
      else
        dp_placement_request (request);
      return;
    }
  request->attempt_count++;
  request->target_version = row->version;
  g_strlcpy (request->target_text, row->record.id, sizeof request->target_text);
  log_sent (request, row);
  dp_target_limits_on_send (request, row);
  dp_placement_on_send (request);
  dp_attempt_start (request, row);
}

void
dp_request_on_refused (DpNodeRequest *request, DpReason reason, DpUsec retry_after)
{
  fail_request (request, reason, retry_after);
}

/* Returns whether the retry budget allows another attempt; one that reached no target costs
 * nothing. */
static gboolean
spend_budget (DpNodeRequest *request, DpAttemptEnd end, DpUsec now)
{
  gboolean was_sent = end != DP_ATTEMPT_UNSENT && end != DP_ATTEMPT_NO_PATH;
  return !was_sent || dp_retry_budget_spend (&request->pool->budget, now);
}

/* TRUE if the target may have run the request in an attempt that ends so. */
static gboolean
may_have_run (DpAttemptEnd end)
{
  return end == DP_ATTEMPT_BROKE || end == DP_ATTEMPT_ERROR || end == DP_ATTEMPT_SILENT;
}

static DpAttemptFacts
attempt_facts (const DpNodeRequest *request, DpAttemptEnd end)
{
  DpUsec now = dp_node_now ();
  gboolean has_run = may_have_run (end);
  return (DpAttemptFacts){
    .end = end,
    .is_repeatable = request->is_repeatable,
    .may_have_run = request->may_have_run || has_run,
    .answer_started = request->head_sent,
    .can_resume = request->route->kind == DP_ROUTE_STREAM && request->route->resumable
                  && request->binding.type != DP_VERSION_BINDING_NOWHERE,
    .runs = request->runs + (has_run ? 1 : 0),
    .runs_max = request->route->attempts_max,
    .attempt_count = request->attempt_count,
    .within_budget = TRUE,
    .time_left = request->deadline - now,
    .silence = now - request->sent_at,
  };
}

/* Spends the retry budget if the next step is a retry. */
static DpNextStep
decide_next_step (DpNodeRequest *request, DpAttemptEnd end)
{
  DpAttemptFacts facts = attempt_facts (request, end);
  DpNextStep step = dp_retry_decide (&facts);
  if (step != DP_STEP_RETRY || spend_budget (request, end, dp_node_now ()))
    return step;
  facts.within_budget = FALSE;
  return dp_retry_decide (&facts);
}

static DpReason
release_reason (const DpNodeRequest *request, DpAttemptEnd end, DpReason reason)
{
  return may_have_run (end) && dp_paths_is_lost (request) ? DP_REASON_NO_PATH : reason;
}

static void
end_attempt (DpNodeRequest *request, DpAttemptEnd end, DpReason reason, DpNextStep step)
{
  if (may_have_run (end))
    {
      request->runs++;
      request->may_have_run = TRUE;
    }
  DpUsec remaining = 0;
  log_failed (request, reason);
  gboolean target_disconnected
    = reason == DP_REASON_TARGET_BROKE || reason == DP_REASON_ANSWER_INCOMPLETE;
  DpReason released = release_reason (request, end, reason);
  dp_plain_pools_on_attempt_end (request, released);
  if (end == DP_ATTEMPT_BROKE && target_disconnected && released != DP_REASON_NO_PATH)
    dp_node_quarantine_record_failure (request);
  /* The response must be forwarded before dp_attempt_cancel() frees it. */
  if (step == DP_STEP_FORWARD)
    {
      dp_attempt_forward_response (request);
      return;
    }
  dp_attempt_cancel (request);
  dp_placement_release (request, released);
  switch (step)
    {
    case DP_STEP_RETRY:
      if (dp_node_quarantine_blocks (request, &remaining))
        {
          fail_request (request, DP_REASON_TARGETS_DIED, remaining);
          break;
        }
      dp_counters_add (request->node->counters, "dogwoodplank_retries_total", "reason",
                       dp_reason_name (reason), 1);
      exclude (request, request->target);
      dp_placement_request (request);
      break;
    case DP_STEP_NOT_RUN:
      fail_request (request,
                    reason == DP_REASON_NO_PATH ? DP_REASON_NO_PATH : DP_REASON_NO_TARGET, 0);
      break;
    default:
      fail_request (request, reason, 0);
      break;
    }
}

void
dp_request_on_attempt_failed (DpNodeRequest *request, DpAttemptEnd end, DpReason reason)
{
  dp_placement_cancel_search (request);
  end_attempt (request, end, reason, decide_next_step (request, end));
}

/* --- silent targets --- */

static gboolean
is_target_silent (const DpNodeRequest *request, DpUsec now)
{
  if (request->stage != DP_STAGE_SENT)
    return FALSE;
  return request->first_byte_after == 0 ? request->is_silent
                                        : dp_attempt_is_stalled (request, now);
}

static gboolean
may_search (const DpNodeRequest *request, DpUsec now)
{
  DpUsec remaining = 0;
  return now >= request->search.again_at && dp_retry_budget_allows (&request->pool->budget, now)
         && !dp_suspects_blocks (request->node->suspects, request->suspect_keys, now,
                                 &remaining);
}

/* A target may go on after a silence: the request stays there until another one can run it. */
static void
on_silence (DpNodeRequest *request)
{
  if (dp_request_is_searching (request))
    return;
  log_silence (request);
  DpAttemptFacts facts = attempt_facts (request, DP_ATTEMPT_SILENT);
  facts.within_budget = may_search (request, dp_node_now ());
  DpNextStep step = dp_retry_decide (&facts);
  switch (step)
    {
    case DP_STEP_RETRY:
      exclude (request, request->target);
      dp_placement_search (request);
      break;
    case DP_STEP_WAIT:
      break;
    default:
      end_attempt (request, DP_ATTEMPT_SILENT, DP_REASON_TARGET_SILENT, step);
      break;
    }
}

static void
check_silence (DpNodeRequest *request, DpUsec now)
{
  if (is_target_silent (request, now))
    {
      on_silence (request);
      return;
    }
  if (dp_request_is_searching (request))
    log_event (request, "target_resumed", DP_REASON_NONE);
  dp_placement_cancel_search (request);
}

static void
postpone_search (DpNodeRequest *request, DpUsec delay)
{
  request->search.again_at = dp_node_now () + MAX (delay, SEARCH_INTERVAL);
  dp_placement_cancel_search (request);
}

/* TRUE if the request may leave its silent target for the one that was found; spends the retry
 * budget. */
static gboolean
may_move (DpNodeRequest *request, const DpGrantGiven *given)
{
  DpUsec now = dp_node_now ();
  DpUsec remaining = 0;
  if (now >= request->deadline || !is_target_silent (request, now))
    return FALSE;
  if (!accepts_grant (request, request->search.owner, given))
    return FALSE;
  return !dp_node_quarantine_blocks (request, &remaining)
         && dp_retry_budget_spend (&request->pool->budget, now);
}

void
dp_request_on_target_found (DpNodeRequest *request, const DpGrantGiven *given)
{
  if (!may_move (request, given))
    {
      postpone_search (request, 0);
      return;
    }
  request->runs++;
  request->may_have_run = TRUE;
  log_failed (request, DP_REASON_TARGET_SILENT);
  dp_counters_add (request->node->counters, "dogwoodplank_retries_total", "reason",
                   dp_reason_name (DP_REASON_TARGET_SILENT), 1);
  dp_attempt_cancel (request);
  dp_placement_release (request,
                        release_reason (request, DP_ATTEMPT_SILENT, DP_REASON_TARGET_SILENT));
  dp_placement_use_search (request);
  dp_request_on_grant (request, given);
}

void
dp_request_on_search_refused (DpNodeRequest *request, DpReason reason, DpUsec retry_after)
{
  log_event (request, "search_refused", reason);
  postpone_search (request, retry_after);
}

void
dp_request_on_revoked (DpNodeRequest *request, DpReason reason)
{
  if (request->stage == DP_STAGE_AWAITING_GRANT)
    {
      dp_placement_request (request);
      return;
    }
  if (reason != DP_REASON_TARGET_SILENT || request->first_byte_after > 0
      || !request->is_repeatable)
    return;
  /* The target can't be silent yet; connecting has timeouts of its own. */
  if (!dp_attempt_has_sent (request))
    return;
  on_silence (request);
}

/* Ends the request at whatever stage it is. */
static void
give_up (DpNodeRequest *request, DpReason reason)
{
  if (dp_attempt_has_sent (request))
    request->may_have_run = TRUE;
  dp_attempt_cancel (request);
  dp_placement_cancel_search (request);
  dp_placement_release (request, reason);
  fail_request (request, reason, 0);
}

void
dp_request_refuse_waiting (DpNode *node)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage != DP_STAGE_SENT && !request->head_sent)
        give_up (request, DP_REASON_STOPPING);
    }
}

void
dp_request_end_all (DpNode *node)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    give_up (dp_table_get (node->requests, at), DP_REASON_STOPPING);
}

void
dp_request_tick (DpNode *node, DpUsec now, gboolean was_paused)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (now >= request->deadline)
        give_up (request, DP_REASON_DEADLINE_PASSED);
      else if (request->stage == DP_STAGE_AWAITING_VERSION)
        dp_take_ups_tick_request (request, now);
      else if (!was_paused)
        check_silence (request, now);
    }
}
