#pragma once

#include <gateway/Follower.h>

// The part of Follower that follows the feeds of other VMs.
namespace masticwall {

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
  mPlace = aPlace;
  ask(mOrder.sources[aPlace],
      { std::max(mKnown.presetVersion(), mRejected),
        mCursor.revision(),
        mCursor.reading(),
        true },
      [this, aPlace, turn = mTurn](const Result<QByteArray>& aReply) {
        onReply(aPlace, turn, aReply);
      });
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
  mTables.metrics.count(Counter::Feeds, feed.has_error() ? feed.error().message() : "ok");
  if (feed.has_error()) {
    logEvent(LogEvent::FeedLost,
             { { "vm", mOrder.sources[aPlace].name },
               { "error", feed.error().message() },
               { "age_ms", toMilliseconds(mKnown.age()) } });
    leave();
    return;
  }
  take(feed.value());
  if (aTurn != mTurn) {
    return; // the news was of other sources
  }
  // Its own age counts: a reading of this VM's own says nothing of the teller.
  if (isFresh(std::chrono::milliseconds(feed.value().ageMs))) {
    stopReading();
  } else {
    // It may be about to take over itself: its news will come here at once.
    takeOverLater();
  }
  follow(aPlace);
}

template<Source S>
void
Follower<S>::leave()
{
  ++mTurn;
  mPlace.reset();
  mCursor = {};
  takeOverLater();
  searchLater();
}

template<Source S>
void
Follower<S>::take(const Feed& aFeed)
{
  const auto readAt = mTimers.now() - std::chrono::milliseconds(aFeed.ageMs);
  const auto text = aFeed.sections.find(kWholePreset);
  if (text != aFeed.sections.end()) {
    putPreset(aFeed.version, text->second);
  }
  // What was read earlier than what is known here would bring old entries back.
  const bool isOlder = readAt + kReadPeriod < mKnown.readAt();
  if (!mCursor.take(aFeed.revision, aFeed.reading, aFeed.isVmsDelta, isOlder)) {
    return;
  }
  const auto lastRead = mKnown.readAt();
  const auto now = mTimers.now();
  mKnown.noteRead(readAt);
  const auto known = mTables.membership.current();
  if (!aFeed.isVmsDelta) {
    putVms(UpstreamHold::mergeTold(known, aFeed.vms, lastRead, now));
  } else if (!aFeed.vms.empty() || !aFeed.gone.empty()) {
    auto list = apply({ aFeed.vms, aFeed.gone }, known);
    putVms(UpstreamHold::mergeTold(known, std::move(list), lastRead, now));
  }
  mServer.onChange();
}

template<Source S>
void
Follower<S>::search()
{
  // While its source serves it, only better ones are of interest.
  const bool isServed = mPlace.has_value() && !mIsReading && isFresh();
  const auto end = isServed ? *mPlace : mOrder.sources.size();
  for (std::size_t i = 0; i < end; ++i) {
    if (i != mPlace) {
      ask(mOrder.sources[i],
          { .mayWait = false },
          [this, vm = mOrder.sources[i].name, turn = mTurn](
            const Result<QByteArray>& aReply) { onFound(vm, turn, aReply); });
    }
  }
}

template<Source S>
void
Follower<S>::onFound(const std::string& aVm,
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
  // While the source is away, a VM that has just started learns what there is to know.
  const bool isNewer = feed.value().version > mKnown.presetVersion();
  if (!isNewer && !isFresh(std::chrono::milliseconds(feed.value().ageMs))) {
    return;
  }
  // The sources may have changed since it was asked.
  const auto& sources = mOrder.sources;
  const auto it = std::find_if(sources.begin(), sources.end(), [&](const Vm& aSource) {
    return aSource.name == aVm;
  });
  if (it == sources.end()) {
    return;
  }
  ++mTurn;
  mCursor = {};
  follow(static_cast<std::size_t>(it - sources.begin()));
  searchLater();
}

template<Source S>
void
Follower<S>::searchLater()
{
  mSearchTimer.cancel();
  const bool isBest = mPlace == std::size_t{ 0 } && !mIsReading;
  if (mOrder.sources.empty() || isBest) {
    return;
  }
  const bool isLost = !mPlace.has_value() && !mIsReading;
  const auto period = isLost       ? kLostSearchPeriod
                      : mIsReading ? kUrgentSearchPeriod
                                   : kSearchPeriod;
  mSearchTimer = mTimers.subscribeIn(spread(period), [this] {
    search();
    searchLater();
  });
}

template<Source S>
void
Follower<S>::updateSources()
{
  auto order = sourceOrderOf(mOwn, mTables.membership.current());
  if (order == mOrder) {
    return;
  }
  const bool isBestSame = mPlace == std::size_t{ 0 } && !order.sources.empty() &&
                          order.sources[0] == mOrder.sources[0];
  mOrder = std::move(order);
  if (isBestSame) {
    return;
  }
  ++mTurn;
  mCursor = {};
  mPlace.reset();
  if (mOrder.sources.empty()) {
    startReading();
    return;
  }
  follow(0);
  searchLater();
}

} // namespace masticwall
