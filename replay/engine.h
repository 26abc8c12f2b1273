/* A small model of an engine: continuous batching with serial prefill, shared decode, slots,
 * bounded key-value memory and a prefix cache. Virtual time, seconds.
 */
#pragma once

#include "common/id.h"
#include "core/scheduler.h"
#include "replay/trace.h"

typedef struct DpEngineModel DpEngineModel;

/* One piece of work. */
typedef struct DpEngineWork
{
  DpId attempt;
  guint request; /* the caller's number for it */
  guint prompt;
  guint output;
  guint prefix_count;
  guint64 prefix[DP_PREFIX_BLOCKS_MAX];
} DpEngineWork;

typedef enum DpEngineOutputType
{
  DP_ENGINE_FIRST_TOKEN,
  DP_ENGINE_FINISHED,
} DpEngineOutputType;

typedef struct DpEngineOutput
{
  DpEngineOutputType type;
  DpId attempt;
  guint request;
  guint cached;
} DpEngineOutput;

DpEngineModel *dp_engine_model_new (const DpTraceEngine *engine);
void dp_engine_model_free (DpEngineModel *model);

void dp_engine_model_add (DpEngineModel *model, double now, const DpEngineWork *work);
void dp_engine_model_cancel (DpEngineModel *model, double now, DpId attempt);
void dp_engine_model_set_slowness (DpEngineModel *model, double now, double factor);

/* Time of the next change without new input; G_MAXDOUBLE if there is none. */
double dp_engine_model_next (const DpEngineModel *model);
/* Advances to `now`; appends DpEngineOutput rows. */
void dp_engine_model_advance (DpEngineModel *model, double now, GArray *outputs);

/* Requests that decode or prefill, and requests that wait in the engine. */
void dp_engine_model_load (const DpEngineModel *model, guint *running, guint *waiting);
/* Prompt tokens computed so far. */
double dp_engine_model_prefilled (const DpEngineModel *model);
/* Prompt tokens computed for the attempt, which must be in the engine. */
double dp_engine_model_prefilled_for (const DpEngineModel *model, DpId attempt);
gboolean dp_engine_model_has_block (const DpEngineModel *model, guint64 block);
/* Cache events since the start: DpCacheEvent. */
const GArray *dp_engine_model_cache_events (const DpEngineModel *model);
