/* Simulation around the entry core, in virtual time: entry VMs in two data centres, a group
 * owner on each, the platform's store, targets that record effects, and callers.
 *
 * The simulation uses only the core's events and actions. matrix_check() checks a run by what
 * callers, targets and the platform observed.
 */
#pragma once

#include "core/entry.h"
#include "core/scheduler.h"
#include "tests/entry_fixture.h"

#define SIMULATED_VMS (FIXTURE_VMS * FIXTURE_DATA_CENTRES)
#define SIMULATED_TARGETS_MAX 16
#define TICK_INTERVAL (100 * DP_USEC_PER_MSEC)
/* Deadline of each request. Deadlines are checked on ticks, so an answer may be late by
 * ANSWER_SLACK. */
#define CALLER_TIMEOUT (8 * DP_USEC_PER_SEC)
#define ANSWER_SLACK (2 * TICK_INTERVAL)
#define CALLER_PROMPT_TOKENS 10
/* Chunks of a complete answer, each of one token. */
#define ANSWER_TOKENS 4

/* Operations of a run. Each has its own key; its number also serves as its body hash. */
#define MATRIX_BOOKING 1
#define MATRIX_CHAT 2
#define MATRIX_SINGLE_BOOKING 3
#define MATRIX_SINGLE_CHAT 4
#define MATRIX_REPEATABLE 5
#define MATRIX_OTHER_BODY 99

/* Steps of a request's processing at which faults are injected. */
typedef enum RequestStep
{
  STEP_ARRIVAL,
  STEP_CLAIM_READ,
  STEP_CLAIM_READ_REPLY,
  STEP_CLAIM_WRITE,
  STEP_CLAIM_STORED,
  STEP_CLAIM_WRITE_REPLY,
  STEP_GRANT_REQUEST,
  STEP_GRANT_GIVEN,
  STEP_DISPATCH,
  STEP_EFFECT,
  STEP_HEAD,
  STEP_CHUNK,
  STEP_END,
  STEP_OUTCOME_WRITE,
  STEP_OUTCOME_STORED,
  STEP_OUTCOME_WRITE_REPLY,
  STEP_COUNT,
} RequestStep;

typedef enum RequestKind
{
  KIND_BOOKING,       /* not repeatable */
  KIND_CHAT,          /* streamed answer of an engine */
  KIND_REPEATABLE,    /* repeatable call of a service */
  KIND_OUTCOME_QUERY, /* query for a booking's outcome */
} RequestKind;

typedef enum FinalAnswer
{
  FINAL_NONE,
  FINAL_END,
  FINAL_PROBLEM,
  FINAL_REPLAY,
  FINAL_ABORT,
  FINAL_ENTRY_CRASHED,
  FINAL_DISCONNECTED, /* the caller closed its connection */
} FinalAnswer;

/* One request of a caller and what the caller received. */
typedef struct Caller
{
  DpCaller number;
  RequestKind kind;
  guint operation; /* requests of one operation share key and body */
  guint vm;
  char *key;
  guint64 body;
  DpUsec sent_at;
  guint final_count;
  FinalAnswer final;
  DpUsec final_at;
  DpUsec vm_frozen_until; /* its deadline counts from then on, if later than sent_at */
  DpReason reason;
  DpOutcome outcome;
  GString *text;
  guint retries_left;
  gboolean connected; /* to its entry */
} Caller;

/* One execution of a request by a target. */
typedef struct Effect
{
  DpCaller caller;
  RequestKind kind;
  guint operation;
  guint64 body;
  DpUsec at;
} Effect;

typedef enum WriteLoss
{
  LOST_NONE,
  LOST_STORED,       /* stored, but the reply is lost */
  LOST_STORED_LATER, /* stored after the reply timed out */
  LOST_NOT_STORED,   /* not stored, no reply */
} WriteLoss;

typedef enum OwnerMode
{
  OWNER_GRANTS,
  OWNER_REFUSES,
  OWNER_QUEUES,
  OWNER_REVOKES,
  OWNER_UNRESPONSIVE,
} OwnerMode;

typedef enum AnswerFault
{
  ANSWER_COMPLETE,
  ANSWER_DISCONNECTED, /* the connection breaks */
  ANSWER_UNTERMINATED, /* the framing is incomplete */
  ANSWER_NO_END_EVENT, /* a stream's end event is missing */
  ANSWER_STALLED,      /* sends no more bytes */
} AnswerFault;

typedef struct SimulatedVm
{
  DpEntryCore *core;
  gboolean alive;
  guint generation; /* incremented on each start and crash */
  guint64 incarnation;
  DpUsec frozen_until;
  /* its links to all other VMs, targets and the platform */
  DpUsec outbound_blocked_until;
  DpUsec inbound_blocked_until;
  OwnerMode owner_mode;
  DpUsec owner_mode_until;
  DpSchedulerCore *scheduler; /* NULL: the minimal owner */
  GHashTable *granted;        /* attempt (DpId) -> target (DpName) */
} SimulatedVm;

typedef struct SimulatedTarget
{
  DpName name;
  DpUsec down_until;
  AnswerFault next_answer_fault;
  gboolean refuse_next_connection;
} SimulatedTarget;

typedef struct Simulation Simulation;

/* A fault injected into VM `vm` when a request of that kind first reaches the step there. */
typedef struct PlannedFault
{
  void (*apply) (Simulation *sim, guint vm);
  RequestKind kind;
  RequestStep step;
  guint vm;
  gboolean fired;
} PlannedFault;

