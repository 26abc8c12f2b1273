/* Internal state of the dispatcher, shared by core/dispatcher/dispatcher*.c. */
#pragma once

#include "core/admission/admission.h"
#include "core/brittle_target.h"
#include "core/dispatcher/dispatcher.h"
#include "core/latency_model.h"
#include "core/shared_mode/transit.h"
#include "core/target_limiter.h"

/* A suspect target is probed with one request after this interval, which doubles with each
 * consecutive failure. */
#define DP_PROBE_INTERVAL_MIN (250 * DP_USEC_PER_MSEC)
#define DP_PROBE_INTERVAL_MAX (2 * DP_USEC_PER_SEC)
/* Requests assigned to a target beyond its slots, so that a freed slot is reused at once. */
#define DP_WINDOW_EXTRA 1

typedef struct DpDispatchRequest DpDispatchRequest;

typedef struct DpDispatchTarget
{
  DpHandle self;
  DpName name;
  DpName data_centre;
  DpName version; /* of its software */
  guint slots;
  gboolean is_draining;
  gboolean is_unlisted; /* its version may begin no streams, see dp_versions_may_begin() */
  GPtrArray *requests;  /* DpDispatchRequest: assigned to this target */
  double pace;          /* relative to the pool's model, see core/latency_model.h */
  double failure_rate;  /* moving average of outcomes, 0 to 1 */
  gboolean is_suspect;  /* unresponsive or unreachable: receives single probes only */
  DpUsec next_probe_at;
  DpUsec probe_interval;
  DpUsec full_until;        /* after it rejected a request for lack of capacity */
  DpTransitBound bound;     /* after such rejections while the pool was short */
  DpUsec paused_until;      /* as requested by the target */
  DpTargetLimiter *limiter; /* NULL: the target has stated no limit */
  guint64 started;          /* Unix milliseconds, identifies the incarnation */
  DpUsec limit_observed_at; /* time of the latest response about the limit */
  DpBrittleTarget *brittle; /* NULL: the target is not brittle */
  guint rejections_max;     /* if brittle */
  DpUsec brittle_observed_at;
  gboolean has_limit_news; /* one of these has changed, and was not announced yet */
  gboolean is_participant; /* takes part in the roll-out of its version */
  DpCapacity *capacity;    /* what it takes well */
  guint announced_limit;   /* last announced; 0: none */
  guint64 skipped_round;   /* last assign_round in which no waiting request could use it */
} DpDispatchTarget;

typedef enum DpDispatchRequestState
{
  DP_DISPATCH_REQUEST_WAITING,
  DP_DISPATCH_REQUEST_RUNNING,
} DpDispatchRequestState;

/* A request that waits or is assigned to a target. */
struct DpDispatchRequest
{
  DpHandle self;
  DpDispatchRequestState state;
  DpGrantAsk ask;
  DpName entry;
  DpUsec arrived_at;
  DpUsec objective_at; /* a later first byte misses the latency objective */
  DpUsec deadline;
  gboolean has_returned; /* its caller was refused before and has come back */
  guint waiting_index;   /* in DpDispatcher.waiting */
  /* running */
  DpHandle target;
  DpUsec granted_at;
  DpUsec expected_first_event; /* after granted_at */
  gboolean started;            /* first event received */
  gboolean was_adopted;        /* known only from an entry's report */
  gboolean was_revoked;        /* the entry was told to end it */
  gboolean is_in_rollout;      /* assigned under the current order */
  double rollout_counted;      /* see dp_rollout_record_grant() */
  /* at its target, see dispatcher_capacity.c */
  gboolean has_unread_prompt;
  guint tokens_ahead;   /* of prompts that the target was to read before, when granted */
  guint requests_ahead; /* that have to end before it gets a slot */
  DpUsec slot_wait;     /* after granted_at, until it got a slot */
  double occupancy;     /* see dp_capacity_occupancy(), when granted */
};

