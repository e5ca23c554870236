#ifndef REDWINGFORD_CONSOLE_H
#define REDWINGFORD_CONSOLE_H

/* The operators' console: HTML forms over the same checks and the same
   publishing as the commands.  Operators sign in with HTTP Basic; each form
   carries a token, so that other sites cannot post for them.  */

#include "publish_run.h"
#include "settings.h"

typedef struct console_t console_t;

enum
{
  CONSOLE_OPERATORS_MAX = 64
};

typedef struct console_setup_t
{
  endpoint_addr_t listen;
  publish_env_t env; /* used by one thread at a time */
  doc_key_t operators[CONSOLE_OPERATORS_MAX]; /* who may open it */
  size_t operator_count;
  /* Misspelled names seen by the daemons, a new array, or NULL.  */
  json_t *(*misspelled) (void *ctx);
  void *misspelled_ctx; /* borrowed */
} console_setup_t;

/* SETUP is copied.  NULL with *error set when the address cannot be had.
   Free with console_free.  */
console_t *console_new (const console_setup_t *setup, error_info_t *error);
void console_free (console_t *console);
uint16_t console_port (const console_t *console);

/* Reads {"operators": [{"id", "salt", "hash"}, ...]}.  */
bool console_load_operators (const char *file, console_setup_t *setup,
                             error_info_t *error);

#endif
