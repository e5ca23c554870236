#include "page.h"

#include <stdlib.h>
#include <string.h>

static const char style[]
    = "body{font-family:sans-serif;margin:1em;max-width:70em}"
      "nav a{margin-right:1em}fieldset{margin:.5em 0}"
      "label{display:inline-block;margin:.2em 1em .2em 0}"
      ".error{color:#a00;font-weight:bold}.out{background:#fdd}"
      "pre{background:#eee;padding:.5em;white-space:pre-wrap}"
      "input:focus,button:focus,a:focus{outline:3px solid #06c}";

void
page_text (FILE *out, const char *text)
{
  for (; *text != '\0'; text++)
    switch (*text)
      {
      case '<':
        fputs ("&lt;", out);
        break;
      case '>':
        fputs ("&gt;", out);
        break;
      case '&':
        fputs ("&amp;", out);
        break;
      case '"':
        fputs ("&quot;", out);
        break;
      case '\'':
        fputs ("&#39;", out);
        break;
      default:
        putc (*text, out);
      }
}

static void
element (FILE *out, const char *tag, const char *text)
{
  fprintf (out, "<%s>", tag);
  page_text (out, text);
  fprintf (out, "</%s>\n", tag);
}

void
page_begin (FILE *out, const page_t *page, const char *title)
{
  fputs ("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>redwingford: ",
         out);
  page_text (out, title);
  fprintf (out, "</title><style>%s</style></head><body>\n<nav>", style);
  fputs ("<a href=\"/\">In force</a>", out);
  for (size_t i = 0; i < DOC_SECTION_COUNT; i++)
    fprintf (out, "<a href=\"/%s\">%s</a>", doc_sections[i].name,
             doc_sections[i].name);
  fputs ("<a href=\"/misspelled\">misspelled names</a></nav>\n", out);
  element (out, "h1", title);
  fprintf (out, "<p>Version %llu is the newest. You are ",
           (unsigned long long)page->head->version);
  page_text (out, page->operator_name);
  fputs (".</p>\n", out);
}

void
page_end (FILE *out)
{
  fputs ("</body></html>\n", out);
}

static void
hidden (FILE *out, const char *name, const char *value)
{
  fprintf (out, "<input type=\"hidden\" name=\"%s\" value=\"", name);
  page_text (out, value);
  fputs ("\">", out);
}

/* Starts a form that posts to ACTION, with what each one carries.  */
static void
form_begin (FILE *out, const page_t *page, const char *action)
{
  char base[32];
  snprintf (base, sizeof base, "%llu",
            (unsigned long long)page->head->version);
  fprintf (out, "<form method=\"post\" action=\"%s\">", action);
  hidden (out, "token", page->token);
  hidden (out, "base", base);
}

static void
button (FILE *out, const char *name, const char *value, const char *label)
{
  fprintf (out, " <button type=\"submit\" name=\"%s\" value=\"", name);
  page_text (out, value);
  fputs ("\">", out);
  page_text (out, label);
  fputs ("</button>", out);
}

void
page_overview (FILE *out, const page_t *page)
{
  fputs ("<ul>\n", out);
  for (size_t i = 0; i < DOC_SECTION_COUNT; i++)
    {
      const char *name = doc_sections[i].name;
      fprintf (out, "<li><a href=\"/%s\">%s</a>: %zu</li>\n", name, name,
               json_array_size (json_object_get (page->root, name)));
    }
  fputs ("</ul>\n", out);
  element (out, "h2", "The document");
  char *text = json_dumps (page->root, JSON_INDENT (1));
  element (out, "pre", text != NULL ? text : "");
  free (text);
}

/* The value of a field as text, "" when absent.  */
static void
value_text (const json_t *value, char *text, size_t size)
{
  if (json_is_integer (value))
    snprintf (text, size, "%lld", (long long)json_integer_value (value));
  else
    snprintf (text, size, "%s",
              json_is_string (value) ? json_string_value (value) : "");
}

