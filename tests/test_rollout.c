/* Verdict and exposure of roll-outs in virtual time: 110 VMs that learn of the order at
 * different moments and use one owner, another one after it, or two at a time during a cut.
 * Counts false verdicts over 200 seeds for each kind of version. */
#include "core/rollout/rollout.h"

#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (100 * SEC)
#define DURATION (30 * SEC)
#define STEP (10 * MSEC)
#define TICK (50 * MSEC)
#define SEEDS 200U
#define VMS 110
#define VMS_CUT 37
#define OWNERS 2
#define TARGETS 30 /* of each version */
#define SLOTS 7
#define ROUTES 3
/* A cut, or the end of the first owner. */
#define DISTURBED_AT (START + 8 * SEC)
#define CUT_END (DISTURBED_AT + 8 * SEC)
/* VMs learn of the order, and of other owners' states and the store's, within this. */
#define NEWS_MIN (50 * MSEC)
#define NEWS_MAX (700 * MSEC)
/* Machines are this much slower for a seventh of the time, in periods. */
#define NOISE 2.5
#define NOISE_PERIOD (600 * MSEC)
#define HORIZON 1024
#define EXPOSE_SHARE 0.1
#define EXPOSE_SLACK 50
#define ROLLBACK_TIME (5 * SEC)
#define LAST_BAD 50
/* Of the stated target: below 1 in 100 roll-outs. */
#define FALSE_MAX (SEEDS / 100 - 1)

typedef struct Case
{
  const char *name;
  gboolean is_good;
  double failing; /* part of the new version's answers */
  double slow;    /* part of them that takes `factor` times as long */
  double factor;
  double begins;    /* part of the duration until it turns bad */
  double load;      /* bad only on a target with this part of its slots in use */
  int route;        /* bad only there; -1: on all */
  double day;       /* part of all answers that fails, in waves */
  gboolean crashes; /* a quarter of all targets for 3 s, and one of each twenty now and then */
  double rate;      /* requests per second */
} Case;

static const Case cases[] = {
  { "good", TRUE, 0, 0, 1, 0, 0, -1, 0, FALSE, 120 },
  { "good on a bad day", TRUE, 0, 0, 1, 0, 0, -1, 0.15, FALSE, 120 },
  { "good, targets crash", TRUE, 0, 0, 1, 0, 0, -1, 0.01, TRUE, 120 },
  { "a third fails", FALSE, 0.33, 0, 1, 0, 0, -1, 0.01, FALSE, 120 },
  { "all fail", FALSE, 1, 0, 1, 0, 0, -1, 0.01, FALSE, 120 },
  { "some are slow", FALSE, 0, 0.4, 5, 0, 0, -1, 0.01, FALSE, 120 },
  { "late", FALSE, 0.4, 0, 1, 0.5, 0, -1, 0.01, FALSE, 120 },
  { "slow and late", FALSE, 0, 0.5, 5, 0.4, 0, -1, 0.01, FALSE, 120 },
  { "under load", FALSE, 0.6, 0, 1, 0, 0.4, -1, 0.01, FALSE, 120 },
  { "on one route", FALSE, 0.5, 0, 1, 0, 0, 2, 0.01, FALSE, 120 },
  { "a third on one route", FALSE, 0.33, 0, 1, 0, 0, 2, 0.01, FALSE, 250 },
  { "bad on a bad day", FALSE, 0.4, 0, 1, 0, 0, -1, 0.15, FALSE, 120 },
};

/* Part of the requests; usual time to the first event and in total, in ms. */
static const struct
{
  double part;
  double first_ms;
  double total_ms;
  guint prompt_tokens;
} routes[ROUTES] = { { 0.5, 90, 400, 2890 }, { 0.3, 56, 200, 1800 }, { 0.2, 17, 1000, 543 } };

typedef struct Target
{
  guint running;
  DpUsec down_until;
  DpUsec avoided_until; /* after a broken request */
} Target;

