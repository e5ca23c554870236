#include "mesh/call.h"

static const char *const cause_names[CAUSE_COUNT] = {
#define CAUSE_NAME(id, name) [CAUSE_##id] = (name),
  CAUSE_TABLE (CAUSE_NAME)
#undef CAUSE_NAME
};

const char *
cause_name (cause_t cause)
{
  return cause < CAUSE_COUNT ? cause_names[cause] : "unknown";
}
