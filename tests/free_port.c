#include "tests/free_port.h"

#include <arpa/inet.h>
#include <check.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_PROBES = 1000
};

/* Returns a port of the kernel's choice; a later call may get the same one. */
static guint16
probe_port (const char *address)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (fd, 0);
  struct sockaddr_in name = { .sin_family = AF_INET };
  ck_assert_int_eq (inet_pton (AF_INET, address, &name.sin_addr), 1);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&name, sizeof name), 0);
  socklen_t length = sizeof name;
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&name, &length), 0);
  close (fd);
  return ntohs (name.sin_port);
}

guint16
find_free_port (const char *address)
{
  /* The kernel may choose a port again once the probe's socket is closed. */
  static gboolean returned[G_MAXUINT16 + 1];
  for (guint i = 0; i < MAX_PROBES; i++)
    {
      guint16 port = probe_port (address);
      if (!returned[port])
        {
          returned[port] = TRUE;
          return port;
        }
    }
  ck_abort_msg ("no free port on %s that was not returned before", address);
  return 0;
}
