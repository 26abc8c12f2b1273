/* Streams go on only at targets of the software version that began them. */
#include "tests/chat_streams.h"
#include "tests/free_port.h"
#include "tests/store_rewriter.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAMS 12
#define ID_BYTES 16
/* An image with its digest, as release pipelines name versions: 83 characters. */
#define IMAGE "rota-engine@sha256:c1a5298f939e87e8f962a5edfc206918a0b1f5f0e2c7a1d3b4e5f60718293"
#define OLD_IMAGE IMAGE "a4b"
#define NEW_IMAGE IMAGE "a4c"
#define FIRST_STREAMS_MAX 200
/* 63 and 64 bytes that begin alike. */
#define TEXT_63 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"
#define TEXT_64 TEXT_63 "f"

static const char *build;

/* What happens between the beginning of the streams and their take-up. */
typedef enum Event
{
  EVENT_NONE,
  EVENT_FIRST_VM_KILLED,
  EVENT_ALL_VMS_KILLED,
  EVENT_FIRST_TARGET_GONE,
  EVENT_FIRST_TARGET_GONE_ALL_VMS_KILLED,
  EVENT_FIRST_TARGET_REBORN, /* under the same id, with the second target's version */
  EVENT_SECOND_TARGET_JOINS_FIRST_VM_KILLED,
  /* The second target's entry is lost with what the store forgets. */
  EVENT_ALL_VMS_KILLED_STORE_RESTORED,
} Event;

typedef struct TakeUpCase
{
  const char *name;
  const char *versions[TARGETS];
  Event event;
  gboolean names_first; /* take-ups name the request that began the stream */
  gboolean all_go_on;   /* those whose version serves */
} TakeUpCase;

static const TakeUpCase take_up_cases[] = {
  { "two versions", { "v1", "v2" }, EVENT_NONE, TRUE, TRUE },
  { "one version", { "v1", "v1" }, EVENT_NONE, TRUE, TRUE },
  { "one version, the beginning is not named", { "v1", "v1" }, EVENT_NONE, FALSE, TRUE },
  { "the beginning is not named", { "v1", "v2" }, EVENT_NONE, FALSE, FALSE },
  { "the VM is killed", { "v1", "v2" }, EVENT_FIRST_VM_KILLED, TRUE, TRUE },
  { "all VMs are killed", { "v1", "v2" }, EVENT_ALL_VMS_KILLED, TRUE, FALSE },
  { "one version, all VMs are killed", { "v1", "v1" }, EVENT_ALL_VMS_KILLED, TRUE, TRUE },
  { "the version leaves", { "v1", "v2" }, EVENT_FIRST_TARGET_GONE, TRUE, TRUE },
  { "the version leaves, then all VMs are killed",
    { "v1", "v2" },
    EVENT_FIRST_TARGET_GONE_ALL_VMS_KILLED,
    TRUE,
    FALSE },
  { "the target is reborn with the other version",
    { "v1", "v2" },
    EVENT_FIRST_TARGET_REBORN,
    TRUE,
    TRUE },
  { "begun before the second version joins, then the VM is killed",
    { "v1", "v2" },
    EVENT_SECOND_TARGET_JOINS_FIRST_VM_KILLED,
    TRUE,
    TRUE },
  { "all VMs are killed, the store is restored from before the second version",
    { "v1", "v2" },
    EVENT_ALL_VMS_KILLED_STORE_RESTORED,
    TRUE,
    FALSE },
  { "long names", { OLD_IMAGE, NEW_IMAGE }, EVENT_NONE, TRUE, TRUE },
  { "long names, the VM is killed",
    { OLD_IMAGE, NEW_IMAGE },
    EVENT_FIRST_VM_KILLED,
    TRUE,
    TRUE },
  { "one long name, all VMs are killed",
    { OLD_IMAGE, OLD_IMAGE },
    EVENT_ALL_VMS_KILLED,
    TRUE,
    TRUE },
  { "one name with a comma, all VMs are killed",
    { "v1,a", "v1,a" },
    EVENT_ALL_VMS_KILLED,
    TRUE,
    TRUE },
};

