/* What grows with the number of images that were ever seen: the leader's
   memory, its record of what it learned, and what it sends to a guard.  Guards
   against a record that outgrows the store's limit, and against frames that do
   so after it.  */

#include <glib.h>
#include <stdio.h>

#include "jobs/filling_names.h"
#include "jobs/forecast.h"
#include "protocol/message.h"
#include "runner.h"

#define SERVINGS 14
#define RECORD_MAX_SIZE ((size_t)32 * 1024)
/* A guard is sent the new names after this many images.  */
#define UPDATE_IMAGES 10

typedef struct
{
  gp_pressure_t pressure;
  gp_forecast_t forecast;
  gp_filling_names_t names;
  gp_filling_cursor_t cursor;
  GPtrArray *guard_names; /* owned: as the guard has them */
  size_t names_sent;
} world_t;

/* Returns the name of an image, as long as those with a digest are.  */
static char *
image_name (const char *kind, unsigned number)
{
  return g_strdup_printf ("registry.example/%s@sha256:%064u", kind, number);
}

/* The leader acknowledges a report: the guard is sent the names that it
   lacks.  */
static void
send_names (world_t *world)
{
  Gp__Jobs__Acknowledge message = GP__JOBS__ACKNOWLEDGE__INIT;

  gp_filling_names_update (&world->names, &world->pressure);
  gp_filling_names_add_news (&world->names, &world->cursor, &message);
  if (message.fillings_restart)
    g_ptr_array_set_size (world->guard_names, 0);
  for (size_t i = 0; i < message.n_fillings; i++)
    g_ptr_array_add (world->guard_names, g_strdup (message.fillings[i]));
  world->names_sent += message.n_fillings;
}

static void
use_image (world_t *world, unsigned number)
{
  g_autofree char *filling = image_name ("build", number);
  Gp__Jobs__Step step = GP__JOBS__STEP__INIT;

  step.image = filling;
  step.estimate_ms = 1000;
  gp_forecast_learn (&world->forecast, "q", &step, GP_SEC);
  for (unsigned i = 0; i < SERVINGS; i++)
    {
      g_autofree char *serving = image_name ("serving", i);

      gp_pressure_set (&world->pressure, serving,
                       gp_pressure_image_index (&world->pressure, filling),
                       0.5);
    }
}

static void
world_init (world_t *world)
{
  *world = (world_t){ .guard_names = g_ptr_array_new_with_free_func (g_free) };
  gp_pressure_init (&world->pressure);
  gp_forecast_init (&world->forecast);
  gp_filling_names_init (&world->names);
}

static void
world_finish (world_t *world)
{
  gp_pressure_finish (&world->pressure);
  gp_forecast_finish (&world->forecast);
  gp_filling_names_finish (&world->names);
  g_ptr_array_unref (world->guard_names);
}

static size_t
size_of_rows (const GArray *rows, size_t row_struct_size)
{
  size_t size = 0;

  for (guint i = 0; i < rows->len; i++)
    size += gp_message_row_size (
        (const ProtobufCMessage *)(void *)(rows->data + i * row_struct_size));
  return size;
}

/* Checks that the rows fit and begin with the image that was used last.  */
static void
show_records (const world_t *world, unsigned count)
{
  GArray *pressures = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Pressure));
  GArray *forecasts = g_array_new (FALSE, FALSE, sizeof (Gp__Jobs__Forecast));
  g_autofree char *last = image_name ("build", count);
  size_t size;

  gp_pressure_pack (&world->pressure, RECORD_MAX_SIZE, pressures);
  gp_forecast_pack (&world->forecast, RECORD_MAX_SIZE, forecasts);
  size = size_of_rows (pressures, sizeof (Gp__Jobs__Pressure));
  CU_ASSERT (size <= RECORD_MAX_SIZE);
  CU_ASSERT_STRING_EQUAL (
      g_array_index (pressures, Gp__Jobs__Pressure, 0).filling, last);
  printf (", record: %zu rows, %zu bytes", (size_t)pressures->len, size);
  size = size_of_rows (forecasts, sizeof (Gp__Jobs__Forecast));
  CU_ASSERT (size <= RECORD_MAX_SIZE);
  CU_ASSERT_STRING_EQUAL (
      g_array_index (forecasts, Gp__Jobs__Forecast, 0).image, last);
  printf (" and %zu rows, %zu bytes", (size_t)forecasts->len, size);
  g_array_free (pressures, TRUE);
  g_array_free (forecasts, TRUE);
}

static void
play (unsigned count)
{
  world_t world;

  world_init (&world);
  for (unsigned i = 1; i <= count; i++)
    {
      use_image (&world, i);
      if (i % UPDATE_IMAGES == 0)
        send_names (&world);
    }
  printf ("  %6u images: %u and %u known", count,
          gp_lru_count (&world.pressure.fillings),
          gp_lru_count (&world.forecast.models));
  show_records (&world, count);
  printf (", %zu names sent, %u held\n", world.names_sent,
          world.guard_names->len);
  /* The guard reads weights by position.  */
  CU_ASSERT_EQUAL (world.guard_names->len, world.names.names->len);
  for (guint i = 0; i < world.guard_names->len; i++)
    CU_ASSERT_STRING_EQUAL (g_ptr_array_index (world.guard_names, i),
                            g_ptr_array_index (world.names.names, i));
  CU_ASSERT (world.names_sent <= 3 * (size_t)count);
  world_finish (&world);
}

static void
test_sizes (void)
{
  static const unsigned counts[] = { 10, 30, 100, 300, 1000, 3000, 10000 };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    play (counts[i]);
}

/* An image in use keeps its index and weights while others come and go, and
   one that a guard has no room for makes it forget none.  */
static void
test_kept (void)
{
  gp_pressure_t pressure;
  unsigned index;

  gp_pressure_init (&pressure);
  index = gp_pressure_image_index (&pressure, "used");
  gp_pressure_set (&pressure, "s", index, 0.7);
  for (unsigned i = 0; i < 10 * GP_PRESSURE_FILLINGS_MAX; i++)
    {
      g_autofree char *filling = image_name ("build", i);

      gp_pressure_image_index (&pressure, filling);
      CU_ASSERT_EQUAL (gp_pressure_image_index (&pressure, "used"), index);
    }
  CU_ASSERT_DOUBLE_EQUAL (gp_pressure_weight (&pressure, "s", index), 0.7,
                          1e-9);
  CU_ASSERT_EQUAL (gp_pressure_spare_index (&pressure, "new"), -1);
  CU_ASSERT_EQUAL (gp_pressure_find_index (&pressure, "used"), (int)index);
  gp_pressure_finish (&pressure);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "sizes", test_sizes }, { "kept", test_kept }, CU_TEST_INFO_NULL };

  return runner_main ("images", tests);
}
