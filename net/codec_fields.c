#include "net/codec_fields.h"

#include "core/directory.h"
#include "core/view.h"
#include "manifest/manifest.h"
#include "net/codec.h"

/* Initializers of DpField. `key` is the wire key, `limit` becomes `max`. */
#define UINT(key, Type, member, limit)                                                         \
  {                                                                                            \
    key, DP_FIELD_UINT, G_STRUCT_OFFSET (Type, member), limit, 0, NULL                         \
  }
#define FLAG(key, Type, member) UINT (key, Type, member, 1)
#define UINT64(key, Type, member)                                                              \
  {                                                                                            \
    key, DP_FIELD_UINT64, G_STRUCT_OFFSET (Type, member), G_MAXUINT64, 0, NULL                 \
  }
#define USEC(key, Type, member)                                                                \
  {                                                                                            \
    key, DP_FIELD_USEC, G_STRUCT_OFFSET (Type, member), G_MAXINT64, 0, NULL                    \
  }
#define ID(key, Type, member)                                                                  \
  {                                                                                            \
    key, DP_FIELD_ID, G_STRUCT_OFFSET (Type, member), 0, 0, NULL                               \
  }
#define STRING(key, Type, member)                                                              \
  {                                                                                            \
    key, DP_FIELD_STRING, G_STRUCT_OFFSET (Type, member), sizeof (((Type *)NULL)->member), 0,  \
      NULL                                                                                     \
  }
#define BYTES(key, Type, member, limit)                                                        \
  {                                                                                            \
    key, DP_FIELD_BYTES, G_STRUCT_OFFSET (Type, member), (guint)(limit), 0, NULL               \
  }
#define INLINE_ARRAY(key, KIND, Type, member, count_member, limit, elements_table)             \
  {                                                                                            \
    key, KIND, G_STRUCT_OFFSET (Type, member), limit, G_STRUCT_OFFSET (Type, count_member),    \
      elements_table                                                                           \
  }
#define UINT64_GARRAY(key, Type, member, limit)                                                \
  {                                                                                            \
    key, DP_FIELD_UINT64_GARRAY, G_STRUCT_OFFSET (Type, member), limit, 0, NULL                \
  }
#define GARRAY(key, Type, member, limit, elements_table)                                       \
  {                                                                                            \
    key, DP_FIELD_GARRAY, G_STRUCT_OFFSET (Type, member), limit, 0, elements_table             \
  }
#define TABLE(Type, table_fields)                                                              \
  {                                                                                            \
    sizeof (Type), G_N_ELEMENTS (table_fields), table_fields                                   \
  }

#define REASON_MAX (DP_REASON_COUNT - 1)

static const DpField grant_ask_fields[] = {
  ID (1, DpMessage, grant_ask.attempt),
  UINT64 (2, DpMessage, grant_ask.group),
  UINT64 (3, DpMessage, grant_ask.tier),
  UINT64 (4, DpMessage, grant_ask.workspace),
  UINT64 (5, DpMessage, grant_ask.model),
  UINT (6, DpMessage, grant_ask.prompt_tokens, G_MAXUINT),
  UINT (7, DpMessage, grant_ask.output_tokens, G_MAXUINT),
  UINT (8, DpMessage, grant_ask.sent_tokens, G_MAXUINT),
  USEC (9, DpMessage, grant_ask.remaining),
  FLAG (10, DpMessage, grant_ask.repeatable),
  INLINE_ARRAY (11,
                DP_FIELD_UINT64S,
                DpMessage,
                grant_ask.prefix,
                grant_ask.prefix_count,
                DP_PREFIX_BLOCKS_MAX,
                NULL),
  INLINE_ARRAY (12,
                DP_FIELD_UINT64S,
                DpMessage,
                grant_ask.excluded,
                grant_ask.excluded_count,
                DP_EXCLUDED_MAX,
                NULL),
  UINT (13, DpMessage, grant_ask.urgency, DP_URGENCY_LEVELS - 1),
  USEC (14, DpMessage, grant_ask.objective_left),
  UINT64 (15, DpMessage, grant_ask.session),
  UINT64 (16, DpMessage, grant_ask.data_centre),
  UINT64 (17, DpMessage, grant_ask.version),
  FLAG (18, DpMessage, grant_ask.has_begun),
  UINT64 (19, DpMessage, grant_ask.route),
  FLAG (20, DpMessage, grant_ask.begins_stream),
};

