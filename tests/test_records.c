/* Decoding of the objects in the platform's store, valid and malformed. */
#include "core/key_set.h"
#include "platform/config_rows.h"
#include "platform/records.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static DpStorePage *
read_page (const char *text, gboolean is_watch, DpDiagnostics *diagnostics)
{
  return dp_records_read_page (text, strlen (text), is_watch, diagnostics);
}

/* --- pages --- */

typedef struct PageCase
{
  const char *name;
  const char *text;
  gboolean is_watch;
  gboolean is_read;
  guint objects;
  guint diagnostics;
} PageCase;

static const PageCase page_cases[] = {
  { "empty", "{\"items\":[],\"store_revision\":5}", FALSE, TRUE, 0, 0 },
  { "one", "{\"items\":[{\"metadata\":{\"name\":\"a\"},\"spec\":{}}],\"store_revision\":5}",
    FALSE, TRUE, 1, 0 },
  { "an object without a name", "{\"items\":[{\"spec\":{}},{}],\"store_revision\":5}", FALSE,
    TRUE, 0, 2 },
  { "a name that is not a string",
    "{\"items\":[{\"metadata\":{\"name\":7}}],\"store_revision\":5}", FALSE, TRUE, 0, 1 },
  { "a row that is not an object", "{\"items\":[1,\"x\",null],\"store_revision\":5}", FALSE,
    TRUE, 0, 3 },
  { "a deletion",
    "{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{\"name\":\"a\"}}}],"
    "\"store_revision\":5}",
    TRUE, TRUE, 1, 0 },
  { "an event without an object", "{\"events\":[{\"deleted\":true}],\"store_revision\":5}",
    TRUE, TRUE, 0, 1 },
  { "no revision", "{\"items\":[]}", FALSE, FALSE, 0, 1 },
  { "a revision too large", "{\"items\":[],\"store_revision\":1e300}", FALSE, FALSE, 0, 1 },
  { "a revision of many digits", "{\"items\":[],\"store_revision\":99999999999999999999999}",
    FALSE, FALSE, 0, 1 },
  { "a negative revision", "{\"items\":[],\"store_revision\":-5}", FALSE, FALSE, 0, 1 },
  { "a revision that is not a number", "{\"items\":[],\"store_revision\":\"5\"}", FALSE, FALSE,
    0, 1 },
  { "no rows", "{\"store_revision\":5}", FALSE, FALSE, 0, 1 },
  { "truncated", "{\"items\":[", FALSE, FALSE, 0, 1 },
  { "not JSON", "\xff\xfe", FALSE, FALSE, 0, 1 },
  { "an empty body", "", FALSE, FALSE, 0, 1 },
};

START_TEST (pages_are_decoded_or_rejected)
{
  const PageCase *row = &page_cases[_i];
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (row->text, row->is_watch, diagnostics);
  ck_assert_msg ((page != NULL) == row->is_read, "%s", row->name);
  if (page != NULL)
    ck_assert_msg (page->objects->len == row->objects, "%s: %u objects", row->name,
                   page->objects->len);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == row->diagnostics, "%s: %u diagnostics",
                 row->name, dp_diagnostics_count (diagnostics));
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

/* --- rows that can't be read, among others --- */

#define DEEP 300
#define SOUND(name)                                                                            \
  "{\"metadata\":{\"name\":\"" name "\",\"revision\":7},\"spec\":{\"service\":\"s\","          \
  "\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":5,\"state\":\"ready\"}}"

typedef struct OddRowCase
{
  const char *name;
  const char *row; /* "%s": DEEP opening brackets, then as many closing ones */
  gboolean is_named;
} OddRowCase;

#define NAMED "{\"metadata\":{\"name\":\"odd\",\"revision\":3},"

static const OddRowCase odd_row_cases[] = {
  { "a spec nested deeply", NAMED "\"spec\":%s}", TRUE },
  { "a member of the spec nested deeply", NAMED "\"spec\":{\"service\":%s}}", TRUE },
  { "a status nested deeply", NAMED "\"status\":%s}", TRUE },
  { "metadata nested deeply", "{\"metadata\":%s}", FALSE },
  { "a name nested deeply", "{\"metadata\":{\"name\":%s}}", FALSE },
  { "nested deeply, no object", "%s", FALSE },
  { "the spec before a name", "{\"spec\":%s,\"metadata\":{\"name\":\"odd\"}}", TRUE },
  { "bytes that are no text", NAMED "\"spec\":{\"service\":\"\xff\xc0\"}}", TRUE },
  { "a name that is no text", "{\"metadata\":{\"name\":\"\xff\"},\"spec\":{}}", FALSE },
  { "a NUL in the name", "{\"metadata\":{\"name\":\"a\\u0000\"},\"spec\":{}}", FALSE },
  { "an empty name", "{\"metadata\":{\"name\":\"\"},\"spec\":{}}", FALSE },
  { "no spec", NAMED "\"status\":{}}", TRUE },
  { "a spec that is null", NAMED "\"spec\":null}", TRUE },
  { "a spec that is a list", NAMED "\"spec\":[]}", TRUE },
  { "a number", "17", FALSE },
  { "a word", "NaN", FALSE },
  { "a string", "\"odd \\\" ]}\"", FALSE },
  { "a list", "[[],{}]", FALSE },
  { "no members", "{}", FALSE },
  { "brackets that don't match", NAMED "\"spec\":[}}", TRUE },
  { "a member without a value", NAMED "\"spec\"}", TRUE },
  { "a member without a name", "{:{},\"metadata\":{\"name\":\"odd\"}}", FALSE },
  { "a comma too many", NAMED "\"spec\":{\"slots\":5,}}", TRUE },
  { "members twice", NAMED NAMED "\"spec\":{}}}", TRUE },
  { "a number that is none", NAMED "\"spec\":{\"slots\":1.2.3}}", TRUE },
};

