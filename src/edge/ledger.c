#include "edge/ledger.h"

#include <stddef.h>

#include "invariant.h"

static void
add (ledger_t *ledger, ledger_account_t *account, ledger_stage_t stage)
{
  ledger->counts[stage]++;
  account->counts[stage]++;
}

static void
subtract (ledger_t *ledger, ledger_account_t *account, ledger_stage_t stage,
          uint32_t count)
{
  INVARIANT (account->counts[stage] >= count,
             "%u requests leave stage %d of a connection that has %u", count,
             (int)stage, account->counts[stage]);
  ledger->counts[stage] -= count;
  account->counts[stage] -= count;
}

static void
unlink_entry (ledger_t *ledger, ledger_entry_t *entry)
{
  if (entry->older != NULL)
    entry->older->newer = entry->newer;
  else
    ledger->oldest = entry->newer;
  if (entry->newer != NULL)
    entry->newer->older = entry->older;
  else
    ledger->newest = entry->older;
  entry->older = NULL;
  entry->newer = NULL;
}

void
ledger_enter (ledger_t *ledger, ledger_account_t *account,
              ledger_entry_t *entry, int64_t now_us)
{
  *entry = (ledger_entry_t){ .older = ledger->newest,
                             .first_byte_us = now_us,
                             .stage = LEDGER_READING };
  if (ledger->newest != NULL)
    ledger->newest->newer = entry;
  else
    ledger->oldest = entry;
  ledger->newest = entry;
  ledger->entered++;
  add (ledger, account, LEDGER_READING);
}

void
ledger_advance (ledger_t *ledger, ledger_account_t *account,
                ledger_entry_t *entry)
{
  INVARIANT (entry->stage < LEDGER_UNSENT, "a request is answered twice");
  subtract (ledger, account, entry->stage, 1);
  entry->stage++;
  add (ledger, account, entry->stage);
  if (entry->stage == LEDGER_UNSENT)
    unlink_entry (ledger, entry);
}

void
ledger_answered (ledger_t *ledger, ledger_account_t *account, uint32_t count)
{
  subtract (ledger, account, LEDGER_UNSENT, count);
  ledger->answered += count;
}

void
ledger_leave (ledger_t *ledger, ledger_account_t *account,
              ledger_entry_t *entry, uint32_t reason)
{
  if (entry->stage != LEDGER_UNSENT)
    unlink_entry (ledger, entry);
  subtract (ledger, account, entry->stage, 1);
  ledger->abandoned[entry->stage][reason]++;
}

void
ledger_leave_unsent (ledger_t *ledger, ledger_account_t *account,
                     uint32_t count, uint32_t reason)
{
  subtract (ledger, account, LEDGER_UNSENT, count);
  ledger->abandoned[LEDGER_UNSENT][reason] += count;
}

int64_t
ledger_oldest_us (const ledger_t *ledger, int64_t now_us)
{
  return ledger->oldest != NULL ? now_us - ledger->oldest->first_byte_us : 0;
}

void
ledger_check (const ledger_t *ledger, const ledger_account_t *total)
{
  uint64_t known = ledger->answered;
  for (int stage = 0; stage < LEDGER_STAGE_COUNT; stage++)
    {
      INVARIANT (ledger->counts[stage] == total->counts[stage],
                 "%u requests in stage %d, their connections have %u",
                 ledger->counts[stage], stage, total->counts[stage]);
      known += ledger->counts[stage];
      for (int reason = 0; reason < LEDGER_REASONS_MAX; reason++)
        known += ledger->abandoned[stage][reason];
    }
  INVARIANT (ledger->entered == known, "%llu requests entered, %llu are known",
             (unsigned long long)ledger->entered, (unsigned long long)known);
  INVARIANT (
      (ledger->oldest == NULL)
          == (ledger->counts[LEDGER_READING] == 0
              && ledger->counts[LEDGER_OPEN] == 0),
      "the list of requests without a response does not fit the counts");
}
