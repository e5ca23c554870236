#ifndef REDWINGFORD_CONFIG_HEAD_H
#define REDWINGFORD_CONFIG_HEAD_H

/* Which document is the newest: the rules that daemons and publishers apply
   alike to the records of the log and to what peers announce.  */

#include "config_record.h"

typedef struct config_head_t
{
  doc_version_t version; /* 0: none yet */
  char publication_id[REQUEST_ID_BYTES];
  int64_t accepted_ms; /* Unix time when a daemon first took it */
  /* Known to have won its base: read in a whole log, or learned from a daemon
     or a snapshot that knew.  A log whose beginning is gone may show a
     publication that had lost.  */
  bool anchored;
  uint64_t text_hash;
  uint32_t text_size;
} config_head_t;

typedef enum config_verdict_t
{
  CONFIG_TAKEN,    /* is the head now */
  CONFIG_REPEATED, /* is the head already */
  CONFIG_LOST,     /* another publication on the same base came first */
  CONFIG_OLDER     /* is of a version before the head's */
} config_verdict_t;

/* Rules that can be switched off, to show that they are needed.  */
typedef struct config_rules_t
{
  bool first_wins;       /* the first publication on a base, not the last */
  bool forward_only;     /* never to an older version */
  bool snapshots_anchor; /* what is anchored beats what is not */
} config_rules_t;

extern const config_rules_t config_rules_all;

/* Offers a record read from the log at wall time NOW_MS.  WHOLE says that the
   log was read from a beginning that still holds its first record.  */
config_verdict_t config_head_offer (config_head_t *head,
                                    const config_rules_t *rules,
                                    const config_record_t *record, bool whole,
                                    int64_t now_ms);

bool config_head_same (const config_head_t *a, const config_head_t *b);

/* Whether OTHER, announced by a peer or a snapshot, is to replace MINE: a
   higher version; or the same version by another publication when MINE is
   not anchored and OTHER is, or, both being alike in that, OTHER was accepted
   earlier.  */
bool config_head_yields (const config_head_t *mine,
                         const config_rules_t *rules,
                         const config_head_t *other);

/* Adds what OTHER, the same publication, knows more.  */
void config_head_merge (config_head_t *mine, const config_head_t *other);

#endif
