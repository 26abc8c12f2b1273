/* Private to core/entry*.c: the blackboard of an entry process.
 *
 * Controllers read and write the board; entry.c calls them in a fixed order. A request holds
 * the routes (and so the manifest) it arrived under until its end.
 */
#pragma once

#include "common/table.h"
#include "core/entry.h"
#include "core/quarantine.h"

/* --- routes: what a manifest says about groups, indexed for requests --- */

typedef struct Routes
{
  gatomicrefcount refs;
  DpManifest *manifest;
  GArray **pool_groups; /* by pool: guint indices of groups, those of this data centre first */
  GHashTable *model_groups; /* set of dp_name_pair (group, model) */
} Routes;

Routes *entry_routes_new (DpManifest *manifest, DpName data_centre);
Routes *entry_routes_ref (Routes *routes);
void entry_routes_unref (Routes *routes);
gboolean entry_routes_serves (const Routes *routes, guint group, DpName model);

/* --- requests --- */

typedef enum RequestPhase
{
  PHASE_LIMITED,  /* waits for leave under its workspace's limits */
  PHASE_CLAIMING, /* the key's record is not known or not yet ours */
  PHASE_ASKING,   /* an owner has been asked for a grant */
  PHASE_QUEUED,   /* the owner has answered that the request waits */
  PHASE_SENT,     /* dispatched to a target */
} RequestPhase;

typedef struct Request
{
  /* from arrival to the final answer */
  DpHandle handle;
  DpCaller caller;
  gboolean caller_gone; /* goes on only to learn the outcome */
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
  DpGrantAsk ask; /* all but group, remaining */
  RequestPhase phase;

  /* of a workspace with limits: counted as open there */
  gboolean limit_held;

  /* keyed requests: what is claimed, and their row in the claims table */
  gboolean is_keyed;
  DpId key;
  DpBucketId bucket;
  DpHandle claim;

  /* the current ask */
  DpId attempt;
  int group;    /* index into the manifest's groups; -1: none */
  DpPeer owner; /* vm 0: nobody was asked */
  guint unanswered;
  DpUsec asked_at;
  GArray *tried_groups; /* guint */
  DpReason refusal;     /* the last one heard; NONE: none */
  DpUsec retry_after;   /* smallest heard; 0: none */

  /* the current attempt */
  DpName target;
  DpUsec dispatched_at;
  DpUsec first_token_after;

  /* the answer */
  gboolean ever_sent;  /* an attempt may have handed a byte to a target */
  gboolean head_given; /* the caller has been given a HEAD */
  int status;
  char content_type[64];
  gboolean terminal;  /* the stream's end event has come */
  GByteArray *tail;   /* end event, held until the framing is complete */
  GByteArray *record; /* body kept for the claim's record; NULL: too large or not kept */
} Request;

/* --- claims --- */

typedef enum ClaimPhase
{
  CLAIM_LOOKUP,  /* the record is to be read */
  CLAIM_WANTED,  /* to be written under this process's attempt id */
  CLAIM_HELD,    /* confirmed: this process may send once */
  CLAIM_FOREIGN, /* held by another process, which is asked */
  CLAIM_MARKING, /* its holder is gone: to be written as unknown */
  CLAIM_CLOSING, /* this process's final state is to be written */
} ClaimPhase;

/* What this process wants of one key's record. */
typedef struct Claim
{
  DpHandle handle;
  DpId key;
  DpBucketId bucket;
  ClaimPhase phase;
  DpHandle sender;       /* the request that may be sent; 0: none */
  GArray *waiters;       /* DpHandle of requests, the sender included until its claim is held */
  DpClaimRecord record;  /* WANTED, HELD, CLOSING: ours; FOREIGN, MARKING: as read */
  gboolean in_write;     /* part of the outstanding write */
  gboolean maybe_stored; /* an own write was lost and is not yet settled */
  guint64 lost_version;  /* expected by that write */
  gboolean verify;       /* HELD: to be read again before anything is sent */
  /* FOREIGN */
  DpUsec asked_at;
  guint unanswered;
  gboolean denied; /* the holder knows of no such claim */
} Claim;

typedef enum BucketOperation
{
  BUCKET_IDLE,
  BUCKET_READING,
  BUCKET_WRITING,
} BucketOperation;

