/* Fault soak: runs nodes, targets and the store as real processes, injects faults from outside
 * and checks each response. A run is generated from one seed.
 *
 *   proxy.c    loopback proxies that delay, reset or block traffic
 *   cluster.c  starts, signals and stops the processes
 *   faults.c   generates and schedules the faults of a seed
 *   limits.c   limits that targets state, and their check
 *   caller.c   callers on persistent connections
 *   checker.c  compares each request's outcome with what the targets ran
 */
#pragma once

#include "tests/node_kit.h"

#include <event2/event.h>

#define SOAK_VMS 4
#define SOAK_TARGETS 5
/* Of their software, in turn. */
#define SOAK_VERSIONS 2
/* One of the faults makes a target crash on prompts with this part. */
#define SOAK_CRASHING_PART "bad0bad0"
#define SOAK_CALLERS 16

#define SOAK_ADDRESS_BYTES 16
/* Each run uses its own loopback network; each process has its own address in it. */
#define SOAK_CALLER_PORT 7000
#define SOAK_READY_PORT 7001
#define SOAK_BUS_PORT 7002
/* After the bus port: the default of the setting, which older builds don't have. */
#define SOAK_TUNNEL_PORT 7003
#define SOAK_OPERATOR_PORT 7004
#define SOAK_SERVER_PORT 8000
#define SOAK_CONTROL_PORT 8001

/* --- proxy.c --- */

typedef enum SoakProxyMode
{
  SOAK_PROXY_PASS,
  SOAK_PROXY_DELAY,
  SOAK_PROXY_RESET,   /* resets open and new connections */
  SOAK_PROXY_SILENT,  /* forwards nothing in either direction */
  SOAK_PROXY_ONE_WAY, /* forwards requests, but no responses */
  SOAK_PROXY_MODES,
} SoakProxyMode;

extern const char *const soak_proxy_mode_names[SOAK_PROXY_MODES];

typedef struct SoakProxy SoakProxy;

/* Listens at `address` and forwards connections to the same port of `to_address`. */
SoakProxy *soak_proxy_new (struct event_base *base,
                           const char *address,
                           const char *to_address,
                           guint16 port);
void soak_proxy_free (SoakProxy *proxy);
/* Bytes that were blocked are forwarded as soon as the new mode allows it. */
void soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode);

/* --- cluster.c --- */

typedef struct SoakVm
{
  char name[16];
  const char *build; /* folder of the programs that its next start runs */
  char address[SOAK_ADDRESS_BYTES];
  const char *data_centre;
  char store_proxy_address[SOAK_ADDRESS_BYTES];
  SoakProxy *store_proxy;
  Process *process;
  guint incarnation;    /* number of starts */
  gint64 disturbed_at;  /* last start or signal; monotonic, microseconds */
  gint64 killed_at;     /* last SIGKILL; monotonic, microseconds */
  GArray *disturbances; /* gint64: all of them; monotonic, milliseconds */
  gboolean is_paused;
  gboolean is_stopping;       /* SIGTERM was sent */
  guint newest_config_served; /* by this incarnation */
} SoakVm;

/* Times of limits and arrivals are monotonic milliseconds. */
typedef struct SoakLimit
{
  double per_second;
  gint64 from;
  gint64 to;
} SoakLimit;

#define SOAK_ID_BYTES 32

typedef struct SoakArrival
{
  gint64 at;
  char id[SOAK_ID_BYTES]; /* of the request */
} SoakArrival;

typedef struct SoakTarget
{
  char id[8];
  char address[SOAK_ADDRESS_BYTES];
  char proxy_address[SOAK_ADDRESS_BYTES];
  SoakProxy *proxy;
  Process *process;
  gint64 started; /* Unix milliseconds */
  gboolean is_paused;
  const char *state;    /* as last written to the store */
  guint version;        /* of its software, from 0 */
  const char *limit;    /* stated in responses; NULL: none */
  GArray *limits;       /* SoakLimit */
  GArray *arrivals;     /* SoakArrival, as collected so far */
  GArray *disturbed_at; /* gint64: when requests to it were held up or let through again */
} SoakTarget;

