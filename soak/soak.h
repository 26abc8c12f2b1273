/* Fault soak: nodes, targets and store as real processes, faults from outside them, callers
 * that check each answer. One run is drawn from one seed.
 *
 *   proxy.c   loopback proxies that delay, reset, silence or cut one way
 *   world.c   processes: started, signalled and ended by process id
 *   faults.c  the faults that a seed draws
 *   caller.c  callers on kept connections
 *   verdict.c what each request's answer promised, against what the targets ran
 */
#pragma once

#include "tests/node_kit.h"

#include <event2/event.h>

#define SOAK_VMS 4
#define SOAK_TARGETS 5
#define SOAK_CALLERS 16

#define SOAK_ADDRESS_BYTES 16
/* Each run has a loopback net of its own, each process an address. */
#define SOAK_CALLERS_PORT 7000
#define SOAK_READY_PORT 7001
#define SOAK_BUS_PORT 7002
#define SOAK_OPERATOR_PORT 7003
#define SOAK_SERVER_PORT 8000
#define SOAK_CONTROL_PORT 8001

/* --- proxy.c --- */

typedef enum SoakProxyMode
{
  SOAK_PROXY_PASS,
  SOAK_PROXY_DELAY,
  SOAK_PROXY_RESET,   /* resets what is open, and each new connection */
  SOAK_PROXY_SILENT,  /* passes nothing on, either way */
  SOAK_PROXY_ONE_WAY, /* passes requests on, and no answers */
  SOAK_PROXY_MODES,
} SoakProxyMode;

extern const char *const soak_proxy_mode_names[SOAK_PROXY_MODES];

typedef struct SoakProxy SoakProxy;

/* Listens at `address` and passes on to `to_address`, at the same port. */
SoakProxy *soak_proxy_new (struct event_base *base,
                           const char *address,
                           const char *to_address,
                           guint16 port);
void soak_proxy_free (SoakProxy *proxy);
/* What the proxy held back is passed on when it passes again. */
void soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode);

/* --- world.c --- */

typedef struct SoakVm
{
  char name[8];
  char address[SOAK_ADDRESS_BYTES];
  const char *data_centre;
  char store_address[SOAK_ADDRESS_BYTES]; /* of the proxy */
  SoakProxy *store;
  Process *process;
  guint incarnation;   /* counts starts */
  gint64 disturbed_at; /* last kill, signal, pause or end of a pause; monotonic, microseconds */
  gboolean is_paused;
  gboolean is_stopping; /* SIGTERM was sent */
  guint config_seen;    /* highest version that this incarnation has served */
} SoakVm;

typedef struct SoakTarget
{
  char id[8];
  char address[SOAK_ADDRESS_BYTES];
  char proxy_address[SOAK_ADDRESS_BYTES];
  SoakProxy *proxy;
  Process *process;
  gint64 started; /* Unix milliseconds */
  gboolean is_paused;
} SoakTarget;

typedef struct SoakWorld
{
  struct event_base *base;
  const char *build;
  char *folder; /* of logs */
  char *log;
  char *seeds;
  GRand *random;
  gint64 begun; /* monotonic */
  Process *store;
  char store_address[SOAK_ADDRESS_BYTES];
  gboolean store_answers; /* the operator can write */
  SoakVm vms[SOAK_VMS];
  SoakTarget targets[SOAK_TARGETS];
  guint config_version;    /* newest that the store has accepted */
  guint faults_open;       /* scheduled and not over */
  GHashTable *runs;        /* request id -> times run, by targets that have ended */
  GHashTable *requests;    /* request id -> SoakRequest */
  guint answered_in_a_row; /* requests answered 200 since the last other answer */
  guint counts[8];         /* answers by SoakEnd */
  GPtrArray *violations;   /* char * */
} SoakWorld;

SoakWorld *soak_world_new (struct event_base *base, const char *build, guint32 seed);
/* Ends all processes; the nodes by SIGTERM, which is checked. */
void soak_world_stop (SoakWorld *world);
/* The folder of logs stays if there were violations. */
void soak_world_free (SoakWorld *world);

/* Seconds since the start. */
double soak_world_time (const SoakWorld *world);
void soak_world_say (const SoakWorld *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
void soak_world_violation (SoakWorld *world, const char *format, ...) G_GNUC_PRINTF (2, 3);

void soak_vm_start (SoakWorld *world, SoakVm *vm);
void soak_vm_signal (SoakWorld *world, SoakVm *vm, int number);
/* TRUE if nothing has been done to it for that long. */
gboolean soak_vm_is_calm (const SoakVm *vm, gint64 span);
void soak_target_start (SoakWorld *world, SoakTarget *target);
/* SIGKILL, after its runs have been read; its entry in the store stays. */
void soak_target_kill (SoakWorld *world, SoakTarget *target);
/* The target has these faults only; NULL: none. */
void soak_target_set_faults (SoakWorld *world, SoakTarget *target, const char *json);
void soak_store_set_faults (SoakWorld *world, const char *json);
/* FALSE: the store did not take it. */
gboolean soak_put_config (SoakWorld *world);
gboolean soak_put_target (SoakWorld *world, const SoakTarget *target, const char *state);
/* Adds what the target has run so far to `world->runs`. */
void soak_collect_runs (SoakWorld *world, const SoakTarget *target);

/* --- faults.c --- */

/* Draws the faults of a run and schedules them; all end within `span` seconds. */
void soak_faults_schedule (SoakWorld *world, double span);
/* Lifts what is left of them. */
void soak_faults_lift (SoakWorld *world);

/* --- caller.c, verdict.c --- */

typedef enum SoakKind
{
  SOAK_BOOK, /* must not run twice */
  SOAK_LOOK,
  SOAK_DRAFT,  /* a stream that may go on elsewhere */
  SOAK_LETTER, /* one that may not */
  SOAK_NEW_ROUTE,
  SOAK_KINDS,
} SoakKind;

typedef enum SoakEnd
{
  SOAK_OPEN,
  SOAK_SERVED,
  SOAK_NOT_RUN, /* refused with the promise that it did not run */
  SOAK_FAILED,
  SOAK_DENIED,
  SOAK_CUT,    /* the connection closed after the head of an answer */
  SOAK_CLOSED, /* the connection closed without an answer */
  SOAK_LEFT,   /* the caller left */
} SoakEnd;

typedef struct SoakRequest
{
  SoakKind kind;
  SoakEnd end;
  guint vm;
  guint config_version; /* of a new route */
  guint incarnation;
  gint64 sent_at;
  gint64 ended_at;
} SoakRequest;

typedef struct SoakCaller SoakCaller;
SoakCaller *soak_caller_new (SoakWorld *world, guint index);
void soak_caller_free (SoakCaller *caller);

/* A whole answer: judges what can be judged at once. Returns how the request ended. */
SoakEnd soak_judge_answer (SoakWorld *world,
                           const char *id,
                           const SoakRequest *request,
                           const char *head,
                           const GString *body);
/* After the run: promises against runs. */
void soak_judge_runs (SoakWorld *world);
