/* Messages between the processes of the system.
 *
 * A message is a tagged union that net/codec.h encodes as msgpack. The decoder ignores unknown
 * members, so newer releases can add some. Times are sent as durations relative to the time of
 * sending, since the clocks of the VMs need not agree.
 */
#pragma once

#include "common/id.h"
#include "core/reason.h"
#include "core/rollout/rollout_orders.h"
#include "core/store_version.h"

#include <glib.h>

/* Prefix block hashes per request. */
#define DP_PREFIX_BLOCKS_MAX 32
/* Targets on which a request has failed and to which it is not sent again. */
#define DP_EXCLUDED_MAX 4
/* Rows per DpGrantHeld message. */
#define DP_HELD_GRANTS_MAX 64
#define DP_ADVERT_TIERS_MAX 8
/* The urgency of a request is its workspace's tier times DP_URGENCY_ROUTE_LEVELS plus the tier
 * of its route. */
#define DP_URGENCY_ROUTE_LEVELS 4
#define DP_URGENCY_LEVELS 32
/* Rows per DpTargetLimits message. */
#define DP_LIMIT_ROWS_MAX 64
/* Rows per DpTargetCapacity message. */
#define DP_CAPACITY_LIMITS_MAX 64
/* Slots per DpTargetSent. */
#define DP_SENT_SLOTS_MAX 20
/* Slots per DpUseReport. */
#define DP_USE_REPORT_SLOTS_MAX 81

/* Keys per DpSuspectReport, and per set of DpSuspect. Requests that have more count as a whole,
 * see core/suspects/suspects.h. A head of 16 KB has about 1,300 parts with ids of 8 digits. */
#define DP_SUSPECT_KEYS_MAX 2048
/* The same of builds below DP_RULES_LEVEL_PARTS. */
#define DP_SUSPECT_KEYS_MAX_BEFORE 16
/* Rows per DpStreamCopyRows message, and streams per DpStreamCopiesAsk. */
#define DP_STREAM_COPIES_MAX 256

typedef enum DpRole
{
  DP_ROLE_ENTRY,
  DP_ROLE_SCHEDULER,
  DP_ROLE_AGENT,
  DP_ROLE_NODE, /* does the work of the other roles in one process */
  DP_ROLE_COUNT,
} DpRole;

/* Identifies a process of the system. */
typedef struct DpPeer
{
  DpName vm;
  DpRole role;
} DpPeer;

typedef enum DpMessageType
{
  /* entry -> scheduler */
  DP_MESSAGE_GRANT_ASK,
  DP_MESSAGE_GRANT_PROGRESS,
  DP_MESSAGE_GRANT_DONE,
  DP_MESSAGE_GRANT_HELD,
  /* scheduler -> entry */
  DP_MESSAGE_GRANT_GIVEN,
  DP_MESSAGE_GRANT_QUEUED,
  DP_MESSAGE_GRANT_REFUSED,
  DP_MESSAGE_GRANT_REVOKED,
  DP_MESSAGE_ADVERT,
  /* entry <-> entry */
  DP_MESSAGE_HOLDER_ASK,
  DP_MESSAGE_HOLDER_ANSWER,
  DP_MESSAGE_QUARANTINE,
  /* entry, scheduler <-> agent of the same VM */
  DP_MESSAGE_HELLO,
  DP_MESSAGE_MANIFEST,
  DP_MESSAGE_VIEW,
  /* agent <-> agent */
  DP_MESSAGE_PROBE,
  DP_MESSAGE_PROBE_ACK,
  DP_MESSAGE_MANIFEST_ASK,
  /* entry -> scheduler */
  DP_MESSAGE_LIMIT_ASK,
  /* scheduler -> entry */
  DP_MESSAGE_LIMIT_GIVEN,
  /* node <-> node: platform state for nodes that cannot reach the platform */
  DP_MESSAGE_TARGETS_ASK,
  DP_MESSAGE_TARGETS,
  DP_MESSAGE_RELAY,
  /* node -> nodes that count failures */
  DP_MESSAGE_SUSPECT_REPORT,
  /* node -> quota server of a workspace, and back */
  DP_MESSAGE_CREDIT_ASK,
  DP_MESSAGE_CREDIT_GIVEN,
  /* new quota server of a workspace -> all nodes, and back */
  DP_MESSAGE_USE_ASK,
  DP_MESSAGE_USE_REPORT,
  /* node -> node that owns the pool -> all nodes */
  DP_MESSAGE_TARGET_LEAVING,
  /* node -> node that owns the pool, and owner -> all nodes */
  DP_MESSAGE_TARGET_LIMITS,
  /* node -> owner that keeps a target's limit */
  DP_MESSAGE_TARGET_SENT,
  /* node that counts failures -> all nodes */
  DP_MESSAGE_SUSPECT,
  /* node -> nodes that are asked for a stream's version, and answer */
  DP_MESSAGE_STREAM_VERSION,
  DP_MESSAGE_STREAM_VERSION_ASK,
  /* node -> gateway that carried a target's response */
  DP_MESSAGE_TARGET_PAUSED,
  /* node that watches the store -> nodes that don't; answer to TARGETS_ASK */
  DP_MESSAGE_ROLLOUTS,
  /* node that owns the pool -> all nodes, and a node that knows better -> that node */
  DP_MESSAGE_ROLLOUT,
  /* owner of a pool -> all nodes */
  DP_MESSAGE_TARGET_CAPACITY,
  /* node -> node that owns the plain pool, and owner -> all nodes */
  DP_MESSAGE_POOL_SHARED,
  /* node -> nodes of its group, and the answer to STREAM_COPIES_ASK; since level 3 */
  DP_MESSAGE_STREAM_COPIES,
  DP_MESSAGE_STREAM_COPIES_ASK,
  /* node -> node that has a newer state, and the answer; since level 4 */
  DP_MESSAGE_ROWS_ASK,
  DP_MESSAGE_ROWS,
  DP_MESSAGE_COUNT,
} DpMessageType;

