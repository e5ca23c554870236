#include "link.h"

static const char *const kind_names[MESSAGE_KIND_COUNT] = {
#define MESSAGE_KIND_NAME(id, name) name,
  MESSAGE_KIND_TABLE (MESSAGE_KIND_NAME)
#undef MESSAGE_KIND_NAME
};

const char *
message_kind_name (message_kind_t kind)
{
  return kind_names[kind];
}
