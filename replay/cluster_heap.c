/* Event queue: a binary heap by time, then by order of scheduling. */
#include "replay/cluster.h"

static gboolean
is_before (const SimEvent *a, const SimEvent *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static SimEvent **
slot (Sim *sim, guint index)
{
  return (SimEvent **)&g_ptr_array_index (sim->heap, index);
}

static void
swap (Sim *sim, guint a, guint b)
{
  SimEvent *event = *slot (sim, a);
  *slot (sim, a) = *slot (sim, b);
  *slot (sim, b) = event;
}

static void
sift_up (Sim *sim, guint index)
{
  while (index > 0 && is_before (*slot (sim, index), *slot (sim, (index - 1) / 2)))
    {
      swap (sim, index, (index - 1) / 2);
      index = (index - 1) / 2;
    }
}

static void
sift_down (Sim *sim)
{
  guint index = 0;
  for (;;)
    {
      guint least = index;
      for (guint child = 2 * index + 1; child <= 2 * index + 2; child++)
        {
          if (child < sim->heap->len && is_before (*slot (sim, child), *slot (sim, least)))
            least = child;
        }
      if (least == index)
        return;
      swap (sim, index, least);
      index = least;
    }
}

SimEvent *
sim_schedule (Sim *sim, DpUsec at, SimEventType type, guint index)
{
  SimEvent *event = g_new0 (SimEvent, 1);
  event->at = MAX (at, sim->now);
  event->order = ++sim->next_order;
  event->type = type;
  event->index = index;
  g_ptr_array_add (sim->heap, event);
  sift_up (sim, sim->heap->len - 1);
  return event;
}

SimEvent *
sim_pop (Sim *sim)
{
  if (sim->heap->len == 0)
    return NULL;
  swap (sim, 0, sim->heap->len - 1);
  SimEvent *event = g_ptr_array_remove_index (sim->heap, sim->heap->len - 1);
  sift_down (sim);
  return event;
}

void
sim_event_free (SimEvent *event)
{
  if (event == NULL)
    return;
  if (event->message != NULL)
    dp_message_clear (event->message);
  g_free (event->message);
  g_free (event->work);
  g_free (event->cache_events);
  g_free (event);
}
