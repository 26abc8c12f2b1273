/* The agent's blackboard; private to the core/agent*.c files.
 *
 * At each tick the controllers run in a fixed order: members (who is there), view (what is
 * published of it), manifest (what is in force), status (what the platform is told); then
 * agent.c tells this VM's entry and scheduler what has changed.
 */
#pragma once

#include "core/agent.h"

/* What probing says of a VM, as seen from here. */
typedef enum DpReach
{
  DP_REACH_UNKNOWN, /* not probed yet */
  DP_REACH_OK,
  DP_REACH_SUSPECT,
  DP_REACH_DEAD,
} DpReach;

/* What the platform's list says of a VM. */
typedef enum DpListed
{
  DP_LISTED_NOT,
  DP_LISTED_LIVE,
  DP_LISTED_LEAVING,
} DpListed;

/* One VM, other than this one. */
typedef struct DpMember
{
  DpVm vm; /* state: LIVE or LEAVING, as announced by the VM itself */
  DpListed listed;
  DpReach reach;
  DpUsec reach_since;
  guint64 probe_sequence; /* of the last probe sent */
  gboolean probe_open;    /* it has neither been answered nor timed out */
  DpUsec probe_sent;
  guint misses; /* probes in a row without an answer */
  gboolean probe_now;
  guint news_left;           /* probes that still carry this row */
  guint64 manifest_revision; /* in force there, as its probes say */
  guint64 introduced;        /* announcement of this VM that the other has answered to */
} DpMember;

/* State of one kind of call to the platform. */
typedef struct DpCallState
{
  gboolean open;
  guint failures; /* in a row */
  DpUsec not_before;
} DpCallState;

/* A manifest's text on its way to being accepted or put in force. */
typedef struct DpCandidate
{
  GBytes *text;
  DpManifest *manifest; /* NULL: none, or with findings */
} DpCandidate;

/* One of this VM's processes. */
typedef struct DpLocal
{
  gboolean known; /* has sent a HELLO */
  gboolean leaving;
  guint64 incarnation;
  guint64 manifest_revision;
  guint64 view_version;
  guint open_requests;
  DpUsec heard;
  DpUsec manifest_sent;
} DpLocal;

struct DpAgentBoard
{
  gatomicrefcount refs;
  DpAgentOptions options;
  GRand *random;
  DpUsec now;
  DpUsec last_tick;
  GArray *actions; /* of the event being handled; not owned */

  /* this VM */
  DpVm self; /* its announcement rises with each change of its own */
  gboolean stopping;
  gboolean listed_leaving; /* the platform's list says so, as seen here or by a peer */
  gboolean exited;
  DpUsec leaving_since;
  DpLocal locals[2]; /* by role: entry, scheduler */

  /* members */
  GHashTable *members; /* name -> DpMember */
  GPtrArray *order;    /* DpMember, not owned: shuffled; probed in turn */
  guint next_in_order;
  DpUsec next_probe;
  DpUsec next_far_probe; /* to a VM of another data centre; watchers only */
  guint64 sequence;
  gboolean members_changed;
  guint64 view_version;
  DpView *view;
  DpView *probe_view;

  /* manifest in force */
  DpManifest *manifest;
  GBytes *text;
  /* as last read from the platform */
  gboolean accepted_read;   /* since the last start or pause */
  guint64 accepted_version; /* 0: the object does not exist */
  guint64 accepted_revision;
  guint64 accepted_digest;
  guint64 proposed_version;
  DpCandidate proposed;
  DpUsec accept_at;         /* jittered; the proposed manifest is accepted from then on */
  guint64 text_stored;      /* digest of the text known to be stored */
  guint64 writing_revision; /* of the WRITE_ACCEPTED under way */
  guint64 writing_digest;
  guint64 vms_version;
  DpUsec next_poll;
  guint64 unreadable_digest; /* of a text that has findings here; 0: none */
  /* asking a peer for a manifest */
  DpUsec ask_until;
  gboolean delta_failed; /* the last one; the next ask is for the whole text */
  /* manifests sent to peers */
  GBytes *base_text; /* in force before; NULL: none */
  guint64 base_revision;
  guint64 base_digest;
  GBytes *delta; /* from the base to the text in force; NULL: not made yet */
  DpUsec served_since;
  guint served;
  /* what operators should know */
  char *findings; /* of the proposed manifest; NULL: none */
  guint64 conflict_revision;
  guint64 conflict_digest; /* 0: none; differs from the one in force under that revision */

