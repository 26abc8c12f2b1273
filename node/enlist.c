/* This VM's own entry in the list of VMs: written at the start and whenever somebody has
 * removed it, removed at a stop. */
#include "node/node.h"

#include "common/log.h"
#include "platform/records.h"

#include <string.h>

/* Answers come within milliseconds; slow days take some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
/* The store's return is noticed by watches first; this is no hurry. */
#define RETRY_TIME (300 * DP_USEC_PER_MSEC)

struct DpEnlist
{
  DpNode *node;
  struct event *due;
  gboolean is_writing;
  gboolean is_leaving;
};

static void on_enlisted (const DpPlatformReply *reply, gpointer data);

DpVm
dp_enlist_row (const DpNode *node)
{
  DpVm vm = { .name = node->self,
              .data_centre = dp_name (node->settings->process.data_centre),
              .state = DP_VM_LIVE,
              .weight = node->figures.weight };
  g_strlcpy (vm.text, node->settings->process.name, sizeof vm.text);
  g_strlcpy (vm.address, node->settings->process.address, sizeof vm.address);
  return vm;
}

static void
schedule (DpEnlist *enlist, DpUsec delay)
{
  const struct timeval tv
    = { .tv_sec = delay / DP_USEC_PER_SEC, .tv_usec = delay % DP_USEC_PER_SEC };
  event_add (enlist->due, &tv);
}

/* One that an earlier process, or an earlier VM of the name, has left is replaced. */
static void
write_entry (DpEnlist *enlist, DpPlatformCallType type)
{
  DpVm vm = dp_enlist_row (enlist->node);
  char *body = dp_records_write_vm (&vm, enlist->node->settings->process.data_centre);
  char *path = type == DP_PLATFORM_REPLACE ? g_strconcat (DP_KIND_VMS "/", vm.text, NULL)
                                           : g_strdup (DP_KIND_VMS);
  const DpPlatformCall call = {
    .type = type, .path = path, .value = body, .length = strlen (body), .timeout = CALL_TIMEOUT
  };
  enlist->is_writing = TRUE;
  dp_platform_client_call (enlist->node->store, &call, on_enlisted, enlist);
  g_free (path);
  g_free (body);
}

static void
on_enlisted (const DpPlatformReply *reply, gpointer data)
{
  DpEnlist *enlist = data;
  enlist->is_writing = FALSE;
  switch (reply->result)
    {
    case DP_PLATFORM_OK:
      dp_log (DP_LOG_NOTICE, "enlisted", "outcome", "ok", NULL);
      return;
    case DP_PLATFORM_CONFLICT:
      if (!enlist->is_leaving)
        write_entry (enlist, DP_PLATFORM_REPLACE);
      return;
    default:
      if (!enlist->is_leaving)
        schedule (enlist, RETRY_TIME);
      return;
    }
}

static void
on_due (evutil_socket_t fd, short what, void *user)
{
  DpEnlist *enlist = user;
  if (!enlist->is_writing && !enlist->is_leaving)
    write_entry (enlist, DP_PLATFORM_CREATE);
}

static void
on_left (const DpPlatformReply *reply, gpointer data)
{
  dp_log (DP_LOG_NOTICE, "delisted", "outcome", dp_platform_result_name (reply->result), NULL);
}

DpEnlist *
dp_enlist_new (DpNode *node)
{
  DpEnlist *enlist = g_new0 (DpEnlist, 1);
  enlist->node = node;
  enlist->due = evtimer_new (node->base, on_due, enlist);
  return enlist;
}

void
dp_enlist_free (DpEnlist *enlist)
{
  event_free (enlist->due);
  g_free (enlist);
}

void
dp_enlist_start (DpEnlist *enlist)
{
  schedule (enlist, 0);
}

void
dp_enlist_missing (DpEnlist *enlist)
{
  if (!enlist->is_leaving && !enlist->is_writing)
    schedule (enlist, RETRY_TIME);
}

static void
on_removed (const DpPlatformReply *reply, gpointer data)
{
  dp_log (DP_LOG_NOTICE, "vm_pruned", "outcome", dp_platform_result_name (reply->result), NULL);
}

void
dp_enlist_remove (DpEnlist *enlist, DpName vm)
{
  const DpVm *row = dp_view_find (enlist->node->view, vm);
  if (row == NULL)
    return;
  dp_log (DP_LOG_WARNING, "vm_gone", "name", row->text, NULL);
  char *path = g_strconcat (DP_KIND_VMS "/", row->text, NULL);
  const DpPlatformCall call
    = { .type = DP_PLATFORM_REMOVE, .path = path, .timeout = CALL_TIMEOUT };
  dp_platform_client_call (enlist->node->store, &call, on_removed, enlist);
  g_free (path);
}

void
dp_enlist_leave (DpEnlist *enlist)
{
  DpNode *node = enlist->node;
  enlist->is_leaving = TRUE;
  char *path = g_strconcat (DP_KIND_VMS "/", node->settings->process.name, NULL);
  const DpPlatformCall call
    = { .type = DP_PLATFORM_REMOVE, .path = path, .timeout = CALL_TIMEOUT };
  dp_platform_client_call (node->store, &call, on_left, enlist);
  g_free (path);
}
