/* State of an entry process, shared by the modules in core/entry*.c.
 *
 * entry.c calls the modules in a fixed order. A request keeps a reference to the routes, and so
 * to the manifest, that were in force when it arrived.
 */
#pragma once

#include "common/table.h"
#include "core/entry.h"
#include "core/quarantine.h"

/* --- routes: groups of a manifest, indexed by pool and model --- */

typedef struct Routes
{
  gatomicrefcount refs;
  DpManifest *manifest;
  GArray **pool_groups;     /* by pool index: group indices (guint), local data centre first */
  GHashTable *model_groups; /* set of dp_name_pair (group, model) */
} Routes;

Routes *entry_routes_new (DpManifest *manifest, DpName data_centre);
Routes *entry_routes_ref (Routes *routes);
void entry_routes_unref (Routes *routes);
/* TRUE if a target of the group carries the model; always TRUE for model 0. */
gboolean entry_routes_serves (const Routes *routes, guint group, DpName model);

/* --- requests --- */

typedef enum RequestPhase
{
  PHASE_ADMISSION,  /* waits for admission under the limits of its workspace */
  PHASE_CLAIMING,   /* waits until its idempotency key is looked up and claimed */
  PHASE_REQUESTING, /* a grant has been requested from the group's owner */
  PHASE_QUEUED,     /* the owner has queued the grant request */
  PHASE_SENT,       /* dispatched to a target */
} RequestPhase;

typedef struct Request
{
  /* set on arrival */
  DpHandle handle;
  DpCaller caller;
  gboolean caller_gone; /* the request continues only so that its outcome gets recorded */
  Routes *routes;
  guint workspace; /* indices into the manifest */
  guint tier;
  guint pool;
  gboolean stream;
  gboolean repeatable;
  gboolean outcome_query;
  DpUsec deadline;
  guint64 body_hash;
  guint64 path_hash;
  DpGrantAsk grant_ask; /* attempt, group and remaining are filled in when it is sent */
  RequestPhase phase;

  gboolean holds_limit_slot; /* counted in LimitState.open_requests */

  /* requests with an idempotency key */
  gboolean is_keyed;
  DpId key;
  DpBucketId bucket;
  DpHandle claim; /* in DpEntryCore.claims; 0: none */

  /* current grant request */
  DpId attempt;
  int group;        /* index into the manifest's groups; -1: none */
  DpPeer owner;     /* vm 0: no request is pending and no grant is held */
  guint unanswered; /* number of times it was sent to this owner */
  DpUsec requested_at;
  GArray *tried_groups; /* guint */
  DpReason refusal;     /* latest refusal; NONE: none */
  DpUsec retry_after;   /* smallest value received; 0: none */

  /* current attempt */
  DpName target;
  DpUsec dispatched_at;
  DpUsec time_to_first_token; /* 0: no token yet */

  /* answer */
  gboolean ever_sent; /* a target may have received part of the request */
  gboolean head_sent; /* the answer's head was passed to the caller, unless it is gone */
  int status;
  char content_type[64];
  gboolean terminal;     /* the end event of the stream was received */
  GByteArray *end_event; /* held back until the framing is complete */
  GByteArray *record;    /* body for the claim's record; NULL: too large or not needed */
} Request;

/* --- claims --- */

typedef enum ClaimPhase
{
  CLAIM_LOOKUP,  /* the record has to be read */
  CLAIM_WANTED,  /* a claim for this process has to be written */
  CLAIM_HELD,    /* this process's claim is stored: the request may be sent once */
  CLAIM_FOREIGN, /* claimed by another process, which is queried for the outcome */
  CLAIM_MARKING, /* the holder is gone: state UNKNOWN has to be written */
  CLAIM_CLOSING, /* the final state of this process's claim has to be written */
} ClaimPhase;

/* State of one idempotency key that this process works on. */
typedef struct Claim
{
  DpHandle handle;
  DpId key;
  DpBucketId bucket;
  ClaimPhase phase;
  DpHandle sender;       /* the request that the claim is for; 0: none */
  GArray *waiters;       /* DpHandle of requests; includes the sender until the claim is held */
  DpClaimRecord record;  /* WANTED, HELD, CLOSING: to be written; FOREIGN, MARKING: as read */
  gboolean in_write;     /* included in the outstanding write */
  gboolean maybe_stored; /* a write was lost and may still take effect */
  guint64 lost_version;  /* version that the lost write expects */
  gboolean verify;       /* HELD: has to be read again before the request is sent */
  /* FOREIGN */
  DpUsec requested_at;        /* last query to the holder */
  guint unanswered;           /* queries without an answer */
  gboolean unknown_to_holder; /* the holder does not know the claim */
} Claim;

