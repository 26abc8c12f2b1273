/* The platform's store: versions, conditional writes, outages, lost answers. */
#include "tests/matrix.h"

#define STORE_TIMEOUT DP_USEC_PER_SEC
#define SLOW_DELAY (1500 * DP_USEC_PER_MSEC)
#define LATE_BY (1200 * DP_USEC_PER_MSEC)

typedef struct StoredObject
{
  guint64 version;
  GArray *records;
} StoredObject;

/* One operation; three callbacks hold it: arrival, reply, the shell's timeout. */
typedef struct Operation
{
  guint refs;
  guint vm;
  guint generation;
  DpBucketId bucket;
  gboolean is_write;
  Step step; /* of the write; the reply's is two further on */
  guint64 expected_version;
  GArray *records;
  gboolean answered;
  DpStoreResult result;
  guint64 version;
} Operation;

static void
operation_unref (Operation *operation)
{
  operation->refs -= 1;
  if (operation->refs > 0)
    return;
  g_clear_pointer (&operation->records, g_array_unref);
  g_free (operation);
}

static void
stored_object_free (gpointer data)
{
  StoredObject *object = data;
  g_array_unref (object->records);
  g_free (object);
}

static GArray *
copy_records (const GArray *from)
{
  GArray *records = g_array_new (FALSE, TRUE, sizeof (DpClaimRecord));
  g_array_set_clear_func (records, dp_claim_record_clear);
  for (guint i = 0; i < from->len; i++)
    {
      DpClaimRecord record = g_array_index (from, DpClaimRecord, i);
      if (record.body != NULL)
        g_bytes_ref (record.body);
      g_array_append_val (records, record);
    }
  return records;
}

static guint64
object_key (DpBucketId bucket)
{
  return (guint64)bucket.slot << 32 | bucket.index;
}

static StoredObject *
find_object (World *world, DpBucketId bucket)
{
  guint64 key = object_key (bucket);
  return world->objects != NULL ? g_hash_table_lookup (world->objects, &key) : NULL;
}

static void
apply_write (World *world, Operation *operation)
{
  StoredObject *object = find_object (world, operation->bucket);
  guint64 version = object != NULL ? object->version : 0;
  operation->result = DP_STORE_CONFLICT;
  if (version != operation->expected_version)
    return;
  if (object == NULL)
    {
      if (world->objects == NULL)
        world->objects
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, stored_object_free);
      guint64 key = object_key (operation->bucket);
      object = g_new0 (StoredObject, 1);
      g_hash_table_insert (world->objects, g_memdup2 (&key, sizeof key), object);
    }
  g_clear_pointer (&object->records, g_array_unref);
  object->records = copy_records (operation->records);
  object->version = ++world->version;
  operation->version = object->version;
  operation->result = DP_STORE_OK;
  world_log (world, "store: version %" G_GUINT64_FORMAT " written by vm %u", object->version,
             operation->vm);
}

static void
apply_read (World *world, Operation *operation)
{
  const StoredObject *object = find_object (world, operation->bucket);
  operation->result = object != NULL ? DP_STORE_OK : DP_STORE_ABSENT;
  if (object == NULL)
    return;
  operation->version = object->version;
  operation->records = copy_records (object->records);
}

static void
answer (World *world, Operation *operation, DpStoreResult result)
{
  const WorldVm *vm = &world->vms[operation->vm];
  gboolean current = vm->alive && vm->generation == operation->generation;
  if (operation->answered || !current)
    return;
  operation->answered = TRUE;
  Step step = operation->is_write ? operation->step + 2 : STEP_CLAIM_READ_REPLY;
  if (!world_step (world, operation->vm, KIND_BOOKING, step))
    return;
  world_log (world, "vm %u: %s -> %d", operation->vm, operation->is_write ? "write" : "read",
             result);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  event.claim.bucket = operation->bucket;
  event.claim.is_write = operation->is_write;
  event.claim.result = result;
  event.claim.version = operation->version;
  if (!operation->is_write && result == DP_STORE_OK)
    event.claim.records = operation->records;
  /* Queued while the VM is frozen: the records have to live as long. */
  if (operation->records != NULL)
    g_ptr_array_add (world->kept_records, g_array_ref (operation->records));
  world_deliver (world, operation->vm, operation->generation, event, NULL);
}

