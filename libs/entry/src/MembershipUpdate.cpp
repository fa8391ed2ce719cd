#include "MembershipUpdate.h"
#include <algorithm>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

std::vector<UpstreamAddress>
upstreamsOf(const VmList& aList)
{
  std::vector<UpstreamAddress> addresses;
  for (const auto& it : aList) {
    if (it.role == VmRole::Upstream) {
      addresses.push_back({ it.name,
                            it.service,
                            it.region,
                            it.host,
                            it.port,
                            it.instance,
                            it.dataCentre,
                            it.slots,
                            it.isWarmingUp });
    }
  }
  return addresses;
}

/** The number of entry processes that are not draining in `aRegion`, or in all regions if
 * it is empty; at least 1. */
int
countEntries(const VmList& aList, const std::string& aRegion)
{
  int n = 0;
  for (const auto& it : aList) {
    n += it.role == VmRole::Masticwall && !it.leaving &&
             (aRegion.empty() || it.region == aRegion)
           ? 1
           : 0;
  }
  return std::max(1, n);
}

void
logNewlyCold(EntryTables& aTables)
{
  for (const auto& it : aTables.upstreams.takeNewlyCold()) {
    aTables.metrics.count(Counter::UpstreamSignals, "cold");
    logEvent(LogEvent::UpstreamCold,
             { { "upstream", it.name },
               { "instance", it.instance },
               { "service", it.service },
               { "sign", "list" } });
  }
}

} // namespace

void
applyMembership(EntryTables& aTables, Instant aNow)
{
  const auto preset = aTables.presets.current();
  if (preset == nullptr) {
    return;
  }
  const auto list = aTables.membership.current();
  aTables.entryCount = countEntries(list, {});
  const auto& region = aTables.settings.common.region;
  const auto addresses = upstreamsOf(list);
  aTables.upstreamCount = static_cast<int>(addresses.size());
  const auto evacuated = aTables.membership.evacuated();
  aTables.upstreams.update(*preset, addresses, evacuated, aNow);
  logNewlyCold(aTables);
  for (const auto& it : list) {
    if (it.role == VmRole::Upstream && it.leaving) {
      aTables.upstreams.markLeaving(
        { it.name, it.service, it.region, it.host, it.port, it.instance }, aNow);
    }
  }
  const auto entries = countEntries(list, region);
  for (const auto& it : preset->services) {
    const auto localSlots = aTables.upstreams.slotsIn(it.name, region);
    // With a whole region evacuated, the upstreams of the others serve its calls.
    const bool servesElsewhere = localSlots == 0 && !evacuated.empty();
    const auto limit =
      servesElsewhere ? InFlightLimit::of(preset->limits.overcommit,
                                          aTables.upstreams.slotsIn(it.name, {}),
                                          aTables.entryCount)
                      : InFlightLimit::of(preset->limits.overcommit, localSlots, entries);
    aTables.admission.configure(
      it.name, preset->ranks, limit, preset->limits.maxQueueLength);
  }
}

bool
isListedAsLeaving(const EntryTables& aTables)
{
  const auto& common = aTables.settings.common;
  const auto list = aTables.membership.current();
  return std::any_of(list.begin(), list.end(), [&](const Vm& aVm) {
    return aVm.name == common.vm && aVm.instance == common.instance && aVm.leaving;
  });
}

} // namespace masticwall
