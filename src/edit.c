#include "edit.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

json_t *
edit_find (json_t *root, const char *section, const char *field,
           const char *name)
{
  size_t i;
  json_t *object;
  json_array_foreach (json_object_get (root, section), i, object)
  {
    const char *value = json_string_value (json_object_get (object, field));
    if (value != NULL && strcmp (value, name) == 0)
      return object;
  }
  return NULL;
}

static json_t *
section_of (json_t *root, const char *section)
{
  json_t *array = json_object_get (root, section);
  if (array != NULL)
    return array;
  array = json_array ();
  json_object_set_new (root, section, array);
  return array;
}

bool
edit_set_out (void *ctx, json_t *root, error_info_t *error)
{
  const edit_t *edit = ctx;
  bool is_zone = strcmp (edit->kind, "zone") == 0;
  const char *section = is_zone ? "zones" : "servers";
  const char *field = is_zone ? "name" : "vm";
  json_t *object = edit_find (root, section, field, edit->name);

  if (object == NULL && is_zone)
    return error_set (error, ERROR_DOCUMENT, "/zones",
                      "no availability zone is named \"%s\"; name one of the "
                      "document's",
                      edit->name);
  if (object == NULL && !edit->out)
    return true;
  if (object == NULL)
    {
      object = json_object ();
      json_object_set_new (object, field, json_string (edit->name));
      json_array_append_new (section_of (root, section), object);
    }
  json_object_set_new (object, "out", json_boolean (edit->out));
  return true;
}

static json_t *
find_account (json_t *root, const char *name, error_info_t *error)
{
  json_t *account = edit_find (root, "accounts", "name", name);
  if (account == NULL)
    error_set (error, ERROR_DOCUMENT, "/accounts",
               "no client account is named \"%s\"; name one of the "
               "document's",
               name);
  return account;
}

static json_t *
hex_string (const uint8_t *bytes, size_t size)
{
  char hex[2 * KEY_HASH_BYTES + 1];
  sodium_bin2hex (hex, sizeof hex, bytes, size);
  return json_string (hex);
}

bool
edit_new_key (void *ctx, json_t *root, error_info_t *error)
{
  edit_t *edit = ctx;
  json_t *account = find_account (root, edit->name, error);
  if (account == NULL)
    return false;

  doc_key_t key = { .withdrawn = false };
  uint32_t suffix;
  randombytes_buf (&suffix, sizeof suffix);
  snprintf (key.id, sizeof key.id, "%.40s-%08x", edit->name, suffix);
  doc_key_make (&key, edit->key_text);

  json_t *entry = json_object ();
  json_object_set_new (entry, "id", json_string (key.id));
  json_object_set_new (entry, "salt", hex_string (key.salt, sizeof key.salt));
  json_object_set_new (entry, "hash", hex_string (key.hash, sizeof key.hash));
  json_object_set_new (entry, "withdrawn", json_false ());
  json_array_append_new (section_of (account, "keys"), entry);
  return true;
}

bool
edit_withdraw_key (void *ctx, json_t *root, error_info_t *error)
{
  const edit_t *edit = ctx;
  json_t *account = find_account (root, edit->name, error);
  size_t i;
  json_t *key;
  bool found = false;
  if (account == NULL)
    return false;

  json_array_foreach (json_object_get (account, "keys"), i, key)
  {
    const char *id = json_string_value (json_object_get (key, "id"));
    if (edit->key_id != NULL && (id == NULL || strcmp (id, edit->key_id) != 0))
      continue;
    json_object_set_new (key, "withdrawn", json_true ());
    found = true;
  }
  if (!found)
    error_set (error, ERROR_DOCUMENT, "/accounts",
               "client account \"%s\" has no key %s; name one of its key ids",
               edit->name, edit->key_id != NULL ? edit->key_id : "at all");
  return found;
}

bool
edit_set_rate (void *ctx, json_t *root, error_info_t *error)
{
  const edit_t *edit = ctx;
  json_t *account = find_account (root, edit->name, error);
  if (account == NULL)
    return false;
  json_object_set_new (account, "rate_per_s", json_integer (edit->rate_per_s));
  if (edit->burst > 0)
    json_object_set_new (account, "burst", json_integer (edit->burst));
  return true;
}

bool
edit_add_alias (void *ctx, json_t *root, error_info_t *error)
{
  const edit_t *edit = ctx;
  (void)error;
  json_t *alias = edit_find (root, "aliases", "from", edit->name);
  if (alias == NULL)
    {
      alias = json_object ();
      json_object_set_new (alias, "from", json_string (edit->name));
      json_array_append_new (section_of (root, "aliases"), alias);
    }
  json_object_set_new (alias, "to", json_string (edit->to));
  return true;
}
