#include <algorithm>
#include <decide/OverloadTrials.h>

namespace masticwall {

namespace {

constexpr Duration kFirstPeriod = std::chrono::seconds(1);
constexpr Duration kMaxPeriod = std::chrono::seconds(8);

} // namespace

bool
OverloadTrials::tryStart(Instant aNow)
{
  if (!mNextAt.has_value()) {
    mPeriod = kFirstPeriod;
    mNextAt = aNow + mPeriod;
    return false;
  }
  if (aNow < *mNextAt) {
    return false;
  }
  mPeriod = std::min(2 * mPeriod, kMaxPeriod);
  mNextAt = aNow + mPeriod;
  return true;
}

} // namespace masticwall
