/* The manifest's parser: bad texts and the findings they must give; good texts and their rows.
 */
#include "manifest/json_text.h"
#include "manifest/manifest.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SHA_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* A small valid manifest in sections; each case replaces some of them. */
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

#define PICK(member) (sections->member != NULL ? sections->member : defaults.member)

/* One section a line: revision stands on line 2, tiers on line 3, and so on. */
static char *
build_text (const Sections *sections)
{
  return g_strdup_printf ("{\n\"revision\":%s,\n\"tiers\":%s,\n\"data_centres\":%s,\n"
                          "\"workspaces\":%s,\n\"keys\":%s,\n\"models\":%s,\n\"pools\":%s,\n"
                          "\"engines\":%s,\n\"services\":%s%s\n}\n",
                          PICK (revision), PICK (tiers), PICK (data_centres), PICK (workspaces),
                          PICK (keys), PICK (models), PICK (pools), PICK (engines),
                          PICK (services), PICK (more));
}

/* Parses and compares all findings at once. */
static void
check_findings (const char *text, gsize length, const char *expected)
{
  DpFindings *findings = dp_findings_new ();
  DpManifest *manifest = dp_manifest_parse ("m.json", text, length, findings);
  char *found = dp_findings_format (findings);
  ck_assert_str_eq (found, expected);
  ck_assert (manifest == NULL || expected[0] == '\0');
  ck_assert (manifest != NULL || expected[0] != '\0');
  g_free (found);
  dp_findings_unref (findings);
  dp_manifest_unref (manifest);
}

typedef struct SectionCase
{
  Sections sections;
  const char *findings;
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
    "m.json:3: tiers[1].name: the name is used already\n" },
  { { .workspaces = "[{\"name\":\"w2\",\"wieght\":3,\"weight\":0}]" },
    "m.json:5: workspaces[0].weight: must be from 1 to 1000\n"
    "m.json:5: workspaces[0].wieght: is not known here\n" },
  { { .workspaces = "[{\"name\":\"w 2\"},{\"name\":\"w2\",\"retry_percent\":101}]" },
    "m.json:5: workspaces[0].name: must start with a letter or digit and hold only letters, "
    "digits, '-', '_' and '.' (models: also '/' and ':')\n"
    "m.json:5: workspaces[1].retry_percent: must be from 0 to 100\n" },
  { { .keys = "[{\"sha256\":\"AAAA\",\"workspace\":\"w9\",\"tier\":\"t9\"}]" },
    "m.json:6: keys[0].sha256: the length must be from 64 to 64\n"
    "m.json:6: keys[0].workspace: refers to \"w9\", which does not exist\n"
    "m.json:6: keys[0].tier: refers to \"t9\", which does not exist\n" },
  { { .keys = "[{\"sha256\":\"" SHA_A "\",\"workspace\":\"w1\",\"tier\":\"t1\"},"
              "\n{\"sha256\":\"" SHA_A "\",\"workspace\":\"w1\",\"tier\":\"t1\"}]" },
    "m.json:7: keys[1].sha256: the access key is listed already\n" },
  { { .engines
      = "[{\"name\":\"e1\"," ENGINE_MEMBERS "},{\"name\":\"e2\"," ENGINE_MEMBERS "}]" },
    "m.json:9: engines[1].address: address and port are those of engines[0]\n" },
  { { .models = "[{\"name\":\"other\"}]" },
    "m.json:9: engines[0].models[0]: refers to \"m/7b:q4\", which does not exist\n" },
  { { .pools = "[{\"name\":\"s\"}]" },
    "m.json:9: engines[0].pool: refers to \"p\", which does not exist\n"
    "m.json:10: services[0].name: the name is used already\n" },
  { { .services = "[{\"name\":\"s\",\"key_retention_hours\":169," SERVICE_CALLS
                  "," SERVICE_TARGETS "}]" },
    "m.json:10: services[0].key_retention_hours: must be from 1 to 168\n" },
  { { .services = "[{\"name\":\"s\",\"calls\":[{\"method\":\"post\",\"path\":\"b*c\","
                  "\"repeatable\":1}]," SERVICE_TARGETS "}]" },
    "m.json:10: services[0].calls[0].repeatable: must be true or false\n"
    "m.json:10: services[0].calls[0].method: must be GET, HEAD, POST, PUT, PATCH or DELETE\n"
    "m.json:10: services[0].calls[0].path: must start with '/', be printable, and hold '*' "
    "only "
    "at its end\n" },
  { { .services
      = "[{\"name\":\"s\"," SERVICE_CALLS ",\"targets\":[{\"name\":\"e1\","
        "\"data_centre\":\"d3\",\"address\":\"host\",\"port\":65536,\"window\":1}]}]" },
    "m.json:10: services[0].targets[0].port: must be from 1 to 65535\n"
    "m.json:10: services[0].targets[0].name: the name is used already\n"
    "m.json:10: services[0].targets[0].data_centre: refers to \"d3\", which does not exist\n" },
  { { .services = "[{\"name\":\"s\"," SERVICE_CALLS ",\"targets\":[{\"name\":\"x\","
                  "\"data_centre\":\"d1\",\"address\":\"host\",\"port\":5,\"window\":1}]}]" },
    "m.json:10: services[0].targets[0].address: must be an IP number\n" },
  { { .more = ",\"colour\":1,\"revision\":4" },
    "m.json:10: revision: the key is repeated in this object\n"
    "m.json:10: colour: is not known here\n" },
  { { .more = ",\n\"a\":NaN,\n\"b\":-Infinity" },
    "m.json:11: a: is neither a number nor true, false or null\n"
    "m.json:12: b: is neither a number nor true, false or null\n"
    "m.json:11: a: is not known here\n"
    "m.json:12: b: is not known here\n" },
  { { .more = ",\"r\\u0065vision\":4" },
    "m.json:10: revision: the key is repeated in this object\n" },
};

