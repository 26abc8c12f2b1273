/* Index of routes by host and path prefix. Immutable and reference-counted; the routes must
 * live as long as it. */
#pragma once

#include "manifest/manifest.h"

DpRouteIndex *dp_route_index_new (const GPtrArray *routes);
DpRouteIndex *dp_route_index_ref (DpRouteIndex *index);
void dp_route_index_unref (DpRouteIndex *index);
