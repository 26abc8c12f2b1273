#include "core/shared_mode/shared_mode.h"

#include <math.h>

/* --- reports --- */

/* A VM reports its use if its part of the pool would fill this part of the slots when all VMs
 * had as many requests. */
#define REPORT_USE 0.7
/* A VM whose requests fill this part of the slots alone reports it at once. */
#define REPORT_USE_ALONE 0.5
/* Time constant of the average number of requests. With a shorter one, a VM among a hundred
 * would report after each single request. */
#define VM_AVERAGE_TIME (5 * DP_USEC_PER_SEC)
#define REPORT_INTERVAL DP_USEC_PER_SEC
/* The same after a rejection. The report may have been lost, or a new owner may need it. */
#define REJECTION_REPORT_INTERVAL (20 * DP_USEC_PER_MSEC)

/* --- decisions of the owner --- */

/* Reports of use count for this long. */
#define REPORT_AGE_MAX (2 * DP_USEC_PER_SEC)
/* Shared mode begins when the reports fill this part of the slots, */
#define ENTER_USE 0.8
/* or with this many rejections, none of them longer than REJECTION_GAP_MAX after the one
 * before. At 0.4 of the capacity, VMs that choose blindly cause a single one every few thousand
 * requests.
 */
#define REJECTIONS_MIN 2
#define REJECTION_GAP_MAX DP_USEC_PER_SEC
/* It is renewed while the average use is higher than this, or was within CALM_DURATION. */
#define LEAVE_USE 0.65
#define CALM_DURATION (2 * DP_USEC_PER_SEC)
#define OWNER_AVERAGE_TIME (2 * DP_USEC_PER_SEC)
#define ANNOUNCE_INTERVAL (500 * DP_USEC_PER_MSEC)
/* The same after a report: its sender doesn't know that the pool is shared. */
#define REPORTED_INTERVAL (20 * DP_USEC_PER_MSEC)
/* A VM that was asked by another one within this time is used as the owner. */
#define USED_AGE_MAX (300 * DP_USEC_PER_MSEC)
/* Another VM assigns requests until this long after its last announcement. */
#define OTHER_AGE_MAX (1200 * DP_USEC_PER_MSEC)
/* What the previous owner announces this long after this one has begun may be its last
 * announcement. It counts only until RENEWAL_MAX after it. */
#define HANDOVER_DURATION (100 * DP_USEC_PER_MSEC)
#define RENEWAL_MAX (300 * DP_USEC_PER_MSEC)
/* Owners that have just heard of each other announce more often for CONTACT_DURATION. */
#define CONTACT_INTERVAL (100 * DP_USEC_PER_MSEC)
#define CONTACT_DURATION DP_USEC_PER_SEC
/* Survives three lost announcements. */
#define ANNOUNCED_DURATION (2 * DP_USEC_PER_SEC)
/* If the mode ended without ever seeing this use, the target that had rejected requests has a
 * fault of its own. Its rejections then don't count for UNFOUNDED_DURATION. */
#define FOUNDED_USE 0.6
#define UNFOUNDED_DURATION (30 * DP_USEC_PER_SEC)

#define MILLI 1000.0

/* A VM that has announced the mode. */
typedef struct Announcer
{
  DpName vm;
  DpUsec until;
  DpUsec heard_at;
  guint milli;
} Announcer;

typedef struct Report
{
  DpName vm;
  guint milli;
  DpUsec at;
} Report;

struct DpSharedMode
{
  DpName self;
  GArray *announcers; /* Announcer: one as a rule, more while VMs disagree on the owner */
  /* VM */
  double vm_running; /* moving average */
  DpUsec averaged_at;
  guint rejections; /* since the last report */
  DpName rejected_by;
  DpUsec reported_at;
  /* owner */
  GArray *reports;      /* Report: the newest of each VM */
  guint reported;       /* rejections in reports, since the mode began or in the last series */
  DpUsec rejected_at;   /* time of the last report of some */
  DpName reported_from; /* the target of the last of them */
  DpUsec report_at;     /* time of the newest report */
  DpUsec asked_at;
  gboolean is_deciding; /* this VM announces the mode */
  DpUsec began_at;
  double use;     /* moving average */
  double use_max; /* since the mode began */
  DpUsec use_at;
  DpUsec busy_at;
  DpUsec announced_at;
  guint announced_milli;
  gboolean was_reported; /* since then */
  DpUsec contact_at;     /* time at which another owner was heard first */
  DpUsec ended_at;
  DpName unfounded_target;
  DpUsec unfounded_until;
};

