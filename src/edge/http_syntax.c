#include "edge/http_syntax.h"

#include <string.h>
#include <strings.h>

enum
{
  STATUS_DIGITS = 3,
  STATUS_MIN = 100,
  STATUS_MAX = 599,
  CHUNK_SIZE_DIGITS_MAX = 15 /* fits into 64 bits */
};

typedef enum syntax_state_t
{
  STATE_REQUEST_START, /* empty lines before a request are ignored */
  STATE_REQUEST_LINE,
  STATE_STATUS_LINE,
  STATE_REASON,
  STATE_LINE_START,
  STATE_NAME,
  STATE_VALUE,
  STATE_LINE_LF, /* after the CR of the line */
  STATE_LAST_LF, /* after the CR of the empty line */
  STATE_UNCHECKED,
  STATE_CHUNK_SIZE,
  STATE_CHUNK_EXTENSION,
  STATE_CHUNK_SIZE_LF,
  STATE_CHUNK_DATA,
  STATE_CHUNK_DATA_CR,
  STATE_CHUNK_DATA_LF,
  STATE_END
} syntax_state_t;

static const char *const defect_names[HTTP_DEFECT_COUNT] = {
  [HTTP_DEFECT_NONE] = "none",
  [HTTP_DEFECT_START_LINE] = "start-line",
  [HTTP_DEFECT_STATUS] = "status",
  [HTTP_DEFECT_FIELD_NAME] = "field-name",
  [HTTP_DEFECT_FIELD_VALUE] = "field-value",
  [HTTP_DEFECT_FOLDED_LINE] = "folded-line",
  [HTTP_DEFECT_LENGTH] = "length",
  [HTTP_DEFECT_CODING] = "coding",
  [HTTP_DEFECT_CHUNK] = "chunk",
  [HTTP_DEFECT_INTERIM] = "interim",
  [HTTP_DEFECT_UPGRADE] = "upgrade",
  [HTTP_DEFECT_TOO_LARGE] = "too-large",
  [HTTP_DEFECT_OTHER] = "other",
};

