#include "clock.h"
#include "contract_impl.h"

int64_t
contract_scale (int64_t value, int64_t part, int64_t whole)
{
  if (whole <= 0)
    return 0;
  return (int64_t)((__int128)value * part / whole);
}

void
contract_refill (contract_bucket_t *bucket, int64_t now_us)
{
  int64_t span_us = now_us - bucket->refilled_us;

  if (span_us <= 0)
    return;
  bucket->refilled_us = now_us;
  bucket->tokens_ut += contract_scale (bucket->rate_per_s, span_us, US_PER_S);
  if (bucket->tokens_ut > bucket->cap_ut)
    bucket->tokens_ut = bucket->cap_ut;
}

int64_t
contract_span_us (const contract_account_t *account)
{
  const contract_terms_t *terms = &account->terms;

  if (terms->burst / (CONTRACT_RENEW_US / CONTRACT_SPAN_US)
      >= terms->rate_per_s)
    return CONTRACT_RENEW_US;
  return (int64_t)CONTRACT_SPAN_US * terms->burst / terms->rate_per_s;
}

int64_t
contract_gap_us (const contract_account_t *account)
{
  const contract_terms_t *terms = &account->terms;

  return 2 * terms->burst < terms->rate_per_s ? CONTRACT_ASK_GAP_US / 2
                                              : CONTRACT_ASK_GAP_US;
}
