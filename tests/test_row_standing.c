/* Guards against a VM that takes a message of a relay for its own state being up to date: what
 * keeps it from reading the store is what it has, or gets in time. In virtual time. */
#include "core/row_sync/row_sync.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_MAX 14
/* VMs of these names are the first and the last to read the store. */
#define NAME_EARLY ((DpName)DP_ROW_STANDING_SPREAD)
#define NAME_LATE (2 * (DpName)DP_ROW_STANDING_SPREAD - 1)
#define RELAY ((DpName)1)
/* Not in the list of VMs. */
#define UNLISTED ((DpName)2)
/* Rows of a new state; each takes a part. */
#define NEW_ROWS 10
#define MSEC DP_USEC_PER_MSEC

typedef enum EventType
{
  EVENT_NONE,
  EVENT_RELAY,    /* a relay that answers questions states a version */
  EVENT_OLDER,    /* one of an older build, which sends whole lists */
  EVENT_UNLISTED, /* one that can't be asked */
  EVENT_PEER,     /* a VM that is no relay */
  EVENT_PART,     /* the relay answers the question that it was asked last */
  EVENT_READ,     /* this VM has read that version from the store */
} EventType;

typedef struct Event
{
  guint at; /* ms */
  EventType type;
  guint64 version;
} Event;

typedef struct StandingCase
{
  const char *name;
  Event events[EVENTS_MAX];
  guint at;            /* ms */
  DpRowStanding early; /* of the first VM to read the store */
  DpRowStanding late;  /* of the last one */
} StandingCase;

#define UNCONFIRMED DP_ROW_STANDING_UNCONFIRMED
#define CONFIRMED DP_ROW_STANDING_CONFIRMED
#define FETCHING DP_ROW_STANDING_FETCHING
#define STUCK DP_ROW_STANDING_STUCK

/* VMs have version 5 at first. */
static const StandingCase cases[] = {
  { "nobody states anything", { { 0 } }, 100, UNCONFIRMED, UNCONFIRMED },
  { "a relay has the same", { { 0, EVENT_RELAY, 5 } }, 800, CONFIRMED, CONFIRMED },
  { "a relay has the same, a second ago",
    { { 0, EVENT_RELAY, 5 } },
    1000,
    UNCONFIRMED,
    CONFIRMED },
  { "a relay had the same", { { 0, EVENT_RELAY, 5 } }, 1150, UNCONFIRMED, UNCONFIRMED },
  { "a relay has an older one", { { 0, EVENT_RELAY, 4 } }, 800, CONFIRMED, CONFIRMED },
  { "an unlisted relay has the same", { { 0, EVENT_UNLISTED, 5 } }, 800, CONFIRMED, CONFIRMED },
  { "a VM that is no relay has the same",
    { { 0, EVENT_PEER, 5 } },
    100,
    UNCONFIRMED,
    UNCONFIRMED },
  { "a relay has a newer one", { { 0, EVENT_RELAY, 6 } }, 750, FETCHING, FETCHING },
  { "a relay has a newer one and serves none",
    { { 0, EVENT_RELAY, 6 }, { 300, EVENT_RELAY, 6 }, { 600, EVENT_RELAY, 6 } },
    900,
    STUCK,
    FETCHING },
  { "the same for longer",
    { { 0, EVENT_RELAY, 6 }, { 300, EVENT_RELAY, 6 }, { 600, EVENT_RELAY, 6 } },
    1050,
    STUCK,
    STUCK },
  { "an older build has a newer one", { { 0, EVENT_OLDER, 6 } }, 750, FETCHING, FETCHING },
  { "an older build has a newer one and sends none",
    { { 0, EVENT_OLDER, 6 } },
    1050,
    STUCK,
    STUCK },
  { "an unlisted relay has a newer one",
    { { 0, EVENT_UNLISTED, 6 } },
    250,
    FETCHING,
    FETCHING },
  { "an unlisted relay has a newer one for some time",
    { { 0, EVENT_UNLISTED, 6 } },
    550,
    STUCK,
    STUCK },
  { "a relay has the same, an unlisted one a newer one",
    { { 0, EVENT_UNLISTED, 6 }, { 300, EVENT_RELAY, 5 }, { 500, EVENT_RELAY, 5 } },
    550,
    STUCK,
    STUCK },
  { "a relay and an unlisted one have a newer one",
    { { 0, EVENT_UNLISTED, 6 }, { 300, EVENT_RELAY, 6 } },
    750,
    FETCHING,
    FETCHING },
  { "a newer one was read from the store",
    { { 0, EVENT_UNLISTED, 6 }, { 600, EVENT_READ, 6 }, { 700, EVENT_UNLISTED, 6 } },
    1500,
    CONFIRMED,
    CONFIRMED },
  { "a newer one arrives in parts",
    { { 0, EVENT_RELAY, 6 },
      { 200, EVENT_PART, 0 },
      { 400, EVENT_PART, 0 },
      { 600, EVENT_PART, 0 },
      { 700, EVENT_PART, 0 },
      { 800, EVENT_PART, 0 },
      { 900, EVENT_RELAY, 6 } },
    1150,
    FETCHING,
    FETCHING },
  { "a newer one has arrived, a second after the statement of the one before",
    { { 0, EVENT_RELAY, 5 },
      { 600, EVENT_RELAY, 6 },
      { 620, EVENT_PART, 0 },
      { 660, EVENT_PART, 0 },
      { 700, EVENT_PART, 0 },
      { 740, EVENT_PART, 0 },
      { 780, EVENT_PART, 0 },
      { 820, EVENT_PART, 0 },
      { 860, EVENT_PART, 0 },
      { 900, EVENT_PART, 0 },
      { 940, EVENT_PART, 0 },
      { 980, EVENT_PART, 0 } },
    1200,
    CONFIRMED,
    CONFIRMED },
  { "a newer one arrives too slowly",
    { { 0, EVENT_RELAY, 6 },
      { 200, EVENT_PART, 0 },
      { 700, EVENT_PART, 0 },
      { 900, EVENT_RELAY, 6 } },
    1150,
    STUCK,
    STUCK },
};

