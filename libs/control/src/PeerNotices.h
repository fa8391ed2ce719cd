#pragma once

#include "ControlTables.h"
#include <peer/PeerClients.h>
#include <runtime/TimerService.h>

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

  /** Asks every other VM; calls back for each reply. */
  void askAll(
    const std::string& aPath,
    const QByteArray& aBody,
    const std::function<void(const QByteArray&)>& aOnReply,
    std::function<void()> aDone = [] {});

private:
  ControlTables& mTables;
  PeerClients mClients;
};

} // namespace masticwall