typedef enum BucketOperation
{
  BUCKET_IDLE,
  BUCKET_READING,
  BUCKET_WRITING,
} BucketOperation;

/* Cached content of a bucket object. At most one operation per bucket is outstanding. */
typedef struct Bucket
{
  DpBucketId id;
  BucketOperation operation;
  gboolean stale;      /* the result of the outstanding operation must not be used */
  gboolean is_valid;   /* version and records come from a read or a confirmed write */
  DpUsec confirmed_at; /* time of that read or write */
  guint64 version;     /* 0: the object does not exist */
  GArray *records;     /* DpClaimRecord */
  GArray *writing;     /* DpClaimRecord: content of the outstanding write */
  guint failures;      /* consecutive failed operations */
  DpUsec not_before;   /* earliest start of the next operation */
  DpUsec used_at;
  DpUsec contended_until;      /* other processes write it too: read just before each write */
  gboolean write_due;          /* a write token is spent; write once the pending read is done */
  DpUsec claims_waiting_since; /* a claim has been waiting to be written; 0: none */
} Bucket;

/* --- groups, owners, quarantine, budgets --- */

typedef struct GroupState
{
  DpAdvert advert;
  DpUsec advert_at; /* when it was received */
} GroupState;

typedef struct VmState
{
  DpUsec unresponsive_until; /* not used as an owner until then */
  DpUsec last_seen_at;       /* last message from its scheduler */
  DpUsec dead_since;         /* 0: not dead in the view */
} VmState;

/* This entry's use of a workspace's limits. */
typedef struct LimitState
{
  DpName workspace;
  guint open_requests;      /* admitted here */
  GArray *waiting_requests; /* DpHandle, in the order of arrival */
  /* pending limit request */
  gboolean is_pending;
  DpName owner; /* 0: no responsive owner */
  guint64 sequence;
  guint requested; /* number of requests to be admitted */
  DpUsec requested_at;
  guint unanswered;
  DpUsec last_report_at;
  /* token bucket for this entry's share, used while no owner answers */
  double share_tokens;
  DpUsec share_refilled_at;
} LimitState;

struct DpEntryCore
{
  gatomicrefcount refs;
  DpEntryOptions options;

  /* inputs */
  Routes *routes; /* NULL until the first manifest */
  DpView *view;   /* NULL until the first view */
  gboolean stopping;

  /* current event */
  DpUsec now;
  DpUsec wall;
  GArray *actions;

  /* tables */
  DpTable *requests;
  GHashTable *callers;  /* DpCaller -> DpHandle */
  GHashTable *attempts; /* DpId -> DpHandle of the request; current attempts only */
  DpTable *claims;
  GHashTable *claim_index;       /* DpId of the key -> DpHandle */
  GHashTable *buckets;           /* DpBucketId -> Bucket */
  GHashTable *groups;            /* DpName -> GroupState */
  GHashTable *vms;               /* DpName -> VmState */
  DpQuarantineTable *quarantine; /* by body hash */
  GHashTable *budgets;           /* workspace -> double: remaining retries */
  GHashTable *limits;            /* workspace -> LimitState */
  guint64 limit_sequence;

  /* platform store */
  gboolean store_due;           /* a bucket may have an operation to start */
  double write_tokens;          /* writes that may be started now */
  double write_tokens_reserved; /* of these, only for claims */
  DpUsec write_tokens_at;       /* last refill */
  guint store_failures;         /* consecutive, over all buckets */
  DpUsec store_retry_at;        /* requests that need the store are refused until then */

  guint64 next_attempt;
  GPtrArray *retained; /* GBytes that actions of the current event point into */
  DpUsec last_event_at;
  DpUsec last_heartbeat_at;
};

/* --- entry.c --- */

DpEntryAction *entry_add_action (DpEntryCore *core, DpEntryActionType type);
void entry_send (DpEntryCore *core, DpPeer to, const DpMessage *message);
void entry_count (DpEntryCore *core, const char *name, const char *label, const char *value);
Request *entry_request (DpEntryCore *core, DpHandle handle);
/* The request whose current attempt has this id, or NULL. */
Request *entry_request_by_attempt (DpEntryCore *core, DpId attempt);
DpId entry_make_attempt_id (DpEntryCore *core);
/* Assigns a new attempt id to the request. Replies to the old one are ignored from now on. */
void entry_new_attempt (DpEntryCore *core, Request *request);
/* Removes a request that has had its final answer. */
void entry_remove_request (DpEntryCore *core, Request *request);
/* State of the VM; created if there is none. */
VmState *entry_vm (DpEntryCore *core, DpName name);

const DpTier *entry_tier (const Request *request);
const DpPool *entry_pool (const Request *request);

/* --- entry_admit.c: validation of new requests --- */

void entry_admit (DpEntryCore *core, const DpRequestIn *in);
/* Continues a request that is admitted under the limits of its workspace. */
void entry_admit_proceed (DpEntryCore *core, Request *request);

/* --- entry_limits.c: workspace limits, enforced by one scheduler for all entries --- */

/* Continues the request as soon as the limits admit it, or refuses it. */
void entry_limits_acquire (DpEntryCore *core, Request *request);
/* Frees the place of a request that has ended. */
void entry_limits_release (DpEntryCore *core, const Request *request);
void entry_limits_on_given (DpEntryCore *core, DpPeer from, const DpLimitGiven *given);
void entry_limits_tick (DpEntryCore *core);
void entry_limit_free (gpointer data);

/* --- entry_claims.c: claims of idempotency keys --- */

/* Looks up the key's record and claims the key, unless the request is an outcome query. */
void
entry_claims_add_request (DpEntryCore *core, Request *request, DpId key, DpBucketId bucket);
/* Detaches a request that ends from its claim. If the claim was for this request, its final
 * state is written: done if `complete`, unknown if the request may have run, else released. */
void entry_claims_finish_request (DpEntryCore *core, Request *request, gboolean complete);
/* Advances all claims of the bucket after its content was read or written. */
void entry_claims_on_records (DpEntryCore *core, Bucket *bucket);
/* Refuses the requests that need the platform while it is unavailable. */
void entry_claims_on_unavailable (DpEntryCore *core, Bucket *bucket);
/* After this process was paused: claims held before are read again before they are used. */
void entry_claims_after_pause (DpEntryCore *core);
/* TRUE if this request holds the stored claim of its key. */
gboolean entry_claims_is_holder (DpEntryCore *core, const Request *request);
/* TRUE if the request may be sent to a target now. */
gboolean entry_claims_may_send (DpEntryCore *core, const Request *request);
/* TRUE if the request waits for the outcome of another request with the same key. */
gboolean entry_claims_waits_for_other (DpEntryCore *core, const Request *request);
/* Advances the claim from a record that this process does not hold; NULL: no record exists.
 * Can remove the claim. */
void entry_claims_process_record (DpEntryCore *core, Claim *claim, const DpClaimRecord *found);
/* Has state UNKNOWN written to a record whose holder is gone. */
void entry_claims_mark_unknown (DpEntryCore *core, Claim *claim, const DpClaimRecord *found);
/* Answers all waiters of a key whose outcome cannot be determined. */
void entry_claims_fail_waiters (DpEntryCore *core, Claim *claim, DpReason reason);
Claim *entry_claim_by_key (DpEntryCore *core, DpId key);
/* Number of claims whose final state is not yet stored. */
guint entry_claims_count_unwritten (DpEntryCore *core);

/* --- entry_buckets.c: operations on buckets --- */

/* The cached bucket; created if there is none. */
Bucket *entry_bucket (DpEntryCore *core, DpBucketId id);
const DpClaimRecord *entry_bucket_find_record (const Bucket *bucket, DpId key);
/* TRUE if the bucket accepts no further keys. */
gboolean entry_bucket_is_full (DpEntryCore *core, DpBucketId id);
/* Invalidates the cached records, so that the bucket is read again. */
void entry_bucket_invalidate (DpEntryCore *core, DpBucketId id);
/* Time until the platform is tried again while it is unreachable, else 0. */
DpUsec entry_bucket_retry_after (const DpEntryCore *core);
void entry_buckets_on_reply (DpEntryCore *core, const DpClaimReply *reply);
/* Starts the operations that are due. */
void entry_buckets_start_operations (DpEntryCore *core);
void entry_buckets_after_pause (DpEntryCore *core);
void entry_buckets_tick (DpEntryCore *core);
void entry_bucket_free (gpointer data);

/* --- entry_write_rate.c: rate limit for writes to the platform --- */

/* TRUE if a write may be started now. Urgent writes contain claims that callers wait for. */
gboolean entry_write_rate_allows (DpEntryCore *core, gboolean urgent);
void entry_write_rate_spend (DpEntryCore *core);

/* --- entry_holders.c: queries to other processes about their claims --- */

void entry_holders_query (DpEntryCore *core, Claim *claim);
void entry_holders_on_query (DpEntryCore *core, DpPeer from, const DpHolderAsk *query);
void entry_holders_on_answer (DpEntryCore *core, DpPeer from, const DpHolderAnswer *answer);
/* Handles a new read of a record that another process holds. */
void entry_holders_on_record (DpEntryCore *core, Claim *claim, const DpClaimRecord *found);
void entry_holders_tick (DpEntryCore *core);
/* TRUE if it is certain that the record's holder can no longer send. */
gboolean entry_holder_is_gone (DpEntryCore *core, const DpClaimRecord *record);

