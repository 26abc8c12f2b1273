/* Simulated cluster of a replay run: event queue, VMs and engines. Private to replay/. */
#pragma once

#include "core/entry.h"
#include "core/scheduler.h"
#include "replay/engine.h"
#include "replay/replay.h"

/* Interval of tick events to the entry and scheduler cores. */
#define DP_REPLAY_TICK_INTERVAL (50 * DP_USEC_PER_MSEC)

typedef enum SimEventType
{
  SIM_EVENT_ARRIVAL,
  SIM_EVENT_TICK,
  SIM_EVENT_ENTRY_MESSAGE,
  SIM_EVENT_SCHEDULER_MESSAGE,
  SIM_EVENT_ENGINE_ADD,
  SIM_EVENT_ENGINE_CANCEL,
  SIM_EVENT_ENGINE_WAKE,
  SIM_EVENT_ENGINE_OUTPUT, /* delivered to the entry */
  SIM_EVENT_LOAD_POLL,     /* delivered to the engine */
  SIM_EVENT_LOAD_REPORT,   /* delivered to the scheduler */
  SIM_EVENT_FAULT,
  SIM_EVENT_VIEW_UPDATE, /* all VMs learn which VMs crashed or are leaving */
} SimEventType;

typedef struct SimEvent
{
  DpUsec at;
  guint64 sequence; /* order of events that are due at the same time */
  SimEventType type;
  guint index; /* of the request, VM, engine or fault, depending on type */
  guint vm;    /* engine events: sender of the work or poll */
  DpPeer from;
  DpMessage *message; /* owned */
  DpEngineWork *work; /* owned */
  DpEngineOutput output;
  DpId attempt;
  DpLoadReport load;
  DpCacheEvent *cache_events; /* owned */
} SimEvent;

typedef struct SimVm
{
  DpName name;
  DpName data_centre;
  gboolean crashed;
  gboolean leaving;
  DpUsec paused_until;
  DpEntryCore *entry;
  DpSchedulerCore *scheduler;
} SimVm;

typedef struct SimEngine
{
  DpName name;
  DpName data_centre;
  DpEngineModel *model;
  guint64 wake_sequence; /* sequence of the latest wake event; older ones are ignored */
} SimEngine;

/* One dispatch of a request to an engine. */
typedef struct SimAttempt
{
  DpId id;
  guint engine;
  guint vm;
  guint request;
  double prefilled_tokens; /* prompt tokens computed; set when the attempt ends */
  gboolean ended;
  gboolean finished;
} SimAttempt;

/* Result of a request, as counted in DpReplayTier. */
typedef enum SimOutcome
{
  SIM_OUTCOME_OPEN,
  SIM_OUTCOME_GOOD,
  SIM_OUTCOME_LATE,
  SIM_OUTCOME_REFUSED,
  SIM_OUTCOME_BROKEN,
} SimOutcome;

typedef struct SimRequest
{
  guint vm;
  SimOutcome outcome;
} SimRequest;

typedef struct Sim
{
  const DpTrace *trace;
  DpReplayDesign design;
  DpReplayResult *result;
  DpUsec now;
  guint64 next_sequence;
  GPtrArray *heap; /* SimEvent */
  DpManifest *manifest;
  SimVm *vms;
  SimEngine *engines;
  SimRequest *requests;
  GHashTable *attempts; /* DpId -> SimAttempt */
  guint open_requests;
} Sim;

/* cluster_heap.c */
SimEvent *sim_push_event (Sim *sim, DpUsec at, SimEventType type, guint index);
SimEvent *sim_pop_event (Sim *sim);
void sim_event_free (SimEvent *event);

/* cluster_build.c */
DpManifest *sim_build_manifest (const DpTrace *trace, DpReplayDesign design);
void sim_init (Sim *sim);
void sim_clear (Sim *sim);
void sim_send_view (Sim *sim, guint vm);
/* Hash of one prompt block; without a shared prefix (0) it is unique to the request. */
guint64 sim_block_hash (guint prefix, guint request, guint position);

/* cluster_cores.c */
void sim_handle_entry_event (Sim *sim, guint vm, DpEntryEvent *event);
void sim_handle_scheduler_event (Sim *sim, guint vm, DpSchedulerEvent *event);
void sim_finish_request (Sim *sim, guint request, SimOutcome outcome, DpReason reason);
DpUsec sim_network_delay (const Sim *sim, DpName from, DpName to);
int sim_find_vm (const Sim *sim, DpName name);
int sim_find_engine (const Sim *sim, DpName name);

/* cluster_engines.c */
void sim_engine_add (Sim *sim, const SimEvent *event);
void sim_engine_cancel (Sim *sim, DpId id);
void sim_engine_wake (Sim *sim, guint engine, guint64 sequence);
void sim_engine_schedule_wake (Sim *sim, guint engine);
void sim_engine_poll (Sim *sim, const SimEvent *event);
double sim_now_seconds (const Sim *sim);
