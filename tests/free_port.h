/* Picks ports for tests, so that parallel test runs on one machine don't collide. */
#pragma once

#include <glib.h>

/* Returns a TCP port that is unused on the IPv4 address at the time of the call. Never returns
 * the same port twice in one process. */
guint16 find_free_port (const char *address);
