/* Questions about streams that this VM doesn't know. */
#include "core/stream_copies/stream_copies_private.h"

/* An answer takes a round trip; a VM that was killed sends none. */
#define ROUND_TIMEOUT (150 * DP_USEC_PER_MSEC)
/* The rest wait. */
#define INQUIRIES_MAX 4
/* Streams that wait, each of which is compared with the others. More are not asked about. */
#define PENDING_MAX 1024

/* VMs of each group that are asked in each round; the last round asks all that are left. */
static const guint round_vms[] = { 3, 8, G_MAXUINT };

void
dp_stream_copies_inquiry_free (gpointer data)
{
  DpStreamCopiesInquiry *inquiry = data;
  g_array_unref (inquiry->wanted);
  g_array_unref (inquiry->unknown);
  g_array_unref (inquiry->asked);
  g_free (inquiry->settled);
  g_free (inquiry);
}

static gboolean
contains (const GArray *streams, guint64 stream)
{
  for (guint i = 0; i < streams->len; i++)
    if (g_array_index (streams, guint64, i) == stream)
      return TRUE;
  return FALSE;
}

gboolean
dp_stream_copies_is_asking (const DpStreamCopies *copies, guint64 stream)
{
  for (guint i = 0; i < copies->inquiries->len; i++)
    {
      const DpStreamCopiesInquiry *inquiry = g_ptr_array_index (copies->inquiries, i);
      if (!inquiry->is_over && contains (inquiry->unknown, stream))
        return TRUE;
    }
  return contains (copies->pending, stream);
}

DpStreamCopiesAsked
dp_stream_copies_asked (const DpStreamCopies *copies, guint64 stream)
{
  for (guint i = copies->inquiries->len; i > 0; i--)
    {
      const DpStreamCopiesInquiry *inquiry = g_ptr_array_index (copies->inquiries, i - 1);
      if (contains (inquiry->wanted, stream))
        return (DpStreamCopiesAsked){ inquiry->asked->len, inquiry->answered };
    }
  return (DpStreamCopiesAsked){ 0 };
}

gboolean
dp_stream_copies_asks_all (const DpStreamCopies *copies)
{
  return copies->groups == 1;
}

void
dp_stream_copies_ask (DpStreamCopies *copies, guint64 stream)
{
  if (copies->pending->len < PENDING_MAX && !dp_stream_copies_is_asking (copies, stream))
    g_array_append_val (copies->pending, stream);
}

/* --- rounds --- */

static gboolean
was_asked (const DpStreamCopiesInquiry *inquiry, DpName vm)
{
  for (guint i = 0; i < inquiry->asked->len; i++)
    if (g_array_index (inquiry->asked, DpStreamCopiesAskedVm, i).vm == vm)
      return TRUE;
  return FALSE;
}

/* Sorts VMs that are likely to answer first. */
static gint
compare_candidates (gconstpointer a, gconstpointer b, gpointer data)
{
  const DpOwners *owners = data;
  DpName left = *(const DpName *)a, right = *(const DpName *)b;
  gboolean is_left_available = dp_owners_is_available (owners, left);
  if (is_left_available != dp_owners_is_available (owners, right))
    return is_left_available ? -1 : 1;
  DpUsec left_at = dp_owners_last_seen_at (owners, left);
  DpUsec right_at = dp_owners_last_seen_at (owners, right);
  return (left_at < right_at) - (left_at > right_at);
}

/* Returns the VMs that were not asked yet, of groups that are not settled. */
static GArray *
list_candidates (const DpStreamCopies *copies, const DpStreamCopiesInquiry *inquiry)
{
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint i = 0; copies->view != NULL && i < copies->view->vms->len; i++)
    {
      DpName vm = g_array_index (copies->view->vms, DpVm, i).name;
      if (vm != copies->options.self && dp_stream_copies_is_capable (copies, vm)
          && !inquiry->settled[dp_stream_copies_group_of (vm, inquiry->groups)]
          && !was_asked (inquiry, vm))
        g_array_append_val (vms, vm);
    }
  g_array_sort_with_data (vms, compare_candidates, (gpointer)copies->options.owners);
  return vms;
}

/* Returns FALSE if there is nobody left to ask. */
static gboolean
send_round (DpStreamCopies *copies, DpStreamCopiesInquiry *inquiry, DpUsec now)
{
  guint most = inquiry->groups > 1 ? round_vms[inquiry->round] : G_MAXUINT;
  DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES_ASK };
  DpStreamCopiesAsk *question = &message.stream_copies_ask;
  question->question = inquiry->id;
  question->count = inquiry->unknown->len;
  for (guint i = 0; i < question->count; i++)
    question->streams[i] = g_array_index (inquiry->unknown, guint64, i);
  GArray *candidates = list_candidates (copies, inquiry);
  guint *counts = g_new0 (guint, inquiry->groups);
  guint sent = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      DpName vm = g_array_index (candidates, DpName, i);
      guint group = dp_stream_copies_group_of (vm, inquiry->groups);
      if (counts[group] >= most)
        continue;
      counts[group]++;
      sent++;
      const DpStreamCopiesAskedVm row = { .vm = vm, .group = group };
      g_array_append_val (inquiry->asked, row);
      copies->options.send (copies->options.user, vm, &message);
    }
  g_free (counts);
  g_array_unref (candidates);
  inquiry->round_started_at = now;
  return sent > 0;
}

