#include "soak/soak.h"

#include <signal.h>
#include <string.h>

#define FAULTS_MIN 8
#define FAULTS_MAX 18
/* How long a fault lasts. */
#define DURATION_MIN_SECONDS 0.15
#define DURATION_MAX_SECONDS 2.5
/* Delay before the beginning or end of a fault is retried, such as while the store is
 * unavailable. */
#define RETRY_SECONDS 0.2
/* Each fault has one of so many numbers that select its variant. */
#define CHOICES 1000
/* One of so many VMs that are replaced is killed. */
#define KILLED_PART 4
#define REPLACE_SECONDS 0.3
#define HERDS_MAX 3
/* Streams last for so long that many are open when VMs are killed. */
#define HERD_FAULTS "{\"pause_after\":2,\"pause_ms\":150}"
#define GROWTHS_MAX 2
#define GROWTH_ROUTES 1400
/* Changes after a growth, and the time between two. */
#define SERIES_CHANGES 8
#define SERIES_SECONDS 0.15
/* One of so many VMs that are stopped or killed is replaced by a VM of another name. */
#define RENAMED_PART 3
/* One of so many herds leaves no VM. */
#define WHOLE_HERD_PART 2
/* One of so many restores of the store comes with the loss of all VMs. */
#define RESTORE_WITH_HERD_PART 3

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
  FAULT_STORE_RESTORE, /* at its end, from a copy made at its beginning */
  FAULT_CONFIG,
  FAULT_KINDS,
  FAULT_VM_REPLACE = FAULT_KINDS, /* not drawn with the others */
  FAULT_VM_HERD,                  /* nor this */
  FAULT_CONFIG_GROWS,             /* nor this */
} FaultKind;

static const char *const kind_names[] = {
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
  [FAULT_STORE_RESTORE] = "store_restore",
  [FAULT_CONFIG] = "config",
  [FAULT_VM_REPLACE] = "vm_replace",
  [FAULT_VM_HERD] = "vm_herd",
  [FAULT_CONFIG_GROWS] = "config_grows",
};

static const char crash_fault[] = "{\"crash_part\":\"" SOAK_CRASHING_PART "\"}";

static const char *const target_faults[] = {
  "{\"cut_before\":1}", "{\"cut_after\":2}", "{\"decline\":1}",      "{\"other\":1}",
  "{\"status\":500}",   "{\"wrong_id\":1}",  "{\"no_signature\":1}", "{\"second\":1}",
  "{\"unframed\":1}",   "{\"wait_ms\":400}", "{\"promise_503\":1}",  "{\"silent\":1}",
  crash_fault,
};

static const char *const store_faults[] = {
  "{\"unavailable\":1}", "{\"silent\":1}", "{\"history_gone\":1}",
  "{\"broken\":1}",      "{\"page\":1}",
};

typedef struct Fault
{
  SoakCluster *cluster;
  FaultKind kind;
  guint index;     /* of the VM or target */
  guint choice;    /* selects the variant of the fault */
  double duration; /* seconds */
  struct event *event;
  gboolean is_active;
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
  fault->cluster->pending_faults--;
  event_free (fault->event);
  g_free (fault);
}

static int
signal_of (const Fault *fault)
{
  static const int signals[] = { [FAULT_VM_KILL] = SIGKILL,
                                 [FAULT_VM_PAUSE] = SIGSTOP,
                                 [FAULT_VM_STOP] = SIGTERM,
                                 [FAULT_VM_RELOAD] = SIGHUP };
  if (fault->kind == FAULT_VM_REPLACE)
    return fault->choice % KILLED_PART == 0 ? SIGKILL : SIGTERM;
  return signals[fault->kind];
}

/* FALSE if the VM's program has not begun, to be retried. */
static gboolean
begin_vm_fault (Fault *fault, SoakVm *vm)
{
  SoakCluster *cluster = fault->cluster;
  int number = signal_of (fault);
  gboolean is_handled = number == SIGTERM || number == SIGHUP;
  if (is_handled && vm->process != NULL && process_is_running (vm->process)
      && !process_handles_signal (vm->process, number))
    return FALSE;
  if (fault->kind == FAULT_VM_REPLACE)
    vm->build = vm->build == cluster->build ? cluster->older_build : cluster->build;
  soak_vm_signal (cluster, vm, number);
  return TRUE;
}

