/* Tests manifest changes in the system as real processes: they are applied by all VMs in time,
 * revisions never decrease, and no response is cut.
 *
 * Usage: test_system_manifest BUILD-FOLDER */
#include "tests/system.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* The design target for "in force in every data centre within seconds" is 8 s. */
#define APPLY_TIMEOUT (8 * DP_USEC_PER_SEC)
#define EVENT_TIMEOUT (30 * DP_USEC_PER_SEC)
#define AGENT_OPERATOR_PORT 7083
#define TEST_TIMEOUT_SECONDS 600
#define ALL_VMS 7

static const char *build_folder;

/* --- manifest proposals --- */

static char *
replace_all (const char *text, const char *old_part, const char *new_part)
{
  char **parts = g_strsplit (text, old_part, -1);
  char *joined = g_strjoinv (new_part, parts);
  g_strfreev (parts);
  return joined;
}

/* Returns the first manifest with this revision and, unless `old_part` is NULL, with `old_part`
 * replaced by `new_part`. */
static char *
format_manifest (const System *system,
                 guint revision,
                 const char *old_part,
                 const char *new_part)
{
  char *original;
  ck_assert (g_file_get_contents (system->manifest, &original, NULL, NULL));
  char *number = g_strdup_printf ("\"revision\": %u", revision);
  char *text = replace_all (original, "\"revision\": 1", number);
  g_free (number);
  g_free (original);
  if (old_part == NULL)
    return text;
  char *changed = replace_all (text, old_part, new_part);
  ck_assert_str_ne (changed, text);
  g_free (text);
  return changed;
}

static guint64
proposed_version (const System *system)
{
  char *list = http_exchange ("GET", system_platform_address (system), SYSTEM_TARGET_PORT,
                              "/list/manifest/proposed", NULL, NULL, NULL);
  ck_assert_ptr_nonnull (list);
  gint64 version = find_number (list, "version");
  g_free (list);
  ck_assert_int_gt (version, 0);
  return (guint64)version;
}

/* Writes the proposal if the platform still has `version`. Returns the HTTP status. */
static int
propose (const System *system, guint64 version, const char *text)
{
  int status = 0;
  char *match = g_strdup_printf ("If-Match: \"%" G_GUINT64_FORMAT "\"\r\n", version);
  char *response = http_exchange ("PUT", system_platform_address (system), SYSTEM_TARGET_PORT,
                                  "/objects/manifest/proposed", match, text, &status);
  g_free (response);
  g_free (match);
  return status;
}

static void
propose_current (const System *system, char *text)
{
  ck_assert_int_eq (propose (system, proposed_version (system), text), 200);
  g_free (text);
}

/* --- state of entries, requests and agents --- */

static void
wait_until_applied (const System *system, gint64 revision, DpUsec timeout)
{
  DpUsec end = g_get_monotonic_time () + timeout;
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      DpUsec left = MAX (end - g_get_monotonic_time (), 1);
      ck_assert_msg (wait_for_number (system_vm_address (system, vm),
                                      SYSTEM_ENTRY_OPERATOR_PORT, "/status",
                                      "manifest_revision", revision, left),
                     "VM %u did not get revision %ld in time", vm, (long)revision);
    }
}

static void
check_revision (const System *system, gint64 revision)
{
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      char *status = http_exchange ("GET", system_vm_address (system, vm),
                                    SYSTEM_ENTRY_OPERATOR_PORT, "/status", NULL, NULL, NULL);
      ck_assert_ptr_nonnull (status);
      ck_assert_int_eq (find_number (status, "manifest_revision"), revision);
      g_free (status);
    }
}

/* Sends a chat with this access key. Returns the HTTP status. */
static int
send_with_key (const System *system, guint vm, const char *key)
{
  int status = 0;
  char *headers
    = g_strdup_printf ("Authorization: Bearer %s\r\nContent-Type: application/json\r\n", key);
  char *response = http_exchange ("POST", system_vm_address (system, vm), SYSTEM_ENTRY_PORT,
                                  "/v1/chat/completions", headers,
                                  "{\"model\": \"m\", \"max_tokens\": 2, \"messages\": "
                                  "[{\"role\": \"user\", \"content\": \"which verge\"}]}",
                                  &status);
  g_free (response);
  g_free (headers);
  return status;
}

/* Waits until the counter is at least 1 at any agent. */
static void
wait_for_any_agent (const System *system, const char *counter)
{
  DpUsec end = g_get_monotonic_time () + EVENT_TIMEOUT;
  for (guint vm = 0;; vm = (vm + 1) % SYSTEM_VMS)
    {
      if (wait_for_number (system_vm_address (system, vm), AGENT_OPERATOR_PORT, "/metrics",
                           counter, 1, 100 * DP_USEC_PER_MSEC))
        return;
      ck_assert_msg (g_get_monotonic_time () < end, "no agent has counted %s", counter);
    }
}