struct Simulation
{
  DpUsec now;
  guint64 sequence;
  GSequence *queue;
  GRand *rand;
  DpManifest *manifest;
  DpCounters *counters;
  DpView *view;
  GPtrArray *views;               /* all of them, as queued events point to old ones */
  GPtrArray *stopped_cores;       /* of crashed VMs; may still be in use up the call stack */
  DpVm vm_rows[SIMULATED_VMS];    /* the platform's VM list */
  gboolean view_updates_disabled; /* crashes do not show in the view */
  SimulatedVm vms[SIMULATED_VMS];
  SimulatedTarget targets[SIMULATED_TARGETS_MAX];
  guint target_count;
  GPtrArray *connections;
  GPtrArray *callers;           /* Caller */
  GArray *effects;              /* Effect */
  GHashTable *kinds_by_attempt; /* DpId of an attempt -> RequestKind + 1 */
  PlannedFault faults[2];
  guint fault_count;
  DpUsec data_centre_partition_until;  /* the second data centre also loses the platform */
  gboolean duplicates;                 /* replies and messages are delivered again, late */
  guint64 poison_body;                 /* body hash that crashes targets; 0: none */
  gboolean poison_after_first_token;   /* crashes them after the first token */
  guint crashes[FIXTURE_DATA_CENTRES]; /* by poison_body, per data centre of the entry */
  guint repeated_dispatches;           /* to a target that had already failed the request */
  GString *trace;                      /* NULL: disabled */
  gboolean real_schedulers;
  gboolean stopping; /* teardown: nothing new is started */
  /* store */
  GHashTable *objects;      /* slot and index -> StoredObject */
  GPtrArray *reply_records; /* GArray: content of replies not yet delivered */
  guint64 version;
  WriteLoss next_write_loss;
  DpUsec store_outage_until;
  gboolean store_outage_drops_requests; /* instead of refusing them */
  DpUsec store_slow_until;
  DpUsec store_extra_delay; /* each way */
};

/* --- matrix_simulation.c: time, VMs, links --- */

/* With `real_schedulers` the VMs run the real scheduler core, otherwise a minimal owner. */
Simulation *simulation_new (guint32 seed, gboolean real_schedulers);
void simulation_free (Simulation *sim);
void simulation_run_until (Simulation *sim, DpUsec until);
typedef void (*SimulationCallback) (Simulation *sim, gpointer data);
void simulation_schedule (Simulation *sim, DpUsec at, SimulationCallback run, gpointer data);
/* A random one-way network delay. */
DpUsec simulation_random_delay (Simulation *sim);
/* Injects the faults planned for this step. FALSE: the VM has crashed. */
gboolean simulation_reach_step (Simulation *sim, guint vm, RequestKind kind, RequestStep step);
/* Now, or when the VM's freeze ends. */
DpUsec simulation_vm_ready_at (const Simulation *sim, guint vm);
/* Passes the event to the VM's entry, now or when its freeze ends, and frees `data` (may be
 * NULL) afterwards. Dropped if the VM's generation has changed. */
void simulation_deliver (
  Simulation *sim, guint vm, guint generation, DpEntryEvent event, gpointer data);
/* Like simulation_deliver(), but after the event that is being handled. */
void simulation_queue_event (Simulation *sim, guint vm, DpEntryEvent event);
void simulation_crash_vm (Simulation *sim, guint index);
void simulation_start_vm (Simulation *sim, guint index);
/* Delivers a new view made from `vm_rows` to all running entries. */
void simulation_publish_view (Simulation *sim);
void simulation_send (Simulation *sim, guint from, DpPeer to, const DpMessage *message);
/* TRUE if messages from one VM to the other are lost. */
gboolean simulation_link_is_down (const Simulation *sim, guint from, guint to);
int simulation_vm_index (DpName name);
void simulation_log (Simulation *sim, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* --- matrix_store.c --- */

void store_read (Simulation *sim, guint vm, DpBucketId bucket);
void store_write (Simulation *sim, guint vm, const DpClaimWrite *write);
void store_clear (Simulation *sim);

/* --- matrix_targets.c --- */

void target_dispatch (Simulation *sim, guint vm, const DpDispatch *dispatch);
void target_cancel (Simulation *sim, DpId attempt);
void target_on_vm_crash (Simulation *sim, guint vm);
/* TRUE if the target is running and the VM can exchange data with it. */
gboolean target_is_up (const Simulation *sim, guint vm, DpName name);

/* --- matrix_owner.c --- */

void owner_start (Simulation *sim, guint index);
void owner_stop (Simulation *sim, guint vm);
void owner_on_view (Simulation *sim, guint vm);
void owner_tick (Simulation *sim, guint vm);
void owner_on_message (Simulation *sim, guint vm, guint from, const DpMessage *message);

/* --- matrix_callers.c --- */

Caller *caller_add (Simulation *sim, RequestKind kind, guint operation, guint vm, DpUsec at);
Caller *caller_find (Simulation *sim, DpCaller number);
void caller_on_action (Simulation *sim, const DpEntryAction *action);
void callers_on_vm_crash (Simulation *sim, guint vm);
void callers_on_vm_freeze (Simulation *sim, guint vm, DpUsec until);
void callers_clear (Simulation *sim);
/* Disconnects all callers that have open requests on the VM. */
void callers_disconnect (Simulation *sim, guint vm);
/* The complete answer to such a request. Free with g_free(). */
char *caller_expected_answer (RequestKind kind, guint64 body);

/* --- matrix_check.c: invariants --- */

/* Violated invariants, one per line; NULL: none. Free with g_free(). */
char *matrix_check (const Simulation *sim);
