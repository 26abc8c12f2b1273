/* The scheduler's board: tables that the controllers read and write. Private to
 * core/scheduler*.c.
 *
 * The board owns groups, targets, grants and entries. Controllers run in a fixed order within
 * dp_scheduler_handle(); each owns the functions named for it below.
 */
#pragma once

#include "common/prefix.h"
#include "common/table.h"
#include "core/scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Ticks come at least this often. */
#define DP_SCHEDULER_TICK_USEC (50 * DP_USEC_PER_MSEC)
/* Without an event for this long the process was paused: what it held may be void. */
#define DP_SCHEDULER_PAUSE_USEC (1 * DP_USEC_PER_SEC)
/* A new owner learns the running grants for this long before it gives any. */
#define DP_OWNER_LEARN_USEC (700 * DP_USEC_PER_MSEC)
/* The grants of an entry lapse after this long without its report. */
#define DP_ENTRY_LAPSE_USEC (3 * DP_USEC_PER_SEC)
/* A grant younger than this may be missing from its entry's report. */
#define DP_HELD_GRACE_USEC (1 * DP_USEC_PER_SEC)
/* An entry gets a group's advert at most this often, but for the answer to its report. */
#define DP_ADVERT_USEC (200 * DP_USEC_PER_MSEC)
#define DP_POLL_USEC (500 * DP_USEC_PER_MSEC)
/* Waiting requests a group, if the options name no other bound. */
#define DP_QUEUE_MAX 4096
/* Estimated prefill handed to a target ahead of what it computes. */
#define DP_PREFILL_AHEAD_USEC (150 * DP_USEC_PER_MSEC)
/* Requests of one flow that are looked at for one that a target can serve. */
#define DP_QUEUE_SCAN_MAX 8

/* A request is passed by for later ones with a cached prefix until it has waited this long. */
#define DP_PREFIX_PATIENCE_USEC (500 * DP_USEC_PER_MSEC)

/* A new owner's estimate of the wait does not refuse anything for this long: it does not know
 * yet what the targets have cached. */
#define DP_OWNER_TRUST_USEC (5 * DP_USEC_PER_SEC)
/* A request waits at most this long for a target that has its prefix cached. */
#define DP_PREFIX_WAIT_MAX_USEC (1 * DP_USEC_PER_SEC)
/* Prompt tokens that a group's first preemptions may throw away. */
#define DP_WASTE_BUDGET_START 2000

/* --- queue --- */

typedef struct DpGrant DpGrant;

/* A workspace's share within one tier of one group (start-time fair queueing). */
typedef struct DpShare
{
  DpName workspace;
  double finish; /* virtual time at which what it was given is paid for */
} DpShare;

/* Waiting requests of one workspace for one model, oldest first. */
typedef struct DpFlow
{
  DpName workspace;
  DpShare *share;
  GQueue grants; /* DpGrant, linked by DpGrant.link */
  double weight;
  double work;  /* of its grants, in seconds of the whole group */
  double start; /* virtual start of its first request; orders the lane */
  GSequenceIter *place;
} DpFlow;

/* Flows of one tier that want the same model. */
typedef struct DpLane
{
  DpName model;
  GSequence *flows;         /* DpFlow with waiting requests, by start */
  GHashTable *by_workspace; /* DpName -> DpFlow */
} DpLane;

typedef struct DpTierQueue
{
  double virtual_time;
  guint waiting;
  double waiting_work;   /* seconds of the whole group */
  double waiting_weight; /* of the flows that wait */
  GPtrArray *lanes;      /* DpLane */
  GHashTable *shares;    /* DpName -> DpShare */
  GQueue newest;         /* DpGrant by arrival, linked by DpGrant.arrival_link */
} DpTierQueue;

/* --- scheduler_limits.c: limits of workspaces over all entries --- */

