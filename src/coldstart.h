#ifndef REDWINGFORD_COLDSTART_H
#define REDWINGFORD_COLDSTART_H

/* Cold start of one backend server: a window on requests in flight that opens
   over the warm-up time.  A cut connection or a latency step tells that the
   server has fallen back to cold.  O(1).  */

#include "limit.h"

typedef struct coldstart_t
{
  bool disabled;
  bool cold;
  uint32_t cold_slots; /* as announced; 0 is "not told" */
  int64_t warm_us;     /* as announced; 0 is "not told" */
  double progress;     /* 0 is cold, 1 is warm */
  int64_t progress_us; /* when progress was last advanced */
  int64_t begun_us;
  int64_t held_us; /* no progress before this time */
  uint32_t slow_streak;
  double slow_sum_us;
  bool on_trial; /* fell back by a latency step, not yet confirmed */
  uint32_t trial_samples;
  double trial_sum_us;
  double step_mean_us; /* mean latency of the step on trial */
  double base_us;      /* normal latency before it */
} coldstart_t;

typedef enum coldstart_event_t
{
  COLDSTART_NO_EVENT,
  COLDSTART_RESTARTED,     /* the window has closed to its smallest */
  COLDSTART_FALSE_POSITIVE /* the latency step had another cause */
} coldstart_event_t;

void coldstart_init (coldstart_t *coldstart, bool off, int64_t now_us);
void coldstart_set_announced (coldstart_t *coldstart, uint32_t cold_slots,
                              int64_t warm_us);

/* The server is known to be cold from NOW_US on.  */
void coldstart_begin (coldstart_t *coldstart, int64_t now_us);

/* A run has ended.  BASE_US is the server's normal latency, 0 if unknown.  */
coldstart_event_t coldstart_record_run (coldstart_t *coldstart,
                                        run_result_t result,
                                        int64_t latency_us, double base_us,
                                        int64_t now_us);

/* Requests that may be in flight of SLOTS, at least 1.  */
uint32_t coldstart_update_window (coldstart_t *coldstart, uint32_t slots,
                                  int64_t now_us);

#endif
