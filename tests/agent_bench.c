#include "agent_bench.h"

#include <check.h>
#include <string.h>

#define MESSAGE_DELAY (2 * BENCH_STEP)
#define PLATFORM_DELAY (2 * BENCH_STEP)
#define LOST_ANSWER_DELAY DP_USEC_PER_SEC
#define LATE_EFFECT_DELAY (2 * DP_USEC_PER_SEC)
#define HELLO_INTERVAL (500 * DP_USEC_PER_MSEC)
#define START_OF_TIME DP_USEC_PER_SEC

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
  guint life;
  DpPeer from;
  DpMessage message;
  DpAgentReply reply;
  /* late write */
  char *path;
  guint64 expected;
  GBytes *value;
} Delivery;

typedef struct Watch
{
  guint vm;
  guint life;
  DpAgentCall call;
  char *path;
  guint64 version;
  DpUsec until;
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
  gpointer step = GSIZE_TO_POINTER ((gsize)((bench->now + delay) / BENCH_STEP));
  GPtrArray *row = g_hash_table_lookup (bench->deliveries, step);
  if (row == NULL)
    {
      row = g_ptr_array_new ();
      g_hash_table_insert (bench->deliveries, step, row);
    }
  g_ptr_array_add (row, delivery);
}

/* --- the platform --- */

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
bench_put (Bench *bench, const char *path, const char *text)
{
  GBytes *value = g_bytes_new (text, strlen (text));
  put_object (bench, path, value);
  g_bytes_unref (value);
}

GBytes *
bench_get (Bench *bench, const char *path)
{
  BenchObject *object = find_object (bench, path);
  return object != NULL ? object->value : NULL;
}

static void
reply (Bench *bench,
       guint vm,
       guint life,
       DpAgentCall call,
       DpAgentResult result,
       const BenchObject *object,
       DpUsec delay)
{
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->type = DELIVERY_REPLY;
  delivery->vm = vm;
  delivery->life = life;
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
  return !bench->faults.down && !bench->faults.centre_cut[vm % bench->centre_count];
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
  guint life = bench->vms[vm].life;
  gboolean is_accepted = strcmp (call->path, "manifest/accepted") == 0;
  bench->platform_bytes += g_bytes_get_size (call->value);
  if (is_accepted && bench->faults.late_effects > 0)
    {
      bench->faults.late_effects--;
      Delivery *delivery = g_new0 (Delivery, 1);
      delivery->type = DELIVERY_LATE_WRITE;
      delivery->path = g_strdup (call->path);
      delivery->expected = call->version;
      delivery->value = g_bytes_ref (call->value);
      schedule (bench, delivery, LATE_EFFECT_DELAY);
      reply (bench, vm, life, call->call, DP_AGENT_LOST, NULL, PLATFORM_DELAY);
      return;
    }
  guint64 version = try_write (bench, call->path, call->version, call->value);
  if (is_accepted && version != 0 && bench->faults.lose_answers > 0)
    {
      bench->faults.lose_answers--;
      reply (bench, vm, life, call->call, DP_AGENT_LOST, NULL, LOST_ANSWER_DELAY);
      return;
    }
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->type = DELIVERY_REPLY;
  delivery->vm = vm;
  delivery->life = life;
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
  watch->life = bench->vms[vm].life;
  watch->call = call->call;
  watch->path = g_strdup (call->path);
  watch->version = call->version;
  watch->until = bench->now + call->watch_time;
  g_ptr_array_add (bench->watches, watch);
}

static void
platform_call (Bench *bench, guint vm, const DpAgentPlatformCall *call)
{
  bench->platform_calls++;
  guint life = bench->vms[vm].life;
  if (!platform_reachable (bench, vm))
    {
      reply (bench, vm, life, call->call, DP_AGENT_UNAVAILABLE, NULL, PLATFORM_DELAY);
      return;
    }
  const BenchObject *object = find_object (bench, call->path);
  switch (call->type)
    {
    case DP_AGENT_READ:
      reply (bench, vm, life, call->call, object != NULL ? DP_AGENT_OK : DP_AGENT_NOT_FOUND,
             object, PLATFORM_DELAY);
      break;
    case DP_AGENT_WATCH:
      platform_watch (bench, vm, call);
      break;
    case DP_AGENT_WRITE:
      platform_write (bench, vm, call);
      break;
    }
}

/* TRUE if the watch has come back. */
static gboolean
check_watch (Bench *bench, const Watch *watch)
{
  if (!platform_reachable (bench, watch->vm))
    {
      reply (bench, watch->vm, watch->life, watch->call, DP_AGENT_UNAVAILABLE, NULL,
             PLATFORM_DELAY);
      return TRUE;
    }
  const BenchObject *object = find_object (bench, watch->path);
  gboolean timed_out = bench->now >= watch->until;
  gboolean differs = object != NULL && object->version != watch->version;
  gboolean noticed = differs && (!bench->faults.watch_gap || watch->version == 0 || timed_out);
  if (noticed || (object != NULL && bench->faults.watch_repeat))
    reply (bench, watch->vm, watch->life, watch->call, DP_AGENT_OK, object, PLATFORM_DELAY);
  else if (timed_out)
    reply (bench, watch->vm, watch->life, watch->call, DP_AGENT_UNCHANGED, NULL,
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
      && copy.probe.news != NULL)
    g_array_ref (copy.probe.news);
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
  delivery->life = bench->vms[to].life;
  delivery->from = from;
  delivery->message = copy_message (message);
  schedule (bench, delivery, MESSAGE_DELAY);
}

