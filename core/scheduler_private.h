/* Internal state of the scheduler core and the functions that its parts share. Private to
 * core/scheduler*.c.
 *
 * The core owns the tables of groups, targets, grants and entries. dp_scheduler_handle() calls
 * the parts in a fixed order; each section below names the file that defines its functions.
 */
#pragma once

#include "common/prefix.h"
#include "common/table.h"
#include "core/scheduler.h"

#include <stdlib.h>
#include <string.h>

/* After a longer gap between two events the process was paused and its state may be stale. */
#define DP_SCHEDULER_PAUSE_MIN_USEC (1 * DP_USEC_PER_SEC)
/* A new owner waits at most this long for the entries' reports before it grants anything. */
#define DP_OWNER_SYNC_TIMEOUT_USEC (700 * DP_USEC_PER_MSEC)
/* An entry's grants are dropped after this long without a message from it. */
#define DP_ENTRY_TIMEOUT_USEC (3 * DP_USEC_PER_SEC)
/* A younger grant may be missing from its entry's report, which was sent before it arrived. */
#define DP_HELD_GRACE_USEC (1 * DP_USEC_PER_SEC)
/* Minimum interval between a group's adverts to one entry. Replies to reports are exempt. */
#define DP_ADVERT_INTERVAL_USEC (200 * DP_USEC_PER_MSEC)
#define DP_POLL_INTERVAL_USEC (500 * DP_USEC_PER_MSEC)
/* Default for DpSchedulerOptions.queue_max. */
#define DP_QUEUE_MAX 4096
/* A busy target with at least this much estimated prefill pending gets no further request. */
#define DP_PREFILL_AHEAD_MAX_USEC (150 * DP_USEC_PER_MSEC)
/* Flows of a model queue, and requests of a flow, that are examined for one target. */
#define DP_QUEUE_SCAN_MAX 8

/* Later requests with a cached prefix may overtake a request until it has waited this long. */
#define DP_PREFIX_BYPASS_MAX_USEC (500 * DP_USEC_PER_MSEC)

/* A new owner refuses nothing by its wait estimate for this long: it does not know yet which
 * prefixes the targets have cached, so the estimate is too high. */
#define DP_OWNER_WARMUP_USEC (5 * DP_USEC_PER_SEC)
/* Longest wait of a request for a target that has its prefix cached. */
#define DP_PREFIX_WAIT_MAX_USEC (1 * DP_USEC_PER_SEC)
/* Initial preemption budget of a group, in prompt tokens. */
#define DP_WASTE_BUDGET_INITIAL 2000

/* --- queue --- */

typedef struct DpGrant DpGrant;

/* A workspace's state in the start-time fair queueing of one tier of a group. */
typedef struct DpWorkspaceShare
{
  DpName workspace;
  double virtual_finish; /* finish tag of its last granted request */
} DpWorkspaceShare;

/* Waiting requests of one workspace for one model, oldest first. */
typedef struct DpFlow
{
  DpName workspace;
  DpWorkspaceShare *share;
  GQueue grants; /* DpGrant, linked by DpGrant.link */
  double weight;
  double work;          /* sum of DpGrant.work */
  double virtual_start; /* start tag of its first request; the model queue's sort key */
  GSequenceIter *iter;  /* in the model queue; NULL while nothing waits */
} DpFlow;

/* Flows of one tier for one model. */
typedef struct DpModelQueue
{
  DpName model;
  GSequence *flows;         /* DpFlow with waiting requests, by virtual_start */
  GHashTable *by_workspace; /* DpName -> DpFlow */
} DpModelQueue;

typedef struct DpTierQueue
{
  double virtual_time;
  guint waiting;
  double waiting_work;     /* sum of DpGrant.work */
  double waiting_weight;   /* sum of the weights of flows with waiting requests */
  GPtrArray *model_queues; /* DpModelQueue */
  GHashTable *shares;      /* workspace's DpName -> DpWorkspaceShare */
  GQueue by_arrival;       /* DpGrant, newest last, linked by DpGrant.arrival_link */
} DpTierQueue;

/* --- scheduler_limits.c: workspace limits that all entries share --- */

GHashTable *dp_limits_new (void);
void dp_limits_ask (DpSchedulerCore *core, DpName entry, const DpLimitAsk *request);
void dp_limits_tick (DpSchedulerCore *core);
/* Drops all limit state. For use after a pause: other owners may have admitted requests in the
 * meantime, so the rate limits start without a burst. */
void dp_limits_reset (DpSchedulerCore *core);

