/* Fixture of the scheduler's tests: a small manifest, a board, and messages in virtual time. */
#pragma once

#include "core/scheduler.h"

#define FIXTURE_TIERS 4
#define FIXTURE_VMS 3

/* Speeds and sizes of the fixture's engines. */
typedef struct FixtureEngine
{
  const char *name;
  guint window;
  guint prefill;
  guint decode;
  guint stream;
  guint kv_tokens;
  const char *models[3];
} FixtureEngine;

typedef struct FixtureOptions
{
  const FixtureEngine *engines;
  guint engine_count;
  guint queue_max;
  guint group_targets_max;
  DpSchedulerPolicy policy;
  gboolean other_owner; /* another VM is first in rendezvous order */
} FixtureOptions;

typedef struct Fixture
{
  DpManifest *manifest;
  DpView *view;
  DpSchedulerBoard *board;
  DpCounters *counters;
  GArray *actions; /* of all events since fixture_clear() */
  DpUsec now;
  DpName group;
  DpName vms[FIXTURE_VMS];      /* vms[0] is this one */
  gboolean silent[FIXTURE_VMS]; /* entries that send no heartbeats */
  DpUsec next_heartbeat;
} Fixture;

typedef struct FixtureAsk
{
  guint id; /* low half of the attempt's id */
  guint tier;
  const char *workspace; /* NULL: "w0" */
  const char *model;     /* NULL: "m" */
  guint prompt;          /* 0: 100 */
  guint output;          /* 0: 100 */
  DpUsec remaining;      /* 0: 60 s */
  gboolean not_repeatable;
  const char *excluded;
  guint64 prefix; /* first block; 0: none */
  guint prefix_count;
  guint entry; /* index into vms */
} FixtureAsk;

void fixture_open (Fixture *f, const FixtureOptions *options);
void fixture_close (Fixture *f);

/* Forgets the actions so far. */
void fixture_clear (Fixture *f);

/* Advances virtual time by `usec` in ticks of the scheduler. Entries that are not silent send
 * the first part of a report now and then, so that they do not lapse. */
void fixture_run (Fixture *f, DpUsec usec);
void fixture_ask (Fixture *f, FixtureAsk ask);
void fixture_progress (Fixture *f, guint id);
void fixture_done (Fixture *f, guint id, DpGrantDone done);
void fixture_held (Fixture *f, guint entry, const DpHeld *held, guint count);
void fixture_load (Fixture *f, DpLoadReport load);
void fixture_view (Fixture *f, const DpVmState states[FIXTURE_VMS]);
void fixture_message (Fixture *f, guint entry, const DpMessage *message);

DpId fixture_id (guint id);
/* The last message of that type about the attempt, or NULL. */
const DpMessage *fixture_last (const Fixture *f, DpMessageType type, guint id);
/* How many messages of that type have been sent. */
guint fixture_count (const Fixture *f, DpMessageType type);
/* The target that was given to the attempt, or 0. */
DpName fixture_target (const Fixture *f, guint id);
