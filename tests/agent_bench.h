/* Test bench that runs agents in virtual time on a simulated platform and network. */
#pragma once

#include "core/agent.h"

#define BENCH_VMS_MAX 256
#define BENCH_DATA_CENTRES_MAX 32
#define BENCH_STEP (10 * DP_USEC_PER_MSEC)

/* One VM: its agent, and the state that its simulated entry received from the agent. */
typedef struct BenchVm
{
  DpVm row;
  DpAgentCore *core; /* NULL: not running */
  DpCounters *counters;
  guint generation; /* increases with each start and crash */
  gboolean paused;
  gboolean exited;
  DpUsec next_tick;
  DpUsec next_hello;
  guint64 revision; /* manifest in force at the entry */
  DpView *view;     /* received by the entry; NULL: none yet */
  guint open_requests;
  guint64 bytes_sent;    /* to other agents, if `message_bytes` is set */
  guint64 messages_sent; /* to other agents */
  GPtrArray *deferred;   /* deliveries that arrived while paused */
} BenchVm;

/* Platform faults; all off at the start. */
typedef struct BenchFaults
{
  gboolean down;
  gboolean stale;        /* reads and watches return the previous version */
  gboolean watch_gap;    /* watches notice a change only when they time out */
  gboolean watch_repeat; /* watches return at once, even if the version is known */
  guint lose_answers; /* writes of "manifest/accepted" that take effect, but lose their reply */
  guint late_writes;  /* the same, but taking effect only 2 s after the call */
  gboolean platform_unreachable[BENCH_DATA_CENTRES_MAX]; /* by data centre */
} BenchFaults;

typedef struct Bench
{
  DpUsec now;
  guint64 seed;
  guint data_centre_count;
  guint vm_count;
  BenchVm vms[BENCH_VMS_MAX];
  gboolean link_down[BENCH_VMS_MAX][BENCH_VMS_MAX]; /* [from][to] */
  BenchFaults faults;
  guint64 platform_calls;
  guint64 platform_bytes; /* read and written */
  guint regressions;      /* times that an entry was sent an older revision than it had */
  guint conflicts_logged;
  guint diagnostics_logged;
  /* returns the encoded size of a message; may be NULL */
  gsize (*message_bytes) (DpPeer from, const DpMessage *message);
  GHashTable *objects; /* path -> BenchObject */
  guint64 next_version;
  GHashTable *deliveries; /* step -> GPtrArray of Delivery */
  GPtrArray *watches;     /* Watch, pending */
} Bench;

/* Starts all VMs and puts them in the platform's VM list. VM i is in data centre i %
 * data_centres.
 */
Bench *bench_new (guint data_centres, guint vms, guint64 seed);
void bench_free (Bench *bench);
void bench_run (Bench *bench, DpUsec duration);

/* Starts the VM's agent; with `with_peers`, all VMs are configured as its peers. */
void bench_start (Bench *bench, guint index, gboolean with_peers);
void bench_crash (Bench *bench, guint index);
void bench_pause (Bench *bench, guint vm);
void bench_resume (Bench *bench, guint index);
void bench_stop (Bench *bench, guint vm); /* SIGTERM */

/* Takes down or restores all links between one data centre and the others. */
void bench_partition_data_centre (Bench *bench, guint data_centre, gboolean partitioned);

/* Returns a small valid manifest; `comment` makes texts of one revision differ. Free with
 * g_free(). */
char *bench_manifest (guint64 revision, const char *comment);

/* Writes bench_manifest() to "manifest/proposed", unconditionally. */
void bench_propose (Bench *bench, guint64 revision, const char *comment);
void bench_put_object (Bench *bench, const char *path, const char *text);

/* Returns the value of the object, owned by the bench, or NULL. */
GBytes *bench_get_object (Bench *bench, const char *path);

/* Writes the VM list "vms": omits VMs with `absent[i]`, lists those with `leaving[i]` as
 * leaving; both may be NULL. */
void bench_put_vm_list (Bench *bench, const gboolean *absent, const gboolean *leaving);

/* Delivers a message to the VM's agent after the network delay. */
void bench_deliver (Bench *bench, guint to, DpPeer from, const DpMessage *message);

/* Counts the running VMs whose entry has that revision in force. */
guint bench_count_in_force (const Bench *bench, guint64 revision);
guint bench_count_running (const Bench *bench);

/* Runs until all running VMs have the revision in force. Returns the time it took, or
 * `limit` + 1 on a timeout. */
DpUsec bench_run_until_in_force (Bench *bench, guint64 revision, DpUsec limit);

/* Returns the state of VM `about` in the view of VM `vm`'s entry, or DEAD without a row. */
DpVmState bench_vm_state (const Bench *bench, guint vm, guint about);

/* Returns the sum of a counter over all agents that haven't crashed. */
guint64
bench_counter_sum (const Bench *bench, const char *name, const char *label, const char *value);