/* --- groups, targets, grants, entries --- */

typedef struct DpGroupState
{
  DpHandle self;
  DpName name;
  /* from the manifest */
  gboolean present; /* in the current manifest */
  DpPoolKind kind;
  DpName data_centre;
  GArray *targets; /* DpHandle */
  /* ownership */
  gboolean is_first;  /* this VM is first in rendezvous order */
  gboolean active;    /* this VM is first, or entries use it as the owner */
  gboolean is_synced; /* running grants are known, so that new ones can be given */
  DpUsec active_since;
  GHashTable *reported; /* DpName of entries that sent a complete report while active */
  /* queue */
  DpTierQueue tiers[DP_TIERS_MAX];
  guint waiting;
  guint running[DP_TIERS_MAX];
  GSequence *by_latest_start; /* waiting DpGrant, by latest_start */
  GHashTable *blocks;         /* prefix block -> targets that have it cached */
  double waste_budget;        /* prompt tokens that preemption to cut waits may discard */
  guint next_target;          /* DP_POLICY_ROUND_ROBIN only */
} DpGroupState;

/* Exponentially decayed sums of the seconds that work should have taken at the configured
 * speed, and of the seconds that it took. */
typedef struct DpSpeed
{
  double expected;
  double measured;
} DpSpeed;

typedef enum DpHealth
{
  DP_HEALTH_GOOD,
  DP_HEALTH_SLOW,    /* gets probes only */
  DP_HEALTH_FAILING, /* unreachable or failing requests: gets probes only, after a backoff */
} DpHealth;

typedef struct DpTargetState
{
  DpHandle self;
  DpHandle group;
  DpName name;
  /* from the manifest */
  gboolean present; /* in the current manifest */
  guint index;      /* in the manifest's targets */
  guint window;     /* concurrent requests */
  /* tokens per second; 0: not configured */
  double prefill_speed;
  double decode_speed; /* of all requests together */
  double stream_speed; /* of a single request */
  guint kv_tokens;     /* capacity; 0: not configured */
  GArray *models;      /* DpName */
  /* running requests */
  GPtrArray *grants;    /* DpGrant */
  double tokens;        /* sum of DpGrant.kv_tokens */
  double prefill_ahead; /* uncached prompt tokens of grants without a first token */
  /* measured */
  DpSpeed prefill;
  DpSpeed decode;
  double usual_speed;  /* long-term average, relative to the configured speed */
  double service_time; /* seconds per call of a plain service */
  /* health */
  DpHealth health;
  DpUsec ejected_at;
  DpUsec probe_at; /* earliest time of the next probe */
  DpUsec last_probe;
  DpUsec last_success;
  DpUsec backoff;
  guint good_probes;  /* consecutive */
  guint failures;     /* consecutive */
  guint polls_missed; /* consecutive */
  /* last report */
  DpUsec next_poll;
  guint64 boot;
  guint reported_load;           /* running and waiting requests */
  guint sent_since_report;       /* baseline policies only */
  guint untracked_load;          /* reported requests without a known grant */
  guint previous_untracked_load; /* the same by the previous report; the lower one counts */
  guint64 cache_sequence;        /* of the next event */
  /* prefix cache */
  guint index_in_group;
  GHashTable *cached;       /* blocks assumed to be cached on the target */
  GQueue cached_by_use;     /* the same blocks, most recently used first */
  gboolean cache_uncertain; /* events were lost, or a cached-token count contradicts `cached` */
} DpTargetState;

typedef enum DpGrantState
{
  DP_GRANT_WAITING,
  DP_GRANT_RUNNING,
} DpGrantState;

/* A request that waits for a target or runs on one. */
struct DpGrant
{
  DpHandle self;
  DpGrantState state;
  /* the request */
  DpId attempt;
  DpName entry; /* VM of the entry that sent it */
  DpHandle group;
  DpName tier_name;
  guint tier;
  DpName workspace;
  DpName model;
  guint prompt_tokens;
  /* output lengths, in tokens */
  double output_mean;        /* expected */
  double output_min;         /* planned if the longer estimate would miss the deadline */
  double output_last_resort; /* planned if output_min would miss it too and no other request
                                of the tier runs or waits */
  double output_tokens;      /* planned, for deadlines */
  double cost;               /* expected tokens, charged by fair queueing */
  double kv_tokens;          /* planned, of the target's KV cache */
  double work;               /* seconds that the whole group needs for it */
  double best_cached;        /* prompt tokens cached on the best healthy target on arrival */
  DpUsec deadline;
  gboolean needs_short_output; /* below the top tier: the longer output estimate would miss the
                                  deadline */
  gboolean repeatable;
  guint excluded_count;
  DpName excluded[DP_EXCLUDED_MAX];
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
  DpUsec arrived;
  GList entry_link;
  /* while it waits */
  DpFlow *flow;
  GList link;
  GList arrival_link;
  GSequenceIter *latest_start_iter;
  DpUsec latest_start; /* after it no eligible target, even idle, would finish in time */
  /* while it runs */
  DpHandle target;
  DpUsec granted_at;
  guint batch;                 /* requests on the target when granted, including this one */
  double expected_first_token; /* seconds to the first token at the configured speed */
  double cached_tokens;  /* prompt tokens assumed to be cached on the target when granted */
  double prefill_tokens; /* prompt tokens still to be computed; 0 after the first token */
  gboolean started;      /* first token received */
};

