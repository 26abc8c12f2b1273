#include "net/codec.h"

#include "net/codec_fields.h"
#include "net/frame_check.h"

#include <msgpack.h>
#include <string.h>

/* Indices of a frame's elements. */
enum
{
  FRAME_VERSION,
  FRAME_TYPE,
  FRAME_VM,
  FRAME_ROLE,
  FRAME_BODY,
  FRAME_ELEMENTS,
};

#define ID_BYTES 16

G_DEFINE_QUARK (dp - codec - error, dp_codec_error)

static int
append_bytes (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)length);
  return 0;
}

static void pack_struct (msgpack_packer *packer, const DpFieldTable *table, const char *base);

static void
pack_id (msgpack_packer *packer, const DpId *id)
{
  guint64 halves[2] = { GUINT64_TO_BE (id->high), GUINT64_TO_BE (id->low) };
  msgpack_pack_bin (packer, sizeof halves);
  msgpack_pack_bin_body (packer, halves, sizeof halves);
}

static void
pack_string (msgpack_packer *packer, const char *text, gsize size)
{
  gsize length = strnlen (text, size - 1);
  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

static void
pack_bytes (msgpack_packer *packer, GBytes *bytes)
{
  gsize length = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &length) : NULL;
  msgpack_pack_bin (packer, length);
  if (length > 0)
    msgpack_pack_bin_body (packer, data, length);
}

static void
pack_structs (msgpack_packer *packer, const DpFieldTable *table, const char *first, guint count)
{
  msgpack_pack_array (packer, count);
  for (guint i = 0; i < count; i++)
    pack_struct (packer, table, first + i * table->size);
}

static void
pack_uint64s (msgpack_packer *packer, const guint64 *first, guint count)
{
  msgpack_pack_array (packer, count);
  for (guint i = 0; i < count; i++)
    msgpack_pack_uint64 (packer, first[i]);
}

/* Number of elements that are packed of a GArray, which may be NULL. */
static guint
get_garray_length (const DpField *field, const GArray *array)
{
  return array != NULL ? MIN (array->len, (guint)field->max) : 0;
}

static guint
get_inline_array_length (const DpField *field, const char *base)
{
  guint count = *(const guint *)(base + field->count_offset);
  return MIN (count, (guint)field->max);
}

static void
pack_value (msgpack_packer *packer, const DpField *field, const char *base)
{
  const void *value = base + field->offset;
  const GArray *array;
  guint count;
  switch (field->kind)
    {
    case DP_FIELD_UINT:
      msgpack_pack_uint64 (packer, *(const guint *)value);
      break;
    case DP_FIELD_UINT64:
      msgpack_pack_uint64 (packer, *(const guint64 *)value);
      break;
    case DP_FIELD_USEC:
      msgpack_pack_uint64 (packer, (guint64)MAX (*(const DpUsec *)value, 0));
      break;
    case DP_FIELD_ID:
      pack_id (packer, value);
      break;
    case DP_FIELD_STRING:
      pack_string (packer, value, field->max);
      break;
    case DP_FIELD_BYTES:
      pack_bytes (packer, *(GBytes *const *)value);
      break;
    case DP_FIELD_UINTS:
      count = get_inline_array_length (field, base);
      msgpack_pack_array (packer, count);
      for (guint i = 0; i < count; i++)
        msgpack_pack_uint64 (packer, ((const guint *)value)[i]);
      break;
    case DP_FIELD_UINT64S:
      pack_uint64s (packer, value, get_inline_array_length (field, base));
      break;
    case DP_FIELD_UINT64_GARRAY:
      array = *(GArray *const *)value;
      count = get_garray_length (field, array);
      pack_uint64s (packer, count > 0 ? (const guint64 *)(gconstpointer)array->data : NULL,
                    count);
      break;
    case DP_FIELD_STRUCTS:
      pack_structs (packer, field->element_table, value, get_inline_array_length (field, base));
      break;
    case DP_FIELD_GARRAY:
      array = *(GArray *const *)value;
      count = get_garray_length (field, array);
      pack_structs (packer, field->element_table, count > 0 ? array->data : NULL, count);
      break;
    }
}

