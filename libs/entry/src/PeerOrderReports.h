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
 * Exchanges order reports with other entry processes: serves the state of orders that
 * this process has claimed, and fetches the state of theirs. Lives on the main thread.
 */
class PeerOrderReports
{
public:
  /** Receives an order's report, or a CallError if there is none. */
  using ReportCallback = std::function<void(const Result<OrderReport>&)>;

  static Result<std::unique_ptr<PeerOrderReports>> create(TimerService& aTimers,
                                                          EntryTables& aTables);
  ~PeerOrderReports();

  /** Requests the report from the process that holds the claim; calls back once, by
   * `aDeadline`. */
  void fetch(const ClaimId& aClaimHolder, Instant aDeadline, ReportCallback aDone);

  /** Sends an order's settled state to the other process that waits as `aWaiter`. */
  void onOrderSettled(std::uint64_t aWaiter, const OrderView& aView);

private:
  PeerOrderReports(TimerService& aTimers, EntryTables& aTables);

  /** Replies to another process's query for an order, at once if it is settled, else from
   * onOrderSettled(). */
  void handleRequest(const std::string& aPath,
                     const QByteArray& aBody,
                     const PeerServer::ReplyCallback& aReply);
  PeerClient* findClient(const std::string& aVm);

  TimerService& mTimers;
  EntryTables& mTables;
  std::unique_ptr<PeerServer> mServer;
  PeerClients mClients;
  std::map<std::uint64_t, PeerServer::ReplyCallback> mPendingReplies; ///< by waiter
  std::uint64_t mNextWaiter = 1;
};

} // namespace masticwall
