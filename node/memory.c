/* Checks memory use against the platform's limit; new requests are refused well below it. */
#include "node/node.h"

#include "common/log.h"
#include "core/memory.h"

#include <malloc.h>

#define CHECK_INTERVAL (200 * DP_USEC_PER_MSEC)
/* Responses that are being received may take this part of the memory. A buffer that grows may
 * be twice as large as its contents, and exists twice while it grows. */
#define RESPONSES_DIVISOR 8
/* Bodies of requests, of which calls to targets hold a copy: with the reserve of a quarter for
 * short ones a sixth. */
#define BODIES_DIVISOR 7.5
/* Long heads of requests, with the copy that a call to a target holds. */
#define HEADS_DIVISOR 16
/* Responses that callers have not read, outside of the kernel. */
#define UNREAD_DIVISOR 20
/* Connections of callers. */
#define CONNECTIONS_DIVISOR 8
/* Of an idle connection 4 KB; with input read ahead, a short head or a short response that
 * isn't read up to 10 KB. */
#define CONNECTION_BYTES 10240
/* Buffers of tunnels. */
#define TUNNELS_DIVISOR 20
/* Less makes tunnels slow. */
#define TUNNEL_BUFFER_MIN ((gsize)4096)

/* Allocated bytes, memory-mapped blocks included. */
static gsize
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

static DpByteBudget *
create_budget (const DpNode *node, double divisor)
{
  gsize limit = node->params.memory_max;
  return dp_byte_budget_new (limit > 0 ? (gsize)((double)limit / divisor) : G_MAXSIZE);
}

void
dp_memory_start (DpNode *node)
{
  node->response_budget = create_budget (node, RESPONSES_DIVISOR);
  node->client_budgets = (DpHttpBudgets){ .bodies = create_budget (node, BODIES_DIVISOR),
                                          .heads = create_budget (node, HEADS_DIVISOR),
                                          .unread = create_budget (node, UNREAD_DIVISOR) };
  dp_process_set_client_budgets (node->process, &node->client_budgets);
}

void
dp_memory_stop (DpNode *node)
{
  dp_process_set_client_budgets (node->process, &(DpHttpBudgets){ 0 });
  dp_byte_budget_free (node->response_budget);
  dp_byte_budget_free (node->client_budgets.bodies);
  dp_byte_budget_free (node->client_budgets.heads);
  dp_byte_budget_free (node->client_budgets.unread);
}

guint
dp_memory_connections_max (gsize memory_max)
{
  gsize most = memory_max / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
  return memory_max > 0 ? (guint)CLAMP (most, 2, G_MAXINT) : G_MAXINT;
}

gsize
dp_memory_tunnel_buffer (const DpNodeParams *params, gsize most)
{
  if (params->memory_max == 0)
    return most;
  /* One for each direction. */
  gsize share = params->memory_max / TUNNELS_DIVISOR / params->tunnels_max / 2;
  return CLAMP (share, TUNNEL_BUFFER_MIN, most);
}

static void
set_bytes (const DpNode *node, const char *counter, const DpByteBudget *budget)
{
  dp_counters_set (node->counters, counter, NULL, NULL, (guint)dp_byte_budget_total (budget));
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
  set_bytes (node, "dogwoodplank_response_bytes", node->response_budget);
  set_bytes (node, "dogwoodplank_body_bytes", node->client_budgets.bodies);
  set_bytes (node, "dogwoodplank_head_bytes", node->client_budgets.heads);
  set_bytes (node, "dogwoodplank_unread_bytes", node->client_budgets.unread);
  if (is_short == node->is_memory_short)
    return;
  node->is_memory_short = is_short;
  char text[24], requests[16];
  g_snprintf (text, sizeof text, "%zu", used);
  g_snprintf (requests, sizeof requests, "%u", dp_table_count (node->requests));
  dp_log (DP_LOG_WARNING, is_short ? "memory_short" : "memory_regained", "used", text,
          "requests", requests, NULL);
}