  /* status */
  DpUsec next_status;
  gboolean status_known; /* the version below is that of the platform */
  guint64 status_version;

  DpCallState calls[DP_AGENT_CALL_COUNT];
};

/* --- agent.c --- */

/* A number from 0 to 1. */
double dp_agent_random (DpAgentBoard *board);

void
dp_agent_count (DpAgentBoard *board, const char *name, const char *label, const char *value);

/* Takes `message`'s contents. */
void dp_agent_send (DpAgentBoard *board, DpPeer to, const DpMessage *message);

DpAgentLog *dp_agent_log (DpAgentBoard *board, const char *event, gboolean warning);

/* --- agent_members.c --- */

void dp_agent_members_start (DpAgentBoard *board);
void dp_agent_members_tick (DpAgentBoard *board);
void dp_agent_members_probed (DpAgentBoard *board, DpPeer from, const DpProbe *probe);
void dp_agent_members_acked (DpAgentBoard *board, DpPeer from, const DpProbe *probe);

/* Forgets probes under way: after a pause, silence says nothing about the peers. */
void dp_agent_members_resumed (DpAgentBoard *board);

/* Sets this VM's state and the incarnation of its entry; tells all peers of a change. */
void dp_agent_members_set_self (DpAgentBoard *board, DpVmState state, guint64 incarnation);

/* Takes over the platform's list; FALSE if it does not parse. */
gboolean dp_agent_members_listed (DpAgentBoard *board, GBytes *value);

/* Probes a few random peers right away, so that they learn of a new manifest. */
void dp_agent_members_spread (DpAgentBoard *board);

/* --- agent_view.c --- */

/* State of the member as published. */
DpVmState dp_agent_member_state (const DpMember *member);

/* Rebuilds both views if something changed. */
void dp_agent_view_publish (DpAgentBoard *board);

/* --- agent_list.c --- */

/* Rows (DpVm; LIVE or LEAVING) of the platform's list; NULL if it has a finding. */
GArray *dp_agent_list_parse (GBytes *value);

/* --- agent_manifest.c --- */

void dp_agent_manifest_tick (DpAgentBoard *board);

/* A peer holds this revision. */
void
dp_agent_manifest_heard (DpAgentBoard *board, DpPeer from, guint64 revision, guint64 digest);
void dp_agent_manifest_received (DpAgentBoard *board, const DpManifestText *message);
void dp_agent_manifest_reply (DpAgentBoard *board, const DpAgentReply *reply);
void dp_agent_manifest_resumed (DpAgentBoard *board);
void dp_agent_manifest_clear (DpAgentBoard *board);

/* --- agent_texts.c --- */

/* Remembers the text in force as the one that peers may still have. */
void dp_agent_text_keep_base (DpAgentBoard *board);

/* The whole text of the message; NULL if it is a delta from a text that isn't here. */
GBytes *dp_agent_text_resolve (DpAgentBoard *board, const DpManifestText *message);

/* Answers a peer that lacks the manifest in force, with a delta where it has the base. */
void dp_agent_text_asked (DpAgentBoard *board, DpPeer from, const DpManifestAsk *ask);

/* --- agent_status.c --- */

/* Writes the data centre's status object now and then, if this VM is first in rank. */
void dp_agent_status_tick (DpAgentBoard *board);
void dp_agent_status_reply (DpAgentBoard *board, const DpAgentReply *reply);
void dp_agent_status_resumed (DpAgentBoard *board);

/* --- agent_calls.c --- */

/* TRUE if that call may be started now. */
gboolean dp_agent_call_ready (const DpAgentBoard *board, DpAgentCall call);

/* Starts the call; `value` is taken. */
void dp_agent_call (DpAgentBoard *board,
                    DpAgentCall call,
                    DpAgentCallType type,
                    const char *path,
                    guint64 version,
                    GBytes *value);

/* Notes the reply's result; failures push back the next call of that kind. */
void dp_agent_call_done (DpAgentBoard *board, const DpAgentReply *reply);

/* Keeps that kind of call from starting for `delay`. */
void dp_agent_call_delay (DpAgentBoard *board, DpAgentCall call, DpUsec delay);