typedef struct SoakCluster
{
  struct event_base *base;
  const char *build;
  const char *older_build; /* VMs run it at first; NULL: all run `build` */
  char *log_folder;
  char *log_path;
  char *bus_seeds; /* the nodes' `seeds` setting */
  GRand *random;
  gint64 started_at; /* monotonic, microseconds */
  struct event *tick;
  gint64 ticked_at;     /* monotonic, microseconds */
  gint64 observed_time; /* microseconds in which the event loop had turns */
  Process *store;
  char store_address[SOAK_ADDRESS_BYTES];
  gboolean store_is_available; /* FALSE while a store fault is active */
  SoakVm vms[SOAK_VMS];
  SoakTarget targets[SOAK_TARGETS];
  guint config_version;     /* newest version that the store has accepted */
  guint further_routes;     /* of the config, that no caller uses */
  guint pending_faults;     /* scheduled and not ended */
  GHashTable *run_counts;   /* request id -> number of runs, as collected so far */
  GHashTable *run_versions; /* request id -> bits of the versions that ran it */
  GHashTable *requests;     /* request id -> SoakRequest */
  guint consecutive_served; /* served in a row; SOAK_LEFT does not reset it */
  guint outcome_counts[8];  /* finished requests by SoakOutcome */
  guint taken_up;           /* streams, at VMs in touch, that had a response */
  guint unknown;            /* of these, refused since nobody knew their version */
  GPtrArray *violations;    /* char * */
} SoakCluster;

typedef struct SoakOptions
{
  const char *build;
  const char *older_build; /* NULL: none */
  gboolean is_half_older;  /* every second VM runs the older build for the whole run */
} SoakOptions;

SoakCluster *
soak_cluster_new (struct event_base *base, const SoakOptions *options, guint32 seed);
/* Stops all processes. Nodes get SIGTERM and must exit with status 0. */
void soak_cluster_stop (SoakCluster *cluster);
/* Keeps the log folder if there were violations. */
void soak_cluster_free (SoakCluster *cluster);

/* Seconds since the start of the run. */
double soak_cluster_elapsed (const SoakCluster *cluster);
void soak_cluster_log (const SoakCluster *cluster, const char *format, ...)
  G_GNUC_PRINTF (2, 3);
void soak_cluster_add_violation (SoakCluster *cluster, const char *format, ...)
  G_GNUC_PRINTF (2, 3);

void soak_vm_start (SoakCluster *cluster, SoakVm *vm);
/* The next start is that of a VM which no other one knows, in the place of this one. */
void soak_vm_rename (SoakCluster *cluster, SoakVm *vm);
void soak_vm_signal (SoakCluster *cluster, SoakVm *vm, int number);
/* TRUE if the VM runs, is not paused, and was not started or signalled during the last
 * `duration` microseconds. */
gboolean soak_vm_is_undisturbed (const SoakVm *vm, gint64 duration);
/* TRUE if /ready of the VM answers 200. */
gboolean soak_vm_is_ready (const SoakVm *vm);
void soak_target_start (SoakCluster *cluster, SoakTarget *target);
/* Collects the target's runs, then sends SIGKILL. The target stays listed in the store. */
void soak_target_kill (SoakCluster *cluster, SoakTarget *target);
/* Replaces the target's faults; NULL clears them. */
void soak_target_set_faults (SoakCluster *cluster, SoakTarget *target, const char *json);
/* Sends the target's limit to it. */
void soak_target_send_limit (const SoakTarget *target);
void soak_store_set_faults (SoakCluster *cluster, const char *json);
/* Keeps a copy of the store. */
void soak_store_copy (SoakCluster *cluster);
/* Returns to the copy; the operator and the targets then write again what they had written.
 * FALSE if the store did not accept that. */
