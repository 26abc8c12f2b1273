#include "replay/engine.h"

#include "common/prefix.h"

/* Share of the key-value memory that keeps prefixes of finished requests. */
#define CACHE_SHARE 0.5
#define EPSILON 1e-9

typedef struct Job
{
  DpEngineWork work;
  guint cached;
  double prefill_left; /* tokens */
  double computed;     /* prompt tokens */
  double output_left;  /* tokens */
  gboolean decoding;
} Job;

struct DpEngineModel
{
  DpTraceEngine engine;
  double slowness;
  double now;
  GPtrArray *running; /* Job; the first one that is not decoding is in prefill */
  GQueue waiting;     /* Job */
  double kv_used;
  double prefilled;
  GHashTable *cache; /* block -> GList link in cache_by_use */
  GQueue cache_by_use;
  GArray *cache_events;
};

static double
job_tokens (const Job *job)
{
  return job->work.prompt + job->work.output;
}

static Job *
prefilling (const DpEngineModel *model)
{
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *job = g_ptr_array_index (model->running, i);
      if (!job->decoding)
        return job;
    }
  return NULL;
}

static guint
decoding_count (const DpEngineModel *model)
{
  guint count = 0;
  for (guint i = 0; i < model->running->len; i++)
    count += ((Job *)g_ptr_array_index (model->running, i))->decoding;
  return count;
}

static double
stream_speed (const DpEngineModel *model)
{
  double shared = model->engine.decode / (double)MAX (decoding_count (model), 1);
  return MIN (model->engine.stream, shared) / model->slowness;
}

static double
prefill_speed (const DpEngineModel *model)
{
  return model->engine.prefill / model->slowness;
}

static void
add_cache_event (DpEngineModel *model, DpCacheEventType type, guint64 block)
{
  DpCacheEvent event = { type, block };
  g_array_append_val (model->cache_events, event);
}

static void
touch_block (DpEngineModel *model, guint64 block)
{
  GList *link = g_hash_table_lookup (model->cache, &block);
  if (link != NULL)
    {
      g_queue_unlink (&model->cache_by_use, link);
      g_queue_push_head_link (&model->cache_by_use, link);
      return;
    }
  guint64 *key = g_new (guint64, 1);
  *key = block;
  g_queue_push_head (&model->cache_by_use, key);
  g_hash_table_insert (model->cache, key, model->cache_by_use.head);
  add_cache_event (model, DP_CACHE_STORED, block);
  guint most = (guint)(model->engine.kv_tokens * CACHE_SHARE / DP_PREFIX_BLOCK_TOKENS);
  if (model->cache_by_use.length <= most)
    return;
  guint64 *oldest = g_queue_pop_tail (&model->cache_by_use);
  add_cache_event (model, DP_CACHE_REMOVED, *oldest);
  g_hash_table_remove (model->cache, oldest);
  g_free (oldest);
}

static void
start_job (DpEngineModel *model, Job *job)
{
  guint blocks = 0;
  while (blocks < job->work.prefix_count
         && dp_engine_model_has_block (model, job->work.prefix[blocks]))
    blocks++;
  job->cached = MIN (blocks * DP_PREFIX_BLOCK_TOKENS, job->work.prompt - 1);
  job->prefill_left = job->work.prompt - job->cached;
}

/* Prefill starts when the job's turn comes: only then is the cache looked at. */
static void
begin_prefill (DpEngineModel *model)
{
  Job *job = prefilling (model);
  if (job != NULL && job->prefill_left < 0)
    start_job (model, job);
}

static void
admit (DpEngineModel *model)
{
  while (!g_queue_is_empty (&model->waiting) && model->running->len < model->engine.window)
    {
      Job *job = g_queue_peek_head (&model->waiting);
      gboolean fits = model->kv_used + job_tokens (job) <= model->engine.kv_tokens;
      if (!fits && model->running->len > 0)
        break;
      g_queue_pop_head (&model->waiting);
      model->kv_used += job_tokens (job);
      g_ptr_array_add (model->running, job);
    }
  begin_prefill (model);
}

static void
emit (GArray *outputs, DpEngineOutputType type, const Job *job)
{
  DpEngineOutput output = { type, job->work.attempt, job->work.request, job->cached };
  g_array_append_val (outputs, output);
}

static void
release (DpEngineModel *model, Job *job)
{
  model->kv_used -= job_tokens (job);
  g_ptr_array_remove (model->running, job);
}

/* Progress between two changes. */
static void
work_until (DpEngineModel *model, double now)
{
  double seconds = now - model->now;
  double speed = stream_speed (model);
  Job *job = prefilling (model);
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *other = g_ptr_array_index (model->running, i);
      if (other->decoding)
        other->output_left -= speed * seconds;
    }
  if (job != NULL)
    {
      double done = MIN (seconds * prefill_speed (model), job->prefill_left);
      job->prefill_left -= done;
      job->computed += done;
      model->prefilled += done;
    }
  model->now = now;
}

