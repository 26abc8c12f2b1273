#include "agent_bench.h"

#include <check.h>
#include <string.h>

#define MESSAGE_DELAY (2 * BENCH_STEP)
#define PLATFORM_DELAY (2 * BENCH_STEP)
#define LOST_REPLY_DELAY DP_USEC_PER_SEC
#define LATE_WRITE_DELAY (2 * DP_USEC_PER_SEC)
#define HELLO_INTERVAL (500 * DP_USEC_PER_MSEC)
#define START_TIME DP_USEC_PER_SEC

typedef struct BenchObject
{
  guint64 version;
  GBytes *value;
  guint64 old_version;
  GBytes *old_value;
} BenchObject;

typedef enum DeliveryType
{
  DELIVERY_MESSAGE,
  DELIVERY_REPLY,
  DELIVERY_LATE_WRITE,
} DeliveryType;

typedef struct Delivery
{
  DeliveryType type;
  guint vm;
  guint generation;
  DpPeer from;
  DpMessage message;
  DpAgentReply reply;
  /* DELIVERY_LATE_WRITE only */
  char *path;
  guint64 expected;
  GBytes *value;
} Delivery;

typedef struct Watch
{
  guint vm;
  guint generation;
  DpAgentCall call;
  char *path;
  guint64 version;
  DpUsec expires_at;
} Watch;

static void
object_free (gpointer data)
{
  BenchObject *object = data;
  g_clear_pointer (&object->value, g_bytes_unref);
  g_clear_pointer (&object->old_value, g_bytes_unref);
  g_free (object);
}

static void
delivery_free (gpointer data)
{
  Delivery *delivery = data;
  if (delivery->type == DELIVERY_MESSAGE)
    dp_message_clear (&delivery->message);
  g_clear_pointer (&delivery->reply.value, g_bytes_unref);
  g_clear_pointer (&delivery->value, g_bytes_unref);
  g_free (delivery->path);
  g_free (delivery);
}

static void
watch_free (gpointer data)
{
  Watch *watch = data;
  g_free (watch->path);
  g_free (watch);
}

static void
schedule (Bench *bench, Delivery *delivery, DpUsec delay)
{
  gpointer step_key = GSIZE_TO_POINTER ((gsize)((bench->now + delay) / BENCH_STEP));
  GPtrArray *due = g_hash_table_lookup (bench->deliveries, step_key);
  if (due == NULL)
    {
      due = g_ptr_array_new ();
      g_hash_table_insert (bench->deliveries, step_key, due);
    }
  g_ptr_array_add (due, delivery);
}

/* --- platform --- */

static BenchObject *
find_object (const Bench *bench, const char *path)
{
  return g_hash_table_lookup (bench->objects, path);
}

static guint64
put_object (Bench *bench, const char *path, GBytes *value)
{
  BenchObject *object = find_object (bench, path);
  if (object == NULL)
    {
      object = g_new0 (BenchObject, 1);
      g_hash_table_insert (bench->objects, g_strdup (path), object);
    }
  g_clear_pointer (&object->old_value, g_bytes_unref);
  object->old_value = object->value;
  object->old_version = object->version;
  object->value = g_bytes_ref (value);
  object->version = ++bench->next_version;
  return object->version;
}

void
bench_put_object (Bench *bench, const char *path, const char *text)
{
  GBytes *value = g_bytes_new (text, strlen (text));
  put_object (bench, path, value);
  g_bytes_unref (value);
}

GBytes *
bench_get_object (Bench *bench, const char *path)
{
  BenchObject *object = find_object (bench, path);
  return object != NULL ? object->value : NULL;
}

