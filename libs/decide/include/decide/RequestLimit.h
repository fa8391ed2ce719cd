#pragma once

#include <core/Time.h>

namespace masticwall {

/** How many requests an upstream instance takes from all VMs together. */
struct RequestLimit
{
  double perSecond = 0.0; ///< as it stated, not negative
  Instant statedAt;       ///< when this VM received the last response with this limit; of
                          ///< a warm-up: now
};

} // namespace masticwall
