/* This VM's entry in the store's list of VMs: written at startup and whenever it is found
 * missing or changed by another writer, deleted at the end of a shutdown. VMs send nothing to
 * one that is not listed. */
#include "node/node.h"

#include "common/log.h"
#include "platform/records.h"

#include <string.h>

/* The store normally answers within milliseconds, under load within some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
/* Not urgent: the watches detect first that the store is reachable again. */
#define RETRY_DELAY (300 * DP_USEC_PER_MSEC)
/* After a restore all VMs write within this time. */
#define RESTORE_SPREAD DP_USEC_PER_SEC

/* Another writer may change the entry again and again. */
#define REWRITE_DELAY_MAX (10 * DP_USEC_PER_SEC)

struct DpRegistration
{
  DpNode *node;
  struct event *timer;
  gboolean must_write; /* the store may lack the entry */
  gboolean is_changed; /* the entry that was read last is not this VM's */
  gboolean is_writing;
  gboolean is_deleting; /* nothing is written any more */
  gboolean is_deleted;  /* or the store did not answer in time */
  DpUsec rewrite_delay; /* 0: no other writer changed the entry lately */
  DpUsec rewritten_at;
};

static void on_written (const DpPlatformReply *reply, gpointer data);

DpVm
dp_registration_own_vm (const DpNode *node)
{
  DpVm vm = { .name = node->self,
              .data_centre = dp_name (node->settings->process.data_centre),
              .state = DP_VM_LIVE,
              .weight = dp_vm_stated_weight (node->params.weight),
              .rules = DP_RULES_LEVEL };
  g_strlcpy (vm.text, node->settings->process.name, sizeof vm.text);
  g_strlcpy (vm.address, node->settings->process.address, sizeof vm.address);
  return vm;
}

static void
schedule (DpRegistration *registration, DpUsec delay)
{
  const struct timeval tv
    = { .tv_sec = delay / DP_USEC_PER_SEC, .tv_usec = delay % DP_USEC_PER_SEC };
  event_add (registration->timer, &tv);
}

/* REPLACE overwrites the entry of an earlier process or VM with the same name. */
static void
write_entry (DpRegistration *registration, DpPlatformCallType type)
{
  DpVm vm = dp_registration_own_vm (registration->node);
  char *body = dp_records_write_vm (&vm, registration->node->settings->process.data_centre);
  const DpPlatformCall call = { .type = type,
                                .path = DP_KIND_VMS,
                                .name = vm.text,
                                .value = body,
                                .length = strlen (body),
                                .timeout = CALL_TIMEOUT };
  registration->is_writing = TRUE;
  registration->must_write = TRUE;
  dp_platform_client_call (registration->node->store, &call, on_written, registration);
  g_free (body);
}

/* The delay doubles with each change that follows soon after a rewrite. */
static void
schedule_rewrite (DpRegistration *registration)
{
  if (event_pending (registration->timer, EV_TIMEOUT, NULL) != 0)
    return;
  DpUsec now = dp_node_now ();
  gboolean is_repeated = registration->rewrite_delay != 0
                         && now - registration->rewritten_at < 2 * REWRITE_DELAY_MAX;
  registration->rewrite_delay
    = is_repeated ? MIN (2 * registration->rewrite_delay, REWRITE_DELAY_MAX) : RETRY_DELAY;
  schedule (registration, registration->rewrite_delay);
}

static void
on_own_deleted (const DpPlatformReply *reply, gpointer data)
{
  DpRegistration *registration = data;
  registration->is_deleted = TRUE;
  dp_log (DP_LOG_NOTICE, "delisted", "outcome", dp_platform_result_name (reply->result), NULL);
}

static void
delete_entry (DpRegistration *registration)
{
  DpNode *node = registration->node;
  const DpPlatformCall call = { .type = DP_PLATFORM_REMOVE,
                                .path = DP_KIND_VMS,
                                .name = node->settings->process.name,
                                .timeout = CALL_TIMEOUT };
  dp_platform_client_call (node->store, &call, on_own_deleted, registration);
}

