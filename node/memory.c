/* Checks memory use against the platform's limit; new requests are refused well below it. */
#include "node/node.h"

#include "common/log.h"
#include "core/memory.h"

#include <malloc.h>

#define CHECK_INTERVAL (200 * DP_USEC_PER_MSEC)
/* Responses that are being received may take this part of the memory. A buffer that grows may
 * be twice as large as its contents, and exists twice while it grows. */
#define RESPONSES_DIVISOR 8
/* Bodies of requests, of which calls to targets hold a copy. */
#define BODIES_DIVISOR 6

/* Allocated bytes, memory-mapped blocks included. */
static gsize
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

void
dp_memory_start (DpNode *node)
{
  gsize limit = node->params.memory_max;
  node->response_budget
    = dp_byte_budget_new (limit > 0 ? limit / RESPONSES_DIVISOR : G_MAXSIZE);
  node->body_budget = dp_byte_budget_new (limit > 0 ? limit / BODIES_DIVISOR : G_MAXSIZE);
}

void
dp_memory_tick (DpNode *node, DpUsec now)
{
  if (node->params.memory_max == 0 || now - node->memory_checked_at < CHECK_INTERVAL)
    return;
  node->memory_checked_at = now;
  gsize used = bytes_in_use ();
  gboolean is_short = dp_memory_is_short (used, node->params.memory_max, node->is_memory_short);
  dp_counters_set (node->counters, "dogwoodplank_memory_bytes", NULL, NULL, (guint)used);
  dp_counters_set (node->counters, "dogwoodplank_response_bytes", NULL, NULL,
                   (guint)dp_byte_budget_total (node->response_budget));
  dp_counters_set (node->counters, "dogwoodplank_body_bytes", NULL, NULL,
                   (guint)dp_byte_budget_total (node->body_budget));
  if (is_short == node->is_memory_short)
    return;
  node->is_memory_short = is_short;
  char text[24], requests[16];
  g_snprintf (text, sizeof text, "%zu", used);
  g_snprintf (requests, sizeof requests, "%u", dp_table_count (node->requests));
  dp_log (DP_LOG_WARNING, is_short ? "memory_short" : "memory_regained", "used", text,
          "requests", requests, NULL);
}