static void
time_out (World *world, gpointer data)
{
  Operation *operation = data;
  if (!world->closing && !operation->answered
      && world_ready_at (world, operation->vm) > world->now)
    {
      world_at (world, world_ready_at (world, operation->vm) + TICK_INTERVAL, time_out, data);
      return;
    }
  answer (world, operation, DP_STORE_LOST);
  operation_unref (operation);
}

static void
receive_reply (World *world, gpointer data)
{
  Operation *operation = data;
  if (world->now >= world->vms[operation->vm].cut_in_until)
    answer (world, operation, operation->result);
  operation_unref (operation);
}

static void
apply_late (World *world, gpointer data)
{
  Operation *operation = data;
  apply_write (world, operation);
  operation_unref (operation);
}

static gboolean
store_is_out (const World *world, guint vm)
{
  gboolean second_centre = vm / FIXTURE_VMS != 0;
  return world->now < world->outage_until
         || (second_centre && world->now < world->centre_cut_until);
}

/* Takes the operation's fate as a planned lost write says. FALSE: it goes its usual way. */
static gboolean
lose_write (World *world, Operation *operation)
{
  LostWrite lose = world->lose_next;
  if (!operation->is_write || lose == LOST_NOT)
    return FALSE;
  world->lose_next = LOST_NOT;
  if (lose == LOST_STORED)
    apply_write (world, operation);
  if (lose == LOST_STORED_LATER)
    {
      operation->refs += 1;
      world_at (world, world->now + LATE_BY, apply_late, operation);
    }
  return TRUE;
}

static void
arrive (World *world, gpointer data)
{
  Operation *operation = data;
  gboolean no_answer = world->now < world->vms[operation->vm].cut_out_until
                       || (store_is_out (world, operation->vm)
                           && (world->outage_loses || world->now >= world->outage_until))
                       || lose_write (world, operation);
  if (no_answer)
    {
      operation_unref (operation);
      return;
    }
  if (store_is_out (world, operation->vm))
    operation->result = DP_STORE_UNAVAILABLE;
  else if (operation->is_write)
    apply_write (world, operation);
  else
    apply_read (world, operation);
  if (operation->is_write && operation->result == DP_STORE_OK
      && operation->generation == world->vms[operation->vm].generation)
    world_step (world, operation->vm, KIND_BOOKING, operation->step + 1);
  world_at (world, world->now + world_delay (world) + world->store_delay, receive_reply,
            operation);
}

static void
start (World *world, Operation *operation)
{
  operation->refs = 2;
  operation->generation = world->vms[operation->vm].generation;
  DpUsec slow = world->now < world->slow_until ? SLOW_DELAY : 0;
  DpUsec sent_at = world_ready_at (world, operation->vm);
  world_at (world, sent_at + world_delay (world) + world->store_delay + slow, arrive,
            operation);
  world_at (world, sent_at + STORE_TIMEOUT, time_out, operation);
}

void
store_read (World *world, guint vm, DpBucketId bucket)
{
  if (!world_step (world, vm, KIND_BOOKING, STEP_CLAIM_READ))
    return;
  Operation *operation = g_new0 (Operation, 1);
  operation->vm = vm;
  operation->bucket = bucket;
  start (world, operation);
}

/* A write that only claims, or one that records what became of a claim. */
static Step
write_step (guint vm, const GArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const DpClaimRecord *record = &g_array_index (records, DpClaimRecord, i);
      if (record->holder == fixture_vm (vm) && record->state != DP_CLAIM_CLAIMED)
        return STEP_RECORD_WRITE;
    }
  return STEP_CLAIM_WRITE;
}

void
store_write (World *world, guint vm, const DpClaimWrite *write)
{
  Step step = write_step (vm, write->records);
  if (!world_step (world, vm, KIND_BOOKING, step))
    return;
  Operation *operation = g_new0 (Operation, 1);
  operation->vm = vm;
  operation->bucket = write->bucket;
  operation->is_write = TRUE;
  operation->step = step;
  operation->expected_version = write->expected_version;
  operation->records = copy_records (write->records);
  start (world, operation);
}

void
store_clear (World *world)
{
  g_clear_pointer (&world->objects, g_hash_table_unref);
}