typedef struct DpDispatchEntry
{
  DpName vm;
  DpUsec last_seen_at;
  DpUsec advert_sent_at;
  guint waiting;       /* number of its waiting requests */
  gboolean is_cut_off; /* see DpGrantHeld */
} DpDispatchEntry;

/* The target that last processed a session's prompt. */
typedef struct DpSessionTarget
{
  DpName target;
  DpUsec used_at;
} DpSessionTarget;

struct DpDispatcher
{
  DpDispatcherOptions options;
  DpUsec now;     /* of the current call */
  GArray *outbox; /* of the current call */
  DpTable *targets;
  DpTable *requests;
  GHashTable *target_by_name;     /* DpName -> DpHandle */
  GHashTable *request_by_attempt; /* DpId -> DpDispatchRequest */
  GHashTable *entries;            /* DpName -> DpDispatchEntry */
  GHashTable *sessions;           /* guint64 -> DpSessionTarget */
  GPtrArray *waiting;   /* DpDispatchRequest, unordered: short enough to scan for each choice */
  GArray *links;        /* between data centres, see dispatcher_links.c */
  guint64 assign_round; /* number of passes over the waiting requests */
  DpLatencyModel latency_model;
  DpCapacityPool capacity;
  DpUsec capacities_announced_at; /* changes, or all that differ from the default */
  DpUsec all_capacities_announced_at;
  DpUsec other_learner_heard_at; /* another owner's announcement, while this VM is one too */
  DpIgnoredCapacity ignored;     /* last bad row of an announcement */
  double slot_ms[DP_URGENCY_LEVELS]; /* moving average of the time in a slot, by urgency */
  guint waiting_by_urgency[DP_URGENCY_LEVELS];
  DpUsec late_granted_at[DP_URGENCY_LEVELS]; /* last grant to a request that was late by then */
  DpUsec granted_at;                         /* last grant to any request */
  DpInflow inflow;
  DpReturns *returns;
  guint running;
  DpDispatchPolicy policy; /* in force: options.policy, or QUEUE while the pool is short */
  guint others;            /* see dp_dispatcher_set_others() */
  double others_running;
  gboolean is_short; /* see dp_dispatcher_set_short() */
  DpUsec short_at;   /* time of the last beginning */
  DpTransit transit; /* since then */
  guint limited;     /* number of targets with a limit */
  guint brittle;     /* number of brittle targets */
  guint unlisted;    /* number of targets whose versions may begin no streams yet */
  gboolean was_asked_with_unlisted; /* a stream was to begin since there is one */
  GArray *other_owners;             /* lately heard, see dispatcher_limits.c */
  double reach;                     /* see dp_dispatcher_set_reach() */
  DpUsec asked_at;                  /* last use as the owner of a shared pool */
  DpUsec announced_at;              /* last announcement of all limits */
  gboolean was_limit_reported;      /* since then */
  DpUsec present_at;                /* last announcement, also of none */
  DpRollout *rollout;               /* NULL: no order */
  guint64 random;                   /* state of the random number generator */
};

/* --- dispatcher_targets.c: target health and selection --- */

/* Returns NULL if the target is unknown. */
DpDispatchTarget *dp_dispatch_find_target (const DpDispatcher *dispatcher, DpName name);
void dp_dispatch_target_clear (void *row);
/* TRUE unless the target is draining or paused. */
gboolean dp_dispatch_is_accepting (const DpDispatcher *dispatcher,
                                   const DpDispatchTarget *target);
/* Sets which targets' versions may begin no streams yet. Must be called again while there are
 * any: they may after DP_VERSION_HOLD_MAX all the same. */
void dp_dispatch_update_unlisted (DpDispatcher *dispatcher);
/* Number of additional requests that the target can be given now. */
guint dp_dispatch_free_capacity (const DpDispatcher *dispatcher,
                                 const DpDispatchTarget *target);
/* The target has rejected a request that this dispatcher assigned while the pool was short. */
void dp_dispatch_lower_window (const DpDispatcher *dispatcher, DpDispatchTarget *target);
/* Returns the best target with free capacity, or NULL. If `request` is not NULL, skips targets
 * that it may not use and prefers one that probably has its prompt cached. Otherwise skips
 * targets whose skipped_round is the current one. */
