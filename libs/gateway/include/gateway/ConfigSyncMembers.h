#pragma once

#include <gateway/ConfigSync.h>

// The part of ConfigSync that keeps the list of masticwall VMs at the source.
namespace masticwall {

template<ConfigSource S>
void
ConfigSync<S>::announce()
{
  mAnnouncedAt = mTimers.now();
  mSource.announce(mOwnVm, [this](const Result<void>& aResult) {
    if (aResult.has_error()) {
      mAnnounceTimer =
        mTimers.scheduleAfter(withJitter(kAnnounceRetryDelay), [this] { announce(); });
    }
  });
}

template<ConfigSource S>
void
ConfigSync<S>::announceIfMissing(const VmList& aVms)
{
  const bool isListed = std::any_of(aVms.begin(), aVms.end(), [this](const Vm& aVm) {
    return aVm.role == VmRole::Masticwall && aVm.name == mOwnVm.name && !aVm.isRetained;
  });
  if (isListed || mAnnounceTimer.isActive()) {
    return;
  }
  if (mAnnouncedAt < mRestoredAt) {
    // Many VMs may be missing in the older copy.
    const auto spread = kAnnounceSpreadPerVm * static_cast<int>(aVms.size());
    mAnnounceTimer = mTimers.scheduleAfter(withJitter(spread), [this] { announce(); });
    return;
  }
  if (mTimers.now() - mAnnouncedAt < kMaxAnnounceTime) {
    mAnnounceTimer = mTimers.scheduleAfter(
      kMaxAnnounceTime, [this] { announceIfMissing(mTables.membership.current()); });
    return;
  }
  logEvent(LogEvent::MemberListedAgain);
  announce();
}

template<ConfigSource S>
VmList
ConfigSync<S>::otherMembers() const
{
  auto list = mTables.membership.current();
  std::erase_if(list, [this](const Vm& aVm) {
    return aVm.role != VmRole::Masticwall || aVm.name == mOwnVm.name;
  });
  return list;
}

template<ConfigSource S>
void
ConfigSync<S>::scheduleSweep()
{
  const bool isReadingForAll = mIsReading && mTreePosition.feedCandidates.empty();
  if (!isReadingForAll) {
    mSweepTimer.cancel();
    return;
  }
  if (!mSweepTimer.isActive()) {
    const auto period = MemberSweep::periodFor(otherMembers().size());
    mSweepTimer = mTimers.scheduleAfter(period, [this] { sweep(); });
  }
}

template<ConfigSource S>
void
ConfigSync<S>::sweep()
{
  if (const auto vm = mMemberSweep.next(otherMembers())) {
    mSweepClients.clientFor(vm->name, vm->host, vm->controlPort)
      .request(paths::kFeed,
               encode(FeedRequest{ .mayWait = false }),
               kFeedRequestTimeout,
               [this, name = vm->name](const Result<QByteArray>& aReply) {
                 mSweepClients.remove(name);
                 onSweepReply(name, aReply);
               });
  }
  scheduleSweep();
}

template<ConfigSource S>
void
ConfigSync<S>::onSweepReply(const std::string& aVm, const Result<QByteArray>& aReply)
{
  // While the source is unreachable, this VM may be the one that is cut off.
  if (mReadFailures > 0) {
    return;
  }
  if (aReply.has_value()) {
    mMemberSweep.recordReply(aVm);
  } else if (mMemberSweep.recordFailure(aVm, mTimers.now())) {
    logEvent(LogEvent::MemberGone, { { "vm", aVm } });
    mSource.withdraw(aVm, [](const Result<void>&) {
      // If it failed, a later round finds the VM again.
    });
  }
}

} // namespace masticwall