static void
field_errors (FILE *out, const char *path, const doc_errors_t *errors)
{
  for (size_t i = 0; errors != NULL && i < errors->count; i++)
    if (strcmp (errors->items[i].path, path) == 0)
      {
        fputs (" <span class=\"error\" role=\"alert\">", out);
        page_text (out, errors->items[i].message);
        fputs ("</span>", out);
      }
}

static void
field_input (FILE *out, const doc_field_t *field, const json_t *object)
{
  char text[FORM_VALUE_BYTES];
  const json_t *value = json_object_get (object, field->name);
  value_text (value, text, sizeof text);
  fprintf (out, "<label>%s ", field->name);
  if (field->type == DOC_FIELD_FLAG)
    fprintf (out, "<input type=\"checkbox\" name=\"%s\"%s>", field->name,
             json_is_true (value) ? " checked" : "");
  else
    {
      fprintf (out, "<input name=\"%s\" value=\"", field->name);
      page_text (out, text);
      fputs ("\">", out);
    }
  fputs ("</label>", out);
}

static void
one_click (FILE *out, const page_t *page, const doc_section_t *section,
           const json_t *object)
{
  bool is_zone = section == &doc_sections[DOC_ZONES];
  if (!is_zone && section != &doc_sections[DOC_SERVERS])
    return;
  bool is_out = json_is_true (json_object_get (object, "out"));
  const char *name
      = json_string_value (json_object_get (object, section->fields[0].name));
  form_begin (out, page, "/out");
  hidden (out, "kind", is_zone ? "zone" : "server");
  hidden (out, "name", name != NULL ? name : "");
  button (out, "out", is_out ? "no" : "yes",
          is_out ? "Bring back" : "Take out");
  fputs ("</form>\n", out);
}

static void
account_keys (FILE *out, const page_t *page, const json_t *account)
{
  const char *name = json_string_value (json_object_get (account, "name"));
  size_t i;
  json_t *key;

  form_begin (out, page, "/key");
  hidden (out, "account", name != NULL ? name : "");
  button (out, "key", "", "New key");
  json_array_foreach (json_object_get (account, "keys"), i, key)
  {
    const char *id = json_string_value (json_object_get (key, "id"));
    fputs (" ", out);
    page_text (out, id != NULL ? id : "");
    if (json_is_true (json_object_get (key, "withdrawn")))
      fputs (" (withdrawn)", out);
    else
      button (out, "key", id != NULL ? id : "", "Withdraw");
  }
  fputs ("</form>\n", out);
}

static void
object_form (FILE *out, const page_t *page, const doc_section_t *section,
             const json_t *object, size_t i, const char *was,
             const doc_errors_t *errors)
{
  char path[PATH_BYTES];
  bool is_out = json_is_true (json_object_get (object, "out"));
  fprintf (out, "<fieldset%s><legend>", is_out ? " class=\"out\"" : "");
  page_text (out, *was ? was : "New");
  fputs ("</legend>", out);
  form_begin (out, page, "/edit");
  hidden (out, "section", section->name);
  hidden (out, "was", was);
  snprintf (path, sizeof path, "/%s/%zu", section->name, i);
  field_errors (out, path, errors);
  for (const doc_field_t *f = section->fields; f->name != NULL; f++)
    {
      field_input (out, f, object);
      snprintf (path, sizeof path, "/%s/%zu/%s", section->name, i, f->name);
      field_errors (out, path, errors);
    }
  button (out, "act", "save", *was ? "Save" : "Add");
  if (*was)
    button (out, "act", "remove", "Remove");
  fputs ("</form>\n", out);
  if (*was)
    one_click (out, page, section, object);
  if (*was && section == &doc_sections[DOC_ACCOUNTS])
    account_keys (out, page, object);
  fputs ("</fieldset>\n", out);
}

