/* Scheduler core: assigns requests to targets, queues them and refuses them.
 *
 * Does no I/O; the rules of core/entry.h apply. For each group that this VM owns it keeps one
 * queue, ordered by tier and within a tier by fair share, and for each target its window, load
 * and measured speed. All of it is soft state: entries report the grants they hold, so a new
 * owner rebuilds it within one heartbeat.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* How requests are assigned to targets. */
typedef enum DpSchedulerPolicy
{
  DP_POLICY_TIER_QUEUE, /* production: one queue per group, late binding, preemption */
  /* baselines for benchmarks */
  DP_POLICY_ROUND_ROBIN,
  DP_POLICY_TWO_CHOICES, /* the less loaded of two random targets, by their last reports */
} DpSchedulerPolicy;

typedef struct DpSchedulerOptions
{
  DpName vm;
  DpName data_centre;
  guint64 incarnation;
  guint64 seed;
  guint queue_max;          /* waiting requests per group; 0: default */
  DpSchedulerPolicy policy; /* 0: DP_POLICY_TIER_QUEUE */
  DpCounters *counters;     /* may be NULL; the core takes its own reference */
} DpSchedulerOptions;

typedef enum DpSchedulerEventType
{
  DP_SCHEDULER_EVENT_MANIFEST,
  DP_SCHEDULER_EVENT_VIEW,
  DP_SCHEDULER_EVENT_MESSAGE,
  DP_SCHEDULER_EVENT_LOAD,
  DP_SCHEDULER_EVENT_TICK,
} DpSchedulerEventType;

typedef enum DpCacheEventType
{
  DP_CACHE_STORED,
  DP_CACHE_REMOVED,
} DpCacheEventType;

typedef struct DpCacheEvent
{
  DpCacheEventType type;
  guint64 block;
} DpCacheEvent;

/* Load that a target reports about itself. It lags behind the grants. */
typedef struct DpLoadReport
{
  DpName target;
  gboolean reachable; /* FALSE: the poll was not answered and only `target` is set */
  guint64 boot;       /* changes when the target restarts */
  guint running;
  guint waiting;
  guint kv_tokens_used;
  guint64 cache_sequence; /* of the first event below; a gap means that events were lost */
  guint cache_event_count;
  const DpCacheEvent *cache_events;
} DpLoadReport;

typedef struct DpSchedulerEvent
{
  DpSchedulerEventType type;
  DpUsec now; /* monotonic */
  union
  {
    DpManifest *manifest; /* the core takes its own reference */
    DpView *view;         /* the core takes its own reference */
    struct
    {
      DpPeer from;
      const DpMessage *message;
    };
    DpLoadReport load;
  };
} DpSchedulerEvent;

typedef enum DpSchedulerActionType
{
  DP_SCHEDULER_ACTION_SEND,
  DP_SCHEDULER_ACTION_POLL, /* request the target's load; the reply is a LOAD event */
} DpSchedulerActionType;

typedef struct DpPoll
{
  DpName target;
  char address[46];
  guint16 port;
  DpPoolKind kind;
  guint64 cache_sequence; /* request cache events from this one on */
} DpPoll;

typedef struct DpSchedulerAction
{
  DpSchedulerActionType type;
  union
  {
    struct
    {
      DpPeer to;
      DpMessage message; /* owned by the action */
    };
    DpPoll poll;
  };
} DpSchedulerAction;

void dp_scheduler_action_clear (gpointer action);

/* Returns a new GArray of DpSchedulerAction that clears its elements. */
GArray *dp_scheduler_actions_new (void);

typedef struct DpSchedulerCore DpSchedulerCore;

DpSchedulerCore *dp_scheduler_core_new (const DpSchedulerOptions *options);
DpSchedulerCore *dp_scheduler_core_ref (DpSchedulerCore *core);
void dp_scheduler_core_unref (DpSchedulerCore *core);

/* Handles one event and appends the resulting actions to `actions`. */
void
dp_scheduler_handle (DpSchedulerCore *core, const DpSchedulerEvent *event, GArray *actions);