typedef struct DpEntryState
{
  DpName vm;
  DpUsec last_seen;
  GQueue grants;       /* DpGrant, linked by DpGrant.entry_link */
  GHashTable *adverts; /* group's DpName -> DpUsec of the last advert */
  GHashTable *report;  /* attempts in the parts of a report received so far: DpId set */
} DpEntryState;

/* Measured output length of one workspace, model and tier, in tokens. */
typedef struct DpOutputLength
{
  guint64 key; /* hash of (workspace, model, tier); workspace 0: all workspaces */
  guint count;
  double mean;
  double deviation; /* mean absolute deviation */
} DpOutputLength;

struct DpSchedulerCore
{
  gatomicrefcount refs;
  DpSchedulerOptions options;
  DpUsec now;
  DpUsec last_event;
  DpManifest *manifest;
  DpView *view;
  guint tier_count;
  DpTable *groups;
  DpTable *targets;
  DpTable *grants;
  GHashTable *group_by_name;
  GHashTable *target_by_name;
  GHashTable *grant_by_attempt;
  GHashTable *entries;        /* DpName -> DpEntryState */
  GHashTable *output_lengths; /* DpOutputLength.key -> DpOutputLength */
  GHashTable *limits;         /* workspace's DpName -> row of scheduler_limits.c */
  DpUsec limits_since;        /* when `limits` was last dropped */
  guint64 random;             /* random generator's state, from the seed */
  GArray *actions;            /* of the event being handled */
};

/* scheduler_config.c: groups and targets from the manifest */
void dp_scheduler_apply_manifest (DpSchedulerCore *core, DpManifest *manifest);
void dp_group_state_clear (void *row);
void dp_target_state_clear (void *row);
DpGroupState *dp_scheduler_find_group (DpSchedulerCore *core, DpName name);
DpTargetState *dp_scheduler_find_target (DpSchedulerCore *core, DpName name);
DpTargetState *dp_group_target (DpSchedulerCore *core, const DpGroupState *group, guint index);

/* scheduler_queue.c: waiting requests by tier and fair share */
void dp_queue_init (DpGroupState *group);
void dp_queue_clear (DpGroupState *group);
void dp_queue_push (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant);
void dp_queue_remove (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant);
/* Removes the grant from its queue and charges its workspace for it. */
void dp_queue_take (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant);
/* First request of the tier that the target can serve now, or NULL. */
DpGrant *dp_queue_first_servable (DpSchedulerCore *core,
                                  DpGroupState *group,
                                  guint tier,
                                  const DpTargetState *target);
/* Waiting work of the grant's workspace, tier and model, in seconds of the whole group. Sets
 * `share` to the flow's fraction of the tier's waiting weight. */
double dp_queue_flow_work (const DpGroupState *group, const DpGrant *grant, double *share);
/* Lowest tier below `tier` that has waiting requests, or -1. */
int dp_queue_lowest_tier_below (const DpGroupState *group, guint tier);

/* scheduler_prefix.c: prompt prefixes cached on targets */
/* Number of cached leading blocks of one prompt, by DpTargetState.index_in_group. */
typedef struct DpPrefixMatch
{
  guint8 blocks[DP_GROUP_TARGETS_MAX];
} DpPrefixMatch;

void dp_prefix_init_target (DpTargetState *target);
void dp_prefix_clear_target (DpGroupState *group, DpTargetState *target);
void dp_prefix_match (const DpGroupState *group, const DpGrant *grant, DpPrefixMatch *match);
/* Prompt tokens that the target has cached and need not compute. */
double dp_prefix_matched_tokens (const DpTargetState *target,
                                 const DpGrant *grant,
                                 const DpPrefixMatch *match);
