/* Tests of the manifest parser: the diagnostics of invalid texts and the rows of valid ones. */
#include "manifest/json_text.h"
#include "manifest/manifest.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SHA_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* The sections of a manifest. Test cases replace some of those of a small valid manifest. */
typedef struct Sections
{
  const char *revision;
  const char *tiers;
  const char *data_centres;
  const char *workspaces;
  const char *keys;
  const char *models;
  const char *pools;
  const char *engines;
  const char *services;
  const char *more;
} Sections;

#define ENGINE_MEMBERS                                                                         \
  "\"pool\":\"p\",\"data_centre\":\"d1\",\"address\":\"10.0.0.1\",\"port\":8000,"              \
  "\"window\":4,\"prefill_tokens_per_second\":1000,\"decode_tokens_per_second\":100,"          \
  "\"stream_tokens_per_second\":20,\"kv_tokens\":5000,\"checks_fence\":true,"                  \
  "\"models\":[\"m/7b:q4\"]"

#define SERVICE_CALLS "\"calls\":[{\"method\":\"POST\",\"path\":\"/b\",\"repeatable\":false}]"
#define SERVICE_TARGETS                                                                        \
  "\"targets\":[{\"name\":\"s1\",\"data_centre\":\"d1\",\"address\":\"10.0.0.2\",\"port\":1,"  \
  "\"window\":1}]"

static const Sections defaults = {
  .revision = "3",
  .tiers = "[{\"name\":\"t1\",\"timeout_ms\":1000},{\"name\":\"t2\",\"timeout_ms\":2000}]",
  .data_centres = "[{\"name\":\"d1\",\"region\":\"r\"},{\"name\":\"d2\",\"region\":\"r\"}]",
  .workspaces = "[{\"name\":\"w1\"},{\"name\":\"w2\",\"weight\":3}]",
  .keys = "[{\"sha256\":\"" SHA_A "\",\"workspace\":\"w2\",\"tier\":\"t2\"}]",
  .models = "[{\"name\":\"m/7b:q4\"}]",
  .pools = "[{\"name\":\"p\"}]",
  .engines = "[{\"name\":\"e1\"," ENGINE_MEMBERS "}]",
  .services = "[{\"name\":\"s\"," SERVICE_CALLS "," SERVICE_TARGETS "}]",
  .more = "",
};

#define SECTION_OR_DEFAULT(member)                                                             \
  (sections->member != NULL ? sections->member : defaults.member)

/* Puts each section on a line of its own: revision on line 2, tiers on line 3, and so on. */
static char *
build_text (const Sections *sections)
{
  return g_strdup_printf ("{\n\"revision\":%s,\n\"tiers\":%s,\n\"data_centres\":%s,\n"
                          "\"workspaces\":%s,\n\"keys\":%s,\n\"models\":%s,\n\"pools\":%s,\n"
                          "\"engines\":%s,\n\"services\":%s%s\n}\n",
                          SECTION_OR_DEFAULT (revision), SECTION_OR_DEFAULT (tiers),
                          SECTION_OR_DEFAULT (data_centres), SECTION_OR_DEFAULT (workspaces),
                          SECTION_OR_DEFAULT (keys), SECTION_OR_DEFAULT (models),
                          SECTION_OR_DEFAULT (pools), SECTION_OR_DEFAULT (engines),
                          SECTION_OR_DEFAULT (services), SECTION_OR_DEFAULT (more));
}

/* Parses the text and compares all diagnostics. */
static void
check_diagnostics (const char *text, gsize length, const char *expected)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = dp_manifest_parse ("m.json", text, length, diagnostics);
  char *formatted = dp_diagnostics_format (diagnostics);
  ck_assert_str_eq (formatted, expected);
  ck_assert (manifest == NULL || expected[0] == '\0');
  ck_assert (manifest != NULL || expected[0] != '\0');
  g_free (formatted);
  dp_diagnostics_unref (diagnostics);
  dp_manifest_unref (manifest);
}

typedef struct SectionCase
{
  Sections sections;
  const char *diagnostics;
} SectionCase;

