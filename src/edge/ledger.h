#ifndef REDWINGFORD_LEDGER_H
#define REDWINGFORD_LEDGER_H

/* Ledger of the requests that a server owes a response to.  A request enters
   when its first byte is read.  It leaves when its complete response has been
   handed to the socket, or for the reason that its connection is closed.
   Nothing is allocated; all functions take constant time.  */

#include <stdint.h>

typedef enum ledger_stage_t
{
  LEDGER_READING, /* the request is not complete */
  LEDGER_OPEN,    /* it is, and has no complete response */
  LEDGER_UNSENT,  /* it has, which the socket has not taken as a whole */
  LEDGER_STAGE_COUNT
} ledger_stage_t;

enum
{
  LEDGER_REASONS_MAX = 16 /* reasons to leave unanswered, from 0 */
};

/* A request, embedded in what its owner keeps of it.  */
typedef struct ledger_entry_t
{
  struct ledger_entry_t *older; /* of those in LEDGER_READING or LEDGER_OPEN */
  struct ledger_entry_t *newer;
  int64_t first_byte_us;
  ledger_stage_t stage;
} ledger_entry_t;

/* The requests of one connection.  */
typedef struct ledger_account_t
{
  uint32_t counts[LEDGER_STAGE_COUNT];
} ledger_account_t;

typedef struct ledger_t
{
  ledger_entry_t *oldest;
  ledger_entry_t *newest;
  uint32_t counts[LEDGER_STAGE_COUNT];
  /* Since the start.  */
  uint64_t entered;
  uint64_t answered;
  uint64_t abandoned[LEDGER_STAGE_COUNT][LEDGER_REASONS_MAX];
} ledger_t;

/* Enters a request whose first byte was read now.  */
void ledger_enter (ledger_t *ledger, ledger_account_t *account,
                   ledger_entry_t *entry, int64_t now_us);

/* Moves ENTRY to the next stage.  In LEDGER_UNSENT it may be freed; its
   account still counts it.  */
void ledger_advance (ledger_t *ledger, ledger_account_t *account,
                     ledger_entry_t *entry);

/* The socket has taken COUNT complete responses.  */
void ledger_answered (ledger_t *ledger, ledger_account_t *account,
                      uint32_t count);

/* ENTRY leaves unanswered, for REASON.  */
void ledger_leave (ledger_t *ledger, ledger_account_t *account,
                   ledger_entry_t *entry, uint32_t reason);

/* COUNT requests whose entries are freed leave with their responses unsent,
   for REASON.  */
void ledger_leave_unsent (ledger_t *ledger, ledger_account_t *account,
                          uint32_t count, uint32_t reason);

/* Returns the age of the oldest request without a complete response, or 0.  */
int64_t ledger_oldest_us (const ledger_t *ledger, int64_t now_us);

/* Checks that each request that entered has left or is counted, and that
   TOTAL, the sum of all accounts, counts the same.  */
void ledger_check (const ledger_t *ledger, const ledger_account_t *total);

#endif
