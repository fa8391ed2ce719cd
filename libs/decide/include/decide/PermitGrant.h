#pragma once

#include <core/Time.h>

namespace masticwall {

/** The reply to a PermitRequest. */
struct PermitGrant
{
  int permits = 0;
  Duration nextIn{ 0 }; ///< if there is none: until the VM may ask again
};

} // namespace masticwall
