/* Internal state of the dispatcher, shared by core/dispatcher*.c. */
#pragma once

#include "core/admission/admission.h"
#include "core/brittle_target.h"
#include "core/dispatcher.h"
#include "core/latency_model.h"
#include "core/shared_mode/transit.h"
#include "core/target_limiter.h"

/* A suspect target is probed with one request after this interval, which doubles with each
 * consecutive failure. */
#define DP_PROBE_INTERVAL_MIN (250 * DP_USEC_PER_MSEC)
#define DP_PROBE_INTERVAL_MAX (2 * DP_USEC_PER_SEC)

typedef struct DpDispatchRequest DpDispatchRequest;

typedef struct DpDispatchTarget
{
  DpHandle self;
  DpName name;
  DpName data_centre;
  DpName version; /* of its software */
  guint slots;
  gboolean is_draining;
  GPtrArray *requests; /* DpDispatchRequest: assigned to this target */
  double pace;         /* relative to the pool's model, see core/latency_model.h */
  double failure_rate; /* moving average of outcomes, 0 to 1 */
  gboolean is_suspect; /* unresponsive or unreachable: receives single probes only */
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
  gboolean is_short;           /* see dp_dispatcher_set_short() */
  DpUsec short_at;             /* time of the last beginning */
  DpTransit transit;           /* since then */
  guint limited;               /* number of targets with a limit */
  guint brittle;               /* number of brittle targets */
  GArray *other_owners;        /* lately heard, see dispatcher_limits.c */
  double reach;                /* see dp_dispatcher_set_reach() */
  DpUsec asked_at;             /* last use as the owner of a shared pool */
  DpUsec announced_at;         /* last announcement of all limits */
  gboolean was_limit_reported; /* since then */
  DpUsec present_at;           /* last announcement, also of none */
  guint64 random;              /* state of the random number generator */
};

/* --- dispatcher_targets.c: target health and selection --- */

/* Returns NULL if the target is unknown. */
DpDispatchTarget *dp_dispatch_find_target (const DpDispatcher *dispatcher, DpName name);
void dp_dispatch_target_clear (void *row);
/* TRUE unless the target is draining or paused. */
gboolean dp_dispatch_is_accepting (const DpDispatcher *dispatcher,
                                   const DpDispatchTarget *target);
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