gboolean soak_store_restore (SoakCluster *cluster);
gboolean soak_vm_is_listed (const SoakCluster *cluster, const SoakVm *vm);
/* Both return FALSE if the store did not accept the write. */
gboolean soak_put_config (SoakCluster *cluster);
gboolean soak_put_target (SoakCluster *cluster, SoakTarget *target, const char *state);
/* Adds the target's runs so far to `cluster->run_counts`. */
void soak_target_collect_runs (SoakCluster *cluster, const SoakTarget *target);

/* --- faults.c --- */

/* Generates the faults of a run and schedules them to end within `duration` seconds. Changes
 * that the operator has to retry may end later. */
void soak_faults_schedule (SoakCluster *cluster, double duration);
/* Schedules VM after VM to be stopped or killed, and started again with the other build. */
void soak_faults_schedule_replacements (SoakCluster *cluster, double duration);
/* Schedules kills of all VMs, or of all but one, at the same moment, while streams pause. */
void soak_faults_schedule_herds (SoakCluster *cluster, double duration);
/* Growths of the config, each followed by changes in quick succession. */
void soak_faults_schedule_changes (SoakCluster *cluster, double duration);
/* Clears all faults that are still active. */
void soak_faults_clear (SoakCluster *cluster);

/* --- limits.c --- */

/* Lets targets chosen by the seed state a limit until they are killed or cleared. */
void soak_limits_choose (SoakCluster *cluster);
/* NULL: none any more. */
void soak_target_set_limit (SoakCluster *cluster, SoakTarget *target, const char *limit);
void soak_target_record_disturbance (SoakTarget *target);
void soak_target_collect_arrivals (SoakTarget *target);
void soak_check_limits (SoakCluster *cluster);

/* --- caller.c, checker.c --- */

typedef enum SoakRequestKind
{
  SOAK_BOOK, /* unary, must not run twice */
  SOAK_LOOK,
  SOAK_DRAFT,  /* a stream that another target may continue */
  SOAK_LETTER, /* a stream that must not run twice */
  SOAK_NEW_ROUTE,
  SOAK_TAKE_UP, /* of a stream like SOAK_DRAFT that broke off */
  SOAK_REQUEST_KINDS,
} SoakRequestKind;

typedef enum SoakOutcome
{
  SOAK_PENDING,
  SOAK_SERVED,
  SOAK_NOT_RUN, /* refused with a status that guarantees that it did not run */
  SOAK_FAILED,
  SOAK_DENIED,
  SOAK_CUT,    /* the connection closed after part of a response */
  SOAK_CLOSED, /* the connection closed without a response */
  SOAK_LEFT,   /* the caller disconnected or timed out */
} SoakOutcome;

typedef struct SoakRequest
{
  SoakRequestKind kind;
  SoakOutcome outcome;
  guint vm;
  guint config_version;   /* newest when the request was sent; names the new route */
  guint incarnation;      /* of the VM */
  gboolean vm_was_killed; /* before the request ended */
  gint64 sent_at;         /* monotonic, microseconds */
  gint64 ended_at;
  char resumes[24]; /* id of the request that began the stream, if it is taken up */
  guint last_event;
} SoakRequest;

typedef struct SoakCaller SoakCaller;
SoakCaller *soak_caller_new (SoakCluster *cluster, guint index);
void soak_caller_free (SoakCaller *caller);

/* Number of events in a stream of the stand-in target. */
#define SOAK_STREAM_EVENTS 5
/* Returns the number of the last complete event in a response that goes on after `after`. */
guint soak_last_event (const char *response, guint after);
/* Checks a complete response and returns the outcome of its request. */
SoakOutcome soak_check_response (SoakCluster *cluster,
                                 const char *id,
                                 const SoakRequest *request,
                                 const char *head,
                                 const GString *body);
/* Checks the outcomes of all requests against the collected runs. */
void soak_check_runs (SoakCluster *cluster);
