#include "core/use_window.h"

#include <string.h>

#define SLOT_COUNT (DP_USE_SLOTS + 1)

void
dp_use_window_init (DpUseWindow *window, DpUsec length, DpUsec now)
{
  memset (window, 0, sizeof *window);
  window->slot_length = MAX (length / DP_USE_SLOTS, 1);
  window->newest = now / window->slot_length;
}

static void
advance (DpUseWindow *window, DpUsec now)
{
  gint64 newest = now / window->slot_length;
  if (newest - window->newest > DP_USE_SLOTS)
    {
      memset (window->use, 0, sizeof window->use);
      window->sum = 0;
      window->newest = newest;
    }
  while (window->newest < newest)
    {
      window->newest++;
      double *use = &window->use[window->newest % SLOT_COUNT];
      window->sum = MAX (window->sum - *use, 0);
      *use = 0;
    }
}

double
dp_use_window_sum (DpUseWindow *window, DpUsec now)
{
  advance (window, now);
  return window->sum;
}

double
dp_use_window_recent (DpUseWindow *window, DpUsec span, DpUsec now)
{
  advance (window, now);
  double sum = 0;
  gint64 first = MAX (window->newest - span / window->slot_length, 0);
  for (gint64 slot = window->newest; slot >= first; slot--)
    sum += window->use[slot % SLOT_COUNT];
  return sum;
}

/* Returns the slot of that time; NULL if it has left the window. */
static double *
find_slot (DpUseWindow *window, DpUsec at, DpUsec now)
{
  advance (window, now);
  gint64 slot = at / window->slot_length;
  if (slot > window->newest || window->newest - slot > DP_USE_SLOTS)
    return NULL;
  return &window->use[slot % SLOT_COUNT];
}

void
dp_use_window_add (DpUseWindow *window, double amount, DpUsec at, DpUsec now)
{
  double *use = find_slot (window, MIN (at, now), now);
  if (use == NULL)
    return;
  *use += amount;
  window->sum += amount;
}

void
dp_use_window_subtract (DpUseWindow *window, double amount, DpUsec at, DpUsec now)
{
  double *use = find_slot (window, MIN (at, now), now);
  if (use == NULL)
    return;
  double removed = MIN (amount, *use);
  *use -= removed;
  window->sum = MAX (window->sum - removed, 0);
}

DpUsec
dp_use_window_time_until (DpUseWindow *window, double amount, DpUsec now)
{
  advance (window, now);
  double expired = 0;
  for (gint64 slot = window->newest - DP_USE_SLOTS; slot <= window->newest; slot++)
    {
      if (slot >= 0)
        expired += window->use[slot % SLOT_COUNT];
      if (expired >= amount)
        return (slot + SLOT_COUNT) * window->slot_length - now;
    }
  return SLOT_COUNT * window->slot_length;
}

guint
dp_use_window_read (
  DpUseWindow *window, guint per_span, guint *spans, guint spans_max, DpUsec now)
{
  advance (window, now);
  guint count = MIN ((SLOT_COUNT + per_span - 1) / per_span, spans_max);
  for (guint i = 0; i < count; i++)
    {
      double sum = 0;
      for (guint j = i * per_span; j < MIN ((i + 1) * per_span, SLOT_COUNT); j++)
        if (window->newest >= (gint64)j)
          sum += window->use[(window->newest - j) % SLOT_COUNT];
      spans[i] = (guint)sum;
    }
  return count;
}
