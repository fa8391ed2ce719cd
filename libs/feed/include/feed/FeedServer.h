#pragma once

#include <feed/FeedContents.h>
#include <functional>
#include <list>
#include <peer/PeerServer.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Gives other processes the news: a request waits until there is something new, or for a
 * short while. Lives on one thread.
 */
template<FeedContents C>
class FeedServer
{
public:
  /** A request without news is answered after `aLongestWait`, as a sign of life. */
  FeedServer(TimerService& aTimers, const C& aContents, Duration aLongestWait)
    : mTimers(aTimers)
    , mContents(aContents)
    , mLongestWait(aLongestWait)
  {
  }

  void serve(const FeedRequest& aHave, PeerServer::Reply aReply);

  /** The contents have changed. */
  void onChange();

  /** Tells a suspect; `aTaken` is called once the asking process has taken it. */
  void addSuspect(const Suspect& aSuspect, std::function<void()> aTaken);

  /** When a process last asked. */
  Instant lastAsked() const { return mLastAsked; }

private:
  struct Waiter
  {
    FeedRequest have;
    PeerServer::Reply reply;
    TimerSubscription timeout;
  };

  bool hasNews(const FeedRequest& aHave) const
  {
    return !mSuspects.empty() || mContents.hasNews(aHave);
  }
  void reply(const FeedRequest& aHave, const PeerServer::Reply& aReply);

  TimerService& mTimers;
  const C& mContents;
  Duration mLongestWait;
  std::list<Waiter> mWaiters;
  std::vector<Suspect> mSuspects;              ///< not yet told
  std::vector<std::function<void()>> mToldOf;  ///< told with the next reply
  std::vector<std::function<void()>> mTakenBy; ///< taken when the next request comes
  Instant mLastAsked;
};

template<FeedContents C>
void
FeedServer<C>::serve(const FeedRequest& aHave, PeerServer::Reply aReply)
{
  mLastAsked = mTimers.now();
  for (const auto& taken : std::exchange(mTakenBy, {})) {
    taken();
  }
  if (!aHave.mayWait || hasNews(aHave)) {
    reply(aHave, aReply);
    return;
  }
  mWaiters.push_back({ aHave, std::move(aReply), {} });
  const auto it = std::prev(mWaiters.end());
  it->timeout = mTimers.subscribeIn(mLongestWait, [this, it] {
    const auto waiter = std::move(*it);
    mWaiters.erase(it);
    reply(waiter.have, waiter.reply);
  });
}

template<FeedContents C>
void
FeedServer<C>::onChange()
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

template<FeedContents C>
void
FeedServer<C>::addSuspect(const Suspect& aSuspect, std::function<void()> aTaken)
{
  mSuspects.push_back(aSuspect);
  mToldOf.push_back(std::move(aTaken));
  onChange();
}

template<FeedContents C>
void
FeedServer<C>::reply(const FeedRequest& aHave, const PeerServer::Reply& aReply)
{
  auto feed = mContents.newsFor(aHave);
  feed.suspects = std::exchange(mSuspects, {});
  auto told = std::exchange(mToldOf, {});
  mTakenBy.insert(mTakenBy.end(), told.begin(), told.end());
  aReply(encode(feed));
}

} // namespace masticwall
