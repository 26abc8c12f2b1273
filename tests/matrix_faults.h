/* The faults of the matrix, each as a function that strikes one VM. */
#pragma once

#include "tests/matrix.h"

typedef struct FaultRow
{
  const char *name;
  void (*apply) (World *world, guint vm);
  gboolean passes; /* bookings are done in the end, and everybody can learn it */
} FaultRow;

extern const FaultRow fault_rows[];
extern const guint fault_row_count;
