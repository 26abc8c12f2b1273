/* A trace: the cluster, the requests that arrived, and the faults. JSON lines on disk.
 *
 * The first line is the header (cluster and faults); each other line is one request, in order
 * of arrival. Times are seconds from the start.
 */
#pragma once

#include "common/findings.h"
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
  guint window;  /* requests at once */
  guint prefill; /* tokens a second */
  guint decode;  /* tokens a second, all requests together */
  guint stream;  /* tokens a second, one request alone */
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
  DP_TRACE_SLOW,  /* the engine becomes `factor` times slower; 1: as it was */
  DP_TRACE_KILL,  /* the VM dies: its entry and its scheduler */
  DP_TRACE_PAUSE, /* the VM's processes stop for `seconds` */
  DP_TRACE_LEAVE, /* the VM finishes what it has and gets nothing new */
} DpTraceFaultType;

typedef struct DpTraceFault
{
  double at;
  DpTraceFaultType type;
  guint subject; /* index of the engine or the VM; DP_TRACE_BUSIEST_OWNER */
  double factor;
  double seconds;
} DpTraceFault;

/* Subject of a fault: the VM that owns most groups when it happens. */
#define DP_TRACE_BUSIEST_OWNER G_MAXUINT

typedef struct DpTraceRequest
{
  double at;
  guint vm; /* whose entry it reaches */
  guint tier;
  guint workspace;
  guint prompt;        /* tokens */
  guint output;        /* tokens that the answer will have */
  guint output_bound;  /* told by the caller */
  double timeout;      /* seconds */
  guint prefix;        /* which shared prefix; 0: none */
  guint prefix_tokens; /* leading prompt tokens that it covers */
} DpTraceRequest;

typedef struct DpTrace
{
  gatomicrefcount refs;
  char name[64];
  guint64 seed;
  double one_way;     /* seconds between data centres */
  double load_lag;    /* age of load reports, seconds */
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

/* Reads a file; NULL with findings if it does not parse. */
DpTrace *dp_trace_read (const char *file, DpFindings *findings);
void dp_trace_write (const DpTrace *trace, GString *out);

/* The requests of one tier only, everything else the same. */
DpTrace *dp_trace_only_tier (const DpTrace *trace, guint tier);

typedef struct DpTraceOptions
{
  const char *name; /* "zadruga-first-light" or "mesa-before-noon" */
  guint64 seed;
  double seconds;  /* of arrivals */
  double overload; /* offered work relative to what the engines can do */
} DpTraceOptions;

/* Generates a trace; NULL if there is none of that name. The same options give the same trace.
 */
DpTrace *dp_trace_generate (const DpTraceOptions *options);
