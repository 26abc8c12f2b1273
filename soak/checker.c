#include "soak/soak.h"

#include <string.h>

/* Fewer say nothing of a share. */
#define TAKEN_UP_MIN 12
/* A VM that was not disturbed for so long is in touch. */
#define CONTACT_TIME (3 * DP_USEC_PER_SEC)

static gboolean
is_stream (SoakRequestKind kind)
{
  return kind == SOAK_DRAFT || kind == SOAK_LETTER || kind == SOAK_TAKE_UP;
}

guint
soak_last_event (const char *response, guint after)
{
  guint last = after;
  char event[48];
  do
    g_snprintf (event, sizeof event, "id: %u\ndata: piece %u\n\n", last + 1, last + 1);
  while (strstr (response, event) != NULL && ++last < SOAK_STREAM_EVENTS);
  return last;
}

static gboolean
is_complete_stream (const GString *body, guint after)
{
  GString *expected = g_string_new (NULL);
  for (guint i = after + 1; i <= SOAK_STREAM_EVENTS; i++)
    g_string_append_printf (expected, "id: %u\ndata: piece %u\n\n", i, i);
  gboolean is_complete = g_string_equal (expected, body);
  g_string_free (expected, TRUE);
  return is_complete;
}

static gboolean
is_known_body (const GString *body)
{
  static const char *const bodies[] = { "done\n", "first\n", "unframed\n" };
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    if (strcmp (body->str, bodies[i]) == 0)
      return TRUE;
  return FALSE;
}

static void
check_success (SoakCluster *cluster,
               const char *id,
               const SoakRequest *request,
               const char *head,
               const GString *body)
{
  if (!node_kit_is_answer_to (head, id))
    soak_cluster_add_violation (
      cluster, "%s: status 200 without the Request-Id of the request: %s", id, head);
  if (!node_kit_is_signed (head))
    soak_cluster_add_violation (cluster, "%s: status 200 without a target's signature", id);
  if (is_stream (request->kind) ? !is_complete_stream (body, request->last_event)
                                : !is_known_body (body))
    soak_cluster_add_violation (cluster, "%s: status 200 with a wrong body: %s", id, body->str);
}

/* A VM may answer 404 for a new route until its process has served that config version or a
 * newer one. */
static void
check_denial (SoakCluster *cluster, const char *id, const SoakRequest *request, int status)
{
  const SoakVm *vm = &cluster->vms[request->vm];
  gboolean may_be_unapplied = request->kind == SOAK_NEW_ROUTE && status == 404
                              && (request->incarnation != vm->incarnation
                                  || request->config_version > vm->newest_config_served);
  if (!may_be_unapplied)
    soak_cluster_add_violation (
      cluster, "%s: status %d from %s, config version %u, newest served by it %u", id, status,
      vm->name, request->config_version, vm->newest_config_served);
}

static void
record_config (SoakCluster *cluster, const SoakRequest *request)
{
  SoakVm *vm = &cluster->vms[request->vm];
  if (request->kind == SOAK_NEW_ROUTE && request->incarnation == vm->incarnation)
    vm->newest_config_served = MAX (vm->newest_config_served, request->config_version);
}

static void
count_take_up (SoakCluster *cluster, const SoakRequest *request, const GString *body)
{
  if (request->kind != SOAK_TAKE_UP
      || !soak_vm_is_undisturbed (&cluster->vms[request->vm], CONTACT_TIME))
    return;
  cluster->taken_up++;
  cluster->unknown += strstr (body->str, "stream_version_unknown") != NULL;
}

SoakOutcome
soak_check_response (SoakCluster *cluster,
                     const char *id,
                     const SoakRequest *request,
                     const char *head,
                     const GString *body)
{
  int status = (int)g_ascii_strtoll (head + strlen ("HTTP/1.1 "), NULL, 10);
  count_take_up (cluster, request, body);
  switch (status)
    {
    case 200:
      check_success (cluster, id, request, head, body);
      record_config (cluster, request);
      return SOAK_SERVED;
    case 408:
    case 421:
    case 429:
    case 503:
      return SOAK_NOT_RUN;
    case 500:
    case 502:
    case 504:
      return SOAK_FAILED;
    default:
      check_denial (cluster, id, request, status);
      return SOAK_DENIED;
    }
}

/* Unless it is killed, a VM must respond to each request that ran, also while it stops. */
static void
check_closed (SoakCluster *cluster, const char *id, const SoakRequest *request, guint runs)
{
  if (request->outcome == SOAK_CLOSED && runs > 0 && !request->vm_was_killed)
    soak_cluster_add_violation (cluster,
                                "%s: ran, but its connection to %s closed without a response",
                                id, cluster->vms[request->vm].name);
}

/* A stream goes on at the version that began it, and mostly does after VMs were lost. */
static void
check_take_ups (SoakCluster *cluster)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, cluster->requests);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const SoakRequest *request = value;
      guint first
        = GPOINTER_TO_UINT (g_hash_table_lookup (cluster->run_versions, request->resumes));
      guint then = GPOINTER_TO_UINT (g_hash_table_lookup (cluster->run_versions, key));
      if (request->kind == SOAK_TAKE_UP && first != 0 && then != 0 && (first & then) == 0)
        soak_cluster_add_violation (cluster, "%s: goes on with %s at another version",
                                    (const char *)key, request->resumes);
    }
  if (cluster->taken_up >= TAKEN_UP_MIN && 2 * cluster->unknown > cluster->taken_up)
    soak_cluster_add_violation (cluster, "nobody knew the version of %u of %u streams",
                                cluster->unknown, cluster->taken_up);
}

void
soak_check_runs (SoakCluster *cluster)
{
  check_take_ups (cluster);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, cluster->run_counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *id = key;
      guint runs = GPOINTER_TO_UINT (value);
      const SoakRequest *request = g_hash_table_lookup (cluster->requests, id);
      if (request == NULL)
        {
          soak_cluster_add_violation (cluster, "%s: ran, but no caller sent it", id);
          continue;
        }
      if (runs > 1 && (request->kind == SOAK_BOOK || request->kind == SOAK_LETTER))
        soak_cluster_add_violation (cluster, "%s: must not run twice, but ran %u times", id,
                                    runs);
      if (request->outcome == SOAK_NOT_RUN)
        soak_cluster_add_violation (cluster, "%s: was reported as not run, but ran %u times",
                                    id, runs);
      check_closed (cluster, id, request, runs);
    }
  g_hash_table_iter_init (&iter, cluster->requests);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((SoakRequest *)value)->outcome == SOAK_SERVED
        && !g_hash_table_contains (cluster->run_counts, key))
      soak_cluster_add_violation (cluster, "%s: was served, but never ran", (const char *)key);
}
