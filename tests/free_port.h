/* Ports for tests, so that test runs side by side on one machine don't collide. */
#pragma once

#include <glib.h>

/* A TCP port that nobody listens on at that IPv4 address now. */
guint16 free_port (const char *address);
