#ifndef REDWINGFORD_CONSOLE_ACTION_H
#define REDWINGFORD_CONSOLE_ACTION_H

/* What the console does for a page or a form.  Writes HTML to OUT and returns
   the HTTP status.  */

#include "form.h"
#include "page.h"
#include "publish_run.h"

typedef struct console_request_t
{
  const publish_env_t *env;
  const char *operator_name;
  const char *token;
  json_t *misspelled; /* borrowed; for GET /misspelled */
} console_request_t;

unsigned console_get (const console_request_t *request, const char *url,
                      FILE *out);
unsigned console_post (const console_request_t *request, const char *url,
                       form_t *form, FILE *out);

#endif
