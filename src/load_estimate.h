#ifndef REDWINGFORD_LOAD_ESTIMATE_H
#define REDWINGFORD_LOAD_ESTIMATE_H

/* What one sender expects of a server's load now, and the share of its
   requests that it should send there.  Reports are some hundred milliseconds
   old, and all senders act on the same ones.  A report is therefore not
   compared directly: the weight of a server is the share of the requests with
   which all senders together bring it to the mean utilization of the service
   by the time of the next report (Dahlin, Interpreting stale load
   information).  It reads no clock; its state belongs to the caller.  */

#include <stdbool.h>
#include <stdint.h>

typedef struct load_estimate_t
{
  double pending;      /* requests running or queued, as reported */
  double window;       /* limit of the running requests, as reported */
  int64_t load_us;     /* time of that report; 0 is none */
  uint32_t sent_count; /* own requests sent since */
  double slowdown;     /* time of a run relative to the usual; 0 is unknown */
  double usual_slowdown; /* mean of the slowdowns reported */
  int64_t slowdown_us;   /* time of the last of them */
} load_estimate_t;

/* Forgets the load, for a server that has started again.  */
void load_estimate_reset (load_estimate_t *estimate);

/* Records the load that the server's sidecar has reported.  A WINDOW of 0 is
   unknown; the report is then ignored.  */
void load_estimate_report (load_estimate_t *estimate, uint32_t pending,
                           uint32_t window, int64_t now_us);

/* Records a reported slowdown, which is positive.  */
void load_estimate_report_slowdown (load_estimate_t *estimate, double slowdown,
                                    int64_t now_us);

/* Counts a request sent to the server.  */
void load_estimate_send (load_estimate_t *estimate);

/* Whether the last report of the load still says something.  */
bool load_estimate_is_fresh (const load_estimate_t *estimate, int64_t now_us);

/* Returns the requests that are expected to be running or queued, for a server
   with CAPACITY slots.  The report fades into MEAN_UTILIZATION, the mean of
   the service's servers, as it gets older.  */
double load_estimate_pending (const load_estimate_t *estimate, double capacity,
                              double mean_utilization, int64_t now_us);

/* Returns the slowdown expected now, or 0 if none was reported recently.  The
   last report fades into the usual slowdown.  */
double load_estimate_slowdown (const load_estimate_t *estimate,
                               int64_t now_us);

/* Returns the weight of a server of the given UTILIZATION (expected pending
   requests by CAPACITY) and SLOWDOWN.  RUN_US is the mean run time of the
   service; 0 is unknown.  */
double load_estimate_weight (double capacity, double slowdown,
                             double utilization, double mean_utilization,
                             int64_t run_us);

#endif
