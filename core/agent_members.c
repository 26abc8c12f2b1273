/* Membership: SWIM-style probes with piggybacked updates, combined with the platform's lagging
 * VM list.
 *
 * Whether a VM is live or leaving is announced by its own agent; announcement numbers order
 * these updates. Each VM determines reachability by its own probes: a suspicion reported by a
 * peer only triggers a probe, so a broken link between two VMs doesn't make either of them
 * suspect to the others.
 */
#include "core/agent_private.h"

#include <string.h>

#define PROBE_INTERVAL (250 * DP_USEC_PER_MSEC)
#define REMOTE_PROBE_INTERVAL DP_USEC_PER_SEC
#define ACK_TIMEOUT (300 * DP_USEC_PER_MSEC)
#define SUSPECT_MISSED_PROBES 2
#define SUSPECT_TIMEOUT (3 * DP_USEC_PER_SEC)
#define DEAD_PROBE_INTERVAL (5 * DP_USEC_PER_SEC)
/* A dead VM is removed after this time, once the platform no longer lists it. */
#define DEAD_MEMBER_RETENTION (60 * DP_USEC_PER_SEC)
/* Up to this size of the fleet, all VMs probe each other; above it, only VMs of the same data
 * centre do, and watchers also probe remote VMs. */
#define FULL_MESH_VMS_MAX 32
#define PROBE_UPDATES_MAX 8
#define DISSEMINATION_PEERS 8
/* VMs of other data centres, in a fleet above FULL_MESH_VMS_MAX. */
#define REMOTE_DISSEMINATION_PEERS 5
/* Bounds the probes out of turn per tick, so that many new VMs at once cause no burst. */
#define PROBES_PER_TICK_MAX 8
/* VMs of each other data centre to which this VM announces a change of its state. */
#define REMOTE_ANNOUNCE_FANOUT 2
/* Probes numbered up to this come from a VM that has just started; their acks carry all rows.
 * Sending all rows to every new peer took 1,720 instead of 270 B/s per VM at 200 VMs. */
#define FULL_SYNC_SEQUENCE_MAX 8
/* Bounds the rows of other data centres in such an ack. */
#define FULL_SYNC_REMOTE_ROWS_MAX 64

/* Returns TRUE if this VM probes the member regularly. */
static gboolean
is_near (const DpAgentCore *core, const DpMember *member)
{
  return core->probe_order->len < FULL_MESH_VMS_MAX
         || member->vm.data_centre == core->self.data_centre;
}

/* Number of messages that carry an update, for it to reach all VMs with high probability. */
static guint
transmission_count (const DpAgentCore *core)
{
  return 2 * g_bit_storage (core->probe_order->len) + 4;
}

static void
queue_update (DpAgentCore *core, DpMember *member)
{
  member->transmissions_left = transmission_count (core);
}

static DpMember *
find_member (const DpAgentCore *core, DpName name)
{
  return g_hash_table_lookup (core->members, &name);
}

/* --- rows --- */

static gboolean
is_valid_row (const DpVm *row)
{
  return row->name != 0 && row->data_centre != 0 && row->name == dp_name (row->text)
         && g_hostname_is_ip_address (row->address);
}

/* Inserts the member at a random position, so that VMs probe in different orders. */
static void
add_to_order (DpAgentCore *core, DpMember *member)
{
  guint position = (guint)(dp_agent_random (core) * (core->probe_order->len + 1));
  g_ptr_array_insert (core->probe_order, (gint)MIN (position, core->probe_order->len), member);
}

static DpMember *
add_member (DpAgentCore *core, const DpVm *row)
{
  DpMember *member = g_new0 (DpMember, 1);
  member->vm = *row;
  member->reachability_since = core->now;
  member->probe_due = is_near (core, member);
  g_hash_table_insert (core->members, &member->vm.name, member);
  add_to_order (core, member);
  core->members_changed = TRUE;
  return member;
}

static void
remove_member (DpAgentCore *core, DpMember *member)
{
  g_ptr_array_remove (core->probe_order, member);
  g_hash_table_remove (core->members, &member->vm.name);
  core->members_changed = TRUE;
}