static const SectionCase section_cases[] = {
  { { 0 }, "" },
  { { .revision = "0" }, "m.json:2: revision: must be from 1 to 9007199254740992\n" },
  { { .revision = "9007199254740993" },
    "m.json:2: revision: must be from 1 to 9007199254740992\n" },
  { { .revision = "99999999999999999999999" },
    "m.json:2: revision: must be from 1 to 9007199254740992\n" },
  { { .revision = "1.0" }, "m.json:2: revision: must be an integer\n" },
  { { .revision = "\"1\"" }, "m.json:2: revision: must be an integer\n" },
  { { .revision = "null" }, "m.json:2: revision: must be an integer\n" },
  { { .revision = "-5" }, "m.json:2: revision: must be from 1 to 9007199254740992\n" },
  { { .tiers = "{}" },
    "m.json:3: tiers: must be an array\n"
    "m.json:6: keys[0].tier: refers to \"t2\", which does not exist\n" },
  { { .tiers = "[]", .keys = "[]" },
    "m.json:3: tiers: the number of elements must be from 1 to 8\n" },
  { { .tiers = "[5]", .keys = "[]" }, "m.json:3: tiers[0]: must be an object\n" },
  { { .tiers = "[{\"name\":\"a\",\n\"timeout_ms\":0},\n{\"timeout_ms\":5}]", .keys = "[]" },
    "m.json:4: tiers[0].timeout_ms: must be from 1 to 3600000\n"
    "m.json:5: tiers[1].name: is missing\n" },
  { { .tiers = "[{\"name\":\"a\",\"timeout_ms\":1},{\"name\":\"a\",\"timeout_ms\":1}]",
      .keys = "[]" },
    "m.json:3: tiers[1].name: duplicate name\n" },
  { { .workspaces = "[{\"name\":\"w2\",\"wieght\":3,\"weight\":0}]" },
    "m.json:5: workspaces[0].weight: must be from 1 to 1000\n"
    "m.json:5: workspaces[0].wieght: is not known here\n" },
  { { .workspaces = "[{\"name\":\"w 2\"},{\"name\":\"w2\",\"retry_percent\":101}]" },
    "m.json:5: workspaces[0].name: must start with a letter or digit and contain only letters, "
    "digits, '-', '_' and '.' (models: also '/' and ':')\n"
    "m.json:5: workspaces[1].retry_percent: must be from 0 to 100\n" },
  { { .keys = "[{\"sha256\":\"AAAA\",\"workspace\":\"w9\",\"tier\":\"t9\"}]" },
    "m.json:6: keys[0].sha256: the length must be from 64 to 64\n"
    "m.json:6: keys[0].workspace: refers to \"w9\", which does not exist\n"
    "m.json:6: keys[0].tier: refers to \"t9\", which does not exist\n" },
  { { .keys = "[{\"sha256\":\"" SHA_A "\",\"workspace\":\"w1\",\"tier\":\"t1\"},"
              "\n{\"sha256\":\"" SHA_A "\",\"workspace\":\"w1\",\"tier\":\"t1\"}]" },
    "m.json:7: keys[1].sha256: duplicate access key\n" },
  { { .engines
      = "[{\"name\":\"e1\"," ENGINE_MEMBERS "},{\"name\":\"e2\"," ENGINE_MEMBERS "}]" },
    "m.json:9: engines[1].address: address and port are already used by engines[0]\n" },
  { { .models = "[{\"name\":\"other\"}]" },
    "m.json:9: engines[0].models[0]: refers to \"m/7b:q4\", which does not exist\n" },
  { { .pools = "[{\"name\":\"s\"}]" },
    "m.json:9: engines[0].pool: refers to \"p\", which does not exist\n"
    "m.json:10: services[0].name: duplicate name\n" },
  { { .services = "[{\"name\":\"s\",\"key_retention_hours\":169," SERVICE_CALLS
                  "," SERVICE_TARGETS "}]" },
    "m.json:10: services[0].key_retention_hours: must be from 1 to 168\n" },
  { { .services = "[{\"name\":\"s\",\"calls\":[{\"method\":\"post\",\"path\":\"b*c\","
                  "\"repeatable\":1}]," SERVICE_TARGETS "}]" },
    "m.json:10: services[0].calls[0].repeatable: must be true or false\n"
    "m.json:10: services[0].calls[0].method: must be GET, HEAD, POST, PUT, PATCH or DELETE\n"
    "m.json:10: services[0].calls[0].path: must start with '/', be printable, contain no '?' "
    "or '#', and '*' only at the end\n" },
  { { .services
      = "[{\"name\":\"s\"," SERVICE_CALLS ",\"targets\":[{\"name\":\"e1\","
        "\"data_centre\":\"d3\",\"address\":\"host\",\"port\":65536,\"window\":1}]}]" },
    "m.json:10: services[0].targets[0].port: must be from 1 to 65535\n"
    "m.json:10: services[0].targets[0].name: duplicate name\n"
    "m.json:10: services[0].targets[0].data_centre: refers to \"d3\", which does not exist\n" },
  { { .services = "[{\"name\":\"s\"," SERVICE_CALLS ",\"targets\":[{\"name\":\"x\","
                  "\"data_centre\":\"d1\",\"address\":\"host\",\"port\":5,\"window\":1}]}]" },
    "m.json:10: services[0].targets[0].address: must be an IP address\n" },
  { { .more = ",\"colour\":1,\"revision\":4" },
    "m.json:10: revision: duplicate key in this object\n"
    "m.json:10: colour: is not known here\n" },
  { { .more = ",\n\"a\":NaN,\n\"b\":-Infinity" },
    "m.json:11: a: must be a number, true, false or null\n"
    "m.json:12: b: must be a number, true, false or null\n"
    "m.json:11: a: is not known here\n"
    "m.json:12: b: is not known here\n" },
  { { .more = ",\"r\\u0065vision\":4" },
    "m.json:10: revision: duplicate key in this object\n" },
};

