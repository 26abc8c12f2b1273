#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define KEEPALIVE_IDLE_SECONDS 1
#define KEEPALIVE_INTERVAL_SECONDS 1
#define KEEPALIVE_PROBES 3

static void
set_int (int fd, int level, int name, int value)
{
  setsockopt (fd, level, name, &value, sizeof value);
}

void
dp_socket_disable_nagle (int fd)
{
  set_int (fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

void
dp_socket_enable_keepalive (int fd)
{
  set_int (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_int (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS);
  set_int (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS);
  set_int (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

void
dp_socket_reset_on_close (int fd)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}