double dp_prefix_cached_tokens (const DpTargetState *target, const DpGrant *grant);
/* TRUE if the request should wait for a target that has more of its prompt cached. `cached`:
 * prompt tokens cached on this target. */
gboolean dp_prefix_should_wait (const DpSchedulerCore *core,
                                const DpTargetState *target,
                                const DpGrant *grant,
                                double cached);
/* Records the prompt as cached on the target that computes it. */
void dp_prefix_on_sent (DpGroupState *group, DpTargetState *target, const DpGrant *grant);
/* Undoes dp_prefix_on_sent() for a grant that ended before its prompt was computed. */
void dp_prefix_on_aborted (DpGroupState *group, DpTargetState *target, const DpGrant *grant);
/* Compares the cached tokens that the target counted for the grant with the assumed number. */
void dp_prefix_on_usage (DpGroupState *group,
                         DpTargetState *target,
                         const DpGrant *grant,
                         guint counted);
/* Applies the report's cache events. */
void dp_prefix_on_cache_events (DpGroupState *group,
                                DpTargetState *target,
                                const DpLoadReport *load);

/* scheduler_estimate.c: output length, cost, service time and wait */
/* Sets the grant's token counts and cost. */
void dp_estimate_request (DpSchedulerCore *core, DpGrant *grant, const DpGrantAsk *ask);
/* Records the length of a complete answer. */
void
dp_estimate_record_length (DpSchedulerCore *core, const DpGrant *grant, guint output_tokens);
/* Service time of the request if it were sent to the target now. */
DpUsec
dp_estimate_service_time (const DpTargetState *target, const DpGrant *grant, double cached);
/* Service time of the request on the target without other requests. */
DpUsec dp_estimate_idle_service_time (const DpTargetState *target,
                                      const DpGrant *grant,
                                      double cached);
/* Seconds of the target's full throughput that the request needs. */
double dp_estimate_work (const DpTargetState *target, const DpGrant *grant, double cached);
/* Time until the group has served the requests that wait at `tier` and above. */
DpUsec dp_estimate_drain_time (const DpGroupState *group, guint tier);
/* Wait of a new request, by its tier and its workspace's share. */
DpUsec dp_estimate_wait_time (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant);

/* Decode time at the configured speed, in seconds. */
double dp_estimate_nominal_decode (const DpTargetState *target, double tokens, guint batch);
/* Prefill time at the configured speed, including the pending prefill, in seconds. */
double dp_estimate_nominal_prefill (const DpTargetState *target, double tokens);

/* scheduler_health.c: measured speed, slow and failing targets, probes */
/* Measured speed relative to the configured one. */
double dp_speed_ratio (const DpSpeed *speed);
void dp_health_reset_speed (DpTargetState *target);
void dp_health_on_done (DpSchedulerCore *core,
                        DpGroupState *group,
                        DpTargetState *target,
                        const DpGrant *grant,
                        const DpGrantDone *done);
void dp_health_on_poll (DpSchedulerCore *core, DpTargetState *target, gboolean reachable);
void dp_health_on_restart (DpTargetState *target);
void dp_health_tick (DpSchedulerCore *core, DpGroupState *group);
/* Revokes waiting requests whose eligible targets are all failing, so that other groups can
 * serve them. */
void dp_health_revoke_unservable (DpSchedulerCore *core, DpGroupState *group);
/* Time until a failing target may be probed with the request; 0: at once, or no eligible target
 * is failing. */
DpUsec dp_health_recovery_delay (DpSchedulerCore *core,
                                 const DpGroupState *group,
                                 const DpGrant *grant);
/* TRUE while a failing target may not be probed yet. */
gboolean dp_health_is_in_backoff (const DpSchedulerCore *core, const DpTargetState *target);
/* TRUE if the request may be sent to an ejected target as a probe. */
gboolean dp_health_may_probe (const DpSchedulerCore *core,
                              const DpTargetState *target,
                              const DpGrant *grant);

/* scheduler_targets.c: window, load, choice of a target */
/* TRUE if the target serves the request's model and the request does not exclude it. */
gboolean dp_target_is_eligible (const DpTargetState *target, const DpGrant *grant);
/* Concurrent requests: the configured window, reduced by the measured decode speed. */
guint dp_target_window (const DpTargetState *target);
/* TRUE if the target has no room for any request. */
gboolean dp_target_is_full (const DpTargetState *target);
gboolean dp_target_has_room (const DpSchedulerCore *core,
                             const DpTargetState *target,
                             const DpGrant *grant);
