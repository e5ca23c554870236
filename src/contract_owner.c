#include "contract_impl.h"

#include <stdlib.h>
#include <string.h>

/* When a part of the fleet has lost the rest: a part smaller than 1/STOP of
   the owners gives its floors up after STOP_US; the rest shares them out
   after EVICT_US if no more than 1/EVICT are missing.  EVICT_US is longer
   than STOP_US by the lease of a floor and the time that membership may take
   to notice, and EVICT larger than STOP, so that the one has stopped before
   the other begins.  */
typedef struct loss_rule_t
{
  int64_t stop_us;
  int64_t evict_us;
  size_t stop_divisor;
  size_t evict_divisor;
} loss_rule_t;

static const loss_rule_t loss_rules[] = {
  { 5LL * 1000 * 1000, 20LL * 1000 * 1000, 4, 6 },
  { 75LL * 60 * 1000 * 1000, 150LL * 60 * 1000 * 1000, 2, 3 },
};

_Static_assert(sizeof loss_rules / sizeof loss_rules[0] == CONTRACT_LOSS_RULES,
               "one time per rule");

static int64_t
later (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static size_t
lower_bound (const contract_t *contract, vm_id_t vm)
{
  size_t low = 0;
  size_t high = contract->owner_count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (contract->owners[middle].vm < vm)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static contract_owner_t *
find (contract_t *contract, vm_id_t vm)
{
  size_t i = lower_bound (contract, vm);

  if (i < contract->owner_count && contract->owners[i].vm == vm)
    return &contract->owners[i];
  return NULL;
}

contract_owner_t *
contract_owner_add (contract_t *contract, vm_id_t vm, int64_t now_us)
{
  contract_owner_t *owner = find (contract, vm);

  if (owner != NULL || vm == 0 || contract->owner_count == CONTRACT_OWNERS_MAX)
    return owner;
  if (contract->owner_count == contract->owner_room)
    {
      size_t room = contract->owner_room ? contract->owner_room * 2 : 16;
      contract_owner_t *owners
          = realloc (contract->owners, room * sizeof *owners);
      if (owners == NULL)
        return NULL;
      contract->owners = owners;
      contract->owner_room = room;
    }
  size_t i = lower_bound (contract, vm);
  owner = &contract->owners[i];
  memmove (owner + 1, owner, (contract->owner_count - i) * sizeof *owner);
  *owner = (contract_owner_t){ .vm = vm, .heard_us = now_us };
  contract->owner_count++;
  return owner;
}

void
contract_owner_heard (contract_t *contract, vm_id_t vm, int64_t now_us)
{
  contract_owner_t *owner = find (contract, vm);

  if (owner != NULL)
    owner->heard_us = now_us;
}

static uint32_t
owners_digest (const contract_t *contract)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < contract->owner_count; i++)
    digest ^= contract_mix (contract->owners[i].vm);
  return (uint32_t)digest;
}

void
contract_owner_reset (contract_t *contract, int64_t now_us)
{
  contract->counted = false;
  contract->vouched_us = 0;
  for (size_t i = 0; i < CONTRACT_LOSS_RULES; i++)
    contract->many_us[i] = now_us;
  contract->next_count_us = 0;
  for (size_t i = 0; i < contract->owner_count; i++)
    contract->owners[i].acked_us = 0;
}

static void
remove_owner (contract_t *contract, size_t i)
{
  contract->owner_count--;
  memmove (&contract->owners[i], &contract->owners[i + 1],
           (contract->owner_count - i) * sizeof *contract->owners);
}

/* How many owners have been silent for SPAN_US.  */
static size_t
silent_for (const contract_t *contract, int64_t span_us, int64_t now_us)
{
  size_t silent = 0;

  for (size_t i = 0; i < contract->owner_count; i++)
    silent += contract->owners[i].vm != contract->config.self
              && now_us - contract->owners[i].heard_us > span_us;
  return silent;
}

