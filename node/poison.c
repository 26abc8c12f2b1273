/* Requests that bring targets down, counted over all VMs.
 *
 * A VM on which a target breaks off tells two owners of the request's fingerprint, so that the
 * count survives one of them. From the second failure on, the owners tell all VMs; any VM on
 * which the request is then answered whole says so, which ends the count. At the third failure
 * the request is refused everywhere for a while, and after that stopped by its next failure.
 */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* Callers repeat at once; an engine takes seconds to return. Two failures happen to innocent
 * requests when engines fail in series. */
#define FAILURES_MAX 3
/* From so many on, all VMs watch the request. */
#define FAILURES_WATCHED 2
/* For so long callers are told to stay away. */
#define HOLD_TIME (60 * DP_USEC_PER_SEC)
#define MEMORY_TIME (600 * DP_USEC_PER_SEC)
/* About 100 bytes a row. */
#define ROWS_MAX 4096
#define OWNERS 2
/* Fingerprints are owned in so many parts: a VM keeps an order of all VMs for each key. */
#define OWNER_PARTS 16

DpQuarantineTable *
dp_poison_table_new (void)
{
  const DpQuarantineOptions options = { .failures_max = FAILURES_MAX,
                                        .block_duration = HOLD_TIME,
                                        .memory_duration = MEMORY_TIME,
                                        .rows_max = ROWS_MAX };
  return dp_quarantine_new (&options);
}

static guint64
hash_text (const char *text, guint64 seed)
{
  return text != NULL ? dp_hash_bytes (text, strlen (text) + 1, seed) : seed;
}

/* Of what makes two requests the same: caller, method, path and body. */
static guint64
fingerprint (DpNodeRequest *request)
{
  if (request->fingerprint != 0 || request->exchange == NULL)
    return request->fingerprint;
  gsize length;
  const char *body = dp_http_exchange_body (request->exchange, &length);
  guint64 hash = dp_hash_bytes (body, length, 0);
  hash = hash_text (request->said.access_key, hash);
  hash = hash_text (dp_http_exchange_method (request->exchange), hash);
  request->fingerprint = hash_text (dp_http_exchange_target (request->exchange), hash);
  return request->fingerprint;
}

static void
choose_owners (DpNode *node, guint64 print, DpName owners[OWNERS])
{
  DpUsec now = dp_node_now ();
  for (guint i = 0; i < OWNERS; i++)
    owners[i]
      = dp_owners_choose (node->owners, dp_name_pair (1 + print % OWNER_PARTS, i + 1), now);
}

static void
tell_all (DpNode *node, guint64 print)
{
  DpMessage message = dp_quarantine_message (node->poison, print, dp_node_now ());
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (vm->name != node->self)
        dp_peers_send (node, vm->name, &message);
    }
}

/* This VM owns the count. */
static void
count_failure (DpNode *node, guint64 print, DpName target)
{
  guint failures = dp_quarantine_record_failure (node->poison, print, target, dp_node_now ());
  if (failures < FAILURES_WATCHED)
    return;
  if (failures >= FAILURES_MAX)
    {
      char count[16], text[24];
      g_snprintf (count, sizeof count, "%u", failures);
      g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", print);
      dp_counters_add (node->counters, "dogwoodplank_quarantined_total", NULL, NULL, 1);
      dp_log (DP_LOG_WARNING, "request_quarantined", "fingerprint", text, "failures", count,
              NULL);
    }
  tell_all (node, print);
}

/* This VM owns the count. All VMs were told of it if they were to watch the request. */
static void
end_count (DpNode *node, guint64 print)
{
  DpMessage message = dp_quarantine_message (node->poison, print, dp_node_now ());
  if (dp_quarantine_clear (node->poison, print)
      && message.quarantine.failures >= FAILURES_WATCHED)
    tell_all (node, print);
}

static void
take_report (DpNode *node, const DpQuarantine *report)
{
  if (report->failures > 0)
    count_failure (node, report->fingerprint, report->target);
  else
    end_count (node, report->fingerprint);
}

/* `target` 0: the request was answered whole. */
static void
report (DpNode *node, guint64 print, DpName target)
{
  DpMessage message = { .type = DP_MESSAGE_QUARANTINE_REPORT };
  message.quarantine.fingerprint = print;
  message.quarantine.failures = target != 0 ? 1 : 0;
  message.quarantine.target = target;
  DpName owners[OWNERS];
  choose_owners (node, print, owners);
  gboolean owns = FALSE;
  for (guint i = 0; i < OWNERS; i++)
    {
      owns = owns || owners[i] == node->self;
      if (owners[i] != node->self && (i == 0 || owners[i] != owners[0]))
        dp_peers_send (node, owners[i], &message);
    }
  if (owns)
    take_report (node, &message.quarantine);
  else if (target != 0)
    dp_quarantine_record_failure (node->poison, print, target, dp_node_now ());
  else
    dp_quarantine_clear (node->poison, print);
}

gboolean
dp_poison_holds (DpNodeRequest *request, DpUsec *remaining)
{
  DpNode *node = request->node;
  if (dp_quarantine_count (node->poison) == 0)
    return FALSE;
  return dp_quarantine_blocks (node->poison, fingerprint (request), dp_node_now (), remaining);
}

void
dp_poison_failed (DpNodeRequest *request)
{
  guint64 print = fingerprint (request);
  if (print != 0)
    report (request->node, print, request->target);
}

void
dp_poison_answered (DpNodeRequest *request)
{
  DpNode *node = request->node;
  /* Known from the admission or from a failure; the caller's request is gone by now. */
  guint64 print = request->fingerprint;
  if (print != 0 && dp_quarantine_message (node->poison, print, 0).quarantine.failures > 0)
    report (node, print, 0);
}

gboolean
dp_poison_message (DpNode *node, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_QUARANTINE:
      dp_quarantine_merge (node->poison, &message->quarantine, dp_node_now ());
      return TRUE;
    case DP_MESSAGE_QUARANTINE_REPORT:
      take_report (node, &message->quarantine);
      return TRUE;
    default:
      return FALSE;
    }
}
