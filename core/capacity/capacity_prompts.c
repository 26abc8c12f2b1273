/* Prompts that a target has been given and has not read yet. A model engine reads them one
 * after another, in chunks between the tokens of running requests. */
#include "core/capacity/capacity_private.h"

void
dp_capacity_add_prompt (DpCapacity *capacity, guint tokens, DpUsec now)
{
  if (capacity->prompts == 0)
    capacity->reading_since = now;
  capacity->prompts++;
  capacity->tokens += tokens;
}

void
dp_capacity_remove_prompt (DpCapacity *capacity, guint tokens, DpUsec now)
{
  if (capacity->prompts == 0)
    return;
  capacity->prompts--;
  capacity->tokens -= MIN (tokens, capacity->tokens);
  capacity->reading_since = now;
}

guint
dp_capacity_prompts (const DpCapacity *capacity)
{
  return capacity->prompts;
}

guint
dp_capacity_tokens_ahead (const DpCapacity *capacity, double ms_per_token, DpUsec now)
{
  if (capacity->prompts == 0)
    return 0;
  /* The order of the prompts isn't kept; a first event removes one of average length. */
  double first = (double)capacity->tokens / capacity->prompts;
  double elapsed_ms = (double)MAX (now - capacity->reading_since, 0) / (double)DP_USEC_PER_MSEC;
  double read = ms_per_token > 0 ? MIN (elapsed_ms / ms_per_token, first) : 0;
  return (guint)MIN ((double)capacity->tokens - read, 1e9);
}
