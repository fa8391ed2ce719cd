#include "ModelUpstream.h"
#include <algorithm>

namespace masticwall::model {

namespace {

constexpr double kWorkDone = 1e-9; ///< seconds; less than that counts as none

} // namespace

ModelUpstream::ModelUpstream(VirtualTime& aTime,
                             const FleetPlan& aPlan,
                             std::uint64_t aSeed)
  : mTime(aTime)
  , mPlan(aPlan)
  , mRandom(aSeed)
  , mAdvancedAt(aTime.now())
{
  mIsSlow = std::bernoulli_distribution(mPlan.slowShare)(mRandom);
  scheduleSpeedChange();
}

void
ModelUpstream::run(double aWork, Done aDone)
{
  if (isFull()) {
    aDone(false);
    return;
  }
  advance();
  mQueued.push_back({ aWork, std::move(aDone) });
  startQueued();
  scheduleNextEnd();
}

LoadReport
ModelUpstream::report() const
{
  LoadReport load;
  load.inUse = static_cast<int>(mRunning.size());
  load.queued = static_cast<int>(mQueued.size());
  load.slots = mPlan.slots;
  load.processingTimePercent = mIsSlow ? static_cast<int>(100.0 * mPlan.slowFactor) : 100;
  load.receivedAt = mTime.now();
  return load;
}

bool
ModelUpstream::isFull() const
{
  return mRunning.size() >= static_cast<std::size_t>(mPlan.slots) &&
         mQueued.size() >= static_cast<std::size_t>(mPlan.queueLength);
}

double
ModelUpstream::timeOf(double aWork) const
{
  const auto load =
    static_cast<double>(mRunning.size() + mQueued.size() + 1) / mPlan.slots;
  const auto time = aWork * (mIsSlow ? mPlan.slowFactor : 1.0) *
                    (load > mPlan.highLoad ? mPlan.highLoadFactor : 1.0);
  return time * std::max(1.0, load);
}

void
ModelUpstream::scheduleSpeedChange()
{
  std::exponential_distribution<double> gap(
    1.0 / std::chrono::duration<double>(mPlan.speedPeriod).count());
  mTime.after(seconds(gap(mRandom)), [this] {
    advance();
    mIsSlow = std::bernoulli_distribution(mPlan.slowShare)(mRandom);
    scheduleNextEnd();
    scheduleSpeedChange();
  });
}

void
ModelUpstream::advance()
{
  const auto elapsed = std::chrono::duration<double>(mTime.now() - mAdvancedAt).count();
  const auto work = elapsed * speed();
  mAdvancedAt = mTime.now();
  for (auto& it : mRunning) {
    it.workLeft -= work;
  }
}

void
ModelUpstream::startQueued()
{
  while (!mQueued.empty() && mRunning.size() < static_cast<std::size_t>(mPlan.slots)) {
    mRunning.push_back(std::move(mQueued.front()));
    mQueued.pop_front();
  }
}

void
ModelUpstream::scheduleNextEnd()
{
  const auto id = ++mNextEnd;
  const auto next = std::min_element(
    mRunning.begin(), mRunning.end(), [](const Call& aLeft, const Call& aRight) {
      return aLeft.workLeft < aRight.workLeft;
    });
  if (next == mRunning.end()) {
    return;
  }
  const auto delay = seconds(std::max(0.0, next->workLeft) / speed()) + Duration(1);
  mTime.after(delay, [this, id] {
    if (id != mNextEnd) {
      return;
    }
    advance();
    std::vector<Done> ended;
    std::erase_if(mRunning, [&ended](Call& aCall) {
      const bool hasEnded = aCall.workLeft <= kWorkDone;
      if (hasEnded) {
        ended.push_back(std::move(aCall.done));
      }
      return hasEnded;
    });
    startQueued();
    scheduleNextEnd();
    for (const auto& it : ended) {
      it(true);
    }
  });
}

double
ModelUpstream::speed() const
{
  const auto used = static_cast<double>(mRunning.size()) / mPlan.slots;
  return (mIsSlow ? 1.0 / mPlan.slowFactor : 1.0) /
         (used > mPlan.highLoad ? mPlan.highLoadFactor : 1.0);
}

} // namespace masticwall::model
