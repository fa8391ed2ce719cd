#include "PeerOrders.h"
#include "CallNumber.h"
#include <core/CallError.h>
#include <messages/ClaimIdMessage.h>
#include <messages/Paths.h>
#include <peer/PeerError.h>
#include <telemetry/EventLog.h>

namespace masticwall {

namespace {

QByteArray
encodeView(const OrderView& aView)
{
  OrderReport report;
  report.state = aView.state;
  if (aView.answer != nullptr) {
    report.answer = *aView.answer;
  }
  return encode(report);
}

} // namespace

Result<std::unique_ptr<PeerOrders>>
PeerOrders::create(TimerService& aTimers, EntryTables& aTables)
{
  auto orders = std::unique_ptr<PeerOrders>(new PeerOrders(aTimers, aTables));
  auto* const raw = orders.get();
  const auto& settings = aTables.settings;
  auto server = PeerServer::listen(
    aTimers,
    QHostAddress(QString::fromStdString(settings.common.host)),
    settings.peerPort,
    [raw](const std::string& aPath,
          const QByteArray& aBody,
          const PeerServer::Reply& aReply) { raw->serve(aPath, aBody, aReply); });
  if (server.has_error()) {
    return server.error();
  }
  orders->mServer = std::move(server.value());
  return orders;
}

PeerOrders::PeerOrders(TimerService& aTimers, EntryTables& aTables)
  : mTimers(aTimers)
  , mTables(aTables)
  , mClients(aTimers)
{
}

PeerOrders::~PeerOrders() = default;

void
PeerOrders::ask(const ClaimId& aHolder, Instant aDeadline, Done aDone)
{
  auto* const client = clientOf(aHolder.vm);
  if (client == nullptr) {
    aDone(CallError::ClaimantGone);
    return;
  }
  client->request(paths::kOrder,
                  encode(aHolder),
                  aDeadline - mTimers.now(),
                  [done = std::move(aDone)](const Result<QByteArray>& aReply) {
                    if (aReply.has_value()) {
                      const auto report = decodeOrderReport(aReply.value());
                      if (report.has_value()) {
                        done(report.value());
                        return;
                      }
                    }
                    const bool isLate =
                      aReply.has_error() && aReply.error() == PeerError::Timeout;
                    done(isLate ? CallError::OrderUnsettled : CallError::ClaimantGone);
                  });
}

void
PeerOrders::onSettled(std::uint64_t aWaiter, const OrderView& aView)
{
  const auto it = mWaiting.find(aWaiter);
  if (it == mWaiting.end()) {
    return;
  }
  const auto reply = it->second;
  mWaiting.erase(it);
  reply(encodeView(aView));
}

void
PeerOrders::serve(const std::string& aPath,
                  const QByteArray& aBody,
                  const PeerServer::Reply& aReply)
{
  const auto id = decodeClaimId(aBody);
  if (aPath != paths::kOrder || id.has_error()) {
    aReply(std::nullopt);
    return;
  }
  const bool isMine = id.value().vm == mTables.settings.common.vm &&
                      id.value().incarnation == mTables.incarnation;
  if (!isMine) {
    // Claimed by an earlier incarnation, which is gone with its memory.
    aReply(encodeView({ OrderState::Unknown, nullptr }));
    return;
  }
  const auto waiter = CallNumber::make(CallNumber::kPeers, mNextWaiter++);
  // Before the look-up, because another thread may settle the order at any moment.
  mWaiting[waiter] = aReply;
  const auto view = mTables.orders.watch(id.value().sequence, waiter);
  if (!view.has_value()) {
    onSettled(waiter, { OrderState::Unknown, nullptr });
  } else if (isSettled(view->state)) {
    onSettled(waiter, *view);
  }
}

PeerClient*
PeerOrders::clientOf(const std::string& aVm)
{
  const auto vm = mTables.membership.findMasticwall(aVm);
  if (!vm.has_value()) {
    mClients.forget(aVm);
    return nullptr;
  }
  return &mClients.of(aVm, vm->host, vm->port);
}

} // namespace masticwall