static char *
make_odd_row (const OddRowCase *row)
{
  char *nested = g_malloc0 (2 * DEEP + 1);
  memset (nested, '[', DEEP);
  memset (nested + DEEP, ']', DEEP);
  char **parts = g_strsplit (row->row, "%s", 2);
  char *text = g_strjoinv (nested, parts);
  g_strfreev (parts);
  g_free (nested);
  return text;
}

static gboolean
is_sound (const DpStoreObject *object, const char *name)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpTargetRecord target;
  gboolean ok = dp_records_read_target (object, &target, diagnostics)
                && strcmp (target.id, name) == 0 && object->revision == 7;
  dp_diagnostics_unref (diagnostics);
  return ok;
}

static void
check_beside_odd (const OddRowCase *row, const char *text, gboolean is_watch)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, is_watch, diagnostics);
  ck_assert_msg (page != NULL, "%s: page not read", row->name);
  ck_assert_uint_eq (page->revision, 9);
  ck_assert_msg (page->objects->len == (row->is_named ? 3 : 2), "%s: %u objects", row->name,
                 page->objects->len);
  ck_assert_uint_eq (dp_diagnostics_count (diagnostics), row->is_named ? 0 : 1);
  const DpStoreObject *objects = (const DpStoreObject *)page->objects->data;
  ck_assert_msg (is_sound (&objects[0], "a"), "%s", row->name);
  ck_assert_msg (is_sound (&objects[page->objects->len - 1], "b"), "%s", row->name);
  if (row->is_named)
    {
      ck_assert_str_eq (objects[1].name, "odd");
      ck_assert_msg (!is_sound (&objects[1], "odd"), "%s", row->name);
    }
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
}

START_TEST (an_odd_row_spoils_no_other)
{
  const OddRowCase *row = &odd_row_cases[_i];
  char *odd = make_odd_row (row);
  char *items = g_strdup_printf (
    "{\"items\":[" SOUND ("a") ",%s," SOUND ("b") "],"
                                                  "\"has_more\":false,\"store_revision\":9}\n",
    odd);
  check_beside_odd (row, items, FALSE);
  char *events
    = g_strdup_printf ("{ \"store_revision\" : 9 , \"events\" : [ {\"object\":" SOUND (
                         "a") "} , {\"object\":%s} , {\"object\":" SOUND ("b") "} ] }",
                       odd);
  check_beside_odd (row, events, TRUE);
  g_free (events);
  g_free (items);
  g_free (odd);
}
END_TEST

START_TEST (the_removal_of_an_odd_object_is_read)
{
  const OddRowCase *row = &odd_row_cases[_i];
  char *odd = make_odd_row (row);
  char *text = g_strdup_printf (
    "{\"events\":[{\"object\":%s,\"deleted\":true}],\"store_revision\":9}", odd);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, TRUE, diagnostics);
  ck_assert_ptr_nonnull (page);
  ck_assert_uint_eq (page->objects->len, row->is_named ? 1 : 0);
  if (row->is_named)
    ck_assert (g_array_index (page->objects, DpStoreObject, 0).is_deleted);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
  g_free (odd);
}
END_TEST

START_TEST (a_cut_page_is_read_in_no_part)
{
  const char *text = "{\"items\":[" SOUND ("a") "," SOUND ("b") "],\"store_revision\":19}";
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  for (gsize length = 0; length < strlen (text); length++)
    {
      DpStorePage *page = dp_records_read_page (text, length, FALSE, diagnostics);
      ck_assert_msg (page == NULL, "%u bytes", (guint)length);
    }
  static const char *const endings[] = { "x", "{}", "}", ",", " 5" };
  for (guint i = 0; i < G_N_ELEMENTS (endings); i++)
    {
      char *longer = g_strconcat (text, endings[i], NULL);
      ck_assert_msg (read_page (longer, FALSE, diagnostics) == NULL, "%s", endings[i]);
      g_free (longer);
    }
  dp_diagnostics_unref (diagnostics);
}
END_TEST

/* json-c also accepts strings in single quotes. */
static gboolean
is_json_object (const char *text, gsize length)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  struct json_object *object = json_tokener_parse_ex (tokener, text, (int)length);
  gboolean ok = json_object_is_type (object, json_type_object)
                && json_tokener_get_parse_end (tokener) == length
                && memchr (text, '\'', length) == NULL;
  json_object_put (object);
  json_tokener_free (tokener);
  return ok;
}

#define MUTATIONS 20000

/* Changes up to three bytes of the row between two others. Quotes and brackets outside strings
 * decide where a row ends, so only a row that is JSON by itself leaves the others as they are.
 */
START_TEST (a_mutated_row_spoils_no_other)
{
  GRand *random = g_rand_new_with_seed ((guint32)_i);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  for (guint i = 0; i < MUTATIONS; i++)
    {
      char row[] = SOUND ("odd");
      for (gint32 count = g_rand_int_range (random, 1, 4); count > 0; count--)
        {
          gint32 at = g_rand_int_range (random, 0, sizeof row - 1);
          row[at] = (char)g_rand_int (random);
        }
      GString *text = g_string_new ("{\"items\":[" SOUND ("a") ",");
      g_string_append_len (text, row, sizeof row - 1);
      g_string_append (text, "," SOUND ("b") "],\"store_revision\":9}");
      DpStorePage *page = dp_records_read_page (text->str, text->len, FALSE, diagnostics);
      if (is_json_object (row, sizeof row - 1))
        {
          ck_assert_msg (page != NULL, "%s", row);
          guint last = page->objects->len - 1;
          ck_assert_msg (last >= 1, "%s", row);
          ck_assert_msg (is_sound (&g_array_index (page->objects, DpStoreObject, 0), "a"), "%s",
                         row);
          ck_assert_msg (is_sound (&g_array_index (page->objects, DpStoreObject, last), "b"),
                         "%s", row);
        }
      dp_store_page_free (page);
      g_string_free (text, TRUE);
    }
  dp_diagnostics_unref (diagnostics);
  g_rand_free (random);
}
END_TEST

