/* Command line of the replay and its printed tables. */
#include "replay/replay.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS_MAX 64
#define COST_REQUESTS 200000

enum
{
  OPTION_COST = 1000,
};

typedef struct Settings
{
  const char *generate;
  guint64 seed;
  guint seed_count;
  double seconds;
  double overload;
  int design; /* -1: all */
  gboolean write_trace;
  gboolean measure_cost;
  gboolean verbose;
  GPtrArray *files;
} Settings;

/* Sum, minimum and maximum of a value over several runs. */
typedef struct RunStats
{
  double sum;
  double min;
  double max;
  guint count;
} RunStats;

static void
run_stats_add (RunStats *stats, double value)
{
  stats->min = stats->count == 0 ? value : MIN (stats->min, value);
  stats->max = stats->count == 0 ? value : MAX (stats->max, value);
  stats->sum += value;
  stats->count += 1;
}

static void
run_stats_print (const RunStats *stats)
{
  double mean = stats->count > 0 ? stats->sum / stats->count : 0;
  printf (" %.2f [%.2f, %.2f] |", mean, stats->min, stats->max);
}

static double
to_percent (double part, double whole)
{
  return whole > 0 ? 100 * part / whole : 0;
}

typedef struct DesignSummary
{
  RunStats good[DP_TIERS_MAX];
  RunStats top_vs_alone; /* top-tier goodput relative to a run of that tier alone */
  RunStats wasted;
  RunStats lost;
  RunStats repeated;
  guint refusals[DP_REASON_COUNT];
} DesignSummary;

static void
add_run (DesignSummary *summary, const DpReplayResult *run, const DpReplayResult *alone)
{
  for (guint i = 0; i < run->tier_count; i++)
    run_stats_add (&summary->good[i], to_percent (run->tiers[i].good, run->tiers[i].offered));
  run_stats_add (&summary->top_vs_alone, to_percent (run->tiers[0].good, alone->tiers[0].good));
  run_stats_add (&summary->wasted, to_percent (run->prefill_wasted, run->prefill_computed));
  run_stats_add (&summary->lost, to_percent (run->prefill_lost, run->prefill_computed));
  run_stats_add (&summary->repeated, to_percent (run->prefill_repeated, run->prefill_computed));
  for (guint i = 0; i < DP_REASON_COUNT; i++)
    summary->refusals[i] += run->refusals[i];
}

static void
print_summary (const DesignSummary *summary, DpReplayDesign design, guint tiers)
{
  printf ("| %s |", dp_replay_design_name (design));
  for (guint i = 0; i < tiers; i++)
    run_stats_print (&summary->good[i]);
  run_stats_print (&summary->top_vs_alone);
  run_stats_print (&summary->wasted);
  run_stats_print (&summary->lost);
  run_stats_print (&summary->repeated);
  const char *separator = " ";
  for (guint i = 0; i < DP_REASON_COUNT; i++)
    {
      if (summary->refusals[i] == 0)
        continue;
      printf ("%s%s %u", separator, dp_reason_name ((DpReason)i), summary->refusals[i]);
      separator = ", ";
    }
  printf (" |\n");
}

static void
print_table_header (const DpTrace *trace, guint runs)
{
  printf ("\n%s, %u requests in the first run, %u runs; percent, mean [min, max]\n\n",
          trace->name, trace->requests->len, runs);
  printf ("| design |");
  for (guint i = 0; i < trace->tiers->len; i++)
    printf (" goodput %s |", g_array_index (trace->tiers, DpTraceTier, i).name);
  printf (" top tier / alone | prefill wasted | lost with crashed VMs | prefill repeated | "
          "refusals (all runs) |\n|");
  for (guint i = 0; i < trace->tiers->len + 6; i++)
    printf (" --- |");
  printf ("\n");
}

static void
print_run (const DpReplayResult *run, const DpTrace *trace, const char *design)
{
  for (guint i = 0; i < run->tier_count; i++)
    {
      const DpReplayTier *tier = &run->tiers[i];
      printf ("%s seed %" G_GUINT64_FORMAT
              " %s: offered %u good %u late %u refused %u broken %u\n",
              design, trace->seed, g_array_index (trace->tiers, DpTraceTier, i).name,
              tier->offered, tier->good, tier->late, tier->refused, tier->broken);
    }
  printf ("%s seed %" G_GUINT64_FORMAT
          ": prefill computed %.0f wasted %.0f lost %.0f repeated %.0f\n",
          design, trace->seed, run->prefill_computed, run->prefill_wasted, run->prefill_lost,
          run->prefill_repeated);
}

static void
replay_traces (const Settings *settings, GPtrArray *traces)
{
  DesignSummary *summaries = g_new0 (DesignSummary, DP_REPLAY_DESIGN_COUNT);
  const DpTrace *first = g_ptr_array_index (traces, 0);
  print_table_header (first, traces->len);
  for (guint i = 0; i < traces->len; i++)
    {
      const DpTrace *trace = g_ptr_array_index (traces, i);
      DpTrace *top = dp_trace_filter_tier (trace, 0);
      DpReplayResult alone;
      dp_replay_run (top, DP_REPLAY_PRODUCT, &alone);
      if (settings->verbose)
        print_run (&alone, top, "top tier alone");
      for (int design = 0; design < DP_REPLAY_DESIGN_COUNT; design++)
        {
          if (settings->design >= 0 && settings->design != design)
            continue;
          DpReplayResult run;
          dp_replay_run (trace, (DpReplayDesign)design, &run);
          add_run (&summaries[design], &run, &alone);
          if (settings->verbose)
            print_run (&run, trace, dp_replay_design_name ((DpReplayDesign)design));
        }
      dp_trace_unref (top);
    }
  for (int design = 0; design < DP_REPLAY_DESIGN_COUNT; design++)
    {
      if (settings->design < 0 || settings->design == design)
        print_summary (&summaries[design], (DpReplayDesign)design, first->tiers->len);
    }
  g_free (summaries);
}

