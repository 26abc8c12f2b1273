/* Parsing of load reports, and settings from files and flags. */
#include "manifest/settings.h"
#include "scheduler/load_poll.h"

#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct ReportCase
{
  const char *text;
  gboolean ok;
  guint running;
  guint events;
  guint64 last_block;
} ReportCase;

static const ReportCase report_cases[] = {
  { "{\"boot\":1,\"running\":2,\"waiting\":3,\"kv_tokens_used\":4,\"cache_first\":5,"
    "\"cache_events\":[[\"stored\",7],[\"removed\",18446744073709551615]]}",
    TRUE, 2, 2, G_MAXUINT64 },
  { "{}", TRUE, 0, 0, 0 },
  { "{\"cache_events\":[[\"stored\",\"18446744073709551615\"]]}", TRUE, 0, 1, G_MAXUINT64 },
  { "{\"newer\":{\"a\":[1]},\"running\":1}", TRUE, 1, 0, 0 },
  { "", FALSE, 0, 0, 0 },
  { "[]", FALSE, 0, 0, 0 },
  { "{\"running\":-1}", TRUE, 0, 0, 0 },
  { "{\"running\":4294967296}", FALSE, 0, 0, 0 },
  { "{\"running\":\"2\"}", FALSE, 0, 0, 0 },
  { "{\"cache_events\":7}", FALSE, 0, 0, 0 },
  { "{\"cache_events\":[[\"kept\",7]]}", FALSE, 0, 0, 0 },
  { "{\"cache_events\":[[\"stored\"]]}", FALSE, 0, 0, 0 },
  { "{\"cache_events\":[[\"stored\",{}]]}", FALSE, 0, 0, 0 },
  { "{\"running\":1", FALSE, 0, 0, 0 },
};

START_TEST (load_reports_are_parsed_or_rejected)
{
  const ReportCase *c = &report_cases[_i];
  DpLoadReport report = { .target = 9 };
  GArray *events = g_array_new (FALSE, FALSE, sizeof (DpCacheEvent));
  ck_assert_int_eq (dp_load_parse (c->text, strlen (c->text), &report, events), c->ok);
  if (c->ok)
    {
      ck_assert (report.reachable);
      ck_assert_uint_eq (report.running, c->running);
      ck_assert_uint_eq (report.cache_event_count, c->events);
      if (c->events > 0)
        ck_assert_uint_eq (report.cache_events[c->events - 1].block, c->last_block);
    }
  g_array_unref (events);
}
END_TEST

/* --- settings --- */

typedef struct Sample
{
  char *name;
  guint count;
  guint16 port;
  GPtrArray *rows;
} Sample;

static const DpSetting sample_settings[] = {
  { .name = "name",
    .type = DP_SETTING_STRING,
    .offset = G_STRUCT_OFFSET (Sample, name),
    .argument = "NAME",
    .help = "",
    .required = TRUE },
  { .name = "the_count",
    .type = DP_SETTING_NUMBER,
    .offset = G_STRUCT_OFFSET (Sample, count),
    .argument = "N",
    .help = "",
    .minimum = 1,
    .maximum = 10,
    .default_number = 5 },
  { .name = "port",
    .type = DP_SETTING_PORT,
    .offset = G_STRUCT_OFFSET (Sample, port),
    .argument = "PORT",
    .help = "",
    .minimum = 1,
    .maximum = 65535,
    .default_number = 80 },
  { .name = "row",
    .type = DP_SETTING_STRING_LIST,
    .offset = G_STRUCT_OFFSET (Sample, rows),
    .argument = "TEXT",
    .help = "" },
};

#define ARGUMENTS_MAX 6

typedef struct SettingsCase
{
  const char *file; /* NULL: none */
  const char *arguments[ARGUMENTS_MAX];
  guint diagnostics;
  const char *name;
  guint count;
  guint port;
  guint rows;
} SettingsCase;

static const SettingsCase settings_cases[] = {
  { NULL, { "--name", "a" }, 0, "a", 5, 80, 0 },
  { "{ /* c */ \"name\": \"f\", \"the_count\": 7 } // end\n", { NULL }, 0, "f", 7, 80, 0 },
  { "{\"name\":\"f\",\"the_count\":7}", { "--the-count=9" }, 0, "f", 9, 80, 0 },
  { NULL, { "--name=a", "--row=x", "--row=y", "--port", "81" }, 0, "a", 5, 81, 2 },
  { "{\"name\":\"a//b/*c\"}", { NULL }, 0, "a//b/*c", 5, 80, 0 },
  { NULL, { NULL }, 1, NULL, 0, 0, 0 },
  { NULL, { "--name=a", "--the-count=11", "--port=x" }, 2, NULL, 0, 0, 0 },
  { NULL, { "--name=a", "--the-count=-1" }, 1, NULL, 0, 0, 0 },
  { "{\"name\":7,\"the_count\":\"x\",\"other\":1,\"port\":0}", { NULL }, 5, NULL, 0, 0, 0 },
  { "{\"name\":\"f\",\"row\":\"x\"}", { NULL }, 1, NULL, 0, 0, 0 },
  { "{\"name\":\"f\"", { NULL }, 2, NULL, 0, 0, 0 },
};

static char *
write_file (const char *text)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  ck_assert_int_ge (fd, 0);
  g_close (fd, NULL);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return path;
}

START_TEST (settings_are_loaded_and_validated)
{
  const SettingsCase *c = &settings_cases[_i];
  char *path = c->file != NULL ? write_file (c->file) : NULL;
  char *argv[ARGUMENTS_MAX + 4] = { (char *)"test" };
  int argc = 1;
  if (path != NULL)
    {
      argv[argc++] = (char *)"--settings";
      argv[argc++] = path;
    }
  for (guint i = 0; i < ARGUMENTS_MAX && c->arguments[i] != NULL; i++)
    argv[argc++] = (char *)c->arguments[i];
  const DpSettingsOptions options = { .program = "test",
                                      .doc = "",
                                      .settings = sample_settings,
                                      .setting_count = G_N_ELEMENTS (sample_settings),
                                      .argc = argc,
                                      .argv = argv };
  Sample sample = { 0 };
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  gboolean ok = dp_settings_load (&options, &sample, diagnostics);
  char *text = dp_diagnostics_format (diagnostics);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == c->diagnostics, "%s", text);
  ck_assert_int_eq (ok, c->diagnostics == 0);
  if (ok)
    {
      ck_assert_str_eq (sample.name, c->name);
      ck_assert_uint_eq (sample.count, c->count);
      ck_assert_uint_eq (sample.port, c->port);
      ck_assert_uint_eq (sample.rows->len, c->rows);
    }
  g_free (text);
  dp_diagnostics_unref (diagnostics);
  dp_settings_clear (sample_settings, G_N_ELEMENTS (sample_settings), &sample);
  if (path != NULL)
    g_unlink (path);
  g_free (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_shell");
  TCase *tcase = tcase_create ("texts");
  tcase_add_loop_test (tcase, load_reports_are_parsed_or_rejected, 0,
                       G_N_ELEMENTS (report_cases));
  tcase_add_loop_test (tcase, settings_are_loaded_and_validated, 0,
                       G_N_ELEMENTS (settings_cases));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
