/* State that VMs follow, in virtual time: losses, slow links, relays that die, changes in
 * series. Counts bytes, so that the verdicts don't depend on the machine. */
#include "core/row_sync/row_delta.h"
#include "core/row_sync/row_sync.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define VMS 8
#define RELAYS 2
#define STEP DP_USEC_PER_MSEC
#define DELAY DP_USEC_PER_MSEC
/* Bytes of a message besides its steps. */
#define ENVELOPE ((gsize)120)
#define LATE_MAX (2 * DP_USEC_PER_SEC)
#define RELAY_LAG (60 * DP_USEC_PER_MSEC)
#define STATEMENT_INTERVAL (300 * DP_USEC_PER_MSEC)
#define ROW_BYTES 200
#define SEEDS 8
/* More by hand: number of seeds for each case. */
#define SEEDS_VARIABLE "DP_ROW_SYNC_SEEDS"

typedef struct SyncCase
{
  const char *name;
  guint rows; /* before the changes */
  guint grown_by;
  guint changes; /* of one row each, after the growth */
  DpUsec change_interval;
  gint64 link;        /* bytes a second to a follower; 0: not limited */
  guint lost_percent; /* until the last change */
  guint garbled_percent;
  gboolean relay_dies;     /* after the growth, in the middle of the transfer */
  gboolean followers_lose; /* all state, in the middle */
  gboolean is_restored; /* the store goes back to the state before the growth, in a new era */
  guint late_percent;   /* of all messages, by up to 2 s; until the last change */
  gboolean is_refused_once; /* followers can't use the change, which is confirmed later */
  gboolean is_unordered;    /* a relay has the rows in another order, one of them later */
  /* what is allowed */
  DpUsec time;       /* from the last change until all have it */
  gsize bytes;       /* that a follower is sent after the first state */
  guint64 fulls;     /* whole states that a follower is sent, the first included */
  gsize queue_bytes; /* waiting for a follower's link */
} SyncCase;

/* Of rows, with what is around them. */
#define ROWS(count) ((gsize)(count) * (ROW_BYTES + 12) * 11 / 10)
/* Of the statements of both relays, each 300 ms and with each change. */
#define STATEMENTS(seconds, changes)                                                           \
  ((gsize)(RELAYS * ENVELOPE * ((seconds)*4 + (changes) + 4)))
/* Of an exchange for a change of one row. */
#define CHANGES(count) ((gsize)(count) * (2 * ENVELOPE + ROW_BYTES + 100))
#define QUEUE_BYTES (2 * (gsize)16384)

