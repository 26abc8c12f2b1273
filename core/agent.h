/* Decisions of an agent process: which manifest is in force, which VMs there are, and who in a
 * data centre talks to the platform.
 *
 * Sans I/O, with the same rules as core/entry.h. The board holds the manifest in force, the
 * member table and the state of each call to the platform. Only the two VMs that come first in
 * rendezvous order of their data centre watch the platform; the others learn from peers.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* Expected time between TICK events. */
#define DP_AGENT_TICK (100 * DP_USEC_PER_MSEC)

typedef struct DpAgentOptions
{
  DpVm self; /* name, data centre, text, address */
  char data_centre[64];
  guint64 start; /* rises with each start of the agent, for example microseconds of Unix time */
  guint64 seed;
  const DpVm *peers; /* from the settings, for a start while the platform is away; copied */
  guint peer_count;
  DpCounters *counters; /* a reference is taken */
} DpAgentOptions;

/* --- calls to the platform: at most one of each kind is under way --- */

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

/* As of the platform client (platform/client.h). */
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

/* Each PLATFORM action is answered by exactly one of these. */
typedef struct DpAgentReply
{
  DpAgentCall call;
  DpAgentResult result;
  guint64 version;
  GBytes *value; /* OK of a read or watch; else NULL */
} DpAgentReply;

typedef struct DpAgentEvent
{
  DpAgentEventType type;
  DpUsec now; /* monotonic */
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
  DP_AGENT_ACTION_EXIT, /* the VM has left: the process may end */
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
  guint64 version; /* as in DpPlatformCall */
  DpUsec watch_time;
  GBytes *value; /* writes; owned by the action */
} DpAgentPlatformCall;

typedef struct DpAgentLog
{
  const char *event; /* static text */
  gboolean warning;
  guint64 revision;
  guint64 digest;
  guint64 other_digest; /* of a conflict; 0: none */
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

void dp_agent_action_clear (gpointer action);

/* A GArray of DpAgentAction that clears its rows. */
GArray *dp_agent_actions_new (void);

/* --- the board --- */

typedef struct DpAgentBoard DpAgentBoard;

DpAgentBoard *dp_agent_board_new (const DpAgentOptions *options);
DpAgentBoard *dp_agent_board_ref (DpAgentBoard *board);
void dp_agent_board_unref (DpAgentBoard *board);

/* Handles one event; appends the actions to be carried out. */
void dp_agent_handle (DpAgentBoard *board, const DpAgentEvent *event, GArray *actions);

/* The manifest in force, or NULL. Owned by the board. */
const DpManifest *dp_agent_manifest (const DpAgentBoard *board);

/* The view as published to this VM's entry and scheduler. Owned by the board. */
DpView *dp_agent_view (DpAgentBoard *board);

/* The same with dead VMs as suspect ones: the agent still probes these, for they may come
 * back. Owned by the board; changes when the view does. */
DpView *dp_agent_probe_view (DpAgentBoard *board);

/* TRUE if this VM watches the platform for its data centre. */
gboolean dp_agent_is_watcher (const DpAgentBoard *board);

/* Status as a JSON object, for operators. Free with g_free(). */
char *dp_agent_format_status (const DpAgentBoard *board);
