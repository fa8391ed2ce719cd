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
  void search(std::size_t aFirst, std::size_t aEnd);
  void onFound(std::size_t aPlace, std::uint64_t aTurn, const Result<QByteArray>& aReply);
  void searchLater();
  void leave(std::size_t aPlace);
  void startReading();
  void read();
  void onReading(const Result<SourceReading>& aReading);
  void putPreset(std::uint64_t aVersion, const std::string& aText);
  void putVms(const VmList& aVms);
  void updateSources();
  void ask(const Vm& aVm, const FeedRequest& aHave, PeerClient::Callback aDone);
  Duration spread(Duration aTime);

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
  std::size_t mPlace = 0;  ///< of the VM that is followed, among the sources
  std::uint64_t mTurn = 0; ///< rises when another source is followed
  int mFailures = 0;       ///< readings in a row
  bool mIsReading = false;
  TimerSubscription mReadTimer;
  TimerSubscription mSearchTimer;
  TimerSubscription mTakeOverTimer;
  TimerSubscription mAnnounceTimer;
  std::mt19937_64 mRandom{ std::random_device()() };
};

template<Source S>
void
Follower<S>::start(const VmList& aSeeds)
{
  mIsReading = true;
  mSources = aSeeds;
  search(0, mSources.size());
  searchLater();
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
  mPlace = aPlace;
  const auto turn = mTurn;
  ask(mSources[aPlace],
      { mKnown.presetVersion(), mTold, true },
      [this, aPlace, turn](const Result<QByteArray>& aReply) {
        onReply(aPlace, turn, aReply);
      });
  if (aPlace > 0 && !mSearchTimer.isActive()) {
    searchLater();
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
  const bool isFresh = feed.has_value() && take(feed.value());
  if (aTurn != mTurn) {
    return; // the news was of other sources
  }
  if (isFresh) {
    mTold = feed.value().revision;
    follow(aPlace);
    return;
  }
  logEvent(LogEvent::FeedLost,
           { { "vm", mSources[aPlace].name },
             { "error", feed.has_error() ? feed.error().message() : "out-of-date" },
             { "age_ms", toMilliseconds(age()) } });
  leave(aPlace);
}

template<Source S>
void
Follower<S>::leave(std::size_t aPlace)
{
  ++mTurn;
  mTold = 0;
  const auto first = aPlace + 1;
  if (first >= mSources.size()) {
    startReading();
    return;
  }
  search(first, mSources.size());
  // Those before this VM in order read first, and it finds them fresh.
  const auto n = static_cast<Duration::rep>(std::min(mSources.size(), kMostAsked));
  mTakeOverTimer =
    mTimers.subscribeIn(kTakeOverAfter + n * kTakeOverStep, [this] { startReading(); });
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
Follower<S>::search(std::size_t aFirst, std::size_t aEnd)
{
  const auto turn = mTurn;
  const auto end = std::min({ aEnd, aFirst + kMostAsked, mSources.size() });
  for (auto i = aFirst; i < end; ++i) {
    ask(mSources[i],
        { mKnown.presetVersion(), 0, false },
        [this, i, turn](const Result<QByteArray>& aReply) { onFound(i, turn, aReply); });
  }
}

template<Source S>
void
Follower<S>::onFound(std::size_t aPlace,
                     std::uint64_t aTurn,
                     const Result<QByteArray>& aReply)
{
  if (aTurn != mTurn || aReply.has_error()) {
    return; // silent sources are asked again by the next search
  }
  const auto feed = decodeFeed(aReply.value());
  if (feed.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", feed.error().message() } });
    return;
  }
  if (!take(feed.value()) || aTurn != mTurn) {
    return;
  }
  ++mTurn;
  mTold = feed.value().revision;
  mIsReading = false;
  mReadTimer.cancel();
  mTakeOverTimer.cancel();
  mSearchTimer.cancel();
  follow(aPlace);
}

template<Source S>
void
Follower<S>::searchLater()
{
  const auto period = age() < kStaleAfter ? kSearchPeriod : kUrgentSearchPeriod;
  mSearchTimer = mTimers.subscribeIn(spread(period), [this] {
    search(0, mIsReading ? mSources.size() : mPlace);
    searchLater();
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
  mTakeOverTimer.cancel();
  if (mIsReading) {
    search(0, mSources.size());
    searchLater();
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