static const DpField grant_progress_fields[] = {
  ID (1, DpMessage, grant_progress.attempt),
  UINT64 (2, DpMessage, grant_progress.group),
};

static const DpField grant_done_fields[] = {
  ID (1, DpMessage, grant_done.attempt),
  UINT64 (2, DpMessage, grant_done.group),
  UINT64 (3, DpMessage, grant_done.target),
  UINT (4, DpMessage, grant_done.reason, REASON_MAX),
  UINT (5, DpMessage, grant_done.prompt_tokens, G_MAXUINT),
  UINT (6, DpMessage, grant_done.cached_tokens, G_MAXUINT),
  UINT (7, DpMessage, grant_done.output_tokens, G_MAXUINT),
  USEC (8, DpMessage, grant_done.time_to_first_token),
  USEC (9, DpMessage, grant_done.duration),
  USEC (10, DpMessage, grant_done.pause),
  FLAG (11, DpMessage, grant_done.is_rejection),
};

static const DpField held_grant_fields[] = {
  ID (1, DpHeldGrant, attempt),   UINT64 (2, DpHeldGrant, target),
  UINT64 (3, DpHeldGrant, tier),  UINT64 (4, DpHeldGrant, workspace),
  UINT64 (5, DpHeldGrant, model), UINT (6, DpHeldGrant, tokens, G_MAXUINT),
  FLAG (7, DpHeldGrant, started),
};
static const DpFieldTable held_grant_table = TABLE (DpHeldGrant, held_grant_fields);

static const DpField grant_held_fields[] = {
  UINT64 (1, DpMessage, grant_held.group),
  UINT64 (2, DpMessage, grant_held.incarnation),
  UINT (3, DpMessage, grant_held.part, G_MAXUINT),
  FLAG (4, DpMessage, grant_held.last),
  INLINE_ARRAY (5,
                DP_FIELD_STRUCTS,
                DpMessage,
                grant_held.held,
                grant_held.count,
                DP_HELD_GRANTS_MAX,
                &held_grant_table),
  FLAG (6, DpMessage, grant_held.has_left),
  FLAG (7, DpMessage, grant_held.is_cut_off),
};

static const DpField grant_given_fields[] = {
  ID (1, DpMessage, grant_given.attempt),      UINT64 (2, DpMessage, grant_given.group),
  UINT64 (3, DpMessage, grant_given.target),   FLAG (4, DpMessage, grant_given.is_brittle),
  FLAG (5, DpMessage, grant_given.is_limited),
};

static const DpField grant_queued_fields[] = {
  ID (1, DpMessage, grant_queued.attempt),
  UINT64 (2, DpMessage, grant_queued.group),
  UINT (3, DpMessage, grant_queued.position, G_MAXUINT),
  USEC (4, DpMessage, grant_queued.wait),
};

static const DpField grant_refused_fields[] = {
  ID (1, DpMessage, grant_refused.attempt),
  UINT64 (2, DpMessage, grant_refused.group),
  UINT (3, DpMessage, grant_refused.reason, REASON_MAX),
  USEC (4, DpMessage, grant_refused.retry_after),
  FLAG (5, DpMessage, grant_refused.is_overload),
};

static const DpField grant_revoked_fields[] = {
  ID (1, DpMessage, grant_revoked.attempt),
  UINT64 (2, DpMessage, grant_revoked.group),
  UINT (3, DpMessage, grant_revoked.reason, REASON_MAX),
  USEC (4, DpMessage, grant_revoked.retry_after),
};

/* `running` and `waiting` have the same length, tier_count. */
static const DpField advert_fields[] = {
  UINT64 (1, DpMessage, advert.group),
  UINT (2, DpMessage, advert.free_slots, G_MAXUINT),
  USEC (3, DpMessage, advert.wait),
  INLINE_ARRAY (
    4, DP_FIELD_UINTS, DpMessage, advert.running, advert.tier_count, DP_ADVERT_TIERS_MAX, NULL),
  INLINE_ARRAY (
    5, DP_FIELD_UINTS, DpMessage, advert.waiting, advert.tier_count, DP_ADVERT_TIERS_MAX, NULL),
};