/* Requests a grant for one attempt. It is resent with the same attempt id until it is answered;
 * the owner treats repetitions as the same request. */
typedef struct DpGrantAsk
{
  DpId attempt;
  DpName group;
  DpName tier;
  DpName workspace;
  DpName model; /* 0 for plain services */
  guint prompt_tokens;
  guint output_tokens; /* upper bound given by the caller; 0: none */
  guint sent_tokens;   /* already streamed to the caller by earlier attempts */
  DpUsec remaining;    /* until the deadline */
  gboolean repeatable;
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX]; /* chained block hashes, shortest prefix first */
  guint excluded_count;
  DpName excluded[DP_EXCLUDED_MAX];
  /* only for the dispatcher of a pool */
  guint urgency;          /* 0 is the most urgent; below DP_URGENCY_LEVELS */
  DpUsec objective_left;  /* until the first byte is late; 0: already late */
  guint64 session;        /* hash of the last part of the prompt; 0: none */
  DpName data_centre;     /* of the sender; 0: not known */
  DpName version;         /* of the software that began the stream; 0: any */
  gboolean has_begun;     /* the caller has got a part of the answer */
  DpName route;           /* that the request matched; 0: not known */
  gboolean begins_stream; /* one that may be resumed: its first event binds it to a version */
} DpGrantAsk;

typedef struct DpGrantGiven
{
  DpId attempt;
  DpName group;
  DpName target;
  gboolean is_brittle; /* the owner knows that the target is brittle */
  gboolean is_limited; /* the owner knows that the target has a limit; since level 1 */
} DpGrantGiven;

typedef struct DpGrantQueued
{
  DpId attempt;
  DpName group;
  guint position;
  DpUsec wait; /* estimate */
} DpGrantQueued;

typedef struct DpGrantRefused
{
  DpId attempt;
  DpName group;
  DpReason reason;
  DpUsec retry_after;   /* estimate of when the queue has drained */
  gboolean is_overload; /* the queue is too long: similar requests would be refused too */
} DpGrantRefused;

/* Revokes a grant or removes a request from the queue. With reason NO_OWNER the request is not,
 * or no longer, queued at the sender, for example because another VM owns the group now. The
 * receiver sends its request to the owner in its latest view; a node keeps the attempt id. */
typedef struct DpGrantRevoked
{
  DpId attempt;
  DpName group;
  DpReason reason;
  DpUsec retry_after;
} DpGrantRevoked;

/* The first token was received: prefill is complete. */
typedef struct DpGrantProgress
{
  DpId attempt;
  DpName group;
} DpGrantProgress;

