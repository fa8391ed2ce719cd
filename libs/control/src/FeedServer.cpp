#include "FeedServer.h"

namespace masticwall {

namespace {

/** A request without news is answered after so long, which also shows that we live. */
constexpr Duration kLongestWait = std::chrono::seconds(1);

} // namespace

FeedServer::FeedServer(TimerService& aTimers, ControlTables& aTables)
  : mTimers(aTimers)
  , mTables(aTables)
{
}

void
FeedServer::serve(const FeedRequest& aHave, PeerServer::Reply aReply)
{
  mLastAsked = mTimers.now();
  for (const auto& taken : std::exchange(mTakenBy, {})) {
    taken();
  }
  if (hasNews(aHave)) {
    reply(aHave, aReply);
    return;
  }
  mWaiters.push_back({ aHave, std::move(aReply), {} });
  const auto it = std::prev(mWaiters.end());
  it->timeout = mTimers.subscribeIn(kLongestWait, [this, it] {
    const auto waiter = std::move(*it);
    mWaiters.erase(it);
    reply(waiter.have, waiter.reply);
  });
}

void
FeedServer::onChange()
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    if (!hasNews(it->have)) {
      ++it;
      continue;
    }
    const auto waiter = std::move(*it);
    it = mWaiters.erase(it);
    reply(waiter.have, waiter.reply);
  }
}

void
FeedServer::addSuspect(const Suspect& aSuspect, std::function<void()> aTaken)
{
  mSuspects.push_back(aSuspect);
  mToldOf.push_back(std::move(aTaken));
  onChange();
}

bool
FeedServer::hasNews(const FeedRequest& aHave) const
{
  const auto preset = mTables.presets.current();
  const auto version = preset == nullptr ? 0 : preset->version;
  return version > aHave.version || mTables.membership.revision() != aHave.revision ||
         !mSuspects.empty();
}

void
FeedServer::addSections(const FeedRequest& aHave, Feed& aFeed) const
{
  const auto state = mTables.config.state();
  aFeed.version = state.versionInForce();
  aFeed.preset = state.inForce;
  aFeed.isDelta = aHave.version >= state.switchVersion;
  for (const auto& [key, section] : state.sections) {
    const bool isNew = !aFeed.isDelta || section.version > aHave.version;
    if (key.preset == state.inForce && isNew) {
      aFeed.sections[key.section] = section.text;
    }
  }
}

void
FeedServer::reply(const FeedRequest& aHave, const PeerServer::Reply& aReply)
{
  Feed feed;
  feed.version = aHave.version;
  const auto preset = mTables.presets.current();
  if (preset != nullptr && preset->version > aHave.version) {
    addSections(aHave, feed);
  }
  feed.revision = mTables.membership.revision();
  if (feed.revision != aHave.revision) {
    feed.vms = mTables.membership.current();
  }
  feed.suspects = std::exchange(mSuspects, {});
  auto told = std::exchange(mToldOf, {});
  mTakenBy.insert(mTakenBy.end(), told.begin(), told.end());
  aReply(encode(feed));
}

} // namespace masticwall