static Cluster *
start_cluster (const char *const versions[TARGETS])
{
  Cluster *cluster = cluster_new (build);
  chat_start_vms (cluster, versions, TARGETS);
  return cluster;
}

/* Waits until the pool's owner has stored the versions that serve. */
static void
wait_for_stored_versions (const Cluster *cluster)
{
  gboolean is_stored = FALSE;
  for (gint64 end = g_get_monotonic_time () + WAIT; !is_stored && g_get_monotonic_time () < end;
       g_usleep (20000))
    {
      char *text = http_exchange ("GET", cluster->address[0], cluster->store,
                                  "/objects/dogwoodplank-versions", NULL, NULL, NULL);
      is_stored = text != NULL && strstr (text, "\"v1\"") != NULL;
      g_free (text);
    }
  ck_assert (is_stored);
}

static void
control_store (const Cluster *cluster, const char *path)
{
  int status = 0;
  g_free (http_exchange ("POST", cluster->address[0], cluster->store_control, path, NULL, "",
                         &status));
  ck_assert_int_eq (status, 200);
}

/* What happens before the streams begin. */
static void
prepare_event (Cluster *cluster, const TakeUpCase *row)
{
  if (row->event != EVENT_ALL_VMS_KILLED_STORE_RESTORED)
    return;
  wait_for_stored_versions (cluster);
  control_store (cluster, "/copy");
  put_target_version (cluster, 1, "POST", row->versions[1]);
  wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
}

static void
play_event (Cluster *cluster, const TakeUpCase *row)
{
  Event event = row->event;
  if (event == EVENT_ALL_VMS_KILLED_STORE_RESTORED)
    {
      for (guint i = 0; i < VMS; i++)
        g_clear_pointer (&cluster->node[i], process_free);
      control_store (cluster, "/restore");
      cluster->was_started = TRUE;
      for (guint i = 0; i < VMS; i++)
        start_node (cluster, i);
    }
  if (event == EVENT_SECOND_TARGET_JOINS_FIRST_VM_KILLED)
    {
      put_target_version (cluster, 1, "POST", row->versions[1]);
      wait_for_metric (cluster, "dogwoodplank_targets", TARGETS);
      kill_nodes (cluster, 1);
    }
  if (event == EVENT_FIRST_TARGET_GONE || event == EVENT_FIRST_TARGET_GONE_ALL_VMS_KILLED)
    {
      ck_assert_int_eq (node_kit_remove_target (store_of (cluster), "t0"), 200);
      wait_for_metric (cluster, "dogwoodplank_targets", 1);
    }
  if (event == EVENT_FIRST_TARGET_REBORN)
    {
      const NodeKitTarget target = { .id = "t0",
                                     .address = cluster->address[0],
                                     .port = cluster->target[0],
                                     .data_centre = "a",
                                     .state = "ready",
                                     .started = 1700000009000,
                                     .version = "v2" };
      ck_assert_int_eq (node_kit_put_target (store_of (cluster), "PUT", &target), 200);
      g_usleep (500000);
    }
  if (event == EVENT_FIRST_VM_KILLED)
    kill_nodes (cluster, 1);
  if (event == EVENT_ALL_VMS_KILLED || event == EVENT_FIRST_TARGET_GONE_ALL_VMS_KILLED)
    kill_nodes (cluster, VMS);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
}

static const char *
version_after (const TakeUpCase *row, guint target)
{
  return row->event == EVENT_FIRST_TARGET_REBORN ? row->versions[1] : row->versions[target];
}

static gboolean
is_served (const TakeUpCase *row, guint first)
{
  switch (row->event)
    {
    case EVENT_FIRST_TARGET_GONE:
    case EVENT_FIRST_TARGET_REBORN:
      return first != 0;
    default:
      return TRUE;
    }
}

