/* Parts of configs, with the values of the sheets. */
#pragma once

#define CONFIG_LIMITS                                                                          \
  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"                         \
  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
#define CONFIG_SERVICE(name, connections)                                                      \
  "{\"name\":\"" name "\",\"health_path\":\"/health\",\"max_connections\":" connections ","    \
  "\"protocol\":\"h1\",\"tls\":false}"
#define CONFIG_ENGINES(name, connections, tokens)                                              \
  "{\"name\":\"" name "\",\"health_path\":\"/health\",\"max_connections\":" connections ","    \
  "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":5,\"kv_tokens\":" tokens "}}"
