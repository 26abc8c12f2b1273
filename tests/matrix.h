/* A small world around the entry's decisions, in virtual time: entry VMs of two data centres,
 * a minimal owner on each, the platform's store, targets that count effects, and callers.
 *
 * The world knows nothing of the core but its events and actions. matrix_check() judges a run
 * by what callers, targets and the platform saw.
 */
#pragma once

#include "core/entry.h"
#include "core/scheduler.h"
#include "tests/entry_fixture.h"

#define WORLD_VMS (FIXTURE_VMS * FIXTURE_DATA_CENTRES)
#define WORLD_TARGETS_MAX 16
#define TICK_INTERVAL (100 * DP_USEC_PER_MSEC)
/* Of each request; an answer may come one tick after its deadline. */
#define CALLER_TIMEOUT (8 * DP_USEC_PER_SEC)
#define ANSWER_SLACK (2 * TICK_INTERVAL)
#define CALLER_PROMPT_TOKENS 10
/* Tokens of an engine's answer. */
#define ANSWER_TOKENS 4

/* Operations of a run; each has its own key, and its number is its body. */
#define MATRIX_BOOKING 1
#define MATRIX_CHAT 2
#define MATRIX_LONE_BOOKING 3
#define MATRIX_LONE_CHAT 4
#define MATRIX_VERGES 5
#define MATRIX_OTHER_BODY 99

/* Where in a request's way a fault strikes. */
typedef enum Step
{
  STEP_ARRIVAL,
  STEP_CLAIM_READ,
  STEP_CLAIM_READ_REPLY,
  STEP_CLAIM_WRITE,
  STEP_CLAIM_STORED,
  STEP_CLAIM_WRITE_REPLY,
  STEP_ASK,
  STEP_GIVEN,
  STEP_DISPATCH,
  STEP_EFFECT,
  STEP_HEAD,
  STEP_CHUNK,
  STEP_END,
  STEP_RECORD_WRITE,
  STEP_RECORD_STORED,
  STEP_RECORD_REPLY,
  STEP_COUNT,
} Step;

typedef enum RequestKind
{
  KIND_BOOKING, /* may not be repeated */
  KIND_CHAT,    /* engine, streamed */
  KIND_VERGES,  /* repeatable call of a service */
  KIND_OUTCOME, /* query of a booking's outcome */
} RequestKind;

typedef enum FinalAnswer
{
  FINAL_NONE,
  FINAL_END,
  FINAL_PROBLEM,
  FINAL_REPLAY,
  FINAL_BREAK,
  FINAL_LOST, /* the entry died */
  FINAL_LEFT, /* the caller went away */
} FinalAnswer;

/* What one caller sent and saw. */
typedef struct Caller
{
  DpCaller number;
  RequestKind kind;
  guint operation; /* requests of one operation share key and body */
  guint vm;
  char *key;
  guint64 body;
  DpUsec sent_at;
  guint finals;
  FinalAnswer final;
  DpUsec final_at;
  DpUsec excused_until; /* its VM was frozen until then */
  DpReason reason;
  DpOutcome outcome;
  GString *text;
  guint tries_left;
  gboolean on_its_way; /* its connection to the entry stands */
} Caller;

/* One run of a request at a target. */
typedef struct Effect
{
  DpCaller caller;
  RequestKind kind;
  guint operation;
  guint64 body;
  DpUsec at;
} Effect;

typedef enum LostWrite
{
  LOST_NOT,
  LOST_STORED,       /* stored, the answer is lost */
  LOST_STORED_LATER, /* stored after the answer was given up */
  LOST_NEVER,        /* not stored */
} LostWrite;

typedef enum OwnerMode
{
  OWNER_GIVES,
  OWNER_REFUSES,
  OWNER_QUEUES,
  OWNER_REVOKES,
  OWNER_SILENT,
} OwnerMode;

typedef enum AnswerFault
{
  ANSWER_WHOLE,
  ANSWER_BROKEN,      /* the connection breaks */
  ANSWER_NO_FRAMING,  /* ends without the framing's end */
  ANSWER_NO_TERMINAL, /* ends without the end event */
  ANSWER_SILENT,      /* goes silent */
} AnswerFault;

typedef struct WorldVm
{
  DpEntryCore *board;
  gboolean alive;
  guint generation; /* rises with each start and death */
  guint64 incarnation;
  DpUsec frozen_until;
  /* its link to everything else */
  DpUsec cut_out_until;
  DpUsec cut_in_until;
  OwnerMode owner_mode;
  DpUsec owner_mode_until;
  DpSchedulerCore *scheduler; /* NULL: the minimal owner */
  GHashTable *granted;        /* DpId -> target name, as DpName */
} WorldVm;

typedef struct WorldTarget
{
  DpName name;
  DpUsec down_until;
  AnswerFault answer_fault; /* of its next answer */
  gboolean refuses;         /* the next connection */
} WorldTarget;

typedef struct World World;

