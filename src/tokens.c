#include "tokens.h"

#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TOKEN_BUCKETS = 1024
};

typedef struct token_t
{
  struct token_t *next;
  char text[TOKEN_BYTES];
  request_t *request;
} token_t;

struct tokens_t
{
  rng_t rng;
  pthread_mutex_t lock; /* guards the buckets */
  token_t *buckets[TOKEN_BUCKETS];
};

tokens_t *
tokens_new (rng_t rng)
{
  tokens_t *tokens = calloc (1, sizeof *tokens);
  tokens->rng = rng;
  pthread_mutex_init (&tokens->lock, NULL);
  return tokens;
}

void
tokens_free (tokens_t *tokens)
{
  for (size_t i = 0; i < TOKEN_BUCKETS; i++)
    while (tokens->buckets[i] != NULL)
      tokens_remove (tokens, tokens->buckets[i]->text);
  pthread_mutex_destroy (&tokens->lock);
  free (tokens);
}

static token_t **
bucket_of (tokens_t *tokens, const char *text)
{
  return &tokens->buckets[XXH3_64bits (text, strlen (text)) % TOKEN_BUCKETS];
}

void
tokens_add (tokens_t *tokens, request_t *request, char token[TOKEN_BYTES])
{
  token_t *entry = calloc (1, sizeof *entry);
  uint64_t bits[2] = { tokens->rng.next (tokens->rng.ctx),
                       tokens->rng.next (tokens->rng.ctx) };

  sodium_bin2hex (entry->text, TOKEN_BYTES, (unsigned char *)bits,
                  sizeof bits);
  memcpy (token, entry->text, TOKEN_BYTES);
  entry->request = request_ref (request);
  pthread_mutex_lock (&tokens->lock);
  token_t **bucket = bucket_of (tokens, entry->text);
  entry->next = *bucket;
  *bucket = entry;
  pthread_mutex_unlock (&tokens->lock);
}

request_t *
tokens_find (tokens_t *tokens, const char *token)
{
  request_t *found = NULL;

  pthread_mutex_lock (&tokens->lock);
  for (token_t *at = *bucket_of (tokens, token); at != NULL; at = at->next)
    if (strcmp (at->text, token) == 0)
      found = request_ref (at->request);
  pthread_mutex_unlock (&tokens->lock);
  return found;
}

static token_t *
unlink_token (tokens_t *tokens, const char *token)
{
  for (token_t **at = bucket_of (tokens, token); *at != NULL;
       at = &(*at)->next)
    if (strcmp ((*at)->text, token) == 0)
      {
        token_t *entry = *at;
        *at = entry->next;
        return entry;
      }
  return NULL;
}

void
tokens_remove (tokens_t *tokens, const char *token)
{
  pthread_mutex_lock (&tokens->lock);
  token_t *entry = unlink_token (tokens, token);
  pthread_mutex_unlock (&tokens->lock);
  if (entry == NULL)
    return;
  request_unref (entry->request);
  free (entry);
}