START_TEST (a_removed_key_is_refused_everywhere_and_no_response_is_cut)
{
  static const char *const flags[]
    = { "--callers=20",        "--requests=200",      "--retries=0",
        "--tokens-min=40",     "--tokens-max=60",     "--seconds=40",
        "--stream-percent=90", "--booking-percent=0", NULL };
  System *system = system_start (build_folder);
  ck_assert_int_eq (send_with_key (system, 0, "key-office"), 200);
  Load *load = system_start_load (system, ALL_VMS, flags);
  system_wait_for_engine_stat (system, "running", 4);
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "key-office", -1);
  char *zeros = g_strnfill (strlen (hash), '0');
  propose_current (system, format_manifest (system, 2, hash, zeros));
  wait_until_applied (system, 2, APPLY_TIMEOUT);
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      ck_assert_int_eq (send_with_key (system, vm, "key-office"), 401);
      ck_assert_int_eq (send_with_key (system, vm, "key-now"), 200);
    }
  LoadSummary summary = system_finish_load (load);
  ck_assert_msg (summary.exit_code == 0 && summary.broken == 0, "%s", summary.text);
  g_free (summary.text);
  g_free (zeros);
  g_free (hash);
  system_stop (system);
}
END_TEST

/* Proposals that must not be applied. */
typedef struct InvalidProposal
{
  const char *name;
  guint revision;
  const char *old_part; /* NULL: only the revision changes */
  const char *new_part;
  const char *counter; /* metric of agents that must count the proposal */
} InvalidProposal;

static const InvalidProposal invalid_proposals[] = {
  { "an older revision", 1, NULL, NULL,
    "dogwoodplank_manifests_refused_total{reason=\"older\"}" },
  { "the same revision with another text", 2, "\"weight\": 4", "\"weight\": 5",
    "dogwoodplank_manifest_conflicts_total" },
  { "a revision with findings", 3, "\"weight\": 4", "\"weigth\": 4",
    "dogwoodplank_manifests_refused_total{reason=\"findings\"}" },
};

START_TEST (invalid_proposals_are_not_applied)
{
  const InvalidProposal *c = &invalid_proposals[_i];
  System *system = system_start (build_folder);
  propose_current (system, format_manifest (system, 2, NULL, NULL));
  wait_until_applied (system, 2, APPLY_TIMEOUT);
  propose_current (system, format_manifest (system, c->revision, c->old_part, c->new_part));
  wait_for_any_agent (system, c->counter);
  check_revision (system, 2);
  propose_current (system, format_manifest (system, 4, NULL, NULL));
  wait_until_applied (system, 4, APPLY_TIMEOUT);
  system_stop (system);
}
END_TEST

START_TEST (one_of_two_concurrent_proposals_is_accepted)
{
  System *system = system_start (build_folder);
  guint64 version = proposed_version (system);
  char *first = format_manifest (system, 2, "\"weight\": 4", "\"weight\": 5");
  char *second = format_manifest (system, 2, "\"weight\": 4", "\"weight\": 6");
  ck_assert_int_eq (propose (system, version, first), 200);
  ck_assert_int_eq (propose (system, version, second), 412);
  wait_until_applied (system, 2, APPLY_TIMEOUT);
  g_free (first);
  g_free (second);
  system_stop (system);
}
END_TEST

START_TEST (a_vm_started_without_the_platform_gets_the_manifest_from_peers)
{
  System *system = system_start (build_folder);
  propose_current (system, format_manifest (system, 2, NULL, NULL));
  wait_until_applied (system, 2, APPLY_TIMEOUT);
  system_kill (&system->entries[0]);
  system_kill (&system->schedulers[0]);
  system_kill (&system->agents[0]);
  system_set_fault (system_platform_address (system), "{\"refuse\":1}");
  system_start_agent (system, 0);
  system_start_scheduler (system, 0);
  system_start_entry (system, 0);
  wait_until_applied (system, 2, EVENT_TIMEOUT);
  ck_assert_int_eq (send_with_key (system, 0, "key-now"), 200);
  system_stop (system);
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_FAILURE;
  build_folder = argv[1];
  Suite *suite = suite_create ("system_manifest");
  TCase *tcase = tcase_create ("system_manifest");
  tcase_set_timeout (tcase, TEST_TIMEOUT_SECONDS);
  tcase_add_test (tcase, a_removed_key_is_refused_everywhere_and_no_response_is_cut);
  tcase_add_loop_test (tcase, invalid_proposals_are_not_applied, 0,
                       G_N_ELEMENTS (invalid_proposals));
  tcase_add_test (tcase, one_of_two_concurrent_proposals_is_accepted);
  tcase_add_test (tcase, a_vm_started_without_the_platform_gets_the_manifest_from_peers);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  gboolean is_success = srunner_ntests_run (runner) > 0 && srunner_ntests_failed (runner) == 0;
  srunner_free (runner);
  return is_success ? EXIT_SUCCESS : EXIT_FAILURE;
}
