/* Tests of the message codec: round trips, truncation, bit flips, unknown members and malicious
 * element counts. */
#include "core/directory.h"
#include "core/key_set.h"
#include "core/view.h"
#include "net/codec.h"
#include "net/frame_check.h"

#include <check.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define FLIPS_PER_MESSAGE 4000
#define FLIP_SEED 20261204

static const DpPeer sender = { .vm = 0x1122334455667788ULL, .role = DP_ROLE_SCHEDULER };

static GArray *
make_two_vms (void)
{
  GArray *vms = g_array_new (FALSE, TRUE, sizeof (DpVm));
  DpVm first = { 5, 6, "vm-a", "127.0.1.1", DP_VM_LEAVING, 7, 8, 170, 1 };
  DpVm second
    = { G_MAXUINT64, 1, "vm-b", "127.0.1.2", DP_VM_DEAD, G_MAXUINT64, 9, 500, G_MAXUINT64 };
  g_array_append_val (vms, first);
  g_array_append_val (vms, second);
  return vms;
}

static DpMessage
make_grant_ask (void)
{
  return (DpMessage){ .type = DP_MESSAGE_GRANT_ASK,
                      .grant_ask = { .attempt = { 1, G_MAXUINT64 },
                                     .group = 2,
                                     .tier = 3,
                                     .workspace = 4,
                                     .model = 5,
                                     .prompt_tokens = G_MAXUINT,
                                     .output_tokens = 7,
                                     .sent_tokens = 8,
                                     .remaining = DP_CODEC_DURATION_MAX,
                                     .repeatable = TRUE,
                                     .prefix_count = DP_PREFIX_BLOCKS_MAX,
                                     .prefix = { 9, 10, 11 },
                                     .excluded_count = 2,
                                     .excluded = { 12, 13 },
                                     .urgency = DP_URGENCY_LEVELS - 1,
                                     .objective_left = 14,
                                     .session = 15,
                                     .data_centre = 16,
                                     .has_begun = TRUE,
                                     .route = 17,
                                     .begins_stream = TRUE } };
}

static DpMessage
make_grant_held (void)
{
  DpMessage message
    = { .type = DP_MESSAGE_GRANT_HELD,
        .grant_held = { 1, 2, 3, TRUE, TRUE, TRUE, DP_HELD_GRANTS_MAX, { { { 0, 0 } } } } };
  for (guint i = 0; i < DP_HELD_GRANTS_MAX; i++)
    message.grant_held.held[i] = (DpHeldGrant){ { i, 2 }, 3, 4, 5, 6, 7 + i, i % 2 == 0 };
  return message;
}

static GArray *
make_keys (void)
{
  GArray *keys = dp_key_set_new (3);
  for (guint64 key = 4; key <= 6; key++)
    dp_key_set_append (keys, key);
  return keys;
}

static DpMessage
make_targets (void)
{
  DpMessage message
    = { .type = DP_MESSAGE_TARGETS, .targets = { .age = 1, .version = { 3, 2 } } };
  message.targets.rows = g_array_new (FALSE, FALSE, sizeof (DpTargetRecord));
  const DpTargetRecord row = { "i-1", "pool", "dc", "127.0.1.1", 80, 5, TRUE, 7, { 8, "v1" } };
  g_array_append_val (message.targets.rows, row);
  return message;
}

static DpMessage
make_rollouts (void)
{
  DpMessage message = { .type = DP_MESSAGE_ROLLOUTS, .rollouts = { .version = { 3, 2 } } };
  message.rollouts.rows = g_array_new (FALSE, FALSE, sizeof (DpRolloutRow));
  const DpRolloutRow row = { "app", "v2", 1, 2, 3, DP_ROLLOUT_ROLLED_BACK, 4 };
  g_array_append_val (message.rollouts.rows, row);
  return message;
}

static DpMessage
make_probe (DpMessageType type)
{
  return (DpMessage){ .type = type, .probe = { 1, 2, TRUE, 3, 4, make_two_vms (), 5 } };
}

