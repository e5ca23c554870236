#ifndef REDWINGFORD_RECENT_H
#define REDWINGFORD_RECENT_H

/* A daemon's newest decisions, so that an operator can ask what happened to a
   request: a ring of fixed size, callable from any thread.  */

#include <jansson.h>

#include "reason.h"
#include "types.h"

typedef struct recent_decision_t
{
  int64_t at_ms; /* Unix time of the end */
  uint32_t took_ms;
  char request[REQUEST_ID_BYTES];
  char root[REQUEST_ID_BYTES]; /* "" when the request is one itself */
  char account[NAME_BYTES];    /* "" on an open route */
  char route[NAME_BYTES];      /* "" when none matched */
  /* What decided, in a word or two: "client account acme", "server
     10.0.0.1:70", "queue"; "" when the backend server answered.  Never a
     caller's key.  */
  char object[2 * NAME_BYTES];
  vm_id_t vm; /* whose backend server it was sent to, 0: none */
  reason_t reason;
  int status;
} recent_decision_t;

typedef struct recent_t recent_t;

/* Keeps the newest CAPACITY decisions; memory is taken at once.  Free with
   recent_free.  */
recent_t *recent_new (size_t capacity);
void recent_free (recent_t *recent);

/* Copies DECISION.  */
void recent_add (recent_t *recent, const recent_decision_t *decision);

/* Newest first, a new array of at most MAX decisions whose request or root is
   REQUEST (NULL: any) and whose account is ACCOUNT (NULL: any).  */
json_t *recent_find (recent_t *recent, const char *request,
                     const char *account, size_t max);

#endif
