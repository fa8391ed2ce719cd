#include <algorithm>
#include <decide/RetryAfterRange.h>

namespace masticwall {

namespace {

/** Part of the time left for which callers wait at most. */
constexpr int kMaxPartOfTimeLeft = 3;

/** Time to be kept for the call's second try, as a multiple of its processing time: its
 * upstream may be slow or have a queue. */
constexpr int kTimeForSecondTry = 2;

/** After a hold-off, the callers of each rank come back over such a time, one rank after
 * the other. */
constexpr Duration kReturnWindow = std::chrono::milliseconds(200);

/** Callers that can't wait for the end of a hold-off come back in the last quarter of the
 * time that they can wait. */
constexpr int kEarliestNumerator = 3;
constexpr int kEarliestDenominator = 4;

} // namespace

RetryAfterRange
RetryAfterRange::of(Duration aTimeLeft, Duration aTimeToTarget, Duration aProcessingTime)
{
  RetryAfterRange range;
  const auto latest = std::min(aTimeLeft / kMaxPartOfTimeLeft,
                               aTimeToTarget - kTimeForSecondTry * aProcessingTime);
  range.max = std::max(range.max, latest);
  return range;
}

RetryAfterRange
RetryAfterRange::afterHoldOff(Duration aTimeLeft, Duration aHoldOff, Rank aRank)
{
  const auto latest = std::max(Duration{ 0 }, aTimeLeft / kMaxPartOfTimeLeft);
  const auto first = aHoldOff + static_cast<int>(indexOf(aRank)) * kReturnWindow;
  RetryAfterRange range;
  if (first <= latest) {
    range.min = first;
    range.max = std::min(first + kReturnWindow, latest);
  } else {
    range.min = latest * kEarliestNumerator / kEarliestDenominator;
    range.max = latest;
  }
  return range;
}

} // namespace masticwall
