#ifndef REDWINGFORD_ROLLOUT_EVIDENCE_H
#define REDWINGFORD_ROLLOUT_EVIDENCE_H

/* Compares the runs of the new version of a service with those of the old one.
   The sidecar beside each server of the service counts the ends of runs by
   route (rollout_counter_t) and reports the counts, which only grow.  Each
   sidecar adds up the reports that it receives in buckets of half a second
   (rollout_evidence_t) and compares the versions within the same seconds,
   since failures deeper in the call tree affect both.

   Does no I/O and reads no clock.  */

#include "clock.h"
#include "types.h"

enum
{
  ROLLOUT_ROUTES_MAX = 8, /* further routes are counted together */
  ROLLOUT_EXPLANATION_BYTES = 256,
  /* Counts of a sidecar that was not heard for longer are not assigned to
     seconds any more.  */
  ROLLOUT_REPORT_GAP_MAX_US = 2 * US_PER_S
};

typedef enum rollout_run_result_t
{
  ROLLOUT_RUN_SUCCEEDED,
  /* The server replied with a failure: status 5xx that does not state that the
     request has not run, or a malformed response.  */
  ROLLOUT_RUN_FAILED,
  /* The run was cut off, or the server did not reply by the deadline.  It
     counts as slow if it took over four times the mean, else as failed.
     Several of the latter within a tenth of a second count as one run, because
     a server that crashes cuts all its runs at once.  */
  ROLLOUT_RUN_NO_RESPONSE
} rollout_run_result_t;

/* Counts of one route since the sidecar learned of the order.  They wrap
   around.  */
typedef struct rollout_route_counts_t
{
  uint32_t route_hash; /* 0 is all routes beyond ROLLOUT_ROUTES_MAX */
  uint32_t runs;
  uint32_t failed;
  /* Runs longer than twice and four times the mean run time of the route.  The
     first shows how many runs a server of half the speed would have beyond
     four times the mean.  */
  uint32_t over_2x;
  uint32_t over_4x;
} rollout_route_counts_t;

/* The counts that a sidecar reports.  */
typedef struct rollout_counts_t
{
  uint32_t route_count;
  rollout_route_counts_t routes[ROLLOUT_ROUTES_MAX + 1];
} rollout_counts_t;

/* Hash of a route's name, the same at all sidecars; never 0.  */
uint32_t rollout_route_hash (const char *route);

/* Counts the runs of the local backend server, of either version.  All zero
   when the order is learned.  */
typedef struct rollout_counter_t
{
  rollout_counts_t counts;
  int64_t no_response_us; /* last one that was counted as failed; 0 is none */
} rollout_counter_t;

/* Counts the end of a run of ROUTE that began after the order was learned and
   took RUN_US.  MEAN_RUN_US is the route's mean run time as known before the
   order, or, if it was not known then, as learned from old servers; 0 is
   unknown, and no run is counted as slow.  IN_COLD_START is whether the run
   began during the server's announced cold start; it is then not counted as
   slow either.  Requests that the server refused as not run, and requests that
   the sidecar cancelled, are not recorded.  */
void rollout_counter_record_run (rollout_counter_t *counter, const char *route,
                                 rollout_run_result_t result, int64_t run_us,
                                 int64_t mean_run_us, bool in_cold_start,
                                 int64_t now_us);

typedef struct rollout_evidence_t rollout_evidence_t;

/* Free the result with rollout_evidence_free.  */
rollout_evidence_t *rollout_evidence_new (void);

/* EVIDENCE may be NULL.  */
void rollout_evidence_free (rollout_evidence_t *evidence);

/* Makes ROUTE's name known for explanations, which otherwise show its hash.
   Names beyond a bound are ignored.  */
void rollout_evidence_note_route (rollout_evidence_t *evidence,
                                  const char *route);

/* Applies the counts that the sidecar of VM reported, or the local ones.
   IS_NEW is whether its server has the target version.  Only the growth since
   the last report of the same incarnation and version counts.  The first
   report of an incarnation is the base, since it may cover an older time; so
   is one after ROLLOUT_REPORT_GAP_MAX_US without reports.  A report of an
   older incarnation, or with counts below the last ones, is ignored.  */
void rollout_evidence_apply (rollout_evidence_t *evidence, vm_id_t vm,
                             incarnation_t incarnation, bool is_new,
                             const rollout_counts_t *counts, int64_t now_us);

typedef enum rollout_verdict_t
{
  ROLLOUT_VERDICT_OPEN, /* nothing speaks against the version so far */
  ROLLOUT_VERDICT_FAILING,
  ROLLOUT_VERDICT_SLOW
} rollout_verdict_t;

/* Compares the versions over several windows that end about half a second ago,
   on all routes together and on each route.  Call it when reports have been
   applied, at most four times a second: the level of significance accounts
   for that many looks.  If the result is not ROLLOUT_VERDICT_OPEN and
   EXPLANATION is not NULL, stores the counts that decided it there, in at most
   ROLLOUT_EXPLANATION_BYTES.  */
rollout_verdict_t rollout_evidence_verdict (const rollout_evidence_t *evidence,
                                            int64_t now_us, char *explanation);

/* Runs, failed runs and slow runs of a version since the evidence began, as
   received.  */
typedef struct rollout_totals_t
{
  uint64_t runs;
  uint64_t failed;
  uint64_t over_4x;
} rollout_totals_t;

rollout_totals_t rollout_evidence_totals (const rollout_evidence_t *evidence,
                                          bool is_new);

/* Whether the new version has had enough runs, altogether and on each route
   that carries a relevant part of the old version's runs, for a bad version to
   have been detected.  A service with few requests needs fewer.  If not, and
   EXPLANATION is not NULL, stores there what is missing.  */
bool rollout_evidence_is_sufficient (const rollout_evidence_t *evidence,
                                     char *explanation);

#endif
