#pragma once

#include <feed/FeedProvider.h>
#include <functional>
#include <list>
#include <peer/PeerServer.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Serves state to other processes by long polling: a request is answered once there is
 * something newer than what the client has, at the latest after a time limit. Lives on
 * one thread; the contents must outlive it.
 */
template<FeedProvider C>
class FeedServer
{
public:
  /**
   * After `aMaxWait`, a request is answered even if nothing is new, so that the client
   * can tell that this process is alive.
   */
  FeedServer(TimerService& aTimers, const C& aContents, Duration aMaxWait)
    : mTimers(aTimers)
    , mContents(aContents)
    , mMaxWait(aMaxWait)
  {
  }

  /** Answers a feed request, at once or when there is something new. */
  void serve(const FeedRequest& aHave, PeerServer::Reply aReply);

  /** The contents have changed: answers the waiting requests that this concerns. */
  void onChange();

  /**
   * Sends a suspect to the client with the next reply. `aOnReceived` is called when the
   * following request arrives, which shows that the client has received the reply.
   */
  void addSuspect(const Suspect& aSuspect, std::function<void()> aOnReceived);

  /** When the last request arrived. */
  Instant lastRequestAt() const { return mLastRequestAt; }

private:
  struct WaitingRequest
  {
    FeedRequest have;
    PeerServer::Reply reply;
    TimerHandle timeout;
  };

  bool hasUpdates(const FeedRequest& aHave) const
  {
    return !mSuspects.empty() || mContents.hasUpdates(aHave);
  }
  void reply(const FeedRequest& aHave, const PeerServer::Reply& aReply);

  TimerService& mTimers;
  const C& mContents;
  Duration mMaxWait;
  std::list<WaitingRequest> mWaitingRequests;
  std::vector<Suspect> mSuspects;                      ///< not yet sent
  std::vector<std::function<void()>> mOnReceived;      ///< for mSuspects
  std::vector<std::function<void()>> mAwaitingReceipt; ///< called at the next request
  Instant mLastRequestAt;
};

template<FeedProvider C>
void
FeedServer<C>::serve(const FeedRequest& aHave, PeerServer::Reply aReply)
{
  mLastRequestAt = mTimers.now();
  for (const auto& onReceived : std::exchange(mAwaitingReceipt, {})) {
    onReceived();
  }
  if (!aHave.mayWait || hasUpdates(aHave)) {
    reply(aHave, aReply);
    return;
  }
  mWaitingRequests.push_back({ aHave, std::move(aReply), {} });
  const auto it = std::prev(mWaitingRequests.end());
  it->timeout = mTimers.scheduleAfter(mMaxWait, [this, it] {
    const auto request = std::move(*it);
    mWaitingRequests.erase(it);
    reply(request.have, request.reply);
  });
}

template<FeedProvider C>
void
FeedServer<C>::onChange()
{
  for (auto it = mWaitingRequests.begin(); it != mWaitingRequests.end();) {
    if (!hasUpdates(it->have)) {
      ++it;
      continue;
    }
    const auto request = std::move(*it);
    it = mWaitingRequests.erase(it);
    reply(request.have, request.reply);
  }
}

template<FeedProvider C>
void
FeedServer<C>::addSuspect(const Suspect& aSuspect, std::function<void()> aOnReceived)
{
  mSuspects.push_back(aSuspect);
  mOnReceived.push_back(std::move(aOnReceived));
  onChange();
}

template<FeedProvider C>
void
FeedServer<C>::reply(const FeedRequest& aHave, const PeerServer::Reply& aReply)
{
  auto feed = mContents.makeFeed(aHave);
  feed.suspects = std::exchange(mSuspects, {});
  auto sent = std::exchange(mOnReceived, {});
  mAwaitingReceipt.insert(mAwaitingReceipt.end(), sent.begin(), sent.end());
  aReply(encode(feed));
}

} // namespace masticwall
