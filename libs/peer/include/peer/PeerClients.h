#pragma once

#include <map>
#include <memory>
#include <peer/PeerClient.h>
#include <string>

namespace masticwall {

/** The clients of other VMs' processes, by VM; a VM whose address changes gets a new one.
 * Lives on one thread. */
class PeerClients
{
public:
  explicit PeerClients(TimerService& aTimers, const PeerTimes& aTimes = {})
    : mTimers(aTimers)
    , mTimes(aTimes)
  {
  }

  /** The client of `aVm` at its address. Valid until its address changes. */
  PeerClient& of(const std::string& aVm, const std::string& aHost, std::uint16_t aPort);

  /** Forgets a VM that is gone. */
  void forget(const std::string& aVm) { mClients.erase(aVm); }

private:
  struct Entry
  {
    std::string host;
    std::uint16_t port = 0;
    std::unique_ptr<PeerClient> client;
  };

  TimerService& mTimers;
  PeerTimes mTimes;
  std::map<std::string, Entry> mClients;
};

} // namespace masticwall