static void
begin_inquiry (DpStreamCopies *copies, DpUsec now)
{
  DpStreamCopiesInquiry *inquiry = g_new0 (DpStreamCopiesInquiry, 1);
  guint count = MIN (copies->pending->len, DP_STREAM_COPIES_MAX);
  inquiry->id = ++copies->last_inquiry;
  inquiry->wanted = g_array_sized_new (FALSE, FALSE, sizeof (guint64), count);
  inquiry->unknown = g_array_sized_new (FALSE, FALSE, sizeof (guint64), count);
  g_array_append_vals (inquiry->wanted, copies->pending->data, count);
  g_array_append_vals (inquiry->unknown, copies->pending->data, count);
  g_array_remove_range (copies->pending, 0, count);
  inquiry->groups = copies->groups;
  inquiry->settled = g_new0 (guint8, copies->groups);
  inquiry->asked = g_array_new (FALSE, FALSE, sizeof (DpStreamCopiesAskedVm));
  copies->status.inquiries++;
  g_ptr_array_add (copies->inquiries, inquiry);
  inquiry->is_over = !send_round (copies, inquiry, now);
}

/* Returns TRUE if nothing more is to be learned. */
static gboolean
advance (DpStreamCopies *copies, DpStreamCopiesInquiry *inquiry, DpUsec now)
{
  if (inquiry->unknown->len == 0)
    return TRUE;
  gboolean is_answered = inquiry->answered == inquiry->asked->len;
  if (!is_answered && now - inquiry->round_started_at < ROUND_TIMEOUT)
    return FALSE;
  inquiry->round++;
  return inquiry->round == G_N_ELEMENTS (round_vms) || !send_round (copies, inquiry, now);
}

void
dp_stream_copies_tick_inquiries (DpStreamCopies *copies, DpUsec now)
{
  for (guint i = copies->inquiries->len; i > 0; i--)
    {
      DpStreamCopiesInquiry *inquiry = g_ptr_array_index (copies->inquiries, i - 1);
      if (inquiry->is_over)
        g_ptr_array_remove_index (copies->inquiries, i - 1);
      else
        inquiry->is_over = advance (copies, inquiry, now);
    }
  while (copies->pending->len > 0 && copies->inquiries->len < INQUIRIES_MAX)
    begin_inquiry (copies, now);
}

/* --- answers --- */

static void
remove_known (const DpStreamCopies *copies, DpStreamCopiesInquiry *inquiry)
{
  for (guint i = inquiry->unknown->len; i > 0; i--)
    {
      guint64 stream = g_array_index (inquiry->unknown, guint64, i - 1);
      if (dp_versions_of_stream (copies->options.versions, stream) != 0)
        g_array_remove_index_fast (inquiry->unknown, i - 1);
    }
}

void
dp_stream_copies_on_answer (DpStreamCopies *copies, DpName from, const DpStreamCopyRows *answer)
{
  for (guint i = 0; i < copies->inquiries->len; i++)
    {
      DpStreamCopiesInquiry *inquiry = g_ptr_array_index (copies->inquiries, i);
      if (inquiry->id != answer->question)
        continue;
      for (guint j = 0; j < inquiry->asked->len; j++)
        {
          DpStreamCopiesAskedVm *row
            = &g_array_index (inquiry->asked, DpStreamCopiesAskedVm, j);
          if (row->vm != from || row->has_answered)
            continue;
          row->has_answered = TRUE;
          inquiry->answered++;
          if (answer->is_complete)
            inquiry->settled[row->group] = TRUE;
        }
      remove_known (copies, inquiry);
    }
}

void
dp_stream_copies_send_answer (DpStreamCopies *copies,
                              DpName to,
                              const DpStreamCopiesAsk *question,
                              DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_STREAM_COPIES };
  DpStreamCopyRows *answer = &message.stream_copies;
  answer->type = DP_STREAM_COPIES_ANSWER;
  answer->question = question->question;
  answer->is_complete = dp_stream_copies_is_complete (copies, now);
  answer->count = question->count;
  for (guint i = 0; i < question->count; i++)
    answer->rows[i]
      = (DpStreamCopy){ question->streams[i], dp_versions_of_stream (copies->options.versions,
                                                                     question->streams[i]) };
  copies->options.send (copies->options.user, to, &message);
}