/* The attempt has ended or the grant request is withdrawn. */
typedef struct DpGrantDone
{
  DpId attempt;
  DpName group;
  DpName target;       /* 0: no grant was given */
  DpReason reason;     /* NONE: complete; otherwise CALLER_GONE, PREEMPTED, TARGET_... */
  guint prompt_tokens; /* as counted by the target; 0: unknown */
  guint cached_tokens;
  guint output_tokens;
  DpUsec time_to_first_token; /* from dispatch; 0: no token */
  DpUsec duration;            /* from dispatch */
  DpUsec pause;               /* for which the target asked to get no requests */
  gboolean is_rejection;      /* the target itself rejected the request */
} DpGrantDone;

/* A grant that an entry holds, or a pending grant request. */
typedef struct DpHeldGrant
{
  DpId attempt;
  DpName target; /* 0: no grant yet */
  DpName tier;
  DpName workspace;
  DpName model;
  guint tokens;     /* estimated cost */
  gboolean started; /* the first token was received */
} DpHeldGrant;

/* Heartbeat of an entry to the owner of a group: its grants and pending requests there. */
typedef struct DpGrantHeld
{
  DpName group;
  guint64 incarnation; /* of the entry */
  guint part;          /* number of this message, from 0, if there are more rows than fit */
  gboolean last;       /* the last part */
  gboolean has_left;   /* the entry uses another owner now and holds no grants of this one */
  gboolean is_cut_off; /* the entry's own connections reach no target that others reach */
  guint count;
  DpHeldGrant held[DP_HELD_GRANTS_MAX];
} DpGrantHeld;

/* State of one group, sent by its owner to the entries that use it. */
typedef struct DpAdvert
{
  DpName group;
  guint free_slots;
  DpUsec wait; /* estimate for a new request of the least urgent tier */
  guint tier_count;
  /* by tier index, most urgent first */
  guint running[DP_ADVERT_TIERS_MAX];
  guint waiting[DP_ADVERT_TIERS_MAX];
} DpAdvert;

/* Queries the holder of a claim for the outcome of the claimed request. */
typedef struct DpHolderAsk
{
  DpId key;     /* hash of (workspace, idempotency key) */
  DpId attempt; /* as recorded in the claim */
  guint64 incarnation;
  DpName requesting_vm;
} DpHolderAsk;

typedef enum DpHolderState
{
  DP_HOLDER_IN_FLIGHT,
  DP_HOLDER_DONE,
  DP_HOLDER_RELEASED,
  DP_HOLDER_UNKNOWN, /* the outcome is unknown, or this incarnation does not know the claim */
} DpHolderState;

typedef struct DpHolderAnswer
{
  DpId key;
  DpId attempt;
  DpHolderState state;
} DpHolderAnswer;

/* Number of targets that crashed while they ran the request with this fingerprint; 0: a target
 * has answered it completely. */
typedef struct DpQuarantine
{
  guint64 fingerprint;
  guint failures;
  DpUsec remaining;
  DpName target; /* of the last failure */
} DpQuarantine;

/* What a request may have in common with others that crash targets are keys, see
 * core/suspects/suspects.h. A target broke off while it ran a request with these keys, or
 * answered it completely. */
typedef struct DpSuspectReport
{
  DpName target; /* that broke off; 0: the request was answered */
  DpUsec age;    /* time since the request was sent or, if it was answered, since then */
  GArray *keys;  /* set, see core/key_set.h; owned by the message */
} DpSuspectReport;

/* State of a key; without failures and not blocked, it is no longer a suspect. */
typedef struct DpSuspect
{
  guint64 key;
  guint failures;
  gboolean is_blocked;
  guint trials;
  DpUsec remaining; /* until the next trial */
  /* Set of keys, owned by the message; NULL or empty: `key` alone. If it is blocked, only
   * requests with all of these are. Otherwise the same is stated of each of them. */
  GArray *joint;
} DpSuspect;

/* Software version that began a stream. */
typedef struct DpStreamVersion
{
  guint64 stream; /* hash of the id of the request that brought its first event */
  DpName version; /* 0: not known */
  DpName pool;    /* of a question */
} DpStreamVersion;

typedef struct DpStreamCopy
{
  guint64 stream; /* hash of the id of the request that brought its first event */
  DpName version; /* 0: not known */
} DpStreamCopy;

typedef enum DpStreamCopyRowsType
{
  DP_STREAM_COPIES_BATCH,   /* streams that the sender began */
  DP_STREAM_COPIES_FORWARD, /* streams of other nodes, which may be lost */
  DP_STREAM_COPIES_TABLE,   /* a part of all that the sender knows */
  DP_STREAM_COPIES_ANSWER,  /* to a question about these streams */
  DP_STREAM_COPIES_STORED,  /* the sender has written the group's copies to the store */
  DP_STREAM_COPIES_TYPE_COUNT,
} DpStreamCopyRowsType;

