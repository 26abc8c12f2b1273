#include "ctl/commands.h"

#include "manifest/manifest.h"

#include <stdio.h>
#include <stdlib.h>

/* Prints the revision, the digest and the number of rows of a valid manifest. */
static void
print_summary (const char *file, const DpManifest *manifest)
{
  printf ("%s: revision %" G_GUINT64_FORMAT ", digest %016" G_GINT64_MODIFIER
          "x, %u data centres, %u workspaces, %u tiers, %u targets: no findings\n",
          file, manifest->revision, manifest->digest, manifest->data_centres->len,
          manifest->workspaces->len, manifest->tiers->len, manifest->targets->len);
}

static void
check_file (const char *file, DpDiagnostics *diagnostics)
{
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  if (!g_file_get_contents (file, &text, &length, &error))
    {
      dp_diagnostics_add (diagnostics, file, 0, NULL, "%s", error->message);
      g_error_free (error);
      return;
    }
  DpManifest *manifest = dp_manifest_parse (file, text, length, diagnostics);
  if (manifest != NULL)
    print_summary (file, manifest);
  dp_manifest_unref (manifest);
  g_free (text);
}

int
dp_ctl_check (int argc, char **argv)
{
  if (argc < 2)
    {
      fputs ("dogwoodplankctl: check needs at least one FILE\n", stderr);
      return DP_EXIT_USAGE;
    }
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  for (int i = 1; i < argc; i++)
    check_file (argv[i], diagnostics);
  char *text = dp_diagnostics_format (diagnostics);
  fputs (text, stdout);
  g_free (text);
  int status = dp_diagnostics_count (diagnostics) > 0 ? DP_EXIT_DIAGNOSTICS : EXIT_SUCCESS;
  dp_diagnostics_unref (diagnostics);
  return status;
}