static void
log_member (DpAgentCore *core, const char *event, const DpMember *member, gboolean warning)
{
  dp_agent_log (core, event, warning)->detail = g_strdup (member->vm.text);
}

static void
log_reachability (DpAgentCore *core, const DpMember *member)
{
  switch (member->reachability)
    {
    case DP_REACHABILITY_UNKNOWN:
      break;
    case DP_REACHABILITY_OK:
      log_member (core, "vm_reached", member, FALSE);
      break;
    case DP_REACHABILITY_SUSPECT:
      log_member (core, "vm_suspect", member, TRUE);
      break;
    case DP_REACHABILITY_DEAD:
      log_member (core, "vm_dead", member, TRUE);
      break;
    }
}

static void
set_reachability (DpAgentCore *core, DpMember *member, DpReachability reachability)
{
  if (member->reachability == reachability)
    return;
  member->reachability = reachability;
  member->reachability_since = core->now;
  core->members_changed = TRUE;
  log_reachability (core, member);
}

/* --- updates --- */

/* Handles a peer's row about this VM. A higher announcement number than this VM's is exceeded,
 * so that its own state prevails; at the same number, LEAVING may come from the platform's
 * list. */
static void
merge_own_row (DpAgentCore *core, const DpVm *row)
{
  if (row->announcement > core->self.announcement)
    {
      core->self.announcement = row->announcement;
      dp_agent_members_set_self (core, core->self.state, core->self.incarnation);
    }
  else if (row->announcement == core->self.announcement && row->state == DP_VM_LEAVING)
    core->listed_leaving = TRUE;
}

/* A suspicion reported by a peer counts as one missed probe. */
static void
merge_suspicion (DpAgentCore *core, DpMember *member)
{
  if (member->reachability != DP_REACHABILITY_OK
      && member->reachability != DP_REACHABILITY_UNKNOWN)
    return;
  member->missed_probes = MAX (member->missed_probes, SUSPECT_MISSED_PROBES - 1);
  if (!member->probe_in_flight)
    member->probe_due = TRUE;
}

static void
merge_announcement (DpAgentCore *core, DpMember *member, const DpVm *row)
{
  gboolean is_newer = row->announcement > member->vm.announcement;
  gboolean starts_leaving = row->announcement == member->vm.announcement
                            && row->state == DP_VM_LEAVING && member->vm.state == DP_VM_LIVE;
  if (!is_newer && !starts_leaving)
    return;
  gboolean was_leaving = member->vm.state == DP_VM_LEAVING;
  member->vm = *row;
  if (member->listed_state == DP_LISTED_LEAVING)
    member->vm.state = DP_VM_LEAVING;
  queue_update (core, member);
  core->members_changed = TRUE;
  if (member->vm.state != DP_VM_LEAVING || was_leaving)
    return;
  log_member (core, "vm_leaving", member, FALSE);
  dp_agent_members_disseminate (core);
}

static void
merge_row (DpAgentCore *core, const DpVm *row)
{
  if (!is_valid_row (row))
    {
      dp_agent_count (core, "dogwoodplank_agent_bad_rows_total", NULL, NULL);
      return;
    }
  if (row->name == core->self.name)
    {
      merge_own_row (core, row);
      return;
    }
  DpMember *member = find_member (core, row->name);
  if (row->state == DP_VM_SUSPECT)
    {
      if (member != NULL)
        merge_suspicion (core, member);
      return;
    }
  if (row->state != DP_VM_LIVE && row->state != DP_VM_LEAVING)
    return;
  if (member != NULL)
    merge_announcement (core, member, row);
  else
    queue_update (core, add_member (core, row));
}

static void
merge_updates (DpAgentCore *core, const GArray *updates)
{
  for (guint i = 0; updates != NULL && i < updates->len; i++)
    merge_row (core, &g_array_index (updates, DpVm, i));
}

static void
append_row (GArray *updates, const DpMember *member)
{
  DpVm row = member->vm;
  if (member->reachability == DP_REACHABILITY_SUSPECT)
    row.state = DP_VM_SUSPECT;
  g_array_append_val (updates, row);
}

