#ifndef REDWINGFORD_CHOOSE_IMPL_H
#define REDWINGFORD_CHOOSE_IMPL_H

/* Shared by choose.c, which maintains the state of the servers, and
   choose_pick.c, which picks one.  */

#include "choose.h"
#include "clock.h"
#include "heap.h"
#include "load_estimate.h"

typedef struct server_t
{
  choose_server_t info;
  uint32_t index;      /* in servers of choose_t */
  uint32_t zone_index; /* in its list of eligible_by_zone, or NOT_IN_LIST */
  uint32_t eligible_index; /* in eligible, or NOT_IN_LIST */
  uint32_t in_flight;
  uint32_t other_load; /* pending requests of other callers at report_us */
  uint32_t window;
  int64_t report_us;
  int64_t ramp_start_us;
  load_estimate_t estimate; /* its load is used with periodic reports */
  double latency_us;
  int64_t latency_updated_us;
  double refusal_share;
  int64_t refusal_updated_us; /* last update of refusal_share */
  double failure_share;
  uint32_t consecutive_failures;
  bool failing;
  bool ejected;
  uint32_t ejection_count;
  int64_t ejection_end_us;
  uint32_t ejection_heap_index;
  struct server_t *hash_next;
} server_t;

typedef struct server_list_t
{
  server_t **items;
  uint32_t count;
  uint32_t capacity;
} server_list_t;

struct choose_t
{
  choose_options_t options;
  int64_t created_us;
  server_list_t servers;
  server_list_t eligible; /* in service and not ejected */
  server_list_t eligible_by_zone[CHOOSE_ZONES_MAX];
  server_t **buckets;
  uint32_t bucket_bits;
  heap_t ejected; /* ordered by ejection_end_us */
  uint32_t in_service_count;
  uint32_t failing_count;
  double latency_sum_us; /* over the servers with a measured latency */
  uint32_t latency_count;
  double mean_run_us; /* 0 before the first run; used with periodic reports */
};

/* Ends the ejections whose time is over.  */
void choose_end_expired_ejections (choose_t *choose, int64_t now_us);

/* Returns the share of its normal sampling probability that SERVER gets now, 0
   to 1.  */
double choose_ramp_share (const choose_t *choose, const server_t *server,
                          int64_t now_us);

/* Time until a server that returned gets its normal share.  */
enum
{
  CHOOSE_RAMP_US = 10 * US_PER_S
};

#endif
