#include <algorithm>
#include <decide/DescriptorBudget.h>

namespace masticwall {

namespace {

/** Of all descriptors; enough for a connection to each of the VMs that feed this one, or
 * are fed by it, and for the operators' tools. */
constexpr int kOwnDivisor = 16;
constexpr int kMinOwn = 64;
constexpr int kMaxOwn = 256;

/** Connections to upstreams are shared by the calls of many callers. */
constexpr int kUpstreamsDivisor = 3;

} // namespace

DescriptorBudget
DescriptorBudget::of(int aSockets)
{
  DescriptorBudget budget;
  // A process with very few descriptors still serves some callers.
  budget.own = std::min(std::clamp(aSockets / kOwnDivisor, kMinOwn, kMaxOwn),
                        std::max(1, aSockets / 2));
  const auto rest = aSockets - budget.own;
  budget.upstreams = std::max(1, rest / kUpstreamsDivisor);
  budget.callers = std::max(1, rest - budget.upstreams);
  return budget;
}

} // namespace masticwall