/* One bucket object as last seen; at most one operation of it is outstanding. */
typedef struct Bucket
{
  DpBucketId id;
  BucketOperation operation;
  gboolean stale; /* this process was paused while the operation was outstanding */
  gboolean known; /* version and records are those of a read or a confirmed write */
  DpUsec known_at;
  guint64 version;   /* 0: no such object */
  GArray *records;   /* DpClaimRecord */
  GArray *writing;   /* DpClaimRecord: content of the outstanding write */
  guint failures;    /* operations failed in a row */
  DpUsec not_before; /* next operation */
  DpUsec used_at;
  DpUsec contended_until; /* others write it too: read directly before each write */
  gboolean write_due;     /* its write has been paid for and follows the read on its way */
  DpUsec claims_since;    /* a claim waits to be written since then; 0: none */
} Bucket;

/* --- groups, owners, quarantine, budgets --- */

typedef struct GroupState
{
  DpAdvert advert;
  DpUsec advert_at;
} GroupState;

typedef struct VmState
{
  DpUsec silent_until; /* did not answer asks */
  DpUsec heard_at;     /* last message of its scheduler */
  DpUsec dead_since;   /* 0: not dead in the view */
} VmState;

/* A workspace with limits, as this entry uses it. */
typedef struct LimitState
{
  DpName workspace;
  guint held;      /* requests open here */
  GArray *waiting; /* DpHandle of requests without leave, in the order of arrival */
  /* the ask under way */
  gboolean asked;
  DpName owner; /* 0: nobody could be asked */
  guint64 sequence;
  guint want;
  DpUsec asked_at;
  guint unanswered;
  DpUsec reported_at;
  /* this entry's own share, while no owner answers */
  double share_tokens;
  DpUsec share_at;
} LimitState;

struct DpEntryBoard
{
  gatomicrefcount refs;
  DpEntryOptions options;

  /* from outside */
  Routes *routes; /* NULL until a manifest has come */
  DpView *view;   /* NULL until a view has come */
  gboolean stopping;

  /* of the current event */
  DpUsec now;
  DpUsec wall;
  GArray *actions;

  /* rows */
  DpTable *requests;
  GHashTable *callers;  /* DpCaller -> DpHandle */
  GHashTable *attempts; /* DpId -> DpHandle: current attempts only */
  DpTable *claims;
  GHashTable *claim_index;       /* DpId -> DpHandle */
  GHashTable *buckets;           /* DpBucketId -> Bucket */
  GHashTable *groups;            /* DpName -> GroupState */
  GHashTable *vms;               /* DpName -> VmState */
  DpQuarantineTable *quarantine; /* by body hash */
  GHashTable *budgets;           /* workspace -> double: retries that may be made */
  GHashTable *limits;            /* workspace -> LimitState */
  guint64 limit_sequence;

  /* the platform's store */
  gboolean store_due;     /* some bucket may have an operation to start */
  double tokens;          /* writes that may be started now */
  double tokens_reserved; /* of them, for claims only */
  DpUsec tokens_at;
  guint store_failures;  /* in a row, over all buckets */
  DpUsec store_retry_at; /* requests that need the store are refused until then */

  guint64 next_attempt;
  GPtrArray *kept; /* GBytes that actions of the current event point into */
  DpUsec last_event;
  DpUsec last_held;
};

/* --- entry.c --- */

DpEntryAction *entry_add_action (DpEntryBoard *board, DpEntryActionType type);
void entry_send (DpEntryBoard *board, DpPeer to, const DpMessage *message);
void entry_count (DpEntryBoard *board, const char *name, const char *label, const char *value);
Request *entry_request (DpEntryBoard *board, DpHandle handle);
/* The request whose current attempt that is, or NULL. */
Request *entry_request_by_attempt (DpEntryBoard *board, DpId attempt);
DpId entry_make_attempt_id (DpEntryBoard *board);
/* Gives the request a new attempt id; replies to the old one are dropped from here on. */
void entry_new_attempt (DpEntryBoard *board, Request *request);
/* Forgets the request; its caller has had its final answer. */
void entry_remove_request (DpEntryBoard *board, Request *request);
VmState *entry_vm (DpEntryBoard *board, DpName name);

const DpTier *entry_tier (const Request *request);
const DpPool *entry_pool (const Request *request);

/* --- entry_admit.c: authority, path, model, limits --- */

void entry_admit (DpEntryBoard *board, const DpRequestIn *in);
/* Goes on with a request that has leave under its workspace's limits. */
void entry_admit_proceed (DpEntryBoard *board, Request *request);

