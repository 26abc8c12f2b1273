/* The config as rows: what is kept of it, what is read again, and at what cost. */
#include "core/row_sync/row_delta.h"
#include "platform/config_rows.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static DpRowList *
split (const char *text, const DpRowList *known)
{
  const DpJsonSpan span = { .text = text, .length = strlen (text) };
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpRowList *list = dp_config_rows_split (&span, known, diagnostics);
  dp_diagnostics_unref (diagnostics);
  return list;
}

/* Returns the manifest; `parsed`: number of rows that were parsed for it. */
static DpManifest *
read_rows (DpRowList *list, DpManifest *previous, DpRowList *previous_rows, guint *parsed)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpConfigReader *reader = dp_config_reader_new (list, previous, previous_rows);
  while (!dp_config_reader_step (reader, 7, diagnostics))
    ;
  DpManifest *manifest = dp_config_reader_finish (reader, diagnostics);
  *parsed = dp_config_reader_parsed (reader);
  dp_config_reader_free (reader);
  dp_diagnostics_unref (diagnostics);
  return manifest;
}

/* --- splitting and joining --- */

typedef struct SplitCase
{
  const char *name;
  const char *text;
  guint rows;         /* 0: it can't be read */
  const char *joined; /* NULL: not checked */
} SplitCase;

#define ROUTE(name)                                                                            \
  "{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"/" name                             \
  "/\",\"kind\":\"safe\",\"service\":\"s\"}"

static const SplitCase split_cases[] = {
  { "no rows", "{\"version\":1,\"routes\":[]}", 1,
    "{\"version\":1,\"services\":[],\"routes\":[],\"tenants\":[]}" },
  { "spaces", " { \"version\" : 1 , \"routes\" : [ " ROUTE ("a") " , " ROUTE ("b") " ] } ", 3,
    "{\"version\":1,\"services\":[],\"routes\":[" ROUTE ("a") "," ROUTE (
      "b") "],\"tenants\":[]}" },
  { "keys",
    "{\"version\":1,\"routes\":[],\"tenants\":[{\"api_keys\":[\"k\", \"l\"],\"name\":\"t\"},"
    "{\"name\":\"u\"},{\"api_keys\":[]}]}",
    6,
    "{\"version\":1,\"services\":[],\"routes\":[],\"tenants\":[{\"api_keys\":[\"k\",\"l\"],"
    "\"name\":\"t\"},{\"name\":\"u\"},{\"api_keys\":[]}]}" },
  { "the last of equal members counts",
    "{\"version\":1,\"routes\":[" ROUTE ("a") "],\"routes\":[" ROUTE (
      "b") "],\"x\":1,\"x\":[2]}",
    3,
    "{\"version\":1,\"x\":[2],\"services\":[],\"routes\":[" ROUTE ("b") "],\"tenants\":[]}" },
  { "a name with escapes", "{\"version\":1,\"r\\u006futes\":[" ROUTE ("a") "]}", 2, NULL },
  { "brackets in strings", "{\"version\":1,\"routes\":[{\"a\":\"]}\\\"\"}]}", 2, NULL },
  { "routes that are no list", "{\"version\":1,\"routes\":{}}", 0, NULL },
  { "no routes", "{\"version\":1}", 0, NULL },
  { "cut", "{\"version\":1,\"routes\":[", 0, NULL },
  { "a list", "[]", 0, NULL },
  { "text behind", "{\"version\":1,\"routes\":[]} x", 0, NULL },
  { "not JSON", "\xff", 0, NULL },
};

START_TEST (a_config_is_split_and_joined)
{
  const SplitCase *row = &split_cases[_i];
  DpRowList *list = split (row->text, NULL);
  ck_assert_msg ((list != NULL ? list->rows->len : 0) == row->rows, "%s: %u rows", row->name,
                 list != NULL ? list->rows->len : 0);
  if (list == NULL)
    return;
  GBytes *joined = dp_config_rows_join (list);
  gsize length;
  char *text = g_strndup (g_bytes_get_data (joined, &length), g_bytes_get_size (joined));
  if (row->joined != NULL)
    ck_assert_str_eq (text, row->joined);
  DpRowList *again = split (text, list);
  ck_assert_msg (again->digest == list->digest, "%s: %s", row->name, text);
  dp_row_list_unref (again);
  dp_row_list_unref (list);
  g_bytes_unref (joined);
  g_free (text);
}
END_TEST

