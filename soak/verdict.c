#include "soak/soak.h"

#include <string.h>

/* Events of a stream of the stand-in target. */
#define EVENTS 5

static gboolean
is_stream (SoakKind kind)
{
  return kind == SOAK_DRAFT || kind == SOAK_LETTER;
}

static gboolean
is_whole_stream (const GString *body)
{
  GString *wanted = g_string_new (NULL);
  for (guint i = 1; i <= EVENTS; i++)
    g_string_append_printf (wanted, "id: %u\ndata: piece %u\n\n", i, i);
  gboolean same = g_string_equal (wanted, body);
  g_string_free (wanted, TRUE);
  return same;
}

static gboolean
is_whole_body (const GString *body)
{
  static const char *const bodies[] = { "done\n", "first\n", "unframed\n" };
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    if (strcmp (body->str, bodies[i]) == 0)
      return TRUE;
  return FALSE;
}

static void
judge_success (SoakWorld *world,
               const char *id,
               const SoakRequest *request,
               const char *head,
               const GString *body)
{
  if (!node_kit_is_answer_to (head, id))
    soak_world_violation (world, "%s: a success without its id: %s", id, head);
  if (!node_kit_is_signed (head))
    soak_world_violation (world, "%s: a success without a signature", id);
  if (is_stream (request->kind) ? !is_whole_stream (body) : !is_whole_body (body))
    soak_world_violation (world, "%s: a success with a wrong body: %s", id, body->str);
}

/* A route that this process has served does not go away again. */
static void
judge_denial (SoakWorld *world, const char *id, const SoakRequest *request, int status)
{
  const SoakVm *vm = &world->vms[request->vm];
  gboolean may_be_old
    = request->kind == SOAK_NEW_ROUTE && status == 404
      && (request->incarnation != vm->incarnation || request->config_version > vm->config_seen);
  if (!may_be_old)
    soak_world_violation (world, "%s: status %d from %s, config %u, seen %u", id, status,
                          vm->name, request->config_version, vm->config_seen);
}

static void
note_config (SoakWorld *world, const SoakRequest *request)
{
  SoakVm *vm = &world->vms[request->vm];
  if (request->kind == SOAK_NEW_ROUTE && request->incarnation == vm->incarnation)
    vm->config_seen = MAX (vm->config_seen, request->config_version);
}

SoakEnd
soak_judge_answer (SoakWorld *world,
                   const char *id,
                   const SoakRequest *request,
                   const char *head,
                   const GString *body)
{
  int status = (int)g_ascii_strtoll (head + strlen ("HTTP/1.1 "), NULL, 10);
  switch (status)
    {
    case 200:
      judge_success (world, id, request, head, body);
      note_config (world, request);
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
      judge_denial (world, id, request, status);
      return SOAK_DENIED;
    }
}

/* A VM that is not disturbed answers what it has taken. */
static void
judge_closed (SoakWorld *world, const char *id, const SoakRequest *request, guint runs)
{
  const SoakVm *vm = &world->vms[request->vm];
  gboolean was_disturbed = request->incarnation != vm->incarnation
                           || (vm->disturbed_at > request->sent_at - 10 * DP_USEC_PER_SEC
                               && vm->disturbed_at < request->ended_at + DP_USEC_PER_SEC);
  if (request->end == SOAK_CLOSED && runs > 0 && !was_disturbed)
    soak_world_violation (world, "%s: ran, and its connection closed without an answer", id);
}

void
soak_judge_runs (SoakWorld *world)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, world->runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *id = key;
      guint runs = GPOINTER_TO_UINT (value);
      const SoakRequest *request = g_hash_table_lookup (world->requests, id);
      if (request == NULL)
        {
          soak_world_violation (world, "%s: ran, and no caller sent it", id);
          continue;
        }
      if (runs > 1 && (request->kind == SOAK_BOOK || request->kind == SOAK_LETTER))
        soak_world_violation (world, "%s: ran %u times", id, runs);
      if (request->end == SOAK_NOT_RUN)
        soak_world_violation (world, "%s: was said not to run, and ran %u times", id, runs);
      judge_closed (world, id, request, runs);
    }
  g_hash_table_iter_init (&iter, world->requests);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((SoakRequest *)value)->end == SOAK_SERVED && !g_hash_table_contains (world->runs, key))
      soak_world_violation (world, "%s: was served, and never ran", (const char *)key);
}
