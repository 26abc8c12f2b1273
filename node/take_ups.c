/* Streams that callers take up after they broke off: which software version began each, so that
 * it goes on at the same version.
 *
 * A caller that takes up a broken stream arrives at any VM and names the request that brought
 * its first event. Each VM that forwards the first event of a stream tells two other VMs,
 * chosen by the request's id, which version began it: another version may register at any time.
 * While several versions serve, all VMs of a group are told in batches (stream_copies.c).
 *
 * The VM where the stream is taken up asks those who may know. If they don't, and this VM knows
 * of a single version, it asks the store whether others have registered: that the list of
 * targets was confirmed lately doesn't show that it is still complete. A stream whose version
 * can't be found out is refused.
 */
#include "node/node.h"

#include "common/log.h"

/* VMs that are told of a stream. */
#define WITNESSES_MAX 2
/* One more is asked: the VM that tells others may rank among the first itself. */
G_STATIC_ASSERT (DP_RANKED_VMS > WITNESSES_MAX);
/* An answer takes a round trip; a VM that was killed sends none. */
#define ANSWER_TIMEOUT (150 * DP_USEC_PER_MSEC)
/* Limits each wait for the store, repeated calls included. */
#define STORE_TIMEOUT (600 * DP_USEC_PER_MSEC)

static guint64
stream_of (const DpNodeRequest *request)
{
  const DpCallerRequest *caller = &request->caller;
  gboolean is_taken_up = caller->resume_after != NULL && caller->continues != NULL;
  return dp_name (is_taken_up ? caller->continues : request->id);
}

/* --- VMs that know a stream --- */

void
dp_take_ups_record (const DpNodeRequest *request)
{
  DpNode *node = request->node;
  guint64 stream = stream_of (request);
  DpName version = request->binding.version;
  dp_stream_copies_add_own (dp_node_copies_state (node), stream, version, dp_node_now ());
  DpMessage message = { .type = DP_MESSAGE_STREAM_VERSION };
  message.stream_version = (DpStreamVersion){ .stream = stream, .version = version };
  DpName vms[DP_RANKED_VMS];
  guint count = dp_peers_rank (node, stream, vms);
  dp_owners_prefer_available (node->owners, vms, count);
  guint told = 0;
  for (guint i = 0; i < count && told < WITNESSES_MAX; i++)
    {
      if (vms[i] == node->self)
        continue;
      dp_peers_send (node, vms[i], &message);
      told++;
    }
}

/* --- steps to find out a version --- */

static void
log_take_up (const DpNodeRequest *request, const char *outcome)
{
  char age[16], asked[16], answered[16];
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              (dp_node_now () - dp_directory_last_contact_at (request->node->directory))
                / DP_USEC_PER_MSEC);
  g_snprintf (asked, sizeof asked, "%u", request->vms_asked);
  g_snprintf (answered, sizeof answered, "%u", request->vms_answered);
  dp_counters_add (request->node->counters, "dogwoodplank_streams_taken_up_total", "version",
                   outcome, 1);
  dp_log (DP_LOG_INFO, "stream_taken_up", "request", request->id, "continues",
          request->caller.continues, "after", request->caller.resume_after, "version", outcome,
          "asked", asked, "answered", answered, "targets_age_ms", age, NULL);
}

/* TRUE unless a single version can have begun the stream as far as this VM knows, which may
 * know no targets yet. */
static gboolean
may_have_copies (const DpNodeRequest *request)
{
  const DpNode *node = request->node;
  return request->caller.continues != NULL
         && (dp_stream_copies_is_sharing (dp_node_copies_state (node))
             || dp_stream_versions_single (node, request->pool->name) == 0);
}

/* Asks the VMs that were told of the stream when it began, except for those that are asked for
 * their copies anyway. Returns their number. */
static guint
ask_witnesses (const DpNodeRequest *request, guint64 stream)
{
  DpNode *node = request->node;
  DpMessage message = { .type = DP_MESSAGE_STREAM_VERSION_ASK };
  message.stream_version = (DpStreamVersion){ .stream = stream, .pool = request->pool->name };
  gboolean asks_copies
    = may_have_copies (request) && dp_stream_copies_asks_all (dp_node_copies_state (node));
  DpName vms[DP_RANKED_VMS];
  guint count = dp_peers_rank (node, stream, vms);
  guint asked = 0;
  for (guint i = 0; i < count; i++)
    {
      gboolean has_copies
        = dp_owners_rules (node->owners, vms[i]) >= DP_RULES_LEVEL_STREAM_COPIES;
      if (vms[i] == node->self || (asks_copies && has_copies))
        continue;
      dp_peers_send (node, vms[i], &message);
      asked++;
    }
  return asked;
}

