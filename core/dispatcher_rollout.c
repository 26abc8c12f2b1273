/* Staged roll-outs in a pool's dispatcher, see core/rollout/rollout.h. */
#include "core/dispatcher_private.h"

void
dp_dispatcher_set_rollout (DpDispatcher *dispatcher,
                           const DpRolloutOptions *options,
                           const DpRolloutOrder *order,
                           DpUsec now,
                           GArray *outbox)
{
}

gboolean
dp_dispatcher_rollout_status (const DpDispatcher *dispatcher, DpRolloutStatus *status)
{
  return FALSE;
}