DpDispatchTarget *dp_dispatch_choose_target (DpDispatcher *dispatcher,
                                             const DpDispatchRequest *request);
/* Updates the target's health after one of its requests has ended. */
void dp_dispatch_record_success (DpDispatcher *dispatcher, DpDispatchTarget *target);
void dp_dispatch_record_failure (DpDispatcher *dispatcher,
                                 DpDispatchTarget *target,
                                 DpReason reason);
/* Expected time to the first event at the fastest target in service, i.e. accepting and not
 * suspect. */
DpUsec dp_dispatch_fastest_first_event (const DpDispatcher *dispatcher, guint prompt_tokens);
/* Number of slots of all targets in service that requests of this average time in a slot can
 * use: with a limit, a target may not be able to fill its slots. */
double dp_dispatch_usable_slots (const DpDispatcher *dispatcher, double slot_ms);
/* Marks targets with overdue requests as suspect, and revokes those requests if repeatable. */
void dp_dispatch_check_timeouts (DpDispatcher *dispatcher);
gboolean dp_dispatch_is_excluded (const DpGrantAsk *ask, DpName target);

/* TRUE if the request may be sent to the target, free capacity aside. */
gboolean dp_dispatch_may_use (const DpDispatcher *dispatcher,
                              const DpGrantAsk *ask,
                              const DpDispatchTarget *target);

/* --- dispatcher_limits.c: limits that targets state for all VMs --- */

/* Applies the limit in the directory. */
void dp_dispatch_set_limit (DpDispatcher *dispatcher,
                            DpDispatchTarget *target,
                            const DpDirectoryRow *row);
/* Another VM has announced that it assigns requests to the pool's targets. */
void
dp_dispatch_on_other_owner (DpDispatcher *dispatcher, DpName vm, const DpTargetLimits *limits);
/* A VM uses this dispatcher as the pool's owner. */
void dp_dispatch_record_use_as_owner (DpDispatcher *dispatcher);
/* A VM has reported a limit to this VM as the pool's owner. */
void dp_dispatch_on_limit_report (DpDispatcher *dispatcher);
/* Sends the announcements that are due, if this VM owns the pool. */
void dp_dispatch_announce_limits (DpDispatcher *dispatcher);
void dp_dispatch_apply_sent (DpDispatcher *dispatcher, const DpTargetSent *sent);
gboolean dp_dispatch_limit_allows (const DpDispatcher *dispatcher,
                                   const DpDispatchTarget *target);
GArray *dp_dispatch_other_owners_new (void);
/* Number of additional requests that a brittle target surely runs; G_MAXUINT for others. */
guint dp_dispatch_brittle_capacity (const DpDispatcher *dispatcher,
                                    const DpDispatchTarget *target);
/* Updates a brittle target after one of its requests has ended; `request` is NULL if it is not
 * known any more. */
void dp_dispatch_record_brittle_end (DpDispatcher *dispatcher,
                                     const DpDispatchTarget *target,
                                     const DpDispatchRequest *request,
                                     const DpGrantDone *done);

/* TRUE if VMs lately used this dispatcher as the pool's owner. */
gboolean dp_dispatch_is_owner (const DpDispatcher *dispatcher);

/* --- dispatcher_capacity.c: what targets take well --- */

gboolean dp_dispatch_learns_capacity (const DpDispatcher *dispatcher);
/* TRUE if first events are expected from the prompts at the target. */
gboolean dp_dispatch_counts_prompts (const DpDispatcher *dispatcher);
void dp_dispatch_set_capacity (DpDispatcher *dispatcher,
                               DpDispatchTarget *target,
                               const DpDirectoryRow *row);
