/* Limits that targets state for all VMs together: sets them and checks what arrives. */
#include "soak/soak.h"

#include <stdlib.h>
#include <string.h>

/* The users' rule, milliseconds: from NOTICE after a limit is first stated, in any window. */
#define WINDOW 4000
#define NOTICE 3000
#define FACTOR 1.5
#define EXTRA 5
/* A VM that was started or signalled may exceed the limit for this long. */
#define EXCUSE (WINDOW + NOTICE)
#define LIMITS_MAX 3

static const char *const limits[] = { "0", "0.4", "1", "2.5", "6", "15" };

static gint64
now_msec (void)
{
  return g_get_monotonic_time () / 1000;
}

void
soak_target_set_limit (SoakCluster *cluster, SoakTarget *target, const char *limit)
{
  if (target->limit != NULL)
    g_array_index (target->limits, SoakLimit, target->limits->len - 1).to = now_msec ();
  gboolean has_changed = target->limit != limit;
  target->limit = limit;
  if (has_changed)
    soak_target_send_limit (target);
  if (limit == NULL)
    return;
  const SoakLimit row
    = { .per_second = g_ascii_strtod (limit, NULL), .from = now_msec (), .to = G_MAXINT64 };
  g_array_append_val (target->limits, row);
  soak_cluster_log (cluster, "target_limit %s %s", target->id, limit);
}

void
soak_target_record_disturbance (SoakTarget *target)
{
  gint64 now = now_msec ();
  g_array_append_val (target->disturbed_at, now);
}

void
soak_limits_choose (SoakCluster *cluster)
{
  guint count = (guint)g_rand_int_range (cluster->random, 0, LIMITS_MAX + 1);
  for (guint i = 0; i < count; i++)
    {
      SoakTarget *target
        = &cluster->targets[g_rand_int_range (cluster->random, 0, SOAK_TARGETS)];
      const char *limit
        = limits[g_rand_int_range (cluster->random, 0, (gint32)G_N_ELEMENTS (limits))];
      soak_target_set_limit (cluster, target, limit);
    }
}

/* --- check --- */

static gboolean
is_any_within (const GArray *times, gint64 from, gint64 to)
{
  for (guint i = 0; i < times->len; i++)
    {
      gint64 time = g_array_index (times, gint64, i);
      if (time >= from && time <= to)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_excused (const SoakCluster *cluster, const SoakArrival *arrival)
{
  const SoakRequest *request = g_hash_table_lookup (cluster->requests, arrival->id);
  return request == NULL
         || is_any_within (cluster->vms[request->vm].disturbances, arrival->at - EXCUSE,
                           arrival->at);
}

static guint
count_arrivals (const SoakCluster *cluster, const SoakTarget *target, gint64 from, gint64 to)
{
  guint count = 0;
  for (guint i = 0; i < target->arrivals->len; i++)
    {
      const SoakArrival *arrival = &g_array_index (target->arrivals, SoakArrival, i);
      count += arrival->at > from && arrival->at <= to && !is_excused (cluster, arrival);
    }
  return count;
}

/* Windows in which requests were held up on their way to the target are left out. */
static void
check_limit (SoakCluster *cluster, const SoakTarget *target, const SoakLimit *limit)
{
  double allowed = FACTOR * limit->per_second * WINDOW / 1000 + EXTRA;
  for (guint i = 0; i < target->arrivals->len; i++)
    {
      gint64 at = g_array_index (target->arrivals, SoakArrival, i).at;
      gint64 from = MAX (at - WINDOW, limit->from);
      if (at < limit->from + NOTICE || at > limit->to
          || is_any_within (target->disturbed_at, from, at))
        continue;
      guint count = count_arrivals (cluster, target, from, at);
      if (count <= allowed)
        continue;
      soak_cluster_add_violation (
        cluster, "%s: %u requests in %d s with a limit of %.1f a second, %.1f allowed",
        target->id, count, WINDOW / 1000, limit->per_second, allowed);
      return;
    }
}

void
soak_check_limits (SoakCluster *cluster)
{
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      const SoakTarget *target = &cluster->targets[i];
      for (guint j = 0; j < target->limits->len; j++)
        check_limit (cluster, target, &g_array_index (target->limits, SoakLimit, j));
    }
}

void
soak_target_collect_arrivals (SoakTarget *target)
{
  char *text
    = http_exchange ("GET", target->address, SOAK_CONTROL_PORT, "/arrivals", NULL, NULL, NULL);
  char **lines = g_strsplit (text != NULL ? text : "", "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      const char *blank = strchr (lines[i], ' ');
      if (blank == NULL)
        continue;
      SoakArrival arrival = { .at = g_ascii_strtoll (lines[i], NULL, 10) };
      g_strlcpy (arrival.id, blank + 1, sizeof arrival.id);
      g_array_append_val (target->arrivals, arrival);
    }
  g_strfreev (lines);
  g_free (text);
}