const char *
http_defect_name (http_defect_t defect)
{
  return defect_names[defect];
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

static bool
is_token_char (char c)
{
  return is_digit (c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_value_char (char c)
{
  unsigned char byte = (unsigned char)c;
  return (byte >= ' ' && byte != 0x7f) || c == '\t';
}

static int
hex_digit_value (char c)
{
  if (is_digit (c))
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

bool
http_syntax_is_token (const char *name, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!is_token_char (name[i]))
      return false;
  return size > 0;
}

bool
http_syntax_is_value (const char *value, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!is_value_char (value[i]))
      return false;
  return true;
}

/* --- the position in a message ----------------------------------------- */

static void
begin (http_syntax_t *syntax, syntax_state_t state)
{
  *syntax = (http_syntax_t){ .state = (uint8_t)state };
}

void
http_syntax_begin_request (http_syntax_t *syntax)
{
  begin (syntax, STATE_REQUEST_START);
}

void
http_syntax_begin_response (http_syntax_t *syntax)
{
  begin (syntax, STATE_STATUS_LINE);
}

void
http_syntax_begin_chunks (http_syntax_t *syntax)
{
  begin (syntax, STATE_CHUNK_SIZE);
}

/* Each function below checks the next byte, C, and returns the next state.  */

static syntax_state_t
reject (http_syntax_t *syntax, http_defect_t defect)
{
  syntax->defect = defect;
  return STATE_END;
}

static syntax_state_t
check_request_start (http_syntax_t *syntax, char c)
{
  if (c == '\r' || c == '\n')
    return STATE_REQUEST_START;
  return is_value_char (c) ? STATE_REQUEST_LINE
                           : reject (syntax, HTTP_DEFECT_START_LINE);
}

/* The rest of a start line, or of the line of a field.  */
static syntax_state_t
check_line (http_syntax_t *syntax, char c, http_defect_t defect)
{
  if (c == '\r')
    return STATE_LINE_LF;
  if (c == '\n')
    return STATE_LINE_START;
  return is_value_char (c) ? (syntax_state_t)syntax->state
                           : reject (syntax, defect);
}

static syntax_state_t
check_status_digit (http_syntax_t *syntax, char c, size_t digit)
{
  if (digit == STATUS_DIGITS)
    {
      if (syntax->status < STATUS_MIN || syntax->status > STATUS_MAX)
        return reject (syntax, HTTP_DEFECT_STATUS);
      if (c == ' ')
        return STATE_REASON;
      return c == '\r' || c == '\n'
                 ? check_line (syntax, c, HTTP_DEFECT_STATUS)
                 : reject (syntax, HTTP_DEFECT_STATUS);
    }
  if (!is_digit (c))
    return reject (syntax, HTTP_DEFECT_STATUS);
  syntax->status = (uint16_t)(10 * syntax->status + (c - '0'));
  syntax->start_line_bytes++;
  return STATE_STATUS_LINE;
}

static syntax_state_t
check_status_line (http_syntax_t *syntax, char c)
{
  static const char version[] = "HTTP/1.x ";
  size_t at = syntax->start_line_bytes;
  if (at >= strlen (version))
    return check_status_digit (syntax, c, at - strlen (version));
  bool valid = version[at] == 'x' ? c == '0' || c == '1' : c == version[at];
  syntax->start_line_bytes++;
  return valid ? STATE_STATUS_LINE : reject (syntax, HTTP_DEFECT_START_LINE);
}

static syntax_state_t
check_line_start (http_syntax_t *syntax, char c)
{
  if (c == '\r')
    return STATE_LAST_LF;
  if (c == '\n')
    return syntax->in_trailer ? STATE_END : STATE_UNCHECKED;
  if (c == ' ' || c == '\t')
    return reject (syntax, HTTP_DEFECT_FOLDED_LINE);
  return is_token_char (c) ? STATE_NAME
                           : reject (syntax, HTTP_DEFECT_FIELD_NAME);
}

static syntax_state_t
check_name (http_syntax_t *syntax, char c)
{
  if (c == ':')
    return STATE_VALUE;
  return is_token_char (c) ? STATE_NAME
                           : reject (syntax, HTTP_DEFECT_FIELD_NAME);
}

static syntax_state_t
check_last_lf (http_syntax_t *syntax, char c)
{
  if (c != '\n')
    return reject (syntax, HTTP_DEFECT_FIELD_NAME);
  return syntax->in_trailer ? STATE_END : STATE_UNCHECKED;
}

static syntax_state_t
check_chunk_size (http_syntax_t *syntax, char c)
{
  int value = hex_digit_value (c);
  if (value >= 0 && syntax->size_digits < CHUNK_SIZE_DIGITS_MAX)
    {
      syntax->size_digits++;
      syntax->chunk_bytes = 16 * syntax->chunk_bytes + (uint64_t)value;
      return STATE_CHUNK_SIZE;
    }
  if (syntax->size_digits == 0 || value >= 0)
    return reject (syntax, HTTP_DEFECT_CHUNK);
  if (c == '\r')
    return STATE_CHUNK_SIZE_LF;
  return c == ';' ? STATE_CHUNK_EXTENSION : reject (syntax, HTTP_DEFECT_CHUNK);
}

static syntax_state_t
check_chunk_extension (http_syntax_t *syntax, char c)
{
  if (c == '\r')
    return STATE_CHUNK_SIZE_LF;
  return is_value_char (c) ? STATE_CHUNK_EXTENSION
                           : reject (syntax, HTTP_DEFECT_CHUNK);
}

static syntax_state_t
check_chunk_size_lf (http_syntax_t *syntax, char c)
{
  syntax->size_digits = 0;
  syntax->in_trailer = syntax->chunk_bytes == 0;
  if (c != '\n')
    return reject (syntax, HTTP_DEFECT_CHUNK);
  return syntax->in_trailer ? STATE_LINE_START : STATE_CHUNK_DATA;
}

static syntax_state_t
check_byte (http_syntax_t *syntax, char c)
{
  switch ((syntax_state_t)syntax->state)
    {
    case STATE_REQUEST_START:
      return check_request_start (syntax, c);
    case STATE_REQUEST_LINE:
      return c != '\t' ? check_line (syntax, c, HTTP_DEFECT_START_LINE)
                       : reject (syntax, HTTP_DEFECT_START_LINE);
    case STATE_REASON:
      return check_line (syntax, c, HTTP_DEFECT_START_LINE);
    case STATE_STATUS_LINE:
      return check_status_line (syntax, c);
    case STATE_LINE_START:
      return check_line_start (syntax, c);
    case STATE_NAME:
      return check_name (syntax, c);
    case STATE_VALUE:
      return check_line (syntax, c, HTTP_DEFECT_FIELD_VALUE);
    case STATE_LINE_LF:
      return c == '\n' ? STATE_LINE_START
                       : reject (syntax, HTTP_DEFECT_FIELD_VALUE);
    case STATE_LAST_LF:
      return check_last_lf (syntax, c);
    case STATE_CHUNK_SIZE:
      return check_chunk_size (syntax, c);
    case STATE_CHUNK_EXTENSION:
      return check_chunk_extension (syntax, c);
    case STATE_CHUNK_SIZE_LF:
      return check_chunk_size_lf (syntax, c);
    case STATE_CHUNK_DATA_CR:
      return c == '\r' ? STATE_CHUNK_DATA_LF
                       : reject (syntax, HTTP_DEFECT_CHUNK);
    case STATE_CHUNK_DATA_LF:
      return c == '\n' ? STATE_CHUNK_SIZE : reject (syntax, HTTP_DEFECT_CHUNK);
    case STATE_CHUNK_DATA:
    case STATE_UNCHECKED:
    case STATE_END:
      break;
    }
  return (syntax_state_t)syntax->state;
}

/* Skips the data of a chunk, of which SIZE bytes are at hand.  Returns how
   many of these belong to it.  */
static size_t
skip_chunk_data (http_syntax_t *syntax, size_t size)
{
  size_t skipped
      = size < syntax->chunk_bytes ? size : (size_t)syntax->chunk_bytes;
  syntax->chunk_bytes -= skipped;
  if (syntax->chunk_bytes == 0)
    syntax->state = STATE_CHUNK_DATA_CR;
  return skipped;
}

size_t
http_syntax_check (http_syntax_t *syntax, const char *data, size_t size)
{
  size_t at = 0;
  if (syntax->state == STATE_UNCHECKED)
    return size;
  while (at < size && syntax->state != STATE_UNCHECKED
         && syntax->state != STATE_END)
    if (syntax->state == STATE_CHUNK_DATA)
      at += skip_chunk_data (syntax, size - at);
    else
      syntax->state = (uint8_t)check_byte (syntax, data[at++]);
  return syntax->defect == HTTP_DEFECT_NONE ? at : 0;
}

/* --- fields ------------------------------------------------------------ */

/* Returns the size of a value without the blanks that follow it.  */
static size_t
trimmed_size (const char *value, size_t size)
{
  while (size > 0 && (value[size - 1] == ' ' || value[size - 1] == '\t'))
    size--;
  return size;
}

static bool
is_length (const char *value, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!is_digit (value[i]))
      return false;
  return size > 0;
}

http_defect_t
http_syntax_check_framing (const fields_t *fields, bool is_chunked)
{
  uint32_t lengths = 0;
  uint32_t codings = 0;
  for (uint32_t i = 0; i < fields->count; i++)
    {
      const field_t *field = &fields->items[i];
      const char *value = field_value (fields, field);
      size_t size = trimmed_size (value, field->value_size);
      if (field_has_name (fields, field, "Content-Length"))
        {
          lengths++;
          if (!is_length (value, size))
            return HTTP_DEFECT_LENGTH;
        }
      if (field_has_name (fields, field, "Transfer-Encoding"))
        {
          codings++;
          if (size != strlen ("chunked")
              || !field_has_token (fields, field, "chunked"))
            return HTTP_DEFECT_CODING;
        }
    }
  if (lengths > 1 || (lengths > 0 && codings > 0))
    return HTTP_DEFECT_LENGTH;
  return codings == is_chunked ? HTTP_DEFECT_NONE : HTTP_DEFECT_CODING;
}

static bool
frames_body (const char *name, size_t size)
{
  return (size == strlen ("Content-Length")
          && strncasecmp (name, "Content-Length", size) == 0)
         || (size == strlen ("Transfer-Encoding")
             && strncasecmp (name, "Transfer-Encoding", size) == 0);
}

http_defect_t
http_syntax_check_field_block (const char *block, size_t size)
{
  const char *end = block + size;
  while (block < end)
    {
      const char *line_end = memchr (block, '\r', (size_t)(end - block));
      const char *colon = memchr (block, ':', (size_t)(end - block));
      if (line_end == NULL || line_end + 1 == end || line_end[1] != '\n')
        return HTTP_DEFECT_FIELD_VALUE;
      if (colon == NULL || colon > line_end
          || !http_syntax_is_token (block, (size_t)(colon - block)))
        return HTTP_DEFECT_FIELD_NAME;
      if (frames_body (block, (size_t)(colon - block)))
        return HTTP_DEFECT_LENGTH;
      if (!http_syntax_is_value (colon + 1, (size_t)(line_end - colon - 1)))
        return HTTP_DEFECT_FIELD_VALUE;
      block = line_end + 2;
    }
  return HTTP_DEFECT_NONE;
}
