/* Rows of the fault matrix: functions that inject a fault at a VM. */
#pragma once

#include "tests/matrix.h"

typedef struct FaultRow
{
  const char *name;
  void (*apply) (Simulation *sim, guint vm);
  gboolean transient; /* each booking completes eventually, and its outcome can be queried */
} FaultRow;

extern const FaultRow fault_rows[];
extern const guint fault_row_count;
