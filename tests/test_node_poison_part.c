/* Requests with one part in their prompts crash each target that runs them. */
#include "tests/node_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Accepted by the platform's rules from CONTACT_MS after the fifth crash on. */
#define FREE_CRASHES 5
#define CONTACT_MS G_GINT64_CONSTANT (3000)
#define LATER_ARRIVALS_MAX 3
/* From this time after the fifth crash on, other requests are served as before. */
#define SETTLED_MS (2 * CONTACT_MS)
#define SOUND_SERVED_MIN 0.5
#define STEP_USEC 40000
#define SOUND_STEPS 3
#define REQUESTS_AFTER 40

/* Sixteen parts that begin with the same digit. */
#define PARTS_8(digit, a, b, c, d, e, f, g, h)                                                 \
  digit a ":9," digit b ":9," digit c ":9," digit d ":9," digit e ":9," digit f ":9," digit g  \
          ":9," digit h ":9,"
#define PARTS_16(digit)                                                                        \
  PARTS_8 (digit, "0", "1", "2", "3", "4", "5", "6", "7")                                      \
  PARTS_8 (digit, "8", "9", "a", "b", "c", "d", "e", "f")
#define PARTS_64 PARTS_16 ("a") PARTS_16 ("b") PARTS_16 ("c") PARTS_16 ("d")

static const char *build;

typedef struct Load
{
  const char *name;
  const char *poison_parts; /* format of the parts; %u is the number of the request */
  const char *sound_parts;
  guint sound_every; /* steps between sound requests */
} Load;

static const Load loads[] = {
  { "second of three parts", "5c1e07a2:60,bad0bad0:50,%x:10", "5c1e07a2:60,91bd3f06:50,%x:10",
    SOUND_STEPS },
  { "first part", "bad0bad0:60,91bd3f06:50,%x:10", "5c1e07a2:60,91bd3f06:50,%x:10",
    SOUND_STEPS },
  { "the other parts are in few sound requests", "5c1e07a2:60,91bd3f06:50,bad0bad0:5,%x:10",
    "5c1e07a2:60,91bd3f06:50,%x:10", 8 * SOUND_STEPS },
  { "seventeenth of eighteen parts", PARTS_16 ("a") "bad0bad0:5,%x:10",
    PARTS_16 ("a") "91bd3f06:5,%x:10", SOUND_STEPS },
  { "sixty-fifth of 82 parts", PARTS_64 "bad0bad0:5," PARTS_16 ("e") "%x:10",
    PARTS_64 "91bd3f06:5," PARTS_16 ("e") "%x:10", SOUND_STEPS },
};

static int
post_draft (
  const Cluster *cluster, guint vm, const char *prefix, guint number, const char *parts)
{
  char *text = g_strdup_printf (parts, number);
  char *headers = g_strdup_printf (HOST KEY TOKENS "Request-Id: %s%u\r\nDeadline-Ms: 1500\r\n"
                                                   "Prefix-Hash: %s\r\n",
                                   prefix, number, text);
  char *path = g_strdup_printf ("/draft/%s%u", prefix, number);
  int status = 0;
  g_free (http_exchange ("POST", cluster->address[vm], cluster->caller_port[vm], path, headers,
                         NULL, &status));
  g_free (path);
  g_free (headers);
  g_free (text);
  return status;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 first = *(const gint64 *)a;
  gint64 second = *(const gint64 *)b;
  return (first > second) - (first < second);
}

/* Times in milliseconds at which requests with that prefix reached targets. */
static GArray *
read_arrivals_of (const Cluster *cluster, const char *prefix)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (guint i = 0; i < TARGETS; i++)
    {
      char *text = http_exchange ("GET", cluster->address[0], cluster->target_control[i],
                                  "/arrivals", NULL, NULL, NULL);
      for (char *at = text; *at != '\0'; at = strchr (at, '\n') + 1)
        {
          gint64 time = g_ascii_strtoll (at, NULL, 10);
          if (g_str_has_prefix (strchr (at, ' ') + 1, prefix))
            g_array_append_val (times, time);
        }
      g_free (text);
    }
  g_array_sort (times, compare_times);
  return times;
}

static guint
count_from (const GArray *times, gint64 start)
{
  guint count = 0;
  for (guint i = 0; i < times->len; i++)
    count += g_array_index (times, gint64, i) > start;
  return count;
}

