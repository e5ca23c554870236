#ifndef REDWINGFORD_CONFIG_PULL_H
#define REDWINGFORD_CONFIG_PULL_H

/* Fetches one text from a peer: first the list of its chunks' hashes, then
   the chunks that the text in hand lacks.  Bounded by the announced size.  */

#include "config_head.h"
#include "config_proto.h"
#include "config_text.h"

typedef struct config_pull_t config_pull_t;

/* Starts fetching HEAD's text from FROM.  Free with config_pull_free.  */
config_pull_t *config_pull_new (const config_head_t *head, vm_id_t from,
                                int64_t now_us);
void config_pull_free (config_pull_t *pull);

const config_head_t *config_pull_head (const config_pull_t *pull);
vm_id_t config_pull_from (const config_pull_t *pull);

/* Takes a part of the list, using the chunks of OLD (may be NULL).  */
void config_pull_list (config_pull_t *pull, const config_list *list,
                       const config_text_t *old, int64_t now_us);
void config_pull_chunk (config_pull_t *pull, const config_chunk *chunk,
                        int64_t now_us);

/* Fills *message with what to ask next and returns true, unless answers to an
   earlier question are still awaited.  The message's arrays stay valid until
   the next call.  */
bool config_pull_ask (config_pull_t *pull, config_message *message,
                      int64_t now_us);

/* No answer to several questions, or answers that do not fit the head.  */
bool config_pull_failed (const config_pull_t *pull, int64_t now_us);

/* When config_pull_ask wants to be called again.  */
int64_t config_pull_due_us (const config_pull_t *pull);

/* The whole text once all is there and its hash fits, else NULL.  The caller
   frees it.  */
config_text_t *config_pull_take (config_pull_t *pull);

#endif
