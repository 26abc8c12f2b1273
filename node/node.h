/* dogwoodplank-node: entry, scheduler and agent of one VM in one process.
 *
 * All source files share the state in DpNode; each defines the functions listed under its name
 * below. Everything runs on one event loop in one thread.
 *
 *   settings.c         process settings
 *   store_watch.c      reads config, targets and VMs from the platform's store
 *   stored_list.c      reads what this system keeps in the store, at startup
 *   config.c           reads new versions of the config and puts them in force
 *   registration.c     this VM's entry in the store
 *   peer_sync.c        exchanges store data with other VMs
 *   peers.c            other VMs: probes, messages, removal of dead ones
 *   builds.c           which rules the builds of the other VMs keep
 *   limits.c           rate limits of workspaces
 *   placement.c        choice of a request's target: owners, grants, dispatchers
 *   plain_pools.c      plain services near capacity: when their owner dispatches for all VMs
 *   target_limits.c    limits that targets state in their responses
 *   target_capacity.c  logs and metrics of what the owner learns of targets
 *   quarantine.c       requests and parts of prompts that crash targets
 *   stream_versions.c  software versions of targets, which may have begun streams
 *   take_ups.c         streams that callers take up: which version began each
 *   stream_copies.c    copies of these versions at other VMs and in the store
 *   rollouts.c         orders to roll out versions: their states in the store and at other VMs
 *   memory.c           memory use against the process's limit
 *   caller_listener.c  HTTP listeners: admission, readiness, shutdown
 *   request.c          a request from admission to its final answer
 *   attempt.c          one attempt to send a request to a target
 *   paths.c            how attempts reach their target: directly or through another VM
 *   tunnels.c          gateway for other VMs that can't reach a target
 */
#pragma once

#include "core/answer_times.h"
#include "core/byte_budget.h"
#include "core/directory.h"
#include "core/dispatcher/dispatcher.h"
#include "core/limit_client.h"
#include "core/owners.h"
#include "core/prune.h"
#include "core/quota.h"
#include "core/reach.h"
#include "core/retry.h"
#include "core/row_sync/relay_term.h"
#include "core/row_sync/row_sync.h"
#include "core/shared_mode/shared_mode.h"
#include "core/shed.h"
#include "core/stream_copies/stream_copies.h"
#include "core/suspects/suspects.h"
#include "core/versions/versions.h"
#include "net/http_call.h"
#include "net/http_server.h"
#include "net/process.h"
#include "net/sse.h"
#include "platform/client.h"
#include "platform/records.h"
#include "platform/wire.h"

typedef struct DpNodeSettings
{
  DpProcessSettings process;
  char *caller_listen; /* "IP:PORT" */
  char *ready_listen;
  char *store;
  char *seeds;           /* "IP:PORT,...": VMs to query while the store is unreachable */
  char *processor_share; /* fraction of a core */
  char *descriptors_max;
  char *target_heartbeat_ms;
  char *stop_time_s;
  char *retry_ratio;
  char *retry_slack;
  char *retry_window_s;
  char *quota_window_s;
  char *quota_slack;
  char *memory_mb;
  char *link_mbps;    /* megabits a second of this VM's link */
  char *expose_share; /* NULL or empty: no staged roll-outs */
  char *expose_slack;
  char *rollback_ms;
  char *target_capacity; /* "learned" or "slots" */
  char *shared_mode;     /* "off": plain services are never shared for lack of capacity */
  guint16 tunnel_port;   /* 0: agent_bus_port + 1 */
  char *first_start;     /* "true": first start of the whole system, no quota was used before */
} DpNodeSettings;

/* Parsed values of DpNodeSettings. */
typedef struct DpNodeParams
{
  char caller_address[46];
  guint16 caller_port;
  char ready_address[46];
  guint16 ready_port;
  char store_address[46];
  guint16 store_port;
  guint weight;        /* thousandths of a core */
  guint16 tunnel_port; /* the same on all VMs */
  /* All descriptors of the process at these maxima don't exceed descriptors_max. */
  guint connections_max; /* of callers */
  guint tunnels_max;
  DpUsec target_heartbeat;
  DpUsec stop_time; /* from SIGTERM until the platform sends SIGKILL */
  double retry_ratio;
  double retry_slack;
  DpUsec retry_window;
  DpUsec quota_window;
  double quota_slack;
  gsize memory_max; /* bytes; 0: no limit known */
  double link_rate; /* bytes a second; 0: not known */
  gboolean has_rollouts;
  DpRolloutOptions rollout; /* if so */
  DpCapacityMode target_capacity;
  gboolean has_shared_mode;
} DpNodeParams;

/* Returns FALSE and adds to `diagnostics` if a value is invalid. */
gboolean dp_node_parse_settings (const DpNodeSettings *settings,
                                 DpNodeParams *params,
                                 DpDiagnostics *diagnostics);

