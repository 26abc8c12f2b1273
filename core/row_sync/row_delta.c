#include "core/row_sync/row_delta.h"

#include <msgpack.h>

/* Steps are a sequence of MessagePack values: [first row, number of rows] to copy rows of the
 * base, or [section, text as binary data] for a new row, without arrays around them. A value of
 * any other type is refused before it is unpacked, since an array's header can make the library
 * allocate memory for elements that never come. */

/* Bytes of a step besides its text: a section and the header of binary data, or two numbers. */
#define STEP_BYTES_MAX 10

G_DEFINE_QUARK (dp - row - delta - error - quark, dp_row_delta_error)

/* A run of rows of the new list. */
typedef struct Run
{
  guint first; /* in the new list */
  guint count;
  gboolean is_copy;
  guint base_first; /* of a copy */
} Run;

struct DpRowDelta
{
  DpRowList *base; /* may be NULL */
  DpRowList *list;
  GArray *runs; /* Run: all rows of `list`, in order */
};

static void
add_run (DpRowDelta *delta, const Run *run)
{
  if (run->count == 0)
    return;
  if (delta->runs->len > 0)
    {
      Run *last = &g_array_index (delta->runs, Run, delta->runs->len - 1);
      if (last->is_copy == run->is_copy
          && (!run->is_copy || last->base_first + last->count == run->base_first))
        {
          last->count += run->count;
          return;
        }
    }
  g_array_append_vals (delta->runs, run, 1);
}

static guint
count_equal_at_start (const DpRowList *base, const DpRowList *list)
{
  guint most = MIN (base->rows->len, list->rows->len);
  guint count = 0;
  while (count < most
         && dp_row_equal (DP_ROW_LIST_ROW (base, count), DP_ROW_LIST_ROW (list, count)))
    count++;
  return count;
}

static guint
count_equal_at_end (const DpRowList *base, const DpRowList *list, guint at_start)
{
  guint most = MIN (base->rows->len, list->rows->len) - at_start;
  guint count = 0;
  while (count < most
         && dp_row_equal (DP_ROW_LIST_ROW (base, base->rows->len - 1 - count),
                          DP_ROW_LIST_ROW (list, list->rows->len - 1 - count)))
    count++;
  return count;
}

/* Runs for the rows of the new list from `begin` to `end`, which are looked for in the base
 * from `begin` to `base_end`. */
static void
add_middle (DpRowDelta *delta, guint begin, guint end, guint base_end)
{
  GHashTable *known = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = base_end; i > begin; i--)
    g_hash_table_insert (known, &DP_ROW_LIST_ROW (delta->base, i - 1)->hash,
                         GUINT_TO_POINTER (i));
  guint expected = begin;
  for (guint i = begin; i < end; i++)
    {
      const DpRow *row = DP_ROW_LIST_ROW (delta->list, i);
      if (expected >= base_end || !dp_row_equal (DP_ROW_LIST_ROW (delta->base, expected), row))
        {
          guint found = GPOINTER_TO_UINT (g_hash_table_lookup (known, &row->hash));
          if (found == 0 || !dp_row_equal (DP_ROW_LIST_ROW (delta->base, found - 1), row))
            {
              add_run (delta, &(Run){ .first = i, .count = 1 });
              continue;
            }
          expected = found - 1;
        }
      add_run (delta,
               &(Run){ .first = i, .count = 1, .is_copy = TRUE, .base_first = expected });
      expected++;
    }
  g_hash_table_unref (known);
}

DpRowDelta *
dp_row_delta_new (DpRowList *base, DpRowList *list)
{
  DpRowDelta *delta = g_new0 (DpRowDelta, 1);
  delta->base = base != NULL ? dp_row_list_ref (base) : NULL;
  delta->list = dp_row_list_ref (list);
  delta->runs = g_array_new (FALSE, FALSE, sizeof (Run));
  if (base == NULL)
    {
      add_run (delta, &(Run){ .count = list->rows->len });
      return delta;
    }
  guint at_start = count_equal_at_start (base, list);
  guint at_end = count_equal_at_end (base, list, at_start);
  guint end = list->rows->len - at_end;
  guint base_end = base->rows->len - at_end;
  add_run (delta, &(Run){ .count = at_start, .is_copy = TRUE });
  add_middle (delta, at_start, end, base_end);
  add_run (delta,
           &(Run){ .first = end, .count = at_end, .is_copy = TRUE, .base_first = base_end });
  return delta;
}

void
dp_row_delta_free (DpRowDelta *delta)
{
  if (delta == NULL)
    return;
  dp_row_list_unref (delta->base);
  dp_row_list_unref (delta->list);
  g_array_unref (delta->runs);
  g_free (delta);
}

gboolean
dp_row_delta_is_of (const DpRowDelta *delta, const DpRowList *base, const DpRowList *list)
{
  return delta->base == base && delta->list == list;
}

/* --- encoding --- */

static int
append_bytes (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)length);
  return 0;
}

static void
encode_row (msgpack_packer *packer, const DpRow *row)
{
  msgpack_pack_uint32 (packer, row->section);
  msgpack_pack_bin (packer, row->length);
  if (row->length > 0)
    msgpack_pack_bin_body (packer, row->text, row->length);
}