static void
pack_struct (msgpack_packer *packer, const DpFieldTable *table, const char *base)
{
  msgpack_pack_map (packer, table->count);
  for (guint i = 0; i < table->count; i++)
    {
      msgpack_pack_uint64 (packer, table->fields[i].key);
      pack_value (packer, &table->fields[i], base);
    }
}

GByteArray *
dp_codec_encode (DpPeer from, const DpMessage *message)
{
  GByteArray *frame = g_byte_array_new ();
  msgpack_packer packer;
  msgpack_packer_init (&packer, frame, append_bytes);
  msgpack_pack_array (&packer, FRAME_ELEMENTS);
  msgpack_pack_uint64 (&packer, DP_CODEC_VERSION);
  msgpack_pack_uint64 (&packer, message->type);
  msgpack_pack_uint64 (&packer, from.vm);
  msgpack_pack_uint64 (&packer, from.role);
  pack_struct (&packer, dp_codec_fields (message->type), (const char *)message);
  return frame;
}

GByteArray *
dp_codec_encode_row (DpCodecRow type, const void *row)
{
  GByteArray *text = g_byte_array_new ();
  msgpack_packer packer;
  msgpack_packer_init (&packer, text, append_bytes);
  pack_struct (&packer, dp_codec_row_fields (type), row);
  return text;
}

/* --- decoding --- */

static gboolean
set_decode_error (GError **error, DpCodecError code, const char *problem, guint key)
{
  g_set_error (error, DP_CODEC_ERROR, code, "%s (member %u)", problem, key);
  return FALSE;
}

static gboolean
get_uint64 (const msgpack_object *object, guint64 max, guint64 *out)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return FALSE;
  *out = object->via.u64;
  return TRUE;
}

static gboolean unpack_struct (const DpFieldTable *table,
                               const msgpack_object *object,
                               char *base,
                               GError **error);

static gboolean
unpack_number (const DpField *field, const msgpack_object *object, void *out, GError **error)
{
  guint64 number;
  if (!get_uint64 (object, field->max, &number))
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not an unsigned integer in range",
                             field->key);
  if (field->kind == DP_FIELD_UINT)
    *(guint *)out = (guint)number;
  else if (field->kind == DP_FIELD_USEC)
    *(DpUsec *)out = (DpUsec)MIN (number, (guint64)DP_CODEC_DURATION_MAX);
  else
    *(guint64 *)out = number;
  return TRUE;
}

static gboolean
unpack_id (const DpField *field, const msgpack_object *object, DpId *out, GError **error)
{
  if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != ID_BYTES)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not an id of 16 bytes", field->key);
  guint64 halves[2];
  memcpy (halves, object->via.bin.ptr, sizeof halves);
  out->high = GUINT64_FROM_BE (halves[0]);
  out->low = GUINT64_FROM_BE (halves[1]);
  return TRUE;
}

static gboolean
unpack_string (const DpField *field, const msgpack_object *object, char *out, GError **error)
{
  if (object->type != MSGPACK_OBJECT_STR)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not a string", field->key);
  guint length = object->via.str.size;
  if (length >= field->max)
    return set_decode_error (error, DP_CODEC_ERROR_TOO_LARGE, "string too long", field->key);
  if (length > 0 && memchr (object->via.str.ptr, '\0', length) != NULL)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "string contains a NUL", field->key);
  if (length > 0)
    memcpy (out, object->via.str.ptr, length);
  out[length] = '\0';
  return TRUE;
}

static gboolean
unpack_bytes (const DpField *field, const msgpack_object *object, GBytes **out, GError **error)
{
  if (object->type != MSGPACK_OBJECT_BIN)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not binary data", field->key);
  if (object->via.bin.size > field->max)
    return set_decode_error (error, DP_CODEC_ERROR_TOO_LARGE, "binary data too long",
                             field->key);
  g_clear_pointer (out, g_bytes_unref); /* set already if the key is repeated */
  *out = g_bytes_new (object->via.bin.ptr, object->via.bin.size);
  return TRUE;
}

