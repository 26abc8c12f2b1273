/* Software versions of targets, and what a stream that has begun at one is bound to. No I/O. */
#pragma once

#include "common/id.h"

/* Bytes of a label, including the terminating NUL. */
#define DP_VERSION_LABEL_BYTES 64

/* Versions are texts of any length. They are compared by the hash of the whole text. */
typedef struct DpSoftwareVersion
{
  DpName name; /* 0: not stated, or, with a label, from a VM of a build that states none */
  char label[DP_VERSION_LABEL_BYTES]; /* beginning of the text, for logs */
} DpSoftwareVersion;

/* `text` may be NULL or "": the version is not stated. */
DpSoftwareVersion dp_software_version (const char *text);
/* Hash of the whole text; 0: not stated. Builds that state no hash drop longer texts, so that
 * their labels are whole. */
DpName dp_software_version_name (const DpSoftwareVersion *version);

typedef enum DpVersionBindingType
{
  DP_VERSION_BINDING_FREE, /* the stream has not begun: any version will do */
  DP_VERSION_BINDING_ONLY, /* it may go on at `version` only */
  /* It began at a target that doesn't state its version, which may differ from that of any
   * other, so that it can go on nowhere. */
  DP_VERSION_BINDING_NOWHERE,
} DpVersionBindingType;

typedef struct DpVersionBinding
{
  DpVersionBindingType type;
  DpName version; /* ONLY: not 0 */
} DpVersionBinding;

/* Binding of a stream that began at a target of the version; 0: it states none. */
DpVersionBinding dp_version_binding_begun_at (DpName version);
/* TRUE if a target of the version, 0 if it states none, may run the request. */
gboolean dp_version_binding_allows (const DpVersionBinding *binding, DpName version);
