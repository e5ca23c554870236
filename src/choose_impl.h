#ifndef REDWINGFORD_CHOOSE_IMPL_H
#define REDWINGFORD_CHOOSE_IMPL_H

/* Shared by choose.c, which keeps what is known of the servers, and
   choose_pick.c, which picks one.  */

#include "choose.h"
#include "clock.h"
#include "heap.h"

typedef struct server_t
{
  choose_server_t known;
  uint32_t index;      /* in servers */
  uint32_t zone_index; /* in its zone's list, or NOT_LISTED */
  uint32_t all_index;  /* in the list of all, or NOT_LISTED */
  uint32_t in_flight;
  uint32_t reported; /* load of other callers, as of report_us */
  uint32_t window;
  int64_t report_us;
  int64_t ramp_us;  /* start of its ramp */
  double told_slow; /* by the server's daemon */
  int64_t told_slow_us;
  double latency_us;
  int64_t latency_seen_us;
  double refusal_share;
  int64_t refusal_us; /* when it was last counted */
  double failure_share;
  uint32_t failures_in_row;
  bool bad;
  bool ejected;
  uint32_t ejections;
  int64_t eject_end_us;
  uint32_t eject_place;
  struct server_t *chain;
} server_t;

typedef struct server_list_t
{
  server_t **items;
  uint32_t count;
  uint32_t room;
} server_list_t;

struct choose_t
{
  choose_options_t options;
  int64_t created_us;
  server_list_t servers;
  server_list_t all; /* in and not ejected */
  server_list_t zones[CHOOSE_ZONES_MAX];
  server_t **buckets;
  uint32_t bucket_bits;
  heap_t ejected; /* by end */
  uint32_t in_count;
  uint32_t bad_count;
  double latency_sum_us; /* over servers with a latency */
  uint32_t latency_count;
};

/* Brings back the servers whose ejection is over.  */
void choose_restore_due (choose_t *choose, int64_t now_us);

/* Share of its normal sampling that a server gets, 0 to 1.  */
double choose_ramp (const choose_t *choose, const server_t *server,
                    int64_t now_us);

enum
{
  CHOOSE_RAMP_US = 10 * US_PER_S
};

#endif
