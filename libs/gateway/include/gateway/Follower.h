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

} // namespace masticwall

#include <gateway/FollowerFeeds.h>
#include <gateway/FollowerReading.h>
