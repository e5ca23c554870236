#include "once_answer.h"

#include <stdlib.h>
#include <string.h>

once_answer_t *
once_answer_new (uint32_t status, const void *headers, size_t headers_size,
                 const void *body, size_t body_size)
{
  once_answer_t *answer = malloc (sizeof *answer + headers_size + body_size);

  answer->references = 1;
  answer->status = status;
  answer->headers_size = (uint32_t)headers_size;
  answer->body_size = (uint32_t)body_size;
  if (headers_size > 0)
    memcpy (answer->bytes, headers, headers_size);
  if (body_size > 0)
    memcpy (answer->bytes + headers_size, body, body_size);
  return answer;
}

once_answer_t *
once_answer_ref (once_answer_t *answer)
{
  __atomic_add_fetch (&answer->references, 1, __ATOMIC_RELAXED);
  return answer;
}

void
once_answer_unref (once_answer_t *answer)
{
  if (answer != NULL
      && __atomic_sub_fetch (&answer->references, 1, __ATOMIC_ACQ_REL) == 0)
    free (answer);
}
