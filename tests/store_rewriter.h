/* TCP proxy that replaces a text in what the server sends, for instance the addresses of
 * targets in the stand-in store's responses. It runs in a thread of its own. */
#pragma once

#include <glib.h>

typedef struct StoreRewriter StoreRewriter;

typedef struct StoreRewriterOptions
{
  const char *address; /* to listen at, on a free port */
  const char *store_address;
  guint16 store_port;
  const char *from;
  const char *to; /* as long as `from` */
} StoreRewriterOptions;

/* Forwards everything unchanged until store_rewriter_set_active(). */
StoreRewriter *store_rewriter_start (const StoreRewriterOptions *options);
/* Closes all connections. */
void store_rewriter_free (StoreRewriter *rewriter);

guint16 store_rewriter_port (const StoreRewriter *rewriter);

/* Takes effect with the next bytes that the server sends. */
void store_rewriter_set_active (StoreRewriter *rewriter, gboolean is_active);

/* Connections stay open, new ones too, but nothing is forwarded any more. */
void store_rewriter_stall (StoreRewriter *rewriter);