static void
schedule_reply (Bench *bench,
                guint vm,
                guint generation,
                DpAgentCall call,
                DpAgentResult result,
                const BenchObject *object,
                DpUsec delay)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->type = DELIVERY_REPLY;
  delivery->vm = vm;
  delivery->generation = generation;
  delivery->reply = (DpAgentReply){ .call = call, .result = result };
  if (object != NULL)
    {
      gboolean stale = bench->faults.stale && object->old_value != NULL;
      delivery->reply.version = stale ? object->old_version : object->version;
      delivery->reply.value = g_bytes_ref (stale ? object->old_value : object->value);
      bench->platform_bytes += g_bytes_get_size (delivery->reply.value);
    }
  schedule (bench, delivery, delay);
}

static gboolean
platform_reachable (const Bench *bench, guint vm)
{
  return !bench->faults.down
         && !bench->faults.platform_unreachable[vm % bench->data_centre_count];
}

static guint64
try_write (Bench *bench, const char *path, guint64 expected, GBytes *value)
{
  const BenchObject *object = find_object (bench, path);
  guint64 version = object != NULL ? object->version : 0;
  return version == expected ? put_object (bench, path, value) : 0;
}

static void
platform_write (Bench *bench, guint vm, const DpAgentPlatformCall *call)
{
  guint generation = bench->vms[vm].generation;
  gboolean is_accepted = strcmp (call->path, "manifest/accepted") == 0;
  bench->platform_bytes += g_bytes_get_size (call->value);
  if (is_accepted && bench->faults.late_writes > 0)
    {
      bench->faults.late_writes--;
      Delivery *delivery = g_new0 (Delivery, 1);
      delivery->type = DELIVERY_LATE_WRITE;
      delivery->path = g_strdup (call->path);
      delivery->expected = call->version;
      delivery->value = g_bytes_ref (call->value);
      schedule (bench, delivery, LATE_WRITE_DELAY);
      schedule_reply (bench, vm, generation, call->call, DP_AGENT_LOST, NULL, PLATFORM_DELAY);
      return;
    }
  guint64 version = try_write (bench, call->path, call->version, call->value);
  if (is_accepted && version != 0 && bench->faults.lose_answers > 0)
    {
      bench->faults.lose_answers--;
      schedule_reply (bench, vm, generation, call->call, DP_AGENT_LOST, NULL, LOST_REPLY_DELAY);
      return;
    }
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->type = DELIVERY_REPLY;
  delivery->vm = vm;
  delivery->generation = generation;
  delivery->reply.call = call->call;
  delivery->reply.result = version != 0 ? DP_AGENT_OK : DP_AGENT_CONFLICT;
  delivery->reply.version = version;
  schedule (bench, delivery, PLATFORM_DELAY);
}

static void
platform_watch (Bench *bench, guint vm, const DpAgentPlatformCall *call)
{
  Watch *watch = g_new0 (Watch, 1);
  watch->vm = vm;
  watch->generation = bench->vms[vm].generation;
  watch->call = call->call;
  watch->path = g_strdup (call->path);
  watch->version = call->version;
  watch->expires_at = bench->now + call->watch_time;
  g_ptr_array_add (bench->watches, watch);
}

static void
platform_call (Bench *bench, guint vm, const DpAgentPlatformCall *call)
{
  bench->platform_calls++;
  guint generation = bench->vms[vm].generation;
  if (!platform_reachable (bench, vm))
    {
      schedule_reply (bench, vm, generation, call->call, DP_AGENT_UNAVAILABLE, NULL,
                      PLATFORM_DELAY);
      return;
    }
  const BenchObject *object = find_object (bench, call->path);
  switch (call->type)
    {
    case DP_AGENT_READ:
      schedule_reply (bench, vm, generation, call->call,
                      object != NULL ? DP_AGENT_OK : DP_AGENT_NOT_FOUND, object,
                      PLATFORM_DELAY);
      break;
    case DP_AGENT_WATCH:
      platform_watch (bench, vm, call);
      break;
    case DP_AGENT_WRITE:
      platform_write (bench, vm, call);
      break;
    }
}