extern const DpSetting dp_node_settings[];
extern const guint dp_node_setting_count;

typedef struct DpNode DpNode;
typedef struct DpNodeRequest DpNodeRequest;
typedef struct DpStoreWatch DpStoreWatch;
typedef struct DpRegistration DpRegistration;
typedef struct DpStreamVersions DpStreamVersions;
typedef struct DpNodeCopies DpNodeCopies;
typedef struct DpStoredList DpStoredList;
typedef struct DpRollouts DpRollouts;
typedef struct DpTunnels DpTunnels;
typedef struct DpNodeConfig DpNodeConfig;
typedef struct DpPeerSync DpPeerSync;

/* State of a pool on this VM. */
/* What was last logged of the pool's learned limits. */
typedef struct DpCapacityReport
{
  DpUsec checked_at;
  DpUsec logged_at;
  DpUsec ignored_logged_at;
  guint changes;
  guint ignored;
  guint lowered;
} DpCapacityReport;

typedef struct DpNodePool
{
  DpName name;
  char *text; /* the name as written in the config */
  DpPoolKind kind;
  /* One VM owns dispatch for all, see needs_owner() in placement.c. Otherwise each VM
   * dispatches its own requests. */
  gboolean is_shared;
  gboolean is_short;     /* a plain pool is short of capacity */
  gboolean has_limits;   /* a target has a limit or is brittle */
  gboolean is_brittle;   /* a target is */
  gboolean is_unkept;    /* it was logged that older VMs may break the rule */
  DpName unused_version; /* it was logged that its targets get no requests; 0: none */
  DpDispatcher *dispatcher;
  DpSharedMode *mode; /* NULL: the pool never becomes short */
  DpName owner;       /* last chosen owner; 0: none yet */
  DpUsec reported_at; /* last report of held grants to the owner */
  DpRetryBudget budget;
  DpShed shed;
  DpCapacityReport capacity_report;
} DpNodePool;

/* Levels of the rules that the builds of all VMs keep. */
typedef struct DpBuilds
{
  guint64 lowest;
  guint64 highest;
  guint older; /* VMs of a lower level than the highest */
} DpBuilds;

struct DpNode
{
  const DpNodeSettings *settings;
  DpNodeParams params;
  DpProcess *process;
  struct event_base *base;
  DpCounters *counters;
  DpName self;
  guint64 random;
  /* from the platform */
  DpPlatformClient *store;
  DpStoreWatch *store_watch;
  DpRegistration *registration;
  DpStreamVersions *stream_versions;
  DpNodeCopies *copies;
  DpRollouts *rollouts; /* NULL: no staged roll-outs */
  DpPrune *prune;
  DpManifest *manifest;         /* config in force; NULL until one is known */
  DpNodeConfig *config;         /* its rows, and a version that is being read */
  DpUsec manifest_confirmed_at; /* last time the store confirmed the config as current */
  DpDirectory *directory;
  guint64 directory_applied; /* directory version last passed to the dispatchers */
  DpView *view;
  DpUsec view_confirmed_at; /* last time the store confirmed the list of VMs as current */
  /* other VMs */
  DpPeerSync *peer_sync;
  DpOwners *owners;
  guint64 probe_sequence;
  DpUsec builds_checked_at;
  DpBuilds builds; /* as last logged */
  DpQuotaClient *quota_client;
  DpQuotaServer *quota_server;
  DpSuspectTable *suspects;
  DpStoredList *stored_blocks;
  GHashTable *block_writes; /* those in progress, see quarantine.c */
  DpUsec quarantine_announced_at;
  DpLimitClient *limit_client;
  DpReach *reach;
  gboolean was_cut_off; /* as last reported to the owners */
  /* requests */
  DpHttpServer *callers;
  DpHttpServer *ready;
  DpTunnels *tunnels;
  GHashTable *pools;               /* DpName -> DpNodePool */
  DpTable *requests;               /* DpNodeRequest */
  guint awaiting_quota;            /* number of requests at DP_STAGE_AWAITING_QUOTA */
  guint awaiting_version;          /* number of requests at DP_STAGE_AWAITING_VERSION */
  GHashTable *requests_by_attempt; /* DpId -> DpHandle: requests with an open attempt */
  guint64 next_attempt;
  /* time */
  struct event *tick;
  DpUsec ticked_at;
  DpUsec peers_ticked_at;
  DpUsec pruned_at;
  DpUsec started_at;
  DpUsec rollouts_received_at; /* from a VM that watches the orders for others */
  DpUsec memory_checked_at;
  gboolean is_memory_short;      /* new requests are refused */
  DpByteBudget *response_budget; /* of responses that targets are sending */
  DpHttpBudgets client_budgets;  /* of what clients make this process hold */
  DpAnswerTimes *answer_times;
  gboolean is_stopping;
  DpUsec stop_requested_at;
  gboolean was_paused;         /* before the last tick, while stopping */
  DpUsec resumed_at;           /* after the last pause while stopping */
  gboolean is_ending;          /* its last requests were ended */
  gboolean is_listener_closed; /* no new connections or idle callers while stopping */
};

