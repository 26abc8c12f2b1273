/* Route lookup by host and path. Private to manifest/. */
#pragma once

#include "manifest/manifest.h"

/* Fills manifest->host_index. The routes must not change afterwards. */
void dp_manifest_build_route_index (DpManifest *manifest);
