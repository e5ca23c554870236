#ifndef REDWINGFORD_SUPPORT_CALLERS_H
#define REDWINGFORD_SUPPORT_CALLERS_H

/* Callers of one server on an event loop: many kept connections with few
   requests each.  A connection is used again after a rest of up to four
   fifths of the idle limit that the callers know, until they see that the
   server closes it or will.  What the server sends takes its time to reach
   them.  Nothing is sent a second time.  */

#include "edge/fields.h"
#include "edge/loop.h"
#include "rng.h"

enum
{
  CALLERS_PIPELINED = 4 /* requests written at once on one connection */
};

/* How a request ended without an answer.  */
typedef enum callers_end_t
{
  CALLERS_UNWRITTEN, /* not all of it was written */
  CALLERS_BEHIND,    /* behind an answer that closed the connection */
  CALLERS_CLOSED     /* all was written, and the connection ended */
} callers_end_t;

typedef struct callers_answer_t
{
  int status;
  const fields_t *fields;
  const bytes_t *body;
} callers_answer_t;

typedef struct callers_handler_t
{
  /* One of these two for each request.  */
  void (*answer) (void *ctx, uint32_t number, const callers_answer_t *answer);
  void (*ended) (void *ctx, uint32_t number, callers_end_t end);
  /* Bytes that are no answer, or an answer that no request waits for.  */
  void (*stray) (void *ctx);
  void *ctx; /* borrowed */
} callers_handler_t;

typedef struct callers_t callers_t;

/* LOOP and RNG are borrowed.  */
callers_t *callers_new (loop_t *loop, const rng_t *rng, endpoint_addr_t addr,
                        const callers_handler_t *handler);
/* Closes all connections without a callback.  */
void callers_free (callers_t *callers);

void callers_set_idle_limit (callers_t *callers, int64_t limit_us);

/* Whether a request can be sent now.  */
bool callers_have_room (const callers_t *callers);

/* Writes TEXT, which holds the requests NUMBERS, on one connection.  What is
   behind SPLIT bytes is written PAUSE_US later, unless PAUSE_US is 0.  */
typedef struct callers_request_t
{
  const uint32_t *numbers;
  uint32_t count; /* CALLERS_PIPELINED at most */
  const bytes_t *text;
  size_t split;
  int64_t pause_us;
} callers_request_t;

void callers_send (callers_t *callers, const callers_request_t *request);

/* Requests that were cut off behind an answer.  */
uint64_t callers_behind (const callers_t *callers);

#endif
