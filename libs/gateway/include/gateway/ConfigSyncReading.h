#pragma once

#include <gateway/ConfigSync.h>

// The part of ConfigSync that reads the source and applies presets and VM lists.
namespace masticwall {

template<ConfigSource S>
void
ConfigSync<S>::start(const VmList& aSeeds)
{
  mPeerOrder.feedCandidates = aSeeds;
  searchPeers();
  scheduleSearch();
  // Spreads the load on the source if many VMs start at once.
  mAnnounceTimer = mTimers.scheduleAfter(withJitter(kMaxStartDelay), [this] {
    announce();
    findPeers();
  });
}

template<ConfigSource S>
void
ConfigSync<S>::announce()
{
  mSource.announce(mOwnVm, [this](const Result<void>& aResult) {
    if (aResult.has_error()) {
      mAnnounceTimer =
        mTimers.scheduleAfter(withJitter(kAnnounceRetryDelay), [this] { announce(); });
    }
  });
}

template<ConfigSource S>
void
ConfigSync<S>::findPeers()
{
  mSource.findVms([this](const Result<VmList>& aVms) {
    if (mPeerIndex.has_value()) {
      return; // a seed's feed has more than this list
    }
    if (aVms.has_value()) {
      applyVms(aVms.value());
    }
    if (mPeerOrder.feedCandidates.empty() || aVms.has_error()) {
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
  // VMs ahead wait less and read first; the search then finds their feeds fresh.
  const auto steps = static_cast<int>(std::min(mPeerOrder.vmsAhead, kMaxTakeOverSteps));
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
    mSource.read([this](const Result<SourceSnapshot>& aReading) {
      mIsReadPending = false;
      onRead(aReading);
    });
  }
}

template<ConfigSource S>
void
ConfigSync<S>::onRead(const Result<SourceSnapshot>& aReading)
{
  const auto now = mTimers.now();
  mTables.metrics.count(Counter::SourceReadings,
                        aReading.has_error() ? aReading.error().message() : "ok");
  if (aReading.has_error()) {
    if (++mReadFailures == 1) {
      logEvent(LogEvent::SourceUnreachable,
               { { "error", aReading.error().message() },
                 { "age_ms", toMilliseconds(mCache.age()) } });
    }
  } else {
    if (std::exchange(mReadFailures, 0) > 0) {
      logEvent(LogEvent::SourceReachable, { { "age_ms", toMilliseconds(mCache.age()) } });
    }
    const auto& reading = aReading.value();
    auto vms = mMerger.mergeFromSource(mTables.membership.current(),
                                       reading.vms,
                                       mCache.isEmpty() ? Instant{} : mCache.readAt(),
                                       now);
    mCache.recordRead(now);
    applyPreset(reading.version, reading.presetText);
    applyVms(std::move(vms));
    mFeedServer.onChange();
  }
  scheduleRead();
}

template<ConfigSource S>
void
ConfigSync<S>::scheduleRead()
{
  if (!mIsReading) {
    return;
  }
  // While the source is unreachable, VMs ahead of this one retry more often.
  const auto steps = static_cast<int>(std::min(mPeerOrder.vmsAhead, kMaxReadRetrySteps));
  const auto delay =
    mReadFailures > 0 ? withJitter(kReadRetryDelay * (1 + steps)) : kReadPeriod;
  mReadTimer = mTimers.scheduleAfter(delay, [this] { read(); });
}

template<ConfigSource S>
void
ConfigSync<S>::applyPreset(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= std::max(mCache.presetVersion(), mRejectedVersion)) {
    return;
  }
  auto preset = mSource.decodePreset(aText);
  if (preset.has_error()) {
    logEvent(LogEvent::PresetInvalid,
             { { "version", aVersion }, { "error", preset.error().message() } });
    mRejectedVersion = aVersion;
    return;
  }
  mCache.putPreset(aVersion, aText);
  auto shared = std::make_shared<Preset>(std::move(preset.value()));
  shared->version = aVersion;
  if (mTables.presets.put(shared)) {
    logEvent(LogEvent::PresetInForce,
             { { "version", aVersion }, { "routes", shared->routes.size() } });
    mOnChange();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::onBudgetsChanged()
{
  auto preset = mSource.decodePreset(mCache.presetText());
  if (mCache.presetVersion() == 0 || preset.has_error()) {
    return; // the next preset is decoded with the new budgets
  }
  auto shared = std::make_shared<Preset>(std::move(preset.value()));
  shared->version = mCache.presetVersion();
  if (mTables.presets.replaceSameVersion(shared)) {
    mOnChange();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::applyVms(VmList aVms)
{
  std::sort(aVms.begin(), aVms.end(), [](const Vm& aLeft, const Vm& aRight) {
    return keyOf(aLeft) < keyOf(aRight);
  });
  if (mTables.membership.putList(aVms)) {
    logEvent(LogEvent::SourceChanged,
             { { "vms", aVms.size() }, { "age_ms", toMilliseconds(mCache.age()) } });
    mCache.putVms(aVms);
    mOnChange();
  }
  updatePeers();
}

template<ConfigSource S>
Duration
ConfigSync<S>::withJitter(Duration aTime)
{
  std::uniform_int_distribution<Duration::rep> ticks(aTime.count() / 2, aTime.count());
  return Duration(ticks(mRandom));
}

} // namespace masticwall
