/* Prints the cost of the control plane by fleet size: platform calls per second and bytes per
 * second between agents. Runs the agents' real core in virtual time.
 * Usage: agent_slopes [SEED]. Results are recorded in docs/MEASUREMENTS.md, "Control". */
#include "agent_bench.h"
#include "net/codec.h"

#include <stdio.h>
#include <stdlib.h>

#define SETTLE (180 * DP_USEC_PER_SEC)
#define MEASURED_SECONDS 60
#define CHANGE_INTERVAL_SECONDS 8

typedef struct FleetCase
{
  guint data_centres;
  guint vms;
} FleetCase;

static const FleetCase cases[] = {
  { 3, 3 },   { 3, 15 },  { 3, 60 },   { 3, 200 },  /* more VMs */
  { 1, 200 }, { 6, 200 }, { 12, 200 }, { 21, 200 }, /* more data centres */
};

static gsize
encoded_bytes (DpPeer from, const DpMessage *message)
{
  GByteArray *frame = dp_codec_encode (from, message);
  gsize length = frame->len;
  g_byte_array_unref (frame);
  return length;
}

typedef struct Cost
{
  double calls;    /* per second, all VMs */
  double bytes;    /* per second, sent by one VM on average */
  double messages; /* per second, sent by one VM on average */
} Cost;

static guint64
sum_bytes (const Bench *bench)
{
  guint64 sum = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    sum += bench->vms[i].bytes_sent;
  return sum;
}

static guint64
sum_messages (const Bench *bench)
{
  guint64 sum = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    sum += bench->vms[i].messages_sent;
  return sum;
}

/* With `changes`, proposes a new manifest every CHANGE_INTERVAL_SECONDS. */
static Cost
measure (Bench *bench, gboolean changes, guint64 *revision)
{
  guint64 calls = bench->platform_calls;
  guint64 bytes = sum_bytes (bench);
  guint64 messages = sum_messages (bench);
  for (guint second = 0; second < MEASURED_SECONDS; second++)
    {
      if (changes && second % CHANGE_INTERVAL_SECONDS == 0)
        bench_propose (bench, ++*revision, "change");
      bench_run (bench, DP_USEC_PER_SEC);
    }
  double vm_seconds = (double)bench->vm_count * MEASURED_SECONDS;
  return (Cost){ .calls = (double)(bench->platform_calls - calls) / MEASURED_SECONDS,
                 .bytes = (double)(sum_bytes (bench) - bytes) / vm_seconds,
                 .messages = (double)(sum_messages (bench) - messages) / vm_seconds };
}

static void
print_case (const FleetCase *c, guint64 seed)
{
  guint64 revision = 1;
  Bench *bench = bench_new (c->data_centres, c->vms, seed);
  bench->message_bytes = encoded_bytes;
  bench_propose (bench, revision, "first");
  bench_run (bench, SETTLE);
  Cost idle = measure (bench, FALSE, &revision);
  Cost busy = measure (bench, TRUE, &revision);
  printf ("%7u %4u %12.2f %12.2f %14.0f %14.0f %12.1f\n", c->data_centres, c->vms, idle.calls,
          busy.calls, idle.bytes, busy.bytes, idle.messages);
  fflush (stdout);
  bench_free (bench);
}

/* Prints the size of the HELLO that entry and scheduler send to their VM's agent. */
static void
print_hello (void)
{
  DpMessage hello = { .type = DP_MESSAGE_HELLO };
  hello.hello = (DpHello){ .role = DP_ROLE_ENTRY,
                           .incarnation = G_MAXUINT64 / 3,
                           .manifest_revision = 40000,
                           .view_version = G_MAXUINT64 / 3,
                           .open_requests = 2000 };
  printf ("a HELLO has %u bytes; entry and scheduler of each VM send one per second each\n",
          (guint)encoded_bytes ((DpPeer){ G_MAXUINT64, DP_ROLE_ENTRY }, &hello));
}

int
main (int argc, char **argv)
{
  guint64 seed = argc > 1 ? g_ascii_strtoull (argv[1], NULL, 10) : 1;
  printf ("%7s %4s %12s %12s %14s %14s %12s\n", "centres", "VMs", "calls/s idle",
          "calls/s busy", "B/s/VM idle", "B/s/VM busy", "msg/s/VM");
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    print_case (&cases[i], seed);
  print_hello ();
  return EXIT_SUCCESS;
}