START_TEST (sections_give_all_their_findings)
{
  const SectionCase *c = &section_cases[_i];
  char *text = build_text (&c->sections);
  check_findings (text, strlen (text), c->findings);
  g_free (text);
}
END_TEST

/* Texts that aren't proper JSON, or no object. */
typedef struct RawCase
{
  const char *text;
  gsize length; /* 0: up to the NUL */
  const char *findings;
} RawCase;

static const RawCase raw_cases[] = {
  { "", 0, "m.json:1: the text ends too early\n" },
  { "{", 0, "m.json:1: the text ends too early\n" },
  { "[]", 0, "m.json:1: the text is not an object\n" },
  { "7 ", 0, "m.json:1: the text is not an object\n" },
  { "{\n\n}\n x", 0, "m.json:4: unexpected character\n" },
  { "{}{}", 0, "m.json:1: unexpected character\n" },
  { "{\n'a':1}", 0, "m.json:2: strings need double quotes\n" },
  { "{\n\"a\":1,}", 0, "m.json:2: unexpected character\n" },
  { "{\"a\":01}", 0, "m.json:1: number expected\n" },
  { "{ // open\n /* never closed }", 0, "m.json:2: the comment is never closed\n" },
  { "{\"a\xff\":1}", 0, "m.json:1: the text is not UTF-8, or holds a NUL byte\n" },
  { "{\0}", 3, "m.json:1: the text is not UTF-8, or holds a NUL byte\n" },
  { "{\n\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]}", 0,
    "m.json:2: objects and arrays are nested too deeply\n" },
};

START_TEST (improper_json_is_refused_with_its_line)
{
  const RawCase *c = &raw_cases[_i];
  check_findings (c->text, c->length != 0 ? c->length : strlen (c->text), c->findings);
}
END_TEST