static const DpField holder_ask_fields[] = {
  ID (1, DpMessage, holder_ask.key),
  ID (2, DpMessage, holder_ask.attempt),
  UINT64 (3, DpMessage, holder_ask.incarnation),
  UINT64 (4, DpMessage, holder_ask.requesting_vm),
};

static const DpField holder_answer_fields[] = {
  ID (1, DpMessage, holder_answer.key),
  ID (2, DpMessage, holder_answer.attempt),
  UINT (3, DpMessage, holder_answer.state, DP_HOLDER_UNKNOWN),
};

static const DpField quarantine_fields[] = {
  UINT64 (1, DpMessage, quarantine.fingerprint),
  UINT (2, DpMessage, quarantine.failures, G_MAXUINT),
  USEC (3, DpMessage, quarantine.remaining),
  UINT64 (4, DpMessage, quarantine.target),
};

/* Keys 1 to 4 were those of an earlier message of this type. */
static const DpField suspect_report_fields[] = {
  UINT64 (5, DpMessage, suspect_report.target),
  USEC (6, DpMessage, suspect_report.age),
  UINT64_GARRAY (7, DpMessage, suspect_report.keys, DP_SUSPECT_KEYS_MAX),
};

static const DpField suspect_fields[] = {
  UINT64 (1, DpMessage, suspect.key),
  UINT (2, DpMessage, suspect.failures, G_MAXUINT),
  FLAG (3, DpMessage, suspect.is_blocked),
  UINT (4, DpMessage, suspect.trials, G_MAXUINT),
  USEC (5, DpMessage, suspect.remaining),
  UINT64_GARRAY (6, DpMessage, suspect.joint, DP_SUSPECT_KEYS_MAX),
};

static const DpField stream_version_fields[] = {
  UINT64 (1, DpMessage, stream_version.stream),
  UINT64 (2, DpMessage, stream_version.version),
  UINT64 (3, DpMessage, stream_version.pool),
};

static const DpField hello_fields[] = {
  UINT (1, DpMessage, hello.role, DP_ROLE_COUNT - 1),
  UINT64 (2, DpMessage, hello.incarnation),
  FLAG (3, DpMessage, hello.leaving),
  UINT64 (4, DpMessage, hello.manifest_revision),
  UINT64 (5, DpMessage, hello.view_version),
  UINT (6, DpMessage, hello.open_requests, G_MAXUINT),
};

static const DpField manifest_fields[] = {
  UINT64 (1, DpMessage, manifest.revision),
  UINT64 (2, DpMessage, manifest.digest),
  BYTES (3, DpMessage, manifest.text, DP_MANIFEST_BYTES_MAX),
  UINT64 (4, DpMessage, manifest.base_revision),
  UINT64 (5, DpMessage, manifest.base_digest),
};

static const DpField vm_fields[] = {
  UINT64 (1, DpVm, name),
  UINT64 (2, DpVm, data_centre),
  STRING (3, DpVm, text),
  STRING (4, DpVm, address),
  UINT (5, DpVm, state, DP_VM_DEAD),
  UINT64 (6, DpVm, incarnation),
  UINT64 (7, DpVm, announcement),
  UINT (8, DpVm, weight, G_MAXUINT),
  UINT64 (9, DpVm, rules),
};
static const DpFieldTable vm_table = TABLE (DpVm, vm_fields);

static const DpField view_fields[] = {
  UINT64 (1, DpMessage, view.version),
  GARRAY (2, DpMessage, view.vms, DP_CODEC_VMS_MAX, &vm_table),
  UINT64 (3, DpMessage, view.era),
};

static const DpField probe_fields[] = {
  UINT64 (1, DpMessage, probe.sequence),
  UINT64 (2, DpMessage, probe.incarnation),
  FLAG (3, DpMessage, probe.leaving),
  UINT64 (4, DpMessage, probe.manifest_revision),
  UINT64 (5, DpMessage, probe.manifest_digest),
  GARRAY (6, DpMessage, probe.updates, DP_CODEC_VMS_MAX, &vm_table),
  UINT64 (7, DpMessage, probe.rules),
};

static const DpField manifest_ask_fields[] = {
  UINT64 (1, DpMessage, manifest_ask.revision),
  UINT64 (2, DpMessage, manifest_ask.digest),
  UINT64 (3, DpMessage, manifest_ask.rules),
};

