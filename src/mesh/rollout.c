#include "mesh/rollout.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  PPM = 1000000,
  /* Part of the bound that is used, in percent.  The rest covers requests that
     are sent twice, by a sidecar or a caller, and are counted once.  */
  SHARE_USED_PERCENT = 80,
  /* Requests to the new version that may be saved up.  With more, the senders
     of a large service would all use them in the same moment, on the few
     servers of the period.  */
  CREDIT_MAX_PPM = 2 * PPM,
  /* The same where they are sent at the pace of full service.  */
  PACED_CREDIT_MAX_PPM = 64 * PPM,
  /* Least time of a turn, so that a server's load can rise.  */
  TURN_MIN_US = 400 * US_PER_MS,
  /* New servers are started 1.3 s after the order and announced a moment
     later; the periods share the time that is left.  */
  START_ALLOWANCE_US = 2500 * US_PER_MS,
  PERIOD_MIN_US = 500 * US_PER_MS,
  PERIOD_MAX_US = 2 * US_PER_S,
  /* Time at the end of a roll-out for shifting and completion.  */
  SHIFT_TIME_MIN_US = 3 * US_PER_S,
  SHIFT_TIME_DIVISOR = 4
};

struct rollout_t
{
  rollout_order_t order;
  uint32_t share_ppm; /* the used part of the bound */
  int64_t start_us;   /* local time of the order */
  rollout_state_t state;
  rollout_halt_reason_t halt_reason;
  /* Requests that may go to the new version, in millionths of a request.  It
     grows by the share with each first attempt, so that the sum of what is
     spent never exceeds the share of the total.  */
  int64_t credit_ppm;
  /* New servers that accept requests, 0 if unknown, and the pace at which
     those that have their turn get requests: the part of the requests that
     they would get in full service.  */
  uint32_t new_count;
  int64_t pace_ppm;
  uint64_t total_sends;
  uint64_t canary_sends;
};

static bool
has_equal_content (const rollout_order_t *a, const rollout_order_t *b)
{
  return strcmp (a->service, b->service) == 0
         && strcmp (a->target_version, b->target_version) == 0
         && (a->duration_us == b->duration_us || a->duration_us == 0
             || b->duration_us == 0);
}

rollout_order_relation_t
rollout_order_relation (const rollout_order_t *known,
                        const rollout_order_t *other)
{
  int order = store_position_compare (other->position, known->position);
  if (order == 0
      || (other->position.era != known->position.era
          && has_equal_content (known, other)))
    return ROLLOUT_ORDER_SAME;
  return order > 0 ? ROLLOUT_ORDER_NEWER : ROLLOUT_ORDER_OLDER;
}

rollout_t *
rollout_new (const rollout_order_t *order, const rollout_settings_t *settings,
             int64_t elapsed_us, int64_t now_us)
{
  rollout_t *rollout = calloc (1, sizeof *rollout);
  if (rollout == NULL)
    abort ();
  rollout->order = *order;
  rollout->share_ppm
      = (uint32_t)((uint64_t)settings->share_ppm * SHARE_USED_PERCENT / 100);
  rollout->start_us = now_us - elapsed_us;
  rollout->state = ROLLOUT_OBSERVING;
  return rollout;
}

void
rollout_free (rollout_t *rollout)
{
  free (rollout);
}

const rollout_order_t *
rollout_order (const rollout_t *rollout)
{
  return &rollout->order;
}

void
rollout_note_position (rollout_t *rollout, store_position_t position)
{
  if (store_position_compare (position, rollout->order.position) > 0)
    rollout->order.position = position;
}

void
rollout_note_elapsed (rollout_t *rollout, int64_t elapsed_us, int64_t now_us)
{
  if (now_us - elapsed_us < rollout->start_us)
    rollout->start_us = now_us - elapsed_us;
}

int64_t
rollout_elapsed_us (const rollout_t *rollout, int64_t now_us)
{
  return now_us - rollout->start_us;
}

rollout_state_t
rollout_state (const rollout_t *rollout)
{
  return rollout->state;
}

bool
rollout_merge_state (rollout_t *rollout, rollout_state_t state,
                     rollout_halt_reason_t reason)
{
  if (state <= rollout->state || state > ROLLOUT_COMPLETED)
    return false;
  rollout->state = state;
  rollout->halt_reason = state == ROLLOUT_HALTED ? reason : ROLLOUT_NOT_HALTED;
  return true;
}

bool
rollout_halt (rollout_t *rollout, rollout_halt_reason_t reason)
{
  return rollout_merge_state (rollout, ROLLOUT_HALTED, reason);
}

rollout_halt_reason_t
rollout_halt_reason (const rollout_t *rollout)
{
  return rollout->halt_reason;
}

/* Servers that get requests in one period: as many as bear the load of full
   service together.  A server may bear a tenth more than that.  */
static uint32_t
canary_group_size (const rollout_t *rollout, uint32_t count)
{
  uint64_t share_count_ppm = (uint64_t)rollout->share_ppm * count;
  uint64_t size = (share_count_ppm + PPM - PPM / 10 - 1) / PPM;
  return size == 0 ? 1 : (uint32_t)size;
}

