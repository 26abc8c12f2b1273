/* Heartbeats to the owners of groups: list this entry's grants and pending grant requests. */
#include "core/entry_private.h"

#define HEARTBEAT_INTERVAL (500 * DP_USEC_PER_MSEC)

/* A row of a heartbeat and its destination. */
typedef struct HeldRow
{
  DpName owner;
  DpName group;
  DpHeldGrant held;
} HeldRow;

static int
compare_rows (gconstpointer a, gconstpointer b)
{
  const HeldRow *left = a;
  const HeldRow *right = b;
  if (left->owner != right->owner)
    return left->owner < right->owner ? -1 : 1;
  if (left->group != right->group)
    return left->group < right->group ? -1 : 1;
  return 0;
}

static gboolean
is_same_report (const HeldRow *a, const HeldRow *b)
{
  return a->owner == b->owner && a->group == b->group;
}

static HeldRow
make_row (const Request *request)
{
  const DpManifest *manifest = request->routes->manifest;
  HeldRow row = {
    .owner = request->owner.vm,
    .group = DP_MANIFEST_ROW (manifest, groups, DpGroup, request->group)->name,
    .held = {
      .attempt = request->attempt,
      .target = request->phase == PHASE_SENT ? request->target : 0,
      .tier = request->grant_ask.tier,
      .workspace = request->grant_ask.workspace,
      .model = request->grant_ask.model,
      .tokens = request->grant_ask.prompt_tokens + request->grant_ask.output_tokens,
      .started = request->time_to_first_token > 0,
    },
  };
  return row;
}

static GArray *
collect_rows (DpEntryCore *core)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (HeldRow));
  for (DpHandle h = dp_table_next (core->requests, 0); h != 0;
       h = dp_table_next (core->requests, h))
    {
      const Request *request = entry_request (core, h);
      if (request->owner.vm == 0 || request->group < 0)
        continue;
      HeldRow row = make_row (request);
      g_array_append_val (rows, row);
    }
  g_array_sort (rows, compare_rows);
  return rows;
}

/* Sends rows[first..end), all with the same owner and group, in as many messages as needed. */
static void
send_report (DpEntryCore *core, const GArray *rows, guint first, guint end)
{
  const HeldRow *head = &g_array_index (rows, HeldRow, first);
  DpPeer owner = { .vm = head->owner, .role = DP_ROLE_SCHEDULER };
  for (guint part = 0; first < end; part++)
    {
      DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
      DpGrantHeld *report = &message.grant_held;
      report->group = head->group;
      report->incarnation = core->options.incarnation;
      report->part = part;
      while (first < end && report->count < DP_HELD_GRANTS_MAX)
        report->held[report->count++] = g_array_index (rows, HeldRow, first++).held;
      report->last = first == end;
      entry_send (core, owner, &message);
    }
}

void
entry_heartbeat_tick (DpEntryCore *core)
{
  if (core->now - core->last_heartbeat_at < HEARTBEAT_INTERVAL)
    return;
  core->last_heartbeat_at = core->now;
  GArray *rows = collect_rows (core);
  for (guint first = 0; first < rows->len;)
    {
      const HeldRow *head = &g_array_index (rows, HeldRow, first);
      guint end = first + 1;
      while (end < rows->len && is_same_report (head, &g_array_index (rows, HeldRow, end)))
        end++;
      send_report (core, rows, first, end);
      first = end;
    }
  g_array_unref (rows);
}
