/* Membership: probes with piggybacked news in the manner of SWIM, united with the platform's
 * lagging list.
 *
 * A VM's own agent announces whether it is live or leaving; the number of the announcement
 * orders such news. Whether a VM can be reached is everybody's own finding: a suspicion that is
 * heard from others only leads to a probe of one's own, so that a cut between two VMs does not
 * make either of them suspect to the rest.
 */
#include "core/agent_board.h"

#include <string.h>

#define PROBE_INTERVAL (250 * DP_USEC_PER_MSEC)
#define FAR_PROBE_INTERVAL DP_USEC_PER_SEC
#define ACK_TIMEOUT (300 * DP_USEC_PER_MSEC)
#define SUSPECT_MISSES 2
#define DEAD_AFTER (3 * DP_USEC_PER_SEC)
#define DEAD_PROBE_INTERVAL (5 * DP_USEC_PER_SEC)
/* Dead VMs that the platform doesn't list any more are forgotten. */
#define FORGET_AFTER (60 * DP_USEC_PER_SEC)
/* Up to so many VMs, everybody probes everybody; above, only within the data centre. */
#define SMALL_FLEET 32
#define NEWS_ROWS_MAX 8
#define SPREAD_PEERS 8
/* Of other data centres, in a large fleet. */
#define FAR_SPREAD_PEERS 5
/* Probes out of turn in one tick, so that many VMs met at once make no burst. */
#define TICK_PROBES_MAX 8
/* VMs of each other data centre that are told of a change of this VM. */
#define FAR_ANNOUNCED 2
/* A VM that has just started, as the number of its probe shows, is told all rows. */
#define GREETED_SEQUENCES 8
/* Rows of other data centres sent to a VM that is new here. */
#define FAR_GREETED_MAX 64

static gboolean
is_near (const DpAgentBoard *board, const DpMember *member)
{
  return board->order->len < SMALL_FLEET || member->vm.data_centre == board->self.data_centre;
}

/* So many probes carry a piece of news that it reaches all with high probability. */
static guint
news_repeats (const DpAgentBoard *board)
{
  return 2 * g_bit_storage (board->order->len) + 4;
}

static void
set_news (DpAgentBoard *board, DpMember *member)
{
  member->news_left = news_repeats (board);
}

static DpMember *
find_member (const DpAgentBoard *board, DpName name)
{
  return g_hash_table_lookup (board->members, &name);
}

/* --- rows --- */

static gboolean
is_proper_row (const DpVm *row)
{
  return row->name != 0 && row->data_centre != 0 && row->name == dp_name (row->text)
         && g_hostname_is_ip_address (row->address);
}

/* Puts the member at a random place of the order in which VMs are probed. */
static void
add_to_order (DpAgentBoard *board, DpMember *member)
{
  guint place = (guint)(dp_agent_random (board) * (board->order->len + 1));
  g_ptr_array_insert (board->order, (gint)MIN (place, board->order->len), member);
}

static DpMember *
add_member (DpAgentBoard *board, const DpVm *row)
{
  DpMember *member = g_new0 (DpMember, 1);
  member->vm = *row;
  member->reach_since = board->now;
  member->probe_now = is_near (board, member);
  g_hash_table_insert (board->members, &member->vm.name, member);
  add_to_order (board, member);
  board->members_changed = TRUE;
  return member;
}

static void
remove_member (DpAgentBoard *board, DpMember *member)
{
  g_ptr_array_remove (board->order, member);
  g_hash_table_remove (board->members, &member->vm.name);
  board->members_changed = TRUE;
}

static void
log_member (DpAgentBoard *board, const char *event, const DpMember *member, gboolean warning)
{
  dp_agent_log (board, event, warning)->detail = g_strdup (member->vm.text);
}

static void
log_reach (DpAgentBoard *board, const DpMember *member)
{
  switch (member->reach)
    {
    case DP_REACH_UNKNOWN:
      break;
    case DP_REACH_OK:
      log_member (board, "vm_reached", member, FALSE);
      break;
    case DP_REACH_SUSPECT:
      log_member (board, "vm_suspect", member, TRUE);
      break;
    case DP_REACH_DEAD:
      log_member (board, "vm_dead", member, TRUE);
      break;
    }
}

static void
set_reach (DpAgentBoard *board, DpMember *member, DpReach reach)
{
  if (member->reach == reach)
    return;
  member->reach = reach;
  member->reach_since = board->now;
  board->members_changed = TRUE;
  log_reach (board, member);
}

/* --- news --- */

