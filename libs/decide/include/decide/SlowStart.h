#pragma once

#include <decide/UpstreamState.h>

namespace masticwall {

/**
 * The limit of calls in flight to an upstream that was listed a moment ago.
 *
 * The load that this answers: all processes would send their calls to a new upstream at
 * once, as it has none. The limit rises from one call towards one more than the
 * upstream's slots; afterwards it is `aMaxInFlight`.
 */
struct SlowStart
{
  static constexpr Duration kPeriod = std::chrono::seconds(2);

  static int limit(const UpstreamState& aState, int aMaxInFlight, Instant aNow);
};

} // namespace masticwall
