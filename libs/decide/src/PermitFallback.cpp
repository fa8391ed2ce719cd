#include <algorithm>
#include <decide/PermitFallback.h>
#include <decide/PermitRate.h>

namespace masticwall {

namespace {

/** Shares of a longer time are not kept. */
constexpr Duration kMaxElapsed = std::chrono::seconds(1);
constexpr Duration kForgetAfter = std::chrono::minutes(1);

} // namespace

double
PermitFallback::takeShare(const PermitRequest& aRequest, int aVms, Instant aNow)
{
  const auto [it, isNew] =
    mTakenAt.try_emplace({ aRequest.upstream, aRequest.instance }, aNow);
  const auto elapsed = std::clamp(aNow - it->second, Duration{ 0 }, kMaxElapsed);
  it->second = aNow;
  const auto perSecond =
    kPartWithoutContact * permitRateOf(aRequest.perSecond) / std::max(1, aVms);
  return perSecond * std::chrono::duration<double>(elapsed).count();
}

void
PermitFallback::removeUnused(Instant aNow)
{
  std::erase_if(
    mTakenAt, [aNow](const auto& aTaken) { return aNow - aTaken.second > kForgetAfter; });
}

} // namespace masticwall