/* --- reading --- */

typedef struct ReadCase
{
  const char *name;
  const char *text;
  gboolean is_read;
  guint routes, pools, workspaces, keys;
} ReadCase;

static const ReadCase read_cases[] = {
  { "a row that is not JSON", "{\"version\":1,\"routes\":[{\"name\":]}]}", FALSE, 0, 0, 0, 0 },
  { "two values in place of one", "{\"version\":1,\"routes\":[{} {}]}", FALSE, 0, 0, 0, 0 },
  { "rows that are null", "{\"version\":1,\"routes\":[null],\"services\":[null]}", TRUE, 0, 0,
    0, 0 },
  { "a service in a route only",
    "{\"version\":1,\"services\":[{\"name\":\"t\"}],\"routes\":[" ROUTE ("a") "," ROUTE (
      "b") "]}",
    TRUE, 2, 2, 0, 0 },
  { "keys of a workspace without a name",
    "{\"version\":1,\"routes\":[],\"tenants\":[{\"api_keys\":[\"k\"]},"
    "{\"name\":\"t\",\"api_keys\":[\"l\",5,null,\"m\"]}]}",
    TRUE, 0, 0, 1, 2 },
  { "keys under a name with escapes",
    "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"t\",\"api\\u005fkeys\":[\"l\"]}]}",
    TRUE, 0, 0, 1, 1 },
  { "workspaces that are no objects", "{\"version\":1,\"routes\":[],\"tenants\":[5,\"k\",{}]}",
    TRUE, 0, 0, 0, 0 },
};

START_TEST (rows_are_read)
{
  const ReadCase *row = &read_cases[_i];
  DpRowList *list = split (row->text, NULL);
  guint parsed;
  DpManifest *manifest = list != NULL ? read_rows (list, NULL, NULL, &parsed) : NULL;
  ck_assert_msg ((manifest != NULL) == row->is_read, "%s", row->name);
  if (manifest != NULL)
    {
      ck_assert_msg (manifest->routes->len == row->routes, "%s", row->name);
      ck_assert_msg (manifest->pools->len == row->pools, "%s", row->name);
      ck_assert_msg (manifest->workspaces->len == row->workspaces, "%s", row->name);
      ck_assert_msg (manifest->keys->len == row->keys, "%s", row->name);
    }
  dp_manifest_unref (manifest);
  dp_row_list_unref (list);
}
END_TEST

/* --- the cost of a change --- */

#define KEYS 20