GHashTable *dp_limits_new (void);
void dp_limits_ask (DpSchedulerBoard *board, DpName entry, const DpLimitAsk *ask);
void dp_limits_tick (DpSchedulerBoard *board);
/* After a pause others have given leave meanwhile: no burst is allowed at first. */
void dp_limits_forget (DpSchedulerBoard *board);

/* --- groups, targets, grants, entries --- */

typedef struct DpGroupState
{
  DpHandle self;
  DpName name;
  /* from the manifest */
  gboolean present;
  DpPoolKind kind;
  DpName data_centre;
  GArray *targets; /* DpHandle */
  /* ownership */
  gboolean is_first; /* this VM is first in rendezvous order */
  gboolean active;   /* asked or reported to, or first */
  gboolean settled;  /* knows the running grants */
  DpUsec active_since;
  GHashTable *reported; /* DpName of entries that reported since then */
  /* queue */
  DpTierQueue tiers[DP_TIERS_MAX];
  guint waiting;
  guint running[DP_TIERS_MAX];
  GSequence *by_latest_start; /* DpGrant that wait, by latest_start */
  GHashTable *blocks;         /* prefix blocks -> targets that have them cached */
  double waste_budget;        /* prompt tokens that preemption for a wait may throw away */
  guint next_target;          /* round robin */
} DpGroupState;

/* Seconds that work should have taken by the stated speed, and took; both fade. */
typedef struct DpSpeed
{
  double expected;
  double measured;
} DpSpeed;

typedef enum DpHealth
{
  DP_HEALTH_GOOD,
  DP_HEALTH_SLOW,    /* a straggler: probes only */
  DP_HEALTH_FAILING, /* unreachable or breaking off: probes only, after a backoff */
} DpHealth;

typedef struct DpTargetState
{
  DpHandle self;
  DpHandle group;
  DpName name;
  /* from the manifest */
  gboolean present;
  guint index;
  guint window;
  double prefill_speed; /* tokens a second */
  double decode_speed;  /* tokens a second, all requests together */
  double stream_speed;  /* tokens a second, one request alone */
  guint kv_tokens;
  GArray *models; /* DpName */
  /* in service */
  GPtrArray *grants;    /* DpGrant */
  double tokens;        /* estimated, of all grants */
  double prefill_ahead; /* uncached prompt tokens of grants without a first token */
  /* measured */
  DpSpeed prefill;
  DpSpeed decode;
  double past;         /* its usual speed, relative to the stated one */
  double service_time; /* of a plain service's call, in seconds */
  /* health */
  DpHealth health;
  DpUsec aside_since;
  DpUsec probe_at; /* no probe before */
  DpUsec last_probe;
  DpUsec last_success;
  DpUsec backoff;
  guint good_probes;
  guint failures; /* in a row */
  guint polls_missed;
  /* last report */
  DpUsec next_poll;
  guint64 boot;
  guint reported_load;     /* running and waiting */
  guint sent_since_report; /* baselines only */
  guint excess;            /* requests that are not by our grants, by the last report */
  guint excess_before;     /* and by the one before */
  guint64 cache_sequence;  /* of the next event */
  /* prefix cache */
  guint place;              /* in its group */
  GHashTable *cached;       /* blocks */
  GQueue cached_by_use;     /* the same, last used first */
  gboolean cache_uncertain; /* events were lost, or the record proved wrong */
} DpTargetState;

typedef enum DpGrantState
{
  DP_GRANT_WAITING,
  DP_GRANT_RUNNING,
} DpGrantState;