/* FALSE if the VM is still stopping, to be retried. */
static gboolean
end_vm_fault (Fault *fault, SoakVm *vm)
{
  SoakCluster *cluster = fault->cluster;
  if (fault->kind == FAULT_VM_PAUSE)
    soak_vm_signal (cluster, vm, SIGCONT);
  if ((fault->kind == FAULT_VM_STOP || fault->kind == FAULT_VM_REPLACE) && vm->process != NULL
      && vm->is_stopping)
    {
      if (process_is_running (vm->process))
        return FALSE;
      g_clear_pointer (&vm->process, process_free);
    }
  if (vm->process != NULL)
    return TRUE;
  if (fault->choice % RENAMED_PART == 0)
    soak_vm_rename (cluster, vm);
  soak_vm_start (cluster, vm);
  return TRUE;
}

static void
begin_target_fault (Fault *fault, SoakTarget *target)
{
  SoakCluster *cluster = fault->cluster;
  switch (fault->kind)
    {
    case FAULT_TARGET_KILL:
      soak_target_kill (cluster, target);
      break;
    case FAULT_TARGET_PAUSE:
      soak_target_record_disturbance (target);
      if (target->process != NULL)
        process_signal (target->process, SIGSTOP);
      target->is_paused = target->process != NULL;
      break;
    case FAULT_TARGET_SPOILS:
      if (!target->is_paused && target->process != NULL)
        soak_target_set_faults (cluster, target,
                                target_faults[fault->choice % G_N_ELEMENTS (target_faults)]);
      break;
    case FAULT_TARGET_LINK:
      soak_target_record_disturbance (target);
      soak_proxy_set_mode (target->proxy,
                           (SoakProxyMode)(1 + fault->choice % (SOAK_PROXY_MODES - 1)));
      break;
    default:
      break;
    }
}

/* FALSE if the store did not accept the change, to be retried. */
static gboolean
end_target_fault (Fault *fault, SoakTarget *target)
{
  SoakCluster *cluster = fault->cluster;
  switch (fault->kind)
    {
    case FAULT_TARGET_KILL:
    case FAULT_TARGET_DRAIN:
      if (!cluster->store_is_available)
        return FALSE;
      if (target->process == NULL)
        soak_target_start (cluster, target);
      else
        target->started += 1;
      return soak_put_target (cluster, target, "ready");
    case FAULT_TARGET_PAUSE:
      soak_target_record_disturbance (target);
      if (target->process != NULL)
        process_signal (target->process, SIGCONT);
      target->is_paused = FALSE;
      return TRUE;
    case FAULT_TARGET_SPOILS:
      if (!target->is_paused && target->process != NULL)
        soak_target_set_faults (cluster, target, NULL);
      return TRUE;
    default:
      soak_target_record_disturbance (target);
      soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
      return TRUE;
    }
}

static void
begin_store_fault (Fault *fault)
{
  SoakCluster *cluster = fault->cluster;
  if (fault->kind == FAULT_STORE_LINK)
    {
      soak_proxy_set_mode (cluster->vms[fault->index % SOAK_VMS].store_proxy,
                           (SoakProxyMode)(1 + fault->choice % (SOAK_PROXY_MODES - 1)));
      return;
    }
  if (!cluster->store_is_available)
    return;
  if (fault->kind == FAULT_STORE_RESTORE)
    {
      soak_store_copy (cluster);
      return;
    }
  cluster->store_is_available = FALSE;
  if (fault->kind == FAULT_STORE_PAUSE)
    process_signal (cluster->store, SIGSTOP);
  else
    soak_store_set_faults (cluster, store_faults[fault->choice % G_N_ELEMENTS (store_faults)]);
}

static void
kill_herd (Fault *fault, gboolean is_whole)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    if (is_whole || i != fault->index % SOAK_VMS)
      soak_vm_signal (fault->cluster, &fault->cluster->vms[i], SIGKILL);
}

static void
start_killed (SoakCluster *cluster)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    if (cluster->vms[i].process == NULL)
      soak_vm_start (cluster, &cluster->vms[i]);
}

