/* Internal state of the agent; private to the core/agent*.c files.
 *
 * Each tick runs the parts in a fixed order: members (membership), view (publishes it),
 * manifest (what is in force), status (written to the platform). agent.c then sends changes to
 * this VM's entry and scheduler.
 */
#pragma once

#include "core/agent.h"

/* Reachability of a VM as seen by this VM's own probes. */
typedef enum DpReachability
{
  DP_REACHABILITY_UNKNOWN, /* no probe answered yet */
  DP_REACHABILITY_OK,
  DP_REACHABILITY_SUSPECT,
  DP_REACHABILITY_DEAD,
} DpReachability;

/* State of a VM in the platform's VM list. */
typedef enum DpListedState
{
  DP_LISTED_ABSENT,
  DP_LISTED_LIVE,
  DP_LISTED_LEAVING,
} DpListedState;

/* One VM other than this one. */
typedef struct DpMember
{
  DpVm vm; /* state: LIVE or LEAVING, as the VM announced or the platform lists it */
  DpListedState listed_state;
  DpReachability reachability;
  DpUsec reachability_since;
  guint64 probe_sequence;   /* of the last probe sent */
  gboolean probe_in_flight; /* neither acknowledged nor timed out */
  DpUsec probe_sent_at;
  guint missed_probes;        /* consecutive probes without an acknowledgement */
  gboolean probe_due;         /* probe out of turn, at the next tick with budget left */
  guint transmissions_left;   /* messages that still piggyback this row */
  guint64 manifest_revision;  /* in force there, from its probes */
  guint64 acked_announcement; /* last announcement of this VM that the member acknowledged */
} DpMember;

/* State of one kind of platform call. */
typedef struct DpCallState
{
  gboolean in_flight;
  guint failures; /* consecutive */
  DpUsec not_before;
} DpCallState;

/* The content of "manifest/proposed". */
typedef struct DpProposedManifest
{
  GBytes *text;
  DpManifest *manifest; /* NULL: none, or it has diagnostics */
} DpProposedManifest;

/* This VM's entry or scheduler process. */
typedef struct DpLocalProcess
{
  gboolean known; /* has sent a HELLO */
  gboolean leaving;
  guint64 incarnation;
  guint64 manifest_revision;
  guint64 view_version;
  guint open_requests;
  DpUsec last_seen_at;
  DpUsec manifest_sent_at;
} DpLocalProcess;

struct DpAgentCore
{
  gatomicrefcount refs;
  DpAgentOptions options;
  GRand *random;
  DpUsec now;
  DpUsec last_tick;
  GArray *actions; /* of the event being handled; not owned */

  /* this VM */
  DpVm self; /* its announcement increases with each change */
  gboolean stopping;
  gboolean listed_leaving; /* listed as leaving, as read here or reported by a peer */
  gboolean exited;
  DpUsec leaving_since;
  DpLocalProcess processes[2]; /* by role: entry, scheduler */

  /* members */
  GHashTable *members;    /* name -> DpMember */
  GPtrArray *probe_order; /* DpMember, not owned; shuffled, probed round-robin */
  guint next_probe_index;
  DpUsec next_probe_at;
  DpUsec next_remote_probe_at; /* to a VM of another data centre; watchers only */
  guint64 last_probe_sequence;
  gboolean members_changed;
  guint64 view_version;
  DpView *view;
  DpView *probe_view;

  /* manifest in force */
  DpManifest *manifest;
  GBytes *manifest_text;
  /* as last read from the platform */
  gboolean accepted_known;  /* read since the start, the last pause and the last failed write */
  guint64 accepted_version; /* 0: the object does not exist */
  guint64 accepted_revision;
  guint64 accepted_digest;
  guint64 proposed_version;
  DpProposedManifest proposed;
  DpUsec accept_at;           /* jittered time from which the proposed manifest is accepted */
  guint64 stored_text_digest; /* of the text known to be stored on the platform */
  guint64 writing_revision;   /* of the WRITE_ACCEPTED in flight */
  guint64 writing_digest;     /* of the WRITE_TEXT or WRITE_ACCEPTED in flight */
  guint64 vms_version;
  DpUsec next_poll_at;
  guint64 rejected_digest; /* of the last text that did not parse as its revision; 0: none */
  /* manifest request to a peer */
  DpUsec request_timeout_at;
  gboolean delta_failed; /* the last delta did not apply: request the whole text */
  /* manifests sent to peers */
  GBytes *base_text; /* previously in force; NULL: none */
  guint64 base_revision;
  guint64 base_digest;
  GBytes *delta; /* from the base to the text in force; NULL: not computed yet */
  DpUsec serve_window_start;
  guint served_in_window;
  /* problems reported in the status */
  char *proposed_diagnostics; /* NULL: none */
  guint64 conflict_revision;
  guint64 conflict_digest; /* a second digest seen for conflict_revision; 0: none */