/* Somebody says how this VM is: its list may say that it leaves. */
static void
merge_own_row (DpAgentBoard *board, const DpVm *row)
{
  if (row->announcement > board->self.announcement)
    {
      board->self.announcement = row->announcement;
      dp_agent_members_set_self (board, board->self.state, board->self.incarnation);
    }
  else if (row->announcement == board->self.announcement && row->state == DP_VM_LEAVING)
    board->listed_leaving = TRUE;
}

/* A suspicion of others counts as one unanswered probe. */
static void
merge_suspicion (DpAgentBoard *board, DpMember *member)
{
  if (member->reach != DP_REACH_OK && member->reach != DP_REACH_UNKNOWN)
    return;
  member->misses = MAX (member->misses, SUSPECT_MISSES - 1);
  if (!member->probe_open)
    member->probe_now = TRUE;
}

static void
merge_announcement (DpAgentBoard *board, DpMember *member, const DpVm *row)
{
  gboolean is_newer = row->announcement > member->vm.announcement;
  gboolean now_leaves = row->announcement == member->vm.announcement
                        && row->state == DP_VM_LEAVING && member->vm.state == DP_VM_LIVE;
  if (!is_newer && !now_leaves)
    return;
  gboolean was_leaving = member->vm.state == DP_VM_LEAVING;
  member->vm = *row;
  if (member->listed == DP_LISTED_LEAVING)
    member->vm.state = DP_VM_LEAVING;
  set_news (board, member);
  board->members_changed = TRUE;
  if (member->vm.state != DP_VM_LEAVING || was_leaving)
    return;
  log_member (board, "vm_leaving", member, FALSE);
  dp_agent_members_spread (board);
}

static void
merge_row (DpAgentBoard *board, const DpVm *row)
{
  if (!is_proper_row (row))
    {
      dp_agent_count (board, "dogwoodplank_agent_bad_rows_total", NULL, NULL);
      return;
    }
  if (row->name == board->self.name)
    {
      merge_own_row (board, row);
      return;
    }
  DpMember *member = find_member (board, row->name);
  if (row->state == DP_VM_SUSPECT)
    {
      if (member != NULL)
        merge_suspicion (board, member);
      return;
    }
  if (row->state != DP_VM_LIVE && row->state != DP_VM_LEAVING)
    return;
  if (member != NULL)
    merge_announcement (board, member, row);
  else
    set_news (board, add_member (board, row));
}

static void
merge_news (DpAgentBoard *board, const GArray *news)
{
  for (guint i = 0; news != NULL && i < news->len; i++)
    merge_row (board, &g_array_index (news, DpVm, i));
}

static void
append_row (GArray *news, const DpMember *member)
{
  DpVm row = member->vm;
  if (member->reach == DP_REACH_SUSPECT)
    row.state = DP_VM_SUSPECT;
  g_array_append_val (news, row);
}

static void
append_fresh_news (DpAgentBoard *board, GArray *news)
{
  for (guint i = 0; i < board->order->len && news->len < NEWS_ROWS_MAX; i++)
    {
      DpMember *member = g_ptr_array_index (board->order, i);
      if (member->news_left == 0)
        continue;
      member->news_left--;
      append_row (news, member);
    }
}

/* Everything that a VM which is new here should know. */
static void
append_all_rows (DpAgentBoard *board, GArray *news)
{
  guint far = 0;
  for (guint i = 0; i < board->order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (board->order, i);
      if (member->reach == DP_REACH_DEAD || member->reach == DP_REACH_SUSPECT)
        continue;
      if (!is_near (board, member) && far++ >= FAR_GREETED_MAX)
        continue;
      append_row (news, member);
    }
}

/* --- probes --- */

static DpMessage
make_probe (DpAgentBoard *board, DpMessageType type, guint64 sequence)
{
  DpMessage message = { .type = type };
  message.probe.sequence = sequence;
  message.probe.incarnation = board->self.announcement;
  message.probe.leaving = board->self.state == DP_VM_LEAVING;
  if (board->manifest != NULL)
    {
      message.probe.manifest_revision = board->manifest->revision;
      message.probe.manifest_digest = board->manifest->digest;
    }
  message.probe.news = g_array_new (FALSE, TRUE, sizeof (DpVm));
  return message;
}

static void
send_probe (DpAgentBoard *board, DpMember *member)
{
  DpMessage message = make_probe (board, DP_MESSAGE_PROBE, ++board->sequence);
  if (member->introduced != board->self.announcement)
    g_array_append_val (message.probe.news, board->self);
  if (member->listed == DP_LISTED_LEAVING)
    g_array_append_val (message.probe.news, member->vm);
  append_fresh_news (board, message.probe.news);
  member->probe_sequence = board->sequence;
  member->probe_open = TRUE;
  member->probe_sent = board->now;
  member->probe_now = FALSE;
  dp_agent_send (board, (DpPeer){ member->vm.name, DP_ROLE_AGENT }, &message);
}

