/* The system's VMs and their states, as seen by one process.
 *
 * A view is soft state: it affects which VM is tried first, but not safety. It is immutable
 * once built, and reference counted.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef enum DpVmState
{
  DP_VM_LIVE,
  DP_VM_LEAVING, /* finishes its open requests, takes no new ones */
  DP_VM_SUSPECT, /* did not answer the last probes */
  DP_VM_DEAD,
} DpVmState;

typedef struct DpVm
{
  DpName name;
  DpName data_centre;
  char text[64];    /* printable name */
  char address[46]; /* IP address */
  DpVmState state;
  guint64 incarnation;  /* grows with each start of the VM's entry; 0: unknown */
  guint64 announcement; /* grows with each announcement of the VM's agent; orders updates */
  guint weight;         /* in 1/1000 CPU cores, for the choice of owners; 0: unknown */
} DpVm;

typedef struct DpView
{
  gatomicrefcount refs;
  guint64 version; /* grows with each view that an agent builds */
  GArray *vms;     /* DpVm, sorted by name */
} DpView;

/* Copies the VMs and sorts them by name. */
DpView *dp_view_new (guint64 version, const DpVm *vms, guint count);
DpView *dp_view_ref (DpView *view);
void dp_view_unref (DpView *view);

/* Returns the VM of that name, or NULL. */
const DpVm *dp_view_find (const DpView *view, DpName name);

/* Writes the live VMs of the data centre (0: of all) to `out` in rendezvous order for `key`,
 * the owner first, followed by the suspect ones. Writes at most `max`, returns their number. */
guint
dp_view_rank (const DpView *view, DpName key, DpName data_centre, const DpVm **out, guint max);