/* Capacity that preemption would free on a target. */
typedef struct DpFreedCapacity
{
  guint count;
  double tokens;  /* sum of DpGrant.kv_tokens */
  double prefill; /* prompt tokens not computed yet */
} DpFreedCapacity;

/* TRUE if a healthy target would have room after `freed` was released. */
gboolean dp_target_has_room_without (const DpTargetState *target,
                                     const DpGrant *grant,
                                     const DpFreedCapacity *freed);
void dp_target_add (DpGroupState *group, DpTargetState *target, DpGrant *grant);
void dp_target_remove (DpGroupState *group, DpTargetState *target, DpGrant *grant);
/* Releases the grant's pending prefill: the first token arrived, or the grant ended. */
void dp_target_end_prefill (DpTargetState *target, DpGrant *grant);
/* The target with room that would finish the request first and in time, or NULL. */
DpTargetState *
dp_targets_choose (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant);
void dp_targets_on_load (DpSchedulerCore *core, const DpLoadReport *load);
void dp_targets_poll (DpSchedulerCore *core, DpGroupState *group);

/* scheduler_grants.c: requests and grants */
void dp_grants_on_ask (DpSchedulerCore *core, DpName entry, const DpGrantAsk *ask);
void
dp_grants_on_progress (DpSchedulerCore *core, DpName entry, const DpGrantProgress *progress);
void dp_grants_on_done (DpSchedulerCore *core, DpName entry, const DpGrantDone *done);
void dp_grants_fill (DpSchedulerCore *core, DpGroupState *group);
void dp_grants_expire (DpSchedulerCore *core, DpGroupState *group);
/* Grants the target to a waiting request. */
void dp_grants_assign (DpSchedulerCore *core,
                       DpGroupState *group,
                       DpGrant *grant,
                       DpTargetState *target);
/* Removes a waiting or running grant without notifying its entry. */
void dp_grants_remove (DpSchedulerCore *core, DpGrant *grant);
/* Removes the grant and notifies its entry. */
void dp_grants_revoke (DpSchedulerCore *core, DpGrant *grant, DpReason reason);
DpGrant *dp_grants_find (DpSchedulerCore *core, DpId attempt);
guint dp_grants_hash_id (gconstpointer id);
gboolean dp_grants_equal_ids (gconstpointer a, gconstpointer b);
/* Adds a running grant that an entry reported and that is not known here. */
void dp_grants_adopt (DpSchedulerCore *core,
                      DpGroupState *group,
                      DpName entry,
                      const DpHeldGrant *held);

/* scheduler_preempt.c: preemption of running requests */
/* Credits the preemption budget with a fraction of the prompt tokens sent to a target. */
void dp_preempt_add_budget (DpGroupState *group, double prompt_tokens);
void dp_preempt_run (DpSchedulerCore *core, DpGroupState *group);
/* Preempts for one waiting request that is about to miss its deadline. */
void dp_preempt_for_grant (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant);
/* The cheapest victim of the lowest running tier below `tier`, or NULL. */
DpGrant *dp_preempt_find_victim (DpSchedulerCore *core, DpGroupState *group, guint tier);

/* scheduler_baseline.c: baseline policies for benchmarks */
DpTargetState *
dp_baseline_choose (DpSchedulerCore *core, DpGroupState *group, const DpGrant *grant);

/* scheduler_owners.c: group ownership, entries' reports, adverts */
void dp_owners_apply_view (DpSchedulerCore *core, DpView *view);
void dp_owners_activate (DpSchedulerCore *core, DpGroupState *group);
void dp_owners_reset (DpSchedulerCore *core);
void dp_owners_tick (DpSchedulerCore *core, DpGroupState *group);
void dp_owners_on_report (DpSchedulerCore *core, DpName from, const DpGrantHeld *held);
void dp_owners_expire_entries (DpSchedulerCore *core);
DpEntryState *dp_owners_obtain_entry (DpSchedulerCore *core, DpName vm);
void dp_owners_send_advert (DpSchedulerCore *core,
                            const DpGroupState *group,
                            DpName to,
                            gboolean always);
void dp_entry_state_free (gpointer data);

/* scheduler.c */
/* Appends a SEND action and returns it; the caller fills in the message. */
DpSchedulerAction *dp_scheduler_send (DpSchedulerCore *core, DpName entry, DpMessageType type);
void dp_scheduler_count (DpSchedulerCore *core,
                         const char *name,
                         const char *label,
                         const char *value);