/* A fault that strikes VM `vm` when a request of that kind reaches the step there. */
typedef struct PlannedFault
{
  void (*apply) (World *world, guint vm);
  RequestKind kind;
  Step step;
  guint vm;
  gboolean fired;
} PlannedFault;

struct World
{
  DpUsec now;
  guint64 sequence;
  GSequence *queue;
  GRand *rand;
  DpManifest *manifest;
  DpCounters *counters;
  DpView *view;
  GPtrArray *views;       /* all, as queued events point to old ones */
  GPtrArray *dead_boards; /* may be in use further up the stack when they die */
  DpVm rows[WORLD_VMS];   /* what the platform's list says */
  gboolean view_lags;     /* deaths are not seen */
  WorldVm vms[WORLD_VMS];
  WorldTarget targets[WORLD_TARGETS_MAX];
  guint target_count;
  GPtrArray *connections;
  GPtrArray *callers; /* Caller */
  GArray *effects;    /* Effect */
  GHashTable *kinds;  /* DpId of an attempt -> RequestKind + 1 */
  PlannedFault faults[2];
  guint fault_count;
  DpUsec centre_cut_until; /* between data centres; the second also from the platform */
  gboolean duplicates;     /* replies and messages come again, late */
  guint64 poison;          /* body under which targets die; 0: none */
  gboolean poison_is_slow; /* they die after their first token */
  guint deaths[FIXTURE_DATA_CENTRES]; /* of targets under it, by the data centre of the entry */
  guint repeats;  /* requests sent to a target that had failed them before */
  GString *trace; /* NULL: none is kept */
  gboolean ships_owners;
  gboolean closing; /* the world ends: nothing new is started */
  /* store */
  GHashTable *objects;     /* slot and index -> StoredObject */
  GPtrArray *kept_records; /* GArray: content of replies on their way */
  guint64 version;
  LostWrite lose_next;
  DpUsec outage_until;
  gboolean outage_loses; /* no answer, in place of a refusal */
  DpUsec slow_until;
  DpUsec store_delay; /* added one way */
};

/* --- matrix_world.c: time, processes, links --- */

/* With `ships_owners` the VMs run the shipping scheduler, else a minimal owner. */
World *world_new (guint32 seed, gboolean ships_owners);
void world_free (World *world);
void world_run_until (World *world, DpUsec until);
typedef void (*WorldCallback) (World *world, gpointer data);
void world_at (World *world, DpUsec at, WorldCallback run, gpointer data);
/* A random delay of one way within a data centre. */
DpUsec world_delay (World *world);
/* Notes the step and lets the planned faults strike. FALSE: the VM has died of it. */
gboolean world_step (World *world, guint vm, RequestKind kind, Step step);
/* When the VM can act: now, or at the end of its pause. */
DpUsec world_ready_at (const World *world, guint vm);
/* Hands the event to the VM's entry when it can act; `data` (may be NULL) is freed after it. */
void
world_deliver (World *world, guint vm, guint generation, DpEntryEvent event, gpointer data);
/* The same as an event of its own, after the one that is being handled. */
void world_deliver_later (World *world, guint vm, DpEntryEvent event);
void world_kill (World *world, guint index);
void world_start (World *world, guint index);
/* Gives all entries a view made from `rows`. */
void world_publish_view (World *world);
void world_post (World *world, guint from, DpPeer to, const DpMessage *message);
/* TRUE if nothing gets from one VM to the other now. */
gboolean world_is_cut (const World *world, guint from, guint to);
int world_vm_index (DpName name);
void world_log (World *world, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* --- matrix_store.c --- */

void store_read (World *world, guint vm, DpBucketId bucket);
void store_write (World *world, guint vm, const DpClaimWrite *write);
void store_clear (World *world);

/* --- matrix_targets.c --- */

void target_dispatch (World *world, guint vm, const DpDispatch *dispatch);
void target_cancel (World *world, DpId attempt);
void target_vm_died (World *world, guint vm);
/* TRUE if the VM gets an answer from the target now. */
gboolean target_is_up (const World *world, guint vm, DpName name);

/* --- matrix_owner.c --- */

void owner_start (World *world, guint index);
void owner_stop (World *world, guint vm);
void owner_view (World *world, guint vm);
void owner_tick (World *world, guint vm);
void owner_handle (World *world, guint vm, guint from, const DpMessage *message);

/* --- matrix_callers.c --- */

Caller *caller_add (World *world, RequestKind kind, guint operation, guint vm, DpUsec at);
Caller *caller_find (World *world, DpCaller number);
void caller_action (World *world, const DpEntryAction *action);
void callers_vm_died (World *world, guint vm);
void callers_vm_frozen (World *world, guint vm, DpUsec until);
void callers_clear (World *world);
/* All callers whose requests are open at that VM go away. */
void callers_leave (World *world, guint vm);
/* The whole answer to that request. */
char *caller_expected (RequestKind kind, guint64 body);

/* --- matrix_check.c: the promises --- */

/* Problems found, one a line; NULL: none. Free with g_free(). */
char *matrix_check (const World *world);
