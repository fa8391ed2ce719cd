#pragma once

#include "ControlTables.h"
#include <peer/PeerClients.h>
#include <random>
#include <runtime/TimerService.h>
#include <vector>

namespace masticwall {

/** Sends notices and questions to the control processes of other VMs. Main thread. */
class PeerNotices
{
public:
  PeerNotices(TimerService& aTimers, ControlTables& aTables);

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

  ControlTables& mTables;
  PeerClients mClients;
  std::mt19937_64 mRandom{ std::random_device()() };
};

} // namespace masticwall
