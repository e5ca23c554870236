#include "mesh/descriptor_budget.h"

enum
{
  PROCESS_MAX = 200,
  /* Both sidecars may open a link at the same moment, and an old link may be
     open beside them.  */
  LINKS_PER_SIDECAR = 3,
  LINKS_MIN = 16, /* of sidecars that are not known yet */
  STORE_MAX = 16,
  AUXILIARY_MAX = 48,
  REFUSALS_MAX = 128
};

const char *
descriptor_use_name (descriptor_use_t use)
{
  static const char *const names[DESCRIPTORS_USE_COUNT] = {
    [DESCRIPTORS_PROCESS] = "process",     [DESCRIPTORS_LINKS] = "links",
    [DESCRIPTORS_BACKEND] = "backend",     [DESCRIPTORS_STORE] = "store",
    [DESCRIPTORS_AUXILIARY] = "auxiliary", [DESCRIPTORS_REFUSALS] = "refusals",
    [DESCRIPTORS_CALLERS] = "callers",
  };
  return names[use];
}

static uint32_t
lower (uint64_t first, uint64_t second)
{
  return (uint32_t)(first < second ? first : second);
}

uint32_t
descriptor_total (uint32_t setting, uint64_t process_limit)
{
  return lower (setting > 0 ? setting : UINT32_MAX, process_limit);
}

descriptor_budget_t
descriptor_budget_split (uint32_t total, uint32_t other_sidecars)
{
  uint64_t links = (uint64_t)LINKS_PER_SIDECAR * other_sidecars + LINKS_MIN;
  uint32_t process = lower (PROCESS_MAX, total / 4);
  uint32_t sockets = total - process;
  descriptor_budget_t budget = { {
      [DESCRIPTORS_PROCESS] = process,
      [DESCRIPTORS_LINKS] = lower (links, sockets / 2),
      [DESCRIPTORS_BACKEND] = sockets / 8,
      [DESCRIPTORS_STORE] = lower (STORE_MAX, sockets / 16),
      [DESCRIPTORS_AUXILIARY] = lower (AUXILIARY_MAX, sockets / 8),
      [DESCRIPTORS_REFUSALS] = lower (REFUSALS_MAX, sockets / 16),
  } };
  uint32_t kept = 0;
  for (int i = 0; i < DESCRIPTORS_USE_COUNT; i++)
    kept += budget.parts[i];
  budget.parts[DESCRIPTORS_CALLERS] = total - kept;
  return budget;
}