/* One ask: it waits for a grant or holds one. */
struct DpGrant
{
  DpHandle self;
  DpGrantState state;
  /* the ask */
  DpId attempt;
  DpName entry; /* VM */
  DpHandle group;
  DpName tier_name;
  guint tier;
  DpName workspace;
  DpName model;
  guint prompt_tokens;
  double output_mean;   /* expected */
  double output_least;  /* planned with when there is no time for more */
  double output_stated; /* by the manifest, while no length is known */
  double output_tokens; /* planned with, for deadlines */
  double cost;          /* tokens, for fair shares */
  double kv_tokens;     /* planned with, for the target's memory */
  double work;          /* seconds that the whole group needs for it */
  double best_cached;   /* prompt tokens cached on the best target, when it came */
  DpUsec deadline;
  gboolean is_doubtful; /* only an answer of less than the planned length would be in time */
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
  GSequenceIter *latest_start_place;
  DpUsec latest_start; /* after it, no able target could finish in time */
  /* while it runs */
  DpHandle target;
  DpUsec granted_at;
  guint batch;           /* requests on the target, with this one, when it was given */
  double expected_first; /* seconds to the first token by the stated speed */
  double cached_tokens;  /* of the prompt, by the record when it was given */
  double prefill_tokens; /* uncached part of the prompt */
  gboolean started;      /* first token seen */
};

typedef struct DpEntryState
{
  DpName vm;
  DpUsec last_seen;
  GQueue grants;       /* DpGrant, linked by DpGrant.entry_link */
  GHashTable *adverts; /* group's DpName -> DpUsec of the last advert */
  GHashTable *report;  /* attempts of the report that is coming in: DpId -> NULL */
} DpEntryState;

/* Length of answers of one workspace, model and tier. */
typedef struct DpLength
{
  guint64 key;
  guint count;
  double mean;
  double deviation;
} DpLength;

struct DpSchedulerBoard
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
  GHashTable *entries; /* DpName -> DpEntryState */
  GHashTable *lengths; /* of (workspace, model, tier) -> DpLength */
  GHashTable *limits;  /* workspace -> row of scheduler_limits.c */
  DpUsec limits_since;
  guint64 random;  /* state of the generator, from the seed */
  GArray *actions; /* of the event in hand */
};

/* scheduler_config.c: rows from the manifest */
void dp_scheduler_apply_manifest (DpSchedulerBoard *board, DpManifest *manifest);
void dp_group_state_clear (void *row);
void dp_target_state_clear (void *row);
DpGroupState *dp_scheduler_find_group (DpSchedulerBoard *board, DpName name);
DpTargetState *dp_scheduler_find_target (DpSchedulerBoard *board, DpName name);
DpTargetState *
dp_group_target (DpSchedulerBoard *board, const DpGroupState *group, guint place);

/* scheduler_queue.c: tiers, fair shares */
void dp_queue_init (DpGroupState *group);
void dp_queue_clear (DpGroupState *group);
void dp_queue_push (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant);
void dp_queue_remove (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant);
/* Charges the grant's workspace for it and takes it off the queue. */
void dp_queue_take (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant);
/* First request of the tier that the target can serve, or NULL. */
DpGrant *dp_queue_first_servable (DpSchedulerBoard *board,
                                  DpGroupState *group,
                                  guint tier,
                                  const DpTargetState *target);
/* Work that waits of the grant's workspace, tier and model, and its share of the tier. */
double dp_queue_flow_work (const DpGroupState *group, const DpGrant *grant, double *share);
/* Lowest tier that waits and is below `tier`, or -1. */
int dp_queue_lowest_below (const DpGroupState *group, guint tier);

/* scheduler_prefix.c: prompt prefixes cached on targets */
/* Cached leading blocks of one prompt, by the target's place in its group. */
typedef struct DpPrefixMatch
{
  guint8 blocks[DP_GROUP_TARGETS_MAX];
} DpPrefixMatch;

void dp_prefix_init_target (DpTargetState *target);
void dp_prefix_forget (DpGroupState *group, DpTargetState *target);
void dp_prefix_match (const DpGroupState *group, const DpGrant *grant, DpPrefixMatch *match);
/* Prompt tokens that the target need not compute. */
double dp_prefix_cached (const DpTargetState *target,
                         const DpGrant *grant,
                         const DpPrefixMatch *match);
