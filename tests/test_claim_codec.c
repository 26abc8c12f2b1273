/* Encoding of claim buckets: round trip, truncation, corruption, members of a newer release. */
#include "platform/claim_codec.h"

#include <check.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_COUNT 40
#define CORRUPTION_SEED 20261204
#define CORRUPTION_ROUNDS 20000

static GArray *
make_records (guint count)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (DpClaimRecord));
  g_array_set_clear_func (records, dp_claim_record_clear);
  for (guint i = 0; i < count; i++)
    {
      DpClaimRecord record = {
        .key = { 1, i + 1 },
        .body_hash = G_MAXUINT64 - i,
        .path_hash = i,
        .attempt = { i + 1, 7 },
        .holder = 17,
        .holder_incarnation = 3,
        .state = (DpClaimState)(i % 4),
        .status = 200 + i,
      };
      g_strlcpy (record.content_type, "application/json", sizeof record.content_type);
      if (i % 3 == 0)
        record.body = g_bytes_new ("{\"verge\":17}", 12);
      g_array_append_val (records, record);
    }
  return records;
}

static void
assert_same (const DpClaimRecord *a, const DpClaimRecord *b)
{
  ck_assert (dp_id_equal (a->key, b->key));
  ck_assert (dp_id_equal (a->attempt, b->attempt));
  ck_assert_uint_eq (a->body_hash, b->body_hash);
  ck_assert_uint_eq (a->path_hash, b->path_hash);
  ck_assert_uint_eq (a->holder, b->holder);
  ck_assert_uint_eq (a->holder_incarnation, b->holder_incarnation);
  ck_assert_int_eq (a->state, b->state);
  ck_assert_uint_eq (a->status, b->status);
  ck_assert_str_eq (a->content_type, b->content_type);
  ck_assert ((a->body == NULL) == (b->body == NULL));
  if (a->body != NULL)
    ck_assert (g_bytes_equal (a->body, b->body));
}

START_TEST (round_trip_preserves_records)
{
  GArray *records = make_records ((guint)_i);
  GBytes *bytes = dp_claim_bucket_encode (records);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  GError *error = NULL;
  GArray *decoded = dp_claim_bucket_decode (data, length, &error);
  ck_assert_ptr_nonnull (decoded);
  ck_assert_uint_eq (decoded->len, records->len);
  for (guint i = 0; i < records->len; i++)
    assert_same (&g_array_index (records, DpClaimRecord, i),
                 &g_array_index (decoded, DpClaimRecord, i));
  g_array_unref (decoded);
  g_array_unref (records);
  g_bytes_unref (bytes);
}
END_TEST

START_TEST (truncated_buckets_are_rejected)
{
  GArray *records = make_records (RECORD_COUNT);
  GBytes *bytes = dp_claim_bucket_encode (records);
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  for (gsize cut = 0; cut < length; cut++)
    {
      /* With a copy of exactly this size the sanitizer detects any read beyond it. */
      char *copy = g_memdup2 (data, cut);
      GError *error = NULL;
      ck_assert_ptr_null (dp_claim_bucket_decode (copy, cut, &error));
      ck_assert_ptr_nonnull (error);
      g_error_free (error);
      g_free (copy);
    }
  g_array_unref (records);
  g_bytes_unref (bytes);
}
END_TEST

START_TEST (corrupt_bytes_never_crash)
{
  GArray *records = make_records (RECORD_COUNT);
  GBytes *bytes = dp_claim_bucket_encode (records);
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  GRand *rand = g_rand_new_with_seed (CORRUPTION_SEED);
  for (guint round = 0; round < CORRUPTION_ROUNDS; round++)
    {
      char *copy = g_memdup2 (data, length);
      for (gint i = g_rand_int_range (rand, 1, 6); i > 0; i--)
        {
          gint32 at = g_rand_int_range (rand, 0, (gint32)length);
          copy[at] = (char)g_rand_int (rand);
        }
      GError *error = NULL;
      GArray *decoded = dp_claim_bucket_decode (copy, length, &error);
      ck_assert ((decoded == NULL) == (error != NULL));
      g_clear_pointer (&decoded, g_array_unref);
      g_clear_error (&error);
      g_free (copy);
    }
  g_rand_free (rand);
  g_array_unref (records);
  g_bytes_unref (bytes);
}
END_TEST

/* Buckets given as literal bytes. */
typedef struct ByteCase
{
  const char *name;
  const char *bytes;
  gsize length;
  gboolean accepted;
} ByteCase;

#define BYTES(literal) literal, sizeof (literal) - 1

static const ByteCase byte_cases[] = {
  { "no records", BYTES ("\x82\x00\x01\x01\x90"), TRUE },
  { "a member of a newer release", BYTES ("\x83\x00\x01\x01\x90\x05\xa3new"), TRUE },
  { "a newer format version", BYTES ("\x82\x00\x02\x01\x90"), FALSE },
  { "no format version", BYTES ("\x81\x01\x90"), FALSE },
  { "no list", BYTES ("\x81\x00\x01"), FALSE },
  { "the list is a number", BYTES ("\x82\x00\x01\x01\x07"), FALSE },
  { "a list of 2^32 - 1 records", BYTES ("\x82\x00\x01\x01\xdd\xff\xff\xff\xff"), FALSE },
  { "bytes after the value", BYTES ("\x82\x00\x01\x01\x90\x00"), FALSE },
  { "an empty record", BYTES ("\x82\x00\x01\x01\x91\x80"), FALSE },
  { "nested too deep",
    BYTES ("\x83\x00\x01\x01\x90\x05\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x90"), FALSE },
  { "empty", "", 0, FALSE },
};

START_TEST (literal_bytes)
{
  const ByteCase *row = &byte_cases[_i];
  GError *error = NULL;
  GArray *records = dp_claim_bucket_decode (row->bytes, row->length, &error);
  ck_assert_msg ((records != NULL) == row->accepted, "%s", row->name);
  g_clear_pointer (&records, g_array_unref);
  g_clear_error (&error);
}
END_TEST

START_TEST (duplicate_keys_are_rejected)
{
  GArray *records = make_records (2);
  g_array_index (records, DpClaimRecord, 1).key = g_array_index (records, DpClaimRecord, 0).key;
  GBytes *bytes = dp_claim_bucket_encode (records);
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  GError *error = NULL;
  ck_assert_ptr_null (dp_claim_bucket_decode (data, length, &error));
  ck_assert (g_error_matches (error, DP_CLAIM_CODEC_ERROR, DP_CLAIM_CODEC_ERROR_RECORD));
  g_error_free (error);
  g_array_unref (records);
  g_bytes_unref (bytes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim_codec");
  TCase *tcase = tcase_create ("claim_codec");
  tcase_add_loop_test (tcase, round_trip_preserves_records, 0, RECORD_COUNT);
  tcase_add_test (tcase, truncated_buckets_are_rejected);
  tcase_add_test (tcase, corrupt_bytes_never_crash);
  tcase_add_loop_test (tcase, literal_bytes, 0, G_N_ELEMENTS (byte_cases));
  tcase_add_test (tcase, duplicate_keys_are_rejected);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