typedef struct Answer
{
  guint owner;
  guint target; /* new ones follow the old ones */
  guint vm;
  double counted;
  gboolean is_bad; /* by the version's own fault */
  DpRolloutAnswer row;
} Answer;

typedef struct Owner
{
  DpRollout *rollout; /* NULL: doesn't know the order yet */
  DpUsec knows_at;
  gboolean participants[TARGETS];
  DpUsec told_at[OWNERS]; /* when the other owner's state arrives */
  DpRolloutState told[OWNERS];
  DpUsec stored_at; /* when the store's state arrives; 0: none */
} Owner;

typedef struct Simulation
{
  const Case *row;
  guint64 seed;
  guint64 random;
  DpUsec now;
  Owner owners[OWNERS];
  Target targets[2 * TARGETS];
  GArray *ends[HORIZON]; /* Answer */
  DpRolloutState stored;
  DpRolloutCause cause;
  guint requests;
  guint exposed;
  guint bad;
  DpUsec last_bad_at; /* of the LAST_BAD-th */
  DpUsec last_sent_at;
} Simulation;

static double
draw (Simulation *simulation)
{
  simulation->random += 0x9e3779b97f4a7c15U;
  guint64 value = simulation->random;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
  return (double)((value ^ (value >> 31)) >> 11) / 9007199254740992.0;
}

static guint
draw_below (Simulation *simulation, guint limit)
{
  return (guint)(draw (simulation) * limit);
}

static DpUsec
draw_delay (Simulation *simulation)
{
  return NEWS_MIN + (DpUsec)(draw (simulation) * (double)(NEWS_MAX - NEWS_MIN));
}

static gboolean
has_cut (const Simulation *simulation)
{
  return simulation->seed % 3 == 1 && simulation->now >= DISTURBED_AT
         && simulation->now < CUT_END;
}

static gboolean
is_gone (const Simulation *simulation, guint owner)
{
  return owner == 0 && simulation->seed % 3 == 2 && simulation->now >= DISTURBED_AT;
}

static guint
owner_of (const Simulation *simulation, guint vm)
{
  return is_gone (simulation, 0) || (has_cut (simulation) && vm < VMS_CUT);
}

static gboolean
is_new (guint target)
{
  return target >= TARGETS;
}

/* --- targets --- */

static double
noise (const Simulation *simulation, guint target)
{
  const guint64 key[3]
    = { simulation->seed, target, (guint64)(simulation->now / NOISE_PERIOD) };
  return dp_hash_bytes (key, sizeof key, 3) % 7 == 0 ? NOISE : 1;
}

static double
speed (const Simulation *simulation, guint target)
{
  return (target + simulation->seed) % 3 == 0 ? 0.6 : 1.7;
}

/* Failures on a bad day come in waves of a second, which hit all targets. */
static double
day_rate (const Simulation *simulation)
{
  const guint64 key[2] = { simulation->seed, (guint64)(simulation->now / SEC) };
  double wave = (double)(dp_hash_bytes (key, sizeof key, 4) % 3); /* 0 to 2 */
  return simulation->row->day * wave;
}

static gboolean
is_version_bad (const Simulation *simulation, guint target, guint route)
{
  const Case *row = simulation->row;
  return is_new (target) && (row->route < 0 || (guint)row->route == route)
         && (double)(simulation->now - START) >= row->begins * (double)DURATION
         && simulation->targets[target].running >= row->load * SLOTS;
}

