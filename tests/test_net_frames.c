/* Frames that earlier builds wrote, kept in tests/frames/. */
#include "net/codec.h"
#include "net/codec_fields.h"

#include <check.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define BODY 4

static const char *const builds[] = { "05b3106", "69a6221", "4f1e85e" };

/* Kinds that have another name now. */
static const struct
{
  const char *then;
  const char *now;
} renamed[] = { { "quarantine_report", "suspect_report" } };

/* Members that are skipped now. */
static const struct
{
  const char *name;
  guint64 key;
} dropped[] = { { "quarantine_report", 1 },
                { "quarantine_report", 2 },
                { "quarantine_report", 3 },
                { "quarantine_report", 4 } };

static gboolean
is_dropped (const char *name, guint64 key)
{
  for (guint i = 0; i < G_N_ELEMENTS (dropped); i++)
    if (strcmp (dropped[i].name, name) == 0 && dropped[i].key == key)
      return TRUE;
  return FALSE;
}

static const char *
name_now (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (renamed); i++)
    if (strcmp (renamed[i].then, name) == 0)
      return renamed[i].now;
  return name;
}

static GByteArray *
read_hex (const char *text)
{
  GByteArray *bytes = g_byte_array_new ();
  for (; g_ascii_isxdigit (text[0]) && g_ascii_isxdigit (text[1]); text += 2)
    {
      guint8 byte
        = (guint8)(g_ascii_xdigit_value (text[0]) * 16 + g_ascii_xdigit_value (text[1]));
      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

static gboolean
is_empty (const msgpack_object *value)
{
  switch (value->type)
    {
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
      return value->via.u64 == 0;
    case MSGPACK_OBJECT_STR:
      return value->via.str.size == 0;
    case MSGPACK_OBJECT_ARRAY:
      return value->via.array.size == 0;
    case MSGPACK_OBJECT_BIN:
      for (guint i = 0; i < value->via.bin.size; i++)
        if (value->via.bin.ptr[i] != 0)
          return FALSE;
      return TRUE;
    default:
      return FALSE;
    }
}

static const msgpack_object *
find_key (const msgpack_object *map, guint64 key)
{
  for (guint i = 0; i < map->via.map.size; i++)
    if (map->via.map.ptr[i].key.via.u64 == key)
      return &map->via.map.ptr[i].val;
  return NULL;
}

static void check_struct (const char *name,
                          const DpFieldTable *table,
                          const msgpack_object *then,
                          const msgpack_object *now);

static void
check_value (const char *name,
             const DpField *field,
             const msgpack_object *then,
             const msgpack_object *now)
{
  if (field->element_table == NULL)
    {
      gboolean is_capped = field->kind == DP_FIELD_USEC
                           && then->via.u64 > (guint64)DP_CODEC_DURATION_MAX
                           && now->via.u64 == (guint64)DP_CODEC_DURATION_MAX;
      ck_assert_msg (is_capped || msgpack_object_equal (*then, *now), "%s: member %u", name,
                     field->key);
      return;
    }
  ck_assert_uint_eq (then->via.array.size, now->via.array.size);
  for (guint i = 0; i < then->via.array.size; i++)
    check_struct (name, field->element_table, &then->via.array.ptr[i], &now->via.array.ptr[i]);
}

/* `now` is what this build makes of `then`: members keep their values, and those that `then`
 * lacks are empty. */
static void
check_struct (const char *name,
              const DpFieldTable *table,
              const msgpack_object *then,
              const msgpack_object *now)
{
  ck_assert_uint_eq (now->via.map.size, table->count);
  for (guint i = 0; i < then->via.map.size; i++)
    {
      guint64 key = then->via.map.ptr[i].key.via.u64;
      ck_assert_msg (find_key (now, key) != NULL || is_dropped (name, key),
                     "%s: member %u is skipped", name, (guint)key);
    }
  for (guint i = 0; i < table->count; i++)
    {
      const DpField *field = &table->fields[i];
      const msgpack_object *old_value = find_key (then, field->key);
      const msgpack_object *value = find_key (now, field->key);
      ck_assert_ptr_nonnull (value);
      if (old_value != NULL)
        check_value (name, field, old_value, value);
      else
        ck_assert_msg (is_empty (value), "%s: member %u is not empty", name, field->key);
    }
}

static void
unpack (msgpack_unpacked *unpacked, const GByteArray *frame)
{
  gsize offset = 0;
  msgpack_unpacked_init (unpacked);
  ck_assert_int_eq (
    msgpack_unpack_next (unpacked, (const char *)frame->data, frame->len, &offset),
    MSGPACK_UNPACK_SUCCESS);
}

static void
check_frame (const char *name, const GByteArray *frame)
{
  DpPeer from;
  DpMessage message;
  GError *error = NULL;
  ck_assert_msg (dp_codec_decode (frame->data, frame->len, &from, &message, &error), "%s: %s",
                 name, error != NULL ? error->message : "");
  ck_assert_str_eq (dp_message_type_name (message.type), name_now (name));
  GByteArray *reencoded = dp_codec_encode (from, &message);
  msgpack_unpacked then;
  msgpack_unpacked now;
  unpack (&then, frame);
  unpack (&now, reencoded);
  check_struct (name, dp_codec_fields (message.type), &then.data.via.array.ptr[BODY],
                &now.data.via.array.ptr[BODY]);
  msgpack_unpacked_destroy (&then);
  msgpack_unpacked_destroy (&now);
  g_byte_array_unref (reencoded);
  dp_message_clear (&message);
}

START_TEST (frames_of_earlier_builds_are_read)
{
  char *path = g_strdup_printf ("%s/%s.txt", DP_FRAMES_FOLDER, builds[_i]);
  char *text = NULL;
  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  guint count = 0;
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char *blank = strchr (lines[i], ' ');
      if (lines[i][0] == '#' || blank == NULL)
        continue;
      *blank = '\0';
      GByteArray *frame = read_hex (blank + 1);
      check_frame (lines[i], frame);
      g_byte_array_unref (frame);
      count++;
    }
  ck_assert_uint_gt (count, 0);
  g_strfreev (lines);
  g_free (text);
  g_free (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("net_frames");
  TCase *tests = tcase_create ("net_frames");
  tcase_add_loop_test (tests, frames_of_earlier_builds_are_read, 0, G_N_ELEMENTS (builds));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
