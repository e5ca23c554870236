#ifndef REDWINGFORD_LIMIT_H
#define REDWINGFORD_LIMIT_H

/* Concurrency limit of one backend server, from the latency and refusals that
   its daemon measures itself.  Never above what the server has announced,
   never below one.  Latencies are the server's own: the time that a request
   spent waiting for its child calls is left out.  O(1).  */

#include "types.h"

typedef enum limit_algorithm_t
{
  /* Additive increase, multiplicative decrease; cuts that do not bring latency
     down are taken back.  */
  LIMIT_AIMD,
  /* Little's law with the least mean latency of recent windows.  */
  LIMIT_LITTLE,
  /* Short against long average of latency (Netflix, "gradient2").  */
  LIMIT_GRADIENT,
  /* The announced slots, as they are.  */
  LIMIT_FIXED,
  LIMIT_ALGORITHM_COUNT
} limit_algorithm_t;

typedef enum run_result_t
{
  RUN_OK,
  RUN_SHED,            /* the backend server refused before running */
  RUN_FAILED,          /* it answered with an error, or not in time */
  RUN_CONNECTION_LOST, /* the connection was cut or could not be made */
  RUN_CANCELLED        /* by this side */
} run_result_t;

enum
{
  LIMIT_WINDOWS = 64 /* windows remembered for the least latency */
};

typedef struct limit_t
{
  limit_algorithm_t kind;
  uint32_t announced_max; /* least of slots and connections */
  double estimate;        /* what the kind computes */
  int64_t window_us;      /* start of the window being measured */
  int64_t ignore_us;      /* samples of requests started before are left out */
  int64_t latency_sum_us;
  uint32_t samples;
  uint32_t in_flight_max;
  uint32_t shed_at; /* in flight at the window's last refusal, or 0 */
  double mean_us;   /* of the last full window; 0 before the first */
  double long_us;   /* long average, for LIMIT_GRADIENT */
  double means_us[LIMIT_WINDOWS];
  int64_t mean_times_us[LIMIT_WINDOWS];
  uint32_t next_mean;
  double baseline_us; /* least of means_us */
  double cut_mean_us; /* mean that led to the cut on trial, or 0 */
  double cut_estimate;
} limit_t;

void limit_init (limit_t *limit, limit_algorithm_t kind, int64_t now_us);

/* SLOTS and CONNECTIONS as the server announced them; 0 is "not told".  */
void limit_set_announced (limit_t *limit, uint32_t slots,
                          uint32_t connections);

/* One run has ended, with IN_FLIGHT at that time, itself included.  */
void limit_record_run (limit_t *limit, run_result_t result, int64_t latency_us,
                       uint32_t in_flight, int64_t now_us);

/* Forgets what was measured: the server is a new one.  */
void limit_reset (limit_t *limit, int64_t now_us);

/* Takes the present latency as the server's normal one.  */
void limit_reset_baseline (limit_t *limit, double mean_us, int64_t now_us);

/* Requests that may be in flight, at least 1.  */
uint32_t limit_get (const limit_t *limit);

/* Mean latency of late, 0 before anything is known.  */
int64_t limit_mean_latency_us (const limit_t *limit);

#endif
