#ifndef REDWINGFORD_INTAKE_H
#define REDWINGFORD_INTAKE_H

/* What the sidecar beside one backend server decides: which requests run now,
   which wait, which are refused.

   - Calls of other backend servers go before requests of callers: work that
     has been done already hangs on them.  Among them the earliest deadline
     goes first, which finishes trees of calls before it begins new ones.
   - A request waits only while it can still end in time, by the work that is
     ahead of it and its own; it is refused at once otherwise.
   - A server that is full may never answer, so no more than its slots run.
   - A cold server gets requests at the rate that it bears.
   - PRESSURE tells the sidecars where callers enter what share of them to
     refuse there, before work is spent on them.

   No locks; the caller passes the time.  Entries are borrowed from
   intake_offer until they have ended.  */

#include "heap.h"
#include "mesh/call.h"
#include "queue.h"

typedef struct intake_entry_t
{
  /* Set by the caller, zeroed before.  */
  uint32_t account; /* number for fairness between client accounts */
  uint8_t priority;
  bool from_backend;
  int64_t wait_us;     /* longest time in the queue */
  int64_t expected_us; /* that its run takes; 0 is "not known" */
  int64_t deadline_us;
  void *handle; /* the caller's */
  /* Private.  */
  queue_entry_t entry; /* of a caller's request */
  uint32_t place;      /* of a call, in its queue */
  int64_t started_us;
  bool running;
} intake_entry_t;

typedef enum intake_verdict_t
{
  INTAKE_START, /* holds a slot until intake_finished */
  INTAKE_QUEUED,
  INTAKE_REFUSED /* has ended */
} intake_verdict_t;

typedef struct intake_actions_t
{
  /* A queued entry holds a slot from now on.  */
  void (*start) (void *ctx, intake_entry_t *entry);
  /* A queued entry has ended; it did not run.  */
  void (*refuse) (void *ctx, intake_entry_t *entry, cause_t cause);
  void *ctx; /* borrowed */
} intake_actions_t;

typedef struct intake_t intake_t;

intake_t *intake_new (const intake_actions_t *actions, int64_t now_us);
void intake_free (intake_t *intake);

/* What is known of the backend server.  */
typedef struct intake_server_t
{
  uint32_t slots;
  bool known;    /* an instance is there and well */
  bool leaving;  /* nothing new is started */
  bool zone_out; /* its availability zone was taken out */
  int64_t cold_until_us;
  double cold_per_s; /* 0 is any */
} intake_server_t;

/* Queued entries that can no longer run here are refused.  */
void intake_set_server (intake_t *intake, const intake_server_t *server,
                        int64_t now_us);

/* On INTAKE_REFUSED *cause says why.  */
intake_verdict_t intake_offer (intake_t *intake, intake_entry_t *entry,
                               int64_t now_us, cause_t *cause);

/* A started entry has ended.  RAN is false when the server refused it.  */
void intake_finished (intake_t *intake, intake_entry_t *entry, bool ran,
                      int64_t now_us);

/* Takes a queued entry back; it has ended without a callback.  */
void intake_withdraw (intake_t *intake, intake_entry_t *entry);

/* Starts and refuses what is due.  Returns when it is next due.  */
int64_t intake_tick (intake_t *intake, int64_t now_us);

server_load_t intake_load (const intake_t *intake);

/* Mean time that a run takes; 0 before the first.  */
int64_t intake_run_us (const intake_t *intake);

/* Whether the server takes anything new at all.  */
bool intake_is_open (const intake_t *intake);

bool intake_is_cold (const intake_t *intake, int64_t now_us);

#endif
