#include "replay/replay.h"

int
main (int argc, char **argv)
{
  return dp_replay_main (argc, argv);
}
