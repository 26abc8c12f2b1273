/* Fixture for the scheduler tests: a core with a small manifest, driven in virtual time. */
#pragma once

#include "core/scheduler.h"

#define FIXTURE_TIERS 4
#define FIXTURE_VMS 3

/* One target of the manifest. Speeds are in tokens per second. */
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
  DpSchedulerCore *core;
  DpCounters *counters;
  GArray *actions; /* since fixture_clear_actions() */
  DpUsec now;
  DpName group;
  DpName vms[FIXTURE_VMS];      /* vms[0] runs the core under test */
  gboolean silent[FIXTURE_VMS]; /* entries that send no heartbeats */
  DpUsec next_heartbeat;
} Fixture;

typedef struct FixtureRequest
{
  guint id; /* low half of the attempt id */
  guint tier;
  const char *workspace; /* NULL: "w0" */
  const char *model;     /* NULL: "m" */
  guint prompt;          /* 0: 100 */
  guint output;          /* 0: 100 */
  DpUsec remaining;      /* until the deadline; 0: 60 s */
  gboolean not_repeatable;
  const char *excluded;
  guint64 prefix; /* first block; 0: none */
  guint prefix_count;
  guint entry; /* index into vms */
} FixtureRequest;

void fixture_open (Fixture *f, const FixtureOptions *options);
void fixture_close (Fixture *f);

/* Drops the recorded actions. */
void fixture_clear_actions (Fixture *f);

/* Advances virtual time by `usec` in scheduler ticks. Every 500 ms each entry that is not
 * silent sends the first part of a report, so that its grants do not time out. */
void fixture_run (Fixture *f, DpUsec usec);
void fixture_request (Fixture *f, FixtureRequest request);
void fixture_progress (Fixture *f, guint id);
void fixture_done (Fixture *f, guint id, DpGrantDone done);
void fixture_held (Fixture *f, guint entry, const DpHeldGrant *held, guint count);
void fixture_load (Fixture *f, DpLoadReport load);
void fixture_view (Fixture *f, const DpVmState states[FIXTURE_VMS]);
void fixture_message (Fixture *f, guint entry, const DpMessage *message);

DpId fixture_id (guint id);
/* The last message of that type about the attempt, or NULL. */
const DpMessage *fixture_last (const Fixture *f, DpMessageType type, guint id);
/* Number of messages of that type. */
guint fixture_count (const Fixture *f, DpMessageType type);
/* The target granted to the attempt, or 0. */
DpName fixture_target (const Fixture *f, guint id);
