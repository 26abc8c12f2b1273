/* Decides when a process has too little memory left to accept new requests. */
#pragma once

#include <glib.h>

/* `used` and `limit` are in bytes; a limit of 0 means that none is known. With hysteresis: once
 * short, memory stays short until usage falls below a lower threshold. */
gboolean dp_memory_is_short (gsize used, gsize limit, gboolean was_short);
