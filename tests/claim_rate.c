/* Benchmark: platform calls per claimed request at rising rates, in virtual time with the real
 * core.
 *
 * Prints one line per rate: calls per second and per claim, conflicts, and the time from a
 * booking's arrival to its final answer. Argument: extra one-way delay to the platform in
 * microseconds. */
#include "tests/matrix.h"

#include <stdio.h>
#include <stdlib.h>

#define SECONDS 10
#define START DP_USEC_PER_SEC
#define SEED 11

static const guint rates[] = { 1, 10, 100, 300, 1000 };

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const DpUsec *left = a;
  const DpUsec *right = b;
  return *left < *right ? -1 : *left > *right;
}

static guint64
counter (const Simulation *sim, const char *name, const char *result)
{
  return dp_counters_get (sim->counters, name, result != NULL ? "result" : NULL, result);
}

static GArray *
answer_times (const Simulation *sim, guint *done)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (DpUsec));
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      DpUsec time = caller->final_at - caller->sent_at;
      *done += caller->final == FINAL_END ? 1 : 0;
      g_array_append_val (times, time);
    }
  g_array_sort (times, compare_times);
  return times;
}

static double
percentile_ms (const GArray *times, guint percent)
{
  guint index = MIN (times->len * percent / 100, times->len - 1);
  return (double)g_array_index (times, DpUsec, index) / (double)DP_USEC_PER_MSEC;
}

static void
measure (guint rate, DpUsec store_extra_delay)
{
  Simulation *sim = simulation_new (SEED, FALSE);
  sim->store_extra_delay = store_extra_delay;
  guint claims = rate * SECONDS;
  for (guint i = 0; i < claims; i++)
    {
      DpUsec at
        = START + (DpUsec)i * DP_USEC_PER_SEC / rate + g_rand_int_range (sim->rand, 0, 1000);
      guint vm = (guint)g_rand_int_range (sim->rand, 0, SIMULATED_VMS);
      caller_add (sim, KIND_BOOKING, i + 1, vm, at)->retries_left = 0;
    }
  simulation_run_until (sim, START + (SECONDS + 10) * DP_USEC_PER_SEC);
  guint done = 0;
  GArray *times = answer_times (sim, &done);
  guint64 writes = counter (sim, "dogwoodplank_claim_writes_total", NULL);
  guint64 conflicts = counter (sim, "dogwoodplank_claim_write_results_total", "conflict");
  guint64 reads = counter (sim, "dogwoodplank_claim_read_results_total", "ok")
                  + counter (sim, "dogwoodplank_claim_read_results_total", "absent");
  printf ("%6u %7u %9.1f %9.1f %8.3f %8.3f %9.1f %8.1f %8.1f\n", rate, done,
          (double)writes / SECONDS, (double)reads / SECONDS, (double)writes / claims,
          (double)reads / claims, writes > 0 ? 100.0 * (double)conflicts / (double)writes : 0.0,
          percentile_ms (times, 50), percentile_ms (times, 99));
  g_array_unref (times);
  simulation_free (sim);
}

int
main (int argc, char **argv)
{
  DpUsec store_extra_delay = argc > 1 ? (DpUsec)g_ascii_strtoll (argv[1], NULL, 10) : 2000;
  printf ("%d entry VMs, %d s, seed %d, platform delay +%.1f ms one way\n", SIMULATED_VMS,
          SECONDS, SEED, (double)store_extra_delay / (double)DP_USEC_PER_MSEC);
  printf (
    "claims    done  writes/s   reads/s  writes/c  reads/c conflict%%   p50 ms   p99 ms\n");
  for (guint i = 0; i < G_N_ELEMENTS (rates); i++)
    measure (rates[i], store_extra_delay);
  return EXIT_SUCCESS;
}