static const DpField limit_ask_fields[] = {
  UINT64 (1, DpMessage, limit_ask.workspace),
  UINT64 (2, DpMessage, limit_ask.sequence),
  UINT (3, DpMessage, limit_ask.want, G_MAXUINT),
  UINT (4, DpMessage, limit_ask.held, G_MAXUINT),
};

static const DpField limit_given_fields[] = {
  UINT64 (1, DpMessage, limit_given.workspace),
  UINT64 (2, DpMessage, limit_given.sequence),
  UINT (3, DpMessage, limit_given.given, G_MAXUINT),
  UINT (4, DpMessage, limit_given.reason, REASON_MAX),
  USEC (5, DpMessage, limit_given.retry_after),
};

static const DpField credit_ask_fields[] = {
  UINT64 (1, DpMessage, credit_ask.workspace),
  UINT64 (2, DpMessage, credit_ask.sequence),
  UINT64 (3, DpMessage, credit_ask.incarnation),
  UINT (4, DpMessage, credit_ask.want, G_MAXUINT),
  UINT (5, DpMessage, credit_ask.minimum, G_MAXUINT),
  UINT (6, DpMessage, credit_ask.prefetch, G_MAXUINT),
  UINT (7, DpMessage, credit_ask.held, G_MAXUINT),
  UINT64 (8, DpMessage, credit_ask.spent),
  UINT (9, DpMessage, credit_ask.returned, G_MAXUINT),
  USEC (10, DpMessage, credit_ask.returned_age),
  FLAG (11, DpMessage, credit_ask.is_new),
  UINT (12, DpMessage, credit_ask.tier, DP_URGENCY_ROUTE_LEVELS - 1),
};

static const DpField credit_given_fields[] = {
  UINT64 (1, DpMessage, credit_given.workspace),
  UINT64 (2, DpMessage, credit_given.sequence),
  UINT (3, DpMessage, credit_given.given, G_MAXUINT),
  FLAG (4, DpMessage, credit_given.is_pending),
  UINT (5, DpMessage, credit_given.reason, REASON_MAX),
  USEC (6, DpMessage, credit_given.retry_after),
  UINT (7, DpMessage, credit_given.left, G_MAXUINT),
  FLAG (8, DpMessage, credit_given.has_left),
};

static const DpField use_ask_fields[] = {
  UINT64 (1, DpMessage, use_ask.workspace),
};

static const DpField use_report_fields[] = {
  UINT64 (1, DpMessage, use_report.workspace),
  UINT64 (2, DpMessage, use_report.incarnation),
  UINT64 (3, DpMessage, use_report.spent),
  UINT (4, DpMessage, use_report.held, G_MAXUINT),
  USEC (5, DpMessage, use_report.history_duration),
  USEC (6, DpMessage, use_report.slot),
  UINT (8, DpMessage, use_report.left, G_MAXUINT),
  USEC (9, DpMessage, use_report.left_age),
  INLINE_ARRAY (7,
                DP_FIELD_UINTS,
                DpMessage,
                use_report.slots,
                use_report.count,
                DP_USE_REPORT_SLOTS_MAX,
                NULL),
};

static const DpField limit_row_fields[] = {
  UINT64 (1, DpLimitRow, target),
  UINT64 (2, DpLimitRow, started),
  FLAG (3, DpLimitRow, is_set),
  UINT64 (4, DpLimitRow, milli),
  USEC (5, DpLimitRow, age),
  FLAG (6, DpLimitRow, is_query),
  FLAG (7, DpLimitRow, has_brittle),
  FLAG (8, DpLimitRow, is_brittle),
  UINT (9, DpLimitRow, rejections_max, G_MAXUINT),
  USEC (10, DpLimitRow, brittle_age),
};
static const DpFieldTable limit_row_table = TABLE (DpLimitRow, limit_row_fields);

static const DpField target_limits_fields[] = {
  UINT64 (1, DpMessage, target_limits.pool),
  FLAG (2, DpMessage, target_limits.is_owner),
  INLINE_ARRAY (3,
                DP_FIELD_STRUCTS,
                DpMessage,
                target_limits.rows,
                target_limits.count,
                DP_LIMIT_ROWS_MAX,
                &limit_row_table),
  USEC (4, DpMessage, target_limits.idle),
};