  /* status object of the data centre */
  DpUsec next_status_at;
  gboolean status_known; /* status_version is the platform's */
  guint64 status_version;

  DpCallState calls[DP_AGENT_CALL_COUNT];
};

/* --- agent.c --- */

/* Returns a random number in [0, 1). */
double dp_agent_random (DpAgentCore *core);

/* Increments a counter; `label` and `value` may be NULL. */
void dp_agent_count (DpAgentCore *core, const char *name, const char *label, const char *value);

/* Appends a SEND action; takes ownership of the message's contents. */
void dp_agent_send (DpAgentCore *core, DpPeer to, const DpMessage *message);

/* Appends a LOG action. The result is valid until the next action is appended. */
DpAgentLog *dp_agent_log (DpAgentCore *core, const char *event, gboolean warning);

/* --- agent_members.c --- */

/* Adds the configured peers. */
void dp_agent_members_start (DpAgentCore *core);
void dp_agent_members_tick (DpAgentCore *core);
void dp_agent_members_on_probe (DpAgentCore *core, DpPeer from, const DpProbe *probe);
void dp_agent_members_on_ack (DpAgentCore *core, DpPeer from, const DpProbe *probe);

/* Discards probes in flight: a timeout that spans a pause of this process says nothing about
 * the peer. */
void dp_agent_members_on_resume (DpAgentCore *core);

/* Sets this VM's state and the incarnation of its entry, and announces the change to peers. */
void dp_agent_members_set_self (DpAgentCore *core, DpVmState state, guint64 incarnation);

/* Applies the platform's VM list. Returns FALSE if it does not parse. */
gboolean dp_agent_members_apply_list (DpAgentCore *core, GBytes *value);

/* Probes a few random peers at once, so that a change reaches them before their next probe. */
void dp_agent_members_disseminate (DpAgentCore *core);

/* --- agent_view.c --- */

/* Returns the state of the member as published. */
DpVmState dp_agent_member_state (const DpMember *member);

/* Rebuilds both views if a member changed. */
void dp_agent_view_publish (DpAgentCore *core);

/* --- agent_list.c --- */

/* Parses the platform's VM list. Returns an array of DpVm, each LIVE or LEAVING, or NULL if
 * it is invalid. Free with g_array_unref(). */
GArray *dp_agent_list_parse (GBytes *value);

/* --- agent_manifest.c --- */

void dp_agent_manifest_tick (DpAgentCore *core);

/* Handles the revision and digest that a peer reports as in force. */
void dp_agent_manifest_on_peer_revision (DpAgentCore *core,
                                         DpPeer from,
                                         guint64 revision,
                                         guint64 digest);
void dp_agent_manifest_on_text (DpAgentCore *core, const DpManifestText *message);
void dp_agent_manifest_on_reply (DpAgentCore *core, const DpAgentReply *reply);
void dp_agent_manifest_on_resume (DpAgentCore *core);
void dp_agent_manifest_clear (DpAgentCore *core);

/* --- agent_texts.c --- */

/* Saves the text in force, before it is replaced, as the base for deltas to peers. */
void dp_agent_text_save_base (DpAgentCore *core);

/* Returns the whole text that the message carries or that its delta yields; NULL if the delta's
 * base is not in force here or the delta does not apply. Free with g_bytes_unref(). */
GBytes *dp_agent_text_resolve (DpAgentCore *core, const DpManifestText *message);

/* Sends the manifest in force to a peer that lacks it, as a delta if the peer has the base. */
void dp_agent_text_on_request (DpAgentCore *core, DpPeer from, const DpManifestAsk *ask);

/* --- agent_status.c --- */

/* Writes the data centre's status object periodically, if this VM is first in rank. */
void dp_agent_status_tick (DpAgentCore *core);
void dp_agent_status_on_reply (DpAgentCore *core, const DpAgentReply *reply);
void dp_agent_status_on_resume (DpAgentCore *core);

/* --- agent_calls.c --- */

/* Returns TRUE if a call of that kind may be started now. */
gboolean dp_agent_call_ready (const DpAgentCore *core, DpAgentCall call);

/* Starts the call; takes ownership of `value`. */
void dp_agent_call_start (DpAgentCore *core,
                          DpAgentCall call,
                          DpAgentCallType type,
                          const char *path,
                          guint64 version,
                          GBytes *value);

/* Records the result of a call; a failure delays the next call of that kind. */
void dp_agent_call_finish (DpAgentCore *core, const DpAgentReply *reply);

/* Keeps calls of that kind from starting for at least `delay`. */
void dp_agent_call_delay (DpAgentCore *core, DpAgentCall call, DpUsec delay);
