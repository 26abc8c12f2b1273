#include "manifest/delta.h"

#include "common/id.h"

#include <msgpack.h>
#include <string.h>

/* Pieces end after a line, an object or a list, or at this length. */
#define PIECE_BYTES_MAX 512

typedef struct Piece
{
  gsize offset;
  gsize length;
} Piece;

/* A text cut into pieces. */
typedef struct Pieces
{
  const char *text;
  GArray *rows; /* Piece */
} Pieces;

G_DEFINE_QUARK (dp - delta - error - quark, dp_delta_error)

static gboolean
ends_piece (char c)
{
  return c == '\n' || c == '}' || c == ']';
}

static Pieces
cut (GBytes *bytes)
{
  gsize length;
  Pieces pieces = { .text = g_bytes_get_data (bytes, &length) };
  pieces.rows = g_array_new (FALSE, FALSE, sizeof (Piece));
  gsize start = 0;
  for (gsize at = 0; at < length; at++)
    {
      gboolean is_last = at + 1 == length;
      if (!is_last && !ends_piece (pieces.text[at]) && at + 1 - start < PIECE_BYTES_MAX)
        continue;
      Piece piece = { start, at + 1 - start };
      g_array_append_val (pieces.rows, piece);
      start = at + 1;
    }
  return pieces;
}

static const Piece *
piece_at (const Pieces *pieces, guint index)
{
  return &g_array_index (pieces->rows, Piece, index);
}

static gboolean
same_piece (const Pieces *a, guint i, const Pieces *b, guint k)
{
  const Piece *left = piece_at (a, i);
  const Piece *right = piece_at (b, k);
  return left->length == right->length
         && memcmp (a->text + left->offset, b->text + right->offset, left->length) == 0;
}

static guint64
hash_piece (const Pieces *pieces, guint index)
{
  const Piece *piece = piece_at (pieces, index);
  return dp_hash_bytes (pieces->text + piece->offset, piece->length, 0);
}

/* Hash of each piece -> its first index + 1. */
static GHashTable *
index_pieces (const Pieces *pieces)
{
  GHashTable *index = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = pieces->rows->len; i > 0; i--)
    {
      guint64 hash = hash_piece (pieces, i - 1);
      g_hash_table_replace (index, g_memdup2 (&hash, sizeof hash), GUINT_TO_POINTER (i));
    }
  return index;
}

/* Index of an equal piece of the old text, `expected` if that one is; -1: there is none. */
static int
find_equal (const Pieces *old, GHashTable *index, guint expected, const Pieces *new_, guint at)
{
  if (expected < old->rows->len && same_piece (old, expected, new_, at))
    return (int)expected;
  guint64 hash = hash_piece (new_, at);
  gpointer found = g_hash_table_lookup (index, &hash);
  if (found == NULL)
    return -1;
  guint candidate = GPOINTER_TO_UINT (found) - 1;
  return same_piece (old, candidate, new_, at) ? (int)candidate : -1;
}

/* One stretch of the new text: copied from the old one, or given. */
typedef struct Stretch
{
  gboolean is_copy;
  gsize offset; /* in the old text, or in the new one */
  gsize length;
} Stretch;

static void
add_stretch (GArray *stretches, gboolean is_copy, gsize offset, gsize length)
{
  if (stretches->len > 0)
    {
      Stretch *last = &g_array_index (stretches, Stretch, stretches->len - 1);
      if (last->is_copy == is_copy && last->offset + last->length == offset)
        {
          last->length += length;
          return;
        }
    }
  Stretch stretch = { is_copy, offset, length };
  g_array_append_val (stretches, stretch);
}

static GArray *
compare (const Pieces *old, const Pieces *new_)
{
  GArray *stretches = g_array_new (FALSE, FALSE, sizeof (Stretch));
  GHashTable *index = index_pieces (old);
  guint expected = 0;
  for (guint at = 0; at < new_->rows->len; at++)
    {
      const Piece *piece = piece_at (new_, at);
      int equal = find_equal (old, index, expected, new_, at);
      if (equal >= 0)
        add_stretch (stretches, TRUE, piece_at (old, (guint)equal)->offset, piece->length);
      else
        add_stretch (stretches, FALSE, piece->offset, piece->length);
      /* A changed piece mostly stands in the place of an old one. */
      expected = equal >= 0 ? (guint)equal + 1 : expected + 1;
    }
  g_hash_table_unref (index);
  return stretches;
}

static GBytes *
pack (const GArray *stretches, const char *new_text)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, stretches->len);
  for (guint i = 0; i < stretches->len; i++)
    {
      const Stretch *stretch = &g_array_index (stretches, Stretch, i);
      if (stretch->is_copy)
        {
          msgpack_pack_array (&packer, 2);
          msgpack_pack_uint64 (&packer, stretch->offset);
          msgpack_pack_uint64 (&packer, stretch->length);
          continue;
        }
      msgpack_pack_bin (&packer, stretch->length);
      msgpack_pack_bin_body (&packer, new_text + stretch->offset, stretch->length);
    }
  GBytes *packed = g_bytes_new (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return packed;
}

GBytes *
dp_delta_make (GBytes *old_text, GBytes *new_text)
{
  Pieces old = cut (old_text);
  Pieces new_ = cut (new_text);
  GArray *stretches = compare (&old, &new_);
  GBytes *delta = pack (stretches, new_.text);
  g_array_unref (stretches);
  g_array_unref (old.rows);
  g_array_unref (new_.rows);
  return delta;
}

/* --- applying --- */

/* Bytes of one piece; NULL if it is malformed. */
static const char *
read_piece (const msgpack_object *object, GBytes *old_text, gsize *length)
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
join (
  const msgpack_object *root, GBytes *old_text, gsize size_max, GByteArray *out, GError **error)
{
  if (root->type != MSGPACK_OBJECT_ARRAY)
    {
      g_set_error_literal (error, DP_DELTA_ERROR, DP_DELTA_ERROR_MALFORMED,
                           "the delta is not an array");
      return FALSE;
    }
  for (guint32 i = 0; i < root->via.array.size; i++)
    {
      gsize length = 0;
      const char *piece = read_piece (&root->via.array.ptr[i], old_text, &length);
      if (piece == NULL)
        {
          g_set_error (error, DP_DELTA_ERROR, DP_DELTA_ERROR_MALFORMED,
                       "piece %u of the delta does not fit the old text", i);
          return FALSE;
        }
      if (length > size_max - out->len)
        {
          g_set_error (error, DP_DELTA_ERROR, DP_DELTA_ERROR_TOO_LARGE,
                       "the new text is over %" G_GSIZE_FORMAT " bytes", size_max);
          return FALSE;
        }
      g_byte_array_append (out, (const guint8 *)piece, (guint)length);
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
                         "the delta is not one msgpack value");
  else
    ok = join (&unpacked.data, old_text, size_max, out, error);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return g_byte_array_free_to_bytes (out);
  g_byte_array_unref (out);
  return NULL;
}
