#pragma once

#include <concepts>
#include <core/Time.h>

namespace masticwall {

/**
 * A source of monotonic time: SteadyClock, or a virtual clock in tests. The decision
 * library (libs/decide) reads no clock of its own: its callers pass it the time.
 */
template<class C>
concept Clock = requires(const C aClock)
{
  {
    aClock.now()
    } -> std::same_as<Instant>;
};

} // namespace masticwall