START_TEST (invalid_sections_give_all_diagnostics)
{
  const SectionCase *c = &section_cases[_i];
  char *text = build_text (&c->sections);
  check_diagnostics (text, strlen (text), c->diagnostics);
  g_free (text);
}
END_TEST

/* Texts that are not valid JSON, or whose root is not an object. */
typedef struct RawCase
{
  const char *text;
  gsize length; /* 0: strlen() */
  const char *diagnostics;
} RawCase;

static const RawCase raw_cases[] = {
  { "", 0, "m.json:1: unexpected end of text\n" },
  { "{", 0, "m.json:1: unexpected end of text\n" },
  { "[]", 0, "m.json:1: the top-level value must be an object\n" },
  { "7 ", 0, "m.json:1: the top-level value must be an object\n" },
  { "{\n\n}\n x", 0, "m.json:4: unexpected character\n" },
  { "{}{}", 0, "m.json:1: unexpected character\n" },
  { "{\n'a':1}", 0, "m.json:2: strings must be in double quotes\n" },
  { "{\n\"a\":1,}", 0, "m.json:2: unexpected character\n" },
  { "{\"a\":01}", 0, "m.json:1: number expected\n" },
  { "{ // open\n /* never closed }", 0, "m.json:2: unterminated comment\n" },
  { "{\"a\xff\":1}", 0, "m.json:1: the text is not valid UTF-8 or contains a NUL byte\n" },
  { "{\0}", 3, "m.json:1: the text is not valid UTF-8 or contains a NUL byte\n" },
  { "{\n\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]}", 0,
    "m.json:2: objects and arrays are nested too deeply\n" },
};

START_TEST (invalid_json_is_refused_with_its_line)
{
  const RawCase *c = &raw_cases[_i];
  check_diagnostics (c->text, c->length != 0 ? c->length : strlen (c->text), c->diagnostics);
}
END_TEST

