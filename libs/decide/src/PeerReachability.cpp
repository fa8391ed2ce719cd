#include <algorithm>
#include <decide/PeerReachability.h>

namespace masticwall {

namespace {

/** Requests that must fail in a row before a VM counts as absent. After a pause of this
 * process, one request to each VM times out at once. */
constexpr int kFailuresUntilAbsent = 3;

/** A VM that was killed is restarted within this time. */
constexpr Duration kMaxRestartTime = std::chrono::seconds(2);

} // namespace

void
PeerReachability::recordReply(const std::string& aVm)
{
  Peer peer;
  peer.isReplying = true;
  mPeers[aVm] = peer;
}

void
PeerReachability::recordFailure(const std::string& aVm, Instant aNow)
{
  auto& peer = mPeers[aVm];
  peer.isReplying = false;
  if (peer.failuresInARow++ == 0) {
    peer.firstFailureAt = aNow;
  }
  peer.lastFailureAt = aNow;
}

std::size_t
PeerReachability::countReplying(const VmList& aVms) const
{
  return static_cast<std::size_t>(
    std::count_if(aVms.begin(), aVms.end(), [this](const Vm& aVm) {
      const auto it = mPeers.find(aVm.name);
      return it != mPeers.end() && it->second.isReplying;
    }));
}

bool
PeerReachability::isAbsent(const std::string& aVm) const
{
  const auto it = mPeers.find(aVm);
  return it != mPeers.end() && it->second.isAbsent();
}

bool
PeerReachability::hasAbsent() const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aEntry) {
    return aEntry.second.isAbsent();
  });
}

VmList
PeerReachability::presentOf(VmList aVms) const
{
  if (hasAbsent()) {
    std::erase_if(aVms, [this](const Vm& aVm) { return isAbsent(aVm.name); });
  }
  return aVms;
}

VmList
PeerReachability::absentOf(const VmList& aVms) const
{
  VmList absent;
  if (hasAbsent()) {
    std::copy_if(aVms.begin(),
                 aVms.end(),
                 std::back_inserter(absent),
                 [this](const Vm& aVm) { return isAbsent(aVm.name); });
  }
  return absent;
}

void
PeerReachability::retain(const VmList& aVms)
{
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return std::none_of(
      aVms.begin(), aVms.end(), [&](const Vm& aVm) { return aVm.name == aEntry.first; });
  });
}

bool
PeerReachability::Peer::isAbsent() const
{
  return failuresInARow >= kFailuresUntilAbsent &&
         lastFailureAt - firstFailureAt >= kMaxRestartTime;
}

} // namespace masticwall
