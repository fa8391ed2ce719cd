#include <algorithm>
#include <decide/Evacuations.h>

namespace masticwall {

void
Evacuations::merge(const std::vector<Evacuation>& aList, Instant aReadAt, Instant aNow)
{
  for (const auto& it : aList) {
    // Not subject to the order of reads, as no read shows it.
    if (it.keptFor > Duration{ 0 }) {
      addKept(it, aNow);
    }
  }
  if (mReadAt.has_value() && aReadAt < *mReadAt) {
    return;
  }
  mReadAt = aReadAt;
  for (const auto& it : aList) {
    if (it.keptFor <= Duration{ 0 }) {
      addListed(it.dataCentre, aReadAt);
    }
  }
  std::erase_if(mStates, [aReadAt](const auto& aEntry) {
    const auto& state = aEntry.second;
    return !state.keptUntil.has_value() && aReadAt - state.listedAt >= kMaxTransit;
  });
}

void
Evacuations::addListed(const std::string& aDataCentre, Instant aReadAt)
{
  auto& state = mStates[aDataCentre];
  const bool mayBeFromBefore =
    mRestoredAt.has_value() && aReadAt - *mRestoredAt < kMaxTransit;
  if (state.keptUntil.has_value() && mayBeFromBefore) {
    return; // as another VM read it before the source was restored
  }
  state = { aReadAt, std::nullopt };
}

void
Evacuations::addKept(const Evacuation& aEvacuation, Instant aNow)
{
  // What this VM knows already ends by its own clock, also when it has passed.
  const auto until = aNow + std::min(aEvacuation.keptFor, kKeptAfterRestore);
  mStates.try_emplace(aEvacuation.dataCentre, State{ Instant{}, until });
}

void
Evacuations::onRestored(Instant aNow)
{
  mRestoredAt = aNow;
  std::erase_if(mStates, [aNow](const auto& aEntry) {
    const auto& until = aEntry.second.keptUntil;
    return until.has_value() && *until <= aNow;
  });
  for (auto& [dataCentre, state] : mStates) {
    state.keptUntil = aNow + kKeptAfterRestore;
  }
}

DataCentreNames
Evacuations::current(Instant aNow) const
{
  DataCentreNames names;
  for (const auto& [dataCentre, state] : mStates) {
    if (!state.keptUntil.has_value() || *state.keptUntil > aNow) {
      names.insert(dataCentre);
    }
  }
  return names;
}

DataCentreNames
Evacuations::kept(Instant aNow) const
{
  DataCentreNames names;
  if (mRestoredAt.has_value() && aNow - *mRestoredAt < 2 * kMaxTransit) {
    return names; // the lists that are read since may have them
  }
  for (const auto& [dataCentre, state] : mStates) {
    if (state.keptUntil.has_value() && *state.keptUntil > aNow) {
      names.insert(dataCentre);
    }
  }
  return names;
}

std::vector<Evacuation>
Evacuations::list(Instant aNow) const
{
  std::vector<Evacuation> evacuations;
  for (const auto& [dataCentre, state] : mStates) {
    const auto until = state.keptUntil.value_or(aNow);
    if (!state.keptUntil.has_value() || until > aNow) {
      evacuations.push_back({ dataCentre, until - aNow });
    }
  }
  return evacuations;
}

} // namespace masticwall