static void
run (Simulation *simulation, Answer *answer, guint route)
{
  const Case *row = simulation->row;
  Target *target = &simulation->targets[answer->target];
  double pace = speed (simulation, answer->target) * noise (simulation, answer->target)
                * (1 + 0.3 * target->running / SLOTS) * (0.8 + 0.4 * draw (simulation));
  double fate = draw (simulation);
  gboolean has_failed = draw (simulation) < day_rate (simulation);
  gboolean is_down = simulation->now < target->down_until;
  double slow = 1;
  if (is_version_bad (simulation, answer->target, route))
    {
      answer->is_bad = fate < row->failing + row->slow;
      has_failed |= fate < row->failing;
      slow = answer->is_bad && fate >= row->failing ? row->factor : 1;
    }
  double first_ms = routes[route].first_ms * pace * slow;
  double total_ms = routes[route].total_ms * pace + first_ms;
  answer->row.outcome = is_down      ? DP_ROLLOUT_OUTCOME_BREAK
                        : has_failed ? DP_ROLLOUT_OUTCOME_ERROR
                                     : DP_ROLLOUT_OUTCOME_COMPLETE;
  if (is_down || has_failed)
    total_ms = is_down ? 5 : first_ms;
  else
    answer->row.first_event = (DpUsec)(first_ms * (double)MSEC);
  answer->row.duration = (DpUsec)(total_ms * (double)MSEC);
  target->running++;
  gint64 due = MIN (answer->row.duration / STEP + 1, HORIZON - 1);
  g_array_append_val (simulation->ends[(simulation->now / STEP + due) % HORIZON], *answer);
}

static void
crash (Simulation *simulation)
{
  if (!simulation->row->crashes || (simulation->now - START) % SEC != 0)
    return;
  gboolean is_quarter = simulation->now == DISTURBED_AT + 4 * SEC;
  for (guint i = 0; i < 2 * TARGETS; i++)
    if (draw (simulation) < (is_quarter ? 0.25 : 0.004))
      simulation->targets[i].down_until = simulation->now + 3 * SEC;
}

/* --- requests --- */

/* The least loaded of two. */
static guint
choose (Simulation *simulation, const Owner *owner, gboolean on_new)
{
  guint best = G_MAXUINT;
  for (guint tries = 0; tries < 2 || best == G_MAXUINT; tries++)
    {
      guint index = draw_below (simulation, TARGETS);
      gboolean is_limited = on_new && dp_rollout_is_limited (owner->rollout);
      if (is_limited && !owner->participants[index])
        {
          tries -= tries < 2;
          continue;
        }
      guint target = index + (on_new ? TARGETS : 0);
      gboolean is_avoided
        = simulation->now < simulation->targets[target].avoided_until && tries < 4;
      if (!is_avoided
          && (best == G_MAXUINT
              || simulation->targets[target].running < simulation->targets[best].running))
        best = target;
    }
  return best;
}

/* As the dispatcher does: participants get no more than what an old target often carries. */
static gboolean
is_new_preferred (const Simulation *simulation, const Owner *owner)
{
  guint least = G_MAXUINT;
  guint old_running = 0;
  if (!dp_rollout_is_limited (owner->rollout))
    return TRUE;
  for (guint i = 0; i < TARGETS; i++)
    {
      old_running += simulation->targets[i].running;
      if (owner->participants[i]
          && simulation->now >= simulation->targets[TARGETS + i].avoided_until)
        least = MIN (least, simulation->targets[TARGETS + i].running);
    }
  return (double)least * TARGETS <= 1.5 * old_running;
}

static void
send (Simulation *simulation, guint vm, guint route, gboolean is_retry)
{
  guint index = owner_of (simulation, vm);
  Owner *owner = &simulation->owners[index];
  const DpRolloutRequest request = { .route = route + 1, .is_retry = is_retry };
  gboolean on_new = owner->rollout != NULL && dp_rollout_allows (owner->rollout, &request, TRUE)
                    && is_new_preferred (simulation, owner);
  Answer answer = { .owner = index, .vm = vm };
  answer.target = choose (simulation, owner, on_new);
  answer.row = (DpRolloutAnswer){ .target = answer.target + 1,
                                  .is_new = on_new,
                                  .request = request,
                                  .prompt_tokens = routes[route].prompt_tokens,
                                  .granted_at = simulation->now };
  if (owner->rollout != NULL)
    answer.counted
      = dp_rollout_record_grant (owner->rollout, &request, on_new, simulation->now);
  if (on_new)
    {
      simulation->exposed++;
      simulation->last_sent_at = simulation->now;
    }
  run (simulation, &answer, route);
}

