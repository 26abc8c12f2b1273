#include "net/http_framing.h"

#include <string.h>

#define VERSION_PREFIX "HTTP/1."
/* Of 64 bits; more digits are zeros or overflow. */
#define CHUNK_SIZE_DIGITS_MAX 16
#define LENGTH_DIGITS_MAX 18

const char *
dp_http_fault_name (DpHttpFault fault)
{
  static const char *const names[] = {
    [DP_HTTP_FAULT_NONE] = "none",
    [DP_HTTP_FAULT_REQUEST_LINE] = "request_line",
    [DP_HTTP_FAULT_FIELD_NAME] = "field_name",
    [DP_HTTP_FAULT_FIELD_VALUE] = "field_value",
    [DP_HTTP_FAULT_LINE_END] = "line_end",
    [DP_HTTP_FAULT_LENGTH] = "length",
    [DP_HTTP_FAULT_CODING] = "coding",
    [DP_HTTP_FAULT_BODY] = "body",
    [DP_HTTP_FAULT_CHUNK] = "chunk",
    [DP_HTTP_FAULT_END] = "end",
  };
  return names[fault];
}

static gboolean
is_token_byte (char byte)
{
  return g_ascii_isalnum (byte) || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

static gboolean
is_value_byte (char byte)
{
  return byte == '\t' || !g_ascii_iscntrl (byte);
}

gboolean
dp_http_is_token (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if (!is_token_byte (*at))
      return FALSE;
  return text[0] != '\0';
}

gboolean
dp_http_is_field_value (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if (!is_value_byte (*at))
      return FALSE;
  return TRUE;
}

static void
fail (DpHttpFraming *framing, DpHttpFault fault)
{
  framing->stage = DP_HTTP_STAGE_INVALID;
  framing->fault = fault;
}

static void
start (DpHttpFraming *framing, DpHttpFramingStage stage)
{
  framing->stage = stage;
  framing->word_length = 0;
}

static void
append (DpHttpFraming *framing, char byte)
{
  if (framing->word_length < DP_HTTP_WORD_MAX)
    framing->word[framing->word_length] = byte;
  framing->word_length++;
}

static gboolean
is_equal (const char *word, gsize length, const char *text)
{
  return length == strlen (text) && g_ascii_strncasecmp (word, text, length) == 0;
}

/* --- head --- */

/* evhttp reads no body with any other method. */
static gboolean
has_body (const DpHttpFraming *framing)
{
  static const char *const methods[] = { "POST", "PUT", "PATCH" };
  for (guint i = 0; i < G_N_ELEMENTS (methods); i++)
    if (framing->word_length == strlen (methods[i])
        && memcmp (framing->word, methods[i], framing->word_length) == 0)
      return TRUE;
  return FALSE;
}

static void
end_method (DpHttpFraming *framing)
{
  if (framing->word_length == 0)
    {
      fail (framing, DP_HTTP_FAULT_REQUEST_LINE);
      return;
    }
  framing->has_body = has_body (framing);
  start (framing, DP_HTTP_STAGE_TARGET);
}

static void
end_request_line (DpHttpFraming *framing)
{
  const char *version = framing->word;
  gsize prefix_length = strlen (VERSION_PREFIX);
  if (framing->word_length != prefix_length + 1
      || memcmp (version, VERSION_PREFIX, prefix_length) != 0
      || !g_ascii_isdigit (version[prefix_length]))
    {
      fail (framing, DP_HTTP_FAULT_REQUEST_LINE);
      return;
    }
  framing->is_old_version = version[prefix_length] == '0';
  start (framing, DP_HTTP_STAGE_FIELD_START);
}

static void
end_field_name (DpHttpFraming *framing)
{
  framing->name_length = framing->word_length;
  memcpy (framing->name, framing->word, MIN (framing->word_length, DP_HTTP_WORD_MAX));
  start (framing, DP_HTTP_STAGE_FIELD_VALUE);
}

/* Returns the length of the value without the white space behind it, or more than
 * DP_HTTP_WORD_MAX. */
static gsize
value_length (const DpHttpFraming *framing)
{
  gsize length = framing->word_length;
  while (length > 0 && length <= DP_HTTP_WORD_MAX
         && (framing->word[length - 1] == ' ' || framing->word[length - 1] == '\t'))
    length--;
  return length;
}

/* RFC 9112, 6.3 */
static void
read_length (DpHttpFraming *framing)
{
  gsize length = value_length (framing);
  gboolean is_valid = length > 0 && length <= LENGTH_DIGITS_MAX && framing->framing_fields == 1;
  framing->remaining = 0;
  for (gsize i = 0; i < length && is_valid; i++)
    {
      is_valid = g_ascii_isdigit (framing->word[i]);
      framing->remaining = framing->remaining * 10 + (guint64)(framing->word[i] - '0');
    }
  if (!is_valid)
    fail (framing, DP_HTTP_FAULT_LENGTH);
}

static void
read_coding (DpHttpFraming *framing)
{
  framing->is_chunked = TRUE;
  if (framing->framing_fields > 1 || framing->is_old_version
      || !is_equal (framing->word, value_length (framing), "chunked"))
    fail (framing, DP_HTTP_FAULT_CODING);
}

static void
end_field (DpHttpFraming *framing)
{
  gboolean is_length = is_equal (framing->name, framing->name_length, "Content-Length");
  gboolean is_coding = is_equal (framing->name, framing->name_length, "Transfer-Encoding");
  framing->field_count += !framing->is_in_trailers;
  framing->trailer_count += framing->is_in_trailers;
  framing->framing_fields += is_length || is_coding;
  if (framing->is_in_trailers && (is_length || is_coding))
    fail (framing, DP_HTTP_FAULT_LENGTH);
  else if (is_length)
    read_length (framing);
  else if (is_coding)
    read_coding (framing);
  if (framing->stage != DP_HTTP_STAGE_INVALID)
    start (framing, DP_HTTP_STAGE_FIELD_START);
}

static void
start_chunk_size (DpHttpFraming *framing)
{
  start (framing, DP_HTTP_STAGE_CHUNK_SIZE);
  framing->remaining = 0;
  framing->digits = 0;
}

static void
end_head (DpHttpFraming *framing)
{
  framing->body_length = framing->remaining;
  if (!framing->has_body && (framing->is_chunked || framing->remaining > 0))
    fail (framing, DP_HTTP_FAULT_BODY);
  else if (framing->is_chunked)
    start_chunk_size (framing);
  else
    framing->stage = framing->remaining > 0 ? DP_HTTP_STAGE_BODY : DP_HTTP_STAGE_COMPLETE;
}

/* --- body --- */

static void
end_chunk_size (DpHttpFraming *framing)
{
  gboolean overflows = framing->remaining > G_MAXUINT64 - framing->body_length;
  framing->body_length += framing->remaining;
  framing->chunk_count++;
  framing->is_in_trailers = framing->remaining == 0;
  if (framing->digits == 0 || overflows)
    fail (framing, DP_HTTP_FAULT_CHUNK);
  else
    start (framing,
           framing->remaining > 0 ? DP_HTTP_STAGE_CHUNK_DATA : DP_HTTP_STAGE_FIELD_START);
}

static void
read_chunk_size (DpHttpFraming *framing, char byte)
{
  if (g_ascii_isxdigit (byte) && framing->digits < CHUNK_SIZE_DIGITS_MAX)
    {
      framing->remaining = framing->remaining * 16 + (guint64)g_ascii_xdigit_value (byte);
      framing->digits++;
    }
  else if (framing->digits > 0 && (byte == ';' || byte == ' ' || byte == '\t'))
    start (framing, DP_HTTP_STAGE_CHUNK_EXTENSION);
  else
    fail (framing, DP_HTTP_FAULT_CHUNK);
}

gsize
dp_http_framing_skip (DpHttpFraming *framing, gsize length)
{
  if (framing->stage != DP_HTTP_STAGE_BODY && framing->stage != DP_HTTP_STAGE_CHUNK_DATA)
    return 0;
  gsize skipped = (gsize)MIN (framing->remaining, length);
  framing->remaining -= skipped;
  if (framing->remaining == 0)
    framing->stage
      = framing->stage == DP_HTTP_STAGE_BODY ? DP_HTTP_STAGE_COMPLETE : DP_HTTP_STAGE_CHUNK_END;
  return skipped;
}

/* --- lines --- */

static void
end_line (DpHttpFraming *framing)
{
  switch (framing->stage)
    {
    case DP_HTTP_STAGE_VERSION:
      end_request_line (framing);
      break;
    case DP_HTTP_STAGE_FIELD_START:
      if (framing->is_in_trailers)
        framing->stage = DP_HTTP_STAGE_COMPLETE;
      else
        end_head (framing);
      break;
    case DP_HTTP_STAGE_FIELD_NAME:
      fail (framing, DP_HTTP_FAULT_FIELD_NAME);
      break;
    case DP_HTTP_STAGE_FIELD_VALUE:
      end_field (framing);
      break;
    case DP_HTTP_STAGE_CHUNK_SIZE:
    case DP_HTTP_STAGE_CHUNK_EXTENSION:
      end_chunk_size (framing);
      break;
    case DP_HTTP_STAGE_CHUNK_END:
      start_chunk_size (framing);
      break;
    default:
      fail (framing, DP_HTTP_FAULT_REQUEST_LINE);
      break;
    }
}

/* Reads a byte of a line, but not of its end. */
static void
read_text (DpHttpFraming *framing, char byte)
{
  switch (framing->stage)
    {
    case DP_HTTP_STAGE_METHOD:
      if (byte == ' ')
        end_method (framing);
      else if (is_token_byte (byte))
        append (framing, byte);
      else
        fail (framing, DP_HTTP_FAULT_REQUEST_LINE);
      break;
    case DP_HTTP_STAGE_TARGET:
      if (byte == ' ' && framing->word_length > 0)
        start (framing, DP_HTTP_STAGE_VERSION);
      else if (byte == ' ' || g_ascii_iscntrl (byte))
        fail (framing, DP_HTTP_FAULT_REQUEST_LINE);
      else
        append (framing, byte);
      break;
    case DP_HTTP_STAGE_VERSION:
      append (framing, byte);
      break;
    case DP_HTTP_STAGE_FIELD_START:
    case DP_HTTP_STAGE_FIELD_NAME:
      framing->stage = DP_HTTP_STAGE_FIELD_NAME;
      if (byte == ':' && framing->word_length > 0)
        end_field_name (framing);
      else if (is_token_byte (byte))
        append (framing, byte);
      else
        fail (framing, DP_HTTP_FAULT_FIELD_NAME);
      break;
    case DP_HTTP_STAGE_FIELD_VALUE:
      if (!is_value_byte (byte))
        fail (framing, DP_HTTP_FAULT_FIELD_VALUE);
      else if (framing->word_length > 0 || (byte != ' ' && byte != '\t'))
        append (framing, byte);
      break;
    case DP_HTTP_STAGE_CHUNK_SIZE:
      read_chunk_size (framing, byte);
      break;
    case DP_HTTP_STAGE_CHUNK_EXTENSION:
      if (!is_value_byte (byte))
        fail (framing, DP_HTTP_FAULT_CHUNK);
      break;
    default:
      fail (framing, DP_HTTP_FAULT_CHUNK);
      break;
    }
}

static void
read_line_byte (DpHttpFraming *framing, char byte)
{
  if (byte == '\r' && !framing->has_cr)
    framing->has_cr = TRUE;
  else if (framing->has_cr != (byte == '\n'))
    fail (framing, DP_HTTP_FAULT_LINE_END);
  else if (framing->has_cr)
    {
      framing->has_cr = FALSE;
      end_line (framing);
    }
  else
    read_text (framing, byte);
}

gsize
dp_http_framing_read (DpHttpFraming *framing, const char *data, gsize length)
{
  gsize at = 0;
  while (at < length && framing->stage != DP_HTTP_STAGE_COMPLETE
         && framing->stage != DP_HTTP_STAGE_INVALID)
    {
      gsize skipped = dp_http_framing_skip (framing, length - at);
      if (skipped == 0)
        read_line_byte (framing, data[at++]);
      at += skipped;
    }
  return at;
}

gboolean
dp_http_framing_has_head (const DpHttpFraming *framing)
{
  switch (framing->stage)
    {
    case DP_HTTP_STAGE_BODY:
    case DP_HTTP_STAGE_CHUNK_SIZE:
    case DP_HTTP_STAGE_CHUNK_EXTENSION:
    case DP_HTTP_STAGE_CHUNK_DATA:
    case DP_HTTP_STAGE_CHUNK_END:
    case DP_HTTP_STAGE_COMPLETE:
      return TRUE;
    default:
      return framing->is_in_trailers;
    }
}
