/* Tests the logic of the stand-ins that other tests rely on: engine model, echo, object store,
 * effect check. */
#include "standins/echo.h"
#include "standins/engine_model.h"
#include "standins/load_report.h"
#include "standins/platform_store.h"

#include "common/prefix.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

typedef struct Delivery
{
  EngineModel *model;
  guint tokens;
} Delivery;

static gboolean
count_token (EngineRun *run, guint index)
{
  Delivery *delivery = run->user_data;
  delivery->tokens += 1;
  ck_assert_uint_eq (index + 1, run->tokens);
  return TRUE;
}

typedef struct ModelCase
{
  guint prompt_tokens;
  guint runs; /* concurrent */
  guint slots;
  DpUsec time;
  guint expected_tokens; /* total of all runs */
} ModelCase;

/* Rates in tokens/s: prefill 1000, decode 100 per stream and 200 in total. */
static const ModelCase model_cases[] = {
  { 500, 1, 8, 499 * DP_USEC_PER_MSEC, 0 }, /* still in prefill */
  { 500, 1, 8, 510 * DP_USEC_PER_MSEC, 2 }, /* first token at 500 ms, then 100 per second */
  { 10, 4, 8, DP_USEC_PER_SEC, 198 }, /* 4 streams at 50 per second; the last starts at 40 ms */
  { 10, 4, 1, DP_USEC_PER_SEC, 100 }, /* one slot: the others wait */
};

START_TEST (engine_shares_its_rates)
{
  const ModelCase *c = &model_cases[_i];
  EngineModel *model = engine_model_new (&(EngineModelOptions){
    .prefill_rate = 1000,
    .decode_rate = 200,
    .stream_rate = 100,
    .slots = c->slots,
    .on_token = count_token,
  });
  Delivery delivery = { .model = model };
  EngineRun runs[8] = { 0 };
  for (guint i = 0; i < c->runs; i++)
    {
      runs[i].prompt_tokens = c->prompt_tokens;
      runs[i].total_tokens = 1000;
      runs[i].user_data = &delivery;
      engine_model_add (model, &runs[i], 0);
    }
  for (DpUsec now = 0; now <= c->time; now += DP_USEC_PER_MSEC)
    engine_model_advance (model, now);
  ck_assert_uint_ge (delivery.tokens + 2, c->expected_tokens);
  ck_assert_uint_le (delivery.tokens, c->expected_tokens + 2);
  for (guint i = 0; i < c->runs; i++)
    engine_model_remove (model, &runs[i]);
  engine_model_free (model);
}
END_TEST

START_TEST (engine_counts_cached_and_wasted_prefill)
{
  const guint64 blocks[3] = { 11, 22, 33 };
  EngineModel *model = engine_model_new (
    &(EngineModelOptions){ .slots = 4, .cache_blocks = 2, .on_token = count_token });
  Delivery delivery = { .model = model };
  EngineRun first = { .prompt_tokens = 200,
                      .blocks = blocks,
                      .block_count = 2,
                      .total_tokens = 1,
                      .user_data = &delivery };
  engine_model_add (model, &first, 0);
  engine_model_remove (model, &first);
  EngineRun again = first;
  again.prefilled_tokens = 0;
  engine_model_add (model, &again, 1);
  ck_assert_uint_eq (again.cached_tokens, 128);
  engine_model_remove (model, &again);
  ck_assert_uint_eq (engine_model_stats (model)->prefill_computed, 200 + 200 - 128);
  ck_assert_uint_eq (engine_model_stats (model)->prefill_wasted_unfinished, 0);

  /* A third block evicts the oldest one; there is an event for each change. */
  guint64 event = engine_model_next_event (model);
  EngineRun third = { .prompt_tokens = 64,
                      .blocks = &blocks[2],
                      .block_count = 1,
                      .total_tokens = 5,
                      .user_data = &delivery };
  engine_model_add (model, &third, 2);
  ck_assert (!engine_model_event (model, event)->stored);
  ck_assert_uint_eq (engine_model_event (model, event)->hash, 11);
  ck_assert (engine_model_event (model, event + 1)->stored);
  ck_assert_uint_eq (engine_model_event (model, event + 1)->hash, 33);
  engine_model_free (model);
}
END_TEST

START_TEST (engine_counts_prefill_of_cancelled_runs)
{
  EngineModel *model = engine_model_new (
    &(EngineModelOptions){ .prefill_rate = 1000, .slots = 4, .on_token = count_token });
  EngineRun run = { .prompt_tokens = 500, .total_tokens = 5 };
  engine_model_add (model, &run, 0);
  engine_model_advance (model, 100 * DP_USEC_PER_MSEC);
  engine_model_remove (model, &run);
  ck_assert_uint_eq (engine_model_stats (model)->prefill_wasted_before_first, 100);
  ck_assert_uint_eq (engine_model_running (model), 0);
  engine_model_free (model);
}
END_TEST