/* Checks that `object` is an array of at most `field->max` elements. */
static gboolean
check_array (const DpField *field, const msgpack_object *object, GError **error)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not an array", field->key);
  if (object->via.array.size > field->max)
    return set_decode_error (error, DP_CODEC_ERROR_TOO_LARGE, "array too long", field->key);
  return TRUE;
}

static gboolean
unpack_element (
  const DpField *field, const msgpack_object *object, char *first, guint index, GError **error)
{
  guint64 number = 0;
  switch (field->kind)
    {
    case DP_FIELD_STRUCTS:
    case DP_FIELD_GARRAY:
      return unpack_struct (field->element_table, object,
                            first + index * field->element_table->size, error);
    case DP_FIELD_UINTS:
      if (!get_uint64 (object, G_MAXUINT, &number))
        return set_decode_error (error, DP_CODEC_ERROR_VALUE,
                                 "not an unsigned integer in range", field->key);
      ((guint *)first)[index] = (guint)number;
      return TRUE;
    default:
      if (!get_uint64 (object, G_MAXUINT64, &number))
        return set_decode_error (error, DP_CODEC_ERROR_VALUE,
                                 "not an unsigned integer in range", field->key);
      ((guint64 *)first)[index] = number;
      return TRUE;
    }
}

static gboolean
unpack_inline_array (const DpField *field,
                     const msgpack_object *object,
                     char *base,
                     GError **error)
{
  if (!check_array (field, object, error))
    return FALSE;
  guint count = object->via.array.size;
  for (guint i = 0; i < count; i++)
    if (!unpack_element (field, &object->via.array.ptr[i], base + field->offset, i, error))
      return FALSE;
  *(guint *)(base + field->count_offset) = count;
  return TRUE;
}

static gsize
get_element_size (const DpField *field)
{
  return field->kind == DP_FIELD_UINT64_GARRAY ? sizeof (guint64) : field->element_table->size;
}

static gboolean
unpack_garray (const DpField *field, const msgpack_object *object, GArray **out, GError **error)
{
  if (!check_array (field, object, error))
    return FALSE;
  guint count = object->via.array.size;
  g_clear_pointer (out, g_array_unref); /* set already if the key is repeated */
  *out = g_array_sized_new (FALSE, TRUE, (guint)get_element_size (field), count);
  g_array_set_size (*out, count);
  for (guint i = 0; i < count; i++)
    if (!unpack_element (field, &object->via.array.ptr[i], (*out)->data, i, error))
      return FALSE;
  return TRUE;
}

static gboolean
unpack_value (const DpField *field, const msgpack_object *object, char *base, GError **error)
{
  void *out = base + field->offset;
  switch (field->kind)
    {
    case DP_FIELD_UINT:
    case DP_FIELD_UINT64:
    case DP_FIELD_USEC:
      return unpack_number (field, object, out, error);
    case DP_FIELD_ID:
      return unpack_id (field, object, out, error);
    case DP_FIELD_STRING:
      return unpack_string (field, object, out, error);
    case DP_FIELD_BYTES:
      return unpack_bytes (field, object, out, error);
    case DP_FIELD_UINTS:
    case DP_FIELD_UINT64S:
    case DP_FIELD_STRUCTS:
      return unpack_inline_array (field, object, base, error);
    case DP_FIELD_UINT64_GARRAY:
    case DP_FIELD_GARRAY:
      return unpack_garray (field, object, out, error);
    }
  return FALSE;
}

static const DpField *
find_field (const DpFieldTable *table, guint64 key)
{
  for (guint i = 0; i < table->count; i++)
    if (table->fields[i].key == key)
      return &table->fields[i];
  return NULL;
}

