/* dogwoodplank-node: entry, scheduler and agent of one VM in one process.
 *
 * The node is a blackboard that its parts read and write; each part owns the functions named
 * for it below. Everything runs on one loop in one thread.
 *
 *   settings.c its settings
 *   follow.c   what lies in the platform's store: config, targets, VMs
 *   enlist.c   this VM's own entry there
 *   share.c    the same from other VMs, while the store is out of reach
 *   peers.c    the other VMs: probes, owners
 *   limits.c   limits of workspaces
 *   placing.c  which target a request is sent to: asks, grants, dispatchers
 *   poison.c   requests that bring targets down
 *   memory.c   memory against the process's limit
 *   front.c    callers: admission, ready, stop
 *   request.c  one request from admission to its final answer
 *   attempt.c  one sending of a request to a target
 */
#pragma once

#include "core/directory.h"
#include "core/dispatcher.h"
#include "core/owners.h"
#include "core/prune.h"
#include "core/quarantine.h"
#include "core/quota.h"
#include "core/retry.h"
#include "core/shed.h"
#include "net/http_call.h"
#include "net/http_server.h"
#include "net/process.h"
#include "net/sse.h"
#include "platform/client.h"
#include "platform/wire.h"

typedef struct DpNodeSettings
{
  DpProcessSettings process;
  char *caller_listen; /* "IP:PORT" */
  char *ready_listen;
  char *store;
  char *seeds;           /* "IP:PORT,...": VMs to ask while the store is away */
  char *processor_share; /* of a core */
  char *descriptors_max;
  char *target_heartbeat_ms;
  char *stop_time_s;
  char *retry_ratio;
  char *retry_slack;
  char *retry_window_s;
  char *quota_window_s;
  char *quota_slack;
  char *memory_mb;
  char *first_start; /* "true": the whole system starts for the first time */
} DpNodeSettings;

/* The texts of the settings, read. */
typedef struct DpNodeFigures
{
  char caller_address[46];
  guint16 caller_port;
  char ready_address[46];
  guint16 ready_port;
  char store_address[46];
  guint16 store_port;
  guint weight; /* thousandths of a core */
  guint connections_max;
  DpUsec target_heartbeat;
  DpUsec stop_time; /* from SIGTERM to SIGKILL */
  double retry_ratio;
  double retry_slack;
  DpUsec retry_window;
  DpUsec quota_window;
  double quota_slack;
  gsize memory_max; /* bytes; 0: no limit is known */
} DpNodeFigures;

/* FALSE: there are findings. */
gboolean dp_node_read_figures (const DpNodeSettings *settings,
                               DpNodeFigures *figures,
                               DpFindings *findings);

extern const DpSetting dp_node_settings[];
extern const guint dp_node_setting_count;

typedef struct DpNode DpNode;
typedef struct DpNodeRequest DpNodeRequest;
typedef struct DpFollow DpFollow;
typedef struct DpEnlist DpEnlist;

/* One pool as this VM uses it. */
typedef struct DpNodePool
{
  DpName name;
  char *text;
  gboolean is_shared; /* one owner places for all VMs; else each VM for itself */
  DpDispatcher *dispatcher;
  DpName owner; /* that was asked last; 0: none */
  DpUsec reported_at;
  DpRetryBudget budget;
  DpShed shed;
} DpNodePool;

struct DpNode
{
  const DpNodeSettings *settings;
  DpNodeFigures figures;
  DpProcess *process;
  struct event_base *base;
  DpCounters *counters;
  DpName self;
  guint64 random;
  /* from the platform */
  DpPlatformClient *store;
  DpFollow *follow;
  DpEnlist *enlist;
  DpPrune *prune;
  DpManifest *manifest;  /* NULL until one is known */
  GBytes *manifest_text; /* as it lies in the store */
  DpUsec manifest_proof; /* when the store last confirmed it as the newest */
  DpDirectory *directory;
  guint64 directory_applied; /* version that the dispatchers have */
  DpView *view;
  DpUsec view_proof;
  /* other VMs */
  DpOwners *owners;
  guint64 probe_sequence;
  DpQuotaClient *quota_user;
  DpQuotaServer *quota_keeper;
  DpQuarantineTable *poison;
  /* requests */
  DpHttpServer *callers;
  DpHttpServer *ready;
  GHashTable *pools;      /* DpName -> DpNodePool */
  DpTable *requests;      /* DpNodeRequest */
  guint limited;          /* of them, at DP_STAGE_LIMITED */
  GHashTable *by_attempt; /* DpId -> DpHandle: requests that wait for a place */
  guint64 next_attempt;
  /* time */
  struct event *tick;
  DpUsec ticked_at;
  DpUsec peers_ticked_at;
  DpUsec pruned_at;
  DpUsec started_at;
  DpUsec asked_state_at; /* another VM, for what the store can't tell */
  DpUsec asked_manifest_at;
  DpUsec relay_heard_at;
  DpUsec relayed_at;
  DpRelay relayed; /* what the others of the data centre were told last */
  DpUsec memory_checked_at;
  gboolean is_memory_short; /* no new requests are taken */
  gboolean is_stopping;
  DpUsec stop_at;
  gboolean turned_away; /* no new callers any more */
};

