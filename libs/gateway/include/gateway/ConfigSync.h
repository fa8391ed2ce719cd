#pragma once

#include <algorithm>
#include <decide/FeedCursor.h>
#include <decide/FeedTreePosition.h>
#include <decide/GoneInstances.h>
#include <decide/MemberSweep.h>
#include <decide/PeerReachability.h>
#include <decide/VmListMerger.h>
#include <entry/EntryTables.h>
#include <feed/FeedServer.h>
#include <gateway/ConfigSource.h>
#include <gateway/ConfigSyncTimings.h>
#include <gateway/SourceCache.h>
#include <gateway/TenantKeyLog.h>
#include <messages/Paths.h>
#include <optional>
#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <telemetry/EventLog.h>

namespace masticwall {

/**
 * Keeps the preset and the membership in the tables up to date. The data come from the
 * source `S`, which usually one VM reads; the others long-poll the feed of a peer,
 * another masticwall VM, and serve the same feed to further VMs. FeedTreePosition gives
 * the peers in order of preference.
 *
 * A VM reads the source itself if it has no peers, or if their feeds are unreachable or
 * stale. VMs that have not replied to this one for a while count as absent: they take no
 * part in the order of preference, and are asked now and then until they reply. There is
 * no leader election: an unnecessary reader costs requests to the source but does no
 * harm. Preset versions never decrease, and the data carry the time at which
 * the source was read. Main thread.
 */
template<ConfigSource S>
class ConfigSync
{
public:
  ConfigSync(TimerService& aTimers,
             EntryTables& aTables,
             S& aSource,
             Vm aOwnVm,
             std::function<void()> aOnChange)
    : mTimers(aTimers)
    , mTables(aTables)
    , mSource(aSource)
    , mOwnVm(std::move(aOwnVm))
    , mOnChange(std::move(aOnChange))
    , mClients(aTimers, kFeedPeerTimeouts)
    , mCache(aTimers)
    , mFeedServer(aTimers, mCache, kMaxFeedWait)
    , mSweepClients(aTimers, kFeedPeerTimeouts)
  {
    mCache.setSuspectSource(
      [&aTables, &aTimers] { return aTables.suspects.openCounts(aTimers.now()); });
  }

  /**
   * Looks for a feed among the VMs of `aSeeds`, some of which may no longer run. After a
   * random delay, adds this VM to the list at the source and reads that list.
   */
  void start(const VmList& aSeeds);

  /** Replies to another VM's feed request; see FeedServer::serve(). */
  void serve(const FeedRequest& aHave, PeerServer::ReplyCallback aReply)
  {
    if (aHave.version > std::max(mCache.presetVersion(), mRejectedVersion)) {
      catchUp();
    }
    mFeedServer.serve(aHave, std::move(aReply));
  }

  /**
   * Asks another VM for its preset, which may be newer than what the source had when it
   * was read: a version may not have reached this VM yet, or the source may have come
   * back from an older copy before this VM started. Calls back once, when a newer one is
   * in the tables or there is none; at once if another VM was asked a moment ago.
   */
  void catchUp(std::function<void()> aDone = [] {});

  /** Decodes the active preset again; to be called after S::setBudgets(). */
  void onBudgetsChanged();

  /** True if the source was read recently enough, by this VM or by another. */
  bool isFresh() const { return isFresh(mCache.age()); }

  /** When another VM has asked this one for its feed, or replied to it; Instant{}: never.
   */
  Instant lastContactAt() const
  {
    return std::max(mFeedServer.lastRequestAt(), mLastReplyAt);
  }

  /** The time since the source was last read, by this VM or by another. */
  Duration age() const { return mCache.age(); }

private:
  /**
   * True if data that was read from the source `aAge` ago is fresh enough. The limit
   * grows with the number of feeds between this VM and the reading one.
   */
  bool isFresh(Duration aAge) const
  {
    return aAge < kStaleAge + std::max(0, mTreePosition.depth - 1) * kStaleAgePerHop;
  }

  // Feeds of peers

  /** Sends the next feed request to a peer, by its index in the feed candidates. */
  void pollFeed(std::size_t aPeerIndex);
  void onFeedReply(std::size_t aPeerIndex,
                   std::uint64_t aGeneration,
                   const Result<QByteArray>& aReply);
  void applyFeed(const Feed& aFeed);
  void applySuspects(const Feed& aFeed);

  /** Stops polling the peer, and looks for another. */
  void unsubscribe();