/* What a request waits for that takes up a stream whose version this VM doesn't know. */
typedef enum DpVersionStep
{
  DP_VERSION_STEP_NONE,
  DP_VERSION_STEP_WITNESSES, /* asks the VMs that were told when the stream began */
  DP_VERSION_STEP_COPIES,    /* asks the VMs that have copies */
  DP_VERSION_STEP_CHECK,  /* asks the store whether a single version can have begun streams */
  DP_VERSION_STEP_STORED, /* reads the copies in the store */
} DpVersionStep;

/* Stages of a request. */
typedef enum DpNodeStage
{
  DP_STAGE_AWAITING_QUOTA,   /* waits for the quota server of its workspace */
  DP_STAGE_AWAITING_VERSION, /* waits for other VMs to tell which version began the stream */
  DP_STAGE_AWAITING_GRANT,   /* waits for a target from the pool's owner */
  DP_STAGE_SENT,
} DpNodeStage;

/* A request whose target is silent asks for another one, and stays there until it gets it. */
typedef struct DpTargetSearch
{
  DpId attempt; /* none: no search is in progress */
  DpName owner;
  DpUsec requested_at;
  DpUsec again_at; /* the next search may begin */
} DpTargetSearch;

struct DpNodeRequest
{
  DpHandle self;
  DpNode *node;
  /* set on admission */
  DpHttpExchange *exchange; /* NULL: the caller has disconnected */
  DpManifest *manifest;     /* config at admission; holds a reference */
  const DpRoute *route;
  const DpWorkspace *workspace; /* owned by `manifest`; NULL: a public route */
  char *id;
  DpNodePool *pool;
  DpCallerRequest caller; /* parsed headers; strings are valid as long as the exchange */
  guint urgency;
  gboolean is_repeatable;
  GArray *suspect_keys; /* set, see core/key_set.h */
  DpQuotaCharge quota;  /* cost against the workspace's limit */
  DpUsec arrived;
  DpUsec objective_at; /* when the first byte should be out */
  DpUsec deadline;
  DpVersionBinding binding; /* of the stream, to the software version that began it */
  DpVersionStep version_step;
  guint version_steps_begun; /* those that can't help included */
  DpUsec version_step_at;
  gboolean has_asked_copies;
  guint vms_asked; /* for the version */
  guint vms_answered;
  DpVersionAnswers version_answers; /* of the witnesses */
  /* placement */
  DpNodeStage stage;
  DpId attempt;
  DpName owner;
  DpUsec grant_requested_at;
  DpTargetSearch search;
  guint excluded_count;
  DpName excluded[DP_EXCLUDED_MAX]; /* targets that failed or could not be used */
  guint barred_grants;              /* for targets whose version must not be used */
  guint limit_told_count;
  DpName limit_told[DP_EXCLUDED_MAX]; /* targets whose limit an owner was told of */
  /* current attempt, and counts over all attempts */
  guint attempt_count;
  gboolean was_rejected; /* by a target of a plain pool */
  guint runs;            /* attempts in which the target may have run the request */
  gboolean may_have_run;
  DpName target;
  DpName target_version; /* hash of its software version; 0: not stated */
  char target_text[DP_TARGET_TEXT_BYTES];
  char target_address[46];
  guint16 target_port;
  DpPathSearch paths; /* to the target */
  DpUsec sent_at;
  DpUsec last_event_at;    /* last complete event of this attempt; 0: none yet */
  gboolean is_silent;      /* its target stopped sending and no other one may go on */
  DpUsec first_byte_after; /* time from sending to the first event or byte; 0: none yet */
  DpHttpCall *call;        /* NULL: none open */
  DpTargetResponse answer; /* of this attempt */
  GArray *headers;         /* DpHttpHeader; NULL: no response head yet */
  DpSse *sse;
  GByteArray *body; /* of an answer that is not streamed */
  /* answer */
  gboolean head_sent;  /* the head of a stream was sent to the caller */
  char *last_event_id; /* id of the last event written to the caller */
  guint event_count;   /* events written to the caller */
  gboolean has_gaps;   /* the ids of these events are not consecutive */
};

/* TRUE if the request asks for another target while it stays at its silent one. */
static inline gboolean
dp_request_is_searching (const DpNodeRequest *request)
{
  return !dp_id_is_none (request->search.attempt);
}

/* See common/clock.h. */
static inline DpUsec
dp_node_now (void)
{
  return dp_process_now ();
}