static const DpField target_sent_fields[] = {
  UINT64 (1, DpMessage, target_sent.target),
  UINT64 (2, DpMessage, target_sent.pool),
  USEC (3, DpMessage, target_sent.slot),
  INLINE_ARRAY (4,
                DP_FIELD_UINTS,
                DpMessage,
                target_sent.slots,
                target_sent.count,
                DP_SENT_SLOTS_MAX,
                NULL),
};

static const DpField capacity_limit_fields[] = {
  UINT64 (1, DpCapacityLimit, target),
  UINT64 (2, DpCapacityLimit, started),
  UINT (3, DpCapacityLimit, limit, G_MAXUINT),
  USEC (4, DpCapacityLimit, age),
};
static const DpFieldTable capacity_limit_table = TABLE (DpCapacityLimit, capacity_limit_fields);

static const DpField target_capacity_fields[] = {
  UINT64 (1, DpMessage, target_capacity.pool),
  INLINE_ARRAY (2,
                DP_FIELD_STRUCTS,
                DpMessage,
                target_capacity.rows,
                target_capacity.count,
                DP_CAPACITY_LIMITS_MAX,
                &capacity_limit_table),
  USEC (3, DpMessage, target_capacity.idle),
};

static const DpField target_leaving_fields[] = {
  UINT64 (1, DpMessage, target_leaving.target),
  UINT64 (2, DpMessage, target_leaving.pool),
  UINT64 (3, DpMessage, target_leaving.started),
};

static const DpField target_paused_fields[] = {
  UINT64 (1, DpMessage, target_paused.target),
  USEC (2, DpMessage, target_paused.pause),
};

static const DpField pool_shared_fields[] = {
  UINT64 (1, DpMessage, pool_shared.pool),
  FLAG (2, DpMessage, pool_shared.is_owner),
  USEC (3, DpMessage, pool_shared.duration),
  UINT (4, DpMessage, pool_shared.rejections, G_MAXUINT),
  UINT64 (5, DpMessage, pool_shared.target),
  UINT (6, DpMessage, pool_shared.milli, G_MAXUINT),
};

static const DpField stream_copy_fields[] = {
  UINT64 (1, DpStreamCopy, stream),
  UINT64 (2, DpStreamCopy, version),
};
static const DpFieldTable stream_copy_table = TABLE (DpStreamCopy, stream_copy_fields);

static const DpField stream_copies_fields[] = {
  UINT (1, DpMessage, stream_copies.type, DP_STREAM_COPIES_TYPE_COUNT - 1),
  UINT64 (2, DpMessage, stream_copies.incarnation),
  UINT64 (3, DpMessage, stream_copies.position),
  UINT64 (4, DpMessage, stream_copies.question),
  FLAG (5, DpMessage, stream_copies.is_last),
  FLAG (6, DpMessage, stream_copies.is_complete),
  INLINE_ARRAY (7,
                DP_FIELD_STRUCTS,
                DpMessage,
                stream_copies.rows,
                stream_copies.count,
                DP_STREAM_COPIES_MAX,
                &stream_copy_table),
};

static const DpField stream_copies_ask_fields[] = {
  UINT64 (1, DpMessage, stream_copies_ask.question),
  FLAG (2, DpMessage, stream_copies_ask.wants_table),
  INLINE_ARRAY (3,
                DP_FIELD_UINT64S,
                DpMessage,
                stream_copies_ask.streams,
                stream_copies_ask.count,
                DP_STREAM_COPIES_MAX,
                NULL),
};

static const DpField targets_ask_fields[] = {
  UINT64 (1, DpMessage, targets_ask.version),
  UINT64 (2, DpMessage, targets_ask.rules),
};

static const DpField target_fields[] = {
  STRING (1, DpTargetRecord, id),
  STRING (2, DpTargetRecord, pool),
  STRING (3, DpTargetRecord, data_centre),
  STRING (4, DpTargetRecord, address),
  UINT (5, DpTargetRecord, port_number, G_MAXUINT16),
  UINT (6, DpTargetRecord, slots, G_MAXUINT),
  FLAG (7, DpTargetRecord, is_draining),
  UINT64 (8, DpTargetRecord, started),
  STRING (9, DpTargetRecord, version.label),
  UINT64 (10, DpTargetRecord, version.name),
};
static const DpFieldTable target_table = TABLE (DpTargetRecord, target_fields);

