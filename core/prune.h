/* Finds VMs that are gone for good, so that their entries in the list of VMs are removed.
 *
 * One VM does this (see core/owners.h). A VM that is removed by mistake writes its entry again,
 * so a mistake costs two calls to the store and never a request.
 */
#pragma once

#include "core/owners.h"

#include <glib.h>

typedef struct DpPrune DpPrune;

DpPrune *dp_prune_new (void);
void dp_prune_free (DpPrune *prune);

/* This VM is not the one that does it, or knows too little at present: starts anew. */
void dp_prune_reset (DpPrune *prune);

/* To be called every second. Appends the VMs (DpName) that are to be probed, and those that
 * are gone. None is gone while this VM has heard less than half of the others: it is more
 * likely cut off itself. */
void dp_prune_tick (DpPrune *prune,
                    const DpOwners *owners,
                    const DpView *view,
                    DpName self,
                    DpUsec now,
                    GArray *probes,
                    GArray *gone);
