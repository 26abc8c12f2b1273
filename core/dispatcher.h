/* The dispatcher of one pool: who is sent to which target, when, and who is refused.
 *
 * It runs at the VM that entries take for the pool's owner. Requests wait in one queue and are
 * bound to a target only when that target can run them at once: targets admit in order of
 * arrival and know no tiers, so what waits there can't be reordered any more.
 *
 * All state is soft. Entries report what they hold, so that a new owner knows the pool again
 * within one report; two dispatchers of one pool at a time cost efficiency, never safety.
 *
 * Sans I/O, like core/entry.h: calls carry the time and append messages to be sent.
 */
#pragma once

#include "common/counters.h"
#include "core/directory.h"
#include "core/message.h"

#include <glib.h>

/* How requests and targets are matched. */
typedef enum DpDispatchPolicy
{
  DP_DISPATCH_QUEUE,       /* the product: one queue, late binding */
  DP_DISPATCH_TWO_CHOICES, /* at once to the less used of two random targets: for pools where
                            * each VM places for itself, and the baseline of measurements */
} DpDispatchPolicy;

typedef struct DpDispatcherOptions
{
  DpName pool;
  guint64 seed;
  DpDispatchPolicy policy; /* 0: the product's */
  DpCounters *counters;    /* a reference is taken */
} DpDispatcherOptions;

/* A message for the entry of that VM. */
typedef struct DpDispatchSend
{
  DpName to;
  DpMessage message;
} DpDispatchSend;

typedef struct DpDispatcher DpDispatcher;

DpDispatcher *dp_dispatcher_new (const DpDispatcherOptions *options);
void dp_dispatcher_free (DpDispatcher *dispatcher);

/* An empty array of DpDispatchSend. */
GArray *dp_dispatch_sends_new (void);

/* Takes over the pool's targets from the directory. */
void dp_dispatcher_set_targets (DpDispatcher *dispatcher,
                                const DpDirectory *directory,
                                DpUsec now,
                                GArray *sends);

/* GRANT_ASK, GRANT_PROGRESS, GRANT_DONE or GRANT_HELD of an entry. */
void dp_dispatcher_receive (
  DpDispatcher *dispatcher, DpName from, const DpMessage *message, DpUsec now, GArray *sends);

/* To be called every DP_DISPATCH_TICK. */
#define DP_DISPATCH_TICK (20 * DP_USEC_PER_MSEC)
void dp_dispatcher_tick (DpDispatcher *dispatcher, DpUsec now, GArray *sends);

/* For status and tests. */
typedef struct DpDispatcherStatus
{
  guint targets;
  guint suspects; /* targets that get probes only */
  guint waiting;
  guint running;
} DpDispatcherStatus;

DpDispatcherStatus dp_dispatcher_status (const DpDispatcher *dispatcher);
