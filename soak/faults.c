#include "soak/soak.h"

#include <signal.h>
#include <string.h>

#define FAULTS_MIN 8
#define FAULTS_MAX 18
/* How long a fault holds. */
#define SPAN_MIN 0.15
#define SPAN_MAX 2.5
/* The operator tries again when the store does not answer. */
#define OPERATOR_RETRY 0.2

typedef enum FaultKind
{
  FAULT_VM_KILL,
  FAULT_VM_PAUSE,
  FAULT_VM_STOP,
  FAULT_VM_RELOAD,
  FAULT_TARGET_KILL,
  FAULT_TARGET_PAUSE,
  FAULT_TARGET_SPOILS,
  FAULT_TARGET_LINK,
  FAULT_TARGET_DRAIN,
  FAULT_STORE_PAUSE,
  FAULT_STORE_SPOILS,
  FAULT_STORE_LINK,
  FAULT_CONFIG,
  FAULT_KINDS,
} FaultKind;

static const char *const kind_names[FAULT_KINDS] = {
  [FAULT_VM_KILL] = "vm_kill",
  [FAULT_VM_PAUSE] = "vm_pause",
  [FAULT_VM_STOP] = "vm_stop",
  [FAULT_VM_RELOAD] = "vm_reload",
  [FAULT_TARGET_KILL] = "target_kill",
  [FAULT_TARGET_PAUSE] = "target_pause",
  [FAULT_TARGET_SPOILS] = "target_spoils",
  [FAULT_TARGET_LINK] = "target_link",
  [FAULT_TARGET_DRAIN] = "target_drain",
  [FAULT_STORE_PAUSE] = "store_pause",
  [FAULT_STORE_SPOILS] = "store_spoils",
  [FAULT_STORE_LINK] = "store_link",
  [FAULT_CONFIG] = "config",
};

static const char *const target_faults[] = {
  "{\"cut_before\":1}", "{\"cut_after\":2}", "{\"decline\":1}",      "{\"other\":1}",
  "{\"status\":500}",   "{\"wrong_id\":1}",  "{\"no_signature\":1}", "{\"second\":1}",
  "{\"unframed\":1}",   "{\"wait_ms\":400}", "{\"promise_503\":1}",  "{\"silent\":1}",
};

static const char *const store_faults[] = {
  "{\"unavailable\":1}", "{\"silent\":1}", "{\"history_gone\":1}",
  "{\"broken\":1}",      "{\"page\":1}",
};

typedef struct Fault
{
  SoakWorld *world;
  FaultKind kind;
  guint index;  /* of the VM or target */
  guint choice; /* of what may go wrong */
  double span;
  struct event *event;
  gboolean has_begun;
} Fault;

static void
schedule (Fault *fault, double seconds)
{
  const struct timeval delay
    = { .tv_sec = (time_t)seconds,
        .tv_usec = (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6) };
  event_add (fault->event, &delay);
}

static void
fault_free (Fault *fault)
{
  fault->world->faults_open--;
  event_free (fault->event);
  g_free (fault);
}

static void
begin_vm (Fault *fault, SoakVm *vm)
{
  static const int signals[] = { [FAULT_VM_KILL] = SIGKILL,
                                 [FAULT_VM_PAUSE] = SIGSTOP,
                                 [FAULT_VM_STOP] = SIGTERM,
                                 [FAULT_VM_RELOAD] = SIGHUP };
  soak_vm_signal (fault->world, vm, signals[fault->kind]);
}

/* FALSE: to be looked at again later. */
static gboolean
end_vm (Fault *fault, SoakVm *vm)
{
  SoakWorld *world = fault->world;
  if (fault->kind == FAULT_VM_PAUSE)
    soak_vm_signal (world, vm, SIGCONT);
  if (fault->kind == FAULT_VM_STOP && vm->process != NULL && vm->is_stopping)
    {
      if (process_is_running (vm->process))
        return FALSE;
      g_clear_pointer (&vm->process, process_free);
    }
  if (vm->process == NULL)
    soak_vm_start (world, vm);
  return TRUE;
}

static void
begin_target (Fault *fault, SoakTarget *target)
{
  SoakWorld *world = fault->world;
  switch (fault->kind)
    {
    case FAULT_TARGET_KILL:
      soak_target_kill (world, target);
      break;
    case FAULT_TARGET_PAUSE:
      if (target->process != NULL)
        process_signal (target->process, SIGSTOP);
      target->is_paused = target->process != NULL;
      break;
    case FAULT_TARGET_SPOILS:
      if (!target->is_paused && target->process != NULL)
        soak_target_set_faults (world, target,
                                target_faults[fault->choice % G_N_ELEMENTS (target_faults)]);
      break;
    case FAULT_TARGET_LINK:
      soak_proxy_set_mode (target->proxy,
                           (SoakProxyMode)(1 + fault->choice % (SOAK_PROXY_MODES - 1)));
      break;
    default:
      break;
    }
}

/* FALSE: to be tried again. */
static gboolean
end_target (Fault *fault, SoakTarget *target)
{
  SoakWorld *world = fault->world;
  switch (fault->kind)
    {
    case FAULT_TARGET_KILL:
    case FAULT_TARGET_DRAIN:
      if (!world->store_answers)
        return FALSE;
      if (target->process == NULL)
        soak_target_start (world, target);
      else
        target->started += 1;
      return soak_put_target (world, target, "ready");
    case FAULT_TARGET_PAUSE:
      if (target->process != NULL)
        process_signal (target->process, SIGCONT);
      target->is_paused = FALSE;
      return TRUE;
    case FAULT_TARGET_SPOILS:
      if (!target->is_paused && target->process != NULL)
        soak_target_set_faults (world, target, NULL);
      return TRUE;
    default:
      soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
      return TRUE;
    }
}

