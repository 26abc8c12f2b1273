/* Results of calls to the platform's object API. */
#pragma once

typedef enum DpStoreResult
{
  DP_STORE_OK,          /* read, or written; the version is the object's new one */
  DP_STORE_ABSENT,      /* read: there is no such object */
  DP_STORE_CONFLICT,    /* not written: the object has another version */
  DP_STORE_UNAVAILABLE, /* not written for certain */
  DP_STORE_LOST,        /* no response: the write may still take effect, now or later */
  DP_STORE_BROKEN,      /* read, but could not be parsed */
} DpStoreResult;
