#include <algorithm>
#include <decide/PermitIssuer.h>
#include <decide/WarmUpPolicy.h>

namespace masticwall {

namespace {

/** VMs that issue permits for one upstream at the same time; see permitIssuersOf(). */
constexpr double kIssuers = 2.0;

/** Issued at least, whatever is tolerated, so that cold upstreams are used at all. */
constexpr double kMinPart = 0.1;

} // namespace

WarmUpPolicy
WarmUpPolicy::of(const Service& aService, const WarmUpTolerance& aTolerance)
{
  const auto rate = aService.warmUpPerSecond;
  if (!(rate > 0.0)) {
    return {};
  }
  const auto perIssuer = (rate * aTolerance.over + aTolerance.slack) / kIssuers;
  const auto issued = PermitIssuer::rateForBound(perIssuer);
  return { std::clamp(issued, kMinPart * rate, rate), aService.warmUpTime };
}

} // namespace masticwall
