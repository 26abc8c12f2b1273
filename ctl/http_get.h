/* One HTTP GET, waited for. */
#pragma once

#include <glib.h>

/* The body of a complete answer with status 200, NUL-terminated; free with g_free(). NULL with
 * a reason in `problem` (static text) otherwise. */
char *
dp_ctl_http_get (const char *address, guint16 port, const char *path, const char **problem);
