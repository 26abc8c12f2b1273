/* The event loop that all programs share. */
#include "net/process.h"
#include "tests/free_port.h"

#include <check.h>
#include <stdlib.h>

#define ADDRESS "127.0.1.22"

typedef struct Fixture
{
  DpProcess *process;
  gboolean has_run_after_quit;
} Fixture;

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
}

static void
on_tick (gpointer user)
{
}

static void
quit (evutil_socket_t fd, short what, void *user)
{
  const Fixture *fixture = user;
  dp_process_quit (fixture->process);
}

static void
run_after_quit (evutil_socket_t fd, short what, void *user)
{
  Fixture *fixture = user;
  fixture->has_run_after_quit = TRUE;
}

/* Such an event may be a request, which would be sent to a target and never answered. */
START_TEST (events_of_the_last_iteration_are_not_handled_after_quit)
{
  char name[] = "vm1", address[] = ADDRESS, data_centre[] = "dc1";
  const DpProcessSettings settings = { .name = name,
                                       .address = address,
                                       .data_centre = data_centre,
                                       .agent_bus_port = find_free_port (ADDRESS),
                                       .operator_port = find_free_port (ADDRESS),
                                       .log_level = 3 };
  const DpProcessCallbacks callbacks = { .message = on_message, .tick = on_tick };
  Fixture fixture = { 0 };
  const DpProcessOptions options = { .program = "test",
                                     .role = DP_ROLE_NODE,
                                     .settings = &settings,
                                     .callbacks = &callbacks,
                                     .user = &fixture };
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  fixture.process = dp_process_new (&options, diagnostics);
  ck_assert_ptr_nonnull (fixture.process);
  struct event_base *base = dp_process_base (fixture.process);
  struct event *first = event_new (base, -1, 0, quit, &fixture);
  struct event *second = event_new (base, -1, 0, run_after_quit, &fixture);
  event_active (first, EV_TIMEOUT, 0);
  event_active (second, EV_TIMEOUT, 0);
  dp_process_run (fixture.process);
  ck_assert (!fixture.has_run_after_quit);
  event_free (first);
  event_free (second);
  dp_process_free (fixture.process);
  dp_diagnostics_unref (diagnostics);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("net_process");
  TCase *tcase = tcase_create ("process");
  tcase_add_test (tcase, events_of_the_last_iteration_are_not_handled_after_quit);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
