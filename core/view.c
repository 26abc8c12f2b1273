#include "core/view.h"

#include <string.h>

guint
dp_vm_stated_weight (guint share)
{
  return (guint)MIN ((guint64)share * DP_VM_WEIGHT_FACTOR, DP_VM_WEIGHT_MAX);
}

guint
dp_vm_share (const DpVm *vm)
{
  if (vm->weight == 0)
    return DP_VM_SHARE_DEFAULT;
  return dp_rules_level (vm->rules) > 0 ? MAX (vm->weight / DP_VM_WEIGHT_FACTOR, 1)
                                        : vm->weight;
}

guint64
dp_rules_level (guint64 stated)
{
  return stated <= DP_RULES_LEVEL_MAX ? stated : 0;
}

static int
compare_vms (gconstpointer a, gconstpointer b)
{
  const DpVm *left = a;
  const DpVm *right = b;
  return left->name < right->name ? -1 : left->name > right->name;
}

DpView *
dp_view_new (guint64 version, const DpVm *vms, guint count)
{
  DpView *view = g_new0 (DpView, 1);
  g_atomic_ref_count_init (&view->refs);
  view->version = version;
  view->vms = g_array_sized_new (FALSE, FALSE, sizeof (DpVm), count);
  if (count > 0)
    g_array_append_vals (view->vms, vms, count);
  g_array_sort (view->vms, compare_vms);
  return view;
}

DpView *
dp_view_ref (DpView *view)
{
  g_atomic_ref_count_inc (&view->refs);
  return view;
}

void
dp_view_unref (DpView *view)
{
  if (view == NULL || !g_atomic_ref_count_dec (&view->refs))
    return;
  g_array_unref (view->vms);
  g_free (view);
}

const DpVm *
dp_view_find (const DpView *view, DpName name)
{
  DpVm key = { .name = name };
  guint index;
  if (!g_array_binary_search (view->vms, &key, compare_vms, &index))
    return NULL;
  return &g_array_index (view->vms, DpVm, index);
}

/* TRUE if `a` precedes `b` in the ranking for `key`. */
static gboolean
ranks_before (DpName key, const DpVm *a, const DpVm *b)
{
  if (a->state != b->state)
    return a->state == DP_VM_LIVE;
  return dp_rendezvous_weight (key, a->name) > dp_rendezvous_weight (key, b->name);
}

guint
dp_view_rank (const DpView *view, DpName key, DpName data_centre, const DpVm **out, guint max)
{
  guint count = 0;
  for (guint i = 0; i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      if (vm->state != DP_VM_LIVE && vm->state != DP_VM_SUSPECT)
        continue;
      if (data_centre != 0 && vm->data_centre != data_centre)
        continue;
      guint position = MIN (count, max);
      while (position > 0 && ranks_before (key, vm, out[position - 1]))
        position--;
      if (position >= max)
        continue;
      guint kept = MIN (count, max - 1);
      memmove (&out[position + 1], &out[position], (kept - position) * sizeof out[0]);
      out[position] = vm;
      count = kept + 1;
    }
  return count;
}
