#include "core/versions/software_version.h"

DpSoftwareVersion
dp_software_version (const char *text)
{
  DpSoftwareVersion version = { .name = dp_name (text) };
  if (text == NULL)
    return version;
  g_strlcpy (version.label, text, sizeof version.label);
  /* The cut may be within a character. */
  const char *end;
  if (!g_utf8_validate (version.label, -1, &end))
    version.label[end - version.label] = '\0';
  return version;
}

DpName
dp_software_version_name (const DpSoftwareVersion *version)
{
  return version->name != 0 ? version->name : dp_name (version->label);
}

DpVersionBinding
dp_version_binding_begun_at (DpName version)
{
  return (DpVersionBinding){
    .type = version != 0 ? DP_VERSION_BINDING_ONLY : DP_VERSION_BINDING_NOWHERE,
    .version = version,
  };
}

gboolean
dp_version_binding_allows (const DpVersionBinding *binding, DpName version)
{
  switch (binding->type)
    {
    case DP_VERSION_BINDING_FREE:
      return TRUE;
    case DP_VERSION_BINDING_ONLY:
      return version == binding->version;
    case DP_VERSION_BINDING_NOWHERE:
      return FALSE;
    }
  return FALSE;
}
