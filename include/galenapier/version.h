/* Version of the library and the programs.  */

#ifndef GALENAPIER_VERSION_H
#define GALENAPIER_VERSION_H

#define GP_VERSION "0.1.0"

#endif