const char *
dp_shared_mode_cause_name (DpSharedModeCause cause)
{
  static const char *const names[] = {
    [DP_SHARED_MODE_NONE] = "none",
    [DP_SHARED_MODE_REJECTIONS] = "rejections",
    [DP_SHARED_MODE_USE] = "use",
    [DP_SHARED_MODE_ASKED] = "asked",
    [DP_SHARED_MODE_TAKEN_OVER] = "taken_over",
    [DP_SHARED_MODE_CALM] = "calm",
  };
  return names[cause];
}

DpSharedMode *
dp_shared_mode_new (DpName self)
{
  DpSharedMode *mode = g_new0 (DpSharedMode, 1);
  mode->self = self;
  mode->announcers = g_array_new (FALSE, FALSE, sizeof (Announcer));
  mode->reports = g_array_new (FALSE, FALSE, sizeof (Report));
  return mode;
}

void
dp_shared_mode_free (DpSharedMode *mode)
{
  if (mode == NULL)
    return;
  g_array_unref (mode->announcers);
  g_array_unref (mode->reports);
  g_free (mode);
}

gboolean
dp_shared_mode_is_on (const DpSharedMode *mode, DpUsec now)
{
  for (guint i = 0; i < mode->announcers->len; i++)
    if (g_array_index (mode->announcers, Announcer, i).until > now)
      return TRUE;
  return FALSE;
}

/* Moving average with this time constant; `*at` is the time of the last update. */
static void
update_average (double *average, DpUsec *at, double value, DpUsec time_constant, DpUsec now)
{
  double elapsed = (double)MAX (now - *at, 0);
  *average += (value - *average) * (1 - exp (-elapsed / (double)time_constant));
  *at = now;
}

/* --- the VM's part --- */

void
dp_shared_mode_record_rejection (DpSharedMode *mode, DpName target)
{
  mode->rejections++;
  mode->rejected_by = target;
}

static gboolean
is_report_due (const DpSharedMode *mode, const DpSharedModeLoad *load, DpUsec now)
{
  DpUsec since = now - mode->reported_at;
  if (mode->rejections > 0 && since >= REJECTION_REPORT_INTERVAL)
    return TRUE;
  double part = (double)load->slots / MAX (load->vms, 1);
  gboolean is_busy
    = mode->vm_running >= REPORT_USE * part || load->running >= REPORT_USE_ALONE * load->slots;
  return is_busy && load->running > 0 && since >= REPORT_INTERVAL;
}

gboolean
dp_shared_mode_next_report (DpSharedMode *mode,
                            const DpSharedModeLoad *load,
                            DpUsec now,
                            DpPoolShared *report)
{
  gboolean is_on = dp_shared_mode_is_on (mode, now);
  if (is_on)
    {
      /* The owner knows of rejections, and `load` may be that of all VMs. */
      mode->rejections = 0;
      mode->vm_running = 0;
      mode->averaged_at = now;
      return FALSE;
    }
  update_average (&mode->vm_running, &mode->averaged_at, load->running, VM_AVERAGE_TIME, now);
  if (!is_report_due (mode, load, now))
    return FALSE;
  double running = load->running >= REPORT_USE_ALONE * load->slots ? load->running : 0;
  *report = (DpPoolShared){ .rejections = mode->rejections,
                            .target = mode->rejections > 0 ? mode->rejected_by : 0,
                            .milli = (guint)(MAX (mode->vm_running, running) * MILLI) };
  mode->rejections = 0;
  mode->reported_at = now;
  return TRUE;
}

