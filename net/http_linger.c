#include "net/http_linger.h"

#include "common/id.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#define LINGERS_MAX 32
#define LINGER_TIME_SECONDS 2
#define LINGER_BYTES ((gsize)8 * 1024 * 1024)
#define READ_BYTES 16384

struct DpHttpLinger
{
  struct event_base *base;
  GHashTable *rows; /* Row */
};

typedef struct Row
{
  DpHttpLinger *linger;
  int fd;
  struct event *readable;
  struct event *timeout;
  gsize bytes_left;
} Row;

static void
free_row (gpointer data)
{
  Row *row = data;
  event_free (row->readable);
  event_free (row->timeout);
  close (row->fd);
  g_free (row);
}

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  Row *row = user;
  g_hash_table_remove (row->linger->rows, row);
}

static void
on_readable (evutil_socket_t fd, short what, void *user)
{
  Row *row = user;
  char bytes[READ_BYTES];
  gssize length = recv (row->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (length < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (length <= 0 || (gsize)length >= row->bytes_left)
    g_hash_table_remove (row->linger->rows, row);
  else
    row->bytes_left -= (gsize)length;
}

DpHttpLinger *
dp_http_linger_new (struct event_base *base)
{
  DpHttpLinger *linger = g_new0 (DpHttpLinger, 1);
  linger->base = base;
  linger->rows = g_hash_table_new_full (NULL, NULL, free_row, NULL);
  return linger;
}

void
dp_http_linger_free (DpHttpLinger *linger)
{
  g_hash_table_unref (linger->rows);
  g_free (linger);
}

void
dp_http_linger_add (DpHttpLinger *linger, int fd)
{
  if (g_hash_table_size (linger->rows) >= LINGERS_MAX)
    return;
  int copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0)
    return;
  const struct timeval time = { .tv_sec = LINGER_TIME_SECONDS };
  Row *row = g_new0 (Row, 1);
  row->linger = linger;
  row->fd = copy;
  row->bytes_left = LINGER_BYTES;
  row->readable = event_new (linger->base, copy, EV_READ | EV_PERSIST, on_readable, row);
  row->timeout = event_new (linger->base, -1, 0, on_timeout, row);
  event_add (row->readable, NULL);
  event_add (row->timeout, &time);
  g_hash_table_add (linger->rows, row);
}

guint
dp_http_linger_count (const DpHttpLinger *linger)
{
  return g_hash_table_size (linger->rows);
}
