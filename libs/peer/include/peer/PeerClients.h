#pragma once

#include <map>
#include <memory>
#include <peer/PeerClient.h>
#include <string>

namespace masticwall {

/**
 * The clients for other VMs' processes, by VM name. A client is replaced when its VM's
 * address changes. Use it on one thread only.
 */
class PeerClients
{
public:
  explicit PeerClients(TimerService& aTimers, const PeerTimeouts& aTimeouts = {})
    : mTimers(aTimers)
    , mTimeouts(aTimeouts)
  {
  }

  /** Returns the client for `aVm`, creating it if needed. The reference is valid until
   * clientFor() gets another address for this VM, or remove() is called for it. */
  PeerClient& clientFor(const std::string& aVm,
                        const std::string& aHost,
                        std::uint16_t aPort);

  /** Destroys the client of a VM that has left. */
  void remove(const std::string& aVm) { mClients.erase(aVm); }

private:
  struct Entry
  {
    std::string host;
    std::uint16_t port = 0;
    std::unique_ptr<PeerClient> client;
  };

  TimerService& mTimers;
  PeerTimeouts mTimeouts;
  std::map<std::string, Entry> mClients;
};

} // namespace masticwall
