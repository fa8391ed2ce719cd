#include <decide/RetryCredit.h>
#include <numeric>

namespace masticwall {

void
RetryCredit::setBurst(double aBurst)
{
  mBurst = aBurst;
  addOlder(0.0);
}

void
RetryCredit::earn(double aRetries, Instant aNow)
{
  advance(aNow);
  mRecent.front() += aRetries;
}

bool
RetryCredit::tryConsume(Instant aNow)
{
  advance(aNow);
  // Sums of fractions such as 0.1 are slightly inexact.
  constexpr double kOneRetry = 1.0 - 1e-9;
  if (std::accumulate(mRecent.begin(), mRecent.end(), mOlder) < kOneRetry) {
    return false;
  }
  // The credit that would be lost first is consumed first.
  double due = 1.0;
  const auto consumeFrom = [&due](double& aCredit) {
    const auto part = std::min(due, aCredit);
    aCredit -= part;
    due -= part;
  };
  std::for_each(mRecent.rbegin(), mRecent.rend(), consumeFrom);
  consumeFrom(mOlder);
  return true;
}

void
RetryCredit::advance(Instant aNow)
{
  if (mPeriodStart == Instant{}) {
    mPeriodStart = aNow;
  }
  const auto elapsed = std::max<Duration::rep>(0, (aNow - mPeriodStart) / kPeriod);
  for (Duration::rep i = 0; i < std::min<Duration::rep>(elapsed, kPeriods); ++i) {
    addOlder(mRecent.back());
    std::shift_right(mRecent.begin(), mRecent.end(), 1);
    mRecent.front() = 0.0;
  }
  mPeriodStart += elapsed * kPeriod;
}

void
RetryCredit::addOlder(double aRetries)
{
  mOlder = std::min(mOlder + aRetries, mBurst + mPhase);
}

} // namespace masticwall
