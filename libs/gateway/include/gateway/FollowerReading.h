#pragma once

#include <gateway/Follower.h>

// The part of Follower that reads the source and keeps what was learnt.
namespace masticwall {

template<Source S>
void
Follower<S>::start(const VmList& aSeeds)
{
  mOrder.sources = aSeeds;
  search();
  searchLater();
  // Many VMs may start at the same moment.
  mAnnounceTimer = mTimers.subscribeIn(spread(kStartSpread), [this] {
    announce();
    findOthers();
  });
}

template<Source S>
void
Follower<S>::announce()
{
  mSource.announce(mOwn, [this](const Result<void>& aResult) {
    if (aResult.has_error()) {
      mAnnounceTimer =
        mTimers.subscribeIn(spread(kAnnounceRetry), [this] { announce(); });
    }
  });
}

template<Source S>
void
Follower<S>::findOthers()
{
  mSource.findVms([this](const Result<VmList>& aVms) {
    if (mPlace.has_value()) {
      return; // a seed tells more
    }
    if (aVms.has_value()) {
      putVms(aVms.value());
    }
    if (mOrder.sources.empty() || aVms.has_error()) {
      startReading();
    } else {
      takeOverLater();
    }
  });
}

template<Source S>
void
Follower<S>::takeOverLater()
{
  if (mIsReading || mTakeOverTimer.isActive()) {
    return;
  }
  search();
  // Those ahead read first, and are found fresh.
  const auto steps = static_cast<int>(std::min(mOrder.ahead, kMostTakeOverSteps));
  mTakeOverTimer = mTimers.subscribeIn(kTakeOverAfter + steps * kTakeOverStep, [this] {
    if (!isFresh() || !mPlace.has_value()) {
      startReading();
    }
  });
}

template<Source S>
void
Follower<S>::startReading()
{
  mTakeOverTimer.cancel();
  if (!mIsReading) {
    mIsReading = true;
    logEvent(LogEvent::SourceTakenOver, { { "age_ms", toMilliseconds(mKnown.age()) } });
    read();
    searchLater();
  }
}

template<Source S>
void
Follower<S>::stopReading()
{
  mTakeOverTimer.cancel();
  if (mIsReading) {
    mIsReading = false;
    mFailures = 0;
    mReadTimer.cancel();
    searchLater();
  }
}

template<Source S>
void
Follower<S>::read()
{
  if (!std::exchange(mIsCalling, true)) {
    mSource.read([this](const Result<SourceReading>& aReading) {
      mIsCalling = false;
      onReading(aReading);
    });
  }
}

template<Source S>
void
Follower<S>::onReading(const Result<SourceReading>& aReading)
{
  const auto now = mTimers.now();
  mTables.metrics.count(Counter::SourceReadings,
                        aReading.has_error() ? aReading.error().message() : "ok");
  if (aReading.has_error()) {
    if (++mFailures == 1) {
      logEvent(LogEvent::SourceUnreachable,
               { { "error", aReading.error().message() },
                 { "age_ms", toMilliseconds(mKnown.age()) } });
    }
  } else {
    if (std::exchange(mFailures, 0) > 0) {
      logEvent(LogEvent::SourceReachable, { { "age_ms", toMilliseconds(mKnown.age()) } });
    }
    const auto& reading = aReading.value();
    auto vms = mHold.mergeRead(mTables.membership.current(),
                               reading.vms,
                               mKnown.isEmpty() ? Instant{} : mKnown.readAt(),
                               now);
    mKnown.noteRead(now);
    putPreset(reading.version, reading.presetText);
    putVms(std::move(vms));
    mServer.onChange();
  }
  readLater();
}

template<Source S>
void
Follower<S>::readLater()
{
  if (!mIsReading) {
    return;
  }
  // While the source is away, those ahead of this VM try it more often.
  const auto steps = static_cast<int>(std::min(mOrder.ahead, kMostRetrySteps));
  const auto delay = mFailures > 0 ? spread(kReadRetry * (1 + steps)) : kReadPeriod;
  mReadTimer = mTimers.subscribeIn(delay, [this] { read(); });
}

template<Source S>
void
Follower<S>::putPreset(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= std::max(mKnown.presetVersion(), mRejected)) {
    return;
  }
  auto preset = mSource.decodePreset(aText);
  if (preset.has_error()) {
    logEvent(LogEvent::PresetInvalid,
             { { "version", aVersion }, { "error", preset.error().message() } });
    mRejected = aVersion;
    return;
  }
  mKnown.putPreset(aVersion, aText);
  auto shared = std::make_shared<Preset>(std::move(preset.value()));
  shared->version = aVersion;
  if (mTables.presets.put(shared)) {
    logEvent(LogEvent::PresetInForce,
             { { "version", aVersion }, { "routes", shared->routes.size() } });
    mOnChange();
  }
}

template<Source S>
void
Follower<S>::onBudgets()
{
  auto preset = mSource.decodePreset(mKnown.presetText());
  if (mKnown.presetVersion() == 0 || preset.has_error()) {
    return; // the next preset will have them
  }
  auto shared = std::make_shared<Preset>(std::move(preset.value()));
  shared->version = mKnown.presetVersion();
  if (mTables.presets.amend(shared)) {
    mOnChange();
  }
}

template<Source S>
void
Follower<S>::putVms(VmList aVms)
{
  std::sort(aVms.begin(), aVms.end(), [](const Vm& aLeft, const Vm& aRight) {
    return keyOf(aLeft) < keyOf(aRight);
  });
  if (mTables.membership.putList(aVms)) {
    logEvent(LogEvent::SourceChanged,
             { { "vms", aVms.size() }, { "age_ms", toMilliseconds(mKnown.age()) } });
    mKnown.putVms(aVms);
    mOnChange();
  }
  updateSources();
}

template<Source S>
Duration
Follower<S>::spread(Duration aTime)
{
  std::uniform_int_distribution<Duration::rep> ticks(aTime.count() / 2, aTime.count());
  return Duration(ticks(mRandom));
}

} // namespace masticwall
