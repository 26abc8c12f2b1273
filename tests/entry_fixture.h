/* Manifest and view for tests of the entry core: two data centres, a pool of engines and a
 * service. */
#pragma once

#include "core/entry.h"

#define FIXTURE_VMS 3 /* entry VMs per data centre */
#define FIXTURE_DATA_CENTRES 2
/* Hashes of the access keys of the two workspaces. */
#define FIXTURE_KEY "1111111111111111111111111111111111111111111111111111111111111111"
#define FIXTURE_KEY_OTHER "2222222222222222222222222222222222222222222222222222222222222222"
/* Unix time at simulated time 0. */
#define FIXTURE_WALL ((DpUsec)1800000000 * DP_USEC_PER_SEC)
#define FIXTURE_RETENTION (3600 * DP_USEC_PER_SEC)

/* Pools "plank" (engines with model "verge") and "rota" (service: POST /bookings must not be
 * repeated, GET /verges may be), with two targets each per data centre. Owned by the caller. */
DpManifest *fixture_manifest (void);

/* Name of the VM with this index; VMs 0 to FIXTURE_VMS - 1 are in the first data centre. */
DpName fixture_vm (guint index);
DpName fixture_data_centre (guint index);
DpVm fixture_vm_row (guint index);
DpView *fixture_view (void);

/* An idempotency key (UUID version 7) created at this time. Free with g_free(). */
char *fixture_uuid (DpUsec created, guint64 number);
