/* Shared mode of a plain pool: while the pool is short of capacity, its owner assigns the
 * requests of all VMs; otherwise each VM places its own.
 *
 * Each VM has one object per plain pool. It owns two decisions and their state:
 * - of the VM: when to report to the owner that the pool is short, and whether the owner's
 *   announcement is in force;
 * - of the owner: when shared mode begins, is renewed and ends.
 * It neither chooses the owner nor assigns requests, see core/owners.h and
 * core/dispatcher/dispatcher.h.
 *
 * All state is soft. An announcement expires, so that a VM which hears nothing places its own
 * requests again.
 */
#pragma once

#include "core/message.h"

#include <glib.h>

typedef struct DpSharedMode DpSharedMode;

/* What this VM's dispatcher knows of the pool. */
typedef struct DpSharedModeLoad
{
  guint slots;   /* of the targets in service */
  guint running; /* requests at targets */
  guint waiting;
  guint vms; /* number of VMs, this one included */
} DpSharedModeLoad;

typedef enum DpSharedModeCause
{
  DP_SHARED_MODE_NONE,
  DP_SHARED_MODE_REJECTIONS, /* targets reject requests */
  DP_SHARED_MODE_USE,        /* the VMs' requests fill most of the slots */
  DP_SHARED_MODE_ASKED,      /* other VMs use this one as the owner of a shared pool */
  DP_SHARED_MODE_TAKEN_OVER, /* from another owner */
  DP_SHARED_MODE_CALM,       /* the mode ended */
} DpSharedModeCause;

const char *dp_shared_mode_cause_name (DpSharedModeCause cause);

/* `self`: this VM. */
DpSharedMode *dp_shared_mode_new (DpName self);
void dp_shared_mode_free (DpSharedMode *mode);

/* TRUE while an announcement is in force. */
gboolean dp_shared_mode_is_on (const DpSharedMode *mode, DpUsec now);

/* --- the VM's part --- */

/* A target rejected a request of this VM for lack of capacity, or reset its connection. */
void dp_shared_mode_record_rejection (DpSharedMode *mode, DpName target);
/* Must be called every DP_DISPATCH_TICK_INTERVAL and after a rejection. Returns TRUE if
 * `report`, which is filled in except for the pool, is to be sent to the pool's owner. */
gboolean dp_shared_mode_next_report (DpSharedMode *mode,
                                     const DpSharedModeLoad *load,
                                     DpUsec now,
                                     DpPoolShared *report);
/* The VM `owner`, which may be this one, has announced the mode or its end. */
void dp_shared_mode_on_announcement (DpSharedMode *mode,
                                     DpName owner,
                                     const DpPoolShared *announcement,
                                     DpUsec now);

/* --- the owner's part --- */

void dp_shared_mode_on_report (DpSharedMode *mode,
                               DpName vm,
                               const DpPoolShared *report,
                               DpUsec now);
/* Another VM has asked this one for a target, as VMs do while the pool is shared. */
void dp_shared_mode_on_ask (DpSharedMode *mode, DpUsec now);
/* TRUE if other VMs lately used this one as the owner, whatever it takes for the owner itself.
 */
gboolean dp_shared_mode_is_used (const DpSharedMode *mode, DpUsec now);

/* Other VMs that assign requests at the same time, since VMs disagree on the owner. */
typedef struct DpSharedModeOthers
{
  guint count;
  double running; /* requests that they have at targets */
} DpSharedModeOthers;

DpSharedModeOthers dp_shared_mode_others (const DpSharedMode *mode, DpUsec now);

typedef struct DpSharedModeDecision
{
  DpSharedModeCause cause; /* NONE: the mode is renewed */
  double use;              /* of the slots on average, waiting requests included */
  guint rejections;        /* reported lately */
  DpUsec age;              /* of the newest report; 0: none */
} DpSharedModeDecision;

/* Must be called every DP_DISPATCH_TICK_INTERVAL and after a report at a VM that considers
 * itself the pool's owner or is used as such. Returns TRUE if `announcement`, filled in except
 * for the pool, is to be sent to all VMs, this one included. */
gboolean dp_shared_mode_next_announcement (DpSharedMode *mode,
                                           const DpSharedModeLoad *load,
                                           DpUsec now,
                                           DpPoolShared *announcement,
                                           DpSharedModeDecision *decision);
/* Returns TRUE if the last announcement, to which `announcement` is set, is in force. */
gboolean
dp_shared_mode_repeat (const DpSharedMode *mode, DpUsec now, DpPoolShared *announcement);
/* Must be called in place of dp_shared_mode_next_announcement() at other VMs: forgets what it
 * knew as the owner. */
void dp_shared_mode_not_owner (DpSharedMode *mode);
