/* Decision logic of an entry process: handles each request from arrival to final answer.
 *
 * The core does no I/O and reads no clock. The shell passes in timestamped events in the order
 * in which they happened and executes the returned actions, in order, before the next event.
 * The core is deterministic: the same events give the same actions. Unless noted otherwise,
 * pointers in events and actions are valid only until the next call.
 *
 * The core owns all requests, attempts and claims. Callers are identified by a number that the
 * shell assigns and never reuses, attempts by ids that the core generates.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/store.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

typedef guint64 DpCaller;

typedef struct DpEntryOptions
{
  DpName vm; /* on which this process runs */
  DpName data_centre;
  guint64 incarnation;  /* increases with each start */
  guint64 seed;         /* for attempt ids */
  guint requests_max;   /* open requests; more are refused */
  DpCounters *counters; /* a reference is taken; NULL: private counters */
} DpEntryOptions;

/* --- claims of idempotency keys --- */

typedef enum DpClaimState
{
  DP_CLAIM_CLAIMED,  /* the holder may send the request once */
  DP_CLAIM_DONE,     /* answered; status and body are recorded */
  DP_CLAIM_RELEASED, /* did not run; can be claimed again */
  DP_CLAIM_UNKNOWN,  /* may have run; never sent again */
} DpClaimState;

typedef struct DpClaimRecord
{
  DpId key; /* hash of (workspace, idempotency key) */
  guint64 body_hash;
  guint64 path_hash; /* of method and path */
  DpId attempt;
  DpName holder; /* VM that holds the claim */
  guint64 holder_incarnation;
  DpClaimState state;
  guint status; /* HTTP status of the recorded answer */
  char content_type[64];
  GBytes *body; /* of the recorded answer, owned; NULL if there is none or it is too large */
} DpClaimRecord;

/* Identifies the bucket that stores a key's record. A bucket is one object of the platform. */
typedef struct DpBucketId
{
  guint32 slot;  /* time slot in which the key was created */
  guint32 index; /* bucket within the slot */
} DpBucketId;

/* --- events --- */

typedef enum DpEntryEventType
{
  DP_ENTRY_EVENT_MANIFEST,
  DP_ENTRY_EVENT_VIEW,
  DP_ENTRY_EVENT_REQUEST,
  DP_ENTRY_EVENT_CALLER_GONE,
  DP_ENTRY_EVENT_MESSAGE,
  DP_ENTRY_EVENT_TARGET_HEAD,
  DP_ENTRY_EVENT_TARGET_CHUNK,
  DP_ENTRY_EVENT_TARGET_END,
  DP_ENTRY_EVENT_TARGET_FAILED,
  DP_ENTRY_EVENT_CLAIM_REPLY,
  DP_ENTRY_EVENT_TICK,
  DP_ENTRY_EVENT_STOP,
} DpEntryEventType;

typedef struct DpRequestIn
{
  DpCaller caller;
  DpId request;           /* hash of X-Request-Id, or random */
  const char *key_sha256; /* of the bearer token; NULL: none given */
  const char *method;
  const char *path;            /* "/v1/chat/completions" or "/services/NAME/..." */
  const char *model;           /* NULL for plain services */
  gboolean stream;             /* the caller wants server-sent events */
  DpUsec timeout;              /* 0: default of the tier */
  const char *idempotency_key; /* NULL: none given */
  guint64 body_hash;
  guint prompt_tokens;
  guint output_tokens; /* upper bound; 0: none given */
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
  gboolean outcome_query; /* GET of the outcome for `idempotency_key`; nothing is sent */
} DpRequestIn;

typedef struct DpTargetHead
{
  DpId attempt;
  int status;
  const char *content_type; /* may be NULL */
} DpTargetHead;

/* Part of the answer's body; for engines exactly one server-sent event. */
typedef struct DpTargetChunk
{
  DpId attempt;
  const void *data;
  gsize length;
  guint tokens;      /* generated tokens in this chunk */
  gboolean terminal; /* end event of the stream */
} DpTargetChunk;

typedef struct DpTargetEnd
{
  DpId attempt;
  gboolean framing_complete; /* the chunked or Content-Length body reached its end */
  guint prompt_tokens;
  guint cached_tokens;
  guint output_tokens;
} DpTargetEnd;

typedef struct DpTargetFailed
{
  DpId attempt;
  DpReason reason;       /* CONNECT_FAILED, TARGET_BROKE, TARGET_SILENT, ... */
  gboolean nothing_sent; /* it is certain that no byte was sent to the target */
} DpTargetFailed;

/* Result of a CLAIM_READ or CLAIM_WRITE. The shell reports each operation exactly once, as
 * DP_STORE_LOST if its result is not known, and drops later replies of the platform. */
