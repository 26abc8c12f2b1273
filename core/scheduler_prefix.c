/* Prompt prefixes cached on targets. The record is made from the prompts sent to each target
 * and corrected by the cache events and the cached token counts that targets report later.
 *
 * For each block, a group keeps a bit mask of the targets that have it, so one pass over the
 * blocks of a prompt finds its cached length on all targets. */
#include "core/scheduler_private.h"

/* Blocks recorded for a target with an unknown cache size. */
#define BLOCKS_DEFAULT 4096
/* Waiting must save at least this many prompt tokens. */
#define TOKENS_SAVED_MIN 128
/* At most 1/SLACK_DIVISOR of the slack is spent on waiting for a cached prefix. */
#define SLACK_DIVISOR 4

G_STATIC_ASSERT (DP_GROUP_TARGETS_MAX <= 64);

/* Targets that have one block. */
typedef struct BlockTargets
{
  guint64 block;
  guint64 mask; /* bit i: target i of the group */
} BlockTargets;

/* A block in the record of a target. */
typedef struct CachedBlock
{
  guint64 block;
  GList link; /* in DpTargetState.cached_by_use */
} CachedBlock;

static guint64
target_bit (const DpTargetState *target)
{
  return (guint64)1 << target->index_in_group;
}

static guint
block_capacity (const DpTargetState *target)
{
  guint blocks = target->kv_tokens / DP_PREFIX_BLOCK_TOKENS;
  return blocks > 0 ? blocks : BLOCKS_DEFAULT;
}

static void
set_mask (DpGroupState *group, const DpTargetState *target, guint64 block)
{
  BlockTargets *row = g_hash_table_lookup (group->blocks, &block);
  if (row == NULL)
    {
      row = g_new0 (BlockTargets, 1);
      row->block = block;
      g_hash_table_insert (group->blocks, &row->block, row);
    }
  row->mask |= target_bit (target);
}

static void
clear_mask (DpGroupState *group, const DpTargetState *target, guint64 block)
{
  BlockTargets *row = g_hash_table_lookup (group->blocks, &block);
  if (row == NULL)
    return;
  row->mask &= ~target_bit (target);
  if (row->mask == 0)
    g_hash_table_remove (group->blocks, &block);
}

static void
remove_block (DpGroupState *group, DpTargetState *target, guint64 block)
{
  CachedBlock *cached = g_hash_table_lookup (target->cached, &block);
  if (cached == NULL)
    return;
  g_queue_unlink (&target->cached_by_use, &cached->link);
  clear_mask (group, target, block);
  g_hash_table_remove (target->cached, &block);
}

static void
add_block (DpGroupState *group, DpTargetState *target, guint64 block)
{
  CachedBlock *cached = g_hash_table_lookup (target->cached, &block);
  if (cached != NULL)
    {
      g_queue_unlink (&target->cached_by_use, &cached->link);
    }
  else
    {
      cached = g_new0 (CachedBlock, 1);
      cached->block = block;
      cached->link.data = cached;
      g_hash_table_insert (target->cached, &cached->block, cached);
      set_mask (group, target, block);
    }
  g_queue_push_head_link (&target->cached_by_use, &cached->link);
  if (target->cached_by_use.length <= block_capacity (target))
    return;
  const CachedBlock *oldest = g_queue_peek_tail (&target->cached_by_use);
  remove_block (group, target, oldest->block);
}

static double
cached_tokens (const DpTargetState *target, const DpGrant *grant, guint blocks)
{
  double tokens = (double)blocks * DP_PREFIX_BLOCK_TOKENS;
  if (target->cache_uncertain)
    tokens /= 2;
  /* the last prompt token is always computed */
  return MIN (tokens, MAX (grant->prompt_tokens, 1) - 1);
}

static void
remove_blocks_from (DpGroupState *group,
                    DpTargetState *target,
                    const DpGrant *grant,
                    guint first)
{
  for (guint i = first; i < grant->prefix_count; i++)
    remove_block (group, target, grant->prefix[i]);
}