/* Replies to the watch if it is due; returns TRUE if it did. */
static gboolean
check_watch (Bench *bench, const Watch *watch)
{
  if (!platform_reachable (bench, watch->vm))
    {
      schedule_reply (bench, watch->vm, watch->generation, watch->call, DP_AGENT_UNAVAILABLE,
                      NULL, PLATFORM_DELAY);
      return TRUE;
    }
  const BenchObject *object = find_object (bench, watch->path);
  gboolean timed_out = bench->now >= watch->expires_at;
  gboolean differs = object != NULL && object->version != watch->version;
  gboolean noticed = differs && (!bench->faults.watch_gap || watch->version == 0 || timed_out);
  if (noticed || (object != NULL && bench->faults.watch_repeat))
    schedule_reply (bench, watch->vm, watch->generation, watch->call, DP_AGENT_OK, object,
                    PLATFORM_DELAY);
  else if (timed_out)
    schedule_reply (bench, watch->vm, watch->generation, watch->call, DP_AGENT_UNCHANGED, NULL,
                    PLATFORM_DELAY);
  else
    return FALSE;
  return TRUE;
}

static void
check_watches (Bench *bench)
{
  for (guint i = bench->watches->len; i > 0; i--)
    if (check_watch (bench, g_ptr_array_index (bench->watches, i - 1)))
      g_ptr_array_remove_index_fast (bench->watches, i - 1);
}

/* --- agents --- */

static int
vm_index (const Bench *bench, DpName name)
{
  for (guint i = 0; i < bench->vm_count; i++)
    if (bench->vms[i].row.name == name)
      return (int)i;
  return -1;
}

static DpMessage
copy_message (const DpMessage *message)
{
  DpMessage copy = *message;
  if (copy.type == DP_MESSAGE_MANIFEST && copy.manifest.text != NULL)
    g_bytes_ref (copy.manifest.text);
  if ((copy.type == DP_MESSAGE_PROBE || copy.type == DP_MESSAGE_PROBE_ACK)
      && copy.probe.updates != NULL)
    g_array_ref (copy.probe.updates);
  if (copy.type == DP_MESSAGE_VIEW)
    g_array_ref (copy.view.vms);
  return copy;
}

void
bench_deliver (Bench *bench, guint to, DpPeer from, const DpMessage *message)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->type = DELIVERY_MESSAGE;
  delivery->vm = to;
  delivery->generation = bench->vms[to].generation;
  delivery->from = from;
  delivery->message = copy_message (message);
  schedule (bench, delivery, MESSAGE_DELAY);
}

/* Stores a view or manifest that the agent sent to its simulated entry. */
static void
deliver_to_entry (Bench *bench, BenchVm *vm, const DpMessage *message)
{
  if (message->type == DP_MESSAGE_VIEW)
    {
      dp_view_unref (vm->view);
      vm->view = dp_view_new (message->view.version,
                              (const DpVm *)(const void *)message->view.vms->data,
                              message->view.vms->len);
    }
  if (message->type != DP_MESSAGE_MANIFEST)
    return;
  if (message->manifest.revision < vm->revision)
    bench->regressions++;
  else
    vm->revision = message->manifest.revision;
}

static void
send_message (Bench *bench, guint from, DpPeer to, const DpMessage *message)
{
  BenchVm *sender = &bench->vms[from];
  if (to.vm == sender->row.name)
    {
      if (to.role == DP_ROLE_ENTRY)
        deliver_to_entry (bench, sender, message);
      return;
    }
  DpPeer self = { sender->row.name, DP_ROLE_AGENT };
  sender->messages_sent++;
  if (bench->message_bytes != NULL)
    sender->bytes_sent += bench->message_bytes (self, message);
  int target = vm_index (bench, to.vm);
  if (target >= 0 && !bench->link_down[from][target])
    bench_deliver (bench, (guint)target, self, message);
}

