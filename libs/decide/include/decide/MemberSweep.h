#pragma once

#include <core/Time.h>
#include <decide/Vm.h>
#include <map>
#include <optional>
#include <string>

namespace masticwall {

/**
 * Finds masticwall VMs that are listed but gone. The VM that reads the source asks the
 * others in turn, each about once a minute. A VM that has not replied three times in a
 * row, over more than a minute, counts as gone and is taken off the list. It lists itself
 * again if it is wrong. Not thread-safe.
 *
 * The load that this answers: VMs are replaced all the time, and those that are lost
 * can't take themselves off the list. Each listed VM counts when connections, retries and
 * load queries are shared out, so that the others may use too little.
 */
class MemberSweep
{
public:
  /** The time between two requests, with `aMembers` VMs to ask. */
  static Duration periodFor(std::size_t aMembers);

  /** The next VM to ask of `aMembers`, without the one that this process runs on;
   * none if there are no VMs. */
  std::optional<Vm> next(const VmList& aMembers);

  void recordReply(const std::string& aVm) { mFailures.erase(aVm); }

  /** Returns true if the VM counts as gone. */
  bool recordFailure(const std::string& aVm, Instant aNow);

private:
  struct Failures
  {
    int inARow = 0;
    Instant firstAt;
  };

  std::string mLastAsked;
  std::map<std::string, Failures> mFailures; ///< by VM name
};

} // namespace masticwall