START_TEST (targets_are_not_crashed_again_and_again_by_one_part_of_prompts)
{
  const Load *load = &loads[_i];
  Cluster *cluster = cluster_start (build);
  for (guint i = 0; i < 3 * VMS; i++)
    ck_assert_int_eq (post_draft (cluster, i % VMS, "warm", i, load->sound_parts), 200);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], "{\"crash_part\":\"bad0bad0\"}");
  gint64 start = g_get_monotonic_time () / 1000;
  guint sound = 0;
  guint served = 0;
  /* Five crashes need at most CONTACT_MS; a target's crashes within 2 s may count once. */
  for (guint i = 0; g_get_monotonic_time () / 1000 < start + 3 * CONTACT_MS + SETTLED_MS; i++)
    {
      post_draft (cluster, i % VMS, "poison", i, load->poison_parts);
      if (i % load->sound_every == 0)
        {
          gboolean is_settled = g_get_monotonic_time () / 1000 > start + 2 * SETTLED_MS;
          int status = post_draft (cluster, (i / load->sound_every) % VMS, "sound", i,
                                   load->sound_parts);
          sound += is_settled;
          served += is_settled && status == 200;
        }
      g_usleep (STEP_USEC);
    }
  GArray *poison = read_arrivals_of (cluster, "poison");
  if (poison->len > FREE_CRASHES)
    {
      gint64 fifth = g_array_index (poison, gint64, FREE_CRASHES - 1);
      guint later = count_from (poison, fifth + CONTACT_MS);
      ck_assert_msg (later <= LATER_ARRIVALS_MAX, "%s: %u requests reached targets later",
                     load->name, later);
    }
  ck_assert_uint_gt (sound, 0);
  ck_assert_msg (served >= SOUND_SERVED_MIN * sound, "%s: %u of %u sound requests were served",
                 load->name, served, sound);
  g_array_unref (poison);
  cluster_free (cluster);
}
END_TEST

typedef struct RestartCase
{
  const char *name;
  guint killed; /* number of VMs */
} RestartCase;

static const RestartCase restart_cases[] = {
  { "one VM", 1 },
  { "all VMs", VMS },
};

START_TEST (a_restarted_vm_sends_no_part_that_crashes_targets)
{
  const RestartCase *row = &restart_cases[_i];
  const char *parts = loads[0].poison_parts;
  Cluster *cluster = cluster_start (build);
  wait_for_metric (cluster, "dogwoodplank_vms", VMS);
  for (guint i = 0; i < VMS; i++)
    ck_assert_int_eq (post_draft (cluster, i, "warm", i, loads[0].sound_parts), 200);
  for (guint i = 0; i < TARGETS; i++)
    set_fault (cluster, cluster->target_control[i], "{\"crash_part\":\"bad0bad0\"}");
  gint64 end = g_get_monotonic_time () + WAIT;
  guint number = 0;
  int status = 0;
  while (status != 503 && g_get_monotonic_time () < end)
    {
      status = post_draft (cluster, number % VMS, "poison", number, parts);
      number++;
      g_usleep (STEP_USEC);
    }
  ck_assert_int_eq (status, 503);
  wait_for_metric (cluster, "dogwoodplank_quarantined", 1);
  gint64 crashes = sum_target_counter (cluster, "crashes");
  kill_nodes (cluster, row->killed);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
  wait_for_metric (cluster, "dogwoodplank_quarantined", 1);
  for (guint i = 0; i < REQUESTS_AFTER; i++)
    ck_assert_msg (post_draft (cluster, i % VMS, "again", i, parts) == 503, "%s", row->name);
  ck_assert_int_eq (sum_target_counter (cluster, "crashes"), crashes);
  cluster_free (cluster);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test_node_poison_part BUILD_FOLDER\n");
      return EXIT_FAILURE;
    }
  build = argv[1];
  TCase *tests = tcase_create ("poison part");
  tcase_add_loop_test (tests, targets_are_not_crashed_again_and_again_by_one_part_of_prompts, 0,
                       G_N_ELEMENTS (loads));
  tcase_add_loop_test (tests, a_restarted_vm_sends_no_part_that_crashes_targets, 0,
                       G_N_ELEMENTS (restart_cases));
  Suite *suite = suite_create ("node_poison_part");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
