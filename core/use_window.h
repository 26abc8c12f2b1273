/* Usage in a sliding window, stored in slots.
 *
 * A use counts for one window length after its time, plus at most one slot.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

#define DP_USE_SLOTS 320

typedef struct DpUseWindow
{
  DpUsec slot_length;
  gint64 newest; /* index of the slot that contains the time of the last call */
  double sum;
  double use[DP_USE_SLOTS + 1]; /* by slot index, modulo the array length */
} DpUseWindow;

void dp_use_window_init (DpUseWindow *window, DpUsec length, DpUsec now);
/* Total use in the window that ends now. */
double dp_use_window_sum (DpUseWindow *window, DpUsec now);
/* Use in the last `span` of the window, plus at most one slot. */
double dp_use_window_recent (DpUseWindow *window, DpUsec span, DpUsec now);
void dp_use_window_add (DpUseWindow *window, double amount, DpUsec at, DpUsec now);
/* Subtracts a use that was added for the time `at`; no effect if it has left the window. */
void dp_use_window_subtract (DpUseWindow *window, double amount, DpUsec at, DpUsec now);
/* Time until at least `amount` of the present use has left the window. */
DpUsec dp_use_window_time_until (DpUseWindow *window, double amount, DpUsec now);
/* Writes the use per `per_span` slots to `spans`, newest first, without the oldest ones if
 * there are more than `spans_max`. Returns the number written. */
guint dp_use_window_read (
  DpUseWindow *window, guint per_span, guint *spans, guint spans_max, DpUsec now);
