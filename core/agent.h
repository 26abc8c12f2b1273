/* Control logic of an agent process: manifest acceptance, VM membership and the choice of the
 * VMs that watch the platform.
 *
 * Performs no I/O; events and actions follow the rules in core/entry.h. The core holds the
 * manifest in force, the member table and the state of each platform call. Only the first two
 * VMs of a data centre in rendezvous order watch the platform; the others learn from peers.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* Interval at which the caller sends TICK events. */
#define DP_AGENT_TICK_INTERVAL (100 * DP_USEC_PER_MSEC)

typedef struct DpAgentOptions
{
  DpVm self; /* name, data_centre, text and address are set */
  char data_centre[64];
  guint64 start; /* increases with each agent start, for example Unix time in microseconds */
  guint64 seed;
  const DpVm *peers; /* configured peers, for a start during a platform outage; copied */
  guint peer_count;
  DpCounters *counters; /* the core takes a reference */
} DpAgentOptions;

/* --- platform calls: at most one of each kind is in flight --- */

typedef enum DpAgentCall
{
  DP_AGENT_CALL_WATCH_PROPOSED,
  DP_AGENT_CALL_WATCH_ACCEPTED,
  DP_AGENT_CALL_WATCH_VMS,
  DP_AGENT_CALL_READ_ACCEPTED,
  DP_AGENT_CALL_READ_TEXT,
  DP_AGENT_CALL_WRITE_TEXT,
  DP_AGENT_CALL_WRITE_ACCEPTED,
  DP_AGENT_CALL_READ_STATUS,
  DP_AGENT_CALL_WRITE_STATUS,
  DP_AGENT_CALL_COUNT,
} DpAgentCall;

/* Same meanings as DpPlatformResult (platform/client.h). */
typedef enum DpAgentResult
{
  DP_AGENT_OK,
  DP_AGENT_UNCHANGED,
  DP_AGENT_NOT_FOUND,
  DP_AGENT_CONFLICT,
  DP_AGENT_UNAVAILABLE,
  DP_AGENT_LOST,
  DP_AGENT_BROKEN,
} DpAgentResult;

/* --- events --- */

typedef enum DpAgentEventType
{
  DP_AGENT_EVENT_TICK,
  DP_AGENT_EVENT_MESSAGE,
  DP_AGENT_EVENT_PLATFORM,
  DP_AGENT_EVENT_STOP, /* SIGTERM */
} DpAgentEventType;

/* Result of a platform call. Each PLATFORM action gets exactly one. */
typedef struct DpAgentReply
{
  DpAgentCall call;
  DpAgentResult result;
  guint64 version;
  GBytes *value; /* set for an OK read or watch, otherwise NULL; borrowed */
} DpAgentReply;

typedef struct DpAgentEvent
{
  DpAgentEventType type;
  DpUsec now; /* monotonic clock */
  union
  {
    struct
    {
      DpPeer from;
      const DpMessage *message;
    };
    DpAgentReply reply;
  };
} DpAgentEvent;

/* --- actions --- */

typedef enum DpAgentActionType
{
  DP_AGENT_ACTION_SEND,
  DP_AGENT_ACTION_PLATFORM,
  DP_AGENT_ACTION_LOG,
  DP_AGENT_ACTION_EXIT, /* shutdown is complete: the process may exit */
} DpAgentActionType;

typedef enum DpAgentCallType
{
  DP_AGENT_READ,
  DP_AGENT_WATCH,
  DP_AGENT_WRITE,
} DpAgentCallType;

typedef struct DpAgentPlatformCall
{
  DpAgentCall call;
  DpAgentCallType type;
  char path[128];
  guint64 version;   /* as in DpPlatformCall */
  DpUsec watch_time; /* as in DpPlatformCall; 0 unless a watch */
  GBytes *value;     /* writes only; owned by the action */
} DpAgentPlatformCall;

typedef struct DpAgentLog
{
  const char *event; /* static string */
  gboolean warning;
  guint64 revision;
  guint64 digest;
  guint64 other_digest; /* conflicting digest; 0 if none */
  char *detail;         /* owned by the action; may be NULL */
} DpAgentLog;

typedef struct DpAgentAction
{
  DpAgentActionType type;
  union
  {
    struct
    {
      DpPeer to;
      DpMessage message; /* owned by the action */
    };
    DpAgentPlatformCall platform;
    DpAgentLog log;
  };
} DpAgentAction;

/* Frees what the action owns. */
void dp_agent_action_clear (gpointer action);

/* Returns an empty GArray of DpAgentAction that clears its elements. Free with
 * g_array_unref(). */
GArray *dp_agent_actions_new (void);

/* --- core --- */

typedef struct DpAgentCore DpAgentCore;

DpAgentCore *dp_agent_core_new (const DpAgentOptions *options);
DpAgentCore *dp_agent_core_ref (DpAgentCore *core);
void dp_agent_core_unref (DpAgentCore *core);

/* Handles one event and appends the resulting actions, to be executed in order. */
void dp_agent_handle (DpAgentCore *core, const DpAgentEvent *event, GArray *actions);

/* Returns the manifest in force, or NULL. Owned by the core. */
const DpManifest *dp_agent_manifest (const DpAgentCore *core);

/* Returns the view published to this VM's entry and scheduler. Owned by the core. */
DpView *dp_agent_view (DpAgentCore *core);

/* Returns the same view with dead VMs listed as suspect: the agent still probes them, because
 * they may come back. Owned by the core; replaced together with the view. */
DpView *dp_agent_probe_view (DpAgentCore *core);

/* Returns TRUE if this VM watches the platform on behalf of its data centre. */
gboolean dp_agent_is_watcher (const DpAgentCore *core);

/* Returns the agent's status as a JSON object, for operators. Free with g_free(). */
char *dp_agent_format_status (const DpAgentCore *core);