/* --- store_watch.c --- */

DpStoreWatch *dp_store_watch_new (DpNode *node);
void dp_store_watch_free (DpStoreWatch *watch);
void dp_store_watch_start (DpStoreWatch *watch);
void dp_store_watch_tick (DpStoreWatch *watch, DpUsec now);

/* Apply data received from another VM; ignored if this VM's own is newer. */
void dp_store_watch_apply_targets (DpStoreWatch *watch, const DpTargetRows *targets);
/* `version` NULL, or not newer: adds missing VMs only, removes none. */
void dp_store_watch_apply_vms (DpStoreWatch *watch,
                               const GArray *vms,
                               const DpStoreVersion *version);
/* This VM's targets or VMs are also those of a newer version. */
void dp_store_watch_confirm (DpStoreWatch *watch, DpRowKind kind, DpStoreVersion version);
/* Another VM reports what the store's current versions are: confirms this VM's data if its
 * versions are at least as new. */
void dp_store_watch_apply_relay (DpStoreWatch *watch, const DpRelay *relay);
/* Versions of this VM's data, and the age of the oldest confirmation by the store. */
DpRelay dp_store_watch_state (const DpStoreWatch *watch);
/* Logs what can't be read in an entry of the store, once for each of its revisions. */
void dp_store_watch_log_diagnostics (DpStoreWatch *watch,
                                     const char *kind,
                                     guint64 revision,
                                     const DpDiagnostics *diagnostics);
/* TRUE if the targets were listed completely, so that their version is that of a whole list. */
gboolean dp_store_watch_has_listed_targets (const DpStoreWatch *watch);
/* TRUE if the last call to the store failed for config, targets or VMs. */
gboolean dp_store_watch_is_failing (const DpStoreWatch *watch);
/* Version of the store that covers all targets read so far. */
DpStoreVersion dp_store_watch_targets_seen (const DpStoreWatch *watch);
/* TRUE if this VM watches the orders of roll-outs itself, and the last call succeeded. */
gboolean dp_store_watch_has_rollouts (const DpStoreWatch *watch);
/* Asks the store for changes of the orders at once, if this VM watches them itself. */
void dp_store_watch_check_rollouts (DpStoreWatch *watch);

/* --- stored_list.c --- */

typedef void (*DpStoredListFunc) (DpNode *node,
                                  const DpStoreObject *object,
                                  DpDiagnostics *diagnostics);
/* `function` gets each object of the kind; `kind` must outlive the list. */
DpStoredList *dp_stored_list_new (DpNode *node, const char *kind, DpStoredListFunc function);
void dp_stored_list_free (DpStoredList *list);
void dp_stored_list_start (DpStoredList *list);
/* Era of the store in which the object was read; during `function`. */
guint64 dp_stored_list_era (const DpStoredList *list);
/* TRUE if all objects were read since the last start. */
gboolean dp_stored_list_is_read (const DpStoredList *list);
/* TRUE if the last call has failed. */
gboolean dp_stored_list_is_failing (const DpStoredList *list);
/* Time at which the last complete reading began; 0: none yet. */
DpUsec dp_stored_list_read_from (const DpStoredList *list);

/* --- registration.c --- */

DpRegistration *dp_registration_new (DpNode *node);
void dp_registration_free (DpRegistration *registration);
void dp_registration_start (DpRegistration *registration);
/* The store does not list this VM: writes the entry again after a delay. */
void dp_registration_on_missing (DpRegistration *registration);
/* The store has this entry for this VM; NULL: one that is malformed. */
void dp_registration_on_read (DpRegistration *registration, const DpVm *entry);
/* The store was restored from a copy that may lack this VM's entry: writes it again. */
void dp_registration_on_restored (DpRegistration *registration);
/* Deletes this VM's entry; it is not written again. Other VMs then send nothing more to this
 * one. */
void dp_registration_delete_own (DpRegistration *registration);
/* TRUE once the store has answered the deletion, or has not answered in time. */
gboolean dp_registration_is_deleted (const DpRegistration *registration);
/* Deletes the entry of a VM that no longer exists. */
void dp_registration_delete_vm (DpRegistration *registration, DpName vm);
/* This VM's entry. */
DpVm dp_registration_own_vm (const DpNode *node);

/* --- config.c --- */

DpNodeConfig *dp_node_config_new (DpNode *node);
void dp_node_config_free (DpNodeConfig *config);
/* Begins to read the rows if their version is newer than those in force and being read. */
gboolean dp_node_config_put_rows (DpNode *node, DpRowList *rows, const char *source);
/* The same for the config's text; `revision` of its object in the store, or 0. `source` must be
 * a string constant. */
void dp_node_config_put_text (DpNode *node,
                              const DpJsonSpan *text,
                              guint64 revision,
                              const char *source);
