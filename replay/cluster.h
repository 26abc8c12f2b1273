/* Virtual cluster of one replay run: event queue, VMs, engines. Private to replay/. */
#pragma once

#include "core/entry.h"
#include "core/scheduler.h"
#include "replay/engine.h"
#include "replay/replay.h"

/* Boards get ticks this often. */
#define DP_REPLAY_TICK_USEC (50 * DP_USEC_PER_MSEC)

typedef enum SimEventType
{
  SIM_ARRIVAL,
  SIM_TICK,
  SIM_TO_ENTRY,
  SIM_TO_SCHEDULER,
  SIM_ENGINE_ADD,
  SIM_ENGINE_CANCEL,
  SIM_ENGINE_WAKE,
  SIM_ENGINE_OUTPUT, /* reaches the entry */
  SIM_POLL,          /* reaches the engine */
  SIM_LOAD,          /* reaches the scheduler */
  SIM_FAULT,
  SIM_VIEW, /* everybody learns of dead VMs */
} SimEventType;

typedef struct SimEvent
{
  DpUsec at;
  guint64 order;
  SimEventType type;
  guint index; /* request, VM, engine or fault, by type */
  guint other; /* second index, by type */
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
  gboolean dead;
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
  guint64 wake; /* order of the wake-up that counts */
} SimEngine;

/* One sending to an engine. */
typedef struct SimAttempt
{
  DpId id;
  guint engine;
  guint vm;
  guint request;
  double computed; /* prompt tokens, once it has ended */
  gboolean ended;
  gboolean finished;
} SimAttempt;

typedef enum SimOutcome
{
  SIM_OPEN,
  SIM_GOOD,
  SIM_LATE,
  SIM_REFUSED,
  SIM_BROKEN,
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
  guint64 next_order;
  GPtrArray *heap; /* SimEvent */
  DpManifest *manifest;
  SimVm *vms;
  SimEngine *engines;
  SimRequest *requests;
  GHashTable *attempts; /* DpId -> SimAttempt */
  guint open;
} Sim;

/* cluster_heap.c */
SimEvent *sim_schedule (Sim *sim, DpUsec at, SimEventType type, guint index);
SimEvent *sim_pop (Sim *sim);
void sim_event_free (SimEvent *event);

/* cluster_build.c */
DpManifest *sim_build_manifest (const DpTrace *trace, DpReplayDesign design);
void sim_build (Sim *sim);
void sim_clear (Sim *sim);
void sim_send_view (Sim *sim, guint vm);
guint64 sim_block (guint prefix, guint request, guint place);

/* cluster_boards.c */
void sim_entry_event (Sim *sim, guint vm, DpEntryEvent *event);
void sim_scheduler_event (Sim *sim, guint vm, DpSchedulerEvent *event);
void sim_request_over (Sim *sim, guint request, SimOutcome outcome, DpReason reason);
DpUsec sim_delay (const Sim *sim, DpName from, DpName to);
int sim_find_vm (const Sim *sim, DpName name);
int sim_find_engine (const Sim *sim, DpName name);

/* cluster_engines.c */
void sim_engine_add (Sim *sim, const SimEvent *event);
void sim_engine_cancel (Sim *sim, DpId id);
void sim_engine_wake (Sim *sim, guint engine, guint64 order);
void sim_engine_refresh (Sim *sim, guint engine);
void sim_engine_poll (Sim *sim, const SimEvent *event);
double sim_seconds (const Sim *sim);
