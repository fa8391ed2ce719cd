#pragma once

#include <entry/EntryTables.h>
#include <functional>
#include <map>
#include <messages/OrderReport.h>
#include <peer/PeerClients.h>
#include <peer/PeerServer.h>
#include <runtime/TimerService.h>

namespace masticwall {

/**
 * Tells other entry processes what became of orders claimed here, and asks them for
 * theirs. Lives on the main thread.
 */
class PeerOrders
{
public:
  /** Told an order's report, or why there is none (a CallError). */
  using Done = std::function<void(const Result<OrderReport>&)>;

  static Result<std::unique_ptr<PeerOrders>> create(TimerService& aTimers,
                                                    EntryTables& aTables);
  ~PeerOrders();

  /** Asks the claimant; calls back by `aDeadline`. */
  void ask(const ClaimId& aHolder, Instant aDeadline, Done aDone);

  /** An order that another process waits for is settled. */
  void onSettled(std::uint64_t aWaiter, const OrderView& aView);

private:
  PeerOrders(TimerService& aTimers, EntryTables& aTables);

  void serve(const std::string& aPath,
             const QByteArray& aBody,
             const PeerServer::Reply& aReply);
  PeerClient* clientOf(const std::string& aVm);

  TimerService& mTimers;
  EntryTables& mTables;
  std::unique_ptr<PeerServer> mServer;
  PeerClients mClients;
  std::map<std::uint64_t, PeerServer::Reply> mWaiting;
  std::uint64_t mNextWaiter = 1;
};

} // namespace masticwall