/* TRUE while a newer version is not in force yet. */
gboolean dp_node_config_is_reading (const DpNode *node);
/* Returns the text of the config in force, or NULL. */
GBytes *dp_node_config_text (const DpNode *node);

/* --- peer_sync.c --- */

DpPeerSync *dp_peer_sync_new (DpNode *node);
void dp_peer_sync_free (DpPeerSync *sync);
/* Sets this VM's state, from the store or in force. Takes a reference to the list. */
void dp_peer_sync_set (DpNode *node, DpRowKind kind, DpStoreVersion version, DpRowList *list);
/* TRUE if this VM watches the store for others. */
gboolean dp_peer_sync_is_relay (const DpNode *node);
/* Whether other VMs keep this VM's state of the kind up to date, or the store has to be read.
 */
DpRowStanding dp_peer_sync_standing (const DpNode *node, DpRowKind kind);
/* Last time a relay stated what this VM has; 0: never. */
DpUsec dp_peer_sync_confirmed_at (const DpNode *node, DpRowKind kind);
/* Must be called every DP_ROW_SYNC_INTERVAL. `was_paused`: other VMs may have answered. */
void dp_peer_sync_tick_rows (DpNode *node, DpUsec now, gboolean was_paused);
void dp_peer_sync_tick (DpNode *node, DpUsec now);
/* Returns FALSE if the message is of another type. */
gboolean dp_peer_sync_on_message (DpNode *node, DpName from, const DpMessage *message);
/* Another VM reported the revision of its config: requests the config if it is newer. */
void dp_peer_sync_on_revision (DpNode *node, DpName vm, guint64 revision);
/* VMs at the `seeds` addresses, named after their address: GArray of DpVm, owned by the
 * caller. */
GArray *dp_peer_sync_seeds (const DpNode *node);

/* --- peers.c --- */

void dp_peers_set_view (DpNode *node, DpView *view);
void dp_peers_on_message (DpNode *node, DpPeer from, const DpMessage *message);
void dp_peers_tick (DpNode *node, DpUsec now);
/* Notifies all other VMs that this one is stopping. */
void dp_peers_announce_leaving (DpNode *node);
void dp_peers_send (DpNode *node, DpName vm, const DpMessage *message);
/* Sends it to all other VMs. */
void dp_peers_send_to_all (DpNode *node, const DpMessage *message);
/* VMs that keep something for all others. */
#define DP_RANKED_VMS 3
/* Returns the first VMs in rendezvous order for the key, whether they respond or not, so that
 * all VMs with the same list agree. Returns their number. */
guint dp_peers_rank (const DpNode *node, guint64 key, DpName out[DP_RANKED_VMS]);
/* Number of VMs, this one included; at least 1. */
guint dp_peers_vm_count (const DpNode *node);

/* --- builds.c --- */

/* The VM stated the level of the rules that its build keeps. */
void dp_builds_record (DpNode *node, DpName vm, guint64 rules);
void dp_builds_tick (DpNode *node, DpUsec now);
void dp_builds_add_status (const DpNode *node, struct json_object *status);

/* --- limits.c --- */

/* Limit of the workspace; `per_second` is 0 if it has none or `workspace` is NULL. */
DpQuotaLimit dp_limits_for_workspace (const DpNode *node, const DpWorkspace *workspace);
/* A request of the workspace has arrived: requests credit at once if that is due. */
void dp_limits_ask (DpNode *node, DpName workspace, DpUsec now);
void dp_limits_tick (DpNode *node, DpUsec now);
/* Returns FALSE if the message is of another type. */
gboolean dp_limits_on_message (DpNode *node, DpName from, const DpMessage *message);

/* --- placement.c --- */

void dp_placement_set_manifest (DpNode *node);
/* The number of VMs changed: adjusts retry budgets, which all VMs share. */
void dp_placement_set_vms (DpNode *node);
void dp_placement_set_targets (DpNode *node);
/* Requests a target from the pool's owner; the request is sent when the grant arrives. */
void dp_placement_request (DpNodeRequest *request);
/* Reports the end of the attempt to the owner, whether it was granted or still waiting. */
void dp_placement_release (DpNodeRequest *request, DpReason reason);
/* Requests another target for a request that stays at its silent one. */
void dp_placement_search (DpNodeRequest *request);
/* Ends the search, if there is one. */
void dp_placement_cancel_search (DpNodeRequest *request);
/* The request, which has left its target, uses the grant of its search. */
void dp_placement_use_search (DpNodeRequest *request);
/* Reports the first output of the target to the owner. */
void dp_placement_report_started (DpNodeRequest *request);
/* The target announced in an answer that it is stopping. */
void dp_placement_target_leaving (DpNode *node, DpName target);
/* The pool has become short of capacity, or no longer is. */
void dp_placement_set_short (DpNode *node, DpNodePool *pool, gboolean is_short);
/* Sends a message about the pool to the VM that owns it, even if it is not shared yet. */
void dp_placement_send_to_owner (DpNode *node, DpName pool, const DpMessage *message);
/* Sends the owner all requests that this VM has sent to the pool's targets, whoever assigned
 * them. */
