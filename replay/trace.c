/* Reads and writes trace files (JSON lines). */
#include "replay/trace.h"

#include <json-c/json.h>
#include <string.h>

static GArray *
new_array (gsize size)
{
  return g_array_new (FALSE, TRUE, (guint)size);
}

static const char *const fault_names[] = { "slow", "kill", "pause", "leave" };

static double
get_number (json_object *row, const char *name)
{
  json_object *value;
  return json_object_object_get_ex (row, name, &value) ? json_object_get_double (value) : 0;
}

static guint
get_uint (json_object *row, const char *name)
{
  return (guint)CLAMP (get_number (row, name), 0, (double)G_MAXUINT);
}

static void
get_string (json_object *row, const char *name, char *out, gsize size)
{
  json_object *value;
  out[0] = '\0';
  if (json_object_object_get_ex (row, name, &value))
    g_strlcpy (out, json_object_get_string (value), size);
}

/* Returns the array member `name`, or NULL. */
static json_object *
get_array (json_object *header, const char *name)
{
  json_object *rows;
  if (!json_object_object_get_ex (header, name, &rows)
      || !json_object_is_type (rows, json_type_array))
    return NULL;
  return rows;
}

static guint
array_length (json_object *rows)
{
  return rows != NULL ? (guint)json_object_array_length (rows) : 0;
}

static void
read_vms (DpTrace *trace, json_object *rows)
{
  for (guint i = 0; i < array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      DpTraceVm vm;
      get_string (row, "name", vm.name, sizeof vm.name);
      get_string (row, "data_centre", vm.data_centre, sizeof vm.data_centre);
      g_array_append_val (trace->vms, vm);
    }
}

static void
read_engines (DpTrace *trace, json_object *rows)
{
  for (guint i = 0; i < array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      DpTraceEngine engine;
      get_string (row, "name", engine.name, sizeof engine.name);
      get_string (row, "data_centre", engine.data_centre, sizeof engine.data_centre);
      engine.window = get_uint (row, "window");
      engine.prefill = get_uint (row, "prefill");
      engine.decode = get_uint (row, "decode");
      engine.stream = get_uint (row, "stream");
      engine.kv_tokens = get_uint (row, "kv_tokens");
      g_array_append_val (trace->engines, engine);
    }
}

static void
read_names (DpTrace *trace, json_object *tiers, json_object *workspaces)
{
  for (guint i = 0; i < array_length (tiers); i++)
    {
      DpTraceTier tier;
      get_string (json_object_array_get_idx (tiers, i), "name", tier.name, sizeof tier.name);
      g_array_append_val (trace->tiers, tier);
    }
  for (guint i = 0; i < array_length (workspaces); i++)
    {
      json_object *row = json_object_array_get_idx (workspaces, i);
      DpTraceWorkspace workspace;
      get_string (row, "name", workspace.name, sizeof workspace.name);
      workspace.weight = get_uint (row, "weight");
      g_array_append_val (trace->workspaces, workspace);
    }
}

static void
read_faults (DpTrace *trace, json_object *rows)
{
  for (guint i = 0; i < array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      char type[16];
      get_string (row, "type", type, sizeof type);
      DpTraceFault fault = { .at = get_number (row, "at"),
                             .subject = get_uint (row, "subject"),
                             .factor = get_number (row, "factor"),
                             .seconds = get_number (row, "seconds") };
      for (guint k = 0; k < G_N_ELEMENTS (fault_names); k++)
        {
          if (strcmp (type, fault_names[k]) == 0)
            fault.type = (DpTraceFaultType)k;
        }
      g_array_append_val (trace->faults, fault);
    }
}

static void
read_header (DpTrace *trace, json_object *header)
{
  get_string (header, "trace", trace->name, sizeof trace->name);
  trace->seed = (guint64)get_number (header, "seed");
  trace->one_way = get_number (header, "one_way");
  trace->load_lag = get_number (header, "load_lag");
  read_vms (trace, get_array (header, "vms"));
  read_engines (trace, get_array (header, "engines"));
  read_names (trace, get_array (header, "tiers"), get_array (header, "workspaces"));
  read_faults (trace, get_array (header, "faults"));
}

