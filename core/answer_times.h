/* How long the complete responses of each route have taken lately. A VM that is about to stop
 * takes on only what it can still finish.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef struct DpAnswerTimes DpAnswerTimes;

DpAnswerTimes *dp_answer_times_new (void);
void dp_answer_times_free (DpAnswerTimes *times);

/* Records a complete response, `duration` after its request arrived. */
void dp_answer_times_add (DpAnswerTimes *times, DpName route, DpUsec duration, DpUsec now);

/* Duration of the slowest response to the route in at least the last half minute, or 0 if there
 * were too few to tell. */
DpUsec dp_answer_times_slowest (const DpAnswerTimes *times, DpName route, DpUsec now);
