#ifndef REDWINGFORD_LEVEL_H
#define REDWINGFORD_LEVEL_H

/* Admission levels.  Each request has a position: its priority, followed by a
   rank that its entry daemon assigned to its root request.  A daemon admits
   the positions below its level.  Answers carry the level, so that callers
   refuse early what a downstream server would shed.  Every hop compares the
   same position, so that a root request is admitted at all hops or at none.
   The scheme follows DAGOR (Zhou et al., SoCC 2018).  Ranks are fair between
   accounts as in core-stateless fair queueing (Stoica et al., SIGCOMM 1998): a
   rank increases with the product of a uniform hash and the account's demand
   per weight, so one threshold gives each account the lesser of its demand and
   a common share.  */

#include "types.h"

enum
{
  LEVEL_RANK_COUNT = 256,
  /* Admits every position.  */
  LEVEL_ADMIT_ALL = PRIORITY_COUNT * LEVEL_RANK_COUNT
};

/* 0 admits no position, LEVEL_ADMIT_ALL every position.  */
typedef uint16_t level_value_t;

/* Demand of one client account at one entry daemon, as an exponentially
   decaying rate.  */
typedef struct demand_t
{
  double rate_per_s;
  int64_t updated_us;
} demand_t;

/* Mean demand per weight over an entry daemon's requests; initialized to
   zero.  */
typedef struct demand_mean_t
{
  double mean_rate_per_s;
} demand_mean_t;

/* Counts a root request in DEMAND, which belongs to its account, and returns
   the rank of the request.  */
uint8_t demand_assign_rank (demand_t *demand, demand_mean_t *mean_demand,
                            uint32_t weight, uint64_t root_hash,
                            int64_t now_us);

static inline bool
level_admits (level_value_t level, uint8_t priority, uint8_t rank)
{
  return priority * LEVEL_RANK_COUNT + rank < level;
}

/* Level of one route as known to a caller: the minimum along the route's
   calls, averaged over the backend servers that answered.  */
typedef struct level_view_t
{
  double value;
  int64_t updated_us; /* 0 if never */
} level_view_t;

/* Records the level VALUE from an answer or refusal of the route.  */
void level_view_update (level_view_t *view, level_value_t value,
                        int64_t now_us);

/* Returns the level of the route.  It rises to LEVEL_ADMIT_ALL while no
   answers arrive.  */
level_value_t level_view_get (const level_view_t *view, int64_t now_us);

/* Admission level of one backend server, updated once per window from the
   recent numbers of arrivals and served requests.  If most arrivals have
   upstream work, that is, other servers have worked for their root requests,
   it admits hardly more than is served.  Otherwise a refusal by the queue
   costs little and the queue selects better, so that the level only refuses
   arrivals far above what is served.  */
typedef struct level_t
{
  bool disabled;
  level_value_t value;
  int64_t window_start_us;
  uint32_t queued;
  uint32_t queue_target;
  uint32_t arrivals_by_position[LEVEL_ADMIT_ALL];
  uint32_t arrival_count;
  uint32_t upstream_work_count; /* arrivals with upstream work */
  uint32_t start_count;
  uint32_t success_count;
  uint32_t shed_count;
  uint32_t idle_slot_count; /* times that a slot stayed empty */
  uint32_t raise_step;      /* next increase while slots are idle */
} level_t;

/* Starts at LEVEL_ADMIT_ALL and stays there if DISABLED.  */
void level_init (level_t *level, bool disabled, int64_t now_us);

/* Counts a request that has arrived, whether it is admitted or not.  */
void level_record_arrival (level_t *level, uint8_t priority, uint8_t rank,
                           bool has_upstream_work);

/* Count a request that has got a slot, and a run that has succeeded.  */
void level_record_start (level_t *level);
void level_record_success (level_t *level);

/* Counts a queued request that was shed: the level admits too many
   requests.  */
void level_record_shed (level_t *level);

/* Counts a time at which one more request could have been started but none was
   queued (an idle slot): the admission level admits too few requests.  */
void level_record_idle_slot (level_t *level);

/* Updates the level and begins a new window when one is due.  QUEUED requests
   wait for one of SLOTS slots.  */
void level_tick (level_t *level, uint32_t queued, uint32_t slots,
                 int64_t now_us);

#endif
