/* The platform's store: versions, conditional writes, outages, lost replies. */
#include "tests/matrix.h"

#define STORE_TIMEOUT DP_USEC_PER_SEC
#define SLOW_DELAY (1500 * DP_USEC_PER_MSEC)
#define LATE_WRITE_DELAY (1200 * DP_USEC_PER_MSEC)

typedef struct StoredObject
{
  guint64 version;
  GArray *records;
} StoredObject;

/* One operation, referenced by its pending callbacks: arrival or reply, timeout, and a late
 * write. */
typedef struct Operation
{
  guint refs;
  guint vm;
  guint generation;
  DpBucketId bucket;
  gboolean is_write;
  RequestStep step; /* of a write; its stored and reply steps are the next two */
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
find_object (Simulation *sim, DpBucketId bucket)
{
  guint64 key = object_key (bucket);
  return sim->objects != NULL ? g_hash_table_lookup (sim->objects, &key) : NULL;
}

static void
apply_write (Simulation *sim, Operation *operation)
{
  StoredObject *object = find_object (sim, operation->bucket);
  guint64 version = object != NULL ? object->version : 0;
  operation->result = DP_STORE_CONFLICT;
  if (version != operation->expected_version)
    return;
  if (object == NULL)
    {
      if (sim->objects == NULL)
        sim->objects
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, stored_object_free);
      guint64 key = object_key (operation->bucket);
      object = g_new0 (StoredObject, 1);
      g_hash_table_insert (sim->objects, g_memdup2 (&key, sizeof key), object);
    }
  g_clear_pointer (&object->records, g_array_unref);
  object->records = copy_records (operation->records);
  object->version = ++sim->version;
  operation->version = object->version;
  operation->result = DP_STORE_OK;
  simulation_log (sim, "store: version %" G_GUINT64_FORMAT " written by vm %u", object->version,
                  operation->vm);
}

static void
apply_read (Simulation *sim, Operation *operation)
{
  const StoredObject *object = find_object (sim, operation->bucket);
  operation->result = object != NULL ? DP_STORE_OK : DP_STORE_ABSENT;
  if (object == NULL)
    return;
  operation->version = object->version;
  operation->records = copy_records (object->records);
}

static void
deliver_reply (Simulation *sim, Operation *operation, DpStoreResult result)
{
  const SimulatedVm *vm = &sim->vms[operation->vm];
  gboolean current = vm->alive && vm->generation == operation->generation;
  if (operation->answered || !current)
    return;
  operation->answered = TRUE;
  RequestStep step = operation->is_write ? operation->step + 2 : STEP_CLAIM_READ_REPLY;
  if (!simulation_reach_step (sim, operation->vm, KIND_BOOKING, step))
    return;
  simulation_log (sim, "vm %u: %s -> %d", operation->vm, operation->is_write ? "write" : "read",
                  result);
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_CLAIM_REPLY };
  event.claim.bucket = operation->bucket;
  event.claim.is_write = operation->is_write;
  event.claim.result = result;
  event.claim.version = operation->version;
  if (!operation->is_write && result == DP_STORE_OK)
    event.claim.records = operation->records;
  /* The event may be queued while the VM is frozen: keep its records alive. */
  if (operation->records != NULL)
    g_ptr_array_add (sim->reply_records, g_array_ref (operation->records));
  simulation_deliver (sim, operation->vm, operation->generation, event, NULL);
}

static void
on_timeout (Simulation *sim, gpointer data)
{
  Operation *operation = data;
  if (!sim->stopping && !operation->answered
      && simulation_vm_ready_at (sim, operation->vm) > sim->now)
    {
      simulation_schedule (sim, simulation_vm_ready_at (sim, operation->vm) + TICK_INTERVAL,
                           on_timeout, data);
      return;
    }
  deliver_reply (sim, operation, DP_STORE_LOST);
  operation_unref (operation);
}

static void
receive_reply (Simulation *sim, gpointer data)
{
  Operation *operation = data;
  if (sim->now >= sim->vms[operation->vm].inbound_blocked_until)
    deliver_reply (sim, operation, operation->result);
  operation_unref (operation);
}