START_TEST (a_stream_goes_on_only_at_the_version_that_began_it)
{
  const TakeUpCase *row = &take_up_cases[_i];
  Cluster *cluster = cluster_new (build);
  gboolean joins_later = row->event == EVENT_SECOND_TARGET_JOINS_FIRST_VM_KILLED
                         || row->event == EVENT_ALL_VMS_KILLED_STORE_RESTORED;
  chat_start_vms (cluster, row->versions, joins_later ? 1 : TARGETS);
  prepare_event (cluster, row);
  guint runners[STREAMS];
  chat_begin_streams (cluster, 1, STREAMS, runners);
  play_event (cluster, row);
  guint joined = 0;
  for (guint i = 0; i < STREAMS; i++)
    {
      char id[ID_BYTES];
      g_snprintf (id, sizeof id, "taken%u", i);
      int status = row->names_first ? chat_take_up (cluster, VMS - 1, i, id)
                                    : chat_post (cluster, VMS - 1, id, "Last-Event-Id: 2\r\n");
      guint runner = chat_find_runner (cluster, id);
      joined += runner < TARGETS
                && g_strcmp0 (version_after (row, runner), row->versions[runners[i]]) != 0;
      if (row->all_go_on && is_served (row, runners[i]))
        ck_assert_msg (status == 200, "%s: stream %u: %d", row->name, i, status);
      else if (runner == TARGETS)
        ck_assert_msg (status == 503, "%s: stream %u: %d", row->name, i, status);
    }
  ck_assert_msg (joined == 0, "%s: %u streams were joined", row->name, joined);
  cluster_free (cluster);
}
END_TEST

/* --- a VM that is cut off while the second target joins --- */

typedef enum TakeUp
{
  TAKE_UP_ALL,        /* go on */
  TAKE_UP_OR_REFUSED, /* as not run */
  TAKE_UP_ANY,
} TakeUp;

typedef struct CutCase
{
  const char *name;
  const char *versions[TARGETS];
  gboolean from_vms;
  gboolean from_store;
  gboolean is_store_silent; /* instead of refusing connections */
  TakeUp wanted;
} CutCase;

static const CutCase cut_cases[] = {
  { "from VMs and store", { "v1", "v2" }, TRUE, TRUE, FALSE, TAKE_UP_OR_REFUSED },
  { "from VMs and a silent store", { "v1", "v2" }, TRUE, TRUE, TRUE, TAKE_UP_OR_REFUSED },
  { "from VMs", { "v1", "v2" }, TRUE, FALSE, FALSE, TAKE_UP_OR_REFUSED },
  { "from the store", { "v1", "v2" }, FALSE, TRUE, FALSE, TAKE_UP_OR_REFUSED },
  { "from VMs, one version", { "v1", "v1" }, TRUE, FALSE, FALSE, TAKE_UP_ALL },
  { "from the store, one version", { "v1", "v1" }, FALSE, TRUE, FALSE, TAKE_UP_ALL },
  { "from a silent store, one version", { "v1", "v1" }, FALSE, TRUE, TRUE, TAKE_UP_ALL },
};

#define CUT_OFF (VMS - 1)
/* Longer than the wait of a watch. */
#define WATCH_TIME (2500 * G_TIME_SPAN_MILLISECOND)
#define STANDSTILL (5 * G_TIME_SPAN_SECOND)
#define RELIST_TIME G_TIME_SPAN_SECOND

/* Takes the streams up at the second VM. Returns how many went on at another version. */
static guint
take_up (const Cluster *cluster,
         const char *const versions[TARGETS],
         const guint runners[STREAMS],
         TakeUp wanted,
         const char *name)
{
  guint joined = 0;
  for (guint i = 0; i < STREAMS; i++)
    {
      char id[ID_BYTES];
      g_snprintf (id, sizeof id, "taken%u", i);
      int status = chat_take_up (cluster, CUT_OFF, i, id);
      guint runner = chat_find_runner (cluster, id);
      joined += runner < TARGETS && g_strcmp0 (versions[runner], versions[runners[i]]) != 0;
      if (wanted == TAKE_UP_ALL)
        ck_assert_msg (status == 200, "%s: stream %u: %d", name, i, status);
      else if (wanted == TAKE_UP_OR_REFUSED && runner == TARGETS)
        ck_assert_msg (status == 503, "%s: stream %u: %d", name, i, status);
    }
  return joined;
}

