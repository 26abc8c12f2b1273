/* Decisions of a scheduler process: who is sent to which target, when, and who is refused.
 *
 * Sans I/O, with the same rules as core/entry.h. The board holds, for each group that this VM
 * owns, one queue ordered by tier and then by fair share, and for each target its window, load
 * and learned speed. All of it is soft state: entries report what they hold, so a new owner
 * knows the group again within a heartbeat.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* How waiting requests and targets are matched. */
typedef enum DpSchedulerPolicy
{
  DP_POLICY_TIER_QUEUE, /* the product: one queue a group, late binding, preemption */
  /* baselines, for measurement only */
  DP_POLICY_ROUND_ROBIN,
  DP_POLICY_TWO_CHOICES, /* of two random targets the one with less stale load */
} DpSchedulerPolicy;

typedef struct DpSchedulerOptions
{
  DpName vm;
  DpName data_centre;
  guint64 incarnation;
  guint64 seed;
  guint queue_max;          /* waiting requests a group */
  DpSchedulerPolicy policy; /* 0: the product's */
  DpCounters *counters;     /* a reference is taken */
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

/* A target's own report, late as it is. */
typedef struct DpLoadReport
{
  DpName target;
  gboolean reachable; /* FALSE: it did not answer the poll; nothing else is set */
  guint64 boot;       /* changes when the target restarts */
  guint running;
  guint waiting;
  guint kv_tokens_used;
  guint64 cache_sequence; /* of the first event below; a gap shows lost ones */
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
  DP_SCHEDULER_ACTION_POLL, /* ask the target for its load; answer with a LOAD event */
} DpSchedulerActionType;

typedef struct DpPoll
{
  DpName target;
  char address[46];
  guint16 port;
  DpPoolKind kind;
  guint64 cache_sequence; /* cache events from here on */
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

/* A GArray of DpSchedulerAction that clears its rows. */
GArray *dp_scheduler_actions_new (void);

typedef struct DpSchedulerBoard DpSchedulerBoard;

DpSchedulerBoard *dp_scheduler_board_new (const DpSchedulerOptions *options);
DpSchedulerBoard *dp_scheduler_board_ref (DpSchedulerBoard *board);
void dp_scheduler_board_unref (DpSchedulerBoard *board);

/* Handles one event; appends the actions to be carried out. */
void
dp_scheduler_handle (DpSchedulerBoard *board, const DpSchedulerEvent *event, GArray *actions);
