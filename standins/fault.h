/* Fault switches of a stand-in: named values that are set by flags or by POST /fault.
 *
 * A body such as {"cut":"mid_chunk","times":1} sets the named switches; {} clears all. "times"
 * is the number of requests that the faults apply to; without it they apply to every request.
 */
#pragma once

#include <event2/http.h>
#include <glib.h>

#define FAULT_OFF (-1)

/* Exactly one of the two pointers is set. */
typedef struct FaultSwitch
{
  const char *name;
  gint64 *number; /* FAULT_OFF: off */
  char **text;    /* NULL: off; a set value is freed with g_free() */
} FaultSwitch;

typedef struct FaultTable
{
  const FaultSwitch *switches;
  guint count;
  gint64 requests_left; /* requests that the faults still apply to; FAULT_OFF: all */
} FaultTable;

/* Turns all switches off. */
void fault_clear (FaultTable *table);

/* Sets one switch from "NAME=VALUE"; FALSE if the name is unknown or the value invalid. */
gboolean fault_set (FaultTable *table, const char *assignment);

/* Returns whether the faults apply to one more request, and if so decrements requests_left. */
gboolean fault_consume (FaultTable *table);

/* Handles GET and POST /fault; the response has the values of all switches. */
void fault_handle (FaultTable *table, struct evhttp_request *req);
