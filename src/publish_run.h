#ifndef REDWINGFORD_PUBLISH_RUN_H
#define REDWINGFORD_PUBLISH_RUN_H

/* Publishing from a command or the console: reads what is in force, turns an
   edited document into a draft, and carries out the steps of
   config_publish.h.  All calls block.  */

#include <jansson.h>

#include "clock.h"
#include "config_publish.h"
#include "doc.h"

typedef struct publish_env_t
{
  log_service_t log;
  const clock_source_t *clock; /* borrowed */
  /* Asks a daemon for its head; false when none answers.  NULL when there is
     no daemon to ask: the best result is then PUBLISH_RECORDED.  */
  bool (*ask) (void *ctx, config_head_t *head, bool *confirmed);
  void *ask_ctx; /* borrowed */
} publish_env_t;

/* What the log holds.  Free with publish_current_free.  */
typedef struct publish_current_t
{
  config_head_t head;
  char *text;      /* of the newest document, "" when there is none */
  char *base_text; /* of the version that was asked for, or NULL */
} publish_current_t;

/* Reads the log to its end.  BASE is a version whose text is wanted as well,
   or 0.  */
bool publish_fetch (const publish_env_t *env, doc_version_t base,
                    publish_current_t *current, error_info_t *error);
void publish_current_free (publish_current_t *current);

/* A document ready to be published.  Free with publish_draft_free.  */
typedef struct publish_draft_t
{
  config_head_t base; /* without an id: the one in the log */
  char id[REQUEST_ID_BYTES];
  char *text;
  doc_t *doc;
} publish_draft_t;

/* Gives ROOT (borrowed, changed) the version after BASE and a publication id
   that follows from its contents, so that the same again is the same
   publication.  False with all faults.  */
bool publish_draft_make (json_t *root, const config_head_t *base,
                         publish_draft_t *draft, doc_errors_t *errors);
void publish_draft_free (publish_draft_t *draft);

publish_result_t publish_run (const publish_env_t *env,
                              const publish_draft_t *draft);

/* What a result means for who asked, and what to do; static storage.  */
const char *publish_result_text (publish_result_t result);

/* An edit that keeps its meaning on another base.  Changes ROOT; false with
 *error set.  */
typedef bool (*publish_edit_t) (void *ctx, json_t *root, error_info_t *error);

/* Edits the newest document and publishes it; begins anew after a conflict.
 *version is the version published, or the one that needs no change.  */
publish_result_t publish_edit (const publish_env_t *env, publish_edit_t edit,
                               void *ctx, doc_version_t *version,
                               error_info_t *error);

#endif
