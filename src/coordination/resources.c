/* Dominant shares of resource vectors.  */

#include "coordination/resources.h"

#include <math.h>

static double
share_of (uint32_t used, uint32_t limit)
{
  if (used == 0)
    return 0.0;
  if (limit == 0)
    return INFINITY;
  return (double)used / limit;
}

double
gp_resources_share (const gp_resources_t *used, const gp_resources_t *limit)
{
  double share = share_of (used->millicores, limit->millicores);

  share = fmax (share, share_of (used->memory_mib, limit->memory_mib));
  return fmax (share, share_of (used->accelerators, limit->accelerators));
}