/* The sender's own state and number stand in each probe. */
static void
note_sender (DpAgentBoard *board, DpMember *member, const DpProbe *probe)
{
  DpVm row = member->vm;
  row.announcement = probe->incarnation;
  row.state = probe->leaving ? DP_VM_LEAVING : DP_VM_LIVE;
  member->manifest_revision = probe->manifest_revision;
  merge_announcement (board, member, &row);
}

void
dp_agent_members_probed (DpAgentBoard *board, DpPeer from, const DpProbe *probe)
{
  merge_news (board, probe->news);
  DpMember *member = find_member (board, from.vm);
  if (member == NULL)
    {
      dp_agent_count (board, "dogwoodplank_agent_unknown_peers_total", NULL, NULL);
      return;
    }
  note_sender (board, member, probe);
  DpMessage ack = make_probe (board, DP_MESSAGE_PROBE_ACK, probe->sequence);
  g_array_append_val (ack.probe.news, board->self);
  if (member->introduced == board->self.announcement)
    g_array_set_size (ack.probe.news, 0);
  if (probe->sequence <= GREETED_SEQUENCES)
    append_all_rows (board, ack.probe.news);
  else
    append_fresh_news (board, ack.probe.news);
  dp_agent_send (board, from, &ack);
  /* It reaches us; whether we reach it is another matter. */
  if (member->reach == DP_REACH_SUSPECT || member->reach == DP_REACH_DEAD)
    member->probe_now = !member->probe_open;
}

void
dp_agent_members_acked (DpAgentBoard *board, DpPeer from, const DpProbe *probe)
{
  merge_news (board, probe->news);
  DpMember *member = find_member (board, from.vm);
  if (member == NULL || probe->sequence != member->probe_sequence)
    return;
  note_sender (board, member, probe);
  member->probe_open = FALSE;
  member->misses = 0;
  member->introduced = board->self.announcement;
  set_reach (board, member, DP_REACH_OK);
}

static void
note_miss (DpAgentBoard *board, DpMember *member)
{
  member->probe_open = FALSE;
  member->misses++;
  if (member->reach == DP_REACH_DEAD)
    return;
  member->probe_now = TRUE;
  if (member->misses < SUSPECT_MISSES || member->reach == DP_REACH_SUSPECT)
    return;
  set_reach (board, member, DP_REACH_SUSPECT);
  set_news (board, member);
  dp_agent_count (board, "dogwoodplank_agent_suspicions_total", NULL, NULL);
  dp_agent_members_spread (board);
}

/* `budget`: probes that may still be sent in this tick. */
static void
check_member (DpAgentBoard *board, DpMember *member, guint *budget)
{
  if (member->probe_open && board->now - member->probe_sent >= ACK_TIMEOUT)
    note_miss (board, member);
  if (member->reach == DP_REACH_SUSPECT && board->now - member->reach_since >= DEAD_AFTER)
    {
      set_reach (board, member, DP_REACH_DEAD);
      member->news_left = 0;
    }
  if (!member->probe_now || member->probe_open || *budget == 0)
    return;
  send_probe (board, member);
  (*budget)--;
}

static gboolean
is_forgotten (const DpAgentBoard *board, const DpMember *member)
{
  return member->reach == DP_REACH_DEAD && member->listed == DP_LISTED_NOT
         && board->vms_version != 0 && board->now - member->reach_since >= FORGET_AFTER;
}

static void
check_members (DpAgentBoard *board)
{
  guint budget = TICK_PROBES_MAX;
  for (guint i = board->order->len; i > 0; i--)
    {
      DpMember *member = g_ptr_array_index (board->order, i - 1);
      if (is_forgotten (board, member))
        remove_member (board, member);
      else
        check_member (board, member, &budget);
    }
}

static gboolean
may_probe (const DpAgentBoard *board, const DpMember *member)
{
  if (member->probe_open)
    return FALSE;
  return member->reach != DP_REACH_DEAD
         || board->now - member->probe_sent >= DEAD_PROBE_INTERVAL;
}

/* Probes the next member in turn that is near, or far. */
static void
probe_next (DpAgentBoard *board, gboolean near)
{
  for (guint tries = board->order->len; tries > 0; tries--)
    {
      board->next_in_order = (board->next_in_order + 1) % board->order->len;
      DpMember *member = g_ptr_array_index (board->order, board->next_in_order);
      if (is_near (board, member) != near || !may_probe (board, member))
        continue;
      send_probe (board, member);
      return;
    }
}