static void
print_costs (void)
{
  static const guint sizes[] = { 20, 200, 2000, 10000 };
  printf ("| engines known | microseconds per request |\n| --- | --- |\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    printf ("| %u | %.2f |\n", sizes[i], dp_replay_decision_cost (sizes[i], COST_REQUESTS));
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Settings *settings = state->input;
  switch (key)
    {
    case 'g':
      settings->generate = arg;
      break;
    case 's':
      settings->seed = g_ascii_strtoull (arg, NULL, 10);
      break;
    case 'n':
      settings->seed_count = (guint)CLAMP (atoi (arg), 1, SEEDS_MAX);
      break;
    case 't':
      settings->seconds = g_ascii_strtod (arg, NULL);
      break;
    case 'o':
      settings->overload = g_ascii_strtod (arg, NULL);
      break;
    case 'd':
      for (int i = 0; i < DP_REPLAY_DESIGN_COUNT; i++)
        {
          if (g_strcmp0 (arg, dp_replay_design_name ((DpReplayDesign)i)) == 0)
            settings->design = i;
        }
      if (settings->design < 0)
        argp_error (state, "unknown design %s", arg);
      break;
    case 'w':
      settings->write_trace = TRUE;
      break;
    case 'v':
      settings->verbose = TRUE;
      break;
    case OPTION_COST:
      settings->measure_cost = TRUE;
      break;
    case ARGP_KEY_ARG:
      g_ptr_array_add (settings->files, arg);
      break;
    case ARGP_KEY_END:
      if (settings->files->len == 0 && settings->generate == NULL && !settings->measure_cost)
        argp_usage (state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp_option options[] = {
  { "generate", 'g', "NAME", 0, "Generate a trace: zadruga-first-light or mesa-before-noon",
    0 },
  { "seed", 's', "N", 0, "First seed of generated traces (default 1)", 0 },
  { "seeds", 'n', "N", 0, "Number of seeds, one trace each (default 1)", 0 },
  { "seconds", 't', "N", 0, "Duration of arrivals in seconds (default 30)", 0 },
  { "overload", 'o', "X", 0, "Offered load relative to engine capacity (default 2)", 0 },
  { "design", 'd', "NAME", 0,
    "Run one design only: product, queue-per-engine, round-robin or two-choices", 0 },
  { "write", 'w', NULL, 0, "Write the generated trace instead of replaying it", 0 },
  { "verbose", 'v', NULL, 0, "Print counts by tier for each run", 0 },
  { "cost", OPTION_COST, NULL, 0, "Measure the time of the scheduling decisions per request",
    0 },
  { 0 },
};

static DpTrace *
generate (const Settings *settings, guint64 seed)
{
  return dp_trace_generate (&(DpTraceOptions){ .name = settings->generate,
                                               .seed = seed,
                                               .seconds = settings->seconds,
                                               .overload = settings->overload });
}

/* Reads or generates the requested traces. On failure, prints diagnostics and returns FALSE. */
static gboolean
collect_traces (const Settings *settings, GPtrArray *traces)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  for (guint i = 0; i < settings->files->len; i++)
    {
      DpTrace *trace = dp_trace_read (g_ptr_array_index (settings->files, i), diagnostics);
      if (trace != NULL)
        g_ptr_array_add (traces, trace);
    }
  for (guint i = 0; settings->generate != NULL && i < settings->seed_count; i++)
    {
      DpTrace *trace = generate (settings, settings->seed + i);
      if (trace != NULL)
        g_ptr_array_add (traces, trace);
      else
        dp_diagnostics_add (diagnostics, NULL, 0, NULL, "unknown trace %s", settings->generate);
    }
  gboolean good = dp_diagnostics_count (diagnostics) == 0;
  char *text = dp_diagnostics_format (diagnostics);
  fputs (text, stderr);
  g_free (text);
  dp_diagnostics_unref (diagnostics);
  return good;
}

static void
write_trace (const DpTrace *trace)
{
  GString *out = g_string_new (NULL);
  dp_trace_write (trace, out);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
}

int
dp_replay_main (int argc, char **argv)
{
  Settings settings
    = { .seed = 1, .seed_count = 1, .seconds = 30, .overload = 2, .design = -1 };
  settings.files = g_ptr_array_new ();
  const struct argp argp
    = { options,
        parse_option,
        "[TRACE...]",
        "Replays traces on the production cores in virtual time and prints goodput by tier, "
        "prefill computed and wasted, and refusals by reason.",
        NULL,
        NULL,
        NULL };
  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  GPtrArray *traces = g_ptr_array_new_with_free_func ((GDestroyNotify)dp_trace_unref);
  gboolean good = collect_traces (&settings, traces);
  if (good && settings.measure_cost)
    print_costs ();
  if (good && settings.write_trace && traces->len > 0)
    write_trace (g_ptr_array_index (traces, 0));
  else if (good && traces->len > 0)
    replay_traces (&settings, traces);
  g_ptr_array_unref (traces);
  g_ptr_array_unref (settings.files);
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
