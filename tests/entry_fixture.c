#include "tests/entry_fixture.h"

#define TARGETS_PER_DATA_CENTRE 2

static void
add_target (DpManifest *manifest, guint pool, guint data_centre, guint number)
{
  DpTarget target = {
    .text = g_strdup_printf ("target-%u-%u-%u", pool, data_centre, number),
    .pool = pool,
    .data_centre = data_centre,
    .address = g_strdup ("127.0.0.1"),
    .port = (guint16)(9000 + manifest->targets->len),
    .window = 6,
    .prefill_tokens_per_second = pool == 0 ? 5000 : 0,
    .decode_tokens_per_second = pool == 0 ? 2000 : 0,
    .stream_tokens_per_second = pool == 0 ? 250 : 0,
    .kv_tokens = pool == 0 ? 100000 : 0,
    .models = g_array_new (FALSE, FALSE, sizeof (guint)),
  };
  target.name = dp_name (target.text);
  if (pool == 0)
    g_array_set_size (target.models, 1);
  if (pool == 0)
    g_array_index (target.models, guint, 0) = 0;
  g_array_append_val (manifest->targets, target);
}

static void
add_access_key (DpManifest *manifest, const char *sha256, guint workspace)
{
  DpAccessKey key = { .sha256 = g_strdup (sha256), .workspace = workspace, .tier = 0 };
  g_array_append_val (manifest->keys, key);
}

static void
add_workspace (DpManifest *manifest, const char *text)
{
  DpWorkspace workspace = { .text = g_strdup (text), .weight = 1, .retry_percent = 10 };
  workspace.name = dp_name (text);
  g_array_append_val (manifest->workspaces, workspace);
}

static void
add_tier (DpManifest *manifest, const char *text)
{
  DpTier tier
    = { .text = g_strdup (text), .name = dp_name (text), .timeout = 10 * DP_USEC_PER_SEC };
  g_array_append_val (manifest->tiers, tier);
}

static void
add_call (GArray *calls, const char *method, const char *path, gboolean repeatable)
{
  DpCall call
    = { .method = g_strdup (method), .path = g_strdup (path), .repeatable = repeatable };
  g_array_append_val (calls, call);
}

static void
add_pool (DpManifest *manifest, const char *text, DpPoolKind kind)
{
  DpPool pool = { .text = g_strdup (text), .name = dp_name (text), .kind = kind };
  if (kind == DP_POOL_SERVICE)
    {
      pool.key_retention = FIXTURE_RETENTION;
      pool.calls = dp_manifest_calls_new ();
      add_call (pool.calls, "POST", "/bookings", FALSE);
      add_call (pool.calls, "GET", "/verges", TRUE);
    }
  g_array_append_val (manifest->pools, pool);
}

DpName
fixture_data_centre (guint index)
{
  return dp_name (index == 0 ? "lj-a" : "kr-a");
}

DpManifest *
fixture_manifest (void)
{
  DpManifest *manifest = dp_manifest_new ();
  manifest->revision = 1;
  add_tier (manifest, "crew");
  add_tier (manifest, "office");
  add_workspace (manifest, "zadruga");
  add_workspace (manifest, "consorcio");
  add_access_key (manifest, FIXTURE_KEY, 0);
  add_access_key (manifest, FIXTURE_KEY_OTHER, 1);
  DpModel model
    = { .text = g_strdup ("verge"), .name = dp_name ("verge"), .output_tokens = 50 };
  g_array_append_val (manifest->models, model);
  add_pool (manifest, "plank", DP_POOL_ENGINES);
  add_pool (manifest, "rota", DP_POOL_SERVICE);
  for (guint data_centre = 0; data_centre < FIXTURE_DATA_CENTRES; data_centre++)
    {
      DpDataCentre row = { .text = g_strdup (data_centre == 0 ? "lj-a" : "kr-a") };
      row.name = fixture_data_centre (data_centre);
      row.region = g_strdup ("sl-osr");
      g_array_append_val (manifest->data_centres, row);
      for (guint i = 0; i < TARGETS_PER_DATA_CENTRE; i++)
        {
          add_target (manifest, 0, data_centre, i);
          add_target (manifest, 1, data_centre, i);
        }
    }
  dp_manifest_finish (manifest);
  return manifest;
}

DpVm
fixture_vm_row (guint index)
{
  DpVm vm = { .state = DP_VM_LIVE, .incarnation = 1 };
  g_snprintf (vm.text, sizeof vm.text, "vm-%u", index);
  g_snprintf (vm.address, sizeof vm.address, "127.0.1.%u", index + 1);
  vm.name = dp_name (vm.text);
  vm.data_centre = fixture_data_centre (index / FIXTURE_VMS);
  return vm;
}

DpName
fixture_vm (guint index)
{
  return fixture_vm_row (index).name;
}

DpView *
fixture_view (void)
{
  DpVm vms[FIXTURE_VMS * FIXTURE_DATA_CENTRES];
  for (guint i = 0; i < G_N_ELEMENTS (vms); i++)
    vms[i] = fixture_vm_row (i);
  return dp_view_new (1, vms, G_N_ELEMENTS (vms));
}

char *
fixture_uuid (DpUsec created, guint64 number)
{
  guint64 ms = (guint64)(created / DP_USEC_PER_MSEC);
  return g_strdup_printf ("%08x-%04x-7%03x-8%03x-%012" G_GINT64_MODIFIER "x", (guint)(ms >> 16),
                          (guint)(ms & 0xffff), (guint)(number >> 60),
                          (guint)((number >> 48) & 0xfff),
                          number & G_GUINT64_CONSTANT (0xffffffffffff));
}
