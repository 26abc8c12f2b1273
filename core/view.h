/* The system's VMs and their states, as seen by one process.
 *
 * A view is soft state: it affects which VM is tried first, but not safety. It is immutable
 * once built, and reference counted.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

/* Number of the rules that this build keeps, see docs/design-platform.md, "Two builds side by
 * side". It rises with each release that adds a rule; 0: a build that states none. */
#define DP_RULES_LEVEL 5
/* Builds of lower levels know the first 15 shared parts of a prompt only. */
#define DP_RULES_LEVEL_PARTS 5
/* Builds of lower levels know state only as whole lists, see core/row_sync/. */
#define DP_RULES_LEVEL_ROWS 4
/* Builds of lower levels know no copies of streams' versions. */
#define DP_RULES_LEVEL_STREAM_COPIES 3
/* Builds of lower levels know no orders to roll out versions. */
#define DP_RULES_LEVEL_ROLLOUTS 2
/* A larger number is taken for 0. */
#define DP_RULES_LEVEL_MAX 1000
/* The weight that a VM states is this multiple of its share of the processor. VMs of level 0
 * state the share, and choose owners by the weights alone. */
#define DP_VM_WEIGHT_FACTOR 64
/* Builds of level 0 ignore an entry with a larger weight. */
#define DP_VM_WEIGHT_MAX 1000000
/* Share of a VM that states no weight. */
#define DP_VM_SHARE_DEFAULT 100

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
  guint weight;         /* for the choice of owners; 0: unknown */
  guint64 rules;        /* level of the rules that its build keeps, as stated by the VM */
} DpVm;

typedef struct DpView
{
  gatomicrefcount refs;
  guint64 version; /* grows with each view that an agent builds */
  GArray *vms;     /* DpVm, sorted by name */
} DpView;

/* Weight that a VM of this build states; `share` is in 1/1000 CPU cores. */
guint dp_vm_stated_weight (guint share);
/* Share of the processor that the VM's weight stands for. */
guint dp_vm_share (const DpVm *vm);
/* `stated`, or 0 if it is out of range. */
guint64 dp_rules_level (guint64 stated);

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
