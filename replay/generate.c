/* Seeded generator of traces modelled on two users' workloads. */
#include "replay/trace.h"

#include <math.h>
#include <string.h>

/* Workload of one tier. Prompt and output lengths are log-normally distributed. */
typedef struct TierLoad
{
  const char *tier;
  double work_fraction; /* of the engines' capacity at an overload of 1 */
  double prompt;        /* median tokens without the shared prefix */
  double log_sigma;     /* standard deviation of the logarithm of lengths */
  double output;        /* median tokens */
  double timeout;       /* seconds */
  guint prefixes;       /* number of shared prefixes; 0: none */
  guint prefix_tokens;
  gboolean burst; /* arrival rate falls from the start on */
} TierLoad;

typedef struct DataCentreSpec
{
  const char *data_centre;
  guint vms;
  guint engines;
} DataCentreSpec;

typedef struct TraceSpec
{
  const char *name;
  double one_way;
  const DataCentreSpec *data_centres;
  guint data_centre_count;
  const TierLoad *loads;
  guint load_count;
  const DpTraceWorkspace *workspaces;
  guint workspace_count;
} TraceSpec;

static const DataCentreSpec zadruga_data_centres[]
  = { { "lj-a", 4, 5 }, { "lj-b", 4, 5 }, { "kr-a", 3, 5 }, { "nm-a", 3, 5 } };
static const DataCentreSpec mesa_data_centres[]
  = { { "bog-norte", 5, 7 }, { "bog-centro", 5, 7 }, { "bog-sur", 4, 6 } };

/* Crew requests in a morning burst, dispatcher requests, long complaint letters, rota notes. */
static const TierLoad zadruga_loads[] = {
  { "crew", 0.30, 40, 0.4, 40, 6, 1, 128, TRUE },
  { "dispatch", 0.20, 500, 0.5, 120, 20, 4, 256, FALSE },
  { "letters", 0.30, 4000, 0.6, 250, 60, 0, 0, FALSE },
  { "rota", 0.20, 1000, 0.4, 500, 90, 2, 512, FALSE },
};

/* Menu queries in a burst before noon, orders, kitchen plans and reports. The long menus are
 * shared prefixes. */
static const TierLoad mesa_loads[] = {
  { "menu", 0.30, 40, 0.4, 50, 6, 12, 1536, TRUE },
  { "coordinator", 0.20, 300, 0.5, 120, 20, 12, 1536, FALSE },
  { "kitchen", 0.30, 3000, 0.6, 300, 60, 3, 1024, FALSE },
  { "reports", 0.20, 1500, 0.4, 400, 90, 3, 512, FALSE },
};

static const DpTraceWorkspace zadruga_workspaces[]
  = { { "crews", 3 }, { "office", 2 }, { "members", 1 }, { "bohinj", 1 }, { "kranj", 1 } };
static const DpTraceWorkspace mesa_workspaces[]
  = { { "norte", 2 }, { "centro", 2 }, { "sur", 1 }, { "corporate", 1 }, { "events", 1 } };

static const TraceSpec specs[] = {
  { "zadruga-first-light", 0.0005, zadruga_data_centres, G_N_ELEMENTS (zadruga_data_centres),
    zadruga_loads, G_N_ELEMENTS (zadruga_loads), zadruga_workspaces,
    G_N_ELEMENTS (zadruga_workspaces) },
  { "mesa-before-noon", 0.0015, mesa_data_centres, G_N_ELEMENTS (mesa_data_centres), mesa_loads,
    G_N_ELEMENTS (mesa_loads), mesa_workspaces, G_N_ELEMENTS (mesa_workspaces) },
};

/* A newer and an older generation, alternating within a data centre. */
static const DpTraceEngine engine_types[2] = {
  { .window = 16, .prefill = 3000, .decode = 600, .stream = 40, .kv_tokens = 40000 },
  { .window = 8, .prefill = 1500, .decode = 300, .stream = 25, .kv_tokens = 20000 },
};

/* Time between cluster start and the earliest request. */
#define WARM_UP_SECONDS 1.0
#define LOAD_LAG_SECONDS 1.0
#define SLOW_ENGINE_FACTOR 8
/* Arrival rate at the start of a burst relative to its end. */
#define BURST_START_RATIO 3.0

static const TraceSpec *
find_spec (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (specs); i++)
    {
      if (strcmp (specs[i].name, name) == 0)
        return &specs[i];
    }
  return NULL;
}

static void
add_data_centres (DpTrace *trace, const TraceSpec *spec)
{
  for (guint p = 0; p < spec->data_centre_count; p++)
    {
      const DataCentreSpec *dc = &spec->data_centres[p];
      for (guint i = 0; i < dc->vms; i++)
        {
          DpTraceVm vm;
          g_snprintf (vm.name, sizeof vm.name, "%s-vm%u", dc->data_centre, i);
          g_strlcpy (vm.data_centre, dc->data_centre, sizeof vm.data_centre);
          g_array_append_val (trace->vms, vm);
        }
      for (guint i = 0; i < dc->engines; i++)
        {
          DpTraceEngine engine = engine_types[i % 2];
          g_snprintf (engine.name, sizeof engine.name, "%s-e%u", dc->data_centre, i);
          g_strlcpy (engine.data_centre, dc->data_centre, sizeof engine.data_centre);
          g_array_append_val (trace->engines, engine);
        }
    }
}