typedef struct DpClaimReply
{
  DpBucketId bucket;
  gboolean is_write;
  DpStoreResult result;
  guint64 version; /* of the object after the operation */
  GArray *records; /* DpClaimRecord, borrowed; NULL unless the bucket was read */
} DpClaimReply;

typedef struct DpEntryEvent
{
  DpEntryEventType type;
  DpUsec now;  /* monotonic */
  DpUsec wall; /* Unix time */
  union
  {
    DpManifest *manifest; /* the core takes its own reference */
    DpView *view;         /* the core takes its own reference */
    DpRequestIn request;
    DpCaller caller_gone;
    struct
    {
      DpPeer from;
      const DpMessage *message;
    };
    DpTargetHead head;
    DpTargetChunk chunk;
    DpTargetEnd end;
    DpTargetFailed failed;
    DpClaimReply claim;
  };
} DpEntryEvent;

/* --- actions --- */

typedef enum DpEntryActionType
{
  DP_ENTRY_ACTION_SEND,
  DP_ENTRY_ACTION_DISPATCH,
  DP_ENTRY_ACTION_CANCEL,
  DP_ENTRY_ACTION_HEAD,
  DP_ENTRY_ACTION_FORWARD,
  DP_ENTRY_ACTION_END,
  DP_ENTRY_ACTION_PROBLEM,
  DP_ENTRY_ACTION_REPLAY,
  DP_ENTRY_ACTION_ABORT,
  DP_ENTRY_ACTION_CLAIM_READ,
  DP_ENTRY_ACTION_CLAIM_WRITE,
} DpEntryActionType;

typedef struct DpDispatch
{
  DpCaller caller;
  DpId attempt;
  DpName target;
  char address[46]; /* IP address */
  guint16 port;
  DpPoolKind kind;
  guint sent_tokens; /* resume after this many tokens; 0: from the start */
  DpUsec remaining;  /* until the deadline */
} DpDispatch;

/* Starts the caller's answer. With `stream` FALSE, nothing reaches the caller before END: a
 * second HEAD discards the body buffered so far and starts again, a PROBLEM discards it too. */
typedef struct DpHead
{
  DpCaller caller;
  int status;
  char content_type[64];
  gboolean stream; /* FALSE: buffer until END, then send with Content-Length */
} DpHead;

typedef struct DpForward
{
  DpCaller caller;
  const void *data;
  gsize length;
} DpForward;

/* Aborts an answer that has been started and cannot be completed. */
typedef struct DpAbort
{
  DpCaller caller;
  DpReason reason;
} DpAbort;

/* Final answer that does not come from a target. */
typedef struct DpProblem
{
  DpCaller caller;
  int status;
  DpReason reason;
  DpOutcome outcome;
  gboolean sent;      /* the request may have reached a target */
  DpUsec retry_after; /* 0: no Retry-After header */
  const char *detail; /* static text, or NULL */
} DpProblem;

/* Recorded answer to an earlier request with the same idempotency key. */
typedef struct DpReplay
{
  DpCaller caller;
  int status;
  char content_type[64];
  GBytes *body; /* owned by the action; NULL: was too large to be recorded */
} DpReplay;

typedef struct DpClaimWrite
{
  DpBucketId bucket;
  guint64 expected_version; /* 0: the object must not exist */
  GArray *records;          /* DpClaimRecord; owned by the action */
} DpClaimWrite;

typedef struct DpEntryAction
{
  DpEntryActionType type;
  union
  {
    struct
    {
      DpPeer to;
      DpMessage message; /* owned by the action */
    };
    DpDispatch dispatch;
    DpId cancel; /* attempt whose connection to the target is to be closed */
    DpHead head;
    DpForward forward;
    DpCaller end;
    DpProblem problem;
    DpReplay replay;
    DpAbort abort; /* close the connection without the final chunk */
    DpBucketId claim_read;
    DpClaimWrite claim_write;
  };
} DpEntryAction;

/* Frees the contents of an action; usable as a GArray clear function. */
void dp_entry_action_clear (gpointer action);

/* Creates an array of DpEntryAction that clears its elements. */
GArray *dp_entry_actions_new (void);

/* --- core --- */

typedef struct DpEntryCore DpEntryCore;

DpEntryCore *dp_entry_core_new (const DpEntryOptions *options);
DpEntryCore *dp_entry_core_ref (DpEntryCore *core);
void dp_entry_core_unref (DpEntryCore *core);

/* Handles one event and appends the actions to be executed to `actions`. */
void dp_entry_handle (DpEntryCore *core, const DpEntryEvent *event, GArray *actions);

/* Number of open requests and of claims whose final state is not yet stored. A stopping entry
 * can exit once it is 0. */
guint dp_entry_open_requests (const DpEntryCore *core);

/* Frees the contents of a DpClaimRecord; usable as a GArray clear function. */
void dp_claim_record_clear (gpointer record);
