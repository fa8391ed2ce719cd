#pragma once

#include <gateway/ConfigSync.h>

// The part of ConfigSync that polls the feeds of peers.
namespace masticwall {

template<ConfigSource S>
void
ConfigSync<S>::requestFeed(const Vm& aVm,
                           const FeedRequest& aHave,
                           PeerClient::Callback aDone)
{
  mClients.clientFor(aVm.name, aVm.host, aVm.controlPort)
    .request(paths::kFeed, encode(aHave), kFeedRequestTimeout, std::move(aDone));
}

template<ConfigSource S>
void
ConfigSync<S>::pollFeed(std::size_t aPeerIndex)
{
  mPeerIndex = aPeerIndex;
  requestFeed(
    mTreePosition.feedCandidates[aPeerIndex],
    { std::max(mCache.presetVersion(), mRejectedVersion),
      mCursor.revision(),
      mCursor.readSequence(),
      true },
    [this, aPeerIndex, generation = mGeneration](const Result<QByteArray>& aReply) {
      onFeedReply(aPeerIndex, generation, aReply);
    });
}

template<ConfigSource S>
void
ConfigSync<S>::onFeedReply(std::size_t aPeerIndex,
                           std::uint64_t aGeneration,
                           const Result<QByteArray>& aReply)
{
  if (aGeneration != mGeneration) {
    return;
  }
  recordReachability(mTreePosition.feedCandidates[aPeerIndex].name, aReply.has_value());
  if (aGeneration != mGeneration) {
    return; // the peer counts as absent, which ended this poll
  }
  const auto feed =
    aReply.has_value() ? decodeFeed(aReply.value()) : Result<Feed>(aReply.error());
  mTables.metrics.count(Counter::FeedRequests,
                        feed.has_error() ? feed.error().message() : "ok");
  if (feed.has_error()) {
    logEvent(LogEvent::FeedLost,
             { { "vm", mTreePosition.feedCandidates[aPeerIndex].name },
               { "error", feed.error().message() },
               { "age_ms", toMilliseconds(mCache.age()) } });
    unsubscribe();
    return;
  }
  applyFeed(feed.value());
  if (aGeneration != mGeneration) {
    return; // the feed's VM list moved this VM in the tree, which ended this poll
  }
  // Not mCache.age(): this VM's own reads lower it, even if the peer's data is stale.
  if (isFresh(std::chrono::milliseconds(feed.value().ageMs))) {
    stopReading();
  } else {
    // Stay subscribed: if the peer takes over, its feed brings the new data at once.
    scheduleTakeOver();
  }
  pollFeed(aPeerIndex);
}

template<ConfigSource S>
void
ConfigSync<S>::unsubscribe()
{
  ++mGeneration;
  mPeerIndex.reset();
  mCursor = {};
  scheduleTakeOver();
  scheduleSearch();
}

template<ConfigSource S>
void
ConfigSync<S>::applySuspects(const Feed& aFeed)
{
  for (const auto& it : aFeed.suspects) {
    mTables.suspects.merge(it, mTimers.now());
  }
}

template<ConfigSource S>
void
ConfigSync<S>::applyFeed(const Feed& aFeed)
{
  applySuspects(aFeed);
  recordEra(aFeed.era);
  applyEvacuated(aFeed); // before a preset with which calls are served
  const auto readAt = mTimers.now() - std::chrono::milliseconds(aFeed.ageMs);
  const auto text = aFeed.sections.find(kWholePresetSection);
  if (text != aFeed.sections.end()) {
    applyPreset(aFeed.version, text->second);
  }
  // A list that was read more than one read period before the known one is skipped: it
  // would bring removed entries back.
  const bool isOlder = readAt + kReadPeriod < mCache.readAt();
  if (!mCursor.advance(aFeed.revision, aFeed.readSequence, aFeed.isVmsDelta, isOlder)) {
    return;
  }
  const auto lastRead = mCache.readAt();
  const auto now = mTimers.now();
  recordRead(readAt);
  const auto known = mTables.membership.current();
  if (!aFeed.isVmsDelta) {
    applyVms(mMerger.mergeFromPeer(known, aFeed.vms, lastRead, now));
  } else if (!aFeed.vms.empty() || !aFeed.removed.empty()) {
    auto list = apply({ aFeed.vms, aFeed.removed }, known);
    applyVms(mMerger.mergeFromPeer(known, std::move(list), lastRead, now));
  }
  mFeedServer.onChange();
}

template<ConfigSource S>
void
ConfigSync<S>::recordRead(Instant aTime)
{
  mCache.recordRead(aTime);
  if (!mCache.isEmpty()) {
    mTables.sourceReadAt = mCache.readAt().time_since_epoch().count();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::recordEra(std::optional<std::uint64_t> aEra)
{
  if (!mCache.recordEra(aEra)) {
    return;
  }
  mRestoredAt = mTimers.now();
  mMerger.onRestored(mRestoredAt);
  mGoneInstances.onRestored(mRestoredAt);
  mCache.evacuations().onRestored(mRestoredAt);
  logEvent(LogEvent::SourceRestored,
           { { "era", *aEra },
             { "version", mCache.presetVersion() },
             { "age_ms", toMilliseconds(mCache.age()) } });
}

template<ConfigSource S>
void
ConfigSync<S>::catchUp(std::function<void()> aDone)
{
  const auto others = otherMembers();
  if (!mCatchUpDone.empty()) {
    mCatchUpDone.push_back(std::move(aDone)); // of the question in progress
    return;
  }
  if (others.empty() || mCatchUpTimer.isActive()) {
    aDone();
    return;
  }
  mCatchUpDone.push_back(std::move(aDone));
  mCatchUpTimer = mTimers.scheduleAfter(kCatchUpPeriod, [] {});
  std::uniform_int_distribution<std::size_t> index(0, others.size() - 1);
  const auto& vm = others[index(mRandom)];
  // Only the version: a whole feed is large.
  requestFeed(vm, { .mayWait = false }, [this, vm](const Result<QByteArray>& aReply) {
    const auto feed =
      aReply.has_value() ? decodeFeed(aReply.value()) : Result<Feed>(aReply.error());
    if (feed.has_value()) {
      applyEvacuated(feed.value());
    }
    if (feed.has_value() && feed.value().version > mCache.presetVersion()) {
      fetchPreset(vm);
    } else {
      endCatchUp();
    }
  });
}

template<ConfigSource S>
void
ConfigSync<S>::endCatchUp()
{
  for (const auto& it : std::exchange(mCatchUpDone, {})) {
    it();
  }
}

template<ConfigSource S>
void
ConfigSync<S>::fetchPreset(const Vm& aVm)
{
  const FeedRequest have{ .version = mCache.presetVersion() };
  requestFeed(aVm, have, [this](const Result<QByteArray>& aReply) {
    const auto feed =
      aReply.has_value() ? decodeFeed(aReply.value()) : Result<Feed>(aReply.error());
    if (feed.has_value()) { // otherwise asked again while others have a newer version
      const auto& sections = feed.value().sections;
      const auto text = sections.find(kWholePresetSection);
      if (text != sections.end()) {
        applyPreset(feed.value().version, text->second);
        mFeedServer.onChange();
      }
    }
    endCatchUp();
  });
}

template<ConfigSource S>
void
ConfigSync<S>::searchPeers()
{
  // With a fresh feed, only better candidates than the polled one are of interest.
  const bool hasFreshFeed = mPeerIndex.has_value() && !mIsReading && isFresh();
  const auto end = hasFreshFeed ? *mPeerIndex : mTreePosition.feedCandidates.size();
  for (std::size_t i = 0; i < end; ++i) {
    if (i != mPeerIndex) {
      searchPeer(mTreePosition.feedCandidates[i]);
    }
  }
  if (!mReachability.hasAbsent()) {
    return;
  }
  const auto absent = mReachability.absentOf(mTables.membership.current());
  if (!absent.empty()) {
    std::uniform_int_distribution<std::size_t> index(0, absent.size() - 1);
    searchPeer(absent[index(mRandom)]);
  }
}

template<ConfigSource S>
void
ConfigSync<S>::searchPeer(const Vm& aVm)
{
  requestFeed(
    aVm,
    { .mayWait = false },
    [this, vm = aVm.name, generation = mGeneration](const Result<QByteArray>& aReply) {
      recordReachability(vm, aReply.has_value());
      onSearchReply(vm, generation, aReply);
    });
}

template<ConfigSource S>
void
ConfigSync<S>::recordReachability(const std::string& aVm, bool aHasReplied)
{
  const auto& candidates = mTreePosition.feedCandidates;
  const auto replying = mReachability.countReplying(candidates);
  const bool wasAbsent = mReachability.isAbsent(aVm);
  if (aHasReplied) {
    mLastReplyAt = mTimers.now();
    mReachability.recordReply(aVm);
  } else {
    mReachability.recordFailure(aVm, mTimers.now());
  }
  const bool waitsForRetry = mReadFailures > 0 && mReadTimer.isActive();
  if (waitsForRetry && mReachability.countReplying(candidates) < replying) {
    // The peer that was to read first is gone.
    mNextReadAt = std::min(mNextReadAt, mTimers.now() + readRetryDelay());
    mReadTimer = mTimers.scheduleAt(mNextReadAt, [this] { read(); });
  }
  const bool isAbsent = mReachability.isAbsent(aVm);
  if (isAbsent != wasAbsent) {
    logEvent(isAbsent ? LogEvent::PeerAbsent : LogEvent::PeerPresent, { { "vm", aVm } });
    if (mTables.membership.revision() > 0) {
      updateTreePosition(); // before the first list, the candidates are the seeds
    }
  }
}

template<ConfigSource S>
void
ConfigSync<S>::onSearchReply(const std::string& aVm,
                             std::uint64_t aGeneration,
                             const Result<QByteArray>& aReply)
{
  if (aReply.has_error()) {
    return; // the next search asks the peer again
  }
  const auto feed = decodeFeed(aReply.value());
  if (feed.has_error()) {
    logEvent(LogEvent::MessageBad, { { "error", feed.error().message() } });
    return;
  }
  applySuspects(feed.value());
  applyEvacuated(feed.value());
  if (aGeneration != mGeneration) {
    return; // another peer has been found
  }
  // A stale feed is accepted if its preset is newer: a VM that starts while the source is
  // unreachable needs one.
  const bool isNewer = feed.value().version > mCache.presetVersion();
  if (!isNewer && !isFresh(std::chrono::milliseconds(feed.value().ageMs))) {
    return;
  }
  // The candidates may have changed since the request was sent.
  const auto& peers = mTreePosition.feedCandidates;
  const auto it = std::find_if(
    peers.begin(), peers.end(), [&](const Vm& aPeer) { return aPeer.name == aVm; });
  if (it == peers.end()) {
    return;
  }
  ++mGeneration;
  mCursor = {};
  pollFeed(static_cast<std::size_t>(it - peers.begin()));
  scheduleSearch();
}

template<ConfigSource S>
void
ConfigSync<S>::scheduleSearch()
{
  mSearchTimer.cancel();
  const bool isFirstPeer = mPeerIndex == std::size_t{ 0 } && !mIsReading;
  const bool hasBestFeed = mTreePosition.feedCandidates.empty() || isFirstPeer;
  if (hasBestFeed && !mReachability.hasAbsent()) {
    return;
  }
  const bool hasNoFeed = !mPeerIndex.has_value() && !mIsReading;
  const auto period = hasNoFeed    ? kSearchPeriodWithoutFeed
                      : mIsReading ? kSearchPeriodWhileReading
                                   : kSearchPeriod;
  mSearchTimer = mTimers.scheduleAfter(withJitter(period), [this] {
    searchPeers();
    scheduleSearch();
  });
}

template<ConfigSource S>
void
ConfigSync<S>::updateTreePosition()
{
  auto order =
    feedTreePositionOf(mOwnVm, mReachability.presentOf(mTables.membership.current()));
  if (order == mTreePosition) {
    return;
  }
  const bool isFirstPeerSame = mPeerIndex == std::size_t{ 0 } &&
                               !order.feedCandidates.empty() &&
                               order.feedCandidates[0] == mTreePosition.feedCandidates[0];
  mTreePosition = std::move(order);
  if (isFirstPeerSame) {
    return;
  }
  ++mGeneration;
  mCursor = {};
  mPeerIndex.reset();
  if (mTreePosition.feedCandidates.empty()) {
    startReading();
  } else {
    pollFeed(0);
  }
  scheduleSearch();
}

} // namespace masticwall