static void
append_pending_updates (DpAgentCore *core, GArray *updates)
{
  for (guint i = 0; i < core->probe_order->len && updates->len < PROBE_UPDATES_MAX; i++)
    {
      DpMember *member = g_ptr_array_index (core->probe_order, i);
      if (member->transmissions_left == 0)
        continue;
      member->transmissions_left--;
      append_row (updates, member);
    }
}

/* Appends the rows that a VM needs which has just started. */
static void
append_all_rows (DpAgentCore *core, GArray *updates)
{
  guint remote_rows = 0;
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (core->probe_order, i);
      if (member->reachability == DP_REACHABILITY_DEAD
          || member->reachability == DP_REACHABILITY_SUSPECT)
        continue;
      if (!is_near (core, member) && remote_rows++ >= FULL_SYNC_REMOTE_ROWS_MAX)
        continue;
      append_row (updates, member);
    }
}

/* --- probes --- */

static DpMessage
make_probe (DpAgentCore *core, DpMessageType type, guint64 sequence)
{
  DpMessage message = { .type = type };
  message.probe.sequence = sequence;
  message.probe.incarnation = core->self.announcement;
  message.probe.leaving = core->self.state == DP_VM_LEAVING;
  if (core->manifest != NULL)
    {
      message.probe.manifest_revision = core->manifest->revision;
      message.probe.manifest_digest = core->manifest->digest;
    }
  message.probe.updates = g_array_new (FALSE, TRUE, sizeof (DpVm));
  return message;
}

static void
send_probe (DpAgentCore *core, DpMember *member)
{
  DpMessage message = make_probe (core, DP_MESSAGE_PROBE, ++core->last_probe_sequence);
  if (member->acked_announcement != core->self.announcement)
    g_array_append_val (message.probe.updates, core->self);
  if (member->listed_state == DP_LISTED_LEAVING)
    g_array_append_val (message.probe.updates, member->vm);
  append_pending_updates (core, message.probe.updates);
  member->probe_sequence = core->last_probe_sequence;
  member->probe_in_flight = TRUE;
  member->probe_sent_at = core->now;
  member->probe_due = FALSE;
  dp_agent_send (core, (DpPeer){ member->vm.name, DP_ROLE_AGENT }, &message);
}

/* Each probe and ack carries the sender's own state and announcement number. */
static void
record_sender_state (DpAgentCore *core, DpMember *member, const DpProbe *probe)
{
  DpVm row = member->vm;
  row.announcement = probe->incarnation;
  row.state = probe->leaving ? DP_VM_LEAVING : DP_VM_LIVE;
  member->manifest_revision = probe->manifest_revision;
  merge_announcement (core, member, &row);
}

void
dp_agent_members_on_probe (DpAgentCore *core, DpPeer from, const DpProbe *probe)
{
  merge_updates (core, probe->updates);
  DpMember *member = find_member (core, from.vm);
  if (member == NULL)
    {
      dp_agent_count (core, "dogwoodplank_agent_unknown_peers_total", NULL, NULL);
      return;
    }
  record_sender_state (core, member, probe);
  DpMessage ack = make_probe (core, DP_MESSAGE_PROBE_ACK, probe->sequence);
  g_array_append_val (ack.probe.updates, core->self);
  if (member->acked_announcement == core->self.announcement)
    g_array_set_size (ack.probe.updates, 0);
  if (probe->sequence <= FULL_SYNC_SEQUENCE_MAX)
    append_all_rows (core, ack.probe.updates);
  else
    append_pending_updates (core, ack.probe.updates);
  dp_agent_send (core, from, &ack);
  /* The peer reaches this VM; a probe checks the other direction. */
  if (member->reachability == DP_REACHABILITY_SUSPECT
      || member->reachability == DP_REACHABILITY_DEAD)
    member->probe_due = !member->probe_in_flight;
}

void
dp_agent_members_on_ack (DpAgentCore *core, DpPeer from, const DpProbe *probe)
{
  merge_updates (core, probe->updates);
  DpMember *member = find_member (core, from.vm);
  if (member == NULL || probe->sequence != member->probe_sequence)
    return;
  record_sender_state (core, member, probe);
  member->probe_in_flight = FALSE;
  member->missed_probes = 0;
  member->acked_announcement = core->self.announcement;
  set_reachability (core, member, DP_REACHABILITY_OK);
}

