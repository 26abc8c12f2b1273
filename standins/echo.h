/* The text that a stand-in engine answers with: a function of the request alone, so that
 * a caller can check that it got its own whole answer, whichever engine gave which part.
 *
 * Token 0 is "echo:HASH" with the hash of the last user message as 16 hexadecimal digits; token
 * i is " wi".
 */
#pragma once

#include <glib.h>
#include <json-c/json.h>

/* The content of the last message of role "user"; "" if there is none. Owned by the object. */
const char *echo_last_user_message (struct json_object *request);

/* All messages' contents, each followed by a newline: the text whose blocks are cached. */
GString *echo_prompt_text (struct json_object *request);

/* Tokens of the whole answer: max_tokens, or else a function of the message. */
guint echo_token_count (struct json_object *request, const char *message);

/* Appends token `index`. */
void echo_append_token (GString *out, const char *message, guint index);

/* Appends tokens [from, to). */
void echo_append (GString *out, const char *message, guint from, guint to);
