#include "core/answer_times.h"

#define WINDOW (30 * DP_USEC_PER_SEC)
/* With fewer responses, slow ones may not have been among them. */
#define RESPONSES_MIN 20
/* Routes that are no longer in use are removed once there are more. */
#define ROUTES_KEPT 256

typedef struct Window
{
  DpUsec slowest;
  guint count;
} Window;

/* The last two windows of one route. */
typedef struct Row
{
  gint64 number; /* of the current window, since the clock's origin */
  Window current;
  Window previous;
} Row;

struct DpAnswerTimes
{
  GHashTable *rows; /* DpName -> Row */
};

DpAnswerTimes *
dp_answer_times_new (void)
{
  DpAnswerTimes *times = g_new0 (DpAnswerTimes, 1);
  times->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return times;
}

void
dp_answer_times_free (DpAnswerTimes *times)
{
  if (times == NULL)
    return;
  g_hash_table_unref (times->rows);
  g_free (times);
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer user)
{
  const Row *row = value;
  const gint64 *number = user;
  return row->number + 1 < *number;
}

static Row *
find_or_add (DpAnswerTimes *times, DpName route, gint64 number)
{
  Row *row = g_hash_table_lookup (times->rows, &route);
  if (row != NULL)
    return row;
  if (g_hash_table_size (times->rows) >= ROUTES_KEPT)
    g_hash_table_foreach_remove (times->rows, is_unused, &number);
  row = g_new0 (Row, 1);
  row->number = number;
  g_hash_table_insert (times->rows, g_memdup2 (&route, sizeof route), row);
  return row;
}

/* Returns the windows as they are at `number`. */
static Row
advance (Row row, gint64 number)
{
  if (row.number == number)
    return row;
  return (Row){ .number = number,
                .previous = row.number + 1 == number ? row.current : (Window){ 0 } };
}

void
dp_answer_times_add (DpAnswerTimes *times, DpName route, DpUsec duration, DpUsec now)
{
  gint64 number = now / WINDOW;
  Row *row = find_or_add (times, route, number);
  *row = advance (*row, number);
  row->current.slowest = MAX (row->current.slowest, duration);
  row->current.count++;
}

DpUsec
dp_answer_times_slowest (const DpAnswerTimes *times, DpName route, DpUsec now)
{
  const Row *found = g_hash_table_lookup (times->rows, &route);
  if (found == NULL)
    return 0;
  Row row = advance (*found, now / WINDOW);
  if (row.current.count + row.previous.count < RESPONSES_MIN)
    return 0;
  return MAX (row.current.slowest, row.previous.slowest);
}