void dp_placement_report_sent (DpNode *node, DpName pool, DpName owner);
/* The request is sent to its target. */
void dp_placement_on_send (const DpNodeRequest *request);
void dp_placement_on_message (DpNode *node, DpName from, const DpMessage *message);
/* Reports to all owners at once. */
void dp_placement_report (DpNode *node);
void dp_placement_tick (DpNode *node, DpUsec now, gboolean was_paused);
void dp_placement_pool_free (gpointer data);

/* --- plain_pools.c --- */

/* Returns the state of a plain pool's shared mode; NULL if it is off. */
DpSharedMode *dp_plain_pools_new_mode (const DpNode *node, DpPoolKind kind);
/* The attempt has ended: the target may have rejected it or reset its connection. */
void dp_plain_pools_on_attempt_end (DpNodeRequest *request, DpReason reason);
/* Another VM has asked this one for a target of the pool. */
void dp_plain_pools_on_ask (DpNode *node, DpNodePool *pool, const DpGrantAsk *ask);
/* The first message for a while from the VM, which may have started or been cut off: repeats
 * this VM's announcements to it. */
void dp_plain_pools_on_contact (DpNode *node, DpName vm);
/* A report for the pool's owner, or an announcement from it. */
void dp_plain_pools_on_message (DpNode *node, DpName from, const DpPoolShared *message);
void dp_plain_pools_tick (DpNode *node, DpUsec now, gboolean was_paused);

/* --- target_limits.c --- */

/* The head of a response was received. */
void dp_target_limits_on_response (const DpNodeRequest *request);
/* TRUE if the owner may assign the request to the target. If the owner does not know of the
 * target's limit, or that it is brittle, tells it. */
gboolean dp_target_limits_accepts_grant (const DpNodeRequest *request,
                                         DpName owner,
                                         const DpDirectoryRow *row,
                                         const DpGrantGiven *given);
/* The request is sent to the target. */
void dp_target_limits_on_send (const DpNodeRequest *request, const DpDirectoryRow *row);
/* A report for the pool's owner, or an announcement from it. */
void dp_target_limits_on_message (DpNode *node, DpName from, const DpTargetLimits *limits);

/* --- target_capacity.c --- */

void dp_target_capacity_tick (DpNode *node, DpNodePool *pool, DpUsec now);

/* --- quarantine.c --- */

void dp_node_quarantine_init (DpNode *node);
void dp_node_quarantine_clear (DpNode *node);
/* Sets what the request is known by; needs its exchange. */
void dp_node_quarantine_set_keys (DpNodeRequest *request);
/* TRUE if the request must not be sent now; `remaining` is set to the time left. */
gboolean dp_node_quarantine_blocks (DpNodeRequest *request, DpUsec *remaining);
/* The request's target broke off the connection: counts a failure. */
void dp_node_quarantine_record_failure (DpNodeRequest *request);
/* The request was answered completely: resets its failures. */
void dp_node_quarantine_record_response (DpNodeRequest *request);
/* Returns FALSE if the message is of another type. */
gboolean dp_node_quarantine_on_message (DpNode *node, DpName from, const DpMessage *message);
void dp_node_quarantine_tick (DpNode *node, DpUsec now);
/* Reads the blocks in the store. */
void dp_node_quarantine_start (DpNode *node);
/* The store was restored from a copy: writes the blocks again. */
void dp_node_quarantine_on_restored (DpNode *node);

/* --- stream_versions.c --- */

DpStreamVersions *dp_stream_versions_new (DpNode *node);
void dp_stream_versions_free (DpStreamVersions *versions);
DpVersions *dp_stream_versions_table (const DpNode *node);
void dp_stream_versions_tick (DpNode *node, DpUsec now);
void dp_stream_versions_set_manifest (DpNode *node);
/* The directory has changed. */
void dp_stream_versions_observe (DpNode *node);
/* The store was restored from a copy: lists of before are no longer complete. */
void dp_stream_versions_on_restored (DpNode *node);
/* The version if this VM knows of a single one that can have begun a stream of the pool, else
 * 0. */
DpName dp_stream_versions_single (const DpNode *node, DpName pool);
/* Asks the store for the changes since this VM's list of targets, unless it was just asked. */
void dp_stream_versions_start_check (DpNode *node, DpUsec now);

/* --- take_ups.c --- */

typedef enum DpVersionLookup
{
  DP_VERSION_KNOWN, /* or not needed */
  DP_VERSION_ASKED, /* dp_request_on_version() is called with the answer */
  DP_VERSION_UNKNOWN,
} DpVersionLookup;

