#ifndef REDWINGFORD_LIMIT_H
#define REDWINGFORD_LIMIT_H

/* Concurrency limit of one backend server, computed from the latency and the
   refusals that its own daemon measures.  It is never above what the server
   has announced and never below one.  Latencies exclude the time that a
   request waits for its child calls.  Each call takes O(1) time.  */

#include "types.h"

typedef enum limit_algorithm_t
{
  /* Additive increase, multiplicative decrease.  Cuts that do not reduce the
     latency are undone.  */
  LIMIT_AIMD,
  /* Little's law with the minimum mean latency of recent windows.  */
  LIMIT_LITTLE,
  /* Ratio of the long-term to the short-term mean latency (Netflix,
     "gradient2").  */
  LIMIT_GRADIENT,
  /* The announced maximum, unchanged.  */
  LIMIT_FIXED,
  LIMIT_ALGORITHM_COUNT
} limit_algorithm_t;

typedef enum run_result_t
{
  RUN_OK,
  RUN_SHED,            /* refused by the backend server before it ran */
  RUN_FAILED,          /* answered with an error, or not in time */
  RUN_CONNECTION_LOST, /* connection lost, or not established */
  RUN_CANCELLED        /* by this side */
} run_result_t;

enum
{
  LIMIT_WINDOW_COUNT = 64 /* windows over which the minimum latency is taken */
};

typedef struct limit_t
{
  limit_algorithm_t algorithm;
  uint32_t announced_max; /* minimum of slots and connections; 0 if unknown */
  double estimate;        /* limit computed by the algorithm */
  /* Start of the window whose latencies are being summed.  */
  int64_t window_start_us;
  int64_t ignore_before_us; /* runs that started earlier are ignored */
  int64_t latency_sum_us;
  uint32_t sample_count;
  uint32_t in_flight_max;
  /* Requests in flight at the window's last refusal, or 0.  */
  uint32_t shed_in_flight;
  double last_mean_us; /* of the last full window; 0 before the first */
  double long_mean_us; /* for LIMIT_GRADIENT */
  double window_means_us[LIMIT_WINDOW_COUNT];
  int64_t window_end_times_us[LIMIT_WINDOW_COUNT];
  uint32_t next_window;
  double baseline_us;     /* minimum of window_means_us */
  double pre_cut_mean_us; /* mean that led to the cut being evaluated, or 0 */
  double pre_cut_estimate;
} limit_t;

/* Starts at a default limit, which applies until limit_set_announced.  */
void limit_init (limit_t *limit, limit_algorithm_t algorithm, int64_t now_us);

/* Sets SLOTS and CONNECTIONS as announced by the server; 0 if unknown.  */
void limit_set_announced (limit_t *limit, uint32_t slots,
                          uint32_t connections);

/* Records a run that has ended.  IN_FLIGHT is the number of requests in flight
   at that time, including this one.  */
void limit_record_run (limit_t *limit, run_result_t result, int64_t latency_us,
                       uint32_t in_flight, int64_t now_us);

/* Discards all measurements, for a server that has been replaced or
   restarted.  */
void limit_reset (limit_t *limit, int64_t now_us);

/* Discards the latencies of earlier windows and makes MEAN_US the
   baseline.  */
void limit_reset_baseline (limit_t *limit, double mean_us, int64_t now_us);

/* Returns the number of requests that may be in flight, at least 1.  */
uint32_t limit_get (const limit_t *limit);

/* Returns the mean latency of the last full window, or 0 before the first.  */
int64_t limit_mean_latency_us (const limit_t *limit);

#endif
