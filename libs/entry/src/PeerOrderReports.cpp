#include "PeerOrderReports.h"
#include "CallId.h"
#include <core/CallError.h>
#include <messages/ClaimIdMessage.h>
#include <messages/Paths.h>
#include <peer/PeerError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

QByteArray
encodeReport(const OrderView& aView)
{
  OrderReport report;
  report.state = aView.state;
  if (aView.response != nullptr) {
    report.response = *aView.response;
  }
  return encode(report);
}

} // namespace

Result<std::unique_ptr<PeerOrderReports>>
PeerOrderReports::create(TimerService& aTimers, EntryTables& aTables)
{
  auto reports =
    std::unique_ptr<PeerOrderReports>(new PeerOrderReports(aTimers, aTables));
  auto* const raw = reports.get();
  const auto& settings = aTables.settings;
  auto server =
    PeerServer::listen(aTimers,
                       QHostAddress(QString::fromStdString(settings.common.host)),
                       settings.peerPort,
                       [raw](const std::string& aPath,
                             const QByteArray& aBody,
                             const PeerServer::ReplyCallback& aReply) {
                         raw->handleRequest(aPath, aBody, aReply);
                       });
  if (server.has_error()) {
    return server.error();
  }
  reports->mServer = std::move(server.value());
  return reports;
}

PeerOrderReports::PeerOrderReports(TimerService& aTimers, EntryTables& aTables)
  : mTimers(aTimers)
  , mTables(aTables)
  , mClients(aTimers)
{
}

PeerOrderReports::~PeerOrderReports() = default;

void
PeerOrderReports::fetch(const ClaimId& aClaimHolder,
                        Instant aDeadline,
                        ReportCallback aDone)
{
  auto* const client = findClient(aClaimHolder.vm);
  if (client == nullptr) {
    aDone(CallError::ClaimantGone);
    return;
  }
  client->request(paths::kOrder,
                  encode(aClaimHolder),
                  aDeadline - mTimers.now(),
                  [done = std::move(aDone)](const Result<QByteArray>& aReply) {
                    if (aReply.has_value()) {
                      const auto report = decodeOrderReport(aReply.value());
                      if (report.has_value()) {
                        done(report.value());
                        return;
                      }
                    }
                    const bool isTimeout =
                      aReply.has_error() && aReply.error() == PeerError::Timeout;
                    done(isTimeout ? CallError::OrderUnsettled : CallError::ClaimantGone);
                  });
}

void
PeerOrderReports::onOrderSettled(std::uint64_t aWaiter, const OrderView& aView)
{
  const auto it = mPendingReplies.find(aWaiter);
  if (it == mPendingReplies.end()) {
    return;
  }
  const auto reply = it->second;
  mPendingReplies.erase(it);
  reply(encodeReport(aView));
}

void
PeerOrderReports::handleRequest(const std::string& aPath,
                                const QByteArray& aBody,
                                const PeerServer::ReplyCallback& aReply)
{
  const auto id = decodeClaimId(aBody);
  if (aPath != paths::kOrder || id.has_error()) {
    aReply(std::nullopt);
    return;
  }
  const bool isOwnClaim = id.value().vm == mTables.settings.common.vm &&
                          id.value().incarnation == mTables.incarnation;
  if (!isOwnClaim) {
    // Claimed before a restart of this process; its orders were kept in memory only.
    aReply(encodeReport({ OrderState::Unknown, nullptr }));
    return;
  }
  const auto waiter = CallId::make(CallId::kPeerWorker, mNextWaiter++);
  // Stored before the look-up, because another thread may settle the order right after.
  mPendingReplies[waiter] = aReply;
  const auto view = mTables.orders.watch(id.value().sequence, waiter);
  if (!view.has_value()) {
    onOrderSettled(waiter, { OrderState::Unknown, nullptr });
  } else if (isSettled(view->state)) {
    onOrderSettled(waiter, *view);
  }
}

PeerClient*
PeerOrderReports::findClient(const std::string& aVm)
{
  const auto vm = mTables.membership.findMasticwallVm(aVm);
  if (!vm.has_value()) {
    mClients.remove(aVm);
    return nullptr;
  }
  return &mClients.clientFor(aVm, vm->host, vm->port);
}

} // namespace masticwall
