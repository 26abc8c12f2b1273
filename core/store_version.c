#include "core/store_version.h"

int
dp_store_version_compare (DpStoreVersion a, DpStoreVersion b)
{
  if (a.era != b.era && a.era != 0 && b.era != 0)
    return a.era < b.era ? -1 : 1;
  return (a.revision > b.revision) - (a.revision < b.revision);
}