/* Software versions of streams, see core/stream_copies/stream_copies.h. */
typedef struct DpStreamCopyRows
{
  DpStreamCopyRowsType type;
  guint64 incarnation;  /* of a batch: of its sender */
  guint64 position;     /* of a batch: number of rows in all batches before it */
  guint64 question;     /* of an answer: as in the question */
  gboolean is_last;     /* of a table: its last part */
  gboolean is_complete; /* table, answer: the sender knows of no copies that it lacks */
  guint count;
  DpStreamCopy rows[DP_STREAM_COPIES_MAX];
} DpStreamCopyRows;

/* Requests the versions of these streams. */
typedef struct DpStreamCopiesAsk
{
  guint64 question;     /* number that the answer repeats */
  gboolean wants_table; /* all that the receiver knows instead */
  guint count;
  guint64 streams[DP_STREAM_COPIES_MAX];
} DpStreamCopiesAsk;

/* Heartbeat of an entry or scheduler to the agent of its VM. */
typedef struct DpHello
{
  DpRole role;
  guint64 incarnation;
  gboolean leaving;
  guint64 manifest_revision; /* in force; 0: none */
  guint64 view_version;
  guint open_requests; /* entry only: a leaving VM stops once there are none */
} DpHello;

typedef struct DpManifestText
{
  guint64 revision;
  guint64 digest;
  GBytes *text; /* owned by the message */
  /* base that `text` is a delta against (manifest/delta.h); 0: `text` is complete */
  guint64 base_revision;
  guint64 base_digest;
} DpManifestText;

/* A view as it is sent. */
typedef struct DpViewRows
{
  guint64 version; /* between nodes: the revision of the platform's store */
  GArray *vms;     /* DpVm; owned by the message */
  guint64 era;     /* of the platform's store */
} DpViewRows;

/* Probe between agents, with piggybacked membership updates and the accepted manifest. */
typedef struct DpProbe
{
  guint64 sequence;
  guint64 incarnation;
  gboolean leaving;
  guint64 manifest_revision;
  guint64 manifest_digest;
  GArray *updates; /* DpVm; owned by the message; may be NULL */
  guint64 rules;   /* level that the sender keeps, see DP_RULES_LEVEL; between nodes only */
} DpProbe;

typedef struct DpManifestAsk
{
  guint64 revision; /* that the requester has */
  guint64 digest;   /* of that revision; 0: send no delta to it */
  guint64 rules;    /* level of the requester, see DP_RULES_LEVEL; between nodes only */
} DpManifestAsk;

/* Requests admission of a number of requests under the limits of a workspace; also the
 * heartbeat that reports the open ones. It is resent with the same sequence until it is
 * answered; repetitions count as the same request. */
typedef struct DpLimitAsk
{
  DpName workspace;
  guint64 sequence; /* increases with each new request of the entry */
  guint want;       /* requests to be admitted; 0: a report, which is not answered */
  guint held;       /* open requests of the workspace at the entry */
} DpLimitAsk;

typedef struct DpLimitGiven
{
  DpName workspace;
  guint64 sequence;
  guint given;        /* number of admitted requests */
  DpReason reason;    /* for refusing the others: RATE_LIMITED, TOO_MANY_IN_FLIGHT; else NONE */
  DpUsec retry_after; /* for the others; 0: not known */
} DpLimitGiven;

/* Requests credit on a workspace's limit from the quota server and reports the node's use.
 * Credit that is no longer included in `held` has been spent or dropped. */
typedef struct DpCreditAsk
{
  DpName workspace;
  guint64 sequence; /* increases with each request; only the answer to the last one is used */
  guint64 incarnation;
  guint want;     /* for all waiting requests */
  guint tier;     /* route tier of the most urgent of them; below DP_URGENCY_ROUTE_LEVELS */
  guint minimum;  /* for the smallest request of that tier */
  guint prefetch; /* for requests that are expected soon */
  guint held;     /* unspent credit */
  guint64 spent;  /* since the process started */
  guint returned; /* of `spent`, for requests that did not run */
  DpUsec returned_age; /* time since the first of these was charged */
  gboolean is_new;     /* the last answer came from another quota server, or there was none */
} DpCreditAsk;