/* Encodes rows of the run from index `first` of the list on. FALSE if not all did fit. */
static gboolean
encode_run (
  msgpack_packer *packer, const DpRowDelta *delta, const Run *run, guint first, gsize bytes_max)
{
  const GByteArray *out = packer->data;
  guint end = run->first + run->count;
  if (run->is_copy)
    {
      if (out->len > 0 && out->len + STEP_BYTES_MAX > bytes_max)
        return FALSE;
      msgpack_pack_uint32 (packer, run->base_first + first - run->first);
      msgpack_pack_uint32 (packer, end - first);
      return TRUE;
    }
  for (guint i = first; i < end; i++)
    {
      const DpRow *row = DP_ROW_LIST_ROW (delta->list, i);
      if (out->len > 0 && out->len + STEP_BYTES_MAX + row->length > bytes_max)
        return FALSE;
      encode_row (packer, row);
    }
  return TRUE;
}

GBytes *
dp_row_delta_encode (const DpRowDelta *delta, guint first, gsize bytes_max)
{
  GByteArray *out = g_byte_array_new ();
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, append_bytes);
  for (guint i = 0; i < delta->runs->len; i++)
    {
      const Run *run = &g_array_index (delta->runs, Run, i);
      if (run->first + run->count <= first)
        continue;
      if (!encode_run (&packer, delta, run, MAX (first, run->first), bytes_max))
        break;
    }
  return g_byte_array_free_to_bytes (out);
}

/* --- decoding --- */

static gboolean
fail (GError **error, DpRowDeltaError code, const char *problem)
{
  g_set_error_literal (error, DP_ROW_DELTA_ERROR, code, problem);
  return FALSE;
}

/* TRUE if the byte begins an unsigned number or binary data. */
static gboolean
begins_scalar (guint8 byte)
{
  gboolean is_number = byte <= 0x7f || (byte >= 0xcc && byte <= 0xcf);
  gboolean is_binary = byte >= 0xc4 && byte <= 0xc6;
  return is_number || is_binary;
}

typedef struct Reader
{
  const char *data;
  gsize length;
  gsize offset;
  gsize bytes; /* of the texts read so far */
  msgpack_unpacked unpacked;
} Reader;

static gboolean
read_value (Reader *reader, msgpack_object *out)
{
  if (reader->offset >= reader->length || !begins_scalar ((guint8)reader->data[reader->offset])
      || msgpack_unpack_next (&reader->unpacked, reader->data, reader->length, &reader->offset)
           != MSGPACK_UNPACK_SUCCESS)
    return FALSE;
  *out = reader->unpacked.data;
  return TRUE;
}

static gboolean
copy_rows (const DpRowList *base, guint64 first, guint64 count, GPtrArray *rows, GError **error)
{
  if (base == NULL || count == 0 || first >= base->rows->len || count > base->rows->len - first)
    return fail (error, DP_ROW_DELTA_ERROR_MALFORMED, "copies rows that the base doesn't have");
  if (count > DP_ROW_LIST_ROWS_MAX - rows->len)
    return fail (error, DP_ROW_DELTA_ERROR_TOO_LARGE, "too many rows");
  for (guint64 i = first; i < first + count; i++)
    g_ptr_array_add (rows, dp_row_ref (DP_ROW_LIST_ROW (base, (guint)i)));
  return TRUE;
}

static gboolean
add_row (Reader *reader,
         guint64 section,
         const msgpack_object_bin *text,
         GPtrArray *rows,
         GError **error)
{
  if (section >= DP_ROW_SECTIONS)
    return fail (error, DP_ROW_DELTA_ERROR_MALFORMED, "unknown section");
  reader->bytes += text->size;
  if (rows->len >= DP_ROW_LIST_ROWS_MAX || reader->bytes > DP_ROW_LIST_BYTES_MAX)
    return fail (error, DP_ROW_DELTA_ERROR_TOO_LARGE, "too many rows or bytes");
  g_ptr_array_add (rows, dp_row_new ((guint)section, text->ptr, text->size));
  return TRUE;
}

static gboolean
is_in_order (const GPtrArray *rows, guint from)
{
  for (guint i = MAX (from, 1); i < rows->len; i++)
    {
      const DpRow *row = g_ptr_array_index (rows, i);
      const DpRow *before = g_ptr_array_index (rows, i - 1);
      if (row->section < before->section)
        return FALSE;
    }
  return TRUE;
}

static gboolean
read_steps (Reader *reader, const DpRowList *base, GPtrArray *rows, GError **error)
{
  msgpack_object first, second;
  guint from = rows->len;
  while (reader->offset < reader->length)
    {
      if (!read_value (reader, &first) || first.type != MSGPACK_OBJECT_POSITIVE_INTEGER
          || !read_value (reader, &second))
        return fail (error, DP_ROW_DELTA_ERROR_MALFORMED, "not a step");
      gboolean ok = second.type == MSGPACK_OBJECT_BIN
                      ? add_row (reader, first.via.u64, &second.via.bin, rows, error)
                      : copy_rows (base, first.via.u64, second.via.u64, rows, error);
      if (!ok)
        return FALSE;
    }
  return is_in_order (rows, from)
         || fail (error, DP_ROW_DELTA_ERROR_MALFORMED, "sections out of order");
}

gboolean
dp_row_delta_decode (const DpRowList *base, GBytes *steps, GPtrArray *rows, GError **error)
{
  Reader reader = { 0 };
  reader.data = g_bytes_get_data (steps, &reader.length);
  msgpack_unpacked_init (&reader.unpacked);
  gboolean ok = read_steps (&reader, base, rows, error);
  msgpack_unpacked_destroy (&reader.unpacked);
  return ok;
}