START_TEST (strings_hold_no_raw_control_characters)
{
  char *text = build_text (&(Sections){ .pools = "[{\"name\":\"p\"},{\"name\":\"a\nb\"},"
                                                 "{\"name\":\"c\\u0000d\"}]" });
  DpFindings *findings = dp_findings_new ();
  ck_assert_ptr_null (dp_manifest_parse ("m.json", text, strlen (text), findings));
  const DpFinding *control = dp_findings_get (findings, 0);
  ck_assert_str_eq (control->message, "holds a control character that is not escaped");
  ck_assert_str_eq (control->path, "pools[1].name");
  const DpFinding *nul = dp_findings_get (findings, 1);
  ck_assert_str_eq (nul->message, "holds a NUL character");
  ck_assert_str_eq (nul->path, "pools[2].name");
  dp_findings_unref (findings);
  g_free (text);
}
END_TEST

START_TEST (a_text_above_one_mebibyte_is_refused)
{
  char *valid = build_text (&(Sections){ 0 });
  gsize length = strlen (valid);
  char *padding = g_strnfill (DP_MANIFEST_BYTES_MAX + 1 - length, ' ');
  char *text = g_strconcat (valid, padding, NULL);
  g_free (padding);
  check_findings (text, DP_MANIFEST_BYTES_MAX, "");
  check_findings (text, DP_MANIFEST_BYTES_MAX + 1,
                  "m.json: the text has 1048577 bytes; at most 1048576 are allowed\n");
  g_free (text);
  g_free (valid);
}
END_TEST

START_TEST (comments_keep_lines_and_strings)
{
  char *text = build_text (&(Sections){
    .pools = "[{\"name\":\"p\"} /* a \" quote\n and // more */\n]",
    .services = "[{\"name\":\"s\"," SERVICE_TARGETS ",\"calls\":[{\"method\":\"POST\","
                "\"path\":\"//b/*\",\"repeatable\":false}]}] // \"end",
    .more = "\n,\"late\":1",
  });
  check_findings (text, strlen (text), "m.json:13: late: is not known here\n");
  g_free (text);
}
END_TEST

START_TEST (rows_are_filled_in)
{
  char *text = build_text (&(Sections){ 0 });
  DpFindings *findings = dp_findings_new ();
  DpManifest *manifest = dp_manifest_parse ("m.json", text, strlen (text), findings);
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
  dp_findings_unref (findings);
  g_free (text);
}
END_TEST

/* Sizes that the examples must have. */
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

START_TEST (examples_are_valid_and_of_the_users_size)
{
  const ExampleCase *c = &example_cases[_i];
  char *file = g_build_filename (DP_EXAMPLES_FOLDER, c->file, NULL);
  char *text;
  gsize length;
  ck_assert (g_file_get_contents (file, &text, &length, NULL));
  DpFindings *findings = dp_findings_new ();
  DpManifest *manifest = dp_manifest_parse (c->file, text, length, findings);
  char *found = dp_findings_format (findings);
  ck_assert_str_eq (found, "");
  ck_assert_uint_eq (manifest->data_centres->len, c->data_centres);
  ck_assert_uint_eq (manifest->targets->len, c->engines + c->instances);
  ck_assert_uint_eq (manifest->workspaces->len, c->workspaces);
  ck_assert_uint_eq (manifest->tiers->len, c->tiers);
  g_free (found);
  dp_findings_unref (findings);
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
  tcase_add_loop_test (tcase, sections_give_all_their_findings, 0,
                       G_N_ELEMENTS (section_cases));
  tcase_add_loop_test (tcase, improper_json_is_refused_with_its_line, 0,
                       G_N_ELEMENTS (raw_cases));
  tcase_add_test (tcase, strings_hold_no_raw_control_characters);
  tcase_add_test (tcase, a_text_above_one_mebibyte_is_refused);
  tcase_add_test (tcase, comments_keep_lines_and_strings);
  tcase_add_test (tcase, rows_are_filled_in);
  tcase_add_loop_test (tcase, examples_are_valid_and_of_the_users_size, 0,
                       G_N_ELEMENTS (example_cases));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