/* The first event of a stream that may be resumed is forwarded. */
void dp_take_ups_record (const DpNodeRequest *request);
/* Sets the request's version if it takes up a stream. */
DpVersionLookup dp_take_ups_find (DpNodeRequest *request);
/* Evaluates the time-outs of a request that awaits its version. */
void dp_take_ups_tick_request (DpNodeRequest *request, DpUsec now);
/* Another VM has told versions: continues with the requests that await one of them. */
void dp_take_ups_resolve_known (DpNode *node);
/* All versions that had registered when the check began are known. */
void dp_take_ups_on_checked (DpNode *node, DpUsec started_at);
/* Returns FALSE if the message is of another type. */
gboolean dp_take_ups_on_message (DpNode *node, DpName from, const DpMessage *message);

/* --- stream_copies.c --- */

/* `versions` must outlive the object. */
DpNodeCopies *dp_node_copies_new (DpNode *node, DpVersions *versions);
void dp_node_copies_free (DpNodeCopies *copies);
DpStreamCopies *dp_node_copies_state (const DpNode *node);
void dp_node_copies_tick (DpNode *node, DpUsec now);
void dp_node_copies_set_manifest (DpNode *node);
void dp_node_copies_set_view (DpNode *node);
/* The versions that may have begun streams may have changed: turns the copies on while several
 * may have begun some that can be taken up. */
void dp_node_copies_update (DpNode *node, DpUsec now);
/* The process stops: hands on what only this VM knows. */
void dp_node_copies_stop (DpNode *node);
/* The store was restored from a copy: writes to it again. */
void dp_node_copies_on_restored (DpNode *node);
/* TRUE if the copies in the store were read at `since` or shortly before, or later; begins to
 * read them otherwise. */
gboolean dp_node_copies_are_read (DpNode *node, DpUsec since);
/* Returns FALSE if the message is of another type. */
gboolean dp_node_copies_on_message (DpNode *node, DpName from, const DpMessage *message);

/* --- rollouts.c --- */

DpRollouts *dp_rollouts_new (DpNode *node);
void dp_rollouts_free (DpRollouts *rollouts);
/* The functions below do nothing without roll-outs, i.e. if node->rollouts is NULL. */
void dp_rollouts_tick (DpNode *node, DpUsec now);
/* Changes that a watch returned, or a complete listing, as of this version of the store. */
void dp_rollouts_apply_changes (DpNode *node,
                                const DpStorePage *const *pages,
                                guint count,
                                gboolean is_complete,
                                DpStoreVersion version);
/* Returns FALSE if the message is of another type. */
gboolean dp_rollouts_on_message (DpNode *node, DpName from, const DpMessage *message);
/* Version of the list of orders; revision 0: none was read. */
DpStoreVersion dp_rollouts_version (const DpNode *node);
/* Sends the list of orders to the VM. */
void dp_rollouts_send_list (DpNode *node, DpName to);
/* The list of targets has changed. */
void dp_rollouts_observe_targets (DpNode *node);
/* TRUE while the pool's owner must assign all its requests. */
gboolean dp_rollouts_needs_owner (const DpNode *node, const DpNodePool *pool);
/* Passes the pool's order to its dispatcher. */
void dp_rollouts_set_order (DpNode *node, DpNodePool *pool, GArray *outbox);
/* TRUE if the owner may assign a request to the target. */
gboolean
dp_rollouts_accepts_grant (const DpNode *node, DpName owner, const DpDirectoryRow *row);
void dp_rollouts_add_status (const DpNode *node, struct json_object *status);

/* --- memory.c --- */

/* Divides the memory among the buffers that others fill. */
void dp_memory_start (DpNode *node);
/* After the servers that use them. */
void dp_memory_stop (DpNode *node);
/* Connections of callers for which there is memory; `memory_max` 0: no limit. */
guint dp_memory_connections_max (gsize memory_max);
/* Bytes that a tunnel may buffer in each direction, at most `most`. */
gsize dp_memory_tunnel_buffer (const DpNodeParams *params, gsize most);
void dp_memory_tick (DpNode *node, DpUsec now);

/* --- caller_listener.c --- */

/* Returns FALSE and adds to `diagnostics` if an address can't be listened on. */
gboolean dp_caller_listener_start (DpNode *node, DpDiagnostics *diagnostics);
/* Applies the limits of the config in force. */
void dp_caller_listener_set_limits (DpNode *node);
/* Starts an orderly shutdown of the process. */
void dp_caller_listener_stop (DpNode *node);
/* FALSE if the process stops and a response to a request that ends at `deadline` at the latest
 * could be cut by that. */