/* Returns a message of that type with all members set. */
static DpMessage
make_message (DpMessageType type)
{
  const DpId id = { 0x0102030405060708ULL, 0x090a0b0c0d0e0f10ULL };
  DpMessage message = { .type = type };
  switch (type)
    {
    case DP_MESSAGE_GRANT_ASK:
      return make_grant_ask ();
    case DP_MESSAGE_GRANT_PROGRESS:
      message.grant_progress = (DpGrantProgress){ id, 1 };
      break;
    case DP_MESSAGE_GRANT_DONE:
      message.grant_done
        = (DpGrantDone){ id, 1, 2, DP_REASON_TARGET_BROKE, 3, 4, 5, 6, 7, 8, TRUE };
      break;
    case DP_MESSAGE_GRANT_HELD:
      return make_grant_held ();
    case DP_MESSAGE_GRANT_GIVEN:
      message.grant_given = (DpGrantGiven){ id, 1, 2, TRUE, TRUE };
      break;
    case DP_MESSAGE_GRANT_QUEUED:
      message.grant_queued = (DpGrantQueued){ id, 1, 2, 3 };
      break;
    case DP_MESSAGE_GRANT_REFUSED:
      message.grant_refused = (DpGrantRefused){ id, 1, DP_REASON_QUEUE_FULL, 2, TRUE };
      break;
    case DP_MESSAGE_GRANT_REVOKED:
      message.grant_revoked = (DpGrantRevoked){ id, 1, DP_REASON_PREEMPTED, 2 };
      break;
    case DP_MESSAGE_ADVERT:
      message.advert = (DpAdvert){ 1, 2, 3, 4, { 5, 6, 7, 8 }, { 9, 10, 11, 12 } };
      break;
    case DP_MESSAGE_HOLDER_ASK:
      message.holder_ask = (DpHolderAsk){ id, id, 1, 2 };
      break;
    case DP_MESSAGE_HOLDER_ANSWER:
      message.holder_answer = (DpHolderAnswer){ id, id, DP_HOLDER_RELEASED };
      break;
    case DP_MESSAGE_SUSPECT_REPORT:
      message.suspect_report = (DpSuspectReport){ 1, 2, make_keys () };
      break;
    case DP_MESSAGE_SUSPECT:
      message.suspect = (DpSuspect){ 1, 2, TRUE, 3, 4, make_keys () };
      break;
    case DP_MESSAGE_STREAM_VERSION:
    case DP_MESSAGE_STREAM_VERSION_ASK:
      message.stream_version = (DpStreamVersion){ 1, 2, 3 };
      break;
    case DP_MESSAGE_QUARANTINE:
      message.quarantine = (DpQuarantine){ 1, 2, 3, 4 };
      break;
    case DP_MESSAGE_HELLO:
      message.hello = (DpHello){ DP_ROLE_SCHEDULER, 1, TRUE, 2, 3, 4 };
      break;
    case DP_MESSAGE_MANIFEST:
      message.manifest = (DpManifestText){ 1, 2, g_bytes_new_static ("{ }", 3), 4, 5 };
      break;
    case DP_MESSAGE_VIEW:
      message.view = (DpViewRows){ 1, make_two_vms (), 2 };
      break;
    case DP_MESSAGE_PROBE:
    case DP_MESSAGE_PROBE_ACK:
      return make_probe (type);
    case DP_MESSAGE_MANIFEST_ASK:
      message.manifest_ask = (DpManifestAsk){ 1, 2, 3 };
      break;
    case DP_MESSAGE_LIMIT_ASK:
      message.limit_ask = (DpLimitAsk){ 1, 2, 3, 4 };
      break;
    case DP_MESSAGE_LIMIT_GIVEN:
      message.limit_given = (DpLimitGiven){ 1, 2, 3, DP_REASON_RATE_LIMITED, 4 };
      break;
    case DP_MESSAGE_CREDIT_ASK:
      message.credit_ask = (DpCreditAsk){ 1, 2, 3, 4, 3, 5, 6, 7, 8, 9, 10, TRUE };
      break;
    case DP_MESSAGE_CREDIT_GIVEN:
      message.credit_given
        = (DpCreditGiven){ 1, 2, 3, TRUE, 4, TRUE, DP_REASON_RATE_LIMITED, 4 };
      break;
    case DP_MESSAGE_USE_ASK:
      message.use_ask = (DpUseAsk){ 1 };
      break;
    case DP_MESSAGE_USE_REPORT:
      message.use_report = (DpUseReport){ 1, 2, 3, 4, 5, 6, 7, 8, 3, { 7, 8, 9 } };
      break;
    case DP_MESSAGE_TARGET_LEAVING:
      message.target_leaving = (DpTargetLeaving){ 1, 2, 3 };
      break;
    case DP_MESSAGE_TARGET_PAUSED:
      message.target_paused = (DpTargetPaused){ 1, 2 };
      break;
    case DP_MESSAGE_TARGET_LIMITS:
      message.target_limits
        = (DpTargetLimits){ 1,
                            TRUE,
                            2,
                            3,
                            { { 1, 2, TRUE, 3, 4, TRUE, FALSE, FALSE, 0, 0 },
                              { 5, 6, FALSE, 0, 7, FALSE, TRUE, TRUE, 8, 9 },
                              { 5, 6, FALSE, 0, 7, FALSE, TRUE, FALSE, 0, 9 } } };
      break;
    case DP_MESSAGE_TARGET_SENT:
      message.target_sent = (DpTargetSent){ 1, 2, 3, 3, { 4, 5, 6 } };
      break;
    case DP_MESSAGE_ROLLOUTS:
      return make_rollouts ();
    case DP_MESSAGE_ROLLOUT:
      message.rollout = (DpRolloutNotice){ 1, 2, 3, DP_ROLLOUT_UNCERTAIN, 4, TRUE };
      break;
    case DP_MESSAGE_TARGET_CAPACITY:
      message.target_capacity
        = (DpTargetCapacity){ 1, 8, 2, { { 2, 3, 4, 5 }, { 6, 7, G_MAXUINT, 0 } } };
      break;
    case DP_MESSAGE_POOL_SHARED:
      message.pool_shared = (DpPoolShared){ 1, TRUE, 2, 3, 4, 5 };
      break;
    case DP_MESSAGE_STREAM_COPIES:
      message.stream_copies
        = (DpStreamCopyRows){ DP_STREAM_COPIES_ANSWER,         1, 2, 3, TRUE, TRUE, 2,
                              { { 4, 5 }, { 6, G_MAXUINT64 } } };
      break;
    case DP_MESSAGE_STREAM_COPIES_ASK:
      message.stream_copies_ask = (DpStreamCopiesAsk){ 1, TRUE, 2, { 3, G_MAXUINT64 } };
      break;
    case DP_MESSAGE_TARGETS_ASK:
      message.targets_ask = (DpTargetsAsk){ 1, 2 };
      break;
    case DP_MESSAGE_TARGETS:
      return make_targets ();
    case DP_MESSAGE_RELAY:
      message.relay
        = (DpRelay){ 1, { 2, 3 }, { 4, 5 }, 6, 7, { 8, 9 }, 10, 11, 12, make_two_vms () };
      break;
    case DP_MESSAGE_ROWS_ASK:
      message.rows_ask = (DpRowsAsk){ DP_ROWS_VMS, { 1, 2 }, 3, 4, 5 };
      break;
    case DP_MESSAGE_ROWS:
      message.rows = (DpRowsPart){
        DP_ROWS_TARGETS, { 1, 2 }, 3, 4, 5, 6, 7, g_bytes_new_static ("steps", 5)
      };
      break;
    case DP_MESSAGE_COUNT:
      break;
    }
  return message;
}

