#include "core/brittle_target.h"

#include "core/target_limiter.h"

/* Longer than the second that the target counts in: reports of rejections arrive late. */
#define REJECTION_WINDOW (1200 * DP_USEC_PER_MSEC)
/* After a rejection the target gets nothing until it completes a request, or for this long. */
#define CLOSED_DURATION (250 * DP_USEC_PER_MSEC)
/* Part of the rejections that the target survives for which requests are risked. */
#define RISKED_PART 2

struct DpBrittleTarget
{
  DpUsec opens_at;     /* until then VMs report what they sent */
  DpUsec closed_until; /* after a rejection */
  DpUseWindow rejected;
  GArray *abandoned; /* DpUsec: until when each may run */
};

DpBrittleTarget *
dp_brittle_target_new (DpUsec now)
{
  DpBrittleTarget *brittle = g_new0 (DpBrittleTarget, 1);
  brittle->opens_at = G_MAXINT64;
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
  g_array_set_size (brittle->abandoned, 0);
}

void
dp_brittle_target_record_rejection (DpBrittleTarget *brittle, DpUsec now)
{
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

/* After a rejection, requests without output may all be rejected as well. */
static guint
count_risks_left (DpBrittleTarget *brittle, const DpBrittleLoad *load, DpUsec now)
{
  guint rejected = (guint)dp_use_window_sum (&brittle->rejected, now);
  guint risks = load->rejections_max / RISKED_PART;
  guint taken = rejected + load->unstarted;
  if (rejected == 0)
    return G_MAXUINT;
  return risks > taken ? risks - taken : 0;
}

guint
dp_brittle_target_capacity (DpBrittleTarget *brittle, const DpBrittleLoad *load, DpUsec now)
{
  guint used = load->assigned + count_abandoned (brittle, now);
  if (now < brittle->opens_at || now < brittle->closed_until || used >= load->slots)
    return 0;
  return MIN (load->slots - used, count_risks_left (brittle, load, now));
}
