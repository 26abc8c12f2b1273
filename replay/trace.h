/* Trace of a cluster, its requests and its faults. Stored as JSON lines.
 *
 * The first line is a header with the cluster and the faults. Each further line is one request,
 * in order of arrival. Times are in seconds from the start.
 */
#pragma once

#include "common/diagnostics.h"
#include "manifest/manifest.h"

#include <glib.h>

typedef struct DpTraceVm
{
  char name[32];
  char data_centre[32];
} DpTraceVm;

typedef struct DpTraceEngine
{
  char name[32];
  char data_centre[32];
  guint window;  /* concurrent requests */
  guint prefill; /* tokens per second */
  guint decode;  /* tokens per second, total of all requests */
  guint stream;  /* tokens per second, limit of one request */
  guint kv_tokens;
} DpTraceEngine;

typedef struct DpTraceTier
{
  char name[32];
} DpTraceTier;

typedef struct DpTraceWorkspace
{
  char name[32];
  guint weight;
} DpTraceWorkspace;

typedef enum DpTraceFaultType
{
  DP_TRACE_FAULT_SLOW,  /* the engine runs `factor` times slower; 1 restores its speed */
  DP_TRACE_FAULT_KILL,  /* the VM's entry and scheduler crash and do not restart */
  DP_TRACE_FAULT_PAUSE, /* the VM's processes are suspended for `seconds` */
  DP_TRACE_FAULT_LEAVE, /* the VM finishes its open requests and gets no new ones */
} DpTraceFaultType;

typedef struct DpTraceFault
{
  double at;
  DpTraceFaultType type;
  guint subject; /* index of the engine or VM, or DP_TRACE_BUSIEST_OWNER */
  double factor;
  double seconds;
} DpTraceFault;

/* Fault subject: the VM that owns the most groups at that time. */
#define DP_TRACE_BUSIEST_OWNER G_MAXUINT

typedef struct DpTraceRequest
{
  double at;
  guint vm; /* index of the VM whose entry receives it */
  guint tier;
  guint workspace;
  guint prompt;        /* tokens */
  guint output;        /* tokens of the full response */
  guint output_bound;  /* maximum output tokens stated by the caller */
  double timeout;      /* seconds */
  guint prefix;        /* ID of a shared prefix; 0: none */
  guint prefix_tokens; /* leading prompt tokens in the shared prefix */
} DpTraceRequest;

typedef struct DpTrace
{
  gatomicrefcount refs;
  char name[64];
  guint64 seed;
  double one_way;     /* one-way delay between data centres, seconds */
  double load_lag;    /* delay of load reports, seconds */
  GArray *vms;        /* DpTraceVm */
  GArray *engines;    /* DpTraceEngine */
  GArray *tiers;      /* DpTraceTier */
  GArray *workspaces; /* DpTraceWorkspace */
  GArray *faults;     /* DpTraceFault */
  GArray *requests;   /* DpTraceRequest */
} DpTrace;

DpTrace *dp_trace_new (void);
DpTrace *dp_trace_ref (DpTrace *trace);
void dp_trace_unref (DpTrace *trace);

/* Reads a trace file. On a read or parse error, adds diagnostics and returns NULL. */
DpTrace *dp_trace_read (const char *file, DpDiagnostics *diagnostics);
/* Appends the trace to `out` in file format. */
void dp_trace_write (const DpTrace *trace, GString *out);

/* Returns a copy that has only the requests of one tier. */
DpTrace *dp_trace_filter_tier (const DpTrace *trace, guint tier);

typedef struct DpTraceOptions
{
  const char *name; /* "zadruga-first-light" or "mesa-before-noon" */
  guint64 seed;
  double seconds;  /* duration of arrivals */
  double overload; /* offered load relative to the engines' capacity */
} DpTraceOptions;

/* Generates a trace, deterministically from its options. NULL if the name is unknown. */
DpTrace *dp_trace_generate (const DpTraceOptions *options);
