#pragma once

#include <gateway/ConfigSync.h>

// The part of ConfigSync that applies the evacuated data centres.
namespace masticwall {

template<ConfigSource S>
void
ConfigSync<S>::applyEvacuated(const Feed& aFeed)
{
  recordEra(aFeed.era); // before what the restored copy lacks ends an evacuation
  const std::chrono::milliseconds age(aFeed.ageMs);
  // The highest age that is stated may stand for any beyond it.
  const bool isTooOld = age >= SourceCache::kMaxAge && mCache.evacuations().isKnown();
  if (!aFeed.evacuated.has_value() || isTooOld) {
    return;
  }
  const auto now = mTimers.now();
  const auto readAt = now - age;
  mCache.evacuations().merge(*aFeed.evacuated, readAt, now);
  publishEvacuated();
}

template<ConfigSource S>
void
ConfigSync<S>::applyEvacuated(const SourceSnapshot& aSnapshot)
{
  std::vector<Evacuation> list;
  list.reserve(aSnapshot.evacuated.size());
  for (const auto& it : aSnapshot.evacuated) {
    list.push_back({ it });
  }
  const auto now = mTimers.now();
  mCache.evacuations().merge(list, now, now);
  publishEvacuated();
}

template<ConfigSource S>
void
ConfigSync<S>::publishEvacuated()
{
  const auto now = mTimers.now();
  const auto kept = mCache.evacuations().kept(now);
  for (const auto& it : kept) {
    if (mKeptEvacuations.count(it) == 0) {
      logEvent(LogEvent::EvacuationKept, { { "data_centre", it } });
    }
  }
  mKeptEvacuations = kept;
  const auto before = mTables.membership.evacuated();
  const auto current = mCache.evacuations().current(now);
  if (!mTables.membership.putEvacuated(current)) {
    return;
  }
  for (const auto& it : current) {
    if (before.count(it) == 0) {
      logEvent(LogEvent::EvacuationBegun,
               { { "data_centre", it }, { "age_ms", toMilliseconds(mCache.age()) } });
    }
  }
  for (const auto& it : before) {
    if (current.count(it) == 0) {
      logEvent(LogEvent::EvacuationEnded,
               { { "data_centre", it }, { "age_ms", toMilliseconds(mCache.age()) } });
    }
  }
  mOnChange();
}

} // namespace masticwall
