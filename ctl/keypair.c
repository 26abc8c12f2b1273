#include "ctl/commands.h"
#include "net/bus_auth.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const char doc[] = "Prints a new key pair for the traffic between processes, as members "
                          "of a settings file. All processes need the same pair.";

int
dp_ctl_keypair (int argc, char **argv)
{
  const struct argp argp = { .doc = doc };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  char public_key[DP_BUS_KEY_CHARS + 1];
  char secret_key[DP_BUS_KEY_CHARS + 1];
  dp_bus_keys_generate (public_key, secret_key);
  /* Z85 contains neither quotes nor backslashes, so that no escaping is needed. */
  printf ("\"curve_public_key\": \"%s\",\n\"curve_secret_key\": \"%s\"\n", public_key,
          secret_key);
  return EXIT_SUCCESS;
}