static void
end (Simulation *simulation, const Answer *answer)
{
  Owner *owner = &simulation->owners[answer->owner];
  simulation->targets[answer->target].running--;
  gboolean has_failed = answer->row.outcome != DP_ROLLOUT_OUTCOME_COMPLETE;
  if (answer->row.outcome == DP_ROLLOUT_OUTCOME_BREAK)
    simulation->targets[answer->target].avoided_until = simulation->now + 500 * MSEC;
  simulation->bad += answer->is_bad;
  if (answer->is_bad && simulation->bad == LAST_BAD)
    simulation->last_bad_at = simulation->now;
  if (owner->rollout != NULL && !is_gone (simulation, answer->owner))
    {
      dp_rollout_record_answer (owner->rollout, &answer->row, simulation->now);
      if (has_failed)
        dp_rollout_uncount (owner->rollout, answer->row.request.route, answer->counted);
    }
  if (has_failed && !answer->row.request.is_retry)
    send (simulation, answer->vm, (guint)answer->row.request.route - 1, TRUE);
}

static void
arrive (Simulation *simulation, gboolean is_settled)
{
  double expected = simulation->row->rate * (double)STEP / (double)SEC;
  guint count = (guint)expected;
  count += draw (simulation) < expected - floor (expected);
  simulation->requests += count;
  for (guint i = 0; i < count && !is_settled; i++)
    {
      guint vm = draw_below (simulation, VMS);
      double kind = draw (simulation);
      guint route = 0;
      while (route + 1 < ROUTES && kind >= routes[route].part)
        kind -= routes[route++].part;
      send (simulation, vm, route, FALSE);
    }
}

/* --- owners --- */

static int
strictness (DpRolloutState state)
{
  switch (state)
    {
    case DP_ROLLOUT_ROLLED_BACK:
      return 3;
    case DP_ROLLOUT_UNCERTAIN:
      return 2;
    case DP_ROLLOUT_SWITCHING:
      return 1;
    default:
      return 0;
    }
}

static DpRolloutState
known_state (const Simulation *simulation, const Owner *owner)
{
  if (owner->stored_at != 0 && simulation->now >= owner->stored_at)
    return simulation->stored;
  DpRolloutState state = DP_ROLLOUT_RUNNING;
  for (guint i = 0; i < OWNERS; i++)
    if (owner->told_at[i] != 0 && simulation->now >= owner->told_at[i]
        && strictness (owner->told[i]) > strictness (state))
      state = owner->told[i];
  return state;
}

static void
choose_participants (Owner *owner)
{
  DpRolloutTarget targets[2 * TARGETS];
  for (guint i = 0; i < 2 * TARGETS; i++)
    targets[i] = (DpRolloutTarget){ .name = i + 1, .is_new = is_new (i) };
  dp_rollout_choose (owner->rollout, targets, 2 * TARGETS);
  for (guint i = 0; i < TARGETS; i++)
    owner->participants[i] = targets[TARGETS + i].is_participant;
}

static DpRolloutFacts
gather_facts (const Simulation *simulation)
{
  DpRolloutFacts facts = { .old_targets = TARGETS,
                           .new_targets = TARGETS,
                           .old_slots = TARGETS * SLOTS,
                           .new_slots = TARGETS * SLOTS };
  for (guint i = 0; i < TARGETS; i++)
    facts.old_running += simulation->targets[i].running;
  return facts;
}

