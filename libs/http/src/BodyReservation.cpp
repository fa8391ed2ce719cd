#include <http/BodyReservation.h>
#include <limits>

namespace masticwall::http {

bool
BodyReservation::tryGrowTo(std::uint64_t aBytes)
{
  if (aBytes > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    return false;
  }
  const auto bytes = static_cast<std::int64_t>(aBytes);
  if (bytes <= mBytes) {
    return true;
  }
  if (!mBudget->tryAdd(bytes - mBytes)) {
    return false;
  }
  mBytes = bytes;
  return true;
}

} // namespace masticwall::http