double dp_prefix_cached_on (const DpTargetState *target, const DpGrant *grant);
/* TRUE if the grant should rather wait a little for a target that has more of it cached. */
gboolean dp_prefix_should_wait (const DpSchedulerBoard *board,
                                const DpTargetState *target,
                                const DpGrant *grant,
                                double cached);
/* The prompt is computed there. */
void dp_prefix_sent (DpGroupState *group, DpTargetState *target, const DpGrant *grant);
/* The grant ended before its prompt was computed. */
void dp_prefix_not_computed (DpGroupState *group, DpTargetState *target, const DpGrant *grant);
/* The target has counted so many cached tokens for the grant. */
void dp_prefix_counted (DpGroupState *group,
                        DpTargetState *target,
                        const DpGrant *grant,
                        guint counted);
void dp_prefix_events (DpGroupState *group, DpTargetState *target, const DpLoadReport *load);

/* scheduler_estimate.c: cost and finish time */
void dp_estimate_ask (DpSchedulerBoard *board, DpGrant *grant, const DpGrantAsk *ask);
void
dp_estimate_learn_length (DpSchedulerBoard *board, const DpGrant *grant, guint output_tokens);
/* Time from now until the target would have finished the request, if it were sent now. */
DpUsec dp_estimate_service (const DpTargetState *target, const DpGrant *grant, double cached);
/* The same on the target alone. */
DpUsec dp_estimate_idle (const DpTargetState *target, const DpGrant *grant, double cached);
/* Seconds of the target alone that the request takes from its throughput. */
double dp_estimate_work (const DpTargetState *target, const DpGrant *grant, double cached);
/* Time until the group has served what waits at `tier` and above. */
DpUsec dp_estimate_drain (const DpGroupState *group, guint tier);
/* Time that a new request would wait, by its tier and its workspace's share. */
DpUsec dp_estimate_wait (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant);

/* Decode seconds by the stated speed. */
double dp_estimate_nominal_decode (const DpTargetState *target, double tokens, guint batch);
/* Prefill seconds by the stated speed, with what is ahead of it. */
double dp_estimate_nominal_prefill (const DpTargetState *target, double tokens);

/* scheduler_health.c: measured speed, stragglers, failures */
/* Measured speed relative to the stated one. */
double dp_speed_ratio (const DpSpeed *speed);
void dp_health_reset_speed (DpTargetState *target);
void dp_health_done (DpSchedulerBoard *board,
                     DpGroupState *group,
                     DpTargetState *target,
                     const DpGrant *grant,
                     const DpGrantDone *done);
void dp_health_polled (DpSchedulerBoard *board, DpTargetState *target, gboolean reachable);
void dp_health_restarted (DpTargetState *target);
void dp_health_tick (DpSchedulerBoard *board, DpGroupState *group);
/* Sends away what waits for targets that all fail: other groups may serve it. */
void dp_health_release_stranded (DpSchedulerBoard *board, DpGroupState *group);
/* TRUE while a failing target is not even probed. */
/* Time until a target that fails now may take the request; 0: at once, or there is none. */
DpUsec
dp_health_back_after (DpSchedulerBoard *board, const DpGroupState *group, const DpGrant *grant);
gboolean dp_health_is_down (const DpSchedulerBoard *board, const DpTargetState *target);
/* TRUE if the grant may be sent to a target that is set aside. */
gboolean dp_health_may_probe (const DpSchedulerBoard *board,
                              const DpTargetState *target,
                              const DpGrant *grant);

/* scheduler_targets.c: window, load, choice of a target */
gboolean dp_target_is_able (const DpTargetState *target, const DpGrant *grant);
/* Requests at once, by the measured speed. */
guint dp_target_window (const DpTargetState *target);
/* TRUE if it has room for no request whatever. */
gboolean dp_target_is_full (const DpTargetState *target);
gboolean dp_target_has_room (const DpSchedulerBoard *board,
                             const DpTargetState *target,
                             const DpGrant *grant);
/* What a target would no longer hold. */
typedef struct DpTargetFreed
{
  guint count;
  double tokens;
  double prefill; /* prompt tokens */
} DpTargetFreed;