/* Stages of a request. */
typedef enum DpNodeStage
{
  DP_STAGE_LIMITED, /* waits for the keeper of its workspace's limit */
  DP_STAGE_PLACING, /* asked for a target */
  DP_STAGE_SENT,
} DpNodeStage;

struct DpNodeRequest
{
  DpHandle self;
  DpNode *node;
  /* constant */
  DpHttpExchange *exchange; /* NULL: the caller has left */
  DpManifest *manifest;     /* of its admission; a reference */
  const DpRoute *route;
  const DpWorkspace *workspace; /* of that manifest; NULL: a public route */
  char *id;
  DpNodePool *pool;
  DpCallerRequest said; /* texts valid as long as the exchange */
  guint urgency;
  gboolean is_repeatable;
  guint64 fingerprint; /* 0: not computed yet */
  DpQuotaCharge quota; /* what it asks of the workspace's limit */
  DpUsec arrived;
  DpUsec objective_at;
  DpUsec deadline;
  /* placing */
  DpNodeStage stage;
  DpId attempt;
  DpName owner;
  DpUsec asked_at;
  guint excluded_count;
  DpName excluded[DP_EXCLUDED_MAX];
  /* sendings */
  guint sendings;
  guint runs;
  gboolean may_have_run;
  DpName target;
  char target_text[DP_TARGET_TEXT_BYTES];
  DpUsec sent_at;
  DpUsec event_at;       /* last whole event of this sending; 0: none yet */
  DpUsec first_after;    /* of this sending's first event or byte; 0: none yet */
  DpHttpCall *call;      /* NULL: none is open */
  DpTargetAnswer answer; /* of this sending */
  GArray *headers;       /* of this sending's answer: DpHttpHeader; NULL: no head yet */
  DpSse *sse;
  GByteArray *body; /* an answer that is not streamed */
  /* answer */
  gboolean head_given; /* the caller has the head of a stream */
  char *last_event;    /* id of the last event that the caller has */
};

/* Microseconds of the steady clock. */
static inline DpUsec
dp_node_now (void)
{
  return dp_process_now ();
}

/* --- follow.c --- */

DpFollow *dp_follow_new (DpNode *node);
void dp_follow_free (DpFollow *follow);
void dp_follow_start (DpFollow *follow);
void dp_follow_tick (DpFollow *follow, DpUsec now);

/* What another VM knows; each is ignored if this VM knows better. */
void dp_follow_take_config_text (DpFollow *follow, GBytes *text);
void dp_follow_take_targets (DpFollow *follow, const DpTargetRows *targets);
void dp_follow_take_vms (DpFollow *follow, const GArray *vms, guint64 revision);
/* Another VM has just heard from the store that nothing is newer. */
void dp_follow_take_proof (DpFollow *follow, const DpRelay *relay);
/* Store revisions that targets and VMs are as of, and the age of the oldest proof. */
DpRelay dp_follow_state (const DpFollow *follow);
/* TRUE if the store's last answer, for some kind of objects, was a failure. */
gboolean dp_follow_is_failing (const DpFollow *follow);

/* --- enlist.c --- */

DpEnlist *dp_enlist_new (DpNode *node);
void dp_enlist_free (DpEnlist *enlist);
void dp_enlist_start (DpEnlist *enlist);
/* The store does not list this VM; it is written again after a while. */
void dp_enlist_missing (DpEnlist *enlist);
/* Takes this VM out of the list. */
void dp_enlist_leave (DpEnlist *enlist);
/* Removes the entry of a VM that is gone. */
void dp_enlist_remove (DpEnlist *enlist, DpName vm);
/* What is written. */
DpVm dp_enlist_row (const DpNode *node);

/* --- share.c --- */

void dp_peer_sync_tick (DpNode *node, DpUsec now);
/* TRUE if the message was one of these. */
gboolean dp_peer_sync_on_message (DpNode *node, DpName from, const DpMessage *message);
/* A VM has this config in force. */
void dp_peer_sync_on_revision (DpNode *node, DpName vm, guint64 revision);
/* VMs by the addresses of the settings, under names of their own: GArray of DpVm. */
GArray *dp_peer_sync_seeds (const DpNode *node);

