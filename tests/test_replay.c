/* Replays generated and committed traces and checks goodput, overcommit and determinism. */
#include "replay/replay.h"

#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const trace_names[] = { "zadruga-first-light", "mesa-before-noon" };

static DpTrace *
generate (const char *name, guint64 seed, double seconds)
{
  return dp_trace_generate (
    &(DpTraceOptions){ .name = name, .seed = seed, .seconds = seconds, .overload = 2 });
}

/* Goal: at 2x overload the top tier's goodput is at least 99% of a run of that tier alone. */
START_TEST (top_tier_keeps_its_goodput_under_overload)
{
  DpTrace *trace = generate (trace_names[_i % 2], 1 + (guint64)_i / 2, 60);
  DpTrace *top = dp_trace_filter_tier (trace, 0);
  DpReplayResult alone, all;
  dp_replay_run (top, DP_REPLAY_PRODUCT, &alone);
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &all);
  ck_assert_msg (all.tiers[0].good * 100.0 >= alone.tiers[0].good * 99.0,
                 "%s: %u good in the top tier, %u when it runs alone", trace->name,
                 all.tiers[0].good, alone.tiers[0].good);
  dp_trace_unref (top);
  dp_trace_unref (trace);
}
END_TEST

START_TEST (same_trace_gives_same_result)
{
  DpTrace *trace = generate (trace_names[_i], 3, 5);
  DpReplayResult first, second;
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &first);
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &second);
  ck_assert_mem_eq (&first, &second, sizeof first);
  dp_trace_unref (trace);
}
END_TEST

START_TEST (trace_round_trips_through_file)
{
  DpTrace *trace = generate (trace_names[_i], 4, 2);
  GString *text = g_string_new (NULL);
  dp_trace_write (trace, text);
  char *file = NULL;
  int fd = g_file_open_tmp ("trace-XXXXXX", &file, NULL);
  ck_assert_int_ge (fd, 0);
  ck_assert (g_file_set_contents (file, text->str, (gssize)text->len, NULL));
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpTrace *read_back = dp_trace_read (file, diagnostics);
  ck_assert_ptr_nonnull (read_back);
  GString *rewritten = g_string_new (NULL);
  dp_trace_write (read_back, rewritten);
  ck_assert_str_eq (text->str, rewritten->str);
  g_unlink (file);
  g_close (fd, NULL);
  g_free (file);
  g_string_free (text, TRUE);
  g_string_free (rewritten, TRUE);
  dp_diagnostics_unref (diagnostics);
  dp_trace_unref (trace);
  dp_trace_unref (read_back);
}
END_TEST

START_TEST (all_requests_of_committed_traces_end)
{
  char *file = g_strdup_printf ("%s/%s.jsonl", DP_TRACES_FOLDER, trace_names[_i]);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpTrace *trace = dp_trace_read (file, diagnostics);
  ck_assert_ptr_nonnull (trace);
  DpReplayResult result;
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &result);
  ck_assert_uint_eq (result.unanswered, 0);
  for (guint i = 0; i < result.tier_count; i++)
    {
      const DpReplayTier *tier = &result.tiers[i];
      guint ended = tier->good + tier->late + tier->refused + tier->broken;
      ck_assert_uint_gt (tier->offered, 0);
      ck_assert_uint_eq (ended, tier->offered);
    }
  dp_trace_unref (trace);
  dp_diagnostics_unref (diagnostics);
  g_free (file);
}
END_TEST

START_TEST (invalid_lines_are_reported)
{
  char *file = NULL;
  int fd = g_file_open_tmp ("trace-XXXXXX", &file, NULL);
  ck_assert_int_ge (fd, 0);
  ck_assert (g_file_set_contents (file, "{\"trace\":\"x\"}\nnonsense\n", -1, NULL));
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  ck_assert_ptr_null (dp_trace_read (file, diagnostics));
  ck_assert_uint_eq (dp_diagnostics_count (diagnostics), 2);
  ck_assert_uint_eq (dp_diagnostics_get (diagnostics, 1)->line, 2);
  g_unlink (file);
  g_close (fd, NULL);
  g_free (file);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

/* VM faults, added to the slow engine and the crashed owner of the trace. */
typedef struct FaultCase
{
  DpTraceFaultType type;
  double seconds;
} FaultCase;

static const FaultCase fault_cases[] = {
  { DP_TRACE_FAULT_PAUSE, 0.8 }, { DP_TRACE_FAULT_PAUSE, 5 }, { DP_TRACE_FAULT_PAUSE, 15 },
  { DP_TRACE_FAULT_KILL, 0 },    { DP_TRACE_FAULT_LEAVE, 0 },
};

/* Guards against a new owner that refuses requests, or that grants slots still in use by
 * requests of the previous owner: load stays within twice the window and every request ends. */
START_TEST (owner_faults_overcommit_engines_at_most_twice)
{
  const FaultCase *c = &fault_cases[_i];
  DpTrace *trace = generate (trace_names[0], 5 + (guint64)_i, 15);
  DpTraceFault fault = { .at = 4, .type = c->type, .seconds = c->seconds };
  fault.subject = DP_TRACE_BUSIEST_OWNER;
  g_array_append_val (trace->faults, fault);
  DpReplayResult result;
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &result);
  ck_assert_uint_eq (result.unanswered, 0);
  ck_assert_uint_eq (result.refusals[DP_REASON_NO_OWNER], 0);
  ck_assert_msg (result.max_window_ratio <= 2.0, "an engine held %.2f times its window",
                 result.max_window_ratio);
  dp_trace_unref (trace);
}
END_TEST

/* Moves all VMs and engines to one data centre, so that there is only one group and requests
 * cannot fall back to another. */
static void
merge_data_centres (DpTrace *trace)
{
  for (guint i = 0; i < trace->vms->len; i++)
    g_strlcpy (g_array_index (trace->vms, DpTraceVm, i).data_centre, "one", 32);
  for (guint i = 0; i < trace->engines->len; i++)
    g_strlcpy (g_array_index (trace->engines, DpTraceEngine, i).data_centre, "one", 32);
}

START_TEST (queue_moves_to_next_owner_of_group)
{
  DpTrace *trace = generate (trace_names[0], 9, 15);
  merge_data_centres (trace);
  DpTraceFault fault
    = { .at = 6, .type = DP_TRACE_FAULT_LEAVE, .subject = DP_TRACE_BUSIEST_OWNER };
  g_array_set_size (trace->faults, 0);
  g_array_append_val (trace->faults, fault);
  DpReplayResult result;
  dp_replay_run (trace, DP_REPLAY_PRODUCT, &result);
  ck_assert_uint_eq (result.unanswered, 0);
  ck_assert_uint_eq (result.refusals[DP_REASON_NO_OWNER], 0);
  ck_assert_msg (result.max_window_ratio <= 2.0, "an engine held %.2f times its window",
                 result.max_window_ratio);
  dp_trace_unref (trace);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replay");
  TCase *tcase = tcase_create ("replay");
  tcase_add_loop_test (tcase, top_tier_keeps_its_goodput_under_overload, 0, 4);
  tcase_add_loop_test (tcase, same_trace_gives_same_result, 0, 2);
  tcase_add_loop_test (tcase, trace_round_trips_through_file, 0, 2);
  tcase_add_loop_test (tcase, all_requests_of_committed_traces_end, 0, 2);
  tcase_add_test (tcase, invalid_lines_are_reported);
  tcase_add_loop_test (tcase, owner_faults_overcommit_engines_at_most_twice, 0,
                       G_N_ELEMENTS (fault_cases));
  tcase_add_test (tcase, queue_moves_to_next_owner_of_group);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