/* Sets the version, 0 if it can't be found out, and continues with the request. */
static void
resolve (DpNodeRequest *request, DpName version, const char *source)
{
  if (version != 0)
    request->binding = dp_version_binding_begun_at (version);
  request->version_step = DP_VERSION_STEP_NONE;
  log_take_up (request, version != 0 ? source : "unknown");
  dp_request_on_version (request);
}

/* --- streams that are taken up --- */

/* The check may find the second version, from which on there are copies. */
static const DpVersionStep version_steps[]
  = { DP_VERSION_STEP_WITNESSES, DP_VERSION_STEP_COPIES, DP_VERSION_STEP_CHECK,
      DP_VERSION_STEP_COPIES, DP_VERSION_STEP_STORED };

/* Begins a step. Returns FALSE if it can't help. */
static gboolean
begin_step (DpNodeRequest *request, DpVersionStep step)
{
  DpNode *node = request->node;
  DpUsec now = dp_node_now ();
  guint64 stream = stream_of (request);
  gboolean is_named = request->caller.continues != NULL;
  request->version_step = step;
  request->version_step_at = now;
  switch (step)
    {
    case DP_VERSION_STEP_WITNESSES:
      request->version_answers
        = (DpVersionAnswers){ .due = is_named ? ask_witnesses (request, stream) : 0 };
      request->vms_asked = request->version_answers.due;
      return request->version_answers.due > 0;
    case DP_VERSION_STEP_COPIES:
      if (request->has_asked_copies || !may_have_copies (request))
        return FALSE;
      request->has_asked_copies = TRUE;
      dp_stream_copies_ask (dp_node_copies_state (node), stream);
      return TRUE;
    case DP_VERSION_STEP_CHECK:
      if (dp_stream_versions_single (node, request->pool->name) == 0)
        return FALSE;
      dp_stream_versions_start_check (node, now);
      return TRUE;
    case DP_VERSION_STEP_STORED:
      return may_have_copies (request) && !dp_node_copies_are_read (node, now);
    case DP_VERSION_STEP_NONE:
      break;
    }
  return FALSE;
}

/* Begins the first of the steps after the current one that can help. Returns FALSE if there is
 * none. */
static gboolean
begin_next_step (DpNodeRequest *request)
{
  while (request->version_steps_begun < G_N_ELEMENTS (version_steps))
    if (begin_step (request, version_steps[request->version_steps_begun++]))
      return TRUE;
  return FALSE;
}

/* The current step has not shown the version. */
static void
advance (DpNodeRequest *request)
{
  if (!begin_next_step (request))
    resolve (request, 0, NULL);
}

/* Everything that was registered when the check began is known: decides on the requests that
 * had arrived by then. */
void
dp_take_ups_on_checked (DpNode *node, DpUsec started_at)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0 && node->awaiting_version > 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage != DP_STAGE_AWAITING_VERSION
          || request->version_step != DP_VERSION_STEP_CHECK || request->arrived > started_at)
        continue;
      DpName single = dp_stream_versions_single (node, request->pool->name);
      if (single != 0)
        resolve (request, single, "single");
      else
        advance (request);
    }
}

DpVersionLookup
dp_take_ups_find (DpNodeRequest *request)
{
  DpNode *node = request->node;
  if (request->route->kind != DP_ROUTE_STREAM || request->caller.resume_after == NULL
      || request->binding.type != DP_VERSION_BINDING_FREE)
    return DP_VERSION_KNOWN;
  DpName version = 0;
  if (request->caller.continues != NULL)
    version = dp_versions_of_stream (dp_stream_versions_table (node), stream_of (request));
  if (version != 0)
    {
      request->binding = dp_version_binding_begun_at (version);
      log_take_up (request, "recorded");
      return DP_VERSION_KNOWN;
    }
  if (begin_next_step (request))
    return DP_VERSION_ASKED;
  log_take_up (request, "unknown");
  return DP_VERSION_UNKNOWN;
}

/* `version` is 0 if no witness knows the stream. */
static void
apply_answers (DpNodeRequest *request, DpName version)
{
  if (version != 0)
    resolve (request, version, "told");
  else
    advance (request);
}

