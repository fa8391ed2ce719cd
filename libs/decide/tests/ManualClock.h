#pragma once

#include <core/Clock.h>

namespace masticwall::test {

/** A clock for tests that moves only on advance(). Not thread-safe. */
class ManualClock
{
public:
  Instant now() const { return mNow; }
  void advance(Duration aBy) { mNow += aBy; }

private:
  Instant mNow{ std::chrono::hours(1) };
};

static_assert(Clock<ManualClock>);

} // namespace masticwall::test