void
rollout_note_new_servers (rollout_t *rollout, uint32_t count)
{
  rollout->new_count = count;
}

/* Part of the requests that the servers of one period get in full service.  */
static int64_t
full_service_ppm (const rollout_t *rollout)
{
  if (rollout->new_count == 0)
    return PPM;
  return (int64_t)canary_group_size (rollout, rollout->new_count) * PPM
         / rollout->new_count;
}

rollout_choice_t
rollout_pick (const rollout_t *rollout, bool is_retry, bool has_new_server)
{
  if (rollout->state == ROLLOUT_SHIFTING
      || rollout->state == ROLLOUT_COMPLETED)
    return ROLLOUT_USE_NEW;
  if (rollout->state == ROLLOUT_HALTED || is_retry || !has_new_server)
    return ROLLOUT_USE_OLD;
  return rollout->credit_ppm + rollout->share_ppm >= PPM
                 && rollout->pace_ppm + full_service_ppm (rollout) >= PPM
             ? ROLLOUT_USE_NEW
             : ROLLOUT_USE_OLD;
}

void
rollout_record_send (rollout_t *rollout, rollout_choice_t choice,
                     bool is_retry, bool has_new_server)
{
  if (!is_retry)
    rollout->total_sends++;
  if (rollout->state != ROLLOUT_OBSERVING)
    return;
  int64_t credit_max_ppm
      = rollout->new_count > 0 ? PACED_CREDIT_MAX_PPM : CREDIT_MAX_PPM;
  if (!is_retry && (has_new_server || rollout->new_count > 0))
    rollout->credit_ppm += rollout->share_ppm;
  if (!is_retry && has_new_server)
    rollout->pace_ppm += full_service_ppm (rollout);
  if (rollout->credit_ppm > credit_max_ppm)
    rollout->credit_ppm = credit_max_ppm;
  if (rollout->pace_ppm > CREDIT_MAX_PPM)
    rollout->pace_ppm = CREDIT_MAX_PPM;
  if (choice == ROLLOUT_USE_NEW)
    {
      rollout->canary_sends++;
      rollout->credit_ppm -= PPM;
      rollout->pace_ppm -= PPM;
    }
}

uint64_t
rollout_total_sends (const rollout_t *rollout)
{
  return rollout->total_sends;
}

uint64_t
rollout_canary_sends (const rollout_t *rollout)
{
  return rollout->canary_sends;
}

static int64_t
observation_us (const rollout_t *rollout)
{
  int64_t shift_us = rollout->order.duration_us / SHIFT_TIME_DIVISOR;
  if (shift_us < SHIFT_TIME_MIN_US)
    shift_us = SHIFT_TIME_MIN_US;
  return rollout->order.duration_us - shift_us;
}

static int64_t
period_us (const rollout_t *rollout, uint32_t group_count)
{
  int64_t period
      = (observation_us (rollout) - START_ALLOWANCE_US) / group_count;
  if (period < PERIOD_MIN_US)
    return PERIOD_MIN_US;
  return period > PERIOD_MAX_US ? PERIOD_MAX_US : period;
}

bool
rollout_is_canary_server (const rollout_t *rollout, uint32_t index,
                          uint32_t count, int64_t now_us)
{
  if (rollout->state == ROLLOUT_SHIFTING
      || rollout->state == ROLLOUT_COMPLETED)
    return true;
  if (rollout->state == ROLLOUT_HALTED || index >= count)
    return false;
  uint32_t group_size = canary_group_size (rollout, count);
  uint32_t group_count = count / group_size;
  int64_t length_us = period_us (rollout, group_count);
  int64_t elapsed_us = rollout_elapsed_us (rollout, now_us);
  int64_t turn_us = length_us * rollout->share_ppm / PPM * count / group_size;
  if (turn_us < TURN_MIN_US)
    turn_us = TURN_MIN_US;
  return index % group_count
             == (uint32_t)(elapsed_us / length_us % group_count)
         && elapsed_us % length_us < turn_us;
}

bool
rollout_observation_is_over (const rollout_t *rollout, int64_t now_us)
{
  return rollout_elapsed_us (rollout, now_us) >= observation_us (rollout);
}

const char *
rollout_state_name (rollout_state_t state)
{
  switch (state)
    {
    case ROLLOUT_OBSERVING:
      return "observing";
    case ROLLOUT_SHIFTING:
      return "shifting";
    case ROLLOUT_HALTED:
      return "halted";
    case ROLLOUT_COMPLETED:
      return "completed";
    }
  return "unknown";
}

const char *
rollout_halt_reason_name (rollout_halt_reason_t reason)
{
  switch (reason)
    {
    case ROLLOUT_NOT_HALTED:
      return "not halted";
    case ROLLOUT_HALT_EVIDENCE:
      return "evidence";
    case ROLLOUT_HALT_REPORTED:
      return "reported by another sidecar";
    case ROLLOUT_HALT_STATUS:
      return "status in the store";
    case ROLLOUT_HALT_WITHDRAWN:
      return "order deleted";
    case ROLLOUT_HALT_REPLACED:
      return "order replaced";
    }
  return "unknown";
}