static void
on_probe_timeout (DpAgentCore *core, DpMember *member)
{
  member->probe_in_flight = FALSE;
  member->missed_probes++;
  if (member->reachability == DP_REACHABILITY_DEAD)
    return;
  member->probe_due = TRUE;
  if (member->missed_probes < SUSPECT_MISSED_PROBES
      || member->reachability == DP_REACHABILITY_SUSPECT)
    return;
  set_reachability (core, member, DP_REACHABILITY_SUSPECT);
  queue_update (core, member);
  dp_agent_count (core, "dogwoodplank_agent_suspicions_total", NULL, NULL);
  dp_agent_members_disseminate (core);
}

/* Handles timeouts of the member and probes it if due. `budget`: probes left in this tick. */
static void
check_member (DpAgentCore *core, DpMember *member, guint *budget)
{
  if (member->probe_in_flight && core->now - member->probe_sent_at >= ACK_TIMEOUT)
    on_probe_timeout (core, member);
  if (member->reachability == DP_REACHABILITY_SUSPECT
      && core->now - member->reachability_since >= SUSPECT_TIMEOUT)
    {
      set_reachability (core, member, DP_REACHABILITY_DEAD);
      member->transmissions_left = 0;
    }
  if (!member->probe_due || member->probe_in_flight || *budget == 0)
    return;
  send_probe (core, member);
  (*budget)--;
}

static gboolean
should_forget (const DpAgentCore *core, const DpMember *member)
{
  return member->reachability == DP_REACHABILITY_DEAD
         && member->listed_state == DP_LISTED_ABSENT && core->vms_version != 0
         && core->now - member->reachability_since >= DEAD_MEMBER_RETENTION;
}

static void
check_members (DpAgentCore *core)
{
  guint budget = PROBES_PER_TICK_MAX;
  for (guint i = core->probe_order->len; i > 0; i--)
    {
      DpMember *member = g_ptr_array_index (core->probe_order, i - 1);
      if (should_forget (core, member))
        remove_member (core, member);
      else
        check_member (core, member, &budget);
    }
}

static gboolean
can_probe (const DpAgentCore *core, const DpMember *member)
{
  if (member->probe_in_flight)
    return FALSE;
  return member->reachability != DP_REACHABILITY_DEAD
         || core->now - member->probe_sent_at >= DEAD_PROBE_INTERVAL;
}

/* Probes the next member in turn, either a near or a remote one. */
static void
probe_next (DpAgentCore *core, gboolean near)
{
  for (guint tries = core->probe_order->len; tries > 0; tries--)
    {
      core->next_probe_index = (core->next_probe_index + 1) % core->probe_order->len;
      DpMember *member = g_ptr_array_index (core->probe_order, core->next_probe_index);
      if (is_near (core, member) != near || !can_probe (core, member))
        continue;
      send_probe (core, member);
      return;
    }
}

static DpUsec
jittered (DpAgentCore *core, DpUsec interval)
{
  return (DpUsec)((double)interval * (0.8 + 0.4 * dp_agent_random (core)));
}

void
dp_agent_members_tick (DpAgentCore *core)
{
  check_members (core);
  if (core->now >= core->next_probe_at)
    {
      core->next_probe_at = core->now + jittered (core, PROBE_INTERVAL);
      probe_next (core, TRUE);
    }
  if (core->now >= core->next_remote_probe_at && dp_agent_is_watcher (core))
    {
      core->next_remote_probe_at = core->now + jittered (core, REMOTE_PROBE_INTERVAL);
      probe_next (core, FALSE);
    }
}

void
dp_agent_members_on_resume (DpAgentCore *core)
{
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      DpMember *member = g_ptr_array_index (core->probe_order, i);
      member->probe_in_flight = FALSE;
      member->missed_probes = 0;
      member->probe_due = is_near (core, member);
    }
}