static void
on_written (const DpPlatformReply *reply, gpointer data)
{
  DpRegistration *registration = data;
  registration->is_writing = FALSE;
  if (reply->result == DP_PLATFORM_OK)
    {
      registration->must_write = FALSE;
      dp_log (DP_LOG_NOTICE, "enlisted", "outcome", "ok", NULL);
    }
  if (registration->is_deleting)
    delete_entry (registration);
  else if (reply->result == DP_PLATFORM_CONFLICT)
    write_entry (registration, DP_PLATFORM_REPLACE);
  else if (reply->result != DP_PLATFORM_OK)
    schedule (registration, RETRY_DELAY);
  else if (registration->is_changed)
    /* It may have been changed since. If not, it is read before the timer ends. */
    schedule_rewrite (registration);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  DpRegistration *registration = user;
  if (registration->is_writing)
    schedule (registration, RETRY_DELAY);
  else if (!registration->is_deleting && (registration->must_write || registration->is_changed))
    {
      registration->rewritten_at = dp_node_now ();
      write_entry (registration, DP_PLATFORM_CREATE);
    }
}

DpRegistration *
dp_registration_new (DpNode *node)
{
  DpRegistration *registration = g_new0 (DpRegistration, 1);
  registration->node = node;
  registration->timer = evtimer_new (node->base, on_timer, registration);
  return registration;
}

void
dp_registration_free (DpRegistration *registration)
{
  event_free (registration->timer);
  g_free (registration);
}

void
dp_registration_start (DpRegistration *registration)
{
  registration->must_write = TRUE;
  schedule (registration, 0);
}

void
dp_registration_on_missing (DpRegistration *registration)
{
  if (registration->is_deleting || registration->is_writing)
    return;
  registration->must_write = TRUE;
  schedule (registration, RETRY_DELAY);
}

void
dp_registration_on_read (DpRegistration *registration, const DpVm *entry)
{
  const DpVm own = dp_registration_own_vm (registration->node);
  gboolean was_changed = registration->is_changed;
  registration->is_changed = entry == NULL || strcmp (entry->address, own.address) != 0
                             || entry->data_centre != own.data_centre
                             || entry->weight != own.weight || entry->rules != own.rules;
  if (!registration->is_changed || registration->is_deleting || registration->is_writing
      || registration->must_write)
    return;
  if (!was_changed)
    dp_log (DP_LOG_WARNING, "own_entry_changed", "address",
            entry != NULL ? entry->address : NULL, NULL);
  schedule_rewrite (registration);
}

void
dp_registration_on_restored (DpRegistration *registration)
{
  registration->must_write = TRUE;
  if (!registration->is_deleting)
    schedule (registration, (DpUsec)(dp_process_random () % RESTORE_SPREAD));
}

static void
on_vm_deleted (const DpPlatformReply *reply, gpointer data)
{
  dp_log (DP_LOG_NOTICE, "vm_pruned", "outcome", dp_platform_result_name (reply->result), NULL);
}

void
dp_registration_delete_vm (DpRegistration *registration, DpName vm)
{
  const DpVm *row = dp_view_find (registration->node->view, vm);
  if (row == NULL)
    return;
  dp_log (DP_LOG_WARNING, "vm_gone", "name", row->text, NULL);
  const DpPlatformCall call = {
    .type = DP_PLATFORM_REMOVE, .path = DP_KIND_VMS, .name = row->text, .timeout = CALL_TIMEOUT
  };
  dp_platform_client_call (registration->node->store, &call, on_vm_deleted, registration);
}

void
dp_registration_delete_own (DpRegistration *registration)
{
  if (registration->is_deleting)
    return;
  registration->is_deleting = TRUE;
  if (!registration->is_writing)
    delete_entry (registration);
}

gboolean
dp_registration_is_deleted (const DpRegistration *registration)
{
  return registration->is_deleted;
}
