/* Fault switches of a stand-in: named values, set by flags or by POST /fault.
 *
 * A body such as {"cut":"mid_chunk","times":1} sets the named switches; {} clears all of them.
 * `times` limits how many requests see them; without it every request does.
 */
#pragma once

#include <event2/http.h>
#include <glib.h>

#define FAULT_OFF (-1)

/* One switch: exactly one of the two pointers is set. */
typedef struct FaultSwitch
{
  const char *name;
  gint64 *number; /* FAULT_OFF: off */
  char **text;    /* NULL: off; owned by the switch's variable */
} FaultSwitch;

typedef struct FaultTable
{
  const FaultSwitch *switches;
  guint count;
  gint64 times; /* requests left that see the faults; FAULT_OFF: no limit */
} FaultTable;

/* Sets all switches to off. */
void fault_clear (FaultTable *table);

/* Sets one switch from "NAME=VALUE"; FALSE if there is no such switch or value. */
gboolean fault_set (FaultTable *table, const char *assignment);

/* Does one more request see the faults? Counts it. */
gboolean fault_take (FaultTable *table);

/* Answers GET and POST of /fault. */
void fault_handle (FaultTable *table, struct evhttp_request *req);
