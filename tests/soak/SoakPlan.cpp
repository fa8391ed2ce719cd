#include "SoakPlan.h"
#include <algorithm>
#include <random>
#include <sstream>

namespace masticwall::test {

namespace {

/** The mean time between two faults; they last longer than that, and overlap. */
constexpr Duration kFaultPeriod = 1200ms;
constexpr Duration kMinFaultTime = 300ms;
constexpr Duration kMaxFaultTime = 4s;

/** Processes per gateway, as at the users: more upstreams than gateways. */
constexpr int kProcessesPerGateway = 3;
constexpr int kCallersPerGateway = 8;

bool
isOfGateway(SoakFault aKind)
{
  return aKind == SoakFault::StopGateway || aKind == SoakFault::ReloadGateway ||
         aKind == SoakFault::PauseGateway || aKind == SoakFault::KillGateway;
}

} // namespace

SoakPlan
SoakPlan::draw(std::uint64_t aSeed, int aProcesses, Duration aLength)
{
  std::mt19937_64 random(aSeed);
  SoakPlan plan;
  plan.seed = aSeed;
  plan.gateways = std::max(2, aProcesses / kProcessesPerGateway);
  plan.upstreams = std::max(2, aProcesses - plan.gateways);
  plan.callers = kCallersPerGateway * plan.gateways;
  plan.length = aLength;
  std::exponential_distribution<double> gap(1.0);
  std::uniform_int_distribution<std::size_t> kind(
    0, EnumTable<SoakFault>::kEntries.size() - 1);
  std::uniform_int_distribution<Duration::rep> lasts(kMinFaultTime.count(),
                                                     kMaxFaultTime.count());
  Duration at{ 0 };
  while (true) {
    at += std::chrono::duration_cast<Duration>(kFaultPeriod * gap(random));
    ScheduledFault fault{
      at, Duration(lasts(random)), EnumTable<SoakFault>::kEntries[kind(random)].value, 0
    };
    const auto targets = isOfGateway(fault.kind) ? plan.gateways : plan.upstreams;
    fault.target = std::uniform_int_distribution<int>(0, targets - 1)(random);
    if (fault.at + fault.lasts > aLength) {
      return plan;
    }
    plan.faults.push_back(fault);
  }
}

SoakPlan
SoakPlan::without(std::size_t aIndex) const
{
  auto plan = *this;
  plan.faults.erase(plan.faults.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return plan;
}

std::string
SoakPlan::describe() const
{
  std::ostringstream out;
  for (const auto& it : faults) {
    out << "  at_ms=" << toMilliseconds(it.at) << " fault=" << nameOf(it.kind)
        << " target=" << it.target << " lasts_ms=" << toMilliseconds(it.lasts) << '\n';
  }
  return out.str();
}

} // namespace masticwall::test