static const SyncCase cases[] = {
  { .name = "a row, 40 rows",
    .rows = 40,
    .changes = 1,
    .time = 100000,
    .fulls = 1,
    .bytes = CHANGES (1) + STATEMENTS (4, 1),
    .queue_bytes = QUEUE_BYTES },
  { .name = "a row, 4,200 rows",
    .rows = 4200,
    .changes = 1,
    .time = 100000,
    .fulls = 1,
    .bytes = CHANGES (1) + STATEMENTS (4, 1),
    .queue_bytes = QUEUE_BYTES },
  { .name = "1,400 rows",
    .rows = 2800,
    .grown_by = 1400,
    .time = 1000000,
    .fulls = 1,
    .bytes = ROWS (1400) + STATEMENTS (4, 1) + 30 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  { .name = "1,400 rows, then changes in series",
    .rows = 2800,
    .grown_by = 1400,
    .changes = 30,
    .change_interval = 150000,
    .time = 1000000,
    .fulls = 1,
    .bytes = ROWS (1400) + CHANGES (30) + STATEMENTS (9, 31) + 30 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  { .name = "the same on slow links",
    .rows = 2800,
    .grown_by = 1400,
    .changes = 30,
    .change_interval = 150000,
    .link = 150000,
    .time = 3000000,
    .fulls = 1,
    .bytes = ROWS (1400) + CHANGES (30) + STATEMENTS (12, 31) + 60 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  { .name = "messages are lost",
    .rows = 400,
    .grown_by = 200,
    .changes = 20,
    .change_interval = 150000,
    .lost_percent = 20,
    .time = 3000000,
    .fulls = 2,
    .bytes = 2 * ROWS (1000) + 3 * CHANGES (20) + STATEMENTS (20, 40),
    .queue_bytes = 4 * QUEUE_BYTES },
  { .name = "messages are garbled",
    .rows = 400,
    .grown_by = 200,
    .changes = 20,
    .change_interval = 150000,
    .garbled_percent = 10,
    .time = 3000000,
    .fulls = 1,
    .bytes = ROWS (620) + 3 * CHANGES (20) + STATEMENTS (20, 40),
    .queue_bytes = 4 * QUEUE_BYTES },
  /* What comes late may be of a state that is known by then, or for another base. */
  { .name = "messages are late",
    .rows = 400,
    .grown_by = 200,
    .changes = 20,
    .change_interval = 150000,
    .late_percent = 30,
    .time = 3000000,
    .fulls = 1,
    .bytes = 3 * ROWS (300) + 4 * CHANGES (20) + STATEMENTS (20, 40),
    .queue_bytes = 4 * QUEUE_BYTES },
  /* A whole state in one part, late, may be older than what came meanwhile. */
  { .name = "followers start again, messages are late",
    .rows = 20,
    .changes = 20,
    .change_interval = 150000,
    .late_percent = 50,
    .followers_lose = TRUE,
    .time = 3000000,
    .fulls = 4,
    .bytes = 4 * ROWS (20) + 6 * CHANGES (20) + STATEMENTS (20, 40),
    .queue_bytes = 4 * QUEUE_BYTES },
  { .name = "a relay dies",
    .rows = 2800,
    .grown_by = 1400,
    .changes = 5,
    .change_interval = 150000,
    .relay_dies = TRUE,
    .time = 2500000,
    .fulls = 1,
    .bytes = ROWS (1500) + 2 * CHANGES (5) + STATEMENTS (9, 6) + 30 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  { .name = "followers start again",
    .rows = 2800,
    .grown_by = 1400,
    .changes = 5,
    .change_interval = 150000,
    .followers_lose = TRUE,
    .time = 3000000,
    .fulls = 1,
    .bytes = ROWS (4300) + CHANGES (5) + STATEMENTS (9, 6) + 90 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  { .name = "the store is restored",
    .rows = 400,
    .grown_by = 200,
    .changes = 3,
    .change_interval = 150000,
    .is_restored = TRUE,
    .time = 1000000,
    .fulls = 1,
    .bytes = ROWS (220) + CHANGES (6) + STATEMENTS (6, 8) + 10 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
  /* Such as targets of which the store's confirmation was too old. */
  { .name = "a state is refused, and confirmed by a later version",
    .rows = 40,
    .changes = 1,
    .change_interval = 500000,
    .is_refused_once = TRUE,
    .time = 1000000,
    .fulls = 1,
    .bytes = 2 * CHANGES (1) + STATEMENTS (5, 2),
    .queue_bytes = QUEUE_BYTES },
  /* Each follower keeps to its relay. */
  { .name = "relays have the rows in another order",
    .rows = 400,
    .changes = 20,
    .change_interval = 150000,
    .is_unordered = TRUE,
    .time = 1000000,
    .fulls = 2,
    .bytes = ROWS (450) + 2 * CHANGES (20) + STATEMENTS (8, 21) + 10 * ENVELOPE * 2,
    .queue_bytes = QUEUE_BYTES },
};

typedef struct Frame
{
  DpUsec due_at;
  guint from, to;
  gsize bytes;
  DpMessage message;
} Frame;

typedef struct Vm
{
  struct World *world;
  guint index;
  DpRowSync *sync;
  DpRowBudget budget;
  gboolean is_dead;
  DpUsec link_free_at;
  gsize received;
  DpStoreVersion applied; /* newest */
  DpUsec stated_at;
  guint64 stated; /* digest */
} Vm;

typedef struct World
{
  const SyncCase *row;
  GRand *random;
  DpUsec now;
  Vm vms[VMS];
  GArray *frames;   /* Frame */
  GPtrArray *texts; /* char *: the state */
  DpStoreVersion version;
  GHashTable *digests; /* guint64: of all states that there were */
  DpUsec lagging_at;   /* when the late relay reads the newest state; 0: it has */
  gsize queue_max;
  gboolean is_refusing; /* followers refuse what they get */
  gboolean is_calm;     /* nothing is lost or garbled */
} World;

static DpName
name_of (guint index)
{
  return index + 1;
}

static gboolean
happens (World *world, guint percent)
{
  return percent > 0 && !world->is_calm
         && (guint)g_rand_int_range (world->random, 0, 100) < percent;
}

static void
garble (World *world, DpMessage *message)
{
  if (message->type != DP_MESSAGE_ROWS || !happens (world, world->row->garbled_percent))
    return;
  gsize length;
  guint8 *copy = g_bytes_unref_to_data (g_steal_pointer (&message->rows.steps), &length);
  if (length > 0)
    {
      gint32 at = g_rand_int_range (world->random, 0, (gint32)length);
      copy[at] ^= (guint8)g_rand_int_range (world->random, 1, 256);
    }
  message->rows.steps = g_bytes_new_take (copy, length);
}

/* On the link to a follower, messages wait for those before them. */
static DpUsec
arrival (World *world, Vm *to, gsize bytes)
{
  if (world->row->link == 0 || to->index < RELAYS)
    return world->now + DELAY;
  DpUsec begin = MAX (to->link_free_at, world->now);
  to->link_free_at = begin + (DpUsec)bytes * DP_USEC_PER_SEC / world->row->link;
  gsize queued = (gsize)((to->link_free_at - world->now) * world->row->link / DP_USEC_PER_SEC);
  world->queue_max = MAX (world->queue_max, queued);
  return to->link_free_at + DELAY;
}

static void
transmit (World *world, guint from, guint to, const DpMessage *message)
{
  gsize bytes = ENVELOPE;
  if (message->type == DP_MESSAGE_ROWS)
    bytes += g_bytes_get_size (message->rows.steps);
  world->vms[to].received += bytes;
  if (happens (world, world->row->lost_percent))
    return;
  Frame frame = { .from = from, .to = to, .bytes = bytes, .message = *message };
  if (message->type == DP_MESSAGE_ROWS)
    g_bytes_ref (frame.message.rows.steps);
  garble (world, &frame.message);
  frame.due_at = arrival (world, &world->vms[to], bytes);
  if (happens (world, world->row->late_percent))
    frame.due_at += g_rand_int_range (world->random, 0, LATE_MAX);
  g_array_append_val (world->frames, frame);
}

static void
send_message (gpointer user, DpName to, const DpMessage *message)
{
  Vm *vm = user;
  transmit (vm->world, vm->index, (guint)to - 1, message);
}

static gboolean
apply (gpointer user, DpStoreVersion version, DpUsec age, DpRowList *list)
{
  Vm *vm = user;
  ck_assert_msg (dp_store_version_compare (version, vm->applied) > 0, "%s: goes back",
                 vm->world->row->name);
  ck_assert_msg (g_hash_table_contains (vm->world->digests, &list->digest), "%s: another state",
                 vm->world->row->name);
  if (vm->world->is_refusing)
    return FALSE;
  vm->applied = version;
  return TRUE;
}

static void
confirm (gpointer user, DpStoreVersion version)
{
  Vm *vm = user;
  ck_assert_int_ge (dp_store_version_compare (version, vm->applied), 0);
  vm->applied = version;
}

static DpUsec
age (gpointer user)
{
  return 0;
}

static const DpRowSyncCallbacks callbacks
  = { .send = send_message, .apply = apply, .confirm = confirm, .age = age };

static void
start_vm (World *world, guint index)
{
  Vm *vm = &world->vms[index];
  dp_row_sync_free (vm->sync);
  *vm = (Vm){ .world = world, .index = index, .received = vm->received };
  const DpRowSyncOptions options = { .kind = DP_ROWS_CONFIG,
                                     .self = name_of (index),
                                     .budget = &vm->budget,
                                     .callbacks = &callbacks,
                                     .user = vm };
  vm->sync = dp_row_sync_new (&options);
}

/* --- the state --- */

static char *
make_text (World *world)
{
  char *text = g_malloc0 (ROW_BYTES + 1);
  for (guint i = 0; i < ROW_BYTES; i++)
    text[i] = (char)('a' + g_rand_int_range (world->random, 0, 26));
  return text;
}

static DpRowList *
make_list (const World *world, gboolean is_reversed)
{
  guint count = world->texts->len;
  GPtrArray *rows = dp_row_array_new (count);
  for (guint i = 0; i < count; i++)
    {
      const char *text = g_ptr_array_index (world->texts, is_reversed ? count - 1 - i : i);
      g_ptr_array_add (rows, dp_row_new (i >= count / 2, text, ROW_BYTES));
    }
  return dp_row_list_new (rows);
}

/* The relay has read the newest state from the store. */
static void
read_state (World *world, Vm *relay)
{
  if (relay->is_dead)
    return;
  DpRowList *list = make_list (world, relay->index > 0 && world->row->is_unordered);
  g_hash_table_add (world->digests, g_memdup2 (&list->digest, sizeof list->digest));
  dp_row_sync_set (relay->sync, world->version, list, world->now);
  relay->applied = world->version;
  dp_row_list_unref (list);
}

/* If they lag, the relays take turns in being late. */
static Vm *
late_relay (World *world)
{
  return &world->vms[world->version.revision % RELAYS];
}

static void
publish (World *world)
{
  world->version.revision++;
  world->lagging_at = world->row->is_unordered ? world->now + RELAY_LAG : 0;
  for (guint i = 0; i < RELAYS; i++)
    if (world->lagging_at == 0 || &world->vms[i] != late_relay (world))
      read_state (world, &world->vms[i]);
}

static void
change_row (World *world)
{
  guint at = (guint)g_rand_int_range (world->random, 0, (gint32)world->texts->len);
  g_free (world->texts->pdata[at]);
  world->texts->pdata[at] = make_text (world);
  publish (world);
}

static void
grow (World *world, guint count)
{
  for (guint i = 0; i < count; i++)
    g_ptr_array_insert (world->texts, (gint)(world->texts->len / 2), make_text (world));
  publish (world);
}

/* --- the course --- */

static void
state (World *world, Vm *relay)
{
  guint64 digest = dp_row_sync_digest (relay->sync);
  if (relay->is_dead
      || (relay->stated == digest && world->now - relay->stated_at < STATEMENT_INTERVAL))
    return;
  relay->stated = digest;
  relay->stated_at = world->now;
  /* Carried as a message of another kind between VMs. */
  DpMessage message = { .type = DP_MESSAGE_RELAY };
  message.relay.config = dp_row_sync_version (relay->sync);
  message.relay.manifest_digest = digest;
  for (guint i = RELAYS; i < VMS; i++)
    transmit (world, relay->index, i, &message);
}

static void
deliver (World *world, Frame *frame)
{
  Vm *to = &world->vms[frame->to];
  DpName from = name_of (frame->from);
  if (to->is_dead)
    return;
  if (frame->message.type == DP_MESSAGE_ROWS)
    dp_row_sync_on_part (to->sync, from, &frame->message.rows, world->now);
  else if (frame->message.type == DP_MESSAGE_ROWS_ASK)
    dp_row_sync_on_ask (to->sync, from, &frame->message.rows_ask, world->now);
  else
    {
      const DpRowStatement statement = { .version = frame->message.relay.config,
                                         .digest = frame->message.relay.manifest_digest,
                                         .is_relay = TRUE };
      dp_row_sync_on_statement (to->sync, from, &statement, world->now);
    }
}

static void
step (World *world)
{
  world->now += STEP;
  for (guint i = 0; i < world->frames->len;)
    {
      Frame frame = g_array_index (world->frames, Frame, i);
      if (frame.due_at > world->now)
        {
          i++;
          continue;
        }
      g_array_remove_index (world->frames, i);
      deliver (world, &frame);
      dp_message_clear (&frame.message);
    }
  if (world->lagging_at != 0 && world->now >= world->lagging_at)
    {
      world->lagging_at = 0;
      read_state (world, late_relay (world));
    }
  for (guint i = 0; i < RELAYS; i++)
    state (world, &world->vms[i]);
  if (world->now % DP_ROW_SYNC_INTERVAL != 0)
    return;
  for (guint i = 0; i < VMS; i++)
    {
      world->vms[i].budget.bytes = 1000000;
      if (!world->vms[i].is_dead)
        dp_row_sync_tick (world->vms[i].sync, world->now);
    }
}

static void
run_for (World *world, DpUsec duration)
{
  for (DpUsec end = world->now + duration; world->now < end;)
    step (world);
}

static gboolean
all_have_newest (const World *world)
{
  for (guint i = RELAYS; i < VMS; i++)
    if (dp_store_version_compare (world->vms[i].applied, world->version) != 0)
      return FALSE;
  return TRUE;
}

/* Time until all have the newest state; at most `most`. */
static DpUsec
run_until_all_have_it (World *world, DpUsec most)
{
  DpUsec begin = world->now;
  while (!all_have_newest (world) && world->now - begin < most)
    step (world);
  return world->now - begin;
}

static void
disturb (World *world)
{
  const SyncCase *row = world->row;
  world->vms[0].is_dead = row->relay_dies;
  for (guint i = RELAYS; row->followers_lose && i < VMS; i++)
    start_vm (world, i);
  if (!row->is_restored)
    return;
  world->version.era++;
  world->version.revision -= 1;
  g_ptr_array_remove_range (world->texts, world->texts->len / 2, row->grown_by / 2);
  publish (world);
}

static void
check_costs (const World *world, DpUsec time, guint seed)
{
  const SyncCase *row = world->row;
  ck_assert_msg (all_have_newest (world), "%s, seed %u: not all have the newest", row->name,
                 seed);
  ck_assert_msg (time <= row->time, "%s, seed %u: after %d ms", row->name, seed,
                 (int)(time / DP_USEC_PER_MSEC));
  for (guint i = RELAYS; i < VMS; i++)
    {
      const DpRowSyncStatus status = dp_row_sync_status (world->vms[i].sync, world->now);
      /* A part that can't be used costs a whole state. */
      guint64 fulls = row->fulls + status.parts_refused;
      gsize bytes = row->bytes + status.parts_refused * ROWS (world->texts->len);
      ck_assert_msg (status.fulls_received <= fulls, "%s, seed %u: %u whole states", row->name,
                     seed, (guint)status.fulls_received);
      ck_assert_msg (world->vms[i].received <= bytes, "%s, seed %u: %u bytes of %u", row->name,
                     seed, (guint)world->vms[i].received, (guint)bytes);
      ck_assert_int_eq (status.behind, 0);
      guint64 digest = dp_row_sync_digest (world->vms[i].sync);
      ck_assert_msg (digest == dp_row_sync_digest (world->vms[RELAYS - 1].sync)
                       || digest == dp_row_sync_digest (world->vms[0].sync),
                     "%s, seed %u: another state", row->name, seed);
    }
  ck_assert_msg (world->queue_max <= row->queue_bytes, "%s, seed %u: %u bytes queued",
                 row->name, seed, (guint)world->queue_max);
}

static void
play (const SyncCase *row, guint seed)
{
  World world
    = { .row = row,
        .random = g_rand_new_with_seed (seed),
        .frames = g_array_new (FALSE, FALSE, sizeof (Frame)),
        .texts = g_ptr_array_new_with_free_func (g_free),
        .digests = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL) };
  world.version.era = 1;
  for (guint i = 0; i < VMS; i++)
    start_vm (&world, i);
  grow (&world, row->rows);
  run_until_all_have_it (&world, 60 * DP_USEC_PER_SEC);
  ck_assert_msg (all_have_newest (&world), "%s, seed %u: first state", row->name, seed);
  for (guint i = 0; i < VMS; i++)
    world.vms[i].received = 0;
  world.queue_max = 0;
  if (row->grown_by > 0)
    grow (&world, row->grown_by);
  run_for (&world, 100 * DP_USEC_PER_MSEC);
  disturb (&world);
  world.is_refusing = row->is_refused_once;
  for (guint i = 0; i < row->changes; i++)
    {
      change_row (&world);
      run_for (&world, row->change_interval);
    }
  world.is_refusing = FALSE;
  /* The same state. */
  if (row->is_refused_once)
    publish (&world);
  world.is_calm = TRUE;
  DpUsec time = run_until_all_have_it (&world, 20 * DP_USEC_PER_SEC);
  run_for (&world, DP_USEC_PER_SEC);
  check_costs (&world, time, seed);
  for (guint i = 0; i < VMS; i++)
    dp_row_sync_free (world.vms[i].sync);
  for (guint i = 0; i < world.frames->len; i++)
    dp_message_clear (&g_array_index (world.frames, Frame, i).message);
  g_array_unref (world.frames);
  g_ptr_array_unref (world.texts);
  g_hash_table_unref (world.digests);
  g_rand_free (world.random);
}

START_TEST (all_follow_at_the_cost_of_the_change)
{
  const char *seeds = g_getenv (SEEDS_VARIABLE);
  guint count = seeds != NULL ? (guint)g_ascii_strtoull (seeds, NULL, 10) : SEEDS;
  for (guint seed = 1; seed <= count; seed++)
    play (&cases[_i], seed);
}
END_TEST

/* --- steps that can't be used --- */

typedef struct StepsCase
{
  const char *name;
  const char *steps;
  gsize length;
  gboolean has_base; /* of two rows */
  gboolean is_read;
} StepsCase;

#define STEPS(bytes) bytes, sizeof (bytes) - 1

static const StepsCase steps_cases[] = {
  { "none", STEPS (""), TRUE, TRUE },
  { "a copy", STEPS ("\x00\x02"), TRUE, TRUE },
  { "a new row", STEPS ("\x00\xc4\x01x"), FALSE, TRUE },
  { "a copy without a base", STEPS ("\x00\x02"), FALSE, FALSE },
  { "a copy of too many rows", STEPS ("\x01\x02"), TRUE, FALSE },
  { "a copy of no rows", STEPS ("\x00\x00"), TRUE, FALSE },
  { "a copy from far away", STEPS ("\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x02"), TRUE, FALSE },
  { "a copy of very many rows", STEPS ("\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff"), TRUE,
    FALSE },
  { "an unknown section", STEPS ("\x04\xc4\x01x"), FALSE, FALSE },
  { "sections out of order", STEPS ("\x01\xc4\x01x\x00\xc4\x01x"), FALSE, FALSE },
  { "half a step", STEPS ("\x00"), TRUE, FALSE },
  { "a text that is cut", STEPS ("\x00\xc4\x05xy"), FALSE, FALSE },
  { "an array of many elements", STEPS ("\x00\xdd\xff\xff\xff\xff"), FALSE, FALSE },
  { "a map of many elements", STEPS ("\xdf\xff\xff\xff\xff"), FALSE, FALSE },
  { "a negative number", STEPS ("\xff\x01"), TRUE, FALSE },
  { "a string", STEPS ("\x00\xa1x"), FALSE, FALSE },
};

START_TEST (odd_steps_are_refused)
{
  const StepsCase *row = &steps_cases[_i];
  GPtrArray *base_rows = dp_row_array_new (2);
  g_ptr_array_add (base_rows, dp_row_new (0, "a", 1));
  g_ptr_array_add (base_rows, dp_row_new (1, "b", 1));
  DpRowList *base = dp_row_list_new (base_rows);
  GPtrArray *rows = dp_row_array_new (0);
  /* Of exactly this length, so that a sanitizer detects reads past the end. */
  GBytes *steps = g_bytes_new_take (g_memdup2 (row->steps, row->length), row->length);
  GError *error = NULL;
  gboolean ok = dp_row_delta_decode (row->has_base ? base : NULL, steps, rows, &error);
  ck_assert_msg (ok == row->is_read, "%s", row->name);
  ck_assert ((error == NULL) == ok);
  g_clear_error (&error);
  g_bytes_unref (steps);
  g_ptr_array_unref (rows);
  dp_row_list_unref (base);
}
END_TEST

/* Digest 0 stands for no state, and is no state's digest. */
START_TEST (a_part_without_a_digest_is_refused)
{
  World world = { .row = &cases[0] };
  start_vm (&world, RELAYS);
  DpRowSync *sync = world.vms[RELAYS].sync;
  DpRowsPart part = { .version = { 1, 1 }, .steps = g_bytes_new_static ("", 0) };
  dp_row_sync_on_part (sync, name_of (0), &part, STEP);
  ck_assert_ptr_null (dp_row_sync_list (sync));
  ck_assert_uint_eq (dp_row_sync_status (sync, STEP).lists_received, 0);
  g_bytes_unref (part.steps);
  dp_row_sync_free (sync);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("row_sync");
  tcase_add_loop_test (tests, all_follow_at_the_cost_of_the_change, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, a_part_without_a_digest_is_refused);
  tcase_add_loop_test (tests, odd_steps_are_refused, 0, G_N_ELEMENTS (steps_cases));
  Suite *suite = suite_create ("row_sync");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
