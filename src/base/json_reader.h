/* Reads JSON texts from senders that are not trusted.

   A text is read value by value: one value that cannot be represented costs
   that value, not the text.  It reads as null, and the sender's other values
   are used.  A value cannot be represented if it is
   - an integer outside of 64 bits, or a number outside of the range of a
     double,
   - a string with a NUL character or bytes that are not UTF-8,
   - an array or object that is nested more than GP_JSON_MAX_DEPTH deep.
   A member whose name has a NUL character or is not UTF-8 is left out.  Of
   several members with the same name the last one counts.  Half of a surrogate
   pair reads as `?'.

   Only a text that is not JSON is refused as a whole.  */

#ifndef GP_BASE_JSON_READER_H
#define GP_BASE_JSON_READER_H

#include <jansson.h>
#include <stddef.h>

/* Far more than any message has; the values are released recursively.  */
#define GP_JSON_MAX_DEPTH 64

/* Returns the value that the SIZE bytes of TEXT describe; the caller releases
   it with json_decref.  Returns NULL if they are not JSON, and sets line,
   column and text of ERROR, which may be NULL.  */
json_t *gp_json_read (const char *text, size_t size, json_error_t *error);

#endif
