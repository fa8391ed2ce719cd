#pragma once

#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <tables/MembershipTable.h>
#include <vector>

namespace masticwall {

/** Sends notices and questions to the control ports of other VMs. Main thread. */
class PeerNotices
{
public:
  PeerNotices(TimerService& aTimers,
              const MembershipTable& aMembership,
              std::string aOwnVm);

  /**
   * Sends to every other VM of masticwall; what is lost is not sent again. `aDone` is
   * called once all have replied or failed.
   */
  void tellAll(
    const std::string& aPath,
    const QByteArray& aBody,
    std::function<void()> aDone = [] {});

  /** Asks one other VM, drawn at random; calls back if it replies. */
  void askOne(const std::string& aPath,
              const QByteArray& aBody,
              const std::function<void(const QByteArray&)>& aOnReply);

private:
  std::vector<Vm> others() const;

  const MembershipTable& mMembership;
  std::string mOwnVm;
  PeerClients mClients;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall
