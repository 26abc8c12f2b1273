/* Which target has which prompt prefix cached: our own record of what was sent, corrected by
 * the targets' late cache events and by the cached tokens that they count.
 *
 * A group keeps, for each block, the set of its targets that have it, as a bit mask by the
 * target's place; so one walk over a prompt's blocks finds the cached length on all targets. */
#include "core/scheduler_private.h"

/* Blocks remembered of a target that does not state its cache's size. */
#define BLOCKS_DEFAULT 4096
/* Fewer cached tokens are not waited for. */
#define SAVED_TOKENS_MIN 128
/* A request spends at most this part of its slack on waiting for a cached prefix. */
#define SLACK_DIVISOR 4

G_STATIC_ASSERT (DP_GROUP_TARGETS_MAX <= 64);

/* Targets of a group that have one block. */
typedef struct BlockTargets
{
  guint64 block;
  guint64 mask;
} BlockTargets;

/* One block in a target's record. */
typedef struct CachedBlock
{
  guint64 block;
  GList link; /* by last use, newest first */
} CachedBlock;

static guint64
mask_of (const DpTargetState *target)
{
  return (guint64)1 << target->index_in_group;
}

static guint
capacity (const DpTargetState *target)
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
  row->mask |= mask_of (target);
}

static void
clear_mask (DpGroupState *group, const DpTargetState *target, guint64 block)
{
  BlockTargets *row = g_hash_table_lookup (group->blocks, &block);
  if (row == NULL)
    return;
  row->mask &= ~mask_of (target);
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
  if (target->cached_by_use.length <= capacity (target))
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
  /* the last token is always computed */
  return MIN (tokens, MAX (grant->prompt_tokens, 1) - 1);
}

static void
remove_from (DpGroupState *group, DpTargetState *target, const DpGrant *grant, guint first)
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
dp_prefix_forget (DpGroupState *group, DpTargetState *target)
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
      for (guint64 rest = mask; rest != 0; rest &= rest - 1)
        match->blocks[g_bit_nth_lsf (rest, -1)] += 1;
      if (mask == 0)
        return;
    }
}

double
dp_prefix_cached (const DpTargetState *target, const DpGrant *grant, const DpPrefixMatch *match)
{
  return cached_tokens (target, grant, match->blocks[target->index_in_group]);
}

double
dp_prefix_cached_on (const DpTargetState *target, const DpGrant *grant)
{
  guint blocks = 0;
  while (blocks < grant->prefix_count
         && g_hash_table_contains (target->cached, &grant->prefix[blocks]))
    blocks++;
  return cached_tokens (target, grant, blocks);
}

/* The wait is worth at most the prefill time that it saves, and a part of the time left. */
gboolean
dp_prefix_should_wait (const DpSchedulerCore *core,
                       const DpTargetState *target,
                       const DpGrant *grant,
                       double cached)
{
  double saved = grant->best_cached - cached;
  if (saved < SAVED_TOKENS_MIN || target->prefill_speed <= 0)
    return FALSE;
  DpUsec patience = (DpUsec)(saved / target->prefill_speed * (double)DP_USEC_PER_SEC);
  patience = MIN (patience, DP_PREFIX_WAIT_MAX_USEC);
  patience = MIN (patience, (grant->latest_start - grant->arrived) / SLACK_DIVISOR);
  return core->now - grant->arrived < patience;
}

void
dp_prefix_sent (DpGroupState *group, DpTargetState *target, const DpGrant *grant)
{
  for (guint i = grant->prefix_count; i > 0; i--)
    add_block (group, target, grant->prefix[i - 1]);
}

void
dp_prefix_not_computed (DpGroupState *group, DpTargetState *target, const DpGrant *grant)
{
  remove_from (group, target, grant, (guint)(grant->cached_tokens / DP_PREFIX_BLOCK_TOKENS));
}

void
dp_prefix_counted (DpGroupState *group,
                   DpTargetState *target,
                   const DpGrant *grant,
                   guint counted)
{
  if (counted + DP_PREFIX_BLOCK_TOKENS < grant->cached_tokens)
    {
      /* it computed the prompt again, so it has it now; but the record was wrong */
      target->cache_uncertain = TRUE;
      return;
    }
  if (grant->cached_tokens > 0)
    target->cache_uncertain = FALSE;
}

void
dp_prefix_events (DpGroupState *group, DpTargetState *target, const DpLoadReport *load)
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
