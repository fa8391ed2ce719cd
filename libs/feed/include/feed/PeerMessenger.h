#pragma once

#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <tables/MembershipTable.h>
#include <vector>

namespace masticwall {

/**
 * Sends requests to the control ports of the other masticwall VMs in the membership list.
 * A request that fails or gets no reply within 2 s is not sent again. Main thread.
 */
class PeerMessenger
{
public:
  PeerMessenger(TimerService& aTimers,
                const MembershipTable& aMembership,
                std::string aOwnVm);

  /**
   * Sends a request to every other masticwall VM and ignores the replies. `aDone` is
   * called once all have replied or failed; at once if there is no other VM.
   */
  void sendToAll(
    const std::string& aPath,
    const QByteArray& aBody,
    std::function<void()> aDone = [] {});

  /**
   * Sends a request to one other masticwall VM, chosen at random. `aOnReply` is called
   * only if the VM replies.
   */
  void requestFromRandomPeer(const std::string& aPath,
                             const QByteArray& aBody,
                             const std::function<void(const QByteArray&)>& aOnReply);

private:
  std::vector<Vm> otherVms() const;

  const MembershipTable& mMembership;
  std::string mOwnVm;
  PeerClients mClients;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall
