/* Measures how long single pieces of work hold the event loop's thread, and how late the loop
 * is.
 *
 * Totals by kind are metrics; the longest piece and the worst delay are logged, at most one
 * line of each a second. The meter holds a reference to the counters.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"

#include <glib.h>

typedef struct DpWorkMeter DpWorkMeter;

DpWorkMeter *dp_work_meter_new (DpCounters *counters);
void dp_work_meter_free (DpWorkMeter *meter);

/* A piece of work of this kind ran from `begun_at` to `now`. `bytes`: size of its input; 0 if
 * it has none. `kind` must be a string constant. Pieces may be nested, and then count twice. */
void dp_work_meter_add (
  DpWorkMeter *meter, const char *kind, gsize bytes, DpUsec begun_at, DpUsec now);

/* A timer of the loop ran `late` microseconds after it was due. */
void dp_work_meter_add_lateness (DpWorkMeter *meter, DpUsec late, DpUsec now);
