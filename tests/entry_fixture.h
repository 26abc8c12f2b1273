/* A small system for tests of the entry's decisions: two data centres, engines, one service. */
#pragma once

#include "core/entry.h"

#define FIXTURE_VMS 3 /* entry VMs a data centre */
#define FIXTURE_CENTRES 2
/* The access key's hash of the one workspace; the second belongs to another workspace. */
#define FIXTURE_KEY "1111111111111111111111111111111111111111111111111111111111111111"
#define FIXTURE_KEY_OTHER "2222222222222222222222222222222222222222222222222222222222222222"
/* Unix time at virtual time 0. */
#define FIXTURE_WALL ((DpUsec)1800000000 * DP_USEC_PER_SEC)
#define FIXTURE_RETENTION (3600 * DP_USEC_PER_SEC)

/* Pools "plank" (engines with model "verge") and "rota" (service: POST /bookings runs once,
 * GET /verges may be repeated), two targets of each in each data centre. */
DpManifest *fixture_manifest (void);

/* Name of the VM with that index; VMs 0 to FIXTURE_VMS - 1 are in the first data centre. */
DpName fixture_vm (guint index);
DpName fixture_centre (guint index);
DpVm fixture_vm_row (guint index);
DpView *fixture_view (void);

/* A key (UUID version 7) created at that time. Free with g_free(). */
char *fixture_uuid (DpUsec created, guint64 number);
