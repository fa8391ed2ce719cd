#pragma once

#include <core/Time.h>
#include <decide/Vm.h>
#include <map>
#include <string>

namespace masticwall {

/**
 * Which of the other masticwall VMs reply to this one. The load that it answers: many VMs
 * are lost at once or leave for good, and stay in the list of VMs. Those that are left
 * must neither wait for them to read the source first, nor ask only them for a feed.
 * Unknown VMs count as present but not as replying. Not thread-safe.
 */
class PeerReachability
{
public:
  /** The VM has replied to a request. */
  void recordReply(const std::string& aVm);

  /** A request to the VM has failed or timed out. */
  void recordFailure(const std::string& aVm, Instant aNow);

  /** How many of `aVms` have replied to the last request to them. */
  std::size_t countReplying(const VmList& aVms) const;

  /**
   * True if several requests in a row have failed, over a longer time than a restart or a
   * short pause of the VM takes.
   */
  bool isAbsent(const std::string& aVm) const;

  bool hasAbsent() const;

  /** The VMs of `aVms` that are not absent. */
  VmList presentOf(VmList aVms) const;

  /** The VMs of `aVms` that are absent. They should be asked now and then. */
  VmList absentOf(const VmList& aVms) const;

  /** Forgets all VMs that are not in `aVms`. */
  void retain(const VmList& aVms);

private:
  struct Peer
  {
    bool isReplying = false; ///< the last request got a reply
    int failuresInARow = 0;
    Instant firstFailureAt; ///< of those in a row
    Instant lastFailureAt;

    bool isAbsent() const;
  };

  std::map<std::string, Peer> mPeers; ///< by VM name
};

} // namespace masticwall