START_TEST (a_cut_off_vm_joins_no_versions)
{
  const CutCase *row = &cut_cases[_i];
  Cluster *cluster = cluster_new (build);
  const StoreRewriterOptions options = { .address = cluster->address[0],
                                         .store_address = cluster->address[0],
                                         .store_port = cluster->store,
                                         .from = "-",
                                         .to = "-" };
  StoreRewriter *proxy = store_rewriter_start (&options);
  cluster->vm_store[CUT_OFF]
    = (NodeKitStore){ .address = cluster->address[0], .port = store_rewriter_port (proxy) };
  if (row->from_vms)
    cluster->vm_bus_port[CUT_OFF] = find_free_port (cluster->address[CUT_OFF]);
  chat_start_vms (cluster, row->versions, 1);
  if (row->from_store && row->is_store_silent)
    store_rewriter_stall (proxy);
  else if (row->from_store)
    g_clear_pointer (&proxy, store_rewriter_free);
  put_target_version (cluster, 1, "POST", row->versions[1]);
  wait_for_metric_at (cluster, 0, "dogwoodplank_targets", TARGETS);
  guint runners[STREAMS];
  chat_begin_streams (cluster, 1, STREAMS, runners);
  guint joined = take_up (cluster, row->versions, runners, row->wanted, row->name);
  ck_assert_msg (joined == 0, "%s: %u streams were joined", row->name, joined);
  cluster_free (cluster);
  g_clear_pointer (&proxy, store_rewriter_free);
}
END_TEST

/* --- a VM that is disturbed while the second target joins --- */

typedef enum Disturbance
{
  DISTURBANCE_NONE,
  DISTURBANCE_STANDSTILL,
  DISTURBANCE_RESTART, /* takes the streams up as soon as it accepts connections */
  DISTURBANCE_STOP,    /* receives SIGTERM just before the streams are taken up */
} Disturbance;

typedef struct DisturbedCase
{
  const char *name;
  Disturbance disturbance;
  guint standstill_ms;
  gboolean is_cut_off; /* from the other VM */
  const char *fault;   /* of the targets when the streams are taken up */
} DisturbedCase;

static const DisturbedCase disturbed_cases[] = {
  { "stands still for 1 s", DISTURBANCE_STANDSTILL, 1000, FALSE, "{}" },
  { "stands still for 2.4 s", DISTURBANCE_STANDSTILL, 2400, FALSE, "{}" },
  { "stands still for 3 s", DISTURBANCE_STANDSTILL, 3000, FALSE, "{}" },
  { "stands still for 1 s, cut off", DISTURBANCE_STANDSTILL, 1000, TRUE, "{}" },
  { "stands still for 2.4 s, cut off", DISTURBANCE_STANDSTILL, 2400, TRUE, "{}" },
  { "stands still for 3 s, cut off", DISTURBANCE_STANDSTILL, 3000, TRUE, "{}" },
  { "is started", DISTURBANCE_RESTART, 0, FALSE, "{}" },
  { "is started, cut off", DISTURBANCE_RESTART, 0, TRUE, "{}" },
  { "is stopping", DISTURBANCE_STOP, 0, FALSE, "{}" },
  { "is stopping, cut off", DISTURBANCE_STOP, 0, TRUE, "{}" },
  { "limited targets", DISTURBANCE_NONE, 0, FALSE, "{\"limit\":\"3\"}" },
  { "brittle targets", DISTURBANCE_NONE, 0, FALSE, "{\"brittle\":\"1\"}" },
};