/* Decodes a copy of exactly `length` bytes, so that a sanitizer detects reads past the end. */
static gboolean
decode_copy (const guint8 *data, gsize length, DpPeer *from, DpMessage *message, GError **error)
{
  guint8 *copy = g_memdup2 (data, length);
  gboolean ok = dp_codec_decode (copy, length, from, message, error);
  g_free (copy);
  return ok;
}

START_TEST (each_type_round_trips)
{
  DpMessage message = make_message ((DpMessageType)_i);
  GByteArray *frame = dp_codec_encode (sender, &message);
  DpPeer from;
  DpMessage decoded;
  GError *error = NULL;
  ck_assert (decode_copy (frame->data, frame->len, &from, &decoded, &error));
  ck_assert_ptr_null (error);
  ck_assert_uint_eq (from.vm, sender.vm);
  ck_assert_int_eq (from.role, sender.role);
  ck_assert_int_eq (decoded.type, message.type);
  /* Encoding the decoded message gives the same frame, so no member was lost. */
  GByteArray *reencoded = dp_codec_encode (sender, &decoded);
  ck_assert_uint_eq (reencoded->len, frame->len);
  ck_assert_mem_eq (reencoded->data, frame->data, frame->len);
  g_byte_array_unref (reencoded);
  g_byte_array_unref (frame);
  dp_message_clear (&decoded);
  dp_message_clear (&message);
}
END_TEST

