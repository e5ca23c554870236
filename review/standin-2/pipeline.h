#ifndef REDWINGFORD_REVIEW_PIPELINE_H
#define REDWINGFORD_REVIEW_PIPELINE_H

/* A caller that writes a few reads at once on its kept connection, waits for
   their answers and writes the next ones.  It opens a new connection when the
   last one has ended.  */

#include <http_parser.h>

#include "fleet.h"

enum
{
  PIPELINE_MAX = 32 /* requests written at once */
};

typedef struct pipeline_t
{
  fleet_t *fleet;
  int at;
  const char *paths[PIPELINE_MAX];
  uint32_t count;
  uint32_t next_count; /* of the requests written next; 0 is COUNT again */
  uint32_t timeout_ms;
  int receive_bytes; /* that the caller's machine takes unread; 0 is usual */
  int64_t rest_us;   /* between the last answer and the next requests */
  /* How long the caller reads nothing once an answer has begun to arrive, each
     time that it has written requests; 0 is not at all.  */
  int64_t stall_us;
  /* Counts the requests whose kept connection has ended without an answer,
     by the sidecar's close.  */
  void (*on_cut) (void *ctx, const fleet_request_t *request);
  void *ctx; /* borrowed */
  /* Private.  */
  fleet_request_t *requests[PIPELINE_MAX];
  uint32_t answered;      /* of the requests written last */
  uint32_t served_before; /* requests answered before on this connection */
  bool closing;           /* the last answer announced the close */
  bool is_open;
  bool stopped;
  bool has_stalled; /* since it wrote the last requests */
  ev_io reader;
  ev_timer pause; /* of a stall or a rest */
  ev_timer patience;
  http_parser parser;
} pipeline_t;

/* PIPELINE is borrowed until pipeline_stop.  */
void pipeline_start (pipeline_t *pipeline);
void pipeline_stop (pipeline_t *pipeline);

#endif
