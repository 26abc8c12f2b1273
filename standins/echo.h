/* Text of a stand-in engine's response. It depends only on the request, so a client can verify
 * a response even if several engines produced parts of it.
 *
 * Token 0 is "echo:HASH", HASH being the last user message's hash as 16 hexadecimal digits;
 * token N > 0 is " wN".
 */
#pragma once

#include <glib.h>
#include <json-c/json.h>

/* Content of the last message with role "user", or "". Owned by `request`. */
const char *echo_last_user_message (struct json_object *request);

/* Contents of all messages, each followed by a newline. The prefix cache works on blocks of
 * this text. Free with g_string_free(). */
GString *echo_prompt_text (struct json_object *request);

/* Number of tokens in the complete response: max_tokens if it is positive, else derived from
 * the hash of `message`. */
guint echo_token_count (struct json_object *request, const char *message);

/* Appends the token with this index (from 0) of the response to `message`. */
void echo_append_token (GString *out, const char *message, guint index);

/* Appends the tokens with indexes [from, to). */
void echo_append_tokens (GString *out, const char *message, guint from, guint to);