/* The entry takes what its agent tells it. */
static void
tell_entry (Bench *bench, BenchVm *vm, const DpMessage *message)
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
        tell_entry (bench, sender, message);
      return;
    }
  DpPeer self = { sender->row.name, DP_ROLE_AGENT };
  sender->messages_sent++;
  if (bench->message_bytes != NULL)
    sender->bytes_sent += bench->message_bytes (self, message);
  int target = vm_index (bench, to.vm);
  if (target >= 0 && !bench->cut[from][target])
    bench_deliver (bench, (guint)target, self, message);
}

static void
carry_out (Bench *bench, guint vm, const DpAgentAction *action)
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
      bench->findings_logged += strcmp (action->log.event, "manifest_has_findings") == 0;
      break;
    case DP_AGENT_ACTION_EXIT:
      bench->vms[vm].exited = TRUE;
      break;
    }
}

static void
handle (Bench *bench, guint vm, DpAgentEvent *event)
{
  event->now = bench->now;
  GArray *actions = dp_agent_actions_new ();
  dp_agent_handle (bench->vms[vm].board, event, actions);
  for (guint i = 0; i < actions->len; i++)
    carry_out (bench, vm, &g_array_index (actions, DpAgentAction, i));
  g_array_unref (actions);
  if (bench->vms[vm].exited)
    bench_kill (bench, vm);
}

static void
send_hello (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  DpMessage hello = { .type = DP_MESSAGE_HELLO };
  hello.hello.role = DP_ROLE_ENTRY;
  hello.hello.incarnation = vm->life;
  hello.hello.manifest_revision = vm->revision;
  hello.hello.view_version = vm->view != NULL ? vm->view->version : 0;
  hello.hello.open_requests = vm->open_requests;
  DpAgentEvent event = { .type = DP_AGENT_EVENT_MESSAGE };
  event.from = (DpPeer){ vm->row.name, DP_ROLE_ENTRY };
  event.message = &hello;
  handle (bench, index, &event);
}

static void
step_vm (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  if (vm->board == NULL || vm->frozen)
    return;
  if (bench->now >= vm->next_tick)
    {
      vm->next_tick = bench->now + DP_AGENT_TICK;
      handle (bench, index, &(DpAgentEvent){ .type = DP_AGENT_EVENT_TICK });
    }
  if (vm->board != NULL && bench->now >= vm->next_hello)
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
  if (vm->life == delivery->life && vm->frozen)
    {
      g_ptr_array_add (vm->held, delivery);
      return;
    }
  if (vm->life == delivery->life && vm->board != NULL)
    {
      DpAgentEvent event = { .type = DP_AGENT_EVENT_PLATFORM, .reply = delivery->reply };
      if (delivery->type == DELIVERY_MESSAGE)
        {
          event = (DpAgentEvent){ .type = DP_AGENT_EVENT_MESSAGE };
          event.from = delivery->from;
          event.message = &delivery->message;
        }
      handle (bench, delivery->vm, &event);
    }
  delivery_free (delivery);
}

static void
deliver_due (Bench *bench)
{
  gpointer step = GSIZE_TO_POINTER ((gsize)(bench->now / BENCH_STEP));
  GPtrArray *row = g_hash_table_lookup (bench->deliveries, step);
  if (row == NULL)
    return;
  g_hash_table_remove (bench->deliveries, step);
  for (guint i = 0; i < row->len; i++)
    deliver (bench, g_ptr_array_index (row, i));
  g_ptr_array_unref (row);
}

static void
step (Bench *bench)
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
    step (bench);
}

/* --- life and death --- */

void
bench_start (Bench *bench, guint index, gboolean with_peers)
{
  BenchVm *vm = &bench->vms[index];
  DpVm peers[BENCH_VMS_MAX];
  for (guint i = 0; i < bench->vm_count; i++)
    peers[i] = bench->vms[i].row;
  vm->life++;
  vm->exited = FALSE;
  vm->frozen = FALSE;
  vm->revision = 0;
  g_clear_pointer (&vm->view, dp_view_unref);
  vm->counters = dp_counters_new ();
  DpAgentOptions options = {
    .self = vm->row,
    .start = (guint64)bench->now,
    .seed = bench->seed * 1000 + (guint64)index * 10 + vm->life,
    .peers = peers,
    .peer_count = with_peers ? bench->vm_count : 0,
    .counters = vm->counters,
  };
  g_snprintf (options.data_centre, sizeof options.data_centre, "c%u",
              index % bench->centre_count);
  vm->board = dp_agent_board_new (&options);
  DpUsec phase = (index % 10) * BENCH_STEP;
  vm->next_tick = bench->now + phase;
  vm->next_hello = bench->now + phase;
}

