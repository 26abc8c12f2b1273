/* Results of calls to the platform's object API, as the decisions see them. */
#pragma once

typedef enum DpStoreResult
{
  DP_STORE_OK,          /* read, or written: the version is the object's new one */
  DP_STORE_ABSENT,      /* read: there is no such object */
  DP_STORE_CONFLICT,    /* not written: the version differs */
  DP_STORE_UNAVAILABLE, /* certainly not written */
  DP_STORE_LOST,        /* no answer: it may have been written, now or later */
  DP_STORE_BROKEN,      /* read, but does not parse */
} DpStoreResult;