/* --- entry_grants.c: grant requests to the owners of groups --- */

void entry_grants_begin (DpEntryCore *core, Request *request);
/* Reports to the owner, if there is one, that the attempt or the grant request has ended. */
void entry_grants_report_done (DpEntryCore *core, Request *request, const DpGrantDone *done);
void entry_grants_withdraw (DpEntryCore *core, Request *request, DpReason reason);
void entry_grants_on_message (DpEntryCore *core, DpPeer from, const DpMessage *message);
void entry_grants_after_pause (DpEntryCore *core);
void entry_grants_tick (DpEntryCore *core);
/* After a refusal by the current group or target: tries the next group or answers. */
void entry_grants_on_refusal (DpEntryCore *core,
                              Request *request,
                              DpReason reason,
                              DpUsec retry_after);

/* --- entry_groups.c: choice of the group, its owner, and a target if there is no owner --- */

/* Index of the best untried group; -1: none is worth trying. */
int entry_groups_choose (DpEntryCore *core, const Request *request);
/* First live and responsive owner of the request's group; FALSE: none. */
gboolean entry_groups_owner (DpEntryCore *core, const Request *request, DpPeer *owner);
/* Index of a target with free capacity in this entry's share of its window; -1: none. */
int entry_groups_local_target (DpEntryCore *core, const Request *request);
/* TRUE if an attempt of the request has failed on the target. */
gboolean entry_groups_excludes (const Request *request, DpName target);
void entry_groups_on_advert (DpEntryCore *core, const DpAdvert *advert);

/* --- entry_heartbeat.c: heartbeats to owners about held grants and pending requests --- */

void entry_heartbeat_tick (DpEntryCore *core);

/* --- entry_attempts.c: sending, streaming, retries --- */

/* Sends the request to the target, or answers it if its deadline has passed or its claim does
 * not permit sending. */
void entry_attempts_dispatch (DpEntryCore *core, Request *request, const DpTarget *target);
void entry_attempts_on_head (DpEntryCore *core, const DpTargetHead *head);
void entry_attempts_on_chunk (DpEntryCore *core, const DpTargetChunk *chunk);
void entry_attempts_on_end (DpEntryCore *core, const DpTargetEnd *end);
void entry_attempts_on_failed (DpEntryCore *core, const DpTargetFailed *failed);
/* Cancels the running attempt and requests a grant for another one. */
void entry_attempts_on_preempted (DpEntryCore *core, Request *request);
/* Cancels the running attempt. */
void entry_attempts_cancel (DpEntryCore *core, Request *request, DpReason reason);
void entry_attempts_on_caller_gone (DpEntryCore *core, DpCaller caller);

/* --- entry_answers.c: final answers --- */

/* Refuses a request that was not admitted and so is not in the table. */
void entry_answer_unadmitted (DpEntryCore *core,
                              const DpRequestIn *in,
                              DpReason reason,
                              DpOutcome outcome,
                              const char *detail);
/* Sends the final answer, closes the claim and removes the request. */
void entry_answer_problem (
  DpEntryCore *core, Request *request, DpReason reason, DpUsec retry_after, const char *detail);
/* The same with the outcome given, for example by the record of the request's key. */
void entry_answer_outcome (DpEntryCore *core,
                           Request *request,
                           DpReason reason,
                           DpOutcome outcome,
                           DpUsec retry_after,
                           const char *detail);
void entry_answer_replay (DpEntryCore *core, Request *request, const DpClaimRecord *record);
void entry_answer_complete (DpEntryCore *core, Request *request);
void entry_answers_tick (DpEntryCore *core);

/* --- entry_quarantine.c: requests that crash targets --- */

DpQuarantineTable *entry_quarantine_new (void);
gboolean entry_quarantine_blocks (DpEntryCore *core, guint64 body_hash);
/* Counts a target that crashed while it ran the request. */
void entry_quarantine_record_failure (DpEntryCore *core, guint64 body_hash, DpName target);
/* Resets the count after a target has answered the request completely. */
void entry_quarantine_clear (DpEntryCore *core, guint64 body_hash);
void entry_quarantine_on_message (DpEntryCore *core, const DpQuarantine *message);
void entry_quarantine_tick (DpEntryCore *core);

/* --- entry_budget.c: retry budget of each workspace --- */

void entry_budget_on_served (DpEntryCore *core, const Request *request);
/* Takes one retry from the budget; FALSE if it is used up. */
gboolean entry_budget_spend (DpEntryCore *core, const Request *request);