START_TEST (echo_depends_on_the_request_alone)
{
  struct json_object *request = json_tokener_parse (
    "{\"max_tokens\":3,\"messages\":[{\"role\":\"system\",\"content\":\"rules\"},"
    "{\"role\":\"user\",\"content\":\"hello\"}]}");
  const char *message = echo_last_user_message (request);
  ck_assert_str_eq (message, "hello");
  ck_assert_uint_eq (echo_token_count (request, message), 3);
  GString *prompt = echo_prompt_text (request);
  ck_assert_str_eq (prompt->str, "rules\nhello\n");
  GString *whole = g_string_new (NULL);
  GString *parts = g_string_new (NULL);
  echo_append_tokens (whole, message, 0, 3);
  echo_append_tokens (parts, message, 0, 1);
  echo_append_tokens (parts, message, 1, 3);
  ck_assert_str_eq (whole->str, parts->str);
  ck_assert (g_str_has_prefix (whole->str, "echo:"));
  ck_assert (g_str_has_suffix (whole->str, " w1 w2"));
  g_string_free (whole, TRUE);
  g_string_free (parts, TRUE);
  g_string_free (prompt, TRUE);
  json_object_put (request);
}
END_TEST

START_TEST (store_writes_only_at_the_expected_version)
{
  Store *store = store_new ();
  GBytes *value = g_bytes_new_static ("a", 1);
  guint64 first = 0;
  guint64 second = 0;
  ck_assert_int_eq (store_put (store, "p/a", 0, value, &first), STORE_DONE);
  ck_assert_int_eq (store_put (store, "p/a", 0, value, &second), STORE_MISMATCH);
  ck_assert_int_eq (store_put (store, "p/a", first, value, &second), STORE_DONE);
  ck_assert_uint_gt (second, first);
  ck_assert_int_eq (store_put (store, "p/a", first, value, &second), STORE_MISMATCH);
  ck_assert_int_eq (store_remove (store, "p/a", first), STORE_MISMATCH);
  ck_assert_int_eq (store_remove (store, "p/a", second), STORE_DONE);
  ck_assert_int_eq (store_remove (store, "p/a", second), STORE_NOT_FOUND);
  guint64 third = 0;
  ck_assert_int_eq (store_put (store, "p/a", 0, value, &third), STORE_DONE);
  ck_assert_uint_gt (third, second);
  GList *paths = store_list (store, "p/");
  ck_assert_uint_eq (g_list_length (paths), 1);
  g_list_free (paths);
  g_bytes_unref (value);
  store_free (store);
}
END_TEST

/* A client's result for one idempotency key, and the service's count of effects. */
typedef struct EffectCase
{
  LoadVerdict verdict;
  const char *outcome;
  gint64 sent_at;
  const char *effects; /* body of GET /effects */
  guint violations;
} EffectCase;

static const EffectCase effect_cases[] = {
  { LOAD_RIGHT, "", 5, "{\"by_key\":{\"k\":1},\"first_at\":{\"k\":6}}", 0 },
  { LOAD_RIGHT, "", 5, "{\"by_key\":{\"k\":2},\"first_at\":{\"k\":6}}", 1 },
  { LOAD_RIGHT, "", 5, "{\"by_key\":{}}", 1 },
  { LOAD_PROBLEM, "not_run", 5, "{\"by_key\":{}}", 0 },
  { LOAD_PROBLEM, "not_run", 5, "{\"by_key\":{\"k\":1},\"first_at\":{\"k\":6}}", 1 },
  { LOAD_PROBLEM, "unknown", 5, "{\"by_key\":{}}", 0 },
  { LOAD_PROBLEM, "unknown", 5, "{\"by_key\":{\"k\":1},\"first_at\":{\"k\":6}}", 0 },
  { LOAD_PROBLEM, "unknown", 5, "{\"by_key\":{\"k\":2},\"first_at\":{\"k\":6}}", 1 },
  { LOAD_BROKEN, "", 5, "{\"by_key\":{\"k\":1},\"first_at\":{\"k\":6}}", 0 },
};

START_TEST (effects_are_checked_against_responses)
{
  static const char *const tiers[] = { "t" };
  const EffectCase *c = &effect_cases[_i];
  LoadReport *report = load_report_new (tiers, 1);
  LoadRequest request = { .kind = LOAD_BOOKING, .idempotency_key = (char *)"k" };
  LoadResult result = { .verdict = c->verdict, .sent_at = c->sent_at };
  g_strlcpy (result.outcome, c->outcome, sizeof result.outcome);
  load_report_add (report, &request, &result);
  GPtrArray *effects = g_ptr_array_new ();
  g_ptr_array_add (effects, (gpointer)c->effects);
  GString *out = g_string_new (NULL);
  ck_assert_uint_eq (load_report_check_effects (report, effects, out), c->violations);
  g_string_free (out, TRUE);
  g_ptr_array_unref (effects);
  load_report_free (report);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standins");
  TCase *tcase = tcase_create ("standins");
  tcase_add_loop_test (tcase, engine_shares_its_rates, 0, G_N_ELEMENTS (model_cases));
  tcase_add_test (tcase, engine_counts_cached_and_wasted_prefill);
  tcase_add_test (tcase, engine_counts_prefill_of_cancelled_runs);
  tcase_add_test (tcase, echo_depends_on_the_request_alone);
  tcase_add_test (tcase, store_writes_only_at_the_expected_version);
  tcase_add_loop_test (tcase, effects_are_checked_against_responses, 0,
                       G_N_ELEMENTS (effect_cases));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