static void
apply_late (Simulation *sim, gpointer data)
{
  Operation *operation = data;
  apply_write (sim, operation);
  operation_unref (operation);
}

static gboolean
store_is_unreachable (const Simulation *sim, guint vm)
{
  gboolean in_second_data_centre = vm / FIXTURE_VMS != 0;
  return sim->now < sim->store_outage_until
         || (in_second_data_centre && sim->now < sim->data_centre_partition_until);
}

/* Applies the planned loss, if any, to a write. FALSE: the operation is handled normally. */
static gboolean
lose_write (Simulation *sim, Operation *operation)
{
  WriteLoss lost = sim->next_write_loss;
  if (!operation->is_write || lost == LOST_NONE)
    return FALSE;
  sim->next_write_loss = LOST_NONE;
  if (lost == LOST_STORED)
    apply_write (sim, operation);
  if (lost == LOST_STORED_LATER)
    {
      operation->refs += 1;
      simulation_schedule (sim, sim->now + LATE_WRITE_DELAY, apply_late, operation);
    }
  return TRUE;
}

static void
on_arrival (Simulation *sim, gpointer data)
{
  Operation *operation = data;
  gboolean no_reply
    = sim->now < sim->vms[operation->vm].outbound_blocked_until
      || (store_is_unreachable (sim, operation->vm)
          && (sim->store_outage_drops_requests || sim->now >= sim->store_outage_until))
      || lose_write (sim, operation);
  if (no_reply)
    {
      operation_unref (operation);
      return;
    }
  if (store_is_unreachable (sim, operation->vm))
    operation->result = DP_STORE_UNAVAILABLE;
  else if (operation->is_write)
    apply_write (sim, operation);
  else
    apply_read (sim, operation);
  if (operation->is_write && operation->result == DP_STORE_OK
      && operation->generation == sim->vms[operation->vm].generation)
    simulation_reach_step (sim, operation->vm, KIND_BOOKING, operation->step + 1);
  simulation_schedule (sim, sim->now + simulation_random_delay (sim) + sim->store_extra_delay,
                       receive_reply, operation);
}

static void
start_operation (Simulation *sim, Operation *operation)
{
  operation->refs = 2;
  operation->generation = sim->vms[operation->vm].generation;
  DpUsec slow = sim->now < sim->store_slow_until ? SLOW_DELAY : 0;
  DpUsec sent_at = simulation_vm_ready_at (sim, operation->vm);
  simulation_schedule (sim,
                       sent_at + simulation_random_delay (sim) + sim->store_extra_delay + slow,
                       on_arrival, operation);
  simulation_schedule (sim, sent_at + STORE_TIMEOUT, on_timeout, operation);
}

void
store_read (Simulation *sim, guint vm, DpBucketId bucket)
{
  if (!simulation_reach_step (sim, vm, KIND_BOOKING, STEP_CLAIM_READ))
    return;
  Operation *operation = g_new0 (Operation, 1);
  operation->vm = vm;
  operation->bucket = bucket;
  start_operation (sim, operation);
}

/* STEP_OUTCOME_WRITE if the write stores the final state of any of the VM's claims. */
static RequestStep
write_step (guint vm, const GArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const DpClaimRecord *record = &g_array_index (records, DpClaimRecord, i);
      if (record->holder == fixture_vm (vm) && record->state != DP_CLAIM_CLAIMED)
        return STEP_OUTCOME_WRITE;
    }
  return STEP_CLAIM_WRITE;
}

void
store_write (Simulation *sim, guint vm, const DpClaimWrite *write)
{
  RequestStep step = write_step (vm, write->records);
  if (!simulation_reach_step (sim, vm, KIND_BOOKING, step))
    return;
  Operation *operation = g_new0 (Operation, 1);
  operation->vm = vm;
  operation->bucket = write->bucket;
  operation->is_write = TRUE;
  operation->step = step;
  operation->expected_version = write->expected_version;
  operation->records = copy_records (write->records);
  start_operation (sim, operation);
}

void
store_clear (Simulation *sim)
{
  g_clear_pointer (&sim->objects, g_hash_table_unref);
}
