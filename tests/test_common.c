/* Tests of tables, diagnostics, counters, ids and log lines. */
#include "common/counters.h"
#include "common/diagnostics.h"
#include "common/id.h"
#include "common/log.h"
#include "common/table.h"

#include <check.h>
#include <stdlib.h>

typedef struct Row
{
  int number;
} Row;

START_TEST (stale_handles_return_null)
{
  DpTable *table = dp_table_new (&(DpTableOptions){ .row_size = sizeof (Row) });
  Row *row;
  DpHandle first = dp_table_add (table, (void **)&row);
  row->number = 7;
  ck_assert_int_eq (((Row *)dp_table_get (table, first))->number, 7);
  dp_table_remove (table, first);
  ck_assert_ptr_null (dp_table_get (table, first));
  DpHandle second = dp_table_add (table, NULL);
  ck_assert_ptr_null (dp_table_get (table, first));
  ck_assert_uint_eq (dp_table_count (table), 1);
  ck_assert_uint_eq (dp_table_next (table, 0), second);
  ck_assert_uint_eq (dp_table_next (table, second), 0);
  dp_table_unref (table);
}
END_TEST

typedef struct LogCase
{
  const char *value;
  const char *expected;
} LogCase;

static const LogCase log_cases[] = {
  { "plain", "plain" },
  { "", "\"\"" },
  { "two words", "\"two words\"" },
  { "a\nevent=forged", "\"a\\x0aevent=forged\"" },
  { "quote\"", "\"quote\\\"\"" },
  { "a=b", "\"a=b\"" },
  { "\xc5\xa1", "\"\\xc5\\xa1\"" },
};

START_TEST (log_values_cannot_inject_lines)
{
  const LogCase *c = &log_cases[_i];
  GString *out = g_string_new (NULL);
  dp_log_append_value (out, c->value);
  ck_assert_str_eq (out->str, c->expected);
  g_string_free (out, TRUE);
}
END_TEST

START_TEST (diagnostics_are_formatted_together)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  dp_diagnostics_add (diagnostics, "m.json", 3, "tiers[0].name", "is missing");
  dp_diagnostics_add (diagnostics, NULL, 0, NULL, "is %d bytes too long", 5);
  char *text = dp_diagnostics_format (diagnostics);
  ck_assert_str_eq (text, "m.json:3: tiers[0].name: is missing\nis 5 bytes too long\n");
  g_free (text);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

START_TEST (counters_format_as_prometheus_text)
{
  DpCounters *counters = dp_counters_new ();
  dp_counters_add (counters, "b_total", "reason", "x", 2);
  dp_counters_add (counters, "b_total", "reason", "x", 1);
  dp_counters_set (counters, "a_open", NULL, NULL, 9);
  GString *out = g_string_new (NULL);
  dp_counters_format (counters, out);
  ck_assert_str_eq (
    out->str,
    "# TYPE a_open gauge\na_open 9\n# TYPE b_total counter\nb_total{reason=\"x\"} 3\n");
  ck_assert_uint_eq (dp_counters_get (counters, "b_total", "reason", "x"), 3);
  g_string_free (out, TRUE);
  dp_counters_unref (counters);
}
END_TEST

START_TEST (ids_round_trip_through_text)
{
  DpId id = { 0x0123456789abcdefULL, 42 };
  char text[DP_ID_STRING_SIZE];
  dp_id_format (id, text);
  DpId back;
  ck_assert (dp_id_parse (text, &back));
  ck_assert (dp_id_equal (id, back));
  ck_assert (!dp_id_parse ("0123", &back));
  ck_assert (!dp_id_parse ("0123456789abcdef0123456789abcdef0", &back));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("common");
  TCase *tcase = tcase_create ("common");
  tcase_add_test (tcase, stale_handles_return_null);
  tcase_add_loop_test (tcase, log_values_cannot_inject_lines, 0, G_N_ELEMENTS (log_cases));
  tcase_add_test (tcase, diagnostics_are_formatted_together);
  tcase_add_test (tcase, counters_format_as_prometheus_text);
  tcase_add_test (tcase, ids_round_trip_through_text);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
