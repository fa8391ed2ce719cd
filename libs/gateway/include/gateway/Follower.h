#pragma once

#include <decide/SourceOrder.h>
#include <decide/UpstreamHold.h>
#include <entry/EntryTables.h>
#include <feed/FeedServer.h>
#include <gateway/FollowTimes.h>
#include <gateway/Knowledge.h>
#include <gateway/Source.h>
#include <messages/Paths.h>
#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <telemetry/EventLog.h>

namespace masticwall {

/**
 * Keeps the preset and the membership in the tables up to date: from the feed of another
 * VM, or by reading the source itself when this VM is the first in order or those before
 * it are silent or out of date. Feeds other VMs in turn. Nobody is elected: a VM that
 * reads without need costs calls and does no harm. Versions never go back, and each
 * belief keeps the time at which the source was read. Main thread.
 */
template<Source S>
class Follower
{
public:
  Follower(TimerService& aTimers,
           EntryTables& aTables,
           S& aSource,
           Vm aOwn,
           std::function<void()> aOnChange)
    : mTimers(aTimers)
    , mTables(aTables)
    , mSource(aSource)
    , mOwn(std::move(aOwn))
    , mOnChange(std::move(aOnChange))
    , mClients(aTimers, kFollowPeerTimes)
    , mKnown(aTimers, aTables.membership)
    , mServer(aTimers, mKnown, kLongestFeedWait)
  {
  }

  /** Begins with the VMs of `aSeeds`, some of which may be gone, and the source. */
  void start(const VmList& aSeeds);

  /** Serves the feed to another VM. */
  void serve(const FeedRequest& aHave, PeerServer::Reply aReply)
  {
    mServer.serve(aHave, std::move(aReply));
  }

  /** How long ago the source was read, here or by the VM that told. */
  Duration age() const { return mKnown.age(); }
  bool isReading() const { return mIsReading; }

private:
  void announce();
  void follow(std::size_t aPlace);
  void onReply(std::size_t aPlace, std::uint64_t aTurn, const Result<QByteArray>& aReply);
  bool take(const Feed& aFeed);
  void probe(std::size_t aPlace, std::uint64_t aTurn);
  void startReading();
  void read();
  void onReading(const Result<SourceReading>& aReading);
  void putPreset(std::uint64_t aVersion, const std::string& aText);
  void putVms(const VmList& aVms);
  void updateSources();
  void ask(const Vm& aVm, const FeedRequest& aHave, PeerClient::Callback aDone);
  Duration spread(Duration aTime);
  Duration probeDelay()
  {
    return spread(age() < kStaleAfter ? kProbePeriod : kUrgentProbePeriod);
  }

