/* Retry budget of each workspace: a fraction of its served requests, so that retries stop when
 * a fault affects many requests at once. */
#include "core/entry_private.h"

/* Retries that a workspace has before any request was served. */
#define BUDGET_INITIAL 10.0
#define BUDGET_MAX 100.0

static double *
find_budget (DpEntryCore *core, const Request *request)
{
  DpName workspace = request->grant_ask.workspace;
  double *budget = g_hash_table_lookup (core->budgets, &workspace);
  if (budget == NULL)
    {
      budget = g_new (double, 1);
      *budget = BUDGET_INITIAL;
      g_hash_table_insert (core->budgets, g_memdup2 (&workspace, sizeof workspace), budget);
    }
  return budget;
}

void
entry_budget_on_served (DpEntryCore *core, const Request *request)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpWorkspace *workspace
    = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, request->workspace);
  double *budget = find_budget (core, request);
  *budget = MIN (*budget + workspace->retry_percent / 100.0, BUDGET_MAX);
}

gboolean
entry_budget_spend (DpEntryCore *core, const Request *request)
{
  double *budget = find_budget (core, request);
  if (*budget < 1.0)
    {
      entry_count (core, "dogwoodplank_retries_refused_total", NULL, NULL);
      return FALSE;
    }
  *budget -= 1.0;
  return TRUE;
}
