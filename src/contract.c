#include "contract.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "contract_impl.h"

enum
{
  /* Numbers of a new life are above all those of the lives before.  */
  LIFE_SHIFT = 20
};

uint64_t
contract_mix (uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

contract_t *
contract_new (const contract_config_t *config, int64_t now_us)
{
  contract_t *contract = calloc (1, sizeof *contract);

  if (contract == NULL)
    return NULL;
  contract->config = *config;
  contract->last_us = now_us;
  for (size_t i = 0; i < CONTRACT_LOSS_RULES; i++)
    contract->many_us[i] = now_us;
  contract_owner_t *self = contract_owner_add (contract, config->self, now_us);
  if (self == NULL)
    {
      free (contract);
      return NULL;
    }
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    contract->groups[i].number = config->life << LIFE_SHIFT;
  return contract;
}

static void
free_accounts (contract_account_t *accounts, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (accounts[i].shares);
  free (accounts);
}

void
contract_free (contract_t *contract)
{
  if (contract == NULL)
    return;
  free_accounts (contract->accounts, contract->account_count);
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    free (contract->groups[i].loans);
  free (contract->index);
  free (contract->owners);
  free (contract->peers);
  free (contract);
}

/* Position of HASH in the index, or of the empty place where it would go.  */
static size_t
place (const contract_account_t *accounts, const uint32_t *index, size_t room,
       uint64_t hash)
{
  size_t i = hash % room;

  while (index[i] != 0 && accounts[index[i] - 1].hash != hash)
    i = (i + 1) % room;
  return i;
}

contract_account_t *
contract_by_hash (const contract_t *contract, uint64_t hash)
{
  if (contract->index_room == 0)
    return NULL;
  uint32_t at = contract->index[place (contract->accounts, contract->index,
                                       contract->index_room, hash)];
  return at != 0 ? &contract->accounts[at - 1] : NULL;
}

static uint64_t
hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

int
contract_find (const contract_t *contract, const char *name)
{
  const contract_account_t *account
      = contract_by_hash (contract, hash_name (name));

  return account != NULL ? (int)(account - contract->accounts) : -1;
}

/* Moves what is known of an account that stays, or begins one.  */
static void
fill_account (const contract_t *contract, contract_account_t *account,
              const contract_terms_t *terms, int64_t now_us)
{
  uint64_t hash = hash_name (terms->name);
  contract_account_t *old = contract_by_hash (contract, hash);

  if (old != NULL)
    {
      *account = *old;
      old->shares = NULL;
      old->share_count = 0;
    }
  else
    {
      account->floor.refilled_us = now_us;
      account->pool_us = now_us;
      account->wanted_us = INT64_MIN / 2;
      account->gap_us = CONTRACT_ASK_GAP_US;
    }
  account->hash = hash;
  account->group = (uint32_t)(contract_mix (hash) % CONTRACT_GROUPS);
  account->terms = *terms;
}

void
contract_set_accounts (contract_t *contract, const contract_terms_t *terms,
                       size_t count, int64_t now_us)
{
  if (count > CONTRACT_ACCOUNTS_MAX)
    count = CONTRACT_ACCOUNTS_MAX;
  contract_account_t *accounts = calloc (count + 1, sizeof *accounts);
  size_t room = 2 * count + 1;
  uint32_t *index = calloc (room, sizeof *index);
  if (accounts == NULL || index == NULL)
    {
      free (accounts);
      free (index);
      return;
    }
  /* What was earned at the old rates is credited before they change.  */
  contract_hold_tick (contract, now_us);
  for (size_t i = 0; i < count; i++)
    {
      fill_account (contract, &accounts[i], &terms[i], now_us);
      size_t at = place (accounts, index, room, accounts[i].hash);
      index[at] = (uint32_t)i + 1;
    }
  free_accounts (contract->accounts, contract->account_count);
  free (contract->index);
  contract->accounts = accounts;
  contract->account_count = count;
  contract->index = index;
  contract->index_room = room;
}

/* After a pause of this VM others may have taken its place.  */
static void
advance (contract_t *contract, int64_t now_us)
{
  if (now_us - contract->last_us > CONTRACT_PAUSE_US)
    {
      contract_owner_reset (contract, now_us);
      contract_hold_reset (contract);
    }
  if (now_us > contract->last_us)
    contract->last_us = now_us;
}

static uint64_t
holder_weight (vm_id_t vm, uint32_t group)
{
  return contract_mix (contract_mix (vm) + group);
}

static void
choose_holders (contract_t *contract)
{
  for (uint32_t group = 0; group < CONTRACT_GROUPS; group++)
    {
      vm_id_t best = contract->left ? 0 : contract->config.self;
      for (size_t i = 0; i < contract->peer_count; i++)
        if (best == 0
            || holder_weight (contract->peers[i], group)
                   > holder_weight (best, group))
          best = contract->peers[i];
      contract->groups[group].holder = best;
    }
}

void
contract_set_peers (contract_t *contract, const vm_id_t *vms, size_t count,
                    int64_t now_us)
{
  vm_id_t *peers = malloc ((count + 1) * sizeof *peers);

  if (peers == NULL)
    return;
  advance (contract, now_us);
  free (contract->peers);
  contract->peers = peers;
  contract->peer_count = 0;
  bool listed = false;
  for (size_t i = 0; i < count; i++)
    {
      listed |= vms[i] == contract->config.self;
      if (vms[i] == contract->config.self || vms[i] == 0)
        continue;
      peers[contract->peer_count++] = vms[i];
      if (!contract->counted)
        contract_owner_add (contract, vms[i], now_us);
      contract_owner_heard (contract, vms[i], now_us);
    }
  /* Others could not tell that an unlisted owner is still there.  */
  if (contract->listed && !listed)
    contract_owner_reset (contract, now_us);
  contract->listed = listed;
  choose_holders (contract);
}

static void
dispatch (contract_t *contract, vm_id_t from, const contract_message *message,
          int64_t now_us)
{
  switch (message->op)
    {
    case CONTRACT_OP_ASK:
      contract_hold_receive (contract, from, message, now_us);
      break;
    case CONTRACT_OP_GRANT:
    case CONTRACT_OP_WANT:
    case CONTRACT_OP_RETURN:
      contract_borrow_receive (contract, from, message, now_us);
      break;
    default:
      contract_owner_receive (contract, from, message, now_us);
      break;
    }
}

void
contract_send (contract_t *contract, vm_id_t to, contract_message *message,
               int64_t now_us)
{
  char buffer[MESSAGE_BYTES_MAX];
  XDR xdr;

  if (to == contract->config.self)
    {
      dispatch (contract, to, message, now_us);
      return;
    }
  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  if (xdr_contract_message (&xdr, message))
    contract->config.link.send (contract->config.link.ctx, to,
                                MESSAGE_CONTRACT, buffer, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
}

bool
contract_receive (contract_t *contract, vm_id_t from, const void *data,
                  size_t size, int64_t now_us)
{
  contract_message message = { 0 };
  XDR xdr;

  if (size > MESSAGE_BYTES_MAX)
    return false;
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  bool ok = xdr_contract_message (&xdr, &message) && xdr_getpos (&xdr) == size
            && message.op >= CONTRACT_OP_ASK
            && message.op <= CONTRACT_OP_RETURN
            && message.group < CONTRACT_GROUPS;
  xdr_destroy (&xdr);
  advance (contract, now_us);
  if (ok && from != 0 && from != contract->config.self)
    dispatch (contract, from, &message, now_us);
  xdr_free ((xdrproc_t)xdr_contract_message, &message);
  return ok;
}

int64_t
contract_tick (contract_t *contract, int64_t now_us)
{
  advance (contract, now_us);
  contract->urgent = false;
  contract_owner_tick (contract, now_us);
  contract_hold_tick (contract, now_us);
  contract_borrow_tick (contract, now_us);
  return now_us + CONTRACT_TICK_US;
}

bool
contract_urgent (const contract_t *contract)
{
  return contract->urgent;
}

void
contract_leave (contract_t *contract, int64_t now_us)
{
  contract_message message
      = { .op = CONTRACT_OP_LEAVE, .number = contract->config.life };

  contract->left = true;
  contract->counted = false;
  choose_holders (contract);
  for (size_t i = 0; i < contract->owner_count; i++)
    if (contract->owners[i].vm != contract->config.self)
      contract_send (contract, contract->owners[i].vm, &message, now_us);
}

bool
contract_has_left (const contract_t *contract, int64_t now_us)
{
  return contract->left && !contract_hold_owes (contract, now_us);
}

size_t
contract_owners (const contract_t *contract)
{
  return contract->owner_count;
}

bool
contract_is_counted (const contract_t *contract)
{
  return contract->counted;
}

size_t
contract_memory_bytes (const contract_t *contract)
{
  size_t bytes = sizeof *contract
                 + contract->account_count * sizeof (contract_account_t)
                 + contract->index_room * sizeof (uint32_t)
                 + contract->owner_room * sizeof (contract_owner_t)
                 + contract->peer_count * sizeof (vm_id_t);

  for (size_t i = 0; i < contract->account_count; i++)
    bytes += contract->accounts[i].share_room * sizeof (contract_share_t);
  for (size_t i = 0; i < CONTRACT_GROUPS; i++)
    bytes += contract->groups[i].loan_room * sizeof (contract_loan_t);
  return bytes;
}
