/* The published view of the VMs: their announced state combined with their reachability. */
#include "core/agent_private.h"

DpVmState
dp_agent_member_state (const DpMember *member)
{
  if (member->reachability == DP_REACHABILITY_DEAD)
    return DP_VM_DEAD;
  if (member->vm.state == DP_VM_LEAVING)
    return DP_VM_LEAVING;
  return member->reachability == DP_REACHABILITY_SUSPECT ? DP_VM_SUSPECT : DP_VM_LIVE;
}

static void
replace_view (DpView **slot, guint64 version, const GArray *rows)
{
  dp_view_unref (*slot);
  *slot = dp_view_new (version, (const DpVm *)(const void *)rows->data, rows->len);
}

static GArray *
collect_rows (const DpAgentCore *core)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpVm));
  g_array_append_val (rows, core->self);
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (core->probe_order, i);
      DpVm row = member->vm;
      row.state = dp_agent_member_state (member);
      g_array_append_val (rows, row);
    }
  return rows;
}

void
dp_agent_view_publish (DpAgentCore *core)
{
  if (!core->members_changed)
    return;
  core->members_changed = FALSE;
  core->view_version++;
  GArray *rows = collect_rows (core);
  replace_view (&core->view, core->view_version, rows);
  for (guint i = 0; i < rows->len; i++)
    {
      DpVm *row = &g_array_index (rows, DpVm, i);
      if (row->state == DP_VM_DEAD)
        row->state = DP_VM_SUSPECT;
    }
  replace_view (&core->probe_view, core->view_version, rows);
  g_array_unref (rows);
}