START_TEST (members_keep_their_values)
{
  DpMessage message = make_grant_ask ();
  GByteArray *frame = dp_codec_encode (sender, &message);
  DpPeer from;
  DpMessage decoded;
  ck_assert (decode_copy (frame->data, frame->len, &from, &decoded, NULL));
  ck_assert (dp_id_equal (decoded.grant_ask.attempt, message.grant_ask.attempt));
  ck_assert_uint_eq (decoded.grant_ask.tier, 3);
  ck_assert_uint_eq (decoded.grant_ask.prompt_tokens, G_MAXUINT);
  ck_assert_int_eq (decoded.grant_ask.remaining, DP_CODEC_DURATION_MAX);
  ck_assert_uint_eq (decoded.grant_ask.prefix_count, DP_PREFIX_BLOCKS_MAX);
  ck_assert_uint_eq (decoded.grant_ask.prefix[2], 11);
  ck_assert_uint_eq (decoded.grant_ask.excluded_count, 2);
  ck_assert_uint_eq (decoded.grant_ask.excluded[1], 13);
  ck_assert (decoded.grant_ask.has_begun);
  ck_assert_uint_eq (decoded.grant_ask.route, 17);
  ck_assert (decoded.grant_ask.begins_stream);
  g_byte_array_unref (frame);

  message = make_message (DP_MESSAGE_VIEW);
  frame = dp_codec_encode (sender, &message);
  ck_assert (decode_copy (frame->data, frame->len, &from, &decoded, NULL));
  ck_assert_uint_eq (decoded.view.vms->len, 2);
  const DpVm *vm = &g_array_index (decoded.view.vms, DpVm, 0);
  ck_assert_str_eq (vm->text, "vm-a");
  ck_assert_str_eq (vm->address, "127.0.1.1");
  ck_assert_int_eq (vm->state, DP_VM_LEAVING);
  ck_assert_uint_eq (vm->incarnation, 7);
  ck_assert_uint_eq (vm->announcement, 8);
  g_byte_array_unref (frame);
  dp_message_clear (&decoded);
  dp_message_clear (&message);
}
END_TEST

START_TEST (durations_can_be_added_to_times)
{
  static const DpUsec durations[]
    = { G_MAXINT64, G_MAXINT64 - 1, DP_CODEC_DURATION_MAX + 1, DP_CODEC_DURATION_MAX };
  for (guint i = 0; i < G_N_ELEMENTS (durations); i++)
    {
      DpMessage message = make_grant_ask ();
      message.grant_ask.remaining = durations[i];
      GByteArray *frame = dp_codec_encode (sender, &message);
      DpPeer from;
      DpMessage decoded;
      ck_assert (decode_copy (frame->data, frame->len, &from, &decoded, NULL));
      ck_assert_int_ge (decoded.grant_ask.remaining, DP_CODEC_DURATION_MAX);
      DpUsec sum;
      ck_assert (
        !__builtin_add_overflow (g_get_real_time (), decoded.grant_ask.remaining, &sum));
      g_byte_array_unref (frame);
    }
}
END_TEST

START_TEST (each_truncation_is_rejected)
{
  DpMessage message = make_message ((DpMessageType)_i);
  GByteArray *frame = dp_codec_encode (sender, &message);
  for (guint length = 0; length < frame->len; length++)
    {
      DpPeer from;
      DpMessage decoded;
      GError *error = NULL;
      ck_assert (!decode_copy (frame->data, length, &from, &decoded, &error));
      ck_assert (g_error_matches (error, DP_CODEC_ERROR, DP_CODEC_ERROR_MALFORMED));
      g_error_free (error);
    }
  g_byte_array_unref (frame);
  dp_message_clear (&message);
}
END_TEST