static gboolean
read_request (DpTrace *trace, json_object *row)
{
  DpTraceRequest request = { .at = get_number (row, "at"),
                             .vm = get_uint (row, "vm"),
                             .tier = get_uint (row, "tier"),
                             .workspace = get_uint (row, "workspace"),
                             .prompt = get_uint (row, "prompt"),
                             .output = get_uint (row, "output"),
                             .output_bound = get_uint (row, "output_bound"),
                             .timeout = get_number (row, "timeout"),
                             .prefix = get_uint (row, "prefix"),
                             .prefix_tokens = get_uint (row, "prefix_tokens") };
  if (request.vm >= trace->vms->len || request.tier >= trace->tiers->len
      || request.workspace >= trace->workspaces->len)
    return FALSE;
  g_array_append_val (trace->requests, request);
  return TRUE;
}

static gboolean
read_line (DpTrace *trace, const char *line)
{
  json_object *row = json_tokener_parse (line);
  gboolean good = row != NULL && json_object_is_type (row, json_type_object);
  if (good && trace->vms->len == 0)
    read_header (trace, row);
  else if (good)
    good = read_request (trace, row);
  json_object_put (row);
  return good && trace->vms->len > 0;
}

DpTrace *
dp_trace_new (void)
{
  DpTrace *trace = g_new0 (DpTrace, 1);
  g_atomic_ref_count_init (&trace->refs);
  trace->vms = new_array (sizeof (DpTraceVm));
  trace->engines = new_array (sizeof (DpTraceEngine));
  trace->tiers = new_array (sizeof (DpTraceTier));
  trace->workspaces = new_array (sizeof (DpTraceWorkspace));
  trace->faults = new_array (sizeof (DpTraceFault));
  trace->requests = new_array (sizeof (DpTraceRequest));
  return trace;
}

DpTrace *
dp_trace_ref (DpTrace *trace)
{
  g_atomic_ref_count_inc (&trace->refs);
  return trace;
}

void
dp_trace_unref (DpTrace *trace)
{
  if (trace == NULL || !g_atomic_ref_count_dec (&trace->refs))
    return;
  g_array_unref (trace->vms);
  g_array_unref (trace->engines);
  g_array_unref (trace->tiers);
  g_array_unref (trace->workspaces);
  g_array_unref (trace->faults);
  g_array_unref (trace->requests);
  g_free (trace);
}

DpTrace *
dp_trace_read (const char *file, DpDiagnostics *diagnostics)
{
  char *content;
  GError *error = NULL;
  if (!g_file_get_contents (file, &content, NULL, &error))
    {
      dp_diagnostics_add (diagnostics, file, 0, NULL, "%s", error->message);
      g_error_free (error);
      return NULL;
    }
  DpTrace *trace = dp_trace_new ();
  char **lines = g_strsplit (content, "\n", -1);
  guint count_before = dp_diagnostics_count (diagnostics);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] != '\0' && !read_line (trace, lines[i]))
        dp_diagnostics_add (diagnostics, file, i + 1, NULL,
                            "is not a valid trace header or request");
    }
  g_strfreev (lines);
  g_free (content);
  if (dp_diagnostics_count (diagnostics) == count_before)
    return trace;
  dp_trace_unref (trace);
  return NULL;
}