/* Number of requests that the target may have at a time, limits and failures aside. */
guint dp_dispatch_window (const DpDispatcher *dispatcher, const DpDispatchTarget *target);
/* What a new request at the target waits for before its own prompt is read. */
typedef struct DpFirstEventTerms
{
  guint tokens_ahead;
  DpUsec slot_wait;
} DpFirstEventTerms;

DpFirstEventTerms dp_dispatch_first_event_terms (const DpDispatcher *dispatcher,
                                                 const DpDispatchTarget *target);
DpUsec dp_dispatch_expected_first_event (const DpDispatcher *dispatcher,
                                         const DpDispatchTarget *target,
                                         const DpFirstEventTerms *terms,
                                         guint prompt_tokens);
/* TRUE if the target has prompts enough to read until it can get another one, and the request
 * would be late after them. */
gboolean dp_dispatch_has_prompts_enough (const DpDispatcher *dispatcher,
                                         const DpDispatchTarget *target,
                                         const DpFirstEventTerms *terms,
                                         const DpDispatchRequest *request);
/* Called when the request is granted (before it is assigned), assigned to the target, has got
 * its first event, is released from the target, and has ended (before it is released). */
void dp_dispatch_capacity_on_grant (const DpDispatcher *dispatcher,
                                    const DpDispatchTarget *target,
                                    DpDispatchRequest *request);
void dp_dispatch_capacity_on_assigned (const DpDispatcher *dispatcher,
                                       const DpDispatchTarget *target,
                                       DpDispatchRequest *request);
void dp_dispatch_capacity_on_started (const DpDispatcher *dispatcher,
                                      const DpDispatchTarget *target,
                                      DpDispatchRequest *request);
void dp_dispatch_capacity_on_released (const DpDispatcher *dispatcher,
                                       const DpDispatchTarget *target,
                                       DpDispatchRequest *request);
void dp_dispatch_capacity_on_done (const DpDispatcher *dispatcher,
                                   const DpDispatchTarget *target,
                                   const DpDispatchRequest *request,
                                   const DpGrantDone *done);
/* Part of the time to the first event for which the request had a slot. */
DpUsec dp_dispatch_read_time (const DpDispatcher *dispatcher,
                              const DpDispatchRequest *request,
                              DpUsec first_event);
/* Decides about the targets' limits, and announces them. */
void dp_dispatch_update_capacities (DpDispatcher *dispatcher);
/* Another owner has announced what it learned. */
void dp_dispatch_on_capacities (DpDispatcher *dispatcher,
                                DpName from,
                                const DpTargetCapacity *message);

/* --- dispatcher_links.c: reachability between data centres --- */

GArray *dp_dispatch_links_new (void);
gboolean dp_dispatch_link_is_usable (const DpDispatcher *dispatcher,
                                     const DpGrantAsk *ask,
                                     const DpDispatchTarget *target);
/* Called when the request is assigned to the target, when it has reached it, and when its
 * connection failed. */
void dp_dispatch_record_link_use (DpDispatcher *dispatcher,
                                  const DpGrantAsk *ask,
                                  const DpDispatchTarget *target);
void dp_dispatch_record_link_success (DpDispatcher *dispatcher,
                                      const DpGrantAsk *ask,
                                      const DpDispatchTarget *target);
/* Returns TRUE if the failure is attributed to the link, not to the target. */
gboolean dp_dispatch_record_link_failure (DpDispatcher *dispatcher,
                                          const DpGrantAsk *ask,
                                          const DpDispatchTarget *target);

/* --- dispatcher_rollout.c: staged roll-outs; without an order all targets are allowed --- */

void dp_dispatch_set_rollout (DpDispatcher *dispatcher,
                              const DpRolloutOptions *options,
                              const DpRolloutOrder *order);
/* Called on each tick, and after the pool's targets were set. */
void dp_dispatch_update_rollout (DpDispatcher *dispatcher, gboolean has_new_targets);
/* TRUE if the order allows to send the request, or any request if `ask` is NULL, to the target.
 */
gboolean dp_dispatch_rollout_allows (const DpDispatcher *dispatcher,
                                     const DpGrantAsk *ask,
                                     const DpDispatchTarget *target);
