/* Decisions of an entry process: from a caller's request to its whole answer or its refusal.
 *
 * Sans I/O: the shell hands in events in the order in which they happened and carries out the
 * actions that come back, in order, before the next event. Pointers in events and actions are
 * valid until the next call only, unless said otherwise. The core reads no clock; each event
 * carries its time. The same events give the same actions.
 *
 * The board owns all requests, attempts and claims. Callers are named by a number that the
 * shell chooses and never uses twice; attempts by ids that the core makes.
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
  DpName vm; /* of this process */
  DpName data_centre;
  guint64 incarnation;  /* rises with each start */
  guint64 seed;         /* for attempt ids and jitter */
  guint requests_max;   /* open at once; more are refused */
  DpCounters *counters; /* a reference is taken */
} DpEntryOptions;

/* --- claims of idempotency keys --- */

typedef enum DpClaimState
{
  DP_CLAIM_CLAIMED,  /* its holder may send it once */
  DP_CLAIM_DONE,     /* answered; status and body recorded */
  DP_CLAIM_RELEASED, /* not run; may be claimed anew */
  DP_CLAIM_UNKNOWN,  /* may have run; never sent again */
} DpClaimState;

typedef struct DpClaimRecord
{
  DpId key; /* hash of (workspace, idempotency key) */
  guint64 body_hash;
  guint64 path_hash; /* of method and path */
  DpId attempt;
  DpName holder; /* VM */
  guint64 holder_incarnation;
  DpClaimState state;
  guint status; /* HTTP status of the recorded answer */
  char content_type[64];
  GBytes *body; /* recorded answer; NULL if none or too large; owned by the record */
} DpClaimRecord;

/* Where a key's record lives: one object of the platform holds a bucket of records. */
typedef struct DpBucketId
{
  guint32 slot;  /* time slot of the key */
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
  DpId request;           /* X-Request-Id's hash, or random */
  const char *key_sha256; /* of the bearer token; NULL: none given */
  const char *method;
  const char *path;            /* "/v1/chat/completions" or "/services/NAME/..." */
  const char *model;           /* NULL for plain services */
  gboolean stream;             /* the caller wants server-sent events */
  DpUsec timeout;              /* 0: the tier's */
  const char *idempotency_key; /* NULL: none */
  guint64 body_hash;
  guint prompt_tokens;
  guint output_tokens; /* upper bound; 0: none */
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
  gboolean outcome_query; /* GET of the outcome of `idempotency_key`; nothing is sent */
} DpRequestIn;

typedef struct DpTargetHead
{
  DpId attempt;
  int status;
  const char *content_type; /* may be NULL */
} DpTargetHead;

/* A piece of the answer. For engines exactly one server-sent event. */
typedef struct DpTargetChunk
{
  DpId attempt;
  const void *data;
  gsize length;
  guint tokens;      /* generated tokens in it */
  gboolean terminal; /* the stream's end event */
} DpTargetChunk;

typedef struct DpTargetEnd
{
  DpId attempt;
  gboolean framing_complete; /* chunked or Content-Length framing reached its end */
  guint prompt_tokens;
  guint cached_tokens;
  guint output_tokens;
} DpTargetEnd;

typedef struct DpTargetFailed
{
  DpId attempt;
  DpReason reason;       /* CONNECT_FAILED, TARGET_BROKE, TARGET_SILENT, ... */
  gboolean nothing_sent; /* certain: no byte was handed to the target */
} DpTargetFailed;

/* The shell answers each CLAIM_READ and CLAIM_WRITE exactly once, with LOST if need be, and
 * drops what the platform says after that. */
typedef struct DpClaimReply
{
  DpBucketId bucket;
  gboolean is_write;
  DpStoreResult result;
  guint64 version;
  GArray *records; /* DpClaimRecord; read only; NULL unless read */
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
  DP_ENTRY_ACTION_BREAK,
  DP_ENTRY_ACTION_CLAIM_READ,
  DP_ENTRY_ACTION_CLAIM_WRITE,
} DpEntryActionType;

typedef struct DpDispatch
{
  DpCaller caller;
  DpId attempt;
  DpName target;
  char address[46]; /* IP number */
  guint16 port;
  DpPoolKind kind;
  guint sent_tokens; /* resume after that many; 0: from the start */
  DpUsec remaining;  /* until the deadline */
} DpDispatch;

/* Starts the caller's answer. With `stream` FALSE nothing reaches the caller before END: a
 * second HEAD then drops what was collected and starts again, and a PROBLEM drops it too. */
typedef struct DpHead
{
  DpCaller caller;
  int status;
  char content_type[64];
  gboolean stream; /* FALSE: collect until END, send with Content-Length */
} DpHead;

typedef struct DpForward
{
  DpCaller caller;
  const void *data;
  gsize length;
} DpForward;

/* The rest of an answer that has begun will not come. */
typedef struct DpBreakOff
{
  DpCaller caller;
  DpReason reason;
} DpBreakOff;

/* The caller's final answer, when it is not a target's. */
typedef struct DpProblem
{
  DpCaller caller;
  int status;
  DpReason reason;
  DpOutcome outcome;
  gboolean sent;      /* this attempt may have reached a target */
  DpUsec retry_after; /* 0: no such header */
  const char *detail; /* static text, or NULL */
} DpProblem;

/* The recorded answer of an earlier request under the same key. */
typedef struct DpReplay
{
  DpCaller caller;
  int status;
  char content_type[64];
  GBytes *body; /* owned by the action; NULL: too large to be kept */
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
    DpId cancel; /* attempt: close its connection to the target */
    DpHead head;
    DpForward forward;
    DpCaller end;
    DpProblem problem;
    DpReplay replay;
    DpBreakOff break_off; /* close without the final chunk */
    DpBucketId claim_read;
    DpClaimWrite claim_write;
  };
} DpEntryAction;

/* Releases what an action owns. */
void dp_entry_action_clear (gpointer action);

/* A GArray of DpEntryAction that clears its rows. */
GArray *dp_entry_actions_new (void);

/* --- the board --- */

typedef struct DpEntryBoard DpEntryBoard;

DpEntryBoard *dp_entry_board_new (const DpEntryOptions *options);
DpEntryBoard *dp_entry_board_ref (DpEntryBoard *board);
void dp_entry_board_unref (DpEntryBoard *board);

/* Handles one event; appends the actions to be carried out. */
void dp_entry_handle (DpEntryBoard *board, const DpEntryEvent *event, GArray *actions);

/* Open requests; a stopping entry may exit at 0. */
guint dp_entry_open_requests (const DpEntryBoard *board);

/* Clears a GArray of DpClaimRecord's rows; use as its clear function. */
void dp_claim_record_clear (gpointer record);
