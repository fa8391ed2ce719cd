#pragma once

#include <gateway/Follower.h>

// The part of Follower that reads the source and keeps what was learnt.
namespace masticwall {

template<Source S>
void
Follower<S>::start(const VmList& aSeeds)
{
  mIsReading = true;
  mSources = aSeeds;
  search(0, mSources.size());
  searchLater();
  // Many VMs may start at the same moment.
  const auto delay = spread(kStartSpread);
  mAnnounceTimer = mTimers.subscribeIn(delay, [this] { announce(); });
  mReadTimer = mTimers.subscribeIn(delay, [this] { read(); });
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
Follower<S>::startReading()
{
  mTakeOverTimer.cancel();
  if (!mIsReading) {
    mIsReading = true;
    logEvent(LogEvent::SourceTakenOver, { { "age_ms", toMilliseconds(age()) } });
    read();
  }
  if (!mSources.empty() && !mSearchTimer.isActive()) {
    searchLater();
  }
}

template<Source S>
void
Follower<S>::read()
{
  mSource.read([this](const Result<SourceReading>& aReading) { onReading(aReading); });
}

template<Source S>
void
Follower<S>::onReading(const Result<SourceReading>& aReading)
{
  const auto now = mTimers.now();
  if (aReading.has_error()) {
    if (++mFailures == 1) {
      logEvent(
        LogEvent::SourceUnreachable,
        { { "error", aReading.error().message() }, { "age_ms", toMilliseconds(age()) } });
    }
  } else {
    if (std::exchange(mFailures, 0) > 0) {
      logEvent(LogEvent::SourceReachable, { { "age_ms", toMilliseconds(age()) } });
    }
    const auto& reading = aReading.value();
    const bool isFirst = mKnown.presetVersion() == 0;
    const auto known = mTables.membership.current();
    const auto vms =
      mHold.mergeRead(known, reading.vms, isFirst ? Instant{} : mKnown.readAt(), now);
    mKnown.noteRead(now);
    putPreset(reading.version, reading.presetText);
    putVms(vms);
  }
  if (mIsReading) {
    const auto delay = mFailures > 0 ? spread(kReadRetry) : kReadPeriod;
    mReadTimer = mTimers.subscribeIn(delay, [this] { read(); });
  }
}

template<Source S>
void
Follower<S>::putPreset(std::uint64_t aVersion, const std::string& aText)
{
  if (aVersion <= mKnown.presetVersion()) {
    return;
  }
  auto preset = mSource.decodePreset(aText);
  if (preset.has_error()) {
    logEvent(LogEvent::PresetInvalid,
             { { "version", aVersion }, { "error", preset.error().message() } });
    return;
  }
  mKnown.putPreset(aVersion, aText);
  auto shared = std::make_shared<Preset>(std::move(preset.value()));
  shared->version = aVersion;
  if (mTables.presets.put(shared)) {
    logEvent(LogEvent::PresetInForce,
             { { "version", aVersion }, { "routes", shared->routes.size() } });
    mOnChange();
    mServer.onChange();
  }
}

template<Source S>
void
Follower<S>::putVms(const VmList& aVms)
{
  if (mTables.membership.putList(aVms)) {
    logEvent(LogEvent::SourceChanged,
             { { "vms", aVms.size() }, { "age_ms", toMilliseconds(age()) } });
    mOnChange();
    mServer.onChange();
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