/* FALSE if the target's version gets no requests any more, not even to go on with a stream. */
gboolean dp_dispatch_rollout_may_resume (const DpDispatcher *dispatcher,
                                         const DpDispatchTarget *target);
/* TRUE if the target's slots are there for all requests. */
gboolean dp_dispatch_rollout_uses (const DpDispatcher *dispatcher,
                                   const DpDispatchTarget *target);

typedef enum DpDispatchSide
{
  DP_DISPATCH_SIDE_ANY,
  DP_DISPATCH_SIDE_OLD,
  DP_DISPATCH_SIDE_NEW,
} DpDispatchSide;

/* The version that the request should go to if it has a target with free capacity. */
DpDispatchSide dp_dispatch_rollout_side (const DpDispatcher *dispatcher,
                                         const DpDispatchRequest *request);
gboolean dp_dispatch_is_on_side (const DpDispatcher *dispatcher,
                                 const DpDispatchTarget *target,
                                 DpDispatchSide side);
void dp_dispatch_rollout_on_grant (DpDispatcher *dispatcher,
                                   DpDispatchRequest *request,
                                   const DpDispatchTarget *target);
void dp_dispatch_rollout_on_end (DpDispatcher *dispatcher,
                                 DpDispatchRequest *request,
                                 const DpDispatchTarget *target,
                                 const DpGrantDone *done);
void dp_dispatch_rollout_on_removal (DpDispatcher *dispatcher,
                                     const DpDispatchRequest *request);

/* --- dispatcher_queue.c: order and refusal of waiting requests --- */

/* Returns the waiting request that the target should run next, or NULL. */
DpDispatchRequest *dp_dispatch_next_request (DpDispatcher *dispatcher,
                                             const DpDispatchTarget *target);
/* Returns the reason to refuse a waiting request, or DP_REASON_NONE if it may go on waiting. */
DpReason dp_dispatch_check_wait (const DpDispatcher *dispatcher,
                                 const DpDispatchRequest *request);
/* TRUE if the estimated wait of a new request is longer than it may wait. */
gboolean dp_dispatch_exceeds_wait_limit (const DpDispatcher *dispatcher,
                                         const DpDispatchRequest *request);
/* Returns the request to refuse because too many are waiting, or NULL. */
DpDispatchRequest *dp_dispatch_find_excess (const DpDispatcher *dispatcher);
/* Estimated wait of a request of that urgency that arrives now. */
DpUsec dp_dispatch_estimate_wait (const DpDispatcher *dispatcher, guint urgency);

/* --- dispatcher_reports.c: entries' reports --- */

/* Adopts requests that the entry holds, and removes those missing from a complete report. */
void
dp_dispatch_apply_report (DpDispatcher *dispatcher, DpName from, const DpGrantHeld *report);
/* Removes entries that have timed out, and all their requests. */
void dp_dispatch_expire_entries (DpDispatcher *dispatcher);

/* --- dispatcher.c --- */

/* Returns NULL if the attempt is unknown. */
DpDispatchRequest *dp_dispatch_find_request (const DpDispatcher *dispatcher, DpId attempt);
/* Adds a request that is neither queued nor assigned yet. */
DpDispatchRequest *
dp_dispatch_add_request (DpDispatcher *dispatcher, DpName entry, DpId attempt);
/* Assigns the request to the target. */
void dp_dispatch_assign (DpDispatcher *dispatcher,
                         DpDispatchRequest *request,
                         DpDispatchTarget *target);
void dp_dispatch_remove_request (DpDispatcher *dispatcher, DpDispatchRequest *request);

/* Appends a message to the outbox, for the caller to fill in. */
DpMessage *dp_dispatch_send (DpDispatcher *dispatcher, DpName to, DpMessageType type);
/* Revokes a running request's grant. Removes the request unless its target is brittle. */
void dp_dispatch_revoke (DpDispatcher *dispatcher, DpDispatchRequest *request, DpReason reason);