static void
execute_action (Bench *bench, guint vm, const DpAgentAction *action)
{
  switch (action->type)
    {
    case DP_AGENT_ACTION_SEND:
      send_message (bench, vm, action->to, &action->message);
      break;
    case DP_AGENT_ACTION_PLATFORM:
      platform_call (bench, vm, &action->platform);
      break;
    case DP_AGENT_ACTION_LOG:
      bench->conflicts_logged += strcmp (action->log.event, "manifest_conflict") == 0;
      bench->diagnostics_logged += strcmp (action->log.event, "manifest_has_findings") == 0;
      break;
    case DP_AGENT_ACTION_EXIT:
      bench->vms[vm].exited = TRUE;
      break;
    }
}

static void
handle_event (Bench *bench, guint vm, DpAgentEvent *event)
{
  event->now = bench->now;
  GArray *actions = dp_agent_actions_new ();
  dp_agent_handle (bench->vms[vm].core, event, actions);
  for (guint i = 0; i < actions->len; i++)
    execute_action (bench, vm, &g_array_index (actions, DpAgentAction, i));
  g_array_unref (actions);
  if (bench->vms[vm].exited)
    bench_crash (bench, vm);
}

static void
send_hello (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  DpMessage hello = { .type = DP_MESSAGE_HELLO };
  hello.hello.role = DP_ROLE_ENTRY;
  hello.hello.incarnation = vm->generation;
  hello.hello.manifest_revision = vm->revision;
  hello.hello.view_version = vm->view != NULL ? vm->view->version : 0;
  hello.hello.open_requests = vm->open_requests;
  DpAgentEvent event = { .type = DP_AGENT_EVENT_MESSAGE };
  event.from = (DpPeer){ vm->row.name, DP_ROLE_ENTRY };
  event.message = &hello;
  handle_event (bench, index, &event);
}

static void
step_vm (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  if (vm->core == NULL || vm->paused)
    return;
  if (bench->now >= vm->next_tick)
    {
      vm->next_tick = bench->now + DP_AGENT_TICK_INTERVAL;
      handle_event (bench, index, &(DpAgentEvent){ .type = DP_AGENT_EVENT_TICK });
    }
  if (vm->core != NULL && bench->now >= vm->next_hello)
    {
      vm->next_hello = bench->now + HELLO_INTERVAL;
      send_hello (bench, index);
    }
}

static void
deliver (Bench *bench, Delivery *delivery)
{
  BenchVm *vm = &bench->vms[delivery->vm];
  if (delivery->type == DELIVERY_LATE_WRITE)
    {
      try_write (bench, delivery->path, delivery->expected, delivery->value);
      delivery_free (delivery);
      return;
    }
  if (vm->generation == delivery->generation && vm->paused)
    {
      g_ptr_array_add (vm->deferred, delivery);
      return;
    }
  if (vm->generation == delivery->generation && vm->core != NULL)
    {
      DpAgentEvent event = { .type = DP_AGENT_EVENT_PLATFORM, .reply = delivery->reply };
      if (delivery->type == DELIVERY_MESSAGE)
        {
          event = (DpAgentEvent){ .type = DP_AGENT_EVENT_MESSAGE };
          event.from = delivery->from;
          event.message = &delivery->message;
        }
      handle_event (bench, delivery->vm, &event);
    }
  delivery_free (delivery);
}

static void
deliver_due (Bench *bench)
{
  gpointer step_key = GSIZE_TO_POINTER ((gsize)(bench->now / BENCH_STEP));
  GPtrArray *due = g_hash_table_lookup (bench->deliveries, step_key);
  if (due == NULL)
    return;
  g_hash_table_remove (bench->deliveries, step_key);
  for (guint i = 0; i < due->len; i++)
    deliver (bench, g_ptr_array_index (due, i));
  g_ptr_array_unref (due);
}

