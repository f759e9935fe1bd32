#include "fault.h"

#include <string.h>

#include "base/error.h"

static const gp_fault_t *
find (const gp_fault_t *faults, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (faults[i].name, name) == 0)
      return &faults[i];
  return NULL;
}

static bool
fits (const gp_fault_t *fault, const json_t *value)
{
  switch (fault->kind)
    {
    case GP_FAULT_FLAG:
      return json_is_boolean (value);
    case GP_FAULT_INTEGER:
      return json_is_integer (value);
    case GP_FAULT_REAL:
      return json_is_number (value);
    case GP_FAULT_LIST:
      return json_is_array (value);
    }
  return false;
}

static void
set (const gp_fault_t *fault, json_t *value)
{
  switch (fault->kind)
    {
    case GP_FAULT_FLAG:
      *fault->u.flag = json_is_true (value);
      break;
    case GP_FAULT_INTEGER:
      *fault->u.integer = json_integer_value (value);
      break;
    case GP_FAULT_REAL:
      *fault->u.real = json_number_value (value);
      break;
    case GP_FAULT_LIST:
      json_decref (*fault->u.list);
      *fault->u.list = json_incref (value);
      break;
    }
}

bool
gp_fault_apply (const gp_fault_t *faults, size_t count, const char *text,
                size_t size, GError **error)
{
  json_error_t parse_error;
  json_t *object = json_loadb (text, size, 0, &parse_error);
  const char *name;
  json_t *value;
  bool ok = false;

  if (!json_is_object (object))
    {
      g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_SYNTAX,
                   "not a JSON object");
      goto out;
    }
  json_object_foreach (object, name, value)
  {
    const gp_fault_t *fault = find (faults, count, name);

    if (fault == NULL || !fits (fault, value))
      {
        g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_SCHEMA,
                     "%s: %s", name,
                     fault == NULL ? "no such fault" : "wrong type");
        goto out;
      }
  }
  json_object_foreach (object, name, value)
  {
    set (find (faults, count, name), value);
  }
  ok = true;
out:
  json_decref (object);
  return ok;
}

static json_t *
get (const gp_fault_t *fault)
{
  switch (fault->kind)
    {
    case GP_FAULT_FLAG:
      return json_boolean (*fault->u.flag);
    case GP_FAULT_INTEGER:
      return json_integer (*fault->u.integer);
    case GP_FAULT_REAL:
      return json_real (*fault->u.real);
    case GP_FAULT_LIST:
      return *fault->u.list == NULL ? json_array ()
                                    : json_incref (*fault->u.list);
    }
  return json_null ();
}

json_t *
gp_fault_show (const gp_fault_t *faults, size_t count)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < count; i++)
    json_object_set_new (object, faults[i].name, get (&faults[i]));
  return object;
}