void
page_section (FILE *out, const page_t *page, const doc_section_t *section,
              const form_t *form, const doc_errors_t *errors)
{
  const char *edited = form != NULL ? form_get (form, "was") : NULL;
  const char *key = section->fields[0].name;
  const json_t *array = json_object_get (page->root, section->name);
  size_t count = json_array_size (array);
  json_t *sent = json_object ();

  page_begin (out, page, section->name);
  if (form != NULL)
    form_fill (form, section, sent);
  if (errors != NULL && errors->count > 0)
    {
      element (out, "p", "Nothing was published. What is wrong:");
      fputs ("<ul class=\"error\">", out);
      for (size_t i = 0; i < errors->count; i++)
        {
          fputs ("<li>", out);
          page_text (out, errors->items[i].path);
          fputs (": ", out);
          page_text (out, errors->items[i].message);
          fputs ("</li>\n", out);
        }
      fputs ("</ul>\n", out);
    }
  for (size_t i = 0; i < count; i++)
    {
      json_t *object = json_array_get (array, i);
      const char *was = json_string_value (json_object_get (object, key));
      bool refused
          = edited != NULL && was != NULL && strcmp (was, edited) == 0;
      object_form (out, page, section, refused ? sent : object, i,
                   was != NULL ? was : "", errors);
    }
  bool refused = edited != NULL && *edited == '\0';
  object_form (out, page, section, refused ? sent : NULL, count, "",
               refused ? errors : NULL);
  json_decref (sent);
  page_end (out);
}

void
page_conflict (FILE *out, const page_t *page, const form_t *form,
               const char *theirs, const char *mine)
{
  page_begin (out, page, "Someone else published meanwhile");
  element (out, "p", "Nothing of yours was published yet.");
  element (out, "h2", "What the other changed");
  element (out, "pre", theirs ? theirs : "(the base is no longer known)");
  element (out, "h2", "What you would change now");
  element (out, "pre", mine ? mine : "(the newest is not known)");
  form_begin (out, page, form_get (form, "action"));
  for (size_t i = 0; i < form->count; i++)
    if (strcmp (form->values[i].name, "base") != 0
        && strcmp (form->values[i].name, "token") != 0)
      hidden (out, form->values[i].name, form->values[i].text);
  fputs ("<button type=\"submit\">Publish mine on the newest</button></form>"
         "\n<p><a href=\"/\">Leave it</a></p>\n",
         out);
  page_end (out);
}

void
page_result (FILE *out, const page_t *page, publish_result_t result,
             doc_version_t version, const char *changes, const char *key)
{
  page_begin (out, page, "Published");
  fprintf (out, "<p>Version %llu: ", (unsigned long long)version);
  page_text (out, publish_result_text (result));
  fputs (".</p>\n", out);
  element (out, "pre", changes ? changes : "(the first document)");
  if (key != NULL
      && (result == PUBLISH_IN_FORCE || result == PUBLISH_RECORDED))
    {
      element (out, "p", "The new key, shown only here:");
      element (out, "pre", key);
    }
  page_end (out);
}

void
page_error (FILE *out, const page_t *page, const char *message)
{
  page_begin (out, page, "That did not work");
  fputs ("<p class=\"error\" role=\"alert\">", out);
  page_text (out, message);
  fputs ("</p>\n", out);
  page_end (out);
}

void
page_misspelled (FILE *out, const page_t *page, json_t *names)
{
  size_t i;
  json_t *entry;
  page_begin (out, page, "Misspelled names");
  if (json_array_size (names) == 0)
    element (out, "p", "The daemons that were asked saw none.");
  json_array_foreach (names, i, entry)
  {
    const char *name = json_string_value (json_object_get (entry, "name"));
    const char *near = json_string_value (json_object_get (entry, "nearest"));
    form_begin (out, page, "/alias");
    hidden (out, "from", name != NULL ? name : "");
    fputs ("<label>", out);
    page_text (out, name != NULL ? name : "");
    fprintf (out, " (%lld requests) is <input name=\"to\" value=\"",
             (long long)json_integer_value (json_object_get (entry, "count")));
    page_text (out, near != NULL ? near : "");
    fputs ("\"></label>", out);
    button (out, "act", "alias", "Make alias");
    fputs ("</form>\n", out);
  }
  page_end (out);
}
