/* Texts of the lease object and of an engine's /orders, good and bad. */
#include "agent/orders_text.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

START_TEST (a_lease_survives_its_text)
{
  DpLease lease = { G_MAXUINT64, 1796345127184816ULL };
  char *text = dp_lease_format (&lease);
  DpLease back = { 0, 0 };
  ck_assert (dp_lease_parse (text, strlen (text), &back));
  ck_assert (back.holder == lease.holder && back.incarnation == lease.incarnation);
  for (gsize cut = 0; cut < strlen (text); cut++)
    ck_assert (!dp_lease_parse (text, cut, &back));
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

START_TEST (what_is_no_lease_is_refused)
{
  DpLease lease;
  const char *text = bad_leases[_i].text;
  ck_assert_msg (!dp_lease_parse (text, strlen (text), &lease), "taken: %s", text);
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

START_TEST (engines_states_are_read_or_refused)
{
  const StateCase *c = &states[_i];
  GHashTable *names = dp_order_names_new ();
  DpEngineState state = { 0 };
  ck_assert_int_eq (dp_target_state_parse (c->text, strlen (c->text), &state, names), c->ok);
  if (c->ok)
    {
      ck_assert_uint_eq (state.model_count, c->model_count);
      ck_assert_int_eq (state.is_loading, c->is_loading);
    }
  g_hash_table_unref (names);
}
END_TEST

START_TEST (an_order_names_the_whole_wanted_state)
{
  GHashTable *names = dp_order_names_new ();
  dp_order_name_add (names, "lipa-7b");
  dp_order_name_add (names, "hrast \"70b\"");
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
  tcase_add_test (tcase, a_lease_survives_its_text);
  tcase_add_loop_test (tcase, what_is_no_lease_is_refused, 0, G_N_ELEMENTS (bad_leases));
  tcase_add_loop_test (tcase, engines_states_are_read_or_refused, 0, G_N_ELEMENTS (states));
  tcase_add_test (tcase, an_order_names_the_whole_wanted_state);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
