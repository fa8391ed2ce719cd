#include "FeedIntake.h"
#include <algorithm>
#include <cmath>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

std::vector<UpstreamAddress>
upstreamsOf(const VmList& aList)
{
  std::vector<UpstreamAddress> addresses;
  for (const auto& it : aList) {
    if (it.role == VmRole::Upstream) {
      addresses.push_back(
        { it.name, it.service, it.region, it.host, it.port, it.instance });
    }
  }
  return addresses;
}

int
entriesIn(const VmList& aList, const std::string& aRegion)
{
  int n = 0;
  for (const auto& it : aList) {
    n += it.role == VmRole::Masticwall && !it.leaving && it.region == aRegion ? 1 : 0;
  }
  return std::max(1, n);
}

} // namespace

bool
FeedIntake::take(const Feed& aFeed, Instant aNow)
{
  bool isChanged = false;
  if (!aFeed.vms.empty()) {
    isChanged = mTables.membership.putList(aFeed.vms);
  }
  if (!aFeed.sections.empty()) {
    putPreset(aFeed);
    isChanged = true;
  }
  for (const auto& it : aFeed.suspects) {
    mTables.suspects.merge(it.request, it.reporter, it.deaths, aNow);
  }
  if (isChanged) {
    applyTables(aNow);
  }
  return isChanged;
}

bool
FeedIntake::isListedAsLeaving() const
{
  const auto& common = mTables.settings.common;
  const auto list = mTables.membership.current();
  return std::any_of(list.begin(), list.end(), [&](const Vm& aVm) {
    return aVm.name == common.vm && aVm.instance == common.instance && aVm.leaving;
  });
}

void
FeedIntake::putPreset(const Feed& aFeed)
{
  if (!aFeed.isDelta) {
    mSections.clear();
  }
  for (const auto& [name, text] : aFeed.sections) {
    mSections[name] = text;
  }
  auto parse = mAssembler.assemble(mSections);
  if (!parse.isValid()) {
    logEvent(LogEvent::PresetInvalid, { { "preset", aFeed.preset } });
    return;
  }
  auto preset = std::make_shared<Preset>(std::move(parse.preset));
  preset->name = aFeed.preset;
  preset->version = aFeed.version;
  if (mTables.presets.put(preset)) {
    logEvent(LogEvent::PresetInForce,
             { { "preset", preset->name }, { "version", preset->version } });
  }
}

void
FeedIntake::applyTables(Instant aNow)
{
  const auto preset = mTables.presets.current();
  if (preset == nullptr) {
    return;
  }
  const auto list = mTables.membership.current();
  const auto& region = mTables.settings.common.region;
  const auto addresses = upstreamsOf(list);
  mTables.upstreams.update(*preset, addresses, aNow);
  for (const auto& it : list) {
    if (it.role == VmRole::Upstream && it.leaving) {
      mTables.upstreams.markLeaving(
        { it.name, it.service, it.region, it.host, it.port, it.instance });
    }
  }
  const auto entries = entriesIn(list, region);
  for (const auto& it : preset->services) {
    const auto share =
      preset->limits.overcommit * mTables.upstreams.slotsIn(it.name, region) / entries;
    mTables.admission.configure(it.name,
                                preset->ranks,
                                static_cast<int>(std::ceil(share)),
                                preset->limits.queueLength);
  }
}

} // namespace masticwall