/* --- targets --- */

typedef struct TargetCase
{
  const char *name;
  const char *spec;
  gboolean is_accepted;
} TargetCase;

#define VALID_MEMBERS                                                                          \
  "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":5,"                  \
  "\"state\":\"ready\""

static const TargetCase target_cases[] = {
  { "valid", "{" VALID_MEMBERS "}", TRUE },
  { "unknown members", "{" VALID_MEMBERS ",\"new\":{\"a\":[1]},\"born\":17}", TRUE },
  { "draining", "{" VALID_MEMBERS ",\"state\":\"draining\"}", TRUE },
  { "an unknown state", "{" VALID_MEMBERS ",\"state\":\"resting\"}", FALSE },
  { "no state", "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":5}",
    FALSE },
  { "slots as a string", "{" VALID_MEMBERS ",\"slots\":\"5\"}", FALSE },
  { "no slots", "{" VALID_MEMBERS ",\"slots\":0}", FALSE },
  { "negative slots", "{" VALID_MEMBERS ",\"slots\":-5}", FALSE },
  { "an address without a port", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1\"}", FALSE },
  { "port 0", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:0\"}", FALSE },
  { "a port too large", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:65536\"}", FALSE },
  { "a service that is not a string", "{" VALID_MEMBERS ",\"service\":[\"s\"]}", FALSE },
  { "an empty zone", "{" VALID_MEMBERS ",\"zone\":\"\"}", FALSE },
  { "a start time as a string", "{" VALID_MEMBERS ",\"born\":\"17\"}", FALSE },
  { "a list", "[]", FALSE },
  { "a string", "\"spec\"", FALSE },
  { "slots 1e300", "{" VALID_MEMBERS ",\"slots\":1e300}", FALSE },
  { "slots 1e400", "{" VALID_MEMBERS ",\"slots\":1e400}", FALSE },
  { "slots that are no number", "{" VALID_MEMBERS ",\"slots\":NaN}", FALSE },
  { "more slots than an int", "{" VALID_MEMBERS ",\"slots\":4294967295}", FALSE },
  { "slots of many digits", "{" VALID_MEMBERS ",\"slots\":99999999999999999999999}", FALSE },
  { "a fraction of a slot", "{" VALID_MEMBERS ",\"slots\":5.5}", FALSE },
  { "whole slots with a point", "{" VALID_MEMBERS ",\"slots\":5.0}", TRUE },
  { "a negative port", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:-1\"}", FALSE },
  { "a port with an exponent", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:1e300\"}", FALSE },
  { "a port with a fraction", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:80.5\"}", FALSE },
  { "a port with a space", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1: 80\"}", FALSE },
  { "no port after the colon", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:\"}", FALSE },
  { "an address as a number", "{" VALID_MEMBERS ",\"address\":80}", FALSE },
  { "an address as a list", "{" VALID_MEMBERS ",\"address\":[\"10.0.0.1:80\"]}", FALSE },
  { "a host name", "{" VALID_MEMBERS ",\"address\":\"a.example:80\"}", FALSE },
  { "no address before the port", "{" VALID_MEMBERS ",\"address\":\":80\"}", FALSE },
  { "an address with a NUL", "{" VALID_MEMBERS ",\"address\":\"10.0.0.1:80\\u0000\"}", FALSE },
  { "a start time too large", "{" VALID_MEMBERS ",\"born\":1e300}", FALSE },
  { "a start time before 1970", "{" VALID_MEMBERS ",\"born\":-1}", FALSE },
  { "a fraction of a start time", "{" VALID_MEMBERS ",\"born\":1.5}", FALSE },
  { "a start time that is null", "{" VALID_MEMBERS ",\"born\":null}", TRUE },
  { "a version that is a number", "{" VALID_MEMBERS ",\"version\":1}", FALSE },
  { "a version that is long",
    "{" VALID_MEMBERS
    ",\"version\":\"0123456789012345678901234567890123456789012345678901234567890123456789\"}",
    TRUE },
  { "a remaining time as a string", "{" VALID_MEMBERS ",\"cold_remaining_ms\":\"5\"}", FALSE },
  { "a remaining time too large", "{" VALID_MEMBERS ",\"cold_remaining_ms\":1e300}", FALSE },
  { "a remaining time with a fraction", "{" VALID_MEMBERS ",\"cold_remaining_ms\":0.5}", TRUE },
  { "a sequence as a string", "{" VALID_MEMBERS ",\"sequence\":\"5\"}", FALSE },
  { "a sequence too large", "{" VALID_MEMBERS ",\"sequence\":1e300}", FALSE },
  { "a negative sequence", "{" VALID_MEMBERS ",\"sequence\":-5}", FALSE },
  { "a state with a NUL", "{" VALID_MEMBERS ",\"state\":\"ready\\u0000\"}", FALSE },
  { "models", "{" VALID_MEMBERS ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}",
    TRUE },
};

