#pragma once

#include <core/Time.h>

namespace masticwall {

/** How long a VM that no longer hears of new configurations believes the keys it has. */
struct KeyPolicy
{
  bool failsClosed =
    false; ///< true: after `revokeWithin` it refuses calls that need a key
  Duration revokeWithin{ 5s }; ///< a withdrawn key is in use no longer than this
};

} // namespace masticwall