typedef struct World
{
  DpRowSync *follower;
  DpRowSync *relay;
  DpRowBudget budget;
  DpRowsAsk ask; /* the last one of the follower */
  DpUsec now;
} World;

static void
on_follower_sends (gpointer user, DpName to, const DpMessage *message)
{
  World *world = user;
  world->ask = message->rows_ask;
}

static void
on_relay_sends (gpointer user, DpName to, const DpMessage *message)
{
  World *world = user;
  dp_row_sync_on_part (world->follower, RELAY, &message->rows, world->now);
}

static gboolean
apply (gpointer user, DpStoreVersion version, DpUsec age, DpRowList *list)
{
  return TRUE;
}

static void
confirm (gpointer user, DpStoreVersion version)
{
}

static DpUsec
age (gpointer user)
{
  return 0;
}

static const DpRowSyncCallbacks follower_callbacks
  = { .send = on_follower_sends, .apply = apply, .confirm = confirm, .age = age };
static const DpRowSyncCallbacks relay_callbacks
  = { .send = on_relay_sends, .apply = apply, .confirm = confirm, .age = age };

static DpRowSync *
make_sync (World *world, DpName self, const DpRowSyncCallbacks *callbacks)
{
  const DpRowSyncOptions options = { .kind = DP_ROWS_TARGETS,
                                     .self = self,
                                     .budget = &world->budget,
                                     .callbacks = callbacks,
                                     .user = world };
  return dp_row_sync_new (&options);
}

/* A state in which each row fills a part. */
static void
set_state (DpRowSync *sync, guint64 version, guint count, DpUsec now)
{
  char *text = g_malloc (DP_ROW_PART_BYTES);
  memset (text, (int)('a' + version), DP_ROW_PART_BYTES);
  GPtrArray *rows = dp_row_array_new (count);
  for (guint i = 0; i < count; i++)
    {
      text[0] = (char)i;
      g_ptr_array_add (rows, dp_row_new (0, text, DP_ROW_PART_BYTES));
    }
  DpRowList *list = dp_row_list_new (rows);
  dp_row_sync_set (sync, (DpStoreVersion){ 1, version }, list, now);
  dp_row_list_unref (list);
  g_free (text);
}

static void
state (World *world, DpName from, guint64 version, gboolean is_relay, DpRowService service)
{
  const DpRowStatement statement
    = { .version = { 1, version }, .is_relay = is_relay, .service = service };
  dp_row_sync_on_statement (world->follower, from, &statement, world->now);
}

static void
play_event (World *world, const Event *event)
{
  switch (event->type)
    {
    case EVENT_NONE:
      break;
    case EVENT_RELAY:
      state (world, RELAY, event->version, TRUE, DP_ROW_SERVICE_ROWS);
      break;
    case EVENT_OLDER:
      state (world, RELAY, event->version, TRUE, DP_ROW_SERVICE_LISTS);
      break;
    case EVENT_UNLISTED:
      state (world, UNLISTED, event->version, TRUE, DP_ROW_SERVICE_NONE);
      break;
    case EVENT_PEER:
      state (world, RELAY, event->version, FALSE, DP_ROW_SERVICE_ROWS);
      break;
    case EVENT_PART:
      dp_row_sync_on_ask (world->relay, NAME_EARLY, &world->ask, world->now);
      break;
    case EVENT_READ:
      set_state (world->follower, event->version, 1, world->now);
      break;
    }
}

static DpRowStanding
play (const StandingCase *row, DpName self)
{
  /* Times of 0 stand for "never". */
  const DpUsec begin = 60 * DP_USEC_PER_SEC;
  World world = { .budget.bytes = G_MAXINT32, .now = begin };
  world.follower = make_sync (&world, self, &follower_callbacks);
  world.relay = make_sync (&world, RELAY, &relay_callbacks);
  set_state (world.follower, 5, 1, world.now);
  set_state (world.relay, 6, NEW_ROWS, world.now);
  const Event *next = row->events;
  for (; world.now <= begin + row->at * MSEC; world.now += 10 * MSEC)
    {
      for (; next->type != EVENT_NONE && world.now >= begin + next->at * MSEC; next++)
        play_event (&world, next);
      if (world.now % DP_ROW_SYNC_INTERVAL == 0)
        dp_row_sync_tick (world.follower, world.now);
    }
  DpRowStanding standing = dp_row_sync_standing (world.follower, begin + row->at * MSEC);
  dp_row_sync_free (world.follower);
  dp_row_sync_free (world.relay);
  return standing;
}

START_TEST (only_what_a_vm_has_or_gets_keeps_it_from_the_store)
{
  const StandingCase *row = &cases[_i];
  DpRowStanding early = play (row, NAME_EARLY);
  DpRowStanding late = play (row, NAME_LATE);
  ck_assert_msg (early == row->early, "%s: %d for the first VM", row->name, early);
  ck_assert_msg (late == row->late, "%s: %d for the last VM", row->name, late);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("row_standing");
  tcase_add_loop_test (tests, only_what_a_vm_has_or_gets_keeps_it_from_the_store, 0,
                       G_N_ELEMENTS (cases));
  Suite *suite = suite_create ("row_standing");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