START_TEST (a_disturbed_vm_joins_no_versions)
{
  const DisturbedCase *row = &disturbed_cases[_i];
  const char *const versions[TARGETS] = { "v1", "v2" };
  Cluster *cluster = cluster_new (build);
  if (row->is_cut_off)
    cluster->vm_bus_port[CUT_OFF] = find_free_port (cluster->address[CUT_OFF]);
  chat_start_vms (cluster, versions, 1);
  if (row->disturbance == DISTURBANCE_STANDSTILL)
    process_signal (cluster->node[CUT_OFF], SIGSTOP);
  if (row->disturbance == DISTURBANCE_RESTART)
    g_clear_pointer (&cluster->node[CUT_OFF], process_free);
  gint64 end = g_get_monotonic_time () + row->standstill_ms * G_TIME_SPAN_MILLISECOND;
  put_target_version (cluster, 1, "POST", versions[1]);
  wait_for_metric_at (cluster, 0, "dogwoodplank_targets", TARGETS);
  guint runners[STREAMS];
  chat_begin_streams (cluster, 1, STREAMS, runners);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], row->fault);
  if (end > g_get_monotonic_time ())
    g_usleep ((gulong)(end - g_get_monotonic_time ()));
  cluster->was_started = TRUE;
  if (row->disturbance == DISTURBANCE_STANDSTILL)
    process_signal (cluster->node[CUT_OFF], SIGCONT);
  if (row->disturbance == DISTURBANCE_RESTART)
    start_node (cluster, CUT_OFF);
  if (row->disturbance == DISTURBANCE_STOP)
    process_signal (cluster->node[CUT_OFF], SIGTERM);
  guint joined = take_up (cluster, versions, runners, TAKE_UP_ANY, row->name);
  ck_assert_msg (joined == 0, "%s: %u streams were joined", row->name, joined);
  cluster_free (cluster);
}
END_TEST

/* The VM reaches no other one and learns the store's content from listings only. */
START_TEST (a_vm_that_missed_a_version_joins_no_streams)
{
  const char *const versions[TARGETS] = { "v1", "v2" };
  Cluster *cluster = cluster_new (build);
  cluster->vm_bus_port[CUT_OFF] = find_free_port (cluster->address[CUT_OFF]);
  chat_start_vms (cluster, versions, 1);
  set_fault (cluster, cluster->store_control, "{\"history_gone\":1}");
  g_usleep (WATCH_TIME);
  process_signal (cluster->node[CUT_OFF], SIGSTOP);
  put_target_version (cluster, 1, "POST", versions[1]);
  wait_for_metric_at (cluster, 0, "dogwoodplank_targets", TARGETS);
  guint runners[STREAMS];
  chat_begin_streams (cluster, 1, STREAMS, runners);
  g_usleep (STANDSTILL);
  ck_assert_int_eq (node_kit_remove_target (store_of (cluster), "t1"), 200);
  wait_for_metric_at (cluster, 0, "dogwoodplank_targets", 1);
  process_signal (cluster->node[CUT_OFF], SIGCONT);
  g_usleep (RELIST_TIME);
  set_fault (cluster, cluster->store_control, "{}");
  guint joined = take_up (cluster, versions, runners, TAKE_UP_OR_REFUSED, "missed");
  ck_assert_msg (joined == 0, "%u streams were joined", joined);
  cluster_free (cluster);
}
END_TEST

/* After the loss of all VMs, the list in the store has to name all versions that may have begun
 * streams. */
START_TEST (a_version_is_stored_before_it_begins_streams)
{
  const char *const versions[TARGETS] = { "v1", "v2" };
  Cluster *cluster = cluster_new (build);
  chat_start_vms (cluster, versions, 1);
  wait_for_stored_versions (cluster);
  /* Streams that break off make the other target preferable. */
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], "{\"cut_after\":2}");
  put_target_version (cluster, 1, "POST", versions[1]);
  char *log = NULL;
  const char *sent = NULL;
  for (guint i = 0; sent == NULL && i < FIRST_STREAMS_MAX; i++)
    {
      char id[ID_BYTES];
      g_snprintf (id, sizeof id, "first%u", i);
      chat_post (cluster, i % VMS, id, "");
      g_free (log);
      ck_assert (g_file_get_contents (cluster->log, &log, NULL, NULL));
      sent = strstr (log, " target=t1 version=v2 ");
    }
  ck_assert_ptr_nonnull (sent);
  const char *stored = strstr (log, "event=versions_stored versions=v2,v1 outcome=ok");
  if (stored == NULL)
    stored = strstr (log, "event=versions_stored versions=v1,v2 outcome=ok");
  ck_assert (stored != NULL && stored < sent);
  g_free (log);
  cluster_free (cluster);
}
END_TEST

