#include "core/message.h"

static const char *const type_names[DP_MESSAGE_COUNT] = {
  [DP_MESSAGE_GRANT_ASK] = "grant_ask",
  [DP_MESSAGE_GRANT_PROGRESS] = "grant_progress",
  [DP_MESSAGE_GRANT_DONE] = "grant_done",
  [DP_MESSAGE_GRANT_HELD] = "grant_held",
  [DP_MESSAGE_GRANT_GIVEN] = "grant_given",
  [DP_MESSAGE_GRANT_QUEUED] = "grant_queued",
  [DP_MESSAGE_GRANT_REFUSED] = "grant_refused",
  [DP_MESSAGE_GRANT_REVOKED] = "grant_revoked",
  [DP_MESSAGE_ADVERT] = "advert",
  [DP_MESSAGE_HOLDER_ASK] = "holder_ask",
  [DP_MESSAGE_HOLDER_ANSWER] = "holder_answer",
  [DP_MESSAGE_QUARANTINE] = "quarantine",
  [DP_MESSAGE_HELLO] = "hello",
  [DP_MESSAGE_MANIFEST] = "manifest",
  [DP_MESSAGE_VIEW] = "view",
  [DP_MESSAGE_PROBE] = "probe",
  [DP_MESSAGE_PROBE_ACK] = "probe_ack",
  [DP_MESSAGE_MANIFEST_ASK] = "manifest_ask",
  [DP_MESSAGE_LIMIT_ASK] = "limit_ask",
  [DP_MESSAGE_LIMIT_GIVEN] = "limit_given",
  [DP_MESSAGE_CREDIT_ASK] = "credit_ask",
  [DP_MESSAGE_CREDIT_GIVEN] = "credit_given",
  [DP_MESSAGE_USE_ASK] = "use_ask",
  [DP_MESSAGE_USE_REPORT] = "use_report",
  [DP_MESSAGE_TARGET_LEAVING] = "target_leaving",
  [DP_MESSAGE_TARGET_PAUSED] = "target_paused",
  [DP_MESSAGE_ROLLOUTS] = "rollouts",
  [DP_MESSAGE_ROLLOUT] = "rollout",
  [DP_MESSAGE_TARGET_LIMITS] = "target_limits",
  [DP_MESSAGE_TARGET_SENT] = "target_sent",
  [DP_MESSAGE_TARGET_CAPACITY] = "target_capacity",
  [DP_MESSAGE_POOL_SHARED] = "pool_shared",
  [DP_MESSAGE_STREAM_COPIES] = "stream_copies",
  [DP_MESSAGE_STREAM_COPIES_ASK] = "stream_copies_ask",
  [DP_MESSAGE_ROWS_ASK] = "rows_ask",
  [DP_MESSAGE_ROWS] = "rows",
  [DP_MESSAGE_SUSPECT] = "suspect",
  [DP_MESSAGE_STREAM_VERSION] = "stream_version",
  [DP_MESSAGE_STREAM_VERSION_ASK] = "stream_version_ask",
  [DP_MESSAGE_TARGETS_ASK] = "targets_ask",
  [DP_MESSAGE_TARGETS] = "targets",
  [DP_MESSAGE_RELAY] = "relay",
  [DP_MESSAGE_SUSPECT_REPORT] = "suspect_report",
};

const char *
dp_message_type_name (DpMessageType type)
{
  return type < DP_MESSAGE_COUNT ? type_names[type] : "invalid";
}

void
dp_suspect_clear (DpSuspect *state)
{
  g_clear_pointer (&state->joint, g_array_unref);
}

void
dp_message_clear (DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_MANIFEST:
      g_clear_pointer (&message->manifest.text, g_bytes_unref);
      break;
    case DP_MESSAGE_VIEW:
      g_clear_pointer (&message->view.vms, g_array_unref);
      break;
    case DP_MESSAGE_PROBE:
    case DP_MESSAGE_PROBE_ACK:
      g_clear_pointer (&message->probe.updates, g_array_unref);
      break;
    case DP_MESSAGE_ROLLOUTS:
      g_clear_pointer (&message->rollouts.rows, g_array_unref);
      break;
    case DP_MESSAGE_TARGETS:
      g_clear_pointer (&message->targets.rows, g_array_unref);
      break;
    case DP_MESSAGE_RELAY:
      g_clear_pointer (&message->relay.sender, g_array_unref);
      break;
    case DP_MESSAGE_ROWS:
      g_clear_pointer (&message->rows.steps, g_bytes_unref);
      break;
    case DP_MESSAGE_SUSPECT:
      dp_suspect_clear (&message->suspect);
      break;
    case DP_MESSAGE_SUSPECT_REPORT:
      g_clear_pointer (&message->suspect_report.keys, g_array_unref);
      break;
    default:
      break;
    }
}