/* Shares out the floors of owners that are lost.  The few that are missing
   must have been few for as long: had they been many a moment ago, they were
   a part that did not have to stop.  */
static void
evict (contract_t *contract, size_t index, int64_t now_us)
{
  const loss_rule_t *rule = &loss_rules[index];
  size_t silent = silent_for (contract, rule->stop_us, now_us);

  if (silent * rule->evict_divisor > contract->owner_count)
    contract->many_us[index] = now_us;
  if (now_us - contract->many_us[index] <= rule->evict_us)
    return;
  for (size_t i = 0; i < contract->owner_count;)
    {
      const contract_owner_t *owner = &contract->owners[i];
      if (owner->vm != contract->config.self
          && now_us - later (owner->heard_us, owner->asked_us)
                 > rule->evict_us)
        remove_owner (contract, i);
      else
        i++;
    }
}

/* A part that is too small to know that it has not been given up.  */
static bool
is_cut_off (const contract_t *contract, int64_t now_us)
{
  for (size_t i = 0; i < CONTRACT_LOSS_RULES; i++)
    {
      const loss_rule_t *rule = &loss_rules[i];
      size_t heard = contract->owner_count
                     - silent_for (contract, rule->stop_us, now_us);
      if (heard * rule->stop_divisor < contract->owner_count)
        return true;
    }
  return false;
}

static void
remove_leavers (contract_t *contract, int64_t now_us)
{
  for (size_t i = 0; i < contract->owner_count;)
    if (contract->owners[i].gone_us != 0
        && contract->owners[i].gone_us <= now_us)
      remove_owner (contract, i);
    else
      i++;
}

static bool
has_acked (const contract_owner_t *owner, int64_t now_us)
{
  return owner->acked_us != 0 && now_us - owner->acked_us < CONTRACT_ACK_US;
}

/* Parts that were cut off from each other must not both begin a fleet.  */
static bool
may_begin (contract_t *contract, int64_t now_us)
{
  const contract_config_t *config = &contract->config;
  size_t reached = 0;

  for (size_t i = 0; i < config->seed_count; i++)
    {
      const contract_owner_t *owner = find (contract, config->seeds[i]);
      reached += config->seeds[i] == config->self
                 || (owner != NULL && has_acked (owner, now_us));
    }
  return config->seed_count == 0 || 2 * reached > config->seed_count;
}

/* Asks every owner that has not counted this VM to do so.  */
static void
ask_to_be_counted (contract_t *contract, int64_t now_us)
{
  contract_message message = { .op = CONTRACT_OP_COUNT,
                               .number = contract->config.life,
                               .stamp = (uint64_t)now_us,
                               .digest = owners_digest (contract) };
  size_t lacking = 0;

  for (size_t i = 0; i < contract->owner_count; i++)
    {
      const contract_owner_t *owner = &contract->owners[i];
      if (owner->vm == contract->config.self || has_acked (owner, now_us))
        continue;
      lacking++;
      contract_send (contract, owner->vm, &message, now_us);
    }
  bool vouched = contract->vouched_us != 0
                 && now_us - contract->vouched_us < CONTRACT_ACK_US;
  contract->counted = lacking == 0 && now_us >= contract->wait_until_us
                      && (vouched || may_begin (contract, now_us));
}

void
contract_owner_tick (contract_t *contract, int64_t now_us)
{
  if (now_us < contract->next_count_us)
    return;
  contract->next_count_us = now_us + CONTRACT_COUNT_US;
  if (contract->left)
    return;
  remove_leavers (contract, now_us);
  if (is_cut_off (contract, now_us))
    {
      contract_owner_reset (contract, now_us);
      contract->next_count_us = now_us + CONTRACT_COUNT_US;
    }
  else
    for (size_t i = 0; i < CONTRACT_LOSS_RULES; i++)
      evict (contract, i, now_us);
  if (contract->counted || !contract->listed)
    return;
  ask_to_be_counted (contract, now_us);
}

