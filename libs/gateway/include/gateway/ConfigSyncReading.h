#pragma once

#include <gateway/ConfigSync.h>

// The part of ConfigSync that reads the source and applies presets and VM lists.
namespace masticwall {

template<ConfigSource S>
void
ConfigSync<S>::start(const VmList& aSeeds)
{
  mTreePosition.feedCandidates = aSeeds;
  searchPeers();
  scheduleSearch();
  // Spreads the load on the source if many VMs start at once.
  mAnnounceTimer = mTimers.scheduleAfter(withJitter(kMaxStartDelay), [this] {
    announce();
    fetchVmList();
  });
}

template<ConfigSource S>
void
ConfigSync<S>::fetchVmList()
{
  mSource.readVmList([this](const Result<VmList>& aVms) {
    if (mPeerIndex.has_value()) {
      return; // a peer's feed carries upstreams and presets too
    }
    if (aVms.has_value()) {
      applyVms(aVms.value());
    }
    if (mTreePosition.feedCandidates.empty() || aVms.has_error()) {
      startReading();
    } else {
      scheduleTakeOver();
    }
  });
}

template<ConfigSource S>
void
ConfigSync<S>::scheduleTakeOver()
{
  if (mIsReading || mTakeOverTimer.isActive()) {
    return;
  }
  searchPeers();
  // VMs that come before this one wait less and read first; the search then finds their
  // feeds fresh.
  const auto steps =
    static_cast<int>(std::min(mTreePosition.vmsAhead, kMaxTakeOverSteps));
  mTakeOverTimer =
    mTimers.scheduleAfter(kTakeOverDelay + steps * kTakeOverDelayPerVm, [this] {
      if (!isFresh() || !mPeerIndex.has_value()) {
        startReading();
      }
    });
}

template<ConfigSource S>
void
ConfigSync<S>::startReading()
{
  mTakeOverTimer.cancel();
  if (!mIsReading) {
    mIsReading = true;
    logEvent(LogEvent::SourceTakenOver, { { "age_ms", toMilliseconds(mCache.age()) } });
    read();
    scheduleSearch();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::stopReading()
{
  mTakeOverTimer.cancel();
  if (mIsReading) {
    mIsReading = false;
    mReadFailures = 0;
    mReadTimer.cancel();
    scheduleSearch();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::read()
{
  if (!std::exchange(mIsReadPending, true)) {
    mSource.read([this](const Result<SourceSnapshot>& aSnapshot) {
      mIsReadPending = false;
      onRead(aSnapshot);
    });
  }
}

template<ConfigSource S>
void
ConfigSync<S>::onRead(const Result<SourceSnapshot>& aSnapshot)
{
  const auto now = mTimers.now();
  mTables.metrics.count(Counter::SourceReads,
                        aSnapshot.has_error() ? aSnapshot.error().message() : "ok");
  if (aSnapshot.has_error()) {
    if (++mReadFailures == 1) {
      logEvent(LogEvent::SourceUnreachable,
               { { "error", aSnapshot.error().message() },
                 { "age_ms", toMilliseconds(mCache.age()) } });
    }
  } else {
    if (std::exchange(mReadFailures, 0) > 0) {
      logEvent(LogEvent::SourceReachable, { { "age_ms", toMilliseconds(mCache.age()) } });
    }
    const auto& snapshot = aSnapshot.value();
    const bool isFirst = mCache.isEmpty();
    recordEra(snapshot.era);
    applyEvacuated(snapshot);
    auto vms = mMerger.mergeFromSource(mTables.membership.current(),
                                       snapshot.vms,
                                       mCache.isEmpty() ? Instant{} : mCache.readAt(),
                                       now);
    recordRead(now);
    applyPreset(snapshot.version, snapshot.presetText);
    applyVms(std::move(vms));
    mFeedServer.onChange();
    if (isFirst) {
      catchUp();
    }
  }
  scheduleSweep();
  scheduleRead();
}

template<ConfigSource S>
void
ConfigSync<S>::scheduleRead()
{
  if (!mIsReading) {
    return;
  }
  mNextReadAt = mTimers.now() + (mReadFailures > 0 ? readRetryDelay() : kReadPeriod);
  mReadTimer = mTimers.scheduleAt(mNextReadAt, [this] { read(); });
}

template<ConfigSource S>
Duration
ConfigSync<S>::readRetryDelay()
{
  // The peers that this VM would be fed by retry more often, as long as they reply.
  const auto steps = std::min(mReachability.countReplying(mTreePosition.feedCandidates),
                              kMaxReadRetrySteps);
  return withJitter(kReadRetryDelay * (1 + static_cast<int>(steps)));
}

template<ConfigSource S>
void
ConfigSync<S>::applyPreset(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= std::max(mCache.presetVersion(), mRejectedVersion)) {
    return;
  }
  auto decoded = mSource.decodePreset(aText);
  if (decoded.has_error()) {
    logEvent(LogEvent::PresetInvalid,
             { { "version", aVersion }, { "error", decoded.error().message() } });
    mRejectedVersion = aVersion;
    return;
  }
  mCache.putPreset(aVersion, aText);
  auto preset = std::make_shared<Preset>(std::move(decoded.value()));
  preset->version = aVersion;
  if (mTables.presets.put(preset)) {
    const auto& tenants = preset->tenants;
    logEvent(
      LogEvent::PresetInForce,
      { { "version", aVersion },
        { "routes", preset->routes.size() },
        { "tenants", tenants.has_value() ? std::to_string(tenants->size()) : "-" } });
    logTenantKeyProblems(*preset);
    mOnChange();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::onBudgetsChanged()
{
  auto decoded = mSource.decodePreset(mCache.presetText());
  if (mCache.presetVersion() == 0 || decoded.has_error()) {
    return; // the next preset is decoded with the new budgets
  }
  auto preset = std::make_shared<Preset>(std::move(decoded.value()));
  preset->version = mCache.presetVersion();
  if (mTables.presets.replaceSameVersion(preset)) {
    mOnChange();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::applyVms(VmList aVms)
{
  const auto now = mTimers.now();
  mGoneInstances.removeStale(aVms, now);
  std::sort(aVms.begin(), aVms.end(), [](const Vm& aLeft, const Vm& aRight) {
    return keyOf(aLeft) < keyOf(aRight);
  });
  const auto before = mTables.membership.current();
  if (mTables.membership.putList(aVms)) {
    mGoneInstances.onListChange(before, aVms, now);
    logEvent(LogEvent::SourceChanged,
             { { "vms", aVms.size() }, { "age_ms", toMilliseconds(mCache.age()) } });
    mCache.putVms(aVms);
    mReachability.retain(aVms);
    announceIfMissing(aVms);
    mOnChange();
  }
  updateTreePosition();
}

template<ConfigSource S>
Duration
ConfigSync<S>::withJitter(Duration aTime)
{
  std::uniform_int_distribution<Duration::rep> ticks(aTime.count() / 2, aTime.count());
  return Duration(ticks(mRandom));
}

} // namespace masticwall
