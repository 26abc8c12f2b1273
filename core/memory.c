#include "core/memory.h"

/* Fractions of the limit. The rest is left for socket buffers and responses in flight. */
#define SHORT_FRACTION 0.6
#define RECOVERED_FRACTION 0.5

gboolean
dp_memory_is_short (gsize used, gsize limit, gboolean was_short)
{
  return limit > 0
         && (double)used > (double)limit * (was_short ? RECOVERED_FRACTION : SHORT_FRACTION);
}
