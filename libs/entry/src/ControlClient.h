#pragma once

#include <decide/ClaimVerdict.h>
#include <functional>
#include <messages/Feed.h>
#include <peer/PeerClient.h>
#include <runtime/TimerService.h>
#include <settings/EntrySettings.h>

namespace masticwall {

/**
 * Client of this VM's control process: receives its feed of presets and membership, and
 * sends it claims and reports. Lives on the main thread.
 */
class ControlClient
{
public:
  using ClaimCallback = std::function<void(const ClaimVerdict&)>;

  ControlClient(TimerService& aTimers, const EntrySettings& aSettings);
  ~ControlClient();

  /** Starts polling the feed; `aOnFeed` is called with each reply. */
  void start(std::function<void(const Feed&)> aOnFeed);

  /**
   * Requests a claim; retries until `aDeadline` if there is no valid reply. Calls back
   * once, with ClaimStatus::Unavailable if there is no verdict by then.
   */
  void claim(const Claim& aClaim, Instant aDeadline, ClaimCallback aDone);

  /** Releases the claim of an order that was not run; retries until it succeeds. */
  void release(const ClaimId& aId);

  /** Reports that an instance of a VM is draining; sent once, without a retry. */
  void reportLeaving(const std::string& aVm, const std::string& aInstance);

  /** Calls back once the other VMs have the report, or can't be reached in time. */
  void reportSuspect(const SuspectCount& aSuspect, std::function<void()> aDone);

  bool isConnected() const { return mIsConnected; }

private:
  /** Long-polls the feed: the reply comes with the next change. */
  void requestFeed();
  void onFeed(const Result<QByteArray>& aReply);

  /** Updates the connection state and logs a change. */
  void setConnected(bool aIsConnected);
  void runAfter(Duration aDelay, std::function<void()> aTask);

  TimerService& mTimers;
  PeerClient mClient;
  std::function<void(const Feed&)> mOnFeed;
  FeedRequest mFeedRequest; ///< versions that this process already has
  bool mIsConnected = false;
  std::map<std::uint64_t, TimerHandle> mDelayedTasks; ///< by task id
  std::uint64_t mNextTaskId = 1;
};

} // namespace masticwall
