#include "contract_part.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

struct contract_part_t
{
  pthread_mutex_t lock;
  contract_part_config_t config;
  contract_t *contract;
  int64_t next_peers_us;
  vm_id_t peers[CONTRACT_OWNERS_MAX]; /* control thread only */
};

contract_part_t *
contract_part_new (const contract_part_config_t *config, int64_t now_us)
{
  contract_part_t *part = calloc (1, sizeof *part);
  contract_config_t core = { .self = config->self,
                             .life = config->life,
                             .link = config->link,
                             .rng = config->rng };

  if (part == NULL)
    return NULL;
  part->config = *config;
  for (size_t i = 0; i < config->seed_count && i < CONTRACT_SEEDS_MAX; i++)
    core.seeds[core.seed_count++] = config->seeds[i];
  part->contract = contract_new (&core, now_us);
  if (part->contract == NULL)
    {
      free (part);
      return NULL;
    }
  pthread_mutex_init (&part->lock, NULL);
  return part;
}

void
contract_part_free (contract_part_t *part)
{
  if (part == NULL)
    return;
  contract_free (part->contract);
  pthread_mutex_destroy (&part->lock);
  free (part);
}

static void
part_receive (void *ctx, vm_id_t from, const void *data, size_t size,
              int64_t now_us)
{
  contract_part_t *part = ctx;

  pthread_mutex_lock (&part->lock);
  contract_receive (part->contract, from, data, size, now_us);
  pthread_mutex_unlock (&part->lock);
}

static int64_t
part_tick (void *ctx, int64_t now_us)
{
  contract_part_t *part = ctx;
  bool renew = now_us >= part->next_peers_us;
  size_t count = 0;

  if (renew)
    {
      part->next_peers_us = now_us + US_PER_S / 2;
      count = part->config.peers (part->config.peers_ctx, part->peers,
                                  CONTRACT_OWNERS_MAX);
    }
  pthread_mutex_lock (&part->lock);
  if (renew)
    contract_set_peers (part->contract, part->peers, count, now_us);
  int64_t next_us = contract_tick (part->contract, now_us);
  pthread_mutex_unlock (&part->lock);
  return next_us;
}

static json_t *
part_status (void *ctx)
{
  contract_part_t *part = ctx;

  pthread_mutex_lock (&part->lock);
  json_t *status
      = json_pack ("{s:I, s:b, s:I}", "owners",
                   (json_int_t)contract_owners (part->contract), "counted",
                   (int)contract_is_counted (part->contract), "table_bytes",
                   (json_int_t)contract_memory_bytes (part->contract));
  pthread_mutex_unlock (&part->lock);
  return status;
}

part_t
contract_part_part (contract_part_t *part)
{
  return (part_t){ .name = "contract",
                   .kind = MESSAGE_CONTRACT,
                   .receive = part_receive,
                   .tick = part_tick,
                   .status = part_status,
                   .ctx = part };
}

void
contract_part_set_accounts (contract_part_t *part,
                            const doc_account_t *accounts, size_t count,
                            int64_t now_us)
{
  contract_terms_t *terms = calloc (count + 1, sizeof *terms);

  if (terms == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      memcpy (terms[i].name, accounts[i].name, NAME_BYTES);
      terms[i].rate_per_s = accounts[i].rate_per_s;
      terms[i].burst = accounts[i].burst;
      terms[i].weight = accounts[i].weight;
    }
  pthread_mutex_lock (&part->lock);
  contract_set_accounts (part->contract, terms, count, now_us);
  pthread_mutex_unlock (&part->lock);
  free (terms);
}

typedef reason_t (*spend_t) (contract_t *contract, size_t index,
                             int64_t now_us);

static reason_t
spend_by_name (contract_part_t *part, spend_t spend, const char *account,
               int64_t now_us)
{
  reason_t reason = REASON_SHARE_PENDING;

  pthread_mutex_lock (&part->lock);
  bool before = contract_urgent (part->contract);
  int index = contract_find (part->contract, account);
  if (index >= 0)
    reason = spend (part->contract, (size_t)index, now_us);
  bool wake = !before && contract_urgent (part->contract);
  pthread_mutex_unlock (&part->lock);
  if (wake && part->config.wake != NULL)
    part->config.wake (part->config.wake_ctx);
  return reason;
}

reason_t
contract_part_spend (contract_part_t *part, const char *account,
                     int64_t now_us)
{
  return spend_by_name (part, contract_spend, account, now_us);
}

reason_t
contract_part_spend_again (contract_part_t *part, const char *account,
                           int64_t now_us)
{
  return spend_by_name (part, contract_spend_again, account, now_us);
}

void
contract_part_leave (contract_part_t *part, int64_t now_us)
{
  pthread_mutex_lock (&part->lock);
  contract_leave (part->contract, now_us);
  pthread_mutex_unlock (&part->lock);
}

bool
contract_part_has_left (contract_part_t *part, int64_t now_us)
{
  pthread_mutex_lock (&part->lock);
  bool left = contract_has_left (part->contract, now_us);
  pthread_mutex_unlock (&part->lock);
  return left;
}