  TimerService& mTimers;
  EntryTables& mTables;
  S& mSource;
  Vm mOwn;
  std::function<void()> mOnChange;
  PeerClients mClients;
  Knowledge mKnown;
  FeedServer<Knowledge> mServer;
  VmList mSources;
  UpstreamHold mHold;
  std::uint64_t mTold = 0; ///< revision of the membership at the VM that is followed
  std::uint64_t mTurn = 0; ///< rises when another source is followed
  int mFailures = 0;       ///< readings in a row
  bool mIsReading = false;
  TimerSubscription mReadTimer;
  TimerSubscription mProbeTimer;
  TimerSubscription mAnnounceTimer;
  std::mt19937_64 mRandom{ std::random_device()() };
};

template<Source S>
void
Follower<S>::start(const VmList& aSeeds)
{
  mIsReading = true;
  mSources = aSeeds;
  probe(0, mTurn);
  // Many VMs may start at the same moment.
  mReadTimer = mTimers.subscribeIn(spread(kStartSpread), [this] {
    announce();
    read();
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
Follower<S>::ask(const Vm& aVm, const FeedRequest& aHave, PeerClient::Callback aDone)
{
  mClients.of(aVm.name, aVm.host, aVm.controlPort)
    .request(paths::kFeed, encode(aHave), kFeedTimeout, std::move(aDone));
}

template<Source S>
void
Follower<S>::follow(std::size_t aPlace)
{
  if (aPlace >= mSources.size()) {
    startReading();
    return;
  }
  const auto turn = mTurn;
  ask(mSources[aPlace],
      { mKnown.presetVersion(), mTold },
      [this, aPlace, turn](const Result<QByteArray>& aReply) {
        onReply(aPlace, turn, aReply);
      });
  if (aPlace > 0 && !mProbeTimer.isActive()) {
    mProbeTimer = mTimers.subscribeIn(probeDelay(), [this] { probe(0, mTurn); });
  }
}

template<Source S>
void
Follower<S>::onReply(std::size_t aPlace,
                     std::uint64_t aTurn,
                     const Result<QByteArray>& aReply)
{
  if (aTurn != mTurn) {
    return;
  }
  const auto feed =
    aReply.has_value() ? decodeFeed(aReply.value()) : Result<Feed>(aReply.error());
  if (feed.has_value() && take(feed.value())) {
    mTold = feed.value().revision;
    if (aTurn == mTurn) {
      follow(aPlace);
    }
    return;
  }
  logEvent(LogEvent::FeedLost,
           { { "vm", mSources[aPlace].name },
             { "error", feed.has_error() ? feed.error().message() : "out-of-date" },
             { "age_ms", toMilliseconds(age()) } });
  mTold = 0;
  ++mTurn;
  follow(aPlace + 1);
}

template<Source S>
bool
Follower<S>::take(const Feed& aFeed)
{
  const auto readAt = mTimers.now() - std::chrono::milliseconds(aFeed.ageMs);
  const auto text = aFeed.sections.find(kWholePreset);
  if (text != aFeed.sections.end()) {
    putPreset(aFeed.version, text->second);
  }
  // What was read earlier than what is known here would bring old entries back.
  if (readAt + kReadPeriod >= mKnown.readAt() && !aFeed.vms.empty()) {
    putVms(UpstreamHold::mergeTold(mTables.membership.current(), aFeed.vms));
  }
  mKnown.noteRead(readAt);
  return mTimers.now() - readAt < kStaleAfter;
}

template<Source S>
void
Follower<S>::probe(std::size_t aPlace, std::uint64_t aTurn)
{
  mProbeTimer.cancel();
  if (aTurn != mTurn || aPlace >= mSources.size()) {
    if (!mSources.empty()) {
      mProbeTimer = mTimers.subscribeIn(probeDelay(), [this] { probe(0, mTurn); });
    }
    return;
  }
  ask(mSources[aPlace], {}, [this, aPlace, aTurn](const Result<QByteArray>& aReply) {
    if (aTurn != mTurn) {
      return;
    }
    const auto feed =
      aReply.has_value() ? decodeFeed(aReply.value()) : Result<Feed>(aReply.error());
    if (feed.has_error() || !take(feed.value()) || aTurn != mTurn) {
      probe(aPlace + 1, aTurn);
      return;
    }
    ++mTurn;
    mTold = feed.value().revision;
    mIsReading = false;
    mReadTimer.cancel();
    follow(aPlace);
  });
}

template<Source S>
void
Follower<S>::startReading()
{
  if (!mIsReading) {
    mIsReading = true;
    logEvent(LogEvent::SourceTakenOver, { { "age_ms", toMilliseconds(age()) } });
    read();
  }
  if (!mSources.empty() && !mProbeTimer.isActive()) {
    mProbeTimer = mTimers.subscribeIn(probeDelay(), [this] { probe(0, mTurn); });
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
void
Follower<S>::updateSources()
{
  auto sources = sourcesOf(mOwn.name, mTables.membership.current());
  if (sources == mSources) {
    return;
  }
  mSources = std::move(sources);
  mTold = 0;
  ++mTurn;
  if (mIsReading) {
    probe(0, mTurn);
  } else {
    follow(0);
  }
}

template<Source S>
Duration
Follower<S>::spread(Duration aTime)
{
  std::uniform_int_distribution<Duration::rep> ticks(aTime.count() / 2, aTime.count());
  return Duration(ticks(mRandom));
}

} // namespace masticwall