static void
run_step (Bench *bench)
{
  bench->now += BENCH_STEP;
  deliver_due (bench);
  check_watches (bench);
  for (guint i = 0; i < bench->vm_count; i++)
    step_vm (bench, i);
}

void
bench_run (Bench *bench, DpUsec duration)
{
  DpUsec end = bench->now + duration;
  while (bench->now < end)
    run_step (bench);
}

/* --- starts, crashes and pauses --- */

void
bench_start (Bench *bench, guint index, gboolean with_peers)
{
  BenchVm *vm = &bench->vms[index];
  DpVm peers[BENCH_VMS_MAX];
  for (guint i = 0; i < bench->vm_count; i++)
    peers[i] = bench->vms[i].row;
  vm->generation++;
  vm->exited = FALSE;
  vm->paused = FALSE;
  vm->revision = 0;
  g_clear_pointer (&vm->view, dp_view_unref);
  vm->counters = dp_counters_new ();
  DpAgentOptions options = {
    .self = vm->row,
    .start = (guint64)bench->now,
    .seed = bench->seed * 1000 + (guint64)index * 10 + vm->generation,
    .peers = peers,
    .peer_count = with_peers ? bench->vm_count : 0,
    .counters = vm->counters,
  };
  g_snprintf (options.data_centre, sizeof options.data_centre, "c%u",
              index % bench->data_centre_count);
  vm->core = dp_agent_core_new (&options);
  DpUsec phase = (index % 10) * BENCH_STEP;
  vm->next_tick = bench->now + phase;
  vm->next_hello = bench->now + phase;
}

void
bench_crash (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  vm->generation++;
  vm->paused = FALSE;
  for (guint i = 0; i < vm->deferred->len; i++)
    delivery_free (g_ptr_array_index (vm->deferred, i));
  g_ptr_array_set_size (vm->deferred, 0);
  g_clear_pointer (&vm->core, dp_agent_core_unref);
  g_clear_pointer (&vm->counters, dp_counters_unref);
}

void
bench_pause (Bench *bench, guint vm)
{
  bench->vms[vm].paused = TRUE;
}

void
bench_resume (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  vm->paused = FALSE;
  GPtrArray *deferred = vm->deferred;
  vm->deferred = g_ptr_array_new ();
  for (guint i = 0; i < deferred->len; i++)
    deliver (bench, g_ptr_array_index (deferred, i));
  g_ptr_array_unref (deferred);
}

void
bench_stop (Bench *bench, guint vm)
{
  handle_event (bench, vm, &(DpAgentEvent){ .type = DP_AGENT_EVENT_STOP });
}

void
bench_partition_data_centre (Bench *bench, guint data_centre, gboolean partitioned)
{
  for (guint i = 0; i < bench->vm_count; i++)
    for (guint j = 0; j < bench->vm_count; j++)
      if ((i % bench->data_centre_count == data_centre)
          != (j % bench->data_centre_count == data_centre))
        bench->link_down[i][j] = partitioned;
}

/* --- objects --- */

char *
bench_manifest (guint64 revision, const char *comment)
{
  return g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT ", // %s\n"
                          "\"tiers\":[{\"name\":\"t\",\"timeout_ms\":1000}],"
                          "\"data_centres\":[{\"name\":\"c0\",\"region\":\"r\"}],"
                          "\"workspaces\":[{\"name\":\"w\"}],\"keys\":[]}",
                          revision, comment);
}

void
bench_propose (Bench *bench, guint64 revision, const char *comment)
{
  char *text = bench_manifest (revision, comment);
  bench_put_object (bench, "manifest/proposed", text);
  g_free (text);
}