void
dp_prefix_init_target (DpTargetState *target)
{
  target->cached = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&target->cached_by_use);
}

void
dp_prefix_clear_target (DpGroupState *group, DpTargetState *target)
{
  while (!g_queue_is_empty (&target->cached_by_use))
    {
      const CachedBlock *cached = g_queue_peek_head (&target->cached_by_use);
      remove_block (group, target, cached->block);
    }
  target->cache_uncertain = FALSE;
}

void
dp_prefix_match (const DpGroupState *group, const DpGrant *grant, DpPrefixMatch *match)
{
  memset (match, 0, sizeof *match);
  guint64 mask = ~(guint64)0;
  for (guint i = 0; i < grant->prefix_count; i++)
    {
      const BlockTargets *row = g_hash_table_lookup (group->blocks, &grant->prefix[i]);
      mask &= row != NULL ? row->mask : 0;
      for (guint64 bits = mask; bits != 0; bits &= bits - 1)
        match->blocks[g_bit_nth_lsf (bits, -1)] += 1;
      if (mask == 0)
        return;
    }
}

double
dp_prefix_matched_tokens (const DpTargetState *target,
                          const DpGrant *grant,
                          const DpPrefixMatch *match)
{
  return cached_tokens (target, grant, match->blocks[target->index_in_group]);
}

double
dp_prefix_cached_tokens (const DpTargetState *target, const DpGrant *grant)
{
  guint blocks = 0;
  while (blocks < grant->prefix_count
         && g_hash_table_contains (target->cached, &grant->prefix[blocks]))
    blocks++;
  return cached_tokens (target, grant, blocks);
}

/* The wait is limited to the prefill time that it saves and to a fraction of the slack. */
gboolean
dp_prefix_should_wait (const DpSchedulerCore *core,
                       const DpTargetState *target,
                       const DpGrant *grant,
                       double cached)
{
  double saved = grant->best_cached - cached;
  if (saved < TOKENS_SAVED_MIN || target->prefill_speed <= 0)
    return FALSE;
  DpUsec wait_max = (DpUsec)(saved / target->prefill_speed * (double)DP_USEC_PER_SEC);
  wait_max = MIN (wait_max, DP_PREFIX_WAIT_MAX_USEC);
  wait_max = MIN (wait_max, (grant->latest_start - grant->arrived) / SLACK_DIVISOR);
  return core->now - grant->arrived < wait_max;
}

void
dp_prefix_on_sent (DpGroupState *group, DpTargetState *target, const DpGrant *grant)
{
  for (guint i = grant->prefix_count; i > 0; i--)
    add_block (group, target, grant->prefix[i - 1]);
}

void
dp_prefix_on_aborted (DpGroupState *group, DpTargetState *target, const DpGrant *grant)
{
  remove_blocks_from (group, target, grant,
                      (guint)(grant->cached_tokens / DP_PREFIX_BLOCK_TOKENS));
}

void
dp_prefix_on_usage (DpGroupState *group,
                    DpTargetState *target,
                    const DpGrant *grant,
                    guint counted)
{
  if (counted + DP_PREFIX_BLOCK_TOKENS < grant->cached_tokens)
    {
      /* The target has just computed the prompt, so the blocks are cached now, but the record
       * was wrong. */
      target->cache_uncertain = TRUE;
      return;
    }
  if (grant->cached_tokens > 0)
    target->cache_uncertain = FALSE;
}

void
dp_prefix_on_cache_events (DpGroupState *group, DpTargetState *target, const DpLoadReport *load)
{
  if (load->cache_sequence > target->cache_sequence && target->cache_sequence != 0)
    target->cache_uncertain = TRUE;
  for (guint i = 0; i < load->cache_event_count; i++)
    {
      if (load->cache_sequence + i < target->cache_sequence)
        continue;
      const DpCacheEvent *event = &load->cache_events[i];
      if (event->type == DP_CACHE_STORED)
        add_block (group, target, event->block);
      else
        remove_block (group, target, event->block);
    }
  target->cache_sequence
    = MAX (target->cache_sequence, load->cache_sequence + load->cache_event_count);
}
