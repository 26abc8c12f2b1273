/* Blocking HTTP GET. */
#pragma once

#include <glib.h>

/* Returns the NUL-terminated body of a complete response with status 200; free with g_free().
 * Otherwise returns NULL and stores the reason, a static string, in `error`. */
char *dp_ctl_http_get (const char *address, guint16 port, const char *path, const char **error);