static DpUsec
jittered (DpAgentBoard *board, DpUsec interval)
{
  return (DpUsec)((double)interval * (0.8 + 0.4 * dp_agent_random (board)));
}

void
dp_agent_members_tick (DpAgentBoard *board)
{
  check_members (board);
  if (board->now >= board->next_probe)
    {
      board->next_probe = board->now + jittered (board, PROBE_INTERVAL);
      probe_next (board, TRUE);
    }
  if (board->now >= board->next_far_probe && dp_agent_is_watcher (board))
    {
      board->next_far_probe = board->now + jittered (board, FAR_PROBE_INTERVAL);
      probe_next (board, FALSE);
    }
}

void
dp_agent_members_resumed (DpAgentBoard *board)
{
  for (guint i = 0; i < board->order->len; i++)
    {
      DpMember *member = g_ptr_array_index (board->order, i);
      member->probe_open = FALSE;
      member->misses = 0;
      member->probe_now = is_near (board, member);
    }
}

/* Probes up to `max` random peers that answer. */
static void
spread_to (DpAgentBoard *board, gboolean near, guint max)
{
  guint count = board->order->len;
  guint first = count > 0 ? (guint)(dp_agent_random (board) * count) : 0;
  guint sent = 0;
  for (guint i = 0; i < count && sent < max; i++)
    {
      DpMember *member = g_ptr_array_index (board->order, (first + i) % count);
      if (is_near (board, member) != near || member->reach == DP_REACH_DEAD
          || member->reach == DP_REACH_SUSPECT)
        continue;
      send_probe (board, member);
      sent++;
    }
}

void
dp_agent_members_spread (DpAgentBoard *board)
{
  spread_to (board, FALSE, FAR_SPREAD_PEERS);
  spread_to (board, TRUE, SPREAD_PEERS);
}

/* --- the platform's list --- */

static void
take_listed_row (DpAgentBoard *board, const DpVm *row)
{
  DpListed listed = row->state == DP_VM_LEAVING ? DP_LISTED_LEAVING : DP_LISTED_LIVE;
  if (row->name == board->self.name)
    {
      board->listed_leaving = listed == DP_LISTED_LEAVING;
      return;
    }
  DpMember *member = find_member (board, row->name);
  if (member == NULL)
    member = add_member (board, row);
  member->listed = listed;
  if (listed != DP_LISTED_LEAVING || member->vm.state == DP_VM_LEAVING)
    return;
  /* The list alone suffices. The VM itself may not know yet: it is told like all others. */
  member->vm.state = DP_VM_LEAVING;
  member->probe_now = TRUE;
  set_news (board, member);
  board->members_changed = TRUE;
  log_member (board, "vm_leaving", member, FALSE);
  dp_agent_members_spread (board);
}

static void
clear_listed (DpAgentBoard *board)
{
  for (guint i = 0; i < board->order->len; i++)
    ((DpMember *)g_ptr_array_index (board->order, i))->listed = DP_LISTED_NOT;
}

gboolean
dp_agent_members_listed (DpAgentBoard *board, GBytes *value)
{
  GArray *rows = dp_agent_list_parse (value);
  if (rows == NULL)
    return FALSE;
  clear_listed (board);
  for (guint i = 0; i < rows->len; i++)
    take_listed_row (board, &g_array_index (rows, DpVm, i));
  g_array_unref (rows);
  return TRUE;
}

/* --- this VM --- */

static void
announce (DpAgentBoard *board)
{
  GHashTable *told = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < board->order->len; i++)
    {
      DpMember *member = g_ptr_array_index (board->order, i);
      if (member->reach == DP_REACH_DEAD)
        continue;
      guint far = GPOINTER_TO_UINT (g_hash_table_lookup (told, &member->vm.data_centre));
      if (!is_near (board, member) && far >= FAR_ANNOUNCED)
        continue;
      g_hash_table_insert (told, &member->vm.data_centre, GUINT_TO_POINTER (far + 1));
      send_probe (board, member);
    }
  g_hash_table_unref (told);
}

void
dp_agent_members_set_self (DpAgentBoard *board, DpVmState state, guint64 incarnation)
{
  if (state == DP_VM_LEAVING && board->self.state != DP_VM_LEAVING)
    board->leaving_since = board->now;
  board->self.state = state;
  board->self.incarnation = incarnation;
  board->self.announcement++;
  board->members_changed = TRUE;
  announce (board);
}

void
dp_agent_members_start (DpAgentBoard *board)
{
  for (guint i = 0; i < board->options.peer_count; i++)
    {
      const DpVm *peer = &board->options.peers[i];
      if (is_proper_row (peer) && peer->name != board->self.name
          && find_member (board, peer->name) == NULL)
        add_member (board, peer);
    }
}
