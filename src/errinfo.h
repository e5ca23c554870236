#ifndef REDWINGFORD_ERRINFO_H
#define REDWINGFORD_ERRINFO_H

/* Errors: one struct, passed down by the caller and filled where the fault
   is found.  (error_t itself is taken by the C library.)  */

#include "types.h"

typedef enum error_kind_t
{
  ERROR_NONE = 0,
  ERROR_USAGE,       /* the command line */
  ERROR_SETTINGS,    /* the settings file */
  ERROR_DOCUMENT,    /* the configuration document */
  ERROR_IO,          /* a file or socket */
  ERROR_PROTOCOL,    /* a peer or service sent what it must not */
  ERROR_UNAVAILABLE, /* a service did not answer; may be tried again */
  ERROR_CONFLICT,    /* someone else changed it first */
  ERROR_AUTH,        /* a key, a secret or a permission */
  ERROR_LIMIT,       /* a bound was reached */
  ERROR_INTERNAL
} error_kind_t;

enum
{
  ERROR_MESSAGE_BYTES = 320
};

typedef struct error_info_t
{
  error_kind_t kind;
  char path[PATH_BYTES];             /* JSON path or object, or "" */
  char message[ERROR_MESSAGE_BYTES]; /* what is wrong and the remedy */
} error_info_t;

/* Fills *error (which may be NULL) and returns false, so that a function can
   end with "return error_set (...)".  PATH may be NULL.  An error that
   already stands is kept: the first fault is the cause.  */
bool error_set (error_info_t *error, error_kind_t kind, const char *path,
                const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

void error_clear (error_info_t *error);

/* Name of a kind, such as "settings".  Static storage.  */
const char *error_kind_name (error_kind_t kind);

/* Exit status of the program for a kind: 0, 1 or a sysexits.h value.  */
int error_exit_status (error_kind_t kind);

#endif
