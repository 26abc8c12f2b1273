#include "net/work_meter.h"

#include "common/log.h"

#include <string.h>

#define LOG_INTERVAL DP_USEC_PER_SEC
/* Shorter pieces of work are not logged. */
#define SLOW_WORK (50 * DP_USEC_PER_MSEC)
/* Shorter delays are not logged. */
#define LATE_LOOP (250 * DP_USEC_PER_MSEC)
/* Shorter delays are not recorded: timers are seldom exact. */
#define LATENESS_MIN (10 * DP_USEC_PER_MSEC)

/* What happened since the last log line, or since the last timer. */
typedef struct Worst
{
  const char *kind;
  gsize bytes;
  DpUsec duration;
  guint count;
} Worst;

struct DpWorkMeter
{
  DpCounters *counters;
  Worst slow; /* since the last line of slow work */
  DpUsec slow_logged_at;
  Worst recent;   /* since the last timer */
  DpUsec working; /* all pieces since the last timer */
  DpUsec late_logged_at;
};

DpWorkMeter *
dp_work_meter_new (DpCounters *counters)
{
  DpWorkMeter *meter = g_new0 (DpWorkMeter, 1);
  meter->counters = dp_counters_ref (counters);
  return meter;
}

void
dp_work_meter_free (DpWorkMeter *meter)
{
  if (meter == NULL)
    return;
  dp_counters_unref (meter->counters);
  g_free (meter);
}

static void
record_worst (Worst *worst, const char *kind, gsize bytes, DpUsec duration)
{
  worst->count++;
  if (duration < worst->duration)
    return;
  worst->kind = kind;
  worst->bytes = bytes;
  worst->duration = duration;
}

static void
log_worst (const char *event, const Worst *worst, DpUsec late, DpUsec working)
{
  char bytes[24], work_ms[24], count[16], late_ms[24], working_ms[24];
  g_snprintf (bytes, sizeof bytes, "%zu", worst->bytes);
  g_snprintf (work_ms, sizeof work_ms, "%" G_GINT64_FORMAT, worst->duration / DP_USEC_PER_MSEC);
  g_snprintf (count, sizeof count, "%u", worst->count);
  g_snprintf (late_ms, sizeof late_ms, "%" G_GINT64_FORMAT, late / DP_USEC_PER_MSEC);
  g_snprintf (working_ms, sizeof working_ms, "%" G_GINT64_FORMAT, working / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, event, "late_ms", late > 0 ? late_ms : NULL, "working_ms",
          late > 0 ? working_ms : NULL, "kind", worst->kind, "work_ms", work_ms, "bytes", bytes,
          "pieces", count, NULL);
}

static void
log_slow_work (DpWorkMeter *meter, DpUsec now)
{
  if (meter->slow_logged_at != 0 && now - meter->slow_logged_at < LOG_INTERVAL)
    return;
  meter->slow_logged_at = now;
  log_worst ("work_slow", &meter->slow, 0, 0);
  meter->slow = (Worst){ 0 };
}

void
dp_work_meter_add (
  DpWorkMeter *meter, const char *kind, gsize bytes, DpUsec begun_at, DpUsec now)
{
  DpUsec duration = MAX (now - begun_at, 0);
  dp_counters_add (meter->counters, "dogwoodplank_work_us_total", "kind", kind,
                   (guint64)duration);
  if (bytes > 0)
    dp_counters_add (meter->counters, "dogwoodplank_work_bytes_total", "kind", kind, bytes);
  record_worst (&meter->recent, kind, bytes, duration);
  meter->working += duration;
  if (duration < SLOW_WORK)
    return;
  record_worst (&meter->slow, kind, bytes, duration);
  log_slow_work (meter, now);
}

void
dp_work_meter_add_lateness (DpWorkMeter *meter, DpUsec late, DpUsec now)
{
  if (late >= LATENESS_MIN)
    dp_counters_observe_ms (meter->counters, "dogwoodplank_loop_late_ms",
                            (guint64)(late / DP_USEC_PER_MSEC));
  if (late >= LATE_LOOP
      && (meter->late_logged_at == 0 || now - meter->late_logged_at >= LOG_INTERVAL))
    {
      meter->late_logged_at = now;
      log_worst ("loop_late", &meter->recent, late, meter->working);
    }
  meter->recent = (Worst){ 0 };
  meter->working = 0;
}