typedef struct DpCreditGiven
{
  DpName workspace;
  guint64 sequence;
  guint given;
  gboolean has_left;   /* `left` is valid: the quota server knows the use of all nodes */
  guint left;          /* credit left of the limit after this answer */
  gboolean is_pending; /* reports of use are still missing: repeat the request soon */
  DpReason reason;     /* RATE_LIMITED: less was given than wanted */
  DpUsec retry_after;  /* for the request that `least` was for */
} DpCreditGiven;

/* Requests a DpUseReport. */
typedef struct DpUseAsk
{
  DpName workspace;
} DpUseAsk;

/* Use of a limit by one node in the last window. */
typedef struct DpUseReport
{
  DpName workspace;
  guint64 incarnation;
  guint64 spent;           /* since the process started */
  guint held;              /* unspent credit */
  DpUsec history_duration; /* for which the node's record of its use is complete */
  guint left;              /* credit left of the limit, as last received from a quota server */
  DpUsec left_age;         /* time since that answer */
  DpUsec slot;             /* length of a slot */
  guint count;
  guint slots[DP_USE_REPORT_SLOTS_MAX]; /* newest first */
} DpUseReport;

/* Requests the list of targets. */
typedef struct DpTargetsAsk
{
  guint64 version; /* of the requester's list */
  guint64 rules;   /* level of the requester, see DP_RULES_LEVEL */
} DpTargetsAsk;

/* List of targets as a node knows it. */
typedef struct DpTargetRows
{
  DpUsec age;             /* time since the platform last confirmed the list */
  DpStoreVersion version; /* of the platform's store at which the list was read */
  GArray *rows;           /* DpTargetRecord; owned by the message */
} DpTargetRows;

/* List of orders to roll out versions as a node knows it. */
typedef struct DpRolloutRows
{
  DpStoreVersion version; /* of the platform's store that the list corresponds to */
  GArray *rows;           /* DpRolloutRow; owned by the message */
} DpRolloutRows;

/* Latest versions in the platform's store, from a VM that watches it for others. */
typedef struct DpRelay
{
  guint64 manifest_revision;
  DpStoreVersion targets;
  DpStoreVersion vms;
  DpUsec age;  /* time since the least recent of the three was confirmed */
  guint64 era; /* latest known of the store */
  /* Of the store at which `manifest_revision` was the newest; revision 0: not stated. */
  DpStoreVersion config;
  /* Digests of the lists of rows, see core/row_sync/; 0: not stated. */
  guint64 manifest_digest;
  guint64 targets_digest;
  guint64 vms_digest;
  /* DpVm: the sender's own row, so that a receiver can ask it that does not have it in its list
   * yet; NULL or empty: not stated. */
  GArray *sender;
} DpRelay;

/* Kinds of state that VMs follow as lists of rows, see core/row_sync/. */
typedef enum DpRowKind
{
  DP_ROWS_CONFIG,
  DP_ROWS_TARGETS,
  DP_ROWS_VMS,
  DP_ROWS_COUNT,
} DpRowKind;

/* Requests a part of a state that is newer than the requester's. */
typedef struct DpRowsAsk
{
  DpRowKind kind;
  DpStoreVersion version; /* that the requester has */
  guint64 base_digest;    /* of that state; 0: send the whole state */
  guint64 wanted;         /* digest of the state that is being transferred; 0: the newest */
  guint first;            /* number of its rows that the requester has */
} DpRowsAsk;

typedef struct DpRowsPart
{
  DpRowKind kind;
  DpStoreVersion version;
  guint64 digest;      /* of the complete list */
  guint64 base_digest; /* of the list that the steps refer to; 0: they refer to none */
  guint first;         /* index of the first row in this part */
  guint total;         /* rows of the complete list */
  DpUsec age;          /* time since the store confirmed the state */
  GBytes *steps;       /* see core/row_sync/row_delta.h; owned by the message */
} DpRowsPart;

/* A target has announced in an answer that it is leaving. */
typedef struct DpTargetLeaving
{
  DpName target;
  DpName pool;
  guint64 started; /* start of the target's incarnation, Unix milliseconds */
} DpTargetLeaving;

/* A target has asked a VM for a pause; it takes its gateway for the sender of the request. */
typedef struct DpTargetPaused
{
  DpName target;
  DpUsec pause;
} DpTargetPaused;

/* Limit that a target states in its responses. */
/* Age of a row whose sender knows no response about a limit. */
#define DP_LIMIT_AGE_NONE ((DpUsec)1 << 50)

