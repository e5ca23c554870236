#ifndef REDWINGFORD_TOKENS_H
#define REDWINGFORD_TOKENS_H

/* Tokens of the requests that this VM's backend server is serving.  With one,
   the backend server calls on in the request's name; it can neither make one
   up nor write into the request behind it.  */

#include "request.h"
#include "rng.h"

enum
{
  TOKEN_BYTES = 33 /* 128 random bits as hex, with the final NUL */
};

typedef struct tokens_t tokens_t;

tokens_t *tokens_new (rng_t rng);
void tokens_free (tokens_t *tokens);

/* Makes a token for REQUEST and takes a reference.  */
void tokens_add (tokens_t *tokens, request_t *request,
                 char token[TOKEN_BYTES]);

/* The request behind a token, with a reference for the caller, or NULL.  */
request_t *tokens_find (tokens_t *tokens, const char *token);

void tokens_remove (tokens_t *tokens, const char *token);

#endif