/* Its state goes to the other owner, and a final one to the store. */
static void
announce (Simulation *simulation, guint index, const DpRolloutStatus *status)
{
  Owner *other = &simulation->owners[1 - index];
  if (!has_cut (simulation) && other->told[index] != status->state)
    {
      other->told[index] = status->state;
      other->told_at[index] = simulation->now + draw_delay (simulation);
    }
  gboolean is_final
    = status->state == DP_ROLLOUT_COMPLETED || status->state == DP_ROLLOUT_ROLLED_BACK;
  if (!is_final || simulation->stored != DP_ROLLOUT_NONE
      || (has_cut (simulation) && index == 1))
    return;
  simulation->stored = status->state;
  simulation->cause = status->cause;
  for (guint i = 0; i < OWNERS; i++)
    simulation->owners[i].stored_at = simulation->now + draw_delay (simulation);
}

static void
tick_owner (Simulation *simulation, guint index)
{
  Owner *owner = &simulation->owners[index];
  if (simulation->now < owner->knows_at || is_gone (simulation, index))
    return;
  const DpRolloutOptions options = { EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_TIME };
  const DpRolloutOrder order = { .id = simulation->seed + 1,
                                 .version = 2,
                                 .duration = DURATION,
                                 .age = simulation->now - START,
                                 .state = known_state (simulation, owner) };
  const DpRolloutFacts facts = gather_facts (simulation);
  gboolean is_first = owner->rollout == NULL;
  if (is_first)
    owner->rollout = dp_rollout_new (&options, &order, simulation->now);
  dp_rollout_update (owner->rollout, &order, simulation->now);
  if (dp_rollout_tick (owner->rollout, &facts, simulation->now) || is_first)
    choose_participants (owner);
  DpRolloutStatus status;
  dp_rollout_get_status (owner->rollout, &status);
  gboolean is_used = index == 0 || simulation->seed % 3 != 0;
  if (is_used && (index == 0 || simulation->now >= DISTURBED_AT))
    announce (simulation, index, &status);
}

/* TRUE if no owner sends anything to the new version any more. */
static gboolean
is_over (const Simulation *simulation)
{
  for (guint i = 0; i < OWNERS; i++)
    if (!is_gone (simulation, i)
        && (simulation->owners[i].rollout == NULL
            || dp_rollout_state (simulation->owners[i].rollout) != DP_ROLLOUT_ROLLED_BACK))
      return FALSE;
  return TRUE;
}

static void
simulate (Simulation *simulation, const Case *row, guint64 seed)
{
  *simulation = (Simulation){ .row = row, .seed = seed, .random = seed };
  for (guint i = 0; i < HORIZON; i++)
    simulation->ends[i] = g_array_new (FALSE, FALSE, sizeof (Answer));
  for (guint i = 0; i < OWNERS; i++)
    simulation->owners[i].knows_at = START + draw_delay (simulation);
  gboolean is_settled = FALSE;
  for (simulation->now = START; simulation->now < START + DURATION; simulation->now += STEP)
    {
      GArray *ends = simulation->ends[simulation->now / STEP % HORIZON];
      for (guint i = 0; i < ends->len && !is_settled; i++)
        end (simulation, &g_array_index (ends, Answer, i));
      g_array_set_size (ends, 0);
      crash (simulation);
      arrive (simulation, is_settled);
      for (guint i = 0; i < OWNERS && simulation->now % TICK == 0 && !is_settled; i++)
        tick_owner (simulation, i);
      is_settled
        = is_settled || is_over (simulation) || simulation->stored == DP_ROLLOUT_COMPLETED;
    }
  for (guint i = 0; i < HORIZON; i++)
    g_array_unref (simulation->ends[i]);
  for (guint i = 0; i < OWNERS; i++)
    dp_rollout_free (simulation->owners[i].rollout);
}

/* A version must not get more than its share, nor anything long after its 50th bad answer. */
static void
check_bounds (const Simulation *simulation)
{
  const char *name = simulation->row->name;
  double bound = EXPOSE_SHARE * simulation->requests + EXPOSE_SLACK;
  ck_assert_msg (simulation->exposed <= bound, "%s, seed %u: %u of %u requests were exposed",
                 name, (guint)simulation->seed, simulation->exposed, simulation->requests);
  ck_assert_msg (simulation->last_bad_at == 0
                   || simulation->last_sent_at <= simulation->last_bad_at + ROLLBACK_TIME,
                 "%s, seed %u: sent %d ms after the last bad answer that is allowed", name,
                 (guint)simulation->seed,
                 (int)((simulation->last_sent_at - simulation->last_bad_at) / MSEC));
}