/* FALSE if the store did not accept the change, to be retried. */
static gboolean
end_store_fault (Fault *fault)
{
  SoakCluster *cluster = fault->cluster;
  if (fault->kind == FAULT_STORE_RESTORE)
    {
      if (!cluster->store_is_available)
        return FALSE;
      /* As after a power failure that hits the VMs and the store. */
      if (fault->choice % RESTORE_WITH_HERD_PART == 0)
        kill_herd (fault, TRUE);
      gboolean is_restored = soak_store_restore (cluster);
      start_killed (cluster);
      return is_restored;
    }
  if (fault->kind == FAULT_STORE_LINK)
    {
      soak_proxy_set_mode (cluster->vms[fault->index % SOAK_VMS].store_proxy, SOAK_PROXY_PASS);
      return TRUE;
    }
  process_signal (cluster->store, SIGCONT);
  soak_store_set_faults (cluster, "{}");
  cluster->store_is_available = TRUE;
  return TRUE;
}

/* FALSE if the store did not accept the change, to be retried. */
static gboolean
apply_operator_change (Fault *fault)
{
  SoakCluster *cluster = fault->cluster;
  if (!cluster->store_is_available)
    return FALSE;
  if (fault->kind == FAULT_CONFIG_GROWS)
    {
      cluster->further_routes += GROWTH_ROUTES;
      gboolean is_accepted = soak_put_config (cluster);
      cluster->further_routes -= is_accepted ? 0 : GROWTH_ROUTES;
      return is_accepted;
    }
  if (fault->kind == FAULT_CONFIG)
    return soak_put_config (cluster);
  return soak_put_target (cluster, &cluster->targets[fault->index % SOAK_TARGETS], "draining");
}

typedef enum FaultComponent
{
  COMPONENT_VM,
  COMPONENT_VMS,
  COMPONENT_TARGET,
  COMPONENT_STORE,
  COMPONENT_OPERATOR,
} FaultComponent;

static FaultComponent
component_of (FaultKind kind)
{
  if (kind == FAULT_VM_HERD)
    return COMPONENT_VMS;
  if (kind == FAULT_CONFIG_GROWS)
    return COMPONENT_OPERATOR;
  if (kind <= FAULT_VM_RELOAD || kind == FAULT_VM_REPLACE)
    return COMPONENT_VM;
  if (kind <= FAULT_TARGET_LINK)
    return COMPONENT_TARGET;
  return kind >= FAULT_STORE_PAUSE && kind <= FAULT_STORE_RESTORE ? COMPONENT_STORE
                                                                  : COMPONENT_OPERATOR;
}

/* FALSE if it can't begin yet, to be retried. */
static gboolean
begin_fault (Fault *fault)
{
  SoakCluster *cluster = fault->cluster;
  switch (component_of (fault->kind))
    {
    case COMPONENT_VM:
      return begin_vm_fault (fault, &cluster->vms[fault->index % SOAK_VMS]);
    case COMPONENT_VMS:
      kill_herd (fault, fault->choice % WHOLE_HERD_PART == 0);
      return TRUE;
    case COMPONENT_TARGET:
      begin_target_fault (fault, &cluster->targets[fault->index % SOAK_TARGETS]);
      return TRUE;
    case COMPONENT_STORE:
      begin_store_fault (fault);
      return TRUE;
    case COMPONENT_OPERATOR:
      break;
    }
  return apply_operator_change (fault);
}

static gboolean
end_fault (Fault *fault)
{
  SoakCluster *cluster = fault->cluster;
  switch (component_of (fault->kind))
    {
    case COMPONENT_VM:
      return end_vm_fault (fault, &cluster->vms[fault->index % SOAK_VMS]);
    case COMPONENT_VMS:
      start_killed (cluster);
      return TRUE;
    case COMPONENT_TARGET:
      return end_target_fault (fault, &cluster->targets[fault->index % SOAK_TARGETS]);
    case COMPONENT_STORE:
      return end_store_fault (fault);
    case COMPONENT_OPERATOR:
      break;
    }
  return fault->kind == FAULT_CONFIG || fault->kind == FAULT_CONFIG_GROWS
         || end_target_fault (fault, &cluster->targets[fault->index % SOAK_TARGETS]);
}

static void
on_fault (evutil_socket_t fd, short what, void *user)
{
  Fault *fault = user;
  if (!fault->is_active)
    {
      fault->is_active = begin_fault (fault);
      if (fault->is_active)
        soak_cluster_log (fault->cluster, "%s %u choice=%u for %.2f s", kind_names[fault->kind],
                          fault->index, fault->choice, fault->duration);
      schedule (fault, fault->is_active ? fault->duration : RETRY_SECONDS);
      return;
    }
  if (!end_fault (fault))
    {
      schedule (fault, RETRY_SECONDS);
      return;
    }
  soak_cluster_log (fault->cluster, "%s %u ends", kind_names[fault->kind], fault->index);
  fault_free (fault);
}

