/* Benchmark: text size, parse time, memory of a manifest and size of a delta, by number of
 * engines. Prints one table row for each number. */
#include "manifest/delta.h"
#include "manifest/manifest.h"

#include <malloc.h>
#include <stdio.h>

#define ROUNDS 5

static const guint engine_counts[] = { 20, 200, 2000, 6000 };

static GBytes *
make_text (guint engines, guint revision, guint first_window)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (
    text,
    "{\"revision\": %u,\n"
    "\"tiers\": [{\"name\": \"now\", \"timeout_ms\": 15000}],\n"
    "\"data_centres\": [{\"name\": \"dc-0\", \"region\": \"r\"}],\n"
    "\"workspaces\": [{\"name\": \"crews\", \"weight\": 1}],\n"
    "\"keys\": [],\n\"models\": [{\"name\": \"m\", \"output_tokens\": 100}],\n"
    "\"pools\": [{\"name\": \"p\"}],\n\"engines\": [\n",
    revision);
  for (guint i = 0; i < engines; i++)
    g_string_append_printf (
      text,
      "{\"name\": \"e%u\", \"pool\": \"p\", \"data_centre\": \"dc-0\", \"address\": "
      "\"10.0.%u.%u\", \"port\": 8000, \"window\": %u, \"prefill_tokens_per_second\": 4000, "
      "\"decode_tokens_per_second\": 1200, \"stream_tokens_per_second\": 60, \"kv_tokens\": "
      "200000, \"checks_fence\": true, \"models\": [\"m\"]}%s\n",
      i, i / 250, i % 250, i == 0 ? first_window : 8, i + 1 < engines ? "," : "");
  g_string_append (text, "],\n\"services\": []}\n");
  return g_string_free_to_bytes (text);
}

static DpManifest *
parse (GBytes *text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = dp_manifest_parse ("generated", data, length, diagnostics);
  if (manifest == NULL)
    {
      char *report = dp_diagnostics_format (diagnostics);
      fprintf (stderr, "%s", report);
      g_free (report);
    }
  dp_diagnostics_unref (diagnostics);
  return manifest;
}

static void
measure (guint engines)
{
  GBytes *text = make_text (engines, 1, 8);
  GBytes *next = make_text (engines, 2, 9);
  gint64 best = G_MAXINT64;
  gsize before = mallinfo2 ().uordblks;
  gsize used_bytes = 0;
  for (guint i = 0; i < ROUNDS; i++)
    {
      gint64 start = g_get_monotonic_time ();
      DpManifest *manifest = parse (text);
      best = MIN (best, g_get_monotonic_time () - start);
      if (manifest == NULL)
        return;
      used_bytes = mallinfo2 ().uordblks - before;
      dp_manifest_unref (manifest);
    }
  gint64 start = g_get_monotonic_time ();
  GBytes *delta = dp_delta_make (text, next);
  gint64 delta_usec = g_get_monotonic_time () - start;
  printf ("| %u | %lu | %.2f | %lu | %lu | %.2f |\n", engines,
          (unsigned long)g_bytes_get_size (text), (double)best / 1000,
          (unsigned long)used_bytes / 1024, (unsigned long)g_bytes_get_size (delta),
          (double)delta_usec / 1000);
  g_bytes_unref (delta);
  g_bytes_unref (text);
  g_bytes_unref (next);
}

int
main (void)
{
  printf ("| engines | text, bytes | parse, ms | memory, KB | delta of one row, bytes | make "
          "delta, ms |\n| --- | --- | --- | --- | --- | --- |\n");
  for (guint i = 0; i < G_N_ELEMENTS (engine_counts); i++)
    measure (engine_counts[i]);
  return 0;
}
