/* Index of a manifest's routes. Private to manifest/. */
#pragma once

#include "manifest/manifest.h"

/* Fills manifest->host_index; the routes must not change after it. */
void dp_manifest_index_routes (DpManifest *manifest);