typedef struct DpLimitRow
{
  DpName target;
  guint64 started;      /* start of the target's incarnation, Unix milliseconds */
  gboolean is_set;      /* FALSE: the target has no limit any more */
  guint64 milli;        /* thousandths of a request per second, from all VMs together */
  DpUsec age;           /* time since the response */
  gboolean is_query;    /* the owner needs to know what each node has sent to the target */
  gboolean has_brittle; /* FALSE: nothing is said about it, the fields below are not set */
  gboolean is_brittle;
  guint rejections_max; /* if brittle: in a second, from all VMs together */
  DpUsec brittle_age;   /* time since the response */
} DpLimitRow;

typedef struct DpTargetLimits
{
  DpName pool;
  gboolean is_owner; /* the sender assigns requests to the pool's targets */
  DpUsec idle;       /* if so: time since it was last asked to assign one */
  guint count;
  DpLimitRow rows[DP_LIMIT_ROWS_MAX];
} DpTargetLimits;

/* Requests that a node has sent to a target, and that the receiver has not assigned. */
typedef struct DpTargetSent
{
  DpName target;
  DpName pool;
  DpUsec slot; /* length of a slot */
  guint count;
  guint slots[DP_SENT_SLOTS_MAX]; /* newest first */
} DpTargetSent;

typedef struct DpCapacityLimit
{
  DpName target;
  guint64 started; /* start of the target's incarnation, Unix milliseconds */
  guint limit;     /* of concurrent requests, from 1 to the target's slots plus one */
  DpUsec age;      /* time since the last measurement */
} DpCapacityLimit;

/* What a pool's owner has learned of targets that take less than their slots, or whose limit
 * has changed, see core/capacity/capacity.h. The others of the pool are as they were. Without
 * rows it says that the sender is an owner. */
typedef struct DpTargetCapacity
{
  DpName pool;
  DpUsec idle; /* time since the sender was last asked to assign a request */
  guint count;
  DpCapacityLimit rows[DP_CAPACITY_LIMITS_MAX];
} DpTargetCapacity;

/* A plain pool is short of capacity: a report to its owner or the owner's announcement that it
 * assigns all requests, see core/shared_mode/shared_mode.h. */
typedef struct DpPoolShared
{
  DpName pool;
  gboolean is_owner; /* an announcement */
  DpUsec duration;   /* of an announcement: the pool is shared for this long; 0: no longer */
  guint rejections;  /* of a report: by targets, since the last report */
  DpName target;     /* of a report: the last one that rejected a request; 0: none */
  guint milli; /* requests at targets, in thousandths: of a report, the sender's on average;
                * of an announcement, those that it counts now */
} DpPoolShared;

typedef struct DpMessage
{
  DpMessageType type;
  union
  {
    DpGrantAsk grant_ask;
    DpGrantProgress grant_progress;
    DpGrantDone grant_done;
    DpGrantHeld grant_held;
    DpGrantGiven grant_given;
    DpGrantQueued grant_queued;
    DpGrantRefused grant_refused;
    DpGrantRevoked grant_revoked;
    DpAdvert advert;
    DpHolderAsk holder_ask;
    DpHolderAnswer holder_answer;
    DpQuarantine quarantine;
    DpSuspectReport suspect_report;
    DpSuspect suspect;
    DpStreamVersion stream_version;
    DpStreamCopyRows stream_copies;
    DpStreamCopiesAsk stream_copies_ask;
    DpHello hello;
    DpManifestText manifest;
    DpViewRows view;
    DpProbe probe; /* also for PROBE_ACK */
    DpManifestAsk manifest_ask;
    DpLimitAsk limit_ask;
    DpLimitGiven limit_given;
    DpCreditAsk credit_ask;
    DpCreditGiven credit_given;
    DpUseAsk use_ask;
    DpUseReport use_report;
    DpTargetLeaving target_leaving;
    DpTargetPaused target_paused;
    DpTargetLimits target_limits;
    DpTargetSent target_sent;
    DpTargetCapacity target_capacity;
    DpPoolShared pool_shared;
    DpTargetsAsk targets_ask;
    DpTargetRows targets;
    DpRelay relay;
    DpRolloutRows rollouts;
    DpRolloutNotice rollout;
    DpRowsAsk rows_ask;
    DpRowsPart rows;
  };
} DpMessage;

const char *dp_message_type_name (DpMessageType type);

/* Frees the contents of a message. */
void dp_message_clear (DpMessage *message);
void dp_suspect_clear (DpSuspect *state);
