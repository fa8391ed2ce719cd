#pragma once

#include <decide/ClaimVerdict.h>
#include <functional>
#include <messages/Feed.h>
#include <peer/PeerClient.h>
#include <runtime/TimerService.h>
#include <settings/EntrySettings.h>

namespace masticwall {

/**
 * The connection to this VM's control process: takes its feed of preset and membership,
 * and asks it for claims. Lives on the main thread.
 */
class ControlLink
{
public:
  using Verdict = std::function<void(const ClaimVerdict&)>;

  ControlLink(TimerService& aTimers, const EntrySettings& aSettings);
  ~ControlLink();

  /** Follows the feed; `aOnFeed` is called after each change of the tables. */
  void start(std::function<void(const Feed&)> aOnFeed);

  /**
   * Asks for a claim and for as long as `aDeadline` asks again if the process can't be
   * reached. Calls back once.
   */
  void claim(const Claim& aClaim, Instant aDeadline, Verdict aDone);

  /** Gives a claim back whose order was not run; tried until it is taken. */
  void release(const ClaimId& aId);

  void reportLeaving(const std::string& aVm, const std::string& aInstance);
  /** Calls back once the other VMs know of it, or can't be told in time. */
  void reportSuspect(const Suspect& aSuspect, std::function<void()> aDone);

  bool isConnected() const { return mIsConnected; }

private:
  void askFeed();
  void onFeed(const Result<QByteArray>& aReply);
  void noteConnected(bool aIsConnected);
  void later(Duration aDelay, std::function<void()> aTask);

  TimerService& mTimers;
  PeerClient mClient;
  std::function<void(const Feed&)> mOnFeed;
  FeedRequest mHave;
  bool mIsConnected = false;
  std::map<std::uint64_t, TimerSubscription> mLater;
  std::uint64_t mNextLater = 1;
};

} // namespace masticwall
