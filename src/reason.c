#include "reason.h"

#include <string.h>

typedef struct reason_row_t
{
  const char *name;
  const char *remedy;
  outcome_t outcome;
  int status;
} reason_row_t;

static const reason_row_t reason_rows[REASON_COUNT] = {
#define REASON_ROW(id, name, outcome, status, remedy)                         \
  { name, remedy, OUTCOME_##outcome, status },
  REASON_TABLE (REASON_ROW)
#undef REASON_ROW
};

static const char *const retry_names[RETRY_COUNT] = {
#define RETRY_NAME(id, name) name,
  RETRY_TABLE (RETRY_NAME)
#undef RETRY_NAME
};

static const char *const outcome_names[OUTCOME_COUNT] = {
  [OUTCOME_ANSWERED] = "answered",
  [OUTCOME_REFUSED_NOT_RUN] = "refused-not-run",
  [OUTCOME_UNKNOWN] = "outcome-unknown",
};

const char *
reason_name (reason_t reason)
{
  return reason_rows[reason].name;
}

const char *
reason_remedy (reason_t reason)
{
  return reason_rows[reason].remedy;
}

outcome_t
reason_outcome (reason_t reason)
{
  return reason_rows[reason].outcome;
}

int
reason_status (reason_t reason)
{
  return reason_rows[reason].status;
}

const char *
outcome_name (outcome_t outcome)
{
  return outcome_names[outcome];
}

const char *
retry_name (retry_t retry)
{
  return retry_names[retry];
}

bool
reason_parse (const char *name, reason_t *reason)
{
  for (int i = 0; i < REASON_COUNT; i++)
    if (strcmp (reason_rows[i].name, name) == 0)
      {
        *reason = (reason_t)i;
        return true;
      }
  return false;
}