gboolean
dp_caller_listener_may_finish (const DpNode *node, const DpRoute *route, DpUsec deadline);
/* Refuses and ends what is left when a stopping process runs out of time. Returns TRUE if all
 * requests have their responses, or the time is over. */
gboolean dp_caller_listener_may_exit (DpNode *node, DpUsec now, gboolean was_paused);

/* --- request.c --- */

/* Takes over an admitted request and requests a target. */
void dp_request_begin (DpNodeRequest *request);
/* The dispatcher granted it a target. */
void dp_request_on_grant (DpNodeRequest *request, const DpGrantGiven *given);
/* Other VMs have told the version that began its stream, or don't know it. */
void dp_request_on_version (DpNodeRequest *request);
/* The dispatcher refused it. */
void dp_request_on_refused (DpNodeRequest *request, DpReason reason, DpUsec retry_after);
/* Its search for another target has ended. */
void dp_request_on_target_found (DpNodeRequest *request, const DpGrantGiven *given);
void dp_request_on_search_refused (DpNodeRequest *request, DpReason reason, DpUsec retry_after);
/* The dispatcher revoked its grant. */
void dp_request_on_revoked (DpNodeRequest *request, DpReason reason);
/* The current attempt ended without an answer for the caller. */
void dp_request_on_attempt_failed (DpNodeRequest *request, DpAttemptEnd end, DpReason reason);
/* The complete answer was sent to the caller; `reason` is the result reported to the pool's
 * owner. */
void dp_request_complete (DpNodeRequest *request, DpReason reason);
/* Rechecks the requests that wait for quota. */
void dp_request_recheck_limited (DpNode *node);
/* Refuses the requests that wait and are in quarantine now. */
void dp_request_recheck_quarantine (DpNode *node);
/* Refuses the requests that wait, except for those whose answer has begun. */
void dp_request_refuse_waiting (DpNode *node);
/* Ends all requests: the process is about to exit. */
void dp_request_end_all (DpNode *node);
void dp_request_tick (DpNode *node, DpUsec now, gboolean was_paused);
void dp_request_clear (void *row);
/* Refuses an exchange that has not become a DpNodeRequest. */
void dp_request_refuse_exchange (DpNode *node,
                                 DpHttpExchange *exchange,
                                 const char *id,
                                 const char *workspace,
                                 DpReason reason,
                                 DpUsec retry_after);

/* --- paths.c --- */

void dp_paths_init (DpNode *node);
/* Sets the path that the request's attempt tries first. */
void dp_paths_begin (DpNodeRequest *request, const DpDirectoryRow *target);
/* The VM to connect through; NULL: none, or it is unknown by now. */
const DpVm *dp_paths_gateway (const DpNodeRequest *request);
/* The current path failed before a byte was sent. Returns FALSE if there is no other. */
gboolean dp_paths_next (DpNodeRequest *request, DpPathFailure failure);
/* The target's response was received. */
void dp_paths_succeeded (const DpNodeRequest *request);
/* Result of a connection that this VM opened as another one's gateway. */
void dp_paths_record_direct (DpNode *node, DpName target, gboolean succeeded);
/* The target asked for a pause in its response. Its gateway, if any, must keep it, too. */
void dp_paths_target_paused (const DpNodeRequest *request);
/* Returns FALSE if the message is of another type. */
gboolean dp_paths_on_message (DpNode *node, const DpMessage *message);
/* TRUE if the attempt's own connection is one of those that this VM has lost. */
gboolean dp_paths_is_lost (const DpNodeRequest *request);

/* --- attempt.c --- */

/* Connecting takes a round trip and about 1 ms at the target; a slower target is unreachable or
 * overloaded. Giving up is safe because the request has not been sent yet. */
#define DP_CONNECT_TIMEOUT (120 * DP_USEC_PER_MSEC)

void dp_attempt_start (DpNodeRequest *request, const DpDirectoryRow *target);
/* FALSE while the attempt has no connection to its target yet. */
gboolean dp_attempt_has_sent (const DpNodeRequest *request);
/* TRUE if a stream that can be resumed elsewhere has had no event for too long. */
gboolean dp_attempt_is_stalled (const DpNodeRequest *request, DpUsec now);
/* Closes the connection to the target, which aborts its work. */
void dp_attempt_cancel (DpNodeRequest *request);
/* Forwards the target's answer to the caller. */
void dp_attempt_forward_response (DpNodeRequest *request);

/* --- tunnels.c --- */

/* Without a free port, logs a warning, and this VM is no gateway. */
DpTunnels *dp_tunnels_new (DpNode *node);
void dp_tunnels_free (DpTunnels *tunnels);
/* Open tunnels go on, new ones are refused. */
void dp_tunnels_stop_accepting (DpTunnels *tunnels);
/* Number of tunnels that are open or being opened. */
guint dp_tunnels_open (const DpTunnels *tunnels);
