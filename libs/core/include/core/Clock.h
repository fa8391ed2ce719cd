#pragma once

#include <concepts>
#include <core/Time.h>

namespace masticwall {

/** A source of monotonic time. The decision library sees time only through this. */
template<class C>
concept Clock = requires(const C aClock)
{
  {
    aClock.now()
    } -> std::same_as<Instant>;
};

} // namespace masticwall