/* The lists can't be read, and hold nothing up. */
START_TEST (a_vm_that_starts_without_the_store_begins_streams)
{
  const char *const versions[TARGETS] = { "v1", "v2" };
  Cluster *cluster = cluster_new (build);
  put_config (cluster, 1, CHAT_ROUTE);
  for (guint i = 0; i < TARGETS; i++)
    put_target_version (cluster, i, "POST", versions[i]);
  start_node (cluster, 0);
  ck_assert (wait_ready (cluster, 0));
  set_fault (cluster, cluster->store_control, "{\"unavailable\":1}");
  start_node (cluster, 1);
  ck_assert (wait_ready (cluster, 1));
  int status = 0;
  /* Well below DP_VERSION_HOLD_MAX. */
  g_free (http_exchange ("POST", cluster->address[1], cluster->caller_port[1], "/chat/early",
                         HOST KEY TOKENS "Request-Id: early\r\nDeadline-Ms: 1000\r\n", NULL,
                         &status));
  ck_assert_int_eq (status, 200);
  cluster_free (cluster);
}
END_TEST

typedef struct AnswerCase
{
  const char *versions[TARGETS];
  gboolean may_move;
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { { "v1", "v2" }, FALSE },
  { { OLD_IMAGE, NEW_IMAGE }, FALSE },
  { { OLD_IMAGE, OLD_IMAGE }, TRUE },
  { { TEXT_63, TEXT_64 }, FALSE },
  /* Targets that don't state their versions may be of any. */
  { { "", "v2" }, FALSE },
  { { "", "" }, FALSE },
};

/* Within one answer: the first target breaks off after two events. */
START_TEST (an_answer_is_not_joined_from_two_versions)
{
  const AnswerCase *row = &answer_cases[_i];
  Cluster *cluster = start_cluster (row->versions);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], "{\"cut_after\":2}");
  for (guint i = 0; i < STREAMS; i++)
    {
      char *headers
        = g_strdup_printf (HOST KEY TOKENS "Request-Id: draft%u\r\nDeadline-Ms: 2500\r\n", i);
      char *path = g_strdup_printf ("/draft/%u", i);
      int status = 0;
      g_free (http_exchange ("POST", cluster->address[i % VMS], cluster->caller_port[i % VMS],
                             path, headers, NULL, &status));
      g_free (path);
      g_free (headers);
    }
  gint64 runs = sum_target_counter (cluster, "runs");
  ck_assert_msg (row->may_move ? runs > STREAMS : runs == STREAMS,
                 "versions \"%s\" and \"%s\": %d runs of %d streams", row->versions[0],
                 row->versions[1], (int)runs, STREAMS);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_versions BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("versions");
  tcase_add_loop_test (tests, a_stream_goes_on_only_at_the_version_that_began_it, 0,
                       G_N_ELEMENTS (take_up_cases));
  tcase_add_loop_test (tests, a_cut_off_vm_joins_no_versions, 0, G_N_ELEMENTS (cut_cases));
  tcase_add_loop_test (tests, a_disturbed_vm_joins_no_versions, 0,
                       G_N_ELEMENTS (disturbed_cases));
  tcase_add_test (tests, a_version_is_stored_before_it_begins_streams);
  tcase_add_test (tests, a_vm_that_starts_without_the_store_begins_streams);
  tcase_add_test (tests, a_vm_that_missed_a_version_joins_no_streams);
  tcase_add_loop_test (tests, an_answer_is_not_joined_from_two_versions, 0,
                       G_N_ELEMENTS (answer_cases));
  Suite *suite = suite_create ("node_versions");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
