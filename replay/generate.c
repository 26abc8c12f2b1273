/* Seeded generator of the two users' traces. */
#include "replay/trace.h"

#include <math.h>
#include <string.h>

/* Requests of one tier. Lengths are log-normal around their medians. */
typedef struct Load
{
  const char *tier;
  double share;  /* of the engines' work, at an overload of 1 */
  double prompt; /* median tokens, beyond the shared prefix */
  double spread; /* of the logarithm */
  double output;
  double timeout; /* seconds */
  guint prefixes; /* how many shared prefixes; 0: none */
  guint prefix_tokens;
  gboolean burst; /* arrives mostly at the start */
} Load;

typedef struct Place
{
  const char *data_centre;
  guint vms;
  guint engines;
} Place;

typedef struct Recipe
{
  const char *name;
  double one_way;
  const Place *places;
  guint place_count;
  const Load *loads;
  guint load_count;
  const DpTraceWorkspace *workspaces;
  guint workspace_count;
} Recipe;

static const Place zadruga_places[]
  = { { "lj-a", 4, 5 }, { "lj-b", 4, 5 }, { "kr-a", 3, 5 }, { "nm-a", 3, 5 } };
static const Place mesa_places[]
  = { { "bog-norte", 5, 7 }, { "bog-centro", 5, 7 }, { "bog-sur", 4, 6 } };

/* Crews at first light; dispatchers; long complaint letters; rota notes. */
static const Load zadruga_loads[] = {
  { "crew", 0.30, 40, 0.4, 40, 6, 1, 128, TRUE },
  { "dispatch", 0.20, 500, 0.5, 120, 20, 4, 256, FALSE },
  { "letters", 0.30, 4000, 0.6, 250, 60, 0, 0, FALSE },
  { "rota", 0.20, 1000, 0.4, 500, 90, 2, 512, FALSE },
};

/* Menu queries before noon; orders; kitchen plans; reports. The long menus repeat. */
static const Load mesa_loads[] = {
  { "menu", 0.30, 40, 0.4, 50, 6, 12, 1536, TRUE },
  { "coordinator", 0.20, 300, 0.5, 120, 20, 12, 1536, FALSE },
  { "kitchen", 0.30, 3000, 0.6, 300, 60, 3, 1024, FALSE },
  { "reports", 0.20, 1500, 0.4, 400, 90, 3, 512, FALSE },
};

static const DpTraceWorkspace zadruga_workspaces[]
  = { { "crews", 3 }, { "office", 2 }, { "members", 1 }, { "bohinj", 1 }, { "kranj", 1 } };
static const DpTraceWorkspace mesa_workspaces[]
  = { { "norte", 2 }, { "centro", 2 }, { "sur", 1 }, { "corporate", 1 }, { "events", 1 } };

static const Recipe recipes[] = {
  { "zadruga-first-light", 0.0005, zadruga_places, G_N_ELEMENTS (zadruga_places), zadruga_loads,
    G_N_ELEMENTS (zadruga_loads), zadruga_workspaces, G_N_ELEMENTS (zadruga_workspaces) },
  { "mesa-before-noon", 0.0015, mesa_places, G_N_ELEMENTS (mesa_places), mesa_loads,
    G_N_ELEMENTS (mesa_loads), mesa_workspaces, G_N_ELEMENTS (mesa_workspaces) },
};

/* Two generations of engines. */
static const DpTraceEngine generations[2] = {
  { .window = 16, .prefill = 3000, .decode = 600, .stream = 40, .kv_tokens = 40000 },
  { .window = 8, .prefill = 1500, .decode = 300, .stream = 25, .kv_tokens = 20000 },
};

/* The cluster is up for this long before the first request. */
#define WARM_UP_SECONDS 1.0
#define LOAD_LAG_SECONDS 1.0
#define STRAGGLER_FACTOR 8
/* A burst brings this much more at its start than at its end. */
#define BURST_SLOPE 3.0

static const Recipe *
find_recipe (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (recipes); i++)
    {
      if (strcmp (recipes[i].name, name) == 0)
        return &recipes[i];
    }
  return NULL;
}