/* --- peers.c --- */

void dp_peers_set_view (DpNode *node, DpView *view);
void dp_peers_message (DpNode *node, DpPeer from, const DpMessage *message);
void dp_peers_tick (DpNode *node, DpUsec now);
/* Tells the VMs that may ask this one that it leaves. */
void dp_peers_say_leaving (DpNode *node);
void dp_peers_send (DpNode *node, DpName vm, const DpMessage *message);
guint dp_peers_count (const DpNode *node);

/* --- limits.c --- */

/* Limit of the workspace; `per_second` is 0 if it has none, or if there is no workspace. */
DpQuotaLimit dp_limits_for_workspace (const DpNode *node, const DpWorkspace *workspace);
/* A request of the workspace has come: asks for credit if that can't wait. */
void dp_limits_ask (DpNode *node, DpName workspace, DpUsec now);
void dp_limits_tick (DpNode *node, DpUsec now);
/* TRUE if the message was one of these. */
gboolean dp_limits_on_message (DpNode *node, DpName from, const DpMessage *message);

/* --- placing.c --- */

void dp_placement_set_manifest (DpNode *node);
/* Other VMs came or went: they share the budgets of repeats. */
void dp_placement_set_vms (DpNode *node);
void dp_placement_set_targets (DpNode *node);
/* Asks for a target; the request is sent once there is one. */
void dp_placement_request (DpNodeRequest *request);
/* The ask, or the grant, is over. */
void dp_placement_release (DpNodeRequest *request, DpReason reason);
void dp_placement_report_started (DpNodeRequest *request);
/* The target has said that it leaves. */
void dp_placement_target_leaving (DpNode *node, DpName target);
void dp_placement_on_message (DpNode *node, DpName from, const DpMessage *message);
void dp_placement_tick (DpNode *node, DpUsec now, gboolean was_paused);
void dp_placement_pool_free (gpointer data);

/* --- poison.c --- */

DpQuarantineTable *dp_node_quarantine_new (void);
/* TRUE if the request must not be sent now; `remaining` gets for how long. */
gboolean dp_node_quarantine_blocks (DpNodeRequest *request, DpUsec *remaining);
/* The request's target broke off. */
void dp_node_quarantine_record_failure (DpNodeRequest *request);
/* The request has been answered whole. */
void dp_node_quarantine_record_response (DpNodeRequest *request);
/* TRUE if the message was one of these. */
gboolean dp_node_quarantine_on_message (DpNode *node, const DpMessage *message);

/* --- memory.c --- */

void dp_memory_tick (DpNode *node, DpUsec now);

/* --- front.c --- */

gboolean dp_front_start (DpNode *node, DpFindings *findings);
void dp_front_set_limits (DpNode *node);
void dp_front_stop (DpNode *node);
/* TRUE if nothing keeps the process any more. */
gboolean dp_front_may_exit (DpNode *node, DpUsec now);

/* --- request.c --- */

/* Takes over an admitted request and asks for a target. */
void dp_request_begin (DpNodeRequest *request);
void dp_request_on_grant (DpNodeRequest *request, DpName target);
/* The dispatcher refused it. */
void dp_request_on_refused (DpNodeRequest *request, DpReason reason, DpUsec retry_after);
/* The dispatcher took it back from its target. */
void dp_request_on_revoked (DpNodeRequest *request, DpReason reason);
/* This sending is over without an answer for the caller. */
void dp_request_on_attempt_failed (DpNodeRequest *request, DpAttemptEnd end, DpReason reason);
/* The whole answer has been given; `reason` tells what it says of the target. */
void dp_request_complete (DpNodeRequest *request, DpReason reason);
/* Requests that wait for a limit's keeper are looked at again. */
void dp_request_recheck_limited (DpNode *node);
void dp_request_tick (DpNode *node, DpUsec now, gboolean was_paused);
void dp_request_clear (void *row);
/* Answers and ends an exchange that is no request (yet). */
void dp_request_refuse_exchange (DpNode *node,
                                 DpHttpExchange *exchange,
                                 const char *id,
                                 const char *workspace,
                                 DpReason reason,
                                 DpUsec retry_after);

/* --- attempt.c --- */

void dp_attempt_start (DpNodeRequest *request, const DpDirectoryRow *target);
/* TRUE if a stream that may go on elsewhere has paused for too long. */
gboolean dp_attempt_is_stalled (const DpNodeRequest *request, DpUsec now);
/* Closes the connection to the target, which ends its work. */
void dp_attempt_cancel (DpNodeRequest *request);
/* Gives the caller the failure that the target has answered. */
void dp_attempt_forward_response (DpNodeRequest *request);