static void
write_header (const DpTrace *trace, GString *out)
{
  g_string_append_printf (out,
                          "{\"trace\":\"%s\",\"seed\":%" G_GUINT64_FORMAT
                          ",\"one_way\":%g,\"load_lag\":%g,\"vms\":[",
                          trace->name, trace->seed, trace->one_way, trace->load_lag);
  for (guint i = 0; i < trace->vms->len; i++)
    {
      const DpTraceVm *vm = &g_array_index (trace->vms, DpTraceVm, i);
      g_string_append_printf (out, "%s{\"name\":\"%s\",\"data_centre\":\"%s\"}",
                              i > 0 ? "," : "", vm->name, vm->data_centre);
    }
  g_string_append (out, "],\"engines\":[");
  for (guint i = 0; i < trace->engines->len; i++)
    {
      const DpTraceEngine *e = &g_array_index (trace->engines, DpTraceEngine, i);
      g_string_append_printf (out,
                              "%s{\"name\":\"%s\",\"data_centre\":\"%s\",\"window\":%u,"
                              "\"prefill\":%u,\"decode\":%u,\"stream\":%u,\"kv_tokens\":%u}",
                              i > 0 ? "," : "", e->name, e->data_centre, e->window, e->prefill,
                              e->decode, e->stream, e->kv_tokens);
    }
  g_string_append (out, "],\"tiers\":[");
  for (guint i = 0; i < trace->tiers->len; i++)
    g_string_append_printf (out, "%s{\"name\":\"%s\"}", i > 0 ? "," : "",
                            g_array_index (trace->tiers, DpTraceTier, i).name);
  g_string_append (out, "],\"workspaces\":[");
  for (guint i = 0; i < trace->workspaces->len; i++)
    {
      const DpTraceWorkspace *w = &g_array_index (trace->workspaces, DpTraceWorkspace, i);
      g_string_append_printf (out, "%s{\"name\":\"%s\",\"weight\":%u}", i > 0 ? "," : "",
                              w->name, w->weight);
    }
  g_string_append (out, "],\"faults\":[");
  for (guint i = 0; i < trace->faults->len; i++)
    {
      const DpTraceFault *f = &g_array_index (trace->faults, DpTraceFault, i);
      g_string_append_printf (
        out, "%s{\"at\":%g,\"type\":\"%s\",\"subject\":%u,\"factor\":%g,\"seconds\":%g}",
        i > 0 ? "," : "", f->at, fault_names[f->type], f->subject, f->factor, f->seconds);
    }
  g_string_append (out, "]}\n");
}

void
dp_trace_write (const DpTrace *trace, GString *out)
{
  write_header (trace, out);
  for (guint i = 0; i < trace->requests->len; i++)
    {
      const DpTraceRequest *r = &g_array_index (trace->requests, DpTraceRequest, i);
      g_string_append_printf (
        out,
        "{\"at\":%.4f,\"vm\":%u,\"tier\":%u,\"workspace\":%u,\"prompt\":%u,\"output\":%u,"
        "\"output_bound\":%u,\"timeout\":%g,\"prefix\":%u,\"prefix_tokens\":%u}\n",
        r->at, r->vm, r->tier, r->workspace, r->prompt, r->output, r->output_bound, r->timeout,
        r->prefix, r->prefix_tokens);
    }
}

static GArray *
append_rows (const GArray *rows, GArray *out)
{
  if (rows->len > 0)
    g_array_append_vals (out, rows->data, rows->len);
  return out;
}

DpTrace *
dp_trace_filter_tier (const DpTrace *trace, guint tier)
{
  DpTrace *filtered = dp_trace_new ();
  g_strlcpy (filtered->name, trace->name, sizeof filtered->name);
  filtered->seed = trace->seed;
  filtered->one_way = trace->one_way;
  filtered->load_lag = trace->load_lag;
  append_rows (trace->vms, filtered->vms);
  append_rows (trace->engines, filtered->engines);
  append_rows (trace->tiers, filtered->tiers);
  append_rows (trace->workspaces, filtered->workspaces);
  append_rows (trace->faults, filtered->faults);
  for (guint i = 0; i < trace->requests->len; i++)
    {
      const DpTraceRequest *request = &g_array_index (trace->requests, DpTraceRequest, i);
      if (request->tier == tier)
        g_array_append_val (filtered->requests, *request);
    }
  return filtered;
}