gboolean dp_target_has_room_without (const DpTargetState *target,
                                     const DpGrant *grant,
                                     const DpTargetFreed *freed);
void dp_target_add (DpGroupState *group, DpTargetState *target, DpGrant *grant);
void dp_target_remove (DpGroupState *group, DpTargetState *target, DpGrant *grant);
void dp_target_first_token (DpTargetState *target, DpGrant *grant);
/* The target with room that finishes the request first, or NULL. */
DpTargetState *
dp_targets_choose (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant);
void dp_targets_load (DpSchedulerBoard *board, const DpLoadReport *load);
void dp_targets_poll (DpSchedulerBoard *board, DpGroupState *group);

/* scheduler_grants.c: asks, grants, preemption */
void dp_grants_ask (DpSchedulerBoard *board, DpName entry, const DpGrantAsk *ask);
void
dp_grants_progress (DpSchedulerBoard *board, DpName entry, const DpGrantProgress *progress);
void dp_grants_done (DpSchedulerBoard *board, DpName entry, const DpGrantDone *done);
void dp_grants_fill (DpSchedulerBoard *board, DpGroupState *group);
void dp_grants_expire (DpSchedulerBoard *board, DpGroupState *group);
/* Gives a target to a grant that waits. */
void dp_grants_give_waiting (DpSchedulerBoard *board,
                             DpGroupState *group,
                             DpGrant *grant,
                             DpTargetState *target);
/* Forgets the grant, whether it waits or runs. */
void dp_grants_forget (DpSchedulerBoard *board, DpGrant *grant);
void dp_grants_revoke (DpSchedulerBoard *board, DpGrant *grant, DpReason reason);
DpGrant *dp_grants_find (DpSchedulerBoard *board, DpId attempt);
guint dp_grants_hash_id (gconstpointer id);
gboolean dp_grants_equal_ids (gconstpointer a, gconstpointer b);
/* Adds a running grant of which its entry reports. */
void dp_grants_adopt (DpSchedulerBoard *board,
                      DpGroupState *group,
                      DpName entry,
                      const DpHeld *held);

/* scheduler_preempt.c: running requests that give way */
/* The group has sent work to a target: a share of it may be thrown away. */
void dp_preempt_earn (DpGroupState *group, double prompt_tokens);
void dp_preempt_run (DpSchedulerBoard *board, DpGroupState *group);
/* For one request that waits. */
void dp_preempt_run_for (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant);
/* The cheapest victim of the lowest tier that runs below `tier`, or NULL. */
DpGrant *dp_preempt_lowest_running (DpSchedulerBoard *board, DpGroupState *group, guint tier);

/* scheduler_baseline.c: policies to measure against */
DpTargetState *
dp_baseline_choose (DpSchedulerBoard *board, DpGroupState *group, const DpGrant *grant);

/* scheduler_owners.c: ownership, entries' reports, adverts */
void dp_owners_apply_view (DpSchedulerBoard *board, DpView *view);
void dp_owners_activate (DpSchedulerBoard *board, DpGroupState *group);
void dp_owners_drop_all (DpSchedulerBoard *board);
void dp_owners_tick (DpSchedulerBoard *board, DpGroupState *group);
void dp_owners_held (DpSchedulerBoard *board, DpName from, const DpGrantHeld *held);
void dp_owners_lapse_entries (DpSchedulerBoard *board);
DpEntryState *dp_owners_entry (DpSchedulerBoard *board, DpName vm);
void dp_owners_advert (DpSchedulerBoard *board,
                       const DpGroupState *group,
                       DpName to,
                       gboolean always);
void dp_entry_state_free (gpointer data);

/* scheduler.c */
DpSchedulerAction *
dp_scheduler_send (DpSchedulerBoard *board, DpName entry, DpMessageType type);
void dp_scheduler_count (DpSchedulerBoard *board,
                         const char *name,
                         const char *label,
                         const char *value);