static const DpField targets_fields[] = {
  USEC (1, DpMessage, targets.age),
  GARRAY (2, DpMessage, targets.rows, DP_CODEC_TARGETS_MAX, &target_table),
  UINT64 (3, DpMessage, targets.version.revision),
  UINT64 (4, DpMessage, targets.version.era),
};

static const DpField relay_fields[] = {
  UINT64 (1, DpMessage, relay.manifest_revision),
  UINT64 (2, DpMessage, relay.targets.revision),
  UINT64 (3, DpMessage, relay.vms.revision),
  USEC (4, DpMessage, relay.age),
  UINT64 (5, DpMessage, relay.targets.era),
  UINT64 (6, DpMessage, relay.vms.era),
  UINT64 (7, DpMessage, relay.era),
  UINT64 (8, DpMessage, relay.manifest_digest),
  UINT64 (9, DpMessage, relay.targets_digest),
  UINT64 (10, DpMessage, relay.vms_digest),
  UINT64 (11, DpMessage, relay.config.revision),
  UINT64 (12, DpMessage, relay.config.era),
  GARRAY (13, DpMessage, relay.sender, 1, &vm_table),
};

static const DpField rows_ask_fields[] = {
  UINT (1, DpMessage, rows_ask.kind, DP_ROWS_COUNT - 1),
  UINT64 (2, DpMessage, rows_ask.version.revision),
  UINT64 (3, DpMessage, rows_ask.version.era),
  UINT64 (4, DpMessage, rows_ask.base_digest),
  UINT64 (5, DpMessage, rows_ask.wanted),
  UINT (6, DpMessage, rows_ask.first, G_MAXUINT),
};

static const DpField rows_fields[] = {
  UINT (1, DpMessage, rows.kind, DP_ROWS_COUNT - 1),
  UINT64 (2, DpMessage, rows.version.revision),
  UINT64 (3, DpMessage, rows.version.era),
  UINT64 (4, DpMessage, rows.digest),
  UINT64 (5, DpMessage, rows.base_digest),
  UINT (6, DpMessage, rows.first, G_MAXUINT),
  UINT (7, DpMessage, rows.total, G_MAXUINT),
  USEC (8, DpMessage, rows.age),
  /* Parts are small, but a single row may be as large as the manifest. */
  BYTES (9, DpMessage, rows.steps, DP_MANIFEST_BYTES_MAX),
};

static const DpField rollout_row_fields[] = {
  STRING (1, DpRolloutRow, service),  STRING (2, DpRolloutRow, target),
  USEC (3, DpRolloutRow, duration),   UINT64 (4, DpRolloutRow, created),
  UINT64 (5, DpRolloutRow, revision), UINT (6, DpRolloutRow, state, DP_ROLLOUT_UNCERTAIN),
  USEC (7, DpRolloutRow, age),
};
static const DpFieldTable rollout_row_table = TABLE (DpRolloutRow, rollout_row_fields);

static const DpField rollouts_fields[] = {
  GARRAY (1, DpMessage, rollouts.rows, DP_CODEC_ROLLOUTS_MAX, &rollout_row_table),
  UINT64 (2, DpMessage, rollouts.version.revision),
  UINT64 (3, DpMessage, rollouts.version.era),
};

static const DpField rollout_fields[] = {
  UINT64 (1, DpMessage, rollout.pool),
  UINT64 (2, DpMessage, rollout.order),
  UINT64 (3, DpMessage, rollout.version),
  UINT (4, DpMessage, rollout.state, DP_ROLLOUT_UNCERTAIN),
  USEC (5, DpMessage, rollout.age),
  FLAG (6, DpMessage, rollout.is_owner),
};

