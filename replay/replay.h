/* Replay of a trace on the shipping cores in virtual time.
 *
 * Each VM of the trace runs an entry board and a scheduler board; messages between them take
 * time; engines are small models (replay/engine.h). Nothing else is simulated. The same trace
 * and options give the same result.
 */
#pragma once

#include "core/reason.h"
#include "replay/trace.h"

typedef enum DpReplayDesign
{
  DP_REPLAY_PRODUCT,          /* one queue a group */
  DP_REPLAY_QUEUE_PER_ENGINE, /* the same with groups of one target */
  DP_REPLAY_ROUND_ROBIN,      /* each entry alone */
  DP_REPLAY_TWO_CHOICES,      /* each entry alone, with shared stale load reports */
  DP_REPLAY_DESIGN_COUNT,
} DpReplayDesign;

typedef struct DpReplayTier
{
  guint offered;
  guint good; /* complete and on time */
  guint late;
  guint refused; /* final answer without work, or after it was taken back */
  guint broken;  /* cut off, or lost with its VM */
} DpReplayTier;

typedef struct DpReplayResult
{
  guint tier_count;
  DpReplayTier tiers[DP_TIERS_MAX];
  double prefill_computed; /* prompt tokens */
  double prefill_wasted;   /* of attempts without a complete answer in time */
  double prefill_lost;     /* of the wasted: attempts of a VM that died */
  double prefill_repeated; /* prefix blocks that another engine had cached */
  guint refusals[DP_REASON_COUNT];
  guint unanswered;        /* requests without a final answer at the end */
  double most_over_window; /* requests at an engine relative to its window, at most */
  guint
    shed_inversions; /* refusals of a request while its group served or queued a lower tier */
  guint64 events;
} DpReplayResult;

const char *dp_replay_design_name (DpReplayDesign design);

void dp_replay_run (const DpTrace *trace, DpReplayDesign design, DpReplayResult *result);

/* Cost of one request's decisions (ask, first token, done), in microseconds, on a board that
 * knows `engines` engines. */
double dp_replay_decision_cost (guint engines, guint requests);

/* Command line of the replay: "replay [OPTIONS] TRACE...". */
int dp_replay_main (int argc, char **argv);