/* How long loans may stand that were made without regard to OWNER's floor:
   this VM's own, and those of an earlier life of OWNER.  */
static int64_t
standing_us (const contract_t *contract, const contract_owner_t *owner,
             int64_t now_us)
{
  int64_t until_us = now_us;

  if (owner->reborn_us != 0)
    until_us = later (until_us, owner->reborn_us + CONTRACT_LEND_US);
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    {
      const contract_group_t *group = &contract->groups[i];
      until_us = later (until_us, group->lent_until_us);
      for (size_t j = 0; j < group->loan_count; j++)
        if (group->loans[j].vm == owner->vm)
          until_us = later (until_us, group->loans[j].until_us);
    }
  return until_us - now_us;
}

static void
send_owners (contract_t *contract, vm_id_t to, const contract_message *request,
             int64_t standing, int64_t now_us)
{
  bool list = request->digest != owners_digest (contract);
  u_quad_t vms[CONTRACT_VMS_MAX];
  size_t sent = 0;

  do
    {
      contract_message message = { .op = CONTRACT_OP_COUNTED,
                                   .number = request->number,
                                   .life = request->stamp,
                                   .owners = contract->counted,
                                   .stamp = (uint64_t)standing };
      u_int count = 0;
      while (list && count < CONTRACT_VMS_MAX && sent < contract->owner_count)
        vms[count++] = contract->owners[sent++].vm;
      message.vms.vms_len = count;
      message.vms.vms_val = vms;
      contract_send (contract, to, &message, now_us);
    }
  while (list && sent < contract->owner_count);
}

/* Adds what others know of; a VM that was not in the count before has yet to
   count this one.  */
static void
take_owners (contract_t *contract, const contract_message *message,
             int64_t now_us)
{
  for (u_int i = 0; i < message->vms.vms_len; i++)
    {
      vm_id_t vm = message->vms.vms_val[i];
      if (vm != contract->config.self)
        contract_owner_add (contract, vm, now_us);
    }
}

/* FROM counted this VM some time after it was asked to, which the answer
   tells: it may come late.  */
static void
take_counted (contract_t *contract, vm_id_t from,
              const contract_message *message, int64_t now_us)
{
  int64_t asked_us = (int64_t)message->life;

  take_owners (contract, message, now_us);
  if (asked_us > now_us)
    return;
  if (message->owners > 0)
    contract->vouched_us = later (contract->vouched_us, asked_us);
  contract->wait_until_us
      = later (contract->wait_until_us,
               now_us + CONTRACT_MARGIN_US
                   + (int64_t)(message->stamp % CONTRACT_STAMP_MAX));
  contract_owner_t *owner = find (contract, from);
  if (owner != NULL)
    owner->acked_us = later (owner->acked_us, asked_us);
}

void
contract_owner_receive (contract_t *contract, vm_id_t from,
                        const contract_message *message, int64_t now_us)
{
  contract_owner_t *owner;

  switch (message->op)
    {
    case CONTRACT_OP_COUNT:
      owner = contract_owner_add (contract, from, now_us);
      if (owner == NULL || contract->left)
        return;
      if (message->number < owner->life)
        return;
      if (owner->life != 0 && owner->life != message->number)
        owner->reborn_us = now_us;
      owner->life = message->number;
      owner->gone_us = 0;
      owner->asked_us = now_us;
      send_owners (contract, from, message,
                   standing_us (contract, owner, now_us), now_us);
      break;
    case CONTRACT_OP_COUNTED:
      if (message->number == contract->config.life && !contract->counted)
        take_counted (contract, from, message, now_us);
      break;
    case CONTRACT_OP_LEAVE:
      owner = find (contract, from);
      if (owner != NULL && owner->gone_us == 0
          && message->number == owner->life)
        owner->gone_us = now_us + CONTRACT_LEND_US + CONTRACT_MARGIN_US;
      break;
    default:
      break;
    }
}