START_TEST (control_characters_in_strings_are_refused)
{
  char *text = build_text (&(Sections){ .pools = "[{\"name\":\"p\"},{\"name\":\"a\nb\"},"
                                                 "{\"name\":\"c\\u0000d\"}]" });
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  ck_assert_ptr_null (dp_manifest_parse ("m.json", text, strlen (text), diagnostics));
  const DpDiagnostic *control = dp_diagnostics_get (diagnostics, 0);
  ck_assert_str_eq (control->message, "contains an unescaped control character");
  ck_assert_str_eq (control->path, "pools[1].name");
  const DpDiagnostic *nul = dp_diagnostics_get (diagnostics, 1);
  ck_assert_str_eq (nul->message, "contains a NUL character");
  ck_assert_str_eq (nul->path, "pools[2].name");
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

START_TEST (text_above_one_mebibyte_is_refused)
{
  char *valid = build_text (&(Sections){ 0 });
  gsize length = strlen (valid);
  char *padding = g_strnfill (DP_MANIFEST_BYTES_MAX + 1 - length, ' ');
  char *text = g_strconcat (valid, padding, NULL);
  g_free (padding);
  check_diagnostics (text, DP_MANIFEST_BYTES_MAX, "");
  check_diagnostics (text, DP_MANIFEST_BYTES_MAX + 1,
                     "m.json: the text has 1048577 bytes; at most 1048576 are allowed\n");
  g_free (text);
  g_free (valid);
}
END_TEST

START_TEST (comments_preserve_lines_and_strings)
{
  char *text = build_text (&(Sections){
    .pools = "[{\"name\":\"p\"} /* a \" quote\n and // more */\n]",
    .services = "[{\"name\":\"s\"," SERVICE_TARGETS ",\"calls\":[{\"method\":\"POST\","
                "\"path\":\"//b/*\",\"repeatable\":false}]}] // \"end",
    .more = "\n,\"late\":1",
  });
  check_diagnostics (text, strlen (text), "m.json:13: late: is not known here\n");
  g_free (text);
}
END_TEST

START_TEST (rows_are_filled_in)
{
  char *text = build_text (&(Sections){ 0 });
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = dp_manifest_parse ("m.json", text, strlen (text), diagnostics);
  ck_assert_ptr_nonnull (manifest);
  ck_assert_uint_eq (manifest->revision, 3);
  ck_assert_uint_eq (manifest->digest, dp_hash_bytes (text, strlen (text), 0));

  const DpTier *tier = DP_MANIFEST_ROW (manifest, tiers, DpTier, 1);
  ck_assert_int_eq (tier->timeout, 2 * DP_USEC_PER_SEC);
  const DpWorkspace *workspace = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, 0);
  ck_assert_uint_eq (workspace->weight, 1);
  ck_assert_uint_eq (workspace->requests_per_second, 0);
  ck_assert_uint_eq (workspace->retry_percent, 10);
  int key_index = dp_manifest_find_key (manifest, SHA_A);
  ck_assert_int_eq (key_index, 0);
  const DpAccessKey *key = DP_MANIFEST_ROW (manifest, keys, DpAccessKey, 0);
  ck_assert_uint_eq (key->workspace, 1);
  ck_assert_uint_eq (key->tier, 1);

  int engine_index = dp_manifest_find (manifest, DP_MANIFEST_TARGET, dp_name ("e1"));
  ck_assert_int_eq (engine_index, 0);
  const DpTarget *engine = DP_MANIFEST_ROW (manifest, targets, DpTarget, 0);
  ck_assert_str_eq (engine->address, "10.0.0.1");
  ck_assert_uint_eq (engine->port, 8000);
  ck_assert_uint_eq (engine->kv_tokens, 5000);
  ck_assert (engine->checks_fence);
  ck_assert_uint_eq (engine->models->len, 1);

  int pool_index = dp_manifest_find (manifest, DP_MANIFEST_POOL, dp_name ("s"));
  const DpPool *service = DP_MANIFEST_ROW (manifest, pools, DpPool, pool_index);
  ck_assert_int_eq (service->kind, DP_POOL_SERVICE);
  ck_assert_int_eq (service->key_retention, 86400 * DP_USEC_PER_SEC);
  ck_assert (!dp_pool_find_call (service, "POST", "/b")->repeatable);
  ck_assert_uint_eq (manifest->groups->len, 2);

  dp_manifest_unref (manifest);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

/* Expected sizes of the example manifests. */
typedef struct ExampleCase
{
  const char *file;
  guint data_centres;
  guint engines;
  guint instances;
  guint workspaces;
  guint tiers;
} ExampleCase;

static const ExampleCase example_cases[] = {
  { "zadruga.json", 4, 20, 4, 5, 4 },
  { "mesa.json", 3, 20, 3, 5, 4 },
};

START_TEST (examples_are_valid_and_have_expected_sizes)
{
  const ExampleCase *c = &example_cases[_i];
  char *file = g_build_filename (DP_EXAMPLES_FOLDER, c->file, NULL);
  char *text;
  gsize length;
  ck_assert (g_file_get_contents (file, &text, &length, NULL));
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = dp_manifest_parse (c->file, text, length, diagnostics);
  char *formatted = dp_diagnostics_format (diagnostics);
  ck_assert_str_eq (formatted, "");
  ck_assert_uint_eq (manifest->data_centres->len, c->data_centres);
  ck_assert_uint_eq (manifest->targets->len, c->engines + c->instances);
  ck_assert_uint_eq (manifest->workspaces->len, c->workspaces);
  ck_assert_uint_eq (manifest->tiers->len, c->tiers);
  g_free (formatted);
  dp_diagnostics_unref (diagnostics);
  dp_manifest_unref (manifest);
  g_free (text);
  g_free (file);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("manifest");
  TCase *tcase = tcase_create ("manifest");
  tcase_add_loop_test (tcase, invalid_sections_give_all_diagnostics, 0,
                       G_N_ELEMENTS (section_cases));
  tcase_add_loop_test (tcase, invalid_json_is_refused_with_its_line, 0,
                       G_N_ELEMENTS (raw_cases));
  tcase_add_test (tcase, control_characters_in_strings_are_refused);
  tcase_add_test (tcase, text_above_one_mebibyte_is_refused);
  tcase_add_test (tcase, comments_preserve_lines_and_strings);
  tcase_add_test (tcase, rows_are_filled_in);
  tcase_add_loop_test (tcase, examples_are_valid_and_have_expected_sizes, 0,
                       G_N_ELEMENTS (example_cases));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
