#include <algorithm>
#include <decide/QuotaTerms.h>
#include <decide/TenantWeight.h>

namespace masticwall {

double
tenantWeight(const Tenant& aTenant, const QuotaTolerance& aTolerance)
{
  const auto window = std::chrono::duration<double>(
                        std::max<Duration>(aTolerance.window, std::chrono::seconds(1)))
                        .count();
  const auto slack = std::max(0.0, aTolerance.slack) / window;
  if (!hasValidQuota(aTenant) || aTenant.perSecond == 0.0) {
    return std::max(1.0, slack);
  }
  return std::max(1.0, aTenant.perSecond + aTenant.burst / window + slack);
}

} // namespace masticwall
