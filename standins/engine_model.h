/* Model of an engine that batches continuously: prefill in order of arrival at one rate, decode
 * at a total rate shared by the running streams, a limited cache of prompt prefixes.
 *
 * Sans I/O: the caller tells the time in each call. The model does not own the runs.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef enum EnginePhase
{
  ENGINE_WAITING,
  ENGINE_PREFILL,
  ENGINE_DECODE,
} EnginePhase;

typedef struct EngineRun
{
  /* set by the caller before engine_model_add() */
  guint prompt_tokens;
  const guint64 *blocks; /* hashes of the prompt's prefix; must outlive the run */
  guint block_count;
  guint tokens_from; /* tokens already delivered elsewhere */
  guint tokens_to;   /* tokens of the whole answer */
  gpointer owner;
  /* owned by the model */
  EnginePhase phase;
  guint cached_tokens;
  double prefilled; /* tokens computed so far */
  guint tokens;     /* tokens delivered, with those from elsewhere */
  double credit;    /* fraction of the next token */
} EngineRun;

typedef struct EngineModelOptions
{
  double prefill_rate; /* tokens a second; 0: no limit */
  double decode_rate;  /* tokens a second, all streams together; 0: no limit */
  double stream_rate;  /* tokens a second, each stream; 0: no limit */
  guint slots;         /* runs at once */
  guint cache_blocks;  /* prefix blocks kept */
  /* One token of the run. Returns FALSE if the run has been removed meanwhile. */
  gboolean (*token) (EngineRun *run, guint index);
} EngineModelOptions;

typedef struct EngineCacheEvent
{
  DpUsec time;
  gboolean stored; /* FALSE: removed */
  guint64 hash;
} EngineCacheEvent;

/* Counters, in tokens. */
typedef struct EngineModelStats
{
  guint64 prefill_computed;
  guint64 prefill_cached;
  guint64 prefill_wasted_before_first; /* computed for runs removed before their first token */
  guint64 prefill_wasted_unfinished;   /* ... after it, but before their last one */
  guint64 prefill_repeated;            /* computed for blocks that were computed here before */
  guint64 prefill_resumed;             /* computed again for answers begun elsewhere */
  guint64 decoded;
} EngineModelStats;

typedef struct EngineModel EngineModel;

EngineModel *engine_model_new (const EngineModelOptions *options);
void engine_model_free (EngineModel *model);

/* Divides all rates; 1 is the normal speed. */
void engine_model_slow_down (EngineModel *model, double factor);

void engine_model_add (EngineModel *model, EngineRun *run, DpUsec now);

/* Removes a run in any phase; counts its prefill as wasted if it hasn't finished. */
void engine_model_remove (EngineModel *model, EngineRun *run);

/* Lets the time pass; calls `token` for each token that falls due. */
void engine_model_advance (EngineModel *model, DpUsec now);

guint engine_model_running (const EngineModel *model);
guint engine_model_waiting (const EngineModel *model);
guint64 engine_model_tokens_held (const EngineModel *model);
const EngineModelStats *engine_model_stats (const EngineModel *model);

/* Events from number `first` on; numbers rise by one. Old ones are dropped. */
guint64 engine_model_first_event (const EngineModel *model);
guint64 engine_model_next_event (const EngineModel *model);
const EngineCacheEvent *engine_model_event (const EngineModel *model, guint64 number);