static void
begin_store (Fault *fault)
{
  SoakWorld *world = fault->world;
  if (fault->kind == FAULT_STORE_LINK)
    {
      soak_proxy_set_mode (world->vms[fault->index % SOAK_VMS].store,
                           (SoakProxyMode)(1 + fault->choice % (SOAK_PROXY_MODES - 1)));
      return;
    }
  if (!world->store_answers)
    return;
  world->store_answers = FALSE;
  if (fault->kind == FAULT_STORE_PAUSE)
    process_signal (world->store, SIGSTOP);
  else
    soak_store_set_faults (world, store_faults[fault->choice % G_N_ELEMENTS (store_faults)]);
}

static void
end_store (Fault *fault)
{
  SoakWorld *world = fault->world;
  if (fault->kind == FAULT_STORE_LINK)
    {
      soak_proxy_set_mode (world->vms[fault->index % SOAK_VMS].store, SOAK_PROXY_PASS);
      return;
    }
  process_signal (world->store, SIGCONT);
  soak_store_set_faults (world, "{}");
  world->store_answers = TRUE;
}

/* FALSE: the operator tries again. */
static gboolean
change_by_operator (Fault *fault)
{
  SoakWorld *world = fault->world;
  if (!world->store_answers)
    return FALSE;
  if (fault->kind == FAULT_CONFIG)
    return soak_put_config (world);
  return soak_put_target (world, &world->targets[fault->index % SOAK_TARGETS], "draining");
}

typedef enum FaultPlace
{
  PLACE_VM,
  PLACE_TARGET,
  PLACE_STORE,
  PLACE_OPERATOR,
} FaultPlace;

static FaultPlace
place_of (FaultKind kind)
{
  if (kind <= FAULT_VM_RELOAD)
    return PLACE_VM;
  if (kind <= FAULT_TARGET_LINK)
    return PLACE_TARGET;
  return kind >= FAULT_STORE_PAUSE && kind <= FAULT_STORE_LINK ? PLACE_STORE : PLACE_OPERATOR;
}

/* FALSE: to be tried again. */
static gboolean
begin (Fault *fault)
{
  SoakWorld *world = fault->world;
  switch (place_of (fault->kind))
    {
    case PLACE_VM:
      begin_vm (fault, &world->vms[fault->index % SOAK_VMS]);
      return TRUE;
    case PLACE_TARGET:
      begin_target (fault, &world->targets[fault->index % SOAK_TARGETS]);
      return TRUE;
    case PLACE_STORE:
      begin_store (fault);
      return TRUE;
    case PLACE_OPERATOR:
      break;
    }
  return change_by_operator (fault);
}

static gboolean
end (Fault *fault)
{
  SoakWorld *world = fault->world;
  switch (place_of (fault->kind))
    {
    case PLACE_VM:
      return end_vm (fault, &world->vms[fault->index % SOAK_VMS]);
    case PLACE_TARGET:
      return end_target (fault, &world->targets[fault->index % SOAK_TARGETS]);
    case PLACE_STORE:
      end_store (fault);
      return TRUE;
    case PLACE_OPERATOR:
      break;
    }
  return fault->kind == FAULT_CONFIG
         || end_target (fault, &world->targets[fault->index % SOAK_TARGETS]);
}

static void
on_fault (evutil_socket_t fd, short what, void *user)
{
  Fault *fault = user;
  if (!fault->has_begun)
    {
      fault->has_begun = begin (fault);
      if (fault->has_begun)
        soak_world_say (fault->world, "%s %u choice=%u for %.2f s", kind_names[fault->kind],
                        fault->index, fault->choice, fault->span);
      schedule (fault, fault->has_begun ? fault->span : OPERATOR_RETRY);
      return;
    }
  if (!end (fault))
    {
      schedule (fault, OPERATOR_RETRY);
      return;
    }
  soak_world_say (fault->world, "%s %u ends", kind_names[fault->kind], fault->index);
  fault_free (fault);
}

void
soak_faults_schedule (SoakWorld *world, double span)
{
  guint count = (guint)g_rand_int_range (world->random, FAULTS_MIN, FAULTS_MAX + 1);
  for (guint i = 0; i < count; i++)
    {
      Fault *fault = g_new0 (Fault, 1);
      fault->world = world;
      world->faults_open++;
      fault->kind = (FaultKind)g_rand_int_range (world->random, 0, FAULT_KINDS);
      fault->index = (guint)g_rand_int_range (world->random, 0, SOAK_VMS * SOAK_TARGETS);
      fault->choice = (guint)g_rand_int_range (world->random, 0, 1000);
      fault->span = g_rand_double_range (world->random, SPAN_MIN, SPAN_MAX);
      fault->event = evtimer_new (world->base, on_fault, fault);
      schedule (fault, g_rand_double_range (world->random, 0, MAX (span - fault->span, 0.1)));
    }
}

void
soak_faults_lift (SoakWorld *world)
{
  process_signal (world->store, SIGCONT);
  soak_store_set_faults (world, "{}");
  world->store_answers = TRUE;
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &world->targets[i];
      if (target->process != NULL)
        process_signal (target->process, SIGCONT);
      else
        soak_target_start (world, target);
      target->is_paused = FALSE;
      target->started += 1;
      soak_target_set_faults (world, target, NULL);
      soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
      if (!soak_put_target (world, target, "ready"))
        soak_world_violation (world, "the store did not take target %s", target->id);
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &world->vms[i];
      soak_proxy_set_mode (vm->store, SOAK_PROXY_PASS);
      soak_vm_signal (world, vm, SIGCONT);
    }
}
