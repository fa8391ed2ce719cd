#pragma once

#include <core/Clock.h>

namespace masticwall {

/** The system's monotonic clock. Thread-safe. */
class SteadyClock
{
public:
  Instant now() const { return std::chrono::steady_clock::now(); }
};

static_assert(Clock<SteadyClock>);

} // namespace masticwall