static void
finish_prefill (DpEngineModel *model, GArray *outputs)
{
  Job *job = prefilling (model);
  if (job == NULL || job->prefill_left > EPSILON)
    return;
  job->decoding = TRUE;
  for (guint i = job->work.prefix_count; i > 0; i--)
    touch_block (model, job->work.prefix[i - 1]);
  emit (outputs, DP_ENGINE_FIRST_TOKEN, job);
  begin_prefill (model);
}

static void
finish_jobs (DpEngineModel *model, GArray *outputs)
{
  for (guint i = model->running->len; i > 0; i--)
    {
      Job *job = g_ptr_array_index (model->running, i - 1);
      if (!job->decoding || job->output_left > EPSILON * model->engine.stream)
        continue;
      emit (outputs, DP_ENGINE_FINISHED, job);
      release (model, job);
      g_free (job);
    }
}

static Job *
find_job (const DpEngineModel *model, DpId attempt)
{
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *job = g_ptr_array_index (model->running, i);
      if (dp_id_equal (job->work.attempt, attempt))
        return job;
    }
  return NULL;
}

DpEngineModel *
dp_engine_model_new (const DpTraceEngine *engine)
{
  DpEngineModel *model = g_new0 (DpEngineModel, 1);
  model->engine = *engine;
  model->slowness = 1;
  model->running = g_ptr_array_new ();
  g_queue_init (&model->waiting);
  model->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&model->cache_by_use);
  model->cache_events = g_array_new (FALSE, FALSE, sizeof (DpCacheEvent));
  return model;
}

void
dp_engine_model_free (DpEngineModel *model)
{
  g_ptr_array_set_free_func (model->running, g_free);
  g_ptr_array_unref (model->running);
  g_queue_clear_full (&model->waiting, g_free);
  g_hash_table_unref (model->cache);
  g_queue_clear_full (&model->cache_by_use, g_free);
  g_array_unref (model->cache_events);
  g_free (model);
}

void
dp_engine_model_add (DpEngineModel *model, double now, const DpEngineWork *work)
{
  work_until (model, now);
  Job *job = g_new0 (Job, 1);
  job->work = *work;
  job->prefill_left = -1;
  job->output_left = work->output;
  g_queue_push_tail (&model->waiting, job);
  admit (model);
}

void
dp_engine_model_cancel (DpEngineModel *model, double now, DpId attempt)
{
  work_until (model, now);
  Job *job = find_job (model, attempt);
  if (job != NULL)
    release (model, job);
  for (GList *link = model->waiting.head; job == NULL && link != NULL; link = link->next)
    {
      Job *other = link->data;
      if (!dp_id_equal (other->work.attempt, attempt))
        continue;
      g_queue_delete_link (&model->waiting, link);
      job = other;
      break;
    }
  g_free (job);
  admit (model);
}

void
dp_engine_model_set_slowness (DpEngineModel *model, double now, double factor)
{
  work_until (model, now);
  model->slowness = factor;
}

double
dp_engine_model_next (const DpEngineModel *model)
{
  double next = G_MAXDOUBLE;
  double speed = stream_speed (model);
  Job *job = prefilling (model);
  if (job != NULL)
    next = model->now + MAX (job->prefill_left, 0) / prefill_speed (model);
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *other = g_ptr_array_index (model->running, i);
      if (other->decoding)
        next = MIN (next, model->now + MAX (other->output_left, 0) / speed);
    }
  return next;
}

void
dp_engine_model_advance (DpEngineModel *model, double now, GArray *outputs)
{
  while (dp_engine_model_next (model) <= now)
    {
      work_until (model, MAX (dp_engine_model_next (model), model->now));
      finish_prefill (model, outputs);
      finish_jobs (model, outputs);
      admit (model);
    }
  work_until (model, now);
}

void
dp_engine_model_load (const DpEngineModel *model, guint *running, guint *waiting)
{
  *running = model->running->len;
  *waiting = model->waiting.length;
}

double
dp_engine_model_prefilled (const DpEngineModel *model)
{
  return model->prefilled;
}

double
dp_engine_model_prefilled_for (const DpEngineModel *model, DpId attempt)
{
  const Job *job = find_job (model, attempt);
  return job != NULL ? job->computed : 0;
}

gboolean
dp_engine_model_has_block (const DpEngineModel *model, guint64 block)
{
  return g_hash_table_contains (model->cache, &block);
}

const GArray *
dp_engine_model_cache_events (const DpEngineModel *model)
{
  return model->cache_events;
}
