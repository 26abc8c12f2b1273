#include "tests/suspend.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NSEC_PER_SEC 1000000000
#define NSEC_PER_USEC 1000

static gint64 *total_suspended; /* NULL: never suspended */

static void
map_file (const char *path)
{
  int fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ftruncate (fd, sizeof *total_suspended) != 0)
    abort ();
  total_suspended
    = mmap (NULL, sizeof *total_suspended, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (total_suspended == MAP_FAILED)
    abort ();
  close (fd);
}

__attribute__ ((constructor)) static void
map_inherited_file (void)
{
  const char *path = getenv (SUSPEND_VARIABLE);
  if (path != NULL)
    map_file (path);
}

void
suspend_init (const char *path)
{
  map_file (path);
  g_setenv (SUSPEND_VARIABLE, path, TRUE);
}

void
suspend_set_total (gint64 total)
{
  __atomic_store_n (total_suspended, total, __ATOMIC_SEQ_CST);
}

int
clock_gettime (clockid_t id, /* NOLINT(readability-inconsistent-declaration-parameter-name) */
               struct timespec *time)
{
  int result = (int)syscall (SYS_clock_gettime, id, time);
  if (result != 0 || total_suspended == NULL || id == CLOCK_BOOTTIME || id == CLOCK_REALTIME
      || id == CLOCK_REALTIME_COARSE)
    return result;
  gint64 total = __atomic_load_n (total_suspended, __ATOMIC_SEQ_CST);
  gint64 nsec = (gint64)time->tv_sec * NSEC_PER_SEC + time->tv_nsec - total * NSEC_PER_USEC;
  time->tv_sec = nsec / NSEC_PER_SEC;
  time->tv_nsec = nsec % NSEC_PER_SEC;
  return result;
}