static const DpFieldTable message_tables[DP_MESSAGE_COUNT] = {
  [DP_MESSAGE_GRANT_ASK] = TABLE (DpMessage, grant_ask_fields),
  [DP_MESSAGE_GRANT_PROGRESS] = TABLE (DpMessage, grant_progress_fields),
  [DP_MESSAGE_GRANT_DONE] = TABLE (DpMessage, grant_done_fields),
  [DP_MESSAGE_GRANT_HELD] = TABLE (DpMessage, grant_held_fields),
  [DP_MESSAGE_GRANT_GIVEN] = TABLE (DpMessage, grant_given_fields),
  [DP_MESSAGE_GRANT_QUEUED] = TABLE (DpMessage, grant_queued_fields),
  [DP_MESSAGE_GRANT_REFUSED] = TABLE (DpMessage, grant_refused_fields),
  [DP_MESSAGE_GRANT_REVOKED] = TABLE (DpMessage, grant_revoked_fields),
  [DP_MESSAGE_ADVERT] = TABLE (DpMessage, advert_fields),
  [DP_MESSAGE_HOLDER_ASK] = TABLE (DpMessage, holder_ask_fields),
  [DP_MESSAGE_HOLDER_ANSWER] = TABLE (DpMessage, holder_answer_fields),
  [DP_MESSAGE_QUARANTINE] = TABLE (DpMessage, quarantine_fields),
  [DP_MESSAGE_HELLO] = TABLE (DpMessage, hello_fields),
  [DP_MESSAGE_MANIFEST] = TABLE (DpMessage, manifest_fields),
  [DP_MESSAGE_VIEW] = TABLE (DpMessage, view_fields),
  [DP_MESSAGE_PROBE] = TABLE (DpMessage, probe_fields),
  [DP_MESSAGE_PROBE_ACK] = TABLE (DpMessage, probe_fields),
  [DP_MESSAGE_MANIFEST_ASK] = TABLE (DpMessage, manifest_ask_fields),
  [DP_MESSAGE_LIMIT_ASK] = TABLE (DpMessage, limit_ask_fields),
  [DP_MESSAGE_LIMIT_GIVEN] = TABLE (DpMessage, limit_given_fields),
  [DP_MESSAGE_TARGETS_ASK] = TABLE (DpMessage, targets_ask_fields),
  [DP_MESSAGE_TARGETS] = TABLE (DpMessage, targets_fields),
  [DP_MESSAGE_RELAY] = TABLE (DpMessage, relay_fields),
  [DP_MESSAGE_SUSPECT_REPORT] = TABLE (DpMessage, suspect_report_fields),
  [DP_MESSAGE_SUSPECT] = TABLE (DpMessage, suspect_fields),
  [DP_MESSAGE_STREAM_VERSION] = TABLE (DpMessage, stream_version_fields),
  [DP_MESSAGE_STREAM_VERSION_ASK] = TABLE (DpMessage, stream_version_fields),
  [DP_MESSAGE_CREDIT_ASK] = TABLE (DpMessage, credit_ask_fields),
  [DP_MESSAGE_CREDIT_GIVEN] = TABLE (DpMessage, credit_given_fields),
  [DP_MESSAGE_USE_ASK] = TABLE (DpMessage, use_ask_fields),
  [DP_MESSAGE_USE_REPORT] = TABLE (DpMessage, use_report_fields),
  [DP_MESSAGE_TARGET_LEAVING] = TABLE (DpMessage, target_leaving_fields),
  [DP_MESSAGE_TARGET_PAUSED] = TABLE (DpMessage, target_paused_fields),
  [DP_MESSAGE_ROLLOUTS] = TABLE (DpMessage, rollouts_fields),
  [DP_MESSAGE_ROLLOUT] = TABLE (DpMessage, rollout_fields),
  [DP_MESSAGE_TARGET_LIMITS] = TABLE (DpMessage, target_limits_fields),
  [DP_MESSAGE_TARGET_SENT] = TABLE (DpMessage, target_sent_fields),
  [DP_MESSAGE_TARGET_CAPACITY] = TABLE (DpMessage, target_capacity_fields),
  [DP_MESSAGE_POOL_SHARED] = TABLE (DpMessage, pool_shared_fields),
  [DP_MESSAGE_STREAM_COPIES] = TABLE (DpMessage, stream_copies_fields),
  [DP_MESSAGE_STREAM_COPIES_ASK] = TABLE (DpMessage, stream_copies_ask_fields),
  [DP_MESSAGE_ROWS_ASK] = TABLE (DpMessage, rows_ask_fields),
  [DP_MESSAGE_ROWS] = TABLE (DpMessage, rows_fields),
};

static const DpFieldTable *const row_tables[] = {
  [DP_CODEC_ROW_TARGET] = &target_table,
  [DP_CODEC_ROW_VM] = &vm_table,
};

const DpFieldTable *
dp_codec_row_fields (DpCodecRow type)
{
  return row_tables[type];
}

const DpFieldTable *
dp_codec_fields (DpMessageType type)
{
  return type < DP_MESSAGE_COUNT ? &message_tables[type] : NULL;
}
