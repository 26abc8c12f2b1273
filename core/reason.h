/* Reasons why a request was refused, cut off or retried; each has a counter.
 *
 * The names in this list are the ones that callers see ("reason" of a problem response) and
 * that counters and logs use.
 */
#pragma once

#include <glib.h>

/* X (symbol, name, HTTP status, TRUE if the caller may retry) */
#define DP_REASONS(X)                                                                          \
  X (NONE, "none", 200, FALSE)                                                                 \
  /* the request itself */                                                                     \
  X (UNAUTHORIZED, "unauthorized", 401, FALSE)                                                 \
  X (NO_SUCH_PATH, "no_such_path", 404, FALSE)                                                 \
  X (NO_SUCH_MODEL, "no_such_model", 404, FALSE)                                               \
  X (BAD_REQUEST, "bad_request", 400, FALSE)                                                   \
  X (BODY_TOO_LARGE, "body_too_large", 413, FALSE)                                             \
  X (KEY_REQUIRED, "idempotency_key_required", 400, FALSE)                                     \
  X (KEY_MALFORMED, "idempotency_key_malformed", 400, FALSE)                                   \
  X (KEY_EXPIRED, "idempotency_key_expired", 410, FALSE)                                       \
  X (KEY_CONFLICT, "idempotency_key_conflict", 409, FALSE)                                     \
  X (IN_FLIGHT_ELSEWHERE, "in_flight_elsewhere", 409, TRUE)                                    \
  /* limits and load */                                                                        \
  X (RATE_LIMITED, "rate_limited", 429, TRUE)                                                  \
  X (TOO_MANY_IN_FLIGHT, "too_many_in_flight", 429, TRUE)                                      \
  X (QUEUE_FULL, "queue_full", 503, TRUE)                                                      \
  X (DEADLINE_UNREACHABLE, "deadline_unreachable", 503, TRUE)                                  \
  X (DEADLINE_PASSED, "deadline_passed", 504, TRUE)                                            \
  X (DISPLACED, "displaced_by_higher_tier", 503, TRUE)                                         \
  X (PREEMPTED, "preempted_by_higher_tier", 503, TRUE)                                         \
  /* targets */                                                                                \
  X (NO_TARGET, "no_target", 503, TRUE)                                                        \
  X (NO_OWNER, "no_owner_reachable", 503, TRUE)                                                \
  X (OWNER_SILENT, "owner_silent", 503, TRUE)                                                  \
  X (CONNECT_FAILED, "connect_failed", 502, TRUE)                                              \
  X (TARGET_BROKE, "target_broke_off", 502, TRUE)                                              \
  X (TARGET_SILENT, "target_silent", 504, TRUE)                                                \
  X (TARGET_ERROR, "target_error", 502, TRUE)                                                  \
  X (ANSWER_INCOMPLETE, "answer_incomplete", 502, TRUE)                                        \
  X (RETRY_BUDGET, "retry_budget_spent", 503, TRUE)                                            \
  X (QUARANTINED, "quarantined", 422, FALSE)                                                   \
  X (TARGETS_DIED, "targets_died", 503, TRUE)                                                  \
  X (VERSION_UNKNOWN, "stream_version_unknown", 503, TRUE)                                     \
  X (VERSION_GONE, "stream_version_gone", 503, TRUE)                                           \
  /* claims */                                                                                 \
  X (PLATFORM_UNAVAILABLE, "platform_unavailable", 503, TRUE)                                  \
  X (HOLDER_GONE, "holder_gone", 409, FALSE)                                                   \
  X (OUTCOME_UNKNOWN, "outcome_unknown", 504, FALSE)                                           \
  /* the entry itself */                                                                       \
  X (CALLER_GONE, "caller_gone", 499, FALSE)                                                   \
  X (STOPPING, "stopping", 503, TRUE)                                                          \
  X (NOT_READY, "not_ready", 503, TRUE)                                                        \
  X (RESUMED_AFTER_PAUSE, "resumed_after_pause", 503, TRUE)                                    \
  X (OVERLOADED_ENTRY, "entry_overloaded", 503, TRUE)                                          \
  /* outcome queries */                                                                        \
  X (NO_RECORD, "no_record", 404, TRUE)                                                        \
  X (RELEASED, "released", 404, TRUE)                                                          \
  /* targets; last, since the numbers are on the wire */                                       \
  X (NO_PATH, "no_path_to_target", 503, TRUE)

typedef enum DpReason
{
#define DP_REASON_ENUM(symbol, name, status, may_retry) DP_REASON_##symbol,
  DP_REASONS (DP_REASON_ENUM)
#undef DP_REASON_ENUM
    DP_REASON_COUNT,
} DpReason;

/* What is known about whether a request was run. */
typedef enum DpOutcome
{
  DP_OUTCOME_NOT_RUN, /* no byte reached a target, and this request will never be sent */
  DP_OUTCOME_UNKNOWN, /* may have run */
  DP_OUTCOME_DONE,    /* the target's response is complete and recorded */
} DpOutcome;

const char *dp_reason_name (DpReason reason);
int dp_reason_status (DpReason reason);
gboolean dp_reason_may_retry (DpReason reason);
const char *dp_outcome_name (DpOutcome outcome);
