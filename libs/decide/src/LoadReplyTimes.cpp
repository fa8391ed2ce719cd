#include <decide/LoadReplyTimes.h>

namespace masticwall {

namespace {

/** In the moving average a new sample has a weight of 1 / divisor. */
constexpr int kTimeWeightDivisor = 8;

} // namespace

void
LoadReplyTimes::record(const std::string& aDataCentre, Duration aTime)
{
  const auto [it, isFirst] = mMeans.try_emplace(aDataCentre, aTime);
  if (!isFirst) {
    it->second += (aTime - it->second) / kTimeWeightDivisor;
  }
}

bool
LoadReplyTimes::areLate(const std::string& aDataCentre) const
{
  const auto it = mMeans.find(aDataCentre);
  return it != mMeans.end() && it->second > kMaxWait;
}

} // namespace masticwall