START_TEST (only_valid_objects_become_targets)
{
  const TargetCase *row = &target_cases[_i];
  char *text = g_strdup_printf (
    "{\"items\":[{\"metadata\":{\"name\":\"t\"},\"spec\":%s}],\"store_revision\":1}",
    row->spec);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  ck_assert_ptr_nonnull (page);
  DpTargetRecord target;
  gboolean is_accepted = dp_records_read_target (
    &g_array_index (page->objects, DpStoreObject, 0), &target, diagnostics);
  ck_assert_msg (is_accepted == row->is_accepted, "%s", row->name);
  ck_assert_msg ((dp_diagnostics_count (diagnostics) == 0) == row->is_accepted, "%s",
                 row->name);
  if (is_accepted)
    {
      ck_assert_str_eq (target.address, "10.0.0.1");
      ck_assert_uint_eq (target.port_number, 80);
    }
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

/* --- VMs --- */

typedef struct VmCase
{
  const char *name;
  const char *vm;
  const char *spec;
  gboolean is_accepted;
} VmCase;

#define VM_MEMBERS "\"address\":\"10.0.0.1\",\"data_centre\":\"d\""

static const VmCase vm_cases[] = {
  { "valid", "front-1.a_b", "{" VM_MEMBERS ",\"weight\":170}", TRUE },
  { "no weight", "front-1", "{" VM_MEMBERS "}", TRUE },
  { "a weight too large", "front-1", "{" VM_MEMBERS ",\"weight\":1e300}", FALSE },
  { "a negative weight", "front-1", "{" VM_MEMBERS ",\"weight\":-1}", FALSE },
  { "a weight as a string", "front-1", "{" VM_MEMBERS ",\"weight\":\"1\"}", FALSE },
  { "a host name", "front-1", "{" VM_MEMBERS ",\"address\":\"front-1.example\"}", FALSE },
  { "an address as a number", "front-1", "{" VM_MEMBERS ",\"address\":7}", FALSE },
  { "no data centre", "front-1", "{\"address\":\"10.0.0.1\"}", FALSE },
  { "a name that is another path", "../servers/t0", "{" VM_MEMBERS "}", FALSE },
  { "a name that is the parent", "..", "{" VM_MEMBERS "}", FALSE },
  { "a name with a space", "front 1", "{" VM_MEMBERS "}", FALSE },
  { "a name with a query", "front-1?x=1", "{" VM_MEMBERS "}", FALSE },
  { "a list", "front-1", "[]", FALSE },
};

START_TEST (only_valid_objects_become_vms)
{
  const VmCase *row = &vm_cases[_i];
  char *text = g_strdup_printf (
    "{\"items\":[{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}],\"store_revision\":1}", row->vm,
    row->spec);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  ck_assert_ptr_nonnull (page);
  DpVm vm;
  gboolean is_accepted
    = dp_records_read_vm (&g_array_index (page->objects, DpStoreObject, 0), &vm, diagnostics);
  ck_assert_msg (is_accepted == row->is_accepted, "%s", row->name);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == (is_accepted ? 0 : 1), "%s", row->name);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

typedef struct VmRulesCase
{
  const char *name;
  const char *member;
  guint64 rules;
  guint diagnostics;
} VmRulesCase;

static const VmRulesCase vm_rules_cases[] = {
  { "of an older build", "", 0, 0 },
  { "of this build", ",\"rules\":1", 1, 0 },
  { "of a newer build, with a member that this one doesn't know", ",\"rules\":2,\"mood\":[{}]",
    2, 0 },
  { "out of range", ",\"rules\":1e300", 0, 1 },
  { "negative", ",\"rules\":-1", 0, 1 },
  { "a fraction", ",\"rules\":1.5", 0, 1 },
  { "a string", ",\"rules\":\"1\"", 0, 1 },
  { "null", ",\"rules\":null", 0, 0 },
};

START_TEST (a_vm_is_known_whatever_rules_it_states)
{
  const VmRulesCase *row = &vm_rules_cases[_i];
  char *text
    = g_strdup_printf ("{\"items\":[{\"metadata\":{\"name\":\"front-1\"},\"spec\":{" VM_MEMBERS
                       "%s}}],\"store_revision\":1}",
                       row->member);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  ck_assert_ptr_nonnull (page);
  DpVm vm;
  ck_assert_msg (
    dp_records_read_vm (&g_array_index (page->objects, DpStoreObject, 0), &vm, diagnostics),
    "%s", row->name);
  ck_assert_msg (vm.rules == row->rules, "%s: %u", row->name, (guint)vm.rules);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == row->diagnostics, "%s", row->name);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

START_TEST (a_written_vm_is_read_back)
{
  const DpVm vm = { .text = "front-1", .address = "10.0.0.1", .weight = 10880, .rules = 1 };
  char *body = dp_records_write_vm (&vm, "d");
  char *text = g_strdup_printf ("{\"items\":[%s],\"store_revision\":1}", body);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  ck_assert_ptr_nonnull (page);
  DpVm read;
  ck_assert (
    dp_records_read_vm (&g_array_index (page->objects, DpStoreObject, 0), &read, diagnostics));
  ck_assert_str_eq (read.text, vm.text);
  ck_assert_uint_eq (read.weight, vm.weight);
  ck_assert_uint_eq (read.rules, vm.rules);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
  g_free (body);
}
END_TEST

/* --- config --- */

typedef struct ConfigCase
{
  const char *name;
  const char *text;
  gboolean is_read;
  guint routes;
  guint diagnostics;
} ConfigCase;

#define ROUTE_MEMBERS "\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"kind\":\"safe\""

static const ConfigCase config_cases[] = {
  { "a route", "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"service\":\"s\"}]}", TRUE, 1,
    0 },
  { "no version", "{\"routes\":[]}", FALSE, 0, 1 },
  { "no routes", "{\"version\":1}", FALSE, 0, 1 },
  { "a route without a service", "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS "}]}", TRUE, 0,
    1 },
  { "an unknown kind",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"kind\":\"odd\",\"service\":\"s\"}]}", TRUE,
    0, 1 },
  { "a route that is not an object", "{\"version\":1,\"routes\":[5]}", TRUE, 0, 1 },
  { "a split",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"weighted_split\":[{\"service\":\"s\","
    "\"weight\":90},{\"service\":\"t\",\"weight\":10}]}]}",
    TRUE, 1, 0 },
  { "a part of a split without a service",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"weighted_split\":[{\"service\":\"s\","
    "\"weight\":90},{\"weight\":10}]}]}",
    TRUE, 1, 1 },
  { "a time as a string, a negative number",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"service\":\"s\",\"timeout_ms\":\"5\","
    "\"max_attempts\":-1}]}",
    TRUE, 1, 2 },
  { "a rate as a string, a key that is not a string",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS
    ",\"service\":\"s\"}],\"tenants\":[{\"name\":\"t\","
    "\"rate_per_s\":\"7\",\"api_keys\":[5]}]}",
    TRUE, 1, 2 },
  { "a version too large", "{\"version\":1e300,\"routes\":[]}", FALSE, 0, 1 },
  { "a negative version", "{\"version\":-1,\"routes\":[]}", FALSE, 0, 1 },
  { "a version that is no number", "{\"version\":NaN,\"routes\":[]}", FALSE, 0, 1 },
  { "a version that is no whole number", "{\"version\":1.5,\"routes\":[]}", FALSE, 0, 1 },
  { "numbers out of range",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"service\":\"s\",\"timeout_ms\":1e300,"
    "\"priority\":-1e300,\"max_attempts\":NaN}],\"tenants\":[{\"name\":\"t\",\"burst\":1e400,"
    "\"priority\":-1e300}]}",
    TRUE, 1, 5 },
  { "numbers missing or null",
    "{\"version\":1,\"routes\":[{" ROUTE_MEMBERS ",\"service\":\"s\",\"timeout_ms\":null}],"
    "\"tenants\":[{\"name\":\"t\"}]}",
    TRUE, 1, 0 },
};

