/* Formatting and parsing of the lease object and of an engine's /orders, valid and malformed.
 */
#include "agent/orders_text.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

START_TEST (lease_format_parse_round_trip)
{
  DpLease lease = { G_MAXUINT64, 1796345127184816ULL };
  char *text = dp_lease_format (&lease);
  DpLease parsed = { 0, 0 };
  ck_assert (dp_lease_parse (text, strlen (text), &parsed));
  ck_assert (parsed.holder == lease.holder && parsed.incarnation == lease.incarnation);
  for (gsize cut = 0; cut < strlen (text); cut++)
    ck_assert (!dp_lease_parse (text, cut, &parsed));
  g_free (text);
}
END_TEST

typedef struct BadLease
{
  const char *text;
} BadLease;

static const BadLease bad_leases[] = {
  { "" },
  { "null" },
  { "[]" },
  { "{}" },
  { "{\"holder\":\"1\"}" },
  { "{\"holder\":1,\"incarnation\":2}" },
  { "{\"holder\":\"1g\",\"incarnation\":\"2\"}" },
  { "{\"holder\":\"11111111111111111\",\"incarnation\":\"2\"}" },
  { "{\"holder\":\"1\",\"incarnation\":\"2\"} x" },
};

START_TEST (malformed_leases_are_rejected)
{
  DpLease lease;
  const char *text = bad_leases[_i].text;
  ck_assert_msg (!dp_lease_parse (text, strlen (text), &lease), "accepted: %s", text);
}
END_TEST

typedef struct StateCase
{
  const char *text;
  gboolean ok;
  guint model_count;
  gboolean is_loading;
} StateCase;

static const StateCase states[] = {
  { "{}", TRUE, 0, FALSE },
  { "{\"models\":[\"a\",\"b\"],\"role\":\"mixed\",\"newer\":{}}", TRUE, 2, FALSE },
  { "{\"models\":[\"a\"],\"loading\":[\"b\"]}", TRUE, 1, TRUE },
  { "{\"models\":[\"a\"],\"loading\":[]}", TRUE, 1, FALSE },
  { "{\"models\":\"a\"}", FALSE, 0, FALSE },
  { "{\"models\":[1]}", FALSE, 0, FALSE },
  { "{\"models\":[\"a\"", FALSE, 0, FALSE },
  { "{\"models\":[[[[[[[[\"a\"]]]]]]]]}", FALSE, 0, FALSE },
  { "{\"models\":[\"0\",\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\",\"10\",\"11\","
    "\"12\",\"13\",\"14\",\"15\",\"16\",\"17\"]}",
    TRUE, DP_ORDER_MODELS_MAX, FALSE },
};

START_TEST (engine_states_are_parsed_or_rejected)
{
  const StateCase *c = &states[_i];
  GHashTable *names = dp_model_names_new ();
  DpEngineState state = { 0 };
  ck_assert_int_eq (dp_engine_state_parse (c->text, strlen (c->text), &state, names), c->ok);
  if (c->ok)
    {
      ck_assert_uint_eq (state.model_count, c->model_count);
      ck_assert_int_eq (state.is_loading, c->is_loading);
    }
  g_hash_table_unref (names);
}
END_TEST

START_TEST (order_lists_all_models)
{
  GHashTable *names = dp_model_names_new ();
  dp_model_names_add (names, "lipa-7b");
  dp_model_names_add (names, "hrast \"70b\"");
  DpOrder order = { .fence = 42, .model_count = 2 };
  order.models[0] = dp_name ("lipa-7b");
  order.models[1] = dp_name ("hrast \"70b\"");
  char *text = dp_order_format (&order, names);
  ck_assert_str_eq (
    text, "{\"fence\":42,\"models\":[\"lipa-7b\",\"hrast \\\"70b\\\"\"],\"role\":\"mixed\"}");
  g_free (text);
  g_hash_table_unref (names);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("orders_text");
  TCase *tcase = tcase_create ("orders_text");
  tcase_add_test (tcase, lease_format_parse_round_trip);
  tcase_add_loop_test (tcase, malformed_leases_are_rejected, 0, G_N_ELEMENTS (bad_leases));
  tcase_add_loop_test (tcase, engine_states_are_parsed_or_rejected, 0, G_N_ELEMENTS (states));
  tcase_add_test (tcase, order_lists_all_models);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
