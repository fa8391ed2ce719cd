#pragma once

#include <feed/FeedProvider.h>
#include <functional>
#include <list>
#include <peer/PeerServer.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Serves a provider's data to other processes by long polling: replies to a request once
 * there is something newer than what the client has, at the latest after a time limit.
 * Used on one thread; the provider must outlive it.
 */
template<FeedProvider P>
class FeedServer
{
public:
  /**
   * After `aMaxWait`, the server replies even if nothing is new, so that the client can
   * tell that this process is alive.
   */
  FeedServer(TimerService& aTimers, const P& aProvider, Duration aMaxWait)
    : mTimers(aTimers)
    , mProvider(aProvider)
    , mMaxWait(aMaxWait)
  {
  }

  /**
   * Replies to a feed request: at once if it must not wait or there is something new,
   * otherwise when there is, at the latest after the maximum wait.
   */
  void serve(const FeedRequest& aHave, PeerServer::ReplyCallback aReply);

  /**
   * Replies to the waiting requests for which there is something new. To be called after
   * each change of the provider's data.
   */
  void onChange();

  /**
   * Sends a suspect to the client with the next reply. `aOnReceived` is called when the
   * following request arrives, which shows that the client has received the reply. For a
   * server with one client only: a suspect goes to the client that is replied to next,
   * and a request of any client counts as its receipt.
   */
  void addSuspect(const SuspectCount& aSuspect, std::function<void()> aOnReceived);

  /** When the last request arrived; Instant{} before the first. */
  Instant lastRequestAt() const { return mLastRequestAt; }

private:
  struct WaitingRequest
  {
    FeedRequest have;
    PeerServer::ReplyCallback reply;
    TimerHandle timeout;
  };

  bool hasUpdates(const FeedRequest& aHave) const
  {
    return !mSuspects.empty() || mProvider.hasUpdates(aHave);
  }
  void reply(const FeedRequest& aHave, const PeerServer::ReplyCallback& aReply);

  TimerService& mTimers;
  const P& mProvider;
  Duration mMaxWait;
  std::list<WaitingRequest> mWaitingRequests;
  std::vector<SuspectCount> mSuspects;                 ///< not yet sent
  std::vector<std::function<void()>> mOnReceived;      ///< callbacks of mSuspects
  std::vector<std::function<void()>> mAwaitingReceipt; ///< callbacks of sent suspects
  Instant mLastRequestAt;
};

template<FeedProvider P>
void
FeedServer<P>::serve(const FeedRequest& aHave, PeerServer::ReplyCallback aReply)
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

template<FeedProvider P>
void
FeedServer<P>::onChange()
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

template<FeedProvider P>
void
FeedServer<P>::addSuspect(const SuspectCount& aSuspect, std::function<void()> aOnReceived)
{
  mSuspects.push_back(aSuspect);
  mOnReceived.push_back(std::move(aOnReceived));
  onChange();
}

template<FeedProvider P>
void
FeedServer<P>::reply(const FeedRequest& aHave, const PeerServer::ReplyCallback& aReply)
{
  auto feed = mProvider.makeFeed(aHave);
  feed.suspects.insert(feed.suspects.end(), mSuspects.begin(), mSuspects.end());
  mSuspects.clear();
  auto callbacks = std::exchange(mOnReceived, {});
  mAwaitingReceipt.insert(mAwaitingReceipt.end(), callbacks.begin(), callbacks.end());
  aReply(encode(feed));
}

} // namespace masticwall
