#include <algorithm>
#include <decide/HedgeDelay.h>

namespace masticwall {

namespace {

constexpr std::size_t kMaxSamples = 256;
constexpr std::size_t kMinSamples = 20;

/** A larger share does not make the delay shorter than this quantile. */
constexpr double kLowestQuantile = 0.9;

} // namespace

void
HedgeDelay::record(Duration aLatency)
{
  if (mSamples.size() < kMaxSamples) {
    mSamples.push_back(aLatency);
  } else {
    mSamples[mNext] = aLatency;
    mNext = (mNext + 1) % kMaxSamples;
  }
  mIsSorted = false;
}

std::optional<Duration>
HedgeDelay::after(const HedgePolicy& aPolicy, Duration aTarget)
{
  if (mSamples.size() < kMinSamples) {
    return std::nullopt;
  }
  const auto usual = median();
  const auto tail = quantile(std::max(kLowestQuantile, 1.0 - aPolicy.share));
  if (aTarget <= Duration{ 0 }) {
    return tail;
  }
  return std::min(tail, std::max(usual, aTarget - usual));
}

Duration
HedgeDelay::median()
{
  return quantile(0.5);
}

Duration
HedgeDelay::quantile(double aPart)
{
  if (mSamples.empty()) {
    return Duration{ 0 };
  }
  sortIfNeeded();
  const auto last = static_cast<double>(mSorted.size() - 1);
  return mSorted[static_cast<std::size_t>(aPart * last)];
}

void
HedgeDelay::sortIfNeeded()
{
  if (!mIsSorted) {
    mSorted = mSamples;
    std::sort(mSorted.begin(), mSorted.end());
    mIsSorted = true;
  }
}

} // namespace masticwall