/* --- entry_limits.c: limits of workspaces, kept by one scheduler for all entries --- */

/* Proceeds with the request now or when it has leave, or answers it. */
void entry_limits_begin (DpEntryBoard *board, Request *request);
/* The request is over. */
void entry_limits_end (DpEntryBoard *board, const Request *request);
void entry_limits_on_given (DpEntryBoard *board, DpPeer from, const DpLimitGiven *given);
void entry_limits_tick (DpEntryBoard *board);
void entry_limit_free (gpointer data);

/* --- entry_claims.c: one key's record --- */

/* Looks up the key's record; claims it unless the request only asks for the outcome. */
void entry_claims_begin (DpEntryBoard *board, Request *request, DpId key, DpBucketId bucket);
/* The claim's request is over. What was sent and answered decides the record's state. */
void entry_claims_end (DpEntryBoard *board, Request *request, gboolean complete);
/* The bucket's content is known again: goes on with each claim in it. */
void entry_claims_on_records (DpEntryBoard *board, Bucket *bucket);
/* The platform cannot be reached: answers the requests that can't be served without it. */
void entry_claims_on_unavailable (DpEntryBoard *board, Bucket *bucket);
/* This process was paused: nothing held before is used before it has been read again. */
void entry_claims_after_pause (DpEntryBoard *board);
/* TRUE if the key's confirmed claim is this request's. */
gboolean entry_claims_holds (DpEntryBoard *board, const Request *request);
/* TRUE if nothing forbids to hand the request to a target now. */
gboolean entry_claims_may_send (DpEntryBoard *board, const Request *request);
/* TRUE if the request waits for the outcome of another one under its key. */
gboolean entry_claims_is_foreign (DpEntryBoard *board, const Request *request);
/* Goes on from a record that this process does not hold; NULL: there is none. The claim may be
 * gone afterwards. */
void entry_claims_look (DpEntryBoard *board, Claim *claim, const DpClaimRecord *found);
/* The record's holder is gone: has it written as unknown. */
void entry_claims_mark (DpEntryBoard *board, Claim *claim, const DpClaimRecord *found);
/* Answers all waiters of a key whose outcome nobody can tell. */
void entry_claims_give_up (DpEntryBoard *board, Claim *claim, DpReason reason);
Claim *entry_claim_by_key (DpEntryBoard *board, DpId key);
/* Claims whose final state is still to be written. */
guint entry_claims_unwritten (DpEntryBoard *board);

/* --- entry_buckets.c: operations on buckets --- */

Bucket *entry_bucket (DpEntryBoard *board, DpBucketId id);
const DpClaimRecord *entry_bucket_find (const Bucket *bucket, DpId key);
/* TRUE if the bucket takes no further keys. */
gboolean entry_bucket_is_full (DpEntryBoard *board, DpBucketId id);
/* Makes the bucket be read before its records are used again. */
void entry_bucket_reread (DpEntryBoard *board, DpBucketId id);
/* While the platform is known not to answer: when a caller may come again; else 0. */
DpUsec entry_bucket_retry_after (const DpEntryBoard *board);
void entry_buckets_on_reply (DpEntryBoard *board, const DpClaimReply *reply);
/* Starts the operations that are due. */
void entry_buckets_run (DpEntryBoard *board);
void entry_buckets_after_pause (DpEntryBoard *board);
void entry_buckets_tick (DpEntryBoard *board);
void entry_bucket_free (gpointer data);

/* --- entry_pace.c: pace of writes to the platform --- */

/* TRUE if a write may be started now; urgent ones carry claims that a caller waits for. */
gboolean entry_pace_allows (DpEntryBoard *board, gboolean urgent);
void entry_pace_spend (DpEntryBoard *board);

/* --- entry_holders.c: asking other processes about their claims --- */

void entry_holders_ask (DpEntryBoard *board, Claim *claim);
void entry_holders_on_ask (DpEntryBoard *board, DpPeer from, const DpHolderAsk *ask);
void entry_holders_on_answer (DpEntryBoard *board, DpPeer from, const DpHolderAnswer *answer);
/* The record that this process waits for has been read again. */
void entry_holders_on_record (DpEntryBoard *board, Claim *claim, const DpClaimRecord *found);
void entry_holders_tick (DpEntryBoard *board);
/* TRUE if the holder of the record can certainly not send any more. */
gboolean entry_holder_is_gone (DpEntryBoard *board, const DpClaimRecord *record);