static void
count_asked (DpNodeRequest *request)
{
  DpStreamCopiesAsked asked
    = dp_stream_copies_asked (dp_node_copies_state (request->node), stream_of (request));
  request->vms_asked = MAX (request->vms_asked, asked.vms);
  request->vms_answered = MAX (request->vms_answered, asked.answered);
}

/* Returns TRUE if the version is recorded by now and the request continues. */
static gboolean
resolve_recorded (DpNodeRequest *request)
{
  DpName version
    = dp_versions_of_stream (dp_stream_versions_table (request->node), stream_of (request));
  if (version == 0)
    return FALSE;
  resolve (request, version,
           request->version_step == DP_VERSION_STEP_STORED ? "stored" : "told");
  return TRUE;
}

static void
tick_copies (DpNodeRequest *request)
{
  DpStreamCopies *copies = dp_node_copies_state (request->node);
  count_asked (request);
  if (!resolve_recorded (request) && !dp_stream_copies_is_asking (copies, stream_of (request)))
    advance (request);
}

void
dp_take_ups_tick_request (DpNodeRequest *request, DpUsec now)
{
  DpNode *node = request->node;
  gboolean is_late = now - request->version_step_at > STORE_TIMEOUT;
  switch (request->version_step)
    {
    case DP_VERSION_STEP_WITNESSES:
      if (now - request->version_step_at > ANSWER_TIMEOUT)
        apply_answers (request, dp_version_answers_end (&request->version_answers));
      break;
    case DP_VERSION_STEP_COPIES:
      tick_copies (request);
      break;
    case DP_VERSION_STEP_CHECK:
      if (is_late)
        advance (request);
      else
        dp_stream_versions_start_check (node, now);
      break;
    case DP_VERSION_STEP_STORED:
      if (!resolve_recorded (request)
          && (is_late || dp_node_copies_are_read (node, request->version_step_at)))
        advance (request);
      break;
    case DP_VERSION_STEP_NONE:
      break;
    }
}

void
dp_take_ups_resolve_known (DpNode *node)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0 && node->awaiting_version > 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage == DP_STAGE_AWAITING_VERSION
          && request->version_step == DP_VERSION_STEP_COPIES)
        {
          count_asked (request);
          resolve_recorded (request);
        }
    }
}

/* A VM of level 0 that doesn't know the stream answers with the version that serves, if it
 * knows of a single one. Returns TRUE if a request awaits the version. */
static gboolean
apply_answer (DpNode *node, const DpStreamVersion *message, gboolean is_recorded)
{
  gboolean is_awaited = FALSE;
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0 && node->awaiting_version > 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage != DP_STAGE_AWAITING_VERSION
          || request->version_step != DP_VERSION_STEP_WITNESSES
          || stream_of (request) != message->stream)
        continue;
      is_awaited = TRUE;
      request->vms_answered++;
      DpName found;
      if (dp_version_answers_add (&request->version_answers, message->version, is_recorded,
                                  &found))
        apply_answers (request, found);
    }
  return is_awaited;
}

static void
on_version (DpNode *node, DpName from, const DpStreamVersion *message)
{
  DpVersions *table = dp_stream_versions_table (node);
  gboolean is_recorded = dp_owners_rules (node->owners, from) > 0;
  gboolean is_new = dp_versions_of_stream (table, message->stream) == 0;
  gboolean is_awaited = apply_answer (node, message, is_recorded);
  if (is_awaited && is_recorded && message->version != 0)
    dp_versions_record_stream (table, message->stream, message->version, dp_node_now ());
  else if (!is_awaited && message->version != 0 && (is_recorded || is_new))
    dp_stream_copies_add_witnessed (dp_node_copies_state (node), from, message->stream,
                                    message->version, dp_node_now ());
}

static void
on_ask (DpNode *node, DpName from, const DpStreamVersion *message)
{
  DpMessage answer = { .type = DP_MESSAGE_STREAM_VERSION };
  answer.stream_version = (DpStreamVersion){
    .stream = message->stream,
    .version = dp_versions_of_stream (dp_stream_versions_table (node), message->stream),
  };
  dp_peers_send (node, from, &answer);
}

gboolean
dp_take_ups_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_STREAM_VERSION:
      on_version (node, from, &message->stream_version);
      return TRUE;
    case DP_MESSAGE_STREAM_VERSION_ASK:
      on_ask (node, from, &message->stream_version);
      return TRUE;
    default:
      return FALSE;
    }
}