void
dp_shared_mode_on_announcement (DpSharedMode *mode,
                                DpName owner,
                                const DpPoolShared *announcement,
                                DpUsec now)
{
  gboolean is_known = FALSE;
  for (guint i = mode->announcers->len; i > 0; i--)
    {
      const Announcer *row = &g_array_index (mode->announcers, Announcer, i - 1);
      is_known = is_known || (row->vm == owner && row->heard_at >= mode->began_at);
      if (row->vm == owner || row->until <= now)
        g_array_remove_index_fast (mode->announcers, i - 1);
    }
  const Announcer row = { .vm = owner,
                          .until = now + MIN (announcement->duration, ANNOUNCED_DURATION),
                          .heard_at = now,
                          .milli = announcement->milli };
  if (announcement->duration > 0)
    g_array_append_val (mode->announcers, row);
  /* Another owner soon needs to know of this one. */
  if (!is_known && owner != mode->self)
    {
      mode->was_reported = TRUE;
      mode->contact_at = now;
    }
}

/* --- the owner's part --- */

static void
remove_report (GArray *reports, DpName vm, DpUsec now)
{
  for (guint i = reports->len; i > 0; i--)
    {
      const Report *row = &g_array_index (reports, Report, i - 1);
      if (row->vm == vm || now - row->at > REPORT_AGE_MAX)
        g_array_remove_index_fast (reports, i - 1);
    }
}

void
dp_shared_mode_on_report (DpSharedMode *mode, DpName vm, const DpPoolShared *report, DpUsec now)
{
  remove_report (mode->reports, vm, now);
  const Report row = { .vm = vm, .milli = report->milli, .at = now };
  g_array_append_val (mode->reports, row);
  mode->report_at = now;
  mode->was_reported = TRUE;
  gboolean is_unfounded
    = report->target == mode->unfounded_target && now < mode->unfounded_until;
  if (report->rejections == 0 || is_unfounded)
    return;
  if (!mode->is_deciding && now - mode->rejected_at > REJECTION_GAP_MAX)
    mode->reported = 0;
  mode->rejected_at = now;
  mode->reported
    += MIN (report->rejections, G_MAXUINT / 2 - MIN (mode->reported, G_MAXUINT / 2));
  mode->reported_from = report->target;
}

void
dp_shared_mode_on_ask (DpSharedMode *mode, DpUsec now)
{
  mode->asked_at = now;
}

gboolean
dp_shared_mode_is_used (const DpSharedMode *mode, DpUsec now)
{
  return mode->asked_at != 0 && now - mode->asked_at <= USED_AGE_MAX;
}

DpSharedModeOthers
dp_shared_mode_others (const DpSharedMode *mode, DpUsec now)
{
  DpSharedModeOthers others = { 0 };
  for (guint i = 0; i < mode->announcers->len && mode->is_deciding; i++)
    {
      const Announcer *row = &g_array_index (mode->announcers, Announcer, i);
      gboolean may_be_last = row->heard_at < mode->began_at + HANDOVER_DURATION;
      if (row->vm == mode->self || row->heard_at < mode->began_at
          || now - row->heard_at > (may_be_last ? RENEWAL_MAX : OTHER_AGE_MAX))
        continue;
      others.count++;
      others.running += row->milli / MILLI;
    }
  return others;
}

static double
sum_reports (const DpSharedMode *mode, DpUsec now)
{
  double milli = 0;
  for (guint i = 0; i < mode->reports->len; i++)
    {
      const Report *row = &g_array_index (mode->reports, Report, i);
      if (now - row->at <= REPORT_AGE_MAX)
        milli += row->milli;
    }
  return milli / MILLI;
}

static DpSharedModeCause
find_cause_to_begin (const DpSharedMode *mode, const DpSharedModeLoad *load, DpUsec now)
{
  if (dp_shared_mode_is_on (mode, now))
    return DP_SHARED_MODE_TAKEN_OVER;
  /* A VM that asks may not have the last announcement, of the end. */
  gboolean has_just_ended = mode->ended_at != 0 && now - mode->ended_at <= ANNOUNCED_DURATION;
  if (dp_shared_mode_is_used (mode, now) && !has_just_ended)
    return DP_SHARED_MODE_ASKED;
  if (mode->reported >= REJECTIONS_MIN)
    return DP_SHARED_MODE_REJECTIONS;
  if (load->slots > 0 && sum_reports (mode, now) >= ENTER_USE * load->slots)
    return DP_SHARED_MODE_USE;
  return DP_SHARED_MODE_NONE;
}

