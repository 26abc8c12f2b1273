/* The view: which VMs of the system there are and how they are, as one process believes.
 *
 * A view is soft state: it decides who is asked first, never what is safe. Immutable once
 * built; shared by reference count.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef enum DpVmState
{
  DP_VM_LIVE,
  DP_VM_LEAVING, /* finishes what it has, gets nothing new */
  DP_VM_SUSPECT, /* did not answer its last probes */
  DP_VM_DEAD,
} DpVmState;

typedef struct DpVm
{
  DpName name;
  DpName data_centre;
  char text[64];    /* name */
  char address[46]; /* IP number */
  DpVmState state;
  guint64 incarnation;  /* rises with each start of the VM's entry; 0: not known yet */
  guint64 announcement; /* rises with each announcement of the VM's own agent; orders news */
  guint weight;         /* thousandths of a core; owners are chosen by it; 0: not known */
} DpVm;

typedef struct DpView
{
  gatomicrefcount refs;
  guint64 version; /* rises with each view built by one agent */
  GArray *vms;     /* DpVm, sorted by name */
} DpView;

/* Copies the rows and sorts them. */
DpView *dp_view_new (guint64 version, const DpVm *vms, guint count);
DpView *dp_view_ref (DpView *view);
void dp_view_unref (DpView *view);

/* The row of that VM, or NULL. */
const DpVm *dp_view_find (const DpView *view, DpName name);

/* Live VMs of the data centre (0: of any) in rendezvous order for `key`, the owner first.
 * Suspect VMs come after all live ones. Writes at most `max` rows, returns how many. */
guint
dp_view_rank (const DpView *view, DpName key, DpName data_centre, const DpVm **out, guint max);
