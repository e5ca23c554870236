#ifndef REDWINGFORD_HTTP_SYNTAX_H
#define REDWINGFORD_HTTP_SYNTAX_H

/* Strict syntax of HTTP/1 messages (RFC 9112), for the readers that parse with
   http_parser.  As Debian builds it, that library accepts a status of one to
   four digits, blanks in field names, folded lines, and any two bytes after
   the data of a chunk.  */

#include "edge/fields.h"

/* Why a message is malformed.  */
typedef enum http_defect_t
{
  HTTP_DEFECT_NONE,
  HTTP_DEFECT_START_LINE,
  HTTP_DEFECT_STATUS, /* other than three digits, 100 to 599 */
  HTTP_DEFECT_FIELD_NAME,
  HTTP_DEFECT_FIELD_VALUE, /* a control byte other than a tab */
  HTTP_DEFECT_FOLDED_LINE,
  HTTP_DEFECT_LENGTH, /* invalid, several, or together with a coding */
  HTTP_DEFECT_CODING, /* other than chunked */
  HTTP_DEFECT_CHUNK,
  HTTP_DEFECT_INTERIM, /* too many interim responses */
  HTTP_DEFECT_UPGRADE, /* status 101 */
  HTTP_DEFECT_TOO_LARGE,
  HTTP_DEFECT_OTHER, /* rejected by http_parser */
  HTTP_DEFECT_COUNT
} http_defect_t;

/* Returns the name of DEFECT, in static storage.  */
const char *http_defect_name (http_defect_t defect);

/* The position in a message of which the bytes arrive in pieces.  */
typedef struct http_syntax_t
{
  uint8_t state;
  uint8_t start_line_bytes; /* of a status line, up to the status */
  uint8_t size_digits;      /* of the chunk size */
  uint16_t status;
  bool in_trailer;
  uint64_t chunk_bytes; /* of the chunk that are still to come */
  http_defect_t defect;
} http_syntax_t;

/* The next byte begins a request or a response.  */
void http_syntax_begin_request (http_syntax_t *syntax);
void http_syntax_begin_response (http_syntax_t *syntax);

/* The next byte begins the chunked body of the message whose head has just
   been checked.  Other bodies are not checked.  */
void http_syntax_begin_chunks (http_syntax_t *syntax);

/* Checks SIZE bytes at DATA.  Returns how many of them may be parsed: those up
   to the end of the head or of the chunked body, or else all.  Returns 0 and
   sets SYNTAX->defect if one of these is not valid.  Returns 0 without a
   defect behind the end of a chunked body.  */
size_t http_syntax_check (http_syntax_t *syntax, const char *data,
                          size_t size);

/* Checks the fields that frame the body: one Content-Length of digits, or one
   Transfer-Encoding that is "chunked", or none of them.  IS_CHUNKED is whether
   the parser takes the body for a chunked one.  */
http_defect_t http_syntax_check_framing (const fields_t *fields,
                                         bool is_chunked);

/* Checks SIZE bytes at BLOCK: lines "NAME: VALUE" that end with CRLF, without
   an empty one, and without fields that frame a body.  */
http_defect_t http_syntax_check_field_block (const char *block, size_t size);

/* Whether the SIZE bytes at NAME are a token, and those at VALUE have no
   control byte except tabs (RFC 9110, sections 5.6.2 and 5.5).  */
bool http_syntax_is_token (const char *name, size_t size);
bool http_syntax_is_value (const char *value, size_t size);

#endif
