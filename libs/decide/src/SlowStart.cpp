#include <algorithm>
#include <decide/SlowStart.h>

namespace masticwall {

int
SlowStart::limit(const UpstreamState& aState, int aMaxInFlight, Instant aNow)
{
  const auto age = std::max(Duration{ 0 }, aNow - aState.slowStartAt);
  if (age >= kPeriod) {
    return aMaxInFlight;
  }
  return std::min<int>(aMaxInFlight, 1 + static_cast<int>(aState.slots * age / kPeriod));
}

} // namespace masticwall