  /**
   * Asks the other peers for the version and age of their data, and one absent VM whether
   * it is back.
   */
  void searchPeers();
  void searchPeer(const Vm& aVm);
  void onSearchReply(const std::string& aVm,
                     std::uint64_t aGeneration,
                     const Result<QByteArray>& aReply);
  void scheduleSearch();

  /** Records whether a peer has replied, and adapts to VMs that have come or gone. */
  void recordReachability(const std::string& aVm, bool aHasReplied);

  /**
   * Computes this VM's position in the feed tree from the VMs that are present. Unless
   * the first candidate is polled and remains the first, the current poll ends; the new
   * first candidate is polled, or the source is read if there is none.
   */
  void updateTreePosition();
  void requestFeed(const Vm& aVm, const FeedRequest& aHave, PeerClient::Callback aDone);

  void fetchPreset(const Vm& aVm);

  /** Calls back all that have asked meanwhile. */
  void endCatchUp();

  /** The source was read at `aTime`, by this VM or by another. */
  void recordRead(Instant aTime);

  /** Adapts to a source that has come back from an older copy, if the era says so. */
  void recordEra(std::optional<std::uint64_t> aEra);

  // Evacuated data centres
  void applyEvacuated(const Feed& aFeed);
  void applyEvacuated(const SourceSnapshot& aSnapshot);

  /** Puts the evacuated data centres into the tables and logs what has changed. */
  void publishEvacuated();

  // Members

  /** While this VM is the one that reads for all: asks the other VMs in turn whether they
   * still run, and takes those that are gone off the list. */
  void scheduleSweep();
  void sweep();
  void onSweepReply(const std::string& aVm, const Result<QByteArray>& aReply);

  /** All masticwall VMs in the membership but this one. */
  VmList otherMembers() const;

  // Reading the source
  void announce();

  /** Lists this VM again if another has taken it off the list. */
  void announceIfMissing(const VmList& aVms);

  /** Reads the list of masticwall VMs from the source, if no peer is polled by then. */
  void fetchVmList();

  /** Starts reading the source after a delay, unless a peer's feed is fresh by then. */
  void scheduleTakeOver();
  void startReading();
  void stopReading();
  void read();
  void onRead(const Result<SourceSnapshot>& aSnapshot);
  void scheduleRead();

  /** After a failed read: the time until the next one. */
  Duration readRetryDelay();
  void applyPreset(std::uint64_t aVersion, const std::string& aText);
  void applyVms(VmList aVms);

  /** A random time between half of `aTime` and `aTime`. */
  Duration withJitter(Duration aTime);

  TimerService& mTimers;
  EntryTables& mTables;
  S& mSource;
  Vm mOwnVm;
  std::function<void()> mOnChange;
  PeerClients mClients;
  SourceCache mCache;
  FeedServer<SourceCache> mFeedServer;
  FeedTreePosition mTreePosition;
  PeerReachability mReachability;
  MemberSweep mMemberSweep;
  PeerClients mSweepClients; ///< not kept, so that no VM is connected to all others
  Instant mAnnouncedAt;
  TimerHandle mSweepTimer;
  VmListMerger mMerger;
  GoneInstances mGoneInstances;
  DataCentreNames mKeptEvacuations; ///< as logged
  Instant mLastReplyAt;             ///< of another VM
  Instant mRestoredAt; ///< when the source came back from an older copy; Instant{}: never
  FeedCursor mCursor;  ///< position in the feed of the polled peer
  std::optional<std::size_t> mPeerIndex; ///< polled peer, in the feed candidates

  /** Incremented when polling of a peer ends; replies to older requests are ignored. */
  std::uint64_t mGeneration = 0;
  std::uint64_t mRejectedVersion = 0; ///< version of the last invalid preset
  int mReadFailures = 0;              ///< consecutive failed reads of the source
  bool mIsReading = false;            ///< this VM reads the source periodically
  bool mIsReadPending = false;        ///< a read of the source is in progress
  Instant mNextReadAt;                ///< valid while mReadTimer is active
  TimerHandle mReadTimer;
  TimerHandle mSearchTimer;
  TimerHandle mTakeOverTimer;
  TimerHandle mAnnounceTimer;
  TimerHandle mCatchUpTimer;
  std::vector<std::function<void()>> mCatchUpDone; ///< empty: no question in progress
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall

#include <gateway/ConfigSyncEvacuations.h>
#include <gateway/ConfigSyncFeeds.h>
#include <gateway/ConfigSyncMembers.h>
#include <gateway/ConfigSyncReading.h>
