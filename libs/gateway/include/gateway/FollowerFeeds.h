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

} // namespace masticwall
