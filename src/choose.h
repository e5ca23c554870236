#ifndef REDWINGFORD_CHOOSE_H
#define REDWINGFORD_CHOOSE_H

/* Load balancing among the backend servers of one service.  The caller's own
   availability zone is preferred while it has spare capacity; only the
   requests above that go to other zones.  Without periodic reports, of two
   servers sampled at random, the one with fewer requests in flight relative to
   its capacity is chosen (Mitzenmacher, 2001).  With them, each server is
   chosen with the probability that evens out the load (load_estimate.h); own
   requests in flight lower it, so that the own requests are spread as evenly.
   The choice is then among CHOOSE_SAMPLE_MAX servers.  A bounded share of the
   servers can be ejected because they fail; while most servers fail, none is
   ejected.  A server that returns is sampled with a low probability, which
   rises over time (ramp).  Not thread-safe: the caller serializes the calls.
   Each call takes O(log n) time or less for n servers of the service.  */

#include "limit.h"
#include "rng.h"
#include "types.h"

enum
{
  CHOOSE_ZONES_MAX = 64,
  CHOOSE_SAMPLE_MAX = 16
};

typedef struct choose_options_t
{
  /* The servers report their loads periodically, with choose_record_load, and
     to all senders alike.  */
  bool periodic_reports;
  /* Each of the others switches one mechanism off, for tests.  */
  bool no_zone_preference; /* treat all zones as one */
  bool no_load_balancing;  /* choose uniformly at random */
  bool no_ejection;
  bool no_ramp;
} choose_options_t;

typedef struct choose_t choose_t;

/* Creates a load balancer without servers; OPTIONS are copied.  Servers that
   are added in its first two seconds are sampled with the full probability at
   once, without the ramp described above: they are new to this daemon only.
   Free with choose_free.  */
choose_t *choose_new (const choose_options_t *options, int64_t now_us);
void choose_free (choose_t *choose);

typedef struct choose_server_t
{
  vm_id_t vm;
  uint32_t zone;  /* index, below CHOOSE_ZONES_MAX */
  uint32_t slots; /* announced by the server; 0 counts as 1 */
  /* The server or its zone was taken out of service, or the server is
     leaving.  */
  bool out_of_service;
  incarnation_t incarnation;
} choose_server_t;

/* Adds SERVER or updates its attributes.  A ramp begins for a new server, for
   one that returns to service, and for one with a new incarnation or zone.  */
void choose_set_server (choose_t *choose, const choose_server_t *server,
                        int64_t now_us);

/* Removes the server VM, if it is known.  */
void choose_remove_server (choose_t *choose, vm_id_t vm);

/* Picks a server in service that is not among the EXCLUDE_COUNT servers of
   EXCLUDE and stores it in *VM.  Returns false if there is none.  The request
   is not counted as in flight until choose_record_send.  */
bool choose_pick_server (choose_t *choose, uint32_t own_zone,
                         const vm_id_t *exclude, size_t exclude_count,
                         const rng_t *rng, int64_t now_us, vm_id_t *vm);

/* Counts a request sent to VM as in flight until choose_record_result.  */
void choose_record_send (choose_t *choose, vm_id_t vm);

/* Load report of the executing daemon, taken from an answer or a refusal.  */
typedef struct choose_report_t
{
  uint32_t pending_count; /* requests in flight or queued at the server */
  /* Limit of the requests in flight at the server; 0 if unknown.  */
  uint32_t window;
} choose_report_t;

/* Records how a request sent to VM has ended.  REPORT may be NULL.  RUN_SHED
   stands for any refusal and does not count as a failure.  */
void choose_record_result (choose_t *choose, vm_id_t vm, run_result_t result,
                           int64_t latency_us, const choose_report_t *report,
                           int64_t now_us);

/* Records a periodic report of VM's load.  REPORT->window must be known.  */
void choose_record_load (choose_t *choose, vm_id_t vm,
                         const choose_report_t *report, int64_t now_us);

/* Records the run time of a request at one of the servers, in microseconds
   and not relative to its kind of request.  Used with periodic reports.  */
void choose_record_run_time (choose_t *choose, int64_t run_us);

/* Sets the ratio of actual to expected run time that the executing daemon of
   VM measured over the requests of all callers.  It takes precedence over the
   latency measured here.  SLOWDOWN is positive.  */
void choose_set_slowdown (choose_t *choose, vm_id_t vm, double slowdown,
                          int64_t now_us);

/* State of one server, for "redwingford status".  */
typedef struct choose_status_t
{
  choose_server_t server;
  uint32_t in_flight; /* requests sent by this daemon */
  bool ejected;
  double ramp_share; /* share of its normal sampling probability, 0 to 1 */
  int64_t latency_us;
} choose_status_t;

uint32_t choose_server_count (const choose_t *choose);

/* Stores the state of the server at INDEX in *STATUS.  Returns false if INDEX
   is not below choose_server_count.  */
bool choose_get_status (const choose_t *choose, uint32_t index, int64_t now_us,
                        choose_status_t *status);

/* Returns whether more than half of the servers in service are failing, so
   that no further server is ejected.  */
bool choose_in_panic (const choose_t *choose);

#endif