START_TEST (bit_flips_never_crash)
{
  DpMessage message = make_message ((DpMessageType)_i);
  GByteArray *frame = dp_codec_encode (sender, &message);
  GRand *rand = g_rand_new_with_seed (FLIP_SEED + (guint32)_i);
  for (guint n = 0; n < FLIPS_PER_MESSAGE; n++)
    {
      guint8 *copy = g_memdup2 (frame->data, frame->len);
      guint flips = (guint)g_rand_int_range (rand, 1, 4);
      for (guint i = 0; i < flips; i++)
        {
          gint32 bit = g_rand_int_range (rand, 0, (gint32)(frame->len * 8));
          copy[bit / 8] ^= (guint8)(1U << (bit % 8));
        }
      DpPeer from;
      DpMessage decoded;
      GError *error = NULL;
      if (dp_codec_decode (copy, frame->len, &from, &decoded, &error))
        dp_message_clear (&decoded);
      else
        ck_assert_ptr_nonnull (error);
      g_clear_error (&error);
      g_free (copy);
    }
  g_rand_free (rand);
  g_byte_array_unref (frame);
  dp_message_clear (&message);
}
END_TEST

/* --- handwritten frames --- */

typedef struct FrameCase
{
  const char *name;
  const char *bytes;
  gsize length;
  int error; /* DpCodecError, or -1: valid */
} FrameCase;

#define FRAME(name, literal, error)                                                            \
  {                                                                                            \
    name, literal, sizeof (literal) - 1, error                                                 \
  }

/* 0x95: array of 5; 0x01: version 1; 0x0c: hello; 0x02, 0x00: VM 2, entry; then the body. */
static const FrameCase frame_cases[] = {
  FRAME ("empty", "", DP_CODEC_ERROR_MALFORMED),
  FRAME ("not an array", "\x80", DP_CODEC_ERROR_MALFORMED),
  FRAME ("short array", "\x94\x01\x0c\x02\x00", DP_CODEC_ERROR_MALFORMED),
  FRAME ("no members", "\x95\x01\x0c\x02\x00\x80", -1),
  FRAME ("additional elements", "\x97\x01\x0c\x02\x00\x80\xc0\xa1x", -1),
  FRAME ("unknown member", "\x95\x01\x0c\x02\x00\x82\x60\xa3new\x02\x09", -1),
  FRAME ("member with a string key", "\x95\x01\x0c\x02\x00\x81\xa1k\x92\x01\x02", -1),
  FRAME ("trailing bytes", "\x95\x01\x0c\x02\x00\x80\x00", DP_CODEC_ERROR_MALFORMED),
  FRAME ("unsupported version", "\x95\x02\x0c\x02\x00\x80", DP_CODEC_ERROR_VERSION),
  FRAME ("unknown type", "\x95\x01\x7f\x02\x00\x80", DP_CODEC_ERROR_TYPE),
  FRAME ("huge type",
         "\x95\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x02\x00\x80",
         DP_CODEC_ERROR_TYPE),
  FRAME ("unknown role", "\x95\x01\x0c\x02\x04\x80", DP_CODEC_ERROR_MALFORMED),
  FRAME ("body is not a map", "\x95\x01\x0c\x02\x00\x90", DP_CODEC_ERROR_VALUE),
  FRAME ("negative number", "\x95\x01\x0c\x02\x00\x81\x02\xff", DP_CODEC_ERROR_VALUE),
  FRAME ("string for a number", "\x95\x01\x0c\x02\x00\x81\x02\xa1x", DP_CODEC_ERROR_VALUE),
  FRAME ("float for a number",
         "\x95\x01\x0c\x02\x00\x81\x02\xca\x3f\x80\x00\x00",
         DP_CODEC_ERROR_VALUE),
  FRAME ("flag of 2", "\x95\x01\x0c\x02\x00\x81\x03\x02", DP_CODEC_ERROR_VALUE),
  FRAME ("role out of range", "\x95\x01\x0c\x02\x00\x81\x01\x09", DP_CODEC_ERROR_VALUE),
  FRAME ("declared array of 4 Gi elements", "\xdd\xff\xff\xff\xff", DP_CODEC_ERROR_MALFORMED),
  FRAME ("declared map of 4 Gi pairs",
         "\x95\x01\x0c\x02\x00\xdf\xff\xff\xff\xff",
         DP_CODEC_ERROR_MALFORMED),
  FRAME ("declared binary of 4 GiB",
         "\x95\x01\x0d\x02\x00\x81\x03\xc6\xff\xff\xff\xff",
         DP_CODEC_ERROR_MALFORMED),
  FRAME (
    "extension type", "\x95\x01\x0c\x02\x00\x81\x60\xd4\x01\x02", DP_CODEC_ERROR_MALFORMED),
  FRAME ("nested too deeply",
         "\x95\x01\x0c\x02\x00\x81\x60\x91\x91\x91\x91\x91\x91\x91\x91\xc0",
         DP_CODEC_ERROR_MALFORMED),
  /* grant_ask: five excluded targets, one more than DP_EXCLUDED_MAX */
  FRAME ("too many elements",
         "\x95\x01\x00\x02\x00\x81\x0c\x95\x01\x02\x03\x04\x05",
         DP_CODEC_ERROR_TOO_LARGE),
  FRAME ("id of 3 bytes", "\x95\x01\x00\x02\x00\x81\x01\xc4\x03xyz", DP_CODEC_ERROR_VALUE),
  /* target_capacity: a row whose limit is no integer */
  FRAME ("NaN for a limit",
         "\x95\x01\x25\x02\x03\x81\x02\x91\x81\x03\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
         DP_CODEC_ERROR_VALUE),
  FRAME ("infinity for a limit",
         "\x95\x01\x25\x02\x03\x81\x02\x91\x81\x03\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00",
         DP_CODEC_ERROR_VALUE),
  FRAME ("a limit alone", "\x95\x01\x25\x02\x03\x81\x02\x91\x81\x03\x02", -1),
  /* manifest: the text twice; the first one must not leak */
  FRAME ("repeated member", "\x95\x01\x0d\x02\x00\x82\x03\xc4\x01x\x03\xc4\x01y", -1),
  /* view: the second VM is not a map */
  FRAME (
    "invalid second element", "\x95\x01\x0e\x02\x00\x81\x02\x92\x80\xc0", DP_CODEC_ERROR_VALUE),
  FRAME ("NUL in a string",
         "\x95\x01\x0e\x02\x00\x81\x02\x91\x81\x03\xa2x\x00",
         DP_CODEC_ERROR_VALUE),
};