static void
add_names (DpTrace *trace, const TraceSpec *spec)
{
  for (guint i = 0; i < spec->load_count; i++)
    {
      DpTraceTier tier;
      g_strlcpy (tier.name, spec->loads[i].tier, sizeof tier.name);
      g_array_append_val (trace->tiers, tier);
    }
  if (spec->workspace_count > 0)
    g_array_append_vals (trace->workspaces, spec->workspaces, spec->workspace_count);
}

/* Slows one engine down after a third of the duration and crashes an owner after half. */
static void
add_faults (DpTrace *trace, GRand *rand, double seconds)
{
  DpTraceFault slow
    = { .at = seconds / 3, .type = DP_TRACE_FAULT_SLOW, .factor = SLOW_ENGINE_FACTOR };
  slow.subject = (guint)g_rand_int_range (rand, 0, (gint32)trace->engines->len);
  g_array_append_val (trace->faults, slow);
  DpTraceFault kill
    = { .at = seconds / 2, .type = DP_TRACE_FAULT_KILL, .subject = DP_TRACE_BUSIEST_OWNER };
  g_array_append_val (trace->faults, kill);
}

/* Requests of this load that all engines together can serve per second without prefix cache. */
static double
requests_per_second (const DpTrace *trace, const TierLoad *load)
{
  double mean = exp (load->log_sigma * load->log_sigma / 2);
  double rate = 0;
  for (guint i = 0; i < trace->engines->len; i++)
    {
      const DpTraceEngine *engine = &g_array_index (trace->engines, DpTraceEngine, i);
      double prompt = load->prompt * mean;
      double seconds = prompt / engine->prefill + load->output * mean / engine->decode;
      rate += 1 / seconds;
    }
  return rate;
}

/* Returns a standard normal variate (Box-Muller transform). */
static double
random_normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

static guint
random_length (GRand *rand, double median, double log_sigma, guint max)
{
  double tokens = median * exp (log_sigma * random_normal (rand));
  return (guint)CLAMP (tokens, 4, (double)max);
}

/* Returns an arrival time by rejection sampling. The density is uniform, or falls linearly in a
 * burst. */
static double
random_arrival (GRand *rand, const TierLoad *load, double seconds)
{
  for (;;)
    {
      double at = g_rand_double (rand);
      double density = load->burst ? BURST_START_RATIO - (BURST_START_RATIO - 1) * at : 1;
      double max = load->burst ? BURST_START_RATIO : 1;
      if (g_rand_double (rand) * max <= density)
        return at * seconds;
    }
}

static void
add_requests (
  DpTrace *trace, GRand *rand, guint tier, const TierLoad *load, const DpTraceOptions *options)
{
  double count = requests_per_second (trace, load) * load->work_fraction * options->overload
                 * options->seconds;
  for (guint i = 0; i < (guint)count; i++)
    {
      DpTraceRequest request = { .tier = tier, .timeout = load->timeout };
      request.at = WARM_UP_SECONDS + random_arrival (rand, load, options->seconds);
      request.vm = (guint)g_rand_int_range (rand, 0, (gint32)trace->vms->len);
      request.workspace = (guint)g_rand_int_range (rand, 0, (gint32)trace->workspaces->len);
      request.prompt = random_length (rand, load->prompt, load->log_sigma, 12000);
      request.output = random_length (rand, load->output, load->log_sigma, 2000);
      request.output_bound = (guint)(load->output * 4);
      request.output = MIN (request.output, request.output_bound);
      if (load->prefixes > 0)
        {
          guint which = (guint)g_rand_int_range (rand, 0, (gint32)load->prefixes);
          request.prefix = 1 + which + 100 * load->prefix_tokens;
          request.prefix_tokens = load->prefix_tokens;
          request.prompt += load->prefix_tokens;
        }
      g_array_append_val (trace->requests, request);
    }
}

static int
compare_requests (gconstpointer a, gconstpointer b)
{
  double left = ((const DpTraceRequest *)a)->at;
  double right = ((const DpTraceRequest *)b)->at;
  return left < right ? -1 : left > right;
}

DpTrace *
dp_trace_generate (const DpTraceOptions *options)
{
  const TraceSpec *spec = find_spec (options->name);
  if (spec == NULL)
    return NULL;
  DpTrace *trace = dp_trace_new ();
  GRand *rand = g_rand_new_with_seed ((guint32)options->seed);
  g_strlcpy (trace->name, spec->name, sizeof trace->name);
  trace->seed = options->seed;
  trace->one_way = spec->one_way;
  trace->load_lag = LOAD_LAG_SECONDS;
  add_data_centres (trace, spec);
  add_names (trace, spec);
  add_faults (trace, rand, options->seconds);
  for (guint i = 0; i < spec->load_count; i++)
    add_requests (trace, rand, i, &spec->loads[i], options);
  g_array_sort (trace->requests, compare_requests);
  g_rand_free (rand);
  return trace;
}
