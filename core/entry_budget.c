/* Retry budget: retries are a share of the requests served, so that they fade away when a
 * fault hits many requests at once. */
#include "core/entry_board.h"

/* Retries that a workspace may always have saved up. */
#define BUDGET_FLOOR 10.0
#define BUDGET_MAX 100.0

static double *
find_budget (DpEntryBoard *board, const Request *request)
{
  DpName workspace = request->ask.workspace;
  double *budget = g_hash_table_lookup (board->budgets, &workspace);
  if (budget == NULL)
    {
      budget = g_new (double, 1);
      *budget = BUDGET_FLOOR;
      g_hash_table_insert (board->budgets, g_memdup2 (&workspace, sizeof workspace), budget);
    }
  return budget;
}

void
entry_budget_served (DpEntryBoard *board, const Request *request)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpWorkspace *workspace
    = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, request->workspace);
  double *budget = find_budget (board, request);
  *budget = MIN (*budget + workspace->retry_percent / 100.0, BUDGET_MAX);
}

gboolean
entry_budget_spend (DpEntryBoard *board, const Request *request)
{
  double *budget = find_budget (board, request);
  if (*budget < 1.0)
    {
      entry_count (board, "dogwoodplank_retries_refused_total", NULL, NULL);
      return FALSE;
    }
  *budget -= 1.0;
  return TRUE;
}