void
bench_put_vm_list (Bench *bench, const gboolean *absent, const gboolean *leaving)
{
  GString *text = g_string_new ("{\"vms\":[");
  const char *separator = "";
  for (guint i = 0; i < bench->vm_count; i++)
    {
      const DpVm *row = &bench->vms[i].row;
      if (absent != NULL && absent[i])
        continue;
      g_string_append_printf (
        text, "%s{\"name\":\"%s\",\"address\":\"%s\",\"data_centre\":\"c%u\",\"state\":\"%s\"}",
        separator, row->text, row->address, i % bench->data_centre_count,
        leaving != NULL && leaving[i] ? "leaving" : "live");
      separator = ",";
    }
  g_string_append (text, "]}");
  bench_put_object (bench, "vms", text->str);
  g_string_free (text, TRUE);
}

Bench *
bench_new (guint data_centres, guint vms, guint64 seed)
{
  Bench *bench = g_new0 (Bench, 1);
  bench->now = START_TIME;
  bench->seed = seed;
  bench->data_centre_count = data_centres;
  bench->vm_count = vms;
  bench->next_version = 100;
  bench->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  bench->deliveries = g_hash_table_new (NULL, NULL);
  bench->watches = g_ptr_array_new_with_free_func (watch_free);
  for (guint i = 0; i < vms; i++)
    {
      DpVm *row = &bench->vms[i].row;
      char data_centre[16];
      g_snprintf (row->text, sizeof row->text, "vm-%" G_GUINT64_FORMAT "-%u", seed, i);
      g_snprintf (row->address, sizeof row->address, "10.0.%u.%u", i / 200, 1 + i % 200);
      g_snprintf (data_centre, sizeof data_centre, "c%u", i % data_centres);
      row->name = dp_name (row->text);
      row->data_centre = dp_name (data_centre);
      bench->vms[i].deferred = g_ptr_array_new ();
    }
  bench_put_vm_list (bench, NULL, NULL);
  for (guint i = 0; i < vms; i++)
    bench_start (bench, i, FALSE);
  return bench;
}

static void
free_deliveries (gpointer key, gpointer deliveries, gpointer data)
{
  g_ptr_array_set_free_func (deliveries, delivery_free);
  g_ptr_array_unref (deliveries);
}

void
bench_free (Bench *bench)
{
  for (guint i = 0; i < bench->vm_count; i++)
    {
      if (bench->vms[i].core != NULL)
        bench_crash (bench, i);
      g_clear_pointer (&bench->vms[i].view, dp_view_unref);
      g_ptr_array_unref (bench->vms[i].deferred);
    }
  g_hash_table_foreach (bench->deliveries, free_deliveries, NULL);
  g_hash_table_unref (bench->deliveries);
  g_hash_table_unref (bench->objects);
  g_ptr_array_unref (bench->watches);
  g_free (bench);
}

/* --- results --- */

static gboolean
is_running (const BenchVm *vm)
{
  return vm->core != NULL && !vm->paused;
}

guint
bench_count_running (const Bench *bench)
{
  guint count = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    count += is_running (&bench->vms[i]);
  return count;
}

guint
bench_count_in_force (const Bench *bench, guint64 revision)
{
  guint count = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    count += is_running (&bench->vms[i]) && bench->vms[i].revision == revision;
  return count;
}

DpUsec
bench_run_until_in_force (Bench *bench, guint64 revision, DpUsec limit)
{
  DpUsec start = bench->now;
  while (bench->now - start <= limit)
    {
      if (bench_count_in_force (bench, revision) == bench_count_running (bench))
        return bench->now - start;
      run_step (bench);
    }
  return limit + 1;
}

DpVmState
bench_vm_state (const Bench *bench, guint vm, guint about)
{
  const DpView *view = bench->vms[vm].view;
  const DpVm *row = view != NULL ? dp_view_find (view, bench->vms[about].row.name) : NULL;
  return row != NULL ? row->state : DP_VM_DEAD;
}

guint64
bench_counter_sum (const Bench *bench, const char *name, const char *label, const char *value)
{
  guint64 sum = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    if (bench->vms[i].counters != NULL)
      sum += dp_counters_get (bench->vms[i].counters, name, label, value);
  return sum;
}