void
bench_kill (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  vm->life++;
  vm->frozen = FALSE;
  for (guint i = 0; i < vm->held->len; i++)
    delivery_free (g_ptr_array_index (vm->held, i));
  g_ptr_array_set_size (vm->held, 0);
  g_clear_pointer (&vm->board, dp_agent_board_unref);
  g_clear_pointer (&vm->counters, dp_counters_unref);
}

void
bench_freeze (Bench *bench, guint vm)
{
  bench->vms[vm].frozen = TRUE;
}

void
bench_resume (Bench *bench, guint index)
{
  BenchVm *vm = &bench->vms[index];
  vm->frozen = FALSE;
  GPtrArray *held = vm->held;
  vm->held = g_ptr_array_new ();
  for (guint i = 0; i < held->len; i++)
    deliver (bench, g_ptr_array_index (held, i));
  g_ptr_array_unref (held);
}

void
bench_stop (Bench *bench, guint vm)
{
  handle (bench, vm, &(DpAgentEvent){ .type = DP_AGENT_EVENT_STOP });
}

void
bench_cut_centre (Bench *bench, guint centre, gboolean cut)
{
  for (guint i = 0; i < bench->vm_count; i++)
    for (guint j = 0; j < bench->vm_count; j++)
      if ((i % bench->centre_count == centre) != (j % bench->centre_count == centre))
        bench->cut[i][j] = cut;
}

/* --- objects --- */

char *
bench_manifest (guint64 revision, const char *mark)
{
  return g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT ", // %s\n"
                          "\"tiers\":[{\"name\":\"t\",\"timeout_ms\":1000}],"
                          "\"data_centres\":[{\"name\":\"c0\",\"region\":\"r\"}],"
                          "\"workspaces\":[{\"name\":\"w\"}],\"keys\":[]}",
                          revision, mark);
}

void
bench_propose (Bench *bench, guint64 revision, const char *mark)
{
  char *text = bench_manifest (revision, mark);
  bench_put (bench, "manifest/proposed", text);
  g_free (text);
}

void
bench_list (Bench *bench, const gboolean *absent, const gboolean *leaving)
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
        separator, row->text, row->address, i % bench->centre_count,
        leaving != NULL && leaving[i] ? "leaving" : "live");
      separator = ",";
    }
  g_string_append (text, "]}");
  bench_put (bench, "vms", text->str);
  g_string_free (text, TRUE);
}

Bench *
bench_new (guint centres, guint vms, guint64 seed)
{
  Bench *bench = g_new0 (Bench, 1);
  bench->now = START_OF_TIME;
  bench->seed = seed;
  bench->centre_count = centres;
  bench->vm_count = vms;
  bench->next_version = 100;
  bench->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  bench->deliveries = g_hash_table_new (NULL, NULL);
  bench->watches = g_ptr_array_new_with_free_func (watch_free);
  for (guint i = 0; i < vms; i++)
    {
      DpVm *row = &bench->vms[i].row;
      char centre[16];
      g_snprintf (row->text, sizeof row->text, "vm-%" G_GUINT64_FORMAT "-%u", seed, i);
      g_snprintf (row->address, sizeof row->address, "10.0.%u.%u", i / 200, 1 + i % 200);
      g_snprintf (centre, sizeof centre, "c%u", i % centres);
      row->name = dp_name (row->text);
      row->data_centre = dp_name (centre);
      bench->vms[i].held = g_ptr_array_new ();
    }
  bench_list (bench, NULL, NULL);
  for (guint i = 0; i < vms; i++)
    bench_start (bench, i, FALSE);
  return bench;
}

static void
free_delivery_row (gpointer key, gpointer row, gpointer data)
{
  g_ptr_array_set_free_func (row, delivery_free);
  g_ptr_array_unref (row);
}

void
bench_free (Bench *bench)
{
  for (guint i = 0; i < bench->vm_count; i++)
    {
      if (bench->vms[i].board != NULL)
        bench_kill (bench, i);
      g_clear_pointer (&bench->vms[i].view, dp_view_unref);
      g_ptr_array_unref (bench->vms[i].held);
    }
  g_hash_table_foreach (bench->deliveries, free_delivery_row, NULL);
  g_hash_table_unref (bench->deliveries);
  g_hash_table_unref (bench->objects);
  g_ptr_array_unref (bench->watches);
  g_free (bench);
}

/* --- what came of it --- */

static gboolean
is_running (const BenchVm *vm)
{
  return vm->board != NULL && !vm->frozen;
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
      step (bench);
    }
  return limit + 1;
}

DpVmState
bench_seen (const Bench *bench, guint vm, guint about)
{
  const DpView *view = bench->vms[vm].view;
  const DpVm *row = view != NULL ? dp_view_find (view, bench->vms[about].row.name) : NULL;
  return row != NULL ? row->state : DP_VM_DEAD;
}

guint64
bench_counter (const Bench *bench, const char *name, const char *label, const char *value)
{
  guint64 sum = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    if (bench->vms[i].counters != NULL)
      sum += dp_counters_get (bench->vms[i].counters, name, label, value);
  return sum;
}