/* --- entry_grants.c: asks to the owners of groups --- */

void entry_grants_begin (DpEntryBoard *board, Request *request);
/* Tells the owner, if there is one, that the attempt or the ask is over. */
void entry_grants_done (DpEntryBoard *board, Request *request, const DpGrantDone *done);
void entry_grants_withdraw (DpEntryBoard *board, Request *request, DpReason reason);
void entry_grants_on_message (DpEntryBoard *board, DpPeer from, const DpMessage *message);
void entry_grants_after_pause (DpEntryBoard *board);
void entry_grants_tick (DpEntryBoard *board);
/* The current target, or the group, refused: asks elsewhere or answers. */
void entry_grants_refused (DpEntryBoard *board,
                           Request *request,
                           DpReason reason,
                           DpUsec retry_after);

/* --- entry_groups.c: which group, which owner, which share without one --- */

/* Index of the best group that was not tried; -1: none is worth it. */
int entry_groups_choose (DpEntryBoard *board, const Request *request);
/* First live owner of the group that is not silent; FALSE: none. */
gboolean entry_groups_owner (DpEntryBoard *board, const Request *request, DpPeer *owner);
/* A target with room in this entry's own share of its window, or -1. */
int entry_groups_local_target (DpEntryBoard *board, const Request *request);
/* TRUE if an attempt of the request has failed on the target. */
gboolean entry_groups_excludes (const Request *request, DpName target);
void entry_groups_on_advert (DpEntryBoard *board, const DpAdvert *advert);

/* --- entry_held.c: heartbeat of grants and asks to their owners --- */

void entry_held_tick (DpEntryBoard *board);

/* --- entry_attempts.c: sending, streaming, retries --- */

void entry_attempts_dispatch (DpEntryBoard *board, Request *request, const DpTarget *target);
void entry_attempts_on_head (DpEntryBoard *board, const DpTargetHead *head);
void entry_attempts_on_chunk (DpEntryBoard *board, const DpTargetChunk *chunk);
void entry_attempts_on_end (DpEntryBoard *board, const DpTargetEnd *end);
void entry_attempts_on_failed (DpEntryBoard *board, const DpTargetFailed *failed);
/* Takes the running attempt back from its target and asks for another. */
void entry_attempts_preempted (DpEntryBoard *board, Request *request);
/* Cancels the running attempt. */
void entry_attempts_cancel (DpEntryBoard *board, Request *request, DpReason reason);
void entry_attempts_caller_gone (DpEntryBoard *board, DpCaller caller);

/* --- entry_answers.c: final answers --- */

/* Answers for a request that has no row. */
void entry_answer_refuse (DpEntryBoard *board,
                          const DpRequestIn *in,
                          DpReason reason,
                          DpOutcome outcome,
                          const char *detail);
/* Gives the request up: final answer at once, record, end of the request. */
void entry_answer_problem (DpEntryBoard *board,
                           Request *request,
                           DpReason reason,
                           DpUsec retry_after,
                           const char *detail);
/* The same with a stated outcome: of a key whose record tells it. */
void entry_answer_outcome (DpEntryBoard *board,
                           Request *request,
                           DpReason reason,
                           DpOutcome outcome,
                           DpUsec retry_after,
                           const char *detail);
void entry_answer_replay (DpEntryBoard *board, Request *request, const DpClaimRecord *record);
void entry_answer_complete (DpEntryBoard *board, Request *request);
void entry_answers_tick (DpEntryBoard *board);

/* --- entry_quarantine.c: requests that bring targets down --- */

DpQuarantineTable *entry_quarantine_new (void);
gboolean entry_quarantine_holds (DpEntryBoard *board, guint64 body_hash);
/* A target went down under the request. */
void entry_quarantine_add (DpEntryBoard *board, guint64 body_hash, DpName target);
/* A target answered the request whole. */
void entry_quarantine_clear (DpEntryBoard *board, guint64 body_hash);
void entry_quarantine_on_message (DpEntryBoard *board, const DpQuarantine *message);
void entry_quarantine_tick (DpEntryBoard *board);

/* --- entry_budget.c: how many retries a workspace may cause --- */

void entry_budget_served (DpEntryBoard *board, const Request *request);
gboolean entry_budget_spend (DpEntryBoard *board, const Request *request);
