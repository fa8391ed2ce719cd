#pragma once

#include "ControlTables.h"
#include <list>
#include <messages/Feed.h>
#include <peer/PeerServer.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Gives the entry process of this VM its news: a request waits until there is something
 * new, or for a short while. Main thread.
 */
class FeedServer
{
public:
  FeedServer(TimerService& aTimers, ControlTables& aTables);

  void serve(const FeedRequest& aHave, PeerServer::Reply aReply);

  /** The tables have changed. */
  void onChange();

  /** Tells a suspect; `aTaken` is called once the entry process has taken it. */
  void addSuspect(const Suspect& aSuspect, std::function<void()> aTaken);

  /** When the entry process last asked. */
  Instant lastAsked() const { return mLastAsked; }

private:
  struct Waiter
  {
    FeedRequest have;
    PeerServer::Reply reply;
    TimerSubscription timeout;
  };

  bool hasNews(const FeedRequest& aHave) const;
  void addSections(const FeedRequest& aHave, Feed& aFeed) const;
  void reply(const FeedRequest& aHave, const PeerServer::Reply& aReply);

  TimerService& mTimers;
  ControlTables& mTables;
  std::list<Waiter> mWaiters;
  std::vector<Suspect> mSuspects;              ///< not yet told
  std::vector<std::function<void()>> mToldOf;  ///< told with the next reply
  std::vector<std::function<void()>> mTakenBy; ///< taken when the entry asks again
  Instant mLastAsked;
};

} // namespace masticwall
