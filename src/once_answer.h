#ifndef REDWINGFORD_ONCE_ANSWER_H
#define REDWINGFORD_ONCE_ANSWER_H

/* A whole answer, kept for callers that send the request again.  Immutable
   and counted by reference; safe from any thread.  */

#include "types.h"

typedef struct once_answer_t
{
  uint32_t references; /* atomic */
  uint32_t status;
  uint32_t headers_size;
  uint32_t body_size;
  uint8_t bytes[]; /* headers, then body */
} once_answer_t;

/* One reference for the caller.  Copies HEADERS and BODY.  */
once_answer_t *once_answer_new (uint32_t status, const void *headers,
                                size_t headers_size, const void *body,
                                size_t body_size);
once_answer_t *once_answer_ref (once_answer_t *answer);
/* ANSWER may be NULL.  */
void once_answer_unref (once_answer_t *answer);

static inline size_t
once_answer_size (const once_answer_t *answer)
{
  return sizeof *answer + answer->headers_size + answer->body_size;
}

#endif