static gboolean
unpack_struct (const DpFieldTable *table,
               const msgpack_object *object,
               char *base,
               GError **error)
{
  if (object->type != MSGPACK_OBJECT_MAP)
    return set_decode_error (error, DP_CODEC_ERROR_VALUE, "not a map", 0);
  for (guint i = 0; i < object->via.map.size; i++)
    {
      const msgpack_object_kv *pair = &object->via.map.ptr[i];
      if (pair->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        continue;
      const DpField *field = find_field (table, pair->key.via.u64);
      if (field != NULL && !unpack_value (field, &pair->val, base, error))
        return FALSE;
    }
  return TRUE;
}

/* Reads the frame's elements before the body. */
static gboolean
unpack_header (const msgpack_object *frame, DpPeer *from, DpMessage *message, GError **error)
{
  if (frame->type != MSGPACK_OBJECT_ARRAY || frame->via.array.size < FRAME_ELEMENTS)
    return set_decode_error (error, DP_CODEC_ERROR_MALFORMED,
                             "frame is not an array of at least 5 elements", 0);
  const msgpack_object *elements = frame->via.array.ptr;
  guint64 version;
  guint64 type;
  guint64 vm;
  guint64 role;
  if (!get_uint64 (&elements[FRAME_VERSION], G_MAXUINT64, &version)
      || !get_uint64 (&elements[FRAME_TYPE], G_MAXUINT64, &type)
      || !get_uint64 (&elements[FRAME_VM], G_MAXUINT64, &vm)
      || !get_uint64 (&elements[FRAME_ROLE], DP_ROLE_COUNT - 1, &role))
    return set_decode_error (error, DP_CODEC_ERROR_MALFORMED, "invalid header element", 0);
  if (version != DP_CODEC_VERSION)
    return set_decode_error (error, DP_CODEC_ERROR_VERSION, "unsupported frame version", 0);
  if (type >= DP_MESSAGE_COUNT)
    return set_decode_error (error, DP_CODEC_ERROR_TYPE, "unknown message type", 0);
  *from = (DpPeer){ .vm = vm, .role = (DpRole)role };
  message->type = (DpMessageType)type;
  return TRUE;
}

static gboolean
unpack_frame (const msgpack_object *frame, DpPeer *from, DpMessage *message, GError **error)
{
  DpPeer sender;
  DpMessage result = { 0 };
  if (!unpack_header (frame, &sender, &result, error))
    return FALSE;
  const msgpack_object *body = &frame->via.array.ptr[FRAME_BODY];
  if (!unpack_struct (dp_codec_fields (result.type), body, (char *)&result, error))
    {
      dp_message_clear (&result);
      return FALSE;
    }
  *from = sender;
  *message = result;
  return TRUE;
}

/* Unpacks data that is exactly one value. `unpacked` must be initialized. */
static gboolean
unpack_single (const void *data, gsize length, msgpack_unpacked *unpacked, GError **error)
{
  gsize offset = 0;
  if (dp_frame_check (data, length)
      && msgpack_unpack_next (unpacked, data, length, &offset) == MSGPACK_UNPACK_SUCCESS)
    return TRUE;
  return set_decode_error (error, DP_CODEC_ERROR_MALFORMED, "not valid MessagePack", 0);
}

gboolean
dp_codec_decode (
  const void *data, gsize length, DpPeer *from, DpMessage *message, GError **error)
{
  if (length > DP_CODEC_FRAME_BYTES_MAX)
    return set_decode_error (error, DP_CODEC_ERROR_TOO_LARGE, "frame too large", 0);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  gboolean ok = unpack_single (data, length, &unpacked, error)
                && unpack_frame (&unpacked.data, from, message, error);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

gboolean
dp_codec_decode_row (DpCodecRow type, const void *data, gsize length, void *row, GError **error)
{
  const DpFieldTable *table = dp_codec_row_fields (type);
  memset (row, 0, table->size);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  gboolean ok = unpack_single (data, length, &unpacked, error)
                && unpack_struct (table, &unpacked.data, row, error);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