START_TEST (handwritten_frames)
{
  const FrameCase *c = &frame_cases[_i];
  DpPeer from;
  DpMessage message;
  GError *error = NULL;
  gboolean ok = decode_copy ((const guint8 *)c->bytes, c->length, &from, &message, &error);
  ck_assert_msg (ok == (c->error < 0), "%s: %s", c->name, ok ? "decoded" : error->message);
  if (ok)
    dp_message_clear (&message);
  else
    ck_assert_msg (g_error_matches (error, DP_CODEC_ERROR, c->error), "%s: %s", c->name,
                   error->message);
  g_clear_error (&error);
}
END_TEST

/* Bodies of messages about roll-outs; a state that this build doesn't know must not be taken
 * for another one. */
typedef struct BodyCase
{
  const char *name;
  DpMessageType type;
  const char *bytes;
  gsize length;
  int error; /* DpCodecError, or -1: valid */
} BodyCase;

#define BODY(name, type, literal, error)                                                       \
  {                                                                                            \
    name, type, literal, sizeof (literal) - 1, error                                           \
  }

static const BodyCase rollout_cases[] = {
  BODY ("no members", DP_MESSAGE_ROLLOUT, "\x80", -1),
  BODY ("last state", DP_MESSAGE_ROLLOUT, "\x81\x04\x05", -1),
  BODY ("unknown state", DP_MESSAGE_ROLLOUT, "\x81\x04\x06", DP_CODEC_ERROR_VALUE),
  BODY ("negative age", DP_MESSAGE_ROLLOUT, "\x81\x05\xff", DP_CODEC_ERROR_VALUE),
  BODY ("member of a newer build", DP_MESSAGE_ROLLOUT, "\x81\x60\xa3new", -1),
  BODY ("empty list", DP_MESSAGE_ROLLOUTS, "\x81\x01\x90", -1),
  BODY ("row is not a map", DP_MESSAGE_ROLLOUTS, "\x81\x01\x91\xc0", DP_CODEC_ERROR_VALUE),
  BODY ("unknown state in a row",
        DP_MESSAGE_ROLLOUTS,
        "\x81\x01\x91\x81\x06\x06",
        DP_CODEC_ERROR_VALUE),
  BODY ("text for a duration",
        DP_MESSAGE_ROLLOUTS,
        "\x81\x01\x91\x81\x03\xa2"
        "60",
        DP_CODEC_ERROR_VALUE),
};

