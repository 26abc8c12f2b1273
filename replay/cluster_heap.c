/* Event queue: a binary heap ordered by time, then by insertion. */
#include "replay/cluster.h"

static gboolean
is_before (const SimEvent *a, const SimEvent *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static SimEvent **
heap_slot (Sim *sim, guint index)
{
  return (SimEvent **)&g_ptr_array_index (sim->heap, index);
}

static void
heap_swap (Sim *sim, guint a, guint b)
{
  SimEvent *event = *heap_slot (sim, a);
  *heap_slot (sim, a) = *heap_slot (sim, b);
  *heap_slot (sim, b) = event;
}

static void
sift_up (Sim *sim, guint index)
{
  while (index > 0 && is_before (*heap_slot (sim, index), *heap_slot (sim, (index - 1) / 2)))
    {
      heap_swap (sim, index, (index - 1) / 2);
      index = (index - 1) / 2;
    }
}

static void
sift_down (Sim *sim)
{
  guint index = 0;
  for (;;)
    {
      guint smallest = index;
      for (guint child = 2 * index + 1; child <= 2 * index + 2; child++)
        {
          if (child < sim->heap->len
              && is_before (*heap_slot (sim, child), *heap_slot (sim, smallest)))
            smallest = child;
        }
      if (smallest == index)
        return;
      heap_swap (sim, index, smallest);
      index = smallest;
    }
}

SimEvent *
sim_push_event (Sim *sim, DpUsec at, SimEventType type, guint index)
{
  SimEvent *event = g_new0 (SimEvent, 1);
  event->at = MAX (at, sim->now);
  event->sequence = ++sim->next_sequence;
  event->type = type;
  event->index = index;
  g_ptr_array_add (sim->heap, event);
  sift_up (sim, sim->heap->len - 1);
  return event;
}

SimEvent *
sim_pop_event (Sim *sim)
{
  if (sim->heap->len == 0)
    return NULL;
  heap_swap (sim, 0, sim->heap->len - 1);
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
