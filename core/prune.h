/* Detects VMs that are gone for good, so that their entries in the VM list can be removed.
 *
 * Only the owner of this task does it (see core/owners.h). A VM that was removed by mistake
 * writes its entry again, which costs two store calls and affects no request.
 */
#pragma once

#include "core/owners.h"

#include <glib.h>

typedef struct DpPrune DpPrune;

DpPrune *dp_prune_new (void);
void dp_prune_free (DpPrune *prune);

/* Discards all state. To be called while another VM owns the task, or while too little is
 * known. */
void dp_prune_reset (DpPrune *prune);

/* To be called every second. Appends the VMs (DpName) to probe to `probes` and those that are
 * gone to `gone`. Reports none as gone while fewer than half of the others were seen recently,
 * since this VM is then more likely to be cut off itself. */
void dp_prune_tick (DpPrune *prune,
                    const DpOwners *owners,
                    const DpView *view,
                    DpName self,
                    DpUsec now,
                    GArray *probes,
                    GArray *gone);