/* Adds a fault like `options` that begins in `seconds`. */
static void
add_fault (SoakCluster *cluster, const Fault *options, double seconds)
{
  Fault *fault = g_memdup2 (options, sizeof *options);
  fault->cluster = cluster;
  fault->event = evtimer_new (cluster->base, on_fault, fault);
  cluster->pending_faults++;
  schedule (fault, seconds);
}

static guint
draw (SoakCluster *cluster, gint end)
{
  return (guint)g_rand_int_range (cluster->random, 0, end);
}

void
soak_faults_schedule (SoakCluster *cluster, double duration)
{
  guint count = (guint)g_rand_int_range (cluster->random, FAULTS_MIN, FAULTS_MAX + 1);
  for (guint i = 0; i < count; i++)
    {
      Fault fault = { .kind = (FaultKind)draw (cluster, FAULT_KINDS) };
      fault.index = draw (cluster, SOAK_VMS * SOAK_TARGETS);
      fault.choice = draw (cluster, CHOICES);
      fault.duration
        = g_rand_double_range (cluster->random, DURATION_MIN_SECONDS, DURATION_MAX_SECONDS);
      add_fault (
        cluster, &fault,
        g_rand_double_range (cluster->random, 0, MAX (duration - fault.duration, 0.1)));
    }
}

void
soak_faults_schedule_replacements (SoakCluster *cluster, double duration)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      const Fault fault = { .kind = FAULT_VM_REPLACE,
                            .index = i,
                            .choice = draw (cluster, CHOICES),
                            .duration = REPLACE_SECONDS };
      add_fault (cluster, &fault, duration * (i + 0.5) / SOAK_VMS);
    }
}

void
soak_faults_schedule_herds (SoakCluster *cluster, double duration)
{
  guint count = draw (cluster, HERDS_MAX + 1);
  for (guint i = 0; i < SOAK_TARGETS && count > 0; i++)
    soak_target_set_faults (cluster, &cluster->targets[i], HERD_FAULTS);
  for (guint i = 0; i < count; i++)
    {
      Fault fault = { .kind = FAULT_VM_HERD };
      fault.index = draw (cluster, SOAK_VMS);
      fault.choice = draw (cluster, CHOICES);
      fault.duration = g_rand_double_range (cluster->random, DURATION_MIN_SECONDS, 1);
      add_fault (cluster, &fault, g_rand_double_range (cluster->random, 1, duration));
    }
}

void
soak_faults_schedule_changes (SoakCluster *cluster, double duration)
{
  double series = SERIES_CHANGES * SERIES_SECONDS;
  guint count = draw (cluster, GROWTHS_MAX + 1);
  for (guint i = 0; i < count; i++)
    {
      Fault fault = { .kind = FAULT_CONFIG_GROWS, .duration = SERIES_SECONDS };
      double begin = g_rand_double_range (cluster->random, 0, MAX (duration - series, 0.1));
      add_fault (cluster, &fault, begin);
      fault.kind = FAULT_CONFIG;
      for (guint k = 1; k <= SERIES_CHANGES; k++)
        add_fault (cluster, &fault, begin + k * SERIES_SECONDS);
    }
}

void
soak_faults_clear (SoakCluster *cluster)
{
  process_signal (cluster->store, SIGCONT);
  soak_store_set_faults (cluster, "{}");
  cluster->store_is_available = TRUE;
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &cluster->targets[i];
      if (target->process != NULL)
        process_signal (target->process, SIGCONT);
      else
        soak_target_start (cluster, target);
      target->is_paused = FALSE;
      target->started += 1;
      soak_target_record_disturbance (target);
      soak_target_set_limit (cluster, target, NULL);
      soak_target_set_faults (cluster, target, NULL);
      soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
      if (!soak_put_target (cluster, target, "ready"))
        soak_cluster_add_violation (cluster, "the store did not accept target %s", target->id);
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &cluster->vms[i];
      soak_proxy_set_mode (vm->store_proxy, SOAK_PROXY_PASS);
      soak_vm_signal (cluster, vm, SIGCONT);
    }
}