START_TEST (verdicts_are_right_and_exposure_is_bounded)
{
  const Case *row = &cases[_i];
  guint false_verdicts = 0;
  guint exposed_max = 0;
  guint bad_max = 0;
  char causes[256] = "";
  for (guint64 seed = 0; seed < SEEDS; seed++)
    {
      Simulation simulation;
      simulate (&simulation, row, seed);
      DpRolloutState wanted = row->is_good ? DP_ROLLOUT_COMPLETED : DP_ROLLOUT_ROLLED_BACK;
      if (simulation.stored != wanted)
        {
          false_verdicts++;
          g_snprintf (causes, sizeof causes, "seed %u: %s, %s", (guint)seed,
                      dp_rollout_state_name (simulation.stored),
                      dp_rollout_cause_name (simulation.cause));
        }
      if (!row->is_good)
        check_bounds (&simulation);
      exposed_max = MAX (exposed_max, simulation.exposed);
      bad_max = MAX (bad_max, simulation.bad);
    }
  printf ("%s: %u of %u verdicts false, at most %u exposed and %u bad%s%s\n", row->name,
          false_verdicts, SEEDS, exposed_max, bad_max, causes[0] != 0 ? ", " : "", causes);
  ck_assert_msg (false_verdicts <= FALSE_MAX, "%s: %u of %u verdicts are false, %s", row->name,
                 false_verdicts, SEEDS, causes);
}
END_TEST

typedef struct PulseCase
{
  const char *name;
  DpRolloutRequest request;
  gboolean is_allowed;
} PulseCase;

static const PulseCase pulse_cases[] = {
  { "new request", { .route = 1 }, FALSE },
  { "stream", { .route = 1, .is_retry = TRUE, .is_bound = TRUE }, TRUE },
  { "stream of a route without allowance",
    { .route = 2, .is_retry = TRUE, .is_bound = TRUE },
    FALSE },
  { "retry", { .route = 1, .is_retry = TRUE }, FALSE },
};

/* A stream that waited for the next pulse would be given up by its caller. */
START_TEST (a_stream_goes_on_between_pulses)
{
  const PulseCase *row = &pulse_cases[_i];
  const DpRolloutOptions options = { EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_TIME };
  const DpRolloutOrder order = { .id = 1, .version = 2, .duration = DURATION };
  const DpRolloutFacts facts
    = { .old_targets = 3, .new_targets = 3, .old_slots = 3 * SLOTS, .new_slots = 3 * SLOTS };
  const DpRolloutRequest first = { .route = 1 };
  DpRollout *rollout = dp_rollout_new (&options, &order, START);
  DpUsec now = START;
  for (; now < START + DURATION / 3; now += SEC)
    dp_rollout_tick (rollout, &facts, now);
  for (guint i = 0; i < 20; i++)
    dp_rollout_record_grant (rollout, &first, FALSE, now);
  ck_assert_msg (dp_rollout_allows (rollout, &row->request, TRUE) == row->is_allowed, "%s",
                 row->name);
  dp_rollout_free (rollout);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rollout");
  TCase *verdicts = tcase_create ("verdicts");
  tcase_add_loop_test (verdicts, verdicts_are_right_and_exposure_is_bounded, 0,
                       G_N_ELEMENTS (cases));
  suite_add_tcase (suite, verdicts);
  TCase *pulses = tcase_create ("pulses");
  tcase_add_loop_test (pulses, a_stream_goes_on_between_pulses, 0, G_N_ELEMENTS (pulse_cases));
  suite_add_tcase (suite, pulses);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