START_TEST (bodies_about_rollouts)
{
  const BodyCase *row = &rollout_cases[_i];
  const guint8 head[] = { 0x95, DP_CODEC_VERSION, (guint8)row->type, 0x02, 0x00 };
  GByteArray *frame = g_byte_array_new ();
  g_byte_array_append (frame, head, sizeof head);
  g_byte_array_append (frame, (const guint8 *)row->bytes, (guint)row->length);
  DpPeer from;
  DpMessage message;
  GError *error = NULL;
  gboolean ok = decode_copy (frame->data, frame->len, &from, &message, &error);
  ck_assert_msg (ok == (row->error < 0), "%s: %s", row->name, ok ? "decoded" : error->message);
  if (ok)
    dp_message_clear (&message);
  else
    ck_assert_msg (g_error_matches (error, DP_CODEC_ERROR, row->error), "%s: %s", row->name,
                   error->message);
  g_clear_error (&error);
  g_byte_array_unref (frame);
}
END_TEST

START_TEST (too_long_string_is_rejected)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  const guint envelope[] = { DP_CODEC_VERSION, DP_MESSAGE_VIEW, 2, 0 };
  msgpack_pack_array (&packer, 5);
  for (guint i = 0; i < G_N_ELEMENTS (envelope); i++)
    msgpack_pack_uint64 (&packer, envelope[i]);
  msgpack_pack_map (&packer, 1);
  msgpack_pack_uint64 (&packer, 2); /* vms */
  msgpack_pack_array (&packer, 1);
  msgpack_pack_map (&packer, 1);
  msgpack_pack_uint64 (&packer, 4); /* address: char[46] */
  char text[46];
  memset (text, '1', sizeof text);
  msgpack_pack_str (&packer, sizeof text);
  msgpack_pack_str_body (&packer, text, sizeof text);
  DpPeer from;
  DpMessage message;
  GError *error = NULL;
  ck_assert (!dp_codec_decode (buffer.data, buffer.size, &from, &message, &error));
  ck_assert (g_error_matches (error, DP_CODEC_ERROR, DP_CODEC_ERROR_TOO_LARGE));
  g_error_free (error);
  msgpack_sbuffer_destroy (&buffer);
}
END_TEST

START_TEST (random_bytes_never_crash)
{
  GRand *rand = g_rand_new_with_seed (FLIP_SEED);
  for (guint n = 0; n < 20000; n++)
    {
      guint8 bytes[64];
      gsize length = (gsize)g_rand_int_range (rand, 0, sizeof bytes);
      for (gsize i = 0; i < length; i++)
        bytes[i] = (guint8)g_rand_int_range (rand, 0, 256);
      DpPeer from;
      DpMessage message;
      if (decode_copy (bytes, length, &from, &message, NULL))
        dp_message_clear (&message);
    }
  g_rand_free (rand);
}
END_TEST

START_TEST (frame_with_too_many_values_is_rejected)
{
  gsize count = DP_FRAME_VALUES_MAX;
  guint8 *frame = g_malloc0 (5 + count);
  frame[0] = 0xdd;
  frame[2] = (guint8)(count >> 16);
  ck_assert (!dp_frame_check (frame, 5 + count));
  frame[2] = 0;
  frame[3] = (guint8)((count - 1) >> 8);
  frame[4] = (guint8)((count - 1) & 0xff);
  ck_assert (dp_frame_check (frame, 5 + count - 1));
  g_free (frame);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("net_codec");
  TCase *tcase = tcase_create ("codec");
  tcase_add_loop_test (tcase, each_type_round_trips, 0, DP_MESSAGE_COUNT);
  tcase_add_loop_test (tcase, bodies_about_rollouts, 0, G_N_ELEMENTS (rollout_cases));
  tcase_add_test (tcase, members_keep_their_values);
  tcase_add_test (tcase, durations_can_be_added_to_times);
  tcase_add_loop_test (tcase, each_truncation_is_rejected, 0, DP_MESSAGE_COUNT);
  tcase_add_loop_test (tcase, bit_flips_never_crash, 0, DP_MESSAGE_COUNT);
  tcase_add_loop_test (tcase, handwritten_frames, 0, G_N_ELEMENTS (frame_cases));
  tcase_add_test (tcase, too_long_string_is_rejected);
  tcase_add_test (tcase, random_bytes_never_crash);
  tcase_add_test (tcase, frame_with_too_many_values_is_rejected);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
