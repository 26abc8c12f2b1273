/* Tests of manifest deltas: exact result, small size for small changes, robustness against
 * corrupt input. */
#include "manifest/delta.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SEED 31
#define ROWS 6000
#define SIZE_MAX_BYTES ((gsize)1024 * 1024)

/* A manifest of about 1 MB. Row `changed` has a different window; -1: none. */
static GBytes *
make_text (guint revision, int changed, gboolean one_line)
{
  const char *end = one_line ? "" : "\n";
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"revision\": %u,%s\"engines\": [%s", revision, end, end);
  for (int i = 0; i < ROWS; i++)
    g_string_append_printf (
      text,
      "{\"name\": \"engine-%d\", \"address\": \"10.0.%d.%d\", \"port\": 8000, \"window\": %d, "
      "\"models\": [\"lipa-7b\"], \"data_centre\": \"lj-a\"}%s%s",
      i, i / 250, i % 250, i == changed ? 99 : 8, i + 1 < ROWS ? "," : "", end);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

static GBytes *
apply (GBytes *old_text, GBytes *delta, GError **error)
{
  gsize length;
  const void *data = g_bytes_get_data (delta, &length);
  return dp_delta_apply (old_text, data, length, SIZE_MAX_BYTES, error);
}

typedef struct ChangeCase
{
  const char *name;
  gboolean one_line;
  int old_changed;
  int new_changed;
  gsize bytes_max;
} ChangeCase;

/* At one change every 8 s, a budget of 2 KB/s allows 16 KB per change. */
static const ChangeCase changes[] = {
  { "only the revision", FALSE, -1, -1, 2048 },
  { "one row", FALSE, -1, 4000, 2048 },
  { "one row changed and another one reverted", FALSE, 17, 5999, 2048 },
  { "one row of a text without newlines", TRUE, -1, 1, 2048 },
};

START_TEST (small_changes_make_small_deltas)
{
  const ChangeCase *c = &changes[_i];
  GBytes *old_text = make_text (7, c->old_changed, c->one_line);
  GBytes *new_text = make_text (8, c->new_changed, c->one_line);
  GBytes *delta = dp_delta_make (old_text, new_text);
  GBytes *result = apply (old_text, delta, NULL);
  ck_assert_ptr_nonnull (result);
  ck_assert (g_bytes_equal (result, new_text));
  ck_assert_msg (g_bytes_get_size (delta) <= c->bytes_max, "%s: %lu bytes", c->name,
                 (unsigned long)g_bytes_get_size (delta));
  g_bytes_unref (result);
  g_bytes_unref (delta);
  g_bytes_unref (old_text);
  g_bytes_unref (new_text);
}
END_TEST

static GBytes *
random_text (GRand *rand)
{
  static const char letters[] = "ab}\n]";
  guint length = (guint)g_rand_int_range (rand, 0, 400);
  char *text = g_malloc (length + 1);
  for (guint i = 0; i < length; i++)
    text[i] = letters[g_rand_int_range (rand, 0, sizeof letters - 1)];
  return g_bytes_new_take (text, length);
}

START_TEST (deltas_of_random_texts_round_trip)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  for (guint i = 0; i < 2000; i++)
    {
      GBytes *old_text = random_text (rand);
      GBytes *new_text = random_text (rand);
      GBytes *delta = dp_delta_make (old_text, new_text);
      GBytes *result = apply (old_text, delta, NULL);
      ck_assert (result != NULL && g_bytes_equal (result, new_text));
      g_bytes_unref (result);
      g_bytes_unref (delta);
      g_bytes_unref (old_text);
      g_bytes_unref (new_text);
    }
  g_rand_free (rand);
}
END_TEST

START_TEST (corrupt_deltas_neither_crash_nor_exceed_the_limit)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  GBytes *old_text = make_text (7, -1, FALSE);
  GBytes *new_text = make_text (8, 12, FALSE);
  GBytes *delta = dp_delta_make (old_text, new_text);
  gsize length;
  const guint8 *data = g_bytes_get_data (delta, &length);
  for (guint i = 0; i < 2000; i++)
    {
      gsize prefix_length
        = i < 1000 ? (gsize)g_rand_int_range (rand, 0, (gint32)length) : length;
      guint8 *copy = g_memdup2 (data, length);
      if (i >= 1000)
        copy[g_rand_int_range (rand, 0, (gint32)length)] ^= (guint8)(1 << (i % 8));
      GBytes *result = dp_delta_apply (old_text, copy, prefix_length, SIZE_MAX_BYTES, NULL);
      ck_assert (result == NULL || g_bytes_get_size (result) <= SIZE_MAX_BYTES);
      if (result != NULL)
        g_bytes_unref (result);
      g_free (copy);
    }
  g_bytes_unref (delta);
  g_bytes_unref (old_text);
  g_bytes_unref (new_text);
  g_rand_free (rand);
}
END_TEST

START_TEST (delta_exceeding_the_size_limit_is_refused)
{
  GBytes *old_text = g_bytes_new_static ("0123456789", 10);
  /* Copies all ten bytes three times. */
  static const guint8 delta[] = { 0x93, 0x92, 0, 10, 0x92, 0, 10, 0x92, 0, 10 };
  GError *error = NULL;
  ck_assert_ptr_null (dp_delta_apply (old_text, delta, sizeof delta, 29, &error));
  ck_assert (g_error_matches (error, DP_DELTA_ERROR, DP_DELTA_ERROR_TOO_LARGE));
  g_clear_error (&error);
  GBytes *whole = dp_delta_apply (old_text, delta, sizeof delta, 30, &error);
  ck_assert_ptr_nonnull (whole);
  ck_assert_uint_eq (g_bytes_get_size (whole), 30);
  g_bytes_unref (whole);
  g_bytes_unref (old_text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("delta");
  TCase *tcase = tcase_create ("delta");
  tcase_add_loop_test (tcase, small_changes_make_small_deltas, 0, G_N_ELEMENTS (changes));
  tcase_add_test (tcase, deltas_of_random_texts_round_trip);
  tcase_add_test (tcase, corrupt_deltas_neither_crash_nor_exceed_the_limit);
  tcase_add_test (tcase, delta_exceeding_the_size_limit_is_refused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
