#pragma once

#include <algorithm>
#include <decide/FeedCursor.h>
#include <decide/SourceOrder.h>
#include <decide/UpstreamHold.h>
#include <entry/EntryTables.h>
#include <feed/FeedServer.h>
#include <gateway/FollowTimes.h>
#include <gateway/Knowledge.h>
#include <gateway/Source.h>
#include <messages/Paths.h>
#include <optional>
#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <telemetry/EventLog.h>

namespace masticwall {

/**
 * Keeps the preset and the membership in the tables up to date: from the feed of another
 * VM, and by reading the source itself when this VM is the first in order or those ahead
 * of it are silent or out of date. Feeds other VMs in turn. Nobody is elected: a VM that
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
    , mKnown(aTimers)
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

  /** Decodes the preset in force anew: the source's budgets have changed. */
  void onBudgets();

  /** True if what is known was read lately, here or by the VM that told. */
  bool isFresh() const { return isFresh(mKnown.age()); }

  /** How long ago the source was read, here or by the VM that told. */
  Duration age() const { return mKnown.age(); }

private:
  bool isFresh(Duration aAge) const
  {
    return aAge < kStaleAfter + std::max(0, mOrder.depth - 1) * kStaleStep;
  }

  // Following other VMs
  void follow(std::size_t aPlace);
  void onReply(std::size_t aPlace, std::uint64_t aTurn, const Result<QByteArray>& aReply);
  void take(const Feed& aFeed);
  void leave();
  void search();
  void onFound(const std::string& aVm,
               std::uint64_t aTurn,
               const Result<QByteArray>& aReply);
  void searchLater();
  void updateSources();
  void ask(const Vm& aVm, const FeedRequest& aHave, PeerClient::Callback aDone);

  // Reading the source
  void announce();
  void findOthers();
  void takeOverLater();
  void startReading();
  void stopReading();
  void read();
  void onReading(const Result<SourceReading>& aReading);
  void readLater();
  void putPreset(std::uint64_t aVersion, const std::string& aText);
  void putVms(VmList aVms);
  Duration spread(Duration aTime);

  TimerService& mTimers;
  EntryTables& mTables;
  S& mSource;
  Vm mOwn;
  std::function<void()> mOnChange;
  PeerClients mClients;
  Knowledge mKnown;
  FeedServer<Knowledge> mServer;
  SourceOrder mOrder;
  UpstreamHold mHold;
  FeedCursor mCursor;                ///< of the VM that is followed
  std::optional<std::size_t> mPlace; ///< of the VM that is followed, among the sources
  std::uint64_t mTurn = 0;           ///< rises when another source is followed
  std::uint64_t mRejected = 0;       ///< version of the last preset that is not valid
  int mFailures = 0;                 ///< readings in a row
  bool mIsReading = false;
  bool mIsCalling = false; ///< a reading has not ended yet
  TimerSubscription mReadTimer;
  TimerSubscription mSearchTimer;
  TimerSubscription mTakeOverTimer;
  TimerSubscription mAnnounceTimer;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall

#include <gateway/FollowerFeeds.h>
#include <gateway/FollowerReading.h>