/* Probes up to `max` near or remote peers that are not suspect or dead, from a random position
 * in the probe order. */
static void
disseminate_to (DpAgentCore *core, gboolean near, guint max)
{
  guint count = core->probe_order->len;
  guint first = count > 0 ? (guint)(dp_agent_random (core) * count) : 0;
  guint sent = 0;
  for (guint i = 0; i < count && sent < max; i++)
    {
      DpMember *member = g_ptr_array_index (core->probe_order, (first + i) % count);
      if (is_near (core, member) != near || member->reachability == DP_REACHABILITY_DEAD
          || member->reachability == DP_REACHABILITY_SUSPECT)
        continue;
      send_probe (core, member);
      sent++;
    }
}

void
dp_agent_members_disseminate (DpAgentCore *core)
{
  /* Remote peers first: near ones would use up the transmissions of an update. */
  disseminate_to (core, FALSE, REMOTE_DISSEMINATION_PEERS);
  disseminate_to (core, TRUE, DISSEMINATION_PEERS);
}

/* --- the platform's list --- */

static void
apply_listed_row (DpAgentCore *core, const DpVm *row)
{
  DpListedState listed_state = row->state == DP_VM_LEAVING ? DP_LISTED_LEAVING : DP_LISTED_LIVE;
  if (row->name == core->self.name)
    {
      core->listed_leaving = listed_state == DP_LISTED_LEAVING;
      return;
    }
  DpMember *member = find_member (core, row->name);
  if (member == NULL)
    member = add_member (core, row);
  member->listed_state = listed_state;
  if (listed_state != DP_LISTED_LEAVING || member->vm.state == DP_VM_LEAVING)
    return;
  /* The list is authoritative even if the VM doesn't know yet: it gets the update too. */
  member->vm.state = DP_VM_LEAVING;
  member->probe_due = TRUE;
  queue_update (core, member);
  core->members_changed = TRUE;
  log_member (core, "vm_leaving", member, FALSE);
  dp_agent_members_disseminate (core);
}

static void
reset_listed_states (DpAgentCore *core)
{
  for (guint i = 0; i < core->probe_order->len; i++)
    ((DpMember *)g_ptr_array_index (core->probe_order, i))->listed_state = DP_LISTED_ABSENT;
}

gboolean
dp_agent_members_apply_list (DpAgentCore *core, GBytes *value)
{
  GArray *rows = dp_agent_list_parse (value);
  if (rows == NULL)
    return FALSE;
  reset_listed_states (core);
  for (guint i = 0; i < rows->len; i++)
    apply_listed_row (core, &g_array_index (rows, DpVm, i));
  g_array_unref (rows);
  return TRUE;
}

/* --- this VM --- */

static void
announce_self (DpAgentCore *core)
{
  GHashTable *probes_by_data_centre = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      DpMember *member = g_ptr_array_index (core->probe_order, i);
      if (member->reachability == DP_REACHABILITY_DEAD)
        continue;
      guint sent = GPOINTER_TO_UINT (
        g_hash_table_lookup (probes_by_data_centre, &member->vm.data_centre));
      if (!is_near (core, member) && sent >= REMOTE_ANNOUNCE_FANOUT)
        continue;
      g_hash_table_insert (probes_by_data_centre, &member->vm.data_centre,
                           GUINT_TO_POINTER (sent + 1));
      send_probe (core, member);
    }
  g_hash_table_unref (probes_by_data_centre);
}

void
dp_agent_members_set_self (DpAgentCore *core, DpVmState state, guint64 incarnation)
{
  if (state == DP_VM_LEAVING && core->self.state != DP_VM_LEAVING)
    core->leaving_since = core->now;
  core->self.state = state;
  core->self.incarnation = incarnation;
  core->self.announcement++;
  core->members_changed = TRUE;
  announce_self (core);
}

void
dp_agent_members_start (DpAgentCore *core)
{
  for (guint i = 0; i < core->options.peer_count; i++)
    {
      const DpVm *peer = &core->options.peers[i];
      if (is_valid_row (peer) && peer->name != core->self.name
          && find_member (core, peer->name) == NULL)
        add_member (core, peer);
    }
}
