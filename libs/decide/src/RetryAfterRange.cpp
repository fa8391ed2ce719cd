#include <algorithm>
#include <decide/RetryAfterRange.h>

namespace masticwall {

namespace {

/** Part of the time left for which callers wait at most. */
constexpr int kMaxPartOfTimeLeft = 3;

/** Time to be kept for the call's second try, as a multiple of its processing time: its
 * upstream may be slow or have a queue. */
constexpr int kTimeForSecondTry = 2;

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

} // namespace masticwall