static void
begin (DpSharedMode *mode, DpUsec now)
{
  mode->is_deciding = TRUE;
  mode->began_at = now;
  mode->use = 0;
  mode->use_max = 0;
  mode->use_at = now;
  mode->busy_at = now;
  mode->announced_at = 0;
}

static void
forget (DpSharedMode *mode)
{
  mode->is_deciding = FALSE;
  mode->reported = 0;
  g_array_set_size (mode->reports, 0);
}

static void
end (DpSharedMode *mode, DpUsec now)
{
  if (mode->reported > 0 && mode->use_max < FOUNDED_USE)
    {
      mode->unfounded_target = mode->reported_from;
      mode->unfounded_until = now + UNFOUNDED_DURATION;
    }
  mode->ended_at = now;
  forget (mode);
}

static void
update_use (DpSharedMode *mode, const DpSharedModeLoad *load, DpUsec now)
{
  double requests = (double)load->running + load->waiting;
  /* A long queue would keep the average high long after it was served. */
  double use = load->slots > 0 ? MIN (requests / load->slots, 1) : requests > 0;
  update_average (&mode->use, &mode->use_at, use, OWNER_AVERAGE_TIME, now);
  mode->use_max = MAX (mode->use_max, mode->use);
  if (mode->use >= LEAVE_USE)
    mode->busy_at = now;
}

static DpUsec
announce_interval (const DpSharedMode *mode, DpUsec now)
{
  if (mode->was_reported)
    return REPORTED_INTERVAL;
  gboolean is_new = mode->contact_at != 0 && now - mode->contact_at < CONTACT_DURATION;
  return is_new ? CONTACT_INTERVAL : ANNOUNCE_INTERVAL;
}

gboolean
dp_shared_mode_next_announcement (DpSharedMode *mode,
                                  const DpSharedModeLoad *load,
                                  DpUsec now,
                                  DpPoolShared *announcement,
                                  DpSharedModeDecision *decision)
{
  DpSharedModeCause cause = DP_SHARED_MODE_NONE;
  if (!mode->is_deciding)
    {
      cause = find_cause_to_begin (mode, load, now);
      if (cause == DP_SHARED_MODE_NONE)
        return FALSE;
      begin (mode, now);
    }
  update_use (mode, load, now);
  gboolean is_calm = now - mode->busy_at >= CALM_DURATION && load->waiting == 0;
  if (!is_calm && now - mode->announced_at < announce_interval (mode, now))
    return FALSE;
  *decision = (DpSharedModeDecision){ .cause = is_calm ? DP_SHARED_MODE_CALM : cause,
                                      .use = mode->use,
                                      .rejections = mode->reported,
                                      .age = mode->report_at > 0 ? now - mode->report_at : 0 };
  *announcement = (DpPoolShared){ .is_owner = TRUE,
                                  .duration = is_calm ? 0 : ANNOUNCED_DURATION,
                                  .milli = (guint)MIN (load->running * MILLI, G_MAXINT) };
  mode->announced_at = now;
  mode->announced_milli = announcement->milli;
  mode->was_reported = FALSE;
  if (is_calm)
    end (mode, now);
  return TRUE;
}

gboolean
dp_shared_mode_repeat (const DpSharedMode *mode, DpUsec now, DpPoolShared *announcement)
{
  if (!mode->is_deciding || mode->announced_at == 0)
    return FALSE;
  *announcement
    = (DpPoolShared){ .is_owner = TRUE,
                      .duration = MAX (mode->announced_at + ANNOUNCED_DURATION - now, 0),
                      .milli = mode->announced_milli };
  return announcement->duration > 0;
}

void
dp_shared_mode_not_owner (DpSharedMode *mode)
{
  forget (mode);
}