static void
add_places (DpTrace *trace, const Recipe *recipe)
{
  for (guint p = 0; p < recipe->place_count; p++)
    {
      const Place *place = &recipe->places[p];
      for (guint i = 0; i < place->vms; i++)
        {
          DpTraceVm vm;
          g_snprintf (vm.name, sizeof vm.name, "%s-vm%u", place->data_centre, i);
          g_strlcpy (vm.data_centre, place->data_centre, sizeof vm.data_centre);
          g_array_append_val (trace->vms, vm);
        }
      for (guint i = 0; i < place->engines; i++)
        {
          DpTraceEngine engine = generations[i % 2];
          g_snprintf (engine.name, sizeof engine.name, "%s-e%u", place->data_centre, i);
          g_strlcpy (engine.data_centre, place->data_centre, sizeof engine.data_centre);
          g_array_append_val (trace->engines, engine);
        }
    }
}

static void
add_names (DpTrace *trace, const Recipe *recipe)
{
  for (guint i = 0; i < recipe->load_count; i++)
    {
      DpTraceTier tier;
      g_strlcpy (tier.name, recipe->loads[i].tier, sizeof tier.name);
      g_array_append_val (trace->tiers, tier);
    }
  if (recipe->workspace_count > 0)
    g_array_append_vals (trace->workspaces, recipe->workspaces, recipe->workspace_count);
}

/* One straggler from a third of the time on; one owner killed after half. */
static void
add_faults (DpTrace *trace, GRand *rand, double seconds)
{
  DpTraceFault slow = { .at = seconds / 3, .type = DP_TRACE_SLOW, .factor = STRAGGLER_FACTOR };
  slow.subject = (guint)g_rand_int_range (rand, 0, (gint32)trace->engines->len);
  g_array_append_val (trace->faults, slow);
  DpTraceFault kill
    = { .at = seconds / 2, .type = DP_TRACE_KILL, .subject = DP_TRACE_BUSIEST_OWNER };
  g_array_append_val (trace->faults, kill);
}

/* Requests of the load that all engines together can serve in a second, without a cache. */
static double
capacity (const DpTrace *trace, const Load *load)
{
  double mean = exp (load->spread * load->spread / 2);
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

/* A standard normal variate (Box and Muller). */
static double
normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

static guint
length (GRand *rand, double median, double spread, guint most)
{
  double tokens = median * exp (spread * normal (rand));
  return (guint)CLAMP (tokens, 4, (double)most);
}

/* Arrival times: uniform, or falling linearly in a burst. */
static double
arrival (GRand *rand, const Load *load, double seconds)
{
  for (;;)
    {
      double at = g_rand_double (rand);
      double density = load->burst ? BURST_SLOPE - (BURST_SLOPE - 1) * at : 1;
      double most = load->burst ? BURST_SLOPE : 1;
      if (g_rand_double (rand) * most <= density)
        return at * seconds;
    }
}

static void
add_requests (
  DpTrace *trace, GRand *rand, guint tier, const Load *load, const DpTraceOptions *o)
{
  double count = capacity (trace, load) * load->share * o->overload * o->seconds;
  for (guint i = 0; i < (guint)count; i++)
    {
      DpTraceRequest request = { .tier = tier, .timeout = load->timeout };
      request.at = WARM_UP_SECONDS + arrival (rand, load, o->seconds);
      request.vm = (guint)g_rand_int_range (rand, 0, (gint32)trace->vms->len);
      request.workspace = (guint)g_rand_int_range (rand, 0, (gint32)trace->workspaces->len);
      request.prompt = length (rand, load->prompt, load->spread, 12000);
      request.output = length (rand, load->output, load->spread, 2000);
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
  const Recipe *recipe = find_recipe (options->name);
  if (recipe == NULL)
    return NULL;
  DpTrace *trace = dp_trace_new ();
  GRand *rand = g_rand_new_with_seed ((guint32)options->seed);
  g_strlcpy (trace->name, recipe->name, sizeof trace->name);
  trace->seed = options->seed;
  trace->one_way = recipe->one_way;
  trace->load_lag = LOAD_LAG_SECONDS;
  add_places (trace, recipe);
  add_names (trace, recipe);
  add_faults (trace, rand, options->seconds);
  for (guint i = 0; i < recipe->load_count; i++)
    add_requests (trace, rand, i, &recipe->loads[i], options);
  g_array_sort (trace->requests, compare_requests);
  g_rand_free (rand);
  return trace;
}
