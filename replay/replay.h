/* Replays a trace on the production cores in virtual time.
 *
 * Each VM of the trace runs an entry core and a scheduler core. Message delays are simulated,
 * and engines are small models (replay/engine.h). Nothing else is simulated. A run is
 * deterministic: the same trace and design give the same result.
 */
#pragma once

#include "core/reason.h"
#include "replay/trace.h"

typedef enum DpReplayDesign
{
  DP_REPLAY_PRODUCT,          /* production: one queue per group */
  DP_REPLAY_QUEUE_PER_ENGINE, /* production scheduler with one target per group */
  DP_REPLAY_ROUND_ROBIN,      /* baseline: each entry schedules independently */
  DP_REPLAY_TWO_CHOICES,      /* the same, with shared, outdated load reports */
  DP_REPLAY_DESIGN_COUNT,
} DpReplayDesign;

typedef struct DpReplayTier
{
  guint offered;
  guint good;    /* complete within the timeout */
  guint late;    /* complete after the timeout */
  guint refused; /* answered with an error: never dispatched, or its grant was revoked */
  guint broken;  /* stream cut off, or its VM crashed */
} DpReplayTier;

typedef struct DpReplayResult
{
  guint tier_count;
  DpReplayTier tiers[DP_TIERS_MAX];
  double prefill_computed; /* prompt tokens computed by all engines */
  double prefill_wasted;   /* of attempts that did not complete within the timeout */
  double prefill_lost;     /* part of prefill_wasted: attempts of crashed VMs */
  double prefill_repeated; /* tokens of prefix blocks that another engine had cached */
  guint refusals[DP_REASON_COUNT];
  guint unanswered;        /* requests still open when the run ends */
  double max_window_ratio; /* maximum of requests at an engine divided by its window */
  guint shed_inversions;   /* never set; requests refused while their group served or queued a
                              lower tier */
  guint64 events;
} DpReplayResult;

const char *dp_replay_design_name (DpReplayDesign design);

void dp_replay_run (const DpTrace *trace, DpReplayDesign design, DpReplayResult *result);

/* Measures a scheduler core that knows `engines` engines: mean wall-clock time per request, in
 * microseconds, for handling its grant request, first token and completion. */
double dp_replay_decision_cost (guint engines, guint requests);

/* Runs the command line "replay [OPTIONS] TRACE..." and returns its exit status. */
int dp_replay_main (int argc, char **argv);