/* Reads the config in steps of one row. */
static DpManifest *
read_config (const char *text, DpDiagnostics *diagnostics)
{
  const DpJsonSpan span = { .text = text, .length = strlen (text) };
  DpRowList *rows = dp_config_rows_split (&span, NULL, diagnostics);
  if (rows == NULL)
    return NULL;
  DpConfigReader *reader = dp_config_reader_new (rows, NULL, NULL);
  guint steps = 1;
  while (!dp_config_reader_step (reader, 1, diagnostics))
    steps++;
  ck_assert_uint_eq (steps, MAX (rows->rows->len, 1));
  DpManifest *manifest = dp_config_reader_finish (reader, diagnostics);
  dp_config_reader_free (reader);
  dp_row_list_unref (rows);
  return manifest;
}

START_TEST (configs_are_decoded_or_rejected)
{
  const ConfigCase *row = &config_cases[_i];
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = read_config (row->text, diagnostics);
  ck_assert_msg ((manifest != NULL) == row->is_read, "%s", row->name);
  if (manifest != NULL)
    ck_assert_msg (manifest->routes->len == row->routes, "%s", row->name);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == row->diagnostics, "%s", row->name);
  dp_manifest_unref (manifest);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

START_TEST (all_limits_of_callers_are_read)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = read_config (
    "{\"version\":1,\"routes\":[],\"limits\":{\"max_header_bytes\":1000,"
    "\"max_body_bytes\":2000,\"header_timeout_ms\":3000,\"idle_timeout_ms\":4000}}",
    diagnostics);
  ck_assert_ptr_nonnull (manifest);
  const DpCallerLimits *limits = &manifest->caller_limits;
  ck_assert_uint_eq (limits->head_bytes, 1000);
  ck_assert_uint_eq (limits->body_bytes, 2000);
  ck_assert_int_eq (limits->head_timeout, 3000 * DP_USEC_PER_MSEC);
  ck_assert_int_eq (limits->idle_timeout, 4000 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (dp_diagnostics_count (diagnostics), 0);
  dp_manifest_unref (manifest);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

START_TEST (the_longest_prefix_wins)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest = read_config (
    "{\"version\":1,\"routes\":["
    "{\"name\":\"short\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"kind\":\"safe\","
    "\"service\":\"s\"},"
    "{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/a/b/\",\"kind\":\"safe\","
    "\"service\":\"s\"}]}",
    diagnostics);
  ck_assert_str_eq (dp_manifest_find_route (manifest, "h", "/a/b/c")->text, "long");
  ck_assert_str_eq (dp_manifest_find_route (manifest, "H:80", "/a/c")->text, "short");
  ck_assert_ptr_null (dp_manifest_find_route (manifest, "h", "/a"));
  ck_assert_ptr_null (dp_manifest_find_route (manifest, "other", "/a/b/c"));
  dp_manifest_unref (manifest);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

/* --- what this system writes --- */

static DpStorePage *
read_written (char *body)
{
  char *text
    = g_strdup_printf ("{\"items\":[%s],\"has_more\":false,\"store_revision\":1}", body);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_page (text, strlen (text), FALSE, diagnostics);
  ck_assert_ptr_nonnull (page);
  ck_assert_uint_eq (page->objects->len, 1);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
  g_free (body);
  return page;
}

typedef struct WrittenVersionsCase
{
  char *versions[3];
  guint count;
  guint64 era;
  gsize label; /* bytes of a label at most */
} WrittenVersionsCase;

/* 62 bytes. */
#define TEXT_62 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcd"

static const WrittenVersionsCase written_versions_cases[] = {
  { { "v1" }, 1, 1, 63 },
  { { "v1", "v1.1" }, 2, 7, 63 },
  { { "" }, 1, 0, 63 },
  { { TEXT_62 "e" }, 1, 1, 63 },
  { { TEXT_62 "ef" }, 1, 1, 63 },
  { { TEXT_62 TEXT_62 TEXT_62 "a", TEXT_62 TEXT_62 TEXT_62 "b" }, 2, 1, 63 },
  { { "v1,a \"b\"" }, 1, 1, 63 },
  /* A character of two bytes at the cut. */
  { { TEXT_62 "\u00e9t\u00e9" }, 1, 1, 62 },
};

START_TEST (versions_are_read_as_written)
{
  const WrittenVersionsCase *row = &written_versions_cases[_i];
  GArray *versions = g_array_new (FALSE, FALSE, sizeof (DpSoftwareVersion));
  for (guint i = 0; i < row->count; i++)
    {
      const DpSoftwareVersion version = dp_software_version (row->versions[i]);
      g_array_append_val (versions, version);
    }
  const DpVersionList written = { .versions = versions, .era = row->era };
  DpStorePage *page = read_written (dp_records_write_versions (77, &written, 0));
  DpName pool = 0;
  DpVersionList read;
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  ck_assert (dp_records_read_versions (&g_array_index (page->objects, DpStoreObject, 0), &pool,
                                       &read, diagnostics));
  ck_assert_uint_eq (pool, 77);
  ck_assert_uint_eq (read.era, row->era);
  ck_assert_uint_eq (read.versions->len, row->count);
  for (guint i = 0; i < read.versions->len; i++)
    {
      const DpSoftwareVersion *version = &g_array_index (read.versions, DpSoftwareVersion, i);
      ck_assert_uint_eq (version->name, dp_name (row->versions[i]));
      ck_assert (g_str_has_prefix (row->versions[i], version->label));
      ck_assert_uint_eq (strlen (version->label), MIN (strlen (row->versions[i]), row->label));
    }
  g_array_unref (read.versions);
  g_array_unref (versions);
  dp_diagnostics_unref (diagnostics);
  dp_store_page_free (page);
}
END_TEST

typedef struct StoredVersionsCase
{
  const char *spec;
  gboolean is_read;
  guint64 era;
  guint diagnostics;
} StoredVersionsCase;

static const StoredVersionsCase stored_versions_cases[] = {
  { "{\"versions\":[\"v1\"],\"version_keys\":[\"07\"],\"store_era\":3}", TRUE, 3, 0 },
  /* of an older release */
  { "{\"versions\":[\"v1\",\"v2\"]}", TRUE, 0, 0 },
  { "{\"versions\":[],\"version_keys\":[],\"store_era\":1}", TRUE, 1, 0 },
  /* It must not pass for one of the present era, nor of a store that has none. */
  { "{\"versions\":[\"v1\"],\"store_era\":\"3\"}", TRUE, DP_STORE_ERA_INVALID, 1 },
  { "{\"versions\":[\"v1\"],\"store_era\":-1}", TRUE, DP_STORE_ERA_INVALID, 1 },
  { "{\"versions\":[\"v1\",\"v2\"],\"version_keys\":[\"07\"],\"store_era\":3}", FALSE, 3, 1 },
  { "{\"versions\":[\"v1\"],\"version_keys\":[\"x\"],\"store_era\":3}", FALSE, 3, 1 },
  { "{\"versions\":[1],\"store_era\":3}", FALSE, 3, 1 },
  { "{\"store_era\":3}", FALSE, 3, 1 },
};

/* TRUE if the list proves something in a store that states no era. */
static gboolean
is_complete_without_eras (DpName pool, const DpVersionList *list)
{
  const DpVersionsOptions options = { .stream_lifetime = DP_USEC_PER_SEC, .streams_max = 1 };
  DpVersions *versions = dp_versions_new (&options);
  gboolean is_complete = dp_versions_apply_list (versions, pool, list, 0, DP_USEC_PER_SEC);
  dp_versions_free (versions);
  return is_complete;
}

START_TEST (only_whole_lists_of_versions_are_read)
{
  const StoredVersionsCase *row = &stored_versions_cases[_i];
  char *text = g_strdup_printf (
    "{\"items\":[{\"metadata\":{\"name\":\"4d\",\"revision\":9},\"spec\":%s}],"
    "\"store_revision\":9}",
    row->spec);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  DpName pool = 0;
  DpVersionList list;
  ck_assert (dp_records_read_versions (&g_array_index (page->objects, DpStoreObject, 0), &pool,
                                       &list, diagnostics)
             == row->is_read);
  ck_assert_uint_eq (pool, 0x4d);
  ck_assert_uint_eq (list.era, row->era);
  ck_assert_uint_eq (dp_diagnostics_count (diagnostics), row->diagnostics);
  if (row->is_read)
    ck_assert (is_complete_without_eras (pool, &list) == (row->era == 0));
  g_clear_pointer (&list.versions, g_array_unref);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

START_TEST (streams_are_read_as_written)
{
  const DpStreamCopy rows[]
    = { { 1, 11 }, { G_MAXUINT64, 12 }, { 3, 11 }, { 0x0102030405060708ULL, G_MAXUINT64 } };
  DpStorePage *page
    = read_written (dp_records_write_streams ("group", rows, G_N_ELEMENTS (rows)));
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  GArray *read
    = dp_records_read_streams (&g_array_index (page->objects, DpStoreObject, 0), diagnostics);
  ck_assert_ptr_nonnull (read);
  ck_assert_uint_eq (read->len, G_N_ELEMENTS (rows));
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      guint found = 0;
      for (guint j = 0; j < read->len; j++)
        found += memcmp (&g_array_index (read, DpStreamCopy, j), &rows[i], sizeof rows[i]) == 0;
      ck_assert_uint_eq (found, 1);
    }
  g_array_unref (read);
  dp_diagnostics_unref (diagnostics);
  dp_store_page_free (page);
}
END_TEST

static const char *const malformed_streams[] = {
  "{}",
  "{\"streams\":[]}",
  "{\"streams\":{\"b\":7}}",
  "{\"streams\":{\"not a key\":\"AAAAAAAAAAE=\"}}",
  "{\"streams\":{\"b\":\"AAAAAAAAAA==\"}}",
};

START_TEST (malformed_streams_are_refused)
{
  char *text = g_strdup_printf ("{\"metadata\":{\"name\":\"group\"},\"spec\":%s}",
                                malformed_streams[_i]);
  DpStorePage *page = read_written (text);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  ck_assert_ptr_null (
    dp_records_read_streams (&g_array_index (page->objects, DpStoreObject, 0), diagnostics));
  ck_assert_uint_gt (dp_diagnostics_count (diagnostics), 0);
  dp_diagnostics_unref (diagnostics);
  dp_store_page_free (page);
}
END_TEST

START_TEST (blocks_are_read_as_written)
{
  DpSuspect state = { .key = 78, .is_blocked = TRUE, .joint = dp_key_set_new (2) };
  dp_key_set_append (state.joint, 78);
  dp_key_set_append (state.joint, 79);
  DpStorePage *page = read_written (dp_records_write_block (&state));
  DpSuspect read = { 0 };
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  ck_assert (dp_records_read_block (&g_array_index (page->objects, DpStoreObject, 0), &read,
                                    diagnostics));
  ck_assert_uint_eq (read.key, state.key);
  ck_assert_uint_eq (dp_key_set_count (read.joint), 2);
  ck_assert_uint_eq (dp_key_set_get (read.joint, 1), 79);
  dp_suspect_clear (&read);
  dp_suspect_clear (&state);
  dp_diagnostics_unref (diagnostics);
  dp_store_page_free (page);
}
END_TEST

/* --- roll-outs --- */

typedef struct RolloutCase
{
  const char *name;
  const char *object; /* members after the metadata */
  gboolean is_followed;
  const char *target;
  DpRolloutState state;
  guint diagnostics;
} RolloutCase;

#define IMAGE TEXT_62 "0123456789abcdef01234"
#define TEXT_248 TEXT_62 TEXT_62 TEXT_62 TEXT_62
#define TEXT_1023 TEXT_248 TEXT_248 TEXT_248 TEXT_248 "0123456789abcdef0123456789abcde"
#define ORDER(target, duration)                                                                \
  "\"spec\":{\"service\":\"app\",\"target\":" target ",\"duration_s\":" duration "}"
#define STATUS(state, target) ",\"status\":{\"state\":" state ",\"target\":" target "}"

/* What can't be followed must be told from no order at all, and keeps its version. */
static const RolloutCase rollout_cases[] = {
  { "an order", ORDER ("\"v2\"", "60"), TRUE, "v2", DP_ROLLOUT_NONE, 0 },
  { "a long name", ORDER ("\"" IMAGE "\"", "60") STATUS ("\"running\"", "\"" IMAGE "\""), TRUE,
    IMAGE, DP_ROLLOUT_RUNNING, 0 },
  { "the longest name", ORDER ("\"" TEXT_1023 "\"", "60"), TRUE, TEXT_1023, DP_ROLLOUT_NONE,
    0 },
  { "a longer name", ORDER ("\"" TEXT_1023 "f\"", "60"), FALSE, "", DP_ROLLOUT_NONE, 1 },
  { "a fraction of a second", ORDER ("\"v2\"", "0.5"), TRUE, "v2", DP_ROLLOUT_NONE, 0 },
  { "an unknown member", ORDER ("\"v2\"", "60,\"mood\":[{}]"), TRUE, "v2", DP_ROLLOUT_NONE, 0 },
  { "running", ORDER ("\"v2\"", "60") STATUS ("\"running\"", "\"v2\""), TRUE, "v2",
    DP_ROLLOUT_RUNNING, 0 },
  { "completed", ORDER ("\"v2\"", "60") STATUS ("\"completed\"", "\"v2\""), TRUE, "v2",
    DP_ROLLOUT_COMPLETED, 0 },
  { "rolled back", ORDER ("\"v2\"", "60") STATUS ("\"rolled_back\"", "\"v2\""), TRUE, "v2",
    DP_ROLLOUT_ROLLED_BACK, 0 },
  { "the status of an earlier order", ORDER ("\"v2\"", "60") STATUS ("\"completed\"", "\"v1\""),
    TRUE, "v2", DP_ROLLOUT_NONE, 0 },
  { "a status without a version",
    ORDER ("\"v2\"", "60") ",\"status\":{\"state\":\"completed\"}", TRUE, "v2", DP_ROLLOUT_NONE,
    0 },
  { "a status that is no object", ORDER ("\"v2\"", "60") ",\"status\":\"completed\"", TRUE,
    "v2", DP_ROLLOUT_NONE, 0 },
  { "an unknown state", ORDER ("\"v2\"", "60") STATUS ("\"paused\"", "\"v2\""), TRUE, "v2",
    DP_ROLLOUT_NONE, 1 },
  { "a state of another type", ORDER ("\"v2\"", "60") STATUS ("7", "\"v2\""), TRUE, "v2",
    DP_ROLLOUT_NONE, 1 },
  { "a duration of 0", ORDER ("\"v2\"", "0"), FALSE, "v2", DP_ROLLOUT_NONE, 1 },
  { "a negative duration", ORDER ("\"v2\"", "-1"), FALSE, "v2", DP_ROLLOUT_NONE, 1 },
  { "a text as duration", ORDER ("\"v2\"", "\"60\""), FALSE, "v2", DP_ROLLOUT_NONE, 1 },
  { "a duration out of range", ORDER ("\"v2\"", "1e300"), FALSE, "v2", DP_ROLLOUT_NONE, 1 },
  { "a duration below a microsecond", ORDER ("\"v2\"", "1e-9"), FALSE, "v2", DP_ROLLOUT_NONE,
    1 },
  { "no duration", "\"spec\":{\"service\":\"app\",\"target\":\"v2\"}", FALSE, "v2",
    DP_ROLLOUT_NONE, 1 },
  { "no service", "\"spec\":{\"target\":\"v2\",\"duration_s\":60}", FALSE, "v2",
    DP_ROLLOUT_NONE, 1 },
  { "another service", "\"spec\":{\"service\":\"b\",\"target\":\"v2\",\"duration_s\":60}",
    FALSE, "v2", DP_ROLLOUT_NONE, 1 },
  { "no target", "\"spec\":{\"service\":\"app\",\"duration_s\":60}", FALSE, "", DP_ROLLOUT_NONE,
    1 },
  { "an empty target", ORDER ("\"\"", "60"), FALSE, "", DP_ROLLOUT_NONE, 1 },
  { "a target of another type", ORDER ("2", "60"), FALSE, "", DP_ROLLOUT_NONE, 1 },
  { "no spec", "\"status\":{\"state\":\"running\",\"target\":\"v2\"}", FALSE, "",
    DP_ROLLOUT_NONE, 1 },
};

START_TEST (only_valid_orders_are_followed)
{
  const RolloutCase *row = &rollout_cases[_i];
  char *text = g_strdup_printf (
    "{\"items\":[{\"metadata\":{\"name\":\"app\",\"revision\":9,\"created_rev\":7},%s}],"
    "\"store_revision\":9}",
    row->object);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = read_page (text, FALSE, diagnostics);
  DpRolloutRow order;
  ck_assert (dp_records_read_rollout (&g_array_index (page->objects, DpStoreObject, 0), &order,
                                      diagnostics));
  ck_assert_msg ((order.duration > 0 && order.target[0] != '\0') == row->is_followed, "%s",
                 row->name);
  ck_assert_msg (strcmp (order.target, row->target) == 0, "%s: %s", row->name, order.target);
  ck_assert_msg (order.state == row->state, "%s: %d", row->name, order.state);
  ck_assert_msg (dp_diagnostics_count (diagnostics) == row->diagnostics, "%s: %u diagnostics",
                 row->name, dp_diagnostics_count (diagnostics));
  ck_assert_str_eq (order.service, "app");
  ck_assert_uint_eq (order.revision, 9);
  ck_assert_uint_eq (order.created, 7);
  dp_store_page_free (page);
  dp_diagnostics_unref (diagnostics);
  g_free (text);
}
END_TEST

/* The name becomes a part of the path of a write. */
START_TEST (an_order_whose_name_fits_no_path_is_ignored)
{
  static const char *const names[] = { "a/b", "a b", "..", "a?b" };
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      DpStoreObject object = { .name = (char *)names[i] };
      DpRolloutRow order;
      ck_assert_msg (!dp_records_read_rollout (&object, &order, diagnostics), "%s", names[i]);
    }
  ck_assert_uint_eq (dp_diagnostics_count (diagnostics), G_N_ELEMENTS (names));
  dp_diagnostics_unref (diagnostics);
}
END_TEST

