/* Dispatcher of one pool: decides when and to which target each request is sent, and which
 * requests are refused.
 *
 * Runs at the VM that entries consider the pool's owner. Requests wait in one queue and are
 * assigned to a target only when it can run them at once: targets admit in arrival order and
 * ignore tiers, so requests queued at a target can no longer be reordered.
 *
 * All state is soft. Entries report the requests they hold, so a new owner rebuilds the state
 * within one report interval. Two dispatchers for one pool at the same time cost efficiency but
 * not safety.
 *
 * Does no I/O, like core/entry.h: calls take the current time and append outgoing messages to
 * `outbox`.
 */
#pragma once

#include "common/counters.h"
#include "core/capacity/capacity.h"
#include "core/directory.h"
#include "core/message.h"
#include "core/rollout/rollout.h"
#include "core/versions/versions.h"

#include <glib.h>

/* How requests are assigned to targets. */
typedef enum DpDispatchPolicy
{
  DP_DISPATCH_QUEUE,       /* default: one queue, late binding */
  DP_DISPATCH_TWO_CHOICES, /* immediately to the less loaded of two random targets: for pools
                            * in which each VM dispatches its own requests, and as a baseline
                            * for benchmarks */
} DpDispatchPolicy;

typedef struct DpDispatcherOptions
{
  DpName self; /* this VM */
  DpName pool;
  guint64 seed;
  DpDispatchPolicy policy;
  DpCapacityMode capacity;
  gboolean is_shared; /* this VM may own the pool, i.e. dispatch for all VMs */
  /* While the pool is not shared, a target gets at most as many requests from this VM as it
   * has slots: more could not run, and each takes one of the target's connections. It gets none
   * for a moment after it rejected one. */
  gboolean bounds_own_requests;
  /* Tells which versions may begin streams; NULL: all. Must outlive the dispatcher. */
  const DpVersions *versions;
  DpCounters *counters; /* a reference is taken */
} DpDispatcherOptions;

/* As the receiver: all VMs, this one included. */
#define DP_DISPATCH_ALL_VMS ((DpName)0)

/* Outgoing message to VM `to`. */
typedef struct DpDispatchMessage
{
  DpName to;
  DpMessage message;
} DpDispatchMessage;

typedef struct DpDispatcher DpDispatcher;

DpDispatcher *dp_dispatcher_new (const DpDispatcherOptions *options);
void dp_dispatcher_free (DpDispatcher *dispatcher);

/* Returns an empty array of DpDispatchMessage. It owns the messages' contents. */
GArray *dp_dispatch_outbox_new (void);

/* Synchronizes the pool's targets with the directory. */
void dp_dispatcher_set_targets (DpDispatcher *dispatcher,
                                const DpDirectory *directory,
                                DpUsec now,
                                GArray *outbox);

/* TRUE if streams were to begin while a target's version may begin none yet. */
gboolean dp_dispatcher_awaits_version (const DpDispatcher *dispatcher);

/* Changes whether this VM may own the pool. */
void dp_dispatcher_set_shared (DpDispatcher *dispatcher, gboolean is_shared);
/* While the pool is short of capacity (core/shared_mode/shared_mode.h) its owner assigns by
 * DP_DISPATCH_QUEUE, whatever the policy is. */
void dp_dispatcher_set_short (DpDispatcher *dispatcher, gboolean is_short);
/* Others assign requests for the pool at the same time and have `running` at its targets. They
 * are left a part of each target's window. */
void dp_dispatcher_set_others (DpDispatcher *dispatcher, guint others, double running);
/* Assigns no requests before `until`: the VMs' reports of what runs are on the way. */
void dp_dispatcher_hold (DpDispatcher *dispatcher, DpUsec until);
/* Fraction of all VMs that this VM can reach, initially 1: its part of the targets' limits. */
void dp_dispatcher_set_reach (DpDispatcher *dispatcher, double fraction);

/* Handles GRANT_ASK, GRANT_PROGRESS, GRANT_DONE, GRANT_HELD, TARGET_LIMITS (reports, and
 * announcements of other owners), TARGET_SENT or TARGET_CAPACITY from VM `from`. Stated limits
 * themselves come from the directory. Other types are ignored. */
void dp_dispatcher_receive (
  DpDispatcher *dispatcher, DpName from, const DpMessage *message, DpUsec now, GArray *outbox);

/* Sets the order to roll out a version; NULL: none. Calls with the same id update its age and
 * state only. In states other than RUNNING, SWITCHING and COMPLETED, and in a pool that each VM
 * dispatches for itself, no grant names a target of the version. */
void dp_dispatcher_set_rollout (DpDispatcher *dispatcher,
                                const DpRolloutOptions *options,
                                const DpRolloutOrder *order,
                                DpUsec now,
                                GArray *outbox);
/* What this VM has decided as the pool's owner, and its counts. Returns FALSE if there is no
 * order. */
gboolean dp_dispatcher_rollout_status (const DpDispatcher *dispatcher, DpRolloutStatus *status);

/* Must be called every DP_DISPATCH_TICK_INTERVAL. */
#define DP_DISPATCH_TICK_INTERVAL (20 * DP_USEC_PER_MSEC)
void dp_dispatcher_tick (DpDispatcher *dispatcher, DpUsec now, GArray *outbox);

/* For status and tests. */
typedef struct DpDispatcherStatus
{
  guint targets;
  guint suspects; /* targets that receive only probes */
  guint waiting;
  guint running;
  guint slots;   /* of the targets in service, i.e. accepting and not suspect */
  guint limited; /* targets with a limit */
  guint brittle;
} DpDispatcherStatus;

DpDispatcherStatus dp_dispatcher_status (const DpDispatcher *dispatcher);

/* Limits of concurrent requests that were learned, of targets that are not stopping. */
typedef struct DpCapacityStatus
{
  gboolean is_deciding; /* this dispatcher learns them: it assigns the pool's requests */
  guint targets;
  guint lowered; /* targets whose limit is below slots plus one */
  guint lowest;
  guint median;
  guint highest;
  DpName lowest_target;
  DpUsec lowest_age; /* time since its last measurement; G_MAXINT64: none */
  guint changes;     /* of all limits so far, trials included */
} DpCapacityStatus;

DpCapacityStatus dp_dispatcher_capacity_status (const DpDispatcher *dispatcher);

/* The last row of an announcement of learned limits that could not be used. */
typedef struct DpIgnoredCapacity
{
  guint count; /* so far; 0: the other members are not set */
  DpName from;
  DpName target;
  guint limit;
  const char *problem;
} DpIgnoredCapacity;

DpIgnoredCapacity dp_dispatcher_ignored_capacity (const DpDispatcher *dispatcher);
