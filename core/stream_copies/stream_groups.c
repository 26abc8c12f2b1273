/* Which VMs hold the same copies, and in which order they write them to the store. */
#include "core/stream_copies/stream_copies_private.h"

/* VMs of a group on average, at least; less than twice as many. */
#define GROUP_VMS_MIN 24
/* Hashed together with a VM's name. */
#define GROUP_KEY "stream copies"

guint
dp_stream_copies_group_count (guint vms)
{
  guint groups = 1;
  while (vms / (2 * groups) >= GROUP_VMS_MIN)
    groups *= 2;
  return groups;
}

/* `groups` is a power of two, so a VM stays with half of its group when the number doubles. */
guint
dp_stream_copies_group_of (DpName vm, guint groups)
{
  return (guint)(dp_name_pair (dp_name (GROUP_KEY), vm) & (groups - 1));
}

void
dp_stream_copies_update_group (DpStreamCopies *copies)
{
  guint count = copies->view->vms->len;
  copies->groups = dp_stream_copies_group_count (count);
  copies->group = dp_stream_copies_group_of (copies->options.self, copies->groups);
  g_array_set_size (copies->members, 0);
  g_array_set_size (copies->writers_before, 0);
  DpName key = dp_stream_copies_group_key (copies);
  guint64 own = dp_rendezvous_weight (key, copies->options.self);
  for (guint i = 0; i < count; i++)
    {
      DpName vm = g_array_index (copies->view->vms, DpVm, i).name;
      if (vm == copies->options.self
          || dp_stream_copies_group_of (vm, copies->groups) != copies->group)
        continue;
      g_array_append_val (copies->members, vm);
      if (dp_rendezvous_weight (key, vm) > own)
        g_array_append_val (copies->writers_before, vm);
    }
}

DpName
dp_stream_copies_group_key (const DpStreamCopies *copies)
{
  return dp_name_pair (dp_name (GROUP_KEY), dp_name_pair (copies->groups, copies->group + 1));
}