START_TEST (a_written_status_is_read_back)
{
  static const DpRolloutState states[]
    = { DP_ROLLOUT_RUNNING, DP_ROLLOUT_COMPLETED, DP_ROLLOUT_ROLLED_BACK };
  const DpRolloutRow order = { .service = "app", .target = "v2", .revision = 17 };
  char *path = dp_records_rollout_status_path (&order);
  ck_assert_str_eq (path, "rollouts/app/status");
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    {
      char *text = dp_records_write_rollout_status (&order, states[i]);
      struct json_object *body = json_tokener_parse (text);
      json_object_object_add (body, "spec",
                              json_tokener_parse ("{\"service\":\"app\",\"target\":\"v2\","
                                                  "\"duration_s\":1}"));
      const char *whole = json_object_to_json_string (body);
      DpDiagnostics *diagnostics = dp_diagnostics_new ();
      DpStorePage *page = dp_records_read_object (whole, strlen (whole), diagnostics);
      DpRolloutRow read;
      ck_assert (dp_records_read_rollout (&g_array_index (page->objects, DpStoreObject, 0),
                                          &read, diagnostics));
      ck_assert_int_eq (read.state, states[i]);
      ck_assert_uint_eq (read.revision, 17);
      ck_assert_uint_eq (dp_diagnostics_count (diagnostics), 0);
      dp_store_page_free (page);
      dp_diagnostics_unref (diagnostics);
      json_object_put (body);
      g_free (text);
    }
  g_free (path);
}
END_TEST

