#include "manifest/delta.h"

#include "common/id.h"

#include <msgpack.h>
#include <string.h>

/* A chunk ends after a newline, '}' or ']', or at this length. */
#define CHUNK_BYTES_MAX 512

typedef struct Chunk
{
  gsize offset;
  gsize length;
} Chunk;

typedef struct ChunkedText
{
  const char *text;
  GArray *rows; /* Chunk */
} ChunkedText;

G_DEFINE_QUARK (dp - delta - error - quark, dp_delta_error)

static gboolean
ends_chunk (char c)
{
  return c == '\n' || c == '}' || c == ']';
}

static ChunkedText
split_chunks (GBytes *bytes)
{
  gsize length;
  ChunkedText chunks = { .text = g_bytes_get_data (bytes, &length) };
  chunks.rows = g_array_new (FALSE, FALSE, sizeof (Chunk));
  gsize start = 0;
  for (gsize at = 0; at < length; at++)
    {
      gboolean is_last = at + 1 == length;
      if (!is_last && !ends_chunk (chunks.text[at]) && at + 1 - start < CHUNK_BYTES_MAX)
        continue;
      Chunk chunk = { start, at + 1 - start };
      g_array_append_val (chunks.rows, chunk);
      start = at + 1;
    }
  return chunks;
}

static const Chunk *
chunk_at (const ChunkedText *chunks, guint index)
{
  return &g_array_index (chunks->rows, Chunk, index);
}

static gboolean
chunks_equal (const ChunkedText *a, guint i, const ChunkedText *b, guint k)
{
  const Chunk *left = chunk_at (a, i);
  const Chunk *right = chunk_at (b, k);
  return left->length == right->length
         && memcmp (a->text + left->offset, b->text + right->offset, left->length) == 0;
}

static guint64
hash_chunk (const ChunkedText *chunks, guint index)
{
  const Chunk *chunk = chunk_at (chunks, index);
  return dp_hash_bytes (chunks->text + chunk->offset, chunk->length, 0);
}

/* Maps the hash of each chunk to the index of its first occurrence + 1. */
static GHashTable *
index_chunks (const ChunkedText *chunks)
{
  GHashTable *index = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = chunks->rows->len; i > 0; i--)
    {
      guint64 hash = hash_chunk (chunks, i - 1);
      g_hash_table_replace (index, g_memdup2 (&hash, sizeof hash), GUINT_TO_POINTER (i));
    }
  return index;
}

/* Returns the index of an equal chunk in the old text, preferably `expected`, or -1. */
static int
find_equal_chunk (
  const ChunkedText *old, GHashTable *index, guint expected, const ChunkedText *new_, guint at)
{
  if (expected < old->rows->len && chunks_equal (old, expected, new_, at))
    return (int)expected;
  guint64 hash = hash_chunk (new_, at);
  gpointer found = g_hash_table_lookup (index, &hash);
  if (found == NULL)
    return -1;
  guint candidate = GPOINTER_TO_UINT (found) - 1;
  return chunks_equal (old, candidate, new_, at) ? (int)candidate : -1;
}

/* Part of the new text: a copy of a range of the old text, or literal bytes. */
typedef struct Operation
{
  gboolean is_copy;
  gsize offset; /* copy: in the old text; literal: in the new text */
  gsize length;
} Operation;

static void
add_operation (GArray *operations, gboolean is_copy, gsize offset, gsize length)
{
  if (operations->len > 0)
    {
      Operation *last = &g_array_index (operations, Operation, operations->len - 1);
      if (last->is_copy == is_copy && last->offset + last->length == offset)
        {
          last->length += length;
          return;
        }
    }
  Operation operation = { is_copy, offset, length };
  g_array_append_val (operations, operation);
}

static GArray *
compute_operations (const ChunkedText *old, const ChunkedText *new_)
{
  GArray *operations = g_array_new (FALSE, FALSE, sizeof (Operation));
  GHashTable *index = index_chunks (old);
  guint expected = 0;
  for (guint at = 0; at < new_->rows->len; at++)
    {
      const Chunk *chunk = chunk_at (new_, at);
      int equal = find_equal_chunk (old, index, expected, new_, at);
      if (equal >= 0)
        add_operation (operations, TRUE, chunk_at (old, (guint)equal)->offset, chunk->length);
      else
        add_operation (operations, FALSE, chunk->offset, chunk->length);
      /* A chunk that differs usually replaces one chunk of the old text. */
      expected = equal >= 0 ? (guint)equal + 1 : expected + 1;
    }
  g_hash_table_unref (index);
  return operations;
}