/* One key of a workspace, one time-out and one route may differ. */
static char *
make_config (guint version, guint routes, const char *key, guint timeout, gboolean has_extra)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  for (guint i = 0; i < routes; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"r%u\",\"host\":\"h%u\",\"path_prefix\":\"/p%u/\","
                            "\"kind\":\"safe\",\"service\":\"s\",\"timeout_ms\":%u}",
                            i > 0 ? "," : "", i, i % 7, i, i == routes / 2 ? timeout : 1000);
  if (has_extra)
    g_string_append (text, "," ROUTE ("extra"));
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}],\"tenants\":[");
  for (guint i = 0; i < 3; i++)
    {
      g_string_append_printf (text, "%s{\"name\":\"t%u\",\"api_keys\":[\"%s%u\"",
                              i > 0 ? "," : "", i, i == 1 ? key : "key", i);
      for (guint k = 0; k < KEYS; k++)
        g_string_append_printf (text, ",\"key%u-%u\"", i, k);
      g_string_append (text, "]}");
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

typedef struct CostCase
{
  const char *name;
  guint routes;
  const char *key;
  guint timeout;
  gboolean has_extra;
  guint parsed; /* rows, the version included */
  gboolean shares_routes;
  gboolean shares_workspaces;
} CostCase;

static const CostCase cost_cases[] = {
  { "nothing, 40 routes", 40, "key", 1000, FALSE, 1, TRUE, TRUE },
  { "nothing, 4,200 routes", 4200, "key", 1000, FALSE, 1, TRUE, TRUE },
  { "a key, 40 routes", 40, "new", 1000, FALSE, 2, TRUE, FALSE },
  { "a key, 4,200 routes", 4200, "new", 1000, FALSE, 2, TRUE, FALSE },
  { "a time-out, 40 routes", 40, "key", 2000, FALSE, 2, FALSE, TRUE },
  { "a time-out, 4,200 routes", 4200, "key", 2000, FALSE, 2, FALSE, TRUE },
  { "a route more, 4,200 routes", 4200, "key", 1000, TRUE, 2, FALSE, TRUE },
};

/* Bytes of the steps for a change, whatever the size of the config. */
#define CHANGE_BYTES_MAX 400

START_TEST (a_change_costs_its_own_size)
{
  const CostCase *row = &cost_cases[_i];
  char *before = make_config (1, row->routes, "key", 1000, FALSE);
  char *after = make_config (2, row->routes, row->key, row->timeout, row->has_extra);
  DpRowList *old = split (before, NULL);
  DpRowList *list = split (after, old);
  guint parsed;
  DpManifest *previous = read_rows (old, NULL, NULL, &parsed);
  ck_assert_uint_eq (parsed, old->rows->len);
  DpManifest *manifest = read_rows (list, previous, old, &parsed);
  ck_assert_msg (parsed == row->parsed, "%s: %u rows parsed", row->name, parsed);
  ck_assert_msg ((manifest->routes == previous->routes) == row->shares_routes, "%s", row->name);
  ck_assert_msg ((manifest->keys == previous->keys) == row->shares_workspaces, "%s", row->name);
  DpRowDelta *delta = dp_row_delta_new (old, list);
  GBytes *steps = dp_row_delta_encode (delta, 0, 16384);
  ck_assert_msg (g_bytes_get_size (steps) <= CHANGE_BYTES_MAX, "%s: %u bytes", row->name,
                 (guint)g_bytes_get_size (steps));
  GPtrArray *rows = dp_row_array_new (0);
  ck_assert (dp_row_delta_decode (old, steps, rows, NULL));
  DpRowList *received = dp_row_list_new (rows);
  ck_assert_msg (received->digest == list->digest, "%s", row->name);
  dp_row_list_unref (received);
  dp_row_delta_free (delta);
  g_bytes_unref (steps);
  dp_manifest_unref (manifest);
  dp_manifest_unref (previous);
  dp_row_list_unref (old);
  dp_row_list_unref (list);
  g_free (before);
  g_free (after);
}
END_TEST

/* A key that was removed must not be found in what the new manifest shares with the old one. */
START_TEST (a_shared_manifest_is_that_of_its_text)
{
  char *before = make_config (1, 40, "key", 1000, FALSE);
  char *after = make_config (2, 40, "new", 1000, FALSE);
  DpRowList *old = split (before, NULL);
  DpRowList *list = split (after, old);
  guint parsed;
  DpManifest *previous = read_rows (old, NULL, NULL, &parsed);
  DpManifest *manifest = read_rows (list, previous, old, &parsed);
  dp_manifest_unref (previous);
  dp_row_list_unref (old);
  char *removed = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "key1", -1);
  char *added = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "new1", -1);
  ck_assert_int_lt (dp_manifest_find_key (manifest, removed), 0);
  int key = dp_manifest_find_key (manifest, added);
  ck_assert_int_ge (key, 0);
  guint workspace = DP_MANIFEST_ROW (manifest, keys, DpAccessKey, (guint)key)->workspace;
  ck_assert_str_eq (DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, workspace)->text, "t1");
  ck_assert_str_eq (dp_manifest_find_route (manifest, "h3", "/p3/x")->text, "r3");
  ck_assert_uint_eq (manifest->revision, 2);
  dp_manifest_unref (manifest);
  dp_row_list_unref (list);
  g_free (removed);
  g_free (added);
  g_free (before);
  g_free (after);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("config_rows");
  tcase_add_loop_test (tests, a_config_is_split_and_joined, 0, G_N_ELEMENTS (split_cases));
  tcase_add_loop_test (tests, rows_are_read, 0, G_N_ELEMENTS (read_cases));
  tcase_add_loop_test (tests, a_change_costs_its_own_size, 0, G_N_ELEMENTS (cost_cases));
  tcase_add_test (tests, a_shared_manifest_is_that_of_its_text);
  Suite *suite = suite_create ("config_rows");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
