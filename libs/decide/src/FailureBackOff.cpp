#include <algorithm>
#include <decide/FailureBackOff.h>

namespace masticwall {

namespace {

constexpr Duration kInitialBackOff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackOff = std::chrono::seconds(5);
constexpr int kMaxBackOffDoublings = 6; ///< reaches kMaxBackOff; bounds the shift
constexpr Duration kShedBackOff = std::chrono::milliseconds(20);

/** Failures in a row, of any kind, from which a 5xx response starts a back-off. */
constexpr int kFailuresToBackOffOnError = 2;

Duration
backOffAfter(int aFailuresInARow)
{
  const auto doublings = std::min(aFailuresInARow - 1, kMaxBackOffDoublings);
  return std::min(kInitialBackOff * (1 << doublings), kMaxBackOff);
}

} // namespace

void
FailureBackOff::onAnswered(UpstreamState& aState)
{
  aState.failuresInARow = 0;
  aState.backOffUntil = Instant{};
}

void
FailureBackOff::onErrorResponse(UpstreamState& aState, Instant aNow)
{
  ++aState.failuresInARow;
  if (aState.failuresInARow >= kFailuresToBackOffOnError) {
    aState.backOffUntil =
      aNow + backOffAfter(aState.failuresInARow - kFailuresToBackOffOnError + 1);
  }
}

void
FailureBackOff::onFailure(UpstreamState& aState, Instant aNow)
{
  ++aState.failuresInARow;
  aState.backOffUntil = aNow + backOffAfter(aState.failuresInARow);
}

void
FailureBackOff::onShed(UpstreamState& aState, Instant aNow)
{
  aState.backOffUntil = aNow + kShedBackOff;
}

} // namespace masticwall