START_TEST (a_response_without_an_object_is_not_read)
{
  static const char *const texts[]
    = { "", "{}", "[]", "{\"metadata\":{}}", "\xff", "{\"metadata" };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      DpDiagnostics *diagnostics = dp_diagnostics_new ();
      ck_assert_ptr_null (dp_records_read_object (texts[i], strlen (texts[i]), diagnostics));
      ck_assert_uint_eq (dp_diagnostics_count (diagnostics), 1);
      dp_diagnostics_unref (diagnostics);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("records");
  TCase *tests = tcase_create ("records");
  tcase_add_loop_test (tests, versions_are_read_as_written, 0,
                       G_N_ELEMENTS (written_versions_cases));
  tcase_add_loop_test (tests, only_whole_lists_of_versions_are_read, 0,
                       G_N_ELEMENTS (stored_versions_cases));
  tcase_add_test (tests, streams_are_read_as_written);
  tcase_add_loop_test (tests, malformed_streams_are_refused, 0,
                       G_N_ELEMENTS (malformed_streams));
  tcase_add_test (tests, blocks_are_read_as_written);
  tcase_add_loop_test (tests, only_valid_orders_are_followed, 0, G_N_ELEMENTS (rollout_cases));
  tcase_add_test (tests, an_order_whose_name_fits_no_path_is_ignored);
  tcase_add_test (tests, a_written_status_is_read_back);
  tcase_add_test (tests, a_response_without_an_object_is_not_read);
  tcase_add_loop_test (tests, pages_are_decoded_or_rejected, 0, G_N_ELEMENTS (page_cases));
  tcase_add_loop_test (tests, an_odd_row_spoils_no_other, 0, G_N_ELEMENTS (odd_row_cases));
  tcase_add_loop_test (tests, the_removal_of_an_odd_object_is_read, 0,
                       G_N_ELEMENTS (odd_row_cases));
  tcase_add_test (tests, a_cut_page_is_read_in_no_part);
  tcase_add_loop_test (tests, a_mutated_row_spoils_no_other, 1, 4);
  tcase_add_loop_test (tests, only_valid_objects_become_targets, 0,
                       G_N_ELEMENTS (target_cases));
  tcase_add_loop_test (tests, a_vm_is_known_whatever_rules_it_states, 0,
                       G_N_ELEMENTS (vm_rules_cases));
  tcase_add_test (tests, a_written_vm_is_read_back);
  tcase_add_loop_test (tests, only_valid_objects_become_vms, 0, G_N_ELEMENTS (vm_cases));
  tcase_add_loop_test (tests, configs_are_decoded_or_rejected, 0, G_N_ELEMENTS (config_cases));
  tcase_add_test (tests, all_limits_of_callers_are_read);
  tcase_add_test (tests, the_longest_prefix_wins);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
