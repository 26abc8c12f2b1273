/* Agents in virtual time with a small fake platform and network between them. */
#pragma once

#include "core/agent.h"

#define BENCH_VMS_MAX 256
#define BENCH_CENTRES_MAX 32
#define BENCH_STEP (10 * DP_USEC_PER_MSEC)

/* One VM: its agent, and what its entry and scheduler have been told. */
typedef struct BenchVm
{
  DpVm row;
  DpAgentBoard *board; /* NULL: not running */
  DpCounters *counters;
  guint life; /* rises with each start and kill */
  gboolean frozen;
  gboolean exited;
  DpUsec next_tick;
  DpUsec next_hello;
  guint64 revision; /* in force at the entry */
  DpView *view;     /* of the entry */
  guint open_requests;
  guint64 bytes_sent;    /* between agents, if `message_bytes` is set */
  guint64 messages_sent; /* between agents */
  GPtrArray *held;       /* deliveries that came while frozen */
} BenchVm;

/* Faults of the platform; all off at the start. */
typedef struct BenchFaults
{
  gboolean down;
  gboolean stale;        /* reads and watches give the version before the last */
  gboolean watch_gap;    /* watches don't notice changes before their time is up */
  gboolean watch_repeat; /* watches come back at once with what is known */
  guint lose_answers;    /* so many writes of "manifest/accepted" take effect, unanswered */
  guint late_effects;    /* so many writes of it take effect 2 s after their answer was lost */
  gboolean centre_cut[BENCH_CENTRES_MAX]; /* from the platform */
} BenchFaults;

typedef struct Bench
{
  DpUsec now;
  guint64 seed;
  guint centre_count;
  guint vm_count;
  BenchVm vms[BENCH_VMS_MAX];
  gboolean cut[BENCH_VMS_MAX][BENCH_VMS_MAX]; /* [from][to] */
  BenchFaults faults;
  guint64 platform_calls;
  guint64 platform_bytes; /* read and written */
  guint regressions;      /* an entry was sent an older revision than it had */
  guint conflicts_logged;
  guint findings_logged;
  /* size of a message on the wire; may be NULL */
  gsize (*message_bytes) (DpPeer from, const DpMessage *message);
  GHashTable *objects; /* path -> BenchObject */
  guint64 next_version;
  GHashTable *deliveries; /* step -> GPtrArray of Delivery */
  GPtrArray *watches;     /* waiting */
} Bench;

/* All VMs run and are in the platform's list. VM i is in data centre i % centres. */
Bench *bench_new (guint centres, guint vms, guint64 seed);
void bench_free (Bench *bench);
void bench_run (Bench *bench, DpUsec duration);

/* `with_peers`: its settings name all VMs. */
void bench_start (Bench *bench, guint index, gboolean with_peers);
void bench_kill (Bench *bench, guint index);
void bench_freeze (Bench *bench, guint vm);
void bench_resume (Bench *bench, guint index);
void bench_stop (Bench *bench, guint vm); /* SIGTERM */

/* Cuts or heals all links between one data centre and the others. */
void bench_cut_centre (Bench *bench, guint centre, gboolean cut);

/* A small valid manifest; `mark` makes texts of one revision differ. */
char *bench_manifest (guint64 revision, const char *mark);

/* Writes "manifest/proposed", whatever it holds. */
void bench_propose (Bench *bench, guint64 revision, const char *mark);
void bench_put (Bench *bench, const char *path, const char *text);

/* The value of the object, or NULL. */
GBytes *bench_get (Bench *bench, const char *path);

/* Writes "vms": all VMs but those with `absent[i]`, `leaving[i]` as leaving; both may be NULL.
 */
void bench_list (Bench *bench, const gboolean *absent, const gboolean *leaving);

/* Delivers a message to the VM's agent. */
void bench_deliver (Bench *bench, guint to, DpPeer from, const DpMessage *message);

/* VMs whose agent runs and whose entry has that revision in force. */
guint bench_count_in_force (const Bench *bench, guint64 revision);
guint bench_count_running (const Bench *bench);

/* Runs until all running VMs have the revision in force, or the time is up. Returns the time
 * it took, or `limit` + 1. */
DpUsec bench_run_until_in_force (Bench *bench, guint64 revision, DpUsec limit);

/* State of `about` in the view that `vm`'s entry got; DEAD if there is no such row. */
DpVmState bench_seen (const Bench *bench, guint vm, guint about);

/* Sum of a counter over all running agents. */
guint64
bench_counter (const Bench *bench, const char *name, const char *label, const char *value);
