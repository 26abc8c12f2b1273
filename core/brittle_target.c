#include "core/brittle_target.h"

#include "core/target_limiter.h"

/* Longer than the second that the target counts in: reports of rejections arrive late. */
#define REJECTION_WINDOW (1200 * DP_USEC_PER_MSEC)
/* After a rejection the target gets nothing until it completes a request, or for this long. */
#define CLOSED_DURATION (250 * DP_USEC_PER_MSEC)
/* The target gets nothing while it has rejected more than this part of what it survives. */
#define REJECTED_PART_MAX 0.5
/* After a rejection the room shrinks to what was not rejected, and grows by one request after
 * this time: seldom enough that growing too far costs one rejection in a second. */
#define GROWTH_INTERVAL (1200 * DP_USEC_PER_MSEC)
/* The same for a target that gets nothing after a single rejection. */
#define GROWTH_INTERVAL_STRICT (5 * DP_USEC_PER_SEC)

struct DpBrittleTarget
{
  DpUsec opens_at;     /* until then VMs report what they sent */
  DpUsec closed_until; /* after a rejection */
  guint room;          /* requests; as many as there are slots until one was rejected */
  DpUsec grown_at;
  DpUseWindow rejected;
  GArray *abandoned; /* DpUsec: until when each may run */
};

DpBrittleTarget *
dp_brittle_target_new (DpUsec now)
{
  DpBrittleTarget *brittle = g_new0 (DpBrittleTarget, 1);
  brittle->opens_at = G_MAXINT64;
  brittle->room = G_MAXUINT;
  brittle->abandoned = g_array_new (FALSE, FALSE, sizeof (DpUsec));
  dp_use_window_init (&brittle->rejected, REJECTION_WINDOW, now);
  return brittle;
}

void
dp_brittle_target_free (DpBrittleTarget *brittle)
{
  if (brittle == NULL)
    return;
  g_array_unref (brittle->abandoned);
  g_free (brittle);
}

gboolean
dp_brittle_target_is_unprepared (const DpBrittleTarget *brittle)
{
  return brittle->opens_at == G_MAXINT64;
}

void
dp_brittle_target_collect (DpBrittleTarget *brittle, DpUsec now)
{
  brittle->opens_at = now + DP_LIMIT_COLLECT_DURATION;
}

void
dp_brittle_target_reset (DpBrittleTarget *brittle)
{
  brittle->opens_at = G_MAXINT64;
}

void
dp_brittle_target_open (DpBrittleTarget *brittle)
{
  brittle->opens_at = 0;
  brittle->closed_until = 0;
  brittle->room = G_MAXUINT;
  g_array_set_size (brittle->abandoned, 0);
}

void
dp_brittle_target_record_rejection (DpBrittleTarget *brittle, guint assigned, DpUsec now)
{
  brittle->room = MIN (brittle->room, MAX (assigned, 1));
  brittle->grown_at = now;
  brittle->closed_until = now + CLOSED_DURATION;
  dp_use_window_add (&brittle->rejected, 1, now, now);
}

void
dp_brittle_target_record_end (DpBrittleTarget *brittle)
{
  brittle->closed_until = 0;
}

void
dp_brittle_target_record_abandoned (DpBrittleTarget *brittle, DpUsec until)
{
  g_array_append_val (brittle->abandoned, until);
}

static guint
count_abandoned (DpBrittleTarget *brittle, DpUsec now)
{
  for (guint i = brittle->abandoned->len; i > 0; i--)
    if (g_array_index (brittle->abandoned, DpUsec, i - 1) <= now)
      g_array_remove_index_fast (brittle->abandoned, i - 1);
  return brittle->abandoned->len;
}

static gboolean
is_risky (const DpBrittleLoad *load, double rejected)
{
  return rejected > load->rejections_max * REJECTED_PART_MAX;
}

static guint
grow_room (DpBrittleTarget *brittle, const DpBrittleLoad *load, DpUsec now)
{
  DpUsec interval = is_risky (load, 1) ? GROWTH_INTERVAL_STRICT : GROWTH_INTERVAL;
  for (; brittle->room < load->slots && now - brittle->grown_at >= interval;
       brittle->grown_at += interval)
    brittle->room++;
  return MIN (brittle->room, load->slots);
}

guint
dp_brittle_target_capacity (DpBrittleTarget *brittle, const DpBrittleLoad *load, DpUsec now)
{
  guint used = load->assigned + count_abandoned (brittle, now);
  guint room = grow_room (brittle, load, now);
  if (now < brittle->opens_at || now < brittle->closed_until
      || is_risky (load, dp_use_window_sum (&brittle->rejected, now)))
    return 0;
  return room > used ? room - used : 0;
}