static GBytes *
pack_operations (const GArray *operations, const char *new_text)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, operations->len);
  for (guint i = 0; i < operations->len; i++)
    {
      const Operation *operation = &g_array_index (operations, Operation, i);
      if (operation->is_copy)
        {
          msgpack_pack_array (&packer, 2);
          msgpack_pack_uint64 (&packer, operation->offset);
          msgpack_pack_uint64 (&packer, operation->length);
          continue;
        }
      msgpack_pack_bin (&packer, operation->length);
      msgpack_pack_bin_body (&packer, new_text + operation->offset, operation->length);
    }
  GBytes *packed = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return packed;
}

GBytes *
dp_delta_make (GBytes *old_text, GBytes *new_text)
{
  ChunkedText old = split_chunks (old_text);
  ChunkedText new_ = split_chunks (new_text);
  GArray *operations = compute_operations (&old, &new_);
  GBytes *delta = pack_operations (operations, new_.text);
  g_array_unref (operations);
  g_array_unref (old.rows);
  g_array_unref (new_.rows);
  return delta;
}

/* --- applying a delta --- */

/* Returns the bytes that one operation produces, or NULL if it is malformed. */
static const char *
read_operation (const msgpack_object *object, GBytes *old_text, gsize *length)
{
  gsize old_length;
  const char *old = g_bytes_get_data (old_text, &old_length);
  if (object->type == MSGPACK_OBJECT_BIN)
    {
      *length = object->via.bin.size;
      return object->via.bin.ptr;
    }
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2)
    return NULL;
  const msgpack_object *numbers = object->via.array.ptr;
  if (numbers[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || numbers[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return NULL;
  guint64 offset = numbers[0].via.u64;
  guint64 wanted = numbers[1].via.u64;
  if (offset > old_length || wanted > old_length - offset)
    return NULL;
  *length = wanted;
  return old + offset;
}

static gboolean
apply_operations (
  const msgpack_object *root, GBytes *old_text, gsize size_max, GByteArray *out, GError **error)
{
  if (root->type != MSGPACK_OBJECT_ARRAY)
    {
      g_set_error_literal (error, DP_DELTA_ERROR, DP_DELTA_ERROR_MALFORMED,
                           "the delta is not a msgpack array");
      return FALSE;
    }
  for (guint32 i = 0; i < root->via.array.size; i++)
    {
      gsize length = 0;
      const char *data = read_operation (&root->via.array.ptr[i], old_text, &length);
      if (data == NULL)
        {
          g_set_error (error, DP_DELTA_ERROR, DP_DELTA_ERROR_MALFORMED,
                       "operation %u of the delta is malformed or out of range", i);
          return FALSE;
        }
      if (length > size_max - out->len)
        {
          g_set_error (error, DP_DELTA_ERROR, DP_DELTA_ERROR_TOO_LARGE,
                       "the new text exceeds %" G_GSIZE_FORMAT " bytes", size_max);
          return FALSE;
        }
      g_byte_array_append (out, (const guint8 *)data, (guint)length);
    }
  return TRUE;
}

GBytes *
dp_delta_apply (
  GBytes *old_text, const void *delta, gsize length, gsize size_max, GError **error)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  GByteArray *out = g_byte_array_new ();
  gsize offset = 0;
  gboolean ok
    = msgpack_unpack_next (&unpacked, delta, length, &offset) == MSGPACK_UNPACK_SUCCESS
      && offset == length;
  if (!ok)
    g_set_error_literal (error, DP_DELTA_ERROR, DP_DELTA_ERROR_MALFORMED,
                         "the delta is not a single msgpack value");
  else
    ok = apply_operations (&unpacked.data, old_text, size_max, out, error);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return g_byte_array_free_to_bytes (out);
  g_byte_array_unref (out);
  return NULL;
}
