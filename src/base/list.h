/* Intrusive doubly linked list.

   A list is a ring of links that includes a head.  An element embeds a
   gp_list_t; GP_CONTAINER_OF converts the link back to the element.  No memory
   is allocated, and every operation takes constant time.  */

#ifndef GP_BASE_LIST_H
#define GP_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct gp_list gp_list_t;

struct gp_list
{
  gp_list_t *next;
  gp_list_t *prev;
};

/* Return the structure of type TYPE whose field MEMBER is at PTR.  */
#define GP_CONTAINER_OF(ptr, type, member)                                    \
  ((type *)(void *)((char *)(ptr)-offsetof (type, member)))

/* Iterate over the links of HEAD; POS must not be removed in the body.  */
#define GP_LIST_FOREACH(pos, head)                                            \
  for (gp_list_t *pos = (head)->next; pos != (head); pos = pos->next)

/* Like GP_LIST_FOREACH, but POS may be removed in the body.  */
#define GP_LIST_FOREACH_SAFE(pos, head)                                       \
  for (gp_list_t *pos = (head)->next, *pos##_next = pos->next; pos != (head); \
       pos = pos##_next, pos##_next = pos->next)

static inline void
gp_list_init (gp_list_t *list)
{
  list->next = list;
  list->prev = list;
}

static inline bool
gp_list_empty (const gp_list_t *list)
{
  return list->next == list;
}

static inline void
gp_list_insert_before (gp_list_t *pos, gp_list_t *link)
{
  link->prev = pos->prev;
  link->next = pos;
  pos->prev->next = link;
  pos->prev = link;
}

static inline void
gp_list_push_back (gp_list_t *head, gp_list_t *link)
{
  gp_list_insert_before (head, link);
}

static inline void
gp_list_push_front (gp_list_t *head, gp_list_t *link)
{
  gp_list_insert_before (head->next, link);
}

/* Unlink LINK and make it an empty list, so that removing it again has no
   effect.  */
static inline void
gp_list_remove (gp_list_t *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  gp_list_init (link);
}

/* Remove and return the first link of HEAD, or NULL when it is empty.  */
static inline gp_list_t *
gp_list_pop_front (gp_list_t *head)
{
  gp_list_t *link = head->next;

  if (link == head)
    return NULL;
  gp_list_remove (link);
  return link;
}

#endif
