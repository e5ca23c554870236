#ifndef REDWINGFORD_LEVEL_H
#define REDWINGFORD_LEVEL_H

/* Admission levels.  Each request has a position: its priority, then a rank
   that its root request got where it entered.  A daemon admits positions up
   to its level.  Levels ride on answers, so that callers refuse early what
   would be shed further down; as every hop compares the same position, a root
   request is admitted at all hops or at none.  After DAGOR (Zhou et al., SoCC
   2018), with the rank made fair to accounts as in core-stateless fair
   queueing (Stoica et al., SIGCOMM 1998): a rank is a uniform hash times the
   account's demand by weight, so one threshold gives each account the lesser
   of its demand and one common share.  */

#include "types.h"

enum
{
  LEVEL_RANK_COUNT = 256,
  LEVEL_ADMIT_ALL
  = PRIORITY_COUNT * LEVEL_RANK_COUNT /* admits every position */
};

/* 0 admits nothing; LEVEL_ALL everything.  */
typedef uint16_t level_value_t;

/* Demand of one client account at one entry daemon, as a decaying rate.  */
typedef struct demand_t
{
  double rate_per_s;
  int64_t seen_us;
} demand_t;

/* Mean demand by weight over an entry daemon's requests; zeroed to begin.  */
typedef struct demand_mean_t
{
  double mean;
} demand_mean_t;

/* A root request of the account of DEMAND enters: its rank.  */
uint8_t demand_assign_rank (demand_t *demand, demand_mean_t *scale,
                            uint32_t weight, uint64_t root_hash,
                            int64_t now_us);

static inline bool
level_admits (level_value_t level, uint8_t priority, uint8_t rank)
{
  return priority * LEVEL_RANK_COUNT + rank < level;
}

/* What a caller has heard of one route's levels: the least along the route's
   calls, averaged over the backend servers that answered.  */
typedef struct level_view_t
{
  double value;
  int64_t seen_us; /* 0 is "never" */
} level_view_t;

/* An answer or refusal of the route brought VALUE.  */
void level_view_update (level_view_t *view, level_value_t value,
                        int64_t now_us);

/* Rises again by itself when no answers come.  */
level_value_t level_view_get (const level_view_t *view, int64_t now_us);

/* The level of one backend server, set once a window from what arrived and
   what was served of late.  Where requests come with work sunk it admits
   hardly more than is served; where they come fresh a refusal by the queue
   costs little and orders them better, so it only holds off the flood.  */
typedef struct level_t
{
  bool off;
  level_value_t value;
  int64_t window_us;
  uint32_t queued;
  uint32_t queue_target;
  uint32_t arrivals[LEVEL_ADMIT_ALL];
  uint32_t arrived;
  uint32_t sunk; /* of arrived: other servers have worked for it */
  uint32_t started;
  uint32_t served;
  uint32_t shed;
  uint32_t idle;  /* times that a slot was left empty */
  uint32_t raise; /* next step up while there is room */
} level_t;

void level_init (level_t *level, bool off, int64_t now_us);

/* A request has arrived; counted whether admitted or not.  */
void level_record_arrival (level_t *level, uint8_t priority, uint8_t rank,
                           bool work_sunk);

/* A request has got a slot; a run has ended well.  */
void level_record_start (level_t *level);
void level_record_success (level_t *level);

/* A queued request was shed: the level admits too much.  */
void level_record_shed (level_t *level);

/* A slot is empty and nothing waits: the level admits too little.  */
void level_record_idle_slot (level_t *level);

/* Moves on to a new window when one is due.  QUEUED wait for SLOTS.  */
void level_tick (level_t *level, uint32_t queued, uint32_t slots,
                 int64_t now_us);

#endif
