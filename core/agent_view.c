/* What the agent publishes of the VMs: the announced state united with what probing says. */
#include "core/agent_board.h"

DpVmState
dp_agent_member_state (const DpMember *member)
{
  if (member->reach == DP_REACH_DEAD)
    return DP_VM_DEAD;
  if (member->vm.state == DP_VM_LEAVING)
    return DP_VM_LEAVING;
  return member->reach == DP_REACH_SUSPECT ? DP_VM_SUSPECT : DP_VM_LIVE;
}

static void
replace_view (DpView **place, guint64 version, const GArray *rows)
{
  dp_view_unref (*place);
  *place = dp_view_new (version, (const DpVm *)(const void *)rows->data, rows->len);
}

static GArray *
collect_rows (const DpAgentBoard *board)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpVm));
  g_array_append_val (rows, board->self);
  for (guint i = 0; i < board->order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (board->order, i);
      DpVm row = member->vm;
      row.state = dp_agent_member_state (member);
      g_array_append_val (rows, row);
    }
  return rows;
}

void
dp_agent_view_publish (DpAgentBoard *board)
{
  if (!board->members_changed)
    return;
  board->members_changed = FALSE;
  board->view_version++;
  GArray *rows = collect_rows (board);
  replace_view (&board->view, board->view_version, rows);
  for (guint i = 0; i < rows->len; i++)
    {
      DpVm *row = &g_array_index (rows, DpVm, i);
      if (row->state == DP_VM_DEAD)
        row->state = DP_VM_SUSPECT;
    }
  replace_view (&board->probe_view, board->view_version, rows);
  g_array_unref (rows);
}
