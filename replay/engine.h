/* Model of an inference engine: continuous batching with serial prefill, shared decode
 * throughput, a limited number of slots, bounded KV memory and a prefix cache. All times are
 * virtual, in seconds.
 */
#pragma once

#include "common/id.h"
#include "core/scheduler.h"
#include "replay/trace.h"

typedef struct DpEngineModel DpEngineModel;

/* An attempt to be run by the engine. */
typedef struct DpEngineWork
{
  DpId attempt;
  guint request; /* index chosen by the caller, returned in outputs */
  guint prompt;  /* tokens */
  guint output;  /* tokens */
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
  guint cached_tokens; /* prompt tokens found in the prefix cache */
} DpEngineOutput;

DpEngineModel *dp_engine_model_new (const DpTraceEngine *engine);
void dp_engine_model_free (DpEngineModel *model);

/* For these calls the model must have been advanced to `now`. */
void dp_engine_model_add (DpEngineModel *model, double now, const DpEngineWork *work);
void dp_engine_model_cancel (DpEngineModel *model, double now, DpId attempt);
void dp_engine_model_set_slowdown (DpEngineModel *model, double now, double factor);

/* Time of the next output without further input; G_MAXDOUBLE if there is none. */
double dp_engine_model_next_change (const DpEngineModel *model);
/* Runs the model until `now` and appends each DpEngineOutput to `outputs`. */
void dp_engine_model_advance (DpEngineModel *model, double now, GArray *outputs);

/* Requests that hold a slot (in prefill or decode), and requests in the engine's queue. */
void dp_engine_model_get_load (const DpEngineModel *model, guint *running, guint *waiting);
/* Total prompt tokens computed since creation. */
double dp_engine_model_prefilled_tokens (const DpEngineModel *model);
/* Prompt tokens computed for a running attempt; 0 if the attempt is not running. */
double dp_engine_model_attempt_prefilled_tokens (const DpEngineModel *model, DpId attempt);
gboolean dp_engine_model_has_block (const DpEngineModel *model, guint64 block);
/* All DpCacheEvent since creation; owned by the model. */
const GArray *dp_engine_model_cache_events (const DpEngineModel *model);
