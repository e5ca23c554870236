#ifndef REDWINGFORD_COLDSTART_H
#define REDWINGFORD_COLDSTART_H

/* Cold start of one backend server: a limit (window) of requests in flight
   that rises over the warm-up time.  A lost connection or a step in latency
   indicates that the server is cold again.  Each call takes O(1) time.  */

#include "limit.h"

typedef struct coldstart_t
{
  bool disabled;
  bool cold;
  uint32_t cold_slots; /* as announced; 0 if unknown */
  int64_t warm_us;     /* as announced; 0 if unknown */
  double progress;     /* 0 is cold, 1 is warm */
  int64_t progress_updated_us;
  int64_t start_us;
  int64_t hold_until_us; /* no progress before this time */
  uint32_t slow_run_count;
  double slow_latency_sum_us;
  bool in_trial; /* restarted by a latency step, not yet confirmed */
  uint32_t trial_run_count;
  double trial_latency_sum_us;
  double step_mean_us; /* mean latency of the step being evaluated */
  double baseline_us;  /* normal latency before the step */
} coldstart_t;

typedef enum coldstart_event_t
{
  COLDSTART_NO_EVENT,
  COLDSTART_RESTARTED,     /* the window is at its minimum again */
  COLDSTART_FALSE_POSITIVE /* the latency step had another cause */
} coldstart_event_t;

/* Starts a cold start at NOW_US.  If DISABLED, the window is always all
   slots.  */
void coldstart_init (coldstart_t *coldstart, bool disabled, int64_t now_us);

/* Sets the announced number of requests that the server handles when cold, and
   its warm-up time; 0 if unknown.  */
void coldstart_set_announced (coldstart_t *coldstart, uint32_t cold_slots,
                              int64_t warm_us);

/* Starts a cold start at NOW_US, with the window at its minimum.  */
void coldstart_begin (coldstart_t *coldstart, int64_t now_us);

/* Records a run that has ended and returns what follows from it.  BASELINE_US
   is the server's normal latency, 0 if unknown.  */
coldstart_event_t coldstart_record_run (coldstart_t *coldstart,
                                        run_result_t result,
                                        int64_t latency_us, double baseline_us,
                                        int64_t now_us);

/* Advances the cold start to NOW_US and returns how many requests may be in
   flight: SLOTS once the server is warm, fewer before, at least 1.  */
uint32_t coldstart_update_window (coldstart_t *coldstart, uint32_t slots,
                                  int64_t now_us);

#endif
