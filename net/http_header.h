/* HTTP header types shared by the client and the server. */
#pragma once

#include <glib.h>

typedef struct DpHttpHeader
{
  const char *name;
  const char *value;
} DpHttpHeader;

/* Called for each header of a message, in order. */
typedef void (*DpHttpHeaderFunc) (gpointer user, const char *name, const char *value);
